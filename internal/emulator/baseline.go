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

// Baseline returns a factory of brokers with a simple load-balancing policy, as a reference for comparisons. Each part goes
// to a random store that holds its shard or, if leastOutstanding is true, to the better of two random ones: the one with fewer
// outstanding parts of this broker. A failed part is retried at most once, on another store if there is one, and only if
// it is replayable or was certainly not executed. The policy sheds no load and tracks no health.
func Baseline(leastOutstanding bool) BrokerFactory {
	return func(fleet *Fleet, ordinal, zone int, seed uint64, known []core.Node) (BrokerCore, error) {
		b := &baselineBroker{fleet: fleet, rng: rand.New(rand.NewPCG(seed, 0x91a1)), leastOutstanding: leastOutstanding, nodes: map[string]core.Node{},
			outstanding: map[string]int{}, byRef: map[int64]*baselinePart{}, scans: map[string]*baselineScan{}}
		for _, n := range known {
			b.nodes[n.Host] = n
		}
		b.indexNodes()
		return b, nil
	}
}

// baselineBroker is the BrokerCore of Baseline.
type baselineBroker struct {
	fleet            *Fleet
	rng              *rand.Rand
	leastOutstanding bool
	nodes            map[string]core.Node
	readyByCell      [][]string              // names of the ready nodes of each cell, sorted
	outstanding      map[string]int          // outstanding parts by node
	byRef            map[int64]*baselinePart // outstanding parts by dispatch number
	scans            map[string]*baselineScan
	lastRef          int64 // last dispatch number
	now              float64
	outputs          []core.Output   // outputs of the current step
	callIndex        map[string]int  // by node: index in outputs of the last call to it
	resend           []*baselinePart // to be sent in the next step
}

// baselineScan is an open scan.
type baselineScan struct {
	*core.Scan
	tableSpec      *TableType
	endsAt         float64         // time of the final answer at the latest
	step           int             // 1, or 2 for fetching
	parts          []*baselinePart // of the current step
	answeredShards string          // step 2: the shards that answered step 1
}

// baselinePart is a part of a scan's current step.
type baselinePart struct {
	scan       *baselineScan
	shard      int
	answered   bool
	value      string
	score      float64
	dispatches int
	ref        int64  // last dispatch
	host       string // node of the last dispatch
}

// indexNodes rebuilds readyByCell.
func (b *baselineBroker) indexNodes() {
	b.readyByCell = make([][]string, b.fleet.Cells)
	for host, n := range b.nodes {
		if n.Readiness == logic.Ready && n.Cell >= 0 && n.Cell < b.fleet.Cells {
			b.readyByCell[n.Cell] = append(b.readyByCell[n.Cell], host)
		}
	}
	for _, hosts := range b.readyByCell {
		slices.Sort(hosts)
	}
}

// Due returns when Step must be called next: at once if parts are to be resent, otherwise at the first end of a scan.
func (b *baselineBroker) Due() float64 {
	at := math.Inf(1)
	if len(b.resend) > 0 {
		return math.Inf(-1)
	}
	for _, s := range b.scans {
		at = min(at, s.endsAt)
	}
	return at
}

// Step processes inputs and returns the outputs. Scans that have no complete answer at their end are abandoned.
func (b *baselineBroker) Step(now float64, in []core.Input) []core.Output {
	b.now, b.outputs, b.callIndex = now, nil, map[string]int{}
	for _, part := range b.resend {
		b.sendPart(part)
	}
	b.resend = nil
	for _, input := range in {
		switch v := input.(type) {
		case *core.Scan:
			scan := &baselineScan{Scan: v, tableSpec: &b.fleet.Types[v.TableType], endsAt: now + v.TimeLeft - 5, step: 1}
			b.scans[v.ID] = scan
			for _, part := range v.Parts {
				scan.parts = append(scan.parts, &baselinePart{scan: scan, shard: part.Shard})
			}
			for _, part := range scan.parts {
				b.sendPart(part)
			}
		case core.Ended:
			b.partEnded(v)
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
			b.indexNodes()
		}
	}
	var expired []*baselineScan
	for _, s := range b.scans {
		if s.endsAt <= now {
			expired = append(expired, s)
		}
	}
	slices.SortFunc(expired, func(x, y *baselineScan) int { return strings.Compare(x.ID, y.ID) })
	for _, s := range expired {
		b.finish(s, logic.Abandon, false)
	}
	return b.outputs
}

