package peerlink

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/dissemination"
	"gullstair/internal/gobpool"
	"gullstair/internal/netio"
)

const (
	frameHeader  = 4
	mostFrame    = 16 << 20 // bytes of one message
	dialTimeout  = 250 * time.Millisecond
	writeTimeout = 2 * time.Second
	idleTimeout  = 30 * time.Second // a served connection without calls is closed
	bufferSize   = 2 << 10
	mostKept     = 2 << 10  // bytes of a buffer that a connection keeps
	mostServed   = 64       // calls of one connection that are served at once
	writeChunk   = 64 << 10 // bytes that a peer has writeTimeout for
)

// ErrClosed says that a connection ended before the reply came.
var ErrClosed = errors.New("the connection to the peer has ended")

// ErrStalled says that nothing has come on a connection for too long.
var ErrStalled = errors.New("nothing comes from the peer")

// pools has the encoders and decoders that all connections share. They are made before anything else is encoded in the process:
// the numbers of its types are then the same in all processes of a release, and its decoders read what any of them writes.
var pools = sync.OnceValue(func() *pool {
	encoders, err := gobpool.NewEncoders(append(dissemination.Bodies(), &Message{})...)
	if err != nil {
		panic(err) // the types are fixed
	}
	return &pool{encoders, gobpool.NewDecoders(encoders.Definitions())}
})

type pool struct {
	encoders *gobpool.Encoders
	decoders *gobpool.Decoders
}

// codec writes and reads messages on one connection.
type codec struct {
	*pool
	conn    net.Conn
	traffic *Traffic

	writing sync.Mutex
	begun   bool // the definitions of the types have been written

	reader   *bufio.Reader
	frame    bytes.Buffer // that is being read
	stream   gobpool.Stream
	received atomic.Int64 // bytes
}

func newCodec(conn net.Conn, traffic *Traffic) *codec {
	c := &codec{pool: pools(), conn: conn, traffic: traffic}
	c.reader = bufio.NewReaderSize(counting{c}, bufferSize)
	return c
}

// counting reads a codec's connection and counts what comes.
type counting struct{ *codec }

func (c counting) Read(b []byte) (int, error) {
	n, err := c.conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

func (c *codec) write(m *Message) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	frame := make([]byte, frameHeader)
	if !c.begun {
		frame = append(frame, c.encoders.Definitions()...)
	}
	frame, err := c.encoders.Append(frame, m, m.bodies()...)
	if err != nil {
		return err
	}
	binary.LittleEndian.PutUint32(frame, uint32(len(frame)-frameHeader))
	c.begun = true
	c.traffic.sent[m.kind()].add(len(frame))
	for chunk := range slices.Chunk(frame, writeChunk) {
		if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := c.conn.Write(chunk); err != nil {
			return err
		}
	}
	return nil
}

func (c *codec) read() (*Message, error) {
	if err := c.readFrame(); err != nil {
		return nil, err
	}
	m := &Message{}
	if err := c.decoders.Decode(&c.stream, c.frame.Bytes(), m); err != nil {
		return nil, err
	}
	c.traffic.received[m.kind()].add(frameHeader + c.frame.Len())
	if c.frame.Cap() > mostKept {
		c.frame = bytes.Buffer{} // the connection may rest for long
	}
	return m, nil
}

// readFrame reads the next frame, and refuses one that is too large.
func (c *codec) readFrame() error {
	var header [frameHeader]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return err
	}
	length := binary.LittleEndian.Uint32(header[:])
	if length > mostFrame {
		return errors.Newf("a message of %d bytes is over the limit", length)
	}
	c.frame.Reset()
	_, err := io.CopyN(&c.frame, c.reader, int64(length))
	return err
}

// Handler answers a call; a nil reply ends the connection.
type Handler func(*Message) *Message

// Serve accepts connections and answers their calls until the listener is closed, which ends the connections too. traffic counts
// them.
func Serve(listener net.Listener, traffic *Traffic, handle Handler) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept a peer")
		}
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		go func() {
			defer stop()
			serveConn(conn, traffic, handle)
		}()
	}
}

func serveConn(conn net.Conn, traffic *Traffic, handle Handler) {
	defer conn.Close()
	c := newCodec(conn, traffic)
	slots := make(chan struct{}, mostServed)
	for {
		if conn.SetReadDeadline(time.Now().Add(idleTimeout)) != nil {
			return
		}
		call, err := c.read()
		if err != nil {
			return
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			reply := handle(call)
			if reply == nil {
				conn.Close()
				return
			}
			reply.ID, reply.Reply = call.ID, true
			if c.write(reply) != nil {
				conn.Close()
			}
		}()
	}
}

