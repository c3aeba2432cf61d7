// Package trial plays shared duties in virtual time: members on a virtual network, stores that count what reaches them,
// and a resource that only the holder of a lease may change. What it judges it sees at the stores and at the resource,
// never in the members. Tests and the measuring command use it.
package trial

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"gullstair/internal/duties"
	"gullstair/internal/membership"
	"gullstair/internal/sharing"
	"gullstair/internal/tasks"
	"gullstair/internal/virtual"
)

// The duty and the lease that a World plays.
const (
	Probing = "probing"
	Closing = "closing"
)

// Rules of a World; times in ms.
type Rules struct {
	Members   int
	Stores    int
	Period    float64 // of probing
	Occurs    float64 // period of the fenced duty; 0: there is none
	Term      float64 // of its lease
	Work      float64 // that an occurrence takes
	Drift     float64 // what the members are told of their clocks
	Timing    membership.Timing
	Open      bool // no roster: whoever joins
	Weather   virtual.Weather
	ClockSkew float64 // clocks run between 1-ClockSkew and 1+ClockSkew
	Visits    int     // that a store may see in a period; 0: two
	Sizes     bool    // measure messages as they would be on a wire
}

// Visit is a probe that reached a store.
type Visit struct {
	At float64
	By string
}

// Effect is a change of the fenced resource.
type Effect struct {
	At    float64
	By    string
	Fence uint64
	First bool // of its occurrence
}

// World is one trial.
type World struct {
	Rules   Rules
	Net     *virtual.Net
	Visits  map[string][]Visit
	Effects []Effect
	Runs    []float64       // when occurrences of the fenced duty were begun
	Mute    map[string]bool // stores that never answer
	Changes []Change
	faults  []string

	children map[uint64]*child // by fencing number

	stores  []string
	members map[string]*member
	boots   uint64
	offsets map[string]float64
	rates   map[string]float64
}

// Change is what a member saw of another.
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
	core  *sharing.Core
	inbox []sharing.Input
}

// New makes a world in which nobody runs yet.
func New(seed uint64, r Rules) *World {
	w := &World{Rules: r, Net: virtual.New(seed, r.Weather), Visits: map[string][]Visit{}, Mute: map[string]bool{},
		children: map[uint64]*child{}, members: map[string]*member{}, offsets: map[string]float64{}, rates: map[string]float64{}}
	for i := range r.Stores {
		w.stores = append(w.stores, fmt.Sprintf("s-%04d", i))
	}
	for i := range r.Members {
		// Wall clocks a little apart, running fast and slow in turn.
		w.offsets[Name(i)] = 1e9 + 50*w.Net.Chance().Float64()
		w.rates[Name(i)] = 1 + r.ClockSkew*(2*float64(i%3)/2-1)
	}
	return w
}

// Name is the i-th member's, and its address.
func Name(i int) string { return fmt.Sprintf("b%03d", i) }

// Names are those of members from i up to j, without it.
func Names(i, j int) (all []string) {
	for ; i < j; i++ {
		all = append(all, Name(i))
	}
	return all
}

// Start starts the i-th member, knowing nothing; an earlier process of it is gone.
func (w *World) Start(i int) {
	name := Name(i)
	w.boots++
	if w.rates[name] == 0 {
		w.offsets[name], w.rates[name] = 1e9+50*w.Net.Chance().Float64(), 1
	}
	wall := w.offsets[name] + w.Net.Now()*w.rates[name]
	p := sharing.Plan{Name: name, Addr: name, Boot: w.boots, Incarnation: uint64(wall), Timing: w.Rules.Timing,
		Duties: []duties.Duty{{Name: Probing, Period: w.Rules.Period}}, Drift: w.Rules.Drift, Floor: uint64(wall),
		Seed: w.Net.Chance().Uint64()}
	if w.Rules.Open {
		p.Seeds = []string{Name(0), Name(1), Name(2)}
	} else {
		p.Roster = map[string]string{}
		for j := range w.Rules.Members {
			p.Roster[Name(j)] = Name(j)
		}
	}
	if w.Rules.Occurs > 0 {
		p.Tasks = []tasks.Task{{Name: Closing, Every: w.Rules.Occurs, Term: w.Rules.Term, Once: true}}
	}
	m := &member{w: w, name: name, core: sharing.New(p)}
	w.members[name] = m
	m.inbox = append(m.inbox, duties.Items{Duty: Probing, Items: w.stores})
	w.Net.Start(name, m, wall, w.rates[name])
}

// StartAll starts all members of the rules at once.
func (w *World) StartAll() {
	for i := range w.Rules.Members {
		w.Start(i)
	}
}

// Kill ends the i-th member without a word.
func (w *World) Kill(i int) {
	w.Net.Kill(Name(i))
	delete(w.members, Name(i))
}

// Leave ends the i-th member's part with a word.
func (w *World) Leave(i int) {
	w.tell(w.members[Name(i)], sharing.Leave{})
}

// Core is the i-th member's; nil when it does not run.
func (w *World) Core(i int) *sharing.Core {
	if m := w.members[Name(i)]; m != nil {
		return m.core
	}
	return nil
}

// List changes the stores at all members that run.
func (w *World) List(stores []string) {
	w.stores = stores
	for i := range w.Rules.Members {
		if m := w.members[Name(i)]; m != nil {
			w.tell(m, duties.Items{Duty: Probing, Items: stores})
		}
	}
}

