package cluster

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/lifecycle"
	"gullstair/internal/peerlink"
	"gullstair/internal/register"
)

const (
	roundTimeout   = 900 * time.Millisecond // deadline of an attempt to reach a majority
	minBackoff     = 10 * time.Millisecond
	maxBackoff     = 150 * time.Millisecond
	spreadDeadline = 400 * time.Millisecond // maximum wait of the proposer for all brokers to confirm a chosen value
	callRetryDelay = 40 * time.Millisecond  // first retry delay after a connection broke; it doubles each time
	readTimeout    = 900 * time.Millisecond // deadline of a read of the newest value
)

// ErrNoQuorum means that no majority of the register's replicas answered in time.
var ErrNoQuorum = errors.New("no majority of the register's replicas answered")

// ErrNoMembers means that this broker does not know yet which replicas hold the register.
var ErrNoMembers = errors.New("the register's replicas are not known yet")

// errSuperseded means that an acceptor has promised a higher ballot than that of the attempt.
var errSuperseded = errors.New("a newer attempt has a higher ballot")

// Known returns the newest chosen value that this broker has, and a channel that is closed when a newer one arrives.
func (n *Node) Known() (register.Known, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.known, n.knownChanged
}

// Change derives the register's next value from its present one. It returns the error of change, once the present
// value is confirmed by a quorum, or an error that leaves the outcome unknown. A chosen value is disseminated before
// Change returns.
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

