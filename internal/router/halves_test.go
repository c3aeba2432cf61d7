package router

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// partition cuts the links between two groups of machines, or restores them.
func (w *simFleet) partition(left, right []*machine, cut bool) {
	for _, a := range left {
		for _, b := range right {
			w.net.Cut(a.ip, b.ip, cut)
		}
	}
}

// TestGreaterHalfOfTheCore partitions cores of seven and nine machines into a majority and a minority, differently each time.
// During a partition the majority must accept changes, return the newest configuration and acknowledge a drain, each within
// its bound; the minority must answer 503. The broker without a disk reaches both sides.
func TestGreaterHalfOfTheCore(t *testing.T) {
	for _, core := range []int{7, 9} {
		t.Run(fmt.Sprint(core), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				w, operator := startedFleet(t, 41, core+1, core)
				if voters := len(w.machines[0].voters()); voters != core {
					w.failf("%d of %d machines with a disk vote", voters, core)
				}
				version := int64(1)
				for turn := range 3 {
					var minority, majority []*machine
					for i, m := range w.machines[:core] {
						if (i+turn*core/3)%core < core/2 {
							minority = append(minority, m)
						} else {
							majority = append(majority, m)
						}
					}
					w.partition(minority, majority, true)
					version = w.servePartitioned(majority, minority, version)
					w.partition(minority, majority, false)
					time.Sleep(4 * time.Second)
					w.mustConfigure(operator, version, version+1)
					version++
				}
				for _, m := range w.machines {
					if status, text, _ := w.call(m, http.MethodGet, "/v1/config/read", "", ""); status != http.StatusOK || text != configurationOf(version, "") {
						w.failf("%s: after the partitions a read got %d: %.40s", m.name, status, text)
					}
				}
				w.shutdown()
			})
		})
	}
}

// servePartitioned runs orders, reads and a drain against a partitioned core for ten seconds and returns the version that is
// in force afterwards.
func (w *simFleet) servePartitioned(majority, minority []*machine, version int64) int64 {
	leaving := w.startServer("llm", zones[0])
	time.Sleep(2 * time.Second)
	begun := time.Now()
	for n := 0; time.Since(begun) < 8*time.Second; n++ {
		inMajority, inMinority := majority[n%len(majority)], minority[n%len(minority)]
		if status, took := w.sendConfiguration(inMajority, version, version+1, configurationOf(version+1, "")); status != http.StatusOK || took > operatorTimeout {
			w.failf("%s, in the majority: an order got %d after %v", inMajority.name, status, took)
			return version
		}
		version++
		if status, text, took := w.call(majority[(n+1)%len(majority)], http.MethodGet, "/v1/config/read", "", ""); status != http.StatusOK ||
			text != configurationOf(version, "") || took > operatorTimeout {
			w.failf("in the majority a read got %d after %v: %.40s", status, took, text)
		}
		if status, _, took := w.call(inMinority, http.MethodGet, "/v1/config/read", "", ""); status != http.StatusServiceUnavailable || took > operatorTimeout {
			w.failf("%s, in the minority: a read got %d after %v", inMinority.name, status, took)
		}
		if status, took := w.sendConfiguration(inMinority, version, version+1, configurationOf(version+1, "")); status != http.StatusServiceUnavailable || took > operatorTimeout {
			w.failf("%s, in the minority: an order got %d after %v", inMinority.name, status, took)
		}
		time.Sleep(500 * time.Millisecond)
	}
	w.awaitDrain(majority, leaving, 4*time.Second)
	return version
}

// awaitDrain sends draining heartbeats of an instance to the machines in turn until one acknowledges the drain.
func (w *simFleet) awaitDrain(machines []*machine, s *modelServer, bound time.Duration) {
	s.stop() // from here on the test sends its heartbeats
	begun := time.Now()
	for n := 0; ; n++ {
		if w.heartbeat(machines[n%len(machines)], s, "draining") == http.StatusOK {
			return
		}
		if time.Since(begun) > bound {
			w.failf("the drain of %s is not acknowledged after %v", s.id, time.Since(begun))
			return
		}
	}
}

// TestVotersFollowTheDisks adds two machines with a disk to three. They must become voters, both at once, after the settling
// period. Then both stop for good and must lose their seats once they are considered departed.
func TestVotersFollowTheDisks(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const catchUp = 4 * time.Second
		w, operator := startedFleet(t, 43, 4, 3)
		added := []*machine{w.add(true), w.add(true)}
		voters := func() int { return len(w.machines[0].voters()) }
		expect := func(want int, within time.Duration, why string) {
			begun := time.Now()
			for voters() != want && time.Since(begun) < within {
				if n := voters(); n != want && n%2 == 0 {
					w.failf("%s: %d voters in between", why, n)
				}
				time.Sleep(50 * time.Millisecond)
			}
			if n := voters(); n != want {
				w.failf("%s: %d voters after %v, want %d", why, n, time.Since(begun), want)
			}
			t.Logf("%s: %d voters after %v", why, want, time.Since(begun))
		}
		time.Sleep(2 * catchUp)
		expect(3, 0, "two machines have joined")
		expect(5, 3*catchUp, "they have settled")
		w.mustConfigure(operator, 1, 2)
		for _, m := range added {
			w.kill(m, true)
		}
		time.Sleep(10 * catchUp)
		expect(5, 0, "two are unreachable")
		w.mustConfigure(operator, 2, 3)
		expect(3, 10*catchUp, "two have departed")
		w.mustConfigure(operator, 3, 4)
		w.shutdown()
	})
}
