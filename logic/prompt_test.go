package logic

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// promptNodes is a deployment whose nodes 100 to 103 can each run any request, and prefill prompts first.
func promptNodes(t *testing.T) *testBroker {
	list := ringOfNodes(4)
	for i := range list {
		list[i].Cell = 0
	}
	return startBroker(t, map[string]any{"layout.callWork": 0.0, "layout.reach": 1.0, "layout.batch": 1.0, "rules.cold": 0.0, "limit.peers": true}, list)
}

// promptEvents returns the arrival of a request of table type 0 with a prompt.
func promptEvents(num int64, q *Prompt) []Event {
	if q.Group == nil {
		q.Group = map[int64]int64{}
	}
	return []Event{{Kind: ScanArrived, ID: 1000 * num, Scan: num, Budget: 6000},
		{Kind: PartArrived, ID: 1000*num + 1, Scan: num, Amount: 1, Prompt: q}}
}

func (r *testBroker) dispatchOf(events []Event) Action {
	return filterActions(r.step(1, events...), Dispatch)[0]
}

// TestPromptsGoToHomeNode checks that a prompt whose shared tokens no node keeps goes to its home node, even if that has some
// open work, and that its reported work is the prefill alone.
func TestPromptsGoToHomeNode(t *testing.T) {
	r := promptNodes(t)
	for num := int64(1); num <= 4; num++ {
		sent := r.dispatchOf(promptEvents(num, &Prompt{Tokens: 2000, Shared: 1500, Home: []int64{102, 100}}))
		assert.Equal(t, int64(102), sent.Node, "request %d", num)
		assert.InDelta(t, 2000*initialPrefillTime, sent.Work, 0.01, "the cost of a copy elsewhere is not counted as work")
	}
}

// TestBusyNodesAreAvoided checks that a node that keeps a prompt's tokens gets the prompt while it has little to prefill,
// and not once its prefills would block its streams for long.
func TestBusyNodesAreAvoided(t *testing.T) {
	r, at := promptNodes(t), 0
	for num := int64(1); num <= 40; num++ {
		q := &Prompt{Tokens: 10000, Shared: 8000, Held: map[int64]float64{101: 8000}, Home: []int64{101}, FetchTime: 0.005, AcrossTime: 0.01}
		if sent := r.dispatchOf(promptEvents(num, q)); sent.Node == 101 {
			at++
			assert.Less(t, sent.Load, 1000.0, "half of the target time")
		}
	}
	assert.Greater(t, at, 4, "101 keeps the tokens")
}

// TestStreamLatencyIsIgnored has late first events at one node: prompts differ in length, so it gets as many requests as before.
func TestStreamLatencyIsIgnored(t *testing.T) {
	r, count := promptNodes(t), map[int64]int{}
	for num := int64(1); num <= 400; num++ {
		sent := r.dispatchOf(promptEvents(num, &Prompt{Tokens: 500}))
		elapsed := 20.0
		if sent.Node == 103 {
			elapsed = 1500
		}
		count[sent.Node]++
		r.step(1, Event{Kind: StreamBegan, ID: 1000*num + 1, Elapsed: elapsed})
		r.step(1, r.dispatchEnded(1000*num+1, 0, Completed, elapsed))
	}
	for n := int64(100); n < 104; n++ {
		assert.InDelta(t, 100, count[n], 50, "node %d", n)
	}
}

// TestSavedPrompts checks that a store saves prompts that are mostly shared and kept by no node.
func TestSavedPrompts(t *testing.T) {
	for _, c := range []struct {
		shared float64
		held   map[int64]float64
		want   bool
	}{{900, nil, true}, {600, nil, false}, {0, nil, false}, {900, map[int64]float64{100: 900, 101: 900, 102: 900, 103: 900}, false}} {
		sent := promptNodes(t).dispatchOf(promptEvents(1, &Prompt{Tokens: 1000, Shared: c.shared, Held: c.held, Home: []int64{100}}))
		assert.Equal(t, c.want, sent.Save, "%+v", c)
	}
}
