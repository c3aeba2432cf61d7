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

// A soak: brokers as processes, clients that use a connection until it is closed or its process is gone, instances that come
// and go, operators that change the configuration and name weights, and signals, restarts and losses that come in series and
// overlap, all drawn from a seed. What must hold is checked in the clients, instances and operators.

var (
	soakSeed    = flag.Uint64("soak.seed", 1, "what a soak's events are drawn from")
	soakFor     = flag.Duration("soak.for", time.Minute, "how long a soak has events")
	soakBrokers = flag.Int("soak.brokers", 7, "a soak's brokers, the first five with a disk")
	soakOther   = flag.String("soak.other", "", "the test program of another release, from which brokers are started in turn with this one's")
	soakClients = flag.Int("soak.clients", 16, "a soak's clients")
)

const (
	soakGrace    = 4 * time.Second
	soakContact  = 3 * time.Second
	soakCatchUp  = 4 * time.Second
	soakVersion  = 6 * time.Second // bound on old weights
	soakDrain    = 2 * time.Second
	soakTaken    = 3 * time.Second // after it was told to end, a broker may still take what it will not finish
	soakCore     = 5               // brokers with a disk; all vote, since they are odd in number
	soakFewer    = 3               // voters, as long as a disk is a broker's of the release that had no more than the losses need
	soakEnds     = 2 * time.Second // for a process beyond its grace
	soakAnswer   = 8 * time.Second
	soakInstance = 6
	soakWatch    = 20 * time.Millisecond  // between two looks whether the machine stands still,
	soakStall    = 500 * time.Millisecond // which it does when one comes so late
	soakModel    = "m"
)

// soakBroker is a broker's process with what was done to it.
type soakBroker struct {
	*controlProcess
	mu   sync.Mutex
	busy bool      // something is being done to it
	hurt time.Time // until when it was killed or stopped, or had just started after that
	ends time.Time // when it was last told to end
}

// late says whether a run that goes on until a moment does so in the last sixth of the time that a broker has to end in, and
// its request did not come long after that time began: such a one is not to be taken.
func (b *soakBroker) late(sent, until time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.ends.IsZero() && until.After(b.ends.Add(soakGrace*5/6)) && !sent.After(b.ends.Add(soakTaken))
}

// unhurt says whether nothing but planned work was done to a broker between two moments, nor right before.
func (b *soakBroker) unhurt(from time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hurt.Before(from.Add(-soakContact))
}

// soakRequest is one try of a client.
type soakRequest struct {
	kind    string
	broker  *soakBroker
	sent    time.Time
	ended   time.Time
	runs    int
	until   time.Time // when its last run is to be over
	broken  bool      // an instance broke off
	status  int       // of the answer; 0: none
	whole   bool      // the answer is
	promise bool      // it never runs: 503 or 429
}

// soak is one run.
type soak struct {
	t       *testing.T
	seed    uint64
	net     string
	brokers []*soakBroker
	stop    chan struct{}
	wait    sync.WaitGroup

	mu         sync.Mutex
	rng        *rand.Rand
	faults     []string
	requests   map[string]*soakRequest
	serial     int
	counts     map[string]int
	instances  []*soakInstanceProcess
	named      map[int64]time.Time
	version    int64 // of the weights, newest acknowledged
	acked      int   // version of the configuration, newest acknowledged
	coreHurt   time.Time
	stalled    time.Time // until when the whole machine stood still last
	catchingUp time.Time // until when a disk counts as lost
}

func (s *soak) fault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// watchMachine notes when the machine stands still: this process, too, gets no turn then, and every broker counts as stopped.
func (s *soak) watchMachine() {
	for at := time.Now(); s.pause(soakWatch); at = time.Now() {
		if gap := time.Since(at); gap > soakStall {
			s.mu.Lock()
			s.stalled = time.Now()
			s.coreHurt = s.stalled
			s.counts["machine stood still, ms"] += int(gap / time.Millisecond)
			s.mu.Unlock()
			for _, b := range s.brokers {
				b.mu.Lock()
				if b.hurt.Before(time.Now()) {
					b.hurt = time.Now()
				}
				b.mu.Unlock()
			}
		}
	}
}

// stalledSince says whether the machine stood still after a moment.
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

