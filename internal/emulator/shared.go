package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"gullstair/internal/broker"
	"gullstair/internal/core"
	"gullstair/internal/fleettest"
	"gullstair/internal/limitshare"
	"gullstair/internal/verdicts"
	"gullstair/logic"
)

// RuleLimitExceeded is the rule that the scans served by the fleet stay within its strict shared limits.
const RuleLimitExceeded = "a limit of the fleet passed"

// FleetLimit is a limit shared by all brokers, with the attributes that it has in the features document. It limits the
// number of open scans if MaxOpen is positive, otherwise the rate of scans.
type FleetLimit struct {
	Name        string
	Scope       string  // fleet, cell or tenant
	Rate, Burst float64 // scans per second; scans
	MaxOpen     int     // scans open at the same time
	LoanTerm    float64 // ms that a loan between brokers is valid
}

// sharesLimit returns the limit in the form of package limitshare.
func (l FleetLimit) sharesLimit() limitshare.Limit {
	if l.MaxOpen > 0 {
		return limitshare.Limit{Name: l.Name, Kind: limitshare.Stock, Size: float64(l.MaxOpen), Term: l.LoanTerm}
	}
	return limitshare.Limit{Name: l.Name, Size: l.Rate, Burst: l.Burst, Term: l.LoanTerm}
}

// featuresBlock returns the limit's block of a features document.
func (l FleetLimit) featuresBlock() string {
	size := fmt.Sprintf("open_scans = %d", l.MaxOpen)
	if l.MaxOpen == 0 {
		size = fmt.Sprintf("scans_per_s = %g\n  burst = %g", l.Rate, l.Burst)
	}
	return fmt.Sprintf("limit %q {\n  for = %q\n  %s\n  term = \"%gms\"\n}\n", l.Name, l.Scope, size, l.LoanTerm)
}

const clockDrift = 0.01 // bound on the relative clock drift that emulated brokers are configured with

// limiter implements core.Limiter for one broker process in virtual time, with the broker's member of the shared limits.
type limiter struct {
	world      *World
	broker     *emulatedBroker
	boot       int // of the process that it belongs to
	core       *limitshare.Core
	nextStepAt float64          // time of the next scheduled step; +Inf: none is scheduled
	uses       []limitshare.Use // buffer of usesOf
}

// startLimiter creates the limiter of a broker that starts, if the fleet has shared limits and the broker is a real one.
func (w *World) startLimiter(broker *emulatedBroker, seed uint64) {
	c, ok := broker.core.(*core.Core)
	if broker.limiter = nil; !ok || len(w.Fleet.Limits) == 0 {
		return
	}
	rules := limitshare.Rules{Self: brokerName(broker.number), Boot: uint64(broker.incarnation), Drift: clockDrift, Most: 100000, After: w.Fleet.MaxRetryAfter, Loans: true}
	for i := range w.Fleet.Brokers {
		rules.Roster = append(rules.Roster, brokerName(i))
	}
	var limits []limitshare.Limit
	for _, l := range w.Fleet.Limits {
		limits = append(limits, l.sharesLimit())
	}
	broker.limiter = &limiter{world: w, broker: broker, boot: broker.incarnation, nextStepAt: math.Inf(1), core: limitshare.New(rules, limits, rand.New(rand.NewPCG(seed, 0x11a17)).Float64)}
	c.SetLimiter(broker.limiter)
	broker.limiter.step()
}

// brokerName returns the name of the broker with index i.
func brokerName(i int) string { return fmt.Sprintf("broker-%03d", i) }

// usesOf returns the use of each shared limit by one scan. The result is valid until the next call.
func (l *limiter) usesOf(account, cell string) []limitshare.Use {
	l.uses = l.uses[:0]
	for i, limit := range l.world.Fleet.Limits {
		key := map[string]string{"tenant": account, "cell": cell}[limit.Scope]
		l.uses = append(l.uses, limitshare.Use{Limit: i, Key: key, Cost: 1})
	}
	return l.uses
}

// Take implements core.Limiter.
func (l *limiter) Take(account, cell string, _, maxDuration float64) core.LimitDecision {
	return l.toDecision(l.core.Take(l.world.now, l.usesOf(account, cell), maxDuration+timingTolerance))
}

// Retry implements core.Limiter.
func (l *limiter) Retry(account, cell string, _, maxDuration float64) core.LimitDecision {
	return l.toDecision(l.core.Again(l.world.now, l.usesOf(account, cell), maxDuration+timingTolerance))
}

// toDecision converts a verdict for the broker's core and schedules the next step.
func (l *limiter) toDecision(verdict limitshare.Verdict) core.LimitDecision {
	l.scheduleStep()
	if verdict.Taken {
		return core.LimitDecision{Admitted: true}
	}
	return core.LimitDecision{Why: "the fleet's limit " + l.world.Fleet.Limits[verdict.Limit].Name, RetryAfter: verdict.After, Wait: verdict.Wait}
}

