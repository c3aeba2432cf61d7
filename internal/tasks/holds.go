package tasks

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"gullstair/internal/lease"
)

// Hold is a lease that somebody at this member asks for by hand: one of so many slots of a name.
type Hold struct {
	ID      uint64 // of this member's
	Name    string
	Holders int
	Term    float64 // ms
	By      string  // who, and what for: shown to operators
}

// Close ends a hold. Clean says that nothing goes on under it; else the lease is left to run out.
type Close struct {
	ID    uint64
	Clean bool
}

// Granted says that a hold has its slot.
type Granted struct {
	ID    uint64
	Lease string
	Slot  int
	Fence uint64
	Until float64
}

// Extended says that it may go on for longer.
type Extended struct {
	ID    uint64
	Until float64
}

// Revoked says that it has to end now; Close is to follow.
type Revoked struct {
	ID  uint64
	Why string
}

// Holder is a hold's note.
type Holder struct {
	Member string  `json:"member"`
	By     string  `json:"by"`
	Begun  float64 `json:"begun"` // wall clock in ms
}

// ReadHolder reads a hold's note.
func ReadHolder(note []byte) (h Holder, err error) {
	return h, msgpack.Unmarshal(note, &h)
}

const holdsMost = 256 // of one member

type hold struct {
	Hold
	slot  int // asked for or held; -1: none yet
	held  bool
	fence uint64
	next  float64 // when another slot is looked for
}

// Holds are the leases that are held by hand at one member. Only one goroutine may call it.
type Holds struct {
	self string
	free func(lease string) (holder string, until float64)
	all  []*hold
	now  float64
	wall float64
	out  []Output
}

// ByHand says whether a lease is one that is held by hand.
func ByHand(lease string) bool { return strings.HasPrefix(lease, "hold/") }

// HoldSlot is the name of a hold's lease.
func HoldSlot(name string, nth int) string { return fmt.Sprintf("hold/%s/%d", name, nth) }

// NewHolds makes a member's part. Free tells who holds a lease as far as this member's voter knows, "" for nobody.
func NewHolds(self string, free func(lease string) (string, float64)) *Holds {
	return &Holds{self: self, free: free}
}

// Open counts the holds that are asked for or held.
func (h *Holds) Open() int { return len(h.all) }

// Due is when Step is wanted next though nothing comes in.
func (h *Holds) Due() float64 {
	at := math.Inf(1)
	for _, x := range h.all {
		if !x.held {
			at = min(at, x.next)
		}
	}
	return at
}

func (h *Holds) at(name string) *hold {
	for _, x := range h.all {
		if x.slot >= 0 && HoldSlot(x.Name, x.slot) == name {
			return x
		}
	}
	return nil
}

// Step takes Hold, Close, Order, Leave and what the leases say; Granted, Extended, Revoked, Answer and orders for the leases come out.
func (h *Holds) Step(now, wall float64, in []Input) []Output {
	h.out, h.now, h.wall = nil, max(h.now, now), wall
	for _, x := range in {
		switch v := x.(type) {
		case Hold:
			if len(h.all) >= holdsMost {
				h.out = append(h.out, Revoked{v.ID, "too many leases are held by hand at this broker"})
				continue
			}
			v.Holders = max(1, v.Holders)
			h.all = append(h.all, &hold{Hold: v, slot: -1, next: h.now})
		case Close:
			h.close(v)
		case lease.Held:
			if x := h.at(v.Lease); x != nil && !x.held {
				x.held, x.fence = true, v.Fence
				if data, err := msgpack.Marshal(&Holder{h.self, clip(x.By), h.wall}); err == nil {
					h.out = append(h.out, lease.Write{Lease: v.Lease, Fence: v.Fence, Data: data})
				}
				h.out = append(h.out, Granted{x.ID, v.Lease, x.slot, v.Fence, v.Until})
			}
		case lease.Renewed:
			h.extend(v.Lease, v.Fence, v.Until)
		case lease.Noted:
			h.extend(v.Lease, v.Fence, v.Until)
		case lease.Lost:
			if x := h.at(v.Lease); x != nil && x.held && x.fence == v.Fence {
				h.out = append(h.out, lease.Want{Lease: v.Lease}, Revoked{x.ID, "its lease was lost"})
				h.drop(x)
			}
		case Order:
			if x := h.at(v.Lease); x != nil && x.held && v.Do == Release {
				h.out = append(h.out, Revoked{x.ID, "an operator has it released"}, Answer{v.ID, true, ""})
			} else if x != nil && x.held {
				h.out = append(h.out, Answer{v.ID, false, "a lease that is held by hand can only be released"})
			} else {
				h.out = append(h.out, Answer{v.ID, false, "this broker does not hold that lease"})
			}
		case Leave:
			for _, x := range h.all {
				h.out = append(h.out, Revoked{x.ID, "this broker ends"})
			}
		}
	}
	for _, x := range h.all {
		h.seek(x)
	}
	return h.out
}

func (h *Holds) extend(name string, fence uint64, until float64) {
	if x := h.at(name); x != nil && x.held && x.fence == fence {
		h.out = append(h.out, Extended{x.ID, until})
	}
}

func (h *Holds) drop(x *hold) {
	h.all = slices.DeleteFunc(h.all, func(o *hold) bool { return o == x })
}

func (h *Holds) close(v Close) {
	i := slices.IndexFunc(h.all, func(x *hold) bool { return x.ID == v.ID })
	if i < 0 {
		return
	}
	x := h.all[i]
	if x.slot >= 0 {
		name := HoldSlot(x.Name, x.slot)
		h.out = append(h.out, lease.Want{Lease: name})
		if x.held {
			h.out = append(h.out, lease.Drop{Lease: name, Fence: x.fence, Silent: !v.Clean})
		}
	}
	h.drop(x)
}

// seek asks for a slot that nobody holds, or else for the one that is the next to run out; one at a time, and none that another hold of
// this member has.
func (h *Holds) seek(x *hold) {
	if x.held || h.now < x.next {
		return
	}
	x.next = h.now + x.Term/2
	best, soonest := -1, math.Inf(1)
	for n := range x.Holders {
		name := HoldSlot(x.Name, n)
		if o := h.at(name); o != nil && o != x {
			continue
		}
		holder, until := h.free(name)
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
		h.out = append(h.out, lease.Want{Lease: HoldSlot(x.Name, x.slot)})
	}
	if x.slot = best; best >= 0 {
		h.out = append(h.out, lease.Want{Lease: HoldSlot(x.Name, best), Term: x.Term, On: true})
	}
}
