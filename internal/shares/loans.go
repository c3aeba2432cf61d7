package shares

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
)

// wake has an account looked at by a moment.
func (c *Core) wake(a *account, at float64) {
	if at = math.Ceil(at/gridMs) * gridMs; at < a.due {
		a.due = at
		heap.Fix(&c.due, a.index)
	}
}

// Due is when Step is wanted next though nothing comes in.
func (c *Core) Due() float64 {
	if !c.begun {
		return math.Inf(-1)
	}
	at := min(c.talkAt, c.trustDue())
	for _, l := range c.limits {
		at = min(at, l.expires)
	}
	if len(c.due) > 0 {
		at = min(at, c.due[0].due)
	}
	return at
}

// Step takes what came in by now and does what is due.
func (c *Core) Step(now float64, in []Input) (out []Send) {
	c.begin(now)
	now = c.now
	for _, x := range in {
		switch v := x.(type) {
		case Received:
			c.receive(now, v.From, v.Message)
		case Set:
			if l := c.byName[v.Limit]; l != nil {
				c.set(l, v, now)
			}
		case Document:
			if l := c.byName[v.Limit]; l != nil && sane(v.Size) && sane(max(1, v.Burst)) {
				l.own = size{v.Size, max(1, v.Burst)}
				c.rehome(l, now)
				c.resize(l, now)
				c.tellAll(l, now)
			}
		case Stored:
			c.last(v.Upto)
		case DiskLost:
			c.failed, c.waits, c.stores = true, nil, nil
		case View:
			c.living = map[string]bool{}
			for _, name := range v.Living {
				c.living[name] = true
			}
			for _, a := range c.accounts {
				if a.limit.Available {
					c.settle(a, now)
					c.recount(a, now)
				}
			}
		}
	}
	c.talk(now)
	c.trust()
	for len(c.due) > 0 && c.due[0].due <= now {
		a := c.due[0]
		a.due = math.Inf(1)
		heap.Fix(&c.due, a.index)
		c.turn(a, now)
	}
	for _, to := range c.rules.Roster {
		if m := c.mail[to]; len(m) > 0 {
			out = append(out, Send{to, m})
			delete(c.mail, to)
		}
	}
	return out
}

// turn looks after one account: calls lent shares back, asks for more, renews, gives back.
func (c *Core) turn(a *account, now float64) {
	c.settle(a, now)
	c.settled(a, now)
	term := a.limit.Term
	a.next = now + moreShare*term // not again before
	need := c.need(a, now)
	if !c.rules.Loans {
		c.plan(a, now, need)
		return
	}
	c.recall(a, now, c.keep(a, need))
	missing := c.missing(a, now, need)
	var have, coming Part
	for i := range a.loans {
		l := &a.loans[i]
		if now >= c.ends(a, l) {
			l.share = Part{}
		}
		if l.open && now >= l.sent+againShare*term && l.silent == never {
			l.silent = l.sent
			c.dry(a, l, now)
		}
		have = have.add(l.share)
		if l.open && l.silent == never {
			coming = coming.add(l.asked.sub(l.share))
		}
	}
	left := missing.sub(have).sub(coming).max(Part{})
	each := Part{1, 1}.add(Part{Whole / int64(len(a.loans)+1), Whole / int64(len(a.loans)+1)})
	first, asked := 0, 0
	if n := len(a.loans); n > 0 {
		first = min(int(c.chance()*float64(n)), n-1)
	}
	for _, again := range [2]bool{false, true} { // those who have given what was asked go before those who have not
		for k := range a.loans {
			l := &a.loans[(first+k)%len(a.loans)]
			if again != (l.fails > 0) {
				continue
			}
			want := l.share
			for q := range want {
				if float64(have[q]) > slack*float64(missing[q]) {
					want[q] = int64(float64(l.share[q]) * float64(missing[q]) / float64(have[q]))
				}
			}
			if again && now < a.nextDry {
				// Of those who had nothing one is tried at a time: where all are short, messages do not grow with the members.
			} else if !l.open && now >= l.nextMore && asked < askedMost && !left.none() {
				if again {
					a.nextDry = now + renewShare*term
				}
				more := left.min(each)
				want, left = want.max(l.share).add(more), left.sub(more)
				asked++
			}
			switch {
			case l.open && want.none() && missing.none():
				l.open = now < l.sent+againShare*term // nothing is wanted any more: an answer counts for nothing
			case l.open:
				// Who is silent is asked on, ever more seldom: it may be dead, or this member cut off.
				if l.silent > never && (!l.share.none() && now >= l.sent+againShare*term || now >= l.sent+min(2*term, max(againShare*term, (now-l.silent)/2))) {
					c.ask(a, l, want, now)
				}
			case l.share.less(want), !l.share.none() && (now >= l.sent+renewShare*term || want.none()):
				c.ask(a, l, want, now)
			}
		}
	}
	c.plan(a, now, need)
}

