package balance

import (
	"container/heap"
	"fmt"
	"time"
)

// newTerms translates the deployment and the types of routes into the module's terms.
func (b *Balancer) newTerms() map[string]any {
	t := map[string]any{
		"turn":                  1.0,
		"rules.cold":            0.0,
		"rules.fall":            0.0,
		"rules.fallMultiple":    0.0,
		"rules.startCapacity":   0.0,
		"rules.budgetWindow":    b.fleet.BudgetWindow,
		"rules.spareDispatches": b.fleet.BudgetSlack,
		"rules.spareShare":      b.fleet.BudgetRatio,
		"rules.budgetByShard":   true,
		"layout.cells":          float64(maxServices),
		"layout.reach":          1.0,
		"layout.shards":         float64(maxServices),
		"layout.batch":          1.0,
		"brokers":               max(1, b.fleet.Brokers),
		"zone":                  float64(b.zoneNumber(b.fleet.Zone)),
		"prices.zonesUntold":    true,
		"limit.dispatches":      1.0,
		"limit.cancelling":      true,
		"limit.peers":           b.fleet.PeerNotes,
		"limit.maxRetryAfter":   b.fleet.MaxRetryAfter,
		"tableType.count":       float64(len(b.routeTypes)),
	}
	for key, i := range b.routeTypes {
		b.typeTerms(t, key, i)
	}
	return t
}

func (b *Balancer) typeTerms(t map[string]any, key routeTypeKey, i int) {
	tableType := func(name string) string { return fmt.Sprintf("tableType.%d.%s", i, name) }
	layout := func(name string) string { return fmt.Sprintf("layout.%s.%d", name, i) }
	target := key.target
	if target <= 0 {
		target = key.timeout
	}
	t[tableType("target")] = min(target, key.timeout)
	t[tableType("timeout")] = key.timeout
	t[tableType("benefit")] = 1 / float64(1+max(0, key.priority))
	t[tableType("lateBenefit")] = 0.0
	t[tableType("dispatches")] = float64(key.attempts)
	t[tableType("effect")] = "none"
	if key.repeatable {
		t[tableType("effect")] = "replayable"
	}
	t[layout("need")] = 1.0
	t[layout("floor")] = 1.0
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// timer is a timer that the module has set.
type timer struct {
	dueAt  float64
	number int64
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].dueAt < h[j].dueAt }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

var _ heap.Interface = (*timerHeap)(nil)
