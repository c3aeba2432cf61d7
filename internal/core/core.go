// Package core stands between the sockets and the decision module. It has no I/O and no clock: requests,
// ended calls, list changes and due times go in, calls, answers and timers come out. It owns the numbers of
// scans, parts and nodes, the open scans, the dispatches' time-outs and the parts of second steps, and sees to
// it that each dispatch ends once and each scan is answered once. What to do is the module's to say.
package core

import (
	"container/heap"
	"maps"
	"math"
	"slices"

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
