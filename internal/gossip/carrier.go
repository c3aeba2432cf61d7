package gossip

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"gullstair/internal/memberstate"
)

// Counts are a carrier's metrics. Dropped datagrams are only counted by cause and not logged, since anybody can send
// one.
type Counts struct {
	Sent          int64 `json:"sent"`
	Received      int64 `json:"received"`
	SendFailed    int64 `json:"send_failed"`
	TooLarge      int64 `json:"too_large"`
	Short         int64 `json:"short"`
	Version       int64 `json:"version"`
	Key           int64 `json:"key"`
	Forged        int64 `json:"forged"`
	Stale         int64 `json:"stale"`
	Replay        int64 `json:"replay"`
	Body          int64 `json:"body"`
	BytesSent     int64 `json:"bytes_sent"`
	BytesReceived int64 `json:"bytes_received"`
}

// Carrier sends and receives sealed envelopes on a UDP port.
type Carrier struct {
	conn   *net.UDPConn
	sealer *Sealer
	wall   func() float64

	sent, received, sendFailed, tooLarge atomic.Int64
	bytesOut, bytesIn                    atomic.Int64
	dropped                              [7]atomic.Int64

	mu    sync.Mutex
	addrs map[string]netip.AddrPort
}

const maxCachedAddrs = 4096 // size of the cache of parsed addresses

var dropCauses = [...]error{ErrShort, ErrVersion, ErrKey, ErrForged, ErrStale, ErrReplayed, ErrBody}

// Listen opens the UDP port. wall returns the wall clock in ms.
func Listen(addr string, sealer *Sealer, wall func() float64) (*Carrier, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("gossip address: %w", err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("listening for gossip: %w", err)
	}
	return &Carrier{conn: conn, sealer: sealer, wall: wall, addrs: map[string]netip.AddrPort{}}, nil
}

// Addr returns the address on which the carrier receives.
func (c *Carrier) Addr() string { return c.conn.LocalAddr().String() }

// Run receives envelopes and passes them to take until the carrier is closed. take must not block.
func (c *Carrier) Run(handle func(addr string, e memberstate.Envelope)) {
	buf := make([]byte, MaxDatagram+1)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier datagram was undeliverable (ICMP error); receiving continues
		}
		c.bytesIn.Add(int64(n))
		e, err := c.Read(buf[:n])
		if err != nil {
			for i, cause := range dropCauses {
				if errors.Is(err, cause) {
					c.dropped[i].Add(1)
				}
			}
			continue
		}
		c.received.Add(1)
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), e)
	}
}

// Read opens and decodes one datagram.
func (c *Carrier) Read(d []byte) (e memberstate.Envelope, err error) {
	body, err := c.sealer.Open(d, c.wall())
	if err != nil {
		return e, err
	}
	if err := memberstate.Unmarshal(body, &e); err != nil || e.From == "" {
		return memberstate.Envelope{}, ErrBody
	}
	return e, nil
}

// Send sends an envelope. It counts failures and returns none, since a datagram may be lost anyway.
func (c *Carrier) Send(addr string, e memberstate.Envelope) {
	to, err := c.resolve(addr)
	if err != nil {
		c.sendFailed.Add(1)
		return
	}
	body, err := memberstate.Marshal(&e)
	if err != nil {
		c.sendFailed.Add(1)
		return
	}
	d, err := c.sealer.Seal(body, c.wall())
	if err != nil {
		c.tooLarge.Add(1)
		return
	}
	if n, err := c.conn.WriteToUDPAddrPort(d, to); err != nil {
		c.sendFailed.Add(1)
	} else {
		c.sent.Add(1)
		c.bytesOut.Add(int64(n))
	}
}

func (c *Carrier) resolve(addr string) (netip.AddrPort, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if to, known := c.addrs[addr]; known {
		return to, nil
	}
	to, err := netip.ParseAddrPort(addr)
	if err == nil {
		if len(c.addrs) >= maxCachedAddrs {
			clear(c.addrs)
		}
		c.addrs[addr] = to
	}
	return to, err
}

// Counts returns the current counts.
func (c *Carrier) Counts() Counts {
	n := func(i int) int64 { return c.dropped[i].Load() }
	return Counts{Sent: c.sent.Load(), Received: c.received.Load(), SendFailed: c.sendFailed.Load(),
		TooLarge: c.tooLarge.Load(), Short: n(0), Version: n(1), Key: n(2), Forged: n(3), Stale: n(4), Replay: n(5),
		Body: n(6), BytesSent: c.bytesOut.Load(), BytesReceived: c.bytesIn.Load()}
}

// Close closes the port, which ends Run.
func (c *Carrier) Close() error { return c.conn.Close() }
