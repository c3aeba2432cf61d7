// Package shares decides how much of each limit that holds for the whole fleet this broker may use at a moment. It has no I/O and no clock: scans,
// messages and the time go in, verdicts and messages come out. A scan's verdict needs no message.
//
// The way is escrow (O'Neil 1986): of each limit every owner has a home share for good, and lends what lies idle there for a term. A borrower
// counts the term from the moment it asked, a lender from the moment it granted and longer by what two clocks can drift apart, as leases do. So
// no part of a limit is ever used by two, whatever is lost, late, doubled or stopped, and no member leads.
//
// Shares are counted in whole billionths of a limit, so that no rounding adds up.
package shares

import (
	"math"
	"slices"
)

// Whole is all of a limit.
const Whole = 1_000_000_000

// Part is one of a limit: of what comes a second, or of the units, and of what may be taken at once. They are lent each by itself: who is asked
// for a scan now and then needs a whole token at once, and hardly anything a second.
type Part [2]int64

const (
	flow  = 0
	depth = 1
)

func (p Part) add(q Part) Part { return Part{p[0] + q[0], p[1] + q[1]} }
func (p Part) sub(q Part) Part { return Part{p[0] - q[0], p[1] - q[1]} }
func (p Part) min(q Part) Part { return Part{min(p[0], q[0]), min(p[1], q[1])} }
func (p Part) max(q Part) Part { return Part{max(p[0], q[0]), max(p[1], q[1])} }

// less says that p is below q in something.
func (p Part) less(q Part) bool { return p[0] < q[0] || p[1] < q[1] }
func (p Part) none() bool       { return p == Part{} }

// Kind is what a limit counts.
type Kind uint8

const (
	Rate  Kind = iota // so many a second, and so many at once
	Stock             // so much open at once
)

// Limit is one that holds for the fleet, or for each key by itself.
type Limit struct {
	Name   string
	Kind   Kind
	Size   float64 // a second, or at once
	Burst  float64 // of a Rate: at once
	Term   float64 // ms that a loan holds; the same at all members
	Owners int     // of a key's home shares; 0: all members
	// Available limits may be passed when links fail, by a stated bound; others never.
	Available bool
	Linger    float64 // Available: ms that a borrowed share goes on after its term without a word of its lender
	Alone     float64 // Available: share of the limit that each side of a split has at least
}

// Rules are the same at all members, but for Self and Boot.
type Rules struct {
	Self   string
	Boot   uint64   // of this process
	Roster []string // all members
	Drift  float64  // a clock may run faster or slower than true time by this share
	Most   int      // accounts, one for each limit and key, that are kept
	After  float64  // ms; the longest time to come back that is told; 0: none is
	Loans  bool     // idle shares are lent; else each has its home share alone
}

// MessageKind is a message's.
type MessageKind uint8

const (
	Ask    MessageKind = iota + 1 // lend me
	Loan                          // I do
	Recall                        // go down to that, and say so
	Told                          // what I know of a limit's size
)

// Message goes from one member to another.
type Message struct {
	Kind       MessageKind
	Limit, Key string
	Boot, Seq  uint64  // the borrower's process and its ask
	Have       Part    // Ask: until it is answered no more than that is used of what this lender lent
	Share      Part    // Ask: wanted; Loan: lent; Recall: to be kept
	Tokens     float64 // that go along
	Word       *Word   // of a Told
	Once       bool    // an Ask for one scan's tokens, or its answer
}

// Input is a Received, View, Set, Document, Stored or DiskLost.
type Input any

// Received is a message from a member.
type Received struct {
	From    string
	Message Message
}

// View says which members live, as far as this one knows.
type View struct{ Living []string }

// Send is messages for a member.
type Send struct {
	To       string
	Messages []Message
}

// Use is what a scan takes of a limit.
type Use struct {
	Limit int // its number
	Key   string
	Cost  float64
}

// Verdict on a scan. Limit is the number of the one that turned it away.
type Verdict struct {
	Taken bool
	Limit int
	After float64 // ms; when it should come back
	Wait  float64 // ms; above 0: an owner has been asked for this one scan's tokens, and Again may take it until then
}

