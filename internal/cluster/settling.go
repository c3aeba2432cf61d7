package cluster

import (
	"context"
	"math/rand/v2"
	"time"

	"gullstair/internal/lifecycle"
	"gullstair/internal/register"
)

const (
	maintenanceInterval = 500 * time.Millisecond // interval between checks of undecided values, of the replica and of the voters
	settleAttempts      = 10                     // maximum number of checks of the stored value after a restart
	settleSpacing       = 25 * time.Millisecond  // minimum delay between two of them
)

// runReplica maintains this machine's replica: it founds the register if needed, settles values whose outcome is
// unknown, learns chosen values, and manages the voters.
func (n *Node) runReplica(ctx context.Context) {
	if n.replica == nil {
		return
	}
	if known := n.replica.accepted(); len(known.Value.Members.Sets) > 0 {
		n.mu.Lock()
		n.addMembersToView(known.Value.Members)
		n.mu.Unlock()
	} else if seeds := n.foundingSeeds(); seeds != nil {
		lifecycle.Go(func() { n.markUntilDurable(ctx) })
		lifecycle.Go(func() { n.foundRegister(ctx, seeds) })
	} else {
		lifecycle.Go(func() { n.joinFounding(ctx) })
	}
	lifecycle.Go(func() { n.learnValues(ctx) })
	n.settleAtStart(ctx)
	lifecycle.Go(func() { n.repeat(ctx, maintenanceInterval, n.settleUndecided) })
	n.manageVoters(ctx)
}

// learnValues makes the replica store each chosen value, whether the replica votes or not. A voter that missed an
// Accept catches up without waiting for a change, and a learner is ready to become a voter.
func (n *Node) learnValues(ctx context.Context) {
	for {
		known, changed := n.Known()
		wait := time.NewTimer(time.Hour)
		if err := n.replica.learn(known); err != nil {
			wait.Reset(maintenanceInterval) // its disk is full or stalls
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

// addMembersToView gives a restarted replica peers before it knows the chosen value.
func (n *Node) addMembersToView(members register.Members) {
	for _, set := range members.Sets {
		for _, replica := range set {
			n.view.Add(replica.Address)
		}
	}
}

// settleAtStart checks soon after a restart whether the value on the disk is chosen.
func (n *Node) settleAtStart(ctx context.Context) {
	for range settleAttempts {
		accepted := n.replica.accepted()
		if len(accepted.Value.Members.Sets) == 0 || ctx.Err() != nil || n.registerKnown() {
			return
		}
		if n.inspect(ctx, accepted, (*register.QuorumRead).Chosen).Chosen() {
			n.publishKnown(accepted)
			return
		}
		time.Sleep(settleSpacing + time.Duration(rand.Int64N(int64(settleSpacing))))
	}
}

// settleUndecided runs a round for the value that this replica accepted, if no peer has reported for a while that it
// is chosen.
func (n *Node) settleUndecided(ctx context.Context) {
	accepted := n.replica.accepted()
	known, _ := n.Known()
	if len(accepted.Value.Members.Sets) == 0 || len(known.Value.Members.Sets) > 0 && accepted.Value.Sequence <= known.Value.Sequence {
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(time.Duration(rand.Int64N(int64(maintenanceInterval)))):
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
		n.logger.Info().Err(err).Msg("could not settle an undecided value yet")
	}
}
