// Package explore is a model checker for the state machine of package lease. Within given bounds it visits every reachable state of three members: each
// order of delivery, lost, delayed and duplicated messages, clocks at both ends of their drift, paused, crashing and restarting members, with a disk and
// without, while work runs under leases. States are hashed and visited once. The invariant: at no moment of true time do two machines both consider
// themselves entitled to act under one lease. The package does no I/O.
package explore

import (
	"encoding/binary"
	"fmt"
	"hash"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"gullstair/internal/lease"
)

// Bounds limits one exploration. Times are in ms of true time.
type Bounds struct {
	Name    string
	Askers  int       // number of members, of three, that request the lease
	Rates   []float64 // rates of the members' clocks
	Drift   float64   // drift that the cores are configured with
	Term    float64
	Tick    float64 // step by which time advances
	Ticks   int
	Flying  int  // most messages in flight; the oldest one is lost beyond that
	Twice   int  // messages that are duplicated
	Crashes int  // crashes of members; each may restart at a later tick, or not
	Disk    bool // votes are stored before they are sent
	Slow    bool // storing takes a separate step; otherwise stored records are durable at once
	Drops   int  // leases released by their holder after its work, or requests withdrawn
	Wait    int  // ticks before the first request, without other events: voters without disks grant nothing at first
	States  int  // most states to visit; 0: no bound
}

// Result is the result of one exploration.
type Result struct {
	States, Steps, Depth int
	Complete             bool     // all states within the bounds were visited
	Held                 int      // number of times that a lease was acquired: an exploration with none proves nothing
	Counterexample       []string // steps that led to a violation; nil: there is none
}

const members = 3

var names = [members]string{"a", "b", "c"}

const leaseName = "x"

// inFlight is a message in flight.
type inFlight struct {
	from, to uint8
	message  lease.Message
	digest   uint64
}

// activity is work under a lease on a member's machine. It outlives the member's process and depends only on the machine's clock.
type activity struct {
	fence uint64
	until float64 // end by the machine's clock
}

type world struct {
	tick       int
	cores      [members]*lease.Machine // nil: crashed
	boots      [members]uint64
	activities [members][]activity
	wants      [members]bool
	disks      [members][]lease.Record
	unstored   [members][]lease.Store // written, not yet reported durable
	inFlight   []inFlight
	duplicates int
	crashes    int
	drops      int
}

type node struct {
	parent *node
	step   string
}

// explorer visits the states within the bounds.
type explorer struct {
	bounds  Bounds
	visited map[uint64]struct{}
	result  Result
	hash    hash.Hash64
	fail    *node
}

func noRandom() float64 { return 0.5 }

// Explore visits every state within the bounds, depth first, and stops at the first that violates the invariant.
func Explore(bounds Bounds) Result {
	e := &explorer{bounds: bounds, visited: map[uint64]struct{}{}, hash: xxhash.New()}
	w := &world{duplicates: bounds.Twice, crashes: bounds.Crashes, drops: bounds.Drops}
	for i := range members {
		w.boots[i] = 1
		w.cores[i] = e.newCore(i, 1, nil)
		e.step(w, i, nil)
	}
	w.tick = bounds.Wait
	w.wants[0] = true
	e.step(w, 0, []lease.Input{lease.Want{Lease: leaseName, On: true}})
	type entry struct {
		w *world
		n *node
		d int
	}
	// Depth first with a stack: states are large, and breadth first would keep the widest layer in memory.
	stack := []entry{{w, &node{}, 0}}
	e.visit(w)
	e.result.Complete = true
	for len(stack) > 0 && e.fail == nil {
		x := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		e.result.Depth = max(e.result.Depth, x.d)
		if bounds.States > 0 && e.result.States >= bounds.States {
			e.result.Complete = false
			break
		}
		e.successors(x.w, func(step string, v *world) {
			e.result.Steps++
			n := &node{x.n, step}
			if conflict := e.conflict(v); conflict != "" {
				e.fail = &node{n, conflict}
				return
			}
			if e.visit(v) {
				stack = append(stack, entry{v, n, x.d + 1})
			}
		})
	}
	if e.fail != nil {
		e.result.Complete = false
		for n := e.fail; n.parent != nil; n = n.parent {
			e.result.Counterexample = append(e.result.Counterexample, n.step)
		}
		slices.Reverse(e.result.Counterexample)
	}
	return e.result
}

// newCore starts a new process of a member. Its epoch floor is above all epochs granted within the bounds, as one taken from a wall clock would be.
func (e *explorer) newCore(i int, boot uint64, disk []lease.Record) *lease.Machine {
	c := lease.New(names[i], boot, names[:], lease.Rules{Drift: e.bounds.Drift, MaxTerm: e.bounds.Term, MaxLeases: 1,
		Fixed: []lease.Spec{{Name: leaseName, Term: e.bounds.Term}}}, 2*(boot-1), noRandom)
	if e.bounds.Disk {
		c.Restore(disk, true)
	}
	return c
}

