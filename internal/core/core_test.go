package core_test

import (
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/internal/config"
	"gullstair/internal/core"
	"gullstair/logic"
)

// Table types of the start file: type 0 has a second step of two parts, type 1 has one step, type 2 is keyed.

// harness drives a core on a virtual clock.
type harness struct {
	scans int
	t     *testing.T
	c     *core.Core
	flat  map[string]any
	now   float64
	all   []core.Output
}

// start returns a started core with the settings of the start file, overridden by changes.
func start(t *testing.T, changes ...map[string]any) *harness {
	r := newHarness(t, changes...)
	r.step(0)
	return r
}

// newHarness returns a core before its first step.
func newHarness(t *testing.T, changes ...map[string]any) *harness {
	text, err := os.ReadFile("../config/testdata/start.json")
	require.NoError(t, err)
	startFile, err := config.Parse(text, func(string) string { return "" })
	require.NoError(t, err)
	known := startFile.KnownList.Nodes(func(host, why string) { t.Errorf("%s: %s", host, why) })
	for _, c := range changes {
		maps.Copy(startFile.Flat, c)
	}
	return &harness{t: t, c: core.New(startFile.Site, startFile.Flat, startFile.Seed, known), now: 1e12, flat: startFile.Flat}
}

// step advances the clock by wait and steps the core while it is due, as its actor does.
func (r *harness) step(wait float64, in ...core.Input) (out []core.Output) {
	r.now += wait
	out = r.c.Step(r.now, in)
	for r.c.Due() <= r.now {
		r.now += 5
		out = append(out, r.c.Step(r.now, nil)...)
	}
	r.all = append(r.all, out...)
	return out
}

// until steps the core at each of its due times up to end.
func (r *harness) until(end float64) (out []core.Output) {
	for at := r.c.Due(); at <= end; at = r.c.Due() {
		out = append(out, r.step(max(0, at-r.now))...)
	}
	r.now = end
	return out
}

func (r *harness) scan(typ int, left float64, shards ...int) *core.Scan {
	r.scans++
	s := &core.Scan{ID: fmt.Sprint("q", r.scans), Key: "k1", Text: "text", TableType: typ, TimeLeft: left, ReceivedAt: r.now}
	for _, shard := range shards {
		s.Parts = append(s.Parts, core.ScanPart{Shard: shard, Weight: 1 / float64(len(shards)), Work: 50})
	}
	return s
}

func pick[T any](out []core.Output) (some []T) {
	for _, o := range out {
		if v, ok := o.(T); ok {
			some = append(some, v)
		}
	}
	return some
}

func parts(out []core.Output) (all []core.CallPart) {
	for _, c := range pick[core.Call](out) {
		all = append(all, c.Parts...)
	}
	return all
}

func (r *harness) ok(p core.CallPart, score float64) core.Ended {
	return core.Ended{Ref: p.Ref, Reason: core.Answered, At: r.now, Score: score, Value: "v" + p.ID}
}

func TestOneStep(t *testing.T) {
	r := start(t)
	out := r.step(10, r.scan(1, 3000, 0, 2, 1))
	calls := pick[core.Call](out)
	require.Len(t, calls, 2, "shards 0 and 2 are on one node: one call, one frame")
	sent := parts(out)
	require.Len(t, sent, 3)
	assert.Equal(t, "q1.0", sent[0].ID)
	assert.Empty(t, sent[0].Key, "only keyed table types send a key")
	assert.InDelta(t, r.now+2980, sent[0].Deadline, 6, "10 ms have passed in the front, and the module reserves 10 ms")
	assert.Empty(t, pick[core.Reply](r.step(50, r.ok(sent[0], 0), r.ok(sent[1], 0))))
	replies := pick[core.Reply](r.step(50, r.ok(sent[2], 0), r.ok(sent[2], 0)))
	require.Len(t, replies, 1)
	assert.True(t, replies[0].Complete)
	assert.ElementsMatch(t, []core.Hit{{Shard: 0, Value: "vq1.0"}, {Shard: 1, Value: "vq1.1"}, {Shard: 2, Value: "vq1.2"}},
		replies[0].Hits)
	assert.Equal(t, 1, r.c.Counts.LateEnds, "a second answer to one dispatch is dropped")
	assert.Zero(t, r.c.Open())
	assert.Empty(t, r.until(r.now+10000), "no output after the reply")
}

