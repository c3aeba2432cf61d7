package register

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// This file simulates acceptors, proposers and disks, with messages that are delayed, duplicated and lost, driven by a
// seed. A value's payload lists the operations that led to it, so of any two chosen values one list must be a prefix of
// the other.

// injectedFaults are deviations from the protocol; the simulation must detect each of them.
type injectedFaults struct {
	skipSync       bool // an acceptor answers before its state is durable
	voteAfterWipe  bool // an acceptor that lost its disk answers under its old identity
	reuseBallot    bool // a restarted proposer reuses ballots
	ignoreAccepted bool // a proposer ignores accepted values that promises report
}

type message struct {
	from, to int // proposer and acceptor
	attempt  int
	prepare  *Prepare
	promise  *Promise
	accept   *Accept
	accepted *Accepted
}

type disk struct {
	id uint64
	durable,
	volatile State
	full bool
	lost bool // its content is lost but it keeps its identity: the fault voteAfterWipe
}

type proposer struct {
	round   *Round
	attempt int
	op      string
	counter uint64
	number  uint64
	known   Known
}

type chosenValue struct {
	ops     []string
	members Members
	seq     uint64
}

type simulation struct {
	rng          *rand.Rand
	faults       injectedFaults
	acceptors    []*Acceptor
	disks        []*disk
	proposers    []*proposer
	inFlight     []message
	chosen       []chosenValue
	acknowledged []string
	ops          int
	losses       int
	maxLost      int // disks that may be lost at the same time
	err          error
}

// firstReplacementID separates the identities of the initial disks, below it, from those of their replacements.
const firstReplacementID = 1000

// newSimulation returns a simulation that tolerates the loss of one or two disks, depending on the seed. An acceptor that
// lost its disk counts as lost until it has rejoined, one whose disk is full until it can write again; no more than the
// tolerated number are lost at the same time.
func newSimulation(seed uint64, faults injectedFaults) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 7)), faults: faults, maxLost: 1 + int(seed%2)}
	voters := 2*w.maxLost + 1
	acceptors := voters + 1 + int(seed/2%2)
	var first []Replica
	for i := range voters {
		first = append(first, Replica{Address: fmt.Sprint(i), Disk: uint64(i + 1)})
	}
	members := Single(first...)
	start := State{Promised: Ballot{Counter: 1}, Accepted: Ballot{Counter: 1}, Value: Value{Members: members}}
	for i := range acceptors {
		d := &disk{id: uint64(i + 1)}
		if i < voters {
			d.durable, d.volatile = start, start
		}
		w.disks = append(w.disks, d)
		w.acceptors = append(w.acceptors, nil)
		w.startAcceptor(i)
	}
	for i := range 3 {
		w.proposers = append(w.proposers, &proposer{number: uint64(100 + i), known: Known{Ballot: Ballot{Counter: 1}, Value: Value{Members: members}}})
	}
	return w
}

func (w *simulation) startAcceptor(i int) {
	d := w.disks[i]
	a := &Acceptor{Self: Replica{Address: fmt.Sprint(i), Disk: d.id}, State: d.durable}
	d.volatile = d.durable
	a.Persist = func(s State) error {
		if d.full {
			return errors.New("disk full")
		}
		d.volatile = s
		if !w.faults.skipSync {
			d.durable = s
		}
		return nil
	}
	w.acceptors[i] = a
}

// crash restarts an acceptor after a power failure: its disk keeps what was synced.
func (w *simulation) crash(i int) { w.startAcceptor(i) }

// lostCount counts the lost disks: those that were wiped and are not members again, and those that are full.
func (w *simulation) lostCount() (n int) {
	for i, d := range w.disks {
		if d.lost || d.full {
			n++
		} else if d.id >= firstReplacementID && !w.joined(i) {
			n++
		}
	}
	return n
}

// joined reports whether an acceptor's disk is a member in the newest chosen value and no change of the members is in
// progress.
func (w *simulation) joined(i int) bool {
	if len(w.chosen) == 0 {
		return false
	}
	newest := slices.MaxFunc(w.chosen, func(a, b chosenValue) int { return cmp.Compare(a.seq, b.seq) })
	return !newest.members.Moving() && newest.members.Has(Replica{Address: fmt.Sprint(i), Disk: w.disks[i].id})
}

// wipe replaces an acceptor's disk by an empty one with a new identity, unless maxLost disks are lost already.
func (w *simulation) wipe(i int) {
	if w.lostCount() >= w.maxLost && !w.disks[i].full {
		return
	}
	w.losses++
	id := w.disks[i].id
	if !w.faults.voteAfterWipe {
		id = uint64(firstReplacementID + w.losses*10 + i)
	}
	w.disks[i] = &disk{id: id, lost: w.faults.voteAfterWipe}
	w.startAcceptor(i)
}

