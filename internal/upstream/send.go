package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/chunks"
	"gullstair/internal/clientbudget"
	"gullstair/internal/clientlimit"
	"gullstair/internal/lifecycle"
)

// RequestIDHeader is the header that identifies the request a response belongs to.
const RequestIDHeader = "X-Request-Id"

// instanceIDHeader is the header that identifies the responding instance.
const instanceIDHeader = "X-Instance-Id"

const (
	maxHeaderHint = 1 << 10
	maxJoinedBody = 64 << 10 // bytes of a body that is sent together with the head
)

// Progress is how far a request got.
type Progress int

const (
	NotSent  Progress = iota // no part of the request was sent
	Sent                     // the request may have run
	Answered                 // the head of the response has arrived
)

// Request is a request to an instance.
type Request struct {
	Method        string
	Target        string // path and query in the form that the client sent
	Host          string
	Header        http.Header
	Body          [][]byte // in chunks
	ID            string   // value of X-Request-Id; if empty, a late response to an earlier request cannot be detected
	DedicatedConn bool     // use a connection of its own, which is closed after the response
	// Account is what the response is counted for; nil: the request gets an account of its own.
	Account *clientlimit.Account
	// SetHeaders sets headers whose values depend on the time of sending. It may be nil.
	SetHeaders func(http.Header)
}

// Response is a response whose body has not been read yet. The caller must close it.
type Response struct {
	Status    int
	Header    http.Header
	Length    int64 // of the body; negative if unknown
	body      io.ReadCloser
	conn      *Conn
	pool      *Pool
	stop      func() bool
	account   *clientlimit.Account
	ended     func()              // closes the account if it is the request's own
	held      clientbudget.Amount // for what ReadAll has read
	complete  bool
	keepAlive bool
}

// ErrWrongResponse means that the responses on the connection do not belong to the request.
var ErrWrongResponse = errors.New("response belongs to another request")

// Send writes a request to a connection and reads the head of its response. When the context ends, reads and writes fail and
// the connection is closed.
func (p *Pool) Send(ctx context.Context, address string, r *Request) (*Response, Progress, error) {
	account, ended, open := p.account(r)
	if !open {
		return nil, NotSent, clientbudget.ErrNoRoom
	}
	response, progress, err := p.exchange(ctx, address, r, account)
	if err != nil {
		ended()
		return nil, progress, err
	}
	response.account, response.ended = account, ended
	return response, progress, nil
}

// account returns the account for what a request's response holds, and a function that closes it if it is the request's own.
func (p *Pool) account(r *Request) (account *clientlimit.Account, ended func(), open bool) {
	if r.Account != nil {
		return r.Account, func() {}, true
	}
	account, open = p.limiter.Open(clientbudget.Amount{}, true, func(clientbudget.Stage) bool { return false })
	account.Enter(clientbudget.Working)
	return account, account.Close, open
}

func (p *Pool) exchange(ctx context.Context, address string, r *Request, account *clientlimit.Account) (*Response, Progress, error) {
	conn, err := p.connect(ctx, address, r)
	if err != nil {
		return nil, NotSent, errors.Wrap(err, "connect")
	}
	conn.recordID(r.ID)
	conn.ctx = ctx
	conn.source.beginRequest(account)
	stop := context.AfterFunc(ctx, lifecycle.Guard(func() { _ = conn.SetDeadline(time.Unix(1, 0)) }))
	if r.SetHeaders != nil {
		r.SetHeaders(r.Header)
	}
	sent, err := conn.send(r)
	if err != nil {
		stop()
		conn.Close()
		if !sent {
			return nil, NotSent, errors.Wrap(err, "send")
		}
		return nil, Sent, errors.Wrap(err, "send")
	}
	response, err := conn.readResponse(r)
	if err != nil {
		stop()
		conn.source.release()
		conn.Close()
		return nil, Sent, err
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, body: response.Body, conn: conn,
		pool: p, stop: stop, keepAlive: !response.Close && !r.DedicatedConn}, Answered, nil
}

func (p *Pool) connect(ctx context.Context, address string, r *Request) (*Conn, error) {
	if r.DedicatedConn {
		return p.dial(ctx, address)
	}
	return p.get(ctx, address, r.ID)
}

