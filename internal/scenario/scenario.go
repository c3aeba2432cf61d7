// Package scenario reads and validates the HCL documents of rehearsals: a fleet, its traffic, a schedule of faults and the
// expected figures. It reads files but runs nothing; each error names the file, line and key.
package scenario

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"gullstair/internal/emulator"
	"gullstair/scenarios"
)

// Scenario is a validated rehearsal, ready to run in the emulator.
type Scenario struct {
	Name, About string
	Length      float64 // ms of traffic
	Fleet       emulator.Fleet
	Faults      []emulator.Fault
	Expect      []Expectation
}

// Expectation bounds one figure of a run. A negative Least or Most sets no bound on that side.
type Expectation struct {
	Figure      string // a key of figureByName
	Least, Most float64
}

// Check returns a message for each expectation that the figures do not meet.
func (s *Scenario) Check(f emulator.Figures) (failed []string) {
	for _, e := range s.Expect {
		x := figureByName[e.Figure](f)
		if e.Least >= 0 && x < e.Least {
			failed = append(failed, fmt.Sprintf("%s is %.4g, at least %.4g was expected", e.Figure, x, e.Least))
		}
		if e.Most >= 0 && x > e.Most {
			failed = append(failed, fmt.Sprintf("%s is %.4g, at most %.4g was expected", e.Figure, x, e.Most))
		}
	}
	return failed
}

var figureByName = map[string]func(emulator.Figures) float64{
	"service":    func(f emulator.Figures) float64 { return f.Service },
	"worst_10s":  func(f emulator.Figures) float64 { return f.Worst10s },
	"worst_type": func(f emulator.Figures) float64 { return f.WorstType },
	"wasted":     func(f emulator.Figures) float64 { return f.Wasted },
	"dispatches": func(f emulator.Figures) float64 { return f.Dispatches },
	"p99_ms":     func(f emulator.Figures) float64 { return f.P99 },
	// Both give the service level of the worst served tenant: other_cells among the tenants outside the abuser's cell,
	// worst_tenant among all tenants except the abuser.
	"other_cells":  func(f emulator.Figures) float64 { return f.OtherCells },
	"worst_tenant": func(f emulator.Figures) float64 { return f.WorstTenant },
}

type document struct {
	Base    string        `hcl:"base,optional"`
	About   string        `hcl:"about,optional"`
	Length  string        `hcl:"length,optional"`
	Fleet   *fleet        `hcl:"fleet,block"`
	Types   []tableType   `hcl:"table_type,block"`
	Faults  []fault       `hcl:"fault,block"`
	Expect  []expectBlock `hcl:"expect,block"`
	Traffic *traffic      `hcl:"traffic,block"`
	Cells   *cells        `hcl:"cells,block"`
	Limits  []limit       `hcl:"limit,block"`
	Sharing *sharingBlock `hcl:"sharing,block"`
}

// sharingBlock selects what brokers exchange with each other.
type sharingBlock struct {
	Notes    bool `hcl:"notes,optional"`
	Verdicts bool `hcl:"verdicts,optional"`
}

type limit struct {
	Name  string   `hcl:"name,label"`
	For   string   `hcl:"for"`
	Rate  *float64 `hcl:"scans_per_s,optional"`
	Burst *float64 `hcl:"burst,optional"`
	Open  *int     `hcl:"open_scans,optional"`
	Term  string   `hcl:"term,optional"`
}

type cells struct {
	Count   int      `hcl:"count"`
	Holders *int     `hcl:"holders,optional"`
	Least   *float64 `hcl:"least_share,optional"`
	Open    *int     `hcl:"open_scans,optional"`
	Rate    *float64 `hcl:"scans_per_s,optional"`
}

