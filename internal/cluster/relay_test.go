package cluster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// newTestTree returns a tree of this many brokers.
func newTestTree(size int) tree {
	var order []string
	for at := range size {
		order = append(order, fmt.Sprintf("10.0.%03d.%03d", at/250, at%250))
	}
	return tree{order}
}

// TestRelayTree relays a call from each broker in turn. Every other broker must receive it exactly once, within few
// hops and with few calls per broker.
func TestRelayTree(t *testing.T) {
	for _, size := range []int{1, 2, 5, 6, 24, 300} {
		all := newTestTree(size)
		for _, root := range all.order {
			hops, calls, maxHops := map[string]int{root: 0}, map[string]int{}, 0
			var relay func(from string, to []string)
			relay = func(from string, to []string) {
				for _, group := range all.split(from, to) {
					head := group[0]
					if _, visited := hops[head]; visited {
						t.Fatalf("%d brokers, from %s: %s is called twice", size, root, head)
					}
					hops[head] = hops[from] + 1
					calls[from]++
					if !slices.Contains(all.neighbors(from), head) {
						t.Fatalf("%d brokers: %s calls %s, which is no neighbor", size, from, head)
					}
					maxHops = max(maxHops, hops[head])
					relay(head, group[1:])
				}
			}
			relay(root, slices.DeleteFunc(slices.Clone(all.order), func(ip string) bool { return ip == root }))
			if len(hops) != size {
				t.Fatalf("%d brokers, from %s: %d are reached", size, root, len(hops))
			}
			for ip, n := range calls {
				if n > relayFanout+1 {
					t.Fatalf("%d brokers, from %s: %s makes %d calls", size, root, ip, n)
				}
			}
			if maxHops > 10 {
				t.Fatalf("%d brokers, from %s: %d hops", size, root, maxHops)
			}
		}
	}
}

// TestRelayBetweenDifferentViews splits calls by a tree that lacks some members. Each address of a call must be in
// exactly one group, whoever is missing.
func TestRelayBetweenDifferentViews(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 6))
	for range 3000 {
		all := newTestTree(1 + random.IntN(60))
		known := tree{slices.DeleteFunc(slices.Clone(all.order), func(string) bool { return random.IntN(5) == 0 })}
		to := slices.DeleteFunc(slices.Clone(all.order), func(string) bool { return random.IntN(3) == 0 })
		random.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
		self := all.order[random.IntN(len(all.order))]
		seen := map[string]int{}
		for _, group := range known.split(self, to) {
			for _, ip := range group {
				seen[ip]++
			}
		}
		for _, ip := range to {
			if want := map[bool]int{true: 0, false: 1}[ip == self]; seen[ip] != want {
				t.Fatalf("%s is in %d groups", ip, seen[ip])
			}
		}
		if len(seen) > len(to) {
			t.Fatalf("%d addresses in groups, %d in the call", len(seen), len(to))
		}
	}
}
