package delta

import (
	"bytes"
	"slices"
)

// Hunk copies a part of the base and adds bytes behind it.
type Hunk struct {
	From   int // in the base
	Length int
	Insert []byte
}

const (
	leastBlock = 32      // bytes that must be alike for a part to be copied from elsewhere in the base
	mostBlocks = 1 << 14 // of the base that are looked up: in a large one blocks are larger
	hashPrime  = 0x9e3779b97f4a7c15
)

// Hunks makes the hunks that make next from base. What both begin and end with costs nothing to find; between, parts of the base
// are found wherever they have moved.
func Hunks(base, next []byte) []Hunk {
	prefix := commonPrefix(base, next)
	suffix := commonSuffix(base[prefix:], next[prefix:])
	hunks := between(base[:len(base)-suffix], next[prefix:len(next)-suffix], prefix)
	if suffix > 0 {
		hunks = append(hunks, Hunk{From: len(base) - suffix, Length: suffix})
	}
	return trimmed(hunks)
}

// ApplyHunks makes what the hunks say from base.
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

// Inserted is how many bytes hunks carry.
func Inserted(hunks []Hunk) (bytes int) {
	for _, h := range hunks {
		bytes += len(h.Insert)
	}
	return bytes
}

func commonPrefix(a, b []byte) int {
	most := min(len(a), len(b))
	for at := range most {
		if a[at] != b[at] {
			return at
		}
	}
	return most
}

func commonSuffix(a, b []byte) int {
	most := min(len(a), len(b))
	for at := range most {
		if a[len(a)-1-at] != b[len(b)-1-at] {
			return at
		}
	}
	return most
}

// between makes hunks for rest, which follows what both begin with, from the base.
func between(base, rest []byte, prefix int) []Hunk {
	hunks := []Hunk{{Length: prefix}}
	blocks := indexOf(base[prefix:])
	window := newRolling(blocks.size)
	begin := 0 // of what no hunk has yet
	for at := 0; at+blocks.size <= len(rest); {
		from, found := blocks.find(window.at(rest, at), rest[at:])
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

// blocks are the places of a text's blocks, by their hash.
type blocks struct {
	size  int
	text  []byte
	first map[uint64]int
}

func indexOf(text []byte) blocks {
	size := leastBlock
	for len(text)/size > mostBlocks {
		size *= 2
	}
	b := blocks{size: size, text: text, first: make(map[uint64]int, len(text)/size)}
	window := newRolling(size)
	for at := 0; at+size <= len(text); at += size {
		hash := window.fresh(text[at : at+size])
		if _, known := b.first[hash]; !known {
			b.first[hash] = at
		}
	}
	return b
}

// find looks for the block that a text begins with.
func (b blocks) find(hash uint64, text []byte) (from int, found bool) {
	from, found = b.first[hash]
	return from, found && bytes.Equal(b.text[from:from+b.size], text[:b.size])
}

// rolling is a polynomial hash of a window that moves over a text byte by byte.
type rolling struct {
	size  int
	power uint64 // of the byte that leaves
	hash  uint64
	next  int // where hash is of the window that begins here
	known bool
}

func newRolling(size int) *rolling {
	r := &rolling{size: size, power: 1}
	for range size - 1 {
		r.power *= hashPrime
	}
	return r
}

func (r *rolling) fresh(window []byte) (hash uint64) {
	for _, c := range window {
		hash = hash*hashPrime + uint64(c) + 1
	}
	return hash
}

// at is the hash of the window that begins at a place; cheap where that is one after the last.
func (r *rolling) at(text []byte, place int) uint64 {
	if r.known && place == r.next {
		left, entered := text[place-1], text[place+r.size-1]
		r.hash = (r.hash-(uint64(left)+1)*r.power)*hashPrime + uint64(entered) + 1
	} else {
		r.hash = r.fresh(text[place : place+r.size])
	}
	r.known, r.next = true, place+1
	return r.hash
}

// trimmed leaves out hunks that say nothing.
func trimmed(hunks []Hunk) []Hunk {
	return slices.DeleteFunc(hunks, func(h Hunk) bool { return h.Length == 0 && len(h.Insert) == 0 })
}
