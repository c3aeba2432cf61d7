package front

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	readAheadChunk = 1 << 10
	// maxReadAhead is the maximum number of bytes of later requests that are read while one is processed. Beyond it a
	// client's close goes undetected, so the connection closes after the answer.
	maxReadAhead = 256 << 10
)

var errQuota = errors.New("request too long")

// input is the buffered input of one client. Only the connection's goroutine uses it. It reads ahead while a request is
// processed, for two reasons: to detect that the client closed the connection, whatever it has pipelined before, and
// because the time budget of a pipelined request starts at its arrival.
type input struct {
	conn     net.Conn
	now      func() float64
	budget   *atomic.Int64 // remaining read-ahead bytes of all connections together
	quota    int           // remaining bytes that Read may return; bounds the size of a request
	ahead    []byte        // bytes read but not yet returned by Read
	chunk    [readAheadChunk]byte
	consumed int64     // bytes returned by Read
	arrivals []arrival // arrival times of the bytes read, oldest first
	err      error     // error or EOF that follows the bytes in ahead
}

// arrival is the time at which the bytes up to an offset were read.
type arrival struct {
	upTo int64
	at   float64
}

// Read returns bytes that were read ahead, or reads from the connection if there are none.
func (in *input) Read(p []byte) (int, error) {
	if in.quota <= 0 {
		return 0, errQuota
	}
	p = p[:min(len(p), in.quota)]
	if len(in.ahead) == 0 {
		if in.err != nil {
			return 0, in.err
		}
		n, err := in.conn.Read(p)
		in.record(n, err)
		in.consume(n)
		return n, err
	}
	n := copy(p, in.ahead)
	in.ahead = in.ahead[n:]
	in.budget.Add(int64(n))
	if len(in.ahead) == 0 {
		in.ahead = nil
	}
	in.consume(n)
	return n, nil
}

// consume counts n bytes as returned by Read.
func (in *input) consume(n int) {
	in.consumed += int64(n)
	in.quota -= n
}

// record stores the arrival time of n bytes and the end of the client's side.
func (in *input) record(n int, err error) {
	if n > 0 {
		in.arrivals = append(in.arrivals, arrival{in.consumed + int64(len(in.ahead)+n), in.now()})
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		in.err = err
	}
}

// arrivedAt returns the arrival time of the first of the last unread bytes that Read returned.
func (in *input) arrivedAt(unread int) float64 {
	offset := in.consumed - int64(unread)
	for len(in.arrivals) > 1 && in.arrivals[0].upTo <= offset {
		in.arrivals = in.arrivals[1:]
	}
	if len(in.arrivals) == 0 || in.arrivals[0].upTo <= offset {
		return in.now()
	}
	return in.arrivals[0].at
}

// store appends n bytes of chunk to the read-ahead buffer.
func (in *input) store(n int, err error) {
	in.record(n, err)
	in.ahead = append(in.ahead, in.chunk[:n]...)
	in.budget.Add(-int64(n))
}

// full reports whether reading ahead must stop. A first chunk is always allowed, to detect that the client has left.
func (in *input) full() bool {
	return len(in.ahead) > 0 && (len(in.ahead)+readAheadChunk > maxReadAhead || in.budget.Load() < readAheadChunk)
}

// watch reads ahead until the client's side ends, a read deadline passes or the buffer is full. It reports whether the
// client's side has ended.
func (in *input) watch() (left bool) {
	for in.err == nil && !in.full() {
		n, err := in.conn.Read(in.chunk[:])
		in.store(n, err)
		if err != nil {
			break
		}
	}
	return in.err != nil
}

// gone reads ahead without blocking and reports whether the client's side has ended.
func (in *input) gone() bool {
	raw, err := in.conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	for in.err == nil && !in.full() {
		n := 0
		var cause error
		err := raw.Read(func(fd uintptr) bool {
			n, cause = syscall.Read(int(fd), in.chunk[:])
			return true
		})
		if err != nil || errors.Is(cause, syscall.EAGAIN) {
			break
		}
		if errors.Is(cause, syscall.EINTR) {
			continue
		}
		if n == 0 && cause == nil {
			cause = io.EOF
		}
		in.store(max(n, 0), cause)
	}
	return in.err != nil
}

// release returns the buffered bytes to the shared budget.
func (in *input) release() {
	in.budget.Add(int64(len(in.ahead)))
	in.ahead = nil
}

// discard reads and drops input until the client's side ends, up to the given number of bytes and time.
func (in *input) discard(maxBytes int, until time.Time) {
	in.release()
	in.conn.SetReadDeadline(until)
	for read := 0; in.err == nil && read < maxBytes; {
		n, err := in.conn.Read(in.chunk[:])
		read += n
		if err != nil {
			return
		}
	}
}
