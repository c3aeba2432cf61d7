package logic

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// told reads the notes among acts as records.
func told(acts []Action) (records [][]byte) {
	for _, a := range kinds(acts, Tell) {
		for at := 0; at+noteRecord <= len(a.Note); at += noteRecord {
			records = append(records, a.Note[at:at+noteRecord])
		}
	}
	return records
}

func recordOf(node int64, what byte) []byte {
	return report(nil, node, what)
}

var peers = map[string]any{"limit.peers": true}

// Where brokers see a node seldom, what they send it is told, and what is no news is not.
func TestNotes(t *testing.T) {
	r := play(t, nil, ring(4))
	assert.Empty(t, told(r.step(1, scanOf(1, 0, 6000, 0)...)), "nothing is told where it is not allowed")

	r = play(t, peers, ring(4))
	acts := r.step(1, scanOf(1, 0, 6000, 0, 1)...)
	at := kinds(acts, Dispatch)[0].Node
	assert.Len(t, told(acts), len(nodes(acts)), "one record a call")
	assert.Equal(t, recordOf(at, 0)[:2], told(acts)[0][:2])
	assert.Empty(t, told(r.step(50, r.answers(1, 1)...)), "a node that is well and stays so is no news")

	for how, want := range map[Outcome]byte{Errored: noteBad, ConnRefused: noteNobody} {
		r = play(t, peers, ring(4))
		at = kinds(r.step(1, scanOf(1, 0, 6000, 0)...), Dispatch)[0].Node
		assert.Contains(t, told(r.step(10, r.ended(kinds(r.acts, Dispatch)[0].ID, 0, how, 10))), recordOf(at, want))
	}
}

// Work that others told of weighs like one's own, and fades.
func TestNotesSteerTheCover(t *testing.T) {
	r := play(t, peers, ring(4))
	for i := 0; i < 6; i++ {
		r.step(1, Event{Kind: PeerNote, Note: recordOf(100, 200)})
		acts := r.step(1, scanOf(int64(i+1), 0, 6000, 0)...)
		assert.NotContains(t, nodes(acts), int64(100), "shard 0 is held by 100 and 101 too")
		r.step(30, r.answers(int64(i+1), 1)...)
	}
	b := &r.b
	n := b.index[100]
	before := b.load(n)
	r.step(5000, timer(99))
	assert.Less(t, b.load(n), before/10)
}

// A node that failed others rests here too; who is told of a trial leaves the node alone meanwhile.
func TestNotesOfOutcomes(t *testing.T) {
	r := play(t, peers, ring(4))
	r.step(1000, Event{Kind: PeerNote, Note: recordOf(100, noteNobody)})
	n := r.b.index[100]
	assert.True(t, r.b.sick(n))
	r.step(restTime+1, timer(99))
	assert.False(t, r.b.sick(n))
	r.step(1, Event{Kind: PeerNote, Note: recordOf(100, 9)})
	assert.True(t, r.b.sick(n), "another broker is trying it")
	r.step(1, Event{Kind: PeerNote, Note: append(recordOf(100, noteGood), recordOf(100, noteGood)...)})
	assert.False(t, r.b.poor(n))
}

// The news that a node is well again may be lost on its way, or come while this broker stands still. Others work with the node all the time and each of their notes
// put its trial off here: it never came. Without an ill word for as long as anything counts, this broker tries it itself.
func TestLostNewsOfRecovery(t *testing.T) {
	r := play(t, peers, ring(4))
	r.step(1000, Event{Kind: PeerNote, Note: recordOf(100, noteNobody)})
	n := r.b.index[100]
	for range 40 {
		r.step(100, Event{Kind: PeerNote, Note: recordOf(100, 9)})
		assert.True(t, r.b.sick(n), "others are trying it")
	}
	r.step(100, Event{Kind: PeerNote, Note: recordOf(100, noteBad)})
	for range 40 {
		r.step(100, Event{Kind: PeerNote, Note: recordOf(100, 9)})
		assert.True(t, r.b.sick(n), "it failed at the last trial")
	}
	for range 15 {
		r.step(100, Event{Kind: PeerNote, Note: recordOf(100, 9)})
	}
	assert.False(t, r.b.sick(n))
}

