package broker

import (
	"bufio"
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

// agent is a discovery that a test plays: each call is announced in asked and answered with the next of say.
type agent struct {
	addr  string
	asked chan string
	say   chan string
}

func newAgent(t *testing.T) *agent {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	a := &agent{ln.Addr().String(), make(chan string, 100), make(chan string, 100)}
	t.Cleanup(func() {
		ln.Close()
		close(a.say)
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

func (a *agent) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		a.asked <- req.URL.String()
		list, more := <-a.say
		if !more {
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	}
}

// startFile is what a broker is told in these tests, with changes to its environment.
func startFile(t *testing.T, env map[string]string) *config.Told {
	text, err := os.ReadFile("../config/testdata/start.json")
	require.NoError(t, err)
	told, err := config.Parse(text, func(key string) string { return env[key] })
	require.NoError(t, err)
	return told
}

func health(t *testing.T, b *Broker) int {
	client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + b.Addr() + "/healthz")
	require.NoError(t, err)
	res.Body.Close()
	return res.StatusCode
}

const empty = `{"seq":41,"whole":false,"hosts":[]}`

// A broker that knows of no node is not ready before the list names one: the front would send it scans that
// it can only throttle.
func TestReadyWithList(t *testing.T) {
	a := newAgent(t)
	told := startFile(t, map[string]string{"GW_DISCOVERY": a.addr})
	told.Known.Hosts = nil
	b, err := Start(told, nil, zerolog.Nop())
	require.NoError(t, err)
	<-a.asked
	a.say <- empty
	<-a.asked
	assert.Equal(t, 503, health(t, b))
	a.say <- `{"seq":42,"whole":true,"hosts":[{"host":"s-a","dial":"127.0.0.1:2","site":"west","class":"std","block":0,"health":"SERVING","share":1,"born_ms":0}]}`
	<-a.asked
	assert.Eventually(t, func() bool { return health(t, b) == 200 }, patience, time.Millisecond)
	b.Stop(patience)
}

// What the agent holds counts from a process's first moment: nothing is sent by an older list before the agent has
// been asked once. A request that comes meanwhile waits and is answered by what the agent said.
func TestFirstMoment(t *testing.T) {
	stores, told := silentStores(t)
	a := newAgent(t)
	told.Discovery = a.addr
	b, err := Start(told, nil, zerolog.Nop())
	require.NoError(t, err)
	status := make(chan int, 1)
	<-a.asked
	go func() { status <- board(b) }()
	stores.(*net.TCPListener).SetDeadline(time.Now().Add(200 * time.Millisecond)) // the agent has half a second
	_, err = stores.Accept()
	assert.Error(t, err, "nothing goes out before the agent has said what it holds")
	a.say <- `{"seq":42,"whole":false,"hosts":[{"host":"s-a","dial":"` + stores.Addr().String() +
		`","site":"west","class":"std","block":0,"health":"DRAINING","share":1,"born_ms":0}]}`
	assert.Equal(t, 429, <-status)
	stores.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Millisecond))
	_, err = stores.Accept()
	assert.Error(t, err, "nothing went to a store that the agent knew to drain")
	b.Stop(patience)
}

// Where discovery is down a restarted broker serves by the list that it was started with, and soon.
func TestReadyWithoutDiscovery(t *testing.T) {
	a := newAgent(t)
	for name, addr := range map[string]string{"silent": a.addr, "refused": "127.0.0.1:1"} {
		begun := time.Now()
		b, err := Start(startFile(t, map[string]string{"GW_DISCOVERY": addr}), nil, zerolog.Nop())
		require.NoError(t, err, name)
		assert.Equal(t, 200, health(t, b), name)
		assert.Less(t, time.Since(begun), 3*time.Second, name)
		b.Stop(patience)
	}
}

// A call for which its peer's mailbox has no room comes back as dispatches that were not sent, and keeps nobody
// waiting, however long the peer is held up.
func TestNoRoom(t *testing.T) {
	held := make(chan struct{})
	defer close(held)
	b := &Broker{clock: NewClock(), log: zerolog.Nop()}
	b.fleet = node.NewFleet(node.Reach{}, b.clock.Now, func(core.Ended) { <-held }, zerolog.Nop())
	c := core.Call{Host: "s-z", Addr: "127.0.0.1:1", Parts: []core.CallPart{{Ref: 7}, {Ref: 8}}}
	var batch []core.Input
	for i := 0; len(batch) == 0 && i < 10000; i++ {
		batch = b.carryOut([]core.Output{c}, nil)
	}
	require.Len(t, batch, 2)
	last := batch[1].(core.Ended)
	assert.Equal(t, core.Ended{Ref: 8, How: core.NoRoom, At: last.At}, last)
}

