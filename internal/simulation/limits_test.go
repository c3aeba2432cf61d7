package simulation

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"gullstair/internal/limitshare"
	"gullstair/internal/virtual"
)

// Under random faults, strict limits hold in true time: the whole fleet never admits more than rate x window + burst, nor more open scans than allowed.
func TestLimitHistories(t *testing.T) {
	t.Parallel()
	taken, asked, plays := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		plays++
		r := LimitRules{Members: rapid.SampledFrom([]int{2, 3, 5}).Draw(t, "members"), Drift: rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "drift"), Strategy: Escrow, Most: 8,
			Disk: rapid.Bool().Draw(t, "disk"), Fsync: rapid.SampledFrom([]float64{1, 60}).Draw(t, "fsync"),
			Limits: []limitshare.Limit{
				{Name: "rate", Kind: limitshare.Rate, Size: 100, Burst: rapid.SampledFrom([]float64{1, 3, 8}).Draw(t, "burst"), Term: 1000, Owners: rapid.SampledFrom([]int{0, 2}).Draw(t, "owners")},
				{Name: "open", Kind: limitshare.Stock, Size: rapid.SampledFrom([]float64{1, 7, 20}).Draw(t, "open"), Term: 1000},
				{Name: "slow", Kind: limitshare.Rate, Size: 2, Burst: 20, Term: 200}},
			Network: virtual.Conditions{Delay: rapid.Float64Range(0.5, 20).Draw(t, "delay"), Jitter: rapid.SampledFrom([]float64{0, 30, 700}).Draw(t, "jitter"),
				Loss: rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss"), Duplicate: rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "twice")}}
		w := NewLimitWorld(rapid.Uint64().Draw(t, "seed"), r)
		for i := range r.Members {
			w.Start(i)
		}
		keys := []string{"", "", "", "a"}
		who := func() int { return rapid.IntRange(0, r.Members-1).Draw(t, "whom") }
		// Demand exceeds the limits throughout unless an event changes it, so that a share used by two members becomes visible.
		which := rapid.IntRange(0, 2).Draw(t, "limits")
		levels := make([]float64, r.Members)
		ask := func(i int, level float64, key string) {
			levels[i] = level
			uses := []limitshare.Use{{Limit: 0, Key: key, Cost: 1}, {Limit: 1, Key: key, Cost: float64(rapid.IntRange(1, 3).Draw(t, "units"))}}
			w.Demand(i, level, [][]limitshare.Use{uses[:1], uses[1:], uses}[which], rapid.SampledFrom([]float64{5, 50, 300, 600}).Draw(t, "lasts"))
		}
		demand := func(i int) {
			ask(i, rapid.SampledFrom([]float64{300, 301, 0, 20}).Draw(t, "a second"), rapid.SampledFrom(keys).Draw(t, "key"))
		}
		for i := range r.Members {
			demand(i)
		}
		w.Net.Run(2500)
		for range rapid.IntRange(3, 20).Draw(t, "events") {
			i := who()
			span := rapid.SampledFrom([]float64{1500, 3000, 400, 30}).Draw(t, "for")
			switch rapid.SampledFrom([]string{"split", "split", "cut", "pause", "crash", "all crash", "turn", "turn", "slow", "demand", "burst", "order", "document", "lose disk", "lends, and again", "lends, and again", "wait"}).Draw(t, "what") {
			case "split":
				drawnSplit(t, w.Net, r.Members, 2, span)
				if rapid.Bool().Draw(t, "all ask") { // demand at the lenders too, while the borrowers cannot learn of it
					for j := range r.Members {
						ask(j, 310+float64(j), "")
					}
				}
			case "turn": // swaps members with and without demand
				for j, level := range levels {
					if level = 0; levels[j] == 0 {
						level = 320 + float64(j)
					}
					ask(j, level, "")
				}
			case "slow":
				for range 25 {
					w.Scan(i, []limitshare.Use{{Limit: 2, Cost: 1}}, 10)
				}
			case "cut":
				cutFor(w.Net, who(), i, span)
			case "pause":
				w.Pause(i)
				w.Net.After(span, func() { w.Resume(i) })
			case "crash":
				w.Kill(i)
				w.Net.After(span, func() { w.Start(i) })
			case "all crash":
				for j := range r.Members {
					w.Kill(j)
					w.Net.After(10+span/10, func() { w.Start(j) })
				}
			case "lose disk":
				w.LoseDisk(i, rapid.SampledFrom([]int{0, 1, 3, 10}).Draw(t, "records left"))
				w.Net.After(1, func() { w.Start(i) })
				if rapid.Bool().Draw(t, "and again") {
					w.Net.After(span/10, func() { w.Start(i) })
				}
			case "lends, and again": // killed with open loans and restarted before they expire
				for j := range r.Members {
					ask(j, []float64{300, 0}[b2i(j == i)], "")
				}
				w.Net.Run(rapid.SampledFrom([]float64{1200, 300, 12500}).Draw(t, "lends for"))
				w.Kill(i)
				w.Net.Run(20)
				w.Start(i)
				for j := range r.Members {
					ask(j, 310+float64(j), "")
				}
			case "document": // restarted with a document that allows less
				w.SizeFactors[i] = rapid.SampledFrom([]float64{0.5, 0.4, 1}).Draw(t, "times")
				w.Start(i)
			case "demand":
				demand(i)
			case "order":
				w.Order(i, rapid.SampledFrom([]float64{10, 400}).Draw(t, "size"), rapid.SampledFrom([]float64{1, 80}).Draw(t, "at once"), span)
			case "burst":
				for range 60 {
					w.Scan(i, []limitshare.Use{{Limit: 0, Key: "", Cost: 1}}, 10)
				}
			}
			w.Net.Run(rapid.SampledFrom([]float64{900, 300, 1500, 20}).Draw(t, "wait")) // rapid prefers the first values
		}
		w.Net.Run(1000)
		if len(w.Faults) > 0 {
			t.Fatalf("%v", w.Faults)
		}
		taken, asked = taken+w.Admitted, asked+w.Arrived
	})
	assert.Greater(t, taken, 10*plays, "the histories must admit enough scans to prove anything")
	t.Logf("%d of %d scans admitted", taken, asked)
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Escrow never exceeds the limit and uses at most 4 percentage points less of it than fixed shares. The check can fail: it reports an excess when
// each member applies the whole limit on its own.
func TestWays(t *testing.T) {
	t.Parallel()
	for _, d := range Days(5, 200) {
		t.Run(d.Name, func(t *testing.T) {
			fixed, taken, alone := Play(1, d, Fixed), Play(1, d, Escrow), Play(1, d, Alone)
			assert.Zero(t, fixed.Over)
			assert.Zero(t, taken.Over)
			assert.Greater(t, taken.Utilization, fixed.Utilization-0.04)
			for _, side := range taken.Sides {
				assert.Greater(t, side, 0.85, "each side uses its members' share")
			}
			if d.Moves == 0 && d.Faults == nil {
				assert.Greater(t, taken.Utilization, 0.93)
			}
			if d.Name == "all alike" {
				assert.Positive(t, alone.Over)
			}
		})
	}
}

