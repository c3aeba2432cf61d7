package cluster

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/peerlink"
	"gullstair/internal/register"
)

const (
	roundTimeout   = 900 * time.Millisecond // an attempt that found no majority by then is given up
	backoffLeast   = 10 * time.Millisecond
	backoffMost    = 150 * time.Millisecond
	keepEvery      = 500 * time.Millisecond  // between looks at values in doubt and at the members
	joinPatience   = 2500 * time.Millisecond // a newcomer waits so long for a lost replica whose place it can take
	removeAfter    = 5 * time.Second         // a replica that nobody has reached for so long is taken out
	leastToRemove  = 4                       // of as many replicas one may be taken out
	settleTries    = 10                      // looks at the value on the disk after a restart,
	settleSpacing  = 25 * time.Millisecond   // and what lies between two of them at least
	spreadDeadline = 400 * time.Millisecond  // how long the proposer waits for a chosen value to be known to all
)

// ErrNoQuorum says that no majority of the register's replicas answered in time.
var ErrNoQuorum = errors.New("no majority of the register's replicas answered")

// ErrNoMembers says that this broker does not know yet who holds the register.
var ErrNoMembers = errors.New("the register's replicas are not known yet")

// errOutrun says that a newer attempt stands in the way.
var errOutrun = errors.New("a newer attempt stands in the way")

// Known is the newest chosen value that this broker has, and a channel that is closed when there is a newer one.
func (n *Node) Known() (register.Known, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.known, n.changed
}

// Change makes the register's next value from its present one. The error is that of the change, after the present
// value was made sure of, or says why nothing is certain. When the value is chosen it is spread before Change returns.
func (n *Node) Change(ctx context.Context, change func(payload []byte) (next []byte, err error)) (register.Value, error) {
	return n.propose(ctx, func(present register.Value) (register.Value, bool, error) {
		next, err := change(present.Payload)
		if err != nil {
			return present, true, err
		}
		if next == nil {
			return present, true, nil
		}
		return register.Value{Sequence: present.Sequence + 1, Members: present.Members, Payload: next}, true, nil
	})
}

// propose tries until a value is chosen or the context ends. Attempts of one broker follow each other.
func (n *Node) propose(ctx context.Context, change register.Change) (register.Value, error) {
	if !n.takeTurn(ctx) {
		return register.Value{}, ErrNoQuorum
	}
	defer n.endTurn()
	backoff := backoffLeast
	for {
		known, _ := n.Known()
		members := known.Value.Members
		if len(members.Sets) == 0 {
			return register.Value{}, ErrNoMembers
		}
		value, err := n.round(ctx, members, known, change)
		if !errors.Is(err, errOutrun) {
			return value, err
		}
		select {
		case <-ctx.Done():
			return register.Value{}, ErrNoQuorum
		case <-time.After(time.Duration(float64(backoff) * (0.5 + rand.Float64()))):
		}
		backoff = min(2*backoff, backoffMost)
	}
}

// takeTurn waits until no other attempt of this broker is under way; false: the context ended first.
func (n *Node) takeTurn(ctx context.Context) bool {
	select {
	case n.proposing <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (n *Node) endTurn() { <-n.proposing }

// answer is what one replica said.
type answer struct {
	promise  *register.Promise
	accepted *register.Accepted
}

// round makes one attempt. A chosen value that is newer than what is known is spread before it returns.
func (n *Node) round(ctx context.Context, members register.Members, known register.Known, change register.Change) (register.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	r := register.NewRound(n.nextBallot(known.Ballot), members, known, change)
	answers := make(chan answer, 64)
	ask := func(m peerlink.Message, to register.Replica) { go n.ask(ctx, m, to, answers) }
	for _, m := range r.Prepares() {
		ask(peerlink.Message{Prepare: &m}, m.To)
	}
	for r.Phase == register.Preparing || r.Phase == register.Accepting {
		select {
		case <-ctx.Done():
			return register.Value{}, ErrNoQuorum
		case a := <-answers:
			if a.accepted != nil {
				r.Accepted(*a.accepted)
				continue
			}
			accepts := r.Promise(*a.promise)
			for _, m := range accepts {
				ask(peerlink.Message{Accept: &m}, m.To)
			}
			for _, m := range r.Prepares() {
				ask(peerlink.Message{Prepare: &m}, m.To)
			}
		}
	}
	n.met(r.Highest)
	switch r.Phase {
	case register.Outrun:
		return register.Value{}, errOutrun
	case register.Refused:
		return register.Value{}, r.Err
	}
	if len(members.Sets) > 0 && members.Last()[0].Disk != foundingDisk {
		n.spread(register.Known{Ballot: r.Ballot, Value: r.Value})
	}
	return r.Value, r.Err
}

// spread has all members that are alive take a chosen value, so that it outlasts the broker that made it.
func (n *Node) spread(known register.Known) {
	present, _ := n.Known()
	if len(present.Value.Members.Sets) > 0 && known.Value.Sequence <= present.Value.Sequence {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), spreadDeadline)
	defer cancel()
	n.PublishEverywhere(ctx, recordOf(known))
}

// ask sends one message of a round to one replica, which may be this broker's own.
func (n *Node) ask(ctx context.Context, m peerlink.Message, to register.Replica, answers chan<- answer) {
	var reply *peerlink.Message
	if to.Address == n.self.IP {
		reply = n.handle(&m)
	} else {
		var err error
		if reply, err = n.client.Call(ctx, n.settings.PeerAddress(to.Address), m); err != nil {
			n.unreached(to.Address)
			return
		}
		n.reached(to.Address)
	}
	if reply.Promise != nil || reply.Accepted != nil {
		answers <- answer{promise: reply.Promise, accepted: reply.Accepted}
	}
}

func (n *Node) unreached(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, known := n.unheard[ip]; !known {
		n.unheard[ip] = time.Now()
	}
}

func (n *Node) reached(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.unheard, ip)
}

