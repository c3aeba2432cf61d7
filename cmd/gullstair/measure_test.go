package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gullstair/internal/fleettest"
	"gullstair/internal/guard"
	"gullstair/internal/memberactor"
)

var measure = flag.Bool("measure", false, "run the measurements of docs/results.md that start processes; takes minutes")

// processUsage returns the CPU seconds and the resident MB of a process.
func processUsage(pid int) (cpu, mb float64) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	if len(f) < 22 {
		return 0, 0
	}
	var u, s, rss float64
	fmt.Sscan(f[11], &u)
	fmt.Sscan(f[12], &s)
	fmt.Sscan(f[21], &rss)
	return (u + s) / 100, rss * float64(os.Getpagesize()) / (1 << 20)
}

func startMeasurement(t *testing.T, members int, doc func(m *fleettest.Member) string) *fleettest.Fleet {
	if !*measure {
		t.Skip("only with -measure")
	}
	f, err := fleettest.New(fleettest.Config{Dir: t.TempDir(), Members: members, Program: []string{os.Args[0], "serve", "--log", "warn"}, Env: []string{"GULLSTAIR_TEST_CHILD=1"},
		Start: startTree(t), Features: func(m *fleettest.Member) (string, string) {
			return fmt.Sprintf("  key \"1\" {\n    secret = %q\n  }\n", strings.Repeat("5e", 32)), doc(m)
		}})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	require.NoError(t, f.LaunchAll())
	return f
}

// countHeldLeases counts the leases that the members report as held by themselves.
func countHeldLeases(f *fleettest.Fleet) (n int) {
	for _, m := range f.Members {
		var s memberactor.State
		if m.Running() && m.Query("sharing", &s) == nil {
			for _, l := range s.Leases {
				if l.Held {
					n++
				}
			}
		}
	}
	return n
}

// TestMeasureTasks measures the cost of holding a hundred tasks, none of which falls due, on five brokers.
func TestMeasureTasks(t *testing.T) {
	for _, tasks := range []int{0, 100} {
		f := startMeasurement(t, 5, func(m *fleettest.Member) string {
			doc := fmt.Sprintf("lease {\n  dir = %q\n}\n", m.Path("votes"))
			for i := range tasks {
				doc += fmt.Sprintf("task \"t%d\" {\n  every = \"1h\"\n  run = [\"/bin/true\"]\n}\n", i)
			}
			return doc
		})
		require.NoError(t, fleettest.WaitUntil(2*time.Minute, func() bool { return countHeldLeases(f) == tasks }))
		before, begun := make([]float64, 5), guard.BootTime()
		for i, m := range f.Members {
			before[i], _ = processUsage(m.Pid())
		}
		time.Sleep(30 * time.Second) // the measured interval, without any traffic from the test
		cpu, most := 0.0, 0.0
		for i, m := range f.Members {
			now, mb := processUsage(m.Pid())
			cpu, most = cpu+now-before[i], max(most, mb)
		}
		t.Logf("%d tasks at 5 brokers: %.2f%% of a core and %.0f MB at most each", tasks, 100*cpu/5/(float64(guard.BootTime()-begun)/1e9), most)
		f.Close()
	}
}

// TestMeasureVerdicts runs twenty busy brokers and sixty with few scans, with sharing off and on: a store fails all
// its parts for a while and then recovers. The parts that reached the store are counted.
func TestMeasureVerdicts(t *testing.T) {
	if !*measure {
		t.Skip("only with -measure")
	}
	for _, c := range []struct {
		brokers int
		each    float64 // scans a second
	}{{20, 10}, {60, 0.5}} {
		for how, share := range map[string][2]bool{"nothing": {false, false}, "notes": {true, false}, "verdicts": {false, true}, "both": {true, true}} {
			f := startSharing(t, c.brokers, share[0], share[1])
			all := make([]int64, c.brokers)
			for i := range all {
				all[i] = int64(c.each)
				if c.each < 1 && i%2 == 0 {
					all[i] = 1
				}
			}
			f.setDemand(all...)
			f.sleep(5 * time.Second)
			s := f.stores[0]
			begun := time.Now()
			s.fails.Store(-1)
			f.sleep(5 * time.Second)
			early := s.since(begun)
			middle := time.Now()
			f.sleep(15 * time.Second)
			late := s.since(middle)
			s.fails.Store(0)
			well := time.Now()
			f.sleep(3 * time.Second)
			back := s.since(well)
			f.sleep(3 * time.Second)
			cpu, mb := 0.0, 0.0
			for _, m := range f.Members {
				x, y := processUsage(m.Pid())
				cpu, mb = cpu+x, max(mb, y)
			}
			t.Logf("%d brokers, %.1f scans a second each, sharing %s: parts to the failing store %d in its first 5 s and %.1f a second after; %d in 3 s once it does well, %.1f a second after; %.0f MB at most",
				c.brokers, c.each, how, early, float64(late)/15, back, float64(s.since(well.Add(3*time.Second)))/3, mb)
			f.stopAll()
		}
	}
}

