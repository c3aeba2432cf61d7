package simwire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"gullstair/logic"
)

var (
	readiness = map[string]logic.Readiness{"ready": logic.Ready, "draining": logic.Draining, "gone": logic.Gone}
	listKinds = map[string]logic.ListKind{"delta": logic.ListChanges, "full": logic.ListWhole,
		"cached": logic.ListCached, "failed": logic.ListFailed}
	outcomes = map[string]logic.Outcome{"completed": logic.Completed, "errored": logic.Errored,
		"saturated": logic.Saturated, "overdue": logic.Overdue, "refused_conn": logic.ConnRefused,
		"severed": logic.Severed, "recalled": logic.Recalled, "superseded": logic.Superseded}
	columns = map[string]string{"busy_reqs": "running", "pending": "waiting", "cpu_share": "busy",
		"svc_ms": "service", "served_ps": "completed", "failed_ps": "errored"}

	// names gives the module's word for a start setting's name; a name that is not here keeps its own.
	names = map[string]string{"classes": "tableType", "aim": "target", "deadline": "timeout",
		"semantics": "effect", "memorySpan": "repeatWindow", "worth": "benefit", "lateWorth": "lateBenefit",
		"accounts": "tenant", "balancers": "brokers", "granularity": "turn", "quotaPerS": "perSecond",
		"overShareWorth": "overShareBenefit", "ceilings": "limit", "maxAttempts": "dispatches",
		"parallelTries": "secondCopies", "familyInfo": "layout", "perCall": "batch", "overhead": "callWork",
		"places": "cells", "width": "reach", "slices": "shards", "floorByClass": "floor",
		"completeFrom": "need", "classPartial": "partialBenefit", "secondStep": "fetch",
		"spareAttempts": "spareDispatches", "extraPerRequest": "spareShare"}
	// seconds names the start settings that are times.
	seconds = map[string]bool{"aim": true, "deadline": true, "memorySpan": true, "granularity": true,
		"connIdle": true, "connectTimeout": true, "maxRetryAfter": true, "overhead": true, "answerSlack": true,
		"askWithin": true, "cold": true, "fall": true, "stopSendingWithin": true, "budgetWindow": true}
	values = map[string]string{"idempotent": "replayable", "deduplicated": "keyed",
		"at_most_once": "non-replayable"}
)

// terms flattens the start settings: {"classes":[{"aim":2}]} gives tableType.0.target = 2000. A list
// also gives its length, as tableType.count.
func (f *fields) terms(name string) map[string]any {
	text, ok := f.get(name, true)
	if !ok {
		return nil
	}
	var tree map[string]any
	if err := json.Unmarshal([]byte(text), &tree); err != nil {
		f.fail(fmt.Sprintf("%s is no JSON object: %v", name, err))
		return nil
	}
	flat := map[string]any{}
	flatten(flat, "", "", tree)
	return flat
}

func flatten(flat map[string]any, path, key string, node any) {
	join := func(next string) string {
		if path == "" {
			return next
		}
		return path + "." + next
	}
	switch v := node.(type) {
	case map[string]any:
		for k, child := range v {
			word, known := names[k]
			if !known {
				word = k
			}
			flatten(flat, join(word), k, child)
		}
	case []any:
		flat[join("count")] = float64(len(v))
		for i, child := range v {
			flatten(flat, join(strconv.Itoa(i)), key, child)
		}
	case float64:
		if seconds[key] {
			v *= 1000
		}
		flat[path] = v
	case string:
		if word, known := values[v]; known && key == "semantics" {
			v = word
		}
		if word, known := columns[v]; known && key == "columns" {
			v = word
		}
		flat[path] = v
	case bool:
		flat[path] = v
	}
}

func parseNumber(s string) (float64, error) {
	x, err := strconv.ParseFloat(s, 64)
	if err == nil && (math.IsNaN(x) || math.IsInf(x, 0)) {
		err = errors.New("not finite")
	}
	return x, err
}

// oneLine keeps a text from breaking the framing.
func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }
