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
