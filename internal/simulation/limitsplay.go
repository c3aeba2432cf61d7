package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"

	"gullstair/internal/limitshare"
	"gullstair/internal/virtual"
)

// DayResult holds the measurements of one simulated Day under one strategy.
type DayResult struct {
	Strategy         Strategy
	Utilization      float64 // share of the limit that was used in the measured time
	WorstUtilization float64 // lowest use over 500 ms
	Over             float64 // scans beyond rate x window + burst
	Sides            []float64
	Recovery         float64 // ms until use is back at 0.9 of the limit after the demand moves
	Messages         float64 // per member and second
	// Taken holds the admitted scans per second of all members in each SeriesStep of the day. By holds the same for each side of a partition.
	Taken []float64
	By    [][]float64
}

// SeriesStep is the interval of DayResult.Taken in ms.
const SeriesStep = 100.0

// Day is a load pattern, with faults, on a limit of Size scans per second.
type Day struct {
	Name    string
	Members int
	Size    float64
	Demand  func(member int, at float64) float64 // scans per second, sampled every 100 ms
	Faults  func(w *LimitWorld)
	Sides   [][]int
	From    float64 // start of the measurement in ms
	To      float64
	Moves   float64 // ms between two moves of the demand; 0 for demand that does not move
}

// Days returns the load patterns by which the strategies are compared. Demand is twice the limit unless a pattern sets another.
func Days(members int, size float64) []Day {
	n := float64(members)
	half := members / 2
	var sides [2][]int
	for i := range members {
		s := 0
		if i > half {
			s = 1
		}
		sides[s] = append(sides[s], i)
	}
	split := func(w *LimitWorld) {
		names := [2][]string{}
		for s, all := range sides {
			for _, i := range all {
				names[s] = append(names[s], Name(i))
			}
		}
		w.Net.Split(names[0], names[1])
		w.living = append(names[0], names[1]...)
	}
	return []Day{
		{Name: "all alike", Members: members, Size: size, From: 4000, To: 14000, Demand: func(int, float64) float64 { return 2 * size / n }},
		{Name: "all at one", Members: members, Size: size, From: 4000, To: 14000, Demand: func(i int, _ float64) float64 {
			if i == 1 {
				return 2 * size
			}
			return 0
		}},
		{Name: "nine tenths at one", Members: members, Size: size, From: 4000, To: 14000, Demand: func(i int, _ float64) float64 {
			if i == 1 {
				return 1.8 * size
			}
			return 0.2 * size / (n - 1)
		}},
		{Name: "moves every 3 s", Members: members, Size: size, From: 3000, To: 21000, Moves: 3000, Demand: func(i int, at float64) float64 {
			if i == 1+int(at/3000)%2 {
				return 1.8 * size
			}
			return 0.2 * size / (n - 1)
		}},
		{Name: "split", Members: members, Size: size, From: 8000, To: 16000, Sides: sides[:], Demand: func(int, float64) float64 { return 2 * size / n },
			Faults: func(w *LimitWorld) { w.Net.After(5000, func() { split(w) }) }},
		{Name: "split, loans out", Members: members, Size: size, From: 5000, To: 16000, Sides: sides[:], Faults: func(w *LimitWorld) { w.Net.After(5000, func() { split(w) }) },
			Demand: func(i int, at float64) float64 {
				if at >= 5000 || i == 1 {
					return 2 * size
				}
				return 0
			}},
		{Name: "a third is lost", Members: members, Size: size, From: 4000, To: 14000, Faults: func(w *LimitWorld) { w.Net.Conditions.Loss = 1.0 / 3 }, Demand: func(i int, _ float64) float64 {
			if i == 1 {
				return 1.8 * size
			}
			return 0.2 * size / (n - 1)
		}},
		{Name: "one is killed, back after 2 s", Members: members, Size: size, From: 5000, To: 13000, Demand: func(int, float64) float64 { return 2 * size / n },
			Faults: func(w *LimitWorld) {
				w.Net.After(5000, func() { w.Kill(0); w.living = w.living[1:] })
				w.Net.After(7000, func() { w.Start(0) })
			}},
	}
}

