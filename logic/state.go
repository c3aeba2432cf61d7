package logic

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// The state of a broker and its maintenance. No decisions are made here.

// allocSlot returns the index in the node arrays for a new node: that of a node that nothing refers to any more, with all
// its state reset, or else a new one.
func (b *Broker) allocSlot(id int64) (n int) {
	for n = 0; n < len(b.nodeID) && (b.openCalls[n] > 0 || b.listedAt[n] > b.now-b.longestTimeout); n++ {
	}
	if n < len(b.nodeID) {
		delete(b.index, b.nodeID[n])
	} else {
		b.nodeID, b.state, b.history = append(b.nodeID, 0), append(b.state, Gone), append(b.history, 0)
		b.cell, b.zone, b.kind = append(b.cell, 0), append(b.zone, 0), append(b.kind, 0)
		b.openCalls = append(b.openCalls, 0)
	}
	b.index[id], b.nodeID[n], b.history[n] = n, id, 0xff
	for i, col := range []*[]float64{&b.units, &b.born, &b.openWork, &b.allowance, &b.allowanceAt, &b.latency,
		&b.latencyLoad, &b.peerWork, &b.peerWorkAt, &b.latencyAt, &b.lastAnswer, &b.ejectedUntil, &b.newestAnswered, &b.connUsedAt,
		&b.lateAt, &b.failedAt, &b.listedAt} {
		*col = append(*col, 0)[:len(b.nodeID)]
		(*col)[n] = longAgo * float64(min(1, i/9))
	}
	return n
}

// firstRunAt returns when the first dispatch that may have run was sent, or -1 if none may have.
func (p *part) firstRunAt() float64 {
	if i := slices.IndexFunc(p.tries, func(d dispatch) bool { return d.mayHaveRun }); i >= 0 {
		return p.tries[i].sentAt
	}
	return -1
}

// emit adds an action to the result of Step.
func (b *Broker) emit(a Action) { b.actions = append(b.actions, a) }

// markDirty has Step advance s.
func (b *Broker) markDirty(s *scan) {
	if s != nil && !s.dirty && !s.ended {
		s.dirty = true
		b.dirtyScans = append(b.dirtyScans, s)
	}
}

// tried reports whether p has been dispatched to node n.
func (b *Broker) tried(p *part, n int) bool {
	return slices.ContainsFunc(p.tries, func(d dispatch) bool { return d.node == n })
}

// answerInterval is the mean time between two answers of one node at this broker: the fewer answers, the older its state.
func (b *Broker) answerInterval() float64 {
	return (b.now - b.startedAt) * float64(len(b.nodeID)) / max(1, b.answers)
}

// removeScan ends s and removes it.
func (b *Broker) removeScan(s *scan) {
	s.ended = true
	delete(b.scans, s.id)
	delete(b.scanByNum, s.num)
	b.dropParts(s)
}

// Broker is one instance of the module. It ignores all events until its Started event.
type Broker struct {
	settings                        // the settings in force
	shadow           settings       // settings to compare with; they decide nothing
	diffCounts       map[string]int // decisions that differ under shadow, by kind
	pcg                             // the random number generator
	now              float64
	actions          []Action
	types            []tableType
	scans, scanByNum map[int64]*scan // by id, by number
	parts            map[int64]*part
	dirtyScans       []*scan
	turnCalls        map[int]*call // this turn's call to each node
	calls            []*call       // all of this turn's, in order
	records          []byte        // records for the other brokers
	noteState                      // state for reading notes

	// Nodes: parallel arrays under a dense index.
	index                                           map[int64]int
	nodeID                                          []int64
	cell, zone, kind, openCalls                     []int
	state                                           []Readiness
	history                                         []uint8   // last eight outcomes, the newest lowest, 1 = success
	units, born, openWork                           []float64 // openWork: work not answered yet, with overhead of calls
	latency, latencyLoad                            []float64 // recent latency; the load it was under; both over the target time
	latencyAt, lastAnswer, ejectedUntil, failedAt   []float64 // times: latency measured, last answer, end of ejection, last failure
	newestAnswered, listedAt                        []float64 // send time of the newest answered dispatch; last time in the list
	allowance, allowanceAt                          []float64 // work that slow start lets it take; time of that value
	lateAt, connUsedAt                              []float64 // late call without an answer since; a connection last used
	peerWork, peerWorkAt                            []float64 // work reported by other brokers, decaying; time of that value
	readyInCell                                     [][]int   // ready nodes by cell
	meanLatency, meanLoad, meanValue, valueCount    float64
	kindLatency                                     map[int][2]float64   // mean latency and load by kind of node
	prefills                                        map[int]bool         // kinds of nodes that prefill prompts
	meanTarget                                      float64              // mean target of the table types
	saturation                                      map[int]float64      // share of saturated dispatches by budget key
	connectCost, refusalRate                        float64              // latency that a new connection adds, over the target; share refused
	startedAt, answers, longestTimeout, listBackoff float64              // answers: their number since the start
	prefillTime                                     float64              // shortest time per prompt token
	hedgeBudget, lastSignal                         float64              // second copies left; time of the last answer or note
	meanWork, doneWork, doneAt, totalUnits          float64              // doneWork: completed work, decaying; units of all ready nodes
	retries, accepted                               map[int][][2]float64 // times of further dispatches, and of accepted work, by budget key
	fleetBudget                                     float64              // further dispatches left in the fleet's budget
}

