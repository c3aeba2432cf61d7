package main

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gullstair/internal/broker"
	"gullstair/internal/fleettest"
	"gullstair/internal/memberactor"
)

// These helpers emulate a machine under heavy load, on which one or several processes are not scheduled for some time.

// pauseByTurns pauses one member after the other for off, with all running for on in between, until it is stopped.
func pauseByTurns(members []*fleettest.Member, on, off time.Duration) (stop func()) {
	return pauseTurns(members, on, off, math.MaxInt)
}

// pauseTurns does the same for at most this many turns.
func pauseTurns(members []*fleettest.Member, on, off time.Duration, turns int) (stop func()) {
	over := make(chan struct{})
	var turning sync.WaitGroup
	turning.Go(func() {
		for turn := range turns {
			m := members[turn%len(members)]
			m.Signal(syscall.SIGSTOP)
			ended := pause(over, off)
			m.Signal(syscall.SIGCONT)
			if ended || pause(over, on) {
				return
			}
		}
	})
	return sync.OnceFunc(func() {
		close(over)
		turning.Wait()
	})
}

// pause sleeps, and reports whether it was interrupted meanwhile.
func pause(over <-chan struct{}, span time.Duration) bool {
	select {
	case <-over:
		return true
	case <-time.After(span):
		return false
	}
}

// busy runs this many CPU-bound processes until the test ends.
func busy(t *testing.T, processes int) {
	for range processes {
		cmd := exec.Command("sh", "-c", "while :; do :; done")
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		require.NoError(t, cmd.Start())
		t.Cleanup(func() {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		})
	}
}

// stallTolerance is the minimum pause of a member or of the test itself that excuses a failed attempt.
const stallTolerance = 500 * time.Millisecond

// stallMeter holds the total time that members, and the test itself, had been stalled at some moment.
type stallMeter struct {
	members []*fleettest.Member
	their   []fleettest.StallSnapshot
	own     fleettest.StallSnapshot
}

func newStallMeter(members ...*fleettest.Member) stallMeter {
	s := stallMeter{members: members, own: fleettest.OwnStalls()}
	for _, m := range members {
		s.their = append(s.their, m.Stalls())
	}
	return s
}

// longest returns the longest stall of any of them since then. The kernel adds a delay only when it is over, so this
// waits for members that do not answer.
func (s stallMeter) longest() (most time.Duration) {
	most = fleettest.OwnStalledSince(s.own)
	for i, m := range s.members {
		_ = fleettest.WaitUntil(takeoverTimeout, func() bool { return !m.Running() || m.Query("sharing", &memberactor.State{}) == nil })
		if m.Running() {
			most = max(most, m.StalledSince(s.their[i]))
		}
	}
	return most
}

// retryAfterStall repeats an attempt until it succeeds. A failure is excused only if a member, or the test itself,
// stalled meanwhile.
func retryAfterStall(t *testing.T, what string, members []*fleettest.Member, do func(attempt int) error) {
	t.Helper()
	for attempt, begun := 0, time.Now(); ; attempt++ {
		before := newStallMeter(members...)
		err := do(attempt)
		if err == nil {
			return
		}
		stall := before.longest()
		require.GreaterOrEqual(t, stall, stallTolerance, "%s: %v, although nothing stalled", what, err)
		require.Less(t, time.Since(begun), 2*takeoverTimeout, "%s: %v", what, err)
		t.Logf("%s: %v, after a stall of %v", what, err, stall)
	}
}

// command runs a command of the program on a member's control socket and returns its output.
func command(t *testing.T, m *fleettest.Member, args ...string) (text string) {
	t.Helper()
	retryAfterStall(t, args[0]+" at "+m.Name, []*fleettest.Member{m}, func(int) error {
		var out bytes.Buffer
		err := run(append(args, "--socket", m.Socket()), &out)
		text = out.String()
		return err
	})
	return text
}

// refusal runs a command that must be refused, and returns the reason.
func refusal(t *testing.T, m *fleettest.Member, args ...string) (why string) {
	t.Helper()
	retryAfterStall(t, args[0]+" at "+m.Name, []*fleettest.Member{m}, func(int) error {
		err := run(append(args, "--socket", m.Socket()), io.Discard)
		var late interface{ Timeout() bool }
		if err == nil || errors.As(err, &late) && late.Timeout() {
			return fmt.Errorf("the command is not refused: %w", cmp.Or(err, errAccepted))
		}
		why = err.Error()
		return nil
	})
	return why
}

var errAccepted = errors.New("it was accepted")

// queryControlSockets queries each member's pages repeatedly and returns the sorted latencies.
func queryControlSockets(t *testing.T, f *fleettest.Fleet, rounds int) []time.Duration {
	var all []time.Duration
	for range rounds {
		for _, m := range f.Members {
			for page, into := range map[string]any{"limits": &broker.LimitsView{}, "sharing": &memberactor.State{}} {
				retryAfterStall(t, page+" at "+m.Name, []*fleettest.Member{m}, func(int) error {
					begun := time.Now()
					err := m.Query(page, into)
					all = append(all, time.Since(begun))
					return err
				})
			}
		}
	}
	slices.Sort(all)
	return all
}

const fleetLimit = "limit \"all\" {\n  for = \"fleet\"\n  scans_per_s = 80\n  burst = 16\n}\n"

// TestControlSocketBesideTraffic checks that a control socket answers within its limit while clients send more than
// the broker may admit, with one CPU-bound process per core next to the fleet.
func TestControlSocketBesideTraffic(t *testing.T) {
	runParallel(t)
	f := startLimits(t, 5, fleetLimit)
	f.awaitUse("in service", 0.85, 100, 100, 100, 100, 100)
	busy(t, 8)
	took := queryControlSockets(t, f.Fleet, 40)
	require.Less(t, took[len(took)*9/10], 500*time.Millisecond, "nine of ten answers")
	t.Logf("%d answers: half within %v, 99 in 100 within %v, all within %v", len(took), took[len(took)/2], took[len(took)*99/100], took[len(took)-1])
}

// TestMeasureControlSocket measures the latency of a control socket under traffic and next to CPU-bound processes.
func TestMeasureControlSocket(t *testing.T) {
	if !*measure {
		t.Skip("only with -measure")
	}
	for _, processes := range []int{1, 10, 30, 60} {
		t.Run("", func(t *testing.T) {
			f := startLimits(t, 5, fleetLimit)
			f.awaitUse("in service", 0.85, 100, 100, 100, 100, 100)
			busy(t, processes)
			took := queryControlSockets(t, f.Fleet, 200)
			t.Logf("%d busy processes: %d answers, half within %v, 99 in 100 within %v, all within %v", processes, len(took),
				took[len(took)/2], took[len(took)*99/100], took[len(took)-1])
		})
	}
}
