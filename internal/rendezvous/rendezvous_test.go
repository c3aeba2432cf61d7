package rendezvous

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
)

func TestOrder(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e"}
	first, moved := map[string]int{}, 0
	for i := range 5000 {
		key := fmt.Sprint("key", i)
		order := Order(key, members)
		if !slices.Equal(order, Order(key, []string{"e", "d", "c", "b", "a"})) {
			t.Fatal("the order depends on the order of the argument")
		}
		first[order[0]]++
		without := Order(key, members[:4])
		if order[0] != "e" && without[0] != order[0] {
			moved++
		}
	}
	for m, n := range first {
		if n < 900 || n > 1100 {
			t.Errorf("%s comes first for %d of 5000 keys", m, n)
		}
	}
	if moved > 0 {
		t.Errorf("%d keys moved between members that stayed", moved)
	}
}

// TestFirst uses random keys and members: First returns the start of the complete order, whatever order the members are
// passed in.
func TestFirst(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 1))
	for range 500 {
		var members []string
		for n := range random.IntN(40) {
			members = append(members, fmt.Sprint("front-", n))
		}
		key := fmt.Sprint("key", random.Uint64())
		ordered := slices.Clone(members)
		slices.SortFunc(ordered, func(a, b string) int { return cmp.Compare(Score(key, b), Score(key, a)) })
		random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		for _, limit := range []int{0, 1, 2, 7, len(members), len(members) + 3} {
			if got, want := First(key, members, limit), ordered[:min(limit, len(ordered))]; !slices.Equal(got, want) {
				t.Fatalf("the first %d of %d: %v, want %v", limit, len(members), got, want)
			}
		}
	}
}

// TestScoreIsStable checks that the weights equal those of earlier releases, so that brokers of different releases agree on
// the order.
func TestScoreIsStable(t *testing.T) {
	h := fnv.New64a()
	h.Write([]byte("index/i-7\x00front-3"))
	if got, want := Score("index/i-7", "front-3"), mix(h.Sum64()); got != want {
		t.Errorf("the weight is %x, want %x", got, want)
	}
}
