package voters_test

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gullstair/internal/register"
	"gullstair/internal/voters"
)

// Machines with a disk in virtual time, each with an acceptor and the loop that a broker has: it probes, plans, proposes.
// Losses follow the accounting of the deployments: a machine counts as lost while it is down or cut off, and for the time
// that a newcomer needs after that; no more are lost at one time than may be. Between losses everything must be whole
// again, which is measured; and each value that is chosen must be made from the one before it.

const (
	tick       = 50 * time.Millisecond
	catchUp    = 4 * time.Second
	probeEvery = 500 * time.Millisecond
	probeLimit = 400 * time.Millisecond
	roundLimit = 900 * time.Millisecond
	gossip     = 300 * time.Millisecond
)

// faults are planted: what a correct implementation does not do.
type faults struct {
	extraVoter  bool // a newcomer is added beside an open seat
	keepLeaving bool // one that leaves hands nothing over
	oldIdentity bool // a disk that was lost votes under its old identity
	noLearning  bool // who missed the accepts stays behind
	oneSet      bool // a change of the voters is proposed to the new set alone
}

type box struct {
	address  string
	acceptor *register.Acceptor
	durable  register.State
	up, gone bool
	full     bool
	leaving  bool
	cut      bool
	side     int           // of the core, while it is cut in two
	lostTill time.Duration // counts as lost until then

	known    register.Known
	contacts *voters.Contacts
	proposer uint64
	counter  uint64
	round    *attempt
	dueSince time.Duration
	nextLook time.Duration
	doubted  register.Ballot // of a value that is not known to be chosen
	settleAt time.Duration
}

type attempt struct {
	round   *register.Round
	begun   time.Duration
	accepts []register.Accept
	asked   []register.Prepare
	done    func(chosen bool)
	keep    bool // of the voters, not of the operator
}

type model struct {
	rng    *rand.Rand
	plant  faults
	loss   float64
	slow   bool
	borne  int // losses at one time
	now    time.Duration
	boxes  []*box
	serial uint64
	parent map[string]string // of a proposed value, by its key
	chosen map[uint64]string // key of a chosen value, by sequence
	acked  []string          // keys of values that the operator was told of
	waits  []time.Duration   // from the return of what was lost until all was whole again
	openAt time.Duration     // when the newest return was; 0: all has been whole since
	split  []time.Duration   // what orders took in the greater half of a core that was cut in two
	bad    error
}

func key(v register.Value) string {
	return fmt.Sprint(v.Sequence, " ", string(v.Payload), " ", v.Members)
}

func newModel(seed uint64, boxes, borne int, plant faults, loss float64, slow bool) *model {
	m := &model{borne: borne, rng: rand.New(rand.NewPCG(seed, 11)), plant: plant, loss: loss, slow: slow, parent: map[string]string{}, chosen: map[uint64]string{}}
	var met []voters.Machine
	for i := range boxes {
		b := m.add(string(rune('a' + i)))
		met = append(met, voters.Machine{Replica: b.acceptor.Self, Zone: b.address})
	}
	members := register.Single(voters.First(met)...)
	known := register.Known{Ballot: register.Ballot{Counter: 1}, Value: register.Value{Members: members}}
	for _, b := range m.boxes {
		b.known = known
		b.durable = register.State{Promised: known.Ballot, Accepted: known.Ballot, Value: known.Value}
		b.acceptor.State = b.durable
	}
	m.chosen[0] = key(known.Value)
	return m
}

// add makes a machine with an empty disk.
func (m *model) add(address string) *box {
	m.serial++
	b := &box{address: address}
	m.boxes = append(m.boxes, b)
	b.acceptor = &register.Acceptor{Self: register.Replica{Address: address, Disk: m.serial}}
	m.start(b)
	return b
}

// start begins a machine's process with what its disk has.
func (m *model) start(b *box) {
	m.serial++
	b.up, b.leaving, b.round, b.proposer, b.counter, b.known = true, false, nil, m.serial, 0, register.Known{}
	b.contacts, b.dueSince, b.nextLook = voters.NewContacts(catchUp), 0, m.now
	b.acceptor = &register.Acceptor{Self: b.acceptor.Self, State: b.durable, Persist: func(s register.State) error {
		if b.full {
			return errors.New("disk full")
		}
		b.durable = s
		return nil
	}}
}

func (m *model) wipe(b *box) {
	b.durable = register.State{}
	if !m.plant.oldIdentity {
		m.serial++
		b.acceptor.Self.Disk = m.serial
	}
}

func (m *model) reaches(a, b *box) bool {
	return a == b || a.up && b.up && !a.cut && !b.cut && a.side == b.side
}

