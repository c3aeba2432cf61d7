package keepalive

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/internal/clientbudget"
	"gullstair/internal/clientlimit"
	"gullstair/internal/headscan"
	"gullstair/internal/memnet"
)

const (
	boundedMemory = 8 << 20 // clients may hold 2 MiB of it
	bodyTime      = 10 * time.Second
)

// bounded is a server whose clients may hold little.
type bounded struct {
	t        *testing.T
	network  *memnet.Net
	limiter  *clientlimit.Limiter
	listener *Listener
}

func serveBounded(t *testing.T, handler http.HandlerFunc, test func(b *bounded)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bounded{t: t, network: memnet.New(time.Millisecond), limiter: clientlimit.New(boundedMemory, 100)}
		inner, err := b.network.Host(serverIP).Listen(address)
		require.NoError(t, err)
		b.listener = NewListener(inner, b.limiter)
		b.listener.SetHeadBytes(16 << 10)
		requests := Requests{Holds: clientbudget.Amount{Bytes: clientbudget.RequestBytes}, BodyCopies: 1, BodyTimeout: bodyTime, AnswerTimeout: bodyTime}
		server := &http.Server{ConnState: b.listener.ConnState, ConnContext: b.listener.ConnContext, ReadHeaderTimeout: headTime, MaxHeaderBytes: 1 << 30,
			Handler: b.listener.Handler(handler, requests)}
		go func() { _ = server.Serve(b.listener) }()
		test(b)
		b.listener.Close()
		server.Close()
		time.Sleep(time.Minute)
		assert.Zero(t, b.listener.Open())
		assert.Zero(t, b.limiter.Used(), "nothing is held without connections")
	})
}

func (b *bounded) dial() net.Conn {
	conn, err := b.network.Host("10.0.0.2").Dial(b.t.Context(), address, time.Second)
	require.NoError(b.t, err)
	return conn
}

// echoLength answers with the length of the body, or that there was no room for it.
func echoLength(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		refuseRequest(w, r)
		return
	}
	fmt.Fprint(w, n)
}

func post(size, sent int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", sent))
}

// ask sends a text and returns the answer; a broken one has status 0.
func ask(conn net.Conn, text string) (status int, header http.Header) {
	go func() { _, _ = io.WriteString(conn, text) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil
	}
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, response.Header
}

func TestHeadOverItsLimit(t *testing.T) {
	serveBounded(t, echoLength, func(b *bounded) {
		conn := b.dial()
		defer conn.Close()
		status, _ := ask(conn, "GET / HTTP/1.1\r\nHost: h\r\nX-Large: "+strings.Repeat("x", 21<<10)+"\r\n\r\n")
		assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status)
		within := b.dial()
		defer within.Close()
		status, _ = ask(within, "GET / HTTP/1.1\r\nHost: h\r\nX-Large: "+strings.Repeat("x", 16<<10)+"\r\n\r\n")
		assert.Equal(t, http.StatusOK, status)
	})
}

func TestHeaderLinesCount(t *testing.T) {
	serveBounded(t, echoLength, func(b *bounded) {
		conn := b.dial()
		defer conn.Close()
		status, header := ask(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 3500))
		assert.Equal(t, http.StatusServiceUnavailable, status, "3,500 lines hold %d KB of 1,536", 3500*clientbudget.HeaderLineBytes>>10)
		assert.Equal(t, "0.300", header.Get("Retry-After"))
	})
}

func TestBodyWithoutRoom(t *testing.T) {
	serveBounded(t, echoLength, func(b *bounded) {
		conn := b.dial()
		defer conn.Close()
		status, header := ask(conn, post(3<<20, 3<<20))
		assert.Equal(t, http.StatusServiceUnavailable, status)
		assert.Equal(t, []string{"0.300", "r"}, []string{header.Get("Retry-After"), header.Get("X-Request-Id")})
		next := b.dial()
		defer next.Close()
		status, _ = ask(next, post(1<<20, 1<<20))
		assert.Equal(t, http.StatusOK, status)
	})
}

// TestStalledBodiesGiveWay fills the room with bodies that stop short of their end: a request that comes later is served,
// and the body that holds most and has not moved for longest is answered that it has not run.
func TestStalledBodiesGiveWay(t *testing.T) {
	serveBounded(t, echoLength, func(b *bounded) {
		var stalled []net.Conn
		for _, size := range []int{400 << 10, 500 << 10, 400 << 10} {
			conn := b.dial()
			defer conn.Close()
			_, err := io.WriteString(conn, post(1<<20, size))
			require.NoError(t, err)
			stalled = append(stalled, conn)
		}
		time.Sleep(time.Second)
		conn := b.dial()
		defer conn.Close()
		status, _ := ask(conn, post(600<<10, 600<<10))
		assert.Equal(t, http.StatusOK, status)
		status, header := ask(stalled[1], "")
		assert.Equal(t, http.StatusServiceUnavailable, status)
		assert.NotEmpty(t, header.Get("Retry-After"))
	})
}

// TestBodyThatNeverEnds checks that a body ends within its time, also one that the handler does not read.
func TestBodyThatNeverEnds(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{"read": echoLength, "not read": func(http.ResponseWriter, *http.Request) {}} {
		t.Run(name, func(t *testing.T) {
			serveBounded(t, handler, func(b *bounded) {
				conn := b.dial()
				defer conn.Close()
				_, err := io.WriteString(conn, post(1000, 999))
				require.NoError(t, err)
				time.Sleep(bodyTime + 2*discardTimeout)
				assert.Zero(t, b.listener.Open())
			})
		})
	}
}

