// Command simhost plays the bench's brokers: it reads event batches from standard input and
// writes one reply a batch to standard output, with one instance of the decision module for each broker.
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
			for _, act := range step(brk, batch.Now, turn.Events) {
				simwire.WriteAction(w, turn.Broker, act)
			}
		}
		simwire.WriteEnd(w)
		if err := w.Flush(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

// step turns a panic of one instance into its Fatal action: the others play on.
func step(brk *logic.Broker, now float64, events []logic.Event) (acts []logic.Action) {
	defer func() {
		if p := recover(); p != nil {
			acts = []logic.Action{{Kind: logic.Fatal, Text: fmt.Sprint("panic: ", p)}}
		}
	}()
	return brk.Step(now, events)
}
