package broker

import (
	"fmt"
	"net/url"
	"slices"
	"time"

	"gullstair/internal/core"
	"gullstair/internal/memberstate"
	"gullstair/internal/verdicts"
	"gullstair/logic"
)

// verdictStores converts the node list for package verdicts.
func verdictStores(nodes []core.Node) (s verdicts.Stores) {
	for _, n := range nodes {
		s.All = append(s.All, verdicts.Store{Name: n.Host, Set: n.Cell, Born: n.Born, Ready: n.Readiness == logic.Ready})
	}
	return s
}

// offerOutcome passes an outcome of a store to the sharing actor. The core's actor calls it; it never blocks.
func (s *sharingState) offerOutcome(j core.OutcomeReport) {
	if s != nil {
		s.actor.TrySend(verdicts.Outcome{Store: j.Host, Kind: ToVerdictKind(j)})
	}
}

// offerRefusal passes a tenant that a limit refused to the sharing actor. The core's actor calls it; it never blocks.
// Each tenant is reported once per refusalInterval, so that busy tenants do not flood the sharing actor.
func (s *sharingState) offerRefusal(h core.ScanRefused) {
	if s == nil {
		return
	}
	now := s.now()
	if now >= s.reportedSince+refusalInterval || len(s.reportedTenants) >= maxRefusedTenants {
		s.reportedTenants, s.reportedSince = map[string]bool{}, now
	}
	if s.reportedTenants[h.Account] {
		return
	}
	s.reportedTenants[h.Account] = true
	s.actor.TrySend(verdicts.TenantThrottled{Tenant: h.Account, Why: h.Why})
}

const (
	refusalInterval   = 100.0 // ms in which a tenant is reported once
	maxRefusedTenants = 1000
)

// ToVerdictKind converts an outcome to the kind of verdict that the brokers exchange.
func ToVerdictKind(j core.OutcomeReport) verdicts.Kind {
	if j.Late {
		return verdicts.Slow
	}
	return map[logic.Outcome]verdicts.Kind{logic.Completed: verdicts.Well, logic.Errored: verdicts.Fails, logic.Overdue: verdicts.Silent, logic.Saturated: verdicts.Full}[j.Outcome]
}

// ToNodeVerdict converts a verdict for the decision module.
func ToNodeVerdict(v verdicts.Verdict) core.NodeVerdict {
	h := core.NodeVerdict{Host: v.Store, Outcome: logic.Errored, Age: v.Age, Drained: v.Drain}
	switch {
	case v.Kind == verdicts.Well && v.Was < verdicts.Fails:
		// Only a drain has changed, or an overload has ended, which expires in the module by itself. Reported as a recovery
		// it would re-enable a node that fails for this broker.
		h.Outcome = 0
	case v.Kind == verdicts.Well:
		h.Outcome = logic.Completed
	case v.Kind == verdicts.Full || v.Kind == verdicts.Slow:
		h.Outcome = logic.Saturated
	}
	return h
}

// offerNote passes a note of the module to the sharing actor. The core's actor calls it; it never blocks.
func (s *sharingState) offerNote(note []byte) {
	if s != nil {
		s.actor.TrySend(memberstate.Note{Data: slices.Clone(note)})
	}
}

// applyVerdict passes the fleet's verdict on a store to the module. The sharing actor calls it.
func (s *sharingState) applyVerdict(v verdicts.Verdict) {
	s.b.put(ToNodeVerdict(v))
}

// orderVerdict executes an operator's order to drain, rest or clear a store.
func (s *sharingState) orderVerdict(q url.Values) error {
	v := verdicts.Set{Store: q.Get("store"), Reason: q.Get("reason"), Do: verdicts.Do(q.Get("do"))}
	if v.Store == "" || len(v.Store) > 120 {
		return fmt.Errorf("the store's name must have 1 to 120 bytes")
	}
	if !slices.Contains([]verdicts.Do{verdicts.Drain, verdicts.Rest, verdicts.Clear}, v.Do) {
		return fmt.Errorf("%q is not drain, rest or clear", v.Do)
	}
	span, err := time.ParseDuration(q.Get("for"))
	if err != nil || span < 0 || span > 30*24*time.Hour {
		return fmt.Errorf("for %q is not a duration from 0s to 720h", q.Get("for"))
	}
	if len(v.Reason) > 200 {
		return fmt.Errorf("the reason must not exceed 200 bytes")
	}
	v.For = ms64(span)
	s.actor.Send(v)
	return nil
}
