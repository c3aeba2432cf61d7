package journalfile

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func recordTexts(records [][]byte) (all []string) {
	for _, r := range records {
		all = append(all, string(r))
	}
	return all
}

func TestOnRealFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	disk, err := Dir(path)
	require.NoError(t, err)
	l, r, err := Open(disk, 7, 100)
	require.NoError(t, err)
	assert.Empty(t, r.Records)
	for i := range 10 {
		require.NoError(t, l.Append([]byte(fmt.Sprint("a", i)), []byte(fmt.Sprint("b", i))))
	}
	require.NoError(t, l.Close())
	assert.ErrorIs(t, l.Append([]byte("x")), ErrFailed)
	l, r, err = Open(disk, 7, 100)
	require.NoError(t, err)
	assert.Len(t, r.Records, 20)
	assert.Equal(t, "b9", string(r.Records[19]))
	require.NoError(t, l.Snapshot([]byte("state")))
	require.NoError(t, l.Append([]byte("after")))
	l.Close()
	names, err := disk.List()
	require.NoError(t, err)
	assert.LessOrEqual(t, len(names), 3, "the segments that the snapshot covers are not removed: %v", names)
	_, r, err = Open(disk, 7, 100)
	require.NoError(t, err)
	assert.Equal(t, "state", string(r.Snapshot))
	assert.Equal(t, []string{"after"}, recordTexts(r.Records))
	_, _, err = Open(disk, 8, 100)
	assert.ErrorIs(t, err, ErrWrongOwner)
	assert.Error(t, l.Append(make([]byte, MaxRecordSize+1)))
}

// TestEveryByteFlipped flips a bit in every byte in turn. The corruption must be reported, or, in the last record, be cut
// off as a torn tail; wrong data is never returned.
func TestEveryByteFlipped(t *testing.T) {
	path := t.TempDir()
	disk, err := Dir(path)
	require.NoError(t, err)
	l, _, err := Open(disk, 7, 0)
	require.NoError(t, err)
	for i := range 5 {
		require.NoError(t, l.Append([]byte(fmt.Sprint("record ", i))))
	}
	l.Close()
	name := filepath.Join(path, fileName(segmentPrefix, 0))
	good, err := os.ReadFile(name)
	require.NoError(t, err)
	lastAt := len(good) - frameHeaderSize - len("record 0")
	for at := range good {
		bad := append([]byte(nil), good...)
		bad[at] ^= 0x10
		require.NoError(t, os.WriteFile(name, bad, 0o600))
		l, r, err := Open(disk, 7, 0)
		if at < lastAt {
			require.Error(t, err, "byte %d", at)
			assert.True(t, errors.Is(err, ErrCorrupt) || errors.Is(err, ErrWrongOwner), "byte %d: %v", at, err)
			continue
		}
		require.NoError(t, err, "byte %d", at)
		assert.Len(t, r.Records, 4)
		assert.Positive(t, r.TruncatedBytes)
		l.Close()
	}
	// Truncate the file at every length, as a crash may: the records before the cut are recovered.
	for n := range good {
		require.NoError(t, os.WriteFile(name, good[:n], 0o600))
		l, r, err := Open(disk, 7, 0)
		require.NoError(t, err, "%d bytes", n)
		for i, rec := range recordTexts(r.Records) {
			assert.Equal(t, fmt.Sprint("record ", i), rec)
		}
		l.Close()
	}
}

// TestCrashes runs random histories of appends, snapshots, full disks, failed and skipped fsyncs, and kills at any
// operation. Unless an fsync was skipped, all acknowledged records are recovered in order; the recovered records are
// always a prefix of the written ones.
func TestCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newFaultyDisk(rapid.Uint64().Draw(t, "seed"))
		d.shortWrite = rapid.Bool().Draw(t, "short")
		var written []string // records that may be recovered, in order
		acked := 0           // how many of them must be recovered
		for range rapid.IntRange(1, 6).Draw(t, "lives") {
			l, r, err := Open(d, 3, int64(rapid.IntRange(60, 400).Draw(t, "segment")))
			if err != nil {
				if d.syncSkipped && errors.Is(err, ErrCorrupt) {
					return // the loss is reported
				}
				t.Fatalf("opening: %v", err)
			}
			var recovered []string
			if r.Snapshot != nil {
				var n int
				fmt.Sscan(string(r.Snapshot), &n)
				recovered = append(recovered, written[:n]...)
			}
			recovered = append(recovered, recordTexts(r.Records)...)
			if len(recovered) > len(written) {
				t.Fatalf("recovered %d records, but only %d were written", len(recovered), len(written))
			}
			for i := range recovered {
				if recovered[i] != written[i] {
					t.Fatalf("record %d is %q, not %q", i, recovered[i], written[i])
				}
			}
			if len(recovered) < acked && !d.syncSkipped {
				t.Fatalf("recovered %d records, but %d were acknowledged", len(recovered), acked)
			}
			if uint64(len(recovered)) != r.Next {
				t.Fatalf("recovered %d records, but the next sequence is %d", len(recovered), r.Next)
			}
			written = written[:len(recovered)]
			acked = len(recovered)
			if rapid.Bool().Draw(t, "kill") {
				d.killAt = d.ops + rapid.IntRange(1, 30).Draw(t, "at")
			}
			for range rapid.IntRange(0, 12).Draw(t, "steps") {
				switch rapid.SampledFrom([]string{"append", "append", "append", "snapshot", "full", "no sync", "lie", "well"}).Draw(t, "step") {
				case "append":
					var batch [][]byte
					for range rapid.IntRange(1, 3).Draw(t, "records") {
						batch = append(batch, []byte(fmt.Sprintf("%d-%s", len(written)+len(batch), rapid.StringN(0, 40, 80).Draw(t, "text"))))
					}
					err := l.Append(batch...)
					if err == nil || l.failed == nil || errors.Is(err, ErrFailed) && acked == len(written) {
						if err == nil || acked == len(written) {
							written = append(written, recordTexts(batch)...) // despite the error they may be on the disk
						}
					}
					if err == nil {
						acked = len(written)
					}
				case "snapshot":
					if l.failed == nil {
						l.Snapshot([]byte(fmt.Sprint(l.Next())))
					}
				case "full":
					d.full = true
				case "no sync":
					d.failSync = true
				case "lie":
					d.skipSync = true
				case "well":
					d.full, d.failSync, d.skipSync = false, false, false
				}
			}
			d.crash()
		}
	})
}
