// Package membership is a failure detector: it maintains one broker's view of which brokers are alive. It performs no
// I/O, reads no clock and starts no goroutine. The caller passes in messages and the time, and gets back messages to
// send and state changes. The same input always gives the same output.
//
// It follows SWIM (Das, Gupta, Motivala 2002): each member probes one other at a time in a shuffled round, probes
// indirectly through others when no answer arrives, and piggybacks membership updates on the probes. From Lifeguard
// (Dadgar, Phillips, Currey 2018) it takes the suspicion timeout that shortens with every further accuser, the local
// health score, the negative acknowledgements of relays, and informing a suspect of the suspicion with the next
// probe. docs/duties.md lists the differences and their reasons.
package membership

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// memberEntry is the local record of another member.
type memberEntry struct {
	Member
	stateSince     float64             // when its state changed
	heardAt        float64             // when its last message arrived
	accusers       map[string]struct{} // members that suspect it
	accusersNeeded int                 // further accusers that shorten the suspicion timeout to its minimum
	suspectedAt    float64             // when the suspicion started
	minTimeout     float64             // minimum suspicion timeout
	maxTimeout     float64             // maximum suspicion timeout
}

// deadline returns the time at which a suspect is declared dead.
func (k *memberEntry) deadline() float64 {
	if k.accusersNeeded < 1 {
		return k.suspectedAt + k.minTimeout
	}
	share := math.Log(float64(len(k.accusers))) / math.Log(float64(k.accusersNeeded)+1)
	return k.suspectedAt + max(k.minTimeout, k.maxTimeout-(k.maxTimeout-k.minTimeout)*share)
}

// probe is the probe in progress.
type probe struct {
	name            string
	seq             uint32
	startedAt       float64
	replyBy         float64
	endBy           float64
	relaysRequested int
	nacks           int
	indirect        bool
}

// relay is an indirect probe made on behalf of another member.
type relay struct {
	requesterAddr string // the requester's address
	requester     string
	requesterSeq  uint32
	target        string
	nackAt        float64
	nacked        bool
	endBy         float64
}

// Core is one member's view of the cluster. It is not safe for concurrent use.
type Core struct {
	Counts Counts

	timing     Timing
	self       Member
	rng        *rand.Rand
	cargo      Cargo
	now        float64
	out        []Output
	members    map[string]*memberEntry // all but this member
	probeRound []string                // probe order of the current round
	probeNext  int
	seq        uint32
	probe      *probe
	relays     map[uint32]*relay
	seeds      []string
	updates    updateQueue
	health     int      // local health score; 0 is healthy
	sorted     []string // cache of the sorted member names; nil when stale
	suspects   map[string]*memberEntry
	version    int // incremented with each change of the view

	probeAt, gossipAt, exchangeAt, rejoinAt, forgetAt, leaveAt float64
	started, left                                              bool
}

// New returns the view of a member that knows no other. Its incarnation must exceed those of its earlier processes, so
// callers take it from the wall clock; if it does not, updates from the other members raise it. Cargo may be nil.
func New(self Member, timing Timing, seed uint64, cargo Cargo) *Core {
	self.State, self.Weight = Alive, cmp.Or(max(self.Weight, 0), 1)
	std := Standard()
	for _, f := range [][2]*float64{{&timing.ProbeInterval, &std.ProbeInterval}, {&timing.ProbeTimeout, &std.ProbeTimeout}, {&timing.Gossip, &std.Gossip},
		{&timing.Exchange, &std.Exchange}, {&timing.RejoinInterval, &std.RejoinInterval}, {&timing.DeadRetention, &std.DeadRetention}, {&timing.LeaveDuration, &std.LeaveDuration},
		{&timing.SuspicionMult, &std.SuspicionMult}, {&timing.MaxSuspicionMult, &std.MaxSuspicionMult}} {
		*f[0] = cmp.Or(*f[0], *f[1])
	}
	for _, f := range [][2]*int{{&timing.IndirectProbes, &std.IndirectProbes}, {&timing.Fanout, &std.Fanout}, {&timing.RetransmitMult, &std.RetransmitMult},
		{&timing.MaxMessageBytes, &std.MaxMessageBytes}, {&timing.MaxMembers, &std.MaxMembers}} {
		*f[0] = cmp.Or(*f[0], *f[1])
	}
	return &Core{timing: timing, self: self, rng: rand.New(rand.NewPCG(seed, self.Boot)), cargo: cargo,
		members: map[string]*memberEntry{}, relays: map[uint32]*relay{}, updates: updateQueue{}, suspects: map[string]*memberEntry{}}
}

// Version returns a counter that grows with each change of the result of Members, except changes of MemberStatus.Heard.
func (c *Core) Version() int { return c.version }

// Self returns this member as it announces itself.
func (c *Core) Self() Member { return c.self }

// Health returns the local health score: 0 is healthy, 8 is the worst.
func (c *Core) Health() int { return c.health }

// MemberStatus is a member and the local times of its last changes.
type MemberStatus struct {
	Member
	Since float64 `json:"since"` // when its state changed, by the local clock
	Heard float64 `json:"heard"` // when its last message arrived
}

