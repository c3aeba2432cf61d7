// Package peers keeps a broker's partial view of the fleet: a bounded sample of addresses that brokers shuffle among
// each other, so that views stay random, the fleet stays connected and the cost is flat in its size.
//
// The package has no I/O, clock or goroutine.
package peers

import (
	"math/rand/v2"
	"slices"
)

const (
	// Capacity is the most addresses in a view.
	Capacity = 24
	// SampleSize is how many of them go along in one exchange.
	SampleSize = 6
)

// View is one broker's sample of the others.
type View struct {
	self    string
	random  *rand.Rand
	entries []string
}

// New makes an empty view.
func New(self string, seed uint64) *View {
	return &View{self: self, random: rand.New(rand.NewPCG(seed, 0))}
}

// Entries returns the addresses in the view.
func (v *View) Entries() []string { return slices.Clone(v.entries) }

// Len is the number of addresses in the view.
func (v *View) Len() int { return len(v.entries) }

// Add takes an address; where the view is full it takes the place of a random one.
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

// Merge takes a sample of a peer's view.
func (v *View) Merge(sample []string) {
	for _, address := range sample {
		v.Add(address)
	}
}

// Remove drops an address that does not answer.
func (v *View) Remove(address string) {
	if i := slices.Index(v.entries, address); i >= 0 {
		v.entries = slices.Delete(v.entries, i, i+1)
	}
}

// Sample draws some addresses to send along, with this broker's own.
func (v *View) Sample() []string { return append(v.Pick(SampleSize-1), v.self) }

// Pick draws up to n different addresses.
func (v *View) Pick(n int) []string {
	order := v.random.Perm(len(v.entries))
	picked := make([]string, 0, min(n, len(order)))
	for _, i := range order[:min(n, len(order))] {
		picked = append(picked, v.entries[i])
	}
	return picked
}
