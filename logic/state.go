package logic

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// What the module keeps, and how; nothing is decided here.

// place makes room for a newcomer in the nodes' arrays. It gets the place of a node that nothing refers to any
// more, and nothing of what was known of that one; else a new place.
func (b *Broker) place(id int64) (n int) {
	for n = 0; n < len(b.nodeID) && (b.outCalls[n] > 0 || b.listed[n] > b.now-b.longest); n++ {
	}
	if n < len(b.nodeID) {
		delete(b.index, b.nodeID[n])
	} else {
		b.nodeID, b.state, b.history = append(b.nodeID, 0), append(b.state, Gone), append(b.history, 0)
		b.cell, b.zone, b.kind = append(b.cell, 0), append(b.zone, 0), append(b.kind, 0)
		b.outCalls = append(b.outCalls, 0)
	}
	b.index[id], b.nodeID[n], b.history[n] = n, id, 0xff
	for i, col := range []*[]float64{&b.units, &b.born, &b.outWork, &b.allowed, &b.allowAt, &b.latency,
		&b.under, &b.others, &b.othersAt, &b.latAt, &b.heard, &b.restEnd, &b.passed, &b.used,
		&b.lateAt, &b.failAt, &b.listed} {
		*col = append(*col, 0)[:len(b.nodeID)]
		(*col)[n] = longAgo * float64(min(1, i/9))
	}
	return n
}

// firstRun says when the first dispatch that may have run was sent; below 0: none may have.
func (p *part) firstRun() float64 {
	if i := slices.IndexFunc(p.tries, func(d dispatch) bool { return d.ran }); i >= 0 {
		return p.tries[i].at
	}
	return -1
}

func (b *Broker) do(a Action) { b.out = append(b.out, a) }

func (b *Broker) touch(s *scan) {
	if s != nil && !s.dirty && !s.ended {
		s.dirty = true
		b.changed = append(b.changed, s)
	}
}

// tried says whether p has been dispatched to node n.
func (b *Broker) tried(p *part, n int) bool {
	return slices.ContainsFunc(p.tries, func(d dispatch) bool { return d.node == n })
}

// gap is the time between two answers of one node, as seen by this broker: what it knows ages by that.
func (b *Broker) gap() float64 {
	return (b.now - b.startAt) * float64(len(b.nodeID)) / max(1, b.answers)
}

// end forgets s, which has ended.
func (b *Broker) end(s *scan) {
	s.ended = true
	delete(b.scans, s.id)
	delete(b.byNum, s.num)
	b.dropParts(s)
}

// Broker is one instance of the module; it waits for its Started event.
type Broker struct {
	terms                       // what the site states at start
	watch        terms          // and what is watched beside it: it decides nothing
	differs      map[string]int // where that would have decided otherwise, by kind
	pcg                         // chance
	now          float64
	out          []Action
	types        []tableType
	scans, byNum map[int64]*scan // by id, by number
	parts        map[int64]*part
	changed      []*scan
	turn         map[int]*call // this turn's call to each node
	calls        []*call       // all of this turn's, in order
	news         []byte        // outcomes to tell other brokers
	notebook                   // what reading notes takes

	// Nodes: parallel arrays under a dense index.
	index                                 map[int64]int
	nodeID                                []int64
	cell, zone, kind, outCalls            []int
	state                                 []Readiness
	history                               []uint8   // last eight outcomes, the newest lowest, 1 = success
	units, born, outWork                  []float64 // outWork: outstanding, calls counted
	latency, under                        []float64 // recent; under how much work; both by target time
	latAt, heard, restEnd, failAt         []float64 // latency seen, answer heard, rest ends, it failed
	passed, listed                        []float64 // sending of the newest dispatch answered; not gone then
	allowed, allowAt                      []float64 // work that may go to it in slow start; as of
	lateAt, used                          []float64 // late, nothing heard since; a connection carried an answer
	others, othersAt                      []float64 // work that other brokers told of sending, fading; as of
	inCell                                [][]int   // the holder table: ready nodes by cell
	meanLat, meanUnder, meanValue, valued float64
	kinds                                 map[int][2]float64   // latency, and under how much work, by kind
	reads                                 map[int]bool         // kinds of nodes that read prompts
	typTarget                             float64              // mean target
	full                                  map[int]float64      // share of dispatches without room, by what budgets hold for
	connecting, refusing                  float64              // what a new connection adds, by target; refused
	startAt, answers, longest, askWait    float64              // answers: how many since; the longest timeout
	readTime                              float64              // of one prompt token, as seen
	spare, newsAt                         float64              // second dispatches late parts may have; heard last
	meanWork, done, doneAt, allUnits      float64              // work completed, fading; units of all ready nodes
	extras, taken                         map[int][][2]float64 // for a stated budget, by what it holds for
	fleetSpare                            float64              // further dispatches that the fleet's budget leaves
}

