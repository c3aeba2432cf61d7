package balance

import (
	"fmt"
	"testing"
)

// promptOf returns a prompt without shared parts, for the instances of newFleet.
func promptOf(tokens float64) *Prompt {
	p := &Prompt{Tokens: tokens, CachedTokens: map[string]float64{}, WeightsVersions: map[string]int64{}}
	for i := range 6 {
		p.WeightsVersions[fmt.Sprint("l", i)] = 1
	}
	return p
}

// limitsWithNotes returns a deployment in which brokers notify each other of the work that they send.
func limitsWithNotes() Fleet {
	fleet := limits()
	fleet.PeerNotes = true
	return fleet
}

// TestNotesOfLongPrompts passes one broker's notes to another. A prompt that occupies an instance for long is broadcast
// to all brokers, and the estimated backlog at the other broker decreases over time until the prompt has been processed.
func TestNotesOfLongPrompts(t *testing.T) {
	sender, receiver := newFleet(t, limitsWithNotes()), newFleet(t, limitsWithNotes())
	receiver.arrive("chat", promptOf(100)) // so that the receiver knows that these instances process prompts
	for at, tokens := range []float64{100, 20000} {
		_, sent := sender.arrive("chat", promptOf(tokens))
		notes := sender.b.Notes()
		if len(notes) != 1 || notes[0].Broadcast != (at == 1) {
			t.Fatalf("a prompt of %.0f tokens: %d notes, %+v", tokens, len(notes), notes)
		}
		if at == 0 {
			continue
		}
		receiver.b.ReceiveNote(receiver.now, notes[0].Payload)
		for _, passed := range []float64{0, 150, 300, 500} {
			receiver.now = passed
			_, commands := receiver.b.Arrive(receiver.now, Request{Route: receiver.route("chat"), Service: "llm", TimeLeft: 10000,
				Permitted: []string{sent.Instance}, Restricted: true, Prompt: promptOf(1)})
			want := max(0, sent.Work-passed)
			if got := commands[0].Backlog; got < want-10 || got > want+10 {
				t.Errorf("after %.0f ms of a prompt of %.0f ms: estimated backlog %.0f ms", passed, sent.Work, got)
			}
		}
	}
}

// TestNotesOfPlainWork checks that the backlog of short requests, as notes report it, decays with the latency: an instance
// works on several requests concurrently.
func TestNotesOfPlainWork(t *testing.T) {
	sender, receiver := newFleet(t, limitsWithNotes()), newFleet(t, limitsWithNotes())
	for range 20 {
		_, sent := sender.arrive("post", nil)
		for _, note := range sender.b.Notes() {
			if note.Broadcast {
				t.Errorf("short work of %.0f ms is broadcast to all brokers", sent.Work)
			}
			receiver.b.ReceiveNote(receiver.now, note.Payload)
		}
	}
	receiver.now = 200
	if _, c := receiver.arrive("post", nil); c.Backlog > 10 {
		t.Errorf("after 200 ms: estimated backlog %.0f ms", c.Backlog)
	}
}
