package logic

import (
	"maps"
	"testing"

	"github.com/stretchr/testify/assert"
)

// startWithShadow starts a broker whose shadow settings are its own settings with the changes in other. It also returns the
// counts of the differences.
func startWithShadow(changes, other map[string]any, list []Entry) (*testBroker, map[string]int) {
	current, diffs := testSettings(changes), map[string]int{}
	shadow := maps.Clone(current)
	maps.Copy(shadow, other)
	r := &testBroker{now: 50000}
	r.step(0, Event{Kind: Started, Seed: 7, Settings: current, ShadowSettings: shadow, ShadowDiffs: diffs},
		Event{Kind: ListArrived, List: ListCached, Entries: list})
	return r, diffs
}

// runFailureMix sends scans of all table types whose dispatches fail, are refused, stay unanswered or complete, at random.
func runFailureMix(r *testBroker) {
	rng := newPCG(3)
	open, sent := []Event{}, map[int64]int{}
	for i := int64(1); i <= 150; i++ {
		acts := r.step(7, append(open, scanEvents(i, int(i)%5, 4000, int(i)%8, (int(i)+1)%8)...)...)
		acts = append(acts, r.step(20, timerEvent(i), timerEvent(i-20), timerEvent(i-60))...)
		open = open[:0]
		for _, a := range filterActions(acts, Dispatch, Recall) {
			n := sent[a.ID]
			if a.Kind == Recall {
				open = append(open, r.dispatchEnded(a.ID, a.Dispatch, Recalled, 30))
				continue
			}
			sent[a.ID]++
			if how := Outcome(1 + 9*rng.float()); how <= Severed && how != Overdue {
				open = append(open, r.dispatchEnded(a.ID, n, how, 5+200*rng.float()))
			}
		}
	}
}

// Shadow settings change no action.
func TestShadowSettingsChangeNoAction(t *testing.T) {
	for _, changes := range []map[string]any{nil, {"limit.secondCopies": false}, {"limit.peers": true},
		{"rules.budgetWindow": 800.0, "rules.spareDispatches": 2.0, "rules.spareShare": 0.05}} {
		plain := startBroker(t, changes, ringOfNodes(4))
		runFailureMix(plain)
		w, diffs := startWithShadow(changes, map[string]any{"limit.secondCopies": changes["limit.secondCopies"] == false,
			"limit.peers": changes["limit.peers"] == nil, "limit.dispatches": 2.0, "tableType.0.effect": "non-replayable",
			"rules.budgetWindow": 3000.0, "rules.spareDispatches": 1.0, "rules.spareShare": 0.0}, ringOfNodes(4))
		runFailureMix(w)
		assert.Equal(t, plain.actions, w.actions)
		assert.NotEmpty(t, diffs, "the settings lead to differences")
	}
}

// Each kind of difference is counted when it occurs, once per part.
func TestShadowDifferences(t *testing.T) {
	endWith := func(typ int, how Outcome, times int) func(*testBroker) { // the first dispatches of a part end with an outcome
		return func(r *testBroker) {
			r.step(1, scanEvents(1, typ, 6000, 0)...)
			for n := range times {
				r.step(50, r.dispatchEnded(1001, n, how, 50))
				r.step(100, timerEvent(1))
			}
		}
	}
	succeed := func(r *testBroker) {
		r.step(1, scanEvents(1, 0, 6000, 0)...)
		r.step(50, r.completions(1, 1)...)
	}
	silence := func(r *testBroker) { // two parts of a scan stay unanswered while the other node answers
		r.step(1, scanEvents(1, 0, 6000, 0, 0)...)
		r.step(1, scanEvents(2, 0, 6000, 0)...)
		r.step(100, r.dispatchEnded(2001, 0, Completed, 100))
		for _, wait := range []float64{1300, 200, 200} {
			r.step(wait, timerEvent(1))
		}
	}
	strict := map[string]any{"tableType.0.effect": "non-replayable"}
	tight := map[string]any{"rules.budgetWindow": 5000.0, "rules.spareDispatches": 0.0, "rules.spareShare": 0.05}
	for _, c := range []struct {
		name           string
		present, other map[string]any
		events         func(*testBroker)
		want           map[string]int
	}{
		{"nothing differs", nil, nil, endWith(0, Errored, 2), map[string]int{}},
		{"no failures", nil, strict, succeed, map[string]int{}},
		{"sent again although the shadow effect forbids it", nil, strict, endWith(0, Errored, 1), map[string]int{"effect": 1}},
		{"once per part", nil, strict, endWith(0, Errored, 2), map[string]int{"effect": 1}},
		{"it never ran: no effect forbids it", nil, strict, endWith(0, Saturated, 1), map[string]int{}},
		{"another table type", nil, strict, endWith(3, Errored, 1), map[string]int{}},
		{"not sent again although the shadow effect allows it", nil, map[string]any{"tableType.2.effect": "replayable"},
			endWith(2, Errored, 1), map[string]int{"effect": 1}},
		{"one dispatch fewer", nil, map[string]any{"limit.dispatches": 2.0}, endWith(0, Errored, 2),
			map[string]int{"dispatches": 1}},
		{"not yet at the limit", nil, map[string]any{"limit.dispatches": 2.0}, endWith(0, Errored, 1), map[string]int{}},
		{"over the shadow budget", nil, tight, endWith(0, Errored, 1), map[string]int{"budget": 1}},
		{"denied by the budget in force", tight, map[string]any{"rules.spareDispatches": 9.0}, endWith(0, Errored, 1),
			map[string]int{"budget": 1}},
		{"a copy that the shadow settings deny", nil, map[string]any{"limit.secondCopies": false}, silence,
			map[string]int{"limit.secondCopies": 2}},
		{"a copy that the shadow settings allow", map[string]any{"limit.secondCopies": false}, map[string]any{"limit.secondCopies": true},
			silence, map[string]int{"limit.secondCopies": 2}},
		{"a recall that the shadow settings deny", map[string]any{"limit.secondCopies": false},
			map[string]any{"limit.cancelling": false}, silence, map[string]int{"limit.cancelling": 2}},
		{"a note that the shadow settings send", nil, map[string]any{"limit.peers": true}, succeed, map[string]int{"limit.peers": 1}},
	} {
		r, diffs := startWithShadow(c.present, c.other, ringOfNodes(2))
		c.events(r)
		assert.Equal(t, c.want, diffs, c.name)
	}
}
