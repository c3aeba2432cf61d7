package membership

import (
	"cmp"
	"slices"
)

// updateQueue holds the updates to transmit: the latest one per member and accuser.
type updateQueue map[string]*queuedUpdate

// queuedUpdate is a queued update and the number of its transmissions.
type queuedUpdate struct {
	member        Member
	queuedAt      float64
	transmissions int
}

// put queues an update. An update that is not a suspicion replaces all others of the member.
func (q updateQueue) put(m Member, now float64) {
	key := m.Name
	if old := q[key]; old != nil && old.member.State == Suspect && m.State == Suspect && old.member.By != m.By {
		key = m.Name + "\x00" + m.By // a further accuser of the same suspect
	} else if m.State != Suspect {
		for k, p := range q {
			if p.member.Name == m.Name {
				delete(q, k)
			}
		}
	}
	q[key] = &queuedUpdate{member: m, queuedAt: now}
}

// take appends updates that fit into remaining bytes: the least transmitted first, then the newest. It removes an
// update after the given number of transmissions.
func (q updateQueue) take(updates []Member, remaining, maxTransmissions int) ([]Member, int) {
	if len(q) == 0 {
		return updates, remaining
	}
	keys := make([]string, 0, len(q))
	for k := range q {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b string) int {
		x, y := q[a], q[b]
		return cmp.Or(cmp.Compare(x.transmissions, y.transmissions), cmp.Compare(y.queuedAt, x.queuedAt), cmp.Compare(a, b))
	})
	for _, k := range keys {
		p := q[k]
		if size := Size(p.member); size <= remaining {
			updates, remaining = append(updates, p.member), remaining-size
			if p.transmissions++; p.transmissions >= maxTransmissions {
				delete(q, k)
			}
		} else if remaining < memberBytes {
			break
		}
	}
	return updates, remaining
}
