// Package features reads and validates the features document (HCL) of an installation. It configures what a broker does
// beyond the platform's start file; a feature that the document does not name is off. No other package reads it. Errors
// name the line and key, and an invalid document is rejected as a whole.
package features

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/robfig/cron/v3"
)

// Document is a parsed features document. A missing block is nil, and its feature is off.
type Document struct {
	Sharing  *Sharing
	Control  *Control
	Cells    *Cells
	Shadow   *ShadowSettings
	Lease    *Lease
	Tasks    []Task
	Limits   []Limit
	LoansDir string // directory that stores the loans of limits; "": not stored
}

// Limit is a limit that the whole fleet shares. Exactly one of Rate, Open and Work is set.
type Limit struct {
	Name              string
	For               string        // fleet, cell or tenant
	Rate, Burst       float64       // scans per second, and burst size
	OpenScans         float64       // concurrent scans
	WorkMS            float64       // outstanding work in ms
	FurtherDispatches bool          // Rate and Burst limit dispatches beyond each part's first
	Available         bool          // whether the limit may be exceeded while members are partitioned
	Term              time.Duration // of a loan
	Linger            time.Duration // Available: how long a borrowed share stays usable past its term
	PartitionShare    float64       // Available: minimum share of the limit for each side of a partition
	Owners            int           // members with a home share of each key; 0: all
}

// Lease enables leases held by operators, and sets where votes on leases are stored.
type Lease struct {
	Dir       string        // "": votes are not stored
	MaxTerm   time.Duration // maximum term of a lease held by an operator
	MaxLeases int           // maximum concurrent leases in the fleet
}

// Task is a command that runs periodically on Holders brokers of the fleet, one by default.
type Task struct {
	Name          string
	Every         time.Duration // 0: At sets the schedule
	At            string        // a cron expression, in UTC unless it begins with CRON_TZ=
	Schedule      cron.Schedule // parsed from At
	Run           []string
	Term          time.Duration
	Timeout       time.Duration // 0: none
	Holders       int
	RunMissedOnce bool // missed runs are made up for by a single run
	Prefer        []string
}

// ShadowSettings holds alternative settings. A broker compares its decisions with those under these settings but does
// not apply them. A nil pointer means the current value.
type ShadowSettings struct {
	SecondCopies, Cancelling, Notes *bool
	Dispatches                      *float64
	Budget                          *Budget
	Types                           []ShadowTableType
}

// Budget limits further dispatches: a fixed number, plus a share of the scans and parts accepted within the window.
type Budget struct {
	Free, Share float64
	Window      time.Duration
}

// ShadowTableType holds the settings of one table type. Where is its position in the document, for errors found later:
// only the start file has all names of table types.
type ShadowTableType struct {
	Name, Effect, Where string
	RepeatWindow        time.Duration
}

// Sharing configures the communication between an installation's brokers.
type Sharing struct {
	Listen     string            // host:port for members' datagrams
	Advertise  string            // address at which others reach it
	Members    map[string]string // addresses of the configured members by name; empty: any member may join
	Join       []string          // seed addresses for joining
	Weight     float64
	ClockDrift float64 // maximum relative error of a clock's rate
	Pace       float64 // factor of the standard membership timing
	Keys       []Key   // the first seals, all open
	Duties     []Duty
	Notes      bool // decision modules exchange notes on calls and failures
	Verdicts   *Verdicts
}

// Verdicts configures the verdicts on stores that brokers reach together. A time or share of 0 means the default.
type Verdicts struct {
	Dir              string        // directory that stores operators' orders; "": not stored
	MaxAge           time.Duration // older reports are ignored
	Quorum           int           // independent observers required for a verdict
	MaxExcludedShare float64       // maximum share of any shard's holders that verdicts may exclude
}

// Cells configures cells, which confine tenants to subsets of the stores.
type Cells struct {
	Holders  int     // stores of each replica set in a cell
	MinShare float64 // minimum available share of them; below it the cell rejects requests
	Default  string  // cell of unpinned tenants; "": spread over all cells
	Pins     map[string]string
	Cells    []Cell
}

