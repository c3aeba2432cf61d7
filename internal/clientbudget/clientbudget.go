// Package clientbudget decides how much the clients of one process may hold together, in memory and in descriptors, and
// which client gives way when there is no room: the one that holds much and moves least. Amounts are counted when they are
// held, never when a client announces them. The package does no I/O and has no clock; its types are not safe for concurrent
// use.
package clientbudget

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNoRoom means that the clients hold all that they may, and that this one has to give way. Its request has not run.
var ErrNoRoom = errors.New("no room for what the client sends")

// RetryAfter is the time after which a client may come back that had to give way.
const RetryAfter = 300 * time.Millisecond

// What a process holds for a client, in bytes.
const (
	ConnectionBytes = 24 << 10 // a connection: its goroutine and its buffers
	RequestBytes    = 32 << 10 // a request, besides its head and its body
	AnswerBytes     = 32 << 10 // the receive queue of the connection from which a request's answer is read
	HeaderLineBytes = 512      // a line of a head, besides its bytes: entries of the header and of its copy for an instance
)

const (
	// memoryShare is the share of the process's memory that clients may hold.
	memoryShare = 1.0 / 4
	// descriptorShare is the share of the sockets that clients may hold, with the connections that serve their requests.
	descriptorShare = 5.0 / 8
	// fileDescriptors is the number of descriptors that are kept for files; of a small limit it is half.
	fileDescriptors = 200
	// receiveShare is the share of the memory for the receive queue of one connection.
	receiveShare     = 1.0 / 4096
	minReceiveBuffer = 16 << 10
	maxReceiveBuffer = 64 << 10
)

const (
	// LargeHolding is the number of bytes above which a client counts as large.
	LargeHolding = 160 << 10
	// largeShare is the share of the budget that large clients may fill. The rest is for ordinary requests.
	largeShare = 0.75
	// frontShare is the share that clients of the front may fill. The rest is for the fleet's own connections.
	frontShare = 0.875
	// leavingShare is the share of the budget up to which holders and those that have given way and are not closed yet
	// may use memory.
	leavingShare = 1.25
	// progressBytes is how much a client must send or receive to count as moving.
	progressBytes = 4 << 10
)

// Amount is what clients hold.
type Amount struct {
	Bytes       int64
	Descriptors int
}

func (a Amount) plus(b Amount) Amount {
	return Amount{Bytes: a.Bytes + b.Bytes, Descriptors: a.Descriptors + b.Descriptors}
}

func (a Amount) minus(b Amount) Amount {
	return Amount{Bytes: a.Bytes - b.Bytes, Descriptors: a.Descriptors - b.Descriptors}
}

func (a Amount) times(share float64) Amount {
	return Amount{Bytes: int64(float64(a.Bytes) * share), Descriptors: int(float64(a.Descriptors) * share)}
}

func (a Amount) within(limit Amount) bool {
	return a.Bytes <= limit.Bytes && a.Descriptors <= limit.Descriptors
}

// LimitFor returns what all clients of a process may hold of its memory, in bytes, and of its descriptors.
func LimitFor(memory int64, descriptors int) Amount {
	sockets := descriptors - min(fileDescriptors, descriptors/2)
	return Amount{Bytes: int64(float64(memory) * memoryShare), Descriptors: int(float64(sockets) * descriptorShare)}
}

// ReceiveBuffer returns the size in bytes of the receive buffer of a client's connection. Its queue holds up to
// QueueBytes of unread bytes.
func ReceiveBuffer(memory int64) int {
	return int(min(max(float64(memory)*receiveShare, minReceiveBuffer), maxReceiveBuffer))
}

// QueueBytes returns how much memory the kernel uses at most for a receive buffer of a size: it doubles what is set.
func QueueBytes(receiveBuffer int) int64 { return 2 * int64(receiveBuffer) }

// Stage is what a client's connection does.
type Stage int

// The stages of a connection.
const (
	Idle    Stage = iota // no byte of a request has arrived
	Head                 // the head of a request is being read
	Body                 // the body of a request is being read
	Working              // the request is carried out; it never gives way
	Writing              // a write to the client has begun and not ended
	Closing              // the connection waits until its client has read the last answer
)

