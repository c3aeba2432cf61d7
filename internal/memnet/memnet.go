// Package memnet is a network in memory for tests that run in virtual time: hosts that can be ended, links that can be
// cut, connections with delay and bounded buffers.
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
	lookAgain   = 20 * time.Millisecond // between looks whether a link is up again
	acceptQueue = 128
	resendAfter = 200 * time.Millisecond
	silence     = 3 * time.Second // bytes that are not acknowledged for so long end a connection
)

var (
	errRefused = errors.New("connection refused")
	errReset   = errors.New("connection reset by peer")
	errEnded   = errors.New("the process has ended")
)

// Net is a network of hosts, named by their IPs.
type Net struct {
	mu        sync.Mutex
	delay     time.Duration
	listeners map[string]*listener
	sockets   map[string]*socket
	dark      map[string]bool    // hosts without power
	cut       map[[2]string]bool // links, by both ends
	conns     map[*conn]bool
	processes map[string][]*atomic.Bool // of each host: whether they have ended
	sent      map[[2]string]int         // bytes on connections, by sender and receiver
	links     map[string]*link          // of hosts whose link has a rate
	slow      map[string]Slowness       // of a host's processes
	loss      float64                   // share of the packets that are lost
	chance    *rand.Rand
}

// Slowness is how long a process waits for the processor.
type Slowness struct {
	ToRead  time.Duration // before it reads bytes that have arrived
	ToParse time.Duration // before it comes to bytes that it has read
}

// link is a host's link to the network, with a rate.
type link struct {
	perSecond float64   // bytes, each way
	out, in   time.Time // until when it is busy
}

// SetRate bounds what a host's connections carry each way, in bytes a second.
func (n *Net) SetRate(ip string, perSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[ip] = &link{perSecond: perSecond}
}

// SetSlow has the processes of a host wait for the processor.
func (n *Net) SetSlow(ip string, by Slowness) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slow[ip] = by
}

// SetLoss has a share of the packets lost. On connections they are sent again, after resendAfter and twice as long each time.
func (n *Net) SetLoss(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = share
}

// loses draws whether a packet is lost; n.mu is held.
func (n *Net) loses() bool { return n.loss > 0 && n.chance.Float64() < n.loss }

// Slow says how long the processes of a host wait for the processor.
func (n *Net) Slow(ip string) Slowness {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.slow[ip]
}

// arrival is when bytes that are sent now are at the other end.
func (n *Net) arrival(from, to string, bytes int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	at := time.Now()
	if l := n.links[from]; l != nil {
		l.out = l.carry(l.out, at, bytes)
		at = l.out
	}
	for wait := resendAfter; n.loses() && wait < silence; wait *= 2 {
		at = at.Add(wait)
	}
	at = at.Add(n.delay)
	if l := n.links[to]; l != nil {
		l.in = l.carry(l.in, at, bytes)
		at = l.in
	}
	return at
}

// carry is when a link that is busy until a moment has carried bytes that come at another.
func (l *link) carry(busy, at time.Time, bytes int) time.Time {
	if busy.After(at) {
		at = busy
	}
	return at.Add(time.Duration(float64(bytes) / l.perSecond * float64(time.Second)))
}

// New makes a network whose links have a delay.
func New(delay time.Duration) *Net {
	return &Net{delay: delay, listeners: map[string]*listener{}, sockets: map[string]*socket{}, dark: map[string]bool{},
		cut: map[[2]string]bool{}, conns: map[*conn]bool{}, processes: map[string][]*atomic.Bool{}, sent: map[[2]string]int{},
		links: map[string]*link{}, slow: map[string]Slowness{}, chance: rand.New(rand.NewPCG(1, 0x3e7))}
}

// Load is how many bytes a host has sent and received on connections.
func (n *Net) Load(ip string) (sent, received int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for ends, bytes := range n.sent {
		if ends[0] == ip {
			sent += bytes
		}
		if ends[1] == ip {
			received += bytes
		}
	}
	return sent, received
}

