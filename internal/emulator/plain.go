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

// Baseline returns a Maker of brokers with a simple load-balancing policy, as a reference for comparisons. Each part goes
// to a random store that holds its shard or, if least is true, to the better of two random ones: the one with fewer
// outstanding parts of this broker. A failed part is retried at most once, on another store if there is one, and only if
// it is replayable or was certainly not executed. The policy sheds no load and tracks no health.
func Plain(least bool) Maker {
	return func(f *Fleet, ordinal, zone int, seed uint64, known []core.Node) (Decider, error) {
		b := &plain{f: f, rnd: rand.New(rand.NewPCG(seed, 0x91a1)), least: least, nodes: map[string]core.Node{},
			out: map[string]int{}, refs: map[int64]*plainPart{}, scans: map[string]*plainScan{}}
		for _, n := range known {
			b.nodes[n.Host] = n
		}
		b.rehash()
		return b, nil
	}
}

// baselineBroker implements Decider for Baseline.
type plain struct {
	f     *Fleet
	rnd   *rand.Rand
	least bool
	nodes map[string]core.Node
	cells [][]string           // names of the ready nodes of each cell, sorted
	out   map[string]int       // outstanding parts by node
	refs  map[int64]*plainPart // outstanding parts by dispatch number
	scans map[string]*plainScan
	ref   int64 // last dispatch number
	now   float64
	outs  []core.Output  // outputs of the current step
	calls map[string]int // by node: index in outputs of the last call to it
	again []*plainPart   // to be sent in the next step
}

// baselineScan is an open scan.
type plainScan struct {
	*core.Scan
	typ   *TableType
	ends  float64      // time of the final answer at the latest
	step  int          // 1, or 2 for fetching
	parts []*plainPart // of the current step
	from  string       // step 2: the shards that answered step 1
}

// baselinePart is a part of a scan's current step.
type plainPart struct {
	s     *plainScan
	shard int
	in    bool // answered
	value string
	score float64
	tries int
	ref   int64  // last dispatch
	host  string // node of the last dispatch
}

// indexNodes rebuilds readyByCell.
func (b *plain) rehash() {
	b.cells = make([][]string, b.f.Cells)
	for host, n := range b.nodes {
		if n.Readiness == logic.Ready && n.Cell >= 0 && n.Cell < b.f.Cells {
			b.cells[n.Cell] = append(b.cells[n.Cell], host)
		}
	}
	for _, hosts := range b.cells {
		slices.Sort(hosts)
	}
}

// Due returns when Step must be called next: at once if parts are to be resent, otherwise at the first end of a scan.
func (b *plain) Due() float64 {
	at := math.Inf(1)
	if len(b.again) > 0 {
		return math.Inf(-1)
	}
	for _, s := range b.scans {
		at = min(at, s.ends)
	}
	return at
}

// Step processes inputs and returns the outputs. Scans that have no complete answer at their end are abandoned.
func (b *plain) Step(now float64, in []core.Input) []core.Output {
	b.now, b.outs, b.calls = now, nil, map[string]int{}
	for _, q := range b.again {
		b.send(q)
	}
	b.again = nil
	for _, input := range in {
		switch v := input.(type) {
		case *core.Scan:
			s := &plainScan{Scan: v, typ: &b.f.Types[v.TableType], ends: now + v.TimeLeft - 5, step: 1}
			b.scans[v.ID] = s
			for _, q := range v.Parts {
				s.parts = append(s.parts, &plainPart{s: s, shard: q.Shard})
			}
			for _, q := range s.parts {
				b.send(q)
			}
		case core.Ended:
			b.ended(v)
		case core.List:
			if v.Kind == logic.ListFull {
				clear(b.nodes)
			}
			for _, n := range v.Nodes {
				if n.Readiness == logic.Gone {
					delete(b.nodes, n.Host)
				} else {
					b.nodes[n.Host] = n
				}
			}
			b.rehash()
		}
	}
	var expired []*plainScan
	for _, s := range b.scans {
		if s.ends <= now {
			expired = append(expired, s)
		}
	}
	slices.SortFunc(expired, func(x, y *plainScan) int { return strings.Compare(x.ID, y.ID) })
	for _, s := range expired {
		b.end(s, logic.Abandon, false)
	}
	return b.outs
}

