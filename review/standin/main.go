// Command standin plays one case of the review: it starts brokers as processes, as deploy/system.toml does, on loopback
// addresses, and plays their clients, servers, platform and operator by the published protocol. It exits with 1 if the
// case's rule was broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	timeLimit = 115 * time.Second
)

// cases are the scenarios by the name on the command line. trouble says whether to cause the disruption.
var cases = map[string]func(w *world, trouble bool) error{
	"keys":        playKeys,
	"ends":        playEnds,
	"services":    playServices,
	"descriptors": playDescriptors,
	"timeouts":    playTimeouts,
	"failures":    playFailures,
	"voters":      playVoters,
	"founding":    playFounding,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(couldNot)
	}
	record, err := os.Create(filepath.Clean(os.Args[2]))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	time.AfterFunc(timeLimit, func() {
		w.note("the case did not end in %v", timeLimit)
		w.close()
		os.Exit(couldNot)
	})
	err = cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	w.close()
	code := w.verdict(err)
	record.Close()
	os.Exit(code)
}
