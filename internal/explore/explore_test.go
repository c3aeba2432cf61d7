package explore

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// deep lengthens the run: go test ./internal/explore -deep 1 -timeout 2h.
var deep = flag.Int("deep", 0, "additional time steps in each world")

// maxStates is the number of states of each world to visit; 0: all.
var maxStates = 0

// worlds returns the bounds for the tests. They are as large as fit into a minute together.
func worlds() []Bounds {
	base := Bounds{Askers: 2, Drift: 0.2, Term: 1000, Tick: 250, Flying: 2, Disk: true, Rates: []float64{0.8, 1.2, 1.2}}
	var all []Bounds
	with := func(name string, change func(*Bounds)) {
		b := base
		b.Name = name
		change(&b)
		all = append(all, b)
	}
	with("slow holder, fast voters", func(b *Bounds) { b.Ticks = 5 })
	with("fast holder, slow voters", func(b *Bounds) { b.Ticks, b.Rates = 4, []float64{1.2, 0.8, 0.8} })
	with("duplicates", func(b *Bounds) { b.Ticks, b.Twice, b.Rates = 2, 1, []float64{1.2, 1.2, 1.2} })
	with("released", func(b *Bounds) { b.Ticks, b.Drops, b.Rates = 2, 1, []float64{1.2, 1.2, 1.2} })
	with("a crash, no disk", func(b *Bounds) { b.Disk, b.Wait, b.Ticks, b.Crashes = false, 8, 4, 1 })
	with("a crash, disks", func(b *Bounds) { b.Crashes, b.Ticks = 1, 3 })
	// More messages in flight than elsewhere: with fewer, a grant that arrives too late is always the oldest message, and lost.
	with("late grants", func(b *Bounds) {
		b.Drift, b.Rates, b.Tick, b.Ticks, b.Flying = 0, []float64{1, 1, 1}, 500, 2, 3
	})
	with("late grants, released", func(b *Bounds) {
		b.Drift, b.Rates, b.Tick, b.Ticks, b.Flying, b.Drops = 0, []float64{1, 1, 1}, 500, 0, 4, 1
	})
	with("a crash, slow disks", func(b *Bounds) { b.Slow, b.Crashes, b.Ticks = true, 1, 1 })
	return all
}

func TestExplore(t *testing.T) {
	for _, b := range worlds() {
		t.Run(b.Name, func(t *testing.T) {
			t.Parallel()
			b.States, b.Ticks = maxStates, b.Ticks+*deep
			begun := time.Now()
			r := Explore(b)
			t.Logf("%d states, %d steps, depth %d, complete %v, held %d times, %.1f s", r.States, r.Steps, r.Depth, r.Complete, r.Held, time.Since(begun).Seconds())
			require.Empty(t, r.Counterexample, "after %d states", r.States)
			assert.Positive(t, r.Held)
			assert.True(t, r.Complete || maxStates > 0, "not all states within the bounds were visited")
		})
	}
}
