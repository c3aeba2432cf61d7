package kvindex

import (
	"encoding/binary"
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/cachetable"
)

const (
	completeEvery     = 5 * time.Second       // between two complete lists of an instance: bounds the effect of lost notes
	forgetAfter       = completeEvery * 3 / 2 // an instance without notes for longer counts as not synced
	maxChangesPerNote = 100                   // changes in one note
	changeSize        = 12                    // bytes: key and tokens
	noteHeader        = 8 + 8 + 1 + 1         // incarnation, number, flag of a complete list, length of the name
)

// ErrNote means that a note is malformed.
var ErrNote = errors.New("malformed note of cached parts")

// Sharing encodes notes for other brokers about the parts that instances cache, and applies the notes of other brokers.
// Notes are numbered; after a gap, notes about an instance are ignored until the next one that begins a complete list.
type Sharing struct {
	incarnation uint64
	table       func(func(*cachetable.Table))

	mu       sync.Mutex
	reported map[string]*reported
	lastNote map[string]time.Time
}

// reported is what the notes about one instance have reported so far.
type reported struct {
	lastNumber uint64
	completeAt time.Time
	parts      map[cachetable.Key]float64
}

// NewSharing returns a Sharing that has sent no notes. The incarnation identifies this run of the broker in its notes.
func NewSharing(incarnation uint64, table func(func(*cachetable.Table))) *Sharing {
	return &Sharing{incarnation: incarnation, table: table, reported: map[string]*reported{}, lastNote: map[string]time.Time{}}
}

// Notes returns the notes to send about an instance now: the changes since the last call, or a complete list after
// completeEvery.
func (s *Sharing) Notes(instance string, now time.Time) [][]byte {
	var held map[cachetable.Key]float64
	synced := false
	s.table(func(t *cachetable.Table) { held, synced = t.Reported(instance) })
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.lastNote, instance) // this broker polls the instance itself
	before := s.reported[instance]
	if !synced {
		return nil
	}
	if before == nil {
		before = &reported{}
		s.reported[instance] = before
	}
	complete := now.Sub(before.completeAt) >= completeEvery
	if complete {
		before.completeAt, before.parts = now, nil
	}
	changes := difference(before.parts, held)
	before.parts = held
	if len(changes) == 0 && !complete {
		return nil
	}
	var notes [][]byte
	for first := true; first || len(changes) > 0; first = false {
		n := min(len(changes), maxChangesPerNote)
		before.lastNumber++
		notes = append(notes, s.encode(instance, before.lastNumber, complete && first, changes[:n]))
		changes = changes[n:]
	}
	return notes
}

// difference returns the changes that turn before into after.
func difference(before, after map[cachetable.Key]float64) []cachetable.Change {
	var out []cachetable.Change
	for key, tokens := range after {
		if before[key] != tokens {
			out = append(out, cachetable.Change{Key: key, Tokens: tokens})
		}
	}
	for key := range before {
		if _, still := after[key]; !still {
			out = append(out, cachetable.Change{Key: key})
		}
	}
	return out
}

func (s *Sharing) encode(instance string, number uint64, complete bool, changes []cachetable.Change) []byte {
	note := make([]byte, 0, noteHeader+len(instance)+len(changes)*changeSize)
	note = binary.LittleEndian.AppendUint64(note, s.incarnation)
	note = binary.LittleEndian.AppendUint64(note, number)
	flag := byte(0)
	if complete {
		flag = 1
	}
	note = append(note, flag, byte(len(instance)))
	note = append(note, instance...)
	for _, c := range changes {
		note = binary.LittleEndian.AppendUint64(note, uint64(c.Key))
		note = binary.LittleEndian.AppendUint32(note, uint32(min(c.Tokens, math.MaxUint32)))
	}
	return note
}

// ApplyNote applies a note of another broker.
func (s *Sharing) ApplyNote(note []byte, now time.Time) error {
	if len(note) < noteHeader || len(note) < noteHeader+int(note[noteHeader-1]) {
		return ErrNote
	}
	incarnation := binary.LittleEndian.Uint64(note)
	number := binary.LittleEndian.Uint64(note[8:])
	complete := note[16] == 1
	name := string(note[noteHeader : noteHeader+int(note[noteHeader-1])])
	rest := note[noteHeader+len(name):]
	if len(rest)%changeSize != 0 {
		return ErrNote
	}
	var changes []cachetable.Change
	for ; len(rest) > 0; rest = rest[changeSize:] {
		changes = append(changes, cachetable.Change{Key: cachetable.Key(binary.LittleEndian.Uint64(rest)),
			Tokens: float64(binary.LittleEndian.Uint32(rest[8:]))})
	}
	s.mu.Lock()
	s.lastNote[name] = now
	s.mu.Unlock()
	s.table(func(t *cachetable.Table) {
		if complete {
			t.Replace(name, incarnation, number, changes)
		} else {
			t.Apply(name, incarnation, number-1, number, changes)
		}
	})
	return nil
}

// Expire marks instances as not synced if no broker has sent a note about them for forgetAfter.
func (s *Sharing) Expire(now time.Time) {
	s.mu.Lock()
	var stale []string
	for name, at := range s.lastNote {
		if now.Sub(at) > forgetAfter {
			stale = append(stale, name)
			delete(s.lastNote, name)
		}
	}
	s.mu.Unlock()
	s.table(func(t *cachetable.Table) {
		for _, name := range stale {
			t.MarkUnsynced(name)
		}
	})
}
