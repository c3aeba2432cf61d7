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
	"gullstair/internal/terms"
	"gullstair/logic"
)

const health = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"

func named(id string) string { return ask("/board", "X-Correlation-Id: "+id+"\r\n", good) }

// shut waits until so many connections have been shut by the front.
func (d *door) shut(n int) {
	require.Eventually(d.t, func() bool {
		d.f.mu.Lock()
		defer d.f.mu.Unlock()
		shut := 0
		for c := range d.f.conns {
			if c.stage == closing {
				shut++
			}
		}
		return shut == n
	}, patience, time.Millisecond)
}

// A connection that ends after its answer is not closed over bytes that nobody has read: that would reset it, and a
// client that has not read the answer yet would never get it.
func TestAnswerOutlivesItsConnection(t *testing.T) {
	d := open(t, 10)
	for name, more := range map[string]string{
		"nothing behind it": "",
		"one more request":  ask("/board", "", good),
		"a flood":           strings.Repeat(ask("/board", "", good), 2000),
	} {
		c := d.dial().say(ask("/board", "Connection: close\r\n", good))
		s := receive(t, d.took)
		c.say(more)
		Reply(core.Reply{Scan: s, Kind: logic.Answer})
		d.shut(1)
		status, _, res := c.hear()
		assert.Equal(t, [2]any{200, true}, [2]any{status, res.Close}, name)
		_, err := c.in.ReadByte()
		assert.ErrorIs(t, err, io.EOF, name)
		c.conn.Close()
		d.opens(0)
	}
	assert.Empty(t, d.took, "what came behind a request that said close was not taken")
}

// A client that closes its connection has left, however much it sent behind the request that is at work; nothing of
// that is begun.
func TestLeavesBehindMore(t *testing.T) {
	d := open(t, 10)
	for name, n := range map[string]int{"one": 1, "some": 20, "many": 800} {
		c := d.dial().say(ask("/board", "", good))
		s := receive(t, d.took)
		c.say(strings.Repeat(named("more"), n))
		require.NoError(t, c.conn.Close(), name)
		assert.Same(t, s, receive(t, d.left), name)
		d.opens(0)
	}
	assert.Empty(t, d.took)
	assert.EqualValues(t, 1<<20, d.f.budget.Load(), "what was read ahead has been given back")
}

// Who has left before its request is looked at has no query begun for it.
func TestGoneBeforeItIsRead(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	took := make(chan *core.Scan, 10)
	f := newFront(10)
	f.Take = func(s *core.Scan) { took <- s }
	for range 5 {
		conn, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(conn, named("a")+named("b"))
		require.NoError(t, err)
		require.NoError(t, conn.Close())
	}
	go f.Serve(ln) // accepts them only now
	require.Eventually(t, func() bool { return f.Stats.LeftAtWork.Load() == 5 }, patience, time.Millisecond)
	assert.Empty(t, took)
}

// newFront is a front without a core; each test says what takes its queries.
func newFront(most int) *Front {
	f := &Front{Most: most, Ample: most, ReadAhead: 1 << 20, ReadWithin: patience, Now: func() float64 { return 1000 }, Log: zerolog.Nop()}
	f.Site = testSite
	f.Ready()
	return f
}

// The time of a request that was sent behind another counts from when it came, not from when the other was answered.
func TestTimeOfPipelinedRequests(t *testing.T) {
	d := open(t, 10)
	var clock atomic.Int64
	clock.Store(1000)
	now := func() float64 { return float64(clock.Load()) }
	d.hook.Store(&now)
	c := d.dial().say(named("a"))
	a := receive(t, d.took)
	before := d.f.budget.Load()
	c.say(named("b"))
	size := int64(len(named("b")))
	require.Eventually(t, func() bool { return d.f.budget.Load() == before-size }, patience, time.Millisecond)
	clock.Store(3000)
	c.say(named("c"))
	require.Eventually(t, func() bool { return d.f.budget.Load() == before-2*size }, patience, time.Millisecond)
	clock.Store(4000)
	Reply(core.Reply{Scan: a, Kind: logic.Answer})
	for _, want := range []struct {
		id string
		at float64
	}{{"b", 1000}, {"c", 3000}} {
		s := receive(t, d.took)
		assert.Equal(t, want.id, s.ID)
		assert.Equal(t, want.at, s.At, want.id)
		Reply(core.Reply{Scan: s, Kind: logic.Answer})
	}
}

