package node

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"gullstair/internal/core"
)

const (
	mailboxSize = 512
	sweepEvery  = time.Second
	// retryWrite is how long a peer waits before it tries again to write to a connection that takes no more bytes.
	retryWrite = 10 * time.Millisecond
)

var (
	errUnasked = errors.New("an answer that was never asked for")
	errStalled = errors.New("the node reads nothing")
)

// peer is the actor of one node: it alone owns the connections to it.
type peer struct {
	f     *Fleet
	host  string
	addr  string
	gone  bool
	mail  chan any
	wake  chan struct{} // holds one when there are orders
	ended chan struct{}
	conns []*connection
	out   map[int64]*connection // by attempt: the connection it is on or waits for
	frame []byte                // the bytes of the frames that are being written
	log   zerolog.Logger

	mu      sync.Mutex
	over    bool // no message is taken any more
	pending orders
}

// orders are what must not be lost, however full the mailbox is. They are carried out after all the mail that came
// before them.
type orders struct {
	move    *core.Move
	givenUp []int64 // at most as many as there are attempts out
}

func newPeer(f *Fleet, host, addr string) *peer {
	return &peer{f: f, host: host, addr: addr, mail: make(chan any, mailboxSize), wake: make(chan struct{}, 1),
		ended: make(chan struct{}), out: map[int64]*connection{}, log: f.log.With().Str("node", host).Logger()}
}

// The mail of a peer's own goroutines.
type (
	dialed struct {
		c    *connection
		conn net.Conn
		err  error
	}
	arrived struct {
		c     *connection
		probe bool
		a     answer
	}
	broke struct {
		c   *connection
		how core.End
		err error
	}
	// writeAgain says that a stalled connection may take bytes again.
	writeAgain struct{ c *connection }
)

// offer puts a message in the mailbox unless that is full or the peer has ended.
func (p *peer) offer(m any) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over {
		return false
	}
	select {
	case p.mail <- m:
		return true
	default:
		return false
	}
}

// order adds to what the peer is to do; one that has ended has nothing out.
func (p *peer) order(add func(*orders)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over {
		return
	}
	add(&p.pending)
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *peer) closed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.over
}

// post is for the peer's own readers, dialers and timers: it waits for room.
func (p *peer) post(m any) {
	select {
	case p.mail <- m:
	case <-p.ended:
	}
}

// leave ends the peer unless something has come in meanwhile.
func (p *peer) leave() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.over = len(p.mail) == 0 && p.pending.move == nil && len(p.pending.givenUp) == 0
	return p.over
}

func (p *peer) run() {
	defer close(p.ended)
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	for {
		select {
		case m := <-p.mail:
			p.handle(m)
			p.turn()
		case <-p.wake:
			p.turn()
		case <-sweep.C:
			p.sweep()
		}
		if p.gone && len(p.conns) == 0 && p.leave() {
			return
		}
	}
}

// turn carries out all that has gathered, and then writes. Orders are taken before the mail is read and carried out
// after it: whatever an order refers to was in the mailbox before it.
func (p *peer) turn() {
	todo := p.takeOrders()
	for range len(p.mail) {
		p.handle(<-p.mail)
	}
	if todo.move != nil {
		p.move(*todo.move)
	}
	for _, ref := range todo.givenUp {
		p.giveUp(ref)
	}
	for i := len(p.conns) - 1; i >= 0; i-- {
		p.flush(p.conns[i])
	}
	p.sweep()
}

func (p *peer) takeOrders() orders {
	p.mu.Lock()
	defer p.mu.Unlock()
	todo := p.pending
	p.pending = orders{}
	return todo
}

func (p *peer) handle(m any) {
	switch v := m.(type) {
	case core.Call:
		p.call(v)
	case core.Probe:
		p.probe(v)
	case dialed:
		p.dialed(v)
	case arrived:
		p.arrived(v)
	case broke:
		p.drop(v.c, v.how, v.err)
	case writeAgain:
		v.c.stalled = false
	}
}

// move takes up where the node is and what it may be sent. What has not begun to go out when a node drains or goes
// never does: it would arrive as a new attempt, long after the list said that there may be none.
func (p *peer) move(m core.Move) {
	p.gone = m.Gone
	if m.Addr != "" {
		p.addr = m.Addr
	}
	if !m.Gone && !m.Draining {
		return
	}
	for _, c := range p.conns {
		for _, ref := range c.unsent() {
			p.forget(c, ref)
			p.end(ref, core.Withdrawn, answer{})
		}
	}
}

