// Package lifecycle is the one way out of a broker's process. It names the steps of a process's life and its exit statuses,
// waits for what a start needs and may still come, and writes the last line of the log: the step, the cause and the exit
// status, also if a goroutine panics, and what the process used of its machine. It starts goroutines and reads the clock.
package lifecycle

import (
	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"gullstair/internal/processusage"
)

// Step is a step of a process's life.
type Step string

// The steps, in their order.
const (
	Settings Step = "settings" // reads the settings file
	Disk     Step = "disk"     // locks the data directory and opens the replica
	Listen   Step = "listen"   // takes the addresses
	Serve    Step = "serve"    // serves clients, peers and operators
	Shutdown Step = "shutdown" // ends as asked
)

// Status is the exit status of a process.
type Status int

// The exit statuses. 1 is that of a command line that cannot be read, and of all other commands.
const (
	StatusEnded    Status = 0 // ended as asked, by SIGTERM or SIGINT
	StatusPanic    Status = 2 // a panic, or a fatal error of Go's runtime
	StatusSettings Status = 3 // the settings file is missing or invalid
	StatusListen   Status = 4 // an address cannot be taken
	StatusDisk     Status = 5 // the data directory cannot be used
	StatusServe    Status = 6 // a listener failed while the process served
)

var statuses = map[Step]Status{Settings: StatusSettings, Disk: StatusDisk, Listen: StatusListen, Serve: StatusServe, Shutdown: StatusEnded}

// ErrStopped means that the process was asked to end before it served.
var ErrStopped = errors.New("stopped before it served")

// Failure is the cause for which a process ends by itself, or ErrStopped.
type Failure struct {
	Step   Step
	Passes bool // the cause may pass by itself, so a later start may succeed
	Cause  error
}

// Error returns the step and the cause.
func (f *Failure) Error() string { return string(f.Step) + ": " + f.Cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Status returns the exit status.
func (f *Failure) Status() Status {
	if errors.Is(f.Cause, ErrStopped) {
		return StatusEnded
	}
	return statuses[f.Step]
}

// End writes the last line of a process and returns its exit status. failure is nil if the process ended as asked.
func End(logger *log.Logger, failure *Failure) Status {
	last := lastLogger(logger)
	if failure == nil {
		writeLast(last.Info(), Shutdown, "", StatusEnded).Msg(lastMessage)
		return StatusEnded
	}
	status, entry := failure.Status(), last.Error()
	if status == StatusEnded {
		entry = last.Info()
	}
	writeLast(entry, failure.Step, failure.Cause.Error(), status).Bool("passes", failure.Passes).Msg(lastMessage)
	return status
}

// lastLogger returns a logger for the last lines of a process, which are written at any level of the log.
func lastLogger(logger *log.Logger) *log.Logger {
	return &log.Logger{Level: log.InfoLevel, Writer: logger.Writer}
}

const lastMessage = "broker ended"

func writeLast(entry *log.Entry, step Step, cause string, status Status) *log.Entry {
	return processusage.Read().Log(entry.Str("step", string(step)).Str("cause", cause).Int("status", int(status)))
}