func (n *Net) count(from, to string, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent[[2]string{from, to}] += bytes
}

// Host is the network as one process on a host sees it, until the host is killed.
func (n *Net) Host(ip string) netio.Network {
	n.mu.Lock()
	defer n.mu.Unlock()
	ended := &atomic.Bool{}
	n.processes[ip] = append(n.processes[ip], ended)
	return host{n, ip, ended}
}

// Cut cuts the link between two hosts, or heals it. Bytes that are held up go on when it heals.
func (n *Net) Cut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}], n.cut[[2]string{b, a}] = cut, cut
}

// CutOneWay cuts what goes from one host to another, or heals it. What comes back still passes.
func (n *Net) CutOneWay(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = cut
}

// Kill ends all sockets of a host. dark: it says nothing from now on, and connections to it hang; else they are reset.
func (n *Net) Kill(ip string, dark bool) {
	n.mu.Lock()
	n.dark[ip] = dark
	for _, ended := range n.processes[ip] {
		ended.Store(true)
	}
	delete(n.processes, ip)
	var ended []*conn
	for c := range n.conns {
		if c.local == ip || c.remote == ip && !dark {
			ended = append(ended, c)
		}
	}
	for address, l := range n.listeners {
		if hostOf(address) == ip {
			l.shut()
			delete(n.listeners, address)
		}
	}
	for address, s := range n.sockets {
		if hostOf(address) == ip {
			s.shut()
			delete(n.sockets, address)
		}
	}
	n.mu.Unlock()
	for _, c := range ended {
		c.abort(errReset)
	}
}

// Start gives a host its power back.
func (n *Net) Start(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dark[ip] = false
}

func hostOf(address string) string {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return ip
}

// passes says whether bytes go from one host to another now.
func (n *Net) passes(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cut[[2]string{from, to}] && !n.dark[to] && !n.dark[from]
}

type host struct {
	net   *Net
	ip    string
	ended *atomic.Bool
}

func (h host) Listen(address string) (net.Listener, error) {
	if h.ended.Load() {
		return nil, errEnded
	}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.net.listeners[address] != nil {
		return nil, errors.New("address in use")
	}
	l := &listener{net: h.net, address: address, queue: make(chan net.Conn, acceptQueue), done: make(chan struct{})}
	h.net.listeners[address] = l
	return l, nil
}

func (h host) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	to := hostOf(address)
	if h.ended.Load() {
		return nil, errEnded
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
	s := &socket{net: h.net, ended: h.ended, ip: h.ip, address: address, queue: make(chan []byte, acceptQueue), done: make(chan struct{})}
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

func (l *listener) shut() { l.once.Do(func() { close(l.done) }) }

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.shut()
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

func (s *socket) shut() { s.once.Do(func() { close(s.done) }) }

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
	other, lost := s.net.sockets[to], s.net.loses()
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
	s.shut()
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

// segment is bytes on their way.
type segment struct {
	data []byte
	at   time.Time // of their arrival, if the link is up
}

// stream is the bytes of one direction. Writing never blocks, since callers hold locks while they write; bytes wait on
// their way until the link is up and their time has come.
type stream struct {
	mu       sync.Mutex
	segments []segment
	closed   bool // no more follows
	err      error
	change   chan struct{} // closed at each change
	readBy   time.Time
}

func newStream() *stream { return &stream{change: make(chan struct{})} }

// changed wakes all who wait; s.mu is held.
func (s *stream) changed() {
	close(s.change)
	s.change = make(chan struct{})
}

func newPair(n *Net, a, b string) (*conn, *conn) {
	one, two := newStream(), newStream()
	here := &conn{net: n, local: a, remote: b, in: one, out: two}
	there := &conn{net: n, local: b, remote: a, in: two, out: one}
	here.peer, there.peer = there, here
	return here, there
}

// wait waits for a change of s, at most so long. It gives up s.mu meanwhile.
func (s *stream) wait(most time.Duration) {
	change := s.change
	s.mu.Unlock()
	defer s.mu.Lock()
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-change:
	case <-timer.C:
	}
}

