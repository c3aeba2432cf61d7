// Package lasting keeps what a process has promised others (votes on leases, shares that it lent, operators' orders) in a directory, and says at each start whether
// that is all that was ever stored: a copy that was put back, a tail that was cut or another process's directory must not pass for a memory that
// nothing is missing from.
package lasting

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

// Kind says what a directory's records are; one of another kind does not open.
type Kind uint64

// The kinds.
const (
	Votes Kind = 0x1ea5e
	Loans Kind = 0x10a45
	Words Kind = 0x0bde5 // operators' orders
)

const (
	touchedWithin = 2 * time.Second // a file whose last change is so much later than its last record was changed by somebody else
	lockName      = "lock"
	markName      = "place"
)

// Dir is an open directory of records. Only one goroutine may use it.
type Dir[R any] struct {
	path  string
	log   *journalfile.Log
	lock  *os.File
	doubt string // why something may be missing; "": nothing is
}

// Found is what a directory held.
type Found[R any] struct {
	Records []R
	Sound   bool   // these are all that were ever stored
	Why     string // if not
}

// place is how the file system knows the directory's mark, a file that is made once and never changed. Its number alone would not do: that
// of a file that was removed may be given to the next one. Its last change is the kernel's to set, and a copy has its own.
type place struct {
	Inode   uint64
	Changed int64
}

// entry is one record of the log, or without one the moment at which a process began to use the directory, or to trust it.
type entry[R any] struct {
	Vote  *R    // its name in the log; it is a record of any kind
	Begun int64 // wall clock in ns
	Place place
	Doubt string
}

// Open opens a directory of one kind's records, made if it is not there. An error says what is wrong with it: another process uses it, it can't be written,
// it is spoilt. Where something may be missing from it, it is not sound, and says why.
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
	f := &Found[R]{Sound: true}
	doubt := func(format string, args ...any) {
		if f.Sound {
			f.Sound, f.Why = false, fmt.Sprintf(format, args...)
		}
	}
	touched, changed := d.changed()
	log, r, err := journalfile.Open(disk, uint64(kind), 0)
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
	var earlier string
	read := func(e entry[R]) {
		if e.Vote != nil {
			f.Records = append(f.Records, *e.Vote)
		}
		last, there, earlier = max(last, e.Begun), e.Place, e.Doubt
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
		// Nobody can tell an empty directory from one that was lost.
		doubt("it is empty")
	case r.Cut > 0:
		doubt("%d bytes of a torn tail were cut", r.Cut)
	case fresh || here != there:
		doubt("it is a copy: the place that its records name is another one")
	case changed && touched-last > int64(touchedWithin):
		doubt("its files were changed %v after the last record", time.Duration(touched-last).Round(time.Second))
	case earlier != "":
		// A process that found it so and was ended before its quiet time was over has left a log that looks whole: the next one once took it for that,
		// and what had been promised before the loss did not bind it.
		doubt("an earlier process found something missing and ended before that had run out: %s", earlier)
	}
	d.doubt = f.Why
	return f, d.append(entry[R]{Begun: time.Now().UnixNano(), Place: here, Doubt: d.doubt})
}

// Trust says that what may be missing binds nobody any more: from now on the directory holds all that counts.
func (d *Dir[R]) Trust() error {
	if d.doubt == "" {
		return nil
	}
	here, err := d.here()
	if err != nil {
		return err
	}
	if err := d.append(entry[R]{Begun: time.Now().UnixNano(), Place: here}); err != nil {
		return fmt.Errorf("%s: %w", d.path, err)
	}
	d.doubt = ""
	return nil
}

// here is the directory's place, as long as it is the one that was opened.
func (d *Dir[R]) here() (place, error) {
	here, fresh, err := d.mark()
	if err != nil || fresh {
		return here, fmt.Errorf("%s: the directory was changed under this process: %w", d.path, cmp.Or(err, os.ErrNotExist))
	}
	return here, nil
}

// changed is when the kernel last saw a change of the log's files, in ns; nobody but the kernel can set that.
func (d *Dir[R]) changed() (at int64, any bool) {
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
func (d *Dir[R]) mark() (p place, fresh bool, err error) {
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

// Store makes records last, with one fsync. After an error nothing more is taken.
func (d *Dir[R]) Store(records []R) error {
	here, err := d.here()
	if err != nil {
		return err
	}
	now := time.Now().UnixNano()
	var entries []entry[R]
	for i := range records {
		entries = append(entries, entry[R]{Vote: &records[i], Begun: now, Place: here, Doubt: d.doubt})
	}
	if err := d.append(entries...); err != nil {
		return fmt.Errorf("%s: %w", d.path, err)
	}
	return nil
}

// Snapshot puts some records in the place of all that were stored so far.
func (d *Dir[R]) Snapshot(records []R) error {
	here, err := d.here()
	if err != nil {
		return err
	}
	now := time.Now().UnixNano()
	all := []entry[R]{{Begun: now, Place: here, Doubt: d.doubt}}
	for i := range records {
		all = append(all, entry[R]{Vote: &records[i], Begun: now, Place: here, Doubt: d.doubt})
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

// Close lets another process use the directory. All that was stored lasts already.
func (d *Dir[R]) Close() {
	if d.log != nil {
		d.log.Close()
	}
	d.lock.Close()
}
