// Package front is the broker's HTTP/1.1 server for clients. It serves persistent connections with one goroutine each:
// it reads and validates requests, passes scans on, detects clients that disconnect, and writes answers. How a scan is
// answered is decided elsewhere.
package front

import (
	"errors"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"gullstair/internal/buffers"
	"gullstair/internal/core"
	"gullstair/internal/shutdown"
	"gullstair/internal/startsettings"
)

const (
	acceptRetryDelay  = 5 * time.Millisecond
	silentTimeout     = 300 * time.Millisecond // above SoftMaxConns, a connection without any request for this long is closed
	answerTimeDecay   = 0.99                   // decay of the slowest answer's time with each further answer
	minIdleAge        = 100 * time.Millisecond // a connection younger than this probably has a request in transit
	stopPollInterval  = 20 * time.Millisecond
	flushPollInterval = 5 * time.Millisecond
	maxYields         = 10 // how often the acceptor yields to other goroutines before it rejects a connection
)

// MaxClosingConns is the maximum number of closing connections, in addition to MaxConns in service.
const MaxClosingConns = 16

// ConnBytes is the memory of a connection whose request is being read: the buffer for its body, its goroutine and its
// other buffers.
const ConnBytes = buffers.Size + 28<<10

// Front serves clients. It calls OnScan with each scan, and OnDisconnect with each scan whose client disconnected; both
// may block.
type Front struct {
	Site         startsettings.Settings
	Now          func() float64
	OnScan       func(*core.Scan)
	OnDisconnect func(*core.Scan)
	MaxConns     int // maximum client connections in service
	// SoftMaxConns is the number of connections up to which the front keeps them open. Above it a connection closes
	// with its next answer, and one that has sent no request closes soon: a client, or a machine in between, may count
	// it against its own limit. At worst such a client has to connect again.
	SoftMaxConns int
	// ReadAhead is the total number of bytes of pipelined requests that all connections together may buffer.
	ReadAhead int
	// ReadWithin is the timeout of an idle connection and of reading a request. For the first request it counts from
	// the accept; later from the last answer and from the request's first byte. Idle connections hold descriptors that
	// others need.
	ReadWithin time.Duration
	Log        zerolog.Logger
	Stats      Stats

	ready            atomic.Bool
	stopping         atomic.Bool
	closeAfterAnswer atomic.Bool
	refuseScans      atomic.Bool
	readAheadBudget  atomic.Int64 // remaining bytes of ReadAhead

	mu            sync.Mutex
	conns         map[*client]struct{}
	ending        int     // number of conns that were asked to close or are shut
	slowestAnswer float64 // recent slowest answer time, ms
}

// Stats are the front's counters.
type Stats struct {
	Accepted, AcceptsFailed, Requests, Malformed, Rejected atomic.Int64
	// Closed connections by cause: by the client between two requests or during one, by the front after an answer that
	// announced it, by the front to free a slot or after the idle timeout.
	ByClient, LeftWhileProcessing, ByAnswer, ByFront atomic.Int64
	lastAccept                                       atomic.Int64 // wall clock, ns
}

// Ready makes /healthz report that the broker is ready.
func (f *Front) Ready() { f.ready.Store(true) }

// crowded reports whether connections should close with their next answer. It returns false during shutdown, when an
// open connection may be the only one that a client has.
func (f *Front) crowded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inService() > f.SoftMaxConns && !f.stopping.Load()
}

// Conns returns the number of open client connections.
func (f *Front) Conns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// inService returns the number of connections that were not asked to close. The caller holds the mutex.
func (f *Front) inService() int { return len(f.conns) - f.ending }

// markEnding counts c as ending, once. The caller holds the mutex.
func (f *Front) markEnding(c *client) {
	if !c.ending {
		c.ending = true
		f.ending++
	}
}

// remove deletes c from the open connections. The caller holds the mutex.
func (f *Front) remove(c *client) {
	if _, here := f.conns[c]; !here {
		return
	}
	delete(f.conns, c)
	if c.ending {
		f.ending--
	}
}

// Serve accepts connections until the listener closes. It does not wait for a free slot, because the time budgets of
// the clients in the accept queue are running. At the limit it closes the connection that has been idle longest, else
// the one with the oldest incomplete request; if all are processing requests it rejects the new one.
func (f *Front) Serve(ln net.Listener) error {
	f.mu.Lock()
	f.conns = map[*client]struct{}{}
	f.mu.Unlock()
	f.readAheadBudget.Store(int64(f.ReadAhead))
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			// No descriptor is free, or the client closed the connection before the accept. Returning would lose all
			// open scans, so retry after a short pause.
			f.Stats.AcceptsFailed.Add(1)
			f.freeDescriptor()
			time.Sleep(acceptRetryDelay)
			continue
		}
		f.Stats.Accepted.Add(1)
		f.Stats.lastAccept.Store(time.Now().UnixNano())
		c := newClient(f, conn)
		if !f.admit(c) {
			f.Stats.Rejected.Add(1)
			conn.Close()
			continue
		}
		go c.serve()
	}
}

