// Package peerlink carries the brokers' own protocol: calls and their replies as encoding/gob streams in frames, over
// TCP connections that are kept open. Types are described once on each; encoders and decoders are shared by all.
package peerlink

import (
	"time"

	"gullstair/internal/delta"
	"gullstair/internal/dissemination"
	"gullstair/internal/register"
)

// Message is a call or its reply; one of the pointers is set.
type Message struct {
	ID    uint64
	Reply bool

	Digest   *Digest
	Headings *Headings
	Records  *Records
	Prepare  *register.Prepare
	Promise  *register.Promise
	Accept   *register.Accept
	Accepted *register.Accepted
	Found    *Found

	Patched   *Patched
	Announced *Announced
	Lacks     bool // in a reply: what the call builds on is not here

	Delta     *Delta
	Has       *delta.Sum // of a payload that the caller has: the reply's may be a patch on it
	Sections  []byte     // in a reply, a patch in place of the payload of its value
	Relay     *Relay     // in a call: it is to be passed on
	Confirmed int        // in a reply to a relayed call: how many have it
}

// bodies are what the message holds of types that its own does not name.
func (m *Message) bodies() []any {
	if m.Records == nil {
		return nil
	}
	out := make([]any, 0, len(m.Records.Records))
	for _, r := range m.Records.Records {
		out = append(out, r.Body)
	}
	return out
}

// Patched is an Accept of an earlier release, whose value has its payload as a patch on bytes that are not kept any more.
type Patched struct {
	Accept register.Accept
}

// Delta is an Accept whose value has its payload as a patch of sections.
type Delta struct {
	Accept register.Accept
	Patch  []byte
}

// Announced tells that a value of the register is chosen, and who has it.
type Announced struct {
	Version dissemination.Version
	Ballot  register.Ballot
	Holders []string // addresses of the machines whose replicas accepted it
	Chosen  *Chosen  // the value itself, where it is small
}

// Chosen is a value as it differs from an earlier one.
type Chosen struct {
	From    uint64            // sequence of the value that it is made from
	Members *register.Members // nil: these, and Voted, are as in that one
	Voted   [][]register.Replica
	Patch   []byte
}

// Relay has a call passed on: each broker that gets it calls some of those that are named, which pass it on to the others.
type Relay struct {
	To     []string // addresses
	Within time.Duration
}

// Digest opens a reconciliation. View is a sample of the sender's partial view of the fleet.
type Digest struct {
	From   string // address of the sender's machine
	Digest dissemination.Digest
	View   []string
}

// Headings answers a Digest with what is held in the parts that differ.
type Headings struct {
	Digest   dissemination.Digest
	Headings []dissemination.Heading
	View     []string
}

// Records brings records, asks for others, and offers those that are too large to be sent unasked.
type Records struct {
	From    string
	Records []dissemination.Record
	Wanted  []dissemination.ID
	Offered []dissemination.Heading
}

// Found tells a replica that the register's first set of members has been decided, and answers with what it holds.
type Found struct {
	Members register.Members
	Self    register.Replica // in the reply
	Taken   bool             // in the reply
}
