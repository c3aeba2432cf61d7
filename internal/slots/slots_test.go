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
	errPower = errors.New("the power is gone")
	errFull  = errors.New("no space left")
)

// memory is a disk whose power can fail at any operation. What was synced lasts; of later writes each file keeps a part
// that the seed draws; a created or removed name lasts with its folder's sync, or by chance: also the name of a file that
// was itself synced.
type memory struct {
	rng     *rand.Rand
	files   map[string]*content
	entries map[string]*content // names as the last sync of the folder left them
	left    int                 // operations until the power fails; below 0: it does not
	full    bool
}

type content struct{ data, synced []byte }

func newMemory(seed uint64) *memory {
	return &memory{rng: rand.New(rand.NewPCG(seed, 3)), files: map[string]*content{}, entries: map[string]*content{}, left: -1}
}

func (m *memory) step() error {
	if m.left == 0 {
		return errPower
	}
	if m.left > 0 {
		m.left--
	}
	return nil
}

// lose ends the power and returns the disk as it comes back.
func (m *memory) lose() *memory {
	after := &memory{rng: m.rng, files: map[string]*content{}, entries: map[string]*content{}, left: -1}
	names := map[string]bool{}
	for name := range m.files {
		names[name] = true
	}
	for name := range m.entries {
		names[name] = true
	}
	for name := range names {
		file, now := m.files[name]
		old, before := m.entries[name]
		if now && before && file == old {
			after.files[name] = torn(m.rng, file)
			continue
		}
		if now && m.rng.IntN(2) == 0 {
			after.files[name] = torn(m.rng, file)
		} else if before && m.rng.IntN(2) == 0 {
			after.files[name] = torn(m.rng, old)
		}
	}
	for name, file := range after.files {
		after.entries[name] = file
	}
	return after
}

func torn(rng *rand.Rand, file *content) *content {
	keep := len(file.synced) + rng.IntN(len(file.data)-len(file.synced)+1)
	data := slices.Clone(file.data[:keep])
	if keep > len(file.synced) && rng.IntN(3) == 0 {
		data[keep-1] ^= 0xff
	}
	return &content{data: data, synced: slices.Clone(data)}
}

