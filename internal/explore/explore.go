// Package explore plays the real core of package lease in every way that a bounded world allows: each order of delivery, messages lost,
// late and twice, clocks at both ends of their drift, members that stand still, crash and start again, with a disk and without, while work
// goes on. States are hashed and visited once. What must hold in all of them: at no moment of true time do two machines both hold
// themselves entitled to act under one lease.
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

// Bounds are of one exploration. Times are ms of true time.
type Bounds struct {
	Name    string
	Askers  int       // of three members, so many ask
	Rates   []float64 // of the members' clocks
	Drift   float64   // what the cores are told of them
	Term    float64
	Tick    float64 // time passes in such steps
	Ticks   int
	Flying  int  // messages under way at once; the oldest one is lost when there are more
	Twice   int  // messages that come twice
	Crashes int  // members that crash; each starts again at some tick after it, or not
	Disk    bool // votes are stored before they are told
	Slow    bool // disks take a step of their own; else what is stored lasts at once
	Drops   int  // leases given up by their holder, with its work over, or tries given up by who asks
	Wait    int  // ticks before anybody asks, in which nothing else happens: voters without disks grant nothing at first
	States  int  // most states to visit; 0: no bound
}

// Result is what was seen.
type Result struct {
	States, Steps, Depth int
	Whole                bool     // all states within the bounds were visited
	Held                 int      // times that a lease came to be held: an exploration without is worth nothing
	Trail                []string // what led to two that hold themselves entitled; nil: nothing does
}

const members = 3

var names = [members]string{"a", "b", "c"}

const leaseName = "x"

// flying is a message under way.
type flying struct {
	from, to uint8
	m        lease.Message
	sum      uint64
}

// act is work under a lease on a member's machine. It outlives the member's process and looks at the machine's clock alone.
type act struct {
	fence uint64
	until float64 // by the machine's clock; past: nothing goes on
}

type world struct {
	tick    int
	cores   [members]*lease.Core // nil: it has crashed
	boots   [members]uint64
	acts    [members][]act
	asked   [members]bool
	disks   [members][]lease.Record
	todo    [members][]lease.Store // written, not yet known to last
	air     []flying
	twice   int
	crashes int
	drops   int
}

type node struct {
	parent *node
	step   string
}

// Explorer visits the states within bounds.
type explorer struct {
	b    Bounds
	seen map[uint64]struct{}
	r    Result
	hash hash.Hash64
	fail *node
}

func chance() float64 { return 0.5 }

// Explore visits every state that the bounds allow, the shortest ways first in time, and ends at the first in which two hold themselves
// entitled.
func Explore(b Bounds) Result {
	e := &explorer{b: b, seen: map[uint64]struct{}{}, hash: xxhash.New()}
	w := &world{twice: b.Twice, crashes: b.Crashes, drops: b.Drops}
	for i := range members {
		w.boots[i] = 1
		w.cores[i] = e.core(i, 1, nil)
		e.do(w, i, nil)
	}
	w.tick = b.Wait
	w.asked[0] = true
	e.do(w, 0, []lease.Input{lease.Want{Lease: leaseName, On: true}})
	type entry struct {
		w *world
		n *node
		d int
	}
	// Depth first: a stack, since whole states are large and the widest layer is not kept.
	stack := []entry{{w, &node{}, 0}}
	e.mark(w)
	e.r.Whole = true
	for len(stack) > 0 && e.fail == nil {
		x := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		e.r.Depth = max(e.r.Depth, x.d)
		if b.States > 0 && e.r.States >= b.States {
			e.r.Whole = false
			break
		}
		e.next(x.w, func(step string, v *world) {
			e.r.Steps++
			n := &node{x.n, step}
			if two := e.two(v); two != "" {
				e.fail = &node{n, two}
				return
			}
			if e.mark(v) {
				stack = append(stack, entry{v, n, x.d + 1})
			}
		})
	}
	if e.fail != nil {
		e.r.Whole = false
		for n := e.fail; n.parent != nil; n = n.parent {
			e.r.Trail = append(e.r.Trail, n.step)
		}
		slices.Reverse(e.r.Trail)
	}
	return e.r
}

