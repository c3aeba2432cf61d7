//go:build race

package register

func init() { maxStates = 60_000 } // the race detector makes each state ten times as slow; .ci/run explores without it
