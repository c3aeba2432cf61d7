package membership

import (
	"cmp"
	"maps"
	"slices"
)

// turnProbe carries the present probe on, or begins the next.
func (c *Core) turnProbe() {
	if p := c.probe; p != nil && !p.relaysAsked && c.now >= p.replyBy {
		p.relaysAsked = true
		if k := c.members[p.name]; k != nil {
			for _, r := range c.pick(c.t.Relays, func(o *known) bool { return o.State == Alive && o.Name != p.name }) {
				p.asked++
				c.send(r.Addr, Message{Kind: Relay, Seq: p.seq, To: r.Name, Target: k.Member})
			}
		}
	}
	if p := c.probe; p != nil && c.now >= p.endBy {
		c.probe = nil
		c.Counts.Failed++
		// Relays that are not heard either speak against this member, not against the one that was probed.
		c.worse(cmp.Or(p.asked-p.nacks, 1))
		if k := c.members[p.name]; k != nil && k.Living() {
			if k.State == Alive {
				c.Counts.Suspected++
			}
			accused := k.Member
			accused.State, accused.By = Suspect, c.self.Name
			c.learn(accused)
		}
		c.probeAt = max(c.probeAt, c.now)
	}
	if c.probe != nil || c.now < c.probeAt {
		return
	}
	c.probeAt = c.now + c.t.Probe
	k := c.turnOf()
	if k == nil {
		return
	}
	slower := float64(c.health + 1)
	c.seq++
	c.Counts.Probes++
	c.probe = &probe{name: k.Name, seq: c.seq, begun: c.now, replyBy: c.now + c.t.Reply*slower,
		endBy: c.now + c.t.Probe*slower}
	c.send(k.Addr, Message{Kind: Ping, Seq: c.seq, To: k.Name})
}

// turnOf is the member whose turn it is: each once a round, in an order drawn for the round.
func (c *Core) turnOf() *known {
	for tries := 0; tries <= len(c.round); tries++ {
		if c.next >= len(c.round) {
			c.round, c.next = c.round[:0], 0
			for name, k := range c.members {
				if k.Living() {
					c.round = append(c.round, name)
				}
			}
			slices.Sort(c.round)
			c.rnd.Shuffle(len(c.round), func(i, j int) { c.round[i], c.round[j] = c.round[j], c.round[i] })
			if len(c.round) == 0 {
				return nil
			}
		}
		c.next++
		if k := c.members[c.round[c.next-1]]; k != nil && k.Living() {
			return k
		}
	}
	return nil
}

func (c *Core) turnSuspects() {
	for _, name := range slices.Sorted(maps.Keys(c.doubted)) {
		if k := c.doubted[name]; c.now >= k.deadline() {
			dead := k.Member
			dead.State, dead.By = Dead, c.self.Name
			c.learn(dead)
		}
	}
}

func (c *Core) turnRelays() {
	for _, seq := range slices.Sorted(maps.Keys(c.relays)) {
		r := c.relays[seq]
		if !r.nacked && c.now >= r.nackAt {
			r.nacked = true
			c.send(r.addr, Message{Kind: Nack, Seq: r.seq, To: r.to})
		}
		if c.now >= r.endBy {
			delete(c.relays, seq)
		}
	}
}

// names lists the members in order. Nobody may keep or change it.
func (c *Core) names() []string {
	if c.sorted == nil {
		c.sorted = slices.AppendSeq(make([]string, 0, len(c.members)), maps.Keys(c.members))
		slices.Sort(c.sorted)
	}
	return c.sorted
}
