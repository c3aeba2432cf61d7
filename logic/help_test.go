package logic

import "testing"

// site is a small deployment: eight shards on a ring of four cells, each shard on two nodes; table type 0 is
// replayable and needs all, 1 is keyed, 2 non-replayable, 3 may be answered from half, 4 fetches a second step.
func site(changes map[string]any) map[string]any {
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

// ring names one ready node a cell: 100, 101, ...
func ring(cells int) (list []Entry) {
	for c := 0; c < cells; c++ {
		list = append(list, Entry{Node: int64(100 + c), Cell: c, Readiness: Ready, Units: 1})
	}
	return list
}

// rig drives one instance and keeps what it did.
type rig struct {
	b    Broker
	now  float64
	acts []Action
}

func play(_ *testing.T, changes map[string]any, list []Entry) *rig {
	r := &rig{now: 50000}
	r.step(0, Event{Kind: Started, Seed: 7, Terms: site(changes)},
		Event{Kind: ListArrived, List: ListCached, Entries: list})
	return r
}

// step lets wait pass, firing no timers, hands over the events and returns what was done.
func (r *rig) step(wait float64, events ...Event) []Action {
	r.now += wait
	acts := r.b.Step(r.now, events)
	r.acts = append(r.acts, acts...)
	return acts
}

// scanOf brings scan num with one part a shard, of equal weight unless weights are given: the scan's id is
// 1000*num, its parts' follow.
func scanOf(num int64, typ int, budget float64, shards ...int) []Event {
	events := []Event{{Kind: ScanArrived, ID: 1000 * num, Scan: num, TableType: typ, Budget: budget, Shard: -1}}
	for i, s := range shards {
		events = append(events, Event{Kind: PartArrived, ID: 1000*num + 1 + int64(i), Scan: num, Shard: s,
			TableType: typ, Amount: 1 / float64(len(shards)), Hint: 100})
	}
	return events
}

// ended is the outcome of a dispatch of a part.
func (r *rig) ended(part int64, n int, how Outcome, elapsed float64) Event {
	return Event{Kind: DispatchEnded, ID: part, Dispatch: n, Outcome: how, Elapsed: elapsed}
}

// answers are the first n parts of scan num coming in.
func (r *rig) answers(num int64, n int) (events []Event) {
	for i := int64(1); i <= int64(n); i++ {
		events = append(events, r.ended(1000*num+i, 0, Completed, 300))
	}
	return events
}

// timer is the look that scan num asked for.
func timer(num int64) Event { return Event{Kind: TimerDue, Timer: num} }

// kinds keeps the actions of some kinds.
func kinds(acts []Action, want ...ActionKind) (some []Action) {
	for _, a := range acts {
		for _, k := range want {
			if a.Kind == k {
				some = append(some, a)
			}
		}
	}
	return some
}

// final returns the final answers given to scan num.
func (r *rig) final(num int64) (some []Action) {
	for _, a := range kinds(r.acts, Answer, Throttle, Abandon) {
		if a.ID == 1000*num {
			some = append(some, a)
		}
	}
	return some
}

// nodes says how many dispatches went to each node.
func nodes(acts []Action) map[int64]int {
	count := map[int64]int{}
	for _, a := range kinds(acts, Dispatch) {
		count[a.Node]++
	}
	return count
}
