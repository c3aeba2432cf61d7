// Package scenario reads a rehearsal's document: a fleet, its traffic, a time line of faults and what is expected. It is
// the one place where such documents are read and checked; an error names file, line and key.
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

// Scenario is one rehearsal.
type Scenario struct {
	Name, About string
	Length      float64 // ms of traffic
	Fleet       emulator.Fleet
	Faults      []emulator.Fault
	Expect      []Expectation
}

// Expectation bounds one figure; below 0: that side is open.
type Expectation struct {
	Figure      string // service, worst_10s, worst_type, wasted, dispatches, p99_ms
	Least, Most float64
}

// Check says which expectations the figures fail.
func (s *Scenario) Check(f emulator.Figures) (failed []string) {
	for _, e := range s.Expect {
		x := figures[e.Figure](f)
		if e.Least >= 0 && x < e.Least {
			failed = append(failed, fmt.Sprintf("%s is %.4g, at least %.4g was expected", e.Figure, x, e.Least))
		}
		if e.Most >= 0 && x > e.Most {
			failed = append(failed, fmt.Sprintf("%s is %.4g, at most %.4g was expected", e.Figure, x, e.Most))
		}
	}
	return failed
}

var figures = map[string]func(emulator.Figures) float64{
	"service":    func(f emulator.Figures) float64 { return f.Service },
	"worst_10s":  func(f emulator.Figures) float64 { return f.Worst10s },
	"worst_type": func(f emulator.Figures) float64 { return f.WorstType },
	"wasted":     func(f emulator.Figures) float64 { return f.Wasted },
	"dispatches": func(f emulator.Figures) float64 { return f.Dispatches },
	"p99_ms":     func(f emulator.Figures) float64 { return f.P99 },
	// The service of the tenant served worst: of those in other cells than an abuser's, and of all but the abuser.
	"other_cells":  func(f emulator.Figures) float64 { return f.OtherCells },
	"worst_tenant": func(f emulator.Figures) float64 { return f.WorstTenant },
}

type document struct {
	Base   string   `hcl:"base,optional"`
	About  string   `hcl:"about,optional"`
	Length string   `hcl:"length,optional"`
	Fleet  *fleet   `hcl:"fleet,block"`
	Types  []typ    `hcl:"table_type,block"`
	Faults []fault  `hcl:"fault,block"`
	Expect []expect `hcl:"expect,block"`
	Clock  *traffic `hcl:"traffic,block"`
	Cells  *cells   `hcl:"cells,block"`
	Limits []limit  `hcl:"limit,block"`
	Shared *shared  `hcl:"sharing,block"`
}

