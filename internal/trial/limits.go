package trial

import (
	"fmt"
	"math"
	"slices"

	"gullstair/internal/shares"
	"gullstair/internal/virtual"
)

// LimitRules are of a Limits world. Times in ms.
type LimitRules struct {
	Members int
	Drift   float64 // what the members are told of their clocks, which run at both ends of it
	Limits  []shares.Limit
	Way     Way
	Weather virtual.Weather
	Most    int
	Disk    bool    // what is lent lasts
	Fsync   float64 // that storing takes
}

// Way is how limits are shared.
type Way string

// The ways that were weighed.
const (
	Fixed  Way = "fixed share"
	Escrow Way = "escrow"
	Leader Way = "leader"
	Gossip Way = "gossip"
	Alone  Way = "each alone" // each takes the whole limit for itself
)

// sharer is one member's side of a way.
type sharer interface {
	Again(now float64, uses []shares.Use, lasts float64) shares.Verdict
	Take(now float64, uses []shares.Use, lasts float64) shares.Verdict
	Done(now float64, uses []shares.Use)
	Step(now float64, in []virtual.Packet) []virtual.Packet
	Due() float64
}

// Limits is a world of members that share limits. Scans come to them by a demand that the one who plays it sets; it judges what all of them together
// took, by true time.
type Limits struct {
	Rules   LimitRules
	Net     *virtual.Net
	Faults  []string
	Over    float64 // how far a bound was passed at most, in scans or units
	Asked   int     // scans that came
	Taken   int
	TakenBy []int // by member
	Each    func(member int, taken bool, after float64)
	Rosters map[int]int     // how many members each one's document lists, the first ones; of who is not in it: all
	Sizes   map[int]float64 // times the sizes of Rules in a member's document at its next start; of who is not in it: 1

	members []*sharingNode
	rates   []float64
	demand  []float64 // scans a second of the first limit's key "", by member
	buckets map[string]*judge
	boots   uint64
	living  []string
	orders  []order
	disks   []disk
}

// disk is what lasts of a member's loans.
type disk struct {
	records []shares.Record
	trusted bool // nothing is missing that may bind anybody
}

// order is a larger size that the first limit had for a while, by true time.
type order struct{ from, to, size, burst float64 }

// judge is a bucket by true time that starts full: what is taken of it without its running dry is within rate x window + burst in every window.
type judge struct {
	tokens, at float64
	open       float64
	openBy     map[int]float64
}

type sharingNode struct {
	w       *Limits
	i       int
	way     sharer
	paused  bool
	waiting []func() // scans that wait for an owner's tokens
	queue   []func() // arrivals that a member that stands still finds when it wakes
	boot    uint64
	storing []shares.Store // under way to its disk
}

// NewLimits makes a world in which nobody runs yet.
func NewLimits(seed uint64, r LimitRules) *Limits {
	w := &Limits{Rules: r, Net: virtual.New(seed, r.Weather), buckets: map[string]*judge{}, members: make([]*sharingNode, r.Members), rates: make([]float64, r.Members), Rosters: map[int]int{}, Sizes: map[int]float64{}, disks: make([]disk, r.Members),
		demand: make([]float64, r.Members), TakenBy: make([]int, r.Members)}
	for i := range r.Members {
		w.rates[i] = 1 + r.Drift*(float64(w.Net.Chance().IntN(3))-1)
	}
	return w
}

func (w *Limits) clock(i int) float64 { return 1e6 + w.Net.Now()*w.rates[i] }

