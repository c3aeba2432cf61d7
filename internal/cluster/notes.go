package cluster

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"time"
)

// Notes are datagrams that brokers send each other about the work in hand. They may be lost; nothing rests on one.

// mostNote is the most bytes of one datagram.
const mostNote = 1 << 11

// receivePause is how long a socket rests that gave an error.
const receivePause = 10 * time.Millisecond

// NoteKind says what a datagram is about.
type NoteKind byte

const (
	WorkNote NoteKind = 'w' // work that was sent, and outcomes
	KeptNote NoteKind = 'k' // what an instance keeps
)

const (
	// wideFleet is the number of brokers from which on notes of work go to some brokers of the own zone alone.
	wideFleet = 16
	// workFanout is how many those are.
	workFanout = 8
)

// OnNote has f called for each note of a kind from another broker. It is called before Run.
func (n *Node) OnNote(kind NoteKind, f func([]byte)) { n.onNote[kind] = f }

// openNotes binds the address for notes.
func (n *Node) openNotes() error {
	var err error
	n.notes, err = n.environment.Network.ListenDatagrams(n.settings.PeerAddress(n.settings.IP))
	return err
}

// takeNotes receives until the context ends.
func (n *Node) takeNotes(ctx context.Context) {
	go func() {
		<-ctx.Done()
		n.notes.Close()
	}()
	buffer := make([]byte, mostNote)
	for ctx.Err() == nil {
		size, err := n.notes.Receive(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || size == 0 {
			time.Sleep(receivePause)
			continue
		}
		if f := n.onNote[NoteKind(buffer[0])]; f != nil {
			f(append([]byte(nil), buffer[1:size]...))
		}
	}
}

// TellWork sends a note of work to the other brokers: to all in a small fleet or if it is wide, else to some of the same
// zone, drawn anew for each note.
func (n *Node) TellWork(note []byte, wide bool) {
	near, all := n.neighbors()
	if all > wideFleet && !wide {
		n.tell(WorkNote, note, sample(near, workFanout))
		return
	}
	n.tell(WorkNote, note, n.Members())
}

// sample draws some of the members, each as likely as the others.
func sample(members []Member, most int) []Member {
	drawn := slices.Clone(members)
	most = min(most, len(drawn))
	for at := range most {
		other := at + rand.IntN(len(drawn)-at)
		drawn[at], drawn[other] = drawn[other], drawn[at]
	}
	return drawn[:most]
}

// TellKept sends a note of what an instance keeps to these brokers, as the link has room for it.
func (n *Node) TellKept(note []byte, members []Member) {
	datagram := append([]byte{byte(KeptNote)}, note...)
	for _, member := range members {
		if member.IP != n.self.IP {
			n.paced.put(outgoing{datagram, n.settings.PeerAddress(member.IP)})
		}
	}
	n.sendPaced(false)
}

// KeptWaits says whether notes of what instances keep wait for room on the link. What else there is to tell is better told
// later, as it is by then.
func (n *Node) KeptWaits() bool { return n.paced.waits() }

// sendPaced sends what the link has room for, and comes back for the rest.
func (n *Node) sendPaced(back bool) {
	send, again := n.paced.take(time.Now(), back)
	for _, o := range send {
		n.notes.Send(o.datagram, o.address)
	}
	if again {
		time.AfterFunc(paceEvery, func() { n.sendPaced(true) })
	}
}

func (n *Node) tell(kind NoteKind, note []byte, members []Member) {
	datagram := append([]byte{byte(kind)}, note...)
	for _, member := range members {
		if member.IP == n.self.IP {
			continue
		}
		n.notes.Send(datagram, n.settings.PeerAddress(member.IP))
	}
}
