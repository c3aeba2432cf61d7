package register

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

// This file explores every state of a small model: two competing rounds over three acceptors, each message delivered at
// any time or never. In every order, the chosen values must agree.

type raceState struct {
	acceptors [3]State
	rounds    [2]*Round
	inFlight  []message
	chosen    []string
}

func (e *raceState) clone() *raceState {
	c := &raceState{acceptors: e.acceptors, inFlight: slices.Clone(e.inFlight), chosen: slices.Clone(e.chosen)}
	for i, r := range e.rounds {
		copied := *r
		copied.sets, copied.prepareSent = slices.Clone(r.sets), slices.Clone(r.prepareSent)
		copied.promises, copied.accepted = maps.Clone(r.promises), maps.Clone(r.accepted)
		c.rounds[i] = &copied
	}
	return c
}

// key identifies a state. The acceptors are interchangeable, so states that differ only in their order have one key.
func (e *raceState) key() string {
	var columns [3]string
	for i, a := range e.acceptors {
		replica := Replica{Address: fmt.Sprint(i), Disk: 1}
		column := fmt.Sprintf("%v %v %s", a.Promised, a.Accepted, a.Value.Payload)
		for _, r := range e.rounds {
			_, promised := r.promises[replica]
			column += fmt.Sprint(promised, r.accepted[replica])
		}
		var messages []string
		for _, m := range e.inFlight {
			if m.to == i {
				messages = append(messages, fmt.Sprint(m.from, describeMessage(m)))
			}
		}
		slices.Sort(messages)
		columns[i] = column + fmt.Sprint(messages)
	}
	slices.Sort(columns[:])
	key := strings.Join(columns[:], ";")
	for _, r := range e.rounds {
		key += fmt.Sprintf("|%d %s %v", r.Phase, r.Value.Payload, r.highestAccepted.Ballot)
	}
	return key
}

func describeMessage(m message) string {
	switch {
	case m.prepare != nil:
		return "p"
	case m.promise != nil:
		return fmt.Sprint("P", m.promise.Refused, m.promise.Accepted)
	case m.accept != nil:
		return fmt.Sprint("a", string(m.accept.Value.Payload))
	}
	return fmt.Sprint("A", m.accepted.Refused)
}

// deliver delivers the message at index i.
func (e *raceState) deliver(i int) *raceState {
	c := e.clone()
	m := c.inFlight[i]
	c.inFlight = slices.Delete(c.inFlight, i, i+1)
	acceptor := &Acceptor{Self: Replica{Address: fmt.Sprint(m.to), Disk: 1}, State: c.acceptors[m.to], Persist: func(State) error { return nil }}
	round := c.rounds[m.from]
	switch {
	case m.prepare != nil:
		promise := acceptor.Prepare(*m.prepare)
		c.inFlight = append(c.inFlight, message{from: m.from, to: m.to, promise: &promise})
	case m.accept != nil:
		accepted := acceptor.Accept(*m.accept)
		c.inFlight = append(c.inFlight, message{from: m.from, to: m.to, accepted: &accepted})
	case m.promise != nil:
		for _, a := range round.Promise(*m.promise) {
			c.inFlight = append(c.inFlight, message{from: m.from, to: acceptorIndex(a.To), accept: &a})
		}
	default:
		before := round.Phase
		round.Accepted(*m.accepted)
		if round.Phase == Chosen && before != Chosen {
			c.chosen = append(c.chosen, string(round.Value.Payload))
		}
	}
	c.acceptors[m.to] = acceptor.State
	return c
}

func TestEveryOrderOfTwoAttempts(t *testing.T) {
	var replicas []Replica
	for i := range 3 {
		replicas = append(replicas, Replica{Address: fmt.Sprint(i), Disk: 1})
	}
	members := Single(replicas...)
	first := State{Promised: Ballot{Counter: 1}, Accepted: Ballot{Counter: 1}, Value: Value{Members: members}}
	start := &raceState{acceptors: [3]State{first, first, first}}
	for i := range 2 {
		change := func(present Value) (Value, bool, error) {
			return Value{Sequence: present.Sequence + 1, Members: members, Payload: append(slices.Clone(present.Payload), byte('a'+i))}, true, nil
		}
		start.rounds[i] = NewRound(Ballot{Counter: 2, Proposer: uint64(i + 1)}, members, Known{Ballot: first.Accepted, Value: first.Value}, change)
		for _, m := range start.rounds[i].Prepares() {
			start.inFlight = append(start.inFlight, message{from: i, to: acceptorIndex(m.To), prepare: &m})
		}
	}
	seen := map[string]bool{start.key(): true}
	todo := []*raceState{start}
	both := false
	for len(todo) > 0 {
		e := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		for _, one := range e.chosen {
			for _, other := range e.chosen {
				if !strings.HasPrefix(one, other) && !strings.HasPrefix(other, one) {
					t.Fatalf("two chosen values disagree: %v", e.chosen)
				}
			}
		}
		both = both || len(e.chosen) == 2
		for i := range e.inFlight {
			next := e.deliver(i)
			if key := next.key(); !seen[key] {
				seen[key] = true
				todo = append(todo, next)
			}
		}
	}
	if !both {
		t.Fatal("no order lets both rounds choose a value")
	}
	t.Logf("%d states explored", len(seen))
}
