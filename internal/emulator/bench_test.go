package emulator

import (
	"container/heap"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// largeFleet returns a fleet of a hundred brokers and a thousand stores.
func bigFleet() *Fleet {
	f := small()
	f.Cells, f.Shards, f.Stores, f.Brokers, f.Traffic.Rate = 334, 1000, 1000, 100, 2000
	return f
}

// BenchmarkBigFleet runs a hundred brokers and a thousand stores with a fault for ten seconds of virtual time.
func BenchmarkBigFleet(b *testing.B) {
	events := 0
	for range b.N {
		w := New(bigFleet(), 1, Gullstair)
		require.NoError(b, w.Plan(Fault{Kind: "one_sided", At: 2000, For: 6000, Share: 0.35, Size: 0.8}))
		_, err := w.Run(10000)
		require.NoError(b, err)
		events += w.Events
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
}

// binaryHeap implements heap.Interface, as the binary heap that BenchmarkQueue compares eventQueue with.
type plainHeap []event

func (h plainHeap) Len() int           { return len(h) }
func (h plainHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h plainHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *plainHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *plainHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return x
}

const waiting = 20000 // events in the queue, about as many as in a large fleet

// BenchmarkQueue measures one pop and one push on a queue of constant length.
func BenchmarkQueue(b *testing.B) {
	b.Run("4-ary", func(b *testing.B) {
		r, now := rand.New(rand.NewPCG(1, 1)), 0.0
		var q queue
		for range waiting {
			q.push(r.Float64()*1000, nil)
		}
		for range b.N {
			now = q.pop().at
			q.push(now+r.Float64()*1000, nil)
		}
	})
	b.Run("container-heap", func(b *testing.B) {
		r, now, seq := rand.New(rand.NewPCG(1, 1)), 0.0, uint64(0)
		var h plainHeap
		for range waiting {
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
