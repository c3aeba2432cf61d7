package lease

import (
	"slices"
)

// handleGrant counts a voter's grant. With grants from a majority the lease is acquired or renewed.
func (c *Machine) handleGrant(l *lease, from string, m Message) {
	b := l.round
	if b == nil || b.seq != m.Seq || m.Boot != c.boot || m.Epoch != l.ballot {
		return
	}
	b.grants[from] = grant{note: c.noteFromMessage(m.Note), blank: c.timeOf(m.Blank)}
	if b.finished || len(b.grants) < c.majority() || c.now >= b.sentAt+b.term-safetyMarginMs {
		return
	}
	b.finished = true
	l.heldUntil = b.sentAt + b.term
	if !l.held {
		l.held, l.notePending, l.attempts = true, false, 0
		c.Counts.Held++
		c.adoptNewestNote(l, b)
		l.nextRequest = c.now // renews at once, so that the voters learn the newest note of the majority
		c.outputs = append(c.outputs, Held{Lease: l.Name, Fence: l.fence, Until: l.heldUntil - safetyMarginMs, Note: l.newestNote.data, NoteAt: l.newestNote.at, Blank: l.blankUntil})
		return
	}
	l.nextRequest = b.sentAt + renewFraction*l.Term
	if !l.notePending {
		c.outputs = append(c.outputs, Renewed{Lease: l.Name, Fence: l.fence, Until: l.heldUntil - safetyMarginMs})
	} else if b.noteNth == l.newestNote.nth {
		l.notePending = false
		c.Counts.Noted++
		c.outputs = append(c.outputs, Noted{Lease: l.Name, Fence: l.fence, Until: l.heldUntil - safetyMarginMs})
	} else {
		l.nextRequest = c.now
		c.outputs = append(c.outputs, Renewed{Lease: l.Name, Fence: l.fence, Until: l.heldUntil - safetyMarginMs})
	}
}

// adoptNewestNote takes the newest note that a majority knows of. A voter that restarted without its memory may
// have known a note written before its start, so the bound for lost notes is the lowest time from which on a
// majority of the voters has forgotten no note.
func (c *Machine) adoptNewestNote(l *lease, b *round) {
	l.newestNote, l.blankUntil = note{at: Never}, Never
	var bounds []float64
	for _, name := range c.roster {
		g, granted := b.grants[name]
		if !granted {
			continue
		}
		if g.note.newer(l.newestNote) {
			l.newestNote = g.note
		} else if g.note.nth > 0 && g.note.epoch == l.newestNote.epoch && g.note.nth == l.newestNote.nth {
			l.newestNote.at = max(l.newestNote.at, g.note.at)
		}
		bounds = append(bounds, g.blank)
	}
	slices.Sort(bounds)
	l.blankUntil = bounds[c.majority()-1]
}

func (c *Machine) handleRefuse(l *lease, from string, m Message) {
	b := l.round
	if b == nil || b.seq != m.Seq || m.Boot != c.boot {
		return
	}
	if l.held {
		// A voter that restarted promises only epochs above those that it may have forgotten. The next request
		// carries a higher epoch, so that its vote counts again.
		if m.Epoch >= l.ballot && m.Wait <= 0 {
			l.ballot, l.nextRequest = c.nextEpoch(m.Epoch), c.now
		}
		return
	}
	if b.finished {
		return
	}
	l.highestRefused = max(l.highestRefused, m.Epoch) // the next attempt uses an epoch above every promised one
	b.refusals[from] = c.now
	if m.Wait > 0 && m.Wait < 10*c.voterTerm(c.rules.MaxTerm) {
		b.refusals[from] += m.Wait
	}
	// A majority is no longer possible, so the voters that granted this attempt are released for another
	// candidate.
	if len(b.refusals) > len(c.roster)-c.majority() {
		b.finished = true
		c.sendRelease(l)
		l.nextRequest = c.majorityFreeAt(b) + c.retryDelay(l)
	}
}

// retryDelay returns a random delay before a candidate's next attempt; its upper bound doubles with each failed
// attempt, up to eight times the first. With a fixed bound, five candidates would interrupt each other forever
// where a slow disk or network makes an attempt take longer than the delay.
func (c *Machine) retryDelay(l *lease) float64 {
	return retryFraction * l.Term * c.random() * float64(uint(1)<<min(max(l.attempts-1, 0), 3))
}

// nextEpoch returns this member's next epoch above the given one. No two members use the same epoch, so one of
// two concurrent attempts always has the higher one.
func (c *Machine) nextEpoch(epoch uint64) uint64 {
	n := uint64(len(c.roster))
	selfIndex, _ := slices.BinarySearch(c.roster, c.self)
	return epoch + 1 + (uint64(selfIndex)+n-(epoch+1)%n)%n
}

// majorityFreeAt returns when a majority of the voters may be free, by their replies. It returns the current
// time if too few voters have replied.
func (c *Machine) majorityFreeAt(b *round) float64 {
	var at []float64
	for _, name := range c.roster {
		if until, refused := b.refusals[name]; refused {
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

func (c *Machine) resign() {
	if c.resigned {
		return
	}
	for _, name := range c.names {
		if l := c.leases[name]; l.held {
			c.endHold(l)
		}
	}
	c.resigned = true
}

// sendRelease tells the voters that this member does not hold the lease, or no longer holds it.
func (c *Machine) sendRelease(l *lease) {
	if l.holder == c.self && l.boot == c.boot {
		l.until = c.now
	}
	for _, to := range c.roster {
		if to != c.self {
			c.outbox[to] = append(c.outbox[to], Message{Kind: Release, Lease: l.Name, Epoch: l.ballot, Boot: c.boot, Blank: -1})
		}
	}
}

// forgetIdle removes leases that are not fixed and that nobody has held for long. The highest of their epochs
// becomes the floor of all later ones, and the time of their newest note bounds what may be lost.
func (c *Machine) forgetIdle() {
	if len(c.names) == len(c.rules.Fixed) {
		return
	}
	c.names = slices.DeleteFunc(c.names, func(name string) bool {
		l := c.leases[name]
		if l.fixed || l.held || l.wanted || l.until > c.now || c.now < l.idleSince+idleTermsKept*l.Term || c.now < c.graceUntil(l) {
			return false
		}
		c.epochFloor, c.forgottenNoteAt = max(c.epochFloor, l.epoch), max(c.forgottenNoteAt, l.blank)
		if l.note.nth > 0 {
			c.forgottenNoteAt = max(c.forgottenNoteAt, l.note.at)
		}
		delete(c.leases, name)
		return true
	})
}
