package emulator

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"gullstair/internal/broker"
	"gullstair/internal/cells"
	"gullstair/internal/core"
	"gullstair/internal/startsettings"
	"gullstair/internal/verdicts"
	"gullstair/logic"
)

// BrokerCore is the logic of a broker without its sockets: core.Core, or a baseline policy that core.Core is compared
// with. Times are Unix times in ms.
type BrokerCore interface {
	// Step processes the inputs received since the last call and returns what the broker sends.
	Step(now float64, in []core.Input) []core.Output
	// Due returns the time at which Step is needed without any input; +Inf if there is none.
	Due() float64
}

// BrokerFactory creates the core of a broker that starts; known is the node list that it had before a restart.
type BrokerFactory func(f *Fleet, ordinal, zone int, seed uint64, known []core.Node) (BrokerCore, error)

// Gullstair creates the production broker: the unmodified core and decision module.
func Gullstair(f *Fleet, ordinal, zone int, seed uint64, known []core.Node) (BrokerCore, error) {
	settings := f.settings(ordinal, zone)
	site, err := startsettings.ReadSettings(settings)
	if err != nil {
		return nil, err
	}
	c := core.New(site, settings, seed, known)
	if f.TenantCells.Count > 0 {
		plan, limits := f.TenantCells.cellPlan()
		c.SetCells(plan, limits, f.StoreModel.WarmUp, f.MaxRetryAfter, rand.New(rand.NewPCG(seed, 0xce11)).Float64)
	}
	return c, nil
}

// epoch is the virtual Unix time in ms at which a run starts. Brokers receive all times relative to the Unix epoch,
// including the start times of stores.
const epoch = 1e12

// World is one run of an emulated fleet, in virtual time unless RunLoopback runs it. In virtual time the same fleet, seed and
// faults give the same run, event by event. Times are ms since the start of the run.
type World struct {
	Fleet             *Fleet
	Stores            []*Store
	Checker           *Checker
	Timeline          []string      // report lines: when each fault began and ended, and its targets
	ProbePeriod       time.Duration // RunLoopback only: period in which the brokers together probe every store; 0: each probes on its own
	Events            int           // number of events processed
	now               float64
	queue             eventQueue
	rnd               *rand.Rand // for the network, broker selection and client retries
	arrivalRnd        *rand.Rand // for arriving scans only, so that they are the same for every policy, also in real time
	faultCount        uint64     // faults scheduled so far; seeds the generator of each fault
	seed              uint64
	newBroker         BrokerFactory
	dedupTable        *ExecutedKeys
	brokers           []*emulatedBroker
	storeByHost       map[string]int
	nodes             []core.Node // by store: its entry in service discovery, before any delay
	dispatches        map[int64]*dispatch
	scheduledAdvance  []float64 // by store: time of its scheduled Advance call; 0: none
	stats             *tally
	requestCount      int64 // client requests created so far
	netFaults         networkFaults
	trafficFactor     float64 // factor on Traffic.Rate
	hotShard          hotShard
	abuserPlusOne     int       // number of the tenant that sends excess traffic, plus one; 0: none
	cumulativeWeights []float64 // cumulative popularity of the shards
	extraListLag      float64   // ms added to the delay of list updates
	discoverySilent   bool      // service discovery sends no updates
	trafficEnd        float64   // no new client requests from this time on
	err               error
	loopback          *loopback // set by RunLoopback; nil: virtual time
}

// networkFaults holds the active faults between zones, brokers and stores.
type networkFaults struct {
	zoneCuts  map[[2]int]bool         // from and to zone: all messages are lost
	zoneLoss  map[[2]int]float64      // from and to zone: fraction of messages lost
	replyLoss map[int]map[int]float64 // by broker and store: fraction of responses lost

	brokerCuts map[[2]int]bool // from and to broker: all datagrams are lost
	brokerLoss float64         // fraction of datagrams between brokers that is lost
}

// hotShard is the shard at which a share of the scans starts; a share of 0: none.
type hotShard struct {
	share float64
	shard int
}

