// Package lease implements leases that a majority of a fixed set of voters grants. At most one member holds a
// lease at a time, for a term that is measured as elapsed time alone, and every holder gets a fencing token
// (its epoch) that is higher than those of all earlier holders. The package does no I/O and reads no clock:
// messages and the time go in, messages and events come out.
//
// The protocol follows the leases of Gray and Cheriton (1989), with a majority of voters in place of one
// server. A holder counts its term from the moment of its request, a voter from the moment of its grant and
// longer by the possible drift between two clocks. A voter without a disk forgets its grants in a restart. So
// it grants nothing during a grace period of the longest possible term, and reports up to which time it may
// have forgotten a note. A voter with a disk stores each vote before it sends it, and after a restart honours
// every stored vote as if it had just been granted.
//
// A holder can attach a note to its lease, which its renewals carry to the voters: every later holder learns a
// note that a majority has stored. This is a quorum register (Attiya, Bar-Noy, Dolev 1995) that only the holder
// may write.
package lease

import (
	"math"
	"slices"
)

// note is the note of a lease; see Note.
type note struct {
	epoch, nth uint64
	at         float64
	data       []byte
}

// newer reports whether a was written after b.
func (a note) newer(b note) bool { return a.epoch > b.epoch || a.epoch == b.epoch && a.nth > b.nth }

// vote is the last grant of this voter for a lease, and what it knows of the lease's note.
type vote struct {
	epoch     uint64
	holder    string
	boot      uint64
	term      float64 // the granted term
	until     float64
	confirmed bool // granted to a holder's renewal, not to a candidate's attempt
	note      note
	blank     float64 // notes written before this time may have been forgotten here
}

// round is one attempt of this member to acquire or renew a lease: a request to all voters and their replies.
type round struct {
	seq      uint64
	sentAt   float64
	term     float64
	noteNth  uint64 // of the note that the request carried
	grants   map[string]grant
	refusals map[string]float64 // the time until which each refusing voter may grant nothing, by its reply
	finished bool
}

// grant is what a voter that granted a request knows of the lease's note.
type grant struct {
	note  note
	blank float64
}

// lease is this member's state for one lease: its vote, and its part as candidate or holder.
type lease struct {
	Spec
	vote
	fixed          bool
	wanted         bool
	nextRequest    float64
	held           bool
	fence          uint64
	ballot         uint64  // the epoch of the requests: the fencing token, or a higher one where a voter has promised more since
	heldUntil      float64 // end of the term by the holder's count
	round          *round
	newestNote     note    // the newest note that the holder knows of
	blankUntil     float64 // the holder's bound: notes written before this time may be lost
	notePending    bool    // the newest note is not yet confirmed by a majority
	idleSince      float64 // the time since which nobody has held it
	highestRefused uint64  // the highest epoch that a refusal reported
	attempts       int     // attempts in a row without a majority
	barredUntil    float64 // this member sends no requests before this time, because work may go on under a lease that it left to expire
}

// pendingReply is a vote that must be durable before it is sent.
type pendingReply struct {
	number uint64
	to     string
	reply  Message
	note   note
	blank  float64
}

// Machine is one member's state machine: voter for all leases, candidate or holder for some. It is not safe for
// concurrent use.
type Machine struct {
	Counts Counts

	self            string
	boot            uint64 // number of this process
	roster          []string
	rules           Rules
	epochFloor      uint64
	forgottenNoteAt float64 // the latest time at which a note of a forgotten lease may have been written
	durable         bool
	memoryComplete  bool // the stored votes are complete, so no grace period is needed
	diskFailed      bool // the disk failed, so this voter grants nothing
	startedAt       float64
	now             float64
	started         bool
	seq             uint64
	lastRecord      uint64
	storedUpTo      uint64
	pendingReplies  []pendingReply
	leases          map[string]*lease
	names           []string
	outbox          map[string][]Message
	outputs         []Output
	random          func() float64
	resigned        bool
}

// New returns the state machine of a member without a disk. The roster names all voters, this member among
// them, and is the same at all of them. The epoch floor is a fencing token that no earlier holder can have
// exceeded, such as the wall clock in milliseconds: this voter may have forgotten its grants, so it grants only
// higher epochs. The number boot differs for each process of the member. The function random returns numbers
// in [0, 1).
func New(self string, boot uint64, roster []string, rules Rules, epochFloor uint64, random func() float64) *Machine {
	c := &Machine{self: self, boot: boot, roster: slices.Clone(roster), rules: rules, epochFloor: epochFloor,
		forgottenNoteAt: Never, leases: map[string]*lease{}, outbox: map[string][]Message{}, random: random}
	slices.Sort(c.roster)
	c.roster = slices.Compact(c.roster)
	for _, spec := range rules.Fixed {
		c.addLease(spec).fixed = true
	}
	return c
}

