package main

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gullstair/internal/fleettest"
)

// signalEvery is the interval at which a process gets signals until it is gone, so that each phase of its shutdown,
// exit included, sees some.
const signalEvery = 200 * time.Microsecond

// requireEndUnderSignals sends SIGTERM, SIGHUP and SIGINT in turn until the process is gone, and requires exit code 0.
func requireEndUnderSignals(t *testing.T, p *fleettest.Process) {
	t.Helper()
	tick := time.NewTicker(signalEvery)
	defer tick.Stop()
	late := time.After(controlTimeout)
	for number := 0; ; number++ {
		select {
		case <-p.Ended():
			require.Zero(t, p.ExitCode(), "after %d signals", number)
			return
		case <-late:
			t.Fatalf("the process still runs %v after the first signal", controlTimeout)
		case <-tick.C:
			p.Signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT}[number%3])
		}
	}
}

// TestSignalsUntilTheBrokerIsGone guards against a broker that a second SIGTERM kills (exit code -1 right after its
// log line "broker ended"). The signal handlers were removed when the command returned; from then on the default
// action applied until the process was gone, for microseconds, or for a second in a build with the race detector,
// which exits that late.
func TestSignalsUntilTheBrokerIsGone(t *testing.T) {
	c := &controlProcess{t: t, ip: "127.9.1.1", seeds: "127.9.1.1:18381", extra: []string{"bounds.grace_s=1"}, folder: t.TempDir(), disk: true, bootstrap: true}
	t.Cleanup(func() { c.process.Kill() })
	c.start()
	c.awaitSignals()
	requireEndUnderSignals(t, c.process)
}

// TestSignalsUntilServeIsGone checks the same for serve.
func TestSignalsUntilServeIsGone(t *testing.T) {
	f := startFleet(t, 1, 2, 0)
	f.awaitLiving(1, 0)
	requireEndUnderSignals(t, f.Members[0].Process)
}
