//go:build race

package simulation

import "flag"

// The race detector makes the simulation ten times as slow and finds nothing in it, since one goroutine runs it. CI runs the full histories without it.
func init() {
	largeFleet, seeds, rosterRuns = 60, 1, 6
	flag.Set("rapid.checks", "20")
}