func TestSecondStep(t *testing.T) {
	r := start(t)
	sent := parts(r.step(10, r.scan(0, 5000, 3, 4, 0, 1)))
	require.Len(t, sent, 4)
	score := map[int]float64{0: 7, 1: 9, 3: 7, 4: 2}
	var in []core.Input
	for _, p := range sent {
		in = append(in, r.ok(p, score[p.Shard]))
	}
	out := r.step(50, in...)
	assert.Empty(t, pick[core.Reply](out), "the answer of the first step is not sent to the client")
	second := parts(out)
	require.Len(t, second, 2)
	got := map[string]string{}
	for _, p := range second {
		got[p.ID] = p.AnsweredShards
		assert.True(t, p.FirstStepComplete)
	}
	assert.Equal(t, map[string]string{"q1.1.get": "0+1+3+4", "q1.0.get": "0+1+3+4"}, got,
		"the best scores; ties go to the lower shard")
	replies := pick[core.Reply](r.step(50, r.ok(second[0], 0), r.ok(second[1], 0)))
	require.Len(t, replies, 1)
	assert.Len(t, replies[0].Hits, 2)
	assert.True(t, replies[0].Complete)
}

// Each end reason reaches the module as its outcome: a part that never ran or may be repeated is dispatched again,
// and later ends of the same dispatch are dropped.
func TestEndReasons(t *testing.T) {
	for how := core.AnsweredError; how <= core.NeverSent; how++ {
		r := start(t)
		sent := parts(r.step(10, r.scan(1, 3000, 0)))
		require.Len(t, sent, 1, how)
		r.step(20, core.Ended{Ref: sent[0].Ref, Reason: how, At: r.now})
		r.step(0, r.ok(sent[0], 0), core.Ended{Ref: 1 << 40, Reason: core.Answered})
		assert.Equal(t, 2, r.c.Counts.LateEnds, how)
		assert.Equal(t, 1, r.c.Counts.Ends[how], how)
		again := parts(r.until(r.now + 1000))
		require.NotEmpty(t, again, how)
		assert.NotEqual(t, sent[0].Ref, again[0].Ref, "numbers are not reused")
		assert.NotContains(t, how.String(), "unknown")
	}
}

func TestOneReply(t *testing.T) {
	type step func(r *harness, s *core.Scan, sent []core.CallPart) []core.Output
	left := func(r *harness, s *core.Scan, _ []core.CallPart) []core.Output {
		return r.step(0, core.ClientLeft{Scan: s})
	}
	answers := func(r *harness, _ *core.Scan, sent []core.CallPart) []core.Output {
		return r.step(0, r.ok(sent[0], 0), r.ok(sent[1], 0))
	}
	closing := func(r *harness, _ *core.Scan, _ []core.CallPart) []core.Output { return r.step(0, core.Shutdown{}) }
	timeUp := func(r *harness, _ *core.Scan, _ []core.CallPart) []core.Output { return r.until(r.now + 20000) }
	for name, c := range map[string]struct {
		steps   []step
		replies int
	}{
		"answered, then the client leaves":       {[]step{answers, left, timeUp}, 1},
		"the client leaves, then answers come":   {[]step{left, answers, timeUp}, 0},
		"the deadline passes, then answers come": {[]step{timeUp, answers, left}, 1},
		"the broker closes, then answers come":   {[]step{closing, answers, timeUp}, 1},
		"the client leaves twice":                {[]step{left, left, timeUp}, 0},
		"answers and a leaving client in one step": {[]step{func(r *harness, s *core.Scan, sent []core.CallPart) []core.Output {
			return r.step(0, r.ok(sent[0], 0), core.ClientLeft{Scan: s}, r.ok(sent[1], 0))
		}, timeUp}, 0},
	} {
		r := start(t)
		s := r.scan(1, 3000, 0, 1)
		sent := parts(r.step(10, s))
		require.Len(t, sent, 2, name)
		for _, do := range c.steps {
			do(r, s, sent)
		}
		assert.Len(t, pick[core.Reply](r.all), c.replies, name)
		assert.Zero(t, r.c.Open(), name)
		gone := map[int64]bool{}
		for _, g := range pick[core.Cancel](r.all) {
			assert.False(t, gone[g.Ref], "%s: cancelled once", name)
			gone[g.Ref] = true
		}
		ends := 0
		for _, n := range r.c.Counts.Ends {
			ends += n
		}
		assert.Equal(t, len(parts(r.all)), ends, "%s: each dispatch ends once", name)
	}
}

