package logic

import (
	"math/bits"
)

// Latencies seen and outlier ejection.

// sawLatency keeps a node's recent latency; atLeast: the true one is longer and never counts in its favour.
// Prompts differ too much in length for theirs to tell of the node.
func (b *Broker) sawLatency(p *part, d *dispatch, elapsed float64, atLeast bool) {
	n, target := d.node, b.types[p.scan.typ].target
	lat, under := b.lat(n)
	if atLeast && elapsed/target < lat || !atLeast && p.prompt != nil {
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
