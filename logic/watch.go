package logic

import "slices"

// What is watched beside the present terms: the module's gates are asked again under those, where something is sent
// or given up, and what would have come out otherwise is counted by kind. It decides nothing.

// compare asks whether p's further dispatch, which is sent now or barred now, would be under the watched terms.
func (b *Broker) compare(p *part, sent bool) {
	if b.watch.stated == nil {
		return
	}
	now, then := b.barred(p, &b.terms), b.barred(p, &b.watch)
	if sent && then != "" {
		b.count(p, then)
	} else if !sent && now != "" && then == "" {
		b.count(p, now)
	}
}

// allows reads a yes or no that a decision about p hangs on now.
func (b *Broker) allows(p *part, name string) bool {
	if b.watch.stated != nil && b.watch.flag(name) != b.flag(name) {
		b.count(p, name)
	}
	return b.flag(name)
}

// count counts a kind of difference once for a part.
func (b *Broker) count(p *part, kind string) {
	if !slices.Contains(p.differs, kind) {
		p.differs = append(p.differs, kind)
		b.differs[kind]++
	}
}

// compareNotes counts turns in which the other brokers would have been told something, or not.
func (b *Broker) compareNotes() {
	if b.watch.stated != nil && len(b.news) > 0 && b.watch.flag("limit.peers") != b.flag("limit.peers") {
		b.differs["limit.peers"]++
	}
}
