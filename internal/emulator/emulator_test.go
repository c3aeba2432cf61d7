package emulator

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/internal/core"
	"gullstair/logic"
)

// smallFleet returns a fleet with ample capacity: four cells of three stores, three brokers and three table types.
func smallFleet() *Fleet {
	return &Fleet{Zones: []string{"east", "west", "south"}, Cells: 4, Reach: 1, Shards: 16, Stores: 12, Brokers: 3,
		Kinds: []KindShare{{MachineKind{"std", 2, 1, 40}, 1}}, SameZoneDelay: 0.2, CrossZoneDelay: 0.6, DelayJitter: 0.1, ClientDelay: 0.5, ConnectTimeout: 250, ConnIdle: 30000,
		StoreModel: Behavior{CallWork: 5, CancelMode: "queued", RepeatWindow: 2500, ReportInterval: 500, ConnWork: 1, MaxConns: 500, WarmUp: 10000,
			StartCapacity: 0.2, OverloadWindow: 3000, OverloadMultiple: 2.5},
		TurnInterval: 5, MaxBatch: 4, MaxDispatches: 4, OpenCap: 5000, RetryAfter: true, MaxRetryAfter: 1000, DrainGrace: 500,
		ListLag: 500, ListLagSpread: 300, VanishedListLag: 5000, BrokerDownLag: 2000,
		Types: []TableType{
			{Name: "board", Share: 0.7, Parts: 3, Work: 20, Spread: 0.3, Target: 500, Timeout: 1500, Benefit: 1, LateBenefit: 0.1,
				Effect: "replayable", Need: 1, Floor: 1, PartialBenefit: 0.9},
			{Name: "fix", Share: 0.2, Parts: 1, Work: 20, Spread: 0.3, Target: 500, Timeout: 2000, Benefit: 2, LateBenefit: 0.3,
				Effect: "keyed", RepeatWindow: 2500, Need: 1, Floor: 1, PartialBenefit: 0.9},
			{Name: "report", Share: 0.1, Parts: 6, Work: 25, Spread: 0.3, Target: 1500, Timeout: 4000, Benefit: 3, LateBenefit: 0.1,
				Effect: "replayable", Need: 1, Floor: 1, PartialBenefit: 0.9, Fetch: 2, FetchWork: 0.5}},
		Traffic: Traffic{Rate: 120, MinPatience: 0.7, RetryChance: 0.5, Backoff: 200, HeedRetryAfter: 0.6, ShardSkew: 0.2}}
}

// runScenario runs a fleet for durationMs of virtual time with the given faults.
func runScenario(t *testing.T, f *Fleet, seed uint64, factory BrokerFactory, durationMs float64, faults ...Fault) (*World, Figures) {
	w := New(f, seed, factory)
	for _, fault := range faults {
		require.NoError(t, w.ScheduleFault(fault))
	}
	figures, err := w.Run(durationMs)
	require.NoError(t, err)
	return w, figures
}

// TestNoFaults checks that without faults no rule is broken, nearly all benefit is earned and each scan gets an answer.
func TestNoFaults(t *testing.T) {
	_, f := runScenario(t, smallFleet(), 1, Gullstair, 20000)
	assert.Empty(t, f.Violations)
	assert.Greater(t, f.Service, 0.99)
	assert.InDelta(t, 2400, f.Scans, 200)
	assert.Zero(t, f.Unanswered)
}

// TestDeterministic checks that the same seed gives a byte-identical report, also with a single processor, and that another
// seed gives a different one.
func TestDeterministic(t *testing.T) {
	reportOf := func(seed uint64) string {
		_, f := runScenario(t, smallFleet(), seed, Gullstair, 10000, Fault{Kind: "die", At: 3000, For: 4000, Share: 0.3},
			Fault{Kind: "fails", At: 2000, For: 5000, Share: 0.4, Size: 0.5}, Fault{Kind: "broker_kill", At: 4000, For: 1000, Share: 0.4})
		f.WallSeconds = 0
		report, err := json.Marshal(f)
		require.NoError(t, err)
		return string(report)
	}
	first := reportOf(7)
	runtime.GOMAXPROCS(1)
	second := reportOf(7)
	runtime.GOMAXPROCS(runtime.NumCPU())
	assert.Equal(t, first, second)
	assert.NotEqual(t, first, reportOf(8))
}

