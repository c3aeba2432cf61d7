package emulator

import (
	"fmt"
	"math/rand/v2"

	"gullstair/internal/cells"
	"gullstair/internal/quota"
)

// Fleet is what stands: stores, brokers, the network and the lists. Times in ms.
type Fleet struct {
	Zones   []string
	Cells   int // a store has one; shard s is held by the stores of Reach cells from s on
	Reach   int
	Shards  int
	Stores  int
	Brokers int
	Kinds   []KindShare
	Nature  Nature

	Same, Cross, Jitter  float64 // one way, within a zone and between two
	Client               float64 // one way to a client
	ConnectTimeout, Idle float64

	Turn          float64
	Batch         int
	Dispatches    int
	OpenCap       int
	SecondCopies  bool
	RetryAfter    bool
	MaxRetryAfter float64
	DrainGrace    float64

	ListLag, ListSpread float64 // until a change of the list is told to a broker
	SilentLag           float64 // until a store that vanished is taken off the list
	FrontNotice         float64 // until clients stop being sent to a broker that died

	// Budget of dispatches beyond each part's first, in any window: so many, and a share of the scans and parts taken in
	// it; a window of 0: none is stated.
	BudgetWindow, BudgetShare float64
	BudgetSpare               int

	Types   []TableType
	Traffic Traffic

	Confined Cells // tenants to cells; none where Count is 0

	Limits []FleetLimit // that hold for all brokers together
	// The brokers tell each other of calls and failures; they come to verdicts on stores together.
	Notes, Verdicts bool
}

// Cells confine tenants to subsets of the stores.
type Cells struct {
	Count, Holders int
	Least          float64
	Open           int     // scans of one cell, most; 0: any number
	Rate           float64 // scans a second of one cell at one broker; 0: any number
}

func cellName(i int) string { return fmt.Sprintf("cell-%d", i) }

// plan is the map's, and the limits of each cell.
func (c Cells) plan() (cells.Plan, map[string]quota.Limits) {
	p, limits := cells.Plan{Holders: c.Holders, MinHolderShare: c.Least}, map[string]quota.Limits{}
	for i := range c.Count {
		p.Cells = append(p.Cells, cells.Cell{Name: cellName(i)})
		limits[cellName(i)] = quota.Limits{Open: c.Open, Rate: c.Rate, Burst: c.Rate / 5}
	}
	return p, limits
}

// KindShare is a kind with its share of the stores.
type KindShare struct {
	Kind
	Share float64
}

// TableType is one, as the start settings state it. Work is a part's mean, in ms of a core at speed 1.
type TableType struct {
	Name                 string
	Share                float64 // of the scans
	Parts                int
	Work, Spread         float64 // Spread: parts differ by a factor from 1-Spread to 1+Spread
	Target, Timeout      float64
	Benefit, LateBenefit float64
	Effect               string // replayable, keyed or non-replayable
	RepeatWindow         float64
	Need, Floor, Partial float64
	Fetch                int
	FetchWork            float64 // of a part's
}

// Traffic is what clients do. They don't wait for one another: a slow answer slows nobody else's scan.
type Traffic struct {
	Rate          float64 // scans a second, all brokers together
	PatienceLeast float64 // share of the query timeout that a client waits at least
	Retries       float64 // chance that a client tries once more after a throttled or failed try
	Backoff       float64
	Heed          float64 // chance that it heeds the time to come back
	Skew          float64 // 0: all shards alike; more: the first ones are asked for more often
	// Tenants ask in unlike shares: the first one most. TenantPerSecond is the scans a second that each is entitled to at
	// all brokers together; what a tenant sends beyond it may be turned away first.
	Tenants         int
	TenantSkew      float64
	TenantPerSecond float64
}

func tenantName(i int) string { return fmt.Sprintf("tenant-%d", i) }

// settings are the fleet's start settings in the module's words, for the broker with this number.
func (f *Fleet) settings(ordinal, zone int) map[string]any {
	t := map[string]any{"turn": f.Turn, "brokers": float64(f.Brokers), "zone": float64(zone), "ordinal": float64(ordinal),
		"countedBy": "request", "discovery": "automatic",
		"layout.cells": float64(f.Cells), "layout.reach": float64(f.Reach), "layout.shards": float64(f.Shards),
		"layout.batch": float64(f.Batch), "layout.callWork": f.Nature.CallWork,
		"limit.dispatches": float64(f.Dispatches), "limit.secondCopies": f.SecondCopies, "limit.cancelling": true,
		"limit.retryAfter": f.RetryAfter, "limit.maxRetryAfter": f.MaxRetryAfter, "limit.openCap": float64(f.OpenCap),
		"limit.connIdle": f.Idle, "limit.connectTimeout": f.ConnectTimeout, "limit.multiplex": 32.0,
		"rules.cold": f.Nature.Cold, "rules.fall": f.Nature.Fall, "rules.fallMultiple": f.Nature.FallMultiple,
		"rules.startCapacity": f.Nature.ColdFrom, "tableType.count": float64(len(f.Types)),
		"areas.count": float64(len(f.Zones)), "kinds.count": float64(len(f.Kinds)), "tenant.count": 0.0}
	if f.Notes || f.Verdicts {
		t["limit.peers"], t["share.verdicts"] = f.Notes, f.Verdicts
	}
	if f.BudgetWindow > 0 {
		t["rules.budgetWindow"], t["rules.spareDispatches"], t["rules.spareShare"] = f.BudgetWindow, float64(f.BudgetSpare), f.BudgetShare
	}
	if n := f.Traffic.Tenants; n > 0 {
		t["tenant.count"] = float64(n)
		for i := range n {
			t[fmt.Sprintf("tenant.%d.name", i)] = tenantName(i)
			t[fmt.Sprintf("tenant.%d.perSecond", i)] = f.Traffic.TenantPerSecond
		}
	}
	for i, z := range f.Zones {
		t[fmt.Sprintf("areas.%d", i)] = z
	}
	for i, k := range f.Kinds {
		t[fmt.Sprintf("kinds.%d", i)] = k.Name
	}
	for i, y := range f.Types {
		at := fmt.Sprintf("tableType.%d.", i)
		t[at+"name"], t[at+"target"], t[at+"timeout"] = y.Name, y.Target, y.Timeout
		t[at+"benefit"], t[at+"lateBenefit"], t[at+"effect"] = y.Benefit, y.LateBenefit, y.Effect
		t[at+"repeatWindow"] = y.RepeatWindow
		in := func(name string, v float64) { t[fmt.Sprintf("layout.%s.%d", name, i)] = v }
		in("need", y.Need)
		in("floor", y.Floor)
		in("partialBenefit", y.Partial)
		in("fetch", float64(y.Fetch))
	}
	return t
}

// Holders says whether a cell holds a shard.
func (f *Fleet) holds(cell, shard int) bool {
	return ((cell-shard)%f.Cells+f.Cells)%f.Cells < f.Reach
}

// kindOf draws a store's kind by the shares.
func (f *Fleet) kindOf(r *rand.Rand) Kind {
	sum := 0.0
	for _, k := range f.Kinds {
		sum += k.Share
	}
	x := r.Float64() * sum
	for _, k := range f.Kinds {
		if x -= k.Share; x < 0 {
			return k.Kind
		}
	}
	return f.Kinds[len(f.Kinds)-1].Kind
}
