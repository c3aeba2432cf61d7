package cluster

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/dissemination"
	"gullstair/internal/peerlink"
)

// What all brokers are to have at once is passed on along a tree, so that no link carries it more often than the tree has branches:
// the brokers that are alive, in the order of their addresses, each the parent of the next relayFanout that have none. Whoever has
// something to tell is its root for once. Connections along the tree are in use, so that nothing is spent on making them.
//
// A call names those that are still to be told, so brokers that see different members agree. One that does not answer is passed
// over. Whoever is missed has it by reconciliation.

const (
	relayFanout   = 4
	relayPatience = 100 * time.Millisecond // for the answer of one broker, and as long for each level of those behind it
	relayMargin   = 5 * time.Millisecond   // less that a broker has than the one which called it
	neighborEvery = 8                      // one in so many exchanges is with a neighbor in the tree
)

// tree orders addresses: each but the first has a parent.
type tree struct {
	order []string
}

func (t tree) place(address string) (int, bool) { return slices.BinarySearch(t.order, address) }

func parentOf(place int) int { return (place - 1) / relayFanout }

// path lists the addresses that follow from on the way to another.
func (t tree) path(from, to int) (out []string) {
	var up, down []int
	for from != to {
		if from > to { // the later one is no ancestor of the other
			from = parentOf(from)
			up = append(up, from)
		} else {
			down = append(down, to)
			to = parentOf(to)
		}
	}
	for _, place := range up {
		out = append(out, t.order[place])
	}
	for _, place := range slices.Backward(down) {
		out = append(out, t.order[place])
	}
	return out
}

// neighbors are the parent and the children of an address.
func (t tree) neighbors(address string) (out []string) {
	place, known := t.place(address)
	if !known {
		return nil
	}
	if place > 0 {
		out = append(out, t.order[parentOf(place)])
	}
	for child := relayFanout*place + 1; child <= relayFanout*place+relayFanout && child < len(t.order); child++ {
		out = append(out, t.order[child])
	}
	return out
}

// split parts addresses by whom a call for them goes to: the first of them on the way there, which comes first in its group.
func (t tree) split(self string, to []string) [][]string {
	wanted := make(map[string]bool, len(to))
	for _, address := range to {
		wanted[address] = true
	}
	from, member := t.place(self)
	byHead := map[string]int{}
	var groups [][]string
	for _, address := range to {
		if address == self {
			continue
		}
		head := address
		if place, known := t.place(address); known && member {
			path := t.path(from, place)
			head = path[slices.IndexFunc(path, func(hop string) bool { return wanted[hop] })]
		}
		at, begun := byHead[head]
		if !begun {
			at = len(groups)
			byHead[head] = at
			groups = append(groups, []string{head})
		}
		if address != head {
			groups[at] = append(groups[at], address)
		}
	}
	return groups
}

// relayTree is the tree of the brokers that are alive.
func (n *Node) relayTree() tree {
	members := n.Members()
	order := make([]string, len(members))
	for at, member := range members {
		order[at] = member.IP
	}
	return tree{order}
}

// protocolOf is what a broker's release understands; 0 where nothing is known of it.
func (n *Node) protocolOf(ip string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	record, _ := n.store.Get(dissemination.ID{Kind: MemberRecord, Key: ip})
	member, _ := record.Body.(Member)
	return member.Protocol
}

// relay makes a call to all of these, and says how many have confirmed it.
func (n *Node) relay(ctx context.Context, m peerlink.Message, to []string) int {
	counts := make(chan int)
	groups := n.relayTree().split(n.self.IP, to)
	for _, group := range groups {
		go func() { counts <- n.passOn(ctx, m, group) }()
	}
	confirmed := 0
	for range groups {
		confirmed += <-counts
	}
	return confirmed
}

