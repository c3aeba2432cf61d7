package emulator

import (
	"math"
	"slices"
	"strconv"

	"gullstair/internal/core"
	"gullstair/logic"
)

// scheduleArrival schedules the next scan. Scans arrive as a Poisson process, independent of the answers to earlier ones.
func (w *World) scheduleArrival() {
	rate := w.Fleet.Traffic.Rate * w.trafficFactor
	if rate <= 0 {
		w.after(100, w.scheduleArrival)
		return
	}
	w.after(-math.Log(1-w.arrivalRnd.Float64())*1000/rate, func() {
		if w.now >= w.trafficEnd {
			return
		}
		w.submitScan(-1)
		w.scheduleArrival()
	})
}

// scheduleAbuse makes one tenant send additional scans, rate per second as a Poisson process, until ended is set.
func (w *World) scheduleAbuse(tenant int, rate float64, draw func() float64, ended *bool) {
	w.after(-math.Log(1-draw())*1000/rate, func() {
		if w.now >= w.trafficEnd || *ended {
			return
		}
		w.submitScan(tenant)
		w.scheduleAbuse(tenant, rate, draw, ended)
	})
}

// submitScan creates a scan and sends its first attempt. If tenant is negative, the tenant is drawn at random.
func (w *World) submitScan(tenant int) {
	fleet := w.Fleet
	w.requestCount++
	req := &clientRequest{number: w.requestCount, tableType: w.drawType(), startedAt: w.now, text: "t" + strconv.FormatInt(w.requestCount, 36)}
	tableType := &fleet.Types[req.tableType]
	req.timeBudget = tableType.Timeout * (fleet.Traffic.MinPatience + (1-fleet.Traffic.MinPatience)*w.arrivalRnd.Float64())
	if tableType.Effect == "keyed" {
		req.key = "k" + strconv.FormatInt(w.requestCount, 36)
	}
	if tenants := fleet.Traffic.Tenants; tenants > 0 {
		if req.tenant = tenant; tenant < 0 {
			req.tenant = w.drawTenant(tenants)
		}
	}
	first := w.drawShard()
	total := 0.0
	for k := range min(tableType.Parts, fleet.Shards) {
		cost := tableType.Work * (1 + tableType.Spread*(2*w.arrivalRnd.Float64()-1))
		req.parts = append(req.parts, core.ScanPart{Shard: (first + k) % fleet.Shards, Work: cost})
		req.partWork = append(req.partWork, cost)
		total += cost
	}
	for k := range req.parts {
		req.parts[k].Weight = 1 / float64(len(req.parts))
	}
	req.benefit = tableType.Benefit * total
	w.stats.addScan(req.startedAt, req.tableType, req.tenant, req.benefit)
	w.sendAttempt(req)
}

// drawType draws a table type by the types' shares.
func (w *World) drawType() int {
	sum := 0.0
	for _, tableType := range w.Fleet.Types {
		sum += tableType.Share
	}
	draw := w.arrivalRnd.Float64() * sum
	for i, tableType := range w.Fleet.Types {
		if draw -= tableType.Share; draw < 0 {
			return i
		}
	}
	return len(w.Fleet.Types) - 1
}

// drawTenant draws one of count tenants. The weight of tenant i is (i+1) to the power of -TenantSkew.
func (w *World) drawTenant(count int) int {
	sum := 0.0
	for i := range count {
		sum += math.Pow(float64(i+1), -w.Fleet.Traffic.TenantSkew)
	}
	draw := w.arrivalRnd.Float64() * sum
	for i := range count {
		if draw -= math.Pow(float64(i+1), -w.Fleet.Traffic.TenantSkew); draw < 0 {
			return i
		}
	}
	return count - 1
}

// drawShard draws the first shard of a scan: the hot shard with its probability, else one by the weights of the shards.
func (w *World) drawShard() int {
	if w.hotShard.share > 0 && w.arrivalRnd.Float64() < w.hotShard.share {
		return w.hotShard.shard
	}
	draw := w.arrivalRnd.Float64() * w.cumulativeWeights[len(w.cumulativeWeights)-1]
	i, _ := slices.BinarySearch(w.cumulativeWeights, draw)
	return min(i, len(w.cumulativeWeights)-1)
}