// emulatedBroker is a broker of the fleet. It keeps its number, zone and node list when its process is restarted; each
// start counts up the incarnation.
type emulatedBroker struct {
	number, zone     int
	core             BrokerCore
	incarnation      int
	up               bool
	paused           bool
	knownDown        bool // clients have noticed that it is down and no longer choose it
	inbox            []core.Input
	lastTurn         float64 // time of the last Step call
	turnSeq          int     // number of the scheduled Step call; calls scheduled earlier are ignored
	nextTurn         float64 // time of the scheduled Step call; 0: none
	links            map[int]*link
	knownNodes       []core.Node // the node list that it has received
	openScans        map[string]*attempt
	verdicts         *verdictMember // its replica of the shared verdicts on stores; nil: not shared, or it is a real process
	limiter          *limiter       // its part of the shared limits; nil: no limits, or it is a real process
	delayedDatagrams []func()       // datagrams from other brokers, queued while it is paused
}

// link is a broker's connection to a store.
type link struct {
	up         bool
	dialing    bool
	pending    []core.Call // calls queued until the connection is established
	lastUsed   float64     // time of the last call
	generation int         // changes whenever the connection is established or lost
}

// dispatch is a part sent to a store whose result has not been received by its broker.
type dispatch struct {
	broker, incarnation int
	store               int
	linkGeneration      int
	part                *Part
	scan                string
	second              bool // it belongs to the second step (fetch) of its scan
	ended               bool
	conn                net.Conn // RunLoopback only: the connection on which it arrived
}

// clientRequest is what a client requests, across all its attempts.
type clientRequest struct {
	number     int64
	tableType  int
	parts      []core.ScanPart
	partWork   []float64 // actual work of each part, ms of a core at speed 1
	text       string
	key        string
	tenant     int
	startedAt  float64
	timeBudget float64 // ms that the client waits in total
	benefit    float64
	attempts   int
	settled    bool // its outcome has been counted
}

// attempt is one request of a client to a broker. A client request has more than one if the client retries.
type attempt struct {
	req         *clientRequest
	scan        *core.Scan
	broker      int
	incarnation int
	sentAt      float64
}

// New creates a world whose brokers start with the complete node list; factory is nil if the brokers are real processes,
// see RunLoopback.
func New(f *Fleet, seed uint64, factory BrokerFactory) *World {
	w := &World{Fleet: f, Checker: newChecker(f), rnd: rand.New(rand.NewPCG(seed, 0xe0)), arrivalRnd: rand.New(rand.NewPCG(seed, 0xc0e)), seed: seed, newBroker: factory, dedupTable: NewExecutedKeys(),
		storeByHost: map[string]int{}, dispatches: map[int64]*dispatch{}, stats: newTally(len(f.Types)), trafficFactor: 1,
		netFaults: networkFaults{zoneCuts: map[[2]int]bool{}, zoneLoss: map[[2]int]float64{}, replyLoss: map[int]map[int]float64{}, brokerCuts: map[[2]int]bool{}}}
	for i := range f.Stores {
		// Assign cells and zones in turn, so that the stores of each shard are spread over as many zones as possible.
		w.addStore(i%f.Cells, (i/f.Cells+i%f.Cells)%len(f.Zones), longAgo)
	}
	sum := 0.0
	for shard := range f.Shards {
		sum += math.Pow(float64(shard+1), -f.Traffic.ShardSkew)
		w.cumulativeWeights = append(w.cumulativeWeights, sum)
	}
	for i := range f.Brokers {
		b := &emulatedBroker{number: i, zone: i % len(f.Zones)}
		w.brokers = append(w.brokers, b)
		b.knownNodes = slices.Clone(w.nodes)
		w.startBroker(b)
	}
	return w
}