// A scan ends before its client's deadline even if no node answers, and its dispatches are cancelled.
func TestClientDeadline(t *testing.T) {
	r := start(t)
	s := r.scan(1, 800, 0)
	s.ReceivedAt = r.now - 300 // it has waited in the front
	begun := r.now
	sent := parts(r.step(0, s))
	require.Len(t, sent, 1)
	assert.LessOrEqual(t, sent[0].Deadline, r.now+500)
	for at := r.c.Due(); !math.IsInf(at, 1) && len(pick[core.Reply](r.all)) == 0; at = r.c.Due() {
		r.step(max(0, at-r.now))
	}
	replies := pick[core.Reply](r.all)
	require.Len(t, replies, 1)
	assert.NotEqual(t, logic.Answer, replies[0].Kind)
	assert.LessOrEqual(t, r.now, begun+500)
	assert.Len(t, pick[core.Cancel](r.all), len(parts(r.all)))
	assert.Equal(t, logic.Abandon, pick[core.Reply](r.step(0, &core.Scan{ID: "q2", TableType: 1, TimeLeft: 10, ReceivedAt: r.now - 20,
		Parts: []core.ScanPart{{Shard: 0, Weight: 1}}}))[0].Kind, "a scan that arrives after its deadline")
}

// The cancellation of a dispatch is sent some time before the next dispatch of the part, however short the turns are:
// the next one uses another connection, could arrive first, and would be a second copy.
func TestCancelBeforeRedispatch(t *testing.T) {
	r := start(t, map[string]any{"limit.cancelling": false}) // only timeouts cancel dispatches
	cancelledAt, sent := map[int64]float64{}, map[string]int64{}
	for _, p := range parts(r.step(0, r.scan(1, 3900, 0, 1))) {
		sent[p.ID] = p.Ref
	}
	for !math.IsInf(r.c.Due(), 1) {
		r.now = max(r.now+1, r.c.Due())
		for _, o := range r.c.Step(r.now, nil) {
			switch v := o.(type) {
			case core.Cancel:
				cancelledAt[v.Ref] = r.now
			case core.Call:
				for _, p := range v.Parts {
					if last, again := sent[p.ID]; again {
						at, cancelled := cancelledAt[last]
						assert.True(t, cancelled && at <= r.now-5, "%s again at %g, after %g", p.ID, r.now, at)
					}
					sent[p.ID] = p.Ref
				}
			}
		}
	}
	assert.Greater(t, len(cancelledAt), 2, "parts were dispatched again")
}

// A scan that arrives after Shutdown is throttled at once and not dispatched.
func TestAfterClosing(t *testing.T) {
	r := start(t)
	open, late := r.scan(1, 3000, 0), r.scan(1, 3000, 1)
	r.step(0, open)
	out := r.step(1, core.Shutdown{}, late)
	replies := pick[core.Reply](out)
	require.Len(t, replies, 2)
	assert.Equal(t, [2]any{open, logic.Abandon}, [2]any{replies[0].Scan, replies[0].Kind})
	assert.Equal(t, [2]any{late, logic.Throttle}, [2]any{replies[1].Scan, replies[1].Kind})
	assert.Empty(t, parts(out))
	assert.Equal(t, logic.Throttle, pick[core.Reply](r.step(1, r.scan(1, 3000, 1)))[0].Kind)
	assert.Zero(t, r.c.Open())
}

