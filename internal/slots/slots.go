// Package slots keeps a small state on a disk: two slots that are written in turn, with a short log of records between.
// What Append and Checkpoint return without an error for is there after a loss of power; of what they return an error
// for, all or nothing may be there.
package slots

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"slices"

	"github.com/cockroachdb/errors"

	"gullstair/internal/journalfile"
)

const (
	logLimit   = 256 << 10 // bytes; a longer log wants a checkpoint
	headerSize = 8         // of a record: length and checksum
	numberSize = 8         // generation at the head of a slot
	mostRecord = 32 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrEmpty says that the disk holds no state.
var ErrEmpty = errors.New("no state on the disk")

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

// Open reads what is there. ErrEmpty: nothing is; a Checkpoint must be the first write.
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
	if !found {
		return s, Contents{}, ErrEmpty
	}
	if name := logName(s.generation); slices.Contains(names, name) {
		text, err := disk.Read(name)
		if err != nil {
			return nil, Contents{}, errors.Wrap(err, "read the log")
		}
		contents.Records = records(text)
	}
	return s, contents, nil
}

func slotName(generation uint64) string { return fmt.Sprintf("slot-%d", generation%2) }
func logName(generation uint64) string  { return fmt.Sprintf("log-%016x", generation) }

func (s *Store) readSlot(names []string, name string) (uint64, []byte, bool) {
	if !slices.Contains(names, name) {
		return 0, nil, false
	}
	text, err := s.disk.Read(name)
	if err != nil {
		return 0, nil, false
	}
	all := records(text)
	if len(all) != 1 || len(all[0]) < numberSize {
		return 0, nil, false
	}
	return binary.LittleEndian.Uint64(all[0]), all[0][numberSize:], true
}

// records cuts a file into its records, up to the first that is not whole.
func records(text []byte) [][]byte {
	var out [][]byte
	for len(text) >= headerSize {
		length := binary.LittleEndian.Uint32(text)
		sum := binary.LittleEndian.Uint32(text[4:])
		if length > mostRecord || int(length) > len(text)-headerSize {
			break
		}
		body := text[headerSize : headerSize+int(length)]
		if crc32.Checksum(body, castagnoli) != sum {
			break
		}
		out = append(out, body)
		text = text[headerSize+int(length):]
	}
	return out
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
	log, err := s.disk.Create(logName(next))
	if err != nil {
		return errors.Wrap(err, "create the log")
	}
	if err := log.Sync(); err != nil {
		log.Close()
		return errors.Wrap(err, "sync the new log")
	}
	s.log, s.logSize, s.broken = log, 0, false
	_ = s.disk.Remove(logName(old)) // one that stays is not read again
	return nil
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
