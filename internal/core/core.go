// Package core connects the sockets to the decision module (package logic). It does no I/O and reads no clock:
// it turns socket events and expired timers into events of the module, and the module's actions into calls,
// replies and timers. It numbers scans, parts and nodes, keeps the open scans, the timeouts of dispatches and
// the parts of second steps, and guarantees that each dispatch ends once and each scan gets one reply. All
// decisions are the module's.
package core

import (
	"container/heap"
	"maps"
	"math"
	"slices"

	"gullstair/internal/startsettings"
	"gullstair/logic"
)

// Counts are the counters of one broker, written to its log.
type Counts struct {
	Scans, Answered, Complete, Throttled, Abandoned, ClientsLeft, OverCapacity int
	CellThrottled                                                              int // scans throttled by the limits of their cell
	LimitThrottled                                                             int // scans throttled by limits that brokers share
	BudgetDenied                                                               int // further dispatches denied by the fleet's retry budget
	Dispatches, LateEnds                                                       int // LateEnds: ends of dispatches that had already ended
	Ends                                                                       [NodeRemoved + 1]int
	ShadowDiffs                                                                map[string]int // decisions that the shadow settings change, by kind; nil without shadow settings
}

type scan struct {
	*Scan
	num               int64
	step              int
	parts             []*part // of the current step
	deadline          float64
	answeredShards    string // shards that had answered when the first step ended
	firstStepComplete bool
}

type part struct {
	id          int64
	scan        *scan
	shard       int
	weight      float64
	work        float64
	answered    bool
	value       string
	score       float64
	attempts    int
	firstRunAt  float64 // when the first dispatch that may have run was sent; 0 if there is none
	outstanding []*dispatch
}

type dispatch struct {
	ref       int64
	part      *part
	attempt   int
	node      int64
	host      string
	at        float64
	timeoutAt float64
	finished  bool
}

// Core is the state of one broker. It is not safe for concurrent use.
type Core struct {
	Counts Counts

	reportsList     bool            // emits the node list on each change, for brokers that share probes or verdicts
	reportsOutcomes bool            // emits the outcomes of dispatches
	failedNodes     []int64         // nodes whose failed dispatches are reported to the module in this step
	drained         map[string]bool // nodes drained by an operator
	closing         bool            // no new scan is admitted
	guard           *guard
	limiter         Limiter
	queued          []queuedScan // scans that wait for capacity of the shared limits

	settings    startsettings.Settings
	module      logic.Broker
	now         float64
	out         []Output
	events      []logic.Event // for the next step of the module
	timers      timerHeap
	lastNumber  int64 // last number assigned; scans, parts, dispatches and timers share one sequence
	scans       map[int64]*scan
	byClientID  map[string]*scan // open scans by the client's ID
	parts       map[int64]*part
	open        int // number of open scans and parts
	dispatches  map[int64]*dispatch
	probes      map[int64]probe // outstanding probes by number
	secondSteps []*scan         // scans whose second step starts in the next Step

	numbers    map[string]int64 // node numbers by name
	knownNodes map[int64]*nodeState
}

type probe struct {
	node   int64
	at     float64
	shared bool // run on behalf of all brokers, not requested by the module
}

type nodeState struct {
	host, addr string
	gone       bool
	ready      bool // neither gone nor draining
	node       Node // as the list reports it
	zone       string
	cell       int
	born       float64
}

// New returns a core whose first Step passes the start event and the cached list to the module.
func New(settings startsettings.Settings, flat map[string]any, seed uint64, known []Node) *Core {
	c := &Core{settings: settings, scans: map[int64]*scan{}, byClientID: map[string]*scan{}, parts: map[int64]*part{},
		dispatches: map[int64]*dispatch{}, probes: map[int64]probe{},
		numbers: map[string]int64{}, knownNodes: map[int64]*nodeState{}}
	c.events = append(c.events, logic.Event{Kind: logic.Started, Seed: seed, Settings: flat})
	c.applyList(List{Kind: logic.ListCached, Nodes: known})
	return c
}

// SetShadowSettings makes the module compare its decisions with those that it would take under other settings.
// The differences are counted by kind and have no other effect. Call it before the first Step.
func (c *Core) SetShadowSettings(flat map[string]any) {
	c.Counts.ShadowDiffs = map[string]int{}
	c.events[0].ShadowSettings, c.events[0].ShadowDiffs = flat, c.Counts.ShadowDiffs
}

