package main

import (
	"fmt"
	"io"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"gullstair/internal/control"
)

type verdictCmd struct {
	List    verdictListCmd    `cmd:"" default:"withargs" help:"List all stores that any broker reports on (the default)."`
	Tenants verdictTenantsCmd `cmd:"" help:"List the tenants that any broker throttles, with the limits and how often."`
	Set     verdictSetCmd     `cmd:"" help:"Give an operator's order on a store, for a while, in the whole fleet."`
	Why     verdictWhyCmd     `cmd:"" help:"Show each observer's opinion on a store with its evidence and age, and this broker's verdict."`
}

type verdictListCmd struct{ socketFlags }

func (c *verdictListCmd) Run(out io.Writer) error {
	s, err := c.state()
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(out, map[string]any{"verdicts": s.Verdicts, "counts": s.Judged})
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "STORE\tVERDICT\tAGE\tOBSERVERS\tWHY\tORDER\tKNOWN TO\tUNKNOWN TO")
	for _, v := range s.Verdicts {
		order, known, unknown := "-", "-", "-"
		if o := v.Order; o != nil {
			order = fmt.Sprintf("%s by %s for %s: %s", o.Do, o.By, formatDuration(o.Left), o.Reason)
			known, unknown = fmt.Sprint(v.Told), fmt.Sprint(v.Not)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\n", v.Store, v.Kind, formatDuration(v.Age), len(v.Words), v.Why, order, known, unknown)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	n := s.Judged
	_, err = fmt.Fprintf(out, "reports: %d sent, %d received, %d old or known, %d invalid, %d dropped for lack of capacity; verdicts: %d reached, not reached: %d with too few observers, %d overruled by other observers, "+
		"%d that would exclude too many holders; %d reports ignored of observers that report too many stores\n", n.Said, n.Heard, n.Old, n.Odd, n.Dropped, n.Used, n.Few, n.Denied, n.Wide, n.Doubted)
	return err
}

type verdictTenantsCmd struct{ socketFlags }

func (c *verdictTenantsCmd) Run(out io.Writer) error {
	s, err := c.state()
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(out, map[string]any{"tenants": s.Tenants})
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "TENANT\tTHROTTLED BY\tSCANS IN THEIR LAST SECOND\tAGE\tWHY")
	for _, t := range s.Tenants {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", t.Tenant, strings.Join(t.Observers, " "), t.Scans, formatDuration(t.Age), strings.Join(t.Why, ", "))
	}
	return w.Flush()
}

type verdictSetCmd struct {
	Socket string        `required:"" help:"The broker's control socket." type:"path"`
	Store  string        `arg:"" help:"The store's name, as in the node list."`
	Do     string        `arg:"" enum:"drain,rest,clear" help:"drain: send it nothing new; rest: treat it as if the observers agreed that it fails; clear: ignore the observers."`
	For    time.Duration `required:"" help:"How long; the order ends by itself, also at a broker that is cut off. 0s revokes an order."`
	Reason string        `required:"" help:"The reason, shown with the order."`
}

func (c *verdictSetCmd) Run(out io.Writer) error {
	if err := control.Post(c.Socket, "verdict", url.Values{"store": {c.Store}, "do": {c.Do}, "for": {c.For.String()}, "reason": {c.Reason}}); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%s: set here and sent to all brokers; gullstair verdict list shows how many know it\n", c.Store)
	return err
}

type verdictWhyCmd struct {
	socketFlags
	Store string `arg:"" help:"The store's name."`
}

func (c *verdictWhyCmd) Run(out io.Writer) error {
	s, err := c.state()
	if err != nil {
		return err
	}
	for _, v := range s.Verdicts {
		if v.Store != c.Store {
			continue
		}
		if c.JSON {
			return writeJSON(out, v)
		}
		fmt.Fprintf(out, "%s is held for %s: %s\n", v.Store, v.Kind, v.Why)
		if o := v.Order; o != nil {
			fmt.Fprintf(out, "ordered: %s by %s for %s (version %d): %s; known to %d members, not confirmed by %d\n", o.Do, o.By, formatDuration(o.Left), o.Version, o.Reason,
				v.Told, v.Not)
		}
		w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
		fmt.Fprintln(w, "OBSERVER\tZONE\tSAYS\tBAD\tGOOD\tAGE")
		for _, x := range v.Words {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", x.Observer, x.Zone, x.Kind, x.Bad, x.Good, formatDuration(x.Age))
		}
		if err := w.Flush(); err != nil {
			return err
		}
		_, err := fmt.Fprintf(out, "a verdict needs %d observers of %d zones; the reports of %d observers are too old to count\n", v.Wanted, v.Zones, v.Unseen)
		return err
	}
	_, err = fmt.Fprintf(out, "%s: no broker reports anything on it, and no operator's order is in force\n", c.Store)
	return err
}
