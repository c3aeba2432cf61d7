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

// recorder notes when how much is sent.
type recorder struct {
	netio.Datagrams
	mu    sync.Mutex
	begun time.Time
	bytes map[time.Duration]int // in each 100 ms
	last  time.Duration
	order []string
}

func (r *recorder) Send(b []byte, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.begun)
	r.bytes[at.Truncate(100*time.Millisecond)] += len(b) + datagramHeader
	r.last = at
	r.order = append(r.order, address)
}

// TestNotesLeaveRoomOnTheLink has a broker on a link of 10 Mbit/s tell ninety others what some instances keep. It takes a
// quarter of the link, in order, and nothing is lost; on a wide link all goes at once.
func TestNotesLeaveRoomOnTheLink(t *testing.T) {
	for _, c := range []struct {
		mbps         float64
		least, most  time.Duration
		mostInTenths int
	}{{10, 1300 * time.Millisecond, 1500 * time.Millisecond, 40_000}, {1000, 0, 20 * time.Millisecond, 1 << 20}} {
		synctest.Test(t, func(t *testing.T) {
			r := &recorder{begun: time.Now(), bytes: map[time.Duration]int{}}
			n := &Node{settings: &settings.Settings{PortFirst: 7000, PortLast: 7001}, notes: r, paced: newPacer(c.mbps)}
			var members []Member
			for number := range 90 {
				members = append(members, Member{IP: fmt.Sprintf("10.0.0.%d", number+1)})
			}
			for range 4 {
				n.TellKept(make([]byte, 1200), members)
			}
			if waits := n.KeptWaits(); waits != (c.mbps < 100) {
				t.Errorf("%v Mbit/s: something waits: %t", c.mbps, waits)
			}
			time.Sleep(10 * time.Second)
			r.mu.Lock()
			defer r.mu.Unlock()
			if n.KeptWaits() || len(r.order) != 4*len(members) {
				t.Fatalf("%v Mbit/s: %d datagrams were sent", c.mbps, len(r.order))
			}
			if r.last < c.least || r.last > c.most {
				t.Errorf("%v Mbit/s: it took %v", c.mbps, r.last)
			}
			for at, bytes := range r.bytes {
				if bytes > c.mostInTenths {
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
