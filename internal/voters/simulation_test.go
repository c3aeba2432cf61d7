package voters_test

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"gullstair/internal/register"
	"gullstair/internal/voters"
)

// This file simulates machines with a disk in virtual time. Each has an acceptor and the loop of a broker: it probes,
// plans and proposes. Losses follow the rules of the deployments: a machine counts as lost while it is down or isolated,
// and for the catch-up time after that; no more machines are lost at the same time than are tolerated. Between losses
// the fleet must recover fully, and the time that takes is reported; each chosen value must be computed from its
// predecessor.

const (
	tick         = 50 * time.Millisecond
	catchUp      = 4 * time.Second
	probeEvery   = 500 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
	roundTimeout = 900 * time.Millisecond
	gossipEvery  = 300 * time.Millisecond
)

// injectedFaults are deviations from the protocol that the simulation must detect.
type injectedFaults struct {
	extraVoter    bool // a new machine is added as a voter while a lost voter has not been replaced
	ignoreLeaving bool // a leaving voter is not replaced
	reuseIdentity bool // a replaced disk votes under its old identity
	skipLearning  bool // replicas that missed an Accept are not updated
	newSetOnly    bool // a change of the voters is proposed only to the new set
}

type node struct {
	address   string
	acceptor  *register.Acceptor
	durable   register.State
	up, gone  bool
	full      bool
	leaving   bool
	isolated  bool
	side      int           // of the partition, while the core is partitioned
	lostUntil time.Duration // counts as lost until then

	known       register.Known
	contacts    *voters.FailureDetector
	proposer    uint64
	counter     uint64
	round       *attempt
	dueSince    time.Duration
	nextReview  time.Duration
	unconfirmed register.Ballot // of the accepted value that is not known to be chosen
	repairAt    time.Duration
}

type attempt struct {
	round     *register.Round
	startedAt time.Duration
	accepts   []register.Accept
	prepares  []register.Prepare
	done      func(chosen bool)
	byVoter   bool // proposed by a voter's maintenance, not by the operator
}

type simulation struct {
	rng                *rand.Rand
	faults             injectedFaults
	loss               float64
	slow               bool
	repeats            bool // the operator sends accepted orders again
	maxLost            int  // simultaneous losses
	now                time.Duration
	nodes              []*node
	lastID             uint64
	parent             map[string]string // of a proposed value, by its key
	chosen             map[uint64]string // key of a chosen value, by sequence
	present            string            // key of the value that the last change was computed from
	quorums            map[uint64]string // the sets that a chosen value was proposed to, by sequence
	acknowledged       []string          // keys of values acknowledged to the operator
	recoveryTimes      []time.Duration   // from the end of a loss until the fleet has recovered
	recoveringSince    time.Duration     // when the last loss ended; 0: the fleet has recovered since
	partitionLatencies []time.Duration   // latencies of orders in the larger part of a partitioned core
	err                error
}

func key(v register.Value) string {
	return fmt.Sprint(v.Sequence, " ", string(v.Payload), " ", v.Members)
}

func newSimulation(seed uint64, nodes, maxLost int, faults injectedFaults, loss float64, slow bool) *simulation {
	m := &simulation{maxLost: maxLost, rng: rand.New(rand.NewPCG(seed, 11)), faults: faults, loss: loss, slow: slow, parent: map[string]string{}, chosen: map[uint64]string{}, quorums: map[uint64]string{}}
	var met []voters.Machine
	for i := range nodes {
		b := m.addNode(string(rune('a' + i)))
		met = append(met, voters.Machine{Replica: b.acceptor.Self, Zone: b.address})
	}
	members := register.Single(voters.Initial(met)...)
	known := register.Known{Ballot: register.Ballot{Counter: 1}, Value: register.Value{Members: members}}
	for _, b := range m.nodes {
		b.known = known
		b.durable = register.State{Promised: known.Ballot, Accepted: known.Ballot, Value: known.Value}
		b.acceptor.State = b.durable
	}
	m.chosen[0] = key(known.Value)
	return m
}

