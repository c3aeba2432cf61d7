package simulation

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gullstair/internal/verdicts"
	"gullstair/internal/virtual"
)

// All members soon exclude a store that fails for all, and soon use it again after it recovers. It loses a tenth of the parts that it loses when members
// exchange no messages.
func TestOneStoreFails(t *testing.T) {
	t.Parallel()
	lost := map[bool]int{}
	for _, alone := range []bool{true, false} {
		r := verdictRules(30, 20)
		r.Rate, r.Alone = 2, alone // each member uses the store once in ten seconds
		w := NewVerdictWorld(1, r)
		w.Net.Run(5000)
		w.Fails = func(_, s int) bool { return s == 3 }
		w.Net.Run(4000)
		if !alone {
			assert.GreaterOrEqual(t, w.Excluding(3), 28, "all but a few")
		}
		w.Net.Run(26000)
		lost[alone] = w.Lost
		w.Fails = func(int, int) bool { return false }
		w.Net.Run(13000)
		assert.Zero(t, w.Excluding(3), "no member excludes it any more")
		assert.Empty(t, w.Faults)
	}
	t.Logf("parts lost in 30 s: %d without messages, %d with verdicts", lost[true], lost[false])
	assert.Less(t, lost[false]*3, lost[true])
}

// Few members retry a store that keeps failing: once the evidence is stale all may retry, and the first failures make it fresh again. (Limiting retries to
// three members by rendezvous hashing lost as many parts: 18 and 21 per minute with 10 and 60 members, against 16 and 21 without.)
func TestFewTryAgain(t *testing.T) {
	t.Parallel()
	for _, members := range []int{10, 60} {
		r := verdictRules(members, 20)
		r.Rate = 2
		w := NewVerdictWorld(1, r)
		w.Net.Run(5000)
		w.Fails = func(_, s int) bool { return s == 3 }
		w.Net.Run(15000)
		early := w.Lost
		w.Net.Run(60000)
		t.Logf("%d members: %d parts lost in 15 s, %d in the minute after", members, early, w.Lost-early)
		assert.Less(t, w.Lost-early, 60, "one per second")
		w.Fails = func(int, int) bool { return false }
		w.Net.Run(13000)
		assert.Zero(t, w.Excluding(3), "no member excludes it any more")
		assert.Empty(t, w.Faults)
	}
}

// Faults of one broker or one zone affect no others, one member with false reports changes nothing, and when most stores fail not all are excluded.
func TestWhoseWordCounts(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name           string
		noTraffic      func(m int) bool
		fails          func(m, s int) bool
		invertedMember int
		excluding      func(w *VerdictWorld) int
		least          int
		most           int
	}{
		{"one broker's link to one store", nil, func(m, s int) bool { return m == 2 && s == 1 }, -1, func(w *VerdictWorld) int { return w.Excluding(1) }, 0, 0},
		{"one broker's link to all stores", nil, func(m, _ int) bool { return m == 2 }, -1, func(w *VerdictWorld) int { return w.Excluding(0) + w.Excluding(1) + w.Excluding(2) }, 0, 0},
		{"one zone's link to a store", nil, func(m, s int) bool { return m%3 == 1 && s == 1 }, -1, func(w *VerdictWorld) int { return w.Excluding(1) }, 0, 0},
		{"one member reports the opposite, and a store fails", nil, func(_, s int) bool { return s == 1 }, 4, func(w *VerdictWorld) int { return w.Excluding(1) }, 7, 9},
		{"one member reports the opposite, and nothing fails", nil, func(int, int) bool { return false }, 4, func(w *VerdictWorld) int { return w.Excluding(0) + w.Excluding(1) + w.Excluding(2) }, 0, 0},
		{"one zone's link, and the others have no traffic", func(m int) bool { return m%3 != 1 }, func(m, s int) bool { return m%3 == 1 && s == 1 }, -1, func(w *VerdictWorld) int { return w.Excluding(1) }, 0, 0},
		{"four of nine links", nil, func(m, s int) bool { return m < 4 && s == 1 }, -1, func(w *VerdictWorld) int { return w.Excluding(1) }, 0, 0},
		{"two members reach no store, and the others have no traffic", func(m int) bool { return m != 2 && m != 3 }, func(m, _ int) bool { return m == 2 || m == 3 }, -1, func(w *VerdictWorld) int { return w.Excluding(0) + w.Excluding(1) + w.Excluding(2) }, 0, 0},
		{"a third of the stores, all in one replica set", nil, func(_, s int) bool { return s%2 == 0 && s < 8 }, -1, func(w *VerdictWorld) (n int) {
			for s := range 12 {
				if s%2 == 0 && w.Applied(0, s).Kind >= verdicts.Fails {
					n++
				}
			}
			return n
		}, 1, 2},
		{"two thirds of the stores", nil, func(_, s int) bool { return s%3 > 0 }, -1, func(w *VerdictWorld) (n int) {
			for s := range 12 {
				if w.Applied(0, s).Kind >= verdicts.Fails {
					n++
				}
			}
			return n
		}, 0, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := NewVerdictWorld(7, verdictRules(9, 12))
			if c.invertedMember >= 0 {
				w.members[c.invertedMember].inverted = true
			}
			w.Net.Run(3000)
			w.Fails, w.NoTraffic = c.fails, c.noTraffic
			w.Net.Run(2000) // by then every member that succeeds has reported it
			most, sum, looks := 0, 0, 0
			for range 100 {
				w.Net.Run(100)
				n := c.excluding(w)
				most, sum, looks = max(most, n), sum+n, looks+1
			}
			assert.LessOrEqual(t, most, c.most)
			assert.GreaterOrEqual(t, most, c.least)
			assert.Empty(t, w.Faults)
		})
	}
}

