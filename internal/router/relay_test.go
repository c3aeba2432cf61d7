package router

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"gullstair/internal/instances"
	"gullstair/internal/peerlink"
)

// knowsEnding says whether a broker knows that an instance drains or has gone.
func (m *machine) knowsEnding(id string) bool {
	m.broker.mu.Lock()
	defer m.broker.mu.Unlock()
	i, known := m.broker.registry.Get(id)
	return known && i.State != instances.Ready
}

// allKnowEnding counts the brokers that know it, of those that run.
func (w *world) knowEnding(id string) (know, run int) {
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

// sentOf is how many calls of a kind a broker has made, replies counted.
func (m *machine) sentOf(kind peerlink.Kind) int64 {
	for _, count := range m.broker.node.Traffic() {
		if count.Kind == kind.String() {
			return count.Sent
		}
	}
	return 0
}

// speakFor ends an instance's own heartbeats: from here on the test speaks for it.
func (w *world) speakFor(s *modelServer) *modelServer {
	s.stop()
	time.Sleep(time.Second)
	return s
}

// TestDrainIsPassedOn has an instance tell a broker that it drains. All brokers know it once that is acknowledged, and none has told
// more than the voters and its neighbors in the tree.
func TestDrainIsPassedOn(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const brokers, core, neighbors = 40, 5, 5
		w := newWorld(t, 51, brokers, core)
		w.mustReplace(w.client("10.8.0.1"), configurationOf(1, ""))
		draining := w.startServer("llm", zones[0])
		time.Sleep(6 * time.Second)
		w.speakFor(draining)
		teller, before := w.machines[brokers-1], make([]int64, brokers)
		for number, m := range w.machines {
			before[number] = m.sentOf(peerlink.Spreading)
		}
		begun := time.Now()
		if status := w.heartbeat(teller, draining, "draining"); status != http.StatusOK {
			w.fault("the drain got %d", status)
		}
		if took := time.Since(begun); took > 100*time.Millisecond {
			w.fault("acknowledged after %v", took)
		}
		if know, run := w.knowEnding(draining.id); know != run {
			w.fault("acknowledged when %d of %d brokers know", know, run)
		}
		for number, m := range w.machines {
			if calls := m.sentOf(peerlink.Spreading) - before[number]; calls > core+neighbors+4 { // exchanges go on beside it
				w.fault("%s has made %d calls", m.name, calls)
			}
		}
		w.end()
	})
}

// TestDrainPastBrokersThatDoNotAnswer has a third of the brokers lose power, inner ones of the tree among them, and some be killed.
// The others know a drain soon all the same, and it is acknowledged.
func TestDrainPastBrokersThatDoNotAnswer(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const brokers, core = 40, 5
		w := newWorld(t, 52, brokers, core)
		w.mustReplace(w.client("10.8.0.1"), configurationOf(1, ""))
		draining := w.startServer("llm", zones[0])
		time.Sleep(6 * time.Second)
		w.speakFor(draining)
		for number := core; number < brokers-1; number += 3 {
			w.kill(w.machines[number], number%2 == 0)
		}
		begun := time.Now()
		for w.heartbeat(w.machines[brokers-1], draining, "draining") != http.StatusOK {
			if time.Since(begun) > 4*time.Second {
				w.fault("not acknowledged after %v", time.Since(begun))
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		acknowledged := time.Since(begun)
		time.Sleep(time.Second)
		if know, run := w.knowEnding(draining.id); know != run {
			w.fault("%v after the acknowledgement %d of %d brokers know", time.Second, know, run)
		}
		t.Logf("acknowledged after %v", acknowledged)
		w.end()
	})
}

// TestDrainConfirmedByOlderVoters moves the voters' seats away from a broker that is cut off, one after the other, and joins it with
// a majority of those that it knows and that vote no more. What these confirm is not acknowledged: nobody else knows it.
func TestDrainConfirmedByOlderVoters(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w, _ := startedWorld(t, 53, 5, 3)
		first, second, teller := w.machines[1], w.machines[2], w.machines[4]
		draining := w.speakFor(w.models()[0])
		island := []*machine{first, second, teller}
		others := func() []*machine {
			return slices.DeleteFunc(slices.Clone(w.machines), func(m *machine) bool { return slices.Contains(island, m) })
		}
		w.cutInTwo([]*machine{first, teller}, append(others(), second), true)
		w.add(true)
		w.cutInTwo([]*machine{first, teller}, w.machines[5:], true)
		w.awaitVoters(w.machines[0], first, 10*time.Second)
		w.cutInTwo([]*machine{second}, others(), true)
		w.add(true)
		w.cutInTwo(island, w.machines[6:], true)
		w.awaitVoters(w.machines[0], second, 20*time.Second)
		if voters := teller.voters(); !slices.Contains(voters, first.ip) || !slices.Contains(voters, second.ip) {
			t.Fatalf("the broker that is cut off knows the voters %v: this test shows nothing", voters)
		}
		w.cutInTwo([]*machine{first, teller}, []*machine{second}, false)
		if status := w.heartbeat(teller, draining, "draining"); status == http.StatusOK {
			know, run := w.knowEnding(draining.id)
			w.fault("acknowledged by voters of an older set; %d of %d brokers know", know, run)
		}
		w.end()
	})
}

// awaitVoters waits until a machine votes no more, as another one has it.
func (w *world) awaitVoters(at, gone *machine, patience time.Duration) {
	for begun := time.Now(); slices.Contains(at.voters(), gone.ip); time.Sleep(50 * time.Millisecond) {
		if time.Since(begun) > patience {
			w.t.Fatalf("%s votes still: %v", gone.name, at.voters())
		}
	}
}
