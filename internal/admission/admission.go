// Package admission decides for each scan, before the decision module sees it, whether its cell admits it and which nodes
// it may use. It combines the map of cells (package cells), the limits (package quota) and the node list. It does no I/O
// and reads no clock.
//
// A scan keeps the version of the map with which it was admitted: all its dispatches go to the nodes of its cell at that
// version, even if tenants move meanwhile.
package admission

import (
	"maps"
	"slices"
	"strings"

	"gullstair/internal/cells"
	"gullstair/internal/quota"
)

// Node is a node of the list.
type Node struct {
	Number     int64 // the node's number in the decision module
	Name, Zone string
	Set        int
	Ready      bool
	Cold       bool // it was started recently
}

// Verdict is the decision on a scan.
type Verdict struct {
	Admitted   bool
	Reason     string
	RetryAfter float64 // ms, for a throttled scan
	Cell       string
	Version    uint64
	Permitted  map[int64]bool // shared by all scans of the cell and version; read-only
}

// Admission is the state of one broker. It is not safe for concurrent use.
type Admission struct {
	moves              *cells.Moves
	limits             *quota.Limiter
	plan               cells.Plan
	sets               int
	nodes              map[string]Node
	slots              map[string]*slot
	permittedByVersion map[uint64]map[string]map[int64]bool // permitted nodes, by version and cell
	open               map[uint64]int
	lost               map[string]bool
	counts             map[string]*Counts
}

// slot is the slot of a node in the map. goneSince is the time at which the list dropped the node; 0 if it has not.
type slot struct {
	Node
	goneSince float64
}

// SlotGrace is how long, in ms, a gone node keeps its slot if no new node takes it over.
const SlotGrace = 600000.0

// Counts are the counters of one cell.
type Counts struct{ Admitted, Refused, Lost int }

// lostRetryAfter is the retry time, in ms, for scans of a cell that has lost its stores. The cell is evaluated again with
// each list.
const lostRetryAfter = 1000.0

// New returns an Admission for a plan, the moves of its map and the limits.
func New(plan cells.Plan, sets int, moves *cells.Moves, limits *quota.Limiter) *Admission {
	return &Admission{plan: plan, sets: sets, moves: moves, limits: limits, nodes: map[string]Node{}, slots: map[string]*slot{}, permittedByVersion: map[uint64]map[string]map[int64]bool{},
		open: map[uint64]int{}, lost: map[string]bool{}, counts: map[string]*Counts{}}
}