// addStore adds a store that starts at startedAt to the fleet and to the discovery list and returns its index.
func (w *World) addStore(cell, zone int, startedAt float64) int {
	i := len(w.Stores)
	kind := w.Fleet.drawKind(w.rnd)
	s := NewStore(fmt.Sprintf("s-%04d", i), zone, cell, kind, &w.Fleet.StoreModel, w.dedupTable, startedAt)
	w.Stores = append(w.Stores, s)
	w.storeByHost[s.Name] = i
	w.scheduledAdvance = append(w.scheduledAdvance, 0)
	bornUnix := 0.0
	if startedAt > longAgo/2 {
		bornUnix = w.unixMs(startedAt)
	}
	w.nodes = append(w.nodes, core.Node{Host: s.Name, Addr: "10.0.0.1:1", Zone: w.Fleet.Zones[zone], Kind: kind.Name, Cell: cell,
		Readiness: logic.Ready, Units: 1, Born: bornUnix})
	if w.loopback != nil {
		if err := w.loopback.openStore(i); err != nil && w.err == nil {
			w.err = err
		}
	}
	return i
}

// unixMs converts a time of the run to Unix time in ms, as brokers see it.
func (w *World) unixMs(at float64) float64 {
	if w.loopback != nil {
		return float64(w.loopback.startedAt.UnixNano())/1e6 + at
	}
	return epoch + at
}

// after schedules fn after a delay in ms.
func (w *World) after(wait float64, fn func()) { w.queue.push(w.now+max(0, wait), fn) }

// Run runs the world in virtual time. Clients send requests for trafficMs; the run then continues for the longest timeout
// plus 2 s, so that requests still open can finish.
func (w *World) Run(trafficMs float64) (Figures, error) {
	started := time.Now()
	w.trafficEnd = trafficMs
	w.scheduleArrival()
	w.sweepPeriodically()
	end := trafficMs
	for _, t := range w.Fleet.Types {
		end = max(end, trafficMs+t.Timeout+2000)
	}
	for w.queue.len() > 0 && w.err == nil {
		e := w.queue.pop()
		if e.at > end {
			break
		}
		w.now = e.at
		w.Events++
		e.run()
	}
	w.now = end
	w.Checker.sweep(end, true)
	f := w.collectFigures(end)
	f.WallSeconds = time.Since(started).Seconds()
	return f, w.err
}

// collectFigures evaluates the fleet limits and returns the figures of a run that ended at endMs.
func (w *World) collectFigures(endMs float64) Figures {
	w.checkSharedLimits()
	f := w.stats.summarize(w.Fleet.Types)
	worked, wasted := 0.0, 0.0
	for _, s := range w.Stores {
		worked, wasted = worked+s.CoreTimeUsed, wasted+s.CoreTimeWasted
	}
	f.Wasted = 1 - ratio(worked-wasted, worked)
	f.Dispatches = ratio(float64(w.stats.report.PartsSent), float64(f.Scans))
	f.ViolationsByRule, f.Violations, f.Events = w.Checker.ViolationsByRule, w.Checker.Violations, w.Events
	f.VirtualSecs = endMs / 1000
	if w.abuserPlusOne > 0 {
		f.Abuser = tenantName(w.abuserPlusOne - 1)
	}
	cellOf := w.cellLookup()
	for name, service := range f.ByTenant {
		if name != f.Abuser {
			f.WorstTenant = min(f.WorstTenant, service)
		}
		if cellOf(name) != cellOf(f.Abuser) {
			f.OtherCells = min(f.OtherCells, service)
		}
	}
	return f
}

// cellLookup returns a function from tenant to cell, for the report. Without cells each tenant has a cell of its own.
func (w *World) cellLookup() func(tenant string) string {
	plan, _ := w.Fleet.TenantCells.cellPlan()
	var stores []cells.Store
	for _, s := range w.Stores {
		stores = append(stores, cells.Store{Name: s.Name, Zone: w.Fleet.Zones[s.Zone], Set: s.Cell})
	}
	if m, err := cells.Build(1, plan, stores, w.Fleet.Cells, nil); err == nil {
		return m.CellOf
	}
	return func(tenant string) string { return tenant }
}

// sweepPeriodically checks once a second for scans past their deadline.
func (w *World) sweepPeriodically() {
	w.Checker.sweep(w.now, false)
	w.after(1000, w.sweepPeriodically)
}

