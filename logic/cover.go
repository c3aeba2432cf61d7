package logic

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
)

// cover returns the node for each part and reorders parts. It searches the smallest sets of nodes that hold
// all parts, and sets a few calls larger, for the one with the least load. Holders of a shard are in
// consecutive cells, so the parts are sorted by shard, the ring is cut at its widest gap, and each node takes
// a run of parts. The result is a smallest set, or one call larger where the parts go all around the ring.
func (b *Broker) cover(s *scan, parts []*part) []int {
	type run struct {
		from, to, node int
		cost           float64
	}
	runs, work, cut, gap, cells := []run{}, 0.0, 0, -1, int(b.num("layout.cells"))
	slices.SortStableFunc(parts, func(x, y *part) int { return cmp.Compare(x.shard%cells, y.shard%cells) })
	for i, a := range parts {
		work += a.work / float64(len(parts))
		before := parts[(i+len(parts)-1)%len(parts)].shard
		if g := ((a.shard-before)%cells + cells) % cells; g > gap {
			cut, gap = i, g
		}
	}
	copy(parts, slices.Concat(parts[cut:], parts[:cut]))
	maxParts := int(min(b.num("layout.batch"), max(1, maxCallShare*b.types[s.typ].target/work)))
	factor, load, zoneCost, count := map[int]float64{}, map[int]float64{}, map[int]float64{}, map[int]int{}
	least, width := make([]int, len(parts)+1), 2+len(parts)/partsPerExtraCall // least[k]: calls for the first k
	for j, a := range parts {
		for _, n := range a.candidates {
			if factor[n] == 0 {
				factor[n], load[n] = b.loadFactor(n)*(1+tieNoise*b.float()), b.load(n)+b.num("layout.callWork")
				if !b.connected(n) {
					load[n] += (b.connectCost + b.refusalRate + b.num("prices.handshake")) * b.types[s.typ].target
				}
				if c := b.turnCalls[n]; c != nil { // scans of one turn share calls
					load[n], count[n] = b.load(n), c.parts
				}
				if b.zone[n] != int(b.num("zone")) {
					zoneCost[n] = b.zonePrice() * b.types[s.typ].target
				}
			}
			cost := load[n] * factor[n]
			for k := j; k < len(parts) && k < j+maxParts && slices.Contains(parts[k].candidates, n); k++ {
				cost += b.placementCost(parts[k], n, load[n])*factor[n] + zoneCost[n]
				runs = append(runs, run{j, k + 1, n, cost})
				if least[k+1] == 0 || least[k+1] > least[j]+1 {
					least[k+1] = least[j] + 1
				}
			}
		}
	}
	// plan: by parts covered and calls above the least, the lowest cost; last: the last run of that plan
	plan, last := make([]float64, len(least)*width), make([]int, len(least)*width)
	for i := range plan[1:] {
		plan[i+1] = math.Inf(1)
	}
	for i, r := range runs {
		for over := 0; over < width; over++ {
			to, cost := over+1+least[r.from]-least[r.to], plan[r.from*width+over]+r.cost
			if to < width && cost < plan[r.to*width+to] {
				plan[r.to*width+to], last[r.to*width+to] = cost, i
			}
		}
	}
	node, chosen, over, k := make([]int, len(parts)), map[int]bool{}, 0, len(parts)
	for i := range width {
		if plan[k*width+i] < plan[k*width+over] {
			over = i
		}
	}
	for k > 0 {
		r := runs[last[k*width+over]]
		over += least[k] - least[r.from] - 1
		chosen[r.node], k = true, r.from
	}
	// Each part goes to the chosen holder with the least load, or to another once its call is at the cap.
	for i, a := range parts {
		lowest := math.Inf(1)
		for _, n := range a.candidates {
			cost := (load[n]+b.placementCost(a, n, load[n]))*factor[n] + zoneCost[n]
			if !chosen[n] {
				cost += overCapCost / 2
			}
			if count[n] >= maxParts {
				cost += overCapCost
			}
			if cost < lowest {
				node[i], lowest = n, cost
			}
		}
		n := node[i]
		load[n], count[n], chosen[n] = load[n]+a.work, count[n]+1, true
	}
	return node
}

// predict returns the share of the target time within which enough of the scan should arrive: by node, the
// recent latency scaled by its load now over its load then; with many brokers, their difference is added.
func (b *Broker) predict(s *scan, parts []*part, node []int) (worst float64) {
	added, lats, scaling := map[int]float64{}, [][2]float64{}, min(1, fewBrokers/b.num("brokers"))
	for i, n := range node {
		added[n] += parts[i].work
	}
	for i, n := range node {
		lat, under := b.recentLatency(n)
		now := (b.load(n) + b.num("layout.callWork") + added[n]) / b.types[s.typ].target
		lat += scaling*lat*(now/under-1) + (1-scaling)*(now-under)
		lats = append(lats, [2]float64{lat, parts[i].weight})
	}
	slices.SortFunc(lats, func(x, y [2]float64) int { return cmp.Compare(x[0], y[0]) })
	for i, got := 0, 0.0; i < len(lats) && got < b.minWeight(s)-0.00005; i++ {
		got, worst = got+lats[i][1], lats[i][0]
	}
	if b.minWeight(s) > 0.9999 { // the slowest of these calls, as if their times were exponential
		worst += b.types[s.typ].dev / b.types[s.typ].target * math.Log(float64(len(added)))
	}
	return worst
}

// loadFactor is the node's recent latency over the mean, and more for a failing node, whose work is repeated.
// It is low for a node due for a trial, which the other holders would otherwise keep from recovery; not where
// answers are rarer than ejectionTime: every call would be a trial, and silence delays a scan.
func (b *Broker) loadFactor(n int) float64 {
	if b.unhealthy(n) && b.answerInterval() < ejectionTime {
		return 0.2
	}
	lat, _ := b.recentLatency(n)
	if b.now-b.lateAt[n] < latencyMaxAge {
		lat *= lateFactor
	}
	mean := b.meanLatency
	if b.prefills[b.kind[n]] {
		mean = lat // prompt lengths vary; peers report their work
	}
	return min(max(lat/mean, 0.2), 8) * 8 / max(1, float64(bits.OnesCount8(b.history[n])))
}

// recentLatency returns the node's recent latency and the load it was under, over the target time, or those
// of its kind if it has none: kinds differ in speed, and a network path may be slow for one kind alone.
func (b *Broker) recentLatency(n int) (lat, under float64) {
	if b.now-b.latencyAt[n] < max(latencyMaxAge, latencyMaxIntervals*b.answerInterval()) {
		return b.latency[n], b.latencyLoad[n]
	}
	k := b.kindLatency[b.kind[n]]
	return k[0], k[1]
}

// load is the known open work at n, of this broker and of its peers. Prompts are prefilled one by one, so
// their work drops by 1 ms per ms; other work runs in parallel and decays with half the latency.
func (b *Broker) load(n int) float64 {
	if b.prefills[b.kind[n]] {
		return b.openWork[n] + max(0, b.peerWork[n]-(b.now-b.peerWorkAt[n]))
	}
	lat, _ := b.recentLatency(n)
	return b.openWork[n] + b.peerWork[n]*math.Exp(2*(b.peerWorkAt[n]-b.now)/max(1, lat*b.meanTarget))
}

// connected reports whether a connection to node n is likely to be open.
func (b *Broker) connected(n int) bool {
	return b.now-b.connUsedAt[n] < cmp.Or(b.num("limit.connIdle"), math.Inf(1))
}
