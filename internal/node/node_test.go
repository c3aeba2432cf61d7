package node

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/internal/core"
)

const testTimeout = 5 * time.Second

// stubNode is a node whose answers the test sends.
type stubNode struct {
	t  *testing.T
	ln net.Listener
}

func newStubNode(t *testing.T) *stubNode {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	return &stubNode{t, ln}
}

func (f *stubNode) addr() string { return f.ln.Addr().String() }

func (f *stubNode) accept() *nodeConn {
	f.ln.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))
	conn, err := f.ln.Accept()
	require.NoError(f.t, err)
	f.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return &nodeConn{f.t, conn, bufio.NewReader(conn)}
}

// nodeConn is the node's side of one connection.
type nodeConn struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

// frame reads one frame and returns its letter and rest, or "" at the end of the connection.
func (k *nodeConn) frame() string {
	var head [4]byte
	if _, err := io.ReadFull(k.in, head[:]); err != nil {
		return ""
	}
	rest := make([]byte, binary.BigEndian.Uint32(head[:]))
	_, err := io.ReadFull(k.in, rest)
	require.NoError(k.t, err)
	return string(rest)
}

func (k *nodeConn) send(frame string) {
	_, err := k.conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(frame))), frame...))
	require.NoError(k.t, err)
}

func testFleet(t *testing.T, limits ConnLimits) (*Fleet, chan core.Ended) {
	if limits.PerConn == 0 {
		limits.PerConn = 32
	}
	limits.MaxConns = 8
	if limits.ConnectTimeout == 0 {
		limits.ConnectTimeout = testTimeout
	}
	if limits.IdleTimeout == 0 {
		limits.IdleTimeout = time.Minute
	}
	ends := make(chan core.Ended, 100)
	return NewFleet(limits, func() float64 { return 1000 }, func(e core.Ended) { ends <- e }, zerolog.Nop()), ends
}

func nextEnd(t *testing.T, ends chan core.Ended) core.Ended {
	select {
	case e := <-ends:
		return e
	case <-time.After(testTimeout):
		require.Fail(t, "timeout waiting for the end of an attempt")
		return core.Ended{}
	}
}

func testCall(host, addr string, refs ...int64) core.Call {
	c := core.Call{Host: host, Addr: addr}
	for _, ref := range refs {
		c.Parts = append(c.Parts, core.CallPart{Ref: ref, ID: "q." + string(rune('0'+ref)), Shard: int(ref), Deadline: 1239.5, Text: "txt"})
	}
	return c
}

func TestFrames(t *testing.T) {
	n := newStubNode(t)
	f, ends := testFleet(t, ConnLimits{})
	require.True(t, f.Call(core.Call{Host: "a", Addr: n.addr(), Parts: []core.CallPart{
		{Ref: 1, ID: "9b1f03aa5c7e2d41.3", Shard: 3, Deadline: 1239.5, Key: "5c0f", Text: "c41e77d0"},
		{Ref: 2, ID: "9b1f03aa5c7e2d41.5.get", Shard: 5, Deadline: 1090, AnsweredShards: "3+5", FirstStepComplete: true, Text: "two\nlines"},
		{Ref: 3, ID: "9b1f03aa5c7e2d41.6.get", Shard: 6, Deadline: 1090, AnsweredShards: "6"}}}))
	k := n.accept()
	assert.Equal(t, "R9b1f03aa5c7e2d41.3 3 d=240,k=5c0f 8\nc41e77d0"+
		"9b1f03aa5c7e2d41.5.get 5 d=90,from=3+5,whole=1 9\ntwo\nlines9b1f03aa5c7e2d41.6.get 6 d=90,from=6,whole=0 0\n", k.frame())
	k.send("Y9b1f03aa5c7e2d41.5.get OK 1840277719 inflight=7,util=0.61,novel=x,queue=-1,eps=NaN\nv\n1")
	assert.Equal(t, core.Ended{Ref: 2, Reason: core.Answered, At: 1000, Score: 1840277719, Value: "v\n1",
		Load: map[string]float64{"running": 7, "busy": 0.61}}, nextEnd(t, ends))
	k.send("Y9b1f03aa5c7e2d41.5.get OK 1 -\nagain")
	k.send("Y9b1f03aa5c7e2d41.3 REJECTED 0 -\n")
	assert.Equal(t, core.Ended{Ref: 1, Reason: core.Rejected, At: 1000}, nextEnd(t, ends), "a duplicate answer does not affect other attempts")
	f.Cancel(core.Cancel{Host: "a", Ref: 3})
	assert.Equal(t, "A9b1f03aa5c7e2d41.6.get", k.frame())
	assert.EqualValues(t, 1, f.Stats.Unknown.Load())
	assert.Empty(t, k.frame(), "closed once nothing is in flight")
}

