package membership

import (
	"slices"
)

// rejoin starts an exchange with an address that should have a live member and has none: a seed, or the address of a
// dead member. After a network partition heals, nothing else would merge the two sides.
func (c *Core) rejoin() {
	liveAddrs := map[string]bool{}
	for _, k := range c.members {
		if k.Living() {
			liveAddrs[k.Addr] = true
		}
	}
	var missing []string
	for _, a := range c.seeds {
		if !liveAddrs[a] {
			missing = append(missing, a)
		}
	}
	for _, name := range c.names() {
		if k := c.members[name]; k.State == Dead && !liveAddrs[k.Addr] && !slices.Contains(missing, k.Addr) {
			missing = append(missing, k.Addr)
		}
	}
	if len(missing) == 0 {
		return
	}
	tries := 1
	if len(c.members) == 0 {
		tries = 3 // no member is known yet
	}
	c.rng.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	for _, a := range missing[:min(tries, len(missing))] {
		c.Counts.Rejoined++
		c.exchange(Exchange, a, "")
	}
}

// reapMembers removes members that have been dead or left for longer than Timing.DeadRetention.
func (c *Core) reapMembers() {
	for name, k := range c.members {
		if !k.Living() && c.now-k.stateSince > c.timing.DeadRetention {
			delete(c.members, name)
			delete(c.updates, name)
			c.sorted = nil
			c.version++
		}
	}
	c.probeRound = slices.DeleteFunc(c.probeRound, func(name string) bool { return c.members[name] == nil })
	c.probeNext = min(c.probeNext, len(c.probeRound))
}

// leave marks this member as Left and starts announcing it.
func (c *Core) leave() {
	if c.left {
		return
	}
	c.left = true
	c.version++
	c.self.State, c.self.By = Left, c.self.Name
	c.leaveAt, c.gossipAt = c.now+c.timing.LeaveDuration, c.now
	c.probe, c.relays = nil, map[uint32]*relay{}
}

// announceLeave gossips that this member leaves, until Timing.LeaveDuration has passed.
func (c *Core) announceLeave() {
	if c.leaveAt == 0 {
		return
	}
	if c.now >= c.gossipAt {
		c.gossipAt = c.now + c.timing.Gossip
		for _, k := range c.sample(c.timing.Fanout*2, func(k *memberEntry) bool { return k.Living() }) {
			c.send(k.Addr, Message{Kind: Gossip, To: k.Name, News: []Member{c.self}})
		}
	}
	if c.now >= c.leaveAt {
		c.leaveAt = 0
	}
}

// LeaveComplete reports whether this member has left and has announced it for Timing.LeaveDuration.
func (c *Core) LeaveComplete() bool { return c.left && c.leaveAt == 0 }
