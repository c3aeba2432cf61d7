package logic

import (
	"math"
	"math/bits"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestCover(t *testing.T) {
	wide := map[string]any{"layout.cells": 33.0, "layout.shards": 66.0}
	many := make([]int, 26)
	for i := range many {
		many[i] = 25 + i
	}
	sets := map[string]any{"layout.reach": 1.0}
	for _, c := range []struct {
		name    string
		changes map[string]any
		list    []Entry
		shards  []int
		most    int // most nodes in the cover
		cap     int // most parts at one node
	}{
		{"neighbours share a node", nil, ringOfNodes(4), []int{0, 1}, 1, 2},
		{"all shards on half the ring", nil, ringOfNodes(4), []int{0, 1, 2, 3, 4, 5, 6, 7}, 3, 4},
		{"each set needs a node", sets, ringOfNodes(4), []int{0, 1, 2}, 3, 1},
		{"two parts of one set share a call", sets, ringOfNodes(4), []int{1, 5}, 1, 2},
		{"no call over the batch", map[string]any{"layout.batch": 2.0}, ringOfNodes(4), []int{0, 1, 4, 5}, 3, 2},
		{"a wide scan also gets a small cover (incident i58f0d7)", wide, ringOfNodes(33), many, 14, 3},
	} {
		r := startBroker(t, c.changes, c.list)
		sent := filterActions(r.step(1, scanEvents(1, 0, 6000, c.shards...)...), Dispatch)
		assert.Len(t, sent, len(c.shards), c.name)
		assert.LessOrEqual(t, len(dispatchesByNode(sent)), c.most, c.name)
		cells, reach := int(r.b.num("layout.cells")), int(r.b.num("layout.reach"))
		for i, a := range sent {
			from := c.shards[a.ID-1001] % cells
			assert.Less(t, (int(a.Node)-100-from+cells)%cells, reach, "%s: part %d to a holder", c.name, i)
			assert.LessOrEqual(t, dispatchesByNode(sent)[a.Node], c.cap, c.name)
		}
	}
}

func TestLeastLoad(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(r *testBroker)
		avoid  int64
	}{
		{"outstanding work", func(r *testBroker) { r.step(1, scanEvents(9, 0, 6000, 0)...) }, 100},
		{"slow answers", func(r *testBroker) {
			r.step(1, scanEvents(9, 0, 6000, 0)...)
			r.step(400, r.dispatchEnded(9001, 0, Completed, 1500))
		}, 100},
		{"fast failures, which make it look idle", func(r *testBroker) {
			for i := int64(10); i < 14; i++ {
				for _, a := range filterActions(r.step(1, scanEvents(i, 2, 6000, 0)...), Dispatch) {
					if how := Completed; a.Node == 100 {
						how = Errored
						r.step(1, r.dispatchEnded(a.ID, 0, how, 1))
					} else {
						r.step(1, r.dispatchEnded(a.ID, 0, how, 150))
					}
				}
			}
		}, 100},
	} {
		r := startBroker(t, nil, ringOfNodes(4))
		c.before(r)
		for _, a := range filterActions(r.step(1, scanEvents(1, 0, 6000, 0)...), Dispatch) {
			assert.NotEqual(t, c.avoid, a.Node, c.name)
		}
	}
}

func TestResend(t *testing.T) {
	for _, c := range []struct {
		name  string
		typ   int
		how   Outcome
		wait  float64
		again bool
		final ActionKind // if it is not sent again, or at the end
	}{
		{"replayable after an error", 0, Errored, 10, true, Throttle},
		{"keyed within its window", 1, Severed, 900, true, Abandon},
		{"keyed past its window", 1, Severed, 1100, false, Abandon},
		{"keyed past its window, never run", 1, Saturated, 1100, true, Throttle},
		{"non-replayable that may have run", 2, Errored, 10, false, Abandon},
		{"non-replayable that may still be running", 2, Recalled, 10, false, Abandon},
		{"non-replayable, refused connection", 2, ConnRefused, 10, true, Throttle},
		{"non-replayable, full node", 2, Saturated, 10, true, Throttle},
		{"non-replayable, never sent", 2, Superseded, 10, true, Throttle},
	} {
		r := startBroker(t, nil, ringOfNodes(4))
		r.step(1, scanEvents(1, c.typ, 6000, 0)...)
		again := filterActions(r.step(c.wait, r.dispatchEnded(1001, 0, c.how, c.wait)), Dispatch)
		require.Equal(t, c.again, len(again) == 1, c.name)
		for n := 1; n < 3; n++ { // every further dispatch ends the same way
			r.step(c.wait, r.dispatchEnded(1001, n, c.how, c.wait))
			r.step(100, timerEvent(1)) // after failures at both holders it waits before the next dispatch
		}
		assert.LessOrEqual(t, len(filterActions(r.actions, Dispatch)), 3, "%s: dispatches for a part", c.name)
		if require.Len(t, r.finalAnswers(1), 1, c.name); true {
			assert.Equal(t, c.final, r.finalAnswers(1)[0].Kind, c.name)
			assert.Equal(t, c.final == Throttle, r.finalAnswers(1)[0].After == 800, "%s: retry time", c.name)
		}
	}
}

