package router

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// cutInTwo cuts links between two groups of machines, or heals them.
func (w *world) cutInTwo(one, other []*machine, cut bool) {
	for _, a := range one {
		for _, b := range other {
			w.net.Cut(a.ip, b.ip, cut)
		}
	}
}

// TestGreaterHalfOfTheCore cuts cores of seven and nine machines in two, each time elsewhere. While that lasts, the greater half
// takes changes, hands out the newest configuration and acknowledges a drain, each within its bound; the lesser half says that it
// cannot tell. Whoever has no disk reaches both.
func TestGreaterHalfOfTheCore(t *testing.T) {
	for _, core := range []int{7, 9} {
		t.Run(fmt.Sprint(core), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				w, operator := startedWorld(t, 41, core+1, core)
				if voters := len(w.machines[0].voters()); voters != core {
					w.fault("%d of %d machines with a disk vote", voters, core)
				}
				version := int64(1)
				for turn := range 3 {
					var lesser, greater []*machine
					for i, m := range w.machines[:core] {
						if (i+turn*core/3)%core < core/2 {
							lesser = append(lesser, m)
						} else {
							greater = append(greater, m)
						}
					}
					w.cutInTwo(lesser, greater, true)
					version = w.serveInHalf(greater, lesser, version)
					w.cutInTwo(lesser, greater, false)
					time.Sleep(4 * time.Second)
					w.mustOrder(operator, version, version+1)
					version++
				}
				for _, m := range w.machines {
					if status, text, _ := w.call(m, http.MethodGet, "/v1/config/read", "", ""); status != http.StatusOK || text != configurationOf(version, "") {
						w.fault("%s: after the cuts a read got %d: %.40s", m.name, status, text)
					}
				}
				w.end()
			})
		})
	}
}

// serveInHalf plays a cut core for ten seconds and returns the version that is in force.
func (w *world) serveInHalf(greater, lesser []*machine, version int64) int64 {
	leaving := w.startServer("llm", zones[0])
	time.Sleep(2 * time.Second)
	begun := time.Now()
	for n := 0; time.Since(begun) < 8*time.Second; n++ {
		here, there := greater[n%len(greater)], lesser[n%len(lesser)]
		if status, took := w.order(here, version, version+1, configurationOf(version+1, "")); status != http.StatusOK || took > controlAnswer {
			w.fault("%s, in the greater half: an order got %d after %v", here.name, status, took)
			return version
		}
		version++
		if status, text, took := w.call(greater[(n+1)%len(greater)], http.MethodGet, "/v1/config/read", "", ""); status != http.StatusOK ||
			text != configurationOf(version, "") || took > controlAnswer {
			w.fault("in the greater half a read got %d after %v: %.40s", status, took, text)
		}
		if status, _, took := w.call(there, http.MethodGet, "/v1/config/read", "", ""); status != http.StatusServiceUnavailable || took > controlAnswer {
			w.fault("%s, in the lesser half: a read got %d after %v", there.name, status, took)
		}
		if status, took := w.order(there, version, version+1, configurationOf(version+1, "")); status != http.StatusServiceUnavailable || took > controlAnswer {
			w.fault("%s, in the lesser half: an order got %d after %v", there.name, status, took)
		}
		time.Sleep(500 * time.Millisecond)
	}
	w.drainsWithin(greater, leaving, 4*time.Second)
	return version
}

// drainsWithin has an instance tell machines by turns that it drains, until one acknowledges that.
func (w *world) drainsWithin(machines []*machine, s *modelServer, bound time.Duration) {
	s.stop() // from here on the test speaks for it
	begun := time.Now()
	for n := 0; ; n++ {
		if w.heartbeat(machines[n%len(machines)], s, "draining") == http.StatusOK {
			return
		}
		if time.Since(begun) > bound {
			w.fault("the drain of %s is not acknowledged after %v", s.id, time.Since(begun))
			return
		}
	}
}

// TestVotersFollowTheDisks starts two machines with a disk beside three: they are given seats once they have settled, both at
// once. Both end for good: their seats are taken away once nobody expects them back.
func TestVotersFollowTheDisks(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const catchUp = 4 * time.Second
		w, operator := startedWorld(t, 43, 4, 3)
		added := []*machine{w.add(true), w.add(true)}
		voters := func() int { return len(w.machines[0].voters()) }
		expect := func(want int, within time.Duration, why string) {
			begun := time.Now()
			for voters() != want && time.Since(begun) < within {
				if n := voters(); n != want && n%2 == 0 {
					w.fault("%s: %d voters meanwhile", why, n)
				}
				time.Sleep(50 * time.Millisecond)
			}
			if n := voters(); n != want {
				w.fault("%s: %d voters after %v, want %d", why, n, time.Since(begun), want)
			}
			t.Logf("%s: %d voters after %v", why, want, time.Since(begun))
		}
		time.Sleep(2 * catchUp)
		expect(3, 0, "newcomers")
		expect(5, 3*catchUp, "they have settled")
		w.mustOrder(operator, 1, 2)
		for _, m := range added {
			w.kill(m, true)
		}
		time.Sleep(10 * catchUp)
		expect(5, 0, "two are silent")
		w.mustOrder(operator, 2, 3)
		expect(3, 10*catchUp, "two have departed")
		w.mustOrder(operator, 3, 4)
		w.end()
	})
}
