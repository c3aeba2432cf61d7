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

	"gullstair/internal/chunks"
	"gullstair/internal/clientbudget"
	"gullstair/internal/clientlimit"
	"gullstair/internal/dissemination"
	"gullstair/internal/gobpool"
	"gullstair/internal/lifecycle"
	"gullstair/internal/netio"
)

const (
	frameHeader        = 4
	maxFrame           = 16 << 20 // maximum size of a message in bytes
	dialTimeout        = 250 * time.Millisecond
	writeTimeout       = 2 * time.Second
	idleTimeout        = 30 * time.Second // a server closes a connection without calls after this time
	bufferSize         = 2 << 10
	maxKeptBuffer      = 2 << 10  // maximum size in bytes of a buffer that a connection keeps between messages
	maxConcurrentCalls = 64       // maximum number of concurrent calls per connection
	writeChunk         = 64 << 10 // bytes per write, each with its own writeTimeout
)

// ErrClosed means that a connection ended before the reply arrived.
var ErrClosed = errors.New("the connection to the peer has ended")

// ErrStalled means that no data has arrived on a connection for too long.
var ErrStalled = errors.New("no data from the peer")

// sharedPool returns the encoders and decoders that all connections share. They are created before anything else in the
// process is encoded with gob: gob numbers types in the order of their first use, so the numbers are the same in all
// processes of a release, and the shared decoders can read what any of them writes.
var sharedPool = sync.OnceValue(func() *pool {
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

// codec encodes and decodes messages on one connection.
type codec struct {
	*pool
	conn    net.Conn
	traffic *Traffic

	writeMu         sync.Mutex
	definitionsSent bool // whether the type definitions have been written

	reader   *bufio.Reader
	frame    bytes.Buffer // the frame being read
	length   uint32       // of the frame read last, in bytes
	stream   gobpool.Stream
	received atomic.Int64         // bytes received
	account  *clientlimit.Account // what a connection that was accepted holds; nil for others
}

func newCodec(conn net.Conn, traffic *Traffic) *codec {
	c := &codec{pool: sharedPool(), conn: conn, traffic: traffic}
	c.reader = bufio.NewReaderSize(countingReader{c}, bufferSize)
	return c
}

// countingReader reads a codec's connection and counts the bytes.
type countingReader struct{ *codec }

func (c countingReader) Read(b []byte) (int, error) {
	n, err := c.conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

func (c *codec) write(m *Message) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	frame := make([]byte, frameHeader)
	if !c.definitionsSent {
		frame = append(frame, c.encoders.Definitions()...)
	}
	frame, err := c.encoders.Append(frame, m, m.bodies()...)
	if err != nil {
		return err
	}
	binary.LittleEndian.PutUint32(frame, uint32(len(frame)-frameHeader))
	c.definitionsSent = true
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
	if c.frame.Cap() > maxKeptBuffer {
		c.frame = bytes.Buffer{} // the connection may stay idle for a long time
	}
	return m, nil
}

// readFrame reads the next frame. It returns an error for a frame over maxFrame.
func (c *codec) readFrame() error {
	var header [frameHeader]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return err
	}
	length := binary.LittleEndian.Uint32(header[:])
	c.length = length
	if length > maxFrame {
		return errors.Newf("a message of %d bytes exceeds the limit", length)
	}
	c.account.Enter(clientbudget.Body)
	c.frame.Reset()
	if length <= maxKeptBuffer {
		_, err := io.CopyN(&c.frame, c.reader, int64(length))
		return err
	}
	frame, err := chunks.Read(countedReader{c, io.LimitReader(c.reader, int64(length))})
	if err != nil {
		return err
	}
	defer chunks.Release(frame)
	if chunks.Size(frame) < int64(length) {
		return io.ErrUnexpectedEOF
	}
	c.frame = *bytes.NewBuffer(chunks.Join(frame))
	return nil
}

// countedReader counts the bytes of a frame as held by the connection.
type countedReader struct {
	*codec
	frame io.Reader
}

func (c countedReader) Read(b []byte) (int, error) {
	n, err := c.frame.Read(b)
	c.account.Moved(n)
	if !c.account.Hold(heldFor(int64(n))) {
		return 0, clientbudget.ErrNoRoom
	}
	return n, err
}

// heldFor returns what a connection holds for bytes of a frame: once in chunks or as a message, and once in one piece.
func heldFor(bytes int64) clientbudget.Amount { return clientbudget.Amount{Bytes: 2 * bytes} }

// Handler handles a call and returns the reply. A nil reply closes the connection.
type Handler func(*Message) *Message

// Serve accepts connections and answers their calls until the listener is closed, which also closes the connections.
// traffic counts the messages, and limiter bounds what the connections hold; it may be nil.
func Serve(listener net.Listener, traffic *Traffic, limiter *clientlimit.Limiter, handle Handler) error {
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
		stop := context.AfterFunc(ctx, lifecycle.Guard(func() { conn.Close() }))
		lifecycle.Go(func() {
			defer stop()
			serveConn(conn, traffic, limiter, handle)
		})
	}
}