func TestLateParts(t *testing.T) {
	for _, c := range []struct {
		name     string
		changes  map[string]any
		typ      int
		answered bool // a part of the scan has just been answered
		copies   int
		recalls  int
	}{
		{"a second copy", nil, 0, false, 2, 0},
		{"no copy while answers of the scan still arrive: copies added to an overload", nil, 0, true, 0, 0},
		{"a recall first where second copies are not allowed", map[string]any{"limit.secondCopies": false}, 0, false, 0, 2},
		{"neither, where recalls are not allowed either",
			map[string]any{"limit.secondCopies": false, "limit.cancelling": false}, 0, false, 0, 0},
		{"never for a part that may not run twice", nil, 2, false, 0, 0},
		{"not beyond a retry budget", map[string]any{"rules.budgetWindow": 10000.0,
			"rules.spareDispatches": 0.0, "rules.spareShare": 0.1}, 0, false, 0, 0},
		{"within a retry budget", map[string]any{"rules.budgetWindow": 10000.0,
			"rules.spareDispatches": 1.0, "rules.spareShare": 0.0}, 0, false, 1, 0},
	} {
		r := startBroker(t, c.changes, ringOfNodes(2)) // both hold shard 0
		r.step(1, scanEvents(1, c.typ, 6000, 0, 0)...)
		r.step(1, scanEvents(2, 0, 6000, 0)...) // goes to the other node, which answers
		r.step(100, r.dispatchEnded(2001, 0, Completed, 100))
		acts, waits := []Action{}, []float64{1300, 200, 200}
		if c.answered {
			acts, waits = r.step(1300, r.dispatchEnded(1001, 0, Completed, 1400), timerEvent(1)), waits[1:]
		}
		for _, wait := range waits {
			acts = append(acts, r.step(wait, timerEvent(1))...)
		}
		assert.Len(t, filterActions(acts, Dispatch), c.copies, c.name)
		assert.Len(t, filterActions(acts, Recall), c.recalls, c.name)
		if c.recalls > 0 {
			again := filterActions(r.step(5, r.dispatchEnded(1001, 0, Recalled, 1900)), Dispatch)
			assert.Len(t, again, 1, c.name)
		}
	}
}

func TestBudgetWindow(t *testing.T) {
	r := startBroker(t, map[string]any{"rules.budgetWindow": 1000.0, "rules.spareDispatches": 1.0,
		"rules.spareShare": 0.5}, ringOfNodes(4))
	for i := int64(1); i <= 4; i++ { // a scan with its part allows one further dispatch, and one more is free
		r.step(1, scanEvents(i, 0, 6000, 0)...)
	}
	extra := 0
	for n := 0; n < 2; n++ {
		for i := int64(1); i <= 4; i++ {
			extra += len(filterActions(r.step(1, r.dispatchEnded(1000*i+1, n, Errored, 5)), Dispatch))
			extra += len(filterActions(r.step(100, timerEvent(i)), Dispatch)) // back to a holder where it has just failed
		}
	}
	assert.Equal(t, 5, extra, "one free, and half of eight accepted")
	r.step(1000, scanEvents(9, 0, 6000, 0)...)
	assert.Len(t, filterActions(r.step(1, r.dispatchEnded(9001, 0, Errored, 5)), Dispatch), 1, "the window has moved on")
}

