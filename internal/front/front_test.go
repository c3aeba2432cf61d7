package front

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/internal/core"
	"gullstair/internal/shutdown"
	"gullstair/internal/startsettings"
	"gullstair/logic"
)

const testTimeout = 20 * time.Second // 5 s was too short on four loaded cores

var testSite = startsettings.Settings{Shards: 12, Types: []startsettings.TableType{{Name: "board"}, {Name: "fix", Keyed: true}},
	TypeIndex: map[string]int{"board": 0, "fix": 1}}

// harness is a Front whose scans go to the test instead of a core.
type harness struct {
	t            *testing.T
	front        *Front
	addr         string
	scans        chan *core.Scan
	disconnected chan *core.Scan
	clock        atomic.Pointer[func() float64] // overrides the clock, which is fixed at 1000
}

func (d *harness) now() float64 {
	if hook := d.clock.Load(); hook != nil {
		return (*hook)()
	}
	return 1000
}

// startFront starts a Front with the given connection limit.
func startFront(t *testing.T, maxConns int, within ...time.Duration) *harness {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &harness{t: t, addr: ln.Addr().String(), scans: make(chan *core.Scan, 100), disconnected: make(chan *core.Scan, 100)}
	d.front = newFront(maxConns)
	d.front.Now = d.now
	d.front.ReadWithin = append(within, testTimeout)[0]
	d.front.OnScan, d.front.OnDisconnect = func(s *core.Scan) { d.scans <- s }, func(s *core.Scan) { d.disconnected <- s }
	go d.front.Serve(ln)
	t.Cleanup(func() { ln.Close() })
	return d
}

// testClient is one client connection.
type testClient struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func (d *harness) dial() *testClient {
	conn, err := net.Dial("tcp", d.addr)
	require.NoError(d.t, err)
	d.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return &testClient{d.t, conn, bufio.NewReader(conn)}
}

func (c *testClient) send(text string) *testClient {
	_, err := io.WriteString(c.conn, text)
	require.NoError(c.t, err)
	return c
}

func (c *testClient) response() (int, string, *http.Response) {
	res, err := http.ReadResponse(c.in, nil)
	require.NoError(c.t, err)
	body, err := io.ReadAll(res.Body)
	require.NoError(c.t, err)
	return res.StatusCode, string(body), res
}

