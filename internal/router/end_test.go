package router

import (
	"testing"
	"time"
)

// TestAnswersAreOwedUntilTheLastSixth checks that a broker serves on into the last sixth of its grace, and ends before it is
// killed, however short that is.
func TestAnswersAreOwedUntilTheLastSixth(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 30 * time.Second} {
		serves := servesFor(grace)
		if serves <= grace*5/6 || grace-serves < 100*time.Millisecond {
			t.Errorf("of %v it serves %v", grace, serves)
		}
	}
	if servesFor(8*time.Second) != 7200*time.Millisecond {
		t.Errorf("of 8 s it serves %v", servesFor(8*time.Second))
	}
}
