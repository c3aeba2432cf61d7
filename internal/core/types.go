package core

import (
	"gullstair/internal/admission"
	"gullstair/logic"
)

// Input is an input of the core: *Scan, ClientLeft, Ended, List, ProbeRequest, PeerProbe, LimitsChanged, PeerNote,
// NodeVerdict, CellsQuery or Shutdown.
type Input any

// Scan is a client's request. The front fills it in and gets it back in Reply.
type Scan struct {
	ID, Key, Text string
	TableType     int
	Tenant        int
	Account       string // the tenant's name as the client states it; "" is a tenant too
	Repeat        bool
	TimeLeft      float64 // how long the client waits, in ms from ReceivedAt
	ReceivedAt    float64 // clock time at which the first byte was read
	Parts         []ScanPart
	Client        any // for the front's use only

	num         int64 // the core's number; 0 before it is assigned
	admittedAt  float64
	work        float64 // work hint of all parts
	verdict     admission.Verdict
	holdsLimits bool // it holds capacity of the shared limits
}

// ScanPart is one part of a scan, as requested by the client.
type ScanPart struct {
	Shard        int
	Weight, Work float64
}

// ClientLeft reports that the client of a scan has disconnected.
type ClientLeft struct{ Scan *Scan }

// Ended reports why and when a dispatch or a probe ended.
type Ended struct {
	Ref    int64
	Reason EndReason
	At     float64
	Score  float64
	Value  string
	Load   map[string]float64
}

// Shutdown reports that the broker stops now: each open scan gets its reply.
type Shutdown struct{}

// List is a list of nodes, or a change of one, from discovery.
type List struct {
	Kind  logic.ListKind
	Nodes []Node
}

// Node is one entry of a list.
type Node struct {
	Host, Addr, Zone, Kind string
	Cell                   int
	Readiness              logic.Readiness
	Units, Born            float64
}

// ProbeRequest requests the probe of a node on behalf of all brokers that share this duty. It is answered by ProbeResult.
type ProbeRequest struct{ Host string }

// PeerProbe is the result of another broker's probe of a node. Load is set if the node answered (Served).
type PeerProbe struct {
	Host   string
	Age    float64 // ms since the probe
	Served bool
	Load   map[string]float64
}

// LimitsChanged reports that the Limiter may have capacity for queued scans.
type LimitsChanged struct{}

// PeerNote is a note from the module of another broker.
type PeerNote struct{ Note []byte }

// NodeVerdict is a verdict of several brokers, or of an operator, on a node. Outcome is 0 if there is nothing to
// report to the module; Age is the time in ms since the newest observation behind it. Drained means that an operator
// drains the node: it gets no new dispatches.
type NodeVerdict struct {
	Host    string
	Outcome logic.Outcome
	Age     float64
	Drained bool
}

// CellsQuery queries the state of the cells. Reply must have a buffer of one.
type CellsQuery struct{ Reply chan<- []CellView }

// Output is an output of the core: Call, Cancel, Probe, ProbeResult, NodeList, Reply, NodeChange, SubscribeList, SendNote,
// OutcomeReport, ScanRefused or Log.
type Output any

// Call is one frame to a node, with one or more parts.
type Call struct {
	Host, Addr string
	Parts      []CallPart
}

// CallPart is one part in a Call.
type CallPart struct {
	Ref                 int64 // number of the dispatch; never reused
	ID                  string
	Shard               int
	Deadline            float64 // clock time at which the dispatch times out
	NotAfter            float64 // clock time after which it must not be written; 0 means no limit
	Key, AnsweredShards string  // AnsweredShards: the shards that answered the first step, for a second step
	FirstStepComplete   bool
	Text                string
}

// Cancel tells a node that the result of a dispatch is no longer needed.
type Cancel struct {
	Host string
	Ref  int64
}

// Probe queries the load of a node. Like a dispatch, it ends with Ended.
type Probe struct {
	Host, Addr string
	Ref        int64
}

// ProbeResult is the result of a ProbeRequest.
type ProbeResult struct {
	Host   string
	Served bool
	Load   map[string]float64
}

// NodeList holds the names of the nodes that may be probed and all nodes of the list. It is emitted after each change
// of the list once Core.ReportList was called.
type NodeList struct {
	Hosts []string
	Nodes []Node
}

// SendNote is a note to the modules of all other brokers.
type SendNote struct{ Note []byte }

// OutcomeReport reports an outcome that the module counts for or against a node, or that a node rejected a part.
type OutcomeReport struct {
	Host    string
	Outcome logic.Outcome
	Late    bool // it completed, but after its target
}

// ScanRefused reports a scan that a limit refused.
type ScanRefused struct{ Account, Why string }

// Reply is the one reply to a scan.
type Reply struct {
	Scan       *Scan
	Kind       logic.ActionKind // Answer, Throttle or Abandon
	Complete   bool
	Hits       []Hit
	RetryAfter float64 // ms; 0 means none
	Why        string  // reason for the client; may be empty
	Conflict   bool    // the request was rejected: an open scan has the same ID
}

// Hit is the value of one answered part.
type Hit struct {
	Shard int
	Value string
}

// NodeChange reports that a node has a new address, that it drains and gets no new dispatches, or that it is gone.
type NodeChange struct {
	Host, Addr string
	Draining   bool
	Gone       bool
}

// SubscribeList requests the node list from discovery.
type SubscribeList struct{}

// Log is a log line of the module. Fatal means that the module cannot continue.
type Log struct {
	Text  string
	Fatal bool
}
