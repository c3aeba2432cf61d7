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
	RuleLostScan        = "a scan is lost"               // no answer in time, or a second answer
	RuleDuplicateEffect = "an effect twice"              // a non-replayable part executed twice, or a keyed one again after its repeat window
	RuleExtraDispatch   = "a second copy out"            // a part with two outstanding dispatches, or with more dispatches than allowed
	RuleSendAfterDrain  = "a send after a drain's grace" // a part sent after the drain grace period of its store
	RuleColdOverload    = "a cold store pushed over"     // a store overloaded during its warm-up until it crashed
	RuleWrongAnswer     = "an answer that is not honest" // wrong, unrequested or repeated values, or an answer wrongly marked complete
	RuleSendAfterAnswer = "a part sent after its scan's answer"
	RuleShardNotHeld    = "a part sent to a store that does not hold it"
	RuleBudgetExceeded  = "more dispatches than the budget"
	maxViolations       = 50
	timingTolerance     = 60.0 // ms added to each time limit, for message delays and the brokers' turn interval
)

// Violation is one violation of a rule, with the scan concerned and its event trace.
type Violation struct {
	At     float64  `json:"at"`
	Rule   string   `json:"rule"`
	Scan   string   `json:"scan"`
	Detail string   `json:"what"`
	Trace  []string `json:"trace,omitempty"`
}

// Checker checks the rules against the events at stores and clients. It uses no internal state of the brokers.
type Checker struct {
	fleet            *Fleet
	Violations       []Violation
	ViolationsByRule map[string]int // number of violations by rule; not capped, unlike the list

	// postpone delays a check that depends on the order of two events that are reported over different connections, as
	// on real sockets; nil: check immediately.
	postpone func(check func())
	paused   map[int]bool // paused brokers, which can't answer

	scans           map[string]*scanRecord
	drainNotifiedAt map[[2]int]float64                // by broker and store: when the broker was notified that the store is draining or gone
	outstanding     map[string][]*outstandingDispatch // outstanding dispatches by part ID
	byRef           map[int64]*outstandingDispatch    // outstanding dispatches by dispatch number

	budgets map[int]*dispatchBudget // by broker

	reachedScans []*reachedScan // scans with at least one part at a store; filled only if the fleet has shared limits
}

// reachedScan is a scan with at least one part at a store. Times are in ms.
type reachedScan struct {
	tenant                     string
	sentAt, reachedAt, endedAt float64
}

// dispatchBudget holds what a broker received (scans and parts) and its dispatches beyond the first of each part, within the
// budget window.
type dispatchBudget struct{ received, extraDispatches []timedCount }

// timedCount is a count with its time in ms.
type timedCount struct {
	at    float64
	count int
}

// sumSince removes entries older than from and returns the sum of the others.
func sumSince(counts *[]timedCount, from float64) (sum int) {
	for len(*counts) > 0 && (*counts)[0].at < from {
		*counts = (*counts)[1:]
	}
	for _, count := range *counts {
		sum += count.count
	}
	return sum
}

// budgetFor returns the dispatch budget of a broker.
func (c *Checker) budgetFor(broker int) *dispatchBudget {
	if c.budgets[broker] == nil {
		c.budgets[broker] = &dispatchBudget{}
	}
	return c.budgets[broker]
}

// scanRecord is what the checker knows of one scan. Times are in ms.
type scanRecord struct {
	id         string
	text       string
	broker     int
	tableType  *TableType
	weights    map[int]float64 // weight by shard
	receivedAt float64
	deadline   float64
	answered   bool
	released   bool              // no answer is required: the broker was killed or paused, or the lack of an answer was reported
	executions map[int][]float64 // execution times by shard
	dispatches map[int]int       // dispatches by shard
	received   map[string]bool   // values that the broker received, by shard and step
	trace      []string
	reached    *reachedScan
	tenant     string
}

// outstandingDispatch is a dispatch that has reached a store and has not ended.
type outstandingDispatch struct {
	partID   string
	ref      int64
	deadline float64
}

// newChecker returns a checker for a fleet.
func newChecker(fleet *Fleet) *Checker {
	return &Checker{fleet: fleet, ViolationsByRule: map[string]int{}, scans: map[string]*scanRecord{}, drainNotifiedAt: map[[2]int]float64{},
		outstanding: map[string][]*outstandingDispatch{}, byRef: map[int64]*outstandingDispatch{}, paused: map[int]bool{}, budgets: map[int]*dispatchBudget{}}
}

