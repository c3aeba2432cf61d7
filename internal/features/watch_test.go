package features

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const watchDocument = `watch {
  second_copies = false
  notes = true
  dispatches = 3
  budget {
    free = 20
    share = 0.05
    window = "5s"
  }
  table_type "switch" {
    effect = "keyed"
    repeat_window = "3s"
  }
  table_type "quote" {
    effect = "replayable"
  }
}
`

func TestWatch(t *testing.T) {
	d, err := Parse([]byte(watchDocument), "/etc/f.hcl", "n1")
	require.NoError(t, err)
	w := d.Shadow
	assert.Equal(t, [3]any{false, true, 3.0}, [3]any{*w.SecondCopies, *w.Notes, *w.Dispatches})
	assert.Nil(t, w.Cancelling, "a missing key stays nil")
	assert.Equal(t, &Budget{20, 0.05, 5 * time.Second}, w.Budget)
	assert.Equal(t, ShadowTableType{"switch", "keyed", "f.hcl:10: watch table_type switch", 3 * time.Second}, w.Types[0])
	assert.Equal(t, []string{"watch"}, d.RestartChanges(&Document{}))
	for _, c := range []struct{ old, repl, want string }{
		{watchDocument, "watch {\n}\n", "f.hcl:1: watch: the block is empty"},
		{`dispatches = 3`, `dispatches = 0`, "f.hcl:4: watch.dispatches: 0 is not from 1 to 100"},
		{`dispatches = 3`, `dispatches = 2.5`, "f.hcl:4: watch.dispatches: 2.5 is not a whole number"},
		{`notes = true`, `notes = 7`, "f.hcl:3: "},
		{`share = 0.05`, `share = -1`, "f.hcl:7: watch budget.share: -1 is not from 0 to 10"},
		{`share = 0.05`, ``, "f.hcl:5: Missing required argument"},
		{`"5s"`, `"soon"`, `f.hcl:8: watch budget.window: "soon" is not a duration from 100ms to 1h0m0s`},
		{`"keyed"`, `"safe"`, `f.hcl:11: watch table_type switch.effect: "safe" is none of replayable`},
		{`repeat_window = "3s"`, ``, "f.hcl:10: watch table_type switch.repeat_window: required with the effect keyed"},
		{`"replayable"`, "\"replayable\"\n repeat_window = \"1s\"", "f.hcl:16: watch table_type quote.repeat_window: required with the effect keyed"},
		{`"quote"`, `"switch"`, "f.hcl:10: watch table_type switch: duplicate table type"},
	} {
		require.Contains(t, watchDocument, c.old)
		_, err := Parse([]byte(strings.Replace(watchDocument, c.old, c.repl, 1)), "/etc/f.hcl", "n1")
		assert.ErrorContains(t, err, c.want, c.repl)
	}
}
