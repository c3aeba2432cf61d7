package balance

import (
	"fmt"
	"testing"
)

// promptOf is a prompt without parts that others share, for the instances of newFleet.
func promptOf(tokens float64) *Prompt {
	p := &Prompt{Tokens: tokens, Held: map[string]float64{}, Group: map[string]int64{}}
	for i := range 6 {
		p.Group[fmt.Sprint("l", i)] = 1
	}
	return p
}

// telling are limits under which brokers tell each other of their work.
func telling() Fleet {
	fleet := limits()
	fleet.Notes = true
	return fleet
}

// TestNotesOfLongPrompts has one broker tell another of what it sent. That a prompt holds up an instance for long is for all
// to hear; until it is read the other broker takes as much of it for outstanding as time has not passed.
func TestNotesOfLongPrompts(t *testing.T) {
	sender, hearer := newFleet(t, telling()), newFleet(t, telling())
	hearer.arrive("chat", promptOf(100)) // it knows by now that these instances read prompts
	for at, tokens := range []float64{100, 20000} {
		_, sent := sender.arrive("chat", promptOf(tokens))
		notes := sender.b.Notes()
		if len(notes) != 1 || notes[0].Wide != (at == 1) {
			t.Fatalf("a prompt of %.0f tokens: %d notes, %+v", tokens, len(notes), notes)
		}
		if at == 0 {
			continue
		}
		hearer.b.Heard(hearer.now, notes[0].Text)
		for _, passed := range []float64{0, 150, 300, 500} {
			hearer.now = passed
			_, commands := hearer.b.Arrive(hearer.now, Request{Route: hearer.route("chat"), Service: "llm", Budget: 10000,
				Permitted: []string{sent.Instance}, Limited: true, Prompt: promptOf(1)})
			want := max(0, sent.Work-passed)
			if got := commands[0].Backlog; got < want-10 || got > want+10 {
				t.Errorf("after %.0f ms of a prompt of %.0f ms %.0f ms are taken for outstanding", passed, sent.Work, got)
			}
		}
	}
}

// TestNotesOfPlainWork fade with the latency: an instance works on several requests side by side.
func TestNotesOfPlainWork(t *testing.T) {
	sender, hearer := newFleet(t, telling()), newFleet(t, telling())
	for range 20 {
		_, sent := sender.arrive("post", nil)
		for _, note := range sender.b.Notes() {
			if note.Wide {
				t.Errorf("short work of %.0f ms is for all to hear", sent.Work)
			}
			hearer.b.Heard(hearer.now, note.Text)
		}
	}
	hearer.now = 200
	if _, c := hearer.arrive("post", nil); c.Backlog > 10 {
		t.Errorf("after 200 ms %.0f ms are taken for outstanding", c.Backlog)
	}
}