func TestList(t *testing.T) {
	one := func(n int64, is Readiness) []Entry {
		return []Entry{{Node: n, Cell: int(n - 100), Readiness: is, Units: 1}}
	}
	for _, c := range []struct {
		name string
		list Event
		gets []int64 // nodes that may get shard 0
	}{
		{"draining", Event{List: ListDelta, Entries: one(100, Draining)}, []int64{101}},
		{"gone", Event{List: ListDelta, Entries: one(101, Gone)}, []int64{100}},
		{"missing from a whole list", Event{List: ListFull, Entries: one(101, Ready)}, []int64{101}},
		{"empty list", Event{List: ListFull}, nil},
		{"failed call: the old list stays", Event{List: ListFailed}, []int64{100, 101}},
	} {
		r := startBroker(t, nil, ringOfNodes(4))
		c.list.Kind = ListArrived
		r.step(1, c.list)
		for i := int64(1); i <= 6; i++ {
			r.step(1, scanEvents(i, 0, 6000, 0)...)
		}
		for n := range dispatchesByNode(r.actions) {
			assert.Contains(t, c.gets, n, c.name)
		}
		assert.Equal(t, len(c.gets), len(dispatchesByNode(r.actions)), c.name)
	}
	r := startBroker(t, nil, nil) // without a list the part waits, and leaves once the list arrives
	r.step(1, append(scanEvents(1, 3, 6000, 0, 99), scanEvents(2, 0, 6000, 0, 99)...)...)
	assert.Empty(t, filterActions(r.actions, Dispatch))
	r.step(50, Event{Kind: ListArrived, List: ListFull, Entries: ringOfNodes(4)})
	assert.Len(t, filterActions(r.step(100, timerEvent(1)), Dispatch), 1, "the part of a shard without a holder keeps waiting")
	assert.Empty(t, filterActions(r.step(1, timerEvent(2)), Dispatch), "a scan that needs a shard without a holder is not started")
	r.step(5850, timerEvent(1), timerEvent(2))
	assert.Len(t, r.finalAnswers(1), 1)
	assert.Equal(t, Throttle, r.finalAnswers(2)[0].Kind, "it still ends")
}

func TestSubscribe(t *testing.T) {
	r := startBroker(t, map[string]any{"discovery": "subscribe"}, ringOfNodes(4))
	assert.Len(t, filterActions(r.actions, Subscribe), 1)
	waits := filterActions(r.step(10, Event{Kind: ListArrived, List: ListFailed}), SetTimer)
	require.Len(t, waits, 1)
	assert.Len(t, filterActions(r.step(waits[0].After, timerEvent(waits[0].Timer)), Subscribe), 1)
}

func TestCold(t *testing.T) {
	list := ringOfNodes(2) // shard 0 on both, shard 1 on node 101 alone
	list[1].Born = 49000
	for _, c := range []struct {
		name   string
		shard  int
		cold   int // most dispatches to node 101 in a window, at 0.28 of one core shared by two brokers
		placed bool
	}{
		{"the warm holder gets the rest", 0, 2, true},
		{"without a warm holder, parts wait", 1, 2, false},
	} {
		r := startBroker(t, map[string]any{"layout.cells": 3.0, "layout.shards": 3.0}, list)
		for i := int64(1); i <= 20; i++ {
			r.step(50, scanEvents(i, 0, 6000, c.shard)...)
		}
		got := dispatchesByNode(r.actions)
		work := 150.0 * float64(got[101])
		assert.Positive(t, got[101], c.name)
		assert.LessOrEqual(t, work, 2*0.3*3000/2, "%s: its share of multiple x capacity x window", c.name)
		assert.Equal(t, c.placed, got[100] > 0, c.name)
	}
}

func TestHonestAnswers(t *testing.T) {
	for _, c := range []struct {
		name  string
		typ   int
		in    int // of four parts
		wait  float64
		kind  ActionKind // 0: none yet
		whole bool
	}{
		{"all in", 0, 4, 300, Answer, true},
		{"all but one, at the target time", 0, 3, 2000, 0, false},
		{"all but one, at the end", 0, 3, 5992, Throttle, false},
		{"half, before the target time", 3, 2, 1500, 0, false},
		{"half, at the target time", 3, 2, 1991, Answer, false},
		{"less than its floor, at the target time", 3, 1, 1991, 0, false},
		{"less than its floor, at the end", 3, 1, 5992, Throttle, false},
		{"non-replayable, at the end", 2, 3, 5992, Abandon, false},
	} {
		r := startBroker(t, nil, ringOfNodes(4))
		r.step(0, scanEvents(1, c.typ, 6000, 0, 1, 2, 3)...)
		var events []Event
		for i := 0; i < c.in; i++ {
			events = append(events, r.dispatchEnded(int64(1001+i), 0, Completed, 150), r.dispatchEnded(int64(1001+i), 0, Completed, 150))
		}
		r.step(200, events...)
		r.step(c.wait-200, timerEvent(1))
		if got := r.finalAnswers(1); c.kind == 0 {
			assert.Empty(t, got, c.name)
		} else if assert.Len(t, got, 1, c.name) {
			assert.Equal(t, c.kind, got[0].Kind, c.name)
			assert.Equal(t, c.whole, got[0].Whole, c.name)
		}
	}
}

