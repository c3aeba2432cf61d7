package limitshare

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
)

// scheduleBy makes an account due at the given time or earlier.
func (c *Core) scheduleBy(a *account, at float64) {
	if at = math.Ceil(at/gridMs) * gridMs; at < a.dueAt {
		a.dueAt = at
		heap.Fix(&c.queue, a.index)
	}
}

// Due returns when Step has to be called next if there is no input before.
func (c *Core) Due() float64 {
	if !c.started {
		return math.Inf(-1)
	}
	at := min(c.nextGossip, c.trustDue())
	for _, l := range c.limits {
		at = min(at, l.expiresAt)
	}
	if len(c.queue) > 0 {
		at = min(at, c.queue[0].dueAt)
	}
	return at
}

// Step applies the inputs received by now, runs what is due and returns the messages to send.
func (c *Core) Step(now float64, in []Input) (out []Send) {
	c.advance(now)
	now = c.now
	for _, x := range in {
		switch v := x.(type) {
		case Received:
			c.receive(now, v.From, v.Message)
		case Set:
			if l := c.byName[v.Limit]; l != nil {
				c.setOrder(l, v, now)
			}
		case Document:
			if l := c.byName[v.Limit]; l != nil && validSize(v.Size) && validSize(max(1, v.Burst)) {
				l.own = size{v.Size, max(1, v.Burst)}
				c.recomputeHomes(l, now)
				c.resize(l, now)
				c.broadcastSize(l, now)
			}
		case Stored:
			c.markStored(v.Upto)
		case DiskLost:
			c.diskLost, c.pendingSends, c.pendingStores = true, nil, nil
		case View:
			c.alive = map[string]bool{}
			for _, name := range v.Living {
				c.alive[name] = true
			}
			for _, a := range c.accounts {
				if a.limit.Available {
					c.settle(a, now)
					c.recomputeShare(a, now)
				}
			}
		}
	}
	c.gossip(now)
	c.storeTrust()
	for len(c.queue) > 0 && c.queue[0].dueAt <= now {
		a := c.queue[0]
		a.dueAt = math.Inf(1)
		heap.Fix(&c.queue, a.index)
		c.processAccount(a, now)
	}
	for _, to := range c.rules.Roster {
		if m := c.outbox[to]; len(m) > 0 {
			out = append(out, Send{to, m})
			delete(c.outbox, to)
		}
	}
	return out
}

// processAccount maintains one account: it recalls lent shares, borrows more, renews loans and returns what is not needed.
func (c *Core) processAccount(a *account, now float64) {
	c.settle(a, now)
	c.lowerMark(a, now)
	term := a.limit.Term
	a.nextAt = now + minAskInterval*term // not processed again before
	need := c.neededShare(a, now)
	if !c.rules.Loans {
		c.reschedule(a, now, need)
		return
	}
	c.recall(a, now, c.reservedShare(a, need))
	missing := c.missingShare(a, now, need)
	var have, coming Part
	for i := range a.loans {
		l := &a.loans[i]
		if now >= c.loanEnd(a, l) {
			l.share = Part{}
		}
		if l.open && now >= l.sentAt+askTimeout*term && l.silentSince == never {
			l.silentSince = l.sentAt
			c.recordShortfall(a, l, now)
		}
		have = have.add(l.share)
		if l.open && l.silentSince == never {
			coming = coming.add(l.asked.sub(l.share))
		}
	}
	left := missing.sub(have).sub(coming).max(Part{})
	each := Part{1, 1}.add(Part{Whole / int64(len(a.loans)+1), Whole / int64(len(a.loans)+1)})
	first, asked := 0, 0
	if n := len(a.loans); n > 0 {
		first = min(int(c.random()*float64(n)), n-1)
	}
	for _, short := range [2]bool{false, true} { // lenders that granted their last ask in full come first
		for k := range a.loans {
			l := &a.loans[(first+k)%len(a.loans)]
			if short != (l.shortfalls > 0) {
				continue
			}
			want := l.share
			for dim := range want {
				if float64(have[dim]) > slack*float64(missing[dim]) {
					want[dim] = int64(float64(l.share[dim]) * float64(missing[dim]) / float64(have[dim]))
				}
			}
			if short && now < a.nextShortLenderAt {
				// Lenders that fell short are tried one at a time, so that the number of messages does not grow with the members when all are short.
			} else if !l.open && now >= l.nextIncreaseAt && asked < maxLendersAsked && !left.none() {
				if short {
					a.nextShortLenderAt = now + renewAfter*term
				}
				more := left.min(each)
				want, left = want.max(l.share).add(more), left.sub(more)
				asked++
			}
			switch {
			case l.open && want.none() && missing.none():
				l.open = now < l.sentAt+askTimeout*term // no share is needed any more, so an answer after the timeout is ignored
			case l.open:
				// Retry a lender that does not answer, with growing intervals: it may be dead, or this member may be partitioned.
				if l.silentSince > never && (!l.share.none() && now >= l.sentAt+askTimeout*term || now >= l.sentAt+min(2*term, max(askTimeout*term, (now-l.silentSince)/2))) {
					c.sendAsk(a, l, want, now)
				}
			case l.share.less(want), !l.share.none() && (now >= l.sentAt+renewAfter*term || want.none()):
				c.sendAsk(a, l, want, now)
			}
		}
	}
	c.reschedule(a, now, need)
}