// Restore makes the votes durable: each is stored before it is sent, and the machine starts from the given
// records. If complete is true no record is missing, and no grace period is needed. Restore must be called
// before the first Step. A lease may have several records, in the order in which they were stored.
func (c *Machine) Restore(records []Record, complete bool) {
	c.durable, c.memoryComplete = true, complete
	for _, r := range records {
		l := c.leases[r.Lease]
		if r.Lease == "" {
			c.epochFloor, c.forgottenNoteAt = max(c.epochFloor, r.Epoch), max(c.forgottenNoteAt, r.Blank)
			continue
		}
		if l == nil {
			l = c.addLease(Spec{Name: r.Lease, Term: r.Term})
		}
		if !complete {
			r.Epoch = max(r.Epoch, l.epoch)
		}
		l.epoch, l.holder, l.boot, l.term = r.Epoch, r.Holder, r.Boot, r.Term
		l.note = note{r.NoteEpoch, r.NoteNth, r.NoteAt, r.Data}
		l.blank = r.Blank
	}
}

// Records returns all votes and the epoch floor as records, which can replace all records stored so far.
func (c *Machine) Records() []Record {
	all := []Record{{Epoch: c.epochFloor, Blank: c.forgottenNoteAt}}
	for _, name := range c.names {
		if l := c.leases[name]; l.holder != "" {
			all = append(all, l.record())
		}
	}
	return all
}

func (l *lease) record() Record {
	return Record{Lease: l.Name, Holder: l.holder, Epoch: l.epoch, Boot: l.boot, Term: l.term, NoteEpoch: l.note.epoch,
		NoteNth: l.note.nth, NoteAt: l.note.at, Data: l.note.data, Blank: l.blank}
}

func (c *Machine) addLease(spec Spec) *lease {
	l := &lease{Spec: spec, vote: vote{epoch: c.epochFloor, until: Never, blank: Never, note: note{at: Never}}, newestNote: note{at: Never}, blankUntil: Never, idleSince: c.now, barredUntil: Never}
	if !c.memoryComplete && c.started {
		l.blank = c.startedAt
	}
	// A lease of this name with a note may have been forgotten, so its next holder must not conclude that no
	// note was lost.
	l.blank = max(l.blank, c.forgottenNoteAt)
	c.leases[spec.Name] = l
	at, _ := slices.BinarySearch(c.names, spec.Name)
	c.names = slices.Insert(c.names, at, spec.Name)
	return l
}

func (c *Machine) isVoter(name string) bool {
	_, is := slices.BinarySearch(c.roster, name)
	return is
}

func (c *Machine) majority() int { return len(c.roster)/2 + 1 }

// voterTerm returns how long a voter honours its grant: the holder's clock may be slow and the voter's fast.
func (c *Machine) voterTerm(term float64) float64 {
	return term * (1 + c.rules.Drift) / (1 - c.rules.Drift)
}

// graceUntil returns the time until which this voter neither grants nor requests the lease, because a grant of
// an earlier process of this member may still be valid.
func (c *Machine) graceUntil(l *lease) float64 {
	if c.memoryComplete {
		return c.startedAt
	}
	term := l.Term
	if !l.fixed {
		term = c.rules.MaxTerm
	}
	return c.startedAt + c.voterTerm(term)
}

// Due returns the time at which the next Step is needed if no input arrives.
func (c *Machine) Due() float64 {
	if !c.started {
		return math.Inf(-1)
	}
	at := math.Inf(1)
	if c.resigned || !c.isVoter(c.self) {
		return at
	}
	for _, l := range c.leases {
		if l.held {
			at = min(at, l.heldUntil-safetyMarginMs)
		}
		if l.held || l.wanted {
			at = min(at, max(l.nextRequest, c.graceUntil(l), l.barredUntil))
		}
	}
	return at
}

