// Package journalfile provides a durable, segmented log of records in a directory. Records are appended, synced, and read
// back after a crash. All acknowledged records are recovered in order; a torn tail is truncated; corruption before the
// tail is reported as an error with its location and never skipped silently. A snapshot replaces the records before it.
// All I/O goes through a Disk; Dir provides one on the file system.
//
// The files are segments, log-SEQUENCE, each a header and framed records, and snapshots, snap-SEQUENCE. Integers are
// little-endian. A header is the magic string, the owner's number, the sequence of the first record and a checksum. A
// frame is the record's length, its sequence, its index within its Append, a CRC-32C over these fields and the record,
// and the record.
package journalfile

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"strconv"
	"strings"
)

const (
	magic             = "GSLOG\x00\x00\x01" // the last byte is the version
	segmentHeaderSize = 8 + 8 + 8 + 4
	frameHeaderSize   = 4 + 8 + 4 + 4
	// MaxRecordSize is the size of the largest record, in bytes.
	MaxRecordSize      = 16 << 20
	defaultSegmentSize = 8 << 20
	segmentPrefix      = "log-"
	snapshotPrefix     = "snap-"
	temporarySuffix    = ".new"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	// ErrFailed means that a write or an fsync failed. The log accepts no more records; only reopening it shows which
	// records it holds.
	ErrFailed = errors.New("the log failed and accepts no more records until it is reopened")
	// ErrWrongOwner means that the directory belongs to another owner or has another format version.
	ErrWrongOwner = errors.New("the log belongs to another owner or has another version")
	// ErrCorrupt means that the files are not what was written, and that a torn tail does not explain it.
	ErrCorrupt = errors.New("the log is corrupt")
)

// CorruptError is an ErrCorrupt with the location of the corruption.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%v: %s at byte %d: %s", ErrCorrupt, e.File, e.Offset, e.Reason)
}

// Unwrap returns ErrCorrupt.
func (e *CorruptError) Unwrap() error { return ErrCorrupt }

// Recovered is what Open found in the directory.
type Recovered struct {
	Snapshot       []byte   // nil: there is no snapshot
	Records        [][]byte // the records after the snapshot, in order
	TruncatedBytes int64    // length of the torn tail that was cut off
	Next           uint64   // the sequence of the next record
}

// Log is an open log. It is not safe for concurrent use, and only one process may use its directory.
type Log struct {
	disk        Disk
	owner       uint64
	segmentSize int64 // bytes after which a new segment is started

	file             File
	name             string
	size             int64
	next             uint64
	snapshotSequence uint64 // sequence of the first record that the snapshot does not cover
	failed           error
	buf              []byte
}

// Open opens an owner's log in a directory, or creates it. A new segment is started once the current one has the given
// size in bytes; 0 means 8 MB.
func Open(disk Disk, owner uint64, segmentSize int64) (*Log, *Recovered, error) {
	if segmentSize <= 0 {
		segmentSize = defaultSegmentSize
	}
	l := &Log{disk: disk, owner: owner, segmentSize: segmentSize}
	names, err := disk.List()
	if err != nil {
		return nil, nil, fmt.Errorf("log: %w", err)
	}
	r := &Recovered{}
	var segments, snapshots []uint64
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) { // an incomplete snapshot
			if err := disk.Remove(name); err != nil {
				return nil, nil, fmt.Errorf("log: %w", err)
			}
		} else if at, ok := parseSequence(name, segmentPrefix); ok {
			segments = append(segments, at)
		} else if at, ok := parseSequence(name, snapshotPrefix); ok {
			snapshots = append(snapshots, at)
		}
	}
	if len(snapshots) > 0 { // List sorts the names, so the last snapshot is the newest
		l.snapshotSequence = snapshots[len(snapshots)-1]
		if r.Snapshot, err = l.readSnapshot(fileName(snapshotPrefix, l.snapshotSequence), l.snapshotSequence); err != nil {
			return nil, nil, err
		}
	}
	if err := l.replay(segments, r); err != nil {
		return nil, nil, err
	}
	r.Next = l.next
	// Remove what the snapshot covers; a crash may have prevented its removal when the snapshot was written.
	for i, at := range segments {
		if i+1 < len(segments) && segments[i+1] <= l.snapshotSequence {
			disk.Remove(fileName(segmentPrefix, at))
		}
	}
	for _, at := range snapshots {
		if at < l.snapshotSequence {
			disk.Remove(fileName(snapshotPrefix, at))
		}
	}
	return l, r, nil
}

