package memberstate

import (
	"bytes"
	"errors"

	"github.com/vmihailenco/msgpack/v5"
)

// Marshal encodes a message between members: msgpack with structs as arrays and numbers in their shortest form.
func Marshal(v any) ([]byte, error) {
	var b bytes.Buffer
	enc := msgpack.NewEncoder(&b)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	err := enc.Encode(v)
	return b.Bytes(), err
}

// Unmarshal decodes a message. Any malformed input is an error.
func Unmarshal(data []byte, v any) error {
	if err := checkSizes(data); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, v)
}

var errSize = errors.New("msgpack: an announced size exceeds the message")

// checkSizes walks a message and rejects sizes that exceed it: the library allocates as many elements as are announced, and a few bytes can announce
// four billion.
func checkSizes(data []byte) error {
	for left := uint64(1); left > 0; left-- { // elements still to read
		if len(data) == 0 {
			return errSize
		}
		c := data[0]
		data = data[1:]
		bytes, items, head := uint64(0), uint64(0), 0 // payload bytes, nested elements, and length of the size field
		switch {
		case c <= 0x7f || c >= 0xe0 || c >= 0xc0 && c <= 0xc3:
		case c <= 0x8f:
			items = 2 * uint64(c&0x0f)
		case c <= 0x9f:
			items = uint64(c & 0x0f)
		case c <= 0xbf:
			bytes = uint64(c & 0x1f)
		case c <= 0xc6: // bin
			head = 1 << (c - 0xc4)
		case c <= 0xc9: // ext
			head, bytes = 1<<(c-0xc7), 1
		case c <= 0xcb: // floats
			bytes = 4 << (c - 0xca)
		case c <= 0xcf:
			bytes = 1 << (c - 0xcc)
		case c <= 0xd3:
			bytes = 1 << (c - 0xd0)
		case c <= 0xd8: // fixed ext
			bytes = 1 + 1<<(c-0xd4)
		case c <= 0xdb: // str
			head = 1 << (c - 0xd9)
		default: // array, map of 16 and 32 bits
			head = 2 << ((c - 0xdc) & 1)
		}
		if head > len(data) {
			return errSize
		}
		n := uint64(0)
		for _, b := range data[:head] {
			n = n<<8 | uint64(b)
		}
		data = data[head:]
		switch {
		case c >= 0xde && head > 0 && c <= 0xdf:
			items = 2 * n
		case c >= 0xdc && head > 0 && c <= 0xdd:
			items = n
		default:
			bytes += n
		}
		if bytes > uint64(len(data)) || left-1+items > uint64(len(data))-bytes {
			return errSize // each element takes at least one byte
		}
		data, left = data[bytes:], left+items
	}
	return nil
}
