package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	"gullstair/internal/dissemination"
	"gullstair/internal/peerlink"
	"gullstair/internal/register"
	"gullstair/internal/settings"
)

// The first start of the whole system. Nobody is told which machines hold the register, so the brokers find out: those
// with a disk that have met become its first members. That two groups do not each found a register, the set is
// decided by a single-decree round among the seeds, which are the same for all at the first start; their acceptors
// live in memory, and only in processes that were started with the bootstrap flag.

const (
	foundingDisk  = 0                      // the identity of acceptors in memory
	foundingAfter = 700 * time.Millisecond // the fleet is taken as met once nobody new with a disk came for so long
	foundingRetry = 300 * time.Millisecond
)

// founding is the acceptor in memory.
type founding struct {
	mu       sync.Mutex
	active   bool
	acceptor register.Acceptor
}

func newFounding(s *settings.Settings) *founding {
	f := &founding{active: s.Bootstrap}
	f.acceptor.Self = register.Replica{Address: s.IP, Disk: foundingDisk}
	f.acceptor.Persist = func(register.State) error { return nil }
	return f
}

func (f *founding) prepare(m register.Prepare) register.Promise {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.active {
		return register.Promise{Foreign: true}
	}
	return f.acceptor.Prepare(m)
}

func (f *founding) accept(m register.Accept) register.Accepted {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.active {
		return register.Accepted{Foreign: true}
	}
	return f.acceptor.Accept(m)
}

// found brings the register into being at the first start.
func (n *Node) found(ctx context.Context) {
	var core []string
	since := time.Now()
	for ctx.Err() == nil && !n.founded() {
		time.Sleep(foundingRetry / 3)
		present := n.coreAddresses()
		if !slices.Equal(core, present) {
			core, since = present, time.Now()
		}
		if time.Since(since) < foundingAfter || len(core) == 0 {
			continue
		}
		if core[0] != n.self.IP && time.Since(since) < 2*foundingAfter {
			continue // the first of them does it, the others if it does not
		}
		n.tryToFound(ctx)
		time.Sleep(foundingRetry)
	}
}

func (n *Node) founded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.known.Value.Members.Sets) > 0
}

func (n *Node) coreAddresses() []string {
	var out []string
	for _, member := range n.Members() {
		if member.Core {
			out = append(out, member.IP)
		}
	}
	slices.Sort(out)
	return out
}

// tryToFound decides the first members among the seeds and tells these.
func (n *Node) tryToFound(ctx context.Context) {
	var seeds []register.Replica
	for _, ip := range n.settings.SeedIPs() {
		seeds = append(seeds, register.Replica{Address: ip, Disk: foundingDisk})
	}
	first := n.firstMembers()
	change := func(present register.Value) (register.Value, bool, error) {
		if len(present.Payload) > 0 {
			return present, true, nil // decided already
		}
		return register.Value{Members: register.Single(seeds...), Payload: encode(first)}, true, nil
	}
	value, err := n.round(ctx, register.Single(seeds...), register.Known{}, change)
	if err != nil {
		n.logger.Info().Err(err).Msg("the first members are not decided yet")
		return
	}
	members := register.Members{}
	if err := decode(value.Payload, &members); err != nil {
		n.logger.Error().Err(err).Msg("the first members cannot be read")
		return
	}
	n.tellFirst(ctx, members)
}

func (n *Node) firstMembers() register.Members {
	var replicas []register.Replica
	for _, member := range n.Members() {
		if member.Core {
			replicas = append(replicas, register.Replica{Address: member.IP, Disk: member.Disk})
		}
	}
	return register.Single(replicas...)
}

// tellFirst has all first members begin with the value that names them. Only then is the register there.
func (n *Node) tellFirst(ctx context.Context, members register.Members) {
	for _, replica := range members.Last() {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := n.client.Call(call, n.settings.PeerAddress(replica.Address), peerlink.Message{Found: &peerlink.Found{Members: members}})
		cancel()
		if err != nil || reply.Found == nil || !reply.Found.Taken || reply.Found.Self != replica {
			n.logger.Info().Str("replica", replica.Address).Msg("a first member does not answer yet")
			return
		}
	}
	n.logger.Info().Int("members", len(members.Last())).Msg("the register is founded")
	n.publishKnown(register.Known{Ballot: firstBallot, Value: register.Value{Members: members}})
}

// firstBallot is that of the value which names the first members; no attempt uses it.
var firstBallot = register.Ballot{Counter: 1}

// answerFound takes the first members on this replica, unless it holds something already.
func (n *Node) answerFound(m *peerlink.Found) *peerlink.Message {
	reply := &peerlink.Found{}
	if n.replica != nil && n.settings.Bootstrap {
		n.replica.use(func(a *register.Acceptor) {
			reply.Self = a.Self
			if a.State.Accepted != (register.Ballot{}) {
				reply.Taken = true // told before, and perhaps further on by now
				return
			}
			next := register.State{Promised: firstBallot, Accepted: firstBallot, Value: register.Value{Members: m.Members}}
			if a.Persist(next) == nil {
				a.State, reply.Taken = next, true
			}
		})
	}
	return &peerlink.Message{Found: reply}
}

// learn takes a chosen value that was published; n.mu is held.
func (n *Node) learn(r dissemination.Record) {
	known, ok := r.Body.(register.Known)
	if !ok {
		return
	}
	if len(n.known.Value.Members.Sets) > 0 && known.Value.Sequence <= n.known.Value.Sequence {
		return
	}
	n.known = known
	close(n.changed)
	n.changed = make(chan struct{})
}

// publishKnown spreads a chosen value.
func (n *Node) publishKnown(known register.Known) { n.Publish(recordOf(known)) }

func recordOf(known register.Known) dissemination.Record {
	return dissemination.Record{Kind: RegisterRecord, Key: registerKey, Version: dissemination.Version{Sequence: known.Value.Sequence + 1},
		Body: known}
}
