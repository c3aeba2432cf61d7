// Package limitshare divides each fleet-wide limit among the brokers. It does no I/O and reads no clock: scans, messages and the time go in, verdicts and
// messages come out. A scan is admitted or rejected locally, without waiting for a message.
//
// It uses escrow (O'Neil 1986): each owner has a permanent home share of a limit and lends the idle part of it for a term. The borrower counts the
// term from when it sent its ask; the lender counts it from when it granted the loan, extended by the drift of two clocks, as for leases. So no part of
// a limit is ever used by two members, even if messages are lost, delayed or duplicated or members are paused, and there is no leader.
//
// Shares are whole billionths of a limit, so that rounding errors do not add up.
package limitshare

import (
	"math"
	"slices"
)

// Whole is the share that stands for an entire limit.
const Whole = 1_000_000_000

// Part is a share of a limit in two dimensions: of the rate (or of the units of a Stock limit), and of the burst. They are lent separately: a member
// with occasional scans needs a whole token of burst, but hardly any rate.
type Part [2]int64

const (
	rateIndex  = 0 // index of the share of the rate, or of the units of a Stock limit
	burstIndex = 1 // index of the share of the burst
)

func (p Part) add(q Part) Part { return Part{p[0] + q[0], p[1] + q[1]} }
func (p Part) sub(q Part) Part { return Part{p[0] - q[0], p[1] - q[1]} }
func (p Part) min(q Part) Part { return Part{min(p[0], q[0]), min(p[1], q[1])} }
func (p Part) max(q Part) Part { return Part{max(p[0], q[0]), max(p[1], q[1])} }

// less reports whether p is below q in either dimension.
func (p Part) less(q Part) bool { return p[0] < q[0] || p[1] < q[1] }
func (p Part) none() bool       { return p == Part{} }

// Kind is what a limit counts.
type Kind uint8

const (
	Rate  Kind = iota // scans per second, with a burst
	Stock             // scans open at the same time
)

// Limit is a limit for the whole fleet, or for each key separately.
type Limit struct {
	Name   string
	Kind   Kind
	Size   float64 // scans per second, or open scans
	Burst  float64 // of a Rate limit: tokens that the bucket holds
	Term   float64 // ms that a loan is valid; the same at all members
	Owners int     // number of members with a home share of a key; 0: all members
	// Available limits may be exceeded during network failures, by a stated bound; others never.
	Available bool
	Linger    float64 // Available: ms that a borrowed share stays usable after its term without an answer of its lender
	Alone     float64 // Available: least share of the limit that each side of a network partition has
}

// Rules configures a member. All members have the same rules except for Self and Boot.
type Rules struct {
	Self   string
	Boot   uint64   // number of this process; it grows with each restart
	Roster []string // all members
	Drift  float64  // bound on the relative clock drift
	Most   int      // most accounts kept, one for each limit and key
	After  float64  // ms; the longest retry time given to clients; 0: none is given
	Loans  bool     // lend idle shares; otherwise each member uses only its home share
}

// MessageKind is the type of a message.
type MessageKind uint8

const (
	Ask      MessageKind = iota + 1 // request for a loan
	Loan                            // answer to an Ask
	Recall                          // request to reduce a loan and to confirm it
	SizeInfo                        // report on a limit's size
)

// Message is sent from one member to another.
type Message struct {
	Kind       MessageKind
	Limit, Key string
	Boot, Seq  uint64  // the borrower's process number and the number of its ask
	Have       Part    // Ask: most that the borrower uses of this lender's loan until the answer
	Share      Part    // Ask: requested share; Loan: granted share; Recall: share that the borrower may keep
	Tokens     float64 // tokens transferred with the message
	Word       *Word   // content of a SizeInfo
	Once       bool    // an Ask for the tokens of one scan, or its answer
}

// Input is a Received, View, Set, Document, Stored or DiskLost.
type Input any

// Received is a message received from a member.
type Received struct {
	From    string
	Message Message
}

// View lists the members that the failure detector considers alive.
type View struct{ Living []string }

// Send holds messages to send to a member.
type Send struct {
	To       string
	Messages []Message
}

// Use is what a scan consumes of a limit.
type Use struct {
	Limit int // index of the limit
	Key   string
	Cost  float64
}

// Verdict is the decision on a scan.
type Verdict struct {
	Taken bool
	Limit int     // index of the limit that rejected it, or -1
	After float64 // ms after which the client should retry
	Wait  float64 // ms; above 0: an owner has been asked for the tokens of this scan, and Again may admit it within this time
}

