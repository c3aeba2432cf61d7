// Package quota decides whether a scan is admitted under the limits of its cell and its tenant, and when a throttled
// client should retry. It does no I/O and reads no clock: the caller passes the time, arrivals and ends of scans.
//
// Each cell has a share of the broker's open scans. A quarter of the share is reserved; the rest is lent to other cells
// while it is idle. A cell above its share must leave a margin of the capacity free, so that lent capacity returns to its
// owner as scans end. Within a cell tenants share by weight. Rates are token buckets (as in RFC 2697). Retries have a
// budget that is a fraction of the completed dispatches, so that retries do not overload a failing cell.
package quota

import (
	"cmp"
	"math"
	"slices"
)

// Limits are the limits of one cell. A field of 0 sets no limit.
type Limits struct {
	Rate   float64 // scans per second of the cell
	Burst  float64 // size of the token bucket
	Open   int     // maximum number of open scans
	Work   float64 // maximum outstanding work in ms
	Weight float64 // weight for the share of the broker's open scans; 0 means 1
	// RetryShare is the retry budget earned per completed dispatch; RetrySpare is the most that can accumulate. A retry is
	// a further dispatch of a part.
	RetryShare float64
	RetrySpare float64
	// TenantRate is the rate of one tenant in scans per second; TenantBurst is the size of its token bucket.
	TenantRate, TenantBurst float64
}

// Reason is the reason why a scan was throttled; Admitted if it was not.
type Reason uint8

const (
	Admitted Reason = iota
	CellRate
	TenantRate
	CellOpen
	CellWork
	BrokerOpen // the broker's capacity: no idle share is left to borrow
	TenantShare
	TooMany // too many tenants, or an unknown cell
)

var reasonTexts = [...]string{"admitted", "the cell's rate", "the tenant's rate", "the cell's open scans", "the cell's outstanding work",
	"the broker's open scans", "the tenant's share of the cell", "too many tenants"}

func (w Reason) String() string { return reasonTexts[w] }

// Request is what a scan requires.
type Request struct {
	Weight float64 // weight of its tenant within the cell; 0 means 1
	Work   float64 // ms, sum of all parts
	Size   int     // units of the broker's capacity: the scan and its parts; 0 means 1
}

// Verdict is the decision on a scan. RetryAfter is the time in ms after which a throttled client should retry.
type Verdict struct {
	Reason     Reason
	RetryAfter float64
}

// Counts are the counters of one cell, for operators.
type Counts struct {
	Taken          int              `json:"taken"`
	Throttled      int              `json:"throttled"`
	By             [TooMany + 1]int `json:"by"` // throttled scans by Reason
	RetriesRefused int              `json:"retries_refused"`
	Lent           int              `json:"lent"` // scans admitted beyond the cell's own share
}

type bucket struct {
	tokens, at float64
}

// take takes one token from a bucket with that rate per second and size. If there is none it returns the time in ms until
// there is one.
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
	weight   float64
	open     int
	lastSeen float64
}

type cell struct {
	Limits
	bucket
	open     int
	units    int // used units of the capacity
	work     float64
	retries  float64
	tenants  map[string]*tenant
	counts   Counts
	openTime float64 // moving average of the ms that a scan is open, on which retry times are based
}

// Limiter is the state of one broker. It is not safe for concurrent use.
type Limiter struct {
	cells         map[string]*cell
	names         []string
	capacity      int // maximum number of open scans and parts
	open          int // open scans and parts of all cells
	random        func() float64
	maxRetryAfter float64 // longest retry time in ms; 0 means that none is given
	now           float64
}

const (
	lendMargin      = 16     // a cell above its share must leave capacity/lendMargin free for cells below theirs
	maxTenants      = 100000 // maximum number of tracked tenants per cell
	tenantIdle      = 60000  // ms after which a tenant without open scans is evicted
	retryJitter     = 0.5    // random fraction added to a retry time, so that clients throttled together do not retry together
	openTimeGain    = 0.05   // weight of the newest scan in openTime
	initialOpenTime = 100.0  // ms, before any scan has ended
)

