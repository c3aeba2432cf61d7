package startsettings

import (
	"fmt"
	"math"
)

// Settings holds the start settings that the sockets need: the indexes that the module uses in place of names, and the
// limits on connections. Times are in milliseconds.
type Settings struct {
	Types                            []TableType
	TypeIndex                        map[string]int
	Zones, Kinds, Tenants            map[string]int
	Shards, Cells, Reach             int
	Batch, PartsPerConn              int // most parts in one call; most concurrent parts on one connection
	Dispatches, OpenCap              int // most dispatches of a part; most open scans and parts, 0: not set
	Turn                             float64
	ConnIdle, ConnectTimeout         float64
	RetryAfterAllowed, SubscribeList bool // answers may carry a retry time; the node list must be requested
}

// TableType holds the settings of a table type that the sockets need.
type TableType struct {
	Name         string
	Keyed        bool
	Fetch        int     // parts of the second step; 0: no second step
	RepeatWindow float64 // how long repeats of a keyed part are dropped
	Timeout      float64 // the longest time that a client waits
}

// ReadSettings extracts Settings from the module's map. Its error names the first value that is missing or invalid.
func ReadSettings(flat map[string]any) (Settings, error) {
	var fault error
	num := func(name string, least, most, other float64) float64 {
		x, ok := flat[name].(float64)
		if !ok && other >= 0 {
			return other
		}
		if (!ok || math.IsNaN(x) || x < least || x > most) && fault == nil {
			fault = fmt.Errorf("start setting %s is missing or invalid: %v", name, flat[name])
		}
		return x
	}
	index := func(list string) map[string]int {
		m := map[string]int{}
		for i := range int(num(list+".count", 0, 1e5, 0)) {
			name, ok := flat[fmt.Sprintf("%s.%d", list, i)].(string)
			if !ok {
				name, _ = flat[fmt.Sprintf("%s.%d.name", list, i)].(string)
			}
			m[name] = i
		}
		return m
	}
	s := Settings{TypeIndex: index("tableType"), Zones: index("areas"), Kinds: index("kinds"), Tenants: index("tenant"),
		Shards: int(num("layout.shards", 1, 1e6, -1)), Cells: int(num("layout.cells", 1, 1e6, -1)),
		Reach: int(num("layout.reach", 1, 1e6, -1)), Batch: int(num("layout.batch", 1, 1e5, -1)),
		PartsPerConn: int(num("limit.multiplex", 1, 1e6, 1)), Dispatches: int(num("limit.dispatches", 1, 1e6, -1)),
		OpenCap: int(num("limit.openCap", 0, 1e9, 0)), Turn: num("turn", 0, 1e4, -1),
		ConnIdle: num("limit.connIdle", 1, 1e9, 15000), ConnectTimeout: num("limit.connectTimeout", 1, 1e6, 250)}
	// Settings that only the module reads are checked too, so that a fault prevents the start instead of failing scans.
	for _, name := range []string{"rules.budgetWindow", "rules.spareDispatches", "rules.spareShare", "rules.askWithin",
		"rules.stopSendingWithin", "prices.handshake", "limit.maxRetryAfter"} {
		if v, there := flat[name]; there && fault == nil {
			if x, ok := v.(float64); !ok || !(x >= 0 && x <= 1e9) {
				fault = fmt.Errorf("start setting %s is not a number from 0 to 1e9: %v", name, v)
			}
		}
	}
	for _, name := range []string{"limit.peers", "limit.secondCopies", "limit.cancelling", "limit.retryAfter"} {
		if v, there := flat[name]; there && v != true && v != false && fault == nil {
			fault = fmt.Errorf("start setting %s is neither true nor false: %v", name, v)
		}
	}
	s.RetryAfterAllowed, _ = flat["limit.retryAfter"].(bool)
	s.SubscribeList = flat["discovery"] == "subscribe"
	for i := range int(num("tableType.count", 1, 1e5, -1)) {
		name, _ := flat[fmt.Sprintf("tableType.%d.name", i)].(string)
		s.Types = append(s.Types, TableType{Name: name, Keyed: flat[fmt.Sprintf("tableType.%d.effect", i)] == "keyed",
			Fetch:        int(num(fmt.Sprintf("layout.fetch.%d", i), 0, 1e5, 0)),
			RepeatWindow: num(fmt.Sprintf("tableType.%d.repeatWindow", i), 0, 1e9, 0),
			Timeout:      num(fmt.Sprintf("tableType.%d.timeout", i), 0, 1e9, 0)})
	}
	return s, fault
}
