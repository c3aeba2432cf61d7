// Package slots keeps a small state on a disk: two slots that are written in turn, with a short log of records between.
// What Append and Checkpoint return without an error for is there after a loss of power; of what they return an error
// for, all or nothing may be there.
//
// A loss of power leaves a torn record at the log's end at most, and a torn slot beside the one in use. Whatever else
// cannot be read means that something acknowledged may be missing: Open then says ErrDamaged and gives nothing out.
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
	logLimit   = 256 << 10 // bytes; a longer log wants a checkpoint
	headerSize = 8         // of a record: length and checksum
	numberSize = 8         // generation at the head of a slot
	mostRecord = 32 << 20
	logPrefix  = "log-"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrEmpty says that the disk holds no state.
var ErrEmpty = errors.New("no state on the disk")

// ErrDamaged says that the disk held a state of which something that was acknowledged may be missing.
var ErrDamaged = errors.New("the state on the disk is damaged")

// Store is one state on one disk. One goroutine at a time may use it.
type Store struct {
	disk       journalfile.Disk
	generation uint64
	log        journalfile.File
	logSize    int64
	broken     bool // the log's end is in doubt: only a checkpoint may follow
}

// Contents are what a disk holds: the state of the newest slot and the records that were appended after it.
type Contents struct {
	State   []byte
	Records [][]byte
}

// Open reads what is there. ErrEmpty: nothing is; ErrDamaged: what is there must not be relied on. After both the store
// can be used, and a Checkpoint must be the first write.
func Open(disk journalfile.Disk) (*Store, Contents, error) {
	s := &Store{disk: disk, broken: true}
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
	if newest := newestLog(names); newest > s.generation {
		s.generation = newest // a log is made after its slot is sure to last
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
		if contents.Records, rest = records(text); holdsRecord(rest) {
			return s, Contents{}, ErrDamaged
		}
	}
	return s, contents, nil
}

// newestLog is the highest generation that a log is named by; 0: there is none.
func newestLog(names []string) (newest uint64) {
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
	all, _ := records(text)
	if len(all) != 1 || len(all[0]) < numberSize {
		return 0, nil, false
	}
	return binary.LittleEndian.Uint64(all[0]), all[0][numberSize:], true
}

// records cuts a file into its records, up to the first that is not whole. rest begins with that one.
func records(text []byte) (out [][]byte, rest []byte) {
	for {
		body, whole := record(text)
		if !whole {
			return out, text
		}
		out = append(out, body)
		text = text[headerSize+len(body):]
	}
}

// record reads the record that text begins with. None is empty: a part of a file that was never written reads as zeros.
func record(text []byte) (body []byte, whole bool) {
	if len(text) < headerSize {
		return nil, false
	}
	length := binary.LittleEndian.Uint32(text)
	if length == 0 || length > mostRecord || int(length) > len(text)-headerSize {
		return nil, false
	}
	body = text[headerSize : headerSize+int(length)]
	return body, crc32.Checksum(body, castagnoli) == binary.LittleEndian.Uint32(text[4:])
}

// holdsRecord says whether a whole record stands somewhere in text. Records are written one at a time, so nothing follows
// one that was torn.
func holdsRecord(text []byte) bool {
	for at := 1; at < len(text); at++ {
		if _, whole := record(text[at:]); whole {
			return true
		}
	}
	return false
}

func frame(body []byte) []byte {
	out := make([]byte, headerSize, headerSize+len(body))
	binary.LittleEndian.PutUint32(out, uint32(len(body)))
	binary.LittleEndian.PutUint32(out[4:], crc32.Checksum(body, castagnoli))
	return append(out, body...)
}

// WantsCheckpoint says whether the next write should be a Checkpoint.
func (s *Store) WantsCheckpoint() bool { return s.broken || s.log == nil || s.logSize > logLimit }

// Append adds a record behind the state.
func (s *Store) Append(record []byte) error {
	if s.broken || s.log == nil {
		return errors.New("the log's end is in doubt")
	}
	text := frame(record)
	if _, err := s.log.Write(text); err != nil {
		s.broken = true
		return errors.Wrap(err, "append")
	}
	if err := s.log.Sync(); err != nil {
		s.broken = true
		return errors.Wrap(err, "sync the log")
	}
	s.logSize += int64(len(text))
	return nil
}

// Checkpoint writes a whole state into the slot that does not hold the present one, and begins a new log.
func (s *Store) Checkpoint(state []byte) error {
	next := s.generation + 1
	s.broken = true
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
	s.log, s.logSize, s.broken = log, 0, false
	_ = s.disk.Remove(logName(old)) // one that stays is not read again
	return nil
}

// createLog makes an empty log. Its name is sure to last before anything is acknowledged that stands in it.
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
	if _, err := file.Write(frame(append(body, state...))); err != nil {
		return errors.Wrap(err, "write the slot")
	}
	if err := file.Sync(); err != nil {
		return errors.Wrap(err, "sync the slot")
	}
	return errors.Wrap(s.disk.Sync(), "sync the directory")
}
