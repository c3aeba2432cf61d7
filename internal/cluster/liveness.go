package cluster

import (
	"bytes"
	"context"
	"slices"
	"time"

	"gullstair/internal/dissemination"
)

// beats renews this broker's own record.
func (n *Node) beats(ctx context.Context) {
	n.renew()
	for {
		n.mu.Lock()
		interval := max(beatEvery, time.Duration(len(n.heard))*beatPerMember)
		n.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
			n.renew()
			n.expire(interval)
		}
	}
}

func (n *Node) renew() {
	n.mu.Lock()
	n.beat++
	record := dissemination.Record{Kind: MemberRecord, Key: n.self.IP, Version: dissemination.Version{Epoch: n.epoch, Sequence: n.beat},
		Body: n.self}
	n.store.Put(record)
	n.mu.Unlock()
}

// Leave tells the others that this broker is about to end.
func (n *Node) Leave() {
	n.mu.Lock()
	n.self.Leaving = true
	n.beat++
	record := dissemination.Record{Kind: MemberRecord, Key: n.self.IP, Version: dissemination.Version{Epoch: n.epoch, Sequence: n.beat},
		Body: n.self}
	n.mu.Unlock()
	n.Publish(record)
	select {
	case n.reviewNow <- struct{}{}: // a seat is handed over at once
	default:
	}
}

// expire forgets members that have long been gone.
func (n *Node) expire(interval time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for ip, at := range n.heard {
		if time.Since(at) > max(forgetAfter, 10*interval) {
			delete(n.heard, ip)
			n.store.Drop(dissemination.ID{Kind: MemberRecord, Key: ip})
			n.view.Remove(ip)
		}
	}
	n.store.ForgetDropped(mostDropped)
}

// Members returns the brokers that are alive as far as this one knows, itself among them, by address.
func (n *Node) Members() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	limit := beatsMissed * max(beatEvery, time.Duration(len(n.heard))*beatPerMember)
	members := []Member{n.self}
	for _, r := range n.store.Of(MemberRecord) {
		at, heard := n.heard[r.Key]
		if r.Key == n.self.IP || !heard || time.Since(at) > limit {
			continue
		}
		if member, ok := r.Body.(Member); ok && !member.Leaving {
			members = append(members, member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return bytes.Compare([]byte(a.IP), []byte(b.IP)) })
	return members
}
