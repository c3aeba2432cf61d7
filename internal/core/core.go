// Package core stands between the sockets and the decision module. It has no I/O and no clock: requests,
// ended calls, list changes and due times go in, calls, answers and timers come out. It owns the numbers of
// scans, parts and nodes, the open scans, the dispatches' time-outs and the parts of second steps, and sees to
// it that each dispatch ends once and each scan is answered once. What to do is the module's to say.
package core

import (
	"cmp"
	"container/heap"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"gullstair/internal/terms"
	"gullstair/logic"
)

// Counts are kept for the log.
type Counts struct {
	Scans, Answered, Whole, Throttled, Abandoned, Left, Full int
	Confined                                                 int // throttled by their cell
	Limited                                                  int // throttled by limits that brokers share
	Short                                                    int // further dispatches barred by the fleet's budget
	Dispatches, Late                                         int // Late: ends of dispatches that had ended
	Ends                                                     [Withdrawn + 1]int
	Differs                                                  map[string]int // by kind, where watched settings decide otherwise; nil: none are
}

type scan struct {
	*Scan
	num       int64
	step      int
	parts     []*part // of the present step
	endAt     float64
	from      string // shards that were in when the first step ended
	firstFull bool
}

type part struct {
	id          int64
	scan        *scan
	shard       int
	weight      float64
	work        float64
	in          bool
	value       string
	score       float64
	tries       int
	ranAt       float64 // when the first dispatch that may have run was sent; 0: none
	outstanding []*dispatch
}

type dispatch struct {
	ref      int64
	part     *part
	n        int
	node     int64
	host     string
	at       float64
	overAt   float64
	finished bool
}

// due is a moment at which something is to happen: a timer of the module, a dispatch's time-out, or the end
// of a client's time.
type due struct {
	at     float64
	seq    int64
	timer  int64
	probe  int64
	d      *dispatch
	s      *scan
	told   *logic.Event
	waited bool // scans that wait for shared limits are looked at
}

// crossing is how long a part that was given up at one node is kept from the others. Word of it goes over another
// connection than the next dispatch, which could arrive first and be a second copy; not every site allows those.
const crossing = 5.0

type dueHeap []due

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *dueHeap) Push(x any)   { *h = append(*h, x.(due)) }
func (h *dueHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = due{}
	*h = old[:len(old)-1]
	return x
}

// Core is one broker's; only one goroutine may call it.
type Core struct {
	Counts Counts

	sharing bool            // the list is told on: brokers share the probing of nodes, or what they hold of them
	judges  bool            // outcomes are told on
	said    []int64         // nodes of which something bad was told in this step
	drained map[string]bool // by an operator's order
	closing bool            // nothing is begun any more
	guard   *guard
	limiter Limiter
	waits   []waiting // scans that the shared limits may still take

	site    terms.Site
	brk     logic.Broker
	now     float64
	out     []Output
	events  []logic.Event // for the next Step of the module
	dues    dueHeap
	last    int64 // the number given last: scans, parts, dispatches and dues share them
	scans   map[int64]*scan
	ids     map[string]*scan // by the client's id
	parts   map[int64]*part
	open    int // scans and parts
	flights map[int64]*dispatch
	probes  map[int64]probe // that are out, by number
	second  []*scan         // with a second step to begin

	nodes map[string]int64 // numbers, by name
	hosts map[int64]*place
}

type probe struct {
	node   int64
	at     float64
	shared bool // for all brokers, not at the module's word
}

type place struct {
	host, addr string
	gone       bool
	ready      bool // neither gone nor draining
	node       Node // as the list has it
	zone       string
	cell       int
	born       float64
}

// New makes a core that has its start event and its cached list to tell.
func New(site terms.Site, flat map[string]any, seed uint64, known []Node) *Core {
	c := &Core{site: site, scans: map[int64]*scan{}, ids: map[string]*scan{}, parts: map[int64]*part{},
		flights: map[int64]*dispatch{}, probes: map[int64]probe{},
		nodes: map[string]int64{}, hosts: map[int64]*place{}}
	c.events = append(c.events, logic.Event{Kind: logic.Started, Seed: seed, Terms: flat})
	c.list(List{Kind: logic.ListCached, Nodes: known})
	return c
}

