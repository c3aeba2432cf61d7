package cluster

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gullstair/internal/netio"
	"gullstair/internal/settings"
)

// recorder is a socket that records the time, size and destination of each datagram.
type recorder struct {
	netio.Datagrams
	mu        sync.Mutex
	startedAt time.Time
	bytes     map[time.Duration]int // by interval of 100 ms
	last      time.Duration
	order     []string
}

func (r *recorder) Send(b []byte, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.startedAt)
	r.bytes[at.Truncate(100*time.Millisecond)] += len(b) + datagramHeader
	r.last = at
	r.order = append(r.order, address)
}

// TestNotesLeaveRoomOnTheLink makes a broker on a link of 10 Mbit/s send notes of cached prefixes to ninety others.
// The notes must use at most a quarter of the link, stay in order and arrive completely. On a fast link all are sent
// at once.
func TestNotesLeaveRoomOnTheLink(t *testing.T) {
	for _, c := range []struct {
		mbps             float64
		minTime, maxTime time.Duration
		maxPerInterval   int
	}{{10, 1300 * time.Millisecond, 1500 * time.Millisecond, 40_000}, {1000, 0, 20 * time.Millisecond, 1 << 20}} {
		synctest.Test(t, func(t *testing.T) {
			r := &recorder{startedAt: time.Now(), bytes: map[time.Duration]int{}}
			n := &Node{settings: &settings.Settings{PortFirst: 7000, PortLast: 7001}, noteSocket: r, pacer: newPacer(c.mbps)}
			var members []Member
			for number := range 90 {
				members = append(members, Member{IP: fmt.Sprintf("10.0.0.%d", number+1)})
			}
			for range 4 {
				n.SendCacheNote(make([]byte, 1200), members)
			}
			if queued := n.CacheNotesQueued(); queued != (c.mbps < 100) {
				t.Errorf("%v Mbit/s: notes are queued: %t", c.mbps, queued)
			}
			time.Sleep(10 * time.Second)
			r.mu.Lock()
			defer r.mu.Unlock()
			if n.CacheNotesQueued() || len(r.order) != 4*len(members) {
				t.Fatalf("%v Mbit/s: %d datagrams were sent", c.mbps, len(r.order))
			}
			if r.last < c.minTime || r.last > c.maxTime {
				t.Errorf("%v Mbit/s: sending took %v", c.mbps, r.last)
			}
			for at, bytes := range r.bytes {
				if bytes > c.maxPerInterval {
					t.Errorf("%v Mbit/s: %d bytes in the 100 ms from %v on", c.mbps, bytes, at)
				}
			}
			for at, address := range r.order {
				if want := n.settings.PeerAddress(members[at%len(members)].IP); address != want {
					t.Fatalf("datagram %d goes to %s, not %s", at, address, want)
				}
			}
		})
	}
}