// ApplyList applies a full node list and returns inputs for the moves: the current stores, and for each cell whether it
// may take more tenants. A gone node keeps its slot in its cells, even if they refuse scans because of it: if another
// store took the slot at once, the load of the cell would spill onto stores of other cells. The slot passes to a new node
// of the same set, as in a rollout, or is freed after SlotGrace.
func (c *Admission) ApplyList(now float64, nodes []Node) (in []cells.Input) {
	listed := map[string]Node{}
	var fresh []Node
	for _, n := range nodes {
		listed[n.Name] = n
		if _, known := c.slots[n.Name]; !known && len(c.slots) > 0 {
			fresh = append(fresh, n)
		}
	}
	for name, p := range c.slots {
		if n, there := listed[name]; there {
			p.Node, p.goneSince = n, 0
		} else if p.goneSince == 0 {
			p.goneSince = now
		}
	}
	slices.SortFunc(fresh, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	for _, n := range fresh {
		if old := c.takeOver(n); old != "" {
			delete(c.slots, old)
		}
	}
	for name, p := range c.slots {
		if p.goneSince > 0 && now-p.goneSince > SlotGrace {
			delete(c.slots, name)
		}
	}
	for _, n := range nodes {
		if c.slots[n.Name] == nil {
			c.slots[n.Name] = &slot{Node: n}
		}
	}
	c.nodes = listed
	var stores []cells.Store
	for _, name := range slices.Sorted(maps.Keys(c.slots)) {
		p := c.slots[name]
		stores = append(stores, cells.Store{Name: name, Zone: p.Zone, Set: p.Set})
	}
	clear(c.permittedByVersion)
	in = append(in, cells.StoresChanged{Stores: stores})
	return append(in, c.Reevaluate()...)
}

// takeOver returns the gone node whose slot a new node takes over: of the same set, preferably of the same zone, the one
// gone longest. It returns "" if there is none.
func (c *Admission) takeOver(n Node) (old string) {
	best := 0.0
	for _, name := range slices.Sorted(maps.Keys(c.slots)) {
		p := c.slots[name]
		if p.goneSince == 0 || p.Set != n.Set {
			continue
		}
		rank := 1e15 - p.goneSince
		if p.Zone == n.Zone {
			rank += 1e15
		}
		if rank > best {
			best, old = rank, name
		}
	}
	return old
}

// Reevaluate determines which cells have lost their stores, and returns which may take more tenants. Call it after
// StoresChanged took effect, and periodically, since nodes warm up without a new list.
func (c *Admission) Reevaluate() (in []cells.Input) {
	for _, cell := range c.moves.Map.Names() {
		_, c.lost[cell] = c.moves.Map.Lost(cell, func(s string) bool { return c.nodes[s].Ready })
		_, cold := c.moves.Map.Lost(cell, func(s string) bool { return c.nodes[s].Ready && !c.nodes[s].Cold })
		in = append(in, cells.CellWarm{Cell: cell, OK: !cold})
	}
	return in
}

// Admit decides on a scan. ScanEnded must be called for each admitted scan.
func (c *Admission) Admit(now float64, tenant string, a quota.Request) Verdict {
	m := c.moves.Map
	v := Verdict{Cell: m.CellOf(tenant), Version: m.Version}
	k := c.counts[v.Cell]
	if k == nil {
		k = &Counts{}
		c.counts[v.Cell] = k
	}
	if c.lost[v.Cell] {
		k.Lost++
		v.Reason, v.RetryAfter = "the cell has lost most of its stores", lostRetryAfter
		return v
	}
	if q := c.limits.Admit(now, v.Cell, tenant, a); q.Reason != quota.Admitted {
		k.Refused++
		v.Reason, v.RetryAfter = q.Reason.String(), q.RetryAfter
		return v
	}
	k.Admitted++
	c.open[v.Version]++
	v.Admitted, v.Permitted = true, c.permitted(v.Version, v.Cell)
	return v
}

// permitted returns the nodes of a cell at the current version. The set is built once for all scans.
func (c *Admission) permitted(version uint64, cell string) map[int64]bool {
	byCell := c.permittedByVersion[version]
	if byCell == nil {
		for old := range c.permittedByVersion {
			delete(c.permittedByVersion, old) // sets of older versions are kept by their scans
		}
		byCell = map[string]map[int64]bool{}
		c.permittedByVersion[version] = byCell
	}
	if byCell[cell] == nil {
		set := map[int64]bool{}
		for s := range c.moves.Map.Stores(cell) {
			if n, listed := c.nodes[s]; listed {
				set[n.Number] = true
			}
		}
		byCell[cell] = set
	}
	return byCell[cell]
}

// ScanEnded records the end of an admitted scan and returns inputs for the moves.
func (c *Admission) ScanEnded(now float64, v Verdict, tenant string, a quota.Request, took float64) (in []cells.Input) {
	c.limits.ScanEnded(now, v.Cell, tenant, a, took)
	if c.open[v.Version]--; c.open[v.Version] <= 0 {
		delete(c.open, v.Version)
	}
	return []cells.Input{cells.ScanEnded{Version: v.Version}}
}

// LostCells returns the names of the cells that refuse scans since they lost their stores.
func (c *Admission) LostCells() (names []string) {
	for cell, lost := range c.lost {
		if lost {
			names = append(names, cell)
		}
	}
	slices.Sort(names)
	return names
}

// Counts returns the counters of a cell.
func (c *Admission) Counts(cell string) Counts {
	if k := c.counts[cell]; k != nil {
		return *k
	}
	return Counts{}
}
