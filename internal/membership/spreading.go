package membership

import (
	"math"
	"slices"
)

// merge applies one update to the view and queues it for transmission if it is new.
func (c *Core) merge(u Member) {
	if u.Name == "" || u.State > Left || math.IsNaN(u.Weight) || u.Weight < 0 || u.Weight > 1e6 {
		c.Counts.Dropped++
		return
	}
	if u.Name == c.self.Name {
		c.mergeSelf(u)
		return
	}
	k := c.members[u.Name]
	if k == nil {
		if u.State >= Dead {
			return // no tombstone for an unknown member
		}
		if len(c.members)+1 >= c.timing.MaxMembers {
			c.Counts.Dropped++
			return
		}
		k = &memberEntry{Member: u, stateSince: c.now, heardAt: c.now}
		k.State, k.By = Alive, ""
		c.members[u.Name], c.sorted = k, nil
		c.version++
		// Insert it at a random position of the current round, so its first probe comes no later than the others'.
		at := c.probeNext + c.rng.IntN(len(c.probeRound)-c.probeNext+1)
		c.probeRound = slices.Insert(c.probeRound, at, u.Name)
		c.emitChange(k, Alive, false)
		c.broadcast(k)
		if u.State == Alive {
			return
		}
	}
	if !supersedes(u, k.Member) {
		if u.State == Suspect && k.State == Suspect && u.Incarnation == k.Incarnation && u.By != "" {
			if _, twice := k.accusers[u.By]; !twice && len(k.accusers) <= k.accusersNeeded {
				k.accusers[u.By] = struct{}{}
				c.updates.put(u, c.now) // transmitted per accuser, because each accuser counts at the receivers too
			}
		}
		return
	}
	was := k.State
	k.Member = u
	c.version++
	delete(c.suspects, u.Name)
	if k.State == Alive {
		k.By = ""
	}
	if was != u.State {
		k.stateSince = c.now
	}
	if u.State == Suspect {
		n := c.Living()
		scale := max(1, math.Log10(float64(max(n, 1))))
		k.suspectedAt, k.minTimeout = c.now, c.timing.SuspicionMult*scale*c.timing.ProbeInterval
		k.maxTimeout = k.minTimeout * c.timing.MaxSuspicionMult
		k.accusersNeeded = min(max(n-2, 0), 3)
		k.accusers = map[string]struct{}{u.By: {}}
		c.suspects[u.Name] = k
	} else {
		k.accusers = nil
	}
	if p := c.probe; p != nil && p.name == u.Name && !k.Living() {
		c.probe = nil
	}
	if was != u.State || u.State == Alive {
		c.emitChange(k, was, true)
	}
	c.broadcast(k)
}

// mergeSelf refutes an update about this member that contradicts its own state.
func (c *Core) mergeSelf(u Member) {
	if c.left || u.Incarnation < c.self.Incarnation {
		return
	}
	if u.Boot != c.self.Boot {
		c.Counts.Conflicts++ // an earlier process of this name, or another one that runs now
	} else if u.State == Alive && u.Incarnation == c.self.Incarnation {
		return
	} else {
		c.Counts.Refuted++
		c.adjustHealth(1)
	}
	c.self.Incarnation = u.Incarnation + 1
	c.updates.put(c.self, c.now)
}

func (c *Core) emitChange(k *memberEntry, was State, wasKnown bool) {
	c.out = append(c.out, Changed{Member: k.Member, Was: was, Known: wasKnown})
}

// broadcast queues a member's current state for transmission.
func (c *Core) broadcast(k *memberEntry) { c.updates.put(k.Member, c.now) }

// sample returns up to n random members that qualify.
func (c *Core) sample(n int, qualifies func(*memberEntry) bool) []*memberEntry {
	picked, seen := make([]*memberEntry, 0, n), 0
	for _, name := range c.names() {
		k := c.members[name]
		if !qualifies(k) {
			continue
		}
		if seen++; len(picked) < n {
			picked = append(picked, k)
		} else if at := c.rng.IntN(seen); at < n {
			picked[at] = k
		}
	}
	return picked
}

// send fills a message with queued updates and piggybacked data and outputs it.
func (c *Core) send(addr string, m Message) {
	m.From = c.self.Name
	remaining := c.timing.MaxMessageBytes - headerBytes - len(m.From) - len(m.To)
	if m.Target.Name != "" {
		remaining -= Size(m.Target)
	}
	for _, u := range m.News {
		remaining -= Size(u)
	}
	if m.Kind != Exchange && m.Kind != ExchangeReply {
		if k := c.members[m.To]; k != nil && k.State == Suspect && Size(k.Member) <= remaining {
			m.News = append(m.News, k.Member) // a suspect can refute only a suspicion that it receives
			remaining -= Size(k.Member)
		}
		m.News, remaining = c.updates.take(m.News, remaining, c.transmitLimit())
	}
	if c.cargo != nil && remaining > 16 {
		m.Cargo = c.cargo.Load(m.To, remaining)
	}
	c.Counts.Sent++
	c.out = append(c.out, Send{Addr: addr, Message: m})
}

// transmitLimit returns how often each update is transmitted.
func (c *Core) transmitLimit() int {
	return c.timing.RetransmitMult * int(math.Ceil(math.Log10(float64(len(c.members)+2))))
}

// exchange sends the full view, split over as many messages as needed.
func (c *Core) exchange(kind Kind, addr, to string) {
	capacity := c.timing.MaxMessageBytes - headerBytes - len(c.self.Name) - len(to)
	m, used := Message{Kind: kind, To: to, News: []Member{c.self}}, Size(c.self)
	for _, name := range c.names() {
		k := c.members[name]
		if used+Size(k.Member) > capacity {
			c.send(addr, m)
			m, used = Message{Kind: ExchangeReply, To: to}, 0 // only the first message of an exchange is answered
		}
		m.News, used = append(m.News, k.Member), used+Size(k.Member)
	}
	c.send(addr, m)
}
