package trial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"

	"gullstair/internal/shares"
	"gullstair/internal/virtual"
)

// Played is what a day of demand made of a limit under one way.
type Played struct {
	Way      Way
	Used     float64 // share of what the limit allowed in the time measured
	Worst    float64 // over 500 ms
	Over     float64 // scans beyond rate x window + burst
	Sides    []float64
	Follow   float64 // ms until 0.9 of the limit is used again after demand has moved
	Messages float64 // a member a second
	// Taken are the scans a second in each SeriesStep of the day, all members', and by side where there are sides.
	Taken []float64
	By    [][]float64
}

// SeriesStep is that of Played.Taken, in ms.
const SeriesStep = 100.0

// Day is a day for a limit of so many scans a second.
type Day struct {
	Name    string
	Members int
	Size    float64
	Demand  func(member int, at float64) float64 // scans a second, looked at every 100 ms
	Faults  func(w *Limits)
	Sides   [][]int
	From    float64 // ms: measured from here
	To      float64
	Moves   float64 // ms between two moves of the demand; 0: it does not move
}

// Days are those that ways are weighed by. Demand is twice the limit where nothing else is said.
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
	split := func(w *Limits) {
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
			Faults: func(w *Limits) { w.Net.After(5000, func() { split(w) }) }},
		{Name: "split, loans out", Members: members, Size: size, From: 5000, To: 16000, Sides: sides[:], Faults: func(w *Limits) { w.Net.After(5000, func() { split(w) }) },
			Demand: func(i int, at float64) float64 {
				if at >= 5000 || i == 1 {
					return 2 * size
				}
				return 0
			}},
		{Name: "a third is lost", Members: members, Size: size, From: 4000, To: 14000, Faults: func(w *Limits) { w.Net.Weather.Loss = 1.0 / 3 }, Demand: func(i int, _ float64) float64 {
			if i == 1 {
				return 1.8 * size
			}
			return 0.2 * size / (n - 1)
		}},
		{Name: "one is killed, back after 2 s", Members: members, Size: size, From: 5000, To: 13000, Demand: func(int, float64) float64 { return 2 * size / n },
			Faults: func(w *Limits) {
				w.Net.After(5000, func() { w.Kill(0); w.living = w.living[1:] })
				w.Net.After(7000, func() { w.Start(0) })
			}},
	}
}

// Play plays a day under a way.
func Play(seed uint64, d Day, way Way) Played {
	r := LimitRules{Members: d.Members, Drift: 0.01, Way: way, Weather: virtual.Weather{Delay: 0.5, Jitter: 1},
		Limits: []shares.Limit{{Name: "x", Kind: shares.Rate, Size: d.Size, Burst: max(d.Size/2, 1), Term: 1000}}}
	w := NewLimits(seed, r)
	for i := range d.Members {
		w.living = append(w.living, Name(i))
	}
	for i := range d.Members {
		w.Start(i)
	}
	if d.Faults != nil {
		d.Faults(w)
	}
	uses := []shares.Use{{Limit: 0, Cost: 1}}
	p := Played{Way: way, Worst: math.Inf(1)}
	var at500, before int
	taken := make([]int, d.Members)
	messages := 0
	sent := func() (n int) {
		for i := range d.Members {
			n += w.Net.Counts(Name(i)).Sent
		}
		return n
	}
	var follows []float64
	moved := math.Inf(1)
	for now := 0.0; now < d.To; now += 100 {
		if now == d.From {
			before, at500, messages = w.Taken, w.Taken, sent()
			copy(taken, w.TakenBy)
		} else if now > d.From && math.Mod(now-d.From, 500) == 0 {
			p.Worst = min(p.Worst, float64(w.Taken-at500)/(d.Size/2))
			at500 = w.Taken
		}
		if d.Moves > 0 && now >= d.From && math.Mod(now, d.Moves) == 0 {
			moved = now
		}
		for i := range d.Members {
			if x := d.Demand(i, now); x != w.demand[i] {
				w.Demand(i, x, uses, 20)
			}
		}
		had, hadBy := w.Taken, append([]int{}, w.TakenBy...)
		w.Net.Run(SeriesStep)
		p.Taken = append(p.Taken, float64(w.Taken-had)*1000/SeriesStep)
		if p.By == nil {
			p.By = make([][]float64, len(d.Sides))
		}
		for k, side := range d.Sides {
			n := 0
			for _, i := range side {
				n += w.TakenBy[i] - hadBy[i]
			}
			p.By[k] = append(p.By[k], float64(n)*1000/SeriesStep)
		}
		if now >= moved && float64(w.Taken-had) >= 0.9*d.Size/10 {
			follows = append(follows, now+100-moved)
			moved = math.Inf(1)
		}
	}
	span := (d.To - d.From) / 1000
	p.Used = float64(w.Taken-before) / (d.Size * span)
	for _, side := range d.Sides {
		n := 0
		for _, i := range side {
			n += w.TakenBy[i] - taken[i]
		}
		p.Sides = append(p.Sides, float64(n)/(d.Size*span)/(float64(len(side))/float64(d.Members)))
	}
	for _, f := range follows {
		p.Follow = max(p.Follow, f)
	}
	p.Over = w.Over
	p.Messages = float64(sent()-messages) / span / float64(d.Members)
	return p
}

// Crowd is what many keys of one limit cost.
type Crowd struct {
	Members, Keys    int
	Taken, Asked     int
	Over             float64 // scans
	Most, Left       int     // accounts at the busiest member, and there half a minute after the last scan
	Messages, Bytes  float64 // a member a second
	Datagrams        float64
	BytesPerAccount  float64 // of memory
	Again, AgainMost int     // scans taken at once of a key that was forgotten and has come back, and its burst
}

// Tenants has so many keys by a power law ask at all members, a tenth of them others each ten seconds (a minute, six times as fast).
func Tenants(seed uint64, members, keys int) Crowd {
	const size, burst = 5.0, 5.0
	w := NewLimits(seed, LimitRules{Members: members, Drift: 0.01, Way: Escrow, Most: 4 * keys, Weather: virtual.Weather{Delay: 0.5, Jitter: 1},
		Limits: []shares.Limit{{Name: "tenant", Size: size, Burst: burst, Term: 1000, Owners: 5}}})
	x := Crowd{Members: members, Keys: keys, AgainMost: int(burst)}
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range members {
		w.Start(i)
	}
	w.Net.Run(2000)
	zipf := rand.NewZipf(w.Net.Chance(), 1.1, 10, uint64(keys-1))
	const scans, span = 40000, 20000.0
	for i := range scans {
		at := span * float64(i) / scans
		n := int(zipf.Uint64())
		if n%10 == int(at/10000) {
			n += keys
		}
		w.Net.After(at, func() {
			w.Scan(w.Net.Chance().IntN(members), []shares.Use{{Key: fmt.Sprint("tenant-", n), Cost: 1}}, 10)
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
		n := w.members[i].way.(*escrow).Accounts()
		x.Most, sum = max(x.Most, n), sum+n
	}
	x.BytesPerAccount = float64(after.HeapAlloc-before.HeapAlloc) / float64(sum)
	w.Net.Run(60000)
	for i := range members {
		x.Left = max(x.Left, w.members[i].way.(*escrow).Accounts())
	}
	had := w.Taken
	for range 100 {
		for i := range members {
			w.Scan(i, []shares.Use{{Key: "tenant-0", Cost: 1}}, 10)
		}
	}
	x.Again = w.Taken - had
	x.Taken, x.Asked, x.Over = w.Taken, w.Asked, w.Over
	return x
}
