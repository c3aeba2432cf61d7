package lease

// vote is this voter's word on an Ask.
func (c *Core) vote(l *lease, from string, m Message) {
	most := c.rules.Longest
	if l.fixed {
		most = l.Term
	}
	reply := Message{Kind: Refuse, Lease: l.Name, Epoch: l.epoch, Boot: m.Boot, Seq: m.Seq, Blank: -1}
	same := l.holder == from && l.boot == m.Boot
	quiet := c.quiet(l)
	if b := l.bid; l.holder == c.self && l.boot == c.boot && !l.held && b != nil && !b.over && from != c.self && m.Epoch > l.epoch {
		// Of two tries that cross the higher one wins at once. Left to waits by chance, candidates who each kept their own vote for longer than
		// they paused refused each other for up to eight terms.
		b.over = true
		c.release(l)
	}
	switch {
	case c.failed:
	case c.now < quiet:
		// Its floor counts only from its first grant on: a term lies between two floors of one voter, and so far wall clocks may be apart.
		reply.Wait, reply.Epoch = quiet-c.now, 0
	case l.until > c.now && !same:
		if reply.Wait = l.until - c.now; !l.sure {
			// A try is over soon, one way or the other. Two candidates who waited for each other's to run out lost a term with each crossing.
			reply.Wait = min(reply.Wait, tryShare*l.term)
		}
	case m.Epoch < l.epoch || m.Epoch == l.epoch && !same || !(m.Term > 0 && m.Term <= most):
	default:
		news := m.Epoch != l.epoch || !same
		if n := c.heard(m.Note); n.newer(l.note) {
			l.note, news = n, true
		}
		if m.Sure {
			// The holder has it from a majority: with that, nothing that matters is forgotten here.
			if blank := c.moment(m.Blank); blank != l.blank {
				news = news || blank < l.blank-leewayMs
				l.blank = blank
			}
		}
		l.epoch, l.holder, l.boot, l.term = m.Epoch, from, m.Boot, m.Term
		l.until, l.sure = c.now+c.kept(m.Term), m.Sure
		l.idle = l.until
		if m.Sure {
			l.tries = 0 // somebody holds it: what is tried after that is the first time again
		}
		c.Counts.Granted++
		reply.Kind, reply.Epoch = Grant, l.epoch
		c.grant(l, from, reply, news)
		return
	}
	c.Counts.Refused++
	c.send(from, reply)
}

// grant tells a vote, once it lasts where votes are stored. One that only runs on is as it is stored: after a restart every vote is kept
// to as if it had just been given.
func (c *Core) grant(l *lease, to string, reply Message, news bool) {
	p := parked{to: to, reply: reply, note: l.note, blank: l.blank}
	if c.disk && news {
		c.number++
		c.Counts.Stored++
		c.out = append(c.out, Store{Number: c.number, Record: l.record()})
	}
	if p.number = c.number; c.disk && c.number > c.stored {
		c.parked = append(c.parked, p)
		return
	}
	c.utter(p)
}

// release1 tells one vote; its ages are as of now.
func (c *Core) utter(p parked) {
	p.reply.Note, p.reply.Blank = c.told(p.note), c.age(p.blank)
	c.send(p.to, p.reply)
}

// tell tells the votes that last by now.
func (c *Core) tell(upto uint64) {
	c.stored = max(c.stored, upto)
	waiting := c.parked
	c.parked = nil
	for i, p := range waiting {
		if p.number > c.stored {
			c.parked = append(c.parked, waiting[i:]...)
			return
		}
		c.utter(p)
	}
}