// Watch has the module compare its decisions with what it would decide under other settings; the differences are
// counted by kind and nothing else comes of it. It is called before the first Step.
func (c *Core) Watch(flat map[string]any) {
	c.Counts.Differs = map[string]int{}
	c.events[0].Watched, c.events[0].Differs = flat, c.Counts.Differs
}

// Due is the moment at which Step is wanted next though nothing comes in; +Inf when there is none.
func (c *Core) Due() float64 {
	if len(c.events) > 0 || len(c.second) > 0 {
		return math.Inf(-1)
	}
	if len(c.dues) == 0 {
		return math.Inf(1)
	}
	return c.dues[0].at
}

// Open says how many scans wait for their answer.
func (c *Core) Open() int { return len(c.scans) }

// Number is the number of a node, by its name; 0 for one that no list has named.
func (c *Core) Number(host string) int64 { return c.nodes[host] }

// Step takes what came in by now, together with what is due, through the module once.
func (c *Core) Step(now float64, in []Input) []Output {
	c.now = max(now, c.now)
	c.guard.look(c.now)
	for _, s := range c.second {
		c.tellSecond(s)
	}
	c.second = c.second[:0]
	for _, x := range in {
		switch v := x.(type) {
		case *Scan:
			c.take(v)
		case LimitsMoved:
			c.lookWaiting(true)
		case Left:
			if c.forgetWaiting(v.Scan) {
				c.Counts.Left++
			} else if s := c.scans[v.Scan.num]; s != nil && s.Scan == v.Scan {
				c.Counts.Left++
				c.events = append(c.events, logic.Event{Kind: logic.ClientLeft, ID: s.num})
				c.close(s)
			}
		case Ended:
			c.ended(v)
		case List:
			c.list(v)
		case ProbeFor:
			c.probeFor(v.Host)
		case ProbeHeard:
			c.probeHeard(v)
		case Told:
			c.events = append(c.events, logic.Event{Kind: logic.PeerNote, Note: v.Note})
		case Held:
			c.held(v)
		case AskCells:
			v.Reply <- c.Cells()
		case Closing:
			c.closing = true
			for len(c.waits) > 0 {
				w := c.waits[0]
				c.waits = c.waits[1:]
				c.refuse(w.scan, w.Ruling)
			}
			for _, num := range slices.Sorted(maps.Keys(c.scans)) {
				c.abandon(c.scans[num], "stopping")
			}
		}
	}
	var over []*dispatch
	for len(c.dues) > 0 && c.dues[0].at <= c.now {
		if d := heap.Pop(&c.dues).(due); d.d != nil {
			over = append(over, d.d)
		} else {
			c.fire(d)
		}
	}
	c.budgeted()
	events := c.events
	c.events = nil
	for _, d := range over {
		if !d.finished {
			c.do(GiveUp{Host: d.host, Ref: d.ref})
			c.finish(d, Ended{How: OutOfTime, At: c.now})
		}
	}
	c.said = c.said[:0]
	for i := range events {
		if e := &events[i]; c.judges && e.Kind == logic.DispatchEnded && e.Outcome != logic.Completed && e.Outcome != logic.Overdue {
			c.said = append(c.said, e.Node)
		}
	}
	c.act(c.brk.Step(c.now, events))
	out := c.out
	c.out = nil
	return out
}

func (c *Core) number() int64 {
	c.last++
	return c.last
}

func (c *Core) plan(d due) {
	d.seq = c.number()
	heap.Push(&c.dues, d)
}

