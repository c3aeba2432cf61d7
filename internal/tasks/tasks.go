// Package tasks decides which member begins an occurrence of a fleet-wide task, and when: rather never than twice. Each slot of
// a task is a lease; whoever holds it notes an occurrence at a majority of the voters before it begins, and every later holder
// knows of it. It has no I/O and no clock: what the leases say and the time go in, orders for the leases and for the work come out.
//
// The plan is that of Google's published distributed cron (Davidovic and Guliani, "Reliable Cron across the Planet", 2015), with a lease
// and its note in the place of a Paxos group: a launch is written down before it is made, and a launch whose outcome is unknown counts
// as made.
package tasks

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gullstair/internal/lease"
)

// Schedule names the first occurrence after a moment; robfig/cron/v3's schedules are such.
type Schedule interface {
	Next(time.Time) time.Time
}

// Task is one that the fleet has. Times are ms.
type Task struct {
	Name    string
	Every   float64  // between two begins; 0: At says when
	At      Schedule // by the wall clock
	Term    float64  // of its leases
	Holders int      // slots: so many members may run it at once, each with occurrences of its own
	Once    bool     // occurrences that nobody could begin are made up for by one; else they are left out
	Timeout float64  // that an occurrence may take; 0: as long as its lease is held
	Prefer  []string // members that should run it if they live, the first one first
}

// Log is what a slot's lease has as its note.
type Log struct {
	Occurrence float64 `json:"occurrence"` // wall clock in ms for which the newest occurrence of a Schedule was due
	BegunAgo   float64 `json:"begun_ago"`  // ms before this note was written that the newest occurrence began
	Begun      float64 `json:"begun"`      // when, by the runner's wall clock; 0: none has
	Fence      uint64  `json:"fence"`
	By         string  `json:"by"`
	Ended      bool    `json:"ended"`
	Took       float64 `json:"took"`
	Code       int     `json:"code"` // its exit code
	Why        string  `json:"why"`  // it ended otherwise than by itself
	Paused     bool    `json:"paused"`
	Order      uint64  `json:"order"` // the newest order that was carried out
}

// Input is a Crew, Ended, Order, Leave, or what the leases say: lease.Held, lease.Renewed, lease.Noted and lease.Lost.
type Input any

// Crew names the members of the roster that live, ranked is their order for each lease; Majority says that they are one.
type Crew struct {
	Rank     func(lease string) []string
	Majority bool
}

// Ended says that what was begun under a fencing number is over, and nothing of it goes on.
type Ended struct {
	Lease string
	Fence uint64
	Code  int
	Why   string
}

// Do is what an Order wants.
type Do string

const (
	Pause   Do = "pause"
	Resume  Do = "resume"
	Trigger Do = "trigger"
	Release Do = "release" // hand the lease on
)

// Order is an operator's, for the holder of a lease. The same ID may come again.
type Order struct {
	ID    uint64
	Lease string
	Do    Do
}

// Leave ends this member's part: what runs is ended, and its leases are given up then.
type Leave struct{}

// Output is a Begin, Extend, Cancel or Answer, or an order for the leases: lease.Want, lease.Write and lease.Drop.
type Output any

// Begin says that an occurrence is to begin. It has to be over at Until by this member's clock, unless an Extend comes.
type Begin struct {
	Lease   string
	Task    string
	Slot    int
	Fence   uint64
	Until   float64
	Timeout float64
	Due     float64 // wall clock in ms for which it was due
}

// Extend says that it may go on for longer.
type Extend struct {
	Lease string
	Fence uint64
	Until float64
}

// Cancel says that it has to end now.
type Cancel struct {
	Lease string
	Fence uint64
	Why   string
}

// Answer is to an Order.
type Answer struct {
	ID   uint64
	Done bool
	Why  string
}

// View is what is seen of a slot by whoever holds it or has its note.
type View struct {
	Task  string  `json:"task"`
	Slot  int     `json:"slot"`
	Lease string  `json:"lease"`
	Next  float64 `json:"next"` // wall clock in ms, as the holder reckons; 0: not the holder
	Log   Log     `json:"log"`
}