// addNode adds a machine with an empty disk.
func (m *simulation) addNode(address string) *node {
	m.lastID++
	b := &node{address: address}
	m.nodes = append(m.nodes, b)
	b.acceptor = &register.Acceptor{Self: register.Replica{Address: address, Disk: m.lastID}}
	m.start(b)
	return b
}

// start starts a machine's process from its durable state.
func (m *simulation) start(b *node) {
	m.lastID++
	b.up, b.leaving, b.round, b.proposer, b.counter, b.known = true, false, nil, m.lastID, 0, register.Known{}
	b.contacts, b.dueSince, b.nextReview = voters.NewFailureDetector(catchUp), 0, m.now
	b.acceptor = &register.Acceptor{Self: b.acceptor.Self, State: b.durable, Persist: func(s register.State) error {
		if b.full {
			return errors.New("disk full")
		}
		b.durable = s
		return nil
	}}
}

func (m *simulation) wipe(b *node) {
	b.durable = register.State{}
	if !m.faults.reuseIdentity {
		m.lastID++
		b.acceptor.Self.Disk = m.lastID
	}
}

func (m *simulation) reaches(a, b *node) bool {
	return a == b || a.up && b.up && !a.isolated && !b.isolated && a.side == b.side
}

func (m *simulation) node(address string) *node {
	for _, b := range m.nodes {
		if b.address == address {
			return b
		}
	}
	return nil
}

// arrives reports whether a message and its answer get through in this tick.
func (m *simulation) arrives(from, to *node) bool {
	return to != nil && m.reaches(from, to) && m.rng.Float64() >= m.loss
}

// reachesDisk reports whether a message gets through in this tick and the receiver's disk answers it.
func (m *simulation) reachesDisk(from, to *node) bool { return m.arrives(from, to) && !m.diskBusy() }

// answerLost reports whether an answer is lost after the acceptor has handled the message: once in 40 times.
func (m *simulation) answerLost() bool { return m.rng.IntN(40) == 0 }

// diskBusy reports whether a disk is too slow to answer in this tick.
func (m *simulation) diskBusy() bool { return m.slow && m.rng.IntN(2) == 0 }

// step advances time by one tick.
func (m *simulation) step() {
	m.now += tick
	for _, b := range m.nodes {
		if b.up {
			m.runNode(b)
		}
	}
	m.checkRecovery()
}

func (m *simulation) runNode(b *node) {
	if m.rng.Float64() < float64(tick)/float64(gossipEvery) {
		m.gossip(b, m.nodes[m.rng.IntN(len(m.nodes))])
	}
	if !m.faults.skipLearning && len(b.known.Value.Members.Sets) > 0 {
		_ = b.acceptor.Learn(b.known)
	}
	if b.round != nil {
		m.deliver(b)
		return
	}
	if m.now >= b.nextReview {
		m.maintain(b)
	}
}

func (m *simulation) gossip(a, b *node) {
	if !m.arrives(a, b) {
		return
	}
	learn(a, b.known)
	learn(b, a.known)
}

func learn(b *node, known register.Known) {
	if len(known.Value.Members.Sets) > 0 && (len(b.known.Value.Members.Sets) == 0 || known.Value.Sequence > b.known.Value.Sequence) {
		b.known = known
	}
}

// maintain mirrors what package cluster does to keep the voters up to date and to repair values not known to be chosen.
func (m *simulation) maintain(b *node) {
	b.nextReview = m.now + probeEvery
	accepted := register.Known{Ballot: b.acceptor.State.Accepted, Value: b.acceptor.State.Value}
	inDoubt := len(accepted.Value.Members.Sets) > 0 && (len(b.known.Value.Members.Sets) == 0 || accepted.Value.Sequence > b.known.Value.Sequence)
	if !inDoubt || b.unconfirmed != accepted.Ballot {
		b.unconfirmed, b.repairAt = accepted.Ballot, m.now+time.Duration(m.rng.Int64N(int64(probeEvery)))
	} else if m.now >= b.repairAt {
		sets := register.Members{Sets: accepted.Value.Quorums()}
		m.propose(b, sets, accepted, func(v register.Value) (register.Value, bool, error) { return v, true, nil }, nil, true)
		return
	}
	self := b.acceptor.Self
	if !slices.ContainsFunc(b.known.Value.Quorums(), func(set []register.Replica) bool { return slices.Contains(set, self) }) {
		return
	}
	m.probe(b)
	m.review(b)
}

