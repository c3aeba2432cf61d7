// Package fence checks fencing tokens at the resource that a lease protects: it stores the highest token seen in
// a file and rejects lower ones. This covers what no lease can guarantee, such as a machine that was suspended
// with a write under way (Kleppmann, "How to do distributed locking", 2016).
package fence

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// ErrStale means that a higher token has been seen, so the lease of the caller's token is no longer held.
var ErrStale = errors.New("a higher fencing token has been seen")

// Guard stores the highest token in a file. Several processes may use one file at once.
type Guard struct{ path string }

// New returns the guard of a file, which the first Accept creates.
func New(path string) *Guard { return &Guard{path} }

// Accept accepts a token that is at least as high as all earlier ones, and makes it durable before it returns.
// For a lower one it returns ErrStale. The guarded change must be made in the function do, if any: it runs before an
// Accept of any other caller or process can continue.
func (g *Guard) Accept(number uint64, do func() error) error {
	lock, err := os.OpenFile(g.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("fence: %w", err)
	}
	defer lock.Close() // also releases the lock
	for err = unix.EINTR; err == unix.EINTR; {
		err = unix.Flock(int(lock.Fd()), unix.LOCK_EX)
	}
	if err != nil {
		return fmt.Errorf("fence: %s: %w", g.path, err)
	}
	seen, err := g.Highest()
	if err != nil {
		return err
	}
	if number < seen {
		return fmt.Errorf("fence: %d: %w: %d", number, ErrStale, seen)
	}
	if number > seen {
		if err := g.writeFile(number); err != nil {
			return err
		}
	}
	if do != nil {
		return do()
	}
	return nil
}

// Highest returns the highest token so far, or 0 if there is none. An unreadable file is an error, not 0.
func (g *Guard) Highest() (uint64, error) {
	text, err := os.ReadFile(g.path)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("fence: %w", err)
	}
	n, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("fence: %s holds no number", g.path)
	}
	return n, nil
}

// writeFile replaces the file atomically, so that a crash leaves either the old number or the new one.
func (g *Guard) writeFile(number uint64) error {
	f, err := os.CreateTemp(filepath.Dir(g.path), filepath.Base(g.path)+".*")
	if err != nil {
		return fmt.Errorf("fence: %w", err)
	}
	defer os.Remove(f.Name())
	_, err = fmt.Fprintln(f, number)
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(f.Name(), g.path)
	}
	if err != nil {
		return fmt.Errorf("fence: %w", err)
	}
	d, err := os.Open(filepath.Dir(g.path))
	if err != nil {
		return fmt.Errorf("fence: %w", err)
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("fence: %w", err)
	}
	return nil
}
