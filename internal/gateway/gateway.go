// Package gateway is the data path: it takes clients' requests, has the module choose for each a runner and a source
// of kept prompt parts, sends it, and passes the answer on.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"gullstair/internal/balance"
	"gullstair/internal/configuration"
	"gullstair/internal/holders"
	"gullstair/internal/instances"
	"gullstair/internal/netio"
	"gullstair/internal/settings"
	"gullstair/internal/upstream"
	"gullstair/internal/weights"
	"gullstair/logic"
)

const (
	notReadyRetry = 300 * time.Millisecond // when a client may come back to a broker without a configuration
	startWait     = 600 * time.Millisecond // for the first configuration after a start
	startLook     = 20 * time.Millisecond
	refusedRetry  = 150.0 // ms; the longest that a refused client is told to wait
	slackShare    = 0.6   // of the retry budget's fixed part that the brokers use together
	ratioShare    = 0.8   // of the retry budget's ratio
)

// Server is the data path of one broker.
type Server struct {
	settings   *settings.Settings
	logger     *log.Logger
	dispatcher *dispatcher
	pool       *upstream.Pool
	config     atomic.Pointer[configuration.Configuration]
	leaving    atomic.Bool
	closing    atomic.Bool
	inFlight   atomic.Int64

	mu        sync.Mutex
	instances map[string]instances.Instance // that are not gone, by id
	holders   lockedTable
	weights   *weights.Ledger
	oldest    map[string]int64 // the version below which instances get no requests, as logged last, by model
	displaced func(id string)  // another instance answered at an instance's address

	streams streamFigures

	// Served counts answers that were passed on whole; Refused and Failed those that were not.
	Served, Refused, Failed atomic.Int64
}

// lockedTable is the holder table for the goroutines of many requests.
type lockedTable struct {
	mu    sync.Mutex
	table *holders.Table
	start time.Time
}

func (t *lockedTable) with(f func(*holders.Table)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Advance(float64(time.Since(t.start)) / float64(time.Millisecond))
	f(t.table)
}

func (t *lockedTable) synced(instance string) (synced bool) {
	t.with(func(table *holders.Table) { synced = table.Synced(instance) })
	return synced
}

// WithHolders gives the holder table to f, alone.
func (s *Server) WithHolders(f func(*holders.Table)) { s.holders.with(f) }

// New makes the data path. named are the versions of the models' weights; displaced is called with the id of an instance at whose
// address another one answered.
func New(s *settings.Settings, logger *log.Logger, network netio.Network, seed uint64, named *weights.Ledger, displaced func(string)) *Server {
	server := &Server{settings: s, logger: logger, pool: upstream.New(network), instances: map[string]instances.Instance{}, weights: named,
		oldest: map[string]int64{}, displaced: displaced}
	server.holders = lockedTable{table: holders.New(), start: time.Now()}
	server.dispatcher = newDispatcher(seed, server.fleet(1))
	return server
}

func (s *Server) fleet(brokers int) balance.Fleet {
	b := s.settings.Bounds
	return balance.Fleet{
		Brokers:      float64(brokers),
		Zone:         s.settings.Zone,
		BudgetWindow: float64(b.BudgetWindow / time.Millisecond),
		BudgetRatio:  b.RetryBudgetRatio * ratioShare,
		BudgetSlack:  b.RetryBudgetSlack * slackShare / float64(max(1, brokers)),
		Notes:        true,
		RetryAfter:   refusedRetry,
	}
}

// SetTell has notes for other brokers sent by f; wide ones are for all of them.
func (s *Server) SetTell(f func(note []byte, wide bool)) { s.dispatcher.tell = f }

// Heard takes a note of another broker.
func (s *Server) Heard(note []byte) { s.dispatcher.heard(note) }

// SetBrokers tells how many brokers are alive: they share the retry budget.
func (s *Server) SetBrokers(n int) { s.dispatcher.setFleet(s.fleet(n)) }

// SetConfiguration puts a configuration in force for the requests that arrive from now on.
func (s *Server) SetConfiguration(c *configuration.Configuration) {
	s.dispatcher.setConfiguration(c)
	s.config.Store(c)
	s.streams.keep(c)
}

// awaitConfiguration returns the configuration in force. A broker that has just started waits a little for its first:
// clients come back later than that.
func (s *Server) awaitConfiguration(ctx context.Context) *configuration.Configuration {
	deadline := time.Now().Add(startWait)
	for {
		if c := s.config.Load(); c != nil || ctx.Err() != nil || time.Now().After(deadline) {
			return c
		}
		time.Sleep(startLook)
	}
}

// Configuration is the one in force; nil: none yet.
func (s *Server) Configuration() *configuration.Configuration { return s.config.Load() }

// SetInstances tells all instances that are not gone.
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
			s.holders.with(func(t *holders.Table) { t.Forget(id) })
		}
	}
	s.instances = known
	s.mu.Unlock()
	s.dispatcher.setInstances(list)
}

// Leave has the answers from now on tell their clients to use other connections.
func (s *Server) Leave() { s.leaving.Store(true) }

// Close has requests that come from now on refused: this broker ends before their answers may be whole.
func (s *Server) Close() { s.closing.Store(true) }

// InFlight is the number of requests that have no answer yet.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Run keeps the pool of connections tidy until the context ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.pool.Close()
			return
		case <-ticker.C:
			s.pool.Sweep()
		}
	}
}

// candidates returns the instances of a service that are ready and may run a request on a model; limited says whether
// others are ready that may not.
func (s *Server) candidates(service, model string) (list []instances.Instance, limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	least := s.weights.Oldest(time.Now(), model)
	s.logOldest(model, least)
	for _, i := range s.instances {
		if i.Service != service || i.State != instances.Ready {
			continue
		}
		if model != "" && i.VersionOf(model) < least {
			limited = true
			continue
		}
		list = append(list, i)
	}
	return list, limited
}

// logOldest tells when the version changes below which instances of a model get no requests; s.mu is held.
func (s *Server) logOldest(model string, version int64) {
	if before := max(1, s.oldest[model]); model == "" || before == version {
		return
	}
	s.oldest[model] = version
	s.logger.Info().Str("model", model).Int64("version", version).Msg("older weights get no requests")
}

func (s *Server) instance(id string) (instances.Instance, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, known := s.instances[id]
	return i, known
}

// ServeHTTP takes one request of a client.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	newCall(s, w, r).serve()
}
