package register

// Unsettled says whether a change of the members is not complete: two sets are named, or the value in force was proposed
// to a set that it no longer names. Until it is complete, an attempt needs majorities of the earlier set too.
func (v Value) Unsettled() bool { return v.Members.Moving() || len(v.Quorums()) > len(v.Members.Sets) }

// Settle makes the next value of a change of the members that is not complete: first one that names the new set alone,
// then one that is proposed to this set alone.
func Settle(present Value) (next Value, keep bool, err error) {
	if !present.Unsettled() {
		return present, true, nil
	}
	next = Value{Sequence: present.Sequence + 1, Members: Members{Sets: [][]Replica{present.Members.Last()}}, Payload: present.Payload}
	return next, true, nil
}

// Reconfigure makes a change that has the members move from one set to another. Where they are no longer that set, or a
// change is under way, it leaves the value as it is.
func Reconfigure(from Members, next []Replica) Change {
	return func(present Value) (Value, bool, error) {
		if present.Unsettled() || !from.Equal(present.Members) {
			return present, true, nil
		}
		return Value{Sequence: present.Sequence + 1, Members: present.Members.Joint(next), Payload: present.Payload}, true, nil
	}
}
