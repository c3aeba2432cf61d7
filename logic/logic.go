// Package logic decides for one broker: which nodes get the parts of a scan, when to ask again, when to
// answer, what to turn away. It is called through Broker.Step alone: what happened goes in, what is to be
// done comes out; events, actions and outcomes are in types.go. It reads no clock, shares no state with
// other brokers, and the same events give the same actions. Times are milliseconds, as is work.
//
// The design (docs/design.md): a scan's parts go to a smallest or near-smallest set of nodes that together
// hold all its shards, one call a node, and of those sets to the one with the least load. Beside it:
//  1. further dispatches: late or failed parts take the cover path again, through one gate (mayDispatch)
//  2. health: successes among a node's last few outcomes; a node that does poorly rests, then is tried
//  3. slow start: this broker's part of what a node that has just started bears from the whole fleet
//  4. throttling: when target times are about to be missed, by chance, cheaper scans more often
//  5. answering early: from a part of a scan where its table type allows it and waiting pays less
//  6. following the list, late, stale or cached, and what other brokers tell where they may
package logic

import (
	"cmp"
	"fmt"
	"math"
	"math/bits"
	"slices"
)

const (
	recent      = 5000.0   // a latency older than this says nothing any more; work completed fades over it
	latGaps     = 2.0      // but it holds for so many times what passes between two answers of a node
	latShare    = 0.25     // share of the newest latency in a node's mean,
	typShare    = 0.05     // and in a table type's
	lateDevs    = 3.0      // a dispatch is late when it is so many mean deviations over the mean,
	silentDevs  = 8.0      // and so many if the node is held to be silent; either
	silentLoads = 3.0      // a node may say nothing for so many times what its work that is out takes
	quietMeans  = 4.0      // only when its scan heard nothing for a mean, and so many more by open parts
	lateTail    = 0.3      // past its target time this weight may be asked again, times the benefit left
	spareShare  = 0.1      // second dispatches of late parts for each first; one that comes first is free
	spareMost   = 20.0     // and so many saved up at most
	goodEnough  = 3        // successes among a node's last eight outcomes that let it work as usual,
	goodFast    = 2        // and where eight outcomes come within a rest
	restTime    = 1000.0   // how long a node rests that does poorly; then it is tried
	callShare   = 0.13     // most work of a call, as a share of the target time
	trimSlack   = 0.05     // weight kept beyond the least share when parts are spared
	spareEvery  = 16       // a cover may be one call over the smallest, and one more for so many parts
	overCap     = 1e9      // cost of a call past its cap: only where nothing else can be
	ties        = 0.02     // chance among nodes whose load is about alike, or all brokers take the same
	throttleAt  = 0.8      // predicted share of the target time at which throttling begins,
	throttleAll = 1.2      // and at which a scan of mean value is turned away for sure
	slowLinks   = 0.25     // share of new connections refused that tells of the network, not of a node
	quietSpell  = 1500.0   // nothing heard for longer: what was heard fades, or throttling would keep itself up
	fullWeighs  = 4.0      // what nodes without room add to the prediction, for all of them
	fewBrokers  = 4.0      // among so many, what one sees of a node's load tells of the others' too
	lookAgain   = 100.0    // wait before looking again at a part that has no holder to go to
	coldPaced   = 0.5      // of what a cold node bears, at least so much is paced; the rest may be held unused
	golden      = 0.618034 // its multiples spread evenly
	lateWeighs  = 4.0      // load of a node that has kept a call waiting and said nothing since, times this
	askMost     = 4000.0   // longest wait before a list that could not be had is asked for again
	askList     = 1 << 62  // the timer to ask for the list again
	longAgo     = -1e15
)

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
	kinds                                 map[int][2]float64 // latency, and under how much work, by kind
	typTarget, full                       float64            // mean target; share of dispatches without room
	connecting, refusing                  float64            // what a new connection adds, by target; refused
	startAt, answers, longest, askWait    float64            // answers: how many since; the longest timeout
	spare, newsAt                         float64            // second dispatches late parts may have; heard last
	meanWork, done, doneAt, allUnits      float64            // work completed, fading; units of all ready nodes
	extras, taken                         [][2]float64       // for a stated budget
	fleetSpare                            float64            // further dispatches that the fleet's budget leaves
}

