package limitshare

import (
	"cmp"
	"container/heap"
	"slices"
)

// isIdle reports whether an account can be removed without losing state: no loans in either direction, nothing in use and a full bucket.
func (c *Core) isIdle(a *account, now float64) bool {
	c.settle(a, now)
	for i := range a.debts {
		if !a.debts[i].lentAt(now).none() {
			return false
		}
	}
	for i := range a.loans {
		if !a.loans[i].share.none() && now < c.loanEnd(a, &a.loans[i]) {
			return false
		}
	}
	if len(a.onceShares) > 0 && now < a.onceShares[len(a.onceShares)-1].until {
		return false
	}
	return a.used == 0 && now >= c.homeUsableAt(a.limit) && (a.limit.Kind == Stock || a.tokens >= c.bucketSize(a)-1e-9)
}

func (c *Core) removeAccount(a *account) {
	if c.disk && !c.diskLost && !a.mark.none() {
		a.mark = Part{}
		c.appendRecord(a.record())
	}
	heap.Remove(&c.queue, a.index)
	delete(c.accounts, accountID{a.limit.number, a.key})
}

// evictIdle removes accounts that are idle and have no demand, to free capacity for new keys.
func (c *Core) evictIdle() {
	// Walking all accounts is expensive, so it does not run for each scan of a new key.
	if c.now < c.nextEviction {
		return
	}
	c.nextEviction = c.now + evictionIntervalMs
	for _, a := range slices.Clone(c.queue) {
		// Keep the accounts in which the current scan is already counted.
		if !slices.Contains(c.takeAccounts, a) && c.isIdle(a, c.now) && c.neededShare(a, c.now).none() {
			c.removeAccount(a)
		}
	}
}

// Seen lists the state of all accounts, in no particular order.
func (c *Core) Seen(now float64) (all []Seen) {
	c.advance(now)
	now = c.now
	for _, a := range c.queue {
		c.settle(a, now)
		c.decay(a, now)
		s := Seen{Limit: a.limit.Name, Key: a.key, Size: a.limit.Size, Home: share(a.home[rateIndex]), Lent: share(a.lent(now)[rateIndex]), Share: share(a.share[rateIndex]),
			Used: a.used, Demand: max(a.fastDemand, a.slowDemand), Over: c.maxOveruse(a, now), Quiet: max(0, c.homeUsableAt(a.limit)-now)}
		if o := a.limit.order; o.Left > 0 && now < a.limit.until {
			s.Order, s.Left = o.By, a.limit.until-now
			for _, v := range a.limit.knownVersions {
				if v >= o.Version {
					s.Told++
				}
			}
		}
		if a.limit.Kind == Rate {
			c.decayTaken(a, now)
			s.Used = a.takenRate
		} else {
			s.Demand = a.peak
		}
		for i := range a.loans {
			l := &a.loans[i]
			if !l.share.none() && now < c.loanEnd(a, l) {
				s.Borrowed += share(l.share[rateIndex])
				s.Age = max(s.Age, now-(l.end-a.limit.Term))
			}
			s.Cut = s.Cut || l.silentSince > never && now-l.silentSince > a.limit.Term
		}
		all = append(all, s)
	}
	return all
}

// TopByDemand returns, for each limit, the most accounts with the highest demand, sorted by limit.
func TopByDemand(all []Seen, most int) []Seen {
	slices.SortFunc(all, func(a, b Seen) int {
		return cmp.Or(cmp.Compare(a.Limit, b.Limit), cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Key, b.Key))
	})
	n := map[string]int{}
	return slices.DeleteFunc(all, func(s Seen) bool {
		n[s.Limit]++
		return n[s.Limit] > most
	})
}

func share(n int64) float64 { return float64(n) / Whole }

// maxOveruse bounds by how much, as a share of the limit, the fleet may exceed an Available limit, as far as this member knows.
func (c *Core) maxOveruse(a *account, now float64) float64 {
	if !a.limit.Available {
		return 0
	}
	notAlive := 0
	for _, name := range c.rules.Roster {
		if name != c.rules.Self && c.alive != nil && !c.alive[name] {
			notAlive++
		}
	}
	bound := float64(notAlive) * a.limit.Alone // each of them may be in a partition of its own
	for i := range a.loans {
		if l := &a.loans[i]; !l.share.none() && now >= l.end-expiryMarginMs && now < c.loanEnd(a, l) {
			bound += share(max(l.share[rateIndex], l.share[burstIndex]))
		}
	}
	return bound
}

// Accounts returns the number of accounts kept.
func (c *Core) Accounts() int { return len(c.accounts) }

// accountHeap is a heap of accounts ordered by due time.
type accountHeap []*account

func (h accountHeap) Len() int { return len(h) }
func (h accountHeap) Less(i, j int) bool {
	if h[i].dueAt != h[j].dueAt {
		return h[i].dueAt < h[j].dueAt
	}
	if h[i].limit.number != h[j].limit.number {
		return h[i].limit.number < h[j].limit.number
	}
	return h[i].key < h[j].key
}
func (h accountHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].index, h[j].index = i, j }
func (h *accountHeap) Push(x any) {
	a := x.(*account)
	a.index = len(*h)
	*h = append(*h, a)
}
func (h *accountHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return a
}