// sendPart sends a part to a ready node that holds its shard, if there is one, and not to its last node unless that is
// the only one. Parts for the same node share a call up to the batch size.
func (b *baselineBroker) sendPart(part *baselinePart) {
	if b.scans[part.scan.ID] != part.scan || part.answered {
		return
	}
	var holders []string
	for offset := range b.fleet.Reach {
		holders = append(holders, b.readyByCell[(part.shard+offset)%b.fleet.Cells]...)
	}
	if len(holders) > 1 {
		holders = slices.DeleteFunc(holders, func(h string) bool { return h == part.host })
	}
	if len(holders) == 0 {
		return // no ready node: the part stays unanswered until the scan ends
	}
	host := holders[b.rng.IntN(len(holders))]
	if b.leastOutstanding {
		if other := holders[b.rng.IntN(len(holders))]; b.outstanding[other] < b.outstanding[host] {
			host = other
		}
	}
	b.lastRef++
	part.ref, part.host = b.lastRef, host
	part.dispatches++
	b.byRef[part.ref] = part
	b.outstanding[host]++
	callPart := core.CallPart{Ref: part.ref, ID: part.scan.ID + "." + strconv.Itoa(part.shard), Shard: part.shard, Deadline: part.scan.endsAt, Key: part.scan.Key, Text: part.scan.Text}
	if part.scan.step == 2 {
		callPart.ID, callPart.AnsweredShards = callPart.ID+".get", part.scan.answeredShards
	}
	if i, started := b.callIndex[host]; started {
		if call := b.outputs[i].(core.Call); len(call.Parts) < b.fleet.MaxBatch {
			call.Parts = append(call.Parts, callPart)
			b.outputs[i] = call
			return
		}
	}
	b.callIndex[host] = len(b.outputs)
	b.outputs = append(b.outputs, core.Call{Host: host, Addr: b.nodes[host].Addr, Parts: []core.CallPart{callPart}})
}

// partEnded handles the end of a dispatch: it schedules a retry or, after the last part's answer, the next step or the
// answer to the client.
func (b *baselineBroker) partEnded(end core.Ended) {
	part := b.byRef[end.Ref]
	if part == nil {
		return
	}
	delete(b.byRef, end.Ref)
	if b.outstanding[part.host]--; b.outstanding[part.host] <= 0 {
		delete(b.outstanding, part.host)
	}
	scan := part.scan
	if b.scans[scan.ID] != scan || part.ref != end.Ref || part.answered {
		return
	}
	if end.Reason != core.Answered {
		notExecuted := end.Reason.Outcome() == logic.ConnRefused || end.Reason.Outcome() == logic.Saturated
		if part.dispatches < min(2, b.fleet.MaxDispatches) && (notExecuted || scan.tableSpec.Effect == "replayable") {
			b.resend = append(b.resend, part)
		}
		return
	}
	part.answered, part.value, part.score = true, end.Value, end.Score
	if slices.ContainsFunc(scan.parts, func(other *baselinePart) bool { return !other.answered }) {
		return
	}
	if scan.step == 1 && scan.tableSpec.Fetch > 0 {
		b.startFetch(scan)
		return
	}
	b.finish(scan, logic.Answer, true)
}

// startFetch starts the second step: it fetches from the shards with the highest scores.
func (b *baselineBroker) startFetch(scan *baselineScan) {
	var answered []string
	for _, part := range scan.parts {
		answered = append(answered, strconv.Itoa(part.shard))
	}
	best := slices.Clone(scan.parts)
	slices.SortStableFunc(best, func(x, y *baselinePart) int { return cmp.Compare(y.score, x.score) })
	scan.step, scan.answeredShards, scan.parts = 2, strings.Join(answered, "+"), nil
	for _, part := range best[:min(len(best), scan.tableSpec.Fetch)] {
		scan.parts = append(scan.parts, &baselinePart{scan: scan, shard: part.shard})
	}
	b.resend = append(b.resend, scan.parts...)
}

// finish answers a scan and cancels its outstanding dispatches.
func (b *baselineBroker) finish(scan *baselineScan, kind logic.ActionKind, complete bool) {
	delete(b.scans, scan.ID)
	reply := core.Reply{Scan: scan.Scan, Kind: kind, Complete: complete}
	for _, part := range scan.parts {
		if part.answered {
			reply.Hits = append(reply.Hits, core.Hit{Shard: part.shard, Value: part.value})
		} else if b.byRef[part.ref] == part {
			b.outputs = append(b.outputs, core.Cancel{Host: part.host, Ref: part.ref})
			delete(b.byRef, part.ref)
			if b.outstanding[part.host]--; b.outstanding[part.host] <= 0 {
				delete(b.outstanding, part.host)
			}
		}
	}
	if kind != logic.Answer {
		reply.Hits = nil
	}
	b.outputs = append(b.outputs, reply)
}
