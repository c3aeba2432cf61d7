package core

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"

	"gullstair/logic"
)

// list gives the nodes of a list their numbers and tells the module. A node's number is made of its name, so
// that all brokers, which share nothing, mean the same node by it; where two names meet, the next free number
// is taken. A name keeps its number for good.
func (c *Core) list(l List) {
	e := logic.Event{Kind: logic.ListArrived, List: l.Kind}
	named := map[int64]bool{}
	for _, n := range l.Nodes {
		listed := n
		if c.drained[n.Host] && n.Readiness == logic.Ready {
			n.Readiness = logic.Draining
		}
		num, known := c.nodes[n.Host]
		if !known {
			h := fnv.New32a()
			h.Write([]byte(n.Host))
			for num = int64(h.Sum32()); num == 0 || c.hosts[num] != nil; num++ {
			}
			c.nodes[n.Host], c.hosts[num] = num, &place{host: n.Host}
		}
		named[num] = true
		c.place(c.hosts[num], n, listed)
		e.Entries = append(e.Entries, logic.Entry{Node: num, Zone: c.index(c.site.Zones, n.Zone),
			Kind: c.index(c.site.Kinds, n.Kind), Cell: n.Cell, Readiness: n.Readiness, Units: n.Units, Born: n.Born})
	}
	if l.Kind == logic.ListWhole || l.Kind == logic.ListCached {
		for num, at := range c.hosts {
			if !named[num] && !at.gone {
				at.gone, at.ready = true, false
				c.do(Move{Host: at.host, Addr: at.addr, Gone: true})
			}
		}
	}
	c.events = append(c.events, e)
	c.guard.list(c)
	c.release()
	if c.sharing {
		c.do(c.listed())
	}
}

// place takes up what a list says of a node, and tells the node's peer if it concerns that: where the node is, that it
// drains, or that it is gone.
func (c *Core) place(at *place, n, listed Node) {
	ready, gone := n.Readiness == logic.Ready, n.Readiness == logic.Gone
	moved := n.Addr != "" && at.addr != n.Addr || at.gone != gone || at.ready && !ready
	at.node, at.zone, at.cell, at.born = listed, n.Zone, n.Cell, n.Born
	at.addr, at.ready, at.gone = cmp.Or(n.Addr, at.addr), ready, gone
	if moved {
		c.do(Move{Host: at.host, Addr: at.addr, Draining: !ready && !gone, Gone: gone})
	}
}

// listed names the nodes that may be probed, in order.
func (c *Core) listed() Listed {
	var l Listed
	for _, host := range slices.Sorted(maps.Keys(c.nodes)) {
		at := c.hosts[c.nodes[host]]
		if at.ready {
			l.Hosts = append(l.Hosts, host)
		}
		if !at.gone {
			l.Nodes = append(l.Nodes, at.node)
		}
	}
	return l
}

// held tells the module of a verdict. What an operator has drained is to it as if the list said so: nothing new goes there, and what is out may end.
func (c *Core) held(v Held) {
	num, known := c.nodes[v.Host]
	if was := c.drained[v.Host]; was != v.Drained {
		if delete(c.drained, v.Host); v.Drained {
			if c.drained == nil {
				c.drained = map[string]bool{}
			}
			c.drained[v.Host] = true
		}
		if known && !c.hosts[num].gone {
			c.list(List{Kind: logic.ListChanges, Nodes: []Node{c.hosts[num].node}})
		}
	}
	if known && !c.hosts[num].gone && v.Outcome != 0 {
		c.events = append(c.events, logic.Event{Kind: logic.VerdictHeard, Node: num, Outcome: v.Outcome, Age: v.Age})
	}
}

// Judge begins to tell outcomes on.
func (c *Core) Judge() { c.judges = true }

// Share begins to tell the list on, and says what it is.
func (c *Core) Share() Listed {
	c.sharing = true
	return c.listed()
}

// release forgets the nodes that are gone, once nothing is out at them: where nodes are replaced under new names all
// day their names would pile up. One that comes back is met as a stranger, by the number that its name makes.
func (c *Core) release() {
	busy := map[int64]bool{}
	for _, d := range c.flights {
		busy[d.node] = true
	}
	for _, p := range c.probes {
		busy[p.node] = true
	}
	for num, at := range c.hosts {
		if at.gone && !busy[num] {
			delete(c.hosts, num)
			delete(c.nodes, at.host)
		}
	}
}

// index is a name's place in a list of the settings; one that is not there gets -1, which is nobody's.
func (c *Core) index(list map[string]int, name string) int {
	if i, known := list[name]; known {
		return i
	}
	c.do(Log{Text: "a node's zone or kind is not in the settings: " + strconv.Quote(name)})
	return -1
}

func (c *Core) do(o Output) { c.out = append(c.out, o) }
