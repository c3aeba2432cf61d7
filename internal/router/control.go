package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/brokerrole"
	"gullstair/internal/cluster"
	"gullstair/internal/configuration"
	"gullstair/internal/controlstate"
	"gullstair/internal/gateway"
	"gullstair/internal/instances"
	"gullstair/internal/peerlink"
)

const (
	drainPublishTimeout = 700 * time.Millisecond  // time for all brokers to confirm that an instance drains
	drainQuorumAfter    = 1500 * time.Millisecond // after this time a majority of the voters is enough
)

// errUnconfirmed is returned while too few brokers have confirmed that an instance drains or has gone.
var errUnconfirmed = errors.New("it is not known widely enough yet")

// permit returns an error if this broker's role does not allow an action for the fleet.
func (b *Broker) permit(act brokerrole.Action) error {
	if state := b.node.Role(); !state.Allows(act) {
		return errors.Newf("this broker is %s", state)
	}
	return nil
}

// Replace replaces version base of the configuration by c.
func (b *Broker) Replace(ctx context.Context, base int64, c *configuration.Configuration) error {
	return b.change(ctx, func(state controlstate.State) (controlstate.State, bool, error) {
		next, taken, err := state.Replace(base, c.Version, c.Raw)
		return next, !taken, err
	})
}

// Update applies a patch to version base of the configuration.
func (b *Broker) Update(ctx context.Context, base int64, patch *configuration.Patch) error {
	apply := func(whole []byte) ([]byte, error) {
		c, err := patch.Apply(whole)
		if err != nil {
			return nil, err
		}
		return c.Raw, nil
	}
	return b.change(ctx, func(state controlstate.State) (controlstate.State, bool, error) {
		next, taken, err := state.Update(base, patch.Version, patch.Raw, apply)
		return next, !taken, err
	})
}

// change commits a change of the control state to the register. The function next returns the new state and whether it
// differs from the given one.
func (b *Broker) change(ctx context.Context, next func(controlstate.State) (controlstate.State, bool, error)) error {
	if err := b.permit(brokerrole.TakeOrder); err != nil {
		return err
	}
	_, err := b.node.Change(ctx, func(payload []byte) ([]byte, error) {
		state, err := controlstate.Decode(payload)
		if err != nil {
			return nil, err
		}
		after, changed, err := next(state)
		if err != nil || !changed {
			return nil, err
		}
		return after.Encode(), nil
	})
	return err
}

// Configuration returns the newest configuration by a quorum read. It is at least as new as any that was acknowledged.
func (b *Broker) Configuration(ctx context.Context) ([]byte, error) {
	if err := b.permit(brokerrole.ReadNewest); err != nil {
		return nil, err
	}
	value, err := b.node.Read(ctx)
	if err != nil {
		return nil, err
	}
	state, err := controlstate.Decode(value.Payload)
	if err != nil {
		return nil, err
	}
	return state.Config, nil
}

// NameWeights makes a version of a model's weights the target of a roll-out.
func (b *Broker) NameWeights(ctx context.Context, model string, version int64) error {
	return b.change(ctx, func(state controlstate.State) (controlstate.State, bool, error) {
		next, changed := state.NameWeights(model, version)
		return next, changed, nil
	})
}

// Heartbeat records the heartbeat of an instance. A heartbeat that reports draining returns nil only once enough brokers
// have confirmed it.
func (b *Broker) Heartbeat(ctx context.Context, i instances.Instance) error {
	now := time.Now()
	b.mu.Lock()
	result := b.registry.Heartbeat(i, now)
	if result.Publish {
		b.updateGatewayInstances()
	}
	known, _ := b.registry.Get(i.ID)
	unconfirmedDrain := i.State == instances.Draining && !b.registry.Confirmed(i.ID)
	b.mu.Unlock()
	for _, displaced := range result.Displaced {
		b.publishDisplaced(displaced, "another instance sent a heartbeat from its address")
	}
	switch {
	case unconfirmedDrain && (known.State == instances.Ready || known.State == instances.Displaced):
		return errUnconfirmed // a newer heartbeat contradicts this one
	case unconfirmedDrain:
		return b.confirmEnd(ctx, known)
	case result.Publish:
		b.node.Publish(known.Record())
	}
	return nil
}