// recordShortfall notes that a lender granted less than asked or did not answer, and backs off exponentially from asking it for more.
func (c *Core) recordShortfall(a *account, l *loan, now float64) {
	l.nextIncreaseAt = now + renewAfter*a.limit.Term*float64(uint(1)<<min(l.shortfalls, 3))
	l.shortfalls++
}

// reservedShare returns the share that an owner keeps from lending for its own demand: none if it has no whole token to use it with.
func (c *Core) reservedShare(a *account, need Part) Part {
	if a.limit.Kind == Rate && float64(a.home[burstIndex])/Whole*a.limit.Burst < 1-tokenTolerance && c.bucketSize(a) < 1-tokenTolerance {
		return Part{}
	}
	return need
}

// missingShare returns what an account needs beyond its home share.
func (c *Core) missingShare(a *account, now float64, need Part) Part {
	if now < c.homeUsableAt(a.limit) {
		return need
	}
	if a.limit.Kind == Rate && a.slowDemand*a.limit.Term/1000 < minLoanDemand {
		return Part{}
	}
	missing := need.sub(a.home).max(Part{})
	if a.limit.Kind == Rate && c.bucketSize(a) < 1-tokenTolerance {
		missing[rateIndex] = 0 // no refill rate admits a scan while the bucket cannot hold a whole token, so borrow burst first
	}
	return missing
}

// reschedule sets when an account is due next, or removes it if it has been idle for long.
func (c *Core) reschedule(a *account, now float64, need Part) {
	at, term := math.Inf(1), a.limit.Term
	var have Part
	for i := range a.loans {
		l := &a.loans[i]
		have = have.add(l.share)
		if l.open {
			at = min(at, max(l.sentAt+askTimeout*term, now+minAskInterval*term))
		} else if !l.share.none() {
			at = min(at, l.sentAt+renewAfter*term)
		}
	}
	if c.rules.Loans && have.less(c.missingShare(a, now, need)) {
		for i := range a.loans {
			if l := &a.loans[i]; !l.open {
				at = min(at, max(l.nextIncreaseAt, now+minAskInterval*term))
			}
		}
	}
	if !need.none() || a.used > 0 || !a.lent(now).none() {
		at = min(at, now+renewAfter*term)
	}
	if math.IsInf(at, 1) {
		if c.isIdle(a, now) && now >= a.lastScanAt+idleTerms*term {
			c.removeAccount(a)
			return
		}
		at = now + term
	}
	// Due times are rounded up to a grid, so that accounts are processed together and their messages share a batch.
	a.dueAt = math.Ceil(max(at, now+1)/gridMs) * gridMs
	heap.Fix(&c.queue, a.index)
}

// sendAsk asks a lender for a share and reports the most of its current loan that is used from now on.
func (c *Core) sendAsk(a *account, l *loan, want Part, now float64) {
	returned := 0.0
	if want.less(l.share) {
		returned = c.reduceLoan(a, l, want, now)
	}
	c.seq++
	l.seq, l.sentAt, l.asked, l.open = c.seq, now, want.max(l.share), true
	l.nextIncreaseAt = now + minAskInterval*a.limit.Term
	c.outbox[l.from] = append(c.outbox[l.from], Message{Kind: Ask, Limit: a.limit.Name, Key: a.key, Boot: c.rules.Boot, Seq: l.seq, Have: l.share,
		Share: l.asked, Tokens: returned})
}

