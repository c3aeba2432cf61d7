package discovery

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/internal/core"
	"gullstair/logic"
)

const patience = 5 * time.Second

// agent is discovery as a test plays it: each reply goes out for one call.
type agent struct {
	t     *testing.T
	ln    net.Listener
	asked chan string
	reply chan string // "" closes the connection
	told  chan core.List
	w     *Watch
}

func watch(t *testing.T, seq int64, onAsk bool) *agent {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	a := &agent{t, ln, make(chan string, 100), make(chan string, 100), make(chan core.List, 100), nil}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			a.serve(conn)
		}
	}()
	a.w = Follow(ln.Addr().String(), Options{Since: seq, OnAsk: onAsk}, func(l core.List) { a.told <- l }, zerolog.Nop())
	t.Cleanup(func() {
		a.w.Stop()
		close(a.reply)
		ln.Close()
	})
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
		text, more := <-a.reply
		if !more || text == "" {
			return
		}
		fmt.Fprint(conn, strings.TrimPrefix(text, "!"))
		if text[0] == '!' { // and no more
			return
		}
	}
}

func body(text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

func next[T any](t *testing.T, ch chan T) (x T) {
	select {
	case x = <-ch:
	case <-time.After(patience):
		require.Fail(t, "nothing came")
	}
	return x
}

const line = `{"host":"s-1","dial":"127.0.0.1:8000","site":"a","class":"m2","block":3,"health":"%s","share":1.5,"born_ms":7}`

func TestWatch(t *testing.T) {
	since := func(seq int) string { return fmt.Sprintf("/v1/servers?since=%d&timeout_ms=3000", seq) }
	a := watch(t, 41, false)
	assert.Equal(t, "/v1/servers?since=41&timeout_ms=1", next(t, a.asked), "the first call is answered at once")
	a.reply <- body(`{"seq":43,"whole":false,"hosts":[` + fmt.Sprintf(line, "DRAINING") + `]}`)
	assert.Equal(t, core.List{Kind: logic.ListChanges, Nodes: []core.Node{{Host: "s-1", Addr: "127.0.0.1:8000", Zone: "a",
		Kind: "m2", Cell: 3, Readiness: logic.Draining, Units: 1.5, Born: 7}}}, next(t, a.told))
	assert.Equal(t, since(43), next(t, a.asked))
	a.reply <- "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{\"s\r\n" + "1f\r\neq\":44,\"whole\":true,\"hosts\":[]}\r\n0\r\n\r\n"
	assert.Equal(t, core.List{Kind: logic.ListWhole}, next(t, a.told), "an empty whole list is a list")
	assert.Equal(t, since(44), next(t, a.asked))
	a.reply <- body(`{"seq":44,"whole":false,"hosts":[]}`)
	assert.Equal(t, since(44), next(t, a.asked), "nothing new, nothing told")
	a.reply <- "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 34\r\n\r\n" + `{"seq":45,"whole":false,"hosts":[]}`[:34]
	assert.Equal(t, logic.ListFailed, next(t, a.told).Kind, "a body that is no JSON")
	assert.Equal(t, "/v1/servers", next(t, a.asked), "what it had to tell may be lost")
	a.reply <- body(`{"seq":44,"whole":true,"hosts":[]}`)
	assert.Equal(t, logic.ListWhole, next(t, a.told).Kind)
	assert.Equal(t, since(44), next(t, a.asked))
	a.reply <- body(`{"seq":40,"whole":false,"hosts":[` + fmt.Sprintf(line, "SERVING") + `]}`)
	assert.Equal(t, "/v1/servers", next(t, a.asked), "a version that goes backwards: the whole list is asked for")
	a.reply <- body(`{"seq":40,"whole":true,"hosts":[` + fmt.Sprintf(line, "SERVING") + `]}`)
	assert.Equal(t, logic.ListWhole, next(t, a.told).Kind, "what went backwards was not told")
	assert.Equal(t, since(40), next(t, a.asked))
	a.reply <- "" // closed while it waits: asked again at once, and for all, since what it had to tell may be lost
	assert.Equal(t, "/v1/servers", next(t, a.asked))
	assert.Empty(t, a.told, "nothing has failed yet")
	a.reply <- ""
	assert.Equal(t, logic.ListFailed, next(t, a.told).Kind)
	for name, reply := range map[string]string{
		"an error":             "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"a body cut short":     "!HTTP/1.1 200 OK\r\nContent-Length: 900\r\nConnection: close\r\n\r\n{",
		"no HTTP":              "hello\r\n\r\n",
		"a list of wrong type": body(`{"seq":"x"}`),
		"changes for a list":   body(`{"seq":99,"whole":false,"hosts":[]}`),
	} {
		assert.Equal(t, "/v1/servers", next(t, a.asked), name)
		a.reply <- reply
		assert.Equal(t, logic.ListFailed, next(t, a.told).Kind, name)
	}
	assert.Equal(t, "/v1/servers", next(t, a.asked))
	begun := time.Now() // the agent says nothing
	assert.Equal(t, logic.ListFailed, next(t, a.told).Kind)
	assert.Less(t, time.Since(begun), 2*time.Second, "a whole list is due at once")
}

// Where the list has to be asked for, the module's first word begins the watch and no later one adds a call.
func TestAsk(t *testing.T) {
	a := watch(t, 41, true)
	for range 50 {
		a.w.Ask()
	}
	next(t, a.asked)
	a.reply <- body(`{"seq":42,"whole":true,"hosts":[]}`)
	next(t, a.told)
	a.w.Ask()
	assert.Contains(t, next(t, a.asked), "since=42")
	a.reply <- body(`{"seq":43,"whole":true,"hosts":[]}`)
	next(t, a.told)
	assert.Contains(t, next(t, a.asked), "since=43")
	assert.Empty(t, a.asked)
}

// First is closed when what the agent holds has been told, or could not be had.
func TestFirst(t *testing.T) {
	for name, c := range map[string]struct {
		reply string
		told  int
	}{
		"nothing new": {body(`{"seq":41,"whole":false,"hosts":[]}`), 0},
		"a change":    {body(`{"seq":42,"whole":false,"hosts":[` + fmt.Sprintf(line, "DRAINING") + `]}`), 1},
		"whole":       {body(`{"seq":42,"whole":true,"hosts":[]}`), 1},
		"closed":      {"", 1},
	} {
		a := watch(t, 41, false)
		next(t, a.asked)
		select {
		case <-a.w.First():
			assert.Fail(t, "nothing has come", name)
		default:
		}
		a.reply <- c.reply
		select {
		case <-a.w.First():
		case <-time.After(patience):
			assert.Fail(t, "not closed", name)
		}
		assert.Len(t, a.told, c.told, name)
	}
	silent := watch(t, 41, false)
	next(t, silent.asked)
	begun := time.Now()
	<-silent.w.First()
	assert.Less(t, time.Since(begun), 2*time.Second, "an agent that says nothing")
}

// Where the list has to be asked for discovery answers late, and refuses calls when it has too many. A late answer is
// waited for: each call that is given up costs discovery as much, and if all brokers do so none of them gets a list. A
// refused call had nothing to tell, so the same one is made again.
func TestLateAndRefused(t *testing.T) {
	a := watch(t, 41, true)
	a.w.Ask()
	opening := "/v1/servers?since=41&timeout_ms=1000"
	assert.Equal(t, opening, next(t, a.asked))
	a.reply <- "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	assert.Equal(t, logic.ListFailed, next(t, a.told).Kind)
	assert.Equal(t, opening, next(t, a.asked))
	a.reply <- "!HTTP/1.1 200 OK\r\nContent-Length: 900\r\nConnection: close\r\n\r\n{"
	assert.Equal(t, logic.ListFailed, next(t, a.told).Kind)
	assert.Equal(t, "/v1/servers", next(t, a.asked), "a broken answer may have had something to tell")
	select {
	case l := <-a.told:
		assert.Fail(t, "given up", "%+v", l)
	case <-time.After(3 * grace): // the answer is late
	}
	a.reply <- body(`{"seq":44,"whole":true,"hosts":[]}`)
	assert.Equal(t, logic.ListWhole, next(t, a.told).Kind)
	assert.Equal(t, "/v1/servers?since=44&timeout_ms=1000", next(t, a.asked), "a watch may be late to begin")
	a.reply <- body(`{"seq":44,"whole":false,"hosts":[]}`)
	assert.Equal(t, "/v1/servers?since=44&timeout_ms=3000", next(t, a.asked), "it goes on")
}

// What an agent gets when discovery comes back counts as told at once, and a call that was open before is not answered
// then. Calls that fail follow each other so closely that the list is known within the half second that is left.
func TestReturnOfDiscovery(t *testing.T) {
	a := watch(t, 41, false)
	next(t, a.asked)
	for range 6 { // the agent is silent, and closes each call when it has been given up
		assert.Equal(t, logic.ListFailed, next(t, a.told).Kind)
		a.reply <- ""
		next(t, a.asked)
	}
	back := time.Now() // just now: the open call is not answered
	assert.Equal(t, logic.ListFailed, next(t, a.told).Kind)
	a.reply <- ""
	next(t, a.asked)
	a.reply <- body(`{"seq":42,"whole":true,"hosts":[]}`)
	assert.Equal(t, logic.ListWhole, next(t, a.told).Kind)
	assert.Less(t, time.Since(back), 500*time.Millisecond)
}

// A watch that moves asks the new agent for the whole list at once, and what the old one still sends is not told.
func TestMove(t *testing.T) {
	from, to := watch(t, 41, false), watch(t, 0, true)
	next(t, from.asked)
	from.w.Move(from.ln.Addr().String()) // where it is already: the watch goes on
	from.w.Move(to.ln.Addr().String())
	assert.Equal(t, "/v1/servers", next(t, to.asked))
	from.reply <- body(`{"seq":99,"whole":true,"hosts":[]}`)
	to.reply <- body(`{"seq":7,"whole":true,"hosts":[` + fmt.Sprintf(line, "SERVING") + `]}`)
	assert.Len(t, next(t, from.told).Nodes, 1, "the new agent's list")
	assert.Contains(t, next(t, to.asked), "since=7&", "its versions count, though the old one's were higher")
	assert.Empty(t, from.told)
	to.ln.Close()
	to.reply <- ""
	assert.Equal(t, logic.ListFailed, next(t, from.told).Kind)
	from.w.Move(from.ln.Addr().String())
	assert.Equal(t, "/v1/servers", next(t, from.asked), "from an agent that is gone to one that is there")
}

func TestOddLines(t *testing.T) {
	odd := 0
	l := Listing{Hosts: []wireEntry{{Host: "a", Dial: "127.0.0.1:1", Health: "ILL"}, {Dial: "127.0.0.1:1", Health: "SERVING"},
		{Host: "b", Dial: "nowhere", Health: "SERVING"}, {Host: "c", Health: "DELETED"}, {Host: "d", Dial: "127.0.0.1:1", Health: "SERVING", Share: -1}}}
	nodes := l.Nodes(func(_, _ string) { odd++ })
	assert.Equal(t, []core.Node{{Host: "a", Addr: "127.0.0.1:1", Readiness: logic.Draining}, {Host: "b", Readiness: logic.Ready},
		{Host: "c", Readiness: logic.Gone}, {Host: "d", Addr: "127.0.0.1:1", Readiness: logic.Ready}}, nodes)
	assert.Equal(t, 3, odd)
}

// A watch that falls silent as it begins is broken and opened anew: what it missed is known within six seconds.
func TestSilentWatch(t *testing.T) {
	a := watch(t, 41, false)
	next(t, a.asked)
	a.reply <- body(`{"seq":41,"whole":false,"hosts":[]}`)
	assert.Contains(t, next(t, a.asked), "since=41")
	begun := time.Now() // from now on this connection says nothing
	assert.Equal(t, logic.ListFailed, next(t, a.told).Kind)
	a.reply <- "" // the agent's side of it
	assert.Equal(t, "/v1/servers", next(t, a.asked))
	a.reply <- body(`{"seq":42,"whole":true,"hosts":[` + fmt.Sprintf(line, "DRAINING") + `]}`)
	assert.Equal(t, logic.Draining, next(t, a.told).Nodes[0].Readiness)
	assert.Less(t, time.Since(begun), 6*time.Second)
}
