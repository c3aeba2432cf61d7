package register

import "testing"

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
