package emulator

import (
	"container/heap"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// largeFleet returns a fleet of a hundred brokers and a thousand stores.
func largeFleet() *Fleet {
	f := smallFleet()
	f.Cells, f.Shards, f.Stores, f.Brokers, f.Traffic.Rate = 334, 1000, 1000, 100, 2000
	return f
}

// BenchmarkBigFleet runs a hundred brokers and a thousand stores with a fault for ten seconds of virtual time.
func BenchmarkBigFleet(b *testing.B) {
	events := 0
	for range b.N {
		w := New(largeFleet(), 1, Gullstair)
		require.NoError(b, w.ScheduleFault(Fault{Kind: "one_sided", At: 2000, For: 6000, Share: 0.35, Size: 0.8}))
		_, err := w.Run(10000)
		require.NoError(b, err)
		events += w.Events
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
}

// binaryHeap implements heap.Interface, as the binary heap that BenchmarkQueue compares eventQueue with.
type binaryHeap []event

func (h binaryHeap) Len() int           { return len(h) }
func (h binaryHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h binaryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *binaryHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *binaryHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return x
}

const queuedEvents = 20000 // events in the queue, about as many as in a large fleet

// BenchmarkQueue measures one pop and one push on a queue of constant length.
func BenchmarkQueue(b *testing.B) {
	b.Run("4-ary", func(b *testing.B) {
		r, now := rand.New(rand.NewPCG(1, 1)), 0.0
		var q eventQueue
		for range queuedEvents {
			q.push(r.Float64()*1000, nil)
		}
		for range b.N {
			now = q.pop().at
			q.push(now+r.Float64()*1000, nil)
		}
	})
	b.Run("container-heap", func(b *testing.B) {
		r, now, seq := rand.New(rand.NewPCG(1, 1)), 0.0, uint64(0)
		var h binaryHeap
		for range queuedEvents {
			seq++
			heap.Push(&h, event{at: r.Float64() * 1000, seq: seq})
		}
		for range b.N {
			now = heap.Pop(&h).(event).at
			seq++
			heap.Push(&h, event{at: now + r.Float64()*1000, seq: seq})
		}
	})
}
