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
	"cmp"
	"container/heap"
	"hash/fnv"
	"maps"
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

// account finds or makes one. Nil: too many are kept.
func (c *Core) account(l *limit, key string) *account {
	a := c.accounts[id{l.number, key}]
	if a != nil {
		return a
	}
	if len(c.accounts) >= c.rules.Most {
		return nil
	}
	a = &account{limit: l, key: key, rank: -1, at: c.now, asked: c.now, seen: c.now, took: c.now, change: never, index: -1, due: c.now + l.Term}
	all := owners(c.rules.Roster, l.Name+"\x00"+key, l.Owners)
	for i, name := range all {
		if name == c.rules.Self {
			a.rank, a.home = i, l.home(i, len(all))
		} else {
			a.loans = append(a.loans, loan{from: name, silent: never})
		}
	}
	c.accounts[id{l.number, key}] = a
	c.inherit(a)
	c.recount(a, c.now)
	if l.Kind == Rate {
		// Nothing was taken of it since then, but by this process under an account that was full when it was forgotten. Before that the one before may have
		// lent of it, and its tokens with it.
		a.tokens = min(c.deep(a), max(0, c.now-c.rested(l))/1000*c.pace(a))
	}
	heap.Push(&c.due, a)
	return a
}

// home is the share of the i-th of n owners, by whichever of the sizes that members may go by gives the least. So all homes together are never more than one
// size's, which all have in common: that of the documents at the start, or of the one member that was started with another. Accounts that were made while an order
// was in force once had homes of its size, and the fleet 1.1 of a limit.
func (l *limit) home(i, n int) Part {
	least := whole
	for _, s := range l.sizes {
		least = least.min(home(Limit{Kind: l.Kind, Size: s.size, Burst: s.burst}, i, n))
	}
	return least
}

// rehome counts the homes of all accounts anew, since a member is known to go by another size.
func (c *Core) rehome(l *limit, now float64) {
	sizes := []size{l.first}
	for _, s := range append([]size{l.own}, slices.Collect(maps.Values(l.theirs))...) {
		if !slices.Contains(sizes, s) {
			sizes = append(sizes, s)
		}
	}
	slices.SortFunc(sizes, func(a, b size) int { return cmp.Or(cmp.Compare(a.size, b.size), cmp.Compare(a.burst, b.burst)) })
	if slices.Equal(sizes, l.sizes) {
		return
	}
	l.sizes = sizes
	for _, a := range c.due {
		if a.limit == l && a.rank >= 0 {
			c.settle(a, now)
			a.home = l.home(a.rank, len(a.loans)+1)
			c.recount(a, now)
		}
	}
}

// home is the share of the i-th of n owners at one size. What is taken as a whole, tokens at once and open scans, is given out as a whole: five members with a
// fifth of a token each would let nobody in.
func home(l Limit, i, n int) Part {
	even := int64(Whole / n)
	if int64(i) < Whole%int64(n) {
		even++
	}
	pieces := func(size float64) int64 {
		whole := math.Floor(size)
		mine := math.Floor(whole / float64(n))
		if float64(i) < whole-mine*float64(n) {
			mine++
		}
		if i == 0 {
			mine += size - whole
		}
		return int64(mine / size * Whole)
	}
	if l.Kind == Stock {
		return Part{flow: pieces(l.Size)}
	}
	return Part{even, pieces(l.Burst)}
}

// owners ranks members for a key, by the highest weight of rendezvous hashing, and returns the first n; 0: all of them.
func owners(roster []string, key string, n int) []string {
	if n <= 0 || n > len(roster) {
		n = len(roster)
	}
	score := func(name string) uint64 {
		h := fnv.New64a()
		h.Write([]byte(key))
		h.Write([]byte{0})
		h.Write([]byte(name))
		x := h.Sum64() // FNV's last bytes hardly reach the high bits
		x ^= x >> 33
		x *= 0xff51afd7ed558ccd
		x ^= x >> 33
		return x
	}
	all := slices.SortedFunc(slices.Values(roster), func(a, b string) int { return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b)) })
	return all[:n]
}

// deep is how many tokens an account holds at most, pace how many come to it in a second, by a clock that may be fast.
func (c *Core) deep(a *account) float64 { return float64(a.share[depth]) / Whole * a.limit.Burst }
func (c *Core) pace(a *account) float64 {
	return float64(a.share[flow]) / Whole * a.limit.Size / (1 + c.rules.Drift)
}

// lent is how much of the home share is lent at a moment.
func (a *account) lent(now float64) (p Part) {
	for i := range a.debts {
		p = p.add(a.debts[i].out(now))
	}
	return p
}

// own is what is left of the home share; nothing where more was lent of a home that was larger.
func (a *account) own(now float64) Part { return a.home.sub(a.lent(now)).max(Part{}) }

