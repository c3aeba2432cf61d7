// Package verdicts is the brokers' shared failure detector for stores. Each broker reports its observations with their evidence and age, and all derive the
// same verdict from the same reports, within stated bounds on age and on how many stores are excluded. It does no I/O, reads no clock and starts no
// goroutine: outcomes, other members' reports and the time go in, verdicts and messages come out.
//
// A broker reports only what it has observed itself; conclusions are never passed on. So reports merge the same way in any order (the newest of each
// observer counts), and a broker that is wrong is one observer among many. docs/verdicts.md lists the sources.
package verdicts

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Kind is the observed condition of a store.
type Kind uint8

// Full and Slow mean that a store should get less load, Fails and Silent that it should not be used.
const (
	Well Kind = iota + 1
	Full
	Slow
	Fails
	Silent
	Throttled // only for tenants: the tenant is throttled
)

func (k Kind) String() string {
	if k >= Well && k <= Throttled {
		return [...]string{"well", "full", "slow", "fails", "silent", "held back"}[k-Well]
	}
	return "unknown"
}

// bad reports whether other brokers should not use the store.
func (k Kind) bad() bool { return k == Fails || k == Silent }

// Report is one observer's report on one store, or on a tenant: its outcomes within the last Window.
type Report struct {
	Store    string  `json:"store"`
	Observer string  `json:"observer"`
	Zone     string  `json:"zone"` // the observer's zone
	Run      uint64  `json:"run"`  // number of the observer's process; it grows with each restart
	Seq      uint64  `json:"seq"`  // sequence number of the observer's reports
	Kind     Kind    `json:"kind"` // kind of the newest outcome
	Good     int     `json:"good"` // number of good outcomes
	Bad      int     `json:"bad"`
	Row      int     `json:"row"`             // number of newest outcomes in a row that are bad
	Born     float64 `json:"born"`            // start of the store's process as listed to the observer, in Unix ms; 0: unknown
	Age      float64 `json:"age"`             // ms since the newest outcome
	Times    int     `json:"times,omitempty"` // scans of a tenant rejected since the previous report
	Why      string  `json:"why,omitempty"`   // limit that rejected them
}

// newerThan reports whether a is newer than b, both of the same observer and store.
func (a Report) newerThan(b Report) bool { return a.Run > b.Run || a.Run == b.Run && a.Seq > b.Seq }

// Rules configures a member. All members have the same rules except for Self, Zone and Run.
type Rules struct {
	Self, Zone string
	Run        uint64
	Roster     []string // all configured members; empty: the members that are alive
	Fresh      float64  // A, ms: older reports are ignored
	Quorum     int      // independent observers needed for a verdict
	Widest     float64  // W: most of the holders of any shard that may be excluded by reports, as a share; never the last one
	Most       int      // most reports kept
}

// DefaultRules returns the default rules.
func DefaultRules() Rules { return Rules{Fresh: 10000, Quorum: 2, Widest: 1.0 / 3, Most: 20000} }

// Input is an Outcome, TenantThrottled, Stores, View, Received or Set.
type Input any

// Outcome is an outcome observed by this broker.
type Outcome struct {
	Store string
	Kind  Kind
}

// Store is an entry of the list of stores.
type Store struct {
	Name  string
	Set   int // stores of one set hold the same shards
	Born  float64
	Ready bool
}

// Stores is the full list of stores.
type Stores struct{ All []Store }

// Member is another member that is alive.
type Member struct{ Name, Zone string }

// View lists the members that are alive, without this one.
type View struct{ Living []Member }

// Message is sent from one member to another.
type Message struct {
	Zone   string // the sender's zone
	Run    uint64 // number of the sender's process
	Words  []Report
	Orders []Order
	Known  []Known // versions of the orders that the sender knows
	Whole  bool    // request for the receiver's full state
}

// Received is a message received from a member.
type Received struct {
	From    string
	Message Message
}

// Output is a Send or a Verdict.
type Output any

// Send is a message to send to a member.
type Send struct {
	To      string
	Message Message
}

// Verdict is the condition that this broker assumes for a store until the next one. A verdict other than Well is repeated each Repeat.
type Verdict struct {
	Store string
	Kind  Kind    // Well: the store is considered healthy again
	Age   float64 // ms since the newest outcome that supports it
	Drain bool    // an operator drains the store: it gets no new work
	Was   Kind    // the previous kind
}

