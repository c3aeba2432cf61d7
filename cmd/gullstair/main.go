// Command gullstair runs a broker, and the tools to operate, check and rehearse brokers. Run it with -h for its
// subcommands.
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

// commands is the whole command line; kong reads it from the tags.
type commands struct {
	Serve       serveCmd    `cmd:"" default:"withargs" help:"Run one broker (the default). GW_CONFIG, GW_NAME, GW_LISTEN and GW_DISCOVERY configure it."`
	CheckConfig checkCmd    `cmd:"" help:"Read and check the configuration of serve, print a summary, and exit."`
	Members     membersCmd  `cmd:"" help:"List the members that a running broker sees, with their states."`
	Duties      dutiesCmd   `cmd:"" help:"List the duties with their owners and last runs, and the leases with their holders, as a running broker sees them."`
	Cells       cellsCmd    `cmd:"" help:"List a running broker's cells: open and throttled scans, the reasons, and the cells that refuse scans."`
	Limits      limitsCmd   `cmd:"" help:"Show and change the limits of the whole fleet: this broker's share of each, the amounts lent, borrowed and used, their age, and the largest possible excess."`
	Verdict     verdictCmd  `cmd:"" help:"Show the fleet's verdict on each store with its reasons, and give an operator's order on a store."`
	Lease       leaseCmd    `cmd:"" help:"Manage the leases of the whole fleet: scheduled tasks, and commands that run under a lease."`
	Guard       guardCmd    `cmd:"" hidden:"" help:"Run a command that must not outlive a deadline; started by brokers."`
	Rehearse    rehearseCmd `cmd:"" help:"Play a scenario of failures against emulated stores and check the brokers' behaviour."`
	Version     versionCmd  `cmd:"" help:"Print the version."`
}

type checkCmd struct {
	Features string `help:"Also check this features document." type:"path"`
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

// helpRequested is the panic value that ends a command line which only requested help.
type helpRequested struct{}

// run runs one command line.
func run(args []string, out io.Writer) (err error) {
	defer func() {
		if r := recover(); r != nil {
			if _, isHelp := r.(helpRequested); !isHelp {
				panic(r)
			}
			err = nil
		}
	}()
	var c commands
	parser, err := kong.New(&c, kong.Name("gullstair"), kong.Description("An aggregator that serves a scan from many shards."),
		kong.UsageOnError(), kong.Writers(out, os.Stderr), kong.Exit(func(int) { panic(helpRequested{}) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		return err
	}
	ctx, err := parser.Parse(normalizeArgs(args, flagsOf(parser.Model.Node)))
	if err != nil {
		if first := slices.IndexFunc(args, func(a string) bool { return !strings.HasPrefix(a, "-") }); first == 0 && !slices.ContainsFunc(
			parser.Model.Children, func(n *kong.Node) bool { return n.Name == args[0] }) {
			return fmt.Errorf("unknown command %q", args[0])
		}
		return err
	}
	for do, order := range map[tasks.Action]*leaseOrderCmd{tasks.Release: &c.Lease.Release, tasks.Pause: &c.Lease.Pause, tasks.Resume: &c.Lease.Resume,
		tasks.Trigger: &c.Lease.Trigger} {
		order.action = do
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

// normalizeArgs accepts long flags written with a single dash, as earlier releases did, and "help" in place of --help.
func normalizeArgs(args, names []string) []string {
	args = slices.Clone(args)
	for i, a := range args {
		if a == "--" {
			break // the arguments of another program follow
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
	cfg, err := config.Read(os.Getenv)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: listens on %s, discovery at %s, %d nodes known, %d table types, %d MB, %d sockets\n",
		cfg.Name, cfg.Listen, cfg.Discovery, len(cfg.KnownList.Hosts), len(cfg.Site.Types), cfg.MemoryMB, cfg.Sockets)
	f, err := readFeatures(c.Features, cfg.Name)
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
		fmt.Fprintf(out, "lease: terms up to %v, votes stored in %q\n", f.Lease.MaxTerm, f.Lease.Dir)
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

// logger returns a logger that writes JSON lines to standard error.
func logger(level string) (zerolog.Logger, error) {
	lv, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), fmt.Errorf("--log: %w", err)
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(os.Stderr).Level(lv).With().Timestamp().Logger(), nil
}

// formatDuration formats a duration in ms.
func formatDuration(ms float64) string {
	if ms < -1e12 || ms > 1e12 {
		return "-"
	}
	return time.Duration(ms * float64(time.Millisecond)).Round(10 * time.Millisecond).String()
}
