package brokerrole

import "testing"

// TestTable checks the invariants of all states: an action on behalf of the whole fleet needs a majority, a broker that
// does not know the voters takes no such action, and a leaving broker starts nothing that outlives it.
func TestTable(t *testing.T) {
	for s := range stateCount {
		for _, a := range []Action{ProposeVoters, ReadNewest, TakeOrder, ConfirmEnd, OrderInstances} {
			if s.Requires(a) == Local {
				t.Errorf("%v takes action %d without a majority", s, a)
			}
			if s == Starting && s.Allows(a) {
				t.Errorf("a starting broker may take action %d", a)
			}
		}
		if s.Allows(ProposeVoters) && s != Voter && s != Leaving {
			t.Errorf("%v may propose voters", s)
		}
		if s.String() == "" {
			t.Errorf("state %d has no name", s)
		}
	}
	if Leaving.Allows(OrderInstances) {
		t.Error("a leaving broker may order instances")
	}
}
