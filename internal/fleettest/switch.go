package fleettest

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"gullstair/internal/virtual"
)

// Link holds the network conditions for datagrams from one member to another.
type Link struct {
	virtual.Conditions
	Cut  bool
	Flip float64 // share of datagrams in which one bit is flipped
}

// Switch forwards every datagram between members; each direction of each pair has its own Link. It listens on the addresses that members advertise, so that
// no datagram bypasses it.
type Switch struct {
	mu            sync.Mutex
	rnd           *rand.Rand
	links         [][]Link // from, to
	ports         []*net.UDPConn
	memberAddrs   []netip.AddrPort
	memberByAddr  map[netip.AddrPort]int
	recorded      [][]byte // a sample of datagrams, for Replay
	recordedLinks [][2]int
	passed        int
	goroutines    sync.WaitGroup
}

const maxRecorded = 4096

// NewSwitch opens an address for each member, to which the others send its datagrams, and sets the member's Advertise to it.
func NewSwitch(members []*Member, seed uint64) (*Switch, error) {
	s := &Switch{rnd: rand.New(rand.NewPCG(seed, 0x519)), memberByAddr: map[netip.AddrPort]int{}}
	for i, m := range members {
		at, err := netip.ParseAddrPort(m.UDP)
		if err != nil {
			return nil, fmt.Errorf("rig: %w", err)
		}
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			s.Close()
			return nil, fmt.Errorf("rig: %w", err)
		}
		m.Advertise = conn.LocalAddr().String()
		s.ports, s.memberAddrs, s.memberByAddr[at] = append(s.ports, conn), append(s.memberAddrs, at), i
		s.links = append(s.links, make([]Link, len(members)))
	}
	for i := range s.ports {
		s.goroutines.Go(func() { s.serve(i) })
	}
	return s, nil
}

// serve forwards the datagrams that arrive for one member.
func (s *Switch) serve(to int) {
	buf := make([]byte, 2048)
	for {
		n, addr, err := s.ports[to].ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if from, known := s.memberByAddr[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]; known {
			s.forward(from, to, append([]byte(nil), buf[:n]...))
		}
	}
}

func (s *Switch) forward(from, to int, d []byte) {
	s.mu.Lock()
	l := s.links[from][to]
	copies := 1
	if l.Duplicate > 0 && s.rnd.Float64() < l.Duplicate {
		copies = 2
	}
	if len(s.recorded) < maxRecorded {
		s.recorded, s.recordedLinks = append(s.recorded, d), append(s.recordedLinks, [2]int{from, to})
	} else {
		i := s.rnd.IntN(maxRecorded)
		s.recorded[i], s.recordedLinks[i] = d, [2]int{from, to}
	}
	var waits []time.Duration
	for range copies {
		if l.Cut || l.Loss > 0 && s.rnd.Float64() < l.Loss {
			continue
		}
		if l.Flip > 0 && s.rnd.Float64() < l.Flip && len(d) > 0 {
			d = append([]byte(nil), d...)
			d[s.rnd.IntN(len(d))] ^= 1 << s.rnd.IntN(8)
		}
		waits = append(waits, time.Duration((l.Delay+l.Jitter*s.rnd.Float64())*float64(time.Millisecond)))
		s.passed++
	}
	s.mu.Unlock()
	for _, wait := range waits {
		if wait <= 0 {
			s.ports[from].WriteToUDPAddrPort(d, s.memberAddrs[to]) // the source is the sender's advertised address
		} else {
			time.AfterFunc(wait, func() { s.ports[from].WriteToUDPAddrPort(d, s.memberAddrs[to]) })
		}
	}
}

// Set changes the link from one member to another.
func (s *Switch) Set(from, to int, change func(*Link)) {
	s.mu.Lock()
	change(&s.links[from][to])
	s.mu.Unlock()
}

// All changes every link.
func (s *Switch) All(change func(*Link)) {
	for i := range s.ports {
		for j := range s.ports {
			s.Set(i, j, change)
		}
	}
}

// Heal removes the faults of every link.
func (s *Switch) Heal() { s.All(func(l *Link) { *l = Link{} }) }

