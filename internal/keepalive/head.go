package keepalive

import "bytes"

// headScanner counts the bytes and lines of a request's head as they arrive.
type headScanner struct {
	bytes int64
	text  bool // a line that is not empty has begun
	blank bool // the current line is empty so far
	done  bool // the empty line at the end of the head has arrived
	more  bool // further bytes arrived together with the end of the head
}

// scan counts the bytes of the head among the next bytes of a connection and returns the number of them and of their lines.
func (h *headScanner) scan(b []byte) (size, lines int) {
	for !h.done && size < len(b) {
		if b[size] == '\r' {
			size++
			continue
		}
		rest := b[size:]
		end := bytes.IndexByte(rest, '\n')
		if end != 0 {
			h.blank, h.text = false, true
		}
		if end < 0 {
			size = len(b)
			break
		}
		size += end + 1
		lines++
		h.done = h.blank && h.text
		h.blank = true
	}
	h.bytes += int64(size)
	h.more = h.more || size < len(b)
	return size, lines
}