func (m *simulation) probe(b *node) {
	for _, other := range m.nodes {
		if other.gone && !slices.Contains(b.known.Value.Members.Addresses(), other.address) {
			continue
		}
		if m.reaches(b, other) && (m.rng.Float64() >= m.loss*m.loss) {
			held := other.acceptor.State
			b.contacts.RecordAnswer(other.acceptor.Self, voters.Version{Ballot: held.Accepted, Sequence: held.Value.Sequence}, m.clock())
			continue
		}
		b.contacts.RecordTimeout(other.address, m.clock(), m.clock().Add(probeTimeout), probeTimeout)
		b.nextReview = m.now + 2*tick + probeTimeout
	}
}

func (m *simulation) review(b *node) {
	b.contacts.RecordChosen(voters.Version{Ballot: b.known.Ballot, Sequence: b.known.Value.Sequence}, m.clock())
	var present, learners []voters.Machine
	members := b.known.Value.Members
	for _, r := range members.Last() {
		present = append(present, m.machineOf(b, r))
	}
	for _, other := range m.nodes {
		if !members.Has(other.acceptor.Self) && m.reaches(b, other) {
			learners = append(learners, m.machineOf(b, other.acceptor.Self))
		}
	}
	next, due := voters.Plan(present, learners, voters.Tolerance{Machines: m.maxLost})
	if m.faults.extraVoter {
		next, due = m.withExtra(present, learners, next, due)
	}
	if due = due || b.known.Value.Reconfiguring(); !due {
		b.dueSince = 0
		return
	}
	if b.dueSince == 0 {
		b.dueSince = m.now
	}
	b.nextReview = m.now + 2*tick
	if !voters.IsTurn(present, b.acceptor.Self, m.now-b.dueSince) {
		return
	}
	change := register.Reconfigure(members, next)
	if b.known.Value.Reconfiguring() {
		change = register.CompleteReconfiguration(b.known.Value)
	}
	if m.faults.newSetOnly && !b.known.Value.Reconfiguring() {
		change = func(v register.Value) (register.Value, bool, error) {
			return register.Value{Sequence: v.Sequence + 1, Members: register.Single(next...), Payload: v.Payload}, true, nil
		}
	}
	m.propose(b, members, b.known, change, nil, true)
	if m.faults.newSetOnly && b.round != nil {
		b.round.round = register.NewRound(b.round.round.Ballot, register.Single(next...), b.known, m.recordPresent(change))
		b.round.prepares = b.round.round.Prepares()
	}
}

// withExtra implements the fault extraVoter: it adds a new machine beside a lost voter and removes the lost one later.
func (m *simulation) withExtra(present, learners []voters.Machine, next []register.Replica, due bool) ([]register.Replica, bool) {
	if len(present)%2 == 1 && len(learners) > 0 && learners[0].Health == voters.Healthy {
		next = nil
		for _, p := range append(present, learners[0]) {
			next = append(next, p.Replica)
		}
		return next, true
	}
	lost := slices.ContainsFunc(present, func(p voters.Machine) bool { return p.Health == voters.Silent })
	return next, due && (lost || len(present)%2 == 1)
}

func (m *simulation) machineOf(b *node, r register.Replica) voters.Machine {
	other := m.node(r.Address)
	leaving := other.leaving && other.acceptor.Self == r && !m.faults.ignoreLeaving
	return voters.Machine{Replica: r, Zone: r.Address, Health: b.contacts.Health(r, leaving, m.clock()),
		Settled: b.contacts.Settled(r, m.clock()), Departed: b.contacts.Departed(r, m.clock())}
}

func (m *simulation) clock() time.Time { return time.Unix(0, 0).Add(m.now) }

