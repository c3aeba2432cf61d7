package front

import (
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/internal/core"
	"gullstair/internal/startsettings"
	"gullstair/logic"
)

const healthRequest = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"

// scanWithID returns a valid scan request with the given correlation ID.
func scanWithID(id string) string {
	return scanRequest("/board", "X-Correlation-Id: "+id+"\r\n", validScan)
}

// waitShut waits until the front has shut n connections.
func (d *harness) waitShut(n int) {
	require.Eventually(d.t, func() bool {
		d.front.mu.Lock()
		defer d.front.mu.Unlock()
		shut := 0
		for c := range d.front.conns {
			if c.stage == closing {
				shut++
			}
		}
		return shut == n
	}, testTimeout, time.Millisecond)
}

// A connection that closes after its answer must not be closed with unread input: that would reset it, and a client
// that has not read the answer yet would lose it.
func TestAnswerOutlivesItsConnection(t *testing.T) {
	d := startFront(t, 10)
	for name, more := range map[string]string{
		"nothing pipelined": "",
		"one more request":  scanRequest("/board", "", validScan),
		"a flood":           strings.Repeat(scanRequest("/board", "", validScan), 2000),
	} {
		c := d.dial().send(scanRequest("/board", "Connection: close\r\n", validScan))
		s := receiveScan(t, d.scans)
		c.send(more)
		Reply(core.Reply{Scan: s, Kind: logic.Answer})
		d.waitShut(1)
		status, _, res := c.response()
		assert.Equal(t, [2]any{200, true}, [2]any{status, res.Close}, name)
		_, err := c.in.ReadByte()
		assert.ErrorIs(t, err, io.EOF, name)
		c.conn.Close()
		d.waitOpen(0)
	}
	assert.Empty(t, d.scans, "requests after Connection: close are not processed")
}

// A client's close is detected however many requests it has pipelined behind the current one, and none of them is
// started.
func TestLeavesBehindMore(t *testing.T) {
	d := startFront(t, 10)
	for name, n := range map[string]int{"one": 1, "some": 20, "many": 800} {
		c := d.dial().send(scanRequest("/board", "", validScan))
		s := receiveScan(t, d.scans)
		c.send(strings.Repeat(scanWithID("more"), n))
		require.NoError(t, c.conn.Close(), name)
		assert.Same(t, s, receiveScan(t, d.disconnected), name)
		d.waitOpen(0)
	}
	assert.Empty(t, d.scans)
	assert.EqualValues(t, 1<<20, d.front.readAheadBudget.Load(), "the read-ahead budget is returned")
}

// No scan is started for a client that disconnects before its request is read.
func TestGoneBeforeItIsRead(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	took := make(chan *core.Scan, 10)
	f := newFront(10)
	f.OnScan = func(s *core.Scan) { took <- s }
	for range 5 {
		conn, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(conn, scanWithID("a")+scanWithID("b"))
		require.NoError(t, err)
		require.NoError(t, conn.Close())
	}
	go f.Serve(ln) // accepts the connections only now
	require.Eventually(t, func() bool { return f.Stats.LeftWhileProcessing.Load() == 5 }, testTimeout, time.Millisecond)
	assert.Empty(t, took)
}

// newFront returns a Front without a core; each test sets OnScan.
func newFront(maxConns int) *Front {
	f := &Front{MaxConns: maxConns, SoftMaxConns: maxConns, ReadAhead: 1 << 20, ReadWithin: testTimeout, Now: func() float64 { return 1000 }, Log: zerolog.Nop()}
	f.Site = testSite
	f.Ready()
	return f
}

// The time budget of a pipelined request starts at its arrival, not at the answer to the request before it.
func TestTimeOfPipelinedRequests(t *testing.T) {
	d := startFront(t, 10)
	var clock atomic.Int64
	clock.Store(1000)
	now := func() float64 { return float64(clock.Load()) }
	d.clock.Store(&now)
	c := d.dial().send(scanWithID("a"))
	a := receiveScan(t, d.scans)
	before := d.front.readAheadBudget.Load()
	c.send(scanWithID("b"))
	size := int64(len(scanWithID("b")))
	require.Eventually(t, func() bool { return d.front.readAheadBudget.Load() == before-size }, testTimeout, time.Millisecond)
	clock.Store(3000)
	c.send(scanWithID("c"))
	require.Eventually(t, func() bool { return d.front.readAheadBudget.Load() == before-2*size }, testTimeout, time.Millisecond)
	clock.Store(4000)
	Reply(core.Reply{Scan: a, Kind: logic.Answer})
	for _, want := range []struct {
		id string
		at float64
	}{{"b", 1000}, {"c", 3000}} {
		s := receiveScan(t, d.scans)
		assert.Equal(t, want.id, s.ID)
		assert.Equal(t, want.at, s.ReceivedAt, want.id)
		Reply(core.Reply{Scan: s, Kind: logic.Answer})
	}
}

