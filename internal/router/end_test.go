package router

import (
	"bufio"
	"net/http"
	"testing"
	"time"
)

// TestAnswersAreOwedUntilTheLastSixth checks that a broker serves into the last sixth of its grace period and ends before
// it is killed, however short the grace period is.
func TestAnswersAreOwedUntilTheLastSixth(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 30 * time.Second} {
		serves := serveDuration(grace)
		if serves <= grace*5/6 || grace-serves < 100*time.Millisecond {
			t.Errorf("with a grace period of %v it serves for %v", grace, serves)
		}
	}
	if serveDuration(8*time.Second) != 7200*time.Millisecond {
		t.Errorf("with a grace period of 8 s it serves for %v", serveDuration(8*time.Second))
	}
}

// TestARequestLongAfterTheEndBegan guards against accepting a request long after shutdown began and then abandoning it,
// which was seen 5.05 s after SIGTERM. A client sends a request before the broker shuts down, so its answer does not ask for
// the connection to be closed, and reuses the connection after readiness was withdrawn. The second request might not
// complete before the broker ends, so it must be rejected and not forwarded.
func TestARequestLongAfterTheEndBegan(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w, _ := startedFleet(t, 93, 3, 3)
		m := w.machines[1]
		for _, s := range w.servers {
			s.set(func(s *modelServer) { s.minPrefill = unreadyDelay + 100*time.Millisecond })
		}
		conn, err := w.net.Host("10.8.0.4").Dial(t.Context(), m.ip+":"+frontPort, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		time.AfterFunc(20*time.Millisecond, m.cancel)
		first, status := w.postOn(conn, reader)
		if status != http.StatusOK {
			w.failf("%s, sent before the shutdown, got %d", first, status)
		}
		late, status := w.postOn(conn, reader)
		time.Sleep(time.Second)
		w.mu.Lock()
		forwarded := w.delivered[late]
		w.mu.Unlock()
		if forwarded > 0 || status != http.StatusServiceUnavailable && status != 0 {
			w.failf("%s, sent long after the shutdown began, was forwarded %d times and got %d", late, forwarded, status)
		}
		w.shutdown()
	})
}
