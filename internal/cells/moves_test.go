package cells

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// bench drives moves with a log in memory: what is in lasting survives a crash.
type bench struct {
	v       *Moves
	lasting [][]byte
	now     float64
	maps    []*Map
	refused []Refused
	hold    bool // writes wait
	held    []Write
	warm    map[string]bool // as last told
	cold    []string        // moves that were decided to switch to a cell that was not warm
}

func newBench(t require.TestingT) *bench {
	b := &bench{}
	b.restart(t)
	return b
}

func (b *bench) restart(t require.TestingT) {
	v, err := NewMoves(plan(4, 2), stores(2, 6), 2, nil, b.lasting)
	require.NoError(t, err)
	b.v, b.held, b.warm = v, nil, map[string]bool{}
	b.maps = append(b.maps, v.Map)
}

func (b *bench) step(in ...Input) {
	b.now++
	for _, x := range in {
		if w, told := x.(Warm); told {
			b.warm[w.Cell] = w.OK
		}
	}
	for _, o := range b.v.Step(b.now, in) {
		switch x := o.(type) {
		case Write:
			// Here it is decided; when the record lasts the cell may have gone cold again, or a crash be long past.
			var r record
			if json.Unmarshal(x.Record, &r) == nil && r.Move.State == Switched && !r.Move.Back && r.Map > 0 && !b.warm[r.Move.To] {
				b.cold = append(b.cold, r.Move.ID)
			}
			b.held = append(b.held, x)
		case Use:
			b.maps = append(b.maps, x.Map)
		case Refused:
			b.refused = append(b.refused, x)
		}
	}
	if !b.hold {
		b.flush()
	}
}

func (b *bench) flush() {
	for len(b.held) > 0 {
		held := b.held
		b.held = nil
		for _, w := range held {
			b.lasting = append(b.lasting, w.Record)
		}
		b.step(Written{held[len(held)-1].Number})
	}
}

func (b *bench) state(id string) State {
	if m := b.v.moves[id]; m != nil {
		return m.State
	}
	return "unknown"
}

func TestMoveFromEndToEnd(t *testing.T) {
	b := newBench(t)
	old := b.v.Map
	was := old.Of("t1")
	to := "cell-0"
	if was == to {
		to = "cell-1"
	}
	b.step(ScanBegun{old.Version})
	b.step(Begin{ID: "m", Author: "ops", To: to, Tenants: []string{"t1"}})
	assert.Equal(t, Warming, b.state("m"), "the new cell's stores are cold yet")
	assert.Equal(t, was, b.v.Map.Of("t1"))
	b.step(Pause{"m"}, Warm{to, true})
	assert.Equal(t, Warming, b.state("m"), "it is paused")
	b.step(Resume{"m"})
	assert.Equal(t, Switched, b.state("m"), "a scan is open that began before")
	assert.Equal(t, to, b.v.Map.Of("t1"))
	assert.Equal(t, was, old.Of("t1"), "and goes on by its own map")
	b.step(Begin{ID: "n", To: was, Tenants: []string{"t1"}})
	assert.Contains(t, b.refused[0].Why, `move "m" has one of these tenants`)
	b.step(ScanBegun{b.v.Map.Version}, ScanEnded{old.Version})
	assert.Equal(t, Done, b.state("m"))
	b.step(Back{"m"})
	assert.Contains(t, b.refused[1].Why, "no such move under way")
	b.restart(t)
	assert.Equal(t, Done, b.state("m"))
	assert.Equal(t, to, b.v.Map.Of("t1"), "after a restart too")
	snap, err := b.v.Snapshot()
	require.NoError(t, err)
	again, err := NewMoves(plan(4, 2), stores(2, 6), 2, snap, nil)
	require.NoError(t, err)
	assert.Equal(t, to, again.Map.Of("t1"), "and from a snapshot")
}

func TestGoingBack(t *testing.T) {
	for _, switched := range []bool{false, true} {
		b := newBench(t)
		was := b.v.Map.Of("t1")
		to := "cell-0"
		if was == to {
			to = "cell-1"
		}
		first := b.v.Map.Version
		b.step(ScanBegun{first}, Warm{to, switched}, Begin{ID: "m", To: to, Tenants: []string{"t1"}})
		if switched {
			require.Equal(t, Switched, b.state("m"))
			b.step(ScanBegun{b.v.Map.Version})
		}
		in := b.v.Map.Version
		b.step(Back{"m"})
		assert.Equal(t, was, b.v.Map.Of("t1"))
		if switched {
			assert.Equal(t, Switched, b.state("m"), "scans are open there")
			b.step(ScanEnded{in}, ScanEnded{first})
		}
		assert.Equal(t, Undone, b.state("m"))
	}
}

// A switch that was decided while the cell was warm lasts, if its record does, though the crash that followed made all cells cold.
// A history's oracle once took that for a switch to a cold cell, since it looked at the cell when the record was read again.
func TestSwitchOutlastsACrash(t *testing.T) {
	b := newBench(t)
	to := "cell-0"
	if b.v.Map.Of("t1") == to {
		to = "cell-1"
	}
	b.step(Begin{ID: "m", To: to, Tenants: []string{"t1"}})
	b.hold = true
	b.step(Warm{to, true})
	require.Len(t, b.held, 1, "the switch is being written")
	assert.Equal(t, Warming, b.state("m"))
	b.step(Warm{to, false})
	b.lasting, b.hold = append(b.lasting, b.held[0].Record), false
	b.restart(t)
	assert.Equal(t, Switched, b.state("m"))
	assert.Equal(t, to, b.v.Map.Of("t1"))
	assert.Empty(t, b.cold)
}