// valid is the share that may be used from a moment's point of view up to another one.
func (c *Core) valid(a *account, now, upto float64) (p Part) {
	if now >= c.quiet(a.limit) {
		p = a.own(now)
	}
	for i := range a.loans {
		if l := &a.loans[i]; upto < c.ends(a, l) {
			p = p.add(l.share)
		}
	}
	for i := range a.singles {
		if s := &a.singles[i]; upto < s.until {
			p = p.add(s.share)
		}
	}
	alone := c.alone(a)
	return p.add(Part{alone, alone})
}

func (c *Core) ends(a *account, l *loan) float64 {
	if a.limit.Available {
		return l.end + a.limit.Linger
	}
	return l.end - leewayMs
}

// alone is what an Available limit's side of a split has beyond its home shares, divided among those on it.
func (c *Core) alone(a *account) int64 {
	if !a.limit.Available || a.limit.Alone <= 0 || c.living == nil {
		return 0
	}
	homes, n := int64(0), 0
	each := int64(Whole / (len(a.loans) + 1))
	if a.home.none() {
		each = int64(Whole / max(1, len(a.loans)))
	}
	for i := range a.loans {
		if c.living[a.loans[i].from] {
			homes += each
		}
	}
	for _, name := range c.rules.Roster {
		if c.living[name] || name == c.rules.Self {
			n++
		}
	}
	return max(0, int64(a.limit.Alone*Whole)-homes-a.home[flow]) / int64(n)
}

// recount makes an account's share and the moment it changes by itself.
func (c *Core) recount(a *account, now float64) {
	a.share, a.change = c.valid(a, now, now), math.Inf(1)
	if q := c.quiet(a.limit); now < q {
		a.change = q
	}
	for i := range a.debts {
		for _, at := range [2]float64{a.debts[i].loUntil, a.debts[i].hiUntil} {
			if at > now {
				a.change = min(a.change, at)
			}
		}
	}
	for i := range a.loans {
		if at := c.ends(a, &a.loans[i]); !a.loans[i].share.none() && at > now {
			a.change = min(a.change, at)
		}
	}
	for i := range a.singles {
		if at := a.singles[i].until; at > now {
			a.change = min(a.change, at)
		}
	}
	a.tokens = min(a.tokens, c.deep(a))
}

// settle brings an account up to a moment. What has run out is over before anything else.
func (c *Core) settle(a *account, now float64) {
	for a.change <= now {
		at := max(a.change, a.at)
		c.accrue(a, at)
		c.recount(a, at)
	}
	c.accrue(a, now)
}

func (c *Core) accrue(a *account, now float64) {
	if now > a.at {
		a.tokens = min(c.deep(a), a.tokens+(now-a.at)/1000*c.pace(a))
		a.at = now
	}
}

// Take is asked for each scan that comes, with all limits that count it. It takes of all of them or of none. What it takes of a Stock limit has to
// be given back by Done, and is over after lasts ms at the latest.
func (c *Core) Take(now float64, uses []Use, lasts float64) Verdict {
	return c.take(now, uses, lasts, false)
}

// Again is asked for a scan that waits, once Came says that tokens have come: its demand is counted already.
func (c *Core) Again(now float64, uses []Use, lasts float64) Verdict {
	return c.take(now, uses, lasts, true)
}

// Came says whether tokens for single scans have come since it was asked last.
func (c *Core) Came() bool {
	came := c.came
	c.came = false
	return came
}

func (c *Core) take(now float64, uses []Use, lasts float64, again bool) Verdict {
	c.begin(now)
	now = c.now
	refused, short := -1, (*account)(nil)
	c.picked = c.picked[:0]
	for i := range uses {
		u := &uses[i]
		l := c.limits[u.Limit]
		if now >= l.expires {
			c.resize(l, now)
		}
		a := c.account(l, u.Key)
		if a == nil {
			c.forget()
			if a = c.account(l, u.Key); a == nil {
				c.Counts.Crowded++
				return Verdict{Limit: u.Limit, After: c.rules.After}
			}
		}
		c.picked = append(c.picked, a)
		c.settle(a, now)
		if !again {
			c.asked(a, now, u.Cost)
		}
		if refused < 0 && !c.fits(a, now, u.Cost, lasts) {
			refused, short = u.Limit, a
		}
	}
	if refused >= 0 {
		if !again && c.askOnce(short, now, uses) {
			return Verdict{Limit: refused, After: c.after(short, now), Wait: waitMs}
		}
		c.Counts.Throttled++
		if l := short.limit; l.Kind == Stock {
			short.peak = max(short.peak, (short.used+1)*1.5)
		}
		if len(short.loans) > 0 || len(short.debts) > 0 {
			c.wake(short, max(now, short.next))
		}
		return Verdict{Limit: refused, After: c.after(short, now)}
	}
	for i := range uses {
		u := &uses[i]
		a := c.picked[i]
		if a.limit.Kind == Rate {
			a.tokens -= u.Cost
			c.counted(a, now)
			a.taken += u.Cost * 1000 / slowMs
		} else {
			a.used += u.Cost
			a.lastEnd = max(a.lastEnd, now+lasts)
			a.peak = max(a.peak, a.used)
		}
	}
	c.Counts.Taken++
	if again {
		c.Counts.Once++
	}
	return Verdict{Taken: true, Limit: -1}
}

