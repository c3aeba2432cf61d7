package broker

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/internal/config"
	"gullstair/internal/core"
	"gullstair/internal/node"
)

const patience = 5 * time.Second

// fakeDiscovery is a discovery agent: each request is sent to requests and answered with the next of responses.
type fakeDiscovery struct {
	addr      string
	requests  chan string
	responses chan string
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	a := &fakeDiscovery{ln.Addr().String(), make(chan string, 100), make(chan string, 100)}
	t.Cleanup(func() {
		ln.Close()
		close(a.responses)
	})
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go a.serve(conn)
		}
	}()
	return a
}

func (a *fakeDiscovery) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		a.requests <- req.URL.String()
		list, more := <-a.responses
		if !more {
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	}
}

// startFile returns the start file of these tests, parsed with the given environment.
func startFile(t *testing.T, env map[string]string) *config.StartConfig {
	text, err := os.ReadFile("../config/testdata/start.json")
	require.NoError(t, err)
	cfg, err := config.Parse(text, func(key string) string { return env[key] })
	require.NoError(t, err)
	return cfg
}

func health(t *testing.T, b *Broker) int {
	client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + b.Addr() + "/healthz")
	require.NoError(t, err)
	res.Body.Close()
	return res.StatusCode
}

const empty = `{"seq":41,"whole":false,"hosts":[]}`

// A broker without nodes is not ready before the list names one: it could only throttle the scans that it gets.
func TestReadyWithList(t *testing.T) {
	a := newFakeDiscovery(t)
	cfg := startFile(t, map[string]string{"GW_DISCOVERY": a.addr})
	cfg.KnownList.Hosts = nil
	b, err := Start(cfg, nil, zerolog.Nop())
	require.NoError(t, err)
	<-a.requests
	a.responses <- empty
	<-a.requests
	assert.Equal(t, 503, health(t, b))
	a.responses <- `{"seq":42,"whole":true,"hosts":[{"host":"s-a","dial":"127.0.0.1:2","site":"west","class":"std","block":0,"health":"SERVING","share":1,"born_ms":0}]}`
	<-a.requests
	assert.Eventually(t, func() bool { return health(t, b) == 200 }, patience, time.Millisecond)
	b.Stop(patience)
}

// No scan is dispatched by the cached list before the discovery agent has answered once. A request that arrives
// earlier waits and is served by the agent's list. The broker gives up on an agent that has not answered for half a
// second: an attempt in which this test was stalled for so long shows nothing and is repeated.
func TestNoDispatchBeforeDiscovery(t *testing.T) {
	for attempt := range 20 {
		waited, err := dispatchAroundFirstList(t)
		if err == nil {
			return
		}
		require.GreaterOrEqual(t, waited, firstCallTimeout, err)
		t.Logf("attempt %d: the answer came after %v: %v", attempt, waited, err)
	}
	t.Fatal("every attempt was stalled")
}

// firstCallTimeout is how long a broker waits for the first answer of its discovery agent.
const firstCallTimeout = 500 * time.Millisecond

// dispatchAroundFirstList sends a scan before the discovery agent's first answer, which lists the store as draining, and
// returns an error if the store got a dispatch. It also returns how long the broker was without the answer.
func dispatchAroundFirstList(t *testing.T) (waited time.Duration, err error) {
	stores, cfg := silentStores(t)
	a := newFakeDiscovery(t)
	cfg.Discovery = a.addr
	begun := time.Now()
	b, err := Start(cfg, nil, zerolog.Nop())
	require.NoError(t, err)
	defer b.Stop(patience)
	status := make(chan int, 1)
	<-a.requests
	go func() { status <- board(b) }()
	stores.(*net.TCPListener).SetDeadline(time.Now().Add(200 * time.Millisecond)) // less than firstCallTimeout
	_, early := stores.Accept()
	a.responses <- `{"seq":42,"whole":false,"hosts":[{"host":"s-a","dial":"` + stores.Addr().String() +
		`","site":"west","class":"std","block":0,"health":"DRAINING","share":1,"born_ms":0}]}`
	waited = time.Since(begun)
	if early == nil {
		return waited, errors.New("a dispatch before discovery has answered")
	}
	if got := <-status; got != 429 {
		return waited, fmt.Errorf("the scan got %d", got)
	}
	stores.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Millisecond))
	if _, err = stores.Accept(); err == nil {
		return waited, errors.New("a dispatch to a store that discovery lists as draining")
	}
	return waited, nil
}