// acceptedConn is a connection whose calls are answered.
type acceptedConn struct {
	*codec
	handle Handler
	slots  chan struct{}

	mu    sync.Mutex
	calls int // in progress
}

func serveConn(conn net.Conn, traffic *Traffic, limiter *clientlimit.Limiter, handle Handler) {
	defer conn.Close()
	least := clientbudget.Amount{Bytes: clientbudget.ConnectionBytes, Descriptors: 1}
	account, open := limiter.Open(least, true, func(clientbudget.Stage) bool { return conn.Close() == nil })
	if !open {
		return
	}
	defer account.Close()
	c := &acceptedConn{codec: newCodec(conn, traffic), handle: handle, slots: make(chan struct{}, maxConcurrentCalls)}
	c.account = account
	for {
		if conn.SetReadDeadline(time.Now().Add(idleTimeout)) != nil {
			return
		}
		call, err := c.read()
		if err != nil {
			return
		}
		size := int64(c.length)
		if size <= maxKeptBuffer {
			size = 0 // not counted
		}
		c.slots <- struct{}{}
		c.begin()
		lifecycle.Go(func() {
			defer func() { <-c.slots }()
			defer c.end(size)
			c.answer(call)
		})
	}
}

// begin records that a call is in progress: the connection does not give way.
func (c *acceptedConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	c.account.Enter(clientbudget.Working)
}

// end records that a call with a frame of this size has ended.
func (c *acceptedConn) end(size int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls--
	c.account.Drop(heldFor(size))
	if c.calls == 0 && c.account.Stage() == clientbudget.Working {
		c.account.Enter(clientbudget.Idle)
	}
}

func (c *acceptedConn) answer(call *Message) {
	reply := c.handle(call)
	if reply == nil {
		c.conn.Close()
		return
	}
	reply.ID, reply.Reply = call.ID, true
	if c.write(reply) != nil {
		c.conn.Close()
	}
}

// Client makes calls to peers and keeps one connection to each.
type Client struct {
	network netio.Network
	traffic *Traffic
	mu      sync.Mutex
	peers   map[string]*peer
}

// NewClient returns a client without connections. traffic counts its messages.
func NewClient(network netio.Network, traffic *Traffic) *Client {
	sharedPool()
	return &Client{network: network, traffic: traffic, peers: map[string]*peer{}}
}

// peer is an open connection, or one that is being opened.
type peer struct {
	ready   chan struct{} // closed once codec or err is set
	codec   *codec
	err     error
	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan *Message
	closed  bool
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
	reply, id, err := p.addPending()
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
		p.removePending(id)
		return nil, ctx.Err()
	}
}

// CallWithStallTimeout sends a message and waits for its reply as long as data arrives on the connection. It returns
// ErrStalled once no data has arrived for stallTimeout. A large reply can take long on a slow link, so a fixed timeout
// would not do.
func (c *Client) CallWithStallTimeout(ctx context.Context, address string, m Message, stallTimeout time.Duration) (*Message, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	lifecycle.Go(func() { c.peer(address).watch(ctx, cancel, stallTimeout) })
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
	p := &peer{ready: make(chan struct{}), pending: map[uint64]chan *Message{}}
	c.peers[address] = p
	lifecycle.Go(func() { c.run(address, p) })
	return p
}

// run opens the connection and delivers its replies until it ends.
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
			p.close()
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

// watch cancels a call once no data has arrived from the peer for stallTimeout.
func (p *peer) watch(ctx context.Context, cancel context.CancelCauseFunc, stallTimeout time.Duration) {
	ticker := time.NewTicker(stallTimeout)
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

// received returns the number of bytes received from the peer.
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

func (p *peer) addPending() (chan *Message, uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, 0, ErrClosed
	}
	p.lastID++
	reply := make(chan *Message, 1)
	p.pending[p.lastID] = reply
	return reply, p.lastID, nil
}

func (p *peer) removePending(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, id)
}

func (p *peer) deliver(m *Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reply := p.pending[m.ID]; reply != nil {
		reply <- m
		delete(p.pending, m.ID)
	}
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for id, reply := range p.pending {
		close(reply)
		delete(p.pending, id)
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

// Reset closes the connection to a peer that does not answer. The next call opens a new one.
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
