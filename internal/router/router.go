// Package router assembles one broker of the fleet: its settings, cluster membership, instance registry, the configuration
// in force, the data path and the control API. It starts and shuts them down, and does network and disk I/O.
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

	"gullstair/internal/clientlimit"
	"gullstair/internal/cluster"
	"gullstair/internal/configuration"
	"gullstair/internal/controlstate"
	"gullstair/internal/dissemination"
	"gullstair/internal/gateway"
	"gullstair/internal/instances"
	"gullstair/internal/instancestore"
	"gullstair/internal/kvindex"
	"gullstair/internal/lifecycle"
	"gullstair/internal/register"
	"gullstair/internal/rollout"
	"gullstair/internal/settings"
	"gullstair/internal/weights"
)

const (
	tickInterval = 200 * time.Millisecond
	lateTick     = 300 * time.Millisecond // a tick that is later than this is logged
	trustTimeout = 3 * time.Second        // after this delay the broker uses a configuration that no majority has confirmed
)

// Broker is one broker of the fleet.
type Broker struct {
	environment cluster.Environment

	settings *settings.Settings
	path     string // path of the settings file
	logger   *log.Logger
	node     *cluster.Node
	gateway  *gateway.Server
	weights  *weights.Ledger
	limiter  *clientlimit.Limiter // of all that clients hold
	started  time.Time

	mu         sync.Mutex
	registry   *instances.Registry
	progress   map[string]rollout.Progress // progress of roll-outs, by "instance/model"
	state      controlstate.State          // the control state in force
	sequence   uint64
	trusted    bool
	pending    *register.Known // the newest value, while it is not yet trusted
	leaving    bool
	roles      *roles
	index      *kvindex.Index
	sharing    *kvindex.Sharing
	pollers    pollerTable // pollers and plan are used only by the goroutine of tick
	plan       pollPlan
	lastShared map[string]time.Time // when this broker last shared the cache contents of an instance, by instance id
	unsaved    bool                 // the instances have changed since they were last saved
	saved      *instancestore.Store // nil on a machine without a disk
	sockets    *sockets
}

// New returns a broker that is configured by its settings, has its disk and its addresses, and does not run yet. It waits
// for what it cannot get at once, within limits.
func New(ctx context.Context, s *settings.Settings, path string, logger *log.Logger, environment cluster.Environment) (*Broker, *lifecycle.Failure) {
	b := &Broker{environment: environment, settings: s, path: path, logger: logger, registry: instances.New(), progress: map[string]rollout.Progress{},
		limiter: clientlimit.New(int64(s.MemoryMB)<<20, s.MaxDescriptors), started: time.Now()}
	lifecycle.Enter(lifecycle.Disk)
	node, failure := cluster.New(ctx, s, logger, environment, &controlstate.Packer{})
	if failure != nil {
		return nil, failure
	}
	if failure = b.listen(ctx, node); failure != nil {
		return nil, failure
	}
	node.Use(b.sockets.peers, b.sockets.notes)
	b.node = node
	node.LimitPeers(b.limiter)
	b.weights = weights.New(s.Bounds.Version)
	b.gateway = gateway.New(s, logger, environment.Network, seedOf(s.NodeName), b.weights, b.displace)
	b.roles = newRoles(b)
	b.index = kvindex.New(environment.Network, b.limiter, b.gateway.WithCacheTable)
	b.index.OnDisplaced = b.displace
	node.OnRecord(b.receiveRecord)
	if s.DataDir != "" {
		b.saved = b.newInstanceStore()
		node.OnStore(b.storeRecords)
	}
	node.OnNote(cluster.WorkNote, b.gateway.ReceiveNote)
	node.OnNote(cluster.CacheNote, b.receiveCacheNote)
	b.gateway.SetNoteSender(node.SendWorkNote)
	b.sharing = kvindex.NewSharing(node.Incarnation(), b.gateway.WithCacheTable)
	return b, nil
}

// listen takes the broker's addresses. If they were taken, a process of an earlier release, which locks no disk, may have
// written to the disk until it ended: what was read from it before is not relied on.
func (b *Broker) listen(ctx context.Context, node *cluster.Node) *lifecycle.Failure {
	lifecycle.Enter(lifecycle.Listen)
	opened, waited, failure := openSockets(ctx, b.settings, b.environment.Network, b.logger, node.DiskLocked())
	if failure != nil {
		return failure
	}
	b.sockets = opened
	if !waited {
		return nil
	}
	lifecycle.Enter(lifecycle.Disk)
	return node.ReadDiskAgain(ctx)
}

func seedOf(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64() ^ uint64(time.Now().UnixNano())
}

