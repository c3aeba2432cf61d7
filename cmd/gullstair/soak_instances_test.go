package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/stretchr/testify/require"
)

// soakInstanceProcess is an emulated instance.
type soakInstanceProcess struct {
	s        *soak
	id       string
	service  string
	server   *http.Server
	address  string
	stopped  chan struct{}
	mu       sync.Mutex
	version  int64
	busy     bool
	fence    uint64
	sequence uint64
	state    string
	ackedAt  time.Time       // when its draining was acknowledged
	running  map[string]bool // requests in progress
}

// startInstance starts an instance with a version of the weights.
func (s *soak) startInstance(service string, version int64) *soakInstanceProcess {
	listener, err := net.Listen("tcp4", s.net+".250.1:0")
	require.NoError(s.t, err)
	s.mu.Lock()
	s.serial++
	i := &soakInstanceProcess{s: s, id: fmt.Sprintf("i-%d", s.serial), service: service, address: listener.Addr().String(), version: version,
		state: "ready", stopped: make(chan struct{}), running: map[string]bool{}}
	s.instances = append(s.instances, i)
	s.mu.Unlock()
	i.server = &http.Server{Handler: i}
	s.t.Cleanup(func() { i.server.Close() })
	go func() { _ = i.server.Serve(listener) }()
	s.beating.Go(i.beat)
	return i
}

// send sends one heartbeat or a deregistration to some broker; it reports whether the broker acknowledged it.
func (i *soakInstanceProcess) send(what string) bool {
	i.mu.Lock()
	i.sequence++
	body, _ := json.Marshal(map[string]any{"service": i.service, "address": i.address, "zone": "z", "slots": 16, "state": i.state, "sequence": i.sequence,
		"models": []map[string]any{{"name": soakModel, "version": i.version}}})
	i.mu.Unlock()
	status, _ := i.s.any().call(time.Second, http.MethodPost, "/v1/instances/"+i.id+"/"+what, "", string(body))
	return status == http.StatusOK
}

func (i *soakInstanceProcess) beat() {
	for {
		for try := 0; try < 20 && !i.send("heartbeat"); try++ {
			select {
			case <-i.stopped:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
		select {
		case <-i.stopped:
			return
		case <-i.s.checked:
			return
		case <-time.After(600 * time.Millisecond):
		}
	}
}

// takeInstance picks a random instance that is to end, and removes it from the list.
func (s *soak) takeInstance() *soakInstanceProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.rng.IntN(len(s.instances))
	i := s.instances[at]
	s.instances = slices.Delete(s.instances, at, at+1)
	return i
}

// crashInstance ends an instance without notice and restarts it under another ID with the same weights.
func (s *soak) crashInstance() {
	old := s.takeInstance()
	close(old.stopped)
	old.mu.Lock()
	version := old.version
	running := slices.Collect(maps.Keys(old.running))
	old.mu.Unlock()
	s.mu.Lock()
	for _, id := range running {
		s.requests[id].aborted = true
	}
	s.mu.Unlock()
	old.server.Close()
	s.count("instances crashed")
	s.pause(s.between(0, time.Second))
	s.startInstance(old.service, version)
}

// replaceInstance starts a successor, drains an instance, and ends it once the fleet acknowledged the draining long
// enough ago.
func (s *soak) replaceInstance() {
	old := s.takeInstance()
	s.mu.Lock()
	newest := s.version
	s.mu.Unlock()
	s.startInstance(old.service, newest)
	close(old.stopped)
	old.mu.Lock()
	old.state = "draining"
	old.mu.Unlock()
	for !old.send("heartbeat") {
		if !s.pause(50 * time.Millisecond) {
			return
		}
	}
	old.mu.Lock()
	old.ackedAt = time.Now()
	old.mu.Unlock()
	if s.pause(soakDrain + time.Second) {
		old.send("deregister")
		s.pause(soakAnswer) // lets the requests that it has begun finish
		old.server.Close()
	}
	s.count("instances replaced")
}

func (i *soakInstanceProcess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != i.id {
		w.Header().Set("X-Instance-Id", i.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/order":
		i.order(w, r)
	case "/v1/report":
		i.mu.Lock()
		defer i.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"busy": i.busy, "models": []map[string]any{{"name": soakModel, "version": i.version}}})
	case "/v1/kv-events":
		select {
		case <-time.After(time.Second):
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, `{"epoch":1,"next_page_token":0,"lost":false,"events":[]}`)
	case "/v1/kv-list":
		_, _ = io.WriteString(w, `{"epoch":1,"next_page_token":0,"held":[]}`)
	default:
		i.serveRequest(w, r)
	}
}

func (i *soakInstanceProcess) order(w http.ResponseWriter, r *http.Request) {
	order := struct {
		Version int64  `json:"version"`
		Fence   uint64 `json:"fence_token"`
	}{}
	_ = json.NewDecoder(r.Body).Decode(&order)
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case order.Fence < i.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case i.busy:
		w.WriteHeader(http.StatusConflict)
	case i.version < order.Version:
		i.fence, i.busy = order.Fence, true
		time.AfterFunc(200*time.Millisecond, func() {
			i.mu.Lock()
			defer i.mu.Unlock()
			i.version, i.busy = order.Version, false
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

// serveRequest runs a client's request after some time in a queue.
func (i *soakInstanceProcess) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	_, _ = io.Copy(io.Discard, r.Body)
	i.mu.Lock()
	expected, _ := strconv.ParseInt(r.Header.Get("Expect-Version"), 10, 64)
	busy, version, drained := i.busy, i.version, i.ackedAt
	i.mu.Unlock()
	switch {
	case i.service == "llm" && expected != version:
		w.Header().Set("Versions", strconv.FormatInt(version, 10))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case busy:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	pauses := i.s.pauses(i.service)
	i.s.requestStarted(id, i, version, drained, sum(pauses))
	i.setRunning(id, true)
	defer i.setRunning(id, false)
	w.Header().Set("X-Server-Stamp", i.id+"."+id)
	if i.service == "plain" {
		time.Sleep(pauses[0])
		_, _ = io.WriteString(w, "done "+id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= soakEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(pauses[n-1])
	}
}

// pauses draws the pauses between the events of a run. Some streams last longer than a broker reports not ready during
// its shutdown.
func (s *soak) pauses(service string) []time.Duration {
	most := 60
	if service == "llm" && s.draw(6) == 0 {
		most = 1000
	}
	pauses := make([]time.Duration, soakEvents)
	for n := range pauses {
		pauses[n] = time.Duration(5+s.draw(most)) * time.Millisecond
	}
	return pauses
}

// setRunning records that a request runs or has ended.
func (i *soakInstanceProcess) setRunning(id string, runs bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !runs {
		delete(i.running, id)
		return
	}
	i.running[id] = true
}

func sum(all []time.Duration) (total time.Duration) {
	for _, d := range all {
		total += d
	}
	return total
}

const soakEvents = 5
