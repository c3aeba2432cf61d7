// Package duties decides which member does which item of a periodic duty, and when. It is for duties that are rather
// done twice than never, such as probing; what must rather never happen than twice goes by internal/lease. It has no
// I/O and no clock: who lives, what is done and the time go in, turns and news come out.
//
// Items are divided by weighted rendezvous hashing (Thaler and Ravishankar 1998): the death of a member moves its own
// items and no others. Each item is due one period after it was last done by anybody, so turns stay spread as they
// were, and whoever takes an item over goes on where the last one stopped. docs/duties.md has the reasons.
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

// Duty is one periodic duty.
type Duty struct {
	Name   string  `json:"name"`
	Period float64 `json:"period"` // ms
}

// Weighted is a living member with its share against others.
type Weighted struct {
	Name    string
	Weight  float64
	Doubted bool // it has not answered of late: it keeps its items, but may be on another side by now
}

// Input is a View, Items, Finished, Received or Quit.
type Input any

// View names the members that live, this one among them.
type View struct{ Living []Weighted }

// Items names all items of a duty.
type Items struct {
	Duty  string
	Items []string
}

// Finished tells how a turn ended that Turn began: with a report, or with none.
type Finished struct {
	Duty, Item string
	Report     []byte
}

// Received is a page of records that a member sent, or its wish for them.
type Received struct {
	From string
	Page Page
}

// Quit ends this member's turns.
type Quit struct{}

// Output is a Turn, Heard or Send.
type Output any

// Turn says that an item is to be done now. A Finished must follow, or the turn counts as ended after a period.
type Turn struct{ Duty, Item string }

// Heard brings what another member found, so long ago.
type Heard struct {
	Duty, Item, By string
	Age            float64
	Report         []byte
}

// Send is a page for a member.
type Send struct {
	To   string
	Page Page
}

// Page holds records for one member. Want asks for all that the other has.
type Page struct {
	Want    bool
	Records []Record
}

// Record says when an item was last done. Names travel as their hashes, times as ages.
type Record struct {
	Duty, Item uint64
	Age        float64
	By         uint64
	Report     []byte
}

const (
	paceMost    = 2.0  // times the usual rate of a member's turns: so fast what is overdue is caught up with
	joinWait    = 0.25 // of a period: a new member waits so long for what the others know
	slotShare   = 0.25 // of a period: the slot of a side without a majority
	early       = 0.95 // of a period: what was done less long ago waits, whatever the slot
	settling    = 0.5  // of a period: so long a side without a majority must have been the same
	reportMost  = 96   // bytes
	recordBytes = 56   // of a record in a message, beside its report
	resync      = 30.0 // periods between two wishes for everything
	wantLeast   = 1000 // ms between any two
	earlyMost   = 4096 // records of items that no list has named yet
	pageBytes   = 1100
	pagesMost   = 64 // for one wish
	longAgo     = -1e15
)

// Counts are kept for the operators.
type Counts struct {
	Turns   int `json:"turns"`
	Ended   int `json:"ended"`
	Unended int `json:"unended"`
	Heard   int `json:"heard"`
	Stale   int `json:"stale"`
	Moved   int `json:"moved"`
	Odd     int `json:"odd"`
	Overdue int `json:"overdue"` // turns begun later than a tenth of a period after they were due
}

// Item is what is seen of one.
type Item struct {
	Name  string  `json:"name"`
	Owner string  `json:"owner"`
	Last  float64 `json:"last"` // by this member's clock; far below 0: not known
	By    string  `json:"by"`
	Due   float64 `json:"due"`
}

// Share is what is seen of a duty.
type Share struct {
	Duty   Duty   `json:"duty"`
	Items  []Item `json:"items"`
	Mine   int    `json:"mine"`
	Side   int    `json:"side"` // members of the roster that live and are not doubted
	Roster int    `json:"roster"`
}

type item struct {
	name  string
	hash  uint64
	duty  *duty
	owner string
	score float64
	last  float64
	by    uint64
	phase float64 // of the period
	due   float64
	place int // in the heap of this member's items; -1: not its own
	begun float64
	open  bool
}

