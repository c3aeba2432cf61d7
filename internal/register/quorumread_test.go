package register

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestLookFindsWhatIsChosen checks when a quorum read returns a newer value: only if a majority of each set that the
// value was proposed to has accepted it and no higher ballot was seen.
func TestLookFindsWhatIsChosen(t *testing.T) {
	replicas, old := fourReplicasThreeVoters()
	moved := Single(replicas[0], replicas[1], replicas[3])
	known := Known{Ballot: Ballot{Counter: 5}, Value: Value{Sequence: 2, Members: old}}
	newer := Known{Ballot: Ballot{Counter: 7}, Value: Value{Sequence: 3, Members: old, Payload: []byte("newer")}}
	byMove := Known{Ballot: Ballot{Counter: 7}, Value: Value{Sequence: 3, Members: moved, Voted: [][]Replica{old.Sets[0], moved.Sets[0]}}}
	higher := Known{Ballot: Ballot{Counter: 9}, Value: Value{Sequence: 4, Members: old}}
	for name, c := range map[string]struct {
		answers []Known // accepted values, in the order of the replicas
		want    bool
	}{
		"a minority has accepted it":         {[]Known{newer, known, known}, false},
		"a majority has accepted it":         {[]Known{newer, known, newer}, true},
		"one has accepted a newer value":     {[]Known{newer, higher, newer}, false},
		"after a move, only the old set has": {[]Known{known, byMove, byMove}, false},
		"after a move, only the new set has": {[]Known{byMove, known, known, byMove}, false},
		"after a move, both sets have":       {[]Known{byMove, byMove, known}, true},
		"all have the known value":           {[]Known{known, known, known}, false},
	} {
		read := NewQuorumRead(known)
		for at, accepted := range c.answers {
			promise := Promise{From: replicas[at], Accepted: accepted.Ballot}
			if accepted.Ballot != known.Ballot {
				promise.Value = &accepted.Value
			}
			read.Receive(promise)
		}
		if newest, chosen := read.NewestChosen(); chosen != c.want || chosen && newest.Value.Sequence != 3 {
			t.Errorf("%s: chosen %t, value %d", name, chosen, newest.Value.Sequence)
		}
	}
}

// readSimulation has five acceptors, and rounds and quorum reads whose messages arrive in any order or never.
type readSimulation struct {
	rng        *rand.Rand
	acceptors  map[Replica]*Acceptor
	inFlight   []func()
	known      Known
	chosen     map[uint64]string
	newest     uint64 // sequence of the newest value that a round saw chosen
	served     int
	violations []string
}

// TestLooksAtAnyTime starts quorum reads at random times while rounds overlap. The value that a read returns must be
// chosen, and no older than any value known to be chosen before the read started.
func TestLooksAtAnyTime(t *testing.T) {
	served := 0
	for seed := range uint64(400) {
		w := &readSimulation{rng: rand.New(rand.NewPCG(seed, 17)), acceptors: map[Replica]*Acceptor{}, chosen: map[uint64]string{}}
		var replicas []Replica
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			replicas = append(replicas, Replica{name, 1})
		}
		w.known = Known{Ballot: Ballot{Counter: 1}, Value: Value{Members: Single(replicas...)}}
		for _, r := range replicas {
			w.acceptors[r] = &Acceptor{Self: r, State: State{Promised: w.known.Ballot, Accepted: w.known.Ballot, Value: w.known.Value},
				Persist: func(State) error { return nil }}
		}
		w.run()
		served += w.served
		for _, f := range w.violations {
			t.Errorf("seed %d: %s", seed, f)
		}
	}
	if served < 400 {
		t.Errorf("only %d quorum reads returned a value", served)
	}
}

func (w *readSimulation) run() {
	for step := range 400 {
		switch {
		case step%20 == 0:
			w.startAttempt(Ballot{Counter: uint64(step + 2), Proposer: uint64(step)})
		case step%7 == 0:
			w.startRead()
		case len(w.inFlight) > 0:
			at := w.rng.IntN(len(w.inFlight))
			deliver := w.inFlight[at]
			w.inFlight = append(w.inFlight[:at:at], w.inFlight[at+1:]...)
			if w.rng.IntN(10) > 0 {
				deliver()
			}
		}
	}
}

func (w *readSimulation) send(deliver func()) { w.inFlight = append(w.inFlight, deliver) }

func (w *readSimulation) startAttempt(ballot Ballot) {
	r := NewRound(ballot, w.known.Value.Members, w.known, func(present Value) (Value, bool, error) {
		return Value{Sequence: present.Sequence + 1, Members: present.Members, Payload: []byte(fmt.Sprint(ballot))}, true, nil
	})
	accept := func(m Accept) {
		w.send(func() {
			answer := w.acceptors[m.To].Accept(m)
			w.send(func() {
				before := r.Phase
				if r.Accepted(answer); r.Phase == Chosen && before != Chosen {
					w.recordChosen(Known{ballot, r.Value})
				}
			})
		})
	}
	for _, m := range r.Prepares() {
		w.send(func() {
			answer := w.acceptors[m.To].Prepare(m)
			w.send(func() {
				for _, next := range r.Promise(answer) {
					accept(next)
				}
			})
		})
	}
}

func (w *readSimulation) recordChosen(k Known) {
	w.recordValue(k.Value)
	w.newest = max(w.newest, k.Value.Sequence)
	if w.rng.IntN(3) == 0 && k.Value.Sequence > w.known.Value.Sequence {
		w.known = k // others learn the value late
	}
}

func (w *readSimulation) recordValue(v Value) {
	if was, known := w.chosen[v.Sequence]; known && was != string(v.Payload) {
		w.violations = append(w.violations, fmt.Sprintf("sequence %d has two values, %s and %s", v.Sequence, was, v.Payload))
	}
	w.chosen[v.Sequence] = string(v.Payload)
}

func (w *readSimulation) startRead() {
	read, known, newest, finished := NewQuorumRead(w.known), w.known, w.newest, false
	for _, m := range read.Requests() {
		w.send(func() {
			answer := w.acceptors[m.To].Prepare(m)
			w.send(func() {
				if read.Receive(answer); finished || !read.Done() {
					return
				}
				finished = true
				value := known.Value
				if found, chosen := read.NewestChosen(); chosen {
					value = found.Value
				} else if !read.StillNewest() {
					return // the caller would start a round
				}
				w.served++
				w.recordValue(value)
				if value.Sequence < newest {
					w.violations = append(w.violations, fmt.Sprintf("a quorum read returned value %d, but value %d was chosen before it started", value.Sequence, newest))
				}
			})
		})
	}
}
