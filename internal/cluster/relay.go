package cluster

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/dissemination"
	"gullstair/internal/lifecycle"
	"gullstair/internal/peerlink"
)

// Messages for all brokers are relayed along a tree, so that no link carries a message more often than the tree has
// branches. The tree orders the live brokers by address; each is the parent of the next relayFanout brokers that have
// none. The sender of a message is the root for that message. Connections along the tree are used regularly, so a
// relay rarely has to open one.
//
// A call lists the brokers that it still has to reach, so brokers with different member lists can relay it. A broker
// that does not answer is skipped. Brokers that are missed receive the data by reconciliation.

const (
	relayFanout       = 4
	relayLevelTimeout = 100 * time.Millisecond // timeout for one broker, and for each tree level below it
	relayMargin       = 5 * time.Millisecond   // each hop has this much less time than its caller
	neighborEvery     = 8                      // one exchange in this many is with a neighbor in the tree
)

// tree is a complete tree over sorted addresses: each address but the first has a parent.
type tree struct {
	order []string
}

func (t tree) index(address string) (int, bool) { return slices.BinarySearch(t.order, address) }

func parentOf(index int) int { return (index - 1) / relayFanout }

// path returns the addresses on the path from one index to another, without the start.
func (t tree) path(from, to int) (out []string) {
	var up, down []int
	for from != to {
		if from > to { // the higher index cannot be an ancestor of the other
			from = parentOf(from)
			up = append(up, from)
		} else {
			down = append(down, to)
			to = parentOf(to)
		}
	}
	for _, at := range up {
		out = append(out, t.order[at])
	}
	for _, at := range slices.Backward(down) {
		out = append(out, t.order[at])
	}
	return out
}

// neighbors returns the parent and the children of an address.
func (t tree) neighbors(address string) (out []string) {
	at, known := t.index(address)
	if !known {
		return nil
	}
	if at > 0 {
		out = append(out, t.order[parentOf(at)])
	}
	for child := relayFanout*at + 1; child <= relayFanout*at+relayFanout && child < len(t.order); child++ {
		out = append(out, t.order[child])
	}
	return out
}

