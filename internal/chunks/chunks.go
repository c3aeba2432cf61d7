// Package chunks reads data of unknown length into chunks, which are not moved while the data grow: they are held once.
package chunks

import (
	"io"
	"slices"
	"sync"
)

const (
	minChunk = 512
	maxChunk = 16 << 10
)

// largest holds released chunks of the largest size: what many clients send and give up would be garbage otherwise.
var largest = sync.Pool{New: func() any { return new([maxChunk]byte) }}

func newChunk(size int) []byte {
	if size == maxChunk {
		return largest.Get().(*[maxChunk]byte)[:]
	}
	return make([]byte, size)
}

// Release gives chunks back that are not used any more.
func Release(chunks [][]byte) {
	for _, chunk := range chunks {
		if cap(chunk) == maxChunk {
			largest.Put((*[maxChunk]byte)(chunk[:maxChunk]))
		}
	}
}

// Read reads all data from r. Data that break off have another error than io.EOF. The caller may release the chunks.
func Read(r io.Reader) (chunks [][]byte, err error) {
	for size := minChunk; err == nil; size = min(2*size, maxChunk) {
		var chunk []byte
		chunk, err = readChunk(r, newChunk(size))
		chunks = append(chunks, chunk)
	}
	if err == io.EOF {
		return chunks, nil
	}
	Release(chunks)
	return nil, err
}

// readChunk fills a chunk, or returns the part of it that was filled before an error.
func readChunk(r io.Reader, chunk []byte) ([]byte, error) {
	n := 0
	for n < len(chunk) {
		read, err := r.Read(chunk[n:])
		n += read
		if err != nil {
			return chunk[:n], err
		}
	}
	return chunk, nil
}

// Size returns the number of bytes in chunks.
func Size(chunks [][]byte) (size int64) {
	for _, chunk := range chunks {
		size += int64(len(chunk))
	}
	return size
}

// Join returns the data in one piece, as a copy.
func Join(chunks [][]byte) []byte { return slices.Concat(chunks...) }
