package readturns

import (
	"context"
	"sync"
	"time"

	"gullstair/internal/lifecycle"
)

const (
	turnTime  = 3 * time.Millisecond
	pauseTime = 200 * time.Microsecond // between two turns

	// An answer that sends no more than this needs no turns.
	freeBytes = 64 << 10  // at once
	freeRate  = 256 << 10 // bytes per second, afterwards
	// pieceCost is counted for each piece of an answer, besides its bytes.
	pieceCost = 512
)

// Turns gives out turns. It is safe for concurrent use.
type Turns struct {
	mu     sync.Mutex
	queue  queue[*Copy]
	holder *Copy
	until  time.Time // end of the holder's turn
	paused bool
	timer  *time.Timer // ends a turn or a pause
}

// New returns turns that nobody waits for.
func New() *Turns { return &Turns{} }

// Copy is the copying of one answer. One goroutine uses it.
type Copy struct {
	turns    *Turns
	server   string
	granted  chan struct{} // buffered; nil until the copy has waited
	waiting  bool          // in the queue
	received int64         // bytes that were counted
	credit   float64       // bytes that need no turn
	at       time.Time     // when the credit was computed
}

// Join begins the copying of an answer that comes from a server.
func (t *Turns) Join(server string) *Copy {
	return &Copy{turns: t, server: server, credit: freeBytes, at: time.Now()}
}

// Await waits until the next piece of the answer may be read and processed. received is the number of bytes of the answer that
// have arrived. It returns the context's error if the context ends first.
func (c *Copy) Await(ctx context.Context, received int64) error {
	now := time.Now()
	if c.free(now, received) {
		return nil
	}
	t := c.turns
	t.mu.Lock()
	if t.holder == c {
		if now.Before(t.until) {
			t.mu.Unlock()
			return nil
		}
		t.end()
	}
	if t.holder == nil && !t.paused {
		t.grant(c)
		t.mu.Unlock()
		return nil
	}
	if c.granted == nil {
		c.granted = make(chan struct{}, 1)
	}
	c.waiting = true
	t.queue.push(c.server, c)
	t.mu.Unlock()
	select {
	case <-c.granted:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// free reports whether the copy needs no turn, and counts the piece that was received last.
func (c *Copy) free(now time.Time, received int64) bool {
	cost := float64(received-c.received) + pieceCost
	c.credit = min(freeBytes, c.credit+now.Sub(c.at).Seconds()*freeRate) - cost
	c.credit = max(c.credit, -freeBytes)
	c.at, c.received = now, received
	return c.credit >= 0
}

// Leave ends the copying.
func (c *Copy) Leave() {
	t := c.turns
	t.mu.Lock()
	defer t.mu.Unlock()
	c.waiting = false
	if t.holder == c {
		t.end()
	}
}

// grant begins a turn. The caller holds t.mu.
func (t *Turns) grant(c *Copy) {
	t.holder, t.until = c, time.Now().Add(turnTime)
	t.setTimer(turnTime)
}

// end ends the holder's turn and begins a pause. The caller holds t.mu.
func (t *Turns) end() {
	t.holder, t.paused = nil, true
	t.setTimer(pauseTime)
}

func (t *Turns) setTimer(after time.Duration) {
	if t.timer == nil {
		t.timer = time.AfterFunc(after, lifecycle.Guard(t.onTimer))
		return
	}
	t.timer.Reset(after)
}

// onTimer ends the turn of a holder that has not come back, since it waits for its server or its client, or ends a pause.
func (t *Turns) onTimer() {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.holder != nil && time.Now().Before(t.until): // set again meanwhile
		t.setTimer(time.Until(t.until))
	case t.holder != nil:
		t.end()
	case t.paused:
		t.paused = false
		t.next()
	}
}

// next grants a turn to the next copy that still waits. The caller holds t.mu.
func (t *Turns) next() {
	for !t.queue.empty() {
		c := t.queue.pop()
		if !c.waiting {
			continue // it has left
		}
		c.waiting = false
		t.grant(c)
		c.granted <- struct{}{}
		return
	}
}
