// Package ownership decides which broker acts in a role that only one broker may hold. Rendezvous hashing spreads the roles over the
// live brokers, and the register stores each role's lease with its fencing token. A holder acts only for a short time after it
// began to acquire or renew the lease, measured on its own monotonic clock.
//
// The package does no I/O, reads no clock and starts no goroutines.
package ownership

import (
	"slices"
	"sync"
	"time"

	"gullstair/internal/controlstate"
	"gullstair/internal/rendezvous"
)

const (
	// holdDuration is how long a holder may act after it began to acquire or renew the lease.
	holdDuration = 1200 * time.Millisecond
	// renewAfter is how long after it began to acquire the lease a holder renews it, while the role has work.
	renewAfter = 600 * time.Millisecond
	// frozenSlack covers actions that a holder began before its process froze and completes afterwards.
	frozenSlack = 500 * time.Millisecond
	// tryInterval is how often a broker tries to acquire a lease that is due.
	tryInterval = 250 * time.Millisecond
)

// Lease is one broker's view of the lease of one role. It may be used by many goroutines at once.
type Lease struct {
	Role string
	Self string

	fencing bool
	minGap  time.Duration // minimum time between the actions of two holders

	mu           sync.Mutex
	seen         controlstate.Lease
	seenSince    time.Time          // when seen was first observed
	held         controlstate.Lease // as this process last acquired or renewed it
	heldUntil    time.Time          // until then this broker may act
	acquireStart time.Time          // when the last successful acquisition or renewal began
	lastTry      time.Time          // when Due last returned true
}

// New returns a view of a lease that has not been observed. fencing reports that instances check fencing tokens. minGap is the
// minimum time between the actions of two holders where they do not.
func New(role, self string, fencing bool, minGap time.Duration) *Lease {
	return &Lease{Role: role, Self: self, fencing: fencing, minGap: minGap}
}

// Owner returns the broker, among the live ones, that a role is assigned to; empty if none is live.
func Owner(role string, live []string) string {
	if len(live) == 0 {
		return ""
	}
	return rendezvous.Order(role, live)[0]
}

// Observe records the lease as the register holds it.
func (l *Lease) Observe(now time.Time, present controlstate.Lease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if present != l.seen || l.seenSince.IsZero() {
		l.seen, l.seenSince = present, now
	}
}

// Due reports whether to acquire or renew the lease now. workSince is when the role got its present work.
func (l *Lease) Due(now, workSince time.Time, live []string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.lastTry) < tryInterval || !l.due(now, workSince, live) {
		return false
	}
	l.lastTry = now
	return true
}

func (l *Lease) due(now, workSince time.Time, live []string) bool {
	holder := l.seen.Holder
	if holder == l.Self && l.held == l.seen && l.held.Token > 0 {
		return now.Sub(l.acquireStart) >= renewAfter
	}
	if holder == l.Self {
		// An earlier process of this broker held the lease and may have acted until it exited.
		return Owner(l.Role, live) == l.Self
	}
	others := slices.DeleteFunc(slices.Clone(live), func(name string) bool { return name == holder })
	if Owner(l.Role, others) != l.Self {
		return false
	}
	if holder == "" {
		return true
	}
	idle := now.Sub(l.seenSince)
	if slices.Contains(live, holder) {
		idle = min(idle, now.Sub(workSince)) // without work the holder had no reason to renew the lease
	}
	return idle >= l.takeoverDelay()
}

// takeoverDelay returns how long a lease must be unchanged, while the role has work, before another broker acquires it. A holder
// that reaches a quorum of the register renews the lease sooner. Where instances check fencing tokens, a late request of a holder
// that does not reach a quorum does no harm; otherwise the actions of the two holders must be minGap apart.
func (l *Lease) takeoverDelay() time.Duration {
	if l.fencing {
		return holdDuration + frozenSlack
	}
	return holdDuration + l.minGap + frozenSlack
}

// Acquired records a lease that this broker acquired or renewed. begun is when the attempt began.
func (l *Lease) Acquired(begun time.Time, lease controlstate.Lease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held, l.seen, l.seenSince = lease, lease, begun
	l.acquireStart, l.heldUntil = begun, begun.Add(holdDuration)
}

// Held reports whether this broker may act now.
func (l *Lease) Held(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.heldUntil)
}

// HasHeld reports whether this process has ever held the lease.
func (l *Lease) HasHeld() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held.Token > 0
}

// Token returns the fencing token under which this broker acts.
func (l *Lease) Token() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held.Token
}