type fleet struct {
	Zones          []string `hcl:"zones"`
	Cells          int      `hcl:"cells"`
	Reach          int      `hcl:"reach,optional"`
	Shards         int      `hcl:"shards"`
	Stores         int      `hcl:"stores"`
	Brokers        int      `hcl:"brokers"`
	CallWork       *float64 `hcl:"call_work_ms,optional"`
	Cancel         string   `hcl:"cancel,optional"`
	Cold           *float64 `hcl:"cold_s,optional"`
	ColdFrom       *float64 `hcl:"cold_from,optional"`
	FallMultiple   *float64 `hcl:"fall_multiple,optional"`
	PauseEvery     *float64 `hcl:"pause_every_s,optional"`
	PauseFor       *float64 `hcl:"pause_ms,optional"`
	Dispatches     *int     `hcl:"dispatches,optional"`
	SecondCopies   bool     `hcl:"second_copies,optional"`
	ListLag        *float64 `hcl:"list_lag_ms,optional"`
	SilentLag      *float64 `hcl:"silent_lag_ms,optional"`
	Batch          *int     `hcl:"batch,optional"`
	BudgetWindow   *float64 `hcl:"budget_window_s,optional"`
	BudgetSpare    *int     `hcl:"budget_spare,optional"`
	BudgetShare    *float64 `hcl:"budget_share,optional"`
	ConnectTimeout *float64 `hcl:"connect_timeout_ms,optional"`
	Kinds          []kind   `hcl:"kind,block"`
}

type kind struct {
	Name  string   `hcl:"name,label"`
	Share *float64 `hcl:"share,optional"`
	Cores int      `hcl:"cores"`
	Speed float64  `hcl:"speed"`
	Queue *int     `hcl:"queue,optional"`
}

type tableType struct {
	Name        string   `hcl:"name,label"`
	Share       float64  `hcl:"share"`
	Parts       int      `hcl:"parts"`
	Work        float64  `hcl:"work_ms"`
	Spread      *float64 `hcl:"work_spread,optional"`
	Target      float64  `hcl:"target_ms"`
	Timeout     float64  `hcl:"timeout_ms"`
	Benefit     float64  `hcl:"benefit"`
	LateBenefit float64  `hcl:"late_benefit,optional"`
	Effect      string   `hcl:"effect"`
	Repeat      float64  `hcl:"repeat_window_ms,optional"`
	Floor       *float64 `hcl:"least_share,optional"`
	Fetch       int      `hcl:"fetch,optional"`
	FetchWork   *float64 `hcl:"fetch_work,optional"`
}

type traffic struct {
	Rate     float64  `hcl:"scans_per_s"`
	Patience *float64 `hcl:"patience_least,optional"`
	Retries  *float64 `hcl:"retries,optional"`
	Backoff  *float64 `hcl:"backoff_ms,optional"`
	Skew     *float64 `hcl:"skew,optional"`

	Tenants    int      `hcl:"tenants,optional"`
	TenantSkew *float64 `hcl:"tenant_skew,optional"`
	TenantRate *float64 `hcl:"tenant_scans_per_s,optional"`
}

type fault struct {
	Kind   string   `hcl:"kind,label"`
	At     string   `hcl:"at"`
	For    string   `hcl:"for"`
	Share  *float64 `hcl:"share,optional"`
	Size   *float64 `hcl:"size,optional"`
	Zone   string   `hcl:"zone,optional"`
	Stores []string `hcl:"stores,optional"`
}

type expectBlock struct {
	Figure string   `hcl:"figure,label"`
	Least  *float64 `hcl:"least,optional"`
	Most   *float64 `hcl:"most,optional"`
}

// Read reads and validates the scenario in the file at path.
func Read(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return Parse(text, path)
}

// Parse parses and validates a scenario's text; path is used in error messages and to find the base scenario.
func Parse(text []byte, path string) (*Scenario, error) {
	raw, c, err := decode(text, path)
	if err != nil {
		return nil, err
	}
	if raw.Base != "" {
		if err := c.mergeBase(raw, path); err != nil {
			return nil, err
		}
	}
	s := c.scenario(raw)
	s.Name = strings.TrimSuffix(c.name, ".hcl")
	return s, c.err
}

func decode(text []byte, path string) (*document, *checker, error) {
	name := filepath.Base(path)
	file, diags := hclparse.NewParser().ParseHCL(text, name)
	var raw document
	if !diags.HasErrors() {
		diags = gohcl.DecodeBody(file.Body, nil, &raw)
	}
	for _, d := range diags {
		if d.Severity == hcl.DiagError {
			line := 1
			if d.Subject != nil {
				line = d.Subject.Start.Line
			}
			return nil, nil, fmt.Errorf("%s:%d: %s: %s", name, line, d.Summary, d.Detail)
		}
	}
	return &raw, &checker{name: name, body: file.Body.(*hclsyntax.Body)}, nil
}

