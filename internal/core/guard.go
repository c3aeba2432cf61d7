package core

import (
	"maps"
	"math"
	"slices"

	"gullstair/internal/cells"
	"gullstair/internal/confine"
	"gullstair/internal/quota"
	"gullstair/logic"
)

// guard confines scans to their cells before the module sees them. Without cells it is nil and does nothing.
type guard struct {
	plan    cells.Plan
	limits  *quota.Core
	sets    int
	cold    float64 // ms that a node is cold after its start
	lookAt  float64
	confine *confine.Core // nil: the list has had no store for some set so far, and no cell could be laid out
	moves   *cells.Moves
}

// lookEvery is how often cells are looked at between two lists, in ms: nodes get warm by themselves.
const lookEvery = 1000.0

// Confine has scans confined to the cells of a plan from now on, within limits by cell. A node counts as cold for so many
// ms after its start; chance gives numbers from 0 to 1.
func (c *Core) Confine(plan cells.Plan, limits map[string]quota.Limits, cold, longestAfter float64, chance func() float64) {
	c.guard = &guard{plan: plan, sets: c.site.Cells, cold: cold, limits: quota.New(c.site.OpenCap, longestAfter, limits, chance)}
	c.guard.list(c)
}

// Cells is what is seen of the cells; nil without them.
func (c *Core) Cells() (all []CellView) {
	if c.guard == nil || c.guard.confine == nil {
		return nil
	}
	lost := c.guard.confine.Lost()
	for _, v := range c.guard.limits.Views() {
		all = append(all, CellView{View: v, Lost: slices.Contains(lost, v.Name), Stores: len(c.guard.moves.Map.Stores(v.Name)),
			Version: c.guard.moves.Map.Version})
	}
	return all
}

// CellView is what is seen of a cell.
type CellView struct {
	quota.View
	Lost    bool   `json:"lost"`
	Stores  int    `json:"stores"`
	Version uint64 `json:"version"`
}

func (r *Scan) ask() quota.Ask { return quota.Ask{Work: r.work, Size: 1 + len(r.Parts)} }

// confined says whether a scan's cell takes it; if not it has been throttled, at once.
func (c *Core) confined(r *Scan) bool {
	if c.guard == nil {
		return true
	}
	if c.guard.confine == nil {
		r.held = confine.Verdict{Why: "no cell can be laid out: some shards have no store"}
	} else {
		r.held = c.guard.confine.Take(c.now, r.Account, r.ask())
	}
	if r.held.Taken {
		c.guard.step(c.now, cells.ScanBegun{Version: r.held.Version})
		return true
	}
	c.Counts.Confined++
	c.Counts.Throttled++
	c.heldBack(r, r.held.Why)
	reply := Reply{Scan: r, Kind: logic.Throttle, Why: r.held.Why}
	if c.site.RetryAfterAllowed {
		reply.RetryAfter = r.held.After
	}
	c.do(reply)
	return false
}

// Limiter decides on limits that this broker shares with others, and is told when a scan that it took is over. It decides at once. Cell is "" where
// there are none; lasts is for how long, in ms, the scan is open at most.
type Limiter interface {
	Take(account, cell string, work, lasts float64) Ruling
	// Again is asked for a scan that was to wait, when LimitsMoved has come.
	Again(account, cell string, work, lasts float64) Ruling
	Done(account, cell string, work float64)
	// Left is how many dispatches beyond each part's first may be sent now; +Inf: any number. Further asks for one; also for one that was not sent since there was no
	// room, so that room comes to where it is wanted.
	Left() float64
	Further() bool
}

// Ruling is a limiter's word on a scan. One that was not taken may wait for so many ms, for another broker to give it what it needs; no scan waits twice.
type Ruling struct {
	Taken       bool
	Why         string
	After, Wait float64
}

// waiting is a scan that its limits may still take.
type waiting struct {
	scan  *Scan
	until float64
	Ruling
}

const waitingMost = 256

// Limit has scans taken only within shared limits from now on.
func (c *Core) Limit(l Limiter) { c.limiter = l }

// limited says whether the shared limits take a scan; if not it has been throttled, at once, and its cell has back what it held.
func (c *Core) limited(r *Scan, left float64) bool {
	if c.limiter == nil {
		return true
	}
	v := c.limiter.Take(r.Account, r.held.Cell, r.work, left)
	if v.Taken {
		r.fleet = true
		return true
	}
	if wait := min(v.Wait, left/10); wait > 0 && len(c.waits) < waitingMost {
		c.waits = append(c.waits, waiting{r, c.now + wait, v})
		c.plan(due{at: c.now + wait, waited: true})
		return false
	}
	c.refuse(r, v)
	return false
}

