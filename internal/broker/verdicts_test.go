package broker

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"gullstair/internal/core"
	"gullstair/internal/verdicts"
	"gullstair/logic"
)

// Each verdict maps to the outcome for the module. A change of a drain alone, or the end of an overload, must not count as
// a recovery: that would re-enable a node that fails for this broker.
func TestVerdictOutcomes(t *testing.T) {
	for _, c := range []struct {
		kind, was verdicts.Kind
		want      logic.Outcome
	}{
		{verdicts.Fails, verdicts.Well, logic.Errored}, {verdicts.Silent, verdicts.Well, logic.Errored}, {verdicts.Well, verdicts.Fails, logic.Completed},
		{verdicts.Well, verdicts.Silent, logic.Completed}, {verdicts.Slow, verdicts.Well, logic.Saturated}, {verdicts.Full, verdicts.Well, logic.Saturated},
		{verdicts.Well, verdicts.Slow, 0}, {verdicts.Well, verdicts.Full, 0}, {verdicts.Well, verdicts.Well, 0}, {verdicts.Well, 0, 0},
	} {
		got := ToNodeVerdict(verdicts.Verdict{Store: "s", Kind: c.kind, Was: c.was, Age: 7, Drain: true})
		assert.Equal(t, core.NodeVerdict{Host: "s", Outcome: c.want, Age: 7, Drained: true}, got, "%v after %v", c.kind, c.was)
	}
	assert.Equal(t, verdicts.Slow, ToVerdictKind(core.OutcomeReport{Outcome: logic.Completed, Late: true}))
	assert.Equal(t, verdicts.Well, ToVerdictKind(core.OutcomeReport{Outcome: logic.Completed}))
}
