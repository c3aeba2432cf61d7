package cluster

import (
	"testing"

	"gullstair/internal/register"
)

// TestFoundingNamesDisks sends first members to a replica. The replica stores them once, only if they name its disk,
// and confirms again only for the same members or after a value was derived from them.
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
		disk    uint64
		state   register.State
		members register.Members
		want    bool
	}{
		"an empty replica takes them":             {1, register.State{}, members, true},
		"an empty one on another disk does not":   {7, register.State{}, members, false},
		"a repeated request":                      {1, taken, members, true},
		"other members from a second founder":     {1, taken, others, false},
		"a value derived from them is stored":     {1, further, members, true},
		"a replica that is not one of them":       {1, register.State{}, register.Single(register.Replica{Address: "b", Disk: 2}), false},
		"its own address under its own disk only": {2, taken, members, false},
	} {
		t.Run(name, func(t *testing.T) {
			a := acceptor(c.disk, c.state)
			if got := acceptFirstMembers(a, c.members); got != c.want {
				t.Errorf("taken: %t, want %t", got, c.want)
			}
			if c.want && a.State.Accepted == (register.Ballot{}) {
				t.Error("reported as stored, but nothing is on the disk")
			}
		})
	}
}