// For every order of three inputs in one turn: a scan gets at most one reply and none after its client left, each
// dispatch ends once, and nothing is sent for a scan that has ended.
func TestEveryOrder(t *testing.T) {
	events := map[string]func(r *harness, s *core.Scan, p core.CallPart) core.Input{
		"answer": func(r *harness, _ *core.Scan, p core.CallPart) core.Input { return r.ok(p, 0) },
		"error": func(r *harness, _ *core.Scan, p core.CallPart) core.Input {
			return core.Ended{Ref: p.Ref, Reason: core.AnsweredError, At: r.now}
		},
		"broke": func(r *harness, _ *core.Scan, p core.CallPart) core.Input {
			return core.Ended{Ref: p.Ref, Reason: core.ReadFailed, At: r.now}
		},
		"left": func(_ *harness, s *core.Scan, _ core.CallPart) core.Input { return core.ClientLeft{Scan: s} },
		"gone": func(*harness, *core.Scan, core.CallPart) core.Input { return core.List{Kind: logic.ListFull} },
		"end":  func(*harness, *core.Scan, core.CallPart) core.Input { return core.Shutdown{} },
	}
	names := slices.Sorted(maps.Keys(events))
	for _, wait := range []float64{10, 2999, 3000} { // before the client's deadline, just before it, and at it
		for order := range len(names) * len(names) * len(names) {
			chosen := []string{names[order%6], names[order/6%6], names[order/36]}
			label := fmt.Sprint(chosen, " after ", wait)
			r := start(t)
			s := r.scan(1, 3000, 0)
			sent := parts(r.step(0, s))
			require.Len(t, sent, 1, label)
			r.now += wait
			var in []core.Input
			for _, name := range chosen {
				in = append(in, events[name](r, s, sent[0]))
			}
			out := r.step(0, in...)
			r.until(r.now + 10000)
			replies := pick[core.Reply](r.all)
			if chosen[0] == "left" {
				assert.Empty(t, replies, label)
				assert.Len(t, parts(r.all), 1, label)
			} else if slices.Contains(chosen, "left") {
				assert.LessOrEqual(t, len(replies), 1, label)
				assert.Empty(t, parts(out), label)
			} else {
				assert.Len(t, replies, 1, label)
			}
			if slices.Contains(chosen, "end") {
				assert.Empty(t, parts(out), label)
			}
			ends := 0
			for _, n := range r.c.Counts.Ends {
				ends += n
			}
			assert.Equal(t, len(parts(r.all)), ends, label)
			assert.Zero(t, r.c.Open(), label)
		}
	}
}

func TestOpenCap(t *testing.T) {
	r := start(t) // the limit is 20 scans and parts
	for i := range 7 {
		out := r.step(0, r.scan(1, 3000, 0, 1))
		assert.Len(t, pick[core.Reply](out), i/6, "scan %d", i)
	}
	full := pick[core.Reply](r.all)[0]
	assert.Equal(t, logic.Throttle, full.Kind)
	assert.Equal(t, 1, r.c.Counts.OverCapacity)
	r.until(r.now + 20000)
	assert.Len(t, pick[core.Reply](r.all), 7)
	assert.Empty(t, pick[core.Reply](r.step(0, r.scan(1, 3000, 0, 1))), "capacity is free again")
}

// A keyed part is sent with its key, and a further dispatch of it must be written within the repeat window of the
// nodes. The module decides before the connection is dialled and does not see how long that takes.
func TestKeyed(t *testing.T) {
	r := start(t)
	begun := r.now
	sent := parts(r.step(0, r.scan(2, 4000, 0)))
	require.Len(t, sent, 1)
	assert.Equal(t, "k1", sent[0].Key)
	assert.Zero(t, sent[0].NotAfter, "the first dispatch has no latest time")
	r.step(30, core.Ended{Ref: sent[0].Ref, Reason: core.ReadFailed, At: r.now})
	again := parts(r.until(r.now + 500))
	require.NotEmpty(t, again)
	assert.InDelta(t, begun+2500, again[0].NotAfter, 1)
	for _, p := range parts(r.until(begun + 2600)) {
		assert.InDelta(t, begun+2500, p.NotAfter, 1)
	}
	for _, p := range parts(r.all) {
		r.step(0, core.Ended{Ref: p.Ref, Reason: core.DialRefused, At: r.now})
	}
	assert.Empty(t, parts(r.until(begun+5000)), "not dispatched again after the window")
}

// An outstanding first dispatch of a keyed part may be the one that runs: a second copy must also be written within
// the repeat window that starts at the first dispatch.
func TestKeyedCopy(t *testing.T) {
	r := start(t, map[string]any{"limit.secondCopies": true})
	r.step(10, core.List{Kind: logic.ListDelta, Nodes: []core.Node{{Host: "s-c", Addr: "127.0.0.1:4", Zone: "west",
		Kind: "std", Readiness: logic.Ready, Units: 1}}}) // another holder of the shard
	begun := r.now
	sent := parts(r.step(0, r.scan(2, 4000, 0)))
	require.Len(t, sent, 1)
	copies := parts(r.until(begun + 2400)) // its node does not answer
	require.NotEmpty(t, copies)
	for _, p := range copies {
		assert.InDelta(t, begun+2500, p.NotAfter, 1)
	}
}

