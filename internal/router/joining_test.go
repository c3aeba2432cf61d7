package router

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"
)

// These tests start fleets whose processes are ended before their disks are marked, and fleets that lose disks, which
// look the same to the process that starts next.

// TestFoundedAlthoughDisksWereNotMarked guards against a fleet that never takes its first configuration because machines
// lost power or were killed before their disks were marked, beside one lost disk at a time, kills and cuts.
func TestFoundedAlthoughDisksWereNotMarked(t *testing.T) {
	seeds := 60
	if testing.Short() {
		seeds = 10
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inBubble(t, func(t *testing.T) { foundWithoutMarks(t, uint64(seed)) })
		})
	}
}

func foundWithoutMarks(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 84))
	wait := func(most time.Duration) { time.Sleep(time.Duration(rng.Int64N(int64(most)))) }
	core := 3 + rng.IntN(2)
	w := newSimFleetOnDisks(t, seed, core+3, core, func(d *memoryDisk) { d.fail = rng.IntN(4) > 0 })
	wait(time.Second)
	ended := w.machines
	if rng.IntN(2) == 0 {
		ended = w.machines[:1+rng.IntN(core)]
	}
	for _, m := range ended {
		w.kill(m, false)
	}
	for _, m := range w.machines {
		m.disk.mu.Lock()
		m.disk.fail = false
		m.disk.mu.Unlock()
	}
	for _, m := range ended {
		wait(300 * time.Millisecond)
		w.restart(m, false)
	}
	for range rng.IntN(5) {
		wait(700 * time.Millisecond)
		switch rng.IntN(4) {
		case 0:
			w.killForAWhile(w.machines, rng)
		case 1:
			w.cutInTwo(rng.IntN(1<<len(w.machines)), true)
			wait(2 * time.Second)
			w.cutInTwo(0, false)
		case 2: // the next disk is lost only when this one has caught up
			lost := w.machines[rng.IntN(core)]
			w.kill(lost, false)
			wait(time.Second)
			w.restart(lost, true)
			time.Sleep(5 * time.Second)
		default:
			w.killForAWhile([]*machine{w.machines[rng.IntN(len(w.machines))]}, rng)
		}
	}
	w.cutInTwo(0, false)
	operator := w.client("10.8.0.1")
	if status := w.replace(operator, 0, 1, configurationOf(1, "")); status != http.StatusOK {
		w.failf("the first configuration got %d", status)
	}
	time.Sleep(5 * time.Second)
	w.requireOneRegister()
	w.shutdown()
}

// requireOneRegister records a violation unless all brokers know the same value.
func (w *simFleet) requireOneRegister() {
	first, _ := w.machines[0].broker.node.Known()
	for _, m := range w.machines {
		known, _ := m.broker.node.Known()
		if known.Value.Sequence != first.Value.Sequence || !known.Value.Members.Equal(first.Value.Members) {
			w.failf("%s knows %d %v, %s knows %d %v", m.name, known.Value.Sequence, known.Value.Members, w.machines[0].name, first.Value.Sequence, first.Value.Members)
		}
	}
}

// TestLostDisksFoundNoSecondRegister guards against machines that lost their disks and found another register before the
// machines that hold the register have returned. Two are lost here, one more than the fleet tolerates: then nothing is
// acknowledged any more, rather than forgotten.
func TestLostDisksFoundNoSecondRegister(t *testing.T) {
	for number, pair := range [][2]int{{0, 1}, {0, 2}, {1, 2}} {
		for _, cut := range []bool{true, false} {
			t.Run(fmt.Sprintf("%v, the others cut off %t", pair, cut), func(t *testing.T) {
				inBubble(t, func(t *testing.T) { loseTwoDisks(t, uint64(number), pair, cut) })
			})
		}
	}
}

// loseTwoDisks kills all machines, two of which lose their disks. The others with a disk return three seconds later, or
// are cut off for as long.
func loseTwoDisks(t *testing.T, seed uint64, pair [2]int, cut bool) {
	const core = 4
	w, _ := startedFleet(t, 840+seed, 6, core)
	time.Sleep(5 * time.Second)
	before, _ := w.machines[0].broker.node.Known()
	var late []*machine
	mask := 0
	for number, m := range w.machines {
		w.kill(m, true)
		if number < core && number != pair[0] && number != pair[1] {
			late = append(late, m)
			mask |= 1 << number
		}
	}
	w.cutInTwo(mask, cut)
	for _, m := range w.machines {
		if cut || !slices.Contains(late, m) {
			w.restart(m, m == w.machines[pair[0]] || m == w.machines[pair[1]])
		}
	}
	time.Sleep(3 * time.Second)
	w.cutInTwo(0, false)
	for _, m := range late {
		if !cut {
			w.restart(m, false)
		}
	}
	time.Sleep(20 * time.Second)
	for _, m := range w.machines {
		if known, _ := m.broker.node.Known(); len(known.Value.Members.Sets) > 0 && known.Value.Sequence < before.Value.Sequence {
			w.failf("%s knows sequence %d of %v after %d of %v", m.name, known.Value.Sequence, known.Value.Members, before.Value.Sequence, before.Value.Members)
		}
	}
	w.shutdown()
}
