package voters

import (
	"maps"
	"slices"
	"time"

	"gullstair/internal/register"
)

// Contacts is what one voter has heard of the replicas that it asks again and again. One goroutine at a time may use it.
type Contacts struct {
	catchUp   time.Duration
	byAddress map[string]contact
	newest    []noted // values that were learned to be chosen in the last lagAllowed, and one before
}

// noted is when a value was learned to be chosen.
type noted struct {
	ballot register.Ballot
	at     time.Time
}

// lagAllowed is how long a replica that keeps up may take for the newest value: in a quick succession of changes none has
// each of them at once.
const lagAllowed = time.Second

// contact is what is known of the replica on one machine.
type contact struct {
	replica     register.Replica // that answered last; zero: none did yet
	accepted    register.Ballot  // of its value then
	silentSince time.Time        // when the first question without an answer was put; zero: the newest was answered
	wellSince   time.Time        // since when it has answered each question, and kept up; zero: it has not
}

// NewContacts begins without any. catchUp is the time after which a newcomer is counted on.
func NewContacts(catchUp time.Duration) *Contacts {
	return &Contacts{catchUp: catchUp, byAddress: map[string]contact{}}
}

// Answered notes what a replica answered.
func (c *Contacts) Answered(replica register.Replica, accepted register.Ballot, now time.Time) {
	wellSince := c.byAddress[replica.Address].wellSince
	if c.byAddress[replica.Address].replica != replica || !c.keepsUp(accepted) {
		wellSince = time.Time{}
	} else if wellSince.IsZero() {
		wellSince = now
	}
	c.byAddress[replica.Address] = contact{replica: replica, accepted: accepted, wellSince: wellSince}
}

// Missed notes that a question got no answer. One that was given up much later than after limit was put before the asker
// stood still: that says nothing of the time in between.
func (c *Contacts) Missed(address string, put, now time.Time, limit time.Duration) {
	known := c.byAddress[address]
	if known.silentSince.IsZero() {
		known.silentSince = put
		if now.Sub(put) > 2*limit {
			known.silentSince = now
		}
	}
	known.wellSince = time.Time{}
	c.byAddress[address] = known
}

// Quiet says whether some replica has not answered the newest question.
func (c *Contacts) Quiet() bool {
	for _, known := range c.byAddress {
		if !known.silentSince.IsZero() {
			return true
		}
	}
	return false
}

// Forget drops what was heard of machines other than these.
func (c *Contacts) Forget(others func(address string) bool) {
	maps.DeleteFunc(c.byAddress, func(address string, _ contact) bool { return others(address) })
}

// Newest notes the ballot of the newest value that is known to be chosen.
func (c *Contacts) Newest(ballot register.Ballot, now time.Time) {
	if n := len(c.newest); n == 0 || c.newest[n-1].ballot != ballot {
		c.newest = append(c.newest, noted{ballot, now})
	}
	for len(c.newest) > 1 && now.Sub(c.newest[1].at) >= lagAllowed {
		c.newest = slices.Delete(c.newest, 0, 1)
	}
}

// keepsUp says whether a replica with this accepted ballot has what was chosen, but for what is very new.
func (c *Contacts) keepsUp(accepted register.Ballot) bool {
	return accepted != (register.Ballot{}) && len(c.newest) > 0 && !accepted.Less(c.newest[0].ballot)
}

// Health says how a replica stands to the values that were noted. leaving: its machine has said that it is about to end.
func (c *Contacts) Health(replica register.Replica, leaving bool, now time.Time) Health {
	known := c.byAddress[replica.Address]
	silent := !known.silentSince.IsZero()
	unheard := known.replica == (register.Replica{})
	switch {
	case !unheard && known.replica != replica:
		return Replaced
	case silent && now.Sub(known.silentSince) > LostAfter(c.catchUp):
		return Silent
	case leaving:
		return Leaving
	case silent || unheard:
		return Unknown
	case !c.keepsUp(known.accepted):
		return Lagging
	}
	return Healthy
}

// Settled says whether a replica has answered each question and kept up for SettledAfter.
func (c *Contacts) Settled(replica register.Replica, now time.Time) bool {
	known := c.byAddress[replica.Address]
	return known.replica == replica && !known.wellSince.IsZero() && now.Sub(known.wellSince) > SettledAfter(c.catchUp)
}

// Departed says whether a replica's machine has been silent for DepartedAfter.
func (c *Contacts) Departed(replica register.Replica, now time.Time) bool {
	known := c.byAddress[replica.Address]
	return !known.silentSince.IsZero() && now.Sub(known.silentSince) > DepartedAfter(c.catchUp)
}
