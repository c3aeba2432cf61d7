package membership

import (
	"slices"
)

// rejoin tries an address where somebody should be and nobody living is: a seed, or one that was held for dead. After
// a split nothing else would bring the sides together.
func (c *Core) rejoin() {
	at := map[string]bool{}
	for _, k := range c.members {
		if k.Living() {
			at[k.Addr] = true
		}
	}
	var missing []string
	for _, a := range c.seeds {
		if !at[a] {
			missing = append(missing, a)
		}
	}
	for _, name := range c.names() {
		if k := c.members[name]; k.State == Dead && !at[k.Addr] && !slices.Contains(missing, k.Addr) {
			missing = append(missing, k.Addr)
		}
	}
	if len(missing) == 0 {
		return
	}
	tries := 1
	if len(c.members) == 0 {
		tries = 3 // nobody to hear from yet
	}
	c.rnd.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	for _, a := range missing[:min(tries, len(missing))] {
		c.Counts.Rejoined++
		c.exchange(Exchange, a, "")
	}
}

// forget releases those that have been gone for long.
func (c *Core) forget() {
	for name, k := range c.members {
		if !k.Living() && c.now-k.since > c.t.Forget {
			delete(c.members, name)
			delete(c.news, name)
			c.sorted = nil
			c.version++
		}
	}
	c.round = slices.DeleteFunc(c.round, func(name string) bool { return c.members[name] == nil })
	c.next = min(c.next, len(c.round))
}

func (c *Core) leave() {
	if c.left {
		return
	}
	c.left = true
	c.version++
	c.self.State, c.self.By = Left, c.self.Name
	c.leaveAt, c.gossipAt = c.now+c.t.Linger, c.now
	c.probe, c.relays = nil, map[uint32]*relay{}
}

// linger tells the others of the end, until the time for it is over.
func (c *Core) linger() {
	if c.leaveAt == 0 {
		return
	}
	if c.now >= c.gossipAt {
		c.gossipAt = c.now + c.t.Gossip
		for _, k := range c.pick(c.t.Fanout*2, func(k *known) bool { return k.Living() }) {
			c.send(k.Addr, Message{Kind: Gossip, To: k.Name, News: []Member{c.self}})
		}
	}
	if c.now >= c.leaveAt {
		c.leaveAt = 0
	}
}

// Gone says that this member has left and told so for long enough.
func (c *Core) Gone() bool { return c.left && c.leaveAt == 0 }
