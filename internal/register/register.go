// Package register provides a compare-and-swap register that is replicated on machines with a disk, in the manner of
// CASPaxos. There is no log and no leader: any broker changes the value in two quorum rounds, and each value is
// computed from its predecessor.
//
// The safety argument is in docs/register.md. In short: ballots order the rounds and are never reused; an acceptor
// persists a promise or an accepted value before it answers; a round reads from a majority of every member set that may
// have chosen the current value, carries on the value with the highest ballot, changed or not, and has it accepted by
// majorities of the same sets and of the set that the new value names. The set of acceptors is part of the value; it
// changes through a value that names both sets (joint consensus). An acceptor that lost its disk gets a new identity,
// so its answers are never mistaken for those of the acceptor that promised.
//
// The package does no I/O, reads no clock and starts no goroutine.
package register

import (
	"cmp"
	"slices"
)

// Ballot orders the rounds that change the register. Proposer is drawn at random at each start of a process.
type Ballot struct {
	Counter  uint64
	Proposer uint64
}

// Less reports whether b comes before c.
func (b Ballot) Less(c Ballot) bool {
	return b.Counter < c.Counter || b.Counter == c.Counter && b.Proposer < c.Proposer
}

// Replica identifies an acceptor: the machine's address and the identity of its disk, drawn at random when the disk was
// empty.
type Replica struct {
	Address string
	Disk    uint64
}

// Compare orders replicas by address, then by disk.
func Compare(a, b Replica) int {
	return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Disk, b.Disk))
}

// Members is the set of replicas that vote on the register, or two sets while the vote moves from the first to the
// second.
type Members struct {
	Sets [][]Replica
}

// Single returns Members with one set.
func Single(replicas ...Replica) Members {
	set := slices.Clone(replicas)
	slices.SortFunc(set, Compare)
	return Members{Sets: [][]Replica{set}}
}

// Joint returns Members with the current set and the next one.
func (m Members) Joint(next []Replica) Members {
	set := slices.Clone(next)
	slices.SortFunc(set, Compare)
	return Members{Sets: [][]Replica{m.Last(), set}}
}

// Equal reports whether both Members have the same sets.
func (m Members) Equal(other Members) bool {
	return slices.EqualFunc(m.Sets, other.Sets, func(a, b []Replica) bool { return slices.Equal(a, b) })
}

// Addresses returns the addresses of the machines in all sets, each once.
func (m Members) Addresses() []string {
	var out []string
	for _, set := range m.Sets {
		for _, replica := range set {
			if !slices.Contains(out, replica.Address) {
				out = append(out, replica.Address)
			}
		}
	}
	return out
}

// Majority reports whether has is true for more than half of each set; false if there is no set.
func (m Members) Majority(has func(Replica) bool) bool { return majorityOfEach(m.Sets, has) }

// Last returns the set that votes, or the one that the register is moving to.
func (m Members) Last() []Replica {
	if len(m.Sets) == 0 {
		return nil
	}
	return m.Sets[len(m.Sets)-1]
}

// Moving reports whether a change of the set is in progress.
func (m Members) Moving() bool { return len(m.Sets) > 1 }

// Valid reports whether there is a set, and each set has replicas: nobody could decide in an empty one.
func (m Members) Valid() bool {
	return len(m.Sets) > 0 && !slices.ContainsFunc(m.Sets, func(set []Replica) bool { return len(set) == 0 })
}

// Has reports whether a replica is in the set that Last returns.
func (m Members) Has(r Replica) bool { return slices.Contains(m.Last(), r) }

// Value is a value of the register, including the replicas that vote on it.
type Value struct {
	Sequence uint64 // increases by one with each change
	Members  Members
	Payload  []byte
	// Voted lists the sets that the value was proposed to: it is chosen once a majority of each has accepted it. After a
	// change of the members these are more than the sets that Members names.
	Voted [][]Replica
}

