// Package memnet provides an in-memory network for tests that run in virtual time: hosts that can be killed, links that
// can be cut, connections with delay and limited rates, and datagrams. It does no real I/O.
package memnet

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"gullstair/internal/netio"
)

const (
	linkPollInterval  = 20 * time.Millisecond // interval between checks whether a link is up again
	queueLength       = 128
	retransmitTimeout = 200 * time.Millisecond
	ackTimeout        = 3 * time.Second // a connection with bytes unacknowledged for so long is reset
)

var (
	errRefused      = errors.New("connection refused")
	errReset        = errors.New("connection reset by peer")
	errProcessEnded = errors.New("process has exited")
)

// Net is a network of hosts, named by their IPs.
type Net struct {
	mu               sync.Mutex
	delay            time.Duration
	listeners        map[string]*listener
	sockets          map[string]*socket
	poweredOff       map[string]bool    // hosts without power
	blockedLinks     map[[2]string]bool // by sender and receiver
	conns            map[*conn]bool
	processEnded     map[string][]*atomic.Bool  // by host: for each of its processes, whether it was killed
	bytesSent        map[[2]string]int          // bytes on connections, by sender and receiver
	links            map[string]*link           // by host: its link, if the rate is limited
	processingDelays map[string]ProcessingDelay // by host: the delay of its processes
	lossRate         float64                    // fraction of packets that are lost
	rng              *rand.Rand
}

// ProcessingDelay is how long a process waits for the CPU.
type ProcessingDelay struct {
	BeforeRead       time.Duration // before it reads received bytes
	BeforeProcessing time.Duration // before it processes bytes that it has read
}

// link is a host's link to the network, with a limited rate.
type link struct {
	bytesPerSecond            float64   // in each direction
	outBusyUntil, inBusyUntil time.Time // when each direction becomes idle
}

// SetRate limits the rate of a host's connections in each direction, in bytes per second.
func (n *Net) SetRate(ip string, bytesPerSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[ip] = &link{bytesPerSecond: bytesPerSecond}
}

// SetProcessingDelay makes the processes of a host wait for the CPU.
func (n *Net) SetProcessingDelay(ip string, delay ProcessingDelay) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.processingDelays[ip] = delay
}

// SetLoss sets the fraction of packets that are lost. On connections they are retransmitted, first after
// retransmitTimeout and then with exponential backoff.
func (n *Net) SetLoss(fraction float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossRate = fraction
}

// drawLoss decides at random whether a packet is lost. The caller holds n.mu.
func (n *Net) drawLoss() bool { return n.lossRate > 0 && n.rng.Float64() < n.lossRate }

// ProcessingDelay returns how long the processes of a host wait for the CPU.
func (n *Net) ProcessingDelay(ip string) ProcessingDelay {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.processingDelays[ip]
}

// arrivalTime returns when bytes that are sent now arrive at the other end.
func (n *Net) arrivalTime(from, to string, bytes int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	at := time.Now()
	if l := n.links[from]; l != nil {
		l.outBusyUntil = l.transmit(l.outBusyUntil, at, bytes)
		at = l.outBusyUntil
	}
	for wait := retransmitTimeout; n.drawLoss() && wait < ackTimeout; wait *= 2 {
		at = at.Add(wait)
	}
	at = at.Add(n.delay)
	if l := n.links[to]; l != nil {
		l.inBusyUntil = l.transmit(l.inBusyUntil, at, bytes)
		at = l.inBusyUntil
	}
	return at
}

// transmit returns when a link that is busy until a given time has transmitted bytes that reach it at another time.
func (l *link) transmit(busy, at time.Time, bytes int) time.Time {
	if busy.After(at) {
		at = busy
	}
	return at.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
}

// New returns a network whose links have the given delay.
func New(delay time.Duration) *Net {
	return &Net{delay: delay, listeners: map[string]*listener{}, sockets: map[string]*socket{}, poweredOff: map[string]bool{},
		blockedLinks: map[[2]string]bool{}, conns: map[*conn]bool{}, processEnded: map[string][]*atomic.Bool{}, bytesSent: map[[2]string]int{},
		links: map[string]*link{}, processingDelays: map[string]ProcessingDelay{}, rng: rand.New(rand.NewPCG(1, 0x3e7))}
}

// Traffic returns how many bytes a host has sent and received on connections.
func (n *Net) Traffic(ip string) (sent, received int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for ends, bytes := range n.bytesSent {
		if ends[0] == ip {
			sent += bytes
		}
		if ends[1] == ip {
			received += bytes
		}
	}
	return sent, received
}

func (n *Net) countBytes(from, to string, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytesSent[[2]string{from, to}] += bytes
}

// Host returns the network as seen by a new process on a host, until the host is killed.
func (n *Net) Host(ip string) netio.Network {
	n.mu.Lock()
	defer n.mu.Unlock()
	ended := &atomic.Bool{}
	n.processEnded[ip] = append(n.processEnded[ip], ended)
	return host{n, ip, ended}
}

