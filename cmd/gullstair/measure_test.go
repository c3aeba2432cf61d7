package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gullstair/internal/guard"
	"gullstair/internal/rig"
	"gullstair/internal/sharer"
)

var measure = flag.Bool("measure", false, "take the measurements of docs/results.md that need processes, for minutes")

// took is a process's CPU seconds and resident MB.
func took(pid int) (cpu, mb float64) {
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

func measuring(t *testing.T, members int, doc func(m *rig.Member) string) *rig.Fleet {
	if !*measure {
		t.Skip("only with -measure")
	}
	f, err := rig.New(rig.Plan{Dir: t.TempDir(), Members: members, Program: []string{os.Args[0], "serve", "--log", "warn"}, Env: []string{"GULLSTAIR_TEST_CHILD=1"},
		Start: startTree(t), Features: func(m *rig.Member) (string, string) {
			return fmt.Sprintf("  key \"1\" {\n    secret = %q\n  }\n", strings.Repeat("5e", 32)), doc(m)
		}})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	require.NoError(t, f.LaunchAll())
	return f
}

// held counts the leases that are held, by what each member says of itself.
func held(f *rig.Fleet) (n int) {
	for _, m := range f.Members {
		var s sharer.State
		if m.Running() && m.Ask("sharing", &s) == nil {
			for _, l := range s.Leases {
				if l.Held {
					n++
				}
			}
		}
	}
	return n
}

// Five brokers with a hundred tasks, of which none falls due: what holding them costs.
func TestMeasureTasks(t *testing.T) {
	for _, tasks := range []int{0, 100} {
		f := measuring(t, 5, func(m *rig.Member) string {
			doc := fmt.Sprintf("lease {\n  dir = %q\n}\n", m.Path("votes"))
			for i := range tasks {
				doc += fmt.Sprintf("task \"t%d\" {\n  every = \"1h\"\n  run = [\"/bin/true\"]\n}\n", i)
			}
			return doc
		})
		require.NoError(t, rig.Until(2*time.Minute, func() bool { return held(f) == tasks }))
		before, begun := make([]float64, 5), guard.Now()
		for i, m := range f.Members {
			before[i], _ = took(m.Pid())
		}
		time.Sleep(30 * time.Second) // the brokers' own time: it is what is measured
		cpu, most := 0.0, 0.0
		for i, m := range f.Members {
			now, mb := took(m.Pid())
			cpu, most = cpu+now-before[i], max(most, mb)
		}
		t.Logf("%d tasks at 5 brokers: %.2f%% of a core and %.0f MB at most each", tasks, 100*cpu/5/(float64(guard.Now()-begun)/1e9), most)
		f.Close()
	}
}

// Sixty brokers with a task each are started again one after the other: how many of the leases are held meanwhile.
func TestMeasureRolling(t *testing.T) {
	const n = 60
	f := measuring(t, n, func(m *rig.Member) string {
		doc := fmt.Sprintf("lease {\n  dir = %q\n}\n", m.Path("votes"))
		for i := range n {
			doc += fmt.Sprintf("task \"t%d\" {\n  every = \"1h\"\n  term = \"3s\"\n  run = [\"/bin/true\"]\n  prefer = [\"n%d\"]\n}\n", i, i)
		}
		return doc
	})
	require.NoError(t, rig.Until(3*time.Minute, func() bool { return held(f) == n }))
	sum, looks, least := 0, 0, n
	begun := time.Now()
	for _, m := range f.Members {
		m.Kill()
		require.NoError(t, m.Launch())
		h := held(f)
		sum, looks, least = sum+h, looks+1, min(least, h)
	}
	took := time.Since(begun)
	again := time.Now()
	require.NoError(t, rig.Until(3*time.Minute, func() bool { return held(f) == n }))
	t.Logf("60 brokers killed and started again one by one in %.1f s: %.1f of 60 leases held in the mean, %d at least; all again %.1f s later", took.Seconds(),
		float64(sum)/float64(looks), least, time.Since(again).Seconds())
}
