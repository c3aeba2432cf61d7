// Package verdicts decides what the brokers together hold of each store: what one learns all know, with its evidence and its age, and never older or wider
// than stated. It has no I/O, no clock and no goroutine: outcomes, members' words and the time go in, verdicts and messages come out.
//
// Each broker tells what it has seen itself, as its observer's word; nobody tells conclusions on. So words merge alike in any order (the newest of each
// observer counts), every broker draws the same conclusion from the same words, and one that is wrong is one voice. docs/verdicts.md has the sources.
package verdicts

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Kind is what a store does, as it is seen.
type Kind uint8

// The kinds. Full and Slow hold against its load, Fails and Silent against its use.
const (
	Well Kind = iota + 1
	Full
	Slow
	Fails
	Silent
	Held // of a tenant alone: it is held back
)

func (k Kind) String() string {
	if k >= Well && k <= Held {
		return [...]string{"well", "full", "slow", "fails", "silent", "held back"}[k-Well]
	}
	return "unknown"
}

// bad says that others should keep away.
func (k Kind) bad() bool { return k == Fails || k == Silent }

// Word is what one observer says of one store: what it has seen of it in the last Window.
type Word struct {
	Store    string  `json:"store"`
	Observer string  `json:"observer"`
	Zone     string  `json:"zone"` // the observer's
	Run      uint64  `json:"run"`  // the observer's process: later ones have higher numbers
	Seq      uint64  `json:"seq"`  // of its words
	Kind     Kind    `json:"kind"` // of the newest outcome
	Good     int     `json:"good"` // outcomes
	Bad      int     `json:"bad"`
	Row      int     `json:"row"`             // of the bad ones so many in a row, the newest
	Born     float64 `json:"born"`            // of the store's process, as listed to the observer, in Unix ms; 0: not stated
	Age      float64 `json:"age"`             // ms since the newest outcome
	Times    int     `json:"times,omitempty"` // scans of a tenant that were turned away since the word before
	Why      string  `json:"why,omitempty"`   // by what limit
}

// later says that a is a newer word than b of the same observer and store.
func (a Word) later(b Word) bool { return a.Run > b.Run || a.Run == b.Run && a.Seq > b.Seq }

// Rules are the same at all members but for Self, Zone and Run.
type Rules struct {
	Self, Zone string
	Run        uint64
	Roster     []string // all configured members; none: those that live are all
	Fresh      float64  // A, ms: a word that is older weighs on nothing
	Quorum     int      // independent observers that a verdict needs
	Widest     float64  // W: at most this share of the holders of any shard rest by others' word, and never the last one
	Most       int      // words that are kept
}

// Standard are the rules where nothing else is set.
func Standard() Rules { return Rules{Fresh: 10000, Quorum: 2, Widest: 1.0 / 3, Most: 20000} }

// Input is a Saw, HeldBack, Stores, View, Received or Set.
type Input any

// Saw is an outcome at this broker.
type Saw struct {
	Store string
	Kind  Kind
}

// Store is one that is on the list.
type Store struct {
	Name  string
	Set   int // stores of one set hold the same shards
	Born  float64
	Ready bool
}

// Stores is the whole list.
type Stores struct{ All []Store }

// Member is one that lives.
type Member struct{ Name, Zone string }

// View names the members that live, this one not among them.
type View struct{ Living []Member }

// Message goes from one member to another.
type Message struct {
	Zone   string // the sender's
	Run    uint64 // of its process
	Words  []Word
	Orders []Order
	Known  []Known // orders in force that the sender knows
	Whole  bool    // answer with all you know
}

// Received is a message that came in.
type Received struct {
	From    string
	Message Message
}

// Output is a Send or a Verdict.
type Output any

// Send is a message for a member.
type Send struct {
	To      string
	Message Message
}

// Verdict is what this broker goes by from now on for a store, until another one; while one is bad it comes again each Repeat.
type Verdict struct {
	Store string
	Kind  Kind    // Well: nothing is held against it any more
	Age   float64 // ms since the newest outcome that it rests on
	Drain bool    // an operator has it drained: nothing new may go there
	Was   Kind    // the verdict before
}

// Counts are kept for the operators.
type Counts struct {
	Said    int `json:"said"`    // words of this broker
	Heard   int `json:"heard"`   // others' words that were news
	Old     int `json:"old"`     // that were not, or came too old
	Odd     int `json:"odd"`     // that are impossible
	Dropped int `json:"dropped"` // for which there was no room
	Used    int `json:"used"`    // verdicts that this broker came to
	Few     int `json:"few"`     // times that observers were too few, or of one zone only
	Denied  int `json:"denied"`  // times that others saw the store well
	Wide    int `json:"wide"`    // times that too many holders would have rested
	Doubted int `json:"doubted"` // times that an observer was not counted since it condemns too many
	Orders  int `json:"orders"`
}

