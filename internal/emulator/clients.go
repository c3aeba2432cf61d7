package emulator

import (
	"math"
	"slices"
	"strconv"

	"gullstair/internal/core"
	"gullstair/logic"
)

// scheduleArrival schedules the next scan. Scans arrive as a Poisson process, independent of the answers to earlier ones.
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

// scheduleAbuse makes one tenant send additional scans, rate per second as a Poisson process, until ended is set.
func (w *World) abuse(tenant int, rate float64, draw func() float64, ended *bool) {
	w.at(-math.Log(1-draw())*1000/rate, func() {
		if w.now >= w.ending || *ended {
			return
		}
		w.scan(tenant)
		w.abuse(tenant, rate, draw, ended)
	})
}

// submitScan creates a scan and sends its first attempt. If tenant is negative, the tenant is drawn at random.
func (w *World) scan(tenant int) {
	fleet := w.Fleet
	w.asks++
	req := &ask{n: w.asks, typ: w.typeOf(), began: w.now, text: "t" + strconv.FormatInt(w.asks, 36)}
	tableType := &fleet.Types[req.typ]
	req.budget = tableType.Timeout * (fleet.Traffic.PatienceLeast + (1-fleet.Traffic.PatienceLeast)*w.come.Float64())
	if tableType.Effect == "keyed" {
		req.key = "k" + strconv.FormatInt(w.asks, 36)
	}
	if tenants := fleet.Traffic.Tenants; tenants > 0 {
		if req.tenant = tenant; tenant < 0 {
			req.tenant = w.tenant(tenants)
		}
	}
	first := w.shard()
	total := 0.0
	for k := range min(tableType.Parts, fleet.Shards) {
		cost := tableType.Work * (1 + tableType.Spread*(2*w.come.Float64()-1))
		req.parts = append(req.parts, core.ScanPart{Shard: (first + k) % fleet.Shards, Work: cost})
		req.cost = append(req.cost, cost)
		total += cost
	}
	for k := range req.parts {
		req.parts[k].Weight = 1 / float64(len(req.parts))
	}
	req.benefit = tableType.Benefit * total
	w.tally.scan(req.began, req.typ, req.tenant, req.benefit)
	w.try(req)
}

// drawType draws a table type by the types' shares.
func (w *World) typeOf() int {
	sum := 0.0
	for _, tableType := range w.Fleet.Types {
		sum += tableType.Share
	}
	draw := w.come.Float64() * sum
	for i, tableType := range w.Fleet.Types {
		if draw -= tableType.Share; draw < 0 {
			return i
		}
	}
	return len(w.Fleet.Types) - 1
}

// drawTenant draws one of count tenants. The weight of tenant i is (i+1) to the power of -TenantSkew.
func (w *World) tenant(count int) int {
	sum := 0.0
	for i := range count {
		sum += math.Pow(float64(i+1), -w.Fleet.Traffic.TenantSkew)
	}
	draw := w.come.Float64() * sum
	for i := range count {
		if draw -= math.Pow(float64(i+1), -w.Fleet.Traffic.TenantSkew); draw < 0 {
			return i
		}
	}
	return count - 1
}

// drawShard draws the first shard of a scan: the hot shard with its probability, else one by the weights of the shards.
func (w *World) shard() int {
	if w.hot.share > 0 && w.come.Float64() < w.hot.share {
		return w.hot.shard
	}
	draw := w.come.Float64() * w.weights[len(w.weights)-1]
	i, _ := slices.BinarySearch(w.weights, draw)
	return min(i, len(w.weights)-1)
}

