package rig

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

// Link is how datagrams fare from one member to another.
type Link struct {
	virtual.Weather
	Cut  bool
	Flip float64 // share in which a byte is flipped
}

// Switch passes every datagram between two members; each direction of each pair is a Link of its own. It owns the addresses that members tell each
// other, so that nobody gets past it.
type Switch struct {
	mu     sync.Mutex
	rnd    *rand.Rand
	links  [][]Link // from, to
	ports  []*net.UDPConn
	real   []netip.AddrPort
	from   map[netip.AddrPort]int
	old    [][]byte // recorded
	oldWay [][2]int
	passed int
	ended  sync.WaitGroup
}

const recordedMost = 4096

// NewSwitch opens an address for each member, where the others send what is for it, and puts it into its Advertise.
func NewSwitch(members []*Member, seed uint64) (*Switch, error) {
	s := &Switch{rnd: rand.New(rand.NewPCG(seed, 0x519)), from: map[netip.AddrPort]int{}}
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
		s.ports, s.real, s.from[at] = append(s.ports, conn), append(s.real, at), i
		s.links = append(s.links, make([]Link, len(members)))
	}
	for i := range s.ports {
		s.ended.Go(func() { s.serve(i) })
	}
	return s, nil
}

// serve passes on what comes for one member.
func (s *Switch) serve(to int) {
	buf := make([]byte, 2048)
	for {
		n, addr, err := s.ports[to].ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if from, known := s.from[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]; known {
			s.pass(from, to, append([]byte(nil), buf[:n]...))
		}
	}
}

func (s *Switch) pass(from, to int, d []byte) {
	s.mu.Lock()
	l := s.links[from][to]
	copies := 1
	if l.Duplicate > 0 && s.rnd.Float64() < l.Duplicate {
		copies = 2
	}
	if len(s.old) < recordedMost {
		s.old, s.oldWay = append(s.old, d), append(s.oldWay, [2]int{from, to})
	} else {
		i := s.rnd.IntN(recordedMost)
		s.old[i], s.oldWay[i] = d, [2]int{from, to}
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
			s.ports[from].WriteToUDPAddrPort(d, s.real[to]) // as if the sender itself sent it
		} else {
			time.AfterFunc(wait, func() { s.ports[from].WriteToUDPAddrPort(d, s.real[to]) })
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

// Heal makes every link whole again.
func (s *Switch) Heal() { s.All(func(l *Link) { *l = Link{} }) }

// Split lets datagrams pass within each group only; members in none are alone. It undoes earlier splits and cuts.
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

// Replay sends recorded datagrams again, as if from whom they came; it says how many.
func (s *Switch) Replay() int {
	s.mu.Lock()
	old, ways := append([][]byte(nil), s.old...), append([][2]int(nil), s.oldWay...)
	s.mu.Unlock()
	for i, d := range old {
		s.ports[ways[i][0]].WriteToUDPAddrPort(d, s.real[ways[i][1]])
	}
	return len(old)
}

// Passed counts what has been let through.
func (s *Switch) Passed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.passed
}

// Close ends the switch.
func (s *Switch) Close() {
	for _, p := range s.ports {
		p.Close()
	}
	s.ended.Wait()
}

// Manner is how a Wire treats its connections.
type Manner int

const (
	Whole  Manner = iota
	Silent        // takes everything, passes nothing on
	Reset         // resets what is open and what comes
	Slow          // passes everything on late
)

// Wire is a TCP way from one broker to a store or to discovery, on which things go wrong for that broker alone.
type Wire struct {
	Addr string // where the broker connects
	to   string
	ln   net.Listener
	mu   sync.Mutex
	how  Manner
	late time.Duration
	open map[net.Conn]bool
	end  sync.WaitGroup
}

// NewWire opens a way to an address.
func NewWire(to string) (*Wire, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("rig: %w", err)
	}
	w := &Wire{Addr: ln.Addr().String(), to: to, ln: ln, open: map[net.Conn]bool{}}
	w.end.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			w.end.Go(func() { w.carry(conn) })
		}
	})
	return w, nil
}

// Be changes how it treats connections, those that are open too; late is for Slow.
func (w *Wire) Be(how Manner, late time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.how, w.late = how, late
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

func (w *Wire) manner() (Manner, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.how, w.late
}

func (w *Wire) carry(conn net.Conn) {
	far, err := net.Dial("tcp", w.to)
	if how, _ := w.manner(); err != nil || how == Reset {
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
			how, late := w.manner()
			if how == Slow {
				time.Sleep(late)
			}
			if how != Silent && n > 0 {
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
	w.end.Go(func() { pass(far, conn) })
	pass(conn, far)
	w.mu.Lock()
	delete(w.open, conn)
	delete(w.open, far)
	w.mu.Unlock()
}

// Close ends it.
func (w *Wire) Close() {
	w.ln.Close()
	w.mu.Lock()
	for c := range w.open {
		c.Close()
	}
	w.mu.Unlock()
	w.end.Wait()
}