func (b *Broker) dropParts(s *scan) {
	for _, p := range s.parts {
		b.recall(p)
		p.done = true
		if p.open == 0 {
			delete(b.parts, p.id)
		}
	}
}

func (b *Broker) takeScan(e *Event) {
	if e.TableType < 0 || e.TableType >= len(b.types) || e.Scan < 0 {
		b.do(Action{Kind: Abandon, ID: e.ID})
		return
	}
	typ, turn := &b.types[e.TableType], b.num("turn")
	s := &scan{id: e.ID, num: e.Scan, typ: e.TableType, step: 1, look: longAgo,
		permitted: e.Permitted, endAt: b.now + e.Budget - 2*turn,
		targetAt: b.now + min(typ.target, e.Budget) - 2*turn}
	b.scans[s.id], b.byNum[s.num] = s, s
	if !b.flag("rules.budgetByShard") {
		b.taken[0] = append(b.taken[0], [2]float64{b.now})
	}
	b.touch(s)
}

func (b *Broker) takePart(e *Event) {
	s := b.byNum[e.Scan]
	if s == nil {
		return // ended meanwhile
	}
	work := cmp.Or(max(0, e.Hint), b.types[s.typ].work)
	p := &part{id: e.ID, scan: s, shard: e.Shard, weight: e.Amount, work: work, prompt: e.Prompt}
	s.parts = append(s.parts, p)
	b.parts[p.id] = p
	b.taken[b.budgetOf(p)] = append(b.taken[b.budgetOf(p)], [2]float64{b.now})
	b.touch(s)
}

// followList keeps the node arrays and the holder table in step with the list, however late it is: what is
// named stays known, and only nodes that are called ready get work.
func (b *Broker) followList(e *Event) {
	if e.List == ListFailed {
		// All brokers are refused at once where discovery is short: they come back later each time, and spread.
		b.askWait = min(max(restTime, 2*b.askWait), askMost, cmp.Or(b.num("rules.askWithin"), 1e9)/2)
		b.do(Action{Kind: SetTimer, Timer: askList, After: b.askWait * (0.5 + b.float()/2)})
		return
	}
	b.askWait = 0
	for n := range b.state {
		if b.state[n] != Gone {
			b.listed[n] = b.now
		}
		if e.List != ListChanges {
			b.state[n] = Gone
		}
	}
	for _, en := range e.Entries {
		n, known := b.index[en.Node]
		if !known {
			n = b.place(en.Node)
		}
		b.cell[n], b.zone[n], b.kind[n], b.state[n] = en.Cell, en.Zone, en.Kind, en.Readiness
		if _, seen := b.kinds[en.Kind]; !seen {
			b.kinds[en.Kind] = [2]float64{b.meanLat, b.meanUnder}
		}
		if en.Born > b.born[n] { // a new process: what an old one did says nothing
			b.history[n], b.restEnd[n], b.latAt[n] = 0xff, longAgo, longAgo
			turn := b.num("ordinal")/b.num("brokers") + golden*float64(en.Node%1000)
			b.allowed[n], b.allowAt[n] = -b.meanWork*math.Mod(turn, 1), b.now
		}
		b.units[n], b.born[n], b.listed[n] = max(en.Units, 0.01), max(b.born[n], en.Born), b.now
	}
	for n, id := range b.nodeID {
		b.byCode[code(id)] = n
	}
	b.inCell, b.allUnits = make([][]int, len(b.inCell)), 0.01
	for n, c := range b.cell {
		if b.state[n] == Ready && c >= 0 && c < len(b.inCell) {
			b.allUnits += b.units[n]
			b.inCell[c] = append(b.inCell[c], n)
		}
	}
}

