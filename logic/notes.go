package logic

import (
	"fmt"
	"math/bits"
)

// How brokers' notes are framed: three bytes for each call sent and each outcome that is news, two of the node
// and one that says what.

const (
	noteRecord = 3
	noteMost   = 256 / noteRecord * noteRecord // bytes of one note
	noteWork   = 16.0                          // work sent is told in so many ms, up to noteFull of them
	noteFull   = 250
	noteGood   = 251
	noteBad    = 252
	noteNobody = 253
	noteLate   = 254
)

// notebook is what reading notes takes: the nodes by their codes, and how many notes could not be read.
type notebook struct {
	byCode map[uint16]int
	spoilt int
}

// code is two bytes for a node, alike at all brokers.
func code(id int64) uint16 { return uint16(uint64(id) * 0x9e3779b97f4a7c15 >> 48) }

// worded is a record's byte for work sent.
func worded(work float64) byte { return byte(min(noteFull, max(0, work/noteWork+0.5))) }

// report puts a record to a note.
func report(note []byte, node int64, what byte) []byte {
	c := code(node)
	return append(note, byte(c>>8), byte(c), what)
}

// readable says whether a note holds whole records and no more than there may be.
func readable(note []byte) bool {
	return len(note) > 0 && len(note)%noteRecord == 0 && len(note) <= noteMost
}

// unreadable counts a note that could not be read. It says so at the first, second, fourth and so on: whoever sends
// many must not fill the log.
func (b *Broker) unreadable() {
	if b.spoilt++; bits.OnesCount(uint(b.spoilt)) == 1 {
		b.do(Action{Kind: Note, Text: fmt.Sprintf("notes of other brokers that could not be read: %d", b.spoilt)})
	}
}
