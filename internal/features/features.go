// Package features reads the document of an installation's features: what a broker does beyond the platform's start
// file, all of it off unless it is named there. It is the one place where that document is read and checked; an error
// names its line and key, and a document with a fault is not taken up at all.
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

// Document is what was read. A block that is not there is nil: that feature is off.
type Document struct {
	Sharing *Sharing
	Control *Control
	Cells   *Cells
	Watch   *Watch
	Lease   *Lease
	Tasks   []Task
	Limits  []Limit
	Lent    string // directory where it lasts what is lent of limits; "": it does not
}

// Limit holds for the whole fleet. One of Rate, Open and Work is set.
type Limit struct {
	Name        string
	For         string  // fleet, cell or tenant
	Rate, Burst float64 // scans a second, and at once
	Open        float64 // scans open at once
	Work        float64 // ms of work outstanding
	Further     bool    // Rate and Burst are of dispatches beyond each part's first
	Available   bool
	Term        time.Duration // of a loan
	Linger      time.Duration
	Alone       float64
	Owners      int // members with a home share of each key; 0: all
}

// Lease lets leases be held by hand, and says where votes on leases are stored.
type Lease struct {
	Dir     string        // "": votes are not stored
	Longest time.Duration // term of a lease that is held by hand
	Most    int           // leases at once, in the fleet
}

// Task is a command that one broker of the fleet runs at a time.
type Task struct {
	Name     string
	Every    time.Duration // 0: At says when
	At       string        // a cron expression, in UTC unless it begins with CRON_TZ=
	Schedule cron.Schedule // of At
	Run      []string
	Term     time.Duration
	Timeout  time.Duration // 0: none
	Holders  int
	Once     bool // what nobody could begin is made up for once
	Prefer   []string
}

// Watch is what a broker compares its decisions with, and does not follow. A pointer at nil stays as it is now.
type Watch struct {
	SecondCopies, Cancelling, Notes *bool
	Dispatches                      *float64
	Budget                          *Budget
	Types                           []WatchedType
}

// Budget of further dispatches: so many, and a share of the scans and parts taken within the window.
type Budget struct {
	Free, Share float64
	Window      time.Duration
}

// WatchedType is one table type; Where names its place in the document, since only the start file knows all names.
type WatchedType struct {
	Name, Effect, Where string
	RepeatWindow        time.Duration
}

// Sharing is for installations whose brokers may talk to each other.
type Sharing struct {
	Listen     string            // host:port for members' datagrams
	Advertise  string            // where others reach it
	Members    map[string]string // the configured members' addresses by name; empty: whoever joins
	Join       []string          // addresses where members may be found
	Weight     float64
	ClockDrift float64 // share by which a clock may run wrong
	Pace       float64 // times the usual times of membership
	Keys       []Key   // the first one seals
	Duties     []Duty
	Notes      bool // the modules tell each other of calls and failures
	Verdicts   *Verdicts
}

// Verdicts on stores that the brokers come to together. Times and shares at 0 are the usual ones.
type Verdicts struct {
	Dir    string        // where operators' orders last; "": they do not
	Fresh  time.Duration // what is older weighs on nothing
	Quorum int           // independent observers that a verdict needs
	Widest float64       // share of the holders of any shard that may rest by others' word
}

// Cells confine tenants to subsets of the stores.
type Cells struct {
	Holders int     // stores of each set that a cell has
	Least   float64 // share of them that must be there, or the cell refuses
	Default string  // the cell of tenants that are in no other; "": they are spread over all
	Pins    map[string]string
	Cells   []Cell
}

// Cell is one, with its limits; one at 0 is none.
type Cell struct {
	Name                    string
	Weight                  float64
	Rate, Burst             float64 // scans a second, and at once
	Open                    int     // scans
	WorkMS                  float64 // outstanding
	TenantRate, TenantBurst float64
}

// Key is one shared secret.
type Key struct {
	Number uint8
	Secret []byte
}

// Duty is one periodic duty.
type Duty struct {
	Name   string
	Period time.Duration
}

// Control is the local socket that the command line asks.
type Control struct{ Socket string }

// Known duties; a name beside them is an error.
var dutyNames = []string{"probing"}

type document struct {
	Sharing *sharing `hcl:"sharing,block"`
	Control *control `hcl:"control,block"`
	Cells   *cellMap `hcl:"cells,block"`
	Watch   *watch   `hcl:"watch,block"`
	Lease   *leases  `hcl:"lease,block"`
	Tasks   []task   `hcl:"task,block"`
	Limits  []limit  `hcl:"limit,block"`
	Lent    *lent    `hcl:"limits,block"`
}

