package logic

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// readers is a deployment whose nodes 100 to 103 each may run any request, and read prompts first.
func readers(t *testing.T) *rig {
	list := ring(4)
	for i := range list {
		list[i].Cell = 0
	}
	return play(t, map[string]any{"layout.callWork": 0.0, "layout.reach": 1.0, "layout.batch": 1.0, "rules.cold": 0.0, "limit.peers": true}, list)
}

// prompted is a request of table type 0 with a prompt.
func prompted(num int64, q *Prompt) []Event {
	if q.Group == nil {
		q.Group = map[int64]int64{}
	}
	return []Event{{Kind: ScanArrived, ID: 1000 * num, Scan: num, Budget: 6000},
		{Kind: PartArrived, ID: 1000*num + 1, Scan: num, Amount: 1, Prompt: q}}
}

func (r *rig) sent(events []Event) Action { return kinds(r.step(1, events...), Dispatch)[0] }

// TestPromptsGoHome has a prompt whose shared parts nobody keeps go where its home is, also past some work there; what is
// told as its work is the reading alone.
func TestPromptsGoHome(t *testing.T) {
	r := readers(t)
	for num := int64(1); num <= 4; num++ {
		sent := r.sent(prompted(num, &Prompt{Tokens: 2000, Shared: 1500, Home: []int64{102, 100}}))
		assert.Equal(t, int64(102), sent.Node, "request %d", num)
		assert.InDelta(t, 2000*readStart, sent.Work, 0.01, "the penalty of a copy elsewhere is no work")
	}
}

// TestBusyNodesAreLeftAlone has a node that keeps a prompt's parts take it while it has little to read, and no more once
// what it reads in one go would hold up its streams for long.
func TestBusyNodesAreLeftAlone(t *testing.T) {
	r, at := readers(t), 0
	for num := int64(1); num <= 40; num++ {
		q := &Prompt{Tokens: 10000, Shared: 8000, Held: map[int64]float64{101: 8000}, Home: []int64{101}, FetchTime: 0.005, AcrossTime: 0.01}
		if sent := r.sent(prompted(num, q)); sent.Node == 101 {
			at++
			assert.Less(t, sent.Load, 1000.0, "half of the target time")
		}
	}
	assert.Greater(t, at, 4, "the parts were at 101")
}

// TestStreamsTellNoLatency begins streams late at one node: prompts differ, and it goes on getting as many.
func TestStreamsTellNoLatency(t *testing.T) {
	r, count := readers(t), map[int64]int{}
	for num := int64(1); num <= 400; num++ {
		sent := r.sent(prompted(num, &Prompt{Tokens: 500}))
		elapsed := 20.0
		if sent.Node == 103 {
			elapsed = 1500
		}
		count[sent.Node]++
		r.step(1, Event{Kind: StreamBegan, ID: 1000*num + 1, Elapsed: elapsed})
		r.step(1, r.ended(1000*num+1, 0, Completed, elapsed))
	}
	for n := int64(100); n < 104; n++ {
		assert.InDelta(t, 100, count[n], 50, "node %d", n)
	}
}

// TestSavedPrompts has a store keep prompts that are shared for the most part, which nobody keeps.
func TestSavedPrompts(t *testing.T) {
	for _, c := range []struct {
		shared float64
		held   map[int64]float64
		want   bool
	}{{900, nil, true}, {600, nil, false}, {0, nil, false}, {900, map[int64]float64{100: 900, 101: 900, 102: 900, 103: 900}, false}} {
		sent := readers(t).sent(prompted(1, &Prompt{Tokens: 1000, Shared: c.shared, Held: c.held, Home: []int64{100}}))
		assert.Equal(t, c.want, sent.Save, "%+v", c)
	}
}
