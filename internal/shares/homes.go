package shares

import (
	"cmp"
	"container/heap"
	"hash/fnv"
	"maps"
	"math"
	"slices"
)

// account finds or makes one. Nil: too many are kept.
func (c *Core) account(l *limit, key string) *account {
	a := c.accounts[id{l.number, key}]
	if a != nil {
		return a
	}
	if len(c.accounts) >= c.rules.Most {
		return nil
	}
	a = &account{limit: l, key: key, rank: -1, at: c.now, asked: c.now, seen: c.now, took: c.now, change: never, index: -1, due: c.now + l.Term}
	all := owners(c.rules.Roster, l.Name+"\x00"+key, l.Owners)
	for i, name := range all {
		if name == c.rules.Self {
			a.rank, a.home = i, l.home(i, len(all))
		} else {
			a.loans = append(a.loans, loan{from: name, silent: never})
		}
	}
	c.accounts[id{l.number, key}] = a
	c.inherit(a)
	c.recount(a, c.now)
	if l.Kind == Rate {
		// Nothing was taken of it since then, but by this process under an account that was full when it was forgotten. Before that the one before may have
		// lent of it, and its tokens with it.
		a.tokens = min(c.deep(a), max(0, c.now-c.rested(l))/1000*c.pace(a))
	}
	heap.Push(&c.due, a)
	return a
}

// home is the share of the i-th of n owners, by whichever of the sizes that members may go by gives the least. So all homes together are never more than one
// size's, which all have in common: that of the documents at the start, or of the one member that was started with another. Accounts that were made while an order
// was in force once had homes of its size, and the fleet 1.1 of a limit.
func (l *limit) home(i, n int) Part {
	least := whole
	for _, s := range l.sizes {
		least = least.min(home(Limit{Kind: l.Kind, Size: s.size, Burst: s.burst}, i, n))
	}
	return least
}

// rehome counts the homes of all accounts anew, since a member is known to go by another size.
func (c *Core) rehome(l *limit, now float64) {
	sizes := []size{l.first}
	for _, s := range append([]size{l.own}, slices.Collect(maps.Values(l.theirs))...) {
		if !slices.Contains(sizes, s) {
			sizes = append(sizes, s)
		}
	}
	slices.SortFunc(sizes, func(a, b size) int { return cmp.Or(cmp.Compare(a.size, b.size), cmp.Compare(a.burst, b.burst)) })
	if slices.Equal(sizes, l.sizes) {
		return
	}
	l.sizes = sizes
	for _, a := range c.due {
		if a.limit == l && a.rank >= 0 {
			c.settle(a, now)
			a.home = l.home(a.rank, len(a.loans)+1)
			c.recount(a, now)
		}
	}
}

// home is the share of the i-th of n owners at one size. What is taken as a whole, tokens at once and open scans, is given out as a whole: five members with a
// fifth of a token each would let nobody in.
func home(l Limit, i, n int) Part {
	even := int64(Whole / n)
	if int64(i) < Whole%int64(n) {
		even++
	}
	pieces := func(size float64) int64 {
		whole := math.Floor(size)
		mine := math.Floor(whole / float64(n))
		if float64(i) < whole-mine*float64(n) {
			mine++
		}
		if i == 0 {
			mine += size - whole
		}
		return int64(mine / size * Whole)
	}
	if l.Kind == Stock {
		return Part{flow: pieces(l.Size)}
	}
	return Part{even, pieces(l.Burst)}
}

// owners ranks members for a key, by the highest weight of rendezvous hashing, and returns the first n; 0: all of them.
func owners(roster []string, key string, n int) []string {
	if n <= 0 || n > len(roster) {
		n = len(roster)
	}
	score := func(name string) uint64 {
		h := fnv.New64a()
		h.Write([]byte(key))
		h.Write([]byte{0})
		h.Write([]byte(name))
		x := h.Sum64() // FNV's last bytes hardly reach the high bits
		x ^= x >> 33
		x *= 0xff51afd7ed558ccd
		x ^= x >> 33
		return x
	}
	all := slices.SortedFunc(slices.Values(roster), func(a, b string) int { return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b)) })
	return all[:n]
}

// deep is how many tokens an account holds at most, pace how many come to it in a second, by a clock that may be fast.
func (c *Core) deep(a *account) float64 { return float64(a.share[depth]) / Whole * a.limit.Burst }
func (c *Core) pace(a *account) float64 {
	return float64(a.share[flow]) / Whole * a.limit.Size / (1 + c.rules.Drift)
}

// lent is how much of the home share is lent at a moment.
func (a *account) lent(now float64) (p Part) {
	for i := range a.debts {
		p = p.add(a.debts[i].out(now))
	}
	return p
}

// own is what is left of the home share; nothing where more was lent of a home that was larger.
func (a *account) own(now float64) Part { return a.home.sub(a.lent(now)).max(Part{}) }

// valid is the share that may be used from a moment's point of view up to another one.
func (c *Core) valid(a *account, now, upto float64) (p Part) {
	if now >= c.quiet(a.limit) {
		p = a.own(now)
	}
	for i := range a.loans {
		if l := &a.loans[i]; upto < c.ends(a, l) {
			p = p.add(l.share)
		}
	}
	for i := range a.singles {
		if s := &a.singles[i]; upto < s.until {
			p = p.add(s.share)
		}
	}
	alone := c.alone(a)
	return p.add(Part{alone, alone})
}

func (c *Core) ends(a *account, l *loan) float64 {
	if a.limit.Available {
		return l.end + a.limit.Linger
	}
	return l.end - leewayMs
}

// alone is what an Available limit's side of a split has beyond its home shares, divided among those on it.
func (c *Core) alone(a *account) int64 {
	if !a.limit.Available || a.limit.Alone <= 0 || c.living == nil {
		return 0
	}
	homes, n := int64(0), 0
	each := int64(Whole / (len(a.loans) + 1))
	if a.home.none() {
		each = int64(Whole / max(1, len(a.loans)))
	}
	for i := range a.loans {
		if c.living[a.loans[i].from] {
			homes += each
		}
	}
	for _, name := range c.rules.Roster {
		if c.living[name] || name == c.rules.Self {
			n++
		}
	}
	return max(0, int64(a.limit.Alone*Whole)-homes-a.home[flow]) / int64(n)
}