// dry notes that a lender has less than was asked for, or is silent: it is asked for more ever more seldom.
func (c *Core) dry(a *account, l *loan, now float64) {
	l.nextMore = now + renewShare*a.limit.Term*float64(uint(1)<<min(l.fails, 3))
	l.fails++
}

// keep is what an owner's own demand keeps from others: nothing where it has no whole token to use it with.
func (c *Core) keep(a *account, need Part) Part {
	if a.limit.Kind == Rate && float64(a.home[depth])/Whole*a.limit.Burst < 1-sliver && c.deep(a) < 1-sliver {
		return Part{}
	}
	return need
}

// missing is what an account needs beyond its home share.
func (c *Core) missing(a *account, now float64, need Part) Part {
	if now < c.quiet(a.limit) {
		return need
	}
	if a.limit.Kind == Rate && a.slow*a.limit.Term/1000 < sporadic {
		return Part{}
	}
	missing := need.sub(a.home).max(Part{})
	if a.limit.Kind == Rate && c.deep(a) < 1-sliver {
		missing[flow] = 0 // without room for a whole token no pace lets anything in: that first
	}
	return missing
}

// plan says when an account is looked at next.
func (c *Core) plan(a *account, now float64, need Part) {
	at, term := math.Inf(1), a.limit.Term
	var have Part
	for i := range a.loans {
		l := &a.loans[i]
		have = have.add(l.share)
		if l.open {
			at = min(at, max(l.sent+againShare*term, now+moreShare*term))
		} else if !l.share.none() {
			at = min(at, l.sent+renewShare*term)
		}
	}
	if c.rules.Loans && have.less(c.missing(a, now, need)) {
		for i := range a.loans {
			if l := &a.loans[i]; !l.open {
				at = min(at, max(l.nextMore, now+moreShare*term))
			}
		}
	}
	if !need.none() || a.used > 0 || !a.lent(now).none() {
		at = min(at, now+renewShare*term)
	}
	if math.IsInf(at, 1) {
		if c.idle(a, now) && now >= a.seen+idleFor*term {
			c.drop(a)
			return
		}
		at = now + term
	}
	// Accounts are looked at together, so that their messages travel together.
	a.due = math.Ceil(max(at, now+1)/gridMs) * gridMs
	heap.Fix(&c.due, a.index)
}

// ask asks a lender, and says how much of what it lent is used from now on at most.
func (c *Core) ask(a *account, l *loan, want Part, now float64) {
	give := 0.0
	if want.less(l.share) {
		give = c.lower(a, l, want, now)
	}
	c.seq++
	l.seq, l.sent, l.asked, l.open = c.seq, now, want.max(l.share), true
	l.nextMore = now + moreShare*a.limit.Term
	c.mail[l.from] = append(c.mail[l.from], Message{Kind: Ask, Limit: a.limit.Name, Key: a.key, Boot: c.rules.Boot, Seq: l.seq, Have: l.share,
		Share: l.asked, Tokens: give})
}

