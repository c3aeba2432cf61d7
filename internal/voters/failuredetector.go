package voters

import (
	"maps"
	"slices"
	"time"

	"gullstair/internal/register"
)

// FailureDetector derives the health of the replicas that one voter probes periodically. It is not safe for concurrent
// use.
type FailureDetector struct {
	catchUp        time.Duration
	byAddress      map[string]contact
	recentlyChosen []chosenVersion // of the values learned to be chosen in the last allowedLag, and of the one before them
}

// Version identifies a value that a replica has accepted, or that is known to be chosen. A value that is confirmed keeps
// its sequence under a later ballot, so either may tell that a replica holds it.
type Version struct {
	Ballot   register.Ballot
	Sequence uint64 // 0: of the first value, or not stated by a replica of an earlier release
}

// includes reports whether a replica with this version holds the chosen value of another version or a later one.
func (v Version) includes(chosen Version) bool {
	if v.Ballot == (register.Ballot{}) {
		return false // it holds no value
	}
	return !v.Ballot.Less(chosen.Ballot) || v.Sequence > 0 && v.Sequence >= chosen.Sequence
}

// chosenVersion is the version of a chosen value and the time at which it became known.
type chosenVersion struct {
	version   Version
	learnedAt time.Time
}

// allowedLag is how long an up-to-date replica may take to receive the newest value: during a quick succession of
// changes no replica has each of them at once.
const allowedLag = time.Second

// contact is the probe result of the replica on one machine.
type contact struct {
	replica      register.Replica // the one that answered last; zero: none has answered yet
	accepted     Version          // what it had accepted in that answer
	silentSince  time.Time        // when the first of the unanswered probes was sent; zero: the last probe was answered
	healthySince time.Time        // since when it has answered every probe and been up to date; zero: it is not
}

// NewFailureDetector returns a detector without any contacts. catchUp is the time after which a new replica is relied
// on.
func NewFailureDetector(catchUp time.Duration) *FailureDetector {
	return &FailureDetector{catchUp: catchUp, byAddress: map[string]contact{}}
}

// RecordAnswer records that a replica answered a probe with what it accepted last.
func (c *FailureDetector) RecordAnswer(replica register.Replica, accepted Version, now time.Time) {
	healthySince := c.byAddress[replica.Address].healthySince
	if c.byAddress[replica.Address].replica != replica || !c.isUpToDate(accepted) {
		healthySince = time.Time{}
	} else if healthySince.IsZero() {
		healthySince = now
	}
	c.byAddress[replica.Address] = contact{replica: replica, accepted: accepted, healthySince: healthySince}
}

// RecordTimeout records that a probe got no answer within timeout. If now is much later than that, this process was
// paused in between, and the silence counts only from now.
func (c *FailureDetector) RecordTimeout(address string, sentAt, now time.Time, timeout time.Duration) {
	known := c.byAddress[address]
	if known.silentSince.IsZero() {
		known.silentSince = sentAt
		if now.Sub(sentAt) > 2*timeout {
			known.silentSince = now
		}
	}
	known.healthySince = time.Time{}
	c.byAddress[address] = known
}

// AnyTimedOut reports whether any replica left its last probe unanswered.
func (c *FailureDetector) AnyTimedOut() bool {
	for _, known := range c.byAddress {
		if !known.silentSince.IsZero() {
			return true
		}
	}
	return false
}

// Forget drops the contacts whose address satisfies drop.
func (c *FailureDetector) Forget(drop func(address string) bool) {
	maps.DeleteFunc(c.byAddress, func(address string, _ contact) bool { return drop(address) })
}

// RecordChosen records the version of the newest value that is known to be chosen.
func (c *FailureDetector) RecordChosen(version Version, now time.Time) {
	if n := len(c.recentlyChosen); n == 0 || c.recentlyChosen[n-1].version != version {
		c.recentlyChosen = append(c.recentlyChosen, chosenVersion{version, now})
	}
	for len(c.recentlyChosen) > 1 && now.Sub(c.recentlyChosen[1].learnedAt) >= allowedLag {
		c.recentlyChosen = slices.Delete(c.recentlyChosen, 0, 1)
	}
}

// isUpToDate reports whether a replica that accepted this last has all chosen values but those learned within allowedLag.
func (c *FailureDetector) isUpToDate(accepted Version) bool {
	return len(c.recentlyChosen) > 0 && accepted.includes(c.recentlyChosen[0].version)
}

// Health returns the health of a replica. leaving: its machine has announced that it shuts down.
func (c *FailureDetector) Health(replica register.Replica, leaving bool, now time.Time) Health {
	known := c.byAddress[replica.Address]
	silent := !known.silentSince.IsZero()
	neverAnswered := known.replica == (register.Replica{})
	switch {
	case !neverAnswered && known.replica != replica:
		return Replaced
	case silent && now.Sub(known.silentSince) > LostAfter(c.catchUp):
		return Silent
	case leaving:
		return Leaving
	case silent || neverAnswered:
		return Unknown
	case !c.isUpToDate(known.accepted):
		return Lagging
	}
	return Healthy
}

// Settled reports whether a replica has answered every probe and been up to date for SettledAfter.
func (c *FailureDetector) Settled(replica register.Replica, now time.Time) bool {
	known := c.byAddress[replica.Address]
	return known.replica == replica && !known.healthySince.IsZero() && now.Sub(known.healthySince) > SettledAfter(c.catchUp)
}

// Departed reports whether a replica's machine has been silent for DepartedAfter.
func (c *FailureDetector) Departed(replica register.Replica, now time.Time) bool {
	known := c.byAddress[replica.Address]
	return !known.silentSince.IsZero() && now.Sub(known.silentSince) > DepartedAfter(c.catchUp)
}
