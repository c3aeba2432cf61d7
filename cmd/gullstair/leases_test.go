package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"gullstair/internal/broker"
	"gullstair/internal/fleettest"
	"gullstair/internal/guard"
	"gullstair/internal/memberactor"
)

// skewedClocks returns clocks that read their error from a file: the rate once at the start, the offset of the wall
// clock at any time.
func skewedClocks(path string) broker.Clocks {
	read := func() (rate float64, wall int64) {
		rate = 1
		if text, err := os.ReadFile(path); err == nil {
			fmt.Sscan(string(text), &rate, &wall)
		}
		return rate, wall
	}
	rate, _ := read()
	begun := guard.BootTime()
	return broker.Clocks{Elapsed: func() int64 { return begun + int64(math.Round(float64(guard.BootTime()-begun)*rate)) },
		Wall: func() time.Time {
			_, wall := read()
			return time.Now().Add(time.Duration(wall))
		}}
}

// leaseFleet is a fleet with one task, whose runs report to a witness.
type leaseFleet struct {
	*fleettest.Fleet
	t       *testing.T
	witness *fleettest.Witness
}

const (
	leaseTerm       = 2 * time.Second // the guard has a tenth of it to kill the command, also on a busy machine
	taskEvery       = time.Second
	takeoverTimeout = 30 * time.Second // a generous timeout for busy machines; cmd/measure measures the real takeover time
)

// taskDocument returns a member's features document: a task that works for the given span, and manual leases.
func taskDocument(witness, span, how, dir string) func(m *fleettest.Member) (string, string) {
	return func(m *fleettest.Member) (string, string) {
		votes := ""
		if dir != "" {
			votes = fmt.Sprintf("  dir = %q\n", m.Path(dir))
		}
		return fmt.Sprintf("  pace = 0.1\n  key \"1\" {\n    secret = %q\n  }\n", strings.Repeat("5e", 32)),
			fmt.Sprintf("lease {\n%s  longest = \"4s\"\n}\ntask \"close\" {\n  every = %q\n  term = %q\n  on_missed = \"once\"\n  run = [%q, \"witness\", %q, %q, %q]\n}\n", votes,
				taskEvery, leaseTerm, os.Args[0], witness, span, how)
	}
}

func startLeases(t *testing.T, members int, span, how, dir string, bend func(*fleettest.Member)) *leaseFleet {
	return startLeasesWith(t, fleettest.Config{Members: members}, span, how, dir, bend)
}

// startLeasesWith is startLeases with further settings of the fleet.
func startLeasesWith(t *testing.T, config fleettest.Config, span, how, dir string, bend func(*fleettest.Member)) *leaseFleet {
	w, err := fleettest.NewWitness()
	require.NoError(t, err)
	dir0, env := t.TempDir(), []string{"GULLSTAIR_TEST_CHILD=1"}
	if how == "fenced" {
		env = append(env, "RIG_FENCE="+filepath.Join(dir0, "fence"))
	}
	config.Dir, config.Program, config.Env = dir0, []string{os.Args[0], "serve", "--log", "info"}, env
	config.Start, config.Features, config.Seed = startTree(t), taskDocument(w.Addr, span, how, dir), 1
	f, err := fleettest.New(config)
	require.NoError(t, err)
	t.Cleanup(func() {
		f.Close()
		// Guards outlive their brokers up to their deadlines, and must be gone by then.
		last := 0
		assert.NoError(t, fleettest.WaitUntil(10*time.Second, func() bool {
			n := len(w.Observed())
			idle := n == last && guardsGone(w)
			last = n
			return idle
		}), "work outlives its lease")
		for _, k := range w.Observed() {
			assert.Empty(t, k.Remaining(), "processes left of the work under fencing token %d", k.Fence)
		}
		assert.Empty(t, w.Violations())
		w.Close()
		if t.Failed() {
			for _, m := range f.Members {
				log, _ := os.ReadFile(m.Path("log"))
				t.Logf("%s: %s", m.Name, log[max(0, len(log)-3000):])
			}
		}
	})
	if bend != nil {
		for _, m := range f.Members {
			bend(m)
		}
	}
	require.NoError(t, f.LaunchAll())
	return &leaseFleet{f, t, w}
}

