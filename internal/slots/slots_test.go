package slots

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gullstair/internal/journalfile"
)

var (
	errPower = errors.New("power failure")
	errFull  = errors.New("no space left")
)

// faultyDisk is an in-memory disk whose power can fail at any operation. Synced data survives; of later writes each file
// keeps a random part. A created or removed name survives if the directory was synced, else at random, even if the file
// itself was synced.
type faultyDisk struct {
	rng         *rand.Rand
	files       map[string]*fileContent
	syncedNames map[string]*fileContent // names as of the last sync of the directory
	opsLeft     int                     // operations until the power fails; negative: it does not fail
	full        bool
	syncs       int
}

type fileContent struct{ data, synced []byte }

func newFaultyDisk(seed uint64) *faultyDisk {
	return &faultyDisk{rng: rand.New(rand.NewPCG(seed, 3)), files: map[string]*fileContent{}, syncedNames: map[string]*fileContent{}, opsLeft: -1}
}

func (m *faultyDisk) countOp() error {
	if m.opsLeft == 0 {
		return errPower
	}
	if m.opsLeft > 0 {
		m.opsLeft--
	}
	return nil
}

// powerCycle returns the disk as it is after a power failure.
func (m *faultyDisk) powerCycle() *faultyDisk {
	after := &faultyDisk{rng: m.rng, files: map[string]*fileContent{}, syncedNames: map[string]*fileContent{}, opsLeft: -1}
	names := map[string]bool{}
	for name := range m.files {
		names[name] = true
	}
	for name := range m.syncedNames {
		names[name] = true
	}
	for name := range names {
		file, now := m.files[name]
		old, before := m.syncedNames[name]
		if now && before && file == old {
			after.files[name] = tornCopy(m.rng, file)
			continue
		}
		if now && m.rng.IntN(2) == 0 {
			after.files[name] = tornCopy(m.rng, file)
		} else if before && m.rng.IntN(2) == 0 {
			after.files[name] = tornCopy(m.rng, old)
		}
	}
	m.keepRenamed(after)
	for name, file := range after.files {
		after.syncedNames[name] = file
	}
	return after
}

// keepRenamed gives a file that was renamed after the last sync, and is there under neither name, its old one back.
func (m *faultyDisk) keepRenamed(after *faultyDisk) {
	for old, file := range m.syncedNames {
		for name, now := range m.files {
			if now == file && name != old && after.files[old] == nil && after.files[name] == nil {
				after.files[old] = tornCopy(m.rng, file)
			}
		}
	}
}

// tornCopy returns a file as a power failure leaves it: what was written since the last sync is there up to some byte,
// which may be wrong, and behind that there is the end or, within the length that was synced, what was there before.
func tornCopy(rng *rand.Rand, file *fileContent) *fileContent {
	if len(file.synced) == len(file.data) {
		return tornWithin(rng, file)
	}
	keep := len(file.synced) + rng.IntN(len(file.data)-len(file.synced)+1)
	data := slices.Clone(file.data[:keep])
	if keep > len(file.synced) && rng.IntN(3) == 0 {
		data[keep-1] ^= 0xff
	}
	return &fileContent{data: data, synced: slices.Clone(data)}
}

func tornWithin(rng *rand.Rand, file *fileContent) *fileContent {
	data := slices.Clone(file.synced)
	if bytes.Equal(data, file.data) {
		return &fileContent{data: data, synced: slices.Clone(data)}
	}
	first, end := len(data), 0
	for at := range data {
		if data[at] != file.data[at] {
			first, end = min(first, at), at+1
		}
	}
	if first < end {
		keep := first + rng.IntN(end-first+1)
		copy(data, file.data[:keep])
		if keep > first && rng.IntN(3) == 0 {
			data[keep-1] ^= 0xff
		}
	}
	return &fileContent{data: data, synced: slices.Clone(data)}
}