// Counts are counters for operators.
type Counts struct {
	Taken     int `json:"taken"`
	Throttled int `json:"throttled"`
	Crowded   int `json:"crowded"` // scans rejected because too many accounts are kept
	Lent      int `json:"lent"`
	Borrowed  int `json:"borrowed"`
	Recalled  int `json:"recalled"`
	Late      int `json:"late"` // answers that arrived after their deadline
	Odd       int `json:"odd"`
	Once      int `json:"once"`   // scans admitted with tokens that an owner granted for this one scan
	Spared    int `json:"spared"` // grants of this member for single scans of others
	Stored    int `json:"stored"` // marks stored
}

// Seen is the state of one account for operators.
type Seen struct {
	Limit    string  `json:"limit"`
	Key      string  `json:"key"`
	Size     float64 `json:"size"`  // size in force
	Order    string  `json:"order"` // member that issued the order in force, if any
	Left     float64 `json:"left"`  // ms until the order expires
	Told     int     `json:"told"`  // members known to have the order
	Home     float64 `json:"home"`  // home share; shares are parts of the limit, from 0 to 1
	Lent     float64 `json:"lent"`
	Borrowed float64 `json:"borrowed"`
	Share    float64 `json:"share"`
	Used     float64 `json:"used"`   // scans per second, or open scans
	Demand   float64 `json:"demand"` // likewise, rejected scans included
	Age      float64 `json:"age"`    // ms since the oldest ask that a current loan depends on
	Over     float64 `json:"over"`   // bound on how much of the limit the fleet may use beyond it, as far as this member knows
	Cut      bool    `json:"cut"`    // some lender has not answered for more than a term
	Quiet    float64 `json:"quiet"`  // ms until the home share becomes usable
}

const (
	renewAfter         = 0.25   // of a term: interval at which a loan is renewed
	askTimeout         = 0.1    // of a term: time after which an unanswered ask is retried
	minAskInterval     = 0.05   // of a term: least time between two asks for more to one lender
	maxLendersAsked    = 4      // lenders asked for more in one round
	maxBorrowers       = 8      // members that one lends to at the same time
	expiryMarginMs     = 2.0    // a borrower treats a loan as ended this long before its end
	headroom           = 1.05   // a member needs a share for this multiple of its demand
	lowTokensHeadroom  = 1.3    // the same multiple while its bucket is low
	lowTokens          = 0.25   // a bucket below this fraction of its size is low
	slack              = 1.15   // a member returns borrowed shares above this multiple of its need
	fastMs             = 200.0  // averaging time of the fast average of the demand, for high rates
	slowMs             = 2000.0 // averaging time of the slow one, for low rates
	gridMs             = 20.0   // due times of accounts are rounded up to multiples of this
	evictionIntervalMs = 500.0  // least time between two evictions of idle accounts
	// tokenTolerance is the part of a token that may be missing: a fifth of a burst of five has to count as a token though shares are rounded.
	tokenTolerance  = 1e-6
	onceTermMs      = 60.0 // validity of tokens granted for one scan; the same at all members
	onceWaitMs      = 25.0 // longest time that a scan waits for such tokens
	maxPendingOnces = 64   // scans of one key that wait at the same time
	maxOnceTries    = 3    // owners asked for the tokens of one scan
	minLoanDemand   = 1.0  // scans of a key in a term: below this nothing is borrowed, and each scan asks for its own tokens
	maxOnceDemand   = 6.0  // scans of a key in a term: above this loans suffice, and grants for single scans would only use up shares that loans need
	decayMs         = 1.0  // least time between two updates of the decaying averages
	idleTerms       = 5.0  // terms after which an unused account is removed
	retryJitter     = 0.25 // retry times are extended by a random part of up to this fraction
	maxKeyLength    = 120
	never           = -1e15 // a time before all others, in ms
)

type limit struct {
	Limit  // Size and Burst are those in force
	number int
	sizeState
}

// debt is what this member lent to a process of another member: newShare until newUntil, and at least oldShare until oldUntil.
type debt struct {
	to                 string
	boot, seq          uint64
	oldShare, newShare Part
	oldUntil           float64
	newUntil           float64
	want               Part
	wantAt, recalledAt float64
	once               bool // granted for one scan
}

func (d *debt) lentAt(now float64) (p Part) {
	if now < d.newUntil {
		p = d.newShare
	}
	if now < d.oldUntil {
		p = p.max(d.oldShare)
	}
	return p
}