// propose repeats attempts until a value is chosen or the context ends. Attempts of one broker run one after another.
func (n *Node) propose(ctx context.Context, change register.Change) (register.Value, error) {
	queuedAt := time.Now()
	if !n.takeTurn(ctx) {
		return register.Value{}, ErrNoQuorum
	}
	defer n.endTurn()
	backoff := minBackoff
	for {
		known, _ := n.Known()
		members := known.Value.Members
		if len(members.Sets) == 0 {
			return register.Value{}, ErrNoMembers
		}
		if n.failedSince(queuedAt) {
			return register.Value{}, ErrNoQuorum
		}
		value, err := n.round(ctx, members, known, change)
		if !errors.Is(err, errSuperseded) {
			return value, err
		}
		select {
		case <-ctx.Done():
			return register.Value{}, ErrNoQuorum
		case <-time.After(time.Duration(float64(backoff) * (0.5 + rand.Float64()))):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// takeTurn waits until no other attempt of this broker is in progress. It returns false if the context ends first.
func (n *Node) takeTurn(ctx context.Context) bool {
	select {
	case n.proposalTurn <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (n *Node) endTurn() { <-n.proposalTurn }

// failedSince reports whether an attempt that began after the given time found no majority. A proposal that was queued
// behind such an attempt fails with it and does not try again.
func (n *Node) failedSince(start time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastFailedAttempt.After(start)
}

func (n *Node) recordFailedAttempt(begun time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if begun.After(n.lastFailedAttempt) {
		n.lastFailedAttempt = begun
	}
}

// answer is the reply of one replica.
type answer struct {
	promise  *register.Promise
	accepted *register.Accepted
}

// round makes one attempt. A chosen value that is newer than the known one is disseminated before round returns.
func (n *Node) round(ctx context.Context, members register.Members, known register.Known, change register.Change) (register.Value, error) {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	r := register.NewRound(n.nextBallot(known.Ballot), members, known, change)
	answers := make(chan answer, 64)
	send := func(m peerlink.Message, to register.Replica) {
		lifecycle.Go(func() { n.callReplica(ctx, m, to, answers) })
	}
	for _, m := range r.Prepares() {
		send(peerlink.Message{Prepare: &m}, m.To)
	}
	for r.Phase == register.Preparing || r.Phase == register.Accepting {
		select {
		case <-ctx.Done():
			n.recordFailedAttempt(begun)
			return register.Value{}, ErrNoQuorum
		case a := <-answers:
			if a.accepted != nil {
				r.Accepted(*a.accepted)
				continue
			}
			accepts := r.Promise(*a.promise)
			for _, m := range accepts {
				send(peerlink.Message{Accept: &m}, m.To)
			}
			for _, m := range r.Prepares() {
				send(peerlink.Message{Prepare: &m}, m.To)
			}
		}
	}
	n.observeBallot(r.Highest)
	switch r.Phase {
	case register.Superseded:
		return register.Value{}, errSuperseded
	case register.Refused:
		return register.Value{}, r.Err
	}
	if len(members.Sets) > 0 && members.Last()[0].Disk != foundingDisk {
		n.spreadChosen(register.Known{Ballot: r.Ballot, Value: r.Value}, r.Holders())
	}
	return r.Value, r.Err
}

// spreadChosen makes all live brokers store a chosen value, so that it survives a crash of its proposer. A value that
// changes only the members is published like other records.
func (n *Node) spreadChosen(known register.Known, holders []string) {
	present, _ := n.Known()
	if len(present.Value.Members.Sets) > 0 && known.Value.Sequence <= present.Value.Sequence {
		return
	}
	if bytes.Equal(known.Value.Payload, present.Value.Payload) {
		n.publishKnown(known)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), spreadDeadline)
	defer cancel()
	n.announce(ctx, known, holders)
}

// callReplica sends one message of a round to one replica, which may be this broker's own. It retries when the
// connection breaks: a replica answers a repeated message with the same ballot in the same way. The first call sends
// the value as a patch on the known one, or accepts a patch in the reply. A replica that cannot use the patch receives
// the value whole.
func (n *Node) callReplica(ctx context.Context, m peerlink.Message, to register.Replica, answers chan<- answer) {
	if to.Address == n.self.IP {
		reply := n.callOwnReplica(m)
		answers <- answer{promise: reply.Promise, accepted: reply.Accepted}
		return
	}
	sent, patched := n.asPatch(m, to)
	if !patched {
		sent = n.asWhole(m, to)
	}
	for wait := callRetryDelay; ; wait *= 2 {
		reply, err := n.client.Call(ctx, n.settings.PeerAddress(to.Address), sent)
		if err == nil && n.unpackReply(reply, to) {
			if m.Prepare != nil && reply.Promise != nil {
				answers <- answer{promise: reply.Promise}
			}
			if m.Accept != nil && reply.Accepted != nil {
				answers <- answer{accepted: reply.Accepted}
			}
			return
		}
		if ctx.Err() != nil {
			return
		}
		if patched {
			sent, patched = n.asWhole(m, to), false
			if err == nil {
				continue
			}
		}
		sent.Has = nil // a patch in the reply cannot be applied here
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// callOwnReplica passes a message of a round to this machine's own replica.
func (n *Node) callOwnReplica(m peerlink.Message) *peerlink.Message {
	if m.Prepare != nil {
		return n.prepareLocally(*m.Prepare)
	}
	return n.acceptLocally(*m.Accept)
}

// nextBallot returns a ballot above all that this broker has seen. The proposer number is random for each process.
func (n *Node) nextBallot(known register.Ballot) register.Ballot {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.highestBallot.Counter = max(n.highestBallot.Counter, known.Counter, firstBallot.Counter) + 1
	return register.Ballot{Counter: n.highestBallot.Counter, Proposer: n.proposerID}
}

func (n *Node) observeBallot(b register.Ballot) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.highestBallot.Counter = max(n.highestBallot.Counter, b.Counter)
}

// Read returns the newest value that can have been chosen. A majority confirms it after the call began; without a
// majority Read returns an error within readTimeout.
func (n *Node) Read(ctx context.Context) (register.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	known, _ := n.Known()
	if len(known.Value.Members.Sets) == 0 {
		return register.Value{}, ErrNoMembers
	}
	begun := time.Now()
	read := n.inspect(ctx, known, (*register.QuorumRead).Done)
	switch {
	case !read.Done():
		n.logger.Info().Uint64("sequence", known.Value.Sequence).Int("answered", read.AnswerCount()).Dur("took", time.Since(begun)).
			Msg("no majority of the replicas answered a read")
		return register.Value{}, ErrNoQuorum
	case read.StillNewest():
		return known.Value, nil
	}
	if newest, chosen := read.NewestChosen(); chosen {
		n.publishKnown(newest)
		return newest.Value, nil
	}
	readDuration := time.Since(begun)
	value, err := n.propose(ctx, func(present register.Value) (register.Value, bool, error) { return present, true, nil })
	n.logger.Info().Err(err).Uint64("sequence", known.Value.Sequence).Uint64("newest", value.Sequence).Dur("looked", readDuration).
		Dur("took", time.Since(begun)).Msg("a read found a newer value that was undecided and completed its round")
	return value, err
}

// VotersCurrent reports whether the voters that this broker knows are the current ones: a majority of them has
// answered after the call, and none of these holds a value with other members. A membership change is first accepted
// by a majority of the previous voters, so every majority contains a voter that knows of it.
func (n *Node) VotersCurrent(ctx context.Context) bool {
	known, _ := n.Known()
	read := n.inspect(ctx, known, (*register.QuorumRead).MajorityAnswered)
	if !read.MajorityAnswered() {
		return false
	}
	highest, found := read.HighestSeen()
	return !found || highest.Members.Equal(known.Value.Members)
}

// inspect queries the replicas for the values that they hold, until enough reports true or every replica has answered.
func (n *Node) inspect(ctx context.Context, known register.Known, enough func(*register.QuorumRead) bool) *register.QuorumRead {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	read := register.NewQuorumRead(known)
	requests := read.Requests()
	answers := make(chan answer, len(requests))
	for _, m := range requests {
		lifecycle.Go(func() { n.callReplica(ctx, peerlink.Message{Prepare: &m}, m.To, answers) })
	}
	for range requests {
		select {
		case <-ctx.Done():
			return read
		case a := <-answers:
			if read.Receive(*a.promise); enough(read) {
				return read
			}
		}
	}
	return read
}
