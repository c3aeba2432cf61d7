package logic

import (
	"fmt"
	"math"
)

// What is sent where, and when again.

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
				b.sawLatency(p, d, b.now-d.at, true)
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
				at := b.budgetOf(p)
				b.extras[at], b.fleetSpare = append(b.extras[at], [2]float64{b.now}), b.fleetSpare-1
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
	} else if b.due(p.scan.targetAt) && !p.began && 1-p.scan.got > lateTail*typ.lateBenefit {
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
	} else if !b.triesLeft(p, t) {
		return "dispatches"
	} else if b.fleetSpare < 1 { // what all brokers together may send beyond first dispatches
		return "fleet"
	}
	longest, key := b.now-max(b.num("rules.budgetWindow"), b.watch.num("rules.budgetWindow")), b.budgetOf(p)
	b.extras[key], b.taken[key] = within(b.extras[key], longest), within(b.taken[key], longest)
	extras, taken := within(b.extras[key], b.now-window), within(b.taken[key], b.now-window)
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

// send dispatches p to node n in this turn's call and returns when the dispatch will be late.
func (b *Broker) send(p *part, n int) float64 {
	s, typ, c := p.scan, &b.types[p.scan.typ], b.turn[n]
	if c == nil || c.parts >= int(b.num("layout.batch")) {
		c = &call{node: n, work: b.num("layout.callWork")}
		b.turn[n], b.calls = c, append(b.calls, c)
		b.outCalls[n]++
		b.outWork[n] += c.work
	}
	source, save := b.prepare(p, n)
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
		fresh: !b.linked(n), load: b.load(n), read: p.read, open: true, ran: true})
	p.open++
	b.do(Action{Kind: Dispatch, ID: p.id, Node: b.nodeID[n], After: limit - b.now, Source: source, Save: save,
		Load: b.load(n) - p.work, Work: p.work})
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
		b.full[b.budgetOf(p)] -= typShare * b.full[b.budgetOf(p)]
		b.answers, b.newsAt = b.answers+1, b.now
		if !d.began { // of a stream its first event has told
			b.sawLatency(p, d, took, false)
			typ.saw(e.Elapsed, b.num("layout.callWork"))
		}
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
		b.heard[n], b.full[b.budgetOf(p)] = b.now, b.full[b.budgetOf(p)]+typShare*(1-b.full[b.budgetOf(p)])
		b.sawLatency(p, d, typ.target, true)
	}
	d.ran = e.Outcome != Saturated && e.Outcome != ConnRefused && e.Outcome != Superseded // else it never ran
	if s.ended && p.open == 0 {
		delete(b.parts, p.id)
	}
	b.touch(s)
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
