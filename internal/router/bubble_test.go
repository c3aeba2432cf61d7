package router

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// raceDetector is true if the tests are built with the race detector. It is set in race_test.go.
var raceDetector bool

// inBubble runs a test in a synctest bubble of virtual time. Under the race detector it uses one processor, because the
// detector has a single context for all timers of a bubble. The detector tracks happens-before relations, so one processor
// hides no race from it.
func inBubble(t *testing.T, test func(*testing.T)) {
	if raceDetector {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	}
	synctest.Test(t, test)
}

// TestChannelTimersOfABubble guards against a crash of Go's race detector that ended CI runs of this package. The detector
// keeps one context for all timers of a bubble (runtime, unlockAndRun: bubble.timers.raceCtx). If goroutines wake together
// on several processors and each receives from an expired channel timer, two threads use that context at once and corrupt
// it. It is neither a fault of the broker nor a data race of a test. On several processors this test crashed 12 of 12
// processes, 7 of them in SlotLock+0x49 of the detector (context without a slot) and 5 in its checks; on one processor none.
func TestChannelTimersOfABubble(t *testing.T) {
	const rounds, goroutines, receipts = 10, 64, 300
	for range rounds {
		inBubble(t, func(*testing.T) {
			var all sync.WaitGroup
			for range goroutines {
				all.Go(func() {
					for range receipts {
						timer := time.NewTimer(time.Millisecond)
						time.Sleep(time.Millisecond)
						<-timer.C
					}
				})
			}
			all.Wait()
		})
	}
}
