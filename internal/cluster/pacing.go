package cluster

import (
	"sync"
	"time"

	"github.com/gammazero/deque"
)

const (
	paceEvery      = 20 * time.Millisecond // interval between sends while notes are queued
	cacheNoteShare = 0.25                  // fraction of the machine's link that notes of cached prefixes may use
	datagramHeader = 28                    // size of the IP and UDP headers in bytes
	bytesPerMbit   = 1e6 / 8
)

// outgoing is a queued datagram and its destination.
type outgoing struct {
	datagram []byte
	address  string
}

// pacer queues datagrams until the link has capacity. It is a token bucket with a burst of the bytes that the rate
// allows in paceEvery.
type pacer struct {
	rate float64 // bytes per second

	mu        sync.Mutex
	queue     deque.Deque[outgoing]
	tokens    float64
	updatedAt time.Time // when tokens was last updated
	scheduled bool      // a timer is set for the queued datagrams
}

func newPacer(linkMbps float64) *pacer {
	return &pacer{rate: cacheNoteShare * linkMbps * bytesPerMbit}
}

func (p *pacer) put(o outgoing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.PushBack(o)
}

// hasQueued reports whether datagrams are queued.
func (p *pacer) hasQueued() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Len() > 0
}

// take returns the datagrams to send now, and whether the caller must call again after paceEvery. scheduled says
// whether this call is such a repeated one.
func (p *pacer) take(now time.Time, scheduled bool) (send []outgoing, again bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduled = p.scheduled && !scheduled
	p.tokens = min(p.rate*paceEvery.Seconds(), p.tokens+p.rate*now.Sub(p.updatedAt).Seconds())
	p.updatedAt = now
	for p.queue.Len() > 0 && p.tokens > 0 {
		o := p.queue.PopFront()
		p.tokens -= float64(len(o.datagram) + datagramHeader)
		send = append(send, o)
	}
	again = p.queue.Len() > 0 && !p.scheduled
	p.scheduled = p.scheduled || again
	return send, again
}
