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

// Decider is a broker without its sockets: core.Core, or one of the plain policies that it is compared with.
type Decider interface {
	Step(now float64, in []core.Input) []core.Output
	Due() float64
}

// Maker makes the decider of a broker that starts, with the list that it had last.
type Maker func(f *Fleet, ordinal, zone int, seed uint64, known []core.Node) (Decider, error)

// Gullstair makes the real broker: core and decision module as they are.
func Gullstair(f *Fleet, ordinal, zone int, seed uint64, known []core.Node) (Decider, error) {
	flat := f.settings(ordinal, zone)
	site, err := terms.ReadSettings(flat)
	if err != nil {
		return nil, err
	}
	c := core.New(site, flat, seed, known)
	if f.Confined.Count > 0 {
		plan, limits := f.Confined.plan()
		c.SetCells(plan, limits, f.Nature.Cold, f.MaxRetryAfter, rand.New(rand.NewPCG(seed, 0xce11)).Float64)
	}
	return c, nil
}

// epoch is the virtual Unix time at the start, in ms; stores' start times are told by it.
const epoch = 1e12

// World is one run in virtual time. The same fleet, seed and faults give the same run, event by event.
type World struct {
	Fleet   *Fleet
	Stores  []*Store
	Judge   *Judge
	Notes   []string      // the faults' time line
	Share   time.Duration // on loopback: the brokers share the probing of all stores in this period; 0: they share nothing
	Events  int
	now     float64
	q       queue
	rnd     *rand.Rand // for the network and for what clients do after their first try
	come    *rand.Rand // for the scans that come: the same whoever answers them, and in real time too
	strikes uint64     // faults planned: each draws its targets from chance of its own
	seed    uint64
	make    Maker
	memory  *Memory
	seats   []*seat
	byHost  map[string]int
	states  []core.Node // the true list
	flights map[int64]*flight
	planned []float64 // by store: the look at it that is planned
	tally   *tally
	asks    int64
	net     network
	rate    float64 // times the traffic's
	hot     hot
	abuser  int       // the tenant that asks for too much, plus one; 0: none does
	weights []float64 // of shards, summed up
	stale   float64   // added to the lists' lag
	mute    bool      // discovery says nothing
	ending  float64
	err     error
	live    *live // nil: in virtual time
}

// network is what is wrong between places.
type network struct {
	cutZones  map[[2]int]bool         // one way
	lossZones map[[2]int]float64      // one way, share lost
	oneSided  map[int]map[int]float64 // by broker and store: share of the answers that are lost

	apart      map[[2]int]bool // brokers, one way
	brokerLoss float64         // share of what brokers tell each other
}

type hot struct {
	share float64
	shard int
}

// seat is a broker's place: the process in it may change.
type seat struct {
	n, zone  int
	d        Decider
	boot     int
	up       bool
	paused   bool
	noticed  bool // clients know that it is down
	inbox    []core.Input
	last     float64
	wake     int
	wakeAt   float64
	links    map[int]*link
	told     []core.Node // the list as it has it
	open     map[string]*try
	verdicts *holder  // its part of the fleet's verdicts; nil likewise
	limits   *limiter // its part of the fleet's; nil: none, or in a process of its own
	mail     []func() // other brokers' datagrams that wait while it stands still
}

// link is a broker's connection to a store.
type link struct {
	up      bool
	dialing bool
	waiting []core.Call
	used    float64
	gen     int
}

type flight struct {
	seat, boot int
	store      int
	link       int
	part       *Part
	scan       string
	second     bool
	ended      bool
	conn       net.Conn // live: on which it came
}

// ask is what a client wants, over all its tries.
type ask struct {
	n       int64
	typ     int
	parts   []core.ScanPart
	cost    []float64
	text    string
	key     string
	tenant  int
	began   float64
	budget  float64
	benefit float64
	tries   int
	settled bool
}

// try is one request to a broker.
type try struct {
	a      *ask
	sc     *core.Scan
	seat   int
	boot   int
	sentAt float64
}

