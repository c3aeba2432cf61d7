// Package instancestore keeps the service instances that a broker knows on the broker's disk: a checkpoint of all of them,
// and a short log of those that had to be durable at once.
package instancestore

import (
	"bytes"
	"context"
	"encoding/gob"
	"sync"

	"github.com/cockroachdb/errors"

	"gullstair/internal/instances"
	"gullstair/internal/journalfile"
	"gullstair/internal/lifecycle"
	"gullstair/internal/slots"
)

// Store keeps instances on one disk. It is safe for concurrent use. One call at a time uses the disk. The others wait until
// it is done or their context ends, so a disk that hangs does not block them for good.
type Store struct {
	openDisk func() (journalfile.Disk, error)
	known    func() []instances.Instance
	restored func([]instances.Instance)

	turn chan struct{} // semaphore for file
	file *slots.Store  // nil until the disk has been opened

	mu   sync.Mutex
	next *batch // instances that wait to be written together
}

// batch is a set of instances that are written with one sync. err is set before done is closed.
type batch struct {
	instances []instances.Instance
	done      chan struct{}
	err       error
}

// New returns a store that has not been opened. known returns all instances that the broker knows. restored is called with
// the instances found on the disk once it can be opened.
func New(openDisk func() (journalfile.Disk, error), known func() []instances.Instance, restored func([]instances.Instance)) *Store {
	return &Store{openDisk: openDisk, known: known, restored: restored, turn: make(chan struct{}, 1)}
}

// Open opens the disk and restores the instances on it. After an error, later calls of the store try again.
func (s *Store) Open(ctx context.Context) error {
	if err := s.takeTurn(ctx); err != nil {
		return err
	}
	defer s.endTurn()
	return s.open()
}

// Save replaces what is on the disk by the instances that the broker knows.
func (s *Store) Save(ctx context.Context) error {
	if err := s.takeTurn(ctx); err != nil {
		return err
	}
	defer s.endTurn()
	if err := s.open(); err != nil {
		return err
	}
	return s.checkpoint()
}

// Append makes instances durable before it returns nil. The broker must know each of them, or something newer about it:
// a checkpoint may be written instead. Instances of concurrent calls are written together.
func (s *Store) Append(ctx context.Context, added []instances.Instance) error {
	b := s.join(added)
	lifecycle.Go(func() { s.flush(ctx, b) })
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "the disk of the instances does not answer")
	}
}

// flush writes a batch, unless another call has done so by the time that the disk is free. If the context ends first, the
// batch is written with the instances of a later call.
func (s *Store) flush(ctx context.Context, b *batch) {
	if s.takeTurn(ctx) != nil {
		return
	}
	defer s.endTurn()
	if s.takeBatch(b) {
		b.err = s.write(b.instances)
		close(b.done)
	}
}

// join adds instances to the batch that is written next, and returns it.
func (s *Store) join(added []instances.Instance) *batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = &batch{done: make(chan struct{})}
	}
	s.next.instances = append(s.next.instances, added...)
	return s.next
}

// takeBatch closes a batch to further instances. It returns false if another call has already done so and written it.
func (s *Store) takeBatch(b *batch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != b {
		return false
	}
	s.next = nil
	return true
}

func (s *Store) takeTurn(ctx context.Context) error {
	select {
	case s.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "the disk of the instances is busy")
	}
}

func (s *Store) endTurn() { <-s.turn }

// open opens the disk unless it is open. The caller holds the turn.
func (s *Store) open() error {
	if s.file != nil {
		return nil
	}
	disk, err := s.openDisk()
	if err != nil {
		return errors.Wrap(err, "open the disk of the instances")
	}
	file, contents, err := slots.Open(disk)
	if file == nil {
		return errors.Wrap(err, "open the stored instances")
	}
	s.file = file
	if errors.Is(err, slots.ErrEmpty) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read the stored instances")
	}
	return s.restore(contents)
}

// restore passes on the instances of the checkpoint and those of the log after it, oldest first.
func (s *Store) restore(contents slots.Contents) error {
	for at, text := range append([][]byte{contents.State}, contents.Records...) {
		var all []instances.Instance
		if err := gob.NewDecoder(bytes.NewReader(text)).Decode(&all); err != nil {
			return errors.Wrapf(err, "decode record %d of the stored instances", at)
		}
		s.restored(all)
	}
	return nil
}

// write makes instances durable. The caller holds the turn.
func (s *Store) write(added []instances.Instance) error {
	if err := s.open(); err != nil {
		return err
	}
	record := encode(added)
	if !s.file.Fits(len(record)) {
		return s.checkpoint()
	}
	return errors.Wrap(s.file.Append(record), "append instances")
}

// checkpoint writes all known instances. They are read while the turn is held, so whatever is in the log is among them.
func (s *Store) checkpoint() error {
	return errors.Wrap(s.file.Checkpoint(encode(s.known())), "write a checkpoint of the instances")
}

func encode(all []instances.Instance) []byte {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(all); err != nil {
		panic(err) // unreachable: the types are fixed and encodable
	}
	return buffer.Bytes()
}
