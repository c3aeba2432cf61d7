package limitshare

import (
	"math"
	"slices"
)

// Order is a temporary size of a limit, set by an operator. Of two orders the one with the higher version wins, then the one with the greater name in
// By: all members decide alike, in whatever sequence they receive them.
type Order struct {
	Version     uint64
	By          string
	Size, Burst float64
	Left        float64 // ms that the order remains in force; 0: it has expired or was revoked
}

// Word is a member's report on the size of a limit: its document's size, the newest order that it knows, and whether it requests the receiver's report.
type Word struct {
	Size, Burst float64
	Order       *Order
	Answer      bool
	Asked, Echo uint64 // number of this report and of the one that it answers; 0: none
}

// Set is an operator's request for a temporary size; For 0 revokes the current order.
type Set struct {
	Limit       string
	Size, Burst float64
	For         float64 // ms
}

// Document reports the size of a limit in this member's current document.
type Document struct {
	Limit       string
	Size, Burst float64
}

type size struct{ size, burst float64 }

func (a size) min(b size) size { return size{min(a.size, b.size), min(a.burst, b.burst)} }

// sizeState is what a member knows of a limit's size.
type sizeState struct {
	own           size
	initial       size              // the document's size when this process started
	sizes         []size            // all sizes that home shares take into account: own, initial and those of other members
	memberSizes   map[string]size   // size in each member's document, as last reported
	knownVersions map[string]uint64 // version of the newest order that each member is known to have
	order         Order             // the newest order; its Left is unused, until counts
	until         float64
	questions     map[string]question // last question sent to each member
	sizeBefore    size                // size in force before the order
	// expiresAt is when the order expires; a member that was paused checks it before it admits a scan.
	expiresAt float64
}

// question is a report that requests an answer.
type question struct {
	number uint64
	at     float64
}

const minQuestionIntervalMs = 50.0 // least interval between two questions to a member that its own reports give rise to

const gossipIntervalMs = 1000.0 // interval at which a member sends its report to one random member

// effectiveSize returns the size in force. While members differ it is the smallest of the sizes they use, so that members that know a new size do not
// exceed a strict limit; members that do not know it use the old size.
func (c *Core) effectiveSize(l *limit, now float64) size {
	s := &l.sizeState
	doc := s.own
	for _, name := range c.rules.Roster {
		if d, told := s.memberSizes[name]; told {
			doc = doc.min(d)
		}
	}
	set := size{s.order.Size, s.order.Burst}
	switch {
	case s.order.Version == 0 || s.order.Left > 0 && now >= s.until:
		return doc
	case s.order.Left <= 0:
		set = doc // the order was revoked
	}
	for _, name := range c.rules.Roster {
		if name != c.rules.Self && s.knownVersions[name] < s.order.Version {
			return set.min(s.sizeBefore)
		}
	}
	return set
}

// resize applies a limit's effective size to all its accounts.
func (c *Core) resize(l *limit, now float64) {
	n := c.effectiveSize(l, now)
	if l.expiresAt = math.Inf(1); l.order.Left > 0 && now < l.until {
		l.expiresAt = l.until
	}
	if n.size == l.Size && n.burst == l.Burst {
		return
	}
	for _, a := range c.queue {
		if a.limit == l {
			c.settle(a, now)
		}
	}
	l.Size, l.Burst = n.size, n.burst
	for _, a := range c.queue {
		if a.limit == l {
			c.recomputeShare(a, now)
		}
	}
}

// adoptOrder adopts an order if it is newer than the known one, and reports whether it did.
func (c *Core) adoptOrder(l *limit, o Order, asof float64) bool {
	s := &l.sizeState
	if !newer(o, s.order) {
		return false
	}
	s.sizeBefore = size{l.Size, l.Burst}
	s.order, s.until = o, asof
	if o.Left > 0 {
		s.until += o.Left * c.orderDurationFactor(l, o)
	}
	return true
}

func newer(a, b Order) bool { return a.Version > b.Version || a.Version == b.Version && a.By > b.By }

// raisesLimit reports whether an order admits more than the document.
func (l *limit) raisesLimit(o Order) bool {
	return o.Left > 0 && (o.Size > l.own.size || o.Burst > l.own.burst)
}