// Cell is one cell with its limits. A limit of 0 means no limit.
type Cell struct {
	Name                    string
	Weight                  float64
	Rate, Burst             float64 // scans per second, and burst size
	OpenScans               int     // concurrent scans
	WorkMS                  float64 // outstanding work
	TenantRate, TenantBurst float64
}

// Key is a numbered shared secret that authenticates datagrams.
type Key struct {
	Number uint8
	Secret []byte
}

// Duty is a periodic duty and its period.
type Duty struct {
	Name   string
	Period time.Duration
}

// Control configures the local socket that serves the command line.
type Control struct{ Socket string }

// dutyNames lists the valid duties.
var dutyNames = []string{"probing"}

// rawDocument and the types below it mirror the HCL structure; Parse validates and converts them.
type rawDocument struct {
	Sharing *sharing     `hcl:"sharing,block"`
	Control *control     `hcl:"control,block"`
	Cells   *cellMap     `hcl:"cells,block"`
	Watch   *watch       `hcl:"watch,block"`
	Lease   *leases      `hcl:"lease,block"`
	Tasks   []task       `hcl:"task,block"`
	Limits  []limit      `hcl:"limit,block"`
	Loans   *limitsBlock `hcl:"limits,block"`
}

type limitsBlock struct {
	Dir string `hcl:"dir"`
}

type limit struct {
	Name    string   `hcl:"name,label"`
	For     string   `hcl:"for"`
	Rate    *float64 `hcl:"scans_per_s,optional"`
	Burst   *float64 `hcl:"burst,optional"`
	Open    *float64 `hcl:"open_scans,optional"`
	Work    *float64 `hcl:"work_ms,optional"`
	Further *float64 `hcl:"further_per_s,optional"`
	Mode    string   `hcl:"mode,optional"`
	Term    string   `hcl:"term,optional"`
	Linger  string   `hcl:"linger,optional"`
	Alone   *float64 `hcl:"alone,optional"`
	Owners  *float64 `hcl:"owners,optional"`
}

type leases struct {
	Dir     string   `hcl:"dir,optional"`
	Longest string   `hcl:"longest,optional"`
	Most    *float64 `hcl:"most,optional"`
}

type task struct {
	Name    string   `hcl:"name,label"`
	Every   string   `hcl:"every,optional"`
	At      string   `hcl:"at,optional"`
	Run     []string `hcl:"run"`
	Term    string   `hcl:"term,optional"`
	Timeout string   `hcl:"timeout,optional"`
	Holders *float64 `hcl:"holders,optional"`
	Missed  string   `hcl:"on_missed,optional"`
	Prefer  []string `hcl:"prefer,optional"`
}

type watch struct {
	SecondCopies *bool         `hcl:"second_copies,optional"`
	Cancelling   *bool         `hcl:"recalls,optional"`
	Notes        *bool         `hcl:"notes,optional"`
	Dispatches   *float64      `hcl:"dispatches,optional"`
	Budget       *budget       `hcl:"budget,block"`
	Types        []watchedType `hcl:"table_type,block"`
}

type budget struct {
	Free   float64 `hcl:"free"`
	Share  float64 `hcl:"share"`
	Window string  `hcl:"window"`
}

type watchedType struct {
	Name   string `hcl:"name,label"`
	Effect string `hcl:"effect"`
	Window string `hcl:"repeat_window,optional"`
}

type cellMap struct {
	Holders *int              `hcl:"holders,optional"`
	Least   *float64          `hcl:"least_share,optional"`
	Default string            `hcl:"default,optional"`
	Pins    map[string]string `hcl:"pins,optional"`
	Cells   []cell            `hcl:"cell,block"`
}

type cell struct {
	Name        string   `hcl:"name,label"`
	Weight      *float64 `hcl:"weight,optional"`
	Rate        *float64 `hcl:"scans_per_s,optional"`
	Burst       *float64 `hcl:"burst,optional"`
	Open        *float64 `hcl:"open_scans,optional"`
	Work        *float64 `hcl:"work_ms,optional"`
	TenantRate  *float64 `hcl:"tenant_scans_per_s,optional"`
	TenantBurst *float64 `hcl:"tenant_burst,optional"`
}