type lent struct {
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

// Read reads a document from a file. Self is this broker's name.
func Read(path, self string) (*Document, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("features: %w", err)
	}
	return Parse(text, path, self)
}

// Parse reads a document's text; path names it in errors, and files that it names are beside it.
func Parse(text []byte, path, self string) (*Document, error) {
	file, diags := hclparse.NewParser().ParseHCL(text, filepath.Base(path))
	if diags.HasErrors() {
		return nil, worded(diags)
	}
	var raw document
	if diags := gohcl.DecodeBody(file.Body, nil, &raw); diags.HasErrors() {
		return nil, worded(diags)
	}
	c := &check{body: file.Body.(*hclsyntax.Body), name: filepath.Base(path), dir: filepath.Dir(path)}
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
		doc.Watch = c.watch(raw.Watch)
	}
	if raw.Lease != nil {
		doc.Lease = c.lease(raw.Lease, doc.Sharing)
	}
	for i, t := range raw.Tasks {
		doc.Tasks = append(doc.Tasks, c.task(t, raw.Tasks[:i], doc.Sharing))
	}
	if len(raw.Tasks) > tasksMost {
		c.fault([]string{"task", raw.Tasks[tasksMost].Name}, "", "there are more than %d tasks", tasksMost)
	}
	for i, l := range raw.Limits {
		doc.Limits = append(doc.Limits, c.limit(l, raw.Limits[:i], doc))
	}
	if raw.Lent != nil {
		if doc.Lent = raw.Lent.Dir; doc.Lent == "" {
			c.fault([]string{"limits"}, "dir", "a directory is needed")
		} else if !filepath.IsAbs(doc.Lent) {
			doc.Lent = filepath.Join(c.dir, doc.Lent)
		}
		if len(raw.Limits) == 0 {
			c.fault([]string{"limits"}, "", "there is no limit block: nothing is lent")
		}
		if doc.Lease != nil && doc.Lease.Dir == doc.Lent {
			c.fault([]string{"limits"}, "dir", "votes on leases are stored there")
		}
	}
	if len(raw.Limits) > limitsMost {
		c.fault([]string{"limit", raw.Limits[limitsMost].Name}, "", "there are more than %d limits", limitsMost)
	}
	return doc, c.err
}

const (
	limitsMost    = 16
	loanTerm      = time.Second
	loanLeast     = 200 * time.Millisecond
	loanMost      = time.Minute
	lingerStd     = 10 * time.Second
	tenantOwners  = 5.0
	limitSizeMost = 1e9
	tasksMost     = 1000
	termStd       = 10 * time.Second
	termLeast     = 500 * time.Millisecond
	termMost      = time.Hour
	leasesMost    = 1000.0
	longestStd    = 30 * time.Second
	freshStd      = 10 * time.Second
	holdersMost   = 100.0
)

// voters says that leases need a configured set of members.
func (c *check) voters(at []string, s *Sharing) {
	if s == nil || len(s.Members) == 0 {
		c.fault(at, "", "it needs a sharing block with members: a majority of them grants leases")
	}
}

func (c *check) lease(raw *leases, s *Sharing) *Lease {
	at := []string{"lease"}
	c.voters(at, s)
	l := &Lease{Dir: raw.Dir, Longest: longestStd, Most: int(c.between(at, "most", raw.Most, 1, 10000, leasesMost))}
	if raw.Longest != "" {
		l.Longest = c.period(at, "longest", raw.Longest, termLeast, termMost)
	}
	if l.Dir != "" && !filepath.IsAbs(l.Dir) {
		l.Dir = filepath.Join(c.dir, l.Dir)
	}
	return l
}

