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

// RuleLimit: what clients got passed a strict limit of the fleet.
const RuleLimit = "a limit of the fleet passed"

// FleetLimit is a limit that holds for all brokers together, as the features document has it.
type FleetLimit struct {
	Name        string
	For         string // fleet, cell or tenant
	Rate, Burst float64
	Open        int
	Term        float64 // ms
}

func (l FleetLimit) shared() shares.Limit {
	if l.Open > 0 {
		return shares.Limit{Name: l.Name, Kind: shares.Stock, Size: float64(l.Open), Term: l.Term}
	}
	return shares.Limit{Name: l.Name, Size: l.Rate, Burst: l.Burst, Term: l.Term}
}

// document is the limit's block of a features document.
func (l FleetLimit) document() string {
	size := fmt.Sprintf("open_scans = %d", l.Open)
	if l.Open == 0 {
		size = fmt.Sprintf("scans_per_s = %g\n  burst = %g", l.Rate, l.Burst)
	}
	return fmt.Sprintf("limit %q {\n  for = %q\n  %s\n  term = \"%gms\"\n}\n", l.Name, l.For, size, l.Term)
}

const limitDrift = 0.01 // that the emulated brokers are told of their clocks

// limiter is a broker's share of the fleet's limits in virtual time.
type limiter struct {
	w     *World
	s     *seat
	boot  int
	core  *shares.Core
	dueAt float64
	uses  []shares.Use
}

// limit gives a broker that starts its part of the fleet's limits.
func (w *World) limit(s *seat, seed uint64) {
	c, is := s.d.(*core.Core)
	if s.limits = nil; !is || len(w.Fleet.Limits) == 0 {
		return
	}
	r := shares.Rules{Self: brokerName(s.n), Boot: uint64(s.boot), Drift: limitDrift, Most: 100000, After: w.Fleet.MaxRetryAfter, Loans: true}
	for i := range w.Fleet.Brokers {
		r.Roster = append(r.Roster, brokerName(i))
	}
	var limits []shares.Limit
	for _, l := range w.Fleet.Limits {
		limits = append(limits, l.shared())
	}
	s.limits = &limiter{w: w, s: s, boot: s.boot, dueAt: math.Inf(1), core: shares.New(r, limits, rand.New(rand.NewPCG(seed, 0x11a17)).Float64)}
	c.SetLimiter(s.limits)
	s.limits.step()
}

func brokerName(i int) string { return fmt.Sprintf("broker-%03d", i) }

// asked lists what a scan takes.
func (l *limiter) asked(account, cell string) []shares.Use {
	l.uses = l.uses[:0]
	for i, f := range l.w.Fleet.Limits {
		key := map[string]string{"tenant": account, "cell": cell}[f.For]
		l.uses = append(l.uses, shares.Use{Limit: i, Key: key, Cost: 1})
	}
	return l.uses
}

func (l *limiter) Take(account, cell string, _, lasts float64) core.LimitDecision {
	return l.rule(l.core.Take(l.w.now, l.asked(account, cell), lasts+slack))
}

func (l *limiter) Retry(account, cell string, _, lasts float64) core.LimitDecision {
	return l.rule(l.core.Again(l.w.now, l.asked(account, cell), lasts+slack))
}

func (l *limiter) rule(v shares.Verdict) core.LimitDecision {
	l.plan()
	if v.Taken {
		return core.LimitDecision{Admitted: true}
	}
	return core.LimitDecision{Why: "the fleet's limit " + l.w.Fleet.Limits[v.Limit].Name, RetryAfter: v.After, Wait: v.Wait}
}

// Left and Further: the emulated fleet has no budget of further dispatches but each broker's own.
func (l *limiter) FleetBudget() float64 { return math.Inf(1) }
func (l *limiter) TakeFurther() bool    { return true }

func (l *limiter) Done(account, cell string, _ float64) {
	l.core.Done(l.w.now, l.asked(account, cell))
}

// plan has it stepped when it is due.
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

func (l *limiter) lives() bool { return l.s.up && l.s.boot == l.boot }

