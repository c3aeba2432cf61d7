// Package virtual simulates a network of I/O-free nodes in virtual time. It drives any number of nodes with random
// delay, loss, duplication and reordering, partitions, one-way link failures, pauses, crashes and clocks that run at
// different rates. The same seed and the same calls give the same history, event by event.
package virtual

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Node is a state machine without I/O. Step handles incoming packets at a time of the node's own clock and returns the
// packets to send; Due returns when, by that clock, the node wants its next turn if no packet arrives before.
type Node interface {
	Step(now float64, in []Packet) []Packet
	Due() float64
}

// Packet is a message from one address to another. Size is its size on the wire in bytes; it is only counted.
type Packet struct {
	From, To string
	Data     any
	Size     int
}

// Conditions are the delay and faults of links that are not blocked.
type Conditions struct {
	Delay     float64 // ms
	Jitter    float64 // maximum additional delay in ms; more than the interval between two packets may reorder them
	Loss      float64 // fraction of packets that are lost
	Duplicate float64 // fraction of packets that arrive twice
}

// Counts holds the traffic counters of one address.
type Counts struct {
	Sent, Received, Bytes, Lost int
}

const (
	maxInbox        = 512  // packets queued for a paused node, as in a socket's buffer
	minTurnInterval = 0.05 // minimum ms between two turns that a node requests by Due
)

// Net is the network. It is not safe for concurrent use.
type Net struct {
	Conditions Conditions

	rng          *rand.Rand
	now          float64
	seq          int64
	events       eventHeap
	endpoints    map[string]*endpoint
	blockedLinks map[[2]string]bool
	partitions   map[string]int
	counts       map[string]*Counts
	Turns        int // number of turns of all nodes
}

type endpoint struct {
	addr      string
	node      Node
	offset    float64 // what its clock showed at startedAt
	rate      float64
	startedAt float64 // the network's time at which the node started
	paused    bool
	inbox     []Packet
	turnSeq   int64 // sequence number of the last scheduled turn; earlier ones are cancelled
	turnAt    float64
}

type event struct {
	at       float64
	seq      int64
	to       string
	turnSeq  int64 // the turn's sequence number; 0: a packet or a callback
	packet   Packet
	callback func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return x
}

// New returns an empty network at time 0.
func New(seed uint64, conditions Conditions) *Net {
	return &Net{Conditions: conditions, rng: rand.New(rand.NewPCG(seed, 0x5ea5)), endpoints: map[string]*endpoint{},
		blockedLinks: map[[2]string]bool{}, partitions: map[string]int{}, counts: map[string]*Counts{}}
}

// Now returns the network's time in ms.
func (n *Net) Now() float64 { return n.now }

// Rand returns the network's random number generator, for callers that draw faults.
func (n *Net) Rand() *rand.Rand { return n.rng }

// Start starts a node at an address and replaces any other node there. Its clock shows offset now and runs at rate.
func (n *Net) Start(addr string, node Node, offset, rate float64) {
	n.endpoints[addr] = &endpoint{addr: addr, node: node, offset: offset, rate: rate, startedAt: n.now, turnSeq: -1}
	if n.counts[addr] == nil {
		n.counts[addr] = &Counts{}
	}
	n.scheduleTurn(n.endpoints[addr], n.now)
}

// Kill removes the node at an address. Packets in flight to it are lost.
func (n *Net) Kill(addr string) { delete(n.endpoints, addr) }

// Running reports whether a node runs at an address.
func (n *Net) Running(addr string) bool { return n.endpoints[addr] != nil }

// Pause gives a node no turn until Resume. Incoming packets are queued; those beyond the capacity are dropped.
func (n *Net) Pause(addr string) {
	if p := n.endpoints[addr]; p != nil {
		p.paused = true
	}
}

// Resume ends a pause.
func (n *Net) Resume(addr string) {
	if p := n.endpoints[addr]; p != nil && p.paused {
		p.paused = false
		in := p.inbox
		p.inbox = nil
		n.runTurn(p, in)
	}
}

// Split partitions the network into the groups; addresses in no group join the first. Packets pass only within a
// partition. Split without groups heals the network.
func (n *Net) Split(groups ...[]string) {
	clear(n.partitions)
	for i, g := range groups {
		for _, a := range g {
			n.partitions[a] = i
		}
	}
}

// Cut blocks packets from one address to another, in this direction only, until Heal.
func (n *Net) Cut(from, to string) { n.blockedLinks[[2]string{from, to}] = true }