// askOnce asks an owner for the tokens of one scan. Where a key is asked for now and then at many members, none of them can hold a share for it: a whole token lent for a term to each
// of sixty is not there, and of a limit of five a second 5 in 100 were used. So such a token goes for as long as an answer may take, and comes back by itself.
func (c *Core) askOnce(a *account, now float64, uses []Use) bool {
	a.onces = slices.DeleteFunc(a.onces, func(o once) bool { return now >= o.sent+onceMs })
	if a.limit.Kind != Rate || !c.rules.Loans || len(a.loans) == 0 || now < a.dryUntil || len(a.onces) >= onceMost ||
		a.slow*a.limit.Term/1000 > seldom {
		return false
	}
	cost := 0.0
	for i := range uses {
		if u := &uses[i]; u.Limit == a.limit.number && u.Key == a.key {
			cost += u.Cost
		}
	}
	return cost <= a.limit.Burst && c.sendOnce(a, once{owner: int(c.chance()*float64(len(a.loans))) % len(a.loans), cost: cost}, now)
}

// sendOnce asks the next owner that answers.
func (c *Core) sendOnce(a *account, o once, now float64) bool {
	n := parts(o.cost / a.limit.Burst)
	for i := range 2 * len(a.loans) {
		o.owner = (o.owner + 1) % len(a.loans)
		rank := o.owner // among all owners, this member at its own
		if a.rank >= 0 && rank >= a.rank {
			rank++
		}
		// Whose home has room for it first: of a burst smaller than the owners are many most have none, and who asked them by chance was told so three times.
		able := a.limit.home(rank, len(a.loans)+1)[depth] >= n || i >= len(a.loans)
		if l := &a.loans[o.owner]; l.silent == never && able {
			c.seq++
			o.seq, o.sent, o.tries = c.seq, now, o.tries+1
			a.onces = append(a.onces, o)
			c.mail[l.from] = append(c.mail[l.from], Message{Kind: Ask, Limit: a.limit.Name, Key: a.key, Boot: c.rules.Boot, Seq: o.seq, Share: Part{depth: n}, Once: true})
			c.wake(a, c.now) // it goes out with the next Step
			return true
		}
	}
	return false
}

// spare gives a member the tokens of one scan, if there are as many now, and with them their room for as long as they hold.
func (c *Core) spare(a *account, now float64, from string, m Message) {
	if c.failed {
		return
	}
	a.debts = slices.DeleteFunc(a.debts, func(d debt) bool { return d.once && d.out(now).none() })
	if now < c.quiet(a.limit) || len(a.debts) >= 4*len(c.rules.Roster)+onceMost ||
		slices.ContainsFunc(a.debts, func(d debt) bool { return d.once && d.to == from && d.boot == m.Boot && d.seq >= m.Seq }) {
		return // twice, or out of order: it is asked again
	}
	answer := Message{Kind: Loan, Limit: m.Limit, Key: m.Key, Boot: m.Boot, Seq: m.Seq, Once: true}
	if cost := float64(m.Share[depth]) / Whole * a.limit.Burst; a.tokens >= cost-sliver && !a.own(now).less(Part{depth: m.Share[depth]}) {
		a.debts = append(a.debts, debt{to: from, boot: m.Boot, seq: m.Seq, lo: Part{depth: m.Share[depth]}, loUntil: now + onceMs*(1+c.rules.Drift)/(1-c.rules.Drift),
			hiUntil: never, wantAt: never, once: true})
		a.tokens -= cost
		c.recount(a, now)
		c.Counts.Spared++
		answer.Share, answer.Tokens = Part{depth: m.Share[depth]}, cost
		c.raise(a, now)
	}
	c.say(a, from, answer)
}

// spared takes an owner's answer.
func (c *Core) spared(a *account, now float64, m Message) {
	at := slices.IndexFunc(a.onces, func(o once) bool { return o.seq == m.Seq })
	if at < 0 {
		c.Counts.Late++
		return
	}
	o := a.onces[at]
	a.onces = slices.Delete(a.onces, at, at+1)
	switch until := o.sent + onceMs; {
	case m.Share.none() && o.tries < min(onceTries, len(a.loans)) && now < o.sent+waitMs:
		c.sendOnce(a, o, now)
	case m.Share.none():
		// As many a second as the limit has can be had by whoever asks; who has just been told that there is none asks no owner for as long as the next takes.
		a.dryUntil = now + min(1000/a.limit.Size, a.limit.Term)
	case now >= until-leewayMs:
		c.Counts.Late++
	default:
		a.singles = append(slices.DeleteFunc(a.singles, func(s single) bool { return now >= s.until }), single{m.Share.min(Part{depth: parts(o.cost / a.limit.Burst)}), until - leewayMs})
		c.recount(a, now)
		a.tokens = min(c.deep(a), a.tokens+min(m.Tokens, o.cost))
		c.came = true
	}
}

