// Command measure runs the measurements of docs/results.md that need no separate benchmark setup. Run it with -h for
// its subcommands.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/alecthomas/kong"

	"gullstair/internal/emulator"
	"gullstair/internal/scenario"
	"gullstair/internal/simulation"
	"gullstair/scenarios"
)

type commands struct {
	Members   membersCmd   `cmd:"" help:"Failure detection, false suspicions and traffic of the membership protocol, by members and loss, in virtual time."`
	Scenarios scenariosCmd `cmd:"" help:"Every scenario that comes with the program, in virtual time: the broker compared with baseline policies."`
	Leases    leasesCmd    `cmd:"" help:"Takeover time of a lease after a kill and after an orderly shutdown, the gap after a restart of all, and the message rate by leases, in virtual time."`
	Limits    limitsCmd    `cmd:"" help:"Ways to share a limit among members under the same load: utilization, excess, time to follow demand, and messages, in virtual time."`
	Verdicts  verdictsCmd  `cmd:"" help:"Scenarios of store failures with brokers that share nothing, notes, verdicts or both, over seeds, in virtual time."`
	Duties    dutiesCmd    `cmd:"" help:"Probes saved, items moved, takeover and traffic of shared probing, in virtual time."`
	Capacity  capacityCmd  `cmd:"" help:"Memory and time of the core by nodes, limits of many tenants by members, and a plain map of cached blocks, for docs/CAPACITY.md."`
	Fleet     fleetCmd     `cmd:"" help:"Control traffic, CPU time and memory of real brokers next to hollow ones that share a process, by members, on loopback."`
}

type membersCmd struct {
	Kills int    `default:"9" help:"Number of members killed at each size and loss."`
	Seed  uint64 `default:"1" help:"Random seed."`
}

func (c *membersCmd) Run(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBERS\tLOSS\tFIRST DETECTS s\tLAST DETECTS s\tAT MOST s\tMISSED\tFALSE SUSPICIONS /member/h\tFALSE DEATHS /member/h\tMESSAGES /member/s\tBYTES /member/s")
	for _, n := range []int{4, 32, 200} {
		for _, loss := range []float64{0, 0.05, 0.3} {
			m := simulation.Detect(c.Seed, n, loss, c.Kills)
			fmt.Fprintf(w, "%d\t%.0f%%\t%.1f\t%.1f\t%.1f\t%d of %d\t%.2f\t%.2f\t%.1f\t%.0f\n", n, loss*100, m.First/1000, m.Last/1000,
				m.LastMost/1000, m.Undetected, m.Kills, m.FalseSuspicions, m.FalseDeaths, m.Messages, m.Bytes)
			if err := w.Flush(); err != nil {
				return err
			}
		}
	}
	return nil
}

type leasesCmd struct {
	Tries int    `default:"200" help:"Number of holders ended at each number of voters and term."`
	Seed  uint64 `default:"1" help:"Random seed."`
}

func (c *leasesCmd) Run(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "VOTERS\tTERM s\tKILLED p50 s\tp99 s\tBOUND s\tORDERLY p50 s\tp99 s\tMISSED\tALL RESTARTED, DISKS s\tNO DISKS s")
	for _, n := range []int{3, 5, 9} {
		for _, term := range []float64{1000, 3000, 10000} {
			k, o := simulation.Takeover(c.Seed, n, term, c.Tries, false), simulation.Takeover(c.Seed, n, term, c.Tries, true)
			fmt.Fprintf(w, "%d\t%.0f\t%.2f\t%.2f\t%.2f\t%.3f\t%.3f\t%d of %d\t%.2f\t%.2f\n", n, term/1000, k.P50/1000, k.P99/1000, k.Bound/1000, o.P50/1000, o.P99/1000,
				k.Missed+o.Missed, 2*c.Tries, simulation.RestartGap(c.Seed, n, term, true)/1000, simulation.RestartGap(c.Seed, n, term, false)/1000)
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w, "\nLEASES OF ONE HOLDER, 5 VOTERS, TERM 10 s\tMESSAGES /s\tDATAGRAMS /s")
	for _, n := range []int{1, 100, 1000} {
		m, d := simulation.Traffic(c.Seed, n, 10000)
		fmt.Fprintf(w, "%d\t%.1f\t%.1f\n", n, m, d)
	}
	return w.Flush()
}

