package main

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"gullstair/internal/config"
	"gullstair/internal/core"
	"gullstair/internal/simulation"
	"gullstair/logic"
)

// capacityCmd measures the growth rates of docs/CAPACITY.md that a single process can show.
type capacityCmd struct {
	Nodes   []int `default:"300,900,2700" help:"Sizes of the node list."`
	Members []int `default:"5,60,180" help:"Sizes of the fleet, for limits of many tenants."`
	Blocks  []int `default:"250000,1000000,4000000" help:"Entries of an index of cached blocks in a plain map."`
	Queries int   `default:"2000" help:"Queries played at each size of the node list."`
}

func (c *capacityCmd) Run(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "NODES\tSTATE OF THE LIST KB\tWHOLE LIST ms\tONE CHANGE ms\tQUERY us\tOPEN QUERY KB")
	for _, n := range c.Nodes {
		m, err := measureCore(n, c.Queries)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%d\t%.0f\t%.2f\t%.2f\t%.0f\t%.1f\n", n, m.listKB, m.wholeMs, m.changeMs, m.queryUs, m.openKB)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w, "\nMEMBERS, 900 TENANTS\tDATAGRAMS /member/s\tBYTES /member/s\tACCOUNTS, MAX\tBYTES /account\tTAKEN\tOVER")
	for _, n := range c.Members {
		x := simulation.Tenants(1, n, 900)
		fmt.Fprintf(w, "%d\t%.0f\t%.0f\t%d\t%.0f\t%d of %d\t%.1f\n", n, x.Datagrams, x.Bytes, x.Most, x.BytesPerAccount, x.Taken, x.Asked, x.Over)
		if err := w.Flush(); err != nil {
			return err
		}
	}
	fmt.Fprintln(w, "\nKEPT BLOCKS, PLAIN MAP\tBYTES /entry\tCHANGE ns")
	for _, n := range c.Blocks {
		bytes, ns := measureMap(n)
		fmt.Fprintf(w, "%d\t%.0f\t%.0f\n", n, bytes, ns)
	}
	return w.Flush()
}

// coreCost is the cost of a broker's core and decision module at one size of the node list.
type coreCost struct {
	listKB, wholeMs, changeMs, queryUs, openKB float64
}

const (
	replicas      = 3 // replicas of a shard
	partsPerQuery = 4
	openQueries   = 500
	coreRepeats   = 20 // whole lists, and single changes
	coreClock     = 1e12
	queryInterval = 2.0 // ms of virtual time
	answerDelay   = 40.0
	timeLeft      = 3000.0
)

// heapInUse returns the bytes in use after a garbage collection.
func heapInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// startTree returns a start file for a deployment of this many nodes in sets of three.
func startTree(nodes int) map[string]any {
	class := map[string]any{"name": "board", "aim": 1.5, "deadline": 4.0, "worth": 1.0, "lateWorth": 0.1, "semantics": "idempotent", "memorySpan": 5.0}
	return map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 256, "sockets": 8192},
		"known":  map[string]any{"seq": 1, "whole": true, "hosts": hostList(nodes, "SERVING")},
		"settings": map[string]any{"areas": []any{"west", "east"}, "kinds": []any{"std"}, "layers": []any{"stores"}, "accounts": []any{},
			"balancers": 360, "ordinal": 0, "zone": 0, "granularity": 0.005, "countedBy": "request", "discovery": "automatic", "domainType": "fanout",
			"overShareWorth": 0.1,
			"ceilings": map[string]any{"cancelling": true, "connIdle": 30.0, "connectTimeout": 0.25, "maxAttempts": 3, "maxRetryAfter": 1.0,
				"multiplex": 32, "openCap": 100000, "parallelTries": false, "peers": false, "probing": false, "retryAfter": true},
			"classes": []any{class},
			"familyInfo": map[string]any{"classPartial": []any{0.9}, "completeFrom": []any{1.0}, "floorByClass": []any{1.0}, "overhead": 0.02,
				"perCall": 4, "places": nodes / replicas, "secondStep": []any{0}, "slices": nodes, "warmKeys": false, "width": 1},
			"prices": map[string]any{"crossZone": 0.0}, "report": map[string]any{"columns": []any{}, "how": "none"},
			"rules": map[string]any{"answerSlack": 0.02, "cold": 18.0, "fall": 3.0, "fallMultiple": 2.5, "startCapacity": 0.18,
				"stopSendingWithin": 0.5}, "weights": "silent"}}
}