// Start starts the i-th member with nothing that an earlier process knew but what lasts on its disk.
func (w *Limits) Start(i int) {
	w.Kill(i)
	w.boots++
	var roster []string
	listed, some := w.Rosters[i]
	if !some {
		listed = w.Rules.Members
	}
	for j := range listed {
		roster = append(roster, Name(j))
	}
	n := &sharingNode{w: w, i: i, boot: w.boots}
	chance := w.Net.Chance().Float64
	rules := shares.Rules{Self: Name(i), Boot: w.boots, Roster: roster, Drift: w.Rules.Drift, Most: max(w.Rules.Most, 64), After: 1000, Loans: w.Rules.Way == Escrow}
	limits := slices.Clone(w.Rules.Limits)
	if f, other := w.Sizes[i]; other {
		for k := range limits {
			limits[k].Size, limits[k].Burst = max(1, math.Floor(limits[k].Size*f)), max(1, math.Floor(limits[k].Burst*f))
		}
	}
	switch w.Rules.Way {
	case Leader:
		n.way = newLeader(w, rules, limits[0])
	case Gossip:
		n.way = newGossip(w, rules, limits[0])
	case Alone:
		rules.Roster = roster[i : i+1]
		n.way = &escrow{Core: shares.New(rules, limits, chance)}
	default:
		e := &escrow{Core: shares.New(rules, limits, chance)}
		if n.way = e; w.Rules.Disk {
			e.Restore(slices.Clone(w.disks[i].records), w.disks[i].trusted)
		}
	}
	w.members[i] = n
	w.Net.Start(Name(i), n, w.clock(i), w.rates[i])
}

// Kill ends the i-th member without a word; what was open there is gone. Of what was being stored the first records last, so many.
func (w *Limits) Kill(i int) {
	w.Net.Kill(Name(i))
	if n := w.members[i]; n != nil {
		for range w.Net.Chance().IntN(len(n.storing) + 1) {
			n.lasts()
		}
		n.storing = nil
	}
	w.members[i] = nil
	for _, j := range w.buckets {
		j.open -= j.openBy[i]
		delete(j.openBy, i)
	}
}

// LoseDisk ends the i-th member and leaves the first so many of what its disk held; a directory that was put back is found out, or is empty.
func (w *Limits) LoseDisk(i, left int) {
	w.Kill(i)
	d := &w.disks[i]
	d.records, d.trusted = d.records[:min(left, len(d.records))], false
}

// lasts says that the first of what is being stored lasts.
func (n *sharingNode) lasts() {
	s, d := n.storing[0], &n.w.disks[n.i]
	n.storing = n.storing[1:]
	d.records, d.trusted = append(d.records, s.Record), d.trusted || s.Trust
}

// store has records last after a while, one after the other; the process hears of it if it is still there.
func (n *sharingNode) store(all []shares.Store) {
	for _, s := range all {
		n.storing = append(n.storing, s)
		n.w.Net.After(n.w.Rules.Fsync, func() {
			if n.w.members[n.i] == n {
				n.lasts()
				e := n.way.(*escrow)
				e.in = append(e.in, shares.Stored{Upto: s.Number})
				n.w.Net.Poke(Name(n.i))
			}
		})
	}
}

// Pause has the i-th member stand still; scans go on coming and wait.
func (w *Limits) Pause(i int) {
	if n := w.members[i]; n != nil {
		n.paused = true
		w.Net.Pause(Name(i))
	}
}

// Resume wakes it. It finds what waited before or after what its clock says, by chance.
func (w *Limits) Resume(i int) {
	n := w.members[i]
	if n == nil || !n.paused {
		return
	}
	n.paused = false
	first := w.Net.Chance().IntN(2) == 0
	if !first {
		w.Net.Resume(Name(i))
	}
	queue := n.queue
	n.queue = nil
	for _, do := range queue {
		do()
	}
	if first {
		w.Net.Resume(Name(i))
	}
}

// Order has an operator set the first limit's size at a member.
func (w *Limits) Order(i int, size, burst, forMs float64) {
	if n := w.members[i]; n != nil && !n.paused {
		if e, is := n.way.(*escrow); is {
			e.in = append(e.in, shares.Set{Limit: w.Rules.Limits[0].Name, Size: size, Burst: burst, For: forMs})
			if size > w.Rules.Limits[0].Size || burst > w.Rules.Limits[0].Burst {
				// Every clock has seen the time pass by then.
				w.orders = append(w.orders, order{w.Net.Now(), w.Net.Now() + forMs, size, burst})
			}
			w.Net.Poke(Name(i))
		}
	}
}

