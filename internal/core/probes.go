package core

import (
	"gullstair/logic"
)

// probe asks a node for its load. A probe waits as long as a connection may take to come up.
func (c *Core) probe(num int64, shared bool) {
	ref, at := c.number(), c.hosts[num]
	c.probes[ref] = probe{node: num, at: c.now, shared: shared}
	if at == nil || at.addr == "" {
		c.probed(Ended{Ref: ref, How: NoAddress, At: c.now})
		return
	}
	c.plan(due{at: c.now + c.site.ConnectTimeout, probe: ref})
	c.do(Probe{Host: at.host, Addr: at.addr, Ref: ref})
}

// probed ends a probe, if e is the end of one that is out.
func (c *Core) probed(e Ended) bool {
	p, out := c.probes[e.Ref]
	if out {
		delete(c.probes, e.Ref)
		c.events = append(c.events, logic.Event{Kind: logic.ProbeEnded, Node: p.node, Outcome: e.How.Outcome(),
			Elapsed: max(0, e.At-p.at), Load: e.Load})
		if at := c.hosts[p.node]; p.shared && at != nil {
			c.do(Probed{Host: at.host, Served: e.How == Answered, Load: e.Load})
		}
	}
	return out
}

// probeFor probes a node for all brokers; one that drains or is gone is not probed, whoever still believes in it.
func (c *Core) probeFor(host string) {
	num, known := c.nodes[host]
	if !known || !c.hosts[num].ready {
		c.do(Probed{Host: host})
		return
	}
	c.probe(num, true)
}

// probeHeard tells the module of another broker's probe, as of one of its own, with its age. Of a node that no list has
// named here nothing is told.
func (c *Core) probeHeard(v ProbeHeard) {
	num, known := c.nodes[v.Host]
	if !known || c.hosts[num].gone {
		return
	}
	how := logic.Completed
	if !v.Served {
		how = logic.Overdue
	}
	c.events = append(c.events, logic.Event{Kind: logic.ProbeEnded, Node: num, Outcome: how, Load: v.Load, Age: v.Age})
}
