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
	mailboxSize   = 512
	sweepInterval = time.Second
	// writeRetryDelay is the delay before a peer retries to write to a stalled connection.
	writeRetryDelay = 10 * time.Millisecond
)

var (
	errUnsolicited = errors.New("unsolicited answer")
	errStalled     = errors.New("the node does not read from the connection")
)

// peer is the actor of one node and owns the connections to it.
type peer struct {
	fleet   *Fleet
	host    string
	addr    string
	gone    bool
	mailbox chan any
	wake    chan struct{} // holds a value if commands are pending
	ended   chan struct{}
	conns   []*connection
	connOf  map[int64]*connection // connection of each attempt, in flight or queued
	frame   []byte                // encoding buffer, reused between writes
	log     zerolog.Logger

	mu      sync.Mutex
	stopped bool // the peer has stopped and accepts no messages
	pending commands
}

// commands are requests that must not be lost when the mailbox is full. They are executed after all messages that were
// in the mailbox before them.
type commands struct {
	move     *core.NodeChange
	canceled []int64 // canceled attempts, at most as many as are in flight
}

func newPeer(fleet *Fleet, host, addr string) *peer {
	return &peer{fleet: fleet, host: host, addr: addr, mailbox: make(chan any, mailboxSize), wake: make(chan struct{}, 1),
		ended: make(chan struct{}), connOf: map[int64]*connection{}, log: fleet.log.With().Str("node", host).Logger()}
}

// The messages of a peer's own goroutines.
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
	connLost struct {
		conn *connection
		end  core.EndReason
		err  error
	}
	// writeAgain ends the write retry delay of a stalled connection.
	writeAgain struct{ c *connection }
)

// offer puts a message in the mailbox. It returns false if the mailbox is full or the peer has stopped.
func (p *peer) offer(m any) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return false
	}
	select {
	case p.mailbox <- m:
		return true
	default:
		return false
	}
}

// command adds to the pending commands. A stopped peer ignores them, since it has no attempts in flight.
func (p *peer) command(add func(*commands)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return
	}
	add(&p.pending)
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// closed reports whether the peer has stopped.
func (p *peer) closed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped
}

// post puts a message of the peer's own readers, dialers and timers in the mailbox; it blocks while that is full.
func (p *peer) post(m any) {
	select {
	case p.mailbox <- m:
	case <-p.ended:
	}
}

// tryStop stops the peer unless a message or command is pending.
func (p *peer) tryStop() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = len(p.mailbox) == 0 && p.pending.move == nil && len(p.pending.canceled) == 0
	return p.stopped
}

// run is the actor's loop.
func (p *peer) run() {
	defer close(p.ended)
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case m := <-p.mailbox:
			p.handle(m)
			p.processPending()
		case <-p.wake:
			p.processPending()
		case <-sweep.C:
			p.sweep()
		}
		if p.gone && len(p.conns) == 0 && p.tryStop() {
			return
		}
	}
}

// processPending handles all pending messages and commands, and then writes. It takes the commands before it reads the
// mailbox and executes them after it: whatever a command refers to was in the mailbox before it.
func (p *peer) processPending() {
	todo := p.takeCommands()
	for range len(p.mailbox) {
		p.handle(<-p.mailbox)
	}
	if todo.move != nil {
		p.move(*todo.move)
	}
	for _, ref := range todo.canceled {
		p.cancelAttempt(ref)
	}
	for i := len(p.conns) - 1; i >= 0; i-- {
		p.flush(p.conns[i])
	}
	p.sweep()
}

// takeCommands returns and clears the pending commands.
func (p *peer) takeCommands() commands {
	p.mu.Lock()
	defer p.mu.Unlock()
	todo := p.pending
	p.pending = commands{}
	return todo
}

// handle processes one message of the mailbox.
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
	case connLost:
		p.drop(v.conn, v.end, v.err)
	case writeAgain:
		v.c.stalled = false
	}
}

// move applies a change of the node's address or state. When a node drains or is gone, unwritten attempts are
// withdrawn: they would arrive as new attempts long after the list excluded the node.
func (p *peer) move(m core.NodeChange) {
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
			p.end(ref, core.NodeRemoved, answer{})
		}
	}
}

// end reports the result of an attempt.
func (p *peer) end(ref int64, reason core.EndReason, a answer) {
	p.fleet.report(core.Ended{Ref: ref, Reason: reason, At: p.fleet.now(), Score: a.score, Value: a.value, Load: a.load})
}

