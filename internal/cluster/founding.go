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

// This file handles the first start of the whole system. No setting names the machines that hold the register, so the
// brokers discover them: the machines with a disk that have found each other become its first members. Two groups must
// not each found a register, so a single-decree consensus round among the seeds decides the set; the seeds are the same
// for all brokers at the first start. The seeds' acceptors live in memory, and only in processes that were started with
// the bootstrap flag. A process marks its disk when it first opens it, so a process that is started a second time, with
// or without the flag, does not answer for promises that it has lost.

const (
	foundingDisk       = 0                      // disk identity of acceptors in memory
	anyDisk            = 1                      // in a probe: matches any disk; no disk has this identity
	foundingSettleTime = 700 * time.Millisecond // the fleet counts as complete once no new member with a disk has appeared for this long
	foundingTimeout    = 5 * time.Second        // maximum wait for the full number of voters
	foundingRetry      = 300 * time.Millisecond
)

// founding is the in-memory acceptor for the first members.
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

// activate makes the in-memory acceptor answer. It must be called only if no earlier process can have answered in its
// place.
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

// foundRegister founds the register at the first start.
func (n *Node) foundRegister(ctx context.Context) {
	var core []string
	since := time.Now()
	begun := since
	for ctx.Err() == nil && !n.registerKnown() {
		time.Sleep(foundingRetry / 3)
		present := n.coreAddresses()
		if !slices.Equal(core, present) {
			core, since = present, time.Now()
		}
		if time.Since(since) < foundingSettleTime || len(core) == 0 {
			continue
		}
		if len(core) < n.tolerance().MinVoters() && time.Since(begun) < foundingTimeout {
			continue
		}
		if core[0] != n.self.IP && time.Since(since) < 2*foundingSettleTime {
			continue // the member with the lowest address founds the register; the others do so later if it does not
		}
		n.proposeFirstMembers(ctx)
		time.Sleep(foundingRetry)
	}
}

func (n *Node) registerKnown() bool {
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

// proposeFirstMembers runs a round among the seeds that decides the first members, then installs the result on them.
func (n *Node) proposeFirstMembers(ctx context.Context) {
	var seeds []register.Replica
	for _, ip := range n.settings.SeedIPs() {
		seeds = append(seeds, register.Replica{Address: ip, Disk: foundingDisk})
	}
	first := n.firstMembers()
	change := func(present register.Value) (register.Value, bool, error) {
		if len(present.Payload) > 0 {
			return present, true, nil // already decided
		}
		return register.Value{Members: register.Single(seeds...), Payload: encode(first)}, true, nil
	}
	value, err := n.round(ctx, register.Single(seeds...), register.Known{}, change)
	if err != nil {
		n.logger.Info().Err(err).Msg("could not decide the first members yet")
		return
	}
	members := register.Members{}
	if err := decode(value.Payload, &members); err != nil {
		n.logger.Error().Err(err).Msg("cannot decode the first members")
		return
	}
	n.installFirstMembers(ctx, members)
}

func (n *Node) firstMembers() register.Members {
	var found []voters.Machine
	for _, member := range n.Members() {
		if member.Core {
			found = append(found, voters.Machine{Replica: register.Replica{Address: member.IP, Disk: member.Disk}, Zone: member.Zone, Region: member.Region})
		}
	}
	return register.Single(voters.Initial(found)...)
}

// installFirstMembers makes every first member store the value that names them. The register exists once all of them
// have confirmed.
func (n *Node) installFirstMembers(ctx context.Context, members register.Members) {
	for _, replica := range members.Last() {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := n.client.Call(call, n.settings.PeerAddress(replica.Address), peerlink.Message{Found: &peerlink.Found{Members: members}})
		cancel()
		if err != nil || reply.Found == nil || !reply.Found.Taken || reply.Found.Self != replica {
			n.logger.Info().Str("replica", replica.Address).Msg("a first member has not confirmed yet")
			return
		}
	}
	n.logger.Info().Int("members", len(members.Last())).Msg("register founded")
	n.publishKnown(register.Known{Ballot: firstBallot, Value: register.Value{Members: members}})
}

// firstBallot is the ballot of the value that names the first members. No attempt uses it.
var firstBallot = register.Ballot{Counter: 1}

// answerFound stores the first members on this replica, unless the replica already holds a value or is not one of
// them. Members include the disk's identity, so a disk that is replaced later, and is empty, is refused.
func (n *Node) answerFound(m *peerlink.Found) *peerlink.Message {
	reply := &peerlink.Found{}
	if n.replica != nil {
		n.replica.use(func(a *register.Acceptor) {
			reply.Self = a.Self
			reply.Taken = acceptFirstMembers(a, m.Members)
		})
	}
	return &peerlink.Message{Found: reply}
}

// acceptFirstMembers makes an acceptor store the value that names the first members. It also returns true if the
// acceptor holds that value or one derived from it, since it has stored it before.
func acceptFirstMembers(a *register.Acceptor, members register.Members) bool {
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

// learnKnown updates the known value from a published record. n.mu is held.
func (n *Node) learnKnown(r dissemination.Record) {
	known, ok := r.Body.(register.Known)
	if !ok {
		return
	}
	if len(n.known.Value.Members.Sets) > 0 && known.Value.Sequence <= n.known.Value.Sequence {
		return
	}
	n.known = known
	close(n.knownChanged)
	n.knownChanged = make(chan struct{})
}

// publishKnown disseminates a chosen value.
func (n *Node) publishKnown(known register.Known) { n.Publish(recordOf(known)) }

func recordOf(known register.Known) dissemination.Record {
	return dissemination.Record{Kind: RegisterRecord, Key: registerKey, Version: dissemination.Version{Sequence: known.Value.Sequence + 1},
		Body: known}
}
