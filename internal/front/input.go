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
	chunkSize = 1 << 10
	// aheadMost is how many bytes of later requests are read while one is at work, at most. Behind more than that a
	// client's close is not seen; whoever sends so much has its connection closed after the answer.
	aheadMost = 256 << 10
)

var errQuota = errors.New("request too long")

// input is what comes from one client. Only the connection's goroutine uses it. While a request is at work it reads on,
// for two reasons: a client that closes its connection has left, however much it sent before, and the time of a request
// that was sent behind another counts from when it came.
type input struct {
	conn   net.Conn
	now    func() float64
	budget *atomic.Int64 // bytes that all connections together may still read ahead
	quota  int           // bytes that may still be handed on; it stops a request from being read without end
	ahead  []byte        // read, not handed on
	chunk  [chunkSize]byte
	handed int64     // bytes handed on
	came   []arrival // of what was read, the oldest first
	err    error     // how the client's side ended, behind all of ahead
}

// arrival says when the bytes up to an offset were read.
type arrival struct {
	upTo int64
	at   float64
}

// Read hands on what came, and waits for more if nothing is there.
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
		in.note(n, err)
		in.hand(n)
		return n, err
	}
	n := copy(p, in.ahead)
	in.ahead = in.ahead[n:]
	in.budget.Add(int64(n))
	if len(in.ahead) == 0 {
		in.ahead = nil
	}
	in.hand(n)
	return n, nil
}

func (in *input) hand(n int) {
	in.handed += int64(n)
	in.quota -= n
}

// note keeps when n bytes came, and how the client's side ended.
func (in *input) note(n int, err error) {
	if n > 0 {
		in.came = append(in.came, arrival{in.handed + int64(len(in.ahead)+n), in.now()})
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		in.err = err
	}
}

// cameAt is when the byte came that follows all but the last unread of those handed on.
func (in *input) cameAt(unread int) float64 {
	offset := in.handed - int64(unread)
	for len(in.came) > 1 && in.came[0].upTo <= offset {
		in.came = in.came[1:]
	}
	if len(in.came) == 0 || in.came[0].upTo <= offset {
		return in.now()
	}
	return in.came[0].at
}

// keep puts n bytes of chunk behind those that were read ahead.
func (in *input) keep(n int, err error) {
	in.note(n, err)
	in.ahead = append(in.ahead, in.chunk[:n]...)
	in.budget.Add(-int64(n))
}

// full says that no more may be read ahead. A first chunk may always be: it tells whether the client has left.
func (in *input) full() bool {
	return len(in.ahead) > 0 && (len(in.ahead)+chunkSize > aheadMost || in.budget.Load() < chunkSize)
}

// watch reads ahead until the client's side ends, and then returns true, or until a read deadline passes or no more may
// be read ahead.
func (in *input) watch() (left bool) {
	for in.err == nil && !in.full() {
		n, err := in.conn.Read(in.chunk[:])
		in.keep(n, err)
		if err != nil {
			break
		}
	}
	return in.err != nil
}

// gone reads ahead what has come by now, without waiting, and says whether the client's side has ended.
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
		in.keep(max(n, 0), cause)
	}
	return in.err != nil
}

// release gives back what it holds of the common budget.
func (in *input) release() {
	in.budget.Add(int64(len(in.ahead)))
	in.ahead = nil
}

// discard reads and drops what still comes, up to most bytes or a moment, until the client's side ends.
func (in *input) discard(most int, until time.Time) {
	in.release()
	in.conn.SetReadDeadline(until)
	for read := 0; in.err == nil && read < most; {
		n, err := in.conn.Read(in.chunk[:])
		read += n
		if err != nil {
			return
		}
	}
}
