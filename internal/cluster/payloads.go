package cluster

import (
	"sync"
	"unsafe"

	"gullstair/internal/delta"
	"gullstair/internal/peerlink"
	"gullstair/internal/register"
	"gullstair/internal/sections"
)

// The register's payload is a document of sections. What is sent to a broker that has an earlier one is sent as a patch, section
// by section: the configuration in it is large, and most changes are about something else. Whole it is sent packed.

const (
	mostPayloads     = 4
	mostPayloadBytes = 8 << 20 // that are kept beside the newest
	mostPatches      = 8       // that are kept: several brokers have the same base
	smallPatch       = 4 << 10 // bytes; a larger one is compared with the whole
)

// Packing writes payloads for a disk, or for a broker that has nothing to patch, and reads them.
type Packing interface {
	Pack(payload []byte) []byte
	Unpack(packed []byte) ([]byte, error)
}

// payloads are the newest payloads of the register that this broker has seen.
type payloads struct {
	packing Packing

	mu      sync.Mutex
	kept    []sections.Document // newest last
	patches []madePatch
}

// madePatch is a patch that was made and how it is written.
type madePatch struct {
	base, result delta.Sum
	text         []byte
}

// remember keeps a payload; false: it is no document, and is sent whole.
func (p *payloads) remember(text []byte) (sections.Document, bool) {
	if !sections.Is(text) {
		return sections.Document{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.kept {
		if kept := known.Text(); len(kept) == len(text) && unsafe.SliceData(kept) == unsafe.SliceData(text) {
			p.keep(known)
			return known, true
		}
	}
	document, err := sections.Parse(text)
	if err != nil {
		return sections.Document{}, false
	}
	return p.keep(document), true
}

// keep puts a document last, or the one that is kept already and says the same; p.mu is held.
func (p *payloads) keep(d sections.Document) sections.Document {
	for at, known := range p.kept {
		if known.Sum() == d.Sum() {
			p.kept = append(append(p.kept[:at:at], p.kept[at+1:]...), known)
			return known
		}
	}
	p.kept = append(p.kept, d)
	for len(p.kept) > mostPayloads || len(p.kept) > 1 && p.bytes() > mostPayloadBytes {
		p.kept = p.kept[1:]
	}
	return d
}

// bytes is the size of all but the newest; p.mu is held.
func (p *payloads) bytes() (sum int) {
	for _, known := range p.kept[:len(p.kept)-1] {
		sum += len(known.Text())
	}
	return sum
}

func (p *payloads) get(sum delta.Sum) (sections.Document, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.kept {
		if known.Sum() == sum {
			return known, true
		}
	}
	return sections.Document{}, false
}

// patch is how a payload is made from a base that its receiver has; nil: it is to be sent whole.
func (p *payloads) patch(payload []byte, base delta.Sum) []byte {
	next, isDocument := p.remember(payload)
	from, known := p.get(base)
	if !isDocument || !known {
		return nil
	}
	p.mu.Lock()
	for _, made := range p.patches {
		if made.base == base && made.result == next.Sum() {
			p.mu.Unlock()
			return made.text
		}
	}
	p.mu.Unlock()
	text := sections.Diff(from, next).Marshal()
	if len(text) > smallPatch && len(text) > len(p.packing.Pack(payload)) {
		text = nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.patches = append(p.patches, madePatch{base, next.Sum(), text})
	if len(p.patches) > mostPatches {
		p.patches = p.patches[1:]
	}
	return text
}

// apply makes a payload from a patch; false: its base is not here.
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
	return p.keep(next).Text(), true
}

// pack takes the payload out of a value for somebody who has the base, and returns the patch; nil: the value has it packed.
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

// unpack puts the payload back into a value; false: it cannot be read, or the patch's base is not here.
func (p *payloads) unpack(v *register.Value, patch []byte) bool {
	if patch != nil {
		payload, made := p.apply(patch)
		v.Payload = payload
		return made
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

// base names the payload of the newest value that this broker knows; nil: it knows none.
func (n *Node) base() *delta.Sum {
	known, _ := n.Known()
	document, isDocument := n.payloads.remember(known.Value.Payload)
	if !isDocument {
		return nil
	}
	sum := document.Sum()
	return &sum
}

// patched is a call to a replica that has the payload of its value as a patch on what was known before; false: that cannot be.
func (n *Node) patched(m peerlink.Message, to register.Replica) (peerlink.Message, bool) {
	if to.Disk == foundingDisk || m.Accept == nil || n.protocolOf(to.Address) < protocolSections {
		return m, false
	}
	accept := *m.Accept
	patch := n.payloads.pack(&accept.Value, n.base())
	return peerlink.Message{Delta: &peerlink.Delta{Accept: accept, Patch: patch}}, patch != nil
}

// packed is a call to a replica as it is sent whole.
func (n *Node) packed(m peerlink.Message, to register.Replica) peerlink.Message {
	switch {
	case to.Disk == foundingDisk:
	case m.Accept != nil:
		accept := *m.Accept
		n.payloads.pack(&accept.Value, nil)
		m.Accept = &accept
	case m.Prepare != nil && !m.Prepare.Probe:
		m.Has = n.base()
	}
	return m
}

// answerDelta takes an Accept whose value is a patch.
func (n *Node) answerDelta(m *peerlink.Delta) *peerlink.Message {
	accept := m.Accept
	if !n.payloads.unpack(&accept.Value, m.Patch) {
		return &peerlink.Message{Lacks: true}
	}
	return n.acceptOwn(accept)
}

// answerAccept takes an Accept whose value is packed.
func (n *Node) answerAccept(m register.Accept) *peerlink.Message {
	if m.To.Disk != foundingDisk && !n.payloads.unpack(&m.Value, nil) {
		return &peerlink.Message{Lacks: true}
	}
	return n.acceptOwn(m)
}

func (n *Node) acceptOwn(m register.Accept) *peerlink.Message {
	accepted := n.acceptor(m.To).accept(m)
	return &peerlink.Message{Accepted: &accepted}
}

// answerPrepare answers a Prepare; has, if it is not nil, names a payload that its sender has.
func (n *Node) answerPrepare(m register.Prepare, has *delta.Sum) *peerlink.Message {
	reply := n.prepareOwn(m)
	if reply.Promise.Value != nil && m.To.Disk != foundingDisk {
		value := *reply.Promise.Value
		reply.Sections = n.payloads.pack(&value, has)
		reply.Promise.Value = &value
	}
	return reply
}

func (n *Node) prepareOwn(m register.Prepare) *peerlink.Message {
	promise := n.acceptor(m.To).prepare(m)
	return &peerlink.Message{Promise: &promise}
}

// whole puts the payload back into a reply of a replica; false: it cannot be made here.
func (n *Node) whole(reply *peerlink.Message, to register.Replica) bool {
	if to.Disk == foundingDisk || reply.Promise == nil || reply.Promise.Value == nil {
		return !reply.Lacks
	}
	return n.payloads.unpack(reply.Promise.Value, reply.Sections)
}