// An available limit in a partition of 3 and 2 members: borrowed shares last for linger, then each side gets the larger of its members' share and
// alone. Before and after, what the fleet admits stays within the documented formula.
func TestAvailableInASplit(t *testing.T) {
	t.Parallel()
	const size, burst, linger, alone = 200.0, 100.0, 3000.0, 0.6
	w := NewLimitWorld(3, LimitRules{Members: 5, Drift: 0.01, Strategy: Escrow, Network: virtual.Conditions{Delay: 0.5, Jitter: 1},
		Limits: []limitshare.Limit{{Name: "x", Size: size, Burst: burst, Term: 1000, Available: true, Linger: linger, Alone: alone}}})
	uses := []limitshare.Use{{Cost: 1}}
	for i := range 5 {
		w.Start(i)
		w.Demand(i, 2*size*float64(1-min(i, 1)), uses, 5) // all demand is at the first member, which borrows the others' shares
	}
	w.Net.Run(4000)
	rate := func(forMs float64) (all, left, right float64) {
		before := append([]int{}, w.AdmittedBy...)
		w.Net.Run(forMs)
		for i, n := range w.AdmittedBy {
			x := float64(n-before[i]) / forMs * 1000 / size
			if all += x; i < 3 {
				left += x
			} else {
				right += x
			}
		}
		return all, left, right
	}
	all, _, _ := rate(2000)
	assert.InDelta(t, 1, all, 0.05, "connected")
	w.Net.Split([]string{Name(0), Name(1), Name(2)}, []string{Name(3), Name(4)})
	for i := range 5 {
		w.Demand(i, 2*size+float64(i), uses, 5)
	}
	all, left, _ := rate(linger)
	assert.LessOrEqual(t, all, 2+burst/size/(linger/1000)+0.05, "at most once more during linger")
	assert.Greater(t, left, 0.85, "the borrower continues")
	for i := range 5 {
		w.SetLiving(i, [][]string{{Name(0), Name(1), Name(2)}, {Name(3), Name(4)}}[i/3])
	}
	w.Net.Run(1500)
	all, left, right := rate(4000)
	assert.InDelta(t, 0.6, left, 0.03, "its members' share")
	assert.InDelta(t, alone, right, 0.03, "more than its members' share of 0.4")
	assert.LessOrEqual(t, all, 1+alone+0.02, "two sides")
	w.Net.Split()
	for i := range 5 {
		w.SetLiving(i, []string{Name(0), Name(1), Name(2), Name(3), Name(4)})
	}
	w.Net.Run(1500)
	all, _, _ = rate(4000)
	assert.InDelta(t, 1, all, 0.03, "healed")
}
