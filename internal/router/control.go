package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/cluster"
	"gullstair/internal/configuration"
	"gullstair/internal/controlstate"
	"gullstair/internal/gateway"
	"gullstair/internal/instances"
	"gullstair/internal/peerlink"
	"gullstair/internal/standing"
)

const (
	drainTold   = 700 * time.Millisecond  // for all brokers to learn that an instance drains
	drainAnyway = 1500 * time.Millisecond // after which a majority of the voters is enough
)

// errSpreading says that too few brokers know yet what an instance told.
var errSpreading = errors.New("it is not known widely enough yet")

// permit says whether this broker may do something for the fleet at all in the state it is in.
func (b *Broker) permit(act standing.Act) error {
	if state := b.node.Standing(); !state.May(act) {
		return errors.Newf("this broker is %s", state)
	}
	return nil
}

// Replace has a configuration take the place of version base.
func (b *Broker) Replace(ctx context.Context, base int64, c *configuration.Configuration) error {
	return b.change(ctx, func(state controlstate.State) (controlstate.State, bool, error) {
		next, taken, err := state.Replace(base, c.Version, c.Raw)
		return next, !taken, err
	})
}

// Update has a patch change version base.
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

// change has the register take a change of the control state; the function returns the state after it, and whether that
// differs.
func (b *Broker) change(ctx context.Context, next func(controlstate.State) (controlstate.State, bool, error)) error {
	if err := b.permit(standing.TakeOrder); err != nil {
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

// Configuration returns the newest configuration that can have been acknowledged.
func (b *Broker) Configuration(ctx context.Context) ([]byte, error) {
	if err := b.permit(standing.ReadNewest); err != nil {
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

// NameWeights names a version of a model's weights.
func (b *Broker) NameWeights(ctx context.Context, model string, version int64) error {
	return b.change(ctx, func(state controlstate.State) (controlstate.State, bool, error) {
		next, changed := state.NameWeights(model, version)
		return next, changed, nil
	})
}

// Heartbeat takes what an instance says of itself. That it drains is acknowledged once that is known widely enough.
func (b *Broker) Heartbeat(ctx context.Context, i instances.Instance) error {
	now := time.Now()
	b.mu.Lock()
	heard := b.registry.Heartbeat(i, now)
	if heard.Tell {
		b.tellInstances()
	}
	known, _ := b.registry.Get(i.ID)
	binding := i.State == instances.Draining && !b.registry.Confirmed(i.ID)
	b.mu.Unlock()
	for _, displaced := range heard.Displaced {
		b.tellDisplaced(displaced, "another instance told of itself from its address")
	}
	switch {
	case binding && (known.State == instances.Ready || known.State == instances.Displaced):
		return errSpreading // an old word against a newer one
	case binding:
		return b.confirmEnd(ctx, known)
	case heard.Tell:
		b.node.Publish(known.Record())
	}
	return nil
}

// displace notes that another instance answered at the address of one, and tells the other brokers: each of them would learn
// it by a request that is not run.
func (b *Broker) displace(id string) {
	b.mu.Lock()
	displaced, news := b.registry.Displace(id, time.Now())
	if news {
		b.tellInstances()
	}
	b.mu.Unlock()
	if news {
		b.tellDisplaced(displaced, "another instance answered at its address")
	}
}

func (b *Broker) tellDisplaced(i instances.Instance, why string) {
	b.logger.Info().Str("instance", i.ID).Str("address", i.Address).Uint64("epoch", i.Epoch).Str("why", why).Msg("instance displaced")
	b.node.Publish(i.Record())
}

// Deregister notes that an instance ends. One that this broker has never heard of may be known to others.
func (b *Broker) Deregister(ctx context.Context, id string) error {
	b.mu.Lock()
	gone, was := b.registry.Leave(id, time.Now())
	if was {
		b.tellInstances()
	}
	confirmed := b.registry.Confirmed(id)
	b.mu.Unlock()
	if confirmed {
		return nil
	}
	return b.confirmEnd(ctx, gone)
}

// confirmEnd tells all brokers that an instance drains or has gone. To acknowledge that binds the whole fleet, wherever
// this broker stands, so a majority of the register's voters must have confirmed it, and be the voters in force: each broker
// that is in touch has it from them within one exchange. All brokers that are alive are waited for as well, but not for long.
func (b *Broker) confirmEnd(ctx context.Context, i instances.Instance) error {
	if err := b.permit(standing.ConfirmEnd); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, drainTold)
	defer cancel()
	b.mu.Lock()
	since := b.registry.EndingSince(i.ID)
	b.mu.Unlock()
	enough := func(t cluster.Told) bool { return t.Quorum && (t.All() || time.Since(since) > drainAnyway) }
	told := b.node.PublishEverywhere(ctx, i.Record(), enough)
	if !enough(told) || !b.node.VotersStand(ctx) {
		b.logger.Info().Str("instance", i.ID).Int("confirmed", told.Confirmed).Int("alive", told.Alive).Bool("quorum", told.Quorum).
			Msg("the end of an instance is not known widely enough yet")
		return errSpreading
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.registry.Confirm(i)
	return nil
}

// Status describes this broker for the status command.
type Status struct {
	Node      string               `json:"node"`
	Zone      string               `json:"zone"`
	Standing  string               `json:"standing"` // towards the register, see package standing
	Ready     bool                 `json:"ready"`
	Version   int64                `json:"configuration_version"`
	Sequence  uint64               `json:"register_sequence"`
	Voters    []string             `json:"register_voters"`
	Weights   map[string]int64     `json:"weights"`
	Brokers   []cluster.Member     `json:"brokers"`
	Instances []instances.Instance `json:"instances"`
	Served    int64                `json:"served"`
	Refused   int64                `json:"refused"`
	Failed    int64                `json:"failed"`
	InFlight  int64                `json:"in_flight"`
	Streams   []gateway.Streams    `json:"streams"`
	Traffic   []peerlink.Count     `json:"peer_traffic"` // between brokers, since the start
}

// Status describes this broker and what it knows.
func (b *Broker) Status() any {
	known, _ := b.node.Known()
	status := Status{Node: b.settings.NodeName, Zone: b.settings.Zone, Standing: b.node.Standing().String(), Ready: b.ready(), Brokers: b.node.Members(),
		Served: b.gateway.Served.Load(), Refused: b.gateway.Refused.Load(), Failed: b.gateway.Failed.Load(), InFlight: b.gateway.InFlight(), Streams: b.gateway.Streams(), Traffic: b.node.Traffic()}
	for _, replica := range known.Value.Members.Last() {
		status.Voters = append(status.Voters, replica.Address)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	status.Version, status.Sequence, status.Weights = b.state.Version, b.sequence, b.state.Weights
	status.Instances = b.effective()
	return status
}
