package emulator

import (
	"math"
	"slices"
	"strconv"

	"gullstair/internal/core"
	"gullstair/logic"
)

// arrivals draws the next scan: Poisson, whatever becomes of the others.
func (w *World) arrivals() {
	rate := w.Fleet.Traffic.Rate * w.rate
	if rate <= 0 {
		w.at(100, w.arrivals)
		return
	}
	w.at(-math.Log(1-w.come.Float64())*1000/rate, func() {
		if w.now >= w.ending {
			return
		}
		w.scan(-1)
		w.arrivals()
	})
}

// abuse has one tenant send so many scans a second, until it is over.
func (w *World) abuse(tenant int, rate float64, chance func() float64, over *bool) {
	w.at(-math.Log(1-chance())*1000/rate, func() {
		if w.now >= w.ending || *over {
			return
		}
		w.scan(tenant)
		w.abuse(tenant, rate, chance, over)
	})
}

// scan has a scan come, of a tenant drawn by chance where none is named.
func (w *World) scan(tenant int) {
	f := w.Fleet
	w.asks++
	a := &ask{n: w.asks, typ: w.typeOf(), began: w.now, text: "t" + strconv.FormatInt(w.asks, 36)}
	typ := &f.Types[a.typ]
	a.budget = typ.Timeout * (f.Traffic.PatienceLeast + (1-f.Traffic.PatienceLeast)*w.come.Float64())
	if typ.Effect == "keyed" {
		a.key = "k" + strconv.FormatInt(w.asks, 36)
	}
	if n := f.Traffic.Tenants; n > 0 {
		if a.tenant = tenant; tenant < 0 {
			a.tenant = w.tenant(n)
		}
	}
	first := w.shard()
	total := 0.0
	for k := range min(typ.Parts, f.Shards) {
		cost := typ.Work * (1 + typ.Spread*(2*w.come.Float64()-1))
		a.parts = append(a.parts, core.ScanPart{Shard: (first + k) % f.Shards, Work: cost})
		a.cost = append(a.cost, cost)
		total += cost
	}
	for k := range a.parts {
		a.parts[k].Weight = 1 / float64(len(a.parts))
	}
	a.benefit = typ.Benefit * total
	w.tally.scan(a.began, a.typ, a.tenant, a.benefit)
	w.try(a)
}

func (w *World) typeOf() int {
	sum := 0.0
	for _, t := range w.Fleet.Types {
		sum += t.Share
	}
	x := w.come.Float64() * sum
	for i, t := range w.Fleet.Types {
		if x -= t.Share; x < 0 {
			return i
		}
	}
	return len(w.Fleet.Types) - 1
}

func (w *World) tenant(n int) int {
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -w.Fleet.Traffic.TenantSkew)
	}
	x := w.come.Float64() * sum
	for i := range n {
		if x -= math.Pow(float64(i+1), -w.Fleet.Traffic.TenantSkew); x < 0 {
			return i
		}
	}
	return n - 1
}

func (w *World) shard() int {
	if w.hot.share > 0 && w.come.Float64() < w.hot.share {
		return w.hot.shard
	}
	x := w.come.Float64() * w.weights[len(w.weights)-1]
	i, _ := slices.BinarySearch(w.weights, x)
	return min(i, len(w.weights)-1)
}

// try sends a client's scan to one of the brokers that clients take for up.
func (w *World) try(a *ask) {
	a.tries++
	var up []*seat
	for _, s := range w.seats {
		if s.up || !s.noticed {
			up = append(up, s)
		}
	}
	left := a.budget - (w.now - a.began)
	if len(up) == 0 || left <= 1 {
		w.settle(a, logic.Abandon, 0)
		return
	}
	s := up[w.rnd.IntN(len(up))]
	if !s.up {
		w.at(w.Fleet.Client*2, func() { w.again(a, logic.Abandon, 0) }) // refused: nobody is there
		return
	}
	t := &try{a: a, seat: s.n, boot: s.boot, sentAt: w.now}
	w.at(w.Fleet.Client, func() {
		if s.boot != t.boot || !s.up {
			w.again(a, logic.Abandon, 0)
			return
		}
		left := a.budget - (w.now - a.began)
		id := strconv.FormatInt(a.n, 36) + "-" + strconv.Itoa(a.tries)
		t.sc = &core.Scan{ID: id, Key: a.key, Text: a.text, TableType: a.typ, Tenant: a.tenant, Account: tenantName(a.tenant), TimeLeft: left, ReceivedAt: epoch + w.now, Client: t}
		t.sc.Parts = slices.Clone(a.parts)
		s.open[id] = t
		w.Judge.taken(w.now, s.n, t.sc, &w.Fleet.Types[a.typ])
		if w.live != nil {
			w.live.send(s, t)
		} else {
			w.tell(s, t.boot, t.sc)
		}
		// The client goes when its time is up: it has had no answer.
		w.at(left+2*slack, func() {
			if s.open[id] == t {
				delete(s.open, id)
				w.tally.f.Unanswered++
				w.settle(a, logic.Abandon, 0)
			}
		})
	})
}

// reply takes a broker's answer to its client.
func (w *World) reply(s *seat, r core.Reply) {
	t := r.Scan.Client.(*try)
	w.Judge.replied(w.now, r.Scan, r)
	if s.open[r.Scan.ID] != t {
		return
	}
	delete(s.open, r.Scan.ID)
	w.at(w.Fleet.Client, func() {
		if r.Kind != logic.Answer {
			w.again(t.a, r.Kind, r.RetryAfter)
			return
		}
		typ := &w.Fleet.Types[t.a.typ]
		took, benefit := w.now-t.a.began, t.a.benefit
		got := 1.0
		if !r.Complete && typ.Fetch == 0 {
			got = typ.Partial * float64(len(r.Hits)) / float64(len(t.a.parts)) / max(typ.Need, 0.001)
		}
		late := took > typ.Target
		if late {
			got *= typ.LateBenefit / max(typ.Benefit, 1e-9) * typ.Benefit
		}
		w.settleFor(t.a, logic.Answer, took, benefit*min(got, 1), late)
	})
}

// again lets a client try once more, or takes the end for what it is.
func (w *World) again(a *ask, kind logic.ActionKind, after float64) {
	tr := &w.Fleet.Traffic
	harmless := kind == logic.Throttle || w.Fleet.Types[a.typ].Effect != "non-replayable"
	if a.settled || a.tries >= 2 || !harmless || w.rnd.Float64() >= tr.Retries {
		w.settle(a, kind, w.now-a.began)
		return
	}
	wait := tr.Backoff
	if after > 0 && w.rnd.Float64() < tr.Heed {
		wait = max(wait, after)
	}
	w.at(wait*(0.5+w.rnd.Float64()), func() { w.try(a) })
}

func (w *World) settle(a *ask, kind logic.ActionKind, took float64) {
	w.settleFor(a, kind, took, 0, false)
}

func (w *World) settleFor(a *ask, kind logic.ActionKind, took, benefit float64, late bool) {
	if a.settled {
		return
	}
	a.settled = true
	w.tally.ended(a.began, a.typ, a.tenant, benefit, took, kind, late)
}