// mergeBase copies from the base scenario the whole blocks that a scenario does not define itself. Faults and expectations
// are not inherited. The base is a file in the same folder, or one that is embedded in the program.
func (c *checker) mergeBase(raw *document, path string) error {
	file := strings.TrimSuffix(raw.Base, ".hcl") + ".hcl"
	text, err := os.ReadFile(filepath.Join(filepath.Dir(path), file))
	if err != nil {
		text, err = scenarios.Files.ReadFile(filepath.Base(file))
	}
	if err != nil {
		c.reportError("", 0, "base", "there is no scenario %q in the same folder or in the program", raw.Base)
		return c.err
	}
	base, baseCheck, err := decode(text, file)
	if err != nil {
		return err
	}
	if base.Base != "" {
		c.reportError("", 0, "base", "%s has a base of its own, which a base may not have", raw.Base)
		return c.err
	}
	if baseCheck.scenario(base); baseCheck.err != nil {
		return baseCheck.err // names the line in the base file
	}
	raw.Length = cmp.Or(raw.Length, base.Length)
	raw.Fleet, raw.Traffic, raw.Cells = cmp.Or(raw.Fleet, base.Fleet), cmp.Or(raw.Traffic, base.Traffic), cmp.Or(raw.Cells, base.Cells)
	if len(raw.Types) == 0 {
		raw.Types = base.Types
	}
	raw.Sharing = cmp.Or(raw.Sharing, base.Sharing)
	if len(raw.Limits) == 0 {
		raw.Limits = base.Limits
	}
	return nil
}

// checker validates a document and keeps the first error.
type checker struct {
	name string
	body *hclsyntax.Body
	err  error
}

// reportError records an error unless there is one already. It refers to a key of the nth block of type block, or of the
// document itself if block is empty.
func (c *checker) reportError(block string, nth int, key, format string, args ...any) {
	if c.err != nil {
		return
	}
	body, line, where := c.body, 1, key
	if block != "" {
		k := 0
		for _, b := range c.body.Blocks {
			if b.Type != block {
				continue
			}
			if k == nth {
				body, line = b.Body, b.TypeRange.Start.Line
				where = strings.TrimSpace(block + " " + strings.Join(b.Labels, " "))
				if key != "" {
					where += "." + key
				}
			}
			k++
		}
	}
	if a := body.Attributes[key]; a != nil {
		line = a.NameRange.Start.Line
	}
	c.err = fmt.Errorf("%s:%d: %s: %s", c.name, line, where, fmt.Sprintf(format, args...))
}

// number checks that *x lies in a range and returns it; if x is nil, it returns the default, fallback.
func (c *checker) number(block string, nth int, key string, x *float64, least, most, fallback float64) float64 {
	if x == nil {
		return fallback
	}
	if !(*x >= least && *x <= most) {
		c.reportError(block, nth, key, "%v is not from %v to %v", *x, least, most)
	}
	return *x
}

// count checks that *x lies in a range and returns it; if x is nil, it returns the default, fallback.
func (c *checker) count(block string, nth int, key string, x *int, least, most, fallback int) int {
	if x == nil {
		return fallback
	}
	if *x < least || *x > most {
		c.reportError(block, nth, key, "%d is not from %d to %d", *x, least, most)
	}
	return *x
}

// duration parses a duration, checks its range and returns it in ms.
func (c *checker) duration(block string, nth int, key, text string, least, most time.Duration) float64 {
	d, err := time.ParseDuration(text)
	if err != nil || d < least || d > most {
		c.reportError(block, nth, key, "%q is not a duration from %v to %v", text, least, most)
	}
	return float64(d) / 1e6
}

