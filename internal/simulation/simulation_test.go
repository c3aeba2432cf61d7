package simulation

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gullstair/internal/duties"
	"gullstair/internal/membership"
	"gullstair/internal/rapidseed"
	"gullstair/internal/virtual"
)

// largeFleet is the size of a large fleet.
var largeFleet = 200

// Histories derive from a fixed seed; -rapid.seed sets another.
func TestMain(m *testing.M) { rapidseed.Main(m) }

// defaultRules returns rules for four members and forty stores, with a probe of each store every ten seconds and a fenced task every fifteen.
func defaultRules() Rules {
	return Rules{Members: 4, Stores: 40, Period: 10000, TaskPeriod: 15000, Term: 3000, TaskDuration: 800, Drift: 0.02,
		ClockSkew: 0.01, Timing: membership.Standard().Scaled(0.5), Network: virtual.Conditions{Delay: 1, Jitter: 2}}
}

func settled(t *testing.T, seed uint64, r Rules) *World {
	w := New(seed, r)
	w.StartAll()
	w.Net.Run(3 * r.Period)
	for i := range r.Members {
		require.Equal(t, r.Members, w.Core(i).Members.Living(), "member %d sees all", i)
	}
	return w
}

func holder(w *World) int {
	for i := range w.Rules.Members {
		if c := w.Core(i); c != nil && c.Leases.Views()[0].Held {
			return i
		}
	}
	return -1
}

func TestCalm(t *testing.T) {
	t.Parallel()
	w := settled(t, 1, defaultRules())
	from := w.Net.Now()
	w.Net.Run(100000)
	assert.Empty(t, w.Judge())
	assert.InDelta(t, 400, w.Probes(from), 20, "each store once in a period")
	_, wait := w.LongestGap(from)
	assert.Less(t, wait, 11000.0)
	began := 0
	for _, e := range w.Effects {
		if e.First {
			began++
		}
	}
	assert.GreaterOrEqual(t, began, 6, "the fenced task in 130 s")
	// Probes are spread over time: no second has more than three times its share.
	perSecond := map[int]int{}
	for _, v := range w.Visits {
		for _, x := range v {
			perSecond[int(x.At/1000)]++
		}
	}
	for s, n := range perSecond {
		assert.LessOrEqual(t, n, 13, "second %d", s)
	}
}

func TestOneKilledInMidCycle(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 5; seed++ {
		w := settled(t, seed, defaultRules())
		w.Net.Run(4700)
		from := w.Net.Now()
		w.Kill(int(seed) % 4)
		w.Net.Run(60000)
		assert.Empty(t, w.Judge(), "seed %d", seed)
		store, wait := w.LongestGap(from - 10000)
		assert.Less(t, wait, 20000.0, "seed %d: %s within one extra period", seed, store)
	}
}

func TestSplits(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		sides [][]string
		most  float64 // longest time without a probe during the partition, in periods
	}{
		{"2-2", [][]string{Names(0, 2), Names(2, 4)}, 3.6},
		{"3-1", [][]string{Names(0, 3), Names(3, 4)}, 2.2},
		{"2-1-1", [][]string{Names(0, 2), Names(2, 3), Names(3, 4)}, 3.6},
	} {
		for seed := uint64(1); seed <= 3; seed++ {
			r := defaultRules()
			w := settled(t, seed, r)
			w.Net.Split(c.sides...)
			from := w.Net.Now()
			w.Net.Run(120000)
			_, wait := w.LongestGap(from)
			assert.Less(t, wait, c.most*r.Period, "%s: probing continues", c.name)
			for _, side := range c.sides {
				on := map[string]bool{}
				for _, name := range side {
					on[name] = true
				}
				probes := 0
				for _, v := range w.Visits {
					for _, x := range v {
						if x.At > from+30000 && on[x.By] {
							probes++
						}
					}
				}
				assert.Positive(t, probes, "%s: probing continues on each side", c.name)
			}
			w.Net.Split()
			healed := w.Net.Now()
			w.Net.Run(60000)
			assert.Empty(t, w.Judge(), "%s, seed %d", c.name, seed)
			for i := range 4 {
				assert.Equal(t, 4, w.Core(i).Members.Living(), "%s: healed", c.name)
			}
			_, wait = w.LongestGap(healed)
			assert.Less(t, wait, 2*r.Period, "%s: after the partition", c.name)
		}
	}
}

