package router

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"gullstair/internal/cluster"
	"gullstair/internal/journalfile"
	"gullstair/internal/memnet"
	"gullstair/internal/settings"
)

// These tests run a fleet in virtual time: real brokers on an in-memory network and in-memory disks, with emulated model
// servers, an operator and clients. The emulated servers and clients check the invariants.

const (
	frontPort   = "8388"
	readyPort   = "8384"
	controlPort = "8381"
	modelName   = "m"
)

type memoryFile struct{ text []byte }

// memoryDisk is the disk of a machine. It outlives the processes on the machine, each of which has a diskHandle.
type memoryDisk struct {
	mu    sync.Mutex
	files map[string]*memoryFile
	fail  bool          // rejects every write
	stall chan struct{} // syncs wait until it is closed; nil: they do not wait
}

// size returns the total size of the files in bytes.
func (d *memoryDisk) size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := 0
	for _, file := range d.files {
		total += len(file.text)
	}
	return total
}

// diskHandle is a process's access to a disk. It rejects writes after the process has ended.
type diskHandle struct {
	disk  *memoryDisk
	ended *bool
	path  string
}

var errDiskRejects = errors.New("the disk rejects the operation")

func (d *diskHandle) writesFail() bool { return d.disk.fail || *d.ended }

func (d *diskHandle) List() ([]string, error) {
	d.disk.mu.Lock()
	defer d.disk.mu.Unlock()
	var names []string
	for name := range d.disk.files {
		if rest, here := strings.CutPrefix(name, d.path+"/"); here && !strings.Contains(rest, "/") {
			names = append(names, rest)
		}
	}
	slices.Sort(names)
	return names, nil
}

