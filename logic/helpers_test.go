package logic

import "testing"

// testSettings is a small deployment: eight shards on a ring of four cells, each shard on two nodes. Table type 0 is
// replayable and needs all parts, 1 is keyed, 2 non-replayable, 3 allows answers from half, 4 fetches a second step.
func testSettings(changes map[string]any) map[string]any {
	t := map[string]any{"turn": 5.0, "brokers": 2.0, "zone": 0.0, "discovery": "automatic",
		"layout.cells": 4.0, "layout.reach": 2.0, "layout.shards": 8.0, "layout.batch": 16.0, "layout.callWork": 50.0,
		"limit.dispatches": 3.0, "limit.secondCopies": true, "limit.cancelling": true, "limit.retryAfter": true,
		"limit.maxRetryAfter": 800.0, "rules.cold": 10000.0, "rules.fall": 3000.0, "rules.fallMultiple": 2.0,
		"rules.startCapacity": 0.2, "tableType.count": 5.0}
	for i, effect := range []string{"replayable", "keyed", "non-replayable", "replayable", "replayable"} {
		p := string(rune('0' + i))
		t["tableType."+p+".target"], t["tableType."+p+".timeout"] = 2000.0, 6000.0
		t["tableType."+p+".benefit"], t["tableType."+p+".lateBenefit"] = 1.0, 0.3
		t["tableType."+p+".effect"], t["tableType."+p+".repeatWindow"] = effect, 1000.0
		t["layout.need."+p], t["layout.floor."+p], t["layout.partialBenefit."+p] = 1.0, 1.0, 0.9
	}
	t["layout.floor.3"], t["layout.fetch.4"] = 0.5, 1.0
	for k, v := range changes {
		if t[k] = v; v == nil {
			delete(t, k)
		}
	}
	return t
}

// ringOfNodes lists one ready node per cell: 100, 101, ...
func ringOfNodes(cells int) (list []Entry) {
	for c := 0; c < cells; c++ {
		list = append(list, Entry{Node: int64(100 + c), Cell: c, Readiness: Ready, Units: 1})
	}
	return list
}

// testBroker drives one Broker and records its actions.
type testBroker struct {
	b       Broker
	now     float64
	actions []Action
}

func startBroker(_ *testing.T, changes map[string]any, list []Entry) *testBroker {
	r := &testBroker{now: 50000}
	r.step(0, Event{Kind: Started, Seed: 7, Settings: testSettings(changes)},
		Event{Kind: ListArrived, List: ListCached, Entries: list})
	return r
}

// step advances the time by wait, without firing timers, passes the events to the broker and returns its actions.
func (r *testBroker) step(wait float64, events ...Event) []Action {
	r.now += wait
	acts := r.b.Step(r.now, events)
	r.actions = append(r.actions, acts...)
	return acts
}

// scanEvents returns the arrival of scan num with one part per shard, all of equal weight. The scan's id is 1000*num; the
// ids of its parts follow it.
func scanEvents(num int64, typ int, budget float64, shards ...int) []Event {
	events := []Event{{Kind: ScanArrived, ID: 1000 * num, Scan: num, TableType: typ, Budget: budget, Shard: -1}}
	for i, s := range shards {
		events = append(events, Event{Kind: PartArrived, ID: 1000*num + 1 + int64(i), Scan: num, Shard: s,
			TableType: typ, Amount: 1 / float64(len(shards)), Hint: 100})
	}
	return events
}

// dispatchEnded returns the end of dispatch n of a part.
func (r *testBroker) dispatchEnded(part int64, n int, how Outcome, elapsed float64) Event {
	return Event{Kind: DispatchEnded, ID: part, Dispatch: n, Outcome: how, Elapsed: elapsed}
}

// completions returns completed dispatches of the first n parts of scan num.
func (r *testBroker) completions(num int64, n int) (events []Event) {
	for i := int64(1); i <= int64(n); i++ {
		events = append(events, r.dispatchEnded(1000*num+i, 0, Completed, 300))
	}
	return events
}

// timerEvent fires the timer of scan num.
func timerEvent(num int64) Event { return Event{Kind: TimerDue, Timer: num} }

// filterActions returns the actions of the given kinds.
func filterActions(acts []Action, want ...ActionKind) (some []Action) {
	for _, a := range acts {
		for _, k := range want {
			if a.Kind == k {
				some = append(some, a)
			}
		}
	}
	return some
}

// finalAnswers returns the final answers to scan num.
func (r *testBroker) finalAnswers(num int64) (some []Action) {
	for _, a := range filterActions(r.actions, Answer, Throttle, Abandon) {
		if a.ID == 1000*num {
			some = append(some, a)
		}
	}
	return some
}

// dispatchesByNode counts the dispatches to each node.
func dispatchesByNode(acts []Action) map[int64]int {
	count := map[int64]int{}
	for _, a := range filterActions(acts, Dispatch) {
		count[a.Node]++
	}
	return count
}