// startBroker starts a broker, or restarts it as a new incarnation.
func (w *World) startBroker(b *emulatedBroker) {
	b.incarnation++
	b.links, b.openScans, b.lastTurn = map[int]*link{}, map[string]*attempt{}, math.Inf(-1)
	if w.newBroker == nil {
		if b.up = w.loopback == nil; w.loopback != nil {
			w.loopback.restartBroker(b)
		}
		return
	}
	brokerCore, err := w.newBroker(w.Fleet, b.number, b.zone, w.seed*1000003+uint64(b.number)*131+uint64(b.incarnation), slices.Clone(b.knownNodes))
	if err != nil {
		w.err = err
		return
	}
	b.core, b.up, b.knownDown, b.paused, b.inbox, b.delayedDatagrams = brokerCore, true, false, false, nil, nil
	w.startLimiter(b, w.seed*1000003+uint64(b.number)*131+uint64(b.incarnation))
	w.startVerdicts(b, w.seed*1000003+uint64(b.number)*131+uint64(b.incarnation))
	w.scheduleTurn(b, w.now+w.rnd.Float64()*w.Fleet.TurnInterval)
}

// scheduleTurn schedules a broker's next Step call for time at, but no sooner than Fleet.TurnInterval after the last one.
// A call that is already scheduled for an earlier time stays.
func (w *World) scheduleTurn(b *emulatedBroker, at float64) {
	at = max(at, b.lastTurn+w.Fleet.TurnInterval, w.now)
	if b.nextTurn > w.now && b.nextTurn <= at && b.turnSeq > 0 || math.IsInf(at, 1) {
		return
	}
	b.turnSeq++
	seq, incarnation := b.turnSeq, b.incarnation
	b.nextTurn = at
	w.queue.push(at, func() {
		if b.incarnation == incarnation && b.turnSeq == seq && b.up && !b.paused {
			w.runTurn(b)
		}
	})
}

// runTurn calls Step on a broker with its queued inputs and carries out the outputs.
func (w *World) runTurn(b *emulatedBroker) {
	b.lastTurn, b.nextTurn = w.now, 0
	in := b.inbox
	b.inbox = nil
	for _, out := range b.core.Step(epoch+w.now, in) {
		switch v := out.(type) {
		case core.Call:
			w.sendCall(b, v)
		case core.Cancel:
			w.cancelPart(b, v)
		case core.Reply:
			w.deliverReply(b, v)
		case core.Probe:
			w.probeStore(b, v)
		case core.SendNote:
			w.broadcastNote(b, v.Note)
		case core.OutcomeReport:
			b.verdicts.step(verdicts.Outcome{Store: v.Host, Kind: broker.ToVerdictKind(v)})
		case core.NodeList:
			b.verdicts.setNodes(v)
		case core.Log:
			if v.Fatal {
				w.err = fmt.Errorf("broker %d: %s", b.number, v.Text)
			}
		}
	}
	if next := b.core.Due(); !math.IsInf(next, 1) {
		w.scheduleTurn(b, max(next-epoch, w.now))
	}
}

// deliver queues an input for a broker and schedules its turn. Inputs for an earlier incarnation are dropped.
func (w *World) deliver(b *emulatedBroker, incarnation int, in core.Input) {
	if b.incarnation != incarnation || !b.up || w.loopback != nil {
		return
	}
	b.inbox = append(b.inbox, in)
	if !b.paused {
		w.scheduleTurn(b, w.now)
	}
}

// messageDelay draws the delay in ms of a message from one zone to another, and whether the message is lost.
func (w *World) messageDelay(from, to int) (ms float64, lost bool) {
	f := w.Fleet
	ms = f.SameZoneDelay
	if from != to {
		ms = f.CrossZoneDelay
	}
	ms += w.rnd.Float64() * f.DelayJitter
	if w.netFaults.zoneCuts[[2]int{from, to}] {
		return ms, true
	}
	if loss := w.netFaults.zoneLoss[[2]int{from, to}]; loss > 0 && w.rnd.Float64() < loss {
		return ms, true
	}
	return ms, false
}

