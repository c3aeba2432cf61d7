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
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

// State is how a member stands. At one incarnation the later one holds, so that news merges alike in any order.
type State uint8

const (
	Alive   State = iota
	Suspect       // it has not answered; it may refute that
	Dead          // it has not answered and not refuted that in time
	Left          // it said that it ends
)

func (s State) String() string {
	if int(s) < len(stateWords) {
		return stateWords[s]
	}
	return "unknown"
}

var stateWords = [...]string{"alive", "suspect", "dead", "left"}

// Member is what is told of a member.
type Member struct {
	Name        string  `json:"name"`
	Addr        string  `json:"addr"`        // where its messages are received
	Boot        uint64  `json:"boot"`        // its process: another number at each start
	Incarnation uint64  `json:"incarnation"` // raised by the member itself, to refute what is said of it
	State       State   `json:"state"`       //
	Weight      float64 `json:"weight"`      // its share of what is divided, against others'
	By          string  `json:"by"`          // who suspects it, or holds it for dead
}

// Living says whether work may be given to it: a suspect still counts.
func (m Member) Living() bool { return m.State <= Suspect }

// supersedes says whether a is later news than b of the same member.
func supersedes(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Boot != b.Boot {
		return a.Boot > b.Boot
	}
	return a.State > b.State
}

// Kind is a message's.
type Kind uint8

const (
	Ping          Kind = iota + 1 // answer me
	Ack                           // the answer
	Relay                         // ping Target for me
	Nack                          // a relay had no answer from the target, but is there itself
	Gossip                        // news alone
	Exchange                      // a page of all that the sender knows; answered alike
	ExchangeReply                 // that answer, and every further page of either
)

// Message goes from one member to another. The carrier vouches for From.
type Message struct {
	Kind   Kind
	Seq    uint32
	From   string
	To     string // whom it is meant for; "" where only the address is known
	Target Member // of a Relay
	News   []Member
	Cargo  []byte // what the layers above send along
}

// Cargo is what the layers above have to send along with messages.
type Cargo interface {
	// Load returns at most room bytes for a message to a member; nil when there is nothing.
	Load(to string, room int) []byte
	// Urgent says whether messages should be sent for its sake alone.
	Urgent() bool
	// Unload takes what came from a member.
	Unload(from string, data []byte)
}

// Timing holds the times in ms and the bounds. Standard gives all of them; a field at 0 is taken from there.
type Timing struct {
	Probe     float64 // one member is probed each so long
	Reply     float64 // a direct answer is awaited for so long, before others are asked to try
	Gossip    float64 // news that waits is sent each so long
	Exchange  float64 // everything is exchanged with one member each so long
	Rejoin    float64 // addresses that should be members' and are not are tried each so long
	Forget    float64 // the dead and those that left are remembered for so long
	Linger    float64 // one that leaves says so for so long
	Relays    int     // members asked to try when no direct answer comes
	Fanout    int     // members that get waiting news each time
	Retell    int     // times the decimal logarithm of the members: how often a piece of news is sent
	Suspicion float64 // times that logarithm and Probe: the least time of a suspicion
	Patience  float64 // times that: the longest, when nobody else suspects
	Room      int     // bytes of a message, as Size counts them
	Most      int     // members that are known at most
}

// Standard is for a local network: a death is seen by all within some seconds.
func Standard() Timing {
	return Timing{Probe: 1000, Reply: 300, Gossip: 200, Exchange: 15000, Rejoin: 3000, Forget: 120000, Linger: 600,
		Relays: 3, Fanout: 3, Retell: 4, Suspicion: 3, Patience: 4, Room: 1200, Most: 1024}
}

// Scaled is Standard with all times multiplied.
func (t Timing) Scaled(by float64) Timing {
	for _, at := range []*float64{&t.Probe, &t.Reply, &t.Gossip, &t.Exchange, &t.Rejoin, &t.Forget, &t.Linger} {
		*at *= by
	}
	return t
}

// Input is a Received, Join or Leave.
type Input any

// Received is a message that came in, with the address it came from.
type Received struct {
	Addr    string
	Message Message
}

// Join names addresses where members should be found. They are tried for as long as nobody living is there.
type Join struct{ Addrs []string }

// Leave begins the end of this member: the others are told for Linger.
type Leave struct{}

// Output is a Send or a Changed.
type Output any

// Send is a message to be sent.
type Send struct {
	Addr    string
	Message Message
}

// Changed says that a member is seen differently: Was is its state before, Known whether it was known.
type Changed struct {
	Member Member
	Was    State
	Known  bool
}

// Counts are kept for the operators.
type Counts struct {
	// probes begun, without any answer, made for others
	Probes  int `json:"probes"`
	Failed  int `json:"failed"`
	Relayed int `json:"relayed"`
	// suspicions begun here, refutations of this member's own
	Suspected int `json:"suspected"`
	Refuted   int `json:"refuted"`
	Conflicts int `json:"conflicts"` // words of another process under this member's name
	Stalls    int `json:"stalls"`    // times this member stood still for longer than a probe may take
	Dropped   int `json:"dropped"`   // news of more members than may be known, or that is impossible
	Sent      int `json:"sent"`
	Received  int `json:"received"`
	Rejoined  int `json:"rejoined"`
}

const (
	healthMost  = 8   // of the score that says how poorly this member does itself
	relaysMost  = 256 // relays open at once
	nackAfter   = 0.8 // of the time that a direct answer has
	memberBytes = 40  // of a member in a message, beside its strings
	headBytes   = 80  // of a message, beside its strings
)

// Size is an upper bound of what a member takes in a message, in bytes.
func Size(m Member) int { return memberBytes + len(m.Name) + len(m.Addr) + len(m.By) }

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