// reduceLoan reduces the used part of a loan as far as open scans allow, and returns the tokens that no longer fit into the bucket.
func (c *Core) reduceLoan(a *account, l *loan, to Part, now float64) (tokens float64) {
	to = to.min(l.share)
	if a.limit.Kind == Stock && a.used > 0 && c.loanEnd(a, l) > max(now, a.lastEnd) { // else the open scans do not depend on the loan
		free := c.usableShare(a, now, max(now, a.lastEnd))[rateIndex] - int64(a.used/a.limit.Size*Whole)
		to[rateIndex] = max(to[rateIndex], l.share[rateIndex]-max(0, free))
	}
	before := a.tokens
	l.share = to
	c.recomputeShare(a, now)
	return before - a.tokens
}

var whole = Part{Whole, Whole}

func (c *Core) receive(now float64, from string, m Message) {
	l := c.byName[m.Limit]
	if _, member := slices.BinarySearch(c.rules.Roster, from); !member || l == nil || len(m.Key) > maxKeyLength || !c.rules.Loans ||
		m.Share.less(Part{}) || whole.less(m.Share) || m.Have.less(Part{}) || whole.less(m.Have) || !(m.Tokens >= 0) {
		c.Counts.Odd++
		return
	}
	switch a := c.accounts[accountID{l.number, m.Key}]; m.Kind {
	case SizeInfo:
		c.handleSizeReport(l, from, m.Word, now)
	case Ask:
		if a == nil {
			a = c.account(l, m.Key)
		}
		if a != nil && !a.home.none() {
			c.settle(a, now)
			if m.Once {
				c.grantOnce(a, now, from, m)
			} else {
				c.handleAsk(a, now, from, m)
			}
		}
	case Loan:
		if a != nil && m.Boot == c.rules.Boot {
			c.settle(a, now)
			if m.Once {
				c.receiveOnce(a, now, m)
			} else {
				c.handleLoan(a, now, from, m)
			}
		}
	case Recall:
		if a != nil && m.Boot == c.rules.Boot {
			c.settle(a, now)
			for i := range a.loans {
				if l := &a.loans[i]; l.from == from && l.seq == m.Seq && m.Share.less(l.share) && now < c.loanEnd(a, l) {
					c.Counts.Recalled++
					c.sendAsk(a, l, m.Share.min(l.share), now)
					c.scheduleBy(a, now+askTimeout*a.limit.Term)
				}
			}
		}
	default:
		c.Counts.Odd++
	}
}

// handleAsk answers an Ask.
func (c *Core) handleAsk(a *account, now float64, from string, m Message) {
	if now < c.homeUsableAt(a.limit) || c.diskLost {
		return // earlier loans are unknown, or a new loan could not be stored
	}
	a.debts = slices.DeleteFunc(a.debts, func(d debt) bool {
		return d.lentAt(now).none() && now >= d.wantAt+c.lenderTerm(a.limit)
	})
	at := slices.IndexFunc(a.debts, func(d debt) bool { return !d.once && d.to == from && d.boot == m.Boot })
	if at < 0 {
		if len(a.debts) >= 2*len(c.rules.Roster) {
			return
		}
		at = len(a.debts)
		a.debts = append(a.debts, debt{to: from, boot: m.Boot})
	}
	d := &a.debts[at]
	if m.Seq <= d.seq {
		return // delayed or duplicated
	}
	before := d.lentAt(now)
	have, until := m.Have.min(before), max(d.oldUntil, d.newUntil)
	// The part that the borrower no longer uses is free at once, with the tokens that it returns.
	d.seq, d.want, d.wantAt = m.Seq, m.Share, now
	d.oldShare, d.oldUntil, d.newShare, d.newUntil = Part{}, never, have, until
	c.recomputeShare(a, now)
	a.tokens = min(c.bucketSize(a), a.tokens+min(m.Tokens, float64(before[burstIndex]-have[burstIndex])/Whole*a.limit.Burst))
	fair := c.fairShares(a, now, c.reservedShare(a, c.neededShare(a, now)))[at]
	grant := m.Share.min(fair).min(a.remainingHome(now).add(have)).max(Part{})
	if a.limit.Kind == Stock && grant[rateIndex] > have[rateIndex] {
		free := c.usableShare(a, now, max(now, a.lastEnd))[rateIndex] - int64(a.used/a.limit.Size*Whole)
		grant[rateIndex] = max(have[rateIndex], min(grant[rateIndex], have[rateIndex]+free))
	}
	if grant.less(have) {
		d.oldShare, d.oldUntil = have, until // the borrower may not receive the answer
	}
	d.newShare, d.newUntil = grant, now+c.lenderTerm(a.limit)
	tokens := a.tokens
	c.recomputeShare(a, now)
	c.Counts.Lent++
	c.raiseMark(a, now)
	c.sendWhenStored(a, from, Message{Kind: Loan, Limit: m.Limit, Key: m.Key, Boot: m.Boot, Seq: m.Seq, Share: grant, Tokens: tokens - a.tokens})
	c.scheduleBy(a, now+minAskInterval*a.limit.Term)
}

