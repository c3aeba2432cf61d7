package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	drainTime         = 2 * time.Second // drain_ms
)

// server is a stand-in of one server of a service: it sends heartbeats, and runs the requests that name it.
type server struct {
	w        *world
	id       string
	service  string
	address  string
	work     time.Duration
	ran      func(s *server, r *http.Request) // called when a request begins to run
	http     *http.Server
	stopped  chan struct{}
	mu       sync.Mutex
	sequence int
	state    string
	running  int

	// failure returns the body of a failure with which the next run ends, or "" for a success. It may be nil.
	failure func() string
}

const serverSlots = 64

// startServer starts a server and returns once a broker has acknowledged its first heartbeat.
func (w *world) startServer(id, service string, work time.Duration, ran func(*server, *http.Request)) (*server, error) {
	listener, err := net.Listen("tcp4", "127.83.1.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{w: w, id: id, service: service, address: listener.Addr().String(), work: work, ran: ran, stopped: make(chan struct{}), state: "ready"}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(listener) }()
	w.atEnd(func() { s.http.Close() })
	if !s.tell("heartbeat") {
		return nil, fmt.Errorf("no broker acknowledged the first heartbeat of %s", id)
	}
	go s.beat()
	return s, nil
}

// tell sends a heartbeat or the end of the server to the brokers in turn until one acknowledges it.
func (s *server) tell(what string) bool {
	s.mu.Lock()
	s.sequence++
	body, _ := json.Marshal(map[string]any{"service": s.service, "address": s.address, "zone": "zone-a", "version": "v1", "slots": serverSlots, "state": s.state,
		"cold_remaining_ms": 0, "sequence": s.sequence})
	s.mu.Unlock()
	status, _ := s.w.control(8*time.Second, http.MethodPost, "/v1/instances/"+s.id+"/"+what, http.Header{"Content-Type": {"application/json"}}, string(body))
	return status >= 200 && status < 300
}

func (s *server) beat() {
	for {
		select {
		case <-s.stopped:
			return
		case <-time.After(heartbeatInterval):
			s.tell("heartbeat")
		}
	}
}

// leave drains the server as PROTOCOL.md says, and ends it.
func (s *server) leave() {
	close(s.stopped)
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.tell("heartbeat")
	time.Sleep(drainTime + 500*time.Millisecond)
	s.tell("deregister")
	s.http.Close()
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		rw.Header().Set("X-Instance-Id", s.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		rw.Header().Set("X-Instance-Id", s.id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	rw.Header().Set("X-Request-Id", id)
	s.mu.Lock()
	full := s.running >= serverSlots || id == ""
	if !full {
		s.running++
	}
	load := fmt.Sprintf("%d,0,%d", s.running, serverSlots)
	s.mu.Unlock()
	rw.Header().Set("X-Server-Load", load)
	if full {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running--
	}()
	s.ran(s, r)
	time.Sleep(s.work)
	rw.Header().Set("X-Server-Stamp", s.id+"."+id)
	if s.failure != nil {
		if body := s.failure(); body != "" {
			rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
			rw.WriteHeader(http.StatusInternalServerError)
			_, _ = io.WriteString(rw, body)
			return
		}
	}
	fmt.Fprintf(rw, "%s %s %s\n", s.service, s.id, id)
}
