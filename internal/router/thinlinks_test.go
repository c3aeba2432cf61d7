package router

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gullstair/internal/controlstate"
)

const (
	slowLinkRate = 10e6 / 8  // bytes a second
	fastLinkRate = 100e6 / 8 // rate of the link of a machine with a disk
)

// TestControlOnThinLinks guards against slow configuration changes in a fleet with slow links. With links of 10 Mbit/s a
// change was acknowledged only after 4.3 s, and no broker returned the newest configuration for 4 s.
//
// A broker with such a link holds the lease of a roll-out. Each renewal is a new value of the register. If the proposer sends
// the whole value, including the configuration, to each of the 95 other brokers, however small the change, its link is busy
// for 1.7 s (22,228 bytes at 1,275 routes, times 95). That is longer than the 0.9 s of a round, so the next renewal gets no
// majority, another broker takes the lease, and so on: 15 holders in 41 s without a partition, none of them with a fast
// link. Orders and reads of operators queue behind these rounds, so that one change was accepted each 2.2 s where one was
// sent each 0.9 s.
func TestControlOnThinLinks(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const brokers, core, filler, changes = 24, 5, 120 << 10, 12
		w := newSimFleet(t, 91, brokers, core)
		for number, m := range w.machines {
			rate := slowLinkRate
			if number < core {
				rate = fastLinkRate
			}
			w.net.SetRate(m.ip, rate)
		}
		for i := range 4 {
			w.startServer("llm", zones[i%len(zones)])
		}
		w.startServer("plain", zones[0])
		operator := w.client("10.8.0.1")
		if status := w.replace(operator, 0, 1, manyRoutes(1, 1, filler)); status != http.StatusOK {
			w.failf("the first configuration got %d", status)
		}
		time.Sleep(6 * time.Second)
		w.ignoreOrdersAtOne() // so the roll-out does not complete and its lease keeps being renewed
		w.nameWeights(operator, w.machines[core], 2)
		time.Sleep(3 * time.Second)
		for version := int64(2); version < 2+changes; version++ {
			begun := time.Now()
			if status := w.replace(operator, version-1, version, manyRoutes(version, 1, filler)); status != http.StatusOK {
				w.failf("configuration %d got %d", version, status)
			}
			if took := time.Since(begun); took > 2*time.Second {
				w.failf("configuration %d was acknowledged after %v", version, took)
			}
			w.inForceWithin(version, 2500*time.Millisecond)
			time.Sleep(max(0, 900*time.Millisecond-time.Since(begun)))
		}
		time.Sleep(3 * time.Second)
		w.readEverywhere(manyRoutes(1+changes, 1, filler))
		before := w.machines[0].broker.leases()["weights/"+modelName].Renewal
		load := slices.Max(w.linkTraffic(5 * time.Second)[core:])
		for role, lease := range w.machines[0].broker.leases() {
			t.Logf("%s: held by %s, token %d after %d renewals; %d renewals cost a slow link at most %d bytes", role, lease.Holder, lease.Token,
				lease.Renewal, lease.Renewal-before, load)
			if slices.ContainsFunc(w.machines[:core], func(m *machine) bool { return m.name == lease.Holder }) {
				t.Error("the holder has a fast link, so the precondition of this test does not hold")
			}
			if lease.Renewal < before+3 || load > int(lease.Renewal-before)*filler/4 {
				w.failf("%d renewals cost a slow link %d bytes", lease.Renewal-before, load)
			}
			if lease.Token > 2 {
				w.failf("the lease %s has changed hands %d times", role, lease.Token-1)
			}
		}
		w.shutdown()
	})
}

// inForceWithin checks in the background that an acknowledged configuration is in force everywhere within a bound.
func (w *simFleet) inForceWithin(version int64, bound time.Duration) {
	time.AfterFunc(bound, func() {
		for _, m := range w.machines {
			if held := m.broker.gateway.Configuration(); held == nil || held.Version < version {
				w.failf("%s does not have configuration %d %v after its acknowledgement", m.name, version, bound)
			}
		}
	})
}

// readEverywhere reads the newest configuration from all brokers, first one after another and then concurrently.
func (w *simFleet) readEverywhere(want string) {
	read := func(m *machine, how string) {
		status, text, took := w.call(m, http.MethodGet, "/v1/config/read", "", "")
		if status != http.StatusOK || text != want || took > operatorTimeout {
			w.failf("a read at %s (%s) got %d after %v", m.name, how, status, took)
		}
	}
	for _, m := range w.machines {
		read(m, "sequential")
	}
	var wait sync.WaitGroup
	for _, m := range w.machines {
		wait.Go(func() { read(m, "concurrent") })
	}
	wait.Wait()
}

// leases returns the leases that a broker knows.
func (b *Broker) leases() map[string]controlstate.Lease {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Leases
}