func (p *peer) end(ref int64, how core.End, a answer) {
	p.f.tell(core.Ended{Ref: ref, How: how, At: p.f.now(), Score: a.score, Value: a.value, Load: a.load})
}

// call puts a frame on a connection that has room for its parts, or on a new one.
func (p *peer) call(v core.Call) {
	if v.Addr != "" {
		p.addr = v.Addr
	}
	best := p.pick(func(c *connection) bool {
		return len(c.attempts)+len(v.Parts) <= max(p.f.reach.PerConn, len(v.Parts)) && !c.clash(v)
	})
	if best == nil {
		for i := range v.Parts {
			p.end(v.Parts[i].Ref, core.NoRoom, answer{})
		}
		return
	}
	for i := range v.Parts {
		best.add(v.Parts[i].Ref, v.Parts[i].ID)
		p.out[v.Parts[i].Ref] = best
	}
	best.queue = append(best.queue, message{call: &v})
}

// probe asks for the node's load on any connection.
func (p *peer) probe(v core.Probe) {
	p.addr = v.Addr
	c := p.pick(func(*connection) bool { return true })
	if c == nil {
		p.end(v.Ref, core.NoRoom, answer{})
		return
	}
	c.probes = append(c.probes, v.Ref)
	c.queue = append(c.queue, message{})
}

// pick finds the connection on which the least is out, and of idle ones the longest idle; nil: there is no room for
// another. What ends a connection takes all parts on it along, so a further one comes up for the next call as soon as
// none is idle. Nobody waits for it where one is up: a node may be slow to accept.
func (p *peer) pick(fits func(*connection) bool) (best *connection) {
	rising := false
	for _, c := range p.conns {
		if c.addr != p.addr || c.retired || c.stalled {
			continue
		}
		rising = rising || !c.up
		if fits(c) && (best == nil || c.before(best)) {
			best = c
		}
	}
	if best == nil || best.up && len(best.attempts) > 0 && !rising && int64(len(p.conns)) < p.f.share.Load() {
		if c := p.open(); best == nil {
			best = c
		}
	}
	return best
}

func (p *peer) open() *connection {
	if p.f.conns.Add(1) > int64(p.f.reach.MaxConns) {
		p.f.conns.Add(-1)
		return nil
	}
	c := newConnection(p.addr)
	p.conns = append(p.conns, c)
	p.f.Stats.Dials.Add(1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), p.f.reach.ConnectTimeout)
		defer cancel()
		conn, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", c.addr)
		p.post(dialed{c, conn, err})
	}()
	return c
}

func (p *peer) dialed(d dialed) {
	if d.err != nil {
		p.f.Stats.DialsFailed.Add(1)
		how := core.DialRefused
		if ne, ok := errors.AsType[net.Error](d.err); ok && ne.Timeout() {
			how = core.DialTimedOut
		}
		p.drop(d.c, how, d.err)
		return
	}
	d.c.conn, d.c.up, d.c.lastUse = d.conn, true, time.Now()
	go p.read(d.c)
}

// forget takes an attempt off its connection and returns its part's id.
func (p *peer) forget(c *connection, ref int64) string {
	delete(p.out, ref)
	return c.remove(ref)
}

// giveUp forgets an attempt and, if any of its frame was written, tells the node.
func (p *peer) giveUp(ref int64) {
	c := p.out[ref]
	if c == nil {
		return
	}
	begun := c.attempts[ref].begun
	id := p.forget(c, ref)
	if begun {
		c.queue = append(c.queue, message{givenUp: id})
		c.retired = true
	}
}

func (p *peer) arrived(v arrived) {
	if v.probe {
		p.probeArrived(v)
		return
	}
	ref, out := v.c.refs[v.a.id]
	if !out { // nobody waits for it
		p.f.Stats.Unknown.Add(1)
		if v.c.retired = true; !v.c.known(v.a.id) {
			p.drop(v.c, core.BadFrame, errUnasked) // one that waits has had its answer under this name
		}
		return
	}
	p.forget(v.c, ref)
	v.c.lastUse = time.Now()
	p.end(ref, v.a.how, v.a)
}

func (p *peer) probeArrived(v arrived) {
	if len(v.c.probes) == 0 {
		p.f.Stats.Unknown.Add(1)
		return
	}
	p.end(v.c.probes[0], v.a.how, v.a)
	v.c.probes, v.c.lastUse = v.c.probes[1:], time.Now()
}

