// Package processusage reads what this process uses of its machine, and logs when its memory comes close to the limit: a
// process that the machine ends for its memory writes no last line. It reads /proc and the clock.
package processusage

import (
	"bufio"
	"bytes"
	"context"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/phuslu/log"
)

const (
	watchInterval = time.Second
	highShare     = 0.75 // of the memory limit: logged when it is reached
	lowShare      = 0.5  // below this share it may be logged again
)

// Usage is what a process uses. Where the system does not tell, it is zero.
type Usage struct {
	MemoryMB    int // resident
	Threads     int
	Descriptors int
}

// Read returns what this process uses now.
func Read() Usage {
	usage := readStatus()
	if names, err := os.ReadDir("/proc/self/fd"); err == nil {
		usage.Descriptors = len(names) - 1 // one is that of the directory
	}
	return usage
}

// Log adds the usage to a line of the log.
func (u Usage) Log(entry *log.Entry) *log.Entry {
	return entry.Int("memory_mb", u.MemoryMB).Int("threads", u.Threads).Int("descriptors", u.Descriptors)
}

func readStatus() Usage {
	text, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return Usage{}
	}
	return parseStatus(text)
}

// parseStatus reads the lines "VmRSS: N kB" and "Threads: N" of /proc/PID/status (proc_pid_status(5)).
func parseStatus(text []byte) (usage Usage) {
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		name, rest, _ := strings.Cut(lines.Text(), ":")
		fields := strings.Fields(rest)
		if len(fields) == 0 {
			continue
		}
		number, err := strconv.Atoi(fields[0])
		if err != nil {
			continue
		}
		switch name {
		case "VmRSS":
			usage.MemoryMB = number >> 10
		case "Threads":
			usage.Threads = number
		}
	}
	return usage
}

// Watch logs each time the memory of this process comes close to its limit, until the context ends.
func Watch(ctx context.Context, limitMB int, logger *log.Logger) {
	watch(ctx, limitMB, logger, readStatus)
}

func watch(ctx context.Context, limitMB int, logger *log.Logger, read func() Usage) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	high := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		share := float64(read().MemoryMB) / float64(limitMB)
		switch {
		case !high && share >= highShare:
			high = true
			Read().Log(logger.Warn()).Int("limit_mb", limitMB).Msg("the memory is close to its limit")
		case share < lowShare:
			high = false
		}
	}
}
