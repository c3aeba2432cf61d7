package kvindex

import (
	"encoding/binary"
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/holders"
)

const (
	wholeEvery  = 5 * time.Second    // between two notes that tell all, so that lost ones do no lasting harm
	forgetAfter = wholeEvery * 3 / 2 // what nobody has told of for longer is not relied on
	mostPerNote = 100                // changes in one note
	changeSize  = 12                 // bytes: key and tokens
	noteHeader  = 8 + 8 + 1 + 1      // incarnation, number, whether it tells all, length of the name
)

// ErrNote says that a note cannot be read.
var ErrNote = errors.New("a note of what is kept cannot be read")

// Sharing tells other brokers what instances keep, and takes what they tell. Notes are numbered; after a gap what is
// told counts again from the next note that tells all.
type Sharing struct {
	incarnation uint64
	table       func(func(*holders.Table))

	mu    sync.Mutex
	sent  map[string]*sent
	heard map[string]time.Time
}

// sent is what was told of one instance.
type sent struct {
	number uint64
	whole  time.Time
	parts  map[holders.Key]float64
}

// NewSharing makes a sharing that has told nothing.
func NewSharing(incarnation uint64, table func(func(*holders.Table))) *Sharing {
	return &Sharing{incarnation: incarnation, table: table, sent: map[string]*sent{}, heard: map[string]time.Time{}}
}

// Notes returns what is to be told of an instance now.
func (s *Sharing) Notes(instance string, now time.Time) [][]byte {
	var held map[holders.Key]float64
	synced := false
	s.table(func(t *holders.Table) { held, synced = t.Told(instance) })
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.heard, instance) // this broker knows for itself
	before := s.sent[instance]
	if !synced {
		return nil
	}
	if before == nil {
		before = &sent{}
		s.sent[instance] = before
	}
	whole := now.Sub(before.whole) >= wholeEvery
	if whole {
		before.whole, before.parts = now, nil
	}
	changes := difference(before.parts, held)
	before.parts = held
	if len(changes) == 0 && !whole {
		return nil
	}
	var notes [][]byte
	for first := true; first || len(changes) > 0; first = false {
		n := min(len(changes), mostPerNote)
		before.number++
		notes = append(notes, s.encode(instance, before.number, whole && first, changes[:n]))
		changes = changes[n:]
	}
	return notes
}

// difference lists what has to change for before to become after.
func difference(before, after map[holders.Key]float64) []holders.Change {
	var out []holders.Change
	for key, tokens := range after {
		if before[key] != tokens {
			out = append(out, holders.Change{Key: key, Tokens: tokens})
		}
	}
	for key := range before {
		if _, still := after[key]; !still {
			out = append(out, holders.Change{Key: key})
		}
	}
	return out
}

func (s *Sharing) encode(instance string, number uint64, whole bool, changes []holders.Change) []byte {
	note := make([]byte, 0, noteHeader+len(instance)+len(changes)*changeSize)
	note = binary.LittleEndian.AppendUint64(note, s.incarnation)
	note = binary.LittleEndian.AppendUint64(note, number)
	flag := byte(0)
	if whole {
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

// Take takes a note of another broker.
func (s *Sharing) Take(note []byte, now time.Time) error {
	if len(note) < noteHeader || len(note) < noteHeader+int(note[noteHeader-1]) {
		return ErrNote
	}
	incarnation := binary.LittleEndian.Uint64(note)
	number := binary.LittleEndian.Uint64(note[8:])
	whole := note[16] == 1
	name := string(note[noteHeader : noteHeader+int(note[noteHeader-1])])
	rest := note[noteHeader+len(name):]
	if len(rest)%changeSize != 0 {
		return ErrNote
	}
	var changes []holders.Change
	for ; len(rest) > 0; rest = rest[changeSize:] {
		changes = append(changes, holders.Change{Key: holders.Key(binary.LittleEndian.Uint64(rest)),
			Tokens: float64(binary.LittleEndian.Uint32(rest[8:]))})
	}
	s.mu.Lock()
	s.heard[name] = now
	s.mu.Unlock()
	s.table(func(t *holders.Table) {
		if whole {
			t.Replace(name, incarnation, number, changes)
		} else {
			t.Apply(name, incarnation, number-1, number, changes)
		}
	})
	return nil
}

// Expire stops relying on what nobody has told of for long.
func (s *Sharing) Expire(now time.Time) {
	s.mu.Lock()
	var stale []string
	for name, at := range s.heard {
		if now.Sub(at) > forgetAfter {
			stale = append(stale, name)
			delete(s.heard, name)
		}
	}
	s.mu.Unlock()
	s.table(func(t *holders.Table) {
		for _, name := range stale {
			t.Lost(name)
		}
	})
}
