package verdicts

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Reports on tenants state which tenants brokers throttle, and why. They affect no decision: each broker enforces its own limits, and fleet-wide limits are
// divided separately. They let an operator see at any broker which tenants are throttled anywhere.

// TenantThrottled is a scan of a tenant that this broker rejected by a limit.
type TenantThrottled struct{ Tenant, Why string }

// Tenant is the state of a throttled tenant, for operators.
type Tenant struct {
	Tenant    string   `json:"tenant"`
	Observers []string `json:"observers"` // brokers with a fresh report that they throttle it
	Why       []string `json:"why"`       // limits that they name
	Scans     int      `json:"scans"`     // scans rejected according to their newest reports
	Age       float64  `json:"age"`       // ms since the newest report
}

const (
	tenantPrefix           = "tenant/" // prefix of tenants' names in reports; names of stores contain no slash
	maxTenants             = 1000      // most tenants that one broker reports on
	tenantReportIntervalMs = 1000.0    // least ms between two reports on one tenant
	maxLimitNameLength     = 60        // bytes
	maxThrottledCount      = 1_000_000
)

// tenantState holds what this broker has not reported yet of a tenant.
type tenantState struct {
	seq        uint64
	reportedAt float64
	times      int
	limit      string
}

// recordThrottled counts a rejected scan and reports the tenant at most once per interval.
func (c *Core) recordThrottled(v TenantThrottled) {
	name := tenantPrefix + v.Tenant
	if v.Tenant == "" || len(name) > maxNameLength {
		return
	}
	x := c.tenants[name]
	if x == nil {
		if len(c.tenants) >= maxTenants {
			c.Counts.Dropped++
			return
		}
		x = &tenantState{seq: uint64(max(0, c.now)), reportedAt: c.now - tenantReportIntervalMs}
		c.tenants[name] = x
	}
	x.times, x.limit = min(x.times+1, maxThrottledCount), v.Why[:min(len(v.Why), maxLimitNameLength)]
	if c.now < x.reportedAt+tenantReportIntervalMs {
		return
	}
	x.seq++
	c.Counts.Said++
	c.storeReport(Report{Store: name, Observer: c.rules.Self, Zone: c.rules.Zone, Run: c.rules.Run, Seq: x.seq, Kind: Throttled, Times: x.times, Why: x.limit}, c.now)
	x.reportedAt, x.times = c.now, 0
}

// valid reports whether a report is well-formed. One on a tenant counts no outcomes, one on a store no scans.
func (w Report) valid() bool {
	if w.Store == "" || w.Observer == "" || len(w.Store) > maxNameLength || len(w.Observer) > maxNameLength || !(w.Age >= 0) || w.Good < 0 || w.Bad < 0 || len(w.Why) > maxLimitNameLength {
		return false
	}
	if strings.HasPrefix(w.Store, tenantPrefix) {
		return w.Kind == Throttled && w.Good+w.Bad == 0 && w.Times > 0 && w.Times <= maxThrottledCount
	}
	return w.Kind >= Well && w.Kind <= Silent && w.Good+w.Bad <= maxOutcomes && w.Row >= 0 && w.Row <= w.Bad && w.Times == 0
}

// Tenants lists the tenants with fresh reports, the most throttled first.
func (c *Core) Tenants() (all []Tenant) {
	for _, name := range slices.Sorted(maps.Keys(c.reports)) {
		if !strings.HasPrefix(name, tenantPrefix) {
			continue
		}
		t := Tenant{Tenant: strings.TrimPrefix(name, tenantPrefix), Age: c.rules.Fresh}
		for _, by := range slices.Sorted(maps.Keys(c.reports[name])) {
			h := c.reports[name][by]
			if c.now-h.outcomeAt > c.rules.Fresh {
				continue
			}
			t.Observers, t.Scans, t.Age = append(t.Observers, by), t.Scans+h.Times, min(t.Age, c.now-h.outcomeAt)
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

// removeOldTenants removes tenants that are no longer throttled. New sequence numbers start from the clock, so that later reports have higher numbers.
func (c *Core) removeOldTenants() {
	maps.DeleteFunc(c.tenants, func(_ string, x *tenantState) bool { return c.now > x.reportedAt+retention*c.rules.Fresh })
}