func (e *explorer) clock(w *world, i int) float64 {
	return float64(w.tick) * e.bounds.Tick * e.bounds.Rates[i]
}

// step steps a member's core and applies its outputs.
func (e *explorer) step(w *world, i int, in []lease.Input) {
	for again := true; again; {
		again = false
		for _, o := range w.cores[i].Step(e.clock(w, i), in) {
			switch v := o.(type) {
			case lease.Send:
				for _, m := range v.Messages {
					w.inFlight = append(w.inFlight, e.newMessage(uint8(i), uint8(slices.Index(names[:], v.To)), m))
				}
				for len(w.inFlight) > e.bounds.Flying {
					w.inFlight = w.inFlight[1:]
				}
			case lease.Store:
				w.unstored[i] = append(w.unstored[i], v)
				again = !e.bounds.Slow
			case lease.Held:
				e.result.Held++
				w.activities[i] = append(slices.Clip(w.activities[i]), activity{v.Fence, v.Until})
			case lease.Renewed:
				w.extendActivity(i, v.Fence, v.Until)
			case lease.Noted:
				w.extendActivity(i, v.Fence, v.Until)
			case lease.Lost:
				// The work is asked to stop, and ends by its own clock at the latest.
			}
		}
		in = nil
		if again {
			in = []lease.Input{w.storePending(i)}
		}
	}
}

func (w *world) extendActivity(i int, fence uint64, until float64) {
	w.activities[i] = slices.Clone(w.activities[i])
	for k, a := range w.activities[i] {
		if a.fence == fence {
			w.activities[i][k].until = max(a.until, until)
		}
	}
}

// storePending makes the pending records of a member durable.
func (w *world) storePending(i int) lease.Input {
	var upto uint64
	w.disks[i] = slices.Clone(w.disks[i])
	for _, s := range w.unstored[i] {
		w.disks[i], upto = append(w.disks[i], s.Record), s.Number
	}
	w.unstored[i] = nil
	return lease.Stored{Upto: upto}
}

func (e *explorer) newMessage(from, to uint8, m lease.Message) inFlight {
	e.hash.Reset()
	m.Digest(e.hash)
	e.hash.Write([]byte{from, to})
	return inFlight{from, to, m, e.hash.Sum64()}
}

// conflict describes the activities that run at the same time, or returns "" if there is at most one.
func (e *explorer) conflict(w *world) string {
	var running []string
	for i, all := range w.activities {
		for _, a := range all { // activities of earlier processes count too
			if e.clock(w, i) < a.until {
				running = append(running, fmt.Sprintf("%s under %d", names[i], a.fence))
			}
		}
	}
	if len(running) < 2 {
		return ""
	}
	return fmt.Sprintf("at %.0f ms two members consider themselves entitled: %s", float64(w.tick)*e.bounds.Tick, strings.Join(running, ", "))
}

func (w *world) clone(touch int) *world {
	v := *w
	if touch >= 0 && w.cores[touch] != nil {
		v.cores[touch] = w.cores[touch].Clone(noRandom) // the other cores are shared: they do not change in place
	}
	v.inFlight = slices.Clone(w.inFlight)
	for i := range members {
		v.unstored[i] = slices.Clone(w.unstored[i])
	}
	return &v
}

// visit records a state and reports whether it is new.
func (e *explorer) visit(w *world) bool {
	sum := e.digest(w, [members]int{0, 1, 2})
	if e.bounds.Askers == 2 && e.bounds.Rates[0] == e.bounds.Rates[1] {
		sum = min(sum, e.digest(w, [members]int{1, 0, 2})) // the two requesting members are interchangeable
	}
	if _, seen := e.visited[sum]; seen {
		return false
	}
	e.visited[sum] = struct{}{}
	e.result.States++
	return true
}

func (e *explorer) digest(w *world, order [members]int) uint64 {
	h := xxhash.New()
	var at [members]uint8
	for k, i := range order {
		at[i] = uint8(k)
	}
	alias := func(name string) byte {
		if i := slices.Index(names[:], name); i >= 0 {
			return at[i]
		}
		return members
	}
	put := func(all ...uint64) {
		var b [8]byte
		for _, x := range all {
			binary.LittleEndian.PutUint64(b[:], x)
			h.Write(b[:])
		}
	}
	put(uint64(w.tick), uint64(w.duplicates), uint64(w.crashes), uint64(w.drops))
	for _, i := range order {
		now := e.clock(w, i)
		for _, a := range w.activities[i] {
			if now < a.until {
				put(a.fence, uint64(int64(math.Round((a.until-now)*100))))
			}
		}
		requested := uint64(0)
		if w.wants[i] {
			requested = 1
		}
		put(requested, w.boots[i], uint64(len(w.unstored[i])), uint64(len(w.disks[i])))
		if c := w.cores[i]; c != nil {
			c.Digest(h, now, alias)
		} else {
			for _, r := range w.disks[i] { // all that is left of a crashed member
				put(r.Epoch, r.Boot, uint64(alias(r.Holder)))
			}
		}
	}
	var sums []uint64
	for _, f := range w.inFlight {
		g := xxhash.New()
		f.message.Digest(g)
		g.Write([]byte{at[f.from], at[f.to]})
		sums = append(sums, g.Sum64())
	}
	slices.Sort(sums) // messages in flight may arrive in any order
	put(sums...)
	return h.Sum64()
}

