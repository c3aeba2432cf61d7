package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/internal/broker"
	"gullstair/internal/cluster"
	"gullstair/internal/fleettest"
	"gullstair/internal/lifecycle"
	"gullstair/internal/memberactor"
)

// TestMain lets the test binary run as the broker itself, so that tests can kill it as the platform does.
// childPanicDelay is how long after its start a process panics that a test has told to.
const childPanicDelay = time.Second

func TestMain(m *testing.M) {
	if os.Getenv("GULLSTAIR_TEST_CHILD") != "" {
		if len(os.Args) > 1 && os.Args[1] == "witness" {
			os.Exit(fleettest.RunWorker(os.Args[2:]))
		}
		if path := os.Getenv("RIG_CLOCK"); path != "" {
			clocks = func() broker.Clocks { return skewedClocks(path) }
		}
		if path := os.Getenv(slowDiskVariable); path != "" {
			hostEnvironment = func() cluster.Environment { return slowDiskEnvironment(path) }
		}
		if os.Getenv("GULLSTAIR_TEST_PANIC") != "" {
			time.AfterFunc(childPanicDelay, lifecycle.Guard(func() { panic("forced") }))
		}
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// fleetSlots limits how many process fleets run at once. Each is idle most of the time; together they must
// leave a machine of four cores enough CPU to meet their timers.
var fleetSlots = make(chan struct{}, 3)

// runParallel lets a test with one fleet run in parallel with others, as fleetSlots permits.
func runParallel(t *testing.T) { acquireFleetSlots(t, 1) }

// acquireFleetSlots is for a test that uses as much CPU as this many fleets. At most one test may request more than
// one slot, or two of them deadlock.
func acquireFleetSlots(t *testing.T, of int) {
	t.Parallel()
	for range of {
		fleetSlots <- struct{}{}
		t.Cleanup(func() { <-fleetSlots })
	}
}

// probedStore is a test store that answers load probes and counts them. A mute one accepts connections and never
// answers.
type probedStore struct {
	ln    net.Listener
	mute  bool
	mu    sync.Mutex
	times []time.Time
}

func (p *probedStore) serve() {
	for {
		conn, err := p.ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			for {
				var size uint32
				if binary.Read(conn, binary.BigEndian, &size) != nil {
					return
				}
				frame := make([]byte, size)
				if _, err := io.ReadFull(conn, frame); err != nil {
					return
				}
				if frame[0] != 'T' {
					continue
				}
				p.mu.Lock()
				p.times = append(p.times, time.Now())
				p.mu.Unlock()
				if !p.mute {
					answer := "Tinflight=3,util=0.5"
					conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(answer))), answer...))
				}
			}
		}()
	}
}

func (p *probedStore) probeTimes() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]time.Time(nil), p.times...)
}

// fleet is a set of broker processes that share the probing of some stores.
type fleet struct {
	*fleettest.Fleet
	t      *testing.T
	stores []*probedStore
}

const sharedPeriod = 2 * time.Second

func startFleet(t *testing.T, brokers, stores, mute int) *fleet {
	f := &fleet{t: t}
	var hosts []any
	for i := range stores {
		p := &probedStore{ln: listen(t), mute: i < mute}
		f.stores = append(f.stores, p)
		go p.serve()
		hosts = append(hosts, map[string]any{"host": fmt.Sprint("s-", i), "dial": p.ln.Addr().String(), "site": "west",
			"class": "std", "block": i % 2, "health": "SERVING", "share": 1, "born_ms": 0})
	}
	tree := startTree(t)
	tree["known"] = map[string]any{"seq": 41, "whole": true, "hosts": hosts}
	var err error
	f.Fleet, err = fleettest.New(fleettest.Config{Dir: t.TempDir(), Members: brokers, Program: []string{os.Args[0], "serve", "--log", "error"}, Log: os.Stderr,
		Env: []string{"GULLSTAIR_TEST_CHILD=1"}, Start: tree, Features: func(*fleettest.Member) (string, string) {
			return fmt.Sprintf("  pace = 0.1\n  key \"1\" {\n    secret = %q\n  }\n  duty \"probing\" {\n    period = %q\n  }\n",
				strings.Repeat("5e", 32), sharedPeriod), ""
		}})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	require.NoError(t, f.LaunchAll())
	return f
}

// startTree returns the content of a start file.
func startTree(t *testing.T) (tree map[string]any) {
	text, err := os.ReadFile("../../internal/config/testdata/start.json")
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(text, &tree))
	return tree
}