// Room is how much of a Rate limit could be taken at a moment. It counts as no demand.
func (c *Core) Room(now float64, u Use) float64 {
	c.begin(now)
	l := c.limits[u.Limit]
	if c.now >= l.expires {
		c.resize(l, c.now)
	}
	a := c.account(l, u.Key)
	if a == nil {
		return 0
	}
	c.settle(a, c.now)
	return math.Floor(a.tokens + sliver)
}

func (c *Core) fits(a *account, now, cost, lasts float64) bool {
	if a.limit.Kind == Rate {
		return a.tokens >= cost-sliver
	}
	return a.used+cost <= float64(c.valid(a, now, now+lasts)[flow])/Whole*a.limit.Size+sliver
}

// Done gives back what a scan took of Stock limits.
func (c *Core) Done(now float64, uses []Use) {
	c.begin(now)
	for i := range uses {
		a := c.accounts[id{uses[i].Limit, uses[i].Key}]
		if a == nil || a.limit.Kind != Stock {
			continue
		}
		if a.used = max(0, a.used-uses[i].Cost); a.used < 1e-9 {
			a.used, a.lastEnd = 0, 0
		}
	}
}

// asked counts demand, whether it is taken or not.
func (c *Core) asked(a *account, now, cost float64) {
	c.decay(a, now)
	a.fast += cost * 1000 / fastMs
	a.slow += cost * 1000 / slowMs
	a.seen = now
}

func (c *Core) decay(a *account, now float64) {
	if dt := now - a.asked; dt >= decayMs {
		a.fast *= math.Exp(-dt / fastMs)
		a.slow *= math.Exp(-dt / slowMs)
		a.peak = a.used + (a.peak-a.used)*math.Exp(-dt/slowMs)
		a.asked = now
	}
}

// counted lets what was taken age.
func (c *Core) counted(a *account, now float64) {
	if dt := now - a.took; dt >= decayMs {
		a.taken *= math.Exp(-dt / slowMs)
		a.took = now
	}
}

// after is a time to come back: those who are turned away are given the fleet's next tokens one after the other.
func (c *Core) after(a *account, now float64) float64 {
	if c.rules.After <= 0 {
		return 0
	}
	step := 1000 / max(a.limit.Size, 1e-3)
	if a.limit.Kind == Stock {
		step = slowMs / 10 / max(a.limit.Size, 1)
	}
	a.back = min(max(a.back, now)+step, now+c.rules.After)
	return min(c.rules.After, (a.back-now)*(1+backSpread*c.chance()))
}

// need is the share that this member's own demand needs.
func (c *Core) need(a *account, now float64) Part {
	c.decay(a, now)
	if a.limit.Kind == Stock {
		if a.peak < 1e-3 {
			return Part{}
		}
		return Part{flow: parts(max(a.peak*headroom, min(a.peak+1, a.limit.Size)) / a.limit.Size)}
	}
	// What came over the longer time, within what the shorter one leaves likely: one scan in 200 ms says little, a hundred fewer say much.
	likely := math.Sqrt(a.fast * 1000 / fastMs)
	d := max(a.fast-1.5*likely, min(a.slow, a.fast+2*likely+2*1000/fastMs))
	if a.slow*slowMs/1000 < 0.02 {
		return Part{} // nobody asks any more
	}
	room := headroom
	if a.tokens < lowShare*c.deep(a) {
		room = lowRoom
	}
	n := d * room * (1 + c.rules.Drift) / a.limit.Size
	// Less than one whole token at once lets nothing in.
	return Part{parts(n), parts(max(n, (1-sliver/10)/a.limit.Burst))}
}

func parts(share float64) int64 { return int64(math.Ceil(min(1, max(0, share)) * Whole)) }

// wake has an account looked at by a moment.
func (c *Core) wake(a *account, at float64) {
	if at = math.Ceil(at/gridMs) * gridMs; at < a.due {
		a.due = at
		heap.Fix(&c.due, a.index)
	}
}

// Due is when Step is wanted next though nothing comes in.
func (c *Core) Due() float64 {
	if !c.begun {
		return math.Inf(-1)
	}
	at := min(c.talkAt, c.trustDue())
	for _, l := range c.limits {
		at = min(at, l.expires)
	}
	if len(c.due) > 0 {
		at = min(at, c.due[0].due)
	}
	return at
}

