package lease

import (
	"slices"
)

// granted counts a voter's grant; with a majority of them the lease is held, or held on.
func (c *Core) granted(l *lease, from string, m Message) {
	b := l.bid
	if b == nil || b.seq != m.Seq || m.Boot != c.boot || m.Epoch != l.ballot {
		return
	}
	b.grants[from] = grant{note: c.heard(m.Note), blank: c.moment(m.Blank)}
	if b.over || len(b.grants) < c.majority() || c.now >= b.sent+b.term-leewayMs {
		return
	}
	b.over = true
	l.till = b.sent + b.term
	if !l.held {
		l.held, l.pending, l.tries = true, false, 0
		c.Counts.Held++
		c.known(l, b)
		l.nextAsk = c.now // at once again: the voters learn what the majority knew
		c.out = append(c.out, Held{Lease: l.Name, Fence: l.fence, Until: l.till - leewayMs, Note: l.mine.data, NoteAt: l.mine.at, Blank: l.bound})
		return
	}
	l.nextAsk = b.sent + renewShare*l.Term
	if !l.pending {
		c.out = append(c.out, Renewed{Lease: l.Name, Fence: l.fence, Until: l.till - leewayMs})
	} else if b.nth == l.mine.nth {
		l.pending = false
		c.Counts.Noted++
		c.out = append(c.out, Noted{Lease: l.Name, Fence: l.fence, Until: l.till - leewayMs})
	} else {
		l.nextAsk = c.now
		c.out = append(c.out, Renewed{Lease: l.Name, Fence: l.fence, Until: l.till - leewayMs})
	}
}

// known takes the newest note that a majority knows of. A voter that has forgotten may have known of one up to its start; as many voters as
// make a majority must be clear of it.
func (c *Core) known(l *lease, b *bid) {
	l.mine, l.bound = note{at: Never}, Never
	var bounds []float64
	for _, name := range c.roster {
		g, granted := b.grants[name]
		if !granted {
			continue
		}
		if g.note.newer(l.mine) {
			l.mine = g.note
		} else if g.note.nth > 0 && g.note.epoch == l.mine.epoch && g.note.nth == l.mine.nth {
			l.mine.at = max(l.mine.at, g.note.at)
		}
		bounds = append(bounds, g.blank)
	}
	slices.Sort(bounds)
	l.bound = bounds[c.majority()-1]
}

func (c *Core) refused(l *lease, from string, m Message) {
	b := l.bid
	if b == nil || b.seq != m.Seq || m.Boot != c.boot {
		return
	}
	if l.held {
		// A voter that has started since promises only above what it may have forgotten: it is asked with more, and counts again.
		if m.Epoch >= l.ballot && m.Wait <= 0 {
			l.ballot, l.nextAsk = c.above(m.Epoch), c.now
		}
		return
	}
	if b.over {
		return
	}
	l.passed = max(l.passed, m.Epoch) // the next try is above whatever was promised
	b.no[from] = c.now
	if m.Wait > 0 && m.Wait < 10*c.kept(c.rules.Longest) {
		b.no[from] += m.Wait
	}
	// With so many against it, it can't be held: whoever granted it is free again for another candidate.
	if len(b.no) > len(c.roster)-c.majority() {
		b.over = true
		c.release(l)
		l.nextAsk = c.free(b) + c.pause(l)
	}
}

// pause is how long a candidate whose try came to nothing waits for the next one: by chance, up to twice as long from try to try. Where a try takes
// longer than candidates wait, by a slow disk or way, five of them would cut each other short for ever.
func (c *Core) pause(l *lease) float64 {
	return againShare * l.Term * c.chance() * float64(uint(1)<<min(max(l.tries-1, 0), 3))
}

// above is this member's next epoch: no two members ask with the same one, so that of two tries that cross one is always the higher.
func (c *Core) above(epoch uint64) uint64 {
	n := uint64(len(c.roster))
	mine, _ := slices.BinarySearch(c.roster, c.self)
	return epoch + 1 + (uint64(mine)+n-(epoch+1)%n)%n
}

// free is when as many voters as make a majority may be free by what they answered; now where too few have answered.
func (c *Core) free(b *bid) float64 {
	var at []float64
	for _, name := range c.roster {
		if until, refused := b.no[name]; refused {
			at = append(at, until)
		} else if _, granted := b.grants[name]; granted {
			at = append(at, c.now)
		}
	}
	if len(at) < c.majority() {
		return c.now
	}
	slices.Sort(at)
	return max(c.now, at[c.majority()-1])
}

func (c *Core) resign() {
	if c.gone {
		return
	}
	for _, name := range c.names {
		if l := c.leases[name]; l.held {
			c.lose(l)
		}
	}
	c.gone = true
}

// release frees the voters of what this member is not holding, or not any more.
func (c *Core) release(l *lease) {
	if l.holder == c.self && l.boot == c.boot {
		l.until = c.now
	}
	for _, to := range c.roster {
		if to != c.self {
			c.mail[to] = append(c.mail[to], Message{Kind: Release, Lease: l.Name, Epoch: l.ballot, Boot: c.boot, Blank: -1})
		}
	}
}

// forget lets go of leases that are not fixed and that nobody has held for long. Their epochs stay as a floor for all that come, and up to when
// notes went with them.
func (c *Core) forget() {
	if len(c.names) == len(c.rules.Fixed) {
		return
	}
	c.names = slices.DeleteFunc(c.names, func(name string) bool {
		l := c.leases[name]
		if l.fixed || l.held || l.want || l.until > c.now || c.now < l.idle+keptFor*l.Term || c.now < c.quiet(l) {
			return false
		}
		c.floor, c.lost = max(c.floor, l.epoch), max(c.lost, l.blank)
		if l.note.nth > 0 {
			c.lost = max(c.lost, l.note.at)
		}
		delete(c.leases, name)
		return true
	})
}
