package limitshare

import (
	"cmp"
	"container/heap"
	"hash/fnv"
	"maps"
	"math"
	"slices"
)

// account returns the account of a key and creates it if needed. It returns nil if there are too many accounts.
func (c *Core) account(l *limit, key string) *account {
	a := c.accounts[accountID{l.number, key}]
	if a != nil {
		return a
	}
	if len(c.accounts) >= c.rules.Most {
		return nil
	}
	a = &account{limit: l, key: key, rank: -1, tokensAt: c.now, demandAt: c.now, lastScanAt: c.now, takenAt: c.now, changeAt: never, index: -1, dueAt: c.now + l.Term}
	all := owners(c.rules.Roster, l.Name+"\x00"+key, l.Owners)
	for i, name := range all {
		if name == c.rules.Self {
			a.rank, a.home = i, l.home(i, len(all))
		} else {
			a.loans = append(a.loans, loan{from: name, silentSince: never})
		}
	}
	c.accounts[accountID{l.number, key}] = a
	c.inheritMark(a)
	c.recomputeShare(a, c.now)
	if l.Kind == Rate {
		// Since the loans of an earlier process ended, only this process can have taken tokens, under an account that was full when it was evicted.
		// Before that, the earlier process may have lent part of the share, and tokens with it.
		a.tokens = min(c.bucketSize(a), max(0, c.now-c.priorLoansEndAt(l))/1000*c.refillRate(a))
	}
	heap.Push(&c.queue, a)
	return a
}

// home returns the home share of the i-th of n owners: the least over all sizes that members may currently use. So all home shares together never exceed
// one size that all members have in common: that of the documents at the start, or that of the one member that started with another document. When accounts that
// were created under an order took their home shares from the order's size, the fleet used 1.1 of a limit.
func (l *limit) home(i, n int) Part {
	least := whole
	for _, s := range l.sizes {
		least = least.min(home(Limit{Kind: l.Kind, Size: s.size, Burst: s.burst}, i, n))
	}
	return least
}

// recomputeHomes recomputes the home shares of all accounts of a limit after the set of sizes in use has changed.
func (c *Core) recomputeHomes(l *limit, now float64) {
	sizes := []size{l.initial}
	for _, s := range append([]size{l.own}, slices.Collect(maps.Values(l.memberSizes))...) {
		if !slices.Contains(sizes, s) {
			sizes = append(sizes, s)
		}
	}
	slices.SortFunc(sizes, func(a, b size) int { return cmp.Or(cmp.Compare(a.size, b.size), cmp.Compare(a.burst, b.burst)) })
	if slices.Equal(sizes, l.sizes) {
		return
	}
	l.sizes = sizes
	for _, a := range c.queue {
		if a.limit == l && a.rank >= 0 {
			c.settle(a, now)
			a.home = l.home(a.rank, len(a.loans)+1)
			c.recomputeShare(a, now)
		}
	}
}

// home returns the share of the i-th of n owners at one size. Burst tokens and open scans are indivisible, so they are assigned as whole units: five members
// with a fifth of a token each would admit no scan.
func home(l Limit, i, n int) Part {
	even := int64(Whole / n)
	if int64(i) < Whole%int64(n) {
		even++
	}
	wholeUnits := func(size float64) int64 {
		units := math.Floor(size)
		mine := math.Floor(units / float64(n))
		if float64(i) < units-mine*float64(n) {
			mine++
		}
		if i == 0 {
			mine += size - units
		}
		return int64(mine / size * Whole)
	}
	if l.Kind == Stock {
		return Part{rateIndex: wholeUnits(l.Size)}
	}
	return Part{even, wholeUnits(l.Burst)}
}

// owners ranks the members for a key by rendezvous hashing and returns the first n, or all of them if n is 0.
func owners(roster []string, key string, n int) []string {
	if n <= 0 || n > len(roster) {
		n = len(roster)
	}
	score := func(name string) uint64 {
		h := fnv.New64a()
		h.Write([]byte(key))
		h.Write([]byte{0})
		h.Write([]byte(name))
		x := h.Sum64() // the last bytes fed to FNV hardly affect its high bits
		x ^= x >> 33
		x *= 0xff51afd7ed558ccd
		x ^= x >> 33
		return x
	}
	all := slices.SortedFunc(slices.Values(roster), func(a, b string) int { return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b)) })
	return all[:n]
}

// bucketSize returns how many tokens an account holds at most.
func (c *Core) bucketSize(a *account) float64 {
	return float64(a.share[burstIndex]) / Whole * a.limit.Burst
}

// refillRate returns the tokens added per second, reduced by the drift of a clock that may run fast.
func (c *Core) refillRate(a *account) float64 {
	return float64(a.share[rateIndex]) / Whole * a.limit.Size / (1 + c.rules.Drift)
}

// lent returns how much of the home share is lent at a moment.
func (a *account) lent(now float64) (p Part) {
	for i := range a.debts {
		p = p.add(a.debts[i].lentAt(now))
	}
	return p
}

// remainingHome returns the part of the home share that is not lent; zero if more is lent because the home share was larger before.
func (a *account) remainingHome(now float64) Part { return a.home.sub(a.lent(now)).max(Part{}) }

// usableShare returns the share that, as known at now, may be used until upto.
func (c *Core) usableShare(a *account, now, upto float64) (p Part) {
	if now >= c.homeUsableAt(a.limit) {
		p = a.remainingHome(now)
	}
	for i := range a.loans {
		if l := &a.loans[i]; upto < c.loanEnd(a, l) {
			p = p.add(l.share)
		}
	}
	for i := range a.onceShares {
		if s := &a.onceShares[i]; upto < s.until {
			p = p.add(s.share)
		}
	}
	alone := c.partitionShare(a)
	return p.add(Part{alone, alone})
}

func (c *Core) loanEnd(a *account, l *loan) float64 {
	if a.limit.Available {
		return l.end + a.limit.Linger
	}
	return l.end - expiryMarginMs
}

// partitionShare returns this member's part of what one side of a network partition may use of an Available limit beyond the home shares on that side.
func (c *Core) partitionShare(a *account) int64 {
	if !a.limit.Available || a.limit.Alone <= 0 || c.alive == nil {
		return 0
	}
	homes, n := int64(0), 0
	each := int64(Whole / (len(a.loans) + 1))
	if a.home.none() {
		each = int64(Whole / max(1, len(a.loans)))
	}
	for i := range a.loans {
		if c.alive[a.loans[i].from] {
			homes += each
		}
	}
	for _, name := range c.rules.Roster {
		if c.alive[name] || name == c.rules.Self {
			n++
		}
	}
	return max(0, int64(a.limit.Alone*Whole)-homes-a.home[rateIndex]) / int64(n)
}
