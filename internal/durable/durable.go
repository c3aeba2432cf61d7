// Package durable stores the promises that a process has made to others (votes on leases, loans of shares,
// operators' orders) in a directory. At each start it reports whether the records are complete: a restored
// copy, a log with a truncated tail or another process's directory must not pass for a complete memory. It does
// file I/O.
package durable

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
)

// Kind is the kind of a directory's records. A directory of another kind does not open.
type Kind uint64

// The kinds of records.
const (
	Votes        Kind = 0x1ea5e
	Loans        Kind = 0x10a45
	OrderRecords Kind = 0x0bde5 // operators' orders
)

const (
	maxChangeDelay = 2 * time.Second // a file that changed this much later than its last record was changed by another program
	lockName       = "lock"
	placeName      = "place"
)

// Dir is an open directory of records. It is not safe for concurrent use.
type Dir[R any] struct {
	path             string
	log              *journalfile.Log
	lock             *os.File
	incompleteReason string // why records may be missing; "" if none are
}

// Found is the content of a directory when it was opened.
type Found[R any] struct {
	Records  []R
	Complete bool   // the records are all that were ever stored
	Why      string // the reason if they may not be
}

// place identifies the directory by the inode of its place file, which is created once and never changed. The
// inode number alone is not enough: the number of a removed file may be reused. The change time is set by the
// kernel only, so a copy has another one.
type place struct {
	Inode   uint64
	Changed int64
}

// entry is one entry of the log: a record, or, without one, the time at which a process began to use the
// directory or to trust it.
type entry[R any] struct {
	Vote  *R    // a record of any kind; the field name is that of the stored format
	Begun int64 // wall clock, in ns
	Place place
	Doubt string
}

// Open opens a directory of records of one kind and creates it if it does not exist. It returns an error if
// another process uses the directory, or if it is not writable or corrupt. If records may be missing, Found
// says so and why.
func Open[R any](path string, kind Kind) (*Dir[R], *Found[R], error) {
	disk, err := journalfile.Dir(path)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		lock.Close()
		return nil, nil, fmt.Errorf("%s: another process uses this directory", path)
	}
	d := &Dir[R]{path: path, lock: lock}
	f, err := d.open(disk, kind)
	if err != nil {
		d.Close()
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return d, f, nil
}

func (d *Dir[R]) open(disk journalfile.Disk, kind Kind) (*Found[R], error) {
	f := &Found[R]{Complete: true}
	incomplete := func(format string, args ...any) {
		if f.Complete {
			f.Complete, f.Why = false, fmt.Sprintf(format, args...)
		}
	}
	touched, changed := d.lastChange()
	log, r, err := journalfile.Open(disk, uint64(kind), 0)
	if err != nil {
		return nil, err
	}
	d.log = log
	currentPlace, fresh, err := d.readPlace()
	if err != nil {
		return nil, err
	}
	var last int64
	var recordedPlace place
	var earlierReason string
	read := func(e entry[R]) {
		if e.Vote != nil {
			f.Records = append(f.Records, *e.Vote)
		}
		last, recordedPlace, earlierReason = max(last, e.Begun), e.Place, e.Doubt
	}
	if r.Snapshot != nil {
		var all []entry[R]
		if err := msgpack.Unmarshal(r.Snapshot, &all); err != nil {
			return nil, fmt.Errorf("its snapshot can't be read: %w", err)
		}
		for _, e := range all {
			read(e)
		}
	}
	for i, b := range r.Records {
		var e entry[R]
		if err := msgpack.Unmarshal(b, &e); err != nil {
			return nil, fmt.Errorf("record %d can't be read: %w", i, err)
		}
		read(e)
	}
	switch empty := r.Snapshot == nil && len(r.Records) == 0; {
	case empty:
		// An empty directory cannot be distinguished from one whose content was lost.
		incomplete("it is empty")
	case r.TruncatedBytes > 0:
		incomplete("%d bytes of a torn tail were cut", r.TruncatedBytes)
	case fresh || currentPlace != recordedPlace:
		incomplete("it is a copy: its place file is not the one that its records name")
	case changed && touched-last > int64(maxChangeDelay):
		incomplete("its files were changed %v after the last record", time.Duration(touched-last).Round(time.Second))
	case earlierReason != "":
		// A process that found records missing and ended before its grace period was over has left a log that
		// looks complete. Without this case the next process took it for complete, and the promises made before
		// the loss did not bind it.
		incomplete("an earlier process found something missing and ended before its grace period was over: %s", earlierReason)
	}
	d.incompleteReason = f.Why
	return f, d.append(entry[R]{Begun: time.Now().UnixNano(), Place: currentPlace, Doubt: d.incompleteReason})
}

// Trust marks the directory as complete, because missing records can no longer bind anybody.
func (d *Dir[R]) Trust() error {
	if d.incompleteReason == "" {
		return nil
	}
	here, err := d.checkPlace()
	if err != nil {
		return err
	}
	if err := d.append(entry[R]{Begun: time.Now().UnixNano(), Place: here}); err != nil {
		return fmt.Errorf("%s: %w", d.path, err)
	}
	d.incompleteReason = ""
	return nil
}

// checkPlace returns the directory's place, or an error if it is no longer the directory that was opened.
func (d *Dir[R]) checkPlace() (place, error) {
	here, fresh, err := d.readPlace()
	if err != nil || fresh {
		return here, fmt.Errorf("%s: the directory was changed under this process: %w", d.path, cmp.Or(err, os.ErrNotExist))
	}
	return here, nil
}

// lastChange returns the last change time of the log's files, in ns. Only the kernel can set it.
func (d *Dir[R]) lastChange() (at int64, any bool) {
	names, _ := filepath.Glob(filepath.Join(d.path, "*-*"))
	for _, name := range names {
		var st unix.Stat_t
		if unix.Stat(name, &st) == nil {
			at, any = max(at, st.Ctim.Nano()), true
		}
	}
	return at, any
}

// readPlace returns the directory's place and creates the place file if it is missing, which fresh reports.
func (d *Dir[R]) readPlace() (p place, fresh bool, err error) {
	path := filepath.Join(d.path, placeName)
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

func (d *Dir[R]) append(entries ...entry[R]) error {
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

// Store makes records durable with one fsync. After an error it accepts nothing more.
func (d *Dir[R]) Store(records []R) error {
	here, err := d.checkPlace()
	if err != nil {
		return err
	}
	now := time.Now().UnixNano()
	var entries []entry[R]
	for i := range records {
		entries = append(entries, entry[R]{Vote: &records[i], Begun: now, Place: here, Doubt: d.incompleteReason})
	}
	if err := d.append(entries...); err != nil {
		return fmt.Errorf("%s: %w", d.path, err)
	}
	return nil
}

// Snapshot replaces all records stored so far.
func (d *Dir[R]) Snapshot(records []R) error {
	here, err := d.checkPlace()
	if err != nil {
		return err
	}
	now := time.Now().UnixNano()
	all := []entry[R]{{Begun: now, Place: here, Doubt: d.incompleteReason}}
	for i := range records {
		all = append(all, entry[R]{Vote: &records[i], Begun: now, Place: here, Doubt: d.incompleteReason})
	}
	b, err := msgpack.Marshal(all)
	if err == nil {
		err = d.log.Snapshot(b)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", d.path, err)
	}
	return nil
}

// Close unlocks the directory for other processes. All stored records are durable already.
func (d *Dir[R]) Close() {
	if d.log != nil {
		d.log.Close()
	}
	d.lock.Close()
}