// A request with the ID of an open scan is rejected, and the open scan continues.
func TestSameID(t *testing.T) {
	r := start(t)
	s := r.scan(1, 3000, 0)
	sent := parts(r.step(10, s))
	other := r.scan(1, 3000, 1)
	other.ID = s.ID
	out := r.step(10, other)
	assert.Equal(t, []core.Reply{{Scan: other, Kind: logic.Abandon, Conflict: true,
		Why: "an open request has this X-Correlation-Id"}}, pick[core.Reply](out))
	assert.Empty(t, parts(out))
	done := pick[core.Reply](r.step(10, core.ClientLeft{Scan: other}, r.ok(sent[0], 0)))
	require.Len(t, done, 1)
	assert.Same(t, s, done[0].Scan)
	assert.Len(t, parts(r.step(10, other)), 1, "the ID is free again after the reply")
}

// Nodes that are replaced under new names leave no state behind; one with an outstanding dispatch is kept until that ends.
func TestGoneNodesAreForgotten(t *testing.T) {
	r := start(t)
	list := func(i int) core.List {
		return core.List{Kind: logic.ListFull, Nodes: []core.Node{{Host: fmt.Sprint("s-", i), Addr: "127.0.0.1:5", Zone: "west",
			Kind: "std", Readiness: logic.Ready, Units: 1}}}
	}
	r.step(10, list(0))
	sent := parts(r.step(10, r.scan(1, 3000, 0)))
	require.Len(t, sent, 1)
	for i := range 100 {
		r.step(10, list(1+i))
	}
	assert.NotZero(t, r.c.Number("s-0"), "a dispatch is outstanding")
	assert.Zero(t, r.c.Number("s-50"))
	r.step(10, r.ok(sent[0], 0))
	r.step(10, list(101))
	assert.Zero(t, r.c.Number("s-0"))
	assert.NotZero(t, r.c.Number("s-101"))
}

func TestLists(t *testing.T) {
	node := func(host, addr string, ready logic.Readiness) core.Node {
		return core.Node{Host: host, Addr: addr, Zone: "west", Kind: "std", Readiness: ready, Units: 1}
	}
	for name, c := range map[string]struct {
		list core.List
		want []core.NodeChange
	}{
		"nothing new": {core.List{Kind: logic.ListDelta, Nodes: []core.Node{node("s-a", "127.0.0.1:2", logic.Ready)}}, nil},
		"moved": {core.List{Kind: logic.ListDelta, Nodes: []core.Node{node("s-a", "127.0.0.1:9", logic.Ready)}},
			[]core.NodeChange{{Host: "s-a", Addr: "127.0.0.1:9"}}},
		"draining": {core.List{Kind: logic.ListDelta, Nodes: []core.Node{node("s-a", "127.0.0.1:2", logic.Draining)}},
			[]core.NodeChange{{Host: "s-a", Addr: "127.0.0.1:2", Draining: true}}},
		"gone": {core.List{Kind: logic.ListDelta, Nodes: []core.Node{node("s-a", "", logic.Gone)}},
			[]core.NodeChange{{Host: "s-a", Addr: "127.0.0.1:2", Gone: true}}},
		"left out of a whole list": {core.List{Kind: logic.ListFull, Nodes: []core.Node{node("s-a", "127.0.0.1:2", logic.Ready)}},
			[]core.NodeChange{{Host: "s-b", Addr: "127.0.0.1:3", Gone: true}}},
		"failed":       {core.List{Kind: logic.ListFailed}, nil},
		"empty, whole": {core.List{Kind: logic.ListFull}, []core.NodeChange{{Host: "s-a", Addr: "127.0.0.1:2", Gone: true}, {Host: "s-b", Addr: "127.0.0.1:3", Gone: true}}},
	} {
		r := start(t)
		assert.ElementsMatch(t, c.want, pick[core.NodeChange](r.step(0, c.list)), name)
	}
	r := start(t)
	r.step(100, core.List{Kind: logic.ListFailed})
	assert.Equal(t, []core.Output{core.SubscribeList{}}, r.until(r.now+5000), "the module asks for the list once more")
	unknown := core.Node{Host: "s-c", Addr: "127.0.0.1:4", Zone: "moon", Kind: "odd", Cell: 99, Readiness: logic.Ready}
	assert.Len(t, pick[core.Log](r.step(0, core.List{Kind: logic.ListDelta, Nodes: []core.Node{unknown}})), 2, "unknown zones and kinds are logged")
	assert.Empty(t, pick[core.Call](r.step(0, core.List{Kind: logic.ListDelta, Nodes: []core.Node{
		node("s-a", "127.0.0.1:2", logic.Draining), node("s-a", "127.0.0.1:2", logic.Draining)}}, r.scan(1, 3000, 0))),
		"no new dispatch to a draining node")
}