func TestSecondStep(t *testing.T) {
	for _, c := range []struct {
		name string
		how  Outcome
		kind ActionKind
	}{{"arrives complete", Completed, Answer}, {"does not arrive", Overdue, Abandon}} {
		r := startBroker(t, nil, ringOfNodes(4))
		r.step(0, scanEvents(1, 4, 6000, 0, 1)...)
		r.step(200, r.dispatchEnded(1001, 0, Completed, 200), r.dispatchEnded(1002, 0, Completed, 200))
		assert.Len(t, r.finalAnswers(1), 1, "the first answer")
		r.step(5, Event{Kind: PartArrived, ID: 1500, Scan: 1, TableType: 4, Amount: 1, Hint: 50})
		for n := 0; n < 3; n++ {
			r.step(100, r.dispatchEnded(1500, n, c.how, 100))
		}
		if assert.Len(t, r.finalAnswers(1), 2, c.name) {
			assert.Equal(t, c.kind, r.finalAnswers(1)[1].Kind, c.name)
		}
	}
}

func TestEveryScanEnds(t *testing.T) {
	for _, c := range []struct {
		name   string
		typ    int
		budget float64
		shards []int
		list   []Entry
		wait   float64
		kind   ActionKind
	}{
		{"no parts", 0, 6000, nil, ringOfNodes(4), 0, Abandon},
		{"no time", 0, 0, []int{0}, ringOfNodes(4), 0, Throttle},
		{"hardly any time", 0, 8, []int{0}, ringOfNodes(4), 0, Throttle},
		{"no holder", 0, 1000, []int{0}, nil, 995, Throttle},
		{"no answers, timer late by a batch", 0, 1000, []int{0, 1}, ringOfNodes(4), 995, Throttle},
		{"unknown table type", 9, 1000, []int{0}, ringOfNodes(4), 0, Abandon},
	} {
		r := startBroker(t, nil, c.list)
		acts := r.step(0, scanEvents(1, c.typ, c.budget, c.shards...)...)
		if c.wait > 0 {
			timers := filterActions(acts, SetTimer)
			require.NotEmpty(t, timers, c.name)
			assert.LessOrEqual(t, timers[0].After, c.wait, c.name)
			r.step(c.wait, timerEvent(1))
		}
		if assert.Len(t, r.finalAnswers(1), 1, c.name) {
			assert.Equal(t, c.kind, r.finalAnswers(1)[0].Kind, c.name)
		}
		after := r.step(10, timerEvent(1), r.dispatchEnded(1001, 0, Errored, 5), r.dispatchEnded(1002, 0, Recalled, 5), Event{Kind: ClientLeft, ID: 1000})
		assert.Empty(t, filterActions(after, Dispatch, Answer, Throttle, Abandon), "%s: nothing after the end", c.name)
		assert.Empty(t, r.b.parts, "%s: nothing kept", c.name)
	}
}

func TestTimersOff(t *testing.T) { // a timer that fires early because of rounding must not be the scan's last (incident i9de3e3)
	for _, off := range []float64{-0.001, 0, 5} {
		r := startBroker(t, nil, nil)
		timers := filterActions(r.step(0, scanEvents(1, 0, 1000, 0)...), SetTimer)
		for n := 0; n < 20 && len(r.finalAnswers(1)) == 0; n++ {
			require.NotEmpty(t, timers, "off %v: no timer is left for the scan", off)
			timers = filterActions(r.step(timers[0].After+off, timerEvent(1)), SetTimer)
		}
		assert.Len(t, r.finalAnswers(1), 1, "off %v", off)
		assert.Less(t, r.now, 51000.0, "off %v: in time", off)
	}
}

