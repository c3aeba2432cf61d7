package peerlink

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/gob"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/netio"
)

const (
	frameHeader  = 4
	mostFrame    = 16 << 20 // bytes of one message
	dialTimeout  = 250 * time.Millisecond
	writeTimeout = 2 * time.Second
	idleTimeout  = 30 * time.Second // a served connection without calls is closed
	bufferSize   = 2 << 10
	mostServed   = 64 // calls of one connection that are served at once
)

// ErrClosed says that a connection ended before the reply came.
var ErrClosed = errors.New("the connection to the peer has ended")

// codec writes and reads messages on one connection.
type codec struct {
	conn    net.Conn
	mu      sync.Mutex // over writing
	buffer  bytes.Buffer
	encoder *gob.Encoder
	decoder *gob.Decoder
}

func newCodec(conn net.Conn) *codec {
	c := &codec{conn: conn}
	c.encoder = gob.NewEncoder(&c.buffer)
	c.decoder = gob.NewDecoder(&frameReader{reader: bufio.NewReaderSize(conn, bufferSize)})
	return c
}

func (c *codec) write(m *Message) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buffer.Reset()
	c.buffer.Write(make([]byte, frameHeader))
	if err := c.encoder.Encode(m); err != nil {
		return errors.Wrap(err, "encode")
	}
	frame := c.buffer.Bytes()
	binary.LittleEndian.PutUint32(frame, uint32(len(frame)-frameHeader))
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.conn.Write(frame)
	return err
}

func (c *codec) read() (*Message, error) {
	m := &Message{}
	if err := c.decoder.Decode(m); err != nil {
		return nil, err
	}
	return m, nil
}

// frameReader gives the decoder the content of the frames, and refuses one that is too large.
type frameReader struct {
	reader *bufio.Reader
	left   int
}

func (f *frameReader) Read(b []byte) (int, error) {
	for f.left == 0 {
		var header [frameHeader]byte
		if _, err := io.ReadFull(f.reader, header[:]); err != nil {
			return 0, err
		}
		length := binary.LittleEndian.Uint32(header[:])
		if length > mostFrame {
			return 0, errors.Newf("a message of %d bytes is over the limit", length)
		}
		f.left = int(length)
	}
	n, err := f.reader.Read(b[:min(len(b), f.left)])
	f.left -= n
	return n, err
}

// ReadByte lets gob read without a buffer of its own.
func (f *frameReader) ReadByte() (byte, error) {
	var one [1]byte
	_, err := io.ReadFull(f, one[:])
	return one[0], err
}

// Handler answers a call; a nil reply ends the connection.
type Handler func(*Message) *Message

// Serve accepts connections and answers their calls until the listener is closed, which ends the connections too.
func Serve(listener net.Listener, handle Handler) error {
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
			serveConn(conn, handle)
		}()
	}
}

func serveConn(conn net.Conn, handle Handler) {
	defer conn.Close()
	c := newCodec(conn)
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
	mu      sync.Mutex
	peers   map[string]*peer
}

// NewClient makes a client without connections.
func NewClient(network netio.Network) *Client {
	return &Client{network: network, peers: map[string]*peer{}}
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
	p.codec = newCodec(conn)
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
