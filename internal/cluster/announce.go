package cluster

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"gullstair/internal/delta"
	"gullstair/internal/dissemination"
	"gullstair/internal/peerlink"
	"gullstair/internal/register"
)

const (
	fetchAgain   = 20 * time.Millisecond // when a holder did not have an announced value yet
	fetchTimeout = time.Minute           // for a value that comes without a pause
)

// registerID names the record of the register's value.
var registerID = dissemination.ID{Kind: RegisterRecord, Key: registerKey}

// announce tells all brokers that a value is chosen, and waits until all who are alive have it or the context ends. A small one
// goes along; a large one they have from the replicas that accepted it, since whoever proposed it may have a thin link.
func (n *Node) announce(ctx context.Context, known register.Known, holders []string) Told {
	record := recordOf(known)
	announced := &peerlink.Announced{Version: record.Version, Ballot: known.Ballot, Holders: holders, Chosen: n.chosen(known)}
	n.putQuietly([]dissemination.Record{record})
	return n.tellEverybody(ctx, peerlink.Message{Announced: announced}, Told.All)
}

// mostChosen is the most bytes of a value that goes along with its announcement.
const mostChosen = 8 << 10

// chosen is a value as it differs from the one before it, which most brokers have; nil: it is not small.
func (n *Node) chosen(known register.Known) *peerlink.Chosen {
	before, _ := n.Known()
	base, isDocument := n.payloads.remember(before.Value.Payload)
	if !isDocument {
		return nil
	}
	patch := n.payloads.patch(known.Value.Payload, base.Sum())
	if patch == nil || len(patch) > mostChosen {
		return nil
	}
	c := &peerlink.Chosen{From: before.Value.Sequence, Patch: patch}
	if !before.Value.Members.Equal(known.Value.Members) || !slices.EqualFunc(before.Value.Voted, known.Value.Voted, slices.Equal) {
		c.Members, c.Voted = &known.Value.Members, known.Value.Voted
	}
	return c
}

// takeChosen puts a value in force that came with its announcement; false: what it is made from is not here.
func (n *Node) takeChosen(m *peerlink.Announced) bool {
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
	n.putQuietly([]dissemination.Record{recordOf(register.Known{Ballot: m.Ballot, Value: value})})
	return true
}

// answerAnnounced takes an announced value, from this machine's replica or from another one's if it does not go along, and answers
// once it is here; Lacks: it is not to be had in time.
func (n *Node) answerAnnounced(m *peerlink.Announced) *peerlink.Message {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	heading := dissemination.Heading{ID: registerID, Version: m.Version}
	if !n.stillLacks(heading) || n.takeChosen(m) {
		return &peerlink.Message{}
	}
	if n.replica != nil {
		if accepted := n.replica.accepted(); accepted.Ballot == m.Ballot {
			n.putQuietly([]dissemination.Record{recordOf(accepted)})
		}
	}
	holders := slices.DeleteFunc(slices.Clone(m.Holders), func(ip string) bool { return ip == n.self.IP })
	for n.stillLacks(heading) {
		if len(holders) == 0 || ctx.Err() != nil {
			return &peerlink.Message{Lacks: true}
		}
		_, changed := n.Known()
		go n.fetchRegister(holders[rand.IntN(len(holders))], false) // which goes on when this call has been answered
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(fetchAgain):
		}
	}
	return &peerlink.Message{}
}

func (n *Node) stillLacks(heading dissemination.Heading) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lacks(heading)
}

// fetchRegister takes the newest value of the register that another broker knows; from one at a time, since two copies would
// share the link. If that fails others are asked for it, and reconciliation brings it. push: others are to be offered it.
func (n *Node) fetchRegister(from string, push bool) {
	if !n.fetching.CompareAndSwap(false, true) {
		return
	}
	defer n.fetching.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	message := peerlink.Message{Records: &peerlink.Records{From: n.self.IP, Wanted: []dissemination.ID{registerID}}}
	message.Has = n.base()
	answer, err := n.client.CallWhile(ctx, n.settings.PeerAddress(from), message, callTimeout)
	if err == nil && answer.Records != nil && n.restore(answer) {
		n.put(answer.Records.Records, from, push)
	}
}

// give returns records that are asked for; the register's value as a patch, where the asker has a payload that is known here.
func (n *Node) give(wanted []dissemination.ID, has *delta.Sum) *peerlink.Message {
	n.mu.Lock()
	records := n.store.Take(wanted)
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

// restore puts the payload back into the register's value among records; false: its base is not here any more.
func (n *Node) restore(reply *peerlink.Message) bool {
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