// toggleFull frees space on a full disk. It makes any other disk full, unless maxLost disks are lost already.
func (w *simulation) toggleFull(i int) {
	if d := w.disks[i]; d.full || w.lostCount() < w.maxLost {
		d.full = !d.full
	}
}

func payload(ops []string) []byte { return []byte(strings.Join(ops, ",")) }

func opsOf(v Value) []string {
	if len(v.Payload) == 0 {
		return nil
	}
	return strings.Split(string(v.Payload), ",")
}

// propose starts a round of a proposer: an operation or a change of the members.
func (w *simulation) propose(i int) {
	p := w.proposers[i]
	p.attempt++
	p.counter = max(p.counter, p.known.Ballot.Counter) + 1
	if w.faults.reuseBallot {
		p.counter = p.known.Ballot.Counter + 1
	}
	ballot := Ballot{Counter: p.counter, Proposer: p.number}
	change := w.operation(p)
	if w.rng.IntN(3) == 0 {
		change = w.memberChange()
	}
	p.round = NewRound(ballot, p.known.Value.Members, p.known, change)
	w.sendPrepares(i)
}

func (w *simulation) operation(p *proposer) Change {
	w.ops++
	op := fmt.Sprintf("op%d", w.ops)
	p.op = op
	return func(present Value) (Value, bool, error) {
		return Value{Sequence: present.Sequence + 1, Members: present.Members, Payload: payload(append(opsOf(present), op))}, true, nil
	}
}

// memberChange returns a change that completes a change of the members in progress, else replaces lost disks by
// acceptors that are not members, or removes a member.
func (w *simulation) memberChange() Change {
	var present []Replica
	for i, d := range w.disks {
		present = append(present, Replica{Address: fmt.Sprint(i), Disk: d.id})
	}
	w.ops++
	op := fmt.Sprintf("m%d", w.ops)
	drop := w.rng.IntN(2) == 0
	return func(v Value) (Value, bool, error) {
		next := Value{Sequence: v.Sequence + 1, Payload: payload(append(opsOf(v), op))}
		if v.Members.Moving() {
			next.Members = Members{Sets: [][]Replica{v.Members.Last()}}
			return next, true, nil
		}
		set := slices.DeleteFunc(slices.Clone(v.Members.Last()), func(r Replica) bool { return !slices.Contains(present, r) })
		for _, r := range present {
			if !slices.Contains(set, r) {
				set = append(set, r)
			}
		}
		if slices.Equal(set, v.Members.Last()) && drop && len(set) > 2*w.maxLost+1 {
			set = set[1:]
		}
		next.Members = v.Members.Joint(set)
		return next, true, nil
	}
}

func (w *simulation) sendPrepares(i int) {
	p := w.proposers[i]
	for _, m := range p.round.Prepares() {
		w.send(message{from: i, to: acceptorIndex(m.To), attempt: p.attempt, prepare: &m})
	}
}

func acceptorIndex(r Replica) int {
	var i int
	fmt.Sscan(r.Address, &i)
	return i
}

func (w *simulation) send(e message) { w.inFlight = append(w.inFlight, e) }

// deliver delivers a random message, which may stay in flight to be delivered again.
func (w *simulation) deliver() {
	at := w.rng.IntN(len(w.inFlight))
	e := w.inFlight[at]
	if w.rng.IntN(12) > 0 {
		w.inFlight = slices.Delete(w.inFlight, at, at+1)
	}
	if w.rng.IntN(15) == 0 {
		return // lost
	}
	switch {
	case e.prepare != nil:
		promise := w.acceptors[e.to].Prepare(*e.prepare)
		w.send(message{from: e.from, to: e.to, attempt: e.attempt, promise: &promise})
	case e.accept != nil:
		accepted := w.acceptors[e.to].Accept(*e.accept)
		w.send(message{from: e.from, to: e.to, attempt: e.attempt, accepted: &accepted})
	default:
		w.handleAnswer(e)
	}
}