func (c *Core) fire(d due) {
	if d.waited {
		c.lookWaiting(false)
	} else if d.told != nil {
		c.events = append(c.events, *d.told)
	} else if d.probe != 0 {
		c.probed(Ended{Ref: d.probe, How: OutOfTime, At: c.now})
	} else if d.s == nil {
		c.events = append(c.events, logic.Event{Kind: logic.TimerDue, Timer: d.timer})
	} else if c.scans[d.s.num] == d.s {
		// The client's time is up and the module has not ended the scan: no scan may stay without an answer.
		// It guards against a fault in the module or a stalled process; it can harm nothing that could be saved.
		c.abandon(d.s, "out of time")
	}
}

// abandon ends a scan that the module has not ended, and tells it so.
func (c *Core) abandon(s *scan, why string) {
	c.events = append(c.events, logic.Event{Kind: logic.ClientLeft, ID: s.num})
	c.reply(s, Reply{Kind: logic.Abandon, Why: why})
}

// take gives a scan and its parts their numbers and tells the module, unless it would be too many at once.
func (c *Core) take(r *Scan) {
	c.Counts.Scans++
	if c.closing { // it was read while the others were given up: nobody would be there for its answer
		c.Counts.Throttled++
		c.do(Reply{Scan: r, Kind: logic.Throttle, Why: "stopping"})
		return
	}
	size := 1 + len(r.Parts)
	left := r.TimeLeft - max(0, c.now-r.At)
	if c.site.OpenCap > 0 && c.open+size > c.site.OpenCap {
		c.Counts.Full++
		c.Counts.Throttled++
		c.do(Reply{Scan: r, Kind: logic.Throttle, Why: "too many scans open"})
		return
	}
	if left <= 0 {
		c.Counts.Abandoned++
		c.do(Reply{Scan: r, Kind: logic.Abandon, Why: "out of time"})
		return
	}
	// Nodes answer by the id, and give up by it: the scan that has it would get the other's values, or be ended.
	if c.ids[r.ID] != nil {
		c.Counts.Abandoned++
		c.do(Reply{Scan: r, Kind: logic.Abandon, Conflict: true, Why: "an open request has this X-Correlation-Id"})
		return
	}
	for _, p := range r.Parts {
		r.work += p.Work
	}
	if !c.confined(r) || !c.limited(r, left) {
		return
	}
	c.admit(r, left)
}

// admit gives a scan that is taken its number, and tells the module.
func (c *Core) admit(r *Scan, left float64) {
	s := &scan{Scan: r, num: c.number(), step: 1, endAt: c.now + left}
	r.num, r.began = s.num, c.now
	c.scans[s.num], c.ids[r.ID] = s, s
	work, flags := 0.0, int64(0)
	if r.Repeat {
		flags |= 2
	}
	for _, p := range r.Parts {
		s.parts = append(s.parts, c.part(s, p.Shard, p.Weight, p.Work))
		work += p.Work
	}
	c.open++
	whole := logic.Event{Kind: logic.ScanArrived, ID: s.num, Scan: s.num, Shard: -1, Amount: float64(len(s.parts)),
		Budget: left, TableType: r.TableType, Tenant: r.Tenant, Hint: work, Flags: flags,
		Permitted: r.held.Permitted}
	if work > 0 {
		whole.Flags |= 1
	}
	c.events = append(c.events, whole)
	for _, p := range s.parts {
		c.tellPart(p, flags)
	}
	c.plan(due{at: s.endAt, s: s})
}

func (c *Core) part(s *scan, shard int, weight, work float64) *part {
	p := &part{id: c.number(), scan: s, shard: shard, weight: weight, work: work}
	c.parts[p.id] = p
	c.open++
	return p
}

func (c *Core) tellPart(p *part, flags int64) {
	if p.work > 0 {
		flags |= 1
	}
	s := p.scan
	c.events = append(c.events, logic.Event{Kind: logic.PartArrived, ID: p.id, Scan: s.num, Shard: p.shard,
		Amount: p.weight, Budget: s.endAt - c.now, TableType: s.TableType, Tenant: s.Tenant, Hint: p.work, Flags: flags})
}

