package logic

import (
	"fmt"
	"math/bits"
)

// The format of notes between brokers: one record of three bytes for each call sent and each reported outcome. Two bytes
// are the node's code, the third is the amount of work or the outcome.

const (
	noteRecordSize = 3
	noteMaxSize    = 256 / noteRecordSize * noteRecordSize // bytes in one note
	noteWorkUnit   = 16.0                                  // work is reported in units of this many ms, at most noteMaxWork of them
	noteMaxWork    = 250
	noteSuccess    = 251
	noteFailure    = 252
	noteRefused    = 253
	noteLate       = 254
)

// noteState holds the nodes by their codes and the number of malformed notes.
type noteState struct {
	nodeByCode map[uint16]int
	malformed  int
}

// nodeCode returns the two-byte code of a node, the same at all brokers.
func nodeCode(id int64) uint16 { return uint16(uint64(id) * 0x9e3779b97f4a7c15 >> 48) }

// workByte returns the third byte of a record for work sent.
func workByte(work float64) byte { return byte(min(noteMaxWork, max(0, work/noteWorkUnit+0.5))) }

// appendRecord appends a record to a note.
func appendRecord(note []byte, node int64, value byte) []byte {
	c := nodeCode(node)
	return append(note, byte(c>>8), byte(c), value)
}

// validNote reports whether a note holds whole records and does not exceed the size limit.
func validNote(note []byte) bool {
	return len(note) > 0 && len(note)%noteRecordSize == 0 && len(note) <= noteMaxSize
}

// countMalformed counts a malformed note. It logs the first, second, fourth and so on: a peer that sends many must not fill
// the log.
func (b *Broker) countMalformed() {
	if b.malformed++; bits.OnesCount(uint(b.malformed)) == 1 {
		b.emit(Action{Kind: WriteLog, Text: fmt.Sprintf("notes of other brokers that could not be read: %d", b.malformed)})
	}
}
