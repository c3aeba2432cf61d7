// Package headscan counts the bytes and lines of an HTTP message's head as they arrive, before the head is parsed.
package headscan

import "bytes"

// Scanner counts one head. Its zero value is ready for use.
type Scanner struct {
	Bytes int64
	Lines int64
	Done  bool // the empty line at the end of the head has arrived
	More  bool // further bytes arrived together with the end of the head

	text  bool // a line that is not empty has begun
	blank bool // the current line is empty so far
}

// Scan counts the bytes of the head among the next bytes of a connection and returns the number of them and of their lines.
func (s *Scanner) Scan(b []byte) (size, lines int) {
	for !s.Done && size < len(b) {
		if b[size] == '\r' {
			size++
			continue
		}
		rest := b[size:]
		end := bytes.IndexByte(rest, '\n')
		if end != 0 {
			s.blank, s.text = false, true
		}
		if end < 0 {
			size = len(b)
			break
		}
		size += end + 1
		lines++
		s.Done = s.blank && s.text
		s.blank = true
	}
	s.Bytes += int64(size)
	s.Lines += int64(lines)
	s.More = s.More || size < len(b)
	return size, lines
}
