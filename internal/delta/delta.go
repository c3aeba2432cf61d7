// Package delta describes a byte string by how it differs from one that the other side has: parts of that one, wherever they have
// moved, and new bytes between. It fits values of which small parts change.
//
// The package has no I/O, clock or goroutine.
package delta

import (
	"crypto/sha256"

	"github.com/cockroachdb/errors"
)

const sumSize = 16 // bytes of SHA-256 that name a byte string

// Sum names a byte string.
type Sum [sumSize]byte

// SumOf names b.
func SumOf(b []byte) Sum {
	whole := sha256.Sum256(b)
	return Sum(whole[:sumSize])
}

// ErrMismatch says that a patch was made from another byte string, or is damaged.
var ErrMismatch = errors.New("the patch does not fit")