// While discovery is down a restarted broker becomes ready within seconds and serves by its cached list.
func TestReadyWithoutDiscovery(t *testing.T) {
	a := newFakeDiscovery(t)
	for name, addr := range map[string]string{"silent": a.addr, "refused": "127.0.0.1:1"} {
		begun := time.Now()
		b, err := Start(startFile(t, map[string]string{"GW_DISCOVERY": addr}), nil, zerolog.Nop())
		require.NoError(t, err, name)
		assert.Equal(t, 200, health(t, b), name)
		assert.Less(t, time.Since(begun), 3*time.Second, name)
		b.Stop(patience)
	}
}

// A call to a peer whose mailbox is full ends as dispatches that were not sent. It does not block the caller, however
// long the peer is blocked.
func TestPeerQueueFull(t *testing.T) {
	held := make(chan struct{})
	defer close(held)
	b := &Broker{clock: NewClock(), log: zerolog.Nop()}
	b.fleet = node.NewFleet(node.ConnLimits{}, b.clock.Now, func(core.Ended) { <-held }, zerolog.Nop())
	c := core.Call{Host: "s-z", Addr: "127.0.0.1:1", Parts: []core.CallPart{{Ref: 7}, {Ref: 8}}}
	var batch []core.Input
	for i := 0; len(batch) == 0 && i < 10000; i++ {
		batch = b.carryOut([]core.Output{c}, nil)
	}
	require.Len(t, batch, 2)
	last := batch[1].(core.Ended)
	assert.Equal(t, core.Ended{Ref: 8, Reason: core.QueueFull, At: last.At}, last)
}

// A broker takes over the address of one that is still shutting down.
func TestListenRetry(t *testing.T) {
	old, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	_, err = listen(old.Addr().String(), 0, nil)
	assert.ErrorIs(t, err, syscall.EADDRINUSE)
	time.AfterFunc(20*time.Millisecond, func() { old.Close() })
	ln, err := listen(old.Addr().String(), patience, nil)
	require.NoError(t, err)
	defer ln.Close()
	abandon := make(chan struct{})
	close(abandon)
	_, err = listen(ln.Addr().String(), time.Hour, abandon)
	assert.ErrorIs(t, err, ErrAbandoned, "stopped while it waits")
}

// silentStores returns a listener for stores that accept connections and never answer, and a start file that names them.
func silentStores(t *testing.T) (net.Listener, *config.StartConfig) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { silent.Close() })
	cfg := startFile(t, nil)
	for i := range cfg.KnownList.Hosts {
		cfg.KnownList.Hosts[i].Dial = silent.Addr().String()
	}
	return silent, cfg
}

// board requests one shard from a broker and returns the HTTP status; 0 means no answer.
func board(b *Broker) int {
	req, _ := http.NewRequest("POST", "http://"+b.Addr()+"/board", strings.NewReader(`{"segments":[{"segment":0,"boost":1}],"text":"t"}`))
	req.Header = http.Header{"X-Time-Left-Ms": {"3900"}, "X-Correlation-Id": {"q1"}}
	client := http.Client{Timeout: patience}
	res, err := client.Do(req)
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}

// A scan that is still open when patience ends gets a reply although its node does not answer.
func TestReplyAfterPatience(t *testing.T) {
	silent, cfg := silentStores(t)
	b, err := Start(cfg, nil, zerolog.Nop())
	require.NoError(t, err)
	status := make(chan int, 1)
	go func() { status <- board(b) }()
	conn, err := silent.Accept()
	require.NoError(t, err)
	defer conn.Close()
	b.Stop(0)
	assert.Equal(t, 504, <-status)
}

