package gateway

import (
	"context"
	"math"
	"sync"
	"time"

	"gullstair/internal/balance"
	"gullstair/internal/configuration"
	"gullstair/internal/lifecycle"
	"gullstair/logic"
)

// dispatcher connects the balancer to the clock, the timer, the goroutines of requests and the notes of other brokers. It is
// safe for concurrent use.
type dispatcher struct {
	mu        sync.Mutex
	balancer  *balance.Balancer
	start     time.Time
	exchanges map[int64]*exchange
	timer     *time.Timer
	timerAt   float64
	sendNotes func(note []byte, broadcast bool) // sends a note to other brokers; to all of them if broadcast is true
	unsent    map[bool][]byte                   // notes that wait for noteDelay, by whether they go to all brokers
	flushing  bool
}

// noteDelay is how long notes wait to be batched with others; maxNoteBytes is the maximum size of a batch in bytes.
const (
	noteDelay    = 4 * time.Millisecond
	maxNoteBytes = 255
)

func newDispatcher(seed uint64, fleet balance.Fleet) *dispatcher {
	d := &dispatcher{balancer: balance.New(seed, fleet), start: time.Now(), exchanges: map[int64]*exchange{}, unsent: map[bool][]byte{},
		timerAt: math.Inf(1)}
	d.timer = time.AfterFunc(time.Hour, lifecycle.Guard(d.advance))
	return d
}

// now returns the time in ms since the start.
func (d *dispatcher) now() float64 { return float64(time.Since(d.start)) / float64(time.Millisecond) }

// apply delivers commands to their exchanges, queues notes and sets the timer. The caller holds d.mu.
func (d *dispatcher) apply(commands []balance.Command) {
	for _, c := range commands {
		if x := d.exchanges[c.Request]; x != nil {
			x.deliver(c)
		}
	}
	for _, note := range d.balancer.Notes() {
		d.queue(note)
	}
	due := d.balancer.NextTimer()
	if due != d.timerAt && !math.IsInf(due, 1) {
		d.timerAt = due
		wait := math.Ceil(max(0, due-d.now())*float64(time.Millisecond)) + 1 // rounded up, since a timer that fires early is set again
		d.timer.Reset(time.Duration(wait))
	}
}

// queue adds a note to the next batch. The caller holds d.mu.
func (d *dispatcher) queue(note balance.Note) {
	if len(d.unsent[note.Broadcast])+len(note.Payload) > maxNoteBytes {
		d.send(note.Broadcast)
	}
	d.unsent[note.Broadcast] = append(d.unsent[note.Broadcast], note.Payload...)
	if !d.flushing {
		d.flushing = true
		time.AfterFunc(noteDelay, lifecycle.Guard(d.flush))
	}
}

func (d *dispatcher) flush() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.flushing = false
	d.send(false)
	d.send(true)
}

func (d *dispatcher) send(broadcast bool) {
	if unsent := d.unsent[broadcast]; len(unsent) > 0 && d.sendNotes != nil {
		d.sendNotes(unsent, broadcast)
	}
	delete(d.unsent, broadcast)
}

// receiveNote passes a note of another broker to the balancer.
func (d *dispatcher) receiveNote(note []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(d.balancer.ReceiveNote(d.now(), note))
}

func (d *dispatcher) advance() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timerAt = math.Inf(1)
	d.apply(d.balancer.Advance(d.now()))
}

func (d *dispatcher) setFleet(fleet balance.Fleet) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(d.balancer.SetFleet(d.now(), fleet))
}

func (d *dispatcher) setConfiguration(c *configuration.Configuration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(d.balancer.SetConfiguration(d.now(), c))
}

func (d *dispatcher) setInstances(instances []balance.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(d.balancer.SetInstances(d.now(), instances))
}

// arrive passes a new request to the balancer and registers its exchange.
func (d *dispatcher) arrive(x *exchange, r balance.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	number, commands := d.balancer.Arrive(d.now(), r)
	x.number = number
	d.exchanges[number] = x
	d.apply(commands)
}

func (d *dispatcher) streamBegan(x *exchange, attempt int, elapsed time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(d.balancer.StreamBegan(d.now(), x.number, attempt, float64(elapsed)/float64(time.Millisecond)))
}

func (d *dispatcher) attemptEnded(x *exchange, attempt int, outcome logic.Outcome, elapsed time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(d.balancer.AttemptEnded(d.now(), x.number, attempt, outcome, float64(elapsed)/float64(time.Millisecond)))
}

// eject tells the balancer that an instance fails, although none of its attempts has ended.
func (d *dispatcher) eject(instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(d.balancer.Eject(d.now(), instance))
}

// forget removes an exchange whose client has its response or has disconnected.
func (d *dispatcher) forget(x *exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(d.balancer.ClientLeft(d.now(), x.number))
	d.balancer.Forget(x.number)
	delete(d.exchanges, x.number)
}

// exchange passes the commands for one client request to its goroutine, in order. A command that ends the current attempt
// cancels the attempt's context.
type exchange struct {
	number   int64
	commands chan balance.Command
	mu       sync.Mutex
	cancel   context.CancelFunc // of the current attempt
	ended    bool               // the module has refused or failed the request
	recalled bool
	begun    bool // the client has the start of the current attempt's answer, which no other attempt can replace
}

const maxCommands = 16

func newExchange() *exchange { return &exchange{commands: make(chan balance.Command, maxCommands)} }

// deliver queues a command without blocking.
func (x *exchange) deliver(c balance.Command) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch c.Kind {
	case balance.CancelAttempt:
		if x.begun {
			return
		}
		x.recalled = true
	case balance.Refuse, balance.Fail:
		x.ended = true
	}
	if c.Kind != balance.Send && c.Kind != balance.Finish && x.cancel != nil {
		x.cancel()
	}
	if c.Kind == balance.CancelAttempt {
		return
	}
	select {
	case x.commands <- c:
	default: // does not happen: the module gives each request far fewer commands
	}
}

// beginAttempt starts an attempt and returns its context, which deliver may cancel.
func (x *exchange) beginAttempt(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancel, x.recalled, x.begun = cancel, false, false
	if x.ended {
		cancel()
	}
	return ctx, cancel
}

// beginAnswer records that the answer to the client begins with the current attempt, which the module recalls no more. It
// returns false if the attempt has been recalled.
func (x *exchange) beginAnswer() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.begun = !x.recalled
	return x.begun
}

// markRecalled records that this broker itself canceled the current attempt.
func (x *exchange) markRecalled() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.recalled = true
}

// endAttempt ends the current attempt and reports whether it was recalled and whether the module has ended the request.
func (x *exchange) endAttempt() (recalled, ended bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancel = nil
	return x.recalled, x.ended
}
