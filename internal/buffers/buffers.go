// Package buffers lends byte buffers of one size from a pool.
package buffers

import "sync"

// Size is the size of every buffer: the largest body of the protocol, and a little for what stands round it.
const Size = 64<<10 + 4<<10

var pool = sync.Pool{New: func() any { return new([Size]byte) }}

// Get lends a buffer; its content is whatever the last user left.
func Get() *[Size]byte { return pool.Get().(*[Size]byte) }

// Put gives it back.
func Put(b *[Size]byte) { pool.Put(b) }
