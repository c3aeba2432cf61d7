package logic

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// sentRecords returns the records of all notes among acts.
func sentRecords(acts []Action) (records [][]byte) {
	for _, a := range filterActions(acts, SendNote) {
		for at := 0; at+noteRecordSize <= len(a.Note); at += noteRecordSize {
			records = append(records, a.Note[at:at+noteRecordSize])
		}
	}
	return records
}

func encodeRecord(node int64, value byte) []byte {
	return appendRecord(nil, node, value)
}

var peerSettings = map[string]any{"limit.peers": true}

// Sent work is reported to the other brokers; successes of a healthy node are not.
func TestNotes(t *testing.T) {
	r := startBroker(t, nil, ringOfNodes(4))
	assert.Empty(t, sentRecords(r.step(1, scanEvents(1, 0, 6000, 0)...)), "no notes where they are not allowed")

	r = startBroker(t, peerSettings, ringOfNodes(4))
	acts := r.step(1, scanEvents(1, 0, 6000, 0, 1)...)
	at := filterActions(acts, Dispatch)[0].Node
	assert.Len(t, sentRecords(acts), len(dispatchesByNode(acts)), "one record per call")
	assert.Equal(t, encodeRecord(at, 0)[:2], sentRecords(acts)[0][:2])
	assert.Empty(t, sentRecords(r.step(50, r.completions(1, 1)...)), "success of a healthy node is not reported")

	for how, want := range map[Outcome]byte{Errored: noteFailure, ConnRefused: noteRefused} {
		r = startBroker(t, peerSettings, ringOfNodes(4))
		at = filterActions(r.step(1, scanEvents(1, 0, 6000, 0)...), Dispatch)[0].Node
		assert.Contains(t, sentRecords(r.step(10, r.dispatchEnded(filterActions(r.actions, Dispatch)[0].ID, 0, how, 10))), encodeRecord(at, want))
	}
}

// Work reported by other brokers counts like own work, and decays.
func TestPeerWorkInCover(t *testing.T) {
	r := startBroker(t, peerSettings, ringOfNodes(4))
	for i := 0; i < 6; i++ {
		r.step(1, Event{Kind: PeerNote, Note: encodeRecord(100, 200)})
		acts := r.step(1, scanEvents(int64(i+1), 0, 6000, 0)...)
		assert.NotContains(t, dispatchesByNode(acts), int64(100), "101 also holds shard 0")
		r.step(30, r.completions(int64(i+1), 1)...)
	}
	b := &r.b
	n := b.index[100]
	before := b.load(n)
	r.step(5000, timerEvent(99))
	assert.Less(t, b.load(n), before/10)
}

// A node that failed at other brokers is ejected here too, and stays ejected while another broker tries it.
func TestNotesOfOutcomes(t *testing.T) {
	r := startBroker(t, peerSettings, ringOfNodes(4))
	r.step(1000, Event{Kind: PeerNote, Note: encodeRecord(100, noteRefused)})
	n := r.b.index[100]
	assert.True(t, r.b.ejected(n))
	r.step(ejectionTime+1, timerEvent(99))
	assert.False(t, r.b.ejected(n))
	r.step(1, Event{Kind: PeerNote, Note: encodeRecord(100, 9)})
	assert.True(t, r.b.ejected(n), "another broker is trying it")
	r.step(1, Event{Kind: PeerNote, Note: append(encodeRecord(100, noteSuccess), encodeRecord(100, noteSuccess)...)})
	assert.False(t, r.b.unhealthy(n))
}

// The note of a recovery may be lost, or arrive while this broker is paused. The other brokers then use the node, and each of
// their notes once postponed the trial here, so that it never took place. Without a failure for latencyMaxAge, this broker
// tries the node itself.
func TestLostRecoveryNote(t *testing.T) {
	r := startBroker(t, peerSettings, ringOfNodes(4))
	r.step(1000, Event{Kind: PeerNote, Note: encodeRecord(100, noteRefused)})
	n := r.b.index[100]
	for range 40 {
		r.step(100, Event{Kind: PeerNote, Note: encodeRecord(100, 9)})
		assert.True(t, r.b.ejected(n), "on trial at other brokers")
	}
	r.step(100, Event{Kind: PeerNote, Note: encodeRecord(100, noteFailure)})
	for range 40 {
		r.step(100, Event{Kind: PeerNote, Note: encodeRecord(100, 9)})
		assert.True(t, r.b.ejected(n), "the last trial failed")
	}
	for range 15 {
		r.step(100, Event{Kind: PeerNote, Note: encodeRecord(100, 9)})
	}
	assert.False(t, r.b.ejected(n))
}

