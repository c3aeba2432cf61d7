// Package features reads the document of an installation's features: what a broker does beyond the platform's start
// file, all of it off unless it is named there. It is the one place where that document is read and checked; an error
// names its line and key, and a document with a fault is not taken up at all.
package features

import (
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
)

// Document is what was read. A block that is not there is nil: that feature is off.
type Document struct {
	Sharing *Sharing
	Control *Control
	Cells   *Cells
	Watch   *Watch
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
	Listen     string            // host:port for members' datagrams, as others reach it
	Members    map[string]string // the configured members' addresses by name; empty: whoever joins
	Join       []string          // addresses where members may be found
	Weight     float64
	ClockDrift float64 // share by which a clock may run wrong
	Pace       float64 // times the usual times of membership
	Keys       []Key   // the first one seals
	Duties     []Duty
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
	Members    map[string]string `hcl:"members,optional"`
	Join       []string          `hcl:"join,optional"`
	Weight     *float64          `hcl:"weight,optional"`
	ClockDrift *float64          `hcl:"clock_drift,optional"`
	Pace       *float64          `hcl:"pace,optional"`
	Keys       []key             `hcl:"key,block"`
	Duties     []duty            `hcl:"duty,block"`
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
	return doc, c.err
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
	s := &Sharing{Listen: raw.Listen, Members: raw.Members, Join: raw.Join,
		Weight:     c.between(at, "weight", raw.Weight, 0.01, 1000, 1),
		ClockDrift: c.between(at, "clock_drift", raw.ClockDrift, 0, 0.2, 0.01),
		Pace:       c.between(at, "pace", raw.Pace, 0.02, 60, 1)}
	c.address(at, "listen", raw.Listen)
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
	case len(raw.Members) > 0 && raw.Members[self] != raw.Listen:
		c.fault(at, "members", "this broker, %q, listens at %s but is named with %s", self, raw.Listen, raw.Members[self])
	case len(raw.Members) == 0 && len(raw.Join) == 0:
		c.fault(at, "", "members or join is needed")
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

// Differ names the blocks and keys in which other differs from d; keys of members are taken up in service, the rest
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
	if !reflect.DeepEqual(d.Watch, other.Watch) {
		names = append(names, "watch")
	}
	if !reflect.DeepEqual(d.Cells, other.Cells) {
		names = append(names, "cells")
	}
	return names
}
