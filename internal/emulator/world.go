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
	"gullstair/internal/terms"
	"gullstair/internal/verdicts"
	"gullstair/logic"
)

// BrokerCore is the logic of a broker without its sockets: core.Core, or a baseline policy that core.Core is compared
// with. Times are Unix times in ms.
type Decider interface {
	// Step processes the inputs received since the last call and returns what the broker sends.
	Step(now float64, in []core.Input) []core.Output
	// Due returns the time at which Step is needed without any input; +Inf if there is none.
	Due() float64
}

// BrokerFactory creates the core of a broker that starts; known is the node list that it had before a restart.
type Maker func(f *Fleet, ordinal, zone int, seed uint64, known []core.Node) (Decider, error)

// Gullstair creates the production broker: the unmodified core and decision module.
func Gullstair(f *Fleet, ordinal, zone int, seed uint64, known []core.Node) (Decider, error) {
	settings := f.settings(ordinal, zone)
	site, err := terms.ReadSettings(settings)
	if err != nil {
		return nil, err
	}
	c := core.New(site, settings, seed, known)
	if f.Confined.Count > 0 {
		plan, limits := f.Confined.plan()
		c.SetCells(plan, limits, f.Nature.Cold, f.MaxRetryAfter, rand.New(rand.NewPCG(seed, 0xce11)).Float64)
	}
	return c, nil
}

// epoch is the virtual Unix time in ms at which a run starts. Brokers receive all times relative to the Unix epoch,
// including the start times of stores.
const epoch = 1e12

// World is one run of an emulated fleet, in virtual time unless RunLive plays it. In virtual time the same fleet, seed and
// faults give the same run, event by event. Times are ms since the start of the run.
type World struct {
	Fleet   *Fleet
	Stores  []*Store
	Judge   *Judge
	Notes   []string      // report lines: when each fault began and ended, and its targets
	Share   time.Duration // RunLive only: period in which the brokers together probe every store; 0: each probes on its own
	Events  int           // number of events processed
	now     float64
	q       queue
	rnd     *rand.Rand // for the network, broker selection and client retries
	come    *rand.Rand // for arriving scans only, so that they are the same for every policy, also in real time
	strikes uint64     // faults scheduled so far; seeds the generator of each fault
	seed    uint64
	make    Maker
	memory  *Memory
	seats   []*seat
	byHost  map[string]int
	states  []core.Node // by store: its entry in service discovery, before any delay
	flights map[int64]*flight
	planned []float64 // by store: time of its scheduled Step call; 0: none
	tally   *tally
	asks    int64 // client requests created so far
	net     network
	rate    float64 // factor on Traffic.Rate
	hot     hot
	abuser  int       // number of the tenant that sends excess traffic, plus one; 0: none
	weights []float64 // cumulative popularity of the shards
	stale   float64   // ms added to the delay of list updates
	mute    bool      // service discovery sends no updates
	ending  float64   // no new client requests from this time on
	err     error
	live    *live // set by RunLive; nil: virtual time
}

// networkFaults holds the active faults between zones, brokers and stores.
type network struct {
	cutZones  map[[2]int]bool         // from and to zone: all messages are lost
	lossZones map[[2]int]float64      // from and to zone: fraction of messages lost
	oneSided  map[int]map[int]float64 // by broker and store: fraction of responses lost

	apart      map[[2]int]bool // from and to broker: all datagrams are lost
	brokerLoss float64         // fraction of datagrams between brokers that is lost
}

// hotShard is the shard at which a share of the scans starts; a share of 0: none.
type hot struct {
	share float64
	shard int
}

// emulatedBroker is a broker of the fleet. It keeps its number, zone and node list when its process is restarted; each
// start counts up the incarnation.
type seat struct {
	n, zone  int
	d        Decider
	boot     int
	up       bool
	paused   bool
	noticed  bool // clients have noticed that it is down and no longer choose it
	inbox    []core.Input
	last     float64 // time of the last Step call
	wake     int     // number of the scheduled Step call; calls scheduled earlier are ignored
	wakeAt   float64 // time of the scheduled Step call; 0: none
	links    map[int]*link
	told     []core.Node // the node list that it has received
	open     map[string]*try
	verdicts *holder  // its replica of the shared verdicts on stores; nil: not shared, or it is a real process
	limits   *limiter // its part of the shared limits; nil: no limits, or it is a real process
	mail     []func() // datagrams from other brokers, queued while it is paused
}