// recordPresent wraps a change so that the value that it is computed from is recorded.
func (m *simulation) recordPresent(change register.Change) register.Change {
	return func(present register.Value) (register.Value, bool, error) {
		m.present = key(present)
		return change(present)
	}
}

// recordParent records the value that a proposed value was computed from.
func (m *simulation) recordParent(proposed register.Value) {
	if k := key(proposed); k != m.present {
		m.parent[k] = m.present
	}
}

func (m *simulation) propose(b *node, members register.Members, known register.Known, change register.Change, done func(bool), byVoter bool) {
	if b.round != nil || len(members.Sets) == 0 {
		return
	}
	b.counter = max(b.counter, known.Ballot.Counter) + 1
	round := register.NewRound(register.Ballot{Counter: b.counter, Proposer: b.proposer}, members, known, m.recordPresent(change))
	b.round = &attempt{round: round, startedAt: m.now, prepares: round.Prepares(), done: done, byVoter: byVoter}
}

// deliver delivers the messages of a node's round. A lost message is sent again in a later tick; at times only its answer
// is lost, so the message arrives twice.
func (m *simulation) deliver(b *node) {
	a := b.round
	a.prepares = append(a.prepares, a.round.Prepares()...)
	a.prepares = slices.DeleteFunc(a.prepares, func(p register.Prepare) bool {
		to := m.node(p.To.Address)
		if a.round.Phase != register.Preparing || !m.reachesDisk(b, to) {
			return false
		}
		promise := to.acceptor.Prepare(p)
		if m.answerLost() {
			return false
		}
		accepts := a.round.Promise(promise)
		if len(accepts) > 0 {
			m.recordParent(a.round.Value)
		}
		a.accepts = append(a.accepts, accepts...)
		return true
	})
	a.accepts = slices.DeleteFunc(a.accepts, func(p register.Accept) bool {
		to := m.node(p.To.Address)
		if a.round.Phase != register.Accepting || !m.reachesDisk(b, to) {
			return false
		}
		accepted := to.acceptor.Accept(p)
		if m.answerLost() {
			return false
		}
		a.round.Accepted(accepted)
		return true
	})
	switch a.round.Phase {
	case register.Chosen:
		m.recordChosen(b, a)
	case register.Superseded, register.Refused:
		b.counter = max(b.counter, a.round.Highest.Counter)
		b.round = nil
	default:
		if m.now-a.startedAt > roundTimeout {
			b.round = nil
		}
	}
	if b.round == nil && a.done != nil {
		a.done(a.round.Phase == register.Chosen)
	}
}

// recordChosen records a chosen value and checks it.
func (m *simulation) recordChosen(b *node, a *attempt) {
	b.round = nil
	v := a.round.Value
	k := key(v)
	if known, was := m.chosen[v.Sequence]; was && known != k {
		m.err = fmt.Errorf("%v: two values with sequence %d: %s and %s", m.now, v.Sequence, known, k)
		return
	}
	m.chosen[v.Sequence] = k
	quorums := describeSets(v.Voted)
	if earlier, was := m.quorums[v.Sequence]; was && earlier != quorums {
		m.err = fmt.Errorf("%v: sequence %d was proposed to %s and to %s", m.now, v.Sequence, earlier, quorums)
		return
	}
	m.quorums[v.Sequence] = quorums
	if before, was := m.chosen[v.Sequence-1]; v.Sequence > 0 && was && m.parent[k] != before {
		m.err = fmt.Errorf("%v: %s was computed from %s, but %s was chosen", m.now, k, m.parent[k], before)
		return
	}
	known := register.Known{Ballot: a.round.Ballot, Value: v}
	learn(b, known)
	for _, other := range m.nodes {
		if m.arrives(b, other) {
			learn(other, known)
		}
	}
}

// submitOrder submits an operator's change at a random machine.
func (m *simulation) submitOrder() { m.submitOrderAt(m.nodes[m.rng.IntN(len(m.nodes))]) }