// A connection on which a part was canceled takes no further calls: the canceled part occupies a slot at the node, and
// a node whose slots are all occupied stops reading, so it does not read the cancellation either.
func TestRetired(t *testing.T) {
	n := newStubNode(t)
	f, ends := testFleet(t, ConnLimits{})
	f.Call(testCall("a", n.addr(), 1, 2))
	k := n.accept()
	k.frame()
	f.Cancel(core.Cancel{Host: "a", Ref: 1})
	assert.Equal(t, "Aq.1", k.frame())
	f.Call(testCall("a", n.addr(), 3))
	assert.Contains(t, n.accept().frame(), "q.3", "on another connection")
	k.send("Yq.1 OK 1 -\nlate") // a late answer to a canceled part is not an error
	k.send("Yq.2 OK 1 -\nv")
	assert.Equal(t, core.Ended{Ref: 2, Reason: core.Answered, At: 1000, Score: 1, Value: "v"}, nextEnd(t, ends))
	assert.Empty(t, k.frame(), "closed after the remaining answer")
}

// Calls that arrive while others are in flight soon get a connection of their own, so that the failure of one
// connection affects few parts. They do not wait for it while another connection is established.
func TestSpread(t *testing.T) {
	n := newStubNode(t)
	f, ends := testFleet(t, ConnLimits{})
	f.Call(testCall("a", n.addr(), 1))
	k := n.accept()
	k.frame()
	f.Call(testCall("a", n.addr(), 2))
	assert.Contains(t, k.frame(), "q.2", "on the established connection")
	k2 := n.accept()
	ref := int64(3) // the node accepts before the peer sees the connection established; until then calls use the first
	require.Eventually(t, func() bool {
		f.Call(testCall("a", n.addr(), ref))
		ref++
		k2.conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		_, err := k2.in.Peek(1)
		return err == nil
	}, testTimeout, time.Millisecond)
	k2.conn.SetDeadline(time.Now().Add(testTimeout))
	assert.Contains(t, k2.frame(), "q.")
	k.send("Yq.1 OK 1 -\nv")
	assert.Equal(t, core.Answered, nextEnd(t, ends).Reason)
	// Calls sent on the first connection meanwhile may be unread there, and a full close would then reset it.
	require.NoError(t, k.conn.(*net.TCPConn).CloseWrite())
	assert.Equal(t, core.PeerClosed, nextEnd(t, ends).Reason)
	f.Call(testCall("a", n.addr(), ref))
	assert.Contains(t, k2.frame(), "q.", "later calls use the second connection")
}

