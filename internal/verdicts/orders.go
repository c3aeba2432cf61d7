package verdicts

import (
	"maps"
	"math"
	"slices"
)

// Do is what an operator orders for a store.
type Do string

// The orders.
const (
	Drain Do = "drain" // nothing new goes there
	Rest  Do = "rest"  // as if observers agreed that it fails
	Clear Do = "clear" // nothing that observers say counts
)

// Order is an operator's word on a store. Of two the one of the higher version counts, then the one of the later name: all members decide alike, in whatever
// order they hear of them.
type Order struct {
	Store   string  `json:"store"`
	Do      Do      `json:"do"`
	By      string  `json:"by"` // the broker at which it was given
	Reason  string  `json:"reason"`
	Version uint64  `json:"version"`
	Left    float64 `json:"left"` // ms that it holds for
}

func (a Order) newer(b Order) bool {
	return a.Version > b.Version || a.Version == b.Version && a.By > b.By
}

// Set orders something for a store for a while; For 0 ends what is ordered.
type Set struct {
	Store, Reason string
	Do            Do
	For           float64 // ms
}

// Known is an order that a member knows.
type Known struct {
	Store   string
	Version uint64
}

const (
	orderMost  = 256                     // orders that are kept
	orderFor   = 31 * 24 * 3600 * 1000.0 // ms; none holds for longer
	reasonMost = 200                     // bytes
	remindMs   = 100.0                   // who has not said that it knows an order is told again so often,
	remindFor  = 3000.0                  // for so long; then the exchange of everything does it
	graveFor   = 600000.0                // ms for which an order that is over is remembered, so that it does not come back
)

// Stored is an order as it lasts on a disk.
type Stored struct {
	Order
	Wall float64 // Unix ms at which Left was so much
}

// Restore takes up orders that lasted, at a moment of the wall clock. What it has run since counts, and a clock that was set back counts nothing: an order never has
// more left than it had. It goes before the first Step; records of one store may come in any number, in their order.
func (c *Core) Restore(records []Stored, now, wall float64) {
	c.now = max(c.now, now)
	for _, r := range records {
		if r.Order.sane() {
			r.Left = max(0, r.Left-max(0, wall-r.Wall))
			c.adopt(r.Order)
		}
	}
	c.lasting = nil
}

// Lasting lists orders that have been taken up since it was asked last, as they are to last.
func (c *Core) Lasting(wall float64) (all []Stored) {
	for _, store := range c.lasting {
		if x := c.orders.all[store]; x != nil {
			o := x.Order
			o.Left = max(0, x.until-c.now)
			all = append(all, Stored{o, wall})
		}
	}
	c.lasting = nil
	return all
}

// Orders lists all that are remembered, as they are to last in the place of what lasted so far.
func (c *Core) Orders(wall float64) (all []Stored) {
	for _, o := range c.orders.told(c.now) {
		all = append(all, Stored{o, wall})
	}
	return all
}

// sane says whether an order is possible.
func (o Order) sane() bool {
	return o.Store != "" && len(o.Store) <= nameMost && len(o.Reason) <= reasonMost && len(o.By) <= nameMost && slices.Contains([]Do{Drain, Rest, Clear}, o.Do) &&
		o.Left >= 0 && o.Left <= orderFor
}

type ordered struct {
	Order
	until  float64 // it ends then
	remind float64 // up to when members are reminded
	next   float64
}

type orders struct {
	all   map[string]*ordered
	known map[string]map[string]uint64 // by member and store: the version that it knows
}

func newOrders() orders {
	return orders{all: map[string]*ordered{}, known: map[string]map[string]uint64{}}
}

// of is the order that holds for a store.
func (o *orders) of(store string, now float64) (Order, bool) {
	x := o.all[store]
	if x == nil || now >= x.until {
		return Order{}, false
	}
	v := x.Order
	v.Left = x.until - now
	return v, true
}

func (o *orders) due(now float64) float64 {
	at := math.Inf(1)
	for _, x := range o.all {
		if at = min(at, x.next); now < x.until {
			at = min(at, x.until)
		}
	}
	return at
}

