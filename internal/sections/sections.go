// Package sections provides a document of named sections in a canonical encoding, and patches that carry only the sections that
// changed. Each section has its own version. The digest of the document is computed from the digests of its sections, so an
// unchanged section is not hashed again.
//
// The package does no I/O, reads no clock and starts no goroutines.
package sections

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"gullstair/internal/delta"
)

const (
	magic          = "gss1" // first bytes of every document
	maxNameSize    = 64     // bytes
	maxSectionSize = 64 << 20
)

// ErrMalformed means that a text is not a document, or is not in canonical form.
var ErrMalformed = errors.New("not a document of sections")

// ErrMismatch means that a patch was made from another document, or is damaged.
var ErrMismatch = errors.New("the patch does not match the document")

// Section is a named part of a document with its own version.
type Section struct {
	Name    string
	Version uint64 // increases with each change of the section
	Body    []byte
}

// Document is a parsed document with its encoding. It is immutable.
type Document struct {
	text     []byte
	sections []Section   // sorted by name; bodies are slices of text
	sums     []delta.Sum // digest of each section's body
	sum      delta.Sum   // digest of the document
}

// New returns a document with the given sections, which may be in any order.
func New(list ...Section) Document {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b Section) int { return strings.Compare(a.Name, b.Name) })
	return build(sorted, nil)
}

// build encodes sorted sections. sums holds the digests that are already known, by index, with zero values for the others; nil
// means that none is known.
func build(sorted []Section, sums []delta.Sum) Document {
	size := len(magic) + binary.MaxVarintLen64
	for _, s := range sorted {
		size += len(s.Name) + len(s.Body) + 3*binary.MaxVarintLen64
	}
	d := Document{text: append(make([]byte, 0, size), magic...)}
	d.text = binary.AppendUvarint(d.text, uint64(len(sorted)))
	for at, s := range sorted {
		d.text = binary.AppendUvarint(d.text, uint64(len(s.Name)))
		d.text = append(d.text, s.Name...)
		d.text = binary.AppendUvarint(d.text, s.Version)
		d.text = binary.AppendUvarint(d.text, uint64(len(s.Body)))
		begin := len(d.text)
		d.text = append(d.text, s.Body...)
		s.Body = d.text[begin:len(d.text):len(d.text)]
		d.sections = append(d.sections, s)
		if sums != nil && sums[at] != (delta.Sum{}) {
			d.sums = append(d.sums, sums[at])
		} else {
			d.sums = append(d.sums, delta.SumOf(s.Body))
		}
	}
	d.sum = d.computeSum()
	return d
}

// computeSum returns the digest of the document, which covers the names, versions and digests of its sections.
func (d *Document) computeSum() delta.Sum {
	hash := sha256.New()
	for at, s := range d.sections {
		head := binary.AppendUvarint([]byte(s.Name), 0)
		head = binary.AppendUvarint(head, s.Version)
		hash.Write(head)
		hash.Write(d.sums[at][:])
	}
	return delta.Sum(hash.Sum(nil)[:len(delta.Sum{})])
}

// IsDocument reports whether a text begins like an encoded document.
func IsDocument(text []byte) bool { return bytes.HasPrefix(text, []byte(magic)) }

// Parse decodes a document. The caller must not modify the text afterwards, because the document refers to it.
func Parse(text []byte) (Document, error) {
	if !IsDocument(text) {
		return Document{}, ErrMalformed
	}
	d := Document{text: text}
	rest := text[len(magic):]
	count, rest, err := readUvarint(rest)
	if err != nil {
		return Document{}, err
	}
	for range count {
		s := Section{}
		if s, rest, err = readSection(rest); err != nil {
			return Document{}, err
		}
		if n := len(d.sections); n > 0 && d.sections[n-1].Name >= s.Name {
			return Document{}, errors.Wrapf(ErrMalformed, "section %q is duplicate or out of order", s.Name)
		}
		d.sections = append(d.sections, s)
		d.sums = append(d.sums, delta.SumOf(s.Body))
	}
	if len(rest) > 0 {
		return Document{}, errors.Wrapf(ErrMalformed, "%d trailing bytes", len(rest))
	}
	d.sum = d.computeSum()
	return d, nil
}

// readSection decodes a section and returns the bytes after it.
func readSection(text []byte) (s Section, rest []byte, err error) {
	name, rest, err := readField(text, maxNameSize)
	if err != nil {
		return s, nil, err
	}
	s.Name = string(name)
	if s.Version, rest, err = readUvarint(rest); err != nil {
		return s, nil, err
	}
	s.Body, rest, err = readField(rest, maxSectionSize)
	return s, rest, err
}