// New makes a world. Brokers start with the whole list; mk may be nil where they are processes, see RunLive.
func New(f *Fleet, seed uint64, mk Maker) *World {
	w := &World{Fleet: f, Judge: newJudge(f), rnd: rand.New(rand.NewPCG(seed, 0xe0)), come: rand.New(rand.NewPCG(seed, 0xc0e)), seed: seed, make: mk, memory: NewMemory(),
		byHost: map[string]int{}, flights: map[int64]*flight{}, tally: newTally(len(f.Types)), rate: 1,
		net: network{cutZones: map[[2]int]bool{}, lossZones: map[[2]int]float64{}, oneSided: map[int]map[int]float64{}, apart: map[[2]int]bool{}}}
	for i := range f.Stores {
		// Cells and zones go round, so that each shard's holders lie in different zones as far as these go.
		w.addStore(i%f.Cells, (i/f.Cells+i%f.Cells)%len(f.Zones), longAgo)
	}
	sum := 0.0
	for s := range f.Shards {
		sum += math.Pow(float64(s+1), -f.Traffic.Skew)
		w.weights = append(w.weights, sum)
	}
	for i := range f.Brokers {
		s := &seat{n: i, zone: i % len(f.Zones)}
		w.seats = append(w.seats, s)
		s.told = slices.Clone(w.states)
		w.boot(s)
	}
	return w
}

func (w *World) addStore(cell, zone int, born float64) int {
	i := len(w.Stores)
	kind := w.Fleet.kindOf(w.rnd)
	s := NewStore(fmt.Sprintf("s-%04d", i), zone, cell, kind, &w.Fleet.Nature, w.memory, born)
	w.Stores = append(w.Stores, s)
	w.byHost[s.Name] = i
	w.planned = append(w.planned, 0)
	told := 0.0
	if born > longAgo/2 {
		told = w.unix(born)
	}
	w.states = append(w.states, core.Node{Host: s.Name, Addr: "10.0.0.1:1", Zone: w.Fleet.Zones[zone], Kind: kind.Name, Cell: cell,
		Readiness: logic.Ready, Units: 1, Born: told})
	if w.live != nil {
		if err := w.live.open(i); err != nil && w.err == nil {
			w.err = err
		}
	}
	return i
}

// unix is a moment of the run as the brokers' clocks show it.
func (w *World) unix(at float64) float64 {
	if w.live != nil {
		return float64(w.live.begun.UnixNano())/1e6 + at
	}
	return epoch + at
}

func (w *World) at(wait float64, do func()) { w.q.push(w.now+max(0, wait), do) }

// Run plays until the traffic's end and some time more, so that what is open comes to its end.
func (w *World) Run(forMs float64) (Figures, error) {
	begun := time.Now()
	w.ending = forMs
	w.arrivals()
	w.sweep()
	over := forMs
	for _, t := range w.Fleet.Types {
		over = max(over, forMs+t.Timeout+2000)
	}
	for w.q.len() > 0 && w.err == nil {
		e := w.q.pop()
		if e.at > over {
			break
		}
		w.now = e.at
		w.Events++
		e.do()
	}
	w.now = over
	w.Judge.sweep(over, true)
	f := w.close(over)
	f.WallSeconds = time.Since(begun).Seconds()
	return f, w.err
}

// close makes up the account.
func (w *World) close(over float64) Figures {
	w.limitsKept()
	f := w.tally.figures(w.Fleet.Types)
	worked, wasted := 0.0, 0.0
	for _, s := range w.Stores {
		worked, wasted = worked+s.Worked, wasted+s.Wasted
	}
	f.Wasted = 1 - share(worked-wasted, worked)
	f.Dispatches = share(float64(w.tally.f.Moved), float64(f.Scans))
	f.Broken, f.Breaches, f.Events = w.Judge.Broken, w.Judge.Breaches, w.Events
	f.VirtualSecs = over / 1000
	if w.abuser > 0 {
		f.Abuser = tenantName(w.abuser - 1)
	}
	of := w.cellOf()
	for name, x := range f.ByTenant {
		if name != f.Abuser {
			f.WorstTenant = min(f.WorstTenant, x)
		}
		if of(name) != of(f.Abuser) {
			f.OtherCells = min(f.OtherCells, x)
		}
	}
	return f
}

