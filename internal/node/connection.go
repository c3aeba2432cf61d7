package node

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"gullstair/internal/buffers"
	"gullstair/internal/core"
)

const (
	maxRecentIDs = 8
	// maxKeptBuffer is the maximum size of the encoding buffer that a peer keeps for reuse.
	maxKeptBuffer = buffers.Size
)

// connection is one connection to a node, established or being dialed. Messages stay in queue until it is established.
type connection struct {
	conn        net.Conn
	addr        string
	established bool
	refs        map[string]int64 // attempts in flight, by the ID of their part
	attempts    map[int64]*attempt
	queue       []message
	partial     []byte  // unsent bytes of a partly written frame
	partialRefs []int64 // the attempts in that frame
	probes      []int64 // probes in flight or queued; the node answers them in order
	lastUse     time.Time
	// stalled means that the socket's send buffer is full because the node does not read; stalledAt is when that began.
	stalled   bool
	stalledAt time.Time
	// retired means that the connection takes no new calls and closes when nothing is in flight. Either a part on it
	// was canceled: its answer may never arrive, and it occupies a slot of the node until the node reads the
	// cancellation, and a node whose slots are all occupied stops reading. Or the node sent an unsolicited answer, so
	// its further answers are not trustworthy.
	retired     bool
	recentIDs   [maxRecentIDs]string // IDs of the last finished attempts: a late or duplicate answer to these is not an error
	recentCount int
}

// attempt is one part that is in flight on a connection or queued for it.
type attempt struct {
	id      string
	started bool // its frame's first byte is written
	written bool // its frame's last byte is written
}

// message is a queued message: a call, the ID of a canceled part, or, with neither set, a probe.
type message struct {
	call     *core.Call
	cancelID string
}

// frame is an encoded message: its end offset in the buffer, its attempts, and whether a part of it was written before.
type frame struct {
	message
	end     int
	refs    []int64
	started bool
}

func newConnection(addr string) *connection {
	return &connection{addr: addr, refs: map[string]int64{}, attempts: map[int64]*attempt{}, lastUse: time.Now()}
}

// add registers an attempt.
func (c *connection) add(ref int64, id string) {
	c.refs[id] = ref
	c.attempts[ref] = &attempt{id: id}
}

// remove unregisters an attempt and returns the ID of its part.
func (c *connection) remove(ref int64) string {
	id := c.attempts[ref].id
	c.recentIDs[c.recentCount%maxRecentIDs] = id
	c.recentCount++
	delete(c.refs, id)
	delete(c.attempts, ref)
	return id
}

// recentlyEnded reports whether id was among the last finished attempts.
func (c *connection) recentlyEnded(id string) bool { return slices.Contains(c.recentIDs[:], id) }

// hasConflict reports whether a part of v is already in flight on c. Answers are matched by the part's ID.
func (c *connection) hasConflict(v core.Call) bool {
	return slices.ContainsFunc(v.Parts, func(part core.CallPart) bool {
		_, inFlight := c.refs[part.ID]
		return inFlight
	})
}

// preferredOver reports whether a call should use c rather than d.
func (c *connection) preferredOver(d *connection) bool {
	if c.established != d.established {
		return c.established
	}
	return len(c.attempts) < len(d.attempts) || len(c.attempts) == len(d.attempts) && c.lastUse.Before(d.lastUse)
}

// idle reports whether c is established with nothing in flight or queued.
func (c *connection) idle() bool {
	return c.established && len(c.attempts)+len(c.probes)+len(c.queue)+len(c.partial) == 0
}

// unsent returns the attempts of which no byte is written.
func (c *connection) unsent() (refs []int64) {
	for ref, a := range c.attempts {
		if !a.started {
			refs = append(refs, ref)
		}
	}
	slices.Sort(refs)
	return refs
}

// write writes as many bytes as the socket accepts without blocking, and returns their number.
func (c *connection) write(buf []byte) (n int, err error) {
	if len(buf) == 0 {
		return 0, nil
	}
	raw, err := c.conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, err
	}
	var cause error
	err = raw.Write(func(fd uintptr) bool {
		n, cause = syscall.Write(int(fd), buf)
		for errors.Is(cause, syscall.EINTR) {
			n, cause = syscall.Write(int(fd), buf)
		}
		return true
	})
	if errors.Is(cause, syscall.EAGAIN) {
		cause = nil
	}
	return max(n, 0), errors.Join(err, cause)
}

// sent records that the first n bytes of buf, which holds frames, are written. It keeps the remaining bytes of a partly
// written frame, and queues the messages of the unwritten frames again, to be encoded anew later.
func (c *connection) sent(buf []byte, frames []frame, n int) {
	c.queue, c.partial, c.partialRefs = nil, nil, nil
	at := 0
	for _, f := range frames {
		started := f.started || n > at
		complete := n >= f.end
		for _, ref := range f.refs {
			if a := c.attempts[ref]; a != nil {
				a.started, a.written = started, complete
			}
		}
		if started && !complete {
			c.partial, c.partialRefs = slices.Clone(buf[max(n, at):f.end]), f.refs
		} else if !started {
			c.queue = append(c.queue, f.message)
		}
		at = f.end
	}
}

// clear resets the state of a closed connection.
func (c *connection) clear() {
	c.refs, c.attempts, c.probes, c.queue, c.partial, c.established = nil, nil, nil, nil, nil, false
}