func (c *check) limit(raw limit, before []limit, doc *Document) Limit {
	at := []string{"limit", raw.Name}
	if doc.Sharing == nil || len(doc.Sharing.Members) == 0 {
		c.fault(at, "", "it needs a sharing block with members: they share it")
	}
	if raw.Name == "" || len(raw.Name) > 40 || strings.ContainsAny(raw.Name, "/ ") {
		c.fault(at, "", "a limit needs a name of 1 to 40 bytes, without spaces and slashes")
	}
	if slices.ContainsFunc(before, func(o limit) bool { return o.Name == raw.Name }) {
		c.fault(at, "", "this limit is there twice")
	}
	l := Limit{Name: raw.Name, For: raw.For, Term: loanTerm, Available: raw.Mode == "available"}
	switch raw.For {
	case "fleet", "tenant":
	case "cell":
		if doc.Cells == nil {
			c.fault(at, "for", "a limit for each cell needs a cells block")
		}
	default:
		c.fault(at, "for", "%q is neither fleet, cell nor tenant", raw.For)
	}
	sizes := 0
	for _, x := range []struct {
		key   string
		value *float64
		to    *float64
	}{{"scans_per_s", raw.Rate, &l.Rate}, {"open_scans", raw.Open, &l.Open}, {"work_ms", raw.Work, &l.Work}, {"further_per_s", raw.Further, &l.Rate}} {
		if x.value != nil {
			sizes++
			*x.to = c.between(at, x.key, x.value, 1e-3, limitSizeMost, 0)
		}
	}
	if sizes != 1 {
		c.fault(at, "", "one of scans_per_s, open_scans, work_ms and further_per_s is needed")
	}
	if raw.Burst != nil && raw.Rate == nil && raw.Further == nil {
		c.fault(at, "burst", "goes with scans_per_s and further_per_s alone")
	}
	if l.Further = raw.Further != nil; l.Further && (raw.For != "fleet" || slices.ContainsFunc(before, func(o limit) bool { return o.Further != nil })) {
		c.fault(at, "further_per_s", "there is one such limit, for the fleet")
	}
	l.Burst = c.between(at, "burst", raw.Burst, 1, limitSizeMost, max(1, l.Rate/2))
	if raw.Mode != "" && raw.Mode != "strict" && raw.Mode != "available" {
		c.fault(at, "mode", "%q is neither strict nor available", raw.Mode)
	}
	if raw.Term != "" {
		l.Term = c.period(at, "term", raw.Term, loanLeast, loanMost)
	}
	if l.Available {
		l.Linger = lingerStd
		if raw.Linger != "" {
			l.Linger = c.period(at, "linger", raw.Linger, 0, time.Hour)
		}
		l.Alone = c.between(at, "alone", raw.Alone, 0, 1, 0)
	} else if raw.Linger != "" || raw.Alone != nil {
		c.fault(at, "mode", "linger and alone go with mode = \"available\": a strict limit is never passed")
	}
	owners := 0.0
	if raw.For == "tenant" {
		owners = tenantOwners
	}
	l.Owners = int(c.between(at, "owners", raw.Owners, 0, 1000, owners))
	return l
}

