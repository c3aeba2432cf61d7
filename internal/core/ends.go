package core

import "gullstair/logic"

// EndReason is the reason why a dispatch ended, which includes the state of its connection. Outcome alone
// defines how each reason is reported to the module.
type EndReason uint8

const (
	Answered      EndReason = iota + 1 // the node returned a result
	AnsweredError                      // the node returned an error
	Rejected                           // the node rejected it without running it
	NoAddress                          // the list has no address that can be dialled
	DialRefused                        // the connection was refused or reset
	DialTimedOut                       // the connection was not established in time
	QueueFull                          // the queue or the connections of the peer are full
	WriteExpired                       // it waited for a connection until after the latest time at which it may be written
	WriteFailed                        // the connection broke before the frame's last byte was written
	PeerClosed                         // the node closed the connection while the dispatch was outstanding
	ReadFailed                         // the connection broke while the dispatch was outstanding
	BadFrame                           // the node sent an invalid frame, and the connection was closed
	FrameRejected                      // the node reported that it cannot use a frame, and closes the connection
	TimedOut                           // its timeout passed
	Recalled                           // the module recalled it, or its scan ended
	NeverSent                          // its scan had ended, its deadline had passed, or the limit on dispatches was reached
	NodeRemoved                        // its node began to drain or left before the first byte of the frame was written
)

var endInfo = [...]struct {
	word    string
	outcome logic.Outcome
}{
	Answered:      {"answered", logic.Completed},
	AnsweredError: {"answered with an error", logic.Errored},
	Rejected:      {"turned away", logic.Saturated},
	NoAddress:     {"no address", logic.ConnRefused},
	DialRefused:   {"connection refused", logic.ConnRefused},
	DialTimedOut:  {"connection timed out", logic.ConnRefused},
	QueueFull:     {"no room", logic.ConnRefused},
	WriteExpired:  {"too late to be written", logic.Superseded},
	WriteFailed:   {"broke before it was written", logic.ConnRefused},
	PeerClosed:    {"connection closed", logic.Severed},
	ReadFailed:    {"connection broke", logic.Severed},
	BadFrame:      {"bad frame", logic.Severed},
	FrameRejected: {"frame not usable", logic.Severed},
	TimedOut:      {"out of time", logic.Overdue},
	Recalled:      {"recalled", logic.Recalled},
	NeverSent:     {"never sent", logic.Superseded},
	NodeRemoved:   {"withdrawn", logic.Superseded},
}

// Outcome returns the outcome that is reported to the module for e.
func (e EndReason) Outcome() logic.Outcome { return endInfo[e].outcome }

func (e EndReason) String() string {
	if int(e) < len(endInfo) && endInfo[e].word != "" {
		return endInfo[e].word
	}
	return "unknown end"
}
