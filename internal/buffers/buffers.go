// Package buffers provides a pool of byte buffers of one size.
package buffers

import "sync"

// Size is the size of every buffer: the largest body of the protocol plus space for its framing.
const Size = 64<<10 + 4<<10

var pool = sync.Pool{New: func() any { return new([Size]byte) }}

// Get returns a buffer. It is not cleared and may hold data of its previous user.
func Get() *[Size]byte { return pool.Get().(*[Size]byte) }

// Put returns a buffer to the pool.
func Put(b *[Size]byte) { pool.Put(b) }
