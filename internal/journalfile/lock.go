package journalfile

import (
	"errors"
	"fmt"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrLocked means that another process uses the directory.
var ErrLocked = errors.New("another process uses the directory")

// ErrNoLocks means that the file system has no locks.
var ErrNoLocks = errors.New("the file system has no locks")

// Lock locks a directory for this process until it ends, and creates the directory if necessary.
func Lock(path string) error {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return fmt.Errorf("lock the directory: %w", err)
	}
	descriptor, err := unix.Open(path, unix.O_RDONLY|unix.O_DIRECTORY|unix.O_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("lock the directory: %w", err)
	}
	err = unix.Flock(descriptor, unix.LOCK_EX|unix.LOCK_NB)
	if err == nil {
		return nil // the descriptor stays open: the lock ends with the process
	}
	unix.Close(descriptor)
	if errors.Is(err, unix.EWOULDBLOCK) {
		return fmt.Errorf("%s: %w", path, ErrLocked)
	}
	return fmt.Errorf("%s: %w: %w", path, ErrNoLocks, err)
}

// Passes reports whether an error of a disk may pass by itself: it is full, refuses, does not answer or is in use. A path
// that leads elsewhere, or that this process may not use, stays as it is.
func Passes(err error) bool {
	for _, lasting := range []error{syscall.ENOTDIR, syscall.EACCES, syscall.EPERM, syscall.ELOOP, syscall.ENAMETOOLONG, syscall.EINVAL} {
		if errors.Is(err, lasting) {
			return false
		}
	}
	return true
}