// send writes a request. It reports whether any of it was sent. A small body is sent together with the head.
func (c *Conn) send(r *Request) (sent bool, err error) {
	head := r.head()
	rest := r.Body
	if chunks.Size(r.Body) <= maxJoinedBody {
		head = append(head, chunks.Join(r.Body)...)
		rest = nil
	}
	n, err := c.Write(head)
	for at := 0; err == nil && at < len(rest); at++ {
		_, err = c.Write(rest[at])
	}
	return n > 0, err
}

// head returns the head of the request in wire format.
func (r *Request) head() []byte {
	var b bytes.Buffer
	b.Grow(maxHeaderHint)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // writing to a buffer does not fail
	if size := chunks.Size(r.Body); size > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.FormatInt(size, 10) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readResponse reads the head of the response to r. It discards interim responses and late responses to earlier requests.
func (c *Conn) readResponse(r *Request) (*http.Response, error) {
	for range maxSurplusResponses {
		response, err := c.readHead(r)
		if err != nil {
			return nil, errors.Wrap(err, "read response")
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 && response.StatusCode != http.StatusSwitchingProtocols {
			continue // interim
		}
		if id := response.Header.Get(RequestIDHeader); id == r.ID || id == "" && r.ID == "" {
			if response.ContentLength > maxContentLength {
				return nil, errors.Wrapf(ErrBodyTooLarge, "%d bytes announced", response.ContentLength)
			}
			return response, nil
		}
		if response.Close || !c.discard(response.Body, maxSurplusBytes, surplusTimeout) {
			return nil, ErrWrongResponse // no other response follows on this connection, or not soon
		}
	}
	return nil, ErrWrongResponse
}

// readHead reads the next head on the connection.
func (c *Conn) readHead(r *Request) (*http.Response, error) {
	if err := c.source.beginHead(c.reader); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	c.source.inHead = false
	return response, err
}

// Misdirected reports whether another instance than the intended one received the request and refused it for that reason. A
// refusal without the id of the responding instance does not count.
func (r *Response) Misdirected(instance string) bool {
	other := r.Header.Get(instanceIDHeader)
	return r.Status == http.StatusMisdirectedRequest && other != "" && other != instance
}

// Read reads from the body.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == io.EOF {
		r.complete = true
	}
	return n, err
}

// Buffered reports whether received bytes are waiting in the connection's buffer.
func (r *Response) Buffered() bool { return r.conn.reader.Buffered() > 0 }

// Received returns the number of bytes that have arrived on the connection since the request was sent.
func (r *Response) Received() int64 { return r.conn.source.received }

// ReadAll reads the body, which may have at most this many bytes. What is read counts several times until the response is
// closed, since it is parsed.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	body, err := chunks.Read(&countedBody{Response: r, left: limit})
	if err != nil {
		return nil, err
	}
	defer chunks.Release(body)
	return chunks.Join(body), nil
}

// parsedCopies is how many times the bytes of a body are held while it is parsed.
const parsedCopies = 4

// countedBody is a body that is counted as held, and that has a limit.
type countedBody struct {
	*Response
	left int64 // bytes that may follow
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.Response.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return 0, ErrBodyTooLarge
	}
	more := clientbudget.Amount{Bytes: parsedCopies * int64(n)}
	if !b.account.Hold(more) {
		return 0, clientbudget.ErrNoRoom
	}
	b.held.Bytes += more.Bytes
	return n, err
}

// Discard reads the rest of the body if it is short and arrives at once, so that the connection can be reused.
func (r *Response) Discard() {
	if r.keepAlive && r.conn.discard(r.body, maxDiscardedBytes, discardTimeout) {
		r.complete = true
	}
}

// Close releases the connection. It returns to the pool if the response was read completely and the peer keeps the connection
// open; otherwise it is closed.
func (r *Response) Close() {
	r.account.Drop(r.held)
	r.conn.source.release()
	r.ended()
	stopped := r.stop()
	idle := idleTimeout(r.Header.Get("Keep-Alive"))
	closes := strings.EqualFold(r.Header.Get("Connection"), "close")
	if !stopped || !r.complete || !r.keepAlive || closes || idle == 0 || r.conn.reader.Buffered() > 0 {
		r.conn.Close()
		return
	}
	r.pool.put(r.conn, idle)
}
