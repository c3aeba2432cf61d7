package register

import "testing"

func three() ([]Replica, Members) {
	replicas := []Replica{{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}}
	return replicas, Single(replicas[:3]...)
}

// TestLookAfterAMove looks at a value of a move: that the new set has accepted it does not make it chosen while it was
// proposed to the old one too.
func TestLookAfterAMove(t *testing.T) {
	replicas, old := three()
	next := Single(replicas[0], replicas[1], replicas[3])
	value := Value{Sequence: 2, Members: next, Voted: [][]Replica{old.Sets[0], next.Sets[0]}}
	ballot := Ballot{Counter: 5, Proposer: 1}
	look := NewLook(Known{Ballot: ballot, Value: value})
	for _, r := range []Replica{replicas[0], replicas[3]} {
		look.Take(Promise{From: r, Accepted: ballot})
	}
	if look.Chosen() {
		t.Error("the new set alone makes it chosen")
	}
	look.Take(Promise{From: replicas[1], Accepted: ballot})
	if !look.Chosen() {
		t.Error("majorities of both sets do not make it chosen")
	}
	if len(look.Inspections()) != 4 {
		t.Errorf("%d replicas are asked", len(look.Inspections()))
	}
}

// TestReconfigure begins a change of the members only from the set that it was planned for, and none while one is open.
func TestReconfigure(t *testing.T) {
	replicas, old := three()
	next := []Replica{replicas[0], replicas[1], replicas[3]}
	present := Value{Sequence: 7, Members: old, Payload: []byte("p")}
	moved, _, _ := Reconfigure(old, next)(present)
	if !moved.Unsettled() || moved.Sequence != 8 || string(moved.Payload) != "p" {
		t.Fatalf("moved: %+v", moved)
	}
	for name, value := range map[string]Value{
		"open":                       moved,
		"proposed to the old one":    {Sequence: 9, Members: old, Voted: [][]Replica{replicas[1:], old.Sets[0]}},
		"another set than was meant": {Sequence: 9, Members: Single(next...)},
	} {
		if again, _, _ := Reconfigure(old, next)(value); again.Sequence != value.Sequence {
			t.Errorf("%s: a change was begun", name)
		}
	}
	one, _, _ := Settle(moved)
	one.Voted = [][]Replica{old.Sets[0], one.Members.Sets[0]}
	if one.Members.Moving() || !one.Unsettled() {
		t.Fatalf("one set: %+v", one)
	}
	done, _, _ := Settle(one)
	done.Voted = done.Members.Sets
	if done.Unsettled() || done.Sequence != 10 {
		t.Fatalf("settled: %+v", done)
	}
	if same, _, _ := Settle(done); same.Sequence != done.Sequence {
		t.Error("what is settled was changed")
	}
}
