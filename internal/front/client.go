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
	maxHeadBytes = 4 << 10         // maximum size of a request head in bytes, and the size of each connection's read buffer
	writeTimeout = 2 * time.Second // write timeout of an answer
	// lingerTimeout and maxLingerBytes bound, in time and bytes, how long the front reads from a connection after it
	// shut down the write side. Closing a socket with unread bytes resets it, and the client then loses an answer that
	// it has not read yet.
	lingerTimeout  = time.Second
	maxLingerBytes = 1 << 20
)

// pastDeadline is a read deadline in the past; it unblocks a connection's goroutine at once.
var pastDeadline = time.Unix(1, 0)

// stage is the state of a connection: idle between two requests, reading a request, waiting for the answer to one, or
// closing, when the write side is shut and further input is discarded.
type stage int

const (
	idle stage = iota
	reading
	processing
	closing
)

// client is one client connection. Its own goroutine closes it; others request that through closeRequested. The front's
// mutex guards noInput, closeRequested, ending, stage and since, the time at which the stage began.
type client struct {
	front          *Front
	conn           net.Conn
	input          input
	in             *bufio.Reader
	writeFailed    bool // a write has failed, so no further answer can be sent
	noInput        bool // no byte has arrived yet
	closeRequested bool // it must close before its next request
	// ending means that it was asked to close or that its write side is shut. Front.ending counts these.
	ending bool
	stage  stage
	since  time.Time
	reply  chan core.Reply
}

func newClient(front *Front, conn net.Conn) *client {
	c := &client{front: front, conn: conn, reply: make(chan core.Reply, 1), noInput: true, since: time.Now()}
	c.input = input{conn: conn, now: front.Now, budget: &front.readAheadBudget}
	c.in = bufio.NewReaderSize(&c.input, maxHeadBytes)
	return c
}

// serve handles the connection's requests and then closes it.
func (c *client) serve() {
	c.startIdle(true)
	for c.serveRequest() {
	}
	if c.enter(closing, time.Now().Add(lingerTimeout)) && !c.writeFailed {
		c.linger()
	}
	c.conn.Close()
	c.input.release()
	c.front.mu.Lock()
	c.front.remove(c)
	c.front.mu.Unlock()
}

// enter sets the connection's stage and read deadline. It returns false if the front has already removed the
// connection.
func (c *client) enter(at stage, until time.Time) bool {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	_, here := c.front.conns[c]
	c.stage, c.since = at, time.Now()
	c.conn.SetReadDeadline(until)
	if at == closing && here {
		c.front.markEnding(c)
	}
	return here
}

// startIdle makes the connection idle; accepted means that it is a new one. It returns false if the connection must
// close.
func (c *client) startIdle(accepted bool) bool {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	if c.closeRequested && !accepted && !c.hasMore() {
		return false
	}
	c.stage = idle
	if !accepted {
		c.since = time.Now()
	}
	if !c.closeRequested {
		c.conn.SetReadDeadline(c.since.Add(c.front.ReadWithin))
	}
	return true
}

// startReading records that the first bytes of a request have arrived.
func (c *client) startReading() {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	until := time.Now().Add(c.front.ReadWithin)
	if c.noInput {
		until = c.since.Add(c.front.ReadWithin)
	}
	c.stage, c.since, c.noInput = reading, time.Now(), false
	c.conn.SetReadDeadline(until)
}

// serveRequest handles one request. It returns false if the connection must close.
func (c *client) serveRequest() bool {
	c.input.quota = maxHeadBytes
	if _, err := c.in.Peek(1); err != nil {
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.front.Stats.ByClient.Add(1)
		} else if !c.mustClose() {
			c.front.Stats.ByFront.Add(1)
		}
		return false
	}
	at := c.input.arrivedAt(c.in.Buffered())
	c.startReading()
	if status, why := c.readHead(); status != 0 {
		return c.refuse(plain(status, why))
	}
	req, err := http.ReadRequest(c.in)
	if err != nil {
		return c.refuse(plain(http.StatusBadRequest, "the request could not be read"))
	}
	c.front.Stats.Requests.Add(1)
	scan, r := c.front.handleRequest(c, req, at)
	switch {
	case scan == nil:
		return c.answer(r, req.Close || r.mustClose)
	case c.front.refuseScans.Load():
		return c.answer(plain(http.StatusServiceUnavailable, "stopping"), req.Close)
	}
	return c.process(scan, req.Close)
}

