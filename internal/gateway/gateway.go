// Package gateway implements the HTTP data path of a broker. It accepts client requests, has the decision module choose an
// instance for each and a source of cached prompt parts, sends the request and forwards the response.
package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"gullstair/internal/balance"
	"gullstair/internal/cachetable"
	"gullstair/internal/configuration"
	"gullstair/internal/instances"
	"gullstair/internal/netio"
	"gullstair/internal/outlier"
	"gullstair/internal/readturns"
	"gullstair/internal/settings"
	"gullstair/internal/upstream"
	"gullstair/internal/weights"
	"gullstair/logic"
)

const (
	notReadyRetryAfter = 300 * time.Millisecond // retry delay for clients of a broker without a configuration
	configurationWait  = 600 * time.Millisecond // how long a request waits for the first configuration after a start
	configurationPoll  = 20 * time.Millisecond
	maxRetryAfter      = 150.0 // ms; upper bound of the retry delay of a refused client
	budgetSlackShare   = 0.6   // share of the retry budget's fixed part that all brokers use together
	budgetRatioShare   = 0.8   // share of the retry budget's ratio that the brokers use
)

// Server is the data path of one broker.
type Server struct {
	settings   *settings.Settings
	logger     *log.Logger
	dispatcher *dispatcher
	pool       *upstream.Pool
	turns      *readturns.Turns // of the copies of large responses
	config     atomic.Pointer[configuration.Configuration]
	leaving    atomic.Bool
	closing    atomic.Bool
	inFlight   atomic.Int64

	mu           sync.Mutex
	instances    map[string]instances.Instance // instances that are not gone, by id
	outliers     *outlier.Detector
	cacheTable   lockedTable
	weights      *weights.Ledger
	loggedOldest map[string]int64 // by model: the version below which instances get no requests, as logged last
	onDisplaced  func(id string)  // called when another instance answered at an instance's address

	streams streamCounters

	// Served counts responses that were forwarded completely, Refused requests that never ran, Failed those given up.
	Served, Refused, Failed atomic.Int64
}

// lockedTable is a table of cached parts with a lock and a clock for concurrent use.
type lockedTable struct {
	mu    sync.Mutex
	table *cachetable.Table
	start time.Time
}

func (t *lockedTable) with(f func(*cachetable.Table)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Advance(float64(time.Since(t.start)) / float64(time.Millisecond))
	f(t.table)
}

func (t *lockedTable) synced(instance string) (synced bool) {
	t.with(func(table *cachetable.Table) { synced = table.Synced(instance) })
	return synced
}

// WithCacheTable calls f with the table of cached parts under its lock.
func (s *Server) WithCacheTable(f func(*cachetable.Table)) { s.cacheTable.with(f) }

// New returns the data path of a broker. ledger holds the versions of the models' weights; onDisplaced is called with the id of
// an instance at whose address another one answered.
func New(s *settings.Settings, logger *log.Logger, network netio.Network, seed uint64, ledger *weights.Ledger, onDisplaced func(string)) *Server {
	server := &Server{settings: s, logger: logger, pool: upstream.New(network, nil), turns: readturns.New(), outliers: outlier.New(), instances: map[string]instances.Instance{}, weights: ledger,
		loggedOldest: map[string]int64{}, onDisplaced: onDisplaced}
	server.cacheTable = lockedTable{table: cachetable.New(), start: time.Now()}
	server.dispatcher = newDispatcher(seed, server.fleet(1))
	return server
}

func (s *Server) fleet(brokers int) balance.Fleet {
	b := s.settings.Bounds
	return balance.Fleet{
		Brokers:       float64(brokers),
		Zone:          s.settings.Zone,
		BudgetWindow:  float64(b.BudgetWindow / time.Millisecond),
		BudgetRatio:   b.RetryBudgetRatio * budgetRatioShare,
		BudgetSlack:   b.RetryBudgetSlack * budgetSlackShare / float64(max(1, brokers)),
		PeerNotes:     true,
		MaxRetryAfter: maxRetryAfter,
	}
}

