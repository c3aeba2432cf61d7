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
)

// RequestID is the header that tells which request an answer belongs to.
const RequestID = "X-Request-Id"

// instanceID is the header that tells which instance answers.
const instanceID = "X-Instance-Id"

const (
	mostSurplus   = 4 // answers to earlier requests that are passed over on one connection
	maxHeaderHint = 1 << 10
)

// Progress says how far a request got.
type Progress int

const (
	NotSent  Progress = iota // nothing of it reached the instance
	Sent                     // it may have run
	Answered                 // its answer's head has arrived
)

// Request is what is sent to an instance.
type Request struct {
	Method string
	Target string // path and query as the client sent them
	Host   string
	Header http.Header
	Body   []byte
	ID     string // of X-Request-Id; without one nothing tells a late answer to an earlier request from the one due
	Once   bool   // the connection is used for nothing before and nothing after
	// Complete sets headers whose values depend on the moment of sending; may be nil.
	Complete func(http.Header)
}

// Response is an answer whose body is still to be read. It must be closed.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the body; below 0: not told
	body   io.ReadCloser
	conn   *Conn
	pool   *Pool
	stop   func() bool
	whole  bool
	keep   bool
}

// ErrForeign says that an answer belongs to no request of this connection.
var ErrForeign = errors.New("answer belongs to another request")

// Send writes a request to a connection and reads the head of its answer. The context's end closes the connection.
func (p *Pool) Send(ctx context.Context, address string, r *Request) (*Response, Progress, error) {
	conn, err := p.connect(ctx, address, r)
	if err != nil {
		return nil, NotSent, errors.Wrap(err, "connect")
	}
	conn.carries(r.ID)
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if r.Complete != nil {
		r.Complete(r.Header)
	}
	n, err := conn.Write(r.bytes())
	if err != nil {
		stop()
		conn.Close()
		if n == 0 {
			return nil, NotSent, errors.Wrap(err, "send")
		}
		return nil, Sent, errors.Wrap(err, "send")
	}
	answer, err := conn.readAnswer(r)
	if err != nil {
		stop()
		conn.Close()
		return nil, Sent, err
	}
	return &Response{Status: answer.StatusCode, Header: answer.Header, Length: answer.ContentLength, body: answer.Body, conn: conn,
		pool: p, stop: stop, keep: !answer.Close && !r.Once}, Answered, nil
}

func (p *Pool) connect(ctx context.Context, address string, r *Request) (*Conn, error) {
	if r.Once {
		return p.dial(ctx, address)
	}
	return p.get(ctx, address, r.ID)
}

// bytes is the request as it goes over the wire.
func (r *Request) bytes() []byte {
	var b bytes.Buffer
	b.Grow(maxHeaderHint + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // writing to a buffer does not fail
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// readAnswer reads the head of the answer to r. Late answers to earlier requests are read and dropped.
func (c *Conn) readAnswer(r *Request) (*http.Response, error) {
	for range mostSurplus {
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if answer.StatusCode >= 100 && answer.StatusCode < 200 && answer.StatusCode != http.StatusSwitchingProtocols {
			continue // interim
		}
		if id := answer.Header.Get(RequestID); id == r.ID || id == "" && r.ID == "" {
			return answer, nil
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return nil, errors.Wrap(err, "read surplus answer")
		}
	}
	return nil, ErrForeign
}

// FromAnother says whether an instance other than the one that the request was for refused it because of that. Without the
// other's id it is not known to be another.
func (r *Response) FromAnother(instance string) bool {
	other := r.Header.Get(instanceID)
	return r.Status == http.StatusMisdirectedRequest && other != "" && other != instance
}

// Read reads the body.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == io.EOF {
		r.whole = true
	}
	return n, err
}

// Buffered says whether more of the body is likely to be there already.
func (r *Response) Buffered() bool { return r.conn.reader.Buffered() > 0 }

// Close ends the exchange: a connection whose answer was read whole is kept, another one is closed.
func (r *Response) Close() {
	stopped := r.stop()
	idle := idleTime(r.Header.Get("Keep-Alive"))
	closes := strings.EqualFold(r.Header.Get("Connection"), "close")
	if !stopped || !r.whole || !r.keep || closes || idle == 0 || r.conn.reader.Buffered() > 0 {
		r.conn.Close()
		return
	}
	r.pool.put(r.conn, idle)
}
