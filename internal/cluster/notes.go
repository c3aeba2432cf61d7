package cluster

import (
	"context"
	"net"
	"net/netip"
	"strconv"
)

// Notes are datagrams that brokers send each other about the work in hand. They may be lost; nothing rests on one.

const mostNote = 1 << 10

// OnNote has f called for each note of another broker. It is called before Run.
func (n *Node) OnNote(f func([]byte)) { n.onNote = f }

// openNotes binds the address for notes.
func (n *Node) openNotes() error {
	address, err := net.ResolveUDPAddr("udp4", n.settings.PeerAddress(n.settings.IP))
	if err != nil {
		return err
	}
	n.notes, err = net.ListenUDP("udp4", address)
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
		size, _, err := n.notes.ReadFromUDPAddrPort(buffer)
		if err == nil && n.onNote != nil {
			n.onNote(append([]byte(nil), buffer[:size]...))
		}
	}
}

// Tell sends a note to all brokers that are alive.
func (n *Node) Tell(note []byte) {
	for _, member := range n.Members() {
		if member.IP == n.self.IP {
			continue
		}
		address, err := netip.ParseAddrPort(net.JoinHostPort(member.IP, strconv.Itoa(n.settings.PortFirst)))
		if err == nil {
			_, _ = n.notes.WriteToUDPAddrPort(note, address) // a note may be lost
		}
	}
}