func (d *diskHandle) Read(name string) ([]byte, error) {
	d.disk.mu.Lock()
	defer d.disk.mu.Unlock()
	file, ok := d.disk.files[d.path+"/"+name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return slices.Clone(file.text), nil
}

func (d *diskHandle) Create(name string) (journalfile.File, error) {
	d.disk.mu.Lock()
	defer d.disk.mu.Unlock()
	if d.writesFail() {
		return nil, errDiskRejects
	}
	file := &memoryFile{}
	d.disk.files[d.path+"/"+name] = file
	return &diskFile{handle: d, file: file}, nil
}

func (d *diskHandle) Reserve(name string, size int64, footer []byte) (journalfile.File, error) {
	d.disk.mu.Lock()
	defer d.disk.mu.Unlock()
	if d.writesFail() {
		return nil, errDiskRejects
	}
	file := &memoryFile{append(make([]byte, size), footer...)}
	d.disk.files[d.path+"/"+name] = file
	return &diskFile{handle: d, file: file}, nil
}

func (d *diskHandle) Rename(from, to string) error {
	d.disk.mu.Lock()
	defer d.disk.mu.Unlock()
	if d.writesFail() {
		return errDiskRejects
	}
	d.disk.files[d.path+"/"+to] = d.disk.files[d.path+"/"+from]
	delete(d.disk.files, d.path+"/"+from)
	return nil
}

func (d *diskHandle) Append(string, int64) (journalfile.File, error) { return nil, errDiskRejects }
func (d *diskHandle) Sync() error                                    { return nil }

func (d *diskHandle) Remove(name string) error {
	d.disk.mu.Lock()
	defer d.disk.mu.Unlock()
	if d.writesFail() {
		return errDiskRejects
	}
	delete(d.disk.files, d.path+"/"+name)
	return nil
}

type diskFile struct {
	handle *diskHandle
	file   *memoryFile
	at     int // where the next write goes
}

func (f *diskFile) Write(b []byte) (int, error) {
	f.handle.disk.mu.Lock()
	defer f.handle.disk.mu.Unlock()
	if f.handle.writesFail() {
		return 0, errDiskRejects
	}
	kept := copy(f.file.text[min(f.at, len(f.file.text)):], b)
	f.file.text = append(f.file.text, b[kept:]...)
	f.at += len(b)
	return len(b), nil
}

func (f *diskFile) Sync() error {
	f.handle.disk.mu.Lock()
	stall := f.handle.disk.stall
	f.handle.disk.mu.Unlock()
	if stall != nil {
		<-stall
	}
	f.handle.disk.mu.Lock()
	defer f.handle.disk.mu.Unlock()
	if f.handle.writesFail() {
		return errDiskRejects
	}
	return nil
}

func (f *diskFile) Close() error { return nil }

// machine is a machine with its broker process.
type machine struct {
	ip, name, zone string
	core           bool // has a disk and may become a voter
	disk           *memoryDisk
	ended          *bool
	broker         *Broker
	cancel         context.CancelFunc
	done           chan struct{}
	bootstrap      bool
}

// simFleet is a simulated fleet with its network, machines, model servers, and the observations that its checks need.
type simFleet struct {
	t        *testing.T
	net      *memnet.Net
	rng      *rand.Rand
	machines []*machine
	servers  map[string]*modelServer // by id
	serial   int

	mu            sync.Mutex
	executions    map[string]int      // how often a request was executed, by id
	delivered     map[string]int      // how often a request reached an instance, by id
	arrivals      int                 // arrivals of requests at instances with a model
	streamStarted map[string]bool     // requests whose stream has sent a complete event
	noKills       bool                // no process is killed, so whatever an instance sends arrives
	rejected      map[string]bool     // requests whose clients were told that they are not executed
	executeOnce   map[string]bool     // requests that may be executed only once
	sent          map[string]bool     // requests that clients have sent
	namedAt       map[int64]time.Time // when a version of the weights was acknowledged
	receipts      []receipt           // arrivals of requests at instances of any service
	violations    []string

	budgetSlack  int // fixed part of the retry budget in the brokers' settings
	sharedTokens int // length of the prompt part that requests about the same subject share
}

// receipt is the arrival of a request at an instance, whether it was executed there or not.
type receipt struct {
	at      time.Time
	service string // service of the instance
	request string
}

var zones = []string{"a", "b", "c"}

func newSimFleet(t *testing.T, seed uint64, brokers, core int) *simFleet {
	return newSimFleetWithBudget(t, seed, brokers, core, 20)
}

// newSimFleetWithBudget starts a fleet with the given fixed part of the retry budget. The first core machines have a disk and may
// become voters.
func newSimFleetWithBudget(t *testing.T, seed uint64, brokers, core, budgetSlack int) *simFleet {
	return newSimFleetWith(t, seed, brokers, core, budgetSlack, func(*memoryDisk) {})
}

// newSimFleetOnDisks starts a fleet on disks that prepare has changed.
func newSimFleetOnDisks(t *testing.T, seed uint64, brokers, core int, prepare func(*memoryDisk)) *simFleet {
	return newSimFleetWith(t, seed, brokers, core, 20, prepare)
}

func newSimFleetWith(t *testing.T, seed uint64, brokers, core, budgetSlack int, prepare func(*memoryDisk)) *simFleet {
	w := &simFleet{t: t, net: memnet.New(500 * time.Microsecond), rng: rand.New(rand.NewPCG(seed, 5)), servers: map[string]*modelServer{},
		executions: map[string]int{}, delivered: map[string]int{}, streamStarted: map[string]bool{}, rejected: map[string]bool{}, executeOnce: map[string]bool{}, sent: map[string]bool{},
		namedAt: map[int64]time.Time{}, budgetSlack: budgetSlack, sharedTokens: 2000}
	for i := range brokers {
		m := &machine{ip: fmt.Sprintf("10.0.0.%d", i+1), name: fmt.Sprintf("front-%d", i+1), zone: zones[i%len(zones)], core: i < core,
			disk: &memoryDisk{files: map[string]*memoryFile{}}, bootstrap: true}
		w.machines = append(w.machines, m)
	}
	for _, m := range w.machines {
		prepare(m.disk)
		w.start(m)
	}
	return w
}

// machineAt returns the machine at an index modulo the number of machines.
func (w *simFleet) machineAt(at int) *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machines[at%len(w.machines)]
}

