package main

import (
	"fmt"
	"io"
	"net/url"
	"text/tabwriter"
	"time"

	"gullstair/internal/broker"
	"gullstair/internal/control"
)

type limitsCmd struct {
	Show  limitsShowCmd  `cmd:"" default:"withargs" help:"Show each limit and its busiest keys (the default)."`
	Set   limitsSetCmd   `cmd:"" help:"Change the size of a limit for a while, in the whole fleet."`
	Clear limitsClearCmd `cmd:"" help:"End such a change early."`
}

type limitsSetCmd struct {
	Socket string        `required:"" help:"The broker's control socket." type:"path"`
	Name   string        `arg:"" help:"The limit's name."`
	Size   string        `required:"" help:"Scans a second, open scans or ms of work, depending on what the limit counts."`
	Burst  string        `help:"Burst of a limit that counts scans a second; if omitted, in proportion to the size."`
	For    time.Duration `required:"" help:"How long; then the limit reverts by itself, also at a broker that is cut off."`
}

func (c *limitsSetCmd) Run(out io.Writer) error {
	if err := control.Post(c.Socket, "limits", url.Values{"limit": {c.Name}, "size": {c.Size}, "burst": {c.Burst}, "for": {c.For.String()}}); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%s: set here and sent to all brokers; gullstair limits shows how many know it\n", c.Name)
	return err
}

type limitsClearCmd struct {
	Socket string `required:"" help:"The broker's control socket." type:"path"`
	Name   string `arg:"" help:"The limit's name."`
}

func (c *limitsClearCmd) Run(out io.Writer) error {
	if err := control.Post(c.Socket, "limits", url.Values{"limit": {c.Name}, "do": {"clear"}}); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%s: reverted here and sent to all brokers\n", c.Name)
	return err
}

type limitsShowCmd struct{ socketFlags }

func (c *limitsShowCmd) Run(out io.Writer) error {
	var s broker.LimitsView
	if err := control.Get(c.Socket, "limits", &s); err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(out, s)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "LIMIT\tKEY\tSIZE\tHOME\tLENT\tBORROWED\tSHARE\tUSED\tASKED\tAGE\tOVER AT MOST\tSTATE")
	for _, l := range s.Limits {
		state := "connected"
		switch {
		case l.Quiet > 0:
			state = fmt.Sprintf("home share not used for %s", formatDuration(l.Quiet))
		case l.Cut:
			state = "no answer from a lender"
		}
		if l.Order != "" {
			state += fmt.Sprintf("; set by %s for %s, known to %d others", l.Order, formatDuration(l.Left), l.Told)
		}
		fmt.Fprintf(w, "%s\t%s\t%g\t%.3f\t%.3f\t%.3f\t%.3f\t%.1f\t%.1f\t%s\t%.3f\t%s\n", l.Limit, l.Key, l.Size, l.Home, l.Lent, l.Borrowed, l.Share,
			l.Used, l.Demand, formatDuration(l.Age), l.Over, state)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	n := s.Counts
	_, err := fmt.Fprintf(out, "%d keys; scans: %d admitted, %d throttled, %d rejected for too many keys; loans: %d lent, %d borrowed, %d recalled, %d late answers\n",
		s.Accounts, n.Taken, n.Throttled, n.Crowded, n.Lent, n.Borrowed, n.Recalled, n.Late)
	return err
}
