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
	"gullstair/internal/voters"
)

// The first start of the whole system. Nobody is told which machines hold the register, so the brokers find out: those
// with a disk that have met become its first members. That two groups do not each found a register, the set is
// decided by a single-decree round among the seeds, which are the same for all at the first start; their acceptors
// live in memory, and only in processes that were started with the bootstrap flag. A disk is marked when a process first
// opens it, so one that is started a second time, with whatever flag, does not answer for promises that it has forgotten.

const (
	foundingDisk  = 0                      // the identity of acceptors in memory
	anyDisk       = 1                      // in a probe: whatever disk answers; none has this identity
	foundingAfter = 700 * time.Millisecond // the fleet is taken as met once nobody new with a disk came for so long
	foundingMost  = 5 * time.Second        // the full number of voters is waited for so long
	foundingRetry = 300 * time.Millisecond
)

// founding is the acceptor in memory.
type founding struct {
	mu       sync.Mutex
	active   bool
	acceptor register.Acceptor
}

func newFounding(s *settings.Settings) *founding {
	f := &founding{}
	f.acceptor.Self = register.Replica{Address: s.IP, Disk: foundingDisk}
	f.acceptor.Persist = func(register.State) error { return nil }
	return f
}

// activate has the acceptor in memory answer: no earlier process has answered in its place.
func (f *founding) activate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = true
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
	begun := since
	for ctx.Err() == nil && !n.founded() {
		time.Sleep(foundingRetry / 3)
		present := n.coreAddresses()
		if !slices.Equal(core, present) {
			core, since = present, time.Now()
		}
		if time.Since(since) < foundingAfter || len(core) == 0 {
			continue
		}
		if len(core) < n.tolerance().Seats() && time.Since(begun) < foundingMost {
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
	var met []voters.Machine
	for _, member := range n.Members() {
		if member.Core {
			met = append(met, voters.Machine{Replica: register.Replica{Address: member.IP, Disk: member.Disk}, Zone: member.Zone, Region: member.Region})
		}
	}
	return register.Single(voters.First(met)...)
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

// answerFound takes the first members on this replica, unless it holds something already or is none of them: members
// name the disk, so one that came later, empty, takes nothing.
func (n *Node) answerFound(m *peerlink.Found) *peerlink.Message {
	reply := &peerlink.Found{}
	if n.replica != nil {
		n.replica.use(func(a *register.Acceptor) {
			reply.Self = a.Self
			reply.Taken = takeFirst(a, m.Members)
		})
	}
	return &peerlink.Message{Found: reply}
}

// takeFirst has an acceptor begin with the value that names the first members. One that holds that value, or one that was
// made from it, has taken it before.
func takeFirst(a *register.Acceptor, members register.Members) bool {
	if !members.Has(a.Self) {
		return false
	}
	if a.State.Accepted != (register.Ballot{}) {
		return a.State.Value.Sequence > 0 || a.State.Value.Members.Equal(members)
	}
	next := register.State{Promised: firstBallot, Accepted: firstBallot, Value: register.Value{Members: members}}
	if a.Persist(next) != nil {
		return false
	}
	a.State = next
	return true
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