type limitsCmd struct {
	Seeds   int                   `default:"3" help:"Number of seeds for each day."`
	Members []int                 `default:"5,60" help:"Fleet sizes."`
	Size    float64               `default:"200" help:"The limit, in scans a second."`
	Ways    []simulation.Strategy `default:"fixed share,escrow,leader,gossip,each alone" help:"Ways to share the limit. The messages of gossip grow with the members: omit it for large fleets."`
	Tenants bool                  `help:"Measure the cost of 1,000 and 10,000 keys of one limit instead."`
	Plot    string                `help:"Draw a partition with outstanding loans under each way into this SVG file instead." placeholder:"FILE"`
}

// mean plays a day with one strategy for all seeds and returns the means; Over and Recovery are maxima.
func (c *limitsCmd) mean(d simulation.Day, strategy simulation.Strategy) simulation.DayResult {
	sum := simulation.DayResult{Strategy: strategy}
	for seed := range c.Seeds {
		p := simulation.Play(uint64(seed+1), d, strategy)
		k := float64(c.Seeds)
		sum.Utilization, sum.WorstUtilization, sum.Messages = sum.Utilization+p.Utilization/k, sum.WorstUtilization+p.WorstUtilization/k, sum.Messages+p.Messages/k
		sum.Over, sum.Recovery = max(sum.Over, p.Over), max(sum.Recovery, p.Recovery)
		if sum.Sides == nil {
			sum.Sides = make([]float64, len(p.Sides))
		}
		for i, s := range p.Sides {
			sum.Sides[i] += s / k
		}
	}
	return sum
}

