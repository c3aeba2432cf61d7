package core

import (
	"slices"

	"gullstair/logic"
)

// abandon ends a scan that the module has not ended, and tells it so.
func (c *Core) abandon(s *scan, why string) {
	c.events = append(c.events, logic.Event{Kind: logic.ClientLeft, ID: s.num})
	c.reply(s, Reply{Kind: logic.Abandon, Why: why})
}

// take gives a scan and its parts their numbers and tells the module, unless it would be too many at once.
func (c *Core) take(r *Scan) {
	c.Counts.Scans++
	if c.closing { // it was read while the others were given up: nobody would be there for its answer
		c.Counts.Throttled++
		c.do(Reply{Scan: r, Kind: logic.Throttle, Why: "stopping"})
		return
	}
	size := 1 + len(r.Parts)
	left := r.TimeLeft - max(0, c.now-r.At)
	if c.site.OpenCap > 0 && c.open+size > c.site.OpenCap {
		c.Counts.Full++
		c.Counts.Throttled++
		c.do(Reply{Scan: r, Kind: logic.Throttle, Why: "too many scans open"})
		return
	}
	if left <= 0 {
		c.Counts.Abandoned++
		c.do(Reply{Scan: r, Kind: logic.Abandon, Why: "out of time"})
		return
	}
	// Nodes answer by the id, and give up by it: the scan that has it would get the other's values, or be ended.
	if c.ids[r.ID] != nil {
		c.Counts.Abandoned++
		c.do(Reply{Scan: r, Kind: logic.Abandon, Conflict: true, Why: "an open request has this X-Correlation-Id"})
		return
	}
	for _, p := range r.Parts {
		r.work += p.Work
	}
	if !c.confined(r) || !c.limited(r, left) {
		return
	}
	c.admit(r, left)
}

// admit gives a scan that is taken its number, and tells the module.
func (c *Core) admit(r *Scan, left float64) {
	s := &scan{Scan: r, num: c.number(), step: 1, endAt: c.now + left}
	r.num, r.began = s.num, c.now
	c.scans[s.num], c.ids[r.ID] = s, s
	work, flags := 0.0, int64(0)
	if r.Repeat {
		flags |= 2
	}
	for _, p := range r.Parts {
		s.parts = append(s.parts, c.part(s, p.Shard, p.Weight, p.Work))
		work += p.Work
	}
	c.open++
	whole := logic.Event{Kind: logic.ScanArrived, ID: s.num, Scan: s.num, Shard: -1, Amount: float64(len(s.parts)),
		Budget: left, TableType: r.TableType, Tenant: r.Tenant, Hint: work, Flags: flags,
		Permitted: r.held.Permitted}
	if work > 0 {
		whole.Flags |= 1
	}
	c.events = append(c.events, whole)
	for _, p := range s.parts {
		c.tellPart(p, flags)
	}
	c.plan(due{at: s.endAt, s: s})
}

func (c *Core) part(s *scan, shard int, weight, work float64) *part {
	p := &part{id: c.number(), scan: s, shard: shard, weight: weight, work: work}
	c.parts[p.id] = p
	c.open++
	return p
}

func (c *Core) tellPart(p *part, flags int64) {
	if p.work > 0 {
		flags |= 1
	}
	s := p.scan
	c.events = append(c.events, logic.Event{Kind: logic.PartArrived, ID: p.id, Scan: s.num, Shard: p.shard,
		Amount: p.weight, Budget: s.endAt - c.now, TableType: s.TableType, Tenant: s.Tenant, Hint: p.work, Flags: flags})
}

// tellSecond tells the parts of a second step, one turn after the answer that began it.
func (c *Core) tellSecond(s *scan) {
	if c.scans[s.num] != s {
		return // ended meanwhile
	}
	for _, p := range s.parts {
		c.tellPart(p, 0)
	}
}

// ended takes a dispatch's end from the sockets. One that had ended before is counted and dropped.
func (c *Core) ended(e Ended) {
	d := c.flights[e.Ref]
	if c.probed(e) {
		return
	}
	if d == nil || d.finished {
		c.Counts.Late++
		return
	}
	c.finish(d, e)
}

// finish is the one place where a dispatch ends.
func (c *Core) finish(d *dispatch, e Ended) {
	p := d.part
	d.finished = true
	delete(c.flights, d.ref)
	p.outstanding = slices.DeleteFunc(p.outstanding, func(o *dispatch) bool { return o == d })
	c.Counts.Ends[e.How]++
	if e.How == Answered && !p.in {
		p.in, p.value, p.score = true, e.Value, e.Score
	}
	if o := e.How.Outcome(); p.ranAt == 0 && o != logic.Saturated && o != logic.ConnRefused && o != logic.Superseded {
		p.ranAt = d.at
	}
	if c.judges && e.How == TurnedAway {
		c.do(Judged{Host: d.host, Outcome: logic.Saturated})
	}
	open := c.parts[p.id] == p
	told := logic.Event{Kind: logic.DispatchEnded, ID: p.id, Dispatch: d.n, Node: d.node,
		Outcome: e.How.Outcome(), Elapsed: max(0, e.At-d.at), Closed: p.in || !open, Load: e.Load}
	if open && (e.How == OutOfTime || e.How == TakenBack) {
		c.plan(due{at: c.now + crossing, told: &told}) // the node is told now, the module when the node knows
		return
	}
	c.events = append(c.events, told)
}