// orderDurationFactor corrects an order's duration for clock drift: an order that raises a limit ends early on every clock, one that lowers it ends late.
func (c *Core) orderDurationFactor(l *limit, o Order) float64 {
	if l.raisesLimit(o) {
		return (1 - c.rules.Drift) / (1 + c.rules.Drift)
	}
	return (1 + c.rules.Drift) / (1 - c.rules.Drift)
}

// sizeReport builds a report for a member; an answer repeats the number of the question.
func (c *Core) sizeReport(l *limit, to string, now float64, echo uint64) Message {
	s := &l.sizeState
	w := &Word{Size: s.own.size, Burst: s.own.burst, Answer: echo == 0, Echo: echo}
	if s.order.Version > 0 {
		o := s.order
		o.Left = max(0, s.until-now) / c.orderDurationFactor(l, o)
		w.Order = &o
	}
	if w.Answer {
		c.seq++
		w.Asked = c.seq
		s.questions[to] = question{c.seq, now}
	}
	return Message{Kind: SizeInfo, Limit: l.Name, Boot: c.rules.Boot, Word: w}
}

// handleSizeReport applies another member's report.
func (c *Core) handleSizeReport(l *limit, from string, w *Word, now float64) {
	if w == nil || !validSize(w.Size) || !validSize(w.Burst) || w.Order != nil && (!validSize(w.Order.Size) || !validSize(w.Order.Burst) || !(w.Order.Left >= 0 && w.Order.Left < maxOrderMs)) {
		c.Counts.Odd++
		return
	}
	s := &l.sizeState
	s.memberSizes[from] = size{w.Size, w.Burst}
	c.recomputeHomes(l, now)
	adopted, unsure, q := false, false, s.questions[from]
	if o := w.Order; o != nil {
		// The delay of a message is unknown. The duration of an order that raises the limit counts from when the question was sent that this report
		// answers: the order must not end late.
		asof := now
		if raises := l.raisesLimit(*o); raises && w.Echo > 0 && w.Echo == q.number {
			asof = q.at
		} else {
			unsure = raises && newer(*o, s.order)
		}
		if !unsure {
			adopted = c.adoptOrder(l, *o, asof)
		}
		s.knownVersions[from] = max(s.knownVersions[from], o.Version)
	}
	c.resize(l, now)
	if w.Answer {
		c.outbox[from] = append(c.outbox[from], c.sizeReport(l, from, now, max(1, w.Asked)))
	}
	switch {
	case adopted:
		c.broadcastSize(l, now)
	case unsure && (q.number == 0 || now >= q.at+minQuestionIntervalMs):
		// Not at each report: two members that answered every question with another one would exchange questions forever.
		c.outbox[from] = append(c.outbox[from], c.sizeReport(l, from, now, 0))
	}
}

const maxOrderMs = 31 * 24 * 3600 * 1000.0 // longest duration of an order

func validSize(x float64) bool { return x > 0 && x <= 1e12 }

func (c *Core) broadcastSize(l *limit, now float64) {
	for _, name := range c.rules.Roster {
		if name != c.rules.Self {
			c.outbox[name] = append(c.outbox[name], c.sizeReport(l, name, now, 0))
		}
	}
}

// setOrder applies an operator's request.
func (c *Core) setOrder(l *limit, v Set, now float64) {
	o := Order{Version: max(l.sizeState.order.Version+1, uint64(max(0, c.now))), By: c.rules.Self, Size: v.Size, Burst: v.Burst, Left: min(v.For, maxOrderMs-1)}
	if v.For <= 0 || !validSize(o.Size) || !validSize(o.Burst) {
		o.Size, o.Burst, o.Left = l.sizeState.own.size, l.sizeState.own.burst, 0
	}
	c.adoptOrder(l, o, now)
	c.resize(l, now)
	c.broadcastSize(l, now)
}

// gossip sends this member's reports to one random member, so that all converge after a partition and newly started members learn of orders.
func (c *Core) gossip(now float64) {
	n := len(c.rules.Roster)
	if at, is := slices.BinarySearch(c.rules.Roster, c.rules.Self); !is || n < 2 {
		c.nextGossip = math.Inf(1)
	} else if now >= c.nextGossip {
		c.nextGossip = now + gossipIntervalMs
		to := c.rules.Roster[(at+1+min(int(c.random()*float64(n-1)), n-2))%n]
		for _, l := range c.limits {
			c.outbox[to] = append(c.outbox[to], c.sizeReport(l, to, now, 0))
		}
	}
	for _, l := range c.limits {
		if now >= l.expiresAt {
			c.resize(l, now)
		}
	}
}