// loan is what another member has lent to this one.
type loan struct {
	from           string
	share          Part
	end            float64
	seq            uint64
	sentAt         float64
	asked          Part
	open           bool // the newest ask is not answered yet
	shortfalls     int  // consecutive asks that were granted less than asked, or not answered
	nextIncreaseAt float64
	silentSince    float64 // time since which asks are unanswered; never: they are answered
}

// account is the state of one key of one limit.
type account struct {
	limit             *limit
	key               string
	home              Part // permanent share, if this member is an owner
	rank              int  // rank among the owners; below 0: not an owner
	mark              Part // the largest part of the home share that may be lent, as stored
	markNumber        uint64
	markChangedAt     float64
	debts             []debt
	loans             []loan // one for each other owner
	share             Part   // usable until changeAt, when it changes without input
	nextAt            float64
	nextShortLenderAt float64
	// Rate
	tokens, tokensAt float64
	// Stock
	used    float64
	lastEnd float64 // when the last open scan ends at the latest
	peak    float64
	// demand
	fastDemand, slowDemand float64 // scans per second
	demandAt, lastScanAt   float64 // when the averages were last decayed; when the last scan came
	takenRate, takenAt     float64 // admitted per second, and when this was last decayed
	lastRetryAt            float64 // latest retry time given to a rejected scan
	dueAt                  float64
	index                  int // position in the heap
	changeAt               float64
	onceShares             []onceShare   // grants received for single scans
	pendingOnces           []pendingOnce // pending asks for single scans
	noOnceUntil            float64       // no owner is asked for a single scan before this time, since owners had no tokens
}

// onceShare is a share that an owner granted for one scan.
type onceShare struct {
	share Part
	until float64
}

// pendingOnce is a pending ask for the tokens of one scan.
type pendingOnce struct {
	seq   uint64
	sent  float64
	owner int // index into the loans
	tries int
	cost  float64
}

type accountID struct {
	limit int
	key   string
}

// Core is the state machine of one member. It is not safe for concurrent use.
type Core struct {
	Counts Counts

	rules         Rules
	limits        []*limit
	byName        map[string]*limit
	accounts      map[accountID]*account
	queue         accountHeap
	start         float64
	started       bool
	now           float64
	seq           uint64
	alive         map[string]bool
	nextGossip    float64
	nextEviction  float64
	outbox        map[string][]Message
	random        func() float64
	takeAccounts  []*account // accounts of the current Take
	tokensArrived bool       // tokens for a single scan have arrived since the last Came
	marks
}

// New creates the state machine of a member. Earlier processes of the member may have lent shares that this one does not know of: it does not use home
// shares until the longest loan term has passed, except for Available limits. The function random returns numbers in [0, 1).
func New(r Rules, limits []Limit, random func() float64) *Core {
	c := &Core{rules: r, byName: map[string]*limit{}, accounts: map[accountID]*account{}, outbox: map[string][]Message{}, random: random}
	c.rules.Roster = slices.Clone(r.Roster)
	slices.Sort(c.rules.Roster)
	for i, l := range limits {
		l.Burst, l.Term = max(1, l.Burst), max(1, l.Term)
		own := size{l.Size, l.Burst}
		c.limits = append(c.limits, &limit{l, i, sizeState{own: own, initial: own, sizes: []size{own}, sizeBefore: own, expiresAt: math.Inf(1), questions: map[string]question{}, memberSizes: map[string]size{}, knownVersions: map[string]uint64{}}})
		c.byName[l.Name] = c.limits[i]
	}
	return c
}

// lenderTerm is how long a lender counts a loan: the borrower's clock may be slow and its own fast.
func (c *Core) lenderTerm(l *limit) float64 {
	return l.Term * (1 + c.rules.Drift) / (1 - c.rules.Drift)
}

// priorLoansEndAt returns when all loans of an earlier process of this member have ended.
func (c *Core) priorLoansEndAt(l *limit) float64 {
	if l.Available || !c.rules.Loans {
		return c.start
	}
	return c.start + c.lenderTerm(l)
}

// homeUsableAt returns when the home shares of a limit become usable. Unless the marks of the earlier process are known, it may have lent them until
// then.
func (c *Core) homeUsableAt(l *limit) float64 {
	if c.complete {
		return c.start
	}
	return c.priorLoansEndAt(l)
}

func (c *Core) advance(now float64) {
	if !c.started {
		c.started, c.start, c.now, c.nextGossip = true, now, now, now
		c.trustAt = c.inheritedLoansEndAt()
	}
	c.now = max(c.now, now)
}
