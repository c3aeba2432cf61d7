package logic

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
)

// The cover search and the loads that it compares.

// cover chooses a node for each part: of the smallest sets that hold them all and those a few larger, the
// one with the least load. Cells hold shards in a row: parts are swept in shard order, cut at the widest gap,
// and each node takes a run of them: exact on a row, one call over the smallest at most round a full ring.
func (b *Broker) cover(s *scan, asks []*part) []int {
	type run struct {
		from, to, node int
		cost           float64
	}
	runs, work, cut, gap, cells := []run{}, 0.0, 0, -1, int(b.num("layout.cells"))
	slices.SortStableFunc(asks, func(x, y *part) int { return cmp.Compare(x.shard%cells, y.shard%cells) })
	for i, a := range asks {
		work += a.work / float64(len(asks))
		before := asks[(i+len(asks)-1)%len(asks)].shard
		if g := ((a.shard-before)%cells + cells) % cells; g > gap {
			cut, gap = i, g
		}
	}
	copy(asks, slices.Concat(asks[cut:], asks[:cut]))
	room := int(min(b.num("layout.batch"), max(1, callShare*b.types[s.typ].target/work)))
	weight, load, away, count := map[int]float64{}, map[int]float64{}, map[int]float64{}, map[int]int{}
	least, width := make([]int, len(asks)+1), 2+len(asks)/spareEvery // least: calls for the parts before
	for j, a := range asks {
		for _, n := range a.nodes {
			if weight[n] == 0 {
				weight[n], load[n] = b.weigh(n)*(1+ties*b.float()), b.load(n)+b.num("layout.callWork")
				if !b.linked(n) {
					load[n] += (b.connecting + b.refusing + b.num("prices.handshake")) * b.types[s.typ].target
				}
				if c := b.turn[n]; c != nil { // scans of one turn share calls
					load[n], count[n] = b.load(n), c.parts
				}
				if b.zone[n] != int(b.num("zone")) {
					away[n] = b.zonePrice() * b.types[s.typ].target
				}
			}
			cost := load[n] * weight[n]
			for k := j; k < len(asks) && k < j+room && slices.Contains(asks[k].nodes, n); k++ {
				cost += b.workAt(asks[k], n, load[n])*weight[n] + away[n]
				runs = append(runs, run{j, k + 1, n, cost})
				if least[k+1] == 0 || least[k+1] > least[j]+1 {
					least[k+1] = least[j] + 1
				}
			}
		}
	}
	// plan: by parts covered and calls beyond the least, the lowest cost and the last run of it
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
	node, chosen, over, k := make([]int, len(asks)), map[int]bool{}, 0, len(asks)
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
	// Each part goes to the chosen holder with the least load; past the cap of its call rather to another one.
	for i, a := range asks {
		lowest := math.Inf(1)
		for _, n := range a.nodes {
			cost := (load[n]+b.workAt(a, n, load[n]))*weight[n] + away[n]
			if !chosen[n] {
				cost += overCap / 2
			}
			if count[n] >= room {
				cost += overCap
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

// predict says at what share of its target time enough of the scan for an answer will be in: each node
// answers in its recent latency, stretched by what is outstanding there now against what was then, or where
// brokers are many, with the difference added.
func (b *Broker) predict(s *scan, asks []*part, node []int) (worst float64) {
	added, lats, alike := map[int]float64{}, [][2]float64{}, min(1, fewBrokers/b.num("brokers"))
	for i, n := range node {
		added[n] += asks[i].work
	}
	for i, n := range node {
		lat, under := b.lat(n)
		now := (b.load(n) + b.num("layout.callWork") + added[n]) / b.types[s.typ].target
		lat += alike*lat*(now/under-1) + (1-alike)*(now-under)
		lats = append(lats, [2]float64{lat, asks[i].weight})
	}
	slices.SortFunc(lats, func(x, y [2]float64) int { return cmp.Compare(x[0], y[0]) })
	for i, got := 0, 0.0; i < len(lats) && got < b.least(s)-0.00005; i++ {
		got, worst = got+lats[i][1], lats[i][0]
	}
	if b.least(s) > 0.9999 { // the slowest of so many calls, as if their times were exponential
		worst += b.types[s.typ].dev / b.types[s.typ].target * math.Log(float64(len(added)))
	}
	return worst
}

// weigh is the node's recent latency over the mean one; a failing node's work counts as done again. One that
// has had its rest is tried by the next call: who has another holder would never learn that it is well. Not
// where a node is heard less often than it rests: every call would be a trial, and silence costs a scan.
func (b *Broker) weigh(n int) float64 {
	if b.poor(n) && b.gap() < restTime {
		return 0.2
	}
	lat, _ := b.lat(n)
	if b.now-b.lateAt[n] < recent {
		lat *= lateWeighs
	}
	mean := b.meanLat
	if b.reads[b.kind[n]] {
		mean = lat // a long prompt is no slow node, and what others sent there is told
	}
	return min(max(lat/mean, 0.2), 8) * 8 / max(1, float64(bits.OnesCount8(b.history[n])))
}

// lat is the node's recent latency against its target, and the work it was under; without one it is the
// average of its kind: kinds differ in speed, and a way may be slow to one kind alone.
func (b *Broker) lat(n int) (lat, under float64) {
	if b.now-b.latAt[n] < max(recent, latGaps*b.gap()) {
		return b.latency[n], b.under[n]
	}
	k := b.kinds[b.kind[n]]
	return k[0], k[1]
}

// load is the known work outstanding at n: its own, and what others told of. Prompts are read one by one, a
// ms of work in a ms; other work runs side by side, and fades in half the latency.
func (b *Broker) load(n int) float64 {
	if b.reads[b.kind[n]] {
		return b.outWork[n] + max(0, b.others[n]-(b.now-b.othersAt[n]))
	}
	lat, _ := b.lat(n)
	return b.outWork[n] + b.others[n]*math.Exp(2*(b.othersAt[n]-b.now)/max(1, lat*b.typTarget))
}

// linked says whether a connection to node n is likely to be open.
func (b *Broker) linked(n int) bool {
	return b.now-b.used[n] < cmp.Or(b.num("limit.connIdle"), math.Inf(1))
}