// core is a new process of a member. Its floor is above what was granted at the bounds at hand, as a wall clock's time would be.
func (e *explorer) core(i int, boot uint64, disk []lease.Record) *lease.Core {
	c := lease.New(names[i], boot, names[:], lease.Rules{Drift: e.b.Drift, Longest: e.b.Term, Most: 1,
		Fixed: []lease.Terms{{Name: leaseName, Term: e.b.Term}}}, 2*(boot-1), chance)
	if e.b.Disk {
		c.Restore(disk, true)
	}
	return c
}

func (e *explorer) clock(w *world, i int) float64 { return float64(w.tick) * e.b.Tick * e.b.Rates[i] }

// do steps a member's core and takes what comes out.
func (e *explorer) do(w *world, i int, in []lease.Input) {
	for again := true; again; {
		again = false
		for _, o := range w.cores[i].Step(e.clock(w, i), in) {
			switch v := o.(type) {
			case lease.Send:
				for _, m := range v.Messages {
					w.air = append(w.air, e.fly(uint8(i), uint8(slices.Index(names[:], v.To)), m))
				}
				for len(w.air) > e.b.Flying {
					w.air = w.air[1:]
				}
			case lease.Store:
				w.todo[i] = append(w.todo[i], v)
				again = !e.b.Slow
			case lease.Held:
				e.r.Held++
				w.acts[i] = append(slices.Clip(w.acts[i]), act{v.Fence, v.Until})
			case lease.Renewed:
				w.extend(i, v.Fence, v.Until)
			case lease.Noted:
				w.extend(i, v.Fence, v.Until)
			case lease.Lost:
				// Its work is told to end, and ends by its own clock at the latest.
			}
		}
		in = nil
		if again {
			in = []lease.Input{w.last(i)}
		}
	}
}

func (w *world) extend(i int, fence uint64, until float64) {
	w.acts[i] = slices.Clone(w.acts[i])
	for k, a := range w.acts[i] {
		if a.fence == fence {
			w.acts[i][k].until = max(a.until, until)
		}
	}
}

// last makes what a member's disk was given last.
func (w *world) last(i int) lease.Input {
	var upto uint64
	w.disks[i] = slices.Clone(w.disks[i])
	for _, s := range w.todo[i] {
		w.disks[i], upto = append(w.disks[i], s.Record), s.Number
	}
	w.todo[i] = nil
	return lease.Stored{Upto: upto}
}

func (e *explorer) fly(from, to uint8, m lease.Message) flying {
	e.hash.Reset()
	m.Digest(e.hash)
	e.hash.Write([]byte{from, to})
	return flying{from, to, m, e.hash.Sum64()}
}

// two says whose work goes on at one time.
func (e *explorer) two(w *world) string {
	var on []string
	for i, all := range w.acts {
		for _, a := range all { // of an earlier process of the same member too
			if e.clock(w, i) < a.until {
				on = append(on, fmt.Sprintf("%s under %d", names[i], a.fence))
			}
		}
	}
	if len(on) < 2 {
		return ""
	}
	return fmt.Sprintf("at %.0f ms two hold themselves entitled: %s", float64(w.tick)*e.b.Tick, strings.Join(on, ", "))
}

func (w *world) clone(touch int) *world {
	v := *w
	if touch >= 0 && w.cores[touch] != nil {
		v.cores[touch] = w.cores[touch].Clone(chance) // cores that no step touches are shared: none changes in place
	}
	v.air = slices.Clone(w.air)
	for i := range members {
		v.todo[i] = slices.Clone(w.todo[i])
	}
	return &v
}

// mark says whether a state is new.
func (e *explorer) mark(w *world) bool {
	sum := e.digest(w, [members]int{0, 1, 2})
	if e.b.Askers == 2 && e.b.Rates[0] == e.b.Rates[1] {
		sum = min(sum, e.digest(w, [members]int{1, 0, 2})) // the two that ask are alike: what one may do the other may
	}
	if _, met := e.seen[sum]; met {
		return false
	}
	e.seen[sum] = struct{}{}
	e.r.States++
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
	put(uint64(w.tick), uint64(w.twice), uint64(w.crashes), uint64(w.drops))
	for _, i := range order {
		now := e.clock(w, i)
		for _, a := range w.acts[i] {
			if now < a.until {
				put(a.fence, uint64(int64(math.Round((a.until-now)*100))))
			}
		}
		asked := uint64(0)
		if w.asked[i] {
			asked = 1
		}
		put(asked, w.boots[i], uint64(len(w.todo[i])), uint64(len(w.disks[i])))
		if c := w.cores[i]; c != nil {
			c.Digest(h, now, alias)
		} else {
			for _, r := range w.disks[i] { // all that is left of it
				put(r.Epoch, r.Boot, uint64(alias(r.Holder)))
			}
		}
	}
	var sums []uint64
	for _, f := range w.air {
		g := xxhash.New()
		f.m.Digest(g)
		g.Write([]byte{at[f.from], at[f.to]})
		sums = append(sums, g.Sum64())
	}
	slices.Sort(sums) // what is under way may arrive in any order
	put(sums...)
	return h.Sum64()
}

