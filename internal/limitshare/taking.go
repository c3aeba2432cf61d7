package limitshare

import (
	"math"
	"slices"
)

// recomputeShare recomputes an account's usable share and when it next changes without input.
func (c *Core) recomputeShare(a *account, now float64) {
	a.share, a.changeAt = c.usableShare(a, now, now), math.Inf(1)
	if q := c.homeUsableAt(a.limit); now < q {
		a.changeAt = q
	}
	for i := range a.debts {
		for _, at := range [2]float64{a.debts[i].newUntil, a.debts[i].oldUntil} {
			if at > now {
				a.changeAt = min(a.changeAt, at)
			}
		}
	}
	for i := range a.loans {
		if at := c.loanEnd(a, &a.loans[i]); !a.loans[i].share.none() && at > now {
			a.changeAt = min(a.changeAt, at)
		}
	}
	for i := range a.onceShares {
		if at := a.onceShares[i].until; at > now {
			a.changeAt = min(a.changeAt, at)
		}
	}
	a.tokens = min(a.tokens, c.bucketSize(a))
}

// settle brings an account up to date. It ends expired loans before anything else.
func (c *Core) settle(a *account, now float64) {
	for a.changeAt <= now {
		at := max(a.changeAt, a.tokensAt)
		c.accrue(a, at)
		c.recomputeShare(a, at)
	}
	c.accrue(a, now)
}

func (c *Core) accrue(a *account, now float64) {
	if now > a.tokensAt {
		a.tokens = min(c.bucketSize(a), a.tokens+(now-a.tokensAt)/1000*c.refillRate(a))
		a.tokensAt = now
	}
}

// Take decides on an incoming scan, given all limits that apply to it. It takes from all of them or from none. What it takes of a Stock limit has to be
// returned by Done. The scan ends after at most lasts ms.
func (c *Core) Take(now float64, uses []Use, lasts float64) Verdict {
	return c.take(now, uses, lasts, false)
}

// Again decides on a waiting scan after Came has reported new tokens. It does not count the demand a second time.
func (c *Core) Again(now float64, uses []Use, lasts float64) Verdict {
	return c.take(now, uses, lasts, true)
}

// Came reports whether tokens for single scans have arrived since the last call.
func (c *Core) Came() bool {
	came := c.tokensArrived
	c.tokensArrived = false
	return came
}

