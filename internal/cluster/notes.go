package cluster

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"gullstair/internal/lifecycle"
)

// Notes are UDP datagrams that brokers send each other about requests in progress. They may be lost; no decision
// depends on a single one.

// maxNote is the maximum size of a datagram in bytes.
const maxNote = 1 << 11

// receivePause is the delay before the next read after a socket error.
const receivePause = 10 * time.Millisecond

// NoteKind is the kind of a note, its first byte.
type NoteKind byte

const (
	WorkNote  NoteKind = 'w' // dispatched requests and their outcomes
	CacheNote NoteKind = 'k' // prompt prefixes that an instance has cached
)

const (
	// largeFleet is the number of brokers above which a note of work goes only to some brokers of the same zone.
	largeFleet = 16
	// workFanout is the number of those brokers.
	workFanout = 8
)

// OnNote registers f to be called for each note of a kind from another broker. It must be called before Run.
func (n *Node) OnNote(kind NoteKind, f func([]byte)) { n.noteHandlers[kind] = f }

// receiveNotes receives notes until the context ends.
func (n *Node) receiveNotes(ctx context.Context) {
	lifecycle.Go(func() {
		<-ctx.Done()
		n.noteSocket.Close()
	})
	buffer := make([]byte, maxNote)
	for ctx.Err() == nil {
		size, err := n.noteSocket.Receive(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || size == 0 {
			time.Sleep(receivePause)
			continue
		}
		if f := n.noteHandlers[NoteKind(buffer[0])]; f != nil {
			f(append([]byte(nil), buffer[1:size]...))
		}
	}
}

// SendWorkNote sends a note of work to other brokers. It goes to all of them in a small fleet or if wide is set,
// otherwise to a fresh random sample of the same zone.
func (n *Node) SendWorkNote(note []byte, wide bool) {
	near, all := n.neighbors()
	if all > largeFleet && !wide {
		n.sendNote(WorkNote, note, sample(near, workFanout))
		return
	}
	n.sendNote(WorkNote, note, n.Members())
}

// sample returns a uniform random sample of the members.
func sample(members []Member, size int) []Member {
	drawn := slices.Clone(members)
	size = min(size, len(drawn))
	for at := range size {
		other := at + rand.IntN(len(drawn)-at)
		drawn[at], drawn[other] = drawn[other], drawn[at]
	}
	return drawn[:size]
}

// SendCacheNote queues a note of an instance's cached prefixes for these brokers and sends it when the link has
// capacity.
func (n *Node) SendCacheNote(note []byte, members []Member) {
	datagram := append([]byte{byte(CacheNote)}, note...)
	for _, member := range members {
		if member.IP != n.self.IP {
			n.pacer.put(outgoing{datagram, n.settings.PeerAddress(member.IP)})
		}
	}
	n.sendPaced(false)
}

// CacheNotesQueued reports whether notes of cached prefixes are queued for the link. A caller then holds back further
// notes, since a note that is written later describes the newer state.
func (n *Node) CacheNotesQueued() bool { return n.pacer.hasQueued() }

// sendPaced sends what the token bucket allows and schedules itself for the rest. scheduled says whether a timer made
// the call.
func (n *Node) sendPaced(scheduled bool) {
	send, again := n.pacer.take(time.Now(), scheduled)
	for _, o := range send {
		n.noteSocket.Send(o.datagram, o.address)
	}
	if again {
		time.AfterFunc(paceEvery, lifecycle.Guard(func() { n.sendPaced(true) }))
	}
}

func (n *Node) sendNote(kind NoteKind, note []byte, members []Member) {
	datagram := append([]byte{byte(kind)}, note...)
	for _, member := range members {
		if member.IP == n.self.IP {
			continue
		}
		n.noteSocket.Send(datagram, n.settings.PeerAddress(member.IP))
	}
}
