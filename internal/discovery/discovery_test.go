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

const testTimeout = 5 * time.Second

// agent is a fake discovery agent. It answers each call with the next reply.
type agent struct {
	t        *testing.T
	ln       net.Listener
	requests chan string
	replies  chan string // "" closes the connection
	updates  chan core.List
	w        *Watch
}

func watch(t *testing.T, seq int64, onDemand bool) *agent {
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
	a.w = Follow(ln.Addr().String(), Options{Since: seq, OnDemand: onDemand}, func(l core.List) { a.updates <- l }, zerolog.Nop())
	t.Cleanup(func() {
		a.w.Stop()
		close(a.replies)
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
		a.requests <- req.URL.String()
		text, more := <-a.replies
		if !more || text == "" {
			return
		}
		fmt.Fprint(conn, strings.TrimPrefix(text, "!"))
		if text[0] == '!' { // close the connection after it
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
	case <-time.After(testTimeout):
		require.Fail(t, "timeout waiting for a value")
	}
	return x
}

const line = `{"host":"s-1","dial":"127.0.0.1:8000","site":"a","class":"m2","block":3,"health":"%s","share":1.5,"born_ms":7}`

func TestWatch(t *testing.T) {
	since := func(seq int) string { return fmt.Sprintf("/v1/servers?since=%d&timeout_ms=3000", seq) }
	a := watch(t, 41, false)
	assert.Equal(t, "/v1/servers?since=41&timeout_ms=1", next(t, a.requests), "the first call is answered at once")
	a.replies <- body(`{"seq":43,"whole":false,"hosts":[` + fmt.Sprintf(line, "DRAINING") + `]}`)
	assert.Equal(t, core.List{Kind: logic.ListDelta, Nodes: []core.Node{{Host: "s-1", Addr: "127.0.0.1:8000", Zone: "a",
		Kind: "m2", Cell: 3, Readiness: logic.Draining, Units: 1.5, Born: 7}}}, next(t, a.updates))
	assert.Equal(t, since(43), next(t, a.requests))
	a.replies <- "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{\"s\r\n" + "1f\r\neq\":44,\"whole\":true,\"hosts\":[]}\r\n0\r\n\r\n"
	assert.Equal(t, core.List{Kind: logic.ListFull}, next(t, a.updates), "an empty whole list is a list")
	assert.Equal(t, since(44), next(t, a.requests))
	a.replies <- body(`{"seq":44,"whole":false,"hosts":[]}`)
	assert.Equal(t, since(44), next(t, a.requests), "an empty change is not delivered")
	a.replies <- "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 34\r\n\r\n" + `{"seq":45,"whole":false,"hosts":[]}`[:34]
	assert.Equal(t, logic.ListFailed, next(t, a.updates).Kind, "the body is not JSON")
	assert.Equal(t, "/v1/servers", next(t, a.requests), "a change may be lost, so the whole list is requested")
	a.replies <- body(`{"seq":44,"whole":true,"hosts":[]}`)
	assert.Equal(t, logic.ListFull, next(t, a.updates).Kind)
	assert.Equal(t, since(44), next(t, a.requests))
	a.replies <- body(`{"seq":40,"whole":false,"hosts":[` + fmt.Sprintf(line, "SERVING") + `]}`)
	assert.Equal(t, "/v1/servers", next(t, a.requests), "a version that goes backwards: the whole list is requested")
	a.replies <- body(`{"seq":40,"whole":true,"hosts":[` + fmt.Sprintf(line, "SERVING") + `]}`)
	assert.Equal(t, logic.ListFull, next(t, a.updates).Kind, "the list with the lower version is not delivered")
	assert.Equal(t, since(40), next(t, a.requests))
	a.replies <- "" // closed during a watch: the whole list is requested at once, since a change may be lost
	assert.Equal(t, "/v1/servers", next(t, a.requests))
	assert.Empty(t, a.updates, "no failure is reported yet")
	a.replies <- ""
	assert.Equal(t, logic.ListFailed, next(t, a.updates).Kind)
	for name, reply := range map[string]string{
		"an error":              "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"a truncated body":      "!HTTP/1.1 200 OK\r\nContent-Length: 900\r\nConnection: close\r\n\r\n{",
		"not HTTP":              "hello\r\n\r\n",
		"a field of wrong type": body(`{"seq":"x"}`),
		"changes, not a list":   body(`{"seq":99,"whole":false,"hosts":[]}`),
	} {
		assert.Equal(t, "/v1/servers", next(t, a.requests), name)
		a.replies <- reply
		assert.Equal(t, logic.ListFailed, next(t, a.updates).Kind, name)
	}
	assert.Equal(t, "/v1/servers", next(t, a.requests))
	start := time.Now() // the agent does not answer
	assert.Equal(t, logic.ListFailed, next(t, a.updates).Kind)
	assert.Less(t, time.Since(start), 2*time.Second, "a request for the whole list has a short timeout")
}

// In pull mode the first Start starts the watch, and no later one adds a call.
func TestAsk(t *testing.T) {
	a := watch(t, 41, true)
	for range 50 {
		a.w.Start()
	}
	next(t, a.requests)
	a.replies <- body(`{"seq":42,"whole":true,"hosts":[]}`)
	next(t, a.updates)
	a.w.Start()
	assert.Contains(t, next(t, a.requests), "since=42")
	a.replies <- body(`{"seq":43,"whole":true,"hosts":[]}`)
	next(t, a.updates)
	assert.Contains(t, next(t, a.requests), "since=43")
	assert.Empty(t, a.requests)
}

// First is closed when the agent's current list has been delivered or the call has failed.
func TestFirst(t *testing.T) {
	for name, c := range map[string]struct {
		reply   string
		updates int
	}{
		"nothing new": {body(`{"seq":41,"whole":false,"hosts":[]}`), 0},
		"a change":    {body(`{"seq":42,"whole":false,"hosts":[` + fmt.Sprintf(line, "DRAINING") + `]}`), 1},
		"whole":       {body(`{"seq":42,"whole":true,"hosts":[]}`), 1},
		"closed":      {"", 1},
	} {
		a := watch(t, 41, false)
		next(t, a.requests)
		select {
		case <-a.w.First():
			assert.Fail(t, "closed before the first answer", name)
		default:
		}
		a.replies <- c.reply
		select {
		case <-a.w.First():
		case <-time.After(testTimeout):
			assert.Fail(t, "not closed", name)
		}
		assert.Len(t, a.updates, c.updates, name)
	}
	silent := watch(t, 41, false)
	next(t, silent.requests)
	start := time.Now()
	<-silent.w.First()
	assert.Less(t, time.Since(start), 2*time.Second, "an agent that does not answer")
}

// In pull mode discovery may answer late, and refuses calls under load. The watch must not give up on a late answer: an
// abandoned call costs discovery as much as an answered one, and if all brokers abandon theirs, none gets a list. A
// refused call carried no data, so the same call is repeated.
func TestLateAndRefused(t *testing.T) {
	a := watch(t, 41, true)
	a.w.Start()
	firstCall := "/v1/servers?since=41&timeout_ms=1000"
	assert.Equal(t, firstCall, next(t, a.requests))
	a.replies <- "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	assert.Equal(t, logic.ListFailed, next(t, a.updates).Kind)
	assert.Equal(t, firstCall, next(t, a.requests))
	a.replies <- "!HTTP/1.1 200 OK\r\nContent-Length: 900\r\nConnection: close\r\n\r\n{"
	assert.Equal(t, logic.ListFailed, next(t, a.updates).Kind)
	assert.Equal(t, "/v1/servers", next(t, a.requests), "a truncated answer may have carried a change")
	select {
	case l := <-a.updates:
		assert.Fail(t, "the call was abandoned", "%+v", l)
	case <-time.After(3 * answerGrace): // the answer is late
	}
	a.replies <- body(`{"seq":44,"whole":true,"hosts":[]}`)
	assert.Equal(t, logic.ListFull, next(t, a.updates).Kind)
	assert.Equal(t, "/v1/servers?since=44&timeout_ms=1000", next(t, a.requests), "discovery may start a watch late")
	a.replies <- body(`{"seq":44,"whole":false,"hosts":[]}`)
	assert.Equal(t, "/v1/servers?since=44&timeout_ms=3000", next(t, a.requests), "the watch continues")
}

// A list that the agent gets when discovery comes back must be known within half a second, and the agent does not
// answer a call that was open before. Failed calls are retried quickly enough to meet that.
func TestReturnOfDiscovery(t *testing.T) {
	a := watch(t, 41, false)
	next(t, a.requests)
	for range 6 { // the agent does not answer, and closes each call once it is abandoned
		assert.Equal(t, logic.ListFailed, next(t, a.updates).Kind)
		a.replies <- ""
		next(t, a.requests)
	}
	back := time.Now() // the call that is open now is not answered
	assert.Equal(t, logic.ListFailed, next(t, a.updates).Kind)
	a.replies <- ""
	next(t, a.requests)
	a.replies <- body(`{"seq":42,"whole":true,"hosts":[]}`)
	assert.Equal(t, logic.ListFull, next(t, a.updates).Kind)
	assert.Less(t, time.Since(back), 500*time.Millisecond)
}

// After Move the watch requests the whole list from the new agent at once and ignores the old agent's answers.
func TestMove(t *testing.T) {
	from, to := watch(t, 41, false), watch(t, 0, true)
	next(t, from.requests)
	from.w.Move(from.ln.Addr().String()) // the current address: no effect
	from.w.Move(to.ln.Addr().String())
	assert.Equal(t, "/v1/servers", next(t, to.requests))
	from.replies <- body(`{"seq":99,"whole":true,"hosts":[]}`)
	to.replies <- body(`{"seq":7,"whole":true,"hosts":[` + fmt.Sprintf(line, "SERVING") + `]}`)
	assert.Len(t, next(t, from.updates).Nodes, 1, "the new agent's list")
	assert.Contains(t, next(t, to.requests), "since=7&", "the new agent's versions apply, though the old ones were higher")
	assert.Empty(t, from.updates)
	to.ln.Close()
	to.replies <- ""
	assert.Equal(t, logic.ListFailed, next(t, from.updates).Kind)
	from.w.Move(from.ln.Addr().String())
	assert.Equal(t, "/v1/servers", next(t, from.requests), "moving from an unreachable agent to a reachable one")
}

func TestOddLines(t *testing.T) {
	reported := 0
	l := Listing{Hosts: []wireEntry{{Host: "a", Dial: "127.0.0.1:1", Health: "ILL"}, {Dial: "127.0.0.1:1", Health: "SERVING"},
		{Host: "b", Dial: "nowhere", Health: "SERVING"}, {Host: "c", Health: "DELETED"}, {Host: "d", Dial: "127.0.0.1:1", Health: "SERVING", Share: -1}}}
	nodes := l.Nodes(func(_, _ string) { reported++ })
	assert.Equal(t, []core.Node{{Host: "a", Addr: "127.0.0.1:1", Readiness: logic.Draining}, {Host: "b", Readiness: logic.Ready},
		{Host: "c", Readiness: logic.Gone}, {Host: "d", Addr: "127.0.0.1:1", Readiness: logic.Ready}}, nodes)
	assert.Equal(t, 3, reported)
}

// A watch that goes silent at its start times out and is opened again: a change that it missed is known within six
// seconds.
func TestSilentWatch(t *testing.T) {
	a := watch(t, 41, false)
	next(t, a.requests)
	a.replies <- body(`{"seq":41,"whole":false,"hosts":[]}`)
	assert.Contains(t, next(t, a.requests), "since=41")
	start := time.Now() // from now on the agent sends nothing on this connection
	assert.Equal(t, logic.ListFailed, next(t, a.updates).Kind)
	a.replies <- "" // the agent closes its side
	assert.Equal(t, "/v1/servers", next(t, a.requests))
	a.replies <- body(`{"seq":42,"whole":true,"hosts":[` + fmt.Sprintf(line, "DRAINING") + `]}`)
	assert.Equal(t, logic.Draining, next(t, a.updates).Nodes[0].Readiness)
	assert.Less(t, time.Since(start), 6*time.Second)
}

// TestEndlessHead: an agent whose answer is one header line without end is given up at the limit, not at the deadline.
func TestEndlessHead(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	sent := make(chan int, 100)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			n, piece := 0, []byte(strings.Repeat("x", 64<<10))
			for _, err = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX-Line: "); err == nil; n += len(piece) {
				_, err = conn.Write(piece)
			}
			conn.Close()
			sent <- n
		}
	}()
	w := Follow(ln.Addr().String(), Options{}, func(core.List) {}, zerolog.Nop())
	defer w.Stop()
	const queues = 16 << 20 // bytes that the kernel may hold for a connection
	require.Less(t, next(t, sent), maxAnswerBytes+maxHeadBytes+queues)
}