// Step takes what came in by now and does what is due.
func (c *Core) Step(now float64, in []Input) (out []Send) {
	c.begin(now)
	now = c.now
	for _, x := range in {
		switch v := x.(type) {
		case Received:
			c.receive(now, v.From, v.Message)
		case Set:
			if l := c.byName[v.Limit]; l != nil {
				c.set(l, v, now)
			}
		case Document:
			if l := c.byName[v.Limit]; l != nil && sane(v.Size) && sane(max(1, v.Burst)) {
				l.own = size{v.Size, max(1, v.Burst)}
				c.rehome(l, now)
				c.resize(l, now)
				c.tellAll(l, now)
			}
		case Stored:
			c.last(v.Upto)
		case DiskLost:
			c.failed, c.waits, c.stores = true, nil, nil
		case View:
			c.living = map[string]bool{}
			for _, name := range v.Living {
				c.living[name] = true
			}
			for _, a := range c.accounts {
				if a.limit.Available {
					c.settle(a, now)
					c.recount(a, now)
				}
			}
		}
	}
	c.talk(now)
	c.trust()
	for len(c.due) > 0 && c.due[0].due <= now {
		a := c.due[0]
		a.due = math.Inf(1)
		heap.Fix(&c.due, a.index)
		c.turn(a, now)
	}
	for _, to := range c.rules.Roster {
		if m := c.mail[to]; len(m) > 0 {
			out = append(out, Send{to, m})
			delete(c.mail, to)
		}
	}
	return out
}

// turn looks after one account: calls lent shares back, asks for more, renews, gives back.
func (c *Core) turn(a *account, now float64) {
	c.settle(a, now)
	c.settled(a, now)
	term := a.limit.Term
	a.next = now + moreShare*term // not again before
	need := c.need(a, now)
	if !c.rules.Loans {
		c.plan(a, now, need)
		return
	}
	c.recall(a, now, c.keep(a, need))
	missing := c.missing(a, now, need)
	var have, coming Part
	for i := range a.loans {
		l := &a.loans[i]
		if now >= c.ends(a, l) {
			l.share = Part{}
		}
		if l.open && now >= l.sent+againShare*term && l.silent == never {
			l.silent = l.sent
			c.dry(a, l, now)
		}
		have = have.add(l.share)
		if l.open && l.silent == never {
			coming = coming.add(l.asked.sub(l.share))
		}
	}
	left := missing.sub(have).sub(coming).max(Part{})
	each := Part{1, 1}.add(Part{Whole / int64(len(a.loans)+1), Whole / int64(len(a.loans)+1)})
	first, asked := 0, 0
	if n := len(a.loans); n > 0 {
		first = min(int(c.chance()*float64(n)), n-1)
	}
	for _, again := range [2]bool{false, true} { // those who have given what was asked go before those who have not
		for k := range a.loans {
			l := &a.loans[(first+k)%len(a.loans)]
			if again != (l.fails > 0) {
				continue
			}
			want := l.share
			for q := range want {
				if float64(have[q]) > slack*float64(missing[q]) {
					want[q] = int64(float64(l.share[q]) * float64(missing[q]) / float64(have[q]))
				}
			}
			if again && now < a.nextDry {
				// Of those who had nothing one is tried at a time: where all are short, messages do not grow with the members.
			} else if !l.open && now >= l.nextMore && asked < askedMost && !left.none() {
				if again {
					a.nextDry = now + renewShare*term
				}
				more := left.min(each)
				want, left = want.max(l.share).add(more), left.sub(more)
				asked++
			}
			switch {
			case l.open && want.none() && missing.none():
				l.open = now < l.sent+againShare*term // nothing is wanted any more: an answer counts for nothing
			case l.open:
				// Who is silent is asked on, ever more seldom: it may be dead, or this member cut off.
				if l.silent > never && (!l.share.none() && now >= l.sent+againShare*term || now >= l.sent+min(2*term, max(againShare*term, (now-l.silent)/2))) {
					c.ask(a, l, want, now)
				}
			case l.share.less(want), !l.share.none() && (now >= l.sent+renewShare*term || want.none()):
				c.ask(a, l, want, now)
			}
		}
	}
	c.plan(a, now, need)
}

// dry notes that a lender has less than was asked for, or is silent: it is asked for more ever more seldom.
func (c *Core) dry(a *account, l *loan, now float64) {
	l.nextMore = now + renewShare*a.limit.Term*float64(uint(1)<<min(l.fails, 3))
	l.fails++
}

// keep is what an owner's own demand keeps from others: nothing where it has no whole token to use it with.
func (c *Core) keep(a *account, need Part) Part {
	if a.limit.Kind == Rate && float64(a.home[depth])/Whole*a.limit.Burst < 1-sliver && c.deep(a) < 1-sliver {
		return Part{}
	}
	return need
}

// missing is what an account needs beyond its home share.
func (c *Core) missing(a *account, now float64, need Part) Part {
	if now < c.quiet(a.limit) {
		return need
	}
	if a.limit.Kind == Rate && a.slow*a.limit.Term/1000 < sporadic {
		return Part{}
	}
	missing := need.sub(a.home).max(Part{})
	if a.limit.Kind == Rate && c.deep(a) < 1-sliver {
		missing[flow] = 0 // without room for a whole token no pace lets anything in: that first
	}
	return missing
}

