package lease

// Kind is a message's.
type Kind uint8

const (
	Ask     Kind = iota + 1 // grant me, or let me go on
	Grant                   // I do
	Refuse                  // I don't: another one's term runs for Wait more, or Epoch is passed
	Release                 // I hold it no longer
)

// Message goes from one member to another. Times in it are ages in ms, since clocks differ; below 0: none.
type Message struct {
	Kind  Kind
	Lease string
	Epoch uint64
	Boot  uint64 // of the asking process
	Seq   uint64 // of the Ask
	Term  float64
	Note  *Note   // the newest that the sender knows of
	Sure  bool    // Ask: the holder's, who has from a majority what Note and Blank say
	Blank float64 // how long ago a note may have been written that the sender does not know of
	Wait  float64
}

// Note is what a holder leaves for those after it. Of two the one of the later epoch is newer, then the one of the higher count.
type Note struct {
	Epoch, Nth uint64
	Age        float64 // ms since it was written
	Data       []byte
}

// Rules are the same at all members.
type Rules struct {
	Drift   float64 // a clock may run faster or slower than true time by this share
	Longest float64 // ms; no lease has a longer term
	Most    int     // leases that a voter keeps; more are refused
	Fixed   []Terms // leases that are known from the start and never forgotten
}

// Terms are of one lease.
type Terms struct {
	Name string
	Term float64 // ms that a grant holds
}

// Received is a message from a member.
type Received struct {
	From    string
	Message Message
}

// Want says that this member asks for a lease, or does so no more. A lease that is held stays held until Drop.
type Want struct {
	Lease string
	Term  float64 // ms; 0: as it is fixed
	On    bool
}

// Write leaves a note with a lease that is held; Noted follows when a majority has it.
type Write struct {
	Lease string
	Fence uint64
	Data  []byte
}

// Drop gives a lease up. Nothing may go on under it, since others may hold it at once; where something may, Silent leaves it to run out.
type Drop struct {
	Lease  string
	Fence  uint64
	Silent bool
}

// Resign ends this member's part. What is held is not given up, since something may go on under it: its term runs out.
type Resign struct{}

// Stored says that all records up to a number last.
type Stored struct{ Upto uint64 }

// DiskLost says that nothing can be stored any more: this voter grants nothing more.
type DiskLost struct{}

// Input is a Received, Want, Write, Drop, Resign, Stored or DiskLost.
type Input any

// Output is a Store, Send, Held, Renewed, Noted or Lost.
type Output any

// Store is a record that has to last before Stored tells its number.
type Store struct {
	Number uint64
	Record Record
}

// Record is a vote as it lasts. Moments are by the clock of the process that wrote it, which is to go on where that
// of the one before stopped, as near as a wall clock can.
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

// Send is messages for a member.
type Send struct {
	To       string
	Messages []Message
}

// Held says that this member holds a lease. What is done under it may go on until Until by this member's clock and is to be over then,
// unless a Renewed comes with a later moment. Fence goes along to whatever it changes. Note is the newest of earlier holders, if there is
// any, and NoteAt when it was written; of other notes none was lost that was written after Blank.
type Held struct {
	Lease  string
	Fence  uint64
	Until  float64
	Note   []byte
	NoteAt float64
	Blank  float64
}

// Renewed says that a lease is held on.
type Renewed struct {
	Lease string
	Fence uint64
	Until float64
}

// Noted says that a majority has the last note that was written.
type Noted struct {
	Lease string
	Fence uint64
	Until float64
}

// Lost says that a lease is held no longer.
type Lost struct {
	Lease string
	Fence uint64
}

const (
	renewShare = 0.3  // of a term: so often it is renewed
	againShare = 0.2  // of a term: so long a renewal without a majority's answers waits for the next try; a candidate by chance up to that, then more
	tryShare   = 0.1  // of a term: so long a candidate's first try waits for a majority's answers, the next ones twice and four times that
	freeShare  = 0.05 // of a term: within so long, by chance, those who wait ask for a lease that was given up or has run out
	earlyShare = 0.1  // of a term: renewals that are due so soon go along with one that is due
	leewayMs   = 5.0  // before its end a lease counts as over
	keptFor    = 10.0 // terms: so long a lease that nobody holds is remembered, if it is not fixed
	// Never is a moment before all others, in ms.
	Never = -1e15
	// NoteMost is the size of the largest note's data in bytes.
	NoteMost = 512
	// NameMost is the size of the longest lease's name in bytes.
	NameMost = 120
)

// Counts are kept for the operators.
type Counts struct {
	Granted int `json:"granted"`
	Refused int `json:"refused"`
	Held    int `json:"held"`
	Lost    int `json:"lost"`
	Noted   int `json:"noted"`
	Stored  int `json:"stored"`
	Full    int `json:"full"` // asks refused since too many leases are kept
	Odd     int `json:"odd"`
}

// View is what is seen of a lease.
type View struct {
	Lease    string  `json:"lease"`
	Holder   string  `json:"holder"` // as this voter granted it to who holds it; "" when none runs
	Epoch    uint64  `json:"epoch"`
	Until    float64 `json:"until"` // by this member's clock: of the grant, or as the holder counts it
	Held     bool    `json:"held"`  // by this member
	Wanted   bool    `json:"wanted"`
	Note     []byte  `json:"note,omitempty"`
	NoteAt   float64 `json:"note_at"`
	Blank    bool    `json:"blank"` // this voter may have forgotten
	Quiet    float64 `json:"quiet"` // up to when it grants nothing
	Majority int     `json:"majority"`
	Voters   int     `json:"voters"`
}
