// Package upstream sends requests to service instances over HTTP/1.1 connections that it keeps open.
//
// It stands in the place of net/http's Transport because that sends some requests again by itself and offers no way
// to tell an answer that belongs to an earlier request: both break the promise that a request runs at most once.
// Here each call of Send writes one request to one connection once, and says how far it got.
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

	"gullstair/internal/netio"
)

const (
	dialTimeout      = time.Second
	idleDefault      = 10 * time.Second
	idleMargin       = 700 * time.Millisecond // a connection is given up so long before its peer would
	readBuffer       = 4 << 10
	maxIdlePerTarget = 32
	mostCarried      = 8 // ids that a connection remembers; it reads over fewer surplus answers than that
)

// Pool keeps idle connections by address.
type Pool struct {
	network netio.Network
	mu      sync.Mutex
	idle    map[string]*deque.Deque[*Conn]
}

// New makes a pool without connections.
func New(network netio.Network) *Pool {
	return &Pool{network: network, idle: map[string]*deque.Deque[*Conn]{}}
}

// Conn is one connection to an instance. One request at a time uses it.
type Conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	expires time.Time // it is not to be used any more
	carried []string  // ids of the newest requests that were sent on it, at most mostCarried
}

// get returns an idle connection, else a new one. One that a request with the same id was sent on does not serve: a
// second answer to that one may still come, and nothing would tell it from the answer to this one.
func (p *Pool) get(ctx context.Context, address, id string) (*Conn, error) {
	for {
		c := p.pop(address, id)
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && c.quiet() {
			return c, nil
		}
		c.Close()
	}
	return p.dial(ctx, address)
}

// pop takes out the connection that was used last, of those that have not carried the id.
func (p *Pool) pop(address, id string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if list == nil {
		return nil
	}
	for at := list.Len() - 1; at >= 0; at-- {
		if id == "" || !slices.Contains(list.At(at).carried, id) {
			return list.Remove(at)
		}
	}
	return nil
}

// carries notes that a request is sent on the connection.
func (c *Conn) carries(id string) {
	if id == "" {
		return
	}
	c.carried = append(c.carried, id)
	if len(c.carried) > mostCarried {
		c.carried = slices.Delete(c.carried, 0, 1)
	}
}

func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	conn, err := p.network.Dial(ctx, address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), address: address}, nil
}

// put keeps a connection whose last answer was read whole.
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

// Sweep closes connections that have been idle for too long. It is called now and then.
func (p *Pool) Sweep() {
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

// quiet says whether nothing has come on an idle connection: neither its end nor bytes that belong to no request.
func (c *Conn) quiet() bool { return c.reader.Buffered() == 0 && netio.Quiet(c.Conn) }

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

// idleTime reads how long the peer keeps an idle connection, less a margin; 0: not at all.
func idleTime(keepAlive string) time.Duration {
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
	return idleDefault
}
