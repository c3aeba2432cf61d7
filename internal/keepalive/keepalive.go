// Package keepalive provides a listener that closes idle connections of an HTTP server without losing a request.
//
// net/http regards a connection as idle until a request has been parsed. Closing by that state alone, as the server's own
// Shutdown and IdleTimeout do, may close a connection on which a request has arrived or has been read: the request is then
// lost, or runs without a response. Here a connection is closed only while the server is blocked in a read and no bytes have
// arrived; bytes that arrive during the close are never passed to the server.
package keepalive

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"gullstair/internal/netio"
)

// Listener accepts connections and tracks which of them are idle. Its ConnState must be set as the server's ConnState.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]bool
}

// NewListener wraps a listener.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l, conns: map[*conn]bool{}}
}

// Accept waits for a connection.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, idle: true, idleSince: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c, nil
}

// ConnState is the server's callback for state changes of connections.
func (l *Listener) ConnState(of net.Conn, state http.ConnState) {
	c, ours := of.(*conn)
	if !ours {
		return
	}
	switch state {
	case http.StateIdle:
		c.markIdle()
	case http.StateClosed, http.StateHijacked:
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, c)
	}
}

// Open returns the number of connections that the server has not closed.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// CloseIdle closes the connections that have been idle for at least minIdle and returns their number.
func (l *Listener) CloseIdle(minIdle time.Duration) (closed int) {
	l.mu.Lock()
	var all []*conn
	for c := range l.conns {
		all = append(all, c)
	}
	l.mu.Unlock()
	for _, c := range all {
		if c.closeIfIdle(minIdle) {
			closed++
		}
	}
	return closed
}

// conn is a connection from a client.
type conn struct {
	net.Conn

	mu          sync.Mutex
	idle        bool // no byte of a request has been read since the last response
	idleSince   time.Time
	reading     bool          // the server is blocked in a read
	ended       bool          // closed by closeIfIdle
	used        bool          // bytes have been read
	headTimeout time.Duration // the server's timeout for the head of the first request, which starts with its first byte
}

func (c *conn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.idleSince = true, time.Now()
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.setReading(true)
	n, err := c.Conn.Read(b)
	if c.setReading(false); n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return 0, io.EOF // a request that arrives during the close must not run
	}
	c.idle = false
	if !c.used && c.headTimeout > 0 {
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.headTimeout)) // if the connection is closed, the next read reports it
	}
	c.used = true
	return n, err
}

// SetReadDeadline implements net.Conn. Before the first byte it only stores the time left: a new connection is idle, and the
// time that it may stay so differs from the timeout for the head of a request.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if left := time.Until(t); !c.used && left > 0 {
		c.headTimeout = left
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *conn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
}

// CloseWrite closes the writing side, if the connection supports it. The server uses it to let its client read the last
// response.
func (c *conn) CloseWrite() error {
	if half, can := c.Conn.(interface{ CloseWrite() error }); can {
		return half.CloseWrite()
	}
	return nil
}

// closeIfIdle closes the connection if it has been idle for at least minIdle and no bytes have arrived.
func (c *conn) closeIfIdle(minIdle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || !c.idle || !c.reading || time.Since(c.idleSince) < minIdle || !netio.Quiet(c.Conn) {
		return false
	}
	c.ended = true
	c.Close()
	return true
}
