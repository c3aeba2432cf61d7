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
	one, _, _ := CompleteReconfiguration(moved)
	one.Voted = [][]Replica{old.Sets[0], one.Members.Sets[0]}
	if one.Members.Moving() || !one.Reconfiguring() {
		t.Fatalf("after the first step: %+v", one)
	}
	done, _, _ := CompleteReconfiguration(one)
	done.Voted = done.Members.Sets
	if done.Reconfiguring() || done.Sequence != 10 {
		t.Fatalf("after the second step: %+v", done)
	}
	if same, _, _ := CompleteReconfiguration(done); same.Sequence != done.Sequence {
		t.Error("a completed change was changed again")
	}
}
