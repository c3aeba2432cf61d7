package lifecycle

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
)

var (
	errPasses = errors.New("taken")
	errLasts  = errors.New("not a directory")
)

func newWait(out *bytes.Buffer) Wait {
	return Wait{Step: Listen, Limit: time.Minute, Passes: func(err error) bool { return errors.Is(err, errPasses) },
		Logger: &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: out}}}
}

// TestWait waits for what passes, up to the limit, and for nothing else; it logs what it waits for each five seconds.
func TestWait(t *testing.T) {
	for name, c := range map[string]struct {
		passesAfter time.Duration // 0: never
		cause       error
		stopAfter   time.Duration // 0: never
		want        *Failure
		took        time.Duration
		lines       int
	}{
		"at once":         {1, nil, 0, nil, 0, 0},
		"passes":          {12 * time.Second, errPasses, 0, nil, 12 * time.Second, 4},
		"up to the limit": {0, errPasses, 0, &Failure{Listen, true, errPasses}, time.Minute, 12},
		"does not pass":   {0, errLasts, 0, &Failure{Listen, false, errLasts}, 0, 0},
		"stopped":         {0, errPasses, 3 * time.Second, &Failure{Listen, true, ErrStopped}, 3 * time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var out bytes.Buffer
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if c.stopAfter > 0 {
					time.AfterFunc(c.stopAfter, cancel)
				}
				begun := time.Now()
				failure := newWait(&out).Until(ctx, func() error {
					if c.passesAfter > 0 && time.Since(begun) >= c.passesAfter {
						return nil
					}
					return c.cause
				})
				require.Equal(t, c.want, failure)
				require.Equal(t, c.took, time.Since(begun))
				require.Equal(t, c.lines, bytes.Count(out.Bytes(), []byte("\n")), "%s", out.String())
			})
		})
	}
}

// lastLine is what the last line of a process says.
type lastLine struct {
	Message, Step, Cause string
	Status               int
	Passes               bool
}

func readLast(t *testing.T, out *bytes.Buffer) (last lastLine) {
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	require.NoError(t, json.Unmarshal(lines[len(lines)-1], &last))
	return last
}

// TestEnd writes the last line at each level of the log.
func TestEnd(t *testing.T) {
	for name, c := range map[string]struct {
		failure *Failure
		want    lastLine
	}{
		"as asked":          {nil, lastLine{lastMessage, "shutdown", "", 0, false}},
		"stopped in a wait": {&Failure{Listen, true, ErrStopped}, lastLine{lastMessage, "listen", ErrStopped.Error(), 0, true}},
		"settings":          {&Failure{Settings, true, errPasses}, lastLine{lastMessage, "settings", "taken", 3, true}},
		"address":           {&Failure{Listen, true, errPasses}, lastLine{lastMessage, "listen", "taken", 4, true}},
		"disk":              {&Failure{Disk, false, errLasts}, lastLine{lastMessage, "disk", "not a directory", 5, false}},
		"listener":          {&Failure{Serve, true, errPasses}, lastLine{lastMessage, "serve", "taken", 6, true}},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			status := End(&log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: &out}}, c.failure)
			require.Equal(t, c.want, readLast(t, &out))
			require.Equal(t, c.want.Status, int(status))
		})
	}
}

// TestPanicReport has a goroutine panic: the last line has the step, the cause and the status.
func TestPanicReport(t *testing.T) {
	var out bytes.Buffer
	exited := make(chan int, 1)
	current.Store(newReporter(&log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: &out}}, func(status int) { exited <- status }))
	defer current.Store(nil)
	Enter(Serve)
	Go(func() { panic("first") })
	require.Equal(t, int(StatusPanic), <-exited)
	require.Equal(t, lastLine{lastMessage, "serve", "panic: first", 2, true}, readLast(t, &out))
	require.Contains(t, out.String(), "TestPanicReport", "the stack")
}
