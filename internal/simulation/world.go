// Package simulation simulates the state machines of duties, leases, limits and verdicts in virtual time, on a virtual network with faults. It checks their
// safety rules from outside the members: at the stores, which count their probes, and at a resource that only the holder of a lease may change. It does no I/O.
// Tests and cmd/measure use it.
package simulation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"gullstair/internal/duties"
	"gullstair/internal/membership"
	"gullstair/internal/memberstate"
	"gullstair/internal/tasks"
	"gullstair/internal/virtual"
)

// Names of the duty and of the task with a lease in a World.
const (
	Probing = "probing"
	Closing = "closing"
)

// Rules configures a World. Times are in ms.
type Rules struct {
	Members      int
	Stores       int
	Period       float64 // between two probes of a store
	TaskPeriod   float64 // period of the fenced task; 0 disables it
	Term         float64 // of its lease
	TaskDuration float64 // duration of one occurrence
	Drift        float64 // bound on clock drift that the members assume
	Timing       membership.Timing
	Open         bool // without a roster: any member may join
	Network      virtual.Conditions
	ClockSkew    float64 // clocks run between 1-ClockSkew and 1+ClockSkew
	MaxProbes    int     // probes that a store may receive in a period; 0 means two
	Sizes        bool    // measure the encoded size of messages
}

// Visit is a probe that reached a store.
type Visit struct {
	At float64
	By string
}

// Effect is a change of the fenced resource by the worker of a lease.
type Effect struct {
	At    float64
	By    string
	Fence uint64
	First bool // first effect of its occurrence
}

// World is one simulation of members that share the probing of stores and one fenced task.
type World struct {
	Rules        Rules
	Net          *virtual.Net
	Visits       map[string][]Visit
	Effects      []Effect
	TaskStarts   []float64       // start times of the occurrences of the fenced task
	Unresponsive map[string]bool // stores that never answer
	Changes      []Change
	faults       []string

	workers map[uint64]*worker // by fencing token

	stores  []string
	members map[string]*member
	boots   uint64
	offsets map[string]float64
	rates   map[string]float64
}

// Change is a state change of one member as another member saw it.
type Change struct {
	At        float64
	By        string
	Member    membership.Member
	Was       membership.State
	WasListed bool
}

type member struct {
	w     *World
	name  string
	core  *memberstate.Core
	inbox []memberstate.Input
}

// New creates a world without running members.
func New(seed uint64, r Rules) *World {
	w := &World{Rules: r, Net: virtual.New(seed, r.Network), Visits: map[string][]Visit{}, Unresponsive: map[string]bool{},
		workers: map[uint64]*worker{}, members: map[string]*member{}, offsets: map[string]float64{}, rates: map[string]float64{}}
	for i := range r.Stores {
		w.stores = append(w.stores, fmt.Sprintf("s-%04d", i))
	}
	for i := range r.Members {
		// Wall clocks differ a little, and run slow, exact and fast in turn.
		w.offsets[Name(i)] = 1e9 + 50*w.Net.Rand().Float64()
		w.rates[Name(i)] = 1 + r.ClockSkew*(2*float64(i%3)/2-1)
	}
	return w
}

// Name returns the name of the i-th member, which is also its address.
func Name(i int) string { return fmt.Sprintf("b%03d", i) }

// Names returns the names of the members from i up to but not including j.
func Names(i, j int) (all []string) {
	for ; i < j; i++ {
		all = append(all, Name(i))
	}
	return all
}

// Start starts the i-th member without any state, in place of its earlier process.
func (w *World) Start(i int) {
	name := Name(i)
	w.boots++
	if w.rates[name] == 0 {
		w.offsets[name], w.rates[name] = 1e9+50*w.Net.Rand().Float64(), 1
	}
	wall := w.offsets[name] + w.Net.Now()*w.rates[name]
	p := memberstate.Plan{Name: name, Addr: name, Boot: w.boots, Incarnation: uint64(wall), Timing: w.Rules.Timing,
		Duties: []duties.Duty{{Name: Probing, Period: w.Rules.Period}}, Drift: w.Rules.Drift, Floor: uint64(wall),
		Seed: w.Net.Rand().Uint64()}
	if w.Rules.Open {
		p.Seeds = []string{Name(0), Name(1), Name(2)}
	} else {
		p.Roster = map[string]string{}
		for j := range w.Rules.Members {
			p.Roster[Name(j)] = Name(j)
		}
	}
	if w.Rules.TaskPeriod > 0 {
		p.Tasks = []tasks.Task{{Name: Closing, Every: w.Rules.TaskPeriod, Term: w.Rules.Term, CatchUp: true}}
	}
	m := &member{w: w, name: name, core: memberstate.New(p)}
	w.members[name] = m
	m.inbox = append(m.inbox, duties.Items{Duty: Probing, Items: w.stores})
	w.Net.Start(name, m, wall, w.rates[name])
}