func (m *simulation) submitOrderAt(b *node) {
	if !b.up || b.round != nil {
		return
	}
	m.lastID++
	op := m.lastID
	round := (*attempt)(nil)
	m.propose(b, b.known.Value.Members, b.known, func(v register.Value) (register.Value, bool, error) {
		return register.Value{Sequence: v.Sequence + 1, Members: v.Members, Payload: fmt.Appendf(nil, "%d", op)}, true, nil
	}, func(chosen bool) {
		if chosen {
			m.acknowledged = append(m.acknowledged, key(round.round.Value))
		}
	}, false)
	round = b.round
}

// repeatOrder submits an order at a random machine that was accepted before: it confirms the present value.
func (m *simulation) repeatOrder() {
	b := m.nodes[m.rng.IntN(len(m.nodes))]
	if !b.up {
		return
	}
	m.propose(b, b.known.Value.Members, b.known, func(v register.Value) (register.Value, bool, error) { return v, true, nil }, nil, false)
}

// describeSets describes sets in an order that does not depend on theirs.
func describeSets(sets [][]register.Replica) string {
	var out []string
	for _, set := range sets {
		out = append(out, fmt.Sprint(set))
	}
	slices.Sort(out)
	return fmt.Sprint(out)
}

// lostCount counts the machines that count as lost now.
func (m *simulation) lostCount() (n int) {
	for _, b := range m.nodes {
		if !b.gone && (!b.up || b.isolated || b.full || m.now < b.lostUntil) {
			n++
		}
	}
	return n
}

// recovered reports whether the newest known value has no incomplete change of the voters and all its voters are
// reachable.
func (m *simulation) recovered() bool {
	newest := register.Known{}
	for _, b := range m.nodes {
		if b.known.Value.Sequence >= newest.Value.Sequence && len(b.known.Value.Members.Sets) > 0 {
			newest = b.known
		}
	}
	if newest.Value.Reconfiguring() {
		return false
	}
	for _, r := range newest.Value.Members.Last() {
		b := m.node(r.Address)
		if !b.up || b.isolated || b.acceptor.Self != r {
			return false
		}
	}
	return len(newest.Value.Members.Last())%2 == 1 && len(newest.Value.Members.Last()) >= 2*m.maxLost+1
}

// checkRecovery measures how long the fleet takes to recover and fails if it takes longer than catchUp.
func (m *simulation) checkRecovery() {
	for _, b := range m.nodes {
		if !b.gone && (!b.up || b.isolated || b.full || b.side != 0) {
			return
		}
	}
	if m.recoveringSince == 0 {
		return
	}
	if m.recovered() {
		m.recoveryTimes = append(m.recoveryTimes, m.now-m.recoveringSince)
		m.recoveringSince = 0
	} else if m.now-m.recoveringSince > catchUp && m.err == nil {
		m.err = fmt.Errorf("%v: not recovered %v after the last loss ended", m.now, m.now-m.recoveringSince)
	}
}

func (m *simulation) advanceTime(d time.Duration) {
	for end := m.now + d; m.now < end && m.err == nil; {
		if m.rng.IntN(12) == 0 {
			m.submitOrder()
		}
		if m.repeats && m.rng.IntN(3) == 0 {
			m.repeatOrder()
		}
		m.step()
	}
}

// endLoss marks the end of a loss.
func (m *simulation) endLoss(b *node) {
	b.lostUntil = m.now + catchUp
	m.recoveringSince = m.now
}