func (m *faultyDisk) List() ([]string, error) {
	var names []string
	for name := range m.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

func (m *faultyDisk) Read(name string) ([]byte, error) { return slices.Clone(m.files[name].data), nil }

func (m *faultyDisk) Create(name string) (journalfile.File, error) {
	if err := m.countOp(); err != nil {
		return nil, err
	}
	if m.files[name] != nil {
		return nil, fmt.Errorf("file %s exists", name)
	}
	file := &fileContent{}
	m.files[name] = file
	return &handle{disk: m, file: file}, nil
}

func (m *faultyDisk) Reserve(name string, size int64, footer []byte) (journalfile.File, error) {
	if err := m.countOp(); err != nil {
		return nil, err
	}
	if m.files[name] != nil {
		return nil, fmt.Errorf("file %s exists", name)
	}
	file := &fileContent{data: append(make([]byte, size), footer...)}
	m.files[name] = file
	return &handle{disk: m, file: file}, nil
}

func (m *faultyDisk) Append(string, int64) (journalfile.File, error) {
	return nil, errors.New("not used")
}

func (m *faultyDisk) Rename(from, to string) error {
	if err := m.countOp(); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *faultyDisk) Remove(name string) error {
	if err := m.countOp(); err != nil {
		return err
	}
	delete(m.files, name)
	return nil
}

func (m *faultyDisk) Sync() error {
	m.syncs++
	if err := m.countOp(); err != nil {
		return err
	}
	m.syncedNames = map[string]*fileContent{}
	for name, file := range m.files {
		m.syncedNames[name] = file
	}
	return nil
}

type handle struct {
	disk *faultyDisk
	file *fileContent
	at   int // where the next write goes
}

func (h *handle) Write(b []byte) (int, error) {
	if err := h.disk.countOp(); err != nil {
		return h.put(b[:h.disk.rng.IntN(len(b)+1)]), err
	}
	if h.disk.full {
		return h.put(b[:h.disk.rng.IntN(len(b))]), errFull
	}
	return h.put(b), nil
}

func (h *handle) put(b []byte) int {
	kept := copy(h.file.data[min(h.at, len(h.file.data)):], b)
	h.file.data = append(h.file.data, b[kept:]...)
	h.at += len(b)
	return len(b)
}

func (h *handle) Sync() error {
	h.disk.syncs++
	if err := h.disk.countOp(); err != nil {
		return err
	}
	h.file.synced = slices.Clone(h.file.data)
	return nil
}

func (h *handle) Close() error { return nil }

// writeState writes state number n to the disk: as a checkpoint if one is needed, else as a record.
func writeState(s *Store, n byte) error {
	state := bytes.Repeat([]byte{n}, 40000)
	if !s.Fits(len(state)) {
		return s.Checkpoint(state)
	}
	return s.Append(state)
}

// newestState returns the number of the newest state in the contents.
func newestState(t *testing.T, c Contents) byte {
	t.Helper()
	last := c.State
	if n := len(c.Records); n > 0 {
		last = c.Records[n-1]
	}
	if len(last) != 40000 || bytes.Count(last, last[:1]) != len(last) {
		t.Fatalf("read a state of %d bytes that was never written", len(last))
	}
	return last[0]
}

// TestPowerFailsAtEveryOperation writes states until the power fails at operation k, for every k, and reopens the store:
// it must return the newest acknowledged state or the one that was being written.
func TestPowerFailsAtEveryOperation(t *testing.T) {
	const states = 20
	for k := 0; ; k++ {
		failed := false
		for seed := range uint64(5) {
			disk := newFaultyDisk(seed*1000 + uint64(k))
			disk.opsLeft = k
			acknowledged := byte(0)
			store, _, err := Open(disk)
			if !errors.Is(err, ErrEmpty) {
				t.Fatalf("an empty disk: %v", err)
			}
			for n := byte(1); n <= states; n++ {
				if writeState(store, n) != nil {
					failed = true
					break
				}
				acknowledged = n
			}
			_, contents, err := Open(disk.powerCycle())
			if acknowledged == 0 && errors.Is(err, ErrEmpty) {
				continue
			}
			if err != nil {
				t.Fatalf("power failure at operation %d, seed %d: %v", k, seed, err)
			}
			if got := newestState(t, contents); got < acknowledged || got > acknowledged+1 {
				t.Fatalf("power failure at operation %d, seed %d: state %d was acknowledged, read %d", k, seed, acknowledged, got)
			}
		}
		if !failed {
			if k < 2*states {
				t.Fatalf("only %d operations were performed", k)
			}
			return
		}
	}
}

// TestPowerFailsAgainAndAgain continues from the disk that each of several power failures left.
func TestPowerFailsAgainAndAgain(t *testing.T) {
	for seed := range uint64(400) {
		disk := newFaultyDisk(seed)
		store, _, _ := Open(disk)
		acknowledged, attempted := byte(0), byte(0)
		for range 6 {
			disk.opsLeft = disk.rng.IntN(20)
			for attempted < 250 {
				attempted++
				if writeState(store, attempted) != nil {
					break
				}
				acknowledged = attempted
			}
			disk = disk.powerCycle()
			var contents Contents
			var err error
			store, contents, err = Open(disk)
			if acknowledged == 0 && errors.Is(err, ErrEmpty) {
				continue
			}
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			got := newestState(t, contents)
			if got < acknowledged || got > attempted {
				t.Fatalf("seed %d: state %d was acknowledged, read %d", seed, acknowledged, got)
			}
			acknowledged = got
		}
	}
}

// TestFullDisk keeps writing while the disk is full at times; no acknowledged state may be lost.
func TestFullDisk(t *testing.T) {
	for seed := range uint64(200) {
		disk := newFaultyDisk(seed)
		store, _, _ := Open(disk)
		acknowledged := byte(0)
		for n := byte(1); n < 30; n++ {
			disk.full = disk.rng.IntN(3) == 0
			if writeState(store, n) == nil {
				acknowledged = n
			}
		}
		if acknowledged == 0 {
			continue
		}
		_, contents, err := Open(disk.powerCycle())
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if got := newestState(t, contents); got < acknowledged {
			t.Fatalf("seed %d: state %d was acknowledged, read %d", seed, acknowledged, got)
		}
	}
}

// filledDisk returns a disk to which the given number of states was written: a checkpoint first, then records.
func filledDisk(t *testing.T, states byte) *faultyDisk {
	disk := newFaultyDisk(1)
	store, _, _ := Open(disk)
	for n := byte(1); n <= states; n++ {
		if err := writeState(store, n); err != nil {
			t.Fatal(err)
		}
	}
	return disk
}

// recordsEnd returns where the records of a log end. Their last bytes are not zero.
func recordsEnd(log []byte) int { return len(bytes.TrimRight(log[:logLimit], "\x00")) }

// TestDamageIsNotATornTail checks that damage to acknowledged data is reported, since a promise may be lost with it, and
// that the damage a power failure leaves is not.
func TestDamageIsNotATornTail(t *testing.T) {
	log := logName(1)
	for name, c := range map[string]struct {
		states byte
		spoil  func(d *faultyDisk)
		want   error
	}{
		"nothing":                   {4, func(*faultyDisk) {}, nil},
		"the last record":           {4, func(d *faultyDisk) { d.files[log].data[recordsEnd(d.files[log].data)-1] ^= 1 }, nil},
		"half of the last record":   {4, func(d *faultyDisk) { clear(d.files[log].data[recordsEnd(d.files[log].data)-20000 : logLimit]) }, nil},
		"zeros after the end":       {4, func(d *faultyDisk) { d.files[log].data = append(d.files[log].data, make([]byte, 5000)...) }, nil},
		"a record before the last":  {4, func(d *faultyDisk) { d.files[log].data[45000] ^= 1 }, ErrDamaged},
		"the first record's length": {4, func(d *faultyDisk) { d.files[log].data[0] ^= 1 }, ErrDamaged},
		"a byte behind the records": {4, func(d *faultyDisk) { d.files[log].data[logLimit-1] ^= 1 }, nil},
		"a record that ends in zeros, behind a damaged one": {4, func(d *faultyDisk) {
			text := d.files[log].data
			copy(text[recordsEnd(text):], encodeRecord(make([]byte, 100)))
			text[recordsEnd(text)-headerSize-20000] ^= 1
		}, ErrDamaged},
		"the slot":                   {4, func(d *faultyDisk) { d.files[slotName(1)].data[100] ^= 1 }, ErrDamaged},
		"the slot is gone":           {4, func(d *faultyDisk) { delete(d.files, slotName(1)) }, ErrDamaged},
		"the newer of two slots":     {12, func(d *faultyDisk) { d.files[slotName(2)].data[100] ^= 1 }, ErrDamaged},
		"the newer of two is gone":   {12, func(d *faultyDisk) { delete(d.files, slotName(2)) }, ErrDamaged},
		"the older of two slots":     {12, func(d *faultyDisk) { d.files[slotName(1)].data[100] ^= 1 }, nil},
		"a torn slot before its log": {4, func(d *faultyDisk) { d.files[slotName(2)] = &fileContent{data: []byte("torn")} }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			disk := filledDisk(t, c.states)
			c.spoil(disk)
			store, contents, err := Open(disk)
			if !errors.Is(err, c.want) || c.want == nil && err != nil {
				t.Fatalf("%v, want %v", err, c.want)
			}
			if c.want != nil && (contents.State != nil || contents.Records != nil) {
				t.Error("a damaged store returned contents")
			}
			if err := writeState(store, 99); err != nil {
				t.Fatal(err)
			}
			if _, contents, err := Open(disk); err != nil || newestState(t, contents) != 99 {
				t.Errorf("after a new checkpoint: %v", err)
			}
		})
	}
}

func FuzzRecords(f *testing.F) {
	f.Add(encodeRecord([]byte("one")))
	f.Add(append(encodeRecord([]byte("one")), encodeRecord([]byte("two"))[:5]...))
	f.Fuzz(func(t *testing.T, text []byte) {
		size := 0
		valid, _ := parseRecords(text)
		for _, r := range valid {
			size += headerSize + len(r)
		}
		if size > len(text) {
			t.Fatalf("records of %d bytes were read from %d", size, len(text))
		}
	})
}