func (c *check) task(raw task, before []task, s *Sharing) Task {
	at := []string{"task", raw.Name}
	c.voters(at, s)
	t := Task{Name: raw.Name, At: raw.At, Run: raw.Run, Term: termStd, Holders: int(c.between(at, "holders", raw.Holders, 1, holdersMost, 1)),
		Once: raw.Missed == "once", Prefer: raw.Prefer}
	if raw.Name == "" || len(raw.Name) > 80 || strings.ContainsAny(raw.Name, "/ ") {
		c.fault(at, "", "a task needs a name of 1 to 80 bytes, without spaces and slashes")
	}
	if slices.ContainsFunc(before, func(o task) bool { return o.Name == raw.Name }) {
		c.fault(at, "", "this task is there twice")
	}
	if len(raw.Run) == 0 || raw.Run[0] == "" {
		c.fault(at, "run", "a command is needed, such as [\"/usr/bin/compact\", \"--all\"]; no shell reads it")
	}
	if raw.Term != "" {
		t.Term = c.period(at, "term", raw.Term, termLeast, termMost)
	}
	if raw.Timeout != "" {
		t.Timeout = c.period(at, "timeout", raw.Timeout, 10*time.Millisecond, 30*24*time.Hour)
	}
	if raw.Missed != "" && raw.Missed != "skip" && raw.Missed != "once" {
		c.fault(at, "on_missed", "%q is neither skip nor once", raw.Missed)
	}
	var err error
	switch {
	case (raw.Every == "") == (raw.At == ""):
		c.fault(at, "", "one of every and at is needed")
	case raw.Every != "":
		t.Every = c.period(at, "every", raw.Every, time.Second, 366*24*time.Hour)
	default:
		// Times are the fleet's: a member's own zone would be another at each.
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

func (c *check) watch(raw *watch) *Watch {
	at := []string{"watch"}
	w := &Watch{SecondCopies: raw.SecondCopies, Cancelling: raw.Cancelling, Notes: raw.Notes, Dispatches: raw.Dispatches}
	if c.between(at, "dispatches", raw.Dispatches, 1, 100, 1); raw.Dispatches != nil && *raw.Dispatches != float64(int(*raw.Dispatches)) {
		c.fault(at, "dispatches", "%v is no whole number", *raw.Dispatches)
	}
	if b := raw.Budget; b != nil {
		in := []string{"watch", "budget"}
		w.Budget = &Budget{Free: c.between(in, "free", &b.Free, 0, 1e6, 0), Share: c.between(in, "share", &b.Share, 0, 10, 0),
			Window: c.period(in, "window", b.Window, 100*time.Millisecond, time.Hour)}
	}
	for i, t := range raw.Types {
		in := []string{"watch", "table_type", t.Name}
		v := WatchedType{Name: t.Name, Effect: t.Effect, Where: c.where(in, "")}
		if slices.ContainsFunc(raw.Types[:i], func(o watchedType) bool { return o.Name == t.Name }) {
			c.fault(in, "", "this table type is there twice")
		}
		if !slices.Contains(effects, t.Effect) {
			c.fault(in, "effect", "%q is none of %s", t.Effect, strings.Join(effects, ", "))
		}
		if (t.Effect == "keyed") != (t.Window != "") {
			c.fault(in, "repeat_window", "it goes with the effect keyed, and only with that")
		} else if t.Window != "" {
			v.RepeatWindow = c.period(in, "repeat_window", t.Window, time.Millisecond, time.Hour)
		}
		w.Types = append(w.Types, v)
	}
	if reflect.DeepEqual(*w, Watch{}) {
		c.fault(at, "", "nothing is named to be watched")
	}
	return w
}

func (c *check) period(path []string, key, text string, least, most time.Duration) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil || d < least || d > most {
		c.fault(path, key, "%q is no time from %v to %v", text, least, most)
	}
	return d
}

const cellsMost = 256

func (c *check) cells(raw *cellMap) *Cells {
	at := []string{"cells"}
	holders := 2.0
	if raw.Holders != nil {
		holders = float64(*raw.Holders)
	}
	m := &Cells{Holders: int(c.between(at, "holders", &holders, 1, 100, 2)), Least: c.between(at, "least_share", raw.Least, 0.01, 1, 0.5),
		Default: raw.Default, Pins: raw.Pins}
	names := map[string]bool{}
	for _, k := range raw.Cells {
		in := []string{"cells", "cell", k.Name}
		if k.Name == "" || len(k.Name) > 100 || names[k.Name] {
			c.fault(in, "", "a cell needs a name of its own, of 1 to 100 bytes")
		}
		names[k.Name] = true
		m.Cells = append(m.Cells, Cell{Name: k.Name, Weight: c.between(in, "weight", k.Weight, 0.001, 1e6, 1),
			Rate: c.between(in, "scans_per_s", k.Rate, 0.01, 1e6, 0), Burst: c.between(in, "burst", k.Burst, 1, 1e6, 0),
			Open: int(c.between(in, "open_scans", k.Open, 1, 1e6, 0)), WorkMS: c.between(in, "work_ms", k.Work, 1, 1e9, 0),
			TenantRate: c.between(in, "tenant_scans_per_s", k.TenantRate, 0.01, 1e6, 0), TenantBurst: c.between(in, "tenant_burst", k.TenantBurst, 1, 1e6, 0)})
	}
	if len(raw.Cells) == 0 || len(raw.Cells) > cellsMost {
		c.fault(at, "", "from 1 to %d cell blocks are needed", cellsMost)
	}
	if raw.Default != "" && !names[raw.Default] {
		c.fault(at, "default", "there is no cell %q", raw.Default)
	}
	for tenant, name := range raw.Pins {
		if !names[name] {
			c.fault(at, "pins", "tenant %q is pinned to %q, and there is no such cell", tenant, name)
		}
	}
	return m
}

// worded puts the library's first error into one line: place, key, what is wrong.
func worded(diags hcl.Diagnostics) error {
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

// check collects the first fault.
type check struct {
	body      *hclsyntax.Body
	name, dir string
	err       error
}

// fault notes what is wrong with a key. Path names the blocks round it, with their labels.
func (c *check) fault(path []string, key, format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf("%s: %s", c.where(path, key), fmt.Sprintf(format, args...))
	}
}

// where names a key's place: file, line, and the blocks round it.
func (c *check) where(path []string, key string) string {
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

func (c *check) address(path []string, key, addr string) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil || at.Port() == 0 {
		c.fault(path, key, "%q is no address with a port, such as 10.0.0.4:7946 (names are not looked up)", addr)
	}
}

func (c *check) between(path []string, key string, x *float64, least, most, other float64) float64 {
	if x == nil {
		return other
	}
	if !(*x >= least && *x <= most) {
		c.fault(path, key, "%v is not from %v to %v", *x, least, most)
	}
	return *x
}

const membersMost = 1000

func (c *check) sharing(raw *sharing, self string) *Sharing {
	at := []string{"sharing"}
	s := &Sharing{Listen: raw.Listen, Advertise: cmp.Or(raw.Advertise, raw.Listen), Members: raw.Members, Join: raw.Join, Notes: raw.Notes,
		Weight:     c.between(at, "weight", raw.Weight, 0.01, 1000, 1),
		ClockDrift: c.between(at, "clock_drift", raw.ClockDrift, 0, 0.2, 0.01),
		Pace:       c.between(at, "pace", raw.Pace, 0.02, 60, 1)}
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
			c.fault(at, "members", "%s and %s have one address, %s", min(name, other), max(name, other), a)
		}
		seen[a] = name
	}
	switch {
	case len(raw.Members) > membersMost:
		c.fault(at, "members", "%d are too many, %d at most", len(raw.Members), membersMost)
	case len(raw.Members) > 0 && raw.Members[self] == "":
		c.fault(at, "members", "this broker, %q, is not among them", self)
	case len(raw.Members) > 0 && raw.Members[self] != s.Advertise:
		c.fault(at, "members", "this broker, %q, is reached at %s but is named with %s", self, s.Advertise, raw.Members[self])
	case len(raw.Members) == 0 && len(raw.Join) == 0:
		c.fault(at, "", "members or join is needed")
	}
	if v := raw.Verdicts; v != nil {
		at := []string{"sharing", "verdicts"}
		s.Verdicts = &Verdicts{Dir: v.Dir, Fresh: freshStd, Quorum: int(c.between(at, "observers", v.Quorum, 1, 100, 2)), Widest: c.between(at, "widest", v.Widest, 0, 0.9, 1.0/3)}
		if v.Fresh != "" {
			s.Verdicts.Fresh = c.period(at, "fresh", v.Fresh, time.Second, 5*time.Minute)
		}
		if v.Dir != "" && !filepath.IsAbs(v.Dir) {
			s.Verdicts.Dir = filepath.Join(c.dir, v.Dir)
		}
	}
	if len(raw.Keys) == 0 {
		c.fault(at, "", "a key block is needed: members' datagrams are authenticated")
	}
	for _, k := range raw.Keys {
		s.Keys = append(s.Keys, c.key(k))
		if slices.ContainsFunc(s.Keys[:len(s.Keys)-1], func(o Key) bool { return o.Number == s.Keys[len(s.Keys)-1].Number }) {
			c.fault([]string{"sharing", "key", k.Number}, "", "this number is there twice")
		}
	}
	for _, d := range raw.Duties {
		at := []string{"sharing", "duty", d.Name}
		period, err := time.ParseDuration(d.Period)
		if err != nil || period < 100*time.Millisecond || period > 30*24*time.Hour {
			c.fault(at, "period", "%q is no time from 100ms to 720h", d.Period)
		}
		if !slices.Contains(dutyNames, d.Name) {
			c.fault(at, "", "there is no such duty; there are: %s", strings.Join(dutyNames, ", "))
		}
		if slices.ContainsFunc(s.Duties, func(o Duty) bool { return o.Name == d.Name }) {
			c.fault(at, "", "this duty is there twice")
		}
		s.Duties = append(s.Duties, Duty{d.Name, period})
	}
	return s
}