// link is a broker's connection to a store.
type link struct {
	up      bool
	dialing bool
	waiting []core.Call // calls queued until the connection is established
	used    float64     // time of the last call
	gen     int         // changes whenever the connection is established or lost
}

// dispatch is a part sent to a store whose result has not been received by its broker.
type flight struct {
	seat, boot int
	store      int
	link       int
	part       *Part
	scan       string
	second     bool // it belongs to the second step (fetch) of its scan
	ended      bool
	conn       net.Conn // RunLive only: the connection on which it arrived
}

// clientRequest is what a client requests, across all its attempts.
type ask struct {
	n       int64
	typ     int
	parts   []core.ScanPart
	cost    []float64 // actual work of each part, ms of a core at speed 1
	text    string
	key     string
	tenant  int
	began   float64
	budget  float64 // ms that the client waits in total
	benefit float64
	tries   int
	settled bool // its outcome has been counted
}

// attempt is one request of a client to a broker. A client request has more than one if the client retries.
type try struct {
	a      *ask
	sc     *core.Scan
	seat   int
	boot   int
	sentAt float64
}

// New creates a world whose brokers start with the complete node list; factory is nil if the brokers are real processes,
// see RunLive.
func New(f *Fleet, seed uint64, factory Maker) *World {
	w := &World{Fleet: f, Judge: newJudge(f), rnd: rand.New(rand.NewPCG(seed, 0xe0)), come: rand.New(rand.NewPCG(seed, 0xc0e)), seed: seed, make: factory, memory: NewMemory(),
		byHost: map[string]int{}, flights: map[int64]*flight{}, tally: newTally(len(f.Types)), rate: 1,
		net: network{cutZones: map[[2]int]bool{}, lossZones: map[[2]int]float64{}, oneSided: map[int]map[int]float64{}, apart: map[[2]int]bool{}}}
	for i := range f.Stores {
		// Assigns cells and zones in turn, so that the stores of each shard are spread over as many zones as possible.
		w.addStore(i%f.Cells, (i/f.Cells+i%f.Cells)%len(f.Zones), longAgo)
	}
	sum := 0.0
	for shard := range f.Shards {
		sum += math.Pow(float64(shard+1), -f.Traffic.Skew)
		w.weights = append(w.weights, sum)
	}
	for i := range f.Brokers {
		b := &seat{n: i, zone: i % len(f.Zones)}
		w.seats = append(w.seats, b)
		b.told = slices.Clone(w.states)
		w.boot(b)
	}
	return w
}

// addStore adds a store that starts at time born to the fleet and to the discovery list and returns its index.
func (w *World) addStore(cell, zone int, born float64) int {
	i := len(w.Stores)
	kind := w.Fleet.kindOf(w.rnd)
	s := NewStore(fmt.Sprintf("s-%04d", i), zone, cell, kind, &w.Fleet.Nature, w.memory, born)
	w.Stores = append(w.Stores, s)
	w.byHost[s.Name] = i
	w.planned = append(w.planned, 0)
	bornUnix := 0.0
	if born > longAgo/2 {
		bornUnix = w.unix(born)
	}
	w.states = append(w.states, core.Node{Host: s.Name, Addr: "10.0.0.1:1", Zone: w.Fleet.Zones[zone], Kind: kind.Name, Cell: cell,
		Readiness: logic.Ready, Units: 1, Born: bornUnix})
	if w.live != nil {
		if err := w.live.open(i); err != nil && w.err == nil {
			w.err = err
		}
	}
	return i
}

// unixMs converts a time of the run to Unix time in ms, as brokers see it.
func (w *World) unix(at float64) float64 {
	if w.live != nil {
		return float64(w.live.begun.UnixNano())/1e6 + at
	}
	return epoch + at
}