// report records a violation. All are counted; only the first maxViolations are kept with details. s may be nil.
func (c *Checker) report(at float64, rule string, s *scanRecord, format string, args ...any) {
	c.ViolationsByRule[rule]++
	if len(c.Violations) >= maxViolations {
		return
	}
	violation := Violation{At: at, Rule: rule, Detail: fmt.Sprintf(format, args...)}
	if s != nil {
		violation.Scan, violation.Trace = s.id, append([]string(nil), s.trace...)
	}
	c.Violations = append(c.Violations, violation)
}

// addTrace appends a line to the scan's event trace, which holds at most 200 lines.
func (s *scanRecord) addTrace(at float64, format string, args ...any) {
	if len(s.trace) < 200 {
		s.trace = append(s.trace, fmt.Sprintf("%.1f ", at)+fmt.Sprintf(format, args...))
	}
}

// scanReceived records that a broker has received a complete scan.
func (c *Checker) scanReceived(at float64, broker int, scan *core.Scan, tableType *TableType) {
	s := &scanRecord{id: scan.ID, text: scan.Text, broker: broker, tableType: tableType, weights: map[int]float64{}, receivedAt: at,
		tenant: scan.Account, deadline: at + scan.TimeLeft, executions: map[int][]float64{}, dispatches: map[int]int{}, received: map[string]bool{}}
	for _, p := range scan.Parts {
		s.weights[p.Shard] = p.Weight
	}
	c.scans[scan.ID] = s
	if c.fleet.BudgetWindow > 0 {
		b := c.budgetFor(broker)
		b.received = append(b.received, timedCount{at, 1 + len(scan.Parts)})
	}
	s.addTrace(at, "received by broker %d: %s, %d parts, %.0f ms", broker, tableType.Name, len(scan.Parts), scan.TimeLeft)
}

// scanReleased records that a scan needs no answer: its broker was killed or paused.
func (c *Checker) scanReleased(id string) {
	if s := c.scans[id]; s != nil {
		s.released = true
	}
}

// partSent checks a part that a broker sends to a store.
func (c *Checker) partSent(at float64, broker int, store int, target *Store, scan, part string, shard int, second bool) {
	s := c.scans[scan]
	if s == nil {
		return
	}
	s.addTrace(at, "part %s to %s", part, target.Name)
	if s.answered {
		c.report(at, RuleSendAfterAnswer, s, "part %s", part)
	}
	if notifiedAt, known := c.drainNotifiedAt[[2]int{broker, store}]; known && at > notifiedAt+c.fleet.DrainGrace+timingTolerance {
		c.report(at, RuleSendAfterDrain, s, "part %s to %s, %.0f ms after broker %d was notified", part, target.Name, at-notifiedAt, broker)
	}
	if !c.fleet.cellHoldsShard(target.Cell, shard) {
		c.report(at, RuleShardNotHeld, s, "part %s to %s of cell %d", part, target.Name, target.Cell)
	}
	if c.fleet.BudgetWindow > 0 && s.dispatches[shard] > 0 && !second {
		// The broker and the checker see an event one message delay apart. The checker therefore ignores extra dispatches
		// near the edge of the window, and counts scans and parts received shortly before it.
		b := c.budgetFor(broker)
		b.extraDispatches = append(b.extraDispatches, timedCount{at, 1})
		extra := sumSince(&b.extraDispatches, at-c.fleet.BudgetWindow+timingTolerance)
		received := sumSince(&b.received, at-c.fleet.BudgetWindow-timingTolerance)
		if limit := float64(c.fleet.BudgetSpare) + c.fleet.BudgetShare*float64(received); float64(extra) > limit+1 {
			c.report(at, RuleBudgetExceeded, s, "%d dispatches beyond the first within %.0f ms, %.1f allowed", extra, c.fleet.BudgetWindow, limit)
		}
	}
	if s.dispatches[shard]++; !second && s.dispatches[shard] > c.fleet.MaxDispatches+c.fleet.MaxDispatches*s.tableType.Fetch {
		c.report(at, RuleExtraDispatch, s, "part %s: dispatch %d of %d", part, s.dispatches[shard], c.fleet.MaxDispatches)
	}
}