// Step takes what happened to this broker at one moment and returns what is to be done.
func (b *Broker) Step(now float64, events []Event) []Action {
	b.now, b.out, b.changed, b.turn, b.calls, b.news = now, nil, nil, map[int]*call{}, nil, nil
	for i := range events {
		e := &events[i]
		if e.Kind == Started {
			b.start(e)
		} else if b.types == nil {
			continue // not started yet
		}
		switch e.Kind {
		case ListArrived:
			b.followList(e)
		case ScanArrived:
			b.takeScan(e)
		case PartArrived:
			b.takePart(e)
		case DispatchEnded:
			b.dispatchEnded(e)
		case ClientLeft:
			if s := b.scans[e.ID]; s != nil {
				b.end(s)
			}
		case PeerNote:
			b.takeNote(e.Note)
		case VerdictHeard:
			b.takeVerdict(e)
		case FurtherLeft:
			b.fleetSpare = e.Amount
		case TimerDue:
			if b.touch(b.byNum[e.Timer]); e.Timer == askList {
				b.do(Action{Kind: Subscribe})
			}
		}
	}
	for i := 0; i < len(b.changed); i++ {
		b.changed[i].dirty = false
		b.review(b.changed[i])
	}
	b.tell()
	if b.fault != "" {
		b.out = []Action{{Kind: Fatal, Text: b.fault}}
	}
	return b.out
}

// review carries one scan on as far as it goes now: the ordinary path, from top to bottom.
func (b *Broker) review(s *scan) {
	if s.ended {
		return
	}
	typ := &b.types[s.typ]
	// Answer when the parts that the table type needs are in.
	all := len(s.parts) > 0 && !slices.ContainsFunc(s.parts, func(p *part) bool { return !p.done })
	if all && !s.spared || s.step == 1 && s.got >= typ.need-0.00005 && s.got > 0 {
		b.do(Action{Kind: Answer, ID: s.id, Whole: true})
		if s.step == 2 || typ.fetch == 0 {
			b.end(s)
			return
		}
		b.dropParts(s)
		s.step, s.got, s.parts, all = 2, 0, nil, false // the second step's parts are on their way
	}
	// Mechanism 5: answer from a part at the target time if a whole one later pays less; end when time is up.
	if b.due(s.endAt) || (b.due(s.targetAt) || all) && b.enough(s) &&
		typ.partial*s.got/typ.need > typ.lateBenefit {
		b.giveUp(s)
		return
	}
	asks, lost, held, next := b.missing(s)
	if lost > 1-b.least(s)+0.00005 || len(s.parts) == 0 && s.step == 1 || !s.placed && b.due(s.targetAt) {
		b.giveUp(s) // what is left cannot make an answer any more
		return
	}
	if len(asks) > 0 && (s.placed || held <= 1-b.least(s)+0.00005) { // else not begun: too few holders
		node := b.cover(s, asks)
		// Mechanism 4: turn the scan away by chance before anything of it is sent, or a part of it first.
		away := !s.placed && b.turnedAway(s, b.predict(s, asks, node))
		if away && b.trim(s) {
			asks, _, _, next = b.missing(s)
			node = b.cover(s, asks)
			away = b.turnedAway(s, b.predict(s, asks, node))
		}
		if away {
			b.giveUp(s)
			return
		}
		s.placed = true
		for i, a := range asks { // one call a node: what goes to one node in one turn travels together
			if b.mayWarm(node[i]) {
				next = min(next, b.send(a, node[i]))
			} else {
				next = min(next, b.now+lookAgain)
			}
		}
	}
	if !b.due(s.targetAt) {
		next = min(next, s.targetAt)
	}
	if next = min(next, s.endAt); b.due(s.look) || s.look > next { // due: it may have fired a hair early
		s.look = next
		b.do(Action{Kind: SetTimer, Timer: s.num, After: max(0, next-b.now)})
	}
}

