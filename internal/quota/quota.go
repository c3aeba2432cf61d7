// Package quota decides whether a scan may be taken, for its cell and its tenant, and when a throttled one should come
// back. It has no I/O and no clock: the time, arrivals and ends go in, verdicts come out.
//
// Each cell has a share of the broker's open scans. A quarter of it is its own whatever happens; the rest, where it lies
// idle, is lent to cells that have more to do. Whoever is above its share leaves a margin free, so what was lent comes
// back as scans end. Within a cell tenants are equal by weight. Rates are token buckets (as in RFC 2697), retries have a budget that
// is a share of what succeeded, so that a failing cell is not stormed.
package quota

import (
	"cmp"
	"math"
	"slices"
)

// Limits of one cell. A field at 0 sets no limit.
type Limits struct {
	Rate   float64 // scans a second that the cell is entitled to,
	Burst  float64 // and so many at once
	Open   int     // scans open at once, most
	Work   float64 // ms of work outstanding, most
	Weight float64 // share of the broker's open scans against other cells'; 0 is 1
	// Retries are further dispatches: a share of the completed ones, and so many saved up.
	RetryShare float64
	RetrySpare float64
	// TenantRate is what one tenant is entitled to, in scans a second; TenantBurst at once.
	TenantRate, TenantBurst float64
}

// Why a scan was turned away.
type Why uint8

const (
	Taken Why = iota
	CellRate
	TenantRate
	CellOpen
	CellWork
	BrokerOpen // the broker's own cap: no idle share is left to lend
	TenantShare
	Crowded // more cells or tenants than may be known
)

var words = [...]string{"taken", "the cell's rate", "the tenant's rate", "the cell's open scans", "the cell's outstanding work",
	"the broker's open scans", "the tenant's share of the cell", "too many tenants"}

func (w Why) String() string { return words[w] }

// Ask is what a scan asks for.
type Ask struct {
	Weight float64 // its tenant's against others of the cell; 0 is 1
	Work   float64 // ms, of all its parts
	Size   int     // of the broker's cap: the scan and its parts; 0 is 1
}

// Verdict on a scan. After says when a throttled one should come back, in ms.
type Verdict struct {
	Why   Why
	After float64
}

// Counts of one cell, for the operators.
type Counts struct {
	Taken          int              `json:"taken"`
	Throttled      int              `json:"throttled"`
	By             [Crowded + 1]int `json:"by"` // why they were throttled
	RetriesRefused int              `json:"retries_refused"`
	Lent           int              `json:"lent"` // scans taken beyond the cell's own share
}

type bucket struct {
	tokens, at float64
}

// take takes one token at a rate a second, of at most burst; else it says how many ms until there is one.
func (b *bucket) take(now, rate, burst float64) (wait float64) {
	b.fill(now, rate, burst)
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	return (1 - b.tokens) / rate * 1000
}

func (b *bucket) fill(now, rate, burst float64) {
	b.tokens = min(burst, b.tokens+max(0, now-b.at)*rate/1000)
	b.at = now
}

type tenant struct {
	bucket
	weight float64
	open   int
	seen   float64
}

type cell struct {
	Limits
	bucket
	open    int
	units   int // of the broker's cap
	work    float64
	retries float64
	tenants map[string]*tenant
	counts  Counts
	service float64 // ms that a scan is open, as seen: what a time to come back is made of
}

// Core is one broker's. Only one goroutine may call it.
type Core struct {
	cells  map[string]*cell
	names  []string
	most   int // units of the broker's cap: open scans and parts
	open   int // of them, all cells together
	chance func() float64
	after  float64 // the longest time to come back that the settings allow; 0: none is told
	now    float64
}

const (
	lendMargin  = 16     // who is above its share leaves the broker's cap, divided by this, free for those below theirs
	tenantsMost = 100000 // of a cell that are known at once
	tenantIdle  = 60000  // ms after which one without open scans is forgotten
	spread      = 0.5    // of a time to come back, by chance: who is turned away together does not come back together
	serviceGain = 0.05
	serviceStd  = 100.0 // ms, until something is seen
)

