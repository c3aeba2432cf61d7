package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// The soak test runs brokers as processes, clients that use a connection until it is closed or its process is gone,
// instances that join and leave, operators that change the configuration and name weights, and signals, restarts and
// losses that overlap and come in series, all drawn from a seed. The clients, instances and operators check the
// invariants.

var (
	soakSeed     = flag.Uint64("soak.seed", 1, "seed of a soak's events")
	soakFor      = flag.Duration("soak.for", time.Minute, "how long a soak lasts")
	soakBrokers  = flag.Int("soak.brokers", 7, "number of brokers, of which the first five have a disk")
	soakOther    = flag.String("soak.other", "", "the test binary of another release; brokers are started from it and from this binary in turn")
	soakDetector = flag.Bool("soak.detector", false, "start the soak of starts from this test binary, with its race detector")
	soakClients  = flag.Int("soak.clients", 16, "number of clients")
)

const (
	soakGrace         = 4 * time.Second
	soakContact       = 3 * time.Second
	soakCatchUp       = 4 * time.Second
	soakVersion       = 6 * time.Second // bound on the age of old weights
	soakDrain         = 2 * time.Second
	soakLateAccept    = 3 * time.Second // after SIGTERM a broker may still accept requests that it will not finish
	soakCore          = 5               // brokers with a disk; all vote, since their number is odd
	soakEarlierVoters = 3               // voters as long as one disk belongs to a broker of the release that used no more voters than the tolerated losses need
	soakExit          = 2 * time.Second // time to exit beyond the grace period
	soakAnswer        = 8 * time.Second
	soakOrderTimeout  = 30 * time.Second // for a definite answer to a change of the configuration
	soakInstances     = 6
	soakWatchInterval = 20 * time.Millisecond  // interval between two checks for a stall of the machine
	soakStall         = 500 * time.Millisecond // delay of a check that counts as a stall
	soakModel         = "m"
)

// soakBroker is a broker's process with its disturbances.
type soakBroker struct {
	*controlProcess
	mu             sync.Mutex
	busy           bool      // a disturbance is in progress
	disturbedUntil time.Time // until when it was killed or paused, or had just started after that
	terminatedAt   time.Time // when it last got SIGTERM
	log            *os.File  // the reading end of its log, if nobody reads it
}

// late reports whether a run ends within the last sixth of the broker's time to shut down, and its request arrived not
// long after the shutdown began: the broker must not accept such a request.
func (b *soakBroker) late(sent, until time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.terminatedAt.IsZero() && until.After(b.terminatedAt.Add(soakGrace*5/6)) && !sent.After(b.terminatedAt.Add(soakLateAccept))
}

// undisturbed reports whether a broker had only planned shutdowns since a moment and right before it.
func (b *soakBroker) undisturbed(from time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.disturbedUntil.Before(from.Add(-soakContact))
}

// soakRequest is one attempt of a client.
type soakRequest struct {
	kind      string
	broker    *soakBroker
	sent      time.Time
	ended     time.Time
	runs      int
	until     time.Time // when its last run should end
	aborted   bool      // an instance aborted the answer
	status    int       // of the answer; 0: none
	complete  bool      // the answer is complete
	neverRuns bool      // the request never runs: 503 or 429
}

// soak is the state of one run.
type soak struct {
	t       *testing.T
	seed    uint64
	shape   fleetShape
	net     string
	brokers []*soakBroker
	core    int // brokers with a disk, the first ones
	voters  int // of these, as long as all run this release
	stop    chan struct{}
	checked chan struct{} // closed after the checks at the end: until then instances send heartbeats
	beating sync.WaitGroup
	wait    sync.WaitGroup

	mu              sync.Mutex
	rng             *rand.Rand
	faults          []string
	requests        map[string]*soakRequest
	serial          int
	counts          map[string]int
	instances       []*soakInstanceProcess
	named           map[int64]time.Time
	version         int64 // newest acknowledged version of the weights
	acked           int   // newest acknowledged version of the configuration
	coreDisturbedAt time.Time
	stalled         time.Time // until when the whole machine last stalled
	catchingUp      time.Time // until when a disk counts as lost
}