func TestShortBudgets(t *testing.T) { // deadlines count from arrival, also for clients with little time
	for _, c := range []struct {
		name   string
		budget float64
		until  float64 // a partial answer is given then, and not before
	}{
		{"the usual time", 6000, 1990},
		{"less than usual, more than the target time (incident i58f0d7)", 3230, 1990},
		{"less than the target time", 900, 890},
	} {
		r := startBroker(t, nil, ringOfNodes(4))
		r.step(10, scanEvents(1, 3, c.budget, 0, 1, 2)...)
		r.step(100, r.dispatchEnded(1001, 0, Completed, 100), r.dispatchEnded(1002, 0, Completed, 100))
		r.step(c.until-120, timerEvent(1))
		assert.Empty(t, r.finalAnswers(1), c.name)
		r.step(20, timerEvent(1))
		if assert.Len(t, r.finalAnswers(1), 1, c.name) {
			assert.Equal(t, Answer, r.finalAnswers(1)[0].Kind, c.name)
		}
	}
}

func TestOverload(t *testing.T) {
	// The nodes answer in 1.5 target times; then scans of one table type arrive.
	overloaded := func(changes map[string]any) *testBroker {
		r := startBroker(t, changes, ringOfNodes(4))
		for i := int64(1); i <= 12; i++ {
			r.step(1, scanEvents(i, 0, 6000, int(i)%4)...)
		}
		for i := int64(1); i <= 12; i++ {
			r.step(1, r.dispatchEnded(1000*i+1, 0, Completed, 3000))
		}
		return r
	}
	count := func(r *testBroker, typ int, elapsed float64) (rejected, trimmed int) {
		for i := int64(100); i < 160; i++ {
			sent := filterActions(r.step(1, scanEvents(i, typ, 6000, 0, 1, 2, 3)...), Dispatch)
			if f := r.finalAnswers(i); len(f) > 0 {
				rejected++
			} else if len(sent) < 4 {
				trimmed++
			}
			for _, a := range sent { // answers as slow as before keep up the overload
				r.step(0, r.dispatchEnded(a.ID, 0, Completed, elapsed))
			}
		}
		return
	}
	cheap, _ := count(overloaded(map[string]any{"tableType.4.benefit": 9.0}), 0, 1500)
	valuable, _ := count(overloaded(map[string]any{"tableType.4.benefit": 9.0}), 4, 1500)
	assert.Greater(t, cheap, valuable, "cheaper scans are rejected more often")
	_, trimmed := count(overloaded(map[string]any{"tableType.3.benefit": 9.0}), 3, 1500)
	assert.Positive(t, trimmed, "parts are dropped where a partial answer is allowed")
	idle, _ := count(startBroker(t, nil, ringOfNodes(4)), 0, 300)
	assert.Less(t, idle, cheap)
}

func TestStartSettings(t *testing.T) {
	for name, changes := range map[string]map[string]any{
		"none":          nil,
		"no table type": {"tableType.count": 0.0},
		"no cells":      {"layout.cells": nil},
		"no target":     {"tableType.1.target": nil},
		"not a number":  {"layout.shards": "many"},
		"absurd":        {"layout.shards": 1e18},
		"negative":      {"rules.cold": -1.0},
		"not finite":    {"turn": math.NaN()},
	} {
		r := startBroker(t, changes, ringOfNodes(4))
		fatal := filterActions(r.actions, Fatal)
		if changes == nil {
			assert.Empty(t, fatal, name)
		} else if assert.Len(t, fatal, 1, name) {
			assert.NotEmpty(t, fatal[0].Text, name)
		}
	}
	assert.Len(t, new(Broker).Step(1, []Event{{Kind: Started}}), 1, "no settings at all")
	assert.Empty(t, new(Broker).Step(1, scanEvents(1, 0, 100, 0)), "not started yet")
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() []Action {
		r := startBroker(t, nil, ringOfNodes(4))
		for i := int64(1); i <= 30; i++ {
			r.step(7, scanEvents(i, int(i)%5, 3000, int(i)%8, int(i+1)%8, int(i+2)%8)...)
			r.step(3, r.dispatchEnded(1000*i+1, 0, Outcome(1+i%7), 90), timerEvent(i-3))
		}
		return r.actions
	}
	assert.Equal(t, run(), run())
}

