// Package keepalive provides a listener that closes idle connections of an HTTP server without losing a request, and that
// bounds what clients make the process hold.
//
// net/http regards a connection as idle until a request has been parsed. Closing by that state alone, as the server's own
// Shutdown and IdleTimeout do, may close a connection on which a request has arrived or has been read: the request is then
// lost, or runs without a response. Here a connection is closed only while the server is blocked in a read and no bytes have
// arrived; bytes that arrive during the close are never passed to the server.
package keepalive

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gullstair/internal/clientbudget"
	"gullstair/internal/clientlimit"
	"gullstair/internal/headscan"
	"gullstair/internal/netio"
)

// Listener accepts connections and tracks which of them are idle. Its ConnState and its ConnContext must be set as the
// server's.
type Listener struct {
	net.Listener
	limiter   *clientlimit.Limiter // nil: what clients hold is not bounded
	control   bool                 // its clients are the fleet's own, see NewControlListener
	headBytes atomic.Int64         // maximum size of a request's head; 0: not bounded here

	mu    sync.Mutex
	conns map[*conn]bool
}

// NewListener wraps a listener. The limiter bounds what its clients hold; it may be nil.
func NewListener(l net.Listener, limiter *clientlimit.Limiter) *Listener {
	if limiter != nil {
		netio.SetBuffers(l, limiter.ReceiveBuffer())
	}
	return &Listener{Listener: l, limiter: limiter, conns: map[*conn]bool{}}
}

// NewControlListener wraps a listener whose clients have room that other clients do not take: instances, operators and the
// platform's probes.
func NewControlListener(l net.Listener, limiter *clientlimit.Limiter) *Listener {
	listener := NewListener(l, limiter)
	listener.control = true
	return listener
}

// SetHeadBytes sets the maximum size of a request's head.
func (l *Listener) SetHeadBytes(n int64) { l.headBytes.Store(n) }

// Accept waits for a connection for which there is room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, listener: l, idle: true, idleSince: time.Now()}
		account, open := l.limiter.Open(newConnection, l.control, c.giveWay)
		if !open {
			inner.Close()
			continue
		}
		c.account = account
		l.mu.Lock()
		l.conns[c] = true
		l.mu.Unlock()
		return c, nil
	}
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// ConnContext is the server's function for the context of a connection.
func (l *Listener) ConnContext(ctx context.Context, of net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, of)
}

// Account returns the account of the connection of a request with this context. It is nil if what the connection holds is not
// bounded.
func Account(ctx context.Context) *clientlimit.Account {
	if c, ours := ctx.Value(connKey{}).(*conn); ours {
		return c.account
	}
	return nil
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
		c.account.Close()
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
	listener *Listener
	account  *clientlimit.Account // nil: what the client holds is not bounded
	handling atomic.Bool          // the head of a request has been read, and the request has no complete answer

	mu          sync.Mutex
	idle        bool // no byte of a request has been read since the last response
	idleSince   time.Time
	reading     bool             // the server is blocked in a read
	ended       bool             // closed by closeIfIdle
	used        bool             // bytes have been read
	headTimeout time.Duration    // the server's timeout for the head of the first request, which starts with its first byte
	head        headscan.Scanner // of the request that is being read
}

// markHandling records that the head of a request has been read. The request may have arrived together with the one before.
func (c *conn) markHandling() {
	c.handling.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
}

func (c *conn) markIdle() {
	c.handling.Store(false)
	c.account.Idle()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.idleSince = true, time.Now()
	c.head = headscan.Scanner{}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.setReading(true)
	n, err := c.Conn.Read(b)
	if c.setReading(false); n == 0 {
		return n, err
	}
	if !c.markUsed() {
		return 0, io.EOF // a request that arrives during the close must not run
	}
	if !c.countRead(b, n) {
		return 0, io.EOF
	}
	return n, err
}

// markUsed records that bytes have been read. It returns false if the connection is closed.
func (c *conn) markUsed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.idle = false
	if !c.used && c.headTimeout > 0 {
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.headTimeout)) // if the connection is closed, the next read reports it
	}
	c.used = true
	return true
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
// response; what the client sends meanwhile is not read.
func (c *conn) CloseWrite() error {
	c.account.Idle() // the request has been answered
	c.account.Enter(clientbudget.Closing)
	if !c.account.HoldUnread() {
		return c.Close()
	}
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