// admit reserves a slot for a new connection, and closes another connection for it if needed. It returns false if there
// is none.
func (f *Front) admit(c *client) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.inService() >= f.SoftMaxConns && f.requestCloseOfOldest(idle, silentTimeout, true) {
	}
	if f.inService() >= f.MaxConns && !f.requestCloseOfOldest(idle, 0, false) && !f.requestCloseOfOldest(reading, minIdleAge, false) {
		return false
	}
	for tries := 0; len(f.conns) >= f.MaxConns+MaxClosingConns; tries++ {
		if f.closeOldestShut() {
			continue
		}
		if tries == maxYields {
			return false
		}
		// The goroutines of the connections that were asked to close have not run yet: a flood of connections is
		// accepted faster than that.
		f.mu.Unlock()
		runtime.Gosched()
		f.mu.Lock()
	}
	f.conns[c] = struct{}{}
	return true
}

// freeDescriptor frees a descriptor when none is left: of a connection that is shut already, else of the one that has
// been idle longest.
func (f *Front) freeDescriptor() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.closeOldestShut() {
		f.requestCloseOfOldest(idle, 0, false)
	}
}

// requestCloseOfOldest asks the connection to close that has been at the given stage longest, for at least atLeast.
// With silent it considers only connections that have never sent a byte. The connection's goroutine decides, since it
// may just have read the first bytes of a request. The caller holds the mutex.
func (f *Front) requestCloseOfOldest(at stage, atLeast time.Duration, silent bool) bool {
	c := f.oldest(func(c *client) bool { return c.stage == at && !c.closeRequested && (c.noInput || !silent) })
	if c == nil || time.Since(c.since) < atLeast {
		return false
	}
	c.closeRequested = true
	f.markEnding(c)
	f.Stats.ByFront.Add(1)
	c.conn.SetReadDeadline(pastDeadline)
	return true
}

// closeOldestShut closes the connection that was shut longest ago and that its client has not closed yet. Its further
// input is discarded in any case. The caller holds the mutex.
func (f *Front) closeOldestShut() bool {
	c := f.oldest(func(c *client) bool { return c.stage == closing })
	if c == nil {
		return false
	}
	f.remove(c)
	c.conn.Close()
	return true
}

// oldest returns the connection that has been at its stage longest, of those that fits accepts.
func (f *Front) oldest(fits func(*client) bool) (oldest *client) {
	for c := range f.conns {
		if fits(c) && (oldest == nil || c.since.Before(oldest.since)) {
			oldest = c
		}
	}
	return oldest
}

// Stop shuts the front down in the phases that end decides. /healthz reports it at once. Clients are first served on
// their connections and on new ones, then their connections close after the next answer, then new scans are refused.
// Stop returns true when all work is done, or false when end decides to abandon the open scans.
func (f *Front) Stop(end *shutdown.Shutdown) bool {
	f.stopping.Store(true)
	start, st := time.Now(), &f.Stats
	defer func(open int, byClient, atWork, byAnswer, byFront, requests int64) {
		f.Log.Info().Int("open_at_stop", open).Int64("by_client", st.ByClient.Load()-byClient).
			Int64("left_at_work", st.LeftWhileProcessing.Load()-atWork).Int64("by_answer", st.ByAnswer.Load()-byAnswer).
			Int64("by_front", st.ByFront.Load()-byFront).Int64("requests", st.Requests.Load()-requests).
			Float64("last_accept_ms", float64(st.lastAccept.Load()-start.UnixNano())/1e6).
			Float64("took_ms", float64(time.Since(start))/1e6).Int("open", f.Conns()).Msg("front stopped")
	}(f.Conns(), st.ByClient.Load(), st.LeftWhileProcessing.Load(), st.ByAnswer.Load(), st.ByFront.Load(), st.Requests.Load())
	for {
		f.mu.Lock()
		o := end.Step(shutdown.State{Elapsed: float64(time.Since(start)) / 1e6, AnswerTime: f.slowestAnswer, Clients: len(f.conns)})
		if o.Drain {
			f.closeAfterAnswer.Store(true)
			for f.requestCloseOfOldest(idle, minIdleAge, false) {
			}
		}
		f.mu.Unlock()
		f.refuseScans.Store(o.Reject)
		if o.Done || o.Fail {
			return o.Done
		}
		time.Sleep(stopPollInterval)
	}
}

// Flush waits until all connections are closed, at most for within, and reports whether they are. It closes connections
// that have been idle for idleFor.
func (f *Front) Flush(within, idleFor time.Duration) bool {
	for start := time.Now(); f.Conns() > 0 && time.Since(start) < within; time.Sleep(flushPollInterval) {
		f.mu.Lock()
		for f.requestCloseOfOldest(idle, idleFor, false) {
		}
		f.mu.Unlock()
	}
	return f.Conns() == 0
}

// recordAnswerTime updates the recent slowest answer time, which decays over some hundred answers.
func (f *Front) recordAnswerTime(ms float64) {
	f.mu.Lock()
	f.slowestAnswer = max(ms, f.slowestAnswer*answerTimeDecay)
	f.mu.Unlock()
}