func (m *model) box(address string) *box {
	for _, b := range m.boxes {
		if b.address == address {
			return b
		}
	}
	return nil
}

// arrives says whether a message and its answer come through in this tick.
func (m *model) arrives(from, to *box) bool {
	return to != nil && m.reaches(from, to) && m.rng.Float64() >= m.loss
}

// diskBusy says whether a disk has not written in this tick what an answer needs.
func (m *model) diskBusy() bool { return m.slow && m.rng.IntN(2) == 0 }

// step lets one tick pass.
func (m *model) step() {
	m.now += tick
	for _, b := range m.boxes {
		if b.up {
			m.work(b)
		}
	}
	m.watch()
}

func (m *model) work(b *box) {
	if m.rng.Float64() < float64(tick)/float64(gossip) {
		m.exchange(b, m.boxes[m.rng.IntN(len(m.boxes))])
	}
	if !m.plant.noLearning && len(b.known.Value.Members.Sets) > 0 {
		_ = b.acceptor.Learn(b.known)
	}
	if b.round != nil {
		m.advance(b)
		return
	}
	if m.now >= b.nextLook {
		m.keep(b)
	}
}

func (m *model) exchange(a, b *box) {
	if !m.arrives(a, b) {
		return
	}
	tell(a, b.known)
	tell(b, a.known)
}

func tell(b *box, known register.Known) {
	if len(known.Value.Members.Sets) > 0 && (len(b.known.Value.Members.Sets) == 0 || known.Value.Sequence > b.known.Value.Sequence) {
		b.known = known
	}
}