// StartAll starts all members at once.
func (w *World) StartAll() {
	for i := range w.Rules.Members {
		w.Start(i)
	}
}

// Kill ends the i-th member without an announcement to the others.
func (w *World) Kill(i int) {
	w.Net.Kill(Name(i))
	delete(w.members, Name(i))
}

// Leave has the i-th member leave gracefully.
func (w *World) Leave(i int) {
	w.input(w.members[Name(i)], memberstate.Leave{})
}

// Core returns the core of the i-th member, or nil when it does not run.
func (w *World) Core(i int) *memberstate.Core {
	if m := w.members[Name(i)]; m != nil {
		return m.core
	}
	return nil
}

// List changes the list of stores at all running members.
func (w *World) List(stores []string) {
	w.stores = stores
	for i := range w.Rules.Members {
		if m := w.members[Name(i)]; m != nil {
			w.input(m, duties.Items{Duty: Probing, Items: stores})
		}
	}
}

// Stores returns the current list of stores.
func (w *World) Stores() []string { return w.stores }

func (w *World) input(m *member, in memberstate.Input) {
	if m == nil || w.members[m.name] != m {
		return
	}
	m.inbox = append(m.inbox, in)
	w.Net.Wake(m.name)
}

func (m *member) Due() float64 { return m.core.Due() }

func (m *member) Step(now float64, in []virtual.Packet) []virtual.Packet {
	inputs := m.inbox
	m.inbox = nil
	for _, p := range in {
		inputs = append(inputs, memberstate.Received{Addr: p.From, Envelope: copyEnvelope(p.Data.(memberstate.Envelope))})
	}
	var out []virtual.Packet
	for _, o := range m.core.Step(now, now, inputs) {
		switch v := o.(type) {
		case memberstate.Send:
			p := virtual.Packet{To: v.Addr, Data: v.Envelope}
			if m.w.Rules.Sizes {
				data, err := memberstate.Marshal(&v.Envelope)
				if err != nil {
					m.w.fault("a message could not be encoded: %v", err)
				}
				p.Size = len(data)
			}
			out = append(out, p)
		case duties.Turn:
			m.w.visit(m, v)
		case tasks.Begin:
			m.w.startWorker(m, v)
		case tasks.Extend:
			if c := m.w.workers[v.Fence]; c != nil && c.name == m.name {
				c.until = v.Until
			}
		case tasks.Cancel:
			if c := m.w.workers[v.Fence]; c != nil && c.name == m.name {
				// A cancelled worker may use its whole grace period.
				c.until = min(c.until, m.w.clock(m.name)+m.w.Rules.Term/4)
			}
		case membership.Changed:
			m.w.Changes = append(m.w.Changes, Change{m.w.Net.Now(), m.name, v.Member, v.Was, v.Known})
		}
	}
	return out
}

// copyEnvelope returns a copy of a message, so that duplicates share no memory, as if decoded from the wire.
func copyEnvelope(e memberstate.Envelope) memberstate.Envelope {
	if e.Member != nil {
		m := *e.Member
		e.Member = &m
	}
	return e
}

func (w *World) visit(m *member, t duties.Turn) {
	w.Visits[t.Item] = append(w.Visits[t.Item], Visit{w.Net.Now(), m.name})
	wait := 2.0
	if w.Unresponsive[t.Item] {
		wait = 250
	}
	w.Net.After(wait, func() { w.input(m, duties.Finished{Duty: t.Duty, Item: t.Item, Report: []byte{1}}) })
}

