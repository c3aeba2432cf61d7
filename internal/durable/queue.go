package durable

import "sync"

// maxQueue is the capacity of the queue and the largest number of records stored at once. A full queue blocks
// Put, as the queue of a slow disk does.
const maxQueue = 1024

// Sink is the storage that a Queue writes to, such as a Dir.
type Sink[R any] interface {
	Store(records []R) error
	Snapshot(records []R) error
	Trust() error
}

// Job is a record to be stored, with its number, or, without one, a snapshot that replaces all records so far.
// Trust marks the storage as complete after that.
type Job[R any] struct {
	Number uint64
	Record R
	All    []R
	Trust  bool
}

// Queue stores jobs in their order in one goroutine, many records with one fsync.
type Queue[R any] struct {
	sink   Sink[R]
	in     chan Job[R]
	stop   chan struct{}
	stored func(upto uint64)
	failed func(error)
	ended  sync.WaitGroup
}

// NewQueue returns a running queue. It calls stored when all records up to a number are durable. It calls
// failed once when storing has failed; nothing is stored after that.
func NewQueue[R any](sink Sink[R], stored func(upto uint64), failed func(error)) *Queue[R] {
	q := &Queue[R]{sink: sink, in: make(chan Job[R], maxQueue), stop: make(chan struct{}), stored: stored, failed: failed}
	q.ended.Go(q.run)
	return q
}

// Put queues a job. It blocks while the queue is full.
func (q *Queue[R]) Put(job Job[R]) {
	select {
	case q.in <- job:
	case <-q.stop:
	}
}

// Close stops the queue. Queued jobs are not stored.
func (q *Queue[R]) Close() {
	close(q.stop)
	q.ended.Wait()
}

func (q *Queue[R]) run() {
	for {
		var next Job[R]
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
			if next.All != nil || next.Trust || len(records) == maxQueue {
				break // a record taken from the queue here would be left out of the batch, and reported as stored with the next one
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
			q.failed(err)
			for { // discards all later jobs
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