// sendCall sends a call to a store over the existing connection, or queues it and establishes a connection if there is
// none or it has been idle for too long.
func (w *World) sendCall(b *emulatedBroker, c core.Call) {
	i, known := w.storeByHost[c.Host]
	if !known {
		w.endParts(b, b.incarnation, c.Parts, core.NoAddress)
		return
	}
	st := w.Stores[i]
	for _, p := range c.Parts {
		scan, second := parsePartID(p.ID)
		w.countDispatch(st)
		w.Checker.partSent(w.now, b.number, i, st, scan, p.ID, p.Shard, second)
	}
	l := b.links[i]
	if l == nil {
		l = &link{}
		b.links[i] = l
	}
	switch {
	case l.up && w.now-l.lastUsed < w.Fleet.ConnIdle:
		w.sendFrame(b, i, l, c, 0)
	case l.dialing:
		l.pending = append(l.pending, c)
	default:
		l.up, l.dialing = false, true
		l.pending = append(l.pending, c)
		w.dial(b, i, l)
	}
}

// countDispatch counts a part sent to a store, and whether the store is faulty at that time.
func (w *World) countDispatch(st *Store) {
	w.stats.report.PartsSent++
	if faults := &st.Faults; faults.NeverAnswers || faults.AnswersLate || faults.Unreachable || faults.Crashed || faults.FailureRate > 0 || faults.ResetRate > 0 || faults.MalformedRate > 0 {
		w.stats.report.Struck++
		w.stats.windowAt(w.now).Struck++
	}
}

// dial establishes a connection and then sends the queued calls. It takes one round trip; it is refused if the store is
// down or takes no connection, and times out if the host of the store has vanished or a message is lost.
func (w *World) dial(b *emulatedBroker, i int, l *link) {
	st, incarnation := w.Stores[i], b.incarnation
	toStore, lost := w.messageDelay(b.zone, st.Zone)
	toBroker, replyLost := w.messageDelay(st.Zone, b.zone)
	done := func(reason core.EndReason) {
		l.dialing = false
		pending := l.pending
		l.pending = nil
		for _, c := range pending {
			if reason != 0 {
				w.endParts(b, incarnation, c.Parts, reason)
			} else {
				w.sendFrame(b, i, l, c, st.Behavior.ConnWork)
			}
		}
	}
	if lost || replyLost || st.Faults.Unreachable {
		w.after(w.Fleet.ConnectTimeout, func() { done(core.DialTimedOut) })
		return
	}
	w.after(toStore, func() {
		ok := st.Reachable() && st.Connect(b.number)
		w.after(toBroker, func() {
			if b.incarnation != incarnation {
				return
			}
			if !ok || !st.Reachable() {
				done(core.DialRefused)
				return
			}
			l.up = true
			l.generation++
			done(0)
		})
	})
}

// endParts reports the same end reason to a broker for all parts of a call.
func (w *World) endParts(b *emulatedBroker, incarnation int, parts []core.CallPart, reason core.EndReason) {
	for _, p := range parts {
		w.deliver(b, incarnation, core.Ended{Ref: p.Ref, Reason: reason, At: epoch + w.now})
	}
}

// sendFrame sends the parts of a call over an established connection. Parts past their latest send time are reported as
// expired instead. extraWork is added to the work of the call.
func (w *World) sendFrame(b *emulatedBroker, i int, l *link, c core.Call, extraWork float64) {
	st := w.Stores[i]
	l.lastUsed = w.now
	unexpired := c.Parts[:0:0]
	for _, p := range c.Parts {
		if p.NotAfter > 0 && epoch+w.now > p.NotAfter {
			w.deliver(b, b.incarnation, core.Ended{Ref: p.Ref, Reason: core.WriteExpired, At: epoch + w.now})
		} else {
			unexpired = append(unexpired, p)
		}
	}
	toStore, lost := w.messageDelay(b.zone, st.Zone)
	work := st.Behavior.CallWork + extraWork
	generation := l.generation
	for _, p := range unexpired {
		scan, second := parsePartID(p.ID)
		disp := &dispatch{broker: b.number, incarnation: b.incarnation, store: i, linkGeneration: generation, scan: scan, second: second}
		disp.part = &Part{ID: p.ID, Ref: p.Ref<<16 | int64(b.number)&0xffff, Broker: b.number, Shard: p.Shard, Deadline: p.Deadline - epoch, Text: p.Text}
		if p.Key != "" {
			disp.part.Key = p.Key + "/" + strconv.Itoa(p.Shard)
		}
		disp.part.Work = w.partWork(b, scan, p.Shard, second) + work/float64(len(unexpired))
		w.dispatches[disp.part.Ref] = disp
		if lost {
			continue // the broker receives no notification
		}
		w.after(toStore, func() { w.arriveAtStore(b, st, l, generation, disp) })
	}
}

