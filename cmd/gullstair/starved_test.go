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
	"gullstair/internal/rig"
	"gullstair/internal/sharer"
)

// What a machine with much other work does to processes: they stand still, one or several of them, for as long as others run.

// standStillByTurns has one member after the other stand still, for off, and all run for on between, until it is stopped.
func standStillByTurns(members []*rig.Member, on, off time.Duration) (stop func()) {
	return standStill(members, on, off, math.MaxInt)
}

// standStill is the same for so many turns at most.
func standStill(members []*rig.Member, on, off time.Duration, turns int) (stop func()) {
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

// pause waits, and says whether it was ended meanwhile.
func pause(over <-chan struct{}, span time.Duration) bool {
	select {
	case <-over:
		return true
	case <-time.After(span):
		return false
	}
}

// busy keeps so many processes at work until the test ends.
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

// excuse is how long something may have stood still that a test goes by, before what it did counts against the program.
const excuse = 500 * time.Millisecond

// still is how long members, and the test itself, had stood still up to a moment.
type still struct {
	members []*rig.Member
	their   []rig.Still
	own     rig.Still
}

func stillOf(members ...*rig.Member) still {
	s := still{members: members, own: rig.OwnStill()}
	for _, m := range members {
		s.their = append(s.their, m.Still())
	}
	return s
}

// stood is the most that one of them stood still since then. The kernel adds a wait when it is over, so members are waited for that do
// not answer.
func (s still) stood() (most time.Duration) {
	most = rig.OwnStoodStill(s.own)
	for i, m := range s.members {
		_ = rig.Until(takeoverIn, func() bool { return !m.Running() || m.Ask("sharing", &sharer.State{}) == nil })
		if m.Running() {
			most = max(most, m.StoodStill(s.their[i]))
		}
	}
	return most
}

// unlessStill does something until it succeeds. A failure is let pass only where a member, or the test itself, stood still meanwhile.
func unlessStill(t *testing.T, what string, members []*rig.Member, do func(attempt int) error) {
	t.Helper()
	for attempt, begun := 0, time.Now(); ; attempt++ {
		before := stillOf(members...)
		err := do(attempt)
		if err == nil {
			return
		}
		stood := before.stood()
		require.GreaterOrEqual(t, stood, excuse, "%s: %v, and nothing stood still", what, err)
		require.Less(t, time.Since(begun), 2*takeoverIn, "%s: %v", what, err)
		t.Logf("%s: %v, after something stood still for %v", what, err, stood)
	}
}

// command gives a command of the program to a member's control socket and returns what it writes.
func command(t *testing.T, m *rig.Member, args ...string) (text string) {
	t.Helper()
	unlessStill(t, args[0]+" at "+m.Name, []*rig.Member{m}, func(int) error {
		var out bytes.Buffer
		err := run(append(args, "--socket", m.Socket()), &out)
		text = out.String()
		return err
	})
	return text
}

// refusal gives a command that is refused, and returns why.
func refusal(t *testing.T, m *rig.Member, args ...string) (why string) {
	t.Helper()
	unlessStill(t, args[0]+" at "+m.Name, []*rig.Member{m}, func(int) error {
		err := run(append(args, "--socket", m.Socket()), io.Discard)
		var late interface{ Timeout() bool }
		if err == nil || errors.As(err, &late) && late.Timeout() {
			return fmt.Errorf("it is not refused: %w", cmp.Or(err, errTaken))
		}
		why = err.Error()
		return nil
	})
	return why
}

var errTaken = errors.New("it was taken")

// askSockets asks each member for its pages again and again and returns what the answers took, in order.
func askSockets(t *testing.T, f *rig.Fleet, rounds int) []time.Duration {
	var all []time.Duration
	for range rounds {
		for _, m := range f.Members {
			for page, into := range map[string]any{"limits": &broker.LimitsSeen{}, "sharing": &sharer.State{}} {
				unlessStill(t, page+" at "+m.Name, []*rig.Member{m}, func(int) error {
					begun := time.Now()
					err := m.Ask(page, into)
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

// TestControlSocketBesideTraffic: a control socket answers within its limit while clients ask for more than the broker may take,
// with as many busy processes beside the fleet as there are cores.
func TestControlSocketBesideTraffic(t *testing.T) {
	besideOthers(t)
	f := startLimits(t, 5, fleetLimit)
	f.near("in service", 0.85, 100, 100, 100, 100, 100)
	busy(t, 8)
	took := askSockets(t, f.Fleet, 40)
	require.Less(t, took[len(took)*9/10], 500*time.Millisecond, "nine of ten answers")
	t.Logf("%d answers: half within %v, 99 in 100 within %v, all within %v", len(took), took[len(took)/2], took[len(took)*99/100], took[len(took)-1])
}

// What a control socket takes beside traffic and busy processes.
func TestMeasureControlSocket(t *testing.T) {
	if !*measure {
		t.Skip("only with -measure")
	}
	for _, processes := range []int{1, 10, 30, 60} {
		t.Run("", func(t *testing.T) {
			f := startLimits(t, 5, fleetLimit)
			f.near("in service", 0.85, 100, 100, 100, 100, 100)
			busy(t, processes)
			took := askSockets(t, f.Fleet, 200)
			t.Logf("%d busy processes: %d answers, half within %v, 99 in 100 within %v, all within %v", processes, len(took),
				took[len(took)/2], took[len(took)*99/100], took[len(took)-1])
		})
	}
}
