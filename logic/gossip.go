package logic

import (
	"slices"
)

// sendNotes reports this turn's work, and nodes that failed or recovered, to the other brokers.
func (b *Broker) sendNotes() {
	toAll := false
	for _, c := range b.calls {
		b.records = appendRecord(b.records, b.nodeID[c.node], workByte(c.work))
		toAll = toAll || c.work > wideWork*b.meanTarget
	}
	b.compareShadowNotes()
	for i := 0; i < len(b.records) && b.flag("limit.peers"); i += noteMaxSize {
		b.emit(Action{Kind: SendNote, Note: b.records[i:min(i+noteMaxSize, len(b.records))], ToAll: toAll})
	}
}

// applyNote applies a note of a peer. Notes may be lost, late or malformed: nothing relies on one alone.
func (b *Broker) applyNote(note []byte) {
	if !validNote(note) {
		b.countMalformed()
		return
	}
	for r := range slices.Chunk(note, noteRecordSize) {
		switch n, known := b.nodeByCode[uint16(r[0])<<8|uint16(r[1])]; {
		case !known: // a node that is not in the list
		case r[2] <= noteMaxWork:
			b.peerWork[n], b.peerWorkAt[n] = b.load(n)-b.openWork[n]+float64(r[2])*noteWorkUnit, b.now
			b.answers, b.lastSignal = b.answers+1, b.now
			if b.unhealthy(n) { // on trial elsewhere; limited, since its recovery note may be lost
				b.ejectedUntil[n] = max(b.ejectedUntil[n], min(b.now+ejectionTime, b.failedAt[n]+latencyMaxAge))
			}
		case r[2] == noteLate:
			b.lateAt[n] = b.now
		case r[2] == noteSuccess:
			b.lastAnswer[n] = b.now
			b.updateHistory(n, true)
		case r[2] == noteRefused:
			b.history[n] = 6
			b.updateHistory(n, false)
		case b.failedAt[n] != b.now:
			b.updateHistory(n, false)
		}
	}
}