// partWork returns the actual work of a part, in ms of a core at speed 1.
func (w *World) partWork(b *emulatedBroker, scan string, shard int, secondStep bool) float64 {
	att := b.openScans[scan]
	if att == nil {
		return 1
	}
	typ := &w.Fleet.Types[att.req.tableType]
	for k, p := range att.req.parts {
		if p.Shard == shard {
			if secondStep {
				return att.req.partWork[k] * typ.FetchWork
			}
			return att.req.partWork[k]
		}
	}
	return typ.Work
}

// parsePartID returns the ID of the part's scan, and whether the part belongs to the second step.
func parsePartID(id string) (scan string, secondStep bool) {
	id, secondStep = strings.CutSuffix(id, ".get")
	if dot := strings.LastIndexByte(id, '.'); dot >= 0 {
		id = id[:dot]
	}
	return id, secondStep
}

// arriveAtStore passes a dispatch to its store and sends back all results that are available at once.
func (w *World) arriveAtStore(b *emulatedBroker, st *Store, l *link, generation int, disp *dispatch) {
	if st.Faults.Unreachable || disp.ended {
		return
	}
	if !st.Reachable() || l.generation != generation {
		w.sendResult(disp, Completion{Part: disp.part, Result: ConnReset, At: w.now})
		return
	}
	w.Checker.dispatchArrived(w.now, disp.scan, disp.part)
	done, crashed := st.Receive(w.now, disp.part, w.rnd.Float64())
	if crashed {
		w.Checker.report(w.now, RuleColdOverload, nil, "%s crashed from overload %.1f s after its start", st.Name, (w.now-st.StartedAt)/1000)
		w.resetStore(st)
	}
	for _, d := range done {
		if d.Executed && d.Result != NoAnswer {
			w.Checker.partExecuted(d.At, disp.scan, disp.part.Shard, disp.second)
		}
		w.sendResult(w.dispatches[d.Part.Ref], d)
	}
	w.scheduleStore(st)
}

// scheduleStore schedules the store's Advance call for the time at which it completes its next part.
func (w *World) scheduleStore(st *Store) {
	next := st.NextCompletion()
	i := w.storeByHost[st.Name]
	if math.IsInf(next, 1) || w.scheduledAdvance[i] > w.now && w.scheduledAdvance[i] <= next {
		return // no part in progress, or Advance is already scheduled in time
	}
	w.scheduledAdvance[i] = max(next, w.now)
	w.queue.push(w.scheduledAdvance[i], func() {
		w.scheduledAdvance[i] = 0
		for _, d := range st.Advance(w.now) {
			disp := w.dispatches[d.Part.Ref]
			if disp == nil {
				continue
			}
			w.Checker.partExecuted(w.now, disp.scan, disp.part.Shard, disp.second)
			w.sendResult(disp, d)
		}
		w.scheduleStore(st)
	})
}

