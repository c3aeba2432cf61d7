package trial

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// seeds are those that longer plays are drawn from.
var seeds = uint64(3)

// However many candidates ask at once, a lease whose holder is gone is held again within its bound, each time.
func TestTakeover(t *testing.T) {
	t.Parallel()
	for _, voters := range []int{3, 5, 9} {
		for _, term := range []float64{1000, 10_000} {
			for _, orderly := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d voters, %v ms, orderly %v", voters, term, orderly), func(t *testing.T) {
					for seed := range seeds {
						x := Takeover(seed, voters, term, 30, orderly)
						assert.Zero(t, x.Missed)
						assert.LessOrEqual(t, x.P99, x.Bound, "the longest of 30")
					}
				})
			}
		}
	}
}
