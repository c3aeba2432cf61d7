package rig

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A process that is stopped has stood still for as long; one that runs and waits for nothing has not.
func TestStoodStill(t *testing.T) {
	p, err := Launch([]string{"sleep", "60"}, nil, os.Stderr)
	require.NoError(t, err)
	defer p.Kill()
	before := p.Still()
	time.Sleep(50 * time.Millisecond)
	calm := p.StoodStill(before)
	p.Signal(syscall.SIGSTOP)
	p.Signal(syscall.SIGSTOP)
	time.Sleep(60 * time.Millisecond)
	assert.GreaterOrEqual(t, p.StoodStill(before), 60*time.Millisecond, "while it is stopped")
	p.Signal(syscall.SIGCONT)
	after := p.Still()
	assert.GreaterOrEqual(t, p.StoodStill(before), calm+60*time.Millisecond)
	time.Sleep(60 * time.Millisecond)
	assert.Less(t, p.StoodStill(after), 60*time.Millisecond, "it goes on")
}

// What the kernel says of each thread counts from when it is asked first, and of new threads whole.
func TestMostWaited(t *testing.T) {
	before := map[string]time.Duration{"a": 5 * time.Second, "b": time.Second}
	assert.Equal(t, 2*time.Second, mostWaited(before, map[string]time.Duration{"a": 6 * time.Second, "b": 3 * time.Second, "c": time.Second}))
	assert.Equal(t, 3*time.Second, mostWaited(before, map[string]time.Duration{"c": 3 * time.Second}))
	assert.Zero(t, mostWaited(before, before))
	assert.NotEmpty(t, OwnStill().waited)
}
