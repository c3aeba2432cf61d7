// Package rendezvous orders members for a key by highest random weight: alike wherever it is computed, spread evenly
// over the members, and changed little when one comes or goes.
package rendezvous

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Score is the weight of a member for a key.
func Score(key, member string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(member))
	return mix(h.Sum64())
}

// Order returns the members, the one with the highest weight first.
func Order(key string, members []string) []string {
	scores := make(map[string]uint64, len(members))
	for _, m := range members {
		scores[m] = Score(key, m)
	}
	order := slices.Clone(members)
	slices.SortFunc(order, func(a, b string) int { return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b)) })
	return order
}

// mix spreads a hash over all bits (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
