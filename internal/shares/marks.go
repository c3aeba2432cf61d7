package shares

import (
	"fmt"
	"hash/fnv"
	"math"
)

// What a lender has lent lasts, where there is a disk: as a mark for each account, so much of the home share may be lent from now on, stored before
// anything above it is told. A process that starts again takes what its marks say for lent until a term is over, and uses and lends the rest at once.
// Marks are coarse, so that few loans wait for the disk.

// Record is what has to last: an account's mark; or, without a limit, by what rules the shares are counted that marks are shares of.
type Record struct {
	Limit, Key string
	Most       Part    // so much of the home share may be lent
	Term       float64 // ms that loans hold
	Rules      uint64
}

// Store is a record that has to last before Stored tells its number. Trust says that what may have been missing at the start binds nobody any more.
type Store struct {
	Number uint64
	Record Record
	Trust  bool
}

// Stored says that all records up to a number last.
type Stored struct{ Upto uint64 }

// DiskLost says that nothing can be stored any more: nothing is lent from now on.
type DiskLost struct{}

// marks is what a member knows of its disk.
type marks struct {
	disk    bool
	sound   bool // nothing was forgotten: no quiet time
	failed  bool
	trusted bool // what lasts is all that counts, or will be when a record under way lasts
	rules   uint64
	number  uint64
	stored  uint64
	waits   []waiting
	stores  []Store
	before  map[id]mark // of the process before, as far as no account has taken them up
	ripe    float64     // when they bind nobody any more
}

type mark struct {
	most Part
	term float64
}

// waiting is an answer that is told when what it rests on lasts.
type waiting struct {
	number uint64
	to     string
	m      Message
}

const (
	markSteps = 8    // of a home share: marks are whole ones of these
	markTerms = 10.0 // terms after which a mark that is too high is lowered
	waitsMost = 4096 // answers that wait for the disk; more are lost, as datagrams may be
)

// Restore has marks stored before what rests on them is told, and begins with those that were. Sound says that they are all there are. It goes
// before the first Step or Take. Records of one account may come in any number, in their order. It returns whether what was lent is known: else home
// shares rest for a term, as without a disk.
func (c *Core) Restore(records []Record, sound bool) bool {
	c.disk, c.before = true, map[id]mark{}
	rules := uint64(0)
	for _, r := range records {
		l := c.byName[r.Limit]
		switch {
		case r.Limit == "":
			rules = r.Rules
		case l == nil || l.Available:
		case r.Most.none():
			delete(c.before, id{l.number, r.Key})
		case !r.Most.less(Part{}) && !whole.less(r.Most) && r.Term >= 0:
			c.before[id{l.number, r.Key}] = mark{r.Most, r.Term}
		}
	}
	// By other rules, another roster or size, other members had other homes: what they lent to whom nobody here knows.
	c.sound = sound && rules == c.rulesSum()
	c.trusted = c.sound
	return c.sound
}

// rulesSum tells rules by which shares are counted from others.
func (c *Core) rulesSum() uint64 {
	if c.marks.rules == 0 {
		h := fnv.New64a()
		fmt.Fprintf(h, "%q %q %v", c.rules.Roster, c.rules.Self, c.rules.Drift)
		for _, l := range c.limits {
			fmt.Fprintf(h, "|%q %d %v %v %v %d %v", l.Name, l.Kind, l.first.size, l.first.burst, l.Term, l.Owners, l.Available)
		}
		c.marks.rules = max(1, h.Sum64())
	}
	return c.marks.rules
}

// Stores lists what has to last since it was asked last.
func (c *Core) Stores() []Store {
	all := c.stores
	c.stores = nil
	return all
}

// Records are all marks as they would be stored, to take the place of those so far.
func (c *Core) Records() (all []Record) {
	if c.trusted {
		all = append(all, Record{Rules: c.rulesSum()})
	}
	known := map[id]bool{}
	for _, a := range c.due {
		known[id{a.limit.number, a.key}] = true
		if !a.mark.none() {
			all = append(all, a.record())
		}
	}
	for k, m := range c.before { // those of the process before may still bind
		if l := c.limits[k.limit]; !known[k] && c.now < c.bound(l, m) {
			all = append(all, Record{Limit: l.Name, Key: k.key, Most: m.most, Term: m.term})
		}
	}
	return all
}

