package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const patience = 10 * time.Second

func listen(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	return ln
}

// store is a node that answers every part, until it is set to die on the next one.
type store struct {
	ln    net.Listener
	parts atomic.Int64
	dying atomic.Bool
}

func startStore(t *testing.T) *store {
	s := &store{ln: listen(t)}
	go func() {
		for {
			conn, err := s.ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *store) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		var size uint32
		if binary.Read(in, binary.BigEndian, &size) != nil {
			return
		}
		frame := make([]byte, size)
		if _, err := io.ReadFull(in, frame); err != nil || frame[0] != 'R' {
			continue
		}
		if s.dying.Load() {
			s.ln.Close()
			return
		}
		for rest := frame[1:]; len(rest) > 0; {
			line, tail, _ := bytes.Cut(rest, []byte{'\n'})
			var id, list string
			var shard, length int
			fmt.Sscan(string(line), &id, &shard, &list, &length)
			answer := fmt.Sprintf("Y%s OK %d -\nvalue of %s, %s", id, shard, id, tail[:length])
			conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(answer))), answer...))
			rest = tail[length:]
			s.parts.Add(1)
		}
	}
}

// startFile writes a start file for a broker over these two stores, one per cell, and a third next to the first.
func startFile(t *testing.T, at string, stores ...*store) string {
	text, err := os.ReadFile("../../internal/config/testdata/start.json")
	require.NoError(t, err)
	var tree map[string]any
	require.NoError(t, json.Unmarshal(text, &tree))
	var hosts []any
	for i, s := range stores {
		hosts = append(hosts, map[string]any{"host": fmt.Sprint("s-", i), "dial": s.ln.Addr().String(), "site": "west",
			"class": "std", "block": i % 2, "health": "SERVING", "share": 1, "born_ms": 0})
	}
	tree["known"] = map[string]any{"seq": 41, "whole": true, "hosts": hosts}
	tree["listen"], tree["discovery"] = at, listen(t).Addr().String() // an agent that never answers
	text, err = json.Marshal(tree)
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "start.json")
	require.NoError(t, os.WriteFile(path, text, 0o600))
	return path
}

// asker has a timeout: a scan that was never answered once blocked this test and all later ones up to the limit of the
// test binary.
var asker = &http.Client{Timeout: 2 * patience}

func ask(at, path string, shards ...int) (int, string, error) {
	return askAs("q1", at, path, shards...)
}

func askAs(id, at, path string, shards ...int) (int, string, error) {
	var segs []string
	for _, s := range shards {
		segs = append(segs, fmt.Sprintf(`{"segment":%d,"boost":%g}`, s, 1/float64(len(shards))))
	}
	req, err := http.NewRequest("POST", "http://"+at+path, strings.NewReader(`{"segments":[`+strings.Join(segs, ",")+`],"text":"txt"}`))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("X-Correlation-Id", id)
	req.Header.Set("Idempotency-Key", "k1") // lets the client resend a request once if the broker closed the connection between requests
	req.Header.Set("X-Time-Left-Ms", "3000")
	res, err := asker.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res.StatusCode, string(body), err
}

// start runs serve over these stores until it is ready; ended receives its result.
func start(t *testing.T, stores ...*store) (at string, ended chan error) {
	ln := listen(t)
	at = ln.Addr().String()
	ln.Close()
	t.Setenv("GW_CONFIG", startFile(t, at, stores...))
	ended = make(chan error, 1)
	go func() { ended <- run([]string{"serve", "-log", "error"}, io.Discard) }()
	require.Eventually(t, func() bool {
		res, err := http.Get("http://" + at + "/healthz")
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	}, patience, 5*time.Millisecond)
	return at, ended
}

// TestStopAtWork sends SIGTERM while clients send requests: they are served for a while longer, each admitted request
// gets a complete answer, and later ones get a 503 or a refused connection.
func TestStopAtWork(t *testing.T) {
	at, ended := start(t, startStore(t), startStore(t))
	var answered, late atomic.Int64
	var clients sync.WaitGroup
	for i := range 8 {
		clients.Go(func() {
			for range 100000 {
				status, _, err := askAs(fmt.Sprint("q", i), at, "/board", 0, 1)
				op, dialled := errors.AsType[*net.OpError](err)
				nobody := dialled && op.Op == "dial" // refused, or reset in the queue of a closing listener
				if nobody || !assert.NoError(t, err) || status == http.StatusServiceUnavailable {
					late.Add(1)
					return
				}
				if status == http.StatusOK {
					answered.Add(1)
				}
			}
		})
	}
	require.Eventually(t, func() bool { return answered.Load() > 50 }, patience, time.Millisecond)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	begun := time.Now()
	clients.Wait()
	assert.Greater(t, time.Since(begun), 2*time.Second, "the timeouts of the start file leave at least this long")
	assert.EqualValues(t, 8, late.Load())
	http.DefaultClient.CloseIdleConnections()
	select {
	case err := <-ended:
		assert.NoError(t, err)
	case <-time.After(patience):
		assert.Fail(t, "serve did not end")
	}
}

