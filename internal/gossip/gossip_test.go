package gossip

import (
	"bytes"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"gullstair/internal/duties"
	"gullstair/internal/membership"
	"gullstair/internal/memberstate"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func key(n uint8) Key { return Key{n, bytes.Repeat([]byte{n}, 32)} }

func sealer(t *testing.T, boot uint64, keys ...Key) *Sealer {
	s, err := NewSealer(boot, keys, 1000)
	require.NoError(t, err)
	return s
}

func TestSeal(t *testing.T) {
	from, to := sealer(t, 7, key(1)), sealer(t, 8, key(2), key(1))
	d, err := from.Seal([]byte("body"), 5000)
	require.NoError(t, err)
	flipped := func(at int) []byte {
		c := bytes.Clone(d)
		c[at] ^= 1
		return c
	}
	for name, c := range map[string]struct {
		d    []byte
		wall float64
		want error
	}{
		"too short":    {d[:20], 5000, ErrShort},
		"empty":        {nil, 5000, ErrShort},
		"too long":     {make([]byte, MaxDatagram+1), 5000, ErrShort},
		"version":      {flipped(0), 5000, ErrVersion},
		"key":          {flipped(1), 5000, ErrKey},
		"body":         {flipped(27), 5000, ErrForged},
		"count":        {flipped(10), 5000, ErrForged},
		"seal":         {flipped(len(d) - 1), 5000, ErrForged},
		"truncated":    {d[:len(d)-1], 5000, ErrForged},
		"stale":        {d, 6001, ErrStale},
		"future clock": {d, 3999, ErrStale},
		"unknown key":  {must(sealer(t, 9, key(3)).Seal([]byte("x"), 5000)), 5000, ErrKey},
	} {
		_, err := to.Open(c.d, c.wall)
		assert.ErrorIs(t, err, c.want, name)
	}
	assert.Empty(t, to.senders, "rejected datagrams leave no state")
	body, err := to.Open(d, 5900)
	require.NoError(t, err)
	assert.Equal(t, "body", string(body))
	_, err = to.Open(d, 5900)
	assert.ErrorIs(t, err, ErrReplayed)
	_, err = from.Seal(make([]byte, MaxDatagram), 5000)
	assert.Error(t, err)
	assert.Error(t, to.Rekey(nil))
	assert.Error(t, to.Rekey([]Key{{1, []byte("short")}}))
	assert.Error(t, to.Rekey([]Key{key(1), key(1)}))
}

func must(d []byte, _ error) []byte { return d }

// The replay window accepts each counter once, in any order and with gaps of any size.
func TestWindow(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		var w replayWindow
		taken, newest := map[uint64]bool{}, uint64(0)
		at := uint64(1 + r.IntN(5000))
		for range 3000 {
			at += uint64(r.IntN(4))
			if r.IntN(100) == 0 {
				at += uint64(r.IntN(3000))
			}
			count := at - min(at, uint64(r.IntN(1500)))
			want := count > 0 && !taken[count] && (count > newest || newest-count < windowBits)
			require.Equal(t, want, w.accept(count), "%d after %d", count, newest)
			if want {
				taken[count], newest = true, max(newest, count)
			}
		}
	}
}

// The number of tracked senders is bounded, also if a member invents process numbers. Stale senders are evicted.
func TestSenders(t *testing.T) {
	to := sealer(t, 1, key(1))
	for boot := range uint64(maxSenders) {
		_, err := to.Open(must(sealer(t, boot+10, key(1)).Seal(nil, 5000)), 5000)
		require.NoError(t, err)
	}
	_, err := to.Open(must(sealer(t, 5, key(1)).Seal(nil, 5000)), 5000)
	assert.ErrorIs(t, err, ErrSender)
	_, err = to.Open(must(sealer(t, 5, key(1)).Seal(nil, 8000)), 8000)
	assert.NoError(t, err)
	assert.Len(t, to.senders, 1)
}

