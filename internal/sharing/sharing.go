// Package sharing puts one member's shared duties together: who lives (membership), who does which item when (duties)
// and who alone may do what must not happen twice (lease). Like them it has no I/O and no clock; it passes what one of
// them decides to the others and names the addresses.
package sharing

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"gullstair/internal/duties"
	"gullstair/internal/lease"
	"gullstair/internal/membership"
	"gullstair/internal/shares"
	"gullstair/internal/tasks"
	"gullstair/internal/verdicts"
)

// Plan is what a member is given at its start.
type Plan struct {
	Name, Addr  string
	Boot        uint64            // of this process: another number at each start
	Incarnation uint64            // above those of earlier processes
	Weight      float64           // its share of the items
	Roster      map[string]string // the configured members' addresses by name, this one's among them; empty: whoever joins
	Seeds       []string          // further addresses where members may be found
	Timing      membership.Timing
	Duties      []duties.Duty
	Tasks       []tasks.Task
	Longest     float64           // ms; no lease that is held by hand has a longer term; 0: none is
	LeasesMost  int               // leases that are kept beside those of tasks
	Drift       float64           // share by which a clock may run wrong
	Floor       uint64            // a fencing number that no earlier holder has passed
	Votes       *Votes            // nil: votes are not stored
	Seed        uint64            // for chance
	Limits      Limits            // nil: none are shared
	Verdicts    *verdicts.Rules   // of stores; nil: none are shared
	Orders      []verdicts.Stored // operators' orders on stores that lasted
	Notes       bool              // the modules' notes travel
}

// Limits share limits with the other members. Unlike the rest it may be in use elsewhere at once.
type Limits interface {
	Step(now float64, in []shares.Input) []shares.Send
	Due() float64
}

// Votes are those that were stored by earlier processes of this member. Sound says that they are all there are.
type Votes struct {
	Records []lease.Record
	Sound   bool
}

// Envelope is what travels in one datagram: one of the eight.
type Envelope struct {
	From, To string
	Member   *membership.Message
	Page     *duties.Page
	Leases   []lease.Message
	Order    *tasks.Order
	Answer   *tasks.Answer
	Limits   []shares.Message
	Verdicts *verdicts.Message
	Note     []byte
}

// Note is what this broker's module tells all others, as an input, or what another one's tells this one, as an output.
type Note struct{ Data []byte }

// Input is an Arrived, Note, verdicts.Saw, verdicts.HeldBack, verdicts.Stores, verdicts.Set, Leave, duties.Items, duties.Finished, tasks.Ended, tasks.Hold, tasks.Close, tasks.Order, lease.Stored or
// lease.DiskLost.
type Input any

// Arrived is an envelope with the address it came from. The carrier vouches for its From.
type Arrived struct {
	Addr     string
	Envelope Envelope
}

// Leave ends this member's part: it holds nothing any more and tells the others.
type Leave struct{}

// Output is a Post, Note, verdicts.Verdict, verdicts.Stored, duties.Turn, duties.Heard, membership.Changed, lease.Store, or one of tasks: Begin, Extend, Cancel, Answer, Granted,
// Extended and Revoked.
type Output any

// Post is an envelope to be sent.
type Post struct {
	Addr     string
	Envelope Envelope
}

// Core is one member. Only one goroutine may call it.
type Core struct {
	Members *membership.Core
	Duties  *duties.Core
	Leases  *lease.Core
	Tasks   *tasks.Core
	Holds   *tasks.Holds
	Stores  *verdicts.Core // nil: no verdicts are shared

	plan    Plan
	orders  map[uint64]*ordered
	askers  []asker
	addrs   map[string]string
	arrived []sharedNews
	view    []duties.Weighted
	seen    int // version of the members that view was made of, plus one
	now     float64
	begun   bool
	out     []Output
}

type sharedNews struct {
	from string
	data []byte
}

// ordered is an order for the holder of a lease that has not been answered.
type ordered struct {
	tasks.Order
	next, until float64
}

type asker struct {
	name string
	id   uint64
}

const (
	ordersMost   = 64
	orderAgain   = 250.0  // ms between two tries to reach a lease's holder
	orderWithin  = 1500.0 // ms
	leasesAtOnce = 1100   // bytes of leases' or limits' messages in one envelope
	limitBytes   = 80     // of a limit's message beside its names
)

const retell = 2 // times the decimal logarithm of the members: how often a record is sent on

