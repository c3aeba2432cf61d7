package fleettest

import (
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Remaining lists a process only while it runs: not when it is a zombie, and not when its process ID belongs to a process of other work.
func TestLeft(t *testing.T) {
	cmd := exec.Command("sleep", "60")
	cmd.Env = append(os.Environ(), "GULLSTAIR_FENCE=7")
	require.NoError(t, cmd.Start())
	pid := cmd.Process.Pid
	own, other := Work{Fence: 7, Pids: []int{pid}}, Work{Fence: 70, Pids: []int{pid}}
	require.NoError(t, WaitUntil(10*time.Second, func() bool { return len(own.Remaining()) == 1 }), "the environment is readable once the program has started")
	assert.Empty(t, other.Remaining())
	require.NoError(t, cmd.Process.Kill())
	require.NoError(t, WaitUntil(10*time.Second, func() bool { return len(own.Remaining()) == 0 }), "a zombie does not count")
	require.Error(t, cmd.Wait())
	assert.Empty(t, own.Remaining())
}
