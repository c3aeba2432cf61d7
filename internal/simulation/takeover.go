package simulation

import (
	"fmt"
	"slices"

	"gullstair/internal/lease"
	"gullstair/internal/virtual"
)

// TakeoverResult holds the measurements of Takeover: the time in ms from a holder's end until another member holds the lease.
type TakeoverResult struct {
	Voters        int
	Term          float64
	P50, P99      float64
	Bound         float64 // upper bound from the term, the drift and the delay between two requests
	Missed, Tries int
}

// Takeover repeatedly ends the holder of a lease and measures how long nobody holds it. The holder is killed or, if orderly, releases the lease.
func Takeover(seed uint64, voters int, term float64, tries int, orderly bool) TakeoverResult {
	t := TakeoverResult{Voters: voters, Term: term, Tries: tries}
	r := LeaseRules{Members: voters, Drift: 0.01, Fixed: []lease.Spec{{Name: "x", Term: term}}, Disk: true, Fsync: 2, Network: virtual.Conditions{Delay: 0.5, Jitter: 1}}
	w := NewLeaseWorld(seed, r)
	for i := range voters {
		w.Start(i)
		w.Want(i, r.Fixed[0], true)
	}
	// A voter honors its vote for the longest time that a term may take by any clock, and a candidate adds a random delay of up to a twentieth of a term. One
	// attempt may fail, which takes a tenth of a term, and the next one follows within a fifth.
	t.Bound = term*(1+r.Drift)/(1-r.Drift)*(1+r.Drift) + 0.35*term
	if orderly {
		t.Bound = 0.35 * term
	}
	var all []float64
	for range tries {
		w.Net.Run(3*term + term*w.Net.Rand().Float64())
		holder := slices.IndexFunc(Names(0, voters), func(n string) bool { return n == w.Holder("x") })
		if holder < 0 {
			t.Missed++
			continue
		}
		begun := w.Net.Now()
		if orderly {
			w.Drop(holder, "x", false)
			w.Want(holder, r.Fixed[0], false)
		} else {
			w.Kill(holder)
		}
		for w.Net.Now()-begun < 10*term {
			if h := w.Holder("x"); h != "" && h != Name(holder) {
				break
			}
			w.Net.Run(max(0.5, term/2000))
		}
		if w.Net.Now()-begun >= 10*term {
			t.Missed++
		} else {
			all = append(all, w.Net.Now()-begun)
		}
		if !orderly {
			w.Start(holder)
		}
		w.Want(holder, r.Fixed[0], true)
	}
	slices.Sort(all)
	if len(all) > 0 {
		t.P50, t.P99 = all[len(all)/2], all[len(all)*99/100]
	}
	return t
}

// RestartGap restarts all voters at once and returns for how many ms nobody holds a lease, with or without stored votes.
func RestartGap(seed uint64, voters int, term float64, disk bool) float64 {
	r := LeaseRules{Members: voters, Drift: 0.01, Fixed: []lease.Spec{{Name: "x", Term: term}}, Disk: disk, Fsync: 2, Network: virtual.Conditions{Delay: 0.5, Jitter: 1}}
	w := NewLeaseWorld(seed, r)
	start := func() {
		for i := range voters {
			w.Start(i)
			w.Want(i, r.Fixed[0], true)
		}
	}
	start()
	w.Net.Run(4 * term)
	for i := range voters {
		w.Kill(i)
	}
	begun := w.Net.Now()
	w.Net.Run(100)
	start()
	// The old holder's lease expires meanwhile, so the loop waits for a new acquisition.
	before := w.Acquired
	for w.Acquired == before && w.Net.Now()-begun < 10*term {
		w.Net.Run(1)
	}
	return w.Net.Now() - begun
}

// Traffic holds the given number of leases at one of five members and returns the messages and datagrams that it sends per second.
func Traffic(seed uint64, leases int, term float64) (messages, datagrams float64) {
	r := LeaseRules{Members: 5, Drift: 0.01, Disk: true, Fsync: 2, Network: virtual.Conditions{Delay: 0.5, Jitter: 1}}
	for i := range leases {
		r.Fixed = append(r.Fixed, lease.Spec{Name: fmt.Sprintf("task/x%04d/0", i), Term: term})
	}
	w := NewLeaseWorld(seed, r)
	for i := range 5 {
		w.Start(i)
	}
	for _, l := range r.Fixed {
		w.Want(0, l, true)
	}
	w.Net.Run(3 * term)
	sent, datagrams0 := w.messages, w.datagrams
	w.Net.Run(10 * term)
	return float64(w.messages-sent) / (10 * term) * 1000, float64(w.datagrams-datagrams0) / (10 * term) * 1000
}