// sleep gives up s.mu for a while.
func (s *stream) sleep(span time.Duration) {
	if span == 0 {
		return
	}
	s.mu.Unlock()
	defer s.mu.Lock()
	time.Sleep(span)
}

// arrived says whether there is something to read now, and else how long to wait before looking again; s.mu is held.
func (c *conn) arrived() (bool, time.Duration) {
	s := c.in
	if len(s.segments) == 0 {
		return false, time.Hour
	}
	if left := time.Until(s.segments[0].at); left > 0 {
		return false, left
	}
	if !c.net.passes(c.remote, c.local) {
		return false, lookAgain
	}
	return true, 0
}

func (c *conn) Read(b []byte) (int, error) {
	s := c.in
	s.mu.Lock()
	defer s.mu.Unlock()
	for woken := false; ; {
		there, wait := c.arrived()
		if slow := c.net.Slow(c.local); there && !woken && slow.ToRead > 0 {
			woken = true
			s.sleep(slow.ToRead)
			continue
		}
		switch {
		case s.err != nil:
			return 0, s.err
		case there:
			n := copy(b, s.segments[0].data)
			if s.segments[0].data = s.segments[0].data[n:]; len(s.segments[0].data) == 0 {
				s.segments = s.segments[1:]
			}
			s.sleep(c.net.Slow(c.local).ToParse)
			return n, nil
		case s.closed && len(s.segments) == 0:
			return 0, io.EOF
		}
		if !s.readBy.IsZero() {
			left := time.Until(s.readBy)
			if left <= 0 {
				return 0, os.ErrDeadlineExceeded
			}
			wait = min(wait, left)
		}
		s.wait(wait)
	}
}

func (c *conn) Write(b []byte) (int, error) {
	c.net.count(c.local, c.remote, len(b))
	s := c.out
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.err != nil:
		return 0, s.err
	case s.closed:
		return 0, errReset
	}
	sent := segment{data: append([]byte(nil), b...), at: c.net.arrival(c.local, c.remote, len(b))}
	s.segments = append(s.segments, sent)
	s.changed()
	time.AfterFunc(silence, func() { c.expire(sent.at) })
	return len(b), nil
}

// expire ends the connection if what was sent up to a time has not arrived behind a link that is down.
func (c *conn) expire(sent time.Time) {
	c.out.mu.Lock()
	late := len(c.out.segments) > 0 && !c.out.segments[0].at.After(sent)
	c.out.mu.Unlock()
	if late && !c.net.passes(c.local, c.remote) {
		c.abort(errReset)
	}
}

// abort ends both directions at once.
func (c *conn) abort(err error) {
	for _, s := range []*stream{c.in, c.out} {
		s.mu.Lock()
		if s.err == nil {
			s.err = err
			s.changed()
		}
		s.mu.Unlock()
	}
	c.forget()
}

func (c *conn) forget() {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	delete(c.net.conns, c)
}

// Close ends the connection: the other end reads what was written, then its end. Bytes that were not read reset it.
func (c *conn) Close() error {
	c.in.mu.Lock()
	unread := len(c.in.segments) > 0
	if c.in.err == nil {
		c.in.err = net.ErrClosed
	}
	c.in.changed()
	c.in.mu.Unlock()
	c.out.mu.Lock()
	c.out.closed = true
	if unread && c.out.err == nil {
		c.out.err = errReset
	}
	c.out.changed()
	c.out.mu.Unlock()
	c.forget()
	return nil
}

// Quiet says whether nothing has arrived.
func (c *conn) Quiet() bool {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	return len(c.in.segments) == 0 && !c.in.closed && c.in.err == nil
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
	c.in.readBy = t
	c.in.changed()
	return nil
}

// SetWriteDeadline does nothing: writing never blocks.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
