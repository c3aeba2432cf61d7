// Package lease decides who of a configured set of members may do what nobody may do twice. A lease is granted by a
// majority of that set, holds for a term by elapsed time alone, and carries a fencing number that grows from one
// holder to the next. It has no I/O and no clock: messages and the time go in, messages and orders come out.
//
// The rule is that of Gray and Cheriton's leases (1989) with a majority of voters in the place of one server: a holder
// counts its term from the moment it asked, a voter from the moment it granted, and longer by what two clocks can
// drift apart. A voter without a disk that has just started has forgotten what it granted, so it grants nothing for
// as long as a term can last, and says up to when it may have forgotten a note. One with a disk stores a vote before it
// tells it, and after a restart keeps to every vote as if it had just been given.
//
// A holder leaves notes with its lease, which go along with its renewals: what a majority of voters has taken down is known
// to every later holder. That is a register by quorums (Attiya, Bar-Noy, Dolev 1995) that the holder alone may write.
package lease

import (
	"math"
	"slices"
)

// Kind is a message's.
type Kind uint8

const (
	Ask     Kind = iota + 1 // grant me, or let me go on
	Grant                   // I do
	Refuse                  // I don't: another one's term runs for Wait more, or Epoch is passed
	Release                 // I hold it no longer
)

// Message goes from one member to another. Times in it are ages in ms, since clocks differ; below 0: none.
type Message struct {
	Kind  Kind
	Lease string
	Epoch uint64
	Boot  uint64 // of the asking process
	Seq   uint64 // of the Ask
	Term  float64
	Note  *Note   // the newest that the sender knows of
	Sure  bool    // Ask: the holder's, who has from a majority what Note and Blank say
	Blank float64 // how long ago a note may have been written that the sender does not know of
	Wait  float64
}

// Note is what a holder leaves for those after it. Of two the one of the later epoch is newer, then the one of the higher count.
type Note struct {
	Epoch, Nth uint64
	Age        float64 // ms since it was written
	Data       []byte
}

// Rules are the same at all members.
type Rules struct {
	Drift   float64 // a clock may run faster or slower than true time by this share
	Longest float64 // ms; no lease has a longer term
	Most    int     // leases that a voter keeps; more are refused
	Fixed   []Terms // leases that are known from the start and never forgotten
}

// Terms are of one lease.
type Terms struct {
	Name string
	Term float64 // ms that a grant holds
}

// Received is a message from a member.
type Received struct {
	From    string
	Message Message
}

// Want says that this member asks for a lease, or does so no more. A lease that is held stays held until Drop.
type Want struct {
	Lease string
	Term  float64 // ms; 0: as it is fixed
	On    bool
}

// Write leaves a note with a lease that is held; Noted follows when a majority has it.
type Write struct {
	Lease string
	Fence uint64
	Data  []byte
}

// Drop gives a lease up. Nothing may go on under it, since others may hold it at once; where something may, Silent leaves it to run out.
type Drop struct {
	Lease  string
	Fence  uint64
	Silent bool
}

// Resign ends this member's part. What is held is not given up, since something may go on under it: its term runs out.
type Resign struct{}

// Stored says that all records up to a number last.
type Stored struct{ Upto uint64 }

// DiskLost says that nothing can be stored any more: this voter grants nothing more.
type DiskLost struct{}

// Input is a Received, Want, Write, Drop, Resign, Stored or DiskLost.
type Input any

// Output is a Store, Send, Held, Renewed, Noted or Lost.
type Output any

// Store is a record that has to last before Stored tells its number.
type Store struct {
	Number uint64
	Record Record
}

// Record is a vote as it lasts. Moments are by the clock of the process that wrote it, which is to go on where that
// of the one before stopped, as near as a wall clock can.
type Record struct {
	Lease, Holder string
	Epoch, Boot   uint64
	Term          float64
	NoteEpoch     uint64
	NoteNth       uint64
	NoteAt        float64
	Data          []byte
	Blank         float64
}

// Send is messages for a member.
type Send struct {
	To       string
	Messages []Message
}

