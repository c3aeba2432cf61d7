package rig

import (
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A process is left while it goes on: not when it only waits to be collected, and not when its number has been given to a process of other work.
func TestLeft(t *testing.T) {
	cmd := exec.Command("sleep", "60")
	cmd.Env = append(os.Environ(), "GULLSTAIR_FENCE=7")
	require.NoError(t, cmd.Start())
	pid := cmd.Process.Pid
	own, other := Work{Fence: 7, Pids: []int{pid}}, Work{Fence: 70, Pids: []int{pid}}
	require.NoError(t, Until(10*time.Second, func() bool { return len(own.Left()) == 1 }), "its environment is there once the program has begun")
	assert.Empty(t, other.Left())
	require.NoError(t, cmd.Process.Kill())
	require.NoError(t, Until(10*time.Second, func() bool { return len(own.Left()) == 0 }), "before it is collected")
	require.Error(t, cmd.Wait())
	assert.Empty(t, own.Left())
}
