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
	pastMost = 8
	// frameMost is how many bytes a peer keeps to put its frames together.
	frameMost = buffers.Size
)

// connection is one connection to a node, or one that is coming up. What is to go out waits in queue until then.
type connection struct {
	conn     net.Conn
	addr     string
	up       bool
	refs     map[string]int64 // attempts that are out, by their part's id
	attempts map[int64]*attempt
	queue    []message
	rest     []byte  // of a frame that has begun to go out: what the system has not taken yet
	restOf   []int64 // the attempts in it
	probes   []int64 // that are out or, before the connection is up, wait; they are answered in their order
	lastUse  time.Time
	// stalled: the system takes no more bytes, since the node reads none; stalledAt is when that began.
	stalled   bool
	stalledAt time.Time
	// retired: nothing more goes out on it, and it is closed when nothing is out. A part was given up on it, whose
	// answer may never come and holds a place on the node's side until the node reads that it was; a node that finds
	// all places taken reads no more. Or more came than was asked for, and what comes next is anybody's guess.
	retired bool
	past    [pastMost]string // ids that were out last: a late answer or a second copy is no spoilt one
	pasts   int
}

// attempt is one part that is out on a connection, or waits for it.
type attempt struct {
	id    string
	begun bool // its first byte has gone out
	whole bool // its frame's last byte has
}

// message is what waits for a connection: a call, the id of a part that is given up, or, with neither, a probe.
type message struct {
	call    *core.Call
	givenUp string
}

// frame is a message in bytes: where it ends among them, the attempts in it, and whether some of it went out before.
type frame struct {
	message
	end   int
	refs  []int64
	begun bool
}

func newConnection(addr string) *connection {
	return &connection{addr: addr, refs: map[string]int64{}, attempts: map[int64]*attempt{}, lastUse: time.Now()}
}

func (c *connection) add(ref int64, id string) {
	c.refs[id] = ref
	c.attempts[ref] = &attempt{id: id}
}

func (c *connection) remove(ref int64) string {
	id := c.attempts[ref].id
	c.past[c.pasts%pastMost] = id
	c.pasts++
	delete(c.refs, id)
	delete(c.attempts, ref)
	return id
}

// known says whether id was out on c a short while ago.
func (c *connection) known(id string) bool { return slices.Contains(c.past[:], id) }

// clash says whether a part of v is out on c already: answers go by its id.
func (c *connection) clash(v core.Call) bool {
	return slices.ContainsFunc(v.Parts, func(part core.CallPart) bool {
		_, out := c.refs[part.ID]
		return out
	})
}

// before says whether a call should rather go to c than to d.
func (c *connection) before(d *connection) bool {
	if c.up != d.up {
		return c.up
	}
	return len(c.attempts) < len(d.attempts) || len(c.attempts) == len(d.attempts) && c.lastUse.Before(d.lastUse)
}

// idle says whether nothing is out on c and nothing waits for it.
func (c *connection) idle() bool {
	return c.up && len(c.attempts)+len(c.probes)+len(c.queue)+len(c.rest) == 0
}

// unsent lists the attempts of which no byte has gone out.
func (c *connection) unsent() (refs []int64) {
	for ref, a := range c.attempts {
		if !a.begun {
			refs = append(refs, ref)
		}
	}
	slices.Sort(refs)
	return refs
}

// write gives the system as many bytes as it takes at once, and says how many that were.
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

// sent notes that the first n bytes of buf, which holds frames, have gone out: what has begun goes on with its rest,
// what has not waits as it was, to be put into bytes anew.
func (c *connection) sent(buf []byte, frames []frame, n int) {
	c.queue, c.rest, c.restOf = nil, nil, nil
	at := 0
	for _, f := range frames {
		begun := f.begun || n > at
		whole := n >= f.end
		for _, ref := range f.refs {
			if a := c.attempts[ref]; a != nil {
				a.begun, a.whole = begun, whole
			}
		}
		if begun && !whole {
			c.rest, c.restOf = slices.Clone(buf[max(n, at):f.end]), f.refs
		} else if !begun {
			c.queue = append(c.queue, f.message)
		}
		at = f.end
	}
}

// clear forgets all that was out on c, which has ended.
func (c *connection) clear() {
	c.refs, c.attempts, c.probes, c.queue, c.rest, c.up = nil, nil, nil, nil, nil, false
}
