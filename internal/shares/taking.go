package shares

import (
	"math"
	"slices"
)

// recount makes an account's share and the moment it changes by itself.
func (c *Core) recount(a *account, now float64) {
	a.share, a.change = c.valid(a, now, now), math.Inf(1)
	if q := c.quiet(a.limit); now < q {
		a.change = q
	}
	for i := range a.debts {
		for _, at := range [2]float64{a.debts[i].loUntil, a.debts[i].hiUntil} {
			if at > now {
				a.change = min(a.change, at)
			}
		}
	}
	for i := range a.loans {
		if at := c.ends(a, &a.loans[i]); !a.loans[i].share.none() && at > now {
			a.change = min(a.change, at)
		}
	}
	for i := range a.singles {
		if at := a.singles[i].until; at > now {
			a.change = min(a.change, at)
		}
	}
	a.tokens = min(a.tokens, c.deep(a))
}

// settle brings an account up to a moment. What has run out is over before anything else.
func (c *Core) settle(a *account, now float64) {
	for a.change <= now {
		at := max(a.change, a.at)
		c.accrue(a, at)
		c.recount(a, at)
	}
	c.accrue(a, now)
}

func (c *Core) accrue(a *account, now float64) {
	if now > a.at {
		a.tokens = min(c.deep(a), a.tokens+(now-a.at)/1000*c.pace(a))
		a.at = now
	}
}

// Take is asked for each scan that comes, with all limits that count it. It takes of all of them or of none. What it takes of a Stock limit has to
// be given back by Done, and is over after lasts ms at the latest.
func (c *Core) Take(now float64, uses []Use, lasts float64) Verdict {
	return c.take(now, uses, lasts, false)
}

// Again is asked for a scan that waits, once Came says that tokens have come: its demand is counted already.
func (c *Core) Again(now float64, uses []Use, lasts float64) Verdict {
	return c.take(now, uses, lasts, true)
}

// Came says whether tokens for single scans have come since it was asked last.
func (c *Core) Came() bool {
	came := c.came
	c.came = false
	return came
}

func (c *Core) take(now float64, uses []Use, lasts float64, again bool) Verdict {
	c.begin(now)
	now = c.now
	refused, short := -1, (*account)(nil)
	c.picked = c.picked[:0]
	for i := range uses {
		u := &uses[i]
		l := c.limits[u.Limit]
		if now >= l.expires {
			c.resize(l, now)
		}
		a := c.account(l, u.Key)
		if a == nil {
			c.forget()
			if a = c.account(l, u.Key); a == nil {
				c.Counts.Crowded++
				return Verdict{Limit: u.Limit, After: c.rules.After}
			}
		}
		c.picked = append(c.picked, a)
		c.settle(a, now)
		if !again {
			c.asked(a, now, u.Cost)
		}
		if refused < 0 && !c.fits(a, now, u.Cost, lasts) {
			refused, short = u.Limit, a
		}
	}
	if refused >= 0 {
		if !again && c.askOnce(short, now, uses) {
			return Verdict{Limit: refused, After: c.after(short, now), Wait: waitMs}
		}
		c.Counts.Throttled++
		if l := short.limit; l.Kind == Stock {
			short.peak = max(short.peak, (short.used+1)*1.5)
		}
		if len(short.loans) > 0 || len(short.debts) > 0 {
			c.wake(short, max(now, short.next))
		}
		return Verdict{Limit: refused, After: c.after(short, now)}
	}
	for i := range uses {
		u := &uses[i]
		a := c.picked[i]
		if a.limit.Kind == Rate {
			a.tokens -= u.Cost
			c.counted(a, now)
			a.taken += u.Cost * 1000 / slowMs
		} else {
			a.used += u.Cost
			a.lastEnd = max(a.lastEnd, now+lasts)
			a.peak = max(a.peak, a.used)
		}
	}
	c.Counts.Taken++
	if again {
		c.Counts.Once++
	}
	return Verdict{Taken: true, Limit: -1}
}