// dispatchArrived records that a store has received a dispatch completely.
func (c *Checker) dispatchArrived(at float64, scan string, p *Part) {
	s := c.scans[scan]
	if s != nil && s.reached == nil && len(c.fleet.Limits) > 0 {
		s.reached = &reachedScan{s.tenant, s.receivedAt - c.fleet.ClientDelay, at, at}
		c.reachedScans = append(c.reachedScans, s.reached)
	}
	dispatch := &outstandingDispatch{partID: p.ID, ref: p.Ref, deadline: p.Deadline}
	if !c.fleet.SecondCopies && s != nil {
		for _, other := range c.outstanding[p.ID] {
			if other.deadline <= at {
				continue
			}
			check := func() {
				if c.byRef[other.ref] == other {
					c.report(at, RuleExtraDispatch, s, "part %s while another dispatch of it is outstanding", p.ID)
				}
			}
			if c.postpone != nil {
				c.postpone(check)
			} else {
				check()
			}
		}
	}
	c.outstanding[p.ID] = append(c.outstanding[p.ID], dispatch)
	c.byRef[p.Ref] = dispatch
}

// dispatchEnded records that a dispatch is no longer outstanding: it was answered, rejected or cancelled, or its
// connection ended.
func (c *Checker) dispatchEnded(ref int64) {
	dispatch := c.byRef[ref]
	if dispatch == nil {
		return
	}
	delete(c.byRef, ref)
	list := c.outstanding[dispatch.partID]
	for i, other := range list {
		if other == dispatch {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(c.outstanding, dispatch.partID)
	} else {
		c.outstanding[dispatch.partID] = list
	}
}

// partExecuted checks that a store may execute a part (completely or partially), given its earlier executions.
func (c *Checker) partExecuted(at float64, scan string, shard int, second bool) {
	s := c.scans[scan]
	if s == nil || second {
		return
	}
	s.addTrace(at, "shard %d was executed", shard)
	s.executions[shard] = append(s.executions[shard], at)
	runs := s.executions[shard]
	if len(runs) < 2 {
		return
	}
	switch s.tableType.Effect {
	case "non-replayable":
		c.report(at, RuleDuplicateEffect, s, "shard %d was executed %d times", shard, len(runs))
	case "keyed":
		if at-runs[0] > s.tableType.RepeatWindow+s.tableType.Timeout {
			c.report(at, RuleDuplicateEffect, s, "shard %d was executed again after %.0f ms", shard, at-runs[0])
		}
	}
}

// valueReceived records that a value has reached the broker.
func (c *Checker) valueReceived(scan string, shard int, second bool) {
	if s := c.scans[scan]; s != nil {
		s.received[fmt.Sprint(shard, second)] = true
	}
}

// scanAnswered checks a broker's answer to a scan.
func (c *Checker) scanAnswered(at float64, scan *core.Scan, reply core.Reply) {
	s := c.scans[scan.ID]
	if s == nil || reply.Conflict {
		return
	}
	s.addTrace(at, "answered: kind %d, complete %v, %d values", reply.Kind, reply.Complete, len(reply.Hits))
	if s.answered {
		c.report(at, RuleLostScan, s, "a second answer")
		return
	}
	s.answered = true
	if s.reached != nil && s.reached.endedAt == s.reached.reachedAt {
		s.reached.endedAt = at - c.fleet.ClientDelay // the scan ended when the broker sent the answer
	}
	if at > s.deadline+timingTolerance && !s.released {
		c.report(at, RuleLostScan, s, "answered %.0f ms after its deadline", at-s.deadline)
	}
	if reply.Kind == logic.Throttle && s.tableType.Effect == "non-replayable" {
		for _, runs := range s.executions {
			if len(runs) > 0 {
				c.report(at, RuleDuplicateEffect, s, "throttled although a part was executed")
				break
			}
		}
	}
	if reply.Kind != logic.Answer {
		return
	}
	covered, seen := 0.0, map[int]bool{}
	second := s.tableType.Fetch > 0
	for _, hit := range reply.Hits {
		weight, requested := s.weights[hit.Shard]
		switch {
		case !requested || seen[hit.Shard]:
			c.report(at, RuleWrongAnswer, s, "shard %d was not requested, or is listed twice", hit.Shard)
		case hit.Value != PartValue(hit.Shard, s.text, second):
			c.report(at, RuleWrongAnswer, s, "shard %d: value %q is wrong", hit.Shard, hit.Value)
		case !s.received[fmt.Sprint(hit.Shard, second)]:
			c.report(at, RuleWrongAnswer, s, "shard %d: the broker has not received its value", hit.Shard)
		}
		seen[hit.Shard] = true
		covered += weight
	}
	switch {
	case second && reply.Complete && len(reply.Hits) < min(s.tableType.Fetch, len(s.weights)):
		c.report(at, RuleWrongAnswer, s, "marked complete with %d values of %d", len(reply.Hits), s.tableType.Fetch)
	case second:
	case reply.Complete && covered < s.tableType.Need-0.001:
		c.report(at, RuleWrongAnswer, s, "marked complete with weight %.3f of %.3f", covered, s.tableType.Need)
	case covered < min(s.tableType.Floor, s.tableType.Need)-0.001:
		c.report(at, RuleWrongAnswer, s, "answered with weight %.3f, the minimum is %.3f", covered, s.tableType.Floor)
	}
}

// sweep reports scans that passed their deadline without an answer, and removes scans and dispatches whose deadline was
// more than 20 s ago; at the end of a run it removes all scans.
func (c *Checker) sweep(now float64, atEnd bool) {
	for _, id := range slices.Sorted(maps.Keys(c.scans)) {
		s := c.scans[id]
		s.released = s.released || c.paused[s.broker]
		if !s.answered && !s.released && now > s.deadline+timingTolerance {
			c.report(now, RuleLostScan, s, "no answer %.0f ms after its deadline", now-s.deadline)
			s.released = true
		}
		if now > s.deadline+20000 || atEnd {
			delete(c.scans, id)
		}
	}
	for ref, dispatch := range c.byRef {
		if now > dispatch.deadline+20000 {
			c.dispatchEnded(ref)
			delete(c.byRef, ref)
		}
	}
}

// Figures is the report of a run. Service and its variants are ratios of earned to requested benefit, from 0 to 1.
type Figures struct {
	Service       float64 `json:"service"` // benefit of the answers (reduced for late ones) over benefit requested
	Worst10s      float64 `json:"worst_10s"`
	WorstType     float64 `json:"worst_type"`
	WorstTypeName string  `json:"worst_name"`
	Scans         int     `json:"scans"`
	Answered      int     `json:"answered"`
	Late          int     `json:"late"`
	Throttled     int     `json:"throttled"`
	Failed        int     `json:"failed"`
	Unanswered    int     `json:"unanswered"`
	// Latency percentiles of answers, in ms.
	P50                float64            `json:"p50"`
	P99                float64            `json:"p99"`
	P999               float64            `json:"p999"`
	Dispatches         float64            `json:"dispatches"` // dispatches per scan
	Wasted             float64            `json:"wasted"`     // share of the work whose result was not used
	Windows            []Window           `json:"windows"`
	ByType             map[string]float64 `json:"by_type"`
	ByTenant           map[string]float64 `json:"by_tenant,omitempty"`
	WorstTenant        float64            `json:"worst_tenant"` // lowest service of a tenant other than the abuser
	Abuser             string             `json:"abuser,omitempty"`
	OtherCells         float64            `json:"other_cells"` // lowest service of a tenant outside the abuser's cell
	ViolationsByRule   map[string]int     `json:"broken"`
	Violations         []Violation        `json:"breaches,omitempty"`
	Events             int                `json:"events"`
	PartsSent          int                `json:"-"`
	Struck             int                `json:"struck"` // parts sent to stores that were faulty at that time
	WallSeconds        float64            `json:"-"`
	VirtualSecs        float64            `json:"virtual_secs"`
	FailedExpectations []string           `json:"expect_faults,omitempty"`
	Interrupted        bool               `json:"interrupted,omitempty"`
	Probes             int                `json:"probes,omitempty"`  // load probes that reached stores; loopback runs only
	Brokers            []Usage            `json:"brokers,omitempty"` // resource usage of each broker's processes; loopback runs only
}

// Window is the report of five seconds of a run. A scan counts in the window in which it arrived.
type Window struct {
	From      float64 `json:"from"`
	Requested float64 `json:"asked"`
	Earned    float64 `json:"served"`
	Scans     int     `json:"scans"`
	Answered  int     `json:"answered"`
	Late      int     `json:"late"`
	Throttled int     `json:"throttled"`
	Failed    int     `json:"fails"`
	Struck    int     `json:"struck"` // parts sent to faulty stores, by the time at which they were sent
}

// tally accumulates the outcomes of the clients' scans.
type tally struct {
	requested, earned map[int]float64     // benefit requested and earned, by second
	byType            [][2]float64        // benefit requested and earned
	byTenant          map[int]*[2]float64 // the same
	windows           []Window
	latencies         *hdrhistogram.Histogram // latencies of answers in µs
	report            Figures
}

// windowMs is the length of a Window in ms.
const windowMs = 5000.0

// newTally returns an empty tally for a number of table types.
func newTally(types int) *tally {
	return &tally{requested: map[int]float64{}, earned: map[int]float64{}, byType: make([][2]float64, types), byTenant: map[int]*[2]float64{},
		latencies: hdrhistogram.New(1, 60_000_000, 3)}
}

// tenantTotals returns the benefit that a tenant requested and earned.
func (t *tally) tenantTotals(tenant int) *[2]float64 {
	if t.byTenant[tenant] == nil {
		t.byTenant[tenant] = &[2]float64{}
	}
	return t.byTenant[tenant]
}

// windowAt returns the window that contains a time.
func (t *tally) windowAt(at float64) *Window {
	i := int(at / windowMs)
	for len(t.windows) <= i {
		t.windows = append(t.windows, Window{From: float64(len(t.windows)) * windowMs})
	}
	return &t.windows[i]
}

// addScan counts a new scan.
func (t *tally) addScan(at float64, tableType, tenant int, benefit float64) {
	t.tenantTotals(tenant)[0] += benefit
	t.report.Scans++
	t.requested[int(at/1000)] += benefit
	t.byType[tableType][0] += benefit
	w := t.windowAt(at)
	w.Scans++
	w.Requested += benefit
}

// addOutcome counts how a scan that arrived at a given time ended; the latency is in ms.
func (t *tally) addOutcome(at float64, tableType, tenant int, benefit, latency float64, kind logic.ActionKind, late bool) {
	w := t.windowAt(at)
	switch {
	case kind == logic.Answer && late:
		t.report.Answered, t.report.Late = t.report.Answered+1, t.report.Late+1
		w.Late++
	case kind == logic.Answer:
		t.report.Answered++
		w.Answered++
	case kind == logic.Throttle:
		t.report.Throttled++
		w.Throttled++
	default:
		t.report.Failed++
		w.Failed++
	}
	if kind == logic.Answer {
		t.latencies.RecordValue(int64(max(1, latency*1000)))
		t.earned[int(at/1000)] += benefit
		t.byType[tableType][1] += benefit
		t.tenantTotals(tenant)[1] += benefit
		w.Earned += benefit
	}
}

// summarize computes the ratios and percentiles of the report.
func (t *tally) summarize(types []TableType) Figures {
	f := t.report
	requested, earned := 0.0, 0.0
	seconds := slices.Sorted(maps.Keys(t.requested))
	for _, second := range seconds {
		requested, earned = requested+t.requested[second], earned+t.earned[second]
	}
	f.Service = ratio(earned, requested)
	f.Worst10s = 1
	for _, second := range seconds {
		windowRequested, windowEarned := 0.0, 0.0
		for i := second; i < second+10; i++ {
			windowRequested, windowEarned = windowRequested+t.requested[i], windowEarned+t.earned[i]
		}
		if len(seconds) > 0 && second+10 <= seconds[len(seconds)-1]+1 {
			f.Worst10s = min(f.Worst10s, ratio(windowEarned, windowRequested))
		}
	}
	f.WorstType, f.ByType = 1, map[string]float64{}
	for i, tableType := range types {
		service := ratio(t.byType[i][1], t.byType[i][0])
		f.ByType[tableType.Name] = service
		if service < f.WorstType {
			f.WorstType, f.WorstTypeName = service, tableType.Name
		}
	}
	f.WorstTenant, f.OtherCells = 1, 1
	if len(t.byTenant) > 1 {
		f.ByTenant = map[string]float64{}
		for tenant, totals := range t.byTenant {
			f.ByTenant[tenantName(tenant)] = ratio(totals[1], totals[0])
		}
	}
	quantile := func(q float64) float64 { return float64(t.latencies.ValueAtQuantile(q)) / 1000 }
	f.P50, f.P99, f.P999 = quantile(50), quantile(99), quantile(99.9)
	f.Windows = t.windows
	return f
}

// ratio returns part/of, rounded to six decimals, and 1 if of is not positive.
func ratio(part, of float64) float64 {
	if of <= 0 {
		return 1
	}
	return math.Round(part/of*1e6) / 1e6
}
