package main

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"

	"gullstair/internal/emulator"
	"gullstair/internal/scenario"
	"gullstair/internal/simulation"
	"gullstair/scenarios"
)

type verdictsCmd struct {
	Seeds   int    `default:"8" help:"Number of seeds, from 1 on."`
	Spread  bool   `help:"Measure instead how fast verdicts and orders spread at 4, 32 and 200 members under 0, 5 and 30% loss, and the cost."`
	Sizes   []int  `default:"4,32,200" help:"Members for --spread."`
	Prefix  string `default:"shared-" help:"Only scenarios whose names have this prefix."`
	Brokers int    `help:"Number of brokers instead of the scenarios' own; the total number of scans stays."`
	Page    string `help:"Also write an HTML page that compares each scenario's first seed with sharing off and on." placeholder:"FILE"`
}

// sharingModes lists what brokers may share with each other.
var sharingModes = []struct {
	name            string
	notes, verdicts bool
}{{"alone", false, false}, {"notes", true, false}, {"verdicts", false, true}, {"both", true, true}}

// Run plays each scenario in all sharing modes with the same random draws.
func (c *verdictsCmd) Run(out io.Writer) error {
	if c.Spread {
		return c.spread(out)
	}
	entries, err := scenarios.Files.ReadDir(".")
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	var comparisons []comparison
	fmt.Fprintln(w, "SCENARIO\tBROKERS SHARE\tSERVICE\tWORST 10 s\tP99 ms\tPARTS TO FAILING STORES\tDISPATCHES A SCAN\tGAIN OVER ALONE: SERVICE, 95% INTERVAL")
	for _, e := range entries {
		name := strings.TrimSuffix(e.Name(), ".hcl")
		if !strings.HasPrefix(name, c.Prefix) {
			continue
		}
		text, err := scenarios.Files.ReadFile(e.Name())
		if err != nil {
			return err
		}
		first, err := scenario.Parse(text, e.Name())
		if err != nil {
			return err
		}
		brokers := cmp.Or(c.Brokers, first.Fleet.Brokers)
		all := make([][]emulator.Figures, len(sharingModes))
		var group errgroup
		for k := range sharingModes {
			all[k] = make([]emulator.Figures, c.Seeds)
			for seed := range c.Seeds {
				group.run(func() error {
					s, err := scenario.Parse(text, e.Name())
					if err != nil {
						return err
					}
					if c.Brokers > 0 {
						s.Fleet.Brokers = c.Brokers
					}
					s.Fleet.PeerNotes, s.Fleet.SharedVerdicts = sharingModes[k].notes, sharingModes[k].verdicts
					world := emulator.New(&s.Fleet, uint64(seed+1), emulator.Gullstair)
					for _, f := range s.Faults {
						if err := world.ScheduleFault(f); err != nil {
							return err
						}
					}
					all[k][seed], err = world.Run(s.Length)
					return err
				})
			}
		}
		if err := group.wait(); err != nil {
			return err
		}
		for k, how := range sharingModes {
			var service, worst, p99, struck, dispatches []float64
			var gain []float64
			broken := ""
			for seed, f := range all[k] {
				service, worst, p99 = append(service, f.Service), append(worst, f.Worst10s), append(p99, f.P99)
				struck, dispatches = append(struck, float64(f.Struck)), append(dispatches, f.Dispatches)
				gain = append(gain, f.Service-all[0][seed].Service)
				if len(f.Violations) > 0 {
					broken = ", a rule broken"
				}
			}
			m, half := confidenceInterval(gain)
			fmt.Fprintf(w, "%s\t%s\t%.4f\t%.4f\t%.0f\t%.0f\t%.3f\t%+.4f ± %.4f%s\n", name, how.name, mean(service), mean(worst), mean(p99), mean(struck), mean(dispatches), m, half, broken)
		}
		if err := w.Flush(); err != nil {
			return err
		}
		d, err := compareRuns(name, first.About, brokers, all[0][0], all[len(sharingModes)-1][0], "notes and verdicts")
		if err != nil {
			return err
		}
		comparisons = append(comparisons, d)
	}
	if c.Page != "" {
		return writePage(c.Page, comparisons)
	}
	return nil
}

func (c *verdictsCmd) spread(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBERS\tLOSS\tVERDICT EVERYWHERE ms\tAT MOST\tMISSED\tORDER EVERYWHERE AT MOST ms\tAFTER A SPLIT AT MOST ms\tOLDEST EVIDENCE ms\tBYTES /member/s, NO FAULT\tONE STORE IN 20 FAILS\tMESSAGES /member/s THEN")
	sizes, losses := c.Sizes, []float64{0, 0.05, 0.3}
	all := make([]simulation.SpreadResult, len(sizes)*len(losses))
	var group errgroup
	for i := range all {
		group.run(func() error {
			n := sizes[i/len(losses)]
			all[i] = simulation.MeasureSpread(1, n, losses[i%len(losses)], max(1, c.Seeds*min(n, 32)/n))
			return nil
		})
	}
	if err := group.wait(); err != nil {
		return err
	}
	for _, x := range all {
		fmt.Fprintf(w, "%d\t%.0f%%\t%.0f\t%.0f\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\n", x.Members, x.Loss*100, x.Verdict, x.Last, x.Missed, x.Order, x.Heal, x.Oldest, x.HealthyTraffic, x.FaultyTraffic, x.Messages)
	}
	return w.Flush()
}

func mean(all []float64) (m float64) {
	for _, x := range all {
		m += x / float64(len(all))
	}
	return m
}

// confidenceInterval returns the mean and half the width of its 95% confidence interval, assuming a normal
// distribution.
func confidenceInterval(all []float64) (m, half float64) {
	m = mean(all)
	sum := 0.0
	for _, x := range all {
		sum += (x - m) * (x - m)
	}
	n := float64(len(all))
	if n < 2 {
		return m, math.Inf(1)
	}
	return m, 1.96 * math.Sqrt(sum/(n-1)/n)
}