// worker is a worker process under a lease on the member's machine. It keeps running when the member is killed or paused, until the deadline that it
// received last, by that machine's clock.
type worker struct {
	name   string
	member *member
	begin  tasks.Begin
	until  float64
}

const effectInterval = 100.0 // ms between two effects of a worker

// startWorker starts a member's worker under its lease.
func (w *World) startWorker(m *member, b tasks.Begin) {
	w.TaskStarts = append(w.TaskStarts, w.Net.Now())
	c := &worker{name: m.name, member: m, begin: b, until: b.Until}
	w.workers[b.Fence] = c
	w.effect(c, w.Net.Now()+w.Rules.TaskDuration, true)
}

// clock returns the time of a machine's clock, whether its member runs or not.
func (w *World) clock(name string) float64 { return w.offsets[name] + w.Net.Now()*w.rates[name] }

func (w *World) effect(c *worker, end float64, first bool) {
	// The worker checks its deadline before each effect. Judge compares the effects of all workers.
	if w.clock(c.name) >= c.until || w.Net.Now() > end {
		delete(w.workers, c.begin.Fence)
		w.input(c.member, tasks.Ended{Lease: c.begin.Lease, Fence: c.begin.Fence})
		return
	}
	w.Effects = append(w.Effects, Effect{w.Net.Now(), c.name, c.begin.Fence, first})
	w.Net.After(min(effectInterval, max(1, end-w.Net.Now()+0.01)), func() { w.effect(c, end, false) })
}

func (w *World) fault(format string, args ...any) {
	if len(w.faults) < 20 {
		w.faults = append(w.faults, fmt.Sprintf("%.0f ms: ", w.Net.Now())+fmt.Sprintf(format, args...))
	}
}

// Judge returns the violations so far, as seen at the stores and at the resource.
func (w *World) Judge() []string {
	faults := slices.Clone(w.faults)
	for _, store := range slices.Sorted(maps.Keys(w.Visits)) {
		// Members' clocks differ, so the check uses the shortest period by any clock.
		v, window, most := w.Visits[store], w.Rules.Period*(1-w.Rules.ClockSkew)*0.94, cmp.Or(w.Rules.MaxProbes, 2)
		for i := most; i < len(v); i++ {
			if v[i].At-v[i-most].At < window {
				faults = append(faults, fmt.Sprintf("store %s was probed more than %d times within a period: %v", store, most, v[i-most:i+1]))
				break
			}
		}
	}
	var newest uint64
	holder := map[uint64]string{}
	for _, e := range w.Effects {
		if e.Fence < newest {
			faults = append(faults, fmt.Sprintf("an effect under %d at %.0f ms by %s, after one under %d", e.Fence, e.At, e.By, newest))
		}
		if by := holder[e.Fence]; by != "" && by != e.By {
			faults = append(faults, fmt.Sprintf("fencing token %d was held by %s and %s", e.Fence, by, e.By))
		}
		newest, holder[e.Fence] = max(newest, e.Fence), e.By
	}
	for i := 1; i < len(w.TaskStarts); i++ {
		// A start is recorded before it happens, and happens within a term of that or not at all.
		slack := w.Rules.Term
		if w.TaskStarts[i]-w.TaskStarts[i-1] < w.Rules.TaskPeriod*(1-2*w.Rules.ClockSkew)-slack-1 {
			faults = append(faults, fmt.Sprintf("the fenced task began at %.0f and again at %.0f ms", w.TaskStarts[i-1], w.TaskStarts[i]))
		}
	}
	return faults
}

// LongestGap returns the longest time since a moment that any listed store went without a probe, including the time from its last probe until now.
func (w *World) LongestGap(since float64) (store string, wait float64) {
	for _, s := range w.stores {
		last := since
		check := func(at float64) {
			if at-last > wait {
				store, wait = s, at-last
			}
			last = max(last, at)
		}
		for _, v := range w.Visits[s] {
			if v.At >= since {
				check(v.At)
			}
		}
		check(w.Net.Now())
	}
	return store, wait
}

// Probes returns the number of probes that reached the stores since a moment.
func (w *World) Probes(since float64) (n int) {
	for _, v := range w.Visits {
		for _, x := range v {
			if x.At >= since {
				n++
			}
		}
	}
	return n
}