func TestCoverNearSmallest(t *testing.T) { // against brute force, and at the largest expected size
	long := map[string]any{"tableType.0.target": 20000.0, "layout.cells": 9.0, "layout.shards": 18.0}
	for mask := 1; mask < 1<<9; mask += 3 {
		for _, gone := range []int{-1, 0, 4} {
			var shards []int
			for c := 0; c < 9; c++ {
				if mask>>c&1 == 1 {
					shards = append(shards, c, c+9)
				}
			}
			list := ringOfNodes(9)
			if gone >= 0 {
				list[gone].Readiness = Gone
			}
			smallest := 9
			for set := 1; set < 1<<9; set++ {
				holds := gone < 0 || set>>gone&1 == 0
				for _, s := range shards {
					holds = holds && (set>>(s%9)&1 == 1 || set>>((s+1)%9)&1 == 1)
				}
				if holds {
					smallest = min(smallest, bits.OnesCount(uint(set)))
				}
			}
			r := startBroker(t, long, list)
			got := dispatchesByNode(r.step(1, scanEvents(1, 0, 9000, shards...)...))
			assert.LessOrEqual(t, len(got), smallest+1+len(shards)/partsPerExtraCall, "shards %v, %d gone", shards, gone)
		}
	}
	r, wide := startBroker(t, map[string]any{"layout.cells": 320.0, "layout.shards": 640.0, "brokers": 170.0}, nil), make([]int, 200)
	for i := 0; i < 320; i += 40 { // the list arrives in pieces
		r.step(1, Event{Kind: ListArrived, List: ListDelta, Entries: ringOfNodes(320)[i : i+40]})
	}
	for i := range wide {
		wide[i] = (i + 250) % 640
	}
	assert.InDelta(t, 100, len(dispatchesByNode(r.step(1, scanEvents(1, 0, 6000, wide...)...))), 13, "two parts per call")
}

func TestColdSharesAddUp(t *testing.T) { // each broker's share is far less than one call
	for _, brokers := range []int{2, 60, 170} {
		list, sent := ringOfNodes(1), 0.0
		list[0].Born = 49990
		var fleet []*testBroker
		for i := 0; i < brokers; i++ {
			fleet = append(fleet, &testBroker{now: 50000})
			fleet[i].step(0, Event{Kind: Started, Seed: uint64(i), Settings: testSettings(map[string]any{"brokers": float64(brokers),
				"ordinal": float64(i), "layout.cells": 1.0, "layout.shards": 2.0, "layout.reach": 1.0})},
				Event{Kind: ListArrived, List: ListCached, Entries: list})
		}
		for ms := 0; ms < 3000; ms += 100 {
			for i, r := range fleet {
				sent += 100 * float64(len(filterActions(r.step(100, scanEvents(int64(ms+i%100+1), 0, 6000, 0)...), Dispatch)))
			}
		}
		assert.LessOrEqual(t, sent, 2*0.8*0.36*3000, "%d brokers: within multiple x capacity x window of one core", brokers)
		assert.GreaterOrEqual(t, sent, 200.0, "%d brokers: it still gets work", brokers)
	}
}

func TestSilence(t *testing.T) { // missing answers are no overload, and one ejects a node whose last answer is old
	r := startBroker(t, nil, ringOfNodes(2))
	silent := dispatchesByNode(r.step(9000, scanEvents(1, 0, 6000, 0)...))
	r.step(1900, timerEvent(1))
	r.step(4090, timerEvent(1))
	for i := int64(10); i < 16; i++ {
		acts := r.step(1, scanEvents(i, 0, 6000, 0)...)
		for n := range dispatchesByNode(acts) {
			assert.NotContains(t, silent, n, "the other holder gets the work")
		}
		assert.Empty(t, r.finalAnswers(i), "no scan is rejected")
		r.step(100, r.dispatchEnded(1000*i+1, 0, Completed, 100))
	}
}

func TestLateTail(t *testing.T) { // past the target time, only a small share of the weight is sent again
	for _, c := range []struct{ in, again int }{{11, 1}, {10, 0}} {
		r := startBroker(t, nil, ringOfNodes(4))
		r.step(1, scanEvents(1, 0, 6000, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 2)...) // shard 2 is on other nodes
		first := len(r.actions)
		r.step(2100, r.completions(1, c.in)...) // an earlier copy could still meet the target time
		r.step(1900, timerEvent(1))
		assert.Len(t, filterActions(r.actions[first:], Dispatch), c.again, "%d of 12 in", c.in)
	}
}

