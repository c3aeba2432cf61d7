package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"time"

	"gullstair/internal/dissemination"
	"gullstair/internal/peers"
	"gullstair/internal/settings"
)

// listening is a node that takes records and calls nobody.
func listening() *Node {
	self := Member{Name: "front-0", IP: "10.0.0.0", Zone: "a"}
	return &Node{store: dissemination.New(), view: peers.New(self.IP, 1), self: self, heard: map[string]time.Time{}, pushing: true}
}

// age makes all that a node has heard older.
func (n *Node) age(by time.Duration) {
	for ip, at := range n.heard {
		n.heard[ip] = at.Add(-by)
	}
	n.alive.until = n.alive.until.Add(-by)
}

// fleet draws what the members of a fleet tell of themselves.
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

// renewal is the next record of a member, as it is or changed.
func (f *fleet) renewal(number int, change func(*Member)) dissemination.Record {
	f.version[number].Sequence++
	if change != nil {
		change(&f.members[number])
	}
	return dissemination.Record{Kind: MemberRecord, Key: f.members[number].IP, Version: f.version[number], Body: f.members[number]}
}

// restart has a member begin again with another disk, or in another zone.
func (f *fleet) restart(number int) dissemination.Record {
	f.version[number] = dissemination.Version{Epoch: f.version[number].Epoch + 1}
	return f.renewal(number, func(m *Member) { m.Zone, m.Disk, m.Leaving = f.zone(), f.random.Uint64N(3), false })
}

// TestAliveMembersAsWorkedOut has members come, renew, change, leave, fall silent and be forgotten; the list that is kept
// is at each moment what the records say.
func TestAliveMembersAsWorkedOut(t *testing.T) {
	for seed := range uint64(8) {
		n, f := listening(), newFleet(90, seed)
		for step := range 2000 {
			number := f.random.IntN(len(f.members))
			switch f.random.IntN(16) {
			case 0:
				n.age(time.Duration(f.random.Int64N(int64(2 * n.patience() / 3))))
			case 1:
				n.take([]dissemination.Record{f.renewal(number, func(m *Member) { m.Leaving = true })}, "10.0.1.1")
			case 2:
				n.take([]dissemination.Record{f.restart(number)}, "10.0.1.1")
			case 3:
				n.expire(beatEvery)
			default:
				n.take([]dissemination.Record{f.renewal(number, nil)}, "10.0.1.1")
			}
			now := time.Now()
			got, want := n.listed(now), listAlive(n.self, n.store.Of(MemberRecord), n.heard, now, n.patience())
			if !slices.Equal(got.all, want.all) || !slices.Equal(got.near, want.near) {
				t.Fatalf("seed %d, step %d: %v, near %v, want %v, near %v", seed, step, got.all, got.near, want.all, want.near)
			}
		}
	}
}

// TestLeavingMemberIsNotAsItWas has the node itself leave.
func TestLeavingMemberIsNotAsItWas(t *testing.T) {
	n := listening()
	if n.Members()[0].Leaving {
		t.Fatal("leaves before it does")
	}
	n.reviewNow = make(chan struct{}, 1)
	n.Leave()
	if !n.Members()[0].Leaving {
		t.Error("the list has this broker as it was")
	}
}

// Symptom: of 300 brokers each worked its list of members out again for every note of work, up to 250 times a second, and
// for each instance compared it with the one before. While all only renew their records nothing is worked out.
func TestListIsKeptWhileMembersRenew(t *testing.T) {
	n, f := listening(), newFleet(250, 1)
	for number := range f.members {
		n.take([]dissemination.Record{f.renewal(number, nil)}, "10.0.1.1")
	}
	listed := n.Members()
	if len(listed) != 251 {
		t.Fatalf("%d members are listed", len(listed))
	}
	for number := range f.members {
		n.take([]dissemination.Record{f.renewal(number, nil)}, "10.0.1.1")
	}
	if again := n.Members(); &again[0] != &listed[0] {
		t.Error("the list was made again, though all only renewed their records")
	}
	if made := testing.AllocsPerRun(100, func() { n.Members() }); made > 0 {
		t.Errorf("to list the members again allocates %v times", made)
	}
}

// TestSample draws from members, each as likely as the others and none twice, and leaves the members in their order.
func TestSample(t *testing.T) {
	const size, most, draws = 20, 8, 4000
	f := newFleet(size, 3)
	before := slices.Clone(f.members)
	drawn := map[string]int{}
	for range draws {
		got := sample(f.members, most)
		names := map[string]bool{}
		for _, m := range got {
			names[m.Name] = true
			drawn[m.Name]++
		}
		if len(got) != most || len(names) != most {
			t.Fatalf("%d drawn, %d of them different", len(got), len(names))
		}
	}
	if !slices.Equal(before, f.members) {
		t.Error("the members were put in another order")
	}
	const each = draws * most / size
	for _, m := range f.members { // a deviation is 31
		if drawn[m.Name] < each-200 || drawn[m.Name] > each+200 {
			t.Errorf("%s was drawn %d times, %d expected", m.Name, drawn[m.Name], each)
		}
	}
	if got := sample(f.members[:3], most); len(got) != 3 {
		t.Errorf("%d of three were drawn", len(got))
	}
}

// sentNotes is a socket that keeps to whom datagrams were sent.
type sentNotes struct{ to []string }

func (s *sentNotes) Send(_ []byte, address string) { s.to = append(s.to, address) }
func (s *sentNotes) Receive([]byte) (int, error)   { return 0, net.ErrClosed }
func (s *sentNotes) Close() error                  { return nil }

// TestWideNotesReachAll sends notes of work in a fleet in which most of them go to some neighbors: a wide one goes to all,
// once each.
func TestWideNotesReachAll(t *testing.T) {
	n, f, sent := listening(), newFleet(90, 5), &sentNotes{}
	n.settings, n.notes = &settings.Settings{}, sent
	for number := range f.members {
		n.take([]dissemination.Record{f.renewal(number, nil)}, "10.0.1.1")
	}
	n.TellWork([]byte("abc"), false)
	if len(sent.to) != workFanout {
		t.Errorf("a note went to %d brokers", len(sent.to))
	}
	sent.to = nil
	n.TellWork([]byte("abc"), true)
	slices.Sort(sent.to)
	if different := len(slices.Compact(slices.Clone(sent.to))); different != len(f.members) || len(sent.to) != different {
		t.Errorf("a wide note went to %d brokers, %d of them different", len(sent.to), different)
	}
}