// Counts are kept for the operators.
type Counts struct {
	Taken     int `json:"taken"`
	Throttled int `json:"throttled"`
	Crowded   int `json:"crowded"` // scans turned away since too many keys are known
	Lent      int `json:"lent"`
	Borrowed  int `json:"borrowed"`
	Recalled  int `json:"recalled"`
	Late      int `json:"late"` // answers that came too late to count
	Odd       int `json:"odd"`
	Once      int `json:"once"`   // scans that were taken with tokens of an owner, asked for each by itself
	Spared    int `json:"spared"` // tokens that this member gave for others' single scans
	Stored    int `json:"stored"` // marks of what is lent that went to the disk
}

// Seen is what is seen of one limit and key.
type Seen struct {
	Limit    string  `json:"limit"`
	Key      string  `json:"key"`
	Size     float64 `json:"size"`  // that counts now
	Order    string  `json:"order"` // who set it so, if anybody did
	Left     float64 `json:"left"`  // ms for which that holds
	Told     int     `json:"told"`  // members that are known to know it
	Home     float64 `json:"home"`  // shares of the limit, from 0 to 1
	Lent     float64 `json:"lent"`
	Borrowed float64 `json:"borrowed"`
	Share    float64 `json:"share"`
	Used     float64 `json:"used"`   // a second, or open
	Demand   float64 `json:"demand"` // likewise, with what was turned away
	Age      float64 `json:"age"`    // ms since the oldest word that a borrowed share rests on
	Over     float64 `json:"over"`   // at most so much of the limit could the fleet be over, as far as this member knows
	Cut      bool    `json:"cut"`    // lenders do not answer
	Quiet    float64 `json:"quiet"`  // ms for which the home share is not used yet
}

const (
	renewShare = 0.25   // of a term: so often a loan is renewed
	againShare = 0.1    // of a term: so long an ask waits for its answer
	moreShare  = 0.05   // of a term: between two asks for more of one lender
	askedMost  = 4      // lenders that are asked for more at once
	lendMost   = 8      // members that one lends to at once
	leewayMs   = 2.0    // before its end a loan counts as over
	headroom   = 1.05   // a member needs so many times its demand,
	lowRoom    = 1.3    // and so many times where its bucket has run
	lowShare   = 0.25   // below this share
	slack      = 1.15   // times its need that a member keeps before it gives borrowed shares back
	fastMs     = 200.0  // over so long demand is seen to rise and fall,
	slowMs     = 2000.0 // and where little comes over so long
	gridMs     = 20.0
	forgetMs   = 500.0
	// sliver of a token that may be missing: a fifth of a burst of five is a token, and has to be one though shares are rounded.
	sliver     = 1e-6
	onceMs     = 60.0 // an owner's tokens for one scan hold for so long; the same at all members
	waitMs     = 25.0 // a scan waits for them for so long at most
	onceMost   = 64   // scans of one key that wait
	onceTries  = 3    // owners that are asked for one
	sporadic   = 1.0  // scans of a key in a term: below it nothing is borrowed, each is asked for by itself;
	seldom     = 6.0  // above this many loans do, and single ones would only take their room
	decayMs    = 1.0  // demand is let age in steps of that
	idleFor    = 5.0  // terms after which an account that is not used is forgotten
	backSpread = 0.25
	keyMost    = 120
	never      = -1e15
)

type limit struct {
	Limit  // Size and Burst are those that count now
	number int
	standing
}

// debt is what this member lent to another one's process: lo until loUntil, and hi, if that is more, until hiUntil.
type debt struct {
	to              string
	boot, seq       uint64
	hi, lo          Part
	hiUntil         float64
	loUntil         float64
	want            Part
	wantAt, recalls float64
	once            bool // for one scan
}

func (d *debt) out(now float64) (p Part) {
	if now < d.loUntil {
		p = d.lo
	}
	if now < d.hiUntil {
		p = p.max(d.hi)
	}
	return p
}