// anyMachine returns a random machine.
func (w *simFleet) anyMachine() *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machines[w.rng.IntN(len(w.machines))]
}

// setMachines changes the machines that instances, clients and the operator call.
func (w *simFleet) setMachines(machines []*machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machines = machines
}

// failf records the violation of an invariant; the test fails when the fleet is stopped.
func (w *simFleet) failf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

func (w *simFleet) settingsFile(m *machine) string {
	var seeds []string
	for _, other := range w.machines[:3] {
		seeds = append(seeds, other.ip+":"+controlPort)
	}
	lines := []string{"node_name=" + m.name, "ip=" + m.ip, "zone=" + m.zone, "region=r", "listen.front=" + m.ip + ":" + frontPort,
		"listen.readiness=" + m.ip + ":" + readyPort, "listen.control=" + m.ip + ":" + controlPort, "ephemeral_ports=7000,7015",
		"seeds=" + strings.Join(seeds, ","), "bootstrap=" + strconv.FormatBool(m.bootstrap), "limits.memory_mb=200",
		"bounds.fencing=true", "bounds.retry_budget_ratio=0.2", fmt.Sprint("bounds.retry_budget_slack=", w.budgetSlack)}
	if m.core {
		lines = append(lines, "counts_for_quorum=true", "data_dir=/data")
	}
	return strings.Join(lines, "\n")
}

