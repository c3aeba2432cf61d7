// Package front is the clients' side: HTTP/1.1 on connections that stay alive, one goroutine for each. It reads
// and checks requests, hands scans on, watches for clients that leave, and writes answers. It decides nothing.
package front

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"gullstair/internal/buffers"
	"gullstair/internal/core"
	"gullstair/internal/ending"
	"gullstair/internal/terms"
)

const (
	headMost   = 4 << 10         // bytes of a request's head, and of each connection's reader
	sendWithin = 2 * time.Second // an answer has so long to go out
	drainFor   = 2 * time.Second
	drainMost  = 1 << 20
	acceptWait = 5 * time.Millisecond
	speakUp    = 300 * time.Millisecond // beyond Ample: a connection that has said nothing for so long goes
	fading     = 0.99                   // of the slowest answer, with each one that follows
	settle     = 100 * time.Millisecond // a connection that came a moment ago has its request on the way
)

// Front serves clients. Take gets each scan, Left each scan whose client went; both may wait.
type Front struct {
	Site terms.Site
	Now  func() float64
	Take func(*core.Scan)
	Left func(*core.Scan)
	Most int // client connections at once
	// Ample is how many of them leave room enough. Beyond it a connection gives its place back with the answer, and one
	// that has never said anything goes soon: its client may count it against what it can open, and so may a machine
	// between. Clients of old connect once more; more than that it cannot harm.
	Ample int
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

	mu     sync.Mutex
	conns  map[*client]struct{}
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

// stage is how far a connection is: between two requests, with a part of one come in, or with one at work.
type stage int

const (
	idle stage = iota
	reading
	working
)

// client is one connection; first, stage and since, when that began, are under the front's mutex.
type client struct {
	f     *Front
	conn  net.Conn
	in    *bufio.Reader
	quota quota
	first bool // nothing has come in yet
	stage stage
	since time.Time
	reply chan core.Reply
}

// quota stops a connection from being read without end: left bytes may still come.
type quota struct {
	conn net.Conn
	left int
}

var errQuota = errors.New("request too long")

func (q *quota) Read(p []byte) (int, error) {
	if q.left <= 0 {
		return 0, errQuota
	}
	n, err := q.conn.Read(p[:min(len(p), q.left)])
	q.left -= n
	return n, err
}

// Ready lets /healthz say so.
func (f *Front) Ready() { f.ready.Store(true) }

// crowded says whether answers should give their connections' places back; not while stopping, when a connection that
// is open is all that a client has.
func (f *Front) crowded() bool { return f.Conns() > f.Ample && !f.stopping.Load() }

// Conns is how many client connections are open.
func (f *Front) Conns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// Serve accepts until the listener closes. It never waits, since the time of those in the machine's queue runs: at the
// limit the connection goes that has been idle longest, or has sent half a request for longest; where all are at work
// it is the new one.
func (f *Front) Serve(ln net.Listener) error {
	f.mu.Lock()
	f.conns = map[*client]struct{}{}
	f.mu.Unlock()
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			// No descriptor was free, or the client went before it was accepted. Ending over that would lose every
			// scan that is open; it can only harm by trying in vain, so not too often.
			f.Stats.Failed.Add(1)
			f.mu.Lock()
			f.closeOldest(idle, 0, false)
			f.mu.Unlock()
			time.Sleep(acceptWait)
			continue
		}
		f.Stats.Accepted.Add(1)
		f.Stats.lastAccept.Store(time.Now().UnixNano())
		c := &client{f: f, conn: conn, reply: make(chan core.Reply, 1), first: true, since: time.Now()}
		c.quota.conn = conn
		f.mu.Lock()
		for len(f.conns) >= f.Ample && f.closeOldest(idle, speakUp, true) {
		}
		if len(f.conns) >= f.Most && !f.closeOldest(idle, 0, false) && !f.closeOldest(reading, settle, false) {
			f.Stats.Crowded.Add(1)
			f.mu.Unlock()
			conn.Close()
			continue
		}
		f.conns[c] = struct{}{}
		f.mu.Unlock()
		go c.serve()
	}
}

// closeOldest closes the connection that has been at a stage longest, and at least for so long; silent: of those that
// have never sent anything. It needs the mutex.
func (f *Front) closeOldest(at stage, atLeast time.Duration, silent bool) bool {
	var oldest *client
	for c := range f.conns {
		if c.stage == at && (c.first || !silent) && (oldest == nil || c.since.Before(oldest.since)) {
			oldest = c
		}
	}
	if oldest == nil || time.Since(oldest.since) < atLeast {
		return false
	}
	delete(f.conns, oldest)
	f.Stats.ByFront.Add(1)
	oldest.conn.Close()
	return true
}