// successors calls take for every possible next step.
func (e *explorer) successors(w *world, take func(string, *world)) {
	// A message arrives, or arrives and stays in flight as a duplicate. Only one of identical messages is tried.
	for k, f := range w.inFlight {
		if w.cores[f.to] == nil || slices.ContainsFunc(w.inFlight[:k], func(o inFlight) bool { return o.digest == f.digest }) {
			continue
		}
		for duplicated := 0; duplicated <= min(1, w.duplicates); duplicated++ {
			v := w.clone(int(f.to))
			how := "arrives"
			if duplicated == 0 {
				v.inFlight = slices.Delete(v.inFlight, k, k+1)
			} else {
				v.duplicates--
				how = "arrives and is duplicated"
			}
			e.step(v, int(f.to), []lease.Input{lease.Received{From: names[f.from], Message: f.message}})
			take(fmt.Sprintf("%s from %s %s at %s", describe(f.message), names[f.from], how, names[f.to]), v)
		}
	}
	for i := range members {
		c := w.cores[i]
		if c == nil {
			v := w.clone(-1)
			v.boots[i]++
			v.cores[i] = e.newCore(i, v.boots[i], v.disks[i])
			var in []lease.Input
			if w.wants[i] {
				in = append(in, lease.Want{Lease: leaseName, On: true})
			}
			e.step(v, i, in)
			take(fmt.Sprintf("%s restarts", names[i]), v)
			continue
		}
		if i < e.bounds.Askers && !w.wants[i] {
			v := w.clone(i)
			v.wants[i] = true
			e.step(v, i, []lease.Input{lease.Want{Lease: leaseName, On: true}})
			take(fmt.Sprintf("%s requests the lease", names[i]), v)
		}
		// The member runs what is due. While it does not, it is paused.
		if c.Due() <= e.clock(w, i) {
			v := w.clone(i)
			e.step(v, i, nil)
			take(fmt.Sprintf("%s runs what is due", names[i]), v)
		}
		if len(w.unstored[i]) > 0 {
			v := w.clone(i)
			e.step(v, i, []lease.Input{v.storePending(i)})
			take(fmt.Sprintf("%s's vote is durable", names[i]), v)
		}
		if w.crashes > 0 {
			for persisted := 0; persisted <= min(1, len(w.unstored[i])); persisted++ {
				v := w.clone(-1)
				v.crashes--
				if persisted == 1 {
					v.storePending(i)
				}
				v.cores[i], v.unstored[i] = nil, nil
				take(fmt.Sprintf("%s crashes", names[i]), v)
			}
		}
		if n := len(w.activities[i]); w.drops > 0 && n > 0 && c.Valid(leaseName, w.activities[i][n-1].fence, e.clock(w, i)) {
			v, a := w.clone(i), w.activities[i][n-1]
			v.drops--
			v.activities[i] = w.activities[i][: n-1 : n-1]
			e.step(v, i, []lease.Input{lease.Drop{Lease: leaseName, Fence: a.fence}})
			take(fmt.Sprintf("%s releases the lease", names[i]), v)
		}
	}
	if w.drops > 0 {
		for i := range e.bounds.Askers {
			if c := w.cores[i]; c != nil && c.Campaigning(leaseName) {
				v := w.clone(i)
				v.drops--
				e.step(v, i, []lease.Input{lease.Want{Lease: leaseName}})
				take(fmt.Sprintf("%s withdraws its request", names[i]), v)
			}
		}
	}
	if w.tick < e.bounds.Wait+e.bounds.Ticks {
		v := w.clone(-1)
		v.tick++
		take(fmt.Sprintf("%.0f ms pass", e.bounds.Tick), v)
	}
}

func describe(m lease.Message) string {
	kind := [...]string{"nothing", "a request", "a grant", "a refusal", "a release"}[min(int(m.Kind), 4)]
	return fmt.Sprintf("%s (epoch %d, process %d, no. %d)", kind, m.Epoch, m.Boot, m.Seq)
}
