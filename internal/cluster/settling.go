package cluster

import (
	"context"
	"math/rand/v2"
	"time"

	"gullstair/internal/register"
)

const (
	keepEvery     = 500 * time.Millisecond // between looks at values in doubt, at the replica and at the voters
	settleTries   = 10                     // looks at the value on the disk after a restart,
	settleSpacing = 25 * time.Millisecond  // and what lies between two of them at least
)

// keepRegister looks after this machine's replica: it takes part in the founding, makes sure of values in doubt, and
// has the replica join the members.
func (n *Node) keepRegister(ctx context.Context) {
	if n.replica == nil {
		return
	}
	if known := n.replica.accepted(); len(known.Value.Members.Sets) > 0 {
		n.mu.Lock()
		n.hint(known.Value.Members)
		n.mu.Unlock()
	} else if n.settings.Bootstrap {
		if n.replica.empty && n.replica.mark() == nil {
			n.founding.activate()
		}
		go n.found(ctx)
	}
	go n.learnValues(ctx)
	n.settleFirst(ctx)
	go n.every(ctx, keepEvery, n.settleDoubt)
	n.keepVoters(ctx)
}

// learnValues has the replica hold each value that is known to be chosen, whether it votes or not: a voter that missed
// the accepts catches up without waiting for a change, a learner is ready to take a seat.
func (n *Node) learnValues(ctx context.Context) {
	for {
		known, changed := n.Known()
		wait := time.NewTimer(time.Hour)
		if err := n.replica.learn(known); err != nil {
			wait.Reset(keepEvery) // its disk is full, or stalls
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-wait.C:
		}
		wait.Stop()
	}
}

// hint gives a restarted replica someone to talk to, before it knows what is chosen.
func (n *Node) hint(members register.Members) {
	for _, set := range members.Sets {
		for _, replica := range set {
			n.view.Add(replica.Address)
		}
	}
}

// settleFirst finds out soon after a restart whether the value on the disk is chosen.
func (n *Node) settleFirst(ctx context.Context) {
	for range settleTries {
		accepted := n.replica.accepted()
		if len(accepted.Value.Members.Sets) == 0 || ctx.Err() != nil || n.founded() {
			return
		}
		if n.look(ctx, accepted, (*register.Look).Chosen).Chosen() {
			n.publishKnown(accepted)
			return
		}
		time.Sleep(settleSpacing + time.Duration(rand.Int64N(int64(settleSpacing))))
	}
}

// settleDoubt chooses the value that this replica accepted, if nobody has said for a while that it is chosen.
func (n *Node) settleDoubt(ctx context.Context) {
	accepted := n.replica.accepted()
	known, _ := n.Known()
	if len(accepted.Value.Members.Sets) == 0 || len(known.Value.Members.Sets) > 0 && accepted.Value.Sequence <= known.Value.Sequence {
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(time.Duration(rand.Int64N(int64(keepEvery)))):
	}
	if later, _ := n.Known(); len(later.Value.Members.Sets) > 0 && accepted.Value.Sequence <= later.Value.Sequence {
		return
	}
	keep := func(present register.Value) (register.Value, bool, error) { return present, true, nil }
	if !n.takeTurn(ctx) {
		return
	}
	defer n.endTurn()
	sets := register.Members{Sets: accepted.Value.Quorums()}
	if _, err := n.round(ctx, sets, accepted, keep); err != nil {
		n.logger.Info().Err(err).Msg("a value in doubt is not settled yet")
	}
}