func (c *Core) take(now float64, uses []Use, lasts float64, again bool) Verdict {
	c.advance(now)
	now = c.now
	refused, short := -1, (*account)(nil)
	c.takeAccounts = c.takeAccounts[:0]
	for i := range uses {
		u := &uses[i]
		l := c.limits[u.Limit]
		if now >= l.expiresAt {
			c.resize(l, now)
		}
		a := c.account(l, u.Key)
		if a == nil {
			c.evictIdle()
			if a = c.account(l, u.Key); a == nil {
				c.Counts.Crowded++
				return Verdict{Limit: u.Limit, After: c.rules.After}
			}
		}
		c.takeAccounts = append(c.takeAccounts, a)
		c.settle(a, now)
		if !again {
			c.countDemand(a, now, u.Cost)
		}
		if refused < 0 && !c.fits(a, now, u.Cost, lasts) {
			refused, short = u.Limit, a
		}
	}
	if refused >= 0 {
		if !again && c.askOnce(short, now, uses) {
			return Verdict{Limit: refused, After: c.retryAfter(short, now), Wait: onceWaitMs}
		}
		c.Counts.Throttled++
		if l := short.limit; l.Kind == Stock {
			short.peak = max(short.peak, (short.used+1)*1.5)
		}
		if len(short.loans) > 0 || len(short.debts) > 0 {
			c.scheduleBy(short, max(now, short.nextAt))
		}
		return Verdict{Limit: refused, After: c.retryAfter(short, now)}
	}
	for i := range uses {
		u := &uses[i]
		a := c.takeAccounts[i]
		if a.limit.Kind == Rate {
			a.tokens -= u.Cost
			c.decayTaken(a, now)
			a.takenRate += u.Cost * 1000 / slowMs
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

// askOnce asks an owner for the tokens of one scan. If a key gets occasional scans at many members, none of them can hold a loan for it: there are not enough tokens to lend a whole one to
// each of sixty members for a term, and 5 % of a limit of five a second was used. So such a token is lent only for as long as an answer may take, and returns by expiry.
func (c *Core) askOnce(a *account, now float64, uses []Use) bool {
	a.pendingOnces = slices.DeleteFunc(a.pendingOnces, func(o pendingOnce) bool { return now >= o.sent+onceTermMs })
	if a.limit.Kind != Rate || !c.rules.Loans || len(a.loans) == 0 || now < a.noOnceUntil || len(a.pendingOnces) >= maxPendingOnces ||
		a.slowDemand*a.limit.Term/1000 > maxOnceDemand {
		return false
	}
	cost := 0.0
	for i := range uses {
		if u := &uses[i]; u.Limit == a.limit.number && u.Key == a.key {
			cost += u.Cost
		}
	}
	return cost <= a.limit.Burst && c.sendOnce(a, pendingOnce{owner: int(c.random()*float64(len(a.loans))) % len(a.loans), cost: cost}, now)
}

// sendOnce asks the next responsive owner for the tokens of one scan, and reports whether there is one.
func (c *Core) sendOnce(a *account, o pendingOnce, now float64) bool {
	n := toParts(o.cost / a.limit.Burst)
	for i := range 2 * len(a.loans) {
		o.owner = (o.owner + 1) % len(a.loans)
		rank := o.owner // rank among all owners, this member included
		if a.rank >= 0 && rank >= a.rank {
			rank++
		}
		// Owners whose home share can hold the tokens come first: if the burst is smaller than the number of owners, most have none, and a random choice
		// often led to three refusals.
		able := a.limit.home(rank, len(a.loans)+1)[burstIndex] >= n || i >= len(a.loans)
		if l := &a.loans[o.owner]; l.silentSince == never && able {
			c.seq++
			o.seq, o.sent, o.tries = c.seq, now, o.tries+1
			a.pendingOnces = append(a.pendingOnces, o)
			c.outbox[l.from] = append(c.outbox[l.from], Message{Kind: Ask, Limit: a.limit.Name, Key: a.key, Boot: c.rules.Boot, Seq: o.seq, Share: Part{burstIndex: n}, Once: true})
			c.scheduleBy(a, c.now) // the message is sent by the next Step
			return true
		}
	}
	return false
}

// grantOnce lends a member the tokens of one scan, if available, with the burst share that holds them, for their validity.
func (c *Core) grantOnce(a *account, now float64, from string, m Message) {
	if c.diskLost {
		return
	}
	a.debts = slices.DeleteFunc(a.debts, func(d debt) bool { return d.once && d.lentAt(now).none() })
	if now < c.homeUsableAt(a.limit) || len(a.debts) >= 4*len(c.rules.Roster)+maxPendingOnces ||
		slices.ContainsFunc(a.debts, func(d debt) bool { return d.once && d.to == from && d.boot == m.Boot && d.seq >= m.Seq }) {
		return // duplicated or out of order: the borrower retries
	}
	answer := Message{Kind: Loan, Limit: m.Limit, Key: m.Key, Boot: m.Boot, Seq: m.Seq, Once: true}
	if cost := float64(m.Share[burstIndex]) / Whole * a.limit.Burst; a.tokens >= cost-tokenTolerance && !a.remainingHome(now).less(Part{burstIndex: m.Share[burstIndex]}) {
		a.debts = append(a.debts, debt{to: from, boot: m.Boot, seq: m.Seq, newShare: Part{burstIndex: m.Share[burstIndex]}, newUntil: now + onceTermMs*(1+c.rules.Drift)/(1-c.rules.Drift),
			oldUntil: never, wantAt: never, once: true})
		a.tokens -= cost
		c.recomputeShare(a, now)
		c.Counts.Spared++
		answer.Share, answer.Tokens = Part{burstIndex: m.Share[burstIndex]}, cost
		c.raiseMark(a, now)
	}
	c.sendWhenStored(a, from, answer)
}

// receiveOnce applies an owner's answer to an ask for one scan.
func (c *Core) receiveOnce(a *account, now float64, m Message) {
	at := slices.IndexFunc(a.pendingOnces, func(o pendingOnce) bool { return o.seq == m.Seq })
	if at < 0 {
		c.Counts.Late++
		return
	}
	o := a.pendingOnces[at]
	a.pendingOnces = slices.Delete(a.pendingOnces, at, at+1)
	switch until := o.sent + onceTermMs; {
	case m.Share.none() && o.tries < min(maxOnceTries, len(a.loans)) && now < o.sent+onceWaitMs:
		c.sendOnce(a, o, now)
	case m.Share.none():
		// The fleet gets one token per 1/Size seconds. After a refusal, this member asks no owner until the next token can be there.
		a.noOnceUntil = now + min(1000/a.limit.Size, a.limit.Term)
	case now >= until-expiryMarginMs:
		c.Counts.Late++
	default:
		a.onceShares = append(slices.DeleteFunc(a.onceShares, func(s onceShare) bool { return now >= s.until }), onceShare{m.Share.min(Part{burstIndex: toParts(o.cost / a.limit.Burst)}), until - expiryMarginMs})
		c.recomputeShare(a, now)
		a.tokens = min(c.bucketSize(a), a.tokens+min(m.Tokens, o.cost))
		c.tokensArrived = true
	}
}

// Room returns how much of a Rate limit could be taken now. It does not count as demand.
func (c *Core) Room(now float64, u Use) float64 {
	c.advance(now)
	l := c.limits[u.Limit]
	if c.now >= l.expiresAt {
		c.resize(l, c.now)
	}
	a := c.account(l, u.Key)
	if a == nil {
		return 0
	}
	c.settle(a, c.now)
	return math.Floor(a.tokens + tokenTolerance)
}

func (c *Core) fits(a *account, now, cost, lasts float64) bool {
	if a.limit.Kind == Rate {
		return a.tokens >= cost-tokenTolerance
	}
	return a.used+cost <= float64(c.usableShare(a, now, now+lasts)[rateIndex])/Whole*a.limit.Size+tokenTolerance
}

// Done returns what a scan took of Stock limits.
func (c *Core) Done(now float64, uses []Use) {
	c.advance(now)
	for i := range uses {
		a := c.accounts[accountID{uses[i].Limit, uses[i].Key}]
		if a == nil || a.limit.Kind != Stock {
			continue
		}
		if a.used = max(0, a.used-uses[i].Cost); a.used < 1e-9 {
			a.used, a.lastEnd = 0, 0
		}
	}
}

// countDemand counts demand, whether the scan is admitted or not.
func (c *Core) countDemand(a *account, now, cost float64) {
	c.decay(a, now)
	a.fastDemand += cost * 1000 / fastMs
	a.slowDemand += cost * 1000 / slowMs
	a.lastScanAt = now
}

func (c *Core) decay(a *account, now float64) {
	if dt := now - a.demandAt; dt >= decayMs {
		a.fastDemand *= math.Exp(-dt / fastMs)
		a.slowDemand *= math.Exp(-dt / slowMs)
		a.peak = a.used + (a.peak-a.used)*math.Exp(-dt/slowMs)
		a.demandAt = now
	}
}

// decayTaken decays the average of admitted scans.
func (c *Core) decayTaken(a *account, now float64) {
	if dt := now - a.takenAt; dt >= decayMs {
		a.takenRate *= math.Exp(-dt / slowMs)
		a.takenAt = now
	}
}

// retryAfter returns a retry time: rejected scans are spread one after the other over the fleet's next tokens.
func (c *Core) retryAfter(a *account, now float64) float64 {
	if c.rules.After <= 0 {
		return 0
	}
	step := 1000 / max(a.limit.Size, 1e-3)
	if a.limit.Kind == Stock {
		step = slowMs / 10 / max(a.limit.Size, 1)
	}
	a.lastRetryAt = min(max(a.lastRetryAt, now)+step, now+c.rules.After)
	return min(c.rules.After, (a.lastRetryAt-now)*(1+retryJitter*c.random()))
}

// neededShare returns the share that this member's own demand needs.
func (c *Core) neededShare(a *account, now float64) Part {
	c.decay(a, now)
	if a.limit.Kind == Stock {
		if a.peak < 1e-3 {
			return Part{}
		}
		return Part{rateIndex: toParts(max(a.peak*headroom, min(a.peak+1, a.limit.Size)) / a.limit.Size)}
	}
	// The slow average, bounded by the range that the fast one makes likely: one scan in 200 ms is weak evidence of a change, a hundred are strong evidence.
	likely := math.Sqrt(a.fastDemand * 1000 / fastMs)
	d := max(a.fastDemand-1.5*likely, min(a.slowDemand, a.fastDemand+2*likely+2*1000/fastMs))
	if a.slowDemand*slowMs/1000 < 0.02 {
		return Part{} // no demand any more
	}
	factor := headroom
	if a.tokens < lowTokens*c.bucketSize(a) {
		factor = lowTokensHeadroom
	}
	n := d * factor * (1 + c.rules.Drift) / a.limit.Size
	// A bucket below one whole token admits no scan.
	return Part{toParts(n), toParts(max(n, (1-tokenTolerance/10)/a.limit.Burst))}
}

func toParts(share float64) int64 { return int64(math.Ceil(min(1, max(0, share)) * Whole)) }