// guardsGone reports whether no process that reported to the witness is left.
func guardsGone(w *fleettest.Witness) bool {
	return !slices.ContainsFunc(w.Observed(), func(k fleettest.Work) bool { return len(k.Remaining()) > 0 })
}

// newerWork waits for work under a higher fencing token than the given work.
func (f *leaseFleet) newerWork(than fleettest.Work) (fleettest.Work, *fleettest.Member) {
	f.t.Helper()
	var last fleettest.Work
	require.NoError(f.t, fleettest.WaitUntil(takeoverTimeout, func() bool {
		if all := f.witness.Observed(); len(all) > 0 {
			last = all[len(all)-1]
		}
		return last.Fence > than.Fence
	}), "the task runs again under a higher fencing token")
	return last, f.holder(last.Fence)
}

// currentWork waits for work that is in progress, and returns it with its holder.
func (f *leaseFleet) currentWork() (k fleettest.Work, m *fleettest.Member) {
	f.t.Helper()
	now := guard.BootTime()
	require.NoError(f.t, fleettest.WaitUntil(takeoverTimeout, func() bool {
		for _, k = range f.witness.Observed() {
			if strings.HasPrefix(k.Lease, "task/") && k.Last > now {
				// Work that a killed broker's guard continues up to its deadline has no holder any more.
				if m = f.holder(k.Fence); m != nil {
					return true
				}
			}
		}
		return false
	}), "the task runs")
	return k, m
}

// holder returns the member whose lease has the fencing token, or nil if no member reports it.
func (f *leaseFleet) holder(fence uint64) *fleettest.Member {
	for _, m := range f.Members {
		if !m.Running() {
			continue
		}
		var s memberactor.State
		if m.Query("sharing", &s) != nil {
			continue
		}
		for _, l := range s.Leases {
			if l.Held && l.Epoch == fence {
				return m
			}
		}
	}
	return nil
}

func (f *leaseFleet) others(m *fleettest.Member) (all []int) {
	for _, o := range f.Members {
		if o != m {
			all = append(all, o.Index)
		}
	}
	return all
}

