package cells

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// State is the state of a move.
type State string

const (
	Planned  State = "planned"  // ordered and written to the log
	Warming  State = "warming"  // waits until the stores of the new cell are warm
	Switched State = "switched" // new scans use the new cell; scans that started before stay in the old one
	Done     State = "done"     // no scan is open in the old cell
	Reverted State = "undone"   // the move was reverted, and no scan is open in the new cell
)

// Finished reports whether a move has ended.
func (s State) Finished() bool { return s == Done || s == Reverted }

// Move is a move of tenants to a cell. It is stored as JSON under its field names.
type Move struct {
	ID      string
	Author  string
	To      string
	Was     map[string]string // the cell of each tenant before the move
	State   State
	Paused  bool
	Back    bool    // the move is being reverted
	Version uint64  // of the map that switched the tenants, or switched them back
	Since   float64 // time of the last state change; wall clock in ms
}

// Tenants returns the tenants of a move, sorted.
func (m *Move) Tenants() []string { return slices.Sorted(maps.Keys(m.Was)) }

// Input is an input of Moves: BeginMove, Pause, Resume, Revert, Written, LogLost, CellWarm, ScanStarted, ScanEnded or
// StoresChanged.
type Input any

// BeginMove orders a move.
type BeginMove struct {
	ID, Author, To string
	Tenants        []string
}

// Pause stops the progress of a move, Resume continues it, and Revert moves the tenants back.
type (
	Pause  struct{ ID string }
	Resume struct{ ID string }
	Revert struct{ ID string }
)

// Written reports that all records up to this number are durable.
type Written struct{ Upto uint64 }

// LogLost reports that the log has failed or that there is none. Changes that are not durable do not take effect.
type LogLost struct{ Err error }

// CellWarm reports whether the stores of a cell may take more tenants: they are up and past their cold time.
type CellWarm struct {
	Cell string
	OK   bool
}

// ScanStarted and ScanEnded report scans by the version of the map that they use.
type (
	ScanStarted struct{ Version uint64 }
	ScanEnded   struct{ Version uint64 }
)

// StoresChanged replaces the stores: the map is rebuilt and moved tenants keep their cells.
type StoresChanged struct{ Stores []Store }

// Output is an output of Moves: Write, UseMap or Refused.
type Output any

// Write is a record to append to the durable log; Written must follow with its number.
type Write struct {
	Number uint64
	Record []byte
}

// UseMap is the map for new scans from now on.
type UseMap struct{ Map *Map }

// Refused reports why an order was rejected.
type Refused struct{ ID, Why string }

const (
	maxOpenMoves      = 64  // maximum number of unfinished moves
	maxFinishedMoves  = 256 // finished moves that are kept for display
	maxTenantsPerMove = 10000
)

// record is one state change in the log. It is stored as JSON under its field names.
type record struct {
	Move Move
	Map  uint64 // the version of the map from this record on; 0 if it does not change
}

// Moves is the state machine of all moves. It does no I/O. A decision takes effect once its record is durable: after a
// crash each move is in its previous state or in the next one, and a restart continues from there. A scan is never moved:
// it completes on the map with which it started.
type Moves struct {
	Map    *Map
	plan   Plan
	sets   int
	stores []Store

	moves   map[string]*Move
	order   []string
	warm    map[string]bool
	open    map[uint64]int // number of open scans by map version
	number  uint64
	pending map[uint64]record // records that are being written and not yet known to be durable
	writing map[string]bool   // moves with a pending record
	logErr  error
	now     float64
	out     []Output
}

// NewMoves returns the moves of a plan and its stores, restored from a snapshot and the log records after it.
func NewMoves(plan Plan, stores []Store, sets int, snapshot []byte, records [][]byte) (*Moves, error) {
	v := &Moves{plan: plan, sets: sets, stores: stores, moves: map[string]*Move{}, warm: map[string]bool{}, open: map[uint64]int{},
		pending: map[uint64]record{}, writing: map[string]bool{}}
	m, err := Build(1, plan, stores, sets, nil)
	if err != nil {
		return nil, err
	}
	v.Map = m
	if snapshot != nil {
		if err := v.restore(snapshot); err != nil {
			return nil, err
		}
	}
	for i, b := range records {
		var r record
		if err := json.Unmarshal(b, &r); err != nil {
			return nil, fmt.Errorf("cells: decode record %d: %w", i, err)
		}
		v.apply(r)
	}
	return v, nil
}

// storedSnapshot is a snapshot in JSON. It holds the cells of moved tenants, since finished moves are dropped eventually.
type storedSnapshot struct {
	Version uint64
	Where   map[string]string
	Moves   []Move
}