// A node has the same number at every broker; otherwise the turns in which brokers use a cold node would coincide.
func TestSameNumbers(t *testing.T) {
	a, b := start(t), start(t)
	list := core.List{Kind: logic.ListDelta, Nodes: []core.Node{{Host: "s-x", Addr: "127.0.0.1:7", Zone: "west",
		Kind: "std", Readiness: logic.Ready, Units: 1, Born: 1e12 - 1}}}
	a.step(0, list)
	b.step(0, core.List{Kind: logic.ListFull, Nodes: []core.Node{{Host: "s-y", Addr: "127.0.0.1:8", Zone: "west",
		Kind: "std", Readiness: logic.Ready, Units: 1}}}, list)
	assert.Equal(t, a.c.Number("s-x"), b.c.Number("s-x"))
	assert.NotZero(t, a.c.Number("s-x"))
}

// Brokers of two deployments in one process do not share state: each behaves as it does alone, although the table types of
// the other have different effects, times and limits, and their steps alternate.
func TestDeploymentsAreIndependent(t *testing.T) {
	others := map[string]any{"tableType.1.effect": "non-replayable", "tableType.2.effect": "replayable", "tableType.0.timeout": 900.0,
		"tableType.1.target": 200.0, "limit.dispatches": 1.0, "limit.secondCopies": true, "rules.cold": 1000.0, "layout.callWork": 1.0}
	workload := func(r *harness) []func() {
		var steps []func()
		for i := range 60 {
			steps = append(steps, func() {
				s := r.scan(i%3, 2500, i%6, (i+2)%6)
				sent := parts(r.step(7, s))
				if len(sent) > 0 && i%4 == 0 {
					r.step(3, core.Ended{Ref: sent[0].Ref, Reason: core.ReadFailed, At: r.now})
				}
				if len(sent) > 1 && i%3 > 0 {
					r.step(11, r.ok(sent[1], 1))
				}
				r.until(r.now + 20)
			})
		}
		return steps
	}
	alone := func(changes ...map[string]any) []core.Output {
		r := start(t, changes...)
		for _, step := range workload(r) {
			step()
		}
		r.until(r.now + 10000)
		return r.all
	}
	first, second := start(t), start(t, others)
	steps := [2][]func(){workload(first), workload(second)}
	for i := range steps[0] {
		steps[0][i]()
		steps[1][i]()
	}
	first.until(first.now + 10000)
	second.until(second.now + 10000)
	plain := func(out []core.Output) string { return fmt.Sprintf("%+v", calls(out)) }
	assert.Equal(t, plain(alone()), plain(first.all))
	assert.Equal(t, plain(alone(others)), plain(second.all))
	assert.NotEqual(t, plain(first.all), plain(second.all))
}

// calls returns the calls, cancellations and replies of a core in order.
func calls(out []core.Output) (kept []any) {
	for _, o := range out {
		switch v := o.(type) {
		case core.Call, core.Cancel:
			kept = append(kept, v)
		case core.Reply:
			kept = append(kept, [4]any{v.Scan.ID, v.Kind, v.Complete, v.RetryAfter})
		}
	}
	return kept
}

// Shadow settings do not change the outputs, and the decisions that they would change are counted.
func TestShadowSettings(t *testing.T) {
	run := func(shadow bool) *harness {
		r := newHarness(t)
		if shadow {
			other := maps.Clone(r.flat)
			other["tableType.1.effect"], other["limit.dispatches"] = "non-replayable", 1.0
			r.c.SetShadowSettings(other)
		}
		r.step(0)
		out := r.step(10, r.scan(1, 3000, 0))
		p := parts(out)
		require.Len(t, p, 1)
		again := r.step(30, core.Ended{Ref: p[0].Ref, Reason: core.PeerClosed, At: r.now})
		again = append(again, r.until(r.now+500)...)
		require.Len(t, parts(again), 1, "sent again")
		return r
	}
	plain, shadowed := run(false), run(true)
	assert.Equal(t, plain.all, shadowed.all)
	assert.Nil(t, plain.c.Counts.ShadowDiffs)
	assert.Equal(t, map[string]int{"effect": 1}, shadowed.c.Counts.ShadowDiffs)
}
