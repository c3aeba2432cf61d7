package router

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"gullstair/internal/clientbudget"
	"gullstair/internal/configuration"
	"gullstair/internal/keepalive"
	"gullstair/internal/lifecycle"
	"gullstair/internal/netio"
	"gullstair/internal/operatorapi"
)

const (
	headerTimeout      = 10 * time.Second
	maxHeaderBytes     = 1 << 30          // of net/http; the listener enforces the limits
	maxHeadBytes       = 64 << 10         // limit of a head, at the front until a configuration sets it
	controlIdleTimeout = 20 * time.Second // idle timeout of connections to the control and the readiness address
)

// What requests may hold. At the front the gateway sets the deadlines of a request that it accepts.
var (
	frontRequests = keepalive.Requests{Holds: clientbudget.Amount{Bytes: clientbudget.RequestBytes + clientbudget.AnswerBytes, Descriptors: 1}, BodyCopies: 1,
		BodyTimeout: 10 * time.Second, AnswerTimeout: 10 * time.Second}
	readinessRequests = keepalive.Requests{Holds: clientbudget.Amount{Bytes: clientbudget.RequestBytes}, BodyTimeout: time.Second,
		AnswerTimeout: time.Second}
	controlRequests = keepalive.Requests{Holds: clientbudget.Amount{Bytes: clientbudget.RequestBytes}, BodyCopies: 2,
		BodyTimeout: 30 * time.Second, AnswerTimeout: 30 * time.Second}
)

// servers are the HTTP servers of one broker.
type servers struct {
	front *server // nil if this broker takes no clients
	all   []*server
}

// server is an HTTP server with its listener.
type server struct {
	http     *http.Server
	listener *keepalive.Listener
}

// newServers returns the HTTP servers of a broker, which do not serve yet.
func (b *Broker) newServers() *servers {
	s := &servers{}
	if b.sockets.front != nil {
		s.front = s.add(keepalive.NewListener(b.sockets.front, b.limiter), b.gateway, frontRequests, b.logger)
	}
	if b.sockets.readiness != nil {
		s.add(keepalive.NewControlListener(b.sockets.readiness, b.limiter), http.HandlerFunc(b.serveReadiness), readinessRequests, b.logger)
	}
	if b.sockets.control != nil {
		s.add(keepalive.NewControlListener(b.sockets.control, b.limiter), operatorapi.New(b, b.logger), controlRequests, b.logger)
	}
	return s
}

func (s *servers) add(listener *keepalive.Listener, handler http.Handler, requests keepalive.Requests, logger *log.Logger) *server {
	listener.SetHeadBytes(maxHeadBytes)
	added := newServer(listener, listener.Handler(handler, requests), logger)
	s.all = append(s.all, added)
	return added
}

// newServer returns a server that does not serve yet. It sets no IdleTimeout, since net/http then closes connections on
// which a request has already arrived.
func newServer(listener *keepalive.Listener, handler http.Handler, logger *log.Logger) *server {
	return &server{listener: listener, http: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: listener.ConnState, ConnContext: listener.ConnContext, ErrorLog: logger.Std("", 0)}}
}

// serve starts all servers. One that fails for good reports its error to failed.
func (s *servers) serve(logger *log.Logger, failed chan<- error) {
	for _, server := range s.all {
		address := server.listener.Addr().String()
		accepting := netio.Persistent(server.listener, func(err error) {
			logger.Warn().Err(err).Str("address", address).Msg("cannot accept a connection")
		})
		lifecycle.Go(func() {
			if err := server.http.Serve(accepting); !errors.Is(err, net.ErrClosed) {
				failed <- errors.Wrap(err, address)
			}
		})
	}
}

// enforce applies the configuration's limits at the front and closes connections that have exceeded their idle timeout.
func (s *servers) enforce(limits configuration.Limits, logger *log.Logger) {
	for _, server := range s.all {
		timeout := controlIdleTimeout
		if server == s.front {
			timeout = limits.IdleTimeout
			server.listener.SetHeadBytes(limits.HeaderBytes)
		}
		if closed := server.listener.CloseIdle(timeout); closed > 0 {
			logger.Info().Str("address", server.listener.Addr().String()).Int("connections", closed).Dur("limit", timeout).Msg("idle connections closed")
		}
	}
}

const (
	unreadyDelay          = 2800 * time.Millisecond // the platform probes once a second and acts on the second failure
	shutdownMargin        = 800 * time.Millisecond  // time left before the platform kills the process, at most
	shutdownMarginDivisor = 8                       // the margin is at most the grace period divided by this
	shutdownIdleTimeout   = 100 * time.Millisecond  // idle timeout of connections during shutdown
	shutdownPollInterval  = 10 * time.Millisecond   // interval of checks for open connections during shutdown
)

// serveDuration returns how long a broker keeps answering after it is told to shut down. It extends into the last sixth of
// the grace period, since only requests that are still running then may go unanswered.
func serveDuration(grace time.Duration) time.Duration {
	return grace - min(shutdownMargin, grace/shutdownMarginDivisor)
}

// shutdown reports the broker as not ready, serves until the platform sends no more clients, then rejects new requests and
// waits for the open ones.
func (b *Broker) shutdown(s *servers) {
	deadline := time.Now().Add(serveDuration(b.settings.Bounds.Grace))
	b.mu.Lock()
	b.leaving = true
	b.mu.Unlock()
	b.gateway.RequestConnectionClose()
	b.node.Leave()
	b.logger.Info().Msg("leaving")
	time.Sleep(min(unreadyDelay, time.Until(deadline)/2))
	b.gateway.Close()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if s.front != nil && !s.front.drain(ctx) {
		b.logger.Warn().Int64("open", b.gateway.InFlight()).Msg("ends with open requests")
	}
}

// drain accepts no more connections, closes idle ones and waits until all are closed. It returns false if the context ends
// first. It does not use http.Server's Shutdown, which leaves a request unanswered if it arrives on a connection that
// Shutdown considers idle.
func (s *server) drain(ctx context.Context) bool {
	s.listener.Close()
	for {
		s.listener.CloseIdle(shutdownIdleTimeout)
		if s.listener.Open() == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(shutdownPollInterval):
		}
	}
}
