package register

import (
	"slices"
	"testing"
)

func fourReplicasThreeVoters() ([]Replica, Members) {
	replicas := []Replica{{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}}
	return replicas, Single(replicas[:3]...)
}

// TestLookAfterAMove reads a value that was proposed to both the old and the new set: a majority of the new set alone
// does not make it chosen.
func TestLookAfterAMove(t *testing.T) {
	replicas, old := fourReplicasThreeVoters()
	next := Single(replicas[0], replicas[1], replicas[3])
	value := Value{Sequence: 2, Members: next, Voted: [][]Replica{old.Sets[0], next.Sets[0]}}
	ballot := Ballot{Counter: 5, Proposer: 1}
	read := NewQuorumRead(Known{Ballot: ballot, Value: value})
	for _, r := range []Replica{replicas[0], replicas[3]} {
		read.Receive(Promise{From: r, Accepted: ballot})
	}
	if read.Chosen() {
		t.Error("the value counts as chosen by a majority of the new set alone")
	}
	read.Receive(Promise{From: replicas[1], Accepted: ballot})
	if !read.Chosen() {
		t.Error("the value does not count as chosen by majorities of both sets")
	}
	if len(read.Requests()) != 4 {
		t.Errorf("%d replicas are queried, want 4", len(read.Requests()))
	}
}

// TestReconfigure checks that a change of the members starts only from the set that it was planned for, and never while
// another change is in progress.
func TestReconfigure(t *testing.T) {
	replicas, old := fourReplicasThreeVoters()
	next := []Replica{replicas[0], replicas[1], replicas[3]}
	present := Value{Sequence: 7, Members: old, Payload: []byte("p")}
	moved, _, _ := Reconfigure(old, next)(present)
	if !moved.Reconfiguring() || moved.Sequence != 8 || string(moved.Payload) != "p" {
		t.Fatalf("after Reconfigure: %+v", moved)
	}
	for name, value := range map[string]Value{
		"change in progress":           moved,
		"also proposed to the old set": {Sequence: 9, Members: old, Voted: [][]Replica{replicas[1:], old.Sets[0]}},
		"unexpected set":               {Sequence: 9, Members: Single(next...)},
	} {
		if again, _, _ := Reconfigure(old, next)(value); again.Sequence != value.Sequence {
			t.Errorf("%s: a change was started", name)
		}
	}
	one, _, _ := CompleteReconfiguration(moved)(moved)
	one.Voted = [][]Replica{old.Sets[0], one.Members.Sets[0]}
	if one.Members.Moving() || !one.Reconfiguring() {
		t.Fatalf("after the first step: %+v", one)
	}
	done, _, _ := CompleteReconfiguration(one)(one)
	done.Voted = done.Members.Sets
	if done.Reconfiguring() || done.Sequence != 10 {
		t.Fatalf("after the second step: %+v", done)
	}
	if same, _, _ := CompleteReconfiguration(one)(done); same.Sequence != done.Sequence {
		t.Error("a completed change was changed again")
	}
}

// decide runs one round against acceptors in memory until it ends.
func decide(acceptors map[Replica]*Acceptor, ballot Ballot, known Known, change Change) *Round {
	r := NewRound(ballot, known.Value.Members, known, change)
	var accepts []Accept
	for prepares := r.Prepares(); len(prepares) > 0; prepares = r.Prepares() {
		for _, m := range prepares {
			accepts = append(accepts, r.Promise(acceptors[m.To].Prepare(m))...)
		}
	}
	for _, m := range accepts {
		r.Accepted(acceptors[m.To].Accept(m))
	}
	return r
}

// decideAmong is decide with the replicas that are reached in each phase, in the order of their answers.
func decideAmong(acceptors map[Replica]*Acceptor, r *Round, preparing, accepting []Replica) {
	deliverAccepts(acceptors, r, prepareAmong(acceptors, r, preparing), accepting)
}

// prepareAmong delivers the first phase of a round to some replicas and returns the messages of the second.
func prepareAmong(acceptors map[Replica]*Acceptor, r *Round, reached []Replica) (accepts []Accept) {
	for prepares := r.Prepares(); len(prepares) > 0; prepares = r.Prepares() {
		for _, to := range reached {
			for _, m := range prepares {
				if m.To == to {
					accepts = append(accepts, r.Promise(acceptors[to].Prepare(m))...)
				}
			}
		}
	}
	return accepts
}

func deliverAccepts(acceptors map[Replica]*Acceptor, r *Round, accepts []Accept, reached []Replica) {
	for _, m := range accepts {
		if slices.Contains(reached, m.To) {
			r.Accepted(acceptors[m.To].Accept(m))
		}
	}
}

