package readturns

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestTurnsGoRoundTheServers: a server with many answers delays another one by one turn.
func TestTurnsGoRoundTheServers(t *testing.T) {
	q := queue[int]{}
	for n := range 4 {
		q.push("many", n)
	}
	q.push("one", 100)
	var order []int
	for !q.empty() {
		order = append(order, q.pop())
	}
	assert.Equal(t, []int{0, 100, 1, 2, 3}, order)
	assert.Empty(t, q.waiting)
}

// piece is what a copy receives at once; each takes pieceTime of the processor.
const (
	piece     = 8 << 10
	pieceTime = 100 * time.Microsecond
)

// copies runs the copying of answers for a time and returns the bytes of each.
func copies(t *testing.T, turns *Turns, servers []string, span time.Duration) []int64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), span)
	defer cancel()
	sums := make([]int64, len(servers))
	done := make(chan struct{})
	for n, server := range servers {
		go func() {
			defer func() { done <- struct{}{} }()
			c := turns.Join(server)
			defer c.Leave()
			for c.Await(ctx, sums[n]) == nil && ctx.Err() == nil {
				time.Sleep(pieceTime)
				sums[n] += piece
			}
		}()
	}
	for range servers {
		<-done
	}
	return sums
}

// TestOneServerGetsItsShare: sixty answers of one server and one of another get about the same.
func TestOneServerGetsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := []string{"sound"}
		for range 60 {
			servers = append(servers, "faulty")
		}
		sums := copies(t, New(), servers, 10*time.Second)
		faulty := int64(0)
		for _, sum := range sums[1:] {
			require.Positive(t, sum)
			faulty += sum
		}
		assert.InDelta(t, float64(faulty), float64(sums[0]), 0.25*float64(faulty))
	})
}

// TestSmallAnswersNeedNoTurn: an answer within the free bytes never waits, whatever the others do.
func TestSmallAnswersNeedNoTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turns := New()
		ended := make(chan struct{})
		go func() {
			copies(t, turns, []string{"a", "b", "c"}, time.Second)
			close(ended)
		}()
		time.Sleep(500 * time.Millisecond)
		c := turns.Join("small")
		begun := time.Now()
		for received := int64(0); received < freeBytes/2; received += piece {
			require.NoError(t, c.Await(t.Context(), received))
		}
		assert.Zero(t, time.Since(begun))
		c.Leave()
		<-ended
	})
}

// TestABlockedHolderLosesItsTurn: a copy that waits for its server or its client holds nobody up.
func TestABlockedHolderLosesItsTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turns := New()
		blocked := turns.Join("blocked")
		require.NoError(t, blocked.Await(t.Context(), 10*freeBytes))
		other := turns.Join("other")
		begun := time.Now()
		require.NoError(t, other.Await(t.Context(), 10*freeBytes))
		assert.LessOrEqual(t, time.Since(begun), turnTime+pauseTime)
		require.NoError(t, blocked.Await(t.Context(), 20*freeBytes))
		assert.LessOrEqual(t, time.Since(begun), 2*(turnTime+pauseTime))
		blocked.Leave()
		other.Leave()
	})
}

// TestWhoLeavesTheQueueGetsNoTurn: a context that ends while its copy waits.
func TestWhoLeavesTheQueueGetsNoTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turns := New()
		holder, gone, last := turns.Join("a"), turns.Join("b"), turns.Join("c")
		require.NoError(t, holder.Await(t.Context(), 10*freeBytes))
		ctx, cancel := context.WithTimeout(t.Context(), turnTime/2)
		defer cancel()
		require.ErrorIs(t, gone.Await(ctx, 10*freeBytes), context.DeadlineExceeded)
		gone.Leave()
		require.NoError(t, last.Await(t.Context(), 10*freeBytes))
		assert.Same(t, last, turns.holder)
		holder.Leave()
		last.Leave()
	})
}
