package shares

import (
	"cmp"
	"container/heap"
	"slices"
)

// idle says whether nothing is known of an account that would be lost with it.
func (c *Core) idle(a *account, now float64) bool {
	c.settle(a, now)
	for i := range a.debts {
		if !a.debts[i].out(now).none() {
			return false
		}
	}
	for i := range a.loans {
		if !a.loans[i].share.none() && now < c.ends(a, &a.loans[i]) {
			return false
		}
	}
	if len(a.singles) > 0 && now < a.singles[len(a.singles)-1].until {
		return false
	}
	return a.used == 0 && now >= c.quiet(a.limit) && (a.limit.Kind == Stock || a.tokens >= c.deep(a)-1e-9)
}

func (c *Core) drop(a *account) {
	if c.disk && !c.failed && !a.mark.none() {
		a.mark = Part{}
		c.store(a.record())
	}
	heap.Remove(&c.due, a.index)
	delete(c.accounts, id{a.limit.number, a.key})
}

// forget makes room: accounts that nobody asks of and that owe nothing go.
func (c *Core) forget() {
	// Looking at all of them takes time: not for each scan of a new key.
	if c.now < c.forgetAt {
		return
	}
	c.forgetAt = c.now + forgetMs
	for _, a := range slices.Clone(c.due) {
		// Not one that this very scan has been counted in.
		if !slices.Contains(c.picked, a) && c.idle(a, c.now) && c.need(a, c.now).none() {
			c.drop(a)
		}
	}
}

// Seen lists what is seen of all accounts, in no order.
func (c *Core) Seen(now float64) (all []Seen) {
	c.begin(now)
	now = c.now
	for _, a := range c.due {
		c.settle(a, now)
		c.decay(a, now)
		s := Seen{Limit: a.limit.Name, Key: a.key, Size: a.limit.Size, Home: share(a.home[flow]), Lent: share(a.lent(now)[flow]), Share: share(a.share[flow]),
			Used: a.used, Demand: max(a.fast, a.slow), Over: c.over(a, now), Quiet: max(0, c.quiet(a.limit)-now)}
		if o := a.limit.order; o.Left > 0 && now < a.limit.until {
			s.Order, s.Left = o.By, a.limit.until-now
			for _, v := range a.limit.known {
				if v >= o.Version {
					s.Told++
				}
			}
		}
		if a.limit.Kind == Rate {
			c.counted(a, now)
			s.Used = a.taken
		} else {
			s.Demand = a.peak
		}
		for i := range a.loans {
			l := &a.loans[i]
			if !l.share.none() && now < c.ends(a, l) {
				s.Borrowed += share(l.share[flow])
				s.Age = max(s.Age, now-(l.end-a.limit.Term))
			}
			s.Cut = s.Cut || l.silent > never && now-l.silent > a.limit.Term
		}
		all = append(all, s)
	}
	return all
}

// Busiest are the so many of each limit that most is asked of, by limit. It needs no core.
func Busiest(all []Seen, most int) []Seen {
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

// over is how much of a limit the fleet could use at most beyond it, as far as this member knows.
func (c *Core) over(a *account, now float64) float64 {
	if !a.limit.Available {
		return 0
	}
	gone := 0
	for _, name := range c.rules.Roster {
		if name != c.rules.Self && c.living != nil && !c.living[name] {
			gone++
		}
	}
	most := float64(gone) * a.limit.Alone // each of them may be a side of its own
	for i := range a.loans {
		if l := &a.loans[i]; !l.share.none() && now >= l.end-leewayMs && now < c.ends(a, l) {
			most += share(max(l.share[flow], l.share[depth]))
		}
	}
	return most
}

// Accounts is how many are kept.
func (c *Core) Accounts() int { return len(c.accounts) }

// accounts is a heap by when they are due.
type accounts []*account

func (h accounts) Len() int { return len(h) }
func (h accounts) Less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
	}
	if h[i].limit.number != h[j].limit.number {
		return h[i].limit.number < h[j].limit.number
	}
	return h[i].key < h[j].key
}
func (h accounts) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].index, h[j].index = i, j }
func (h *accounts) Push(x any) {
	a := x.(*account)
	a.index = len(*h)
	*h = append(*h, a)
}
func (h *accounts) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return a
}
