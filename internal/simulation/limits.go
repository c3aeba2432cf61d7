package simulation

import (
	"fmt"
	"math"
	"slices"

	"gullstair/internal/limitshare"
	"gullstair/internal/virtual"
)

// LimitRules configures a LimitWorld. Times are in ms.
type LimitRules struct {
	Members  int
	Drift    float64 // bound on clock drift that the members assume; their clocks run at both ends of it
	Limits   []limitshare.Limit
	Strategy Strategy
	Network  virtual.Conditions
	Most     int
	Disk     bool    // loans are stored durably
	Fsync    float64 // duration of a write to disk
}

// Strategy is a way to share a limit among members.
type Strategy string

// The strategies that the simulation compares. The product uses Escrow.
const (
	Fixed  Strategy = "fixed share"
	Escrow Strategy = "escrow"
	Leader Strategy = "leader"
	Gossip Strategy = "gossip"
	Alone  Strategy = "each alone" // each member applies the whole limit on its own
)

// strategyNode is the part of a strategy that runs at one member.
type strategyNode interface {
	Again(now float64, uses []limitshare.Use, lasts float64) limitshare.Verdict
	Take(now float64, uses []limitshare.Use, lasts float64) limitshare.Verdict
	Done(now float64, uses []limitshare.Use)
	Step(now float64, in []virtual.Packet) []virtual.Packet
	Due() float64
}

// LimitWorld simulates members that share limits. Scans arrive at a rate that the caller sets with Demand. The world checks in true time that the members
// together admit no more than the limits allow.
type LimitWorld struct {
	Rules       LimitRules
	Net         *virtual.Net
	Faults      []string
	Excess      float64 // largest excess over a limit, in scans or units
	Arrived     int     // scans that arrived
	Admitted    int
	AdmittedBy  []int // by member
	OnDecision  func(member int, taken bool, after float64)
	Rosters     map[int]int     // by member: how many members its document lists, from the first; without an entry, all
	SizeFactors map[int]float64 // by member: factor on the sizes of Rules in its document from its next start; without an entry, 1

	members []*limitNode
	rates   []float64
	demand  []float64 // scans per second by member, for the uses given to Demand
	buckets map[string]*checker
	boots   uint64
	living  []string
	orders  []order
	disks   []disk
}

// disk is the durable part of a member's loans.
type disk struct {
	records []limitshare.Record
	trusted bool // no record that may still bind a member is missing
}

// order is a temporary increase of the first limit, in true time.
type order struct{ from, to, size, burst float64 }

// checker is a token bucket in true time that starts full. As long as it does not go below zero, every window holds at most rate x window + burst.
type checker struct {
	tokens, at float64
	open       float64
	openBy     map[int]float64
}

type limitNode struct {
	w        *LimitWorld
	i        int
	strategy strategyNode
	paused   bool
	waiting  []func() // scans that wait for tokens of the key's owner
	arrivals []func() // arrivals during a pause, handled when the member resumes
	boot     uint64
	writes   []limitshare.Store // writes to its disk in progress
}

// NewLimitWorld creates a world without running members.
func NewLimitWorld(seed uint64, r LimitRules) *LimitWorld {
	w := &LimitWorld{Rules: r, Net: virtual.New(seed, r.Network), buckets: map[string]*checker{}, members: make([]*limitNode, r.Members), rates: make([]float64, r.Members), Rosters: map[int]int{}, SizeFactors: map[int]float64{}, disks: make([]disk, r.Members),
		demand: make([]float64, r.Members), AdmittedBy: make([]int, r.Members)}
	for i := range r.Members {
		w.rates[i] = 1 + r.Drift*(float64(w.Net.Rand().IntN(3))-1)
	}
	return w
}

func (w *LimitWorld) clock(i int) float64 { return 1e6 + w.Net.Now()*w.rates[i] }

