package verdicts

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Words on tenants say whom brokers hold back, and why. They weigh on no choice: each broker's limits are its own to keep, and those of the fleet are shared
// by themselves. They are there so that an operator at any broker sees who is turned away anywhere.

// HeldBack is a scan of a tenant that this broker turned away by a limit.
type HeldBack struct{ Tenant, Why string }

// Tenant is what is seen of one that is held back.
type Tenant struct {
	Tenant    string   `json:"tenant"`
	Observers []string `json:"observers"` // brokers that have held it back lately
	Why       []string `json:"why"`       // the limits that they name
	Scans     int      `json:"scans"`     // that all of them turned away in their last second
	Age       float64  `json:"age"`       // ms since the newest
}

const (
	tenantMark  = "tenant/" // begins the names of tenants among those of stores, which hold no slash
	tenantsMost = 1000      // that one broker has words on
	tenantEvery = 1000.0    // ms between two words on one
	whyMost     = 60        // bytes
	timesMost   = 1_000_000
)

// tenant is what this broker has not told yet.
type tenant struct {
	seq   uint64
	told  float64
	times int
	why   string
}

// heldBack counts a scan that was turned away, and says so once in a while.
func (c *Core) heldBack(v HeldBack) {
	name := tenantMark + v.Tenant
	if v.Tenant == "" || len(name) > nameMost {
		return
	}
	x := c.tenants[name]
	if x == nil {
		if len(c.tenants) >= tenantsMost {
			c.Counts.Dropped++
			return
		}
		x = &tenant{seq: uint64(max(0, c.now)), told: c.now - tenantEvery}
		c.tenants[name] = x
	}
	x.times, x.why = min(x.times+1, timesMost), v.Why[:min(len(v.Why), whyMost)]
	if c.now < x.told+tenantEvery {
		return
	}
	x.seq++
	c.Counts.Said++
	c.keep(Word{Store: name, Observer: c.r.Self, Zone: c.r.Zone, Run: c.r.Run, Seq: x.seq, Kind: Held, Times: x.times, Why: x.why}, c.now)
	x.told, x.times = c.now, 0
}

// sane says whether a word is possible. One on a tenant counts no outcomes, one on a store no scans.
func (w Word) sane() bool {
	if w.Store == "" || w.Observer == "" || len(w.Store) > nameMost || len(w.Observer) > nameMost || !(w.Age >= 0) || w.Good < 0 || w.Bad < 0 || len(w.Why) > whyMost {
		return false
	}
	if strings.HasPrefix(w.Store, tenantMark) {
		return w.Kind == Held && w.Good+w.Bad == 0 && w.Times > 0 && w.Times <= timesMost
	}
	return w.Kind >= Well && w.Kind <= Silent && w.Good+w.Bad <= outcomes && w.Row >= 0 && w.Row <= w.Bad && w.Times == 0
}

// Tenants lists who is held back by somebody, as far as that is fresh; who is held back most comes first.
func (c *Core) Tenants() (all []Tenant) {
	for _, name := range slices.Sorted(maps.Keys(c.words)) {
		if !strings.HasPrefix(name, tenantMark) {
			continue
		}
		t := Tenant{Tenant: strings.TrimPrefix(name, tenantMark), Age: c.r.Fresh}
		for _, by := range slices.Sorted(maps.Keys(c.words[name])) {
			h := c.words[name][by]
			if c.now-h.at > c.r.Fresh {
				continue
			}
			t.Observers, t.Scans, t.Age = append(t.Observers, by), t.Scans+h.Times, min(t.Age, c.now-h.at)
			if !slices.Contains(t.Why, h.Why) {
				t.Why = append(t.Why, h.Why)
			}
		}
		if len(t.Observers) > 0 {
			all = append(all, t)
		}
	}
	slices.SortStableFunc(all, func(a, b Tenant) int { return cmp.Compare(b.Scans, a.Scans) })
	return all
}

// forgetTenants lets go of those who are not held back any more. Their numbers go on from the clock, so that a later word is later.
func (c *Core) forgetTenants() {
	maps.DeleteFunc(c.tenants, func(_ string, x *tenant) bool { return c.now > x.told+keepFor*c.r.Fresh })
}
