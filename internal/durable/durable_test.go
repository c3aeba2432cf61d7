package durable

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/internal/lease"
)

func vote(epoch uint64) lease.Record {
	return lease.Record{Lease: "x", Holder: "a", Epoch: epoch, Boot: 3, Term: 1000, Data: []byte("n")}
}

// usedDir returns a directory that a process has used and closed.
func usedDir(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "votes")
	d, f, err := Open[lease.Record](path, Votes)
	require.NoError(t, err)
	assert.False(t, f.Complete)
	assert.Equal(t, "it is empty", f.Why)
	require.NoError(t, d.Store([]lease.Record{vote(1), vote(2)}))
	require.NoError(t, d.Trust())
	d.Close()
	return path
}

func segment(t *testing.T, path string) string {
	names, err := filepath.Glob(filepath.Join(path, "log-*"))
	require.NoError(t, err)
	require.Len(t, names, 1)
	return names[0]
}

func TestRecordsAreKept(t *testing.T) {
	path := usedDir(t)
	d, f, err := Open[lease.Record](path, Votes)
	require.NoError(t, err)
	assert.True(t, f.Complete, f.Why)
	assert.Equal(t, []lease.Record{vote(1), vote(2)}, f.Records)
	_, _, err = Open[lease.Record](path, Votes)
	assert.ErrorContains(t, err, "another process uses this directory")
	// A snapshot replaces all earlier records.
	require.NoError(t, d.Snapshot([]lease.Record{{Epoch: 9}, vote(7)}))
	require.NoError(t, d.Store([]lease.Record{vote(8)}))
	d.Close()
	d, f, err = Open[lease.Record](path, Votes)
	require.NoError(t, err)
	defer d.Close()
	assert.True(t, f.Complete, f.Why)
	assert.Equal(t, []lease.Record{{Epoch: 9}, vote(7), vote(8)}, f.Records)
}

// A directory with missing records is not reported as complete, and one that cannot be read or written does not
// open.
func TestIncompleteOrUnreadable(t *testing.T) {
	copyDir := func(t *testing.T, from, to string) {
		out, err := exec.Command("cp", "-a", from, to).CombinedOutput()
		require.NoError(t, err, string(out))
	}
	for name, c := range map[string]struct {
		do   func(t *testing.T, path string) string
		why  string
		fail string
	}{
		"an older copy restored": {func(t *testing.T, path string) string {
			old := path + ".old"
			copyDir(t, path, old)
			d, _, err := Open[lease.Record](path, Votes)
			require.NoError(t, err)
			require.NoError(t, d.Store([]lease.Record{vote(3)}))
			d.Close()
			require.NoError(t, os.RemoveAll(path))
			copyDir(t, old, path)
			return path
		}, "it is a copy", ""},
		"its place file lost": {func(t *testing.T, path string) string {
			require.NoError(t, os.Remove(filepath.Join(path, placeName)))
			return path
		}, "it is a copy", ""},
		"a torn tail": {func(t *testing.T, path string) string {
			name := segment(t, path)
			info, err := os.Stat(name)
			require.NoError(t, err)
			require.NoError(t, os.Truncate(name, info.Size()-3))
			return path
		}, "bytes of a torn tail were cut", ""},
		"a corrupt record": {func(t *testing.T, path string) string {
			name := segment(t, path)
			text, err := os.ReadFile(name)
			require.NoError(t, err)
			text[60] ^= 1
			require.NoError(t, os.WriteFile(name, text, 0o600))
			return path
		}, "", "the log is corrupt"},
		"another kind": {func(t *testing.T, path string) string {
			name := segment(t, path)
			text, err := os.ReadFile(name)
			require.NoError(t, err)
			text[9]++
			require.NoError(t, os.WriteFile(name, text, 0o600))
			return path
		}, "", "head"},
		"a file in its place": {func(t *testing.T, path string) string { return segment(t, path) }, "", "not a directory"},
	} {
		t.Run(name, func(t *testing.T) {
			d, f, err := Open[lease.Record](c.do(t, usedDir(t)), Votes)
			if c.fail != "" {
				assert.ErrorContains(t, err, c.fail)
				return
			}
			require.NoError(t, err)
			defer d.Close()
			assert.False(t, f.Complete)
			assert.Contains(t, f.Why, c.why)
		})
	}
}

// A process that finds records missing and ends before its grace period is over leaves the directory incomplete
// for the next one, whatever it stored.
func TestIncompletenessSurvivesAProcess(t *testing.T) {
	for name, store := range map[string]func(d *Dir[lease.Record]) error{
		"nothing stored": func(*Dir[lease.Record]) error { return nil },
		"a vote":         func(d *Dir[lease.Record]) error { return d.Store([]lease.Record{vote(3)}) },
		"a snapshot":     func(d *Dir[lease.Record]) error { return d.Snapshot([]lease.Record{vote(3)}) },
	} {
		path := filepath.Join(t.TempDir(), "votes")
		for range 3 {
			d, f, err := Open[lease.Record](path, Votes)
			require.NoError(t, err)
			assert.False(t, f.Complete, name)
			assert.Contains(t, f.Why, "it is empty", name)
			require.NoError(t, store(d))
			d.Close()
		}
		d, _, err := Open[lease.Record](path, Votes)
		require.NoError(t, err)
		require.NoError(t, d.Trust())
		d.Close()
		d, f, err := Open[lease.Record](path, Votes)
		require.NoError(t, err)
		d.Close()
		assert.True(t, f.Complete, "%s: %s", name, f.Why)
		_, _, err = Open[lease.Record](path, Loans)
		assert.Error(t, err, "records of another kind")
	}
}

// A directory that is removed under a process accepts no more votes: they would be sent without being stored.
func TestDirectoryRemoved(t *testing.T) {
	path := usedDir(t)
	d, _, err := Open[lease.Record](path, Votes)
	require.NoError(t, err)
	defer d.Close()
	require.NoError(t, os.RemoveAll(path))
	assert.Error(t, d.Store([]lease.Record{vote(3)}))
}

// A change in place that keeps the inode numbers shows in the change time that the kernel sets.
func TestChangedInPlace(t *testing.T) {
	path := usedDir(t)
	d := &Dir[lease.Record]{path: path}
	at, any := d.lastChange()
	assert.True(t, any)
	assert.Positive(t, at)
}

// BenchmarkStore measures the cost of a vote with its fsync, alone and in batches.
func BenchmarkStore(b *testing.B) {
	for _, n := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(n, " at once"), func(b *testing.B) {
			d, _, err := Open[lease.Record](filepath.Join(b.TempDir(), "votes"), Votes)
			require.NoError(b, err)
			defer d.Close()
			all := make([]lease.Record, n)
			for i := range all {
				all[i] = vote(uint64(i))
			}
			for b.Loop() {
				require.NoError(b, d.Store(all))
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*n), "µs/vote")
		})
	}
}
