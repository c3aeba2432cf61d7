// Package slots stores a small state durably: checkpoints are written to two slots in turn, with a short log of records
// after the latest checkpoint. Data for which Append or Checkpoint returned no error survives a power failure; data for
// which they returned an error survives completely or not at all. All I/O goes through a journalfile.Disk.
//
// A power failure leaves at most a torn record at the end of the log, and a torn slot or log of a checkpoint that was not
// complete. Any other unreadable data means that acknowledged data may be missing: Open then returns ErrDamaged and no
// contents. So that a lost or shortened log is not taken for what a power failure leaves, a log has its full length from the
// start, zeros and a footer, and gets its name once its slot is durable. What is not noticed is a log whose records read as
// zeros from the start of one on.
//
// Logs of earlier releases have no footer, and their slots no trailer. They are read as before, and the first checkpoint
// replaces them. Earlier releases ignore footer and trailer, so each release continues from what another has written.
package slots

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"gullstair/internal/journalfile"
)

const (
	logLimit       = 256 << 10 // bytes of records in a log
	headerSize     = 8         // of a record: its length and checksum
	generationSize = 8         // the generation at the start of a slot
	maxRecordSize  = 32 << 20
	logPrefix      = "log-"
	newLogSuffix   = ".new"       // of a log whose slot may not be durable yet
	slotTrailer    = "log footer" // behind the record of a slot whose log has a footer; not a record
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrEmpty means that the disk holds no state.
var ErrEmpty = errors.New("no state on the disk")

// ErrDamaged means that the disk held a state of which acknowledged data may be missing.
var ErrDamaged = errors.New("the state on the disk is damaged")

// ErrTooLarge means that a state exceeds what a slot can hold.
var ErrTooLarge = errors.New("the state is too large for the disk")

// Store is one state on one disk. It is not safe for concurrent use.
type Store struct {
	disk        journalfile.Disk
	generation  uint64
	log         journalfile.File
	logSize     int64
	logUnusable bool // the end of the log is uncertain: only a checkpoint may follow
}

// Contents is what a disk holds: the state in the newest slot and the records appended after it.
type Contents struct {
	State   []byte
	Records [][]byte
}

// Open reads the state on a disk. It returns ErrEmpty if there is none and ErrDamaged if it must not be relied on. After
// either error the store can be used, and its first write must be a Checkpoint.
func Open(disk journalfile.Disk) (*Store, Contents, error) {
	s := &Store{disk: disk, logUnusable: true}
	names, err := disk.List()
	if err != nil {
		return nil, Contents{}, errors.Wrap(err, "list the disk")
	}
	newest, found := slot{}, false
	for number := range uint64(2) {
		if read, ok := s.readSlot(names, slotName(number)); ok && (!found || read.generation > newest.generation) {
			newest, found = read, true
		}
	}
	s.generation = newest.generation
	if latest := newestLogGeneration(names); latest > s.generation {
		s.generation = latest // a log gets its name only after its slot is durable
		return s, Contents{}, ErrDamaged
	}
	if !found {
		return s, Contents{}, ErrEmpty
	}
	contents := Contents{State: newest.state}
	contents.Records, err = s.readRecords(names, newest)
	if err != nil {
		return s, Contents{}, err
	}
	return s, contents, nil
}

// newestLogGeneration returns the highest generation in the name of a log; 0: there is no log.
func newestLogGeneration(names []string) (newest uint64) {
	for _, name := range names {
		generation, err := strconv.ParseUint(strings.TrimPrefix(name, logPrefix), 16, 64)
		if err == nil && strings.HasPrefix(name, logPrefix) {
			newest = max(newest, generation)
		}
	}
	return newest
}

// readRecords returns the records that were appended after a checkpoint.
func (s *Store) readRecords(names []string, after slot) ([][]byte, error) {
	name := logName(after.generation)
	if !slices.Contains(names, name) {
		incomplete := !after.footer || slices.Contains(names, name+newLogSuffix)
		if incomplete {
			return nil, nil
		}
		return nil, errors.Wrap(ErrDamaged, "the log is missing")
	}
	text, err := s.disk.Read(name)
	if err != nil {
		return nil, errors.CombineErrors(ErrDamaged, err)
	}
	if after.footer {
		body, whole := bytes.CutSuffix(bytes.TrimRight(text, "\x00"), logFooter(after.generation))
		if !whole || len(body) != logLimit {
			return nil, errors.Wrap(ErrDamaged, "the log is cut, or has no footer")
		}
		text = body
	}
	records, rest := parseRecords(text)
	if containsRecord(rest) {
		return nil, errors.Wrap(ErrDamaged, "the log has a gap")
	}
	return records, nil
}

func slotName(generation uint64) string { return fmt.Sprintf("slot-%d", generation%2) }

func logName(generation uint64) string { return fmt.Sprintf("%s%016x", logPrefix, generation) }

// logFooter returns the end of a log. No part of it can be read as a record: as a length it exceeds the limit.
func logFooter(generation uint64) []byte { return fmt.Appendf(nil, "end of log %016x", generation) }

// slot is the contents of a slot.
type slot struct {
	generation uint64
	state      []byte
	footer     bool // its log has a footer; earlier releases write none
}

func (s *Store) readSlot(names []string, name string) (read slot, ok bool) {
	if !slices.Contains(names, name) {
		return slot{}, false
	}
	text, err := s.disk.Read(name)
	if err != nil {
		return slot{}, false
	}
	records, rest := parseRecords(text)
	if len(records) != 1 || len(records[0]) < generationSize {
		return slot{}, false
	}
	read.generation, read.state = binary.LittleEndian.Uint64(records[0]), records[0][generationSize:]
	read.footer = string(rest) == slotTrailer
	return read, true
}

// parseRecords splits a file into its records, up to the first incomplete or corrupt one. rest starts with that one.
func parseRecords(text []byte) (out [][]byte, rest []byte) {
	for {
		body, valid := parseRecord(text)
		if !valid {
			return out, text
		}
		out = append(out, body)
		text = text[headerSize+len(body):]
	}
}

// parseRecord reads the record at the start of text. Empty records are invalid: a part of a file that was never written
// reads as zeros.
func parseRecord(text []byte) (body []byte, valid bool) {
	if len(text) < headerSize {
		return nil, false
	}
	length := binary.LittleEndian.Uint32(text)
	if length == 0 || length > maxRecordSize || int(length) > len(text)-headerSize {
		return nil, false
	}
	body = text[headerSize : headerSize+int(length)]
	return body, crc32.Checksum(body, castagnoli) == binary.LittleEndian.Uint32(text[4:])
}

// containsRecord reports whether there is a valid record anywhere after the start of text. Records are written one at a
// time, so no valid record follows a torn one.
func containsRecord(text []byte) bool {
	filled := len(bytes.TrimRight(text, "\x00")) // no record starts in the zeros behind the last one
	for at := 1; at < filled; at++ {
		if _, valid := parseRecord(text[at:]); valid {
			return true
		}
	}
	return false
}

func encodeRecord(body []byte) []byte {
	out := make([]byte, headerSize, headerSize+len(body))
	binary.LittleEndian.PutUint32(out, uint32(len(body)))
	binary.LittleEndian.PutUint32(out[4:], crc32.Checksum(body, castagnoli))
	return append(out, body...)
}

// Fits reports whether a record of this many bytes can be appended. Otherwise the next write must be a Checkpoint.
func (s *Store) Fits(size int) bool {
	return !s.logUnusable && s.log != nil && s.logSize+int64(headerSize+size) <= logLimit
}

// Append durably appends a record to the log.
func (s *Store) Append(record []byte) error {
	if !s.Fits(len(record)) {
		return errors.New("the log is full or its end is uncertain; a checkpoint is needed first")
	}
	s.logUnusable = true
	text := encodeRecord(record)
	if _, err := s.log.Write(text); err != nil {
		return errors.Wrap(err, "append")
	}
	if err := s.log.Sync(); err != nil {
		return errors.Wrap(err, "sync the log")
	}
	s.logSize += int64(len(text))
	s.logUnusable = false
	return nil
}

// Checkpoint writes a complete state to the slot that does not hold the current one, and starts a new log. It returns
// ErrTooLarge, and changes nothing, if the state could not be read again.
func (s *Store) Checkpoint(state []byte) error {
	if generationSize+len(state) > maxRecordSize {
		return errors.Wrapf(ErrTooLarge, "%d bytes, of %d", len(state), maxRecordSize-generationSize)
	}
	old, next := s.generation, s.generation+1
	s.closeLog()
	if err := s.createLog(next); err != nil {
		return err
	}
	if err := s.writeSlot(next, state); err != nil {
		return err
	}
	s.generation = next
	if err := s.disk.Rename(logName(next)+newLogSuffix, logName(next)); err != nil {
		return errors.Wrap(err, "rename the log")
	}
	if err := s.disk.Sync(); err != nil {
		return errors.Wrap(err, "sync the directory")
	}
	s.logUnusable = false
	_ = s.disk.Remove(logName(old)) // best effort: a log that stays is not read again
	_ = s.disk.Remove(logName(old) + newLogSuffix)
	return nil
}

func (s *Store) closeLog() {
	s.logUnusable = true
	if s.log != nil {
		s.log.Close()
		s.log = nil
	}
}

// createLog creates a log that does not have its final name yet.
func (s *Store) createLog(generation uint64) error {
	name := logName(generation) + newLogSuffix
	if err := s.disk.Remove(name); err != nil { // of a checkpoint that was not complete
		return errors.Wrap(err, "remove an incomplete log")
	}
	log, err := s.disk.Reserve(name, logLimit, logFooter(generation))
	if err != nil {
		return errors.Wrap(err, "create the log")
	}
	s.log, s.logSize = log, 0
	return errors.Wrap(log.Sync(), "sync the new log")
}

// writeSlot writes a slot. Its name and that of the new log are durable before it has contents.
func (s *Store) writeSlot(generation uint64, state []byte) error {
	name := slotName(generation)
	if err := s.disk.Remove(name); err != nil {
		return errors.Wrap(err, "remove the old slot")
	}
	file, err := s.disk.Create(name)
	if err != nil {
		return errors.Wrap(err, "create the slot")
	}
	defer file.Close()
	if err := s.disk.Sync(); err != nil {
		return errors.Wrap(err, "sync the directory")
	}
	text := append(encodeRecord(append(encodeGeneration(generation), state...)), slotTrailer...)
	if _, err := file.Write(text); err != nil {
		return errors.Wrap(err, "write the slot")
	}
	return errors.Wrap(file.Sync(), "sync the slot")
}

func encodeGeneration(generation uint64) []byte {
	return binary.LittleEndian.AppendUint64(nil, generation)
}
