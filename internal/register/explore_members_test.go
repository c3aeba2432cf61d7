package register

import (
	"flag"
	"hash/maphash"
	"maps"
	"slices"
	"strings"
	"testing"
)

// This file explores every state of a small model in which the members change: rounds replace voters, add voters,
// complete the change, change the value, or repair a value that one replica accepted but does not know to be chosen.
// A step delivers one message to one replica and returns its answer. Lost messages, replicas that crashed, were wiped,
// left or are unreachable, partitions and proposers that stopped need no steps of their own: they equal states after
// which some steps are not taken. A value counts as chosen once majorities have accepted it, whether or not a proposer
// knows. Replicas of one group, such as all voters that stay, are interchangeable: of the states that differ only in a
// permutation within a group, one is explored.

// plannedRound describes a round, which starts when it takes its first step.
type plannedRound struct {
	name   string
	start  func(w *memberState) (sets Members, known Known, ready bool)
	change Change
}

// layout counts the replicas of a model: voters that stay, voters that leave, and learners that become voters.
type layout struct{ staying, leaving, joining int }

func (l layout) total() int { return l.staying + l.leaving + l.joining }

// replicas returns the replicas in the order of the groups. The address of each is its index.
func (l layout) replicas() (out []Replica) {
	for i := range l.total() {
		out = append(out, Replica{string(rune('0' + i)), 1})
	}
	return out
}

func (l layout) initialVoters() []Replica { return l.replicas()[:l.staying+l.leaving] }

func (l layout) nextVoters() []Replica {
	all := l.replicas()
	return append(slices.Clone(all[:l.staying]), all[l.staying+l.leaving:]...)
}

// repairedReplica returns the index of the replica whose accepted value is repaired: the last one that becomes a voter,
// if one does. It is not interchangeable with any other replica.
func (l layout) repairedReplica() int { return l.total() - 1 }

type memberState struct {
	layout
	acceptorStates []State
	accepted       [][]Ballot // by replica: all ballots that it ever accepted
	rounds         []*Round
	contacted      []uint16 // by round: bit set of the replicas contacted in its current phase
	values         map[Ballot]Value
}

func (w *memberState) clone() *memberState {
	c := *w // copies shallowly; a step copies what it changes
	c.acceptorStates, c.accepted = slices.Clone(w.acceptorStates), slices.Clone(w.accepted)
	c.rounds, c.contacted = slices.Clone(w.rounds), slices.Clone(w.contacted)
	return &c
}

func copyRound(r *Round) *Round {
	c := *r
	c.sets = slices.Clone(r.sets)
	c.promises, c.accepted = maps.Clone(r.promises), maps.Clone(r.accepted)
	return &c
}

// key identifies a state. Payloads distinguish values, and each value has its own number of sets.
func (w *memberState) key(seed maphash.Seed) [2]uint64 {
	b := make([]byte, 0, 256)
	for i, r := range w.rounds {
		if r == nil {
			b = append(b, '-')
			continue
		}
		b = append(b, byte(r.Phase), byte(r.highestAccepted.Ballot.Counter), byte(len(r.sets)), byte(r.Value.Sequence), byte(r.known.Ballot.Counter), byte(i))
		b = append(b, r.Value.Payload...)
	}
	parts := make([]string, w.total())
	for i := range parts {
		parts[i] = w.replicaKey(i)
	}
	from := 0
	for _, groupSize := range []int{w.staying, w.leaving, w.joining} {
		slices.Sort(parts[from:min(from+groupSize, w.repairedReplica())])
		from = min(from+groupSize, w.repairedReplica())
	}
	for _, part := range parts {
		b = append(b, part...)
		b = append(b, ';')
	}
	return [2]uint64{maphash.Bytes(seed, b), maphash.Bytes(seed, append(b, '2'))}
}

// replicaKey is the part of key that describes one replica.
func (w *memberState) replicaKey(i int) string {
	s := w.acceptorStates[i]
	b := make([]byte, 0, 32)
	b = append(b, byte(s.Promised.Counter), byte(s.Accepted.Counter), byte(len(s.Value.Voted)), byte(s.Value.Sequence))
	b = append(b, s.Value.Payload...)
	for _, ballot := range w.accepted[i] {
		b = append(b, byte(ballot.Counter))
	}
	b = append(b, ',')
	replica := w.replicas()[i]
	for at, r := range w.rounds {
		if r != nil {
			b = append(b, bit(w.contacted[at]&(1<<i) != 0)|2*bit(hasPromise(r, replica))|4*bit(r.accepted[replica]))
		}
	}
	return string(b)
}

