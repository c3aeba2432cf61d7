package main

import (
	"os"
	"os/signal"
)

// catchSignals catches the given signals until the process exits; the channel buffers up to size of them. They are
// never reset to their defaults: one that arrives during the exit would end the process with an error.
func catchSignals(size int, which ...os.Signal) <-chan os.Signal {
	signals := make(chan os.Signal, size)
	signal.Notify(signals, which...)
	return signals
}