// start starts the broker process of a machine.
func (w *simFleet) start(m *machine) {
	s, err := settings.Parse([]byte(w.settingsFile(m)))
	if err != nil {
		w.t.Fatal(err)
	}
	ended := new(bool)
	disk := m.disk
	environment := cluster.Environment{Network: w.net.Host(m.ip), OpenDisk: func(path string) (journalfile.Disk, error) {
		return &diskHandle{disk: disk, ended: ended, path: path}, nil
	}}
	logger := &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
	broker, failure := New(context.Background(), s, "", logger, environment)
	if failure != nil {
		w.t.Fatal(failure)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.broker, m.cancel, m.ended, m.done = broker, cancel, ended, make(chan struct{})
	done := m.done
	go func() {
		defer close(done)
		if failure := broker.Run(ctx); failure != nil {
			w.failf("%s failed to run: %v", m.name, failure)
		}
	}()
	m.bootstrap = false
}

// kill ends a broker's process at once. With powerLoss set, its machine stops too and its peers get no connection resets.
func (w *simFleet) kill(m *machine, powerLoss bool) {
	m.disk.mu.Lock()
	*m.ended = true
	m.disk.mu.Unlock()
	w.net.Kill(m.ip, powerLoss)
	m.cancel()
}

// restart starts a broker again, with an empty disk if wiped is set.
func (w *simFleet) restart(m *machine, wiped bool) {
	w.net.Start(m.ip)
	if wiped {
		m.disk = &memoryDisk{files: map[string]*memoryFile{}}
	}
	w.start(m)
}

// shutdown stops all processes, waits for them, and reports the recorded violations.
func (w *simFleet) shutdown() {
	for _, s := range w.servers {
		s.stop()
	}
	for _, m := range w.machines {
		w.kill(m, false)
	}
	for _, m := range w.machines {
		<-m.done
	}
	time.Sleep(time.Minute)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, f := range w.violations {
		w.t.Error(f)
	}
}

// cachedPart is a prompt part in a server's cache, with the version and the tenant that produced it.
type cachedPart struct {
	tokens   int
	version  int64
	tenant   string
	isolated bool
}

// modelServer is an emulated instance of a service, with or without a model.
type modelServer struct {
	w       *simFleet // the fleet that the server belongs to
	id      string
	service string
	ip      string
	zone    string
	server  *http.Server
	stopped chan struct{}

	mu              sync.Mutex
	version         int64
	busy            bool
	rejectsAll      bool          // rejects all requests
	ignoresOrders   bool          // does not answer orders
	queueTime       time.Duration // how long a request is queued before it is executed
	minPrefill      time.Duration // minimum time from the start of a request to its first event
	eventInterval   time.Duration // interval between events, if longer than the default
	heartbeatAtOnce bool          // sends its first heartbeat immediately
	noHeartbeats    bool          // sends no heartbeats

	misdirected int // number of orders received for the previous instance at this address
	state       string
	sequence    uint64
	running     int
	parts       map[string]cachedPart // by salt and id
	events      [][]any
	ackedAt     time.Time // when its draining was acknowledged
	fence       uint64
	holder      string
	cutAfter    int // number of events after which streams are cut; 0 means never
	orders      int
	retained    map[string]bool // parts of requests that keep running while new weights are loaded
	loads       int
}

const (
	streamEvents         = 6
	defaultEventInterval = 20 * time.Millisecond
	prefillPerToken      = 10 * time.Microsecond
	loadTime             = 290 * time.Millisecond
)

// startServer starts an instance of a service. It sends its first heartbeat after the usual interval.
func (w *simFleet) startServer(service, zone string) *modelServer {
	return w.startServerWith(service, zone, nil)
}

// startServerWith starts an instance after applying change to it. With a change it sends its first heartbeat immediately.
func (w *simFleet) startServerWith(service, zone string, change func(*modelServer)) *modelServer {
	w.mu.Lock()
	w.serial++
	number := w.serial
	s := &modelServer{w: w, id: fmt.Sprintf("i-%04d", number), service: service, ip: fmt.Sprintf("10.9.%d.%d", number/250, number%250+1), zone: zone,
		version: 1, state: "ready", parts: map[string]cachedPart{}, retained: map[string]bool{}, stopped: make(chan struct{})}
	w.servers[s.id] = s
	w.mu.Unlock()
	if change != nil {
		change(s)
		s.heartbeatAtOnce = true
	}
	network := w.net.Host(s.ip)
	listener, err := network.Listen(s.ip + ":80")
	if err != nil {
		w.t.Fatal(err)
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	if !s.noHeartbeats {
		go s.sendHeartbeats(w.client(s.ip), number)
	}
	return s
}

func (s *modelServer) stop() {
	select {
	case <-s.stopped:
	default:
		close(s.stopped)
	}
	s.w.net.Kill(s.ip, false)
	s.server.Close()
}

// client returns an HTTP client on a host. Each of its requests uses a new connection.
func (w *simFleet) client(ip string) *http.Client {
	network := w.net.Host(ip)
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return network.Dial(ctx, address, time.Second)
	}}}
}

// sendHeartbeats sends heartbeats, and switches to another broker after each failure.
func (s *modelServer) sendHeartbeats(client *http.Client, at int) {
	for first := s.heartbeatAtOnce; ; first = false {
		pause := 1200 * time.Millisecond / 4 * time.Duration(3+at%3)
		if first {
			pause = 0
		}
		select {
		case <-s.stopped:
			return
		case <-time.After(pause):
		}
		m := s.w.machineAt(at)
		s.mu.Lock()
		s.sequence++
		body, _ := json.Marshal(map[string]any{"service": s.service, "address": s.ip + ":80", "zone": s.zone, "slots": 8, "state": s.state,
			"models": []map[string]any{{"name": modelName, "version": s.version}}, "sequence": s.sequence})
		draining := s.state == "draining"
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.ip+":"+controlPort+"/v1/instances/"+s.id+"/heartbeat",
			strings.NewReader(string(body)))
		response, err := client.Do(request)
		if err == nil {
			response.Body.Close()
		}
		cancel()
		if err != nil || response.StatusCode != http.StatusOK {
			at++
			continue
		}
		if draining {
			s.mu.Lock()
			if s.ackedAt.IsZero() {
				s.ackedAt = time.Now()
			}
			s.mu.Unlock()
		}
	}
}

func (s *modelServer) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = "draining"
}

