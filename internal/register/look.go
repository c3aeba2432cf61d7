package register

// Look finds out whether a value is still the newest one that can have been chosen, without an attempt: a value that
// was chosen later has been accepted by a majority, so one of any majority holds it.
type Look struct {
	value    Value
	ballot   Ballot
	answered map[Replica]bool
	same     map[Replica]bool
	newer    bool
	accepted map[Replica]Ballot
	newest   Known // under the highest ballot, of the values that came
}

// NewLook begins a look at whether value is the newest.
func NewLook(known Known) *Look {
	return &Look{value: known.Value, ballot: known.Ballot, answered: map[Replica]bool{}, same: map[Replica]bool{},
		accepted: map[Replica]Ballot{}}
}

// Inspections returns what is to be asked: Prepares with no ballot, which bind nobody.
func (l *Look) Inspections() []Prepare {
	var out []Prepare
	for _, to := range (&Round{sets: l.value.Quorums()}).replicas() {
		out = append(out, Prepare{To: to, Known: l.ballot})
	}
	return out
}

// Take takes an answer.
func (l *Look) Take(m Promise) {
	if m.Foreign || m.Refused {
		return
	}
	l.answered[m.From] = true
	l.same[m.From] = m.Accepted == l.ballot
	l.accepted[m.From] = m.Accepted
	if m.Value != nil && l.newest.Ballot.Less(m.Accepted) {
		l.newest = Known{Ballot: m.Accepted, Value: *m.Value}
	}
	l.newer = l.newer || m.Value != nil && m.Value.Sequence > l.value.Sequence
}

// Done says whether enough replicas have answered.
func (l *Look) Done() bool {
	if _, chosen := l.Newest(); chosen {
		return true
	}
	return l.Answers()
}

// Answers says whether majorities of the sets that the value names have answered.
func (l *Look) Answers() bool {
	return majorities(l.value.Members.Sets, func(r Replica) bool { return l.answered[r] })
}

// Chosen says whether the value is known to be chosen: a majority of each set that it was proposed to has accepted it
// under its ballot.
func (l *Look) Chosen() bool {
	round := Round{sets: l.value.Quorums()}
	return round.majorities(func(r Replica) bool { return l.same[r] })
}

// Current says, once Done, whether the value is the newest.
func (l *Look) Current() bool { return !l.newer }

// Newest returns a value that is newer than the known one, if that is known to be chosen and nothing newer can have been: it has
// the highest ballot that was met, and majorities of the sets that it was proposed to have accepted it.
func (l *Look) Newest() (Known, bool) {
	accepted := func(r Replica) bool { return l.accepted[r] == l.newest.Ballot }
	chosen := l.newest.Value.Sequence > l.value.Sequence && majorities(l.newest.Value.Quorums(), accepted)
	for _, ballot := range l.accepted {
		chosen = chosen && !l.newest.Ballot.Less(ballot)
	}
	return l.newest, chosen
}

// Met is the value under the highest ballot that was met, chosen or not; false: none but the known one was.
func (l *Look) Met() (Value, bool) { return l.newest.Value, l.newest.Ballot != (Ballot{}) }

// Answered is how many replicas have answered.
func (l *Look) Answered() int { return len(l.answered) }