// missing returns the parts of s to be asked now with the holders each may go to, the weight that can no
// longer come, and when to look again. A part that is late at a node gone silent gets a second copy or, where
// the site allows none, a recall; one that is just slow keeps its place: asking again would feed the jam.
func (b *Broker) missing(s *scan) (asks []*part, lost, held, at float64) {
	typ, open, next := &b.types[s.typ], 0.0, s.endAt
	for _, p := range s.parts {
		if p.open > 0 && !p.done {
			open++
		}
	}
	quiet := s.heard + typ.mean*(1+quietMeans/open)
	if b.flag("limit.secondCopies") { // the last moment for a copy in time; a recall is dearer
		quiet = min(quiet, s.targetAt-typ.mean-typ.dev)
	}
	for _, p := range s.parts {
		late, silent, passedBy := p.open > 0, false, false
		for i := range p.tries {
			// Crashed, cut off, or its answers are lost: the symptom is silence, of the node for longer than what is
			// out there explains, or for this dispatch though one sent when it was late has come: the node works, the
			// answer is lost. It holds against parts that hang too. A jam holds up both alike; a recall would feed it.
			d, n := &p.tries[i], p.tries[i].node
			passed := b.passed[n] > d.late && b.due(d.silent)
			gone := passed || b.now-max(d.at, b.heard[n]) > d.wait
			silent = silent || gone || b.poor(n) || b.heard[n] < d.at && b.flag("limit.secondCopies")
			passedBy = passedBy || passed && d.open
			if !d.open || p.done {
				continue
			}
			if !b.due(d.late) {
				next = min(next, d.late)
			} else if !d.lateSeen && b.flag("limit.peers") { // a first sign, for all
				d.lateSeen = true
				if b.heard[n] < d.at {
					b.lateAt[n], b.news = b.now, report(b.news, b.nodeID[n], noteLate)
				}
			}
			if at := max(d.late, quiet); !b.due(at) && !passed {
				late, next = false, min(next, at)
			} else if !b.due(d.silent) {
				next = min(next, d.silent)
			} else if next = min(next, b.now+lookAgain); gone && !d.lostSeen {
				// Silence of the node itself weighs two failures, and of one long unheard a single one is enough.
				if d.lostSeen = true; b.judge(n, false, false) && !passed {
					if b.history[n] <<= 1; b.now-b.heard[n] > recent {
						b.history[n] = 2
					}
				}
			} else if !gone && !d.slowSeen {
				d.slowSeen = true
				b.sawLatency(d, s, b.now-d.at, true)
			}
		}
		if p.done || p.open > 0 && !late {
			continue
		}
		if !b.mayDispatch(p) {
			if p.open == 0 {
				lost += p.weight
				b.compare(p, false)
			}
			continue
		}
		p.nodes = b.eligible(p)
		again := p.open == 1 && silent && len(p.nodes) > 0 && (passedBy || b.spare >= 1 &&
			!b.sick(p.nodes[0]) && p.nodes[0] != p.tries[len(p.tries)-1].node)
		failed := len(p.nodes) > 0 && b.tried(p, p.nodes[0]) && b.now < p.tries[len(p.tries)-1].at+lookAgain
		if p.open == 0 && (len(p.nodes) == 0 || failed) { // nobody, or it has just failed there
			held, next = held+p.weight, min(next, b.now+lookAgain)
		} else if p.open == 0 || again && b.allows(p, "limit.secondCopies") {
			asks = append(asks, p)
			if p.open > 0 {
				b.spare -= 1 / open // the more are silent together, the surer it is
			}
			if len(p.tries) > 0 { // counted here, so that one scan's parts cannot pass the budget together
				b.compare(p, true)
				b.extras, b.fleetSpare = append(b.extras, [2]float64{b.now}), b.fleetSpare-1
			}
		} else if again && b.due(p.tries[len(p.tries)-1].silent) && b.allows(p, "limit.cancelling") {
			b.recall(p)
			b.spare = max(0, b.spare-1/open)
		}
	}
	return asks, lost, held, next
}

// mayDispatch is the one gate for every dispatch: it guards the rules on effects, dispatches for a part and
// the budget. Past its target time a scan asks again for a little only: the rest would feed a jam.
func (b *Broker) mayDispatch(p *part) bool {
	if typ := &b.types[p.scan.typ]; len(p.tries) == 0 {
		return true
	} else if b.due(p.scan.targetAt) && 1-p.scan.got > lateTail*typ.lateBenefit {
		return false
	}
	why := b.barred(p, &b.terms)
	if why == "fleet" {
		b.do(Action{Kind: Short})
	}
	return why == ""
}

// barred names the rule that keeps p from a further dispatch under some terms, if there is one.
func (b *Broker) barred(p *part, t *terms) string {
	at := fmt.Sprintf("tableType.%d.", p.scan.typ)
	first, window := p.firstRun(), t.num("rules.budgetWindow")
	keyed := t.stated[at+"effect"] == "keyed" && b.now <= first+t.num(at+"repeatWindow")-4*b.num("turn")
	if first >= 0 && t.stated[at+"effect"] != "replayable" && !keyed {
		return "effect"
	} else if len(p.tries) >= int(t.num("limit.dispatches")) {
		return "dispatches"
	} else if b.fleetSpare < 1 { // what all brokers together may send beyond first dispatches
		return "fleet"
	}
	longest := b.now - max(b.num("rules.budgetWindow"), b.watch.num("rules.budgetWindow"))
	b.extras, b.taken = within(b.extras, longest), within(b.taken, longest)
	extras, taken := within(b.extras, b.now-window), within(b.taken, b.now-window)
	most := t.num("rules.spareDispatches") + t.num("rules.spareShare")*float64(len(taken))
	if window > 0 && float64(len(extras))+1 > most {
		return "budget"
	}
	return ""
}

// eligible returns the holders that p may go to now: sound ones that it has not been to, else sound ones,
// else any. A holder that drains, is gone, is cold and has had its share, or is not permitted to the scan is
// never among them.
func (b *Broker) eligible(p *part) []int {
	var fresh, sound, poor []int
	for j := 0; p.shard < int(b.num("layout.shards")) && j < int(b.num("layout.reach")); j++ {
		for _, n := range b.inCell[(p.shard+j)%len(b.inCell)] {
			if may := p.scan.permitted; may != nil && !may[b.nodeID[n]] || !b.mayWarm(n) {
				continue
			} else if b.sick(n) {
				poor = append(poor, n)
			} else if b.tried(p, n) {
				sound = append(sound, n)
			} else {
				fresh = append(fresh, n)
			}
		}
	}
	if len(fresh)+len(sound) == 0 {
		return poor
	} else if len(fresh) == 0 {
		return sound
	}
	return fresh
}

