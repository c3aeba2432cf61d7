// Package memberstate combines the state machines of one member: membership, duties (which member does which item when), leases and their tasks (what only
// one member may do at a time), limits, and verdicts on stores. Like them it does no I/O and reads no clock. It routes messages to them, passes the results of one to the
// others, and resolves members' addresses.
package memberstate

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"gullstair/internal/duties"
	"gullstair/internal/lease"
	"gullstair/internal/limitshare"
	"gullstair/internal/membership"
	"gullstair/internal/tasks"
	"gullstair/internal/verdicts"
)

// Plan is a member's configuration.
type Plan struct {
	Name, Addr  string
	Boot        uint64            // number of this process; different at each start
	Incarnation uint64            // greater than those of earlier processes
	Weight      float64           // determines this member's share of the items
	Roster      map[string]string // addresses of the configured members by name, this one included; empty: any member may join
	Seeds       []string          // further addresses to contact
	Timing      membership.Timing
	Duties      []duties.Duty
	Tasks       []tasks.Task
	Longest     float64           // ms; the longest term of a manual lease; 0: no such leases
	LeasesMost  int               // most leases kept besides those of tasks
	Drift       float64           // bound on the relative clock drift
	Floor       uint64            // a fencing token that no earlier holder has exceeded
	Votes       *Votes            // nil: votes are not stored
	Seed        uint64            // seed of the random numbers
	Limits      Limits            // nil: no limits are shared
	Verdicts    *verdicts.Rules   // rules for verdicts on stores; nil: verdicts are not shared
	Orders      []verdicts.Stored // operators' orders on stores, as stored
	Notes       bool              // modules' notes are exchanged
}

// Limits divides limits among the members. Unlike the other parts, it may be used by other goroutines at the same time.
type Limits interface {
	Step(now float64, in []limitshare.Input) []limitshare.Send
	Due() float64
}

// Votes holds the votes stored by earlier processes of this member. Sound means that none are missing.
type Votes struct {
	Records []lease.Record
	Sound   bool
}

// Envelope is the content of one datagram: exactly one of its eight parts is set.
type Envelope struct {
	From, To string
	Member   *membership.Message
	Page     *duties.Page
	Leases   []lease.Message
	Order    *tasks.Order
	Answer   *tasks.Answer
	Limits   []limitshare.Message
	Verdicts *verdicts.Message
	Note     []byte
}

// Note is a module's message: as an input it goes to all other brokers, as an output it comes from another broker.
type Note struct{ Data []byte }

// Input is a Received, Note, verdicts.Outcome, verdicts.TenantThrottled, verdicts.Stores, verdicts.Set, Leave, duties.Items, duties.Finished, tasks.Ended, tasks.Hold, tasks.Close, tasks.Order, lease.Stored or
// lease.DiskLost.
type Input any

// Received is a received envelope with its source address. The carrier has authenticated From.
type Received struct {
	Addr     string
	Envelope Envelope
}

// Leave makes this member release everything it holds and announce to the others that it leaves.
type Leave struct{}

// Output is a Send, Note, verdicts.Verdict, verdicts.Stored, duties.Turn, duties.Reported, membership.Changed, lease.Store, tasks.Begin, tasks.Extend, tasks.Cancel, tasks.Answer,
// tasks.Granted, tasks.Extended or tasks.Revoked.
type Output any

// Send is an envelope to send.
type Send struct {
	Addr     string
	Envelope Envelope
}

// Core is the state machine of one member. It is not safe for concurrent use.
type Core struct {
	Members *membership.Core
	Duties  *duties.Scheduler
	Leases  *lease.Machine
	Tasks   *tasks.Scheduler
	Holds   *tasks.Holds
	Stores  *verdicts.Core // nil: verdicts are not shared

	plan          Plan
	orders        map[uint64]*pendingOrder
	orderSenders  []orderSender
	addrs         map[string]string
	receivedLoads []receivedLoad
	view          []duties.Member
	viewVersion   int // version of the member list from which view was made, plus one
	now           float64
	started       bool
	out           []Output
}

type receivedLoad struct {
	from string
	data []byte
}

// pendingOrder is an order for the holder of a lease that has not been answered.
type pendingOrder struct {
	tasks.Order
	nextTry, deadline float64
}