const (
	// Window is how far back an observer's word looks, in ms.
	Window = 8000.0
	// Repeat is how often a bad verdict is told on while it holds, in ms: the module's rest is as long.
	Repeat     = 900.0
	outcomes   = 8       // of a store that are kept
	tickMs     = 100.0   // words that wait are told on each so often
	wholeMs    = 4000.0  // everything is exchanged with one member each so long
	fanout     = 3       // members that get waiting words
	retell     = 3       // times the decimal logarithm of the members: how often a word is told
	againMs    = 1000.0  // a word that only says the same once more is told so often
	condemning = 1.0 / 3 // of the stores: who holds more of them for bad than this is not counted
	slowRow    = 2       // an observer's outcomes in a row have to be slow before it says so: single ones are late by chance all the time
	rowsNeeded = 3       // bad outcomes in a row, of all observers together, that a verdict needs
	denying    = 1.0 / 3 // as many who see it well, against those who see it bad, keep a verdict from standing
	stallMs    = 100.0   // a member whose turn comes later than this has stood still,
	backlogMs  = 1000.0  // and takes so long at most to read what waited
	wordMost   = 8       // words in one message
	keepFor    = 3.0     // times Fresh that a word is remembered, so that older ones are known for what they are
)

// own is what this broker has seen of a store.
type own struct {
	at   [outcomes]float64
	kind [outcomes]Kind
	n    int // so many of them, the newest first
	seq  uint64
	told float64
	last Word // as it was told
}

// held is a word with the moment of its newest outcome, by this member's clock.
type held struct {
	Word
	at   float64
	left int // times that it is still told on
}

// state is what this broker goes by for a store.
type state struct {
	Verdict
	at   float64 // of the newest outcome under it
	next float64 // when it is told again
	why  string
}

// Core is one member's part. Only one goroutine may call it.
type Core struct {
	Counts Counts

	r       Rules
	chance  func() float64
	now     float64
	begun   bool
	stores  map[string]Store
	seen    map[string]*own
	words   map[string]map[string]*held // by store, or tenant, and observer
	tenants map[string]*tenant
	n       int
	living  []Member
	zones   map[string]string
	runs    map[string]uint64 // of the members' processes, as last heard
	states  map[string]*state
	dirty   map[string]bool // stores to be judged anew
	guilty  map[string]int  // how many stores each observer condemns; nil: to be counted anew
	orders  orders
	lasting []string // stores of which an order has been taken up and is to last
	tickAt  float64
	wholeAt float64
	lookAt  float64
	out     []Output
	stood   float64 // for so long this member stood still lately,
	stoodAt float64 // up to when what comes in may have waited for it
}

// New makes a member that knows nothing. Chance gives numbers from 0 to 1.
func New(r Rules, chance func() float64) *Core {
	std := Standard()
	r.Fresh, r.Quorum, r.Widest, r.Most = cmp.Or(r.Fresh, std.Fresh), cmp.Or(r.Quorum, std.Quorum), cmp.Or(r.Widest, std.Widest), cmp.Or(r.Most, std.Most)
	return &Core{r: r, chance: chance, stores: map[string]Store{}, seen: map[string]*own{}, words: map[string]map[string]*held{}, tenants: map[string]*tenant{}, zones: map[string]string{}, runs: map[string]uint64{},
		states: map[string]*state{}, dirty: map[string]bool{}, orders: newOrders()}
}

// Due is when Step is wanted next though nothing comes in.
func (c *Core) Due() float64 {
	if !c.begun {
		return math.Inf(-1)
	}
	return min(c.tickAt, c.wholeAt, c.lookAt, c.orders.due(c.now))
}

// Step takes what came in by now and does what is due.
func (c *Core) Step(now float64, in []Input) []Output {
	c.out = nil
	c.stall(now)
	c.now = max(c.now, now)
	if !c.begun {
		c.begun, c.tickAt, c.lookAt, c.wholeAt = true, math.Inf(1), c.now+Repeat, c.now+wholeMs*c.chance()
	}
	for _, x := range in {
		switch v := x.(type) {
		case Saw:
			c.saw(v)
		case HeldBack:
			c.heldBack(v)
		case Stores:
			c.list(v.All)
		case View:
			c.view(v.Living)
		case Received:
			c.receive(v.From, v.Message)
		case Set:
			c.set(v)
		}
	}
	c.expire()
	if c.now >= c.lookAt {
		// Ages alone change verdicts too.
		c.lookAt = c.now + Repeat/3
		c.forget()
		c.forgetTenants()
		for store := range c.words {
			c.dirty[store] = true
		}
		for store := range c.states {
			c.dirty[store] = true
		}
	}
	c.judge()
	if c.now >= c.tickAt {
		c.tickAt = math.Inf(1)
		c.tell()
	}
	if c.now >= c.wholeAt {
		c.wholeAt = c.now + wholeMs
		if len(c.living) > 0 {
			m := c.living[min(int(c.chance()*float64(len(c.living))), len(c.living)-1)]
			c.whole(m.Name, true)
		}
	}
	return c.out
}

