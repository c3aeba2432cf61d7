package core

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"gullstair/internal/startsettings"
	"gullstair/logic"
)

// A probe that the module requests ends once, with the outcome that it had. The current module requests no probes.
func TestProbe(t *testing.T) {
	for name, c := range map[string]struct {
		ends []Ended // Ref is filled in
		now  float64
		want logic.Outcome
	}{
		"answered":      {[]Ended{{Reason: Answered, At: 1040, Load: map[string]float64{"busy": 1}}, {Reason: ReadFailed}}, 1050, logic.Completed},
		"no connection": {[]Ended{{Reason: DialRefused, At: 1040}}, 1050, logic.ConnRefused},
		"silent":        {nil, 1250, logic.Overdue},
	} {
		list := []Node{{Host: "s-a", Addr: "127.0.0.1:2"}}
		k := New(startsettings.Settings{ConnectTimeout: 250}, nil, 1, list)
		k.Step(1000, nil)
		k.act([]logic.Action{{Kind: logic.Probe, Node: k.Number("s-a")}, {Kind: logic.Probe, Node: 5}})
		p := k.out[len(k.out)-1].(Probe)
		assert.Equal(t, Probe{Host: "s-a", Addr: "127.0.0.1:2", Ref: p.Ref}, p, name)
		assert.Equal(t, logic.ConnRefused, k.events[0].Outcome, "%s: a node that no list has named", name)
		k.events, k.now = nil, c.now
		for _, e := range c.ends {
			e.Ref = p.Ref
			k.dispatchEnded(e)
		}
		if len(c.ends) == 0 {
			k.fire(k.timers[0])
			k.dispatchEnded(Ended{Ref: p.Ref, Reason: Answered})
		}
		if assert.Len(t, k.events, 1, name) {
			e := k.events[0]
			assert.Equal(t, [2]any{logic.ProbeEnded, c.want}, [2]any{e.Kind, e.Outcome}, name)
			assert.Equal(t, k.Number("s-a"), e.Node, name)
		}
		assert.Empty(t, k.probes, name)
	}
}
