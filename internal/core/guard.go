package core

import (
	"maps"
	"math"
	"slices"

	"gullstair/internal/admission"
	"gullstair/internal/cells"
	"gullstair/internal/quota"
	"gullstair/logic"
)

// guard confines scans to the stores of their cells before the module sees them. It is nil without cells; its
// methods then do nothing.
type guard struct {
	plan        cells.Plan
	limits      *quota.Limiter
	sets        int
	coldTime    float64 // how long, in ms, a node counts as cold after its start
	nextCheckAt float64
	admitter    *admission.Admission // nil until a list has a store for every set, since no cell can be built before
	moves       *cells.Moves
}

// checkInterval is how often the cells are evaluated between two lists, in ms, since nodes warm up without a list.
const checkInterval = 1000.0

// SetCells confines all further scans to the cells of a plan, with limits by cell. A node counts as cold for that
// many ms after its start; random returns numbers between 0 and 1.
func (c *Core) SetCells(plan cells.Plan, limits map[string]quota.Limits, coldTime, maxRetryAfter float64, random func() float64) {
	c.guard = &guard{plan: plan, sets: c.settings.Cells, coldTime: coldTime, limits: quota.New(c.settings.OpenCap, maxRetryAfter, limits, random)}
	c.guard.applyNodes(c)
}

// Cells returns the state of the cells; nil without cells.
func (c *Core) Cells() (all []CellView) {
	if c.guard == nil || c.guard.admitter == nil {
		return nil
	}
	lost := c.guard.admitter.LostCells()
	for _, v := range c.guard.limits.Views() {
		all = append(all, CellView{View: v, Lost: slices.Contains(lost, v.Name), Stores: len(c.guard.moves.Map.Stores(v.Name)),
			Version: c.guard.moves.Map.Version})
	}
	return all
}

// CellView is the state of a cell for the control socket.
type CellView struct {
	quota.View
	Lost    bool   `json:"lost"`
	Stores  int    `json:"stores"`
	Version uint64 `json:"version"`
}

func (r *Scan) quotaRequest() quota.Request {
	return quota.Request{Work: r.work, Size: 1 + len(r.Parts)}
}

// admittedByCell reports whether the cell of a scan admits it. If not, the scan has been throttled.
func (c *Core) admittedByCell(r *Scan) bool {
	if c.guard == nil {
		return true
	}
	if c.guard.admitter == nil {
		r.verdict = admission.Verdict{Reason: "no cell can be laid out: some shards have no store"}
	} else {
		r.verdict = c.guard.admitter.Admit(c.now, r.Account, r.quotaRequest())
	}
	if r.verdict.Admitted {
		c.guard.step(c.now, cells.ScanStarted{Version: r.verdict.Version})
		return true
	}
	c.Counts.CellThrottled++
	c.Counts.Throttled++
	c.reportRefusal(r, r.verdict.Reason)
	reply := Reply{Scan: r, Kind: logic.Throttle, Why: r.verdict.Reason}
	if c.settings.RetryAfterAllowed {
		reply.RetryAfter = r.verdict.RetryAfter
	}
	c.emit(reply)
	return false
}

// Limiter applies the limits that this broker shares with others. Its methods do not block. Cell is "" without
// cells; lasts is the longest time, in ms, that the scan stays open.
type Limiter interface {
	Take(account, cell string, work, lasts float64) LimitDecision
	// Retry decides again on a queued scan after LimitsChanged.
	Retry(account, cell string, work, lasts float64) LimitDecision
	Done(account, cell string, work float64)
	// FleetBudget returns how many dispatches beyond the first of each part may be sent now; +Inf means no limit.
	// TakeFurther takes one from it. It is also called for a dispatch that was not sent for lack of budget, so that
	// budget moves to the brokers that need it.
	FleetBudget() float64
	TakeFurther() bool
}

// LimitDecision is the decision of a Limiter on a scan. A scan that is not admitted may be queued for Wait ms until
// another broker lends the missing capacity. No scan is queued twice.
type LimitDecision struct {
	Admitted         bool
	Why              string
	RetryAfter, Wait float64
}

// queuedScan is a scan that waits for capacity of the shared limits.
type queuedScan struct {
	scan  *Scan
	until float64
	LimitDecision
}

const maxQueued = 256

// SetLimiter applies shared limits to all further scans.
func (c *Core) SetLimiter(l Limiter) { c.limiter = l }

// admittedByLimits reports whether the shared limits admit a scan. If not, the scan has been queued, or throttled and
// its cell's capacity released.
func (c *Core) admittedByLimits(r *Scan, left float64) bool {
	if c.limiter == nil {
		return true
	}
	v := c.limiter.Take(r.Account, r.verdict.Cell, r.work, left)
	if v.Admitted {
		r.holdsLimits = true
		return true
	}
	if wait := min(v.Wait, left/10); wait > 0 && len(c.queued) < maxQueued {
		c.queued = append(c.queued, queuedScan{r, c.now + wait, v})
		c.schedule(timer{at: c.now + wait, retryQueued: true})
		return false
	}
	c.throttle(r, v)
	return false
}