func (l *limiter) step(in ...shares.Input) {
	l.dueAt = math.Inf(1)
	for _, out := range l.core.Step(l.w.now, in) {
		for _, s := range l.w.seats {
			if brokerName(s.n) == out.To {
				l.w.between(l.s, s, func() {
					if s.limits != nil && s.limits.lives() {
						for _, m := range out.Messages {
							s.limits.step(shares.Received{From: brokerName(l.s.n), Message: m})
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

// between carries a datagram from one broker to another: lost, late, or there. One that stands still gets it when it wakes.
func (w *World) between(from, to *seat, arrive func()) {
	ms, lost := w.way(from.zone, to.zone)
	if lost || from.n == to.n || w.net.apart[[2]int{from.n, to.n}] || w.net.brokerLoss > 0 && w.rnd.Float64() < w.net.brokerLoss {
		return
	}
	w.at(ms, func() { w.arriveAt(to, to.boot, arrive) })
}

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

const mailMost = 512 // datagrams that wait for a broker that stands still, as in its socket

// wakeMail gives a broker that stood still what waited for it.
func (w *World) wakeMail(s *seat) {
	mail := s.mail
	s.mail = nil
	for _, arrive := range mail {
		arrive()
	}
	if s.limits != nil && s.limits.lives() {
		s.limits.step()
	}
	s.verdicts.step()
}

// splitBrokers keeps a share of the brokers and the others apart; size above 0: one way only.
func (w *World) splitBrokers(f Fault) func() {
	side := map[int]bool{}
	var names []string
	for _, s := range w.brokers(f) {
		side[s.n] = true
		names = append(names, brokerName(s.n))
	}
	w.Notes = append(w.Notes, fmt.Sprint("           ", names))
	var cut [][2]int
	for a := range w.seats {
		for b := range w.seats {
			if side[a] != side[b] && (f.Kind == "broker_split" || side[a]) {
				cut = append(cut, [2]int{a, b})
				w.net.apart[[2]int{a, b}] = true
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

// limitsKept judges the fleet's limits by what reached stores: a scan counts from when its client sent it to when a store had the first of it, and in every
// window there may be rate x window + burst of them, or so many open.
func (w *World) limitsKept() {
	for _, l := range w.Fleet.Limits {
		of := map[string][]rig.Span{}
		for _, x := range w.Judge.reached {
			key := map[string]string{"tenant": x.tenant}[l.For]
			of[key] = append(of[key], rig.Span{From: x.sent, To: x.at, Ended: x.ended})
		}
		if l.For == "cell" {
			continue // which cell a scan had is the broker's to say
		}
		keys := make([]string, 0, len(of))
		for k := range of {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		for _, k := range keys {
			over := rig.MaxOpen(of[k]) - float64(l.Open)
			if l.Open == 0 {
				over = rig.Excess(of[k], l.Rate/1000, l.Burst)
			}
			if over > 1e-6 {
				w.Judge.breach(w.now, RuleLimit, nil, "%s %s: %.1f scans more than it allows", l.Name, k, over)
			}
		}
	}
}

// holder is a broker's part of the fleet's verdicts on stores, in virtual time. A nil one does nothing.
type holder struct {
	w     *World
	s     *seat
	boot  int
	core  *verdicts.Core
	dueAt float64
}

// hold gives a broker that starts its part of the fleet's verdicts.
func (w *World) hold(s *seat, seed uint64) {
	c, is := s.d.(*core.Core)
	if s.verdicts = nil; !is || !w.Fleet.Verdicts {
		return
	}
	r := verdicts.DefaultRules()
	r.Self, r.Zone, r.Run = brokerName(s.n), w.Fleet.Zones[s.zone], uint64(s.boot)
	s.verdicts = &holder{w: w, s: s, boot: s.boot, dueAt: math.Inf(1), core: verdicts.New(r, rand.New(rand.NewPCG(seed, 0x7e2d)).Float64)}
	var v verdicts.View
	for i := range w.Fleet.Brokers {
		if i != s.n {
			v.Living = append(v.Living, verdicts.Member{Name: brokerName(i), Zone: w.Fleet.Zones[i%len(w.Fleet.Zones)]})
		}
	}
	c.ReportOutcomes()
	s.verdicts.list(c.ReportList())
	s.verdicts.step(v)
}

func (h *holder) list(l core.NodeList) {
	if h == nil {
		return
	}
	var s verdicts.Stores
	for _, n := range l.Nodes {
		s.All = append(s.All, verdicts.Store{Name: n.Host, Set: n.Cell, Born: n.Born, Ready: n.Readiness == logic.Ready})
	}
	h.step(s)
}

func (h *holder) step(in ...verdicts.Input) {
	if h == nil || !h.s.up || h.s.boot != h.boot {
		return
	}
	h.dueAt = math.Inf(1)
	for _, o := range h.core.Step(h.w.now, in) {
		switch v := o.(type) {
		case verdicts.Send:
			for _, s := range h.w.seats {
				if brokerName(s.n) == v.To {
					h.w.between(h.s, s, func() { s.verdicts.step(verdicts.Received{From: brokerName(h.s.n), Message: v.Message}) })
				}
			}
		case verdicts.Verdict:
			h.w.tell(h.s, h.boot, broker.ToNodeVerdict(v))
		}
	}
	if at := max(h.core.Due(), h.w.now); !math.IsInf(at, 1) {
		h.dueAt = at
		h.w.q.push(at, func() {
			if h.dueAt == at && !h.s.paused {
				h.step()
			}
		})
	}
}

// noteAll carries a module's note to all other brokers.
func (w *World) noteAll(from *seat, note []byte) {
	for _, s := range w.seats {
		if s.n != from.n {
			w.between(from, s, func() { w.tell(s, s.boot, core.PeerNote{Note: note}) })
		}
	}
}
