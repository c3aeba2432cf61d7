package gateway

import (
	"context"
	"math"
	"sync"
	"time"

	"gullstair/internal/balance"
	"gullstair/internal/configuration"
	"gullstair/logic"
)

// dispatcher gives the balancer its clock and its callers: request goroutines, the timer, and what the fleet tells.
type dispatcher struct {
	mu       sync.Mutex
	balancer *balance.Balancer
	start    time.Time
	open     map[int64]*exchange
	timer    *time.Timer
	timerAt  float64
	tell     func(note []byte, wide bool) // sends a note to other brokers; wide: to all
	unsent   map[bool][]byte              // by whether it is for all
	flushing bool
}

// noteDelay is how long notes wait for others to go with them; mostNote is the most bytes that go together.
const (
	noteDelay = 4 * time.Millisecond
	mostNote  = 255
)

func newDispatcher(seed uint64, fleet balance.Fleet) *dispatcher {
	d := &dispatcher{balancer: balance.New(seed, fleet), start: time.Now(), open: map[int64]*exchange{}, unsent: map[bool][]byte{},
		timerAt: math.Inf(1)}
	d.timer = time.AfterFunc(time.Hour, d.advance)
	return d
}

// now is the time in ms since the start.
func (d *dispatcher) now() float64 { return float64(time.Since(d.start)) / float64(time.Millisecond) }

// carry hands the commands to the exchanges that they are for and sets the timer; d.mu is held.
func (d *dispatcher) carry(commands []balance.Command) {
	for _, c := range commands {
		if x := d.open[c.Request]; x != nil {
			x.deliver(c)
		}
	}
	for _, note := range d.balancer.Notes() {
		d.queue(note)
	}
	due := d.balancer.Due()
	if due != d.timerAt && !math.IsInf(due, 1) {
		d.timerAt = due
		wait := math.Ceil(max(0, due-d.now())*float64(time.Millisecond)) + 1 // never early: it would fire again and again
		d.timer.Reset(time.Duration(wait))
	}
}

// queue has a note sent soon; d.mu is held.
func (d *dispatcher) queue(note balance.Note) {
	if len(d.unsent[note.Wide])+len(note.Text) > mostNote {
		d.send(note.Wide)
	}
	d.unsent[note.Wide] = append(d.unsent[note.Wide], note.Text...)
	if !d.flushing {
		d.flushing = true
		time.AfterFunc(noteDelay, d.flush)
	}
}

func (d *dispatcher) flush() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.flushing = false
	d.send(false)
	d.send(true)
}

func (d *dispatcher) send(wide bool) {
	if unsent := d.unsent[wide]; len(unsent) > 0 && d.tell != nil {
		d.tell(unsent, wide)
	}
	delete(d.unsent, wide)
}

// heard takes a note of another broker.
func (d *dispatcher) heard(note []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.carry(d.balancer.Heard(d.now(), note))
}

func (d *dispatcher) advance() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timerAt = math.Inf(1)
	d.carry(d.balancer.Advance(d.now()))
}

func (d *dispatcher) setFleet(fleet balance.Fleet) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.carry(d.balancer.SetFleet(d.now(), fleet))
}

func (d *dispatcher) setConfiguration(c *configuration.Configuration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.carry(d.balancer.SetConfiguration(d.now(), c))
}

func (d *dispatcher) setInstances(instances []balance.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.carry(d.balancer.SetInstances(d.now(), instances))
}

// arrive opens an exchange.
func (d *dispatcher) arrive(x *exchange, r balance.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	number, commands := d.balancer.Arrive(d.now(), r)
	x.number = number
	d.open[number] = x
	d.carry(commands)
}

func (d *dispatcher) began(x *exchange, attempt int, elapsed time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.carry(d.balancer.Began(d.now(), x.number, attempt, float64(elapsed)/float64(time.Millisecond)))
}

func (d *dispatcher) ended(x *exchange, attempt int, outcome logic.Outcome, elapsed time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.carry(d.balancer.Ended(d.now(), x.number, attempt, outcome, float64(elapsed)/float64(time.Millisecond)))
}

// forget closes an exchange whose client has its answer or has gone.
func (d *dispatcher) forget(x *exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.carry(d.balancer.Left(d.now(), x.number))
	d.balancer.Forget(x.number)
	delete(d.open, x.number)
}

// exchange is one client request on its way. Commands for it come in order; one that ends the attempt under way
// cancels it.
type exchange struct {
	number   int64
	commands chan balance.Command
	mu       sync.Mutex
	cancel   context.CancelFunc // of the attempt under way
	ended    bool               // by the module, while an attempt was under way
	recalled bool
}

const mostCommands = 16

func newExchange() *exchange { return &exchange{commands: make(chan balance.Command, mostCommands)} }

// deliver takes a command; it does not block.
func (x *exchange) deliver(c balance.Command) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch c.Kind {
	case balance.Recall:
		x.recalled = true
	case balance.Refuse, balance.Fail:
		x.ended = true
	}
	if c.Kind != balance.Send && c.Kind != balance.Finish && x.cancel != nil {
		x.cancel()
	}
	if c.Kind == balance.Recall {
		return
	}
	select {
	case x.commands <- c:
	default: // the module gives each request far fewer
	}
}

// begin starts an attempt that deliver may cancel.
func (x *exchange) begin(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancel, x.recalled = cancel, false
	if x.ended {
		cancel()
	}
	return ctx, cancel
}

// withdraw notes that this broker itself took the attempt under way back.
func (x *exchange) withdraw() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.recalled = true
}

// end says how the module ended the attempt, if it did.
func (x *exchange) end() (recalled, ended bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancel = nil
	return x.recalled, x.ended
}
