package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"gullstair/internal/control"
	"gullstair/internal/memberactor"
)

// socketFlags holds the flags that all commands to a running broker share.
type socketFlags struct {
	Socket string `required:"" help:"The broker's control socket, as given in its features document." type:"path"`
	JSON   bool   `name:"json" help:"Write JSON."`
}

func (a socketFlags) state() (s memberactor.State, err error) {
	return s, control.Get(a.Socket, "sharing", &s)
}

func writeJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

type membersCmd struct{ socketFlags }

func (c *membersCmd) Run(out io.Writer) error {
	s, err := c.state()
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(out, map[string]any{"self": s.Self, "health": s.Health, "members": s.Members, "counts": s.Counts,
			"carrier": s.Carrier, "crowded": s.Crowded})
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tSTATE\tADDRESS\tINCARNATION\tWEIGHT\tSINCE\tHEARD\tBY")
	for _, m := range s.Members {
		since, heard := formatDuration(s.Now-m.Since), formatDuration(s.Now-m.Heard)
		if m.Name == s.Self.Name {
			since, heard = "self", "self"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%g\t%s\t%s\t%s\n", m.Name, m.State, m.Addr, m.Incarnation, m.Weight, since, heard, m.By)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	d := s.Carrier
	_, err = fmt.Fprintf(out, "own health %d of 8 (0: healthy); datagrams: %d sent, %d received; dropped: %d forged, %d with an unknown key, %d stale, "+
		"%d replayed, %d malformed, %d because the mailbox was full\n", s.Health, d.Sent, d.Received, d.Forged, d.Key, d.Stale, d.Replay,
		d.Short+d.Version+d.Body, s.Crowded)
	return err
}

type dutiesCmd struct {
	socketFlags
	Items bool `help:"List every item."`
}

func (c *dutiesCmd) Run(out io.Writer) error {
	s, err := c.state()
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(out, map[string]any{"now": s.Now, "duties": s.Duties, "leases": s.Leases, "counts": s.Done, "fenced": s.Fenced})
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "DUTY\tPERIOD\tITEMS\tMINE\tSIDE\tOLDEST\tOVERDUE")
	for _, d := range s.Duties {
		oldest, overdue := 0.0, 0
		for _, it := range d.Items {
			if it.Last > 0 {
				oldest = max(oldest, s.Now-it.Last)
			}
			if s.Now > it.Due+d.Duty.Period/10 {
				overdue++
			}
		}
		side := "all"
		if d.Roster > 0 {
			side = fmt.Sprintf("%d of %d", d.Side, d.Roster)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\t%d\n", d.Duty.Name, formatDuration(d.Duty.Period), len(d.Items), d.Mine, side, formatDuration(oldest), overdue)
	}
	if c.Items {
		fmt.Fprintln(w, "\nITEM\tOWNER\tLAST DONE\tBY\tDUE IN\t\t")
		for _, d := range s.Duties {
			for _, it := range d.Items {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t\t\n", it.Name, it.Owner, formatDuration(s.Now-it.Last), it.By, formatDuration(it.Due-s.Now))
			}
		}
	}
	if len(s.Leases) > 0 {
		fmt.Fprintln(w, "\nLEASE\tHOLDER\tFENCE\tFOR\tVOTERS")
		for _, l := range s.Leases {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d of %d\n", l.Lease, l.Holder, l.Epoch, formatDuration(l.Until-s.Now), l.Majority, l.Voters)
		}
	}
	return w.Flush()
}
