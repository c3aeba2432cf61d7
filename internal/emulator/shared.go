package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"gullstair/internal/broker"
	"gullstair/internal/core"
	"gullstair/internal/rig"
	"gullstair/internal/shares"
	"gullstair/internal/verdicts"
	"gullstair/logic"
)

// RuleLimitExceeded is the rule that the scans served by the fleet stay within its strict shared limits.
const RuleLimit = "a limit of the fleet passed"

// FleetLimit is a limit shared by all brokers, with the attributes that it has in the features document. It limits the
// number of open scans if MaxOpen is positive, otherwise the rate of scans.
type FleetLimit struct {
	Name        string
	For         string  // fleet, cell or tenant
	Rate, Burst float64 // scans per second; scans
	Open        int     // scans open at the same time
	Term        float64 // ms that a loan between brokers is valid
}

// sharesLimit returns the limit in the form of package shares.
func (l FleetLimit) shared() shares.Limit {
	if l.Open > 0 {
		return shares.Limit{Name: l.Name, Kind: shares.Stock, Size: float64(l.Open), Term: l.Term}
	}
	return shares.Limit{Name: l.Name, Size: l.Rate, Burst: l.Burst, Term: l.Term}
}

// featuresBlock returns the limit's block of a features document.
func (l FleetLimit) document() string {
	size := fmt.Sprintf("open_scans = %d", l.Open)
	if l.Open == 0 {
		size = fmt.Sprintf("scans_per_s = %g\n  burst = %g", l.Rate, l.Burst)
	}
	return fmt.Sprintf("limit %q {\n  for = %q\n  %s\n  term = \"%gms\"\n}\n", l.Name, l.For, size, l.Term)
}

const limitDrift = 0.01 // bound on the relative clock drift that emulated brokers are configured with

// limiter implements core.Limiter for one broker process in virtual time, with the broker's member of the shared limits.
type limiter struct {
	w     *World
	s     *seat
	boot  int // of the process that it belongs to
	core  *shares.Core
	dueAt float64      // time of the next scheduled step; +Inf: none is scheduled
	uses  []shares.Use // buffer of usesOf
}

// startLimiter creates the limiter of a broker that starts, if the fleet has shared limits and the broker is a real one.
func (w *World) limit(s *seat, seed uint64) {
	c, ok := s.d.(*core.Core)
	if s.limits = nil; !ok || len(w.Fleet.Limits) == 0 {
		return
	}
	rules := shares.Rules{Self: brokerName(s.n), Boot: uint64(s.boot), Drift: limitDrift, Most: 100000, After: w.Fleet.MaxRetryAfter, Loans: true}
	for i := range w.Fleet.Brokers {
		rules.Roster = append(rules.Roster, brokerName(i))
	}
	var limits []shares.Limit
	for _, l := range w.Fleet.Limits {
		limits = append(limits, l.shared())
	}
	s.limits = &limiter{w: w, s: s, boot: s.boot, dueAt: math.Inf(1), core: shares.New(rules, limits, rand.New(rand.NewPCG(seed, 0x11a17)).Float64)}
	c.SetLimiter(s.limits)
	s.limits.step()
}

// brokerName returns the name of the broker with index i.
func brokerName(i int) string { return fmt.Sprintf("broker-%03d", i) }

// usesOf returns the use of each shared limit by one scan. The result is valid until the next call.
func (l *limiter) asked(account, cell string) []shares.Use {
	l.uses = l.uses[:0]
	for i, limit := range l.w.Fleet.Limits {
		key := map[string]string{"tenant": account, "cell": cell}[limit.For]
		l.uses = append(l.uses, shares.Use{Limit: i, Key: key, Cost: 1})
	}
	return l.uses
}

// Take implements core.Limiter.
func (l *limiter) Take(account, cell string, _, maxDuration float64) core.LimitDecision {
	return l.rule(l.core.Take(l.w.now, l.asked(account, cell), maxDuration+slack))
}

// Retry implements core.Limiter.
func (l *limiter) Retry(account, cell string, _, maxDuration float64) core.LimitDecision {
	return l.rule(l.core.Again(l.w.now, l.asked(account, cell), maxDuration+slack))
}

