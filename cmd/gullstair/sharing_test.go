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
	"gullstair/internal/rig"
	"gullstair/internal/sharer"
)

// TestMain lets the test binary be the broker itself, so that one can be killed as the platform kills it.
func TestMain(m *testing.M) {
	if os.Getenv("GULLSTAIR_TEST_CHILD") != "" {
		if len(os.Args) > 1 && os.Args[1] == "witness" {
			os.Exit(rig.Act(os.Args[2:]))
		}
		if path := os.Getenv("RIG_CLOCK"); path != "" {
			clocks = func() broker.Clocks { return bent(path) }
		}
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// fleets is how many fleets of processes run at once: each is idle most of the time, and all together must leave a machine of four cores enough to keep time.
var fleets = make(chan struct{}, 3)

// besideOthers lets a test with a fleet of its own run beside others, as far as there is room.
func besideOthers(t *testing.T) { takesRoom(t, 1) }

// takesRoom is for a test that asks as much of the machine as so many fleets; of those that ask for more than one there may be no two, or they wait for each other.
func takesRoom(t *testing.T, of int) {
	t.Parallel()
	for range of {
		fleets <- struct{}{}
		t.Cleanup(func() { <-fleets })
	}
}

// probed is a stand-in store that answers probes for load and counts them. A mute one takes connections and says nothing.
type probed struct {
	ln    net.Listener
	mute  bool
	mu    sync.Mutex
	times []time.Time
}

func (p *probed) serve() {
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

func (p *probed) seen() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]time.Time(nil), p.times...)
}

// fleet is some brokers, processes of their own, that share the probing of some stores.
type fleet struct {
	*rig.Fleet
	t      *testing.T
	stores []*probed
}

const sharedPeriod = 2 * time.Second

func startFleet(t *testing.T, brokers, stores, mute int) *fleet {
	f := &fleet{t: t}
	var hosts []any
	for i := range stores {
		p := &probed{ln: listen(t), mute: i < mute}
		f.stores = append(f.stores, p)
		go p.serve()
		hosts = append(hosts, map[string]any{"host": fmt.Sprint("s-", i), "dial": p.ln.Addr().String(), "site": "west",
			"class": "std", "block": i % 2, "health": "SERVING", "share": 1, "born_ms": 0})
	}
	tree := startTree(t)
	tree["known"] = map[string]any{"seq": 41, "whole": true, "hosts": hosts}
	var err error
	f.Fleet, err = rig.New(rig.Plan{Dir: t.TempDir(), Members: brokers, Program: []string{os.Args[0], "serve", "--log", "error"}, Log: os.Stderr,
		Env: []string{"GULLSTAIR_TEST_CHILD=1"}, Start: tree, Features: func(*rig.Member) (string, string) {
			return fmt.Sprintf("  pace = 0.1\n  key \"1\" {\n    secret = %q\n  }\n  duty \"probing\" {\n    period = %q\n  }\n",
				strings.Repeat("5e", 32), sharedPeriod), ""
		}})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	require.NoError(t, f.LaunchAll())
	return f
}

// startTree is a start file's content.
func startTree(t *testing.T) (tree map[string]any) {
	text, err := os.ReadFile("../../internal/config/testdata/start.json")
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(text, &tree))
	return tree
}

func (f *fleet) state(i int) (s sharer.State, err error) {
	var out bytes.Buffer
	if err = run([]string{"members", "--socket", f.Members[i].Socket(), "--json"}, &out); err == nil {
		err = json.Unmarshal(out.Bytes(), &s)
	}
	return s, err
}

// together waits until each of some brokers sees so many living.
func (f *fleet) together(living int, who ...int) {
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

// judge looks at the stores: none waited longer than that since a moment, none was probed three times in a period.
func (f *fleet) judge(since time.Time, longest time.Duration) {
	f.t.Helper()
	for i, s := range f.stores {
		last := since
		times := s.seen()
		for j, at := range times {
			if at.After(since) {
				assert.Less(f.t, at.Sub(last), longest, "store %d", i)
				last = at
			}
			// A little less than a period: what is sent a period apart may arrive a little closer.
			if j >= 2 {
				assert.Greater(f.t, at.Sub(times[j-2]), sharedPeriod*9/10, "store %d: three in a period", i)
			}
		}
		assert.Less(f.t, time.Since(last), longest, "store %d at the end", i)
	}
}

// Four brokers share the probing of twelve stores, two of which never answer. One is killed in mid-cycle: every store is
// probed within one extra period, and none more than twice in any period.
func TestSharedProbing(t *testing.T) {
	f := startFleet(t, 4, 12, 2)
	f.together(4, 0, 1, 2, 3)
	time.Sleep(2 * sharedPeriod) // the members' own time: nothing that the test could wait for
	from := time.Now()
	f.Members[2].Kill()
	f.together(3, 0, 1, 3)
	time.Sleep(3 * sharedPeriod)
	f.judge(from.Add(-sharedPeriod), 2*sharedPeriod)
	shown := command(t, f.Members[0], "duties", "--items")
	assert.Contains(t, shown, "probing")
	assert.Contains(t, shown, "3 of 4")
	assert.Contains(t, shown, "s-11")
	assert.Regexp(t, `n2 +dead`, command(t, f.Members[0], "members"))
	require.NoError(t, f.Members[2].Launch())
	f.together(4, 0, 1, 2, 3)
	res, err := http.Get("http://" + f.Members[2].Listen + "/healthz")
	require.NoError(t, err)
	res.Body.Close()
	assert.Equal(t, 200, res.StatusCode)
	time.Sleep(sharedPeriod)
	f.judge(from.Add(-sharedPeriod), 2*sharedPeriod)
	f.Members[1].Signal(syscall.SIGTERM) // it leaves with a word: the others know at once
	f.together(3, 0, 2, 3)
}

// The keys change in service: both are known everywhere, then the new one seals, then the old one goes.
func TestKeysChangeInService(t *testing.T) {
	f := startFleet(t, 2, 1, 0)
	f.together(2, 0, 1)
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
	f.together(2, 0, 1)
	s, err := f.state(0)
	require.NoError(t, err)
	assert.Zero(t, s.Carrier.Forged)
}