// Due returns the time at which Step must be called next even without input; +Inf if there is none.
func (c *Core) Due() float64 {
	if len(c.events) > 0 || len(c.secondSteps) > 0 {
		return math.Inf(-1)
	}
	if len(c.timers) == 0 {
		return math.Inf(1)
	}
	return c.timers[0].at
}

// Open returns the number of scans that have no reply yet.
func (c *Core) Open() int { return len(c.scans) }

// Number returns the number of a node by its name; 0 if no list has named it.
func (c *Core) Number(host string) int64 { return c.numbers[host] }

// Step applies the inputs and the expired timers, steps the module once and returns the outputs.
func (c *Core) Step(now float64, in []Input) []Output {
	c.now = max(now, c.now)
	c.guard.checkCells(c.now)
	for _, s := range c.secondSteps {
		c.addSecondStep(s)
	}
	c.secondSteps = c.secondSteps[:0]
	for _, x := range in {
		switch v := x.(type) {
		case *Scan:
			c.receiveScan(v)
		case LimitsChanged:
			c.retryQueuedScans(true)
		case ClientLeft:
			if c.dropQueuedScan(v.Scan) {
				c.Counts.ClientsLeft++
			} else if s := c.scans[v.Scan.num]; s != nil && s.Scan == v.Scan {
				c.Counts.ClientsLeft++
				c.events = append(c.events, logic.Event{Kind: logic.ClientLeft, ID: s.num})
				c.closeScan(s)
			}
		case Ended:
			c.dispatchEnded(v)
		case List:
			c.applyList(v)
		case ProbeRequest:
			c.probeForPeers(v.Host)
		case PeerProbe:
			c.applyPeerProbe(v)
		case PeerNote:
			c.events = append(c.events, logic.Event{Kind: logic.PeerNote, Note: v.Note})
		case NodeVerdict:
			c.applyVerdict(v)
		case CellsQuery:
			v.Reply <- c.Cells()
		case Shutdown:
			c.closing = true
			for len(c.queued) > 0 {
				w := c.queued[0]
				c.queued = c.queued[1:]
				c.throttle(w.scan, w.LimitDecision)
			}
			for _, num := range slices.Sorted(maps.Keys(c.scans)) {
				c.abandon(c.scans[num], "stopping")
			}
		}
	}
	var expired []*dispatch
	for len(c.timers) > 0 && c.timers[0].at <= c.now {
		if t := heap.Pop(&c.timers).(timer); t.sent != nil {
			expired = append(expired, t.sent)
		} else {
			c.fire(t)
		}
	}
	c.addFleetBudget()
	events := c.events
	c.events = nil
	for _, d := range expired {
		if !d.finished {
			c.emit(Cancel{Host: d.host, Ref: d.ref})
			c.finish(d, Ended{Reason: TimedOut, At: c.now})
		}
	}
	c.failedNodes = c.failedNodes[:0]
	for i := range events {
		if e := &events[i]; c.reportsOutcomes && e.Kind == logic.DispatchEnded && e.Outcome != logic.Completed && e.Outcome != logic.Overdue {
			c.failedNodes = append(c.failedNodes, e.Node)
		}
	}
	c.act(c.module.Step(c.now, events))
	out := c.out
	c.out = nil
	return out
}

func (c *Core) nextNumber() int64 {
	c.lastNumber++
	return c.lastNumber
}

func (c *Core) schedule(t timer) {
	t.seq = c.nextNumber()
	heap.Push(&c.timers, t)
}

func (c *Core) fire(t timer) {
	if t.retryQueued {
		c.retryQueuedScans(false)
	} else if t.event != nil {
		c.events = append(c.events, *t.event)
	} else if t.probe != 0 {
		c.probeEnded(Ended{Ref: t.probe, Reason: TimedOut, At: c.now})
	} else if t.admitted == nil {
		c.events = append(c.events, logic.Event{Kind: logic.TimerDue, Timer: t.moduleTimer})
	} else if c.scans[t.admitted.num] == t.admitted {
		// The client's deadline has passed and the module has not ended the scan. Every scan must get a reply:
		// this guards against a bug in the module or a stalled process. The scan is lost in any case.
		c.abandon(t.admitted, "out of time")
	}
}
