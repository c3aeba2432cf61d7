// Package tasks schedules fleet-wide tasks: it decides which member begins an occurrence of a task, and when,
// with at-most-once semantics. Each slot of a task is a lease. Its holder stores an occurrence as the lease's
// note at a majority of the voters before it begins it, so every later holder knows of it. The package does no
// I/O and reads no clock: events of the leases and the time go in, inputs for the leases and for the work come
// out.
//
// The design follows Google's distributed cron (Davidovic and Guliani, "Reliable Cron across the Planet",
// 2015), with a lease and its note in place of a Paxos group: a launch is recorded before it is made, and a
// launch whose outcome is unknown counts as made.
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

// Schedule returns the first occurrence after a time, as the schedules of robfig/cron/v3 do.
type Schedule interface {
	Next(time.Time) time.Time
}

// Task is a task of the fleet. Its times are in ms.
type Task struct {
	Name    string
	Every   float64  // interval between two begins; 0 means that At is used
	At      Schedule // by the wall clock
	Term    float64  // term of its leases
	Holders int      // number of slots: members that may run it at once, each with occurrences of its own
	CatchUp bool     // a single occurrence replaces all missed ones; otherwise they are skipped
	Timeout float64  // longest run of an occurrence; 0 means as long as the lease is held
	Prefer  []string // members that run it while they live, in order of preference
}

// Log is the note of a slot's lease.
type Log struct {
	Occurrence float64 `json:"occurrence"` // wall clock, in ms, at which the newest occurrence of a Schedule was due
	BegunAgo   float64 `json:"begun_ago"`  // ms from the begin of the newest occurrence to the write of this note
	Begun      float64 `json:"begun"`      // begin by the wall clock of the member that ran it; 0 if none has begun
	Fence      uint64  `json:"fence"`
	By         string  `json:"by"`
	Ended      bool    `json:"ended"`
	Took       float64 `json:"took"`
	Code       int     `json:"code"` // exit code of the command
	Why        string  `json:"why"`  // why it was ended; "" if it ended by itself
	Paused     bool    `json:"paused"`
	Order      uint64  `json:"order"` // ID of the newest executed order
}

// Input is a Membership, Ended, Order, Leave, or an event of the leases: lease.Held, lease.Renewed, lease.Noted
// and lease.Lost.
type Input any

// Membership is an input that describes the live members of the roster: Rank returns them in their order of
// precedence for a lease, and Majority reports whether they are a majority.
type Membership struct {
	Rank     func(lease string) []string
	Majority bool
}

// Ended is an input: the occurrence that was begun under a fencing token is over, and nothing of it runs any
// more.
type Ended struct {
	Lease string
	Fence uint64
	Code  int
	Why   string
}

// Action is the operation that an Order requests.
type Action string

const (
	Pause   Action = "pause"
	Resume  Action = "resume"
	Trigger Action = "trigger"
	Release Action = "release" // hand the lease over to another member
)

// Order is an operator's order for the holder of a lease. An order with the same ID may be received again.
type Order struct {
	ID    uint64
	Lease string
	Do    Action
}

// Leave is an input that ends this member's participation: running occurrences are cancelled, and then the
// leases are given up.
type Leave struct{}

// Output is a Begin, Extend, Cancel or Answer, or an input for the leases: lease.Want, lease.Write and
// lease.Drop.
type Output any

// Begin is an output: an occurrence has to begin. It must be over at Until by this member's clock, unless an
// Extend arrives.
type Begin struct {
	Lease   string
	Task    string
	Slot    int
	Fence   uint64
	Until   float64
	Timeout float64
	Due     float64 // wall clock, in ms, at which it was due
}

// Extend is an output: an occurrence may go on for longer.
type Extend struct {
	Lease string
	Fence uint64
	Until float64
}

// Cancel is an output: an occurrence has to end now.
type Cancel struct {
	Lease string
	Fence uint64
	Why   string
}

// Answer is an output: the result of an Order.
type Answer struct {
	ID   uint64
	Done bool
	Why  string
}

// View is a slot as its holder, or a voter that has its note, sees it.
type View struct {
	Task  string  `json:"task"`
	Slot  int     `json:"slot"`
	Lease string  `json:"lease"`
	Next  float64 `json:"next"` // wall clock, in ms, as the holder computes it; 0 at other members
	Log   Log     `json:"log"`
}