// TestRoundReadsTheSetsOfAnUndecidedValue guards against two chosen values: a proposer that knows the members from before
// two changes finds a value that the second change has left undecided, and must also read from the set between.
func TestRoundReadsTheSetsOfAnUndecidedValue(t *testing.T) {
	var replicas []Replica
	for _, address := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		replicas = append(replicas, Replica{address, 1})
	}
	a, b, c, d, e, f, g := replicas[0], replicas[1], replicas[2], replicas[3], replicas[4], replicas[5], replicas[6]
	three, five := Single(a, b, c), []Replica{a, b, c, d, e}
	initial := Known{Ballot: Ballot{Counter: 1}, Value: Value{Sequence: 1, Members: three}}
	acceptors := map[Replica]*Acceptor{}
	for _, r := range replicas {
		acceptors[r] = &Acceptor{Self: r, State: State{Promised: initial.Ballot, Accepted: initial.Ballot, Value: initial.Value}, Persist: func(State) error { return nil }}
	}
	known := initial
	for step, change := range []Change{Reconfigure(three, five), completePresent, completePresent} {
		round := decide(acceptors, Ballot{Counter: uint64(2 + step)}, known, change)
		known = Known{Ballot: round.Ballot, Value: round.Value}
	}
	round := func(counter uint64, known Known, change Change) *Round {
		return NewRound(Ballot{Counter: counter}, known.Value.Members, known, change)
	}
	// The change to seven members: its first two values reach one replica.
	decideAmong(acceptors, round(10, known, Reconfigure(known.Value.Members, replicas)), five, []Replica{a})
	decideAmong(acceptors, round(11, known, completePresent), []Replica{a, b, c, f, g}, []Replica{a})
	// A proposer that knows the first three members gets its promises; meanwhile five members choose an operation.
	late := round(20, initial, keepChange)
	accepts := prepareAmong(acceptors, late, []Replica{a, b, f, g})
	operation := round(15, known, incrementChange)
	decideAmong(acceptors, operation, []Replica{c, d, e}, []Replica{c, d, e})
	deliverAccepts(acceptors, late, accepts, []Replica{a, b, f, g})
	if operation.Phase != Chosen {
		t.Fatalf("the operation was not chosen: phase %d", operation.Phase)
	}
	if late.Phase == Chosen {
		t.Errorf("two values are chosen: %+v and %+v", operation.Value, late.Value)
	}
}

// changedMembers moves the vote from three acceptors to a set with the fourth. It returns the acceptors and the values of
// the change: the initial one, the one that names both sets, the one that names the new set and the one proposed to that set
// alone.
func changedMembers() (acceptors map[Replica]*Acceptor, values []Known) {
	replicas, old := fourReplicasThreeVoters()
	initial := Known{Ballot: Ballot{Counter: 1}, Value: Value{Sequence: 1, Members: old, Payload: []byte("p")}}
	acceptors = map[Replica]*Acceptor{}
	for _, r := range replicas {
		acceptors[r] = &Acceptor{Self: r, State: State{Promised: initial.Ballot, Accepted: initial.Ballot, Value: initial.Value}, Persist: func(State) error { return nil }}
	}
	values = []Known{initial}
	for step, change := range []Change{Reconfigure(old, []Replica{replicas[0], replicas[1], replicas[3]}), completePresent, completePresent} {
		round := decide(acceptors, Ballot{Counter: uint64(2 + step)}, values[step], change)
		values = append(values, Known{Ballot: round.Ballot, Value: round.Value})
	}
	return acceptors, values
}

// TestConfirmationRaisesTheSequence guards against two forms of a value under one sequence, of which brokers keep the first
// that they learn: a change of the members that is complete by the confirmed form would stay incomplete for its proposer.
func TestConfirmationRaisesTheSequence(t *testing.T) {
	replicas, _ := fourReplicasThreeVoters()
	acceptors, values := changedMembers()
	incomplete := values[2]
	for _, a := range acceptors { // as before the last step of the change
		a.State = State{Promised: incomplete.Ballot, Accepted: incomplete.Ballot, Value: incomplete.Value}
	}
	confirmed := decide(acceptors, Ballot{Counter: 10}, incomplete, keepChange)
	if confirmed.Phase != Chosen || confirmed.Value.Reconfiguring() || confirmed.Value.Sequence != incomplete.Value.Sequence+1 {
		t.Errorf("after a confirmation by the new set alone: phase %d, %+v", confirmed.Phase, confirmed.Value)
	}
	again := decide(acceptors, Ballot{Counter: 11}, Known{Ballot: confirmed.Ballot, Value: confirmed.Value}, keepChange)
	if again.Phase != Chosen || again.Value.Sequence != confirmed.Value.Sequence {
		t.Errorf("after a confirmation by the same set: phase %d, %+v", again.Phase, again.Value)
	}
	if !again.Value.Members.Has(replicas[3]) || string(again.Value.Payload) != "p" {
		t.Errorf("the confirmed value is %+v", again.Value)
	}
}

// TestCompletionOfAValueConfirmedByAnEarlierRelease guards against a change that stays incomplete because a broker of an
// earlier release has confirmed the value to the new set alone under the same sequence.
func TestCompletionOfAValueConfirmedByAnEarlierRelease(t *testing.T) {
	acceptors, values := changedMembers()
	incomplete := values[2]
	confirmed := incomplete.Value
	confirmed.Voted = confirmed.Members.Sets
	for _, a := range acceptors {
		a.State = State{Promised: Ballot{Counter: 9}, Accepted: Ballot{Counter: 9}, Value: confirmed}
	}
	round := decide(acceptors, Ballot{Counter: 10}, incomplete, CompleteReconfiguration(incomplete.Value))
	if round.Phase != Chosen || round.Value.Sequence != incomplete.Value.Sequence+1 || round.Value.Reconfiguring() {
		t.Errorf("phase %d, %+v after %+v", round.Phase, round.Value, incomplete.Value)
	}
	complete := Known{Ballot: round.Ballot, Value: round.Value}
	if again := decide(acceptors, Ballot{Counter: 11}, incomplete, CompleteReconfiguration(incomplete.Value)); again.Value.Sequence != complete.Value.Sequence {
		t.Errorf("a proposer that knows an older value changed the complete one: %+v", again.Value)
	}
}