// dropParts recalls the open dispatches of s and removes its parts.
func (b *Broker) dropParts(s *scan) {
	for _, p := range s.parts {
		b.recall(p)
		p.done = true
		if p.open == 0 {
			delete(b.parts, p.id)
		}
	}
}

// addScan starts a scan; its parts arrive as events of their own.
func (b *Broker) addScan(e *Event) {
	if e.TableType < 0 || e.TableType >= len(b.types) || e.Scan < 0 {
		b.emit(Action{Kind: Abandon, ID: e.ID})
		return
	}
	typ, turn := &b.types[e.TableType], b.num("turn")
	s := &scan{id: e.ID, num: e.Scan, typ: e.TableType, step: 1, timerAt: longAgo,
		permitted: e.Permitted, endAt: b.now + e.Budget - 2*turn,
		targetAt: b.now + min(typ.target, e.Budget) - 2*turn}
	b.scans[s.id], b.scanByNum[s.num] = s, s
	if !b.flag("rules.budgetByShard") {
		b.accepted[0] = append(b.accepted[0], [2]float64{b.now})
	}
	b.markDirty(s)
}

func (b *Broker) addPart(e *Event) {
	s := b.scanByNum[e.Scan]
	if s == nil {
		return // the scan has ended
	}
	work := cmp.Or(max(0, e.Hint), b.types[s.typ].work)
	p := &part{id: e.ID, scan: s, shard: e.Shard, weight: e.Amount, work: work, prompt: e.Prompt}
	s.parts = append(s.parts, p)
	b.parts[p.id] = p
	b.accepted[b.budgetKey(p)] = append(b.accepted[b.budgetKey(p)], [2]float64{b.now})
	b.markDirty(s)
}

// applyList updates the node arrays and the table of ready nodes from a node list, however late it is. Nodes that were
// listed once stay known; only those listed as ready get work.
func (b *Broker) applyList(e *Event) {
	if e.List == ListFailed {
		// All brokers are refused at once when discovery is overloaded: exponential backoff with jitter spreads them.
		b.listBackoff = min(max(ejectionTime, 2*b.listBackoff), listBackoffMax, cmp.Or(b.num("rules.askWithin"), 1e9)/2)
		b.emit(Action{Kind: SetTimer, Timer: listTimer, After: b.listBackoff * (0.5 + b.float()/2)})
		return
	}
	b.listBackoff = 0
	for n := range b.state {
		if b.state[n] != Gone {
			b.listedAt[n] = b.now
		}
		if e.List != ListDelta {
			b.state[n] = Gone
		}
	}
	for _, en := range e.Entries {
		n, known := b.index[en.Node]
		if !known {
			n = b.allocSlot(en.Node)
		}
		b.cell[n], b.zone[n], b.kind[n], b.state[n] = en.Cell, en.Zone, en.Kind, en.Readiness
		if _, seen := b.kindLatency[en.Kind]; !seen {
			b.kindLatency[en.Kind] = [2]float64{b.meanLatency, b.meanLoad}
		}
		if en.Born > b.born[n] { // a new process: the old one's history does not apply
			b.history[n], b.ejectedUntil[n], b.latencyAt[n] = 0xff, longAgo, longAgo
			turn := b.num("ordinal")/b.num("brokers") + goldenRatio*float64(en.Node%1000)
			b.allowance[n], b.allowanceAt[n] = -b.meanWork*math.Mod(turn, 1), b.now
		}
		b.units[n], b.born[n], b.listedAt[n] = max(en.Units, 0.01), max(b.born[n], en.Born), b.now
	}
	for n, id := range b.nodeID {
		b.nodeByCode[nodeCode(id)] = n
	}
	b.readyInCell, b.totalUnits = make([][]int, len(b.readyInCell)), 0.01
	for n, c := range b.cell {
		if b.state[n] == Ready && c >= 0 && c < len(b.readyInCell) {
			b.totalUnits += b.units[n]
			b.readyInCell[c] = append(b.readyInCell[c], n)
		}
	}
}