// Cut cuts the link between two hosts, or heals it. Bytes in flight are delivered when it heals.
func (n *Net) Cut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blockedLinks[[2]string{a, b}], n.blockedLinks[[2]string{b, a}] = cut, cut
}

// CutOneWay blocks traffic from one host to another, or unblocks it. Traffic in the other direction still passes.
func (n *Net) CutOneWay(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blockedLinks[[2]string{from, to}] = cut
}

// Kill kills the processes of a host and closes their sockets. If powerOff is true, the host is powered off: it sends
// nothing any more, and connections to it hang; else they are reset.
func (n *Net) Kill(ip string, powerOff bool) {
	n.mu.Lock()
	n.poweredOff[ip] = powerOff
	for _, ended := range n.processEnded[ip] {
		ended.Store(true)
	}
	delete(n.processEnded, ip)
	var ended []*conn
	for c := range n.conns {
		if c.local == ip || c.remote == ip && !powerOff {
			ended = append(ended, c)
		}
	}
	for address, l := range n.listeners {
		if hostOf(address) == ip {
			l.closeOnce()
			delete(n.listeners, address)
		}
	}
	for address, s := range n.sockets {
		if hostOf(address) == ip {
			s.closeOnce()
			delete(n.sockets, address)
		}
	}
	n.mu.Unlock()
	for _, c := range ended {
		c.abort(errReset)
	}
}

// Start powers a host on again.
func (n *Net) Start(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.poweredOff[ip] = false
}

func hostOf(address string) string {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return ip
}

// passes reports whether bytes pass from one host to another now.
func (n *Net) passes(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.blockedLinks[[2]string{from, to}] && !n.poweredOff[to] && !n.poweredOff[from]
}

type host struct {
	net   *Net
	ip    string
	ended *atomic.Bool
}

func (h host) Listen(address string) (net.Listener, error) {
	if h.ended.Load() {
		return nil, errProcessEnded
	}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.net.listeners[address] != nil {
		return nil, errors.New("address in use")
	}
	l := &listener{net: h.net, address: address, queue: make(chan net.Conn, queueLength), done: make(chan struct{})}
	h.net.listeners[address] = l
	return l, nil
}

func (h host) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	to := hostOf(address)
	if h.ended.Load() {
		return nil, errProcessEnded
	}
	for !h.net.passes(h.ip, to) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
	time.Sleep(2 * h.net.delay)
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	l := h.net.listeners[address]
	if l == nil || h.ended.Load() {
		return nil, errRefused
	}
	here, there := newPair(h.net, h.ip, to)
	select {
	case l.queue <- there:
		h.net.conns[here], h.net.conns[there] = true, true
		return here, nil
	default:
		return nil, errRefused
	}
}

func (h host) ListenDatagrams(address string) (netio.Datagrams, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	s := &socket{net: h.net, ended: h.ended, ip: h.ip, address: address, queue: make(chan []byte, queueLength), done: make(chan struct{})}
	h.net.sockets[address] = s
	return s, nil
}

type listener struct {
	net     *Net
	address string
	queue   chan net.Conn
	once    sync.Once
	done    chan struct{}
}

func (l *listener) closeOnce() { l.once.Do(func() { close(l.done) }) }

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.closeOnce()
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if l.net.listeners[l.address] == l {
		delete(l.net.listeners, l.address)
	}
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

func (a address) Network() string { return "memory" }
func (a address) String() string  { return string(a) }

type socket struct {
	net     *Net
	ended   *atomic.Bool
	ip      string
	address string
	queue   chan []byte
	once    sync.Once
	done    chan struct{}
}

func (s *socket) closeOnce() { s.once.Do(func() { close(s.done) }) }

func (s *socket) Receive(b []byte) (int, error) {
	select {
	case m := <-s.queue:
		return copy(b, m), nil
	case <-s.done:
		return 0, net.ErrClosed
	}
}

func (s *socket) Send(b []byte, to string) {
	if s.ended.Load() || !s.net.passes(s.ip, hostOf(to)) {
		return
	}
	s.net.mu.Lock()
	other, lost := s.net.sockets[to], s.net.drawLoss()
	s.net.mu.Unlock()
	if other == nil || lost {
		return
	}
	select {
	case other.queue <- append([]byte(nil), b...):
	default:
	}
}

func (s *socket) Close() error {
	s.closeOnce()
	return nil
}

// conn is one end of a connection.
type conn struct {
	net           *Net
	local, remote string
	in            *stream // what this end reads
	out           *stream // what the other end reads
	peer          *conn
}

// segment holds bytes in flight.
type segment struct {
	data    []byte
	arrival time.Time // when they arrive if the link is up
}

// stream holds the bytes in flight in one direction. Writes never block, since callers hold locks while they write; bytes
// stay in flight until the link is up and their arrival time has come.
type stream struct {
	mu           sync.Mutex
	segments     []segment
	writerClosed bool // no more bytes follow
	err          error
	changes      chan struct{} // closed and replaced at each change
	readDeadline time.Time
}

func newStream() *stream { return &stream{changes: make(chan struct{})} }