// Start starts the i-th member in place of its earlier process, of which only the records on disk remain.
func (w *LimitWorld) Start(i int) {
	w.Kill(i)
	w.boots++
	var roster []string
	listed, limited := w.Rosters[i]
	if !limited {
		listed = w.Rules.Members
	}
	for j := range listed {
		roster = append(roster, Name(j))
	}
	n := &limitNode{w: w, i: i, boot: w.boots}
	chance := w.Net.Rand().Float64
	rules := limitshare.Rules{Self: Name(i), Boot: w.boots, Roster: roster, Drift: w.Rules.Drift, Most: max(w.Rules.Most, 64), After: 1000, Loans: w.Rules.Strategy == Escrow}
	limits := slices.Clone(w.Rules.Limits)
	if f, other := w.SizeFactors[i]; other {
		for k := range limits {
			limits[k].Size, limits[k].Burst = max(1, math.Floor(limits[k].Size*f)), max(1, math.Floor(limits[k].Burst*f))
		}
	}
	switch w.Rules.Strategy {
	case Leader:
		n.strategy = newLeader(w, rules, limits[0])
	case Gossip:
		n.strategy = newGossip(w, rules, limits[0])
	case Alone:
		rules.Roster = roster[i : i+1]
		n.strategy = &escrow{Core: limitshare.New(rules, limits, chance)}
	default:
		e := &escrow{Core: limitshare.New(rules, limits, chance)}
		if n.strategy = e; w.Rules.Disk {
			e.Restore(slices.Clone(w.disks[i].records), w.disks[i].trusted)
		}
	}
	w.members[i] = n
	w.Net.Start(Name(i), n, w.clock(i), w.rates[i])
}

// Kill ends the i-th member without an announcement and drops its open scans. Of the writes in progress a random number, from the first, still completes.
func (w *LimitWorld) Kill(i int) {
	w.Net.Kill(Name(i))
	if n := w.members[i]; n != nil {
		for range w.Net.Rand().IntN(len(n.writes) + 1) {
			n.completeWrite()
		}
		n.writes = nil
	}
	w.members[i] = nil
	for _, j := range w.buckets {
		j.open -= j.openBy[i]
		delete(j.openBy, i)
	}
}

// LoseDisk ends the i-th member and keeps only the first records of its disk. The disk is no longer trusted: a restored directory is either detected as
// such or empty.
func (w *LimitWorld) LoseDisk(i, left int) {
	w.Kill(i)
	d := &w.disks[i]
	d.records, d.trusted = d.records[:min(left, len(d.records))], false
}

// completeWrite makes the first write in progress durable.
func (n *limitNode) completeWrite() {
	s, d := n.writes[0], &n.w.disks[n.i]
	n.writes = n.writes[1:]
	d.records, d.trusted = append(d.records, s.Record), d.trusted || s.Trust
}

// store writes records to the disk one after the other, each with a delay, and notifies the process if it still runs.
func (n *limitNode) store(all []limitshare.Store) {
	for _, s := range all {
		n.writes = append(n.writes, s)
		n.w.Net.After(n.w.Rules.Fsync, func() {
			if n.w.members[n.i] == n {
				n.completeWrite()
				e := n.strategy.(*escrow)
				e.in = append(e.in, limitshare.Stored{Upto: s.Number})
				n.w.Net.Wake(Name(n.i))
			}
		})
	}
}

// Pause pauses the i-th member. Scans keep arriving and queue.
func (w *LimitWorld) Pause(i int) {
	if n := w.members[i]; n != nil {
		n.paused = true
		w.Net.Pause(Name(i))
	}
}

// Resume resumes the i-th member. At random, the queued scans come before or after its first step.
func (w *LimitWorld) Resume(i int) {
	n := w.members[i]
	if n == nil || !n.paused {
		return
	}
	n.paused = false
	first := w.Net.Rand().IntN(2) == 0
	if !first {
		w.Net.Resume(Name(i))
	}
	queue := n.arrivals
	n.arrivals = nil
	for _, do := range queue {
		do()
	}
	if first {
		w.Net.Resume(Name(i))
	}
}