// tellSecond tells the parts of a second step, one turn after the answer that began it.
func (c *Core) tellSecond(s *scan) {
	if c.scans[s.num] != s {
		return // ended meanwhile
	}
	for _, p := range s.parts {
		c.tellPart(p, 0)
	}
}

// ended takes a dispatch's end from the sockets. One that had ended before is counted and dropped.
func (c *Core) ended(e Ended) {
	d := c.flights[e.Ref]
	if c.probed(e) {
		return
	}
	if d == nil || d.finished {
		c.Counts.Late++
		return
	}
	c.finish(d, e)
}

// finish is the one place where a dispatch ends.
func (c *Core) finish(d *dispatch, e Ended) {
	p := d.part
	d.finished = true
	delete(c.flights, d.ref)
	p.outstanding = slices.DeleteFunc(p.outstanding, func(o *dispatch) bool { return o == d })
	c.Counts.Ends[e.How]++
	if e.How == Answered && !p.in {
		p.in, p.value, p.score = true, e.Value, e.Score
	}
	if o := e.How.Outcome(); p.ranAt == 0 && o != logic.Saturated && o != logic.ConnRefused && o != logic.Superseded {
		p.ranAt = d.at
	}
	if c.judges && e.How == TurnedAway {
		c.do(Judged{Host: d.host, Outcome: logic.Saturated})
	}
	open := c.parts[p.id] == p
	told := logic.Event{Kind: logic.DispatchEnded, ID: p.id, Dispatch: d.n, Node: d.node,
		Outcome: e.How.Outcome(), Elapsed: max(0, e.At-d.at), Closed: p.in || !open, Load: e.Load}
	if open && (e.How == OutOfTime || e.How == TakenBack) {
		c.plan(due{at: c.now + crossing, told: &told}) // the node is told now, the module when the node knows
		return
	}
	c.events = append(c.events, told)
}

// act carries out the module's actions in their order. What goes to one node is gathered in frames.
func (c *Core) act(acts []logic.Action) {
	calls := map[int64]int{} // by node: where its frame stands in out
	for _, a := range acts {
		switch a.Kind {
		case logic.Dispatch:
			c.dispatch(a, calls)
		case logic.Recall:
			if p := c.parts[a.ID]; p != nil {
				for _, d := range p.outstanding {
					if d.n == a.Dispatch {
						c.takeBack(d)
						break
					}
				}
			}
		case logic.Answer, logic.Throttle, logic.Abandon:
			if s := c.scans[a.ID]; s != nil {
				c.final(s, a)
			}
		case logic.SetTimer:
			c.plan(due{at: c.now + a.After, timer: a.Timer})
		case logic.Subscribe:
			c.do(Watch{})
		case logic.Probe:
			c.probe(a.Node, false)
		case logic.Short:
			if c.limiter != nil {
				c.Counts.Short++
				c.limiter.Further() // refused, or it is left unused: that much more is wanted here
			}
		case logic.Tell:
			c.do(Tell{Note: a.Note})
		case logic.Judged:
			if at := c.hosts[a.Node]; at != nil {
				how := logic.Overdue // it said nothing: the module had waited for long enough
				if a.Whole {
					how = logic.Completed
				} else if slices.Contains(c.said, a.Node) {
					how = logic.Errored
				}
				c.do(Judged{Host: at.host, Outcome: how, Late: a.Late})
			}
		case logic.Note:
			c.do(Log{Text: a.Text})
		case logic.Fatal:
			c.do(Log{Text: a.Text, Fatal: true})
		}
	}
}

