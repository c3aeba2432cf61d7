package processusage

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
)

func TestRead(t *testing.T) {
	usage := Read()
	require.Positive(t, usage.MemoryMB)
	require.Positive(t, usage.Threads)
	require.GreaterOrEqual(t, usage.Descriptors, 3)
}

func TestParseStatus(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want Usage
	}{
		"whole":    {"Name:\tgullstair\nVmRSS:\t   30720 kB\nThreads:\t9\n", Usage{MemoryMB: 30, Threads: 9}},
		"no lines": {"", Usage{}},
		"cut":      {"Name:\tgullstair\nVmRSS:\nThreads", Usage{}},
		"odd":      {"VmRSS:\tmuch kB\nThreads:\t9", Usage{Threads: 9}},
	} {
		require.Equal(t, c.want, parseStatus([]byte(c.text)), name)
	}
}

// TestMemoryCloseToTheLimitIsLogged lets the memory rise, stay, fall a little, fall, and rise again.
func TestMemoryCloseToTheLimitIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var lines bytes.Buffer
		memory := []int{40, 74, 75, 99, 60, 80, 49, 76, 76}
		at := -1
		go watch(ctx, 100, &log.Logger{Writer: log.IOWriter{Writer: &lines}}, func() Usage {
			at++
			return Usage{MemoryMB: memory[at]}
		})
		time.Sleep(time.Duration(len(memory))*watchInterval + watchInterval/2)
		cancel()
		synctest.Wait()
		require.Equal(t, 2, strings.Count(lines.String(), "close to its limit"), lines.String())
	})
}
