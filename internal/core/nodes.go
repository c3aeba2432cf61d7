package core

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"

	"gullstair/logic"
)

// applyList assigns numbers to the nodes of a list and passes the list to the module. A node's number is a hash
// of its name, so that all brokers use the same number without coordination. A collision takes the next free
// number. A name keeps its number as long as the node is known.
func (c *Core) applyList(l List) {
	e := logic.Event{Kind: logic.ListArrived, List: l.Kind}
	named := map[int64]bool{}
	for _, n := range l.Nodes {
		listed := n
		if c.drained[n.Host] && n.Readiness == logic.Ready {
			n.Readiness = logic.Draining
		}
		num, known := c.numbers[n.Host]
		if !known {
			h := fnv.New32a()
			h.Write([]byte(n.Host))
			for num = int64(h.Sum32()); num == 0 || c.knownNodes[num] != nil; num++ {
			}
			c.numbers[n.Host], c.knownNodes[num] = num, &nodeState{host: n.Host}
		}
		named[num] = true
		c.updateNode(c.knownNodes[num], n, listed)
		e.Entries = append(e.Entries, logic.Entry{Node: num, Zone: c.index(c.settings.Zones, n.Zone),
			Kind: c.index(c.settings.Kinds, n.Kind), Cell: n.Cell, Readiness: n.Readiness, Units: n.Units, Born: n.Born})
	}
	if l.Kind == logic.ListFull || l.Kind == logic.ListCached {
		for num, at := range c.knownNodes {
			if !named[num] && !at.gone {
				at.gone, at.ready = true, false
				c.emit(NodeChange{Host: at.host, Addr: at.addr, Gone: true})
			}
		}
	}
	c.events = append(c.events, e)
	c.guard.applyNodes(c)
	c.forgetGoneNodes()
	if c.reportsList {
		c.emit(c.nodeList())
	}
}

// updateNode stores what a list reports of a node. It emits a change of the node's address and the fact that the
// node drains or is gone.
func (c *Core) updateNode(at *nodeState, n, listed Node) {
	ready, gone := n.Readiness == logic.Ready, n.Readiness == logic.Gone
	moved := n.Addr != "" && at.addr != n.Addr || at.gone != gone || at.ready && !ready
	at.node, at.zone, at.cell, at.born = listed, n.Zone, n.Cell, n.Born
	at.addr, at.ready, at.gone = cmp.Or(n.Addr, at.addr), ready, gone
	if moved {
		c.emit(NodeChange{Host: at.host, Addr: at.addr, Draining: !ready && !gone, Gone: gone})
	}
}

// nodeList returns the nodes that may be probed and all nodes of the list, sorted by name.
func (c *Core) nodeList() NodeList {
	var l NodeList
	for _, host := range slices.Sorted(maps.Keys(c.numbers)) {
		at := c.knownNodes[c.numbers[host]]
		if at.ready {
			l.Hosts = append(l.Hosts, host)
		}
		if !at.gone {
			l.Nodes = append(l.Nodes, at.node)
		}
	}
	return l
}

// applyVerdict passes a verdict to the module. A node drained by an operator is reported as draining, as if by the
// list: it gets no new dispatches, and outstanding ones may finish.
func (c *Core) applyVerdict(v NodeVerdict) {
	num, known := c.numbers[v.Host]
	if was := c.drained[v.Host]; was != v.Drained {
		if delete(c.drained, v.Host); v.Drained {
			if c.drained == nil {
				c.drained = map[string]bool{}
			}
			c.drained[v.Host] = true
		}
		if known && !c.knownNodes[num].gone {
			c.applyList(List{Kind: logic.ListDelta, Nodes: []Node{c.knownNodes[num].node}})
		}
	}
	if known && !c.knownNodes[num].gone && v.Outcome != 0 {
		c.events = append(c.events, logic.Event{Kind: logic.VerdictReceived, Node: num, Outcome: v.Outcome, Age: v.Age})
	}
}

// ReportOutcomes makes the core emit the outcomes of dispatches.
func (c *Core) ReportOutcomes() { c.reportsOutcomes = true }

// ReportList makes the core emit the node list on each change, and returns the current one.
func (c *Core) ReportList() NodeList {
	c.reportsList = true
	return c.nodeList()
}

// forgetGoneNodes removes gone nodes without outstanding dispatches or probes. Otherwise the names of nodes that are
// replaced under new names would accumulate. A node that returns is a new node and gets the number that its name
// hashes to.
func (c *Core) forgetGoneNodes() {
	busy := map[int64]bool{}
	for _, d := range c.dispatches {
		busy[d.node] = true
	}
	for _, p := range c.probes {
		busy[p.node] = true
	}
	for num, at := range c.knownNodes {
		if at.gone && !busy[num] {
			delete(c.knownNodes, num)
			delete(c.numbers, at.host)
		}
	}
}

// index returns the index of a name in the settings, or -1 and a log line if the name is unknown.
func (c *Core) index(list map[string]int, name string) int {
	if i, known := list[name]; known {
		return i
	}
	c.emit(Log{Text: "a node's zone or kind is not in the settings: " + strconv.Quote(name)})
	return -1
}

func (c *Core) emit(o Output) { c.out = append(c.out, o) }
