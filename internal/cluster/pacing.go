package cluster

import (
	"sync"
	"time"

	"github.com/gammazero/deque"
)

const (
	paceEvery      = 20 * time.Millisecond // between two times that waiting notes are sent
	noteShare      = 0.25                  // of the machine's link that notes of what instances keep may take
	datagramHeader = 28                    // bytes of IP and UDP
	bytesPerMbit   = 1e6 / 8
)

// outgoing is a datagram on its way to a broker.
type outgoing struct {
	datagram []byte
	address  string
}

// pacer has datagrams wait until the link has room for them: a token bucket of what the link carries in paceEvery.
type pacer struct {
	rate float64 // bytes a second

	mu        sync.Mutex
	queue     deque.Deque[outgoing]
	tokens    float64
	at        time.Time // when tokens was right
	scheduled bool      // someone comes back for what waits
}

func newPacer(linkMbps float64) *pacer {
	return &pacer{rate: noteShare * linkMbps * bytesPerMbit}
}

func (p *pacer) put(o outgoing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.PushBack(o)
}

// waits says whether there is something that found no room.
func (p *pacer) waits() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Len() > 0
}

// take returns what is to be sent now, and whether the caller is to come back after paceEvery. back: it does so.
func (p *pacer) take(now time.Time, back bool) (send []outgoing, again bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduled = p.scheduled && !back
	p.tokens = min(p.rate*paceEvery.Seconds(), p.tokens+p.rate*now.Sub(p.at).Seconds())
	p.at = now
	for p.queue.Len() > 0 && p.tokens > 0 {
		o := p.queue.PopFront()
		p.tokens -= float64(len(o.datagram) + datagramHeader)
		send = append(send, o)
	}
	again = p.queue.Len() > 0 && !p.scheduled
	p.scheduled = p.scheduled || again
	return send, again
}