func TestWithoutALog(t *testing.T) {
	b := newBench(t)
	b.step(LogLost{errors.New("no disk that lasts")}, Begin{ID: "m", To: "cell-1", Tenants: []string{"t1"}})
	require.Len(t, b.refused, 1)
	assert.Contains(t, b.refused[0].Why, "no disk that lasts")
	assert.Empty(t, b.v.List())
	for _, o := range []Begin{{ID: "", To: "cell-1", Tenants: []string{"t"}}, {ID: "x", To: "nowhere", Tenants: []string{"t"}}, {ID: "x", To: "cell-1"}} {
		k := newBench(t)
		k.step(o)
		assert.Len(t, k.refused, 1, "%+v", o)
	}
	_, err := NewMoves(plan(2, 1), stores(1, 2), 1, []byte("{"), nil)
	assert.ErrorContains(t, err, "snapshot")
	_, err = NewMoves(plan(2, 1), stores(1, 2), 1, nil, [][]byte{[]byte("[")})
	assert.ErrorContains(t, err, "record 0")
}

// Orders in any order, stores that come and go, and crashes at any moment, with what was being written there or not: maps
// grow in version, nothing switches to a cell that is not warm, no move is over while a scan is open that began before
// it, a restart brings back the states that last, and in the end every move is over with its tenants where it says.
func TestMoveHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(t)
		var open []uint64
		check := func() {
			for i := 1; i < len(b.maps); i++ {
				if b.maps[i].Version < b.maps[i-1].Version {
					t.Fatalf("version %d after %d", b.maps[i].Version, b.maps[i-1].Version)
				}
			}
			b.maps = b.maps[len(b.maps)-1:]
		}
		nth := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := fmt.Sprint("m", rapid.IntRange(0, max(0, nth-1)).Draw(t, "id"))
			before := map[string]State{}
			for _, m := range b.v.List() {
				before[m.ID] = m.State
			}
			switch rapid.SampledFrom([]string{"begin", "begin", "pause", "resume", "back", "warm", "scan", "end", "relist", "crash", "hold", "flush"}).Draw(t, "what") {
			case "begin":
				var some []string
				for range rapid.IntRange(1, 3).Draw(t, "tenants") {
					some = append(some, fmt.Sprint("t", rapid.IntRange(0, 9).Draw(t, "tenant")))
				}
				b.step(Begin{ID: fmt.Sprint("m", nth), To: fmt.Sprint("cell-", rapid.IntRange(0, 3).Draw(t, "to")), Tenants: some})
				nth++
			case "pause":
				b.step(Pause{id})
			case "resume":
				b.step(Resume{id})
			case "back":
				b.step(Back{id})
			case "warm":
				cell := fmt.Sprint("cell-", rapid.IntRange(0, 3).Draw(t, "cell"))
				b.step(Warm{cell, rapid.Bool().Draw(t, "ok")})
			case "scan":
				open = append(open, b.v.Map.Version)
				b.step(ScanBegun{b.v.Map.Version})
			case "end":
				if len(open) > 0 {
					b.step(ScanEnded{open[0]})
					open = open[1:]
				}
			case "relist":
				b.step(Relist{stores(2, rapid.IntRange(1, 7).Draw(t, "each"))})
			case "hold":
				b.hold = true
			case "flush":
				b.hold = false
				b.flush()
			case "crash":
				// Of what was being written a part lasts.
				for _, w := range b.held[:rapid.IntRange(0, len(b.held)).Draw(t, "lasts")] {
					b.lasting = append(b.lasting, w.Record)
				}
				open, b.hold = nil, false
				b.restart(t)
			}
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 && len(b.held) == 0 {
				snap, err := b.v.Snapshot()
				require.NoError(t, err)
				again, err := NewMoves(plan(4, 2), stores(2, 6), 2, snap, nil)
				require.NoError(t, err)
				for i := range 10 {
					if x, y := again.Map.Of(fmt.Sprint("t", i)), b.v.Map.Of(fmt.Sprint("t", i)); x != y {
						t.Fatalf("t%d is in %s by the snapshot, in %s by the records", i, x, y)
					}
				}
			}
			for _, m := range b.v.List() {
				if was := before[m.ID]; was != "" && !was.Over() && m.State.Over() && m.Version > 0 {
					for _, at := range open {
						if at < m.Version {
							t.Fatalf("%s is over while a scan of version %d is open", m.ID, at)
						}
					}
				}
			}
			if len(b.cold) > 0 {
				t.Fatalf("%v switched to a cell that is cold", b.cold)
			}
			check()
		}
		b.hold = false
		b.flush()
		for len(open) > 0 {
			b.step(ScanEnded{open[0]})
			open = open[1:]
		}
		for i := range 4 {
			b.step(Warm{fmt.Sprint("cell-", i), true})
		}
		for _, m := range b.v.List() {
			if m.Paused {
				b.step(Resume{m.ID})
			}
		}
		b.step()
		where := map[string]string{}
		for _, m := range b.v.List() {
			if !m.State.Over() {
				t.Fatalf("%+v is not over", m)
			}
			for tenant, was := range m.Was {
				if m.State == Done {
					where[tenant] = m.To
				} else {
					where[tenant] = was
				}
			}
		}
		for tenant, cell := range where {
			if got := b.v.Map.Of(tenant); got != cell {
				t.Fatalf("%s is in %s, its last move says %s: %+v", tenant, got, cell, b.v.List())
			}
		}
	})
}
