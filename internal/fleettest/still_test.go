package fleettest

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A process that is stopped counts as stalled for that time; a running process that waits for no processor does not.
func TestStoodStill(t *testing.T) {
	p, err := Launch([]string{"sleep", "60"}, nil, os.Stderr)
	require.NoError(t, err)
	defer p.Kill()
	before := p.Stalls()
	time.Sleep(50 * time.Millisecond)
	runningStall := p.StalledSince(before)
	p.Signal(syscall.SIGSTOP)
	p.Signal(syscall.SIGSTOP)
	time.Sleep(60 * time.Millisecond)
	assert.GreaterOrEqual(t, p.StalledSince(before), 60*time.Millisecond, "while it is stopped")
	p.Signal(syscall.SIGCONT)
	after := p.Stalls()
	assert.GreaterOrEqual(t, p.StalledSince(before), runningStall+60*time.Millisecond)
	time.Sleep(60 * time.Millisecond)
	assert.Less(t, p.StalledSince(after), 60*time.Millisecond, "the process runs again")
}

// The delay of a known thread counts from the first snapshot; the delay of a new thread counts whole.
func TestMostWaited(t *testing.T) {
	before := map[string]time.Duration{"a": 5 * time.Second, "b": time.Second}
	assert.Equal(t, 2*time.Second, maxIncrease(before, map[string]time.Duration{"a": 6 * time.Second, "b": 3 * time.Second, "c": time.Second}))
	assert.Equal(t, 3*time.Second, maxIncrease(before, map[string]time.Duration{"c": 3 * time.Second}))
	assert.Zero(t, maxIncrease(before, before))
	assert.NotEmpty(t, OwnStalls().runQueueDelay)
}