// New makes the limits of a broker that may have so many scans and parts open, 0: any number. After is the longest time to come back that may be
// told, in ms; chance gives numbers from 0 to 1.
func New(most int, after float64, cells map[string]Limits, chance func() float64) *Core {
	c := &Core{cells: map[string]*cell{}, most: most, after: after, chance: chance}
	c.Change(cells)
	return c
}

// Change takes up other limits. What is open stays open; a cell that is gone takes nothing more.
func (c *Core) Change(cells map[string]Limits) {
	for name, l := range cells {
		l.Weight = cmp.Or(max(0, l.Weight), 1)
		l.Burst, l.TenantBurst = max(1, l.Burst), max(1, l.TenantBurst)
		if old := c.cells[name]; old != nil {
			old.Limits = l
			continue
		}
		c.cells[name] = &cell{Limits: l, tenants: map[string]*tenant{}, bucket: bucket{tokens: l.Burst}, retries: l.RetrySpare, service: serviceStd}
	}
	for name, k := range c.cells {
		if _, stays := cells[name]; !stays && k.open == 0 {
			delete(c.cells, name)
		}
	}
	c.names = c.names[:0]
	for name := range c.cells {
		c.names = append(c.names, name)
	}
	slices.Sort(c.names)
}

// share is how much of the broker's cap a cell is entitled to.
func (c *Core) share(k *cell) int {
	sum := 0.0
	for _, name := range c.names {
		sum += c.cells[name].Weight
	}
	return int(float64(c.most) * k.Weight / max(sum, 1e-9))
}

// room says whether a cell may have one more open scan. The sum of what is open and of what must be kept for the cells'
// reserves never passes the broker's cap, so a cell always finds its reserve.
func (c *Core) room(k *cell, size int) bool {
	if c.most <= 0 || k.units+size <= c.reserve(k) {
		return true
	}
	kept := 0
	for _, name := range c.names {
		if o := c.cells[name]; o != k {
			kept += max(0, c.reserve(o)-o.units)
		}
	}
	if k.units+size > c.share(k) {
		kept += max(1, c.most/lendMargin)
	}
	return c.open+kept+size <= c.most
}

// reserve is what of a cell's share is never lent.
func (c *Core) reserve(k *cell) int { return c.share(k) / 4 }

// Take is asked for each scan that comes.
func (c *Core) Take(now float64, name, who string, a Ask) Verdict {
	work, size := a.Work, max(1, a.Size)
	c.now = max(c.now, now)
	k := c.cells[name]
	if k == nil {
		return Verdict{Crowded, c.back(c.after)}
	}
	t := k.tenants[who]
	if t == nil {
		if len(k.tenants) >= tenantsMost {
			c.forget(k)
		}
		if len(k.tenants) >= tenantsMost {
			return c.away(k, Crowded, c.after)
		}
		t = &tenant{bucket: bucket{tokens: k.TenantBurst, at: c.now}}
		k.tenants[who] = t
	}
	t.seen, t.weight = c.now, cmp.Or(max(0, a.Weight), 1)
	// What is not taken costs no token: the looks come first, the buckets last.
	switch {
	case k.Open > 0 && k.open >= k.Open:
		return c.away(k, CellOpen, k.service/float64(max(1, k.Open)))
	case k.Work > 0 && k.open > 0 && k.work+work > k.Work:
		return c.away(k, CellWork, k.service*(k.work+work-k.Work)/k.Work)
	case !c.room(k, size):
		return c.away(k, BrokerOpen, k.service)
	case c.tooMuch(k, t):
		return c.away(k, TenantShare, k.service)
	}
	if k.TenantRate > 0 {
		if wait := t.take(c.now, k.TenantRate, k.TenantBurst); wait > 0 {
			return c.away(k, TenantRate, wait)
		}
	}
	if k.Rate > 0 {
		if wait := k.take(c.now, k.Rate, k.Burst); wait > 0 {
			if k.TenantRate > 0 {
				t.tokens = min(k.TenantBurst, t.tokens+1)
			}
			return c.away(k, CellRate, wait)
		}
	}
	if c.most > 0 && k.units+size > c.share(k) {
		k.counts.Lent++
	}
	k.counts.Taken++
	k.open++
	k.work += work
	t.open++
	k.units, c.open = k.units+size, c.open+size
	return Verdict{}
}