// pause waits; false: the run ends.
func (s *soak) pause(d time.Duration) bool {
	select {
	case <-s.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// repeat does something again and again, with pauses drawn between two bounds, until the run ends.
func (s *soak) repeat(least, most time.Duration, do func()) {
	s.wait.Go(func() {
		for s.pause(s.between(least, most)) {
			do()
		}
	})
}

// newSoak starts the brokers and instances.
func newSoak(t *testing.T, seed uint64, brokers int) *soak {
	s := &soak{t: t, seed: seed, net: fmt.Sprintf("127.%d", 20+seed%200), stop: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 3)),
		requests: map[string]*soakRequest{}, counts: map[string]int{}, named: map[int64]time.Time{}, version: 1}
	var seeds []string
	for number := range 3 {
		seeds = append(seeds, s.broker(number)+":18381")
	}
	for number := range brokers {
		c := &controlProcess{t: t, ip: s.broker(number), seeds: strings.Join(seeds, ","), folder: t.TempDir(), disk: number < soakCore, bootstrap: true,
			extra: []string{fmt.Sprintf("bounds.grace_s=%d", soakGrace/time.Second), "bounds.fencing=true", "bounds.retry_budget_ratio=0.2",
				"bounds.retry_budget_slack=60", "limits.memory_mb=200"}}
		if *soakOther != "" {
			c.programs, c.starts = []string{os.Args[0], *soakOther}, number
		}
		t.Cleanup(func() { c.process.Kill() })
		c.start()
		s.brokers = append(s.brokers, &soakBroker{controlProcess: c})
	}
	for range soakInstance {
		s.startInstance("llm", s.version)
	}
	for range 3 {
		s.startInstance("plain", s.version)
	}
	return s
}

func (s *soak) broker(number int) string {
	return fmt.Sprintf("%s.%d.%d", s.net, 1+number/200, 1+number%200)
}

// any is one of the brokers.
func (s *soak) any() *soakBroker { return s.brokers[s.draw(len(s.brokers))] }

// soakConfiguration is a configuration whose routes serve, with one that names its version.
func soakConfiguration(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"chat","host":"h","path_prefix":"/chat/","kind":"streaming","timeout_ms":9000,"target_latency_ms":600,"service":"llm","max_attempts":2,"sticky":true,"resumable":true,"gap_aim_ms":300},
{"name":"once","host":"h","path_prefix":"/once/","kind":"streaming","timeout_ms":9000,"target_latency_ms":600,"service":"llm","max_attempts":2,"sticky":true,"gap_aim_ms":300},
{"name":"post","host":"h","path_prefix":"/post/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":300,"service":"plain","max_attempts":1},
{"name":"mark","host":"h","path_prefix":"/mark%d/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":300,"service":"plain"}],
"services":[{"name":"llm","engine":{"slots":16,"kv_capacity_tokens":100000,"kv_bytes":1000,"link_mbps":100000,"max_concurrency":200,"models":[{"name":"m"}]}},{"name":"plain"}]}`,
		version, version)
}

// settle ends the events and checks that the fleet is whole again.
func (s *soak) settle() {
	close(s.stop)
	s.wait.Wait()
	time.Sleep(soakCatchUp)
	for number, b := range s.brokers {
		if !b.process.Running() {
			s.fault("%s has ended by itself", b.ip)
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
		if number < soakCore { // of a few: hundreds of brokers end slowly
			s.look(b)
		}
	}
}

// look checks what a broker says of itself at the end.
func (s *soak) look(b *soakBroker) {
	status := struct {
		Voters  []string         `json:"register_voters"`
		Weights map[string]int64 `json:"weights"`
		Ready   bool             `json:"ready"`
	}{}
	_, text := b.call(2*time.Second, http.MethodGet, "/v1/status", "", "")
	err := json.Unmarshal([]byte(text), &status)
	votes := len(status.Voters) == soakCore || *soakOther != "" && len(status.Voters) == soakFewer
	if err != nil || !votes || !status.Ready || s.version > 1 && status.Weights[soakModel] != s.version {
		s.fault("at the end %s has %d voters, ready %t, weights %v of %d (%v)", b.ip, len(status.Voters), status.Ready, status.Weights, s.version, err)
	}
}

// play runs one soak.
func (s *soak) play(span time.Duration, clients int) {
	if status := s.order(0, 1); status != http.StatusOK {
		s.t.Fatalf("the first configuration got %d", status)
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
	for range max(3, len(s.brokers)/10) { // so many may overlap
		s.repeat(100*time.Millisecond, 2*time.Second, s.disturb)
	}
	time.Sleep(span / 2)
	s.herd()
	time.Sleep(span / 2)
	s.settle()
}

// TestSoak plays one soak, of the flags' seed and size.
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

// keepLogs copies what the brokers wrote to where GULLSTAIR_SOAK_LOGS says.
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