// Stores are those on the list.
func (w *World) Stores() []string { return w.stores }

func (w *World) tell(m *member, in sharing.Input) {
	if m == nil || w.members[m.name] != m {
		return
	}
	m.inbox = append(m.inbox, in)
	w.Net.Poke(m.name)
}

func (m *member) Due() float64 { return m.core.Due() }

func (m *member) Step(now float64, in []virtual.Packet) []virtual.Packet {
	inputs := m.inbox
	m.inbox = nil
	for _, p := range in {
		inputs = append(inputs, sharing.Arrived{Addr: p.From, Envelope: copied(p.Data.(sharing.Envelope))})
	}
	var out []virtual.Packet
	for _, o := range m.core.Step(now, now, inputs) {
		switch v := o.(type) {
		case sharing.Post:
			p := virtual.Packet{To: v.Addr, Data: v.Envelope}
			if m.w.Rules.Sizes {
				data, err := sharing.Marshal(&v.Envelope)
				if err != nil {
					m.w.fault("a message could not be written: %v", err)
				}
				p.Size = len(data)
			}
			out = append(out, p)
		case duties.Turn:
			m.w.visit(m, v)
		case tasks.Begin:
			m.w.occur(m, v)
		case tasks.Extend:
			if c := m.w.children[v.Fence]; c != nil && c.name == m.name {
				c.until = v.Until
			}
		case tasks.Cancel:
			if c := m.w.children[v.Fence]; c != nil && c.name == m.name {
				// Told to end, it may take the whole grace.
				c.until = min(c.until, m.w.clock(m.name)+m.w.Rules.Term/4)
			}
		case membership.Changed:
			m.w.Changes = append(m.w.Changes, Change{m.w.Net.Now(), m.name, v.Member, v.Was, v.Known})
		}
	}
	return out
}

// copied lets a duplicate of a message be read as if it had come over a wire.
func copied(e sharing.Envelope) sharing.Envelope {
	if e.Member != nil {
		m := *e.Member
		e.Member = &m
	}
	return e
}

func (w *World) visit(m *member, t duties.Turn) {
	w.Visits[t.Item] = append(w.Visits[t.Item], Visit{w.Net.Now(), m.name})
	wait := 2.0
	if w.Mute[t.Item] {
		wait = 250
	}
	w.Net.After(wait, func() { w.tell(m, duties.Finished{Duty: t.Duty, Item: t.Item, Report: []byte{1}}) })
}

// child is work under a lease: a process of its own on the member's machine, which goes on when the member is killed or stands still, up to
// the moment that it was told last, by that machine's clock.
type child struct {
	name   string
	member *member
	begin  tasks.Begin
	until  float64
}

const effectEvery = 100.0 // ms between two effects of a child

// occur lets a member's child work under its lease.
func (w *World) occur(m *member, b tasks.Begin) {
	w.Runs = append(w.Runs, w.Net.Now())
	c := &child{name: m.name, member: m, begin: b, until: b.Until}
	w.children[b.Fence] = c
	w.effect(c, w.Net.Now()+w.Rules.Work, true)
}

// clock is a machine's, whether a member runs there or not.
func (w *World) clock(name string) float64 { return w.offsets[name] + w.Net.Now()*w.rates[name] }

func (w *World) effect(c *child, end float64, first bool) {
	// What is in the way of a child's last effect is another's first: the judge sees both.
	if w.clock(c.name) >= c.until || w.Net.Now() > end {
		delete(w.children, c.begin.Fence)
		w.tell(c.member, tasks.Ended{Lease: c.begin.Lease, Fence: c.begin.Fence})
		return
	}
	w.Effects = append(w.Effects, Effect{w.Net.Now(), c.name, c.begin.Fence, first})
	w.Net.After(min(effectEvery, max(1, end-w.Net.Now()+0.01)), func() { w.effect(c, end, false) })
}

func (w *World) fault(format string, args ...any) {
	if len(w.faults) < 20 {
		w.faults = append(w.faults, fmt.Sprintf("%.0f ms: ", w.Net.Now())+fmt.Sprintf(format, args...))
	}
}

// Judge says what was broken so far, as seen from outside.
func (w *World) Judge() []string {
	faults := slices.Clone(w.faults)
	for _, store := range slices.Sorted(maps.Keys(w.Visits)) {
		// Members' clocks differ, so a period is taken at its shortest.
		v, window, most := w.Visits[store], w.Rules.Period*(1-w.Rules.ClockSkew)*0.94, cmp.Or(w.Rules.Visits, 2)
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
			faults = append(faults, fmt.Sprintf("fence %d was held by %s and %s", e.Fence, by, e.By))
		}
		newest, holder[e.Fence] = max(newest, e.Fence), e.By
	}
	for i := 1; i < len(w.Runs); i++ {
		// A begin is noted before it is made, and made within a term of that or not at all.
		slack := w.Rules.Term
		if w.Runs[i]-w.Runs[i-1] < w.Rules.Occurs*(1-2*w.Rules.ClockSkew)-slack-1 {
			faults = append(faults, fmt.Sprintf("the fenced duty began at %.0f and again at %.0f ms", w.Runs[i-1], w.Runs[i]))
		}
	}
	return faults
}

// Longest is the longest that any store on the list has waited for a probe since a moment, the wait at the end counted.
func (w *World) Longest(since float64) (store string, wait float64) {
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

// Probes counts what reached the stores since a moment.
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