// Held says that this member holds a lease. What is done under it may go on until Until by this member's clock and is to be over then,
// unless a Renewed comes with a later moment. Fence goes along to whatever it changes. Note is the newest of earlier holders, if there is
// any, and NoteAt when it was written; of other notes none was lost that was written after Blank.
type Held struct {
	Lease  string
	Fence  uint64
	Until  float64
	Note   []byte
	NoteAt float64
	Blank  float64
}

// Renewed says that a lease is held on.
type Renewed struct {
	Lease string
	Fence uint64
	Until float64
}

// Noted says that a majority has the last note that was written.
type Noted struct {
	Lease string
	Fence uint64
	Until float64
}

// Lost says that a lease is held no longer.
type Lost struct {
	Lease string
	Fence uint64
}

const (
	renewShare = 0.3  // of a term: so often it is renewed
	againShare = 0.2  // of a term: so long a renewal without a majority's answers waits for the next try; a candidate by chance up to that, then more
	tryShare   = 0.1  // of a term: so long a candidate's first try waits for a majority's answers, the next ones twice and four times that
	freeShare  = 0.05 // of a term: within so long, by chance, those who wait ask for a lease that was given up or has run out
	earlyShare = 0.1  // of a term: renewals that are due so soon go along with one that is due
	leewayMs   = 5.0  // before its end a lease counts as over
	keptFor    = 10.0 // terms: so long a lease that nobody holds is remembered, if it is not fixed
	// Never is a moment before all others, in ms.
	Never = -1e15
	// NoteMost is the size of the largest note's data in bytes.
	NoteMost = 512
	// NameMost is the size of the longest lease's name in bytes.
	NameMost = 120
)

// Counts are kept for the operators.
type Counts struct {
	Granted int `json:"granted"`
	Refused int `json:"refused"`
	Held    int `json:"held"`
	Lost    int `json:"lost"`
	Noted   int `json:"noted"`
	Stored  int `json:"stored"`
	Full    int `json:"full"` // asks refused since too many leases are kept
	Odd     int `json:"odd"`
}

// View is what is seen of a lease.
type View struct {
	Lease    string  `json:"lease"`
	Holder   string  `json:"holder"` // as this voter granted it to who holds it; "" when none runs
	Epoch    uint64  `json:"epoch"`
	Until    float64 `json:"until"` // by this member's clock: of the grant, or as the holder counts it
	Held     bool    `json:"held"`  // by this member
	Wanted   bool    `json:"wanted"`
	Note     []byte  `json:"note,omitempty"`
	NoteAt   float64 `json:"note_at"`
	Blank    bool    `json:"blank"` // this voter may have forgotten
	Quiet    float64 `json:"quiet"` // up to when it grants nothing
	Majority int     `json:"majority"`
	Voters   int     `json:"voters"`
}

type note struct {
	epoch, nth uint64
	at         float64
	data       []byte
}

// newer says whether a was written after b.
func (a note) newer(b note) bool { return a.epoch > b.epoch || a.epoch == b.epoch && a.nth > b.nth }

type vote struct {
	epoch  uint64
	holder string
	boot   uint64
	term   float64 // that was granted
	until  float64
	sure   bool // it was a holder's, not a candidate's try
	note   note
	blank  float64 // up to when notes may have been forgotten here
}

type bid struct {
	seq    uint64
	sent   float64
	term   float64
	nth    uint64 // of the note that went along
	grants map[string]grant
	no     map[string]float64 // who refused, and up to when as it said
	over   bool
}

type grant struct {
	note  note
	blank float64
}

type lease struct {
	Terms
	vote
	fixed   bool
	want    bool
	nextAsk float64
	held    bool
	fence   uint64
	ballot  uint64  // the epoch that is asked with: the fence, or above it where a voter has promised more since
	till    float64 // as the holder counts it
	bid     *bid
	mine    note    // the holder's: the newest of all
	bound   float64 // the holder's: up to when notes may be lost
	pending bool    // the newest is not known to be with a majority
	idle    float64 // since when nobody has held it
	passed  uint64  // the highest epoch that a refusal named
	tries   int     // in a row without a majority
	barred  float64 // up to when this member may not ask: what it left to run out may go on
}