// FleetBudget implements core.Limiter. The emulated fleet has no shared budget of further dispatches; each broker has its own.
func (l *limiter) FleetBudget() float64 { return math.Inf(1) }

// TakeFurther implements core.Limiter; see FleetBudget.
func (l *limiter) TakeFurther() bool { return true }

// Done implements core.Limiter.
func (l *limiter) Done(account, cell string, _ float64) {
	l.core.Done(l.world.now, l.usesOf(account, cell))
}

// scheduleStep schedules the next step, unless an earlier one is scheduled already.
func (l *limiter) scheduleStep() {
	at := max(l.core.Due(), l.world.now)
	if math.IsInf(at, 1) || l.nextStepAt <= at && l.nextStepAt >= l.world.now {
		return
	}
	l.nextStepAt = at
	l.world.queue.push(at, func() {
		if l.nextStepAt == at && l.active() && !l.broker.paused {
			l.step()
		}
	})
}

// active reports whether the process that the limiter belongs to still runs.
func (l *limiter) active() bool { return l.broker.up && l.broker.incarnation == l.boot }

// step passes inputs to the member, sends its messages to other brokers and notifies the broker's core of new capacity.
func (l *limiter) step(in ...limitshare.Input) {
	l.nextStepAt = math.Inf(1)
	for _, out := range l.core.Step(l.world.now, in) {
		for _, recipient := range l.world.brokers {
			if brokerName(recipient.number) == out.To {
				l.world.sendDatagram(l.broker, recipient, func() {
					if recipient.limiter != nil && recipient.limiter.active() {
						for _, message := range out.Messages {
							recipient.limiter.step(limitshare.Received{From: brokerName(l.broker.number), Message: message})
						}
					}
				})
			}
		}
	}
	if l.core.Came() {
		l.world.deliver(l.broker, l.boot, core.LimitsChanged{})
	}
	l.scheduleStep()
}

// sendDatagram simulates a datagram between two brokers: it is lost or, after the network delay, passed to arrive. A paused
// broker receives it when it resumes.
func (w *World) sendDatagram(from, to *emulatedBroker, arrive func()) {
	delay, lost := w.messageDelay(from.zone, to.zone)
	if lost || from.number == to.number || w.netFaults.brokerCuts[[2]int{from.number, to.number}] || w.netFaults.brokerLoss > 0 && w.rnd.Float64() < w.netFaults.brokerLoss {
		return
	}
	w.after(delay, func() { w.deliverDatagram(to, to.incarnation, arrive) })
}

// deliverDatagram delivers a datagram to a broker process or, while that is paused, queues it. It drops the datagram if the
// process has ended or its queue is full.
func (w *World) deliverDatagram(to *emulatedBroker, boot int, arrive func()) {
	switch {
	case !to.up || to.incarnation != boot:
	case to.paused:
		if len(to.delayedDatagrams) < maxQueuedDatagrams {
			to.delayedDatagrams = append(to.delayedDatagrams, func() { w.deliverDatagram(to, boot, arrive) })
		}
	default:
		arrive()
	}
}

const maxQueuedDatagrams = 512 // limit on datagrams queued for a paused broker, like the receive buffer of its socket

// deliverQueued delivers the datagrams queued for a broker that was paused, and steps its limiter and verdicts.
func (w *World) deliverQueued(b *emulatedBroker) {
	datagrams := b.delayedDatagrams
	b.delayedDatagrams = nil
	for _, arrive := range datagrams {
		arrive()
	}
	if b.limiter != nil && b.limiter.active() {
		b.limiter.step()
	}
	b.verdicts.step()
}

// partitionBrokers starts a network partition between some brokers and the others: in both directions for broker_split,
// otherwise only from the chosen brokers to the others. It returns a function that ends the partition.
func (w *World) partitionBrokers(fault Fault) func() {
	chosen := map[int]bool{}
	var names []string
	for _, b := range w.targetBrokers(fault) {
		chosen[b.number] = true
		names = append(names, brokerName(b.number))
	}
	w.Timeline = append(w.Timeline, fmt.Sprint("           ", names))
	var cut [][2]int
	for from := range w.brokers {
		for to := range w.brokers {
			if chosen[from] != chosen[to] && (fault.Kind == "broker_split" || chosen[from]) {
				cut = append(cut, [2]int{from, to})
				w.netFaults.brokerCuts[[2]int{from, to}] = true
			}
		}
	}
	if w.loopback != nil {
		w.loopback.setBrokerLinksCut(cut, true)
	}
	return func() {
		for _, pair := range cut {
			delete(w.netFaults.brokerCuts, pair)
		}
		if w.loopback != nil {
			w.loopback.setBrokerLinksCut(cut, false)
		}
	}
}