// Counts are counters for operators.
type Counts struct {
	Said    int `json:"said"`    // reports of this broker
	Heard   int `json:"heard"`   // new reports of others
	Old     int `json:"old"`     // reports of others that were not new or too old
	Odd     int `json:"odd"`     // invalid reports and orders
	Dropped int `json:"dropped"` // reports dropped for lack of capacity
	Used    int `json:"used"`    // verdicts other than Well that this broker reached
	Few     int `json:"few"`     // evaluations with too few observers, or of one zone only
	Denied  int `json:"denied"`  // evaluations overruled by observers that saw the store well
	Wide    int `json:"wide"`    // evaluations that would have excluded too many holders
	Doubted int `json:"doubted"` // reports ignored because the observer reports too many stores as bad
	Orders  int `json:"orders"`
}

const (
	// Window is the period that an observer's report covers, in ms.
	Window = 8000.0
	// Repeat is the interval at which a verdict other than Well is repeated, in ms: the module excludes a store for that long.
	Repeat               = 900.0
	maxOutcomes          = 8       // outcomes kept for each store
	sendIntervalMs       = 100.0   // interval at which pending reports are sent
	exchangeIntervalMs   = 4000.0  // interval of the full exchange with one member
	fanout               = 3       // members that get the pending reports
	sendsPerLog          = 3       // a report is sent this many times the decimal logarithm of the number of members
	repeatReportMs       = 1000.0  // least time between two reports without a change
	maxBadShare          = 1.0 / 3 // share of the stores; an observer that reports more of them as bad is ignored
	slowInRow            = 2       // slow outcomes in a row that an observer needs to report Slow: single slow ones occur by chance all the time
	badInRowNeeded       = 3       // bad outcomes in a row, summed over all observers, needed for a verdict
	maxWellShare         = 1.0 / 3 // ratio of observers that see the store well to those that see it bad, above which there is no verdict
	pauseThresholdMs     = 100.0   // a member whose step is later than this was paused
	pauseEffectMs        = 1000.0  // longest time that a member needs after a pause to read its queued input
	maxReportsPerMessage = 8       // reports in one message
	retention            = 3.0     // multiple of Fresh for which a report is kept, so that older ones are recognized as old
)

// localOutcomes holds the outcomes that this broker has observed of a store.
type localOutcomes struct {
	times      [maxOutcomes]float64
	kinds      [maxOutcomes]Kind
	count      int // number of outcomes, newest first
	seq        uint64
	reportedAt float64
	lastReport Report // the last report sent
}

// storedReport is a report with the time of its newest outcome by this member's clock.
type storedReport struct {
	Report
	outcomeAt float64
	sendsLeft int // remaining times to send it
}

// currentVerdict is the verdict in force for a store.
type currentVerdict struct {
	Verdict
	outcomeAt float64 // time of the newest outcome that supports it
	repeatAt  float64 // when it is repeated
	reason    string
}

// Core is the state machine of one member. It is not safe for concurrent use.
type Core struct {
	Counts Counts

	rules            Rules
	random           func() float64
	now              float64
	started          bool
	stores           map[string]Store
	local            map[string]*localOutcomes
	reports          map[string]map[string]*storedReport // by store or tenant, then by observer
	tenants          map[string]*tenantState
	reportCount      int
	alive            []Member
	zones            map[string]string
	runs             map[string]uint64 // process number of each member, as last received
	current          map[string]*currentVerdict
	dirty            map[string]bool // stores to re-evaluate
	badCounts        map[string]int  // number of stores that each observer reports as bad; nil: to be recomputed
	orders           orderTable
	unstoredOrders   []string // stores with an order that is not stored yet
	nextSend         float64
	nextExchange     float64
	nextReview       float64
	out              []Output
	pauseLength      float64 // length of this member's last pause
	pauseEffectUntil float64 // incoming messages before this time may have been queued during the pause
}

