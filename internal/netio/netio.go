// Package netio abstracts the network I/O of the fleet's packages, so that tests can replace it by an in-memory network
// in virtual time. Host is the implementation on real sockets.
package netio

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	userTimeout     = 2 * time.Second // bytes unacknowledged for longer close a connection
	keepAliveIdle   = time.Second     // idle time before the first keep-alive probe, and interval between probes
	keepAliveProbes = 2               // unanswered probes that close a connection
	// minSegments is how many segments a small receive buffer must have room for. If the window is smaller than a segment, which
	// on loopback has 64 KiB, the sender waits for its persist timer, 200 ms.
	minSegments = 4
)

// Network opens listeners, connections and datagram sockets.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)
	ListenDatagrams(address string) (Datagrams, error)
}

// BufferedDialer is a Network that can limit the receive buffer of a connection, in bytes.
type BufferedDialer interface {
	DialBuffered(ctx context.Context, address string, timeout time.Duration, receiveBuffer int) (net.Conn, error)
}

// DialBuffered opens a connection. If the network can, it limits the connection's receive buffer, in bytes.
func DialBuffered(ctx context.Context, network Network, address string, timeout time.Duration, receiveBuffer int) (net.Conn, error) {
	if dialer, can := network.(BufferedDialer); can {
		return dialer.DialBuffered(ctx, address, timeout, receiveBuffer)
	}
	return network.Dial(ctx, address, timeout)
}

// Datagrams is a datagram socket.
type Datagrams interface {
	Receive(b []byte) (int, error)
	// Send sends a datagram, which may be lost.
	Send(b []byte, address string)
	Close() error
}

// Quieter is a connection that can report whether it has no unread input, neither bytes nor EOF.
type Quieter interface{ Quiet() bool }

// Host is the Network of this machine.
type Host struct{}

// Listen opens a TCP listener.
func (Host) Listen(address string) (net.Listener, error) { return net.Listen("tcp4", address) }

// Dial opens a TCP connection that detects an unresponsive peer within seconds.
func (h Host) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	return h.dial(ctx, address, timeout, setUserTimeout)
}

// DialBuffered implements BufferedDialer.
func (h Host) DialBuffered(ctx context.Context, address string, timeout time.Duration, receiveBuffer int) (net.Conn, error) {
	return h.dial(ctx, address, timeout, func(network, address string, raw syscall.RawConn) error {
		if err := setUserTimeout(network, address, raw); err != nil {
			return err
		}
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, receiveBuffer/minSegments)
		})
	})
}

func (Host) dial(ctx context.Context, address string, timeout time.Duration, control func(network, address string, raw syscall.RawConn) error) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveProbes},
		Control:         control,
	}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// setUserTimeout limits how long sent bytes may stay unacknowledged. Without it a connection across a network partition
// hangs for minutes. If the option is unavailable, the keep-alive probes close the connection.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
}

// ListenDatagrams opens a UDP socket.
func (Host) ListenDatagrams(address string) (Datagrams, error) {
	bound, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", bound)
	if err != nil {
		return nil, err
	}
	return datagrams{conn}, nil
}

// datagrams implements Datagrams on a UDP socket.
type datagrams struct{ conn *net.UDPConn }

func (d datagrams) Receive(b []byte) (int, error) {
	n, _, err := d.conn.ReadFromUDPAddrPort(b)
	return n, err
}

func (d datagrams) Send(b []byte, address string) {
	if to, err := netip.ParseAddrPort(address); err == nil {
		_, _ = d.conn.WriteToUDPAddrPort(b, to) // a datagram may be lost
	}
}

func (d datagrams) Close() error { return d.conn.Close() }

// SetBuffers sets the size in bytes of the receive and the send buffer of all connections that a listener accepts from now
// on. It has no effect on a listener that is not of TCP.
func SetBuffers(listener net.Listener, size int) {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, size)
	})
}

// Quiet reports whether a connection has no unread input, neither bytes nor EOF. Another goroutine may be reading from
// it.
func Quiet(conn net.Conn) bool {
	if q, ok := conn.(Quieter); ok {
		return q.Quiet()
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) { // raw.Read would block behind a goroutine that is blocked in a read
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
	})
	return err == nil && quiet
}
