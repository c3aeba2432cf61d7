package cluster

import (
	"cmp"
	"context"
	"slices"
	"time"

	"gullstair/internal/dissemination"
	"gullstair/internal/lifecycle"
	"gullstair/internal/peerlink"
	"gullstair/internal/register"
)

// exchangeLoop reconciles with one peer after another. Until the register's value is known it starts exchanges in
// quick succession and several at a time, since some peers may not have restarted yet.
func (n *Node) exchangeLoop(ctx context.Context) {
	for range startupExchanges {
		if n.registerKnown() || ctx.Err() != nil {
			break
		}
		lifecycle.Go(func() { n.exchange(ctx) })
		time.Sleep(startupSpacing)
	}
	n.repeat(ctx, exchangeInterval, n.exchange)
}

// Records returns all records of a kind.
func (n *Node) Records(kind byte) []dissemination.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.store.OfKind(kind)
}

// Publish stores a record and disseminates it.
func (n *Node) Publish(r dissemination.Record) { n.putAndPush([]dissemination.Record{r}, "") }

// Drop removes a record from the local store.
func (n *Node) Drop(id dissemination.ID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.store.Drop(id)
}

// putAndPush stores records that may be new and pushes the new ones to peers.
func (n *Node) putAndPush(records []dissemination.Record, from string) { n.put(records, from, true) }

// putWithoutPush stores records that reach the other brokers by other means.
func (n *Node) putWithoutPush(records []dissemination.Record) { n.put(records, "", false) }

func (n *Node) put(records []dissemination.Record, from string, push bool) {
	records = slices.DeleteFunc(slices.Clone(records), namesNoMembers)
	for _, r := range records {
		if known, isValue := r.Body.(register.Known); isValue {
			n.payloads.remember(known.Value.Payload) // other brokers may request a patch on it
		}
	}
	n.mu.Lock()
	var added, pushed []dissemination.Record
	for _, r := range records {
		if r.Kind == MemberRecord && r.Key == n.self.IP && from != "" {
			n.refute(r)
			continue
		}
		earlier, _ := n.store.Get(dissemination.ID{Kind: r.Kind, Key: r.Key})
		if !n.store.Put(r) {
			continue
		}
		added = append(added, r)
		if push && needsPush(r, earlier.Body) {
			pushed = append(pushed, r)
		}
		switch r.Kind {
		case MemberRecord:
			n.memberUpdated(r)
		case RegisterRecord:
			n.learnKnown(r)
		}
	}
	n.queue(pushed)
	n.mu.Unlock()
	for _, r := range added {
		for _, f := range n.recordHandlers {
			f(r)
		}
	}
}

// namesNoMembers reports whether a record is a value of the register that nobody could decide on.
func namesNoMembers(r dissemination.Record) bool {
	known, isValue := r.Body.(register.Known)
	return isValue && !known.Value.Members.Valid()
}

// refute raises this broker's epoch above that of a record that an earlier process at its address has published.
func (n *Node) refute(r dissemination.Record) {
	if r.Version.Epoch > n.epoch {
		n.epoch = r.Version.Epoch + 1
		n.sequence++
	}
}

// queue schedules a push of new records. n.mu is held.
func (n *Node) queue(records []dissemination.Record) {
	n.pendingPush = append(n.pendingPush, records...)
	if len(n.pendingPush) > 0 && !n.pushScheduled {
		n.pushScheduled = true
		time.AfterFunc(pushDelay, lifecycle.Guard(n.push))
	}
}

// needsPush reports whether a new record is pushed. Records that only renew earlier ones travel by reconciliation:
// pushing each renewal would cost every broker pushFanout calls, and the number of renewals grows with the fleet. A
// member's first records and its leaving record are pushed.
func needsPush(r dissemination.Record, earlier any) bool {
	switch body := r.Body.(type) {
	case Member:
		return r.Version.Sequence <= 2 || body.Leaving
	case dissemination.Renewer:
		return !body.Renews(earlier)
	}
	return true
}

// push sends new records to a few peers. Values of the register are large, and their proposer sends them to all
// brokers; push only offers them, and brokers that the proposer did not reach fetch them.
func (n *Node) push() {
	n.mu.Lock()
	message := peerlink.Records{From: n.self.IP}
	message.Records, message.Offered = withoutRegister(n.pendingPush)
	n.pendingPush, n.pushScheduled = nil, false
	targets := n.view.Pick(pushFanout)
	n.mu.Unlock()
	for _, ip := range targets {
		lifecycle.Go(func() { n.call(ip, peerlink.Message{Records: &message}) })
	}
}