// tooMuch says whether a tenant would have more than its fair share of a cell that is nearly full.
func (c *Core) tooMuch(k *cell, t *tenant) bool {
	most := k.Open
	open := k.open
	if most == 0 {
		most, open = c.share(k), k.units
	}
	if most == 0 || open < most*3/4 {
		return false
	}
	sum := 0.0
	for _, o := range k.tenants {
		if o.open > 0 || o == t {
			sum += o.weight
		}
	}
	if sum <= t.weight {
		return false // nobody else is there to share with
	}
	return float64(t.open+1) > math.Ceil(float64(most)*float64(max(1, k.open))/float64(max(1, open))*t.weight/sum)
}

func (c *Core) away(k *cell, why Why, wait float64) Verdict {
	k.counts.Throttled++
	k.counts.By[why]++
	return Verdict{why, c.back(wait)}
}

// back words a time to come back: no longer than the settings allow, and spread.
func (c *Core) back(wait float64) float64 {
	if c.after <= 0 {
		return 0
	}
	return min(c.after, max(1, wait)*(1+spread*c.chance()))
}

// Ended is told of each scan that was taken, however it ended; took is how long it was open, in ms.
func (c *Core) Ended(now float64, name, who string, a Ask, took float64) {
	c.now = max(c.now, now)
	k := c.cells[name]
	if k == nil || k.open == 0 {
		return
	}
	k.open--
	k.units, c.open = k.units-max(1, a.Size), c.open-max(1, a.Size)
	k.work = max(0, k.work-a.Work)
	if k.open == 0 {
		k.work = 0 // no rounding is carried on
	}
	k.service += serviceGain * (took - k.service)
	if t := k.tenants[who]; t != nil && t.open > 0 {
		t.open--
	}
}

// Completed is told of each dispatch that completed: it earns a part of a retry.
func (c *Core) Completed(name string) {
	if k := c.cells[name]; k != nil {
		k.retries = min(k.RetrySpare, k.retries+k.RetryShare)
	}
}

// Retry is asked before each further dispatch of a cell's part.
func (c *Core) Retry(name string) bool {
	k := c.cells[name]
	if k == nil || k.RetryShare <= 0 && k.RetrySpare <= 0 {
		return k != nil
	}
	if k.retries < 1 {
		k.counts.RetriesRefused++
		return false
	}
	k.retries--
	return true
}

// forget releases tenants that have nothing open and have not come for a while.
func (c *Core) forget(k *cell) {
	for who, t := range k.tenants {
		if t.open == 0 && c.now-t.seen > tenantIdle {
			delete(k.tenants, who)
		}
	}
}

// Tidy releases what is gone. It is to be called now and then.
func (c *Core) Tidy(now float64) {
	c.now = max(c.now, now)
	for _, name := range c.names {
		c.forget(c.cells[name])
	}
}

// View is what is seen of a cell.
type View struct {
	Name    string  `json:"name"`
	Open    int     `json:"open"`
	Share   int     `json:"share"`
	Tenants int     `json:"tenants"`
	Work    float64 `json:"work"`
	Counts  Counts  `json:"counts"`
}

// Views lists the cells by name.
func (c *Core) Views() (all []View) {
	for _, name := range c.names {
		k := c.cells[name]
		all = append(all, View{Name: name, Open: k.open, Share: c.share(k), Tenants: len(k.tenants), Work: k.work, Counts: k.counts})
	}
	return all
}
