package simulation

import (
	"fmt"
	"math"
	"slices"

	"gullstair/internal/lease"
	"gullstair/internal/virtual"
)

// LeaseRules configures a LeaseWorld. Times are in ms.
type LeaseRules struct {
	Members int
	Drift   float64 // bound on clock drift that the members assume; their clocks run at both ends of it
	Fixed   []lease.Spec
	Named   []lease.Spec // leases that members request by name
	Disk    bool         // members store votes before they send them
	Fsync   float64      // longest duration of a write to disk
	Network virtual.Conditions
}

// LeaseWorld simulates the state machines of package lease without the rest of a member, with or without disks. Several members request every lease, and work runs under a lease
// for as long as it is held. The world checks at every moment of true time that at most one member considers itself the holder of a lease.
type LeaseWorld struct {
	Rules    LeaseRules
	Net      *virtual.Net
	Acquired int // number of acquisitions
	Faults   []string

	// Rosters holds, by member, how many members its document lists, from the first. A member without an entry lists all.
	Rosters map[string]int

	messages, datagrams int // sent by member 0
	members             map[string]*leaseNode
	disks               map[string][]lease.Record
	rates               map[string]float64
	walls               map[string]float64 // offsets of the wall clocks, from which fencing floors come; they differ by less than the shortest term
	boots               uint64
	work                map[string]map[string][]*activity // by lease and machine
	fences              map[string]uint64                 // highest fencing token under which a member acted, by lease
	recordedNotes       map[string]uint64                 // highest note number that a majority has recorded, by lease
}

// activity is work that runs under a lease on a machine. It depends only on that machine's clock and outlives the member's process.
type activity struct {
	fence uint64
	until float64 // by the machine's clock
}

// perDatagram is the least number of messages without a note that package memberstate puts into a full datagram.
const perDatagram = 11

type leaseNode struct {
	w       *LeaseWorld
	name    string
	core    *lease.Machine
	pending []lease.Store // not yet written to its disk
	writing bool
	inbox   []lease.Input
}

// NewLeaseWorld creates a world without running members.
func NewLeaseWorld(seed uint64, r LeaseRules) *LeaseWorld {
	w := &LeaseWorld{Rules: r, Net: virtual.New(seed, r.Network), members: map[string]*leaseNode{}, disks: map[string][]lease.Record{},
		Rosters: map[string]int{}, rates: map[string]float64{}, walls: map[string]float64{}, work: map[string]map[string][]*activity{}, fences: map[string]uint64{}, recordedNotes: map[string]uint64{}}
	for i := range r.Members {
		w.rates[Name(i)] = 1 + r.Drift*(float64(w.Net.Rand().IntN(3))-1)
		w.walls[Name(i)] = 150 * (float64(w.Net.Rand().IntN(3)) - 1)
	}
	return w
}

// clock returns the time of a machine's clock, which also advances while its member does not run.
func (w *LeaseWorld) clock(name string) float64 { return 1e6 + w.Net.Now()*w.rates[name] }

// Start starts the i-th member in place of its earlier process. With a disk it restores what that process stored.
func (w *LeaseWorld) Start(i int) {
	w.boots++
	name, rules := Name(i), lease.Rules{Drift: w.Rules.Drift, MaxLeases: 8, Fixed: w.Rules.Fixed}
	for _, spec := range w.Rules.Named {
		rules.MaxTerm = max(rules.MaxTerm, spec.Term)
	}
	var roster []string
	listed, limited := w.Rosters[name]
	if !limited {
		listed = w.Rules.Members
	}
	for j := range listed {
		roster = append(roster, Name(j))
	}
	m := &leaseNode{w: w, name: name, core: lease.New(name, w.boots, roster, rules, uint64(1e6+w.Net.Now()+w.walls[name]), w.Net.Rand().Float64)}
	if w.Rules.Disk {
		m.core.Restore(w.disks[name], true)
	}
	w.members[name] = m
	w.Net.Start(name, m, w.clock(name), w.rates[name])
}

// Kill ends the i-th member without an announcement. Writes that have not completed are lost.
func (w *LeaseWorld) Kill(i int) {
	w.Net.Kill(Name(i))
	delete(w.members, Name(i))
}

// Want has the i-th member start or stop requesting a lease.
func (w *LeaseWorld) Want(i int, spec lease.Spec, on bool) {
	w.input(Name(i), lease.Want{Lease: spec.Name, Term: spec.Term, On: on})
}

// Drop has the i-th member end its work and release a lease that it holds. With letExpire, its work goes on and the lease expires instead.
func (w *LeaseWorld) Drop(i int, name string, letExpire bool) {
	if a := w.newest(name, Name(i)); a != nil && w.members[Name(i)] != nil {
		if !letExpire {
			a.until = math.Inf(-1)
		}
		w.input(Name(i), lease.Drop{Lease: name, Fence: a.fence, LetExpire: letExpire})
	}
}

// Write has the i-th member write a note to a lease that it holds.
func (w *LeaseWorld) Write(i int, name string) {
	if a := w.newest(name, Name(i)); a != nil {
		w.input(Name(i), lease.Write{Lease: name, Fence: a.fence, Data: []byte(fmt.Sprint(w.Net.Now()))})
	}
}