// sendResult sends the result of a part back to its broker. Some results end the connection instead.
func (w *World) sendResult(disp *dispatch, d Completion) {
	if disp == nil || disp.ended {
		return
	}
	if d.Result == NoAnswer {
		return
	}
	if w.loopback != nil {
		w.loopback.scheduleAnswer(disp, d)
		return
	}
	b, st := w.brokers[disp.broker], w.Stores[disp.store]
	if st.Faults.Unreachable {
		return
	}
	toBroker, lost := w.messageDelay(st.Zone, b.zone)
	if loss := w.netFaults.replyLoss[b.number]; loss != nil && w.rnd.Float64() < loss[disp.store] {
		lost = true
	}
	w.after(d.At-w.now, func() { w.Checker.dispatchEnded(disp.part.Ref) })
	if lost {
		st.CoreTimeWasted += d.CoreTime // the response is lost
		return
	}
	load := st.LoadReport(w.now)
	w.after(d.At-w.now+toBroker, func() {
		if disp.ended {
			return
		}
		disp.ended = true
		delete(w.dispatches, disp.part.Ref)
		e := core.Ended{Ref: disp.part.Ref >> 16, At: epoch + w.now}
		switch d.Result {
		case Served:
			e.Reason, e.Value, e.Score = core.Answered, PartValue(disp.part.Shard, disp.part.Text, disp.second), PartScore(disp.part.Shard, disp.part.Text)
			e.Load = map[string]float64{"running": load.Running, "waiting": load.Queued, "busy": load.Utilization}
			w.Checker.valueReceived(disp.scan, disp.part.Shard, disp.second)
		case Failed:
			e.Reason = core.AnsweredError
		case Rejected:
			e.Reason = core.Rejected
		case ConnReset:
			e.Reason = core.ReadFailed
			w.breakLink(b, disp.store, core.ReadFailed)
		case Malformed:
			e.Reason = core.BadFrame
			w.breakLink(b, disp.store, core.BadFrame)
		}
		w.deliver(b, disp.incarnation, e)
	})
}

// breakLink closes a broker's connection to a store and ends all dispatches on it with the given reason.
func (w *World) breakLink(b *emulatedBroker, store int, reason core.EndReason) {
	l := b.links[store]
	if l == nil || !l.up {
		return
	}
	l.up = false
	l.generation++
	w.Stores[store].Disconnect(b.number)
	var affected []*dispatch
	for _, disp := range w.dispatches {
		if disp.broker == b.number && disp.incarnation == b.incarnation && disp.store == store && disp.linkGeneration != l.generation && !disp.ended {
			affected = append(affected, disp)
		}
	}
	slices.SortFunc(affected, func(x, y *dispatch) int { return cmp.Compare(x.part.Ref, y.part.Ref) })
	for _, disp := range affected {
		disp.ended = true
		delete(w.dispatches, disp.part.Ref)
		w.Checker.dispatchEnded(disp.part.Ref)
		w.deliver(b, disp.incarnation, core.Ended{Ref: disp.part.Ref >> 16, Reason: reason, At: epoch + w.now})
	}
}

// resetStore resets all connections of a store whose process has died, as the operating system of its host does.
func (w *World) resetStore(st *Store) {
	st.Crash()
	i := w.storeByHost[st.Name]
	if w.loopback != nil {
		w.loopback.resetStore(i)
		return
	}
	for _, b := range w.brokers {
		if l := b.links[i]; l != nil && l.up {
			toBroker, lost := w.messageDelay(st.Zone, b.zone)
			incarnation := b.incarnation
			if !lost {
				w.after(toBroker, func() {
					if b.incarnation == incarnation {
						w.breakLink(b, i, core.ReadFailed)
					}
				})
			}
		}
	}
}

// cancelPart carries out a broker's cancellation: the dispatch ends at once, the store receives the cancellation later.
func (w *World) cancelPart(b *emulatedBroker, c core.Cancel) {
	disp := w.dispatches[c.Ref<<16|int64(b.number)&0xffff]
	if disp == nil || disp.ended {
		return
	}
	disp.ended = true
	st := w.Stores[disp.store]
	toStore, lost := w.messageDelay(b.zone, st.Zone)
	ref := disp.part.Ref
	w.after(toStore, func() {
		delete(w.dispatches, ref)
		w.Checker.dispatchEnded(ref)
		if !lost && st.Reachable() {
			st.Cancel(w.now, ref)
		}
	})
}