// Client calls peers and keeps one connection to each.
type Client struct {
	network netio.Network
	traffic *Traffic
	mu      sync.Mutex
	peers   map[string]*peer
}

// NewClient makes a client without connections. traffic counts its calls.
func NewClient(network netio.Network, traffic *Traffic) *Client {
	pools()
	return &Client{network: network, traffic: traffic, peers: map[string]*peer{}}
}

// peer is a connection in use, or one that is being made.
type peer struct {
	ready   chan struct{} // closed once codec or err is set
	codec   *codec
	err     error
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan *Message
	ended   bool
}

// Call sends a message and waits for its reply.
func (c *Client) Call(ctx context.Context, address string, m Message) (*Message, error) {
	p := c.peer(address)
	select {
	case <-p.ready:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if p.err != nil {
		return nil, p.err
	}
	reply, id, err := p.register()
	if err != nil {
		return nil, err
	}
	m.ID = id
	if err := p.codec.write(&m); err != nil {
		p.codec.conn.Close()
		return nil, errors.Wrap(err, "write to the peer")
	}
	select {
	case answer, ok := <-reply:
		if !ok {
			return nil, ErrClosed
		}
		return answer, nil
	case <-ctx.Done():
		p.forget(id)
		return nil, ctx.Err()
	}
}

// CallWhile sends a message and waits for its reply for as long as something comes on the connection at least every so often: a
// large reply takes its time on a thin link.
func (c *Client) CallWhile(ctx context.Context, address string, m Message, stall time.Duration) (*Message, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go c.peer(address).watch(ctx, cancel, stall)
	reply, err := c.Call(ctx, address, m)
	if err != nil && context.Cause(ctx) != nil {
		err = context.Cause(ctx)
	}
	return reply, err
}

func (c *Client) peer(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[address]; p != nil {
		return p
	}
	p := &peer{ready: make(chan struct{}), waiting: map[uint64]chan *Message{}}
	c.peers[address] = p
	go c.run(address, p)
	return p
}

// run makes the connection and takes its replies until it ends.
func (c *Client) run(address string, p *peer) {
	defer c.drop(address, p)
	conn, err := c.network.Dial(context.Background(), address, dialTimeout)
	if err != nil {
		p.err = errors.Wrap(err, "connect to the peer")
		c.drop(address, p)
		close(p.ready)
		return
	}
	defer conn.Close()
	p.codec = newCodec(conn, c.traffic)
	close(p.ready)
	for {
		m, err := p.codec.read()
		if err != nil {
			p.end()
			return
		}
		p.deliver(m)
	}
}

func (c *Client) drop(address string, p *peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers[address] == p {
		delete(c.peers, address)
	}
}

// watch cancels a call once nothing has come from the peer for a while.
func (p *peer) watch(ctx context.Context, cancel context.CancelCauseFunc, stall time.Duration) {
	ticker := time.NewTicker(stall)
	defer ticker.Stop()
	for before := int64(-1); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := p.received()
		if now == before {
			cancel(ErrStalled)
			return
		}
		before = now
	}
}

// received is how many bytes have come from the peer.
func (p *peer) received() int64 {
	select {
	case <-p.ready:
		if p.codec != nil {
			return p.codec.received.Load()
		}
	default:
	}
	return 0
}

func (p *peer) register() (chan *Message, uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return nil, 0, ErrClosed
	}
	p.last++
	reply := make(chan *Message, 1)
	p.waiting[p.last] = reply
	return reply, p.last, nil
}

func (p *peer) forget(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}

func (p *peer) deliver(m *Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reply := p.waiting[m.ID]; reply != nil {
		reply <- m
		delete(p.waiting, m.ID)
	}
}

func (p *peer) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for id, reply := range p.waiting {
		close(reply)
		delete(p.waiting, id)
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	addresses := slices.Collect(maps.Keys(c.peers))
	c.mu.Unlock()
	for _, address := range addresses {
		c.Reset(address)
	}
}

// Reset closes the connection to a peer that does not answer; the next call makes a new one.
func (c *Client) Reset(address string) {
	c.mu.Lock()
	p := c.peers[address]
	delete(c.peers, address)
	c.mu.Unlock()
	if p == nil {
		return
	}
	select {
	case <-p.ready:
		if p.codec != nil {
			p.codec.conn.Close()
		}
	default:
	}
}
