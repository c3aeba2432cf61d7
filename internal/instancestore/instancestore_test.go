package instancestore

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gullstair/internal/instances"
	"gullstair/internal/journalfile"
)

var errNoPower = errors.New("the power has failed")

// testDisk is a directory whose power can fail, and whose syncs can be held up.
type testDisk struct {
	journalfile.Disk

	mu      sync.Mutex
	opsLeft int // writes until the power fails; negative: it does not fail
	syncs   int
	held    chan struct{} // files are synced only once it is closed; nil: at once
}

func newTestDisk(path string) (*testDisk, error) {
	directory, err := journalfile.Dir(path)
	return &testDisk{Disk: directory, opsLeft: -1}, err
}

func (d *testDisk) countOp() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.opsLeft == 0 {
		return errNoPower
	}
	if d.opsLeft > 0 {
		d.opsLeft--
	}
	return nil
}

func (d *testDisk) Create(name string) (journalfile.File, error) {
	if err := d.countOp(); err != nil {
		return nil, err
	}
	file, err := d.Disk.Create(name)
	return &testFile{file, d}, err
}

func (d *testDisk) Reserve(name string, size int64, footer []byte) (journalfile.File, error) {
	if err := d.countOp(); err != nil {
		return nil, err
	}
	file, err := d.Disk.Reserve(name, size, footer)
	return &testFile{file, d}, err
}

func (d *testDisk) Remove(name string) error {
	if err := d.countOp(); err != nil {
		return err
	}
	return d.Disk.Remove(name)
}

type testFile struct {
	journalfile.File
	disk *testDisk
}

func (f *testFile) Write(text []byte) (int, error) {
	if err := f.disk.countOp(); err != nil {
		return 0, err
	}
	return f.File.Write(text)
}

func (f *testFile) Sync() error {
	f.disk.mu.Lock()
	f.disk.syncs++
	held := f.disk.held
	f.disk.mu.Unlock()
	if held != nil {
		<-held
	}
	if err := f.disk.countOp(); err != nil {
		return err
	}
	return f.File.Sync()
}

// hold holds up the syncs of files until release is called, and restarts the count of syncs.
func (d *testDisk) hold() (release func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held, d.syncs = make(chan struct{}), 0
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		close(d.held)
		d.held = nil
	}
}

// broker is the part of a broker that a store needs: the instances that it knows.
type broker struct {
	mu    sync.Mutex
	known map[string]instances.Instance
	store *Store
}

func newBroker(open func() (journalfile.Disk, error)) *broker {
	b := &broker{known: map[string]instances.Instance{}}
	b.store = New(open, b.all, b.learn)
	return b
}

// onDisk returns a broker that has restored what is on the disk.
func onDisk(t require.TestingT, disk journalfile.Disk) *broker {
	b := newBroker(func() (journalfile.Disk, error) { return disk, nil })
	require.NoError(t, b.store.Open(context.Background()))
	return b
}

func (b *broker) all() (out []instances.Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, i := range b.known {
		out = append(out, i)
	}
	return out
}

// learn records what is newer than what the broker knows.
func (b *broker) learn(all []instances.Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, i := range all {
		if b.known[i.ID].Record().Version.Less(i.Record().Version) {
			b.known[i.ID] = i
		}
	}
}

// append makes the broker learn of instances and append them to its store.
func (b *broker) append(ctx context.Context, added ...instances.Instance) error {
	b.learn(added)
	return b.store.Append(ctx, added)
}

func ended(number int) instances.Instance {
	return instances.Instance{ID: fmt.Sprint("i-", number), State: instances.Gone}
}

// TestAppendsAreWrittenTogether guards against one sync for each of many ends that come at once. While the disk is held up
// by a first one, twenty others arrive; they need one more sync.
func TestAppendsAreWrittenTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk, err := newTestDisk(t.TempDir())
		require.NoError(t, err)
		b := onDisk(t, disk)
		require.NoError(t, b.store.Save(t.Context()))
		release := disk.hold()
		results := make(chan error, 21)
		go func() { results <- b.append(t.Context(), ended(0)) }()
		synctest.Wait()
		for number := 1; number <= 20; number++ {
			go func() { results <- b.append(t.Context(), ended(number)) }()
		}
		synctest.Wait()
		release()
		for range cap(results) {
			assert.NoError(t, <-results)
		}
		assert.Equal(t, 2, disk.syncs)
		assert.Len(t, onDisk(t, disk).known, 21)
	})
}