// answer writes an answer and reports whether the connection stays open. The connection closes if it was asked to or
// the front needs its slot, but not while a further request has been read: the client would wait for its answer in
// vain.
func (c *client) answer(a answer, last bool) bool {
	shouldClose := c.mustClose() || c.front.closeAfterAnswer.Load() || c.front.crowded()
	last = last || shouldClose && !c.hasMore()
	return c.write(a, last) && !last && c.startIdle(false)
}

// hasMore reports whether bytes of a further request have been read.
func (c *client) hasMore() bool { return c.in.Buffered()+len(c.input.ahead) > 0 }

// process passes a scan on and writes its answer. It returns false if the connection must close.
func (c *client) process(scan *core.Scan, last bool) bool {
	if c.input.gone() {
		c.front.Stats.LeftWhileProcessing.Add(1) // the client is gone, so the scan is not started
		return false
	}
	scan.Client = c
	c.enter(processing, time.Time{})
	c.front.OnScan(scan)
	// Read from the connection while the scan runs, to detect a client that closes it. Reply unblocks the read.
	if c.input.watch() {
		c.front.Stats.LeftWhileProcessing.Add(1)
		c.front.OnDisconnect(scan)
		return false
	}
	flooded := c.input.full()
	reply := <-c.reply
	c.front.recordAnswerTime(c.front.Now() - scan.ReceivedAt)
	return c.answer(render(reply), last || flooded)
}

// mustClose reports whether the connection was asked to close.
func (c *client) mustClose() bool {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	return c.closeRequested
}

// refuse answers a malformed request and closes the connection, since the start of the next request is unknown.
func (c *client) refuse(a answer) bool {
	c.front.Stats.Malformed.Add(1)
	c.write(a, true)
	return false
}

// readHead waits for a complete request head and checks its raw bytes. It returns the status and text of an error
// answer, or 0. If a request has two lengths, or a length and chunked encoding, http.ReadRequest uses one and drops the
// other, which would allow request smuggling. Such requests are rejected.
func (c *client) readHead() (status int, why string) {
	for n := 1; ; n++ {
		n = max(n, c.in.Buffered())
		text, err := c.in.Peek(n)
		if end := headEnd(text); end > 0 {
			return checkFraming(text[:end])
		} else if errors.Is(err, bufio.ErrBufferFull) || errors.Is(err, errQuota) {
			return http.StatusRequestHeaderFieldsTooLarge, "the head is too long"
		} else if errors.Is(err, os.ErrDeadlineExceeded) {
			return http.StatusRequestTimeout, "the request took too long"
		} else if err != nil {
			return http.StatusBadRequest, "the request could not be read"
		}
	}
}

// linger shuts down the write side and discards input until the client closes its side. A request that arrives now is
// not processed; its client sees the connection closed and retries on another.
func (c *client) linger() {
	if tcp, ok := c.conn.(*net.TCPConn); ok && c.input.err == nil && tcp.CloseWrite() == nil {
		c.input.discard(maxLingerBytes, time.Now().Add(lingerTimeout))
	}
}

// Reply passes a scan's answer to its connection. It does not block.
func Reply(r core.Reply) {
	c := r.Scan.Client.(*client)
	c.conn.SetReadDeadline(pastDeadline) // before the send, since the receiver of the reply sets the next deadline
	select {
	case c.reply <- r:
	default: // ignore a second answer to one scan
	}
}

// write sends an answer; last adds the header that closes the connection.
func (c *client) write(a answer, last bool) bool {
	if last {
		c.front.Stats.ByAnswer.Add(1)
	}
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.conn.Write(a.bytes(last))
	c.writeFailed = err != nil
	return !c.writeFailed
}
