package broker

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"gullstair/internal/core"
	"gullstair/internal/verdicts"
	"gullstair/logic"
)

// The module hears what a verdict is to it. That only a drain has changed, or that a load is over, is no recovery: a node that fails here would work again by it.
func TestHeld(t *testing.T) {
	for _, c := range []struct {
		kind, was verdicts.Kind
		want      logic.Outcome
	}{
		{verdicts.Fails, verdicts.Well, logic.Errored}, {verdicts.Silent, verdicts.Well, logic.Errored}, {verdicts.Well, verdicts.Fails, logic.Completed},
		{verdicts.Well, verdicts.Silent, logic.Completed}, {verdicts.Slow, verdicts.Well, logic.Saturated}, {verdicts.Full, verdicts.Well, logic.Saturated},
		{verdicts.Well, verdicts.Slow, 0}, {verdicts.Well, verdicts.Full, 0}, {verdicts.Well, verdicts.Well, 0}, {verdicts.Well, 0, 0},
	} {
		got := Held(verdicts.Verdict{Store: "s", Kind: c.kind, Was: c.was, Age: 7, Drain: true})
		assert.Equal(t, core.Held{Host: "s", Outcome: c.want, Age: 7, Drained: true}, got, "%v after %v", c.kind, c.was)
	}
	assert.Equal(t, verdicts.Slow, Seen(core.Judged{Outcome: logic.Completed, Late: true}))
	assert.Equal(t, verdicts.Well, Seen(core.Judged{Outcome: logic.Completed}))
}
