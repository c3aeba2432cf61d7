package journalfile

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
)

var (
	errFull  = errors.New("no space left on device")
	errCrash = errors.New("the process has been killed")
)

// faultyDisk is an in-memory disk that tracks which data is durable. It can be killed at any operation, shorten writes,
// run full, fail an fsync, or skip one silently. After a crash, a part of the data that was not durable remains.
type faultyDisk struct {
	files        map[string]*faultyFile // as processes see them
	durableNames map[string]*faultyFile // as they would be after a crash
	rnd          *rand.Rand
	killAt       int // the operation at which the process is killed; 0: never
	ops          int
	killed       bool
	shortWrite   bool // the killed write leaves a part of its data
	full         bool // writes fail
	failSync     bool // fsync fails
	skipSync     bool // fsync reports success without syncing
	syncSkipped  bool
}

type faultyFile struct {
	disk        *faultyDisk
	data        []byte
	durableSize int // number of durable bytes
}

func newFaultyDisk(seed uint64) *faultyDisk {
	return &faultyDisk{files: map[string]*faultyFile{}, durableNames: map[string]*faultyFile{}, rnd: rand.New(rand.NewPCG(seed, 1))}
}

// countOp counts an operation; it returns an error once the process is killed.
func (d *faultyDisk) countOp() error {
	d.ops++
	if d.killed || d.killAt > 0 && d.ops >= d.killAt {
		d.killed = true
		return errCrash
	}
	return nil
}

// crash leaves the disk as a power failure would. Of its data that was not durable each file keeps a part, possibly with
// a hole in it, since blocks reach a disk in any order.
func (d *faultyDisk) crash() {
	for _, name := range sortedNames(d.durableNames) {
		f := d.durableNames[name]
		left := len(f.data) - f.durableSize
		if left > 0 {
			keep := d.rnd.IntN(left + 1)
			f.data = f.data[:f.durableSize+keep]
			if keep > 8 && d.rnd.IntN(2) == 0 {
				at := f.durableSize + d.rnd.IntN(keep-4)
				for i := at; i < min(at+4+d.rnd.IntN(64), len(f.data)); i++ {
					f.data[i] = 0
				}
			}
		}
		f.durableSize = len(f.data)
	}
	d.files = map[string]*faultyFile{}
	for name, f := range d.durableNames {
		d.files[name] = f
	}
	d.killed, d.killAt, d.ops, d.full, d.failSync, d.skipSync = false, 0, 0, false, false, false
}

func sortedNames(m map[string]*faultyFile) (all []string) {
	for n := range m {
		all = append(all, n)
	}
	slices.Sort(all)
	return all
}

func (d *faultyDisk) List() ([]string, error) { return sortedNames(d.files), d.countOp() }

func (d *faultyDisk) Read(name string) ([]byte, error) {
	f := d.files[name]
	if f == nil {
		return nil, fmt.Errorf("no file %s", name)
	}
	return slices.Clone(f.data), d.countOp()
}

func (disk *faultyDisk) Create(name string) (File, error) {
	if err := disk.countOp(); err != nil {
		return nil, err
	}
	if disk.files[name] != nil {
		return nil, fmt.Errorf("file %s exists", name)
	}
	f := &faultyFile{disk: disk}
	disk.files[name] = f
	if disk.rnd.IntN(2) == 0 {
		disk.durableNames[name] = f // a directory may be written before it is synced
	}
	return f, nil
}

func (d *faultyDisk) Reserve(string, int64, []byte) (File, error) { return nil, errors.New("not used") }

func (d *faultyDisk) Append(name string, size int64) (File, error) {
	if err := d.countOp(); err != nil {
		return nil, err
	}
	f := d.files[name]
	f.data = f.data[:size]
	f.durableSize = min(f.durableSize, int(size))
	return f, nil
}

func (d *faultyDisk) Rename(from, to string) error {
	if err := d.countOp(); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	if d.rnd.IntN(2) == 0 {
		d.durableNames[to] = d.files[to]
		delete(d.durableNames, from)
	}
	return nil
}

func (d *faultyDisk) Remove(name string) error {
	if err := d.countOp(); err != nil {
		return err
	}
	delete(d.files, name)
	if d.rnd.IntN(2) == 0 {
		delete(d.durableNames, name)
	}
	return nil
}

func (d *faultyDisk) Sync() error {
	if err := d.countOp(); err != nil {
		return err
	}
	d.durableNames = map[string]*faultyFile{}
	for name, f := range d.files {
		d.durableNames[name] = f
	}
	return nil
}

func (f *faultyFile) Write(p []byte) (int, error) {
	if err := f.disk.countOp(); err != nil {
		if f.disk.shortWrite {
			f.data = append(f.data, p[:f.disk.rnd.IntN(len(p)+1)]...)
		}
		return 0, err
	}
	if f.disk.full {
		n := f.disk.rnd.IntN(len(p))
		f.data = append(f.data, p[:n]...)
		return n, errFull
	}
	f.data = append(f.data, p...)
	return len(p), nil
}

func (f *faultyFile) Sync() error {
	if err := f.disk.countOp(); err != nil {
		return err
	}
	if f.disk.failSync {
		return errors.New("input/output error")
	}
	if f.disk.skipSync {
		f.disk.syncSkipped = true
		return nil
	}
	f.durableSize = len(f.data)
	return nil
}

func (f *faultyFile) Close() error { return f.disk.countOp() }
