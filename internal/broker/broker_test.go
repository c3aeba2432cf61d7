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

// A broker that knows of no node is not ready before the list names one: the front would send it scans that
// it can only throttle.
func TestReadyWithList(t *testing.T) {
	agent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer agent.Close()
	asked, say := make(chan struct{}), make(chan struct{})
	go func() {
		conn, err := agent.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		in := bufio.NewReader(conn)
		for range 2 {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			asked <- struct{}{}
			<-say
			body := `{"seq":42,"whole":true,"hosts":[{"host":"s-a","dial":"127.0.0.1:2","site":"west","class":"std","block":0,"health":"SERVING","share":1,"born_ms":0}]}`
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
	}()
	text, err := os.ReadFile("../config/testdata/start.json")
	require.NoError(t, err)
	told, err := config.Parse(text, func(key string) string {
		return map[string]string{"GW_DISCOVERY": agent.Addr().String()}[key]
	})
	require.NoError(t, err)
	told.Known.Hosts = nil
	b, err := Start(told, nil, zerolog.Nop())
	require.NoError(t, err)
	health := func() int {
		res, err := http.Get("http://" + b.Addr() + "/healthz")
		require.NoError(t, err)
		res.Body.Close()
		return res.StatusCode
	}
	<-asked
	assert.Equal(t, 503, health())
	say <- struct{}{}
	<-asked
	assert.Eventually(t, func() bool { return health() == 200 }, patience, time.Millisecond)
	http.DefaultClient.CloseIdleConnections()
	b.Stop(patience)
	close(say)
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
	_, err = listen(old.Addr().String(), 0)
	assert.ErrorIs(t, err, syscall.EADDRINUSE)
	time.AfterFunc(20*time.Millisecond, func() { old.Close() })
	ln, err := listen(old.Addr().String(), patience)
	require.NoError(t, err)
	ln.Close()
}

// silentStores are stores that take connections and say nothing, and a start file that names them.
func silentStores(t *testing.T) (net.Listener, *config.Told) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { silent.Close() })
	text, err := os.ReadFile("../config/testdata/start.json")
	require.NoError(t, err)
	told, err := config.Parse(text, func(string) string { return "" })
	require.NoError(t, err)
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
