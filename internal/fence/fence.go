// Package fence is the far side of fencing numbers: where effects land, it remembers the highest number seen and refuses anything lower. It
// covers what no lease can promise, such as a machine that stood still with a write on its way (Kleppmann, "How to do distributed
// locking", 2016).
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

// ErrLower: a higher number has been seen, so whoever brings this one holds its lease no more.
var ErrLower = errors.New("a higher fencing number has been seen")

// Guard remembers the highest number in a file. Several processes may use one file at once.
type Guard struct{ path string }

// At is the guard of a file; it is made by the first Pass.
func At(path string) *Guard { return &Guard{path} }

// Pass takes a number that is as high as any before it, and has it last before it returns; a lower one is an ErrLower.
// What it guards must be changed while nobody else passes: do is called, if it is not nil, before another Pass of any process can go on.
func (g *Guard) Pass(number uint64, do func() error) error {
	lock, err := os.OpenFile(g.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("fence: %w", err)
	}
	defer lock.Close() // which unlocks it
	for err = unix.EINTR; err == unix.EINTR; {
		err = unix.Flock(int(lock.Fd()), unix.LOCK_EX)
	}
	if err != nil {
		return fmt.Errorf("fence: %s: %w", g.path, err)
	}
	seen, err := g.Seen()
	if err != nil {
		return err
	}
	if number < seen {
		return fmt.Errorf("fence: %d: %w: %d", number, ErrLower, seen)
	}
	if number > seen {
		if err := g.keep(number); err != nil {
			return err
		}
	}
	if do != nil {
		return do()
	}
	return nil
}

// Seen is the highest number so far; 0: none. A file that can't be read is an error, not a 0.
func (g *Guard) Seen() (uint64, error) {
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

// keep replaces the file whole, so that a crash leaves the old number or the new one.
func (g *Guard) keep(number uint64) error {
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
