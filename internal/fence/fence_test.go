package fence

import (
	"errors"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestAccept(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fence")
	for _, c := range []struct {
		number uint64
		lower  bool
	}{{7, false}, {7, false}, {6, true}, {1 << 60, false}, {7, true}} {
		done := false
		err := New(path).Accept(c.number, func() error { done = true; return nil })
		assert.Equal(t, c.lower, errors.Is(err, ErrStale), "%d: %v", c.number, err)
		assert.Equal(t, !c.lower, done, "%d", c.number)
	}
	assert.EqualError(t, New(path).Accept(1<<60, func() error { return os.ErrClosed }), os.ErrClosed.Error())
	require.NoError(t, os.WriteFile(path, []byte("seven"), 0o600))
	assert.ErrorContains(t, New(path).Accept(1<<61, nil), "holds no number", "a corrupt file lets nothing pass")
	assert.Error(t, New(filepath.Join(path, "x")).Accept(1, nil))
}

// With many concurrent callers, the change under a token is finished before a higher one passes, and never made
// after.
func TestConcurrentAccept(t *testing.T) {
	g := New(filepath.Join(t.TempDir(), "fence"))
	var mu sync.Mutex // the race detector does not know of the file lock
	var done []uint64
	var wg sync.WaitGroup
	for n := range uint64(40) {
		wg.Go(func() {
			g.Accept(n+1, func() error {
				mu.Lock()
				defer mu.Unlock()
				done = append(done, n+1)
				return nil
			})
		})
	}
	wg.Wait()
	assert.IsNonDecreasing(t, done)
	assert.Equal(t, uint64(40), done[len(done)-1])
}
