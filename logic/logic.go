// Package logic is the decision module of one broker. It chooses the nodes for the parts of a scan, sends
// further dispatches, sheds load and chooses the final answer. Broker.Step is its only entry point: it takes
// events and returns actions (both in types.go). The package does no I/O, reads no clock and shares no state
// between brokers; the same events give the same actions. Times and work are in milliseconds.
//
// The cover of a scan is a smallest or near-smallest set of nodes that together hold all its shards, with
// one call per node; of several covers it is the one with the least load. Beside it (docs/design.md):
//  1. further dispatches: late or failed parts are covered and sent again, if mayDispatch allows it
//  2. outlier ejection: an unhealthy node gets no calls for a while, then one trial call
//  3. slow start: this broker's share of the capacity of a node that has just started
//  4. throttling: scans that would miss their target time are rejected at random, cheap ones more often
//  5. early answers: from part of the data, where the table type allows it and waiting pays less
//  6. node lists, which may be late, stale or cached, and notes of other brokers
package logic

import (
	"slices"
)

const (
	latencyMaxAge       = 5000.0   // older latencies are ignored; also the time constant of completed work
	latencyMaxIntervals = 2.0      // but a latency counts for at least this many answer intervals of a node
	nodeAlpha           = 0.25     // weight of the newest latency in a node's moving average,
	meanAlpha           = 0.05     // and in that of a table type
	lateDeviations      = 3.0      // a dispatch is late this many mean deviations above the mean,
	silentDeviations    = 8.0      // and silent this many above it;
	silentLoadFactor    = 3.0      // a node is silent after this many times the duration of its open work
	copyDelayMeans      = 4.0      // a copy waits for 1 + this/open parts mean latencies without an answer
	lateRetryShare      = 0.3      // weight that may be sent again past the target time, times lateBenefit
	hedgeRatio          = 0.1      // second copies allowed per first dispatch; a copy that wins is free
	hedgeBudgetMax      = 20.0     // largest number of second copies saved up
	healthyMin          = 3        // successes among the last eight outcomes of a healthy node,
	healthyMinFast      = 2        // and this many where eight outcomes arrive within ejectionTime
	ejectionTime        = 1000.0   // an unhealthy node gets no calls for this long, then a trial call
	maxCallShare        = 0.13     // largest work of a call, as a share of the target time
	trimSlack           = 0.05     // weight kept above the minimum when parts are trimmed
	partsPerExtraCall   = 16       // a cover may be one call above the smallest, plus one per this many parts
	overCapCost         = 1e9      // cost of a call over its cap: taken only where no other node is left
	tieNoise            = 0.02     // random spread of nearly equal loads, else all brokers choose the same node
	throttleStart       = 0.8      // predicted latency, as a share of the target, at which throttling begins,
	throttleFull        = 1.2      // and at which a scan of mean benefit is always rejected
	refusalThreshold    = 0.25     // share of refused connections that points to the network, not to a node
	predictionMaxAge    = 1500.0   // predictions decay after this long without a signal, else throttling persists
	saturationWeight    = 4.0      // weight of the share of saturated dispatches in the prediction
	fewBrokers          = 4.0      // up to this number of brokers, the load that one sees is typical of all
	recheckDelay        = 100.0    // delay before a part without an available holder is checked again
	pacedMinShare       = 0.5      // least paced share of a cold node's capacity; the rest may accumulate unused
	goldenRatio         = 0.618034 // its multiples are spread evenly modulo 1
	lateFactor          = 4.0      // load factor of a node with a late call and no answer since
	listBackoffMax      = 4000.0   // longest backoff before the node list is requested again
	listTimer           = 1 << 62  // the timer that requests the node list again
	longAgo             = -1e15
)