// SetNoteSender sets the function that sends notes to other brokers; to all of them if broadcast is true.
func (s *Server) SetNoteSender(f func(note []byte, broadcast bool)) { s.dispatcher.sendNotes = f }

// ReceiveNote processes a note received from another broker.
func (s *Server) ReceiveNote(note []byte) { s.dispatcher.receiveNote(note) }

// SetBrokers sets the number of live brokers, which share the retry budget.
func (s *Server) SetBrokers(n int) { s.dispatcher.setFleet(s.fleet(n)) }

// SetConfiguration applies a configuration to all requests that arrive from now on.
func (s *Server) SetConfiguration(c *configuration.Configuration) {
	s.dispatcher.setConfiguration(c)
	s.config.Store(c)
	s.streams.retain(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outliers.RetainRoutes(func(name string) bool {
		return slices.ContainsFunc(c.Routes, func(r *configuration.Route) bool { return r.Name == name })
	})
}

// awaitConfiguration returns the current configuration. A broker that has just started waits for its first one up to
// configurationWait, because a refused client would retry only later than that. It returns nil if there is still none.
func (s *Server) awaitConfiguration(ctx context.Context) *configuration.Configuration {
	deadline := time.Now().Add(configurationWait)
	for {
		if c := s.config.Load(); c != nil || ctx.Err() != nil || time.Now().After(deadline) {
			return c
		}
		time.Sleep(configurationPoll)
	}
}

// Configuration returns the current configuration, or nil before the first one.
func (s *Server) Configuration() *configuration.Configuration { return s.config.Load() }

// SetInstances replaces the list of instances. It contains all that are not gone.
func (s *Server) SetInstances(all []instances.Instance) {
	list := make([]balance.Instance, 0, len(all))
	known := make(map[string]instances.Instance, len(all))
	for _, i := range all {
		known[i.ID] = i
		state := logic.Ready
		if i.State == instances.Draining {
			state = logic.Draining
		}
		list = append(list, balance.Instance{ID: i.ID, Service: i.Service, Address: i.Address, Zone: i.Zone, Slots: i.Slots, State: state})
	}
	s.mu.Lock()
	for id := range s.instances {
		if _, still := known[id]; !still {
			s.cacheTable.with(func(t *cachetable.Table) { t.Forget(id) })
		}
	}
	s.instances = known
	s.outliers.RetainServers(func(id string) bool { _, still := known[id]; return still })
	s.mu.Unlock()
	s.dispatcher.setInstances(list)
}

// RequestConnectionClose makes all further responses ask their clients to close the connection.
func (s *Server) RequestConnectionClose() { s.leaving.Store(true) }

// Close makes the server refuse all further requests, because the broker may shut down before their responses are complete.
func (s *Server) Close() { s.closing.Store(true) }

// InFlight returns the number of requests without a complete response.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Run closes expired idle connections to instances until the context ends, and then all idle ones.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.pool.Close()
			return
		case <-ticker.C:
			s.pool.CloseExpired()
		}
	}
}

// candidates returns the ready instances of a service that may run a request for a model. limited reports whether some ready
// instances are excluded because their weights are too old.
func (s *Server) candidates(service, model string) (list []instances.Instance, limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	minVersion := s.weights.MinVersion(time.Now(), model)
	s.logOldest(model, minVersion)
	for _, i := range s.instances {
		if i.Service != service || i.State != instances.Ready {
			continue
		}
		if model != "" && i.VersionOf(model) < minVersion {
			limited = true
			continue
		}
		list = append(list, i)
	}
	return list, limited
}

// logOldest logs a change of the version below which instances of a model get no requests. The caller holds s.mu.
func (s *Server) logOldest(model string, version int64) {
	if before := max(1, s.loggedOldest[model]); model == "" || before == version {
		return
	}
	s.loggedOldest[model] = version
	s.logger.Info().Str("model", model).Int64("version", version).Msg("older weights get no requests")
}

func (s *Server) instance(id string) (instances.Instance, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, known := s.instances[id]
	return i, known
}

// ServeHTTP handles one client request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	newCall(s, w, r).serve()
}