// Notes may be spoilt: they change nothing and stop nothing.
func TestSpoiltNotes(t *testing.T) {
	for _, note := range [][]byte{nil, {1}, {1, 2, 3, 4}, make([]byte, 300)} {
		r := play(t, peers, ring(4))
		acts := r.step(1, Event{Kind: PeerNote, Note: note})
		assert.Len(t, kinds(acts, Note), 1)
		assert.Zero(t, r.b.answers)
	}
	r := play(t, peers, ring(4))
	var said []string
	for range 9 {
		for _, a := range kinds(r.step(1, Event{Kind: PeerNote, Note: []byte{1}}), Note) {
			said = append(said, a.Text[len(a.Text)-2:])
		}
	}
	assert.Equal(t, []string{" 1", " 2", " 4", " 8"}, said, "all are counted, few are logged")
	assert.Empty(t, r.step(1, Event{Kind: PeerNote, Note: recordOf(7777, noteNobody)}), "a node of no list")
}

// Slow connecting (caruaru-precos big-2) is refused at nodes that are well: others are told that nobody is there
// only where connecting works elsewhere. The holder with an open connection is taken then.
func TestSlowConnecting(t *testing.T) {
	r := play(t, map[string]any{"limit.connIdle": 30000.0, "limit.peers": true}, ring(4))
	r.b.refusing = 0.5
	at := kinds(r.step(1, scanOf(1, 0, 6000, 0)...), Dispatch)[0]
	acts := r.step(250, r.ended(at.ID, 0, ConnRefused, 250))
	assert.NotContains(t, told(acts), recordOf(at.Node, noteNobody), "it holds for this broker's way alone")
	r = play(t, map[string]any{"limit.connIdle": 30000.0, "limit.peers": true}, ring(4))
	at = kinds(r.step(1, scanOf(1, 0, 6000, 0)...), Dispatch)[0]
	acts = r.step(250, r.ended(at.ID, 0, ConnRefused, 250))
	assert.Contains(t, told(acts), recordOf(at.Node, noteNobody), "connecting works elsewhere: nobody is there")
	for _, open := range []int64{100, 101} {
		r = play(t, map[string]any{"limit.connIdle": 30000.0}, ring(4))
		r.b.used[r.b.index[open]] = r.b.now
		for i := int64(2); i < 8; i++ {
			r.b.refusing = 0.5
			assert.Contains(t, nodes(r.step(100, scanOf(i, 0, 6000, 0)...)), open, "it alone has an open connection")
			r.step(300, r.answers(i, 1)...)
		}
	}
}

// Nodes that say they have no room bring throttling forward (caruaru-precos overload): latencies of the few
// answers look well meanwhile.
func TestFullNodesThrottle(t *testing.T) {
	for _, c := range []struct {
		full float64
		away int
	}{{0, 0}, {0.5, 20}} {
		r := play(t, nil, ring(4))
		r.b.full, r.b.valued, r.b.meanValue = map[int]float64{0: c.full}, 100, 1
		away := 0
		for i := int64(1); i <= 20; i++ {
			away += len(kinds(r.step(5, scanOf(i, 0, 6000, 0)...), Throttle))
			r.step(5, r.answers(i, 1)...)
			r.b.full = map[int]float64{0: c.full}
		}
		assert.Equal(t, c.away, away)
	}
}

// A way that is slow to one kind of machine (izmir-main) is known before each node of it has been heard.
func TestKinds(t *testing.T) {
	list := ring(4)
	list[0].Kind, list[2].Kind = 1, 1
	r := play(t, nil, list)
	r.b.kinds[1] = [2]float64{0.9, 0.1}
	slow, _ := r.b.lat(r.b.index[102])
	other, _ := r.b.lat(r.b.index[103])
	assert.Equal(t, 0.9, slow)
	assert.Less(t, other, 0.5)
}

// Where copies are allowed one leaves while it can still make the target time, however few parts are out
// (caruaru-precos rough-2: with one part of many out, five mean latencies passed before anything was done).
func TestCopyInTime(t *testing.T) {
	r := play(t, nil, ring(4))
	r.step(1, scanOf(1, 0, 6000, 0, 2)...)
	r.step(300, r.answers(1, 1)...)
	var copied []Action
	for r.now < 50000+1900 && len(copied) == 0 {
		copied = kinds(r.step(50, timer(1)), Dispatch)
	}
	assert.Len(t, copied, 1)
	assert.Less(t, r.now, 50000+1700.0)
}

