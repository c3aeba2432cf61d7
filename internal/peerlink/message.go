// Package peerlink implements the protocol between brokers: calls and replies, encoded with encoding/gob and sent in
// frames over persistent TCP connections. Each connection carries the type definitions once; all connections share
// encoders and decoders.
package peerlink

import (
	"time"

	"gullstair/internal/delta"
	"gullstair/internal/dissemination"
	"gullstair/internal/founding"
	"gullstair/internal/register"
)

// Message is a call or a reply. One of its pointers is set.
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
	Lacks     bool // in a reply: the replying broker lacks the base of the patch in the call, or the announced value

	Delta     *Delta
	Has       *delta.Sum // checksum of a payload that the caller has; the reply may hold a patch on it
	Sections  []byte     // in a reply: a patch that replaces the payload of its value
	Relay     *Relay     // in a call: the receiver relays it
	Confirmed int        // in a reply to a relayed call: the number of brokers that have confirmed it
	Survey    *Survey
	Surveyed  *founding.Report // the reply to a Survey
	Stored    bool             // in a reply: the records of the call, which has Store set, are on the replying broker's disk
}

// bodies returns the values that the message holds in interface fields.
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

// Patched is an Accept of an earlier release. Its payload is a patch on bytes that brokers no longer keep.
type Patched struct {
	Accept register.Accept
}

// Delta is an Accept whose payload is a patch of sections.
type Delta struct {
	Accept register.Accept
	Patch  []byte
}

// Announced announces that a value of the register is chosen, and names brokers that hold it.
type Announced struct {
	Version dissemination.Version
	Ballot  register.Ballot
	Holders []string // addresses of the machines whose replicas accepted the value
	Chosen  *Chosen  // the value itself if it is small
}

// Chosen is a chosen value as the difference from an earlier one.
type Chosen struct {
	From    uint64            // sequence of the earlier value
	Members *register.Members // nil if Members and Voted are unchanged
	Voted   [][]register.Replica
	Patch   []byte
}

// Relay marks a call that is relayed: the receiver calls some of the listed brokers, which relay the call to the
// others.
type Relay struct {
	To     []string // addresses
	Within time.Duration
}

// Digest starts a reconciliation. View is a sample of the sender's partial view of the fleet.
type Digest struct {
	From   string // address of the sender's machine
	Digest dissemination.Digest
	View   []string
}

// Headings is the reply to a Digest. It lists the records in the buckets that differ.
type Headings struct {
	Digest   dissemination.Digest
	Headings []dissemination.Heading
	View     []string
}

// Records sends records, requests others, and offers records that are too large to be sent unrequested.
type Records struct {
	From    string
	Records []dissemination.Record
	Wanted  []dissemination.ID
	Offered []dissemination.Heading
	Store   bool // the receiver stores the records on its disk before it replies
}

// Found sends the first members of the register to a replica. The reply reports whether the replica has stored them.
type Found struct {
	Members register.Members
	Self    register.Replica // in the reply
	Taken   bool             // in the reply
}

// Survey asks a machine what it knows of the founding of the register. A machine that takes part in it promises the ballot.
type Survey struct {
	Ballot register.Ballot
}