type sharing struct {
	Listen     string            `hcl:"listen"`
	Advertise  string            `hcl:"advertise,optional"`
	Members    map[string]string `hcl:"members,optional"`
	Join       []string          `hcl:"join,optional"`
	Weight     *float64          `hcl:"weight,optional"`
	ClockDrift *float64          `hcl:"clock_drift,optional"`
	Pace       *float64          `hcl:"pace,optional"`
	Keys       []key             `hcl:"key,block"`
	Duties     []duty            `hcl:"duty,block"`
	Notes      bool              `hcl:"notes,optional"`
	Verdicts   *verdicts         `hcl:"verdicts,block"`
}

type verdicts struct {
	Dir    string   `hcl:"dir,optional"`
	Fresh  string   `hcl:"fresh,optional"`
	Quorum *float64 `hcl:"observers,optional"`
	Widest *float64 `hcl:"widest,optional"`
}

type key struct {
	Number string `hcl:"number,label"`
	Secret string `hcl:"secret,optional"`
	File   string `hcl:"secret_file,optional"`
}

type duty struct {
	Name   string `hcl:"name,label"`
	Period string `hcl:"period"`
}

type control struct {
	Socket string `hcl:"socket"`
}

// Read reads a document from a file. self is this broker's name.
func Read(path, self string) (*Document, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("features: %w", err)
	}
	return Parse(text, path, self)
}

// Parse parses a document's text. Errors name the file by path, and relative paths in the document are relative to its
// directory.
func Parse(text []byte, path, self string) (*Document, error) {
	file, diags := hclparse.NewParser().ParseHCL(text, filepath.Base(path))
	if diags.HasErrors() {
		return nil, firstError(diags)
	}
	var raw rawDocument
	if diags := gohcl.DecodeBody(file.Body, nil, &raw); diags.HasErrors() {
		return nil, firstError(diags)
	}
	c := &validator{body: file.Body.(*hclsyntax.Body), name: filepath.Base(path), dir: filepath.Dir(path)}
	doc := &Document{}
	if raw.Sharing != nil {
		doc.Sharing = c.sharing(raw.Sharing, self)
	}
	if raw.Control != nil {
		doc.Control = &Control{Socket: raw.Control.Socket}
		if raw.Control.Socket == "" || len(raw.Control.Socket) > 100 {
			c.fault([]string{"control"}, "socket", "must be a path of 1 to 100 bytes")
		}
	}
	if raw.Cells != nil {
		doc.Cells = c.cells(raw.Cells)
	}
	if raw.Watch != nil {
		doc.Shadow = c.watch(raw.Watch)
	}
	if raw.Lease != nil {
		doc.Lease = c.lease(raw.Lease, doc.Sharing)
	}
	for i, t := range raw.Tasks {
		doc.Tasks = append(doc.Tasks, c.task(t, raw.Tasks[:i], doc.Sharing))
	}
	if len(raw.Tasks) > maxTasks {
		c.fault([]string{"task", raw.Tasks[maxTasks].Name}, "", "more than %d tasks", maxTasks)
	}
	for i, l := range raw.Limits {
		doc.Limits = append(doc.Limits, c.limit(l, raw.Limits[:i], doc))
	}
	if raw.Loans != nil {
		if doc.LoansDir = raw.Loans.Dir; doc.LoansDir == "" {
			c.fault([]string{"limits"}, "dir", "a directory is required")
		} else if !filepath.IsAbs(doc.LoansDir) {
			doc.LoansDir = filepath.Join(c.dir, doc.LoansDir)
		}
		if len(raw.Limits) == 0 {
			c.fault([]string{"limits"}, "", "no limit block: there are no loans to store")
		}
		if doc.Lease != nil && doc.Lease.Dir == doc.LoansDir {
			c.fault([]string{"limits"}, "dir", "this directory already stores the votes on leases")
		}
	}
	if len(raw.Limits) > maxLimits {
		c.fault([]string{"limit", raw.Limits[maxLimits].Name}, "", "more than %d limits", maxLimits)
	}
	return doc, c.err
}

