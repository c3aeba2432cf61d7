package core

import (
	"gullstair/logic"
)

// due is a moment at which something is to happen: a timer of the module, a dispatch's time-out, or the end
// of a client's time.
type due struct {
	at     float64
	seq    int64
	timer  int64
	probe  int64
	d      *dispatch
	s      *scan
	told   *logic.Event
	waited bool // scans that wait for shared limits are looked at
}

// crossing is how long a part that was given up at one node is kept from the others. Word of it goes over another
// connection than the next dispatch, which could arrive first and be a second copy; not every site allows those.
const crossing = 5.0

type dueHeap []due

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *dueHeap) Push(x any)   { *h = append(*h, x.(due)) }
func (h *dueHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = due{}
	*h = old[:len(old)-1]
	return x
}
