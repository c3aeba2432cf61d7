package core

import (
	"slices"
	"strconv"

	"gullstair/logic"
)

// act carries out the module's actions in their order. What goes to one node is gathered in frames.
func (c *Core) act(acts []logic.Action) {
	calls := map[int64]int{} // by node: where its frame stands in out
	for _, a := range acts {
		switch a.Kind {
		case logic.Dispatch:
			c.dispatch(a, calls)
		case logic.Recall:
			if p := c.parts[a.ID]; p != nil {
				for _, d := range p.outstanding {
					if d.n == a.Dispatch {
						c.takeBack(d)
						break
					}
				}
			}
		case logic.Answer, logic.Throttle, logic.Abandon:
			if s := c.scans[a.ID]; s != nil {
				c.final(s, a)
			}
		case logic.SetTimer:
			c.plan(due{at: c.now + a.After, timer: a.Timer})
		case logic.Subscribe:
			c.do(Watch{})
		case logic.Probe:
			c.probe(a.Node, false)
		case logic.Short:
			if c.limiter != nil {
				c.Counts.Short++
				c.limiter.Further() // refused, or it is left unused: that much more is wanted here
			}
		case logic.Tell:
			c.do(Tell{Note: a.Note})
		case logic.Judged:
			if at := c.hosts[a.Node]; at != nil {
				how := logic.Overdue // it said nothing: the module had waited for long enough
				if a.Whole {
					how = logic.Completed
				} else if slices.Contains(c.said, a.Node) {
					how = logic.Errored
				}
				c.do(Judged{Host: at.host, Outcome: how, Late: a.Late})
			}
		case logic.Note:
			c.do(Log{Text: a.Text})
		case logic.Fatal:
			c.do(Log{Text: a.Text, Fatal: true})
		}
	}
}

func (c *Core) dispatch(a logic.Action, calls map[int64]int) {
	p := c.parts[a.ID]
	if p == nil {
		return // its scan has ended: there is nobody to tell either
	}
	s, at := p.scan, c.hosts[a.Node]
	d := &dispatch{ref: c.number(), part: p, n: p.tries, node: a.Node, at: c.now, overAt: s.endAt}
	p.tries++
	p.outstanding = append(p.outstanding, d)
	c.flights[d.ref] = d
	switch {
	case p.tries > c.site.Dispatches || s.endAt <= c.now || d.n > 0 && c.limiter != nil && !c.limiter.Further():
		c.finish(d, Ended{How: NeverSent, At: c.now})
		return
	case at == nil || at.addr == "":
		c.finish(d, Ended{How: NoAddress, At: c.now})
		return
	case a.After < 0:
		c.finish(d, Ended{How: OutOfTime, At: c.now})
		return
	case a.After > 0:
		d.overAt = min(d.overAt, c.now+a.After)
	}
	d.host = at.host
	c.Counts.Dispatches++
	c.plan(due{at: d.overAt, d: d})
	cp := CallPart{Ref: d.ref, ID: s.ID + "." + strconv.Itoa(p.shard), Shard: p.shard, Until: d.overAt, Text: s.Text}
	if c.site.Types[s.TableType].Keyed {
		cp.Key, cp.NotAfter = s.Key, c.notAfter(p)
	}
	if s.step == 2 {
		cp.ID, cp.From, cp.Whole = cp.ID+".get", s.from, s.firstFull
	}
	if i, begun := calls[a.Node]; begun {
		if call := c.out[i].(Call); len(call.Parts) < max(1, c.site.Batch) {
			call.Parts = append(call.Parts, cp)
			c.out[i] = call
			return
		}
	}
	calls[a.Node] = len(c.out)
	c.do(Call{Host: at.host, Addr: at.addr, Parts: []CallPart{cp}})
}

// notAfter is the latest moment at which a further dispatch of a keyed part may be written: while repeats are
// dropped, counted from the first dispatch that may have run. The module keeps to it when it decides; a
// connection that has to come up first would carry the frame past it. 0: there is no such moment.
// A dispatch that is still out counts as one that ran.
func (c *Core) notAfter(p *part) float64 {
	first := p.ranAt
	for _, d := range p.outstanding {
		if d.n < p.tries-1 && (first == 0 || d.at < first) {
			first = d.at
		}
	}
	if first == 0 {
		return 0
	}
	return first + c.site.Types[p.scan.TableType].RepeatWindow
}