// New creates the state machine of a member without any reports. The function random returns numbers in [0, 1).
func New(rules Rules, random func() float64) *Core {
	std := DefaultRules()
	rules.Fresh, rules.Quorum, rules.Widest, rules.Most = cmp.Or(rules.Fresh, std.Fresh), cmp.Or(rules.Quorum, std.Quorum), cmp.Or(rules.Widest, std.Widest), cmp.Or(rules.Most, std.Most)
	return &Core{rules: rules, random: random, stores: map[string]Store{}, local: map[string]*localOutcomes{}, reports: map[string]map[string]*storedReport{}, tenants: map[string]*tenantState{}, zones: map[string]string{}, runs: map[string]uint64{},
		current: map[string]*currentVerdict{}, dirty: map[string]bool{}, orders: newOrders()}
}

// Due returns when Step has to be called next if there is no input before.
func (c *Core) Due() float64 {
	if !c.started {
		return math.Inf(-1)
	}
	return min(c.nextSend, c.nextExchange, c.nextReview, c.orders.nextDue(c.now))
}

// Step applies the inputs received by now, runs what is due and returns the outputs.
func (c *Core) Step(now float64, in []Input) []Output {
	c.out = nil
	c.detectPause(now)
	c.now = max(c.now, now)
	if !c.started {
		c.started, c.nextSend, c.nextReview, c.nextExchange = true, math.Inf(1), c.now+Repeat, c.now+exchangeIntervalMs*c.random()
	}
	for _, x := range in {
		switch v := x.(type) {
		case Outcome:
			c.recordOutcome(v)
		case TenantThrottled:
			c.recordThrottled(v)
		case Stores:
			c.setStores(v.All)
		case View:
			c.setAlive(v.Living)
		case Received:
			c.receive(v.From, v.Message)
		case Set:
			c.setOrder(v)
		}
	}
	c.expireOrders()
	if c.now >= c.nextReview {
		// Verdicts also change when reports age.
		c.nextReview = c.now + Repeat/3
		c.removeOldReports()
		c.removeOldTenants()
		for store := range c.reports {
			c.dirty[store] = true
		}
		for store := range c.current {
			c.dirty[store] = true
		}
	}
	c.updateVerdicts()
	if c.now >= c.nextSend {
		c.nextSend = math.Inf(1)
		c.sendPending()
	}
	if c.now >= c.nextExchange {
		c.nextExchange = c.now + exchangeIntervalMs
		if len(c.alive) > 0 {
			m := c.alive[min(int(c.random()*float64(len(c.alive))), len(c.alive)-1)]
			c.sendAll(m.Name, true)
		}
	}
	return c.out
}

// detectPause notices that this member was paused. Messages that arrive just after a pause were queued in the mailbox or the socket, and are older than they state by up to
// its length: a member that resumed after two seconds took the messages of the meantime for fresh ones.
func (c *Core) detectPause(now float64) {
	if late := now - max(c.Due(), c.now); c.started && late > pauseThresholdMs {
		c.pauseLength, c.pauseEffectUntil = late, now+pauseEffectMs
	}
}

// extraAge returns by how much incoming messages may be older than they state.
func (c *Core) extraAge() float64 {
	if c.now < c.pauseEffectUntil {
		return c.pauseLength
	}
	return 0
}

// recordOutcome records an outcome and reports it if it changes something: a healthy store fails, a failed one is well, or there is more evidence.
func (c *Core) recordOutcome(v Outcome) {
	if v.Kind < Well || v.Kind > Silent {
		return
	}
	o := c.local[v.Store]
	if o == nil {
		if _, listed := c.stores[v.Store]; !listed {
			return
		}
		o = &localOutcomes{reportedAt: math.Inf(-1)}
		c.local[v.Store] = o
	}
	copy(o.times[1:], o.times[:])
	copy(o.kinds[1:], o.kinds[:])
	o.times[0], o.kinds[0], o.count = c.now, v.Kind, min(o.count+1, maxOutcomes)
	w := c.localReport(v.Store, o)
	changed := w.Kind != o.lastReport.Kind && (w.Kind != Well || o.lastReport.Kind > Well) || w.Kind.bad() && w.Bad != o.lastReport.Bad && w.Bad <= 3
	// A store that stays well is reported if others report it as bad or slow: they need the contrary evidence.
	if s := c.current[v.Store]; !changed && c.now-o.reportedAt >= repeatReportMs {
		changed = w.Kind > Well || w.Kind == Well && (s != nil && s.Kind > Well || c.reportedUnhealthyByOthers(v.Store))
	}
	if !changed {
		return
	}
	o.seq++
	o.reportedAt, o.lastReport = c.now, w
	w.Seq = o.seq
	c.Counts.Said++
	c.storeReport(w, c.now)
}

