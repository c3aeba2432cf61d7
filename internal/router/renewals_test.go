package router

import (
	"testing"
	"time"
)

// TestRenewalsOfInstancesAreNotPushed guards against excessive traffic in an idle fleet: 96 brokers with 112 instances made
// 8,400 calls a second to each other, 8,100 of them to push records. The record of an instance without news is renewed
// every 4 s, and each broker pushed the renewal to four others at once.
func TestRenewalsOfInstancesAreNotPushed(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const brokers, spans, span = 16, 3, 10 * time.Second
		w := newSimFleet(t, 5, brokers, 3)
		operator := w.client("10.8.0.1")
		if status := w.replace(operator, 0, 1, configurationOf(1, "")); status != 200 {
			w.failf("the first configuration got %d", status)
		}
		time.Sleep(4 * time.Second)
		before := sum(w.linkTraffic(span))
		for i := range 16 {
			w.startServer("plain", zones[i%len(zones)])
		}
		time.Sleep(5 * time.Second)
		for range spans { // longer than the time after which an instance without heartbeats expires
			after := sum(w.linkTraffic(span))
			each := (after - before) / brokers / int(span/time.Second)
			t.Logf("16 instances cost each broker %d bytes a second, sent and received", each)
			if each > 3000 {
				w.failf("16 instances cost each broker %d bytes a second", each)
			}
			for _, m := range w.machines {
				m.broker.mu.Lock()
				known := len(m.broker.registry.Active())
				m.broker.mu.Unlock()
				if known != 16 {
					w.failf("%s knows %d of 16 instances", m.name, known)
				}
			}
		}
		w.shutdown()
	})
}

func sum(numbers []int) (all int) {
	for _, n := range numbers {
		all += n
	}
	return all
}
