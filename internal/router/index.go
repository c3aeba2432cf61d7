package router

import (
	"context"
	"slices"
	"time"

	"gullstair/internal/cluster"
	"gullstair/internal/configuration"
	"gullstair/internal/gateway"
	"gullstair/internal/instances"
	"gullstair/internal/kvindex"
	"gullstair/internal/rendezvous"
)

// Brokers of an instance's zone poll its cache events: in a small fleet as many as its concurrency allows, in a large one
// two. The first poller shares the instance's cache contents with the other brokers, less often in a larger fleet. If the
// zone has no broker, one broker of the whole fleet polls and shares.

const (
	roleIndex              = "index/" // followed by the instance's id
	reservedConcurrency    = 2        // concurrent calls that polling leaves free at an instance
	largeFleet             = 16       // a fleet with more brokers is large
	largeFleetPollers      = 2
	shareIntervalPerMember = 10 * time.Millisecond // interval between two notes about one instance, for each member of the fleet
	maxShareInterval       = 4 * time.Second
)

// pollPlan holds the instances that this broker polls and those whose cache contents it shares. It is cached until one of
// its inputs changes, since computing it takes time in proportion to the instances and it is needed several times a second.
type pollPlan struct {
	configuration *configuration.Configuration
	members       []cluster.Member
	changes       uint64 // change counter of the registry
	targets       []kvindex.Target
	shared        []sharedInstance
}

func (p *pollPlan) isCurrent(c *configuration.Configuration, members []cluster.Member, changes uint64) bool {
	return p.configuration == c && p.changes == changes && slices.Equal(p.members, members)
}

// updateIndex polls the instances of the current plan, and shares the cache contents that are due.
func (b *Broker) updateIndex(ctx context.Context) {
	c := b.gateway.Configuration()
	if c == nil {
		return
	}
	b.replan(c, b.node.Members())
	b.index.SetTargets(ctx, b.plan.targets)
	b.shareDue(b.plan.shared, b.plan.members, time.Now())
	b.sharing.Expire(time.Now())
}

// replan computes the plan again if one of its inputs has changed.
func (b *Broker) replan(c *configuration.Configuration, members []cluster.Member) {
	b.mu.Lock()
	changes := b.registry.Changes()
	if b.plan.isCurrent(c, members, changes) {
		b.mu.Unlock()
		return
	}
	all := b.registry.Active()
	b.mu.Unlock()
	b.pollers.reset(members)
	b.plan = pollPlan{configuration: c, members: members, changes: changes}
	for _, i := range all {
		if service := c.Services[i.Service]; service != nil && service.Engine != nil {
			target := kvindex.Target{ID: i.ID, Name: i.ID, Address: i.Address}
			b.planPolling(target, i, service.Engine.MaxConcurrency)
		}
	}
	if name, store := c.KVStore(); store != nil { // the store is polled like an instance
		i := instances.Instance{ID: gateway.StoreName(name), Zone: store.Zone}
		b.planPolling(kvindex.Target{Name: i.ID, Address: store.Address}, i, store.MaxConcurrency)
	}
}

// planPolling adds an instance with the given concurrency to the plan if this broker is one of its pollers.
func (b *Broker) planPolling(target kvindex.Target, i instances.Instance, concurrency int) {
	pollers := b.pollers.of(i, max(1, concurrency-reservedConcurrency))
	place := slices.Index(pollers, b.settings.NodeName)
	if place >= 0 {
		b.plan.targets = append(b.plan.targets, target)
	}
	if place == 0 {
		b.plan.shared = append(b.plan.shared, sharedInstance{i.ID, pollers})
	}
}

// sharedInstance is an instance whose cache contents this broker shares with the others.
type sharedInstance struct {
	id      string
	pollers []string // brokers that poll it and need no notes
}

// shareDue shares the cache contents of the instances that are due, the least recently shared first. While the link has a
// backlog of notes, the rest is postponed.
func (b *Broker) shareDue(all []sharedInstance, members []cluster.Member, now time.Time) {
	lastShared := b.lastShared
	b.lastShared = make(map[string]time.Time, len(all))
	for _, p := range all {
		b.lastShared[p.id] = lastShared[p.id]
	}
	slices.SortStableFunc(all, func(x, y sharedInstance) int { return b.lastShared[x.id].Compare(b.lastShared[y.id]) })
	interval := min(maxShareInterval, time.Duration(len(members))*shareIntervalPerMember)
	for _, p := range all {
		if b.node.CacheNotesQueued() || now.Sub(b.lastShared[p.id]) < interval {
			return
		}
		b.lastShared[p.id] = now
		b.share(p, members)
	}
}

// share sends the cache contents of an instance to the brokers that do not poll it.
func (b *Broker) share(p sharedInstance, members []cluster.Member) {
	others := slices.DeleteFunc(slices.Clone(members), func(m cluster.Member) bool { return slices.Contains(p.pollers, m.Name) })
	for _, note := range b.sharing.Notes(p.id, time.Now()) {
		b.node.SendCacheNote(note, others)
	}
}

// pollerTable caches the pollers of each instance until the members change. Ranking the members for each instance takes
// longer than the rest of a step.
type pollerTable struct {
	members []cluster.Member
	pollers map[pollerKey][]string
}

// pollerKey holds what determines the pollers of an instance besides the members.
type pollerKey struct {
	id, zone string
	limit    int
}

// reset clears the table if the members have changed. It is called before each use of the table.
func (t *pollerTable) reset(members []cluster.Member) {
	if t.pollers == nil || !slices.Equal(t.members, members) {
		t.members, t.pollers = members, map[pollerKey][]string{}
	}
}

func (t *pollerTable) of(i instances.Instance, limit int) []string {
	key := pollerKey{i.ID, i.Zone, limit}
	pollers, known := t.pollers[key]
	if !known {
		pollers = pollersOf(i, t.members, limit)
		t.pollers[key] = pollers
	}
	return pollers
}

// pollersOf returns the brokers that poll an instance. The first of them also shares its cache contents.
func pollersOf(i instances.Instance, members []cluster.Member, limit int) []string {
	var near, all []string
	for _, m := range members {
		all = append(all, m.Name)
		if m.Zone == i.Zone {
			near = append(near, m.Name)
		}
	}
	if len(near) == 0 {
		near, limit = all, 1
	}
	if len(members) > largeFleet {
		limit = min(limit, largeFleetPollers)
	}
	return rendezvous.First(roleIndex+i.ID, near, limit)
}

// receiveCacheNote applies another broker's note about the cache contents of an instance.
func (b *Broker) receiveCacheNote(note []byte) {
	if err := b.sharing.ApplyNote(note, time.Now()); err != nil {
		b.logger.Debug().Err(err).Msg("rejected a note about the cache contents of an instance")
	}
}
