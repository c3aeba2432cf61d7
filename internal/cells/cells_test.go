package cells

import (
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func stores(sets, each int) (all []Store) {
	for i := range sets * each {
		all = append(all, Store{fmt.Sprintf("s-%03d", i), fmt.Sprint("z", i/sets%3), i % sets})
	}
	return all
}

func plan(cells, holders int) Plan {
	p := Plan{Holders: holders, MinHolderShare: 0.5}
	for i := range cells {
		p.Cells = append(p.Cells, Cell{fmt.Sprint("cell-", i), 1})
	}
	return p
}

// Every cell can serve every shard, with holders spread over zones, for any stores and cells; the same input gives the
// same map.
func TestEveryCellHoldsEveryShard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sets, each := rapid.IntRange(1, 6).Draw(t, "sets"), rapid.IntRange(1, 7).Draw(t, "each")
		holders := rapid.IntRange(1, 4).Draw(t, "holders")
		p := plan(rapid.IntRange(1, 8).Draw(t, "cells"), holders)
		list := stores(sets, each)
		m, err := Build(1, p, list, sets, nil)
		if err != nil {
			t.Fatal(err)
		}
		again, _ := Build(1, p, list, sets, nil)
		zone := map[string]string{}
		for _, s := range list {
			zone[s.Name] = s.Zone
		}
		for _, c := range m.Names() {
			for set := range sets {
				got := m.Holders(c, set)
				if len(got) != min(holders, each) {
					t.Fatalf("%s has %v of set %d", c, got, set)
				}
				if fmt.Sprint(got) != fmt.Sprint(again.Holders(c, set)) {
					t.Fatalf("not the same map")
				}
				zones := map[string]bool{}
				for _, s := range got {
					zones[zone[s]] = true
				}
				if len(zones) < min(len(got), min(3, each)) {
					t.Fatalf("%s: %v of set %d are in %d zones", c, got, set, len(zones))
				}
			}
		}
	})
}

func TestRemovedStoreChangesOnlyItsSlots(t *testing.T) {
	list := stores(4, 6)
	before, err := Build(1, plan(12, 2), list, 4, nil)
	require.NoError(t, err)
	gone := list[9]
	after, err := Build(2, plan(12, 2), append(append([]Store{}, list[:9]...), list[10:]...), 4, before)
	require.NoError(t, err)
	for _, c := range before.Names() {
		was, is := before.Stores(c), after.Stores(c)
		lost := 0
		for s := range was {
			if !is[s] {
				lost++
			}
		}
		if was[gone.Name] {
			assert.LessOrEqual(t, lost, 2, "%s: the gone store, and one more for the spread over zones", c)
		} else {
			assert.True(t, maps.Equal(was, is), "%s has not changed", c)
		}
	}
}

func TestTenants(t *testing.T) {
	p := plan(4, 2)
	p.Pins = map[string]string{"vip": "cell-3"}
	p.Cells[0].Weight = 3
	m, err := Build(5, p, stores(2, 6), 2, nil)
	require.NoError(t, err)
	count := map[string]int{}
	for i := range 6000 {
		count[m.CellOf(fmt.Sprint("t", i))]++
	}
	assert.InDelta(t, 3000, count["cell-0"], 150, "weight 3 of 6")
	assert.InDelta(t, 1000, count["cell-1"], 120)
	assert.Equal(t, "cell-3", m.CellOf("vip"))
	to := "cell-1"
	if m.CellOf("t1") == to {
		to = "cell-2"
	}
	moved, err := m.Move(6, to, "t1", "vip")
	require.NoError(t, err)
	assert.Equal(t, to, moved.CellOf("t1"))
	assert.Equal(t, to, moved.CellOf("vip"), "a move overrides a pin")
	assert.Equal(t, "cell-3", m.CellOf("vip"), "the old map does not change")
	later, err := Build(7, p, stores(2, 5), 2, moved)
	require.NoError(t, err)
	assert.Equal(t, to, later.CellOf("t1"), "moves survive a new list")
	fewer := p
	fewer.Cells, fewer.Pins = []Cell{{Name: "cell-0"}}, nil
	later, err = Build(8, fewer, stores(2, 5), 2, moved)
	require.NoError(t, err)
	assert.Equal(t, "cell-0", later.CellOf("t1"), "its cell no longer exists")
	p.Default, p.Pins = "cell-2", nil
	m, err = Build(9, p, stores(2, 6), 2, nil)
	require.NoError(t, err)
	assert.Equal(t, "cell-2", m.CellOf("anybody"))
}