type orderSender struct {
	name string
	id   uint64
}

const (
	maxOrders          = 64
	orderRetryMs       = 250.0  // ms between two attempts to reach a lease's holder
	orderTimeoutMs     = 1500.0 // ms
	maxMessageBytes    = 1100   // most bytes of messages of leases or limits in one envelope
	limitOverheadBytes = 80     // size of a limit's message without its names
)

const sendsPerLog = 2 // a record is forwarded this many times the decimal logarithm of the number of members

// New creates a member that knows only its plan.
func New(p Plan) *Core {
	c := &Core{plan: p, addrs: maps.Clone(p.Roster)}
	if c.addrs == nil {
		c.addrs = map[string]string{}
	}
	roster := slices.Sorted(maps.Keys(p.Roster))
	random := rand.New(rand.NewPCG(p.Seed, p.Boot^0x1ea5e))
	c.Members = membership.New(membership.Member{Name: p.Name, Addr: p.Addr, Boot: p.Boot,
		Incarnation: p.Incarnation, Weight: p.Weight}, p.Timing, p.Seed, dutyPiggyback{c})
	c.Duties = duties.New(p.Name, roster, p.Duties, p.Seed)
	c.Tasks = tasks.New(p.Name, p.Tasks)
	fixed := c.Tasks.Leases()
	c.Leases = lease.New(p.Name, p.Boot, roster, lease.Rules{Drift: p.Drift, MaxTerm: p.Longest, MaxLeases: len(fixed) + p.LeasesMost,
		Fixed: fixed}, p.Floor, random.Float64)
	if p.Votes != nil {
		c.Leases.Restore(p.Votes.Records, p.Votes.Sound)
	}
	c.Holds = tasks.NewHolds(p.Name, c.Leases.Holder)
	if p.Verdicts != nil {
		c.Stores = verdicts.New(*p.Verdicts, random.Float64)
	}
	c.orders = map[uint64]*pendingOrder{}
	return c
}

// Due returns when Step has to be called next if there is no input before.
func (c *Core) Due() float64 {
	if !c.started {
		return math.Inf(-1)
	}
	at := min(c.Members.Due(), c.Duties.Due(), c.Leases.Due(), c.Tasks.Due(), c.Holds.Due())
	for _, o := range c.orders {
		at = min(at, o.nextTry)
	}
	if c.plan.Limits != nil {
		at = min(at, c.plan.Limits.Due())
	}
	if c.Stores != nil {
		at = min(at, c.Stores.Due())
	}
	return at
}

