package core

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/internal/cells"
	"gullstair/internal/quota"
	"gullstair/internal/startsettings"
	"gullstair/logic"
)

// confinedCore returns a core with two sets of four stores and two cells with two holders of each set; a cell may have
// three open scans.
func confinedCore(t *testing.T) (*Core, []Node) {
	flat := map[string]any{"turn": 5.0, "brokers": 1.0, "layout.cells": 2.0, "layout.reach": 1.0, "layout.shards": 2.0, "layout.batch": 4.0,
		"limit.dispatches": 3.0, "limit.cancelling": true, "limit.retryAfter": true, "limit.maxRetryAfter": 900.0, "limit.openCap": 100.0,
		"rules.cold": 1000.0, "rules.fall": 3000.0, "rules.fallMultiple": 2.0, "rules.startCapacity": 0.2, "tableType.count": 1.0,
		"tableType.0.name": "board", "tableType.0.target": 500.0, "tableType.0.timeout": 2000.0, "tableType.0.benefit": 1.0,
		"tableType.0.effect": "replayable", "layout.need.0": 1.0, "layout.floor.0": 1.0, "areas.count": 1.0, "areas.0": "z", "kinds.count": 1.0,
		"kinds.0": "std"}
	settings, err := startsettings.ReadSettings(flat)
	require.NoError(t, err)
	var nodes []Node
	for i := range 8 {
		nodes = append(nodes, Node{Host: fmt.Sprint("s-", i), Addr: "127.0.0.1:1", Zone: "z", Kind: "std", Cell: i % 2, Readiness: logic.Ready, Units: 1})
	}
	c := New(settings, flat, 1, nodes)
	plan := cells.Plan{Cells: []cells.Cell{{Name: "a"}, {Name: "b"}}, Holders: 2, MinHolderShare: 0.6, Pins: map[string]string{"bad": "a", "good": "b"}}
	c.SetCells(plan, map[string]quota.Limits{"a": {Open: 3}, "b": {Open: 3}}, 1000, 900, func() float64 { return 0 })
	c.Step(1000, nil)
	return c, nodes
}

func board(id, account string) *Scan {
	return &Scan{ID: id, Account: account, Text: "t", TimeLeft: 2000, ReceivedAt: 1000, Parts: []ScanPart{{0, 0.5, 10}, {1, 0.5, 10}}}
}

// A tenant that exceeds the limit of its cell is throttled at once with a time to retry; the tenant of the other cell
// is served. Each uses only the stores of its own cell. A client that leaves frees its capacity.
func TestConfined(t *testing.T) {
	c, _ := confinedCore(t)
	var in []Input
	for i := range 10 {
		in = append(in, board(fmt.Sprint("bad", i), "bad"))
	}
	in = append(in, board("good", "good"))
	throttled, hosts := 0, map[string]map[string]bool{"bad": {}, "good": {}}
	for _, o := range c.Step(1005, in) {
		switch v := o.(type) {
		case Reply:
			assert.Equal(t, logic.Throttle, v.Kind)
			assert.Equal(t, "bad", v.Scan.Account)
			assert.Positive(t, v.RetryAfter)
			throttled++
		case Call:
			who := "bad"
			if v.Parts[0].ID[:4] == "good" {
				who = "good"
			}
			hosts[who][v.Host] = true
		}
	}
	assert.Equal(t, 7, throttled)
	assert.Equal(t, 7, c.Counts.CellThrottled)
	for who, cell := range map[string]string{"bad": "a", "good": "b"} {
		assert.NotEmpty(t, hosts[who], who)
		for h := range hosts[who] {
			assert.True(t, c.guard.moves.Map.Stores(cell)[h], "%s of cell %s on %s", who, cell, h)
		}
	}
	first := in[0].(*Scan)
	c.Step(1010, []Input{ClientLeft{first}, board("again", "bad")})
	assert.Equal(t, 7, c.Counts.CellThrottled, "its capacity is free again")
	assert.Equal(t, 3, c.Cells()[0].Open)
	c.Step(4000, nil)
	c.Step(4005, nil)
	assert.Zero(t, c.Cells()[0].Open, "all have ended")
	assert.Zero(t, c.Cells()[1].Open)
}

// A cell that loses its stores refuses scans and the other cell is not affected; without any list no cell exists.
func TestLostCell(t *testing.T) {
	c, nodes := confinedCore(t)
	gone := c.guard.moves.Map.Holders("a", 0)[0]
	for i := range nodes {
		if nodes[i].Host == gone {
			nodes[i].Readiness = logic.Gone
		}
	}
	c.Step(1010, []Input{List{Kind: logic.ListFull, Nodes: nodes}})
	var replies []string
	for _, o := range c.Step(1015, []Input{board("x", "bad"), board("y", "good")}) {
		if r, is := o.(Reply); is {
			replies = append(replies, r.Scan.ID+" "+r.Why)
		}
	}
	want := []string{"x the cell has lost most of its stores"}
	if c.guard.moves.Map.Stores("b")[gone] {
		want = append(want, "y the cell has lost most of its stores")
	}
	assert.Equal(t, want, replies)
	assert.True(t, c.Cells()[0].Lost)
	empty := New(c.settings, nil, 1, nil)
	empty.SetCells(cells.Plan{Cells: []cells.Cell{{Name: "a"}}}, map[string]quota.Limits{"a": {}}, 0, 0, func() float64 { return 0 })
	out := step(empty, 1000, board("x", "t"))
	require.Len(t, out, 1)
	assert.Contains(t, out[0].(Reply).Why, "no cell can be laid out")
}

// openLimiter limits the number of open scans over all cells and tenants.
type openLimiter struct{ open, maxOpen, done int }