// TestLeaseFaults runs five brokers and one task through network and process faults: no two runs may overlap, fencing
// tokens must grow, and work must resume once a majority is connected.
func TestLeaseFaults(t *testing.T) {
	runParallel(t)
	f := startLeases(t, 5, "1500ms", "stubborn", "votes", func(m *fleettest.Member) {
		require.NoError(t, m.SkewClocks([]float64{0.99, 1.01, 1}[m.Index%3], 0)) // the configured drift, at both ends of its range
	})
	for _, c := range []struct {
		name string
		do   func(k fleettest.Work, m *fleettest.Member)
	}{
		{"the holder is killed during a task", func(k fleettest.Work, m *fleettest.Member) {
			m.Kill()
			f.newerWork(k)
			require.NoError(t, m.Launch())
		}},
		{"the holder is paused for three terms during a task", func(k fleettest.Work, m *fleettest.Member) {
			m.Signal(syscall.SIGSTOP)
			_, other := f.newerWork(k)
			assert.NotEqual(t, m, other)
			m.Signal(syscall.SIGCONT)
		}},
		{"the holder's guard is paused", func(k fleettest.Work, m *fleettest.Member) {
			for _, pid := range guardsOf(m.Pid()) {
				syscall.Kill(pid, syscall.SIGSTOP)
			}
			f.Switch.Split(f.others(m))
			f.newerWork(k)
			f.Switch.Heal()
		}},
		{"the holder is cut off", func(k fleettest.Work, m *fleettest.Member) {
			f.Switch.Split(f.others(m))
			_, other := f.newerWork(k)
			assert.NotEqual(t, m, other)
			f.Switch.Heal()
		}},
		{"no member receives from the holder", func(k fleettest.Work, m *fleettest.Member) {
			for i := range f.Members {
				f.Switch.Set(m.Index, i, func(l *fleettest.Link) { l.Cut = true })
			}
			f.newerWork(k)
			f.Switch.Heal()
		}},
		{"the holder receives from no member", func(k fleettest.Work, m *fleettest.Member) {
			for i := range f.Members {
				f.Switch.Set(i, m.Index, func(l *fleettest.Link) { l.Cut = true })
			}
			f.newerWork(k)
			f.Switch.Heal()
		}},
		{"a partition of three and two", func(k fleettest.Work, m *fleettest.Member) {
			o := f.others(m)
			f.Switch.Split([]int{m.Index, o[0]}, o[1:])
			f.newerWork(k)
			f.Switch.Heal()
		}},
		{"a partition of two, two and one", func(_ fleettest.Work, m *fleettest.Member) {
			o := f.others(m)
			f.Switch.Split([]int{m.Index, o[0]}, o[1:3])
			before := len(f.witness.Observed())
			require.NoError(t, fleettest.WaitUntil(takeoverTimeout, func() bool { return f.holderOf() == nil }), "no side has a majority, so the lease has no holder")
			assert.LessOrEqual(t, len(f.witness.Observed()), before+1)
			f.Switch.Heal()
		}},
		{"loss, duplicates, reordering and corruption", func(fleettest.Work, *fleettest.Member) {
			f.Switch.All(func(l *fleettest.Link) { l.Loss, l.Duplicate, l.Jitter, l.Flip = 0.3, 0.3, 20, 0.02 })
			f.currentWork()
			f.currentWork()
			f.Switch.Heal()
		}},
		{"replayed datagrams", func(k fleettest.Work, m *fleettest.Member) {
			m.Kill()
			f.newerWork(k)
			assert.Positive(t, f.Switch.Replay())
			require.NoError(t, m.Launch())
			assert.Positive(t, f.Switch.Replay())
		}},
		{"wall clocks an hour apart, and jumping", func(k fleettest.Work, m *fleettest.Member) {
			o := f.others(m)
			require.NoError(t, m.SkewClocks(1, time.Hour)) // its own clock cuts it off from the others, which continue
			require.NoError(t, f.Members[o[0]].SkewClocks(1, -10*time.Second))
			_, other := f.newerWork(k)
			assert.NotEqual(t, m, other)
			require.NoError(t, m.SkewClocks(1, 0))
			require.NoError(t, f.Members[o[0]].SkewClocks(1, 0))
		}},
		{"all restart at once", func(fleettest.Work, *fleettest.Member) {
			for _, m := range f.Members {
				m.Kill()
			}
			require.NoError(t, f.LaunchAll())
		}},
		{"all restart, one voter with an older copy of its disk", func(_ fleettest.Work, m *fleettest.Member) {
			for _, m := range f.Members {
				m.Kill()
			}
			path := m.Path("votes")
			copyDir(t, path, path+".old")
			require.NoError(t, f.LaunchAll())
			f.currentWork()
			for _, m := range f.Members {
				m.Kill()
			}
			require.NoError(t, os.RemoveAll(path))
			copyDir(t, path+".old", path)
			require.NoError(t, f.LaunchAll())
			require.NoError(t, fleettest.WaitUntil(takeoverTimeout, func() bool {
				log, _ := os.ReadFile(m.Path("log"))
				return bytes.Contains(log, []byte("it is a copy"))
			}), "the copy is detected and logged")
			// It is stopped before its grace period ends: the next process must not treat as complete what this one has stored
			// since.
			m.Kill()
			require.NoError(t, m.Launch())
			require.NoError(t, fleettest.WaitUntil(takeoverTimeout, func() bool {
				log, _ := os.ReadFile(m.Path("log"))
				return bytes.Contains(log, []byte("an earlier process found something missing"))
			}), "the next process still distrusts its votes")
		}},
		{"the holder shuts down in order", func(k fleettest.Work, m *fleettest.Member) {
			m.Terminate(20 * time.Second)
			f.newerWork(k)
			require.NoError(t, m.Launch())
		}},
	} {
		k, m := f.currentWork()
		t.Logf("%s: %s under %d", c.name, m.Name, k.Fence)
		c.do(k, m)
		f.currentWork()
		require.Empty(t, f.witness.Violations(), c.name)
	}
}