// call queues a call on a connection with capacity for its parts, or on a new one.
func (p *peer) call(v core.Call) {
	if v.Addr != "" {
		p.addr = v.Addr
	}
	best := p.pick(func(c *connection) bool {
		return len(c.attempts)+len(v.Parts) <= max(p.fleet.limits.PerConn, len(v.Parts)) && !c.hasConflict(v)
	})
	if best == nil {
		for i := range v.Parts {
			p.end(v.Parts[i].Ref, core.QueueFull, answer{})
		}
		return
	}
	for i := range v.Parts {
		best.add(v.Parts[i].Ref, v.Parts[i].ID)
		p.connOf[v.Parts[i].Ref] = best
	}
	best.queue = append(best.queue, message{call: &v})
}

// probe queues a request for the node's load on any connection.
func (p *peer) probe(v core.Probe) {
	p.addr = v.Addr
	c := p.pick(func(*connection) bool { return true })
	if c == nil {
		p.end(v.Ref, core.QueueFull, answer{})
		return
	}
	c.probes = append(c.probes, v.Ref)
	c.queue = append(c.queue, message{})
}

// pick returns the connection with the fewest attempts in flight, and of idle ones the longest idle. It returns nil if
// none fits and no further one may be opened. The failure of a connection fails all parts on it, so pick opens a
// further one as soon as none is idle. Calls do not wait for it while another is established, since a node may accept
// slowly.
func (p *peer) pick(fits func(*connection) bool) (best *connection) {
	dialing := false
	for _, c := range p.conns {
		if c.addr != p.addr || c.retired || c.stalled {
			continue
		}
		dialing = dialing || !c.established
		if fits(c) && (best == nil || c.preferredOver(best)) {
			best = c
		}
	}
	if best == nil || best.established && len(best.attempts) > 0 && !dialing && int64(len(p.conns)) < p.fleet.share.Load() {
		if c := p.open(); best == nil {
			best = c
		}
	}
	return best
}

// open dials a further connection. It returns nil if the fleet's limit is reached.
func (p *peer) open() *connection {
	if p.fleet.conns.Add(1) > int64(p.fleet.limits.MaxConns) {
		p.fleet.conns.Add(-1)
		return nil
	}
	c := newConnection(p.addr)
	p.conns = append(p.conns, c)
	p.fleet.Stats.Dials.Add(1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), p.fleet.limits.ConnectTimeout)
		defer cancel()
		conn, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", c.addr)
		p.post(dialed{c, conn, err})
	}()
	return c
}

// dialed handles the outcome of a dial.
func (p *peer) dialed(d dialed) {
	if d.err != nil {
		p.fleet.Stats.DialsFailed.Add(1)
		reason := core.DialRefused
		if ne, ok := errors.AsType[net.Error](d.err); ok && ne.Timeout() {
			reason = core.DialTimedOut
		}
		p.drop(d.c, reason, d.err)
		return
	}
	d.c.conn, d.c.established, d.c.lastUse = d.conn, true, time.Now()
	go p.read(d.c)
}

// forget unregisters an attempt and returns the ID of its part.
func (p *peer) forget(c *connection, ref int64) string {
	delete(p.connOf, ref)
	return c.remove(ref)
}

// cancelAttempt cancels an attempt. If a part of its frame is written, it queues a cancellation to the node.
func (p *peer) cancelAttempt(ref int64) {
	c := p.connOf[ref]
	if c == nil {
		return
	}
	started := c.attempts[ref].started
	id := p.forget(c, ref)
	if started {
		c.queue = append(c.queue, message{cancelID: id})
		c.retired = true
	}
}

// arrived handles an answer.
func (p *peer) arrived(v arrived) {
	if v.probe {
		p.probeArrived(v)
		return
	}
	ref, inFlight := v.c.refs[v.a.id]
	if !inFlight { // no attempt in flight has this ID
		p.fleet.Stats.Unknown.Add(1)
		if v.c.retired = true; !v.c.recentlyEnded(v.a.id) {
			p.drop(v.c, core.BadFrame, errUnsolicited) // it may have been meant for an attempt in flight
		}
		return
	}
	p.forget(v.c, ref)
	v.c.lastUse = time.Now()
	p.end(ref, v.a.end, v.a)
}

// probeArrived handles the answer to the oldest probe.
func (p *peer) probeArrived(v arrived) {
	if len(v.c.probes) == 0 {
		p.fleet.Stats.Unknown.Add(1)
		return
	}
	p.end(v.c.probes[0], v.a.end, v.a)
	v.c.probes, v.c.lastUse = v.c.probes[1:], time.Now()
}

