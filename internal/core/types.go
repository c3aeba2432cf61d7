package core

import (
	"gullstair/internal/confine"
	"gullstair/logic"
)

// Input is what the sockets tell the core: a *Scan, Left, Ended, List, ProbeFor, ProbeHeard, LimitsMoved, Told, Held, AskCells or Closing.
type Input any

// Scan is what a client asked for. The front fills it and finds it again in Reply.
type Scan struct {
	ID, Key, Text string
	TableType     int
	Tenant        int
	Account       string // the tenant by name, as its client says it; "" is a tenant too
	Repeat        bool
	TimeLeft      float64 // for how long the client waits, counted from At
	At            float64 // clock time at which its first byte was read
	Parts         []ScanPart
	Client        any // the front's own

	num   int64 // the core's number; 0 before it has one
	began float64
	work  float64 // of all parts, as hinted
	held  confine.Verdict
	fleet bool // it was taken by limits that others share
}

// ScanPart is one part of a scan as its client asked for it.
type ScanPart struct {
	Shard        int
	Weight, Work float64
}

// Left says that the client of a scan has gone.
type Left struct{ Scan *Scan }

// Ended says how a dispatch ended, and when.
type Ended struct {
	Ref   int64
	How   End
	At    float64
	Score float64
	Value string
	Load  map[string]float64
}

// Closing says that the broker ends now: each open scan gets its answer.
type Closing struct{}

// List is what discovery says.
type List struct {
	Kind  logic.ListKind
	Nodes []Node
}

// Node is one line of a list, in the words of the sockets.
type Node struct {
	Host, Addr, Zone, Kind string
	Cell                   int
	Readiness              logic.Readiness
	Units, Born            float64
}

// ProbeFor asks for a node's load on behalf of all brokers that share that duty. It ends with Probed.
type ProbeFor struct{ Host string }

// ProbeHeard brings what another broker's probe of a node found. Served: the node answered; then Load is its report.
type ProbeHeard struct {
	Host   string
	Age    float64 // ms since it was probed
	Served bool
	Load   map[string]float64
}

// LimitsMoved says that what scans wait for may have come to the Limiter.
type LimitsMoved struct{}

// Told is a note of another broker's module.
type Told struct{ Note []byte }

// Held is what several brokers, or an operator, hold of a node: Outcome as the module has it (0: nothing that the module is to hear of), and ms since the newest that it rests on. Drained: an operator has it
// drained, and nothing new may go there.
type Held struct {
	Host    string
	Outcome logic.Outcome
	Age     float64
	Drained bool
}

// AskCells asks what is seen of the cells; Reply has room for one answer.
type AskCells struct{ Reply chan<- []CellView }

// Output is what the core wants done: a Call, GiveUp, Probe, Probed, Listed, Reply, Move, Watch, Tell, Judged, HeldBack or Log.
type Output any

// Call is one frame to a node.
type Call struct {
	Host, Addr string
	Parts      []CallPart
}

// CallPart is one part in a Call.
type CallPart struct {
	Ref       int64 // of the dispatch; never used again
	ID        string
	Shard     int
	Until     float64 // clock time up to which the broker waits
	NotAfter  float64 // clock time past which it must not be written; 0: there is none
	Key, From string  // From: the shards that were in, for a second step
	Whole     bool
	Text      string
}

// GiveUp says that nobody waits for a dispatch any more.
type GiveUp struct {
	Host string
	Ref  int64
}

// Probe asks a node for its load. It ends as a dispatch does, with Ended.
type Probe struct {
	Host, Addr string
	Ref        int64
}

// Probed is the end of a ProbeFor.
type Probed struct {
	Host   string
	Served bool
	Load   map[string]float64
}

// Listed names the nodes that may be probed, after each change of the list, and all that are on it. It is told once Core.Share was called.
type Listed struct {
	Hosts []string
	Nodes []Node
}

// Tell is a note for the modules of all other brokers.
type Tell struct{ Note []byte }

// Judged is an outcome that the module counts for or against a node, or that a node turned a part away.
type Judged struct {
	Host    string
	Outcome logic.Outcome
	Late    bool // it completed, but late
}

// HeldBack is a scan that a limit turned away.
type HeldBack struct{ Account, Why string }

// Reply is the one answer to a scan.
type Reply struct {
	Scan       *Scan
	Kind       logic.ActionKind // Answer, Throttle or Abandon
	Whole      bool
	Hits       []Hit
	RetryAfter float64 // 0: says nothing
	Why        string  // a word to the client, where there is one
	Conflict   bool    // the request was not taken: its id is another's
}

// Hit is the value of one part that is in.
type Hit struct {
	Shard int
	Value string
}

// Move says where a node is to be reached from now on, that it drains and may be sent nothing new, or that it is gone.
type Move struct {
	Host, Addr string
	Draining   bool
	Gone       bool
}

// Watch says that the list is to be followed.
type Watch struct{}

// Log is a line of the module's; Fatal: it cannot go on.
type Log struct {
	Text  string
	Fatal bool
}
