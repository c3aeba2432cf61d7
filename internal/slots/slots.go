// Package slots stores a small state durably: checkpoints are written to two slots in turn, with a short log of records
// after the latest checkpoint. Data for which Append or Checkpoint returned no error survives a power failure; data for
// which they returned an error survives completely or not at all. All I/O goes through a journalfile.Disk.
//
// A power failure leaves at most a torn record at the end of the log and a torn slot beside the current one. Any other
// unreadable data means that acknowledged data may be missing: Open then returns ErrDamaged and no contents.
package slots

import (
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
	logLimit       = 256 << 10 // bytes; a longer log calls for a checkpoint
	headerSize     = 8         // of a record: its length and checksum
	generationSize = 8         // the generation at the start of a slot
	maxRecordSize  = 32 << 20
	logPrefix      = "log-"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrEmpty means that the disk holds no state.
var ErrEmpty = errors.New("no state on the disk")

// ErrDamaged means that the disk held a state of which acknowledged data may be missing.
var ErrDamaged = errors.New("the state on the disk is damaged")

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
	contents, found := Contents{}, false
	for slot := range 2 {
		generation, state, ok := s.readSlot(names, slotName(uint64(slot)))
		if ok && (!found || generation > s.generation) {
			s.generation, contents.State, found = generation, state, true
		}
	}
	if newest := newestLogGeneration(names); newest > s.generation {
		s.generation = newest // a log is created only after its slot is durable
		return s, Contents{}, ErrDamaged
	}
	if !found {
		return s, Contents{}, ErrEmpty
	}
	if name := logName(s.generation); slices.Contains(names, name) {
		text, err := disk.Read(name)
		if err != nil {
			return s, Contents{}, errors.CombineErrors(ErrDamaged, err)
		}
		rest := []byte(nil)
		if contents.Records, rest = parseRecords(text); containsRecord(rest) {
			return s, Contents{}, ErrDamaged
		}
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

func slotName(generation uint64) string { return fmt.Sprintf("slot-%d", generation%2) }
func logName(generation uint64) string  { return fmt.Sprintf("%s%016x", logPrefix, generation) }

func (s *Store) readSlot(names []string, name string) (uint64, []byte, bool) {
	if !slices.Contains(names, name) {
		return 0, nil, false
	}
	text, err := s.disk.Read(name)
	if err != nil {
		return 0, nil, false
	}
	all, _ := parseRecords(text)
	if len(all) != 1 || len(all[0]) < generationSize {
		return 0, nil, false
	}
	return binary.LittleEndian.Uint64(all[0]), all[0][generationSize:], true
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
	for at := 1; at < len(text); at++ {
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

// NeedsCheckpoint reports whether the next write should be a Checkpoint.
func (s *Store) NeedsCheckpoint() bool { return s.logUnusable || s.log == nil || s.logSize > logLimit }

// Append durably appends a record to the log.
func (s *Store) Append(record []byte) error {
	if s.logUnusable || s.log == nil {
		return errors.New("the end of the log is uncertain; a checkpoint is needed first")
	}
	text := encodeRecord(record)
	if _, err := s.log.Write(text); err != nil {
		s.logUnusable = true
		return errors.Wrap(err, "append")
	}
	if err := s.log.Sync(); err != nil {
		s.logUnusable = true
		return errors.Wrap(err, "sync the log")
	}
	s.logSize += int64(len(text))
	return nil
}

// Checkpoint writes a complete state to the slot that does not hold the current one, and starts a new log.
func (s *Store) Checkpoint(state []byte) error {
	next := s.generation + 1
	s.logUnusable = true
	if err := s.writeSlot(next, state); err != nil {
		return err
	}
	old := s.generation
	s.generation = next
	if s.log != nil {
		s.log.Close()
		s.log = nil
	}
	log, err := s.createLog(next)
	if err != nil {
		return err
	}
	s.log, s.logSize, s.logUnusable = log, 0, false
	_ = s.disk.Remove(logName(old)) // best effort: a log that stays is not read again
	return nil
}

// createLog creates an empty log. Its directory entry is durable before any record in it is acknowledged.
func (s *Store) createLog(generation uint64) (journalfile.File, error) {
	log, err := s.disk.Create(logName(generation))
	if err != nil {
		return nil, errors.Wrap(err, "create the log")
	}
	if err := log.Sync(); err != nil {
		log.Close()
		return nil, errors.Wrap(err, "sync the new log")
	}
	if err := s.disk.Sync(); err != nil {
		log.Close()
		return nil, errors.Wrap(err, "sync the directory of the new log")
	}
	return log, nil
}

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
	body := binary.LittleEndian.AppendUint64(nil, generation)
	if _, err := file.Write(encodeRecord(append(body, state...))); err != nil {
		return errors.Wrap(err, "write the slot")
	}
	if err := file.Sync(); err != nil {
		return errors.Wrap(err, "sync the slot")
	}
	return errors.Wrap(s.disk.Sync(), "sync the directory")
}
