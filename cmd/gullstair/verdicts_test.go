package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/internal/fleettest"
	"gullstair/internal/memberactor"
	"gullstair/internal/verdicts"
)

// recordingStore is a store that records which broker's parts reached it and when; it fails some of them.
type recordingStore struct {
	ln       net.Listener
	fails    atomic.Int64 // one bit per broker
	mute     atomic.Bool  // accepts parts and answers none
	slow     atomic.Int64 // additional ms per part
	mu       sync.Mutex
	arrivals [][]time.Time // by broker
}

func startRecordingStore(t *testing.T, brokers int) *recordingStore {
	s := &recordingStore{ln: listen(t), arrivals: make([][]time.Time, brokers)}
	go func() {
		for {
			conn, err := s.ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *recordingStore) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		var size uint32
		if binary.Read(in, binary.BigEndian, &size) != nil {
			return
		}
		frame := make([]byte, size)
		if _, err := io.ReadFull(in, frame); err != nil || frame[0] != 'R' {
			continue
		}
		for rest := frame[1:]; len(rest) > 0; {
			line, tail, _ := bytes.Cut(rest, []byte{'\n'})
			var id, list string
			var shard, length, broker int
			fmt.Sscan(string(line), &id, &shard, &list, &length)
			fmt.Sscanf(id, "q%d-", &broker)
			s.mu.Lock()
			s.arrivals[broker] = append(s.arrivals[broker], time.Now())
			s.mu.Unlock()
			time.Sleep(serviceTime + time.Duration(s.slow.Load())*time.Millisecond)
			answer := fmt.Sprintf("Y%s OK %d -\nvalue of %s, %s", id, shard, id, tail[:length])
			if s.fails.Load()>>broker&1 == 1 {
				answer = fmt.Sprintf("Y%s ERROR - -\n", id)
			}
			if s.mute.Load() {
				rest = tail[length:]
				continue
			}
			conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(answer))), answer...))
			rest = tail[length:]
		}
	}
}

// serviceTime is the time a store takes for a part, one after the other on a connection: long enough that concurrent
// scans find nodes busy.
const serviceTime = 2 * time.Millisecond

// since counts the parts that came from the given brokers after a moment, or from all if none is given.
func (s *recordingStore) since(at time.Time, who ...int) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for b, all := range s.arrivals {
		for _, x := range all {
			if x.After(at) && (len(who) == 0 || slices.Contains(who, b)) {
				n++
			}
		}
	}
	return n
}

// verdictFleet is five brokers over six stores, three of each set, and clients.
type verdictFleet struct {
	*fleettest.Fleet
	t       *testing.T
	stores  []*recordingStore
	demand  []atomic.Int64
	burst   []atomic.Int64 // scans to send at once
	stop    chan struct{}
	clients sync.WaitGroup
	// stopAll stops the clients before the test ends.
	stopAll func()
}

// sleep lets time pass.
func (f *verdictFleet) sleep(span time.Duration) { <-time.After(span) }

func startVerdicts(t *testing.T) *verdictFleet { return startSharing(t, 5, true, true) }

// startSharing starts brokers that see each other, and that share notes and verdicts or do not.
func startSharing(t *testing.T, brokers int, notes, share bool) *verdictFleet {
	f := &verdictFleet{t: t, demand: make([]atomic.Int64, brokers), burst: make([]atomic.Int64, brokers), stop: make(chan struct{})}
	tree := startTree(t)
	var hosts []any
	for i := range 6 {
		s := startRecordingStore(t, brokers)
		f.stores = append(f.stores, s)
		hosts = append(hosts, map[string]any{"host": fmt.Sprint("s-", i), "dial": s.ln.Addr().String(), "site": "west", "class": "std", "block": i % 2, "health": "SERVING",
			"share": 1, "born_ms": 0})
	}
	tree["known"] = map[string]any{"seq": 41, "whole": true, "hosts": hosts}
	var err error
	f.Fleet, err = fleettest.New(fleettest.Config{Dir: t.TempDir(), Members: brokers, Program: []string{os.Args[0], "serve", "--log", "error"}, Env: []string{"GULLSTAIR_TEST_CHILD=1"},
		Start: tree, Seed: 1, Features: func(m *fleettest.Member) (string, string) {
			dir := ""
			if m.Index == 3 { // one of them stores operators' orders
				dir = fmt.Sprintf("    dir = %q\n", m.Path("orders"))
			}
			sharing := fmt.Sprintf("  pace = 0.1\n  clock_drift = 0.02\n  notes = %v\n  key \"1\" {\n    secret = %q\n  }\n", notes, strings.Repeat("5e", 32))
			if share {
				sharing += "  verdicts {\n" + dir + "  }\n"
			}
			return sharing, ""
		}})
	require.NoError(t, err)
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	f.stopAll = sync.OnceFunc(func() {
		close(f.stop)
		f.clients.Wait()
		f.Close()
		client.CloseIdleConnections()
	})
	t.Cleanup(f.stopAll)
	for i, m := range f.Members {
		require.NoError(t, m.SkewClocks(rates[i%len(rates)], 0))
	}
	require.NoError(t, f.LaunchAll())
	for i := range f.Members {
		f.clients.Go(func() { f.ask(client, i) })
	}
	for i := range f.Members {
		f.eventually("members see each other", func() bool {
			s := f.state(i)
			living := 0
			for _, m := range s.Members {
				if m.Living() {
					living++
				}
			}
			return living == brokers
		})
	}
	return f
}

