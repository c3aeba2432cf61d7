package terms

import (
	"fmt"
	"math"
)

// Site is what the sockets need of the start settings: names that are indexes on the module's side, and the
// limits that bind connections. Times are milliseconds.
type Site struct {
	Types                      []TableType
	TypeIndex                  map[string]int
	Zones, Kinds, Tenants      map[string]int
	Shards, Cells, Reach       int
	Batch, PerConn             int // parts in one call; parts at the same time on one connection
	Dispatches, OpenCap        int // dispatches for a part; scans and parts open at once, 0: not stated
	Turn                       float64
	ConnIdle, ConnectTimeout   float64
	RetryAfterAllowed, AskList bool // clients are told when to return; the list comes only when asked for
}

// TableType is what the sockets need of one.
type TableType struct {
	Name         string
	Keyed        bool
	Fetch        int     // parts of the second step; 0: there is none
	RepeatWindow float64 // for how long repeats of a keyed part are dropped
	Timeout      float64 // the longest that a client waits
}

// Read picks a Site out of the module's map. It names the first value that is missing or impossible.
func Read(flat map[string]any) (Site, error) {
	var fault error
	num := func(name string, least, most, other float64) float64 {
		x, ok := flat[name].(float64)
		if !ok && other >= 0 {
			return other
		}
		if (!ok || math.IsNaN(x) || x < least || x > most) && fault == nil {
			fault = fmt.Errorf("start setting %s is missing or impossible: %v", name, flat[name])
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
	s := Site{TypeIndex: index("tableType"), Zones: index("areas"), Kinds: index("kinds"), Tenants: index("tenant"),
		Shards: int(num("layout.shards", 1, 1e6, -1)), Cells: int(num("layout.cells", 1, 1e6, -1)),
		Reach: int(num("layout.reach", 1, 1e6, -1)), Batch: int(num("layout.batch", 1, 1e5, -1)),
		PerConn: int(num("limit.multiplex", 1, 1e6, 1)), Dispatches: int(num("limit.dispatches", 1, 1e6, -1)),
		OpenCap: int(num("limit.openCap", 0, 1e9, 0)), Turn: num("turn", 0, 1e4, -1),
		ConnIdle: num("limit.connIdle", 1, 1e9, 15000), ConnectTimeout: num("limit.connectTimeout", 1, 1e6, 250)}
	// What only the module reads is checked here too: a fault stops the start and not a scan.
	for _, name := range []string{"rules.budgetWindow", "rules.spareDispatches", "rules.spareShare", "rules.askWithin",
		"rules.stopSendingWithin", "prices.handshake", "limit.maxRetryAfter"} {
		if v, there := flat[name]; there && fault == nil {
			if x, ok := v.(float64); !ok || !(x >= 0 && x <= 1e9) {
				fault = fmt.Errorf("start setting %s is no number from 0 to 1e9: %v", name, v)
			}
		}
	}
	for _, name := range []string{"limit.peers", "limit.secondCopies", "limit.cancelling", "limit.retryAfter"} {
		if v, there := flat[name]; there && v != true && v != false && fault == nil {
			fault = fmt.Errorf("start setting %s is neither true nor false: %v", name, v)
		}
	}
	s.RetryAfterAllowed, _ = flat["limit.retryAfter"].(bool)
	s.AskList = flat["discovery"] == "subscribe"
	for i := range int(num("tableType.count", 1, 1e5, -1)) {
		name, _ := flat[fmt.Sprintf("tableType.%d.name", i)].(string)
		s.Types = append(s.Types, TableType{Name: name, Keyed: flat[fmt.Sprintf("tableType.%d.effect", i)] == "keyed",
			Fetch:        int(num(fmt.Sprintf("layout.fetch.%d", i), 0, 1e5, 0)),
			RepeatWindow: num(fmt.Sprintf("tableType.%d.repeatWindow", i), 0, 1e9, 0),
			Timeout:      num(fmt.Sprintf("tableType.%d.timeout", i), 0, 1e9, 0)})
	}
	return s, fault
}