// TestFaults checks for each kind of fault, overlapping with slow stores, that it takes effect and that no rule is broken. It
// also checks that ScheduleFault rejects unknown kinds, stores and zones.
func TestFaults(t *testing.T) {
	sizes := map[string]float64{"one_way_loss": 0.9, "one_sided": 0.8, "release": 0.1, "slow": 8, "neighbour": 0.7, "fails": 0.6,
		"resets": 0.3, "spoils": 0.3, "lies": 5, "stale_list": 4000, "hot_key": 0.5, "traffic": 4}
	for kind := range FaultKinds {
		t.Run(kind, func(t *testing.T) {
			t.Parallel() // subtests only: TestMemoryBounded measures the heap and must run alone
			f := Fault{Kind: kind, At: 3000, For: 8000, Share: 0.4, Size: sizes[kind]}
			w, got := runScenario(t, smallFleet(), 3, Gullstair, 16000, f, Fault{Kind: "slow", At: 6000, For: 2000, Share: 0.1, Size: 3})
			assert.Empty(t, got.Violations)
			assert.Greater(t, got.Service, 0.3)
			assert.GreaterOrEqual(t, len(w.Timeline), 2)
		})
	}
	w := New(smallFleet(), 1, Gullstair)
	assert.ErrorContains(t, w.ScheduleFault(Fault{Kind: "earthquake"}), "no such fault")
	assert.ErrorContains(t, w.ScheduleFault(Fault{Kind: "die", Stores: []string{"x"}}), "no such store")
	assert.ErrorContains(t, w.ScheduleFault(Fault{Kind: "zone_cut", Zone: "north"}), "no such zone")
}

// TestServesMoreThanBaseline checks that the decision module serves more than both baseline policies while a quarter of the
// stores accept parts and never answer.
func TestServesMoreThanBaseline(t *testing.T) {
	fault := Fault{Kind: "mute", At: 4000, For: 12000, Share: 0.25}
	_, module := runScenario(t, smallFleet(), 5, Gullstair, 20000, fault)
	_, random := runScenario(t, smallFleet(), 5, Baseline(false), 20000, fault)
	_, least := runScenario(t, smallFleet(), 5, Baseline(true), 20000, fault)
	assert.Greater(t, module.Service, random.Service)
	assert.Greater(t, module.Service, least.Service)
	assert.Empty(t, random.ViolationsByRule[RuleLostScan])
}

// memoryTestLength is the length of TestMemoryBounded in ms of virtual time: ten minutes.
var memoryTestLength = 600000.0

// TestMemoryBounded guards against leaks: between a third of a long run and its end, the heap may grow by at most 2 MiB.
func TestMemoryBounded(t *testing.T) {
	f := smallFleet()
	f.Traffic.Rate = 60
	w := New(f, 2, Gullstair)
	var mid, end runtime.MemStats
	w.queue.push(memoryTestLength/3, func() { runtime.GC(); runtime.ReadMemStats(&mid) })
	w.queue.push(memoryTestLength*0.98, func() { runtime.GC(); runtime.ReadMemStats(&end) })
	_, err := w.Run(memoryTestLength)
	require.NoError(t, err)
	assert.Less(t, int64(end.HeapAlloc)-int64(mid.HeapAlloc), int64(2<<20))
}

// faultyBroker wraps a broker and breaks one rule in some of its outputs, to test that the checker detects it. It alters every
// tenth output, counting calls and replies together, if that is of the kind that the rule concerns.
type faultyBroker struct {
	BrokerCore
	violation string // the rule to break, or "partial" to leave out a value
	outputs   int    // calls and replies so far
}

