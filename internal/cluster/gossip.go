package cluster

import (
	"cmp"
	"context"
	"slices"
	"time"

	"gullstair/internal/dissemination"
	"gullstair/internal/peerlink"
	"gullstair/internal/register"
)

// exchanges reconciles with one peer after another. Until it knows the register's value it does so in quick succession
// and with several at a time: some may not be back yet.
func (n *Node) exchanges(ctx context.Context) {
	for range firstExchanges {
		if n.founded() || ctx.Err() != nil {
			break
		}
		go n.exchange(ctx)
		time.Sleep(firstSpacing)
	}
	n.every(ctx, exchangeEvery, n.exchange)
}

// Records returns all records of a kind.
func (n *Node) Records(kind byte) []dissemination.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.store.Of(kind)
}

// Publish puts a record in and spreads it.
func (n *Node) Publish(r dissemination.Record) { n.take([]dissemination.Record{r}, "") }

// Drop forgets a record here.
func (n *Node) Drop(id dissemination.ID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.store.Drop(id)
}

// Told says who has confirmed that it has a record.
type Told struct {
	Confirmed int  // of the other brokers that are alive
	Alive     int  // other brokers that are alive, as far as this one knows
	Quorum    bool // a majority of the register's voters, alive or not, has confirmed it
}

// All says whether everybody who is alive has confirmed.
func (t Told) All() bool { return t.Confirmed == t.Alive }

// PublishEverywhere spreads a record and waits until it is known widely enough, all who were asked have it, or the
// context ends. The voters are asked whether they seem alive or not: a broker that is cut off takes them for dead, and
// what it then says of all that are alive is about itself alone.
func (n *Node) PublishEverywhere(ctx context.Context, r dissemination.Record, enough func(Told) bool) Told {
	n.putQuietly([]dissemination.Record{r})
	return n.tellEverybody(ctx, peerlink.Message{Records: &peerlink.Records{From: n.self.IP, Records: []dissemination.Record{r}}}, enough)
}

// tellEverybody makes a call to all voters, each by itself, and has it passed on to the other brokers that are alive. A reply
// confirms it.
func (n *Node) tellEverybody(ctx context.Context, m peerlink.Message, enough func(Told) bool) Told {
	alive := n.otherAddresses()
	voters := n.otherVoters()
	others := slices.DeleteFunc(slices.Clone(alive), func(ip string) bool { return slices.Contains(voters, ip) })
	confirmations := make(chan string, len(voters))
	failures := make(chan string, len(voters))
	for _, ip := range voters {
		go func() {
			if n.tellOne(ctx, m, ip) {
				confirmations <- ip
			} else {
				failures <- ip
			}
		}()
	}
	groups := n.relayTree().split(n.self.IP, others)
	passed := make(chan int, len(groups))
	for _, group := range groups {
		go func() { passed <- n.passOn(ctx, m, group) }()
	}
	has := map[string]bool{n.self.IP: true}
	told := Told{Alive: len(alive), Quorum: n.quorum(has)}
	for range len(voters) + len(groups) {
		if enough(told) {
			return told
		}
		select {
		case ip := <-confirmations:
			has[ip] = true
			if slices.Contains(alive, ip) {
				told.Confirmed++
			}
			told.Quorum = n.quorum(has)
		case <-failures:
		case confirmed := <-passed:
			told.Confirmed += confirmed
		case <-ctx.Done():
			return told
		}
	}
	return told
}

// tellOne makes a call and says whether it is confirmed.
func (n *Node) tellOne(ctx context.Context, m peerlink.Message, ip string) bool {
	reply, err := n.callAgain(ctx, m, ip)
	return err == nil && !reply.Lacks
}

// otherAddresses lists the other brokers that are alive.
func (n *Node) otherAddresses() (out []string) {
	for _, member := range n.Members() {
		if member.IP != n.self.IP {
			out = append(out, member.IP)
		}
	}
	return out
}

// otherVoters lists the voters that are not this broker, whether they seem alive or not.
func (n *Node) otherVoters() []string {
	known, _ := n.Known()
	voters := known.Value.Members.Addresses()
	slices.Sort(voters)
	return slices.DeleteFunc(slices.Compact(voters), func(ip string) bool { return ip == n.self.IP })
}

// quorum says whether the machines at these addresses are a majority of the voters, of both sets while they change.
func (n *Node) quorum(has map[string]bool) bool {
	known, _ := n.Known()
	return known.Value.Members.Majority(func(r register.Replica) bool { return has[r.Address] })
}

// take puts records in that may be new and passes on those that are.
func (n *Node) take(records []dissemination.Record, from string) { n.put(records, from, true) }