const (
	lateTerms   = 3.0 // so many terms after its time an occurrence still counts as on time: a takeover takes less
	awayTerms   = 3.0 // after a Release order this member asks no more for so many
	recheckMost = 10000.0
	ordersKept  = 64
)

type state uint8

const (
	idle    state = iota
	noting        // the occurrence's begin is being noted
	running       // it runs
	closing       // it is to end
)

type slot struct {
	*Task
	lease  string
	nth    int
	held   bool
	fence  uint64
	until  float64
	log    Log
	begun  float64 // by this member's clock: when the newest occurrence began, or the schedule's starting point
	state  state
	began  float64 // what runs
	due    float64
	away   float64 // up to when this member asks for it no more
	wanted bool
	dirty  bool     // the log is not known to be with a majority
	leave  bool     // it is handed on once nothing runs and that is noted
	answer []uint64 // orders that wait for the note
	recent [][2]any // results of orders
}

// Core is one member's. Only one goroutine may call it.
type Core struct {
	self  string
	slots []*slot
	by    map[string]*slot
	crew  Crew
	now   float64
	wall  float64
	gone  bool
	out   []Output
}

// Slot is the name of a task's lease.
func Slot(task string, nth int) string { return fmt.Sprintf("task/%s/%d", task, nth) }

// New makes a member's part in tasks, the same at all members.
func New(self string, all []Task) *Core {
	c := &Core{self: self, by: map[string]*slot{}, crew: Crew{Rank: func(string) []string { return nil }}}
	for i := range all {
		t := all[i]
		for n := range max(1, t.Holders) {
			s := &slot{Task: &t, lease: Slot(t.Name, n), nth: n, begun: lease.Never, away: lease.Never}
			c.slots, c.by[s.lease] = append(c.slots, s), s
		}
	}
	return c
}

// Leases are those that the tasks stand on.
func (c *Core) Leases() (all []lease.Terms) {
	for _, s := range c.slots {
		all = append(all, lease.Terms{Name: s.lease, Term: s.Term})
	}
	return all
}

// Read is a note's Log.
func Read(note []byte) (l Log, err error) {
	if len(note) == 0 {
		return l, nil
	}
	return l, msgpack.Unmarshal(note, &l)
}

// Views lists the slots; notes are as this member's voter has them.
func (c *Core) Views(note func(lease string) []byte) (all []View) {
	for _, s := range c.slots {
		v := View{Task: s.Name, Slot: s.nth, Lease: s.lease}
		if s.held {
			v.Log, v.Next = s.log, c.wall+c.next(s)-c.now
			if s.log.Paused {
				v.Next = 0
			}
		} else if l, err := Read(note(s.lease)); err == nil {
			v.Log = l
		}
		all = append(all, v)
	}
	return all
}

// Busy says whether a lease of a task is held here.
func (c *Core) Busy() bool {
	return slices.ContainsFunc(c.slots, func(s *slot) bool { return s.held })
}

// Due is when Step is wanted next though nothing comes in.
func (c *Core) Due() float64 {
	at := math.Inf(1)
	for _, s := range c.slots {
		if s.held && s.state == idle && !s.log.Paused && !c.gone {
			// A wall clock may be set: it is looked at again before long.
			at = min(at, max(c.next(s), c.now+1), c.now+recheckMost)
		}
		if s.away > c.now {
			at = min(at, s.away)
		}
	}
	return at
}

// Step takes what came in by now, by this member's clock and by its wall clock in ms, and does what is due.
func (c *Core) Step(now, wall float64, in []Input) []Output {
	c.out, c.now, c.wall = nil, max(c.now, now), wall
	for _, x := range in {
		switch v := x.(type) {
		case Crew:
			c.crew = v
		case lease.Held:
			c.hold(v)
		case lease.Renewed:
			c.extend(v.Lease, v.Fence, v.Until)
		case lease.Noted:
			c.extend(v.Lease, v.Fence, v.Until)
			c.noted(v)
		case lease.Lost:
			if s := c.by[v.Lease]; s != nil && s.held && s.fence == v.Fence {
				c.lost(s)
			}
		case Ended:
			c.ended(v)
		case Order:
			c.order(v)
		case Leave:
			c.gone = true
			for _, s := range c.slots {
				c.handOn(s, "this broker ends")
			}
		}
	}
	for _, s := range c.slots {
		c.turn(s)
	}
	return c.out
}