func (c *check) key(k key) Key {
	at := []string{"sharing", "key", k.Number}
	n, err := strconv.ParseUint(k.Number, 10, 8)
	if err != nil {
		c.fault(at, "", "a key's label is its number, from 0 to 255")
	}
	text, name := k.Secret, "secret"
	if (k.Secret == "") == (k.File == "") {
		c.fault(at, "", "one of secret and secret_file is needed")
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

// unsized are limits without what is taken up in service.
func unsized(limits []Limit) []Limit {
	all := slices.Clone(limits)
	for i := range all {
		l := &all[i]
		if l.Burst = 0; l.Rate > 0 {
			l.Rate = 1
		}
		l.Open, l.Work = min(l.Open, 1e-9), min(l.Work, 1e-9)
	}
	return all
}

// Differ names the blocks and keys in which other differs from d; keys of members and sizes of limits are taken up in service, the rest
// waits for a restart.
func (d *Document) Differ(other *Document) (names []string) {
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
	if !reflect.DeepEqual(unsized(d.Limits), unsized(other.Limits)) {
		names = append(names, "limit")
	}
	if d.Lent != other.Lent {
		names = append(names, "limits")
	}
	if !reflect.DeepEqual(d.Watch, other.Watch) {
		names = append(names, "watch")
	}
	if !reflect.DeepEqual(d.Cells, other.Cells) {
		names = append(names, "cells")
	}
	return names
}