// putQuietly puts records in that others are told of otherwise.
func (n *Node) putQuietly(records []dissemination.Record) { n.put(records, "", false) }

func (n *Node) put(records []dissemination.Record, from string, push bool) {
	for _, r := range records {
		if known, isValue := r.Body.(register.Known); isValue {
			n.payloads.remember(known.Value.Payload) // others may ask for what differs from it
		}
	}
	n.mu.Lock()
	var news, pushed []dissemination.Record
	for _, r := range records {
		if r.Kind == MemberRecord && r.Key == n.self.IP && from != "" {
			n.refute(r)
			continue
		}
		earlier, _ := n.store.Get(dissemination.ID{Kind: r.Kind, Key: r.Key})
		if !n.store.Put(r) {
			continue
		}
		news = append(news, r)
		if push && isNews(r, earlier.Body) {
			pushed = append(pushed, r)
		}
		switch r.Kind {
		case MemberRecord:
			n.hear(r)
		case RegisterRecord:
			n.learn(r)
		}
	}
	n.queue(pushed)
	n.mu.Unlock()
	for _, r := range news {
		for _, f := range n.onRecord {
			f(r)
		}
	}
}

// refute outdoes a record of this broker's address that an earlier process left behind.
func (n *Node) refute(r dissemination.Record) {
	if r.Version.Epoch > n.epoch {
		n.epoch = r.Version.Epoch + 1
		n.beat++
	}
}

// queue has new records pushed soon; n.mu is held.
func (n *Node) queue(news []dissemination.Record) {
	n.fresh = append(n.fresh, news...)
	if len(n.fresh) > 0 && !n.pushing {
		n.pushing = true
		time.AfterFunc(pushDelay, n.push)
	}
}

// isNews says whether a new record is to be pushed. What only renews an earlier one travels by reconciliation: pushed, each
// renewal costs every broker pushFanout calls, and renewals grow with the fleet. A member's first record and its farewell are
// news.
func isNews(r dissemination.Record, earlier any) bool {
	switch body := r.Body.(type) {
	case Member:
		return r.Version.Sequence <= 2 || body.Leaving
	case dissemination.Renewer:
		return !body.Renews(earlier)
	}
	return true
}

// push tells a few peers what is new. Values of the register are large, and whoever made one sends it to all: they are
// offered, and asked for by those whom it did not reach.
func (n *Node) push() {
	n.mu.Lock()
	message := peerlink.Records{From: n.self.IP}
	message.Records, message.Offered = withoutRegister(n.fresh)
	n.fresh, n.pushing = nil, false
	targets := n.view.Pick(pushFanout)
	n.mu.Unlock()
	for _, ip := range targets {
		go n.call(ip, peerlink.Message{Records: &message})
	}
}

// consider waits for records that a peer offers, and asks that peer for those that have not come by then.
func (n *Node) consider(offered []dissemination.Heading, from string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, heading := range offered {
		if !n.lacks(heading) || !n.offers[heading.ID].Less(heading.Version) {
			continue
		}
		n.offers[heading.ID] = heading.Version
		time.AfterFunc(offerPatience, func() { n.fetch(heading, from) })
	}
}

// lacks says whether a record is not here, or is older; n.mu is held.
func (n *Node) lacks(heading dissemination.Heading) bool {
	record, known := n.store.Get(heading.ID)
	return !known || record.Version.Less(heading.Version)
}

// fetch asks a peer for a record that it has offered, if it is lacking still.
func (n *Node) fetch(heading dissemination.Heading, from string) {
	n.mu.Lock()
	if n.offers[heading.ID] == heading.Version {
		delete(n.offers, heading.ID)
	}
	lacks := n.lacks(heading)
	n.mu.Unlock()
	if !lacks {
		return
	}
	n.fetchRegister(from, true)
}

// exchange reconciles with one random peer, or with a seed while the view is empty.
func (n *Node) exchange(context.Context) {
	n.mu.Lock()
	peer := ""
	if picked := n.view.Pick(1); len(picked) == 1 {
		peer = picked[0]
	}
	if n.exchanged++; n.exchanged%neighborEvery == 0 {
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
		n.missed(peer)
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
		go n.fetchRegister(peer, true)
	}
	if len(small) == 0 && len(wanted) == 0 && len(offered) == 0 {
		return
	}
	answer, err := n.call(peer, peerlink.Message{Records: &peerlink.Records{From: n.self.IP, Records: small, Wanted: wanted, Offered: offered}})
	if err == nil && answer.Records != nil {
		n.take(answer.Records.Records, peer)
	}
}

// withoutRegister parts records from the register's value, which is large and is only offered.
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

// missed takes a peer that does not answer out of the view, unless hardly anyone is left.
func (n *Node) missed(peer string) {
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
