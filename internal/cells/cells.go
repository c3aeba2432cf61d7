// Package cells maps tenants to cells and cells to stores. A Map is a versioned, immutable snapshot: a scan keeps the map
// with which it started. The package does no I/O and reads no clock; the same input gives the same map on every broker.
//
// Cells are built by shuffle sharding: each cell gets a few holders of each shard, picked by rendezvous hashing and spread
// over zones. Thus every cell can serve every scan, two cells rarely share all their stores, and a store that joins or
// leaves changes only its own assignments.
package cells

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// Store is a store. Set is the number of the set of stores that hold the same shards.
type Store struct {
	Name, Zone string
	Set        int
}

// Plan is the configuration from which a Map is built.
type Plan struct {
	Cells          []Cell
	Holders        int               // number of stores of each set in a cell, if the set has that many
	Default        string            // the cell of tenants without a pin; "" spreads them over all cells by weight
	Pins           map[string]string // tenants that are assigned to a fixed cell
	MinHolderShare float64           // share of a cell's holders of a set that must be up; below it the cell refuses scans
}

// Cell is a cell with its weight in the distribution of tenants.
type Cell struct {
	Name   string
	Weight float64
}

// Map is an immutable assignment of tenants to cells and of stores to cells. It is safe for concurrent use.
type Map struct {
	Version uint64
	plan    Plan
	cells   []*cellStores
	byName  map[string]int
	moved   *iradix.Tree[int] // tenants that were moved away from the cell of the plan
	sets    int
}

type cellStores struct {
	Cell
	bySet  [][]string
	stores map[string]bool
}

// MissingStoreError reports a cell that cannot be built because a set has no store.
type MissingStoreError struct {
	Cell string
	Set  int
}

func (u *MissingStoreError) Error() string {
	return fmt.Sprintf("cell %q has no store of set %d: scans for its shards could not be served", u.Cell, u.Set)
}

func score(cell, store string, set int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%d\x00%s", cell, set, store))
}

// Build builds a map from a plan, over sets numbered from 0. Tenants that were moved in old keep their cells as long as
// these exist. Old may be nil.
func Build(version uint64, plan Plan, stores []Store, sets int, old *Map) (*Map, error) {
	if len(plan.Cells) == 0 {
		return nil, fmt.Errorf("cells: no cell is defined")
	}
	plan.Holders = max(1, plan.Holders)
	m := &Map{Version: version, plan: plan, byName: map[string]int{}, moved: iradix.New[int](), sets: sets}
	bySet := make([][]Store, sets)
	for _, s := range stores {
		if s.Set < 0 || s.Set >= sets {
			return nil, fmt.Errorf("cells: store %q is of set %d, but there are %d sets", s.Name, s.Set, sets)
		}
		bySet[s.Set] = append(bySet[s.Set], s)
	}
	for i, c := range plan.Cells {
		if _, twice := m.byName[c.Name]; twice || c.Name == "" {
			return nil, fmt.Errorf("cells: cell name %q is used twice or empty", c.Name)
		}
		c.Weight = cmp.Or(max(0, c.Weight), 1)
		m.byName[c.Name] = i
		k := &cellStores{Cell: c, bySet: make([][]string, sets), stores: map[string]bool{}}
		for set, list := range bySet {
			if k.bySet[set] = pickHolders(c.Name, set, list, plan.Holders); len(k.bySet[set]) == 0 {
				return nil, &MissingStoreError{c.Name, set}
			}
			for _, name := range k.bySet[set] {
				k.stores[name] = true
			}
		}
		m.cells = append(m.cells, k)
	}
	if _, there := m.byName[plan.Default]; plan.Default != "" && !there {
		return nil, fmt.Errorf("cells: the default cell %q is not defined", plan.Default)
	}
	for tenant, cell := range plan.Pins {
		if _, there := m.byName[cell]; !there {
			return nil, fmt.Errorf("cells: tenant %q is pinned to cell %q, which is not defined", tenant, cell)
		}
	}
	if old != nil {
		txn := m.moved.Txn()
		old.moved.Root().Walk(func(tenant []byte, at int) bool {
			if i, there := m.byName[old.cells[at].Name]; there {
				txn.Insert(tenant, i)
			}
			return false
		})
		m.moved = txn.Commit()
	}
	return m, nil
}

// pickHolders picks a cell's holders of a set: the best by score, spread over as many zones as possible.
func pickHolders(cell string, set int, list []Store, most int) (names []string) {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b Store) int {
		return cmp.Or(cmp.Compare(score(cell, b.Name, set), score(cell, a.Name, set)), cmp.Compare(a.Name, b.Name))
	})
	used := map[string]int{}
	for round := 0; len(names) < min(most, len(list)); round++ {
		for _, s := range list {
			if used[s.Zone] == round && len(names) < most && !slices.Contains(names, s.Name) {
				names = append(names, s.Name)
				used[s.Zone]++
			}
		}
		for zone := range used {
			used[zone] = max(used[zone], round+1)
		}
	}
	return names
}

