package lifecycle

import (
	"fmt"
	"os"
	"runtime/debug"
	"sync/atomic"

	"github.com/phuslu/log"
)

// reporter writes the last line of a process that panics.
type reporter struct {
	logger *log.Logger
	step   atomic.Value // Step
	ended  atomic.Bool
	exit   func(int)
}

var current atomic.Pointer[reporter]

// ReportPanics makes panics in goroutines that Go or Guard has started end the process with its last line. Without it they
// end the process as Go's runtime does.
func ReportPanics(logger *log.Logger) { current.Store(newReporter(logger, os.Exit)) }

func newReporter(logger *log.Logger, exit func(int)) *reporter {
	r := &reporter{logger: logger, exit: exit}
	r.step.Store(Settings)
	return r
}

// Enter records the step of the process's life for the last line of a panic.
func Enter(step Step) {
	if r := current.Load(); r != nil {
		r.step.Store(step)
	}
}

// Go runs f in a goroutine whose panic ends the process with its last line.
func Go(f func()) { go Guard(f)() }

// Guard returns a function that calls f and ends the process with its last line if f panics. It is for callbacks that
// others run in goroutines of their own, such as those of timers.
func Guard(f func()) func() {
	return func() {
		defer ReportPanic()
		f()
	}
}

// ReportPanic ends the process with its last line if the calling function panics. It must be deferred.
func ReportPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	r := current.Load()
	if r == nil {
		panic(cause)
	}
	r.report(cause, debug.Stack())
}

// report writes the stack and the last line. A second panic at the same time waits for the exit.
func (r *reporter) report(cause any, stack []byte) {
	if r.ended.Swap(true) {
		select {}
	}
	step, _ := r.step.Load().(Step)
	last := lastLogger(r.logger)
	last.Error().Bytes("stack", stack).Msg("panic")
	writeLast(last.Error(), step, fmt.Sprint("panic: ", cause), StatusPanic).Bool("passes", true).Msg(lastMessage)
	r.exit(int(StatusPanic))
}