// shared is what brokers tell each other.
type shared struct {
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

type typ struct {
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

type expect struct {
	Figure string   `hcl:"figure,label"`
	Least  *float64 `hcl:"least,optional"`
	Most   *float64 `hcl:"most,optional"`
}

// Read reads a scenario from a file.
func Read(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return Parse(text, path)
}

// Parse reads a scenario's text.
func Parse(text []byte, path string) (*Scenario, error) {
	raw, c, err := read(text, path)
	if err != nil {
		return nil, err
	}
	if raw.Base != "" {
		if err := c.extend(raw, path); err != nil {
			return nil, err
		}
	}
	s := c.scenario(raw)
	s.Name = strings.TrimSuffix(c.name, ".hcl")
	return s, c.err
}

func read(text []byte, path string) (*document, *check, error) {
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
	return &raw, &check{name: name, body: file.Body.(*hclsyntax.Body)}, nil
}

// extend takes from its base, whole, whatever blocks a scenario does not have itself. Faults and expectations are its own alone. The base stands beside it, or
// comes with the program.
func (c *check) extend(raw *document, path string) error {
	file := strings.TrimSuffix(raw.Base, ".hcl") + ".hcl"
	text, err := os.ReadFile(filepath.Join(filepath.Dir(path), file))
	if err != nil {
		text, err = scenarios.Files.ReadFile(filepath.Base(file))
	}
	if err != nil {
		c.fault("", 0, "base", "there is no scenario %q beside this one, nor with the program", raw.Base)
		return c.err
	}
	base, its, err := read(text, file)
	if err != nil {
		return err
	}
	if base.Base != "" {
		c.fault("", 0, "base", "%s has a base itself; one step is all there is", raw.Base)
		return c.err
	}
	if its.scenario(base); its.err != nil {
		return its.err // it names the base's line
	}
	raw.Length = cmp.Or(raw.Length, base.Length)
	raw.Fleet, raw.Clock, raw.Cells = cmp.Or(raw.Fleet, base.Fleet), cmp.Or(raw.Clock, base.Clock), cmp.Or(raw.Cells, base.Cells)
	if len(raw.Types) == 0 {
		raw.Types = base.Types
	}
	raw.Shared = cmp.Or(raw.Shared, base.Shared)
	if len(raw.Limits) == 0 {
		raw.Limits = base.Limits
	}
	return nil
}

type check struct {
	name string
	body *hclsyntax.Body
	err  error
}

// fault notes the first fault: the nth block of a type, or the document itself where typ is empty.
func (c *check) fault(typ string, nth int, key, format string, args ...any) {
	if c.err != nil {
		return
	}
	body, line, where := c.body, 1, key
	if typ != "" {
		k := 0
		for _, b := range c.body.Blocks {
			if b.Type != typ {
				continue
			}
			if k == nth {
				body, line = b.Body, b.TypeRange.Start.Line
				where = strings.TrimSpace(typ + " " + strings.Join(b.Labels, " "))
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

func (c *check) num(typ string, nth int, key string, x *float64, least, most, other float64) float64 {
	if x == nil {
		return other
	}
	if !(*x >= least && *x <= most) {
		c.fault(typ, nth, key, "%v is not from %v to %v", *x, least, most)
	}
	return *x
}

func (c *check) count(typ string, nth int, key string, x *int, least, most, other int) int {
	if x == nil {
		return other
	}
	if *x < least || *x > most {
		c.fault(typ, nth, key, "%d is not from %d to %d", *x, least, most)
	}
	return *x
}

func (c *check) span(typ string, nth int, key, text string, least, most time.Duration) float64 {
	d, err := time.ParseDuration(text)
	if err != nil || d < least || d > most {
		c.fault(typ, nth, key, "%q is no time from %v to %v", text, least, most)
	}
	return float64(d) / 1e6
}

func (c *check) scenario(raw *document) *Scenario {
	s := &Scenario{About: raw.About, Length: c.span("", 0, "length", raw.Length, time.Second, 2*time.Hour)}
	if raw.Fleet == nil {
		c.fault("", 0, "fleet", "a fleet block is needed")
		return s
	}
	if raw.Clock == nil {
		c.fault("", 0, "traffic", "a traffic block is needed")
		return s
	}
	c.fleet(raw, &s.Fleet)
	for i, y := range raw.Types {
		c.typ(i, y, &s.Fleet)
	}
	if len(raw.Types) == 0 {
		c.fault("", 0, "table_type", "a table_type block is needed")
	}
	t := raw.Clock
	s.Fleet.Traffic = emulator.Traffic{Rate: c.num("traffic", 0, "scans_per_s", &t.Rate, 0.1, 100000, 0),
		PatienceLeast: c.num("traffic", 0, "patience_least", t.Patience, 0.05, 1, 0.7), Retries: c.num("traffic", 0, "retries", t.Retries, 0, 1, 0.5),
		Backoff: c.num("traffic", 0, "backoff_ms", t.Backoff, 0, 60000, 200), Heed: 0.6, Skew: c.num("traffic", 0, "skew", t.Skew, 0, 3, 0.2)}
	s.Fleet.Traffic.Tenants = c.count("traffic", 0, "tenants", &t.Tenants, 0, 10000, 0)
	s.Fleet.Traffic.TenantSkew = c.num("traffic", 0, "tenant_skew", t.TenantSkew, 0, 5, 1)
	s.Fleet.Traffic.TenantPerSecond = c.num("traffic", 0, "tenant_scans_per_s", t.TenantRate, 0.01, 1e6, 1e6)
	if k := raw.Cells; k != nil {
		s.Fleet.Confined = emulator.Cells{Count: c.count("cells", 0, "count", &k.Count, 1, 256, 0), Holders: c.count("cells", 0, "holders", k.Holders, 1, 100, 2),
			Least: c.num("cells", 0, "least_share", k.Least, 0.01, 1, 0.5), Open: c.count("cells", 0, "open_scans", k.Open, 1, 1000000, 0),
			Rate: c.num("cells", 0, "scans_per_s", k.Rate, 0.1, 1e6, 0)}
	}
	if raw.Shared != nil {
		s.Fleet.Notes, s.Fleet.Verdicts = raw.Shared.Notes, raw.Shared.Verdicts
	}
	for i, l := range raw.Limits {
		s.Fleet.Limits = append(s.Fleet.Limits, c.limit(i, l))
	}
	for i, f := range raw.Faults {
		s.Faults = append(s.Faults, c.one(i, f, s))
	}
	for i, e := range raw.Expect {
		x := Expectation{Figure: e.Figure, Least: c.num("expect", i, "least", e.Least, 0, 1e9, -1), Most: c.num("expect", i, "most", e.Most, 0, 1e9, -1)}
		if figures[e.Figure] == nil {
			c.fault("expect", i, "", "there is no such figure")
		}
		if e.Least == nil && e.Most == nil {
			c.fault("expect", i, "", "least or most is needed")
		}
		s.Expect = append(s.Expect, x)
	}
	return s
}

// limit checks one that holds for all brokers together.
func (c *check) limit(i int, l limit) emulator.FleetLimit {
	x := emulator.FleetLimit{Name: l.Name, For: l.For, Rate: c.num("limit", i, "scans_per_s", l.Rate, 0.001, 1e6, 0), Open: c.count("limit", i, "open_scans", l.Open, 1, 1000000, 0),
		Term: c.span("limit", i, "term", cmp.Or(l.Term, "1s"), 100*time.Millisecond, time.Minute)}
	x.Burst = c.num("limit", i, "burst", l.Burst, 1, 1e6, max(1, x.Rate/5))
	if !slices.Contains([]string{"fleet", "cell", "tenant"}, l.For) {
		c.fault("limit", i, "for", "%q is not fleet, cell or tenant", l.For)
	}
	if (l.Rate == nil) == (l.Open == nil) {
		c.fault("limit", i, "", "scans_per_s or open_scans is needed, and not both")
	}
	return x
}

func (c *check) fleet(raw *document, f *emulator.Fleet) {
	r := raw.Fleet
	if r.Reach == 0 {
		r.Reach = 1
	}
	*f = emulator.Fleet{Zones: r.Zones, Cells: c.count("fleet", 0, "cells", &r.Cells, 1, 10000, 0), Reach: r.Reach,
		Shards: c.count("fleet", 0, "shards", &r.Shards, 1, 100000, 0), Stores: c.count("fleet", 0, "stores", &r.Stores, 1, 5000, 0),
		Brokers: c.count("fleet", 0, "brokers", &r.Brokers, 1, 1000, 0), Same: 0.2, Cross: 0.6, Jitter: 0.1, Client: 0.5,
		ConnectTimeout: c.num("fleet", 0, "connect_timeout_ms", r.ConnectTimeout, 1, 60000, 250), Idle: 30000, Turn: 5,
		Batch: c.count("fleet", 0, "batch", r.Batch, 1, 1000, 4), Dispatches: c.count("fleet", 0, "dispatches", r.Dispatches, 1, 20, 4),
		OpenCap: 5000, SecondCopies: r.SecondCopies, RetryAfter: true, MaxRetryAfter: 1000, DrainGrace: 500,
		ListLag: c.num("fleet", 0, "list_lag_ms", r.ListLag, 0, 60000, 800), ListSpread: 400,
		SilentLag: c.num("fleet", 0, "silent_lag_ms", r.SilentLag, 0, 600000, 6000), FrontNotice: 2000,
		Nature: emulator.Nature{CallWork: c.num("fleet", 0, "call_work_ms", r.CallWork, 0, 10000, 5), Cancel: "queued", Repeats: 2500,
			Report: 500, ConnWork: 1, ConnMost: 2000, Cold: 1000 * c.num("fleet", 0, "cold_s", r.Cold, 0, 3600, 10),
			ColdFrom: c.num("fleet", 0, "cold_from", r.ColdFrom, 0.01, 1, 0.2), Fall: 3000,
			FallMultiple: c.num("fleet", 0, "fall_multiple", r.FallMultiple, 1, 100, 2.5),
			PauseEvery:   1000 * c.num("fleet", 0, "pause_every_s", r.PauseEvery, 0.1, 3600, 0),
			PauseFor:     c.num("fleet", 0, "pause_ms", r.PauseFor, 0, 60000, 0)}}
	f.BudgetWindow = 1000 * c.num("fleet", 0, "budget_window_s", r.BudgetWindow, 0.1, 3600, 0)
	f.BudgetSpare = c.count("fleet", 0, "budget_spare", r.BudgetSpare, 0, 1000000, 0)
	f.BudgetShare = c.num("fleet", 0, "budget_share", r.BudgetShare, 0, 10, 0)
	if f.BudgetWindow == 0 && (r.BudgetSpare != nil || r.BudgetShare != nil) {
		c.fault("fleet", 0, "budget_spare", "a budget needs budget_window_s")
	}
	if len(r.Zones) == 0 {
		c.fault("fleet", 0, "zones", "at least one zone is needed")
	}
	if r.Cells > r.Stores {
		c.fault("fleet", 0, "cells", "%d cells and %d stores: each shard needs a store", r.Cells, r.Stores)
	}
	if r.Reach < 1 || r.Reach > max(1, r.Cells) {
		c.fault("fleet", 0, "reach", "%d is not from 1 to the %d cells", r.Reach, r.Cells)
	}
	if r.Cancel != "" {
		if f.Nature.Cancel = r.Cancel; !slices.Contains([]string{"none", "queued", "all"}, r.Cancel) {
			c.fault("fleet", 0, "cancel", "%q is not none, queued or all", r.Cancel)
		}
	}
	if f.Nature.PauseEvery > 0 && f.Nature.PauseFor >= f.Nature.PauseEvery {
		c.fault("fleet", 0, "pause_ms", "a pause of %v ms each %v ms leaves no time to work", f.Nature.PauseFor, f.Nature.PauseEvery)
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
			c.fault("fleet", 0, "", "kind %s: its cores, speed, share or queue is impossible", k.Name)
		}
		f.Kinds = append(f.Kinds, emulator.KindShare{Kind: emulator.Kind{Name: k.Name, Cores: k.Cores, Speed: k.Speed, Queue: queue}, Share: share})
	}
	if len(f.Kinds) == 0 {
		f.Kinds = []emulator.KindShare{{Kind: emulator.Kind{Name: "std", Cores: 2, Speed: 1, Queue: 40}, Share: 1}}
	}
}

func (c *check) typ(i int, y typ, f *emulator.Fleet) {
	at := "table_type"
	t := emulator.TableType{Name: y.Name, Share: c.num(at, i, "share", &y.Share, 0.0001, 1e6, 0), Parts: c.count(at, i, "parts", &y.Parts, 1, 1000, 0),
		Work: c.num(at, i, "work_ms", &y.Work, 0.001, 1e6, 0), Spread: c.num(at, i, "work_spread", y.Spread, 0, 0.99, 0.3),
		Target: c.num(at, i, "target_ms", &y.Target, 1, 1e6, 0), Timeout: c.num(at, i, "timeout_ms", &y.Timeout, 1, 1e6, 0),
		Benefit: c.num(at, i, "benefit", &y.Benefit, 0.0001, 1e6, 0), LateBenefit: c.num(at, i, "late_benefit", &y.LateBenefit, 0, 1, 0),
		Effect: y.Effect, RepeatWindow: c.num(at, i, "repeat_window_ms", &y.Repeat, 0, 1e6, 0), Need: 1,
		Floor: c.num(at, i, "least_share", y.Floor, 0.01, 1, 1), Partial: 0.9, Fetch: y.Fetch, FetchWork: c.num(at, i, "fetch_work", y.FetchWork, 0.01, 10, 0.5)}
	if !slices.Contains([]string{"replayable", "keyed", "non-replayable"}, y.Effect) {
		c.fault(at, i, "effect", "%q is not replayable, keyed or non-replayable", y.Effect)
	}
	if y.Timeout < y.Target {
		c.fault(at, i, "timeout_ms", "it ends before the target time")
	}
	if y.Parts > f.Shards {
		c.fault(at, i, "parts", "%d parts, but there are %d shards", y.Parts, f.Shards)
	}
	if y.Fetch < 0 || y.Fetch > y.Parts {
		c.fault(at, i, "fetch", "%d is not from 0 to the %d parts", y.Fetch, y.Parts)
	}
	f.Types = append(f.Types, t)
}

// one checks a fault. One that leaves no store is no rehearsal: it is turned away here.
func (c *check) one(i int, f fault, s *Scenario) emulator.Fault {
	x := emulator.Fault{Kind: f.Kind, At: c.span("fault", i, "at", f.At, 0, 2*time.Hour), For: c.span("fault", i, "for", f.For, time.Millisecond, 2*time.Hour),
		Share: c.num("fault", i, "share", f.Share, 0.0001, 1, 0.25), Size: c.num("fault", i, "size", f.Size, 0, 1e6, sizes[f.Kind]), Zone: f.Zone, Stores: f.Stores}
	if _, known := emulator.Faults[f.Kind]; !known {
		c.fault("fault", i, "", "there is no such fault; there are: %s", strings.Join(kinds(), ", "))
	}
	if x.At >= s.Length {
		c.fault("fault", i, "at", "it begins after the end of the run, %v ms", s.Length)
	}
	if f.Zone != "" && !slices.Contains(s.Fleet.Zones, f.Zone) {
		c.fault("fault", i, "zone", "there is no zone %q", f.Zone)
	}
	if slices.Contains([]string{"one_way_loss", "one_sided", "neighbour", "fails", "resets", "spoils", "hot_key", "broker_loss"}, f.Kind) && x.Size > 1 {
		c.fault("fault", i, "size", "%v is no share", x.Size)
	}
	if (f.Kind == "die" || f.Kind == "vanish") && (x.Share >= 1 || len(f.Stores) >= s.Fleet.Stores) {
		c.fault("fault", i, "share", "no store is left")
	}
	for _, name := range f.Stores {
		var n int
		if _, err := fmt.Sscanf(name, "s-%04d", &n); err != nil || n < 0 || n >= s.Fleet.Stores || name != fmt.Sprintf("s-%04d", n) {
			c.fault("fault", i, "stores", "there is no store %q; they are s-0000 to s-%04d", name, s.Fleet.Stores-1)
		}
	}
	return x
}

// sizes are those of faults that state none.
var sizes = map[string]float64{"one_way_loss": 1, "one_sided": 0.8, "release": 0.1, "slow": 5, "neighbour": 0.6, "fails": 0.5,
	"resets": 0.3, "spoils": 0.3, "lies": 5, "stale_list": 5000, "hot_key": 0.3, "traffic": 2, "abuse": 3, "broker_loss": 0.3}

func kinds() (all []string) {
	for k := range emulator.Faults {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}
