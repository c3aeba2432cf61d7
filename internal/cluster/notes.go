package cluster

import (
	"context"
	"errors"
	"net"
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

// wideFleet is the number of brokers from which on notes of work go to the broker's own zone alone.
const wideFleet = 16

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

// TellWork sends a note of work to the other brokers: to all in a small fleet, else to those of the same zone.
func (n *Node) TellWork(note []byte) {
	members := n.Members()
	n.tell(WorkNote, note, members, func(m Member) bool { return len(members) <= wideFleet || m.Zone == n.self.Zone })
}

// TellKept sends a note of what an instance keeps to the brokers outside a zone.
func (n *Node) TellKept(note []byte, zone string) {
	n.tell(KeptNote, note, n.Members(), func(m Member) bool { return m.Zone != zone })
}

func (n *Node) tell(kind NoteKind, note []byte, members []Member, to func(Member) bool) {
	datagram := append([]byte{byte(kind)}, note...)
	for _, member := range members {
		if member.IP == n.self.IP || !to(member) {
			continue
		}
		n.notes.Send(datagram, n.settings.PeerAddress(member.IP))
	}
}
