// Command simhost runs the brokers of the simulator: it reads batches of events from standard input and writes one reply
// per batch to standard output, with one instance of the decision module per broker.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"gullstair/internal/simwire"
	"gullstair/logic"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

func serve(in io.Reader, out io.Writer) error {
	r := simwire.NewReader(in)
	w := bufio.NewWriterSize(out, 1<<16)
	brokers := map[int64]*logic.Broker{}
	for {
		batch, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for _, turn := range batch.Turns {
			if turn.Stopped {
				delete(brokers, turn.Broker)
			}
			if len(turn.Events) == 0 {
				continue
			}
			brk := brokers[turn.Broker]
			if brk == nil {
				brk = &logic.Broker{}
				brokers[turn.Broker] = brk
			}
			for _, act := range safeStep(brk, batch.Now, turn.Events) {
				simwire.WriteAction(w, turn.Broker, act)
			}
		}
		simwire.WriteEnd(w)
		if err := w.Flush(); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

// safeStep converts a panic of one instance to a Fatal action of that instance, so that the other brokers keep running.
func safeStep(brk *logic.Broker, now float64, events []logic.Event) (acts []logic.Action) {
	defer func() {
		if p := recover(); p != nil {
			acts = []logic.Action{{Kind: logic.Fatal, Text: fmt.Sprint("panic: ", p)}}
		}
	}()
	return brk.Step(now, events)
}
