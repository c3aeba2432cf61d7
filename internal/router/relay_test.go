package router

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"gullstair/internal/instances"
	"gullstair/internal/peerlink"
)

// knowsEnding reports whether a broker knows that an instance drains or has gone.
func (m *machine) knowsEnding(id string) bool {
	m.broker.mu.Lock()
	defer m.broker.mu.Unlock()
	i, known := m.broker.registry.Get(id)
	return known && i.State != instances.Ready
}

// countEndingKnown counts the running brokers, and those of them that know that an instance drains or has gone.
func (w *simFleet) countEndingKnown(id string) (know, run int) {
	for _, m := range w.machines {
		if *m.ended {
			continue
		}
		run++
		if m.knowsEnding(id) {
			know++
		}
	}
	return know, run
}

// callsOfKind returns how many calls of a kind a broker has made, including replies.
func (m *machine) callsOfKind(kind peerlink.Kind) int64 {
	for _, count := range m.broker.node.Traffic() {
		if count.Kind == kind.String() {
			return count.Sent
		}
	}
	return 0
}

// stopHeartbeats stops an instance. From here on the test sends its heartbeats.
func (w *simFleet) stopHeartbeats(s *modelServer) *modelServer {
	s.stop()
	time.Sleep(time.Second)
	return s
}

// TestDrainIsPassedOn has an instance report draining to one broker. All brokers must know it once it is acknowledged, and
// none may have called more than the voters and its neighbors in the dissemination tree.
func TestDrainIsPassedOn(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const brokers, core, neighbors = 40, 5, 5
		w := newSimFleet(t, 51, brokers, core)
		w.mustReplace(w.client("10.8.0.1"), configurationOf(1, ""))
		draining := w.startServer("llm", zones[0])
		time.Sleep(6 * time.Second)
		w.stopHeartbeats(draining)
		receiver, before := w.machines[brokers-1], make([]int64, brokers)
		for number, m := range w.machines {
			before[number] = m.callsOfKind(peerlink.Spreading)
		}
		begun := time.Now()
		if status := w.heartbeat(receiver, draining, "draining"); status != http.StatusOK {
			w.failf("the drain got %d", status)
		}
		if took := time.Since(begun); took > 100*time.Millisecond {
			w.failf("acknowledged after %v", took)
		}
		if know, run := w.countEndingKnown(draining.id); know != run {
			w.failf("acknowledged when %d of %d brokers know", know, run)
		}
		for number, m := range w.machines {
			if calls := m.callsOfKind(peerlink.Spreading) - before[number]; calls > core+neighbors+4 { // the margin is for concurrent exchanges
				w.failf("%s has made %d calls", m.name, calls)
			}
		}
		w.shutdown()
	})
}

// TestDrainPastBrokersThatDoNotAnswer stops a third of the brokers, some by power loss and some by a kill, among them inner
// nodes of the dissemination tree. The remaining brokers must learn of a drain soon, and it must be acknowledged.
func TestDrainPastBrokersThatDoNotAnswer(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const brokers, core = 40, 5
		w := newSimFleet(t, 52, brokers, core)
		w.mustReplace(w.client("10.8.0.1"), configurationOf(1, ""))
		draining := w.startServer("llm", zones[0])
		time.Sleep(6 * time.Second)
		w.stopHeartbeats(draining)
		for number := core; number < brokers-1; number += 3 {
			w.kill(w.machines[number], number%2 == 0)
		}
		begun := time.Now()
		for w.heartbeat(w.machines[brokers-1], draining, "draining") != http.StatusOK {
			if time.Since(begun) > 4*time.Second {
				w.failf("not acknowledged after %v", time.Since(begun))
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		acknowledged := time.Since(begun)
		time.Sleep(time.Second)
		if know, run := w.countEndingKnown(draining.id); know != run {
			w.failf("%v after the acknowledgement %d of %d brokers know", time.Second, know, run)
		}
		t.Logf("acknowledged after %v", acknowledged)
		w.shutdown()
	})
}

// TestDrainConfirmedByOlderVoters replaces voters one by one while a broker is isolated, then reconnects the broker with two
// former voters only, which are a majority of the outdated set that it knows. A drain that only these confirm must not be
// acknowledged, since no other broker knows it.
func TestDrainConfirmedByOlderVoters(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w, _ := startedFleet(t, 53, 5, 3)
		first, second, isolated := w.machines[1], w.machines[2], w.machines[4]
		draining := w.stopHeartbeats(w.models()[0])
		island := []*machine{first, second, isolated}
		others := func() []*machine {
			return slices.DeleteFunc(slices.Clone(w.machines), func(m *machine) bool { return slices.Contains(island, m) })
		}
		w.partition([]*machine{first, isolated}, append(others(), second), true)
		w.add(true)
		w.partition([]*machine{first, isolated}, w.machines[5:], true)
		w.awaitRemovedVoter(w.machines[0], first, 10*time.Second)
		w.partition([]*machine{second}, others(), true)
		w.add(true)
		w.partition(island, w.machines[6:], true)
		w.awaitRemovedVoter(w.machines[0], second, 20*time.Second)
		if voters := isolated.voters(); !slices.Contains(voters, first.ip) || !slices.Contains(voters, second.ip) {
			t.Fatalf("the isolated broker knows the voters %v, so the precondition of this test does not hold", voters)
		}
		w.partition([]*machine{first, isolated}, []*machine{second}, false)
		if status := w.heartbeat(isolated, draining, "draining"); status == http.StatusOK {
			know, run := w.countEndingKnown(draining.id)
			w.failf("acknowledged with the confirmation of former voters only; %d of %d brokers know", know, run)
		}
		w.shutdown()
	})
}

// awaitRemovedVoter waits until a machine is no longer among the voters that another one knows.
func (w *simFleet) awaitRemovedVoter(at, gone *machine, patience time.Duration) {
	for begun := time.Now(); slices.Contains(at.voters(), gone.ip); time.Sleep(50 * time.Millisecond) {
		if time.Since(begun) > patience {
			w.t.Fatalf("%s is still a voter: %v", gone.name, at.voters())
		}
	}
}
