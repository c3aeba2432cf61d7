package simulation

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// seeds is the number of seeds for longer simulations.
var seeds = uint64(3)

// A lease whose holder is gone is acquired again within its bound, however many candidates compete for it.
func TestTakeover(t *testing.T) {
	t.Parallel()
	for _, voters := range []int{3, 5, 9} {
		for _, term := range []float64{1000, 10_000} {
			for _, orderly := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d voters, %v ms, orderly %v", voters, term, orderly), func(t *testing.T) {
					for seed := range seeds {
						x := Takeover(seed, voters, term, 30, orderly)
						assert.Zero(t, x.Missed)
						assert.LessOrEqual(t, x.P99, x.Bound, "the longest of 30 takeovers")
					}
				})
			}
		}
	}
}
