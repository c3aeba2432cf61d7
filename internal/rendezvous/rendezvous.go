// Package rendezvous implements rendezvous (highest random weight) hashing: it orders members for a key. The order is the
// same wherever it is computed, keys spread evenly over the members, and few keys move when a member joins or leaves.
package rendezvous

import (
	"cmp"
	"slices"
)

// Parameters of the hash (FNV-1a, 64 bits).
const (
	hashOffset = 14695981039346656037
	hashPrime  = 1099511628211
)

// Score returns the weight of a member for a key.
func Score(key, member string) uint64 {
	h := hash(hashOffset, key)
	h = hash(h, "\x00")
	return mix(hash(h, member))
}

func hash(h uint64, text string) uint64 {
	for at := range len(text) {
		h = (h ^ uint64(text[at])) * hashPrime
	}
	return h
}

// scored is a member with its weight for a key.
type scored struct {
	member string
	score  uint64
}

// compareScores compares members by weight, the highest first, and by name for equal weights.
func compareScores(a, b scored) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member, b.member))
}

// Order returns the members sorted by descending weight.
func Order(key string, members []string) []string {
	return First(key, members, len(members))
}

// First returns at most limit members from the start of the order. For a small limit its time is linear in
// the number of members.
func First(key string, members []string, limit int) []string {
	first := make([]scored, 0, min(limit, len(members))+1)
	for _, m := range members {
		next := scored{m, Score(key, m)}
		if len(first) == limit && (limit == 0 || compareScores(next, first[limit-1]) > 0) {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, next, compareScores)
		first = slices.Insert(first, at, next)
		first = first[:min(limit, len(first))]
	}
	order := make([]string, len(first))
	for at, s := range first {
		order[at] = s.member
	}
	return order
}

// mix is the finalizer of MurmurHash3. It spreads the hash over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