// allowed is what the first limit's size may be at most between two moments, and its burst at the second.
func (w *Limits) allowed(from, to float64) (size, burst float64) {
	size, burst = w.Rules.Limits[0].Size, w.Rules.Limits[0].Burst
	for _, o := range w.orders {
		if o.from <= to && from <= o.to {
			size = max(size, o.size)
		}
		if o.from <= to && to <= o.to {
			burst = max(burst, o.burst)
		}
	}
	return size, burst
}

// See tells members which ones live.
func (w *Limits) See(i int, living []string) {
	if n := w.members[i]; n != nil {
		if e, is := n.way.(*escrow); is {
			e.in = append(e.in, shares.View{Living: living})
			w.Net.Poke(Name(i))
		}
	}
}

// Demand has scans of one use come to the i-th member at so many a second, by chance, until the demand is set again. Each is open for so long.
func (w *Limits) Demand(i int, perSecond float64, uses []shares.Use, lasts float64) {
	w.demand[i] = perSecond
	w.arrive(i, perSecond, uses, lasts)
}

func (w *Limits) arrive(i int, perSecond float64, uses []shares.Use, lasts float64) {
	if perSecond <= 0 {
		return
	}
	w.Net.After(w.Net.Chance().ExpFloat64()*1000/perSecond, func() {
		if w.demand[i] != perSecond {
			return
		}
		w.Scan(i, uses, lasts)
		w.arrive(i, perSecond, uses, lasts)
	})
}

// Scan has one scan come to the i-th member.
func (w *Limits) Scan(i int, uses []shares.Use, lasts float64) {
	n := w.members[i]
	if n == nil {
		return
	}
	if n.paused {
		if len(n.queue) < 200 {
			n.queue = append(n.queue, func() { w.Scan(i, uses, lasts) })
		}
		return
	}
	w.Asked++
	v := n.way.Take(w.clock(i), uses, lasts/w.rates[i]*(1+w.Rules.Drift))
	w.Net.Poke(Name(i))
	w.ruled(n, uses, lasts, v, w.Net.Now()+v.Wait/w.rates[i])
}

// ruled takes a verdict on a scan; one that may wait is asked again when tokens for such scans have come.
func (w *Limits) ruled(n *sharingNode, uses []shares.Use, lasts float64, v shares.Verdict, until float64) {
	i := n.i
	if !v.Taken && w.Net.Now() < until-1 {
		n.waiting = append(n.waiting, func() {
			if w.members[i] == n && !n.paused && w.Net.Now() < until-1 {
				v := n.way.Again(w.clock(i), uses, lasts/w.rates[i]*(1+w.Rules.Drift))
				w.Net.Poke(Name(i))
				w.ruled(n, uses, lasts, v, until)
			}
		})
		return
	}
	if w.Each != nil {
		w.Each(i, v.Taken, v.After)
	}
	if !v.Taken {
		return
	}
	w.Taken++
	w.TakenBy[i]++
	for _, u := range uses {
		w.take(i, u)
	}
	boot := n.boot
	w.Net.After(lasts, func() {
		if m := w.members[i]; m != nil && m.boot == boot {
			m.way.Done(w.clock(i), uses)
			for _, u := range uses {
				if j := w.buckets[fmt.Sprint(u.Limit, " ", u.Key)]; w.Rules.Limits[u.Limit].Kind == shares.Stock {
					j.open -= u.Cost
					j.openBy[i] -= u.Cost
				}
			}
		}
	})
}

// take judges what was taken.
func (w *Limits) take(i int, u shares.Use) {
	l, name := w.Rules.Limits[u.Limit], fmt.Sprint(u.Limit, " ", u.Key)
	j := w.buckets[name]
	if j == nil {
		j = &judge{tokens: l.Burst, openBy: map[int]float64{}}
		w.buckets[name] = j
	}
	over := 0.0
	if l.Kind == shares.Rate {
		size, burst := l.Size, l.Burst
		if u.Limit == 0 {
			size, burst = w.allowed(j.at, w.Net.Now())
		}
		j.tokens = min(burst, j.tokens+(w.Net.Now()-j.at)/1000*size) - u.Cost
		j.at = w.Net.Now()
		over = -j.tokens
	} else {
		j.open += u.Cost
		j.openBy[i] += u.Cost
		over = j.open - l.Size
	}
	if over > 1e-6 {
		if w.Over = max(w.Over, over); len(w.Faults) < 10 {
			w.Faults = append(w.Faults, fmt.Sprintf("%.0f ms: %s at %s is over its limit by %.3f", w.Net.Now(), l.Name+"/"+u.Key, Name(i), over))
		}
	}
}