// nextBallot is above all that this broker has met. Its proposer number was drawn at the start of the process.
func (n *Node) nextBallot(known register.Ballot) register.Ballot {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.highest.Counter = max(n.highest.Counter, known.Counter, firstBallot.Counter) + 1
	return register.Ballot{Counter: n.highest.Counter, Proposer: n.proposer}
}

func (n *Node) met(b register.Ballot) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.highest.Counter = max(n.highest.Counter, b.Counter)
}

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
		go n.found(ctx)
	}
	n.settleFirst(ctx)
	n.every(ctx, keepEvery, func(ctx context.Context) {
		n.settleDoubt(ctx)
		n.keepMembers(ctx)
	})
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
	if _, err := n.round(ctx, accepted.Value.Members, accepted, keep); err != nil {
		n.logger.Info().Err(err).Msg("a value in doubt is not settled yet")
	}
}

// Current says whether no value newer than the known one can have been chosen: a majority of each set holds none.
func (n *Node) Current(ctx context.Context) bool {
	known, _ := n.Known()
	if len(known.Value.Members.Sets) == 0 {
		return false
	}
	look := n.look(ctx, known, (*register.Look).Done)
	return look.Done() && look.Current()
}

// look asks the replicas what they hold until that is enough, or none is left to answer.
func (n *Node) look(ctx context.Context, known register.Known, enough func(*register.Look) bool) *register.Look {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	look := register.NewLook(known)
	asked := look.Inspections()
	answers := make(chan answer, len(asked))
	for _, m := range asked {
		go n.ask(ctx, peerlink.Message{Prepare: &m}, m.To, answers)
	}
	for range asked {
		select {
		case <-ctx.Done():
			return look
		case a := <-answers:
			if look.Take(*a.promise); enough(look) {
				return look
			}
		}
	}
	return look
}

// keepMembers finishes a change of the members, has this replica join them, and takes out one that is lost.
func (n *Node) keepMembers(ctx context.Context) {
	known, _ := n.Known()
	members := known.Value.Members
	switch {
	case len(members.Sets) == 0:
		return
	case members.Moving():
		n.changeMembers(ctx, "the change of the replicas ends", func(m register.Members) register.Members {
			if !m.Moving() {
				return m
			}
			return register.Members{Sets: [][]register.Replica{m.Last()}}
		})
	case !members.Has(n.replica.id()):
		n.join(ctx, members)
	default:
		n.removeLost(ctx, members)
	}
}

// join takes the place of an earlier disk of this machine, or that of a lost replica; else it is added.
func (n *Node) join(ctx context.Context, members register.Members) {
	self := n.replica.id()
	place := slices.IndexFunc(members.Last(), func(r register.Replica) bool { return r.Address == self.Address })
	if place < 0 {
		place = slices.IndexFunc(members.Last(), func(r register.Replica) bool { return n.lostFor(r.Address) > unreachedAfter })
	}
	if place < 0 && time.Since(n.started) < joinPatience {
		n.probe(ctx, members)
		return
	}
	var gone register.Replica
	if place >= 0 {
		gone = members.Last()[place]
	}
	n.changeMembers(ctx, "this replica joins", func(m register.Members) register.Members {
		if m.Moving() || m.Has(self) {
			return m
		}
		next := slices.DeleteFunc(slices.Clone(m.Last()), func(r register.Replica) bool { return r == gone || r.Address == self.Address })
		return m.Joint(append(next, self))
	})
}

// removeLost takes a replica out that nobody reaches, where enough stay. It joins again when it is back.
func (n *Node) removeLost(ctx context.Context, members register.Members) {
	n.probe(ctx, members)
	if len(members.Last()) < leastToRemove {
		return
	}
	place := slices.IndexFunc(members.Last(), func(r register.Replica) bool { return n.lostFor(r.Address) > removeAfter })
	if place < 0 {
		return
	}
	gone := members.Last()[place]
	n.changeMembers(ctx, "a lost replica is taken out", func(m register.Members) register.Members {
		if m.Moving() || !m.Has(gone) || len(m.Last()) < leastToRemove {
			return m
		}
		return m.Joint(slices.DeleteFunc(slices.Clone(m.Last()), func(r register.Replica) bool { return r == gone }))
	})
}

// probe finds out which replicas can be reached.
func (n *Node) probe(ctx context.Context, members register.Members) {
	alive := map[string]bool{}
	for _, member := range n.Members() {
		alive[member.IP] = true
	}
	for _, r := range members.Last() {
		if r.Address == n.self.IP {
			continue
		}
		if alive[r.Address] {
			n.reached(r.Address)
		} else {
			n.unreached(r.Address)
		}
	}
}

func (n *Node) lostFor(ip string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	since, lost := n.unheard[ip]
	if !lost {
		return 0
	}
	return time.Since(since)
}

// changeMembers proposes a change of the members; one that changes nothing is not proposed.
func (n *Node) changeMembers(ctx context.Context, what string, change func(register.Members) register.Members) {
	value, err := n.propose(ctx, func(present register.Value) (register.Value, bool, error) {
		next := change(present.Members)
		if slices.EqualFunc(next.Sets, present.Members.Sets, func(a, b []register.Replica) bool { return slices.Equal(a, b) }) {
			return present, true, nil
		}
		return register.Value{Sequence: present.Sequence + 1, Members: next, Payload: present.Payload}, true, nil
	})
	if err != nil {
		n.logger.Info().Err(err).Msg(what + ", but not yet")
		return
	}
	n.logger.Info().Int("replicas", len(value.Members.Last())).Msg(what)
}