type duty struct {
	Duty
	hash  uint64
	items map[uint64]*item
	order []*item
	mine  itemHeap
	pace  float64 // no turn before this moment
}

type itemHeap []*item

func (h itemHeap) Len() int { return len(h) }
func (h itemHeap) Less(i, j int) bool {
	return h[i].due < h[j].due || h[i].due == h[j].due && h[i].hash < h[j].hash
}
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}
func (h *itemHeap) Push(x any) {
	it := x.(*item)
	it.place = len(*h)
	*h = append(*h, it)
}
func (h *itemHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.place = -1
	return it
}

// Core is one member's part. Only one goroutine may call it.
type Core struct {
	Counts Counts

	self   string
	roster []string
	rnd    *rand.Rand
	now    float64
	start  float64
	begun  bool
	ahead  float64 // the members' common time less this one's clock
	duties map[uint64]*duty
	list   []*duty
	living []Weighted
	seen   map[string]bool   // that live and are not doubted
	onSide int               // of them on the roster
	same   float64           // since when those are the same
	names  map[uint64]string // of members, by hash
	news   teller
	early  map[[2]uint64]Record
	earlyA map[[2]uint64]float64
	wantAt float64
	wanted float64
	out    []Output
	quit   bool
}

// New makes a member's part. The roster names the configured members; where it is empty a member that sees few others
// cannot know that it is cut off, and does its items as if it saw all.
func New(self string, roster []string, list []Duty, seed uint64) *Core {
	c := &Core{self: self, roster: slices.Clone(roster), rnd: rand.New(rand.NewPCG(seed, hash(self))),
		duties: map[uint64]*duty{}, names: map[uint64]string{}, news: newTeller(),
		early: map[[2]uint64]Record{}, earlyA: map[[2]uint64]float64{}, living: []Weighted{{Name: self, Weight: 1}}}
	slices.Sort(c.roster)
	c.roster = slices.Compact(c.roster)
	c.names[hash(self)] = self
	c.count()
	for _, d := range list {
		n := &duty{Duty: d, hash: hash(d.Name), items: map[uint64]*item{}}
		c.duties[n.hash], c.list = n, append(c.list, n)
	}
	return c
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }

// mix gives 64 well-spread bits of two.
func mix(a, b uint64) uint64 {
	x := a ^ (b*0x9e3779b97f4a7c15 + 0x632be59bd9b4e019)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func unit(x uint64) float64 { return (float64(x>>11) + 0.5) / (1 << 53) }

// Score is a member's claim on an item: the highest of the living has it. With weights w the chance of having an item
// is in proportion to w, and a member's score does not depend on who else there is.
func Score(duty, item, member string, weight float64) float64 {
	return score(mix(hash(duty), hash(item)), hash(member), weight)
}

func score(of, member uint64, weight float64) float64 {
	return -max(weight, 1e-9) / math.Log(unit(mix(of, member)))
}

// Shares lists what is seen of all duties.
func (c *Core) Shares() []Share {
	var all []Share
	for _, d := range c.list {
		s := Share{Duty: d.Duty, Side: c.side(), Roster: len(c.roster), Mine: len(d.mine)}
		for _, it := range d.order {
			s.Items = append(s.Items, Item{Name: it.name, Owner: it.owner, Last: it.last, By: c.names[it.by], Due: c.dueOf(it)})
		}
		slices.SortFunc(s.Items, func(a, b Item) int { return cmp.Compare(a.Name, b.Name) })
		all = append(all, s)
	}
	return all
}

// Held counts what is kept beside the items: records that wait to be told on, those of items not yet listed, names.
func (c *Core) Held() int {
	n := len(c.early) + len(c.names)
	for _, s := range c.news.stacks {
		n += len(s)
	}
	return n
}

// Common is the members' common time at a moment by this one's clock: the clock that is furthest ahead of all that have
// been heard of.
func (c *Core) Common(now float64) float64 { return now + c.ahead }

// Heed takes the common time that a member told. It never steps back, so members agree within a message's way and what
// clocks drift in between.
func (c *Core) Heed(now, common float64) {
	if !math.IsNaN(common) && common < 1e18 {
		c.ahead = max(c.ahead, common-now)
	}
}

// Due is when Step is wanted next though nothing comes in.
func (c *Core) Due() float64 {
	if !c.begun {
		return math.Inf(-1)
	}
	if c.quit {
		return math.Inf(1)
	}
	at := math.Inf(1)
	for _, d := range c.list {
		if len(d.mine) > 0 {
			at = min(at, max(d.mine[0].due, d.pace))
		}
		if len(c.living) > 1 {
			at = min(at, c.wantAt)
		}
	}
	return at
}

// Step takes what came in by now and begins the turns that are due.
func (c *Core) Step(now float64, in []Input) []Output {
	c.out = nil
	c.now = max(c.now, now)
	if !c.begun {
		c.begun, c.start, c.now, c.wantAt, c.wanted = true, now, now, now, longAgo
	}
	for _, x := range in {
		switch v := x.(type) {
		case View:
			c.see(v.Living)
		case Items:
			if d := c.duties[hash(v.Duty)]; d != nil {
				c.items(d, v.Items)
			}
		case Finished:
			c.finished(v)
		case Received:
			c.page(v)
		case Quit:
			c.quit = true
		}
	}
	if c.quit {
		return c.out
	}
	for _, d := range c.list {
		c.turns(d)
	}
	c.want()
	return c.out
}

// turns begins what is due, the longest overdue first, at most one turn in half the usual time between two: what one
// that died has left is caught up with soon, and nobody is flooded.
func (c *Core) turns(d *duty) {
	gap := d.Period / (paceMost * float64(max(1, len(d.mine))))
	for len(d.mine) > 0 && d.mine[0].due <= c.now && d.pace <= c.now {
		it := d.mine[0]
		// What was due may have moved on by the common time, and a turn that never ended is over after a period.
		if due := c.dueOf(it); due > c.now {
			it.due = due
			heap.Fix(&d.mine, 0)
			continue
		}
		if c.now-it.due > d.Period/10 {
			c.Counts.Overdue++
		}
		if it.open {
			c.Counts.Unended++
		}
		it.open, it.begun = true, c.now
		it.last, it.by = c.now, hash(c.self)
		it.due = c.dueOf(it)
		heap.Fix(&d.mine, it.place)
		d.pace = max(d.pace+gap, c.now)
		if d.pace < c.now+gap {
			d.pace = c.now + gap
		}
		c.Counts.Turns++
		c.out = append(c.out, Turn{Duty: d.Name, Item: it.name})
	}
}

// dueOf is when an item is to be done: a period after the last time, by whomever. One of which nothing is known is
// done at its own point of the first period, after a wait for what others know.
func (c *Core) dueOf(it *item) float64 {
	period := it.duty.Period
	at := it.last + period
	if it.last <= longAgo/2 {
		at = c.start + (joinWait+it.phase)*period
	}
	n, side := len(c.roster), c.side()
	if n == 0 || 2*side > n {
		return at
	}
	if it.last > longAgo/2 {
		at = it.last + early*period // it waits for its slot: counted from the last turn it would come later every time
	}
	return c.slot(it, max(at, c.same+settling*period), side, n)
}

// slot is the first moment from a given one on at which a side without a majority does an item. Nothing may stop, and
// yet no item may be done more than twice in a period by all sides together; they can't speak, but they know the roster
// and the common time. So the members of the roster have the item in turn, two periods each, and the side that the one
// in turn is on does it, within a slot at the begin of a period: all such sides together do it as often as one member
// alone. Where some other side may be a majority, which does it every period anyway, only the first of the two counts.
// Until all have seen how they are split they could take each other's turns, so a side first settles.
func (c *Core) slot(it *item, from float64, side, n int) float64 {
	period := it.duty.Period
	elsewhere := 2*(n-side) > n
	from = max(from, c.now)
	x := (from+c.ahead)/period - it.phase
	for r := math.Floor(x); r < math.Floor(x)+float64(4*n+4); r++ {
		if elsewhere && math.Mod(math.Abs(r), 2) != 0 {
			continue
		}
		if r < math.Floor(x) || x > r+slotShare {
			continue
		}
		turn := c.roster[(uint64(int64(math.Floor(r/2)))+it.hash)%uint64(n)]
		if c.sees(turn) {
			return max(from, (r+it.phase)*period-c.ahead)
		}
	}
	return from + float64(4*n)*period // this member is not of the roster and sees nobody who is
}

// side counts the members of the roster that live and are not doubted: who is cut off doubts one after the other, and
// would take the others' items over while it still believes to be among many.
func (c *Core) side() int { return c.onSide }

func (c *Core) sees(name string) bool { return c.seen[name] }

// see takes up who lives. Only the items change hands that a dead member had, or that a new one has the best claim to.
func (c *Core) see(living []Weighted) {
	living = slices.Clone(living)
	slices.SortFunc(living, func(a, b Weighted) int { return cmp.Compare(a.Name, b.Name) })
	was := map[string]float64{}
	for _, w := range c.living {
		was[w.Name] = w.Weight
	}
	is := map[string]float64{}
	var fresh []Weighted
	for _, w := range living {
		is[w.Name] = w.Weight
		c.names[hash(w.Name)] = w.Name
		if old, known := was[w.Name]; !known || old != w.Weight {
			fresh = append(fresh, w)
		}
	}
	if len(living) > len(c.living) {
		c.wantAt = min(c.wantAt, max(c.now, c.wanted+wantLeast)) // what happened on the side that has come is not known here
	}
	sideBefore, sure := c.side(), c.seen
	c.living = living
	c.count()
	if !maps.Equal(sure, c.seen) {
		c.same = c.now
	}
	for _, d := range c.list {
		for _, it := range d.order {
			weight, lives := is[it.owner]
			if !lives || weight != was[it.owner] {
				c.assign(it, living, true)
			} else {
				c.assign(it, fresh, false)
			}
		}
	}
	if sideBefore != c.side() || c.same == c.now && 2*c.side() <= len(c.roster) {
		for _, d := range c.list {
			for _, it := range d.mine {
				it.due = c.dueOf(it)
			}
			heap.Init(&d.mine)
		}
	}
	for h, name := range c.names {
		if _, lives := is[name]; !lives && name != c.self && len(c.names) > 2*len(living)+len(c.roster)+64 {
			delete(c.names, h)
		}
	}
}

// count notes who is on this member's side.
func (c *Core) count() {
	c.seen, c.onSide = map[string]bool{}, 0
	for _, w := range c.living {
		if !w.Doubted {
			c.seen[w.Name] = true
		}
	}
	for _, name := range c.roster {
		if c.seen[name] {
			c.onSide++
		}
	}
}

// assign gives an item to the best of some claimants; anew, or against its present owner.
func (c *Core) assign(it *item, claimants []Weighted, anew bool) {
	owner, best, of := it.owner, it.score, mix(it.duty.hash, it.hash)
	if anew {
		owner, best = "", -1
	}
	for _, w := range claimants {
		if s := score(of, hash(w.Name), w.Weight); s > best || s == best && w.Name < owner {
			owner, best = w.Name, s
		}
	}
	if owner != it.owner && it.owner != "" {
		c.Counts.Moved++
	}
	it.owner, it.score = owner, best
	d := it.duty
	if mine := owner == c.self; mine && it.place < 0 {
		it.due = c.dueOf(it)
		heap.Push(&d.mine, it)
	} else if !mine && it.place >= 0 {
		heap.Remove(&d.mine, it.place)
	}
}

// items takes up a list. What is gone is forgotten, what is new has its phase.
func (c *Core) items(d *duty, names []string) {
	named := map[uint64]bool{}
	for _, name := range names {
		h := hash(name)
		named[h] = true
		if d.items[h] != nil {
			continue
		}
		it := &item{name: name, hash: h, duty: d, last: longAgo, place: -1, phase: unit(mix(h, d.hash))}
		key := [2]uint64{d.hash, h}
		if r, known := c.early[key]; known {
			it.last, it.by = c.earlyA[key], r.By
			delete(c.early, key)
			delete(c.earlyA, key)
		} else if c.now-c.start > d.Period {
			it.last = c.now - d.Period*(1-it.phase) // it came later than this member: no burst of newcomers
		}
		d.items[h], d.order = it, append(d.order, it)
		c.assign(it, c.living, true)
	}
	d.order = slices.DeleteFunc(d.order, func(it *item) bool {
		if named[it.hash] {
			return false
		}
		if it.place >= 0 {
			heap.Remove(&d.mine, it.place)
		}
		delete(d.items, it.hash)
		c.news.drop(it)
		return true
	})
}

func (c *Core) finished(f Finished) {
	d := c.duties[hash(f.Duty)]
	if d == nil {
		return
	}
	it := d.items[hash(f.Item)]
	if it == nil || !it.open {
		c.Counts.Odd++
		return
	}
	it.open = false
	c.Counts.Ended++
	if it.by == hash(c.self) {
		report := f.Report
		if len(report) > reportMost {
			report = nil
		}
		c.news.put(&news{it: it, at: it.last, report: report})
	}
}

// heard takes a record. The later one holds; what was done by one's own clock is never put back.
func (c *Core) heard(r Record) {
	if math.IsNaN(r.Age) || r.Age < 0 || r.Age > 1e12 || len(r.Report) > reportMost {
		c.Counts.Odd++
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
		if old, known := c.earlyA[key]; (!known || at > old) && (known || len(c.early) < earlyMost) && r.Age < 2*d.Period {
			c.early[key], c.earlyA[key] = r, at
		}
		return
	}
	// An age is a little short by the way of the message: the same turn told by two ways is still one.
	if at <= it.last+d.Period/20 {
		c.Counts.Stale++
		return
	}
	c.Counts.Heard++
	it.last, it.by = at, r.By
	if it.place >= 0 {
		it.due = c.dueOf(it)
		heap.Fix(&d.mine, it.place)
	}
	c.news.put(&news{it: it, at: at, report: r.Report})
	if by := c.names[r.By]; by != c.self {
		c.out = append(c.out, Heard{Duty: d.Name, Item: it.name, By: by, Age: r.Age, Report: r.Report})
	}
}

// page takes what a member sent, and answers its wish.
func (c *Core) page(v Received) {
	for _, r := range v.Page.Records {
		c.heard(r)
	}
	if !v.Page.Want {
		return
	}
	var p Page
	size, pages := 0, 0
	for _, d := range c.list {
		for _, it := range d.order {
			if it.last <= longAgo/2 || c.now-it.last > 2*d.Period {
				continue
			}
			if size+recordBytes > pageBytes {
				if pages++; pages >= pagesMost {
					return
				}
				c.out = append(c.out, Send{To: v.From, Page: p})
				p, size = Page{}, 0
			}
			p.Records, size = append(p.Records, c.record(it, it.last, nil)), size+recordBytes
		}
	}
	if len(p.Records) > 0 {
		c.out = append(c.out, Send{To: v.From, Page: p})
	}
}

func (c *Core) record(it *item, at float64, report []byte) Record {
	return Record{Duty: it.duty.hash, Item: it.hash, Age: max(0, c.now-at), By: it.by, Report: report}
}

// want asks one member for all it knows: at the start, when somebody has come, and now and then for what got lost.
func (c *Core) want() {
	if c.now < c.wantAt || len(c.living) < 2 || len(c.list) == 0 {
		return
	}
	longest := 0.0
	for _, d := range c.list {
		longest = max(longest, d.Period)
	}
	c.wantAt, c.wanted = c.now+resync*longest*(0.75+0.5*c.rnd.Float64()), c.now
	for key, at := range c.earlyA {
		if c.now-at > 2*longest {
			delete(c.early, key)
			delete(c.earlyA, key)
		}
	}
	others := slices.DeleteFunc(slices.Clone(c.living), func(w Weighted) bool { return w.Name == c.self })
	if len(others) > 0 {
		c.out = append(c.out, Send{To: others[c.rnd.IntN(len(others))].Name, Page: Page{Want: true}})
	}
}

// Waiting says whether there is anything to tell on.
func (c *Core) Waiting() bool { return len(c.news.of) > 0 }

// Records fills a message at a moment with what has been told least, up to room bytes; each record is told so many
// times. The moment may be later than the last Step's: an age that was told too short would grow younger at every hop.
func (c *Core) Records(now float64, room, times int) (list []Record) {
	c.now = max(c.now, now)
	c.news.take(times, func(n *news) bool {
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
