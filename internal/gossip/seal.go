// Package gossip transports the envelopes of members over UDP. A Sealer authenticates datagrams and rejects replays; a
// Carrier does the network I/O.
package gossip

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
)

// A datagram consists of: version (1 byte), key number (1), number of the sending process (8), its datagram counter
// (8), its wall clock in ms (8), the body, and the first 16 bytes of an HMAC-SHA256 over all of these. Numbers are
// big-endian.
const (
	version    = 1
	headerSize = 1 + 1 + 8 + 8 + 8
	macSize    = 16
	// MaxDatagram is the maximum size of a datagram in bytes. It fits an MTU of 1,500 without fragmentation.
	MaxDatagram = 1400
	// windowBits is the size of the replay window: how far a counter may lag behind the newest of its sender.
	windowBits       = 1024
	maxSenders       = 2048  // senders with a replay window in memory
	minSecretBytes   = 16    // minimum secret length in bytes
	defaultFreshness = 60000 // default clock tolerance in ms
)

// Key authenticates datagrams. Its number is part of the datagram, so that several keys can be in use during a
// rotation.
type Key struct {
	Number uint8
	Secret []byte
}

// Reasons to drop a datagram. A Carrier counts drops by cause, except for ErrSender, and does not log them, since anybody
// who can reach the port can cause them.
var (
	ErrShort    = errors.New("datagram too short or too long")
	ErrVersion  = errors.New("unsupported datagram version")
	ErrKey      = errors.New("sealed with an unknown key")
	ErrForged   = errors.New("the MAC does not match")
	ErrStale    = errors.New("sent too long ago, or the clocks differ too much")
	ErrReplayed = errors.New("replayed, or older than the replay window")
	ErrBody     = errors.New("the body cannot be decoded")
	ErrSender   = errors.New("too many senders; replays of another one cannot be detected")
)

// Sealer seals the datagrams of one process and opens those that it receives. It is safe for concurrent use.
type Sealer struct {
	boot      uint64
	freshness float64

	mu      sync.Mutex
	keys    []Key // the first seals, all open
	counter uint64
	senders map[uint64]*replayWindow
}

// replayWindow is the replay window of one sender.
type replayWindow struct {
	newest   uint64
	bits     [windowBits / 64]uint64
	lastUsed float64 // wall clock at the last accepted datagram
}

// NewSealer returns a Sealer for the process with number boot. Open rejects datagrams whose wall clock differs by more
// than freshness ms from the local one; 0 means 60 s. At least one key is required.
func NewSealer(boot uint64, keys []Key, freshness float64) (*Sealer, error) {
	if freshness <= 0 {
		freshness = defaultFreshness
	}
	s := &Sealer{boot: boot, freshness: freshness, senders: map[uint64]*replayWindow{}}
	return s, s.Rekey(keys)
}

// Rekey replaces the keys: the first one seals from now on, all of them open. To rotate a key without dropping
// datagrams, append the new one at all members, then move it to the front at all, then remove the old one.
func (s *Sealer) Rekey(keys []Key) error {
	seen := map[uint8]bool{}
	for _, k := range keys {
		if len(k.Secret) < minSecretBytes {
			return fmt.Errorf("key %d: the secret has %d bytes, the minimum is %d", k.Number, len(k.Secret), minSecretBytes)
		}
		if seen[k.Number] {
			return fmt.Errorf("duplicate key number %d", k.Number)
		}
		seen[k.Number] = true
	}
	if len(keys) == 0 {
		return errors.New("no keys given")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys = append([]Key(nil), keys...)
	return nil
}

// Seal returns a datagram with the given body and wall-clock time.
func (s *Sealer) Seal(body []byte, wall float64) ([]byte, error) {
	if headerSize+len(body)+macSize > MaxDatagram {
		return nil, fmt.Errorf("a message of %d bytes does not fit into a datagram: %w", len(body), ErrShort)
	}
	s.mu.Lock()
	s.counter++
	count, key := s.counter, s.keys[0]
	s.mu.Unlock()
	d := make([]byte, headerSize, headerSize+len(body)+macSize)
	d[0], d[1] = version, key.Number
	binary.BigEndian.PutUint64(d[2:], s.boot)
	binary.BigEndian.PutUint64(d[10:], count)
	binary.BigEndian.PutUint64(d[18:], uint64(max(0, wall)))
	d = append(d, body...)
	return append(d, mac(key.Secret, d)...), nil
}

func mac(secret, data []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(data)
	return h.Sum(nil)[:macSize]
}

// Open authenticates a datagram and returns its body. A rejected datagram leaves no state behind.
func (s *Sealer) Open(d []byte, wall float64) ([]byte, error) {
	if len(d) < headerSize+macSize || len(d) > MaxDatagram {
		return nil, ErrShort
	}
	if d[0] != version {
		return nil, ErrVersion
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var secret []byte
	for _, k := range s.keys {
		if k.Number == d[1] {
			secret = k.Secret
		}
	}
	if secret == nil {
		return nil, ErrKey
	}
	body := d[:len(d)-macSize]
	if !hmac.Equal(mac(secret, body), d[len(d)-macSize:]) {
		return nil, ErrForged
	}
	boot, count := binary.BigEndian.Uint64(d[2:]), binary.BigEndian.Uint64(d[10:])
	if sent := float64(binary.BigEndian.Uint64(d[18:])); sent < wall-s.freshness || sent > wall+s.freshness {
		return nil, ErrStale
	}
	w := s.senders[boot]
	if w == nil {
		if len(s.senders) >= maxSenders && !s.evictStale(wall) {
			return nil, ErrSender
		}
		w = &replayWindow{}
		s.senders[boot] = w
	}
	if !w.accept(count) {
		return nil, ErrReplayed
	}
	w.lastUsed = wall
	return body[headerSize:], nil
}

// evictStale removes senders whose past datagrams are all stale and so need no replay window. It reports whether it
// removed any.
func (s *Sealer) evictStale(wall float64) bool {
	before := len(s.senders)
	for boot, w := range s.senders {
		if wall-w.lastUsed > 2*s.freshness {
			delete(s.senders, boot)
		}
	}
	return len(s.senders) < before
}

// accept reports whether a counter is new, and marks it as seen.
func (w *replayWindow) accept(count uint64) bool {
	if count == 0 {
		return false
	}
	if count > w.newest {
		if count-w.newest >= windowBits {
			w.bits = [windowBits / 64]uint64{}
		} else {
			for c := w.newest + 1; c <= count; c++ {
				w.bits[c%windowBits/64] &^= 1 << (c % 64)
			}
		}
		w.newest = count
	} else if w.newest-count >= windowBits {
		return false
	} else if w.bits[count%windowBits/64]&(1<<(count%64)) != 0 {
		return false
	}
	w.bits[count%windowBits/64] |= 1 << (count % 64)
	return true
}
