package main

import (
	"bytes"
	"encoding/json"
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
	"gullstair/internal/guard"
	"gullstair/internal/rig"
	"gullstair/internal/sharer"
)

// bent are clocks as the rig sets them for a process of this test binary: the rate at its start, the wall clock's error at any time.
func bent(path string) broker.Clocks {
	read := func() (rate float64, wall int64) {
		rate = 1
		if text, err := os.ReadFile(path); err == nil {
			fmt.Sscan(string(text), &rate, &wall)
		}
		return rate, wall
	}
	rate, _ := read()
	begun := guard.Now()
	return broker.Clocks{Elapsed: func() int64 { return begun + int64(math.Round(float64(guard.Now()-begun)*rate)) },
		Wall: func() time.Time {
			_, wall := read()
			return time.Now().Add(time.Duration(wall))
		}}
}

// leaseFleet is a fleet with one task, whose work a witness sees.
type leaseFleet struct {
	*rig.Fleet
	t       *testing.T
	witness *rig.Witness
}

const (
	leaseTerm  = 2 * time.Second // the guard has a tenth of it to kill on a machine that has other work
	taskEvery  = time.Second
	takeoverIn = 30 * time.Second // patience on a busy machine; what it takes is measured by cmd/measure
)

// document is a member's part of the features: a task that works for as long as span, and leases by hand.
func taskDocument(witness, span, how, dir string) func(m *rig.Member) (string, string) {
	return func(m *rig.Member) (string, string) {
		votes := ""
		if dir != "" {
			votes = fmt.Sprintf("  dir = %q\n", m.Path(dir))
		}
		return fmt.Sprintf("  pace = 0.1\n  key \"1\" {\n    secret = %q\n  }\n", strings.Repeat("5e", 32)),
			fmt.Sprintf("lease {\n%s  longest = \"4s\"\n}\ntask \"close\" {\n  every = %q\n  term = %q\n  on_missed = \"once\"\n  run = [%q, \"witness\", %q, %q, %q]\n}\n", votes,
				taskEvery, leaseTerm, os.Args[0], witness, span, how)
	}
}

