package logic

import (
	"slices"
)

// What brokers tell each other.

// tell lets the other brokers know which work went where this turn, and which nodes failed or recovered.
func (b *Broker) tell() {
	wide := false
	for _, c := range b.calls {
		b.news = report(b.news, b.nodeID[c.node], worded(c.work))
		wide = wide || c.work > wideWork*b.typTarget
	}
	b.compareNotes()
	for i := 0; i < len(b.news) && b.flag("limit.peers"); i += noteMost {
		b.do(Action{Kind: Tell, Note: b.news[i:min(i+noteMost, len(b.news))], Wide: wide})
	}
}

// takeNote takes up what another broker told. Notes may be lost, late or spoilt: nothing rests on one alone.
func (b *Broker) takeNote(note []byte) {
	if !readable(note) {
		b.unreadable()
		return
	}
	for r := range slices.Chunk(note, noteRecord) {
		switch n, known := b.byCode[uint16(r[0])<<8|uint16(r[1])]; {
		case !known: // a node that this broker has not been told of
		case r[2] <= noteFull:
			b.others[n], b.othersAt[n] = b.load(n)-b.outWork[n]+float64(r[2])*noteWork, b.now
			b.answers, b.newsAt = b.answers+1, b.now
			if b.poor(n) { // it is being tried; after long with no ill word others work with it: its news was lost
				b.restEnd[n] = max(b.restEnd[n], min(b.now+restTime, b.failAt[n]+recent))
			}
		case r[2] == noteLate:
			b.lateAt[n] = b.now
		case r[2] == noteGood:
			b.heard[n] = b.now
			b.note(n, true)
		case r[2] == noteNobody:
			b.history[n] = 6
			b.note(n, false)
		case b.failAt[n] != b.now:
			b.note(n, false)
		}
	}
}
