package cluster

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"gullstair/internal/brokerrole"
	"gullstair/internal/lifecycle"
	"gullstair/internal/peerlink"
	"gullstair/internal/register"
	"gullstair/internal/voters"
)

const (
	probeTimeout         = 400 * time.Millisecond
	urgentReviewInterval = 100 * time.Millisecond // interval while some replica does not answer or a change is due
)

// manageVoters completes membership changes and starts those that are due, as long as this replica votes.
func (n *Node) manageVoters(ctx context.Context) {
	var dueSince time.Time
	for ctx.Err() == nil {
		wait := maintenanceInterval
		if n.Votes() && n.Role().Allows(brokerrole.ProposeVoters) {
			unanswered := n.probe(ctx)
			dueSince = n.reviewVoters(ctx, dueSince)
			if unanswered || !dueSince.IsZero() {
				wait = urgentReviewInterval
			}
		}
		select {
		case <-ctx.Done():
		case <-n.reviewRequested:
		case <-time.After(wait):
		}
	}
}

// Role returns this broker's role towards the register.
func (n *Node) Role() brokerrole.State {
	n.mu.Lock()
	leaving, started := n.self.Leaving, len(n.known.Value.Members.Sets) > 0
	n.mu.Unlock()
	switch {
	case !started:
		return brokerrole.Starting
	case leaving:
		return brokerrole.Leaving
	case n.replica == nil:
		return brokerrole.Diskless
	case n.Votes():
		return brokerrole.Voter
	}
	return brokerrole.Learner
}

// Votes reports whether this machine's replica is in one of the sets that the newest value was proposed to.
func (n *Node) Votes() bool {
	if n.replica == nil {
		return false
	}
	known, _ := n.Known()
	return slices.ContainsFunc(known.Value.Quorums(), func(set []register.Replica) bool { return slices.Contains(set, n.replica.id()) })
}

// reviewVoters makes the membership change that is due, if there is one and it is this voter's turn. It returns the time
// since when a change has been due, or zero if none is due.
func (n *Node) reviewVoters(ctx context.Context, dueSince time.Time) time.Time {
	known, _ := n.Known()
	present, learners := n.replicas(known)
	next, due := voters.Plan(present, learners, n.tolerance())
	if !due && !known.Value.Reconfiguring() {
		return time.Time{}
	}
	if dueSince.IsZero() {
		dueSince = time.Now()
	}
	if !voters.IsTurn(present, n.replica.id(), time.Since(dueSince)) {
		return dueSince
	}
	if !known.Value.Reconfiguring() {
		n.changeMembers(ctx, "the voters change", register.Reconfigure(known.Value.Members, next))
	}
	n.completeMembershipChange(ctx)
	return dueSince
}

// completeMembershipChange completes a membership change.
func (n *Node) completeMembershipChange(ctx context.Context) {
	for range 2 { // the first pass reduces the members to the new set, the second proposes the value to that set alone
		known, _ := n.Known()
		if !known.Value.Reconfiguring() {
			return
		}
		if !n.changeMembers(ctx, "a change of the voters goes on", register.CompleteReconfiguration(known.Value)) {
			return
		}
	}
}

func (n *Node) tolerance() voters.Tolerance {
	t := n.settings.Tolerance
	return voters.Tolerance{Machines: t.Machines, Zones: t.Zones, Regions: t.Regions}
}

// replicas describes the voters and the other machines with a disk.
func (n *Node) replicas(known register.Known) (present, learners []voters.Machine) {
	now := time.Now()
	machines := n.machinesWithDisk()
	allKnow := !slices.ContainsFunc(slices.Collect(maps.Values(machines)), func(m Member) bool { return m.Protocol < protocolSections })
	n.mu.Lock()
	defer n.mu.Unlock()
	n.contacts.RecordChosen(voters.Version{Ballot: known.Ballot, Sequence: known.Value.Sequence}, now)
	for _, replica := range known.Value.Members.Last() {
		member := machines[replica.Address]
		present = append(present, n.machine(member, replica, now))
	}
	for address, member := range machines {
		replica := register.Replica{Address: address, Disk: member.Disk}
		if !known.Value.Members.Has(replica) {
			learner := n.machine(member, replica, now)
			learner.Settled = learner.Settled && allKnow // an earlier release would remove the added voter again
			learners = append(learners, learner)
		}
	}
	slices.SortFunc(learners, func(a, b voters.Machine) int { return register.Compare(a.Replica, b.Replica) })
	return present, learners
}

// machine describes one replica. n.mu is held.
func (n *Node) machine(member Member, replica register.Replica, now time.Time) voters.Machine {
	leaving := member.Leaving && member.Disk == replica.Disk
	return voters.Machine{Replica: replica, Zone: member.Zone, Region: member.Region, Health: n.contacts.Health(replica, leaving, now),
		Settled: n.contacts.Settled(replica, now), Departed: n.contacts.Departed(replica, now)}
}

// machinesWithDisk returns the members that hold, or may hold, a replica, by address. It includes members that are
// leaving and members that have not been heard from for a while.
func (n *Node) machinesWithDisk() map[string]Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[string]Member{}
	for _, r := range n.store.OfKind(MemberRecord) {
		if member, ok := r.Body.(Member); ok && member.Core {
			out[member.IP] = member
		}
	}
	if n.self.Core {
		out[n.self.IP] = n.self
	}
	return out
}

// probe queries each replica for its identity and the version of its value. unanswered reports whether some did not
// answer.
func (n *Node) probe(ctx context.Context) (unanswered bool) {
	known, _ := n.Known()
	targets := map[string]bool{}
	for _, address := range known.Value.Members.Addresses() {
		targets[address] = true
	}
	for _, member := range n.Members() {
		if member.Core {
			targets[member.IP] = true
		}
	}
	var wait sync.WaitGroup
	for address := range targets {
		wait.Go(lifecycle.Guard(func() { n.probeOne(ctx, address) }))
	}
	wait.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.contacts.Forget(func(address string) bool { return !targets[address] })
	return n.contacts.AnyTimedOut()
}

func (n *Node) probeOne(ctx context.Context, address string) {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answers := make(chan answer, 1)
	to := register.Replica{Address: address, Disk: anyDisk}
	n.callReplica(ctx, peerlink.Message{Prepare: &register.Prepare{To: to, Probe: true}}, to, answers)
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case a := <-answers:
		if a.promise != nil && a.promise.From.Address == address {
			accepted := voters.Version{Ballot: a.promise.Accepted, Sequence: a.promise.Sequence}
			n.contacts.RecordAnswer(a.promise.From, accepted, time.Now())
			return
		}
	default:
	}
	n.contacts.RecordTimeout(address, begun, time.Now(), probeTimeout)
}

// changeMembers proposes a membership change and reports whether it succeeded.
func (n *Node) changeMembers(ctx context.Context, what string, change register.Change) bool {
	value, err := n.propose(ctx, change)
	if err != nil {
		n.logger.Info().Err(err).Msg(what + ": not done yet")
		return false
	}
	known, _ := n.Known()
	n.logger.Info().Strs("voters", value.Members.Addresses()).Uint64("sequence", value.Sequence).Int("quorums", len(value.Quorums())).
		Uint64("known_sequence", known.Value.Sequence).Int("known_quorums", len(known.Value.Quorums())).Msg(what)
	return true
}
