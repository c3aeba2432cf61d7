// Package votes keeps a voter's votes on leases in a directory, and says at each start whether they are all that were ever stored: a copy that
// was put back, a tail that was cut or another process's directory must not pass for a memory that nothing is missing from.
package votes

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sys/unix"

	"gullstair/internal/journalfile"
	"gullstair/internal/lease"
)

// owner is this kind of log's number.
const owner = 0x1ea5e

const (
	touchedWithin = 2 * time.Second // a file whose last change is so much later than its last record was changed by somebody else
	lockName      = "lock"
	markName      = "place"
)

// Dir is an open directory of votes. Only one goroutine may use it.
type Dir struct {
	path string
	log  *journalfile.Log
	lock *os.File
}

// Found is what a directory held.
type Found struct {
	Records []lease.Record
	Sound   bool   // these are all that were ever stored
	Why     string // if not
}

// place is how the file system knows the directory's mark, a file that is made once and never changed. Its number alone would not do: that
// of a file that was removed may be given to the next one. Its last change is the kernel's to set, and a copy has its own.
type place struct {
	Inode   uint64
	Changed int64
}

// entry is one record of the log: a vote, or the moment at which a process began to use the directory.
type entry struct {
	Vote  *lease.Record
	Begun int64 // wall clock in ns
	Place place
}

// Open opens a directory of votes, made if it is not there. An error says what is wrong with it: another process uses it, it can't be written,
// it is spoilt. Where something may be missing from it, it is not sound, and says why.
func Open(path string) (*Dir, *Found, error) {
	disk, err := journalfile.Dir(path)
	if err != nil {
		return nil, nil, fmt.Errorf("votes: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, nil, fmt.Errorf("votes: %w", err)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		lock.Close()
		return nil, nil, fmt.Errorf("votes: %s: another process uses this directory", path)
	}
	d := &Dir{path: path, lock: lock}
	f, err := d.open(disk)
	if err != nil {
		d.Close()
		return nil, nil, fmt.Errorf("votes: %s: %w", path, err)
	}
	return d, f, nil
}

func (d *Dir) open(disk journalfile.Disk) (*Found, error) {
	f := &Found{Sound: true}
	doubt := func(format string, args ...any) {
		if f.Sound {
			f.Sound, f.Why = false, fmt.Sprintf(format, args...)
		}
	}
	touched, changed := d.changed()
	log, r, err := journalfile.Open(disk, owner, 0)
	if err != nil {
		return nil, err
	}
	d.log = log
	here, fresh, err := d.mark()
	if err != nil {
		return nil, err
	}
	var last int64
	var there place
	read := func(e entry) {
		if e.Vote != nil {
			f.Records = append(f.Records, *e.Vote)
		}
		last, there = max(last, e.Begun), e.Place
	}
	if r.Snapshot != nil {
		var all []entry
		if err := msgpack.Unmarshal(r.Snapshot, &all); err != nil {
			return nil, fmt.Errorf("its snapshot can't be read: %w", err)
		}
		for _, e := range all {
			read(e)
		}
	}
	for i, b := range r.Records {
		var e entry
		if err := msgpack.Unmarshal(b, &e); err != nil {
			return nil, fmt.Errorf("record %d can't be read: %w", i, err)
		}
		read(e)
	}
	switch empty := r.Snapshot == nil && len(r.Records) == 0; {
	case empty:
		// Nobody can tell an empty directory from one that was lost.
		doubt("it is empty")
	case r.Cut > 0:
		doubt("%d bytes of a torn tail were cut", r.Cut)
	case fresh || here != there:
		doubt("it is a copy: the place that its records name is another one")
	case changed && touched-last > int64(touchedWithin):
		doubt("its files were changed %v after the last record", time.Duration(touched-last).Round(time.Second))
	}
	return f, d.append(entry{Begun: time.Now().UnixNano(), Place: here})
}

// changed is when the kernel last saw a change of the log's files, in ns; nobody but the kernel can set that.
func (d *Dir) changed() (at int64, any bool) {
	names, _ := filepath.Glob(filepath.Join(d.path, "*-*"))
	for _, name := range names {
		var st unix.Stat_t
		if unix.Stat(name, &st) == nil {
			at, any = max(at, st.Ctim.Nano()), true
		}
	}
	return at, any
}

// mark is the directory's place; fresh says that it had no mark.
func (d *Dir) mark() (p place, fresh bool, err error) {
	path := filepath.Join(d.path, markName)
	var st unix.Stat_t
	err = unix.Stat(path, &st)
	if errors.Is(err, syscall.ENOENT) {
		fresh = true
		var file *os.File
		if file, err = os.Create(path); err == nil {
			file.Close()
			err = unix.Stat(path, &st)
		}
	}
	return place{st.Ino, st.Ctim.Nano()}, fresh, err
}

func (d *Dir) append(entries ...entry) error {
	var records [][]byte
	for _, e := range entries {
		b, err := msgpack.Marshal(&e)
		if err != nil {
			return err
		}
		records = append(records, b)
	}
	return d.log.Append(records...)
}

// Store makes votes last, with one fsync. After an error nothing more is taken.
func (d *Dir) Store(votes []lease.Record) error {
	now := time.Now().UnixNano()
	here, fresh, err := d.mark()
	if err != nil || fresh {
		return fmt.Errorf("votes: %s: the directory was changed under this process: %w", d.path, cmp.Or(err, os.ErrNotExist))
	}
	var entries []entry
	for i := range votes {
		entries = append(entries, entry{Vote: &votes[i], Begun: now, Place: here})
	}
	if err := d.append(entries...); err != nil {
		return fmt.Errorf("votes: %s: %w", d.path, err)
	}
	return nil
}

// Snapshot puts all votes in the place of what was stored so far.
func (d *Dir) Snapshot(votes []lease.Record) error {
	here, fresh, err := d.mark()
	if err != nil || fresh {
		return fmt.Errorf("votes: %s: the directory was changed under this process: %w", d.path, cmp.Or(err, os.ErrNotExist))
	}
	now := time.Now().UnixNano()
	all := []entry{{Begun: now, Place: here}}
	for i := range votes {
		all = append(all, entry{Vote: &votes[i], Begun: now, Place: here})
	}
	b, err := msgpack.Marshal(all)
	if err != nil {
		return fmt.Errorf("votes: %w", err)
	}
	if err := d.log.Snapshot(b); err != nil {
		return fmt.Errorf("votes: %s: %w", d.path, err)
	}
	return nil
}

// Close lets another process use the directory. All that was stored lasts already.
func (d *Dir) Close() {
	if d.log != nil {
		d.log.Close()
	}
	d.lock.Close()
}