// loan is what another member lends to this one.
type loan struct {
	from     string
	share    Part
	end      float64
	seq      uint64
	sent     float64
	asked    Part
	open     bool // the newest ask has no answer
	fails    int  // asks in a row that brought less than was asked for, or nothing
	nextMore float64
	silent   float64 // since when asks are without an answer; never: they are answered
}

// account is one key's of one limit.
type account struct {
	limit   *limit
	key     string
	home    Part // of an owner, for good
	rank    int  // among the owners; below 0: it is none of them
	mark    Part // so much of the home share may be lent, as it lasts
	markAt  uint64
	marked  float64
	debts   []debt
	loans   []loan // one for each other owner
	share   Part   // that may be used up to change, when it changes by itself
	next    float64
	nextDry float64
	// Rate
	tokens, at float64
	// Stock
	used    float64
	lastEnd float64 // when the last of what is open is over
	peak    float64
	// what is asked of it
	fast, slow  float64 // a second
	asked, seen float64 // up to when it is counted; the last scan
	taken, took float64 // taken a second, as of when
	back        float64 // up to when those who were turned away are told to come back
	due         float64
	index       int // in the heap
	change      float64
	singles     []single // tokens for single scans that have come
	onces       []once   // and that have been asked for
	dryUntil    float64  // owners had none: none is asked before
}

// single is an owner's share for one scan, until it is over.
type single struct {
	share Part
	until float64
}

// once is an ask for one scan's tokens.
type once struct {
	seq   uint64
	sent  float64
	owner int // among the loans
	tries int
	cost  float64
}

type id struct {
	limit int
	key   string
}

// Core is one member's part. Only one goroutine may call it at a time.
type Core struct {
	Counts Counts

	rules    Rules
	limits   []*limit
	byName   map[string]*limit
	accounts map[id]*account
	due      accounts
	start    float64
	begun    bool
	now      float64
	seq      uint64
	living   map[string]bool
	talkAt   float64
	forgetAt float64
	mail     map[string][]Message
	chance   func() float64
	picked   []*account // by a Take
	came     bool       // tokens for a single scan
	marks
}

// New makes a member's part. It may be a process that has forgotten what an earlier one lent: until a loan's longest term is over its home shares
// rest, but for Available limits. Chance gives numbers from 0 to 1.
func New(r Rules, limits []Limit, chance func() float64) *Core {
	c := &Core{rules: r, byName: map[string]*limit{}, accounts: map[id]*account{}, mail: map[string][]Message{}, chance: chance}
	c.rules.Roster = slices.Clone(r.Roster)
	slices.Sort(c.rules.Roster)
	for i, l := range limits {
		l.Burst, l.Term = max(1, l.Burst), max(1, l.Term)
		own := size{l.Size, l.Burst}
		c.limits = append(c.limits, &limit{l, i, standing{own: own, first: own, sizes: []size{own}, before: own, expires: math.Inf(1), asked: map[string]question{}, theirs: map[string]size{}, known: map[string]uint64{}}})
		c.byName[l.Name] = c.limits[i]
	}
	return c
}

// kept is how long a lender keeps to a loan: the borrower's clock may be slow and its own fast.
func (c *Core) kept(l *limit) float64 { return l.Term * (1 + c.rules.Drift) / (1 - c.rules.Drift) }

// rested is when nothing that an earlier process of this member lent may be in use any more.
func (c *Core) rested(l *limit) float64 {
	if l.Available || !c.rules.Loans {
		return c.start
	}
	return c.start + c.kept(l)
}

// quiet is up to when home shares of a limit rest: an earlier process of this member may have lent them, and it is not known what.
func (c *Core) quiet(l *limit) float64 {
	if c.sound {
		return c.start
	}
	return c.rested(l)
}

func (c *Core) begin(now float64) {
	if !c.begun {
		c.begun, c.start, c.now, c.talkAt = true, now, now, now
		c.ripe = c.ripens()
	}
	c.now = max(c.now, now)
}
