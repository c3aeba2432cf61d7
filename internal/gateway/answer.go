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
	copyBuffer = 8 << 10
	mostEvent  = 1 << 20 // bytes of one event
)

var (
	errClientGone = errors.New("the client takes no more")
	errEvent      = errors.New("an event is too large")
	errBroken     = errors.New("the answer ended before its last byte")
	errResume     = errors.New("the stream was not taken up again")
)

// answer is what the client gets: the head of the instance whose bytes came first, and the body. Only a resumable stream
// of which an event with an id was passed on may be gone on with by a second run; nothing else that has begun is.
type answer struct {
	w         http.ResponseWriter
	stream    bool
	resumable bool   // by the route
	begun     bool   // the head has been passed on
	last      string // id of the last event that the client has
	named     bool   // the last event that was passed on here has an id
	length    int64  // of the body, if told; else below 0
	sent      int64
}

// closed says whether no other run may go on with what the client has been sent.
func (a *answer) closed() bool { return a.begun && !(a.stream && a.resumable && a.named) }

// hopHeaders concern one connection only.
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
	if _, told := from["Content-Type"]; !told {
		to["Content-Type"] = nil // else net/http would guess one
	}
	to.Del("Content-Length")
}

// begin passes the head on, once.
func (a *answer) begin(r *upstream.Response) {
	if a.begun {
		return
	}
	a.begun, a.length = true, r.Length
	closing := a.w.Header().Get("Connection")
	copyHeader(a.w.Header(), r.Header)
	if closing != "" {
		a.w.Header().Set("Connection", closing)
	}
	if r.Length >= 0 {
		a.w.Header().Set("Content-Length", strconv.FormatInt(r.Length, 10))
	}
	a.w.WriteHeader(r.Status)
}

// copy passes an answer on. onData is called when the first of its body is there. The head waits for the first bytes of
// the body, or for its end: until then another run can still take the place of this one.
func (a *answer) copy(r *upstream.Response, onData func()) error {
	resumed := a.begun
	if resumed && (a.closed() || r.Status != http.StatusOK || r.Header.Get(serverStamp) == "") {
		return errResume
	}
	if a.stream && r.Status == http.StatusOK {
		return a.copyEvents(r, resumed, onData)
	}
	buffer := make([]byte, copyBuffer)
	for {
		n, err := r.Read(buffer)
		if n > 0 {
			onData()
			a.begin(r)
			if !a.write(buffer[:n]) {
				return errClientGone
			}
		}
		if err == io.EOF {
			a.begin(r)
			return a.whole()
		}
		if err != nil {
			return errBroken
		}
		if !r.Buffered() {
			a.flush()
		}
	}
}

// copyEvents passes whole events on as they arrive, and keeps the id of the last one.
func (a *answer) copyEvents(r *upstream.Response, resumed bool, onData func()) error {
	buffer := make([]byte, copyBuffer)
	var pending []byte
	for {
		n, err := r.Read(buffer)
		if n > 0 {
			onData()
			pending = append(pending, buffer[:n]...)
			if end := lastEventEnd(pending); end > 0 {
				a.begin(r)
				if !a.passEvents(pending[:end], resumed) {
					return errClientGone
				}
				pending = append(pending[:0], pending[end:]...)
				a.flush()
			}
			if len(pending) > mostEvent {
				return errEvent
			}
		}
		if err == io.EOF {
			return a.endEvents(r, pending)
		}
		if err != nil {
			return errBroken
		}
	}
}

// endEvents passes on what an instance sent behind its last whole event.
func (a *answer) endEvents(r *upstream.Response, rest []byte) error {
	a.begin(r)
	if len(rest) > 0 && !a.write(rest) {
		return errClientGone
	}
	return a.whole()
}

// lastEventEnd is the length of the whole events that text begins with. A blank line ends an event.
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

// passEvents passes on whole events. Of a run that goes on, those that the client has already are left out.
func (a *answer) passEvents(events []byte, resumed bool) bool {
	for len(events) > 0 {
		end := firstEventEnd(events)
		event := events[:end]
		events = events[end:]
		id := lastID(event)
		if resumed && id != "" && !after(id, a.last) {
			continue
		}
		a.named = id != ""
		if a.named {
			a.last = id
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

// lastID finds the id of the last event in text that has one.
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

// after says whether an event's id comes after another; ids that are not numbers are taken to.
func after(id, last string) bool {
	a, err1 := strconv.ParseInt(id, 10, 64)
	b, err2 := strconv.ParseInt(last, 10, 64)
	return err1 != nil || err2 != nil || a > b
}

func (a *answer) write(b []byte) bool {
	n, err := a.w.Write(b)
	a.sent += int64(n)
	return err == nil
}

func (a *answer) flush() {
	if f, ok := a.w.(http.Flusher); ok {
		f.Flush()
	}
}

// whole says whether all of the body was passed on.
func (a *answer) whole() error {
	if a.length >= 0 && a.sent != a.length {
		return errBroken
	}
	return nil
}
