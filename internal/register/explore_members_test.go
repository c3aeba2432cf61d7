package register

import (
	"hash/maphash"
	"maps"
	"slices"
	"strings"
	"testing"
)

// Every state of a small world in which the members change: three voters and a learner, attempts that move a seat, settle
// the move, change the value, and make sure of a value in doubt. A step delivers one message to one replica and its answer
// back. A message that is never delivered, a replica that crashed, was wiped, left or is cut off, and a proposer that ended
// are all states after which some steps are not made; a value counts as chosen once majorities have accepted it, whoever
// knows.

// proposal is one attempt in waiting: it begins when it is first stepped.
type proposal struct {
	name  string
	begin func(w *membersWorld) (sets Members, known Known, ready bool)
	op    Change
}

type membersWorld struct {
	states   [4]State
	accepted [4][]Ballot // of each replica, all that it ever accepted
	rounds   []*Round
	asked    []uint8 // replicas that the attempt has asked in its present phase, a bit each
	values   map[Ballot]Value
}

var memberReplicas = []Replica{{"0", 1}, {"1", 1}, {"2", 1}, {"3", 1}}

func (w *membersWorld) clone() *membersWorld {
	c := *w // what is changed is copied then
	c.rounds, c.asked = slices.Clone(w.rounds), slices.Clone(w.asked)
	return &c
}

func copyRound(r *Round) *Round {
	c := *r
	c.sets = slices.Clone(r.sets)
	c.promises, c.accepted = maps.Clone(r.promises), maps.Clone(r.accepted)
	return &c
}