// Snapshot returns a snapshot that replaces all records so far.
func (v *Moves) Snapshot() ([]byte, error) {
	k := storedSnapshot{Version: v.Map.Version, Where: v.Map.MovedTenants()}
	for _, id := range v.order {
		k.Moves = append(k.Moves, *v.moves[id])
	}
	return json.Marshal(k)
}

func (v *Moves) restore(snapshot []byte) error {
	var k storedSnapshot
	if err := json.Unmarshal(snapshot, &k); err != nil {
		return fmt.Errorf("cells: decode snapshot: %w", err)
	}
	v.placeTenants(k.Where)
	v.renumber(k.Version)
	for _, m := range k.Moves {
		v.apply(record{Move: m})
	}
	return nil
}

// placeTenants moves tenants to cells; tenants whose cell no longer exists stay in the cell of the plan.
func (v *Moves) placeTenants(where map[string]string) {
	to := map[string][]string{}
	for _, t := range slices.Sorted(maps.Keys(where)) {
		to[where[t]] = append(to[where[t]], t)
	}
	for _, cell := range slices.Sorted(maps.Keys(to)) {
		if next, err := v.Map.Move(v.Map.Version+1, cell, to[cell]...); err == nil {
			v.Map = next
		}
	}
}

// renumber sets the version of the current map.
func (v *Moves) renumber(version uint64) {
	fresh := *v.Map
	fresh.Version = version
	v.Map = &fresh
}

// List returns all moves, the oldest first.
func (v *Moves) List() (all []Move) {
	for _, id := range v.order {
		m := *v.moves[id]
		m.Was = maps.Clone(m.Was)
		all = append(all, m)
	}
	return all
}

// apply applies a durable record. The state of a move changes only here.
func (v *Moves) apply(r record) {
	m := r.Move
	if v.moves[m.ID] == nil {
		v.order = append(v.order, m.ID)
	}
	v.moves[m.ID] = &m
	if r.Map > v.Map.Version {
		v.switchTo(&m, r.Map)
	}
	finished := 0
	for _, id := range v.order {
		if v.moves[id].State.Finished() {
			finished++
		}
	}
	if finished > maxFinishedMoves {
		i := slices.IndexFunc(v.order, func(id string) bool { return v.moves[id].State.Finished() })
		delete(v.moves, v.order[i])
		v.order = slices.Delete(v.order, i, i+1)
	}
}

// switchTo installs a map with that version in which the tenants are in the cells that the move assigns to them.
func (v *Moves) switchTo(m *Move, version uint64) {
	where := map[string]string{}
	for t, cell := range m.Was {
		if where[t] = m.To; m.Back {
			where[t] = cell
		}
	}
	v.placeTenants(where)
	v.renumber(version)
}

// Step applies the inputs, advances the moves and returns the outputs.
func (v *Moves) Step(now float64, in []Input) []Output {
	v.out, v.now = nil, max(v.now, now)
	before := v.Map
	for _, x := range in {
		switch o := x.(type) {
		case BeginMove:
			if why := v.begin(o); why != "" {
				v.refuse(o.ID, why)
			}
		case Pause:
			v.change(o.ID, func(m *Move) string { m.Paused = true; return "" })
		case Resume:
			v.change(o.ID, func(m *Move) string { m.Paused = false; return "" })
		case Revert:
			v.change(o.ID, v.revert)
		case Written:
			v.written(o.Upto)
		case LogLost:
			v.logErr = o.Err
			if v.logErr == nil {
				v.logErr = errors.New("unknown")
			}
			clear(v.pending) // which of them are durable is known only after a restart
			clear(v.writing)
		case CellWarm:
			v.warm[o.Cell] = o.OK
		case ScanStarted:
			v.open[o.Version]++
		case ScanEnded:
			if v.open[o.Version]--; v.open[o.Version] <= 0 {
				delete(v.open, o.Version)
			}
		case StoresChanged:
			if next, err := Build(v.Map.Version, v.plan, o.Stores, v.sets, v.Map); err == nil {
				v.Map, v.stores = next, o.Stores
			} else {
				v.refuse("", err.Error()) // the old map stays in use: its cells refuse scans for sets whose stores they lost
			}
		}
	}
	for _, id := range v.order {
		v.advance(v.moves[id])
	}
	if v.Map != before {
		v.out = append(v.out, UseMap{v.Map})
	}
	return v.out
}

func (v *Moves) refuse(id, why string) { v.out = append(v.out, Refused{id, why}) }

