package register

import "slices"

// Phase is the progress of a round.
type Phase int

const (
	Preparing Phase = iota + 1
	Accepting
	Chosen     // the value is chosen: every later round finds it or a value computed from it
	Superseded // an acceptor has promised a higher ballot; retry with a ballot above Highest
	Refused    // the Change returned an error; nothing was proposed
)

// Change computes the next value from the present one. It is called at most once per round. If it returns an error, the
// present value does not change; if keep is true as well, the round still has the present value chosen, so that the
// error rests on a value that a quorum has stored. A value that is kept gets the next sequence if the round proposes it
// to other quorums than before: brokers tell values apart by their sequence.
type Change func(present Value) (next Value, keep bool, err error)

// Known is a value that the proposer has, with the ballot under which it was accepted.
type Known struct {
	Ballot Ballot
	Value  Value
}

// Round is one attempt of a proposer to change the register under one ballot.
type Round struct {
	Phase   Phase
	Ballot  Ballot
	Highest Ballot // the highest ballot seen
	Value   Value  // the proposed value; valid once Accepting or Chosen
	Err     error  // returned by the Change, also when the present value was kept

	known           Known
	change          Change
	sets            [][]Replica // a majority of each is needed
	prepareSent     []Replica
	promises        map[Replica]Known
	accepted        map[Replica]bool
	highestAccepted Known
	hasHighest      bool
}

// NewRound starts a round under a ballot that no other round uses. members are the latest that the proposer knows;
// known is a value that it already has, which acceptors then need not send again.
func NewRound(ballot Ballot, members Members, known Known, change Change) *Round {
	return &Round{Phase: Preparing, Ballot: ballot, Highest: ballot, known: known, change: change,
		sets: slices.Clone(members.Sets), promises: map[Replica]Known{}, accepted: map[Replica]bool{}}
}

// Prepares returns the messages of the first phase that have not been sent yet, one for each replica.
func (r *Round) Prepares() []Prepare {
	var out []Prepare
	if r.Phase != Preparing {
		return nil
	}
	for _, to := range r.allReplicas() {
		if !slices.Contains(r.prepareSent, to) {
			r.prepareSent = append(r.prepareSent, to)
			out = append(out, Prepare{To: to, Ballot: r.Ballot, Known: r.known.Ballot})
		}
	}
	return out
}

// Promise handles an answer of the first phase. It returns the messages of the second phase once that starts. The
// caller then calls Prepares again: the answer may name further replicas to ask.
func (r *Round) Promise(m Promise) []Accept {
	if r.Phase != Preparing || m.Foreign {
		return nil
	}
	if m.Refused {
		r.supersededBy(m.Promised)
		return nil
	}
	if m.Promised != r.Ballot {
		return nil // an answer to another round
	}
	value := r.known.Value
	if m.Value != nil {
		value = *m.Value
	}
	r.promises[m.From] = Known{Ballot: m.Accepted, Value: value}
	if !r.hasHighest || r.highestAccepted.Ballot.Less(m.Accepted) {
		r.highestAccepted, r.hasHighest = r.promises[m.From], true
		r.addSetsOf(value)
	}
	if !r.majorityOfEach(func(replica Replica) bool { _, promised := r.promises[replica]; return promised }) {
		return nil
	}
	return r.propose()
}

// addSetsOf adds the member sets that are needed to decide after a value was read. The sets that it names may have chosen
// a later value. Unless the value is known to be chosen, the sets that it was proposed to may have chosen another value.
func (r *Round) addSetsOf(value Value) {
	r.addSets(value.Members.Sets)
	if value.Sequence > r.known.Value.Sequence {
		r.addSets(value.Quorums())
	}
}

func (r *Round) addSets(sets [][]Replica) {
	for _, set := range sets {
		if !slices.ContainsFunc(r.sets, func(known []Replica) bool { return slices.Equal(known, set) }) {
			r.sets = append(r.sets, set)
		}
	}
}

// propose starts the second phase with the value computed from the one with the highest ballot.
func (r *Round) propose() []Accept {
	present := r.highestAccepted.Value
	next, keep, err := r.change(present)
	if r.Err = err; err != nil {
		if !keep {
			r.Phase = Refused
			return nil
		}
		next = present
	}
	r.dropFormerSets(present)
	r.addSets(next.Members.Sets)
	next.Voted = slices.Clone(r.sets)
	if next.Sequence == present.Sequence && r.changesQuorums(present) {
		next.Sequence++
	}
	r.Value, r.Phase = next, Accepting
	var out []Accept
	for _, to := range r.allReplicas() {
		out = append(out, Accept{To: to, Ballot: r.Ballot, Value: next})
	}
	return out
}

// dropFormerSets limits the second phase to the members of the present value if their last change is complete. Its
// proposer knew that the value that names them alone was chosen, so every later round that begins with a former set
// reads that value, or a newer one, and goes on to these members.
func (r *Round) dropFormerSets(present Value) {
	if len(present.Members.Sets) > 0 && !present.Reconfiguring() {
		r.sets = slices.Clone(present.Members.Sets)
	}
}

// changesQuorums reports whether the round proposes to other sets than the present value was proposed to. It is false for
// the first value of a register.
func (r *Round) changesQuorums(present Value) bool {
	return len(present.Members.Sets) > 0 && !sameSets(r.sets, present.Quorums())
}

// sameSets reports whether two lists contain the same sets, in any order.
func sameSets(a, b [][]Replica) bool {
	contains := func(sets [][]Replica, set []Replica) bool {
		return slices.ContainsFunc(sets, func(other []Replica) bool { return slices.Equal(set, other) })
	}
	return len(a) == len(b) && !slices.ContainsFunc(a, func(set []Replica) bool { return !contains(b, set) })
}

// Accepted handles an answer of the second phase.
func (r *Round) Accepted(m Accepted) {
	if r.Phase != Accepting || m.Foreign {
		return
	}
	if m.Refused {
		r.supersededBy(m.Promised)
		return
	}
	if m.Promised != r.Ballot {
		return
	}
	r.accepted[m.From] = true
	if r.majorityOfEach(func(replica Replica) bool { return r.accepted[replica] }) {
		r.Phase = Chosen
	}
}

// Holders returns the addresses of the replicas that have accepted the value.
func (r *Round) Holders() []string {
	var out []string
	for replica := range r.accepted {
		if !slices.Contains(out, replica.Address) {
			out = append(out, replica.Address)
		}
	}
	return out
}

func (r *Round) supersededBy(by Ballot) {
	if r.Highest.Less(by) {
		r.Highest = by
	}
	if r.Ballot.Less(by) {
		r.Phase = Superseded
	}
}

// majorityOfEach reports whether more than half of each set of the round has answered.
func (r *Round) majorityOfEach(answered func(Replica) bool) bool {
	return majorityOfEach(r.sets, answered)
}

func majorityOfEach(sets [][]Replica, has func(Replica) bool) bool {
	for _, set := range sets {
		n := 0
		for _, replica := range set {
			if has(replica) {
				n++
			}
		}
		if 2*n <= len(set) {
			return false
		}
	}
	return len(sets) > 0
}

func (r *Round) allReplicas() []Replica {
	var all []Replica
	for _, set := range r.sets {
		for _, replica := range set {
			if !slices.Contains(all, replica) {
				all = append(all, replica)
			}
		}
	}
	return all
}
