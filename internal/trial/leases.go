package trial

import (
	"fmt"
	"math"
	"slices"

	"gullstair/internal/lease"
	"gullstair/internal/virtual"
)

// LeaseRules are of a Leases world. Times in ms.
type LeaseRules struct {
	Members int
	Drift   float64 // what the members are told of their clocks, which run at both ends of it
	Fixed   []lease.Terms
	Loose   []lease.Terms // leases that are asked for by name
	Disk    bool          // votes are stored before they are told
	Fsync   float64       // that storing takes
	Weather virtual.Weather
}

// Leases is a world of lease cores alone, on disks or without, in which several ask for every lease and work goes on under each for
// as long as it is held. What it judges is who holds itself entitled to act, at every moment of true time.
type Leases struct {
	Rules  LeaseRules
	Net    *virtual.Net
	Held   int // times that a lease came to be held
	Faults []string

	// Rosters are how many members each one's document lists, the first ones; of who is not in it: all.
	Rosters map[string]int

	messages, datagrams int // that member 0 sent
	members             map[string]*holderNode
	disks               map[string][]lease.Record
	rates               map[string]float64
	walls               map[string]float64 // wall clocks, that floors come from, are off by so much: less than the shortest term apart
	boots               uint64
	acts                map[string]map[string][]*entitled // by lease and machine
	fences              map[string]uint64                 // the highest under which anybody acted
	notes               map[string]uint64                 // the highest count that a majority has taken down, by lease
}

// entitled is work on a machine, which looks at that machine's clock alone and outlives the member's process.
type entitled struct {
	fence uint64
	until float64 // by the machine's clock
}

// perDatagram is how many messages without a note package sharing puts into one datagram at least.
const perDatagram = 11

type holderNode struct {
	w       *Leases
	name    string
	core    *lease.Core
	waiting []lease.Store // for its disk
	writing bool
	inbox   []lease.Input
}

// NewLeases makes a world in which nobody runs yet.
func NewLeases(seed uint64, r LeaseRules) *Leases {
	w := &Leases{Rules: r, Net: virtual.New(seed, r.Weather), members: map[string]*holderNode{}, disks: map[string][]lease.Record{},
		Rosters: map[string]int{}, rates: map[string]float64{}, walls: map[string]float64{}, acts: map[string]map[string][]*entitled{}, fences: map[string]uint64{}, notes: map[string]uint64{}}
	for i := range r.Members {
		w.rates[Name(i)] = 1 + r.Drift*(float64(w.Net.Chance().IntN(3))-1)
		w.walls[Name(i)] = 150 * (float64(w.Net.Chance().IntN(3)) - 1)
	}
	return w
}

// clock is a machine's; it goes on when its member does not run.
func (w *Leases) clock(name string) float64 { return 1e6 + w.Net.Now()*w.rates[name] }

// Start starts the i-th member; an earlier process of it is gone. With a disk it knows what that one stored.
func (w *Leases) Start(i int) {
	w.boots++
	name, rules := Name(i), lease.Rules{Drift: w.Rules.Drift, Most: 8, Fixed: w.Rules.Fixed}
	for _, t := range w.Rules.Loose {
		rules.Longest = max(rules.Longest, t.Term)
	}
	var roster []string
	listed, some := w.Rosters[name]
	if !some {
		listed = w.Rules.Members
	}
	for j := range listed {
		roster = append(roster, Name(j))
	}
	m := &holderNode{w: w, name: name, core: lease.New(name, w.boots, roster, rules, uint64(1e6+w.Net.Now()+w.walls[name]), w.Net.Chance().Float64)}
	if w.Rules.Disk {
		m.core.Restore(w.disks[name], true)
	}
	w.members[name] = m
	w.Net.Start(name, m, w.clock(name), w.rates[name])
}

// Kill ends the i-th member without a word. Of what was being stored the first records last, so many.
func (w *Leases) Kill(i int) {
	w.Net.Kill(Name(i))
	delete(w.members, Name(i))
}

// Want has the i-th member ask for a lease, or ask no more.
func (w *Leases) Want(i int, t lease.Terms, on bool) {
	w.tell(Name(i), lease.Want{Lease: t.Name, Term: t.Term, On: on})
}

// Drop has the i-th member give up a lease, if it holds it, with its work over; silent leaves it to run out.
func (w *Leases) Drop(i int, name string, silent bool) {
	if a := w.newest(name, Name(i)); a != nil && w.members[Name(i)] != nil {
		if !silent {
			a.until = math.Inf(-1)
		}
		w.tell(Name(i), lease.Drop{Lease: name, Fence: a.fence, Silent: silent})
	}
}

// Write has the i-th member leave a note with a lease that it holds.
func (w *Leases) Write(i int, name string) {
	if a := w.newest(name, Name(i)); a != nil {
		w.tell(Name(i), lease.Write{Lease: name, Fence: a.fence, Data: []byte(fmt.Sprint(w.Net.Now()))})
	}
}

// newest is what a machine's newest process is entitled to.
func (w *Leases) newest(l, name string) *entitled {
	if all := w.acts[l][name]; len(all) > 0 {
		return all[len(all)-1]
	}
	return nil
}