func TestRestarts(t *testing.T) {
	t.Parallel()
	restart := func(w *World, i int, down float64) {
		w.Kill(i)
		w.Net.After(down, func() { w.Start(i) })
	}
	for _, c := range []struct {
		name string
		do   func(w *World)
		most float64
	}{
		{"one, back within half a period", func(w *World) { restart(w, 1, 4000) }, 2},
		{"the holder of the lease", func(w *World) { restart(w, holder(w), 300) }, 2},
		{"all, one after the other", func(w *World) {
			for i := range 4 {
				w.Net.After(float64(i)*6000, func() { restart(w, i, 1500) })
			}
		}, 2.2},
		{"all at once", func(w *World) {
			for i := range 4 {
				restart(w, i, 1000+100*float64(i))
			}
		}, 2.6},
		{"one leaves gracefully", func(w *World) { w.Leave(2) }, 2},
	} {
		for seed := uint64(1); seed <= 3; seed++ {
			w := settled(t, seed, defaultRules())
			w.Net.Run(2300)
			from := w.Net.Now()
			c.do(w)
			w.Net.Run(90000)
			assert.Empty(t, w.Judge(), "%s, seed %d", c.name, seed)
			store, wait := w.LongestGap(from - 10000)
			assert.Less(t, wait, c.most*10000, "%s, seed %d: %s", c.name, seed, store)
			assert.Positive(t, len(w.Effects))
			assert.Greater(t, w.Effects[len(w.Effects)-1].At, w.Net.Now()-35000, "%s: the fenced task goes on", c.name)
		}
	}
}

// The holder pauses for long in the middle of its work and still considers itself the holder when it resumes. Its worker ends by the end of the term, another
// member takes over, and nothing happens under the old fencing token after that.
func TestPausedHolder(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 5; seed++ {
		r := defaultRules()
		r.TaskDuration = 9000
		w := settled(t, seed, r)
		for n := len(w.Effects); len(w.Effects) == n || !w.Effects[len(w.Effects)-1].First; {
			w.Net.Run(10)
		}
		last := w.Effects[len(w.Effects)-1]
		w.Net.Pause(last.By)
		w.Net.Run(40000)
		other := holder(w)
		require.GreaterOrEqual(t, other, 0, "another member holds the lease")
		require.NotEqual(t, last.By, Name(other))
		w.Net.Resume(last.By)
		w.Net.Run(40000)
		assert.Empty(t, w.Judge(), "seed %d", seed)
		for _, e := range w.Effects {
			assert.False(t, e.By == last.By && e.Fence == last.Fence && e.At > last.At+1.02*r.Term, "no effect under the old fencing token")
		}
	}
}

// The holder leaves gracefully in the middle of its work, when the next occurrence is already due. Its worker is cancelled and uses its whole grace period, and
// only then does another member begin.
func TestLeavesInMidWork(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 5; seed++ {
		r := defaultRules()
		r.TaskDuration = 20000
		w := settled(t, seed, r)
		for n := len(w.Effects); len(w.Effects) == n || !w.Effects[len(w.Effects)-1].First; {
			w.Net.Run(10)
		}
		w.Net.Run(17000)
		runs := len(w.TaskStarts)
		w.Leave(holder(w))
		w.Net.Run(8000)
		assert.Greater(t, len(w.TaskStarts), runs, "another member takes over")
		assert.Empty(t, w.Judge(), "seed %d", seed)
	}
}

// A member that resumes after a long pause must not report the others as dead.
func TestPausedMemberBlamesNobody(t *testing.T) {
	t.Parallel()
	w := settled(t, 2, defaultRules())
	w.Changes = nil
	w.Net.Pause(Name(3))
	w.Net.Run(30000)
	w.Net.Resume(Name(3))
	w.Net.Run(30000)
	for _, c := range w.Changes {
		assert.False(t, c.Member.Name != Name(3) && c.Member.State == membership.Dead, "%+v", c)
	}
	assert.Equal(t, 4, w.Core(0).Members.Living(), "the member is alive again")
}