// TestMeasureLimits measures a limit at five and sixty brokers: the share that is used while demand is uneven, moves,
// and is partitioned, and whether the limit was ever exceeded.
func TestMeasureLimits(t *testing.T) {
	if !*measure {
		t.Skip("only with -measure")
	}
	for _, n := range []int{5, 60} {
		f := startSomeLimits(t, n, n, "limit \"all\" {\n  for = \"fleet\"\n  scans_per_s = 80\n  burst = 60\n}\n")
		one := func(at int, all, most int64) {
			for i := range n {
				f.demand[i].Store(0)
				if all > 0 && i%max(1, n/20) == 0 {
					f.demand[i].Store(all)
				}
			}
			if at >= 0 {
				f.demand[at].Store(most)
			}
		}
		used := func(what string, span time.Duration) {
			all, by := f.measureRate(span)
			t.Logf("%d brokers, %s: %.3f of the limit used, %.1f a second at the one", n, what, all/80, by[0])
		}
		one(0, 0, 160)
		f.measureRate(4 * time.Second)
		used("all of it at one", 6*time.Second)
		one(0, 1, 150)
		f.measureRate(3 * time.Second)
		used("nine tenths at one", 6*time.Second)
		for k := range 4 {
			one((k%2)*(n/2), 1, 150)
			used("it moves every 3 s", 3*time.Second)
		}
		one(-1, max(8, 160/int64(n)), 0)
		f.measureRate(4 * time.Second)
		used("spread over twenty, or all five", 6*time.Second)
		var left, right []int
		for i := range n {
			if i < n*3/5 {
				left = append(left, i)
			} else {
				right = append(right, i)
			}
		}
		f.Switch.Split(left, right)
		f.measureRate(3 * time.Second)
		used("a split of three fifths and two", 6*time.Second)
		f.Switch.Heal()
		f.mu.Lock()
		t.Logf("%d brokers: largest excess over all windows %.1f, of %d scans", n, excess(f.got, 80, 60), len(f.got))
		f.mu.Unlock()
		cpu, mb := 0.0, 0.0
		for _, m := range f.Members {
			x, y := processUsage(m.Pid())
			cpu, mb = cpu+x, max(mb, y)
		}
		t.Logf("%d brokers: %.1f s of CPU in all, %.0f MB at most each, %d datagrams passed", n, cpu, mb, f.Switch.Passed())
		f.stopAll()
	}
}

// TestMeasureRolling restarts sixty brokers with one task each, one after the other, and counts the leases that are
// held meanwhile.
func TestMeasureRolling(t *testing.T) {
	const n = 60
	f := startMeasurement(t, n, func(m *fleettest.Member) string {
		doc := fmt.Sprintf("lease {\n  dir = %q\n}\n", m.Path("votes"))
		for i := range n {
			doc += fmt.Sprintf("task \"t%d\" {\n  every = \"1h\"\n  term = \"3s\"\n  run = [\"/bin/true\"]\n  prefer = [\"n%d\"]\n}\n", i, i)
		}
		return doc
	})
	require.NoError(t, fleettest.WaitUntil(3*time.Minute, func() bool { return countHeldLeases(f) == n }))
	sum, looks, least := 0, 0, n
	begun := time.Now()
	for _, m := range f.Members {
		m.Kill()
		require.NoError(t, m.Launch())
		h := countHeldLeases(f)
		sum, looks, least = sum+h, looks+1, min(least, h)
	}
	took := time.Since(begun)
	again := time.Now()
	require.NoError(t, fleettest.WaitUntil(3*time.Minute, func() bool { return countHeldLeases(f) == n }))
	t.Logf("60 brokers killed and started again one by one in %.1f s: %.1f of 60 leases held in the mean, %d at least; all again %.1f s later", took.Seconds(),
		float64(sum)/float64(looks), least, time.Since(again).Seconds())
}