// start resets the broker and reads its settings.
func (b *Broker) start(e *Event) {
	*b = Broker{now: b.now, settings: settings{values: e.Settings}, shadow: settings{values: e.ShadowSettings},
		diffCounts: e.ShadowDiffs, scans: map[int64]*scan{}, scanByNum: map[int64]*scan{},
		parts: map[int64]*part{}, index: map[int64]int{}, turnCalls: map[int]*call{},
		saturation: map[int]float64{}, retries: map[int][][2]float64{}, accepted: map[int][][2]float64{},
		noteState: noteState{nodeByCode: map[uint16]int{}}, kindLatency: map[int][2]float64{}, prefills: map[int]bool{},
		pcg: newPCG(e.Seed), hedgeBudget: hedgeBudgetMax, prefillTime: initialPrefillTime, startedAt: b.now, fleetBudget: math.Inf(1)}
	for i, name := range []string{"turn", "rules.cold", "rules.fall", "rules.fallMultiple",
		"rules.startCapacity", "layout.cells", "layout.reach", "layout.shards", "layout.batch", "brokers",
		"limit.dispatches", "tableType.count"} {
		b.require(name, float64(min(1, i/5))) // times may be 0, counts may not
	}
	b.readTypes(0)
	b.readyInCell = make([][]int, int(min(b.num("layout.cells"), 1e6)))
	if b.values["discovery"] == "subscribe" {
		b.emit(Action{Kind: Subscribe})
	}
}

// applySettings applies settings that changed at run time. Table types keep their numbers; new ones follow.
func (b *Broker) applySettings(e *Event) {
	b.settings = settings{values: e.Settings}
	b.readTypes(len(b.types))
}

// readTypes reads the table types from number from on.
func (b *Broker) readTypes(from int) {
	for i := from; i < int(b.num("tableType.count")) && b.fault == ""; i++ {
		at := func(name string) string { return fmt.Sprintf("tableType.%d.%s", i, name) }
		in := func(name string) string { return fmt.Sprintf("layout.%s.%d", name, i) }
		t := tableType{target: b.require(at("target"), 0.001), timeout: b.require(at("timeout"), 0.001),
			benefit: b.require(at("benefit"), 0), lateBenefit: b.num(at("lateBenefit")),
			repeatWindow: b.num(at("repeatWindow")), need: b.require(in("need"), 0), floor: b.require(in("floor"), 0),
			partial: b.num(in("partialBenefit")), fetch: int(b.num(in("fetch"))),
			dispatches: int(b.num(at("dispatches")))}
		t.effect, _ = b.values[at("effect")].(string)
		b.meanWork = cmp.Or(b.meanWork, t.target/20)
		b.meanTarget = (b.meanTarget*float64(i) + t.target) / float64(i+1)
		t.mean, t.dev, t.work = t.target/5, t.target/20, t.target/20
		b.types, b.longestTimeout = append(b.types, t), max(b.longestTimeout, t.timeout)
		if from == 0 {
			b.meanLatency, b.meanLoad = t.mean/t.target, t.mean/t.target // until the first measurement
		}
	}
}

// due reports whether time at has come. Timers may fire slightly early because of rounding.
func (b *Broker) due(at float64) bool { return at <= b.now+0.01 }

// observe updates the mean and deviation of a type's latencies, and the least time that its work takes.
func (t *tableType) observe(elapsed, callWork float64) {
	t.dev += meanAlpha * (math.Abs(elapsed-t.mean) - t.dev)
	t.mean += meanAlpha * (elapsed - t.mean)
	t.work = min(t.work*1.01, max(1, elapsed-callWork))
}

// zoneOf returns the zone of a node, or of a store that a prompt names.
func (b *Broker) zoneOf(q *Prompt, id int64) int {
	if n, known := b.index[id]; known {
		return b.zone[n]
	}
	return q.Zones[id]
}

// budgetKey returns the key of the retry budget that p's further dispatches count against.
func (b *Broker) budgetKey(p *part) int {
	if b.flag("rules.budgetByShard") {
		return p.shard
	}
	return 0
}