// lookWaiting asks again for the scans that wait, and turns away those that have waited long enough: at once, since nothing more is to be had for them.
func (c *Core) lookWaiting(moved bool) {
	waits := c.waits
	c.waits = nil
	for i, w := range waits {
		over := c.now >= w.until
		if !moved && !over {
			c.waits = append(c.waits, waits[i])
			continue
		}
		left := w.scan.TimeLeft - max(0, c.now-w.scan.At)
		v := c.limiter.Again(w.scan.Account, w.scan.held.Cell, w.scan.work, left)
		switch {
		case v.Taken && left > 0 && c.ids[w.scan.ID] == nil:
			w.scan.fleet = true
			c.admit(w.scan, left)
		case over:
			c.refuse(w.scan, w.Ruling)
		default:
			c.waits = append(c.waits, waits[i])
		}
	}
}

// forgetWaiting drops a scan that waits, since its client has gone; it gives back its cell's place.
func (c *Core) forgetWaiting(r *Scan) bool {
	i := slices.IndexFunc(c.waits, func(w waiting) bool { return w.scan == r })
	if i < 0 {
		return false
	}
	c.waits = slices.Delete(c.waits, i, i+1)
	c.guard.ended(c.now, r)
	return true
}

// refuse throttles a scan that the shared limits don't take.
func (c *Core) refuse(r *Scan, v Ruling) {
	c.guard.ended(c.now, r)
	r.held.Taken = false
	c.Counts.Limited++
	c.Counts.Throttled++
	c.heldBack(r, v.Why)
	reply := Reply{Scan: r, Kind: logic.Throttle, Why: v.Why}
	if c.site.RetryAfterAllowed {
		reply.RetryAfter = v.After
	}
	c.do(reply)
}

// budgeted tells the module what the fleet's budget of further dispatches leaves it, where there is one.
func (c *Core) budgeted() {
	if c.limiter == nil || len(c.scans) == 0 {
		return
	}
	if left := c.limiter.Left(); !math.IsInf(left, 1) {
		c.events = append(c.events, logic.Event{Kind: logic.FurtherLeft, Amount: left})
	}
}

func (c *Core) unlimit(r *Scan) {
	if r.fleet {
		r.fleet = false
		c.limiter.Done(r.Account, r.held.Cell, r.work)
	}
}

// ended gives back what a scan held of its cell.
func (g *guard) ended(now float64, r *Scan) {
	if g != nil && r.held.Taken {
		g.step(now, g.confine.Ended(now, r.held, r.Account, r.ask(), now-r.began)...)
	}
}

// list takes up the nodes that are on the list now.
func (g *guard) list(c *Core) {
	if g == nil {
		return
	}
	var nodes []confine.Node
	for _, num := range slices.Sorted(maps.Keys(c.hosts)) {
		at := c.hosts[num]
		if at.gone {
			continue
		}
		nodes = append(nodes, confine.Node{Number: num, Name: at.host, Zone: at.zone, Set: at.cell, Ready: at.ready,
			Cold: at.born > 0 && c.now-at.born < g.cold})
	}
	if g.confine == nil {
		var stores []cells.Store
		for _, n := range nodes {
			stores = append(stores, cells.Store{Name: n.Name, Zone: n.Zone, Set: n.Set})
		}
		moves, err := cells.NewMoves(g.plan, stores, g.sets, nil, nil)
		if err != nil {
			return // with a later list, maybe
		}
		g.moves, g.confine = moves, confine.New(g.plan, g.sets, moves, g.limits)
	}
	if len(nodes) > 0 {
		g.step(c.now, g.confine.List(c.now, nodes)...)
		g.step(c.now, g.confine.Look()...)
	}
}

func (g *guard) look(now float64) {
	if g != nil && g.confine != nil && now >= g.lookAt {
		g.lookAt = now + lookEvery
		g.step(now, g.confine.Look()...)
	}
}

// step steps the moves. Without a log that lasts there are none, and what they want written is left.
func (g *guard) step(now float64, in ...cells.Input) { g.moves.Step(now, in) }

// heldBack tells whom a limit turns away, where that is shared.
func (c *Core) heldBack(r *Scan, why string) {
	if c.judges && r.Account != "" {
		c.do(HeldBack{Account: r.Account, Why: why})
	}
}
