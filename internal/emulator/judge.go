package emulator

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gullstair/internal/core"
	"gullstair/logic"
)

// Rules that brokers must not break, in terms of what stores and clients observe. Reports print these texts.
const (
	RuleLost     = "a scan is lost"               // no answer in time, or a second answer
	RuleTwice    = "an effect twice"              // a non-replayable part executed twice, or a keyed one again after its repeat window
	RuleCopies   = "a second copy out"            // a part with two outstanding dispatches, or with more dispatches than allowed
	RuleDrain    = "a send after a drain's grace" // a part sent after the drain grace period of its store
	RuleCold     = "a cold store pushed over"     // a store overloaded during its warm-up until it crashed
	RuleHonest   = "an answer that is not honest" // wrong, unrequested or repeated values, or an answer wrongly marked complete
	RuleAfter    = "a part sent after its scan's answer"
	RuleHolder   = "a part sent to a store that does not hold it"
	RuleBudget   = "more dispatches than the budget"
	breachesMost = 50
	slack        = 60.0 // ms added to each time limit, for message delays and the brokers' turn interval
)

// Violation is one violation of a rule, with the scan concerned and its event trace.
type Breach struct {
	At    float64  `json:"at"`
	Rule  string   `json:"rule"`
	Scan  string   `json:"scan"`
	What  string   `json:"what"`
	Trace []string `json:"trace,omitempty"`
}

// Checker checks the rules against the events at stores and clients. It uses no internal state of the brokers.
type Judge struct {
	f        *Fleet
	Breaches []Breach
	Broken   map[string]int // number of violations by rule; not capped, unlike the list

	// postpone delays a check that depends on the order of two events that are reported over different connections, as
	// on real sockets; nil: check immediately.
	later  func(do func())
	stands map[int]bool // paused brokers, which can't answer

	scans map[string]*scanLog
	told  map[[2]int]float64    // by broker and store: when the broker was notified that the store is draining or gone
	out   map[string][]*copyOut // outstanding dispatches by part ID
	refs  map[int64]*copyOut    // outstanding dispatches by dispatch number

	budget map[int]*budget // by broker

	reached []*reached // scans with at least one part at a store; filled only if the fleet has shared limits
}

// reachedScan is a scan with at least one part at a store. Times are in ms.
type reached struct {
	tenant          string
	sent, at, ended float64
}

// dispatchBudget holds what a broker received (scans and parts) and its dispatches beyond the first of each part, within the
// budget window.
type budget struct{ taken, extra []counted }

// timedCount is a count with its time in ms.
type counted struct {
	at float64
	n  int
}

// sumSince removes entries older than from and returns the sum of the others.
func within(counts *[]counted, from float64) (sum int) {
	for len(*counts) > 0 && (*counts)[0].at < from {
		*counts = (*counts)[1:]
	}
	for _, count := range *counts {
		sum += count.n
	}
	return sum
}

// budgetFor returns the dispatch budget of a broker.
func (c *Judge) budgetOf(broker int) *budget {
	if c.budget[broker] == nil {
		c.budget[broker] = &budget{}
	}
	return c.budget[broker]
}

// scanRecord is what the checker knows of one scan. Times are in ms.
type scanLog struct {
	id       string
	text     string
	broker   int
	typ      *TableType
	shards   map[int]float64 // weight by shard
	taken    float64
	deadline float64
	answered bool
	released bool              // no answer is required: the broker was killed or paused, or the lack of an answer was reported
	runs     map[int][]float64 // execution times by shard
	tries    map[int]int       // dispatches by shard
	served   map[string]bool   // values that the broker received, by shard and step
	trace    []string
	reached  *reached
	tenant   string
}

// outstandingDispatch is a dispatch that has reached a store and has not ended.
type copyOut struct {
	part  string
	ref   int64
	until float64
}

// newChecker returns a checker for a fleet.
func newJudge(f *Fleet) *Judge {
	return &Judge{f: f, Broken: map[string]int{}, scans: map[string]*scanLog{}, told: map[[2]int]float64{},
		out: map[string][]*copyOut{}, refs: map[int64]*copyOut{}, stands: map[int]bool{}, budget: map[int]*budget{}}
}