// askOnce asks an owner for the tokens of one scan. Where a key is asked for now and then at many members, none of them can hold a share for it: a whole token lent for a term to each
// of sixty is not there, and of a limit of five a second 5 in 100 were used. So such a token goes for as long as an answer may take, and comes back by itself.
func (c *Core) askOnce(a *account, now float64, uses []Use) bool {
	a.onces = slices.DeleteFunc(a.onces, func(o once) bool { return now >= o.sent+onceMs })
	if a.limit.Kind != Rate || !c.rules.Loans || len(a.loans) == 0 || now < a.dryUntil || len(a.onces) >= onceMost ||
		a.slow*a.limit.Term/1000 > seldom {
		return false
	}
	cost := 0.0
	for i := range uses {
		if u := &uses[i]; u.Limit == a.limit.number && u.Key == a.key {
			cost += u.Cost
		}
	}
	return cost <= a.limit.Burst && c.sendOnce(a, once{owner: int(c.chance()*float64(len(a.loans))) % len(a.loans), cost: cost}, now)
}

// sendOnce asks the next owner that answers.
func (c *Core) sendOnce(a *account, o once, now float64) bool {
	n := parts(o.cost / a.limit.Burst)
	for i := range 2 * len(a.loans) {
		o.owner = (o.owner + 1) % len(a.loans)
		rank := o.owner // among all owners, this member at its own
		if a.rank >= 0 && rank >= a.rank {
			rank++
		}
		// Whose home has room for it first: of a burst smaller than the owners are many most have none, and who asked them by chance was told so three times.
		able := a.limit.home(rank, len(a.loans)+1)[depth] >= n || i >= len(a.loans)
		if l := &a.loans[o.owner]; l.silent == never && able {
			c.seq++
			o.seq, o.sent, o.tries = c.seq, now, o.tries+1
			a.onces = append(a.onces, o)
			c.mail[l.from] = append(c.mail[l.from], Message{Kind: Ask, Limit: a.limit.Name, Key: a.key, Boot: c.rules.Boot, Seq: o.seq, Share: Part{depth: n}, Once: true})
			c.wake(a, c.now) // it goes out with the next Step
			return true
		}
	}
	return false
}

// spare gives a member the tokens of one scan, if there are as many now, and with them their room for as long as they hold.
func (c *Core) spare(a *account, now float64, from string, m Message) {
	if c.failed {
		return
	}
	a.debts = slices.DeleteFunc(a.debts, func(d debt) bool { return d.once && d.out(now).none() })
	if now < c.quiet(a.limit) || len(a.debts) >= 4*len(c.rules.Roster)+onceMost ||
		slices.ContainsFunc(a.debts, func(d debt) bool { return d.once && d.to == from && d.boot == m.Boot && d.seq >= m.Seq }) {
		return // twice, or out of order: it is asked again
	}
	answer := Message{Kind: Loan, Limit: m.Limit, Key: m.Key, Boot: m.Boot, Seq: m.Seq, Once: true}
	if cost := float64(m.Share[depth]) / Whole * a.limit.Burst; a.tokens >= cost-sliver && !a.own(now).less(Part{depth: m.Share[depth]}) {
		a.debts = append(a.debts, debt{to: from, boot: m.Boot, seq: m.Seq, lo: Part{depth: m.Share[depth]}, loUntil: now + onceMs*(1+c.rules.Drift)/(1-c.rules.Drift),
			hiUntil: never, wantAt: never, once: true})
		a.tokens -= cost
		c.recount(a, now)
		c.Counts.Spared++
		answer.Share, answer.Tokens = Part{depth: m.Share[depth]}, cost
		c.raise(a, now)
	}
	c.say(a, from, answer)
}

// spared takes an owner's answer.
func (c *Core) spared(a *account, now float64, m Message) {
	at := slices.IndexFunc(a.onces, func(o once) bool { return o.seq == m.Seq })
	if at < 0 {
		c.Counts.Late++
		return
	}
	o := a.onces[at]
	a.onces = slices.Delete(a.onces, at, at+1)
	switch until := o.sent + onceMs; {
	case m.Share.none() && o.tries < min(onceTries, len(a.loans)) && now < o.sent+waitMs:
		c.sendOnce(a, o, now)
	case m.Share.none():
		// As many a second as the limit has can be had by whoever asks; who has just been told that there is none asks no owner for as long as the next takes.
		a.dryUntil = now + min(1000/a.limit.Size, a.limit.Term)
	case now >= until-leewayMs:
		c.Counts.Late++
	default:
		a.singles = append(slices.DeleteFunc(a.singles, func(s single) bool { return now >= s.until }), single{m.Share.min(Part{depth: parts(o.cost / a.limit.Burst)}), until - leewayMs})
		c.recount(a, now)
		a.tokens = min(c.deep(a), a.tokens+min(m.Tokens, o.cost))
		c.came = true
	}
}