func (w *Leases) tell(name string, in lease.Input) {
	if m := w.members[name]; m != nil {
		m.inbox = append(m.inbox, in)
		w.Net.Poke(name)
	}
}

// Holder is the member that holds itself entitled to act under a lease; "": nobody does.
func (w *Leases) Holder(name string) string {
	for i := range w.Rules.Members {
		if a := w.newest(name, Name(i)); a != nil && w.clock(Name(i)) < a.until {
			return Name(i)
		}
	}
	return ""
}

func (m *holderNode) Due() float64 { return m.core.Due() }

func (m *holderNode) Step(now float64, in []virtual.Packet) []virtual.Packet {
	inputs := m.inbox
	m.inbox = nil
	for _, p := range in {
		for _, x := range p.Data.([]lease.Message) {
			inputs = append(inputs, lease.Received{From: p.From, Message: x})
		}
	}
	var out []virtual.Packet
	for _, o := range m.core.Step(now, inputs) {
		switch v := o.(type) {
		case lease.Send:
			if m.name == Name(0) {
				m.w.messages += len(v.Messages)
				m.w.datagrams += (len(v.Messages) + perDatagram - 1) / perDatagram
			}
			out = append(out, virtual.Packet{To: v.To, Data: v.Messages})
		case lease.Store:
			m.store(v)
		case lease.Held:
			m.w.Held++
			m.w.act(m.name, v.Lease, v.Fence, v.Until)
			// Ages pass from clock to clock, each off by the drift.
			known := (v.Blank-1e6)/m.w.rates[m.name] + 10 + 2*m.w.Rules.Drift*max(0, m.w.Net.Now()-(v.Blank-1e6))
			if n, got := m.w.notes[v.Lease], noteNumber(v.Note); got < n && float64(n) > known {
				m.w.fault("%s holds %s under %d with note %d, a majority had %d, and it is told that none is lost after %.0f", m.name, v.Lease,
					v.Fence, got, n, known)
			}
		case lease.Renewed:
			m.w.extend(m.name, v.Lease, v.Fence, v.Until)
		case lease.Noted:
			m.w.extend(m.name, v.Lease, v.Fence, v.Until)
			for _, x := range m.core.Views() {
				if x.Lease == v.Lease {
					m.w.notes[v.Lease] = max(m.w.notes[v.Lease], noteNumber(x.Note))
				}
			}
		}
	}
	return out
}

// noteNumber reads what Write left: the true time at which it was written.
func noteNumber(data []byte) uint64 {
	var at float64
	fmt.Sscan(string(data), &at)
	return uint64(at)
}

func (m *holderNode) store(s lease.Store) {
	m.waiting = append(m.waiting, s)
	if !m.writing {
		m.write()
	}
}

// write writes what waits, in one go and in its order; what comes in meanwhile goes into the next one.
func (m *holderNode) write() {
	batch := m.waiting
	m.waiting, m.writing = nil, true
	m.w.Net.After(m.w.Rules.Fsync*m.w.Net.Chance().Float64(), func() {
		if m.w.members[m.name] != m {
			return // the process ended before it was written
		}
		for _, s := range batch {
			m.w.disks[m.name] = append(slices.Clip(m.w.disks[m.name]), s.Record)
		}
		if m.writing = false; len(m.waiting) > 0 {
			m.write()
		}
		m.w.tell(m.name, lease.Stored{Upto: batch[len(batch)-1].Number})
	})
}

func (w *Leases) fault(format string, args ...any) {
	if len(w.Faults) < 10 {
		w.Faults = append(w.Faults, fmt.Sprintf("%.0f ms: ", w.Net.Now())+fmt.Sprintf(format, args...))
	}
}

// act begins work under a lease, and judges: nobody else may hold itself entitled, by any machine's clock, and fencing numbers grow.
func (w *Leases) act(name, l string, fence uint64, until float64) {
	if w.acts[l] == nil {
		w.acts[l] = map[string][]*entitled{}
	}
	if w.clock(name) < until {
		if fence <= w.fences[l] {
			w.fault("%s holds %s under %d after %d", name, l, fence, w.fences[l])
		}
		w.fences[l] = max(w.fences[l], fence)
	}
	a := &entitled{fence, until}
	w.acts[l][name] = append(slices.DeleteFunc(w.acts[l][name], func(o *entitled) bool { return w.clock(name) >= o.until }), a)
	w.judge(a, name, l)
}

func (w *Leases) extend(name, l string, fence uint64, until float64) {
	if a := w.newest(l, name); a != nil && a.fence == fence {
		a.until = max(a.until, until)
		w.judge(a, name, l)
	}
}

// judge looks at the moment at which somebody comes to be entitled, or for longer: two that are entitled at any time are so when the later
// one of them came to be. What an earlier process of the same machine began counts as another's.
func (w *Leases) judge(a *entitled, name, l string) {
	if w.clock(name) >= a.until {
		return
	}
	for i := range w.Rules.Members {
		other := Name(i)
		for _, o := range w.acts[l][other] {
			if o != a && w.clock(other) < o.until {
				w.fault("%s under %d and %s under %d both hold themselves entitled under %s", name, a.fence, other, o.fence, l)
			}
		}
	}
}
