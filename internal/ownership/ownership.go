// Package ownership decides which broker acts in a role that one alone may fill. Roles are spread over the live
// brokers by rendezvous hashing; the register keeps each role's lease with its fencing token. A holder acts only for a
// short time after it began to acquire or renew the lease, by its own steady clock. It has no I/O, clock or goroutine.
package ownership

import (
	"slices"
	"sync"
	"time"

	"gullstair/internal/controlstate"
	"gullstair/internal/rendezvous"
)

const (
	// holdFor is how long a holder acts after it began to acquire the lease.
	holdFor = 1200 * time.Millisecond
	// renewAfter is when it renews the lease while there is work.
	renewAfter = 600 * time.Millisecond
	// slack covers what a frozen holder may still have under way.
	slack = 500 * time.Millisecond
	// tryEvery is how often a broker tries to acquire a lease that is due.
	tryEvery = 250 * time.Millisecond
)

// Lease is one broker's view of one role's lease.
type Lease struct {
	Role string
	Self string

	fencing bool
	bound   time.Duration // turns of two holders must be as far apart

	mu    sync.Mutex
	seen  controlstate.Lease
	since time.Time // when seen was seen first
	held  controlstate.Lease
	until time.Time
	begun time.Time
	tried time.Time
}

// New makes a view of a lease that has not been seen.
func New(role, self string, fencing bool, bound time.Duration) *Lease {
	return &Lease{Role: role, Self: self, fencing: fencing, bound: bound}
}

// Owner is the broker that a role falls to among the live ones.
func Owner(role string, live []string) string {
	if len(live) == 0 {
		return ""
	}
	return rendezvous.Order(role, live)[0]
}

// Observe takes the lease as the register has it.
func (l *Lease) Observe(now time.Time, present controlstate.Lease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if present != l.seen || l.since.IsZero() {
		l.seen, l.since = present, now
	}
}

// Due says whether to acquire or renew the lease now. work is when there came to be something to do in the role.
func (l *Lease) Due(now, work time.Time, live []string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.tried) < tryEvery || !l.due(now, work, live) {
		return false
	}
	l.tried = now
	return true
}

func (l *Lease) due(now, work time.Time, live []string) bool {
	holder := l.seen.Holder
	if holder == l.Self && l.held == l.seen && l.held.Token > 0 {
		return now.Sub(l.begun) >= renewAfter
	}
	if holder == l.Self {
		// An earlier process of this broker held it; it may have acted until it ended.
		return Owner(l.Role, live) == l.Self
	}
	others := slices.DeleteFunc(slices.Clone(live), func(name string) bool { return name == holder })
	if Owner(l.Role, others) != l.Self {
		return false
	}
	if holder == "" {
		return true
	}
	idle := now.Sub(l.since)
	if slices.Contains(live, holder) {
		idle = min(idle, now.Sub(work)) // while there was nothing to do its holder had no reason to renew it
	}
	return idle >= l.wait()
}

// wait is how long a lease must have stood unchanged, with work to do, before another broker takes it. A holder that
// reaches a majority of the register renews it sooner. Where instances check fences, what one that does not reach it
// still sends does no harm; else its turn must be over by the bound.
func (l *Lease) wait() time.Duration {
	if l.fencing {
		return holdFor + slack
	}
	return holdFor + l.bound + slack
}

// Acquired notes a lease that was acquired by an attempt that began at a time.
func (l *Lease) Acquired(begun time.Time, lease controlstate.Lease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held, l.seen, l.since = lease, lease, begun
	l.begun, l.until = begun, begun.Add(holdFor)
}

// Held says whether this broker may act now.
func (l *Lease) Held(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.until)
}

// Had says whether this process has held the lease.
func (l *Lease) Had() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held.Token > 0
}

// Token is the fencing token under which this broker acts.
func (l *Lease) Token() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held.Token
}
