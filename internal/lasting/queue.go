package lasting

import "sync"

// queueMost is how many orders wait for the disk, and how many records are stored at once; more keep who puts them waiting, as a full disk's queue would.
const queueMost = 1024

// Sink is what a Queue stores to; a Dir is one.
type Sink[R any] interface {
	Store(records []R) error
	Snapshot(records []R) error
	Trust() error
}

// Order is a record to be stored, with its number; or, without one, all records in the place of those so far. Trust says, behind either, that they are all
// that counts.
type Order[R any] struct {
	Number uint64
	Record R
	All    []R
	Trust  bool
}

// Queue has one goroutine store what is put in, in its order, many records with one fsync.
type Queue[R any] struct {
	sink   Sink[R]
	in     chan Order[R]
	stop   chan struct{}
	stored func(upto uint64)
	lost   func(error)
	ended  sync.WaitGroup
}

// NewQueue begins. Stored tells that all records up to a number last. Lost tells, once, that nothing can be stored any more; nothing is from then on.
func NewQueue[R any](sink Sink[R], stored func(upto uint64), lost func(error)) *Queue[R] {
	q := &Queue[R]{sink: sink, in: make(chan Order[R], queueMost), stop: make(chan struct{}), stored: stored, lost: lost}
	q.ended.Go(q.run)
	return q
}

// Put has something stored; it waits where too much waits already.
func (q *Queue[R]) Put(o Order[R]) {
	select {
	case q.in <- o:
	case <-q.stop:
	}
}

// Close ends it; what still waits is not stored.
func (q *Queue[R]) Close() {
	close(q.stop)
	q.ended.Wait()
}

func (q *Queue[R]) run() {
	for {
		var next Order[R]
		select {
		case next = <-q.in:
		case <-q.stop:
			return
		}
		var records []R
		var upto uint64
		for more := true; more; {
			if next.Number > 0 {
				records, upto = append(records, next.Record), next.Number
			}
			if next.All != nil || next.Trust || len(records) == queueMost {
				break // nothing is taken that has no room: a record that was taken and left out would be told as stored with the next one
			}
			select {
			case next = <-q.in:
			default:
				more = false
			}
		}
		var err error
		if len(records) > 0 {
			err = q.sink.Store(records)
		}
		if err == nil && next.All != nil {
			err = q.sink.Snapshot(next.All)
		}
		if err == nil && next.Trust {
			err = q.sink.Trust()
		}
		if err != nil {
			q.lost(err)
			for { // what is still to be stored is not
				select {
				case <-q.in:
				case <-q.stop:
					return
				}
			}
		}
		if upto > 0 {
			q.stored(upto)
		}
	}
}
