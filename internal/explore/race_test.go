//go:build race

package explore

func init() { maxStates = 4000 } // the race detector makes a state ten times as expensive; .ci/run explores without it