// hostList returns the entries of a node list.
func hostList(nodes int, health string) (hosts []any) {
	for i := range nodes {
		hosts = append(hosts, map[string]any{"host": fmt.Sprint("s-", i), "dial": fmt.Sprintf("127.0.%d.%d:9", i/250, 1+i%250), "site": "west",
			"class": "std", "block": i % (nodes / replicas), "health": health, "share": 1, "born_ms": 0})
	}
	return hosts
}

// coreDriver drives a core in virtual time; its nodes answer after a fixed time.
type coreDriver struct {
	core    *core.Core
	now     float64
	pending []core.CallPart
	dueAt   []float64
}

// step advances the time and passes the answers that are due and the given inputs to the core.
func (r *coreDriver) step(wait float64, in ...core.Input) {
	r.now += wait
	for len(r.pending) > 0 && r.dueAt[0] <= r.now {
		in = append(in, core.Ended{Ref: r.pending[0].Ref, Reason: core.Answered, At: r.now, Value: "v"})
		r.pending, r.dueAt = r.pending[1:], r.dueAt[1:]
	}
	for _, o := range r.core.Step(r.now, in) {
		if call, is := o.(core.Call); is {
			for _, p := range call.Parts {
				r.pending, r.dueAt = append(r.pending, p), append(r.dueAt, r.now+answerDelay)
			}
		}
	}
}

func query(n, shards int, at float64) *core.Scan {
	s := &core.Scan{ID: fmt.Sprint("q", n), Text: "t", TimeLeft: timeLeft, ReceivedAt: at}
	for i := range partsPerQuery {
		s.Parts = append(s.Parts, core.ScanPart{Shard: (7*n + i) % shards, Weight: 1.0 / partsPerQuery, Work: 50})
	}
	return s
}

// measureCore measures node lists and queries at one list size.
func measureCore(nodes, queries int) (cost coreCost, err error) {
	text, err := json.Marshal(startTree(nodes))
	if err != nil {
		return cost, err
	}
	cfg, err := config.Parse(text, func(string) string { return "" })
	if err != nil {
		return cost, err
	}
	known := cfg.KnownList.Nodes(func(string, string) {})
	before := heapInUse()
	r := &coreDriver{core: core.New(cfg.Site, cfg.Flat, cfg.Seed, known), now: coreClock}
	r.step(0)
	cost.listKB = (heapInUse() - before) / 1024
	cost.wholeMs = nanosecondsPer(coreRepeats, func(int) { r.step(1, core.List{Kind: logic.ListFull, Nodes: known}) }) / 1e6
	cost.changeMs = nanosecondsPer(coreRepeats, func(i int) {
		r.step(1, core.List{Kind: logic.ListDelta, Nodes: known[i : i+1]})
	}) / 1e6
	cost.queryUs = nanosecondsPer(queries, func(i int) { r.step(queryInterval, query(i, nodes, r.now)) }) / 1e3
	r.step(answerDelay)
	before = heapInUse()
	for i := range openQueries {
		r.step(0, query(queries+i, nodes, r.now))
	}
	cost.openKB = (heapInUse() - before) / 1024 / openQueries
	runtime.KeepAlive(r)
	return cost, nil
}

// nanosecondsPer returns the mean time of one of n calls, in ns.
func nanosecondsPer(n int, do func(i int)) float64 {
	begun := time.Now()
	for i := range n {
		do(i)
	}
	return float64(time.Since(begun)) / float64(n)
}

// measureMap builds an index of cached blocks as a plain map from a 64-bit hash to a node number and the block's age.
// The broker does not use it: it is the baseline for the size of a compact structure.
func measureMap(entries int) (bytes, ns float64) {
	type place struct{ node, _ uint32 }
	before := heapInUse()
	index := map[uint64]place{}
	for i := range entries {
		index[mixHash(uint64(i))] = place{node: uint32(i % 2700)}
	}
	bytes = (heapInUse() - before) / float64(entries)
	ns = nanosecondsPer(entries, func(i int) { // an old block is removed, a new one is added
		delete(index, mixHash(uint64(i)))
		index[mixHash(uint64(i+entries))] = place{}
	})
	runtime.KeepAlive(index)
	return bytes, ns
}

// mixHash spreads consecutive numbers like hashes.
func mixHash(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
