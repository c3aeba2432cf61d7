package emulator

import (
	"fmt"
	"math/rand/v2"

	"gullstair/internal/cells"
	"gullstair/internal/quota"
)

// Fleet describes the emulated system: stores, brokers, network, service discovery and clients. Times are in ms.
type Fleet struct {
	Zones      []string
	Cells      int // each store belongs to one; shard s is held by the stores of Reach cells, from cell s modulo Cells on
	Reach      int
	Shards     int
	Stores     int
	Brokers    int
	Kinds      []KindShare
	StoreModel Behavior // behaviour of all stores

	SameZoneDelay, CrossZoneDelay, DelayJitter float64 // one-way delay within a zone, between two zones, and its largest random addition
	ClientDelay                                float64 // one-way delay between client and broker
	ConnectTimeout, ConnIdle                   float64 // of connections from brokers to stores; a connection that is idle for longer is not reused

	TurnInterval  float64 // minimum time between two turns of a broker
	MaxBatch      int     // maximum number of parts in a call
	MaxDispatches int     // maximum number of dispatches per part, the first included
	OpenCap       int     // maximum number of open scans of a broker
	SecondCopies  bool    // a part may be dispatched again while an earlier dispatch is still open
	RetryAfter    bool    // throttling responses state when to retry
	MaxRetryAfter float64
	DrainGrace    float64 // time for which a broker may still send parts to a store after receiving that it drains

	ListLag, ListLagSpread float64 // a broker receives a change of the node list after ListLag plus a random part of ListLagSpread
	VanishedListLag        float64 // additional delay until a vanished store is removed from the list
	BrokerDownLag          float64 // time until clients no longer choose a broker that died

	// Budget for repeated dispatches of parts: in any window of BudgetWindow, at most BudgetSpare plus BudgetShare times the
	// number of scans and parts accepted in it. A window of 0: no budget.
	BudgetWindow, BudgetShare float64
	BudgetSpare               int

	Types   []TableType
	Traffic Traffic

	TenantCells TenantCells // assignment of tenants to subsets of the stores; Count 0: none

	Limits []FleetLimit // each applies to all brokers together
	// PeerNotes: brokers exchange notes on calls and failures. SharedVerdicts: brokers agree on which stores are faulty.
	PeerNotes, SharedVerdicts bool
}

// TenantCells confines tenants to cells: each cell is a subset of the stores that serves a part of the tenants.
type TenantCells struct {
	Count, Holders int     // number of tenant cells; stores that each has of every store cell (see Fleet.Cells)
	MinHolderShare float64 // fraction of the Holders that must be up; below it the tenant cell refuses scans
	MaxOpenScans   int     // maximum number of open scans of a cell at one broker; 0: unlimited
	MaxScanRate    float64 // maximum scans per second of a cell at one broker; 0: unlimited
}

// cellName returns the name of the tenant cell with this number.
func cellName(i int) string { return fmt.Sprintf("cell-%d", i) }

// cellPlan returns the plan for cells.Build, and the limits by cell. The burst is the number of scans in 200 ms.
func (c TenantCells) cellPlan() (cells.Plan, map[string]quota.Limits) {
	plan, limits := cells.Plan{Holders: c.Holders, MinHolderShare: c.MinHolderShare}, map[string]quota.Limits{}
	for i := range c.Count {
		plan.Cells = append(plan.Cells, cells.Cell{Name: cellName(i)})
		limits[cellName(i)] = quota.Limits{Open: c.MaxOpenScans, Rate: c.MaxScanRate, Burst: c.MaxScanRate / 5}
	}
	return plan, limits
}

// KindShare is a kind of machine with its share of the stores.
type KindShare struct {
	MachineKind
	Share float64
}

// TableType describes the scans of one table type. Times are in ms.
type TableType struct {
	Name                        string
	Share                       float64 // weight among the scans; relative to the sum over all types
	Parts                       int     // number of parts of a scan
	Work, Spread                float64 // mean work of a part, ms of a core at speed 1; parts vary by a factor from 1-Spread to 1+Spread
	Target, Timeout             float64 // target latency and deadline of a scan
	Benefit, LateBenefit        float64 // value of an answer within Target, and of a later one
	Effect                      string  // replayable, keyed or non-replayable
	RepeatWindow                float64 // time within which a keyed part may be repeated
	Need, Floor, PartialBenefit float64 // minimum weight of the parts in a complete and in a partial answer; benefit factor of a partial answer
	Fetch                       int     // number of parts that a second step fetches; 0: no second step
	FetchWork                   float64 // work of a fetch as a fraction of the work of the part
}