func (c *checker) scenario(raw *document) *Scenario {
	s := &Scenario{About: raw.About, Length: c.duration("", 0, "length", raw.Length, time.Second, 2*time.Hour)}
	if raw.Fleet == nil {
		c.reportError("", 0, "fleet", "a fleet block is required")
		return s
	}
	if raw.Traffic == nil {
		c.reportError("", 0, "traffic", "a traffic block is required")
		return s
	}
	c.fleet(raw, &s.Fleet)
	for i, y := range raw.Types {
		c.tableType(i, y, &s.Fleet)
	}
	if len(raw.Types) == 0 {
		c.reportError("", 0, "table_type", "a table_type block is required")
	}
	t := raw.Traffic
	s.Fleet.Traffic = emulator.Traffic{Rate: c.number("traffic", 0, "scans_per_s", &t.Rate, 0.1, 100000, 0),
		MinPatience: c.number("traffic", 0, "patience_least", t.Patience, 0.05, 1, 0.7), RetryChance: c.number("traffic", 0, "retries", t.Retries, 0, 1, 0.5),
		Backoff: c.number("traffic", 0, "backoff_ms", t.Backoff, 0, 60000, 200), HeedRetryAfter: 0.6, ShardSkew: c.number("traffic", 0, "skew", t.Skew, 0, 3, 0.2)}
	s.Fleet.Traffic.Tenants = c.count("traffic", 0, "tenants", &t.Tenants, 0, 10000, 0)
	s.Fleet.Traffic.TenantSkew = c.number("traffic", 0, "tenant_skew", t.TenantSkew, 0, 5, 1)
	s.Fleet.Traffic.TenantEntitledRate = c.number("traffic", 0, "tenant_scans_per_s", t.TenantRate, 0.01, 1e6, 1e6)
	if k := raw.Cells; k != nil {
		s.Fleet.TenantCells = emulator.TenantCells{Count: c.count("cells", 0, "count", &k.Count, 1, 256, 0), Holders: c.count("cells", 0, "holders", k.Holders, 1, 100, 2),
			MinHolderShare: c.number("cells", 0, "least_share", k.Least, 0.01, 1, 0.5), MaxOpenScans: c.count("cells", 0, "open_scans", k.Open, 1, 1000000, 0),
			MaxScanRate: c.number("cells", 0, "scans_per_s", k.Rate, 0.1, 1e6, 0)}
	}
	if raw.Sharing != nil {
		s.Fleet.PeerNotes, s.Fleet.SharedVerdicts = raw.Sharing.Notes, raw.Sharing.Verdicts
	}
	for i, l := range raw.Limits {
		s.Fleet.Limits = append(s.Fleet.Limits, c.limit(i, l))
	}
	for i, f := range raw.Faults {
		s.Faults = append(s.Faults, c.faultBlock(i, f, s))
	}
	for i, e := range raw.Expect {
		x := Expectation{Figure: e.Figure, Least: c.number("expect", i, "least", e.Least, 0, 1e9, -1), Most: c.number("expect", i, "most", e.Most, 0, 1e9, -1)}
		if figureByName[e.Figure] == nil {
			c.reportError("expect", i, "", "unknown figure")
		}
		if e.Least == nil && e.Most == nil {
			c.reportError("expect", i, "", "least or most is required")
		}
		s.Expect = append(s.Expect, x)
	}
	return s
}

// limit validates a limit that applies to all brokers together.
func (c *checker) limit(i int, l limit) emulator.FleetLimit {
	x := emulator.FleetLimit{Name: l.Name, Scope: l.For, Rate: c.number("limit", i, "scans_per_s", l.Rate, 0.001, 1e6, 0), MaxOpen: c.count("limit", i, "open_scans", l.Open, 1, 1000000, 0),
		LoanTerm: c.duration("limit", i, "term", cmp.Or(l.Term, "1s"), 100*time.Millisecond, time.Minute)}
	x.Burst = c.number("limit", i, "burst", l.Burst, 1, 1e6, max(1, x.Rate/5))
	if !slices.Contains([]string{"fleet", "cell", "tenant"}, l.For) {
		c.reportError("limit", i, "for", "%q is not fleet, cell or tenant", l.For)
	}
	if (l.Rate == nil) == (l.Open == nil) {
		c.reportError("limit", i, "", "exactly one of scans_per_s and open_scans is required")
	}
	return x
}

