package logic

import (
	"math"
	"slices"
)

// Requests with a prompt. A cover is the runner and at most one source that it fetches kept parts from; what
// neither keeps is read. Its cost is the time that takes, beside the load that every cover is weighed by.

const (
	readStart  = 0.02 // ms to read a token until one has been seen
	readLeast  = 256  // a first event after fewer tokens tells nothing of the time to read one
	readForget = 1.01 // what was seen gives way to longer times by this for each event
	readHolds  = 3.0  // reading holds up a node's other requests, a move does not: it weighs that much more
	awayWeighs = 6.0  // times what the shared parts take to read counts against a first copy elsewhere than home
	busyWeighs = 3.0  // times what a node reads in one go counts once more by its share of the target time
	saveShare  = 2.0  // shared tokens for each that is not, at least, or no store keeps the prompt

	wideWork    = 0.1  // of the mean target: work that holds up others for longer is told to all brokers
	zoneWeighs  = 0.07 // of the target time that a call to another zone weighs, at a price that is not told
	resendExtra = 2    // dispatches beyond the limit, for those that never ran
)

// workAt is what part p costs at node n beyond its load: reading what it lacks, or fetching some of that.
// What is read in one go holds up streams, the longer the worse; a first copy away from home takes memory.
func (b *Broker) workAt(p *part, n int, load float64) float64 {
	q := p.prompt
	if q == nil {
		return p.work
	}
	work, _, _ := b.reading(q, n)
	busy, own := load+work, q.Held[b.nodeID[n]]
	if len(q.Home) > 0 && own < q.Shared && q.Home[0] != b.nodeID[n] {
		work += awayWeighs * (q.Shared - own) * b.readTime
	}
	return work + busyWeighs*busy*busy/b.types[p.scan.typ].target
}

// reading says how long node n needs for a prompt, its source, and how many tokens it reads.
func (b *Broker) reading(q *Prompt, n int) (work float64, source int64, tokens float64) {
	own := q.Held[b.nodeID[n]]
	tokens, work = q.Tokens-own, (q.Tokens-own)*b.readTime
	least := work * readHolds
	for id, held := range q.Held {
		more := held - own
		if id == b.nodeID[n] || more <= 0 || q.Group[id] != q.Group[b.nodeID[n]] || !b.offers(q, id) {
			continue
		}
		each := q.FetchTime
		if b.zoneOf(q, id) != b.zone[n] {
			each = q.AcrossTime
		}
		read, move := (q.Tokens-held)*b.readTime, more*each
		if with := read*readHolds + move; each > 0 && (with < least || with == least && id < source) {
			least, work, source, tokens = with, read+move, id, q.Tokens-held
		}
	}
	return work, source, tokens
}

// offers says whether kept parts may be fetched from a node or store.
func (b *Broker) offers(q *Prompt, id int64) bool {
	n, known := b.index[id]
	return slices.Contains(q.Stores, id) || known && b.state[n] != Gone && !b.poor(n)
}

// prepare settles what p costs the node that it is sent to, its source, and whether a store is to keep what
// it reads: where nobody keeps all that other requests may have in common with it.
func (b *Broker) prepare(p *part, n int) (source int64, save bool) {
	if q := p.prompt; q != nil {
		b.reads[b.kind[n]] = true
		p.work, source, p.read = b.reading(q, n)
		save = q.Shared > saveShare*(q.Tokens-q.Shared) && max(q.Held[b.nodeID[n]], q.Tokens-p.read) < q.Shared
	}
	return source, save
}

// streamBegan takes the first event of a stream: its latency counts, and the work before it is done.
func (b *Broker) streamBegan(e *Event) {
	p := b.parts[e.ID]
	if p == nil || e.Dispatch >= len(p.tries) || !p.tries[e.Dispatch].open || p.tries[e.Dispatch].began {
		return
	}
	d, s := &p.tries[e.Dispatch], p.scan
	n, typ := d.node, &b.types[s.typ]
	d.began, p.began, d.late, d.silent = true, true, math.Inf(1), math.Inf(1) // it may pause from now on
	b.heard[n], b.used[n], b.passed[n] = b.now, b.now, max(b.passed[n], d.at)
	b.answers, b.newsAt = b.answers+1, b.now
	b.sawLatency(p, d, e.Elapsed, false)
	typ.saw(e.Elapsed, b.num("layout.callWork"))
	if d.read >= readLeast {
		b.readTime = min(b.readTime*readForget, e.Elapsed/d.read)
	}
	b.outWork[n] = max(0, b.outWork[n]-p.work)
	p.work = 0
}

// triesLeft says whether p may go to one more node: what may have run counts, and the rest up to a bound.
func (b *Broker) triesLeft(p *part, t *terms) bool {
	most := b.types[p.scan.typ].dispatches
	if most == 0 {
		return len(p.tries) < int(t.num("limit.dispatches"))
	}
	ran := 0
	for i := range p.tries {
		if p.tries[i].ran {
			ran++
		}
	}
	return ran < most && len(p.tries) < most+resendExtra
}