func (v *Moves) begin(o BeginMove) (why string) {
	switch open := v.unfinished(); {
	case v.logErr != nil:
		return fmt.Sprintf("moves need a durable log: %v", v.logErr)
	case o.ID == "" || v.moves[o.ID] != nil || v.writing[o.ID]:
		return "the move has no id, or its id is in use"
	case len(o.Tenants) == 0 || len(o.Tenants) > maxTenantsPerMove:
		return fmt.Sprintf("%d tenants; from 1 to %d can be moved at once", len(o.Tenants), maxTenantsPerMove)
	case v.Map.Stores(o.To) == nil:
		return fmt.Sprintf("there is no cell %q", o.To)
	case open >= maxOpenMoves:
		return fmt.Sprintf("%d moves are under way", open)
	}
	m := Move{ID: o.ID, Author: o.Author, To: o.To, Was: map[string]string{}, State: Planned, Since: v.now}
	for _, t := range o.Tenants {
		if m.Was[t] = v.Map.CellOf(t); m.Was[t] == o.To {
			return fmt.Sprintf("tenant %q is in cell %q already", t, o.To)
		}
	}
	for _, r := range v.pending {
		if shareTenant(&r.Move, &m) {
			return fmt.Sprintf("move %q has one of these tenants", r.Move.ID)
		}
	}
	for _, other := range v.moves {
		if !other.State.Finished() && shareTenant(other, &m) {
			return fmt.Sprintf("move %q has one of these tenants", other.ID)
		}
	}
	v.write(m, 0)
	return ""
}

func shareTenant(a, b *Move) bool {
	for t := range a.Was {
		if _, both := b.Was[t]; both {
			return true
		}
	}
	return false
}

func (v *Moves) unfinished() (n int) {
	for _, m := range v.moves {
		if !m.State.Finished() {
			n++
		}
	}
	return n
}

// change changes an unfinished move by an operator's order.
func (v *Moves) change(id string, do func(*Move) string) {
	old := v.moves[id]
	switch {
	case old == nil || old.State.Finished():
		v.refuse(id, "there is no such move under way")
	case v.logErr != nil:
		v.refuse(id, fmt.Sprintf("moves need a durable log: %v", v.logErr))
	case v.writing[id]:
		v.refuse(id, "its last change is still being written: try again later")
	default:
		m := *old
		if why := do(&m); why != "" {
			v.refuse(id, why)
			return
		}
		v.write(m, 0)
	}
}

// revert reverts a move: a move that has not switched ends at once, one that has switches back.
func (v *Moves) revert(m *Move) string {
	if m.Back {
		return "it is already being reverted"
	}
	m.Back, m.Paused, m.Since = true, false, v.now
	if m.State != Switched {
		m.State = Reverted
	}
	return ""
}

// advance starts the next state change of a move, if it is possible now.
func (v *Moves) advance(old *Move) {
	if old.State.Finished() || old.Paused || v.writing[old.ID] || v.logErr != nil {
		return
	}
	m := *old
	m.Since = v.now
	switch {
	case m.State == Planned:
		m.State = Warming
		v.write(m, 0)
	case m.State == Warming && v.warm[m.To]:
		m.State, m.Version = Switched, v.nextVersion()
		v.write(m, m.Version)
	case m.State == Switched && m.Back && !v.tenantsRestored(old):
		m.Version = v.nextVersion()
		v.write(m, m.Version)
	case m.State == Switched && v.scansEndedBefore(m.Version):
		m.State = Done
		if m.Back {
			m.State = Reverted
		}
		v.write(m, 0)
	}
}

// tenantsRestored reports whether the tenants of a move are back in their previous cells.
func (v *Moves) tenantsRestored(m *Move) bool {
	for t, cell := range m.Was {
		if v.Map.CellOf(t) != cell {
			return false
		}
	}
	return true
}

// scansEndedBefore reports whether no scan is open on a map older than version.
func (v *Moves) scansEndedBefore(version uint64) bool {
	for at := range v.open {
		if at < version {
			return false
		}
	}
	return true
}

// nextVersion returns a version that neither a map nor a pending record uses. It leaves a gap, since a move may pass
// through one intermediate map for each cell that its tenants come from.
func (v *Moves) nextVersion() uint64 {
	at := v.Map.Version
	for _, r := range v.pending {
		at = max(at, r.Map)
	}
	return at + uint64(len(v.plan.Cells)) + 1
}

func (v *Moves) write(m Move, version uint64) {
	r := record{m, version}
	b, err := json.Marshal(r)
	if err != nil {
		v.refuse(m.ID, err.Error())
		return
	}
	v.number++
	v.pending[v.number], v.writing[m.ID] = r, true
	v.out = append(v.out, Write{v.number, b})
}

func (v *Moves) written(upto uint64) {
	for _, n := range slices.Sorted(maps.Keys(v.pending)) {
		if n <= upto {
			r := v.pending[n]
			delete(v.pending, n)
			delete(v.writing, r.Move.ID)
			v.apply(r)
		}
	}
}
