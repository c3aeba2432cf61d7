package fleettest

import (
	"net"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestSchedules(t *testing.T) {
	s := RandomSchedule(7, 5, 12, 10*time.Second)
	assert.Equal(t, s, RandomSchedule(7, 5, 12, 10*time.Second), "equal seeds give equal schedules")
	assert.NotEqual(t, s, RandomSchedule(8, 5, 12, 10*time.Second))
	again, err := Parse(s.String())
	require.NoError(t, err)
	assert.Equal(t, s, again, "Parse reads what String writes")
	for text, want := range map[string]string{"1s 2s dance 1 2": `line 1 of the schedule: unknown fault "dance"`, "1s 1s kill 0 0\nx 1s kill 0 0": "line 2", "1s": "line 1"} {
		_, err := Parse(text)
		assert.ErrorContains(t, err, want)
	}
	// A schedule fails when it holds a kill of member 3 and any split: Shrink removes all other faults and shortens these two.
	s = append(s, Event{For: 4 * time.Second, Fault: "kill", Member: 3}, Event{For: 4 * time.Second, Fault: "split", Member: 5})
	fails := func(s Schedule) bool {
		return slices.ContainsFunc(s, func(e Event) bool { return e.Fault == "kill" && e.Member == 3 }) &&
			slices.ContainsFunc(s, func(e Event) bool { return e.Fault == "split" })
	}
	small := Shrink(s, 200, fails)
	assert.Len(t, small, 2)
	assert.True(t, fails(small))
	assert.Less(t, small[1].For, time.Second)
	n := 0
	Shrink(s, 5, func(Schedule) bool { n++; return true })
	assert.Equal(t, 5, n)
}

// Each direction of each pair of members has its own link, and a datagram arrives with the advertised address of its sender.
func TestSwitch(t *testing.T) {
	var conns []*net.UDPConn
	var members []*Member
	for i := range 2 {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		defer c.Close()
		conns, members = append(conns, c), append(members, &Member{Index: i, UDP: c.LocalAddr().String()})
	}
	s, err := NewSwitch(members, 1)
	require.NoError(t, err)
	defer s.Close()
	send := func(from int, text string) {
		to, _ := net.ResolveUDPAddr("udp", members[1-from].Advertise)
		_, err := conns[from].WriteTo([]byte(text), to)
		require.NoError(t, err)
	}
	receive := func(at int) (string, string) {
		buf := make([]byte, 64)
		conns[at].SetReadDeadline(time.Now().Add(5 * time.Second))
		n, from, err := conns[at].ReadFrom(buf)
		require.NoError(t, err)
		return string(buf[:n]), from.String()
	}
	send(0, "one")
	text, from := receive(1)
	assert.Equal(t, [2]string{"one", members[0].Advertise}, [2]string{text, from}, "the source is the advertised address of the sender")
	s.Set(0, 1, func(l *Link) { l.Cut = true })
	send(0, "lost")
	require.NoError(t, WaitUntil(5*time.Second, func() bool { // the switch, which reads in another goroutine, has received it
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.recorded) == 2
	}))
	send(1, "back")
	text, _ = receive(0)
	assert.Equal(t, "back", text, "the other direction still passes")
	s.Heal()
	s.Set(0, 1, func(l *Link) { l.Duplicate = 1 })
	send(0, "two")
	for range 2 {
		text, _ = receive(1)
		assert.Equal(t, "two", text)
	}
	s.Heal()
	s.Set(0, 1, func(l *Link) { l.Flip = 1 })
	send(0, "three")
	text, _ = receive(1)
	assert.NotEqual(t, "three", text)
	assert.Len(t, text, 5)
	s.Heal()
	assert.Equal(t, 5, s.Replay())
	var all []string
	for range 4 {
		text, _ = receive(1)
		all = append(all, text)
	}
	assert.ElementsMatch(t, []string{"one", "lost", "two", "three"}, all, "datagrams are recorded before faults apply to them")
}

// A TCPProxy delays or drops the data of the connections from one broker to a store, or resets them.
func TestWire(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				buf := make([]byte, 16)
				for {
					n, err := c.Read(buf)
					if err != nil {
						return
					}
					c.Write(buf[:n])
				}
			}()
		}
	}()
	w, err := NewTCPProxy(ln.Addr().String())
	require.NoError(t, err)
	defer w.Close()
	c, err := net.Dial("tcp", w.Addr)
	require.NoError(t, err)
	defer c.Close()
	echo := func(within time.Duration) error {
		c.SetDeadline(time.Now().Add(within))
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		_, err := c.Read(make([]byte, 1))
		return err
	}
	assert.NoError(t, echo(5*time.Second))
	w.SetMode(Slow, 50*time.Millisecond)
	begun := time.Now()
	assert.NoError(t, echo(5*time.Second))
	assert.GreaterOrEqual(t, time.Since(begun), 100*time.Millisecond, "delayed in both directions")
	w.SetMode(Blackhole, 0)
	var late net.Error
	assert.ErrorAs(t, echo(100*time.Millisecond), &late)
	w.SetMode(Reset, 0)
	assert.Error(t, echo(5*time.Second))
}
