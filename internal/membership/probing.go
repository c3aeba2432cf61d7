package membership

import (
	"cmp"
	"maps"
	"slices"
)

// advanceProbe advances the current probe or starts the next one.
func (c *Core) advanceProbe() {
	if p := c.probe; p != nil && !p.indirect && c.now >= p.replyBy {
		p.indirect = true
		if k := c.members[p.name]; k != nil {
			for _, r := range c.sample(c.timing.IndirectProbes, func(o *memberEntry) bool { return o.State == Alive && o.Name != p.name }) {
				p.relaysRequested++
				c.send(r.Addr, Message{Kind: Relay, Seq: p.seq, To: r.Name, Target: k.Member})
			}
		}
	}
	if p := c.probe; p != nil && c.now >= p.endBy {
		c.probe = nil
		c.Counts.Failed++
		// Relays that send no Nack either suggest that this member is unhealthy, not the probed one.
		c.adjustHealth(cmp.Or(p.relaysRequested-p.nacks, 1))
		if k := c.members[p.name]; k != nil && k.Living() {
			if k.State == Alive {
				c.Counts.Suspected++
			}
			accused := k.Member
			accused.State, accused.By = Suspect, c.self.Name
			c.merge(accused)
		}
		c.probeAt = max(c.probeAt, c.now)
	}
	if c.probe != nil || c.now < c.probeAt {
		return
	}
	c.probeAt = c.now + c.timing.ProbeInterval
	k := c.nextProbeTarget()
	if k == nil {
		return
	}
	factor := float64(c.health + 1)
	c.seq++
	c.Counts.Probes++
	c.probe = &probe{name: k.Name, seq: c.seq, startedAt: c.now, replyBy: c.now + c.timing.ProbeTimeout*factor,
		endBy: c.now + c.timing.ProbeInterval*factor}
	c.send(k.Addr, Message{Kind: Ping, Seq: c.seq, To: k.Name})
}

// nextProbeTarget returns the next member to probe. Each member is probed once per round, in a random order.
func (c *Core) nextProbeTarget() *memberEntry {
	for tries := 0; tries <= len(c.probeRound); tries++ {
		if c.probeNext >= len(c.probeRound) {
			c.probeRound, c.probeNext = c.probeRound[:0], 0
			for name, k := range c.members {
				if k.Living() {
					c.probeRound = append(c.probeRound, name)
				}
			}
			slices.Sort(c.probeRound)
			c.rng.Shuffle(len(c.probeRound), func(i, j int) { c.probeRound[i], c.probeRound[j] = c.probeRound[j], c.probeRound[i] })
			if len(c.probeRound) == 0 {
				return nil
			}
		}
		c.probeNext++
		if k := c.members[c.probeRound[c.probeNext-1]]; k != nil && k.Living() {
			return k
		}
	}
	return nil
}

// expireSuspects declares members dead whose suspicion has timed out.
func (c *Core) expireSuspects() {
	for _, name := range slices.Sorted(maps.Keys(c.suspects)) {
		if k := c.suspects[name]; c.now >= k.deadline() {
			dead := k.Member
			dead.State, dead.By = Dead, c.self.Name
			c.merge(dead)
		}
	}
}

// advanceRelays sends due Nacks and removes expired relays.
func (c *Core) advanceRelays() {
	for _, seq := range slices.Sorted(maps.Keys(c.relays)) {
		r := c.relays[seq]
		if !r.nacked && c.now >= r.nackAt {
			r.nacked = true
			c.send(r.requesterAddr, Message{Kind: Nack, Seq: r.requesterSeq, To: r.requester})
		}
		if c.now >= r.endBy {
			delete(c.relays, seq)
		}
	}
}

// names returns the sorted member names. Callers must neither keep nor modify the slice.
func (c *Core) names() []string {
	if c.sorted == nil {
		c.sorted = slices.AppendSeq(make([]string, 0, len(c.members)), maps.Keys(c.members))
		slices.Sort(c.sorted)
	}
	return c.sorted
}
