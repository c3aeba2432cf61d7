package logic

// EventKind is the kind of an event.
type EventKind int

const (
	Started EventKind = iota + 1
	ListArrived
	ScanArrived
	PartArrived
	DispatchEnded
	ClientLeft
	TimerDue
	ProbeEnded
	StreamBegan
	PeerNote
	VerdictReceived    // a verdict of several brokers or an operator on a node: Node, Outcome, Age of its newest observation
	SettingsChanged    // Settings: the new settings; table types keep their numbers, new ones follow
	FleetBudgetChanged // Amount: further dispatches left for this broker in the fleet's budget
)

// Event is one thing that happened to this broker. Only the fields of its kind are set.
type Event struct {
	Kind EventKind

	Seed     uint64
	Settings map[string]any // the settings by name; times are in milliseconds

	// ShadowSettings is a complete second set of settings, or nil. They affect no decision: Step counts in ShadowDiffs, by
	// kind, where they would have decided otherwise.
	ShadowSettings map[string]any
	ShadowDiffs    map[string]int

	List    ListKind
	Entries []Entry

	ID        int64 // of the scan or the part
	Scan      int64 // the number that a scan shares with its parts
	Shard     int   // of a part
	Amount    float64
	Budget    float64 // time until the client gives up
	TableType int
	Tenant    int
	Hint      float64 // expected work; 0 if unknown
	Flags     int64
	Permitted map[int64]bool // of a scan: the nodes that its parts may go to, by id; nil: all. Not modified

	Prompt *Prompt // of a part: the prompt to prefill; nil: unknown

	Dispatch int // index among the dispatches of its part
	Node     int64
	Outcome  Outcome
	Elapsed  float64
	Closed   bool
	Load     map[string]float64 // load report, by the column names in the settings
	Age      float64            // of a probe by another broker, or a verdict: time since then

	Timer int64

	Note []byte // a note of another broker; nil if it could not be decoded
}

// Prompt is the prompt that a request prefills, with the tokens of it that nodes and stores keep.
type Prompt struct {
	Tokens     float64           // of the whole prompt
	Shared     float64           // leading tokens that other requests may share
	Held       map[int64]float64 // by node or store: number of leading tokens that it keeps
	Home       []int64           // preferred nodes for a first copy, in the same order at all brokers
	Group      map[int64]int64   // by node or store: tokens are fetched only within a group (one version of weights)
	Stores     []int64           // stores: sources for fetches that run no requests
	FetchTime  float64           // of one token from a node of the same zone
	AcrossTime float64           // of one token from another zone
	Zones      map[int64]int     // of the stores
}

// ListKind says how a node list is to be applied.
type ListKind int

const (
	ListDelta ListKind = iota + 1
	ListFull
	ListCached
	ListFailed
)

// Entry is one line of a node list.
type Entry struct {
	Node      int64
	Zone      int
	Kind      int
	Cell      int
	Readiness Readiness
	Units     float64
	Born      float64 // clock time of the latest start; 0: long ago
}

// Readiness is the state of a node in the list.
type Readiness int

const (
	Ready Readiness = iota + 1
	Draining
	Gone
)

// Outcome says how a dispatch ended.
type Outcome int

const (
	Completed Outcome = iota + 1
	Errored
	Saturated
	Overdue
	ConnRefused
	Severed
	Recalled
	Superseded
)

// ActionKind is the kind of an action.
type ActionKind int

const (
	Dispatch ActionKind = iota + 1
	Recall
	Answer
	Throttle
	Abandon
	SetTimer
	Probe
	Subscribe
	WriteLog
	SendNote          // send Note to all other brokers
	FleetBudgetDenied // the fleet's budget denied a further dispatch
	OutcomeRecorded   // an outcome of a node: Whole if it succeeded, Late if it was late; only where verdicts are shared
	Fatal
)

// Action is one thing for the caller to do. Only the fields of its kind are set.
type Action struct {
	Kind     ActionKind
	ID       int64
	Node     int64
	Dispatch int
	After    float64 // timeout of a dispatch, delay of a timer, or time until a throttled client may retry
	Timer    int64
	Source   int64   // of a dispatch: the node or store to fetch prompt tokens from; 0: none
	Save     bool    // of a dispatch: a store saves the prefilled tokens
	Load     float64 // of a dispatch: the estimated open work at the node before it, in ms,
	Work     float64 // and the work that it adds
	Whole    bool
	Late     bool
	ToAll    bool // of a note: it must reach all brokers, even where other notes go to some
	Text     string
	Note     []byte
}

// The state of a scan, its parts and their dispatches, and of a table type.

type dispatch struct {
	node                                      int
	call                                      *call
	sentAt, lateAt, silentAt                  float64 // sent, late and silent from these times on
	grace                                     float64 // a longer time without an answer of its node is silence
	load, tokens                              float64 // open work at the node including it; tokens to prefill
	open, mayHaveRun, newConn, streaming      bool    // newConn: on a new connection; streaming: its stream has begun
	slowCounted, silenceCounted, lateReported bool    // counted as slow, as silent; late reported to peers
}

// call is a call to a node with parts sent in one turn: the number of parts, and how many are still open.
type call struct {
	node, parts, open int
	work              float64
}

type part struct {
	id              int64
	scan            *scan
	shard, open     int
	candidates      []int // holders that it may go to now
	weight, work    float64
	tokens          float64 // prompt tokens that the node of the newest dispatch prefills
	prompt          *Prompt
	done, streaming bool     // streaming: its first event has arrived
	countedDiffs    []string // kinds of shadow differences counted for it
	tries           []dispatch
}

type scan struct {
	id, num                        int64
	typ, step                      int
	parts                          []*part // of the current step
	received, lastAnswer           float64 // weight completed; time of the last completion
	started, ended, dirty, trimmed bool
	targetAt, endAt                float64 // deadlines of the answer: for the full benefit, and for any
	timerAt                        float64 // when its timer fires
	permitted                      map[int64]bool
}

type tableType struct {
	target, timeout, benefit, lateBenefit, repeatWindow, need, floor, partial float64
	effect                                                                    string
	fetch, dispatches                                                         int
	mean, dev, work                                                           float64 // measured latencies, and least work
}
