package gateway

import (
	"gullstair/internal/clientbudget"
	"gullstair/internal/clientlimit"
)

const (
	smallEventBytes = 8 << 10  // held of an event without being counted
	heldEventBytes  = 64 << 10 // held of an event, counted in steps of so many bytes
	blankLineBytes  = 2        // of the end of an event, "\n\r\n", that may have arrived without its last byte
)

// pendingEvents holds the bytes of a stream that have arrived and are not forwarded yet.
type pendingEvents struct {
	text      []byte
	searched  int // bytes at the start of text that hold no end of an event
	forwarded int // bytes of the event at the start of text that have been forwarded
	limit     int // bytes of an event that may be held
	account   *clientlimit.Account
	counted   int // bytes that are counted as held
}

// add adds bytes. It returns false if the start of the unfinished event must be forwarded, since no more of it may be held.
func (p *pendingEvents) add(next []byte) (roomy bool) {
	p.text = append(p.text, next...)
	for len(p.text) > max(smallEventBytes, p.counted) {
		if len(p.text) > p.limit || !p.account.Hold(clientbudget.Amount{Bytes: heldEventBytes}) {
			return false
		}
		p.counted += heldEventBytes
	}
	return true
}

// completeEnd returns the length of the complete events.
func (p *pendingEvents) completeEnd() int {
	from := max(0, p.searched-blankLineBytes)
	p.searched = len(p.text)
	if end := lastEventEnd(p.text[from:]); end > 0 {
		return from + end
	}
	return 0
}

// removeEvents removes complete events from the start.
func (p *pendingEvents) removeEvents(end int) {
	p.text = append(p.text[:0], p.text[end:]...)
	p.searched, p.forwarded = len(p.text), 0
}

// removeStart removes the start of an unfinished event. The bytes that may begin its end stay.
func (p *pendingEvents) removeStart(forward func(start []byte) bool) (forwarded bool) {
	end := max(0, len(p.text)-blankLineBytes)
	forwarded = forward(p.text[:end])
	p.text = append(p.text[:0], p.text[end:]...)
	p.searched = 0
	p.forwarded += end
	return forwarded
}

// release ends the counting.
func (p *pendingEvents) release() { p.account.Drop(clientbudget.Amount{Bytes: int64(p.counted)}) }