// Holder is one client's connection. The caller keeps it and passes it to the budget.
type Holder struct {
	Control bool // of an operator, an instance, a probe or another broker: it has room that other clients do not take

	stage   Stage
	held    Amount
	since   time.Duration // when it last moved
	moved   int64         // bytes since then
	surplus bool          // the client has sent more than the request that is carried out
	evicted bool
}

// Stage returns the connection's stage.
func (h *Holder) Stage() Stage { return h.stage }

// Evicted reports whether the connection had to give way.
func (h *Holder) Evicted() bool { return h.evicted }

// Held returns what the connection holds.
func (h *Holder) Held() Amount { return h.held }

// MarkSurplus records that the client has sent more than the request that is carried out: until it is idle, it counts as
// large.
func (h *Holder) MarkSurplus() { h.surplus = true }

// Enter sets the stage at a time. A new stage counts as a movement.
func (h *Holder) Enter(stage Stage, now time.Duration) {
	if h.stage == stage {
		return
	}
	h.stage = stage
	if stage == Idle {
		h.surplus = false
	}
	h.Touch(now)
}

// Touch counts as a movement at a time.
func (h *Holder) Touch(now time.Duration) { h.since, h.moved = now, 0 }

// Moved records that n bytes were received or sent.
func (h *Holder) Moved(n int, now time.Duration) {
	if h.moved += int64(n); h.moved >= progressBytes {
		h.Touch(now)
	}
}

// weight orders the holders that give way: by what they hold, and for how long they have not moved.
func (h *Holder) weight(now time.Duration) float64 {
	return float64(h.held.Bytes) * float64(now-h.since)
}

// Budget is what all holders of a process may hold together.
type Budget struct {
	limit   Amount
	used    Amount
	leaving int64 // bytes of holders that have given way and are not closed yet
	holders map[*Holder]struct{}
}

// New returns an empty budget.
func New(limit Amount) *Budget { return &Budget{limit: limit, holders: map[*Holder]struct{}{}} }

// Used returns what all holders hold.
func (b *Budget) Used() Amount { return b.used }

// Open adds a holder that holds nothing.
func (b *Budget) Open(h *Holder, now time.Duration) {
	b.holders[h] = struct{}{}
	h.Touch(now)
}

// Fits reports whether there is room for more of a holder.
func (b *Budget) Fits(h *Holder, more Amount) bool {
	limit := b.limit
	if !h.Control {
		limit = limit.times(frontShare)
	}
	if h.surplus || h.held.Bytes+more.Bytes > LargeHolding {
		limit = limit.times(largeShare)
	}
	return b.used.plus(more).within(limit)
}

// Late reports whether so many holders have given way and are not closed yet that nothing more may be held for now.
func (b *Budget) Late(more Amount) bool {
	return float64(b.used.Bytes+b.leaving+more.Bytes) > float64(b.limit.Bytes)*leavingShare
}

// Add records that a holder holds more. A holder that had to give way is not counted any more.
func (b *Budget) Add(h *Holder, more Amount) {
	if _, open := b.holders[h]; !open {
		return
	}
	h.held = h.held.plus(more)
	b.used = b.used.plus(more)
}

// Drop records that a holder holds less.
func (b *Budget) Drop(h *Holder, less Amount) { b.Add(h, Amount{}.minus(less)) }

// Keep records that of all that a holder holds it keeps this much.
func (b *Budget) Keep(h *Holder, rest Amount) { b.Add(h, rest.minus(h.held)) }

// Victim returns the holder that gives way next, or nil if none may: one that has just moved does not.
func (b *Budget) Victim(now time.Duration) (victim *Holder) {
	most := 0.0
	for h := range b.holders {
		if h.stage == Working {
			continue
		}
		if weight := h.weight(now); weight > most {
			victim, most = h, weight
		}
	}
	return victim
}

// Evict records that a holder has to give way. Until it is closed, its memory is still in use.
func (b *Budget) Evict(h *Holder) {
	held := h.held
	b.Close(h)
	h.evicted, h.held = true, held
	b.leaving += held.Bytes
}

// Close removes a holder and all that it holds. It may be called again.
func (b *Budget) Close(h *Holder) {
	if h.evicted {
		b.leaving -= h.held.Bytes
		h.held = Amount{}
		return
	}
	b.Keep(h, Amount{})
	delete(b.holders, h)
}