const (
	onTimeTerms      = 3.0 // an occurrence counts as on time for this many terms after it is due: a takeover takes less
	releaseTerms     = 3.0 // terms for which this member does not request the lease again after a Release order
	maxRecheckMs     = 10000.0
	maxRecentAnswers = 64
)

// state is the state of a slot's occurrence.
type state uint8

const (
	idle     state = iota
	noting         // the begin of the occurrence is being stored as a note
	running        // the occurrence runs
	stopping       // the occurrence was cancelled and has not ended yet
)

// slot is this member's state for one slot of a task.
type slot struct {
	*Task
	lease         string
	index         int
	held          bool
	fence         uint64
	until         float64
	log           Log
	lastBegin     float64 // by this member's clock: begin of the newest occurrence, or the schedule's starting point
	state         state
	runStart      float64 // begin of the running occurrence
	due           float64
	releasedUntil float64 // this member does not request the lease before this time
	wanted        bool
	dirty         bool     // the log is not yet confirmed by a majority
	handingOver   bool     // the lease is handed over once nothing runs and a majority has confirmed the log
	pendingOrders []uint64 // IDs of orders that wait for the note to be confirmed
	recentAnswers [][2]any // IDs and answers of recent orders
}

// Scheduler is one member's part of the scheduling. It is not safe for concurrent use.
type Scheduler struct {
	self    string
	slots   []*slot
	byLease map[string]*slot
	members Membership
	now     float64
	wall    float64
	leaving bool
	outputs []Output
}

// Slot returns the name of the lease for a slot of a task.
func Slot(task string, nth int) string { return fmt.Sprintf("task/%s/%d", task, nth) }

// New returns a member's scheduler. The tasks are the same at all members.
func New(self string, all []Task) *Scheduler {
	c := &Scheduler{self: self, byLease: map[string]*slot{}, members: Membership{Rank: func(string) []string { return nil }}}
	for i := range all {
		t := all[i]
		for n := range max(1, t.Holders) {
			s := &slot{Task: &t, lease: Slot(t.Name, n), index: n, lastBegin: lease.Never, releasedUntil: lease.Never}
			c.slots, c.byLease[s.lease] = append(c.slots, s), s
		}
	}
	return c
}

// Leases returns the leases of all slots.
func (c *Scheduler) Leases() (all []lease.Spec) {
	for _, s := range c.slots {
		all = append(all, lease.Spec{Name: s.lease, Term: s.Term})
	}
	return all
}

// ReadLog decodes a note.
func ReadLog(note []byte) (l Log, err error) {
	if len(note) == 0 {
		return l, nil
	}
	return l, msgpack.Unmarshal(note, &l)
}

// Views returns all slots. For slots held by others, the notes are those that this member's voter has.
func (c *Scheduler) Views(note func(lease string) []byte) (all []View) {
	for _, s := range c.slots {
		v := View{Task: s.Name, Slot: s.index, Lease: s.lease}
		if s.held {
			v.Log, v.Next = s.log, c.wall+c.nextDue(s)-c.now
			if s.log.Paused {
				v.Next = 0
			}
		} else if l, err := ReadLog(note(s.lease)); err == nil {
			v.Log = l
		}
		all = append(all, v)
	}
	return all
}

// HoldsAny reports whether this member holds a lease of any task.
func (c *Scheduler) HoldsAny() bool {
	return slices.ContainsFunc(c.slots, func(s *slot) bool { return s.held })
}

// Due returns the time at which the next Step is needed if no input arrives.
func (c *Scheduler) Due() float64 {
	at := math.Inf(1)
	for _, s := range c.slots {
		if s.held && s.state == idle && !s.log.Paused && !c.leaving {
			// The wall clock may be set, so it is read again before long.
			at = min(at, max(c.nextDue(s), c.now+1), c.now+maxRecheckMs)
		}
		if s.releasedUntil > c.now {
			at = min(at, s.releasedUntil)
		}
	}
	return at
}

// Step handles the inputs and does what is due. The argument now is this member's clock, wall its wall clock,
// both in ms.
func (c *Scheduler) Step(now, wall float64, in []Input) []Output {
	c.outputs, c.now, c.wall = nil, max(c.now, now), wall
	for _, x := range in {
		switch v := x.(type) {
		case Membership:
			c.members = v
		case lease.Held:
			c.handleHeld(v)
		case lease.Renewed:
			c.extend(v.Lease, v.Fence, v.Until)
		case lease.Noted:
			c.extend(v.Lease, v.Fence, v.Until)
			c.handleNoted(v)
		case lease.Lost:
			if s := c.byLease[v.Lease]; s != nil && s.held && s.fence == v.Fence {
				c.handleLost(s)
			}
		case Ended:
			c.handleEnded(v)
		case Order:
			c.handleOrder(v)
		case Leave:
			c.leaving = true
			for _, s := range c.slots {
				c.handOver(s, "this broker is shutting down")
			}
		}
	}
	for _, s := range c.slots {
		c.update(s)
	}
	return c.outputs
}