const (
	maxLimits           = 16
	defaultLoanTerm     = time.Second
	minLoanTerm         = 200 * time.Millisecond
	maxLoanTerm         = time.Minute
	defaultLinger       = 10 * time.Second
	defaultTenantOwners = 5.0
	maxLimitSize        = 1e9
	maxTasks            = 1000
	defaultTerm         = 10 * time.Second
	minTerm             = 500 * time.Millisecond
	maxTerm             = time.Hour
	defaultMaxLeases    = 1000.0
	defaultMaxTerm      = 30 * time.Second
	defaultMaxAge       = 10 * time.Second
	maxHolders          = 100.0
)

// requireMembers reports an error unless the document configures the set of members, which leases require.
func (c *validator) requireMembers(at []string, s *Sharing) {
	if s == nil || len(s.Members) == 0 {
		c.fault(at, "", "requires a sharing block with members: a majority of them grants leases")
	}
}

func (c *validator) lease(raw *leases, s *Sharing) *Lease {
	at := []string{"lease"}
	c.requireMembers(at, s)
	l := &Lease{Dir: raw.Dir, MaxTerm: defaultMaxTerm, MaxLeases: int(c.inRange(at, "most", raw.Most, 1, 10000, defaultMaxLeases))}
	if raw.Longest != "" {
		l.MaxTerm = c.duration(at, "longest", raw.Longest, minTerm, maxTerm)
	}
	if l.Dir != "" && !filepath.IsAbs(l.Dir) {
		l.Dir = filepath.Join(c.dir, l.Dir)
	}
	return l
}

func (c *validator) limit(raw limit, before []limit, doc *Document) Limit {
	at := []string{"limit", raw.Name}
	if doc.Sharing == nil || len(doc.Sharing.Members) == 0 {
		c.fault(at, "", "requires a sharing block with members, which share the limit")
	}
	if raw.Name == "" || len(raw.Name) > 40 || strings.ContainsAny(raw.Name, "/ ") {
		c.fault(at, "", "a limit needs a name of 1 to 40 bytes, without spaces and slashes")
	}
	if slices.ContainsFunc(before, func(o limit) bool { return o.Name == raw.Name }) {
		c.fault(at, "", "duplicate limit")
	}
	l := Limit{Name: raw.Name, For: raw.For, Term: defaultLoanTerm, Available: raw.Mode == "available"}
	switch raw.For {
	case "fleet", "tenant":
	case "cell":
		if doc.Cells == nil {
			c.fault(at, "for", "a limit for each cell requires a cells block")
		}
	default:
		c.fault(at, "for", "%q is neither fleet, cell nor tenant", raw.For)
	}
	sizes := 0
	for _, x := range []struct {
		key   string
		value *float64
		to    *float64
	}{{"scans_per_s", raw.Rate, &l.Rate}, {"open_scans", raw.Open, &l.OpenScans}, {"work_ms", raw.Work, &l.WorkMS}, {"further_per_s", raw.Further, &l.Rate}} {
		if x.value != nil {
			sizes++
			*x.to = c.inRange(at, x.key, x.value, 1e-3, maxLimitSize, 0)
		}
	}
	if sizes != 1 {
		c.fault(at, "", "exactly one of scans_per_s, open_scans, work_ms and further_per_s is required")
	}
	if raw.Burst != nil && raw.Rate == nil && raw.Further == nil {
		c.fault(at, "burst", "is valid only with scans_per_s or further_per_s")
	}
	if l.FurtherDispatches = raw.Further != nil; l.FurtherDispatches && (raw.For != "fleet" || slices.ContainsFunc(before, func(o limit) bool { return o.Further != nil })) {
		c.fault(at, "further_per_s", "only one such limit is allowed, with for = \"fleet\"")
	}
	l.Burst = c.inRange(at, "burst", raw.Burst, 1, maxLimitSize, max(1, l.Rate/2))
	if raw.Mode != "" && raw.Mode != "strict" && raw.Mode != "available" {
		c.fault(at, "mode", "%q is neither strict nor available", raw.Mode)
	}
	if raw.Term != "" {
		l.Term = c.duration(at, "term", raw.Term, minLoanTerm, maxLoanTerm)
	}
	if l.Available {
		l.Linger = defaultLinger
		if raw.Linger != "" {
			l.Linger = c.duration(at, "linger", raw.Linger, 0, time.Hour)
		}
		l.PartitionShare = c.inRange(at, "alone", raw.Alone, 0, 1, 0)
	} else if raw.Linger != "" || raw.Alone != nil {
		c.fault(at, "mode", "linger and alone require mode = \"available\": a strict limit is never exceeded")
	}
	owners := 0.0
	if raw.For == "tenant" {
		owners = defaultTenantOwners
	}
	l.Owners = int(c.inRange(at, "owners", raw.Owners, 0, 1000, owners))
	return l
}