// retryQueuedScans retries the queued scans and throttles those whose wait is over.
func (c *Core) retryQueuedScans(limitsChanged bool) {
	queued := c.queued
	c.queued = nil
	for i, w := range queued {
		over := c.now >= w.until
		if !limitsChanged && !over {
			c.queued = append(c.queued, queued[i])
			continue
		}
		left := w.scan.TimeLeft - max(0, c.now-w.scan.ReceivedAt)
		v := c.limiter.Retry(w.scan.Account, w.scan.verdict.Cell, w.scan.work, left)
		switch {
		case v.Admitted && left > 0 && c.byClientID[w.scan.ID] == nil:
			w.scan.holdsLimits = true
			c.admit(w.scan, left)
		case over:
			c.throttle(w.scan, w.LimitDecision)
		default:
			c.queued = append(c.queued, queued[i])
		}
	}
}

// dropQueuedScan removes a queued scan whose client has disconnected and releases the capacity of its cell.
func (c *Core) dropQueuedScan(r *Scan) bool {
	i := slices.IndexFunc(c.queued, func(w queuedScan) bool { return w.scan == r })
	if i < 0 {
		return false
	}
	c.queued = slices.Delete(c.queued, i, i+1)
	c.guard.scanEnded(c.now, r)
	return true
}

// throttle rejects a scan that exceeds the shared limits.
func (c *Core) throttle(r *Scan, v LimitDecision) {
	c.guard.scanEnded(c.now, r)
	r.verdict.Admitted = false
	c.Counts.LimitThrottled++
	c.Counts.Throttled++
	c.reportRefusal(r, v.Why)
	reply := Reply{Scan: r, Kind: logic.Throttle, Why: v.Why}
	if c.settings.RetryAfterAllowed {
		reply.RetryAfter = v.RetryAfter
	}
	c.emit(reply)
}

// addFleetBudget reports the remaining retry budget of the fleet to the module, if there is such a budget.
func (c *Core) addFleetBudget() {
	if c.limiter == nil || len(c.scans) == 0 {
		return
	}
	if left := c.limiter.FleetBudget(); !math.IsInf(left, 1) {
		c.events = append(c.events, logic.Event{Kind: logic.FleetBudgetChanged, Amount: left})
	}
}

func (c *Core) releaseLimits(r *Scan) {
	if r.holdsLimits {
		r.holdsLimits = false
		c.limiter.Done(r.Account, r.verdict.Cell, r.work)
	}
}

// scanEnded releases the capacity that a scan holds in its cell.
func (g *guard) scanEnded(now float64, r *Scan) {
	if g != nil && r.verdict.Admitted {
		g.step(now, g.admitter.ScanEnded(now, r.verdict, r.Account, r.quotaRequest(), now-r.admittedAt)...)
	}
}

// applyNodes passes the nodes of the current list to the cells.
func (g *guard) applyNodes(c *Core) {
	if g == nil {
		return
	}
	var nodes []admission.Node
	for _, num := range slices.Sorted(maps.Keys(c.knownNodes)) {
		at := c.knownNodes[num]
		if at.gone {
			continue
		}
		nodes = append(nodes, admission.Node{Number: num, Name: at.host, Zone: at.zone, Set: at.cell, Ready: at.ready,
			Cold: at.born > 0 && c.now-at.born < g.coldTime})
	}
	if g.admitter == nil {
		var stores []cells.Store
		for _, n := range nodes {
			stores = append(stores, cells.Store{Name: n.Name, Zone: n.Zone, Set: n.Set})
		}
		moves, err := cells.NewMoves(g.plan, stores, g.sets, nil, nil)
		if err != nil {
			return // retried with the next list
		}
		g.moves, g.admitter = moves, admission.New(g.plan, g.sets, moves, g.limits)
	}
	if len(nodes) > 0 {
		g.step(c.now, g.admitter.ApplyList(c.now, nodes)...)
		g.step(c.now, g.admitter.Reevaluate()...)
	}
}

func (g *guard) checkCells(now float64) {
	if g != nil && g.admitter != nil && now >= g.nextCheckAt {
		g.nextCheckAt = now + checkInterval
		g.step(now, g.admitter.Reevaluate()...)
	}
}

// step steps the moves of tenants. The broker has no durable log, so no move is ever started and writes are dropped.
func (g *guard) step(now float64, in ...cells.Input) { g.moves.Step(now, in) }

// reportRefusal reports the tenant of a scan that a limit refused, if brokers share outcomes.
func (c *Core) reportRefusal(r *Scan, why string) {
	if c.reportsOutcomes && r.Account != "" {
		c.emit(ScanRefused{Account: r.Account, Why: why})
	}
}