// toDecision converts a verdict for the broker's core and schedules the next step.
func (l *limiter) rule(verdict shares.Verdict) core.LimitDecision {
	l.plan()
	if verdict.Taken {
		return core.LimitDecision{Admitted: true}
	}
	return core.LimitDecision{Why: "the fleet's limit " + l.w.Fleet.Limits[verdict.Limit].Name, RetryAfter: verdict.After, Wait: verdict.Wait}
}

// FleetBudget implements core.Limiter. The emulated fleet has no shared budget of further dispatches; each broker has its own.
func (l *limiter) FleetBudget() float64 { return math.Inf(1) }

// TakeFurther implements core.Limiter; see FleetBudget.
func (l *limiter) TakeFurther() bool { return true }

// Done implements core.Limiter.
func (l *limiter) Done(account, cell string, _ float64) {
	l.core.Done(l.w.now, l.asked(account, cell))
}

// scheduleStep schedules the next step, unless an earlier one is scheduled already.
func (l *limiter) plan() {
	at := max(l.core.Due(), l.w.now)
	if math.IsInf(at, 1) || l.dueAt <= at && l.dueAt >= l.w.now {
		return
	}
	l.dueAt = at
	l.w.q.push(at, func() {
		if l.dueAt == at && l.lives() && !l.s.paused {
			l.step()
		}
	})
}

// active reports whether the process that the limiter belongs to still runs.
func (l *limiter) lives() bool { return l.s.up && l.s.boot == l.boot }

// step passes inputs to the member, sends its messages to other brokers and notifies the broker's core of new capacity.
func (l *limiter) step(in ...shares.Input) {
	l.dueAt = math.Inf(1)
	for _, out := range l.core.Step(l.w.now, in) {
		for _, recipient := range l.w.seats {
			if brokerName(recipient.n) == out.To {
				l.w.between(l.s, recipient, func() {
					if recipient.limits != nil && recipient.limits.lives() {
						for _, message := range out.Messages {
							recipient.limits.step(shares.Received{From: brokerName(l.s.n), Message: message})
						}
					}
				})
			}
		}
	}
	if l.core.Came() {
		l.w.tell(l.s, l.boot, core.LimitsChanged{})
	}
	l.plan()
}

// sendDatagram simulates a datagram between two brokers: it is lost or, after the network delay, passed to arrive. A paused
// broker receives it when it resumes.
func (w *World) between(from, to *seat, arrive func()) {
	delay, lost := w.way(from.zone, to.zone)
	if lost || from.n == to.n || w.net.apart[[2]int{from.n, to.n}] || w.net.brokerLoss > 0 && w.rnd.Float64() < w.net.brokerLoss {
		return
	}
	w.at(delay, func() { w.arriveAt(to, to.boot, arrive) })
}

// deliverDatagram delivers a datagram to a broker process or, while that is paused, queues it. It drops the datagram if the
// process has ended or its queue is full.
func (w *World) arriveAt(to *seat, boot int, arrive func()) {
	switch {
	case !to.up || to.boot != boot:
	case to.paused:
		if len(to.mail) < mailMost {
			to.mail = append(to.mail, func() { w.arriveAt(to, boot, arrive) })
		}
	default:
		arrive()
	}
}

const mailMost = 512 // limit on datagrams queued for a paused broker, like the receive buffer of its socket

// deliverQueued delivers the datagrams queued for a broker that was paused, and steps its limiter and verdicts.
func (w *World) wakeMail(s *seat) {
	datagrams := s.mail
	s.mail = nil
	for _, arrive := range datagrams {
		arrive()
	}
	if s.limits != nil && s.limits.lives() {
		s.limits.step()
	}
	s.verdicts.step()
}

// partitionBrokers starts a network partition between some brokers and the others: in both directions for broker_split,
// otherwise only from the chosen brokers to the others. It returns a function that ends the partition.
func (w *World) splitBrokers(fault Fault) func() {
	chosen := map[int]bool{}
	var names []string
	for _, s := range w.brokers(fault) {
		chosen[s.n] = true
		names = append(names, brokerName(s.n))
	}
	w.Notes = append(w.Notes, fmt.Sprint("           ", names))
	var cut [][2]int
	for from := range w.seats {
		for to := range w.seats {
			if chosen[from] != chosen[to] && (fault.Kind == "broker_split" || chosen[from]) {
				cut = append(cut, [2]int{from, to})
				w.net.apart[[2]int{from, to}] = true
			}
		}
	}
	if w.live != nil {
		w.live.cutBrokers(cut, true)
	}
	return func() {
		for _, pair := range cut {
			delete(w.net.apart, pair)
		}
		if w.live != nil {
			w.live.cutBrokers(cut, false)
		}
	}
}