// checkSharedLimits checks the shared limits against the scans that reached stores. A scan was admitted at some time between its
// sending by the client and the arrival of its first part at a store. Any time window may contain at most rate x window + burst
// admissions; for limits on open scans, at most that many may be open at once.
func (w *World) checkSharedLimits() {
	for _, l := range w.Fleet.Limits {
		spans := map[string][]fleettest.Span{}
		for _, scan := range w.Checker.reachedScans {
			key := map[string]string{"tenant": scan.tenant}[l.Scope]
			spans[key] = append(spans[key], fleettest.Span{From: scan.sentAt, To: scan.reachedAt, Ended: scan.endedAt})
		}
		if l.Scope == "cell" {
			continue // the broker assigns the cell, so that it can't be checked from outside
		}
		keys := make([]string, 0, len(spans))
		for key := range spans {
			keys = append(keys, key)
		}
		slices.Sort(keys)
		for _, key := range keys {
			excess := fleettest.MaxOpen(spans[key]) - float64(l.MaxOpen)
			if l.MaxOpen == 0 {
				excess = fleettest.Excess(spans[key], l.Rate/1000, l.Burst)
			}
			if excess > 1e-6 {
				w.Checker.report(w.now, RuleLimitExceeded, nil, "%s %s: %.1f scans more than it allows", l.Name, key, excess)
			}
		}
	}
}

// verdictMember runs a broker's member of the shared verdicts on stores in virtual time. Methods of a nil verdictMember do
// nothing.
type verdictMember struct {
	world      *World
	broker     *emulatedBroker
	boot       int
	core       *verdicts.Core
	nextStepAt float64 // time of the next scheduled step; +Inf: none is scheduled
}

// startVerdicts creates the verdictMember of a broker that starts, if the fleet shares verdicts and the broker is a real one.
func (w *World) startVerdicts(broker *emulatedBroker, seed uint64) {
	c, ok := broker.core.(*core.Core)
	if broker.verdicts = nil; !ok || !w.Fleet.SharedVerdicts {
		return
	}
	rules := verdicts.DefaultRules()
	rules.Self, rules.Zone, rules.Run = brokerName(broker.number), w.Fleet.Zones[broker.zone], uint64(broker.incarnation)
	broker.verdicts = &verdictMember{world: w, broker: broker, boot: broker.incarnation, nextStepAt: math.Inf(1), core: verdicts.New(rules, rand.New(rand.NewPCG(seed, 0x7e2d)).Float64)}
	var view verdicts.View
	for i := range w.Fleet.Brokers {
		if i != broker.number {
			view.Living = append(view.Living, verdicts.Member{Name: brokerName(i), Zone: w.Fleet.Zones[i%len(w.Fleet.Zones)]})
		}
	}
	c.ReportOutcomes()
	broker.verdicts.setNodes(c.ReportList())
	broker.verdicts.step(view)
}

// setNodes passes the broker's node list to the member.
func (m *verdictMember) setNodes(nodes core.NodeList) {
	if m == nil {
		return
	}
	var stores verdicts.Stores
	for _, node := range nodes.Nodes {
		stores.All = append(stores.All, verdicts.Store{Name: node.Host, Set: node.Cell, Born: node.Born, Ready: node.Readiness == logic.Ready})
	}
	m.step(stores)
}

// step passes inputs to the member, sends its messages to other brokers, passes its verdicts to the broker's core and
// schedules the next step.
func (m *verdictMember) step(in ...verdicts.Input) {
	if m == nil || !m.broker.up || m.broker.incarnation != m.boot {
		return
	}
	m.nextStepAt = math.Inf(1)
	for _, out := range m.core.Step(m.world.now, in) {
		switch v := out.(type) {
		case verdicts.Send:
			for _, recipient := range m.world.brokers {
				if brokerName(recipient.number) == v.To {
					m.world.sendDatagram(m.broker, recipient, func() {
						recipient.verdicts.step(verdicts.Received{From: brokerName(m.broker.number), Message: v.Message})
					})
				}
			}
		case verdicts.Verdict:
			m.world.deliver(m.broker, m.boot, broker.ToNodeVerdict(v))
		}
	}
	if at := max(m.core.Due(), m.world.now); !math.IsInf(at, 1) {
		m.nextStepAt = at
		m.world.queue.push(at, func() {
			if m.nextStepAt == at && !m.broker.paused {
				m.step()
			}
		})
	}
}

// broadcastNote sends a note of a broker's decision module to all other brokers.
func (w *World) broadcastNote(from *emulatedBroker, note []byte) {
	for _, b := range w.brokers {
		if b.number != from.number {
			w.sendDatagram(from, b, func() { w.deliver(b, b.incarnation, core.PeerNote{Note: note}) })
		}
	}
}
