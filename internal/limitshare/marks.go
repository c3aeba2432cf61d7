package limitshare

import (
	"fmt"
	"hash/fnv"
	"math"
)

// Where there is a disk, a lender stores a mark for each account: the largest part of the home share that it may lend. The mark is stored before any
// loan above it is sent. A restarted process treats its marks as lent until a term has passed, and uses and lends the rest at once. Marks are coarse,
// so that few loans wait for the disk.

// Record is a durable record: the mark of an account or, if Limit is empty, the checksum of the rules under which the marks were made.
type Record struct {
	Limit, Key string
	Most       Part    // the largest part of the home share that may be lent
	Term       float64 // ms that a loan is valid
	Rules      uint64
}

// Store asks the caller to store a record and to report its number by Stored. Trust means that records that may have been missing at the start no
// longer matter.
type Store struct {
	Number uint64
	Record Record
	Trust  bool
}

// Stored reports that all records up to a number are durable.
type Stored struct{ Upto uint64 }

// DiskLost reports that nothing can be stored any more; the member lends nothing from now on.
type DiskLost struct{}

// marks is the state of a member's durable records.
type marks struct {
	disk          bool
	complete      bool // no record is missing, so home shares are usable at once
	diskLost      bool
	trusted       bool // the stored records are complete, or are once a pending record is durable
	rules         uint64
	number        uint64
	stored        uint64
	pendingSends  []pendingSend
	pendingStores []Store
	inherited     map[accountID]inheritedMark // marks of the previous process that no account has inherited yet
	trustAt       float64                     // when the loans of the previous process have ended
}

type inheritedMark struct {
	most Part
	term float64
}

// pendingSend is an answer that is sent once the record it depends on is durable.
type pendingSend struct {
	number uint64
	to     string
	m      Message
}

const (
	markSteps       = 8    // a mark is rounded up by one step: the home share divided by this
	markTerms       = 10.0 // terms after which a mark that is too high is lowered
	maxPendingSends = 4096 // answers that wait for the disk; further ones are dropped, as datagrams may be
)

// Restore turns on durable marks and loads those of the previous process. Sound means that records holds all that were stored. Call it before the
// first Step or Take. An account may have several records, oldest first. Restore reports whether the earlier loans are known; if not, home shares
// stay unused for a term, as without a disk.
func (c *Core) Restore(records []Record, sound bool) bool {
	c.disk, c.inherited = true, map[accountID]inheritedMark{}
	rules := uint64(0)
	for _, r := range records {
		l := c.byName[r.Limit]
		switch {
		case r.Limit == "":
			rules = r.Rules
		case l == nil || l.Available:
		case r.Most.none():
			delete(c.inherited, accountID{l.number, r.Key})
		case !r.Most.less(Part{}) && !whole.less(r.Most) && r.Term >= 0:
			c.inherited[accountID{l.number, r.Key}] = inheritedMark{r.Most, r.Term}
		}
	}
	// Under other rules (another roster or size) the members had other home shares, so their earlier loans are unknown.
	c.complete = sound && rules == c.rulesSum()
	c.trusted = c.complete
	return c.complete
}

// rulesSum returns a checksum of all rules that determine the shares.
func (c *Core) rulesSum() uint64 {
	if c.marks.rules == 0 {
		h := fnv.New64a()
		fmt.Fprintf(h, "%q %q %v", c.rules.Roster, c.rules.Self, c.rules.Drift)
		for _, l := range c.limits {
			fmt.Fprintf(h, "|%q %d %v %v %v %d %v", l.Name, l.Kind, l.initial.size, l.initial.burst, l.Term, l.Owners, l.Available)
		}
		c.marks.rules = max(1, h.Sum64())
	}
	return c.marks.rules
}

// PendingStores returns the records to store since the last call.
func (c *Core) PendingStores() []Store {
	all := c.pendingStores
	c.pendingStores = nil
	return all
}

// Records returns all current marks, to replace the records stored so far.
func (c *Core) Records() (all []Record) {
	if c.trusted {
		all = append(all, Record{Rules: c.rulesSum()})
	}
	known := map[accountID]bool{}
	for _, a := range c.queue {
		known[accountID{a.limit.number, a.key}] = true
		if !a.mark.none() {
			all = append(all, a.record())
		}
	}
	for k, m := range c.inherited { // marks of the previous process may still apply
		if l := c.limits[k.limit]; !known[k] && c.now < c.inheritedUntil(l, m) {
			all = append(all, Record{Limit: l.Name, Key: k.key, Most: m.most, Term: m.term})
		}
	}
	return all
}