func (c *limitsCmd) Run(out io.Writer) error {
	if c.Plot != "" {
		for _, d := range simulation.Days(c.Members[0], c.Size) {
			if d.Name == "split, loans out" {
				return plotLimits(c.Plot, d, []simulation.Strategy{simulation.Escrow, simulation.Fixed, simulation.Leader, simulation.Gossip})
			}
		}
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	if c.Tenants {
		fmt.Fprintln(w, "MEMBERS\tKEYS\tTAKEN\tOVER scans\tACCOUNTS\tLEFT A MINUTE LATER\tDATAGRAMS /member/s\tBYTES /member/s\tMEMORY bytes/account\tREADMITTED AT ONCE\tBURST")
		for _, n := range c.Members {
			for _, keys := range []int{1000, 10000} {
				x := simulation.Tenants(1, n, keys)
				fmt.Fprintf(w, "%d\t%d\t%d of %d\t%.1f\t%d\t%d\t%.0f\t%.0f\t%.0f\t%d\t%d\n", n, keys, x.Taken, x.Asked, x.Over, x.Most, x.Left, x.Datagrams, x.Bytes, x.BytesPerAccount,
					x.Readmitted, x.ReadmittedBound)
			}
		}
		return w.Flush()
	}
	fmt.Fprintln(w, "MEMBERS\tDAY\tSTRATEGY\tUSED\tWORST 500 ms\tOVER scans\tSIDES, OF THEIR MEMBERS' SHARE\tFOLLOWS AFTER ms\tMESSAGES /member/s")
	for _, n := range c.Members {
		var rows []simulation.DayResult
		var names []string
		for _, d := range simulation.Days(n, c.Size) {
			for _, strategy := range c.Ways {
				rows, names = append(rows, simulation.DayResult{Strategy: strategy}), append(names, d.Name)
			}
		}
		var group errgroup // the days are independent of each other
		for i, d := range simulation.Days(n, c.Size) {
			for j, strategy := range c.Ways {
				group.run(func() error {
					rows[i*len(c.Ways)+j] = c.mean(d, strategy)
					return nil
				})
			}
		}
		if err := group.wait(); err != nil {
			return err
		}
		for i, sum := range rows {
			sides := "-"
			if len(sum.Sides) == 2 {
				sides = fmt.Sprintf("%.2f, %.2f", sum.Sides[0], sum.Sides[1])
			}
			fmt.Fprintf(w, "%d\t%s\t%s\t%.3f\t%.2f\t%.1f\t%s\t%.0f\t%.1f\n", n, names[i], sum.Strategy, sum.Utilization, sum.WorstUtilization, sum.Over, sides, sum.Recovery, sum.Messages)
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	return nil
}

type dutiesCmd struct {
	Seed uint64 `default:"1" help:"Random seed."`
}

func (c *dutiesCmd) Run(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBERS\tSTORES\tPROBES /store/period\tIF EACH PROBED ALL\tMOVED BY A DEATH\tIDEAL\tTAKEOVER s\tMESSAGES /member/s\tBYTES /member/s")
	for _, at := range [][2]int{{4, 60}, {4, 1000}, {32, 1000}, {100, 1000}} {
		p := simulation.Share(c.Seed, at[0], at[1], 10000)
		fmt.Fprintf(w, "%d\t%d\t%.3f\t%.0f\t%.3f\t%.3f\t%.1f\t%.1f\t%.0f\n", p.Members, p.Stores, p.PerPeriod, p.Alone, p.Moved, p.Ideal,
			p.Takeover/1000, p.Messages, p.Bytes)
	}
	return w.Flush()
}

type scenariosCmd struct {
	Seeds int `default:"4" help:"Number of seeds, from 1 on; the figures are means."`
}

func (c *scenariosCmd) Run(out io.Writer) error {
	entries, err := scenarios.Files.ReadDir(".")
	if err != nil {
		return err
	}
	policies := []emulator.BrokerFactory{emulator.Gullstair, emulator.Baseline(false), emulator.Baseline(true)}
	type cell struct {
		service, worst float64
		broken         int
	}
	fmt.Fprintln(out, "| scenario | broker: service, worst 10 s | random holder | least outstanding of two |\n| --- | --- | --- | --- |")
	for _, e := range entries {
		text, err := scenarios.Files.ReadFile(e.Name())
		if err != nil {
			return err
		}
		cells := make([]cell, len(policies)*c.Seeds)
		var group errgroup
		for i := range cells {
			group.run(func() error {
				s, err := scenario.Parse(text, e.Name())
				if err != nil {
					return err
				}
				w := emulator.New(&s.Fleet, uint64(1+i%c.Seeds), policies[i/c.Seeds])
				for _, f := range s.Faults {
					if err := w.ScheduleFault(f); err != nil {
						return err
					}
				}
				f, err := w.Run(s.Length)
				cells[i] = cell{f.Service, f.Worst10s, len(f.Violations)}
				return err
			})
		}
		if err := group.wait(); err != nil {
			return err
		}
		fmt.Fprintf(out, "| %s |", strings.TrimSuffix(e.Name(), ".hcl"))
		for p := range policies {
			var m cell
			for _, x := range cells[p*c.Seeds : (p+1)*c.Seeds] {
				m = cell{m.service + x.service/float64(c.Seeds), m.worst + x.worst/float64(c.Seeds), m.broken + x.broken}
			}
			fmt.Fprintf(out, " %.3f, %.3f", m.service, m.worst)
			if m.broken > 0 {
				fmt.Fprintf(out, " (%d rules broken)", m.broken)
			}
			fmt.Fprint(out, " |")
		}
		fmt.Fprintln(out)
	}
	return nil
}

// errgroup runs functions concurrently, at most one per core, and keeps the first error.
type errgroup struct {
	wg   sync.WaitGroup
	once sync.Once
	err  error
}

var cpuSlots = make(chan struct{}, runtime.NumCPU())

func (g *errgroup) run(f func() error) {
	g.wg.Go(func() {
		cpuSlots <- struct{}{}
		defer func() { <-cpuSlots }()
		if err := f(); err != nil {
			g.once.Do(func() { g.err = err })
		}
	})
}

func (g *errgroup) wait() error {
	g.wg.Wait()
	return g.err
}

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("measure"), kong.UsageOnError(), kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	ctx.FatalIfErrorf(ctx.Run())
}