// Step applies the inputs received by now and runs what is due. The time is given by this member's monotonic clock and by its wall clock, in ms.
func (c *Core) Step(now, wall float64, in []Input) []Output {
	c.out, c.now = nil, max(c.now, now)
	var members []membership.Input
	var items []duties.Input
	var l leaseInputs
	var limits []limitshare.Input
	var stores []verdicts.Input
	if !c.started {
		c.started = true
		if c.Stores != nil {
			c.Stores.Restore(c.plan.Orders, now, wall)
			c.plan.Orders = nil
		}
		members = append(members, membership.Join{Addrs: c.seeds()})
		items = append(items, duties.View{Living: c.eligibleMembers()})
	}
	for _, x := range in {
		switch v := x.(type) {
		case Received:
			e := v.Envelope
			switch {
			case e.To != "" && e.To != c.plan.Name || e.From == "":
			case e.Member != nil:
				e.Member.From, e.Member.To = e.From, e.To
				members = append(members, membership.Received{Addr: v.Addr, Message: *e.Member})
			case e.Page != nil:
				items = append(items, duties.Received{From: e.From, Page: *e.Page})
			case e.Leases != nil:
				for _, m := range e.Leases {
					l.leases = append(l.leases, lease.Received{From: e.From, Message: m})
				}
			case e.Limits != nil && c.plan.Limits != nil && c.plan.Roster[e.From] != "":
				for _, m := range e.Limits {
					limits = append(limits, limitshare.Received{From: e.From, Message: m})
				}
			case e.Verdicts != nil && c.addrs[e.From] != "":
				stores = append(stores, verdicts.Received{From: e.From, Message: *e.Verdicts})
			case e.Note != nil && c.plan.Notes && c.addrs[e.From] != "":
				c.out = append(c.out, Note{e.Note})
			case e.Order != nil && c.plan.Roster[e.From] != "":
				l.addOrder(*e.Order)
				c.rememberSender(e.From, e.Order.ID)
			case e.Answer != nil && c.plan.Roster[e.From] != "":
				c.finishOrder(*e.Answer)
			}
		case duties.Items, duties.Finished:
			items = append(items, v)
		case verdicts.Outcome, verdicts.TenantThrottled, verdicts.Stores, verdicts.Set:
			stores = append(stores, v)
		case Note:
			c.sendNote(v)
		case lease.Stored, lease.DiskLost:
			l.leases = append(l.leases, v)
		case tasks.Ended:
			l.tasks = append(l.tasks, v)
		case tasks.Hold, tasks.Close:
			l.holds = append(l.holds, v)
		case tasks.Order:
			c.acceptOrder(v)
		case Leave:
			members = append(members, membership.Leave{})
			items = append(items, duties.Quit{})
			l.tasks, l.holds = append(l.tasks, tasks.Leave{}), append(l.holds, tasks.Leave{})
		}
	}
	c.forwardOrders(&l)
	// Expired leases end before anything else: a member that was paused may do nothing under them.
	c.stepLeases(now, wall, l)
	if len(members) > 0 || c.Members.Due() <= now {
		c.applyMembership(c.Members.Step(now, members))
	}
	for _, n := range c.receivedLoads {
		var load dutyLoad
		if Unmarshal(n.data, &load) == nil {
			c.Duties.ObserveCommonTime(now, load.Common)
			items = append(items, duties.Received{From: n.from, Page: duties.Page{Records: load.Records}})
		}
	}
	c.receivedLoads = nil
	if v := c.Members.Version() + 1; v != c.viewVersion {
		c.view, c.viewVersion = c.eligibleMembers(), v
		items = append(items, duties.View{Living: c.view})
		c.stepLeases(now, wall, leaseInputs{tasks: []tasks.Input{c.tasksView()}})
		limits = append(limits, c.limitsView())
		stores = append(stores, c.otherMembers())
	}
	if c.Stores != nil && (len(stores) > 0 || c.Stores.Due() <= now) {
		for _, o := range c.Stores.Step(now, stores) {
			if s, sends := o.(verdicts.Send); sends {
				c.post(s.To, Envelope{Verdicts: &s.Message})
			} else {
				c.out = append(c.out, o)
			}
		}
		for _, s := range c.Stores.UnstoredOrders(wall) {
			c.out = append(c.out, s)
		}
	}
	if c.plan.Limits != nil && (len(limits) > 0 || c.plan.Limits.Due() <= now) {
		for _, s := range c.plan.Limits.Step(now, limits) {
			c.sendLimits(s)
		}
	}
	if len(items) > 0 || c.Duties.Due() <= now {
		for _, o := range c.Duties.Step(now, items) {
			if s, sends := o.(duties.Send); sends {
				c.post(s.To, Envelope{Page: &s.Page})
			} else {
				c.out = append(c.out, o)
			}
		}
	}
	return c.out
}

func (c *Core) applyMembership(out []membership.Output) {
	for _, o := range out {
		switch v := o.(type) {
		case membership.Send:
			m := v.Message
			c.out = append(c.out, Send{Addr: v.Addr, Envelope: Envelope{From: c.plan.Name, To: m.To, Member: &m}})
		case membership.Changed:
			if v.Member.Living() {
				c.addrs[v.Member.Name] = v.Member.Addr
			} else if c.plan.Roster[v.Member.Name] == "" {
				delete(c.addrs, v.Member.Name)
			}
			c.out = append(c.out, v)
		}
	}
}

// leaseInputs holds the inputs that leases, tasks and holds have for each other.
type leaseInputs struct {
	leases []lease.Input
	tasks  []tasks.Input
	holds  []tasks.Input
}

func (l *leaseInputs) addOrder(o tasks.Order) {
	if tasks.IsManual(o.Lease) {
		l.holds = append(l.holds, o)
	} else {
		l.tasks = append(l.tasks, o)
	}
}