func (c *Core) dispatch(a logic.Action, calls map[int64]int) {
	p := c.parts[a.ID]
	if p == nil {
		return // its scan has ended: there is nobody to tell either
	}
	s, at := p.scan, c.hosts[a.Node]
	d := &dispatch{ref: c.number(), part: p, n: p.tries, node: a.Node, at: c.now, overAt: s.endAt}
	p.tries++
	p.outstanding = append(p.outstanding, d)
	c.flights[d.ref] = d
	switch {
	case p.tries > c.site.Dispatches || s.endAt <= c.now || d.n > 0 && c.limiter != nil && !c.limiter.Further():
		c.finish(d, Ended{How: NeverSent, At: c.now})
		return
	case at == nil || at.addr == "":
		c.finish(d, Ended{How: NoAddress, At: c.now})
		return
	case a.After < 0:
		c.finish(d, Ended{How: OutOfTime, At: c.now})
		return
	case a.After > 0:
		d.overAt = min(d.overAt, c.now+a.After)
	}
	d.host = at.host
	c.Counts.Dispatches++
	c.plan(due{at: d.overAt, d: d})
	cp := CallPart{Ref: d.ref, ID: s.ID + "." + strconv.Itoa(p.shard), Shard: p.shard, Until: d.overAt, Text: s.Text}
	if c.site.Types[s.TableType].Keyed {
		cp.Key, cp.NotAfter = s.Key, c.notAfter(p)
	}
	if s.step == 2 {
		cp.ID, cp.From, cp.Whole = cp.ID+".get", s.from, s.firstFull
	}
	if i, begun := calls[a.Node]; begun {
		if call := c.out[i].(Call); len(call.Parts) < max(1, c.site.Batch) {
			call.Parts = append(call.Parts, cp)
			c.out[i] = call
			return
		}
	}
	calls[a.Node] = len(c.out)
	c.do(Call{Host: at.host, Addr: at.addr, Parts: []CallPart{cp}})
}

// notAfter is the latest moment at which a further dispatch of a keyed part may be written: while repeats are
// dropped, counted from the first dispatch that may have run. The module keeps to it when it decides; a
// connection that has to come up first would carry the frame past it. 0: there is no such moment.
// A dispatch that is still out counts as one that ran.
func (c *Core) notAfter(p *part) float64 {
	first := p.ranAt
	for _, d := range p.outstanding {
		if d.n < p.tries-1 && (first == 0 || d.at < first) {
			first = d.at
		}
	}
	if first == 0 {
		return 0
	}
	return first + c.site.Types[p.scan.TableType].RepeatWindow
}

// probe asks a node for its load. A probe waits as long as a connection may take to come up.
func (c *Core) probe(num int64, shared bool) {
	ref, at := c.number(), c.hosts[num]
	c.probes[ref] = probe{node: num, at: c.now, shared: shared}
	if at == nil || at.addr == "" {
		c.probed(Ended{Ref: ref, How: NoAddress, At: c.now})
		return
	}
	c.plan(due{at: c.now + c.site.ConnectTimeout, probe: ref})
	c.do(Probe{Host: at.host, Addr: at.addr, Ref: ref})
}

// probed ends a probe, if e is the end of one that is out.
func (c *Core) probed(e Ended) bool {
	p, out := c.probes[e.Ref]
	if out {
		delete(c.probes, e.Ref)
		c.events = append(c.events, logic.Event{Kind: logic.ProbeEnded, Node: p.node, Outcome: e.How.Outcome(),
			Elapsed: max(0, e.At-p.at), Load: e.Load})
		if at := c.hosts[p.node]; p.shared && at != nil {
			c.do(Probed{Host: at.host, Served: e.How == Answered, Load: e.Load})
		}
	}
	return out
}

// probeFor probes a node for all brokers; one that drains or is gone is not probed, whoever still believes in it.
func (c *Core) probeFor(host string) {
	num, known := c.nodes[host]
	if !known || !c.hosts[num].ready {
		c.do(Probed{Host: host})
		return
	}
	c.probe(num, true)
}

// probeHeard tells the module of another broker's probe, as of one of its own, with its age. Of a node that no list has
// named here nothing is told.
func (c *Core) probeHeard(v ProbeHeard) {
	num, known := c.nodes[v.Host]
	if !known || c.hosts[num].gone {
		return
	}
	how := logic.Completed
	if !v.Served {
		how = logic.Overdue
	}
	c.events = append(c.events, logic.Event{Kind: logic.ProbeEnded, Node: num, Outcome: how, Load: v.Load, Age: v.Age})
}