func TestFullHolders(t *testing.T) { // after both holders are saturated, the third dispatch waits for recheckDelay
	r := startBroker(t, nil, ringOfNodes(4))
	r.step(1, scanEvents(1, 0, 6000, 0)...)
	assert.Len(t, filterActions(r.step(5, r.dispatchEnded(1001, 0, Saturated, 5)), Dispatch), 1)
	assert.Empty(t, filterActions(r.step(5, r.dispatchEnded(1001, 1, Saturated, 5)), Dispatch))
	assert.Empty(t, r.finalAnswers(1))
	assert.Len(t, filterActions(r.step(100, timerEvent(1)), Dispatch), 1)
}

// Answers may be lost one by one, for instance on a node's network, or a part may hang, while the node works. The evidence is
// an answer to a dispatch sent after the part was late; then even the only holder gets the part again. An overload delays
// open work in its order, and causes no recall for as long as the open work explains the delay.
func TestLostAnswers(t *testing.T) {
	pair := []Entry{{Node: 100, Readiness: Ready, Units: 1}, {Node: 104, Readiness: Ready, Units: 1}}
	for _, c := range []struct {
		name    string
		list    []Entry
		others  int     // scans after the first; negative: before it
		wait    float64 // time until they are sent
		answer  bool    // the others are answered
		recalls int
		good    int // successes left among the last eight outcomes of its node
	}{
		{"a later one was answered", pair[:1], 1, 750, true, 2, 7},
		{"one sent soon after was answered", pair[:1], 1, 10, true, 0, 8},
		{"silent, without another holder", pair[:1], 0, 10, false, 0, 6},
		{"silent", pair, 0, 10, false, 2, 6},
		{"an overload", pair, -11, 0, false, 0, 8},
	} {
		r := startBroker(t, map[string]any{"limit.secondCopies": false, "layout.reach": 1.0}, c.list)
		for n := range r.b.lastAnswer {
			r.b.lastAnswer[n] = r.now // else one missing answer ejects it
		}
		for i := range -c.others {
			r.step(0, scanEvents(int64(2+i), 0, 6000, 0)...)
		}
		r.step(1, scanEvents(1, 0, 6000, 0, 4)...)
		for i := range c.others {
			r.step(c.wait, scanEvents(int64(2+i), 0, 6000, 0)...)
			if c.answer {
				r.step(200, r.completions(int64(2+i), 1)...)
			}
		}
		recalls := filterActions(r.step(50000+1300-r.now, timerEvent(1)), Recall)
		require.Len(t, recalls, c.recalls, c.name)
		least := 8
		for _, h := range r.b.history {
			least = min(least, bits.OnesCount8(h))
		}
		assert.Equal(t, c.good, least, c.name)
		for _, a := range recalls {
			again := filterActions(r.step(5, r.dispatchEnded(a.ID, a.Dispatch, Recalled, 1300)), Dispatch)
			assert.Len(t, again, 1, c.name)
			assert.Equal(t, c.others > 0, again[0].Node == 100, c.name)
		}
	}
}

// Failures at one moment count as one: otherwise each broken connection would eject a node. The next scan after the ejection
// tries the node, although others hold its shards.
func TestEjection(t *testing.T) {
	for _, interval := range []float64{0, 1} {
		r := startBroker(t, nil, ringOfNodes(4))
		for i := int64(1); i <= 18; i++ {
			r.step(1, scanEvents(i, 2, 6000, 0)...)
		}
		var broken []Event
		for _, a := range filterActions(r.actions, Dispatch) {
			if a.Node == 100 {
				broken = append(broken, r.dispatchEnded(a.ID, 0, Severed, 10))
			}
		}
		require.Greater(t, len(broken), 6)
		for _, e := range broken {
			if interval == 0 {
				r.step(0, broken...)
				break
			}
			r.step(interval, e)
		}
		n := r.b.index[100]
		assert.Equal(t, interval > 0, r.b.unhealthy(n), "%g ms apart", interval)
		if interval > 0 {
			assert.NotContains(t, dispatchesByNode(r.step(10, scanEvents(30, 0, 6000, 0)...)), int64(100), "it is ejected")
			r.step(9000)
			assert.Contains(t, dispatchesByNode(r.step(1, scanEvents(31, 0, 6000, 0)...)), int64(100), "it is tried")
			assert.NotContains(t, dispatchesByNode(r.step(1, scanEvents(32, 0, 6000, 0)...)), int64(100), "by one call")
		}
	}
}

