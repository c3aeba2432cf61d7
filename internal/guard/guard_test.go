package guard

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Wide enough that a guard delayed by load still acts half a second before its caller's backstop. With a lead
// of 0.1 s the backstop came first on four loaded cores, and its result replaced the guard's.
const grace, lead = 1500 * time.Millisecond, time.Second

// TestMain lets the test binary run as the guard: a guard reaps everything below it, so it has to be a separate
// process.
func TestMain(m *testing.M) {
	if until := os.Getenv("GUARD_UNTIL"); until != "" {
		n, _ := strconv.ParseInt(until, 10, 64)
		timeout, _ := time.ParseDuration(os.Getenv("GUARD_TIMEOUT"))
		Serve(Spec{Argv: os.Args[1:], Deadline: n, Grace: grace, Lead: lead, Timeout: timeout}, os.Stdin, os.Stdout)
		os.Exit(0)
	}
	if err := BecomeReaper(); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func start(t *testing.T, within, timeout time.Duration, script string) (*Process, *exec.Cmd, int64) {
	until := BootTime() + int64(within)
	mark := "GUARD_MARK=" + strconv.FormatInt(until, 10)
	cmd := exec.Command(os.Args[0], "/bin/sh", "-c", script)
	cmd.Env = append(os.Environ(), "GUARD_UNTIL="+strconv.FormatInt(until, 10), "GUARD_TIMEOUT="+timeout.String(), mark)
	g, err := Start(cmd, Spec{Deadline: until, Lead: lead, Mark: mark})
	require.NoError(t, err)
	return g, cmd, until
}

// isAlive reports whether the process exists whose ID is in a file.
func isAlive(t *testing.T, path string) bool {
	text, err := os.ReadFile(path)
	if err != nil || len(text) == 0 {
		return false // missing, or not written yet
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	require.NoError(t, err)
	stat, _ := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	return syscall.Kill(pid, 0) == nil && !strings.Contains(string(stat), ") Z ")
}

func waitUntil(t *testing.T, holds func() bool) {
	t.Helper()
	for begun := time.Now(); !holds(); time.Sleep(2 * time.Millisecond) {
		require.Less(t, time.Since(begun), 10*time.Second)
	}
}

func TestHowCommandsEnd(t *testing.T) {
	for name, c := range map[string]struct {
		script  string
		within  time.Duration
		timeout time.Duration
		do      func(g *Process, cmd *exec.Cmd)
		want    Result
		late    bool // it ends only near its deadline
	}{
		"by itself":          {"exit 7", time.Minute, 0, nil, Result{7, ""}, false},
		"its lease runs out": {"sleep 60", 2500 * time.Millisecond, 0, nil, Result{128 + 15, "its lease runs out"}, true},
		"it ignores SIGTERM": {"trap '' TERM; while :; do sleep 0.01; done", 2500 * time.Millisecond, 0, nil, Result{128 + 9, "its lease runs out"}, true},
		"it leaves its session and closes everything": {"trap '' TERM HUP; setsid sh -c 'echo $$ >$PIDS; exec 0<&- 1>&- 2>&-; while :; do sleep 0.01; done' & exit 0", time.Minute, 0, nil,
			Result{0, ""}, false},
		"cancelled":           {"sleep 60", time.Minute, 0, func(g *Process, _ *exec.Cmd) { g.Cancel("an order", grace) }, Result{128 + 15, "an order"}, false},
		"its timeout":         {"sleep 60", time.Minute, 100 * time.Millisecond, nil, Result{128 + 15, "it took longer than its timeout"}, false},
		"too late to begin":   {"exit 0", grace - 200*time.Millisecond, 0, nil, Result{-1, "too late to begin: the lease is about to run out"}, false},
		"its guard is killed": {"while :; do sleep 0.01; done", time.Minute, 0, func(_ *Process, cmd *exec.Cmd) { cmd.Process.Kill() }, Result{-1, "its guard was ended"}, false},
		"its guard is suspended": {"while :; do sleep 0.01; done", 2500 * time.Millisecond, 0, func(_ *Process, cmd *exec.Cmd) { cmd.Process.Signal(syscall.SIGSTOP) },
			Result{-1, "its guard was ended"}, true},
		"its caller ends": {"sleep 60", 2500 * time.Millisecond, 0, func(g *Process, _ *exec.Cmd) { g.in.Close() }, Result{128 + 15, "its lease runs out"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pids := t.TempDir() + "/pids"
			g, cmd, until := start(t, c.within, c.timeout, "PIDS="+pids+"; echo $$ >"+pids+"; "+c.script)
			if c.do != nil {
				waitUntil(t, func() bool { return isAlive(t, pids) })
				c.do(g, cmd)
			}
			assert.Equal(t, c.want, g.Wait())
			if c.late {
				// It does not end before its SIGTERM, and what is left is killed by the deadline; the report
				// may be a little late on a loaded machine.
				over := time.Duration(BootTime() - until)
				assert.GreaterOrEqual(t, over, -grace)
				assert.Less(t, over, 20*time.Second) // a delay of 9 s was seen on four loaded cores; what matters is that no process is left
			}
			assert.False(t, isAlive(t, pids), "no process of the command is left")
		})
	}
}

// An extended deadline takes effect, but not for a command that is cancelled.
func TestExtended(t *testing.T) {
	g, _, until := start(t, 2500*time.Millisecond, 0, "sleep 2.8; exit 5")
	g.Extend(until + int64(time.Minute))
	assert.Equal(t, Result{5, ""}, g.Wait())
	pids := t.TempDir() + "/pids"
	g, _, until = start(t, time.Minute, 0, "trap '' TERM; echo $$ >"+pids+"; while :; do sleep 0.01; done")
	waitUntil(t, func() bool { return isAlive(t, pids) }) // the guard must have started, or it has no time left to end anything
	g.Cancel("an order", grace)
	g.Extend(until + int64(time.Minute))
	assert.Equal(t, "an order", g.Wait().Why)
}

// The leader's exit code is reported even if the last process of the command ends right after it.
func TestExitCodeIsReported(t *testing.T) {
	for range 200 {
		codes, gone := make(chan int, 1), make(chan struct{})
		codes <- 137
		close(gone)
		assert.Equal(t, 137, superviseUntilGone(Spec{Deadline: BootTime() + int64(time.Hour)}, 1<<30, nil, codes, gone).Code)
	}
}

// A guard is killed just as its command forks a process into a session of its own, which must be killed too.
// One survived on a loaded machine: a process that is about to exec has no readable environment for a moment,
// and one that is forked while /proc is listed is not in the list. The process that adopts the orphans of
// killed guards finds it, even if its environment stays empty.
func TestNothingSurvivesAGuardKilledDuringFork(t *testing.T) {
	for name, script := range map[string]string{"a moment": "setsid sleep 61 & exec sleep 60", "for good": "env -i setsid sleep 61 & echo $! >$PIDS; exec sleep 60"} {
		for i := range 6 {
			pids := t.TempDir() + "/pids"
			g, cmd, until := start(t, time.Minute, 0, "PIDS="+pids+"; trap '' TERM HUP; "+script)
			mark := "GUARD_MARK=" + strconv.FormatInt(until, 10)
			waitUntil(t, func() bool { return len(markedProcesses(mark)) > 1 && (name == "a moment" || isAlive(t, pids)) }) // the guard and its command
			time.Sleep(time.Duration(i%4) * 500 * time.Microsecond)
			cmd.Process.Kill()
			g.Wait()
			for range 4 { // a process without an environment has one soon
				require.Empty(t, markedProcesses(mark), "%s %d", name, i)
				time.Sleep(sweepInterval)
			}
			require.False(t, isAlive(t, pids), "%s %d", name, i)
		}
	}
}

// markedProcesses lists the processes that have a mark in their environment.
func markedProcesses(mark string) (pids []int) {
	paths, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, path := range paths {
		if text, err := os.ReadFile(path); err == nil && strings.Contains("\x00"+string(text), "\x00"+mark+"\x00") {
			pid, _ := strconv.Atoi(filepath.Base(filepath.Dir(path)))
			pids = append(pids, pid)
		}
	}
	return pids
}
