package simulation

import (
	"math"

	"gullstair/internal/verdicts"
	"gullstair/internal/virtual"
)

// SpreadResult holds the latency and the traffic of the dissemination of verdicts at one fleet size and packet loss. Times are in ms.
type SpreadResult struct {
	Members                       int
	Loss                          float64
	Verdict, Last                 float64 // from the moment a quorum observed the fault until all members applied the verdict: mean and maximum
	Missed                        int     // faults for which not all members applied the verdict within ten seconds
	Order                         float64 // maximum time from an operator's order until the last member applied it
	Heal                          float64 // maximum time from the end of a partition until all members applied the same order
	Oldest                        float64 // maximum true age of the newest outcome behind an applied verdict
	HealthyTraffic, FaultyTraffic float64 // bytes per member and second without a fault, and while one store in twenty fails
	Messages                      float64 // per member and second, while one store in twenty fails
}

// MeasureSpread runs the measurements over the given number of faults.
func MeasureSpread(seed uint64, members int, loss float64, faults int) SpreadResult {
	r := verdictRules(members, 20)
	r.Rate, r.Network.Loss = 10, loss
	w := NewVerdictWorld(seed, r)
	x := SpreadResult{Members: members, Loss: loss}
	traffic := func(forMs float64) (bytes, messages float64) {
		var before, after virtual.Counts
		sum := func(c *virtual.Counts) {
			for i := range members {
				n := w.Net.Counts(Name(i))
				c.Sent, c.Bytes = c.Sent+n.Sent, c.Bytes+n.Bytes
			}
		}
		sum(&before)
		w.Net.Run(forMs)
		sum(&after)
		per := forMs / 1000 * float64(members)
		return float64(after.Bytes-before.Bytes) / per, float64(after.Sent-before.Sent) / per
	}
	w.Net.Run(3000)
	x.HealthyTraffic, _ = traffic(5000)
	for n := range faults {
		s := n % r.Stores
		w.Fails = func(_, store int) bool { return store == s }
		enough, all := math.Inf(1), math.Inf(1)
		for begun := w.Net.Now(); w.Net.Now() < begun+10000 && math.IsInf(all, 1); w.Net.Run(5) {
			zones := map[int]bool{}
			for m := range members {
				if w.lastFailure[m][s] > begun {
					zones[m%r.Zones] = true
				}
			}
			if len(zones) >= 2 {
				enough = min(enough, w.Net.Now())
			}
			excluding := 0
			for m := range members {
				if v := w.Applied(m, s); v.Kind >= verdicts.Fails {
					excluding++
					newest := math.Inf(-1)
					for o := range members {
						newest = max(newest, w.lastFailure[o][s])
					}
					x.Oldest = max(x.Oldest, w.Net.Now()-newest)
				}
			}
			if excluding == members {
				all = w.Net.Now()
			}
		}
		if n == 0 {
			x.FaultyTraffic, x.Messages = traffic(5000)
		}
		if took := all - enough; math.IsInf(all, 1) {
			x.Missed++
		} else {
			x.Verdict += took / float64(faults)
			x.Last = max(x.Last, took)
		}
		w.Fails = func(int, int) bool { return false }
		w.Net.Run(12000)
		// An order that expires.
		orderedAt := w.Net.Now()
		w.Order(n%members, verdicts.Set{Store: storeName(s), Do: verdicts.Drain, For: 6000, Reason: "measured"})
		x.Order = max(x.Order, w.timeToDrain(s, orderedAt))
		w.Net.Run(8000)
		// A partition into halves with an order on one side.
		w.Net.Split(Names(0, members/2), Names(members/2, members))
		w.Order(0, verdicts.Set{Store: storeName(s), Do: verdicts.Drain, For: 30000, Reason: "measured"})
		w.Net.Run(6000)
		w.Net.Split()
		x.Heal = max(x.Heal, w.timeToDrain(s, w.Net.Now()))
		w.Order(0, verdicts.Set{Store: storeName(s), Do: verdicts.Clear, Reason: "over"})
		w.Net.Run(6000)
	}
	return x
}

// timeToDrain returns the time from a moment until all members apply a drain of the store.
func (w *VerdictWorld) timeToDrain(store int, from float64) float64 {
	for w.Net.Now() < from+20000 {
		n := 0
		for m := range w.members {
			if w.Applied(m, store).Drain {
				n++
			}
		}
		if n == len(w.members) {
			return w.Net.Now() - from
		}
		w.Net.Run(5)
	}
	return math.Inf(1)
}

func verdictRules(members, stores int) VerdictRules {
	return VerdictRules{Members: members, Stores: stores, Zones: 3, Sets: 2, Rate: 20, Drift: 0.01, Words: verdicts.DefaultRules(), Network: virtual.Conditions{Delay: 0.5, Jitter: 2}}
}
