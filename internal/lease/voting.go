package lease

// handleRequest decides this voter's answer to a request.
func (c *Machine) handleRequest(l *lease, from string, m Message) {
	maxTerm := c.rules.MaxTerm
	if l.fixed {
		maxTerm = l.Term
	}
	reply := Message{Kind: Refuse, Lease: l.Name, Epoch: l.epoch, Boot: m.Boot, Seq: m.Seq, Blank: -1}
	same := l.holder == from && l.boot == m.Boot
	graceEnd := c.graceUntil(l)
	if b := l.round; l.holder == c.self && l.boot == c.boot && !l.held && b != nil && !b.finished && from != c.self && m.Epoch > l.epoch {
		// Of two concurrent attempts the one with the higher epoch wins at once. When candidates only waited
		// random delays, and each kept its own vote for longer than the delay, they refused each other for up
		// to eight terms.
		b.finished = true
		c.sendRelease(l)
	}
	switch {
	case c.diskFailed:
	case c.now < graceEnd:
		// The floor counts only from the first grant on: two floors of one voter lie a term apart, and wall
		// clocks may differ by that much.
		reply.Wait, reply.Epoch = graceEnd-c.now, 0
	case l.until > c.now && !same:
		if reply.Wait = l.until - c.now; !l.confirmed {
			// An attempt ends soon, with a majority or without. Candidates that waited for the end of each
			// other's granted term lost a term with each conflict.
			reply.Wait = min(reply.Wait, attemptFraction*l.term)
		}
	case m.Epoch < l.epoch || m.Epoch == l.epoch && !same || !(m.Term > 0 && m.Term <= maxTerm):
	default:
		changed := m.Epoch != l.epoch || !same
		if n := c.noteFromMessage(m.Note); n.newer(l.note) {
			l.note, changed = n, true
		}
		if m.Sure {
			// The holder knows this from a majority, so no note that matters is forgotten here.
			if blank := c.timeOf(m.Blank); blank != l.blank {
				changed = changed || blank < l.blank-safetyMarginMs
				l.blank = blank
			}
		}
		l.epoch, l.holder, l.boot, l.term = m.Epoch, from, m.Boot, m.Term
		l.until, l.confirmed = c.now+c.voterTerm(m.Term), m.Sure
		l.idleSince = l.until
		if m.Sure {
			l.attempts = 0 // somebody holds it, so the next attempt counts as the first
		}
		c.Counts.Granted++
		reply.Kind, reply.Epoch = Grant, l.epoch
		c.sendGrant(l, from, reply, changed)
		return
	}
	c.Counts.Refused++
	c.send(from, reply)
}

// sendGrant sends a vote, once it is durable where votes are stored. A renewal that changes nothing in the
// record needs no new record, because after a restart every stored vote is honoured as if it had just been
// granted.
func (c *Machine) sendGrant(l *lease, to string, reply Message, changed bool) {
	p := pendingReply{to: to, reply: reply, note: l.note, blank: l.blank}
	if c.durable && changed {
		c.lastRecord++
		c.Counts.Stored++
		c.outputs = append(c.outputs, Store{Number: c.lastRecord, Record: l.record()})
	}
	if p.number = c.lastRecord; c.durable && c.lastRecord > c.storedUpTo {
		c.pendingReplies = append(c.pendingReplies, p)
		return
	}
	c.sendReply(p)
}

// sendReply sends one vote, with ages relative to the current time.
func (c *Machine) sendReply(p pendingReply) {
	p.reply.Note, p.reply.Blank = c.noteToMessage(p.note), c.ageOf(p.blank)
	c.send(p.to, p.reply)
}

// handleStored sends the votes whose records are durable.
func (c *Machine) handleStored(upto uint64) {
	c.storedUpTo = max(c.storedUpTo, upto)
	waiting := c.pendingReplies
	c.pendingReplies = nil
	for i, p := range waiting {
		if p.number > c.storedUpTo {
			c.pendingReplies = append(c.pendingReplies, waiting[i:]...)
			return
		}
		c.sendReply(p)
	}
}