func (b *Broker) start(e *Event) {
	*b = Broker{now: b.now, terms: terms{stated: e.Terms}, watch: terms{stated: e.Watched},
		differs: e.Differs, scans: map[int64]*scan{}, byNum: map[int64]*scan{},
		parts: map[int64]*part{}, index: map[int64]int{}, turn: map[int]*call{},
		full: map[int]float64{}, extras: map[int][][2]float64{}, taken: map[int][][2]float64{},
		notebook: notebook{byCode: map[uint16]int{}}, kinds: map[int][2]float64{}, reads: map[int]bool{},
		pcg: seeded(e.Seed), spare: spareMost, readTime: readStart, startAt: b.now, fleetSpare: math.Inf(1)}
	for i, name := range []string{"turn", "rules.cold", "rules.fall", "rules.fallMultiple",
		"rules.startCapacity", "layout.cells", "layout.reach", "layout.shards", "layout.batch", "brokers",
		"limit.dispatches", "tableType.count"} {
		b.need(name, float64(min(1, i/5))) // times may be 0, counts may not
	}
	b.readTypes(0)
	b.inCell = make([][]int, int(min(b.num("layout.cells"), 1e6)))
	if b.stated["discovery"] == "subscribe" {
		b.do(Action{Kind: Subscribe})
	}
}

// restate takes settings that have changed while the broker runs. Table types keep their numbers; new ones follow.
func (b *Broker) restate(e *Event) {
	b.terms = terms{stated: e.Terms}
	b.readTypes(len(b.types))
}

// readTypes reads the table types from a number on.
func (b *Broker) readTypes(from int) {
	for i := from; i < int(b.num("tableType.count")) && b.fault == ""; i++ {
		at := func(name string) string { return fmt.Sprintf("tableType.%d.%s", i, name) }
		in := func(name string) string { return fmt.Sprintf("layout.%s.%d", name, i) }
		t := tableType{target: b.need(at("target"), 0.001), timeout: b.need(at("timeout"), 0.001),
			benefit: b.need(at("benefit"), 0), lateBenefit: b.num(at("lateBenefit")),
			repeatWindow: b.num(at("repeatWindow")), need: b.need(in("need"), 0), floor: b.need(in("floor"), 0),
			partial: b.num(in("partialBenefit")), fetch: int(b.num(in("fetch"))),
			dispatches: int(b.num(at("dispatches")))}
		t.effect, _ = b.stated[at("effect")].(string)
		b.meanWork = cmp.Or(b.meanWork, t.target/20)
		b.typTarget = (b.typTarget*float64(i) + t.target) / float64(i+1)
		t.mean, t.dev, t.work = t.target/5, t.target/20, t.target/20
		b.types, b.longest = append(b.types, t), max(b.longest, t.timeout)
		if from == 0 {
			b.meanLat, b.meanUnder = t.mean/t.target, t.mean/t.target // until something is seen
		}
	}
}

// due says whether a moment has come; timers may fire a hair early by rounding.
func (b *Broker) due(at float64) bool { return at <= b.now+0.01 }

// saw keeps the mean and deviation of a type's latencies, and the least that its work takes.
func (t *tableType) saw(elapsed, callWork float64) {
	t.dev += typShare * (math.Abs(elapsed-t.mean) - t.dev)
	t.mean += typShare * (elapsed - t.mean)
	t.work = min(t.work*1.01, max(1, elapsed-callWork))
}

// zoneOf is the zone of a node or a store that a prompt names.
func (b *Broker) zoneOf(q *Prompt, id int64) int {
	if n, known := b.index[id]; known {
		return b.zone[n]
	}
	return q.Zones[id]
}

// budgetOf names the budget that p's further dispatches draw on.
func (b *Broker) budgetOf(p *part) int {
	if b.flag("rules.budgetByShard") {
		return p.shard
	}
	return 0
}
