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

// A fleet in virtual time: brokers as they are, on a network and disks in memory, with emulated model servers, an
// operator and clients. What must never happen is checked inside the emulated servers and clients.

const (
	frontPort   = "8388"
	readyPort   = "8384"
	controlPort = "8381"
	modelName   = "m"
)

// disks are the machines' disks. A process's handle ends with the process.
type memoryDisk struct {
	mu    sync.Mutex
	files map[string][]byte
	fail  bool // refuses every write
}

// size is how many bytes the files hold.
func (d *memoryDisk) size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := 0
	for _, text := range d.files {
		total += len(text)
	}
	return total
}

type diskHandle struct {
	disk  *memoryDisk
	ended *bool
	path  string
}

var errDisk = errors.New("the disk refuses")

func (d *diskHandle) refuses() bool { return d.disk.fail || *d.ended }

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
	return slices.Clone(d.disk.files[d.path+"/"+name]), nil
}

func (d *diskHandle) Create(name string) (journalfile.File, error) {
	d.disk.mu.Lock()
	defer d.disk.mu.Unlock()
	if d.refuses() {
		return nil, errDisk
	}
	d.disk.files[d.path+"/"+name] = nil
	return &diskFile{d, d.path + "/" + name}, nil
}

func (d *diskHandle) Append(string, int64) (journalfile.File, error) { return nil, errDisk }
func (d *diskHandle) Rename(string, string) error                    { return errDisk }
func (d *diskHandle) Sync() error                                    { return nil }

func (d *diskHandle) Remove(name string) error {
	d.disk.mu.Lock()
	defer d.disk.mu.Unlock()
	if d.refuses() {
		return errDisk
	}
	delete(d.disk.files, d.path+"/"+name)
	return nil
}

type diskFile struct {
	d    *diskHandle
	name string
}

func (f *diskFile) Write(b []byte) (int, error) {
	f.d.disk.mu.Lock()
	defer f.d.disk.mu.Unlock()
	if f.d.refuses() {
		return 0, errDisk
	}
	f.d.disk.files[f.name] = append(f.d.disk.files[f.name], b...)
	return len(b), nil
}

func (f *diskFile) Sync() error {
	f.d.disk.mu.Lock()
	defer f.d.disk.mu.Unlock()
	if f.d.refuses() {
		return errDisk
	}
	return nil
}

func (f *diskFile) Close() error { return nil }

// machine is a broker's machine.
type machine struct {
	ip, name, zone string
	core           bool
	disk           *memoryDisk
	ended          *bool
	broker         *Broker
	cancel         context.CancelFunc
	done           chan struct{}
	bootstrap      bool
}

type world struct {
	t        *testing.T
	net      *memnet.Net
	rng      *rand.Rand
	machines []*machine
	servers  map[string]*modelServer // by id
	serial   int

	mu       sync.Mutex
	runs     map[string]int  // of a request, by id
	passed   map[string]int  // how often a request reached an instance, by id
	arrivals int             // of requests at instances with a model
	begun    map[string]bool // streams of which a whole event was sent
	delivers bool            // what an instance has sent arrives: none is ended at once
	promised map[string]bool
	unsafe   map[string]bool
	asked    map[string]bool
	named    map[int64]time.Time // when a version of the weights was acknowledged
	receipts []receipt           // of requests at instances
	faults   []string

	budgetSlack  int // the fixed part of the retry budget in the brokers' settings
	sharedTokens int // of a prompt, for all that are about one subject
}

// receipt is the arrival of a request at an instance, whether it ran there or not.
type receipt struct {
	at      time.Time
	service string // of the instance
	request string
}

var zones = []string{"a", "b", "c"}

func newWorld(t *testing.T, seed uint64, brokers, core int) *world {
	return newWorldWith(t, seed, brokers, core, 20)
}

