package cluster

import (
	"testing"

	"gullstair/internal/register"
)

// TestFoundingNamesDisks has a replica told of first members: it takes them once, only if they name its disk, and says so
// again for the same ones alone, or once something was made from them.
func TestFoundingNamesDisks(t *testing.T) {
	self := register.Replica{Address: "a", Disk: 1}
	members := register.Single(self, register.Replica{Address: "b", Disk: 2})
	others := register.Single(self, register.Replica{Address: "c", Disk: 3})
	acceptor := func(disk uint64, state register.State) *register.Acceptor {
		return &register.Acceptor{Self: register.Replica{Address: "a", Disk: disk}, State: state, Persist: func(register.State) error { return nil }}
	}
	taken := register.State{Accepted: firstBallot, Value: register.Value{Members: members}}
	further := register.State{Accepted: register.Ballot{Counter: 9}, Value: register.Value{Sequence: 4, Members: others}}
	for name, c := range map[string]struct {
		disk  uint64
		state register.State
		told  register.Members
		want  bool
	}{
		"an empty replica takes them":             {1, register.State{}, members, true},
		"an empty one on another disk does not":   {7, register.State{}, members, false},
		"told again":                              {1, taken, members, true},
		"told of others by a second founder":      {1, taken, others, false},
		"what was made from them is further on":   {1, further, members, true},
		"a replica that is none of them says so":  {1, register.State{}, register.Single(register.Replica{Address: "b", Disk: 2}), false},
		"its own address under its own disk only": {2, taken, members, false},
	} {
		t.Run(name, func(t *testing.T) {
			a := acceptor(c.disk, c.state)
			if got := takeFirst(a, c.told); got != c.want {
				t.Errorf("taken: %t, want %t", got, c.want)
			}
			if c.want && a.State.Accepted == (register.Ballot{}) {
				t.Error("said to be taken, and nothing is on the disk")
			}
		})
	}
}
