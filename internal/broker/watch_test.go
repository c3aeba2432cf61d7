package broker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/internal/features"
)

// The shadow settings are a copy of the current settings with the values of the document; the current settings do not
// change.
func TestShadowSettings(t *testing.T) {
	flat := map[string]any{"limit.secondCopies": false, "limit.dispatches": 4.0, "tableType.0.effect": "keyed", "turn": 5.0}
	yes, three := true, 3.0
	w := &features.ShadowSettings{SecondCopies: &yes, Dispatches: &three, Budget: &features.Budget{Free: 20, Share: 0.05, Window: 5 * time.Second},
		Types: []features.ShadowTableType{{Name: "board", Effect: "non-replayable"}}}
	shadow, err := shadowSettings(flat, map[string]int{"board": 0}, w)
	require.NoError(t, err)
	assert.Equal(t, map[string]any{"limit.secondCopies": true, "limit.dispatches": 3.0, "turn": 5.0,
		"tableType.0.effect": "non-replayable", "tableType.0.repeatWindow": 0.0,
		"rules.spareDispatches": 20.0, "rules.spareShare": 0.05, "rules.budgetWindow": 5000.0}, shadow)
	assert.Equal(t, 4.0, flat["limit.dispatches"])
	w.Types[0] = features.ShadowTableType{Name: "quote", Effect: "replayable", Where: "f.hcl:7: watch table_type quote"}
	_, err = shadowSettings(flat, map[string]int{"board": 0}, w)
	assert.EqualError(t, err, "f.hcl:7: watch table_type quote: the start file has no such table type")
}