func (c *checker) fleet(raw *document, f *emulator.Fleet) {
	r := raw.Fleet
	if r.Reach == 0 {
		r.Reach = 1
	}
	*f = emulator.Fleet{Zones: r.Zones, Cells: c.count("fleet", 0, "cells", &r.Cells, 1, 10000, 0), Reach: r.Reach,
		Shards: c.count("fleet", 0, "shards", &r.Shards, 1, 100000, 0), Stores: c.count("fleet", 0, "stores", &r.Stores, 1, 5000, 0),
		Brokers: c.count("fleet", 0, "brokers", &r.Brokers, 1, 1000, 0), SameZoneDelay: 0.2, CrossZoneDelay: 0.6, DelayJitter: 0.1, ClientDelay: 0.5,
		ConnectTimeout: c.number("fleet", 0, "connect_timeout_ms", r.ConnectTimeout, 1, 60000, 250), ConnIdle: 30000, TurnInterval: 5,
		MaxBatch: c.count("fleet", 0, "batch", r.Batch, 1, 1000, 4), MaxDispatches: c.count("fleet", 0, "dispatches", r.Dispatches, 1, 20, 4),
		OpenCap: 5000, SecondCopies: r.SecondCopies, RetryAfter: true, MaxRetryAfter: 1000, DrainGrace: 500,
		ListLag: c.number("fleet", 0, "list_lag_ms", r.ListLag, 0, 60000, 800), ListLagSpread: 400,
		VanishedListLag: c.number("fleet", 0, "silent_lag_ms", r.SilentLag, 0, 600000, 6000), BrokerDownLag: 2000,
		StoreModel: emulator.Behavior{CallWork: c.number("fleet", 0, "call_work_ms", r.CallWork, 0, 10000, 5), CancelMode: "queued", RepeatWindow: 2500,
			ReportInterval: 500, ConnWork: 1, MaxConns: 2000, WarmUp: 1000 * c.number("fleet", 0, "cold_s", r.Cold, 0, 3600, 10),
			StartCapacity: c.number("fleet", 0, "cold_from", r.ColdFrom, 0.01, 1, 0.2), OverloadWindow: 3000,
			OverloadMultiple: c.number("fleet", 0, "fall_multiple", r.FallMultiple, 1, 100, 2.5),
			PauseInterval:    1000 * c.number("fleet", 0, "pause_every_s", r.PauseEvery, 0.1, 3600, 0),
			PauseDuration:    c.number("fleet", 0, "pause_ms", r.PauseFor, 0, 60000, 0)}}
	f.BudgetWindow = 1000 * c.number("fleet", 0, "budget_window_s", r.BudgetWindow, 0.1, 3600, 0)
	f.BudgetSpare = c.count("fleet", 0, "budget_spare", r.BudgetSpare, 0, 1000000, 0)
	f.BudgetShare = c.number("fleet", 0, "budget_share", r.BudgetShare, 0, 10, 0)
	if f.BudgetWindow == 0 && (r.BudgetSpare != nil || r.BudgetShare != nil) {
		c.reportError("fleet", 0, "budget_spare", "a budget requires budget_window_s")
	}
	if len(r.Zones) == 0 {
		c.reportError("fleet", 0, "zones", "at least one zone is required")
	}
	if r.Cells > r.Stores {
		c.reportError("fleet", 0, "cells", "%d cells and %d stores: each shard needs a store", r.Cells, r.Stores)
	}
	if r.Reach < 1 || r.Reach > max(1, r.Cells) {
		c.reportError("fleet", 0, "reach", "%d is not from 1 to the %d cells", r.Reach, r.Cells)
	}
	if r.Cancel != "" {
		if f.StoreModel.CancelMode = r.Cancel; !slices.Contains([]string{"none", "queued", "all"}, r.Cancel) {
			c.reportError("fleet", 0, "cancel", "%q is not none, queued or all", r.Cancel)
		}
	}
	if f.StoreModel.PauseInterval > 0 && f.StoreModel.PauseDuration >= f.StoreModel.PauseInterval {
		c.reportError("fleet", 0, "pause_ms", "a pause of %v ms every %v ms leaves no time to work", f.StoreModel.PauseDuration, f.StoreModel.PauseInterval)
	}
	for _, k := range r.Kinds {
		share, queue := 1.0, 40
		if k.Share != nil {
			share = *k.Share
		}
		if k.Queue != nil {
			queue = *k.Queue
		}
		if k.Cores < 1 || k.Cores > 1024 || !(k.Speed > 0.001 && k.Speed < 1000) || !(share > 0) || queue < 0 {
			c.reportError("fleet", 0, "", "kind %s: its cores, speed, share or queue is out of range", k.Name)
		}
		f.Kinds = append(f.Kinds, emulator.KindShare{MachineKind: emulator.MachineKind{Name: k.Name, Cores: k.Cores, Speed: k.Speed, QueueSize: queue}, Share: share})
	}
	if len(f.Kinds) == 0 {
		f.Kinds = []emulator.KindShare{{MachineKind: emulator.MachineKind{Name: "std", Cores: 2, Speed: 1, QueueSize: 40}, Share: 1}}
	}
}