func (s *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Request-Id"); id != "" {
		s.w.recordReceipt(s.service, id)
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		if r.URL.Path == "/v1/order" {
			s.set(func(s *modelServer) { s.misdirected++ })
		}
		return
	}
	switch r.URL.Path {
	case "/v1/order":
		s.acceptOrder(w, r)
	case "/v1/report":
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"busy": s.busy, "models": []map[string]any{{"name": modelName, "version": s.version}}})
	case "/v1/kv-events":
		s.serveEvents(w, r)
	case "/v1/kv-list":
		s.serveList(w)
	default:
		s.execute(w, r)
	}
}

func (s *modelServer) acceptOrder(w http.ResponseWriter, r *http.Request) {
	order := struct {
		Version int64  `json:"version"`
		Holder  string `json:"holder"`
		Fence   uint64 `json:"fence_token"`
		Method  string `json:"method"`
	}{}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Holder == "" || order.Fence == 0 || order.Method != "retain" {
		s.w.failf("%s got an invalid order: %+v", s.id, order)
	}
	s.mu.Lock()
	if s.ignoresOrders {
		s.mu.Unlock()
		<-r.Context().Done()
		return
	}
	defer s.mu.Unlock()
	s.orders++
	if order.Fence == s.fence && order.Holder != s.holder {
		s.w.failf("%s: %s and %s share fencing token %d", s.id, s.holder, order.Holder, order.Fence)
	}
	switch {
	case order.Fence < s.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case s.busy:
		w.WriteHeader(http.StatusConflict)
		return
	case s.version >= order.Version:
		return
	}
	s.fence, s.holder, s.busy = order.Fence, order.Holder, true
	s.loads++
	go s.load(order.Version)
	w.WriteHeader(http.StatusAccepted)
}

// load loads new weights. The cache is dropped, and the parts that running requests leave in it belong to neither version.
func (s *modelServer) load(version int64) {
	time.Sleep(loadTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.parts {
		salt, id, _ := strings.Cut(key, " ")
		s.addEvent("-", salt, id, 0)
	}
	s.version, s.busy, s.parts = version, false, map[string]cachedPart{}
	for key := range s.retained {
		s.parts[key] = cachedPart{tokens: 1, version: -1}
	}
	s.retained = map[string]bool{}
}

// addEvent appends a cache event. The caller holds s.mu.
func (s *modelServer) addEvent(sign, salt, id string, tokens int) {
	s.events = append(s.events, []any{len(s.events) + 1, sign, salt, id, tokens, modelName})
}

func (s *modelServer) serveEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	deadline := time.Now().Add(time.Second)
	for {
		s.mu.Lock()
		n := len(s.events)
		if n > since || time.Now().After(deadline) {
			break
		}
		s.mu.Unlock()
		select {
		case <-time.After(50 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"epoch": 7, "next_page_token": len(s.events), "lost": since > len(s.events),
		"events": s.events[min(since, len(s.events)):]})
}

func (s *modelServer) serveList(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := [][]any{}
	for _, key := range slices.Sorted(maps.Keys(s.parts)) {
		salt, id, _ := strings.Cut(key, " ")
		held = append(held, []any{salt, id, s.parts[key].tokens, modelName})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"epoch": 7, "next_page_token": len(s.events), "held": held})
}

