package cluster

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"gullstair/internal/delta"
	"gullstair/internal/dissemination"
	"gullstair/internal/lifecycle"
	"gullstair/internal/peerlink"
	"gullstair/internal/register"
)

const (
	fetchRetryDelay = 20 * time.Millisecond // delay before the next fetch when a holder does not have an announced value yet
	fetchTimeout    = time.Minute           // for a value whose bytes keep arriving
)

// registerID identifies the record of the register's value.
var registerID = dissemination.ID{Kind: RegisterRecord, Key: registerKey}

// announce notifies all brokers that a value is chosen, and blocks until every live broker has it or the context ends.
// A small value is part of the announcement. Brokers fetch a large value from the replicas that accepted it, since the
// proposer's link may be slow.
func (n *Node) announce(ctx context.Context, known register.Known, holders []string) Delivery {
	record := recordOf(known)
	announced := &peerlink.Announced{Version: record.Version, Ballot: known.Ballot, Holders: holders, Chosen: n.inlineValue(known)}
	n.putWithoutPush([]dissemination.Record{record})
	return n.callAll(ctx, peerlink.Message{Announced: announced}, Delivery.All)
}

// maxInlineValue is the maximum size in bytes of a value that is sent within its announcement.
const maxInlineValue = 8 << 10

// inlineValue returns a value as the difference from the previous one, which most brokers have, or nil if it is not
// small.
func (n *Node) inlineValue(known register.Known) *peerlink.Chosen {
	before, _ := n.Known()
	base, isDocument := n.payloads.remember(before.Value.Payload)
	if !isDocument {
		return nil
	}
	patch := n.payloads.patch(known.Value.Payload, base.Sum())
	if patch == nil || len(patch) > maxInlineValue {
		return nil
	}
	c := &peerlink.Chosen{From: before.Value.Sequence, Patch: patch}
	if !before.Value.Members.Equal(known.Value.Members) || !slices.EqualFunc(before.Value.Voted, known.Value.Voted, slices.Equal) {
		c.Members, c.Voted = &known.Value.Members, known.Value.Voted
	}
	return c
}

// applyInlineValue rebuilds a value that came with its announcement and stores it. It returns false if this broker does
// not have the base of the difference.
func (n *Node) applyInlineValue(m *peerlink.Announced) bool {
	before, _ := n.Known()
	if m.Chosen == nil || before.Value.Sequence != m.Chosen.From || len(before.Value.Members.Sets) == 0 {
		return false
	}
	value := register.Value{Sequence: m.Version.Sequence - 1, Members: before.Value.Members, Voted: before.Value.Voted}
	if m.Chosen.Members != nil {
		value.Members, value.Voted = *m.Chosen.Members, m.Chosen.Voted
	}
	if !n.payloads.unpack(&value, m.Chosen.Patch) {
		return false
	}
	n.putWithoutPush([]dissemination.Record{recordOf(register.Known{Ballot: m.Ballot, Value: value})})
	return true
}

// answerAnnounced obtains an announced value and replies once it is stored. The value comes with the announcement,
// from this machine's replica or from another holder. The reply sets Lacks if the value cannot be obtained in time.
func (n *Node) answerAnnounced(m *peerlink.Announced) *peerlink.Message {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	heading := dissemination.Heading{ID: registerID, Version: m.Version}
	if !n.missing(heading) || n.applyInlineValue(m) {
		return &peerlink.Message{}
	}
	if n.replica != nil {
		if accepted := n.replica.accepted(); accepted.Ballot == m.Ballot {
			n.putWithoutPush([]dissemination.Record{recordOf(accepted)})
		}
	}
	holders := slices.DeleteFunc(slices.Clone(m.Holders), func(ip string) bool { return ip == n.self.IP })
	for n.missing(heading) {
		if len(holders) == 0 || ctx.Err() != nil {
			return &peerlink.Message{Lacks: true}
		}
		_, changed := n.Known()
		lifecycle.Go(func() { n.fetchRegister(holders[rand.IntN(len(holders))], false) }) // the fetch continues after this call is answered
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(fetchRetryDelay):
		}
	}
	return &peerlink.Message{}
}

func (n *Node) missing(heading dissemination.Heading) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.missingLocked(heading)
}

// fetchRegister fetches the newest register value that another broker knows. Only one fetch runs at a time, since two
// copies would share the link. If it fails, other brokers are queried, and reconciliation delivers the value
// eventually. push says whether the value is then offered to other brokers.
func (n *Node) fetchRegister(from string, push bool) {
	if !n.fetchingRegister.CompareAndSwap(false, true) {
		return
	}
	defer n.fetchingRegister.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	message := peerlink.Message{Records: &peerlink.Records{From: n.self.IP, Wanted: []dissemination.ID{registerID}}}
	message.Has = n.basePayload()
	answer, err := n.client.CallWithStallTimeout(ctx, n.settings.PeerAddress(from), message, callTimeout)
	if err == nil && answer.Records != nil && n.restorePayloads(answer) {
		n.put(answer.Records.Records, from, push)
	}
}

// serveRecords returns the requested records. The register's value is sent as a patch if the requester has a payload
// that is known here.
func (n *Node) serveRecords(wanted []dissemination.ID, has *delta.Sum) *peerlink.Message {
	n.mu.Lock()
	records := n.store.GetAll(wanted)
	n.mu.Unlock()
	reply := &peerlink.Message{Records: &peerlink.Records{From: n.self.IP, Records: records}}
	at := slices.IndexFunc(records, func(r dissemination.Record) bool { return r.Kind == RegisterRecord })
	if at < 0 {
		return reply
	}
	if known, ok := records[at].Body.(register.Known); ok {
		reply.Sections = n.payloads.pack(&known.Value, has)
		records[at].Body = known
	}
	return reply
}

// restorePayloads rebuilds the payload of a register value among the records of a reply. It returns false if this
// broker no longer has the patch's base.
func (n *Node) restorePayloads(reply *peerlink.Message) bool {
	for at, r := range reply.Records.Records {
		known, ok := r.Body.(register.Known)
		if !ok {
			continue
		}
		if !n.payloads.unpack(&known.Value, reply.Sections) {
			return false
		}
		reply.Records.Records[at].Body = known
	}
	return true
}