func (c *Core) hold(v lease.Held) {
	s := c.by[v.Lease]
	if s == nil {
		return
	}
	s.held, s.fence, s.until, s.state, s.leave, s.dirty = true, v.Fence, v.Until, idle, false, false
	log, err := Read(v.Note)
	if err != nil {
		log = Log{}
	}
	s.log, s.begun = log, lease.Never
	if len(v.Note) > 0 && err == nil {
		s.begun = v.NoteAt - log.BegunAgo
	}
	if v.Blank > lease.Never {
		// Something that nobody remembers may have begun up to then, and counts as begun.
		s.begun = max(s.begun, v.Blank)
		s.log.Occurrence = max(s.log.Occurrence, c.wall-(c.now-v.Blank))
	}
	if len(v.Note) == 0 || err != nil {
		// The schedule's starting point is noted: what falls due from here on is known to be missed if nobody begins it.
		s.begun = max(s.begun, c.now)
		s.log.Occurrence = max(s.log.Occurrence, c.wall)
		c.write(s)
	}
}

func (c *Core) extend(name string, fence uint64, until float64) {
	if s := c.by[name]; s != nil && s.held && s.fence == fence {
		s.until = until
		if s.state == running {
			c.out = append(c.out, Extend{name, fence, until})
		}
	}
}

func (c *Core) lost(s *slot) {
	if s.state == running {
		c.out = append(c.out, Cancel{s.lease, s.fence, "its lease was lost"})
	}
	s.held, s.state = false, idle
	for _, id := range s.answer {
		c.reply(s, id, false, "the lease was lost before the order was noted")
	}
	s.answer = nil
}

// write notes a slot's log.
func (c *Core) write(s *slot) {
	s.log.BegunAgo, s.dirty = max(0, c.now-s.begun), true
	data, err := msgpack.Marshal(&s.log)
	if err == nil {
		c.out = append(c.out, lease.Write{Lease: s.lease, Fence: s.fence, Data: data})
	}
}

// noted is what waited for a majority: the occurrence begins, orders are answered.
func (c *Core) noted(v lease.Noted) {
	s := c.by[v.Lease]
	if s == nil || !s.held || s.fence != v.Fence {
		return
	}
	for _, id := range s.answer {
		c.reply(s, id, true, "")
	}
	s.answer, s.dirty = nil, false
	if s.state == noting && s.leave {
		s.state = idle // it counts as begun; whoever is next goes on from there
	} else if s.state == noting && c.now < s.until {
		s.state, s.began, s.begun = running, c.now, c.now
		c.out = append(c.out, Begin{Lease: s.lease, Task: s.Name, Slot: s.nth, Fence: s.fence, Until: s.until, Timeout: s.Timeout, Due: s.due})
	}
}

func (c *Core) ended(v Ended) {
	s := c.by[v.Lease]
	if s == nil || s.state != running && s.state != closing || s.fence != v.Fence {
		return
	}
	s.state = idle
	if !s.held {
		return
	}
	s.log.Ended, s.log.Took, s.log.Code, s.log.Why = true, c.now-s.began, v.Code, clip(v.Why)
	c.write(s)
}

func clip(why string) string {
	if len(why) > 100 {
		why = strings.ToValidUTF8(why[:100], "")
	}
	return why
}

func (c *Core) order(o Order) {
	s := c.by[o.Lease]
	if s == nil || !s.held {
		c.out = append(c.out, Answer{o.ID, false, "this broker does not hold that lease"})
		return
	}
	if i := slices.IndexFunc(s.recent, func(r [2]any) bool { return r[0] == o.ID }); i >= 0 {
		c.out = append(c.out, s.recent[i][1].(Answer))
		return
	}
	if slices.Contains(s.answer, o.ID) {
		return // it is being noted
	}
	switch {
	case s.log.Order == o.ID:
		c.reply(s, o.ID, true, "")
		return
	case o.Do == Pause || o.Do == Resume:
		s.log.Paused = o.Do == Pause
	case o.Do == Trigger && s.log.Paused:
		c.reply(s, o.ID, false, "the task is paused")
		return
	case o.Do == Trigger && s.state != idle:
		c.reply(s, o.ID, false, "an occurrence is under way")
		return
	case o.Do == Trigger:
		s.log.Order = o.ID
		s.answer = append(s.answer, o.ID)
		c.begin(s, c.wall, s.log.Occurrence)
		return
	case o.Do == Release:
		s.away = c.now + awayTerms*s.Term
		c.handOn(s, "an operator has it handed on")
		c.reply(s, o.ID, true, "")
		return
	default:
		c.reply(s, o.ID, false, "there is no such order")
		return
	}
	s.log.Order = o.ID
	s.answer = append(s.answer, o.ID)
	c.write(s)
}

