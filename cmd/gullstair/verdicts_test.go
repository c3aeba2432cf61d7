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

	"gullstair/internal/rig"
	"gullstair/internal/sharer"
	"gullstair/internal/verdicts"
)

// judgedStore is a store that writes down which broker's parts reached it, and when; some it fails.
type judgedStore struct {
	ln    net.Listener
	fails atomic.Int64 // a bit for each broker
	mute  atomic.Bool  // it takes parts and answers none
	slow  atomic.Int64 // so many ms longer a part
	mu    sync.Mutex
	came  [][]time.Time // by broker
}

func startJudged(t *testing.T, brokers int) *judgedStore {
	s := &judgedStore{ln: listen(t), came: make([][]time.Time, brokers)}
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

func (s *judgedStore) serve(conn net.Conn) {
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
			s.came[broker] = append(s.came[broker], time.Now())
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

// serviceTime is what a part takes at a store, one after the other on a connection: so long that scans which come together find nodes at work.
const serviceTime = 2 * time.Millisecond

// since counts the parts that came from some brokers after a moment; of none named: from all.
func (s *judgedStore) since(at time.Time, who ...int) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for b, all := range s.came {
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
	*rig.Fleet
	t      *testing.T
	stores []*judgedStore
	demand []atomic.Int64
	owed   []atomic.Int64 // scans that come at once
	stop   chan struct{}
	asking sync.WaitGroup
	// stopAll ends it before the test does.
	stopAll func()
}

// let lets time pass.
func (f *verdictFleet) let(span time.Duration) { <-time.After(span) }

func startVerdicts(t *testing.T) *verdictFleet { return startSharing(t, 5, true, true) }

// startSharing starts so many brokers, which see each other, and share notes and verdicts or do not.
func startSharing(t *testing.T, brokers int, notes, share bool) *verdictFleet {
	f := &verdictFleet{t: t, demand: make([]atomic.Int64, brokers), owed: make([]atomic.Int64, brokers), stop: make(chan struct{})}
	tree := startTree(t)
	var hosts []any
	for i := range 6 {
		s := startJudged(t, brokers)
		f.stores = append(f.stores, s)
		hosts = append(hosts, map[string]any{"host": fmt.Sprint("s-", i), "dial": s.ln.Addr().String(), "site": "west", "class": "std", "block": i % 2, "health": "SERVING",
			"share": 1, "born_ms": 0})
	}
	tree["known"] = map[string]any{"seq": 41, "whole": true, "hosts": hosts}
	var err error
	f.Fleet, err = rig.New(rig.Plan{Dir: t.TempDir(), Members: brokers, Program: []string{os.Args[0], "serve", "--log", "error"}, Env: []string{"GULLSTAIR_TEST_CHILD=1"},
		Start: tree, Seed: 1, Features: func(m *rig.Member) (string, string) {
			dir := ""
			if m.N == 3 { // one of them remembers operators' orders
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
		f.asking.Wait()
		f.Close()
		client.CloseIdleConnections()
	})
	t.Cleanup(f.stopAll)
	for i, m := range f.Members {
		require.NoError(t, m.Bend(rates[i%len(rates)], 0))
	}
	require.NoError(t, f.LaunchAll())
	for i := range f.Members {
		f.asking.Go(func() { f.ask(client, i) })
	}
	for i := range f.Members {
		f.until("members see each other", func() bool {
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

// used waits until each of some brokers has sent a store so many parts since a moment. Where all nodes idle the one with the best outcomes gets everything, whoever
// may be used: so scans come many at once, and go to whatever store does not rest.
func (f *verdictFleet) used(what string, store int, since time.Time, more int, who ...int) {
	f.t.Helper()
	f.until(what, func() bool {
		done := true
		for _, i := range who {
			if f.stores[store].since(since, i) <= more {
				f.owed[i].Store(30)
				done = false
			}
		}
		if !done {
			f.let(100 * time.Millisecond)
		}
		return done
	})
}

// held waits until a broker holds a store for something that some brokers see, who get scans many at once meanwhile. Where nodes
// idle, a store that one broker saw failing, and told the others of, gets nothing more from anybody, and one observer makes no
// verdict. (Symptom: "it fails" did not come in 30 s, parts to the store by broker 0 0 6 0 0, 78 verdicts "of too few observers".
// The same at will: the store fails while n2 alone sends anything, then all send one scan at a time.)
func (f *verdictFleet) held(what string, store int, kind string, by int, seers ...int) {
	f.t.Helper()
	f.until(what, func() bool {
		for _, i := range seers {
			f.owed[i].Store(30)
		}
		f.let(100 * time.Millisecond)
		return f.seen(by, store).Kind == kind
	})
}

// ask asks one broker for both shards, at the pace that is set.
func (f *verdictFleet) ask(client *http.Client, i int) {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for n, last, owed := 0, time.Now(), 0.0; ; {
		select {
		case <-f.stop:
			return
		case now := <-tick.C:
			owed = min(owed+now.Sub(last).Seconds()*float64(f.demand[i].Load()), 20) + float64(f.owed[i].Swap(0))
			last = now
		}
		for ; owed >= 1; owed-- {
			n++
			id := fmt.Sprint("q", i, "-", n)
			f.asking.Go(func() {
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

func (f *verdictFleet) askAll(perSecond ...int64) {
	for i, n := range perSecond {
		f.demand[i].Store(n)
	}
}

func (f *verdictFleet) state(i int) (s sharer.State) {
	f.Members[i].Ask("sharing", &s)
	return s
}

// seen is what a broker holds of a store.
func (f *verdictFleet) seen(i, store int) (v verdicts.Seen) {
	for _, x := range f.state(i).Verdicts {
		if x.Store == fmt.Sprint("s-", store) {
			return x
		}
	}
	return v
}

func (f *verdictFleet) until(what string, holds func() bool) {
	f.t.Helper()
	begun := time.Now()
	if err := rig.Until(30*time.Second, holds); err != nil {
		// What the stores saw meanwhile and what the brokers make of it, or nobody could say why.
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

// Five processes over stores that write down what reaches them: whose word counts, how fast it goes and comes back, what operators order, and what becomes of it in splits, through
// restarts and when processes stand still.
func TestVerdictFaults(t *testing.T) {
	besideOthers(t)
	f := startVerdicts(t)
	s := f.stores
	f.askAll(30, 30, 30, 30, 0)

	// A store fails for all. A broker that has sent it nothing knows, and sends it nothing.
	s[0].fails.Store(0x1f)
	f.held("a broker that has sent it nothing holds it for failing", 0, "fails", 4, 0, 1, 2, 3)
	from := time.Now()
	f.askAll(30, 30, 30, 30, 30)
	f.until("it has sent others parts", func() bool { return s[2].since(from, 4)+s[4].since(from, 4) > 40 })
	assert.LessOrEqual(t, s[0].since(from, 4), 3+int(time.Since(from)/time.Second), "of its share of twenty; a trial each rest is its own")
	why := command(t, f.Members[4], "verdict", "why", "s-0")
	assert.Contains(t, why, "s-0 is held for fails: observers agree")
	// Who has seen what is drawn by the choice of nodes; two at least have.
	assert.GreaterOrEqual(t, len(regexp.MustCompile(`(?m)^n[0-3] +0 +fails +[1-9]`).FindAllString(why, -1)), 2, why)

	// It does well again: so it is for all, within seconds.
	s[0].fails.Store(0)
	from = time.Now()
	f.until("it is well everywhere", func() bool {
		for i := range f.Members {
			if f.seen(i, 0).Kind == "fails" {
				return false
			}
		}
		return true
	})
	f.used("parts flow to it", 0, from, 3, 4)
	t.Logf("well everywhere after %v", time.Since(from).Round(time.Millisecond))

	// One that takes parts and answers none is held for silent, also by who has sent it nothing.
	f.askAll(30, 30, 30, 30, 0)
	s[5].mute.Store(true)
	f.held("who has sent it nothing holds it for silent", 5, "silent", 4, 0, 1, 2, 3)
	s[5].mute.Store(false)
	f.until("it is well", func() bool { return f.seen(4, 5).Kind != "silent" && f.seen(0, 5).Kind != "silent" })

	// One that is slow is held for slow by who has sent it nothing too. It rests nowhere.
	// How slow that is hangs on the others: what takes far longer than them is given up on and held for silent. So it
	// becomes slower by steps until it is slow and not yet silent.
	steps := []int64{5, 10, 20, 40, 70, 100}
	from = time.Now()
	f.until("who has sent it nothing holds it for slow", func() bool {
		step := min(int(time.Since(from)/(5*time.Second)), len(steps)-1)
		s[3].slow.Store(steps[step])
		for i := range 4 {
			f.owed[i].Store(20)
		}
		f.let(300 * time.Millisecond)
		return f.seen(4, 3).Kind == "slow"
	})
	t.Logf("slow at %d ms", s[3].slow.Load())
	s[3].slow.Store(0)
	from = time.Now()
	f.until("it is no more", func() bool { return f.seen(4, 3).Kind != "slow" })
	f.askAll(30, 30, 30, 30, 30)
	f.used("parts flow to it", 3, from, 3, 0, 1, 2, 3, 4)

	// One broker's trouble stays its own.
	s[1].fails.Store(1 << 2)
	f.until("it says so", func() bool { return len(f.seen(0, 1).Words) > 0 })
	from = time.Now()
	f.used("the others go on", 1, from, 10, 0, 4)
	for i := range f.Members {
		assert.NotEqual(t, "fails", f.seen(i, 1).Kind)
	}
	s[1].fails.Store(0)

	// Drained by an operator while one is cut off: nothing new from who can be reached once half a second has passed; of the other it is unknown, until it is back.
	f.Switch.Split([]int{0, 1, 2, 4}, []int{3})
	f.order(1, 2, "drain", "60s")
	<-time.After(500 * time.Millisecond)
	from = time.Now()
	f.used("the cut off one goes on", 2, from, 10, 3)
	assert.Zero(t, s[2].since(from, 0, 1, 2, 4), "nothing new")
	v := f.seen(1, 2)
	require.NotNil(t, v.Order)
	assert.Equal(t, "drained", v.Kind)
	assert.Positive(t, v.Not, "of who is cut off it is not known; it is never shown as done")
	f.Switch.Heal()
	f.until("it hears of it", func() bool { return f.seen(3, 2).Kind == "drained" })
	from = time.Now()
	f.until("all know", func() bool { return f.seen(1, 2).Not == 0 })

	// All are restarted one after the other meanwhile: the others keep the order.
	for i, m := range f.Members {
		m.Kill()
		require.NoError(t, m.Launch())
		f.until("it knows of the drain again", func() bool { return f.seen(i, 2).Kind == "drained" })
	}
	from = time.Now()
	f.used("parts flow", 0, from, 10, 0, 1, 2, 3, 4)
	f.used("parts flow", 4, from, 10, 0, 1, 2, 3, 4)
	assert.Zero(t, s[2].since(from))

	// All at once: who keeps orders on a disk tells the others.
	for _, m := range f.Members {
		m.Kill()
	}
	require.NoError(t, f.LaunchAll())
	f.until("all know of the drain again", func() bool {
		for i := range f.Members {
			if f.seen(i, 2).Kind != "drained" {
				return false
			}
		}
		return true
	})

	// Contrary orders on two sides of a split: one holds for all when it heals.
	f.Switch.Split([]int{0, 1, 2}, []int{3, 4})
	f.order(0, 2, "clear", "60s")
	f.order(4, 2, "drain", "60s")
	f.until("each side goes by its own", func() bool { return f.seen(2, 2).Kind == "well" && f.seen(3, 2).Kind == "drained" })
	f.Switch.Heal()
	f.Switch.All(func(l *rig.Link) { l.Duplicate, l.Jitter, l.Flip, l.Loss = 0.3, 20, 0.02, 0.1 })
	f.Switch.Replay()
	f.until("one holds for all", func() bool {
		for i := range f.Members {
			if a, b := f.seen(0, 2).Order, f.seen(i, 2).Order; a == nil || b == nil || a.Version != b.Version || a.By != b.By {
				return false
			}
		}
		return true
	})
	f.Switch.Heal()
	f.order(2, 2, "clear", "1s")
	f.until("it is over by itself", func() bool { return f.seen(0, 2).Order == nil && f.seen(4, 2).Order == nil })

	// One stands still while a store fails and does well again: what it wakes with is old, and moves nobody.
	s[4].fails.Store(0x1f)
	f.held("it fails", 4, "fails", 0, 0, 1, 2, 3, 4)
	f.Members[2].Signal(syscall.SIGSTOP)
	s[4].fails.Store(0)
	f.until("it is well", func() bool {
		return f.seen(0, 4).Kind != "fails" && f.seen(1, 4).Kind != "fails" && f.seen(3, 4).Kind != "fails"
	})
	<-time.After(time.Second)
	f.Members[2].Signal(syscall.SIGCONT)
	from = time.Now()
	f.used("all send it parts, who has woken too", 4, from, 5, 2, 0, 3)
	for i := range f.Members {
		assert.NotEqual(t, "fails", f.seen(i, 4).Kind)
	}
}