func (f *fleet) state(i int) (s memberactor.State, err error) {
	var out bytes.Buffer
	if err = run([]string{"members", "--socket", f.Members[i].Socket(), "--json"}, &out); err == nil {
		err = json.Unmarshal(out.Bytes(), &s)
	}
	return s, err
}

// awaitLiving waits until each of the given brokers sees this many live members.
func (f *fleet) awaitLiving(living int, who ...int) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		for _, i := range who {
			s, err := f.state(i)
			n := 0
			for _, m := range s.Members {
				if m.Living() {
					n++
				}
			}
			if err != nil || n != living {
				return false
			}
		}
		return true
	}, 20*time.Second, 50*time.Millisecond)
}

// checkProbing checks that no store went unprobed for longer than the given time, and that none was probed three times
// in a period.
func (f *fleet) checkProbing(since time.Time, longest time.Duration) {
	f.t.Helper()
	for i, s := range f.stores {
		last := since
		times := s.probeTimes()
		for j, at := range times {
			if at.After(since) {
				assert.Less(f.t, at.Sub(last), longest, "store %d", i)
				last = at
			}
			// A little less than a period: probes sent a period apart may arrive slightly closer together.
			if j >= 2 {
				assert.Greater(f.t, at.Sub(times[j-2]), sharedPeriod*9/10, "store %d: three probes in a period", i)
			}
		}
		assert.Less(f.t, time.Since(last), longest, "store %d at the end", i)
	}
}

// TestSharedProbing lets four brokers share the probing of twelve stores, two of which never answer. One broker is
// killed in the middle of a cycle: every store must be probed within one extra period, and none more than twice in any
// period.
func TestSharedProbing(t *testing.T) {
	f := startFleet(t, 4, 12, 2)
	f.awaitLiving(4, 0, 1, 2, 3)
	time.Sleep(2 * sharedPeriod) // lets the members probe undisturbed; the test has no event to wait for
	from := time.Now()
	f.Members[2].Kill()
	f.awaitLiving(3, 0, 1, 3)
	time.Sleep(3 * sharedPeriod)
	f.checkProbing(from.Add(-sharedPeriod), 2*sharedPeriod)
	shown := command(t, f.Members[0], "duties", "--items")
	assert.Contains(t, shown, "probing")
	assert.Contains(t, shown, "3 of 4")
	assert.Contains(t, shown, "s-11")
	assert.Regexp(t, `n2 +dead`, command(t, f.Members[0], "members"))
	require.NoError(t, f.Members[2].Launch())
	f.awaitLiving(4, 0, 1, 2, 3)
	res, err := http.Get("http://" + f.Members[2].Listen + "/healthz")
	require.NoError(t, err)
	res.Body.Close()
	assert.Equal(t, 200, res.StatusCode)
	time.Sleep(sharedPeriod)
	f.checkProbing(from.Add(-sharedPeriod), 2*sharedPeriod)
	f.Members[1].Signal(syscall.SIGTERM) // it announces its departure, so the others know at once
	f.awaitLiving(3, 0, 2, 3)
}

// TestKeysChangeInService rotates the keys of running brokers: all learn the new key, then it signs, then the old one
// is removed.
func TestKeysChangeInService(t *testing.T) {
	f := startFleet(t, 2, 1, 0)
	f.awaitLiving(2, 0, 1)
	older, newer := strings.Repeat("5e", 32), strings.Repeat("a7", 32)
	block := func(n int, secret string) string {
		return fmt.Sprintf("  key \"%d\" {\n    secret = %q\n  }\n", n, secret)
	}
	for _, keys := range []string{block(1, older) + block(2, newer), block(2, newer) + block(1, older), block(2, newer)} {
		for i := range 2 {
			text, err := os.ReadFile(f.Members[i].Path("hcl"))
			require.NoError(t, err)
			head, rest, _ := strings.Cut(string(text), "  key ")
			_, tail, _ := strings.Cut(rest, "  duty ")
			require.NoError(t, os.WriteFile(f.Members[i].Path("hcl"), []byte(head+keys+"  duty "+tail), 0o600))
			f.Members[i].Signal(syscall.SIGHUP)
		}
		before, err := f.state(0)
		require.NoError(t, err)
		require.Eventually(t, func() bool {
			s, err := f.state(0)
			return err == nil && s.Carrier.Received > before.Carrier.Received+20
		}, patience, 20*time.Millisecond)
	}
	f.awaitLiving(2, 0, 1)
	s, err := f.state(0)
	require.NoError(t, err)
	assert.Zero(t, s.Carrier.Forged)
}
