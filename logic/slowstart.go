package logic

import (
	"math"
)

// Slow start of nodes that have just begun.

// cold is the share of its full capacity that node n can be relied on for; 1 when warm.
func (b *Broker) cold(n int) float64 {
	if age := b.now - b.born[n]; b.born[n] > 0 && age < b.num("rules.cold") {
		from := b.num("rules.startCapacity")
		return from + (1-from)*max(0, age)/b.num("rules.cold")
	}
	return 1
}

// mayWarm says whether node n may get a part as far as slow start goes; docs/design.md derives it. In the
// fall time a node bears so many parts of all brokers, and some more by chance. What brokers are paced at
// adds up to no more than the first, half of it in equal shares and half by what each completes at nodes
// of like size; one core is assumed. What they hold unused adds up to the rest: where that is under a part
// for each, a broker's turns come by its own number, and one that is not used in time lapses.
func (b *Broker) mayWarm(n int) bool {
	if b.cold(n) == 1 {
		return true
	}
	all, brokers := b.num("rules.fallMultiple")*b.cold(n), b.num("brokers")
	bears := all * b.num("rules.fall") / b.meanWork
	chance := 2*math.Sqrt(bears) + 2
	paced := min(1, max(coldPaced, (bears+chance-brokers)/bears))
	held := b.meanWork * min(1, (chance+(1-paced)*bears)/brokers)
	by := b.done * math.Exp((b.doneAt-b.now)/recent) / recent * b.units[n] / b.allUnits
	b.allowed[n] += paced * all * (1/brokers + by) / 2 * (b.now - b.allowAt[n])
	b.allowAt[n] = b.now
	if over := b.allowed[n] - held; held == b.meanWork {
		b.allowed[n] = min(b.allowed[n], 0)
	} else if over > 0 {
		b.allowed[n] -= b.meanWork * math.Ceil(over/b.meanWork)
	}
	return b.allowed[n] >= 0
}