// report records a violation. All are counted; only the first maxViolations are kept with details. s may be nil.
func (c *Judge) breach(at float64, rule string, s *scanLog, format string, args ...any) {
	c.Broken[rule]++
	if len(c.Breaches) >= breachesMost {
		return
	}
	violation := Breach{At: at, Rule: rule, What: fmt.Sprintf(format, args...)}
	if s != nil {
		violation.Scan, violation.Trace = s.id, append([]string(nil), s.trace...)
	}
	c.Breaches = append(c.Breaches, violation)
}

// addTrace appends a line to the scan's event trace, which holds at most 200 lines.
func (s *scanLog) note(at float64, format string, args ...any) {
	if len(s.trace) < 200 {
		s.trace = append(s.trace, fmt.Sprintf("%.1f ", at)+fmt.Sprintf(format, args...))
	}
}

// scanReceived records that a broker has received a complete scan.
func (c *Judge) taken(at float64, broker int, scan *core.Scan, typ *TableType) {
	s := &scanLog{id: scan.ID, text: scan.Text, broker: broker, typ: typ, shards: map[int]float64{}, taken: at,
		tenant: scan.Account, deadline: at + scan.TimeLeft, runs: map[int][]float64{}, tries: map[int]int{}, served: map[string]bool{}}
	for _, p := range scan.Parts {
		s.shards[p.Shard] = p.Weight
	}
	c.scans[scan.ID] = s
	if c.f.BudgetWindow > 0 {
		b := c.budgetOf(broker)
		b.taken = append(b.taken, counted{at, 1 + len(scan.Parts)})
	}
	s.note(at, "taken by broker %d: %s, %d parts, %.0f ms", broker, typ.Name, len(scan.Parts), scan.TimeLeft)
}

// scanReleased records that a scan needs no answer: its broker was killed or paused.
func (c *Judge) released(id string) {
	if s := c.scans[id]; s != nil {
		s.released = true
	}
}

// partSent checks a part that a broker sends to a store.
func (c *Judge) sent(at float64, broker int, store int, target *Store, scan, part string, shard int, second bool) {
	s := c.scans[scan]
	if s == nil {
		return
	}
	s.note(at, "part %s to %s", part, target.Name)
	if s.answered {
		c.breach(at, RuleAfter, s, "part %s", part)
	}
	if notifiedAt, known := c.told[[2]int{broker, store}]; known && at > notifiedAt+c.f.DrainGrace+slack {
		c.breach(at, RuleDrain, s, "part %s to %s, %.0f ms after broker %d was told", part, target.Name, at-notifiedAt, broker)
	}
	if !c.f.holds(target.Cell, shard) {
		c.breach(at, RuleHolder, s, "part %s to %s of cell %d", part, target.Name, target.Cell)
	}
	if c.f.BudgetWindow > 0 && s.tries[shard] > 0 && !second {
		// The broker and the checker see an event one message delay apart. The checker therefore ignores extra dispatches
		// near the edge of the window, and counts scans and parts received shortly before it.
		b := c.budgetOf(broker)
		b.extra = append(b.extra, counted{at, 1})
		extra := within(&b.extra, at-c.f.BudgetWindow+slack)
		received := within(&b.taken, at-c.f.BudgetWindow-slack)
		if limit := float64(c.f.BudgetSpare) + c.f.BudgetShare*float64(received); float64(extra) > limit+1 {
			c.breach(at, RuleBudget, s, "%d dispatches beyond the first within %.0f ms, %.1f allowed", extra, c.f.BudgetWindow, limit)
		}
	}
	if s.tries[shard]++; !second && s.tries[shard] > c.f.Dispatches+c.f.Dispatches*s.typ.Fetch {
		c.breach(at, RuleCopies, s, "part %s: dispatch %d of %d", part, s.tries[shard], c.f.Dispatches)
	}
}

