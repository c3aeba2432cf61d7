package router

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gullstair/internal/cluster"
	"gullstair/internal/configuration"
	"gullstair/internal/instances"
	"gullstair/internal/settings"
)

// TestPollerTable changes the members and the instances and checks that the cached pollers always equal the computed ones.
func TestPollerTable(t *testing.T) {
	table := pollerTable{}
	var members []cluster.Member
	for n := range 40 {
		members = append(slices.Clone(members), cluster.Member{Name: fmt.Sprint("front-", n), Zone: zones[n%len(zones)]})
		if n%5 == 4 {
			members = slices.Delete(slices.Clone(members), n%3, n%3+1)
		}
		if n%7 == 6 {
			members = slices.Clone(members)
			members[2].Zone = zones[n%len(zones)]
		}
		for range 2 {
			table.reset(members)
			for i := range 10 {
				instance := instances.Instance{ID: fmt.Sprint("i-", i), Zone: zones[(i+n/10)%len(zones)]}
				limit := 1 + (i+n)%3
				if got, want := table.of(instance, limit), pollersOf(instance, members, limit); !slices.Equal(got, want) {
					t.Fatalf("%s with %d members: %v, want %v", instance.ID, len(members), got, want)
				}
			}
		}
	}
}

// plannedBroker is a broker with the inputs of its poll plan under the control of the test.
type plannedBroker struct {
	*Broker
	rng           *rand.Rand
	members       []cluster.Member
	configuration *configuration.Configuration
	now           time.Time
	sequence      uint64
}

func newPlannedBroker(seed uint64, brokers int) *plannedBroker {
	p := &plannedBroker{Broker: &Broker{registry: instances.New(), settings: &settings.Settings{NodeName: "front-1"}}, rng: rand.New(rand.NewPCG(seed, 1)),
		now: time.Unix(0, 0)}
	for n := range brokers {
		p.members = append(p.members, cluster.Member{Name: fmt.Sprint("front-", n), Zone: zones[n%len(zones)]})
	}
	p.configure(8)
	return p
}

// configure puts a new configuration with the given concurrency in force.
func (p *plannedBroker) configure(concurrency int) {
	p.configuration = &configuration.Configuration{Services: map[string]*configuration.Service{
		"llm": {Engine: &configuration.Engine{MaxConcurrency: concurrency}}, "plain": {}}}
}

// heartbeat records the heartbeat of an instance.
func (p *plannedBroker) heartbeat(number int, state instances.State) {
	p.sequence++
	p.registry.Heartbeat(instances.Instance{ID: fmt.Sprint("i-", number), Service: []string{"llm", "llm", "plain"}[number%3], Address: fmt.Sprint("10.9.0.", number),
		Zone: zones[number/3%len(zones)], State: state, Sequence: p.sequence}, p.now)
}

// expected computes from the current inputs which instances the broker must poll, and which of them it must share.
func (p *plannedBroker) expected() (targets, shared []string) {
	for _, i := range p.registry.Active() {
		service := p.configuration.Services[i.Service]
		if service.Engine == nil {
			continue
		}
		switch slices.Index(pollersOf(i, p.members, max(1, service.Engine.MaxConcurrency-reservedConcurrency)), p.settings.NodeName) {
		case 0:
			targets, shared = append(targets, i.ID), append(shared, i.ID)
		case -1:
		default:
			targets = append(targets, i.ID)
		}
	}
	return targets, shared
}

// TestPollPlan randomly changes instances, members and configurations and checks that the cached plan always equals the
// computed one.
func TestPollPlan(t *testing.T) {
	for seed := range uint64(10) {
		p := newPlannedBroker(seed, 14)
		for step := range 1000 {
			p.now = p.now.Add(100 * time.Millisecond)
			switch p.rng.IntN(12) {
			case 0:
				p.registry.MarkGone(fmt.Sprint("i-", p.rng.IntN(30)), p.now)
			case 1:
				p.registry.Expire(p.now)
			case 2:
				p.members = slices.Clone(p.members)
				p.members[p.rng.IntN(len(p.members))].Zone = zones[p.rng.IntN(len(zones))]
			case 3:
				p.configure(1 + p.rng.IntN(10))
			case 4:
				p.heartbeat(p.rng.IntN(30), instances.Draining)
			default:
				p.heartbeat(p.rng.IntN(30), instances.Ready)
			}
			p.replan(p.configuration, p.members)
			var targets, shared []string
			for _, target := range p.plan.targets {
				targets = append(targets, target.ID)
			}
			for _, one := range p.plan.shared {
				shared = append(shared, one.id)
			}
			wantTargets, wantShared := p.expected()
			if !slices.Equal(targets, wantTargets) || !slices.Equal(shared, wantShared) {
				t.Fatalf("seed %d, step %d: polls %v and shares %v, want %v and %v", seed, step, targets, shared, wantTargets, wantShared)
			}
		}
	}
}

// TestPollPlanIsKept checks that renewals without news do not invalidate the plan. Each of 300 brokers used to list and sort
// 163 instances and to look up their pollers ten times a second.
func TestPollPlanIsKept(t *testing.T) {
	p := newPlannedBroker(1, 300)
	for number := range 160 {
		p.heartbeat(number, instances.Ready)
	}
	p.replan(p.configuration, p.members)
	renewed, known := p.registry.Get("i-0")
	if !known {
		t.Fatal("the first instance is not known")
	}
	allocations := testing.AllocsPerRun(100, func() {
		renewed.Sequence = p.sequence + 1
		p.sequence++
		p.registry.Heartbeat(renewed, p.now)
		p.replan(p.configuration, p.members)
	})
	if allocations > 0 {
		t.Errorf("a step after a renewal allocates %v times", allocations)
	}
}