// awaitParts waits until each of the given brokers has sent a store this many parts since a moment. While all nodes
// are idle, the one with the best outcomes gets every part; so scans come in bursts, which spread over all stores that
// are not resting.
func (f *verdictFleet) awaitParts(what string, store int, since time.Time, more int, who ...int) {
	f.t.Helper()
	f.eventually(what, func() bool {
		done := true
		for _, i := range who {
			if f.stores[store].since(since, i) <= more {
				f.burst[i].Store(30)
				done = false
			}
		}
		if !done {
			f.sleep(100 * time.Millisecond)
		}
		return done
	})
}

// awaitVerdict waits until a broker holds a verdict on a store that the given brokers observe; these get scans in
// bursts meanwhile. With idle nodes, a store that one broker saw failing and reported gets nothing more from any
// broker, and one observer makes no verdict. (Seen: no verdict "fails" in 30 s, parts to the store by broker 0 0 6 0
// 0, 78 verdicts "of too few observers". To reproduce: the store fails while only n2 sends anything, then all send one
// scan at a time.)
func (f *verdictFleet) awaitVerdict(what string, store int, kind string, by int, observers ...int) {
	f.t.Helper()
	f.eventually(what, func() bool {
		for _, i := range observers {
			f.burst[i].Store(30)
		}
		f.sleep(100 * time.Millisecond)
		return f.seen(by, store).Kind == kind
	})
}

// ask sends scans for both shards to one broker at the set rate.
func (f *verdictFleet) ask(client *http.Client, i int) {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for n, last, owed := 0, time.Now(), 0.0; ; {
		select {
		case <-f.stop:
			return
		case now := <-tick.C:
			owed = min(owed+now.Sub(last).Seconds()*float64(f.demand[i].Load()), 20) + float64(f.burst[i].Swap(0))
			last = now
		}
		for ; owed >= 1; owed-- {
			n++
			id := fmt.Sprint("q", i, "-", n)
			f.clients.Go(func() {
				req, _ := http.NewRequest("POST", "http://"+f.Members[i].Listen+"/board", strings.NewReader(`{"segments":[{"segment":0,"boost":0.5},{"segment":1,"boost":0.5}],"text":"t"}`))
				req.Header.Set("X-Correlation-Id", id)
				req.Header.Set("X-Time-Left-Ms", "2000")
				if res, err := client.Do(req); err == nil {
					io.Copy(io.Discard, res.Body)
					res.Body.Close()
				}
			})
		}
	}
}

func (f *verdictFleet) setDemand(perSecond ...int64) {
	for i, n := range perSecond {
		f.demand[i].Store(n)
	}
}

func (f *verdictFleet) state(i int) (s memberactor.State) {
	f.Members[i].Query("sharing", &s)
	return s
}

// seen returns a broker's verdict on a store.
func (f *verdictFleet) seen(i, store int) (v verdicts.Seen) {
	for _, x := range f.state(i).Verdicts {
		if x.Store == fmt.Sprint("s-", store) {
			return x
		}
	}
	return v
}

