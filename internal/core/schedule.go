package core

import (
	"gullstair/logic"
)

// timer is a timer of the module, the timeout of a dispatch or a probe, the deadline of a client, a delayed event
// or a retry of queued scans.
type timer struct {
	at          float64
	seq         int64
	moduleTimer int64
	probe       int64
	sent        *dispatch // whose timeout this is
	admitted    *scan     // whose deadline this is
	event       *logic.Event
	retryQueued bool // retries the scans that wait for shared limits
}

// recallDelay is how long, in ms, a part that was cancelled at one node is not sent to another. The cancellation and
// the next dispatch use different connections; the dispatch could arrive first and be a second copy, which some
// installations do not allow.
const recallDelay = 5.0

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return x
}