// checkSharedLimits checks the shared limits against the scans that reached stores. A scan was admitted at some time between its
// sending by the client and the arrival of its first part at a store. Any time window may contain at most rate x window + burst
// admissions; for limits on open scans, at most that many may be open at once.
func (w *World) limitsKept() {
	for _, l := range w.Fleet.Limits {
		spans := map[string][]rig.Span{}
		for _, scan := range w.Judge.reached {
			key := map[string]string{"tenant": scan.tenant}[l.For]
			spans[key] = append(spans[key], rig.Span{From: scan.sent, To: scan.at, Ended: scan.ended})
		}
		if l.For == "cell" {
			continue // the broker assigns the cell, so that it can't be checked from outside
		}
		keys := make([]string, 0, len(spans))
		for key := range spans {
			keys = append(keys, key)
		}
		slices.Sort(keys)
		for _, key := range keys {
			excess := rig.MaxOpen(spans[key]) - float64(l.Open)
			if l.Open == 0 {
				excess = rig.Excess(spans[key], l.Rate/1000, l.Burst)
			}
			if excess > 1e-6 {
				w.Judge.breach(w.now, RuleLimit, nil, "%s %s: %.1f scans more than it allows", l.Name, key, excess)
			}
		}
	}
}

// verdictMember runs a broker's member of the shared verdicts on stores in virtual time. Methods of a nil verdictMember do
// nothing.
type holder struct {
	w     *World
	s     *seat
	boot  int
	core  *verdicts.Core
	dueAt float64 // time of the next scheduled step; +Inf: none is scheduled
}

// startVerdicts creates the verdictMember of a broker that starts, if the fleet shares verdicts and the broker is a real one.
func (w *World) hold(s *seat, seed uint64) {
	c, ok := s.d.(*core.Core)
	if s.verdicts = nil; !ok || !w.Fleet.Verdicts {
		return
	}
	rules := verdicts.DefaultRules()
	rules.Self, rules.Zone, rules.Run = brokerName(s.n), w.Fleet.Zones[s.zone], uint64(s.boot)
	s.verdicts = &holder{w: w, s: s, boot: s.boot, dueAt: math.Inf(1), core: verdicts.New(rules, rand.New(rand.NewPCG(seed, 0x7e2d)).Float64)}
	var view verdicts.View
	for i := range w.Fleet.Brokers {
		if i != s.n {
			view.Living = append(view.Living, verdicts.Member{Name: brokerName(i), Zone: w.Fleet.Zones[i%len(w.Fleet.Zones)]})
		}
	}
	c.ReportOutcomes()
	s.verdicts.list(c.ReportList())
	s.verdicts.step(view)
}

// setNodes passes the broker's node list to the member.
func (m *holder) list(nodes core.NodeList) {
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
func (m *holder) step(in ...verdicts.Input) {
	if m == nil || !m.s.up || m.s.boot != m.boot {
		return
	}
	m.dueAt = math.Inf(1)
	for _, out := range m.core.Step(m.w.now, in) {
		switch v := out.(type) {
		case verdicts.Send:
			for _, recipient := range m.w.seats {
				if brokerName(recipient.n) == v.To {
					m.w.between(m.s, recipient, func() { recipient.verdicts.step(verdicts.Received{From: brokerName(m.s.n), Message: v.Message}) })
				}
			}
		case verdicts.Verdict:
			m.w.tell(m.s, m.boot, broker.ToNodeVerdict(v))
		}
	}
	if at := max(m.core.Due(), m.w.now); !math.IsInf(at, 1) {
		m.dueAt = at
		m.w.q.push(at, func() {
			if m.dueAt == at && !m.s.paused {
				m.step()
			}
		})
	}
}

// broadcastNote sends a note of a broker's decision module to all other brokers.
func (w *World) noteAll(from *seat, note []byte) {
	for _, s := range w.seats {
		if s.n != from.n {
			w.between(from, s, func() { w.tell(s, s.boot, core.PeerNote{Note: note}) })
		}
	}
}
