package lasting

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// slow is a sink that takes nothing before it is let.
type slow struct {
	let    chan struct{}
	all    []int
	order  []string
	most   int
	failed error
}

func (s *slow) Store(some []int) error {
	<-s.let
	s.most, s.all = max(s.most, len(some)), append(s.all, some...)
	return s.failed
}

func (s *slow) Snapshot(some []int) error {
	s.order = append(s.order, "snapshot")
	return nil
}

func (s *slow) Trust() error {
	s.order = append(s.order, "trust")
	return nil
}

// Every record is stored before it is told as stored, however many wait: one that was taken from the queue when a batch was full was once left out, and told with the
// next. Trust and snapshots keep their place among them.
func TestQueueStoresWhole(t *testing.T) {
	const n = 3*queueMost + 500
	s := &slow{let: make(chan struct{})}
	told := make(chan uint64, n)
	q := NewQueue[int](s, func(upto uint64) { told <- upto }, func(err error) { t.Error(err) })
	go func() {
		for i := 1; i <= n; i++ {
			q.Put(Order[int]{Number: uint64(i), Record: i, Trust: i == 700})
			if i == 900 {
				q.Put(Order[int]{All: []int{i}})
			}
			if i == queueMost {
				close(s.let) // by now the queue is full and more waits: the batches are as large as they come
			}
		}
	}()
	var last uint64
	for last < n {
		upto := <-told
		require.Greater(t, upto, last)
		last = upto
	}
	q.Close()
	require.Len(t, s.all, n)
	for i, x := range s.all {
		require.Equal(t, i+1, x)
	}
	assert.LessOrEqual(t, s.most, queueMost)
	assert.Equal(t, []string{"trust", "snapshot"}, s.order)
}

// A disk that takes nothing more is told of once; nothing counts as stored after it, and nobody waits for it.
func TestQueueLosesItsDisk(t *testing.T) {
	s := &slow{let: make(chan struct{}), failed: errors.New("no space left on device")}
	close(s.let)
	lost := make(chan error, 9)
	q := NewQueue[int](s, func(upto uint64) { t.Error("stored", upto) }, func(err error) { lost <- err })
	for i := range 3 * queueMost {
		q.Put(Order[int]{Number: uint64(i + 1)})
	}
	assert.Equal(t, s.failed, <-lost)
	q.Close()
	q.Put(Order[int]{Number: 1})
	assert.Empty(t, lost)
}
