package sections

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"

	"gullstair/internal/delta"
)

// An encoded patch is a format byte, which says whether the rest is compressed, then the two digests and the changes.
const (
	formatPlain      = 0
	formatCompressed = 1
	minCompressSize  = 256 // bytes; compression makes shorter patches larger
	maxPatchSize     = 128 << 20
	maxChanges       = 1 << 10
	maxHunks         = 1 << 20
	removedSection   = 1
)

// Marshal encodes the patch and compresses it if that makes it smaller.
func (p Patch) Marshal() []byte {
	out := make([]byte, 0, p.Size()+1)
	out = append(out, formatPlain)
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
	if len(out) < minCompressSize {
		return out
	}
	var b bytes.Buffer
	b.WriteByte(formatCompressed)
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		panic(err) // cannot happen: the level is fixed
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

// UnmarshalPatch decodes a patch. It bounds the decompressed size and the numbers of changes and hunks.
func UnmarshalPatch(text []byte) (Patch, error) {
	if len(text) == 0 || text[0] != formatPlain && text[0] != formatCompressed {
		return Patch{}, ErrMalformed
	}
	rest := text[1:]
	if text[0] == formatCompressed {
		var err error
		if rest, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(rest)), maxPatchSize)); err != nil {
			return Patch{}, errors.Wrap(err, "decompress a patch")
		}
	}
	const sums = 2 * len(delta.Sum{})
	if len(rest) < sums {
		return Patch{}, ErrMalformed
	}
	p := Patch{Base: delta.Sum(rest[:sums/2]), Result: delta.Sum(rest[sums/2 : sums])}
	count, rest, err := readUvarint(rest[sums:])
	if err != nil || count > maxChanges {
		return Patch{}, ErrMalformed
	}
	for range count {
		c := Change{}
		if c, rest, err = readChange(rest); err != nil {
			return Patch{}, err
		}
		p.Changes = append(p.Changes, c)
	}
	if len(rest) > 0 {
		return Patch{}, ErrMalformed
	}
	return p, nil
}

// readChange decodes the change of one section and returns the bytes after it.
func readChange(text []byte) (c Change, rest []byte, err error) {
	name, rest, err := readField(text, maxNameSize)
	if err != nil {
		return c, nil, err
	}
	c.Name = string(name)
	if c.Version, rest, err = readUvarint(rest); err != nil {
		return c, nil, err
	}
	if len(rest) == 0 || rest[0] > removedSection {
		return c, nil, ErrMalformed
	}
	c.Removed, rest = rest[0] == removedSection, rest[1:]
	if c.Removed {
		return c, rest, nil
	}
	count, rest, err := readUvarint(rest)
	if err != nil || count > maxHunks {
		return c, nil, ErrMalformed
	}
	for range count {
		h := delta.Hunk{}
		if h, rest, err = readHunk(rest); err != nil {
			return c, nil, err
		}
		c.Hunks = append(c.Hunks, h)
	}
	return c, rest, nil
}

// readHunk decodes a hunk and returns the bytes after it.
func readHunk(text []byte) (h delta.Hunk, rest []byte, err error) {
	from, rest, err := readUvarint(text)
	if err != nil {
		return h, nil, err
	}
	length, rest, err := readUvarint(rest)
	if err != nil || from > maxSectionSize || length > maxSectionSize {
		return h, nil, ErrMalformed
	}
	h.From, h.Length = int(from), int(length)
	insert, rest, err := readField(rest, maxSectionSize)
	if len(insert) > 0 {
		h.Insert = insert
	}
	return h, rest, err
}
