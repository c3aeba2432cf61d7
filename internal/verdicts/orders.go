package verdicts

import (
	"maps"
	"math"
	"slices"
)

// Do is an operator's order for a store.
type Do string

// The orders.
const (
	Drain Do = "drain" // the store gets no new work
	Rest  Do = "rest"  // treated as if observers agreed that it fails
	Clear Do = "clear" // reports of observers are ignored
)

// Order is an operator's order for a store. Of two orders the one with the higher version wins, then the one with the greater name in By: all members decide
// alike, in whatever sequence they receive them.
type Order struct {
	Store   string  `json:"store"`
	Do      Do      `json:"do"`
	By      string  `json:"by"` // the broker that accepted it
	Reason  string  `json:"reason"`
	Version uint64  `json:"version"`
	Left    float64 `json:"left"` // ms that it remains in force
}

func (a Order) newerThan(b Order) bool {
	return a.Version > b.Version || a.Version == b.Version && a.By > b.By
}

// Set is an operator's request for a temporary order; For 0 revokes the current order.
type Set struct {
	Store, Reason string
	Do            Do
	For           float64 // ms
}

// Known is the version of an order that a member knows.
type Known struct {
	Store   string
	Version uint64
}

const (
	maxOrders        = 256                     // most orders kept
	maxOrderMs       = 31 * 24 * 3600 * 1000.0 // ms; the longest duration of an order
	maxReasonLength  = 200                     // bytes
	remindIntervalMs = 100.0                   // interval at which an unacknowledged order is sent again
	remindFor        = 3000.0                  // ms for which it is sent again; afterwards the full exchange delivers it
	tombstoneMs      = 600000.0                // ms for which an expired order is kept, so that an old message does not restore it
)

// Stored is a durable record of an order.
type Stored struct {
	Order
	Wall float64 // Unix ms as of which Left holds
}

// Restore loads stored orders, given the wall clock. The time since they were stored is subtracted, but nothing if the clock was set back, so an order never
// has more time left than when it was stored. Call it before the first Step. A store may have several records, oldest first.
func (c *Core) Restore(records []Stored, now, wall float64) {
	c.now = max(c.now, now)
	for _, r := range records {
		if r.Order.valid() {
			r.Left = max(0, r.Left-max(0, wall-r.Wall))
			c.adoptOrder(r.Order)
		}
	}
	c.unstoredOrders = nil
}

// UnstoredOrders returns the orders to store since the last call.
func (c *Core) UnstoredOrders(wall float64) (all []Stored) {
	for _, store := range c.unstoredOrders {
		if x := c.orders.all[store]; x != nil {
			o := x.Order
			o.Left = max(0, x.until-c.now)
			all = append(all, Stored{o, wall})
		}
	}
	c.unstoredOrders = nil
	return all
}

// Orders returns all orders kept, to replace the records stored so far.
func (c *Core) Orders(wall float64) (all []Stored) {
	for _, o := range c.orders.list(c.now) {
		all = append(all, Stored{o, wall})
	}
	return all
}

// valid reports whether an order is well-formed.
func (o Order) valid() bool {
	return o.Store != "" && len(o.Store) <= maxNameLength && len(o.Reason) <= maxReasonLength && len(o.By) <= maxNameLength && slices.Contains([]Do{Drain, Rest, Clear}, o.Do) &&
		o.Left >= 0 && o.Left <= maxOrderMs
}

type orderState struct {
	Order
	until        float64 // when it expires
	remindUntil  float64 // until when it is sent again to members that have not acknowledged it
	nextReminder float64
}

type orderTable struct {
	all   map[string]*orderState
	known map[string]map[string]uint64 // by member and store: the version that the member knows
}

func newOrders() orderTable {
	return orderTable{all: map[string]*orderState{}, known: map[string]map[string]uint64{}}
}

// current returns the order in force for a store.
func (o *orderTable) current(store string, now float64) (Order, bool) {
	x := o.all[store]
	if x == nil || now >= x.until {
		return Order{}, false
	}
	v := x.Order
	v.Left = x.until - now
	return v, true
}

func (o *orderTable) nextDue(now float64) float64 {
	at := math.Inf(1)
	for _, x := range o.all {
		if at = min(at, x.nextReminder); now < x.until {
			at = min(at, x.until)
		}
	}
	return at
}

// list returns all orders kept; Left is 0 for an expired one.
func (o *orderTable) list(now float64) (all []Order) {
	for _, store := range slices.Sorted(maps.Keys(o.all)) {
		x := o.all[store].Order
		x.Left = max(0, o.all[store].until-now)
		all = append(all, x)
	}
	return all
}

