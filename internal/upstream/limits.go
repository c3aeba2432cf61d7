package upstream

import (
	"bufio"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"gullstair/internal/clientbudget"
	"gullstair/internal/clientlimit"
	"gullstair/internal/headscan"
)

// What an instance may make its caller read and hold before a response begins.
const (
	maxHeadBytes = 64 << 10 // of all heads that are read for one request: interim and surplus responses count too
	maxHeadLines = 1 << 10
	// Heads within these two are read even if there is no room for them in the process's budget.
	ordinaryHeadBytes = 20 << 10
	ordinaryHeadLines = 128

	maxSurplusResponses = 4               // responses on a connection that are skipped as interim or as belonging to earlier requests
	maxSurplusBytes     = 1 << 20         // of the bodies of such responses
	surplusTimeout      = 1 * time.Second // in which such a body must arrive

	maxDiscardedBytes = 16 << 10              // of the rest of a response that is not needed
	discardTimeout    = 20 * time.Millisecond // in which that rest must arrive, so that its connection can be reused

	maxContentLength = 1 << 40 // no request leaves time for a longer body
)

var (
	// ErrHeadTooLarge means that the heads of a response exceed the limit.
	ErrHeadTooLarge = errors.New("the head of the response exceeds the limit")
	// ErrBodyTooLarge means that the body of a response exceeds the limit.
	ErrBodyTooLarge = errors.New("the body of the response exceeds the limit")
)

// source reads a connection. While the head of a response is read it counts the head's bytes and lines, which the process's
// budget must have room for.
type source struct {
	conn     net.Conn
	received int64 // bytes, since the request was sent

	account *clientlimit.Account // of the request that the connection carries
	inHead  bool
	scanner headscan.Scanner // of the current head
	bytes   int64            // of all heads since the request was sent
	lines   int64
	held    clientbudget.Amount // for these heads
}

// Read implements io.Reader.
func (s *source) Read(b []byte) (int, error) {
	n, err := s.conn.Read(b)
	s.received += int64(n)
	if !s.inHead {
		return n, err
	}
	if limit := s.count(b[:n]); limit != nil {
		return 0, limit
	}
	return n, err
}

// beginRequest starts to count for another request.
func (s *source) beginRequest(account *clientlimit.Account) {
	*s = source{conn: s.conn, account: account}
}

// beginHead starts to count the head that the reader reads next.
func (s *source) beginHead(reader *bufio.Reader) error {
	s.inHead, s.scanner = true, headscan.Scanner{}
	buffered, _ := reader.Peek(reader.Buffered()) // does not fail: the bytes are there
	return s.count(buffered)
}

// count counts the bytes of the head among the next bytes.
func (s *source) count(b []byte) error {
	size, lines := s.scanner.Scan(b)
	s.bytes += int64(size)
	s.lines += int64(lines)
	if s.bytes > maxHeadBytes || s.lines > maxHeadLines {
		return ErrHeadTooLarge
	}
	more := clientbudget.Amount{Bytes: int64(size) + int64(lines)*clientbudget.HeaderLineBytes}
	if s.account.Hold(more) {
		s.held.Bytes += more.Bytes
		return nil
	}
	if s.bytes > ordinaryHeadBytes || s.lines > ordinaryHeadLines {
		return clientbudget.ErrNoRoom
	}
	return nil
}

// release records that the heads are not needed any more.
func (s *source) release() {
	s.account.Drop(s.held)
	s.held = clientbudget.Amount{}
}

// discard reads and drops a body until its end. It returns false if the body does not end within a number of bytes and a
// time, or if the context has ended; then the connection must be closed.
func (c *Conn) discard(body io.Reader, maxBytes int64, timeout time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxBytes+1))
	if err != nil || n > maxBytes {
		return false
	}
	_ = c.SetReadDeadline(time.Time{})
	return c.ctx.Err() == nil
}