// cover chooses a node for each part: of the smallest sets that hold them all and those a few larger, the
// one with the least load. Cells hold shards in a row: parts are swept in shard order, cut at the widest gap,
// and each node takes a run of them: exact on a row, one call over the smallest at most round a full ring.
func (b *Broker) cover(s *scan, asks []*part) []int {
	type run struct {
		from, to, node int
		cost           float64
	}
	runs, work, cut, gap, cells := []run{}, 0.0, 0, -1, int(b.num("layout.cells"))
	slices.SortStableFunc(asks, func(x, y *part) int { return cmp.Compare(x.shard%cells, y.shard%cells) })
	for i, a := range asks {
		work += a.work / float64(len(asks))
		before := asks[(i+len(asks)-1)%len(asks)].shard
		if g := ((a.shard-before)%cells + cells) % cells; g > gap {
			cut, gap = i, g
		}
	}
	copy(asks, slices.Concat(asks[cut:], asks[:cut]))
	room := int(min(b.num("layout.batch"), max(1, callShare*b.types[s.typ].target/work)))
	weight, load, away, count := map[int]float64{}, map[int]float64{}, map[int]float64{}, map[int]int{}
	least, width := make([]int, len(asks)+1), 2+len(asks)/spareEvery // least: calls for the parts before
	for j, a := range asks {
		for _, n := range a.nodes {
			if weight[n] == 0 {
				weight[n], load[n] = b.weigh(n)*(1+ties*b.float()), b.load(n)+b.num("layout.callWork")
				if !b.linked(n) {
					load[n] += (b.connecting + b.refusing + b.num("prices.handshake")) * b.types[s.typ].target
				}
				if c := b.turn[n]; c != nil { // scans of one turn share calls
					load[n], count[n] = b.load(n), c.parts
				}
				if b.zone[n] != int(b.num("zone")) {
					away[n] = b.num("prices.crossZone") * b.types[s.typ].target
				}
			}
			cost := load[n] * weight[n]
			for k := j; k < len(asks) && k < j+room && slices.Contains(asks[k].nodes, n); k++ {
				cost += asks[k].work*weight[n] + away[n]
				runs = append(runs, run{j, k + 1, n, cost})
				if least[k+1] == 0 || least[k+1] > least[j]+1 {
					least[k+1] = least[j] + 1
				}
			}
		}
	}
	// plan: by parts covered and calls beyond the least, the lowest cost and the last run of it
	plan, last := make([]float64, len(least)*width), make([]int, len(least)*width)
	for i := range plan[1:] {
		plan[i+1] = math.Inf(1)
	}
	for i, r := range runs {
		for over := 0; over < width; over++ {
			to, cost := over+1+least[r.from]-least[r.to], plan[r.from*width+over]+r.cost
			if to < width && cost < plan[r.to*width+to] {
				plan[r.to*width+to], last[r.to*width+to] = cost, i
			}
		}
	}
	node, chosen, over, k := make([]int, len(asks)), map[int]bool{}, 0, len(asks)
	for i := range width {
		if plan[k*width+i] < plan[k*width+over] {
			over = i
		}
	}
	for k > 0 {
		r := runs[last[k*width+over]]
		over += least[k] - least[r.from] - 1
		chosen[r.node], k = true, r.from
	}
	// Each part goes to the chosen holder with the least load; past the cap of its call rather to another one.
	for i, a := range asks {
		lowest := math.Inf(1)
		for _, n := range a.nodes {
			cost := (load[n]+a.work)*weight[n] + away[n]
			if !chosen[n] {
				cost += overCap / 2
			}
			if count[n] >= room {
				cost += overCap
			}
			if cost < lowest {
				node[i], lowest = n, cost
			}
		}
		n := node[i]
		load[n], count[n], chosen[n] = load[n]+a.work, count[n]+1, true
	}
	return node
}

// predict says at what share of its target time enough of the scan for an answer will be in: each node
// answers in its recent latency, stretched by what is outstanding there now against what was then, or where
// brokers are many, with the difference added.
func (b *Broker) predict(s *scan, asks []*part, node []int) (worst float64) {
	added, lats, alike := map[int]float64{}, [][2]float64{}, min(1, fewBrokers/b.num("brokers"))
	for i, n := range node {
		added[n] += asks[i].work
	}
	for i, n := range node {
		lat, under := b.lat(n)
		now := (b.load(n) + b.num("layout.callWork") + added[n]) / b.types[s.typ].target
		lat += alike*lat*(now/under-1) + (1-alike)*(now-under)
		lats = append(lats, [2]float64{lat, asks[i].weight})
	}
	slices.SortFunc(lats, func(x, y [2]float64) int { return cmp.Compare(x[0], y[0]) })
	for i, got := 0, 0.0; i < len(lats) && got < b.least(s)-0.00005; i++ {
		got, worst = got+lats[i][1], lats[i][0]
	}
	if b.least(s) > 0.9999 { // the slowest of so many calls, as if their times were exponential
		worst += b.types[s.typ].dev / b.types[s.typ].target * math.Log(float64(len(added)))
	}
	return worst
}