// Step applies the events of one moment and returns the actions to take.
func (b *Broker) Step(now float64, events []Event) []Action {
	b.now, b.actions, b.dirtyScans, b.turnCalls, b.calls, b.records = now, nil, nil, map[int]*call{}, nil, nil
	for i := range events {
		e := &events[i]
		if e.Kind == Started {
			b.start(e)
		} else if b.types == nil {
			continue // not started yet
		}
		switch e.Kind {
		case ListArrived:
			b.applyList(e)
		case ScanArrived:
			b.addScan(e)
		case PartArrived:
			b.addPart(e)
		case DispatchEnded:
			b.dispatchEnded(e)
		case ClientLeft:
			if s := b.scans[e.ID]; s != nil {
				b.removeScan(s)
			}
		case StreamBegan:
			b.streamBegan(e)
		case SettingsChanged:
			b.applySettings(e)
		case PeerNote:
			b.applyNote(e.Note)
		case VerdictReceived:
			b.applyVerdict(e)
		case FleetBudgetChanged:
			b.fleetBudget = e.Amount
		case TimerDue:
			if b.markDirty(b.scanByNum[e.Timer]); e.Timer == listTimer {
				b.emit(Action{Kind: Subscribe})
			}
		}
	}
	for i := 0; i < len(b.dirtyScans); i++ {
		b.dirtyScans[i].dirty = false
		b.advance(b.dirtyScans[i])
	}
	b.sendNotes()
	if b.fault != "" {
		b.actions = []Action{{Kind: Fatal, Text: b.fault}}
	}
	return b.actions
}

// advance takes every step that scan s allows now: answer, throttle, dispatch or set a timer.
func (b *Broker) advance(s *scan) {
	if s.ended {
		return
	}
	typ := &b.types[s.typ]
	// Answer once the parts that the table type needs have arrived.
	all := len(s.parts) > 0 && !slices.ContainsFunc(s.parts, func(p *part) bool { return !p.done })
	if all && !s.trimmed || s.step == 1 && s.received >= typ.need-0.00005 && s.received > 0 {
		b.emit(Action{Kind: Answer, ID: s.id, Whole: true})
		if s.step == 2 || typ.fetch == 0 {
			b.removeScan(s)
			return
		}
		b.dropParts(s)
		s.step, s.received, s.parts, all = 2, 0, nil, false // the second step's parts arrive later
	}
	// Mechanism 5: answer from part of the data at the target time if a complete answer pays less later.
	if b.due(s.endAt) || (b.due(s.targetAt) || all) && b.enough(s) &&
		typ.partial*s.received/typ.need > typ.lateBenefit {
		b.finish(s)
		return
	}
	toSend, lost, waiting, next := b.partsToSend(s)
	if lost > 1-b.minWeight(s)+0.00005 || len(s.parts) == 0 && s.step == 1 || !s.started && b.due(s.targetAt) {
		b.finish(s) // the remaining parts cannot make an answer
		return
	}
	if len(toSend) > 0 && (s.started || waiting <= 1-b.minWeight(s)+0.00005) { // else too few holders to start
		node := b.cover(s, toSend)
		// Mechanism 4: reject the scan at random before its first dispatch, or trim it first.
		rejected := !s.started && b.throttled(s, b.predict(s, toSend, node))
		if rejected && b.trim(s) {
			toSend, _, _, next = b.partsToSend(s)
			node = b.cover(s, toSend)
			rejected = b.throttled(s, b.predict(s, toSend, node))
		}
		if rejected {
			b.finish(s)
			return
		}
		s.started = true
		for i, a := range toSend { // parts for one node in one turn share a call
			if b.slowStartAllows(node[i]) {
				next = min(next, b.send(a, node[i]))
			} else {
				next = min(next, b.now+recheckDelay)
			}
		}
	}
	if !b.due(s.targetAt) {
		next = min(next, s.targetAt)
	}
	if next = min(next, s.endAt); b.due(s.timerAt) || s.timerAt > next { // due: it may have fired slightly early
		s.timerAt = next
		b.emit(Action{Kind: SetTimer, Timer: s.num, After: max(0, next-b.now)})
	}
}
