// Package router puts one broker of the fleet together: settings, its place in the cluster, the registry of instances,
// the configuration in force, the data path, the control address, and how all of it starts and ends.
package router

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"gullstair/internal/cluster"
	"gullstair/internal/configuration"
	"gullstair/internal/controlstate"
	"gullstair/internal/dissemination"
	"gullstair/internal/gateway"
	"gullstair/internal/instances"
	"gullstair/internal/kvindex"
	"gullstair/internal/register"
	"gullstair/internal/rollout"
	"gullstair/internal/settings"
	"gullstair/internal/slots"
	"gullstair/internal/weights"
)

const (
	tickEvery = 200 * time.Millisecond
	heldUp    = 300 * time.Millisecond // a step that comes so late is worth a log line
	trustWait = 3 * time.Second        // a copy of the configuration that no majority confirms is used after so long
)

// Broker is one broker of the fleet.
type Broker struct {
	environment cluster.Environment

	settings *settings.Settings
	path     string // of the settings file
	logger   *log.Logger
	node     *cluster.Node
	gateway  *gateway.Server
	weights  *weights.Ledger
	started  time.Time

	mu       sync.Mutex
	registry *instances.Registry
	progress map[string]rollout.Progress // of roll-outs, by instance and model
	state    controlstate.State          // in force
	sequence uint64
	trusted  bool
	pending  *register.Known // newest value, while it may not be trusted yet
	leaving  bool
	roles    *roles
	index    *kvindex.Index
	sharing  *kvindex.Sharing
	pollers  pollerTable // this and plan are used by tick alone
	plan     pollPlan
	told     map[string]time.Time // when a note of what an instance keeps was sent last, of those that this broker tells of
	snapshot *slots.Store         // of the instances; nil on a machine without a disk
	unsaved  bool
}

// New makes a broker from its settings.
func New(s *settings.Settings, path string, logger *log.Logger, environment cluster.Environment) (*Broker, error) {
	b := &Broker{environment: environment, settings: s, path: path, logger: logger, registry: instances.New(), progress: map[string]rollout.Progress{},
		started: time.Now()}
	node, err := cluster.New(s, logger, environment, &controlstate.Packer{})
	if err != nil {
		return nil, errors.Wrap(err, "join the cluster")
	}
	b.node = node
	b.weights = weights.New(s.Bounds.Version)
	b.gateway = gateway.New(s, logger, environment.Network, seedOf(s.NodeName), b.weights, b.displace)
	b.roles = newRoles(b)
	b.index = kvindex.New(environment.Network, b.gateway.WithHolders)
	b.index.Displaced = b.displace
	node.OnRecord(b.takeRecord)
	node.OnNote(cluster.WorkNote, b.gateway.Heard)
	node.OnNote(cluster.KeptNote, b.takeKept)
	b.gateway.SetTell(node.TellWork)
	b.sharing = kvindex.NewSharing(node.Incarnation(), b.gateway.WithHolders)
	return b, nil
}

func seedOf(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64() ^ uint64(time.Now().UnixNano())
}

// Run serves until the context ends, and then for as long as answers are owed.
func (b *Broker) Run(ctx context.Context) error {
	servers, err := b.listen()
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go b.node.Run(running)
	go b.gateway.Run(running)
	go b.trust(running)
	go b.tick(running, servers)
	go b.roles.run(running)
	b.restoreInstances()
	go b.saveInstances(running)
	servers.serve(b.logger)
	b.logger.Info().Str("node", b.settings.NodeName).Str("zone", b.settings.Zone).Msg("broker started")
	<-ctx.Done()
	b.end(servers)
	return nil
}

// tick keeps the registry and the number of brokers up to date.
func (b *Broker) tick(ctx context.Context, servers *servers) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	last, at := 0, time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if late := time.Since(at) - tickEvery; late > heldUp {
			b.logger.Warn().Dur("late", late).Msg("this broker was held up")
		}
		at = time.Now()
		if members := len(b.node.Members()); members != last {
			last = members
			b.gateway.SetBrokers(members)
		}
		b.expire()
		b.stepIndex(ctx)
		if c := b.gateway.Configuration(); c != nil {
			servers.closeIdle(c.Limits.IdleTimeout, b.logger)
		}
	}
}

func (b *Broker) expire() {
	b.mu.Lock()
	forgotten, changed := b.registry.Expire(time.Now())
	if changed {
		b.tellInstances()
	}
	b.mu.Unlock()
	for _, id := range forgotten {
		b.node.Drop(dissemination.ID{Kind: instances.RecordKind, Key: id})
	}
}

