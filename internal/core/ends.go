package core

import "gullstair/logic"

// EndReason is the reason why a dispatch ended, which includes the state of its connection. Outcome alone
// defines how each reason is reported to the module.
type End uint8

const (
	Answered      End = iota + 1 // the node returned a result
	AnsweredError                // the node returned an error
	TurnedAway                   // the node rejected it without running it
	NoAddress                    // the list has no address that can be dialled
	DialRefused                  // the connection was refused or reset
	DialTimedOut                 // the connection was not established in time
	NoRoom                       // the queue or the connections of the peer are full
	TooLate                      // it waited for a connection until after the latest time at which it may be written
	WriteBroke                   // the connection broke before the frame's last byte was written
	PeerClosed                   // the node closed the connection while the dispatch was outstanding
	ReadBroke                    // the connection broke while the dispatch was outstanding
	BadFrame                     // the node sent an invalid frame, and the connection was closed
	NotUsable                    // the node reported that it cannot use a frame, and closes the connection
	OutOfTime                    // its timeout passed
	TakenBack                    // the module recalled it, or its scan ended
	NeverSent                    // its scan had ended, its deadline had passed, or the limit on dispatches was reached
	Withdrawn                    // its node began to drain or left before the first byte of the frame was written
)

var endInfo = [...]struct {
	word    string
	outcome logic.Outcome
}{
	Answered:      {"answered", logic.Completed},
	AnsweredError: {"answered with an error", logic.Errored},
	TurnedAway:    {"turned away", logic.Saturated},
	NoAddress:     {"no address", logic.ConnRefused},
	DialRefused:   {"connection refused", logic.ConnRefused},
	DialTimedOut:  {"connection timed out", logic.ConnRefused},
	NoRoom:        {"no room", logic.ConnRefused},
	TooLate:       {"too late to be written", logic.Superseded},
	WriteBroke:    {"broke before it was written", logic.ConnRefused},
	PeerClosed:    {"connection closed", logic.Severed},
	ReadBroke:     {"connection broke", logic.Severed},
	BadFrame:      {"bad frame", logic.Severed},
	NotUsable:     {"frame not usable", logic.Severed},
	OutOfTime:     {"out of time", logic.Overdue},
	TakenBack:     {"recalled", logic.Recalled},
	NeverSent:     {"never sent", logic.Superseded},
	Withdrawn:     {"withdrawn", logic.Superseded},
}

// Outcome returns the outcome that is reported to the module for e.
func (e End) Outcome() logic.Outcome { return endInfo[e].outcome }

func (e End) String() string {
	if int(e) < len(endInfo) && endInfo[e].word != "" {
		return endInfo[e].word
	}
	return "unknown end"
}
