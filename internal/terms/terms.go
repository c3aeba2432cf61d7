// Package terms turns the start settings, as every wire states them, into the decision module's plain map of
// names to values, and the columns of load reports into its words. Both wires use it: a setting has one
// meaning. It decides nothing.
package terms

import (
	"strconv"
)

var (
	// columns are the values of a load report, by the simulator's names and by those on the sockets.
	columns = map[string]string{"busy_reqs": "running", "pending": "waiting", "cpu_share": "busy",
		"svc_ms": "service", "served_ps": "completed", "failed_ps": "errored",
		"inflight": "running", "queue": "waiting", "util": "busy",
		"latency_ms": "service", "qps": "completed", "eps": "errored"}

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

// Column is the module's word for a value of a load report.
func Column(name string) (word string, known bool) {
	word, known = columns[name]
	return word, known
}

// Flatten turns the tree of start settings into the module's map: {"classes":[{"aim":2}]} gives
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
