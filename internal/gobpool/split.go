package gobpool

import "github.com/cockroachdb/errors"

// errTruncated means that a message ends early.
var errTruncated = errors.New("truncated gob message")

// split separates the type definitions at the beginning of an encoder's output from the value after them. The format
// is described in the documentation of encoding/gob: each part consists of its length and a number, which is negative
// for a definition.
func split(text []byte) (definitions, rest []byte, err error) {
	at := 0
	for at < len(text) {
		length, size, err := readUint(text[at:])
		if err != nil {
			return nil, nil, err
		}
		body := text[at+size:]
		if length == 0 || length > uint64(len(body)) {
			return nil, nil, errTruncated
		}
		number, _, err := readUint(body[:length])
		if err != nil {
			return nil, nil, err
		}
		if number&1 == 0 { // the lowest bit is the sign
			break
		}
		at += size + int(length)
	}
	return text[:at], text[at:], nil
}

// readUint decodes an unsigned integer and returns its size in bytes. A value below 128 takes one byte. Otherwise the
// first byte is the negated count of the bytes that follow, in big-endian order.
func readUint(text []byte) (number uint64, size int, err error) {
	if len(text) == 0 {
		return 0, 0, errTruncated
	}
	if text[0] < 1<<7 {
		return uint64(text[0]), 1, nil
	}
	count := -int(int8(text[0]))
	if count > 8 {
		return 0, 0, errors.Newf("invalid gob integer of %d bytes", count)
	}
	if len(text) <= count {
		return 0, 0, errTruncated
	}
	for _, b := range text[1 : 1+count] {
		number = number<<8 | uint64(b)
	}
	return number, 1 + count, nil
}
