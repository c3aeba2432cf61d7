package delta

import (
	"bytes"
	"slices"
)

// Hunk copies a range of the base and appends the inserted bytes after it.
type Hunk struct {
	From   int // offset in the base
	Length int
	Insert []byte
}

const (
	minBlockSize = 32      // bytes; shortest match that is copied from elsewhere in the base
	maxBlocks    = 1 << 14 // blocks of the base that are indexed; a large base has larger blocks
	hashPrime    = 0x9e3779b97f4a7c15
)

// Hunks returns the hunks that turn base into next. It first splits off the common prefix and suffix, which are cheap to find, and
// then searches the rest for ranges of the base that have moved.
func Hunks(base, next []byte) []Hunk {
	prefix := commonPrefix(base, next)
	suffix := commonSuffix(base[prefix:], next[prefix:])
	hunks := hunksBetween(base[:len(base)-suffix], next[prefix:len(next)-suffix], prefix)
	if suffix > 0 {
		hunks = append(hunks, Hunk{From: len(base) - suffix, Length: suffix})
	}
	return withoutEmptyHunks(hunks)
}

// ApplyHunks returns the byte string that the hunks produce from base, or ErrMismatch if a hunk exceeds the base.
func ApplyHunks(base []byte, hunks []Hunk) ([]byte, error) {
	size := 0
	for _, h := range hunks {
		if h.From < 0 || h.Length < 0 || h.From > len(base) || h.Length > len(base)-h.From {
			return nil, ErrMismatch
		}
		size += h.Length + len(h.Insert)
	}
	next := make([]byte, 0, size)
	for _, h := range hunks {
		next = append(next, base[h.From:h.From+h.Length]...)
		next = append(next, h.Insert...)
	}
	return next, nil
}

// InsertedBytes returns the number of bytes that the hunks insert.
func InsertedBytes(hunks []Hunk) (bytes int) {
	for _, h := range hunks {
		bytes += len(h.Insert)
	}
	return bytes
}

func commonPrefix(a, b []byte) int {
	length := min(len(a), len(b))
	for at := range length {
		if a[at] != b[at] {
			return at
		}
	}
	return length
}

func commonSuffix(a, b []byte) int {
	length := min(len(a), len(b))
	for at := range length {
		if a[len(a)-1-at] != b[len(b)-1-at] {
			return at
		}
	}
	return length
}

// hunksBetween returns the hunks for the middle of the new text: first the common prefix of the given length, then rest, which
// follows it, as copies from the base and insertions.
func hunksBetween(base, rest []byte, prefix int) []Hunk {
	hunks := []Hunk{{Length: prefix}}
	blocks := newBlockIndex(base[prefix:])
	window := newRollingHash(blocks.size)
	begin := 0 // start of the part of rest that no hunk covers yet
	for at := 0; at+blocks.size <= len(rest); {
		from, found := blocks.find(window.hashAt(rest, at), rest[at:])
		if !found {
			at++
			continue
		}
		from += prefix
		back := commonSuffix(base[prefix:from], rest[begin:at])
		length := back + commonPrefix(base[from:], rest[at:])
		hunks[len(hunks)-1].Insert = bytes.Clone(rest[begin : at-back])
		hunks = append(hunks, Hunk{From: from - back, Length: length})
		begin = at - back + length
		at = begin
	}
	hunks[len(hunks)-1].Insert = bytes.Clone(rest[begin:])
	return hunks
}

// blockIndex maps the hash of each block of a text to the offset of the first such block.
type blockIndex struct {
	size    int
	text    []byte
	offsets map[uint64]int
}

// newBlockIndex splits a text into at most maxBlocks blocks of equal size and indexes them.
func newBlockIndex(text []byte) blockIndex {
	size := minBlockSize
	for len(text)/size > maxBlocks {
		size *= 2
	}
	b := blockIndex{size: size, text: text, offsets: make(map[uint64]int, len(text)/size)}
	window := newRollingHash(size)
	for at := 0; at+size <= len(text); at += size {
		hash := window.hashOf(text[at : at+size])
		if _, known := b.offsets[hash]; !known {
			b.offsets[hash] = at
		}
	}
	return b
}

// find returns the offset of an indexed block with this hash that equals the beginning of text.
func (b blockIndex) find(hash uint64, text []byte) (from int, found bool) {
	from, found = b.offsets[hash]
	return from, found && bytes.Equal(b.text[from:from+b.size], text[:b.size])
}

// rollingHash is a polynomial hash of a window that moves over a text byte by byte.
type rollingHash struct {
	size  int
	power uint64 // factor of the byte that leaves the window
	hash  uint64
	next  int  // start of the window that follows the hashed one
	known bool // hash is valid
}

func newRollingHash(size int) *rollingHash {
	r := &rollingHash{size: size, power: 1}
	for range size - 1 {
		r.power *= hashPrime
	}
	return r
}

// hashOf computes the hash of a window from its bytes.
func (r *rollingHash) hashOf(window []byte) (hash uint64) {
	for _, c := range window {
		hash = hash*hashPrime + uint64(c) + 1
	}
	return hash
}

// hashAt returns the hash of the window that starts at an offset. It is cheap if the previous call was for the preceding offset.
func (r *rollingHash) hashAt(text []byte, at int) uint64 {
	if r.known && at == r.next {
		left, entered := text[at-1], text[at+r.size-1]
		r.hash = (r.hash-(uint64(left)+1)*r.power)*hashPrime + uint64(entered) + 1
	} else {
		r.hash = r.hashOf(text[at : at+r.size])
	}
	r.known, r.next = true, at+1
	return r.hash
}

// withoutEmptyHunks removes hunks that copy and insert nothing.
func withoutEmptyHunks(hunks []Hunk) []Hunk {
	return slices.DeleteFunc(hunks, func(h Hunk) bool { return h.Length == 0 && len(h.Insert) == 0 })
}