// A broker takes over an address from one that is still on its way out.
func TestListenAgain(t *testing.T) {
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
	assert.ErrorIs(t, err, ErrAbandoned, "told to end while it waits")
}

// silentStores are stores that take connections and say nothing, and a start file that names them.
func silentStores(t *testing.T) (net.Listener, *config.Told) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { silent.Close() })
	told := startFile(t, nil)
	for i := range told.Known.Hosts {
		told.Known.Hosts[i].Dial = silent.Addr().String()
	}
	return silent, told
}

// board asks a broker for one shard and returns the status; 0: there was no answer.
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

// A scan that is still open when patience ends is answered all the same, though its node says nothing.
func TestLastWords(t *testing.T) {
	silent, told := silentStores(t)
	b, err := Start(told, nil, zerolog.Nop())
	require.NoError(t, err)
	status := make(chan int, 1)
	go func() { status <- board(b) }()
	conn, err := silent.Accept()
	require.NoError(t, err)
	defer conn.Close()
	b.Stop(0)
	assert.Equal(t, 504, <-status)
}

// A broker that is told to end before its agent has said anything answers who has come all the same.
func TestEndsBeforeItIsReady(t *testing.T) {
	_, told := silentStores(t)
	a := newAgent(t)
	told.Discovery = a.addr
	b, err := Start(told, nil, zerolog.Nop())
	require.NoError(t, err)
	<-a.asked
	status := make(chan int, 1)
	go func() { status <- board(b) }()
	b.Stop(patience)
	assert.Contains(t, []int{429, 503, 504}, <-status)
}

// atWord calls a function, once, when a line of the log says a word. The log is several goroutines'.
type atWord struct {
	word string
	do   func()
	once sync.Once
}

func (w *atWord) Write(line []byte) (int, error) {
	if strings.Contains(string(line), w.word) {
		w.once.Do(w.do)
	}
	return len(line), nil
}

// Who comes in after nobody was left, and before the listener closes, is answered too: its scan was read once, and nobody was there to decide on it.
func TestCameAtTheVeryEnd(t *testing.T) {
	silent, told := silentStores(t)
	status := make(chan int, 1)
	var b *Broker
	var err error
	word := &atWord{word: "front stopped", do: func() {
		go func() { status <- board(b) }()
		conn, err := silent.Accept() // its part is on its way
		if err == nil {
			t.Cleanup(func() { conn.Close() })
		}
	}}
	b, err = Start(told, nil, zerolog.New(word))
	require.NoError(t, err)
	b.Stop(10 * time.Second)
	assert.Equal(t, 504, <-status)
}

// Idle clients may fill the descriptors while discovery is down: the watch, the nodes' connections and a new client
// still get theirs.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	stores, told := silentStores(t)
	a := newAgent(t)
	told.Discovery, told.Sockets = a.addr, 64
	b, err := Start(told, nil, zerolog.Nop())
	require.NoError(t, err)
	<-a.asked // and says nothing
	for range 3 * told.Sockets {
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
	case <-a.asked:
	case <-time.After(patience):
		assert.Fail(t, "the list is not asked for any more")
	}
	assert.LessOrEqual(t, b.front.Conns()+b.fleet.Conns(), told.Sockets-spareFiles)
	b.Stop(0)
}

// A client that has left gets no further attempt, though its first one fails just then and could be sent again.
func TestNoRetryForWhoHasLeft(t *testing.T) {
	stores, told := silentStores(t)
	for i := range told.Known.Hosts { // both hold the shard
		told.Known.Hosts[i].Block = 0
	}
	b, err := Start(told, nil, zerolog.Nop())
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
	assert.Equal(t, "Aq1.0", string(head[4:]), "it is told that nobody waits")
	store.Write([]byte("\x00\x00\x00\x10Yq1.0 ERROR - -\n"))
	stores.(*net.TCPListener).SetDeadline(time.Now().Add(300 * time.Millisecond))
	_, err = stores.Accept()
	assert.Error(t, err, "no further attempt")
	b.Stop(0)
}