// Step handles the inputs and does what is due. Terms that have run out end before any input is handled, so a
// member that was suspended holds nothing any more.
func (c *Machine) Step(now float64, in []Input) []Output {
	c.outputs = nil
	c.now = max(c.now, now)
	if !c.started {
		c.begin(now)
	}
	for _, name := range c.names {
		if l := c.leases[name]; l.held && c.now >= l.heldUntil-safetyMarginMs {
			c.Counts.Lost++
			c.endHold(l)
		}
	}
	for _, x := range in {
		switch v := x.(type) {
		case Received:
			c.receive(v)
		case Want:
			c.setWanted(v)
		case Write:
			if l := c.leases[v.Lease]; l != nil && l.held && l.fence == v.Fence && len(v.Data) <= MaxNoteBytes {
				// The new note replaces any earlier note that may be lost.
				l.newestNote = note{l.fence, l.newestNote.nth + 1, c.now, slices.Clone(v.Data)}
				l.blankUntil, l.notePending, l.nextRequest = Never, true, c.now
			}
		case Drop:
			if l := c.leases[v.Lease]; l != nil && l.held && l.fence == v.Fence {
				c.endHold(l)
				if !v.LetExpire {
					c.sendRelease(l)
				} else {
					// The voters would grant it to this same process again at once; only this process knows
					// that work may go on under the old fencing token.
					l.barredUntil = l.heldUntil
				}
				l.nextRequest = c.now + retryFraction*l.Term // gives another candidate precedence
			}
		case Resign:
			c.resign()
		case Stored:
			c.handleStored(v.Upto)
		case DiskLost:
			c.diskFailed, c.pendingReplies = true, nil
		}
	}
	if !c.resigned && c.isVoter(c.self) {
		c.sendDueRequests()
	}
	c.forgetIdle()
	for _, to := range c.roster {
		if m := c.outbox[to]; len(m) > 0 {
			c.outputs = append(c.outputs, Send{To: to, Messages: m})
			delete(c.outbox, to)
		}
	}
	return c.outputs
}

func (c *Machine) begin(now float64) {
	c.started, c.startedAt, c.now, c.forgottenNoteAt = true, now, now, min(c.forgottenNoteAt, now)
	for _, l := range c.leases {
		l.idleSince = now
		if !c.memoryComplete {
			l.blank, l.until = now, Never
			l.epoch = max(l.epoch, c.epochFloor)
		} else if l.holder != "" {
			// The vote may have been granted just before the process ended.
			l.until = now + c.voterTerm(l.term)
		}
		l.note.at = min(l.note.at, now)
		l.blank = min(l.blank, now)
	}
}

func (c *Machine) setWanted(v Want) {
	l := c.leases[v.Lease]
	if l == nil {
		if !v.On || len(c.names) >= c.rules.MaxLeases || v.Term <= 0 || v.Term > c.rules.MaxTerm || len(v.Lease) > MaxNameBytes {
			return
		}
		l = c.addLease(Spec{Name: v.Lease, Term: v.Term})
	} else if !l.fixed && v.On && v.Term > 0 && v.Term <= c.rules.MaxTerm && !l.held {
		l.Term = v.Term
	}
	if v.On && !l.wanted && !l.held {
		l.nextRequest = max(l.nextRequest, c.now)
	}
	l.wanted = v.On
	if !v.On && !l.held && l.round != nil {
		// Releases the voters that granted the attempt; later replies to it no longer count.
		l.round = nil
		c.sendRelease(l)
	}
}

// endHold ends this member's hold of the lease.
func (c *Machine) endHold(l *lease) {
	c.outputs = append(c.outputs, Lost{Lease: l.Name, Fence: l.fence})
	l.held, l.notePending, l.round = false, false, nil
}

// sendDueRequests sends the renewals that are due, and requests for wanted leases that nobody holds.
func (c *Machine) sendDueRequests() {
	renewalDue := false
	for _, name := range c.names {
		l := c.leases[name]
		renewalDue = renewalDue || l.held && c.now >= l.nextRequest
	}
	for _, name := range c.names {
		l := c.leases[name]
		// Renewals are batched: one that is due soon is sent along with one that is due now.
		early := 0.0
		if renewalDue && l.held {
			early = earlyRenewFraction * l.Term
		}
		if (l.held || l.wanted) && c.now >= l.nextRequest-early && c.now >= c.graceUntil(l) && c.now >= l.barredUntil {
			c.sendRequest(l)
		}
	}
}

