package clientbudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// opened returns a holder of this many bytes that last moved at a time.
func opened(b *Budget, stage Stage, bytes int64, at time.Duration) *Holder {
	h := &Holder{}
	b.Open(h, at)
	b.Add(h, Amount{Bytes: bytes, Descriptors: 1})
	h.Enter(stage, at)
	return h
}

func TestWhoHoldsMuchAndMovesLeastGivesWay(t *testing.T) {
	b := New(Amount{Bytes: 1 << 30, Descriptors: 100})
	opened(b, Working, 500<<20, 0) // never gives way
	small := opened(b, Idle, ConnectionBytes, 0)
	large := opened(b, Body, 1<<20, 0)
	fresh := opened(b, Body, 100<<20, 10*time.Second)
	assert.Same(t, large, b.Victim(10*time.Second), "the largest has just moved")
	large.Moved(progressBytes-1, 10*time.Second)
	assert.Same(t, large, b.Victim(10*time.Second), "a few bytes are no movement")
	large.Moved(1, 10*time.Second)
	assert.Same(t, small, b.Victim(10*time.Second))
	small.Touch(10 * time.Second)
	assert.Nil(t, b.Victim(10*time.Second), "all have just moved")
	assert.Same(t, fresh, b.Victim(11*time.Second))
}

func TestRoomRemainsForOrdinaryRequests(t *testing.T) {
	b := New(Amount{Bytes: 100 << 20, Descriptors: 100})
	large := opened(b, Working, 66<<20, 0)
	assert.False(t, b.Fits(large, Amount{Bytes: 1}))
	ordinary := opened(b, Body, ConnectionBytes, 0)
	assert.True(t, b.Fits(ordinary, Amount{Bytes: 20 << 10}))
	ordinary.MarkSurplus()
	assert.False(t, b.Fits(ordinary, Amount{Bytes: 20 << 10}), "it has sent more than its request")
	ordinary.Enter(Idle, 0)
	assert.True(t, b.Fits(ordinary, Amount{Bytes: 20 << 10}))
	for range 85 {
		opened(b, Working, 0, 0)
	}
	assert.False(t, b.Fits(ordinary, Amount{Descriptors: 1}))
	assert.True(t, b.Fits(&Holder{Control: true}, Amount{Descriptors: 1}), "the fleet's own connections have room")
}

func TestWhoGaveWayCountsUntilItIsClosed(t *testing.T) {
	b := New(Amount{Bytes: 4 << 20, Descriptors: 100})
	large := opened(b, Body, 4<<20, 0)
	b.Evict(large)
	assert.True(t, large.Evicted())
	assert.Zero(t, b.Used())
	b.Add(large, Amount{Bytes: 1 << 20})
	assert.Zero(t, b.Used(), "it holds nothing more")
	assert.True(t, b.Late(Amount{Bytes: 2 << 20}))
	b.Close(large)
	b.Close(large)
	assert.False(t, b.Late(Amount{Bytes: 4 << 20}))
	assert.True(t, b.Late(Amount{Bytes: 6 << 20}))
}

// TestSumOfHolders checks over random histories that the budget counts what its holders hold, and that they stay within it
// as long as the caller asks first.
func TestSumOfHolders(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		limit := Amount{Bytes: 4 << 20, Descriptors: 40}
		b := New(limit)
		var all []*Holder
		for step := range 2000 {
			now := time.Duration(step) * time.Millisecond
			if len(all) == 0 || rng.IntN(3) == 0 {
				h := &Holder{}
				if more := (Amount{Bytes: ConnectionBytes, Descriptors: 1}); b.Fits(h, more) {
					b.Open(h, now)
					b.Add(h, more)
					all = append(all, h)
				}
			}
			if len(all) == 0 {
				continue
			}
			h := all[rng.IntN(len(all))]
			switch rng.IntN(6) {
			case 0, 1:
				if more := (Amount{Bytes: rng.Int64N(100 << 10)}); b.Fits(h, more) {
					b.Add(h, more)
				}
			case 2:
				h.Enter(Stage(rng.IntN(int(Closing)+1)), now)
			case 3:
				b.Close(h)
			case 4:
				if victim := b.Victim(now); victim != nil {
					b.Evict(victim)
				}
			case 5:
				b.Keep(h, Amount{Bytes: min(ConnectionBytes, h.Held().Bytes), Descriptors: h.Held().Descriptors})
			}
			sum := Amount{}
			for h := range b.holders {
				sum = sum.plus(h.held)
			}
			require.Equal(t, sum, b.Used(), "seed %d, step %d", seed, step)
			require.True(t, sum.within(limit), "seed %d, step %d: %v", seed, step, sum)
		}
	}
}

func TestLimits(t *testing.T) {
	for _, memoryMB := range []int64{64, 102, 244} {
		limit := LimitFor(memoryMB<<20, 4100)
		assert.Less(t, limit.Bytes, memoryMB<<20/2, "half is for all else")
		assert.Greater(t, limit.times(frontShare).times(largeShare).Bytes, int64(4<<20+LargeHolding), "a request of 4 MiB fits")
		assert.LessOrEqual(t, limit.Descriptors, 4100-fileDescriptors)
		assert.GreaterOrEqual(t, ReceiveBuffer(memoryMB<<20), minReceiveBuffer)
	}
	assert.Equal(t, Amount{Descriptors: 93}, LimitFor(0, 300), "half of a small limit is for files")
}
