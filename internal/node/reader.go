package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
	"time"

	"gullstair/internal/buffers"
	"gullstair/internal/core"
)

// read posts the answers that arrive on a connection to the mailbox until the connection ends. It is the only reader of
// the connection and owns no other state.
func (p *peer) read(c *connection) {
	r := bufio.NewReaderSize(c.conn, 4<<10)
	for {
		// The rest of a started frame must follow promptly; that of a malformed frame may never come.
		c.conn.SetReadDeadline(time.Time{})
		_, err := r.Peek(1)
		c.conn.SetReadDeadline(time.Now().Add(p.fleet.limits.ConnectTimeout))
		buf := buffers.Get()
		var letter byte
		var rest []byte
		if err == nil {
			letter, rest, err = readFrame(r, buf)
		}
		var a answer
		if err == nil && letter == answerLetter {
			a, err = readAnswer(rest)
		}
		if err == nil && letter == probeLetter {
			a = readProbe(rest)
		}
		reason := ""
		if err == nil && letter == rejectLetter {
			reason = string(rest[:min(len(rest), 200)])
		}
		buffers.Put(buf)
		switch {
		case errors.Is(err, errMalformedFrame), errors.Is(err, os.ErrDeadlineExceeded):
			p.fleet.Stats.Malformed.Add(1)
			p.post(connLost{c, core.BadFrame, err})
			return
		case errors.Is(err, io.EOF):
			p.post(connLost{c, core.PeerClosed, err})
			return
		case err != nil:
			p.post(connLost{c, core.ReadFailed, err})
			return
		case letter == answerLetter || letter == probeLetter:
			p.post(arrived{c, letter == probeLetter, a})
		case letter == rejectLetter:
			p.fleet.Stats.Malformed.Add(1)
			p.post(connLost{c, core.FrameRejected, fmt.Errorf("%w: %s", syscall.EPROTO, reason)})
			return
		default: // no other frame type is expected
			p.fleet.Stats.Malformed.Add(1)
			p.post(connLost{c, core.BadFrame, errMalformedFrame})
			return
		}
	}
}
