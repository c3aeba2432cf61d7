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
		case StreamBegan:
			b.streamBegan(e)
		case TermsChanged:
			b.restate(e)
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
