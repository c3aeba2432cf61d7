package simulation

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"gullstair/internal/lease"
	"gullstair/internal/virtual"
)

// Under random faults, with all members requesting each lease, clocks at both ends of their drift, and with or without disks: a lease never has two
// holders, fencing tokens increase, and no note that a majority recorded is lost. Once the faults end, each lease has a holder.
func TestLeaseHistories(t *testing.T) {
	t.Parallel()
	held, plays := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		plays++
		r := LeaseRules{Members: rapid.SampledFrom([]int{3, 4, 5}).Draw(t, "members"), Drift: 0.05,
			Fixed: []lease.Spec{{Name: "x", Term: 1000}, {Name: "y", Term: 400}},
			Named: []lease.Spec{{Name: "d", Term: 600}, {Name: "e", Term: 300}},
			Disk:  rapid.Bool().Draw(t, "disk"),
			Fsync: rapid.SampledFrom([]float64{1, 100}).Draw(t, "fsync"),
			Network: virtual.Conditions{Delay: rapid.Float64Range(0.5, 20).Draw(t, "delay"), Jitter: rapid.SampledFrom([]float64{0, 30, 700}).Draw(t, "jitter"),
				Loss: rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss"), Duplicate: rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "twice")}}
		w := NewLeaseWorld(rapid.Uint64().Draw(t, "seed"), r)
		all := append(append([]lease.Spec{}, r.Fixed...), r.Named...)
		who := func() int { return rapid.IntRange(0, r.Members-1).Draw(t, "whom") }
		want := func(i int, on bool) {
			for _, l := range all {
				w.Want(i, l, on)
			}
		}
		for i := range r.Members {
			w.Start(i)
			want(i, true)
		}
		w.Net.Run(1500)
		for range rapid.IntRange(3, 20).Draw(t, "events") {
			i := who()
			span := rapid.Float64Range(10, 3000).Draw(t, "for")
			l := all[rapid.IntRange(0, len(all)-1).Draw(t, "lease")]
			switch rapid.SampledFrom([]string{"split", "cut", "pause", "crash", "all crash", "drop", "want", "write", "write", "idle", "wait"}).Draw(t, "what") {
			case "split":
				drawnSplit(t, w.Net, r.Members, 2, span)
			case "cut":
				cutFor(w.Net, who(), i, span)
			case "pause":
				w.Net.Pause(Name(i))
				w.Net.After(span, func() { w.Net.Resume(Name(i)) })
			case "crash":
				w.Kill(i)
				w.Net.After(span, func() { w.Start(i); want(i, true) })
			case "all crash":
				for j := range r.Members {
					w.Kill(j)
					w.Net.After(10+span/10, func() { w.Start(j); want(j, true) })
				}
			case "drop":
				w.Drop(i, l.Name, rapid.Bool().Draw(t, "silent"))
			case "want":
				w.Want(i, l, false)
				w.Net.After(span, func() { w.Want(i, l, true) })
			case "idle": // long enough for the members to forget the lease
				for j := range r.Members {
					w.Drop(j, l.Name, false)
					w.Want(j, l, false)
					w.Net.After(9000, func() { w.Want(j, l, true) })
				}
				w.Net.Run(9000)
			case "write":
				w.Write(i, l.Name)
			}
			w.Net.Run(rapid.Float64Range(0, 1500).Draw(t, "wait"))
		}
		w.Net.Run(3000) // past the end of the last fault
		w.Net.Conditions.Loss, w.Net.Conditions.Jitter = 0, 5
		for i := range r.Members {
			want(i, true)
		}
		w.Net.Run(5000)
		if len(w.Faults) > 0 {
			t.Fatalf("%v", w.Faults)
		}
		for _, l := range all {
			for range 20 { // the lease may be between two holders; a term of 300 ms is short for a disk that takes 100 ms
				if w.Holder(l.Name) == "" {
					w.Net.Run(100)
				}
			}
			if w.Holder(l.Name) == "" {
				t.Fatalf("nobody holds %s after all faults ended", l.Name)
			}
		}
		held += w.Acquired
	})
	assert.Greater(t, held, 5*plays, "the histories must acquire leases often enough to prove anything")
}

// Fencing tokens must derive from wall clocks. A member with a fast monotonic clock acquires a lease again and again for two minutes; then all members lose
// their memory at once, and one with a slower clock acquires it. Tokens derived from the monotonic clock would decrease here.
func TestNumbersOutliveAllMemory(t *testing.T) {
	t.Parallel()
	terms := lease.Spec{Name: "x", Term: 400}
	for seed := uint64(1); seed <= 4; seed++ {
		w := NewLeaseWorld(seed, LeaseRules{Members: 3, Drift: 0.05, Fixed: []lease.Spec{terms}, Network: virtual.Conditions{Delay: 1}})
		for i := range 3 {
			w.rates[Name(i)] = 1.05 - 0.05*float64(min(i, 1))
			w.Start(i)
		}
		w.Net.Run(1000)
		w.Want(0, terms, true)
		for range 120 {
			w.Net.Run(1000)
			w.Drop(0, "x", false)
		}
		w.Net.Run(1000)
		assert.Equal(t, Name(0), w.Holder("x"))
		for i := range 3 {
			w.Kill(i)
			w.Start(i)
		}
		w.Want(1, terms, true)
		w.Net.Run(3000)
		assert.Equal(t, Name(1), w.Holder("x"))
		assert.Empty(t, w.Faults)
	}
}