// weigh is the node's recent latency over the mean one; a failing node's work counts as done again. One that
// has had its rest is tried by the next call: who has another holder would never learn that it is well. Not
// where a node is heard less often than it rests: every call would be a trial, and silence costs a scan.
func (b *Broker) weigh(n int) float64 {
	if b.poor(n) && b.gap() < restTime {
		return 0.2
	}
	lat, _ := b.lat(n)
	if b.now-b.lateAt[n] < recent {
		lat *= lateWeighs
	}
	return min(max(lat/b.meanLat, 0.2), 8) * 8 / max(1, float64(bits.OnesCount8(b.history[n])))
}

// lat is the node's recent latency against its target, and the work it was under; without one it is the
// average of its kind: kinds differ in speed, and a way may be slow to one kind alone.
func (b *Broker) lat(n int) (lat, under float64) {
	if b.now-b.latAt[n] < max(recent, latGaps*b.gap()) {
		return b.latency[n], b.under[n]
	}
	k := b.kinds[b.kind[n]]
	return k[0], k[1]
}

// send dispatches p to node n in this turn's call and returns when the dispatch will be late.
func (b *Broker) send(p *part, n int) float64 {
	s, typ, c := p.scan, &b.types[p.scan.typ], b.turn[n]
	if c == nil || c.parts >= int(b.num("layout.batch")) {
		c = &call{node: n, work: b.num("layout.callWork")}
		b.turn[n], b.calls = c, append(b.calls, c)
		b.outCalls[n]++
		b.outWork[n] += c.work
	}
	c.parts, c.out, c.work = c.parts+1, c.out+1, c.work+p.work
	b.outWork[n] += p.work
	b.allowed[n] -= p.work // the rule counts parts, not calls
	b.meanWork += typShare * (p.work - b.meanWork)
	limit, late := s.endAt, b.now+max(typ.mean+lateDevs*typ.dev, 4*b.num("turn"))
	// At eight deviations, or at the last moment from which another dispatch is likely to make the target time.
	silent := max(late, min(late+(silentDevs-lateDevs)*typ.dev, s.targetAt-typ.mean-typ.dev))
	if !b.flag("limit.secondCopies") && !b.flag("limit.cancelling") {
		limit = min(limit, silent) // nothing but the time-out can take the part back from a silent node
	}
	if len(p.tries) == 0 {
		b.spare = min(b.spare+spareShare, spareMost)
	}
	s.heard = max(s.heard, b.now)
	if typ.partial*b.least(s)/typ.need > typ.lateBenefit && b.least(s) < typ.need && !b.due(s.targetAt) {
		limit = min(limit, s.targetAt) // it is answered then: a node need not begin what comes later
	}
	lat, under := b.lat(n)
	wait := max(silent-b.now, silentLoads*b.load(n)*lat/max(under, 0.001))
	p.tries = append(p.tries, dispatch{node: n, call: c, at: b.now, late: late, silent: silent, wait: wait,
		fresh: !b.linked(n), load: b.load(n), open: true, ran: true})
	p.open++
	b.do(Action{Kind: Dispatch, ID: p.id, Node: b.nodeID[n], After: limit - b.now})
	return late
}