// plan says when an account is looked at next.
func (c *Core) plan(a *account, now float64, need Part) {
	at, term := math.Inf(1), a.limit.Term
	var have Part
	for i := range a.loans {
		l := &a.loans[i]
		have = have.add(l.share)
		if l.open {
			at = min(at, max(l.sent+againShare*term, now+moreShare*term))
		} else if !l.share.none() {
			at = min(at, l.sent+renewShare*term)
		}
	}
	if c.rules.Loans && have.less(c.missing(a, now, need)) {
		for i := range a.loans {
			if l := &a.loans[i]; !l.open {
				at = min(at, max(l.nextMore, now+moreShare*term))
			}
		}
	}
	if !need.none() || a.used > 0 || !a.lent(now).none() {
		at = min(at, now+renewShare*term)
	}
	if math.IsInf(at, 1) {
		if c.idle(a, now) && now >= a.seen+idleFor*term {
			c.drop(a)
			return
		}
		at = now + term
	}
	// Accounts are looked at together, so that their messages travel together.
	a.due = math.Ceil(max(at, now+1)/gridMs) * gridMs
	heap.Fix(&c.due, a.index)
}

// ask asks a lender, and says how much of what it lent is used from now on at most.
func (c *Core) ask(a *account, l *loan, want Part, now float64) {
	give := 0.0
	if want.less(l.share) {
		give = c.lower(a, l, want, now)
	}
	c.seq++
	l.seq, l.sent, l.asked, l.open = c.seq, now, want.max(l.share), true
	l.nextMore = now + moreShare*a.limit.Term
	c.mail[l.from] = append(c.mail[l.from], Message{Kind: Ask, Limit: a.limit.Name, Key: a.key, Boot: c.rules.Boot, Seq: l.seq, Have: l.share,
		Share: l.asked, Tokens: give})
}

// lower uses less of a loan from now on, as far as what is open lets it, and returns the tokens that have no room any more.
func (c *Core) lower(a *account, l *loan, to Part, now float64) (tokens float64) {
	to = to.min(l.share)
	if a.limit.Kind == Stock && a.used > 0 && c.ends(a, l) > max(now, a.lastEnd) { // else what is open does not rest on it
		free := c.valid(a, now, max(now, a.lastEnd))[flow] - int64(a.used/a.limit.Size*Whole)
		to[flow] = max(to[flow], l.share[flow]-max(0, free))
	}
	before := a.tokens
	l.share = to
	c.recount(a, now)
	return before - a.tokens
}

var whole = Part{Whole, Whole}

func (c *Core) receive(now float64, from string, m Message) {
	l := c.byName[m.Limit]
	if _, member := slices.BinarySearch(c.rules.Roster, from); !member || l == nil || len(m.Key) > keyMost || !c.rules.Loans ||
		m.Share.less(Part{}) || whole.less(m.Share) || m.Have.less(Part{}) || whole.less(m.Have) || !(m.Tokens >= 0) {
		c.Counts.Odd++
		return
	}
	switch a := c.accounts[id{l.number, m.Key}]; m.Kind {
	case Told:
		c.hear(l, from, m.Word, now)
	case Ask:
		if a == nil {
			a = c.account(l, m.Key)
		}
		if a != nil && !a.home.none() {
			c.settle(a, now)
			if m.Once {
				c.spare(a, now, from, m)
			} else {
				c.lend(a, now, from, m)
			}
		}
	case Loan:
		if a != nil && m.Boot == c.rules.Boot {
			c.settle(a, now)
			if m.Once {
				c.spared(a, now, m)
			} else {
				c.borrow(a, now, from, m)
			}
		}
	case Recall:
		if a != nil && m.Boot == c.rules.Boot {
			c.settle(a, now)
			for i := range a.loans {
				if l := &a.loans[i]; l.from == from && l.seq == m.Seq && m.Share.less(l.share) && now < c.ends(a, l) {
					c.Counts.Recalled++
					c.ask(a, l, m.Share.min(l.share), now)
					c.wake(a, now+againShare*a.limit.Term)
				}
			}
		}
	default:
		c.Counts.Odd++
	}
}