// A connection that is asked to close while its next request is being read answers that request first.
func TestAskedWhileItReads(t *testing.T) {
	d := startFront(t, 10)
	c := d.dial().send(healthRequest)
	c.response()
	d.waitIdle(1)
	var once sync.Once
	read := func() float64 { // called after the request's first bytes are read and before the stage changes
		once.Do(func() {
			d.front.mu.Lock()
			assert.True(t, d.front.requestCloseOfOldest(idle, 0, false))
			d.front.mu.Unlock()
		})
		return 1000
	}
	d.clock.Store(&read)
	c.send(scanWithID("a")[:50])
	require.Eventually(t, func() bool {
		d.front.mu.Lock()
		defer d.front.mu.Unlock()
		return d.front.ending == 1
	}, testTimeout, time.Millisecond)
	c.send(scanWithID("a")[50:])
	s := receiveScan(t, d.scans)
	Reply(core.Reply{Scan: s, Kind: logic.Answer})
	status, _, res := c.response()
	assert.Equal(t, [2]any{200, true}, [2]any{status, res.Close})
	assert.True(t, c.closed())
}

// A request that arrives after the front has shut the connection is not processed, and its client sees the connection
// closed, not reset.
func TestRequestAfterShut(t *testing.T) {
	d := startFront(t, 10)
	c := d.dial().send(healthRequest)
	c.response()
	d.waitIdle(1)
	d.front.mu.Lock()
	require.True(t, d.front.requestCloseOfOldest(idle, 0, false))
	d.front.mu.Unlock()
	d.waitShut(1)
	c.send(scanRequest("/board", "", validScan))
	_, err := c.in.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	c.conn.Close()
	d.waitOpen(0)
	assert.Empty(t, d.scans)
}

// During shutdown a connection first answers the requests that it has read. Only the last answer announces the close.
func TestReadRequestsAreAnswered(t *testing.T) {
	d := startFront(t, 10)
	c := d.dial().send(scanWithID("a"))
	a := receiveScan(t, d.scans)
	before := d.front.readAheadBudget.Load()
	c.send(scanWithID("b"))
	require.Eventually(t, func() bool { return d.front.readAheadBudget.Load() < before }, testTimeout, time.Millisecond)
	d.front.closeAfterAnswer.Store(true)
	Reply(core.Reply{Scan: a, Kind: logic.Answer})
	_, _, res := c.response()
	assert.False(t, res.Close, "a further request was read")
	Reply(core.Reply{Scan: receiveScan(t, d.scans), Kind: logic.Answer})
	_, _, res = c.response()
	assert.True(t, res.Close)
	assert.True(t, c.closed())
}

// The number of connections stays bounded even if clients never close theirs.
func TestShutConnectionsAreBounded(t *testing.T) {
	d := startFront(t, 2)
	for range 3 * MaxClosingConns {
		d.dial().send(healthRequest).response() // each takes another's slot, and no client closes its connection
		d.front.mu.Lock()
		open := len(d.front.conns)
		d.front.mu.Unlock()
		assert.LessOrEqual(t, open, 2+MaxClosingConns)
		require.Eventually(t, func() bool {
			d.front.mu.Lock()
			defer d.front.mu.Unlock()
			for c := range d.front.conns {
				if c.stage == reading {
					return false
				}
			}
			return true
		}, testTimeout, time.Millisecond)
	}
}

// Two fronts in one process each use the table types of their own deployment.
func TestDeploymentsKeepApart(t *testing.T) {
	one, other := startFront(t, 10), startFront(t, 10)
	other.front.Site = startsettings.Settings{Shards: 4, Types: []startsettings.TableType{{Name: "lookup", Keyed: true}}, TypeIndex: map[string]int{"lookup": 0}}
	small := `{"segments":[{"segment":3,"boost":1}],"text":"t"}`
	status, _, _ := other.dial().send(scanRequest("/board", "", small)).response()
	assert.Equal(t, 404, status)
	status, _, _ = one.dial().send(scanRequest("/lookup", "", small)).response()
	assert.Equal(t, 404, status)
	status, _, _ = other.dial().send(scanRequest("/lookup", "", small)).response()
	assert.Equal(t, 400, status, "this table type requires a key")
	other.dial().send(scanRequest("/lookup", "Idempotency-Key: k\r\n", small))
	assert.Equal(t, 0, receiveScan(t, other.scans).TableType)
	status, _, _ = other.dial().send(scanRequest("/lookup", "Idempotency-Key: k\r\n", validScan)).response()
	assert.Equal(t, 400, status, "segment 9 is out of its range")
	one.dial().send(scanRequest("/board", "", validScan))
	assert.Len(t, receiveScan(t, one.scans).Parts, 2)
}