func (n *sharingNode) Due() float64 { return n.way.Due() }

func (n *sharingNode) Step(now float64, in []virtual.Packet) []virtual.Packet {
	out := n.way.Step(now, in)
	e, is := n.way.(*escrow)
	if is {
		n.store(e.Stores())
	}
	if is && e.Came() {
		waiting := n.waiting
		n.waiting = nil
		n.w.Net.After(0, func() {
			for _, again := range waiting {
				again()
			}
		})
	} else if len(n.waiting) > 256 {
		n.waiting = n.waiting[len(n.waiting)-256:] // the rest has waited for too long
	}
	return out
}

// escrow is package shares, with loans or with fixed shares alone.
type escrow struct {
	*shares.Core
	in []shares.Input
}

func (e *escrow) Step(now float64, in []virtual.Packet) (out []virtual.Packet) {
	inputs := e.in
	e.in = nil
	for _, p := range in {
		for _, m := range p.Data.([]shares.Message) {
			inputs = append(inputs, shares.Received{From: p.From, Message: m})
		}
	}
	for _, s := range e.Core.Step(now, inputs) {
		size := 28
		for _, m := range s.Messages {
			size += 40 + len(m.Limit) + len(m.Key)
		}
		out = append(out, virtual.Packet{To: s.To, Data: s.Messages, Size: size})
	}
	return out
}

func (b *bucket) Again(now float64, _ []shares.Use, _ float64) shares.Verdict {
	return shares.Verdict{}
}

// bucket is the local side of the ways that were weighed and not taken.
type bucket struct {
	limit      shares.Limit
	drift      float64
	share      float64
	tokens, at float64
	rate, seen float64 // demand a second
}

func (b *bucket) fill(now float64) {
	b.tokens = min(b.share*b.limit.Burst, b.tokens+max(0, now-b.at)/1000*b.share*b.limit.Size/(1+b.drift))
	b.at = now
}

func (b *bucket) take(now float64) shares.Verdict {
	b.fill(now)
	b.rate = b.demand(now) + 1000.0/500
	b.seen = now
	if b.tokens < 1 {
		return shares.Verdict{After: 1000 / b.limit.Size}
	}
	b.tokens--
	return shares.Verdict{Taken: true}
}

func (b *bucket) demand(now float64) float64 { return b.rate * math.Exp(-max(0, now-b.seen)/500) }

func (b *bucket) set(now, share float64) {
	b.fill(now)
	b.share = share
	b.tokens = min(b.tokens, share*b.limit.Burst)
}

// divide gives each what it wants or an equal part of what is left, the least first.
func divide(whole float64, wants map[string]float64) map[string]float64 {
	names := make([]string, 0, len(wants))
	for n := range wants {
		names = append(names, n)
	}
	slices.SortFunc(names, func(a, b string) int {
		switch {
		case wants[a] < wants[b] || wants[a] == wants[b] && a < b:
			return -1
		default:
			return 1
		}
	})
	out := map[string]float64{}
	for k, n := range names {
		out[n] = min(wants[n], whole/float64(len(names)-k))
		whole -= out[n]
	}
	for n := range out { // what is left goes to all
		out[n] += whole / float64(len(names))
	}
	return out
}

// told is what a member of the ways not taken says: its demand as a share of the limit, or what it may use.
type told struct {
	demand, share, sent float64
	answer              bool
}

const tellMs = 200.0

// leader apportions by one member that holds a lease, as Doorman does; the world is its lease service, a perfect one: the lowest member that runs
// and is on the larger side. A new one waits for a term.
type leader struct {
	bucket
	w      *Limits
	self   string
	roster []string
	next   float64
	until  float64 // of the own share
	wants  map[string]float64
	wantAt map[string]float64
	given  map[string]float64
	upto   map[string]float64
	lead   bool
	since  float64
}