// When a connection ends, each part in flight on it ends exactly once, with the end that matches the cause.
func TestConnectionEnds(t *testing.T) {
	say := func(frame string) func(*nodeConn) { return func(k *nodeConn) { k.send(frame) } }
	raw := func(b string) func(*nodeConn) { return func(k *nodeConn) { k.conn.Write([]byte(b)); k.conn.Close() } }
	for name, c := range map[string]struct {
		do   func(*nodeConn)
		want core.EndReason
	}{
		"closed":                      {func(k *nodeConn) { k.conn.Close() }, core.PeerClosed},
		"reset":                       {func(k *nodeConn) { k.conn.(*net.TCPConn).SetLinger(0); k.conn.Close() }, core.ReadFailed},
		"closed within a frame":       {raw("\x00\x00\x00\x10Yq.1 O"), core.ReadFailed},
		"closed within a length":      {raw("\x00\x00"), core.ReadFailed},
		"not usable":                  {say("Nno such shard"), core.FrameRejected},
		"an empty frame":              {raw("\x00\x00\x00\x00"), core.BadFrame},
		"an absurd length":            {raw("\xff\xff\xff\xffY"), core.BadFrame},
		"an unknown letter":           {say("Zq.1 OK 1 -\n"), core.BadFrame},
		"an unsolicited health check": {say("GOK"), core.BadFrame},
		"no line end":                 {say("Yq.1 OK 1 -"), core.BadFrame},
		"a missing field":             {say("Yq.1 OK 1\nv"), core.BadFrame},
		"an unknown end":              {say("Yq.1 MAYBE 1 -\nv"), core.BadFrame},
		"an invalid score":            {say("Yq.1 OK much -\nv"), core.BadFrame},
		"an unsolicited id":           {say("Yq.7 OK 1 -\nv"), core.BadFrame},
		"a frame that stops coming":   {func(k *nodeConn) { k.conn.Write([]byte("\x00\x00\x00\x10Yq.1 O")) }, core.BadFrame},
	} {
		n := newStubNode(t)
		f, ends := testFleet(t, ConnLimits{ConnectTimeout: 200 * time.Millisecond})
		require.True(t, f.Call(testCall("a", n.addr(), 1, 2)), name)
		k := n.accept()
		require.NotEmpty(t, k.frame(), name)
		c.do(k)
		got := map[int64]core.EndReason{}
		for range 2 {
			e := nextEnd(t, ends)
			got[e.Ref] = e.Reason
		}
		assert.Equal(t, map[int64]core.EndReason{1: c.want, 2: c.want}, got, name)
		require.True(t, f.Call(testCall("a", n.addr(), 3)), name)
		assert.Contains(t, n.accept().frame(), "q.3", "%s: the next call opens a new connection", name)
		assert.Equal(t, 1, f.Conns(), name)
	}
}

func TestCannotConnect(t *testing.T) {
	n := newStubNode(t)
	n.ln.Close()
	f, ends := testFleet(t, ConnLimits{})
	require.True(t, f.Call(testCall("a", n.addr(), 1, 2)))
	assert.Equal(t, core.DialRefused, nextEnd(t, ends).Reason)
	assert.Equal(t, core.DialRefused, nextEnd(t, ends).Reason)
	assert.Zero(t, f.Conns())
}

// idlePeer returns a peer whose actor does not run; the test processes its messages.
func idlePeer(f *Fleet, host, addr string) *peer {
	p := newPeer(f, host, addr)
	p.mailbox = make(chan any, 2)
	f.peers[host] = p
	return p
}

// connect handles messages until the pending dial has completed.
func (p *peer) connect(t *testing.T) {
	for over := time.After(testTimeout); ; {
		select {
		case m := <-p.mailbox:
			p.handle(m)
			if _, up := m.(dialed); up {
				return
			}
		case <-over:
			require.Fail(t, "timeout waiting for the dial")
		}
	}
}