// readField reads a length and a body of that length, which must not exceed maxSize.
func readField(text []byte, maxSize uint64) (body, rest []byte, err error) {
	length, rest, err := readUvarint(text)
	if err != nil {
		return nil, nil, err
	}
	if length > maxSize || length > uint64(len(rest)) {
		return nil, nil, errors.Wrapf(ErrMalformed, "invalid length %d", length)
	}
	return rest[:length:length], rest[length:], nil
}

// readUvarint reads an unsigned varint and rejects any encoding but the shortest.
func readUvarint(text []byte) (n uint64, rest []byte, err error) {
	n, size := binary.Uvarint(text)
	if size <= 0 || size > 1 && text[size-1] == 0 {
		return 0, nil, errors.Wrap(ErrMalformed, "invalid number")
	}
	return n, text[size:], nil
}

// Text returns the canonical encoding of the document.
func (d Document) Text() []byte { return d.text }

// Sum returns the digest of the document.
func (d Document) Sum() delta.Sum { return d.sum }

// Sections returns the sections, sorted by name.
func (d Document) Sections() []Section { return d.sections }

// Get returns the section with this name.
func (d Document) Get(name string) (Section, bool) {
	at, found := d.find(name)
	if !found {
		return Section{}, false
	}
	return d.sections[at], true
}

// find returns the index of the section with this name.
func (d Document) find(name string) (int, bool) {
	return slices.BinarySearchFunc(d.sections, name, func(s Section, name string) int { return strings.Compare(s.Name, name) })
}

// Change is the change of one section: its removal, or its new version and the hunks that make its new body.
type Change struct {
	Name    string
	Version uint64
	Removed bool
	Hunks   []delta.Hunk
}

// Patch turns one document into another. Sections that it does not name are unchanged.
type Patch struct {
	Base    delta.Sum // digest of the document that the patch applies to
	Result  delta.Sum // digest of the document that the patch produces
	Changes []Change
}

// Diff returns the patch that turns base into next.
func Diff(base, next Document) Patch {
	p := Patch{Base: base.sum, Result: next.sum}
	for at, s := range next.sections {
		before, known := base.find(s.Name)
		if known && base.sections[before].Version == s.Version && base.sums[before] == next.sums[at] {
			continue
		}
		c := Change{Name: s.Name, Version: s.Version}
		if known {
			c.Hunks = delta.Hunks(base.sections[before].Body, s.Body)
		} else {
			c.Hunks = delta.Hunks(nil, s.Body)
		}
		p.Changes = append(p.Changes, c)
	}
	for _, s := range base.sections {
		if _, stays := next.find(s.Name); !stays {
			p.Changes = append(p.Changes, Change{Name: s.Name, Removed: true})
		}
	}
	return p
}

// Size estimates the number of bytes of the encoded patch, before compression.
func (p Patch) Size() int {
	const hunk, change, sums = 12, 8, 2 * len(delta.Sum{})
	size := sums
	for _, c := range p.Changes {
		size += change + len(c.Name) + hunk*len(c.Hunks) + delta.InsertedBytes(c.Hunks)
	}
	return size
}

// Apply returns the document that the patch produces from base. It returns ErrMismatch if the digest of base or of the result
// differs from the one in the patch.
func (p Patch) Apply(base Document) (Document, error) {
	if base.sum != p.Base {
		return Document{}, ErrMismatch
	}
	changed := map[string]bool{}
	var all []Section
	known := map[string]delta.Sum{}
	for _, c := range p.Changes {
		if changed[c.Name] || len(c.Name) > maxNameSize {
			return Document{}, ErrMismatch
		}
		changed[c.Name] = true
		if c.Removed {
			continue
		}
		before, _ := base.Get(c.Name)
		body, err := delta.ApplyHunks(before.Body, c.Hunks)
		if err != nil || len(body) > maxSectionSize {
			return Document{}, ErrMismatch
		}
		all = append(all, Section{Name: c.Name, Version: c.Version, Body: body})
	}
	for at, s := range base.sections {
		if !changed[s.Name] {
			all = append(all, s)
			known[s.Name] = base.sums[at]
		}
	}
	slices.SortFunc(all, func(a, b Section) int { return strings.Compare(a.Name, b.Name) })
	sums := make([]delta.Sum, len(all))
	for at, s := range all {
		sums[at] = known[s.Name]
	}
	next := build(all, sums)
	if next.sum != p.Result {
		return Document{}, ErrMismatch
	}
	return next, nil
}