func hasPromise(r *Round, replica Replica) bool {
	_, has := r.promises[replica]
	return has
}

func bit(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// step lets round i send a message to the replica with index at and receive the answer. It returns nil if there is
// nothing to send.
func (w *memberState) step(plans []plannedRound, i, at int) *memberState {
	if w.rounds[i] == nil {
		sets, known, ready := plans[i].start(w)
		if !ready {
			return nil
		}
		c := w.clone()
		c.rounds[i] = NewRound(Ballot{Counter: uint64(2 + i), Proposer: uint64(1 + i)}, sets, known, plans[i].change)
		return c.step(plans, i, at)
	}
	r := w.rounds[i]
	if w.contacted[i]&(1<<at) != 0 || r.Phase != Preparing && r.Phase != Accepting || !slices.Contains(r.allReplicas(), w.replicas()[at]) {
		return nil
	}
	c := w.clone()
	r = copyRound(r)
	c.rounds[i] = r
	c.contacted[i] |= 1 << at
	a := &Acceptor{Self: w.replicas()[at], State: c.acceptorStates[at], Persist: func(State) error { return nil }}
	if r.Phase == Preparing {
		before := r.Phase
		r.Promise(a.Prepare(Prepare{To: a.Self, Ballot: r.Ballot, Known: r.known.Ballot}))
		if r.Phase != before {
			c.contacted[i] = 0
			c.values = maps.Clone(w.values)
			c.values[r.Ballot] = r.Value
		}
	} else {
		answer := a.Accept(Accept{To: a.Self, Ballot: r.Ballot, Value: r.Value})
		if !answer.Refused {
			c.accepted[at] = append(slices.Clone(c.accepted[at]), r.Ballot)
		}
		r.Accepted(answer)
	}
	c.acceptorStates[at] = a.State
	return c
}

// chosen returns the values accepted by a majority of each set that they were proposed to, by their ballots.
func (w *memberState) chosen() map[Ballot]Value {
	out := map[Ballot]Value{}
	for ballot, v := range w.values {
		if majorityOfEach(v.Voted, func(r Replica) bool { return slices.Contains(w.accepted[r.Address[0]-'0'], ballot) }) {
			out[ballot] = v
		}
	}
	return out
}

// disagreement returns two chosen values of which neither is computed from the other, or which were proposed to
// different sets under one sequence. It returns nil if there are none.
func disagreement(chosen map[Ballot]Value) []Value {
	for _, one := range chosen {
		for _, other := range chosen {
			first, second := string(one.Payload), string(other.Payload)
			diverging := !strings.HasPrefix(first, second) && !strings.HasPrefix(second, first)
			if diverging || one.Sequence == other.Sequence && !sameSets(one.Voted, other.Voted) {
				return []Value{one, other}
			}
		}
	}
	return nil
}

// exploreMembers visits all states. It returns their number and, if two chosen values disagree, these values.
func exploreMembers(l layout, plans []plannedRound, limit int) (states int, disagree []Value) {
	members := Single(l.initialVoters()...)
	start := &memberState{layout: l, accepted: make([][]Ballot, l.total()), rounds: make([]*Round, len(plans)), contacted: make([]uint16, len(plans)),
		values: map[Ballot]Value{}}
	for range l.total() {
		start.acceptorStates = append(start.acceptorStates, State{Promised: initialBallot, Accepted: initialBallot, Value: Value{Members: members}})
	}
	seed := maphash.MakeSeed()
	seen := map[[2]uint64]bool{start.key(seed): true}
	todo := []*memberState{start}
	for len(todo) > 0 && len(seen) < limit {
		w := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if disagree := disagreement(w.chosen()); disagree != nil {
			return len(seen), disagree
		}
		for i := range plans {
			for at := range l.total() {
				next := w.step(plans, i, at)
				if next == nil {
					continue
				}
				if k := next.key(seed); !seen[k] {
					seen[k] = true
					todo = append(todo, next)
				}
			}
		}
	}
	return len(seen), nil
}

var initialBallot = Ballot{Counter: 1}

// appendName appends a name to the payload of each value that a change makes, so that the payload shows which changes
// led to the value and diverging histories can be told apart.
func appendName(name string, change Change) Change {
	return func(present Value) (Value, bool, error) {
		next, keep, err := change(present)
		if next.Sequence > present.Sequence {
			next.Payload = append(slices.Clone(present.Payload), name...)
		}
		return next, keep, err
	}
}

// fromInitialValue starts a round of a proposer that knows only the initial value.
func fromInitialValue(w *memberState) (Members, Known, bool) {
	members := Single(w.initialVoters()...)
	return members, Known{Ballot: initialBallot, Value: Value{Members: members}}, true
}

// fromChosenMembers starts a round of a proposer that knows the newest chosen value, once that names the new members alone.
func fromChosenMembers(w *memberState) (Members, Known, bool) {
	newest := Known{}
	for ballot, v := range w.chosen() {
		if newest.Ballot.Less(ballot) {
			newest = Known{Ballot: ballot, Value: v}
		}
	}
	ready := !newest.Value.Members.Moving() && newest.Value.Members.Equal(Single(w.nextVoters()...))
	return newest.Value.Members, newest, ready
}

// repairFromOneReplica starts a round from the value that one replica accepted. With loose it uses the sets that the
// value names instead of those that it was proposed to, which is wrong.
func repairFromOneReplica(loose bool) func(*memberState) (Members, Known, bool) {
	return func(w *memberState) (Members, Known, bool) {
		s := w.acceptorStates[w.repairedReplica()]
		sets := Members{Sets: s.Value.Quorums()}
		if loose {
			sets = s.Value.Members
		}
		return sets, Known{Ballot: s.Accepted, Value: s.Value}, s.Value.Sequence > 0
	}
}

func incrementChange(present Value) (Value, bool, error) {
	return Value{Sequence: present.Sequence + 1, Members: present.Members, Payload: present.Payload}, true, nil
}

func keepChange(present Value) (Value, bool, error) { return present, true, nil }

// The rounds that the models combine.

func beginReconfiguration(l layout) plannedRound {
	return plannedRound{"begin", fromInitialValue, appendName("J", Reconfigure(Single(l.initialVoters()...), l.nextVoters()))}
}

func finishReconfiguration(layout) plannedRound {
	return plannedRound{"finish", fromInitialValue, appendName("S", completePresent)}
}

// finishKnown is the last step of a change, by a proposer that knows the one before it.
func finishKnown(layout) plannedRound {
	return plannedRound{"finish known", fromChosenMembers, appendName("E", completePresent)}
}

// confirmLate confirms the present value by a proposer that knows only the initial one, as for an order that was
// accepted before.
func confirmLate(layout) plannedRound {
	return plannedRound{"late confirmation", fromInitialValue, keepChange}
}

// confirmKnown is the same by a proposer that knows the new members.
func confirmKnown(layout) plannedRound {
	return plannedRound{"confirmation", fromChosenMembers, keepChange}
}

// completePresent completes a change that is incomplete at the acceptors.
func completePresent(present Value) (Value, bool, error) {
	return CompleteReconfiguration(present)(present)
}

func changeValue(layout) plannedRound {
	return plannedRound{"operation", fromInitialValue, appendName("x", incrementChange)}
}

func repairValue(layout) plannedRound {
	return plannedRound{"repair", repairFromOneReplica(false), keepChange}
}

func looseRepair(layout) plannedRound {
	return plannedRound{"loose repair", repairFromOneReplica(true), keepChange}
}

// maxStates bounds the exploration of the models with three voters; all but one finish below it. Each run explores
// larger models up to maxLargeModelStates; to go further, run
// go test ./internal/register -run TestEveryOrderOfAReconfiguration -explore.states 5000000.
var (
	maxStates           = 2_000_000
	maxLargeModelStates = flag.Int("explore.states", 250_000, "maximum number of states to explore in each larger model of TestEveryOrderOfAReconfiguration")
)

var (
	replaceOneOfThree = layout{staying: 2, leaving: 1, joining: 1}
	threeGrowToFive   = layout{staying: 3, joining: 2}
	fiveGrowToSeven   = layout{staying: 5, joining: 2}
	replaceTwoOfFive  = layout{staying: 3, leaving: 2, joining: 2}
	replaceOneOfFive  = layout{staying: 4, leaving: 1, joining: 1}
	fiveShrinkToThree = layout{staying: 3, leaving: 2}
)

func TestEveryOrderOfAReconfiguration(t *testing.T) {
	type rounds []func(layout) plannedRound
	for name, model := range map[string]struct {
		layout   layout
		attempts rounds
	}{
		"one of three replaced: begin, finish, operation":            {replaceOneOfThree, rounds{beginReconfiguration, finishReconfiguration, changeValue}},
		"one of three replaced: begin, finish, repair":               {replaceOneOfThree, rounds{beginReconfiguration, finishReconfiguration, repairValue}},
		"one of three replaced: begin, operation, repair":            {replaceOneOfThree, rounds{beginReconfiguration, changeValue, repairValue}},
		"one of three replaced: begin, finish, repair and operation": {replaceOneOfThree, rounds{beginReconfiguration, finishReconfiguration, repairValue, changeValue}},
		"one of three replaced: begin twice, operation":              {replaceOneOfThree, rounds{beginReconfiguration, beginReconfiguration, changeValue}},
		"one of three replaced: begin, finish, finish known, late confirmation": {replaceOneOfThree,
			rounds{beginReconfiguration, finishReconfiguration, finishKnown, confirmLate}},
		"one of three replaced: begin, finish, confirmation, finish known": {replaceOneOfThree,
			rounds{beginReconfiguration, finishReconfiguration, confirmKnown, finishKnown}},
		"one of three replaced: begin, finish, finish known, late confirmation, operation": {replaceOneOfThree,
			rounds{beginReconfiguration, finishReconfiguration, finishKnown, confirmLate, changeValue}},
		"three grow to five: begin, finish, finish known, late confirmation": {threeGrowToFive,
			rounds{beginReconfiguration, finishReconfiguration, finishKnown, confirmLate}},
		"two of five replaced: begin, finish, finish known, late confirmation": {replaceTwoOfFive,
			rounds{beginReconfiguration, finishReconfiguration, finishKnown, confirmLate}},
		"three grow to five: begin, finish, operation":   {threeGrowToFive, rounds{beginReconfiguration, finishReconfiguration, changeValue}},
		"three grow to five: begin, operation, repair":   {threeGrowToFive, rounds{beginReconfiguration, changeValue, repairValue}},
		"five grow to seven: begin, finish":              {fiveGrowToSeven, rounds{beginReconfiguration, finishReconfiguration}},
		"five grow to seven: begin, operation":           {fiveGrowToSeven, rounds{beginReconfiguration, changeValue}},
		"five grow to seven: begin, repair":              {fiveGrowToSeven, rounds{beginReconfiguration, repairValue}},
		"two of five replaced: begin, finish":            {replaceTwoOfFive, rounds{beginReconfiguration, finishReconfiguration}},
		"two of five replaced: begin, operation":         {replaceTwoOfFive, rounds{beginReconfiguration, changeValue}},
		"two of five replaced: begin, repair":            {replaceTwoOfFive, rounds{beginReconfiguration, repairValue}},
		"two of five replaced: begin, finish, operation": {replaceTwoOfFive, rounds{beginReconfiguration, finishReconfiguration, changeValue}},
		"one of five replaced: begin, finish, operation": {replaceOneOfFive, rounds{beginReconfiguration, finishReconfiguration, changeValue}},
		"five shrink to three: begin, operation, repair": {fiveShrinkToThree, rounds{beginReconfiguration, changeValue, repairValue}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var plans []plannedRound
			for _, plan := range model.attempts {
				plans = append(plans, plan(model.layout))
			}
			limit := maxStates
			if model.layout != replaceOneOfThree {
				limit = min(limit, *maxLargeModelStates)
			}
			if testing.Short() {
				limit = 100_000
			}
			states, disagree := exploreMembers(model.layout, plans, limit)
			if disagree != nil {
				t.Fatalf("two chosen values disagree: %v", disagree)
			}
			t.Logf("%d states explored, exhaustive: %t", states, states < limit)
		})
	}
}

// TestLooseRepairIsFound checks that the exploration finds a repair that wrongly uses only the sets that a value names,
// not all those that it was proposed to.
func TestLooseRepairIsFound(t *testing.T) {
	for name, l := range map[string]layout{"one of three replaced": replaceOneOfThree, "three grow to five": threeGrowToFive} {
		t.Run(name, func(t *testing.T) {
			plans := []plannedRound{beginReconfiguration(l), finishReconfiguration(l), looseRepair(l), changeValue(l)}
			states, disagree := exploreMembers(l, plans, 20_000_000)
			if disagree == nil {
				t.Fatalf("no disagreement found in %d states", states)
			}
			t.Logf("disagreement found after %d states: %v", states, disagree)
		})
	}
}