func (c *testClient) closed() bool {
	_, err := c.in.ReadByte()
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// receiveScan returns the next scan from ch.
func receiveScan(t *testing.T, ch chan *core.Scan) *core.Scan {
	select {
	case s := <-ch:
		return s
	case <-time.After(testTimeout):
		require.Fail(t, "timeout waiting for a scan")
		return nil
	}
}

// scanRequest builds a scan request, with default headers where heads has none.
func scanRequest(path, heads, body string) string {
	if !strings.Contains(heads, "X-Time-Left-Ms") {
		heads += "X-Time-Left-Ms: 480\r\n"
	}
	if !strings.Contains(heads, "X-Correlation-Id") {
		heads += "X-Correlation-Id: 9b1f\r\n"
	}
	if !strings.Contains(heads, "chunked") {
		heads += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	return "POST " + path + " HTTP/1.1\r\nHost: origin.svc\r\n" + heads + "\r\n" + body
}

const validScan = `{"segments":[{"segment":3,"boost":0.5,"work":9000},{"segment":9,"boost":0.5,"affinity":"00"}],"text":"c41e77d0"}`

func TestScan(t *testing.T) {
	d := startFront(t, 10)
	c := d.dial()
	chunked := "5\r\n" + validScan[:5] + "\r\n" + "1\r\n" + validScan[5:6] + "\r\n" + // one-byte chunks are allowed
		strconv.FormatInt(int64(len(validScan)-6), 16) + "\r\n" + validScan[6:] + "\r\n0\r\n\r\n"
	for name, request := range map[string]string{
		"counted": scanRequest("/board/x?y", "X-Repeat: 1\r\n", validScan),
		"chunked": scanRequest("/board", "X-Repeat: 1\r\nTransfer-Encoding: chunked\r\n", chunked),
	} {
		c.send(request)
		s := receiveScan(t, d.scans)
		assert.Equal(t, "9b1f", s.ID, name)
		assert.Equal(t, []core.ScanPart{{Shard: 3, Weight: 0.5, Work: 9}, {Shard: 9, Weight: 0.5}}, s.Parts, name)
		assert.Equal(t, [3]any{480.0, 1000.0, true}, [3]any{s.TimeLeft, s.ReceivedAt, s.Repeat}, name)
		assert.Equal(t, "c41e77d0", s.Text, name)
		Reply(core.Reply{Scan: s, Kind: logic.Answer, Complete: true, Hits: []core.Hit{{Shard: 3, Value: "5be2\"\n"}}})
		status, body, _ := c.response()
		assert.Equal(t, 200, status, name)
		assert.JSONEq(t, `{"all_in":true,"matches":[{"segment":3,"payload":"5be2\"\n"}]}`, body, name)
	}
	c.send(scanRequest("/fix", "Idempotency-Key: k1\r\n", validScan))
	s := receiveScan(t, d.scans)
	assert.Equal(t, "k1", s.Key)
	Reply(core.Reply{Scan: s, Kind: logic.Throttle, RetryAfter: 250})
	status, _, res := c.response()
	assert.Equal(t, [2]any{429, "0.250"}, [2]any{status, res.Header.Get("Retry-After")})
	c.send(scanRequest("/board", "", validScan) + scanRequest("/board", "X-Correlation-Id: two\r\n", validScan)) // pipelined requests are answered in order
	Reply(core.Reply{Scan: receiveScan(t, d.scans), Kind: logic.Abandon})
	status, _, _ = c.response()
	assert.Equal(t, 504, status)
	s = receiveScan(t, d.scans)
	assert.Equal(t, "two", s.ID)
	Reply(core.Reply{Scan: s, Kind: logic.Answer})
	_, body, _ := c.response()
	assert.JSONEq(t, `{"all_in":false,"matches":[]}`, body)
	c.send("GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	status, _, _ = c.response()
	assert.Equal(t, 200, status)
	assert.True(t, c.closed())
}

// Invalid requests are rejected by the front. The connection stays open if the start of the next request is known.
func TestBadRequests(t *testing.T) {
	d := startFront(t, 10)
	seg := func(s string) string { return scanRequest("/board", "", `{"segments":[`+s+`],"text":"t"}`) }
	for request, want := range map[string]struct {
		status int
		goesOn bool
	}{
		scanRequest("/nothing", "", validScan):                                                 {404, true},
		scanRequest("/", "", validScan):                                                        {404, true},
		"GET /board HTTP/1.1\r\nHost: x\r\n\r\n":                                               {405, true},
		"POST /healthz HTTP/1.1\r\nHost: x\r\n\r\n":                                            {405, true},
		scanRequest("/board", "X-Time-Left-Ms: soon\r\n", validScan):                           {400, true},
		scanRequest("/board", "X-Time-Left-Ms: \r\n", validScan):                               {400, true},
		scanRequest("/board", "X-Time-Left-Ms: 0\r\n", validScan):                              {400, true},
		scanRequest("/board", "X-Time-Left-Ms: -5\r\n", validScan):                             {400, true},
		scanRequest("/board", "X-Time-Left-Ms: NaN\r\n", validScan):                            {400, true},
		scanRequest("/board", "X-Correlation-Id: \r\n", validScan):                             {400, true},
		scanRequest("/board", "X-Correlation-Id: a b\r\n", validScan):                          {400, true},
		scanRequest("/board", "X-Correlation-Id: a,b\r\n", validScan):                          {400, true},
		scanRequest("/board", "X-Correlation-Id: "+strings.Repeat("a", 201)+"\r\n", validScan): {400, true},
		scanRequest("/fix", "", validScan):                                                     {400, true},
		scanRequest("/fix", "Idempotency-Key: a,b\r\n", validScan):                             {400, true},
		scanRequest("/board", "", ""):                                                          {400, true},
		scanRequest("/board", "", "[]"):                                                        {400, true},
		scanRequest("/board", "", validScan[:40]):                                              {400, true},
		scanRequest("/board", "", `{"segments":[],"text":"t"}`):                                {400, true},
		seg(`{"boost":1}`):                                                                        {400, true},
		seg(`{"segment":1}`):                                                                      {400, true},
		seg(`{"segment":12,"boost":1}`):                                                           {400, true},
		seg(`{"segment":-1,"boost":1}`):                                                           {400, true},
		seg(`{"segment":1.5,"boost":1}`):                                                          {400, true},
		seg(`{"segment":1,"boost":0.5},{"segment":1,"boost":0.5}`):                                {400, true},
		seg(`{"segment":1,"boost":-1},{"segment":2,"boost":2}`):                                   {400, true},
		seg(`{"segment":1,"boost":0}`):                                                            {400, true},
		seg(`{"segment":1,"boost":1,"work":-1}`):                                                  {400, true},
		scanRequest("/board", "", strings.Repeat(" ", 600000)):                                    {413, false},
		scanRequest("/board", "Transfer-Encoding: chunked\r\n", "zz\r\n"):                         {400, false},
		"NONSENSE\r\n\r\n":                                                                        {400, false},
		scanRequest("/board", "X-Time-Left-Ms: 480.5\r\n", validScan):                             {400, true},
		scanRequest("/board", "X-Time-Left-Ms: +480\r\n", validScan):                              {400, true},
		scanRequest("/board", "X-Time-Left-Ms: 4e2\r\n", validScan):                               {400, true},
		scanRequest("/board", "", `{"segments":[{"segment":3,"boost":1}]}`):                       {400, true},
		seg(`{"segment":1,"boost":0.5},{"segment":2,"boost":0.4}`):                                {400, true},
		seg(`{"segment":1,"boost":1.5}`):                                                          {400, true},
		scanRequest("/board", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n"): {400, false},
		scanRequest("/board", "Content-Length: 5\r\n", validScan):                                 {400, false},
		scanRequest("/board", "X: 1\r\n Content-Length: 5\r\n", validScan):                        {400, false},
		"POST /board HTTP/1.1\r\nHost: x\r\nContent-Length: -4\r\n\r\n":                           {400, false},
		"POST /board HTTP/1.1\r\nHost: x\r\nContent-Length: 60000000\r\n\r\n":                     {413, false},
		"GET /healthz HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 20000) + "\r\n\r\n":       {431, false},
	} {
		c := d.dial()
		c.conn.Write([]byte(request))
		name := request[:min(len(request), 200)]
		status, body, res := c.response()
		assert.Equal(t, want.status, status, name)
		assert.NotEmpty(t, body, name)
		assert.Equal(t, !want.goesOn, res.Close, name)
		if want.goesOn {
			c.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
			status, _, _ = c.response()
			assert.Equal(t, 200, status, name)
		}
		c.conn.Close() // closing connections do not count as idle; depending on map order they once filled the front
		require.Eventually(t, func() bool { return d.front.Conns() == 0 }, testTimeout, time.Millisecond)
	}
	c := d.dial().send("POST /board HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n{")
	c.conn.(*net.TCPConn).CloseWrite()
	status, _, _ := c.response()
	assert.Equal(t, 400, status, "a truncated body")
	assert.Empty(t, d.scans)
}

// An incomplete request gets an error answer after the timeout, and its connection closes, at whatever byte it stopped.
func TestSlowRequests(t *testing.T) {
	d := startFront(t, 10, 20*time.Millisecond)
	request := scanRequest("/board", "", validScan)
	for n, want := range map[int]int{1: 408, 30: 408, len(request) - 1: 400} {
		c := d.dial().send(request[:n])
		status, _, _ := c.response()
		assert.Equal(t, want, status, n)
		assert.True(t, c.closed(), n)
	}
	assert.True(t, d.dial().closed(), "a connection without a request is closed")
	c := d.dial().send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	c.response()
	assert.True(t, c.closed(), "an idle connection is closed after its answer")
	assert.Empty(t, d.scans)
}

func TestClientLeaves(t *testing.T) {
	d := startFront(t, 10)
	for name, leave := range map[string]func(*net.TCPConn) error{
		"closed": func(c *net.TCPConn) error { return c.Close() },
		"reset":  func(c *net.TCPConn) error { c.SetLinger(0); return c.Close() },
		"half":   func(c *net.TCPConn) error { return c.CloseWrite() },
	} {
		c := d.dial().send(scanRequest("/board", "", validScan))
		s := receiveScan(t, d.scans)
		require.NoError(t, leave(c.conn.(*net.TCPConn)), name)
		assert.Same(t, s, receiveScan(t, d.disconnected), name)
		Reply(core.Reply{Scan: s, Kind: logic.Answer}) // an answer after the disconnect is dropped and does not block
		Reply(core.Reply{Scan: s, Kind: logic.Answer})
	}
}

// waitIdle waits until n connections are idle. A client gets its answer shortly before the front marks its connection
// idle, and a new connection in between would be rejected.
func (d *harness) waitIdle(n int) {
	require.Eventually(d.t, func() bool {
		d.front.mu.Lock()
		defer d.front.mu.Unlock()
		idles := 0
		for c := range d.front.conns {
			if c.stage == idle {
				idles++
			}
		}
		return idles == n
	}, testTimeout, time.Millisecond)
}

// waitOpen waits until n connections are open. A shut connection counts until its client closes it too.
func (d *harness) waitOpen(n int) {
	require.Eventually(d.t, func() bool { return d.front.Conns() == n }, testTimeout, time.Millisecond)
}

// At the limit idle connections are closed first, longest idle first; busy ones stay.
func TestCrowded(t *testing.T) {
	d := startFront(t, 2)
	busy := d.dial().send(scanRequest("/board", "", validScan))
	s := receiveScan(t, d.scans)
	idle := d.dial().send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	idle.response()
	d.waitIdle(1)
	third := d.dial().send(scanRequest("/board", "", validScan))
	s3 := receiveScan(t, d.scans)
	assert.True(t, idle.closed())
	Reply(core.Reply{Scan: s, Kind: logic.Answer})
	Reply(core.Reply{Scan: s3, Kind: logic.Answer})
	busy.response()
	third.response()
	idle.conn.Close()
	d.waitOpen(2)
	busy.send(scanRequest("/board", "", validScan))
	third.send(scanRequest("/board", "", validScan)[:40])
	receiveScan(t, d.scans)
	require.Eventually(t, func() bool {
		d.front.mu.Lock()
		defer d.front.mu.Unlock()
		half := 0
		for c := range d.front.conns {
			if c.stage == reading && time.Since(c.since) > minIdleAge {
				half++
			}
		}
		return half == 1
	}, testTimeout, time.Millisecond)
	fourth := d.dial().send(scanRequest("/board", "", validScan))
	receiveScan(t, d.scans)
	status, _, _ := third.response()
	assert.Equal(t, 408, status, "an incomplete request is answered and closed to free a slot")
	assert.True(t, third.closed())
	third.conn.Close()
	d.waitOpen(2)
	assert.True(t, d.dial().closed(), "if all connections are busy the new one is rejected at once")
	d.waitOpen(2)
	_ = fourth
}

// Above SoftMaxConns, connections close with their answer, and silent ones close soon; the others stay open.
func TestAmple(t *testing.T) {
	d := startFront(t, 10)
	d.front.mu.Lock()
	d.front.SoftMaxConns = 2
	d.front.mu.Unlock()
	kept := d.dial().send(healthRequest)
	_, _, res := kept.response()
	assert.False(t, res.Close)
	silent := d.dial()
	require.Eventually(t, func() bool { return d.front.Conns() == 2 }, testTimeout, time.Millisecond)
	third := d.dial().send(healthRequest)
	_, _, res = third.response()
	assert.True(t, res.Close, "three connections exceed the soft limit")
	assert.True(t, third.closed())
	require.Eventually(t, func() bool {
		d.dial().send(healthRequest).response() // a new connection takes the silent one's slot
		silent.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		return silent.closed()
	}, testTimeout, 20*time.Millisecond)
	kept.send(healthRequest).response()
}

// During shutdown /healthz returns 503 while clients are still served for a while, on new connections too. Then
// accepted scans are answered, connections close, and later scans are refused.
func TestStop(t *testing.T) {
	d := startFront(t, 10)
	idle := d.dial().send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	idle.response()
	c := d.dial().send(scanRequest("/board", "", validScan))
	s := receiveScan(t, d.scans)
	stopped := make(chan struct{})
	go func() {
		d.front.Stop(shutdown.New(0, float64(testTimeout)/1e6))
		close(stopped)
	}()
	require.Eventually(t, d.front.stopping.Load, testTimeout, time.Millisecond)
	status, _, res := idle.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").response()
	assert.Equal(t, [2]any{503, false}, [2]any{status, res.Close}, "the connection stays open")
	require.Eventually(t, d.front.closeAfterAnswer.Load, testTimeout, time.Millisecond)
	late := d.dial().send(scanRequest("/board", "X-Correlation-Id: late\r\n", validScan))
	sl := receiveScan(t, d.scans)
	Reply(core.Reply{Scan: sl, Kind: logic.Answer})
	_, _, res = late.response()
	assert.True(t, res.Close)
	assert.True(t, late.closed())
	assert.True(t, idle.closed())
	require.Eventually(t, d.front.refuseScans.Load, testTimeout, time.Millisecond)
	status, _, _ = d.dial().send(scanRequest("/board", "", validScan)).response()
	assert.Equal(t, 503, status, "a scan that could not finish before the shutdown")
	select {
	case <-stopped:
		assert.Fail(t, "stopped with a scan open")
	default:
	}
	Reply(core.Reply{Scan: s, Kind: logic.Answer})
	status, _, res = c.response()
	assert.Equal(t, 200, status)
	assert.True(t, res.Close)
	select {
	case <-stopped:
	case <-time.After(testTimeout):
		assert.Fail(t, "did not stop")
	}
}

// flakyListener is a listener whose first accepts fail with EMFILE, as when no descriptor is free.
type flakyListener struct {
	net.Listener
	failures int
}

func (l *flakyListener) Accept() (net.Conn, error) {
	if l.failures--; l.failures >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

func TestCannotAccept(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := newFront(10)
	ended := make(chan error, 1)
	go func() { ended <- f.Serve(&flakyListener{ln, 3}) }()
	d := &harness{t: t, addr: ln.Addr().String()}
	status, _, _ := d.dial().send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").response()
	assert.Equal(t, 200, status, "serving continues after EMFILE")
	ln.Close()
	assert.ErrorIs(t, <-ended, net.ErrClosed)
}
