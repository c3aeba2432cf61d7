package broker

import (
	"fmt"
	"net/url"
	"slices"
	"time"

	"gullstair/internal/core"
	"gullstair/internal/sharing"
	"gullstair/internal/verdicts"
	"gullstair/logic"
)

// stores puts the list into the words of verdicts.
func stores(nodes []core.Node) (s verdicts.Stores) {
	for _, n := range nodes {
		s.All = append(s.All, verdicts.Store{Name: n.Host, Set: n.Cell, Born: n.Born, Ready: n.Readiness == logic.Ready})
	}
	return s
}

// judged passes on what the module counts for or against a store. It is the module's actor's call and never waits.
func (s *shared) judged(j core.Judged) {
	if s != nil {
		s.actor.Offer(verdicts.Saw{Store: j.Host, Kind: Seen(j)})
	}
}

// heldBack passes on whom a limit turned away. It is the module's actor's call and never waits; a tenant that asks much is told of once a second, and what comes in
// between is counted here, so that it does not crowd the sharing actor.
func (s *shared) heldBack(h core.HeldBack) {
	if s == nil {
		return
	}
	now := s.now()
	if now >= s.heldAt+heldEvery || len(s.held) >= heldMost {
		s.held, s.heldAt = map[string]bool{}, now
	}
	if s.held[h.Account] {
		return
	}
	s.held[h.Account] = true
	s.actor.Offer(verdicts.HeldBack{Tenant: h.Account, Why: h.Why})
}

const (
	heldEvery = 100.0 // ms in which a tenant is told of once
	heldMost  = 1000
)

// Seen is what an outcome that the module judged is among the members' words.
func Seen(j core.Judged) verdicts.Kind {
	if j.Late {
		return verdicts.Slow
	}
	return map[logic.Outcome]verdicts.Kind{logic.Completed: verdicts.Well, logic.Errored: verdicts.Fails, logic.Overdue: verdicts.Silent, logic.Saturated: verdicts.Full}[j.Outcome]
}

// Held is a verdict as the module hears of it.
func Held(v verdicts.Verdict) core.Held {
	h := core.Held{Host: v.Store, Outcome: logic.Errored, Age: v.Age, Drained: v.Drain}
	switch {
	case v.Kind == verdicts.Well && v.Was < verdicts.Fails:
		// Only a drain has changed, or a load is over, which the module lets go when it is not told of it again: as a recovery it would let a node work that fails here.
		h.Outcome = 0
	case v.Kind == verdicts.Well:
		h.Outcome = logic.Completed
	case v.Kind == verdicts.Full || v.Kind == verdicts.Slow:
		h.Outcome = logic.Saturated
	}
	return h
}

// tell passes the module's note on. It is the module's actor's call and never waits.
func (s *shared) tell(note []byte) {
	if s != nil {
		s.actor.Offer(sharing.Note{Data: slices.Clone(note)})
	}
}

// verdict brings what the fleet holds of a store to the module. It is the sharing actor's call.
func (s *shared) verdict(v verdicts.Verdict) {
	s.b.put(Held(v))
}

// setVerdict is an operator's order.
func (s *shared) setVerdict(q url.Values) error {
	v := verdicts.Set{Store: q.Get("store"), Reason: q.Get("reason"), Do: verdicts.Do(q.Get("do"))}
	if v.Store == "" || len(v.Store) > 120 {
		return fmt.Errorf("a store's name of 1 to 120 bytes is needed")
	}
	if !slices.Contains([]verdicts.Do{verdicts.Drain, verdicts.Rest, verdicts.Clear}, v.Do) {
		return fmt.Errorf("%q is not drain, rest or clear", v.Do)
	}
	span, err := time.ParseDuration(q.Get("for"))
	if err != nil || span < 0 || span > 30*24*time.Hour {
		return fmt.Errorf("for %q is no time from 0s to 720h", q.Get("for"))
	}
	if len(v.Reason) > 200 {
		return fmt.Errorf("a reason of 200 bytes at most, please")
	}
	v.For = ms64(span)
	s.actor.Give(v)
	return nil
}
