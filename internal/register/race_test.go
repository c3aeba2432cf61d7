//go:build race

package register

func init() { mostStates = 60_000 } // the race detector makes a state ten times as dear; .ci/run explores without it