// cellOf says which cell a tenant belongs to, for the report; without cells each has one of its own.
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

func (w *World) sweep() {
	w.Judge.sweep(w.now, false)
	w.at(1000, w.sweep)
}

// boot starts a process in a seat.
func (w *World) boot(s *seat) {
	s.boot++
	s.links, s.open, s.last = map[int]*link{}, map[string]*try{}, math.Inf(-1)
	if w.make == nil {
		if s.up = w.live == nil; w.live != nil {
			w.live.restart(s)
		}
		return
	}
	d, err := w.make(w.Fleet, s.n, s.zone, w.seed*1000003+uint64(s.n)*131+uint64(s.boot), slices.Clone(s.told))
	if err != nil {
		w.err = err
		return
	}
	s.d, s.up, s.noticed, s.paused, s.inbox, s.mail = d, true, false, false, nil, nil
	w.limit(s, w.seed*1000003+uint64(s.n)*131+uint64(s.boot))
	w.hold(s, w.seed*1000003+uint64(s.n)*131+uint64(s.boot))
	w.turn(s, w.now+w.rnd.Float64()*w.Fleet.Turn)
}

// turn plans a broker's next turn.
func (w *World) turn(s *seat, at float64) {
	at = max(at, s.last+w.Fleet.Turn, w.now)
	if s.wakeAt > w.now && s.wakeAt <= at && s.wake > 0 || math.IsInf(at, 1) {
		return
	}
	s.wake++
	wake, boot := s.wake, s.boot
	s.wakeAt = at
	w.q.push(at, func() {
		if s.boot == boot && s.wake == wake && s.up && !s.paused {
			w.step(s)
		}
	})
}

func (w *World) step(s *seat) {
	s.last, s.wakeAt = w.now, 0
	in := s.inbox
	s.inbox = nil
	for _, o := range s.d.Step(epoch+w.now, in) {
		switch v := o.(type) {
		case core.Call:
			w.call(s, v)
		case core.Cancel:
			w.giveUp(s, v)
		case core.Reply:
			w.reply(s, v)
		case core.Probe:
			w.probe(s, v)
		case core.SendNote:
			w.noteAll(s, v.Note)
		case core.OutcomeReport:
			s.verdicts.step(verdicts.Outcome{Store: v.Host, Kind: broker.ToVerdictKind(v)})
		case core.NodeList:
			s.verdicts.list(v)
		case core.Log:
			if v.Fatal {
				w.err = fmt.Errorf("broker %d: %s", s.n, v.Text)
			}
		}
	}
	if due := s.d.Due(); !math.IsInf(due, 1) {
		w.turn(s, max(due-epoch, w.now))
	}
}

// tell puts something into a broker's mailbox.
func (w *World) tell(s *seat, boot int, in core.Input) {
	if s.boot != boot || !s.up || w.live != nil {
		return
	}
	s.inbox = append(s.inbox, in)
	if !s.paused {
		w.turn(s, w.now)
	}
}

// way is how long a message takes from one zone to another, or that it is lost.
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

// call sends a frame, over a connection that is there or that has to come up.
func (w *World) call(s *seat, c core.Call) {
	i, known := w.byHost[c.Host]
	if !known {
		w.endAll(s, s.boot, c.Parts, core.NoAddress)
		return
	}
	st := w.Stores[i]
	for _, p := range c.Parts {
		scan, second := scanOf(p.ID)
		w.moved(st)
		w.Judge.sent(w.now, s.n, i, st, scan, p.ID, p.Shard, second)
	}
	l := s.links[i]
	if l == nil {
		l = &link{}
		s.links[i] = l
	}
	switch {
	case l.up && w.now-l.used < w.Fleet.Idle:
		w.frame(s, i, l, c, 0)
	case l.dialing:
		l.waiting = append(l.waiting, c)
	default:
		l.up, l.dialing = false, true
		l.waiting = append(l.waiting, c)
		w.dial(s, i, l)
	}
}