func (c *validator) task(raw task, before []task, s *Sharing) Task {
	at := []string{"task", raw.Name}
	c.requireMembers(at, s)
	t := Task{Name: raw.Name, At: raw.At, Run: raw.Run, Term: defaultTerm, Holders: int(c.inRange(at, "holders", raw.Holders, 1, maxHolders, 1)),
		RunMissedOnce: raw.Missed == "once", Prefer: raw.Prefer}
	if raw.Name == "" || len(raw.Name) > 80 || strings.ContainsAny(raw.Name, "/ ") {
		c.fault(at, "", "a task needs a name of 1 to 80 bytes, without spaces and slashes")
	}
	if slices.ContainsFunc(before, func(o task) bool { return o.Name == raw.Name }) {
		c.fault(at, "", "duplicate task")
	}
	if len(raw.Run) == 0 || raw.Run[0] == "" {
		c.fault(at, "run", "a command is required, such as [\"/usr/bin/compact\", \"--all\"]; it is not run by a shell")
	}
	if raw.Term != "" {
		t.Term = c.duration(at, "term", raw.Term, minTerm, maxTerm)
	}
	if raw.Timeout != "" {
		t.Timeout = c.duration(at, "timeout", raw.Timeout, 10*time.Millisecond, 30*24*time.Hour)
	}
	if raw.Missed != "" && raw.Missed != "skip" && raw.Missed != "once" {
		c.fault(at, "on_missed", "%q is neither skip nor once", raw.Missed)
	}
	var err error
	switch {
	case (raw.Every == "") == (raw.At == ""):
		c.fault(at, "", "exactly one of every and at is required")
	case raw.Every != "":
		t.Every = c.duration(at, "every", raw.Every, time.Second, 366*24*time.Hour)
	default:
		// Schedules are in UTC by default, because the members' local time zones may differ.
		text := raw.At
		if !strings.HasPrefix(text, "CRON_TZ=") && !strings.HasPrefix(text, "TZ=") {
			text = "CRON_TZ=UTC " + text
		}
		if t.Schedule, err = cron.ParseStandard(text); err != nil {
			c.fault(at, "at", "%v", err)
		}
	}
	for _, name := range raw.Prefer {
		if s != nil && s.Members[name] == "" {
			c.fault(at, "prefer", "%q is not among the members", name)
		}
	}
	return t
}

var effects = []string{"replayable", "keyed", "non-replayable"}