func (c *Machine) sendRequest(l *lease) {
	if !l.held {
		if l.until > c.now && (l.holder != c.self || l.boot != c.boot) {
			// This voter itself would refuse. All voters see a dead holder's term end at about the same time:
			// candidates that sent their requests then would each have their own vote and refuse each other.
			// The random delay prevents that.
			l.nextRequest = l.until + jitterFraction*l.Term*c.random()
			return
		}
		if l.round != nil && !l.round.finished {
			// There was no majority in time, so the voters are released for another candidate for a while. Two
			// candidates that each keep their own vote, with the third voter dead, would refuse each other for
			// ever.
			l.round.finished = true
			c.sendRelease(l)
			l.nextRequest = c.majorityFreeAt(l.round) + c.retryDelay(l)
			return
		}
		// The epoch never follows this member's clock to get above the floor of voters that have restarted: a
		// fast clock would run days ahead of the wall clocks that floors come from, and after a loss of all
		// memory the fencing tokens would decrease.
		l.ballot = c.nextEpoch(max(l.epoch, l.highestRefused))
		l.fence = l.ballot
	}
	c.seq++
	l.round = &round{seq: c.seq, sentAt: c.now, term: l.Term, noteNth: l.newestNote.nth, grants: map[string]grant{}, refusals: map[string]float64{}}
	ask := Message{Kind: Request, Lease: l.Name, Epoch: l.ballot, Boot: c.boot, Seq: c.seq, Term: l.Term, Blank: -1, Sure: l.held}
	if l.held {
		l.nextRequest = c.now + retryFraction*l.Term
		ask.Note, ask.Blank = c.noteToMessage(l.newestNote), c.ageOf(l.blankUntil)
	} else {
		l.nextRequest = c.now + attemptFraction*l.Term*float64(uint(1)<<min(l.attempts, 2)) // a slow disk or network needs longer
		l.attempts++
	}
	for _, name := range c.roster {
		if name != c.self {
			c.outbox[name] = append(c.outbox[name], ask)
		}
	}
	c.receive(Received{From: c.self, Message: ask})
}

func (c *Machine) noteToMessage(n note) *Note {
	if n.nth == 0 {
		return nil
	}
	return &Note{Epoch: n.epoch, Nth: n.nth, Age: max(0, c.now-n.at), Data: n.data}
}

func (c *Machine) noteFromMessage(n *Note) note {
	if n == nil || len(n.Data) > MaxNoteBytes {
		return note{at: Never}
	}
	return note{epoch: n.Epoch, nth: n.Nth, at: c.timeOf(n.Age), data: n.Data}
}

func (c *Machine) ageOf(at float64) float64 {
	if at <= Never/2 {
		return -1
	}
	return max(0, c.now-at)
}

func (c *Machine) timeOf(age float64) float64 {
	if age < 0 || math.IsNaN(age) || age > -Never {
		return Never
	}
	return c.now - age
}

func (c *Machine) receive(r Received) {
	m := r.Message
	if !c.isVoter(r.From) || !c.isVoter(c.self) || c.resigned {
		c.Counts.Unexpected++
		return
	}
	l := c.leases[m.Lease]
	if l == nil {
		if m.Kind != Request || m.Lease == "" || len(m.Lease) > MaxNameBytes || !(m.Term > 0 && m.Term <= c.rules.MaxTerm) {
			if m.Kind != Release {
				c.Counts.Unexpected++
			}
			return
		}
		if len(c.names) >= c.rules.MaxLeases {
			c.Counts.Full++
			c.send(r.From, Message{Kind: Refuse, Lease: m.Lease, Boot: m.Boot, Seq: m.Seq, Blank: -1})
			return
		}
		l = c.addLease(Spec{Name: m.Lease, Term: m.Term})
	}
	switch m.Kind {
	case Request:
		c.handleRequest(l, r.From, m)
	case Grant:
		c.handleGrant(l, r.From, m)
	case Refuse:
		c.handleRefuse(l, r.From, m)
	case Release:
		if l.holder == r.From && l.boot == m.Boot && l.epoch == m.Epoch {
			l.until = c.now
			if l.wanted && !l.held && (l.round == nil || l.round.finished) {
				// A random delay, so that waiting candidates do not split the votes.
				if l.nextRequest = c.now + jitterFraction*l.Term*c.random(); !l.confirmed {
					l.nextRequest = c.now + c.retryDelay(l)
				}
			}
		}
	default:
		c.Counts.Unexpected++
	}
}

func (c *Machine) send(to string, m Message) {
	if to == c.self {
		c.receive(Received{From: c.self, Message: m})
	} else {
		c.outbox[to] = append(c.outbox[to], m)
	}
}
