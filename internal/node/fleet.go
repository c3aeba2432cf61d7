package node

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"gullstair/internal/core"
)

// ConnLimits holds the limits and timeouts of connections to nodes.
type ConnLimits struct {
	PerConn        int // maximum parts in flight on one connection
	MaxConns       int // maximum connections to all nodes together
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration // idle time after which a node closes a connection
}

// Fleet manages one peer per node. Only the goroutine that executes the core's outputs may call its methods.
type Fleet struct {
	limits ConnLimits
	report func(core.Ended)
	now    func() float64
	log    zerolog.Logger
	conns  atomic.Int64
	peers  map[string]*peer
	share  atomic.Int64 // connections of a peer from which on it opens another only for a call that fits on none
	Stats  Stats
}

// Stats are the counters of all peers.
type Stats struct{ Dials, DialsFailed, Broken, Unknown, Malformed, Stalled atomic.Int64 }

// NewFleet returns an empty fleet. It calls report with the result of each attempt; report may block.
func NewFleet(limits ConnLimits, now func() float64, report func(core.Ended), log zerolog.Logger) *Fleet {
	return &Fleet{limits: limits, report: report, now: now, log: log, peers: map[string]*peer{}}
}

// Conns returns the number of connections to nodes that are open or being dialed.
func (f *Fleet) Conns() int { return int(f.conns.Load()) }

// Move informs a node's peer of the node's address, or that it drains or is gone. It does not block, and no move is
// lost: a newer one replaces one that the peer has not processed yet.
func (f *Fleet) Move(m core.NodeChange) {
	for host, p := range f.peers { // remove the peers of nodes that are gone
		if p.closed() {
			delete(f.peers, host)
		}
	}
	f.share.Store(int64(f.limits.MaxConns / (len(f.peers) + 1)))
	p := f.peers[m.Host]
	if p == nil && m.Gone {
		return
	}
	if p == nil {
		p = f.start(m.Host, m.Addr)
	}
	p.command(func(o *commands) { o.move = &m })
}

// start starts the peer of a node.
func (f *Fleet) start(host, addr string) *peer {
	p := newPeer(f, host, addr)
	f.peers[host] = p
	f.share.Store(int64(f.limits.MaxConns / (len(f.peers) + 1)))
	go p.run()
	return p
}

// Call passes a call to its node's peer. It does not block: if the mailbox is full it returns false, and the parts
// count as not sent.
func (f *Fleet) Call(c core.Call) bool {
	return f.peerOf(c.Host, c.Addr).offer(c)
}

// peerOf returns the running peer of a node and starts one if there is none.
func (f *Fleet) peerOf(host, addr string) *peer {
	if p := f.peers[host]; p != nil && !p.closed() {
		return p
	}
	return f.start(host, addr)
}

// Probe passes a probe to its node's peer, as Call passes a call.
func (f *Fleet) Probe(v core.Probe) bool { return f.peerOf(v.Host, v.Addr).offer(v) }

// Cancel cancels an attempt. It does not block, and a cancellation is never lost: an attempt that is not written yet is
// never written.
func (f *Fleet) Cancel(g core.Cancel) {
	if p := f.peers[g.Host]; p != nil {
		p.command(func(o *commands) { o.canceled = append(o.canceled, g.Ref) })
	}
}
