package tasks

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"gullstair/internal/lease"
)

// Hold is an input: a manual request at this member for a lease on one of Holders slots of a name. Manual leases
// belong to no task.
type Hold struct {
	ID      uint64 // unique at this member
	Name    string
	Holders int
	Term    float64 // ms
	By      string  // who holds it and what for, shown to operators
}

// Close is an input that ends a hold. Clean means that nothing runs under it any more; otherwise the lease is
// left to expire.
type Close struct {
	ID    uint64
	Clean bool
}

// Granted is an output: a hold has acquired its slot.
type Granted struct {
	ID    uint64
	Lease string
	Slot  int
	Fence uint64
	Until float64
}

// Extended is an output: a hold may go on for longer.
type Extended struct {
	ID    uint64
	Until float64
}

// Revoked is an output: a hold has to end now. A Close must follow.
type Revoked struct {
	ID  uint64
	Why string
}

// Holder is the note of a hold's lease.
type Holder struct {
	Member string  `json:"member"`
	By     string  `json:"by"`
	Begun  float64 `json:"begun"` // wall clock, in ms
}

// ReadHolder decodes the note of a hold's lease.
func ReadHolder(note []byte) (h Holder, err error) {
	return h, msgpack.Unmarshal(note, &h)
}

const maxHolds = 256 // per member

// hold is the state of one hold.
type hold struct {
	Hold
	slot       int // the requested or held slot; -1 if there is none yet
	held       bool
	fence      uint64
	nextSearch float64 // time of the next search for a free slot
}

// Holds manages the manual leases of one member. It is not safe for concurrent use.
type Holds struct {
	self     string
	holderOf func(lease string) (holder string, until float64)
	all      []*hold
	now      float64
	wall     float64
	outputs  []Output
}

// IsManual reports whether a lease is a manual one.
func IsManual(lease string) bool { return strings.HasPrefix(lease, "hold/") }

// HoldLease returns the name of the lease for a slot of a hold.
func HoldLease(name string, nth int) string { return fmt.Sprintf("hold/%s/%d", name, nth) }

// NewHolds returns the holds of a member. The function holderOf returns the holder of a lease as far as this
// member's voter knows, "" for nobody.
func NewHolds(self string, holderOf func(lease string) (string, float64)) *Holds {
	return &Holds{self: self, holderOf: holderOf}
}

// Open returns the number of holds that are requested or held.
func (h *Holds) Open() int { return len(h.all) }

// Due returns the time at which the next Step is needed if no input arrives.
func (h *Holds) Due() float64 {
	at := math.Inf(1)
	for _, x := range h.all {
		if !x.held {
			at = min(at, x.nextSearch)
		}
	}
	return at
}

func (h *Holds) findByLease(name string) *hold {
	for _, x := range h.all {
		if x.slot >= 0 && HoldLease(x.Name, x.slot) == name {
			return x
		}
	}
	return nil
}

// Step handles Hold, Close, Order, Leave and the events of the leases. It returns Granted, Extended, Revoked,
// Answer and inputs for the leases.
func (h *Holds) Step(now, wall float64, in []Input) []Output {
	h.outputs, h.now, h.wall = nil, max(h.now, now), wall
	for _, x := range in {
		switch v := x.(type) {
		case Hold:
			if len(h.all) >= maxHolds {
				h.outputs = append(h.outputs, Revoked{v.ID, "too many manual leases at this broker"})
				continue
			}
			v.Holders = max(1, v.Holders)
			h.all = append(h.all, &hold{Hold: v, slot: -1, nextSearch: h.now})
		case Close:
			h.close(v)
		case lease.Held:
			if x := h.findByLease(v.Lease); x != nil && !x.held {
				x.held, x.fence = true, v.Fence
				if data, err := msgpack.Marshal(&Holder{h.self, truncate(x.By), h.wall}); err == nil {
					h.outputs = append(h.outputs, lease.Write{Lease: v.Lease, Fence: v.Fence, Data: data})
				}
				h.outputs = append(h.outputs, Granted{x.ID, v.Lease, x.slot, v.Fence, v.Until})
			}
		case lease.Renewed:
			h.extend(v.Lease, v.Fence, v.Until)
		case lease.Noted:
			h.extend(v.Lease, v.Fence, v.Until)
		case lease.Lost:
			if x := h.findByLease(v.Lease); x != nil && x.held && x.fence == v.Fence {
				h.outputs = append(h.outputs, lease.Want{Lease: v.Lease}, Revoked{x.ID, "its lease was lost"})
				h.remove(x)
			}
		case Order:
			if x := h.findByLease(v.Lease); x != nil && x.held && v.Do == Release {
				h.outputs = append(h.outputs, Revoked{x.ID, "released by an operator"}, Answer{v.ID, true, ""})
			} else if x != nil && x.held {
				h.outputs = append(h.outputs, Answer{v.ID, false, "a manual lease can only be released"})
			} else {
				h.outputs = append(h.outputs, Answer{v.ID, false, "this broker does not hold that lease"})
			}
		case Leave:
			for _, x := range h.all {
				h.outputs = append(h.outputs, Revoked{x.ID, "this broker is shutting down"})
			}
		}
	}
	for _, x := range h.all {
		h.requestSlot(x)
	}
	return h.outputs
}

func (h *Holds) extend(name string, fence uint64, until float64) {
	if x := h.findByLease(name); x != nil && x.held && x.fence == fence {
		h.outputs = append(h.outputs, Extended{x.ID, until})
	}
}

func (h *Holds) remove(x *hold) {
	h.all = slices.DeleteFunc(h.all, func(o *hold) bool { return o == x })
}

func (h *Holds) close(v Close) {
	i := slices.IndexFunc(h.all, func(x *hold) bool { return x.ID == v.ID })
	if i < 0 {
		return
	}
	x := h.all[i]
	if x.slot >= 0 {
		name := HoldLease(x.Name, x.slot)
		h.outputs = append(h.outputs, lease.Want{Lease: name})
		if x.held {
			h.outputs = append(h.outputs, lease.Drop{Lease: name, Fence: x.fence, LetExpire: !v.Clean})
		}
	}
	h.remove(x)
}

// requestSlot requests a slot that nobody holds, or else the one that expires next. It requests one slot at a
// time, and none that another hold of this member has.
func (h *Holds) requestSlot(x *hold) {
	if x.held || h.now < x.nextSearch {
		return
	}
	x.nextSearch = h.now + x.Term/2
	best, soonest := -1, math.Inf(1)
	for n := range x.Holders {
		name := HoldLease(x.Name, n)
		if o := h.findByLease(name); o != nil && o != x {
			continue
		}
		holder, until := h.holderOf(name)
		if holder == "" || holder == h.self {
			until = 0
		}
		if until < soonest || until == soonest && n == x.slot {
			best, soonest = n, until
		}
	}
	if best == x.slot {
		return
	}
	if x.slot >= 0 {
		h.outputs = append(h.outputs, lease.Want{Lease: HoldLease(x.Name, x.slot)})
	}
	if x.slot = best; best >= 0 {
		h.outputs = append(h.outputs, lease.Want{Lease: HoldLease(x.Name, best), Term: x.Term, On: true})
	}
}
