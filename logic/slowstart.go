package logic

import (
	"math"
)

// capacityShare is the share of its full capacity that node n has in slow start; 1 when warm.
func (b *Broker) capacityShare(n int) float64 {
	if age := b.now - b.born[n]; b.born[n] > 0 && age < b.num("rules.cold") {
		from := b.num("rules.startCapacity")
		return from + (1-from)*max(0, age)/b.num("rules.cold")
	}
	return 1
}

// slowStartAllows reports whether slow start lets node n take a part; docs/design.md derives it. Within
// rules.fall a node can take meanParts parts of all brokers, and a margin for random variation. The rates of
// the brokers add up to meanParts at most, half in equal shares and half by the work that each completes at
// nodes of this size; one core is assumed. Their unused allowances add up to the rest. Where that is less
// than one part per broker, brokers take turns by their ordinal, and an unused turn lapses.
func (b *Broker) slowStartAllows(n int) bool {
	if b.capacityShare(n) == 1 {
		return true
	}
	all, brokers := b.num("rules.fallMultiple")*b.capacityShare(n), b.num("brokers")
	meanParts := all * b.num("rules.fall") / b.meanWork
	margin := 2*math.Sqrt(meanParts) + 2
	paced := min(1, max(pacedMinShare, (meanParts+margin-brokers)/meanParts))
	maxUnused := b.meanWork * min(1, (margin+(1-paced)*meanParts)/brokers)
	byWork := b.doneWork * math.Exp((b.doneAt-b.now)/latencyMaxAge) / latencyMaxAge * b.units[n] / b.totalUnits
	b.allowance[n] += paced * all * (1/brokers + byWork) / 2 * (b.now - b.allowanceAt[n])
	b.allowanceAt[n] = b.now
	if over := b.allowance[n] - maxUnused; maxUnused == b.meanWork {
		b.allowance[n] = min(b.allowance[n], 0)
	} else if over > 0 {
		b.allowance[n] -= b.meanWork * math.Ceil(over/b.meanWork)
	}
	return b.allowance[n] >= 0
}