// A connection that is asked to end in the very moment in which its next request is read answers that one first.
func TestAskedWhileItReads(t *testing.T) {
	d := open(t, 10)
	c := d.dial().say(health)
	c.hear()
	d.idles(1)
	var once sync.Once
	read := func() float64 { // called when the request's first bytes have been read, before its stage is noted
		once.Do(func() {
			d.f.mu.Lock()
			assert.True(t, d.f.askOldest(idle, 0, false))
			d.f.mu.Unlock()
		})
		return 1000
	}
	d.hook.Store(&read)
	c.say(named("a")[:50])
	require.Eventually(t, func() bool {
		d.f.mu.Lock()
		defer d.f.mu.Unlock()
		return d.f.ending == 1
	}, patience, time.Millisecond)
	c.say(named("a")[50:])
	s := receive(t, d.took)
	Reply(core.Reply{Scan: s, Kind: logic.Answer})
	status, _, res := c.hear()
	assert.Equal(t, [2]any{200, true}, [2]any{status, res.Close})
	assert.True(t, c.over())
}

// A request that comes on a connection after the front shut it is not taken; its client finds the connection shut, and
// not reset.
func TestRequestAfterShut(t *testing.T) {
	d := open(t, 10)
	c := d.dial().say(health)
	c.hear()
	d.idles(1)
	d.f.mu.Lock()
	require.True(t, d.f.askOldest(idle, 0, false))
	d.f.mu.Unlock()
	d.shut(1)
	c.say(ask("/board", "", good))
	_, err := c.in.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	c.conn.Close()
	d.opens(0)
	assert.Empty(t, d.took)
}

// Where connections are to end, those that hold a request that has been read answer it first: the last of them says
// that the connection closes.
func TestReadRequestsAreAnswered(t *testing.T) {
	d := open(t, 10)
	c := d.dial().say(named("a"))
	a := receive(t, d.took)
	before := d.f.budget.Load()
	c.say(named("b"))
	require.Eventually(t, func() bool { return d.f.budget.Load() < before }, patience, time.Millisecond)
	d.f.leaving.Store(true)
	Reply(core.Reply{Scan: a, Kind: logic.Answer})
	_, _, res := c.hear()
	assert.False(t, res.Close, "one more is there")
	Reply(core.Reply{Scan: receive(t, d.took), Kind: logic.Answer})
	_, _, res = c.hear()
	assert.True(t, res.Close)
	assert.True(t, c.over())
}

// However many clients stay on shut connections, the front holds no more than it may.
func TestShutConnectionsAreBounded(t *testing.T) {
	d := open(t, 2)
	for range 3 * ClosingMost {
		d.dial().say(health).hear() // each takes another's place, and none closes what was shut
		d.f.mu.Lock()
		open := len(d.f.conns)
		d.f.mu.Unlock()
		assert.LessOrEqual(t, open, 2+ClosingMost)
		require.Eventually(t, func() bool {
			d.f.mu.Lock()
			defer d.f.mu.Unlock()
			for c := range d.f.conns {
				if c.stage == reading {
					return false
				}
			}
			return true
		}, patience, time.Millisecond)
	}
}

// Two fronts in one process know their own deployment's classes and no other's.
func TestDeploymentsKeepApart(t *testing.T) {
	one, other := open(t, 10), open(t, 10)
	other.f.Site = terms.Site{Shards: 4, Types: []terms.TableType{{Name: "lookup", Keyed: true}}, TypeIndex: map[string]int{"lookup": 0}}
	small := `{"segments":[{"segment":3,"boost":1}],"text":"t"}`
	status, _, _ := other.dial().say(ask("/board", "", small)).hear()
	assert.Equal(t, 404, status)
	status, _, _ = one.dial().say(ask("/lookup", "", small)).hear()
	assert.Equal(t, 404, status)
	status, _, _ = other.dial().say(ask("/lookup", "", small)).hear()
	assert.Equal(t, 400, status, "it needs a key there")
	other.dial().say(ask("/lookup", "Idempotency-Key: k\r\n", small))
	assert.Equal(t, 0, receive(t, other.took).TableType)
	status, _, _ = other.dial().say(ask("/lookup", "Idempotency-Key: k\r\n", good)).hear()
	assert.Equal(t, 400, status, "segment 9 is out of its range")
	one.dial().say(ask("/board", "", good))
	assert.Len(t, receive(t, one.took).Parts, 2)
}
