//go:build race

package router

func init() {
	raceDetector = true
	manyChanges = 2000 // a change is ten times as slow under the race detector; .ci/run also runs the full number without it
}