// next takes every step that can follow.
func (e *explorer) next(w *world, take func(string, *world)) {
	// A message arrives, or arrives and is still under way. Of those that are alike one is tried.
	for k, f := range w.air {
		if w.cores[f.to] == nil || slices.ContainsFunc(w.air[:k], func(o flying) bool { return o.sum == f.sum }) {
			continue
		}
		for again := 0; again <= min(1, w.twice); again++ {
			v := w.clone(int(f.to))
			how := "arrives"
			if again == 0 {
				v.air = slices.Delete(v.air, k, k+1)
			} else {
				v.twice--
				how = "arrives and will again"
			}
			e.do(v, int(f.to), []lease.Input{lease.Received{From: names[f.from], Message: f.m}})
			take(fmt.Sprintf("%s from %s %s at %s", word(f.m), names[f.from], how, names[f.to]), v)
		}
	}
	for i := range members {
		c := w.cores[i]
		if c == nil {
			v := w.clone(-1)
			v.boots[i]++
			v.cores[i] = e.core(i, v.boots[i], v.disks[i])
			var in []lease.Input
			if w.asked[i] {
				in = append(in, lease.Want{Lease: leaseName, On: true})
			}
			e.do(v, i, in)
			take(fmt.Sprintf("%s starts again", names[i]), v)
			continue
		}
		if i < e.b.Askers && !w.asked[i] {
			v := w.clone(i)
			v.asked[i] = true
			e.do(v, i, []lease.Input{lease.Want{Lease: leaseName, On: true}})
			take(fmt.Sprintf("%s begins to ask", names[i]), v)
		}
		// It takes its turn, or stands still for as long as it takes none.
		if c.Due() <= e.clock(w, i) {
			v := w.clone(i)
			e.do(v, i, nil)
			take(fmt.Sprintf("%s takes its turn", names[i]), v)
		}
		if len(w.todo[i]) > 0 {
			v := w.clone(i)
			e.do(v, i, []lease.Input{v.last(i)})
			take(fmt.Sprintf("%s's disk has its vote", names[i]), v)
		}
		if w.crashes > 0 {
			for lasts := 0; lasts <= min(1, len(w.todo[i])); lasts++ {
				v := w.clone(-1)
				v.crashes--
				if lasts == 1 {
					v.last(i)
				}
				v.cores[i], v.todo[i] = nil, nil
				take(fmt.Sprintf("%s crashes", names[i]), v)
			}
		}
		if n := len(w.acts[i]); w.drops > 0 && n > 0 && c.Valid(leaseName, w.acts[i][n-1].fence, e.clock(w, i)) {
			v, a := w.clone(i), w.acts[i][n-1]
			v.drops--
			v.acts[i] = w.acts[i][: n-1 : n-1]
			e.do(v, i, []lease.Input{lease.Drop{Lease: leaseName, Fence: a.fence}})
			take(fmt.Sprintf("%s gives it up", names[i]), v)
		}
	}
	if w.drops > 0 {
		for i := range e.b.Askers {
			if c := w.cores[i]; c != nil && c.Asking(leaseName) {
				v := w.clone(i)
				v.drops--
				e.do(v, i, []lease.Input{lease.Want{Lease: leaseName}})
				take(fmt.Sprintf("%s asks no more", names[i]), v)
			}
		}
	}
	if w.tick < e.b.Wait+e.b.Ticks {
		v := w.clone(-1)
		v.tick++
		take(fmt.Sprintf("%.0f ms pass", e.b.Tick), v)
	}
}

func word(m lease.Message) string {
	kind := [...]string{"nothing", "an ask", "a grant", "a refusal", "a release"}[min(int(m.Kind), 4)]
	return fmt.Sprintf("%s (epoch %d, process %d, no. %d)", kind, m.Epoch, m.Boot, m.Seq)
}