// injectLoss injects one loss that the rules allow, or an event that loses no disk.
func (m *simulation) injectLoss() {
	var live []*node
	for _, b := range m.nodes {
		if !b.gone {
			live = append(live, b)
		}
	}
	b := live[m.rng.IntN(len(live))]
	m.recoveringSince = 0
	switch m.rng.IntN(8) {
	case 7: // the core is partitioned; no disk is lost
		m.partitionCore(live)
		m.recoveringSince = m.now
		return
	case 0, 1: // killed, often together with its disk
		b.up = false
		m.advanceTime(time.Duration(m.rng.IntN(5000)) * time.Millisecond)
		if m.rng.IntN(3) > 0 {
			m.wipe(b)
		}
		m.start(b)
	case 2: // isolated from the network
		b.isolated = true
		m.advanceTime(time.Duration(500+m.rng.IntN(20000)) * time.Millisecond)
		b.isolated = false
	case 3: // gone for good; a successor starts at another address
		b.up, b.gone = false, true
		m.advanceTime(time.Duration(m.rng.IntN(5000)) * time.Millisecond)
		b = m.addNode(fmt.Sprint("n", len(m.nodes)))
	case 4: // planned replacement: the new machine starts first
		next := m.addNode(fmt.Sprint("n", len(m.nodes)))
		m.endLoss(next)
		m.advanceTime(catchUp)
		m.recoveringSince = 0
		b.leaving = true
		m.advanceTime(time.Duration(2000+m.rng.IntN(2000)) * time.Millisecond)
		b.up, b.gone = false, true
		return // its successor has had the catch-up time, so nothing counts as lost
	case 5: // its disk is full for a while
		b.full = true
		m.advanceTime(time.Duration(m.rng.IntN(4000)) * time.Millisecond)
		b.full = false
	case 6: // all lose power at once but keep their disks
		for _, other := range live {
			other.up = false
		}
		m.advanceTime(time.Second)
		for _, other := range live {
			m.start(other)
		}
	}
	m.endLoss(b)
}

// partitionCore partitions the machines with a disk in two. If nothing else is lost and all possible voters vote, the
// larger part must take orders while the partition lasts.
func (m *simulation) partitionCore(live []*node) {
	m.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	largerPart := len(live)/2 + 1 + m.rng.IntN((len(live)+1)/2)
	largerPart = min(largerPart, len(live)-1)
	steady := m.lostCount() == 0 && m.recovered() && len(live[0].known.Value.Members.Last()) >= len(live)-1
	for _, b := range live[largerPart:] {
		b.side = 1
	}
	for end := m.now + time.Duration(2+m.rng.IntN(18))*time.Second; m.now < end && m.err == nil; {
		started, acked := m.now, len(m.acknowledged)
		for m.err == nil && len(m.acknowledged) == acked && m.now-started < catchUp {
			m.submitOrderAt(live[m.rng.IntN(largerPart)])
			m.step()
		}
		if steady && len(m.acknowledged) == acked && m.err == nil {
			m.err = fmt.Errorf("%v: no order is taken in the larger part, %d of %d machines", m.now, largerPart, len(live))
		}
		if steady {
			m.partitionLatencies = append(m.partitionLatencies, m.now-started)
		}
		m.advanceTime(time.Duration(m.rng.IntN(1000)) * time.Millisecond)
	}
	for _, b := range live {
		b.side = 0
	}
}

// finish ends a history: a value is acknowledged, then one disk is lost while all other machines lose power.
func (m *simulation) finish() {
	acked := len(m.acknowledged)
	for range 400 {
		m.submitOrder()
		m.step()
		if len(m.acknowledged) > acked || m.err != nil {
			break
		}
	}
	if m.err == nil && len(m.acknowledged) == acked {
		m.err = fmt.Errorf("%v: no order is taken although nothing is lost", m.now)
		return
	}
	var live []*node
	for _, b := range m.nodes {
		if !b.gone {
			live = append(live, b)
		}
	}
	for _, b := range live {
		b.up = false
	}
	m.wipe(live[m.rng.IntN(len(live))])
	m.recoveringSince = 0
	m.advanceTime(time.Second)
	for _, b := range live {
		m.start(b)
	}
	m.endLoss(live[0])
	m.advanceTime(catchUp)
	m.checkAcknowledged()
}

// checkAcknowledged checks that every acknowledged value is an ancestor of the newest value or that value itself.
func (m *simulation) checkAcknowledged() {
	if m.err != nil {
		return
	}
	newest := slices.Max(slices.Collect(maps.Keys(m.chosen)))
	ancestors := map[string]bool{}
	for k := m.chosen[newest]; k != ""; k = m.parent[k] {
		ancestors[k] = true
	}
	for _, k := range m.acknowledged {
		if !ancestors[k] {
			m.err = fmt.Errorf("%s was acknowledged but is no ancestor of the newest value", k)
			return
		}
	}
}