// dispatchArrived records that a store has received a dispatch completely.
func (c *Judge) arrived(at float64, scan string, p *Part) {
	s := c.scans[scan]
	if s != nil && s.reached == nil && len(c.f.Limits) > 0 {
		s.reached = &reached{s.tenant, s.taken - c.f.Client, at, at}
		c.reached = append(c.reached, s.reached)
	}
	dispatch := &copyOut{part: p.ID, ref: p.Ref, until: p.Until}
	if !c.f.SecondCopies && s != nil {
		for _, other := range c.out[p.ID] {
			if other.until <= at {
				continue
			}
			check := func() {
				if c.refs[other.ref] == other {
					c.breach(at, RuleCopies, s, "part %s while another dispatch of it is out", p.ID)
				}
			}
			if c.later != nil {
				c.later(check)
			} else {
				check()
			}
		}
	}
	c.out[p.ID] = append(c.out[p.ID], dispatch)
	c.refs[p.Ref] = dispatch
}

// dispatchEnded records that a dispatch is no longer outstanding: it was answered, rejected or cancelled, or its
// connection ended.
func (c *Judge) over(ref int64) {
	dispatch := c.refs[ref]
	if dispatch == nil {
		return
	}
	delete(c.refs, ref)
	list := c.out[dispatch.part]
	for i, other := range list {
		if other == dispatch {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(c.out, dispatch.part)
	} else {
		c.out[dispatch.part] = list
	}
}

// partExecuted checks that a store may execute a part (completely or partially), given its earlier executions.
func (c *Judge) ran(at float64, scan string, shard int, second bool) {
	s := c.scans[scan]
	if s == nil || second {
		return
	}
	s.note(at, "shard %d has run", shard)
	s.runs[shard] = append(s.runs[shard], at)
	runs := s.runs[shard]
	if len(runs) < 2 {
		return
	}
	switch s.typ.Effect {
	case "non-replayable":
		c.breach(at, RuleTwice, s, "shard %d has run %d times", shard, len(runs))
	case "keyed":
		if at-runs[0] > s.typ.RepeatWindow+s.typ.Timeout {
			c.breach(at, RuleTwice, s, "shard %d ran again after %.0f ms", shard, at-runs[0])
		}
	}
}

// valueReceived records that a value has reached the broker.
func (c *Judge) came(scan string, shard int, second bool) {
	if s := c.scans[scan]; s != nil {
		s.served[fmt.Sprint(shard, second)] = true
	}
}

// scanAnswered checks a broker's answer to a scan.
func (c *Judge) replied(at float64, scan *core.Scan, reply core.Reply) {
	s := c.scans[scan.ID]
	if s == nil || reply.Conflict {
		return
	}
	s.note(at, "answered: kind %d, whole %v, %d values", reply.Kind, reply.Complete, len(reply.Hits))
	if s.answered {
		c.breach(at, RuleLost, s, "a second answer")
		return
	}
	s.answered = true
	if s.reached != nil && s.reached.ended == s.reached.at {
		s.reached.ended = at - c.f.Client // the scan ended when the broker sent the answer
	}
	if at > s.deadline+slack && !s.released {
		c.breach(at, RuleLost, s, "answered %.0f ms after its time", at-s.deadline)
	}
	if reply.Kind == logic.Throttle && s.typ.Effect == "non-replayable" {
		for _, runs := range s.runs {
			if len(runs) > 0 {
				c.breach(at, RuleTwice, s, "throttled though a part has run")
				break
			}
		}
	}
	if reply.Kind != logic.Answer {
		return
	}
	covered, seen := 0.0, map[int]bool{}
	second := s.typ.Fetch > 0
	for _, hit := range reply.Hits {
		weight, requested := s.shards[hit.Shard]
		switch {
		case !requested || seen[hit.Shard]:
			c.breach(at, RuleHonest, s, "shard %d was not asked for, or twice", hit.Shard)
		case hit.Value != Value(hit.Shard, s.text, second):
			c.breach(at, RuleHonest, s, "shard %d: value %q is not its own", hit.Shard, hit.Value)
		case !s.served[fmt.Sprint(hit.Shard, second)]:
			c.breach(at, RuleHonest, s, "shard %d before its answer came", hit.Shard)
		}
		seen[hit.Shard] = true
		covered += weight
	}
	switch {
	case second && reply.Complete && len(reply.Hits) < min(s.typ.Fetch, len(s.shards)):
		c.breach(at, RuleHonest, s, "marked whole with %d of %d", len(reply.Hits), s.typ.Fetch)
	case second:
	case reply.Complete && covered < s.typ.Need-0.001:
		c.breach(at, RuleHonest, s, "marked whole with %.3f of %.3f", covered, s.typ.Need)
	case covered < min(s.typ.Floor, s.typ.Need)-0.001:
		c.breach(at, RuleHonest, s, "answered from %.3f, the least is %.3f", covered, s.typ.Floor)
	}
}

// sweep reports scans that passed their deadline without an answer, and removes scans and dispatches whose deadline was
// more than 20 s ago; at the end of a run it removes all scans.
func (c *Judge) sweep(now float64, atEnd bool) {
	for _, id := range slices.Sorted(maps.Keys(c.scans)) {
		s := c.scans[id]
		s.released = s.released || c.stands[s.broker]
		if !s.answered && !s.released && now > s.deadline+slack {
			c.breach(now, RuleLost, s, "no answer by %.0f ms after its time", now-s.deadline)
			s.released = true
		}
		if now > s.deadline+20000 || atEnd {
			delete(c.scans, id)
		}
	}
	for ref, dispatch := range c.refs {
		if now > dispatch.until+20000 {
			c.over(ref)
			delete(c.refs, ref)
		}
	}
}

// Figures is the report of a run. Service and its variants are ratios of earned to requested benefit, from 0 to 1.
type Figures struct {
	Service    float64 `json:"service"` // benefit of the answers (reduced for late ones) over benefit requested
	Worst10s   float64 `json:"worst_10s"`
	WorstType  float64 `json:"worst_type"`
	WorstName  string  `json:"worst_name"`
	Scans      int     `json:"scans"`
	Answered   int     `json:"answered"`
	Late       int     `json:"late"`
	Throttled  int     `json:"throttled"`
	Failed     int     `json:"failed"`
	Unanswered int     `json:"unanswered"`
	// Latency percentiles of answers, in ms.
	P50          float64            `json:"p50"`
	P99          float64            `json:"p99"`
	P999         float64            `json:"p999"`
	Dispatches   float64            `json:"dispatches"` // dispatches per scan
	Wasted       float64            `json:"wasted"`     // share of the work that nobody used
	Windows      []Window           `json:"windows"`
	ByType       map[string]float64 `json:"by_type"`
	ByTenant     map[string]float64 `json:"by_tenant,omitempty"`
	WorstTenant  float64            `json:"worst_tenant"` // lowest service of a tenant other than the abuser
	Abuser       string             `json:"abuser,omitempty"`
	OtherCells   float64            `json:"other_cells"` // lowest service of a tenant outside the abuser's cell
	Broken       map[string]int     `json:"broken"`
	Breaches     []Breach           `json:"breaches,omitempty"`
	Events       int                `json:"events"`
	Moved        int                `json:"-"`
	Struck       int                `json:"struck"` // parts sent to stores that were faulty at that time
	WallSeconds  float64            `json:"-"`
	VirtualSecs  float64            `json:"virtual_secs"`
	ExpectFaults []string           `json:"expect_faults,omitempty"`
	Interrupted  bool               `json:"interrupted,omitempty"`
	Probes       int                `json:"probes,omitempty"`  // load probes that reached stores; loopback runs only
	Brokers      []Usage            `json:"brokers,omitempty"` // resource usage of each broker's processes; loopback runs only
}

// Window is the report of five seconds of a run. Scans count in the window in which they came.
type Window struct {
	From      float64 `json:"from"`
	Asked     float64 `json:"asked"`
	Served    float64 `json:"served"`
	Scans     int     `json:"scans"`
	Answered  int     `json:"answered"`
	Late      int     `json:"late"`
	Throttled int     `json:"throttled"`
	Fails     int     `json:"fails"`
	Struck    int     `json:"struck"` // parts sent to faulty stores, by the time at which they were sent
}

// tally accumulates the outcomes of the clients' scans.
type tally struct {
	asked, got map[int]float64     // benefit requested and earned, by second
	byType     [][2]float64        // benefit requested and earned
	byTenant   map[int]*[2]float64 // the same
	windows    []Window
	hist       *hdrhistogram.Histogram // latencies of answers in µs
	f          Figures
}

// windowMs is the length of a Window in ms.
const windowMs = 5000.0

// newTally returns an empty tally for a number of table types.
func newTally(types int) *tally {
	return &tally{asked: map[int]float64{}, got: map[int]float64{}, byType: make([][2]float64, types), byTenant: map[int]*[2]float64{},
		hist: hdrhistogram.New(1, 60_000_000, 3)}
}

// tenantTotals returns the benefit that a tenant requested and earned.
func (t *tally) tenant(tenant int) *[2]float64 {
	if t.byTenant[tenant] == nil {
		t.byTenant[tenant] = &[2]float64{}
	}
	return t.byTenant[tenant]
}

// windowAt returns the window that contains a time.
func (t *tally) window(at float64) *Window {
	i := int(at / windowMs)
	for len(t.windows) <= i {
		t.windows = append(t.windows, Window{From: float64(len(t.windows)) * windowMs})
	}
	return &t.windows[i]
}

// addScan counts a new scan.
func (t *tally) scan(at float64, tableType, tenant int, benefit float64) {
	t.tenant(tenant)[0] += benefit
	t.f.Scans++
	t.asked[int(at/1000)] += benefit
	t.byType[tableType][0] += benefit
	w := t.window(at)
	w.Scans++
	w.Asked += benefit
}

// addOutcome counts how a scan that came at a given time ended; the latency is in ms.
func (t *tally) ended(at float64, tableType, tenant int, benefit, latency float64, kind logic.ActionKind, late bool) {
	w := t.window(at)
	switch {
	case kind == logic.Answer && late:
		t.f.Answered, t.f.Late = t.f.Answered+1, t.f.Late+1
		w.Late++
	case kind == logic.Answer:
		t.f.Answered++
		w.Answered++
	case kind == logic.Throttle:
		t.f.Throttled++
		w.Throttled++
	default:
		t.f.Failed++
		w.Fails++
	}
	if kind == logic.Answer {
		t.hist.RecordValue(int64(max(1, latency*1000)))
		t.got[int(at/1000)] += benefit
		t.byType[tableType][1] += benefit
		t.tenant(tenant)[1] += benefit
		w.Served += benefit
	}
}

// summarize computes the ratios and percentiles of the report.
func (t *tally) figures(types []TableType) Figures {
	f := t.f
	requested, earned := 0.0, 0.0
	seconds := slices.Sorted(maps.Keys(t.asked))
	for _, second := range seconds {
		requested, earned = requested+t.asked[second], earned+t.got[second]
	}
	f.Service = share(earned, requested)
	f.Worst10s = 1
	for _, second := range seconds {
		windowRequested, windowEarned := 0.0, 0.0
		for i := second; i < second+10; i++ {
			windowRequested, windowEarned = windowRequested+t.asked[i], windowEarned+t.got[i]
		}
		if len(seconds) > 0 && second+10 <= seconds[len(seconds)-1]+1 {
			f.Worst10s = min(f.Worst10s, share(windowEarned, windowRequested))
		}
	}
	f.WorstType, f.ByType = 1, map[string]float64{}
	for i, tableType := range types {
		service := share(t.byType[i][1], t.byType[i][0])
		f.ByType[tableType.Name] = service
		if service < f.WorstType {
			f.WorstType, f.WorstName = service, tableType.Name
		}
	}
	f.WorstTenant, f.OtherCells = 1, 1
	if len(t.byTenant) > 1 {
		f.ByTenant = map[string]float64{}
		for tenant, totals := range t.byTenant {
			f.ByTenant[tenantName(tenant)] = share(totals[1], totals[0])
		}
	}
	quantile := func(q float64) float64 { return float64(t.hist.ValueAtQuantile(q)) / 1000 }
	f.P50, f.P99, f.P999 = quantile(50), quantile(99), quantile(99.9)
	f.Windows = t.windows
	return f
}

// ratio returns part/of, rounded to six decimals, and 1 if of is not positive.
func share(part, of float64) float64 {
	if of <= 0 {
		return 1
	}
	return math.Round(part/of*1e6) / 1e6
}
