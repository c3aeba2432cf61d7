package simulation

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"gullstair/internal/lease"
	"gullstair/internal/limitshare"
	"gullstair/internal/virtual"
)

// rosterRuns is the number of simulated roster changes.
var rosterRuns uint64 = 60

// simulateRosterChange simulates roster changes as operators make them, by rolling restarts with a new list, while partitions come and go. It returns the violations
// and the number of acquisitions of the lease.
func simulateRosterChange(seed uint64, disk bool, sizes []int) (faults []string, held int) {
	chance := rand.New(rand.NewPCG(seed, 28))
	r := LeaseRules{Members: 7, Drift: 0.05, Fixed: []lease.Spec{{Name: "x", Term: 1000}}, Disk: disk, Fsync: 5,
		Network: virtual.Conditions{Delay: 1, Jitter: 10, Loss: 0.02}}
	w := NewLeaseWorld(seed, r)
	start := func(i, listed int) {
		w.Rosters[Name(i)] = listed
		w.Start(i)
		w.Want(i, r.Fixed[0], true)
	}
	for i := range sizes[0] {
		start(i, sizes[0])
	}
	w.Net.Run(4000)
	split := func() {
		var sides [2][]string
		for i := range r.Members {
			s := chance.IntN(2)
			sides[s] = append(sides[s], Name(i))
		}
		w.Net.Split(sides[0], sides[1])
		w.Net.After(3000*chance.Float64(), func() { w.Net.Split() })
	}
	for k, size := range sizes[1:] {
		for _, i := range chance.Perm(max(size, sizes[k])) {
			if chance.IntN(2) == 0 {
				split()
			}
			w.Kill(i)
			if i < size {
				w.Net.Run(300 * chance.Float64())
				start(i, size)
			}
			w.Net.Run(2500 * chance.Float64())
		}
	}
	w.Net.Split()
	w.Net.Run(4000)
	return w.Faults, w.Acquired
}

// Rolling restarts that change the roster by one member at a time are safe: majorities of two lists that differ by one member always share a voter.
// Changes by several members at once must produce violations, which shows that the test can fail.
func TestRosterByRestarts(t *testing.T) {
	t.Parallel()
	for _, disk := range []bool{true, false} {
		held, broken := 0, 0
		for seed := range rosterRuns {
			faults, n := simulateRosterChange(seed, disk, []int{5, 6, 7, 6, 5, 4, 3})
			assert.Empty(t, faults, "seed %d", seed)
			held += n
			if faults, _ := simulateRosterChange(seed, disk, []int{3, 7, 3}); len(faults) > 0 {
				broken++
			}
		}
		assert.Greater(t, held, 7*int(rosterRuns))
		assert.Positive(t, broken, "a change by four members at once")
		t.Logf("disks %v: held %d times; changes by four members at once produced violations in %d of %d runs", disk, held, broken, rosterRuns)
	}
}

// simulateLimitRosters simulates roster changes under load, from five to seven members and down to three, in the order of docs/limits.md: remaining members
// restart with the new list one after the other, joining members start after them, and leaving members end before them. In the other order nothing
// keeps the sum of the home shares within the limit. It returns the violations and the number of admitted scans.
func simulateLimitRosters(seed uint64, documentedOrder bool) (faults []string, taken int) {
	chance := rand.New(rand.NewPCG(seed, 29))
	w := NewLimitWorld(seed, LimitRules{Members: 7, Drift: 0.05, Strategy: Escrow, Most: 64, Disk: seed%3 == 0, Fsync: 2, Network: virtual.Conditions{Delay: 1, Jitter: 10, Loss: 0.02},
		Limits: []limitshare.Limit{{Name: "rate", Size: 100, Burst: 8, Term: 500, Owners: int(seed%2) * 4}, {Name: "open", Kind: limitshare.Stock, Size: 9, Term: 500}}})
	uses := []limitshare.Use{{Limit: 0, Cost: 1}, {Limit: 1, Cost: 1}}
	start := func(i, listed int) {
		w.Rosters[i] = listed
		w.Start(i)
		w.Demand(i, 150+float64(chance.IntN(1000)), uses[i%2:i%2+1], 20)
	}
	for i := range 5 {
		start(i, 5)
	}
	w.Net.Run(2500)
	for _, change := range [][2]int{{5, 7}, {7, 3}} {
		from, to := change[0], change[1]
		stay := min(from, to)
		others := func() {
			for i := stay; i < max(from, to); i++ {
				if w.Kill(i); to > from {
					start(i, to)
				}
				w.Net.Run(400 * chance.Float64())
			}
		}
		if documentedOrder == (to < from) {
			others()
		}
		if chance.IntN(2) == 0 {
			w.Net.Split([]string{Name(0), Name(1), Name(5)}, []string{Name(2), Name(3), Name(4), Name(6)})
			w.Net.After(2000*chance.Float64(), func() { w.Net.Split() })
		}
		for _, i := range chance.Perm(stay) {
			w.Kill(i)
			w.Net.Run(200 * chance.Float64())
			start(i, to)
			w.Net.Run(1500 * chance.Float64())
		}
		if documentedOrder == (to > from) {
			others()
		}
		w.Net.Run(2500)
	}
	return w.Faults, w.Admitted
}

// A strict limit holds while the roster grows and shrinks under load in the documented order. The other order exceeds it.
func TestLimitRosters(t *testing.T) {
	t.Parallel()
	taken, broken := 0, 0
	for seed := range rosterRuns {
		faults, n := simulateLimitRosters(seed, true)
		assert.Empty(t, faults, "seed %d", seed)
		taken += n
		if faults, _ := simulateLimitRosters(seed, false); len(faults) > 0 {
			broken++
		}
	}
	assert.Greater(t, taken, 1000*int(rosterRuns))
	assert.Positive(t, broken, "the other order must exceed the limit")
	t.Logf("%d scans admitted; the other order exceeded a limit in %d of %d runs", taken, broken, rosterRuns)
}
