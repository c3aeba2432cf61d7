package logic

import (
	"cmp"
	"math"
	"slices"
)

// throttled decides at random whether to reject s if its nodes are predicted to miss its target time.
func (b *Broker) throttled(s *scan, predicted float64) bool {
	value := b.types[s.typ].benefit // of a complete answer in time
	b.valueCount++
	b.meanValue += (value - b.meanValue) / min(b.valueCount, 50)
	predicted *= math.Exp(min(0, b.lastSignal+predictionMaxAge-b.now) / predictionMaxAge) // decays if stale
	ramp := min(1, max(0, (predicted+saturationWeight*b.saturation[b.budgetKey(s.parts[0])]-throttleStart)/
		(throttleFull-throttleStart)))
	return ramp > 0 && b.float() < math.Pow(ramp, value/b.meanValue)
}

// trim drops the lightest parts of s that a partial answer can omit, and keeps trimSlack above the floor.
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
			s.trimmed = true
			delete(b.parts, p.id)
		}
		got += p.weight
	}
	return s.trimmed
}

// minWeight is the weight of parts that an answer of s needs.
func (b *Broker) minWeight(s *scan) float64 {
	if typ := &b.types[s.typ]; s.step == 1 || typ.floor < typ.need {
		return min(typ.floor, typ.need)
	}
	return 1
}

func (b *Broker) enough(s *scan) bool { return s.received > 0 && s.received >= b.minWeight(s)-0.00005 }

// finish ends the scan at once: with a partial answer, a rejection if it may be repeated, or a failure.
func (b *Broker) finish(s *scan) {
	ran := slices.ContainsFunc(s.parts, func(p *part) bool { return p.firstRunAt() >= 0 })
	repeatable := s.step == 1 && len(s.parts) > 0 && (b.types[s.typ].effect == "replayable" || !ran)
	if b.enough(s) {
		b.emit(Action{Kind: Answer, ID: s.id})
	} else if repeatable {
		b.emit(Action{Kind: Throttle, ID: s.id, After: b.num("limit.maxRetryAfter")}) // ignored where not allowed
	} else {
		b.emit(Action{Kind: Abandon, ID: s.id})
	}
	b.removeScan(s)
}
