package cluster

import (
	"sync"
	"unsafe"

	"gullstair/internal/delta"
	"gullstair/internal/peerlink"
	"gullstair/internal/register"
	"gullstair/internal/sections"
)

// The register's payload is a document of sections. A broker that has an earlier document receives a patch of the
// changed sections: the configuration section is large, and most changes concern other sections. Other brokers receive
// the whole payload, packed.

const (
	maxPayloads     = 4
	maxPayloadBytes = 8 << 20 // of the kept payloads except the newest
	maxPatches      = 8       // cached, since several brokers have the same base
	smallPatch      = 4 << 10 // a larger patch, in bytes, is compared with the packed payload
)

// Packing encodes payloads for storage and for brokers that have no base for a patch, and decodes them.
type Packing interface {
	Pack(payload []byte) []byte
	Unpack(packed []byte) ([]byte, error)
}

// payloads caches the newest payloads of the register that this broker has seen, and patches between them.
type payloads struct {
	packing Packing

	mu        sync.Mutex
	documents []sections.Document // newest last
	patches   []cachedPatch
}

// cachedPatch is an encoded patch between two payloads. A nil text means that the payload is sent whole.
type cachedPatch struct {
	base, result delta.Sum
	text         []byte
}

// remember parses a payload and keeps it. It returns false if the payload is not a document and can only be sent
// whole.
func (p *payloads) remember(text []byte) (sections.Document, bool) {
	if !sections.IsDocument(text) {
		return sections.Document{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.documents {
		if kept := known.Text(); len(kept) == len(text) && unsafe.SliceData(kept) == unsafe.SliceData(text) {
			p.addNewest(known)
			return known, true
		}
	}
	document, err := sections.Parse(text)
	if err != nil {
		return sections.Document{}, false
	}
	return p.addNewest(document), true
}

// addNewest adds a document as the newest. If an equal document is kept already, it moves that one to the end. p.mu is
// held.
func (p *payloads) addNewest(d sections.Document) sections.Document {
	for at, known := range p.documents {
		if known.Sum() == d.Sum() {
			p.documents = append(append(p.documents[:at:at], p.documents[at+1:]...), known)
			return known
		}
	}
	p.documents = append(p.documents, d)
	for len(p.documents) > maxPayloads || len(p.documents) > 1 && p.olderBytes() > maxPayloadBytes {
		p.documents = p.documents[1:]
	}
	return d
}

// olderBytes returns the size of all kept documents but the newest. p.mu is held.
func (p *payloads) olderBytes() (sum int) {
	for _, known := range p.documents[:len(p.documents)-1] {
		sum += len(known.Text())
	}
	return sum
}

func (p *payloads) get(sum delta.Sum) (sections.Document, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.documents {
		if known.Sum() == sum {
			return known, true
		}
	}
	return sections.Document{}, false
}

// patch returns an encoded patch that turns a base of the receiver into the payload, or nil if the payload is to be
// sent whole.
func (p *payloads) patch(payload []byte, base delta.Sum) []byte {
	next, isDocument := p.remember(payload)
	from, known := p.get(base)
	if !isDocument || !known {
		return nil
	}
	p.mu.Lock()
	for _, cached := range p.patches {
		if cached.base == base && cached.result == next.Sum() {
			p.mu.Unlock()
			return cached.text
		}
	}
	p.mu.Unlock()
	text := sections.Diff(from, next).Marshal()
	if len(text) > smallPatch && len(text) > len(p.packing.Pack(payload)) {
		text = nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.patches = append(p.patches, cachedPatch{base, next.Sum(), text})
	if len(p.patches) > maxPatches {
		p.patches = p.patches[1:]
	}
	return text
}

// apply rebuilds a payload from a patch. It returns false if the patch is invalid or its base is not cached.
func (p *payloads) apply(text []byte) ([]byte, bool) {
	patch, err := sections.UnmarshalPatch(text)
	if err != nil {
		return nil, false
	}
	base, known := p.get(patch.Base)
	if !known {
		return nil, false
	}
	next, err := patch.Apply(base)
	if err != nil {
		return nil, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addNewest(next).Text(), true
}

// pack removes the payload from a value and returns a patch on the receiver's base. It returns nil if the value keeps
// its payload, packed.
func (p *payloads) pack(v *register.Value, base *delta.Sum) []byte {
	if base != nil {
		if text := p.patch(v.Payload, *base); text != nil {
			v.Payload = nil
			return text
		}
	}
	v.Payload = p.packing.Pack(v.Payload)
	return nil
}

// unpack restores the payload of a value. It returns false if the payload is unreadable or the patch's base is not
// cached.
func (p *payloads) unpack(v *register.Value, patch []byte) bool {
	if patch != nil {
		payload, ok := p.apply(patch)
		v.Payload = payload
		return ok
	}
	payload, err := p.packing.Unpack(v.Payload)
	if err != nil {
		return false
	}
	if document, isDocument := p.remember(payload); isDocument {
		payload = document.Text()
	}
	v.Payload = payload
	return true
}

// basePayload returns the checksum of the payload of the newest known value, or nil if there is none.
func (n *Node) basePayload() *delta.Sum {
	known, _ := n.Known()
	document, isDocument := n.payloads.remember(known.Value.Payload)
	if !isDocument {
		return nil
	}
	sum := document.Sum()
	return &sum
}

// asPatch returns an Accept whose value has its payload as a patch on the newest known one, or false if that is not
// possible.
func (n *Node) asPatch(m peerlink.Message, to register.Replica) (peerlink.Message, bool) {
	if to.Disk == foundingDisk || m.Accept == nil || n.protocolOf(to.Address) < protocolSections {
		return m, false
	}
	accept := *m.Accept
	patch := n.payloads.pack(&accept.Value, n.basePayload())
	return peerlink.Message{Delta: &peerlink.Delta{Accept: accept, Patch: patch}}, patch != nil
}

// asWhole returns a call that needs no base at the receiver: an Accept has its payload packed. A Prepare names the
// sender's payload, so that the reply may hold a patch on it.
func (n *Node) asWhole(m peerlink.Message, to register.Replica) peerlink.Message {
	switch {
	case to.Disk == foundingDisk:
	case m.Accept != nil:
		accept := *m.Accept
		n.payloads.pack(&accept.Value, nil)
		m.Accept = &accept
	case m.Prepare != nil && !m.Prepare.Probe:
		m.Has = n.basePayload()
	}
	return m
}

// answerDelta handles an Accept whose payload is a patch.
func (n *Node) answerDelta(m *peerlink.Delta) *peerlink.Message {
	accept := m.Accept
	if !n.payloads.unpack(&accept.Value, m.Patch) {
		return &peerlink.Message{Lacks: true}
	}
	return n.acceptLocally(accept)
}

// answerAccept handles an Accept whose payload is packed.
func (n *Node) answerAccept(m register.Accept) *peerlink.Message {
	if m.To.Disk != foundingDisk && !n.payloads.unpack(&m.Value, nil) {
		return &peerlink.Message{Lacks: true}
	}
	return n.acceptLocally(m)
}

func (n *Node) acceptLocally(m register.Accept) *peerlink.Message {
	accepted := n.acceptor(m.To).accept(m)
	return &peerlink.Message{Accepted: &accepted}
}

// answerPrepare handles a Prepare. has, if not nil, is the checksum of a payload that the sender has.
func (n *Node) answerPrepare(m register.Prepare, has *delta.Sum) *peerlink.Message {
	reply := n.prepareLocally(m)
	if reply.Promise.Value != nil && m.To.Disk != foundingDisk {
		value := *reply.Promise.Value
		reply.Sections = n.payloads.pack(&value, has)
		reply.Promise.Value = &value
	}
	return reply
}

func (n *Node) prepareLocally(m register.Prepare) *peerlink.Message {
	promise := n.acceptor(m.To).prepare(m)
	return &peerlink.Message{Promise: &promise}
}

// unpackReply restores the payload in a replica's reply. It returns false if that is not possible here.
func (n *Node) unpackReply(reply *peerlink.Message, to register.Replica) bool {
	if to.Disk == foundingDisk || reply.Promise == nil || reply.Promise.Value == nil {
		return !reply.Lacks
	}
	return n.payloads.unpack(reply.Promise.Value, reply.Sections)
}