func (a *account) record() Record {
	return Record{Limit: a.limit.Name, Key: a.key, Most: a.mark, Term: a.limit.Term}
}

// inheritedUntil returns until when a mark of the previous process applies.
func (c *Core) inheritedUntil(l *limit, m inheritedMark) float64 {
	return c.start + max(l.Term, m.term)*(1+c.rules.Drift)/(1-c.rules.Drift)
}

// inheritMark records what the previous process may have lent of an account as a debt that is never returned early.
func (c *Core) inheritMark(a *account) {
	m, found := c.inherited[accountID{a.limit.number, a.key}]
	if !found {
		return
	}
	a.mark = m.most
	delete(c.inherited, accountID{a.limit.number, a.key})
	if until := c.inheritedUntil(a.limit, m); c.now < until && !a.home.none() {
		a.debts = append(a.debts, debt{once: true, oldShare: m.most.min(a.home), oldUntil: until, newUntil: never, wantAt: never})
	}
}

// raiseMark raises an account's mark to cover what is lent now. Answers from now on wait until the new mark is durable.
func (c *Core) raiseMark(a *account, now float64) {
	lent := a.lent(now)
	if !c.disk || a.limit.Available || !a.mark.less(lent) {
		return
	}
	for q := range lent {
		if a.mark[q] < lent[q] {
			a.mark[q] = min(max(a.home[q], lent[q]), lent[q]+a.home[q]/markSteps)
		}
	}
	a.markChangedAt = now
	a.markNumber = c.appendRecord(a.record())
}

// lowerMark lowers a mark that has been too high for long, so that a restarted process can use more.
func (c *Core) lowerMark(a *account, now float64) {
	if !c.disk || c.diskLost || a.mark.none() || now < a.markChangedAt+markTerms*a.limit.Term {
		return
	}
	low := a.lent(now)
	for q := range low {
		if low[q] > 0 {
			low[q] = min(a.home[q], low[q]+a.home[q]/markSteps)
		}
	}
	if a.markChangedAt = now; low.less(a.mark) && !a.mark.less(low) {
		a.mark = low
		a.markNumber = c.appendRecord(a.record())
	}
}

func (c *Core) appendRecord(r Record) uint64 {
	c.number++
	c.Counts.Stored++
	c.pendingStores = append(c.pendingStores, Store{Number: c.number, Record: r})
	return c.number
}

// sendWhenStored sends a borrower its answer once the account's mark is durable.
func (c *Core) sendWhenStored(a *account, to string, m Message) {
	switch {
	case a.markNumber <= c.stored:
		c.outbox[to] = append(c.outbox[to], m)
	case len(c.pendingSends) < maxPendingSends && !c.diskLost:
		c.pendingSends = append(c.pendingSends, pendingSend{a.markNumber, to, m})
	}
}

// markStored sends the answers whose records are durable by now.
func (c *Core) markStored(upto uint64) {
	c.stored = max(c.stored, upto)
	remaining := c.pendingSends[:0]
	for _, w := range c.pendingSends {
		if w.number <= c.stored {
			c.outbox[w.to] = append(c.outbox[w.to], w.m)
		} else {
			remaining = append(remaining, w)
		}
	}
	c.pendingSends = remaining
}

// storeTrust stores the checksum of the rules once all loans that an earlier process may have granted under other rules have ended.
func (c *Core) storeTrust() {
	if c.now >= c.trustAt {
		c.inherited = nil
	}
	if c.now < c.trustDue() {
		return
	}
	c.trusted = true
	c.number++
	c.pendingStores = append(c.pendingStores, Store{Number: c.number, Record: Record{Rules: c.rulesSum()}, Trust: true})
}

// inheritedLoansEndAt returns when all loans of earlier processes have ended.
func (c *Core) inheritedLoansEndAt() float64 {
	at := c.start
	for _, l := range c.limits {
		at = max(at, c.priorLoansEndAt(l))
	}
	for k, m := range c.inherited {
		at = max(at, c.inheritedUntil(c.limits[k.limit], m))
	}
	return at
}

// trustDue returns when storeTrust is due.
func (c *Core) trustDue() float64 {
	if !c.disk || c.trusted || c.diskLost {
		return math.Inf(1)
	}
	return c.trustAt
}