// lower uses less of a loan from now on, as far as what is open lets it, and returns the tokens that have no room any more.
func (c *Core) lower(a *account, l *loan, to Part, now float64) (tokens float64) {
	to = to.min(l.share)
	if a.limit.Kind == Stock && a.used > 0 && c.ends(a, l) > max(now, a.lastEnd) { // else what is open does not rest on it
		free := c.valid(a, now, max(now, a.lastEnd))[flow] - int64(a.used/a.limit.Size*Whole)
		to[flow] = max(to[flow], l.share[flow]-max(0, free))
	}
	before := a.tokens
	l.share = to
	c.recount(a, now)
	return before - a.tokens
}

var whole = Part{Whole, Whole}

func (c *Core) receive(now float64, from string, m Message) {
	l := c.byName[m.Limit]
	if _, member := slices.BinarySearch(c.rules.Roster, from); !member || l == nil || len(m.Key) > keyMost || !c.rules.Loans ||
		m.Share.less(Part{}) || whole.less(m.Share) || m.Have.less(Part{}) || whole.less(m.Have) || !(m.Tokens >= 0) {
		c.Counts.Odd++
		return
	}
	switch a := c.accounts[id{l.number, m.Key}]; m.Kind {
	case Told:
		c.hear(l, from, m.Word, now)
	case Ask:
		if a == nil {
			a = c.account(l, m.Key)
		}
		if a != nil && !a.home.none() {
			c.settle(a, now)
			if m.Once {
				c.spare(a, now, from, m)
			} else {
				c.lend(a, now, from, m)
			}
		}
	case Loan:
		if a != nil && m.Boot == c.rules.Boot {
			c.settle(a, now)
			if m.Once {
				c.spared(a, now, m)
			} else {
				c.borrow(a, now, from, m)
			}
		}
	case Recall:
		if a != nil && m.Boot == c.rules.Boot {
			c.settle(a, now)
			for i := range a.loans {
				if l := &a.loans[i]; l.from == from && l.seq == m.Seq && m.Share.less(l.share) && now < c.ends(a, l) {
					c.Counts.Recalled++
					c.ask(a, l, m.Share.min(l.share), now)
					c.wake(a, now+againShare*a.limit.Term)
				}
			}
		}
	default:
		c.Counts.Odd++
	}
}

