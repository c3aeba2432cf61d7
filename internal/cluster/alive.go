package cluster

import (
	"slices"
	"strings"
	"time"

	"gullstair/internal/dissemination"
)

// aliveMembers is the cached list of the brokers that are alive. It is reused until a record or a timeout can change
// it: every note of work needs the list, and building it takes time proportional to the size of the fleet.
type aliveMembers struct {
	all        []Member // sorted by address, including this broker
	sameZone   []Member // the other brokers of this broker's zone
	validUntil time.Time
}

// buildAliveList builds the list from the members' records and from the times when each record last advanced. A member
// whose record has not advanced for longer than silenceTimeout counts as gone.
func buildAliveList(self Member, records []dissemination.Record, lastUpdate map[string]time.Time, now time.Time, silenceTimeout time.Duration) aliveMembers {
	alive := aliveMembers{all: []Member{self}, validUntil: now.Add(silenceTimeout)}
	for _, r := range records {
		at, known := lastUpdate[r.Key]
		if r.Key == self.IP || !known || now.Sub(at) > silenceTimeout {
			continue
		}
		member, ok := r.Body.(Member)
		if !ok || member.Leaving {
			continue
		}
		alive.all = append(alive.all, member)
		if member.Zone == self.Zone {
			alive.sameZone = append(alive.sameZone, member)
		}
		if gone := at.Add(silenceTimeout); gone.Before(alive.validUntil) {
			alive.validUntil = gone
		}
	}
	slices.SortFunc(alive.all, func(a, b Member) int { return strings.Compare(a.IP, b.IP) })
	return alive
}

// valid reports whether the list was built and no member in it can have timed out yet.
func (a *aliveMembers) valid(now time.Time) bool { return a.all != nil && !now.After(a.validUntil) }

// contains reports whether the list holds exactly this version of a member.
func (a *aliveMembers) contains(m Member) bool {
	at, found := slices.BinarySearchFunc(a.all, m.IP, func(listed Member, ip string) int { return strings.Compare(listed.IP, ip) })
	return found && a.all[at] == m
}

// aliveList returns the current list and rebuilds it if needed. n.mu is held.
func (n *Node) aliveList(now time.Time) *aliveMembers {
	if !n.alive.valid(now) {
		n.alive = buildAliveList(n.self, n.store.OfKind(MemberRecord), n.lastUpdate, now, n.silenceTimeout())
	}
	return &n.alive
}

// silenceTimeout returns how long a member's record may stay without an update. n.mu is held.
func (n *Node) silenceTimeout() time.Duration {
	return maxMissedRenewals * max(renewInterval, time.Duration(len(n.lastUpdate))*renewIntervalPerMember)
}

// memberUpdated processes a new record of a member. n.mu is held. A record that only renews a listed member leaves the
// cached list valid.
func (n *Node) memberUpdated(r dissemination.Record) {
	n.lastUpdate[r.Key] = time.Now()
	n.view.Add(r.Key)
	if member, ok := r.Body.(Member); !ok || !n.alive.contains(member) {
		n.alive = aliveMembers{}
	}
}

// Members returns the brokers that this one believes alive, including itself, sorted by address. The slice is shared
// and must not be modified.
func (n *Node) Members() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.aliveList(time.Now()).all
}

// neighbors returns the other live brokers of the zone and the number of live brokers in the fleet. The slice is
// shared.
func (n *Node) neighbors() (sameZone []Member, total int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := n.aliveList(time.Now())
	return list.sameZone, len(list.all)
}
