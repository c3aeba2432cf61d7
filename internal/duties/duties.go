// Package duties assigns the items of periodic duties to members and schedules their turns. It is for duties
// with at-least-once semantics, such as probing; what must happen at most once uses internal/lease. The package
// does no I/O and reads no clock: the live members, finished turns and the time go in, turns and messages come
// out.
//
// Items are assigned by weighted rendezvous hashing (Thaler and Ravishankar 1998): the death of a member moves
// its own items and no others. Each item is due one period after any member last did it, so turns stay spread
// out, and a new owner continues where the last one stopped. docs/duties.md has the reasons.
package duties

import (
	"cmp"
	"container/heap"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Duty is a periodic duty.
type Duty struct {
	Name   string  `json:"name"`
	Period float64 `json:"period"` // ms
}

// Member is a live member with its weight.
type Member struct {
	Name      string
	Weight    float64
	Suspected bool // it has not answered recently: it keeps its items, but may be on another side of a partition
}

// Input is a View, Items, Finished, Received or Quit.
type Input any

// View is an input that lists the live members, this one among them.
type View struct{ Living []Member }

// Items is an input that lists all items of a duty.
type Items struct {
	Duty  string
	Items []string
}

// Finished is an input: a turn that Turn began has ended, with a report or without.
type Finished struct {
	Duty, Item string
	Report     []byte
}

// Received is an input: a page of records, or a request for them, from a member.
type Received struct {
	From string
	Page Page
}

// Quit is an input that ends this member's turns.
type Quit struct{}

// Output is a Turn, Reported or Send.
type Output any

// Turn is an output: an item has to be done now. A Finished must follow; without one the turn counts as ended
// after a period.
type Turn struct{ Duty, Item string }

// Reported is an output: the report of another member, and its age.
type Reported struct {
	Duty, Item, By string
	Age            float64
	Report         []byte
}

// Send is an output: a page for a member.
type Send struct {
	To   string
	Page Page
}

// Page is a message with records for one member. Want requests all records that the receiver has.
type Page struct {
	Want    bool
	Records []Record
}

// Record is the time at which an item was last done. Names are sent as their hashes, times as ages.
type Record struct {
	Duty, Item uint64
	Age        float64
	By         uint64
	Report     []byte
}

const (
	maxCatchUpRate    = 2.0  // of the usual rate of a member's turns: limit while it catches up with overdue items
	joinDelay         = 0.25 // of a period: a new member waits this long for the records of the others
	slotFraction      = 0.25 // of a period: length of a turn slot on a side without a majority
	early             = 0.95 // of a period: an item that was done more recently waits, even in its slot
	settleFraction    = 0.5  // of a period: a side without a majority must have been unchanged this long
	maxReportBytes    = 96
	recordBytes       = 56   // size of a record in a message without its report
	syncPeriods       = 30.0 // in periods: interval between two requests for all records
	minSyncIntervalMs = 1000 // shortest interval between two requests for all records
	maxEarly          = 4096 // number of records kept for items that no list has named yet
	pageBytes         = 1100
	maxPages          = 64 // per request
	never             = -1e15
)

// Counts are the counters shown to operators.
type Counts struct {
	Turns      int `json:"turns"`
	Ended      int `json:"ended"`
	Unended    int `json:"unended"`
	Heard      int `json:"heard"`
	Stale      int `json:"stale"`
	Moved      int `json:"moved"`
	Unexpected int `json:"odd"`
	Overdue    int `json:"overdue"` // turns begun more than a tenth of a period late
}

// Item is the state of an item as this member sees it.
type Item struct {
	Name  string  `json:"name"`
	Owner string  `json:"owner"`
	Last  float64 `json:"last"` // by this member's clock; far below 0 if unknown
	By    string  `json:"by"`
	Due   float64 `json:"due"`
}

// DutyStatus is the state of a duty as this member sees it.
type DutyStatus struct {
	Duty   Duty   `json:"duty"`
	Items  []Item `json:"items"`
	Mine   int    `json:"mine"`
	Side   int    `json:"side"` // live members of the roster that are not suspected
	Roster int    `json:"roster"`
}

// item is the state of one item.
type item struct {
	name      string
	hash      uint64
	duty      *duty
	owner     string
	score     float64
	lastDone  float64
	by        uint64
	phase     float64 // as a fraction of the period
	due       float64
	heapIndex int // in the heap of this member's items; -1 if another member owns it
	begunAt   float64
	open      bool
}

// duty is the state of one duty.
type duty struct {
	Duty
	hash       uint64
	items      map[uint64]*item
	order      []*item
	own        itemHeap
	nextTurnAt float64 // no turn begins before this time
}

// itemHeap orders this member's items by the time at which they are due.
type itemHeap []*item

func (h itemHeap) Len() int { return len(h) }
func (h itemHeap) Less(i, j int) bool {
	return h[i].due < h[j].due || h[i].due == h[j].due && h[i].hash < h[j].hash
}
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *itemHeap) Push(x any) {
	it := x.(*item)
	it.heapIndex = len(*h)
	*h = append(*h, it)
}
func (h *itemHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.heapIndex = -1
	return it
}