// keep is what cluster.keepVoters and settleDoubt do.
func (m *model) keep(b *box) {
	b.nextLook = m.now + probeEvery
	accepted := register.Known{Ballot: b.acceptor.State.Accepted, Value: b.acceptor.State.Value}
	inDoubt := len(accepted.Value.Members.Sets) > 0 && (len(b.known.Value.Members.Sets) == 0 || accepted.Value.Sequence > b.known.Value.Sequence)
	if !inDoubt || b.doubted != accepted.Ballot {
		b.doubted, b.settleAt = accepted.Ballot, m.now+time.Duration(m.rng.Int64N(int64(probeEvery)))
	} else if m.now >= b.settleAt {
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

func (m *model) probe(b *box) {
	for _, other := range m.boxes {
		if other.gone && !b.known.Value.Members.Has(other.acceptor.Self) {
			continue
		}
		if m.reaches(b, other) && (m.rng.Float64() >= m.loss*m.loss) {
			b.contacts.Answered(other.acceptor.Self, other.acceptor.State.Accepted, m.clock())
			continue
		}
		b.contacts.Missed(other.address, m.clock(), m.clock().Add(probeLimit), probeLimit)
		b.nextLook = m.now + 2*tick + probeLimit
	}
}

func (m *model) review(b *box) {
	b.contacts.Newest(b.known.Ballot, m.clock())
	var present, learners []voters.Machine
	members := b.known.Value.Members
	for _, r := range members.Last() {
		present = append(present, m.describe(b, r))
	}
	for _, other := range m.boxes {
		if !members.Has(other.acceptor.Self) && m.reaches(b, other) {
			learners = append(learners, m.describe(b, other.acceptor.Self))
		}
	}
	next, due := voters.Plan(present, learners, voters.Tolerance{Machines: m.borne})
	if m.plant.extraVoter {
		next, due = m.withExtra(present, learners, next, due)
	}
	if due = due || b.known.Value.Unsettled(); !due {
		b.dueSince = 0
		return
	}
	if b.dueSince == 0 {
		b.dueSince = m.now
	}
	b.nextLook = m.now + 2*tick
	if !voters.Turn(present, b.acceptor.Self, m.now-b.dueSince) {
		return
	}
	change := register.Reconfigure(members, next)
	if b.known.Value.Unsettled() {
		change = register.Settle
	}
	if m.plant.oneSet && !b.known.Value.Unsettled() {
		change = func(v register.Value) (register.Value, bool, error) {
			return register.Value{Sequence: v.Sequence + 1, Members: register.Single(next...), Payload: v.Payload}, true, nil
		}
	}
	m.propose(b, members, b.known, change, nil, true)
	if m.plant.oneSet && b.round != nil {
		b.round.round = register.NewRound(b.round.round.Ballot, register.Single(next...), b.known, m.noted(change))
		b.round.asked = b.round.round.Prepares()
	}
}

// withExtra is the plan of a fleet that adds who comes beside an open seat, and takes out who is lost later.
func (m *model) withExtra(present, learners []voters.Machine, next []register.Replica, due bool) ([]register.Replica, bool) {
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

func (m *model) describe(b *box, r register.Replica) voters.Machine {
	other := m.box(r.Address)
	leaving := other.leaving && other.acceptor.Self == r && !m.plant.keepLeaving
	return voters.Machine{Replica: r, Zone: r.Address, Health: b.contacts.Health(r, leaving, m.clock()),
		Settled: b.contacts.Settled(r, m.clock()), Departed: b.contacts.Departed(r, m.clock())}
}

func (m *model) clock() time.Time { return time.Unix(0, 0).Add(m.now) }

// noted has the parent of each proposed value noted.
func (m *model) noted(change register.Change) register.Change {
	return func(present register.Value) (register.Value, bool, error) {
		next, keep, err := change(present)
		if key(next) != key(present) {
			m.parent[key(next)] = key(present)
		}
		return next, keep, err
	}
}

func (m *model) propose(b *box, members register.Members, known register.Known, change register.Change, done func(bool), keep bool) {
	if b.round != nil || len(members.Sets) == 0 {
		return
	}
	b.counter = max(b.counter, known.Ballot.Counter) + 1
	round := register.NewRound(register.Ballot{Counter: b.counter, Proposer: b.proposer}, members, known, m.noted(change))
	b.round = &attempt{round: round, begun: m.now, asked: round.Prepares(), done: done, keep: keep}
}

// advance delivers what is under way. A message that is lost comes in a later tick; at times its answer is lost, and it
// comes a second time.
func (m *model) advance(b *box) {
	a := b.round
	a.asked = append(a.asked, a.round.Prepares()...)
	a.asked = slices.DeleteFunc(a.asked, func(p register.Prepare) bool {
		to := m.box(p.To.Address)
		if a.round.Phase != register.Preparing || !m.arrives(b, to) || m.diskBusy() {
			return false
		}
		promise := to.acceptor.Prepare(p)
		if m.rng.IntN(40) == 0 {
			return false
		}
		a.accepts = append(a.accepts, a.round.Promise(promise)...)
		return true
	})
	a.accepts = slices.DeleteFunc(a.accepts, func(p register.Accept) bool {
		to := m.box(p.To.Address)
		if a.round.Phase != register.Accepting || !m.arrives(b, to) || m.diskBusy() {
			return false
		}
		accepted := to.acceptor.Accept(p)
		if m.rng.IntN(40) == 0 {
			return false
		}
		a.round.Accepted(accepted)
		return true
	})
	switch a.round.Phase {
	case register.Chosen:
		m.take(b, a)
	case register.Outrun, register.Refused:
		b.counter = max(b.counter, a.round.Highest.Counter)
		b.round = nil
	default:
		if m.now-a.begun > roundLimit {
			b.round = nil
		}
	}
	if b.round == nil && a.done != nil {
		a.done(a.round.Phase == register.Chosen)
	}
}

// take records a chosen value.
func (m *model) take(b *box, a *attempt) {
	b.round = nil
	v := a.round.Value
	k := key(v)
	if known, was := m.chosen[v.Sequence]; was && known != k {
		m.bad = fmt.Errorf("%v: two values under number %d: %s and %s", m.now, v.Sequence, known, k)
		return
	}
	m.chosen[v.Sequence] = k
	if before, was := m.chosen[v.Sequence-1]; v.Sequence > 0 && was && m.parent[k] != before {
		m.bad = fmt.Errorf("%v: %s is made from %s, chosen was %s", m.now, k, m.parent[k], before)
		return
	}
	known := register.Known{Ballot: a.round.Ballot, Value: v}
	tell(b, known)
	for _, other := range m.boxes {
		if m.arrives(b, other) {
			tell(other, known)
		}
	}
}

// operate has the operator change the value at some machine.
func (m *model) operate() { m.operateAt(m.boxes[m.rng.IntN(len(m.boxes))]) }

func (m *model) operateAt(b *box) {
	if !b.up || b.round != nil {
		return
	}
	m.serial++
	op := m.serial
	round := (*attempt)(nil)
	m.propose(b, b.known.Value.Members, b.known, func(v register.Value) (register.Value, bool, error) {
		return register.Value{Sequence: v.Sequence + 1, Members: v.Members, Payload: fmt.Appendf(nil, "%d", op)}, true, nil
	}, func(chosen bool) {
		if chosen {
			m.acked = append(m.acked, key(round.round.Value))
		}
	}, false)
	round = b.round
}

// lost counts the machines that count as lost now.
func (m *model) lost() (n int) {
	for _, b := range m.boxes {
		if !b.gone && (!b.up || b.cut || b.full || m.now < b.lostTill) {
			n++
		}
	}
	return n
}

// whole says whether the newest value that anybody knows is settled, and all its voters answer and hold it.
func (m *model) whole() bool {
	newest := register.Known{}
	for _, b := range m.boxes {
		if b.known.Value.Sequence >= newest.Value.Sequence && len(b.known.Value.Members.Sets) > 0 {
			newest = b.known
		}
	}
	if newest.Value.Unsettled() {
		return false
	}
	for _, r := range newest.Value.Members.Last() {
		b := m.box(r.Address)
		if !b.up || b.cut || b.acceptor.Self != r {
			return false
		}
	}
	return len(newest.Value.Members.Last())%2 == 1 && len(newest.Value.Members.Last()) >= 2*m.borne+1
}

// watch measures how long it takes until everything is whole again, and says when it takes too long.
func (m *model) watch() {
	for _, b := range m.boxes {
		if !b.gone && (!b.up || b.cut || b.full || b.side != 0) {
			return
		}
	}
	if m.openAt == 0 {
		return
	}
	if m.whole() {
		m.waits = append(m.waits, m.now-m.openAt)
		m.openAt = 0
	} else if m.now-m.openAt > catchUp && m.bad == nil {
		m.bad = fmt.Errorf("%v: not whole %v after the newest return", m.now, m.now-m.openAt)
	}
}

func (m *model) pass(d time.Duration) {
	for end := m.now + d; m.now < end && m.bad == nil; {
		if m.rng.IntN(12) == 0 {
			m.operate()
		}
		m.step()
	}
}

// back ends a loss.
func (m *model) back(b *box) {
	b.lostTill = m.now + catchUp
	m.openAt = m.now
}

// misfortune is one loss within the accounting, or one that takes no disk.
func (m *model) misfortune() {
	var live []*box
	for _, b := range m.boxes {
		if !b.gone {
			live = append(live, b)
		}
	}
	b := live[m.rng.IntN(len(live))]
	m.openAt = 0
	switch m.rng.IntN(8) {
	case 7: // the core is cut in two, which loses nothing
		m.cutInTwo(live)
		m.openAt = m.now
		return
	case 0, 1: // killed, often with its disk
		b.up = false
		m.pass(time.Duration(m.rng.IntN(5000)) * time.Millisecond)
		if m.rng.IntN(3) > 0 {
			m.wipe(b)
		}
		m.start(b)
	case 2: // cut off
		b.cut = true
		m.pass(time.Duration(500+m.rng.IntN(20000)) * time.Millisecond)
		b.cut = false
	case 3: // gone for good; a successor comes to another address
		b.up, b.gone = false, true
		m.pass(time.Duration(m.rng.IntN(5000)) * time.Millisecond)
		b = m.add(fmt.Sprint("n", len(m.boxes)))
	case 4: // replaced by plan: the new one first
		next := m.add(fmt.Sprint("n", len(m.boxes)))
		m.back(next)
		m.pass(catchUp)
		m.openAt = 0
		b.leaving = true
		m.pass(time.Duration(2000+m.rng.IntN(2000)) * time.Millisecond)
		b.up, b.gone = false, true
		return // its successor has had its time: from now on nothing counts as lost
	case 5: // its disk takes nothing for a while
		b.full = true
		m.pass(time.Duration(m.rng.IntN(4000)) * time.Millisecond)
		b.full = false
	case 6: // all lose power at once; disks are kept
		for _, other := range live {
			other.up = false
		}
		m.pass(time.Second)
		for _, other := range live {
			m.start(other)
		}
	}
	m.back(b)
}

// cutInTwo cuts the core in two. Where nothing else is lost, and the voters are as many as they come to be, orders are taken in the
// greater half for as long as that lasts.
func (m *model) cutInTwo(live []*box) {
	m.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	greater := len(live)/2 + 1 + m.rng.IntN((len(live)+1)/2)
	greater = min(greater, len(live)-1)
	steady := m.lost() == 0 && m.whole() && len(live[0].known.Value.Members.Last()) >= len(live)-1
	for _, b := range live[greater:] {
		b.side = 1
	}
	for end := m.now + time.Duration(2+m.rng.IntN(18))*time.Second; m.now < end && m.bad == nil; {
		begun, acked := m.now, len(m.acked)
		for m.bad == nil && len(m.acked) == acked && m.now-begun < catchUp {
			m.operateAt(live[m.rng.IntN(greater)])
			m.step()
		}
		if steady && len(m.acked) == acked && m.bad == nil {
			m.bad = fmt.Errorf("%v: no order is taken in the greater half, %d of %d", m.now, greater, len(live))
		}
		if steady {
			m.split = append(m.split, m.now-begun)
		}
		m.pass(time.Duration(m.rng.IntN(1000)) * time.Millisecond)
	}
	for _, b := range live {
		b.side = 0
	}
}

// close is the end of a day: a value is acknowledged, then one disk is lost while all others lose power.
func (m *model) close() {
	acked := len(m.acked)
	for range 400 {
		m.operate()
		m.step()
		if len(m.acked) > acked || m.bad != nil {
			break
		}
	}
	if m.bad == nil && len(m.acked) == acked {
		m.bad = fmt.Errorf("%v: no order is taken though nothing is lost", m.now)
		return
	}
	var live []*box
	for _, b := range m.boxes {
		if !b.gone {
			live = append(live, b)
		}
	}
	for _, b := range live {
		b.up = false
	}
	m.wipe(live[m.rng.IntN(len(live))])
	m.openAt = 0
	m.pass(time.Second)
	for _, b := range live {
		m.start(b)
	}
	m.back(live[0])
	m.pass(catchUp)
	m.readBack()
}

// readBack checks that what was acknowledged is in the chain that ends in the newest value.
func (m *model) readBack() {
	if m.bad != nil {
		return
	}
	newest := slices.Max(slices.Collect(maps.Keys(m.chosen)))
	line := map[string]bool{}
	for k := m.chosen[newest]; k != ""; k = m.parent[k] {
		line[k] = true
	}
	for _, k := range m.acked {
		if !line[k] {
			m.bad = fmt.Errorf("%s was acknowledged and is not in the line of the newest value", k)
			return
		}
	}
}

// play is one history: losses as early as the accounting lets them come, then a day's end.
func play(seed uint64, plant faults, loss float64, slow bool) *model {
	boxes, borne := 3+int(seed%5), 1
	if boxes >= 5 && seed%2 == 0 {
		borne = 2
	}
	m := newModel(seed, boxes, borne, plant, loss, slow)
	for range 3 {
		for m.lost() >= borne && m.bad == nil {
			m.pass(tick)
		}
		if m.rng.IntN(3) == 0 {
			m.pass(time.Duration(m.rng.IntN(2000)) * time.Millisecond)
		}
		if m.bad == nil {
			m.misfortune()
		}
	}
	for m.lost() > 0 && m.bad == nil {
		m.pass(tick)
	}
	m.close()
	return m
}

func TestHistoriesOfLosses(t *testing.T) {
	histories := 10000
	if testing.Short() {
		histories = 500
	}
	for _, c := range []struct {
		loss float64
		slow bool
	}{{0, false}, {0.05, false}, {0.2, false}, {0, true}} {
		t.Run(fmt.Sprintf("loss %.2f, slow disks %t", c.loss, c.slow), func(t *testing.T) {
			t.Parallel()
			playMany(t, histories/4, c.loss, c.slow)
		})
	}
}

func playMany(t *testing.T, histories int, loss float64, slow bool) {
	var waits, split []time.Duration
	orders := 0
	for seed := range histories {
		m := play(uint64(seed), faults{}, loss, slow)
		if m.bad != nil {
			t.Fatalf("seed %d: %v", seed, m.bad)
		}
		waits, split = append(waits, m.waits...), append(split, m.split...)
		orders += len(m.acked)
	}
	slices.SortFunc(waits, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	t.Logf("%d histories, %d orders taken; whole again after %v (p50), %v (p99), %v (most), of %v", histories, orders,
		waits[len(waits)/2], waits[len(waits)*99/100], waits[len(waits)-1], catchUp)
	slices.Sort(split)
	t.Logf("%d orders in the greater half of a core that was cut in two: %v (p50), %v (p99), %v (most)", len(split),
		split[len(split)/2], split[len(split)*99/100], split[len(split)-1])
}

func TestPlantedFaultsAreFound(t *testing.T) {
	for name, plant := range map[string]faults{
		"an extra fourth voter":       {extraVoter: true},
		"leave without handing over":  {keepLeaving: true},
		"vote under an old identity":  {oldIdentity: true},
		"stay behind after missing":   {noLearning: true},
		"change by the new set alone": {oneSet: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(10000) {
				if m := play(seed, plant, 0.05, false); m.bad != nil {
					t.Logf("found by history %d: %v", seed, m.bad)
					return
				}
			}
			t.Error("not found in 10000 histories")
		})
	}
}