func (b *Broker) dispatchEnded(e *Event) {
	p := b.parts[e.ID]
	if p == nil || e.Dispatch < 0 || e.Dispatch >= len(p.tries) || !p.tries[e.Dispatch].open {
		return
	}
	d := &p.tries[e.Dispatch]
	n, s, typ := d.node, p.scan, &b.types[p.scan.typ]
	d.open, p.open = false, p.open-1
	b.outWork[n] = max(0, b.outWork[n]-p.work)
	if d.call.out--; d.call.out == 0 {
		b.outWork[n] = max(0, b.outWork[n]-b.num("layout.callWork"))
		b.outCalls[n]--
	}
	took := e.Elapsed // without what the connection took: that is no sign of load
	if d.fresh && e.Outcome == Completed {
		b.refusing -= typShare * b.refusing
		more := min(e.Elapsed, b.num("limit.connectTimeout")+b.meanLat*typ.target)/typ.target - b.meanLat
		b.connecting = max(0, b.connecting+typShare*(more-b.connecting))
		took = max(0, took-b.connecting*typ.target)
	} else if d.fresh && e.Outcome == ConnRefused {
		b.refusing += typShare * (1 - b.refusing)
	}
	switch e.Outcome {
	case Completed:
		b.used[n], b.heard[n], b.passed[n] = b.now, b.now, max(b.passed[n], d.at)
		b.full -= typShare * b.full
		b.answers, b.newsAt = b.answers+1, b.now
		b.sawLatency(d, s, took, false)
		typ.dev += typShare * (math.Abs(e.Elapsed-typ.mean) - typ.dev)
		typ.mean += typShare * (e.Elapsed - typ.mean)
		typ.work = min(typ.work*1.01, max(1, e.Elapsed-b.num("layout.callWork")))
		b.done, b.doneAt = b.done*math.Exp((b.doneAt-b.now)/recent)+p.work, b.now
		b.judge(n, true, b.due(d.late))
		if !p.done {
			p.done, s.heard = true, b.now
			s.got += p.weight
			if e.Dispatch > 0 && (p.open > 0 || !b.due(d.late)) { // it came first, or soon: it was worth it
				b.spare = min(b.spare+1, spareMost)
			}
			b.recall(p)
		}
	case Errored, Severed:
		b.judge(n, false, false)
	case ConnRefused: // nobody is there: no need for more proof
		b.used[n], b.history[n] = longAgo, 6
		if d.fresh && b.refusing > slowLinks { // connecting is slow everywhere: it holds for this broker alone
			b.note(n, false)
		} else if b.judge(n, false, false) {
			b.news[len(b.news)-1] = noteNobody
		}
	case Saturated: // full, not ill: it counts as slow
		b.heard[n], b.full = b.now, b.full+typShare*(1-b.full)
		b.sawLatency(d, s, typ.target, true)
	}
	d.ran = e.Outcome != Saturated && e.Outcome != ConnRefused && e.Outcome != Superseded // else it never ran
	if s.ended && p.open == 0 {
		delete(b.parts, p.id)
	}
	b.touch(s)
}

// sawLatency keeps a node's recent latency; atLeast: the true one is longer and never counts in its favour.
func (b *Broker) sawLatency(d *dispatch, s *scan, elapsed float64, atLeast bool) {
	n, target := d.node, b.types[s.typ].target
	lat, under := b.lat(n)
	if atLeast && elapsed/target < lat {
		return
	}
	b.latency[n] = lat + latShare*(elapsed/target-lat)
	b.under[n] = under + latShare*(d.load/target-under)
	b.latAt[n] = b.now
	k := b.kinds[b.kind[n]]
	b.kinds[b.kind[n]] = [2]float64{k[0] + typShare*(elapsed/target-k[0]), k[1] + typShare*(d.load/target-k[1])}
	b.meanLat += typShare * (elapsed/target - b.meanLat)
	b.meanUnder += typShare * (d.load/target - b.meanUnder)
}

// judge keeps the last eight outcomes of a node. One that does poorly rests and then gets one call at a time.
// What fails at one moment is one failure: a connection that breaks takes all parts on it along, and tells no
// more than if it had carried one. A node that dies fails again at the next moment, or refuses connections.
func (b *Broker) judge(n int, good, late bool) bool {
	if !good && b.failAt[n] == b.now {
		return false
	}
	if b.flag("share.verdicts") {
		b.do(Action{Kind: Judged, Node: b.nodeID[n], Whole: good, Late: late})
	}
	if !good {
		b.news = report(b.news, b.nodeID[n], noteBad)
	} else if b.history[n] != 0xff || b.lateAt[n] > longAgo { // what is well and stays so is no news
		b.news = report(b.news, b.nodeID[n], noteGood)
	}
	return b.note(n, good)
}

func (b *Broker) note(n int, good bool) bool {
	if good {
		b.lateAt[n] = longAgo
	}
	poor := b.poor(n)
	b.history[n] <<= 1
	if good {
		b.history[n] |= 1
		if poor { // a trial that went well counts twice
			b.history[n], b.restEnd[n] = b.history[n]<<1|1, b.now
		}
	} else if b.failAt[n] = b.now; b.poor(n) && b.now >= b.restEnd[n] {
		b.restEnd[n] = b.now + restTime
	}
	return true
}

// poor says whether a node rests, or is on trial. Where eight outcomes come within a rest they tell of a
// moment, and the next eight come soon: it takes more to rest a node, since others carry what it leaves.
func (b *Broker) poor(n int) bool {
	good := bits.OnesCount8(b.history[n])
	return good < goodFast || good < goodEnough && 8*b.gap() > restTime
}

func (b *Broker) sick(n int) bool { return b.poor(n) && (b.now < b.restEnd[n] || b.outCalls[n] > 0) }

// cold is the share of its full capacity that node n can be relied on for; 1 when warm.
func (b *Broker) cold(n int) float64 {
	if age := b.now - b.born[n]; b.born[n] > 0 && age < b.num("rules.cold") {
		from := b.num("rules.startCapacity")
		return from + (1-from)*max(0, age)/b.num("rules.cold")
	}
	return 1
}