// versions lists the versions of all orders that this member knows.
func (o *orderTable) versions(float64) (all []Known) {
	for _, store := range slices.Sorted(maps.Keys(o.all)) {
		all = append(all, Known{store, o.all[store].Version})
	}
	return all
}

// setOrder applies an operator's request at this member. Its version is above any known here and not below the clock, so that others do not take the order of a
// member that has lost its state for an old one.
func (c *Core) setOrder(v Set) {
	o := Order{Store: v.Store, Do: v.Do, By: c.rules.Self, Reason: v.Reason[:min(len(v.Reason), maxReasonLength)], Left: min(max(0, v.For), maxOrderMs),
		Version: uint64(max(0, c.now))}
	if x := c.orders.all[v.Store]; x != nil {
		o.Version = max(o.Version, x.Version+1)
	}
	c.adoptOrder(o)
}

// adoptOrder adopts an order if it is newer than the known one, and reports whether it did.
func (c *Core) adoptOrder(o Order) bool {
	x := c.orders.all[o.Store]
	if x != nil && !o.newerThan(x.Order) || x == nil && len(c.orders.all) >= maxOrders {
		return false
	}
	c.orders.all[o.Store] = &orderState{Order: o, until: c.now + o.Left, remindUntil: c.now + remindFor, nextReminder: c.now}
	c.dirty[o.Store] = true
	c.unstoredOrders = append(c.unstoredOrders, o.Store)
	c.Counts.Orders++
	return true
}

// handleNewProcess notes that a member has restarted. The new process has no orders, so they are sent to it again.
func (c *Core) handleNewProcess(from string, run uint64) {
	c.runs[from] = run
	delete(c.orders.known, from)
	for _, x := range c.orders.all {
		if c.now < x.until {
			x.remindUntil, x.nextReminder = c.now+remindFor, c.now
		}
	}
}

// handleOrders applies a member's orders and the versions that it knows.
func (c *Core) handleOrders(from string, all []Order, known []Known) {
	recordKnown := func(store string, version uint64) {
		if len(store) > maxNameLength || c.orders.all[store] == nil {
			return
		}
		if c.orders.known[from] == nil {
			c.orders.known[from] = map[string]uint64{}
		}
		c.orders.known[from][store] = max(c.orders.known[from][store], version)
	}
	var mine []Known
	for _, o := range all {
		if !o.valid() {
			c.Counts.Odd++
			continue
		}
		c.adoptOrder(o)
		recordKnown(o.Store, o.Version)
		if x := c.orders.all[o.Store]; x != nil {
			mine = append(mine, Known{o.Store, x.Version})
		}
	}
	for _, k := range known {
		recordKnown(k.Store, k.Version)
	}
	if len(mine) > 0 && len(known) == 0 {
		c.send(from, Message{Known: mine}) // acknowledges the orders to their sender
	}
}

// sendReminders sends orders to members that have not acknowledged them.
func (c *Core) sendReminders() {
	for _, m := range c.alive {
		var unacknowledged []Order
		for _, store := range slices.Sorted(maps.Keys(c.orders.all)) {
			if x := c.orders.all[store]; c.now < x.remindUntil && c.orders.known[m.Name][store] < x.Version && len(unacknowledged) < maxReportsPerMessage {
				o := x.Order
				o.Left = max(0, x.until-c.now)
				unacknowledged = append(unacknowledged, o)
			}
		}
		if len(unacknowledged) > 0 {
			c.send(m.Name, Message{Orders: unacknowledged})
		}
	}
}

// expireOrders ends expired orders, sends due reminders and removes old orders.
func (c *Core) expireOrders() {
	due := false
	for store, x := range c.orders.all {
		switch {
		case c.now >= x.until+tombstoneMs:
			delete(c.orders.all, store)
			for _, known := range c.orders.known {
				delete(known, store)
			}
		case c.now >= x.until && x.until > 0 && c.current[store] != nil:
			c.dirty[store] = true
		}
		if c.now >= x.nextReminder {
			due = true
			if x.nextReminder = c.now + remindIntervalMs; c.now >= x.remindUntil {
				x.nextReminder = c.now + remindFor
			}
		}
	}
	maps.DeleteFunc(c.orders.known, func(name string, _ map[string]uint64) bool {
		return !slices.ContainsFunc(c.alive, func(m Member) bool { return m.Name == name })
	})
	if due {
		c.sendReminders()
	}
}