func (c *checker) tableType(i int, y tableType, f *emulator.Fleet) {
	block := "table_type"
	t := emulator.TableType{Name: y.Name, Share: c.number(block, i, "share", &y.Share, 0.0001, 1e6, 0), Parts: c.count(block, i, "parts", &y.Parts, 1, 1000, 0),
		Work: c.number(block, i, "work_ms", &y.Work, 0.001, 1e6, 0), Spread: c.number(block, i, "work_spread", y.Spread, 0, 0.99, 0.3),
		Target: c.number(block, i, "target_ms", &y.Target, 1, 1e6, 0), Timeout: c.number(block, i, "timeout_ms", &y.Timeout, 1, 1e6, 0),
		Benefit: c.number(block, i, "benefit", &y.Benefit, 0.0001, 1e6, 0), LateBenefit: c.number(block, i, "late_benefit", &y.LateBenefit, 0, 1, 0),
		Effect: y.Effect, RepeatWindow: c.number(block, i, "repeat_window_ms", &y.Repeat, 0, 1e6, 0), Need: 1,
		Floor: c.number(block, i, "least_share", y.Floor, 0.01, 1, 1), PartialBenefit: 0.9, Fetch: y.Fetch, FetchWork: c.number(block, i, "fetch_work", y.FetchWork, 0.01, 10, 0.5)}
	if !slices.Contains([]string{"replayable", "keyed", "non-replayable"}, y.Effect) {
		c.reportError(block, i, "effect", "%q is not replayable, keyed or non-replayable", y.Effect)
	}
	if y.Timeout < y.Target {
		c.reportError(block, i, "timeout_ms", "it is less than target_ms")
	}
	if y.Parts > f.Shards {
		c.reportError(block, i, "parts", "%d parts, but there are %d shards", y.Parts, f.Shards)
	}
	if y.Fetch < 0 || y.Fetch > y.Parts {
		c.reportError(block, i, "fetch", "%d is not from 0 to the %d parts", y.Fetch, y.Parts)
	}
	f.Types = append(f.Types, t)
}

// faultBlock validates a fault. It rejects a fault that leaves no store running, since there is nothing to rehearse then.
func (c *checker) faultBlock(i int, f fault, s *Scenario) emulator.Fault {
	x := emulator.Fault{Kind: f.Kind, At: c.duration("fault", i, "at", f.At, 0, 2*time.Hour), For: c.duration("fault", i, "for", f.For, time.Millisecond, 2*time.Hour),
		Share: c.number("fault", i, "share", f.Share, 0.0001, 1, 0.25), Size: c.number("fault", i, "size", f.Size, 0, 1e6, defaultSizes[f.Kind]), Zone: f.Zone, Stores: f.Stores}
	if _, known := emulator.FaultKinds[f.Kind]; !known {
		c.reportError("fault", i, "", "unknown kind of fault; the kinds are: %s", strings.Join(faultKinds(), ", "))
	}
	if x.At >= s.Length {
		c.reportError("fault", i, "at", "it begins after the end of the run, %v ms", s.Length)
	}
	if f.Zone != "" && !slices.Contains(s.Fleet.Zones, f.Zone) {
		c.reportError("fault", i, "zone", "there is no zone %q", f.Zone)
	}
	if slices.Contains([]string{"one_way_loss", "one_sided", "neighbour", "fails", "resets", "spoils", "hot_key", "broker_loss"}, f.Kind) && x.Size > 1 {
		c.reportError("fault", i, "size", "%v is not a share from 0 to 1", x.Size)
	}
	if (f.Kind == "die" || f.Kind == "vanish") && (x.Share >= 1 || len(f.Stores) >= s.Fleet.Stores) {
		c.reportError("fault", i, "share", "no store is left")
	}
	for _, name := range f.Stores {
		var n int
		if _, err := fmt.Sscanf(name, "s-%04d", &n); err != nil || n < 0 || n >= s.Fleet.Stores || name != fmt.Sprintf("s-%04d", n) {
			c.reportError("fault", i, "stores", "there is no store %q; they are s-0000 to s-%04d", name, s.Fleet.Stores-1)
		}
	}
	return x
}

// defaultSizes holds the size of each kind of fault whose block states none.
var defaultSizes = map[string]float64{"one_way_loss": 1, "one_sided": 0.8, "release": 0.1, "slow": 5, "neighbour": 0.6, "fails": 0.5,
	"resets": 0.3, "spoils": 0.3, "lies": 5, "stale_list": 5000, "hot_key": 0.3, "traffic": 2, "abuse": 3, "broker_loss": 0.3}

func faultKinds() (all []string) {
	for k := range emulator.FaultKinds {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}