// newWorldWith starts brokers whose settings give the retry budget a fixed part.
func newWorldWith(t *testing.T, seed uint64, brokers, core, budgetSlack int) *world {
	w := &world{t: t, net: memnet.New(500 * time.Microsecond), rng: rand.New(rand.NewPCG(seed, 5)), servers: map[string]*modelServer{},
		runs: map[string]int{}, passed: map[string]int{}, begun: map[string]bool{}, promised: map[string]bool{}, unsafe: map[string]bool{}, asked: map[string]bool{},
		named: map[int64]time.Time{}, budgetSlack: budgetSlack, sharedTokens: 2000}
	for i := range brokers {
		m := &machine{ip: fmt.Sprintf("10.0.0.%d", i+1), name: fmt.Sprintf("front-%d", i+1), zone: zones[i%len(zones)], core: i < core,
			disk: &memoryDisk{files: map[string][]byte{}}, bootstrap: true}
		w.machines = append(w.machines, m)
	}
	for _, m := range w.machines {
		w.start(m)
	}
	return w
}

// machineAt is one of the machines, counted round and round.
func (w *world) machineAt(at int) *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machines[at%len(w.machines)]
}

// anyMachine draws a machine.
func (w *world) anyMachine() *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machines[w.rng.IntN(len(w.machines))]
}

// setMachines changes who instances, clients and the operator call.
func (w *world) setMachines(machines []*machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machines = machines
}

