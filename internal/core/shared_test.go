package core

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/internal/startsettings"
	"gullstair/logic"
)

// step steps a core whose module has no settings, and omits the module's log lines.
func step(k *Core, now float64, in ...Input) (out []Output) {
	for _, o := range k.Step(now, in) {
		if _, isLog := o.(Log); !isLog {
			out = append(out, o)
		}
	}
	return out
}

// Shared probes: a node that is draining, gone or unknown is not probed; the result goes to the module and to the other
// brokers; the result of another broker goes to the module with its age.
func TestSharedProbes(t *testing.T) {
	list := []Node{{Host: "s-a", Addr: "127.0.0.1:2", Readiness: logic.Ready}, {Host: "s-b", Addr: "127.0.0.1:3", Readiness: logic.Draining}}
	k := New(startsettings.Settings{ConnectTimeout: 250}, nil, 1, list)
	assert.Equal(t, NodeList{Hosts: []string{"s-a"}, Nodes: list}, k.ReportList())
	step(k, 1000)
	for _, host := range []string{"s-b", "s-x"} {
		assert.Equal(t, []Output{ProbeResult{Host: host}}, step(k, 1001, ProbeRequest{host}), host)
	}
	out := step(k, 1010, ProbeRequest{"s-a"})
	require.Len(t, out, 1)
	p := out[0].(Probe)
	assert.Equal(t, "s-a", p.Host)
	load := map[string]float64{"busy": 1}
	k.now = 1020
	k.dispatchEnded(Ended{Ref: p.Ref, Reason: Answered, At: 1020, Load: load})
	assert.Equal(t, []Output{ProbeResult{Host: "s-a", Served: true, Load: load}}, k.out)
	require.Len(t, k.events, 1)
	assert.Equal(t, logic.ProbeEnded, k.events[0].Kind)
	k.events, k.out = nil, nil
	out = step(k, 1300, ProbeRequest{"s-a"})
	p = out[0].(Probe)
	assert.Equal(t, []Output{ProbeResult{Host: "s-a"}}, step(k, 1600), "the probe times out")
	assert.Empty(t, k.probes)
	k.applyPeerProbe(PeerProbe{Host: "s-a", Age: 40, Served: true, Load: load})
	k.applyPeerProbe(PeerProbe{Host: "s-x", Age: 40, Served: true, Load: load})
	require.Len(t, k.events, 1, "results for an unknown node are dropped")
	e := k.events[0]
	assert.Equal(t, [3]any{logic.Completed, 40.0, k.Number("s-a")}, [3]any{e.Outcome, e.Age, e.Node})
	out = step(k, 1700, List{Kind: logic.ListDelta, Nodes: []Node{{Host: "s-a", Readiness: logic.Gone}}})
	assert.Contains(t, out, NodeList{Nodes: list[1:]}, "the list is emitted")
}

// A node drained by an operator is reported to the module as draining until the drain ends; notes, and verdicts on known
// nodes, reach the module.
func TestOperatorDrain(t *testing.T) {
	list := []Node{{Host: "s-a", Addr: "127.0.0.1:2", Readiness: logic.Ready}}
	k := New(startsettings.Settings{}, nil, 1, list)
	k.ReportList()
	step(k, 1000)
	k.applyVerdict(NodeVerdict{Host: "s-a", Outcome: logic.Errored, Age: 30, Drained: true})
	require.Len(t, k.events, 2)
	assert.Equal(t, logic.Draining, k.events[0].Entries[0].Readiness)
	assert.Equal(t, [4]any{logic.VerdictReceived, k.Number("s-a"), logic.Errored, 30.0}, [4]any{k.events[1].Kind, k.events[1].Node, k.events[1].Outcome, k.events[1].Age})
	assert.Empty(t, k.nodeList().Hosts, "it is not probed")
	assert.Equal(t, list, k.nodeList().Nodes, "other brokers get what the list reports")
	k.events = nil
	k.applyList(List{Kind: logic.ListFull, Nodes: list})
	assert.Equal(t, logic.Draining, k.events[0].Entries[0].Readiness, "whatever the list reports")
	k.events = nil
	k.applyVerdict(NodeVerdict{Host: "s-a", Outcome: logic.Completed})
	assert.Equal(t, logic.Ready, k.events[0].Entries[0].Readiness)
	k.events = nil
	k.applyVerdict(NodeVerdict{Host: "s-x", Outcome: logic.Errored})
	assert.Empty(t, k.events)
	k.Step(1010, []Input{PeerNote{Note: []byte{1, 2, 3}}})
}
