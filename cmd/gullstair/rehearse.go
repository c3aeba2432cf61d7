package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"gullstair/internal/emulator"
	"gullstair/internal/scenario"
	"gullstair/scenarios"
)

type rehearseCmd struct {
	Scenario string        `arg:"" optional:"" help:"A scenario file, or the name of a scenario that comes with the program (see --list). Default: first-look on loopback."`
	Seed     uint64        `default:"1" help:"Random seed. In virtual time the same seed gives the same run."`
	Virtual  bool          `xor:"drive" help:"Play in virtual time (the default where a scenario is named)."`
	Loopback bool          `xor:"drive" help:"Play in real time, with broker processes and emulated stores on loopback sockets."`
	Policy   string        `default:"gullstair" enum:"gullstair,random,least" help:"Policy that selects nodes in virtual time: the broker's, or a baseline (random holder, fewest outstanding requests)."`
	Share    time.Duration `help:"On loopback, divide the probing of all stores among the brokers, with one probe per store and period."`
	JSON     string        `name:"json" help:"Write the report to this file; - for standard output." placeholder:"FILE"`
	List     bool          `help:"List the scenarios that come with the program."`
}

const defaultScenario = "first-look"

var errRehearsalFailed = errors.New("the rehearsal failed")

func (c *rehearseCmd) Run(out io.Writer) error {
	if c.List {
		return listScenarios(out)
	}
	if c.Scenario == "" {
		c.Scenario, c.Loopback = defaultScenario, !c.Virtual
	}
	s, err := findScenario(c.Scenario)
	if err != nil {
		return err
	}
	if c.Loopback && c.Policy != "gullstair" {
		return errors.New("rehearse: --policy requires virtual time, since loopback runs real brokers")
	}
	f, notes, err := c.runScenario(s)
	if err != nil {
		return err
	}
	if c.JSON == "-" {
		if err := writeJSON(out, f); err != nil {
			return err
		}
	} else {
		printFigures(out, s, c, f, notes)
		if c.JSON != "" {
			b, err := json.MarshalIndent(f, "", "  ")
			if err != nil {
				return err
			}
			if err := os.WriteFile(c.JSON, append(b, '\n'), 0o644); err != nil {
				return fmt.Errorf("write the report: %w", err)
			}
		}
	}
	if len(f.Violations) > 0 || len(f.FailedExpectations) > 0 {
		return errRehearsalFailed
	}
	return nil
}

// runScenario runs a scenario; an interrupt ends it with a report of the part that was run.
func (c *rehearseCmd) runScenario(s *scenario.Scenario) (f emulator.Figures, notes []string, err error) {
	newPolicy := emulator.Gullstair
	if c.Loopback {
		newPolicy = nil
	} else if c.Policy != "gullstair" {
		newPolicy = emulator.Baseline(c.Policy == "least")
	}
	w := emulator.New(&s.Fleet, c.Seed, newPolicy)
	w.ProbePeriod = c.Share
	for _, x := range s.Faults {
		if err := w.ScheduleFault(x); err != nil {
			return f, nil, err
		}
	}
	if c.Loopback {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		self, err := os.Executable()
		if err != nil {
			return f, nil, fmt.Errorf("rehearse: %w", err)
		}
		if f, err = w.RunLoopback(ctx, s.Length, self, "serve", "--log", "warn"); err != nil {
			return f, nil, err
		}
		if ctx.Err() != nil {
			f.Interrupted = true
			return f, w.Timeline, nil // expectations hold for complete runs only
		}
	} else if f, err = w.Run(s.Length); err != nil {
		return f, nil, err
	}
	f.FailedExpectations = s.Check(f)
	return f, w.Timeline, nil
}

// findScenario reads a scenario from a file, or one that comes with the program.
func findScenario(name string) (*scenario.Scenario, error) {
	if _, err := os.Stat(name); err == nil || strings.ContainsRune(name, os.PathSeparator) {
		return scenario.Read(name)
	}
	file := strings.TrimSuffix(name, ".hcl") + ".hcl"
	text, err := scenarios.Files.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("no scenario %q: neither a file nor a scenario that comes with the program (see --list)", name)
	}
	return scenario.Parse(text, file)
}