// flush writes a connection's queued messages as far as the socket accepts them without blocking: a node that does not
// read must not block the actor. Each frame is encoded just before the write, with the time remaining now and without
// canceled parts.
func (p *peer) flush(c *connection) {
	if !c.established || c.stalled || len(c.queue)+len(c.partial) == 0 {
		return
	}
	buf, frames := p.encode(c)
	n, err := c.write(buf)
	c.lastUse = time.Now()
	c.sent(buf, frames, n)
	if cap(buf) > maxKeptBuffer {
		buf = nil
	}
	p.frame = buf[:0]
	switch {
	case err != nil:
		p.drop(c, core.ReadFailed, err)
	case len(c.queue)+len(c.partial) == 0:
		c.stalledAt = time.Time{}
	case !c.stalledAt.IsZero() && time.Since(c.stalledAt) > p.fleet.limits.ConnectTimeout:
		p.drop(c, core.ReadFailed, errStalled)
	default:
		p.stall(c, n > 0)
	}
}

// stall takes a connection with a full send buffer out of use until the next write retry.
func (p *peer) stall(c *connection, progress bool) {
	p.fleet.Stats.Stalled.Add(1)
	if c.stalledAt.IsZero() || progress {
		c.stalledAt = time.Now()
	}
	c.stalled = true
	time.AfterFunc(writeRetryDelay, func() { p.post(writeAgain{c}) })
}

// encode encodes the queued messages of c. A part whose latest start has passed ends here instead.
func (p *peer) encode(c *connection) (buf []byte, frames []frame) {
	buf = append(p.frame, c.partial...)
	if len(c.partial) > 0 {
		frames = append(frames, frame{end: len(buf), refs: c.partialRefs, started: true})
	}
	for _, m := range c.queue {
		at := len(buf)
		var refs []int64
		switch {
		case m.call != nil:
			buf, refs = p.encodeCall(buf, c, m.call)
		case m.cancelID != "":
			buf = appendCancel(buf, m.cancelID)
		default:
			buf = finishFrame(beginFrame(buf, probeLetter), at)
		}
		if len(buf) > at {
			frames = append(frames, frame{message: m, end: len(buf), refs: refs})
		}
	}
	return buf, frames
}

// encodeCall appends a frame with the parts of v that are not canceled. It appends nothing if there is none.
func (p *peer) encodeCall(buf []byte, c *connection, v *core.Call) ([]byte, []int64) {
	at, now := len(buf), p.fleet.now()
	buf = beginFrame(buf, callLetter)
	var refs []int64
	for i := range v.Parts {
		part := &v.Parts[i]
		if c.attempts[part.Ref] == nil {
			continue
		}
		if part.NotAfter > 0 && now > part.NotAfter {
			p.forget(c, part.Ref)
			p.end(part.Ref, core.WriteExpired, answer{})
			continue
		}
		buf = appendCall(buf, part, now)
		refs = append(refs, part.Ref)
	}
	if len(refs) == 0 {
		return buf[:at], nil
	}
	return finishFrame(buf, at), refs
}

// drop closes a connection and ends all attempts and probes on it.
func (p *peer) drop(c *connection, reason core.EndReason, err error) {
	if !p.remove(c) {
		return // it is closed already
	}
	p.fleet.conns.Add(-1)
	if c.conn != nil {
		c.conn.Close()
	}
	if len(c.attempts) > 0 {
		p.fleet.Stats.Broken.Add(1)
		p.log.Debug().Str("end", reason.String()).Int("out", len(c.attempts)).AnErr("cause", err).Msg("connection ended")
	}
	for ref, a := range c.attempts {
		delete(p.connOf, ref)
		if c.established && !a.written {
			p.end(ref, core.WriteFailed, answer{})
		} else {
			p.end(ref, reason, answer{})
		}
	}
	for _, ref := range c.probes {
		p.end(ref, reason, answer{})
	}
	c.clear()
}

// remove removes c from the peer's connections. It returns false if c is not one of them.
func (p *peer) remove(c *connection) bool {
	for i, x := range p.conns {
		if x == c {
			p.conns = append(p.conns[:i], p.conns[i+1:]...)
			return true
		}
	}
	return false
}

// sweep closes idle connections before the node's idle timeout, with a margin so that no frame crosses the node's
// close. If the node has moved or is gone it closes them at once.
func (p *peer) sweep() {
	idle := p.fleet.limits.IdleTimeout - max(p.fleet.limits.IdleTimeout/10, 2*sweepInterval)
	for i := len(p.conns) - 1; i >= 0; i-- {
		c := p.conns[i]
		if c.idle() && (p.gone || c.retired || c.addr != p.addr || time.Since(c.lastUse) >= idle) {
			p.drop(c, core.Recalled, nil)
		}
	}
}
