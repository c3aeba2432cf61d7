// Package peersampling implements peer sampling: each broker keeps a partial view, a bounded random sample of the fleet's
// addresses. Brokers exchange samples of their views, so the views stay random, the fleet stays connected, and the
// cost does not grow with the fleet.
//
// The package does no I/O, reads no clock and starts no goroutines.
package peersampling

import (
	"math/rand/v2"
	"slices"
)

const (
	// Capacity is the maximum number of addresses in a view.
	Capacity = 24
	// SampleSize is the number of addresses that one exchange carries.
	SampleSize = 6
)

// View is one broker's partial view of the fleet.
type View struct {
	self    string
	random  *rand.Rand
	entries []string
}

// New returns an empty view.
func New(self string, seed uint64) *View {
	return &View{self: self, random: rand.New(rand.NewPCG(seed, 0))}
}

// Entries returns the addresses in the view.
func (v *View) Entries() []string { return slices.Clone(v.entries) }

// Len returns the number of addresses in the view.
func (v *View) Len() int { return len(v.entries) }

// Add adds an address. In a full view it replaces a random one.
func (v *View) Add(address string) {
	if address == "" || address == v.self || slices.Contains(v.entries, address) {
		return
	}
	if len(v.entries) < Capacity {
		v.entries = append(v.entries, address)
		return
	}
	v.entries[v.random.IntN(len(v.entries))] = address
}

// Merge adds the sample of a peer's view.
func (v *View) Merge(sample []string) {
	for _, address := range sample {
		v.Add(address)
	}
}

// Remove removes an address, such as one that does not answer.
func (v *View) Remove(address string) {
	if i := slices.Index(v.entries, address); i >= 0 {
		v.entries = slices.Delete(v.entries, i, i+1)
	}
}

// Sample returns random addresses for an exchange, including this broker's own.
func (v *View) Sample() []string { return append(v.Pick(SampleSize-1), v.self) }

// Pick returns up to n distinct random addresses.
func (v *View) Pick(n int) []string {
	order := v.random.Perm(len(v.entries))
	picked := make([]string, 0, min(n, len(order)))
	for _, i := range order[:min(n, len(order))] {
		picked = append(picked, v.entries[i])
	}
	return picked
}