// Under random faults of stores, links and members: every verdict has a quorum and fresh evidence and stays within the configured share. Once the faults end, no
// member excludes a store by a verdict, all members have the same orders, and expired orders have no effect.
func TestVerdictHistories(t *testing.T) {
	t.Parallel()
	used, plays := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		plays++
		r := VerdictRules{Members: rapid.SampledFrom([]int{5, 2, 9}).Draw(t, "members"), Stores: rapid.SampledFrom([]int{6, 3, 12}).Draw(t, "stores"), Zones: rapid.IntRange(1, 3).Draw(t, "zones"),
			Sets: rapid.IntRange(1, 3).Draw(t, "sets"), Rate: rapid.SampledFrom([]float64{30, 4}).Draw(t, "rate"), Drift: rapid.SampledFrom([]float64{0.01, 0.05}).Draw(t, "drift"),
			Words: verdicts.DefaultRules(), Network: virtual.Conditions{Delay: rapid.Float64Range(0.5, 20).Draw(t, "delay"), Jitter: rapid.SampledFrom([]float64{0, 30, 700}).Draw(t, "jitter"),
				Loss: rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss"), Duplicate: rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "twice")}}
		w := NewVerdictWorld(rapid.Uint64().Draw(t, "seed"), r)
		failing := map[int]bool{}
		oneSided := map[[2]int]bool{}
		w.Fails = func(m, s int) bool { return failing[s] || oneSided[[2]int{m, s}] }
		who := func() int { return rapid.IntRange(0, r.Members-1).Draw(t, "whom") }
		which := func() int { return rapid.IntRange(0, r.Stores-1).Draw(t, "store") }
		w.Net.Run(1000)
		for range rapid.IntRange(3, 15).Draw(t, "events") {
			i, s := who(), which()
			span := rapid.SampledFrom([]float64{3000, 12000, 500}).Draw(t, "for")
			switch rapid.SampledFrom([]string{"ill", "ill", "one side", "split", "cut", "pause", "crash", "reborn", "order", "order", "flap"}).Draw(t, "what") {
			case "ill":
				failing[s] = true
				w.Net.After(span, func() { delete(failing, s) })
			case "flap":
				for n := range 6 {
					w.Net.After(float64(n)*500, func() { failing[s] = n%2 == 0 })
				}
			case "one side":
				oneSided[[2]int{i, s}] = true
				w.Net.After(span, func() { delete(oneSided, [2]int{i, s}) })
			case "split":
				drawnSplit(t, w.Net, r.Members, 2, span)
			case "cut":
				cutFor(w.Net, who(), i, span)
			case "pause":
				w.Net.Pause(Name(i))
				w.Net.After(span, func() { w.Net.Resume(Name(i)) })
			case "crash":
				w.Kill(i)
				w.Net.After(span, func() { w.Start(i) })
			case "reborn":
				delete(failing, s)
				w.ReplaceStore(s)
			case "order":
				do := rapid.SampledFrom([]verdicts.Do{verdicts.Drain, verdicts.Rest, verdicts.Clear}).Draw(t, "do")
				w.Order(i, verdicts.Set{Store: storeName(s), Do: do, For: span, Reason: "drawn"})
			}
			w.Net.Run(rapid.SampledFrom([]float64{900, 300, 4000, 20}).Draw(t, "wait"))
		}
		w.Net.Run(13000) // past the end of the last fault
		clear(failing)
		w.Net.Split()
		w.Net.Conditions.Loss, w.Net.Conditions.Jitter = 0, 5
		final := verdicts.Set{Store: storeName(0), Do: verdicts.Drain, For: 20000, Reason: "last"}
		w.Net.Run(6000)
		w.Order(0, final)
		w.Net.Run(500)
		for i := range r.Members {
			if !w.Applied(i, 0).Drain {
				t.Fatalf("member %d sends to a store half a second after it was drained", i)
			}
		}
		w.Net.Run(21500)
		for i := range r.Members {
			for s := range r.Stores {
				if v := w.Applied(i, s); v.Kind > verdicts.Well || v.Drain {
					t.Fatalf("member %d still applies %+v long after the last fault", i, v)
				}
			}
			if n := w.members[i].core.ReportCount(); n > r.Members*r.Stores {
				t.Fatalf("member %d keeps %d reports", i, n)
			}
			used += w.members[i].core.Counts.Used
		}
		if len(w.Faults) > 0 {
			t.Fatalf("%v", w.Faults)
		}
	})
	assert.Greater(t, used*3, plays, "the histories must reach enough verdicts to prove anything")
	t.Logf("%d verdicts", used)
}