// A node that has kept a call waiting and said nothing since is left to others at the first sign, by all brokers
// that are told (caruaru-precos big-1: three silences had to pass at each before).
func TestLateSign(t *testing.T) {
	r := play(t, peers, ring(4))
	at := kinds(r.step(1, scanOf(1, 0, 6000, 0)...), Dispatch)[0].Node
	acts := r.step(800, timer(1))
	assert.Contains(t, told(acts), recordOf(at, noteLate))
	assert.NotContains(t, told(r.step(50, timer(1))), recordOf(at, noteLate), "once a dispatch")

	o := play(t, peers, ring(4))
	n := o.b.index[at]
	before := o.b.weigh(n)
	o.step(1, Event{Kind: PeerNote, Note: recordOf(at, noteLate)})
	assert.Greater(t, o.b.weigh(n), 2*before)
	o.step(1, Event{Kind: PeerNote, Note: recordOf(at, noteGood)})
	assert.Equal(t, before, o.b.weigh(n))
}

// A list that cannot be had is asked for again, later each time and not by all brokers at once; never so late that
// the broker counts as told of what it could not hear.
func TestAskingAgain(t *testing.T) {
	waits := func(seed uint64, changes map[string]any) (all []float64) {
		r := &rig{now: 50000}
		changes["discovery"] = "subscribe"
		acts := r.step(0, Event{Kind: Started, Seed: seed, Terms: site(changes)})
		assert.Len(t, kinds(acts, Subscribe), 1, "asked at start")
		for range 8 {
			acts := kinds(r.step(1, Event{Kind: ListArrived, List: ListFailed}), SetTimer)
			assert.Len(t, acts, 1)
			all = append(all, acts[0].After)
			assert.Len(t, kinds(r.step(acts[0].After, timer(askList)), Subscribe), 1)
		}
		r.step(1, Event{Kind: ListArrived, List: ListWhole, Entries: ring(4)})
		again := kinds(r.step(1, Event{Kind: ListArrived, List: ListFailed}), SetTimer)
		assert.LessOrEqual(t, again[0].After, restTime, "after a list the waits begin anew")
		return all
	}
	one, other := waits(1, map[string]any{}), waits(2, map[string]any{})
	assert.Greater(t, one[4], 1.5*one[0])
	assert.LessOrEqual(t, slices.Max(one), askMost)
	assert.NotEqual(t, one, other)
	assert.LessOrEqual(t, slices.Max(waits(1, map[string]any{"rules.askWithin": 3000.0})), 1500.0)
}

// Who turns scans away hears little, and would go on for ever by what it heard in a jam that is over (the standing
// test's calm+mass, dender-scores-later big-1): a prediction fades once nothing has been heard for a while.
func TestPredictionFades(t *testing.T) {
	for _, c := range []struct {
		quiet float64
		note  bool // another broker tells of its work meanwhile
		away  bool
	}{{100, false, true}, {10000, false, false}, {10000, true, true}} {
		r := play(t, peers, ring(4))
		r.b.kinds[0], r.b.newsAt = [2]float64{3, 0.05}, r.now
		r.now += c.quiet
		if c.note {
			r.step(0, Event{Kind: PeerNote, Note: recordOf(103, 1)})
		}
		r.step(1, scanOf(1, 0, 6000, 0)...)
		assert.Equal(t, c.away, len(kinds(r.acts, Throttle)) > 0, "%v", c)
	}
}

// Where verdicts are shared an outcome that comes late is told as such; what others hold of a node's load weighs while they tell it again, and not for longer.
func TestLoadByVerdict(t *testing.T) {
	r := play(t, map[string]any{"share.verdicts": true}, ring(4))
	judged := func(num int64, took float64) Action {
		t.Helper()
		r.step(1, scanOf(num, 0, 6000, 0)...)
		all := kinds(r.step(took, r.ended(1000*num+1, 0, Completed, took)), Judged)
		assert.Len(t, all, 1)
		return all[0]
	}
	for i := int64(1); i <= 40; i++ {
		assert.False(t, judged(i, 300+float64(i%3)).Late)
	}
	assert.True(t, judged(41, 900).Late)
	assert.True(t, judged(41+1, 900).Whole, "it counts for the node all the same")

	n := r.b.index[100]
	before := r.b.weigh(n)
	held := func(how Outcome) Event { return Event{Kind: VerdictHeard, Node: 100, Outcome: how} }
	r.step(5000, held(Saturated))
	assert.Greater(t, r.b.weigh(n), 2*before)
	assert.False(t, r.b.poor(n))
	r.step(2*restTime-1, timer(99))
	assert.Greater(t, r.b.weigh(n), 2*before)
	r.step(2, timer(99))
	assert.Less(t, r.b.weigh(n), 2*before, "it is not told any more")
}