// Step runs the wrapped broker and falsifies its outputs.
func (b *faultyBroker) Step(now float64, in []core.Input) []core.Output {
	outputs := b.BrokerCore.Step(now, in)
	for i := 0; i < len(outputs); i++ {
		switch v := outputs[i].(type) {
		case core.Call:
			if b.outputs++; b.outputs%10 != 0 {
				continue
			}
			duplicate := core.Call{Host: v.Host, Addr: v.Addr}
			for _, part := range v.Parts {
				part.Ref += 1 << 40
				duplicate.Parts = append(duplicate.Parts, part)
			}
			switch b.violation {
			case RuleExtraDispatch:
				outputs = append(outputs, duplicate)
			case RuleShardNotHeld:
				duplicate.Host = "s-0001"
				if v.Host == "s-0001" {
					duplicate.Host = "s-0000"
				}
				outputs[i] = duplicate
			}
		case core.Reply:
			if b.outputs++; b.outputs%10 != 0 {
				continue
			}
			switch {
			case b.violation == RuleLostScan:
				outputs = append(outputs[:i], outputs[i+1:]...)
				i--
			case b.violation == RuleWrongAnswer && len(v.Hits) > 0:
				v.Hits = append([]core.Hit{{Shard: v.Hits[0].Shard, Value: "feed"}}, v.Hits[1:]...)
				outputs[i] = v
			case b.violation == "partial" && v.Kind == logic.Answer && len(v.Hits) > 1:
				v.Hits = v.Hits[1:]
				outputs[i] = v
			}
		}
	}
	return outputs
}

// listFilter wraps a broker and withholds all node lists from it, so that it never learns of draining stores. If hideStartTimes is
// set, it passes the lists on without the start times of stores instead, so that cold stores are overloaded.
type listFilter struct {
	BrokerCore
	hideStartTimes bool
}

// Step runs the wrapped broker with the filtered inputs.
func (d *listFilter) Step(now float64, in []core.Input) []core.Output {
	var kept []core.Input
	for _, input := range in {
		if list, ok := input.(core.List); ok {
			if !d.hideStartTimes {
				continue
			}
			for i := range list.Nodes {
				list.Nodes[i].Born = 0 // the broker assumes that the store has warmed up
			}
		}
		kept = append(kept, input)
	}
	return d.BrokerCore.Step(now, kept)
}

// TestCheckerDetectsViolations checks that the checker reports brokers that break a rule, with the scan and its trace.
func TestCheckerDetectsViolations(t *testing.T) {
	wrap := func(f func(BrokerCore) BrokerCore) BrokerFactory {
		return func(fl *Fleet, ordinal, zone int, seed uint64, known []core.Node) (BrokerCore, error) {
			d, err := Gullstair(fl, ordinal, zone, seed, known)
			return f(d), err
		}
	}
	for _, violation := range []string{RuleExtraDispatch, RuleShardNotHeld, RuleLostScan, RuleWrongAnswer, "partial"} {
		_, f := runScenario(t, smallFleet(), 4, wrap(func(d BrokerCore) BrokerCore { return &faultyBroker{BrokerCore: d, violation: violation} }), 5000)
		rule := violation
		if violation == "partial" {
			rule = RuleWrongAnswer
		}
		if assert.NotZero(t, f.ViolationsByRule[rule], "%s: %v", violation, f.ViolationsByRule) {
			assert.NotEmpty(t, f.Violations[0].Scan)
			assert.NotEmpty(t, f.Violations[0].Trace, "event trace of the scan")
		}
	}
	release := Fault{Kind: "release", At: 1000, For: 6000, Share: 0.5, Size: 0.1}
	_, f := runScenario(t, smallFleet(), 4, wrap(func(d BrokerCore) BrokerCore { return &listFilter{BrokerCore: d} }), 8000, release)
	assert.NotZero(t, f.ViolationsByRule[RuleSendAfterDrain], "%v", f.ViolationsByRule)
	loaded := smallFleet()
	loaded.Traffic.Rate, loaded.StoreModel.StartCapacity, loaded.StoreModel.OverloadMultiple, loaded.Stores = 350, 0.02, 1.1, 8
	_, f = runScenario(t, loaded, 4, wrap(func(d BrokerCore) BrokerCore { return &listFilter{BrokerCore: d, hideStartTimes: true} }), 12000,
		Fault{Kind: "die", At: 1000, For: 3000, Share: 0.5})
	assert.NotZero(t, f.ViolationsByRule[RuleColdOverload], "%v", f.ViolationsByRule)
}