func TestInvalidPlans(t *testing.T) {
	list := stores(2, 3)
	for name, c := range map[string]struct {
		do   func(p *Plan, s *[]Store)
		want string
	}{
		"no cell":         {func(p *Plan, _ *[]Store) { p.Cells = nil }, "no cell is defined"},
		"twice":           {func(p *Plan, _ *[]Store) { p.Cells = append(p.Cells, p.Cells[0]) }, "is used twice"},
		"no default":      {func(p *Plan, _ *[]Store) { p.Default = "x" }, `default cell "x"`},
		"no pin":          {func(p *Plan, _ *[]Store) { p.Pins = map[string]string{"t": "x"} }, `pinned to cell "x"`},
		"no such set":     {func(_ *Plan, s *[]Store) { (*s)[0].Set = 9 }, "is of set 9"},
		"a set is empty":  {func(_ *Plan, s *[]Store) { *s = (*s)[:1] }, "has no store of set 1"},
		"no store at all": {func(_ *Plan, s *[]Store) { *s = nil }, "has no store of set 0"},
	} {
		p, s := plan(2, 2), append([]Store{}, list...)
		c.do(&p, &s)
		_, err := Build(1, p, s, 2, nil)
		assert.ErrorContains(t, err, c.want, name)
	}
	m, err := Build(3, plan(2, 2), list, 2, nil)
	require.NoError(t, err)
	_, err = m.Move(3, "cell-0", "t")
	assert.ErrorContains(t, err, "does not follow")
	_, err = m.Move(4, "nowhere", "t")
	assert.ErrorContains(t, err, "no cell")
}

// A cell that has lost half or more of the holders of a set refuses scans; other cells are not affected unless they share
// those stores.
func TestLost(t *testing.T) {
	m, err := Build(1, plan(10, 3), stores(3, 9), 3, nil)
	require.NoError(t, err)
	down := map[string]bool{}
	up := func(s string) bool { return !down[s] }
	for _, s := range m.Holders("cell-4", 1)[:1] {
		down[s] = true
	}
	_, lost := m.Lost("cell-4", up)
	assert.False(t, lost, "two of three are left")
	down[m.Holders("cell-4", 1)[1]] = true
	set, lost := m.Lost("cell-4", up)
	assert.True(t, lost)
	assert.Equal(t, 1, set)
	for _, c := range m.Names() {
		gone := 0
		for s := range down {
			if m.Stores(c)[s] {
				gone++
			}
		}
		_, lost := m.Lost(c, up)
		assert.Equal(t, gone == 2, lost, "%s has %d of them", c, gone)
	}
	_, lost = m.Lost("nowhere", up)
	assert.True(t, lost)
}

func TestOverlap(t *testing.T) {
	assert.Equal(t, 10.0, Combinations(5, 2))
	m, err := Build(1, plan(20, 2), stores(1, 12), 1, nil)
	require.NoError(t, err)
	var tenants []string
	for i := range 2000 {
		tenants = append(tenants, fmt.Sprint("t", i))
	}
	o := m.Overlap(tenants)
	assert.InDelta(t, 0.05, o.SameCell, 0.005, "one in twenty")
	assert.Less(t, o.AllStores, 0.06)
	assert.InDelta(t, 0.17, o.MeanShared, 0.08, "2 of 12")
}

const many = 100000

// Compares the persistent map with a plain map that is copied for each move, at 100,000 moved tenants.
func BenchmarkMove(b *testing.B) {
	b.Run("persistent", func(b *testing.B) {
		m, err := Build(1, plan(20, 2), stores(2, 6), 2, nil)
		require.NoError(b, err)
		var all []string
		for i := range many {
			all = append(all, fmt.Sprint("tenant-", i))
		}
		m, err = m.Move(2, "cell-1", all...)
		require.NoError(b, err)
		b.ResetTimer()
		for i := range b.N {
			if _, err := m.Move(3, "cell-2", all[i%many]); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("copied", func(b *testing.B) {
		m := map[string]int{}
		for i := range many {
			m[fmt.Sprint("tenant-", i)] = 1
		}
		b.ResetTimer()
		for i := range b.N {
			fresh := maps.Clone(m)
			fresh[fmt.Sprint("tenant-", i%many)] = 2
		}
	})
}

func BenchmarkOf(b *testing.B) {
	m, err := Build(1, plan(20, 2), stores(2, 6), 2, nil)
	require.NoError(b, err)
	var all []string
	for i := range many {
		all = append(all, fmt.Sprint("tenant-", i))
	}
	m, err = m.Move(2, "cell-1", all...)
	require.NoError(b, err)
	plain := map[string]int{}
	for _, t := range all {
		plain[t] = 1
	}
	b.Run("persistent", func(b *testing.B) {
		for i := range b.N {
			m.index(all[i%many])
		}
	})
	b.Run("plain", func(b *testing.B) {
		for i := range b.N {
			_ = plain[all[i%many]]
		}
	})
}