// sendPart sends a part to a ready node that holds its shard, if there is one, and not to its last node unless that is
// the only one. Parts for the same node share a call up to the batch size.
func (b *plain) send(part *plainPart) {
	if b.scans[part.s.ID] != part.s || part.in {
		return
	}
	var holders []string
	for offset := range b.f.Reach {
		holders = append(holders, b.cells[(part.shard+offset)%b.f.Cells]...)
	}
	if len(holders) > 1 {
		holders = slices.DeleteFunc(holders, func(h string) bool { return h == part.host })
	}
	if len(holders) == 0 {
		return // no ready node: the part stays unanswered until the scan ends
	}
	host := holders[b.rnd.IntN(len(holders))]
	if b.least {
		if other := holders[b.rnd.IntN(len(holders))]; b.out[other] < b.out[host] {
			host = other
		}
	}
	b.ref++
	part.ref, part.host = b.ref, host
	part.tries++
	b.refs[part.ref] = part
	b.out[host]++
	callPart := core.CallPart{Ref: part.ref, ID: part.s.ID + "." + strconv.Itoa(part.shard), Shard: part.shard, Deadline: part.s.ends, Key: part.s.Key, Text: part.s.Text}
	if part.s.step == 2 {
		callPart.ID, callPart.AnsweredShards = callPart.ID+".get", part.s.from
	}
	if i, started := b.calls[host]; started {
		if call := b.outs[i].(core.Call); len(call.Parts) < b.f.Batch {
			call.Parts = append(call.Parts, callPart)
			b.outs[i] = call
			return
		}
	}
	b.calls[host] = len(b.outs)
	b.outs = append(b.outs, core.Call{Host: host, Addr: b.nodes[host].Addr, Parts: []core.CallPart{callPart}})
}

// partEnded handles the end of a dispatch: it schedules a retry or, after the last part's answer, the next step or the
// answer to the client.
func (b *plain) ended(end core.Ended) {
	part := b.refs[end.Ref]
	if part == nil {
		return
	}
	delete(b.refs, end.Ref)
	if b.out[part.host]--; b.out[part.host] <= 0 {
		delete(b.out, part.host)
	}
	scan := part.s
	if b.scans[scan.ID] != scan || part.ref != end.Ref || part.in {
		return
	}
	if end.Reason != core.Answered {
		notExecuted := end.Reason.Outcome() == logic.ConnRefused || end.Reason.Outcome() == logic.Saturated
		if part.tries < min(2, b.f.Dispatches) && (notExecuted || scan.typ.Effect == "replayable") {
			b.again = append(b.again, part)
		}
		return
	}
	part.in, part.value, part.score = true, end.Value, end.Score
	if slices.ContainsFunc(scan.parts, func(other *plainPart) bool { return !other.in }) {
		return
	}
	if scan.step == 1 && scan.typ.Fetch > 0 {
		b.second(scan)
		return
	}
	b.end(scan, logic.Answer, true)
}

// startFetch starts the second step: it fetches from the shards with the highest scores.
func (b *plain) second(s *plainScan) {
	var answered []string
	for _, part := range s.parts {
		answered = append(answered, strconv.Itoa(part.shard))
	}
	best := slices.Clone(s.parts)
	slices.SortStableFunc(best, func(x, y *plainPart) int { return cmp.Compare(y.score, x.score) })
	s.step, s.from, s.parts = 2, strings.Join(answered, "+"), nil
	for _, part := range best[:min(len(best), s.typ.Fetch)] {
		s.parts = append(s.parts, &plainPart{s: s, shard: part.shard})
	}
	b.again = append(b.again, s.parts...)
}

// finish answers a scan and cancels its outstanding dispatches.
func (b *plain) end(scan *plainScan, kind logic.ActionKind, complete bool) {
	delete(b.scans, scan.ID)
	reply := core.Reply{Scan: scan.Scan, Kind: kind, Complete: complete}
	for _, part := range scan.parts {
		if part.in {
			reply.Hits = append(reply.Hits, core.Hit{Shard: part.shard, Value: part.value})
		} else if b.refs[part.ref] == part {
			b.outs = append(b.outs, core.Cancel{Host: part.host, Ref: part.ref})
			delete(b.refs, part.ref)
			if b.out[part.host]--; b.out[part.host] <= 0 {
				delete(b.out, part.host)
			}
		}
	}
	if kind != logic.Answer {
		reply.Hits = nil
	}
	b.outs = append(b.outs, reply)
}