func startLeases(t *testing.T, members int, span, how, dir string, bend func(*rig.Member)) *leaseFleet {
	w, err := rig.NewWitness()
	require.NoError(t, err)
	dir0, env := t.TempDir(), []string{"GULLSTAIR_TEST_CHILD=1"}
	if how == "fenced" {
		env = append(env, "RIG_FENCE="+filepath.Join(dir0, "fence"))
	}
	f, err := rig.New(rig.Plan{Dir: dir0, Members: members, Program: []string{os.Args[0], "serve", "--log", "info"}, Env: env,
		Start: startTree(t), Features: taskDocument(w.Addr, span, how, dir), Seed: 1})
	require.NoError(t, err)
	t.Cleanup(func() {
		f.Close()
		// Guards go on to their deadlines without their brokers, and are gone by then.
		last := 0
		assert.NoError(t, rig.Until(10*time.Second, func() bool {
			n := len(w.Seen())
			idle := n == last && guardsGone(w)
			last = n
			return idle
		}), "no work outlives its lease")
		for _, k := range w.Seen() {
			assert.Empty(t, k.Left(), "of the work under %d", k.Fence)
		}
		assert.Empty(t, w.Judge())
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

// guardsGone says whether no process that a witness heard of is there any more.
func guardsGone(w *rig.Witness) bool {
	return !slices.ContainsFunc(w.Seen(), func(k rig.Work) bool { return len(k.Left()) > 0 })
}

// anew waits for work under a higher number than some.
func (f *leaseFleet) anew(than rig.Work) (rig.Work, *rig.Member) {
	f.t.Helper()
	var last rig.Work
	require.NoError(f.t, rig.Until(takeoverIn, func() bool {
		if all := f.witness.Seen(); len(all) > 0 {
			last = all[len(all)-1]
		}
		return last.Fence > than.Fence
	}), "the task runs again, under a higher number")
	return last, f.holder(last.Fence)
}

// atWork waits for work that goes on now, and its holder.
func (f *leaseFleet) atWork() (k rig.Work, m *rig.Member) {
	f.t.Helper()
	now := guard.Now()
	require.NoError(f.t, rig.Until(takeoverIn, func() bool {
		for _, k = range f.witness.Seen() {
			if strings.HasPrefix(k.Lease, "task/") && k.Last > now {
				// What a killed broker's guard lets go on to its deadline has no holder any more.
				if m = f.holder(k.Fence); m != nil {
					return true
				}
			}
		}
		return false
	}), "the task runs")
	return k, m
}

// holder is the member whose lease has a number; nil: none says so.
func (f *leaseFleet) holder(fence uint64) *rig.Member {
	for _, m := range f.Members {
		if !m.Running() {
			continue
		}
		var s sharer.State
		if m.Ask("sharing", &s) != nil {
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

func (f *leaseFleet) others(m *rig.Member) (all []int) {
	for _, o := range f.Members {
		if o != m {
			all = append(all, o.N)
		}
	}
	return all
}

// Five brokers and a task whose work a witness sees, through faults between and at them: never two at once, fencing numbers that grow, and work again once
// a majority is together.
func TestLeaseFaults(t *testing.T) {
	besideOthers(t)
	f := startLeases(t, 5, "1500ms", "stubborn", "votes", func(m *rig.Member) {
		require.NoError(t, m.Bend([]float64{0.99, 1.01, 1}[m.N%3], 0)) // the drift that is told, at both ends
	})
	for _, c := range []struct {
		name string
		do   func(k rig.Work, m *rig.Member)
	}{
		{"the holder is killed in mid-task", func(k rig.Work, m *rig.Member) {
			m.Kill()
			f.anew(k)
			require.NoError(t, m.Launch())
		}},
		{"the holder stands still for three terms in mid-task", func(k rig.Work, m *rig.Member) {
			m.Signal(syscall.SIGSTOP)
			_, other := f.anew(k)
			assert.NotEqual(t, m, other)
			m.Signal(syscall.SIGCONT)
		}},
		{"the holder's guard stands still", func(k rig.Work, m *rig.Member) {
			for _, pid := range guardsOf(m.Pid()) {
				syscall.Kill(pid, syscall.SIGSTOP)
			}
			f.Switch.Split(f.others(m))
			f.anew(k)
			f.Switch.Heal()
		}},
		{"the holder is cut off", func(k rig.Work, m *rig.Member) {
			f.Switch.Split(f.others(m))
			_, other := f.anew(k)
			assert.NotEqual(t, m, other)
			f.Switch.Heal()
		}},
		{"nobody hears the holder", func(k rig.Work, m *rig.Member) {
			for i := range f.Members {
				f.Switch.Set(m.N, i, func(l *rig.Link) { l.Cut = true })
			}
			f.anew(k)
			f.Switch.Heal()
		}},
		{"the holder hears nobody", func(k rig.Work, m *rig.Member) {
			for i := range f.Members {
				f.Switch.Set(i, m.N, func(l *rig.Link) { l.Cut = true })
			}
			f.anew(k)
			f.Switch.Heal()
		}},
		{"a split of three and two", func(k rig.Work, m *rig.Member) {
			o := f.others(m)
			f.Switch.Split([]int{m.N, o[0]}, o[1:])
			f.anew(k)
			f.Switch.Heal()
		}},
		{"a split of two, two and one", func(_ rig.Work, m *rig.Member) {
			o := f.others(m)
			f.Switch.Split([]int{m.N, o[0]}, o[1:3])
			before := len(f.witness.Seen())
			require.NoError(t, rig.Until(takeoverIn, func() bool { return f.holderOf() == nil }), "no side is a majority")
			assert.LessOrEqual(t, len(f.witness.Seen()), before+1)
			f.Switch.Heal()
		}},
		{"a third is lost, much comes twice, out of order or flipped", func(rig.Work, *rig.Member) {
			f.Switch.All(func(l *rig.Link) { l.Loss, l.Duplicate, l.Jitter, l.Flip = 0.3, 0.3, 20, 0.02 })
			f.atWork()
			f.atWork()
			f.Switch.Heal()
		}},
		{"what was sent is sent again", func(k rig.Work, m *rig.Member) {
			m.Kill()
			f.anew(k)
			assert.Positive(t, f.Switch.Replay())
			require.NoError(t, m.Launch())
			assert.Positive(t, f.Switch.Replay())
		}},
		{"wall clocks an hour apart, and jumping", func(k rig.Work, m *rig.Member) {
			o := f.others(m)
			require.NoError(t, m.Bend(1, time.Hour)) // it is cut off by its own clock: the others go on
			require.NoError(t, f.Members[o[0]].Bend(1, -10*time.Second))
			_, other := f.anew(k)
			assert.NotEqual(t, m, other)
			require.NoError(t, m.Bend(1, 0))
			require.NoError(t, f.Members[o[0]].Bend(1, 0))
		}},
		{"all are started again at once", func(rig.Work, *rig.Member) {
			for _, m := range f.Members {
				m.Kill()
			}
			require.NoError(t, f.LaunchAll())
		}},
		{"all again, one voter's disk from an older copy", func(_ rig.Work, m *rig.Member) {
			for _, m := range f.Members {
				m.Kill()
			}
			path := m.Path("votes")
			copyDir(t, path, path+".old")
			require.NoError(t, f.LaunchAll())
			f.atWork()
			for _, m := range f.Members {
				m.Kill()
			}
			require.NoError(t, os.RemoveAll(path))
			copyDir(t, path+".old", path)
			require.NoError(t, f.LaunchAll())
			require.NoError(t, rig.Until(takeoverIn, func() bool {
				log, _ := os.ReadFile(m.Path("log"))
				return bytes.Contains(log, []byte("it is a copy"))
			}), "it is found and named")
			// Ended before its quiet time is over: the next process may not take for whole what this one has stored since.
			m.Kill()
			require.NoError(t, m.Launch())
			require.NoError(t, rig.Until(takeoverIn, func() bool {
				log, _ := os.ReadFile(m.Path("log"))
				return bytes.Contains(log, []byte("an earlier process found something missing"))
			}), "the doubt outlasts it")
		}},
		{"the holder ends in order", func(k rig.Work, m *rig.Member) {
			m.End(20 * time.Second)
			f.anew(k)
			require.NoError(t, m.Launch())
		}},
	} {
		k, m := f.atWork()
		t.Logf("%s: %s under %d", c.name, m.Name, k.Fence)
		c.do(k, m)
		f.atWork()
		require.Empty(t, f.witness.Judge(), c.name)
	}
}

// Voters without disks: after a restart of all nothing is granted for a term, what ran is over by then, and the task goes on.
func TestLeasesWithoutDisks(t *testing.T) {
	besideOthers(t)
	f := startLeases(t, 3, "5s", "stubborn", "", nil)
	k, _ := f.atWork()
	for _, m := range f.Members {
		m.Kill() // its work goes on to the end of its term
	}
	require.NoError(t, f.LaunchAll())
	again, _ := f.anew(k)
	assert.Greater(t, again.First, k.Last)
	k, m := f.atWork()
	// Its guard is killed: what it guarded is gone before anything else begins.
	pids := guardsOf(m.Pid())
	require.NotEmpty(t, pids)
	for _, pid := range pids {
		syscall.Kill(pid, syscall.SIGKILL)
	}
	// The broker ends what its guard left, the grandchild in a session of its own too.
	require.NoError(t, rig.Until(takeoverIn, func() bool { return len(k.Left()) == 0 }))
	// Not before the broker has said so may it be killed itself: a guard and its broker killed at once leave a grandchild in a session of its own to the
	// fence (docs/leases.md). That grandchild's words once passed for work that goes on, and the test's end was the broker's.
	require.NoError(t, rig.Until(takeoverIn, func() bool {
		log, _ := os.ReadFile(m.Path("log"))
		return bytes.Contains(log, []byte("its guard was ended"))
	}))
	f.atWork()
}

// Disks that are full, as the kernel says it: a voter that can store nothing more grants nothing more and says why. One of three costs nothing; with two nobody may
// begin; started again with room they find what the last write left, and the task goes on.
func TestLeaseDiskFull(t *testing.T) {
	besideOthers(t)
	f := startLeases(t, 3, "300ms", "plain", "votes", nil)
	f.atWork()
	said := func(m *rig.Member, any ...string) {
		t.Helper()
		require.NoError(t, rig.Until(takeoverIn, func() bool {
			log, _ := os.ReadFile(m.Path("log"))
			return slices.ContainsFunc(any, func(what string) bool { return bytes.Contains(log, []byte(what)) })
		}), any)
	}
	fill := func(m *rig.Member) {
		t.Helper()
		// The log of what it says is longer than its votes: it has to go on, so it is moved out of the limit's way.
		require.NoError(t, os.Truncate(m.Path("log"), 0))
		size := int64(0)
		names, _ := filepath.Glob(filepath.Join(m.Path("votes"), "log-*"))
		for _, name := range names {
			info, err := os.Stat(name)
			require.NoError(t, err)
			size = max(size, info.Size())
		}
		require.NoError(t, unix.Prlimit(m.Pid(), unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: uint64(size) + 20, Max: unix.RLIM_INFINITY}, nil))
		said(m, "votes on leases can't be stored")
		said(m, "file too large")
	}
	fill(f.Members[0])
	f.atWork() // two of three are a majority
	fill(f.Members[1])
	require.NoError(t, rig.Until(takeoverIn, func() bool { return f.holderOf() == nil }), "one of three is none")
	all := f.witness.Seen()
	for _, m := range f.Members[:2] {
		m.Kill()
		require.NoError(t, m.Launch())
		// Whether the last write left a torn tail is the kernel's to say.
		said(m, "votes on leases may be missing", "votes on leases are as they were stored")
	}
	f.anew(all[len(all)-1])
}

// A whole machine stands still, broker, guard and command, and wakes after another one holds the lease: that no lease can cover, and the fence where effects
// land does. The command wakes first and goes on for as long as it is let.
func TestMachineStandsStill(t *testing.T) {
	besideOthers(t)
	f := startLeases(t, 3, "30s", "fenced", "votes", nil)
	k, m := f.atWork()
	stopped := append([]int{m.Pid()}, guardsOf(m.Pid())...)
	for _, pid := range append(slices.Clone(stopped), k.Pids...) {
		require.NoError(t, syscall.Kill(pid, syscall.SIGSTOP))
	}
	next, _ := f.anew(k)
	require.NoError(t, rig.Until(takeoverIn, func() bool { // its effects have landed
		all := f.witness.Seen()
		return all[len(all)-1].Fence == next.Fence && all[len(all)-1].Last > next.Last
	}))
	for _, pid := range k.Pids {
		require.NoError(t, syscall.Kill(pid, syscall.SIGCONT))
	}
	require.NoError(t, rig.Until(takeoverIn, func() bool { return len(k.Left()) == 0 }), "it is let do nothing, and ends")
	for _, pid := range stopped {
		syscall.Kill(pid, syscall.SIGCONT)
	}
	f.atWork()
	for _, x := range f.witness.Seen() {
		if x.Fence == k.Fence {
			assert.Less(t, x.Last, next.First, "nothing landed under the old number after the new one's first")
		}
	}
}

// Leases by hand: so many hold one at a time in the fleet, whoever waits gets it next, an operator can have it released, and a command whose lease
// is lost is ended. A lease is lost where brokers stand still for longer than it lasts: then what is tried is tried again.
func TestLeaseByHand(t *testing.T) {
	for name, disturb := range map[string]func(*rig.Fleet) (stop func()){
		"calm": func(*rig.Fleet) func() { return func() {} },
		"a broker stands still for longer than the term": func(f *rig.Fleet) func() {
			return standStill(f.Members[:1], time.Second, leaseTerm+time.Second, 3)
		},
		"a broker is held for dead and back, again and again": func(f *rig.Fleet) func() {
			return standStill(f.Members[:1], 700*time.Millisecond, 900*time.Millisecond, 5)
		},
	} {
		t.Run(name, func(t *testing.T) {
			besideOthers(t)
			f := startLeases(t, 3, "20ms", "plain", "votes", nil)
			f.atWork()
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

// hold has a command run under a lease by hand.
func (f *leaseFleet) hold(m *rig.Member, name, span string, holders int, more ...string) *exec.Cmd {
	args := append([]string{"lease", "run", "--socket", m.Socket(), "--term", leaseTerm.String(), "--holders", fmt.Sprint(holders), "--wait", "60s"}, more...)
	cmd := exec.Command(os.Args[0], append(args, name, "--", os.Args[0], "witness", f.witness.Addr, span, "plain")...)
	cmd.Env = append(os.Environ(), "GULLSTAIR_TEST_CHILD=1")
	cmd.Stderr = os.Stderr
	require.NoError(f.t, cmd.Start())
	f.t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	return cmd
}

// holding counts who holds a lease, as a member sees it.
func (f *leaseFleet) holding(m *rig.Member, name string) (n int) {
	var rows []leaseRow
	require.NoError(f.t, json.Unmarshal([]byte(command(f.t, m, "lease", "list", "--json")), &rows))
	for _, r := range rows {
		if r.Name == name && r.Holder != "" {
			n++
		}
	}
	return n
}

// working waits until a command goes on under a lease. That some voter has granted a try is not enough: another try may cross it and win.
func (f *leaseFleet) working(name string) {
	f.t.Helper()
	now := guard.Now()
	require.NoError(f.t, rig.Until(takeoverIn, func() bool {
		return slices.ContainsFunc(f.witness.Seen(), func(k rig.Work) bool { return strings.HasPrefix(k.Lease, "hold/"+name+"/") && k.Last > now })
	}))
}

// codeOf is what a command ends with; it is waited for.
func codeOf(cmd *exec.Cmd) int {
	_ = cmd.Wait()
	return cmd.ProcessState.ExitCode()
}

// undisturbed tries something until it comes about with no process standing still.
func (f *leaseFleet) undisturbed(what string, do func(attempt int) error) {
	f.t.Helper()
	unlessStill(f.t, what, f.Members, do)
}

// slotsByHand: three ask for one of two slots.
func (f *leaseFleet) slotsByHand() {
	f.t.Helper()
	f.undisturbed("three commands take turns in two slots", func(attempt int) error {
		name := fmt.Sprint("maintenance-", attempt)
		var cmds []*exec.Cmd
		for _, m := range f.Members {
			cmds = append(cmds, f.hold(m, name, "2500ms", 2))
		}
		two := rig.Until(takeoverIn, func() bool { return f.holding(f.Members[0], name) == 2 })
		for _, c := range cmds {
			if code := codeOf(c); code != 0 {
				return fmt.Errorf("a command ended with %d", code)
			}
		}
		if two != nil {
			return fmt.Errorf("two never hold at once: %w", two)
		}
		slots := map[string]int{}
		for _, k := range f.witness.Seen() {
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

// releasedByHand: one that is held is not waited for longer than asked, is shown, and is released by order at another broker.
func (f *leaseFleet) releasedByHand() {
	f.t.Helper()
	f.undisturbed("a lease is shown and released", func(int) error {
		first := f.hold(f.Members[0], "one", "60s", 1)
		defer func() {
			first.Process.Kill()
			first.Wait()
		}()
		f.working("one")
		seen := rig.Until(takeoverIn, func() bool { return f.holding(f.Members[0], "one") == 1 })
		late := codeOf(f.hold(f.Members[1], "one", "60s", 1, "--wait", "300ms"))
		shown := command(f.t, f.Members[2], "lease", "show", "one")
		if seen != nil || late != int(notHeld) || !strings.Contains(shown, "witness") || !strings.Contains(shown, "n0") {
			return fmt.Errorf("seen: %v; who came late ended with %d; shown: %s", seen, late, shown)
		}
		command(f.t, f.Members[2], "lease", "release", "one")
		if code := codeOf(first); code != 128+int(syscall.SIGTERM) {
			return fmt.Errorf("released, it ended with %d", code)
		}
		return nil
	})
}

// holderIsCutOff: it is ended before the term is over, and the lease is free for others.
func (f *leaseFleet) holderIsCutOff() {
	f.t.Helper()
	f.undisturbed("a holder is cut off", func(int) error {
		cut := f.hold(f.Members[0], "one", "60s", 1)
		f.working("one")
		f.Switch.Split([]int{1, 2})
		other := codeOf(f.hold(f.Members[1], "one", "100ms", 1))
		code := codeOf(cut)
		f.Switch.Heal()
		if other != 0 || code == 0 {
			return fmt.Errorf("the next one ended with %d, who was cut off with %d", other, code)
		}
		return nil
	})
}

// holderIsKilled: what it ran is gone, and the lease is free after its term.
func (f *leaseFleet) holderIsKilled() {
	f.t.Helper()
	f.undisturbed("a holder is killed", func(int) error {
		killed := f.hold(f.Members[1], "one", "60s", 1)
		f.working("one")
		killed.Process.Kill()
		killed.Wait()
		if code := codeOf(f.hold(f.Members[2], "one", "100ms", 1)); code != 0 {
			return fmt.Errorf("the next one ended with %d", code)
		}
		return nil
	})
}

// ordersOnTheTask: a task that is paused is not triggered, and goes on once it is resumed.
func (f *leaseFleet) ordersOnTheTask() {
	f.t.Helper()
	command(f.t, f.Members[1], "lease", "pause", "close")
	require.NoError(f.t, rig.Until(takeoverIn, func() bool {
		return strings.Contains(command(f.t, f.Members[2], "lease", "list"), "paused")
	}), "it is shown as paused")
	assert.Contains(f.t, refusal(f.t, f.Members[1], "lease", "trigger", "close"), "the task is paused")
	command(f.t, f.Members[1], "lease", "resume", "close")
	f.atWork()
	assert.Contains(f.t, refusal(f.t, f.Members[1], "lease", "release", "nothing"), "no lease and no task")
}

// TestHoldIsLostWithItsBroker has a holder's broker stand still for longer than the lease lasts. The command is ended before the term
// is over, says why, and the next holder has a higher number; the broker, awake again, holds nothing.
func TestHoldIsLostWithItsBroker(t *testing.T) {
	besideOthers(t)
	f := startLeases(t, 3, "20ms", "plain", "votes", nil)
	f.atWork()
	lost := f.hold(f.Members[0], "one", "60s", 1)
	f.working("one")
	f.Members[0].Signal(syscall.SIGSTOP)
	assert.Equal(t, 128+int(syscall.SIGTERM), codeOf(lost), "the command of a lease that has run out")
	f.undisturbed("the next one holds it", func(int) error {
		if code := codeOf(f.hold(f.Members[1], "one", "300ms", 1)); code != 0 {
			return fmt.Errorf("it ended with %d", code)
		}
		return nil
	})
	f.Members[0].Signal(syscall.SIGCONT)
	require.NoError(t, rig.Until(takeoverIn, func() bool { return f.holding(f.Members[0], "one") == 0 }), "it holds nothing any more")
	var before, after rig.Work
	for _, k := range f.witness.Seen() {
		if strings.HasPrefix(k.Lease, "hold/one/") {
			before, after = after, k
		}
	}
	assert.Greater(t, after.Fence, before.Fence)
	assert.Greater(t, after.First, before.Last, "never two at work")
}

var (
	rigSeed     = flag.Uint64("rig.seed", 1, "draw the schedule of TestLeaseSchedule from this seed")
	rigMembers  = flag.Int("rig.members", 5, "processes of TestLeaseSchedule")
	rigFaults   = flag.Int("rig.faults", 6, "faults of its schedule")
	rigSpan     = flag.Duration("rig.span", 8*time.Second, "time in which they begin")
	rigSchedule = flag.String("rig.schedule", "", "play the schedule in this file instead")
)

// A schedule of faults drawn from a seed: never two at work, and work again once all is well. One that fails is printed, played again to say how
// often it fails, and made smaller; -rig.schedule plays it.
func TestLeaseSchedule(t *testing.T) {
	besideOthers(t)
	s := rig.Draw(*rigSeed, *rigMembers, *rigFaults, *rigSpan)
	if *rigSchedule != "" {
		text, err := os.ReadFile(*rigSchedule)
		require.NoError(t, err)
		s, err = rig.Parse(string(text))
		require.NoError(t, err)
	}
	f := startLeases(t, *rigMembers, "1500ms", "stubborn", "votes", func(m *rig.Member) {
		require.NoError(t, m.Bend([]float64{0.99, 1.01, 1}[m.N%3], 0))
	})
	plays := 0
	play := func(s rig.Schedule) bool {
		plays++
		f.atWork()
		before := len(f.witness.Judge())
		require.NoError(t, f.Play(s))
		f.atWork()
		return len(f.witness.Judge()) > before
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
	small := rig.Shrink(s, 20, play)
	t.Fatalf("%v\nafter 1 schedules; it failed again %d times of 3; smaller, after %d plays:\n%s", f.witness.Judge(), again, plays, small)
}

func copyDir(t *testing.T, from, to string) {
	out, err := exec.Command("cp", "-a", from, to).CombinedOutput()
	require.NoError(t, err, string(out))
}

// holderOf is who holds the task's lease.
func (f *leaseFleet) holderOf() *rig.Member {
	for _, m := range f.Members {
		var s sharer.State
		if m.Running() && m.Ask("sharing", &s) == nil && len(s.Leases) > 0 && s.Leases[len(s.Leases)-1].Held {
			return m
		}
	}
	return nil
}

// guardsOf are the processes that a broker has started.
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