// Malformed notes change no state and stop nothing.
func TestMalformedNotes(t *testing.T) {
	for _, note := range [][]byte{nil, {1}, {1, 2, 3, 4}, make([]byte, 300)} {
		r := startBroker(t, peerSettings, ringOfNodes(4))
		acts := r.step(1, Event{Kind: PeerNote, Note: note})
		assert.Len(t, filterActions(acts, WriteLog), 1)
		assert.Zero(t, r.b.answers)
	}
	r := startBroker(t, peerSettings, ringOfNodes(4))
	var logged []string
	for range 9 {
		for _, a := range filterActions(r.step(1, Event{Kind: PeerNote, Note: []byte{1}}), WriteLog) {
			logged = append(logged, a.Text[len(a.Text)-2:])
		}
	}
	assert.Equal(t, []string{" 1", " 2", " 4", " 8"}, logged, "all are counted, few are logged")
	assert.Empty(t, r.step(1, Event{Kind: PeerNote, Note: encodeRecord(7777, noteRefused)}), "a node that is not in the list")
}

// On a slow network (caruaru-precos big-2) healthy nodes seem to refuse connections. Refusals are reported to other brokers
// only if connecting works elsewhere. A holder with an open connection is preferred then.
func TestSlowConnecting(t *testing.T) {
	r := startBroker(t, map[string]any{"limit.connIdle": 30000.0, "limit.peers": true}, ringOfNodes(4))
	r.b.refusalRate = 0.5
	at := filterActions(r.step(1, scanEvents(1, 0, 6000, 0)...), Dispatch)[0]
	acts := r.step(250, r.dispatchEnded(at.ID, 0, ConnRefused, 250))
	assert.NotContains(t, sentRecords(acts), encodeRecord(at.Node, noteRefused), "it may concern this broker's network only")
	r = startBroker(t, map[string]any{"limit.connIdle": 30000.0, "limit.peers": true}, ringOfNodes(4))
	at = filterActions(r.step(1, scanEvents(1, 0, 6000, 0)...), Dispatch)[0]
	acts = r.step(250, r.dispatchEnded(at.ID, 0, ConnRefused, 250))
	assert.Contains(t, sentRecords(acts), encodeRecord(at.Node, noteRefused), "connecting works elsewhere: nothing listens there")
	for _, open := range []int64{100, 101} {
		r = startBroker(t, map[string]any{"limit.connIdle": 30000.0}, ringOfNodes(4))
		r.b.connUsedAt[r.b.index[open]] = r.b.now
		for i := int64(2); i < 8; i++ {
			r.b.refusalRate = 0.5
			assert.Contains(t, dispatchesByNode(r.step(100, scanEvents(i, 0, 6000, 0)...)), open, "only this node has an open connection")
			r.step(300, r.completions(i, 1)...)
		}
	}
}

// Saturated nodes cause throttling earlier (caruaru-precos overload): the latencies of the few answers still look good then.
func TestFullNodesThrottle(t *testing.T) {
	for _, c := range []struct {
		saturation float64
		rejected   int
	}{{0, 0}, {0.5, 20}} {
		r := startBroker(t, nil, ringOfNodes(4))
		r.b.saturation, r.b.valueCount, r.b.meanValue = map[int]float64{0: c.saturation}, 100, 1
		rejected := 0
		for i := int64(1); i <= 20; i++ {
			rejected += len(filterActions(r.step(5, scanEvents(i, 0, 6000, 0)...), Throttle))
			r.step(5, r.completions(i, 1)...)
			r.b.saturation = map[int]float64{0: c.saturation}
		}
		assert.Equal(t, c.rejected, rejected)
	}
}

// A network path that is slow for one kind of machine (izmir-main) is known before every node of the kind has answered.
func TestKinds(t *testing.T) {
	list := ringOfNodes(4)
	list[0].Kind, list[2].Kind = 1, 1
	r := startBroker(t, nil, list)
	r.b.kindLatency[1] = [2]float64{0.9, 0.1}
	slow, _ := r.b.recentLatency(r.b.index[102])
	other, _ := r.b.recentLatency(r.b.index[103])
	assert.Equal(t, 0.9, slow)
	assert.Less(t, other, 0.5)
}

// A second copy leaves while it can still meet the target time, however few parts are open (caruaru-precos rough-2: with one
// part of many open, it left only after five mean latencies).
func TestCopyInTime(t *testing.T) {
	r := startBroker(t, nil, ringOfNodes(4))
	r.step(1, scanEvents(1, 0, 6000, 0, 2)...)
	r.step(300, r.completions(1, 1)...)
	var copied []Action
	for r.now < 50000+1900 && len(copied) == 0 {
		copied = filterActions(r.step(50, timerEvent(1)), Dispatch)
	}
	assert.Len(t, copied, 1)
	assert.Less(t, r.now, 50000+1700.0)
}