// displace records that another instance answered at the address of the given one, and notifies the other brokers. Without
// the notification each of them would find out by a request that is not executed.
func (b *Broker) displace(id string) {
	b.mu.Lock()
	displaced, changed := b.registry.MarkDisplaced(id, time.Now())
	if changed {
		b.updateGatewayInstances()
	}
	b.mu.Unlock()
	if changed {
		b.publishDisplaced(displaced, "another instance answered at its address")
	}
}

func (b *Broker) publishDisplaced(i instances.Instance, why string) {
	b.logger.Info().Str("instance", i.ID).Str("address", i.Address).Uint64("epoch", i.Epoch).Str("why", why).Msg("instance displaced")
	b.node.Publish(i.Record())
}

// Deregister records that an instance has gone. The other brokers are notified also if this broker does not know the
// instance, since they may know it.
func (b *Broker) Deregister(ctx context.Context, id string) error {
	b.mu.Lock()
	gone, known := b.registry.MarkGone(id, time.Now())
	if known {
		b.updateGatewayInstances()
	}
	confirmed := b.registry.Confirmed(id)
	b.mu.Unlock()
	if confirmed {
		return nil
	}
	return b.confirmEnd(ctx, gone)
}

// confirmEnd notifies all brokers that an instance drains or has gone. The acknowledgement binds the whole fleet, also after
// the end of all processes, so a majority of the register's voters must have it on their disks, and they must be the current
// voters: each connected broker receives it from them within one exchange. It also waits for all live brokers, but only until
// drainQuorumAfter.
func (b *Broker) confirmEnd(ctx context.Context, i instances.Instance) error {
	if err := b.permit(brokerrole.ConfirmEnd); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, drainPublishTimeout)
	defer cancel()
	b.mu.Lock()
	since := b.registry.DrainingOrGoneSince(i.ID)
	b.mu.Unlock()
	enough := func(t cluster.Delivery) bool { return t.Quorum && (t.All() || time.Since(since) > drainQuorumAfter) }
	delivery := b.node.PublishAndStore(ctx, i.Record(), enough)
	if !enough(delivery) || !b.node.VotersCurrent(ctx) {
		b.logger.Info().Str("instance", i.ID).Int("confirmed", delivery.Confirmed).Int("alive", delivery.Alive).Bool("quorum", delivery.Quorum).
			Msg("the end of an instance is not known widely enough yet")
		return errUnconfirmed
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.registry.Confirm(i)
	return nil
}

// Status is the JSON answer to the status command.
type Status struct {
	Node      string                `json:"node"`
	Zone      string                `json:"zone"`
	Standing  string                `json:"standing"` // role in the register, see package brokerrole
	Ready     bool                  `json:"ready"`
	Version   int64                 `json:"configuration_version"`
	Sequence  uint64                `json:"register_sequence"`
	Voters    []string              `json:"register_voters"`
	Weights   map[string]int64      `json:"weights"`
	Brokers   []cluster.Member      `json:"brokers"`
	Instances []instances.Instance  `json:"instances"`
	Served    int64                 `json:"served"`
	Refused   int64                 `json:"refused"`
	Failed    int64                 `json:"failed"`
	InFlight  int64                 `json:"in_flight"`
	Streams   []gateway.StreamStats `json:"streams"`
	Traffic   []peerlink.Count      `json:"peer_traffic"` // traffic between brokers since the start
}

// Status returns the state of this broker and what it knows about the fleet.
func (b *Broker) Status() any {
	known, _ := b.node.Known()
	status := Status{Node: b.settings.NodeName, Zone: b.settings.Zone, Standing: b.node.Role().String(), Ready: b.ready(), Brokers: b.node.Members(),
		Served: b.gateway.Served.Load(), Refused: b.gateway.Refused.Load(), Failed: b.gateway.Failed.Load(), InFlight: b.gateway.InFlight(), Streams: b.gateway.Streams(), Traffic: b.node.Traffic()}
	for _, replica := range known.Value.Members.Last() {
		status.Voters = append(status.Voters, replica.Address)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	status.Version, status.Sequence, status.Weights = b.state.Version, b.sequence, b.state.Weights
	status.Instances = b.effectiveInstances()
	return status
}