// key names a state. Payloads tell values apart, and each has its own number of sets.
func (w *membersWorld) key(seed maphash.Seed) [2]uint64 {
	b := make([]byte, 0, 256)
	for i, s := range w.states {
		b = append(b, byte(s.Promised.Counter), byte(s.Accepted.Counter), byte(len(s.Value.Voted)))
		b = append(b, s.Value.Payload...)
		for _, ballot := range w.accepted[i] {
			b = append(b, byte(ballot.Counter))
		}
		b = append(b, ';')
	}
	for i, r := range w.rounds {
		if r == nil {
			b = append(b, '-')
			continue
		}
		b = append(b, byte(r.Phase), w.asked[i], byte(r.best.Ballot.Counter), byte(len(r.sets)))
		b = append(b, r.Value.Payload...)
		for _, replica := range memberReplicas {
			b = append(b, bit(hasPromise(r, replica))|2*bit(r.accepted[replica]))
		}
	}
	return [2]uint64{maphash.Bytes(seed, b), maphash.Bytes(seed, append(b, '2'))}
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

// step has attempt i ask replica at; nil: there is nothing to ask.
func (w *membersWorld) step(proposals []proposal, i, at int) *membersWorld {
	if w.rounds[i] == nil {
		sets, known, ready := proposals[i].begin(w)
		if !ready {
			return nil
		}
		c := w.clone()
		c.rounds[i] = NewRound(Ballot{Counter: uint64(2 + i), Proposer: uint64(1 + i)}, sets, known, proposals[i].op)
		return c.step(proposals, i, at)
	}
	r := w.rounds[i]
	if w.asked[i]&(1<<at) != 0 || r.Phase != Preparing && r.Phase != Accepting || !slices.Contains(r.replicas(), memberReplicas[at]) {
		return nil
	}
	c := w.clone()
	r = copyRound(r)
	c.rounds[i] = r
	c.asked[i] |= 1 << at
	a := &Acceptor{Self: memberReplicas[at], State: c.states[at], Persist: func(State) error { return nil }}
	if r.Phase == Preparing {
		before := r.Phase
		r.Promise(a.Prepare(Prepare{To: a.Self, Ballot: r.Ballot, Known: r.known.Ballot}))
		if r.Phase != before {
			c.asked[i] = 0
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
	c.states[at] = a.State
	return c
}

// chosen lists the values that majorities of the sets they were proposed to have accepted.
func (w *membersWorld) chosen() (out []string) {
	for ballot, v := range w.values {
		if majorities(v.Voted, func(r Replica) bool { return slices.Contains(w.accepted[r.Address[0]-'0'], ballot) }) {
			out = append(out, string(v.Payload))
		}
	}
	return out
}

// explore walks all states. It returns how many there are and, if two chosen values disagree, these.
func exploreMembers(proposals []proposal, most int) (states int, disagree []string) {
	members := Single(memberReplicas[:3]...)
	first := State{Promised: firstOne, Accepted: firstOne, Value: Value{Members: members}}
	start := &membersWorld{states: [4]State{first, first, first, first}, rounds: make([]*Round, len(proposals)), asked: make([]uint8, len(proposals)),
		values: map[Ballot]Value{}}
	seed := maphash.MakeSeed()
	seen := map[[2]uint64]bool{start.key(seed): true}
	todo := []*membersWorld{start}
	for len(todo) > 0 && len(seen) < most {
		w := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		chosen := w.chosen()
		for _, one := range chosen {
			for _, other := range chosen {
				if !strings.HasPrefix(one, other) && !strings.HasPrefix(other, one) {
					return len(seen), chosen
				}
			}
		}
		for i := range proposals {
			for at := range memberReplicas {
				next := w.step(proposals, i, at)
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

var firstOne = Ballot{Counter: 1}

// marked has each value that a change makes carry its name, so that a line of values can be told from two.
func marked(name string, change Change) Change {
	return func(present Value) (Value, bool, error) {
		next, keep, err := change(present)
		if next.Sequence > present.Sequence {
			next.Payload = append(slices.Clone(present.Payload), name...)
		}
		return next, keep, err
	}
}

// fromTheFirst begins an attempt of a proposer that knows the first value alone.
func fromTheFirst(*membersWorld) (Members, Known, bool) {
	members := Single(memberReplicas[:3]...)
	return members, Known{Ballot: firstOne, Value: Value{Members: members}}, true
}

// inDoubt begins an attempt by what the learner's machine accepted. loose: by the sets that the value names, not by those
// it was proposed to.
func inDoubt(loose bool) func(*membersWorld) (Members, Known, bool) {
	return func(w *membersWorld) (Members, Known, bool) {
		s := w.states[3]
		sets := Members{Sets: s.Value.Quorums()}
		if loose {
			sets = s.Value.Members
		}
		return sets, Known{Ballot: s.Accepted, Value: s.Value}, s.Value.Sequence > 0
	}
}

func operation(present Value) (Value, bool, error) {
	return Value{Sequence: present.Sequence + 1, Members: present.Members, Payload: present.Payload}, true, nil
}

func keepPresent(present Value) (Value, bool, error) { return present, true, nil }

func moveSeat() proposal {
	members := Single(memberReplicas[:3]...)
	next := []Replica{memberReplicas[0], memberReplicas[1], memberReplicas[3]}
	return proposal{"a seat moves to the learner", fromTheFirst, marked("J", Reconfigure(members, next))}
}

func settleMove() proposal {
	return proposal{"the move is settled", fromTheFirst, marked("S", Settle)}
}

// mostStates bounds the walk through the largest world; the others end by themselves.
var mostStates = 2_000_000

func TestEveryOrderOfAMove(t *testing.T) {
	most := mostStates
	if testing.Short() {
		most = 100_000
	}
	for name, proposals := range map[string][]proposal{
		"move, settle, operation":            {moveSeat(), settleMove(), {"operation", fromTheFirst, marked("x", operation)}},
		"move, settle, doubt":                {moveSeat(), settleMove(), {"doubt", inDoubt(false), keepPresent}},
		"move, operation, doubt":             {moveSeat(), {"operation", fromTheFirst, marked("x", operation)}, {"doubt", inDoubt(false), keepPresent}},
		"move, settle, doubt and operation":  {moveSeat(), settleMove(), {"doubt", inDoubt(false), keepPresent}, {"operation", fromTheFirst, marked("x", operation)}},
		"two moves and an operation by four": {moveSeat(), moveSeat(), {"operation", fromTheFirst, marked("x", operation)}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states, disagree := exploreMembers(proposals, most)
			if disagree != nil {
				t.Fatalf("two chosen values disagree: %v", disagree)
			}
			t.Logf("%d states, all of them: %t", states, states < most)
		})
	}
}

// TestLooseRepairIsFound plants a repair that makes sure of a value by the sets that it names alone.
func TestLooseRepairIsFound(t *testing.T) {
	proposals := []proposal{moveSeat(), settleMove(), {"doubt", inDoubt(true), keepPresent}, {"operation", fromTheFirst, marked("x", operation)}}
	states, disagree := exploreMembers(proposals, 20_000_000)
	if disagree == nil {
		t.Fatalf("not found in %d states", states)
	}
	t.Logf("found in %d states: %v", states, disagree)
}