// CellOf returns the cell of a tenant.
func (m *Map) CellOf(tenant string) string { return m.cells[m.index(tenant)].Name }

func (m *Map) index(tenant string) int {
	if at, moved := m.moved.Get([]byte(tenant)); moved {
		return at
	}
	if cell, pinned := m.plan.Pins[tenant]; pinned {
		return m.byName[cell]
	}
	if m.plan.Default != "" {
		return m.byName[m.plan.Default]
	}
	best, top := 0, -1.0
	for i, c := range m.cells {
		u := (float64(score(c.Name, tenant, -1)>>11) + 0.5) / (1 << 53)
		if s := -c.Weight / math.Log(u); s > top {
			best, top = i, s
		}
	}
	return best
}

// Stores returns the stores that a cell may use. The result is read-only.
func (m *Map) Stores(cell string) map[string]bool {
	if i, there := m.byName[cell]; there {
		return m.cells[i].stores
	}
	return nil
}

// Holders returns a cell's stores of a set, the best first.
func (m *Map) Holders(cell string, set int) []string {
	if i, there := m.byName[cell]; there && set >= 0 && set < m.sets {
		return m.cells[i].bySet[set]
	}
	return nil
}

// Names returns the names of the cells in the order of the plan.
func (m *Map) Names() (all []string) {
	for _, c := range m.cells {
		all = append(all, c.Name)
	}
	return all
}

// Move returns a new map in which the tenants belong to a cell; m does not change.
func (m *Map) Move(version uint64, cell string, tenants ...string) (*Map, error) {
	to, there := m.byName[cell]
	if !there {
		return nil, fmt.Errorf("cells: there is no cell %q", cell)
	}
	if version <= m.Version {
		return nil, fmt.Errorf("cells: version %d does not follow %d", version, m.Version)
	}
	fresh := *m
	fresh.Version = version
	txn := m.moved.Txn()
	for _, t := range tenants {
		txn.Insert([]byte(t), to)
	}
	fresh.moved = txn.Commit()
	return &fresh, nil
}

// MovedTenants returns the current cell of each tenant that was moved.
func (m *Map) MovedTenants() map[string]string {
	all := map[string]string{}
	m.moved.Root().Walk(func(tenant []byte, at int) bool {
		all[string(tenant)] = m.cells[at].Name
		return false
	})
	return all
}

// MovedCount returns the number of moved tenants.
func (m *Map) MovedCount() int { return m.moved.Len() }

// Lost reports whether a cell has lost so many holders of some set that it must refuse scans, and which set. Up reports
// whether a store accepts work. Load never spills onto stores of other cells.
func (m *Map) Lost(cell string, up func(store string) bool) (set int, lost bool) {
	i, there := m.byName[cell]
	if !there {
		return -1, true
	}
	for set, holders := range m.cells[i].bySet {
		n := 0
		for _, s := range holders {
			if up(s) {
				n++
			}
		}
		if n == 0 || float64(n) < m.plan.MinHolderShare*float64(len(holders)) {
			return set, true
		}
	}
	return 0, false
}

// Overlap measures how isolated the cells of a map are from each other.
type Overlap struct {
	Combinations float64 // number of ways to pick the stores of one cell
	SameCell     float64 // share of pairs of tenants in one cell
	AnyStore     float64 // share of pairs of cells that have some store in common
	AllStores    float64 // share of pairs of cells that have all stores in common
	MeanShared   float64 // mean share of a cell's stores that another cell also has
}

// Overlap computes the overlap of the cells for some tenants.
func (m *Map) Overlap(tenants []string) (o Overlap) {
	o.Combinations = 1
	count := make([]float64, len(m.cells))
	for _, t := range tenants {
		count[m.index(t)]++
	}
	n := float64(len(tenants))
	for _, c := range count {
		if n > 1 {
			o.SameCell += c * (c - 1) / (n * (n - 1))
		}
	}
	pairs := 0.0
	for i, a := range m.cells {
		for _, b := range m.cells[i+1:] {
			shared := 0
			for s := range a.stores {
				if b.stores[s] {
					shared++
				}
			}
			pairs++
			if shared > 0 {
				o.AnyStore++
			}
			if shared == len(a.stores) && shared == len(b.stores) {
				o.AllStores++
			}
			o.MeanShared += float64(shared) / float64(max(1, len(a.stores)))
		}
	}
	if pairs > 0 {
		o.AnyStore, o.AllStores, o.MeanShared = o.AnyStore/pairs, o.AllStores/pairs, o.MeanShared/pairs
	}
	return o
}

// Combinations returns the binomial coefficient n over of.
func Combinations(n, of int) float64 {
	x := 1.0
	for i := range min(of, n) {
		x *= float64(n-i) / float64(i+1)
	}
	return math.Round(x)
}
