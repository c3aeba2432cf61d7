package logic

import (
	"fmt"
	"math"
)

// partsToSend returns the parts of s to dispatch now, the weight that can no longer arrive, the weight that
// waits for a holder, and when to check again. A late part at a silent node gets a second copy or, where
// copies are off, a recall. A part that is merely slow stays: a copy would add to an overload.
func (b *Broker) partsToSend(s *scan) (toSend []*part, lost, waiting, at float64) {
	typ, open, next := &b.types[s.typ], 0.0, s.endAt
	for _, p := range s.parts {
		if p.open > 0 && !p.done {
			open++
		}
	}
	copyAt := s.lastAnswer + typ.mean*(1+copyDelayMeans/open)
	if b.flag("limit.secondCopies") { // the latest time at which a copy can meet the target; a recall costs more
		copyAt = min(copyAt, s.targetAt-typ.mean-typ.dev)
	}
	for _, p := range s.parts {
		late, silent, overtaken := p.open > 0, false, false
		for i := range p.tries {
			// A node is silent if it has not answered for longer than its open work explains. A dispatch is overtaken
			// if its node answered another one that was sent when this one was late: the node works, but the answer
			// is lost or the part hangs. An overload delays both alike, and a recall would add to it.
			d, n := &p.tries[i], p.tries[i].node
			newerAnswered := b.newestAnswered[n] > d.lateAt && b.due(d.silentAt)
			isSilent := newerAnswered || b.now-max(d.sentAt, b.lastAnswer[n]) > d.grace
			silent = silent || isSilent || b.unhealthy(n) || b.lastAnswer[n] < d.sentAt && b.flag("limit.secondCopies")
			overtaken = overtaken || newerAnswered && d.open
			if !d.open || p.done {
				continue
			}
			if !b.due(d.lateAt) {
				next = min(next, d.lateAt)
			} else if !d.lateReported && b.flag("limit.peers") { // tell other brokers at once
				d.lateReported = true
				if b.lastAnswer[n] < d.sentAt {
					b.lateAt[n], b.records = b.now, appendRecord(b.records, b.nodeID[n], noteLate)
				}
			}
			if at := max(d.lateAt, copyAt); !b.due(at) && !newerAnswered {
				late, next = false, min(next, at)
			} else if !b.due(d.silentAt) {
				next = min(next, d.silentAt)
			} else if next = min(next, b.now+recheckDelay); isSilent && !d.silenceCounted {
				// A silent node counts two failures; without an answer in latencyMaxAge, one ejects it.
				if d.silenceCounted = true; b.recordOutcome(n, false, false) && !newerAnswered {
					if b.history[n] <<= 1; b.now-b.lastAnswer[n] > latencyMaxAge {
						b.history[n] = 2
					}
				}
			} else if !isSilent && !d.slowCounted {
				d.slowCounted = true
				b.recordLatency(p, d, b.now-d.sentAt, true)
			}
		}
		if p.done || p.open > 0 && !late {
			continue
		}
		if !b.mayDispatch(p) {
			if p.open == 0 {
				lost += p.weight
				b.compareShadow(p, false)
			}
			continue
		}
		p.candidates = b.eligible(p)
		redispatch := p.open == 1 && silent && len(p.candidates) > 0 && (overtaken || b.hedgeBudget >= 1 &&
			!b.ejected(p.candidates[0]) && p.candidates[0] != p.tries[len(p.tries)-1].node)
		failed := len(p.candidates) > 0 && b.tried(p, p.candidates[0]) &&
			b.now < p.tries[len(p.tries)-1].sentAt+recheckDelay
		if p.open == 0 && (len(p.candidates) == 0 || failed) { // no holder, or the part has just failed there
			waiting, next = waiting+p.weight, min(next, b.now+recheckDelay)
		} else if p.open == 0 || redispatch && b.allows(p, "limit.secondCopies") {
			toSend = append(toSend, p)
			if p.open > 0 {
				b.hedgeBudget -= 1 / open // several silent parts are stronger evidence
			}
			if len(p.tries) > 0 { // counted here: parts of one scan share the budget
				b.compareShadow(p, true)
				key := b.budgetKey(p)
				b.retries[key], b.fleetBudget = append(b.retries[key], [2]float64{b.now}), b.fleetBudget-1
			}
		} else if redispatch && b.due(p.tries[len(p.tries)-1].silentAt) && b.allows(p, "limit.cancelling") {
			b.recall(p)
			b.hedgeBudget = max(0, b.hedgeBudget-1/open)
		}
	}
	return toSend, lost, waiting, next
}