// after schedules do after a delay in ms.
func (w *World) at(wait float64, do func()) { w.q.push(w.now+max(0, wait), do) }

// Run plays the world in virtual time. Clients send requests for trafficMs; the run then continues for the longest timeout
// plus 2 s, so that requests still open can finish.
func (w *World) Run(trafficMs float64) (Figures, error) {
	started := time.Now()
	w.ending = trafficMs
	w.arrivals()
	w.sweep()
	end := trafficMs
	for _, t := range w.Fleet.Types {
		end = max(end, trafficMs+t.Timeout+2000)
	}
	for w.q.len() > 0 && w.err == nil {
		e := w.q.pop()
		if e.at > end {
			break
		}
		w.now = e.at
		w.Events++
		e.do()
	}
	w.now = end
	w.Judge.sweep(end, true)
	f := w.close(end)
	f.WallSeconds = time.Since(started).Seconds()
	return f, w.err
}

// collectFigures evaluates the fleet limits and returns the figures of a run that ended at endMs.
func (w *World) close(endMs float64) Figures {
	w.limitsKept()
	f := w.tally.figures(w.Fleet.Types)
	worked, wasted := 0.0, 0.0
	for _, s := range w.Stores {
		worked, wasted = worked+s.Worked, wasted+s.Wasted
	}
	f.Wasted = 1 - share(worked-wasted, worked)
	f.Dispatches = share(float64(w.tally.f.Moved), float64(f.Scans))
	f.Broken, f.Breaches, f.Events = w.Judge.Broken, w.Judge.Breaches, w.Events
	f.VirtualSecs = endMs / 1000
	if w.abuser > 0 {
		f.Abuser = tenantName(w.abuser - 1)
	}
	cellOf := w.cellOf()
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
func (w *World) cellOf() func(tenant string) string {
	plan, _ := w.Fleet.Confined.plan()
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
func (w *World) sweep() {
	w.Judge.sweep(w.now, false)
	w.at(1000, w.sweep)
}

// startBroker starts a broker, or restarts it as a new incarnation.
func (w *World) boot(b *seat) {
	b.boot++
	b.links, b.open, b.last = map[int]*link{}, map[string]*try{}, math.Inf(-1)
	if w.make == nil {
		if b.up = w.live == nil; w.live != nil {
			w.live.restart(b)
		}
		return
	}
	brokerCore, err := w.make(w.Fleet, b.n, b.zone, w.seed*1000003+uint64(b.n)*131+uint64(b.boot), slices.Clone(b.told))
	if err != nil {
		w.err = err
		return
	}
	b.d, b.up, b.noticed, b.paused, b.inbox, b.mail = brokerCore, true, false, false, nil, nil
	w.limit(b, w.seed*1000003+uint64(b.n)*131+uint64(b.boot))
	w.hold(b, w.seed*1000003+uint64(b.n)*131+uint64(b.boot))
	w.turn(b, w.now+w.rnd.Float64()*w.Fleet.Turn)
}

// scheduleTurn schedules a broker's next Step call for time at, but no sooner than Fleet.TurnInterval after the last one.
// A call that is already scheduled for an earlier time stays.
func (w *World) turn(b *seat, at float64) {
	at = max(at, b.last+w.Fleet.Turn, w.now)
	if b.wakeAt > w.now && b.wakeAt <= at && b.wake > 0 || math.IsInf(at, 1) {
		return
	}
	b.wake++
	seq, incarnation := b.wake, b.boot
	b.wakeAt = at
	w.q.push(at, func() {
		if b.boot == incarnation && b.wake == seq && b.up && !b.paused {
			w.step(b)
		}
	})
}

// runTurn calls Step on a broker with its queued inputs and carries out the outputs.
func (w *World) step(b *seat) {
	b.last, b.wakeAt = w.now, 0
	in := b.inbox
	b.inbox = nil
	for _, out := range b.d.Step(epoch+w.now, in) {
		switch v := out.(type) {
		case core.Call:
			w.call(b, v)
		case core.Cancel:
			w.giveUp(b, v)
		case core.Reply:
			w.reply(b, v)
		case core.Probe:
			w.probe(b, v)
		case core.SendNote:
			w.noteAll(b, v.Note)
		case core.OutcomeReport:
			b.verdicts.step(verdicts.Outcome{Store: v.Host, Kind: broker.ToVerdictKind(v)})
		case core.NodeList:
			b.verdicts.list(v)
		case core.Log:
			if v.Fatal {
				w.err = fmt.Errorf("broker %d: %s", b.n, v.Text)
			}
		}
	}
	if next := b.d.Due(); !math.IsInf(next, 1) {
		w.turn(b, max(next-epoch, w.now))
	}
}

// deliver queues an input for a broker and schedules its turn. Inputs for an earlier incarnation are dropped.
func (w *World) tell(b *seat, incarnation int, in core.Input) {
	if b.boot != incarnation || !b.up || w.live != nil {
		return
	}
	b.inbox = append(b.inbox, in)
	if !b.paused {
		w.turn(b, w.now)
	}
}

// messageDelay draws the delay in ms of a message from one zone to another, and whether the message is lost.
func (w *World) way(from, to int) (ms float64, lost bool) {
	f := w.Fleet
	ms = f.Same
	if from != to {
		ms = f.Cross
	}
	ms += w.rnd.Float64() * f.Jitter
	if w.net.cutZones[[2]int{from, to}] {
		return ms, true
	}
	if loss := w.net.lossZones[[2]int{from, to}]; loss > 0 && w.rnd.Float64() < loss {
		return ms, true
	}
	return ms, false
}

// sendCall sends a call to a store over the existing connection, or queues it and establishes a connection if there is
// none or it has been idle for too long.
func (w *World) call(b *seat, c core.Call) {
	i, known := w.byHost[c.Host]
	if !known {
		w.endAll(b, b.boot, c.Parts, core.NoAddress)
		return
	}
	st := w.Stores[i]
	for _, p := range c.Parts {
		scan, second := scanOf(p.ID)
		w.moved(st)
		w.Judge.sent(w.now, b.n, i, st, scan, p.ID, p.Shard, second)
	}
	l := b.links[i]
	if l == nil {
		l = &link{}
		b.links[i] = l
	}
	switch {
	case l.up && w.now-l.used < w.Fleet.Idle:
		w.frame(b, i, l, c, 0)
	case l.dialing:
		l.waiting = append(l.waiting, c)
	default:
		l.up, l.dialing = false, true
		l.waiting = append(l.waiting, c)
		w.dial(b, i, l)
	}
}

// countDispatch counts a part sent to a store, and whether the store is faulty at that time.
func (w *World) moved(st *Store) {
	w.tally.f.Moved++
	if a := &st.Ails; a.Mute || a.Late || a.Vanished || a.Dead || a.Fails > 0 || a.Resets > 0 || a.Spoils > 0 {
		w.tally.f.Struck++
		w.tally.window(w.now).Struck++
	}
}

// dial establishes a connection and then sends the queued calls. It takes one round trip; it is refused if the store is
// down or takes no connection, and times out if the host of the store has vanished or a message is lost.
func (w *World) dial(b *seat, i int, l *link) {
	st, incarnation := w.Stores[i], b.boot
	toStore, lost := w.way(b.zone, st.Zone)
	toBroker, replyLost := w.way(st.Zone, b.zone)
	done := func(reason core.EndReason) {
		l.dialing = false
		pending := l.waiting
		l.waiting = nil
		for _, c := range pending {
			if reason != 0 {
				w.endAll(b, incarnation, c.Parts, reason)
			} else {
				w.frame(b, i, l, c, st.Nature.ConnWork)
			}
		}
	}
	if lost || replyLost || st.Ails.Vanished {
		w.at(w.Fleet.ConnectTimeout, func() { done(core.DialTimedOut) })
		return
	}
	w.at(toStore, func() {
		ok := st.Up() && st.Connect(b.n)
		w.at(toBroker, func() {
			if b.boot != incarnation {
				return
			}
			if !ok || !st.Up() {
				done(core.DialRefused)
				return
			}
			l.up = true
			l.gen++
			done(0)
		})
	})
}

// endParts reports the same end reason to a broker for all parts of a call.
func (w *World) endAll(b *seat, incarnation int, parts []core.CallPart, reason core.EndReason) {
	for _, p := range parts {
		w.tell(b, incarnation, core.Ended{Ref: p.Ref, Reason: reason, At: epoch + w.now})
	}
}

// sendFrame sends the parts of a call over an established connection. Parts past their latest send time are reported as
// expired instead. ExtraWork is added to the work of the call.
func (w *World) frame(b *seat, i int, l *link, c core.Call, extraWork float64) {
	st := w.Stores[i]
	l.used = w.now
	unexpired := c.Parts[:0:0]
	for _, p := range c.Parts {
		if p.NotAfter > 0 && epoch+w.now > p.NotAfter {
			w.tell(b, b.boot, core.Ended{Ref: p.Ref, Reason: core.WriteExpired, At: epoch + w.now})
		} else {
			unexpired = append(unexpired, p)
		}
	}
	toStore, lost := w.way(b.zone, st.Zone)
	work := st.Nature.CallWork + extraWork
	generation := l.gen
	for _, p := range unexpired {
		scan, second := scanOf(p.ID)
		disp := &flight{seat: b.n, boot: b.boot, store: i, link: generation, scan: scan, second: second}
		disp.part = &Part{ID: p.ID, Ref: p.Ref<<16 | int64(b.n)&0xffff, Broker: b.n, Shard: p.Shard, Until: p.Deadline - epoch, Text: p.Text}
		if p.Key != "" {
			disp.part.Key = p.Key + "/" + strconv.Itoa(p.Shard)
		}
		disp.part.Work = w.workOf(b, scan, p.Shard, second) + work/float64(len(unexpired))
		w.flights[disp.part.Ref] = disp
		if lost {
			continue // the broker receives no notification
		}
		w.at(toStore, func() { w.arrive(b, st, l, generation, disp) })
	}
}

// partWork returns the actual work of a part, in ms of a core at speed 1.
func (w *World) workOf(b *seat, scan string, shard int, secondStep bool) float64 {
	att := b.open[scan]
	if att == nil {
		return 1
	}
	typ := &w.Fleet.Types[att.a.typ]
	for k, p := range att.a.parts {
		if p.Shard == shard {
			if secondStep {
				return att.a.cost[k] * typ.FetchWork
			}
			return att.a.cost[k]
		}
	}
	return typ.Work
}

// parsePartID returns the ID of the part's scan, and whether the part belongs to the second step.
func scanOf(id string) (scan string, secondStep bool) {
	id, secondStep = strings.CutSuffix(id, ".get")
	if dot := strings.LastIndexByte(id, '.'); dot >= 0 {
		id = id[:dot]
	}
	return id, secondStep
}

// arriveAtStore passes a dispatch to its store and sends back all results that are available at once.
func (w *World) arrive(b *seat, st *Store, l *link, generation int, disp *flight) {
	if st.Ails.Vanished || disp.ended {
		return
	}
	if !st.Up() || l.gen != generation {
		w.finish(disp, Done{Part: disp.part, How: Reset, At: w.now})
		return
	}
	w.Judge.arrived(w.now, disp.scan, disp.part)
	done, crashed := st.Arrive(w.now, disp.part, w.rnd.Float64())
	if crashed {
		w.Judge.breach(w.now, RuleCold, nil, "%s fell, %.1f s after its start", st.Name, (w.now-st.Born)/1000)
		w.reset(st)
	}
	for _, d := range done {
		if d.Ran && d.How != Silent {
			w.Judge.ran(d.At, disp.scan, disp.part.Shard, disp.second)
		}
		w.finish(w.flights[d.Part.Ref], d)
	}
	w.work(st)
}

// scheduleStore schedules the store's Step call for the time at which it completes its next part.
func (w *World) work(st *Store) {
	next := st.Due()
	i := w.byHost[st.Name]
	if math.IsInf(next, 1) || w.planned[i] > w.now && w.planned[i] <= next {
		return // no part in progress, or Step is already scheduled in time
	}
	w.planned[i] = max(next, w.now)
	w.q.push(w.planned[i], func() {
		w.planned[i] = 0
		for _, d := range st.Step(w.now) {
			disp := w.flights[d.Part.Ref]
			if disp == nil {
				continue
			}
			w.Judge.ran(w.now, disp.scan, disp.part.Shard, disp.second)
			w.finish(disp, d)
		}
		w.work(st)
	})
}

// sendResult sends the result of a part back to its broker. Some results end the connection instead.
func (w *World) finish(disp *flight, d Done) {
	if disp == nil || disp.ended {
		return
	}
	if d.How == Silent {
		return
	}
	if w.live != nil {
		w.live.finish(disp, d)
		return
	}
	b, st := w.seats[disp.seat], w.Stores[disp.store]
	if st.Ails.Vanished {
		return
	}
	toBroker, lost := w.way(st.Zone, b.zone)
	if loss := w.net.oneSided[b.n]; loss != nil && w.rnd.Float64() < loss[disp.store] {
		lost = true
	}
	w.at(d.At-w.now, func() { w.Judge.over(disp.part.Ref) })
	if lost {
		st.Wasted += d.Cost // the response is lost
		return
	}
	load := st.Reported(w.now)
	w.at(d.At-w.now+toBroker, func() {
		if disp.ended {
			return
		}
		disp.ended = true
		delete(w.flights, disp.part.Ref)
		e := core.Ended{Ref: disp.part.Ref >> 16, At: epoch + w.now}
		switch d.How {
		case Served:
			e.Reason, e.Value, e.Score = core.Answered, Value(disp.part.Shard, disp.part.Text, disp.second), Score(disp.part.Shard, disp.part.Text)
			e.Load = map[string]float64{"running": load.Running, "waiting": load.Waiting, "busy": load.Busy}
			w.Judge.came(disp.scan, disp.part.Shard, disp.second)
		case Failed:
			e.Reason = core.AnsweredError
		case Rejected:
			e.Reason = core.Rejected
		case Reset:
			e.Reason = core.ReadFailed
			w.broke(b, disp.store, core.ReadFailed)
		case Spoilt:
			e.Reason = core.BadFrame
			w.broke(b, disp.store, core.BadFrame)
		}
		w.tell(b, disp.boot, e)
	})
}

// breakLink closes a broker's connection to a store and ends all dispatches on it with the given reason.
func (w *World) broke(b *seat, store int, reason core.EndReason) {
	l := b.links[store]
	if l == nil || !l.up {
		return
	}
	l.up = false
	l.gen++
	w.Stores[store].Disconnect(b.n)
	var affected []*flight
	for _, disp := range w.flights {
		if disp.seat == b.n && disp.boot == b.boot && disp.store == store && disp.link != l.gen && !disp.ended {
			affected = append(affected, disp)
		}
	}
	slices.SortFunc(affected, func(x, y *flight) int { return cmp.Compare(x.part.Ref, y.part.Ref) })
	for _, disp := range affected {
		disp.ended = true
		delete(w.flights, disp.part.Ref)
		w.Judge.over(disp.part.Ref)
		w.tell(b, disp.boot, core.Ended{Ref: disp.part.Ref >> 16, Reason: reason, At: epoch + w.now})
	}
}

// resetStore resets all connections of a store whose process has died, as the operating system of its host does.
func (w *World) reset(st *Store) {
	st.Crash()
	i := w.byHost[st.Name]
	if w.live != nil {
		w.live.reset(i)
		return
	}
	for _, b := range w.seats {
		if l := b.links[i]; l != nil && l.up {
			toBroker, lost := w.way(st.Zone, b.zone)
			incarnation := b.boot
			if !lost {
				w.at(toBroker, func() {
					if b.boot == incarnation {
						w.broke(b, i, core.ReadFailed)
					}
				})
			}
		}
	}
}

// cancelPart carries out a broker's cancellation: the dispatch ends at once, the store receives the cancellation later.
func (w *World) giveUp(b *seat, c core.Cancel) {
	disp := w.flights[c.Ref<<16|int64(b.n)&0xffff]
	if disp == nil || disp.ended {
		return
	}
	disp.ended = true
	st := w.Stores[disp.store]
	toStore, lost := w.way(b.zone, st.Zone)
	ref := disp.part.Ref
	w.at(toStore, func() {
		delete(w.flights, ref)
		w.Judge.over(ref)
		if !lost && st.Up() {
			st.Cancel(w.now, ref)
		}
	})
}

// probeStore carries out a health probe. There is no response if a message is lost or if the store is unreachable or
// unresponsive.
func (w *World) probe(b *seat, p core.Probe) {
	i, known := w.byHost[p.Host]
	incarnation := b.boot
	if !known {
		w.tell(b, incarnation, core.Ended{Ref: p.Ref, Reason: core.NoAddress, At: epoch + w.now})
		return
	}
	st := w.Stores[i]
	toStore, lost := w.way(b.zone, st.Zone)
	toBroker, replyLost := w.way(st.Zone, b.zone)
	if lost || replyLost || st.Ails.Vanished || st.Ails.Mute {
		return
	}
	w.at(toStore+toBroker, func() {
		e := core.Ended{Ref: p.Ref, Reason: core.Answered, At: epoch + w.now}
		if !st.Up() {
			e.Reason = core.DialRefused
		} else {
			load := st.Reported(w.now)
			e.Load = map[string]float64{"running": load.Running, "waiting": load.Waiting, "busy": load.Busy}
		}
		w.tell(b, incarnation, e)
	})
}

// updateReadiness changes a store's entry in discovery and sends it to every broker, each after a delay of its own.
func (w *World) relist(i int, readiness logic.Readiness, extraLag float64) {
	w.states[i].Readiness = readiness
	node := w.states[i]
	if w.mute {
		return // not sent; the full list sent after the outage includes it
	}
	for _, b := range w.seats {
		lag := extraLag + w.stale + w.Fleet.ListLag + w.rnd.Float64()*w.Fleet.ListSpread
		w.at(lag, func() { w.list(b, node) })
	}
}

// deliverListChange updates a broker's node list, and records for the checker since when the broker knows that a store
// takes no more parts.
func (w *World) list(b *seat, node core.Node) {
	if w.mute {
		return
	}
	i := w.byHost[node.Host]
	pos := slices.IndexFunc(b.told, func(n core.Node) bool { return n.Host == node.Host })
	switch {
	case node.Readiness == logic.Gone && pos >= 0:
		b.told = slices.Delete(b.told, pos, pos+1)
	case node.Readiness != logic.Gone && pos >= 0:
		b.told[pos] = node
	case node.Readiness != logic.Gone:
		b.told = append(b.told, node)
	}
	key := [2]int{b.n, i}
	if node.Readiness == logic.Ready {
		delete(w.Judge.told, key)
	} else if _, known := w.Judge.told[key]; !known && b.up && !b.paused {
		w.Judge.told[key] = w.now
	}
	if w.live != nil {
		w.live.told(b, node)
		return
	}
	w.tell(b, b.boot, core.List{Kind: logic.ListDelta, Nodes: []core.Node{node}})
}

// sendFullListToAll sends every broker the full list, as discovery does after an outage.
func (w *World) tellAll() {
	for _, b := range w.seats {
		w.at(w.rnd.Float64()*w.Fleet.ListSpread, func() { w.tellOne(b) })
	}
}

// sendFullList sends a broker the full list.
func (w *World) tellOne(b *seat) {
	if w.mute {
		return
	}
	b.told = b.told[:0]
	for i, node := range w.states {
		if w.live != nil {
			w.live.told(b, node)
		}
		if key := [2]int{b.n, i}; node.Readiness == logic.Ready {
			delete(w.Judge.told, key)
		} else if _, known := w.Judge.told[key]; !known {
			w.Judge.told[key] = w.now
		}
		if node.Readiness != logic.Gone {
			b.told = append(b.told, node)
		}
	}
	w.tell(b, b.boot, core.List{Kind: logic.ListFull, Nodes: slices.Clone(b.told)})
}
