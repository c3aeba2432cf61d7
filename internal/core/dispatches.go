package core

import (
	"slices"
	"strconv"

	"gullstair/logic"
)

// act carries out the module's actions in order. Parts for the same node are batched into frames.
func (c *Core) act(acts []logic.Action) {
	calls := map[int64]int{} // index in c.out of each node's open frame
	for _, a := range acts {
		switch a.Kind {
		case logic.Dispatch:
			c.dispatch(a, calls)
		case logic.Recall:
			if p := c.parts[a.ID]; p != nil {
				for _, d := range p.outstanding {
					if d.attempt == a.Dispatch {
						c.recall(d)
						break
					}
				}
			}
		case logic.Answer, logic.Throttle, logic.Abandon:
			if s := c.scans[a.ID]; s != nil {
				c.endStep(s, a)
			}
		case logic.SetTimer:
			c.schedule(timer{at: c.now + a.After, moduleTimer: a.Timer})
		case logic.Subscribe:
			c.emit(SubscribeList{})
		case logic.Probe:
			c.probe(a.Node, false)
		case logic.FleetBudgetDenied:
			if c.limiter != nil {
				c.Counts.BudgetDenied++
				c.limiter.TakeFurther() // the result does not matter: the request records that this broker needs more budget
			}
		case logic.SendNote:
			c.emit(SendNote{Note: a.Note})
		case logic.OutcomeRecorded:
			if at := c.knownNodes[a.Node]; at != nil {
				how := logic.Overdue // no answer: the module's timeout has passed
				if a.Whole {
					how = logic.Completed
				} else if slices.Contains(c.failedNodes, a.Node) {
					how = logic.Errored
				}
				c.emit(OutcomeReport{Host: at.host, Outcome: how, Late: a.Late})
			}
		case logic.WriteLog:
			c.emit(Log{Text: a.Text})
		case logic.Fatal:
			c.emit(Log{Text: a.Text, Fatal: true})
		}
	}
}

func (c *Core) dispatch(a logic.Action, calls map[int64]int) {
	p := c.parts[a.ID]
	if p == nil {
		return // its scan has ended, so no end is reported either
	}
	s, at := p.scan, c.knownNodes[a.Node]
	sent := &dispatch{ref: c.nextNumber(), part: p, attempt: p.attempts, node: a.Node, at: c.now, timeoutAt: s.deadline}
	p.attempts++
	p.outstanding = append(p.outstanding, sent)
	c.dispatches[sent.ref] = sent
	switch {
	case p.attempts > c.settings.Dispatches || s.deadline <= c.now || sent.attempt > 0 && c.limiter != nil && !c.limiter.TakeFurther():
		c.finish(sent, Ended{Reason: NeverSent, At: c.now})
		return
	case at == nil || at.addr == "":
		c.finish(sent, Ended{Reason: NoAddress, At: c.now})
		return
	case a.After < 0:
		c.finish(sent, Ended{Reason: TimedOut, At: c.now})
		return
	case a.After > 0:
		sent.timeoutAt = min(sent.timeoutAt, c.now+a.After)
	}
	sent.host = at.host
	c.Counts.Dispatches++
	c.schedule(timer{at: sent.timeoutAt, sent: sent})
	cp := CallPart{Ref: sent.ref, ID: s.ID + "." + strconv.Itoa(p.shard), Shard: p.shard, Deadline: sent.timeoutAt, Text: s.Text}
	if c.settings.Types[s.TableType].Keyed {
		cp.Key, cp.NotAfter = s.Key, c.notAfter(p)
	}
	if s.step == 2 {
		cp.ID, cp.AnsweredShards, cp.FirstStepComplete = cp.ID+".get", s.answeredShards, s.firstStepComplete
	}
	if i, begun := calls[a.Node]; begun {
		if call := c.out[i].(Call); len(call.Parts) < max(1, c.settings.Batch) {
			call.Parts = append(call.Parts, cp)
			c.out[i] = call
			return
		}
	}
	calls[a.Node] = len(c.out)
	c.emit(Call{Host: at.host, Addr: at.addr, Parts: []CallPart{cp}})
}

// notAfter returns the latest time at which a further dispatch of a keyed part may be written; 0 means no limit.
// Nodes deduplicate repeats only within the repeat window, which starts at the first dispatch that may have run.
// The module respects the window when it decides, but a connection that must be dialled first could delay the
// frame beyond it. An outstanding dispatch counts as one that ran.
func (c *Core) notAfter(p *part) float64 {
	first := p.firstRunAt
	for _, d := range p.outstanding {
		if d.attempt < p.attempts-1 && (first == 0 || d.at < first) {
			first = d.at
		}
	}
	if first == 0 {
		return 0
	}
	return first + c.settings.Types[p.scan.TableType].RepeatWindow
}