// lend answers an ask.
func (c *Core) lend(a *account, now float64, from string, m Message) {
	if now < c.quiet(a.limit) || c.failed {
		return // what was lent is not known, or what is lent would not last
	}
	a.debts = slices.DeleteFunc(a.debts, func(d debt) bool {
		return d.out(now).none() && now >= d.wantAt+c.kept(a.limit)
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
		return // late, or twice
	}
	before := d.out(now)
	have, until := m.Have.min(before), max(d.hiUntil, d.loUntil)
	// What it uses no longer is free at once, with the tokens that it gives back.
	d.seq, d.want, d.wantAt = m.Seq, m.Share, now
	d.hi, d.hiUntil, d.lo, d.loUntil = Part{}, never, have, until
	c.recount(a, now)
	a.tokens = min(c.deep(a), a.tokens+min(m.Tokens, float64(before[depth]-have[depth])/Whole*a.limit.Burst))
	fair := c.fair(a, now, c.keep(a, c.need(a, now)))[at]
	grant := m.Share.min(fair).min(a.own(now).add(have)).max(Part{})
	if a.limit.Kind == Stock && grant[flow] > have[flow] {
		free := c.valid(a, now, max(now, a.lastEnd))[flow] - int64(a.used/a.limit.Size*Whole)
		grant[flow] = max(have[flow], min(grant[flow], have[flow]+free))
	}
	if grant.less(have) {
		d.hi, d.hiUntil = have, until // it may not hear of it
	}
	d.lo, d.loUntil = grant, now+c.kept(a.limit)
	tokens := a.tokens
	c.recount(a, now)
	c.Counts.Lent++
	c.raise(a, now)
	c.say(a, from, Message{Kind: Loan, Limit: m.Limit, Key: m.Key, Boot: m.Boot, Seq: m.Seq, Share: grant, Tokens: tokens - a.tokens})
	c.wake(a, now+moreShare*a.limit.Term)
}

// fair divides what the own demand leaves of the home share among those who want of it: the least first, equal parts to the rest.
func (c *Core) fair(a *account, now float64, need Part) []Part {
	out := make([]Part, len(a.debts))
	order := make([]int, 0, len(a.debts))
	for i := range a.debts {
		if now < a.debts[i].wantAt+c.kept(a.limit) {
			order = append(order, i)
		}
	}
	if len(order) > lendMost {
		// Where hundreds are short each would have a crumb of each other's, renewed for ever: 322 messages a member a second at 300, and 0.39 of the limit used.
		// Who holds something goes on, then who wants most.
		slices.SortFunc(order, func(x, y int) int {
			p, q := &a.debts[x], &a.debts[y]
			if holds := !p.out(now).none(); holds == q.out(now).none() {
				if holds {
					return -1
				}
				return 1
			}
			return cmp.Or(cmp.Compare(q.want[flow], p.want[flow]), cmp.Compare(p.to, q.to))
		})
		order = order[:lendMost]
	}
	for q := range need {
		left := max(0, a.home[q]-need[q])
		slices.SortFunc(order, func(x, y int) int {
			return cmp.Or(cmp.Compare(a.debts[x].want[q], a.debts[y].want[q]), cmp.Compare(a.debts[x].to, a.debts[y].to))
		})
		for k, i := range order {
			out[i][q] = min(a.debts[i].want[q], left/int64(len(order)-k))
			left -= out[i][q]
		}
	}
	return out
}

// recall calls back what the own demand, or others', is entitled to.
func (c *Core) recall(a *account, now float64, need Part) {
	if len(a.debts) == 0 {
		return
	}
	fair := c.fair(a, now, need)
	for q := range need {
		// Only where somebody is short of what is due to it.
		short := need[q] > a.own(now)[q]
		for i := range a.debts {
			short = short || a.debts[i].out(now)[q]*10 < min(fair[i][q], a.debts[i].want[q])*9
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
		out := d.out(now)
		if keep := out.min(fair[i]); keep.less(out.sub(Part{out[0] / 20, out[1] / 20})) && now >= d.recalls+moreShare*a.limit.Term {
			d.recalls = now
			c.mail[d.to] = append(c.mail[d.to], Message{Kind: Recall, Limit: a.limit.Name, Key: a.key, Boot: d.boot, Seq: d.seq, Share: keep})
		}
	}
}

// borrow takes an answer.
func (c *Core) borrow(a *account, now float64, from string, m Message) {
	for i := range a.loans {
		l := &a.loans[i]
		if l.from != from {
			continue
		}
		if !l.open || l.seq != m.Seq {
			c.Counts.Late++
			return
		}
		l.open, l.silent = false, never
		end := l.sent + a.limit.Term
		if now >= end-leewayMs {
			c.Counts.Late++
			return
		}
		c.Counts.Borrowed++
		got := m.Share.min(l.asked)
		if l.fails = max(0, l.fails); m.Share.less(l.asked) {
			c.dry(a, l, now)
		} else {
			l.fails, l.nextMore = 0, now
		}
		if now >= c.ends(a, l) {
			l.share = Part{}
		}
		less := got.less(l.share)
		if low := got.min(l.share); less {
			// The lender counts what was used so far up to its old end, until it hears that it is not.
			if c.lower(a, l, low, now); l.share != low {
				got, end = l.share, l.end // what is open still rests on it
			}
		}
		l.share, l.end = got, end
		c.recount(a, now)
		a.tokens = min(c.deep(a), a.tokens+m.Tokens)
		if less {
			c.ask(a, l, l.share, now)
		}
		c.wake(a, now+moreShare*a.limit.Term)
		return
	}
}