// execute runs a request.
func (s *modelServer) execute(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	body, _ := io.ReadAll(r.Body)
	if r.Header.Get("Authorization") != "" {
		s.w.failf("%s received a client's API key", s.id)
	}
	s.w.mu.Lock()
	s.w.delivered[id]++
	s.w.mu.Unlock()
	if s.service == "llm" {
		s.w.recordArrival(id, r.Header.Get("Last-Event-Id"))
	}
	if !s.waitInQueue(r) {
		return // the sender has disconnected
	}
	s.mu.Lock()
	expected, _ := strconv.ParseInt(r.Header.Get("Expect-Version"), 10, 64)
	switch {
	case !s.ackedAt.IsZero() && time.Since(s.ackedAt) > 2*time.Second:
		s.mu.Unlock()
		s.w.failf("%s got a request %v after its drain was acknowledged", s.id, time.Since(s.ackedAt))
		return
	case s.service == "llm" && expected != s.version:
		w.Header().Set("Versions", strconv.FormatInt(s.version, 10))
		s.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case s.busy || s.rejectsAll:
		s.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.service == "llm" {
		s.w.checkWeights(id, s)
	}
	s.running++
	for field := range strings.SplitSeq(r.Header.Get("X-Prompt-Prefix"), ",") {
		id, _, _ := strings.Cut(field, ":")
		s.retained[r.Header.Get("Cache-Salt")+" "+id] = s.service == "llm"
	}
	missing := s.prefill(r)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	s.w.checkRun(id, string(body))
	s.mu.Lock()
	prefillTime := max(s.minPrefill, time.Duration(missing)*prefillPerToken)
	s.mu.Unlock()
	time.Sleep(prefillTime)
	w.Header().Set("X-Server-Stamp", s.id+"."+id)
	if s.service == "llm" {
		s.stream(w, r)
		return
	}
	time.Sleep(10 * time.Millisecond)
	_, _ = w.Write([]byte("done " + id))
}

// waitInQueue delays a request by the queueing time. It returns false if the sender disconnects meanwhile.
func (s *modelServer) waitInQueue(r *http.Request) bool {
	s.mu.Lock()
	queued := s.queueTime
	s.mu.Unlock()
	if queued == 0 {
		return true
	}
	select {
	case <-time.After(queued):
		return r.Context().Err() == nil
	case <-r.Context().Done():
		return false
	}
}

// versionBound is how long after the acknowledgement of a version requests may still start on older weights.
const versionBound = 6 * time.Second

// checkWeights checks that a request may start on the instance's version of the weights. The caller holds s.mu.
func (w *simFleet) checkWeights(id string, s *modelServer) {
	w.mu.Lock()
	var overdue []string
	for version, at := range w.namedAt {
		if late := time.Since(at) - versionBound; version > s.version && late > 0 {
			overdue = append(overdue, fmt.Sprintf("%s starts at %s on version %d, %v after the bound of version %d", id, s.id, s.version, late, version))
		}
	}
	w.mu.Unlock()
	for _, text := range overdue {
		w.failf("%s", text)
	}
}

// recordReceipt records that a request has arrived at an instance of a service.
func (w *simFleet) recordReceipt(service, request string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.receipts = append(w.receipts, receipt{at: time.Now(), service: service, request: request})
}

// recordArrival counts the arrival of a request at an instance with a model. It checks that a stream which has started is resumed
// and not restarted.
func (w *simFleet) recordArrival(id, last string) {
	w.mu.Lock()
	w.arrivals++
	begun := w.streamStarted[id]
	w.mu.Unlock()
	if begun && last == "" && w.noKills {
		w.failf("%s is sent again without the id of its last event", id)
	}
}

// checkRun records that a request is executed, and checks that it may be.
func (w *simFleet) checkRun(id, body string) {
	w.mu.Lock()
	w.executions[id]++
	again, rejected, sent := w.executeOnce[id] && w.executions[id] > 1, w.rejected[id], w.sent[id]
	w.mu.Unlock()
	if again {
		w.failf("%s may not be repeated and was executed %d times", id, w.executions[id])
	}
	if rejected {
		w.failf("%s was executed after its client was told that it would not be", id)
	}
	if !sent || body != "body of "+id {
		w.failf("%s was executed with the body %q; sent by a client: %t", id, body, sent)
	}
}

// prefill reads a request's prompt from the cache and adds the missing parts to it. It returns the number of missing tokens.
// The caller holds s.mu.
func (s *modelServer) prefill(r *http.Request) (missing int) {
	salt, tenant := r.Header.Get("Cache-Salt"), r.Header.Get("X-Tenant")
	isolated := tenant == "walled"
	if s.service != "llm" {
		return 0
	}
	missed := false
	for field := range strings.SplitSeq(r.Header.Get("X-Prompt-Prefix"), ",") {
		id, count, _ := strings.Cut(field, ":")
		tokens, _ := strconv.Atoi(count)
		key := salt + " " + id
		part, kept := s.parts[key]
		if !kept || missed {
			missed = true
			missing += tokens
			s.parts[key] = cachedPart{tokens: tokens, version: s.version, tenant: tenant, isolated: isolated}
			s.addEvent("+", salt, id, tokens)
			continue
		}
		s.checkPart(r, id, part, tenant, isolated)
	}
	if source := r.Header.Get("Kv-Fetch"); source != "" {
		s.checkSource(r, source, salt, tenant, isolated)
	}
	return missing
}

func (s *modelServer) checkPart(r *http.Request, id string, part cachedPart, tenant string, isolated bool) {
	if part.version != s.version {
		s.w.failf("%s runs on part %s of version %d under version %d", r.Header.Get("X-Request-Id"), id, part.version, s.version)
	}
	if part.tenant != tenant && (isolated || part.isolated) {
		s.w.failf("%s of %q runs on part %s of %q", r.Header.Get("X-Request-Id"), tenant, id, part.tenant)
	}
}

// checkSource checks the parts that a fetch from another instance would return.
func (s *modelServer) checkSource(r *http.Request, source, salt, tenant string, isolated bool) {
	s.w.mu.Lock()
	servers := maps.Clone(s.w.servers)
	s.w.mu.Unlock()
	for _, other := range servers {
		if other.ip+":80" != source || other == s || !other.mu.TryLock() {
			continue
		}
		for field := range strings.SplitSeq(r.Header.Get("X-Prompt-Prefix"), ",") {
			id, _, _ := strings.Cut(field, ":")
			if part, kept := other.parts[salt+" "+id]; kept {
				s.checkPart(r, id, part, tenant, isolated)
			}
		}
		other.mu.Unlock()
	}
}

// stream sends the events of an answer. A resumed stream continues after the last event that the client has received.
func (s *modelServer) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.mu.Lock()
	cutAfter, interval := s.cutAfter, max(s.eventInterval, defaultEventInterval)
	s.mu.Unlock()
	for n := last + 1; n <= streamEvents; n++ {
		if cutAfter > 0 && n > cutAfter {
			_, _ = fmt.Fprintf(w, "id: %d\nda", n) // cut in the middle of an event
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		s.w.mu.Lock()
		s.w.streamStarted[r.Header.Get("X-Request-Id")] = true
		s.w.mu.Unlock()
		time.Sleep(interval)
	}
}

// replace sends a configuration to random brokers until one answers with a status below 500.
func (w *simFleet) replace(client *http.Client, base, version int64, body string) int {
	return w.change(client, "/v1/config/replace", base, version, body)
}

// change sends a change of the configuration to random brokers until one answers with a status below 500.
func (w *simFleet) change(client *http.Client, path string, base, version int64, body string) int {
	for try := 0; ; try++ {
		m := w.anyMachine()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.ip+":"+controlPort+path, strings.NewReader(body))
		request.Header.Set("X-If-Base-Version", strconv.FormatInt(base, 10))
		response, err := client.Do(request)
		cancel()
		if err == nil {
			response.Body.Close()
			if response.StatusCode < 500 {
				return response.StatusCode
			}
		}
		if try > 200 {
			w.failf("configuration %d got no definite answer", version)
			return 0
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// readBack reads the configuration from random brokers until one answers 200.
func (w *simFleet) readBack(client *http.Client) string {
	for range 200 {
		m := w.anyMachine()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.ip+":"+controlPort+"/v1/config/read", nil)
		response, err := client.Do(request)
		if err == nil {
			text, err := io.ReadAll(response.Body)
			response.Body.Close()
			if err == nil && response.StatusCode == http.StatusOK {
				cancel()
				return string(text)
			}
		}
		cancel()
		time.Sleep(100 * time.Millisecond)
	}
	return ""
}

// configurationOf returns a configuration with a route whose path contains its version.
func configurationOf(version int64, extra string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"chat","host":"h","path_prefix":"/chat/","kind":"streaming","timeout_ms":10000,"target_latency_ms":600,"priority":0,"service":"llm","max_attempts":2,"sticky":true,"resumable":true,"gap_aim_ms":300},
{"name":"once","host":"h","path_prefix":"/once/","kind":"streaming","timeout_ms":10000,"target_latency_ms":600,"priority":1,"service":"llm","max_attempts":1,"sticky":true,"gap_aim_ms":300},
{"name":"post","host":"h","path_prefix":"/post/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"plain","max_attempts":1},
{"name":"mark","host":"h","path_prefix":"/mark%d/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":300,"service":"plain","public":true}%s],
"services":[{"name":"llm","engine":{"slots":8,"kv_capacity_tokens":100000,"kv_bytes":1000,"link_mbps":100000,"max_concurrency":12,"models":[{"name":"m"}]}},{"name":"plain"}],
"tenants":[{"name":"open","api_keys":["key-open"]},{"name":"walled","api_keys":["key-walled"],"isolated":true}]}`, version, version, extra)
}

// clientAnswer is the answer that a client received.
type clientAnswer struct {
	status   int
	events   []int
	complete bool
	body     string
}

// sendRequest sends one request of a client to a broker.
func (w *simFleet) sendRequest(client *http.Client, m *machine, route, tenant string, subject int) clientAnswer {
	w.mu.Lock()
	w.serial++
	id := fmt.Sprintf("q-%06d", w.serial)
	w.sent[id] = true
	w.executeOnce[id] = route != "chat"
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.ip+":"+frontPort+"/"+route+"/x", strings.NewReader("body of "+id))
	request.Host = "h"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "8000")
	request.Header.Set("Authorization", "Bearer key-"+tenant)
	request.Header.Set("X-Tenant", "somebody else")
	if route == "chat" || route == "once" {
		request.Header.Set("X-Model", modelName)
		request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("head:300,s%d:%d,own%s:500", subject, w.sharedTokens, id))
		request.Header.Set("X-Token-Count", fmt.Sprintf("%d,40", 300+w.sharedTokens+500))
	}
	response, err := client.Do(request)
	if err != nil {
		return clientAnswer{}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	a := clientAnswer{status: response.StatusCode, complete: err == nil, body: string(text)}
	w.checkAnswer(id, route, response, &a)
	return a
}

// checkAnswer checks the answer to a request.
func (w *simFleet) checkAnswer(id, route string, response *http.Response, a *clientAnswer) {
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		w.mu.Lock()
		w.rejected[id] = true
		runs := w.executions[id]
		w.mu.Unlock()
		if runs > 0 {
			w.failf("%s was rejected after it had been executed", id)
		}
		if response.Header.Get("Retry-After") == "" {
			w.failf("%s was rejected without Retry-After", id)
		}
		return
	case http.StatusOK:
	default:
		return
	}
	if response.Header.Get("X-Server-Stamp") == "" || response.Header.Get("X-Request-Id") != id {
		w.failf("%s got a successful answer with stamp %q and id %q", id, response.Header.Get("X-Server-Stamp"), response.Header.Get("X-Request-Id"))
	}
	if route == "post" || strings.HasPrefix(route, "mark") {
		if a.complete && a.body != "done "+id {
			w.failf("%s got the body %q", id, a.body)
		}
		return
	}
	want := ""
	for n := 1; n <= streamEvents; n++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
		if strings.HasPrefix(a.body[len(want):], event) {
			want += event
			a.events = append(a.events, n)
			continue
		}
		break
	}
	if a.complete && len(a.events) < streamEvents {
		w.failf("%s got a truncated stream that ended without an error: %q", id, a.body)
	}
	if rest := a.body[len(want):]; a.complete && rest != "" {
		w.failf("%s got data beyond the end of its stream: %q", id, rest)
	}
}
