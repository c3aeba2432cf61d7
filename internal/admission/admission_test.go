package admission

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/internal/cells"
	"gullstair/internal/quota"
)

func half() float64 { return 0.5 }

// newTestFleet returns two sets of six stores in three zones, and four cells with two holders of each set.
func newTestFleet(t *testing.T) (*Admission, *cells.Moves, []Node) {
	plan := cells.Plan{Holders: 2, MinHolderShare: 0.6}
	limits := map[string]quota.Limits{}
	for i := range 4 {
		name := fmt.Sprint("cell-", i)
		plan.Cells = append(plan.Cells, cells.Cell{Name: name})
		limits[name] = quota.Limits{Open: 10}
	}
	var nodes []Node
	var stores []cells.Store
	for i := range 12 {
		n := Node{Number: int64(100 + i), Name: fmt.Sprintf("s-%02d", i), Zone: fmt.Sprint("z", i/2%3), Set: i % 2, Ready: true}
		nodes = append(nodes, n)
		stores = append(stores, cells.Store{Name: n.Name, Zone: n.Zone, Set: n.Set})
	}
	moves, err := cells.NewMoves(plan, stores, 2, nil, nil)
	require.NoError(t, err)
	c := New(plan, 2, moves, quota.New(100, 1000, limits, half))
	moves.Step(0, c.ApplyList(1, nodes))
	return c, moves, nodes
}

func tenantOf(m *cells.Map, cell string) string {
	for i := 0; ; i++ {
		if t := fmt.Sprint("t", i); m.CellOf(t) == cell {
			return t
		}
	}
}

func TestScanUsesOnlyItsCell(t *testing.T) {
	c, moves, nodes := newTestFleet(t)
	for _, cell := range moves.Map.Names() {
		v := c.Admit(1, tenantOf(moves.Map, cell), quota.Request{Work: 10})
		require.True(t, v.Admitted, v.Reason)
		assert.Len(t, v.Permitted, 4, "two holders of each of two sets")
		for _, n := range nodes {
			assert.Equal(t, moves.Map.Stores(cell)[n.Name], v.Permitted[n.Number], n.Name)
		}
	}
}

// A tenant with unlimited demand fills only its own cell; the tenants of the other cells are served.
func TestOneAbuser(t *testing.T) {
	c, moves, _ := newTestFleet(t)
	bad := tenantOf(moves.Map, "cell-1")
	refused := 0
	for range 1000 {
		if v := c.Admit(1, bad, quota.Request{Work: 10}); !v.Admitted {
			refused++
			assert.Positive(t, v.RetryAfter)
		}
	}
	assert.Equal(t, 990, refused)
	for _, cell := range []string{"cell-0", "cell-2", "cell-3"} {
		for range 10 {
			assert.True(t, c.Admit(2, tenantOf(moves.Map, cell), quota.Request{Work: 10}).Admitted, cell)
		}
		assert.Zero(t, c.Counts(cell).Refused)
	}
}

// A cell that has lost too many holders of a set refuses scans; none go to other stores. It admits scans again once the
// holders are back.
func TestALostCellRefuses(t *testing.T) {
	c, moves, nodes := newTestFleet(t)
	gone := moves.Map.Holders("cell-2", 1)[0]
	for i := range nodes {
		nodes[i].Ready = nodes[i].Name != gone
	}
	moves.Step(1, c.ApplyList(1, nodes))
	v := c.Admit(2, tenantOf(moves.Map, "cell-2"), quota.Request{Work: 10})
	assert.False(t, v.Admitted)
	assert.Equal(t, 1000.0, v.RetryAfter)
	assert.Contains(t, c.LostCells(), "cell-2")
	for _, cell := range moves.Map.Names() {
		assert.Equal(t, !moves.Map.Stores(cell)[gone], c.Admit(2, tenantOf(moves.Map, cell), quota.Request{Work: 10}).Admitted, cell)
	}
	for i := range nodes {
		nodes[i].Ready = true
	}
	moves.Step(3, c.ApplyList(1, nodes))
	assert.True(t, c.Admit(4, tenantOf(moves.Map, "cell-2"), quota.Request{Work: 10}).Admitted)
}

// A gone store keeps its slot, so that its cells do not spill onto other stores, until a new store of its set takes the
// slot over or SlotGrace passes.
func TestSlotsOfGoneNodes(t *testing.T) {
	c, moves, nodes := newTestFleet(t)
	gone := moves.Map.Holders("cell-2", 1)[0]
	var left []Node
	var old Node
	for _, n := range nodes {
		if n.Name == gone {
			old = n
		} else {
			left = append(left, n)
		}
	}
	before := fmt.Sprint(moves.Map.Holders("cell-2", 1))
	moves.Step(2, c.ApplyList(1000, left))
	assert.Equal(t, before, fmt.Sprint(moves.Map.Holders("cell-2", 1)))
	assert.Contains(t, c.LostCells(), "cell-2")
	replacement := old
	replacement.Name, replacement.Number = "new", 500
	moves.Step(3, c.ApplyList(2000, append(left, replacement)))
	assert.NotContains(t, moves.Map.Holders("cell-2", 1), gone)
	moves.Step(4, c.ApplyList(3000, append(left, replacement)))
	assert.NotContains(t, c.LostCells(), "cell-2", "%v", moves.Map.Holders("cell-2", 1))
	moves.Step(5, c.ApplyList(4000, left))
	moves.Step(6, c.ApplyList(4000+SlotGrace+1, left))
	moves.Step(7, c.Reevaluate())
	assert.Empty(t, c.LostCells(), "no new store: the slot is freed after SlotGrace")
}

// A move while a scan is open: the scan keeps its cell and nodes, later scans use the new cell, and the move is done when
// the first scan has ended. A cell whose stores are cold takes no tenants.
func TestMoveDuringAScan(t *testing.T) {
	c, moves, nodes := newTestFleet(t)
	tenant := tenantOf(moves.Map, "cell-0")
	for i := range nodes {
		nodes[i].Cold = moves.Map.Stores("cell-3")[nodes[i].Name]
	}
	run := func(now float64, in ...cells.Input) {
		for len(in) > 0 {
			var next []cells.Input
			for _, o := range moves.Step(now, in) {
				if w, is := o.(cells.Write); is {
					next = append(next, cells.Written{Upto: w.Number})
				}
			}
			in = next
		}
	}
	run(1, c.ApplyList(1, nodes)...)
	first := c.Admit(2, tenant, quota.Request{Work: 10})
	run(2, cells.ScanStarted{Version: first.Version}, cells.BeginMove{ID: "m", To: "cell-3", Tenants: []string{tenant}})
	assert.Equal(t, cells.Warming, moves.List()[0].State)
	for i := range nodes {
		nodes[i].Cold = false
	}
	run(3, c.ApplyList(1, nodes)...)
	assert.Equal(t, cells.Switched, moves.List()[0].State)
	second := c.Admit(4, tenant, quota.Request{Work: 10})
	assert.Equal(t, "cell-0", first.Cell)
	assert.Equal(t, "cell-3", second.Cell)
	assert.Greater(t, second.Version, first.Version)
	assert.NotEqual(t, first.Permitted, second.Permitted)
	run(5, cells.ScanStarted{Version: second.Version})
	run(6, c.ScanEnded(6, first, tenant, quota.Request{Work: 10}, 100)...)
	assert.Equal(t, cells.Done, moves.List()[0].State)
}
