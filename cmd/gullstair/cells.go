package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"gullstair/internal/control"
	"gullstair/internal/core"
	"gullstair/internal/quota"
)

type cellsCmd struct{ socketFlags }

func (c *cellsCmd) Run(out io.Writer) error {
	var all []core.CellView
	if err := control.Get(c.Socket, "cells", &all); err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(out, all)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "CELL\tSTATE\tSTORES\tOPEN\tTENANTS\tTAKEN\tTHROTTLED\tBECAUSE OF")
	for _, v := range all {
		state := "serving"
		if v.Lost {
			state = "refuses: it has lost its stores"
		}
		var why []string
		for i, n := range v.Counts.By {
			if n > 0 {
				why = append(why, fmt.Sprintf("%s %d", quota.Reason(i), n))
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n", v.Name, state, v.Stores, v.Open, v.Tenants, v.Counts.Taken, v.Counts.Throttled,
			strings.Join(why, ", "))
	}
	return w.Flush()
}
