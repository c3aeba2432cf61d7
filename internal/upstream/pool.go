// Package upstream provides an HTTP/1.1 client for service instances with a pool of persistent connections.
//
// It replaces http.Transport, which retries some requests by itself and cannot detect a response that belongs to an earlier
// request: both break the guarantee that a request runs at most once. Here each call of Send writes one request to one
// connection once, and reports how far it got.
package upstream

import (
	"bufio"
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gammazero/deque"

	"gullstair/internal/clientlimit"
	"gullstair/internal/netio"
)

const (
	dialTimeout        = time.Second
	defaultIdleTimeout = 10 * time.Second
	idleMargin         = 700 * time.Millisecond // a connection is closed this long before its peer would close it
	readBuffer         = 4 << 10
	receiveBuffer      = 16 << 10 // bytes; what an instance sends lies there while the client does not read
	maxIdlePerTarget   = 32
	maxCarriedIDs      = 8 // request ids that a connection remembers; must exceed the number of surplus responses that it skips
)

// Pool is a pool of idle connections by address. It is safe for concurrent use.
type Pool struct {
	network netio.Network
	limiter *clientlimit.Limiter // of what responses hold
	mu      sync.Mutex
	idle    map[string]*deque.Deque[*Conn]
}

// New returns an empty pool. The limiter bounds what responses hold for requests without an account; it may be nil.
func New(network netio.Network, limiter *clientlimit.Limiter) *Pool {
	return &Pool{network: network, limiter: limiter, idle: map[string]*deque.Deque[*Conn]{}}
}

// Conn is a connection to an instance. It carries one request at a time.
type Conn struct {
	net.Conn
	ctx        context.Context // of the request that it carries
	source     *source
	reader     *bufio.Reader // of the source
	address    string
	expires    time.Time // end of the idle timeout, after which it is not reused
	carriedIDs []string  // ids of the latest requests that were sent on it, at most maxCarriedIDs
}

// get returns an idle connection or dials a new one. It does not reuse a connection that has carried a request with the same
// id: a second response to that request may still arrive and could not be told from the response to this one.
func (p *Pool) get(ctx context.Context, address, id string) (*Conn, error) {
	for {
		c := p.pop(address, id)
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && c.reusable() {
			return c, nil
		}
		c.Close()
	}
	return p.dial(ctx, address)
}

// pop removes and returns the most recently used connection that has not carried the id, or nil.
func (p *Pool) pop(address, id string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if list == nil {
		return nil
	}
	for at := list.Len() - 1; at >= 0; at-- {
		if id == "" || !slices.Contains(list.At(at).carriedIDs, id) {
			return list.Remove(at)
		}
	}
	return nil
}

// recordID records the id of a request that is sent on the connection.
func (c *Conn) recordID(id string) {
	if id == "" {
		return
	}
	c.carriedIDs = append(c.carriedIDs, id)
	if len(c.carriedIDs) > maxCarriedIDs {
		c.carriedIDs = slices.Delete(c.carriedIDs, 0, 1)
	}
}

func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	conn, err := netio.DialBuffered(ctx, p.network, address, dialTimeout, receiveBuffer)
	if err != nil {
		return nil, err
	}
	s := &source{conn: conn}
	return &Conn{Conn: conn, source: s, reader: bufio.NewReaderSize(s, readBuffer), address: address}, nil
}

// put returns a connection to the pool after its last response was read completely.
func (p *Pool) put(c *Conn, idle time.Duration) {
	_ = c.SetDeadline(time.Time{})
	c.expires = time.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if list == nil {
		list = &deque.Deque[*Conn]{}
		p.idle[c.address] = list
	}
	list.PushBack(c)
	if list.Len() > maxIdlePerTarget {
		list.PopFront().Close()
	}
}

// CloseExpired closes connections whose idle timeout has passed. It must be called periodically.
func (p *Pool) CloseExpired() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		for list.Len() > 0 && !now.Before(list.Front().expires) {
			list.PopFront().Close()
		}
		if list.Len() == 0 {
			delete(p.idle, address)
		}
	}
}

// reusable reports whether nothing has arrived on an idle connection: neither the peer's close nor bytes of an unexpected
// response.
func (c *Conn) reusable() bool { return c.reader.Buffered() == 0 && netio.Quiet(c.Conn) }

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		for list.Len() > 0 {
			list.PopFront().Close()
		}
		delete(p.idle, address)
	}
}

// idleTimeout parses a Keep-Alive header and returns how long a connection may stay idle: the peer's timeout less a margin, or 0
// if it must not be reused.
func idleTimeout(keepAlive string) time.Duration {
	for field := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil {
			break
		}
		return max(0, time.Duration(seconds)*time.Second-idleMargin)
	}
	return defaultIdleTimeout
}