// New makes a member that knows the plan alone.
func New(p Plan) *Core {
	c := &Core{plan: p, addrs: maps.Clone(p.Roster)}
	if c.addrs == nil {
		c.addrs = map[string]string{}
	}
	roster := slices.Sorted(maps.Keys(p.Roster))
	chance := rand.New(rand.NewPCG(p.Seed, p.Boot^0x1ea5e))
	c.Members = membership.New(membership.Member{Name: p.Name, Addr: p.Addr, Boot: p.Boot,
		Incarnation: p.Incarnation, Weight: p.Weight}, p.Timing, p.Seed, cargo{c})
	c.Duties = duties.New(p.Name, roster, p.Duties, p.Seed)
	c.Tasks = tasks.New(p.Name, p.Tasks)
	fixed := c.Tasks.Leases()
	c.Leases = lease.New(p.Name, p.Boot, roster, lease.Rules{Drift: p.Drift, Longest: p.Longest, Most: len(fixed) + p.LeasesMost,
		Fixed: fixed}, p.Floor, chance.Float64)
	if p.Votes != nil {
		c.Leases.Restore(p.Votes.Records, p.Votes.Sound)
	}
	c.Holds = tasks.NewHolds(p.Name, c.Leases.Holder)
	if p.Verdicts != nil {
		c.Stores = verdicts.New(*p.Verdicts, chance.Float64)
	}
	c.orders = map[uint64]*ordered{}
	return c
}

// Due is when Step is wanted next though nothing comes in.
func (c *Core) Due() float64 {
	if !c.begun {
		return math.Inf(-1)
	}
	at := min(c.Members.Due(), c.Duties.Due(), c.Leases.Due(), c.Tasks.Due(), c.Holds.Due())
	for _, o := range c.orders {
		at = min(at, o.next)
	}
	if c.plan.Limits != nil {
		at = min(at, c.plan.Limits.Due())
	}
	if c.Stores != nil {
		at = min(at, c.Stores.Due())
	}
	return at
}