// stepLeases steps leases, tasks and holds until none has input for another.
func (c *Core) stepLeases(now, wall float64, l leaseInputs) {
	for first := true; first || len(l.leases)+len(l.tasks)+len(l.holds) > 0; first = false {
		var next leaseInputs
		for _, o := range c.Leases.Step(now, l.leases) {
			switch v := o.(type) {
			case lease.Send:
				c.sendLeases(v)
			case lease.Store:
				c.out = append(c.out, v)
			default:
				l.tasks, l.holds = append(l.tasks, o), append(l.holds, o)
			}
		}
		var out []tasks.Output
		if len(l.tasks) > 0 || c.Tasks.Due() <= now {
			out = c.Tasks.Step(now, wall, l.tasks)
		}
		if len(l.holds) > 0 || c.Holds.Due() <= now {
			out = append(out, c.Holds.Step(now, wall, l.holds)...)
		}
		for _, o := range out {
			switch v := o.(type) {
			case lease.Want, lease.Write, lease.Drop:
				next.leases = append(next.leases, o)
			case tasks.Answer:
				c.routeAnswer(v)
			default:
				c.out = append(c.out, o)
			}
		}
		l = next
	}
}

// sendLeases packs messages of leases into as few envelopes as possible.
func (c *Core) sendLeases(s lease.Send) {
	for begin, size, i := 0, 0, 0; i <= len(s.Messages); i++ {
		n := 0
		if i < len(s.Messages) {
			n = leaseMessageBytes(s.Messages[i])
		}
		if i == len(s.Messages) || i > begin && size+n > maxMessageBytes {
			c.post(s.To, Envelope{Leases: s.Messages[begin:i]})
			begin, size = i, 0
		}
		size += n
	}
}

// sendLimits packs messages of limits into as few envelopes as possible.
func (c *Core) sendLimits(s limitshare.Send) {
	for begin, size, i := 0, 0, 0; i <= len(s.Messages); i++ {
		n := 0
		if i < len(s.Messages) {
			n = limitOverheadBytes + len(s.Messages[i].Limit) + len(s.Messages[i].Key)
		}
		if i == len(s.Messages) || i > begin && size+n > maxMessageBytes {
			c.post(s.To, Envelope{Limits: s.Messages[begin:i]})
			begin, size = i, 0
		}
		size += n
	}
}

// otherMembers lists the other members that are alive. A suspected member still counts.
func (c *Core) otherMembers() (v verdicts.View) {
	for _, w := range c.view {
		if w.Name != c.plan.Name {
			v.Living = append(v.Living, verdicts.Member{Name: w.Name})
		}
	}
	return v
}

// sendNote sends a module's note to all members that are alive.
func (c *Core) sendNote(n Note) {
	for _, w := range c.view {
		if w.Name != c.plan.Name && c.plan.Notes {
			c.post(w.Name, Envelope{Note: n.Data})
		}
	}
}

// limitsView lists the members that are alive.
func (c *Core) limitsView() (v limitshare.View) {
	for _, w := range c.view {
		v.Living = append(v.Living, w.Name)
	}
	return v
}

// leaseMessageBytes bounds the encoded size of a message: ten numbers of at most nine bytes, names and a note.
func leaseMessageBytes(m lease.Message) int {
	n := 80 + len(m.Lease)
	if m.Note != nil {
		n += 32 + len(m.Note.Data)
	}
	return n
}

// acceptOrder queues an operator's order, which is sent to the lease's holder repeatedly until the holder answers.
func (c *Core) acceptOrder(o tasks.Order) {
	if len(c.orders) >= maxOrders {
		c.out = append(c.out, tasks.Answer{ID: o.ID, Why: "too many orders are pending"})
		return
	}
	c.orders[o.ID] = &pendingOrder{Order: o, nextTry: c.now, deadline: c.now + orderTimeoutMs}
}

func (c *Core) forwardOrders(l *leaseInputs) {
	for _, id := range slices.Sorted(maps.Keys(c.orders)) {
		o := c.orders[id]
		if c.now < o.nextTry {
			continue
		}
		holder, _ := c.Leases.Holder(o.Lease)
		switch {
		case c.now >= o.deadline && holder == "":
			c.finishOrder(tasks.Answer{ID: id, Why: "nobody is known to hold that lease"})
		case c.now >= o.deadline:
			c.finishOrder(tasks.Answer{ID: id, Why: fmt.Sprintf("no answer from %s, which holds the lease: the order may or may not have been carried out", holder)})
		case holder == c.plan.Name:
			l.addOrder(o.Order)
		case holder != "":
			c.post(holder, Envelope{Order: &o.Order})
		}
		o.nextTry = c.now + orderRetryMs
	}
}

