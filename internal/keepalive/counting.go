package keepalive

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"gullstair/internal/clientbudget"
)

// newConnection is what an idle connection holds.
var newConnection = clientbudget.Amount{Bytes: clientbudget.ConnectionBytes, Descriptors: 1}

const (
	evictionWriteTimeout = 10 * time.Millisecond // of the answer to a client that gives way; its send queue is empty

	headSlack      = 4 << 10     // bytes by which a head may exceed its limit, as in net/http
	discardTimeout = time.Second // time in which the rest of a refused request may arrive, so that its connection can be kept
)

// Answers to requests that have not been read whole. They have not run and never will.
var (
	noRoomAnswer       = rawAnswer(http.StatusServiceUnavailable, fmt.Sprintf("Retry-After: %.3f\r\n", clientbudget.RetryAfter.Seconds()))
	headTooLargeAnswer = rawAnswer(http.StatusRequestHeaderFieldsTooLarge, "")
)

func rawAnswer(status int, lines string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), lines)
}

// giveWay closes a connection to make room. Without a request it is closed only if none has arrived, and then false is
// returned. A request that has not been read whole is answered that it has not run.
func (c *conn) giveWay(stage clientbudget.Stage) bool {
	switch stage {
	case clientbudget.Idle:
		return c.closeIfIdle(0)
	case clientbudget.Head, clientbudget.Body:
		_ = c.Conn.SetWriteDeadline(time.Now().Add(evictionWriteTimeout))
		_, _ = io.WriteString(c.Conn, noRoomAnswer) // a client may also find its connection closed
	}
	_ = c.Conn.Close()
	return true
}

// countRead counts n bytes that were read into b. It returns false if there is no room for them: the client has been
// answered, and the connection ends.
func (c *conn) countRead(b []byte, n int) bool {
	if c.handling.Load() {
		return c.countWhileHandling(b, n)
	}
	c.account.Enter(clientbudget.Head)
	c.account.Moved(n)
	size, lines := c.head.Scan(b[:n])
	if limit := c.listener.headBytes.Load(); limit > 0 && c.head.Bytes > limit+headSlack {
		c.refuse(headTooLargeAnswer)
		return false
	}
	if !c.account.Hold(clientbudget.Amount{Bytes: int64(size) + int64(lines)*clientbudget.HeaderLineBytes}) {
		c.refuse(noRoomAnswer)
		return false
	}
	return true
}

// countWhileHandling counts bytes behind the head. The reader of the body counts the body. A read of a single byte is
// net/http's, while the handler runs and the body has been read: further bytes lie unread until the request has ended.
func (c *conn) countWhileHandling(b []byte, n int) bool {
	c.account.Moved(n)
	if len(b) > 1 || c.account.HoldUnread() {
		return true
	}
	_ = c.Conn.Close()
	c.account.Close()
	return false
}

// refuse answers a request whose head has not been read whole, and lets the client read the answer.
func (c *conn) refuse(answer string) {
	c.account.Enter(clientbudget.Closing)
	_ = c.Conn.SetDeadline(time.Now().Add(discardTimeout))
	if _, err := io.WriteString(c.Conn, answer); err == nil && c.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	before := c.account.Enter(clientbudget.Writing)
	n, err := c.Conn.Write(b)
	c.account.Moved(n)
	if before == clientbudget.Body {
		before = clientbudget.Closing // the answer has begun: no other may follow if the connection gives way
	}
	c.account.Enter(before)
	return n, err
}

// Requests is what a request at a listener may hold, and for how long.
type Requests struct {
	Holds         clientbudget.Amount // besides its head and its body
	BodyCopies    int64               // how many times its body is held at once
	BodyTimeout   time.Duration       // in which its body arrives, unless the handler sets another read deadline
	AnswerTimeout time.Duration       // in which its answer is written, unless the handler sets another write deadline
}

// Handler returns a handler that bounds what requests hold. The handler reads clientbudget.ErrNoRoom from the body if the
// request has to give way.
func (l *Listener) Handler(next http.Handler, requests Requests) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ours := r.Context().Value(connKey{}).(*conn)
		if !ours {
			next.ServeHTTP(w, r)
			return
		}
		c.markHandling()
		if c.head.More && r.Body == http.NoBody {
			c.account.MarkSurplus()
		}
		_ = c.Conn.SetWriteDeadline(time.Now().Add(requests.AnswerTimeout))
		if !c.account.Hold(requests.Holds) {
			c.account.Enter(clientbudget.Closing)
			refuseRequest(w, r)
			return
		}
		next.ServeHTTP(w, c.counted(r, requests))
	})
}

// counted returns a request whose body is counted and must arrive in time.
func (c *conn) counted(r *http.Request, requests Requests) *http.Request {
	if r.Body == http.NoBody {
		c.account.Enter(clientbudget.Working)
		return r
	}
	c.account.Enter(clientbudget.Body)
	_ = c.Conn.SetReadDeadline(time.Now().Add(requests.BodyTimeout)) // net/http clears it once the body has been read
	r = r.WithContext(r.Context())                                   // the server needs the request as it was
	r.Body = &countedBody{ReadCloser: r.Body, conn: c, copies: requests.BodyCopies}
	return r
}

// refuseRequest answers that there is no room for a request: it has not run, and the client may come back.
func refuseRequest(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Request-Id"); id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	w.Header().Set("Retry-After", fmt.Sprintf("%.3f", clientbudget.RetryAfter.Seconds()))
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// countedBody is the body of a request. It counts what has been read as held until the request has been answered.
type countedBody struct {
	io.ReadCloser
	conn   *conn
	copies int64
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.conn.account.Hold(clientbudget.Amount{Bytes: int64(n) * b.copies}) {
		return 0, clientbudget.ErrNoRoom
	}
	if err != nil {
		b.conn.account.Enter(clientbudget.Working)
	}
	return n, err
}
