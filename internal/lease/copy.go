package lease

import (
	"encoding/binary"
	"hash"
	"maps"
	"math"
	"slices"
)

// Clone returns an independent copy with its own source of randomness, so that a state explorer can continue
// from one state in several ways.
func (c *Machine) Clone(random func() float64) *Machine {
	d := *c
	d.outputs, d.random = nil, random
	d.names, d.pendingReplies = slices.Clone(c.names), slices.Clone(c.pendingReplies)
	d.leases, d.outbox = make(map[string]*lease, len(c.leases)), map[string][]Message{}
	for name, l := range c.leases {
		k := *l
		if l.round != nil {
			b := *l.round
			b.grants, b.refusals = maps.Clone(l.round.grants), maps.Clone(l.round.refusals)
			k.round = &b
		}
		d.leases[name] = &k
	}
	return &d
}

// Digest adds to a hash all state that determines the behaviour from the time now on: two machines of one member
// with equal digests behave alike. Member names are replaced by their aliases, so that symmetric states have
// one digest.
func (c *Machine) Digest(h hash.Hash64, now float64, alias func(string) byte) {
	w := digest{h, now}
	w.numbers(c.boot, c.seq, c.epochFloor, c.lastRecord, c.storedUpTo, boolBit(c.started), boolBit(c.durable), boolBit(c.memoryComplete), boolBit(c.diskFailed), boolBit(c.resigned))
	w.times(c.startedAt+c.voterTerm(c.rules.MaxTerm), c.startedAt, c.forgottenNoteAt)
	for _, p := range c.pendingReplies {
		w.numbers(p.number, uint64(alias(p.to)))
		w.message(p.reply)
		w.note(p.note)
		w.times(p.blank)
	}
	for _, name := range c.names {
		l := c.leases[name]
		w.numbers(l.epoch, uint64(alias(l.holder)), l.boot, l.fence, l.ballot, max(l.epoch, l.highestRefused), uint64(min(l.attempts, 2)), boolBit(l.wanted), boolBit(l.held), boolBit(l.notePending), boolBit(l.confirmed && l.until > now))
		w.times(l.until, max(l.nextRequest, now), max(l.barredUntil, now), l.blank, l.blankUntil)
		w.numbers(math.Float64bits(l.term))
		w.note(l.note)
		w.note(l.newestNote)
		if l.held {
			w.times(l.heldUntil)
		}
		// A finished attempt has no effect any more; of a finished renewal only its sequence number matters.
		if b := l.round; b != nil && b.finished && l.held {
			w.numbers(b.seq)
		} else if b != nil && !b.finished {
			w.numbers(b.seq, b.noteNth)
			w.times(b.sentAt)
			// The order of the aliases makes mirrored states equal.
			order := slices.SortedFunc(slices.Values(c.roster), func(a, b string) int { return int(alias(a)) - int(alias(b)) })
			for _, other := range order {
				g, granted := b.grants[other]
				until, refused := b.refusals[other]
				w.numbers(uint64(alias(other)), boolBit(granted), boolBit(refused))
				if refused {
					w.times(max(until, now))
				}
				if granted {
					w.note(g.note)
					w.times(g.blank)
				}
			}
		}
	}
}

// Digest adds a message in flight to a hash.
func (m Message) Digest(h hash.Hash64) { digest{h, 0}.message(m) }

// digest writes values to a hash, with times relative to now.
type digest struct {
	h   hash.Hash64
	now float64
}

func boolBit(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

func (w digest) numbers(all ...uint64) {
	var b [8]byte
	for _, n := range all {
		binary.LittleEndian.PutUint64(b[:], n)
		w.h.Write(b[:])
	}
}

// times adds times relative to now, rounded to a hundredth of a millisecond, because sums computed in another
// order differ by less than a thousandth. Times long past are all equal.
func (w digest) times(all ...float64) {
	for _, at := range all {
		w.numbers(uint64(int64(math.Round(max(at-w.now, -1e6) * 100))))
	}
}

func (w digest) note(n note) {
	w.numbers(n.epoch, n.nth)
	if n.nth > 0 {
		w.times(n.at)
	}
}

func (w digest) message(m Message) {
	w.numbers(uint64(m.Kind), m.Epoch, m.Boot, m.Seq, boolBit(m.Sure), math.Float64bits(m.Term), math.Float64bits(math.Round(m.Wait*100)),
		math.Float64bits(math.Round(m.Blank*100)))
	if n := m.Note; n != nil {
		w.numbers(n.Epoch, n.Nth, math.Float64bits(math.Round(n.Age*100)))
	}
}

// Campaigning reports whether this member has an attempt to acquire the lease under way.
func (c *Machine) Campaigning(name string) bool {
	l := c.leases[name]
	return l != nil && !l.held && l.round != nil
}
