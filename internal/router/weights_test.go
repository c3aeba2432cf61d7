package router

import (
	"net/http"
	"slices"
	"testing"
	"time"
)

// TestOldWeights runs scenarios in which a request could start on old weights later than the bound of a newer version allows.
// Instances that ignore orders keep old weights. The emulated instances check, from the acknowledgement of each version,
// that no request starts on older weights after the bound.
func TestOldWeights(t *testing.T) {
	for name, scenario := range map[string]func(*simFleet, *http.Client){
		"versions in a row":          versionsInARow,
		"an instance returns":        oldInstanceReturns,
		"brokers restart":            brokersRestart,
		"brokers learn late":         brokersLearnLate,
		"a retry after the bound":    retryAfterTheBound,
		"queued until the bound":     queuedUntilTheBound,
		"restart after the roll-out": restartLongAfter,
		"all brokers restart":        allBrokersRestart,
		"versions, isolated holder":  holderIsolated,
		"instances of every version": mixedVersions,
		"an address is reused":       addressReused,
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				w, operator := startedFleet(t, 71, 5, 3)
				scenario(w, operator)
				w.shutdown()
			})
		})
	}
}

// models returns the instances with a model, ordered by id.
func (w *simFleet) models() []*modelServer {
	var out []*modelServer
	for _, id := range sortedIDs(w.servers) {
		if s := w.servers[id]; s.service == "llm" {
			out = append(out, s)
		}
	}
	return out
}

