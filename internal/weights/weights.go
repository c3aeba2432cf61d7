// Package weights records which versions of models' weights the operator has named and when, and says which versions may still
// start work. Once a version is named, work may start on older ones only for a bounded time. Each version has its own bound: older
// weights get no more time when a newer version is named, when a process starts, or when a process learns of a version late.
//
// The package does no I/O, reads no clock and starts no goroutines. A Ledger may be used by many goroutines at once.
package weights

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// sendMargin is how long before the bound a broker stops sending requests to older weights, so that requests on their way
	// still start in time.
	sendMargin = 900 * time.Millisecond
	// recallMargin is how long before the bound a broker recalls a request that is queued at an instance with older weights. It
	// covers the time between the acknowledgement of a version and the moment when a broker learns of it.
	recallMargin = 400 * time.Millisecond
)

// Naming is a version of a model's weights that the operator named, with a lower bound on the time since then.
type Naming struct {
	Version int64
	Age     time.Duration
}

// Grace returns how long after a version was named requests may be sent to instances with older weights. bound is how long after
// the version's acknowledgement work may start on them.
func Grace(bound time.Duration) time.Duration { return max(0, bound-sendMargin) }

// Merge combines what two brokers know of the versions of one model; the greater age wins. It returns the newest version whose
// grace period has passed and all versions above it, sorted by version. The result does not depend on the order of merges.
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

// Ledger records the versions that have been named, by model.
type Ledger struct {
	bound time.Duration

	mu     sync.Mutex
	models map[string][]namedVersion // sorted by version, oldest first
}

// namedVersion is a version with the latest time at which it can have been named.
type namedVersion struct {
	version int64
	namedAt time.Time
}

// New returns an empty ledger. bound is how long after a version's acknowledgement work may start on older versions.
func New(bound time.Duration) *Ledger {
	return &Ledger{bound: bound, models: map[string][]namedVersion{}}
}

// Learn merges the versions of one model that the register holds: the newest, and the result of the register's own Merge. If named
// does not contain the newest version, that version was named long ago. Learn returns the versions that are new to the ledger. A
// version's recorded age never decreases.
func (l *Ledger) Learn(now time.Time, model string, newest int64, named []Naming) (added []int64) {
	if !slices.ContainsFunc(named, func(n Naming) bool { return n.Version == newest }) {
		named = append(slices.Clone(named), Naming{Version: newest, Age: l.bound})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.namedLocked(now, model)
	var next []namedVersion
	for _, n := range Merge(before, named, Grace(l.bound)) {
		next = append(next, namedVersion{n.Version, now.Add(-n.Age)})
		if !slices.ContainsFunc(before, func(b Naming) bool { return b.Version == n.Version }) {
			added = append(added, n.Version)
		}
	}
	l.models[model] = next
	return added
}

// Named returns the recorded versions of a model with their ages, as input for Merge.
func (l *Ledger) Named(now time.Time, model string) []Naming {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.namedLocked(now, model)
}

// namedLocked is Named for callers that hold l.mu.
func (l *Ledger) namedLocked(now time.Time, model string) []Naming {
	var out []Naming
	for _, n := range l.models[model] {
		out = append(out, Naming{n.version, now.Sub(n.namedAt)})
	}
	return out
}

// Settled reports whether the register, which holds these namings, has recorded the end of each grace period that has passed by this
// ledger. If it has not, the ages in the register need an update.
func (l *Ledger) Settled(now time.Time, model string, named []Naming) bool {
	for _, local := range l.Named(now, model) {
		behind := func(registered Naming) bool {
			return registered.Version == local.Version && registered.Age < Grace(l.bound)
		}
		if local.Age >= Grace(l.bound) && slices.ContainsFunc(named, behind) {
			return false
		}
	}
	return true
}

// MinVersion returns the oldest version that a request may be sent to now.
func (l *Ledger) MinVersion(now time.Time, model string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := int64(1)
	for _, n := range l.models[model] {
		if now.Sub(n.namedAt) >= Grace(l.bound) {
			oldest = max(oldest, n.version)
		}
	}
	return oldest
}

// SupersededAt returns when the first version above this one was named, or the zero time if there is no newer version.
func (l *Ledger) SupersededAt(model string, version int64) (since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.models[model] {
		if n.version > version && (since.IsZero() || n.namedAt.Before(since)) {
			since = n.namedAt
		}
	}
	return since
}

// StartDeadline returns when a request that is sent to an instance with this version must have started, or the zero time if there
// is no newer version.
func (l *Ledger) StartDeadline(model string, version int64) time.Time {
	since := l.SupersededAt(model, version)
	if since.IsZero() {
		return since
	}
	return since.Add(l.bound - recallMargin)
}
