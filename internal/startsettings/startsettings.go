// Package startsettings converts the start settings, as the simulator's adapter and the sockets state them, to the decision
// module's flat map of names to values, and names the columns of load reports for it. Both use this package, so that a
// setting has one meaning. It does no I/O.
package startsettings

import (
	"strconv"
)

var (
	// reportColumns gives the module's names for the values of a load report, by their names in the simulator and on the sockets.
	reportColumns = map[string]string{"busy_reqs": "running", "pending": "waiting", "cpu_share": "busy",
		"svc_ms": "service", "served_ps": "completed", "failed_ps": "errored",
		"inflight": "running", "queue": "waiting", "util": "busy",
		"latency_ms": "service", "qps": "completed", "eps": "errored"}

	// settingNames gives the module's names for start settings; a setting that is not listed keeps its name.
	settingNames = map[string]string{"classes": "tableType", "aim": "target", "deadline": "timeout",
		"semantics": "effect", "memorySpan": "repeatWindow", "worth": "benefit", "lateWorth": "lateBenefit",
		"accounts": "tenant", "balancers": "brokers", "granularity": "turn", "quotaPerS": "perSecond",
		"overShareWorth": "overShareBenefit", "ceilings": "limit", "maxAttempts": "dispatches",
		"parallelTries": "secondCopies", "familyInfo": "layout", "perCall": "batch", "overhead": "callWork",
		"places": "cells", "width": "reach", "slices": "shards", "floorByClass": "floor",
		"completeFrom": "need", "classPartial": "partialBenefit", "secondStep": "fetch",
		"spareAttempts": "spareDispatches", "extraPerRequest": "spareShare"}
	// inSeconds holds the start settings that are times in seconds.
	inSeconds = map[string]bool{"aim": true, "deadline": true, "memorySpan": true, "granularity": true,
		"connIdle": true, "connectTimeout": true, "maxRetryAfter": true, "overhead": true, "answerSlack": true,
		"askWithin": true, "cold": true, "fall": true, "stopSendingWithin": true, "budgetWindow": true}
	effectNames = map[string]string{"idempotent": "replayable", "deduplicated": "keyed",
		"at_most_once": "non-replayable"}
)

// Column returns the module's name for a value of a load report.
func Column(name string) (word string, known bool) {
	word, known = reportColumns[name]
	return word, known
}

// Flatten converts the tree of start settings to the module's map: {"classes":[{"aim":2}]} becomes
// tableType.0.target = 2000. A list also gives its length, as tableType.count.
func Flatten(tree map[string]any) map[string]any {
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
			word, known := settingNames[k]
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
		if inSeconds[key] {
			v *= 1000
		}
		flat[path] = v
	case string:
		if word, known := effectNames[v]; known && key == "semantics" {
			v = word
		}
		if word, known := reportColumns[v]; known && key == "columns" {
			v = word
		}
		flat[path] = v
	case bool:
		flat[path] = v
	}
}
