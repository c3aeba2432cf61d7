package logic

import "slices"

// What the module keeps, and how; nothing is decided here.

// place makes room for a newcomer in the nodes' arrays. It gets the place of a node that nothing refers to any
// more, and nothing of what was known of that one; else a new place.
func (b *Broker) place(id int64) (n int) {
	for n = 0; n < len(b.nodeID) && (b.outCalls[n] > 0 || b.listed[n] > b.now-b.longest); n++ {
	}
	if n < len(b.nodeID) {
		delete(b.index, b.nodeID[n])
	} else {
		b.nodeID, b.state, b.history = append(b.nodeID, 0), append(b.state, Gone), append(b.history, 0)
		b.cell, b.zone, b.kind = append(b.cell, 0), append(b.zone, 0), append(b.kind, 0)
		b.outCalls = append(b.outCalls, 0)
	}
	b.index[id], b.nodeID[n], b.history[n] = n, id, 0xff
	for i, col := range []*[]float64{&b.units, &b.born, &b.outWork, &b.allowed, &b.allowAt, &b.latency,
		&b.under, &b.others, &b.othersAt, &b.latAt, &b.heard, &b.restEnd, &b.passed, &b.used,
		&b.lateAt, &b.failAt, &b.listed} {
		*col = append(*col, 0)[:len(b.nodeID)]
		(*col)[n] = longAgo * float64(min(1, i/9))
	}
	return n
}

// firstRun says when the first dispatch that may have run was sent; below 0: none may have.
func (p *part) firstRun() float64 {
	if i := slices.IndexFunc(p.tries, func(d dispatch) bool { return d.ran }); i >= 0 {
		return p.tries[i].at
	}
	return -1
}

func (b *Broker) do(a Action) { b.out = append(b.out, a) }

func (b *Broker) touch(s *scan) {
	if s != nil && !s.dirty && !s.ended {
		s.dirty = true
		b.changed = append(b.changed, s)
	}
}

// tried says whether p has been dispatched to node n.
func (b *Broker) tried(p *part, n int) bool {
	return slices.ContainsFunc(p.tries, func(d dispatch) bool { return d.node == n })
}

// gap is the time between two answers of one node, as seen by this broker: what it knows ages by that.
func (b *Broker) gap() float64 {
	return (b.now - b.startAt) * float64(len(b.nodeID)) / max(1, b.answers)
}

// end forgets s, which has ended.
func (b *Broker) end(s *scan) {
	s.ended = true
	delete(b.scans, s.id)
	delete(b.byNum, s.num)
	b.dropParts(s)
}
