package sections

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"

	"gullstair/internal/delta"
)

// A patch on the wire: a byte that says whether the rest is compressed, then the sums and the changes.
const (
	plain          = 0
	compressed     = 1
	compressFrom   = 256 // bytes; shorter ones grow by it
	mostPatch      = 128 << 20
	mostChanges    = 1 << 10
	mostHunks      = 1 << 20
	removedSection = 1
)

// Marshal writes the patch.
func (p Patch) Marshal() []byte {
	out := make([]byte, 0, p.Size()+1)
	out = append(out, plain)
	out = append(out, p.Base[:]...)
	out = append(out, p.Result[:]...)
	out = binary.AppendUvarint(out, uint64(len(p.Changes)))
	for _, c := range p.Changes {
		out = binary.AppendUvarint(out, uint64(len(c.Name)))
		out = append(out, c.Name...)
		out = binary.AppendUvarint(out, c.Version)
		if c.Removed {
			out = append(out, removedSection)
			continue
		}
		out = append(out, 0)
		out = binary.AppendUvarint(out, uint64(len(c.Hunks)))
		for _, h := range c.Hunks {
			out = binary.AppendUvarint(out, uint64(h.From))
			out = binary.AppendUvarint(out, uint64(h.Length))
			out = binary.AppendUvarint(out, uint64(len(h.Insert)))
			out = append(out, h.Insert...)
		}
	}
	if len(out) < compressFrom {
		return out
	}
	var b bytes.Buffer
	b.WriteByte(compressed)
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is fixed
	}
	if _, err := w.Write(out[1:]); err != nil {
		panic(err) // writing to a buffer does not fail
	}
	if err := w.Close(); err != nil {
		panic(err)
	}
	if b.Len() < len(out) {
		return b.Bytes()
	}
	return out
}

// UnmarshalPatch reads a patch.
func UnmarshalPatch(text []byte) (Patch, error) {
	if len(text) == 0 || text[0] != plain && text[0] != compressed {
		return Patch{}, ErrMalformed
	}
	rest := text[1:]
	if text[0] == compressed {
		var err error
		if rest, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(rest)), mostPatch)); err != nil {
			return Patch{}, errors.Wrap(err, "decompress a patch")
		}
	}
	const sums = 2 * len(delta.Sum{})
	if len(rest) < sums {
		return Patch{}, ErrMalformed
	}
	p := Patch{Base: delta.Sum(rest[:sums/2]), Result: delta.Sum(rest[sums/2 : sums])}
	count, rest, err := number(rest[sums:])
	if err != nil || count > mostChanges {
		return Patch{}, ErrMalformed
	}
	for range count {
		c := Change{}
		if c, rest, err = change(rest); err != nil {
			return Patch{}, err
		}
		p.Changes = append(p.Changes, c)
	}
	if len(rest) > 0 {
		return Patch{}, ErrMalformed
	}
	return p, nil
}

func change(text []byte) (c Change, rest []byte, err error) {
	name, rest, err := field(text, mostName)
	if err != nil {
		return c, nil, err
	}
	c.Name = string(name)
	if c.Version, rest, err = number(rest); err != nil {
		return c, nil, err
	}
	if len(rest) == 0 || rest[0] > removedSection {
		return c, nil, ErrMalformed
	}
	c.Removed, rest = rest[0] == removedSection, rest[1:]
	if c.Removed {
		return c, rest, nil
	}
	count, rest, err := number(rest)
	if err != nil || count > mostHunks {
		return c, nil, ErrMalformed
	}
	for range count {
		h := delta.Hunk{}
		if h, rest, err = hunk(rest); err != nil {
			return c, nil, err
		}
		c.Hunks = append(c.Hunks, h)
	}
	return c, rest, nil
}

func hunk(text []byte) (h delta.Hunk, rest []byte, err error) {
	from, rest, err := number(text)
	if err != nil {
		return h, nil, err
	}
	length, rest, err := number(rest)
	if err != nil || from > mostSection || length > mostSection {
		return h, nil, ErrMalformed
	}
	h.From, h.Length = int(from), int(length)
	insert, rest, err := field(rest, mostSection)
	if len(insert) > 0 {
		h.Insert = insert
	}
	return h, rest, err
}