// set changes the state of an instance under its lock.
func (s *modelServer) set(change func(s *modelServer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// ignoreOrdersAtOne makes one instance ignore orders.
func (w *simFleet) ignoreOrdersAtOne() *modelServer {
	s := w.models()[0]
	s.set(func(s *modelServer) { s.ignoresOrders = true })
	return s
}

// expectServed checks that most requests were served.
func (w *simFleet) expectServed(tr *traffic) {
	if counts := tr.end(); counts[http.StatusOK]*10 < 9*total(counts) {
		w.failf("answers by status: %v", counts)
	}
}

// versionsInARow names a version each 2.4 s. A crashed instance is still known and is sent orders in vain; the others must
// reach the newest version.
func versionsInARow(w *simFleet, operator *http.Client) {
	all := w.models()
	all[0].stop()
	tr := w.traffic(6)
	for version := 2; version <= 6; version++ {
		w.nameWeights(operator, w.machines[version%5], version)
		time.Sleep(2400 * time.Millisecond)
	}
	w.expectServed(tr)
	for _, s := range all[1:] {
		if s.version != 6 {
			w.failf("%s runs version %d", s.id, s.version)
		}
	}
}

// startOld starts an instance with version 1 of the weights that ignores orders.
func (w *simFleet) startOld() *modelServer {
	return w.startServerWith("llm", zones[0], func(s *modelServer) { s.ignoresOrders = true })
}

func oldInstanceReturns(w *simFleet, operator *http.Client) {
	tr := w.traffic(6)
	for version := 2; version <= 5; version++ {
		w.nameWeights(operator, w.machines[version%5], version)
		if version < 5 {
			time.Sleep(3 * time.Second)
		}
	}
	w.returnOldInstances()
	tr.end()
}

// brokersRestart restarts two brokers before the bound; instances with old weights return after it.
func brokersRestart(w *simFleet, operator *http.Client) {
	tr := w.traffic(6)
	w.nameWeights(operator, w.machines[0], 2)
	time.Sleep(4500 * time.Millisecond)
	for _, m := range w.machines[3:] {
		w.kill(m, false)
		w.restart(m, false)
	}
	time.Sleep(time.Second)
	w.returnOldInstances()
	tr.end()
}

// addressReused has an instance crash and another start at its address. The new one sends heartbeats to other brokers than
// the one that orders loads. Each broker may send at most one order for the old instance, and two may hold the lease in turn.
func addressReused(w *simFleet, operator *http.Client) {
	old := w.models()[0]
	old.stop()
	w.net.Start(old.ip)
	next := w.startServerWith("llm", old.zone, func(s *modelServer) { s.ip = old.ip })
	time.Sleep(time.Second)
	w.nameWeights(operator, w.machines[0], 2)
	time.Sleep(5 * time.Second)
	next.mu.Lock()
	defer next.mu.Unlock()
	if next.version != 2 || next.misdirected > 2 {
		w.failf("%s runs version %d and got %d orders for the one before", next.id, next.version, next.misdirected)
	}
}

// rejectAll makes all instances with a model reject all requests.
func (w *simFleet) rejectAll() {
	for _, s := range w.models() {
		s.set(func(s *modelServer) { s.rejectsAll = true })
	}
}

// holder returns the broker that holds the lease of the roll-out, according to the register.
func (w *simFleet) holder() *machine {
	b := w.machines[0].broker
	b.mu.Lock()
	defer b.mu.Unlock()
	name := b.state.Leases[roleWeights+modelName].Holder
	return w.machines[slices.IndexFunc(w.machines, func(m *machine) bool { return m.name == name })]
}

// returnOldInstances starts instances with old weights while all others reject requests and the holder of the roll-out's lease
// has just lost power. Until another broker has the lease, the data path knows these instances but nobody orders them to load.
func (w *simFleet) returnOldInstances() {
	w.startOld() // it ignores orders, so the lease keeps being renewed
	time.Sleep(time.Second)
	w.rejectAll()
	tr := w.trafficAt(6, w.lastTwo)
	holder := w.holder()
	w.kill(holder, true)
	for range 3 {
		w.startOld()
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(time.Second)
	tr.end()
	w.restart(holder, false)
}

// lastTwo returns one of the two machines without a disk, in turn.
func (w *simFleet) lastTwo(n int) *machine { return w.machines[3+n%2] }

// restartLongAfter restarts brokers long after the roll-out, when nothing has been written to the register for a while.
func restartLongAfter(w *simFleet, operator *http.Client) {
	tr := w.traffic(6)
	w.nameWeights(operator, w.machines[0], 2)
	time.Sleep(20 * time.Second)
	for _, m := range w.machines[3:] {
		w.kill(m, false)
		w.restart(m, false)
	}
	w.returnOldInstances()
	tr.end()
}

// allBrokersRestart stops all brokers at once after the bound has passed, and restarts them.
func allBrokersRestart(w *simFleet, operator *http.Client) {
	w.nameWeights(operator, w.machines[0], 2)
	time.Sleep(7 * time.Second)
	for _, m := range w.machines {
		w.kill(m, true)
	}
	time.Sleep(time.Second)
	for _, m := range w.machines {
		w.restart(m, false)
	}
	time.Sleep(2 * time.Second)
	w.returnOldInstances()
}

// brokersLearnLate isolates two brokers while a version is named.
func brokersLearnLate(w *simFleet, operator *http.Client) {
	tr := w.traffic(6)
	for _, late := range w.machines[3:] {
		w.isolate(late, true)
	}
	time.Sleep(time.Second)
	w.nameWeights(operator, w.machines[0], 2)
	time.Sleep(4500 * time.Millisecond)
	for _, late := range w.machines[3:] {
		w.isolate(late, false)
	}
	time.Sleep(time.Second)
	w.returnOldInstances()
	tr.end()
}

// loseQuorum kills two of the three machines with a disk. Without a majority no broker may order loads.
func (w *simFleet) loseQuorum() {
	for _, m := range w.machines[:2] {
		w.kill(m, true)
	}
	time.Sleep(1500 * time.Millisecond)
}

// retryAfterTheBound has requests arrive before the bound and lose their instance after it, when only an instance with old
// weights is left.
func retryAfterTheBound(w *simFleet, operator *http.Client) {
	all := w.models()
	for _, s := range all[1:] {
		s.stop()
	}
	w.nameWeights(operator, w.machines[0], 2)
	time.Sleep(2500 * time.Millisecond)
	w.loseQuorum()
	w.startOld()
	all[0].set(func(s *modelServer) { s.eventInterval, s.cutAfter = 800*time.Millisecond, 2 })
	time.Sleep(300 * time.Millisecond)
	tr := w.trafficAt(12, w.lastTwo)
	time.Sleep(700 * time.Millisecond)
	tr.end()
}

// queuedUntilTheBound queues requests at an instance with old weights until after the bound.
func queuedUntilTheBound(w *simFleet, operator *http.Client) {
	w.nameWeights(operator, w.machines[0], 2)
	time.Sleep(2500 * time.Millisecond)
	w.loseQuorum()
	w.rejectAll()
	w.startOld().set(func(s *modelServer) { s.queueTime = 2 * time.Second })
	time.Sleep(300 * time.Millisecond)
	tr := w.traffic(6)
	time.Sleep(700 * time.Millisecond)
	tr.end()
}

// holderIsolated isolates the broker that orders the loads between two versions.
func holderIsolated(w *simFleet, operator *http.Client) {
	w.ignoreOrdersAtOne()
	tr := w.traffic(6)
	w.nameWeights(operator, w.machines[1], 2)
	holder := w.awaitHolder()
	w.isolate(holder, true)
	live := slices.DeleteFunc(slices.Clone(w.machines), func(m *machine) bool { return m == holder })
	time.Sleep(3 * time.Second)
	w.nameWeights(operator, live[0], 3)
	time.Sleep(2 * time.Second)
	w.kill(live[3], false)
	w.restart(live[3], false)
	time.Sleep(2 * time.Second)
	w.isolate(holder, false)
	time.Sleep(6 * time.Second)
	tr.end()
}

// mixedVersions makes instances ignore orders one after the other, so that each keeps a different version, and names
// versions faster than their bounds expire.
func mixedVersions(w *simFleet, operator *http.Client) {
	tr := w.traffic(6)
	for at, s := range w.models()[:3] {
		s.set(func(s *modelServer) { s.ignoresOrders = true })
		w.nameWeights(operator, w.machines[at], 2+at)
		time.Sleep(2500 * time.Millisecond)
	}
	for version := 5; version <= 6; version++ {
		w.nameWeights(operator, w.machines[0], version)
		time.Sleep(2500 * time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	tr.end()
	if last := w.models()[3]; last.version != 6 {
		w.failf("%s runs version %d", last.id, last.version)
	}
}
