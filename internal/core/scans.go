package core

import (
	"slices"

	"gullstair/logic"
)

// abandon ends a scan that the module has not ended, and reports it to the module as a client that left.
func (c *Core) abandon(s *scan, why string) {
	c.events = append(c.events, logic.Event{Kind: logic.ClientLeft, ID: s.num})
	c.reply(s, Reply{Kind: logic.Abandon, Why: why})
}

// receiveScan admits a scan, queues it or rejects it.
func (c *Core) receiveScan(r *Scan) {
	c.Counts.Scans++
	if c.closing { // received after shutdown began: the actor stops, and nothing would answer the scan
		c.Counts.Throttled++
		c.emit(Reply{Scan: r, Kind: logic.Throttle, Why: "stopping"})
		return
	}
	size := 1 + len(r.Parts)
	left := r.TimeLeft - max(0, c.now-r.ReceivedAt)
	if c.settings.OpenCap > 0 && c.open+size > c.settings.OpenCap {
		c.Counts.OverCapacity++
		c.Counts.Throttled++
		c.emit(Reply{Scan: r, Kind: logic.Throttle, Why: "too many scans open"})
		return
	}
	if left <= 0 {
		c.Counts.Abandoned++
		c.emit(Reply{Scan: r, Kind: logic.Abandon, Why: "out of time"})
		return
	}
	// Nodes answer and cancel by this ID: the scan that has it would get the values of the other, or be cancelled.
	if c.byClientID[r.ID] != nil {
		c.Counts.Abandoned++
		c.emit(Reply{Scan: r, Kind: logic.Abandon, Conflict: true, Why: "an open request has this X-Correlation-Id"})
		return
	}
	for _, p := range r.Parts {
		r.work += p.Work
	}
	if !c.admittedByCell(r) || !c.admittedByLimits(r, left) {
		return
	}
	c.admit(r, left)
}

// admit assigns numbers to an admitted scan and its parts and passes them to the module.
func (c *Core) admit(r *Scan, left float64) {
	admitted := &scan{Scan: r, num: c.nextNumber(), step: 1, deadline: c.now + left}
	r.num, r.admittedAt = admitted.num, c.now
	c.scans[admitted.num], c.byClientID[r.ID] = admitted, admitted
	work, flags := 0.0, int64(0)
	if r.Repeat {
		flags |= 2
	}
	for _, p := range r.Parts {
		admitted.parts = append(admitted.parts, c.part(admitted, p.Shard, p.Weight, p.Work))
		work += p.Work
	}
	c.open++
	whole := logic.Event{Kind: logic.ScanArrived, ID: admitted.num, Scan: admitted.num, Shard: -1, Amount: float64(len(admitted.parts)),
		Budget: left, TableType: r.TableType, Tenant: r.Tenant, Hint: work, Flags: flags,
		Permitted: r.verdict.Permitted}
	if work > 0 {
		whole.Flags |= 1
	}
	c.events = append(c.events, whole)
	for _, p := range admitted.parts {
		c.addPartArrived(p, flags)
	}
	c.schedule(timer{at: admitted.deadline, admitted: admitted})
}

func (c *Core) part(s *scan, shard int, weight, work float64) *part {
	p := &part{id: c.nextNumber(), scan: s, shard: shard, weight: weight, work: work}
	c.parts[p.id] = p
	c.open++
	return p
}

func (c *Core) addPartArrived(p *part, flags int64) {
	if p.work > 0 {
		flags |= 1
	}
	s := p.scan
	c.events = append(c.events, logic.Event{Kind: logic.PartArrived, ID: p.id, Scan: s.num, Shard: p.shard,
		Amount: p.weight, Budget: s.deadline - c.now, TableType: s.TableType, Tenant: s.Tenant, Hint: p.work, Flags: flags})
}

// addSecondStep passes the parts of a second step to the module, one turn after the answer that started it.
func (c *Core) addSecondStep(s *scan) {
	if c.scans[s.num] != s {
		return // the scan has ended since
	}
	for _, p := range s.parts {
		c.addPartArrived(p, 0)
	}
}

// dispatchEnded handles the end of a dispatch or a probe. An end of a dispatch that has ended before is counted and
// dropped.
func (c *Core) dispatchEnded(e Ended) {
	d := c.dispatches[e.Ref]
	if c.probeEnded(e) {
		return
	}
	if d == nil || d.finished {
		c.Counts.LateEnds++
		return
	}
	c.finish(d, e)
}

// finish ends a dispatch. Every dispatch ends here.
func (c *Core) finish(d *dispatch, e Ended) {
	p := d.part
	d.finished = true
	delete(c.dispatches, d.ref)
	p.outstanding = slices.DeleteFunc(p.outstanding, func(o *dispatch) bool { return o == d })
	c.Counts.Ends[e.Reason]++
	if e.Reason == Answered && !p.answered {
		p.answered, p.value, p.score = true, e.Value, e.Score
	}
	if o := e.Reason.Outcome(); p.firstRunAt == 0 && o != logic.Saturated && o != logic.ConnRefused && o != logic.Superseded {
		p.firstRunAt = d.at
	}
	if c.reportsOutcomes && e.Reason == Rejected {
		c.emit(OutcomeReport{Host: d.host, Outcome: logic.Saturated})
	}
	open := c.parts[p.id] == p
	event := logic.Event{Kind: logic.DispatchEnded, ID: p.id, Dispatch: d.attempt, Node: d.node,
		Outcome: e.Reason.Outcome(), Elapsed: max(0, e.At-d.at), Closed: p.answered || !open, Load: e.Load}
	if open && (e.Reason == TimedOut || e.Reason == Recalled) {
		c.schedule(timer{at: c.now + recallDelay, event: &event}) // the node gets the cancellation now, the module is informed after recallDelay
		return
	}
	c.events = append(c.events, event)
}