func (c *validator) watch(raw *watch) *ShadowSettings {
	at := []string{"watch"}
	w := &ShadowSettings{SecondCopies: raw.SecondCopies, Cancelling: raw.Cancelling, Notes: raw.Notes, Dispatches: raw.Dispatches}
	if c.inRange(at, "dispatches", raw.Dispatches, 1, 100, 1); raw.Dispatches != nil && *raw.Dispatches != float64(int(*raw.Dispatches)) {
		c.fault(at, "dispatches", "%v is not a whole number", *raw.Dispatches)
	}
	if b := raw.Budget; b != nil {
		in := []string{"watch", "budget"}
		w.Budget = &Budget{Free: c.inRange(in, "free", &b.Free, 0, 1e6, 0), Share: c.inRange(in, "share", &b.Share, 0, 10, 0),
			Window: c.duration(in, "window", b.Window, 100*time.Millisecond, time.Hour)}
	}
	for i, t := range raw.Types {
		in := []string{"watch", "table_type", t.Name}
		v := ShadowTableType{Name: t.Name, Effect: t.Effect, Where: c.where(in, "")}
		if slices.ContainsFunc(raw.Types[:i], func(o watchedType) bool { return o.Name == t.Name }) {
			c.fault(in, "", "duplicate table type")
		}
		if !slices.Contains(effects, t.Effect) {
			c.fault(in, "effect", "%q is none of %s", t.Effect, strings.Join(effects, ", "))
		}
		if (t.Effect == "keyed") != (t.Window != "") {
			c.fault(in, "repeat_window", "required with the effect keyed, and invalid with others")
		} else if t.Window != "" {
			v.RepeatWindow = c.duration(in, "repeat_window", t.Window, time.Millisecond, time.Hour)
		}
		w.Types = append(w.Types, v)
	}
	if reflect.DeepEqual(*w, ShadowSettings{}) {
		c.fault(at, "", "the block is empty")
	}
	return w
}

// duration parses a duration and checks its range.
func (c *validator) duration(path []string, key, text string, lowest, highest time.Duration) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil || d < lowest || d > highest {
		c.fault(path, key, "%q is not a duration from %v to %v", text, lowest, highest)
	}
	return d
}

const maxCells = 256

func (c *validator) cells(raw *cellMap) *Cells {
	at := []string{"cells"}
	holders := 2.0
	if raw.Holders != nil {
		holders = float64(*raw.Holders)
	}
	m := &Cells{Holders: int(c.inRange(at, "holders", &holders, 1, 100, 2)), MinShare: c.inRange(at, "least_share", raw.Least, 0.01, 1, 0.5),
		Default: raw.Default, Pins: raw.Pins}
	names := map[string]bool{}
	for _, k := range raw.Cells {
		in := []string{"cells", "cell", k.Name}
		if k.Name == "" || len(k.Name) > 100 || names[k.Name] {
			c.fault(in, "", "a cell needs a unique name of 1 to 100 bytes")
		}
		names[k.Name] = true
		m.Cells = append(m.Cells, Cell{Name: k.Name, Weight: c.inRange(in, "weight", k.Weight, 0.001, 1e6, 1),
			Rate: c.inRange(in, "scans_per_s", k.Rate, 0.01, 1e6, 0), Burst: c.inRange(in, "burst", k.Burst, 1, 1e6, 0),
			OpenScans: int(c.inRange(in, "open_scans", k.Open, 1, 1e6, 0)), WorkMS: c.inRange(in, "work_ms", k.Work, 1, 1e9, 0),
			TenantRate: c.inRange(in, "tenant_scans_per_s", k.TenantRate, 0.01, 1e6, 0), TenantBurst: c.inRange(in, "tenant_burst", k.TenantBurst, 1, 1e6, 0)})
	}
	if len(raw.Cells) == 0 || len(raw.Cells) > maxCells {
		c.fault(at, "", "from 1 to %d cell blocks are required", maxCells)
	}
	if raw.Default != "" && !names[raw.Default] {
		c.fault(at, "default", "there is no cell %q", raw.Default)
	}
	for tenant, name := range raw.Pins {
		if !names[name] {
			c.fault(at, "pins", "tenant %q is pinned to the unknown cell %q", tenant, name)
		}
	}
	return m
}

// firstError converts the library's first error to one line: position, summary, detail.
func firstError(diags hcl.Diagnostics) error {
	for _, d := range diags {
		if d.Severity == hcl.DiagError {
			at := "features"
			if d.Subject != nil {
				at = fmt.Sprintf("%s:%d", d.Subject.Filename, d.Subject.Start.Line)
			}
			return fmt.Errorf("%s: %s: %s", at, d.Summary, d.Detail)
		}
	}
	return diags
}

// validator validates a document and keeps the first error.
type validator struct {
	body      *hclsyntax.Body
	name, dir string
	err       error
}