func (s *soak) fault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// watchMachine records when the machine stalls: this process is not scheduled then either, and every broker counts as
// paused.
func (s *soak) watchMachine() {
	for at := time.Now(); s.pause(soakWatchInterval); at = time.Now() {
		if gap := time.Since(at); gap > soakStall {
			s.mu.Lock()
			s.stalled = time.Now()
			s.coreDisturbedAt = s.stalled
			s.counts["machine stalled, ms"] += int(gap / time.Millisecond)
			s.mu.Unlock()
			for _, b := range s.brokers {
				b.mu.Lock()
				if b.disturbedUntil.Before(time.Now()) {
					b.disturbedUntil = time.Now()
				}
				b.mu.Unlock()
			}
		}
	}
}

// stalledSince reports whether the machine stalled after a moment.
func (s *soak) stalledSince(from time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stalled.After(from)
}

func (s *soak) count(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
}

func (s *soak) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

func (s *soak) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.draw(int(most-least)))
}

// pause sleeps; it returns false if the run ends.
func (s *soak) pause(d time.Duration) bool {
	select {
	case <-s.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// repeat calls do again and again, with random pauses between two bounds, until the run ends.
func (s *soak) repeat(least, most time.Duration, do func()) {
	s.wait.Go(func() {
		for s.pause(s.between(least, most)) {
			do()
		}
	})
}

// newSoak starts the brokers and instances.
func newSoak(t *testing.T, seed uint64, brokers int) *soak {
	s := newSoakOf(t, seed, fleetShape{brokers: brokers, core: soakCore, memoryMB: 200, tokens: 550, bodyBytes: 4}, nil)
	s.startInstances()
	return s
}

// newSoakOf starts the brokers of a shape from these programs or from this test binary.
func newSoakOf(t *testing.T, seed uint64, shape fleetShape, programs []string) *soak {
	s := &soak{t: t, seed: seed, shape: shape, core: shape.core, voters: shape.core - 1 + shape.core%2, net: fmt.Sprintf("127.%d", 20+seed%200), stop: make(chan struct{}), checked: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 3)),
		requests: map[string]*soakRequest{}, counts: map[string]int{}, named: map[int64]time.Time{}, version: 1}
	var seeds []string
	for number := range 3 {
		seeds = append(seeds, s.brokerIP(number)+":18381")
	}
	for number := range shape.brokers {
		c := &controlProcess{t: t, ip: s.brokerIP(number), seeds: strings.Join(seeds, ","), folder: t.TempDir(), disk: number < shape.core, bootstrap: true, programs: programs,
			extra: []string{fmt.Sprintf("bounds.grace_s=%d", soakGrace/time.Second), "bounds.fencing=true", "bounds.retry_budget_ratio=0.2",
				"bounds.retry_budget_slack=60", fmt.Sprintf("limits.memory_mb=%d", shape.memoryMB)}}
		if shape.sync > 0 {
			c.setSync(shape.sync)
		}
		if *soakOther != "" {
			c.programs, c.starts = []string{os.Args[0], *soakOther}, number
		}
		t.Cleanup(func() { c.process.Kill() })
		c.start()
		s.brokers = append(s.brokers, &soakBroker{controlProcess: c})
	}
	return s
}

func (s *soak) startInstances() {
	for range soakInstances {
		s.startInstance("llm", s.version)
	}
	for range 3 {
		s.startInstance("plain", s.version)
	}
}

// brokerIP returns the address of a broker.
func (s *soak) brokerIP(number int) string {
	return fmt.Sprintf("%s.%d.%d", s.net, 1+number/200, 1+number%200)
}

// any returns a random broker.
func (s *soak) any() *soakBroker { return s.brokers[s.draw(len(s.brokers))] }

// soakLargeEvery is the number of configurations of which one has idle routes, if any has.
const soakLargeEvery = 4