// Heal undoes a Cut.
func (n *Net) Heal(from, to string) { delete(n.blockedLinks, [2]string{from, to}) }

// Clock returns what the clock of the node at an address shows; NaN if there is no node.
func (n *Net) Clock(addr string) float64 {
	if p := n.endpoints[addr]; p != nil {
		return p.localTime(n.now)
	}
	return math.NaN()
}

// Counts returns the counters of an address, over all nodes that ran there.
func (n *Net) Counts(addr string) Counts {
	if c := n.counts[addr]; c != nil {
		return *c
	}
	return Counts{}
}

// After calls callback once delay ms have passed, between two events.
func (n *Net) After(delay float64, callback func()) {
	n.push(event{at: n.now + delay, callback: callback})
}

// Run advances time by forMs and processes the events that fall into it.
func (n *Net) Run(forMs float64) {
	end := n.now + forMs
	for len(n.events) > 0 && n.events[0].at <= end {
		e := heap.Pop(&n.events).(event)
		n.now = max(n.now, e.at)
		if e.callback != nil {
			e.callback()
			continue
		}
		p := n.endpoints[e.to]
		switch {
		case p == nil || e.turnSeq != 0 && e.turnSeq != p.turnSeq:
		case e.turnSeq != 0:
			if !p.paused {
				n.runTurn(p, nil)
			}
		case n.blocked(e.packet.From, e.packet.To):
			n.counts[e.to].Lost++
		case p.paused:
			if len(p.inbox) < maxInbox {
				p.inbox = append(p.inbox, e.packet)
			}
		default:
			n.runTurn(p, []Packet{e.packet})
		}
	}
	n.now = end
}

// Wake gives the node at an address a turn now, as after a call by its application.
func (n *Net) Wake(addr string) {
	if p := n.endpoints[addr]; p != nil && !p.paused {
		n.runTurn(p, nil)
	}
}

// Addresses returns the addresses that have a node, sorted.
func (n *Net) Addresses() []string {
	var all []string
	for a := range n.endpoints {
		all = append(all, a)
	}
	slices.Sort(all)
	return all
}

func (p *endpoint) localTime(now float64) float64 { return p.offset + (now-p.startedAt)*p.rate }

func (n *Net) runTurn(p *endpoint, in []Packet) {
	n.Turns++
	n.counts[p.addr].Received += len(in)
	for _, pkt := range p.node.Step(p.localTime(n.now), in) {
		pkt.From = p.addr
		n.send(pkt)
	}
	if n.endpoints[p.addr] == p {
		due := p.node.Due()
		if math.IsNaN(due) {
			panic(fmt.Sprintf("the node at %s returned NaN from Due", p.addr))
		}
		n.scheduleTurn(p, p.startedAt+(due-p.offset)/p.rate)
	}
}

func (n *Net) scheduleTurn(p *endpoint, at float64) {
	at = max(at, n.now+minTurnInterval)
	if p.turnSeq > 0 && at == p.turnAt {
		return
	}
	n.seq++
	p.turnSeq, p.turnAt = n.seq, at
	if !math.IsInf(at, 1) {
		heap.Push(&n.events, event{at: at, seq: n.seq, to: p.addr, turnSeq: n.seq})
	}
}

func (n *Net) push(e event) {
	n.seq++
	e.seq = n.seq
	heap.Push(&n.events, e)
}

func (n *Net) blocked(from, to string) bool {
	return n.partitions[from] != n.partitions[to] || n.blockedLinks[[2]string{from, to}]
}

func (n *Net) send(packet Packet) {
	c := n.counts[packet.From]
	c.Sent++
	c.Bytes += packet.Size
	copies := 1
	if w := n.Conditions; w.Duplicate > 0 && n.rng.Float64() < w.Duplicate {
		copies = 2
	}
	for range copies {
		if n.blocked(packet.From, packet.To) || n.Conditions.Loss > 0 && n.rng.Float64() < n.Conditions.Loss {
			c.Lost++
			continue
		}
		at := n.now + n.Conditions.Delay
		if n.Conditions.Jitter > 0 {
			at += n.rng.Float64() * n.Conditions.Jitter
		}
		n.push(event{at: at, to: packet.To, packet: packet})
	}
}

// Paused reports whether the node at an address is paused.
func (n *Net) Paused(addr string) bool {
	p := n.endpoints[addr]
	return p != nil && p.paused
}