// Step takes what came in by now, by this member's clock and by its wall clock in ms, and does what is due.
func (c *Core) Step(now, wall float64, in []Input) []Output {
	c.out, c.now = nil, max(c.now, now)
	var members []membership.Input
	var items []duties.Input
	var l leasing
	var limits []shares.Input
	var stores []verdicts.Input
	if !c.begun {
		c.begun = true
		if c.Stores != nil {
			c.Stores.Restore(c.plan.Orders, now, wall)
			c.plan.Orders = nil
		}
		members = append(members, membership.Join{Addrs: c.seeds()})
		items = append(items, duties.View{Living: c.living()})
	}
	for _, x := range in {
		switch v := x.(type) {
		case Arrived:
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
					limits = append(limits, shares.Received{From: e.From, Message: m})
				}
			case e.Verdicts != nil && c.addrs[e.From] != "":
				stores = append(stores, verdicts.Received{From: e.From, Message: *e.Verdicts})
			case e.Note != nil && c.plan.Notes && c.addrs[e.From] != "":
				c.out = append(c.out, Note{e.Note})
			case e.Order != nil && c.plan.Roster[e.From] != "":
				l.order(*e.Order)
				c.asked(e.From, e.Order.ID)
			case e.Answer != nil && c.plan.Roster[e.From] != "":
				c.answered(*e.Answer)
			}
		case duties.Items, duties.Finished:
			items = append(items, v)
		case verdicts.Saw, verdicts.HeldBack, verdicts.Stores, verdicts.Set:
			stores = append(stores, v)
		case Note:
			c.note(v)
		case lease.Stored, lease.DiskLost:
			l.leases = append(l.leases, v)
		case tasks.Ended:
			l.tasks = append(l.tasks, v)
		case tasks.Hold, tasks.Close:
			l.holds = append(l.holds, v)
		case tasks.Order:
			c.ordered(v)
		case Leave:
			members = append(members, membership.Leave{})
			items = append(items, duties.Quit{})
			l.tasks, l.holds = append(l.tasks, tasks.Leave{}), append(l.holds, tasks.Leave{})
		}
	}
	c.forward(&l)
	// What has run out is over before anything else: a member that stood still may do nothing under it.
	c.lease(now, wall, l)
	if len(members) > 0 || c.Members.Due() <= now {
		c.member(c.Members.Step(now, members))
	}
	for _, n := range c.arrived {
		var load cargoLoad
		if Unmarshal(n.data, &load) == nil {
			c.Duties.Heed(now, load.Common)
			items = append(items, duties.Received{From: n.from, Page: duties.Page{Records: load.Records}})
		}
	}
	c.arrived = nil
	if v := c.Members.Version() + 1; v != c.seen {
		c.view, c.seen = c.living(), v
		items = append(items, duties.View{Living: c.view})
		c.lease(now, wall, leasing{tasks: []tasks.Input{c.crew()}})
		limits = append(limits, c.alive())
		stores = append(stores, c.others())
	}
	if c.Stores != nil && (len(stores) > 0 || c.Stores.Due() <= now) {
		for _, o := range c.Stores.Step(now, stores) {
			if s, sends := o.(verdicts.Send); sends {
				c.post(s.To, Envelope{Verdicts: &s.Message})
			} else {
				c.out = append(c.out, o)
			}
		}
		for _, s := range c.Stores.Lasting(wall) {
			c.out = append(c.out, s)
		}
	}
	if c.plan.Limits != nil && (len(limits) > 0 || c.plan.Limits.Due() <= now) {
		for _, s := range c.plan.Limits.Step(now, limits) {
			c.share(s)
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

func (c *Core) member(out []membership.Output) {
	for _, o := range out {
		switch v := o.(type) {
		case membership.Send:
			m := v.Message
			c.out = append(c.out, Post{Addr: v.Addr, Envelope: Envelope{From: c.plan.Name, To: m.To, Member: &m}})
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

// leasing is what the leases, the tasks and the holds have for each other.
type leasing struct {
	leases []lease.Input
	tasks  []tasks.Input
	holds  []tasks.Input
}

func (l *leasing) order(o tasks.Order) {
	if tasks.ByHand(o.Lease) {
		l.holds = append(l.holds, o)
	} else {
		l.tasks = append(l.tasks, o)
	}
}

// lease steps leases, tasks and holds until none has anything for another.
func (c *Core) lease(now, wall float64, l leasing) {
	for first := true; first || len(l.leases)+len(l.tasks)+len(l.holds) > 0; first = false {
		var next leasing
		for _, o := range c.Leases.Step(now, l.leases) {
			switch v := o.(type) {
			case lease.Send:
				c.send(v)
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
				c.answer(v)
			default:
				c.out = append(c.out, o)
			}
		}
		l = next
	}
}

// send puts leases' messages into as few envelopes as hold them.
func (c *Core) send(s lease.Send) {
	for begin, size, i := 0, 0, 0; i <= len(s.Messages); i++ {
		n := 0
		if i < len(s.Messages) {
			n = sizeOf(s.Messages[i])
		}
		if i == len(s.Messages) || i > begin && size+n > leasesAtOnce {
			c.post(s.To, Envelope{Leases: s.Messages[begin:i]})
			begin, size = i, 0
		}
		size += n
	}
}

// share puts limits' messages into as few envelopes as hold them.
func (c *Core) share(s shares.Send) {
	for begin, size, i := 0, 0, 0; i <= len(s.Messages); i++ {
		n := 0
		if i < len(s.Messages) {
			n = limitBytes + len(s.Messages[i].Limit) + len(s.Messages[i].Key)
		}
		if i == len(s.Messages) || i > begin && size+n > leasesAtOnce {
			c.post(s.To, Envelope{Limits: s.Messages[begin:i]})
			begin, size = i, 0
		}
		size += n
	}
}

// others names the members that live beside this one. A suspect still counts.
func (c *Core) others() (v verdicts.View) {
	for _, w := range c.view {
		if w.Name != c.plan.Name {
			v.Living = append(v.Living, verdicts.Member{Name: w.Name})
		}
	}
	return v
}

// note sends what the module tells to all that live.
func (c *Core) note(n Note) {
	for _, w := range c.view {
		if w.Name != c.plan.Name && c.plan.Notes {
			c.post(w.Name, Envelope{Note: n.Data})
		}
	}
}

// alive names the members that live.
func (c *Core) alive() (v shares.View) {
	for _, w := range c.view {
		v.Living = append(v.Living, w.Name)
	}
	return v
}

// sizeOf bounds what a message takes: ten numbers of nine bytes at most, names, a note.
func sizeOf(m lease.Message) int {
	n := 80 + len(m.Lease)
	if m.Note != nil {
		n += 32 + len(m.Note.Data)
	}
	return n
}

// ordered takes an operator's order; it goes to whoever holds the lease, again and again until that one answers.
func (c *Core) ordered(o tasks.Order) {
	if len(c.orders) >= ordersMost {
		c.out = append(c.out, tasks.Answer{ID: o.ID, Why: "too many orders are under way"})
		return
	}
	c.orders[o.ID] = &ordered{Order: o, next: c.now, until: c.now + orderWithin}
}

func (c *Core) forward(l *leasing) {
	for _, id := range slices.Sorted(maps.Keys(c.orders)) {
		o := c.orders[id]
		if c.now < o.next {
			continue
		}
		holder, _ := c.Leases.Holder(o.Lease)
		switch {
		case c.now >= o.until && holder == "":
			c.answered(tasks.Answer{ID: id, Why: "nobody is known to hold that lease"})
		case c.now >= o.until:
			c.answered(tasks.Answer{ID: id, Why: fmt.Sprintf("no word from %s, who holds it: it may have been carried out or not", holder)})
		case holder == c.plan.Name:
			l.order(o.Order)
		case holder != "":
			c.post(holder, Envelope{Order: &o.Order})
		}
		o.next = c.now + orderAgain
	}
}

// asked remembers who is to get the answer to an order.
func (c *Core) asked(from string, id uint64) {
	c.askers = append(c.askers, asker{from, id})
	if len(c.askers) > ordersMost {
		c.askers = slices.Delete(c.askers, 0, 1)
	}
}

func (c *Core) answer(a tasks.Answer) {
	if c.orders[a.ID] != nil {
		c.answered(a)
		return
	}
	for i, x := range c.askers {
		if x.id == a.ID {
			c.post(x.name, Envelope{Answer: &a})
			c.askers = slices.Delete(c.askers, i, i+1)
			return
		}
	}
}

func (c *Core) answered(a tasks.Answer) {
	if c.orders[a.ID] != nil {
		delete(c.orders, a.ID)
		c.out = append(c.out, a)
	}
}

func (c *Core) post(to string, e Envelope) {
	if addr := c.addrs[to]; addr != "" {
		e.From, e.To = c.plan.Name, to
		c.out = append(c.out, Post{Addr: addr, Envelope: e})
	}
}

func (c *Core) seeds() []string {
	all := slices.Clone(c.plan.Seeds)
	for _, name := range slices.Sorted(maps.Keys(c.plan.Roster)) {
		all = append(all, c.plan.Roster[name])
	}
	return all
}

// living lists who may be given items: of a configured set its members alone.
func (c *Core) living() []duties.Weighted {
	var all []duties.Weighted
	for _, m := range c.Members.Members() {
		if _, listed := c.plan.Roster[m.Name]; m.Living() && (listed || len(c.plan.Roster) == 0) {
			all = append(all, duties.Weighted{Name: m.Name, Weight: cmp.Or(m.Weight, 1),
				Doubted: m.State == membership.Suspect})
		}
	}
	return all
}

// crew says who lives, in the order in which they should have a lease, and whether they are enough to be granted one: without that a member
// would only keep others' votes from them.
func (c *Core) crew() tasks.Crew {
	var living []duties.Weighted
	for _, w := range c.view {
		if c.plan.Roster[w.Name] != "" {
			living = append(living, w)
		}
	}
	return tasks.Crew{Majority: 2*len(living) > len(c.plan.Roster), Rank: func(name string) (all []string) {
		score := func(w duties.Weighted) float64 { return duties.Score("lease", name, w.Name, w.Weight) }
		for _, w := range slices.SortedStableFunc(slices.Values(living), func(a, b duties.Weighted) int { return cmp.Compare(score(b), score(a)) }) {
			all = append(all, w.Name)
		}
		return all
	}}
}

// Busy says whether this member still holds a lease under which something may go on.
func (c *Core) Busy() bool { return c.Tasks.Busy() || c.Holds.Open() > 0 }

// cargo is what the duties send along with the members' messages.
type cargo struct{ c *Core }

// cargoLoad is its form: the members' common time and records.
type cargoLoad struct {
	Common  float64
	Records []duties.Record
}

const loadBytes = 16 // of a load beside its records

func (g cargo) Load(_ string, room int) []byte {
	n := len(g.c.view)
	load := cargoLoad{Common: g.c.Duties.Common(g.c.now),
		Records: g.c.Duties.Records(g.c.now, room-loadBytes, retell*int(math.Ceil(math.Log10(float64(n+1)))))}
	if room < loadBytes || len(g.c.plan.Duties) == 0 {
		return nil
	}
	data, err := Marshal(&load)
	if err != nil || len(data) > room {
		return nil
	}
	return data
}

func (g cargo) Urgent() bool { return g.c.Duties.Waiting() }

func (g cargo) Unload(from string, data []byte) {
	g.c.arrived = append(g.c.arrived, sharedNews{from, data})
}
