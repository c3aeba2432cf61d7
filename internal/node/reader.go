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

// read passes on what comes from the node until the connection ends. It alone reads; it owns nothing else.
func (p *peer) read(c *connection) {
	r := bufio.NewReaderSize(c.conn, 4<<10)
	for {
		// A frame that has begun comes at once; the rest of a spoilt one never does.
		c.conn.SetReadDeadline(time.Time{})
		_, err := r.Peek(1)
		c.conn.SetReadDeadline(time.Now().Add(p.f.reach.ConnectTimeout))
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
		words := ""
		if err == nil && letter == refuseLetter {
			words = string(rest[:min(len(rest), 200)])
		}
		buffers.Put(buf)
		switch {
		case errors.Is(err, errFrame), errors.Is(err, os.ErrDeadlineExceeded):
			p.f.Stats.Malformed.Add(1)
			p.post(broke{c, core.BadFrame, err})
			return
		case errors.Is(err, io.EOF):
			p.post(broke{c, core.PeerClosed, err})
			return
		case err != nil:
			p.post(broke{c, core.ReadBroke, err})
			return
		case letter == answerLetter || letter == probeLetter:
			p.post(arrived{c, letter == probeLetter, a})
		case letter == refuseLetter:
			p.f.Stats.Malformed.Add(1)
			p.post(broke{c, core.NotUsable, fmt.Errorf("%w: %s", syscall.EPROTO, words)})
			return
		default: // nothing else was asked for
			p.f.Stats.Malformed.Add(1)
			p.post(broke{c, core.BadFrame, errFrame})
			return
		}
	}
}
