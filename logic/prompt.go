package logic

import (
	"math"
	"slices"
)

// Requests with a prompt. A cover is one node and at most one source to fetch kept tokens from; the node
// prefills the rest. The cost of a cover is the time this takes, on top of the load.

const (
	initialPrefillTime = 0.02 // ms per token before the first measurement
	prefillMinTokens   = 256  // prefills of fewer tokens are too short to measure the time of one
	prefillTimeGrowth  = 1.01 // growth of the shortest time per token at each event, so that it adapts upward
	prefillWeight      = 3.0  // weight of a prefill, which blocks the node's other requests, over a fetch
	nonHomeWeight      = 6.0  // cost of a first copy away from its home, in prefills of the shared tokens
	busyWeight         = 3.0  // extra cost of a long prefill, times its share of the target time
	saveRatio          = 2.0  // shared tokens per other token at least, or no store saves the prompt

	wideWork         = 0.1  // share of the mean target: larger work is reported to all brokers
	defaultZonePrice = 0.07 // share of the target time that a cross-zone call costs by default
	extraUnstarted   = 2    // dispatches above the limit, for those that never ran
)

// placementCost is the cost of part p at node n beyond its load: to prefill missing tokens, or fetch some. A
// long prefill blocks streams and costs more than its length; a first copy away from home takes memory.
func (b *Broker) placementCost(p *part, n int, load float64) float64 {
	q := p.prompt
	if q == nil {
		return p.work
	}
	work, _, _ := b.prefillCost(q, n)
	busy, own := load+work, q.Held[b.nodeID[n]]
	if len(q.Home) > 0 && own < q.Shared && q.Home[0] != b.nodeID[n] {
		work += nonHomeWeight * (q.Shared - own) * b.prefillTime
	}
	return work + busyWeight*busy*busy/b.types[p.scan.typ].target
}

// prefillCost returns the time that node n needs for prompt q, its source and the tokens to prefill.
func (b *Broker) prefillCost(q *Prompt, n int) (work float64, source int64, tokens float64) {
	own := q.Held[b.nodeID[n]]
	tokens, work = q.Tokens-own, (q.Tokens-own)*b.prefillTime
	least := work * prefillWeight
	for id, held := range q.Held {
		more := held - own
		if id == b.nodeID[n] || more <= 0 || q.Group[id] != q.Group[b.nodeID[n]] || !b.canFetchFrom(q, id) {
			continue
		}
		tokenTime := q.FetchTime
		if b.zoneOf(q, id) != b.zone[n] {
			tokenTime = q.AcrossTime
		}
		prefill, fetch := (q.Tokens-held)*b.prefillTime, more*tokenTime
		if cost := prefill*prefillWeight + fetch; tokenTime > 0 && (cost < least || cost == least && id < source) {
			least, work, source, tokens = cost, prefill+fetch, id, q.Tokens-held
		}
	}
	return work, source, tokens
}

// canFetchFrom reports whether kept tokens may be fetched from a node or store.
func (b *Broker) canFetchFrom(q *Prompt, id int64) bool {
	n, known := b.index[id]
	return slices.Contains(q.Stores, id) || known && b.state[n] != Gone && !b.unhealthy(n)
}

// preparePrompt sets the work of p at node n and returns its source, and whether a store saves the prompt: it
// does if neither the node nor the source holds all the tokens that other requests may share.
func (b *Broker) preparePrompt(p *part, n int) (source int64, save bool) {
	if q := p.prompt; q != nil {
		b.prefills[b.kind[n]] = true
		p.work, source, p.tokens = b.prefillCost(q, n)
		save = q.Shared > saveRatio*(q.Tokens-q.Shared) && max(q.Held[b.nodeID[n]], q.Tokens-p.tokens) < q.Shared
	}
	return source, save
}

// streamBegan handles the first event of a stream: its latency counts, and the prefill is done.
func (b *Broker) streamBegan(e *Event) {
	p := b.parts[e.ID]
	if p == nil || e.Dispatch >= len(p.tries) || !p.tries[e.Dispatch].open || p.tries[e.Dispatch].streaming {
		return
	}
	d, s := &p.tries[e.Dispatch], p.scan
	n, typ := d.node, &b.types[s.typ]
	d.streaming, p.streaming, d.lateAt, d.silentAt = true, true, math.Inf(1), math.Inf(1) // a stream may pause
	b.lastAnswer[n], b.connUsedAt[n], b.newestAnswered[n] = b.now, b.now, max(b.newestAnswered[n], d.sentAt)
	b.answers, b.lastSignal = b.answers+1, b.now
	b.recordLatency(p, d, e.Elapsed, false)
	typ.observe(e.Elapsed, b.num("layout.callWork"))
	if d.tokens >= prefillMinTokens {
		b.prefillTime = min(b.prefillTime*prefillTimeGrowth, e.Elapsed/d.tokens)
	}
	b.openWork[n] = max(0, b.openWork[n]-p.work)
	p.work = 0
}

// attemptsLeft reports whether p may go to one more node: dispatches that never ran have a higher limit.
func (b *Broker) attemptsLeft(p *part, t *settings) bool {
	most := b.types[p.scan.typ].dispatches
	if most == 0 {
		return len(p.tries) < int(t.num("limit.dispatches"))
	}
	ran := 0
	for i := range p.tries {
		if p.tries[i].mayHaveRun {
			ran++
		}
	}
	return ran < most && len(p.tries) < most+extraUnstarted
}
