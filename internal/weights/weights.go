// Package weights keeps which versions of models' weights have been named and since when, and says on which of them work
// may still begin. Each version has a bound of its own: that a newer one is named, or that a process starts or learns late,
// gives older weights no more time. It has no I/O, clock or goroutine; a ledger may be used by many goroutines at once.
package weights

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// stopBefore is how long before the bound requests stop going to older weights, so that those on their way begin in time.
	stopBefore = 900 * time.Millisecond
	// recallBefore is how long before the bound a request that waits at an instance with older weights is taken back. A
	// broker may have learned of a version so long after its acknowledgement.
	recallBefore = 400 * time.Millisecond
)

// Naming is a version of a model's weights that was named, and how long ago that was, at least.
type Naming struct {
	Version int64
	Age     time.Duration
}

// Grace is how long after a version was named requests may be sent to instances with older weights. bound is how long
// after its acknowledgement work may begin on them.
func Grace(bound time.Duration) time.Duration { return max(0, bound-stopBefore) }

// Merge joins what two brokers know of the versions of one model. It returns the newest whose grace has passed, and all
// above it, by version.
func Merge(a, b []Naming, grace time.Duration) []Naming {
	var out []Naming
	for _, n := range slices.Concat(a, b) {
		at, known := slices.BinarySearchFunc(out, n, func(x, y Naming) int { return cmp.Compare(x.Version, y.Version) })
		if known {
			out[at].Age = max(out[at].Age, n.Age)
			continue
		}
		out = slices.Insert(out, at, n)
	}
	for at := len(out) - 1; at > 0; at-- {
		if out[at].Age >= grace {
			return out[at:]
		}
	}
	return out
}

// Ledger knows the versions that have been named, by model.
type Ledger struct {
	bound time.Duration

	mu     sync.Mutex
	models map[string][]naming // the oldest version first
}

// naming is a version with the moment at which it was named, or a later one at which that was certain.
type naming struct {
	version int64
	at      time.Time
}

// New makes a ledger that knows no version. bound is how long after a version's acknowledgement work may begin on older ones.
func New(bound time.Duration) *Ledger { return &Ledger{bound: bound, models: map[string][]naming{}} }

// Learn takes the versions of one model as the register has them: the newest, and those that Merge returned. A newest one
// that is not among those was named long ago. It returns the versions that are news here. What is known of a version's age is
// never taken back.
func (l *Ledger) Learn(now time.Time, model string, newest int64, named []Naming) (news []int64) {
	if !slices.ContainsFunc(named, func(n Naming) bool { return n.Version == newest }) {
		named = append(slices.Clone(named), Naming{Version: newest, Age: l.bound})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.named(now, model)
	var next []naming
	for _, n := range Merge(before, named, Grace(l.bound)) {
		next = append(next, naming{n.Version, now.Add(-n.Age)})
		if !slices.ContainsFunc(before, func(b Naming) bool { return b.Version == n.Version }) {
			news = append(news, n.Version)
		}
	}
	l.models[model] = next
	return news
}

// Named returns what is known of a model's versions, as Merge takes it.
func (l *Ledger) Named(now time.Time, model string) []Naming {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.named(now, model)
}

// named returns what is known of a model's versions; l.mu is held.
func (l *Ledger) named(now time.Time, model string) []Naming {
	var out []Naming
	for _, n := range l.models[model] {
		out = append(out, Naming{n.version, now.Sub(n.at)})
	}
	return out
}

// Settled says whether the register, which has these namings, knows of each version whose grace has passed here that it has.
func (l *Ledger) Settled(now time.Time, model string, named []Naming) bool {
	for _, here := range l.Named(now, model) {
		late := func(there Naming) bool { return there.Version == here.Version && there.Age < Grace(l.bound) }
		if here.Age >= Grace(l.bound) && slices.ContainsFunc(named, late) {
			return false
		}
	}
	return true
}

// Oldest is the oldest version that a request may be sent to now.
func (l *Ledger) Oldest(now time.Time, model string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := int64(1)
	for _, n := range l.models[model] {
		if now.Sub(n.at) >= Grace(l.bound) {
			oldest = max(oldest, n.version)
		}
	}
	return oldest
}

// Since is when the first version above this one was named; zero: none has been.
func (l *Ledger) Since(model string, version int64) (since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.models[model] {
		if n.version > version && (since.IsZero() || n.at.Before(since)) {
			since = n.at
		}
	}
	return since
}

// BeginBy is when a request must have begun that is sent to an instance with this version; zero: it has no newer one.
func (l *Ledger) BeginBy(model string, version int64) time.Time {
	since := l.Since(model, version)
	if since.IsZero() {
		return since
	}
	return since.Add(l.bound - recallBefore)
}
