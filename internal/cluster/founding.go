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
// for all brokers at the first start. The first process on an empty disk that has the bootstrap flag marks the disk with the
// seeds, before it is seen by others. From then on, until the disk holds a value of the register, its processes take part
// in the founding, with or without the flag, and a seed's acceptor has its promises there. A seed whose process was ended
// before that joins once the others' reports allow it (joining.go). A seed without a disk has its promises in memory: its
// process answers only if it has the flag, and later ones, which have lost the promises, do not.

const (
	foundingDisk       = 0                      // disk identity of acceptors in memory
	anyDisk            = 1                      // in a probe: matches any disk; no disk has this identity
	foundingSettleTime = 700 * time.Millisecond // the fleet counts as complete once no new member with a disk has appeared for this long
	foundingTimeout    = 5 * time.Second        // maximum wait of a process for the full number of voters
	foundingRetry      = 300 * time.Millisecond
)

// foundingState is a disk's part in founding the register.
type foundingState struct {
	Seeds []string       // IPs of the seeds at the first start
	State register.State // of the acceptor that this machine has as a seed
}

// foundingAcceptor is the acceptor for the first members.
type foundingAcceptor struct {
	replica *replica // keeps its state; nil: the state is in memory

	mu       sync.Mutex // unless there is a replica
	active   bool       // in memory: no earlier process can have answered in its place
	acceptor register.Acceptor
}

// newFounding returns the acceptor of a process with this replica, or with none.
func newFounding(s *settings.Settings, r *replica) *foundingAcceptor {
	f := &foundingAcceptor{replica: r, active: s.Bootstrap}
	f.acceptor.Self = register.Replica{Address: s.IP, Disk: foundingDisk}
	f.acceptor.Persist = func(register.State) error { return nil }
	if r != nil {
		f.acceptor.Persist = r.persistFounding
	}
	return f
}

// use runs do with the acceptor, unless it must not answer or its disk is busy.
func (f *foundingAcceptor) use(do func()) {
	if f.replica == nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.active {
			do()
		}
		return
	}
	f.replica.use(func(*register.Acceptor) {
		if f.replica.marked && f.replica.founding != nil {
			f.acceptor.State = f.replica.founding.State
			do()
		}
	})
}

func (f *foundingAcceptor) prepare(m register.Prepare) register.Promise {
	answer := register.Promise{Foreign: true}
	f.use(func() { answer = f.acceptor.Prepare(m) })
	return answer
}

func (f *foundingAcceptor) accept(m register.Accept) register.Accepted {
	answer := register.Accepted{Foreign: true}
	f.use(func() { answer = f.acceptor.Accept(m) })
	return answer
}

// persistFounding writes the state of the founding acceptor. The caller uses the replica.
func (r *replica) persistFounding(next register.State) error {
	founding := &foundingState{Seeds: r.founding.Seeds, State: next}
	if err := r.writeWhole(r.wholeRecord(r.acceptor.State, founding)); err != nil {
		return err
	}
	r.founding = founding
	return nil
}

// mark writes the replica's part in the founding and its identity to an empty disk.
func (r *replica) mark() error {
	err := errBusy
	r.use(func(a *register.Acceptor) {
		if r.marked || a.State.Accepted != (register.Ballot{}) {
			err = nil
			return
		}
		err = r.persistFounding(r.founding.State)
		r.marked = err == nil
	})
	return err
}

// foundingSeeds returns the IPs of the seeds that decide the first members, or nil if this machine takes no part in it.
func (n *Node) foundingSeeds() []string {
	if n.replica.seeds == nil && n.settings.Bootstrap {
		return n.settings.SeedIPs()
	}
	return n.replica.seeds
}

// markUntilDurable marks the disk. The disk may be full or hang at first.
func (n *Node) markUntilDurable(ctx context.Context) {
	for ctx.Err() == nil && n.replica.mark() != nil {
		select {
		case <-ctx.Done():
		case <-time.After(maintenanceInterval):
		}
	}
}

// foundRegister founds the register at the first start. seeds decide the first members.
func (n *Node) foundRegister(ctx context.Context, seeds []string) {
	var core []string
	since := time.Now()
	for ctx.Err() == nil && !n.registerKnown() {
		time.Sleep(foundingRetry / 3)
		present := n.coreAddresses()
		if !slices.Equal(core, present) {
			core, since = present, time.Now()
		}
		if time.Since(since) < foundingSettleTime || len(core) == 0 {
			continue
		}
		if len(core) < n.tolerance().MinVoters() && time.Since(n.started) < foundingTimeout {
			continue
		}
		if core[0] != n.self.IP && time.Since(since) < 2*foundingSettleTime {
			continue // the member with the lowest address founds the register; the others do so later if it does not
		}
		n.proposeFirstMembers(ctx, seeds)
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
func (n *Node) proposeFirstMembers(ctx context.Context, ips []string) {
	var seeds []register.Replica
	for _, ip := range ips {
		seeds = append(seeds, register.Replica{Address: ip, Disk: foundingDisk})
	}
	first := n.firstMembers()
	if !first.Valid() {
		return // the machines with a disk have just been lost from sight
	}
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

// installFirstMembers makes the first members store the value that names them. The register exists once a majority of them
// has confirmed: then the value is chosen, and the others learn it. One that is lost meanwhile does not hold up the fleet.
func (n *Node) installFirstMembers(ctx context.Context, members register.Members) {
	confirmed := map[register.Replica]bool{}
	for _, replica := range members.Last() {
		if n.installAt(ctx, replica, members) {
			confirmed[replica] = true
			continue
		}
		n.logger.Info().Str("replica", replica.Address).Msg("a first member has not confirmed yet")
	}
	if !members.Majority(func(r register.Replica) bool { return confirmed[r] }) {
		return
	}
	n.logger.Info().Int("members", len(members.Last())).Int("confirmed", len(confirmed)).Msg("register founded")
	n.publishKnown(register.Known{Ballot: firstBallot, Value: register.Value{Members: members}})
}

// installAt makes one first member store the value that names them, and reports whether it has.
func (n *Node) installAt(ctx context.Context, replica register.Replica, members register.Members) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := n.client.Call(ctx, n.settings.PeerAddress(replica.Address), peerlink.Message{Found: &peerlink.Found{Members: members}})
	return err == nil && reply.Found != nil && reply.Found.Taken && reply.Found.Self == replica
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
	if !members.Valid() || !members.Has(a.Self) {
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