// replay reads the segments that the snapshot does not cover completely, and opens the last one for appending.
func (l *Log) replay(segments []uint64, r *Recovered) error {
	l.next = l.snapshotSequence
	for i, first := range segments {
		last := i == len(segments)-1
		if !last && segments[i+1] <= l.snapshotSequence {
			continue
		}
		name := fileName(segmentPrefix, first)
		data, err := l.disk.Read(name)
		if err != nil {
			return fmt.Errorf("log: %w", err)
		}
		err = l.checkHeader(name, data, first)
		if err != nil && last && !errors.Is(err, ErrWrongOwner) && !laterFrameExists(data, 0) {
			// The header never reached the disk. It is synced before any record is written, so the segment has no
			// acknowledged records.
			r.TruncatedBytes += int64(len(data))
			if err := l.disk.Remove(name); err != nil {
				return fmt.Errorf("log: %w", err)
			}
			return nil
		}
		if err != nil {
			return err
		}
		if first > l.next {
			return &CorruptError{name, 0, fmt.Sprintf("records %d to %d are missing before it", l.next, first-1)}
		}
		end, seq, err := l.readSegment(name, data, first, last, r)
		if err != nil {
			return err
		}
		if last && seq < l.next {
			r.TruncatedBytes += int64(len(data)) - end
			return nil // the segment lost records that the snapshot covers: the next record starts a new segment
		}
		if last {
			r.TruncatedBytes += int64(len(data)) - end
			if l.file, err = l.disk.Append(name, end); err != nil {
				return fmt.Errorf("log: %w", err)
			}
			if int64(len(data)) != end {
				if err := l.file.Sync(); err != nil { // the truncation must be durable before anything is appended
					return fmt.Errorf("log: %w", err)
				}
			}
			l.name, l.size = name, end
		}
	}
	return nil
}

// readSegment reads the frames of a segment. It returns the offset after the last valid frame and the sequence that would
// follow. A torn tail is accepted only in the last segment.
func (l *Log) readSegment(name string, data []byte, first uint64, last bool, r *Recovered) (end int64, seq uint64, err error) {
	at, seq := int64(segmentHeaderSize), first
	for at < int64(len(data)) {
		record, size, why := parseFrame(data[at:], seq)
		if why != "" {
			if last && !laterFrameExists(data[at:], seq+1) {
				return at, seq, nil
			}
			return 0, 0, &CorruptError{name, at, why}
		}
		if seq >= l.next {
			r.Records = append(r.Records, append([]byte(nil), record...))
			l.next = seq + 1
		}
		at, seq = at+size, seq+1
	}
	return at, seq, nil
}

// parseFrame reads one frame; why describes what is wrong with it, if anything.
func parseFrame(data []byte, seq uint64) (record []byte, size int64, why string) {
	if len(data) < frameHeaderSize {
		return nil, 0, "the file ends within a frame header"
	}
	n := int64(binary.LittleEndian.Uint32(data))
	if n > MaxRecordSize {
		return nil, 0, fmt.Sprintf("record length %d exceeds the limit", n)
	}
	if int64(len(data)) < frameHeaderSize+n {
		return nil, 0, "the file ends within a record"
	}
	record = data[frameHeaderSize : frameHeaderSize+n]
	sum := crc32.Update(crc32.Checksum(data[:16], castagnoli), castagnoli, record)
	if sum != binary.LittleEndian.Uint32(data[16:]) {
		return nil, 0, "record checksum mismatch"
	}
	if got := binary.LittleEndian.Uint64(data[4:]); got != seq {
		return nil, 0, fmt.Sprintf("record sequence %d, want %d", got, seq)
	}
	return record, frameHeaderSize + n, ""
}

// laterFrameExists reports whether a valid frame of a later Append, one that started at the given sequence or after it,
// exists anywhere after an invalid frame. The invalid frame is then no torn tail, since it was synced before the later
// one was written. Frames of a single Append may reach the disk in any order.
func laterFrameExists(data []byte, seq uint64) bool {
	for at := 1; at+frameHeaderSize <= len(data); at++ {
		got := binary.LittleEndian.Uint64(data[at+4:])
		if got < seq || got > seq+math.MaxUint32 {
			continue
		}
		if _, _, why := parseFrame(data[at:], got); why == "" && got-uint64(binary.LittleEndian.Uint32(data[at+12:])) >= seq {
			return true
		}
	}
	return false
}

func (l *Log) checkHeader(name string, data []byte, first uint64) error {
	if len(data) < segmentHeaderSize {
		return &CorruptError{name, 0, "the file ends within its header"}
	}
	if string(data[:8]) != magic || binary.LittleEndian.Uint64(data[8:]) != l.owner {
		if crc32.Checksum(data[:24], castagnoli) == binary.LittleEndian.Uint32(data[24:]) {
			return fmt.Errorf("%w: %s", ErrWrongOwner, name)
		}
		return &CorruptError{name, 0, "unreadable header"}
	}
	if crc32.Checksum(data[:24], castagnoli) != binary.LittleEndian.Uint32(data[24:]) || binary.LittleEndian.Uint64(data[16:]) != first {
		return &CorruptError{name, 0, "header checksum or sequence mismatch"}
	}
	return nil
}

