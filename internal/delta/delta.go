// Package delta encodes a byte string as its difference from a base that the receiver has: copied ranges of the base, which may
// have moved, and inserted bytes between them. It suits values of which small parts change.
//
// The package does no I/O, reads no clock and starts no goroutines.
package delta

import (
	"crypto/sha256"

	"github.com/cockroachdb/errors"
)

const sumSize = 16 // bytes of SHA-256 that identify a byte string

// Sum is a digest that identifies a byte string: its SHA-256 hash, truncated to 16 bytes.
type Sum [sumSize]byte

// SumOf returns the digest of b.
func SumOf(b []byte) Sum {
	whole := sha256.Sum256(b)
	return Sum(whole[:sumSize])
}

// ErrMismatch means that hunks were made from another base, or are damaged.
var ErrMismatch = errors.New("the hunks do not match the base")