// New returns the limiter of a broker. Capacity is the maximum number of open scans and parts; 0 means no limit.
// MaxRetryAfter is the longest retry time in ms; 0 means that none is given. Random returns numbers between 0 and 1.
func New(capacity int, maxRetryAfter float64, cells map[string]Limits, random func() float64) *Limiter {
	c := &Limiter{cells: map[string]*cell{}, capacity: capacity, maxRetryAfter: maxRetryAfter, random: random}
	c.SetLimits(cells)
	return c
}

// SetLimits replaces the limits. Open scans stay open. A removed cell is dropped if it has no open scan.
func (c *Limiter) SetLimits(cells map[string]Limits) {
	for name, l := range cells {
		l.Weight = cmp.Or(max(0, l.Weight), 1)
		l.Burst, l.TenantBurst = max(1, l.Burst), max(1, l.TenantBurst)
		if old := c.cells[name]; old != nil {
			old.Limits = l
			continue
		}
		c.cells[name] = &cell{Limits: l, tenants: map[string]*tenant{}, bucket: bucket{tokens: l.Burst}, retries: l.RetrySpare, openTime: initialOpenTime}
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

// share returns a cell's share of the broker's capacity.
func (c *Limiter) share(k *cell) int {
	sum := 0.0
	for _, name := range c.names {
		sum += c.cells[name].Weight
	}
	return int(float64(c.capacity) * k.Weight / max(sum, 1e-9))
}

// hasCapacity reports whether a cell may open one more scan. The open units plus the unused reserves of the cells never
// exceed the broker's capacity, so a cell can always use its reserve.
func (c *Limiter) hasCapacity(k *cell, size int) bool {
	if c.capacity <= 0 || k.units+size <= c.reserve(k) {
		return true
	}
	reserved := 0
	for _, name := range c.names {
		if o := c.cells[name]; o != k {
			reserved += max(0, c.reserve(o)-o.units)
		}
	}
	if k.units+size > c.share(k) {
		reserved += max(1, c.capacity/lendMargin)
	}
	return c.open+reserved+size <= c.capacity
}

// reserve returns the part of a cell's share that is never lent.
func (c *Limiter) reserve(k *cell) int { return c.share(k) / 4 }

// Admit decides on a scan.
func (c *Limiter) Admit(now float64, name, who string, a Request) Verdict {
	work, size := a.Work, max(1, a.Size)
	c.now = max(c.now, now)
	k := c.cells[name]
	if k == nil {
		return Verdict{TooMany, c.retryAfter(c.maxRetryAfter)}
	}
	t := k.tenants[who]
	if t == nil {
		if len(k.tenants) >= maxTenants {
			c.evictIdleTenants(k)
		}
		if len(k.tenants) >= maxTenants {
			return c.reject(k, TooMany, c.maxRetryAfter)
		}
		t = &tenant{bucket: bucket{tokens: k.TenantBurst, at: c.now}}
		k.tenants[who] = t
	}
	t.lastSeen, t.weight = c.now, cmp.Or(max(0, a.Weight), 1)
	// A throttled scan must not use up tokens: checks without side effects come first, token buckets last.
	switch {
	case k.Open > 0 && k.open >= k.Open:
		return c.reject(k, CellOpen, k.openTime/float64(max(1, k.Open)))
	case k.Work > 0 && k.open > 0 && k.work+work > k.Work:
		return c.reject(k, CellWork, k.openTime*(k.work+work-k.Work)/k.Work)
	case !c.hasCapacity(k, size):
		return c.reject(k, BrokerOpen, k.openTime)
	case c.exceedsFairShare(k, t):
		return c.reject(k, TenantShare, k.openTime)
	}
	if k.TenantRate > 0 {
		if wait := t.take(c.now, k.TenantRate, k.TenantBurst); wait > 0 {
			return c.reject(k, TenantRate, wait)
		}
	}
	if k.Rate > 0 {
		if wait := k.take(c.now, k.Rate, k.Burst); wait > 0 {
			if k.TenantRate > 0 {
				t.tokens = min(k.TenantBurst, t.tokens+1)
			}
			return c.reject(k, CellRate, wait)
		}
	}
	if c.capacity > 0 && k.units+size > c.share(k) {
		k.counts.Lent++
	}
	k.counts.Taken++
	k.open++
	k.work += work
	t.open++
	k.units, c.open = k.units+size, c.open+size
	return Verdict{}
}

// exceedsFairShare reports whether one more scan would exceed the tenant's fair share of a cell that is nearly full.
func (c *Limiter) exceedsFairShare(k *cell, t *tenant) bool {
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
		return false // no other tenant has open scans
	}
	return float64(t.open+1) > math.Ceil(float64(most)*float64(max(1, k.open))/float64(max(1, open))*t.weight/sum)
}

func (c *Limiter) reject(k *cell, why Reason, wait float64) Verdict {
	k.counts.Throttled++
	k.counts.By[why]++
	return Verdict{why, c.retryAfter(wait)}
}

// retryAfter returns a retry time with jitter, limited to maxRetryAfter.
func (c *Limiter) retryAfter(wait float64) float64 {
	if c.maxRetryAfter <= 0 {
		return 0
	}
	return min(c.maxRetryAfter, max(1, wait)*(1+retryJitter*c.random()))
}

// ScanEnded records the end of an admitted scan; took is how long it was open, in ms.
func (c *Limiter) ScanEnded(now float64, name, who string, a Request, took float64) {
	c.now = max(c.now, now)
	k := c.cells[name]
	if k == nil || k.open == 0 {
		return
	}
	k.open--
	k.units, c.open = k.units-max(1, a.Size), c.open-max(1, a.Size)
	k.work = max(0, k.work-a.Work)
	if k.open == 0 {
		k.work = 0 // drops accumulated rounding errors
	}
	k.openTime += openTimeGain * (took - k.openTime)
	if t := k.tenants[who]; t != nil && t.open > 0 {
		t.open--
	}
}

// DispatchCompleted records a completed dispatch, which adds to the retry budget.
func (c *Limiter) DispatchCompleted(name string) {
	if k := c.cells[name]; k != nil {
		k.retries = min(k.RetrySpare, k.retries+k.RetryShare)
	}
}

// Retry reports whether the retry budget of a cell allows a further dispatch, and takes it from the budget.
func (c *Limiter) Retry(name string) bool {
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

// evictIdleTenants removes tenants without open scans that were not seen for tenantIdle.
func (c *Limiter) evictIdleTenants(k *cell) {
	for who, t := range k.tenants {
		if t.open == 0 && c.now-t.lastSeen > tenantIdle {
			delete(k.tenants, who)
		}
	}
}

// EvictIdle removes idle tenants of all cells. Call it periodically.
func (c *Limiter) EvictIdle(now float64) {
	c.now = max(c.now, now)
	for _, name := range c.names {
		c.evictIdleTenants(c.cells[name])
	}
}

// View is the state of a cell for operators.
type View struct {
	Name    string  `json:"name"`
	Open    int     `json:"open"`
	Share   int     `json:"share"`
	Tenants int     `json:"tenants"`
	Work    float64 `json:"work"`
	Counts  Counts  `json:"counts"`
}

// Views returns the state of the cells, sorted by name.
func (c *Limiter) Views() (all []View) {
	for _, name := range c.names {
		k := c.cells[name]
		all = append(all, View{Name: name, Open: k.open, Share: c.share(k), Tenants: len(k.tenants), Work: k.work, Counts: k.counts})
	}
	return all
}