// TestBudgetAndTenants checks that brokers keep a dispatch budget, that the checker reports a policy that exceeds it, and that
// tenants send unequal numbers of scans.
func TestBudgetAndTenants(t *testing.T) {
	f := smallFleet()
	f.BudgetWindow, f.BudgetSpare, f.BudgetShare = 5000, 3, 0.02
	f.Traffic.Tenants, f.Traffic.TenantSkew, f.Traffic.TenantEntitledRate = 5, 1.5, 40
	fault := Fault{Kind: "fails", At: 2000, For: 6000, Share: 0.4, Size: 0.6}
	_, got := runScenario(t, f, 6, Gullstair, 10000, fault)
	assert.Empty(t, got.Violations)
	_, got = runScenario(t, f, 6, Baseline(false), 10000, fault)
	assert.NotZero(t, got.ViolationsByRule[RuleBudgetExceeded], "the baseline policy has no budget")
	w := New(f, 1, Gullstair)
	count := make([]int, 5)
	for range 2000 {
		count[w.drawTenant(5)]++
	}
	assert.Greater(t, count[0], 3*count[4])
	assert.Positive(t, count[4])
}

// TestQueueOrder checks that the queue returns events by time, and events of the same time in order of insertion.
func TestQueueOrder(t *testing.T) {
	var q eventQueue
	var got []int
	for i := range 1000 {
		q.push(float64(i*7919%97), func() { got = append(got, i) })
	}
	last, lastSeq := -1.0, uint64(0)
	for q.len() > 0 {
		e := q.pop()
		require.True(t, e.at > last || e.at == last && e.seq > lastSeq, fmt.Sprint(e.at, last))
		last, lastSeq = e.at, e.seq
		e.run()
	}
	assert.Len(t, got, 1000)
}

// TestSharedLimits checks that brokers with shared limits keep them during partitions, datagram loss, pauses and kills, and that
// the checker reports brokers that exceed limits that they do not know.
func TestSharedLimits(t *testing.T) {
	limits := []FleetLimit{{Name: "all", Scope: "fleet", Rate: 60, Burst: 20, LoanTerm: 1000}, {Name: "open", Scope: "fleet", MaxOpen: 30, LoanTerm: 1000},
		{Name: "each", Scope: "tenant", Rate: 10, Burst: 5, LoanTerm: 1000}}
	faults := []Fault{{Kind: "broker_split", At: 4000, For: 3000, Share: 0.34}, {Kind: "broker_loss", At: 8000, For: 3000, Size: 0.3},
		{Kind: "broker_pause", At: 11000, For: 2500, Share: 0.34}, {Kind: "broker_kill", At: 15000, For: 1000, Share: 0.67}, {Kind: "broker_one_way", At: 17000, For: 2000, Share: 0.34}}
	f := smallFleet()
	f.Traffic.Tenants, f.Traffic.TenantSkew, f.Limits = 12, 1, limits
	_, kept := runScenario(t, f, 1, Gullstair, 20000, faults...)
	assert.Empty(t, kept.Violations)
	assert.Greater(t, kept.Service, 0.35)
	f = smallFleet()
	f.Traffic.Tenants, f.Traffic.TenantSkew = 12, 1
	w := New(f, 1, Gullstair)
	f.Limits = limits // checked, but unknown to the brokers
	for i := range w.brokers {
		w.brokers[i].limiter = nil
	}
	exceeded, err := w.Run(20000)
	require.NoError(t, err)
	details := ""
	for _, violation := range exceeded.Violations {
		assert.Equal(t, RuleLimitExceeded, violation.Rule)
		details += violation.Detail
	}
	assert.Contains(t, details, "all ")
	assert.Contains(t, details, "each tenant-0")
}
