package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/cluster"
	"gullstair/internal/configuration"
	"gullstair/internal/controlstate"
	"gullstair/internal/instances"
)

const (
	drainTold   = 700 * time.Millisecond  // for all brokers to learn that an instance drains
	drainAnyway = 1500 * time.Millisecond // after which the instance is answered though a broker has not confirmed
)

// errSpreading says that not all brokers know yet what an instance told.
var errSpreading = errors.New("not all brokers know it yet")

// Replace has a configuration take the place of version base.
func (b *Broker) Replace(ctx context.Context, base int64, c *configuration.Configuration) error {
	_, err := b.node.Change(ctx, func(payload []byte) ([]byte, error) {
		state, err := controlstate.Decode(payload)
		if err != nil {
			return nil, err
		}
		next, taken, err := state.Replace(base, c.Version, c.Raw)
		if err != nil || taken {
			return nil, err
		}
		return next.Encode(), nil
	})
	return err
}

// Configuration returns the newest configuration that can have been acknowledged.
func (b *Broker) Configuration(ctx context.Context) ([]byte, error) {
	known, _ := b.node.Known()
	payload := known.Value.Payload
	if !b.node.Current(ctx) {
		value, err := b.node.Change(ctx, func([]byte) ([]byte, error) { return nil, nil })
		if err != nil {
			return nil, err
		}
		payload = value.Payload
	}
	state, err := controlstate.Decode(payload)
	if err != nil {
		return nil, err
	}
	return state.Configuration()
}

// NameWeights names a version of a model's weights.
func (b *Broker) NameWeights(ctx context.Context, model string, version int64) error {
	_, err := b.node.Change(ctx, func(payload []byte) ([]byte, error) {
		state, err := controlstate.Decode(payload)
		if err != nil {
			return nil, err
		}
		next, changed := state.NameWeights(model, version)
		if !changed {
			return nil, nil
		}
		return next.Encode(), nil
	})
	return err
}

// Heartbeat takes what an instance says of itself. That it drains is acknowledged once the other brokers know.
func (b *Broker) Heartbeat(ctx context.Context, i instances.Instance) error {
	b.mu.Lock()
	before, known := b.registry.Get(i.ID)
	tell, late := b.registry.Heartbeat(i, time.Now())
	since, waiting := b.draining[i.ID]
	if i.State == instances.Draining && !late && (!known || before.State != instances.Draining) && !waiting {
		since, waiting = time.Now(), true
		b.draining[i.ID] = since
	}
	if tell {
		b.tellInstances()
	}
	b.mu.Unlock()
	if late {
		return nil
	}
	if !waiting {
		if tell {
			b.node.Publish(i.Record())
		}
		return nil
	}
	return b.confirmDrain(ctx, i, since)
}

// confirmDrain tells all brokers that an instance drains.
func (b *Broker) confirmDrain(ctx context.Context, i instances.Instance, since time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, drainTold)
	defer cancel()
	confirmed, members := b.node.PublishEverywhere(ctx, i.Record())
	if confirmed < members && time.Since(since) < drainAnyway {
		b.logger.Info().Str("instance", i.ID).Int("confirmed", confirmed).Int("brokers", members).Msg("a drain is not known everywhere yet")
		return errSpreading
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.draining, i.ID)
	return nil
}

// Deregister notes that an instance ends.
func (b *Broker) Deregister(ctx context.Context, id string) error {
	b.mu.Lock()
	i, was := b.registry.Leave(id, time.Now())
	delete(b.draining, id)
	if was {
		b.tellInstances()
	}
	b.mu.Unlock()
	if !was {
		return nil
	}
	i.State = instances.Gone
	ctx, cancel := context.WithTimeout(ctx, drainTold)
	defer cancel()
	b.node.PublishEverywhere(ctx, i.Record())
	return nil
}

// Status describes this broker for the status command.
type Status struct {
	Node      string               `json:"node"`
	Zone      string               `json:"zone"`
	Ready     bool                 `json:"ready"`
	Version   int64                `json:"configuration_version"`
	Sequence  uint64               `json:"register_sequence"`
	Replicas  []string             `json:"register_replicas"`
	Weights   map[string]int64     `json:"weights"`
	Brokers   []cluster.Member     `json:"brokers"`
	Instances []instances.Instance `json:"instances"`
	Served    int64                `json:"served"`
	Refused   int64                `json:"refused"`
	Failed    int64                `json:"failed"`
	InFlight  int64                `json:"in_flight"`
}

// Status describes this broker and what it knows.
func (b *Broker) Status() any {
	known, _ := b.node.Known()
	status := Status{Node: b.settings.NodeName, Zone: b.settings.Zone, Ready: b.ready(), Brokers: b.node.Members(),
		Served: b.gateway.Served.Load(), Refused: b.gateway.Refused.Load(), Failed: b.gateway.Failed.Load(), InFlight: b.gateway.InFlight()}
	for _, replica := range known.Value.Members.Last() {
		status.Replicas = append(status.Replicas, replica.Address)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	status.Version, status.Sequence, status.Weights = b.state.Version, b.sequence, b.state.Weights
	status.Instances = b.effective()
	return status
}
