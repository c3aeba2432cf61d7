package journalfile

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// TestLock locks a directory that another descriptor has locked, and one that cannot be.
func TestLock(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	require.NoError(t, os.Mkdir(path, 0o700))
	other, err := unix.Open(path, unix.O_RDONLY, 0)
	require.NoError(t, err)
	require.NoError(t, unix.Flock(other, unix.LOCK_EX))
	require.ErrorIs(t, Lock(path), ErrLocked)
	require.NoError(t, unix.Close(other))
	require.NoError(t, Lock(path))
	require.ErrorIs(t, Lock(path), ErrLocked, "the lock stays until the process ends")

	file := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	require.ErrorIs(t, Lock(file), syscall.ENOTDIR)
}

// TestPasses tells errors of a disk that may pass from those that stay.
func TestPasses(t *testing.T) {
	for _, passing := range []error{syscall.ENOSPC, syscall.EIO, syscall.EROFS, syscall.EMFILE, ErrLocked} {
		require.True(t, Passes(fmt.Errorf("open: %w", passing)), "%v", passing)
	}
	for _, lasting := range []error{syscall.ENOTDIR, syscall.EACCES, syscall.EPERM, syscall.EINVAL} {
		require.False(t, Passes(fmt.Errorf("open: %w", lasting)), "%v", lasting)
	}
}