// Room is how much of a Rate limit could be taken at a moment. It counts as no demand.
func (c *Core) Room(now float64, u Use) float64 {
	c.begin(now)
	l := c.limits[u.Limit]
	if c.now >= l.expires {
		c.resize(l, c.now)
	}
	a := c.account(l, u.Key)
	if a == nil {
		return 0
	}
	c.settle(a, c.now)
	return math.Floor(a.tokens + sliver)
}

func (c *Core) fits(a *account, now, cost, lasts float64) bool {
	if a.limit.Kind == Rate {
		return a.tokens >= cost-sliver
	}
	return a.used+cost <= float64(c.valid(a, now, now+lasts)[flow])/Whole*a.limit.Size+sliver
}

// Done gives back what a scan took of Stock limits.
func (c *Core) Done(now float64, uses []Use) {
	c.begin(now)
	for i := range uses {
		a := c.accounts[id{uses[i].Limit, uses[i].Key}]
		if a == nil || a.limit.Kind != Stock {
			continue
		}
		if a.used = max(0, a.used-uses[i].Cost); a.used < 1e-9 {
			a.used, a.lastEnd = 0, 0
		}
	}
}

// asked counts demand, whether it is taken or not.
func (c *Core) asked(a *account, now, cost float64) {
	c.decay(a, now)
	a.fast += cost * 1000 / fastMs
	a.slow += cost * 1000 / slowMs
	a.seen = now
}

func (c *Core) decay(a *account, now float64) {
	if dt := now - a.asked; dt >= decayMs {
		a.fast *= math.Exp(-dt / fastMs)
		a.slow *= math.Exp(-dt / slowMs)
		a.peak = a.used + (a.peak-a.used)*math.Exp(-dt/slowMs)
		a.asked = now
	}
}

// counted lets what was taken age.
func (c *Core) counted(a *account, now float64) {
	if dt := now - a.took; dt >= decayMs {
		a.taken *= math.Exp(-dt / slowMs)
		a.took = now
	}
}

// after is a time to come back: those who are turned away are given the fleet's next tokens one after the other.
func (c *Core) after(a *account, now float64) float64 {
	if c.rules.After <= 0 {
		return 0
	}
	step := 1000 / max(a.limit.Size, 1e-3)
	if a.limit.Kind == Stock {
		step = slowMs / 10 / max(a.limit.Size, 1)
	}
	a.back = min(max(a.back, now)+step, now+c.rules.After)
	return min(c.rules.After, (a.back-now)*(1+backSpread*c.chance()))
}

// need is the share that this member's own demand needs.
func (c *Core) need(a *account, now float64) Part {
	c.decay(a, now)
	if a.limit.Kind == Stock {
		if a.peak < 1e-3 {
			return Part{}
		}
		return Part{flow: parts(max(a.peak*headroom, min(a.peak+1, a.limit.Size)) / a.limit.Size)}
	}
	// What came over the longer time, within what the shorter one leaves likely: one scan in 200 ms says little, a hundred fewer say much.
	likely := math.Sqrt(a.fast * 1000 / fastMs)
	d := max(a.fast-1.5*likely, min(a.slow, a.fast+2*likely+2*1000/fastMs))
	if a.slow*slowMs/1000 < 0.02 {
		return Part{} // nobody asks any more
	}
	room := headroom
	if a.tokens < lowShare*c.deep(a) {
		room = lowRoom
	}
	n := d * room * (1 + c.rules.Drift) / a.limit.Size
	// Less than one whole token at once lets nothing in.
	return Part{parts(n), parts(max(n, (1-sliver/10)/a.limit.Burst))}
}

func parts(share float64) int64 { return int64(math.Ceil(min(1, max(0, share)) * Whole)) }
