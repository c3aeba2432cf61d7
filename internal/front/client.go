package front

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"gullstair/internal/core"
)

const (
	headMost   = 4 << 10         // bytes of a request's head, and of each connection's reader
	sendWithin = 2 * time.Second // an answer has so long to go out
	// lingerFor is how long a connection is read on after it was shut, and lingerMost how many bytes of it. One that
	// is closed with bytes unread is reset, and an answer that the client has not read yet is lost with it.
	lingerFor  = time.Second
	lingerMost = 1 << 20
)

// longPast is a read deadline that wakes a connection's goroutine at once.
var longPast = time.Unix(1, 0)

// stage is how far a connection is: between two requests, with a part of one come in, with one at work, or shut, when
// what still comes is read and dropped.
type stage int

const (
	idle stage = iota
	reading
	working
	closing
)

// client is one connection. Its goroutine alone ends it; others ask it to. first, asked, ending, stage and since, when
// that began, are under the front's mutex.
type client struct {
	f     *Front
	conn  net.Conn
	input input
	in    *bufio.Reader
	cut   bool // no more answer can be written
	first bool // nothing has come in yet
	asked bool // it is to end before its next request
	// ending: asked, or shut; the front counts those.
	ending bool
	stage  stage
	since  time.Time
	reply  chan core.Reply
}

func newClient(f *Front, conn net.Conn) *client {
	c := &client{f: f, conn: conn, reply: make(chan core.Reply, 1), first: true, since: time.Now()}
	c.input = input{conn: conn, now: f.Now, budget: &f.budget}
	c.in = bufio.NewReaderSize(&c.input, headMost)
	return c
}

func (c *client) serve() {
	c.wait(true)
	for c.one() {
	}
	if c.enter(closing, time.Now().Add(lingerFor)) && !c.cut {
		c.linger()
	}
	c.conn.Close()
	c.input.release()
	c.f.mu.Lock()
	c.f.remove(c)
	c.f.mu.Unlock()
}

// enter says how far the connection is, and how long its goroutine waits there; false: it has been cut.
func (c *client) enter(at stage, until time.Time) bool {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	_, here := c.f.conns[c]
	c.stage, c.since = at, time.Now()
	c.conn.SetReadDeadline(until)
	if at == closing && here {
		c.f.leaves(c)
	}
	return here
}

// wait begins the time between two requests; false: the connection is to end.
func (c *client) wait(accepted bool) bool {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	if c.asked && !accepted && !c.more() {
		return false
	}
	c.stage = idle
	if !accepted {
		c.since = time.Now()
	}
	if !c.asked {
		c.conn.SetReadDeadline(c.since.Add(c.f.ReadWithin))
	}
	return true
}

// begin notes that a request has begun to come in.
func (c *client) begin() {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	until := time.Now().Add(c.f.ReadWithin)
	if c.first {
		until = c.since.Add(c.f.ReadWithin)
	}
	c.stage, c.since, c.first = reading, time.Now(), false
	c.conn.SetReadDeadline(until)
}

// one serves one request; false: the connection is to be closed.
func (c *client) one() bool {
	c.input.quota = headMost
	if _, err := c.in.Peek(1); err != nil {
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.f.Stats.ByClient.Add(1)
		} else if !c.wasAsked() {
			c.f.Stats.ByFront.Add(1)
		}
		return false
	}
	at := c.input.cameAt(c.in.Buffered())
	c.begin()
	if status, why := c.head(); status != 0 {
		return c.refuse(plain(status, why))
	}
	req, err := http.ReadRequest(c.in)
	if err != nil {
		return c.refuse(plain(http.StatusBadRequest, "the request could not be read"))
	}
	c.f.Stats.Requests.Add(1)
	scan, r := c.f.read(c, req, at)
	switch {
	case scan == nil:
		return c.answer(r, req.Close || r.fatal)
	case c.f.tooLate.Load():
		return c.answer(plain(http.StatusServiceUnavailable, "stopping"), req.Close)
	}
	return c.work(scan, req.Close)
}

// answer writes an answer, and says whether the connection goes on. It ends where it is to, or where its place is
// wanted, but not over a request that has been read: its client would wait for an answer that never comes.
func (c *client) answer(a answer, last bool) bool {
	wanted := c.wasAsked() || c.f.leaving.Load() || c.f.crowded()
	last = last || wanted && !c.more()
	return c.write(a, last) && !last && c.wait(false)
}

// more says whether some of a further request has been read.
func (c *client) more() bool { return c.in.Buffered()+len(c.input.ahead) > 0 }

// work has a query answered; false: the connection is to be closed.
func (c *client) work(scan *core.Scan, last bool) bool {
	if c.input.gone() {
		c.f.Stats.LeftAtWork.Add(1) // nobody waits for it: it is not begun
		return false
	}
	scan.Client = c
	c.enter(working, time.Time{})
	c.f.Take(scan)
	// While the query is out the connection is read: a client that closes it has left. Reply breaks the wait.
	if c.input.watch() {
		c.f.Stats.LeftAtWork.Add(1)
		c.f.Left(scan)
		return false
	}
	flooded := c.input.full()
	reply := <-c.reply
	c.f.took(c.f.Now() - scan.At)
	return c.answer(render(reply), last || flooded)
}

func (c *client) wasAsked() bool {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	return c.asked
}

// refuse answers what could not be read as a request: where the next one begins is not known.
func (c *client) refuse(a answer) bool {
	c.f.Stats.Malformed.Add(1)
	c.write(a, true)
	return false
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

// linger shuts the connection for writing and reads on until the client closes it too. A request that comes now was
// never taken: its client finds the connection shut, and sends it once more on another.
func (c *client) linger() {
	if tcp, ok := c.conn.(*net.TCPConn); ok && c.input.err == nil && tcp.CloseWrite() == nil {
		c.input.discard(lingerMost, time.Now().Add(lingerFor))
	}
}

// Reply hands a query's answer to its connection. It never waits.
func Reply(r core.Reply) {
	c := r.Scan.Client.(*client)
	c.conn.SetReadDeadline(longPast) // first: who takes the reply sets the next one
	select {
	case c.reply <- r:
	default: // a second answer to one query: there is none
	}
}

func (c *client) write(a answer, last bool) bool {
	if last {
		c.f.Stats.ByAnswer.Add(1)
	}
	c.conn.SetWriteDeadline(time.Now().Add(sendWithin))
	_, err := c.conn.Write(a.bytes(last))
	c.cut = err != nil
	return !c.cut
}
