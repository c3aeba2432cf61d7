package emulator

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"gullstair/internal/core"
	"gullstair/logic"
)

// Plain makes brokers that follow a textbook rule, to be compared with: each part goes to a holder drawn by chance, or
// to the one with the fewest parts of this broker outstanding, of two drawn by chance the lesser one. A failed part is
// asked again at another holder once where it may be; nothing is turned away, and nothing is known of health.
func Plain(least bool) Maker {
	return func(f *Fleet, ordinal, zone int, seed uint64, known []core.Node) (Decider, error) {
		p := &plain{f: f, rnd: rand.New(rand.NewPCG(seed, 0x91a1)), least: least, nodes: map[string]core.Node{},
			out: map[string]int{}, refs: map[int64]*plainPart{}, scans: map[string]*plainScan{}}
		for _, n := range known {
			p.nodes[n.Host] = n
		}
		p.rehash()
		return p, nil
	}
}

type plain struct {
	f     *Fleet
	rnd   *rand.Rand
	least bool
	nodes map[string]core.Node
	cells [][]string // ready nodes by cell, in order
	out   map[string]int
	refs  map[int64]*plainPart
	scans map[string]*plainScan
	ref   int64
	now   float64
	outs  []core.Output
	calls map[string]int
	again []*plainPart
}

type plainScan struct {
	*core.Scan
	typ   *TableType
	ends  float64
	step  int
	parts []*plainPart
	from  string
}

type plainPart struct {
	s     *plainScan
	shard int
	in    bool
	value string
	score float64
	tries int
	ref   int64
	host  string
}

func (p *plain) rehash() {
	p.cells = make([][]string, p.f.Cells)
	for host, n := range p.nodes {
		if n.Readiness == logic.Ready && n.Cell >= 0 && n.Cell < p.f.Cells {
			p.cells[n.Cell] = append(p.cells[n.Cell], host)
		}
	}
	for _, c := range p.cells {
		slices.Sort(c)
	}
}

func (p *plain) Due() float64 {
	at := math.Inf(1)
	if len(p.again) > 0 {
		return math.Inf(-1)
	}
	for _, s := range p.scans {
		at = min(at, s.ends)
	}
	return at
}

func (p *plain) Step(now float64, in []core.Input) []core.Output {
	p.now, p.outs, p.calls = now, nil, map[string]int{}
	for _, q := range p.again {
		p.send(q)
	}
	p.again = nil
	for _, x := range in {
		switch v := x.(type) {
		case *core.Scan:
			s := &plainScan{Scan: v, typ: &p.f.Types[v.TableType], ends: now + v.TimeLeft - 5, step: 1}
			p.scans[v.ID] = s
			for _, q := range v.Parts {
				s.parts = append(s.parts, &plainPart{s: s, shard: q.Shard})
			}
			for _, q := range s.parts {
				p.send(q)
			}
		case core.Ended:
			p.ended(v)
		case core.List:
			if v.Kind == logic.ListFull {
				clear(p.nodes)
			}
			for _, n := range v.Nodes {
				if n.Readiness == logic.Gone {
					delete(p.nodes, n.Host)
				} else {
					p.nodes[n.Host] = n
				}
			}
			p.rehash()
		}
	}
	var over []*plainScan
	for _, s := range p.scans {
		if s.ends <= now {
			over = append(over, s)
		}
	}
	slices.SortFunc(over, func(a, b *plainScan) int { return strings.Compare(a.ID, b.ID) })
	for _, s := range over {
		p.end(s, logic.Abandon, false)
	}
	return p.outs
}

func (p *plain) send(q *plainPart) {
	if p.scans[q.s.ID] != q.s || q.in {
		return
	}
	var holders []string
	for j := range p.f.Reach {
		holders = append(holders, p.cells[(q.shard+j)%p.f.Cells]...)
	}
	if len(holders) > 1 {
		holders = slices.DeleteFunc(holders, func(h string) bool { return h == q.host })
	}
	if len(holders) == 0 {
		return // it waits for its end
	}
	host := holders[p.rnd.IntN(len(holders))]
	if p.least {
		if other := holders[p.rnd.IntN(len(holders))]; p.out[other] < p.out[host] {
			host = other
		}
	}
	p.ref++
	q.ref, q.host = p.ref, host
	q.tries++
	p.refs[q.ref] = q
	p.out[host]++
	cp := core.CallPart{Ref: q.ref, ID: q.s.ID + "." + strconv.Itoa(q.shard), Shard: q.shard, Deadline: q.s.ends, Key: q.s.Key, Text: q.s.Text}
	if q.s.step == 2 {
		cp.ID, cp.AnsweredShards = cp.ID+".get", q.s.from
	}
	if i, begun := p.calls[host]; begun {
		if c := p.outs[i].(core.Call); len(c.Parts) < p.f.Batch {
			c.Parts = append(c.Parts, cp)
			p.outs[i] = c
			return
		}
	}
	p.calls[host] = len(p.outs)
	p.outs = append(p.outs, core.Call{Host: host, Addr: p.nodes[host].Addr, Parts: []core.CallPart{cp}})
}

func (p *plain) ended(e core.Ended) {
	q := p.refs[e.Ref]
	if q == nil {
		return
	}
	delete(p.refs, e.Ref)
	if p.out[q.host]--; p.out[q.host] <= 0 {
		delete(p.out, q.host)
	}
	s := q.s
	if p.scans[s.ID] != s || q.ref != e.Ref || q.in {
		return
	}
	if e.Reason != core.Answered {
		never := e.Reason.Outcome() == logic.ConnRefused || e.Reason.Outcome() == logic.Saturated
		if q.tries < min(2, p.f.Dispatches) && (never || s.typ.Effect == "replayable") {
			p.again = append(p.again, q)
		}
		return
	}
	q.in, q.value, q.score = true, e.Value, e.Score
	if slices.ContainsFunc(s.parts, func(o *plainPart) bool { return !o.in }) {
		return
	}
	if s.step == 1 && s.typ.Fetch > 0 {
		p.second(s)
		return
	}
	p.end(s, logic.Answer, true)
}

func (p *plain) second(s *plainScan) {
	var from []string
	for _, q := range s.parts {
		from = append(from, strconv.Itoa(q.shard))
	}
	best := slices.Clone(s.parts)
	slices.SortStableFunc(best, func(a, b *plainPart) int { return cmp.Compare(b.score, a.score) })
	s.step, s.from, s.parts = 2, strings.Join(from, "+"), nil
	for _, q := range best[:min(len(best), s.typ.Fetch)] {
		s.parts = append(s.parts, &plainPart{s: s, shard: q.shard})
	}
	p.again = append(p.again, s.parts...)
}

func (p *plain) end(s *plainScan, kind logic.ActionKind, whole bool) {
	delete(p.scans, s.ID)
	r := core.Reply{Scan: s.Scan, Kind: kind, Complete: whole}
	for _, q := range s.parts {
		if q.in {
			r.Hits = append(r.Hits, core.Hit{Shard: q.shard, Value: q.value})
		} else if p.refs[q.ref] == q {
			p.outs = append(p.outs, core.Cancel{Host: q.host, Ref: q.ref})
			delete(p.refs, q.ref)
			if p.out[q.host]--; p.out[q.host] <= 0 {
				delete(p.out, q.host)
			}
		}
	}
	if kind != logic.Answer {
		r.Hits = nil
	}
	p.outs = append(p.outs, r)
}
