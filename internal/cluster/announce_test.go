package cluster

import (
	"bytes"
	"errors"
	"testing"

	"gullstair/internal/dissemination"
	"gullstair/internal/peerlink"
	"gullstair/internal/register"
	"gullstair/internal/sections"
)

// unpacked is a Packing that leaves payloads as they are.
type unpacked struct{}

var errNoDocument = errors.New("no document")

func (unpacked) Pack(payload []byte) []byte { return payload }

func (unpacked) Unpack(text []byte) ([]byte, error) {
	if len(text) > 0 && !sections.IsDocument(text) {
		return nil, errNoDocument
	}
	return text, nil
}

// newNodeWithValue returns a node that knows a value and makes no calls.
func newNodeWithValue(known register.Known) *Node {
	n := &Node{store: dissemination.New(), knownChanged: make(chan struct{}), payloads: payloads{packing: unpacked{}}}
	n.putWithoutPush([]dissemination.Record{recordOf(known)})
	return n
}

// valueOf returns a value with a long section and a short one.
func valueOf(sequence uint64, lease string, voters ...string) register.Known {
	var set []register.Replica
	for _, ip := range voters {
		set = append(set, register.Replica{Address: ip, Disk: 7})
	}
	payload := sections.New(sections.Section{Name: "configuration", Version: 3, Body: bytes.Repeat([]byte("route"), 1000)},
		sections.Section{Name: "leases", Version: sequence, Body: []byte(lease)}).Text()
	return register.Known{Ballot: register.Ballot{Counter: sequence + 2, Proposer: 1}, Value: register.Value{Sequence: sequence, Members: register.Single(set...), Payload: payload}}
}

// announcedBy returns the announcement of a value by a node that knows the one before it.
func announcedBy(before, next register.Known) *peerlink.Announced {
	return &peerlink.Announced{Version: recordOf(next).Version, Ballot: next.Ballot, Chosen: newNodeWithValue(before).inlineValue(next)}
}

// TestChosenIsMadeFromItsBase applies values that come with their announcement. The node must end up with exactly the
// chosen value and its voters, or refuse the value and fetch it.
func TestChosenIsMadeFromItsBase(t *testing.T) {
	first, renewed := valueOf(4, "one", "a", "b", "c"), valueOf(5, "two", "a", "b", "c")
	moved := valueOf(6, "two", "a", "b", "d") // the payload of renewed, but with the section version of moved
	moved.Value.Payload = renewed.Value.Payload
	later := valueOf(7, "three", "a", "b", "d")
	for name, c := range map[string]struct {
		has, before, next register.Known
		taken             bool
	}{
		"a lease renewed":                       {first, first, renewed, true},
		"the voters change with it":             {renewed, renewed, valueOf(6, "three", "a", "b", "d"), true},
		"other voters under the same payload":   {renewed, moved, later, false},
		"a value that has been missed":          {first, renewed, valueOf(6, "three", "a", "b", "c"), false},
		"another configuration is known":        {valueOf(4, "other", "a", "b", "c"), first, renewed, false},
		"made from the value that names others": {moved, moved, later, true},
	} {
		t.Run(name, func(t *testing.T) {
			n, announced := newNodeWithValue(c.has), announcedBy(c.before, c.next)
			if announced.Chosen == nil || len(announced.Chosen.Patch) > 120 {
				t.Fatalf("announced: %+v", announced.Chosen)
			}
			taken := n.applyInlineValue(announced)
			known, _ := n.Known()
			want := c.has
			if c.taken {
				want = c.next
			}
			if taken != c.taken || known.Ballot != want.Ballot || !known.Value.Members.Equal(want.Value.Members) || !bytes.Equal(known.Value.Payload, want.Value.Payload) {
				t.Errorf("taken %t: sequence %d, voters %v, ballot %v", taken, known.Value.Sequence, known.Value.Members, known.Ballot)
			}
		})
	}
}