func TestBadNetworks(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		network virtual.Conditions
		do      func(w *World)
	}{
		{"30% lost", virtual.Conditions{Delay: 1, Jitter: 2, Loss: 0.3}, func(*World) {}},
		{"duplicated and reordered", virtual.Conditions{Delay: 1, Jitter: 120, Duplicate: 0.5}, func(*World) {}},
		{"one direction cut", virtual.Conditions{Delay: 1, Jitter: 2}, func(w *World) { w.Net.Cut(Name(0), Name(1)) }},
		{"one member receives nothing", virtual.Conditions{Delay: 1, Jitter: 2}, func(w *World) {
			for i := 1; i < 4; i++ {
				w.Net.Cut(Name(i), Name(0))
			}
		}},
	} {
		r := defaultRules()
		w := settled(t, 3, r)
		w.Net.Conditions = c.network
		from := w.Net.Now()
		c.do(w)
		w.Net.Run(150000)
		assert.Empty(t, w.Judge(), c.name)
		_, wait := w.LongestGap(from)
		assert.Less(t, wait, 2*r.Period, c.name)
	}
}

func TestManyMembers(t *testing.T) {
	t.Parallel()
	r := defaultRules()
	r.Members, r.Stores, r.TaskPeriod = largeFleet, 60, 0
	r.Timing = membership.Standard()
	w := New(4, r)
	w.StartAll()
	w.Net.Run(20000)
	for i := range largeFleet {
		require.Equal(t, largeFleet, w.Core(i).Members.Living())
	}
	w.Kill(17)
	w.Net.Run(25000)
	for i := range largeFleet {
		if i != 17 {
			assert.Equal(t, largeFleet-1, w.Core(i).Members.Living())
		}
	}
	assert.Empty(t, w.Judge())
}

func TestJoinStorm(t *testing.T) {
	t.Parallel()
	r := defaultRules()
	r.Members, r.Open, r.TaskPeriod = 4, true, 0
	w := New(5, r)
	w.StartAll()
	w.Net.Run(20000)
	for i := 4; i < 54; i++ {
		w.Start(i)
	}
	from := w.Net.Now()
	w.Net.Run(20000)
	for i := range 54 {
		require.Equal(t, 54, w.Core(i).Members.Living(), "member %d", i)
	}
	assert.Empty(t, w.Judge())
	_, wait := w.LongestGap(from)
	assert.Less(t, wait, 2*r.Period)
}

// Records pass from member to member. An age that shrinks at each hop would delay probes, more with every member: a hundred members once made 0.8 probes
// per period.
func TestAgesStayTrue(t *testing.T) {
	t.Parallel()
	r := defaultRules()
	r.Members, r.Stores, r.TaskPeriod, r.ClockSkew = 40, 200, 0, 0
	w := settled(t, 8, r)
	from := w.Net.Now()
	w.Net.Run(50000)
	assert.InDelta(t, 1000, w.Probes(from), 20)
}

// The list changes in mid-cycle and half of the stores never answer: the others are probed as before, and removed stores are not.
func TestListChanges(t *testing.T) {
	t.Parallel()
	w := settled(t, 6, defaultRules())
	gone := w.Stores()[:10]
	for _, s := range w.Stores()[10:25] {
		w.Unresponsive[s] = true
	}
	var added []string
	for i := range 10 {
		added = append(added, fmt.Sprintf("n-%d", i))
	}
	w.Net.Run(5000)
	w.List(append(append([]string{}, w.Stores()[10:]...), added...))
	from := w.Net.Now()
	w.Net.Run(50000)
	assert.Empty(t, w.Judge())
	_, wait := w.LongestGap(from)
	assert.Less(t, wait, 12000.0)
	for _, s := range gone {
		for _, v := range w.Visits[s] {
			assert.Less(t, v.At, from+1, "%s was removed", s)
		}
	}
}

func TestOneDeathMovesItsItemsAlone(t *testing.T) {
	t.Parallel()
	r := defaultRules()
	r.Members, r.Stores, r.TaskPeriod = 10, 2000, 0
	w := settled(t, 7, r)
	owners := func() map[string]string {
		m := map[string]string{}
		for _, it := range w.Core(0).Duties.Statuses()[0].Items {
			m[it.Name] = it.Owner
		}
		return m
	}
	before := owners()
	w.Kill(4)
	w.Net.Run(20000)
	moved, its := 0, 0
	for item, owner := range owners() {
		if before[item] == Name(4) {
			its++
			assert.NotEqual(t, Name(4), owner)
		} else {
			assert.Equal(t, before[item], owner, item)
		}
		if before[item] != owner {
			moved++
		}
	}
	assert.Equal(t, its, moved)
	assert.InDelta(t, 200, its, 60, "about a tenth")
	assert.NotZero(t, duties.Score("d", "i", "m", 1))
}