// flush writes what waits on a connection, as far as the system takes it now: the actor never waits for a node that
// reads nothing. Each frame is put into bytes at this moment, with the time that is left now and without the parts
// that nobody wants any more.
func (p *peer) flush(c *connection) {
	if !c.up || c.stalled || len(c.queue)+len(c.rest) == 0 {
		return
	}
	buf, frames := p.encode(c)
	n, err := c.write(buf)
	c.lastUse = time.Now()
	c.sent(buf, frames, n)
	if cap(buf) > frameMost {
		buf = nil
	}
	p.frame = buf[:0]
	switch {
	case err != nil:
		p.drop(c, core.ReadBroke, err)
	case len(c.queue)+len(c.rest) == 0:
		c.stalledAt = time.Time{}
	case !c.stalledAt.IsZero() && time.Since(c.stalledAt) > p.f.reach.ConnectTimeout:
		p.drop(c, core.ReadBroke, errStalled)
	default:
		p.stall(c, n > 0)
	}
}

// stall keeps a connection that takes no more bytes out of use for a moment.
func (p *peer) stall(c *connection, moved bool) {
	p.f.Stats.Stalled.Add(1)
	if c.stalledAt.IsZero() || moved {
		c.stalledAt = time.Now()
	}
	c.stalled = true
	time.AfterFunc(retryWrite, func() { p.post(writeAgain{c}) })
}

// encode puts what waits on c into bytes. A part whose last moment has passed ends here instead.
func (p *peer) encode(c *connection) (buf []byte, frames []frame) {
	buf = append(p.frame, c.rest...)
	if len(c.rest) > 0 {
		frames = append(frames, frame{end: len(buf), refs: c.restOf, begun: true})
	}
	for _, m := range c.queue {
		at := len(buf)
		var refs []int64
		switch {
		case m.call != nil:
			buf, refs = p.encodeCall(buf, c, m.call)
		case m.givenUp != "":
			buf = addGiveUp(buf, m.givenUp)
		default:
			buf = finish(begin(buf, probeLetter), at)
		}
		if len(buf) > at {
			frames = append(frames, frame{message: m, end: len(buf), refs: refs})
		}
	}
	return buf, frames
}

// encodeCall adds a frame with those parts of v that are still wanted; nothing, if none is.
func (p *peer) encodeCall(buf []byte, c *connection, v *core.Call) ([]byte, []int64) {
	at, now := len(buf), p.f.now()
	buf = begin(buf, callLetter)
	var refs []int64
	for i := range v.Parts {
		part := &v.Parts[i]
		if c.attempts[part.Ref] == nil {
			continue
		}
		if part.NotAfter > 0 && now > part.NotAfter {
			p.forget(c, part.Ref)
			p.end(part.Ref, core.TooLate, answer{})
			continue
		}
		buf = addCall(buf, part, now)
		refs = append(refs, part.Ref)
	}
	if len(refs) == 0 {
		return buf[:at], nil
	}
	return finish(buf, at), refs
}

// drop ends a connection and all that is out on it.
func (p *peer) drop(c *connection, how core.End, err error) {
	if !p.remove(c) {
		return // it has ended already
	}
	p.f.conns.Add(-1)
	if c.conn != nil {
		c.conn.Close()
	}
	if len(c.attempts) > 0 {
		p.f.Stats.Broken.Add(1)
		p.log.Debug().Str("end", how.String()).Int("out", len(c.attempts)).AnErr("cause", err).Msg("connection ended")
	}
	for ref, a := range c.attempts {
		delete(p.out, ref)
		if c.up && !a.whole {
			p.end(ref, core.WriteBroke, answer{})
		} else {
			p.end(ref, how, answer{})
		}
	}
	for _, ref := range c.probes {
		p.end(ref, how, answer{})
	}
	c.clear()
}

// remove takes c off the peer's connections; false: it was none of them.
func (p *peer) remove(c *connection) bool {
	for i, x := range p.conns {
		if x == c {
			p.conns = append(p.conns[:i], p.conns[i+1:]...)
			return true
		}
	}
	return false
}

// sweep closes connections that nothing is out on: before the node's idle time is up, with a margin so that
// no frame crosses its close, and at once where the node has moved or is gone.
func (p *peer) sweep() {
	idle := p.f.reach.Idle - max(p.f.reach.Idle/10, 2*sweepEvery)
	for i := len(p.conns) - 1; i >= 0; i-- {
		c := p.conns[i]
		if c.idle() && (p.gone || c.retired || c.addr != p.addr || time.Since(c.lastUse) >= idle) {
			p.drop(c, core.TakenBack, nil)
		}
	}
}