// parked is a vote that must last before it is told.
type parked struct {
	number uint64
	to     string
	reply  Message
	note   note
	blank  float64
}

// Core is one member's part: voter in all leases, and candidate or holder in some. Only one goroutine may call it.
type Core struct {
	Counts Counts

	self   string
	boot   uint64
	roster []string
	rules  Rules
	floor  uint64
	lost   float64 // when the newest note may have been written that went with a forgotten lease
	disk   bool
	sound  bool // nothing was forgotten: no quiet time
	failed bool // the disk
	start  float64
	now    float64
	begun  bool
	seq    uint64
	number uint64
	stored uint64
	parked []parked
	leases map[string]*lease
	names  []string
	mail   map[string][]Message
	out    []Output
	chance func() float64
	gone   bool
}

// New makes a member's part, for a voter without a disk. The roster names all voters, this one among them; it is the same at all of
// them. The floor is a fencing number that no earlier holder can have passed, such as the wall clock's milliseconds: this
// voter may have forgotten what it granted, so it grants only above that. Chance gives numbers from 0 to 1.
func New(self string, boot uint64, roster []string, rules Rules, floor uint64, chance func() float64) *Core {
	c := &Core{self: self, boot: boot, roster: slices.Clone(roster), rules: rules, floor: floor,
		lost: Never, leases: map[string]*lease{}, mail: map[string][]Message{}, chance: chance}
	slices.Sort(c.roster)
	c.roster = slices.Compact(c.roster)
	for _, t := range rules.Fixed {
		c.add(t).fixed = true
	}
	return c
}

// Restore has votes stored before they are told, and begins with those that were. Sound says that they are all there are: then there
// is no quiet time. It goes before the first Step. Records of one lease may come in any number, in their order.
func (c *Core) Restore(records []Record, sound bool) {
	c.disk, c.sound = true, sound
	for _, r := range records {
		l := c.leases[r.Lease]
		if r.Lease == "" {
			c.floor, c.lost = max(c.floor, r.Epoch), max(c.lost, r.Blank)
			continue
		}
		if l == nil {
			l = c.add(Terms{Name: r.Lease, Term: r.Term})
		}
		if !sound {
			r.Epoch = max(r.Epoch, l.epoch)
		}
		l.epoch, l.holder, l.boot, l.term = r.Epoch, r.Holder, r.Boot, r.Term
		l.note = note{r.NoteEpoch, r.NoteNth, r.NoteAt, r.Data}
		l.blank = r.Blank
	}
}

