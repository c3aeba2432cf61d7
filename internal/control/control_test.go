package control

import (
	"errors"
	"io"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestSocket(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.sock")
	running := true
	s, err := Listen(path, Handlers{Pages: map[string]func() (any, bool){"page": func() (any, bool) { return map[string]int{"n": 7}, running }}})
	require.NoError(t, err)
	info, err := os.Stat(path)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o600), info.Mode().Perm(), "only the current user has access")
	var v map[string]int
	require.NoError(t, Get(path, "page", &v))
	assert.Equal(t, 7, v["n"])
	assert.ErrorContains(t, Get(path, "other", &v), "the feature is off")
	running = false
	assert.ErrorContains(t, Get(path, "page", &v), "not running")
	_, err = Listen(path, Handlers{})
	assert.ErrorContains(t, err, "another process serves it")
	// Connections beyond the limit wait without blocking the broker, and connections that send nothing are closed.
	var conns []net.Conn
	for range 2 * maxConnections {
		c, err := net.Dial("unix", path)
		require.NoError(t, err)
		conns = append(conns, c)
	}
	for _, c := range conns {
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		_, err := c.Read(make([]byte, 1))
		assert.Error(t, err)
		c.Close()
	}
	running = true
	require.NoError(t, Get(path, "page", &v))
	s.Close()
	assert.ErrorContains(t, Get(path, "page", &v), "control socket")
	require.NoError(t, os.WriteFile(path, nil, 0o600))
	_, err = Listen(path, Handlers{})
	assert.ErrorContains(t, err, "the path exists and is not a socket")
	os.Remove(path)
	stale, err := net.Listen("unix", path)
	require.NoError(t, err)
	stale.(*net.UnixListener).SetUnlinkOnClose(false)
	stale.Close()
	s, err = Listen(path, Handlers{})
	require.NoError(t, err, "a stale socket is replaced")
	s.Close()
}

// TestOrdersAndStreams checks that orders are accepted or rejected with their reason, that the number of streams is limited,
// and that open streams do not block other requests.
func TestOrdersAndStreams(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.sock")
	s, err := Listen(path, Handlers{
		Orders: map[string]func(url.Values) error{"order": func(q url.Values) error {
			if q.Get("do") != "it" {
				return errors.New("only it can be done")
			}
			return nil
		}},
		Streams: map[string]func(url.Values, io.ReadWriteCloser){"echo": func(q url.Values, c io.ReadWriteCloser) { io.Copy(c, c) }}})
	require.NoError(t, err)
	defer s.Close()
	assert.NoError(t, Post(path, "order", url.Values{"do": {"it"}}))
	assert.EqualError(t, Post(path, "order", nil), "only it can be done")
	assert.ErrorContains(t, Post(path, "other", nil), "the feature is off")
	var open []io.ReadWriteCloser
	for range maxStreams {
		c, err := Open(path, "echo", nil)
		require.NoError(t, err)
		open = append(open, c)
	}
	_, err = Open(path, "echo", nil)
	assert.EqualError(t, err, "too many streams are open")
	assert.NoError(t, Post(path, "order", url.Values{"do": {"it"}}), "open streams do not count toward the connection limit")
	buf := make([]byte, 5)
	for _, c := range open {
		io.WriteString(c, "hello")
		_, err := io.ReadFull(c, buf)
		require.NoError(t, err)
		assert.Equal(t, "hello", string(buf))
		c.Close()
	}
}