// Members returns all known members including this one, sorted by name.
func (c *Core) Members() []MemberStatus {
	all := []MemberStatus{{Member: c.self, Heard: c.now}}
	for _, k := range c.members {
		all = append(all, MemberStatus{Member: k.Member, Since: k.stateSince, Heard: k.heardAt})
	}
	slices.SortFunc(all, func(a, b MemberStatus) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// EntryCount returns the number of entries in memory: members, queued updates and relays. Timing.MaxMembers and the
// updates kept per member bound it.
func (c *Core) EntryCount() int { return len(c.members) + len(c.updates) + len(c.relays) }

// Living returns the number of members that are alive or suspect, including this one.
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

// Due returns the time at which Step must be called next if no input arrives.
func (c *Core) Due() float64 {
	if !c.started {
		return math.Inf(-1)
	}
	if c.left {
		if c.leaveAt > 0 {
			return min(c.leaveAt, c.gossipAt)
		}
		return math.Inf(1)
	}
	at := min(c.exchangeAt, c.rejoinAt, c.forgetAt)
	if len(c.updates) > 0 || c.cargo != nil && c.cargo.Urgent() {
		at = min(at, c.gossipAt)
	}
	if p := c.probe; p == nil {
		at = min(at, c.probeAt)
	} else if p.indirect {
		at = min(at, p.endBy)
	} else {
		at = min(at, p.replyBy)
	}
	for _, k := range c.suspects {
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

// Step processes the inputs received by now and the timers that have expired, and returns the outputs.
func (c *Core) Step(now float64, in []Input) []Output {
	c.out = nil
	c.detectStall(now)
	c.now = max(c.now, now)
	if !c.started {
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
		c.announceLeave()
		return c.out
	}
	c.advanceRelays()
	c.advanceProbe()
	c.expireSuspects()
	if c.now >= c.exchangeAt {
		c.exchangeAt = c.now + c.timing.Exchange
		if k := c.sample(1, func(k *memberEntry) bool { return k.Living() }); len(k) == 1 {
			c.exchange(Exchange, k[0].Addr, k[0].Name)
		}
	}
	if c.now >= c.rejoinAt {
		c.rejoinAt = c.now + c.timing.RejoinInterval
		c.rejoin()
	}
	if c.now >= c.forgetAt {
		c.forgetAt = c.now + c.timing.DeadRetention/4
		c.reapMembers()
	}
	if c.now >= c.gossipAt {
		c.gossipAt = c.now + c.timing.Gossip
		if len(c.updates) > 0 || c.cargo != nil && c.cargo.Urgent() {
			for _, k := range c.sample(c.timing.Fanout, func(k *memberEntry) bool { return k.Living() }) {
				c.send(k.Addr, Message{Kind: Gossip, To: k.Name})
			}
		}
	}
	return c.out
}

// begin randomizes the first timers, so that members that start together do not act in step.
func (c *Core) begin() {
	c.started = true
	c.probeAt = c.now + c.rng.Float64()*c.timing.ProbeInterval
	c.gossipAt = c.now + c.rng.Float64()*c.timing.Gossip
	c.exchangeAt = c.now + (0.5+c.rng.Float64())*c.timing.Exchange
	c.rejoinAt = c.now
	c.forgetAt = c.now + c.timing.DeadRetention/4
}

// detectStall detects that this process was paused: a timer expired long ago and Step was not called. Answers may have
// arrived unread in that time, so it must not count against the other members: detectStall extends the deadlines of
// the current probe and of all suspicions by the length of the pause.
func (c *Core) detectStall(now float64) {
	if !c.started || c.left {
		return
	}
	late := now - max(c.Due(), c.now)
	if late <= c.timing.ProbeTimeout {
		return
	}
	c.Counts.Stalls++
	c.adjustHealth(1)
	if p := c.probe; p != nil {
		p.replyBy, p.endBy = p.replyBy+late, p.endBy+late
	}
	for _, k := range c.suspects {
		k.suspectedAt += late
	}
}

// receive processes one message.
func (c *Core) receive(r Received) {
	m := r.Message
	if m.From == c.self.Name || m.To != "" && m.To != c.self.Name {
		if m.From == c.self.Name {
			c.Counts.Conflicts++
		}
		return // sent to a former user of this address, or by another process with this member's name
	}
	if k := c.members[m.From]; k != nil {
		k.heardAt = c.now
	}
	fromExchange := m.Kind == Exchange || m.Kind == ExchangeReply
	for _, u := range m.News {
		if k := c.members[u.Name]; fromExchange && u.State == Dead && k != nil && k.Living() {
			// This may be outdated state from one side of a partition. The member gets the chance to refute it.
			u.State, u.By = Suspect, m.From
		}
		c.merge(u)
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
		if p := c.probe; p != nil && p.seq == m.Seq && p.nacks < p.relaysRequested {
			p.nacks++
		}
	case Relay:
		if len(c.relays) >= maxRelays {
			c.Counts.Dropped++
			return
		}
		c.seq++
		c.Counts.Relayed++
		c.relays[c.seq] = &relay{requesterAddr: r.Addr, requester: m.From, requesterSeq: m.Seq, target: m.Target.Name,
			nackAt: c.now + nackTimeoutRatio*c.timing.ProbeTimeout, endBy: c.now + c.timing.ProbeInterval}
		c.send(m.Target.Addr, Message{Kind: Ping, Seq: c.seq, To: m.Target.Name})
	case Exchange:
		c.exchange(ExchangeReply, r.Addr, m.From)
	}
}

// acked completes the relay or the probe that an Ack answers.
func (c *Core) acked(m Message) {
	if r := c.relays[m.Seq]; r != nil && r.target == m.From {
		delete(c.relays, m.Seq)
		c.send(r.requesterAddr, Message{Kind: Ack, Seq: r.requesterSeq, To: r.requester, Target: Member{Name: r.target}})
		return
	}
	p := c.probe
	if p == nil || p.seq != m.Seq || p.name != m.From && p.name != m.Target.Name {
		return
	}
	if k := c.members[p.name]; k != nil {
		k.heardAt = c.now
	}
	c.probe = nil
	c.adjustHealth(-1)
}

// adjustHealth changes the local health score; probe timeouts scale with it.
func (c *Core) adjustHealth(by int) { c.health = min(max(c.health+by, 0), maxHealth) }
