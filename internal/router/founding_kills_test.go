package router

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"
)

// TestRegisterIsFoundedDespiteKills kills processes and cuts links while the register is founded, from fixed seeds. Then the
// fleet must take its first configuration, and all brokers must know the same register.
func TestRegisterIsFoundedDespiteKills(t *testing.T) {
	seeds := 60
	if testing.Short() {
		seeds = 10
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inBubble(t, func(t *testing.T) { foundDespiteKills(t, uint64(seed)) })
		})
	}
}

func foundDespiteKills(t *testing.T, seed uint64) {
	w := newSimFleet(t, seed, 6, 4)
	rng := rand.New(rand.NewPCG(seed, 81))
	wait := func(most time.Duration) { time.Sleep(time.Duration(rng.Int64N(int64(most)))) }
	for range 1 + rng.IntN(8) {
		wait(400 * time.Millisecond)
		switch rng.IntN(4) {
		case 0:
			w.killForAWhile(w.machines, rng)
		case 1:
			w.cutInTwo(rng.IntN(1<<len(w.machines)), true)
		case 2:
			w.cutInTwo(0, false)
		default:
			w.killForAWhile([]*machine{w.machines[rng.IntN(len(w.machines))]}, rng)
		}
	}
	w.cutInTwo(0, false)
	operator := w.client("10.8.0.1")
	if status := w.replace(operator, 0, 1, configurationOf(1, "")); status != http.StatusOK {
		w.failf("the first configuration got %d", status)
	}
	time.Sleep(4 * time.Second)
	first, _ := w.machines[0].broker.node.Known()
	for _, m := range w.machines {
		known, _ := m.broker.node.Known()
		if known.Value.Sequence != first.Value.Sequence || !known.Value.Members.Equal(first.Value.Members) {
			w.failf("%s knows %d %v, %s knows %d %v", m.name, known.Value.Sequence, known.Value.Members, w.machines[0].name, first.Value.Sequence, first.Value.Members)
		}
	}
	w.shutdown()
}

// killForAWhile kills processes at once and starts each again after up to half a second.
func (w *simFleet) killForAWhile(machines []*machine, rng *rand.Rand) {
	for _, m := range machines {
		w.kill(m, false)
	}
	for _, m := range machines {
		time.Sleep(time.Duration(rng.Int64N(int64(500 * time.Millisecond))))
		w.restart(m, false)
	}
}

// cutInTwo cuts the links between the machines whose bits are set in a mask and the others, or heals all links.
func (w *simFleet) cutInTwo(mask int, cut bool) {
	for a, m := range w.machines {
		for b, other := range w.machines[:a] {
			w.net.Cut(m.ip, other.ip, cut && mask>>a&1 != mask>>b&1)
		}
	}
}