// TestLeasesWithoutDisks runs voters without disks: after a restart of all, nothing is granted for one term, the
// earlier run has ended by then, and the task resumes.
func TestLeasesWithoutDisks(t *testing.T) {
	runParallel(t)
	f := startLeases(t, 3, "5s", "stubborn", "", nil)
	k, _ := f.currentWork()
	for _, m := range f.Members {
		m.Kill() // its work continues to the end of its term
	}
	require.NoError(t, f.LaunchAll())
	again, _ := f.newerWork(k)
	assert.Greater(t, again.First, k.Last)
	k, m := f.currentWork()
	// Killing the guard must end the command it guards before any other run begins.
	pids := guardsOf(m.Pid())
	require.NotEmpty(t, pids)
	for _, pid := range pids {
		syscall.Kill(pid, syscall.SIGKILL)
	}
	// The broker ends the processes that the guard left behind, including the grandchild in a session of its own.
	require.NoError(t, fleettest.WaitUntil(takeoverTimeout, func() bool { return len(k.Remaining()) == 0 }))
	// The broker must not be killed before it has reported this: if a guard and its broker die at once, only the fence
	// stops a grandchild in a session of its own (docs/leases.md). A late report of such a grandchild once counted as
	// running work, and the test failed when it killed the broker.
	require.NoError(t, fleettest.WaitUntil(takeoverTimeout, func() bool {
		log, _ := os.ReadFile(m.Path("log"))
		return bytes.Contains(log, []byte("its guard was ended"))
	}))
	f.currentWork()
}

// TestLeaseDiskFull fills disks (the kernel refuses further writes): a voter that can't store a vote grants nothing
// more and logs why. One such voter of three has no effect; with two, no run may begin. After a restart with free
// space they recover from what the last write left, and the task resumes.
//
// The logs go through pipes, since the limit applies to every file that a member writes: changes of member states once
// filled a log up to the limit before a vote was due, and the message about the vote was lost.
func TestLeaseDiskFull(t *testing.T) {
	runParallel(t)
	f := startLeasesWith(t, fleettest.Config{Members: 3, PipeLogs: true}, "300ms", "plain", "votes", nil)
	f.currentWork()
	logged := func(m *fleettest.Member) []byte {
		log, _ := os.ReadFile(m.Path("log"))
		return log
	}
	said := func(m *fleettest.Member, from int, any ...string) {
		t.Helper()
		require.NoError(t, fleettest.WaitUntil(takeoverTimeout, func() bool {
			log := logged(m)[from:]
			return slices.ContainsFunc(any, func(what string) bool { return bytes.Contains(log, []byte(what)) })
		}), any)
	}
	fill := func(m *fleettest.Member) {
		t.Helper()
		size := int64(0)
		names, _ := filepath.Glob(filepath.Join(m.Path("votes"), "log-*"))
		for _, name := range names {
			info, err := os.Stat(name)
			require.NoError(t, err)
			size = max(size, info.Size())
		}
		limit := size + 20
		// The log is longer than the limit from now on, whatever the member has logged.
		log, err := os.OpenFile(m.Path("log"), os.O_APPEND|os.O_WRONLY, 0)
		require.NoError(t, err)
		_, err = log.Write(bytes.Repeat([]byte("\n"), int(limit)))
		require.NoError(t, errors.Join(err, log.Close()))
		from := len(logged(m))
		require.NoError(t, unix.Prlimit(m.Pid(), unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: uint64(limit), Max: unix.RLIM_INFINITY}, nil))
		said(m, from, "votes on leases can't be stored")
		said(m, from, "file too large")
	}
	fill(f.Members[0])
	f.currentWork() // two of three are a majority
	fill(f.Members[1])
	require.NoError(t, fleettest.WaitUntil(takeoverTimeout, func() bool { return f.holderOf() == nil }), "one voter of three is no majority")
	all := f.witness.Observed()
	for _, m := range f.Members[:2] {
		m.Kill()
		from := len(logged(m))
		require.NoError(t, m.Launch())
		// Whether the last write left a torn tail depends on the kernel.
		said(m, from, "votes on leases may be missing", "votes on leases are as they were stored")
	}
	f.newerWork(all[len(all)-1])
}

// TestMachineStandsStill pauses a whole machine (broker, guard and command) and resumes it after another one holds the
// lease. No lease can prevent the late writes, but the fence at the target of the writes does. The command resumes
// first and continues as long as it can.
func TestMachineStandsStill(t *testing.T) {
	runParallel(t)
	f := startLeases(t, 3, "30s", "fenced", "votes", nil)
	k, m := f.currentWork()
	stopped := append([]int{m.Pid()}, guardsOf(m.Pid())...)
	for _, pid := range append(slices.Clone(stopped), k.Pids...) {
		require.NoError(t, syscall.Kill(pid, syscall.SIGSTOP))
	}
	next, _ := f.newerWork(k)
	require.NoError(t, fleettest.WaitUntil(takeoverTimeout, func() bool { // its writes have arrived
		all := f.witness.Observed()
		return all[len(all)-1].Fence == next.Fence && all[len(all)-1].Last > next.Last
	}))
	for _, pid := range k.Pids {
		require.NoError(t, syscall.Kill(pid, syscall.SIGCONT))
	}
	require.NoError(t, fleettest.WaitUntil(takeoverTimeout, func() bool { return len(k.Remaining()) == 0 }), "the fence refuses its writes, and it ends")
	for _, pid := range stopped {
		syscall.Kill(pid, syscall.SIGCONT)
	}
	f.currentWork()
	for _, x := range f.witness.Observed() {
		if x.Fence == k.Fence {
			assert.Less(t, x.Last, next.First, "a write under the old token arrived after the first one under the new token")
		}
	}
}