func scenarioNames() []string {
	entries, _ := scenarios.Files.ReadDir(".")
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(filepath.Base(e.Name()), ".hcl"))
	}
	slices.Sort(names)
	return names
}

func listScenarios(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, name := range scenarioNames() {
		s, err := findScenario(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%s\t%s\n", name, s.About)
	}
	return w.Flush()
}

func printFigures(out io.Writer, s *scenario.Scenario, c *rehearseCmd, f emulator.Figures, notes []string) {
	how := fmt.Sprintf("policy %s, %.0f s of virtual time in %.2f s", c.Policy, f.VirtualSecs, f.WallSeconds)
	if c.Loopback {
		how = fmt.Sprintf("%.1f s on loopback", f.WallSeconds)
	}
	fmt.Fprintf(out, "%s: %s\n%d stores, %d brokers, seed %d; %s, %d events\n\n", s.Name, s.About, s.Fleet.Stores, s.Fleet.Brokers, c.Seed, how, f.Events)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "from s\tscans\tserved %\tin time\tlate\tthrottled\tfailed\t")
	for _, x := range f.Windows {
		served := 100.0
		if x.Requested > 0 {
			served = 100 * x.Earned / x.Requested
		}
		fmt.Fprintf(w, "%.0f\t%d\t%.1f\t%d\t%d\t%d\t%d\t\n", x.From/1000, x.Scans, served, x.Answered, x.Late, x.Throttled, x.Failed)
	}
	w.Flush()
	fmt.Fprintln(out)
	for _, n := range notes {
		fmt.Fprintln(out, n)
	}
	fmt.Fprintf(out, "\nservice %.4f   worst 10 s %.4f   worst type %.4f (%s)   p50 %.0f ms   p99 %.0f ms   p99.9 %.0f ms\n", f.Service, f.Worst10s,
		f.WorstType, f.WorstTypeName, f.P50, f.P99, f.P999)
	fmt.Fprintf(out, "scans %d   late %d   throttled %d   failed %d   unanswered %d   dispatches a scan %.2f   work wasted %.1f%%\n", f.Scans, f.Late,
		f.Throttled, f.Failed, f.Unanswered, f.Dispatches, 100*f.Wasted)
	if len(f.ByTenant) > 0 {
		fmt.Fprintf(out, "tenants %d   worst %.4f", len(f.ByTenant), f.WorstTenant)
		if f.Abuser != "" {
			fmt.Fprintf(out, "   worst in other cells %.4f   abuser %s %.4f", f.OtherCells, f.Abuser, f.ByTenant[f.Abuser])
		}
		fmt.Fprintln(out)
	}
	if len(f.Brokers) > 0 {
		cpu, rss := 0.0, 0.0
		for _, u := range f.Brokers {
			cpu, rss = cpu+u.CPUSeconds, max(rss, u.MaxRSSMB)
		}
		fmt.Fprintf(out, "brokers: %.2f CPU seconds each, %.0f MB at most; %d probes reached the stores\n", cpu/float64(len(f.Brokers)), rss, f.Probes)
	}
	if f.Interrupted {
		fmt.Fprintln(out, "interrupted: the report covers the part that was run")
	}
	if len(f.Violations) == 0 {
		fmt.Fprintln(out, "no rule broken")
	}
	for _, b := range f.Violations[:min(len(f.Violations), 5)] {
		fmt.Fprintf(out, "RULE BROKEN at %.2f s: %s: scan %s: %s\n", b.At/1000, b.Rule, b.Scan, b.Detail)
		for _, line := range b.Trace {
			fmt.Fprintln(out, "    "+line)
		}
	}
	for _, e := range f.FailedExpectations {
		fmt.Fprintln(out, "NOT AS EXPECTED: "+e)
	}
}