// configuration returns a configuration whose routes serve, with one route that carries its version.
func (s *soak) configuration(version int) string {
	idle := ""
	if version%soakLargeEvery == 0 {
		for number := range s.shape.idleRoutes {
			idle += fmt.Sprintf(`{"name":"idle-%d","host":"idle-%d.example","path_prefix":"/v%d/","kind":"safe","timeout_ms":1000,"service":"plain"},`, number, number, version)
		}
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s
{"name":"chat","host":"h","path_prefix":"/chat/","kind":"streaming","timeout_ms":9000,"target_latency_ms":600,"service":"llm","max_attempts":2,"sticky":true,"resumable":true,"gap_aim_ms":300},
{"name":"once","host":"h","path_prefix":"/once/","kind":"streaming","timeout_ms":9000,"target_latency_ms":600,"service":"llm","max_attempts":2,"sticky":true,"gap_aim_ms":300},
{"name":"post","host":"h","path_prefix":"/post/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":300,"service":"plain","max_attempts":1},
{"name":"mark","host":"h","path_prefix":"/mark%d/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":300,"service":"plain"}],
"services":[{"name":"llm","engine":{"slots":16,"kv_capacity_tokens":100000,"kv_bytes":1000,"link_mbps":100000,"max_concurrency":200,"models":[{"name":"m"}]}},{"name":"plain"}]}`,
		version, idle, version)
}

// settle ends the events and checks that the fleet has fully recovered. Instances go on meanwhile: without heartbeats no
// broker is ready for long.
func (s *soak) settle() {
	defer s.beating.Wait()
	defer close(s.checked)
	close(s.stop)
	s.wait.Wait()
	time.Sleep(soakCatchUp)
	for number, b := range s.brokers {
		if !b.process.Running() {
			s.fault("%s exited unexpectedly", b.ip)
			continue
		}
		status, text := b.read()
		for try := 0; try < 20 && status != http.StatusOK; try++ {
			time.Sleep(soakCatchUp / 20)
			status, text = b.read()
		}
		if got := versionIn(text); status != http.StatusOK || got != s.acked {
			s.fault("at the end %s answers a read with %d, version %d of %d", b.ip, status, got, s.acked)
		}
		if number < s.core { // a few only, since hundreds of brokers end slowly
			s.checkStatus(b)
		}
	}
}

// checkStatus checks a broker's status report at the end.
func (s *soak) checkStatus(b *soakBroker) {
	status := struct {
		Voters  []string         `json:"register_voters"`
		Weights map[string]int64 `json:"weights"`
		Ready   bool             `json:"ready"`
	}{}
	_, text := b.call(2*time.Second, http.MethodGet, "/v1/status", "", "")
	err := json.Unmarshal([]byte(text), &status)
	votes := len(status.Voters) == s.voters || *soakOther != "" && len(status.Voters) == soakEarlierVoters
	if err != nil || !votes || !status.Ready || s.version > 1 && status.Weights[soakModel] != s.version {
		s.fault("at the end %s has %d voters, ready %t, weights %v of %d (%v)", b.ip, len(status.Voters), status.Ready, status.Weights, s.version, err)
	}
}

// play runs one soak.
func (s *soak) play(span time.Duration, clients int) {
	if status := s.replaceConfiguration(0, 1); status != http.StatusOK {
		s.t.Fatalf("the first configuration got status %d", status)
	}
	s.acked = 1
	s.wait.Go(s.watchMachine)
	time.Sleep(3 * time.Second)
	for number := range clients {
		s.wait.Go(func() { s.client(number) })
	}
	s.repeat(50*time.Millisecond, 700*time.Millisecond, s.operate)
	s.repeat(10*time.Millisecond, 100*time.Millisecond, s.read)
	s.repeat(time.Second, 6*time.Second, s.nameWeights)
	s.repeat(time.Second, 4*time.Second, s.replaceInstance)
	s.repeat(time.Second, 4*time.Second, s.crashInstance)
	for range max(3, len(s.brokers)/10) { // this many disturbances may overlap
		s.repeat(100*time.Millisecond, 2*time.Second, s.disturb)
	}
	time.Sleep(span / 2)
	s.killAll()
	time.Sleep(span / 2)
	s.settle()
}

// TestSoak runs one soak with the seed and size of the flags.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("takes a minute")
	}
	s := newSoak(t, *soakSeed, *soakBrokers)
	s.play(*soakFor, *soakClients)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Logf("seed %d: %v", s.seed, s.counts)
	served := s.counts["200"]
	if all := served + s.counts["503"] + s.counts["502"] + s.counts["504"] + s.counts["cut"]; served*10 < all*6 {
		s.faults = append(s.faults, fmt.Sprintf("%d of %d were served", served, all))
	}
	for _, f := range s.faults {
		t.Error(f)
	}
	if t.Failed() {
		s.keepLogs()
	}
}

// keepLogs copies the brokers' logs to the folder of $GULLSTAIR_SOAK_LOGS.
func (s *soak) keepLogs() {
	folder := os.Getenv("GULLSTAIR_SOAK_LOGS")
	if folder == "" {
		return
	}
	for _, b := range s.brokers {
		text, err := os.ReadFile(filepath.Join(b.folder, "out"))
		if err != nil {
			continue
		}
		_ = os.WriteFile(filepath.Join(folder, fmt.Sprintf("%d-%s.log", s.seed, b.ip)), text, 0o600)
	}
}
