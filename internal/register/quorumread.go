package register

// QuorumRead checks whether a known value is still the newest one that can have been chosen, without a ballot of its
// own: a value that was chosen later has been accepted by a majority, so at least one replica of any majority has it.
type QuorumRead struct {
	value           Value
	ballot          Ballot
	answered        map[Replica]bool
	holdsValue      map[Replica]bool
	sawNewer        bool
	acceptedBallots map[Replica]Ballot
	newest          Known // the received value with the highest ballot
}

// NewQuorumRead starts a check of whether the known value is the newest.
func NewQuorumRead(known Known) *QuorumRead {
	return &QuorumRead{value: known.Value, ballot: known.Ballot, answered: map[Replica]bool{}, holdsValue: map[Replica]bool{},
		acceptedBallots: map[Replica]Ballot{}}
}

// Requests returns the messages to send: Prepares without a ballot, which make no acceptor promise anything.
func (l *QuorumRead) Requests() []Prepare {
	var out []Prepare
	for _, to := range (&Round{sets: l.value.Quorums()}).allReplicas() {
		out = append(out, Prepare{To: to, Known: l.ballot})
	}
	return out
}

// Receive records a replica's answer.
func (l *QuorumRead) Receive(m Promise) {
	if m.Foreign || m.Refused {
		return
	}
	l.answered[m.From] = true
	l.holdsValue[m.From] = m.Accepted == l.ballot
	l.acceptedBallots[m.From] = m.Accepted
	if m.Value != nil && l.newest.Ballot.Less(m.Accepted) {
		l.newest = Known{Ballot: m.Accepted, Value: *m.Value}
	}
	l.sawNewer = l.sawNewer || m.Value != nil && m.Value.Sequence > l.value.Sequence
}

// Done reports whether enough replicas have answered to decide.
func (l *QuorumRead) Done() bool {
	if _, chosen := l.NewestChosen(); chosen {
		return true
	}
	return l.MajorityAnswered()
}

// MajorityAnswered reports whether a majority of each member set of the known value has answered.
func (l *QuorumRead) MajorityAnswered() bool {
	return majorityOfEach(l.value.Members.Sets, func(r Replica) bool { return l.answered[r] })
}

// Chosen reports whether the known value is proven to be chosen: a majority of each set that it was proposed to has
// accepted it under its ballot.
func (l *QuorumRead) Chosen() bool {
	round := Round{sets: l.value.Quorums()}
	return round.majorityOfEach(func(r Replica) bool { return l.holdsValue[r] })
}

// StillNewest reports, once Done, whether the known value is the newest.
func (l *QuorumRead) StillNewest() bool { return !l.sawNewer }

// NewestChosen returns a value newer than the known one, if that value is proven to be chosen and no newer value can
// be: it has the highest ballot seen, and majorities of the sets that it was proposed to have accepted it.
func (l *QuorumRead) NewestChosen() (Known, bool) {
	accepted := func(r Replica) bool { return l.acceptedBallots[r] == l.newest.Ballot }
	chosen := l.newest.Value.Sequence > l.value.Sequence && majorityOfEach(l.newest.Value.Quorums(), accepted)
	for _, ballot := range l.acceptedBallots {
		chosen = chosen && !l.newest.Ballot.Less(ballot)
	}
	return l.newest, chosen
}

// HighestSeen returns the received value with the highest ballot, chosen or not; false if no replica returned a value
// other than the known one.
func (l *QuorumRead) HighestSeen() (Value, bool) {
	return l.newest.Value, l.newest.Ballot != (Ballot{})
}

// AnswerCount returns how many replicas have answered.
func (l *QuorumRead) AnswerCount() int { return len(l.answered) }
