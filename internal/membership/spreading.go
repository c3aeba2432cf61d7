package membership

import (
	"math"
	"slices"
)

// learn merges one piece of news. Whatever is new is told on.
func (c *Core) learn(u Member) {
	if u.Name == "" || u.State > Left || math.IsNaN(u.Weight) || u.Weight < 0 || u.Weight > 1e6 {
		c.Counts.Dropped++
		return
	}
	if u.Name == c.self.Name {
		c.learnSelf(u)
		return
	}
	k := c.members[u.Name]
	if k == nil {
		if u.State >= Dead {
			return // one that is not known needs no grave
		}
		if len(c.members)+1 >= c.t.Most {
			c.Counts.Dropped++
			return
		}
		k = &known{Member: u, since: c.now, heard: c.now}
		k.State, k.By = Alive, ""
		c.members[u.Name], c.sorted = k, nil
		c.version++
		// Into the present round at a place drawn by chance: it waits no longer for its first probe than others.
		at := c.next + c.rnd.IntN(len(c.round)-c.next+1)
		c.round = slices.Insert(c.round, at, u.Name)
		c.changed(k, Alive, false)
		c.tell(k)
		if u.State == Alive {
			return
		}
	}
	if !supersedes(u, k.Member) {
		if u.State == Suspect && k.State == Suspect && u.Incarnation == k.Incarnation && u.By != "" {
			if _, twice := k.accusers[u.By]; !twice && len(k.accusers) <= k.need {
				k.accusers[u.By] = struct{}{}
				c.news.put(u, c.now) // told on under the accuser's name, since it counts there too
			}
		}
		return
	}
	was := k.State
	k.Member = u
	c.version++
	delete(c.doubted, u.Name)
	if k.State == Alive {
		k.By = ""
	}
	if was != u.State {
		k.since = c.now
	}
	if u.State == Suspect {
		n := c.Living()
		scale := max(1, math.Log10(float64(max(n, 1))))
		k.begun, k.least = c.now, c.t.Suspicion*scale*c.t.Probe
		k.most = k.least * c.t.Patience
		k.need = min(max(n-2, 0), 3)
		k.accusers = map[string]struct{}{u.By: {}}
		c.doubted[u.Name] = k
	} else {
		k.accusers = nil
	}
	if p := c.probe; p != nil && p.name == u.Name && !k.Living() {
		c.probe = nil
	}
	if was != u.State || u.State == Alive {
		c.changed(k, was, true)
	}
	c.tell(k)
}

// learnSelf refutes what is said of this member, if it is not what it says itself.
func (c *Core) learnSelf(u Member) {
	if c.left || u.Incarnation < c.self.Incarnation {
		return
	}
	if u.Boot != c.self.Boot {
		c.Counts.Conflicts++ // an earlier process of this name, or another one now
	} else if u.State == Alive && u.Incarnation == c.self.Incarnation {
		return
	} else {
		c.Counts.Refuted++
		c.worse(1)
	}
	c.self.Incarnation = u.Incarnation + 1
	c.news.put(c.self, c.now)
}

func (c *Core) changed(k *known, was State, wasKnown bool) {
	c.out = append(c.out, Changed{Member: k.Member, Was: was, Known: wasKnown})
}

func (c *Core) tell(k *known) { c.news.put(k.Member, c.now) }

// pick draws up to n members that qualify.
func (c *Core) pick(n int, qualifies func(*known) bool) []*known {
	some, seen := make([]*known, 0, n), 0
	for _, name := range c.names() {
		k := c.members[name]
		if !qualifies(k) {
			continue
		}
		if seen++; len(some) < n {
			some = append(some, k)
		} else if at := c.rnd.IntN(seen); at < n {
			some[at] = k
		}
	}
	return some
}

// send fills a message with what there is to tell and sends it.
func (c *Core) send(addr string, m Message) {
	m.From = c.self.Name
	room := c.t.Room - headBytes - len(m.From) - len(m.To)
	if m.Target.Name != "" {
		room -= Size(m.Target)
	}
	for _, u := range m.News {
		room -= Size(u)
	}
	if m.Kind != Exchange && m.Kind != ExchangeReply {
		if k := c.members[m.To]; k != nil && k.State == Suspect && Size(k.Member) <= room {
			m.News = append(m.News, k.Member) // it must hear of it, or it can't refute it
			room -= Size(k.Member)
		}
		m.News, room = c.news.take(m.News, room, c.tellTimes())
	}
	if c.cargo != nil && room > 16 {
		m.Cargo = c.cargo.Load(m.To, room)
	}
	c.Counts.Sent++
	c.out = append(c.out, Send{Addr: addr, Message: m})
}

func (c *Core) tellTimes() int {
	return c.t.Retell * int(math.Ceil(math.Log10(float64(len(c.members)+2))))
}

// exchange sends all that is known, in as many messages as it takes.
func (c *Core) exchange(kind Kind, addr, to string) {
	room := c.t.Room - headBytes - len(c.self.Name) - len(to)
	m, used := Message{Kind: kind, To: to, News: []Member{c.self}}, Size(c.self)
	for _, name := range c.names() {
		k := c.members[name]
		if used+Size(k.Member) > room {
			c.send(addr, m)
			m, used = Message{Kind: ExchangeReply, To: to}, 0 // one message of an exchange is answered
		}
		m.News, used = append(m.News, k.Member), used+Size(k.Member)
	}
	c.send(addr, m)
}