func (w *simulation) handleAnswer(e message) {
	p := w.proposers[e.from]
	if p.round == nil || p.attempt != e.attempt {
		return
	}
	if e.promise != nil {
		m := *e.promise
		if w.faults.ignoreAccepted && m.Value != nil && w.rng.IntN(2) == 0 {
			m.Value, m.Accepted = nil, p.known.Ballot
		}
		for _, a := range p.round.Promise(m) {
			w.send(message{from: e.from, to: acceptorIndex(a.To), attempt: e.attempt, accept: &a})
		}
		w.sendPrepares(e.from)
	} else {
		p.round.Accepted(*e.accepted)
	}
	if p.round.Phase == Chosen {
		w.recordChosen(p)
	}
	if p.round.Phase != Preparing && p.round.Phase != Accepting {
		p.counter = max(p.counter, p.round.Highest.Counter)
		p.round = nil
	}
}

// recordChosen records a chosen value and checks it against all others.
func (w *simulation) recordChosen(p *proposer) {
	v := p.round.Value
	c := chosenValue{ops: opsOf(v), members: v.Members, seq: v.Sequence}
	for _, other := range w.chosen {
		short, long := other, c
		if len(short.ops) > len(long.ops) {
			short, long = long, short
		}
		if !slices.Equal(short.ops, long.ops[:len(short.ops)]) {
			w.err = fmt.Errorf("two chosen values disagree: %v and %v", other.ops, c.ops)
			return
		}
		if other.seq == c.seq && !slices.Equal(other.ops, c.ops) {
			w.err = fmt.Errorf("two values with sequence %d: %v and %v", c.seq, other.ops, c.ops)
			return
		}
	}
	w.chosen = append(w.chosen, c)
	w.acknowledged = append(w.acknowledged, c.ops...)
	p.known = Known{Ballot: p.round.Ballot, Value: v}
}

// runHistory runs one simulation.
func runHistory(seed uint64, faults injectedFaults, steps int) *simulation {
	w := newSimulation(seed, faults)
	for range steps {
		w.step()
		if w.err != nil {
			return w
		}
	}
	return w
}

func (w *simulation) step() {
	switch n := w.rng.IntN(100); {
	case n < 8:
		i := w.rng.IntN(len(w.proposers))
		if w.proposers[i].round == nil || w.rng.IntN(4) == 0 {
			w.propose(i)
		}
	case n < 10:
		w.crash(w.rng.IntN(len(w.acceptors)))
	case n < 11:
		w.wipe(w.rng.IntN(len(w.acceptors)))
	case n < 12:
		w.toggleFull(w.rng.IntN(len(w.acceptors)))
	case n == 12 && w.rng.IntN(4) == 0: // all acceptors lose power at once
		for i := range w.acceptors {
			w.crash(i)
		}
	case n < 14: // a proposer restarts with a new number
		i := w.rng.IntN(len(w.proposers))
		w.proposers[i].round = nil
		if !w.faults.reuseBallot {
			w.proposers[i].number += 10
		} else {
			w.proposers[i].counter = 0
		}
	case n < 17 && len(w.chosen) > 0: // another proposer learns a chosen value
		a, b := w.proposers[w.rng.IntN(3)], w.proposers[w.rng.IntN(3)]
		if a.known.Value.Sequence > b.known.Value.Sequence {
			b.known = a.known
		}
	case len(w.inFlight) > 0:
		w.deliver()
	}
}

func TestHistories(t *testing.T) {
	histories, chosenValues, moves, losses := 10000, 0, 0, 0
	if testing.Short() {
		histories = 500
	}
	for seed := range histories {
		w := runHistory(uint64(seed), injectedFaults{}, 800)
		if w.err != nil {
			t.Fatalf("seed %d: %v", seed, w.err)
		}
		chosenValues += len(w.chosen)
		losses += w.losses
		for _, c := range w.chosen {
			if c.members.Moving() {
				moves++
			}
		}
	}
	if chosenValues < histories || moves < histories/10 {
		t.Fatalf("too little coverage: %d values and %d moves were chosen in %d histories", chosenValues, moves, histories)
	}
	if losses < histories {
		t.Fatalf("too little coverage: only %d disks were lost in %d histories", losses, histories)
	}
	t.Logf("%d histories, %d values chosen, %d of them moves of the members, %d disks lost", histories, chosenValues, moves, losses)
}

func TestPlantedFaultsAreFound(t *testing.T) {
	for name, faults := range map[string]injectedFaults{
		"skip a sync":            {skipSync: true},
		"vote after a wipe":      {voteAfterWipe: true},
		"reuse a ballot":         {reuseBallot: true},
		"ignore accepted values": {ignoreAccepted: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10000) {
				if w := runHistory(seed, faults, 500); w.err != nil {
					t.Logf("detected by history %d: %v", seed, w.err)
					return
				}
			}
			t.Fatal("not detected in 10000 histories")
		})
	}
}
