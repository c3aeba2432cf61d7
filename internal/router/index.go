package router

import (
	"context"
	"time"

	"gullstair/internal/cluster"
	"gullstair/internal/instances"
	"gullstair/internal/kvindex"
	"gullstair/internal/ownership"
)

// An instance is polled by the brokers of its own zone, as many as it serves at once; one of them tells the brokers of
// the other zones what it keeps. Where its zone has no broker, one of all polls it and tells.

const (
	roleIndex    = "index/" // and the instance's id
	pollersSpare = 2        // calls that an instance has left for others
)

// stepIndex chooses what is polled here and told from here.
func (b *Broker) stepIndex(ctx context.Context) {
	c := b.gateway.Configuration()
	if c == nil {
		return
	}
	b.mu.Lock()
	all := b.registry.All()
	b.mu.Unlock()
	members := b.node.Members()
	var targets []kvindex.Target
	var owned []instances.Instance
	for _, i := range all {
		service := c.Services[i.Service]
		if service == nil || service.Engine == nil {
			continue
		}
		place := ownership.Rank(roleIndex+i.ID, b.settings.NodeName, pollersOf(i, members))
		if place < 0 || place >= max(1, service.Engine.MaxConcurrency-pollersSpare) {
			continue
		}
		targets = append(targets, kvindex.Target{ID: i.ID, Name: i.ID, Address: i.Address})
		if place == 0 {
			owned = append(owned, i)
		}
	}
	b.index.SetTargets(ctx, targets)
	for _, i := range owned {
		for _, note := range b.sharing.Notes(i.ID, time.Now()) {
			b.node.TellKept(note, i.Zone)
		}
	}
	b.sharing.Expire(time.Now())
}

// pollersOf are the brokers that may poll an instance.
func pollersOf(i instances.Instance, members []cluster.Member) []string {
	var near, all []string
	for _, m := range members {
		all = append(all, m.Name)
		if m.Zone == i.Zone {
			near = append(near, m.Name)
		}
	}
	if len(near) == 0 {
		return all[:min(1, len(all))]
	}
	return near
}

// takeKept takes a note of what an instance keeps.
func (b *Broker) takeKept(note []byte) {
	if err := b.sharing.Take(note, time.Now()); err != nil {
		b.logger.Debug().Err(err).Msg("a note of what an instance keeps was not taken")
	}
}
