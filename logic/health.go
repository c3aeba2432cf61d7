package logic

import (
	"math/bits"
)

// recordLatency updates a node's recent latency. With atLeast, the true one is longer and never lowers the
// average. Prompts vary too much in length for their latencies to describe the node.
func (b *Broker) recordLatency(p *part, d *dispatch, elapsed float64, atLeast bool) {
	n, target := d.node, b.types[p.scan.typ].target
	lat, under := b.recentLatency(n)
	if atLeast && elapsed/target < lat || !atLeast && p.prompt != nil {
		return
	}
	b.latency[n] = lat + nodeAlpha*(elapsed/target-lat)
	b.latencyLoad[n] = under + nodeAlpha*(d.load/target-under)
	b.latencyAt[n] = b.now
	k := b.kindLatency[b.kind[n]]
	b.kindLatency[b.kind[n]] = [2]float64{k[0] + meanAlpha*(elapsed/target-k[0]),
		k[1] + meanAlpha*(d.load/target-k[1])}
	b.meanLatency += meanAlpha * (elapsed/target - b.meanLatency)
	b.meanLoad += meanAlpha * (d.load/target - b.meanLoad)
}

// recordOutcome adds an outcome of node n and reports it to the other brokers. Failures at one moment count
// once, and it returns false for the rest: a broken connection fails all its parts at once, which says no more
// of the node than one failure. A node that has died fails again soon after, or refuses connections.
func (b *Broker) recordOutcome(n int, success, late bool) bool {
	if !success && b.failedAt[n] == b.now {
		return false
	}
	if b.flag("share.verdicts") {
		b.emit(Action{Kind: OutcomeRecorded, Node: b.nodeID[n], Whole: success, Late: late})
	}
	if !success {
		b.records = appendRecord(b.records, b.nodeID[n], noteFailure)
	} else if b.history[n] != 0xff || b.lateAt[n] > longAgo { // not for a healthy node
		b.records = appendRecord(b.records, b.nodeID[n], noteSuccess)
	}
	return b.updateHistory(n, success)
}

// updateHistory adds an outcome to the history of node n and starts or ends its ejection.
func (b *Broker) updateHistory(n int, success bool) bool {
	if success {
		b.lateAt[n] = longAgo
	}
	wasUnhealthy := b.unhealthy(n)
	b.history[n] <<= 1
	if success {
		b.history[n] |= 1
		if wasUnhealthy { // a successful trial counts twice
			b.history[n], b.ejectedUntil[n] = b.history[n]<<1|1, b.now
		}
	} else if b.failedAt[n] = b.now; b.unhealthy(n) && b.now >= b.ejectedUntil[n] {
		b.ejectedUntil[n] = b.now + ejectionTime
	}
	return true
}

// unhealthy reports whether a node is ejected or on trial. Eight outcomes within ejectionTime reflect a short
// period and are soon replaced: ejection takes more failures then, since other nodes must take the load.
func (b *Broker) unhealthy(n int) bool {
	good := bits.OnesCount8(b.history[n])
	return good < healthyMinFast || good < healthyMin && 8*b.answerInterval() > ejectionTime
}

func (b *Broker) ejected(n int) bool {
	return b.unhealthy(n) && (b.now < b.ejectedUntil[n] || b.openCalls[n] > 0)
}

// applyVerdict applies a verdict of several brokers or an operator on a node. This broker's own observations
// take precedence if they are newer than the newest one behind the verdict.
func (b *Broker) applyVerdict(e *Event) {
	n, known := b.index[e.Node]
	if !known || max(b.lastAnswer[n], b.failedAt[n]) >= b.now-e.Age {
		return
	}
	switch e.Outcome {
	case Completed: // recovered: enough successes to be healthy
		b.history[n], b.ejectedUntil[n], b.lateAt[n] = b.history[n]|0x0f, b.now, longAgo
	case Saturated: // slow or full: the verdict is repeated while it holds
		b.lateAt[n] = max(b.lateAt[n], b.now-latencyMaxAge+2*ejectionTime)
	default:
		b.history[n], b.ejectedUntil[n] = 1, b.now+ejectionTime
	}
}