// TestAppendWhileACheckpointIsWritten guards against a checkpoint that replaces the log although it was made before the
// newest record in it.
func TestAppendWhileACheckpointIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk, err := newTestDisk(t.TempDir())
		require.NoError(t, err)
		b := onDisk(t, disk)
		require.NoError(t, b.store.Save(t.Context()))
		save := func() error { return b.store.Save(t.Context()) }
		for number, calls := range [][]func() error{
			{save, func() error { return b.append(t.Context(), ended(0)) }},
			{func() error { return b.append(t.Context(), ended(1)) }, save},
		} {
			release := disk.hold()
			results := make(chan error, len(calls))
			for _, call := range calls {
				go func() { results <- call() }()
				synctest.Wait()
			}
			release()
			for range calls {
				assert.NoError(t, <-results)
			}
			assert.Len(t, onDisk(t, disk).known, number+1)
		}
	})
}

// TestHangingDisk guards against calls that wait for good: one that writes to a disk that hangs, or waits for it, ends with
// its context. What it was to write is written once the disk answers, or with the next instances.
func TestHangingDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk, err := newTestDisk(t.TempDir())
		require.NoError(t, err)
		b := onDisk(t, disk)
		require.NoError(t, b.store.Save(t.Context()))
		release := disk.hold()
		ctx, cancel := context.WithCancel(t.Context())
		results := make(chan error, 3)
		for number := 1; number <= 2; number++ {
			go func() { results <- b.append(ctx, ended(number)) }()
			synctest.Wait()
		}
		go func() { results <- b.store.Save(ctx) }()
		synctest.Wait()
		cancel()
		for range cap(results) {
			require.ErrorIs(t, <-results, context.Canceled)
		}
		release()
		synctest.Wait()
		assert.Contains(t, onDisk(t, disk).known, "i-1")
		require.NoError(t, b.append(t.Context(), ended(3)))
		assert.Len(t, onDisk(t, disk).known, 3)
	})
}

// TestDiskThatCannotBeOpenedAtFirst guards against a store that stays unusable until the process restarts, and against one
// that overwrites what it could not restore.
func TestDiskThatCannotBeOpenedAtFirst(t *testing.T) {
	disk, err := newTestDisk(t.TempDir())
	require.NoError(t, err)
	require.NoError(t, onDisk(t, disk).append(t.Context(), ended(1)))
	fails := true
	b := newBroker(func() (journalfile.Disk, error) {
		if fails {
			return nil, errNoPower
		}
		return disk, nil
	})
	require.ErrorIs(t, b.store.Open(t.Context()), errNoPower)
	require.ErrorIs(t, b.append(t.Context(), ended(2)), errNoPower)
	fails = false
	require.NoError(t, b.append(t.Context(), ended(3)))
	assert.Len(t, onDisk(t, disk).known, 3)
}

// TestHistories runs random histories of appends, saves and power failures at any write. Whatever was appended without an
// error is restored.
func TestHistories(t *testing.T) {
	path := t.TempDir()
	histories := 0
	rapid.Check(t, func(t *rapid.T) {
		histories++
		disk, err := newTestDisk(fmt.Sprintf("%s/%d", path, histories))
		require.NoError(t, err)
		acknowledged := map[string]bool{}
		for range rapid.IntRange(1, 5).Draw(t, "lives") {
			disk.opsLeft = -1
			b := onDisk(t, disk)
			for id := range acknowledged {
				if b.known[id].State != instances.Gone {
					t.Fatalf("the end of %s is lost", id)
				}
			}
			disk.opsLeft = rapid.IntRange(-1, 30).Draw(t, "writes")
			for range rapid.IntRange(0, 10).Draw(t, "steps") {
				if rapid.IntRange(0, 3).Draw(t, "step") == 0 {
					_ = b.store.Save(context.Background())
					continue
				}
				i := ended(rapid.IntRange(0, 40).Draw(t, "instance"))
				if b.append(context.Background(), i) == nil {
					acknowledged[i.ID] = true
				}
			}
		}
	})
}
