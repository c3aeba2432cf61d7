// Package front is the broker's HTTP/1.1 server: persistent connections, one goroutine for each. It reads and checks
// requests, hands queries on, watches for clients that leave, and writes answers. It decides nothing.
package front

import (
	"errors"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"gullstair/internal/core"
	"gullstair/internal/ending"
	"gullstair/internal/terms"
)

const (
	acceptWait = 5 * time.Millisecond
	speakUp    = 300 * time.Millisecond // beyond Ample: a connection that has said nothing for so long goes
	fading     = 0.99                   // of the slowest answer, with each one that follows
	settle     = 100 * time.Millisecond // a connection that came a moment ago has its request on the way
	stopStep   = 20 * time.Millisecond
	flushStep  = 5 * time.Millisecond
	yieldMost  = 10 // how often the acceptor lets others run before it turns a connection away
)

// ClosingMost is how many connections may be on their way out at once beside Most in service.
const ClosingMost = 16

// Front serves clients. Take gets each query, Left each query whose client went; both may wait.
type Front struct {
	Site terms.Site
	Now  func() float64
	Take func(*core.Scan)
	Left func(*core.Scan)
	Most int // client connections in service at once
	// Ample is how many of them leave room enough. Beyond it a connection gives its place back with the answer, and one
	// that has never said anything goes soon: its client may count it against what it can open, and so may a machine
	// between. Clients of old connect once more; more than that it cannot harm.
	Ample int
	// ReadAhead is how many bytes all connections together may hold of requests that follow one at work.
	ReadAhead int
	// ReadWithin is how long a connection may stay without a request, and how long a request may take to come in:
	// counted from the accept for the first one, then from the last answer and from its first byte. Whoever says
	// nothing holds a descriptor that others need.
	ReadWithin time.Duration
	Log        zerolog.Logger
	Stats      Stats

	ready    atomic.Bool
	stopping atomic.Bool
	leaving  atomic.Bool
	tooLate  atomic.Bool
	budget   atomic.Int64 // of ReadAhead, what is left

	mu     sync.Mutex
	conns  map[*client]struct{}
	ending int     // of them, those that are asked to end or shut
	answer float64 // what answers took of late, ms
}

// Stats count what the front saw.
type Stats struct {
	Accepted, Failed, Requests, Malformed, Crowded atomic.Int64
	// Ends of connections: by the client between two requests or during one, by the front after an answer that said so,
	// by the front for another's sake or for having said nothing.
	ByClient, LeftAtWork, ByAnswer, ByFront atomic.Int64
	lastAccept                              atomic.Int64 // wall clock, ns
}

// Ready lets /healthz say so.
func (f *Front) Ready() { f.ready.Store(true) }

// crowded says whether answers should give their connections' places back; not while stopping, when a connection that
// is open is all that a client has.
func (f *Front) crowded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inService() > f.Ample && !f.stopping.Load()
}

// Conns is how many client connections are open.
func (f *Front) Conns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// inService counts the connections that nobody has asked to end. It needs the mutex.
func (f *Front) inService() int { return len(f.conns) - f.ending }

// leaves notes that c is on its way out; remove, that it is gone. They need the mutex.
func (f *Front) leaves(c *client) {
	if !c.ending {
		c.ending = true
		f.ending++
	}
}

func (f *Front) remove(c *client) {
	if _, here := f.conns[c]; !here {
		return
	}
	delete(f.conns, c)
	if c.ending {
		f.ending--
	}
}

// Serve accepts until the listener closes. It never waits, since the time of those in the machine's queue runs: at the
// limit the connection goes that has been idle longest, or has sent half a request for longest; where all are at work
// it is the new one.
func (f *Front) Serve(ln net.Listener) error {
	f.mu.Lock()
	f.conns = map[*client]struct{}{}
	f.mu.Unlock()
	f.budget.Store(int64(f.ReadAhead))
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			// No descriptor was free, or the client went before it was accepted. Ending over that would lose every
			// query that is open; it can only harm by trying in vain, so not too often.
			f.Stats.Failed.Add(1)
			f.freeOne()
			time.Sleep(acceptWait)
			continue
		}
		f.Stats.Accepted.Add(1)
		f.Stats.lastAccept.Store(time.Now().UnixNano())
		c := newClient(f, conn)
		if !f.admit(c) {
			f.Stats.Crowded.Add(1)
			conn.Close()
			continue
		}
		go c.serve()
	}
}