// A broker that is stopped before discovery has answered still replies to its clients.
func TestStopBeforeReady(t *testing.T) {
	_, cfg := silentStores(t)
	a := newFakeDiscovery(t)
	cfg.Discovery = a.addr
	b, err := Start(cfg, nil, zerolog.Nop())
	require.NoError(t, err)
	<-a.requests
	status := make(chan int, 1)
	go func() { status <- board(b) }()
	b.Stop(patience)
	assert.Contains(t, []int{429, 503, 504}, <-status)
}

// logTrigger calls a function once, when a log line contains a text. Several goroutines write the log.
type logTrigger struct {
	text   string
	action func()
	once   sync.Once
}

func (w *logTrigger) Write(line []byte) (int, error) {
	if strings.Contains(string(line), w.text) {
		w.once.Do(w.action)
	}
	return len(line), nil
}

// A client that connects after the last scan was answered and before the listener closes gets a reply too. Its scan was
// once read and never answered, since the actor had stopped.
func TestClientDuringShutdown(t *testing.T) {
	silent, cfg := silentStores(t)
	status := make(chan int, 1)
	var b *Broker
	var err error
	trigger := &logTrigger{text: "front stopped", action: func() {
		go func() { status <- board(b) }()
		conn, err := silent.Accept() // its part has been dispatched
		if err == nil {
			t.Cleanup(func() { conn.Close() })
		}
	}}
	b, err = Start(cfg, nil, zerolog.New(trigger))
	require.NoError(t, err)
	b.Stop(10 * time.Second)
	assert.Equal(t, 504, <-status)
}

// Idle clients may use up their file descriptors while discovery is down: discovery, the connections to nodes and a new
// client still get theirs.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	stores, cfg := silentStores(t)
	a := newFakeDiscovery(t)
	cfg.Discovery, cfg.Sockets = a.addr, 64
	b, err := Start(cfg, nil, zerolog.Nop())
	require.NoError(t, err)
	<-a.requests // and does not answer
	for range 3 * cfg.Sockets {
		conn, err := net.Dial("tcp", b.Addr())
		require.NoError(t, err)
		defer conn.Close()
	}
	go board(b)
	stores.(*net.TCPListener).SetDeadline(time.Now().Add(patience))
	part, err := stores.Accept()
	require.NoError(t, err)
	defer part.Close()
	assert.Equal(t, 200, health(t, b))
	select {
	case <-a.requests:
	case <-time.After(patience):
		assert.Fail(t, "the list is no longer requested")
	}
	assert.LessOrEqual(t, b.front.Conns()+b.fleet.Conns(), cfg.Sockets-reservedFiles)
	b.Stop(0)
}

// A scan whose client has left is not dispatched again, although its first dispatch fails just then and could be repeated.
func TestNoRetryAfterClientLeft(t *testing.T) {
	stores, cfg := silentStores(t)
	for i := range cfg.KnownList.Hosts { // both nodes hold the shard
		cfg.KnownList.Hosts[i].Block = 0
	}
	b, err := Start(cfg, nil, zerolog.Nop())
	require.NoError(t, err)
	client, err := net.Dial("tcp", b.Addr())
	require.NoError(t, err)
	body := `{"segments":[{"segment":0,"boost":1}],"text":"t"}`
	fmt.Fprintf(client, "POST /board HTTP/1.1\r\nHost: x\r\nX-Time-Left-Ms: 3900\r\nX-Correlation-Id: q1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	stores.(*net.TCPListener).SetDeadline(time.Now().Add(patience))
	store, err := stores.Accept()
	require.NoError(t, err)
	defer store.Close()
	store.SetReadDeadline(time.Now().Add(patience))
	in := bufio.NewReader(store)
	head, err := in.Peek(9)
	require.NoError(t, err)
	assert.Equal(t, "Rq1.0", string(head[4:]))
	in.Discard(in.Buffered())
	require.NoError(t, client.Close())
	head, err = in.Peek(9)
	require.NoError(t, err)
	assert.Equal(t, "Aq1.0", string(head[4:]), "the node gets the cancellation")
	store.Write([]byte("\x00\x00\x00\x10Yq1.0 ERROR - -\n"))
	stores.(*net.TCPListener).SetDeadline(time.Now().Add(300 * time.Millisecond))
	_, err = stores.Accept()
	assert.Error(t, err, "no further attempt")
	b.Stop(0)
}