// sendAttempt sends a scan to a random broker among those that are up or that clients do not yet know to be down. If the
// client's time is over or no broker is left, the scan fails.
func (w *World) sendAttempt(req *clientRequest) {
	req.attempts++
	var candidates []*emulatedBroker
	for _, broker := range w.brokers {
		if broker.up || !broker.knownDown {
			candidates = append(candidates, broker)
		}
	}
	timeLeft := req.timeBudget - (w.now - req.startedAt)
	if len(candidates) == 0 || timeLeft <= 1 {
		w.settleWithoutBenefit(req, logic.Abandon, 0)
		return
	}
	target := candidates[w.rnd.IntN(len(candidates))]
	if !target.up {
		w.after(w.Fleet.ClientDelay*2, func() { w.retryOrSettle(req, logic.Abandon, 0) }) // the connection is refused: the broker is down
		return
	}
	attempt := &attempt{req: req, broker: target.number, incarnation: target.incarnation, sentAt: w.now}
	w.after(w.Fleet.ClientDelay, func() {
		if target.incarnation != attempt.incarnation || !target.up {
			w.retryOrSettle(req, logic.Abandon, 0)
			return
		}
		timeLeft := req.timeBudget - (w.now - req.startedAt)
		id := strconv.FormatInt(req.number, 36) + "-" + strconv.Itoa(req.attempts)
		attempt.scan = &core.Scan{ID: id, Key: req.key, Text: req.text, TableType: req.tableType, Tenant: req.tenant, Account: tenantName(req.tenant), TimeLeft: timeLeft, ReceivedAt: epoch + w.now, Client: attempt}
		attempt.scan.Parts = slices.Clone(req.parts)
		target.openScans[id] = attempt
		w.Checker.scanReceived(w.now, target.number, attempt.scan, &w.Fleet.Types[req.tableType])
		if w.loopback != nil {
			w.loopback.sendRequest(target, attempt)
		} else {
			w.deliver(target, attempt.incarnation, attempt.scan)
		}
		// The client gives up when its time is over without an answer.
		w.after(timeLeft+2*timingTolerance, func() {
			if target.openScans[id] == attempt {
				delete(target.openScans, id)
				w.stats.report.Unanswered++
				w.settleWithoutBenefit(req, logic.Abandon, 0)
			}
		})
	})
}

// deliverReply checks a broker's reply and delivers it to the client, which retries or records the benefit. The benefit is
// lower for partial and for late answers.
func (w *World) deliverReply(broker *emulatedBroker, reply core.Reply) {
	attempt := reply.Scan.Client.(*attempt)
	w.Checker.scanAnswered(w.now, reply.Scan, reply)
	if broker.openScans[reply.Scan.ID] != attempt {
		return
	}
	delete(broker.openScans, reply.Scan.ID)
	w.after(w.Fleet.ClientDelay, func() {
		if reply.Kind != logic.Answer {
			w.retryOrSettle(attempt.req, reply.Kind, reply.RetryAfter)
			return
		}
		tableType := &w.Fleet.Types[attempt.req.tableType]
		elapsed, benefit := w.now-attempt.req.startedAt, attempt.req.benefit
		fraction := 1.0
		if !reply.Complete && tableType.Fetch == 0 {
			fraction = tableType.PartialBenefit * float64(len(reply.Hits)) / float64(len(attempt.req.parts)) / max(tableType.Need, 0.001)
		}
		late := elapsed > tableType.Target
		if late {
			fraction *= tableType.LateBenefit / max(tableType.Benefit, 1e-9) * tableType.Benefit
		}
		w.settleWithBenefit(attempt.req, logic.Answer, elapsed, benefit*min(fraction, 1), late)
	})
}

// retryOrSettle sends a second attempt after a backoff, or records the scan as ended without benefit. It retries with
// the configured probability, and only if the scan was throttled or its effect can be replayed. Some clients also wait for
// retryAfter, in ms.
func (w *World) retryOrSettle(req *clientRequest, kind logic.ActionKind, retryAfter float64) {
	traffic := &w.Fleet.Traffic
	replaySafe := kind == logic.Throttle || w.Fleet.Types[req.tableType].Effect != "non-replayable"
	if req.settled || req.attempts >= 2 || !replaySafe || w.rnd.Float64() >= traffic.RetryChance {
		w.settleWithoutBenefit(req, kind, w.now-req.startedAt)
		return
	}
	wait := traffic.Backoff
	if retryAfter > 0 && w.rnd.Float64() < traffic.HeedRetryAfter {
		wait = max(wait, retryAfter)
	}
	w.after(wait*(0.5+w.rnd.Float64()), func() { w.sendAttempt(req) })
}

// settleWithoutBenefit records the end of a scan that was not answered.
func (w *World) settleWithoutBenefit(req *clientRequest, kind logic.ActionKind, elapsed float64) {
	w.settleWithBenefit(req, kind, elapsed, 0, false)
}

// settleWithBenefit records the end of a scan once; elapsed is in ms. Later calls for the same scan do nothing.
func (w *World) settleWithBenefit(req *clientRequest, kind logic.ActionKind, elapsed, benefit float64, late bool) {
	if req.settled {
		return
	}
	req.settled = true
	w.stats.addOutcome(req.startedAt, req.tableType, req.tenant, benefit, elapsed, kind, late)
}