// Traffic describes the clients. It is an open-loop load: scans arrive at the given rate regardless of whether earlier ones
// have been answered.
type Traffic struct {
	Rate           float64 // scans per second, at all brokers together
	MinPatience    float64 // minimum fraction of the timeout that a client waits; each draws its own between this and 1
	RetryChance    float64 // probability that a client retries after a throttled or failed attempt; there is at most one retry
	Backoff        float64 // mean delay in ms before the retry
	HeedRetryAfter float64 // probability that the client respects the retry time in the response
	ShardSkew      float64 // Zipf exponent of shard popularity; 0: uniform
	// The tenants' shares of the scans follow a Zipf distribution with exponent TenantSkew; tenant 0 sends most. Each
	// tenant is entitled to TenantEntitledRate scans per second at all brokers together; scans beyond that may be shed first.
	Tenants            int
	TenantSkew         float64
	TenantEntitledRate float64
}

// tenantName returns the name of the tenant with this number.
func tenantName(i int) string { return fmt.Sprintf("tenant-%d", i) }

// settings returns the start settings, under the decision module's names, for the broker with the given number and zone.
func (f *Fleet) settings(ordinal, zone int) map[string]any {
	settings := map[string]any{"turn": f.TurnInterval, "brokers": float64(f.Brokers), "zone": float64(zone), "ordinal": float64(ordinal),
		"countedBy": "request", "discovery": "automatic",
		"layout.cells": float64(f.Cells), "layout.reach": float64(f.Reach), "layout.shards": float64(f.Shards),
		"layout.batch": float64(f.MaxBatch), "layout.callWork": f.StoreModel.CallWork,
		"limit.dispatches": float64(f.MaxDispatches), "limit.secondCopies": f.SecondCopies, "limit.cancelling": true,
		"limit.retryAfter": f.RetryAfter, "limit.maxRetryAfter": f.MaxRetryAfter, "limit.openCap": float64(f.OpenCap),
		"limit.connIdle": f.ConnIdle, "limit.connectTimeout": f.ConnectTimeout, "limit.multiplex": 32.0,
		"rules.cold": f.StoreModel.WarmUp, "rules.fall": f.StoreModel.OverloadWindow, "rules.fallMultiple": f.StoreModel.OverloadMultiple,
		"rules.startCapacity": f.StoreModel.StartCapacity, "tableType.count": float64(len(f.Types)),
		"areas.count": float64(len(f.Zones)), "kinds.count": float64(len(f.Kinds)), "tenant.count": 0.0}
	if f.PeerNotes || f.SharedVerdicts {
		settings["limit.peers"], settings["share.verdicts"] = f.PeerNotes, f.SharedVerdicts
	}
	if f.BudgetWindow > 0 {
		settings["rules.budgetWindow"], settings["rules.spareDispatches"], settings["rules.spareShare"] = f.BudgetWindow, float64(f.BudgetSpare), f.BudgetShare
	}
	if n := f.Traffic.Tenants; n > 0 {
		settings["tenant.count"] = float64(n)
		for i := range n {
			settings[fmt.Sprintf("tenant.%d.name", i)] = tenantName(i)
			settings[fmt.Sprintf("tenant.%d.perSecond", i)] = f.Traffic.TenantEntitledRate
		}
	}
	for i, zone := range f.Zones {
		settings[fmt.Sprintf("areas.%d", i)] = zone
	}
	for i, kind := range f.Kinds {
		settings[fmt.Sprintf("kinds.%d", i)] = kind.Name
	}
	for i, tableType := range f.Types {
		prefix := fmt.Sprintf("tableType.%d.", i)
		settings[prefix+"name"], settings[prefix+"target"], settings[prefix+"timeout"] = tableType.Name, tableType.Target, tableType.Timeout
		settings[prefix+"benefit"], settings[prefix+"lateBenefit"], settings[prefix+"effect"] = tableType.Benefit, tableType.LateBenefit, tableType.Effect
		settings[prefix+"repeatWindow"] = tableType.RepeatWindow
		set := func(name string, v float64) { settings[fmt.Sprintf("layout.%s.%d", name, i)] = v }
		set("need", tableType.Need)
		set("floor", tableType.Floor)
		set("partialBenefit", tableType.PartialBenefit)
		set("fetch", float64(tableType.Fetch))
	}
	return settings
}

// cellHoldsShard reports whether the stores of a cell hold a shard.
func (f *Fleet) cellHoldsShard(cell, shard int) bool {
	return ((cell-shard)%f.Cells+f.Cells)%f.Cells < f.Reach
}

// drawKind draws the kind of a store, weighted by the shares.
func (f *Fleet) drawKind(rnd *rand.Rand) MachineKind {
	sum := 0.0
	for _, k := range f.Kinds {
		sum += k.Share
	}
	x := rnd.Float64() * sum
	for _, k := range f.Kinds {
		if x -= k.Share; x < 0 {
			return k.MachineKind
		}
	}
	return f.Kinds[len(f.Kinds)-1].MachineKind
}
