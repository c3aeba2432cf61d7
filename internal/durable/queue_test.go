package durable

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// blockingSink is a sink that blocks until the test unblocks it.
type blockingSink struct {
	unblock      chan struct{}
	all          []int
	operations   []string
	largestBatch int
	err          error
}

func (s *blockingSink) Store(some []int) error {
	<-s.unblock
	s.largestBatch, s.all = max(s.largestBatch, len(some)), append(s.all, some...)
	return s.err
}

func (s *blockingSink) Snapshot(some []int) error {
	s.operations = append(s.operations, "snapshot")
	return nil
}

func (s *blockingSink) Trust() error {
	s.operations = append(s.operations, "trust")
	return nil
}

// Every record is stored before it is reported as stored, however many are queued. A record that was taken from
// the queue when a batch was full was once left out, and reported with the next batch. Trust and snapshots keep
// their order among the records.
func TestQueueStoresEveryRecord(t *testing.T) {
	const n = 3*maxQueue + 500
	s := &blockingSink{unblock: make(chan struct{})}
	reported := make(chan uint64, n)
	q := NewQueue[int](s, func(upto uint64) { reported <- upto }, func(err error) { t.Error(err) })
	go func() {
		for i := 1; i <= n; i++ {
			q.Put(Job[int]{Number: uint64(i), Record: i, Trust: i == 700})
			if i == 900 {
				q.Put(Job[int]{All: []int{i}})
			}
			if i == maxQueue {
				close(s.unblock) // by now the queue is full, so the batches are as large as possible
			}
		}
	}()
	var last uint64
	for last < n {
		upto := <-reported
		require.Greater(t, upto, last)
		last = upto
	}
	q.Close()
	require.Len(t, s.all, n)
	for i, x := range s.all {
		require.Equal(t, i+1, x)
	}
	assert.LessOrEqual(t, s.largestBatch, maxQueue)
	assert.Equal(t, []string{"trust", "snapshot"}, s.operations)
}

// A failed disk is reported once. Nothing counts as stored after it, and nobody blocks on it.
func TestQueueAfterDiskFailure(t *testing.T) {
	s := &blockingSink{unblock: make(chan struct{}), err: errors.New("no space left on device")}
	close(s.unblock)
	lost := make(chan error, 9)
	q := NewQueue[int](s, func(upto uint64) { t.Error("stored", upto) }, func(err error) { lost <- err })
	for i := range 3 * maxQueue {
		q.Put(Job[int]{Number: uint64(i + 1)})
	}
	assert.Equal(t, s.err, <-lost)
	q.Close()
	q.Put(Job[int]{Number: 1})
	assert.Empty(t, lost)
}