// Play simulates a day under a strategy.
func Play(seed uint64, d Day, strategy Strategy) DayResult {
	r := LimitRules{Members: d.Members, Drift: 0.01, Strategy: strategy, Network: virtual.Conditions{Delay: 0.5, Jitter: 1},
		Limits: []limitshare.Limit{{Name: "x", Kind: limitshare.Rate, Size: d.Size, Burst: max(d.Size/2, 1), Term: 1000}}}
	w := NewLimitWorld(seed, r)
	for i := range d.Members {
		w.living = append(w.living, Name(i))
	}
	for i := range d.Members {
		w.Start(i)
	}
	if d.Faults != nil {
		d.Faults(w)
	}
	uses := []limitshare.Use{{Limit: 0, Cost: 1}}
	p := DayResult{Strategy: strategy, WorstUtilization: math.Inf(1)}
	var at500, before int
	taken := make([]int, d.Members)
	messages := 0
	sent := func() (n int) {
		for i := range d.Members {
			n += w.Net.Counts(Name(i)).Sent
		}
		return n
	}
	var recoveries []float64
	moved := math.Inf(1)
	for now := 0.0; now < d.To; now += 100 {
		if now == d.From {
			before, at500, messages = w.Admitted, w.Admitted, sent()
			copy(taken, w.AdmittedBy)
		} else if now > d.From && math.Mod(now-d.From, 500) == 0 {
			p.WorstUtilization = min(p.WorstUtilization, float64(w.Admitted-at500)/(d.Size/2))
			at500 = w.Admitted
		}
		if d.Moves > 0 && now >= d.From && math.Mod(now, d.Moves) == 0 {
			moved = now
		}
		for i := range d.Members {
			if x := d.Demand(i, now); x != w.demand[i] {
				w.Demand(i, x, uses, 20)
			}
		}
		had, hadBy := w.Admitted, append([]int{}, w.AdmittedBy...)
		w.Net.Run(SeriesStep)
		p.Taken = append(p.Taken, float64(w.Admitted-had)*1000/SeriesStep)
		if p.By == nil {
			p.By = make([][]float64, len(d.Sides))
		}
		for k, side := range d.Sides {
			n := 0
			for _, i := range side {
				n += w.AdmittedBy[i] - hadBy[i]
			}
			p.By[k] = append(p.By[k], float64(n)*1000/SeriesStep)
		}
		if now >= moved && float64(w.Admitted-had) >= 0.9*d.Size/10 {
			recoveries = append(recoveries, now+100-moved)
			moved = math.Inf(1)
		}
	}
	span := (d.To - d.From) / 1000
	p.Utilization = float64(w.Admitted-before) / (d.Size * span)
	for _, side := range d.Sides {
		n := 0
		for _, i := range side {
			n += w.AdmittedBy[i] - taken[i]
		}
		p.Sides = append(p.Sides, float64(n)/(d.Size*span)/(float64(len(side))/float64(d.Members)))
	}
	for _, f := range recoveries {
		p.Recovery = max(p.Recovery, f)
	}
	p.Over = w.Excess
	p.Messages = float64(sent()-messages) / span / float64(d.Members)
	return p
}

// TenantsResult holds the cost of many keys of one limit, as measured by Tenants.
type TenantsResult struct {
	Members, Keys               int
	Taken, Asked                int
	Over                        float64 // scans
	Most, Left                  int     // most accounts at one member under load, and one minute after the load
	Messages, Bytes             float64 // per member and second
	Datagrams                   float64
	BytesPerAccount             float64 // heap bytes
	Readmitted, ReadmittedBound int     // scans admitted at once for a key that returns after it was forgotten, and its burst
}

// Tenants simulates scans at all members with keys that follow a power law. Every ten seconds another tenth of the keys is replaced by new ones, which is a
// minute of real load at six times the speed.
func Tenants(seed uint64, members, keys int) TenantsResult {
	const size, burst = 5.0, 5.0
	w := NewLimitWorld(seed, LimitRules{Members: members, Drift: 0.01, Strategy: Escrow, Most: 4 * keys, Network: virtual.Conditions{Delay: 0.5, Jitter: 1},
		Limits: []limitshare.Limit{{Name: "tenant", Size: size, Burst: burst, Term: 1000, Owners: 5}}})
	x := TenantsResult{Members: members, Keys: keys, ReadmittedBound: int(burst)}
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range members {
		w.Start(i)
	}
	w.Net.Run(2000)
	zipf := rand.NewZipf(w.Net.Rand(), 1.1, 10, uint64(keys-1))
	const scans, span = 40000, 20000.0
	for i := range scans {
		at := span * float64(i) / scans
		n := int(zipf.Uint64())
		if n%10 == int(at/10000) {
			n += keys
		}
		w.Net.After(at, func() {
			w.Scan(w.Net.Rand().IntN(members), []limitshare.Use{{Key: fmt.Sprint("tenant-", n), Cost: 1}}, 10)
		})
	}
	w.Net.Run(span)
	var after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&after)
	sum := 0
	for i := range members {
		c := w.Net.Counts(Name(i))
		x.Datagrams += float64(c.Sent) / float64(members) / span * 1000
		x.Bytes += float64(c.Bytes) / float64(members) / span * 1000
		n := w.members[i].strategy.(*escrow).Accounts()
		x.Most, sum = max(x.Most, n), sum+n
	}
	x.BytesPerAccount = float64(after.HeapAlloc-before.HeapAlloc) / float64(sum)
	w.Net.Run(60000)
	for i := range members {
		x.Left = max(x.Left, w.members[i].strategy.(*escrow).Accounts())
	}
	had := w.Admitted
	for range 100 {
		for i := range members {
			w.Scan(i, []limitshare.Use{{Key: "tenant-0", Cost: 1}}, 10)
		}
	}
	x.Readmitted = w.Admitted - had
	x.Taken, x.Asked, x.Over = w.Admitted, w.Arrived, w.Excess
	return x
}