// A node with a late call and no answer since is avoided at once, also by all brokers that get the note
// (caruaru-precos big-1: before, each broker needed three silent dispatches of its own).
func TestLateNote(t *testing.T) {
	r := startBroker(t, peerSettings, ringOfNodes(4))
	at := filterActions(r.step(1, scanEvents(1, 0, 6000, 0)...), Dispatch)[0].Node
	acts := r.step(800, timerEvent(1))
	assert.Contains(t, sentRecords(acts), encodeRecord(at, noteLate))
	assert.NotContains(t, sentRecords(r.step(50, timerEvent(1))), encodeRecord(at, noteLate), "once per dispatch")

	o := startBroker(t, peerSettings, ringOfNodes(4))
	n := o.b.index[at]
	before := o.b.loadFactor(n)
	o.step(1, Event{Kind: PeerNote, Note: encodeRecord(at, noteLate)})
	assert.Greater(t, o.b.loadFactor(n), 2*before)
	o.step(1, Event{Kind: PeerNote, Note: encodeRecord(at, noteSuccess)})
	assert.Equal(t, before, o.b.loadFactor(n))
}

// A failed request for the node list is repeated with backoff and jitter, but soon enough that this broker does not count as
// informed of a list that it could not get.
func TestListBackoff(t *testing.T) {
	backoffs := func(seed uint64, changes map[string]any) (all []float64) {
		r := &testBroker{now: 50000}
		changes["discovery"] = "subscribe"
		acts := r.step(0, Event{Kind: Started, Seed: seed, Settings: testSettings(changes)})
		assert.Len(t, filterActions(acts, Subscribe), 1, "requested at start")
		for range 8 {
			acts := filterActions(r.step(1, Event{Kind: ListArrived, List: ListFailed}), SetTimer)
			assert.Len(t, acts, 1)
			all = append(all, acts[0].After)
			assert.Len(t, filterActions(r.step(acts[0].After, timerEvent(listTimer)), Subscribe), 1)
		}
		r.step(1, Event{Kind: ListArrived, List: ListFull, Entries: ringOfNodes(4)})
		again := filterActions(r.step(1, Event{Kind: ListArrived, List: ListFailed}), SetTimer)
		assert.LessOrEqual(t, again[0].After, ejectionTime, "a list resets the backoff")
		return all
	}
	first, second := backoffs(1, map[string]any{}), backoffs(2, map[string]any{})
	assert.Greater(t, first[4], 1.5*first[0])
	assert.LessOrEqual(t, slices.Max(first), listBackoffMax)
	assert.NotEqual(t, first, second)
	assert.LessOrEqual(t, slices.Max(backoffs(1, map[string]any{"rules.askWithin": 3000.0})), 1500.0)
}

// A broker that rejects scans gets few answers, and would keep rejecting on the measurements of an overload that is over
// (calm+mass of the standing test, dender-scores-later big-1): predictions decay after a while without an answer or note.
func TestPredictionDecays(t *testing.T) {
	for _, c := range []struct {
		pause    float64
		note     bool // another broker reports its work meanwhile
		rejected bool
	}{{100, false, true}, {10000, false, false}, {10000, true, true}} {
		r := startBroker(t, peerSettings, ringOfNodes(4))
		r.b.kindLatency[0], r.b.lastSignal = [2]float64{3, 0.05}, r.now
		r.now += c.pause
		if c.note {
			r.step(0, Event{Kind: PeerNote, Note: encodeRecord(103, 1)})
		}
		r.step(1, scanEvents(1, 0, 6000, 0)...)
		assert.Equal(t, c.rejected, len(filterActions(r.actions, Throttle)) > 0, "%v", c)
	}
}

// Where verdicts are shared, outcomes are marked as late. A verdict on a node's load counts while it is repeated, and no longer.
func TestLoadByVerdict(t *testing.T) {
	r := startBroker(t, map[string]any{"share.verdicts": true}, ringOfNodes(4))
	recordedOutcome := func(num int64, took float64) Action {
		t.Helper()
		r.step(1, scanEvents(num, 0, 6000, 0)...)
		all := filterActions(r.step(took, r.dispatchEnded(1000*num+1, 0, Completed, took)), OutcomeRecorded)
		assert.Len(t, all, 1)
		return all[0]
	}
	for i := int64(1); i <= 40; i++ {
		assert.False(t, recordedOutcome(i, 300+float64(i%3)).Late)
	}
	assert.True(t, recordedOutcome(41, 900).Late)
	assert.True(t, recordedOutcome(41+1, 900).Whole, "it still counts as a success")

	n := r.b.index[100]
	before := r.b.loadFactor(n)
	verdict := func(how Outcome) Event { return Event{Kind: VerdictReceived, Node: 100, Outcome: how} }
	r.step(5000, verdict(Saturated))
	assert.Greater(t, r.b.loadFactor(n), 2*before)
	assert.False(t, r.b.unhealthy(n))
	r.step(2*ejectionTime-1, timerEvent(99))
	assert.Greater(t, r.b.loadFactor(n), 2*before)
	r.step(2, timerEvent(99))
	assert.Less(t, r.b.loadFactor(n), 2*before, "it is not repeated any more")
}