func (c *Scheduler) handleHeld(v lease.Held) {
	s := c.byLease[v.Lease]
	if s == nil {
		return
	}
	s.held, s.fence, s.until, s.state, s.handingOver, s.dirty = true, v.Fence, v.Until, idle, false, false
	log, err := ReadLog(v.Note)
	if err != nil {
		log = Log{}
	}
	s.log, s.lastBegin = log, lease.Never
	if len(v.Note) > 0 && err == nil {
		s.lastBegin = v.NoteAt - log.BegunAgo
	}
	if v.Blank > lease.Never {
		// An occurrence that no voter remembers may have begun up to that time, so it counts as begun.
		s.lastBegin = max(s.lastBegin, v.Blank)
		s.log.Occurrence = max(s.log.Occurrence, c.wall-(c.now-v.Blank))
	}
	if len(v.Note) == 0 || err != nil {
		// Stores the schedule's starting point: an occurrence that is due from here on and that nobody begins
		// is known to be missed.
		s.lastBegin = max(s.lastBegin, c.now)
		s.log.Occurrence = max(s.log.Occurrence, c.wall)
		c.writeLog(s)
	}
}

func (c *Scheduler) extend(name string, fence uint64, until float64) {
	if s := c.byLease[name]; s != nil && s.held && s.fence == fence {
		s.until = until
		if s.state == running {
			c.outputs = append(c.outputs, Extend{name, fence, until})
		}
	}
}

func (c *Scheduler) handleLost(s *slot) {
	if s.state == running {
		c.outputs = append(c.outputs, Cancel{s.lease, s.fence, "its lease was lost"})
	}
	s.held, s.state = false, idle
	for _, id := range s.pendingOrders {
		c.reply(s, id, false, "the lease was lost before the order was stored")
	}
	s.pendingOrders = nil
}

// writeLog writes a slot's log as the note of its lease.
func (c *Scheduler) writeLog(s *slot) {
	s.log.BegunAgo, s.dirty = max(0, c.now-s.lastBegin), true
	data, err := msgpack.Marshal(&s.log)
	if err == nil {
		c.outputs = append(c.outputs, lease.Write{Lease: s.lease, Fence: s.fence, Data: data})
	}
}

// handleNoted continues what waited for a majority to have the note: the occurrence begins, and orders are
// answered.
func (c *Scheduler) handleNoted(v lease.Noted) {
	s := c.byLease[v.Lease]
	if s == nil || !s.held || s.fence != v.Fence {
		return
	}
	for _, id := range s.pendingOrders {
		c.reply(s, id, true, "")
	}
	s.pendingOrders, s.dirty = nil, false
	if s.state == noting && s.handingOver {
		s.state = idle // the occurrence counts as begun; the next holder continues after it
	} else if s.state == noting && c.now < s.until {
		s.state, s.runStart, s.lastBegin = running, c.now, c.now
		c.outputs = append(c.outputs, Begin{Lease: s.lease, Task: s.Name, Slot: s.index, Fence: s.fence, Until: s.until, Timeout: s.Timeout, Due: s.due})
	}
}

func (c *Scheduler) handleEnded(v Ended) {
	s := c.byLease[v.Lease]
	if s == nil || s.state != running && s.state != stopping || s.fence != v.Fence {
		return
	}
	s.state = idle
	if !s.held {
		return
	}
	s.log.Ended, s.log.Took, s.log.Code, s.log.Why = true, c.now-s.runStart, v.Code, truncate(v.Why)
	c.writeLog(s)
}

// truncate limits a text to 100 bytes, so that a log fits into a note.
func truncate(why string) string {
	if len(why) > 100 {
		why = strings.ToValidUTF8(why[:100], "")
	}
	return why
}

