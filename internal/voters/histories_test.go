package voters_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

// These tests run histories of the simulation with random losses.

// conditions apply to a whole history.
type conditions struct {
	loss    float64 // share of the messages that are lost
	slow    bool    // disks are slow
	repeats bool    // the operator sends accepted orders again
}

// runHistory runs one history: three losses, each as early as the rules allow, then finish.
func runHistory(seed uint64, faults injectedFaults, network conditions) *simulation {
	nodes, maxLost := 3+int(seed%5), 1
	if nodes >= 5 && seed%2 == 0 {
		maxLost = 2
	}
	m := newSimulation(seed, nodes, maxLost, faults, network.loss, network.slow)
	m.repeats = network.repeats
	for range 3 {
		for m.lostCount() >= maxLost && m.err == nil {
			m.advanceTime(tick)
		}
		if m.rng.IntN(3) == 0 {
			m.advanceTime(time.Duration(m.rng.IntN(2000)) * time.Millisecond)
		}
		if m.err == nil {
			m.injectLoss()
		}
	}
	for m.lostCount() > 0 && m.err == nil {
		m.advanceTime(tick)
	}
	m.finish()
	return m
}

func TestHistoriesOfLosses(t *testing.T) {
	histories := 10000
	if testing.Short() {
		histories = 500
	}
	for _, c := range []conditions{{}, {loss: 0.05}, {loss: 0.2}, {slow: true}, {repeats: true}, {loss: 0.05, repeats: true}} {
		t.Run(fmt.Sprintf("loss %.2f, slow disks %t, repeated orders %t", c.loss, c.slow, c.repeats), func(t *testing.T) {
			t.Parallel()
			runHistories(t, histories/4, c)
		})
	}
}

func runHistories(t *testing.T, histories int, network conditions) {
	var recoveryTimes, partitionLatencies []time.Duration
	orders := 0
	for seed := range histories {
		m := runHistory(uint64(seed), injectedFaults{}, network)
		if m.err != nil {
			t.Fatalf("seed %d: %v", seed, m.err)
		}
		recoveryTimes, partitionLatencies = append(recoveryTimes, m.recoveryTimes...), append(partitionLatencies, m.partitionLatencies...)
		orders += len(m.acknowledged)
	}
	slices.SortFunc(recoveryTimes, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	t.Logf("%d histories, %d orders taken; recovered after %v (p50), %v (p99), %v (max), limit %v", histories, orders,
		recoveryTimes[len(recoveryTimes)/2], recoveryTimes[len(recoveryTimes)*99/100], recoveryTimes[len(recoveryTimes)-1], catchUp)
	slices.Sort(partitionLatencies)
	t.Logf("%d orders in the larger part of a partitioned core took %v (p50), %v (p99), %v (max)", len(partitionLatencies),
		partitionLatencies[len(partitionLatencies)/2], partitionLatencies[len(partitionLatencies)*99/100], partitionLatencies[len(partitionLatencies)-1])
}

func TestPlantedFaultsAreFound(t *testing.T) {
	for name, faults := range map[string]injectedFaults{
		"an extra fourth voter":       {extraVoter: true},
		"leaving voter not replaced":  {ignoreLeaving: true},
		"vote under old identity":     {reuseIdentity: true},
		"missed Accept never learned": {skipLearning: true},
		"proposed to new set only":    {newSetOnly: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(10000) {
				if m := runHistory(seed, faults, conditions{loss: 0.05}); m.err != nil {
					t.Logf("detected by history %d: %v", seed, m.err)
					return
				}
			}
			t.Error("not detected in 10000 histories")
		})
	}
}