// stall notices that this member stood still. What comes in just after that waited for it, in its mailbox or its socket, and is as much older than it says: a member that
// woke after two seconds once held what had come meanwhile for news.
func (c *Core) stall(now float64) {
	if late := now - max(c.Due(), c.now); c.begun && late > stallMs {
		c.stood, c.stoodAt = late, now+backlogMs
	}
}

// waited is by how much what comes in now may be older than it says.
func (c *Core) waited() float64 {
	if c.now < c.stoodAt {
		return c.stood
	}
	return 0
}

// saw counts an outcome, and says so where it is news: a store that was well fails, one that failed is well, or there is more evidence.
func (c *Core) saw(v Saw) {
	if v.Kind < Well || v.Kind > Silent {
		return
	}
	o := c.seen[v.Store]
	if o == nil {
		if _, listed := c.stores[v.Store]; !listed {
			return
		}
		o = &own{told: math.Inf(-1)}
		c.seen[v.Store] = o
	}
	copy(o.at[1:], o.at[:])
	copy(o.kind[1:], o.kind[:])
	o.at[0], o.kind[0], o.n = c.now, v.Kind, min(o.n+1, outcomes)
	w := c.word(v.Store, o)
	news := w.Kind != o.last.Kind && (w.Kind != Well || o.last.Kind > Well) || w.Kind.bad() && w.Bad != o.last.Bad && w.Bad <= 3
	// What is well and stays so is told where others hold something against it: they have to hear that this one does not.
	if s := c.states[v.Store]; !news && c.now-o.told >= againMs {
		news = w.Kind > Well || w.Kind == Well && (s != nil && s.Kind > Well || c.accused(v.Store))
	}
	if !news {
		return
	}
	o.seq++
	o.told, o.last = c.now, w
	w.Seq = o.seq
	c.Counts.Said++
	c.keep(w, c.now)
}

// accused says that somebody's fresh word holds something against a store.
func (c *Core) accused(store string) bool {
	for _, h := range c.words[store] {
		if h.Kind > Well && h.Observer != c.r.Self && c.now-h.at <= c.r.Fresh {
			return true
		}
	}
	return false
}

// word is what this broker has seen of a store within the window.
func (c *Core) word(store string, o *own) Word {
	w := Word{Store: store, Observer: c.r.Self, Zone: c.r.Zone, Run: c.r.Run, Kind: o.kind[0], Born: c.stores[store].Born}
	for i := range o.n {
		if c.now-o.at[i] > Window {
			break
		}
		if o.kind[i].bad() {
			if w.Bad++; w.Good == 0 {
				w.Row++
			}
		} else {
			w.Good++
		}
	}
	// By chance a broker that sees much of a store is late now and then, and each word that holds something against it has all others answer.
	if w.Kind == Slow && (o.n < slowRow || c.now-o.at[slowRow-1] > Window || slices.ContainsFunc(o.kind[:slowRow], func(k Kind) bool { return k == Well })) {
		w.Kind = Well
	}
	return w
}

// keep takes a word up if it is newer than what is known of its observer. At is when its newest outcome was.
func (c *Core) keep(w Word, at float64) bool {
	of := c.words[w.Store]
	if h := of[w.Observer]; h != nil {
		if !w.later(h.Word) {
			return false
		}
		h.Word, h.at, h.left = w, at, c.times()
	} else {
		if c.n >= c.r.Most || w.Kind == Held && c.n >= c.r.Most/2 {
			c.Counts.Dropped++
			return false
		}
		if of == nil {
			of = map[string]*held{}
			c.words[w.Store] = of
		}
		of[w.Observer] = &held{w, at, c.times()}
		c.n++
	}
	c.dirty[w.Store] = true
	c.tickAt = min(c.tickAt, c.now+tickMs*c.chance())
	return true
}

func (c *Core) times() int { return retell * int(math.Ceil(math.Log10(float64(len(c.living)+2)))) }

// list takes the list up. What was said of a store that is gone, or of an earlier process under its name, counts no more.
func (c *Core) list(all []Store) {
	c.stores = map[string]Store{}
	for _, s := range all {
		c.stores[s.Name] = s
		c.dirty[s.Name] = true
		if o := c.seen[s.Name]; o != nil && o.last.Born < s.Born {
			o.n = 0 // what it has seen was of the old one
		}
	}
	maps.DeleteFunc(c.seen, func(name string, _ *own) bool { _, listed := c.stores[name]; return !listed })
	for name := range c.states {
		c.dirty[name] = true
	}
}

