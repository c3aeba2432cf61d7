package logic

import (
	"maps"
	"testing"

	"github.com/stretchr/testify/assert"
)

// watched plays like play, with other settings watched beside the present ones.
func watched(changes, other map[string]any, list []Entry) (*rig, map[string]int) {
	present, differs := site(changes), map[string]int{}
	then := maps.Clone(present)
	maps.Copy(then, other)
	r := &rig{now: 50000}
	r.step(0, Event{Kind: Started, Seed: 7, Terms: present, Watched: then, Differs: differs},
		Event{Kind: ListArrived, List: ListCached, Entries: list})
	return r, differs
}

// trouble brings scans of all table types whose dispatches fail, are refused, fall silent or answer, by chance.
func trouble(r *rig) {
	chance := seeded(3)
	open, sent := []Event{}, map[int64]int{}
	for i := int64(1); i <= 150; i++ {
		acts := r.step(7, append(open, scanOf(i, int(i)%5, 4000, int(i)%8, (int(i)+1)%8)...)...)
		acts = append(acts, r.step(20, timer(i), timer(i-20), timer(i-60))...)
		open = open[:0]
		for _, a := range kinds(acts, Dispatch, Recall) {
			n := sent[a.ID]
			if a.Kind == Recall {
				open = append(open, r.ended(a.ID, a.Dispatch, Recalled, 30))
				continue
			}
			sent[a.ID]++
			if how := Outcome(1 + 9*chance.float()); how <= Severed && how != Overdue {
				open = append(open, r.ended(a.ID, n, how, 5+200*chance.float()))
			}
		}
	}
}

// Actions are the same to the byte with watching on and off.
func TestWatchingChangesNothing(t *testing.T) {
	for _, changes := range []map[string]any{nil, {"limit.secondCopies": false}, {"limit.peers": true},
		{"rules.budgetWindow": 800.0, "rules.spareDispatches": 2.0, "rules.spareShare": 0.05}} {
		plain := play(t, changes, ring(4))
		trouble(plain)
		w, differs := watched(changes, map[string]any{"limit.secondCopies": changes["limit.secondCopies"] == false,
			"limit.peers": changes["limit.peers"] == nil, "limit.dispatches": 2.0, "tableType.0.effect": "non-replayable",
			"rules.budgetWindow": 3000.0, "rules.spareDispatches": 1.0, "rules.spareShare": 0.0}, ring(4))
		trouble(w)
		assert.Equal(t, plain.acts, w.acts)
		assert.NotEmpty(t, differs, "there was something to differ about")
	}
}

// Each kind of difference is counted when it is caused, once a part, and not otherwise.
func TestWatchedKinds(t *testing.T) {
	again := func(typ int, how Outcome, times int) func(*rig) { // a part's dispatches end like that, so often
		return func(r *rig) {
			r.step(1, scanOf(1, typ, 6000, 0)...)
			for n := range times {
				r.step(50, r.ended(1001, n, how, 50))
				r.step(100, timer(1))
			}
		}
	}
	well := func(r *rig) {
		r.step(1, scanOf(1, 0, 6000, 0)...)
		r.step(50, r.answers(1, 1)...)
	}
	silence := func(r *rig) { // two parts of a scan hang while the other node answers
		r.step(1, scanOf(1, 0, 6000, 0, 0)...)
		r.step(1, scanOf(2, 0, 6000, 0)...)
		r.step(100, r.ended(2001, 0, Completed, 100))
		for _, wait := range []float64{1300, 200, 200} {
			r.step(wait, timer(1))
		}
	}
	strict := map[string]any{"tableType.0.effect": "non-replayable"}
	tight := map[string]any{"rules.budgetWindow": 5000.0, "rules.spareDispatches": 0.0, "rules.spareShare": 0.05}
	for _, c := range []struct {
		name           string
		present, other map[string]any
		what           func(*rig)
		want           map[string]int
	}{
		{"nothing differs", nil, nil, again(0, Errored, 2), map[string]int{}},
		{"all goes well", nil, strict, well, map[string]int{}},
		{"sent again where the effect would forbid it", nil, strict, again(0, Errored, 1), map[string]int{"effect": 1}},
		{"once a part", nil, strict, again(0, Errored, 2), map[string]int{"effect": 1}},
		{"it never ran: no effect forbids it", nil, strict, again(0, Saturated, 1), map[string]int{}},
		{"another table type", nil, strict, again(3, Errored, 1), map[string]int{}},
		{"not sent again where it would be", nil, map[string]any{"tableType.2.effect": "replayable"},
			again(2, Errored, 1), map[string]int{"effect": 1}},
		{"one dispatch fewer", nil, map[string]any{"limit.dispatches": 2.0}, again(0, Errored, 2),
			map[string]int{"dispatches": 1}},
		{"not yet at the last", nil, map[string]any{"limit.dispatches": 2.0}, again(0, Errored, 1), map[string]int{}},
		{"over the watched budget", nil, tight, again(0, Errored, 1), map[string]int{"budget": 1}},
		{"barred by the present budget", tight, map[string]any{"rules.spareDispatches": 9.0}, again(0, Errored, 1),
			map[string]int{"budget": 1}},
		{"a copy that would not be", nil, map[string]any{"limit.secondCopies": false}, silence,
			map[string]int{"limit.secondCopies": 2}},
		{"a copy that would be", map[string]any{"limit.secondCopies": false}, map[string]any{"limit.secondCopies": true},
			silence, map[string]int{"limit.secondCopies": 2}},
		{"a recall that would not be", map[string]any{"limit.secondCopies": false},
			map[string]any{"limit.cancelling": false}, silence, map[string]int{"limit.cancelling": 2}},
		{"work that would be told", nil, map[string]any{"limit.peers": true}, well, map[string]int{"limit.peers": 1}},
	} {
		r, differs := watched(c.present, c.other, ring(2))
		c.what(r)
		assert.Equal(t, c.want, differs, c.name)
	}
}
