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
	List    verdictListCmd    `cmd:"" default:"withargs" help:"All stores that somebody holds something against (the default)."`
	Tenants verdictTenantsCmd `cmd:"" help:"Tenants that any broker holds back by a limit, which limits, and how much."`
	Set     verdictSetCmd     `cmd:"" help:"An operator's word on a store, in the whole fleet, for a while."`
	Why     verdictWhyCmd     `cmd:"" help:"Each observer's word on a store, its evidence and its age, and what this broker makes of it."`
}

type verdictListCmd struct{ asking }

func (c *verdictListCmd) Run(out io.Writer) error {
	s, err := c.state()
	if err != nil {
		return err
	}
	if c.JSON {
		return encoded(out, map[string]any{"verdicts": s.Verdicts, "counts": s.Judged})
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "STORE\tHELD FOR\tAGE\tOBSERVERS\tWHY\tORDER\tTOLD\tUNKNOWN")
	for _, v := range s.Verdicts {
		order, told, not := "-", "-", "-"
		if o := v.Order; o != nil {
			order = fmt.Sprintf("%s by %s for %s: %s", o.Do, o.By, ago(o.Left), o.Reason)
			told, not = fmt.Sprint(v.Told), fmt.Sprint(v.Not)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\n", v.Store, v.Kind, ago(v.Age), len(v.Words), v.Why, order, told, not)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	n := s.Judged
	_, err = fmt.Fprintf(out, "words: %d said, %d heard, %d old or known, %d impossible, %d of no room; verdicts: %d used, not: %d of too few observers, %d that others deny, "+
		"%d that would rest too many, %d words of who condemns too many\n", n.Said, n.Heard, n.Old, n.Odd, n.Dropped, n.Used, n.Few, n.Denied, n.Wide, n.Doubted)
	return err
}

type verdictTenantsCmd struct{ asking }

func (c *verdictTenantsCmd) Run(out io.Writer) error {
	s, err := c.state()
	if err != nil {
		return err
	}
	if c.JSON {
		return encoded(out, map[string]any{"tenants": s.Tenants})
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "TENANT\tHELD BACK AT\tTIMES IN THEIR LAST SECOND\tAGE\tWHY")
	for _, t := range s.Tenants {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", t.Tenant, strings.Join(t.Observers, " "), t.Scans, ago(t.Age), strings.Join(t.Why, ", "))
	}
	return w.Flush()
}

type verdictSetCmd struct {
	Socket string        `required:"" help:"The broker's control socket." type:"path"`
	Store  string        `arg:"" help:"The store's name, as the list has it."`
	Do     string        `arg:"" enum:"drain,rest,clear" help:"drain: nothing new goes there; rest: as if observers agreed that it fails; clear: nothing they say counts."`
	For    time.Duration `required:"" help:"How long; it ends by itself, also at a broker that is cut off. 0s takes back what is ordered."`
	Reason string        `required:"" help:"Why, for whoever looks."`
}

func (c *verdictSetCmd) Run(out io.Writer) error {
	if err := control.Post(c.Socket, "verdict", url.Values{"store": {c.Store}, "do": {c.Do}, "for": {c.For.String()}, "reason": {c.Reason}}); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%s: set here and told to all; gullstair verdict list shows how many know it\n", c.Store)
	return err
}

type verdictWhyCmd struct {
	asking
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
			return encoded(out, v)
		}
		fmt.Fprintf(out, "%s is held for %s: %s\n", v.Store, v.Kind, v.Why)
		if o := v.Order; o != nil {
			fmt.Fprintf(out, "ordered: %s by %s for %s (version %d): %s; %d members are known to know it, of %d it is unknown\n", o.Do, o.By, ago(o.Left), o.Version, o.Reason,
				v.Told, v.Not)
		}
		w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
		fmt.Fprintln(w, "OBSERVER\tZONE\tSAYS\tBAD\tGOOD\tAGE")
		for _, x := range v.Words {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", x.Observer, x.Zone, x.Kind, x.Bad, x.Good, ago(x.Age))
		}
		if err := w.Flush(); err != nil {
			return err
		}
		_, err := fmt.Fprintf(out, "a verdict needs %d observers of %d zones; %d observers' words are too old to count\n", v.Wanted, v.Zones, v.Unseen)
		return err
	}
	_, err = fmt.Fprintf(out, "%s: nobody holds anything against it, and no operator has a word on it\n", c.Store)
	return err
}