// scheduleFetch schedules fetches of the records that a peer offers, for those that do not arrive by another way
// before offerGrace.
func (n *Node) scheduleFetch(offered []dissemination.Heading, from string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, heading := range offered {
		if !n.missingLocked(heading) || !n.pendingOffers[heading.ID].Less(heading.Version) {
			continue
		}
		n.pendingOffers[heading.ID] = heading.Version
		time.AfterFunc(offerGrace, lifecycle.Guard(func() { n.fetch(heading, from) }))
	}
}

// missingLocked reports whether a record is absent or older here. n.mu is held.
func (n *Node) missingLocked(heading dissemination.Heading) bool {
	record, known := n.store.Get(heading.ID)
	return !known || record.Version.Less(heading.Version)
}

// fetch requests an offered record from the peer that offered it, if it is still missing.
func (n *Node) fetch(heading dissemination.Heading, from string) {
	n.mu.Lock()
	if n.pendingOffers[heading.ID] == heading.Version {
		delete(n.pendingOffers, heading.ID)
	}
	missing := n.missingLocked(heading)
	n.mu.Unlock()
	if !missing {
		return
	}
	n.fetchRegister(from, true)
}

// exchange reconciles with one random peer, with a neighbor in the relay tree, or with a seed. A seed is used while
// the view is empty, and occasionally otherwise.
func (n *Node) exchange(context.Context) {
	n.mu.Lock()
	peer := ""
	if picked := n.view.Pick(1); len(picked) == 1 {
		peer = picked[0]
	}
	if n.exchangeCount++; n.exchangeCount%neighborEvery == 0 {
		n.mu.Unlock()
		neighbor := n.nextNeighbor()
		n.mu.Lock()
		peer = cmp.Or(neighbor, peer)
	}
	if peer == "" || n.random.IntN(16) == 0 {
		if seeds := n.otherSeeds(); len(seeds) > 0 {
			peer = seeds[n.random.IntN(len(seeds))]
		}
	}
	if peer == "" {
		n.mu.Unlock()
		return
	}
	mine := n.store.Digest()
	sample := n.view.Sample()
	n.mu.Unlock()
	reply, err := n.call(peer, peerlink.Message{Digest: &peerlink.Digest{From: n.self.IP, Digest: mine, View: sample}})
	if err != nil || reply.Headings == nil {
		n.peerFailed(peer)
		return
	}
	n.mu.Lock()
	n.view.Add(peer)
	n.view.Merge(reply.Headings.View)
	newer, wanted := n.store.Compare(reply.Headings.Digest, reply.Headings.Headings)
	n.mu.Unlock()
	small, offered := withoutRegister(newer)
	if at := slices.Index(wanted, registerID); at >= 0 {
		wanted = slices.Delete(wanted, at, at+1)
		lifecycle.Go(func() { n.fetchRegister(peer, true) })
	}
	if len(small) == 0 && len(wanted) == 0 && len(offered) == 0 {
		return
	}
	answer, err := n.call(peer, peerlink.Message{Records: &peerlink.Records{From: n.self.IP, Records: small, Wanted: wanted, Offered: offered}})
	if err == nil && answer.Records != nil {
		n.putAndPush(answer.Records.Records, peer)
	}
}

// withoutRegister separates records from the register's value, which is large and only offered.
func withoutRegister(records []dissemination.Record) (small []dissemination.Record, offered []dissemination.Heading) {
	for _, r := range records {
		if r.Kind == RegisterRecord {
			offered = append(offered, dissemination.Heading{ID: registerID, Version: r.Version})
		} else {
			small = append(small, r)
		}
	}
	return small, offered
}

func (n *Node) otherSeeds() []string {
	return slices.DeleteFunc(slices.Clone(n.seeds), func(ip string) bool { return ip == n.self.IP })
}

// peerFailed removes a peer that does not answer from the view, unless hardly any peers are left.
func (n *Node) peerFailed(peer string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.view.Len() > 3 {
		n.view.Remove(peer)
	}
}

func (n *Node) answerDigest(m *peerlink.Digest) *peerlink.Message {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.Add(m.From)
	n.view.Merge(m.View)
	return &peerlink.Message{Headings: &peerlink.Headings{Digest: n.store.Digest(), Headings: n.store.Headings(m.Digest),
		View: n.view.Sample()}}
}