func (l *openLimiter) Take(account, cell string, work, lasts float64) LimitDecision {
	if l.open >= l.maxOpen {
		return LimitDecision{Why: "the fleet's limit few", RetryAfter: 300}
	}
	l.open++
	return LimitDecision{Admitted: true}
}

func (l *openLimiter) Retry(account, cell string, work, lasts float64) LimitDecision {
	return l.Take(account, cell, work, lasts)
}

func (l *openLimiter) FleetBudget() float64 { return math.Inf(1) }
func (l *openLimiter) TakeFurther() bool    { return true }

func (l *openLimiter) Done(account, cell string, work float64) { l.open, l.done = l.open-1, l.done+1 }

// A scan that exceeds the shared limits is throttled at once and its cell's capacity is released; Done is called once for
// an admitted scan, however it ends.
func TestLimited(t *testing.T) {
	c, _ := confinedCore(t)
	l := &openLimiter{maxOpen: 2}
	c.SetLimiter(l)
	var in []Input
	for i := range 5 {
		in = append(in, board(fmt.Sprint("q", i), "bad"))
	}
	throttled := 0
	for _, o := range c.Step(1005, in) {
		if v, is := o.(Reply); is {
			assert.Equal(t, logic.Throttle, v.Kind)
			assert.Equal(t, "the fleet's limit few", v.Why)
			assert.Equal(t, 300.0, v.RetryAfter)
			throttled++
		}
	}
	assert.Equal(t, 3, throttled)
	assert.Equal(t, 3, c.Counts.LimitThrottled)
	assert.Equal(t, 2, c.Cells()[0].Open, "refused scans hold no capacity of the cell")
	c.Step(1010, []Input{ClientLeft{in[0].(*Scan)}})
	assert.Equal(t, openLimiter{1, 2, 1}, *l)
	c.Step(4000, nil)
	c.Step(4005, nil)
	assert.Equal(t, openLimiter{0, 2, 2}, *l)
}

// budgetLimiter is an openLimiter with a retry budget.
type budgetLimiter struct {
	openLimiter
	left     float64
	requests int
}

func (l *budgetLimiter) FleetBudget() float64 { return l.left }
func (l *budgetLimiter) TakeFurther() bool {
	if l.requests++; l.left < 1 {
		return false
	}
	l.left--
	return true
}

// A failed part is dispatched again only within the fleet's retry budget. A scan that cannot be answered without more
// budget ends at once, and the need for more budget is reported.
func TestFurtherBudget(t *testing.T) {
	for left, want := range map[float64]int{0: 0, 1: 0, 2: 2} {
		c, _ := confinedCore(t)
		l := &budgetLimiter{openLimiter: openLimiter{maxOpen: 9}, left: left}
		c.SetLimiter(l)
		sent, answered := 0, 0
		play := func(now float64, in ...Input) (refs []int64) {
			for _, o := range c.Step(now, in) {
				switch v := o.(type) {
				case Call:
					for _, p := range v.Parts {
						sent++
						refs = append(refs, p.Ref)
					}
				case Reply:
					answered++
				}
			}
			return refs
		}
		refs := play(1010, board("x", "good"))
		first := len(refs)
		require.Positive(t, first)
		for now := 1020.0; now < 1200 && answered == 0; now += 5 {
			var in []Input
			for _, r := range refs {
				in = append(in, Ended{Ref: r, Reason: AnsweredError, At: now})
			}
			refs = play(now, in...)
		}
		assert.Equal(t, want, sent-first, "with %v left", left)
		assert.Positive(t, l.requests)
		if left < 2 {
			assert.Equal(t, 1, answered, "at once")
		}
		if left < 2 { // a budget of one would not save the scan and is not spent
			assert.Positive(t, c.Counts.BudgetDenied)
		}
	}
}

// queueingLimiter queues the scans that it does not admit.
type queueingLimiter struct{ openLimiter }

func (l *queueingLimiter) Take(account, cell string, work, lasts float64) LimitDecision {
	v := l.openLimiter.Take(account, cell, work, lasts)
	v.Wait = 25
	return v
}

// A queued scan is admitted when tokens arrive, throttled when its wait is over, and dropped when its client leaves. It
// holds capacity of its cell only while it is queued.
func TestQueuedScans(t *testing.T) {
	c, _ := confinedCore(t)
	l := &queueingLimiter{}
	c.SetLimiter(l)
	play := func(now float64, in ...Input) (replies, calls int) {
		for _, o := range c.Step(now, in) {
			switch v := o.(type) {
			case Reply:
				replies++
				assert.Contains(t, []string{"the fleet's limit few", "stopping"}, v.Why)
			case Call:
				calls++
			}
		}
		return replies, calls
	}
	gone := board("z", "good")
	replies, calls := play(1010, board("x", "good"), board("y", "good"), gone)
	assert.Zero(t, replies+calls, "all are queued")
	l.maxOpen = 1
	replies, calls = play(1015, LimitsChanged{}, ClientLeft{gone})
	assert.Zero(t, replies)
	assert.Positive(t, calls, "one is admitted")
	replies, _ = play(1034)
	assert.Zero(t, replies)
	replies, _ = play(1036)
	assert.Equal(t, 1, replies, "the second is throttled, the third has left")
	assert.Empty(t, c.queued)
	open := 0
	for _, v := range c.Cells() {
		open += v.Open
	}
	assert.Equal(t, 1, open, "the cells count only the open scan")
	c.Step(1040, []Input{board("w", "good")})
	replies, _ = play(1041, Shutdown{})
	assert.Equal(t, 2, replies, "every scan gets a reply")
}