// reportedUnhealthyByOthers reports whether another observer's fresh report on a store is not Well.
func (c *Core) reportedUnhealthyByOthers(store string) bool {
	for _, h := range c.reports[store] {
		if h.Kind > Well && h.Observer != c.rules.Self && c.now-h.outcomeAt <= c.rules.Fresh {
			return true
		}
	}
	return false
}

// localReport builds this broker's report on a store from the outcomes within the window.
func (c *Core) localReport(store string, o *localOutcomes) Report {
	w := Report{Store: store, Observer: c.rules.Self, Zone: c.rules.Zone, Run: c.rules.Run, Kind: o.kinds[0], Born: c.stores[store].Born}
	for i := range o.count {
		if c.now-o.times[i] > Window {
			break
		}
		if o.kinds[i].bad() {
			if w.Bad++; w.Good == 0 {
				w.Row++
			}
		} else {
			w.Good++
		}
	}
	// A broker with much traffic sees single slow outcomes by chance, and each report that is not Well makes all others answer.
	if w.Kind == Slow && (o.count < slowInRow || c.now-o.times[slowInRow-1] > Window || slices.ContainsFunc(o.kinds[:slowInRow], func(k Kind) bool { return k == Well })) {
		w.Kind = Well
	}
	return w
}

// storeReport stores a report if it is newer than the stored one of its observer. The time of its newest outcome is at.
func (c *Core) storeReport(w Report, at float64) bool {
	of := c.reports[w.Store]
	if h := of[w.Observer]; h != nil {
		if !w.newerThan(h.Report) {
			return false
		}
		h.Report, h.outcomeAt, h.sendsLeft = w, at, c.initialSends()
	} else {
		if c.reportCount >= c.rules.Most || w.Kind == Throttled && c.reportCount >= c.rules.Most/2 {
			c.Counts.Dropped++
			return false
		}
		if of == nil {
			of = map[string]*storedReport{}
			c.reports[w.Store] = of
		}
		of[w.Observer] = &storedReport{w, at, c.initialSends()}
		c.reportCount++
	}
	c.dirty[w.Store] = true
	c.nextSend = min(c.nextSend, c.now+sendIntervalMs*c.random())
	return true
}

func (c *Core) initialSends() int {
	return sendsPerLog * int(math.Ceil(math.Log10(float64(len(c.alive)+2))))
}

// setStores replaces the list of stores. Reports on unlisted stores, or on earlier processes of a store, no longer count.
func (c *Core) setStores(all []Store) {
	c.stores = map[string]Store{}
	for _, s := range all {
		c.stores[s.Name] = s
		c.dirty[s.Name] = true
		if o := c.local[s.Name]; o != nil && o.lastReport.Born < s.Born {
			o.count = 0 // the outcomes are those of the earlier process
		}
	}
	maps.DeleteFunc(c.local, func(name string, _ *localOutcomes) bool { _, listed := c.stores[name]; return !listed })
	for name := range c.current {
		c.dirty[name] = true
	}
}