// takeRecord takes a record that is new here.
func (b *Broker) takeRecord(r dissemination.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch body := r.Body.(type) {
	case instances.Instance:
		if b.registry.Take(body, time.Now()) {
			b.tellInstances()
		}
	case rollout.Progress:
		b.progress[body.ID+"/"+body.Model] = body
		b.tellInstances()
	case register.Known:
		if b.trusted {
			b.apply(body)
		} else if b.pending == nil || body.Value.Sequence > b.pending.Value.Sequence {
			b.pending = &body
		}
	}
}

// tellInstances tells the data path of all instances, as heartbeats and roll-outs have it; b.mu is held.
func (b *Broker) tellInstances() {
	b.unsaved = true
	b.gateway.SetInstances(b.effective())
}

// effective are the instances with the versions that roll-outs have brought them to. One that loads new weights takes
// no requests, as one that drains.
func (b *Broker) effective() []instances.Instance {
	all := b.registry.All()
	for at, i := range all {
		for _, m := range i.Models {
			p, known := b.progress[i.ID+"/"+m.Name]
			if !known || p.Version <= m.Version {
				continue
			}
			if p.Loading {
				all[at].State = instances.Draining
				continue
			}
			all[at].Models = withVersion(all[at].Models, m.Name, p.Version)
		}
	}
	return all
}

func withVersion(models []instances.Model, name string, version int64) []instances.Model {
	out := append([]instances.Model(nil), models...)
	for i := range out {
		if out[i].Name == name {
			out[i].Version = max(out[i].Version, version)
		}
	}
	return out
}

// trust waits until the newest value is sure to be that, and puts it in force.
func (b *Broker) trust(ctx context.Context) {
	var since time.Time
	for ctx.Err() == nil {
		known, changed := b.node.Known()
		if len(known.Value.Members.Sets) > 0 {
			if since.IsZero() {
				since = time.Now()
			}
			if _, err := b.node.Read(ctx); err == nil || time.Since(since) > trustWait {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(tickEvery):
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.trusted = true
	if b.pending != nil {
		b.apply(*b.pending)
	}
}

// apply puts a value in force, unless a newer one is; b.mu is held.
func (b *Broker) apply(known register.Known) {
	if known.Value.Sequence <= b.sequence {
		return
	}
	state, err := controlstate.Decode(known.Value.Payload)
	if err != nil {
		b.logger.Error().Err(err).Msg("the control state cannot be read")
		return
	}
	if state.Version > b.state.Version {
		begun := time.Now()
		c, err := configuration.Parse(state.Config)
		if err != nil {
			b.logger.Error().Err(err).Msg("the configuration in force is not valid")
			return
		}
		b.gateway.SetConfiguration(c)
		b.logger.Info().Int64("version", c.Version).Int("routes", len(c.Routes)).Int("bytes", len(state.Config)).Int("stored_bytes", len(known.Value.Payload)).
			Dur("idle_timeout", c.Limits.IdleTimeout).Dur("took", time.Since(begun)).Msg("configuration in force")
	}
	b.learnWeights(state)
	b.state, b.sequence = state, known.Value.Sequence
	b.roles.wake()
}

// learnWeights takes the versions of weights that a state names.
func (b *Broker) learnWeights(state controlstate.State) {
	for model, newest := range state.Weights {
		for _, version := range b.weights.Learn(time.Now(), model, newest, state.Named[model]) {
			since := time.Since(b.weights.Since(model, version-1))
			b.logger.Info().Str("model", model).Int64("version", version).Float64("age_s", since.Seconds()).Msg("weights named")
		}
	}
}

// ready says whether the platform should send clients here.
func (b *Broker) ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.leaving && b.gateway.Configuration() != nil && len(b.registry.All()) > 0
}

// serveReadiness answers whether clients should be sent here, and says where the broker stands: one that leaves, and is
// still a voter, has not handed its seat over.
func (b *Broker) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !b.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fmt.Fprintf(w, "standing=%s votes=%t\n", b.node.Standing(), b.node.Votes())
}

// Reload reads the settings file again. Seeds are taken up at once; the rest waits for a restart.
func (b *Broker) Reload() {
	s, err := settings.Load(b.path)
	if err != nil {
		b.logger.Error().Err(err).Msg("the settings file is not valid; nothing changes")
		return
	}
	b.node.SetSeeds(s.SeedIPs())
	b.logger.Info().Strs("seeds", s.Seeds).Msg("settings read again")
}
