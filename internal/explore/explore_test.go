package explore

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// deep is for a longer run by command: go test ./internal/explore -deep 1 -timeout 2h.
var deep = flag.Int("deep", 0, "so many time steps more in each world")

// most is how many states of each world are visited; 0: all.
var most = 0

// worlds are those of each run of the tests; their bounds are as large as fit a minute together.
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
	with("twice", func(b *Bounds) { b.Ticks, b.Twice, b.Rates = 2, 1, []float64{1.2, 1.2, 1.2} })
	with("given up", func(b *Bounds) { b.Ticks, b.Drops, b.Rates = 2, 1, []float64{1.2, 1.2, 1.2} })
	with("a crash, no disk", func(b *Bounds) { b.Disk, b.Wait, b.Ticks, b.Crashes = false, 8, 4, 1 })
	with("a crash, disks", func(b *Bounds) { b.Crashes, b.Ticks = 1, 3 })
	// More under way than elsewhere: a grant that comes when it no longer counts is otherwise always the oldest message, and lost.
	with("late grants", func(b *Bounds) {
		b.Drift, b.Rates, b.Tick, b.Ticks, b.Flying = 0, []float64{1, 1, 1}, 500, 2, 3
	})
	with("late grants, given up", func(b *Bounds) {
		b.Drift, b.Rates, b.Tick, b.Ticks, b.Flying, b.Drops = 0, []float64{1, 1, 1}, 500, 0, 4, 1
	})
	with("a crash, slow disks", func(b *Bounds) { b.Slow, b.Crashes, b.Ticks = true, 1, 1 })
	return all
}

func TestExplore(t *testing.T) {
	for _, b := range worlds() {
		t.Run(b.Name, func(t *testing.T) {
			t.Parallel()
			b.States, b.Ticks = most, b.Ticks+*deep
			begun := time.Now()
			r := Explore(b)
			t.Logf("%d states, %d steps, depth %d, whole %v, held %d times, %.1f s", r.States, r.Steps, r.Depth, r.Whole, r.Held, time.Since(begun).Seconds())
			require.Empty(t, r.Trail, "after %d states", r.States)
			assert.Positive(t, r.Held)
			assert.True(t, r.Whole || most > 0, "every state within the bounds is to be seen")
		})
	}
}
