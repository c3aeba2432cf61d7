package logic

import "slices"

// Shadow evaluation: where a dispatch is sent or denied, the rules are evaluated again under a second set of settings, and
// differing results are counted by kind. It affects no decision.

// compareShadow counts a difference if the shadow settings would deny a dispatch of p sent now, or allow one denied now.
func (b *Broker) compareShadow(p *part, sent bool) {
	if b.shadow.values == nil {
		return
	}
	actual, shadow := b.blockedBy(p, &b.settings), b.blockedBy(p, &b.shadow)
	if sent && shadow != "" {
		b.countDiff(p, shadow)
	} else if !sent && actual != "" && shadow == "" {
		b.countDiff(p, actual)
	}
}

// allows returns a boolean setting on which a decision about p depends, and counts it if the shadow setting differs.
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