// Quorums returns the sets of which a majority each must accept the value for it to be chosen.
func (v Value) Quorums() [][]Replica {
	if len(v.Voted) > 0 {
		return v.Voted
	}
	return v.Members.Sets
}

// State is what an acceptor persists.
type State struct {
	Promised Ballot
	Accepted Ballot
	Value    Value
}

// Prepare asks an acceptor to promise not to accept a ballot below Ballot. The answer omits the value if the acceptor's
// accepted ballot is Known.
type Prepare struct {
	To     Replica
	Ballot Ballot
	Known  Ballot
	Probe  bool // asks only for the replica's identity and what it accepted last; makes no promise
}

// Promise answers a Prepare. If Refused is set, Promised is the higher ballot that the acceptor has promised already.
type Promise struct {
	From     Replica
	Refused  bool
	Foreign  bool // the disk at this address has another identity, or writing to it failed
	Promised Ballot
	Accepted Ballot
	Sequence uint64 // of the accepted value, in answers to probes; earlier releases leave it out
	Value    *Value // nil: the same as the one under Known
}

// Accept asks an acceptor to accept a value.
type Accept struct {
	To     Replica
	Ballot Ballot
	Value  Value
}

// Accepted answers an Accept.
type Accepted struct {
	From     Replica
	Refused  bool
	Foreign  bool
	Promised Ballot
}

// Acceptor computes the answers of one replica. It calls Persist before each answer that commits it to something.
type Acceptor struct {
	Self    Replica
	State   State
	Persist func(State) error
}

// Prepare handles a Prepare message.
func (a *Acceptor) Prepare(m Prepare) Promise {
	if m.Probe {
		return Promise{From: a.Self, Foreign: m.To != a.Self, Accepted: a.State.Accepted, Sequence: a.State.Value.Sequence}
	}
	if m.To != a.Self {
		return Promise{From: a.Self, Foreign: true}
	}
	if m.Ballot == (Ballot{}) { // a quorum read needs no promise
		return a.promise(m)
	}
	if m.Ballot.Less(a.State.Promised) {
		return Promise{From: a.Self, Refused: true, Promised: a.State.Promised}
	}
	if a.State.Promised.Less(m.Ballot) {
		next := a.State
		next.Promised = m.Ballot
		if a.Persist(next) != nil {
			return Promise{From: a.Self, Foreign: true}
		}
		a.State = next
	}
	return a.promise(m)
}

func (a *Acceptor) promise(m Prepare) Promise {
	promise := Promise{From: a.Self, Promised: m.Ballot, Accepted: a.State.Accepted}
	if a.State.Accepted != m.Known {
		value := a.State.Value
		promise.Value = &value
	}
	return promise
}

// Learn stores a value that is known to be chosen, unless the acceptor has accepted the same or a higher ballot. This
// is safe whatever the acceptor has promised: no other value can be chosen under that ballot, and every later round
// carries the value on.
func (a *Acceptor) Learn(known Known) error {
	if !a.State.Accepted.Less(known.Ballot) {
		return nil
	}
	next := State{Promised: a.State.Promised, Accepted: known.Ballot, Value: known.Value}
	if next.Promised.Less(known.Ballot) {
		next.Promised = known.Ballot
	}
	if err := a.Persist(next); err != nil {
		return err
	}
	a.State = next
	return nil
}

// Accept handles an Accept message.
func (a *Acceptor) Accept(m Accept) Accepted {
	if m.To != a.Self {
		return Accepted{From: a.Self, Foreign: true}
	}
	if m.Ballot.Less(a.State.Promised) {
		return Accepted{From: a.Self, Refused: true, Promised: a.State.Promised}
	}
	next := State{Promised: m.Ballot, Accepted: m.Ballot, Value: m.Value}
	if a.Persist(next) != nil {
		return Accepted{From: a.Self, Foreign: true}
	}
	a.State = next
	return Accepted{From: a.Self, Promised: m.Ballot}
}
