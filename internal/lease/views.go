package lease

import (
	"math"
)

// GraceEndsAt returns when the grace period ends for all leases: from then on nothing that this voter may have
// forgotten can still bind it, and its stored votes are complete. Before the first Step it returns positive
// infinity.
func (c *Machine) GraceEndsAt() float64 {
	if !c.started {
		return math.Inf(1)
	}
	if c.memoryComplete {
		return c.startedAt
	}
	term := c.rules.MaxTerm
	for _, spec := range c.rules.Fixed {
		term = max(term, spec.Term)
	}
	return c.startedAt + c.voterTerm(term)
}

// Views returns this member's view of each lease, ordered by name.
func (c *Machine) Views() []View {
	var all []View
	for _, name := range c.names {
		l := c.leases[name]
		v := View{Lease: name, Epoch: l.epoch, Held: l.held, Wanted: l.wanted, Note: l.note.data, NoteAt: l.note.at, Blank: l.blank > Never,
			GraceUntil: c.graceUntil(l), Majority: c.majority(), Voters: len(c.roster)}
		if l.until > c.now && l.confirmed { // a candidate's attempt may fail
			v.Holder, v.Until = l.holder, l.until
		}
		if l.held {
			v.Holder, v.Until, v.Epoch, v.Note, v.NoteAt = c.self, l.heldUntil, l.fence, l.newestNote.data, l.newestNote.at
		}
		all = append(all, v)
	}
	return all
}

// Holder returns the holder of a lease as far as this voter knows, and until when by its clock. It returns ""
// if nobody holds it.
func (c *Machine) Holder(name string) (holder string, until float64) {
	if l := c.leases[name]; l != nil && l.held {
		return c.self, l.heldUntil
	} else if l != nil && l.until > c.now {
		return l.holder, l.until
	}
	return "", 0
}

// Note returns the newest note of a lease that this voter knows of, or nil.
func (c *Machine) Note(name string) []byte {
	if l := c.leases[name]; l != nil {
		return l.note.data
	}
	return nil
}

// Valid reports whether work under a fencing token is still allowed at a time by this member's clock.
func (c *Machine) Valid(name string, fence uint64, now float64) bool {
	l := c.leases[name]
	return l != nil && l.held && l.fence == fence && now < l.heldUntil-safetyMarginMs
}
