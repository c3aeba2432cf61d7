package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"gullstair/internal/upstream"
)

const (
	copyBuffer    = 8 << 10
	maxEventBytes = 1 << 20 // bytes of one event
)

var (
	errClientGone    = errors.New("write to the client failed")
	errEventTooLarge = errors.New("event exceeds the size limit")
	errTruncated     = errors.New("response ended before its last byte")
	errNotResumable  = errors.New("the stream cannot be resumed with this response")
)

// answer is the response to the client: the head of the first instance whose bytes were forwarded, and the body. Once the
// response has begun, another attempt may continue it only if it is a resumable stream whose last forwarded event has an id.
type answer struct {
	writer     http.ResponseWriter
	stream     bool
	resumable  bool   // from the route
	begun      bool   // the head has been forwarded
	lastSentID string // id of the last event that the client has received
	lastHasID  bool   // the last forwarded event has an id
	length     int64  // of the body; negative if unknown
	sentBytes  int64
}

// committed reports whether the response has begun and no other attempt may continue it.
func (a *answer) committed() bool { return a.begun && !(a.stream && a.resumable && a.lastHasID) }

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade"}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range hopHeaders {
		if name != "Connection" || from.Get(name) != "" {
			to.Del(name)
		}
	}
	if _, present := from["Content-Type"]; !present {
		to["Content-Type"] = nil // otherwise net/http would guess one
	}
	to.Del("Content-Length")
}

// begin forwards the head of a response, unless one has been forwarded already.
func (a *answer) begin(r *upstream.Response) {
	if a.begun {
		return
	}
	a.begun, a.length = true, r.Length
	closing := a.writer.Header().Get("Connection")
	copyHeader(a.writer.Header(), r.Header)
	if closing != "" {
		a.writer.Header().Set("Connection", closing)
	}
	if r.Length >= 0 {
		a.writer.Header().Set("Content-Length", strconv.FormatInt(r.Length, 10))
	}
	a.writer.WriteHeader(r.Status)
}

// copy forwards the response of an instance. The head is forwarded only with the first bytes of the body or at its end: until
// then another attempt can still replace this one.
func (a *answer) copy(t *transfer) error {
	resumed := a.begun
	if resumed && (a.committed() || t.response.Status != http.StatusOK || t.response.Header.Get(serverStamp) == "") {
		return errNotResumable
	}
	if a.stream && t.response.Status == http.StatusOK {
		return a.copyEvents(t, resumed)
	}
	return a.copyBody(t)
}

// copyBody forwards a body as it arrives.
func (a *answer) copyBody(t *transfer) error {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := t.read(buffer)
		if n > 0 {
			if !a.begun && !t.mayBegin() {
				return errTruncated
			}
			a.begin(t.response)
			if !a.write(buffer[:n]) {
				return errClientGone
			}
		}
		if err == io.EOF {
			a.begin(t.response)
			return a.checkLength()
		}
		if err != nil {
			return errTruncated
		}
		if !t.response.Buffered() {
			a.flush()
		}
	}
}

// copyEvents forwards complete events as they arrive and keeps the id of the last one. The start of an event that is too large
// to be held is forwarded before its end.
func (a *answer) copyEvents(t *transfer, resumed bool) error {
	buffer := make([]byte, copyBuffer)
	pending := &pendingEvents{account: t.account, limit: heldEventBytes}
	if resumed {
		pending.limit = maxEventBytes // whether the client has an event already may show only at its end
	}
	defer pending.release()
	for {
		n, err := t.read(buffer)
		if n > 0 {
			if err := a.addEvents(t, pending, buffer[:n], resumed); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return a.finishEvents(t.response, pending.text)
		}
		if err != nil {
			return errTruncated
		}
	}
}

// addEvents adds the next bytes of a stream and forwards what may be forwarded.
func (a *answer) addEvents(t *transfer, pending *pendingEvents, next []byte, resumed bool) error {
	roomy := pending.add(next)
	if end := pending.completeEnd(); end > 0 {
		a.begin(t.response)
		rest := 0 // of an event whose start has been forwarded
		if pending.forwarded > 0 {
			rest = firstEventEnd(pending.text[:end])
		}
		if !a.write(pending.text[:rest]) || !a.forwardEvents(pending.text[rest:end], resumed) {
			return errClientGone
		}
		pending.removeEvents(end)
		a.flush()
	}
	switch {
	case pending.forwarded+len(pending.text) > maxEventBytes:
		return errEventTooLarge
	case roomy:
		return nil
	case resumed:
		return errEventTooLarge
	}
	a.begin(t.response)
	a.lastHasID = false
	if !pending.removeStart(a.write) {
		return errClientGone
	}
	return nil
}

// finishEvents ends the stream: it forwards the bytes after the last complete event.
func (a *answer) finishEvents(r *upstream.Response, rest []byte) error {
	a.begin(r)
	if len(rest) > 0 && !a.write(rest) {
		return errClientGone
	}
	return a.checkLength()
}

// lastEventEnd returns the length of the complete events at the start of text. A blank line ends an event.
func lastEventEnd(text []byte) int {
	end := bytes.LastIndex(text, []byte("\n\n"))
	if crlf := bytes.LastIndex(text, []byte("\n\r\n")); crlf > end {
		return crlf + len("\n\r\n")
	}
	if end < 0 {
		return 0
	}
	return end + len("\n\n")
}

// forwardEvents forwards complete events. If the stream was resumed, it skips events that the client has received already.
func (a *answer) forwardEvents(events []byte, resumed bool) bool {
	for len(events) > 0 {
		end := firstEventEnd(events)
		event := events[:end]
		events = events[end:]
		id := lastID(event)
		if resumed && id != "" && !after(id, a.lastSentID) {
			continue
		}
		a.lastHasID = id != ""
		if a.lastHasID {
			a.lastSentID = id
		}
		if !a.write(event) {
			return false
		}
	}
	return true
}

func firstEventEnd(text []byte) int {
	end := len(text)
	for _, blank := range []string{"\n\n", "\n\r\n"} {
		if i := bytes.Index(text, []byte(blank)); i >= 0 {
			end = min(end, i+len(blank))
		}
	}
	return end
}

// lastID returns the id of the last event in text that has one, or "".
func lastID(text []byte) string {
	for {
		i := bytes.LastIndex(text, []byte("id:"))
		if i < 0 {
			return ""
		}
		if i == 0 || text[i-1] == '\n' {
			line, _, _ := bytes.Cut(text[i+len("id:"):], []byte("\n"))
			return strings.TrimSpace(string(line))
		}
		text = text[:i]
	}
}

// after reports whether the event id follows last in the stream; it assumes so for ids that are not numbers.
func after(id, last string) bool {
	a, err1 := strconv.ParseInt(id, 10, 64)
	b, err2 := strconv.ParseInt(last, 10, 64)
	return err1 != nil || err2 != nil || a > b
}

func (a *answer) write(b []byte) bool {
	n, err := a.writer.Write(b)
	a.sentBytes += int64(n)
	return err == nil
}

func (a *answer) flush() {
	if f, ok := a.writer.(http.Flusher); ok {
		f.Flush()
	}
}

// checkLength returns errTruncated unless all of the body has been forwarded.
func (a *answer) checkLength() error {
	if a.length >= 0 && a.sentBytes != a.length {
		return errTruncated
	}
	return nil
}
