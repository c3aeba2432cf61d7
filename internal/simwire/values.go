package simwire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"gullstair/internal/startsettings"
	"gullstair/logic"
)

var (
	readinessNames = map[string]logic.Readiness{"ready": logic.Ready, "draining": logic.Draining, "gone": logic.Gone}
	listKindNames  = map[string]logic.ListKind{"delta": logic.ListDelta, "full": logic.ListFull,
		"cached": logic.ListCached, "failed": logic.ListFailed}
	outcomeNames = map[string]logic.Outcome{"completed": logic.Completed, "errored": logic.Errored,
		"saturated": logic.Saturated, "overdue": logic.Overdue, "refused_conn": logic.ConnRefused,
		"severed": logic.Severed, "recalled": logic.Recalled, "superseded": logic.Superseded}
)

// settings parses the start settings, a JSON object, into the module's map.
func (f *fields) settings(name string) map[string]any {
	text, ok := f.get(name, true)
	if !ok {
		return nil
	}
	var tree map[string]any
	if err := json.Unmarshal([]byte(text), &tree); err != nil {
		f.setError(fmt.Sprintf("%s is not a JSON object: %v", name, err))
		return nil
	}
	return startsettings.Flatten(tree)
}

func parseNumber(s string) (float64, error) {
	x, err := strconv.ParseFloat(s, 64)
	if err == nil && (math.IsNaN(x) || math.IsInf(x, 0)) {
		err = errors.New("not finite")
	}
	return x, err
}

// singleLine joins a text into one line, as the line protocol requires.
func singleLine(s string) string { return strings.Join(strings.Fields(s), " ") }