// fairShares divides the home share, less need, among the borrowers by max-min fairness: small requests are met first, the rest is split equally.
func (c *Core) fairShares(a *account, now float64, need Part) []Part {
	out := make([]Part, len(a.debts))
	order := make([]int, 0, len(a.debts))
	for i := range a.debts {
		if now < a.debts[i].wantAt+c.lenderTerm(a.limit) {
			order = append(order, i)
		}
	}
	if len(order) > maxBorrowers {
		// Where hundreds of members are short, each would hold a tiny loan of each other and renew it without end: 300 members sent 322 messages a second each
		// and used 0.39 of the limit. Current borrowers come first, then those that ask for most.
		slices.SortFunc(order, func(x, y int) int {
			p, q := &a.debts[x], &a.debts[y]
			if holds := !p.lentAt(now).none(); holds == q.lentAt(now).none() {
				if holds {
					return -1
				}
				return 1
			}
			return cmp.Or(cmp.Compare(q.want[rateIndex], p.want[rateIndex]), cmp.Compare(p.to, q.to))
		})
		order = order[:maxBorrowers]
	}
	for dim := range need {
		left := max(0, a.home[dim]-need[dim])
		slices.SortFunc(order, func(x, y int) int {
			return cmp.Or(cmp.Compare(a.debts[x].want[dim], a.debts[y].want[dim]), cmp.Compare(a.debts[x].to, a.debts[y].to))
		})
		for k, i := range order {
			out[i][dim] = min(a.debts[i].want[dim], left/int64(len(order)-k))
			left -= out[i][dim]
		}
	}
	return out
}

// recall asks borrowers to return what this member's own demand, or other borrowers, are entitled to.
func (c *Core) recall(a *account, now float64, need Part) {
	if len(a.debts) == 0 {
		return
	}
	fair := c.fairShares(a, now, need)
	for q := range need {
		// Recall only if somebody has less than its fair share.
		short := need[q] > a.remainingHome(now)[q]
		for i := range a.debts {
			short = short || a.debts[i].lentAt(now)[q]*10 < min(fair[i][q], a.debts[i].want[q])*9
		}
		if !short {
			for i := range fair {
				fair[i][q] = Whole
			}
		}
	}
	for i := range a.debts {
		d := &a.debts[i]
		if d.once {
			continue
		}
		out := d.lentAt(now)
		if keep := out.min(fair[i]); keep.less(out.sub(Part{out[0] / 20, out[1] / 20})) && now >= d.recalledAt+minAskInterval*a.limit.Term {
			d.recalledAt = now
			c.outbox[d.to] = append(c.outbox[d.to], Message{Kind: Recall, Limit: a.limit.Name, Key: a.key, Boot: d.boot, Seq: d.seq, Share: keep})
		}
	}
}

// handleLoan applies a lender's answer to an ask.
func (c *Core) handleLoan(a *account, now float64, from string, m Message) {
	for i := range a.loans {
		l := &a.loans[i]
		if l.from != from {
			continue
		}
		if !l.open || l.seq != m.Seq {
			c.Counts.Late++
			return
		}
		l.open, l.silentSince = false, never
		end := l.sentAt + a.limit.Term
		if now >= end-expiryMarginMs {
			c.Counts.Late++
			return
		}
		c.Counts.Borrowed++
		got := m.Share.min(l.asked)
		if l.shortfalls = max(0, l.shortfalls); m.Share.less(l.asked) {
			c.recordShortfall(a, l, now)
		} else {
			l.shortfalls, l.nextIncreaseAt = 0, now
		}
		if now >= c.loanEnd(a, l) {
			l.share = Part{}
		}
		less := got.less(l.share)
		if low := got.min(l.share); less {
			// The lender counts the earlier loan until its old end, unless this member reports that it uses less.
			if c.reduceLoan(a, l, low, now); l.share != low {
				got, end = l.share, l.end // open scans still depend on the earlier loan
			}
		}
		l.share, l.end = got, end
		c.recomputeShare(a, now)
		a.tokens = min(c.bucketSize(a), a.tokens+m.Tokens)
		if less {
			c.sendAsk(a, l, l.share, now)
		}
		c.scheduleBy(a, now+minAskInterval*a.limit.Term)
		return
	}
}