// TestRenew sends SIGHUP under load: a faulty file changes nothing; a valid one moves the watch to the discovery that
// the file names, although an environment variable overrode the file at the start, and no client notices.
func TestRenew(t *testing.T) {
	old, fresh := listen(t), listen(t)
	t.Setenv("GW_DISCOVERY", old.Addr().String())
	at, ended := start(t, startStore(t), startStore(t))
	text, err := os.ReadFile(os.Getenv("GW_CONFIG"))
	require.NoError(t, err)
	asked := make(chan string, 1)
	go func() {
		if conn, err := fresh.Accept(); err == nil {
			call, _ := bufio.NewReader(conn).ReadString('\n')
			asked <- call
		}
	}()
	var tree map[string]any
	require.NoError(t, json.Unmarshal(text, &tree))
	tree["discovery"] = fresh.Addr().String()
	good, err := json.Marshal(tree)
	require.NoError(t, err)
	for _, text := range [][]byte{good[:len(good)/2], good, good} {
		require.NoError(t, os.WriteFile(os.Getenv("GW_CONFIG"), text, 0o600))
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		for range 20 {
			status, _, err := ask(at, "/board", 0, 1)
			require.NoError(t, err)
			assert.Equal(t, 200, status)
		}
	}
	select {
	case call := <-asked:
		assert.Equal(t, "GET /v1/servers HTTP/1.1\r\n", call, "the whole list")
	case <-time.After(patience):
		assert.Fail(t, "the new discovery was not queried")
	}
	http.DefaultClient.CloseIdleConnections()
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP), "a SIGHUP during the shutdown changes nothing")
	assert.NoError(t, <-ended)
}

// TestServe runs the whole program: it starts, serves scans of one and of two steps, loses a node during one, and on
// SIGTERM answers all admitted scans and ends.
func TestServe(t *testing.T) {
	a, b, c := startStore(t), startStore(t), startStore(t)
	at, ended := start(t, a, b, c)

	status, body, err := ask(at, "/board", 0, 1)
	require.NoError(t, err)
	assert.Equal(t, 200, status)
	assert.JSONEq(t, `{"all_in":true,"matches":[{"segment":0,"payload":"value of q1.0, txt"},{"segment":1,"payload":"value of q1.1, txt"}]}`, body)

	status, body, err = ask(at, "/report", 1, 3, 5)
	require.NoError(t, err)
	assert.Equal(t, 200, status)
	assert.JSONEq(t, `{"all_in":true,"matches":[{"segment":5,"payload":"value of q1.5.get, txt"},{"segment":3,"payload":"value of q1.3.get, txt"}]}`, body,
		"the two shards that scored highest")

	a.dying.Store(true)
	for range 8 { // at random one of them reaches the store that dies on it; the other store of its cell answers
		status, body, err = ask(at, "/board", 0, 2)
		require.NoError(t, err)
		assert.Equal(t, 200, status)
		assert.Contains(t, body, `"all_in":true`)
	}
	assert.Positive(t, c.parts.Load())

	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM), "a second signal changes nothing")
	status, _, err = ask(at, "/board", 1)
	require.NoError(t, err)
	assert.Equal(t, 200, status, "requests that still arrive are served")
	select {
	case err := <-ended:
		assert.NoError(t, err)
	case <-time.After(patience):
		assert.Fail(t, "serve did not end")
	}
	_, _, err = ask(at, "/board", 1)
	assert.Error(t, err, "the port is closed")
}

func TestCommands(t *testing.T) {
	good := startFile(t, "127.0.0.1:0", startStore(t))
	for name, c := range map[string]struct {
		args        []string
		path        string
		out, faults string
	}{
		"help":                 {[]string{"-h"}, "", "check-config", ""},
		"version":              {[]string{"version"}, "", "gullstair", ""},
		"a valid start file":   {[]string{"check-config"}, good, "1 nodes known, 3 table types", ""},
		"no start file":        {[]string{"check-config"}, "", "", "GW_CONFIG"},
		"serve without one":    {[]string{"serve"}, "nowhere.json", "", "GW_CONFIG"},
		"an unknown log level": {[]string{"serve", "-log", "loud"}, good, "", "-log"},
		"unknown":              {[]string{"dance"}, good, "", "unknown command"},
	} {
		t.Setenv("GW_CONFIG", c.path)
		var out bytes.Buffer
		err := run(c.args, &out)
		assert.Contains(t, out.String(), c.out, name)
		if c.faults == "" {
			assert.NoError(t, err, name)
		} else {
			assert.ErrorContains(t, err, c.faults, name)
		}
	}
}
