// Package sections is a document of named sections in a canonical form, and its changes section by section. Each section has a
// version of its own; one sum names the whole, and is made of the sections' sums, so what did not change is not summed up again.
//
// The package has no I/O, clock or goroutine.
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
	magic       = "gss1" // what a document begins with
	mostName    = 64     // bytes
	mostSection = 64 << 20
)

// ErrMalformed says that a text is no document, or not in its canonical form.
var ErrMalformed = errors.New("not a document of sections")

// ErrMismatch says that a patch was made from another document, or is damaged.
var ErrMismatch = errors.New("the patch of sections does not fit")

// Section is one part of a document.
type Section struct {
	Name    string
	Version uint64 // rises with each change of the section
	Body    []byte
}

// Document is a document as it is read. Nobody changes it.
type Document struct {
	text     []byte
	sections []Section // by name; bodies are parts of text
	sums     []delta.Sum
	sum      delta.Sum
}

// New makes a document of sections in any order.
func New(list ...Section) Document {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b Section) int { return strings.Compare(a.Name, b.Name) })
	return build(sorted, nil)
}

// build makes the canonical text of sorted sections. sums are those that are known, by place; nil: none.
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
	d.sum = d.total()
	return d
}

// total is the sum of the whole: of the sections' names, versions and sums.
func (d *Document) total() delta.Sum {
	hash := sha256.New()
	for at, s := range d.sections {
		head := binary.AppendUvarint([]byte(s.Name), 0)
		head = binary.AppendUvarint(head, s.Version)
		hash.Write(head)
		hash.Write(d.sums[at][:])
	}
	return delta.Sum(hash.Sum(nil)[:len(delta.Sum{})])
}

// Is says whether a text begins as a document does.
func Is(text []byte) bool { return bytes.HasPrefix(text, []byte(magic)) }

// Parse reads a document. The text must not be changed afterwards.
func Parse(text []byte) (Document, error) {
	if !Is(text) {
		return Document{}, ErrMalformed
	}
	d := Document{text: text}
	rest := text[len(magic):]
	count, rest, err := number(rest)
	if err != nil {
		return Document{}, err
	}
	for range count {
		s := Section{}
		if s, rest, err = section(rest); err != nil {
			return Document{}, err
		}
		if n := len(d.sections); n > 0 && d.sections[n-1].Name >= s.Name {
			return Document{}, errors.Wrapf(ErrMalformed, "section %q", s.Name)
		}
		d.sections = append(d.sections, s)
		d.sums = append(d.sums, delta.SumOf(s.Body))
	}
	if len(rest) > 0 {
		return Document{}, errors.Wrapf(ErrMalformed, "%d bytes too many", len(rest))
	}
	d.sum = d.total()
	return d, nil
}

func section(text []byte) (s Section, rest []byte, err error) {
	name, rest, err := field(text, mostName)
	if err != nil {
		return s, nil, err
	}
	s.Name = string(name)
	if s.Version, rest, err = number(rest); err != nil {
		return s, nil, err
	}
	s.Body, rest, err = field(rest, mostSection)
	return s, rest, err
}

// field reads a length and as many bytes.
func field(text []byte, most uint64) (body, rest []byte, err error) {
	length, rest, err := number(text)
	if err != nil {
		return nil, nil, err
	}
	if length > most || length > uint64(len(rest)) {
		return nil, nil, errors.Wrapf(ErrMalformed, "a length of %d", length)
	}
	return rest[:length:length], rest[length:], nil
}

// number reads a number in its shortest form.
func number(text []byte) (n uint64, rest []byte, err error) {
	n, size := binary.Uvarint(text)
	if size <= 0 || size > 1 && text[size-1] == 0 {
		return 0, nil, errors.Wrap(ErrMalformed, "a number")
	}
	return n, text[size:], nil
}

// Text is the document in its canonical form.
func (d Document) Text() []byte { return d.text }

// Sum names the document.
func (d Document) Sum() delta.Sum { return d.sum }

// Sections are its sections, by name.
func (d Document) Sections() []Section { return d.sections }

// Get returns a section.
func (d Document) Get(name string) (Section, bool) {
	at, found := d.place(name)
	if !found {
		return Section{}, false
	}
	return d.sections[at], true
}

func (d Document) place(name string) (int, bool) {
	return slices.BinarySearchFunc(d.sections, name, func(s Section, name string) int { return strings.Compare(s.Name, name) })
}

// Change is what becomes of one section.
type Change struct {
	Name    string
	Version uint64
	Removed bool
	Hunks   []delta.Hunk
}

// Patch makes one document from another. Sections that it does not name stay.
type Patch struct {
	Base    delta.Sum // of what it is applied to
	Result  delta.Sum // of what it makes
	Changes []Change
}

// Diff makes the patch from base to next.
func Diff(base, next Document) Patch {
	p := Patch{Base: base.sum, Result: next.sum}
	for at, s := range next.sections {
		before, known := base.place(s.Name)
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
		if _, stays := next.place(s.Name); !stays {
			p.Changes = append(p.Changes, Change{Name: s.Name, Removed: true})
		}
	}
	return p
}

// Size is about how many bytes the patch takes.
func (p Patch) Size() int {
	const hunk, change, sums = 12, 8, 2 * len(delta.Sum{})
	size := sums
	for _, c := range p.Changes {
		size += change + len(c.Name) + hunk*len(c.Hunks) + delta.Inserted(c.Hunks)
	}
	return size
}

// Apply makes the document that the patch says from its base.
func (p Patch) Apply(base Document) (Document, error) {
	if base.sum != p.Base {
		return Document{}, ErrMismatch
	}
	changed := map[string]bool{}
	var all []Section
	known := map[string]delta.Sum{}
	for _, c := range p.Changes {
		if changed[c.Name] || len(c.Name) > mostName {
			return Document{}, ErrMismatch
		}
		changed[c.Name] = true
		if c.Removed {
			continue
		}
		before, _ := base.Get(c.Name)
		body, err := delta.ApplyHunks(before.Body, c.Hunks)
		if err != nil || len(body) > mostSection {
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
