package logic

import "slices"

// Shadow evaluation: where a dispatch is sent or denied, the rules are evaluated again under a second set of settings, and
// differing results are counted by kind. It affects no decision.

// compareShadow counts it if p's further dispatch, sent or denied now, would be decided otherwise under the shadow settings.
func (b *Broker) compareShadow(p *part, sent bool) {
	if b.shadow.values == nil {
		return
	}
	now, then := b.blockedBy(p, &b.settings), b.blockedBy(p, &b.shadow)
	if sent && then != "" {
		b.countDiff(p, then)
	} else if !sent && now != "" && then == "" {
		b.countDiff(p, now)
	}
}

// allows returns a boolean setting that a decision about p depends on now, and counts it if the shadow setting differs.
func (b *Broker) allows(p *part, name string) bool {
	if b.shadow.values != nil && b.shadow.flag(name) != b.flag(name) {
		b.countDiff(p, name)
	}
	return b.flag(name)
}

// countDiff counts a kind of difference once per part.
func (b *Broker) countDiff(p *part, kind string) {
	if !slices.Contains(p.countedDiffs, kind) {
		p.countedDiffs = append(p.countedDiffs, kind)
		b.diffCounts[kind]++
	}
}

// compareShadowNotes counts turns in which the shadow settings would send a note, or not.
func (b *Broker) compareShadowNotes() {
	if b.shadow.values != nil && len(b.records) > 0 && b.shadow.flag("limit.peers") != b.flag("limit.peers") {
		b.diffCounts["limit.peers"]++
	}
}
