// Package membership decides who of a set of brokers is alive, as this one sees it. It has no I/O, no clock and no
// goroutine: messages and the time go in, messages and changes come out, and the same input gives the same output.
//
// It follows SWIM (Das, Gupta, Motivala 2002): each probes one member at a time in a shuffled round, through others
// where no answer comes, and news travels on the probes. From Lifeguard (Dadgar, Phillips, Currey 2018) come the
// suspicion that shortens with every further accuser, the health that this broker ascribes to itself, the refusals
// of relays, and that a suspect hears of it with the next probe. docs/duties.md says what was changed and why.
package membership

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

type known struct {
	Member
	since    float64             // when its state changed
	heard    float64             // when it was last heard itself
	accusers map[string]struct{} // of a suspect
	need     int                 // further accusers that make the suspicion as short as it gets
	begun    float64             // of the suspicion
	least    float64
	most     float64
}

// deadline is when a suspect is held for dead.
func (k *known) deadline() float64 {
	if k.need < 1 {
		return k.begun + k.least
	}
	share := math.Log(float64(len(k.accusers))) / math.Log(float64(k.need)+1)
	return k.begun + max(k.least, k.most-(k.most-k.least)*share)
}

type probe struct {
	name        string
	seq         uint32
	begun       float64
	replyBy     float64
	endBy       float64
	asked       int
	nacks       int
	relaysAsked bool
}

type relay struct {
	addr   string // who asked
	to     string
	seq    uint32
	target string
	nackAt float64
	nacked bool
	endBy  float64
}

// Core is one member's view. Only one goroutine may call it.
type Core struct {
	Counts Counts

	t       Timing
	self    Member
	rnd     *rand.Rand
	cargo   Cargo
	now     float64
	out     []Output
	members map[string]*known // without this one
	round   []string          // probed in turn
	next    int
	seq     uint32
	probe   *probe
	relays  map[uint32]*relay
	seeds   []string
	news    queue
	health  int      // 0: this member does well
	sorted  []string // names of members, in order; nil: to be made anew
	doubted map[string]*known
	version int // of what is seen: it grows with each change

	probeAt, gossipAt, exchangeAt, rejoinAt, forgetAt, leaveAt float64
	begun, left                                                bool
}

// New makes the view of a member that knows nobody. Its incarnation must be above those of its earlier processes,
// such as the wall clock's; where it is not, the others' memory raises it. Cargo may be nil.
func New(self Member, t Timing, seed uint64, cargo Cargo) *Core {
	self.State, self.Weight = Alive, cmp.Or(max(self.Weight, 0), 1)
	std := Standard()
	for _, f := range [][2]*float64{{&t.Probe, &std.Probe}, {&t.Reply, &std.Reply}, {&t.Gossip, &std.Gossip},
		{&t.Exchange, &std.Exchange}, {&t.Rejoin, &std.Rejoin}, {&t.Forget, &std.Forget}, {&t.Linger, &std.Linger},
		{&t.Suspicion, &std.Suspicion}, {&t.Patience, &std.Patience}} {
		*f[0] = cmp.Or(*f[0], *f[1])
	}
	for _, f := range [][2]*int{{&t.Relays, &std.Relays}, {&t.Fanout, &std.Fanout}, {&t.Retell, &std.Retell},
		{&t.Room, &std.Room}, {&t.Most, &std.Most}} {
		*f[0] = cmp.Or(*f[0], *f[1])
	}
	return &Core{t: t, self: self, rnd: rand.New(rand.NewPCG(seed, self.Boot)), cargo: cargo,
		members: map[string]*known{}, relays: map[uint32]*relay{}, news: queue{}, doubted: map[string]*known{}}
}

// Version grows with each change of what Members lists, but for the moments at which members were heard.
func (c *Core) Version() int { return c.version }

// Self is this member as it tells others of itself.
func (c *Core) Self() Member { return c.self }

// Health is 0 when this member does well, and more the more it has reason to doubt itself; 8 at most.
func (c *Core) Health() int { return c.health }

// Seen is a member with what this one knows of it.
type Seen struct {
	Member
	Since float64 `json:"since"` // when its state changed, by this one's clock
	Heard float64 `json:"heard"` // when it was last heard itself
}