// rememberSender records which member gets the answer to an order.
func (c *Core) rememberSender(from string, id uint64) {
	c.orderSenders = append(c.orderSenders, orderSender{from, id})
	if len(c.orderSenders) > maxOrders {
		c.orderSenders = slices.Delete(c.orderSenders, 0, 1)
	}
}

func (c *Core) routeAnswer(a tasks.Answer) {
	if c.orders[a.ID] != nil {
		c.finishOrder(a)
		return
	}
	for i, x := range c.orderSenders {
		if x.id == a.ID {
			c.post(x.name, Envelope{Answer: &a})
			c.orderSenders = slices.Delete(c.orderSenders, i, i+1)
			return
		}
	}
}

func (c *Core) finishOrder(a tasks.Answer) {
	if c.orders[a.ID] != nil {
		delete(c.orders, a.ID)
		c.out = append(c.out, a)
	}
}

func (c *Core) post(to string, e Envelope) {
	if addr := c.addrs[to]; addr != "" {
		e.From, e.To = c.plan.Name, to
		c.out = append(c.out, Send{Addr: addr, Envelope: e})
	}
}

func (c *Core) seeds() []string {
	all := slices.Clone(c.plan.Seeds)
	for _, name := range slices.Sorted(maps.Keys(c.plan.Roster)) {
		all = append(all, c.plan.Roster[name])
	}
	return all
}

// eligibleMembers lists the live members that may get items: only configured ones if there is a roster.
func (c *Core) eligibleMembers() []duties.Member {
	var all []duties.Member
	for _, m := range c.Members.Members() {
		if _, listed := c.plan.Roster[m.Name]; m.Living() && (listed || len(c.plan.Roster) == 0) {
			all = append(all, duties.Member{Name: m.Name, Weight: cmp.Or(m.Weight, 1),
				Suspected: m.State == membership.Suspect})
		}
	}
	return all
}

// tasksView ranks the live members as candidates for each lease, and states whether they are a majority: a candidate without a majority would only
// block votes for others.
func (c *Core) tasksView() tasks.Membership {
	var living []duties.Member
	for _, w := range c.view {
		if c.plan.Roster[w.Name] != "" {
			living = append(living, w)
		}
	}
	return tasks.Membership{Majority: 2*len(living) > len(c.plan.Roster), Rank: func(name string) (all []string) {
		score := func(w duties.Member) float64 { return duties.Score("lease", name, w.Name, w.Weight) }
		for _, w := range slices.SortedStableFunc(slices.Values(living), func(a, b duties.Member) int { return cmp.Compare(score(b), score(a)) }) {
			all = append(all, w.Name)
		}
		return all
	}}
}

// Busy reports whether this member holds a lease under which something may still run.
func (c *Core) Busy() bool { return c.Tasks.HoldsAny() || c.Holds.Open() > 0 }

// dutyPiggyback attaches the duties' records to membership messages.
type dutyPiggyback struct{ core *Core }

// dutyLoad is the encoded form: the members' common time and the records.
type dutyLoad struct {
	Common  float64
	Records []duties.Record
}

const loadOverheadBytes = 16 // size of a load without its records

func (g dutyPiggyback) Load(_ string, room int) []byte {
	n := len(g.core.view)
	load := dutyLoad{Common: g.core.Duties.Common(g.core.now),
		Records: g.core.Duties.Records(g.core.now, room-loadOverheadBytes, sendsPerLog*int(math.Ceil(math.Log10(float64(n+1)))))}
	if room < loadOverheadBytes || len(g.core.plan.Duties) == 0 {
		return nil
	}
	data, err := Marshal(&load)
	if err != nil || len(data) > room {
		return nil
	}
	return data
}

func (g dutyPiggyback) Urgent() bool { return g.core.Duties.HasPending() }

func (g dutyPiggyback) Unload(from string, data []byte) {
	g.core.receivedLoads = append(g.core.receivedLoads, receivedLoad{from, data})
}