// Contrary orders on two sides of a partition: each side applies its own, and after the partition all apply the same one. A member that was isolated
// throughout also ends its order in time.
func TestContraryOrders(t *testing.T) {
	t.Parallel()
	w := NewVerdictWorld(3, verdictRules(6, 4))
	w.Net.Run(2000)
	w.Net.Split(Names(0, 3), Names(3, 5), Names(5, 6))
	w.Order(0, verdicts.Set{Store: storeName(1), Do: verdicts.Rest, For: 8000, Reason: "at first"})
	w.Net.Run(300)
	w.Order(0, verdicts.Set{Store: storeName(1), Do: verdicts.Drain, For: 20000, Reason: "this side"})
	w.Order(4, verdicts.Set{Store: storeName(1), Do: verdicts.Clear, For: 21000, Reason: "that side"})
	w.Net.Run(500)
	assert.True(t, w.Applied(2, 1).Drain)
	assert.False(t, w.Applied(3, 1).Drain)
	assert.False(t, w.Applied(5, 1).Drain, "the isolated member has no order")
	for _, s := range w.members[0].core.Seen() {
		if s.Order != nil {
			assert.Equal(t, [2]int{2, 3}, [2]int{s.Told, s.Not}, "the isolated member has not acknowledged")
		}
	}
	w.Net.Split()
	w.Net.Run(4000)
	want := w.Applied(0, 1).Drain
	for range 200 {
		for i := range 6 {
			assert.Equal(t, want, w.Applied(i, 1).Drain, "all apply the same order and keep it")
		}
		w.Net.Run(50)
	}
	w.Net.Run(9000)
	for i := range 6 {
		assert.False(t, w.Applied(i, 1).Drain, "the order has expired")
	}
	require.Empty(t, w.Faults)
}

// Reports on an earlier process of a store do not count once the list holds a new process of the same name.
func TestReborn(t *testing.T) {
	t.Parallel()
	w := NewVerdictWorld(5, verdictRules(9, 12))
	w.Fails = func(_, s int) bool { return s == 1 }
	w.Net.Run(5000)
	assert.Greater(t, w.Excluding(1), 6)
	w.Fails = func(int, int) bool { return false }
	w.ReplaceStore(1)
	w.NoTraffic = func(int) bool { return true } // no member sees by itself that the store works
	w.Net.Run(5)
	assert.Zero(t, w.Excluding(1))
	w.Net.Run(500)
	assert.Zero(t, w.Excluding(1), "nor after old reports arrive again")
}

// A store that fails one part in thirty for all members is excluded rarely and briefly.
func TestNowAndThen(t *testing.T) {
	t.Parallel()
	w := NewVerdictWorld(6, verdictRules(9, 12))
	w.Fails = func(int, int) bool { return w.Net.Rand().IntN(30) == 0 }
	w.Net.Run(30000)
	assert.Less(t, w.Withheld*12, w.Sent, "of %d parts", w.Sent)
	t.Logf("%d parts kept from a store that would have served them, of %d", w.Withheld, w.Sent)
}
