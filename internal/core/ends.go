package core

import "gullstair/logic"

// End is how a dispatch, and with it what it travelled on, came to its end. Every way is one value here, and
// Outcome is the one place that says what the module is told of it.
type End uint8

const (
	Answered      End = iota + 1 // the node served it
	AnsweredError                // the node says that it failed
	TurnedAway                   // the node refused it unseen
	NoAddress                    // the list gave no address that can be dialled
	DialRefused                  // connecting was refused or reset
	DialTimedOut                 // the connection did not come up in time
	NoRoom                       // the peer's mailbox or its connections are full
	TooLate                      // it waited so long for a connection that it may not be written any more
	WriteBroke                   // the connection broke before the frame's last byte was written
	PeerClosed                   // the node closed the connection while the dispatch was out
	ReadBroke                    // the connection broke while it was out
	BadFrame                     // the node sent what is no frame: the connection was closed
	NotUsable                    // the node said that it could not use a frame, and closes
	OutOfTime                    // its time-out passed
	TakenBack                    // the module recalled it, or its scan ended
	NeverSent                    // its scan was over, its time was up, or it was one too many
	Withdrawn                    // its node began to drain, or went, before the frame's first byte was written
)

var ends = [...]struct {
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

// Outcome is the module's word for e.
func (e End) Outcome() logic.Outcome { return ends[e].outcome }

func (e End) String() string {
	if int(e) < len(ends) && ends[e].word != "" {
		return ends[e].word
	}
	return "unknown end"
}
