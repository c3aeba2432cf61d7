package lease

import (
	"math"
)

// SureAt is when this voter has kept quiet for as long as anything that it may have forgotten could bind it: what it has stored is all that counts
// from then on. Before the first Step it is never.
func (c *Core) SureAt() float64 {
	if !c.begun {
		return math.Inf(1)
	}
	if c.sound {
		return c.start
	}
	term := c.rules.Longest
	for _, t := range c.rules.Fixed {
		term = max(term, t.Term)
	}
	return c.start + c.kept(term)
}

// Views lists what is seen of all leases, by name.
func (c *Core) Views() []View {
	var all []View
	for _, name := range c.names {
		l := c.leases[name]
		v := View{Lease: name, Epoch: l.epoch, Held: l.held, Wanted: l.want, Note: l.note.data, NoteAt: l.note.at, Blank: l.blank > Never,
			Quiet: c.quiet(l), Majority: c.majority(), Voters: len(c.roster)}
		if l.until > c.now && l.sure { // a candidate's try may come to nothing
			v.Holder, v.Until = l.holder, l.until
		}
		if l.held {
			v.Holder, v.Until, v.Epoch, v.Note, v.NoteAt = c.self, l.till, l.fence, l.mine.data, l.mine.at
		}
		all = append(all, v)
	}
	return all
}

// Holder is who holds a lease as far as this voter knows, and until when by its clock; "": nobody.
func (c *Core) Holder(name string) (holder string, until float64) {
	if l := c.leases[name]; l != nil && l.held {
		return c.self, l.till
	} else if l != nil && l.until > c.now {
		return l.holder, l.until
	}
	return "", 0
}

// Note is the newest note of a lease that this voter knows of; nil: none.
func (c *Core) Note(name string) []byte {
	if l := c.leases[name]; l != nil {
		return l.note.data
	}
	return nil
}

// Valid says whether work under a fencing number may go on at a moment by this member's clock.
func (c *Core) Valid(name string, fence uint64, now float64) bool {
	l := c.leases[name]
	return l != nil && l.held && l.fence == fence && now < l.till-leewayMs
}
