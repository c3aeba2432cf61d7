package ownership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gullstair/internal/controlstate"
)

// TestTurns simulates brokers that observe the register late, freeze and get partitioned from it, and act whenever they may. Each
// token must have one holder. Where instances do not check fencing tokens, the actions of two holders must be at least minGap apart.
func TestTurns(t *testing.T) {
	for _, fencing := range []bool{false, true} {
		for seed := range uint64(300) {
			simulateTurns(t, seed, fencing)
		}
	}
}

type broker struct {
	name        string
	lease       *Lease
	partitioned bool // from the register
	frozen      bool
	seen        controlstate.Lease // last read from the register
}

// simulateTurns runs 3000 random steps of four brokers.
func simulateTurns(t *testing.T, seed uint64, fencing bool) {
	const bound = 3 * time.Second
	rng := rand.New(rand.NewPCG(seed, 9))
	state := controlstate.State{}
	now := time.Unix(1000, 0)
	var brokers []*broker
	var live []string
	for i := range 4 {
		name := fmt.Sprint("b", i)
		brokers = append(brokers, &broker{name: name, lease: New("role", name, fencing, bound)})
		live = append(live, name)
	}
	lastHolder, lastToken, lastAt := "", uint64(0), time.Time{}
	holders := map[uint64]string{}
	acted := 0
	for range 3000 {
		now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
		b := brokers[rng.IntN(len(brokers))]
		switch rng.IntN(200) {
		case 0:
			b.partitioned = !b.partitioned
		case 1:
			b.frozen = !b.frozen
		}
		if b.frozen {
			continue
		}
		if !b.partitioned && rng.IntN(3) == 0 {
			b.seen = state.Leases["role"]
		}
		b.lease.Observe(now, b.seen)
		if b.lease.Due(now, time.Unix(1000, 0), live) && !b.partitioned {
			begun := now
			next, err := state.Acquire("role", b.name, b.seen, !b.lease.HasHeld())
			now = now.Add(time.Duration(rng.IntN(100)) * time.Millisecond)
			if err == nil {
				state = next
				b.seen = next.Leases["role"]
				b.lease.Acquired(begun, b.seen)
			}
		}
		if !b.lease.Held(now) {
			continue
		}
		acted++
		token := b.lease.Token()
		if other, used := holders[token]; used && other != b.name {
			t.Fatalf("seed %d: %s and %s share token %d", seed, other, b.name, token)
		}
		holders[token] = b.name
		if !fencing && lastHolder != "" && lastHolder != b.name && now.Sub(lastAt) < bound {
			t.Fatalf("seed %d: %s acts %v after %s", seed, b.name, now.Sub(lastAt), lastHolder)
		}
		if !fencing && token < lastToken {
			t.Fatalf("seed %d: token %d after %d", seed, token, lastToken)
		}
		lastHolder, lastToken, lastAt = b.name, token, now
	}
	if acted == 0 {
		t.Fatalf("seed %d: no broker ever acted", seed)
	}
}

func TestOwner(t *testing.T) {
	live := []string{"a", "b", "c", "d"}
	if Owner("role", nil) != "" {
		t.Error("a role has an owner although no broker is live")
	}
	counts := map[string]int{}
	for i := range 4000 {
		counts[Owner(fmt.Sprint("role", i), live)]++
	}
	for name, n := range counts {
		if n < 800 || n > 1200 {
			t.Errorf("%s owns %d of 4000 roles", name, n)
		}
	}
}