// told lists all orders that are remembered; Left is 0 for one that is over.
func (o *orders) told(now float64) (all []Order) {
	for _, store := range slices.Sorted(maps.Keys(o.all)) {
		x := o.all[store].Order
		x.Left = max(0, o.all[store].until-now)
		all = append(all, x)
	}
	return all
}

// knows lists the versions that this member knows.
func (o *orders) knows(float64) (all []Known) {
	for _, store := range slices.Sorted(maps.Keys(o.all)) {
		all = append(all, Known{store, o.all[store].Version})
	}
	return all
}

// set is an operator's word at this member. Its version is above any that is known here, and grows with the clock: a member that has forgotten gives none that others
// would take for old.
func (c *Core) set(v Set) {
	o := Order{Store: v.Store, Do: v.Do, By: c.r.Self, Reason: v.Reason[:min(len(v.Reason), reasonMost)], Left: min(max(0, v.For), orderFor),
		Version: uint64(max(0, c.now))}
	if x := c.orders.all[v.Store]; x != nil {
		o.Version = max(o.Version, x.Version+1)
	}
	c.adopt(o)
}

// adopt takes an order up if it is newer than the one that is known.
func (c *Core) adopt(o Order) bool {
	x := c.orders.all[o.Store]
	if x != nil && !o.newer(x.Order) || x == nil && len(c.orders.all) >= orderMost {
		return false
	}
	c.orders.all[o.Store] = &ordered{Order: o, until: c.now + o.Left, remind: c.now + remindFor, next: c.now}
	c.dirty[o.Store] = true
	c.lasting = append(c.lasting, o.Store)
	c.Counts.Orders++
	return true
}

// anew: a member's process is another one than before. It has forgotten every order, and is told of them.
func (c *Core) anew(from string, run uint64) {
	c.runs[from] = run
	delete(c.orders.known, from)
	for _, x := range c.orders.all {
		if c.now < x.until {
			x.remind, x.next = c.now+remindFor, c.now
		}
	}
}

// hear takes what a member tells of orders and of those it knows.
func (c *Core) hear(from string, all []Order, known []Known) {
	note := func(store string, version uint64) {
		if len(store) > nameMost || c.orders.all[store] == nil {
			return
		}
		if c.orders.known[from] == nil {
			c.orders.known[from] = map[string]uint64{}
		}
		c.orders.known[from][store] = max(c.orders.known[from][store], version)
	}
	var mine []Known
	for _, o := range all {
		if !o.sane() {
			c.Counts.Odd++
			continue
		}
		c.adopt(o)
		note(o.Store, o.Version)
		if x := c.orders.all[o.Store]; x != nil {
			mine = append(mine, Known{o.Store, x.Version})
		}
	}
	for _, k := range known {
		note(k.Store, k.Version)
	}
	if len(mine) > 0 && len(known) == 0 {
		c.send(from, Message{Known: mine}) // whoever reminds wants to hear that
	}
}

// remind tells members of orders that they are not known to know.
func (c *Core) remind() {
	for _, m := range c.living {
		var some []Order
		for _, store := range slices.Sorted(maps.Keys(c.orders.all)) {
			if x := c.orders.all[store]; c.now < x.remind && c.orders.known[m.Name][store] < x.Version && len(some) < wordMost {
				o := x.Order
				o.Left = max(0, x.until-c.now)
				some = append(some, o)
			}
		}
		if len(some) > 0 {
			c.send(m.Name, Message{Orders: some})
		}
	}
}

// expire ends what has run out, reminds where it is time, and forgets.
func (c *Core) expire() {
	due := false
	for store, x := range c.orders.all {
		switch {
		case c.now >= x.until+graveFor:
			delete(c.orders.all, store)
			for _, known := range c.orders.known {
				delete(known, store)
			}
		case c.now >= x.until && x.until > 0 && c.states[store] != nil:
			c.dirty[store] = true
		}
		if c.now >= x.next {
			due = true
			if x.next = c.now + remindMs; c.now >= x.remind {
				x.next = c.now + remindFor
			}
		}
	}
	maps.DeleteFunc(c.orders.known, func(name string, _ map[string]uint64) bool {
		return !slices.ContainsFunc(c.living, func(m Member) bool { return m.Name == name })
	})
	if due {
		c.remind()
	}
}
