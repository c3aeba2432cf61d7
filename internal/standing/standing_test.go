package standing

import "testing"

// TestTable checks what must hold of every state: nothing that claims to be the fleet's word is said alone, a broker that
// does not know who votes says nothing, and one that leaves begins nothing that outlasts it.
func TestTable(t *testing.T) {
	for s := range states {
		for _, a := range []Act{ProposeVoters, ReadNewest, TakeOrder, ConfirmEnd, OrderInstances} {
			if s.Needs(a) == Alone {
				t.Errorf("%v does act %d alone", s, a)
			}
			if s == Starting && s.May(a) {
				t.Errorf("a starting broker may do act %d", a)
			}
		}
		if s.May(ProposeVoters) && s != Voter && s != Leaving {
			t.Errorf("%v proposes voters", s)
		}
		if s.String() == "" {
			t.Errorf("state %d has no name", s)
		}
	}
	if Leaving.May(OrderInstances) {
		t.Error("a leaving broker gives orders")
	}
}