// Order has an operator set the size of the first limit at a member.
func (w *LimitWorld) Order(i int, size, burst, forMs float64) {
	if n := w.members[i]; n != nil && !n.paused {
		if e, is := n.strategy.(*escrow); is {
			e.in = append(e.in, limitshare.Set{Limit: w.Rules.Limits[0].Name, Size: size, Burst: burst, For: forMs})
			if size > w.Rules.Limits[0].Size || burst > w.Rules.Limits[0].Burst {
				// By then the order has expired by every clock.
				w.orders = append(w.orders, order{w.Net.Now(), w.Net.Now() + forMs, size, burst})
			}
			w.Net.Wake(Name(i))
		}
	}
}

// allowed returns the largest size of the first limit between two moments, and its largest burst at the second.
func (w *LimitWorld) allowed(from, to float64) (size, burst float64) {
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

// SetLiving tells the i-th member which members are alive.
func (w *LimitWorld) SetLiving(i int, living []string) {
	if n := w.members[i]; n != nil {
		if e, is := n.strategy.(*escrow); is {
			e.in = append(e.in, limitshare.View{Living: living})
			w.Net.Wake(Name(i))
		}
	}
}

// Demand lets scans arrive at the i-th member at random, at the given rate per second, until the demand is set again. Each stays open for the given time.
func (w *LimitWorld) Demand(i int, perSecond float64, uses []limitshare.Use, lasts float64) {
	w.demand[i] = perSecond
	w.arrive(i, perSecond, uses, lasts)
}

func (w *LimitWorld) arrive(i int, perSecond float64, uses []limitshare.Use, lasts float64) {
	if perSecond <= 0 {
		return
	}
	w.Net.After(w.Net.Rand().ExpFloat64()*1000/perSecond, func() {
		if w.demand[i] != perSecond {
			return
		}
		w.Scan(i, uses, lasts)
		w.arrive(i, perSecond, uses, lasts)
	})
}

// Scan lets one scan arrive at the i-th member.
func (w *LimitWorld) Scan(i int, uses []limitshare.Use, lasts float64) {
	n := w.members[i]
	if n == nil {
		return
	}
	if n.paused {
		if len(n.arrivals) < 200 {
			n.arrivals = append(n.arrivals, func() { w.Scan(i, uses, lasts) })
		}
		return
	}
	w.Arrived++
	v := n.strategy.Take(w.clock(i), uses, lasts/w.rates[i]*(1+w.Rules.Drift))
	w.Net.Wake(Name(i))
	w.decided(n, uses, lasts, v, w.Net.Now()+v.Wait/w.rates[i])
}

// decided handles the decision on a scan. A scan that may wait is retried when tokens arrive.
func (w *LimitWorld) decided(n *limitNode, uses []limitshare.Use, lasts float64, v limitshare.Verdict, until float64) {
	i := n.i
	if !v.Taken && w.Net.Now() < until-1 {
		n.waiting = append(n.waiting, func() {
			if w.members[i] == n && !n.paused && w.Net.Now() < until-1 {
				v := n.strategy.Again(w.clock(i), uses, lasts/w.rates[i]*(1+w.Rules.Drift))
				w.Net.Wake(Name(i))
				w.decided(n, uses, lasts, v, until)
			}
		})
		return
	}
	if w.OnDecision != nil {
		w.OnDecision(i, v.Taken, v.After)
	}
	if !v.Taken {
		return
	}
	w.Admitted++
	w.AdmittedBy[i]++
	for _, u := range uses {
		w.check(i, u)
	}
	boot := n.boot
	w.Net.After(lasts, func() {
		if m := w.members[i]; m != nil && m.boot == boot {
			m.strategy.Done(w.clock(i), uses)
			for _, u := range uses {
				if j := w.buckets[fmt.Sprint(u.Limit, " ", u.Key)]; w.Rules.Limits[u.Limit].Kind == limitshare.Stock {
					j.open -= u.Cost
					j.openBy[i] -= u.Cost
				}
			}
		}
	})
}

// check compares an admitted use with its limit.
func (w *LimitWorld) check(i int, u limitshare.Use) {
	l, name := w.Rules.Limits[u.Limit], fmt.Sprint(u.Limit, " ", u.Key)
	j := w.buckets[name]
	if j == nil {
		j = &checker{tokens: l.Burst, openBy: map[int]float64{}}
		w.buckets[name] = j
	}
	over := 0.0
	if l.Kind == limitshare.Rate {
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
		if w.Excess = max(w.Excess, over); len(w.Faults) < 10 {
			w.Faults = append(w.Faults, fmt.Sprintf("%.0f ms: %s at %s exceeds its limit by %.3f", w.Net.Now(), l.Name+"/"+u.Key, Name(i), over))
		}
	}
}

func (n *limitNode) Due() float64 { return n.strategy.Due() }

func (n *limitNode) Step(now float64, in []virtual.Packet) []virtual.Packet {
	out := n.strategy.Step(now, in)
	e, is := n.strategy.(*escrow)
	if is {
		n.store(e.PendingStores())
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
		n.waiting = n.waiting[len(n.waiting)-256:] // the older ones have waited too long
	}
	return out
}

// escrow runs package limitshare, with loans or with fixed shares only.
type escrow struct {
	*limitshare.Core
	in []limitshare.Input
}

func (e *escrow) Step(now float64, in []virtual.Packet) (out []virtual.Packet) {
	inputs := e.in
	e.in = nil
	for _, p := range in {
		for _, m := range p.Data.([]limitshare.Message) {
			inputs = append(inputs, limitshare.Received{From: p.From, Message: m})
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

func (b *bucket) Again(now float64, _ []limitshare.Use, _ float64) limitshare.Verdict {
	return limitshare.Verdict{}
}

// bucket is the local token bucket of the strategies that the product does not use.
type bucket struct {
	limit      limitshare.Limit
	drift      float64
	share      float64
	tokens, at float64
	rate, seen float64 // estimated demand per second and the time of its last update
}

func (b *bucket) fill(now float64) {
	b.tokens = min(b.share*b.limit.Burst, b.tokens+max(0, now-b.at)/1000*b.share*b.limit.Size/(1+b.drift))
	b.at = now
}

func (b *bucket) take(now float64) limitshare.Verdict {
	b.fill(now)
	b.rate = b.demand(now) + 1000.0/500
	b.seen = now
	if b.tokens < 1 {
		return limitshare.Verdict{After: 1000 / b.limit.Size}
	}
	b.tokens--
	return limitshare.Verdict{Taken: true}
}

func (b *bucket) demand(now float64) float64 { return b.rate * math.Exp(-max(0, now-b.seen)/500) }

func (b *bucket) set(now, share float64) {
	b.fill(now)
	b.share = share
	b.tokens = min(b.tokens, share*b.limit.Burst)
}

// divide computes a max-min fair division: in order of rising demand, each gets its demand or an equal part of the remainder.
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
	for n := range out { // the remainder goes to all equally
		out[n] += whole / float64(len(names))
	}
	return out
}

// report is a message of the strategies that the product does not use: a member's demand as a share of the limit, or the share granted to it.
type report struct {
	demand, share, sent float64
	answer              bool
}

const reportInterval = 200.0

// leader divides the limit at one member that holds a lease, as Doorman does. The world acts as a perfect lease service: the first running member of living is
// the leader, and living lists the larger side of a partition first. A new leader waits for a term before it grants.
type leader struct {
	bucket
	w            *LimitWorld
	self         string
	roster       []string
	next         float64
	until        float64 // expiry of this member's share
	demands      map[string]float64
	reportedAt   map[string]float64
	granted      map[string]float64
	grantedUntil map[string]float64
	leading      bool
	since        float64
}

func newLeader(w *LimitWorld, r limitshare.Rules, l limitshare.Limit) *leader {
	return &leader{bucket: bucket{limit: l, drift: r.Drift}, w: w, self: r.Self, roster: r.Roster, demands: map[string]float64{}, reportedAt: map[string]float64{},
		granted: map[string]float64{}, grantedUntil: map[string]float64{}, since: math.Inf(1)}
}

func (l *leader) Take(now float64, _ []limitshare.Use, _ float64) limitshare.Verdict {
	if now >= l.until {
		l.set(now, 0)
	}
	return l.take(now)
}
func (l *leader) Done(float64, []limitshare.Use) {}
func (l *leader) Due() float64                   { return l.next }

func (l *leader) Step(now float64, in []virtual.Packet) (out []virtual.Packet) {
	longestTerm := l.limit.Term * (1 + l.drift) / (1 - l.drift)
	who := l.w.currentLeader()
	if lead := who == l.self; lead != l.leading {
		l.leading, l.since = lead, now
		clear(l.granted)
	}
	grant := func(name string, demand float64) float64 {
		l.demands[name], l.reportedAt[name] = demand, now
		fresh, others := map[string]float64{}, 0.0
		for n, at := range l.reportedAt {
			if now-at < l.limit.Term {
				fresh[n] = l.demands[n]
			}
			if n != name && now < l.grantedUntil[n] {
				others += l.granted[n]
			}
		}
		if now < l.since+longestTerm {
			return 0
		}
		g := max(0, min(divide(1, fresh)[name], 1-others))
		l.granted[name] = max(g, 0)
		l.grantedUntil[name] = now + longestTerm
		return g
	}
	for _, p := range in {
		t := p.Data.(report)
		if t.answer {
			if now < t.sent+l.limit.Term {
				l.set(now, t.share)
				l.until = t.sent + l.limit.Term
			}
		} else if l.leading {
			out = append(out, virtual.Packet{To: p.From, Data: report{answer: true, share: grant(p.From, t.demand), sent: t.sent}, Size: 60})
		}
	}
	if now >= l.next {
		l.next = now + reportInterval
		d := min(1, l.demand(now)*1.15/l.limit.Size)
		if l.leading {
			l.set(now, grant(l.self, d))
			l.until = now + l.limit.Term
		} else if who != "" {
			out = append(out, virtual.Packet{To: who, Data: report{demand: d, sent: now}, Size: 60})
		}
	}
	return out
}

// currentLeader returns the current leader of the Leader strategy, as a perfect lease service would.
func (w *LimitWorld) currentLeader() string {
	for _, name := range w.living {
		for i, n := range w.members {
			if n != nil && !n.paused && Name(i) == name {
				return name
			}
		}
	}
	return ""
}

// gossip lets each member send its demand to all others, and all compute the same division.
type gossip struct {
	bucket
	self       string
	roster     []string
	next       float64
	demands    map[string]float64
	reportedAt map[string]float64
}

func newGossip(_ *LimitWorld, r limitshare.Rules, l limitshare.Limit) *gossip {
	g := &gossip{bucket: bucket{limit: l, drift: r.Drift, share: 1 / float64(len(r.Roster))}, self: r.Self, roster: r.Roster, demands: map[string]float64{}, reportedAt: map[string]float64{}}
	return g
}

func (g *gossip) Take(now float64, _ []limitshare.Use, _ float64) limitshare.Verdict {
	return g.take(now)
}
func (g *gossip) Done(float64, []limitshare.Use) {}
func (g *gossip) Due() float64                   { return g.next }

func (g *gossip) Step(now float64, in []virtual.Packet) (out []virtual.Packet) {
	for _, p := range in {
		g.demands[p.From], g.reportedAt[p.From] = p.Data.(report).demand, now
	}
	if now < g.next {
		return nil
	}
	g.next = now + reportInterval
	d := min(1, g.demand(now)*1.15/g.limit.Size)
	g.demands[g.self], g.reportedAt[g.self] = d, now
	for _, name := range g.roster {
		if name != g.self {
			out = append(out, virtual.Packet{To: name, Data: report{demand: d}, Size: 60})
		}
	}
	known := map[string]float64{}
	for _, name := range g.roster {
		if at, heard := g.reportedAt[name]; heard && now-at < 1000 {
			known[name] = g.demands[name]
		}
	}
	g.set(now, divide(1, known)[g.self])
	return out
}