// takeBack ends an open dispatch that nobody waits for any more and tells the node.
func (c *Core) takeBack(d *dispatch) {
	c.do(GiveUp{Host: d.host, Ref: d.ref})
	c.finish(d, Ended{How: TakenBack, At: c.now})
}

// final carries out the module's word on a scan: the first answer of two begins the second step, any other
// is what the client gets.
func (c *Core) final(s *scan, a logic.Action) {
	if a.Kind == logic.Answer && s.step == 1 && c.site.Types[s.TableType].Fetch > 0 {
		c.beginSecond(s, a.Whole)
		return
	}
	r := Reply{Kind: a.Kind}
	switch a.Kind {
	case logic.Answer:
		r.Whole = a.Whole
		for _, p := range s.parts {
			if p.in {
				r.Hits = append(r.Hits, Hit{p.shard, p.value})
			}
		}
	case logic.Throttle:
		if c.site.RetryAfterAllowed {
			r.RetryAfter = max(0, a.After)
		}
	}
	c.reply(s, r)
}

// beginSecond ends the first step: the shards that scored highest among those in are asked next, the lower
// shard first where scores are alike.
func (c *Core) beginSecond(s *scan, whole bool) {
	var in []*part
	for _, p := range s.parts {
		if p.in {
			in = append(in, p)
		}
	}
	slices.SortFunc(in, func(p, q *part) int { return p.shard - q.shard })
	from := make([]string, len(in))
	for i, p := range in {
		from[i] = strconv.Itoa(p.shard)
	}
	slices.SortStableFunc(in, func(p, q *part) int {
		if p.score != q.score && (p.score > q.score) {
			return -1
		} else if p.score != q.score {
			return 1
		}
		return 0
	})
	c.dropParts(s)
	s.step, s.from, s.firstFull = 2, strings.Join(from, "+"), whole
	chosen := in[:min(len(in), c.site.Types[s.TableType].Fetch)]
	for _, p := range chosen {
		s.parts = append(s.parts, c.part(s, p.shard, 1/float64(len(chosen)), 0))
	}
	c.second = append(c.second, s)
}

// reply gives a scan its one answer.
func (c *Core) reply(s *scan, r Reply) {
	switch r.Kind {
	case logic.Answer:
		c.Counts.Answered++
		if r.Whole {
			c.Counts.Whole++
		}
	case logic.Throttle:
		c.Counts.Throttled++
	default:
		c.Counts.Abandoned++
	}
	r.Scan = s.Scan
	c.do(r)
	c.close(s)
}

// close forgets a scan; what is still out for it is taken back.
func (c *Core) close(s *scan) {
	c.dropParts(s)
	delete(c.scans, s.num)
	delete(c.ids, s.ID)
	c.open--
	c.guard.ended(c.now, s.Scan)
	c.unlimit(s.Scan)
}

func (c *Core) dropParts(s *scan) {
	for _, p := range s.parts {
		for len(p.outstanding) > 0 {
			c.takeBack(p.outstanding[0])
		}
		delete(c.parts, p.id)
		c.open--
	}
	s.parts = nil
}

