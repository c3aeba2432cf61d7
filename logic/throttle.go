package logic

import (
	"cmp"
	"math"
	"slices"
)

// Load shedding, partial answers and the end of a scan.

// turnedAway throttles by chance when the scan's nodes are predicted to miss its target time.
func (b *Broker) turnedAway(s *scan, worst float64) bool {
	value := b.types[s.typ].benefit // of a scan's work, all sites count by that
	b.valued++
	b.meanValue += (value - b.meanValue) / min(b.valued, 50)
	worst *= math.Exp(min(0, b.newsAt+quietSpell-b.now) / quietSpell) // who hears nothing knows of no jam
	ramp := min(1, max(0, (worst+fullWeighs*b.full[b.budgetOf(s.parts[0])]-throttleAt)/(throttleAll-throttleAt)))
	return ramp > 0 && b.float() < math.Pow(ramp, value/b.meanValue)
}

// trim spares the lightest parts of a scan that may be answered from the heaviest, with trimSlack to lose.
func (b *Broker) trim(s *scan) bool {
	typ, got, all := &b.types[s.typ], 0.0, s.parts
	if typ.floor >= typ.need || s.step > 1 {
		return false
	}
	slices.SortStableFunc(all, func(p, q *part) int { return cmp.Compare(q.weight, p.weight) })
	s.parts = nil
	for _, p := range all {
		if got < typ.floor+trimSlack {
			s.parts = append(s.parts, p)
		} else {
			s.spared = true
			delete(b.parts, p.id)
		}
		got += p.weight
	}
	return s.spared
}

// least is the weight that an answer of s must rest on.
func (b *Broker) least(s *scan) float64 {
	if typ := &b.types[s.typ]; s.step == 1 || typ.floor < typ.need {
		return min(typ.floor, typ.need)
	}
	return 1
}

func (b *Broker) enough(s *scan) bool { return s.got > 0 && s.got >= b.least(s)-0.00005 }

// giveUp ends the scan with the best final answer that is still honest, and at once.
func (b *Broker) giveUp(s *scan) {
	ran := slices.ContainsFunc(s.parts, func(p *part) bool { return p.firstRun() >= 0 })
	harmless := s.step == 1 && len(s.parts) > 0 && (b.types[s.typ].effect == "replayable" || !ran)
	if b.enough(s) {
		b.do(Action{Kind: Answer, ID: s.id})
	} else if harmless {
		b.do(Action{Kind: Throttle, ID: s.id, After: b.num("limit.maxRetryAfter")}) // unheard where not allowed
	} else {
		b.do(Action{Kind: Abandon, ID: s.id})
	}
	b.end(s)
}