func (c *Core) setAlive(living []Member) {
	alone := len(c.alive) == 0
	c.alive = slices.Clone(living)
	if alone && len(living) > 0 {
		c.nextExchange = c.now // this member has just started or was partitioned: exchange the full state at once
	}
	slices.SortFunc(c.alive, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	for _, m := range c.alive {
		if m.Zone != "" {
			c.zones[m.Name] = m.Zone
		}
	}
	maps.DeleteFunc(c.runs, func(name string, _ uint64) bool {
		return !slices.ContainsFunc(c.alive, func(m Member) bool { return m.Name == name })
	})
	maps.DeleteFunc(c.zones, func(name string, _ string) bool {
		return !slices.ContainsFunc(c.alive, func(m Member) bool { return m.Name == name })
	})
}

// receive applies another member's message.
func (c *Core) receive(from string, m Message) {
	if m.Zone != "" {
		c.zones[from] = m.Zone
	}
	if m.Run > c.runs[from] {
		c.handleNewProcess(from, m.Run)
	}
	for _, w := range m.Words {
		switch {
		case !w.valid() || w.Observer == c.rules.Self && w.Run > c.rules.Run:
			c.Counts.Odd++
		case w.Observer == c.rules.Self: // this member's own report, or one of its earlier process
		case w.Age > retention*c.rules.Fresh:
			c.Counts.Old++
		case c.storeReport(w, c.now-w.Age-c.extraAge()):
			c.Counts.Heard++
		default:
			c.Counts.Old++
		}
	}
	c.handleOrders(from, m.Orders, m.Known)
	if m.Whole {
		c.sendAll(from, false)
	}
}

const maxNameLength = 120

// sendPending sends pending reports to some members, and orders to members that have not acknowledged them.
func (c *Core) sendPending() {
	var pending []*storedReport
	for _, store := range slices.Sorted(maps.Keys(c.reports)) {
		for _, by := range slices.Sorted(maps.Keys(c.reports[store])) {
			if h := c.reports[store][by]; h.sendsLeft > 0 {
				pending = append(pending, h)
			}
		}
	}
	// Reports on stores come first, since verdicts depend on them; then those sent least often, then the newest.
	slices.SortStableFunc(pending, func(a, b *storedReport) int {
		if (a.Kind == Throttled) != (b.Kind == Throttled) {
			return cmp.Compare(a.Kind, b.Kind)
		}
		return cmp.Or(cmp.Compare(b.sendsLeft, a.sendsLeft), cmp.Compare(b.outcomeAt, a.outcomeAt))
	})
	if len(pending) > 4*maxReportsPerMessage {
		pending = pending[:4*maxReportsPerMessage]
	}
	if len(pending) > 0 {
		c.nextSend = c.now + sendIntervalMs
	}
	for _, m := range c.randomMembers(fanout) {
		for some := range slices.Chunk(pending, maxReportsPerMessage) {
			c.send(m.Name, Message{Words: c.withAges(some)})
		}
	}
	for _, h := range pending {
		h.sendsLeft--
	}
	c.sendReminders()
}

func (c *Core) withAges(some []*storedReport) (words []Report) {
	for _, h := range some {
		w := h.Report
		w.Age = max(0, c.now-h.outcomeAt)
		words = append(words, w)
	}
	return words
}

// sendAll sends all fresh reports and all orders, so that both sides of a network partition converge after it.
func (c *Core) sendAll(to string, ask bool) {
	var fresh []*storedReport
	for _, store := range slices.Sorted(maps.Keys(c.reports)) {
		for _, by := range slices.Sorted(maps.Keys(c.reports[store])) {
			if h := c.reports[store][by]; c.now-h.outcomeAt <= c.rules.Fresh {
				fresh = append(fresh, h)
			}
		}
	}
	m := Message{Orders: c.orders.list(c.now), Known: c.orders.versions(c.now), Whole: ask}
	if len(fresh) == 0 {
		c.send(to, m)
	}
	for some := range slices.Chunk(fresh, maxReportsPerMessage) {
		m.Words = c.withAges(some)
		c.send(to, m)
		m = Message{}
	}
}

func (c *Core) send(to string, m Message) {
	m.Zone, m.Run = c.rules.Zone, c.rules.Run
	c.out = append(c.out, Send{to, m})
}

// randomMembers returns n random members that are alive, without repetition.
func (c *Core) randomMembers(n int) []Member {
	all := slices.Clone(c.alive)
	for i := range min(n, len(all)) {
		k := i + min(int(c.random()*float64(len(all)-i)), len(all)-i-1)
		all[i], all[k] = all[k], all[i]
	}
	return all[:min(n, len(all))]
}

// removeOldReports removes reports so old that no older ones can arrive after them.
func (c *Core) removeOldReports() {
	for store, of := range c.reports {
		for by, h := range of {
			if c.now-h.outcomeAt > retention*c.rules.Fresh {
				delete(of, by)
				c.reportCount--
			}
		}
		if len(of) == 0 {
			delete(c.reports, store)
		}
	}
}

// ReportCount returns the number of reports kept.
func (c *Core) ReportCount() int { return c.reportCount }