func (m *memory) List() ([]string, error) {
	var names []string
	for name := range m.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

func (m *memory) Read(name string) ([]byte, error) { return slices.Clone(m.files[name].data), nil }

func (m *memory) Create(name string) (journalfile.File, error) {
	if err := m.step(); err != nil {
		return nil, err
	}
	if m.files[name] != nil {
		return nil, fmt.Errorf("%s is there", name)
	}
	file := &content{}
	m.files[name] = file
	return &handle{m, file}, nil
}

func (m *memory) Append(string, int64) (journalfile.File, error) { return nil, errors.New("not used") }

func (m *memory) Rename(string, string) error { return errors.New("not used") }

func (m *memory) Remove(name string) error {
	if err := m.step(); err != nil {
		return err
	}
	delete(m.files, name)
	return nil
}

func (m *memory) Sync() error {
	if err := m.step(); err != nil {
		return err
	}
	m.entries = map[string]*content{}
	for name, file := range m.files {
		m.entries[name] = file
	}
	return nil
}

type handle struct {
	disk *memory
	file *content
}

func (h *handle) Write(b []byte) (int, error) {
	if err := h.disk.step(); err != nil {
		n := h.disk.rng.IntN(len(b) + 1)
		h.file.data = append(h.file.data, b[:n]...)
		return n, err
	}
	if h.disk.full {
		n := h.disk.rng.IntN(len(b))
		h.file.data = append(h.file.data, b[:n]...)
		return n, errFull
	}
	h.file.data = append(h.file.data, b...)
	return len(b), nil
}

func (h *handle) Sync() error {
	if err := h.disk.step(); err != nil {
		return err
	}
	h.file.synced = slices.Clone(h.file.data)
	return nil
}

func (h *handle) Close() error { return nil }

// write puts state number n on the disk: by a checkpoint where one is wanted, else by a record.
func write(s *Store, n byte) error {
	state := bytes.Repeat([]byte{n}, 40000)
	if s.WantsCheckpoint() {
		return s.Checkpoint(state)
	}
	return s.Append(state)
}

// newest is the number of the newest state in what was read.
func newest(t *testing.T, c Contents) byte {
	t.Helper()
	last := c.State
	if n := len(c.Records); n > 0 {
		last = c.Records[n-1]
	}
	if len(last) != 40000 || bytes.Count(last, last[:1]) != len(last) {
		t.Fatalf("a state of %d bytes is not one that was written", len(last))
	}
	return last[0]
}

// TestPowerFailsAtEveryOperation writes states until the power fails at operation k, for every k, and reads back: the
// newest state that was acknowledged, or one that was being written, is there.
func TestPowerFailsAtEveryOperation(t *testing.T) {
	const states = 20
	for k := 0; ; k++ {
		failed := false
		for seed := range uint64(5) {
			disk := newMemory(seed*1000 + uint64(k))
			disk.left = k
			acknowledged := byte(0)
			store, _, err := Open(disk)
			if !errors.Is(err, ErrEmpty) {
				t.Fatalf("an empty disk: %v", err)
			}
			for n := byte(1); n <= states; n++ {
				if write(store, n) != nil {
					failed = true
					break
				}
				acknowledged = n
			}
			_, contents, err := Open(disk.lose())
			if acknowledged == 0 && errors.Is(err, ErrEmpty) {
				continue
			}
			if err != nil {
				t.Fatalf("power fails at %d, seed %d: %v", k, seed, err)
			}
			if got := newest(t, contents); got < acknowledged || got > acknowledged+1 {
				t.Fatalf("power fails at %d, seed %d: state %d was acknowledged, %d is there", k, seed, acknowledged, got)
			}
		}
		if !failed {
			if k < 2*states {
				t.Fatalf("only %d operations were made", k)
			}
			return
		}
	}
}

// TestPowerFailsAgainAndAgain goes on from what each loss of power left.
func TestPowerFailsAgainAndAgain(t *testing.T) {
	for seed := range uint64(400) {
		disk := newMemory(seed)
		store, _, _ := Open(disk)
		acknowledged, attempted := byte(0), byte(0)
		for range 6 {
			disk.left = disk.rng.IntN(20)
			for attempted < 250 {
				attempted++
				if write(store, attempted) != nil {
					break
				}
				acknowledged = attempted
			}
			disk = disk.lose()
			var contents Contents
			var err error
			store, contents, err = Open(disk)
			if acknowledged == 0 && errors.Is(err, ErrEmpty) {
				continue
			}
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			got := newest(t, contents)
			if got < acknowledged || got > attempted {
				t.Fatalf("seed %d: state %d was acknowledged, %d is there", seed, acknowledged, got)
			}
			acknowledged = got
		}
	}
}

// TestFullDisk writes on after the disk was full for a while; nothing that was acknowledged is lost.
func TestFullDisk(t *testing.T) {
	for seed := range uint64(200) {
		disk := newMemory(seed)
		store, _, _ := Open(disk)
		acknowledged := byte(0)
		for n := byte(1); n < 30; n++ {
			disk.full = disk.rng.IntN(3) == 0
			if write(store, n) == nil {
				acknowledged = n
			}
		}
		if acknowledged == 0 {
			continue
		}
		_, contents, err := Open(disk.lose())
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if got := newest(t, contents); got < acknowledged {
			t.Fatalf("seed %d: state %d was acknowledged, %d is there", seed, acknowledged, got)
		}
	}
}

// filled is a disk with a slot and three records behind it.
func filled(t *testing.T, states byte) *memory {
	disk := newMemory(1)
	store, _, _ := Open(disk)
	for n := byte(1); n <= states; n++ {
		if err := write(store, n); err != nil {
			t.Fatal(err)
		}
	}
	return disk
}

// TestDamageIsNotATornTail spoils what was acknowledged, by which something promised may be forgotten, and what a loss of
// power leaves.
func TestDamageIsNotATornTail(t *testing.T) {
	log := logName(1)
	for name, c := range map[string]struct {
		states byte
		spoil  func(d *memory)
		want   error
	}{
		"nothing":                    {4, func(*memory) {}, nil},
		"the last record":            {4, func(d *memory) { d.files[log].data[len(d.files[log].data)-1] ^= 1 }, nil},
		"half of the last record":    {4, func(d *memory) { d.files[log].data = d.files[log].data[:len(d.files[log].data)-20000] }, nil},
		"zeros after the end":        {4, func(d *memory) { d.files[log].data = append(d.files[log].data, make([]byte, 5000)...) }, nil},
		"a record before the last":   {4, func(d *memory) { d.files[log].data[45000] ^= 1 }, ErrDamaged},
		"the first record's length":  {4, func(d *memory) { d.files[log].data[0] ^= 1 }, ErrDamaged},
		"the slot":                   {4, func(d *memory) { d.files[slotName(1)].data[100] ^= 1 }, ErrDamaged},
		"the slot is gone":           {4, func(d *memory) { delete(d.files, slotName(1)) }, ErrDamaged},
		"the newer of two slots":     {12, func(d *memory) { d.files[slotName(2)].data[100] ^= 1 }, ErrDamaged},
		"the newer of two is gone":   {12, func(d *memory) { delete(d.files, slotName(2)) }, ErrDamaged},
		"the older of two slots":     {12, func(d *memory) { d.files[slotName(1)].data[100] ^= 1 }, nil},
		"a torn slot before its log": {4, func(d *memory) { d.files[slotName(2)] = &content{data: []byte("torn")} }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			disk := filled(t, c.states)
			c.spoil(disk)
			store, contents, err := Open(disk)
			if !errors.Is(err, c.want) || c.want == nil && err != nil {
				t.Fatalf("%v, want %v", err, c.want)
			}
			if c.want != nil && (contents.State != nil || contents.Records != nil) {
				t.Error("what is damaged is given out")
			}
			if err := write(store, 99); err != nil {
				t.Fatal(err)
			}
			if _, contents, err := Open(disk); err != nil || newest(t, contents) != 99 {
				t.Errorf("after it: %v", err)
			}
		})
	}
}

func FuzzRecords(f *testing.F) {
	f.Add(frame([]byte("one")))
	f.Add(append(frame([]byte("one")), frame([]byte("two"))[:5]...))
	f.Fuzz(func(t *testing.T, text []byte) {
		size := 0
		whole, _ := records(text)
		for _, r := range whole {
			size += headerSize + len(r)
		}
		if size > len(text) {
			t.Fatalf("records of %d bytes were read from %d", size, len(text))
		}
	})
}
