package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// newCore returns a core that knows no other member.
func newCore(name string) *Core {
	return New(Member{Name: name, Addr: name + ":1", Boot: 1, Incarnation: 10}, Timing{}, 1, nil)
}

// deliver passes one message to the core and returns the messages that it sends.
func deliver(c *Core, now float64, m Message) (sent []Message) {
	for _, o := range c.Step(now, []Input{Received{Addr: m.From + ":1", Message: m}}) {
		if s, is := o.(Send); is {
			sent = append(sent, s.Message)
		}
	}
	return sent
}

// deliverNews passes updates to the core in a gossip message.
func deliverNews(c *Core, now float64, list ...Member) {
	deliver(c, now, Message{Kind: Gossip, From: "x", News: list})
}

func member(name string, inc uint64, s State) Member {
	return Member{Name: name, Addr: name + ":1", Boot: 1, Incarnation: inc, State: s, Weight: 1}
}

func stateOf(t *testing.T, c *Core, name string) State {
	for _, m := range c.Members() {
		if m.Name == name {
			return m.State
		}
	}
	require.Fail(t, "unknown member: "+name)
	return 0
}

// Updates of a member merge to the same result in any order: the highest incarnation wins, then the highest state.
func TestNewsMergesAlikeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := []Member{member("m", 0, Alive)}
		for range rapid.IntRange(1, 8).Draw(t, "updates") {
			m := member("m", rapid.Uint64Range(1, 4).Draw(t, "incarnation"), State(rapid.IntRange(0, 3).Draw(t, "state")))
			m.By = "x"
			list = append(list, m)
		}
		result := func(order []int) string {
			c := newCore("a")
			deliverNews(c, 1000, list[0])
			for _, i := range order {
				deliverNews(c, 1000, list[1+i])
			}
			m := c.Members()[1]
			return fmt.Sprint(m.Incarnation, m.State)
		}
		order := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1)).Perm(len(list) - 1)
		inOrder := make([]int, len(order))
		for i := range inOrder {
			inOrder[i] = i
		}
		if x, y := result(inOrder), result(order); x != y {
			t.Fatalf("in order: %s, permuted: %s", x, y)
		}
	})
}

func TestRefutes(t *testing.T) {
	for _, c := range []struct {
		name string
		said Member
		inc  uint64
	}{
		{"a suspicion", member("a", 10, Suspect), 11},
		{"its own death", member("a", 12, Dead), 13},
		{"an outdated incarnation", member("a", 9, Dead), 10},
		{"its own state", member("a", 10, Alive), 10},
		{"an update of an earlier process", Member{Name: "a", Addr: "old:1", Boot: 9, Incarnation: 20}, 21},
	} {
		k := newCore("a")
		k.Step(1000, nil)
		deliverNews(k, 1000, c.said)
		assert.Equal(t, c.inc, k.Self().Incarnation, c.name)
		assert.Equal(t, Alive, k.Self().State, c.name)
	}
}

// A suspect is declared dead after the maximum timeout with one accuser (and this member itself), sooner with more. Its
// own refutation ends the suspicion.
func TestSuspicion(t *testing.T) {
	std := Standard()
	longest := std.SuspicionMult * std.ProbeInterval * std.MaxSuspicionMult
	for _, c := range []struct {
		accusers int
		dead     float64 // must be dead by then
		alive    float64 // must still be suspect then
	}{{1, longest + 50, 0.6 * longest}, {4, std.SuspicionMult*std.ProbeInterval + 50, std.SuspicionMult*std.ProbeInterval - 50}} {
		k := newCore("a")
		var all []Member
		for i := range 6 {
			all = append(all, member(fmt.Sprint("m", i), 5, Alive))
		}
		deliverNews(k, 1000, all...)
		for i := range c.accusers {
			m := member("m0", 5, Suspect)
			m.By = fmt.Sprint("m", i+1)
			deliverNews(k, 1000, m)
		}
		assert.Equal(t, Suspect, stateOf(t, k, "m0"))
		now := 1000.0
		step := func(to float64) {
			for ; now <= 1000+to; now = max(now+1, k.Due()) {
				k.Step(now, nil)
			}
		}
		step(c.alive)
		assert.Equal(t, Suspect, stateOf(t, k, "m0"), "%d accusers", c.accusers)
		step(c.dead)
		assert.Equal(t, Dead, stateOf(t, k, "m0"), "%d accusers", c.accusers)
		deliverNews(k, now, member("m0", 6, Alive))
		assert.Equal(t, Alive, stateOf(t, k, "m0"), "refuted by the member itself")
	}
}

func TestBadNews(t *testing.T) {
	k := newCore("a")
	bad := []Member{{}, {Name: "m", State: 9}, {Name: "m", Weight: -1}, {Name: "m", Weight: 1e9}}
	deliverNews(k, 1000, bad...)
	assert.Len(t, k.Members(), 1)
	assert.Equal(t, len(bad), k.Counts.Dropped)
	deliverNews(k, 1000, member("gone", 5, Dead), member("left", 5, Left))
	assert.Len(t, k.Members(), 1, "no tombstones for unknown members")
	var many []Member
	for i := range 3000 {
		many = append(many, member(fmt.Sprint("m", i), 5, Alive))
	}
	deliverNews(k, 1000, many...)
	assert.Len(t, k.Members(), 1024, "bounded")
	assert.Empty(t, deliver(k, 1001, Message{Kind: Ping, From: "a"}), "another process with this name")
	assert.Empty(t, deliver(k, 1001, Message{Kind: Ping, From: "b", To: "c"}), "addressed to another member")
	for i := range 1000 {
		deliver(k, 1001, Message{Kind: Relay, From: "m1", Seq: uint32(i), Target: member("m2", 5, Alive)})
	}
	assert.LessOrEqual(t, len(k.relays), maxRelays)
	k.Step(5000, nil)
	assert.Empty(t, k.relays, "released")
	few := newCore("a")
	deliverNews(few, 1000, many[:20]...)
	for now := 1000.0; now < 1e6; now = max(now+1, few.Due()) {
		few.Step(now, nil)
	}
	assert.Equal(t, 0, few.EntryCount(), "dead members are removed")
}

// A relay forwards the Ack, or sends a Nack when the target does not answer.
func TestRelay(t *testing.T) {
	k := newCore("a")
	deliverNews(k, 1000, member("b", 5, Alive), member("c", 5, Alive))
	sent := deliver(k, 1000, Message{Kind: Relay, From: "b", Seq: 7, Target: member("c", 5, Alive)})
	require.NotEmpty(t, sent)
	ping := sent[0]
	assert.Equal(t, [2]any{Ping, "c"}, [2]any{ping.Kind, ping.To})
	sent = deliver(k, 1010, Message{Kind: Ack, From: "c", Seq: ping.Seq})
	require.NotEmpty(t, sent)
	assert.Equal(t, [3]any{Ack, "b", uint32(7)}, [3]any{sent[0].Kind, sent[0].To, sent[0].Seq})
	deliver(k, 1020, Message{Kind: Relay, From: "b", Seq: 8, Target: member("c", 5, Alive)})
	var nack bool
	for _, o := range k.Step(1500, nil) {
		if s, is := o.(Send); is && s.Message.Kind == Nack {
			nack = s.Message.Seq == 8 && s.Message.To == "b"
		}
	}
	assert.True(t, nack)
}