// list gives the nodes of a list their numbers and tells the module. A node's number is made of its name, so
// that all brokers, which share nothing, mean the same node by it; where two names meet, the next free number
// is taken. A name keeps its number for good.
func (c *Core) list(l List) {
	e := logic.Event{Kind: logic.ListArrived, List: l.Kind}
	named := map[int64]bool{}
	for _, n := range l.Nodes {
		listed := n
		if c.drained[n.Host] && n.Readiness == logic.Ready {
			n.Readiness = logic.Draining
		}
		num, known := c.nodes[n.Host]
		if !known {
			h := fnv.New32a()
			h.Write([]byte(n.Host))
			for num = int64(h.Sum32()); num == 0 || c.hosts[num] != nil; num++ {
			}
			c.nodes[n.Host], c.hosts[num] = num, &place{host: n.Host}
		}
		named[num] = true
		c.place(c.hosts[num], n, listed)
		e.Entries = append(e.Entries, logic.Entry{Node: num, Zone: c.index(c.site.Zones, n.Zone),
			Kind: c.index(c.site.Kinds, n.Kind), Cell: n.Cell, Readiness: n.Readiness, Units: n.Units, Born: n.Born})
	}
	if l.Kind == logic.ListWhole || l.Kind == logic.ListCached {
		for num, at := range c.hosts {
			if !named[num] && !at.gone {
				at.gone, at.ready = true, false
				c.do(Move{Host: at.host, Addr: at.addr, Gone: true})
			}
		}
	}
	c.events = append(c.events, e)
	c.guard.list(c)
	c.release()
	if c.sharing {
		c.do(c.listed())
	}
}

// place takes up what a list says of a node, and tells the node's peer if it concerns that: where the node is, that it
// drains, or that it is gone.
func (c *Core) place(at *place, n, listed Node) {
	ready, gone := n.Readiness == logic.Ready, n.Readiness == logic.Gone
	moved := n.Addr != "" && at.addr != n.Addr || at.gone != gone || at.ready && !ready
	at.node, at.zone, at.cell, at.born = listed, n.Zone, n.Cell, n.Born
	at.addr, at.ready, at.gone = cmp.Or(n.Addr, at.addr), ready, gone
	if moved {
		c.do(Move{Host: at.host, Addr: at.addr, Draining: !ready && !gone, Gone: gone})
	}
}

// listed names the nodes that may be probed, in order.
func (c *Core) listed() Listed {
	var l Listed
	for _, host := range slices.Sorted(maps.Keys(c.nodes)) {
		at := c.hosts[c.nodes[host]]
		if at.ready {
			l.Hosts = append(l.Hosts, host)
		}
		if !at.gone {
			l.Nodes = append(l.Nodes, at.node)
		}
	}
	return l
}

// held tells the module of a verdict. What an operator has drained is to it as if the list said so: nothing new goes there, and what is out may end.
func (c *Core) held(v Held) {
	num, known := c.nodes[v.Host]
	if was := c.drained[v.Host]; was != v.Drained {
		if delete(c.drained, v.Host); v.Drained {
			if c.drained == nil {
				c.drained = map[string]bool{}
			}
			c.drained[v.Host] = true
		}
		if known && !c.hosts[num].gone {
			c.list(List{Kind: logic.ListChanges, Nodes: []Node{c.hosts[num].node}})
		}
	}
	if known && !c.hosts[num].gone && v.Outcome != 0 {
		c.events = append(c.events, logic.Event{Kind: logic.VerdictHeard, Node: num, Outcome: v.Outcome, Age: v.Age})
	}
}

// Judge begins to tell outcomes on.
func (c *Core) Judge() { c.judges = true }

// Share begins to tell the list on, and says what it is.
func (c *Core) Share() Listed {
	c.sharing = true
	return c.listed()
}

// release forgets the nodes that are gone, once nothing is out at them: where nodes are replaced under new names all
// day their names would pile up. One that comes back is met as a stranger, by the number that its name makes.
func (c *Core) release() {
	busy := map[int64]bool{}
	for _, d := range c.flights {
		busy[d.node] = true
	}
	for _, p := range c.probes {
		busy[p.node] = true
	}
	for num, at := range c.hosts {
		if at.gone && !busy[num] {
			delete(c.hosts, num)
			delete(c.nodes, at.host)
		}
	}
}

// index is a name's place in a list of the settings; one that is not there gets -1, which is nobody's.
func (c *Core) index(list map[string]int, name string) int {
	if i, known := list[name]; known {
		return i
	}
	c.do(Log{Text: "a node's zone or kind is not in the settings: " + strconv.Quote(name)})
	return -1
}

func (c *Core) do(o Output) { c.out = append(c.out, o) }