// notifyChange wakes all waiting goroutines. The caller holds s.mu.
func (s *stream) notifyChange() {
	close(s.changes)
	s.changes = make(chan struct{})
}

func newPair(n *Net, a, b string) (*conn, *conn) {
	one, two := newStream(), newStream()
	here := &conn{net: n, local: a, remote: b, in: one, out: two}
	there := &conn{net: n, local: b, remote: a, in: two, out: one}
	here.peer, there.peer = there, here
	return here, there
}

// wait waits for a change of s, at most for the given time. It releases s.mu meanwhile.
func (s *stream) wait(timeout time.Duration) {
	change := s.changes
	s.mu.Unlock()
	defer s.mu.Lock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-change:
	case <-timer.C:
	}
}

// sleepUnlocked sleeps and releases s.mu meanwhile.
func (s *stream) sleepUnlocked(d time.Duration) {
	if d == 0 {
		return
	}
	s.mu.Unlock()
	defer s.mu.Lock()
	time.Sleep(d)
}

// readable reports whether there is something to read now, and if not, how long to wait before checking again. The caller
// holds the mutex of c.in.
func (c *conn) readable() (bool, time.Duration) {
	s := c.in
	if len(s.segments) == 0 {
		return false, time.Hour
	}
	if left := time.Until(s.segments[0].arrival); left > 0 {
		return false, left
	}
	if !c.net.passes(c.remote, c.local) {
		return false, linkPollInterval
	}
	return true, 0
}

func (c *conn) Read(b []byte) (int, error) {
	s := c.in
	s.mu.Lock()
	defer s.mu.Unlock()
	for delayed := false; ; {
		readable, wait := c.readable()
		if delay := c.net.ProcessingDelay(c.local); readable && !delayed && delay.BeforeRead > 0 {
			delayed = true
			s.sleepUnlocked(delay.BeforeRead)
			continue
		}
		switch {
		case s.err != nil:
			return 0, s.err
		case readable:
			n := copy(b, s.segments[0].data)
			if s.segments[0].data = s.segments[0].data[n:]; len(s.segments[0].data) == 0 {
				s.segments = s.segments[1:]
			}
			s.sleepUnlocked(c.net.ProcessingDelay(c.local).BeforeProcessing)
			return n, nil
		case s.writerClosed && len(s.segments) == 0:
			return 0, io.EOF
		}
		if !s.readDeadline.IsZero() {
			left := time.Until(s.readDeadline)
			if left <= 0 {
				return 0, os.ErrDeadlineExceeded
			}
			wait = min(wait, left)
		}
		s.wait(wait)
	}
}

func (c *conn) Write(b []byte) (int, error) {
	c.net.countBytes(c.local, c.remote, len(b))
	s := c.out
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.err != nil:
		return 0, s.err
	case s.writerClosed:
		return 0, errReset
	}
	sent := segment{data: append([]byte(nil), b...), arrival: c.net.arrivalTime(c.local, c.remote, len(b))}
	s.segments = append(s.segments, sent)
	s.notifyChange()
	time.AfterFunc(ackTimeout, func() { c.expire(sent.arrival) })
	return len(b), nil
}

// expire resets the connection if the link is down and bytes that should have arrived by the given time are still in
// flight.
func (c *conn) expire(arrival time.Time) {
	c.out.mu.Lock()
	late := len(c.out.segments) > 0 && !c.out.segments[0].arrival.After(arrival)
	c.out.mu.Unlock()
	if late && !c.net.passes(c.local, c.remote) {
		c.abort(errReset)
	}
}

// abort ends both directions at once with an error.
func (c *conn) abort(err error) {
	for _, s := range []*stream{c.in, c.out} {
		s.mu.Lock()
		if s.err == nil {
			s.err = err
			s.notifyChange()
		}
		s.mu.Unlock()
	}
	c.unregister()
}

func (c *conn) unregister() {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	delete(c.net.conns, c)
}

// Close closes the connection: the other end reads what was written, then io.EOF. If this end has unread bytes, the
// connection is reset.
func (c *conn) Close() error {
	c.in.mu.Lock()
	unread := len(c.in.segments) > 0
	if c.in.err == nil {
		c.in.err = net.ErrClosed
	}
	c.in.notifyChange()
	c.in.mu.Unlock()
	c.out.mu.Lock()
	c.out.writerClosed = true
	if unread && c.out.err == nil {
		c.out.err = errReset
	}
	c.out.notifyChange()
	c.out.mu.Unlock()
	c.unregister()
	return nil
}

// Quiet reports whether this end has neither bytes nor an end of the stream pending.
func (c *conn) Quiet() bool {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	return len(c.in.segments) == 0 && !c.in.writerClosed && c.in.err == nil
}

func (c *conn) LocalAddr() net.Addr  { return address(c.local + ":1") }
func (c *conn) RemoteAddr() net.Addr { return address(c.remote + ":1") }

func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	c.in.readDeadline = t
	c.in.notifyChange()
	return nil
}

// SetWriteDeadline does nothing: writes never block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
