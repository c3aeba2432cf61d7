package main

import (
	"os"
	"os/signal"
	"syscall"
)

// catchSignals catches the given signals until the process exits; the channel buffers up to size of them. They are
// never reset to their defaults: one that arrives during the exit would end the process with an error.
func catchSignals(size int, which ...os.Signal) <-chan os.Signal {
	surviveBrokenPipes()
	signals := make(chan os.Signal, size)
	signal.Notify(signals, which...)
	return signals
}

// surviveBrokenPipes lets a process outlive the reader of its log: by default, a write to standard output or standard
// error that nobody reads any more ends it. The signal is caught and not ignored, since child processes inherit ignored
// signals.
func surviveBrokenPipes() { signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE) }