// fault records an error at a key. path lists the enclosing blocks with their labels.
func (c *validator) fault(path []string, key, format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf("%s: %s", c.where(path, key), fmt.Sprintf(format, args...))
	}
}

// where returns the position of a key: file, line and enclosing blocks.
func (c *validator) where(path []string, key string) string {
	body, line := c.body, 1
	for i := 0; i < len(path); i++ {
		for _, b := range body.Blocks {
			labels := len(b.Labels) == 0 || i+1 < len(path) && b.Labels[0] == path[i+1]
			if b.Type == path[i] && labels {
				body, line = b.Body, b.TypeRange.Start.Line
				i += len(b.Labels)
				break
			}
		}
	}
	if a := body.Attributes[key]; a != nil {
		line = a.NameRange.Start.Line
	}
	where := strings.Join(path, " ")
	if key != "" {
		where += "." + key
	}
	return fmt.Sprintf("%s:%d: %s", c.name, line, where)
}

// address checks that addr is an IP address with a port.
func (c *validator) address(path []string, key, addr string) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil || at.Port() == 0 {
		c.fault(path, key, "%q is not an address with a port, such as 10.0.0.4:7946 (names are not resolved)", addr)
	}
}

// inRange returns the number at a key, or a default if it is missing, and checks its range.
func (c *validator) inRange(path []string, key string, x *float64, lowest, highest, fallback float64) float64 {
	if x == nil {
		return fallback
	}
	if !(*x >= lowest && *x <= highest) {
		c.fault(path, key, "%v is not from %v to %v", *x, lowest, highest)
	}
	return *x
}

const maxMembers = 1000

func (c *validator) sharing(raw *sharing, self string) *Sharing {
	at := []string{"sharing"}
	s := &Sharing{Listen: raw.Listen, Advertise: cmp.Or(raw.Advertise, raw.Listen), Members: raw.Members, Join: raw.Join, Notes: raw.Notes,
		Weight:     c.inRange(at, "weight", raw.Weight, 0.01, 1000, 1),
		ClockDrift: c.inRange(at, "clock_drift", raw.ClockDrift, 0, 0.2, 0.01),
		Pace:       c.inRange(at, "pace", raw.Pace, 0.02, 60, 1)}
	c.address(at, "listen", raw.Listen)
	c.address(at, "advertise", s.Advertise)
	for _, a := range raw.Join {
		c.address(at, "join", a)
	}
	seen := map[string]string{}
	for name, a := range raw.Members {
		c.address(at, "members", a)
		if name == "" || len(name) > 100 {
			c.fault(at, "members", "a name must have 1 to 100 bytes")
		}
		if other := seen[a]; other != "" {
			c.fault(at, "members", "%s and %s have the same address, %s", min(name, other), max(name, other), a)
		}
		seen[a] = name
	}
	switch {
	case len(raw.Members) > maxMembers:
		c.fault(at, "members", "%d members, the maximum is %d", len(raw.Members), maxMembers)
	case len(raw.Members) > 0 && raw.Members[self] == "":
		c.fault(at, "members", "this broker, %q, is not a member", self)
	case len(raw.Members) > 0 && raw.Members[self] != s.Advertise:
		c.fault(at, "members", "this broker, %q, advertises %s but is listed with %s", self, s.Advertise, raw.Members[self])
	case len(raw.Members) == 0 && len(raw.Join) == 0:
		c.fault(at, "", "members or join is required")
	}
	if v := raw.Verdicts; v != nil {
		at := []string{"sharing", "verdicts"}
		s.Verdicts = &Verdicts{Dir: v.Dir, MaxAge: defaultMaxAge, Quorum: int(c.inRange(at, "observers", v.Quorum, 1, 100, 2)), MaxExcludedShare: c.inRange(at, "widest", v.Widest, 0, 0.9, 1.0/3)}
		if v.Fresh != "" {
			s.Verdicts.MaxAge = c.duration(at, "fresh", v.Fresh, time.Second, 5*time.Minute)
		}
		if v.Dir != "" && !filepath.IsAbs(v.Dir) {
			s.Verdicts.Dir = filepath.Join(c.dir, v.Dir)
		}
	}
	if len(raw.Keys) == 0 {
		c.fault(at, "", "a key block is required: members' datagrams are authenticated")
	}
	for _, k := range raw.Keys {
		s.Keys = append(s.Keys, c.key(k))
		if slices.ContainsFunc(s.Keys[:len(s.Keys)-1], func(o Key) bool { return o.Number == s.Keys[len(s.Keys)-1].Number }) {
			c.fault([]string{"sharing", "key", k.Number}, "", "duplicate key number")
		}
	}
	for _, d := range raw.Duties {
		at := []string{"sharing", "duty", d.Name}
		period, err := time.ParseDuration(d.Period)
		if err != nil || period < 100*time.Millisecond || period > 30*24*time.Hour {
			c.fault(at, "period", "%q is not a duration from 100ms to 720h", d.Period)
		}
		if !slices.Contains(dutyNames, d.Name) {
			c.fault(at, "", "unknown duty; the duties are: %s", strings.Join(dutyNames, ", "))
		}
		if slices.ContainsFunc(s.Duties, func(o Duty) bool { return o.Name == d.Name }) {
			c.fault(at, "", "duplicate duty")
		}
		s.Duties = append(s.Duties, Duty{d.Name, period})
	}
	return s
}

