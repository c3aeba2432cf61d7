package shares

import (
	"math"
	"slices"
)

// Order is another size of a limit for a while, as an operator set it. Of two the one of the higher version counts, then the one of the later name:
// all members decide alike, whatever order they hear of them in.
type Order struct {
	Version     uint64
	By          string
	Size, Burst float64
	Left        float64 // ms that it holds for; 0: it is over, or was taken back
}

// Word is what a member tells the others of a limit now and then: its document's size, the newest order that it knows, and whether it wants to hear
// theirs.
type Word struct {
	Size, Burst float64
	Order       *Order
	Answer      bool
	Asked, Echo uint64 // number of this one, and of the one that it answers; 0: none
}

// Set orders another size for a while, or, with For at 0, takes the last order back.
type Set struct {
	Limit       string
	Size, Burst float64
	For         float64 // ms
}

// Document says what size of a limit this member's document has by now.
type Document struct {
	Limit       string
	Size, Burst float64
}

type size struct{ size, burst float64 }

func (a size) min(b size) size { return size{min(a.size, b.size), min(a.burst, b.burst)} }

// standing is what a member knows of a limit's size.
type standing struct {
	own    size
	first  size              // the document's when this process started
	sizes  []size            // all that homes have to do with: these two, and theirs
	theirs map[string]size   // documents, as last told
	known  map[string]uint64 // the version of the newest order that a member was heard to know
	order  Order             // the newest; Left counts for nothing here
	until  float64
	asked  map[string]question // the last that was asked of a member
	before size                // what held before the order
	// expires is when the order runs out; a member that stood still has to know it before it takes a scan.
	expires float64
}

// question is a word that asks for an answer.
type question struct {
	number uint64
	at     float64
}

const askBackMs = 50.0 // between two questions to one member that what it tells gives rise to

const tellMs = 1000.0 // so often a member tells another one, by turns of chance

// size is what counts now. While members differ it is the smaller of what they go by, so that a strict limit is not passed by those who have
// heard; who has not goes by what it had.
func (c *Core) size(l *limit, now float64) size {
	s := &l.standing
	doc := s.own
	for _, name := range c.rules.Roster {
		if d, told := s.theirs[name]; told {
			doc = doc.min(d)
		}
	}
	set := size{s.order.Size, s.order.Burst}
	switch {
	case s.order.Version == 0 || s.order.Left > 0 && now >= s.until:
		return doc
	case s.order.Left <= 0:
		set = doc // it was taken back
	}
	for _, name := range c.rules.Roster {
		if name != c.rules.Self && s.known[name] < s.order.Version {
			return set.min(s.before)
		}
	}
	return set
}

// resize puts a limit's size into force for all its accounts.
func (c *Core) resize(l *limit, now float64) {
	n := c.size(l, now)
	if l.expires = math.Inf(1); l.order.Left > 0 && now < l.until {
		l.expires = l.until
	}
	if n.size == l.Size && n.burst == l.Burst {
		return
	}
	for _, a := range c.due {
		if a.limit == l {
			c.settle(a, now)
		}
	}
	l.Size, l.Burst = n.size, n.burst
	for _, a := range c.due {
		if a.limit == l {
			c.recount(a, now)
		}
	}
}

// adopt takes an order up if it is newer than the one that is known.
func (c *Core) adopt(l *limit, o Order, asof float64) bool {
	s := &l.standing
	if !newer(o, s.order) {
		return false
	}
	s.before = size{l.Size, l.Burst}
	s.order, s.until = o, asof
	if o.Left > 0 {
		s.until += o.Left * c.spread(l, o)
	}
	return true
}

func newer(a, b Order) bool { return a.Version > b.Version || a.Version == b.Version && a.By > b.By }

// more says that an order lets more in than the document.
func (l *limit) more(o Order) bool {
	return o.Left > 0 && (o.Size > l.own.size || o.Burst > l.own.burst)
}