// Random histories with overlapping partitions, cuts, pauses, crashes and restarts, under loss, duplication, reordering and clock drift. Only one member
// works under the lease at a time, and a store receives at most three probes in a period (two where faults do not overlap: the tests above). Once the
// faults end, every store is probed within three periods, and no member's state has grown.
func TestHistories(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		r := defaultRules()
		r.Members = rapid.IntRange(3, 5).Draw(t, "members")
		r.Stores, r.MaxProbes = 12, 3
		r.TaskDuration = rapid.SampledFrom([]float64{800, 20000}).Draw(t, "work") // shorter than a term, longer than a period
		r.ClockSkew = rapid.SampledFrom([]float64{0, 0.01}).Draw(t, "skew")
		r.Network = virtual.Conditions{Delay: rapid.Float64Range(0.5, 20).Draw(t, "delay"), Jitter: rapid.Float64Range(0, 60).Draw(t, "jitter"),
			Loss: rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss"), Duplicate: rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "twice")}
		w := New(rapid.Uint64().Draw(t, "seed"), r)
		w.StartAll()
		w.Net.Run(20000)
		faults := rapid.IntRange(1, 6).Draw(t, "faults")
		for range faults {
			i := rapid.IntRange(0, r.Members-1).Draw(t, "whom")
			span := rapid.Float64Range(100, 25000).Draw(t, "for")
			switch rapid.SampledFrom([]string{"split", "cut", "pause", "crash", "deaf", "leave"}).Draw(t, "fault") {
			case "split":
				drawnSplit(t, w.Net, r.Members, rapid.IntRange(2, 3).Draw(t, "sides"), span)
			case "cut":
				j := rapid.IntRange(0, r.Members-1).Draw(t, "from")
				w.Net.Cut(Name(j), Name(i))
				w.Net.After(span, func() { w.Net.Heal(Name(j), Name(i)) })
			case "pause":
				w.Net.Pause(Name(i))
				w.Net.After(span, func() { w.Net.Resume(Name(i)) })
			case "crash":
				w.Kill(i)
				w.Net.After(span, func() { w.Start(i) })
			case "leave": // possibly in the middle of its work; it is killed later at the latest
				w.Leave(i)
				w.Net.After(span, func() { w.Start(i) })
			case "deaf":
				for j := range r.Members {
					w.Net.Cut(Name(j), Name(i))
				}
				w.Net.After(span, func() {
					for j := range r.Members {
						w.Net.Heal(Name(j), Name(i))
					}
				})
			}
			w.Net.Run(rapid.Float64Range(0, 20000).Draw(t, "wait"))
		}
		w.Net.Run(26000) // past the end of the last fault
		w.Net.Conditions.Loss = min(w.Net.Conditions.Loss, 0.05)
		w.Net.Run(30000)
		healthySince := w.Net.Now()
		w.Net.Run(4 * r.Period)
		if faults := w.Judge(); len(faults) > 0 {
			t.Fatalf("%v", faults)
		}
		if store, wait := w.LongestGap(healthySince); wait > 3*r.Period || math.IsNaN(wait) {
			t.Fatalf("%s went without a probe for %.0f ms after the last fault", store, wait)
		}
		for i := range r.Members {
			c := w.Core(i)
			if n := c.Members.Living(); n != r.Members {
				t.Fatalf("member %d sees %d of %d", i, n, r.Members)
			}
			if c.Members.EntryCount() > 3*r.Members+10 || c.Duties.KeptRecords() > 3*r.Stores+r.Members+100 {
				t.Fatalf("member %d keeps %d members and %d records", i, c.Members.EntryCount(), c.Duties.KeptRecords())
			}
			if c.Members.Counts.Dropped > 0 || c.Leases.Counts.Unexpected > 0 {
				t.Fatalf("member %d dropped updates: %+v %+v", i, c.Members.Counts, c.Leases.Counts)
			}
		}
	})
}