// TestLeaseByHand checks manual leases: the fleet never has more holders than configured, a waiting command acquires
// the lease next, an operator can release it, and a command that loses its lease is ended. A broker that is not
// scheduled for longer than a term loses its lease; such attempts are repeated.
func TestLeaseByHand(t *testing.T) {
	for name, disturb := range map[string]func(*fleettest.Fleet) (stop func()){
		"calm": func(*fleettest.Fleet) func() { return func() {} },
		"a broker is paused for longer than the term": func(f *fleettest.Fleet) func() {
			return pauseTurns(f.Members[:1], time.Second, leaseTerm+time.Second, 3)
		},
		"a broker is repeatedly declared dead and rejoins": func(f *fleettest.Fleet) func() {
			return pauseTurns(f.Members[:1], 700*time.Millisecond, 900*time.Millisecond, 5)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runParallel(t)
			f := startLeases(t, 3, "20ms", "plain", "votes", nil)
			f.currentWork()
			stop := disturb(f.Fleet)
			defer stop()
			f.slotsByHand()
			f.releasedByHand()
			f.holderIsCutOff()
			f.holderIsKilled()
			f.ordersOnTheTask()
		})
	}
}

// hold runs a command under a manual lease.
func (f *leaseFleet) hold(m *fleettest.Member, name, span string, holders int, more ...string) *exec.Cmd {
	args := append([]string{"lease", "run", "--socket", m.Socket(), "--term", leaseTerm.String(), "--holders", fmt.Sprint(holders), "--wait", "60s"}, more...)
	cmd := exec.Command(os.Args[0], append(args, name, "--", os.Args[0], "witness", f.witness.Addr, span, "plain")...)
	cmd.Env = append(os.Environ(), "GULLSTAIR_TEST_CHILD=1")
	cmd.Stderr = os.Stderr
	require.NoError(f.t, cmd.Start())
	f.t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	return cmd
}

// countHolders counts the holders of a lease, as a member sees it.
func (f *leaseFleet) countHolders(m *fleettest.Member, name string) (n int) {
	var rows []leaseRow
	require.NoError(f.t, json.Unmarshal([]byte(command(f.t, m, "lease", "list", "--json")), &rows))
	for _, r := range rows {
		if r.Name == name && r.Holder != "" {
			n++
		}
	}
	return n
}

// awaitRunning waits until a command runs under a lease. A grant by a single voter is not enough: a competing attempt
// may still win.
func (f *leaseFleet) awaitRunning(name string) {
	f.t.Helper()
	now := guard.BootTime()
	require.NoError(f.t, fleettest.WaitUntil(takeoverTimeout, func() bool {
		return slices.ContainsFunc(f.witness.Observed(), func(k fleettest.Work) bool { return strings.HasPrefix(k.Lease, "hold/"+name+"/") && k.Last > now })
	}))
}

// waitExitCode waits for a command and returns its exit code.
func waitExitCode(cmd *exec.Cmd) int {
	_ = cmd.Wait()
	return cmd.ProcessState.ExitCode()
}

// retryStalled repeats an attempt until it succeeds; a failure is excused only if a member or the test stalled meanwhile.
func (f *leaseFleet) retryStalled(what string, do func(attempt int) error) {
	f.t.Helper()
	retryAfterStall(f.t, what, f.Members, do)
}