// Members lists all that are known, this one among them, by name.
func (c *Core) Members() []Seen {
	all := []Seen{{Member: c.self, Heard: c.now}}
	for _, k := range c.members {
		all = append(all, Seen{Member: k.Member, Since: k.since, Heard: k.heard})
	}
	slices.SortFunc(all, func(a, b Seen) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Held counts what is kept: members, news that waits, relays. It is bounded by Timing.Most and by what is said of each.
func (c *Core) Held() int { return len(c.members) + len(c.news) + len(c.relays) }

// Living counts the members that are alive or suspect, this one among them.
func (c *Core) Living() int {
	n := 0
	for _, k := range c.members {
		if k.Living() {
			n++
		}
	}
	if !c.left {
		n++
	}
	return n
}

// Due is when Step is wanted next though nothing comes in.
func (c *Core) Due() float64 {
	if !c.begun {
		return math.Inf(-1)
	}
	if c.left {
		if c.leaveAt > 0 {
			return min(c.leaveAt, c.gossipAt)
		}
		return math.Inf(1)
	}
	at := min(c.exchangeAt, c.rejoinAt, c.forgetAt)
	if len(c.news) > 0 || c.cargo != nil && c.cargo.Urgent() {
		at = min(at, c.gossipAt)
	}
	if p := c.probe; p == nil {
		at = min(at, c.probeAt)
	} else if p.relaysAsked {
		at = min(at, p.endBy)
	} else {
		at = min(at, p.replyBy)
	}
	for _, k := range c.doubted {
		at = min(at, k.deadline())
	}
	for _, r := range c.relays {
		if r.nacked {
			at = min(at, r.endBy)
		} else {
			at = min(at, r.nackAt)
		}
	}
	return at
}

// Step takes what came in by now and does what is due.
func (c *Core) Step(now float64, in []Input) []Output {
	c.out = nil
	c.stall(now)
	c.now = max(c.now, now)
	if !c.begun {
		c.begin()
	}
	for _, x := range in {
		switch v := x.(type) {
		case Received:
			c.Counts.Received++
			c.receive(v)
		case Join:
			c.seeds = nil
			for _, a := range v.Addrs {
				if a != c.self.Addr && !slices.Contains(c.seeds, a) {
					c.seeds = append(c.seeds, a)
				}
			}
			c.rejoinAt = c.now
		case Leave:
			c.leave()
		}
	}
	if c.left {
		c.linger()
		return c.out
	}
	c.turnRelays()
	c.turnProbe()
	c.turnSuspects()
	if c.now >= c.exchangeAt {
		c.exchangeAt = c.now + c.t.Exchange
		if k := c.pick(1, func(k *known) bool { return k.Living() }); len(k) == 1 {
			c.exchange(Exchange, k[0].Addr, k[0].Name)
		}
	}
	if c.now >= c.rejoinAt {
		c.rejoinAt = c.now + c.t.Rejoin
		c.rejoin()
	}
	if c.now >= c.forgetAt {
		c.forgetAt = c.now + c.t.Forget/4
		c.forget()
	}
	if c.now >= c.gossipAt {
		c.gossipAt = c.now + c.t.Gossip
		if len(c.news) > 0 || c.cargo != nil && c.cargo.Urgent() {
			for _, k := range c.pick(c.t.Fanout, func(k *known) bool { return k.Living() }) {
				c.send(k.Addr, Message{Kind: Gossip, To: k.Name})
			}
		}
	}
	return c.out
}

// begin spreads the first moments, so that members that start together don't act together.
func (c *Core) begin() {
	c.begun = true
	c.probeAt = c.now + c.rnd.Float64()*c.t.Probe
	c.gossipAt = c.now + c.rnd.Float64()*c.t.Gossip
	c.exchangeAt = c.now + (0.5+c.rnd.Float64())*c.t.Exchange
	c.rejoinAt = c.now
	c.forgetAt = c.now + c.t.Forget/4
}

// stall notices that this member stood still: it was due long ago and nothing happened here. What it waited for may
// have come and gone, and what others did meanwhile it could not see. So nobody is blamed for that time: whatever
// runs against others is put off by it.
func (c *Core) stall(now float64) {
	if !c.begun || c.left {
		return
	}
	late := now - max(c.Due(), c.now)
	if late <= c.t.Reply {
		return
	}
	c.Counts.Stalls++
	c.worse(1)
	if p := c.probe; p != nil {
		p.replyBy, p.endBy = p.replyBy+late, p.endBy+late
	}
	for _, k := range c.doubted {
		k.begun += late
	}
}

// receive takes one message.
func (c *Core) receive(r Received) {
	m := r.Message
	if m.From == c.self.Name || m.To != "" && m.To != c.self.Name {
		if m.From == c.self.Name {
			c.Counts.Conflicts++
		}
		return // an old address of somebody else, or somebody under this member's name
	}
	if k := c.members[m.From]; k != nil {
		k.heard = c.now
	}
	fromExchange := m.Kind == Exchange || m.Kind == ExchangeReply
	for _, u := range m.News {
		if k := c.members[u.Name]; fromExchange && u.State == Dead && k != nil && k.Living() {
			// What one side of a split knew: it may be long past. Whoever is meant gets a chance to say so.
			u.State, u.By = Suspect, m.From
		}
		c.learn(u)
	}
	if c.left {
		return
	}
	if len(m.Cargo) > 0 && c.cargo != nil {
		c.cargo.Unload(m.From, m.Cargo)
	}
	switch m.Kind {
	case Ping:
		c.send(r.Addr, Message{Kind: Ack, Seq: m.Seq, To: m.From})
	case Ack:
		c.acked(m)
	case Nack:
		if p := c.probe; p != nil && p.seq == m.Seq && p.nacks < p.asked {
			p.nacks++
		}
	case Relay:
		if len(c.relays) >= relaysMost {
			c.Counts.Dropped++
			return
		}
		c.seq++
		c.Counts.Relayed++
		c.relays[c.seq] = &relay{addr: r.Addr, to: m.From, seq: m.Seq, target: m.Target.Name,
			nackAt: c.now + nackAfter*c.t.Reply, endBy: c.now + c.t.Probe}
		c.send(m.Target.Addr, Message{Kind: Ping, Seq: c.seq, To: m.Target.Name})
	case Exchange:
		c.exchange(ExchangeReply, r.Addr, m.From)
	}
}

func (c *Core) acked(m Message) {
	if r := c.relays[m.Seq]; r != nil && r.target == m.From {
		delete(c.relays, m.Seq)
		c.send(r.addr, Message{Kind: Ack, Seq: r.seq, To: r.to, Target: Member{Name: r.target}})
		return
	}
	p := c.probe
	if p == nil || p.seq != m.Seq || p.name != m.From && p.name != m.Target.Name {
		return
	}
	if k := c.members[p.name]; k != nil {
		k.heard = c.now
	}
	c.probe = nil
	c.worse(-1)
}

// worse changes what this member thinks of its own health; its waits grow with it.
func (c *Core) worse(by int) { c.health = min(max(c.health+by, 0), healthMost) }
