package core

import (
	"gullstair/logic"
)

// probe queries the load of a node. Its timeout is the connect timeout.
func (c *Core) probe(num int64, shared bool) {
	ref, at := c.nextNumber(), c.knownNodes[num]
	c.probes[ref] = probe{node: num, at: c.now, shared: shared}
	if at == nil || at.addr == "" {
		c.probeEnded(Ended{Ref: ref, Reason: NoAddress, At: c.now})
		return
	}
	c.schedule(timer{at: c.now + c.settings.ConnectTimeout, probe: ref})
	c.emit(Probe{Host: at.host, Addr: at.addr, Ref: ref})
}

// probeEnded ends a probe and reports whether e belongs to an outstanding probe.
func (c *Core) probeEnded(e Ended) bool {
	p, out := c.probes[e.Ref]
	if out {
		delete(c.probes, e.Ref)
		c.events = append(c.events, logic.Event{Kind: logic.ProbeEnded, Node: p.node, Outcome: e.Reason.Outcome(),
			Elapsed: max(0, e.At-p.at), Load: e.Load})
		if at := c.knownNodes[p.node]; p.shared && at != nil {
			c.emit(ProbeResult{Host: at.host, Served: e.Reason == Answered, Load: e.Load})
		}
	}
	return out
}

// probeForPeers probes a node on behalf of all brokers. A node that is unknown, draining or gone is not probed, even
// if other brokers still list it.
func (c *Core) probeForPeers(host string) {
	num, known := c.numbers[host]
	if !known || !c.knownNodes[num].ready {
		c.emit(ProbeResult{Host: host})
		return
	}
	c.probe(num, true)
}

// applyPeerProbe passes the result of another broker's probe to the module with its age. Results for unknown nodes are
// dropped.
func (c *Core) applyPeerProbe(v PeerProbe) {
	num, known := c.numbers[v.Host]
	if !known || c.knownNodes[num].gone {
		return
	}
	how := logic.Completed
	if !v.Served {
		how = logic.Overdue
	}
	c.events = append(c.events, logic.Event{Kind: logic.ProbeEnded, Node: num, Outcome: how, Load: v.Load, Age: v.Age})
}
