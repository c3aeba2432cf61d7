package router

import (
	"net/http"
	"testing"
	"time"
)

// TestAChangeCrossesEachLinkOnce applies large configurations to a fleet. A change may cost the link of a broker without a
// disk, sent and received, little more than the value itself: links of 10 Mbit/s carry clients' requests too.
func TestAChangeCrossesEachLinkOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const brokers, changes, filler = 24, 6, 60 << 10
		w := newSimFleet(t, 81, brokers, 3)
		operator := w.client("10.8.0.1")
		if status := w.replace(operator, 0, 1, configurationOf(1, "")); status != http.StatusOK {
			w.failf("the first configuration got %d", status)
		}
		time.Sleep(4 * time.Second)
		idle := w.linkTraffic(time.Second)
		for version := int64(1); version <= changes; version++ {
			loads := w.linkTrafficDuring(func() {
				if status := w.replace(operator, version, version+1, manyRoutes(version+1, 1, filler)); status != http.StatusOK {
					w.failf("configuration %d got %d", version+1, status)
				}
				time.Sleep(time.Second)
			})
			size := len(w.machines[brokers-1].broker.stateValue())
			sum := 0
			for number := 3; number < brokers; number++ { // capped, since the broker that the operator calls proposes the value and sends it to all
				sum += min(loads[number]-idle[number], 8*size)
			}
			mean := float64(sum) / float64((brokers-3)*size)
			t.Logf("change %d crosses the link of a broker %.2f times", version, mean)
			if mean > 2.5 {
				w.failf("change %d crosses the link of a broker %.1f times", version, mean)
			}
		}
		for _, m := range w.machines {
			if version := m.broker.gateway.Configuration().Version; version != changes+1 {
				w.failf("%s has configuration %d", m.name, version)
			}
		}
		w.shutdown()
	})
}

// stateValue returns the value of the register that a broker knows.
func (b *Broker) stateValue() []byte {
	known, _ := b.node.Known()
	return known.Value.Payload
}

// linkTraffic returns the bytes that each machine's link carries in a time span, sent and received.
func (w *simFleet) linkTraffic(span time.Duration) []int {
	return w.linkTrafficDuring(func() { time.Sleep(span) })
}

// linkTrafficDuring returns the bytes that each machine's link carries while do runs, sent and received.
func (w *simFleet) linkTrafficDuring(do func()) []int {
	before := make([]int, len(w.machines))
	for number, m := range w.machines {
		sent, received := w.net.Traffic(m.ip)
		before[number] = sent + received
	}
	do()
	out := make([]int, len(w.machines))
	for number, m := range w.machines {
		sent, received := w.net.Traffic(m.ip)
		out[number] = sent + received - before[number]
	}
	return out
}
