// Package register is a compare-and-swap register, replicated on machines with a disk. There is no log and no leader:
// any broker changes the value in two quorum rounds, and each value is made from the one before it.
//
// The safety argument stands in docs/register.md. In short: ballots order the attempts and are never used twice; an
// acceptor promises and accepts on its disk before it answers; an attempt reads from a majority of every member set
// that the value in force may have been chosen by, carries on the value with the highest ballot, changed or not, and
// has it accepted by majorities of the same sets and of the set that the new value names. The set of acceptors is a
// part of the value; it changes through a value that names both sets. An acceptor that has lost its disk has another
// identity, so no one takes its answers for those of the one that promised.
//
// The package has no I/O, clock or goroutine.
package register

import (
	"cmp"
	"slices"
)

// Ballot orders attempts to change the register. Proposer is drawn anew at each start of a process.
type Ballot struct {
	Counter  uint64
	Proposer uint64
}

// Less says whether b comes before c.
func (b Ballot) Less(c Ballot) bool {
	return b.Counter < c.Counter || b.Counter == c.Counter && b.Proposer < c.Proposer
}

// Replica names an acceptor: the machine's address and the identity of its disk, drawn when that was empty.
type Replica struct {
	Address string
	Disk    uint64
}

// Compare orders replicas.
func Compare(a, b Replica) int {
	return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Disk, b.Disk))
}

// Members are the sets of replicas that hold the register: one, or two while it moves from the first to the second.
type Members struct {
	Sets [][]Replica
}

// Single makes members of one set.
func Single(replicas ...Replica) Members {
	set := slices.Clone(replicas)
	slices.SortFunc(set, Compare)
	return Members{Sets: [][]Replica{set}}
}

// Joint names the present set and the next one.
func (m Members) Joint(next []Replica) Members {
	set := slices.Clone(next)
	slices.SortFunc(set, Compare)
	return Members{Sets: [][]Replica{m.Last(), set}}
}

// Equal says whether two members name the same sets.
func (m Members) Equal(other Members) bool {
	return slices.EqualFunc(m.Sets, other.Sets, func(a, b []Replica) bool { return slices.Equal(a, b) })
}

// Addresses lists the machines of all sets.
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

// Majority says whether more than half of each set has a property; false where there is no set.
func (m Members) Majority(has func(Replica) bool) bool { return majorities(m.Sets, has) }

// Last is the set that the register is in or moves to.
func (m Members) Last() []Replica {
	if len(m.Sets) == 0 {
		return nil
	}
	return m.Sets[len(m.Sets)-1]
}

// Moving says whether a change of the set is under way.
func (m Members) Moving() bool { return len(m.Sets) > 1 }

// Has says whether a replica is in the set that holds from now on.
func (m Members) Has(r Replica) bool { return slices.Contains(m.Last(), r) }

// Value is what the register holds.
type Value struct {
	Sequence uint64 // rises by one with each change
	Members  Members
	Payload  []byte
	// Voted are the sets that it was proposed to: it is chosen once majorities of all of them have accepted it. After a
	// change of the members that is more than the sets it names.
	Voted [][]Replica
}

// Quorums are the sets whose majorities have to accept the value for it to be chosen.
func (v Value) Quorums() [][]Replica {
	if len(v.Voted) > 0 {
		return v.Voted
	}
	return v.Members.Sets
}

// State is what an acceptor keeps on its disk.
type State struct {
	Promised Ballot
	Accepted Ballot
	Value    Value
}

// Prepare asks for the promise to accept nothing older than Ballot. The value is left out of the answer where the
// acceptor's accepted ballot is Known.
type Prepare struct {
	To     Replica
	Ballot Ballot
	Known  Ballot
	Probe  bool // asks only who answers here and what ballot it has accepted; binds nobody
}

// Promise answers a Prepare. Refused: Promised is the newer ballot that stands in the way.
type Promise struct {
	From     Replica
	Refused  bool
	Foreign  bool // another disk answers at this address, or it cannot write
	Promised Ballot
	Accepted Ballot
	Value    *Value // nil: as known
}

// Accept asks to take a value.
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

// Acceptor decides what one replica answers. Persist is called before each answer that binds it.
type Acceptor struct {
	Self    Replica
	State   State
	Persist func(State) error
}

// Prepare takes a Prepare.
func (a *Acceptor) Prepare(m Prepare) Promise {
	if m.Probe {
		return Promise{From: a.Self, Foreign: m.To != a.Self, Accepted: a.State.Accepted}
	}
	if m.To != a.Self {
		return Promise{From: a.Self, Foreign: true}
	}
	if m.Ballot == (Ballot{}) { // an inspection binds nobody
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

// Learn takes a value that is known to be chosen, where the acceptor has nothing as new. It may do so whatever it has
// promised: nothing else can be chosen under that ballot, and every later attempt carries the value on.
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

// Accept takes an Accept.
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
