// Package node is the client of the nodes' frame protocol. Each node has a peer: an actor with a mailbox that owns the
// connections to the node.
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
	"gullstair/internal/startsettings"
)

const (
	callLetter   = 'R'
	cancelLetter = 'A'
	answerLetter = 'Y'
	rejectLetter = 'N'
	probeLetter  = 'T'
)

var errMalformedFrame = errors.New("malformed frame")

// beginFrame appends the start of a frame to b. finishFrame sets its length once the rest is appended.
func beginFrame(b []byte, letter byte) []byte { return append(b, 0, 0, 0, 0, letter) }

func finishFrame(b []byte, at int) []byte {
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at-4))
	return b
}

// appendCall appends one part to a call's frame. The part's remaining time is computed from now.
func appendCall(b []byte, p *core.CallPart, now float64) []byte {
	b = append(b, p.ID...)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(p.Shard), 10)
	b = append(b, " d="...)
	b = strconv.AppendInt(b, int64(max(1, math.Ceil(p.Deadline-now))), 10)
	if p.Key != "" {
		b = append(append(b, ",k="...), p.Key...)
	}
	if p.AnsweredShards != "" {
		b = append(append(b, ",from="...), p.AnsweredShards...)
		if p.FirstStepComplete {
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

// appendCancel appends a frame that cancels the part with the given ID.
func appendCancel(b []byte, id string) []byte {
	at := len(b)
	b = beginFrame(b, cancelLetter)
	return finishFrame(append(b, id...), at)
}

// readFrame reads one frame into buf and returns its type letter and the rest.
func readFrame(r io.Reader, buf *[buffers.Size]byte) (letter byte, rest []byte, err error) {
	if _, err := io.ReadFull(r, buf[:4]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(buf[:4])
	if n < 1 || n > buffers.Size {
		return 0, nil, fmt.Errorf("%w: length %d", errMalformedFrame, n)
	}
	if _, err := io.ReadFull(r, buf[:n]); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return 0, nil, err
	}
	return buf[0], buf[1:n], nil
}

// answer is the result of one part, or a node's answer to a probe.
type answer struct {
	id, value string
	end       core.EndReason
	score     float64
	load      map[string]float64
}

var answerEnds = map[string]core.EndReason{"OK": core.Answered, "ERROR": core.AnsweredError, "REJECTED": core.Rejected}

// readAnswer parses the rest of a Y frame: ID END SCORE REPORT, a newline, the value.
func readAnswer(rest []byte) (a answer, err error) {
	line, value, ok := bytes.Cut(rest, []byte{'\n'})
	fields := strings.Split(string(line), " ")
	if !ok || len(fields) != 4 || fields[0] == "" {
		return a, fmt.Errorf("%w: answer line %.100q", errMalformedFrame, line)
	}
	a.id, a.value = fields[0], string(value)
	if a.end = answerEnds[fields[1]]; a.end == 0 {
		return a, fmt.Errorf("%w: end %.40q", errMalformedFrame, fields[1])
	}
	if a.score, err = strconv.ParseFloat(fields[2], 64); err != nil || math.IsNaN(a.score) || math.IsInf(a.score, 0) {
		if fields[2] != "-" {
			return a, fmt.Errorf("%w: score %.40q", errMalformedFrame, fields[2])
		}
		a.score = 0
	}
	a.load = readReport(fields[3])
	return a, nil
}

// readProbe parses the rest of a T frame: a load report, - or ERROR.
func readProbe(rest []byte) answer {
	if string(rest) == "ERROR" {
		return answer{end: core.AnsweredError}
	}
	return answer{end: core.Answered, load: readReport(string(rest))}
}

// readReport parses a load report and ignores unknown or invalid entries.
func readReport(s string) map[string]float64 {
	if s == "-" || s == "" {
		return nil
	}
	load := map[string]float64{}
	for pair := range strings.SplitSeq(s, ",") {
		name, val, _ := strings.Cut(pair, "=")
		x, err := strconv.ParseFloat(val, 64)
		if column, known := startsettings.Column(name); known && err == nil && x >= 0 && x <= 1e12 {
			load[column] = x
		}
	}
	return load
}
