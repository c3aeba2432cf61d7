package cluster

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/peerlink"
	"gullstair/internal/register"
)

const (
	roundTimeout   = 900 * time.Millisecond // an attempt that found no majority by then is given up
	backoffLeast   = 10 * time.Millisecond
	backoffMost    = 150 * time.Millisecond
	spreadDeadline = 400 * time.Millisecond // how long the proposer waits for a chosen value to be known to all
	askAgain       = 40 * time.Millisecond  // after a connection broke, and twice as long each time
	readTimeout    = 900 * time.Millisecond // a question about the newest value has its answer by then, or none
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
	asked := time.Now()
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
		if n.failedSince(asked) {
			return register.Value{}, ErrNoQuorum
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

// failedSince says whether an attempt that began after this moment found no majority: one that waited for its turn
// behind it has its answer with it.
func (n *Node) failedSince(asked time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.failedAt.After(asked)
}

func (n *Node) failed(begun time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if begun.After(n.failedAt) {
		n.failedAt = begun
	}
}

// answer is what one replica said.
type answer struct {
	promise  *register.Promise
	accepted *register.Accepted
}

// round makes one attempt. A chosen value that is newer than what is known is spread before it returns.
func (n *Node) round(ctx context.Context, members register.Members, known register.Known, change register.Change) (register.Value, error) {
	begun := time.Now()
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
			n.failed(begun)
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
		n.spread(register.Known{Ballot: r.Ballot, Value: r.Value}, r.Holders())
	}
	return r.Value, r.Err
}

// spread has all members that are alive take a chosen value, so that it outlasts the broker that made it. A value that
// changes the members alone goes the ordinary way.
func (n *Node) spread(known register.Known, holders []string) {
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

// ask sends one message of a round to one replica, which may be this broker's own. It is sent again when its connection
// breaks: a replica answers the same message under the same ballot in the same way. The first time a value goes as a patch on
// what is known already, or comes back so; whoever cannot make use of that gets it whole.
func (n *Node) ask(ctx context.Context, m peerlink.Message, to register.Replica, answers chan<- answer) {
	if to.Address == n.self.IP {
		reply := n.answerOwn(m)
		answers <- answer{promise: reply.Promise, accepted: reply.Accepted}
		return
	}
	sent, patched := n.patched(m, to)
	if !patched {
		sent = n.packed(m, to)
	}
	for wait := askAgain; ; wait *= 2 {
		reply, err := n.client.Call(ctx, n.settings.PeerAddress(to.Address), sent)
		if err == nil && n.whole(reply, to) {
			if reply.Promise != nil || reply.Accepted != nil {
				answers <- answer{promise: reply.Promise, accepted: reply.Accepted}
			}
			return
		}
		if ctx.Err() != nil {
			return
		}
		if patched {
			sent, patched = n.packed(m, to), false
			if err == nil {
				continue
			}
		}
		sent.Has = nil // what comes as a patch cannot be made here
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// answerOwn answers a message of a round to this machine's own replica.
func (n *Node) answerOwn(m peerlink.Message) *peerlink.Message {
	if m.Prepare != nil {
		return n.prepareOwn(*m.Prepare)
	}
	return n.acceptOwn(*m.Accept)
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

// Read returns the newest value that can have been chosen. It rests on a majority that was reached after the call; where
// there is none, it says so within readTimeout.
func (n *Node) Read(ctx context.Context) (register.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	known, _ := n.Known()
	if len(known.Value.Members.Sets) == 0 {
		return register.Value{}, ErrNoMembers
	}
	begun := time.Now()
	look := n.look(ctx, known, (*register.Look).Done)
	switch {
	case !look.Done():
		n.logger.Info().Uint64("sequence", known.Value.Sequence).Int("answered", look.Answered()).Dur("took", time.Since(begun)).
			Msg("no majority answered a question for the newest value")
		return register.Value{}, ErrNoQuorum
	case look.Current():
		return known.Value, nil
	}
	if newest, chosen := look.Newest(); chosen {
		n.publishKnown(newest)
		return newest.Value, nil
	}
	looked := time.Since(begun)
	value, err := n.propose(ctx, func(present register.Value) (register.Value, bool, error) { return present, true, nil })
	n.logger.Info().Err(err).Uint64("sequence", known.Value.Sequence).Uint64("newest", value.Sequence).Dur("looked", looked).
		Dur("took", time.Since(begun)).Msg("a newer value than the known one was made sure of")
	return value, err
}

// VotersStand says whether the voters that this broker knows are those in force: a majority of them has answered after the call,
// and none of these holds a value that names others. A change of the voters is accepted by a majority of the earlier ones first, so
// one of any majority tells of it.
func (n *Node) VotersStand(ctx context.Context) bool {
	known, _ := n.Known()
	look := n.look(ctx, known, (*register.Look).Answers)
	if !look.Answers() {
		return false
	}
	met, any := look.Met()
	return !any || met.Members.Equal(known.Value.Members)
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