// Scheduler is one member's part of all duties. It is not safe for concurrent use.
type Scheduler struct {
	Counts Counts

	self        string
	roster      []string
	rnd         *rand.Rand
	now         float64
	startedAt   float64
	started     bool
	clockOffset float64 // the members' common time minus this member's clock
	duties      map[uint64]*duty
	dutyList    []*duty
	living      []Member
	sideMembers map[string]bool   // live members that are not suspected
	sideSize    int               // number of them on the roster
	sideSince   float64           // the time since which sideMembers is unchanged
	names       map[uint64]string // names of members by their hash
	updates     gossipQueue
	early       map[[2]uint64]Record  // records of items that no list has named yet
	earlyAt     map[[2]uint64]float64 // when those items were last done
	nextSyncAt  float64
	lastSyncAt  float64
	outputs     []Output
	quit        bool
}

// New returns a member's scheduler. The roster names the configured members. With an empty roster, a member
// that sees few others cannot detect that it is partitioned, and does its items as if it saw all.
func New(self string, roster []string, list []Duty, seed uint64) *Scheduler {
	c := &Scheduler{self: self, roster: slices.Clone(roster), rnd: rand.New(rand.NewPCG(seed, hash(self))),
		duties: map[uint64]*duty{}, names: map[uint64]string{}, updates: newGossipQueue(),
		early: map[[2]uint64]Record{}, earlyAt: map[[2]uint64]float64{}, living: []Member{{Name: self, Weight: 1}}}
	slices.Sort(c.roster)
	c.roster = slices.Compact(c.roster)
	c.names[hash(self)] = self
	c.countSide()
	for _, d := range list {
		n := &duty{Duty: d, hash: hash(d.Name), items: map[uint64]*item{}}
		c.duties[n.hash], c.dutyList = n, append(c.dutyList, n)
	}
	return c
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }

// mix hashes two numbers to 64 well-distributed bits.
func mix(a, b uint64) uint64 {
	x := a ^ (b*0x9e3779b97f4a7c15 + 0x632be59bd9b4e019)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// unitInterval maps a hash to a number between 0 and 1, both excluded.
func unitInterval(x uint64) float64 { return (float64(x>>11) + 0.5) / (1 << 53) }

// Score returns a member's rendezvous score for an item: the live member with the highest score owns the item.
// The probability of owning an item is proportional to the weight, and a member's score does not depend on the
// other members.
func Score(duty, item, member string, weight float64) float64 {
	return rendezvousScore(mix(hash(duty), hash(item)), hash(member), weight)
}

func rendezvousScore(of, member uint64, weight float64) float64 {
	return -max(weight, 1e-9) / math.Log(unitInterval(mix(of, member)))
}

// Statuses returns the state of all duties.
func (c *Scheduler) Statuses() []DutyStatus {
	var all []DutyStatus
	for _, d := range c.dutyList {
		s := DutyStatus{Duty: d.Duty, Side: c.side(), Roster: len(c.roster), Mine: len(d.own)}
		for _, it := range d.order {
			s.Items = append(s.Items, Item{Name: it.name, Owner: it.owner, Last: it.lastDone, By: c.names[it.by], Due: c.dueOf(it)})
		}
		slices.SortFunc(s.Items, func(a, b Item) int { return cmp.Compare(a.Name, b.Name) })
		all = append(all, s)
	}
	return all
}

// KeptRecords returns the number of entries kept beside the items: queued updates, records of items that are
// not listed yet, and names.
func (c *Scheduler) KeptRecords() int {
	n := len(c.early) + len(c.names)
	for _, s := range c.updates.bySends {
		n += len(s)
	}
	return n
}

// Common returns the members' common time at a time by this member's clock. It is the clock that is furthest
// ahead of all known ones.
func (c *Scheduler) Common(now float64) float64 { return now + c.clockOffset }

// ObserveCommonTime takes the common time that another member reports. The common time never goes back, so
// members agree on it up to a message's delay and the drift of their clocks in between.
func (c *Scheduler) ObserveCommonTime(now, common float64) {
	if !math.IsNaN(common) && common < 1e18 {
		c.clockOffset = max(c.clockOffset, common-now)
	}
}

// Due returns the time at which the next Step is needed if no input arrives.
func (c *Scheduler) Due() float64 {
	if !c.started {
		return math.Inf(-1)
	}
	if c.quit {
		return math.Inf(1)
	}
	at := math.Inf(1)
	for _, d := range c.dutyList {
		if len(d.own) > 0 {
			at = min(at, max(d.own[0].due, d.nextTurnAt))
		}
		if len(c.living) > 1 {
			at = min(at, c.nextSyncAt)
		}
	}
	return at
}

// Step handles the inputs and begins the turns that are due.
func (c *Scheduler) Step(now float64, in []Input) []Output {
	c.outputs = nil
	c.now = max(c.now, now)
	if !c.started {
		c.started, c.startedAt, c.now, c.nextSyncAt, c.lastSyncAt = true, now, now, now, never
	}
	for _, x := range in {
		switch v := x.(type) {
		case View:
			c.updateView(v.Living)
		case Items:
			if d := c.duties[hash(v.Duty)]; d != nil {
				c.setItems(d, v.Items)
			}
		case Finished:
			c.finished(v)
		case Received:
			c.handlePage(v)
		case Quit:
			c.quit = true
		}
	}
	if c.quit {
		return c.outputs
	}
	for _, d := range c.dutyList {
		c.beginTurns(d)
	}
	c.requestSync()
	return c.outputs
}

// beginTurns begins the turns that are due, the longest overdue first, at most one per half of the usual
// interval: the items of a dead member are caught up with soon, without a burst.
func (c *Scheduler) beginTurns(d *duty) {
	gap := d.Period / (maxCatchUpRate * float64(max(1, len(d.own))))
	for len(d.own) > 0 && d.own[0].due <= c.now && d.nextTurnAt <= c.now {
		it := d.own[0]
		// The due time may have moved with the common time. A turn that never ended is over after a period.
		if due := c.dueOf(it); due > c.now {
			it.due = due
			heap.Fix(&d.own, 0)
			continue
		}
		if c.now-it.due > d.Period/10 {
			c.Counts.Overdue++
		}
		if it.open {
			c.Counts.Unended++
		}
		it.open, it.begunAt = true, c.now
		it.lastDone, it.by = c.now, hash(c.self)
		it.due = c.dueOf(it)
		heap.Fix(&d.own, it.heapIndex)
		d.nextTurnAt = max(d.nextTurnAt+gap, c.now)
		if d.nextTurnAt < c.now+gap {
			d.nextTurnAt = c.now + gap
		}
		c.Counts.Turns++
		c.outputs = append(c.outputs, Turn{Duty: d.Name, Item: it.name})
	}
}

// dueOf returns when an item is due: a period after any member last did it. An item without a known time is due
// at its phase in the first period, after a delay for the records of the others.
func (c *Scheduler) dueOf(it *item) float64 {
	period := it.duty.Period
	at := it.lastDone + period
	if it.lastDone <= never/2 {
		at = c.startedAt + (joinDelay+it.phase)*period
	}
	n, side := len(c.roster), c.side()
	if n == 0 || 2*side > n {
		return at
	}
	if it.lastDone > never/2 {
		at = it.lastDone + early*period // the item waits for its slot; counted from the last turn, the slot would move later each time
	}
	return c.slot(it, max(at, c.sideSince+settleFraction*period), side, n)
}

// slot returns the first time, not before the given one, at which a side of a partition without a majority does
// an item. No item may stop, and yet all sides together may not do an item more than twice in a period. The
// sides cannot communicate, but they know the roster and the common time. So each member of the roster in turn
// has the item for two periods, and the side of that member does it, within a slot at the start of a period:
// all such sides together do it as often as one member alone. Where another side may be a majority, which does
// the item in every period anyway, only the first of the two periods counts. Until all members have detected
// the partition they could take each other's turns, so a side has to be unchanged for a while first.
func (c *Scheduler) slot(it *item, from float64, side, n int) float64 {
	period := it.duty.Period
	majorityElsewhere := 2*(n-side) > n
	from = max(from, c.now)
	x := (from+c.clockOffset)/period - it.phase
	for r := math.Floor(x); r < math.Floor(x)+float64(4*n+4); r++ {
		if majorityElsewhere && math.Mod(math.Abs(r), 2) != 0 {
			continue
		}
		if r < math.Floor(x) || x > r+slotFraction {
			continue
		}
		turn := c.roster[(uint64(int64(math.Floor(r/2)))+it.hash)%uint64(n)]
		if c.isOnSide(turn) {
			return max(from, (r+it.phase)*period-c.clockOffset)
		}
	}
	return from + float64(4*n)*period // this member is not on the roster and sees no member of it
}

// side returns the number of live members of the roster that are not suspected. A member that is cut off comes
// to suspect the others one after the other; without this rule it would take over their items while it still
// counts itself part of a majority.
func (c *Scheduler) side() int { return c.sideSize }

func (c *Scheduler) isOnSide(name string) bool { return c.sideMembers[name] }

// updateView takes the live members. Only those items move whose owner has died or for which a new member has
// the highest score.
func (c *Scheduler) updateView(living []Member) {
	living = slices.Clone(living)
	slices.SortFunc(living, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	oldWeights := map[string]float64{}
	for _, w := range c.living {
		oldWeights[w.Name] = w.Weight
	}
	newWeights := map[string]float64{}
	var changed []Member
	for _, w := range living {
		newWeights[w.Name] = w.Weight
		c.names[hash(w.Name)] = w.Name
		if old, known := oldWeights[w.Name]; !known || old != w.Weight {
			changed = append(changed, w)
		}
	}
	if len(living) > len(c.living) {
		c.nextSyncAt = min(c.nextSyncAt, max(c.now, c.lastSyncAt+minSyncIntervalMs)) // the records of the side that has joined are not known here
	}
	sideBefore, membersBefore := c.side(), c.sideMembers
	c.living = living
	c.countSide()
	if !maps.Equal(membersBefore, c.sideMembers) {
		c.sideSince = c.now
	}
	for _, d := range c.dutyList {
		for _, it := range d.order {
			weight, lives := newWeights[it.owner]
			if !lives || weight != oldWeights[it.owner] {
				c.assign(it, living, true)
			} else {
				c.assign(it, changed, false)
			}
		}
	}
	if sideBefore != c.side() || c.sideSince == c.now && 2*c.side() <= len(c.roster) {
		for _, d := range c.dutyList {
			for _, it := range d.own {
				it.due = c.dueOf(it)
			}
			heap.Init(&d.own)
		}
	}
	for h, name := range c.names {
		if _, lives := newWeights[name]; !lives && name != c.self && len(c.names) > 2*len(living)+len(c.roster)+64 {
			delete(c.names, h)
		}
	}
}

// countSide computes which members are on this member's side of a possible partition.
func (c *Scheduler) countSide() {
	c.sideMembers, c.sideSize = map[string]bool{}, 0
	for _, w := range c.living {
		if !w.Suspected {
			c.sideMembers[w.Name] = true
		}
	}
	for _, name := range c.roster {
		if c.sideMembers[name] {
			c.sideSize++
		}
	}
}

// assign gives an item to the claimant with the highest score. Unless fromScratch is set, the present owner
// competes with them.
func (c *Scheduler) assign(it *item, claimants []Member, fromScratch bool) {
	owner, best, of := it.owner, it.score, mix(it.duty.hash, it.hash)
	if fromScratch {
		owner, best = "", -1
	}
	for _, w := range claimants {
		if s := rendezvousScore(of, hash(w.Name), w.Weight); s > best || s == best && w.Name < owner {
			owner, best = w.Name, s
		}
	}
	if owner != it.owner && it.owner != "" {
		c.Counts.Moved++
	}
	it.owner, it.score = owner, best
	d := it.duty
	if mine := owner == c.self; mine && it.heapIndex < 0 {
		it.due = c.dueOf(it)
		heap.Push(&d.own, it)
	} else if !mine && it.heapIndex >= 0 {
		heap.Remove(&d.own, it.heapIndex)
	}
}

// setItems takes a list of items. Items that are gone are removed, and new ones get their phase.
func (c *Scheduler) setItems(d *duty, names []string) {
	named := map[uint64]bool{}
	for _, name := range names {
		h := hash(name)
		named[h] = true
		if d.items[h] != nil {
			continue
		}
		it := &item{name: name, hash: h, duty: d, lastDone: never, heapIndex: -1, phase: unitInterval(mix(h, d.hash))}
		key := [2]uint64{d.hash, h}
		if r, known := c.early[key]; known {
			it.lastDone, it.by = c.earlyAt[key], r.By
			delete(c.early, key)
			delete(c.earlyAt, key)
		} else if c.now-c.startedAt > d.Period {
			it.lastDone = c.now - d.Period*(1-it.phase) // the item is newer than this member; this avoids a burst of new items
		}
		d.items[h], d.order = it, append(d.order, it)
		c.assign(it, c.living, true)
	}
	d.order = slices.DeleteFunc(d.order, func(it *item) bool {
		if named[it.hash] {
			return false
		}
		if it.heapIndex >= 0 {
			heap.Remove(&d.own, it.heapIndex)
		}
		delete(d.items, it.hash)
		c.updates.drop(it)
		return true
	})
}

func (c *Scheduler) finished(f Finished) {
	d := c.duties[hash(f.Duty)]
	if d == nil {
		return
	}
	it := d.items[hash(f.Item)]
	if it == nil || !it.open {
		c.Counts.Unexpected++
		return
	}
	it.open = false
	c.Counts.Ended++
	if it.by == hash(c.self) {
		report := f.Report
		if len(report) > maxReportBytes {
			report = nil
		}
		c.updates.put(&update{it: it, at: it.lastDone, report: report})
	}
}

// applyRecord takes a record. The later time wins; times of this member's own turns never go back.
func (c *Scheduler) applyRecord(r Record) {
	if math.IsNaN(r.Age) || r.Age < 0 || r.Age > 1e12 || len(r.Report) > maxReportBytes {
		c.Counts.Unexpected++
		return
	}
	d := c.duties[r.Duty]
	if d == nil {
		return
	}
	at := c.now - r.Age
	it := d.items[r.Item]
	if it == nil {
		key := [2]uint64{r.Duty, r.Item}
		if old, known := c.earlyAt[key]; (!known || at > old) && (known || len(c.early) < maxEarly) && r.Age < 2*d.Period {
			c.early[key], c.earlyAt[key] = r, at
		}
		return
	}
	// An age lacks the delay of its message, so a turn that arrives by two routes is still recognised as one.
	if at <= it.lastDone+d.Period/20 {
		c.Counts.Stale++
		return
	}
	c.Counts.Heard++
	it.lastDone, it.by = at, r.By
	if it.heapIndex >= 0 {
		it.due = c.dueOf(it)
		heap.Fix(&d.own, it.heapIndex)
	}
	c.updates.put(&update{it: it, at: at, report: r.Report})
	if by := c.names[r.By]; by != c.self {
		c.outputs = append(c.outputs, Reported{Duty: d.Name, Item: it.name, By: by, Age: r.Age, Report: r.Report})
	}
}

// handlePage takes a page from a member, and answers its request for records.
func (c *Scheduler) handlePage(v Received) {
	for _, r := range v.Page.Records {
		c.applyRecord(r)
	}
	if !v.Page.Want {
		return
	}
	var p Page
	size, pages := 0, 0
	for _, d := range c.dutyList {
		for _, it := range d.order {
			if it.lastDone <= never/2 || c.now-it.lastDone > 2*d.Period {
				continue
			}
			if size+recordBytes > pageBytes {
				if pages++; pages >= maxPages {
					return
				}
				c.outputs = append(c.outputs, Send{To: v.From, Page: p})
				p, size = Page{}, 0
			}
			p.Records, size = append(p.Records, c.record(it, it.lastDone, nil)), size+recordBytes
		}
	}
	if len(p.Records) > 0 {
		c.outputs = append(c.outputs, Send{To: v.From, Page: p})
	}
}

func (c *Scheduler) record(it *item, at float64, report []byte) Record {
	return Record{Duty: it.duty.hash, Item: it.hash, Age: max(0, c.now-at), By: it.by, Report: report}
}

// requestSync requests all records from one member: at the start, when a member has joined, and periodically,
// since messages may be lost.
func (c *Scheduler) requestSync() {
	if c.now < c.nextSyncAt || len(c.living) < 2 || len(c.dutyList) == 0 {
		return
	}
	longest := 0.0
	for _, d := range c.dutyList {
		longest = max(longest, d.Period)
	}
	c.nextSyncAt, c.lastSyncAt = c.now+syncPeriods*longest*(0.75+0.5*c.rnd.Float64()), c.now
	for key, at := range c.earlyAt {
		if c.now-at > 2*longest {
			delete(c.early, key)
			delete(c.earlyAt, key)
		}
	}
	others := slices.DeleteFunc(slices.Clone(c.living), func(w Member) bool { return w.Name == c.self })
	if len(others) > 0 {
		c.outputs = append(c.outputs, Send{To: others[c.rnd.IntN(len(others))].Name, Page: Page{Want: true}})
	}
}

// HasPending reports whether there are updates to gossip.
func (c *Scheduler) HasPending() bool { return len(c.updates.byItem) > 0 }

// Records returns the records for a message of at most room bytes, those sent least often first. Each record is
// sent the given number of times. The time now may be later than that of the last Step: an age that is too
// small would lose more of its true value with every hop.
func (c *Scheduler) Records(now float64, room, times int) (list []Record) {
	c.now = max(c.now, now)
	c.updates.take(times, func(n *update) bool {
		size := recordBytes + len(n.report)
		if size > room {
			return false
		}
		room -= size
		list = append(list, c.record(n.it, n.at, n.report))
		return true
	})
	return list
}