// slotsByHand runs three commands that compete for two slots.
func (f *leaseFleet) slotsByHand() {
	f.t.Helper()
	f.retryStalled("three commands take turns in two slots", func(attempt int) error {
		name := fmt.Sprint("maintenance-", attempt)
		var cmds []*exec.Cmd
		for _, m := range f.Members {
			cmds = append(cmds, f.hold(m, name, "2500ms", 2))
		}
		two := fleettest.WaitUntil(takeoverTimeout, func() bool { return f.countHolders(f.Members[0], name) == 2 })
		for _, c := range cmds {
			if code := waitExitCode(c); code != 0 {
				return fmt.Errorf("a command ended with %d", code)
			}
		}
		if two != nil {
			return fmt.Errorf("the two slots were never held at once: %w", two)
		}
		slots := map[string]int{}
		for _, k := range f.witness.Observed() {
			if strings.HasPrefix(k.Lease, "hold/"+name+"/") {
				slots[k.Lease]++
				assert.True(f.t, k.Ended)
			}
		}
		assert.Equal(f.t, 3, slots["hold/"+name+"/0"]+slots["hold/"+name+"/1"])
		assert.Len(f.t, slots, 2)
		return nil
	})
}

// releasedByHand checks that a command stops waiting for a held lease after --wait, that the lease is shown, and that
// an order at another broker releases it.
func (f *leaseFleet) releasedByHand() {
	f.t.Helper()
	f.retryStalled("a lease is shown and released", func(int) error {
		first := f.hold(f.Members[0], "one", "60s", 1)
		defer func() {
			first.Process.Kill()
			first.Wait()
		}()
		f.awaitRunning("one")
		seen := fleettest.WaitUntil(takeoverTimeout, func() bool { return f.countHolders(f.Members[0], "one") == 1 })
		late := waitExitCode(f.hold(f.Members[1], "one", "60s", 1, "--wait", "300ms"))
		shown := command(f.t, f.Members[2], "lease", "show", "one")
		if seen != nil || late != int(exitNotAcquired) || !strings.Contains(shown, "witness") || !strings.Contains(shown, "n0") {
			return fmt.Errorf("held: %v; the second command ended with %d; shown: %s", seen, late, shown)
		}
		command(f.t, f.Members[2], "lease", "release", "one")
		if code := waitExitCode(first); code != 128+int(syscall.SIGTERM) {
			return fmt.Errorf("after the release the command ended with %d", code)
		}
		return nil
	})
}

// holderIsCutOff checks that the command of a holder that is cut off ends before the term is over, and that others can
// then acquire the lease.
func (f *leaseFleet) holderIsCutOff() {
	f.t.Helper()
	f.retryStalled("a holder is cut off", func(int) error {
		cut := f.hold(f.Members[0], "one", "60s", 1)
		f.awaitRunning("one")
		f.Switch.Split([]int{1, 2})
		other := waitExitCode(f.hold(f.Members[1], "one", "100ms", 1))
		code := waitExitCode(cut)
		f.Switch.Heal()
		if other != 0 || code == 0 {
			return fmt.Errorf("the next holder's command ended with %d, that of the holder that was cut off with %d", other, code)
		}
		return nil
	})
}

// holderIsKilled checks that the command of a killed holder is gone, and that the lease is free after its term.
func (f *leaseFleet) holderIsKilled() {
	f.t.Helper()
	f.retryStalled("a holder is killed", func(int) error {
		killed := f.hold(f.Members[1], "one", "60s", 1)
		f.awaitRunning("one")
		killed.Process.Kill()
		killed.Wait()
		if code := waitExitCode(f.hold(f.Members[2], "one", "100ms", 1)); code != 0 {
			return fmt.Errorf("the next holder's command ended with %d", code)
		}
		return nil
	})
}

// ordersOnTheTask checks that a paused task can't be triggered, and that it continues once it is resumed.
func (f *leaseFleet) ordersOnTheTask() {
	f.t.Helper()
	command(f.t, f.Members[1], "lease", "pause", "close")
	require.NoError(f.t, fleettest.WaitUntil(takeoverTimeout, func() bool {
		return strings.Contains(command(f.t, f.Members[2], "lease", "list"), "paused")
	}), "it is shown as paused")
	assert.Contains(f.t, refusal(f.t, f.Members[1], "lease", "trigger", "close"), "the task is paused")
	command(f.t, f.Members[1], "lease", "resume", "close")
	f.currentWork()
	assert.Contains(f.t, refusal(f.t, f.Members[1], "lease", "release", "nothing"), "knows no lease or task")
}

