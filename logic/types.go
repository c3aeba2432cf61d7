package logic

// EventKind says what happened.
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
	VerdictHeard // what several brokers, or an operator, hold of a node: Node, Outcome, Age of the newest that it rests on
	TermsChanged // Terms: the settings as they are now; table types keep their numbers, new ones follow
	FurtherLeft  // Amount: further dispatches that the budget of all brokers leaves this one now
)

// Event is one thing that happened to this broker. Only the fields of its kind are filled.
type Event struct {
	Kind EventKind

	Seed  uint64
	Terms map[string]any // what the site states at start: names to values, times in milliseconds

	// Watched are the same names under other settings, whole; nil: nothing is watched. They decide nothing: where they would
	// have decided otherwise, Differs is counted up by kind during Step.
	Watched map[string]any
	Differs map[string]int

	List    ListKind
	Entries []Entry

	ID        int64 // of the scan or the part
	Scan      int64 // number that a scan shares with its parts
	Shard     int   // of a part
	Amount    float64
	Budget    float64 // how long the client still waits
	TableType int
	Tenant    int
	Hint      float64 // expected work; 0 when the site gives none
	Flags     int64
	Permitted map[int64]bool // of a scan: the nodes that its parts may go to, by id; nil: all. Nobody changes it

	Prompt *Prompt // of a part: what it reads before it runs; nil: nothing is known of that

	Dispatch int // number of the dispatch among those of its part
	Node     int64
	Outcome  Outcome
	Elapsed  float64
	Closed   bool
	Load     map[string]float64 // load report, by the names told at start
	Age      float64            // of a probe's end: how long ago it was, where another broker made it

	Timer int64

	Note []byte // what another broker told; nil if it could not be read
}

// Prompt is what a request reads before it runs, and who keeps how much of that.
type Prompt struct {
	Tokens     float64           // of the whole prompt
	Shared     float64           // leading tokens that other requests may have in common with it
	Held       map[int64]float64 // by node or store: how many of the leading tokens it keeps
	Home       []int64           // nodes in an order that is the same at all brokers: where a first copy belongs
	Group      map[int64]int64   // by node or store: parts are fetched within one group only (one version of weights)
	Stores     []int64           // what may be fetched from but runs nothing
	FetchTime  float64           // of one token from a node of the same zone
	AcrossTime float64           // of one token from another zone
	Zones      map[int64]int     // of the stores
}

// ListKind says how a node list is to be read.
type ListKind int

const (
	ListChanges ListKind = iota + 1
	ListWhole
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
	Born      float64 // clock time of the latest start; 0 means long ago
}

// Readiness is what the list says of a node.
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

// ActionKind says what is to be done.
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
	Note
	Tell   // all other brokers
	Short  // a further dispatch was barred by the budget of all brokers
	Judged // an outcome counts for or against a node, by Whole, or came Late; only where verdicts are shared
	Fatal
)

// Action is one thing to be done. Only the fields of its kind are filled.
type Action struct {
	Kind     ActionKind
	ID       int64
	Node     int64
	Dispatch int
	After    float64 // time-out of a dispatch, delay of a timer, or when a throttled client may return
	Timer    int64
	Source   int64   // of a dispatch: the node or store to fetch kept prompt parts from; 0: none
	Save     bool    // of a dispatch: a store is to keep what is read
	Load     float64 // of a dispatch: the work taken to be outstanding at the node before it, in ms,
	Work     float64 // and what it adds
	Whole    bool
	Late     bool
	Wide     bool // of a Tell: it tells of work that all brokers should know of, also where others are told to some
	Text     string
	Note     []byte
}

// What the module keeps of a scan, its parts and their dispatches, and of a table type.

type dispatch struct {
	node                         int
	call                         *call
	at, late, silent             float64 // when it is late, when silent
	wait                         float64 // for how long its node may say nothing
	load, read                   float64 // work outstanding at the node with it; tokens it reads
	open, ran, fresh, began      bool    // ran: it may have run; began: its stream has
	slowSeen, lostSeen, lateSeen bool    // its node has been held slow, or failing, for it
}

// call is what goes to one node in one turn: its parts, and those that are still out.
type call struct {
	node, parts, out int
	work             float64
}

type part struct {
	id           int64
	scan         *scan
	shard, open  int
	nodes        []int // holders that it may go to now
	weight, work float64
	read         float64 // tokens of its prompt that the node of the newest dispatch reads
	prompt       *Prompt
	done, began  bool     // began: of its stream something has arrived
	differs      []string // kinds of difference to the watched terms that have been counted for it
	tries        []dispatch
}

type scan struct {
	id, num                      int64
	typ, step                    int
	parts                        []*part // of the present step
	got, heard                   float64 // their weight that has completed; when the last of them did
	placed, ended, dirty, spared bool
	targetAt, endAt              float64 // the answer must leave by then: for the whole benefit, at all
	look                         float64 // the timer set for it
	permitted                    map[int64]bool
}

type tableType struct {
	target, timeout, benefit, lateBenefit, repeatWindow, need, floor, partial float64
	effect                                                                    string
	fetch, dispatches                                                         int
	mean, dev, work                                                           float64 // as seen
}