// mayDispatch checks every dispatch of p: the rules on effects, the limit of dispatches and the retry
// budgets. Past its target time a scan may retry only a little of its weight: more would add to an overload.
func (b *Broker) mayDispatch(p *part) bool {
	if typ := &b.types[p.scan.typ]; len(p.tries) == 0 {
		return true
	} else if b.due(p.scan.targetAt) && !p.streaming && 1-p.scan.received > lateRetryShare*typ.lateBenefit {
		return false
	}
	why := b.blockedBy(p, &b.settings)
	if why == "fleet" {
		b.emit(Action{Kind: FleetBudgetDenied})
	}
	return why == ""
}

// blockedBy returns the name of the rule that forbids p a further dispatch under settings t, or "".
func (b *Broker) blockedBy(p *part, t *settings) string {
	prefix := fmt.Sprintf("tableType.%d.", p.scan.typ)
	first, window := p.firstRunAt(), t.num("rules.budgetWindow")
	keyed := t.values[prefix+"effect"] == "keyed" && b.now <= first+t.num(prefix+"repeatWindow")-4*b.num("turn")
	if first >= 0 && t.values[prefix+"effect"] != "replayable" && !keyed {
		return "effect"
	} else if !b.attemptsLeft(p, t) {
		return "dispatches"
	} else if b.fleetBudget < 1 { // the retry budget of the whole fleet
		return "fleet"
	}
	longest, key := b.now-max(b.num("rules.budgetWindow"), b.shadow.num("rules.budgetWindow")), b.budgetKey(p)
	b.retries[key], b.accepted[key] = dropUntil(b.retries[key], longest), dropUntil(b.accepted[key], longest)
	retries, accepted := dropUntil(b.retries[key], b.now-window), dropUntil(b.accepted[key], b.now-window)
	limit := t.num("rules.spareDispatches") + t.num("rules.spareShare")*float64(len(accepted))
	if window > 0 && float64(len(retries))+1 > limit {
		return "budget"
	}
	return ""
}

// eligible returns the holders that p may go to now: healthy ones not tried yet, else healthy ones, else
// ejected ones. It omits nodes that drain, are gone, exceed slow start or are not permitted to the scan.
func (b *Broker) eligible(p *part) []int {
	var untried, healthy, unhealthy []int
	for j := 0; p.shard < int(b.num("layout.shards")) && j < int(b.num("layout.reach")); j++ {
		for _, n := range b.readyInCell[(p.shard+j)%len(b.readyInCell)] {
			if permitted := p.scan.permitted; permitted != nil && !permitted[b.nodeID[n]] || !b.slowStartAllows(n) {
				continue
			} else if b.ejected(n) {
				unhealthy = append(unhealthy, n)
			} else if b.tried(p, n) {
				healthy = append(healthy, n)
			} else {
				untried = append(untried, n)
			}
		}
	}
	if len(untried)+len(healthy) == 0 {
		return unhealthy
	} else if len(untried) == 0 {
		return healthy
	}
	return untried
}

// send dispatches p to node n in this turn's call and returns the time at which the dispatch is late.
func (b *Broker) send(p *part, n int) float64 {
	s, typ, c := p.scan, &b.types[p.scan.typ], b.turnCalls[n]
	if c == nil || c.parts >= int(b.num("layout.batch")) {
		c = &call{node: n, work: b.num("layout.callWork")}
		b.turnCalls[n], b.calls = c, append(b.calls, c)
		b.openCalls[n]++
		b.openWork[n] += c.work
	}
	source, save := b.preparePrompt(p, n)
	c.parts, c.open, c.work = c.parts+1, c.open+1, c.work+p.work
	b.openWork[n] += p.work
	b.allowance[n] -= p.work // slow start counts parts, not calls
	b.meanWork += meanAlpha * (p.work - b.meanWork)
	limit, lateAt := s.endAt, b.now+max(typ.mean+lateDeviations*typ.dev, 4*b.num("turn"))
	// At silentDeviations, or at the latest time at which another dispatch can meet the target time.
	silentAt := max(lateAt, min(lateAt+(silentDeviations-lateDeviations)*typ.dev, s.targetAt-typ.mean-typ.dev))
	if !b.flag("limit.secondCopies") && !b.flag("limit.cancelling") {
		limit = min(limit, silentAt) // only a timeout frees the part from a silent node
	}
	if len(p.tries) == 0 {
		b.hedgeBudget = min(b.hedgeBudget+hedgeRatio, hedgeBudgetMax)
	}
	s.lastAnswer = max(s.lastAnswer, b.now)
	if typ.partial*b.minWeight(s)/typ.need > typ.lateBenefit && b.minWeight(s) < typ.need && !b.due(s.targetAt) {
		limit = min(limit, s.targetAt) // it is answered then; a node need not begin it later
	}
	lat, under := b.recentLatency(n)
	grace := max(silentAt-b.now, silentLoadFactor*b.load(n)*lat/max(under, 0.001))
	p.tries = append(p.tries, dispatch{node: n, call: c, sentAt: b.now, lateAt: lateAt, silentAt: silentAt,
		grace: grace, newConn: !b.connected(n), load: b.load(n), tokens: p.tokens, open: true, mayHaveRun: true})
	p.open++
	b.emit(Action{Kind: Dispatch, ID: p.id, Node: b.nodeID[n], After: limit - b.now, Source: source, Save: save,
		Load: b.load(n) - p.work, Work: p.work})
	return lateAt
}

