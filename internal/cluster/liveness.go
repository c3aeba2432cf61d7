package cluster

import (
	"context"
	"time"

	"gullstair/internal/dissemination"
)

// renewLoop renews this broker's own record until the context ends.
func (n *Node) renewLoop(ctx context.Context) {
	n.renew()
	for {
		n.mu.Lock()
		interval := max(renewInterval, time.Duration(len(n.lastUpdate))*renewIntervalPerMember)
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
	n.sequence++
	record := dissemination.Record{Kind: MemberRecord, Key: n.self.IP, Version: dissemination.Version{Epoch: n.epoch, Sequence: n.sequence},
		Body: n.self}
	n.store.Put(record)
	n.mu.Unlock()
}

// Leave notifies the other brokers that this broker is about to shut down.
func (n *Node) Leave() {
	n.mu.Lock()
	n.self.Leaving = true
	n.sequence++
	record := dissemination.Record{Kind: MemberRecord, Key: n.self.IP, Version: dissemination.Version{Epoch: n.epoch, Sequence: n.sequence},
		Body: n.self}
	n.mu.Unlock()
	n.Publish(record)
	select {
	case n.reviewRequested <- struct{}{}: // its vote is handed over at once
	default:
	}
}

// expire removes members that have been gone for a long time.
func (n *Node) expire(interval time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for ip, at := range n.lastUpdate {
		if time.Since(at) > max(forgetAfter, 10*interval) {
			delete(n.lastUpdate, ip)
			n.alive = aliveMembers{}
			n.store.Drop(dissemination.ID{Kind: MemberRecord, Key: ip})
			n.view.Remove(ip)
		}
	}
	n.store.ForgetDropped(maxDropped)
}