// spread: an order that lets more in ends rather early by every clock, one that lets less in rather late.
func (c *Core) spread(l *limit, o Order) float64 {
	if l.more(o) {
		return (1 - c.rules.Drift) / (1 + c.rules.Drift)
	}
	return (1 + c.rules.Drift) / (1 - c.rules.Drift)
}

// word is for a member; an answer echoes its question.
func (c *Core) word(l *limit, to string, now float64, echo uint64) Message {
	s := &l.standing
	w := &Word{Size: s.own.size, Burst: s.own.burst, Answer: echo == 0, Echo: echo}
	if s.order.Version > 0 {
		o := s.order
		o.Left = max(0, s.until-now) / c.spread(l, o)
		w.Order = &o
	}
	if w.Answer {
		c.seq++
		w.Asked = c.seq
		s.asked[to] = question{c.seq, now}
	}
	return Message{Kind: Told, Limit: l.Name, Boot: c.rules.Boot, Word: w}
}

// hear takes what another member tells.
func (c *Core) hear(l *limit, from string, w *Word, now float64) {
	if w == nil || !sane(w.Size) || !sane(w.Burst) || w.Order != nil && (!sane(w.Order.Size) || !sane(w.Order.Burst) || !(w.Order.Left >= 0 && w.Order.Left < orderMost)) {
		c.Counts.Odd++
		return
	}
	s := &l.standing
	s.theirs[from] = size{w.Size, w.Burst}
	c.rehome(l, now)
	news, unsure, q := false, false, s.asked[from]
	if o := w.Order; o != nil {
		// How long a message was under way nobody knows. What lets more in counts from a question that the word answers: its end must not come late.
		asof := now
		if more := l.more(*o); more && w.Echo > 0 && w.Echo == q.number {
			asof = q.at
		} else {
			unsure = more && newer(*o, s.order)
		}
		if !unsure {
			news = c.adopt(l, *o, asof)
		}
		s.known[from] = max(s.known[from], o.Version)
	}
	c.resize(l, now)
	if w.Answer {
		c.mail[from] = append(c.mail[from], c.word(l, from, now, max(1, w.Asked)))
	}
	switch {
	case news:
		c.tellAll(l, now)
	case unsure && (q.number == 0 || now >= q.at+askBackMs):
		// Not at each word: two members that ask back at once would go on for ever.
		c.mail[from] = append(c.mail[from], c.word(l, from, now, 0))
	}
}

const orderMost = 31 * 24 * 3600 * 1000.0 // ms

func sane(x float64) bool { return x > 0 && x <= 1e12 }

func (c *Core) tellAll(l *limit, now float64) {
	for _, name := range c.rules.Roster {
		if name != c.rules.Self {
			c.mail[name] = append(c.mail[name], c.word(l, name, now, 0))
		}
	}
}

// set is an operator's order.
func (c *Core) set(l *limit, v Set, now float64) {
	o := Order{Version: max(l.standing.order.Version+1, uint64(max(0, c.now))), By: c.rules.Self, Size: v.Size, Burst: v.Burst, Left: min(v.For, orderMost-1)}
	if v.For <= 0 || !sane(o.Size) || !sane(o.Burst) {
		o.Size, o.Burst, o.Left = l.standing.own.size, l.standing.own.burst, 0
	}
	c.adopt(l, o, now)
	c.resize(l, now)
	c.tellAll(l, now)
}

// talk tells one member, by turns of chance, what this one knows: so all come to agree after a split, and who has started hears of orders.
func (c *Core) talk(now float64) {
	n := len(c.rules.Roster)
	if at, is := slices.BinarySearch(c.rules.Roster, c.rules.Self); !is || n < 2 {
		c.talkAt = math.Inf(1)
	} else if now >= c.talkAt {
		c.talkAt = now + tellMs
		to := c.rules.Roster[(at+1+min(int(c.chance()*float64(n-1)), n-2))%n]
		for _, l := range c.limits {
			c.mail[to] = append(c.mail[to], c.word(l, to, now, 0))
		}
	}
	for _, l := range c.limits {
		if now >= l.expires {
			c.resize(l, now)
		}
	}
}