func (c *Core) view(living []Member) {
	alone := len(c.living) == 0
	c.living = slices.Clone(living)
	if alone && len(living) > 0 {
		c.wholeAt = c.now // it has just started, or was cut off: it hears at once what there is
	}
	slices.SortFunc(c.living, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	for _, m := range c.living {
		if m.Zone != "" {
			c.zones[m.Name] = m.Zone
		}
	}
	maps.DeleteFunc(c.runs, func(name string, _ uint64) bool {
		return !slices.ContainsFunc(c.living, func(m Member) bool { return m.Name == name })
	})
	maps.DeleteFunc(c.zones, func(name string, _ string) bool {
		return !slices.ContainsFunc(c.living, func(m Member) bool { return m.Name == name })
	})
}

// receive takes another member's message.
func (c *Core) receive(from string, m Message) {
	if m.Zone != "" {
		c.zones[from] = m.Zone
	}
	if m.Run > c.runs[from] {
		c.anew(from, m.Run)
	}
	for _, w := range m.Words {
		switch {
		case !w.sane() || w.Observer == c.r.Self && w.Run > c.r.Run:
			c.Counts.Odd++
		case w.Observer == c.r.Self: // its own, or an earlier process's: it knows better
		case w.Age > keepFor*c.r.Fresh:
			c.Counts.Old++
		case c.keep(w, c.now-w.Age-c.waited()):
			c.Counts.Heard++
		default:
			c.Counts.Old++
		}
	}
	c.hear(from, m.Orders, m.Known)
	if m.Whole {
		c.whole(from, false)
	}
}

const nameMost = 120

// tell sends what waits to some members, and to who is to hear of an order and has not said so.
func (c *Core) tell() {
	var wait []*held
	for _, store := range slices.Sorted(maps.Keys(c.words)) {
		for _, by := range slices.Sorted(maps.Keys(c.words[store])) {
			if h := c.words[store][by]; h.left > 0 {
				wait = append(wait, h)
			}
		}
	}
	// Words on stores first, since they weigh; the newest first; what was told least before what was told often.
	slices.SortStableFunc(wait, func(a, b *held) int {
		if (a.Kind == Held) != (b.Kind == Held) {
			return cmp.Compare(a.Kind, b.Kind)
		}
		return cmp.Or(cmp.Compare(b.left, a.left), cmp.Compare(b.at, a.at))
	})
	if len(wait) > 4*wordMost {
		wait = wait[:4*wordMost]
	}
	if len(wait) > 0 {
		c.tickAt = c.now + tickMs
	}
	for _, m := range c.pick(fanout) {
		for some := range slices.Chunk(wait, wordMost) {
			c.send(m.Name, Message{Words: c.spoken(some)})
		}
	}
	for _, h := range wait {
		h.left--
	}
	c.remind()
}

func (c *Core) spoken(some []*held) (words []Word) {
	for _, h := range some {
		w := h.Word
		w.Age = max(0, c.now-h.at)
		words = append(words, w)
	}
	return words
}

// whole sends all that is fresh: after a split both sides come to agree by it.
func (c *Core) whole(to string, ask bool) {
	var fresh []*held
	for _, store := range slices.Sorted(maps.Keys(c.words)) {
		for _, by := range slices.Sorted(maps.Keys(c.words[store])) {
			if h := c.words[store][by]; c.now-h.at <= c.r.Fresh {
				fresh = append(fresh, h)
			}
		}
	}
	m := Message{Orders: c.orders.told(c.now), Known: c.orders.knows(c.now), Whole: ask}
	if len(fresh) == 0 {
		c.send(to, m)
	}
	for some := range slices.Chunk(fresh, wordMost) {
		m.Words = c.spoken(some)
		c.send(to, m)
		m = Message{}
	}
}

func (c *Core) send(to string, m Message) {
	m.Zone, m.Run = c.r.Zone, c.r.Run
	c.out = append(c.out, Send{to, m})
}

// pick draws members.
func (c *Core) pick(n int) []Member {
	all := slices.Clone(c.living)
	for i := range min(n, len(all)) {
		k := i + min(int(c.chance()*float64(len(all)-i)), len(all)-i-1)
		all[i], all[k] = all[k], all[i]
	}
	return all[:min(n, len(all))]
}

// forget lets go of words that weigh on nothing and that no older ones come after any more.
func (c *Core) forget() {
	for store, of := range c.words {
		for by, h := range of {
			if c.now-h.at > keepFor*c.r.Fresh {
				delete(of, by)
				c.n--
			}
		}
		if len(of) == 0 {
			delete(c.words, store)
		}
	}
}

// Held is how many words are kept.
func (c *Core) Held() int { return c.n }