func (f *verdictFleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	begun := time.Now()
	if err := fleettest.WaitUntil(30*time.Second, holds); err != nil {
		// On a timeout, logs what the stores saw and what the brokers concluded.
		for i, s := range f.stores {
			var by []int
			for b := range f.Members {
				by = append(by, s.since(begun, b))
			}
			f.t.Logf("s-%d: parts by broker %v", i, by)
		}
		for _, m := range f.Members {
			var out bytes.Buffer
			run([]string{"verdict", "list", "--socket", m.Socket()}, &out)
			f.t.Logf("%s: %s", m.Name, out.String())
		}
		require.NoError(f.t, err, what)
	}
}

func (f *verdictFleet) order(i, store int, do, span string) {
	f.t.Helper()
	command(f.t, f.Members[i], "verdict", "set", "--for", span, "--reason", "a test", fmt.Sprint("s-", store), do)
}

// TestVerdictFaults runs five processes over stores that record the parts that reach them. It covers which observers
// count, how fast verdicts come and end, operators' orders, partitions, restarts and paused processes.
func TestVerdictFaults(t *testing.T) {
	runParallel(t)
	f := startVerdicts(t)
	s := f.stores
	f.setDemand(30, 30, 30, 30, 0)

	// A store fails for all. A broker that has sent it nothing learns it, and sends it nothing.
	s[0].fails.Store(0x1f)
	f.awaitVerdict("a broker that has sent it nothing has the verdict fails", 0, "fails", 4, 0, 1, 2, 3)
	from := time.Now()
	f.setDemand(30, 30, 30, 30, 30)
	f.eventually("it has sent parts to other stores", func() bool { return s[2].since(from, 4)+s[4].since(from, 4) > 40 })
	assert.LessOrEqual(t, s[0].since(from, 4), 3+int(time.Since(from)/time.Second), "of its share of twenty; one trial after each rest is allowed")
	why := command(t, f.Members[4], "verdict", "why", "s-0")
	assert.Contains(t, why, "s-0 is held for fails: observers agree")
	// The random choice of nodes decides who observed what; at least two brokers did.
	assert.GreaterOrEqual(t, len(regexp.MustCompile(`(?m)^n[0-3] +0 +fails +[1-9]`).FindAllString(why, -1)), 2, why)

	// The store recovers: all brokers use it again within seconds.
	s[0].fails.Store(0)
	from = time.Now()
	f.eventually("it has recovered everywhere", func() bool {
		for i := range f.Members {
			if f.seen(i, 0).Kind == "fails" {
				return false
			}
		}
		return true
	})
	f.awaitParts("all send it parts again", 0, from, 3, 4)
	t.Logf("recovered everywhere after %v", time.Since(from).Round(time.Millisecond))

	// A store that accepts parts and answers none gets the verdict silent, also at a broker that has sent it nothing.
	f.setDemand(30, 30, 30, 30, 0)
	s[5].mute.Store(true)
	f.awaitVerdict("a broker that has sent it nothing has the verdict silent", 5, "silent", 4, 0, 1, 2, 3)
	s[5].mute.Store(false)
	f.eventually("it has recovered", func() bool { return f.seen(4, 5).Kind != "silent" && f.seen(0, 5).Kind != "silent" })

	// A slow store gets the verdict slow, also at a broker that has sent it nothing, and rests nowhere. Slow is relative
	// to the other stores, and a part that takes far longer is abandoned and counts as silent. So the delay grows in steps
	// until the store is slow and not yet silent.
	steps := []int64{5, 10, 20, 40, 70, 100}
	from = time.Now()
	f.eventually("a broker that has sent it nothing has the verdict slow", func() bool {
		step := min(int(time.Since(from)/(5*time.Second)), len(steps)-1)
		s[3].slow.Store(steps[step])
		for i := range 4 {
			f.burst[i].Store(20)
		}
		f.sleep(300 * time.Millisecond)
		return f.seen(4, 3).Kind == "slow"
	})
	t.Logf("slow at %d ms", s[3].slow.Load())
	s[3].slow.Store(0)
	from = time.Now()
	f.eventually("it is no longer slow", func() bool { return f.seen(4, 3).Kind != "slow" })
	f.setDemand(30, 30, 30, 30, 30)
	f.awaitParts("all send it parts again", 3, from, 3, 0, 1, 2, 3, 4)

	// Trouble of a single broker affects no other.
	s[1].fails.Store(1 << 2)
	f.eventually("the observer reports it", func() bool { return len(f.seen(0, 1).Words) > 0 })
	from = time.Now()
	f.awaitParts("the others continue to send it parts", 1, from, 10, 0, 4)
	for i := range f.Members {
		assert.NotEqual(t, "fails", f.seen(i, 1).Kind)
	}
	s[1].fails.Store(0)

	// An operator drains a store while one broker is cut off: reachable brokers send it nothing new after half a second;
	// the state of the other is unknown until it is back.
	f.Switch.Split([]int{0, 1, 2, 4}, []int{3})
	f.order(1, 2, "drain", "60s")
	<-time.After(500 * time.Millisecond)
	from = time.Now()
	f.awaitParts("the broker that is cut off continues to send it parts", 2, from, 10, 3)
	assert.Zero(t, s[2].since(from, 0, 1, 2, 4), "reachable brokers sent parts to a drained store")
	v := f.seen(1, 2)
	require.NotNil(t, v.Order)
	assert.Equal(t, "drained", v.Kind)
	assert.Positive(t, v.Not, "the order is shown as known by the broker that is cut off")
	f.Switch.Heal()
	f.eventually("the broker receives the order", func() bool { return f.seen(3, 2).Kind == "drained" })
	from = time.Now()
	f.eventually("all members are known to have the order", func() bool { return f.seen(1, 2).Not == 0 })

	// All brokers restart one after the other meanwhile: the running ones keep the order.
	for i, m := range f.Members {
		m.Kill()
		require.NoError(t, m.Launch())
		f.eventually("the restarted broker has the order again", func() bool { return f.seen(i, 2).Kind == "drained" })
	}
	from = time.Now()
	f.awaitParts("all send parts to other stores", 0, from, 10, 0, 1, 2, 3, 4)
	f.awaitParts("all send parts to other stores", 4, from, 10, 0, 1, 2, 3, 4)
	assert.Zero(t, s[2].since(from))

	// All restart at once: the broker that stores orders on disk passes them on.
	for _, m := range f.Members {
		m.Kill()
	}
	require.NoError(t, f.LaunchAll())
	f.eventually("all have the order again", func() bool {
		for i := range f.Members {
			if f.seen(i, 2).Kind != "drained" {
				return false
			}
		}
		return true
	})

	// Contradictory orders on both sides of a partition: one of them holds for all when it heals.
	f.Switch.Split([]int{0, 1, 2}, []int{3, 4})
	f.order(0, 2, "clear", "60s")
	f.order(4, 2, "drain", "60s")
	f.eventually("each side applies its own order", func() bool { return f.seen(2, 2).Kind == "well" && f.seen(3, 2).Kind == "drained" })
	f.Switch.Heal()
	f.Switch.All(func(l *fleettest.Link) { l.Duplicate, l.Jitter, l.Flip, l.Loss = 0.3, 20, 0.02, 0.1 })
	f.Switch.Replay()
	f.eventually("one order holds for all", func() bool {
		for i := range f.Members {
			if a, b := f.seen(0, 2).Order, f.seen(i, 2).Order; a == nil || b == nil || a.Version != b.Version || a.By != b.By {
				return false
			}
		}
		return true
	})
	f.Switch.Heal()
	f.order(2, 2, "clear", "1s")
	f.eventually("the order ends by itself", func() bool { return f.seen(0, 2).Order == nil && f.seen(4, 2).Order == nil })

	// A broker is paused while a store fails and recovers: what it reports when it resumes is outdated and has no effect.
	s[4].fails.Store(0x1f)
	f.awaitVerdict("it fails", 4, "fails", 0, 0, 1, 2, 3, 4)
	f.Members[2].Signal(syscall.SIGSTOP)
	s[4].fails.Store(0)
	f.eventually("it has recovered", func() bool {
		return f.seen(0, 4).Kind != "fails" && f.seen(1, 4).Kind != "fails" && f.seen(3, 4).Kind != "fails"
	})
	<-time.After(time.Second)
	f.Members[2].Signal(syscall.SIGCONT)
	from = time.Now()
	f.awaitParts("all send it parts, the resumed broker too", 4, from, 5, 2, 0, 3)
	for i := range f.Members {
		assert.NotEqual(t, "fails", f.seen(i, 4).Kind)
	}
}