// fillSendBuffer sends calls to a node that does not read until the send buffer is full and two calls are queued.
func (p *peer) fillSendBuffer(t *testing.T, n *stubNode) (*nodeConn, *connection) {
	p.handle(testCall("a", n.addr(), 1))
	c := p.conns[0]
	p.connect(t)
	k := n.accept()
	require.NoError(t, k.conn.(*net.TCPConn).SetReadBuffer(1<<16))
	require.NoError(t, c.conn.(*net.TCPConn).SetWriteBuffer(1<<16)) // otherwise the kernel may enlarge the buffer
	retry := func() {
		c.stalled = false
		p.flush(c)
	}
	p.processPending()
	for ref, unchanged := int64(2), 0; unchanged < 3; {
		for ; len(c.queue) < 2; ref++ {
			require.Contains(t, p.conns, c, "the connection broke while it was filled")
			v := testCall("a", n.addr(), ref)
			v.Parts[0].ID, v.Parts[0].Text = fmt.Sprint("q.", ref), strings.Repeat("x", 60000)
			c.stalled, unchanged = false, 0
			p.handle(v)
			p.flush(c)
		}
		before := len(c.queue) + len(c.partial)
		time.Sleep(writeRetryDelay) // the kernel may accept more a moment later
		if retry(); len(c.queue)+len(c.partial) == before {
			unchanged++
		}
	}
	return k, c
}

func TestWaitingForAConnection(t *testing.T) {
	n := newStubNode(t)
	f, ends := testFleet(t, ConnLimits{})
	p := idlePeer(f, "a", n.addr())
	c := testCall("a", n.addr(), 1, 2, 3)
	c.Parts[1].NotAfter = 999 // the clock is fixed at 1000
	p.handle(c)
	f.Cancel(core.Cancel{Host: "a", Ref: 1})
	p.handle(testCall("a", n.addr(), 4))
	f.Cancel(core.Cancel{Host: "a", Ref: 4})
	p.connect(t)
	p.processPending()
	assert.Equal(t, core.Ended{Ref: 2, Reason: core.WriteExpired, At: 1000}, nextEnd(t, ends))
	k := n.accept()
	assert.Equal(t, "Rq.3 3 d=240 3\ntxt", k.frame(), "canceled and expired parts are not written")
	f.Cancel(core.Cancel{Host: "a", Ref: 3})
	p.processPending()
	assert.Equal(t, "Aq.3", k.frame())
}

// A full mailbox rejects calls without blocking, but commands bypass it: an attempt that was canceled before its
// connection is established is never written, and a move is applied.
func TestFullMailbox(t *testing.T) {
	n := newStubNode(t)
	f, _ := testFleet(t, ConnLimits{})
	p := idlePeer(f, "a", n.addr())
	assert.True(t, f.Call(testCall("a", "", 1)))
	assert.True(t, f.Call(testCall("a", "", 2)))
	assert.False(t, f.Call(testCall("a", "", 3)))
	f.Cancel(core.Cancel{Host: "a", Ref: 1})
	p.processPending()
	p.connect(t)
	p.processPending()
	assert.Contains(t, n.accept().frame(), "q.2")
	f.Call(testCall("a", "", 4))
	f.Call(testCall("a", "", 5))
	f.Move(core.NodeChange{Host: "a", Gone: true})
	p.processPending()
	assert.True(t, p.gone)
}

// Calls that are queued for a connection when the node starts draining or is gone are never written: they would reach
// the node as new attempts long after the list excluded it. They end as withdrawn, so other nodes may get them.
func TestDrainWithdraws(t *testing.T) {
	for name, m := range map[string]core.NodeChange{
		"draining": {Host: "a", Draining: true},
		"gone":     {Host: "a", Gone: true},
	} {
		n := newStubNode(t)
		f, ends := testFleet(t, ConnLimits{})
		p := idlePeer(f, "a", n.addr())
		p.handle(testCall("a", n.addr(), 1, 2))
		f.Move(m)
		p.connect(t)
		p.processPending()
		for ref := range int64(2) {
			assert.Equal(t, core.Ended{Ref: ref + 1, Reason: core.NodeRemoved, At: 1000}, nextEnd(t, ends), name)
		}
		if m.Gone {
			assert.Empty(t, n.accept().frame(), name)
			continue
		}
		f.Move(core.NodeChange{Host: "a"}) // the node serves again
		p.handle(testCall("a", n.addr(), 3))
		p.processPending()
		assert.Contains(t, n.accept().frame(), "q.3", name)
	}
}