func (c *Scheduler) handleOrder(o Order) {
	s := c.byLease[o.Lease]
	if s == nil || !s.held {
		c.outputs = append(c.outputs, Answer{o.ID, false, "this broker does not hold that lease"})
		return
	}
	if i := slices.IndexFunc(s.recentAnswers, func(r [2]any) bool { return r[0] == o.ID }); i >= 0 {
		c.outputs = append(c.outputs, s.recentAnswers[i][1].(Answer))
		return
	}
	if slices.Contains(s.pendingOrders, o.ID) {
		return // its note is being stored
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
		s.pendingOrders = append(s.pendingOrders, o.ID)
		c.begin(s, c.wall, s.log.Occurrence)
		return
	case o.Do == Release:
		s.releasedUntil = c.now + releaseTerms*s.Term
		c.handOver(s, "handed over by an operator")
		c.reply(s, o.ID, true, "")
		return
	default:
		c.reply(s, o.ID, false, "unknown order")
		return
	}
	s.log.Order = o.ID
	s.pendingOrders = append(s.pendingOrders, o.ID)
	c.writeLog(s)
}

func (c *Scheduler) reply(s *slot, id uint64, done bool, why string) {
	a := Answer{id, done, why}
	c.outputs = append(c.outputs, a)
	if s.recentAnswers = append(s.recentAnswers, [2]any{id, a}); len(s.recentAnswers) > maxRecentAnswers {
		s.recentAnswers = slices.Delete(s.recentAnswers, 0, 1)
	}
}

// handOver gives up a slot's lease once nothing runs under it.
func (c *Scheduler) handOver(s *slot, why string) {
	if !s.held {
		return
	}
	s.handingOver = true
	if s.state == running {
		s.state = stopping
		c.outputs = append(c.outputs, Cancel{s.lease, s.fence, why})
	}
}

// update does what is due for a slot: it requests the lease, begins the next occurrence, or hands the lease
// over.
func (c *Scheduler) update(s *slot) {
	want := !c.leaving && c.members.Majority && c.now >= s.releasedUntil && c.shouldHold(s)
	if want != s.wanted {
		s.wanted = want
		c.outputs = append(c.outputs, lease.Want{Lease: s.lease, On: want})
	}
	if !s.held {
		return
	}
	// A preferred member that is alive again gets the lease once nothing runs.
	if s.handingOver || !want && s.state == idle && c.members.Majority {
		if s.state == idle && !s.dirty {
			s.held, s.handingOver = false, false
			c.outputs = append(c.outputs, lease.Drop{Lease: s.lease, Fence: s.fence})
		}
		return
	}
	if s.state != idle || s.log.Paused {
		return
	}
	at := c.nextDue(s)
	if c.now < at {
		return
	}
	occurrence := c.wall - (c.now - at)
	if late := c.now - at; late > onTimeTerms*s.Term && !s.CatchUp {
		c.skip(s)
		return
	} else if late > onTimeTerms*s.Term {
		occurrence = c.wall
	}
	c.begin(s, occurrence, occurrence)
}

// begin stores an occurrence in the log; it starts once a majority has the note.
func (c *Scheduler) begin(s *slot, due, occurrence float64) {
	s.state, s.runStart, s.lastBegin, s.due = noting, c.now, c.now, due
	s.log.Occurrence, s.log.Begun, s.log.Fence, s.log.By = occurrence, c.wall, s.fence, c.self
	s.log.Ended, s.log.Took, s.log.Code, s.log.Why = false, 0, 0, ""
	c.writeLog(s)
}

// skip drops the occurrences that nobody could begin in time.
func (c *Scheduler) skip(s *slot) {
	if s.Every > 0 {
		s.lastBegin += s.Every * math.Floor((c.now-s.lastBegin)/s.Every)
	} else {
		s.log.Occurrence = max(s.log.Occurrence, c.wall)
	}
}

// nextDue returns when a slot's next occurrence is due, by this member's clock.
func (c *Scheduler) nextDue(s *slot) float64 {
	if s.Every > 0 {
		return s.lastBegin + s.Every
	}
	return c.now + float64(s.At.Next(time.UnixMilli(int64(s.log.Occurrence)).UTC()).UnixMilli()) - c.wall
}

// shouldHold reports whether this member should hold a slot. The first preferred live member comes first, then
// the order of Rank. The slots of one task go to different members as far as there are enough.
func (c *Scheduler) shouldHold(s *slot) bool {
	rank := slices.Clone(c.members.Rank(Slot(s.Name, 0)))
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
	return rank[s.index%len(rank)] == c.self
}