// mayWarm says whether node n may get a part as far as slow start goes; docs/design.md derives it. In the
// fall time a node bears so many parts of all brokers, and some more by chance. What brokers are paced at
// adds up to no more than the first, half of it in equal shares and half by what each completes at nodes
// of like size; one core is assumed. What they hold unused adds up to the rest: where that is under a part
// for each, a broker's turns come by its own number, and one that is not used in time lapses.
func (b *Broker) mayWarm(n int) bool {
	if b.cold(n) == 1 {
		return true
	}
	all, brokers := b.num("rules.fallMultiple")*b.cold(n), b.num("brokers")
	bears := all * b.num("rules.fall") / b.meanWork
	chance := 2*math.Sqrt(bears) + 2
	paced := min(1, max(coldPaced, (bears+chance-brokers)/bears))
	held := b.meanWork * min(1, (chance+(1-paced)*bears)/brokers)
	by := b.done * math.Exp((b.doneAt-b.now)/recent) / recent * b.units[n] / b.allUnits
	b.allowed[n] += paced * all * (1/brokers + by) / 2 * (b.now - b.allowAt[n])
	b.allowAt[n] = b.now
	if over := b.allowed[n] - held; held == b.meanWork {
		b.allowed[n] = min(b.allowed[n], 0)
	} else if over > 0 {
		b.allowed[n] -= b.meanWork * math.Ceil(over/b.meanWork)
	}
	return b.allowed[n] >= 0
}

// turnedAway throttles by chance when the scan's nodes are predicted to miss its target time.
func (b *Broker) turnedAway(s *scan, worst float64) bool {
	value := b.types[s.typ].benefit // of a scan's work, all sites count by that
	b.valued++
	b.meanValue += (value - b.meanValue) / min(b.valued, 50)
	worst *= math.Exp(min(0, b.newsAt+quietSpell-b.now) / quietSpell) // who hears nothing knows of no jam
	ramp := min(1, max(0, (worst+fullWeighs*b.full-throttleAt)/(throttleAll-throttleAt)))
	return ramp > 0 && b.float() < math.Pow(ramp, value/b.meanValue)
}

// trim spares the lightest parts of a scan that may be answered from the heaviest, with trimSlack to lose.
func (b *Broker) trim(s *scan) bool {
	typ, got, all := &b.types[s.typ], 0.0, s.parts
	if typ.floor >= typ.need || s.step > 1 {
		return false
	}
	slices.SortStableFunc(all, func(p, q *part) int { return cmp.Compare(q.weight, p.weight) })
	s.parts = nil
	for _, p := range all {
		if got < typ.floor+trimSlack {
			s.parts = append(s.parts, p)
		} else {
			s.spared = true
			delete(b.parts, p.id)
		}
		got += p.weight
	}
	return s.spared
}

// least is the weight that an answer of s must rest on.
func (b *Broker) least(s *scan) float64 {
	if typ := &b.types[s.typ]; s.step == 1 || typ.floor < typ.need {
		return min(typ.floor, typ.need)
	}
	return 1
}

func (b *Broker) enough(s *scan) bool { return s.got > 0 && s.got >= b.least(s)-0.00005 }