// lend answers an ask.
func (c *Core) lend(a *account, now float64, from string, m Message) {
	if now < c.quiet(a.limit) || c.failed {
		return // what was lent is not known, or what is lent would not last
	}
	a.debts = slices.DeleteFunc(a.debts, func(d debt) bool {
		return d.out(now).none() && now >= d.wantAt+c.kept(a.limit)
	})
	at := slices.IndexFunc(a.debts, func(d debt) bool { return !d.once && d.to == from && d.boot == m.Boot })
	if at < 0 {
		if len(a.debts) >= 2*len(c.rules.Roster) {
			return
		}
		at = len(a.debts)
		a.debts = append(a.debts, debt{to: from, boot: m.Boot})
	}
	d := &a.debts[at]
	if m.Seq <= d.seq {
		return // late, or twice
	}
	before := d.out(now)
	have, until := m.Have.min(before), max(d.hiUntil, d.loUntil)
	// What it uses no longer is free at once, with the tokens that it gives back.
	d.seq, d.want, d.wantAt = m.Seq, m.Share, now
	d.hi, d.hiUntil, d.lo, d.loUntil = Part{}, never, have, until
	c.recount(a, now)
	a.tokens = min(c.deep(a), a.tokens+min(m.Tokens, float64(before[depth]-have[depth])/Whole*a.limit.Burst))
	fair := c.fair(a, now, c.keep(a, c.need(a, now)))[at]
	grant := m.Share.min(fair).min(a.own(now).add(have)).max(Part{})
	if a.limit.Kind == Stock && grant[flow] > have[flow] {
		free := c.valid(a, now, max(now, a.lastEnd))[flow] - int64(a.used/a.limit.Size*Whole)
		grant[flow] = max(have[flow], min(grant[flow], have[flow]+free))
	}
	if grant.less(have) {
		d.hi, d.hiUntil = have, until // it may not hear of it
	}
	d.lo, d.loUntil = grant, now+c.kept(a.limit)
	tokens := a.tokens
	c.recount(a, now)
	c.Counts.Lent++
	c.raise(a, now)
	c.say(a, from, Message{Kind: Loan, Limit: m.Limit, Key: m.Key, Boot: m.Boot, Seq: m.Seq, Share: grant, Tokens: tokens - a.tokens})
	c.wake(a, now+moreShare*a.limit.Term)
}

// fair divides what the own demand leaves of the home share among those who want of it: the least first, equal parts to the rest.
func (c *Core) fair(a *account, now float64, need Part) []Part {
	out := make([]Part, len(a.debts))
	order := make([]int, 0, len(a.debts))
	for i := range a.debts {
		if now < a.debts[i].wantAt+c.kept(a.limit) {
			order = append(order, i)
		}
	}
	if len(order) > lendMost {
		// Where hundreds are short each would have a crumb of each other's, renewed for ever: 322 messages a member a second at 300, and 0.39 of the limit used.
		// Who holds something goes on, then who wants most.
		slices.SortFunc(order, func(x, y int) int {
			p, q := &a.debts[x], &a.debts[y]
			if holds := !p.out(now).none(); holds == q.out(now).none() {
				if holds {
					return -1
				}
				return 1
			}
			return cmp.Or(cmp.Compare(q.want[flow], p.want[flow]), cmp.Compare(p.to, q.to))
		})
		order = order[:lendMost]
	}
	for q := range need {
		left := max(0, a.home[q]-need[q])
		slices.SortFunc(order, func(x, y int) int {
			return cmp.Or(cmp.Compare(a.debts[x].want[q], a.debts[y].want[q]), cmp.Compare(a.debts[x].to, a.debts[y].to))
		})
		for k, i := range order {
			out[i][q] = min(a.debts[i].want[q], left/int64(len(order)-k))
			left -= out[i][q]
		}
	}
	return out
}

// recall calls back what the own demand, or others', is entitled to.
func (c *Core) recall(a *account, now float64, need Part) {
	if len(a.debts) == 0 {
		return
	}
	fair := c.fair(a, now, need)
	for q := range need {
		// Only where somebody is short of what is due to it.
		short := need[q] > a.own(now)[q]
		for i := range a.debts {
			short = short || a.debts[i].out(now)[q]*10 < min(fair[i][q], a.debts[i].want[q])*9
		}
		if !short {
			for i := range fair {
				fair[i][q] = Whole
			}
		}
	}
	for i := range a.debts {
		d := &a.debts[i]
		if d.once {
			continue
		}
		out := d.out(now)
		if keep := out.min(fair[i]); keep.less(out.sub(Part{out[0] / 20, out[1] / 20})) && now >= d.recalls+moreShare*a.limit.Term {
			d.recalls = now
			c.mail[d.to] = append(c.mail[d.to], Message{Kind: Recall, Limit: a.limit.Name, Key: a.key, Boot: d.boot, Seq: d.seq, Share: keep})
		}
	}
}

// borrow takes an answer.
func (c *Core) borrow(a *account, now float64, from string, m Message) {
	for i := range a.loans {
		l := &a.loans[i]
		if l.from != from {
			continue
		}
		if !l.open || l.seq != m.Seq {
			c.Counts.Late++
			return
		}
		l.open, l.silent = false, never
		end := l.sent + a.limit.Term
		if now >= end-leewayMs {
			c.Counts.Late++
			return
		}
		c.Counts.Borrowed++
		got := m.Share.min(l.asked)
		if l.fails = max(0, l.fails); m.Share.less(l.asked) {
			c.dry(a, l, now)
		} else {
			l.fails, l.nextMore = 0, now
		}
		if now >= c.ends(a, l) {
			l.share = Part{}
		}
		less := got.less(l.share)
		if low := got.min(l.share); less {
			// The lender counts what was used so far up to its old end, until it hears that it is not.
			if c.lower(a, l, low, now); l.share != low {
				got, end = l.share, l.end // what is open still rests on it
			}
		}
		l.share, l.end = got, end
		c.recount(a, now)
		a.tokens = min(c.deep(a), a.tokens+m.Tokens)
		if less {
			c.ask(a, l, l.share, now)
		}
		c.wake(a, now+moreShare*a.limit.Term)
		return
	}
}

