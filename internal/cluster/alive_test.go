package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"time"

	"gullstair/internal/dissemination"
	"gullstair/internal/peersampling"
	"gullstair/internal/settings"
)

// newTestNode returns a node that stores records and makes no calls.
func newTestNode() *Node {
	self := Member{Name: "front-0", IP: "10.0.0.0", Zone: "a"}
	return &Node{store: dissemination.New(), view: peersampling.New(self.IP, 1), self: self, lastUpdate: map[string]time.Time{}, pushScheduled: true}
}

// age moves all times of the last update into the past.
func (n *Node) age(by time.Duration) {
	for ip, at := range n.lastUpdate {
		n.lastUpdate[ip] = at.Add(-by)
	}
	n.alive.validUntil = n.alive.validUntil.Add(-by)
}

// fleet generates the member records of a simulated fleet.
type fleet struct {
	random  *rand.Rand
	members []Member
	version []dissemination.Version
}

func newFleet(size int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), version: make([]dissemination.Version, size)}
	for number := range size {
		f.members = append(f.members, Member{Name: fmt.Sprint("front-", number+1), IP: fmt.Sprint("10.0.1.", number+1), Zone: f.zone()})
	}
	return f
}

func (f *fleet) zone() string { return []string{"a", "b", "c"}[f.random.IntN(3)] }

// renewal returns the next record of a member, with its body changed by change if that is not nil.
func (f *fleet) renewal(number int, change func(*Member)) dissemination.Record {
	f.version[number].Sequence++
	if change != nil {
		change(&f.members[number])
	}
	return dissemination.Record{Kind: MemberRecord, Key: f.members[number].IP, Version: f.version[number], Body: f.members[number]}
}

// restart returns the record of a member that restarts with another disk, or in another zone.
func (f *fleet) restart(number int) dissemination.Record {
	f.version[number] = dissemination.Version{Epoch: f.version[number].Epoch + 1}
	return f.renewal(number, func(m *Member) { m.Zone, m.Disk, m.Leaving = f.zone(), f.random.Uint64N(3), false })
}

// TestAliveMembersAsWorkedOut makes members join, renew, change, leave, time out and expire. After each step the
// cached list must equal a list that is built from the records.
func TestAliveMembersAsWorkedOut(t *testing.T) {
	for seed := range uint64(8) {
		n, f := newTestNode(), newFleet(90, seed)
		for step := range 2000 {
			number := f.random.IntN(len(f.members))
			switch f.random.IntN(16) {
			case 0:
				n.age(time.Duration(f.random.Int64N(int64(2 * n.silenceTimeout() / 3))))
			case 1:
				n.putAndPush([]dissemination.Record{f.renewal(number, func(m *Member) { m.Leaving = true })}, "10.0.1.1")
			case 2:
				n.putAndPush([]dissemination.Record{f.restart(number)}, "10.0.1.1")
			case 3:
				n.expire(renewInterval)
			default:
				n.putAndPush([]dissemination.Record{f.renewal(number, nil)}, "10.0.1.1")
			}
			now := time.Now()
			got, want := n.aliveList(now), buildAliveList(n.self, n.store.OfKind(MemberRecord), n.lastUpdate, now, n.silenceTimeout())
			if !slices.Equal(got.all, want.all) || !slices.Equal(got.sameZone, want.sameZone) {
				t.Fatalf("seed %d, step %d: %v, near %v, want %v, near %v", seed, step, got.all, got.sameZone, want.all, want.sameZone)
			}
		}
	}
}

// TestLeavingMemberIsNotAsItWas makes the node itself leave; the cached list must show it as leaving.
func TestLeavingMemberIsNotAsItWas(t *testing.T) {
	n := newTestNode()
	if n.Members()[0].Leaving {
		t.Fatal("the node is listed as leaving before Leave is called")
	}
	n.reviewRequested = make(chan struct{}, 1)
	n.Leave()
	if !n.Members()[0].Leaving {
		t.Error("the list does not show this broker as leaving")
	}
}

// TestListIsKeptWhileMembersRenew guards against rebuilding the list for every note of work. In a fleet of 300 each
// broker rebuilt its list up to 250 times a second, and compared it with the previous one for each instance. Renewals
// alone must not cause a rebuild.
func TestListIsKeptWhileMembersRenew(t *testing.T) {
	n, f := newTestNode(), newFleet(250, 1)
	for number := range f.members {
		n.putAndPush([]dissemination.Record{f.renewal(number, nil)}, "10.0.1.1")
	}
	listed := n.Members()
	if len(listed) != 251 {
		t.Fatalf("%d members are listed", len(listed))
	}
	for number := range f.members {
		n.putAndPush([]dissemination.Record{f.renewal(number, nil)}, "10.0.1.1")
	}
	if again := n.Members(); &again[0] != &listed[0] {
		t.Error("the list was rebuilt, though the members only renewed their records")
	}
	if allocs := testing.AllocsPerRun(100, func() { n.Members() }); allocs > 0 {
		t.Errorf("listing the members again makes %v allocations", allocs)
	}
}

// TestSample checks that samples are uniform and without duplicates, and that the members keep their order.
func TestSample(t *testing.T) {
	const size, sampleSize, draws = 20, 8, 4000
	f := newFleet(size, 3)
	before := slices.Clone(f.members)
	drawn := map[string]int{}
	for range draws {
		got := sample(f.members, sampleSize)
		names := map[string]bool{}
		for _, m := range got {
			names[m.Name] = true
			drawn[m.Name]++
		}
		if len(got) != sampleSize || len(names) != sampleSize {
			t.Fatalf("the sample has %d members, %d of them distinct", len(got), len(names))
		}
	}
	if !slices.Equal(before, f.members) {
		t.Error("sample changed the order of the members")
	}
	const each = draws * sampleSize / size
	for _, m := range f.members { // the standard deviation is 31
		if drawn[m.Name] < each-200 || drawn[m.Name] > each+200 {
			t.Errorf("%s was drawn %d times, %d expected", m.Name, drawn[m.Name], each)
		}
	}
	if got := sample(f.members[:3], sampleSize); len(got) != 3 {
		t.Errorf("the sample of three members has %d", len(got))
	}
}

// sentNotes is a socket that records the destinations of datagrams.
type sentNotes struct{ to []string }

func (s *sentNotes) Send(_ []byte, address string) { s.to = append(s.to, address) }
func (s *sentNotes) Receive([]byte) (int, error)   { return 0, net.ErrClosed }
func (s *sentNotes) Close() error                  { return nil }

// TestWideNotesReachAll sends notes of work in a large fleet, where an ordinary note goes to a sample of the zone. A
// wide note must reach every other broker exactly once.
func TestWideNotesReachAll(t *testing.T) {
	n, f, sent := newTestNode(), newFleet(90, 5), &sentNotes{}
	n.settings, n.noteSocket = &settings.Settings{}, sent
	for number := range f.members {
		n.putAndPush([]dissemination.Record{f.renewal(number, nil)}, "10.0.1.1")
	}
	n.SendWorkNote([]byte("abc"), false)
	if len(sent.to) != workFanout {
		t.Errorf("a note went to %d brokers", len(sent.to))
	}
	sent.to = nil
	n.SendWorkNote([]byte("abc"), true)
	slices.Sort(sent.to)
	if distinct := len(slices.Compact(slices.Clone(sent.to))); distinct != len(f.members) || len(sent.to) != distinct {
		t.Errorf("a wide note went to %d brokers, %d of them distinct", len(sent.to), distinct)
	}
}