// Records are all votes as they would be stored, to take the place of those so far, and the floor.
func (c *Core) Records() []Record {
	all := []Record{{Epoch: c.floor, Blank: c.lost}}
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

func (c *Core) add(t Terms) *lease {
	l := &lease{Terms: t, vote: vote{epoch: c.floor, until: Never, blank: Never, note: note{at: Never}}, mine: note{at: Never}, bound: Never, idle: c.now, barred: Never}
	if !c.sound && c.begun {
		l.blank = c.start
	}
	// Of this name a lease with a note may have been forgotten: to its next holder nobody may say that none was lost.
	l.blank = max(l.blank, c.lost)
	c.leases[t.Name] = l
	at, _ := slices.BinarySearch(c.names, t.Name)
	c.names = slices.Insert(c.names, at, t.Name)
	return l
}

func (c *Core) voter(name string) bool {
	_, is := slices.BinarySearch(c.roster, name)
	return is
}

func (c *Core) majority() int { return len(c.roster)/2 + 1 }

// kept is how long a voter keeps to its grant of a term: the holder's clock may be slow and its own fast.
func (c *Core) kept(term float64) float64 { return term * (1 + c.rules.Drift) / (1 - c.rules.Drift) }

// quiet is up to when this voter grants nothing and asks for nothing: what it, or an earlier process of this member, was told may still run.
func (c *Core) quiet(l *lease) float64 {
	if c.sound {
		return c.start
	}
	term := l.Term
	if !l.fixed {
		term = c.rules.Longest
	}
	return c.start + c.kept(term)
}

// SureAt is when this voter has kept quiet for as long as anything that it may have forgotten could bind it: what it has stored is all that counts
// from then on. Before the first Step it is never.
func (c *Core) SureAt() float64 {
	if !c.begun {
		return math.Inf(1)
	}
	if c.sound {
		return c.start
	}
	term := c.rules.Longest
	for _, t := range c.rules.Fixed {
		term = max(term, t.Term)
	}
	return c.start + c.kept(term)
}

// Views lists what is seen of all leases, by name.
func (c *Core) Views() []View {
	var all []View
	for _, name := range c.names {
		l := c.leases[name]
		v := View{Lease: name, Epoch: l.epoch, Held: l.held, Wanted: l.want, Note: l.note.data, NoteAt: l.note.at, Blank: l.blank > Never,
			Quiet: c.quiet(l), Majority: c.majority(), Voters: len(c.roster)}
		if l.until > c.now && l.sure { // a candidate's try may come to nothing
			v.Holder, v.Until = l.holder, l.until
		}
		if l.held {
			v.Holder, v.Until, v.Epoch, v.Note, v.NoteAt = c.self, l.till, l.fence, l.mine.data, l.mine.at
		}
		all = append(all, v)
	}
	return all
}

// Holder is who holds a lease as far as this voter knows, and until when by its clock; "": nobody.
func (c *Core) Holder(name string) (holder string, until float64) {
	if l := c.leases[name]; l != nil && l.held {
		return c.self, l.till
	} else if l != nil && l.until > c.now {
		return l.holder, l.until
	}
	return "", 0
}

// Note is the newest note of a lease that this voter knows of; nil: none.
func (c *Core) Note(name string) []byte {
	if l := c.leases[name]; l != nil {
		return l.note.data
	}
	return nil
}

// Valid says whether work under a fencing number may go on at a moment by this member's clock.
func (c *Core) Valid(name string, fence uint64, now float64) bool {
	l := c.leases[name]
	return l != nil && l.held && l.fence == fence && now < l.till-leewayMs
}

// Due is when Step is wanted next though nothing comes in.
func (c *Core) Due() float64 {
	if !c.begun {
		return math.Inf(-1)
	}
	at := math.Inf(1)
	if c.gone || !c.voter(c.self) {
		return at
	}
	for _, l := range c.leases {
		if l.held {
			at = min(at, l.till-leewayMs)
		}
		if l.held || l.want {
			at = min(at, max(l.nextAsk, c.quiet(l), l.barred))
		}
	}
	return at
}

// Step takes what came in by now and does what is due. What has run out is over before anything that came in is looked
// at: a member that stood still holds nothing any more, whatever it believed.
func (c *Core) Step(now float64, in []Input) []Output {
	c.out = nil
	c.now = max(c.now, now)
	if !c.begun {
		c.begin(now)
	}
	for _, name := range c.names {
		if l := c.leases[name]; l.held && c.now >= l.till-leewayMs {
			c.Counts.Lost++
			c.lose(l)
		}
	}
	for _, x := range in {
		switch v := x.(type) {
		case Received:
			c.receive(v)
		case Want:
			c.want(v)
		case Write:
			if l := c.leases[v.Lease]; l != nil && l.held && l.fence == v.Fence && len(v.Data) <= NoteMost {
				// What is written now takes the place of whatever earlier note may be lost.
				l.mine = note{l.fence, l.mine.nth + 1, c.now, slices.Clone(v.Data)}
				l.bound, l.pending, l.nextAsk = Never, true, c.now
			}
		case Drop:
			if l := c.leases[v.Lease]; l != nil && l.held && l.fence == v.Fence {
				c.lose(l)
				if !v.Silent {
					c.release(l)
				} else {
					// Voters would let this very process on at once: it alone knows that something may go on under the old number.
					l.barred = l.till
				}
				l.nextAsk = c.now + againShare*l.Term // somebody else's turn first
			}
		case Resign:
			c.resign()
		case Stored:
			c.tell(v.Upto)
		case DiskLost:
			c.failed, c.parked = true, nil
		}
	}
	if !c.gone && c.voter(c.self) {
		c.turns()
	}
	c.forget()
	for _, to := range c.roster {
		if m := c.mail[to]; len(m) > 0 {
			c.out = append(c.out, Send{To: to, Messages: m})
			delete(c.mail, to)
		}
	}
	return c.out
}

func (c *Core) begin(now float64) {
	c.begun, c.start, c.now, c.lost = true, now, now, min(c.lost, now)
	for _, l := range c.leases {
		l.idle = now
		if !c.sound {
			l.blank, l.until = now, Never
			l.epoch = max(l.epoch, c.floor)
		} else if l.holder != "" {
			// It may have been given a moment before the process ended.
			l.until = now + c.kept(l.term)
		}
		l.note.at = min(l.note.at, now)
		l.blank = min(l.blank, now)
	}
}

func (c *Core) want(v Want) {
	l := c.leases[v.Lease]
	if l == nil {
		if !v.On || len(c.names) >= c.rules.Most || v.Term <= 0 || v.Term > c.rules.Longest || len(v.Lease) > NameMost {
			return
		}
		l = c.add(Terms{Name: v.Lease, Term: v.Term})
	} else if !l.fixed && v.On && v.Term > 0 && v.Term <= c.rules.Longest && !l.held {
		l.Term = v.Term
	}
	if v.On && !l.want && !l.held {
		l.nextAsk = max(l.nextAsk, c.now)
	}
	l.want = v.On
	if !v.On && !l.held && l.bid != nil {
		// Whoever granted the try is free again for another candidate; what still comes in for it no longer counts.
		l.bid = nil
		c.release(l)
	}
}

// lose ends holding here.
func (c *Core) lose(l *lease) {
	c.out = append(c.out, Lost{Lease: l.Name, Fence: l.fence})
	l.held, l.pending, l.bid = false, false, nil
}

// turns asks where it is time: to renew, or for a lease that nobody holds.
func (c *Core) turns() {
	any := false
	for _, name := range c.names {
		l := c.leases[name]
		any = any || l.held && c.now >= l.nextAsk
	}
	for _, name := range c.names {
		l := c.leases[name]
		// Renewals travel together: one that is due soon goes along with one that is due.
		early := 0.0
		if any && l.held {
			early = earlyShare * l.Term
		}
		if (l.held || l.want) && c.now >= l.nextAsk-early && c.now >= c.quiet(l) && c.now >= l.barred {
			c.turn(l)
		}
	}
}

func (c *Core) turn(l *lease) {
	if !l.held {
		if l.until > c.now && (l.holder != c.self || l.boot != c.boot) {
			// This voter itself would refuse. All voters see a dead holder's term run out within moments of each other: candidates who asked at
			// once would each have their own vote and refuse each other.
			l.nextAsk = l.until + freeShare*l.Term*c.chance()
			return
		}
		if l.bid != nil && !l.bid.over {
			// No majority in time: what it has of the votes is free for another one's try for a while. Two who each keep their own, with a third
			// voter dead, would refuse each other for ever.
			l.bid.over = true
			c.release(l)
			l.nextAsk = c.free(l.bid) + c.pause(l)
			return
		}
		// Never by this member's clock, to be above the floor of whoever has started by now: a fast one would run days ahead of the wall clocks that
		// floors come from, and after the loss of all memory numbers would go back.
		l.ballot = c.above(max(l.epoch, l.passed))
		l.fence = l.ballot
	}
	c.seq++
	l.bid = &bid{seq: c.seq, sent: c.now, term: l.Term, nth: l.mine.nth, grants: map[string]grant{}, no: map[string]float64{}}
	ask := Message{Kind: Ask, Lease: l.Name, Epoch: l.ballot, Boot: c.boot, Seq: c.seq, Term: l.Term, Blank: -1, Sure: l.held}
	if l.held {
		l.nextAsk = c.now + againShare*l.Term
		ask.Note, ask.Blank = c.told(l.mine), c.age(l.bound)
	} else {
		l.nextAsk = c.now + tryShare*l.Term*float64(uint(1)<<min(l.tries, 2)) // a slow disk or way needs longer
		l.tries++
	}
	for _, name := range c.roster {
		if name != c.self {
			c.mail[name] = append(c.mail[name], ask)
		}
	}
	c.receive(Received{From: c.self, Message: ask})
}

func (c *Core) told(n note) *Note {
	if n.nth == 0 {
		return nil
	}
	return &Note{Epoch: n.epoch, Nth: n.nth, Age: max(0, c.now-n.at), Data: n.data}
}

func (c *Core) heard(n *Note) note {
	if n == nil || len(n.Data) > NoteMost {
		return note{at: Never}
	}
	return note{epoch: n.Epoch, nth: n.Nth, at: c.moment(n.Age), data: n.Data}
}

func (c *Core) age(at float64) float64 {
	if at <= Never/2 {
		return -1
	}
	return max(0, c.now-at)
}

func (c *Core) moment(age float64) float64 {
	if age < 0 || math.IsNaN(age) || age > -Never {
		return Never
	}
	return c.now - age
}

func (c *Core) receive(r Received) {
	m := r.Message
	if !c.voter(r.From) || !c.voter(c.self) || c.gone {
		c.Counts.Odd++
		return
	}
	l := c.leases[m.Lease]
	if l == nil {
		if m.Kind != Ask || m.Lease == "" || len(m.Lease) > NameMost || !(m.Term > 0 && m.Term <= c.rules.Longest) {
			if m.Kind != Release {
				c.Counts.Odd++
			}
			return
		}
		if len(c.names) >= c.rules.Most {
			c.Counts.Full++
			c.send(r.From, Message{Kind: Refuse, Lease: m.Lease, Boot: m.Boot, Seq: m.Seq, Blank: -1})
			return
		}
		l = c.add(Terms{Name: m.Lease, Term: m.Term})
	}
	switch m.Kind {
	case Ask:
		c.vote(l, r.From, m)
	case Grant:
		c.granted(l, r.From, m)
	case Refuse:
		c.refused(l, r.From, m)
	case Release:
		if l.holder == r.From && l.boot == m.Boot && l.epoch == m.Epoch {
			l.until = c.now
			if l.want && !l.held && (l.bid == nil || l.bid.over) {
				// Not all who wait at one moment: they would split the votes.
				if l.nextAsk = c.now + freeShare*l.Term*c.chance(); !l.sure {
					l.nextAsk = c.now + c.pause(l)
				}
			}
		}
	default:
		c.Counts.Odd++
	}
}

func (c *Core) send(to string, m Message) {
	if to == c.self {
		c.receive(Received{From: c.self, Message: m})
	} else {
		c.mail[to] = append(c.mail[to], m)
	}
}

// vote is this voter's word on an Ask.
func (c *Core) vote(l *lease, from string, m Message) {
	most := c.rules.Longest
	if l.fixed {
		most = l.Term
	}
	reply := Message{Kind: Refuse, Lease: l.Name, Epoch: l.epoch, Boot: m.Boot, Seq: m.Seq, Blank: -1}
	same := l.holder == from && l.boot == m.Boot
	quiet := c.quiet(l)
	if b := l.bid; l.holder == c.self && l.boot == c.boot && !l.held && b != nil && !b.over && from != c.self && m.Epoch > l.epoch {
		// Of two tries that cross the higher one wins at once. Left to waits by chance, candidates who each kept their own vote for longer than
		// they paused refused each other for up to eight terms.
		b.over = true
		c.release(l)
	}
	switch {
	case c.failed:
	case c.now < quiet:
		// Its floor counts only from its first grant on: a term lies between two floors of one voter, and so far wall clocks may be apart.
		reply.Wait, reply.Epoch = quiet-c.now, 0
	case l.until > c.now && !same:
		if reply.Wait = l.until - c.now; !l.sure {
			// A try is over soon, one way or the other. Two candidates who waited for each other's to run out lost a term with each crossing.
			reply.Wait = min(reply.Wait, tryShare*l.term)
		}
	case m.Epoch < l.epoch || m.Epoch == l.epoch && !same || !(m.Term > 0 && m.Term <= most):
	default:
		news := m.Epoch != l.epoch || !same
		if n := c.heard(m.Note); n.newer(l.note) {
			l.note, news = n, true
		}
		if m.Sure {
			// The holder has it from a majority: with that, nothing that matters is forgotten here.
			if blank := c.moment(m.Blank); blank != l.blank {
				news = news || blank < l.blank-leewayMs
				l.blank = blank
			}
		}
		l.epoch, l.holder, l.boot, l.term = m.Epoch, from, m.Boot, m.Term
		l.until, l.sure = c.now+c.kept(m.Term), m.Sure
		l.idle = l.until
		if m.Sure {
			l.tries = 0 // somebody holds it: what is tried after that is the first time again
		}
		c.Counts.Granted++
		reply.Kind, reply.Epoch = Grant, l.epoch
		c.grant(l, from, reply, news)
		return
	}
	c.Counts.Refused++
	c.send(from, reply)
}

// grant tells a vote, once it lasts where votes are stored. One that only runs on is as it is stored: after a restart every vote is kept
// to as if it had just been given.
func (c *Core) grant(l *lease, to string, reply Message, news bool) {
	p := parked{to: to, reply: reply, note: l.note, blank: l.blank}
	if c.disk && news {
		c.number++
		c.Counts.Stored++
		c.out = append(c.out, Store{Number: c.number, Record: l.record()})
	}
	if p.number = c.number; c.disk && c.number > c.stored {
		c.parked = append(c.parked, p)
		return
	}
	c.utter(p)
}

// release1 tells one vote; its ages are as of now.
func (c *Core) utter(p parked) {
	p.reply.Note, p.reply.Blank = c.told(p.note), c.age(p.blank)
	c.send(p.to, p.reply)
}

// tell tells the votes that last by now.
func (c *Core) tell(upto uint64) {
	c.stored = max(c.stored, upto)
	waiting := c.parked
	c.parked = nil
	for i, p := range waiting {
		if p.number > c.stored {
			c.parked = append(c.parked, waiting[i:]...)
			return
		}
		c.utter(p)
	}
}

// granted counts a voter's grant; with a majority of them the lease is held, or held on.
func (c *Core) granted(l *lease, from string, m Message) {
	b := l.bid
	if b == nil || b.seq != m.Seq || m.Boot != c.boot || m.Epoch != l.ballot {
		return
	}
	b.grants[from] = grant{note: c.heard(m.Note), blank: c.moment(m.Blank)}
	if b.over || len(b.grants) < c.majority() || c.now >= b.sent+b.term-leewayMs {
		return
	}
	b.over = true
	l.till = b.sent + b.term
	if !l.held {
		l.held, l.pending, l.tries = true, false, 0
		c.Counts.Held++
		c.known(l, b)
		l.nextAsk = c.now // at once again: the voters learn what the majority knew
		c.out = append(c.out, Held{Lease: l.Name, Fence: l.fence, Until: l.till - leewayMs, Note: l.mine.data, NoteAt: l.mine.at, Blank: l.bound})
		return
	}
	l.nextAsk = b.sent + renewShare*l.Term
	if !l.pending {
		c.out = append(c.out, Renewed{Lease: l.Name, Fence: l.fence, Until: l.till - leewayMs})
	} else if b.nth == l.mine.nth {
		l.pending = false
		c.Counts.Noted++
		c.out = append(c.out, Noted{Lease: l.Name, Fence: l.fence, Until: l.till - leewayMs})
	} else {
		l.nextAsk = c.now
		c.out = append(c.out, Renewed{Lease: l.Name, Fence: l.fence, Until: l.till - leewayMs})
	}
}

// known takes the newest note that a majority knows of. A voter that has forgotten may have known of one up to its start; as many voters as
// make a majority must be clear of it.
func (c *Core) known(l *lease, b *bid) {
	l.mine, l.bound = note{at: Never}, Never
	var bounds []float64
	for _, name := range c.roster {
		g, granted := b.grants[name]
		if !granted {
			continue
		}
		if g.note.newer(l.mine) {
			l.mine = g.note
		} else if g.note.nth > 0 && g.note.epoch == l.mine.epoch && g.note.nth == l.mine.nth {
			l.mine.at = max(l.mine.at, g.note.at)
		}
		bounds = append(bounds, g.blank)
	}
	slices.Sort(bounds)
	l.bound = bounds[c.majority()-1]
}

func (c *Core) refused(l *lease, from string, m Message) {
	b := l.bid
	if b == nil || b.seq != m.Seq || m.Boot != c.boot {
		return
	}
	if l.held {
		// A voter that has started since promises only above what it may have forgotten: it is asked with more, and counts again.
		if m.Epoch >= l.ballot && m.Wait <= 0 {
			l.ballot, l.nextAsk = c.above(m.Epoch), c.now
		}
		return
	}
	if b.over {
		return
	}
	l.passed = max(l.passed, m.Epoch) // the next try is above whatever was promised
	b.no[from] = c.now
	if m.Wait > 0 && m.Wait < 10*c.kept(c.rules.Longest) {
		b.no[from] += m.Wait
	}
	// With so many against it, it can't be held: whoever granted it is free again for another candidate.
	if len(b.no) > len(c.roster)-c.majority() {
		b.over = true
		c.release(l)
		l.nextAsk = c.free(b) + c.pause(l)
	}
}

// pause is how long a candidate whose try came to nothing waits for the next one: by chance, up to twice as long from try to try. Where a try takes
// longer than candidates wait, by a slow disk or way, five of them would cut each other short for ever.
func (c *Core) pause(l *lease) float64 {
	return againShare * l.Term * c.chance() * float64(uint(1)<<min(max(l.tries-1, 0), 3))
}

// above is this member's next epoch: no two members ask with the same one, so that of two tries that cross one is always the higher.
func (c *Core) above(epoch uint64) uint64 {
	n := uint64(len(c.roster))
	mine, _ := slices.BinarySearch(c.roster, c.self)
	return epoch + 1 + (uint64(mine)+n-(epoch+1)%n)%n
}

// free is when as many voters as make a majority may be free by what they answered; now where too few have answered.
func (c *Core) free(b *bid) float64 {
	var at []float64
	for _, name := range c.roster {
		if until, refused := b.no[name]; refused {
			at = append(at, until)
		} else if _, granted := b.grants[name]; granted {
			at = append(at, c.now)
		}
	}
	if len(at) < c.majority() {
		return c.now
	}
	slices.Sort(at)
	return max(c.now, at[c.majority()-1])
}

func (c *Core) resign() {
	if c.gone {
		return
	}
	for _, name := range c.names {
		if l := c.leases[name]; l.held {
			c.lose(l)
		}
	}
	c.gone = true
}

// release frees the voters of what this member is not holding, or not any more.
func (c *Core) release(l *lease) {
	if l.holder == c.self && l.boot == c.boot {
		l.until = c.now
	}
	for _, to := range c.roster {
		if to != c.self {
			c.mail[to] = append(c.mail[to], Message{Kind: Release, Lease: l.Name, Epoch: l.ballot, Boot: c.boot, Blank: -1})
		}
	}
}

// forget lets go of leases that are not fixed and that nobody has held for long. Their epochs stay as a floor for all that come, and up to when
// notes went with them.
func (c *Core) forget() {
	if len(c.names) == len(c.rules.Fixed) {
		return
	}
	c.names = slices.DeleteFunc(c.names, func(name string) bool {
		l := c.leases[name]
		if l.fixed || l.held || l.want || l.until > c.now || c.now < l.idle+keptFor*l.Term || c.now < c.quiet(l) {
			return false
		}
		c.floor, c.lost = max(c.floor, l.epoch), max(c.lost, l.blank)
		if l.note.nth > 0 {
			c.lost = max(c.lost, l.note.at)
		}
		delete(c.leases, name)
		return true
	})
}