// split groups addresses by the next hop that a call for them takes. The next hop is the first address on the path that
// is to be reached itself, and the first in its group.
func (t tree) split(self string, to []string) [][]string {
	wanted := make(map[string]bool, len(to))
	for _, address := range to {
		wanted[address] = true
	}
	from, selfKnown := t.index(self)
	byHead := map[string]int{}
	var groups [][]string
	for _, address := range to {
		if address == self {
			continue
		}
		head := address
		if target, known := t.index(address); known && selfKnown {
			path := t.path(from, target)
			head = path[slices.IndexFunc(path, func(hop string) bool { return wanted[hop] })]
		}
		at, exists := byHead[head]
		if !exists {
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

// relayTree returns the tree of the live brokers.
func (n *Node) relayTree() tree {
	members := n.Members()
	order := make([]string, len(members))
	for at, member := range members {
		order[at] = member.IP
	}
	return tree{order}
}

// protocolOf returns the protocol number of a broker's release, 0 if it is unknown.
func (n *Node) protocolOf(ip string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	record, _ := n.store.Get(dissemination.ID{Kind: MemberRecord, Key: ip})
	member, _ := record.Body.(Member)
	return member.Protocol
}

// relay makes a call to all given brokers along the tree and returns the number of confirmations.
func (n *Node) relay(ctx context.Context, m peerlink.Message, to []string) int {
	counts := make(chan int)
	groups := n.relayTree().split(n.self.IP, to)
	for _, group := range groups {
		lifecycle.Go(func() { counts <- n.relayGroup(ctx, m, group) })
	}
	confirmed := 0
	for range groups {
		confirmed += <-counts
	}
	return confirmed
}

// relayGroup calls the first broker of a group, which relays the call to the others. If the call fails or exceeds its
// timeout, the next broker of the group is called in its place. A broker that is called twice confirms each call if it
// has the data.
func (n *Node) relayGroup(ctx context.Context, m peerlink.Message, group []string) (confirmed int) {
	answers := make(chan relayResult, len(group))
	inFlight := 0
	call := func() {
		head, rest := group[0], group[1:]
		group = rest
		inFlight++
		lifecycle.Go(func() { answers <- n.callRelay(ctx, m, head, rest) })
	}
	call()
	for inFlight > 0 {
		hedge := time.After(relayTimeout(len(group) + 1))
		if len(group) == 0 {
			hedge = nil
		}
		select {
		case <-ctx.Done():
			return confirmed
		case <-hedge:
			call()
		case a := <-answers:
			inFlight--
			confirmed = max(confirmed, a.confirmed)
			if a.err == nil {
				return confirmed
			}
			if inFlight == 0 && len(group) > 0 {
				call()
			}
		}
	}
	return confirmed
}

// relayTimeout returns how long to wait for a call that covers this many brokers before the next one is called.
func relayTimeout(brokers int) time.Duration {
	levels := 1 + int(math.Log(float64(brokers))/math.Log(relayFanout))
	return time.Duration(levels) * relayLevelTimeout
}

// relayResult is the outcome of a relayed call.
type relayResult struct {
	confirmed int
	err       error
}

// errDeadlinePassed means that the deadline of a call has passed before it was sent.
var errDeadlinePassed = errors.New("the deadline of the relayed call has passed")

func (n *Node) callRelay(ctx context.Context, m peerlink.Message, head string, rest []string) relayResult {
	deadline, bounded := ctx.Deadline()
	within := callTimeout
	if bounded {
		within = time.Until(deadline) - relayMargin
	}
	if within <= 0 {
		return relayResult{err: errDeadlinePassed}
	}
	if n.protocolOf(head) < protocolSections {
		return n.callEarlierRelease(ctx, m, head, rest)
	}
	m.Relay = &peerlink.Relay{To: rest, Within: within}
	reply, err := n.callWithRetry(ctx, m, head)
	if err != nil {
		return relayResult{err: err}
	}
	return relayResult{confirmed: reply.Confirmed}
}

// callEarlierRelease calls a broker whose release cannot relay calls, and relays the call to the others in its place.
func (n *Node) callEarlierRelease(ctx context.Context, m peerlink.Message, ip string, rest []string) relayResult {
	others := make(chan int, 1)
	lifecycle.Go(func() { others <- n.relay(ctx, m, rest) })
	confirmed := 0
	if n.callConfirmed(ctx, m, ip).known {
		confirmed = 1
	}
	return relayResult{confirmed: confirmed + <-others}
}

// callWithRetry makes a call and repeats it once if the connection was being closed.
func (n *Node) callWithRetry(ctx context.Context, m peerlink.Message, ip string) (*peerlink.Message, error) {
	address := n.settings.PeerAddress(ip)
	reply, err := n.client.Call(ctx, address, m)
	if errors.Is(err, peerlink.ErrClosed) {
		reply, err = n.client.Call(ctx, address, m)
	}
	return reply, err
}

// answerRelay handles a relayed call. It relays it further and replies with the number of confirmations, its own
// included.
func (n *Node) answerRelay(m *peerlink.Message) *peerlink.Message {
	ctx, cancel := context.WithTimeout(context.Background(), m.Relay.Within)
	defer cancel()
	to := m.Relay.To
	inner := *m
	inner.Relay = nil
	others := make(chan int, 1)
	lifecycle.Go(func() { others <- n.relay(ctx, inner, to) })
	own := 0
	if reply := n.handleRelayed(&inner); reply != nil && !reply.Lacks {
		own = 1
	}
	return &peerlink.Message{Confirmed: own + <-others}
}

// handleRelayed handles the inner call. Its records are stored without a push, since the relay delivers them to the
// other brokers.
func (n *Node) handleRelayed(m *peerlink.Message) *peerlink.Message {
	if m.Records == nil {
		return n.handle(m)
	}
	n.put(m.Records.Records, m.Records.From, false)
	return &peerlink.Message{}
}

// nextNeighbor returns the tree neighbors in turn, or an empty string if there are none.
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