// newest returns the most recent work on a machine under a lease, or nil.
func (w *LeaseWorld) newest(l, name string) *activity {
	if all := w.work[l][name]; len(all) > 0 {
		return all[len(all)-1]
	}
	return nil
}

func (w *LeaseWorld) input(name string, in lease.Input) {
	if m := w.members[name]; m != nil {
		m.inbox = append(m.inbox, in)
		w.Net.Wake(name)
	}
}

// Holder returns the member that considers itself the holder of a lease, or "" if there is none.
func (w *LeaseWorld) Holder(name string) string {
	for i := range w.Rules.Members {
		if a := w.newest(name, Name(i)); a != nil && w.clock(Name(i)) < a.until {
			return Name(i)
		}
	}
	return ""
}

func (m *leaseNode) Due() float64 { return m.core.Due() }

func (m *leaseNode) Step(now float64, in []virtual.Packet) []virtual.Packet {
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
			m.w.Acquired++
			m.w.act(m.name, v.Lease, v.Fence, v.Until)
			// Members pass ages on by their own clocks, each of which errs by the drift.
			known := (v.Blank-1e6)/m.w.rates[m.name] + 10 + 2*m.w.Rules.Drift*max(0, m.w.Net.Now()-(v.Blank-1e6))
			if n, got := m.w.recordedNotes[v.Lease], noteNumber(v.Note); got < n && float64(n) > known {
				m.w.fault("%s holds %s under %d with note %d, but a majority recorded %d, and its state machine reports no lost note after %.0f", m.name, v.Lease,
					v.Fence, got, n, known)
			}
		case lease.Renewed:
			m.w.extend(m.name, v.Lease, v.Fence, v.Until)
		case lease.Noted:
			m.w.extend(m.name, v.Lease, v.Fence, v.Until)
			for _, x := range m.core.Views() {
				if x.Lease == v.Lease {
					m.w.recordedNotes[v.Lease] = max(m.w.recordedNotes[v.Lease], noteNumber(x.Note))
				}
			}
		}
	}
	return out
}

// noteNumber parses a note of Write: the true time at which it was written.
func noteNumber(data []byte) uint64 {
	var at float64
	fmt.Sscan(string(data), &at)
	return uint64(at)
}

func (m *leaseNode) store(s lease.Store) {
	m.pending = append(m.pending, s)
	if !m.writing {
		m.write()
	}
}

// write writes all pending records as one batch, in order. Records that arrive meanwhile go into the next batch.
func (m *leaseNode) write() {
	batch := m.pending
	m.pending, m.writing = nil, true
	m.w.Net.After(m.w.Rules.Fsync*m.w.Net.Rand().Float64(), func() {
		if m.w.members[m.name] != m {
			return // the process ended before the write completed
		}
		for _, s := range batch {
			m.w.disks[m.name] = append(slices.Clip(m.w.disks[m.name]), s.Record)
		}
		if m.writing = false; len(m.pending) > 0 {
			m.write()
		}
		m.w.input(m.name, lease.Stored{Upto: batch[len(batch)-1].Number})
	})
}

func (w *LeaseWorld) fault(format string, args ...any) {
	if len(w.Faults) < 10 {
		w.Faults = append(w.Faults, fmt.Sprintf("%.0f ms: ", w.Net.Now())+fmt.Sprintf(format, args...))
	}
}

// act begins work under a lease. It checks that nobody else considers itself the holder, by any machine's clock, and that fencing tokens increase.
func (w *LeaseWorld) act(name, l string, fence uint64, until float64) {
	if w.work[l] == nil {
		w.work[l] = map[string][]*activity{}
	}
	if w.clock(name) < until {
		if fence <= w.fences[l] {
			w.fault("%s holds %s under %d after %d", name, l, fence, w.fences[l])
		}
		w.fences[l] = max(w.fences[l], fence)
	}
	a := &activity{fence, until}
	w.work[l][name] = append(slices.DeleteFunc(w.work[l][name], func(o *activity) bool { return w.clock(name) >= o.until }), a)
	w.checkExclusive(a, name, l)
}

func (w *LeaseWorld) extend(name, l string, fence uint64, until float64) {
	if a := w.newest(l, name); a != nil && a.fence == fence {
		a.until = max(a.until, until)
		w.checkExclusive(a, name, l)
	}
}

// checkExclusive checks for other holders when work begins or is extended. That suffices: if two holders overlap at any time, they overlap at the
// moment when the later one began. Work of an earlier process of the same machine counts as work of another holder.
func (w *LeaseWorld) checkExclusive(a *activity, name, l string) {
	if w.clock(name) >= a.until {
		return
	}
	for i := range w.Rules.Members {
		other := Name(i)
		for _, o := range w.work[l][other] {
			if o != a && w.clock(other) < o.until {
				w.fault("%s under %d and %s under %d both act as holders of %s", name, a.fence, other, o.fence, l)
			}
		}
	}
}
