//go:build race

package trial

import "flag"

// The race detector makes virtual time ten times as dear, and finds nothing in it: one goroutine plays it. CI plays the histories without.
func init() {
	many, seeds, rolls = 60, 1, 6
	flag.Set("rapid.checks", "20")
}