// Split partitions the network: datagrams pass only within each group, and a member of no group is isolated. It replaces earlier splits and cuts.
func (s *Switch) Split(groups ...[]int) {
	side := make([]int, len(s.ports))
	for i := range side {
		side[i] = -1 - i
	}
	for g, members := range groups {
		for _, i := range members {
			side[i] = g
		}
	}
	for i := range side {
		for j := range side {
			s.Set(i, j, func(l *Link) { l.Cut = side[i] != side[j] })
		}
	}
}

// Replay sends the recorded datagrams again with their original sources and returns their number.
func (s *Switch) Replay() int {
	s.mu.Lock()
	old, ways := append([][]byte(nil), s.recorded...), append([][2]int(nil), s.recordedLinks...)
	s.mu.Unlock()
	for i, d := range old {
		s.ports[ways[i][0]].WriteToUDPAddrPort(d, s.memberAddrs[ways[i][1]])
	}
	return len(old)
}

// Passed returns the number of forwarded datagrams.
func (s *Switch) Passed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.passed
}

// Close closes the addresses of the switch and waits for its goroutines.
func (s *Switch) Close() {
	for _, p := range s.ports {
		p.Close()
	}
	s.goroutines.Wait()
}

// ProxyMode is how a TCPProxy treats its connections.
type ProxyMode int

const (
	Forward   ProxyMode = iota
	Blackhole           // reads everything and forwards nothing
	Reset               // resets open and new connections
	Slow                // forwards with a delay
)

// TCPProxy forwards TCP connections from one broker to a store or to discovery, and injects faults that affect that broker alone.
type TCPProxy struct {
	Addr       string // address to which the broker connects
	target     string
	ln         net.Listener
	mu         sync.Mutex
	mode       ProxyMode
	delay      time.Duration
	open       map[net.Conn]bool
	goroutines sync.WaitGroup
}

// NewTCPProxy opens a proxy to a target address.
func NewTCPProxy(target string) (*TCPProxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("rig: %w", err)
	}
	w := &TCPProxy{Addr: ln.Addr().String(), target: target, ln: ln, open: map[net.Conn]bool{}}
	w.goroutines.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			w.goroutines.Go(func() { w.proxy(conn) })
		}
	})
	return w, nil
}

// SetMode changes the treatment of connections, open ones too. The delay applies to Slow.
func (w *TCPProxy) SetMode(how ProxyMode, late time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mode, w.delay = how, late
	if how == Reset {
		for c := range w.open {
			reset(c)
		}
	}
}

func reset(c net.Conn) {
	if t, is := c.(*net.TCPConn); is {
		t.SetLinger(0)
	}
	c.Close()
}

func (w *TCPProxy) currentMode() (ProxyMode, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mode, w.delay
}

func (w *TCPProxy) proxy(conn net.Conn) {
	far, err := net.Dial("tcp", w.target)
	if how, _ := w.currentMode(); err != nil || how == Reset {
		reset(conn)
		if err == nil {
			far.Close()
		}
		return
	}
	w.mu.Lock()
	w.open[conn], w.open[far] = true, true
	w.mu.Unlock()
	pass := func(from, to net.Conn) {
		buf := make([]byte, 16<<10)
		for {
			n, err := from.Read(buf)
			how, late := w.currentMode()
			if how == Slow {
				time.Sleep(late)
			}
			if how != Blackhole && n > 0 {
				if _, err := to.Write(buf[:n]); err != nil {
					break
				}
			}
			if err != nil {
				if err != io.EOF {
					reset(to)
				}
				break
			}
		}
		from.Close()
		to.Close()
	}
	w.goroutines.Go(func() { pass(far, conn) })
	pass(conn, far)
	w.mu.Lock()
	delete(w.open, conn)
	delete(w.open, far)
	w.mu.Unlock()
}

// Close closes the listener and all connections and waits for the goroutines.
func (w *TCPProxy) Close() {
	w.ln.Close()
	w.mu.Lock()
	for c := range w.open {
		c.Close()
	}
	w.mu.Unlock()
	w.goroutines.Wait()
}
