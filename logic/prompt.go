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
	streamLoad = 0.1  // of the work of a request that stays while its stream runs
	readHolds  = 3.0  // reading holds up a node's other requests, a move does not: it weighs that much more
	paceLeast  = 0.25 // of the mean work that a latency is taken to have waited for at least
	awayWeighs = 0.5  // of what the shared parts take to read counts against a first copy elsewhere than home

	wideWork    = 0.1  // of the mean target: work that holds up others for longer is told to all brokers
	zoneWeighs  = 0.07 // of the target time that a call to another zone weighs, at a price that is not told
	lastRank    = 2.0  // of a request whose reading takes most of its target time; shorter ones come before it
	resendExtra = 2    // dispatches beyond the limit, for those that never ran
)

// workAt is what part p costs node n: reading what it lacks, or fetching some of that first.
func (b *Broker) workAt(p *part, n int) float64 {
	if p.prompt == nil {
		return p.work
	}
	work, _, _ := b.reading(p.prompt, n)
	return work
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
	if len(q.Home) > 0 && own < q.Shared && q.Home[0] != b.nodeID[n] {
		work += awayWeighs * (q.Shared - own) * b.readTime
	}
	return work, source, tokens
}

// offers says whether kept parts may be fetched from a node or store.
func (b *Broker) offers(q *Prompt, id int64) bool {
	if slices.Contains(q.Stores, id) {
		return true
	}
	n, known := b.index[id]
	return known && b.state[n] != Gone && !b.poor(n)
}

// prepare settles what p costs the node that it is sent to, its source, and whether a store is to keep what
// it reads: where nobody keeps all that other requests may have in common with it.
func (b *Broker) prepare(p *part, n int) (source int64, save bool) {
	if q := p.prompt; q != nil {
		b.reads[b.kind[n]] = true
		p.work, source, p.read = b.reading(q, n)
		save = q.Shared > 0 && q.Held[b.nodeID[n]] < q.Shared && q.Tokens-p.read < q.Shared
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
	b.sawLatency(d, s, b.pace(p, d, e.Elapsed), false)
	typ.saw(e.Elapsed, b.num("layout.callWork"))
	if d.read >= readLeast {
		b.readTime = min(b.readTime*readForget, e.Elapsed/d.read)
	}
	done := p.work * (1 - streamLoad)
	b.outWork[n] = max(0, b.outWork[n]-done)
	p.work -= done
}

// pace is a latency as it would have been with the mean work outstanding: prompts differ too much in length
// for their latencies to tell of their nodes as they are.
func (b *Broker) pace(p *part, d *dispatch, elapsed float64) float64 {
	if p.prompt == nil {
		return elapsed
	}
	return elapsed * b.meanWork / max(d.load, b.meanWork*paceLeast)
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