// passOn makes a call to the first of a group, which passes it on to the others. If it fails, or takes long, the next one is called
// in its place; who is called twice confirms what it has.
func (n *Node) passOn(ctx context.Context, m peerlink.Message, group []string) (confirmed int) {
	answers := make(chan relayed, len(group))
	under := 0
	call := func() {
		head, rest := group[0], group[1:]
		group = rest
		under++
		go func() { answers <- n.callWithRest(ctx, m, head, rest) }()
	}
	call()
	for under > 0 {
		hedge := time.After(patienceFor(len(group) + 1))
		if len(group) == 0 {
			hedge = nil
		}
		select {
		case <-ctx.Done():
			return confirmed
		case <-hedge:
			call()
		case a := <-answers:
			under--
			confirmed = max(confirmed, a.confirmed)
			if a.err == nil {
				return confirmed
			}
			if under == 0 && len(group) > 0 {
				call()
			}
		}
	}
	return confirmed
}

// patienceFor is how long to wait for the answer of so many brokers.
func patienceFor(brokers int) time.Duration {
	levels := 1 + int(math.Log(float64(brokers))/math.Log(relayFanout))
	return time.Duration(levels) * relayPatience
}

// relayed is the answer to a call that was passed on.
type relayed struct {
	confirmed int
	err       error
}

// errNoTime says that nothing is left of the time for a call.
var errNoTime = errors.New("no time is left")

func (n *Node) callWithRest(ctx context.Context, m peerlink.Message, head string, rest []string) relayed {
	deadline, bounded := ctx.Deadline()
	within := callTimeout
	if bounded {
		within = time.Until(deadline) - relayMargin
	}
	if within <= 0 {
		return relayed{err: errNoTime}
	}
	if n.protocolOf(head) < protocolSections {
		return n.callEarlierRelease(ctx, m, head, rest)
	}
	m.Relay = &peerlink.Relay{To: rest, Within: within}
	reply, err := n.callAgain(ctx, m, head)
	if err != nil {
		return relayed{err: err}
	}
	return relayed{confirmed: reply.Confirmed}
}

// callEarlierRelease makes a call to a broker that does not pass on, and passes it on in its place.
func (n *Node) callEarlierRelease(ctx context.Context, m peerlink.Message, ip string, rest []string) relayed {
	others := make(chan int, 1)
	go func() { others <- n.relay(ctx, m, rest) }()
	confirmed := 0
	if n.tellOne(ctx, m, ip) {
		confirmed = 1
	}
	return relayed{confirmed: confirmed + <-others}
}

// callAgain makes a call, once more if its connection was just being closed.
func (n *Node) callAgain(ctx context.Context, m peerlink.Message, ip string) (*peerlink.Message, error) {
	address := n.settings.PeerAddress(ip)
	reply, err := n.client.Call(ctx, address, m)
	if errors.Is(err, peerlink.ErrClosed) {
		reply, err = n.client.Call(ctx, address, m)
	}
	return reply, err
}

// answerRelay answers a call that is to be passed on: with how many have it, this broker among them.
func (n *Node) answerRelay(m *peerlink.Message) *peerlink.Message {
	ctx, cancel := context.WithTimeout(context.Background(), m.Relay.Within)
	defer cancel()
	to := m.Relay.To
	inner := *m
	inner.Relay = nil
	others := make(chan int, 1)
	go func() { others <- n.relay(ctx, inner, to) }()
	own := 0
	if reply := n.handleRelayed(&inner); reply != nil && !reply.Lacks {
		own = 1
	}
	return &peerlink.Message{Confirmed: own + <-others}
}

// handleRelayed takes a call that is passed on along the tree: records in it are pushed to nobody.
func (n *Node) handleRelayed(m *peerlink.Message) *peerlink.Message {
	if m.Records == nil {
		return n.handle(m)
	}
	n.put(m.Records.Records, m.Records.From, false)
	return &peerlink.Message{}
}

// nextNeighbor is the neighbor in the tree whose turn it is; empty: there is none.
func (n *Node) nextNeighbor() string {
	neighbors := n.relayTree().neighbors(n.self.IP)
	if len(neighbors) == 0 {
		return ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.neighborTurn++
	return neighbors[n.neighborTurn%len(neighbors)]
}
