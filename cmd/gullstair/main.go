// Command gullstair is the broker and what belongs to it. Run it with -h for its sub-commands.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"gullstair/internal/config"
	"gullstair/internal/tasks"
)

// commands is the whole command line; kong reads it from these tags.
type commands struct {
	Serve       serveCmd    `cmd:"" default:"withargs" help:"Run one broker (the default). It is told by GW_CONFIG, GW_NAME, GW_LISTEN and GW_DISCOVERY."`
	CheckConfig checkCmd    `cmd:"" help:"Read and check what serve would be told, say what was found, and exit."`
	Members     membersCmd  `cmd:"" help:"Who a running broker sees, and how."`
	Duties      dutiesCmd   `cmd:"" help:"Which broker does what, when it was last done, and who holds which lease, as a running broker sees it."`
	Cells       cellsCmd    `cmd:"" help:"A running broker's cells: what is open in each, what was turned away and why, which refuse."`
	Limits      limitsCmd   `cmd:"" help:"Limits that hold for the whole fleet: this broker's share of each, lent, borrowed, used, how old that is and how far over it can be."`
	Verdict     verdictCmd  `cmd:"" help:"What the brokers together hold of each store, why, and an operator's word on one."`
	Lease       leaseCmd    `cmd:"" help:"Leases that hold for the whole fleet: scheduled tasks, and commands run under a lease."`
	Guard       guardCmd    `cmd:"" hidden:"" help:"Run a command that may not outlive a deadline; brokers start it."`
	Rehearse    rehearseCmd `cmd:"" help:"Play a scenario of failures against emulated stores and judge what the brokers do."`
	Version     versionCmd  `cmd:"" help:"Print the version."`
}

type checkCmd struct {
	Features string `help:"Check this document of features too." type:"path"`
}

type versionCmd struct{}

func main() {
	command := run
	if isFleetCommand(os.Args[1:]) {
		command = runFleet
	}
	if err := command(os.Args[1:], os.Stdout); err != nil {
		if code := exitCode(0); errors.As(err, &code) {
			os.Exit(int(code))
		}
		fmt.Fprintln(os.Stderr, "gullstair:", err)
		os.Exit(1)
	}
}

// helped ends a command line that only asked for help.
type helped struct{}

// run carries out one command line.
func run(args []string, out io.Writer) (err error) {
	defer func() {
		if r := recover(); r != nil {
			if _, asked := r.(helped); !asked {
				panic(r)
			}
			err = nil
		}
	}()
	var c commands
	parser, err := kong.New(&c, kong.Name("gullstair"), kong.Description("An aggregator that serves a scan from many shards."),
		kong.UsageOnError(), kong.Writers(out, os.Stderr), kong.Exit(func(int) { panic(helped{}) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		return err
	}
	ctx, err := parser.Parse(oldStyle(args, flagsOf(parser.Model.Node)))
	if err != nil {
		if first := slices.IndexFunc(args, func(a string) bool { return !strings.HasPrefix(a, "-") }); first == 0 && !slices.ContainsFunc(
			parser.Model.Children, func(n *kong.Node) bool { return n.Name == args[0] }) {
			return fmt.Errorf("unknown command %q", args[0])
		}
		return err
	}
	for do, order := range map[tasks.Do]*leaseOrderCmd{tasks.Release: &c.Lease.Release, tasks.Pause: &c.Lease.Pause, tasks.Resume: &c.Lease.Resume,
		tasks.Trigger: &c.Lease.Trigger} {
		order.do = do
	}
	ctx.BindTo(out, (*io.Writer)(nil))
	return ctx.Run()
}

// flagsOf lists the long flags of all commands.
func flagsOf(n *kong.Node) (names []string) {
	for _, f := range n.Flags {
		names = append(names, f.Name)
	}
	for _, child := range n.Children {
		names = append(names, flagsOf(child)...)
	}
	return names
}

// oldStyle lets long flags be written with one dash, as they were before, and help be asked for by its name.
func oldStyle(args, names []string) []string {
	args = slices.Clone(args)
	for i, a := range args {
		if a == "--" {
			break // what follows is another program's
		}
		name, _, _ := strings.Cut(strings.TrimPrefix(a, "-"), "=")
		if len(name) > 1 && strings.HasPrefix(a, "-") && !strings.HasPrefix(a, "--") && slices.Contains(names, name) {
			args[i] = "-" + a
		}
	}
	if len(args) > 0 && args[0] == "help" {
		args[0] = "--help"
	}
	return args
}

func (c *checkCmd) Run(out io.Writer) error {
	told, err := config.Read(os.Getenv)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: listens on %s, discovery at %s, %d nodes known, %d table types, %d MB, %d sockets\n",
		told.Name, told.Listen, told.Discovery, len(told.Known.Hosts), len(told.Site.Types), told.MemoryMB, told.Sockets)
	f, err := readFeatures(c.Features, told.Name)
	if err != nil || f == nil {
		return err
	}
	if s := f.Sharing; s != nil {
		fmt.Fprintf(out, "sharing: listens on %s, %d members, %d keys, %d duties\n", s.Listen, len(s.Members), len(s.Keys), len(s.Duties))
	}
	if f.Cells != nil {
		fmt.Fprintf(out, "cells: %d, %d holders of each set, %d pins\n", len(f.Cells.Cells), f.Cells.Holders, len(f.Cells.Pins))
	}
	if f.Lease != nil {
		fmt.Fprintf(out, "lease: by hand up to %v, votes stored in %q\n", f.Lease.Longest, f.Lease.Dir)
	}
	for _, t := range f.Tasks {
		fmt.Fprintf(out, "task %s: %s\n", t.Name, strings.Join(t.Run, " "))
	}
	for _, l := range f.Limits {
		fmt.Fprintf(out, "limit %s: for each %s\n", l.Name, l.For)
	}
	if f.Control != nil {
		fmt.Fprintf(out, "control: %s\n", f.Control.Socket)
	}
	return nil
}

func (versionCmd) Run(out io.Writer) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version + " " + info.GoVersion
	}
	fmt.Fprintln(out, "gullstair", version)
	return nil
}

// logger writes JSON lines on standard error.
func logger(level string) (zerolog.Logger, error) {
	lv, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), fmt.Errorf("--log: %w", err)
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(os.Stderr).Level(lv).With().Timestamp().Logger(), nil
}

// ago words a span in ms.
func ago(ms float64) string {
	if ms < -1e12 || ms > 1e12 {
		return "-"
	}
	return time.Duration(ms * float64(time.Millisecond)).Round(10 * time.Millisecond).String()
}