// probeStore carries out a health probe. There is no response if a message is lost or if the store is unreachable or
// unresponsive.
func (w *World) probeStore(b *emulatedBroker, p core.Probe) {
	i, known := w.storeByHost[p.Host]
	incarnation := b.incarnation
	if !known {
		w.deliver(b, incarnation, core.Ended{Ref: p.Ref, Reason: core.NoAddress, At: epoch + w.now})
		return
	}
	st := w.Stores[i]
	toStore, lost := w.messageDelay(b.zone, st.Zone)
	toBroker, replyLost := w.messageDelay(st.Zone, b.zone)
	if lost || replyLost || st.Faults.Unreachable || st.Faults.NeverAnswers {
		return
	}
	w.after(toStore+toBroker, func() {
		e := core.Ended{Ref: p.Ref, Reason: core.Answered, At: epoch + w.now}
		if !st.Reachable() {
			e.Reason = core.DialRefused
		} else {
			load := st.LoadReport(w.now)
			e.Load = map[string]float64{"running": load.Running, "waiting": load.Queued, "busy": load.Utilization}
		}
		w.deliver(b, incarnation, e)
	})
}

// updateReadiness changes a store's entry in discovery and sends it to every broker, each after a delay of its own.
func (w *World) updateReadiness(i int, readiness logic.Readiness, extraLag float64) {
	w.nodes[i].Readiness = readiness
	node := w.nodes[i]
	if w.discoverySilent {
		return // not sent; the full list sent after the outage includes it
	}
	for _, b := range w.brokers {
		lag := extraLag + w.extraListLag + w.Fleet.ListLag + w.rnd.Float64()*w.Fleet.ListLagSpread
		w.after(lag, func() { w.deliverListChange(b, node) })
	}
}

// deliverListChange updates a broker's node list, and records for the checker since when the broker knows that a store
// takes no more parts.
func (w *World) deliverListChange(b *emulatedBroker, node core.Node) {
	if w.discoverySilent {
		return
	}
	i := w.storeByHost[node.Host]
	pos := slices.IndexFunc(b.knownNodes, func(n core.Node) bool { return n.Host == node.Host })
	switch {
	case node.Readiness == logic.Gone && pos >= 0:
		b.knownNodes = slices.Delete(b.knownNodes, pos, pos+1)
	case node.Readiness != logic.Gone && pos >= 0:
		b.knownNodes[pos] = node
	case node.Readiness != logic.Gone:
		b.knownNodes = append(b.knownNodes, node)
	}
	key := [2]int{b.number, i}
	if node.Readiness == logic.Ready {
		delete(w.Checker.drainNotifiedAt, key)
	} else if _, known := w.Checker.drainNotifiedAt[key]; !known && b.up && !b.paused {
		w.Checker.drainNotifiedAt[key] = w.now
	}
	if w.loopback != nil {
		w.loopback.publishChange(b, node)
		return
	}
	w.deliver(b, b.incarnation, core.List{Kind: logic.ListDelta, Nodes: []core.Node{node}})
}

// sendFullListToAll sends every broker the full list, as discovery does after an outage.
func (w *World) sendFullListToAll() {
	for _, b := range w.brokers {
		w.after(w.rnd.Float64()*w.Fleet.ListLagSpread, func() { w.sendFullList(b) })
	}
}

// sendFullList sends a broker the full list.
func (w *World) sendFullList(b *emulatedBroker) {
	if w.discoverySilent {
		return
	}
	b.knownNodes = b.knownNodes[:0]
	for i, node := range w.nodes {
		if w.loopback != nil {
			w.loopback.publishChange(b, node)
		}
		if key := [2]int{b.number, i}; node.Readiness == logic.Ready {
			delete(w.Checker.drainNotifiedAt, key)
		} else if _, known := w.Checker.drainNotifiedAt[key]; !known {
			w.Checker.drainNotifiedAt[key] = w.now
		}
		if node.Readiness != logic.Gone {
			b.knownNodes = append(b.knownNodes, node)
		}
	}
	w.deliver(b, b.incarnation, core.List{Kind: logic.ListFull, Nodes: slices.Clone(b.knownNodes)})
}
