// Package node speaks the frame protocol of the nodes. Each node has a peer: an actor with a mailbox that
// alone owns the connections to it.
package node

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"gullstair/internal/buffers"
	"gullstair/internal/core"
	"gullstair/internal/terms"
)

const (
	callLetter   = 'R'
	giveUpLetter = 'A'
	answerLetter = 'Y'
	refuseLetter = 'N'
	probeLetter  = 'T'
)

var errFrame = errors.New("no frame of this protocol")

// begin opens a frame in b; finish closes it once its rest has been added.
func begin(b []byte, letter byte) []byte { return append(b, 0, 0, 0, 0, letter) }

func finish(b []byte, at int) []byte {
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at-4))
	return b
}

// addCall adds one part to a call's frame, as of now.
func addCall(b []byte, p *core.CallPart, now float64) []byte {
	b = append(b, p.ID...)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(p.Shard), 10)
	b = append(b, " d="...)
	b = strconv.AppendInt(b, int64(max(1, math.Ceil(p.Until-now))), 10)
	if p.Key != "" {
		b = append(append(b, ",k="...), p.Key...)
	}
	if p.From != "" {
		b = append(append(b, ",from="...), p.From...)
		if p.Whole {
			b = append(b, ",whole=1"...)
		} else {
			b = append(b, ",whole=0"...)
		}
	}
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(len(p.Text)), 10)
	b = append(b, '\n')
	return append(b, p.Text...)
}

// addGiveUp adds a frame that gives up the part called id.
func addGiveUp(b []byte, id string) []byte {
	at := len(b)
	b = begin(b, giveUpLetter)
	return finish(append(b, id...), at)
}

// readFrame reads one frame into buf and returns its letter and rest.
func readFrame(r io.Reader, buf *[buffers.Size]byte) (letter byte, rest []byte, err error) {
	if _, err := io.ReadFull(r, buf[:4]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(buf[:4])
	if n < 1 || n > buffers.Size {
		return 0, nil, fmt.Errorf("%w: length %d", errFrame, n)
	}
	if _, err := io.ReadFull(r, buf[:n]); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return 0, nil, err
	}
	return buf[0], buf[1:n], nil
}

type answer struct {
	id, value string
	how       core.End
	score     float64
	load      map[string]float64
}

var answerEnds = map[string]core.End{"OK": core.Answered, "ERROR": core.AnsweredError, "REJECTED": core.TurnedAway}

// readAnswer reads the rest of a Y frame: ID END SCORE REPORT, a line end, the value.
func readAnswer(rest []byte) (a answer, err error) {
	line, value, ok := bytes.Cut(rest, []byte{'\n'})
	words := strings.Split(string(line), " ")
	if !ok || len(words) != 4 || words[0] == "" {
		return a, fmt.Errorf("%w: answer line %.100q", errFrame, line)
	}
	a.id, a.value = words[0], string(value)
	if a.how = answerEnds[words[1]]; a.how == 0 {
		return a, fmt.Errorf("%w: end %.40q", errFrame, words[1])
	}
	if a.score, err = strconv.ParseFloat(words[2], 64); err != nil || math.IsNaN(a.score) || math.IsInf(a.score, 0) {
		if words[2] != "-" {
			return a, fmt.Errorf("%w: score %.40q", errFrame, words[2])
		}
		a.score = 0
	}
	a.load = readReport(words[3])
	return a, nil
}

// readProbe reads the rest of a T frame: a report, - or ERROR.
func readProbe(rest []byte) answer {
	if string(rest) == "ERROR" {
		return answer{how: core.AnsweredError}
	}
	return answer{how: core.Answered, load: readReport(string(rest))}
}

// readReport reads what can be read of a load report; the rest of it says nothing.
func readReport(s string) map[string]float64 {
	if s == "-" || s == "" {
		return nil
	}
	load := map[string]float64{}
	for pair := range strings.SplitSeq(s, ",") {
		name, val, _ := strings.Cut(pair, "=")
		x, err := strconv.ParseFloat(val, 64)
		if word, known := terms.Column(name); known && err == nil && x >= 0 && x <= 1e12 {
			load[word] = x
		}
	}
	return load
}