// sendAttempt sends a scan to a random broker among those that are up or that clients do not yet know to be down. If the
// client's time is over or no broker is left, the scan fails.
func (w *World) try(a *ask) {
	a.tries++
	var candidates []*seat
	for _, broker := range w.seats {
		if broker.up || !broker.noticed {
			candidates = append(candidates, broker)
		}
	}
	timeLeft := a.budget - (w.now - a.began)
	if len(candidates) == 0 || timeLeft <= 1 {
		w.settle(a, logic.Abandon, 0)
		return
	}
	broker := candidates[w.rnd.IntN(len(candidates))]
	if !broker.up {
		w.at(w.Fleet.Client*2, func() { w.again(a, logic.Abandon, 0) }) // the connection is refused: the broker is down
		return
	}
	attempt := &try{a: a, seat: broker.n, boot: broker.boot, sentAt: w.now}
	w.at(w.Fleet.Client, func() {
		if broker.boot != attempt.boot || !broker.up {
			w.again(a, logic.Abandon, 0)
			return
		}
		timeLeft := a.budget - (w.now - a.began)
		id := strconv.FormatInt(a.n, 36) + "-" + strconv.Itoa(a.tries)
		attempt.sc = &core.Scan{ID: id, Key: a.key, Text: a.text, TableType: a.typ, Tenant: a.tenant, Account: tenantName(a.tenant), TimeLeft: timeLeft, ReceivedAt: epoch + w.now, Client: attempt}
		attempt.sc.Parts = slices.Clone(a.parts)
		broker.open[id] = attempt
		w.Judge.taken(w.now, broker.n, attempt.sc, &w.Fleet.Types[a.typ])
		if w.live != nil {
			w.live.send(broker, attempt)
		} else {
			w.tell(broker, attempt.boot, attempt.sc)
		}
		// The client gives up when its time is over without an answer.
		w.at(timeLeft+2*slack, func() {
			if broker.open[id] == attempt {
				delete(broker.open, id)
				w.tally.f.Unanswered++
				w.settle(a, logic.Abandon, 0)
			}
		})
	})
}

// deliverReply checks a broker's reply and delivers it to the client, which retries or records the benefit. The benefit is
// lower for partial and for late answers.
func (w *World) reply(broker *seat, reply core.Reply) {
	attempt := reply.Scan.Client.(*try)
	w.Judge.replied(w.now, reply.Scan, reply)
	if broker.open[reply.Scan.ID] != attempt {
		return
	}
	delete(broker.open, reply.Scan.ID)
	w.at(w.Fleet.Client, func() {
		if reply.Kind != logic.Answer {
			w.again(attempt.a, reply.Kind, reply.RetryAfter)
			return
		}
		tableType := &w.Fleet.Types[attempt.a.typ]
		elapsed, benefit := w.now-attempt.a.began, attempt.a.benefit
		fraction := 1.0
		if !reply.Complete && tableType.Fetch == 0 {
			fraction = tableType.Partial * float64(len(reply.Hits)) / float64(len(attempt.a.parts)) / max(tableType.Need, 0.001)
		}
		late := elapsed > tableType.Target
		if late {
			fraction *= tableType.LateBenefit / max(tableType.Benefit, 1e-9) * tableType.Benefit
		}
		w.settleFor(attempt.a, logic.Answer, elapsed, benefit*min(fraction, 1), late)
	})
}

// retryOrSettle sends a second attempt after a backoff, or records the scan as ended without benefit. It retries with
// the configured probability, and only if the scan was throttled or its effect can be replayed. Some clients also wait for
// retryAfter, in ms.
func (w *World) again(req *ask, kind logic.ActionKind, retryAfter float64) {
	traffic := &w.Fleet.Traffic
	replaySafe := kind == logic.Throttle || w.Fleet.Types[req.typ].Effect != "non-replayable"
	if req.settled || req.tries >= 2 || !replaySafe || w.rnd.Float64() >= traffic.Retries {
		w.settle(req, kind, w.now-req.began)
		return
	}
	wait := traffic.Backoff
	if retryAfter > 0 && w.rnd.Float64() < traffic.Heed {
		wait = max(wait, retryAfter)
	}
	w.at(wait*(0.5+w.rnd.Float64()), func() { w.try(req) })
}

// settleWithoutBenefit records the end of a scan that was not answered.
func (w *World) settle(req *ask, kind logic.ActionKind, elapsed float64) {
	w.settleFor(req, kind, elapsed, 0, false)
}

// settleWithBenefit records the end of a scan once; elapsed is in ms. Later calls for the same scan do nothing.
func (w *World) settleFor(req *ask, kind logic.ActionKind, elapsed, benefit float64, late bool) {
	if req.settled {
		return
	}
	req.settled = true
	w.tally.ended(req.began, req.typ, req.tenant, benefit, elapsed, kind, late)
}
