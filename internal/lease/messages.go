package lease

// Kind is the kind of a message.
type Kind uint8

const (
	Request Kind = iota + 1 // requests a grant or a renewal
	Grant                   // grants the request
	Refuse                  // refuses the request: another member's term runs for Wait more, or a higher Epoch is promised
	Release                 // the sender no longer holds or requests the lease
)

// Message is sent from one member to another. Its times are ages in ms, since clocks differ; a value below 0
// means none.
type Message struct {
	Kind  Kind
	Lease string
	Epoch uint64
	Boot  uint64  // process number of the requester
	Seq   uint64  // of the request
	Term  float64 // in ms
	Note  *Note   // the newest note that the sender knows of
	Sure  bool    // in a request: it is a holder's renewal, and Note and Blank come from a majority
	Blank float64 // age before which notes may exist that the sender does not know of
	Wait  float64 // in a refusal: ms until this voter may grant a request
}

// Note is data that a holder leaves for later holders. The newer of two notes has the later epoch, or the
// higher Nth in the same epoch.
type Note struct {
	Epoch, Nth uint64
	Age        float64 // ms since the write
	Data       []byte
}

// Rules are the parameters of the protocol, the same at all members.
type Rules struct {
	Drift     float64 // maximum rate error of a clock, as a fraction
	MaxTerm   float64 // the longest term of any lease, in ms
	MaxLeases int     // number of leases that a voter keeps; it refuses more
	Fixed     []Spec  // leases that exist from the start and are never forgotten
}

// Spec names a lease and its term.
type Spec struct {
	Name string
	Term float64 // in ms
}

// Received is an input: a message from a member.
type Received struct {
	From    string
	Message Message
}

// Want is an input that starts or stops this member's attempts to acquire a lease. A held lease stays held
// until Drop.
type Want struct {
	Lease string
	Term  float64 // in ms; 0 for the term of a fixed lease
	On    bool
}

// Write is an input that attaches a note to a held lease. Noted follows when a majority has the note.
type Write struct {
	Lease string
	Fence uint64
	Data  []byte
}

// Drop is an input that gives up a lease. Others may acquire it at once, so nothing may run under it any more.
// Where something may still run, LetExpire keeps it from others until its term ends.
type Drop struct {
	Lease     string
	Fence     uint64
	LetExpire bool
}

// Resign is an input that ends this member's participation. Held leases are not released, since work may go on
// under them: their terms run out.
type Resign struct{}

// Stored is an input: all records up to a number are durable.
type Stored struct{ Upto uint64 }

// DiskLost is an input: the disk failed, so this voter grants nothing any more.
type DiskLost struct{}

// Input is a Received, Want, Write, Drop, Resign, Stored or DiskLost.
type Input any

// Output is a Store, Send, Held, Renewed, Noted or Lost.
type Output any

// Store is an output: a record that must be durable before a Stored input confirms its number.
type Store struct {
	Number uint64
	Record Record
}

// Record is a stored vote. Its times are by the clock of the process that wrote it. The clock of the next
// process must continue from there, as closely as a wall clock allows.
type Record struct {
	Lease, Holder string
	Epoch, Boot   uint64
	Term          float64
	NoteEpoch     uint64
	NoteNth       uint64
	NoteAt        float64
	Data          []byte
	Blank         float64
}

// Send is an output: messages for a member.
type Send struct {
	To       string
	Messages []Message
}

// Held is an output: this member holds a lease. Work under the lease must end by Until, by this member's clock,
// unless a Renewed extends it. Every change made under the lease carries the fencing token Fence. Note is the
// newest note of earlier holders, if there is one, and NoteAt the time of its write. No other note written
// after Blank was lost.
type Held struct {
	Lease  string
	Fence  uint64
	Until  float64
	Note   []byte
	NoteAt float64
	Blank  float64
}

// Renewed is an output: the lease is extended.
type Renewed struct {
	Lease string
	Fence uint64
	Until float64
}

// Noted is an output: a majority has the note that was last written.
type Noted struct {
	Lease string
	Fence uint64
	Until float64
}

// Lost is an output: this member no longer holds a lease.
type Lost struct {
	Lease string
	Fence uint64
}

const (
	renewFraction      = 0.3  // of a term: interval between renewals
	retryFraction      = 0.2  // of a term: delay before a renewal without a majority is repeated, and upper bound of a candidate's first random retry delay
	attemptFraction    = 0.1  // of a term: timeout of a candidate's first attempt; the next ones take two and four times that
	jitterFraction     = 0.05 // of a term: range of the random delay before requests for a lease that was released or has expired
	earlyRenewFraction = 0.1  // of a term: a renewal due within this time is sent along with one that is due
	safetyMarginMs     = 5.0  // a lease counts as over this long before its end
	idleTermsKept      = 10.0 // in terms: an idle lease that is not fixed is forgotten after this time
	// Never is a time before all others, in ms.
	Never = -1e15
	// MaxNoteBytes limits the data of a note.
	MaxNoteBytes = 512
	// MaxNameBytes limits the length of a lease's name.
	MaxNameBytes = 120
)

// Counts are the counters shown to operators.
type Counts struct {
	Granted    int `json:"granted"`
	Refused    int `json:"refused"`
	Held       int `json:"held"`
	Lost       int `json:"lost"`
	Noted      int `json:"noted"`
	Stored     int `json:"stored"`
	Full       int `json:"full"` // requests refused because the voter keeps too many leases
	Unexpected int `json:"odd"`
}

// View is a member's view of a lease.
type View struct {
	Lease      string  `json:"lease"`
	Holder     string  `json:"holder"` // by this voter's grant to a holder; "" if no term runs
	Epoch      uint64  `json:"epoch"`
	Until      float64 `json:"until"` // by this member's clock: end of the grant, or the holder's own end of term
	Held       bool    `json:"held"`  // held by this member
	Wanted     bool    `json:"wanted"`
	Note       []byte  `json:"note,omitempty"`
	NoteAt     float64 `json:"note_at"`
	Blank      bool    `json:"blank"` // this voter may have forgotten notes
	GraceUntil float64 `json:"quiet"` // end of the grace period, in which it grants nothing
	Majority   int     `json:"majority"`
	Voters     int     `json:"voters"`
}