// A node that does not read blocks nothing else: its other connections work, queued calls can be canceled, and a call
// that is written once the node reads again carries the time that remains then.
func TestNodeThatReadsNothing(t *testing.T) {
	n := newStubNode(t)
	f, ends := testFleet(t, ConnLimits{PerConn: 1 << 20})
	now := 1000.0
	f.now = func() float64 { return now }
	p := idlePeer(f, "a", n.addr())
	p.mailbox = make(chan any, mailboxSize)
	k, stalled := p.fillSendBuffer(t, n)
	unsent := stalled.unsent()
	require.Len(t, unsent, 2)
	p.handle(testCall("a", n.addr(), 900))
	p.connect(t)
	p.processPending()
	assert.Contains(t, n.accept().frame(), "q.", "another connection")
	f.Cancel(core.Cancel{Host: "a", Ref: unsent[0]})
	now = 1100
	require.NoError(t, k.conn.(*net.TCPConn).SetReadBuffer(1<<22))
	go p.run()
	var last string
	for want := fmt.Sprintf("Rq.%d ", unsent[1]); !strings.HasPrefix(last, want); {
		last = k.frame()
		require.NotEmpty(t, last)
		assert.False(t, strings.HasPrefix(last, fmt.Sprintf("Rq.%d ", unsent[0])), "a canceled call is not written")
	}
	assert.Contains(t, last[:min(40, len(last))], " d=140 ", "the time remaining at the write")
	k.send(fmt.Sprintf("Yq.%d OK 0 -\nv", unsent[1]))
	assert.Equal(t, core.Answered, nextEnd(t, ends).Reason)
}

// A connection that accepts no byte for the length of the connect timeout has failed. Attempts that were not completely
// written did not run; the others may have.
func TestStalledForLong(t *testing.T) {
	n := newStubNode(t)
	f, ends := testFleet(t, ConnLimits{PerConn: 1 << 20})
	p := idlePeer(f, "a", n.addr())
	p.mailbox = make(chan any, mailboxSize)
	_, c := p.fillSendBuffer(t, n)
	f.limits.ConnectTimeout = 50 * time.Millisecond // set only now: on a loaded machine filling takes longer, and the connection would fail meanwhile
	inFlight := len(c.attempts)
	got := map[core.EndReason]int{}
	go p.run()
	for range inFlight {
		got[nextEnd(t, ends).Reason]++
	}
	assert.Equal(t, 3, got[core.WriteFailed], "one partly written, two queued")
	assert.Equal(t, inFlight-3, got[core.ReadFailed])
}

func TestRoom(t *testing.T) {
	n := newStubNode(t)
	f, ends := testFleet(t, ConnLimits{PerConn: 2})
	f.Call(testCall("a", n.addr(), 1))
	f.Call(testCall("a", n.addr(), 2))
	k := n.accept()
	k.frame()
	k.frame()
	f.Call(testCall("a", n.addr(), 3)) // the connection is full: a further one opens
	k3 := n.accept()
	assert.Contains(t, k3.frame(), "q.3")
	k.send("Yq.1 OK 0 -\n")
	nextEnd(t, ends)
	f.Call(testCall("a", n.addr(), 4, 5)) // one free slot on each does not fit a call with two parts
	k4 := n.accept()
	assert.Contains(t, k4.frame(), "q.5")
	assert.Equal(t, 3, f.Conns())
	same := testCall("a", n.addr(), 6)
	same.Parts[0].ID = "q.3" // a second dispatch of a part in flight: its answers would be ambiguous
	f.Call(same)
	assert.Contains(t, k.frame(), "q.3")
	many := testCall("b", n.addr(), 1)
	for i := range 6 { // eight connections is the limit
		many.Host = string(rune('b' + i))
		f.Call(many)
	}
	assert.Equal(t, core.QueueFull, nextEnd(t, ends).Reason)
	// A rejected connection is included in the count for a moment.
	assert.Eventually(t, func() bool { return f.Conns() <= 8 }, testTimeout, time.Millisecond)
}