func (c *validator) key(k key) Key {
	at := []string{"sharing", "key", k.Number}
	n, err := strconv.ParseUint(k.Number, 10, 8)
	if err != nil {
		c.fault(at, "", "a key's label is its number, from 0 to 255")
	}
	text, name := k.Secret, "secret"
	if (k.Secret == "") == (k.File == "") {
		c.fault(at, "", "exactly one of secret and secret_file is required")
	}
	if k.File != "" {
		name = "secret_file"
		path := k.File
		if !filepath.IsAbs(path) {
			path = filepath.Join(c.dir, path)
		}
		b, err := os.ReadFile(path)
		if err != nil {
			c.fault(at, name, "%v", err)
		}
		text = strings.TrimSpace(string(b))
	}
	secret, err := hex.DecodeString(text)
	if err != nil || len(secret) < 16 || len(secret) > 64 {
		c.fault(at, name, "must be 32 to 128 hex digits")
	}
	return Key{Number: uint8(n), Secret: secret}
}

// withoutSizes returns a copy of limits without the sizes, which take effect without a restart.
func withoutSizes(limits []Limit) []Limit {
	all := slices.Clone(limits)
	for i := range all {
		l := &all[i]
		if l.Burst = 0; l.Rate > 0 {
			l.Rate = 1
		}
		l.OpenScans, l.WorkMS = min(l.OpenScans, 1e-9), min(l.WorkMS, 1e-9)
	}
	return all
}

// RestartChanges returns the blocks and keys that differ between d and other and take effect only after a restart. Keys
// of members and sizes of limits take effect without one.
func (d *Document) RestartChanges(other *Document) (names []string) {
	a, b := d.Sharing, other.Sharing
	if (a == nil) != (b == nil) {
		names = append(names, "sharing")
	} else if a != nil {
		x, y := reflect.ValueOf(*a), reflect.ValueOf(*b)
		for i := range x.NumField() {
			if f := x.Type().Field(i).Name; f != "Keys" && !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
				names = append(names, "sharing."+f)
			}
		}
	}
	if !reflect.DeepEqual(d.Control, other.Control) {
		names = append(names, "control")
	}
	if !reflect.DeepEqual(d.Lease, other.Lease) {
		names = append(names, "lease")
	}
	if !reflect.DeepEqual(d.Tasks, other.Tasks) {
		names = append(names, "task")
	}
	if !reflect.DeepEqual(withoutSizes(d.Limits), withoutSizes(other.Limits)) {
		names = append(names, "limit")
	}
	if d.LoansDir != other.LoansDir {
		names = append(names, "limits")
	}
	if !reflect.DeepEqual(d.Shadow, other.Shadow) {
		names = append(names, "watch")
	}
	if !reflect.DeepEqual(d.Cells, other.Cells) {
		names = append(names, "cells")
	}
	return names
}