// idle says whether nothing is known of an account that would be lost with it.
func (c *Core) idle(a *account, now float64) bool {
	c.settle(a, now)
	for i := range a.debts {
		if !a.debts[i].out(now).none() {
			return false
		}
	}
	for i := range a.loans {
		if !a.loans[i].share.none() && now < c.ends(a, &a.loans[i]) {
			return false
		}
	}
	if len(a.singles) > 0 && now < a.singles[len(a.singles)-1].until {
		return false
	}
	return a.used == 0 && now >= c.quiet(a.limit) && (a.limit.Kind == Stock || a.tokens >= c.deep(a)-1e-9)
}

func (c *Core) drop(a *account) {
	if c.disk && !c.failed && !a.mark.none() {
		a.mark = Part{}
		c.store(a.record())
	}
	heap.Remove(&c.due, a.index)
	delete(c.accounts, id{a.limit.number, a.key})
}

// forget makes room: accounts that nobody asks of and that owe nothing go.
func (c *Core) forget() {
	// Looking at all of them takes time: not for each scan of a new key.
	if c.now < c.forgetAt {
		return
	}
	c.forgetAt = c.now + forgetMs
	for _, a := range slices.Clone(c.due) {
		// Not one that this very scan has been counted in.
		if !slices.Contains(c.picked, a) && c.idle(a, c.now) && c.need(a, c.now).none() {
			c.drop(a)
		}
	}
}

// Seen lists what is seen of all accounts, in no order.
func (c *Core) Seen(now float64) (all []Seen) {
	c.begin(now)
	now = c.now
	for _, a := range c.due {
		c.settle(a, now)
		c.decay(a, now)
		s := Seen{Limit: a.limit.Name, Key: a.key, Size: a.limit.Size, Home: share(a.home[flow]), Lent: share(a.lent(now)[flow]), Share: share(a.share[flow]),
			Used: a.used, Demand: max(a.fast, a.slow), Over: c.over(a, now), Quiet: max(0, c.quiet(a.limit)-now)}
		if o := a.limit.order; o.Left > 0 && now < a.limit.until {
			s.Order, s.Left = o.By, a.limit.until-now
			for _, v := range a.limit.known {
				if v >= o.Version {
					s.Told++
				}
			}
		}
		if a.limit.Kind == Rate {
			c.counted(a, now)
			s.Used = a.taken
		} else {
			s.Demand = a.peak
		}
		for i := range a.loans {
			l := &a.loans[i]
			if !l.share.none() && now < c.ends(a, l) {
				s.Borrowed += share(l.share[flow])
				s.Age = max(s.Age, now-(l.end-a.limit.Term))
			}
			s.Cut = s.Cut || l.silent > never && now-l.silent > a.limit.Term
		}
		all = append(all, s)
	}
	return all
}

// Busiest are the so many of each limit that most is asked of, by limit. It needs no core.
func Busiest(all []Seen, most int) []Seen {
	slices.SortFunc(all, func(a, b Seen) int {
		return cmp.Or(cmp.Compare(a.Limit, b.Limit), cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Key, b.Key))
	})
	n := map[string]int{}
	return slices.DeleteFunc(all, func(s Seen) bool {
		n[s.Limit]++
		return n[s.Limit] > most
	})
}

func share(n int64) float64 { return float64(n) / Whole }

// over is how much of a limit the fleet could use at most beyond it, as far as this member knows.
func (c *Core) over(a *account, now float64) float64 {
	if !a.limit.Available {
		return 0
	}
	gone := 0
	for _, name := range c.rules.Roster {
		if name != c.rules.Self && c.living != nil && !c.living[name] {
			gone++
		}
	}
	most := float64(gone) * a.limit.Alone // each of them may be a side of its own
	for i := range a.loans {
		if l := &a.loans[i]; !l.share.none() && now >= l.end-leewayMs && now < c.ends(a, l) {
			most += share(max(l.share[flow], l.share[depth]))
		}
	}
	return most
}

// Accounts is how many are kept.
func (c *Core) Accounts() int { return len(c.accounts) }

// accounts is a heap by when they are due.
type accounts []*account

func (h accounts) Len() int { return len(h) }
func (h accounts) Less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
	}
	if h[i].limit.number != h[j].limit.number {
		return h[i].limit.number < h[j].limit.number
	}
	return h[i].key < h[j].key
}
func (h accounts) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].index, h[j].index = i, j }
func (h *accounts) Push(x any) {
	a := x.(*account)
	a.index = len(*h)
	*h = append(*h, a)
}
func (h *accounts) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return a
}