func newLeader(w *Limits, r shares.Rules, l shares.Limit) *leader {
	return &leader{bucket: bucket{limit: l, drift: r.Drift}, w: w, self: r.Self, roster: r.Roster, wants: map[string]float64{}, wantAt: map[string]float64{},
		given: map[string]float64{}, upto: map[string]float64{}, since: math.Inf(1)}
}

func (l *leader) Take(now float64, _ []shares.Use, _ float64) shares.Verdict {
	if now >= l.until {
		l.set(now, 0)
	}
	return l.take(now)
}
func (l *leader) Done(float64, []shares.Use) {}
func (l *leader) Due() float64               { return l.next }

func (l *leader) Step(now float64, in []virtual.Packet) (out []virtual.Packet) {
	kept := l.limit.Term * (1 + l.drift) / (1 - l.drift)
	who := l.w.leads()
	if lead := who == l.self; lead != l.lead {
		l.lead, l.since = lead, now
		clear(l.given)
	}
	grant := func(name string, demand float64) float64 {
		l.wants[name], l.wantAt[name] = demand, now
		fresh, others := map[string]float64{}, 0.0
		for n, at := range l.wantAt {
			if now-at < l.limit.Term {
				fresh[n] = l.wants[n]
			}
			if n != name && now < l.upto[n] {
				others += l.given[n]
			}
		}
		if now < l.since+kept {
			return 0
		}
		g := max(0, min(divide(1, fresh)[name], 1-others))
		l.given[name] = max(g, 0)
		l.upto[name] = now + kept
		return g
	}
	for _, p := range in {
		t := p.Data.(told)
		if t.answer {
			if now < t.sent+l.limit.Term {
				l.set(now, t.share)
				l.until = t.sent + l.limit.Term
			}
		} else if l.lead {
			out = append(out, virtual.Packet{To: p.From, Data: told{answer: true, share: grant(p.From, t.demand), sent: t.sent}, Size: 60})
		}
	}
	if now >= l.next {
		l.next = now + tellMs
		d := min(1, l.demand(now)*1.15/l.limit.Size)
		if l.lead {
			l.set(now, grant(l.self, d))
			l.until = now + l.limit.Term
		} else if who != "" {
			out = append(out, virtual.Packet{To: who, Data: told{demand: d, sent: now}, Size: 60})
		}
	}
	return out
}

// leads is the perfect lease service of the way by a leader.
func (w *Limits) leads() string {
	for _, name := range w.living {
		for i, n := range w.members {
			if n != nil && !n.paused && Name(i) == name {
				return name
			}
		}
	}
	return ""
}

// gossip has each tell all others its demand, and all do the same sum.
type gossip struct {
	bucket
	self   string
	roster []string
	next   float64
	wants  map[string]float64
	wantAt map[string]float64
}

func newGossip(_ *Limits, r shares.Rules, l shares.Limit) *gossip {
	g := &gossip{bucket: bucket{limit: l, drift: r.Drift, share: 1 / float64(len(r.Roster))}, self: r.Self, roster: r.Roster, wants: map[string]float64{}, wantAt: map[string]float64{}}
	return g
}

func (g *gossip) Take(now float64, _ []shares.Use, _ float64) shares.Verdict { return g.take(now) }
func (g *gossip) Done(float64, []shares.Use)                                 {}
func (g *gossip) Due() float64                                               { return g.next }

func (g *gossip) Step(now float64, in []virtual.Packet) (out []virtual.Packet) {
	for _, p := range in {
		g.wants[p.From], g.wantAt[p.From] = p.Data.(told).demand, now
	}
	if now < g.next {
		return nil
	}
	g.next = now + tellMs
	d := min(1, g.demand(now)*1.15/g.limit.Size)
	g.wants[g.self], g.wantAt[g.self] = d, now
	for _, name := range g.roster {
		if name != g.self {
			out = append(out, virtual.Packet{To: name, Data: told{demand: d}, Size: 60})
		}
	}
	known := map[string]float64{}
	for _, name := range g.roster {
		if at, heard := g.wantAt[name]; heard && now-at < 1000 {
			known[name] = g.wants[name]
		}
	}
	g.set(now, divide(1, known)[g.self])
	return out
}