func (b *Broker) dispatchEnded(e *Event) {
	p := b.parts[e.ID]
	if p == nil || e.Dispatch < 0 || e.Dispatch >= len(p.tries) || !p.tries[e.Dispatch].open {
		return
	}
	d := &p.tries[e.Dispatch]
	n, s, typ := d.node, p.scan, &b.types[p.scan.typ]
	d.open, p.open = false, p.open-1
	b.openWork[n] = max(0, b.openWork[n]-p.work)
	if d.call.open--; d.call.open == 0 {
		b.openWork[n] = max(0, b.openWork[n]-b.num("layout.callWork"))
		b.openCalls[n]--
	}
	took := e.Elapsed // without connection setup, which is no sign of load
	if d.newConn && e.Outcome == Completed {
		b.refusalRate -= meanAlpha * b.refusalRate
		more := min(e.Elapsed, b.num("limit.connectTimeout")+b.meanLatency*typ.target)/typ.target - b.meanLatency
		b.connectCost = max(0, b.connectCost+meanAlpha*(more-b.connectCost))
		took = max(0, took-b.connectCost*typ.target)
	} else if d.newConn && e.Outcome == ConnRefused {
		b.refusalRate += meanAlpha * (1 - b.refusalRate)
	}
	switch e.Outcome {
	case Completed:
		b.connUsedAt[n], b.lastAnswer[n], b.newestAnswered[n] = b.now, b.now, max(b.newestAnswered[n], d.sentAt)
		b.saturation[b.budgetKey(p)] -= meanAlpha * b.saturation[b.budgetKey(p)]
		b.answers, b.lastSignal = b.answers+1, b.now
		if !d.streaming { // for a stream: recorded at its first event
			b.recordLatency(p, d, took, false)
			typ.observe(e.Elapsed, b.num("layout.callWork"))
		}
		b.doneWork, b.doneAt = b.doneWork*math.Exp((b.doneAt-b.now)/latencyMaxAge)+p.work, b.now
		b.recordOutcome(n, true, b.due(d.lateAt))
		if !p.done {
			p.done, s.lastAnswer = true, b.now
			s.received += p.weight
			if e.Dispatch > 0 && (p.open > 0 || !b.due(d.lateAt)) { // the copy won or was fast
				b.hedgeBudget = min(b.hedgeBudget+1, hedgeBudgetMax)
			}
			b.recall(p)
		}
	case Errored, Severed:
		b.recordOutcome(n, false, false)
	case ConnRefused: // nothing listens there: ejected at once
		b.connUsedAt[n], b.history[n] = longAgo, 6
		if d.newConn && b.refusalRate > refusalThreshold { // slow network: not reported to peers
			b.updateHistory(n, false)
		} else if b.recordOutcome(n, false, false) {
			b.records[len(b.records)-1] = noteRefused
		}
	case Saturated: // full but healthy: counts as slow
		b.lastAnswer[n], b.saturation[b.budgetKey(p)] =
			b.now, b.saturation[b.budgetKey(p)]+meanAlpha*(1-b.saturation[b.budgetKey(p)])
		b.recordLatency(p, d, typ.target, true)
	}
	d.mayHaveRun = e.Outcome != Saturated && e.Outcome != ConnRefused && e.Outcome != Superseded
	if s.ended && p.open == 0 {
		delete(b.parts, p.id)
	}
	b.markDirty(s)
}

// recall cancels the open dispatches of p; a node may then drop what it has not begun.
func (b *Broker) recall(p *part) {
	for i := range p.tries {
		if d := &p.tries[i]; d.open && b.flag("limit.cancelling") {
			d.lateAt = math.Inf(1)
			b.emit(Action{Kind: Recall, ID: p.id, Dispatch: i})
		}
	}
}
