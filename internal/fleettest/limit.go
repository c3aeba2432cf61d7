package fleettest

import (
	"cmp"
	"math"
	"slices"
)

// Span is one admission under a limit, as an outside observer sees it: it happened at some moment between From and To, and it was open at least from To to
// Ended. Times are in ms of one clock.
type Span struct{ From, To, Ended float64 }

// Excess checks every time window: at most rate x window + burst spans may lie wholly within it. It returns the largest violation of that bound; a result of
// 0 or less means that the limit was kept. Rate is per ms.
func Excess(all []Span, rate, burst float64) float64 {
	if len(all) == 0 {
		return -burst
	}
	byEnd := slices.SortedFunc(slices.Values(all), func(a, b Span) int { return cmp.Compare(a.To, b.To) })
	over := math.Inf(-1)
	seen := map[float64]bool{}
	for _, b := range all {
		if seen[b.From] {
			continue
		}
		seen[b.From] = true
		n := 0.0
		for _, x := range byEnd {
			if x.From >= b.From {
				n++
				over = max(over, n-rate*(x.To-b.From)-burst)
			}
		}
	}
	return over
}

// MaxOpen returns the largest number of spans that were certainly open at the same time.
func MaxOpen(all []Span) float64 {
	type edge struct {
		at float64
		by float64
	}
	var edges []edge
	for _, x := range all {
		if x.Ended > x.To {
			edges = append(edges, edge{x.To, 1}, edge{x.Ended, -1})
		}
	}
	slices.SortFunc(edges, func(a, b edge) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.by, b.by)) })
	n, most := 0.0, 0.0
	for _, e := range edges {
		n += e.by
		most = max(most, n)
	}
	return most
}