// fault notes that something happened that must not.
func (w *world) fault(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

func (w *world) settingsOf(m *machine) string {
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

// start begins a broker's process.
func (w *world) start(m *machine) {
	s, err := settings.Parse([]byte(w.settingsOf(m)))
	if err != nil {
		w.t.Fatal(err)
	}
	ended := new(bool)
	disk := m.disk
	environment := cluster.Environment{Network: w.net.Host(m.ip), OpenDisk: func(path string) (journalfile.Disk, error) {
		return &diskHandle{disk: disk, ended: ended, path: path}, nil
	}}
	logger := &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
	broker, err := New(s, "", logger, environment)
	if err != nil {
		w.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.broker, m.cancel, m.ended, m.done = broker, cancel, ended, make(chan struct{})
	done := m.done
	go func() {
		defer close(done)
		if err := broker.Run(ctx); err != nil {
			w.fault("%s does not run: %v", m.name, err)
		}
	}()
	m.bootstrap = false
}

// kill ends a broker's process at once.
func (w *world) kill(m *machine, dark bool) {
	m.disk.mu.Lock()
	*m.ended = true
	m.disk.mu.Unlock()
	w.net.Kill(m.ip, dark)
	m.cancel()
}

// restart starts a broker again; wiped: its disk is empty.
func (w *world) restart(m *machine, wiped bool) {
	w.net.Start(m.ip)
	if wiped {
		m.disk = &memoryDisk{files: map[string][]byte{}}
	}
	w.start(m)
}

// end ends everything, and waits for it.
func (w *world) end() {
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
	for _, f := range w.faults {
		w.t.Error(f)
	}
}

// cachedPart is a part that a server keeps, and what it was made by.
type cachedPart struct {
	tokens   int
	version  int64
	tenant   string
	isolated bool
}

// modelServer is an emulated instance with a model, or without one.
type modelServer struct {
	w       *world
	id      string
	service string
	ip      string
	zone    string
	server  *http.Server
	stopped chan struct{}

	mu      sync.Mutex
	version int64
	busy    bool
	full    bool          // refuses whatever comes
	deaf    bool          // gives no answer to orders
	queued  time.Duration // how long a request waits until it begins to run
	reading time.Duration // how long it runs at least before its first event
	pace    time.Duration // between its events, if that is longer than usual
	soon    bool          // it tells of itself at once
	silent  bool          // it tells nobody of itself

	misdirected int // orders to the instance that had its address before
	state       string
	sequence    uint64
	running     int
	parts       map[string]cachedPart // by salt and id
	events      [][]any
	ackedAt     time.Time // that it drains
	fence       uint64
	holder      string
	breakAt     int // streams are cut after so many events; 0: they are not
	orders      int
	retained    map[string]bool // parts of the runs that go on while new weights are loaded
	loads       int
}

const (
	streamEvents = 6
	eventEvery   = 20 * time.Millisecond
	readToken    = 10 * time.Microsecond
	loadTime     = 290 * time.Millisecond
)

// startServer begins an instance of a service, which tells of itself after a while.
func (w *world) startServer(service, zone string) *modelServer {
	return w.startServerWith(service, zone, nil)
}

// startServerWith begins an instance that change has been applied to. Where there is such a change it tells of itself at once.
func (w *world) startServerWith(service, zone string, change func(*modelServer)) *modelServer {
	w.mu.Lock()
	w.serial++
	number := w.serial
	s := &modelServer{w: w, id: fmt.Sprintf("i-%04d", number), service: service, ip: fmt.Sprintf("10.9.%d.%d", number/250, number%250+1), zone: zone,
		version: 1, state: "ready", parts: map[string]cachedPart{}, retained: map[string]bool{}, stopped: make(chan struct{})}
	w.servers[s.id] = s
	w.mu.Unlock()
	if change != nil {
		change(s)
		s.soon = true
	}
	network := w.net.Host(s.ip)
	listener, err := network.Listen(s.ip + ":80")
	if err != nil {
		w.t.Fatal(err)
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	if !s.silent {
		go s.beat(w.client(s.ip), number)
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

// client is an HTTP client on a host; each request has a connection of its own.
func (w *world) client(ip string) *http.Client {
	network := w.net.Host(ip)
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return network.Dial(ctx, address, time.Second)
	}}}
}

// beat sends heartbeats, to another broker after each failure.
func (s *modelServer) beat(client *http.Client, at int) {
	for first := s.soon; ; first = false {
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
		drains := s.state == "draining"
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
		if drains {
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
		s.w.received(s.service, id)
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
		s.order(w, r)
	case "/v1/report":
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"busy": s.busy, "models": []map[string]any{{"name": modelName, "version": s.version}}})
	case "/v1/kv-events":
		s.tellEvents(w, r)
	case "/v1/kv-list":
		s.tellList(w)
	default:
		s.work(w, r)
	}
}

func (s *modelServer) order(w http.ResponseWriter, r *http.Request) {
	order := struct {
		Version int64  `json:"version"`
		Holder  string `json:"holder"`
		Fence   uint64 `json:"fence_token"`
		Method  string `json:"method"`
	}{}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Holder == "" || order.Fence == 0 || order.Method != "retain" {
		s.w.fault("%s got an order that is none: %+v", s.id, order)
	}
	s.mu.Lock()
	if s.deaf {
		s.mu.Unlock()
		<-r.Context().Done()
		return
	}
	defer s.mu.Unlock()
	s.orders++
	if order.Fence == s.fence && order.Holder != s.holder {
		s.w.fault("%s: %s and %s share fencing token %d", s.id, s.holder, order.Holder, order.Fence)
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

// load takes new weights; what was kept is dropped, and what the runs that go on leave is of neither version.
func (s *modelServer) load(version int64) {
	time.Sleep(loadTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.parts {
		salt, id, _ := strings.Cut(key, " ")
		s.note("-", salt, id, 0)
	}
	s.version, s.busy, s.parts = version, false, map[string]cachedPart{}
	for key := range s.retained {
		s.parts[key] = cachedPart{tokens: 1, version: -1}
	}
	s.retained = map[string]bool{}
}

// note adds an event; s.mu is held.
func (s *modelServer) note(sign, salt, id string, tokens int) {
	s.events = append(s.events, []any{len(s.events) + 1, sign, salt, id, tokens, modelName})
}

func (s *modelServer) tellEvents(w http.ResponseWriter, r *http.Request) {
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

func (s *modelServer) tellList(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := [][]any{}
	for _, key := range slices.Sorted(maps.Keys(s.parts)) {
		salt, id, _ := strings.Cut(key, " ")
		held = append(held, []any{salt, id, s.parts[key].tokens, modelName})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"epoch": 7, "next_page_token": len(s.events), "held": held})
}

// work runs a request.
func (s *modelServer) work(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	body, _ := io.ReadAll(r.Body)
	if r.Header.Get("Authorization") != "" {
		s.w.fault("%s was shown a key", s.id)
	}
	s.w.mu.Lock()
	s.w.passed[id]++
	s.w.mu.Unlock()
	if s.service == "llm" {
		s.w.arrived(id, r.Header.Get("Last-Event-Id"))
	}
	if !s.wait(r) {
		return // its sender has left
	}
	s.mu.Lock()
	expected, _ := strconv.ParseInt(r.Header.Get("Expect-Version"), 10, 64)
	switch {
	case !s.ackedAt.IsZero() && time.Since(s.ackedAt) > 2*time.Second:
		s.mu.Unlock()
		s.w.fault("%s got a request %v after its drain was acknowledged", s.id, time.Since(s.ackedAt))
		return
	case s.service == "llm" && expected != s.version:
		w.Header().Set("Versions", strconv.FormatInt(s.version, 10))
		s.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case s.busy || s.full:
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
	missing := s.read(r)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	s.w.ran(id, string(body))
	s.mu.Lock()
	reading := max(s.reading, time.Duration(missing)*readToken)
	s.mu.Unlock()
	time.Sleep(reading)
	w.Header().Set("X-Server-Stamp", s.id+"."+id)
	if s.service == "llm" {
		s.stream(w, r)
		return
	}
	time.Sleep(10 * time.Millisecond)
	_, _ = w.Write([]byte("done " + id))
}

// wait has a request wait for its turn; false: its sender has left meanwhile.
func (s *modelServer) wait(r *http.Request) bool {
	s.mu.Lock()
	queued := s.queued
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

// versionBound is how long after a version was acknowledged work may still begin on an older one.
const versionBound = 6 * time.Second

// checkWeights checks that a request may begin on the weights that an instance has; s.mu is held.
func (w *world) checkWeights(id string, s *modelServer) {
	w.mu.Lock()
	var overdue []string
	for version, at := range w.named {
		if late := time.Since(at) - versionBound; version > s.version && late > 0 {
			overdue = append(overdue, fmt.Sprintf("%s begins at %s on version %d, %v after the bound of version %d", id, s.id, s.version, late, version))
		}
	}
	w.mu.Unlock()
	for _, text := range overdue {
		w.fault("%s", text)
	}
}

// received notes that a request has come to an instance of a service.
func (w *world) received(service, request string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.receipts = append(w.receipts, receipt{at: time.Now(), service: service, request: request})
}

// arrived counts an arrival at an instance with a model. A stream that has begun goes on where it was.
func (w *world) arrived(id, last string) {
	w.mu.Lock()
	w.arrivals++
	begun := w.begun[id]
	w.mu.Unlock()
	if begun && last == "" && w.delivers {
		w.fault("%s is sent again without the id of its last event", id)
	}
}

// ran notes that a request runs, and checks that it may.
func (w *world) ran(id, body string) {
	w.mu.Lock()
	w.runs[id]++
	again, promised, asked := w.unsafe[id] && w.runs[id] > 1, w.promised[id], w.asked[id]
	w.mu.Unlock()
	if again {
		w.fault("%s may not be repeated and runs %d times", id, w.runs[id])
	}
	if promised {
		w.fault("%s runs after its client was told that it never will", id)
	}
	if !asked || body != "body of "+id {
		w.fault("%s runs with the body %q; asked: %t", id, body, asked)
	}
}

// read takes a request's prompt from what is kept, and keeps it. It returns how many tokens have to be read. s.mu is
// held.
func (s *modelServer) read(r *http.Request) (missing int) {
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
			s.note("+", salt, id, tokens)
			continue
		}
		s.check(r, id, part, tenant, isolated)
	}
	if source := r.Header.Get("Kv-Fetch"); source != "" {
		s.checkSource(r, source, salt, tenant, isolated)
	}
	return missing
}

func (s *modelServer) check(r *http.Request, id string, part cachedPart, tenant string, isolated bool) {
	if part.version != s.version {
		s.w.fault("%s runs on part %s of version %d under version %d", r.Header.Get("X-Request-Id"), id, part.version, s.version)
	}
	if part.tenant != tenant && (isolated || part.isolated) {
		s.w.fault("%s of %q runs on part %s of %q", r.Header.Get("X-Request-Id"), tenant, id, part.tenant)
	}
}

// checkSource checks what a fetch would bring.
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
				s.check(r, id, part, tenant, isolated)
			}
		}
		other.mu.Unlock()
	}
}

// stream sends the events of an answer; a resumed one goes on after the last that the client has.
func (s *modelServer) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.mu.Lock()
	breakAt, pace := s.breakAt, max(s.pace, eventEvery)
	s.mu.Unlock()
	for n := last + 1; n <= streamEvents; n++ {
		if breakAt > 0 && n > breakAt {
			_, _ = fmt.Fprintf(w, "id: %d\nda", n) // cut within an event
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		s.w.mu.Lock()
		s.w.begun[r.Header.Get("X-Request-Id")] = true
		s.w.mu.Unlock()
		time.Sleep(pace)
	}
}

// replace sends a configuration to brokers until one gives a clear answer.
func (w *world) replace(client *http.Client, base, version int64, body string) int {
	return w.change(client, "/v1/config/replace", base, version, body)
}

// change sends a change of the configuration, to any broker, until there is a clear answer.
func (w *world) change(client *http.Client, path string, base, version int64, body string) int {
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
			w.fault("configuration %d got no clear answer", version)
			return 0
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// readBack reads the configuration from some broker.
func (w *world) readBack(client *http.Client) string {
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

// configurationOf is a configuration with a route that names its version.
func configurationOf(version int64, extra string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"chat","host":"h","path_prefix":"/chat/","kind":"streaming","timeout_ms":10000,"target_latency_ms":600,"priority":0,"service":"llm","max_attempts":2,"sticky":true,"resumable":true,"gap_aim_ms":300},
{"name":"once","host":"h","path_prefix":"/once/","kind":"streaming","timeout_ms":10000,"target_latency_ms":600,"priority":1,"service":"llm","max_attempts":1,"sticky":true,"gap_aim_ms":300},
{"name":"post","host":"h","path_prefix":"/post/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"plain","max_attempts":1},
{"name":"mark","host":"h","path_prefix":"/mark%d/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":300,"service":"plain","public":true}%s],
"services":[{"name":"llm","engine":{"slots":8,"kv_capacity_tokens":100000,"kv_bytes":1000,"link_mbps":100000,"max_concurrency":12,"models":[{"name":"m"}]}},{"name":"plain"}],
"tenants":[{"name":"open","api_keys":["key-open"]},{"name":"walled","api_keys":["key-walled"],"isolated":true}]}`, version, version, extra)
}

// answerOf is what a client got.
type answerOf struct {
	status int
	events []int
	whole  bool
	body   string
}

// ask sends one request to a broker.
func (w *world) ask(client *http.Client, m *machine, route, tenant string, subject int) answerOf {
	w.mu.Lock()
	w.serial++
	id := fmt.Sprintf("q-%06d", w.serial)
	w.asked[id] = true
	w.unsafe[id] = route != "chat"
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
		return answerOf{}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	a := answerOf{status: response.StatusCode, whole: err == nil, body: string(text)}
	w.judge(id, route, response, &a)
	return a
}

// judge checks an answer.
func (w *world) judge(id, route string, response *http.Response, a *answerOf) {
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		w.mu.Lock()
		w.promised[id] = true
		runs := w.runs[id]
		w.mu.Unlock()
		if runs > 0 {
			w.fault("%s was refused and had run", id)
		}
		if response.Header.Get("Retry-After") == "" {
			w.fault("%s was refused without a time to come back", id)
		}
		return
	case http.StatusOK:
	default:
		return
	}
	if response.Header.Get("X-Server-Stamp") == "" || response.Header.Get("X-Request-Id") != id {
		w.fault("%s got a success with stamp %q and id %q", id, response.Header.Get("X-Server-Stamp"), response.Header.Get("X-Request-Id"))
	}
	if route == "post" || strings.HasPrefix(route, "mark") {
		if a.whole && a.body != "done "+id {
			w.fault("%s got the body %q", id, a.body)
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
	if a.whole && len(a.events) < streamEvents {
		w.fault("%s got a stream that looks whole and is not: %q", id, a.body)
	}
	if rest := a.body[len(want):]; a.whole && rest != "" {
		w.fault("%s got more than its stream: %q", id, rest)
	}
}