// Encoded sizes stay within the sizes that the membership core accounts for, so no message exceeds a datagram.
func TestSizes(t *testing.T) {
	long := string(bytes.Repeat([]byte{'n'}, 100))
	m := membership.Member{Name: long, Addr: "[2001:db8:0000:0000:0000:ff00:0042:8329]:65535", Boot: 1<<64 - 1,
		Incarnation: 1<<64 - 1, State: membership.Suspect, Weight: 1.1, By: long}
	data, err := memberstate.Marshal(&m)
	require.NoError(t, err)
	assert.LessOrEqual(t, len(data), membership.Size(m))
	record := duties.Record{Duty: 1<<64 - 1, Item: 1<<64 - 1, Age: 1.1, By: 1<<64 - 1}
	data, err = memberstate.Marshal(&record)
	require.NoError(t, err)
	assert.LessOrEqual(t, len(data), 56)
	e := memberstate.Envelope{From: long, To: long, Member: &membership.Message{Seq: 1<<32 - 1, From: long, To: long}}
	data, err = memberstate.Marshal(&e)
	require.NoError(t, err)
	assert.LessOrEqual(t, len(data), 1400-membership.Standard().MaxMessageBytes+80+200, "message header")
}

// A correctly sealed body that is not an envelope is rejected without large allocations.
func TestBodies(t *testing.T) {
	from, to := sealer(t, 7, key(1)), sealer(t, 8, key(1))
	c := &Carrier{sealer: to, wall: func() float64 { return 5000 }}
	r := rand.New(rand.NewPCG(3, 4))
	good, err := memberstate.Marshal(&memberstate.Envelope{From: "a", Member: &membership.Message{Kind: membership.Ping,
		News: []membership.Member{{Name: "x", Weight: 1}}}})
	require.NoError(t, err)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range 20000 {
		body := bytes.Clone(good)
		switch i % 4 {
		case 0:
			body = body[:r.IntN(len(body))]
		case 1:
			body[r.IntN(len(body))] = byte(r.Uint32())
		case 2:
			body = make([]byte, r.IntN(100))
			for j := range body {
				body[j] = byte(r.Uint32())
			}
		case 3:
			// An array or a string with a declared length of four billion elements.
			body = append([]byte{[]byte{0xdd, 0xdb, 0xc6, 0xdf}[r.IntN(4)], 0xff, 0xff, 0xff, 0xff}, body...)
		}
		_, err := c.Read(must(from.Seal(body, 5000)))
		if err != nil {
			assert.ErrorIs(t, err, ErrBody)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(1<<20))
	assert.Less(t, (after.TotalAlloc-before.TotalAlloc)/20000, uint64(64<<10), "allocations per datagram are bounded")
}

func TestCarrier(t *testing.T) {
	wall := func() float64 { return 5000 }
	a, err := Listen("127.0.0.1:0", sealer(t, 1, key(1)), wall)
	require.NoError(t, err)
	b, err := Listen("127.0.0.1:0", sealer(t, 2, key(1)), wall)
	require.NoError(t, err)
	got, ended := make(chan string, 1), make(chan struct{})
	go func() {
		b.Run(func(addr string, e memberstate.Envelope) { got <- addr + " " + e.From + " " + e.To })
		close(ended)
	}()
	a.Send(b.Addr(), memberstate.Envelope{From: "a", To: "b", Page: &duties.Page{Want: true}})
	assert.Equal(t, a.Addr()+" a b", <-got)
	a.Send("nowhere", memberstate.Envelope{From: "a"})
	assert.Equal(t, int64(1), a.Counts().SendFailed)
	assert.Equal(t, int64(1), b.Counts().Received)
	_, err = Listen("name:1", sealer(t, 1, key(1)), wall)
	assert.ErrorContains(t, err, "gossip address")
	a.Close()
	b.Close()
	<-ended
}