func (c *Core) reply(s *slot, id uint64, done bool, why string) {
	a := Answer{id, done, why}
	c.out = append(c.out, a)
	if s.recent = append(s.recent, [2]any{id, a}); len(s.recent) > ordersKept {
		s.recent = slices.Delete(s.recent, 0, 1)
	}
}

// handOn gives a slot's lease up once nothing runs under it.
func (c *Core) handOn(s *slot, why string) {
	if !s.held {
		return
	}
	s.leave = true
	if s.state == running {
		s.state = closing
		c.out = append(c.out, Cancel{s.lease, s.fence, why})
	}
}

// turn does what is due for a slot: ask for its lease, begin its next occurrence, hand it on.
func (c *Core) turn(s *slot) {
	want := !c.gone && c.crew.Majority && c.now >= s.away && c.mine(s)
	if want != s.wanted {
		s.wanted = want
		c.out = append(c.out, lease.Want{Lease: s.lease, On: want})
	}
	if !s.held {
		return
	}
	// Whoever is preferred and lives again gets it, once nothing runs.
	if s.leave || !want && s.state == idle && c.crew.Majority {
		if s.state == idle && !s.dirty {
			s.held, s.leave = false, false
			c.out = append(c.out, lease.Drop{Lease: s.lease, Fence: s.fence})
		}
		return
	}
	if s.state != idle || s.log.Paused {
		return
	}
	at := c.next(s)
	if c.now < at {
		return
	}
	occurrence := c.wall - (c.now - at)
	if late := c.now - at; late > lateTerms*s.Term && !s.Once {
		c.skip(s)
		return
	} else if late > lateTerms*s.Term {
		occurrence = c.wall
	}
	c.begin(s, occurrence, occurrence)
}

// begin has an occurrence noted; it begins when that is done.
func (c *Core) begin(s *slot, due, occurrence float64) {
	s.state, s.began, s.begun, s.due = noting, c.now, c.now, due
	s.log.Occurrence, s.log.Begun, s.log.Fence, s.log.By = occurrence, c.wall, s.fence, c.self
	s.log.Ended, s.log.Took, s.log.Code, s.log.Why = false, 0, 0, ""
	c.write(s)
}

// skip leaves out what nobody could begin in time.
func (c *Core) skip(s *slot) {
	if s.Every > 0 {
		s.begun += s.Every * math.Floor((c.now-s.begun)/s.Every)
	} else {
		s.log.Occurrence = max(s.log.Occurrence, c.wall)
	}
}

// next is when a slot's next occurrence is due, by this member's clock.
func (c *Core) next(s *slot) float64 {
	if s.Every > 0 {
		return s.begun + s.Every
	}
	return c.now + float64(s.At.Next(time.UnixMilli(int64(s.log.Occurrence)).UTC()).UnixMilli()) - c.wall
}

// mine says whether this member should hold a slot: of those that live the preferred one, else the best by rank; the slots of one task
// go to different members as far as there are enough.
func (c *Core) mine(s *slot) bool {
	rank := slices.Clone(c.crew.Rank(Slot(s.Name, 0)))
	if len(rank) == 0 {
		return false
	}
	place := func(name string) int {
		if i := slices.Index(s.Prefer, name); i >= 0 {
			return i
		}
		return len(s.Prefer)
	}
	slices.SortStableFunc(rank, func(a, b string) int { return cmp.Compare(place(a), place(b)) })
	return rank[s.nth%len(rank)] == c.self
}
