package node

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"gullstair/internal/core"
)

// Reach is what binds the connections to nodes.
type Reach struct {
	PerConn        int // parts at the same time on one connection
	MaxConns       int // connections to all nodes together
	ConnectTimeout time.Duration
	Idle           time.Duration // after which a node closes a connection
}

// Fleet holds the peers. Only the goroutine that carries out the core's outputs may call it.
type Fleet struct {
	reach Reach
	tell  func(core.Ended)
	now   func() float64
	log   zerolog.Logger
	conns atomic.Int64
	peers map[string]*peer
	share atomic.Int64 // connections that a peer may hold beyond its first
	Stats Stats
}

// Stats count what the peers saw.
type Stats struct{ Dials, DialsFailed, Broken, Unknown, Malformed, Stalled atomic.Int64 }

// NewFleet makes an empty fleet; tell gets each end of an attempt and may block.
func NewFleet(reach Reach, now func() float64, tell func(core.Ended), log zerolog.Logger) *Fleet {
	return &Fleet{reach: reach, tell: tell, now: now, log: log, peers: map[string]*peer{}}
}

// Conns is how many connections to nodes are open or being opened.
func (f *Fleet) Conns() int { return int(f.conns.Load()) }

// Move tells the peer of a node where the node is to be reached, that it drains or that it is gone. It never waits,
// and no move is lost: a newer one takes the place of one that the peer has not seen yet.
func (f *Fleet) Move(m core.Move) {
	for host, p := range f.peers { // those of nodes that went
		if p.closed() {
			delete(f.peers, host)
		}
	}
	f.share.Store(int64(f.reach.MaxConns / (len(f.peers) + 1)))
	p := f.peers[m.Host]
	if p == nil && m.Gone {
		return
	}
	if p == nil {
		p = f.start(m.Host, m.Addr)
	}
	p.order(func(o *orders) { o.move = &m })
}

func (f *Fleet) start(host, addr string) *peer {
	p := newPeer(f, host, addr)
	f.peers[host] = p
	f.share.Store(int64(f.reach.MaxConns / (len(f.peers) + 1)))
	go p.run()
	return p
}

// Call hands a frame to its node's peer. It never waits: where the mailbox is full, false comes back and the
// parts count as not sent.
func (f *Fleet) Call(c core.Call) bool {
	return f.peerOf(c.Host, c.Addr).offer(c)
}

func (f *Fleet) peerOf(host, addr string) *peer {
	if p := f.peers[host]; p != nil && !p.closed() {
		return p
	}
	return f.start(host, addr)
}

// Probe hands a probe to its node's peer, as Call does a frame.
func (f *Fleet) Probe(v core.Probe) bool { return f.peerOf(v.Host, v.Addr).offer(v) }

// GiveUp tells the peer that nobody waits for an attempt any more. It never waits, and it is never lost: an attempt
// that has not been written yet is not written.
func (f *Fleet) GiveUp(g core.GiveUp) {
	if p := f.peers[g.Host]; p != nil {
		p.order(func(o *orders) { o.givenUp = append(o.givenUp, g.Ref) })
	}
}