// giveUp ends the scan with the best final answer that is still honest, and at once.
func (b *Broker) giveUp(s *scan) {
	ran := slices.ContainsFunc(s.parts, func(p *part) bool { return p.firstRun() >= 0 })
	harmless := s.step == 1 && len(s.parts) > 0 && (b.types[s.typ].effect == "replayable" || !ran)
	if b.enough(s) {
		b.do(Action{Kind: Answer, ID: s.id})
	} else if harmless {
		b.do(Action{Kind: Throttle, ID: s.id, After: b.num("limit.maxRetryAfter")}) // unheard where not allowed
	} else {
		b.do(Action{Kind: Abandon, ID: s.id})
	}
	b.end(s)
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

// recall stops waiting for p's open dispatches; a node may then drop what it has not begun.
func (b *Broker) recall(p *part) {
	for i := range p.tries {
		if d := &p.tries[i]; d.open && b.flag("limit.cancelling") {
			d.late = math.Inf(1)
			b.do(Action{Kind: Recall, ID: p.id, Dispatch: i})
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
	b.taken = append(b.taken, [2]float64{b.now})
	b.touch(s)
}

func (b *Broker) takePart(e *Event) {
	s := b.byNum[e.Scan]
	if s == nil {
		return // ended meanwhile
	}
	work := cmp.Or(max(0, e.Hint), b.types[s.typ].work)
	p := &part{id: e.ID, scan: s, shard: e.Shard, weight: e.Amount, work: work}
	s.parts = append(s.parts, p)
	b.parts[p.id] = p
	b.taken = append(b.taken, [2]float64{b.now})
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
		notebook: notebook{byCode: map[uint16]int{}}, kinds: map[int][2]float64{},
		pcg: seeded(e.Seed), spare: spareMost, startAt: b.now, fleetSpare: math.Inf(1)}
	for i, name := range []string{"turn", "rules.cold", "rules.fall", "rules.fallMultiple",
		"rules.startCapacity", "layout.cells", "layout.reach", "layout.shards", "layout.batch", "brokers",
		"limit.dispatches", "tableType.count"} {
		b.need(name, float64(min(1, i/5))) // times may be 0, counts may not
	}
	for i := 0; i < int(b.num("tableType.count")) && b.fault == ""; i++ {
		at := func(name string) string { return fmt.Sprintf("tableType.%d.%s", i, name) }
		in := func(name string) string { return fmt.Sprintf("layout.%s.%d", name, i) }
		t := tableType{target: b.need(at("target"), 0.001), timeout: b.need(at("timeout"), 0.001),
			benefit: b.need(at("benefit"), 0), lateBenefit: b.num(at("lateBenefit")),
			repeatWindow: b.num(at("repeatWindow")), need: b.need(in("need"), 0), floor: b.need(in("floor"), 0),
			partial: b.num(in("partialBenefit")), fetch: int(b.num(in("fetch")))}
		t.effect, _ = b.stated[at("effect")].(string)
		b.meanWork, b.typTarget = t.target/20, b.typTarget+t.target/b.num("tableType.count")
		t.mean, t.dev, t.work = t.target/5, t.target/20, t.target/20
		b.types, b.longest = append(b.types, t), max(b.longest, t.timeout)
		b.meanLat, b.meanUnder = t.mean/t.target, t.mean/t.target // until something is seen
	}
	b.inCell = make([][]int, int(min(b.num("layout.cells"), 1e6)))
	if b.stated["discovery"] == "subscribe" {
		b.do(Action{Kind: Subscribe})
	}
}

// due says whether a moment has come; timers may fire a hair early by rounding.
func (b *Broker) due(at float64) bool { return at <= b.now+0.01 }

// linked says whether a connection to node n is likely to be open.
func (b *Broker) linked(n int) bool {
	return b.now-b.used[n] < cmp.Or(b.num("limit.connIdle"), math.Inf(1))
}

// load is the known work outstanding at n: its own, and what others told of, fading in half the latency.
func (b *Broker) load(n int) float64 {
	lat, _ := b.lat(n)
	return b.outWork[n] + b.others[n]*math.Exp(2*(b.othersAt[n]-b.now)/max(1, lat*b.typTarget))
}

// tell lets the other brokers know which work went where this turn, and which nodes failed or recovered.
func (b *Broker) tell() {
	for _, c := range b.calls {
		b.news = report(b.news, b.nodeID[c.node], worded(c.work))
	}
	b.compareNotes()
	for i := 0; i < len(b.news) && b.flag("limit.peers"); i += noteMost {
		b.do(Action{Kind: Tell, Note: b.news[i:min(i+noteMost, len(b.news))]})
	}
}

// takeNote takes up what another broker told. Notes may be lost, late or spoilt: nothing rests on one alone.
func (b *Broker) takeNote(note []byte) {
	if !readable(note) {
		b.unreadable()
		return
	}
	for r := range slices.Chunk(note, noteRecord) {
		switch n, known := b.byCode[uint16(r[0])<<8|uint16(r[1])]; {
		case !known: // a node that this broker has not been told of
		case r[2] <= noteFull:
			b.others[n], b.othersAt[n] = b.load(n)-b.outWork[n]+float64(r[2])*noteWork, b.now
			b.answers, b.newsAt = b.answers+1, b.now
			if b.poor(n) { // it is being tried; after long with no ill word others work with it: its news was lost
				b.restEnd[n] = max(b.restEnd[n], min(b.now+restTime, b.failAt[n]+recent))
			}
		case r[2] == noteLate:
			b.lateAt[n] = b.now
		case r[2] == noteGood:
			b.heard[n] = b.now
			b.note(n, true)
		case r[2] == noteNobody:
			b.history[n] = 6
			b.note(n, false)
		case b.failAt[n] != b.now:
			b.note(n, false)
		}
	}
}

// takeVerdict takes up what several brokers, or an operator, hold of a node. Its own word goes first:
// if this broker has heard of the node since the newest that the verdict rests on, it knows better.
func (b *Broker) takeVerdict(e *Event) {
	n, known := b.index[e.Node]
	if !known || max(b.heard[n], b.failAt[n]) >= b.now-e.Age {
		return
	}
	switch e.Outcome {
	case Completed: // it is well again: as many successes as let it work
		b.history[n], b.restEnd[n], b.lateAt[n] = b.history[n]|0x0f, b.now, longAgo
	case Saturated: // slow or full: it is told again for as long as it holds
		b.lateAt[n] = max(b.lateAt[n], b.now-recent+2*restTime)
	default:
		b.history[n], b.restEnd[n] = 1, b.now+restTime
	}
}