// TestIdleConnectionsGiveWay opens more connections than there are descriptors: the ones that have been idle for longest
// are closed.
func TestIdleConnectionsGiveWay(t *testing.T) {
	serveBounded(t, echoLength, func(b *bounded) {
		limit := clientbudget.LimitFor(boundedMemory, 100).Descriptors // a front may take seven eighths of them
		for range 3 * limit {
			conn := b.dial()
			defer conn.Close()
			time.Sleep(10 * time.Millisecond)
			assert.LessOrEqual(t, b.listener.Open(), limit)
		}
		conn := b.dial()
		defer conn.Close()
		status, _ := ask(conn, post(4, 4))
		assert.Equal(t, http.StatusOK, status)
	})
}

// TestAnswerBeforeTheBody checks that a connection that gives way while the rest of a body is awaited, after the answer, gets
// no second answer.
func TestAnswerBeforeTheBody(t *testing.T) {
	early := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close") // net/http then answers before it has read the body
		w.WriteHeader(http.StatusNotFound)
	}
	serveBounded(t, early, func(b *bounded) {
		conn := b.dial()
		defer conn.Close()
		_, err := io.WriteString(conn, post(1000, 999))
		require.NoError(t, err)
		time.Sleep(100 * time.Millisecond)
		for range 100 { // take all descriptors
			other := b.dial()
			defer other.Close()
			time.Sleep(10 * time.Millisecond)
		}
		text, _ := io.ReadAll(conn)
		assert.Equal(t, 1, strings.Count(string(text), "HTTP/1.1"), "%s", text)
	})
}

// TestRequestsInARow sends a request before the answer to the one before has come: both are answered, and the connection is
// not idle meanwhile.
func TestRequestsInARow(t *testing.T) {
	var handled atomic.Int32
	slow := func(w http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		n, _ := io.Copy(io.Discard, r.Body) // whole: the server then waits for further bytes
		time.Sleep(time.Second)
		fmt.Fprint(w, n)
	}
	serveBounded(t, slow, func(b *bounded) {
		conn := b.dial()
		defer conn.Close()
		_, err := io.WriteString(conn, post(4, 4)+post(5, 5))
		require.NoError(t, err)
		time.Sleep(1500 * time.Millisecond)
		assert.EqualValues(t, 2, handled.Load())
		assert.Zero(t, b.listener.CloseIdle(0), "the second request is being handled")
		reader := bufio.NewReader(conn)
		for _, want := range []string{"4", "5"} {
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			text, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			assert.Equal(t, want, string(text))
		}
		conn.Close()
	})
}

func TestHeadScanner(t *testing.T) {
	const head = "\r\n\nGET / HTTP/1.1\r\nHost: h\r\nA: b\n\r\n"
	for piece := 1; piece < len(head)+4; piece++ {
		h := &headscan.Scanner{}
		lines := 0
		for rest := []byte(head + "body"); len(rest) > 0; {
			n := min(piece, len(rest))
			_, more := h.Scan(rest[:n])
			lines += more
			rest = rest[n:]
		}
		assert.Equal(t, []any{int64(len(head)), 6, true}, []any{h.Bytes, lines, h.Done}, "in pieces of %d", piece)
	}
}

// TestBytesBehindARequestCount checks that the receive queue is counted while bytes lie in it behind a request that runs, and
// no longer.
func TestBytesBehindARequestCount(t *testing.T) {
	const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	slow := func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) }
	queue := clientbudget.QueueBytes(clientbudget.ReceiveBuffer(boundedMemory))
	serveBounded(t, slow, func(b *bounded) {
		conn := b.dial()
		defer conn.Close()
		for range 2 {
			_, err := io.WriteString(conn, get)
			require.NoError(t, err)
			time.Sleep(100 * time.Millisecond)
		}
		assert.GreaterOrEqual(t, b.limiter.Used().Bytes, clientbudget.ConnectionBytes+clientbudget.RequestBytes+queue)
		time.Sleep(3 * time.Second)
		assert.EqualValues(t, clientbudget.ConnectionBytes, b.limiter.Used().Bytes)
	})
}

// TestClientsThatSendMoreGiveRoom fills the part for clients that hold much: a request with bytes behind it is refused, one
// without is served.
func TestClientsThatSendMoreGiveRoom(t *testing.T) {
	const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	slow := func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		if n > 0 {
			time.Sleep(time.Minute)
		}
	}
	serveBounded(t, slow, func(b *bounded) {
		const size = 1250 << 10 // of 1,344 KB, 3/4 of 7/8 of 2 MiB
		working := b.dial()
		defer working.Close()
		_, err := io.WriteString(working, post(size, size))
		require.NoError(t, err)
		time.Sleep(10 * time.Second)
		greedy := b.dial()
		defer greedy.Close()
		status, _ := ask(greedy, get+get)
		assert.Equal(t, http.StatusServiceUnavailable, status)
		ordinary := b.dial()
		defer ordinary.Close()
		status, _ = ask(ordinary, get)
		assert.Equal(t, http.StatusOK, status)
	})
}

// TestAnswerThatIsNotRead uses real sockets, whose writes block: a write to a client that does not read ends in time.
func TestAnswerThatIsNotRead(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	listener := NewListener(inner, clientlimit.New(64<<20, 100))
	ended := make(chan error, 1)
	endless := func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := w.Write(make([]byte, 1<<20)); err != nil {
				ended <- err
				return
			}
		}
	}
	server := &http.Server{ConnState: listener.ConnState, ConnContext: listener.ConnContext,
		Handler: listener.Handler(http.HandlerFunc(endless), Requests{BodyTimeout: time.Second, AnswerTimeout: 100 * time.Millisecond})}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	client, err := net.Dial("tcp4", inner.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	_, err = io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	select {
	case err := <-ended:
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	case <-time.After(30 * time.Second):
		t.Error("the write has not ended")
	}
}