// Stop ends the front as end decides: /healthz says so at once, clients are served on the connections they have and on new
// ones, then sent away, then turned away. It returns when nothing holds the broker any more, or with false when end says
// that what is open is to be given up.
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
			for f.closeOldest(idle, settle, false) {
			}
		}
		f.mu.Unlock()
		f.tooLate.Store(o.Refuse)
		if o.Done || o.GiveUp {
			return o.Done
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Flush waits until the last answers are out and nobody is connected any more, and not for longer than within; it says whether that is so. Connections that have been
// idle for so long are closed.
func (f *Front) Flush(within, idleFor time.Duration) bool {
	for begun := time.Now(); f.Conns() > 0 && time.Since(begun) < within; time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		for f.closeOldest(idle, idleFor, false) {
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

func (c *client) serve() {
	c.in = bufio.NewReaderSize(&c.quota, headMost)
	defer func() {
		c.conn.Close()
		c.f.mu.Lock()
		delete(c.f.conns, c)
		c.f.mu.Unlock()
	}()
	for c.one() {
	}
}

// enter says how far the connection is; false: it has been closed meanwhile.
func (c *client) enter(at stage) bool {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	_, here := c.f.conns[c]
	c.stage, c.since, c.first = at, time.Now(), false
	return here
}

// one serves one request; false: the connection is to be closed.
func (c *client) one() bool {
	c.quota.left = headMost
	begun := c.since
	c.conn.SetReadDeadline(begun.Add(c.f.ReadWithin))
	if _, err := c.in.Peek(1); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.f.Stats.ByFront.Add(1)
		} else if !errors.Is(err, net.ErrClosed) {
			c.f.Stats.ByClient.Add(1)
		}
		return false
	}
	at := c.f.Now()
	first := c.first
	if !c.enter(reading) {
		return false
	}
	if !first {
		c.conn.SetReadDeadline(time.Now().Add(c.f.ReadWithin))
	}
	if status, why := c.head(); status != 0 {
		c.f.Stats.Malformed.Add(1)
		if c.write(plain(status, why), true) {
			c.drain()
		}
		return false
	}
	req, err := http.ReadRequest(c.in)
	if err != nil {
		c.f.Stats.Malformed.Add(1)
		if c.write(plain(http.StatusBadRequest, "the request could not be read"), true) {
			c.drain()
		}
		return false
	}
	c.f.Stats.Requests.Add(1)
	last := req.Close || c.f.leaving.Load() || c.f.crowded()
	scan, r := c.f.read(c, req, at)
	if scan == nil {
		last = last || r.fatal || c.f.leaving.Load()
		if c.write(r, last) && r.fatal {
			c.drain()
		}
		return !last && c.enter(idle)
	}
	if c.f.tooLate.Load() {
		c.write(plain(http.StatusServiceUnavailable, "stopping"), true)
		return false
	}
	if !c.enter(working) {
		return false
	}
	scan.Client = c
	c.conn.SetReadDeadline(time.Time{})
	c.f.Take(scan)
	// While the scan is out the connection is watched: a client that closes it has left. Reply breaks the wait.
	if _, err := c.in.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, errQuota) {
		c.f.Stats.LeftAtWork.Add(1)
		c.f.Left(scan)
		return false
	}
	reply := <-c.reply
	c.f.took(c.f.Now() - at)
	last = last || c.f.leaving.Load() || c.f.crowded()
	return c.write(render(reply), last) && !last && c.enter(idle)
}

// head waits for a request's head and looks at it as it came, or says what to answer. Of two lengths, or a length and
// chunks, http.ReadRequest keeps one and forgets the other, and what stands behind the body by the one could be a
// request by the other: nobody may be served that.
func (c *client) head() (status int, why string) {
	for n := 1; ; n++ {
		n = max(n, c.in.Buffered())
		text, err := c.in.Peek(n)
		if end := headEnd(text); end > 0 {
			return framing(text[:end])
		} else if errors.Is(err, bufio.ErrBufferFull) || errors.Is(err, errQuota) {
			return http.StatusRequestHeaderFieldsTooLarge, "the head is too long"
		} else if errors.Is(err, os.ErrDeadlineExceeded) {
			return http.StatusRequestTimeout, "the request took too long"
		} else if err != nil {
			return http.StatusBadRequest, "the request could not be read"
		}
	}
}

// drain reads on for a moment after an answer to a request that was not read whole: a connection closed with
// bytes unread is reset, and the answer with it.
func (c *client) drain() {
	if tcp, ok := c.conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		c.conn.SetReadDeadline(time.Now().Add(drainFor))
		c.quota.left = drainMost
		buf := buffers.Get()
		defer buffers.Put(buf)
		for {
			if _, err := c.in.Read(buf[:]); err != nil {
				return
			}
		}
	}
}

// Reply hands a scan's answer to its connection. It never waits.
func Reply(r core.Reply) {
	c := r.Scan.Client.(*client)
	c.conn.SetReadDeadline(time.Unix(1, 0)) // first: who takes the reply sets the next one
	select {
	case c.reply <- r:
	default: // a second answer to one scan: there is none
	}
}

func (c *client) write(a answer, last bool) bool {
	if last {
		c.f.Stats.ByAnswer.Add(1)
	}
	c.conn.SetWriteDeadline(time.Now().Add(sendWithin))
	_, err := c.conn.Write(a.bytes(last))
	return err == nil
}