// TestHoldIsLostWithItsBroker pauses a holder's broker for longer than a term. The command is ended before the term is
// over and reports why, the next holder has a higher fencing token, and the broker holds nothing after it resumes.
func TestHoldIsLostWithItsBroker(t *testing.T) {
	runParallel(t)
	f := startLeases(t, 3, "20ms", "plain", "votes", nil)
	f.currentWork()
	lost := f.hold(f.Members[0], "one", "60s", 1)
	f.awaitRunning("one")
	f.Members[0].Signal(syscall.SIGSTOP)
	assert.Equal(t, 128+int(syscall.SIGTERM), waitExitCode(lost), "the command of an expired lease")
	f.retryStalled("the next holder acquires the lease", func(int) error {
		if code := waitExitCode(f.hold(f.Members[1], "one", "300ms", 1)); code != 0 {
			return fmt.Errorf("the next holder's command ended with %d", code)
		}
		return nil
	})
	f.Members[0].Signal(syscall.SIGCONT)
	require.NoError(t, fleettest.WaitUntil(takeoverTimeout, func() bool { return f.countHolders(f.Members[0], "one") == 0 }), "the resumed broker holds nothing")
	var before, after fleettest.Work
	for _, k := range f.witness.Observed() {
		if strings.HasPrefix(k.Lease, "hold/one/") {
			before, after = after, k
		}
	}
	assert.Greater(t, after.Fence, before.Fence)
	assert.Greater(t, after.First, before.Last, "two runs overlap")
}

var (
	rigSeed     = flag.Uint64("rig.seed", 1, "seed of the schedule of TestLeaseSchedule")
	rigMembers  = flag.Int("rig.members", 5, "number of processes of TestLeaseSchedule")
	rigFaults   = flag.Int("rig.faults", 6, "number of faults in its schedule")
	rigSpan     = flag.Duration("rig.span", 8*time.Second, "time span in which the faults begin")
	rigSchedule = flag.String("rig.schedule", "", "play the schedule in this file instead")
)

// TestLeaseSchedule plays faults drawn from a seed: no two runs may overlap, and work must resume once all faults are
// over. A failing schedule is printed, replayed to count how often it fails, and reduced; -rig.schedule plays it.
func TestLeaseSchedule(t *testing.T) {
	runParallel(t)
	s := fleettest.RandomSchedule(*rigSeed, *rigMembers, *rigFaults, *rigSpan)
	if *rigSchedule != "" {
		text, err := os.ReadFile(*rigSchedule)
		require.NoError(t, err)
		s, err = fleettest.Parse(string(text))
		require.NoError(t, err)
	}
	f := startLeases(t, *rigMembers, "1500ms", "stubborn", "votes", func(m *fleettest.Member) {
		require.NoError(t, m.SkewClocks([]float64{0.99, 1.01, 1}[m.Index%3], 0))
	})
	plays := 0
	play := func(s fleettest.Schedule) bool {
		plays++
		f.currentWork()
		before := len(f.witness.Violations())
		require.NoError(t, f.Play(s))
		f.currentWork()
		return len(f.witness.Violations()) > before
	}
	if !play(s) {
		return
	}
	again := 0
	for range 3 {
		if play(s) {
			again++
		}
	}
	small := fleettest.Shrink(s, 20, play)
	t.Fatalf("%v\nafter 1 schedules; it failed again %d times of 3; smaller, after %d plays:\n%s", f.witness.Violations(), again, plays, small)
}

func copyDir(t *testing.T, from, to string) {
	out, err := exec.Command("cp", "-a", from, to).CombinedOutput()
	require.NoError(t, err, string(out))
}

// holderOf returns the member that holds the task's lease.
func (f *leaseFleet) holderOf() *fleettest.Member {
	for _, m := range f.Members {
		var s memberactor.State
		if m.Running() && m.Query("sharing", &s) == nil && len(s.Leases) > 0 && s.Leases[len(s.Leases)-1].Held {
			return m
		}
	}
	return nil
}

// guardsOf returns the processes that a broker has started.
func guardsOf(pid int) (all []int) {
	paths, _ := filepath.Glob("/proc/[0-9]*/stat")
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(text), ") ")
		var state string
		var ppid, own int
		fmt.Sscan(rest, &state, &ppid)
		fmt.Sscan(string(text), &own)
		if ppid == pid {
			all = append(all, own)
		}
	}
	return all
}
