package keepalive

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/internal/memnet"
)

const (
	serverIP = "10.0.0.1"
	address  = serverIP + ":80"
	headTime = 2 * time.Second
)

// served is a server on an in-memory network and a client's connection to it.
type served struct {
	network  *memnet.Net
	listener *Listener
	client   net.Conn
	reader   *bufio.Reader
	handled  int
}

func serve(t *testing.T, test func(s *served)) {
	synctest.Test(t, func(t *testing.T) {
		s := &served{network: memnet.New(time.Millisecond)}
		inner, err := s.network.Host(serverIP).Listen(address)
		require.NoError(t, err)
		s.listener = NewListener(inner, nil)
		server := &http.Server{ConnState: s.listener.ConnState, ReadHeaderTimeout: headTime, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.handled++
			_, _ = io.Copy(w, r.Body)
		})}
		go func() { _ = server.Serve(s.listener) }()
		s.client, err = s.network.Host("10.0.0.2").Dial(t.Context(), address, time.Second)
		require.NoError(t, err)
		s.reader = bufio.NewReader(s.client)
		test(s)
		s.client.Close()
		s.listener.Close()
		server.Close()
		time.Sleep(time.Minute)
		assert.Zero(t, s.listener.Open())
	})
}

func (s *served) send() {
	_, _ = fmt.Fprint(s.client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
}

// answered reports whether a complete response arrives before the connection ends.
func (s *served) answered() bool {
	response, err := http.ReadResponse(s.reader, nil)
	if err != nil {
		return false
	}
	text, err := io.ReadAll(response.Body)
	return err == nil && string(text) == "body"
}

func TestClosesIdleConnections(t *testing.T) {
	serve(t, func(s *served) {
		s.send()
		require.True(t, s.answered())
		time.Sleep(time.Second)
		assert.Zero(t, s.listener.CloseIdle(2*time.Second))
		time.Sleep(time.Second)
		assert.Equal(t, 1, s.listener.CloseIdle(2*time.Second))
		assert.Zero(t, s.listener.CloseIdle(0), "a connection is closed only once")
		assert.False(t, s.answered())
	})
}

func TestNewConnectionIsIdle(t *testing.T) {
	serve(t, func(s *served) {
		time.Sleep(3 * headTime) // longer than the timeout of a head, which does not apply yet
		assert.Equal(t, 1, s.listener.Open())
		assert.Equal(t, 1, s.listener.CloseIdle(time.Second))
	})
}

func TestHeadTimeout(t *testing.T) {
	serve(t, func(s *served) {
		time.Sleep(2 * headTime)
		_, _ = fmt.Fprint(s.client, "POST / HT")
		time.Sleep(headTime + 100*time.Millisecond)
		assert.Zero(t, s.listener.Open(), "the timeout of an incomplete head closes the connection")
		assert.Zero(t, s.handled)
	})
}

// TestArrivedRequestIsAnswered checks that a connection is not closed, and the request is answered, if a request is in the
// socket but has not been read.
func TestArrivedRequestIsAnswered(t *testing.T) {
	serve(t, func(s *served) {
		s.send()
		require.True(t, s.answered())
		s.network.SetProcessingDelay(serverIP, memnet.ProcessingDelay{BeforeRead: 10 * time.Millisecond})
		time.Sleep(time.Second)
		s.send()
		time.Sleep(5 * time.Millisecond)
		assert.Zero(t, s.listener.CloseIdle(0))
		assert.True(t, s.answered())
	})
}

// TestRequestDuringCloseDoesNotRun checks that a request does not run if the connection is closed after the request has been
// read from the socket and before it is passed to the server.
func TestRequestDuringCloseDoesNotRun(t *testing.T) {
	serve(t, func(s *served) {
		s.send()
		require.True(t, s.answered())
		s.network.SetProcessingDelay(serverIP, memnet.ProcessingDelay{BeforeProcessing: 10 * time.Millisecond})
		time.Sleep(time.Second)
		s.send()
		time.Sleep(5 * time.Millisecond)
		assert.Equal(t, 1, s.listener.CloseIdle(0))
		assert.False(t, s.answered())
		time.Sleep(time.Second)
		assert.Equal(t, 1, s.handled)
	})
}

func TestPartialRequestIsNotIdle(t *testing.T) {
	serve(t, func(s *served) {
		_, _ = fmt.Fprint(s.client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
		time.Sleep(time.Second)
		assert.Zero(t, s.listener.CloseIdle(0))
		_, _ = fmt.Fprint(s.client, "dy")
		assert.True(t, s.answered())
	})
}

// TestOnLoopback uses real sockets: the check for bytes that have arrived works while a read is blocked.
func TestOnLoopback(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	listener := NewListener(inner, nil)
	server := &http.Server{ConnState: listener.ConnState, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	client, err := net.Dial("tcp4", inner.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	assert.Eventually(t, func() bool { return listener.CloseIdle(0) == 1 }, 5*time.Second, time.Millisecond)
	_, err = client.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.Eventually(t, func() bool { return listener.Open() == 0 }, 5*time.Second, time.Millisecond)
}