// moved counts a part that goes to a store.
func (w *World) moved(st *Store) {
	w.tally.f.Moved++
	if a := &st.Ails; a.Mute || a.Late || a.Vanished || a.Dead || a.Fails > 0 || a.Resets > 0 || a.Spoils > 0 {
		w.tally.f.Struck++
		w.tally.window(w.now).Struck++
	}
}

// dial brings a connection up: a way there and back, unless nobody is there or hears.
func (w *World) dial(s *seat, i int, l *link) {
	st, boot := w.Stores[i], s.boot
	there, lost := w.way(s.zone, st.Zone)
	back, lostBack := w.way(st.Zone, s.zone)
	done := func(how core.EndReason) {
		l.dialing = false
		waiting := l.waiting
		l.waiting = nil
		for _, c := range waiting {
			if how != 0 {
				w.endAll(s, boot, c.Parts, how)
			} else {
				w.frame(s, i, l, c, st.Nature.ConnWork)
			}
		}
	}
	if lost || lostBack || st.Ails.Vanished {
		w.at(w.Fleet.ConnectTimeout, func() { done(core.DialTimedOut) })
		return
	}
	w.at(there, func() {
		ok := st.Up() && st.Connect(s.n)
		w.at(back, func() {
			if s.boot != boot {
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

func (w *World) endAll(s *seat, boot int, parts []core.CallPart, how core.EndReason) {
	for _, p := range parts {
		w.tell(s, boot, core.Ended{Ref: p.Ref, Reason: how, At: epoch + w.now})
	}
}

// frame puts a call's parts on the way over a connection that is up.
func (w *World) frame(s *seat, i int, l *link, c core.Call, extra float64) {
	st := w.Stores[i]
	l.used = w.now
	live := c.Parts[:0:0]
	for _, p := range c.Parts {
		if p.NotAfter > 0 && epoch+w.now > p.NotAfter {
			w.tell(s, s.boot, core.Ended{Ref: p.Ref, Reason: core.WriteExpired, At: epoch + w.now})
		} else {
			live = append(live, p)
		}
	}
	there, lost := w.way(s.zone, st.Zone)
	work := st.Nature.CallWork + extra
	gen := l.gen
	for _, p := range live {
		scan, second := scanOf(p.ID)
		fl := &flight{seat: s.n, boot: s.boot, store: i, link: gen, scan: scan, second: second}
		fl.part = &Part{ID: p.ID, Ref: p.Ref<<16 | int64(s.n)&0xffff, Broker: s.n, Shard: p.Shard, Until: p.Deadline - epoch, Text: p.Text}
		if p.Key != "" {
			fl.part.Key = p.Key + "/" + strconv.Itoa(p.Shard)
		}
		fl.part.Work = w.workOf(s, scan, p.Shard, second) + work/float64(len(live))
		w.flights[fl.part.Ref] = fl
		if lost {
			continue // nothing tells the broker
		}
		w.at(there, func() { w.arrive(s, st, l, gen, fl) })
	}
}

// workOf is the true work of a part.
func (w *World) workOf(s *seat, scan string, shard int, second bool) float64 {
	t := s.open[scan]
	if t == nil {
		return 1
	}
	typ := &w.Fleet.Types[t.a.typ]
	for k, p := range t.a.parts {
		if p.Shard == shard {
			if second {
				return t.a.cost[k] * typ.FetchWork
			}
			return t.a.cost[k]
		}
	}
	return typ.Work
}

// scanOf takes a part's id apart: its scan's id, and whether it is of a second step.
func scanOf(id string) (scan string, second bool) {
	id, second = strings.CutSuffix(id, ".get")
	if at := strings.LastIndexByte(id, '.'); at >= 0 {
		id = id[:at]
	}
	return id, second
}

func (w *World) arrive(s *seat, st *Store, l *link, gen int, fl *flight) {
	if st.Ails.Vanished || fl.ended {
		return
	}
	if !st.Up() || l.gen != gen {
		w.finish(fl, Done{Part: fl.part, How: Reset, At: w.now})
		return
	}
	w.Judge.arrived(w.now, fl.scan, fl.part)
	done, fell := st.Arrive(w.now, fl.part, w.rnd.Float64())
	if fell {
		w.Judge.breach(w.now, RuleCold, nil, "%s fell, %.1f s after its start", st.Name, (w.now-st.Born)/1000)
		w.reset(st)
	}
	for _, d := range done {
		if d.Ran && d.How != Silent {
			w.Judge.ran(d.At, fl.scan, fl.part.Shard, fl.second)
		}
		w.finish(w.flights[d.Part.Ref], d)
	}
	w.work(st)
}

// work plans the moment at which a store ends its next part.
func (w *World) work(st *Store) {
	due := st.Due()
	i := w.byHost[st.Name]
	if math.IsInf(due, 1) || w.planned[i] > w.now && w.planned[i] <= due {
		return // nothing to wait for, or a look is planned that comes in time
	}
	w.planned[i] = max(due, w.now)
	w.q.push(w.planned[i], func() {
		w.planned[i] = 0
		for _, d := range st.Step(w.now) {
			fl := w.flights[d.Part.Ref]
			if fl == nil {
				continue
			}
			w.Judge.ran(w.now, fl.scan, fl.part.Shard, fl.second)
			w.finish(fl, d)
		}
		w.work(st)
	})
}

// finish sends a part's end back to its broker.
func (w *World) finish(fl *flight, d Done) {
	if fl == nil || fl.ended {
		return
	}
	if d.How == Silent {
		return
	}
	if w.live != nil {
		w.live.finish(fl, d)
		return
	}
	s, st := w.seats[fl.seat], w.Stores[fl.store]
	if st.Ails.Vanished {
		return
	}
	back, lost := w.way(st.Zone, s.zone)
	if m := w.net.oneSided[s.n]; m != nil && w.rnd.Float64() < m[fl.store] {
		lost = true
	}
	w.at(d.At-w.now, func() { w.Judge.over(fl.part.Ref) })
	if lost {
		st.Wasted += d.Cost // done for nobody
		return
	}
	load := st.Reported(w.now)
	w.at(d.At-w.now+back, func() {
		if fl.ended {
			return
		}
		fl.ended = true
		delete(w.flights, fl.part.Ref)
		e := core.Ended{Ref: fl.part.Ref >> 16, At: epoch + w.now}
		switch d.How {
		case Served:
			e.Reason, e.Value, e.Score = core.Answered, Value(fl.part.Shard, fl.part.Text, fl.second), Score(fl.part.Shard, fl.part.Text)
			e.Load = map[string]float64{"running": load.Running, "waiting": load.Waiting, "busy": load.Busy}
			w.Judge.came(fl.scan, fl.part.Shard, fl.second)
		case Failed:
			e.Reason = core.AnsweredError
		case Rejected:
			e.Reason = core.Rejected
		case Reset:
			e.Reason = core.ReadFailed
			w.broke(s, fl.store, core.ReadFailed)
		case Spoilt:
			e.Reason = core.BadFrame
			w.broke(s, fl.store, core.BadFrame)
		}
		w.tell(s, fl.boot, e)
	})
}

// broke ends a broker's connection to a store, and with it all that is out there.
func (w *World) broke(s *seat, store int, how core.EndReason) {
	l := s.links[store]
	if l == nil || !l.up {
		return
	}
	l.up = false
	l.gen++
	w.Stores[store].Disconnect(s.n)
	var all []*flight
	for _, fl := range w.flights {
		if fl.seat == s.n && fl.boot == s.boot && fl.store == store && fl.link != l.gen && !fl.ended {
			all = append(all, fl)
		}
	}
	slices.SortFunc(all, func(a, b *flight) int { return cmp.Compare(a.part.Ref, b.part.Ref) })
	for _, fl := range all {
		fl.ended = true
		delete(w.flights, fl.part.Ref)
		w.Judge.over(fl.part.Ref)
		w.tell(s, fl.boot, core.Ended{Ref: fl.part.Ref >> 16, Reason: how, At: epoch + w.now})
	}
}

// reset breaks all connections of a store that has died, as its machine's kernel does.
func (w *World) reset(st *Store) {
	st.Crash()
	i := w.byHost[st.Name]
	if w.live != nil {
		w.live.reset(i)
		return
	}
	for _, s := range w.seats {
		if l := s.links[i]; l != nil && l.up {
			back, lost := w.way(st.Zone, s.zone)
			boot := s.boot
			if !lost {
				w.at(back, func() {
					if s.boot == boot {
						w.broke(s, i, core.ReadFailed)
					}
				})
			}
		}
	}
}

func (w *World) giveUp(s *seat, g core.Cancel) {
	fl := w.flights[g.Ref<<16|int64(s.n)&0xffff]
	if fl == nil || fl.ended {
		return
	}
	fl.ended = true
	st := w.Stores[fl.store]
	there, lost := w.way(s.zone, st.Zone)
	ref := fl.part.Ref
	w.at(there, func() {
		delete(w.flights, ref)
		w.Judge.over(ref)
		if !lost && st.Up() {
			st.Cancel(w.now, ref)
		}
	})
}

func (w *World) probe(s *seat, p core.Probe) {
	i, known := w.byHost[p.Host]
	boot := s.boot
	if !known {
		w.tell(s, boot, core.Ended{Ref: p.Ref, Reason: core.NoAddress, At: epoch + w.now})
		return
	}
	st := w.Stores[i]
	there, lost := w.way(s.zone, st.Zone)
	back, lostBack := w.way(st.Zone, s.zone)
	if lost || lostBack || st.Ails.Vanished || st.Ails.Mute {
		return
	}
	w.at(there+back, func() {
		e := core.Ended{Ref: p.Ref, Reason: core.Answered, At: epoch + w.now}
		if !st.Up() {
			e.Reason = core.DialRefused
		} else {
			load := st.Reported(w.now)
			e.Load = map[string]float64{"running": load.Running, "waiting": load.Waiting, "busy": load.Busy}
		}
		w.tell(s, boot, e)
	})
}

// relist changes a store's line and has it told to every broker, each after its own lag.
func (w *World) relist(i int, is logic.Readiness, late float64) {
	w.states[i].Readiness = is
	entry := w.states[i]
	if w.mute {
		return // nobody hears of it; what is told when discovery is back says it too
	}
	for _, s := range w.seats {
		lag := late + w.stale + w.Fleet.ListLag + w.rnd.Float64()*w.Fleet.ListSpread
		w.at(lag, func() { w.list(s, entry) })
	}
}

func (w *World) list(s *seat, e core.Node) {
	if w.mute {
		return
	}
	i := w.byHost[e.Host]
	at := slices.IndexFunc(s.told, func(n core.Node) bool { return n.Host == e.Host })
	switch {
	case e.Readiness == logic.Gone && at >= 0:
		s.told = slices.Delete(s.told, at, at+1)
	case e.Readiness != logic.Gone && at >= 0:
		s.told[at] = e
	case e.Readiness != logic.Gone:
		s.told = append(s.told, e)
	}
	key := [2]int{s.n, i}
	if e.Readiness == logic.Ready {
		delete(w.Judge.told, key)
	} else if _, known := w.Judge.told[key]; !known && s.up && !s.paused {
		w.Judge.told[key] = w.now
	}
	if w.live != nil {
		w.live.told(s, e)
		return
	}
	w.tell(s, s.boot, core.List{Kind: logic.ListDelta, Nodes: []core.Node{e}})
}

// tellAll gives every broker the whole list, as discovery does when it is back.
func (w *World) tellAll() {
	for _, s := range w.seats {
		w.at(w.rnd.Float64()*w.Fleet.ListSpread, func() { w.tellOne(s) })
	}
}

// tellOne gives a broker the whole list.
func (w *World) tellOne(s *seat) {
	if w.mute {
		return
	}
	s.told = s.told[:0]
	for i, e := range w.states {
		if w.live != nil {
			w.live.told(s, e)
		}
		if key := [2]int{s.n, i}; e.Readiness == logic.Ready {
			delete(w.Judge.told, key)
		} else if _, known := w.Judge.told[key]; !known {
			w.Judge.told[key] = w.now
		}
		if e.Readiness != logic.Gone {
			s.told = append(s.told, e)
		}
	}
	w.tell(s, s.boot, core.List{Kind: logic.ListFull, Nodes: slices.Clone(s.told)})
}
