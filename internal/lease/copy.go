package lease

import (
	"encoding/binary"
	"hash"
	"maps"
	"math"
	"slices"
)

// Clone is a copy that goes its own way, with a chance of its own. Explorers play a core in several ways from one state.
func (c *Core) Clone(chance func() float64) *Core {
	d := *c
	d.out, d.chance = nil, chance
	d.names, d.parked = slices.Clone(c.names), slices.Clone(c.parked)
	d.leases, d.mail = make(map[string]*lease, len(c.leases)), map[string][]Message{}
	for name, l := range c.leases {
		k := *l
		if l.bid != nil {
			b := *l.bid
			b.grants, b.no = maps.Clone(l.bid.grants), maps.Clone(l.bid.no)
			k.bid = &b
		}
		d.leases[name] = &k
	}
	return &d
}

// Digest adds to a hash all that decides what this core does from a moment by its clock on: two cores of one member whose
// digests are alike behave alike. Names are as by alias, so that symmetric members can be folded.
func (c *Core) Digest(h hash.Hash64, now float64, alias func(string) byte) {
	w := digest{h, now}
	w.num(c.boot, c.seq, c.floor, c.number, c.stored, flag(c.begun), flag(c.disk), flag(c.sound), flag(c.failed), flag(c.gone))
	w.moment(c.start+c.kept(c.rules.Longest), c.start, c.lost)
	for _, p := range c.parked {
		w.num(p.number, uint64(alias(p.to)))
		w.message(p.reply)
		w.note(p.note)
		w.moment(p.blank)
	}
	for _, name := range c.names {
		l := c.leases[name]
		w.num(l.epoch, uint64(alias(l.holder)), l.boot, l.fence, l.ballot, max(l.epoch, l.passed), uint64(min(l.tries, 2)), flag(l.want), flag(l.held), flag(l.pending), flag(l.sure && l.until > now))
		w.moment(l.until, max(l.nextAsk, now), max(l.barred, now), l.blank, l.bound)
		w.num(math.Float64bits(l.term))
		w.note(l.note)
		w.note(l.mine)
		if l.held {
			w.moment(l.till)
		}
		// Of a try that is over nothing counts any more; of a renewal, which one it was.
		if b := l.bid; b != nil && b.over && l.held {
			w.num(b.seq)
		} else if b != nil && !b.over {
			w.num(b.seq, b.nth)
			w.moment(b.sent)
			// In the order of the aliases, so that mirrored states are alike.
			order := slices.SortedFunc(slices.Values(c.roster), func(a, b string) int { return int(alias(a)) - int(alias(b)) })
			for _, other := range order {
				g, granted := b.grants[other]
				until, refused := b.no[other]
				w.num(uint64(alias(other)), flag(granted), flag(refused))
				if refused {
					w.moment(max(until, now))
				}
				if granted {
					w.note(g.note)
					w.moment(g.blank)
				}
			}
		}
	}
}

// Digest adds a message that is under way.
func (m Message) Digest(h hash.Hash64) { digest{h, 0}.message(m) }

type digest struct {
	h   hash.Hash64
	now float64
}

func flag(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

func (w digest) num(all ...uint64) {
	var b [8]byte
	for _, n := range all {
		binary.LittleEndian.PutUint64(b[:], n)
		w.h.Write(b[:])
	}
}

// moment adds moments as far as they are still to come, or not long past: sums in another order differ by less than a thousandth.
func (w digest) moment(all ...float64) {
	for _, at := range all {
		w.num(uint64(int64(math.Round(max(at-w.now, -1e6) * 100))))
	}
}

func (w digest) note(n note) {
	w.num(n.epoch, n.nth)
	if n.nth > 0 {
		w.moment(n.at)
	}
}

func (w digest) message(m Message) {
	w.num(uint64(m.Kind), m.Epoch, m.Boot, m.Seq, flag(m.Sure), math.Float64bits(m.Term), math.Float64bits(math.Round(m.Wait*100)),
		math.Float64bits(math.Round(m.Blank*100)))
	if n := m.Note; n != nil {
		w.num(n.Epoch, n.Nth, math.Float64bits(math.Round(n.Age*100)))
	}
}

// Asking says whether a try for a lease is under way here.
func (c *Core) Asking(name string) bool {
	l := c.leases[name]
	return l != nil && !l.held && l.bid != nil
}