// An unhealthy node gets the next scan after its ejection where answers are frequent: a trial is cheap there. Where they are
// rarer than ejectionTime, every call would be a trial, and each silent node delays a scan (big-2 of a larger fleet).
func TestTrialsWhereAnswersAreRare(t *testing.T) {
	for _, c := range []struct {
		every float64 // ms between two answers of a node
		tried bool
	}{{100, true}, {700, true}, {3000, false}, {8000, false}} {
		r := startBroker(t, nil, ringOfNodes(2))
		for i := int64(1); i <= 40; i++ {
			r.step(c.every/2, scanEvents(i, 0, 6000, 0)...)
			r.step(1, r.dispatchEnded(1000*i+1, 0, Completed, 1))
		}
		n := r.b.index[100]
		r.b.history[n], r.b.ejectedUntil[n] = 0, r.now-1
		assert.Equal(t, c.tried, dispatchesByNode(r.step(1, scanEvents(90, 0, 6000, 0)...))[100] == 1, "%g ms", c.every)
	}
}

// Two successes of eight: where eight outcomes arrive within ejectionTime they reflect a short period and the node stays in
// use; where they span seconds it is ejected (churn days on sockets, and rough-2 of the simulated deployment).
func TestRestByPace(t *testing.T) {
	for _, c := range []struct {
		every     float64 // ms between two answers of a node
		history   uint8
		unhealthy bool
	}{{30, 0b11, false}, {30, 0b1, true}, {100, 0b11, false}, {200, 0b11, true}, {500, 0b11, true}, {500, 0b111, false}, {8000, 0b11, true}} {
		r := startBroker(t, nil, ringOfNodes(2))
		for i := int64(1); i <= 40; i++ {
			r.step(c.every/2, scanEvents(i, 0, 6000, 0)...)
			r.step(0.01, r.dispatchEnded(1000*i+1, 0, Completed, 1))
		}
		n := r.b.index[100]
		r.b.history[n] = c.history
		assert.Equal(t, c.unhealthy, r.b.unhealthy(n), "%g ms, %b", c.every, c.history)
	}
}

// A scan's parts go to permitted nodes only, also in further dispatches and second steps; a part without one is not sent.
func TestPermitted(t *testing.T) {
	r := startBroker(t, nil, ringOfNodes(4)) // shard 0 is on 100 and 101, shard 1 on 101 and 102
	only := map[int64]bool{101: true, 103: true}
	for i := int64(1); i <= 20; i++ {
		events := scanEvents(i, 0, 6000, 0, 1)
		events[0].Permitted = only
		r.step(10, events...)
	}
	for n := int64(0); n < 2; n++ {
		for i := int64(1); i <= 20; i++ {
			r.step(1, r.dispatchEnded(1000*i+1, int(n), Errored, 5))
			r.step(100, timerEvent(i))
		}
	}
	for n := range dispatchesByNode(r.actions) {
		assert.True(t, only[n], "node %d", n)
	}
	assert.Greater(t, dispatchesByNode(r.actions)[101], 20, "further dispatches go only there")
	events := scanEvents(90, 0, 6000, 3) // on 103 and 100
	events[0].Permitted = map[int64]bool{101: true}
	assert.Empty(t, filterActions(r.step(1, events...), Dispatch))
	r.step(5995, timerEvent(90))
	assert.Equal(t, Throttle, r.finalAnswers(90)[0].Kind, "it goes to no other node")
}

// Where nodes are replaced under new ids, the slots of gone nodes are reused once all scans that may refer to them have ended,
// and a new node starts without the state of the previous one in its slot.
func TestSlotsAreReused(t *testing.T) {
	r := startBroker(t, nil, ringOfNodes(4))
	r.b.history[0], r.b.latencyAt[0], r.b.openWork[0] = 0, r.now, 7
	for i := range int64(50) {
		list := []Entry{{Node: 200 + i, Cell: 1, Readiness: Ready, Units: 1}}
		r.step(100, Event{Kind: ListArrived, List: ListFull, Entries: list})
	}
	assert.Len(t, r.b.nodeID, 54, "the longest query timeout has not passed")
	for i := range int64(200) {
		list := []Entry{{Node: 300 + i, Cell: 1, Readiness: Ready, Units: 1}}
		r.step(100, Event{Kind: ListArrived, List: ListFull, Entries: list})
	}
	assert.Less(t, len(r.b.nodeID), 70)
	assert.Len(t, r.b.index, len(r.b.nodeID))
	assert.Equal(t, [3]any{uint8(0xff), longAgo, 0.0}, [3]any{r.b.history[0], r.b.latencyAt[0], r.b.openWork[0]})
}