func encodeHeader(owner, first uint64) []byte {
	b := append(make([]byte, 0, segmentHeaderSize), magic...)
	b = binary.LittleEndian.AppendUint64(b, owner)
	b = binary.LittleEndian.AppendUint64(b, first)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func fileName(prefix string, seq uint64) string { return fmt.Sprintf("%s%020d", prefix, seq) }

func parseSequence(name, prefix string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok || len(digits) != 20 {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, err == nil
}

// fail makes the log reject further writes. Data of the failed write may have reached the disk; only reopening the log
// tells.
func (l *Log) fail(err error) error {
	l.failed = fmt.Errorf("%w: %w", ErrFailed, err)
	return l.failed
}

// Append writes records and makes them durable with one fsync. After a failed write or fsync, none, some or all of them
// may be on the disk, and the log rejects further writes.
func (l *Log) Append(records ...[]byte) error {
	if l.failed != nil {
		return l.failed
	}
	for _, r := range records {
		if len(r) > MaxRecordSize {
			return fmt.Errorf("log: record of %d bytes exceeds the limit of %d", len(r), MaxRecordSize)
		}
	}
	if l.file == nil || l.size >= l.segmentSize {
		if err := l.startSegment(); err != nil {
			return l.fail(err)
		}
	}
	l.buf = l.buf[:0]
	for i, r := range records {
		at := len(l.buf)
		l.buf = binary.LittleEndian.AppendUint32(l.buf, uint32(len(r)))
		l.buf = binary.LittleEndian.AppendUint64(l.buf, l.next+uint64(i))
		l.buf = binary.LittleEndian.AppendUint32(l.buf, uint32(i))
		sum := crc32.Update(crc32.Checksum(l.buf[at:at+16], castagnoli), castagnoli, r)
		l.buf = append(binary.LittleEndian.AppendUint32(l.buf, sum), r...)
	}
	if n, err := l.file.Write(l.buf); err != nil {
		return l.fail(err)
	} else if n < len(l.buf) {
		return l.fail(fmt.Errorf("%d of %d bytes were written", n, len(l.buf)))
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(err)
	}
	l.size += int64(len(l.buf))
	l.next += uint64(len(records))
	if cap(l.buf) > 1<<20 {
		l.buf = nil
	}
	return nil
}

// startSegment creates a new segment; the previous one has been synced.
func (l *Log) startSegment() error {
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return err
		}
		l.file = nil
	}
	name := fileName(segmentPrefix, l.next)
	f, err := l.disk.Create(name)
	if err != nil {
		return err
	}
	l.file, l.name = f, name
	head := encodeHeader(l.owner, l.next)
	if n, err := f.Write(head); err != nil {
		return err
	} else if n < len(head) {
		return fmt.Errorf("%d of %d bytes were written", n, len(head))
	}
	if err := f.Sync(); err != nil {
		return err
	}
	if err := l.disk.Sync(); err != nil {
		return err
	}
	l.size = segmentHeaderSize
	return nil
}

// Next returns the sequence of the next record.
func (l *Log) Next() uint64 { return l.next }

// Snapshot replaces all records so far by a state. If it fails, the records stay.
func (l *Log) Snapshot(state []byte) error {
	if l.failed != nil {
		return l.failed
	}
	if len(state) > math.MaxUint32 {
		return fmt.Errorf("log: snapshot of %d bytes is too large", len(state))
	}
	name := fileName(snapshotPrefix, l.next)
	body := append(encodeHeader(l.owner, l.next), state...)
	body = binary.LittleEndian.AppendUint32(body, crc32.Checksum(body, castagnoli))
	l.disk.Remove(name + temporarySuffix)
	f, err := l.disk.Create(name + temporarySuffix)
	if err != nil {
		return fmt.Errorf("log: snapshot: %w", err) // the log is unchanged
	}
	n, err := f.Write(body)
	if err == nil && n < len(body) {
		err = fmt.Errorf("%d of %d bytes were written", n, len(body))
	}
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = l.disk.Rename(name+temporarySuffix, name)
	}
	if err == nil {
		err = l.disk.Sync()
	}
	if err != nil {
		l.disk.Remove(name + temporarySuffix)
		return fmt.Errorf("log: snapshot: %w", err)
	}
	old := l.snapshotSequence
	l.snapshotSequence = l.next
	// The snapshot is durable now. If removing the old files fails, the next Open removes them.
	names, err := l.disk.List()
	if err != nil {
		return nil
	}
	for _, name := range names {
		if at, ok := parseSequence(name, segmentPrefix); ok && name != l.name && at < l.snapshotSequence {
			l.disk.Remove(name)
		}
		if at, ok := parseSequence(name, snapshotPrefix); ok && at <= old && at < l.snapshotSequence {
			l.disk.Remove(name)
		}
	}
	return nil
}

func (l *Log) readSnapshot(name string, at uint64) ([]byte, error) {
	data, err := l.disk.Read(name)
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	if len(data) < segmentHeaderSize+4 {
		return nil, &CorruptError{name, 0, "the snapshot is too short"}
	}
	body := data[:len(data)-4]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(data[len(body):]) {
		return nil, &CorruptError{name, 0, "snapshot checksum mismatch"}
	}
	if err := l.checkHeader(name, data, at); err != nil {
		return nil, err
	}
	return append([]byte{}, body[segmentHeaderSize:]...), nil
}

// Close closes the log. All acknowledged records are durable already.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	f := l.file
	l.file, l.failed = nil, ErrFailed
	return f.Close()
}
