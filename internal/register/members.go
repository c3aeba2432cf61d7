package register

// Reconfiguring reports whether a change of the members is incomplete: the value names two sets, or it was proposed to
// a set that it no longer names. Until the change is complete, each round also needs a majority of the earlier set.
func (v Value) Reconfiguring() bool {
	return v.Members.Moving() || len(v.Quorums()) > len(v.Members.Sets)
}

// CompleteReconfiguration returns a Change that takes an incomplete change of the members one step further: the first
// step names the new set alone, the second is proposed to that set alone. known is the value as its proposer knows it.
// The acceptors may hold that value as complete already, under the same sequence: earlier releases did not raise the
// sequence when they confirmed a value to other quorums. It then gets the next sequence, by which all brokers learn that
// the change is complete.
func CompleteReconfiguration(known Value) Change {
	return func(present Value) (next Value, keep bool, err error) {
		knownIncomplete := known.Reconfiguring() && present.Sequence == known.Sequence
		if !present.Reconfiguring() && !knownIncomplete {
			return present, true, nil
		}
		next = Value{Sequence: present.Sequence + 1, Members: Members{Sets: [][]Replica{present.Members.Last()}}, Payload: present.Payload}
		return next, true, nil
	}
}

// Reconfigure returns a Change that starts moving the members from one set to another. It leaves the value unchanged
// if the members are no longer the given set or another change of the members is in progress.
func Reconfigure(from Members, next []Replica) Change {
	return func(present Value) (Value, bool, error) {
		if present.Reconfiguring() || !from.Equal(present.Members) {
			return present, true, nil
		}
		return Value{Sequence: present.Sequence + 1, Members: present.Members.Joint(next), Payload: present.Payload}, true, nil
	}
}
