package core

import (
	"slices"
	"strconv"
	"strings"

	"gullstair/logic"
)

// takeBack ends an open dispatch that nobody waits for any more and tells the node.
func (c *Core) takeBack(d *dispatch) {
	c.do(GiveUp{Host: d.host, Ref: d.ref})
	c.finish(d, Ended{How: TakenBack, At: c.now})
}

// final carries out the module's word on a scan: the first answer of two begins the second step, any other
// is what the client gets.
func (c *Core) final(s *scan, a logic.Action) {
	if a.Kind == logic.Answer && s.step == 1 && c.site.Types[s.TableType].Fetch > 0 {
		c.beginSecond(s, a.Whole)
		return
	}
	r := Reply{Kind: a.Kind}
	switch a.Kind {
	case logic.Answer:
		r.Whole = a.Whole
		for _, p := range s.parts {
			if p.in {
				r.Hits = append(r.Hits, Hit{p.shard, p.value})
			}
		}
	case logic.Throttle:
		if c.site.RetryAfterAllowed {
			r.RetryAfter = max(0, a.After)
		}
	}
	c.reply(s, r)
}

// beginSecond ends the first step: the shards that scored highest among those in are asked next, the lower
// shard first where scores are alike.
func (c *Core) beginSecond(s *scan, whole bool) {
	var in []*part
	for _, p := range s.parts {
		if p.in {
			in = append(in, p)
		}
	}
	slices.SortFunc(in, func(p, q *part) int { return p.shard - q.shard })
	from := make([]string, len(in))
	for i, p := range in {
		from[i] = strconv.Itoa(p.shard)
	}
	slices.SortStableFunc(in, func(p, q *part) int {
		if p.score != q.score && (p.score > q.score) {
			return -1
		} else if p.score != q.score {
			return 1
		}
		return 0
	})
	c.dropParts(s)
	s.step, s.from, s.firstFull = 2, strings.Join(from, "+"), whole
	chosen := in[:min(len(in), c.site.Types[s.TableType].Fetch)]
	for _, p := range chosen {
		s.parts = append(s.parts, c.part(s, p.shard, 1/float64(len(chosen)), 0))
	}
	c.second = append(c.second, s)
}

// reply gives a scan its one answer.
func (c *Core) reply(s *scan, r Reply) {
	switch r.Kind {
	case logic.Answer:
		c.Counts.Answered++
		if r.Whole {
			c.Counts.Whole++
		}
	case logic.Throttle:
		c.Counts.Throttled++
	default:
		c.Counts.Abandoned++
	}
	r.Scan = s.Scan
	c.do(r)
	c.close(s)
}

// close forgets a scan; what is still out for it is taken back.
func (c *Core) close(s *scan) {
	c.dropParts(s)
	delete(c.scans, s.num)
	delete(c.ids, s.ID)
	c.open--
	c.guard.ended(c.now, s.Scan)
	c.unlimit(s.Scan)
}

func (c *Core) dropParts(s *scan) {
	for _, p := range s.parts {
		for len(p.outstanding) > 0 {
			c.takeBack(p.outstanding[0])
		}
		delete(c.parts, p.id)
		c.open--
	}
	s.parts = nil
}
