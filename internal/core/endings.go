package core

import (
	"slices"
	"strconv"
	"strings"

	"gullstair/logic"
)

// recall ends an open dispatch whose answer is no longer needed, and cancels it at the node.
func (c *Core) recall(d *dispatch) {
	c.emit(Cancel{Host: d.host, Ref: d.ref})
	c.finish(d, Ended{Reason: Recalled, At: c.now})
}

// endStep carries out the module's final action on the current step of a scan. The first answer of a two-step
// scan starts the second step; any other action becomes the reply to the client.
func (c *Core) endStep(s *scan, a logic.Action) {
	if a.Kind == logic.Answer && s.step == 1 && c.settings.Types[s.TableType].Fetch > 0 {
		c.beginSecondStep(s, a.Whole)
		return
	}
	r := Reply{Kind: a.Kind}
	switch a.Kind {
	case logic.Answer:
		r.Complete = a.Whole
		for _, p := range s.parts {
			if p.answered {
				r.Hits = append(r.Hits, Hit{p.shard, p.value})
			}
		}
	case logic.Throttle:
		if c.settings.RetryAfterAllowed {
			r.RetryAfter = max(0, a.After)
		}
	}
	c.reply(s, r)
}

// beginSecondStep ends the first step. The second step queries the answered shards with the highest scores;
// ties go to the lower shard.
func (c *Core) beginSecondStep(s *scan, whole bool) {
	var answered []*part
	for _, p := range s.parts {
		if p.answered {
			answered = append(answered, p)
		}
	}
	slices.SortFunc(answered, func(p, q *part) int { return p.shard - q.shard })
	shards := make([]string, len(answered))
	for i, p := range answered {
		shards[i] = strconv.Itoa(p.shard)
	}
	slices.SortStableFunc(answered, func(p, q *part) int {
		if p.score != q.score && (p.score > q.score) {
			return -1
		} else if p.score != q.score {
			return 1
		}
		return 0
	})
	c.dropParts(s)
	s.step, s.answeredShards, s.firstStepComplete = 2, strings.Join(shards, "+"), whole
	chosen := answered[:min(len(answered), c.settings.Types[s.TableType].Fetch)]
	for _, p := range chosen {
		s.parts = append(s.parts, c.part(s, p.shard, 1/float64(len(chosen)), 0))
	}
	c.secondSteps = append(c.secondSteps, s)
}

// reply emits the one reply to a scan and closes the scan.
func (c *Core) reply(s *scan, r Reply) {
	switch r.Kind {
	case logic.Answer:
		c.Counts.Answered++
		if r.Complete {
			c.Counts.Complete++
		}
	case logic.Throttle:
		c.Counts.Throttled++
	default:
		c.Counts.Abandoned++
	}
	r.Scan = s.Scan
	c.emit(r)
	c.closeScan(s)
}

// closeScan removes a scan, recalls its outstanding dispatches and releases its limits.
func (c *Core) closeScan(s *scan) {
	c.dropParts(s)
	delete(c.scans, s.num)
	delete(c.byClientID, s.ID)
	c.open--
	c.guard.scanEnded(c.now, s.Scan)
	c.releaseLimits(s.Scan)
}

func (c *Core) dropParts(s *scan) {
	for _, p := range s.parts {
		for len(p.outstanding) > 0 {
			c.recall(p.outstanding[0])
		}
		delete(c.parts, p.id)
		c.open--
	}
	s.parts = nil
}