func (a *account) record() Record {
	return Record{Limit: a.limit.Name, Key: a.key, Most: a.mark, Term: a.limit.Term}
}

// bound is up to when a mark of the process before binds this one.
func (c *Core) bound(l *limit, m mark) float64 {
	return c.start + max(l.Term, m.term)*(1+c.rules.Drift)/(1-c.rules.Drift)
}

// inherit takes up what the process before may have lent of an account, as something that nobody gives back.
func (c *Core) inherit(a *account) {
	m, was := c.before[id{a.limit.number, a.key}]
	if !was {
		return
	}
	a.mark = m.most
	delete(c.before, id{a.limit.number, a.key})
	if until := c.bound(a.limit, m); c.now < until && !a.home.none() {
		a.debts = append(a.debts, debt{once: true, hi: m.most.min(a.home), hiUntil: until, loUntil: never, wantAt: never})
	}
}

// raise has an account's mark cover what is lent of it now. What is told from now on waits until it lasts.
func (c *Core) raise(a *account, now float64) {
	lent := a.lent(now)
	if !c.disk || a.limit.Available || !a.mark.less(lent) {
		return
	}
	for q := range lent {
		if a.mark[q] < lent[q] {
			a.mark[q] = min(max(a.home[q], lent[q]), lent[q]+a.home[q]/markSteps)
		}
	}
	a.marked = now
	a.markAt = c.store(a.record())
}

// settled lowers a mark that has been too high for long, so that a process that starts again has more to use.
func (c *Core) settled(a *account, now float64) {
	if !c.disk || c.failed || a.mark.none() || now < a.marked+markTerms*a.limit.Term {
		return
	}
	low := a.lent(now)
	for q := range low {
		if low[q] > 0 {
			low[q] = min(a.home[q], low[q]+a.home[q]/markSteps)
		}
	}
	if a.marked = now; low.less(a.mark) && !a.mark.less(low) {
		a.mark = low
		a.markAt = c.store(a.record())
	}
}

func (c *Core) store(r Record) uint64 {
	c.number++
	c.Counts.Stored++
	c.stores = append(c.stores, Store{Number: c.number, Record: r})
	return c.number
}

// say tells a borrower what it is lent, once what that rests on lasts.
func (c *Core) say(a *account, to string, m Message) {
	switch {
	case a.markAt <= c.stored:
		c.mail[to] = append(c.mail[to], m)
	case len(c.waits) < waitsMost && !c.failed:
		c.waits = append(c.waits, waiting{a.markAt, to, m})
	}
}

// last tells what may be told by now.
func (c *Core) last(upto uint64) {
	c.stored = max(c.stored, upto)
	left := c.waits[:0]
	for _, w := range c.waits {
		if w.number <= c.stored {
			c.mail[w.to] = append(c.mail[w.to], w.m)
		} else {
			left = append(left, w)
		}
	}
	c.waits = left
}

// trust stores by what rules shares are counted, once all that an earlier process may have lent by others has run out.
func (c *Core) trust() {
	if c.now >= c.ripe {
		c.before = nil
	}
	if c.now < c.trustDue() {
		return
	}
	c.trusted = true
	c.number++
	c.stores = append(c.stores, Store{Number: c.number, Record: Record{Rules: c.rulesSum()}, Trust: true})
}

// ripens is when nothing that an earlier process may have lent binds anybody any more.
func (c *Core) ripens() float64 {
	at := c.start
	for _, l := range c.limits {
		at = max(at, c.rested(l))
	}
	for k, m := range c.before {
		at = max(at, c.bound(c.limits[k.limit], m))
	}
	return at
}

// trustDue is when trust is wanted.
func (c *Core) trustDue() float64 {
	if !c.disk || c.trusted || c.failed {
		return math.Inf(1)
	}
	return c.ripe
}