// When a node moves or is gone, its old connections stay open while attempts are in flight, and take no new calls.
func TestMoves(t *testing.T) {
	old, other := newStubNode(t), newStubNode(t)
	f, ends := testFleet(t, ConnLimits{})
	f.Call(testCall("a", old.addr(), 1))
	k := old.accept()
	k.frame()
	f.Move(core.NodeChange{Host: "a", Addr: other.addr()})
	f.Call(testCall("a", other.addr(), 2))
	k2 := other.accept()
	assert.Contains(t, k2.frame(), "q.2")
	k.send("Yq.1 OK 0 -\n")
	assert.Equal(t, core.Answered, nextEnd(t, ends).Reason)
	assert.Empty(t, k.frame(), "the old connection is closed once nothing is in flight on it")
	f.Move(core.NodeChange{Host: "a", Addr: other.addr(), Gone: true})
	k2.send("Yq.2 OK 0 -\n")
	assert.Equal(t, core.Answered, nextEnd(t, ends).Reason)
	assert.Empty(t, k2.frame())
	p := f.peers["a"]
	<-p.ended
	f.Call(testCall("a", other.addr(), 3)) // the node is back
	assert.Contains(t, other.accept().frame(), "q.3")
}

func TestIdle(t *testing.T) {
	n := newStubNode(t)
	f, ends := testFleet(t, ConnLimits{IdleTimeout: 2 * time.Second}) // less the margin this expires at the next check
	f.Call(testCall("a", n.addr(), 1))
	k := n.accept()
	k.frame()
	k.send("Yq.1 OK 0 -\n")
	nextEnd(t, ends)
	assert.Empty(t, k.frame(), "closed before the node does")
}

func FuzzAnswer(f *testing.F) {
	f.Add([]byte("q.1 OK 1 inflight=1\nv"))
	f.Fuzz(func(t *testing.T, rest []byte) {
		if a, err := readAnswer(rest); err == nil {
			assert.NotEmpty(t, a.id)
			assert.Contains(t, []core.EndReason{core.Answered, core.AnsweredError, core.Rejected}, a.end)
		}
	})
}

// Probes are answered in order on a connection that also carries calls, and end when it fails.
func TestProbes(t *testing.T) {
	n := newStubNode(t)
	f, ends := testFleet(t, ConnLimits{})
	require.True(t, f.Probe(core.Probe{Host: "a", Addr: n.addr(), Ref: 1}))
	k := n.accept()
	assert.Equal(t, "T", k.frame())
	require.True(t, f.Probe(core.Probe{Host: "a", Addr: n.addr(), Ref: 2}))
	require.True(t, f.Call(testCall("a", n.addr(), 3)))
	assert.Equal(t, "T", k.frame())
	assert.Contains(t, k.frame(), "q.3")
	k.send("Tutil=0.5,queue=3")
	assert.Equal(t, core.Ended{Ref: 1, Reason: core.Answered, At: 1000, Load: map[string]float64{"busy": 0.5, "waiting": 3}}, nextEnd(t, ends))
	k.send("TERROR")
	assert.Equal(t, core.Ended{Ref: 2, Reason: core.AnsweredError, At: 1000}, nextEnd(t, ends))
	k.send("T-")
	require.Eventually(t, func() bool { return f.Stats.Unknown.Load() == 1 }, testTimeout, time.Millisecond, "an unsolicited answer to a probe")
	f.Probe(core.Probe{Host: "a", Addr: n.addr(), Ref: 4})
	assert.Equal(t, "T", k.frame())
	k.conn.Close()
	got := map[int64]core.EndReason{}
	for range 2 {
		e := nextEnd(t, ends)
		got[e.Ref] = e.Reason
	}
	assert.Equal(t, map[int64]core.EndReason{3: core.PeerClosed, 4: core.PeerClosed}, got)
}