// Run serves until the context is cancelled or a listener fails for good, then shuts down gracefully.
func (b *Broker) Run(ctx context.Context) *lifecycle.Failure {
	servers := b.newServers()
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, 1+len(servers.all))
	lifecycle.Go(func() { b.gateway.Run(running) })
	b.restoreInstances(running) // before any peer can request that instances be stored
	lifecycle.Go(func() {
		if err := b.node.Run(running); err != nil {
			failed <- errors.Wrap(err, "peers")
		}
	})
	lifecycle.Go(func() { b.awaitTrust(running) })
	lifecycle.Go(func() { b.tick(running, servers) })
	lifecycle.Go(func() { b.roles.run(running) })
	lifecycle.Go(func() { b.saveInstances(running) })
	servers.serve(b.logger, failed)
	b.logger.Info().Str("node", b.settings.NodeName).Str("zone", b.settings.Zone).Msg("broker started")
	lifecycle.Enter(lifecycle.Serve)
	var failure *lifecycle.Failure
	select {
	case <-ctx.Done():
		lifecycle.Enter(lifecycle.Shutdown)
	case err := <-failed:
		b.logger.Error().Err(err).Msg("a listener has failed; this broker ends")
		failure = &lifecycle.Failure{Step: lifecycle.Serve, Passes: true, Cause: err}
	}
	b.shutdown(servers)
	return failure
}

// tick periodically expires instances, updates the number of brokers and the index, and closes idle connections.
func (b *Broker) tick(ctx context.Context, servers *servers) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastCount, lastTick := 0, time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if late := time.Since(lastTick) - tickInterval; late > lateTick {
			b.logger.Warn().Dur("late", late).Msg("this broker was held up")
		}
		lastTick = time.Now()
		if members := len(b.node.Members()); members != lastCount {
			lastCount = members
			b.gateway.SetBrokers(members)
		}
		b.expire()
		b.updateIndex(ctx)
		if c := b.gateway.Configuration(); c != nil {
			servers.enforce(c.Limits, b.logger)
		}
	}
}

func (b *Broker) expire() {
	b.mu.Lock()
	forgotten, changed := b.registry.Expire(time.Now())
	if changed {
		b.updateGatewayInstances()
	}
	b.mu.Unlock()
	for _, id := range forgotten {
		b.node.Drop(dissemination.ID{Kind: instances.RecordKind, Key: id})
	}
}

// receiveRecord applies a record that is new to this broker.
func (b *Broker) receiveRecord(r dissemination.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch body := r.Body.(type) {
	case instances.Instance:
		if b.registry.ApplyRecord(body, time.Now()) {
			b.updateGatewayInstances()
		}
	case rollout.Progress:
		b.progress[body.ID+"/"+body.Model] = body
		b.updateGatewayInstances()
	case register.Known:
		if b.trusted {
			b.apply(body)
		} else if b.pending == nil || body.Value.Sequence > b.pending.Value.Sequence {
			b.pending = &body
		}
	}
}

// updateGatewayInstances passes the effective instances to the data path and marks the stored instances as outdated. The
// caller holds b.mu.
func (b *Broker) updateGatewayInstances() {
	b.unsaved = true
	b.gateway.SetInstances(b.effectiveInstances())
}

// effectiveInstances returns the instances with the weight versions that roll-outs have brought them to. An instance that
// loads new weights is returned as draining, since it takes no requests.
func (b *Broker) effectiveInstances() []instances.Instance {
	all := b.registry.Active()
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

// awaitTrust waits until a majority confirms the newest value, or until trustTimeout has passed, and then applies it.
func (b *Broker) awaitTrust(ctx context.Context) {
	var since time.Time
	for ctx.Err() == nil {
		known, changed := b.node.Known()
		if len(known.Value.Members.Sets) > 0 {
			if since.IsZero() {
				since = time.Now()
			}
			if _, err := b.node.Read(ctx); err == nil || time.Since(since) > trustTimeout {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(tickInterval):
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.trusted = true
	if b.pending != nil {
		b.apply(*b.pending)
	}
}

// apply puts a value in force unless a newer one already is. The caller holds b.mu.
func (b *Broker) apply(known register.Known) {
	if known.Value.Sequence <= b.sequence {
		return
	}
	state, err := controlstate.Decode(known.Value.Payload)
	if err != nil {
		b.logger.Error().Err(err).Msg("cannot decode the control state")
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

// learnWeights records the versions of weights that a control state names.
func (b *Broker) learnWeights(state controlstate.State) {
	for model, newest := range state.Weights {
		for _, version := range b.weights.Learn(time.Now(), model, newest, state.Named[model]) {
			since := time.Since(b.weights.SupersededAt(model, version-1))
			b.logger.Info().Str("model", model).Int64("version", version).Float64("age_s", since.Seconds()).Msg("weights named")
		}
	}
}

// ready reports whether the platform should send clients to this broker.
func (b *Broker) ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.leaving && b.gateway.Configuration() != nil && len(b.registry.Active()) > 0
}

// serveReadiness answers readiness probes: 503 if clients should not be sent here. The body states the broker's role in the
// register: a broker that is leaving and still votes has not handed over its seat yet.
func (b *Broker) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !b.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fmt.Fprintf(w, "standing=%s votes=%t\n", b.node.Role(), b.node.Votes())
}

// Reload reads the settings file again. New seeds apply at once, all other settings at the next restart.
func (b *Broker) Reload() {
	s, err := settings.Load(b.path)
	if err != nil {
		b.logger.Error().Err(err).Msg("the settings file is invalid and is ignored")
		return
	}
	b.node.SetSeeds(s.SeedIPs())
	b.logger.Info().Strs("seeds", s.Seeds).Msg("settings reloaded")
}