// admit gives a new connection a place, another's if need be; false: there is none.
func (f *Front) admit(c *client) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.inService() >= f.Ample && f.askOldest(idle, speakUp, true) {
	}
	if f.inService() >= f.Most && !f.askOldest(idle, 0, false) && !f.askOldest(reading, settle, false) {
		return false
	}
	for tries := 0; len(f.conns) >= f.Most+ClosingMost; tries++ {
		if f.cutOldest() {
			continue
		}
		if tries == yieldMost {
			return false
		}
		// Those that were asked to end have not run since: a flood of connections is accepted faster than that.
		f.mu.Unlock()
		runtime.Gosched()
		f.mu.Lock()
	}
	f.conns[c] = struct{}{}
	return true
}

// freeOne has a descriptor given back where none is left: of a connection that has been shut already, else of the one
// that has been idle longest.
func (f *Front) freeOne() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.cutOldest() {
		f.askOldest(idle, 0, false)
	}
}

// askOldest asks the connection to end that has been at a stage longest, and at least for so long; silent: of those
// that have never sent anything. What comes of it is that connection's goroutine's to decide: it may have read the
// first bytes of a request just now. It needs the mutex.
func (f *Front) askOldest(at stage, atLeast time.Duration, silent bool) bool {
	c := f.oldest(func(c *client) bool { return c.stage == at && !c.asked && (c.first || !silent) })
	if c == nil || time.Since(c.since) < atLeast {
		return false
	}
	c.asked = true
	f.leaves(c)
	f.Stats.ByFront.Add(1)
	c.conn.SetReadDeadline(longPast)
	return true
}

// cutOldest closes the connection that was shut longest ago and whose client has not closed it since: what still comes
// on it is dropped in any case. It needs the mutex.
func (f *Front) cutOldest() bool {
	c := f.oldest(func(c *client) bool { return c.stage == closing })
	if c == nil {
		return false
	}
	f.remove(c)
	c.conn.Close()
	return true
}

// oldest is the connection that has been at its stage longest, of those that fit.
func (f *Front) oldest(fits func(*client) bool) (oldest *client) {
	for c := range f.conns {
		if fits(c) && (oldest == nil || c.since.Before(oldest.since)) {
			oldest = c
		}
	}
	return oldest
}

// Stop ends the front as end decides: /healthz says so at once, clients are served on the connections they have and on
// new ones, then sent away, then turned away. It returns when nothing holds the broker any more, or with false when end
// says that what is open is to be given up.
func (f *Front) Stop(end *ending.End) bool {
	f.stopping.Store(true)
	begun, st := time.Now(), &f.Stats
	defer func(open int, byClient, atWork, byAnswer, byFront, requests int64) {
		f.Log.Info().Int("open_at_stop", open).Int64("by_client", st.ByClient.Load()-byClient).
			Int64("left_at_work", st.LeftAtWork.Load()-atWork).Int64("by_answer", st.ByAnswer.Load()-byAnswer).
			Int64("by_front", st.ByFront.Load()-byFront).Int64("requests", st.Requests.Load()-requests).
			Float64("last_accept_ms", float64(st.lastAccept.Load()-begun.UnixNano())/1e6).
			Float64("took_ms", float64(time.Since(begun))/1e6).Int("open", f.Conns()).Msg("front stopped")
	}(f.Conns(), st.ByClient.Load(), st.LeftAtWork.Load(), st.ByAnswer.Load(), st.ByFront.Load(), st.Requests.Load())
	for {
		f.mu.Lock()
		o := end.Step(ending.Seen{Passed: float64(time.Since(begun)) / 1e6, Answer: f.answer, Clients: len(f.conns)})
		if o.Leave {
			f.leaving.Store(true)
			for f.askOldest(idle, settle, false) {
			}
		}
		f.mu.Unlock()
		f.tooLate.Store(o.Refuse)
		if o.Done || o.GiveUp {
			return o.Done
		}
		time.Sleep(stopStep)
	}
}

// Flush waits until the last answers are out and nobody is connected any more, and not for longer than within; it says
// whether that is so. Connections that have been idle for so long are closed.
func (f *Front) Flush(within, idleFor time.Duration) bool {
	for begun := time.Now(); f.Conns() > 0 && time.Since(begun) < within; time.Sleep(flushStep) {
		f.mu.Lock()
		for f.askOldest(idle, idleFor, false) {
		}
		f.mu.Unlock()
	}
	return f.Conns() == 0
}

// took keeps what answers took of late: the slowest of some hundred.
func (f *Front) took(ms float64) {
	f.mu.Lock()
	f.answer = max(ms, f.answer*fading)
	f.mu.Unlock()
}
