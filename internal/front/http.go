package front

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"

	"gullstair/internal/buffers"
	"gullstair/internal/core"
	"gullstair/logic"
)

const (
	maxBodyBytes = 64 << 10
	maxIDBytes   = 200
	// boostSlack is the tolerated rounding error of the sum of a scan's boosts.
	boostSlack = 0.01
)

// answer is a response to a client.
type answer struct {
	status            int
	contentType, text string
	retryAfter        float64 // ms
	mustClose         bool    // the start of the next request is unknown, so the connection must close
}

func plain(status int, text string) answer {
	return answer{status: status, contentType: "text/plain; charset=utf-8", text: text + "\n"}
}

// bytes encodes the answer as an HTTP/1.1 response.
func (a answer) bytes(last bool) []byte {
	b := make([]byte, 0, 256+len(a.text))
	b = fmt.Appendf(b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", a.status, http.StatusText(a.status), len(a.text))
	if a.contentType != "" {
		b = fmt.Appendf(b, "Content-Type: %s\r\n", a.contentType)
	}
	if a.retryAfter > 0 {
		b = fmt.Appendf(b, "Retry-After: %s\r\n", strconv.FormatFloat(a.retryAfter/1000, 'f', 3, 64))
	}
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, a.text...)
}

// render converts the core's reply to an HTTP answer.
func render(r core.Reply) answer {
	switch r.Kind {
	case logic.Answer:
		type match struct {
			Segment int    `json:"segment"`
			Payload string `json:"payload"`
		}
		body := struct {
			AllIn   bool    `json:"all_in"`
			Matches []match `json:"matches"`
		}{r.Complete, make([]match, len(r.Hits))}
		for i, h := range r.Hits {
			body.Matches[i] = match{h.Shard, h.Value}
		}
		text, err := json.Marshal(body)
		if err != nil {
			return plain(http.StatusInternalServerError, "the answer could not be written")
		}
		return answer{status: http.StatusOK, contentType: "application/json", text: string(text)}
	case logic.Throttle:
		a := plain(http.StatusTooManyRequests, cmp.Or(r.Why, "throttled"))
		a.retryAfter = r.RetryAfter
		return a
	}
	if r.Conflict {
		return plain(http.StatusConflict, r.Why)
	}
	return plain(http.StatusGatewayTimeout, cmp.Or(r.Why, "abandoned"))
}

// headEnd returns the offset behind the empty line that ends a request head, or 0 if it has not arrived yet.
func headEnd(text []byte) int {
	for i, c := range text {
		if rest := text[i+1:]; c != '\n' {
			continue
		} else if bytes.HasPrefix(rest, []byte("\n")) {
			return i + 2
		} else if bytes.HasPrefix(rest, []byte("\r\n")) {
			return i + 3
		}
	}
	return 0
}

// checkFraming rejects heads that make the length of the body ambiguous. It returns status 0 if there is no fault.
func checkFraming(head []byte) (status int, why string) {
	lengths, codings := 0, 0
	for i, line := range bytes.Split(head, []byte("\n")) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch {
		case i > 0 && (bytes.HasPrefix(line, []byte(" ")) || bytes.HasPrefix(line, []byte("\t"))):
			return http.StatusBadRequest, "a header goes on in a second line"
		case bytes.EqualFold(bytes.TrimSpace(name), []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(bytes.TrimSpace(name), []byte("Transfer-Encoding")):
			codings++
		}
	}
	if lengths+codings > 1 {
		return http.StatusBadRequest, "more than one header says where the body ends"
	}
	return 0, ""
}

// handleRequest reads a request's body and handles the request. It returns either a valid scan or the answer to send.
func (f *Front) handleRequest(c *client, req *http.Request, at float64) (*core.Scan, answer) {
	if req.ContentLength > maxBodyBytes {
		a := plain(http.StatusRequestEntityTooLarge, "the body is over 64 KiB")
		a.mustClose = true
		return nil, a
	}
	if req.Header.Get("Expect") == "100-continue" {
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, answer{status: http.StatusBadRequest, mustClose: true}
		}
	}
	c.input.quota = 2*maxBodyBytes + maxHeadBytes // chunked encoding adds framing bytes
	buf := buffers.Get()
	defer buffers.Put(buf)
	n, err := fill(req.Body, buf[:])
	switch {
	case n > maxBodyBytes:
		a := plain(http.StatusRequestEntityTooLarge, "the body is over 64 KiB")
		a.mustClose = true
		return nil, a
	case err != nil:
		a := plain(http.StatusBadRequest, "the body could not be read")
		a.mustClose = true
		return nil, a
	}
	if req.URL.Path == "/healthz" {
		if req.Method != http.MethodGet {
			return nil, plain(http.StatusMethodNotAllowed, "health is asked for with GET")
		}
		if !f.ready.Load() || f.stopping.Load() {
			return nil, plain(http.StatusServiceUnavailable, "not ready")
		}
		return nil, plain(http.StatusOK, "ready")
	}
	s, status, why := f.parseScan(req, buf[:n], at)
	if s == nil {
		f.Stats.Malformed.Add(1)
		return nil, plain(status, why)
	}
	return s, answer{}
}

// fill reads from r until EOF or until buf is full.
func fill(r io.Reader, buf []byte) (n int, err error) {
	for n < len(buf) {
		m, err := r.Read(buf[n:])
		n += m
		if errors.Is(err, io.EOF) {
			return n, nil
		} else if err != nil {
			return n, err
		}
	}
	return n, nil
}

// wireScan is the JSON body of a scan request.
type wireScan struct {
	Segments []struct {
		Segment *int     `json:"segment"`
		Boost   *float64 `json:"boost"`
		Work    *float64 `json:"work"`
	} `json:"segments"`
	Text *string `json:"text"`
}

// parseScan validates a scan request and converts it to the core's type. It returns an HTTP status and a text for
// invalid requests.
func (f *Front) parseScan(req *http.Request, body []byte, at float64) (*core.Scan, int, string) {
	bad := func(why string) (*core.Scan, int, string) { return nil, http.StatusBadRequest, why }
	name, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	typ, known := f.Site.TypeIndex[name]
	if !known {
		return nil, http.StatusNotFound, "there is no such table type"
	}
	if req.Method != http.MethodPost {
		return nil, http.StatusMethodNotAllowed, "a scan is asked for with POST"
	}
	s := &core.Scan{ID: req.Header.Get("X-Correlation-Id"), Key: req.Header.Get("Idempotency-Key"), TableType: typ,
		Repeat: req.Header.Get("X-Repeat") == "1", ReceivedAt: at, Tenant: f.Site.Tenants[req.Header.Get("X-Account")]}
	left, err := strconv.ParseUint(req.Header.Get("X-Time-Left-Ms"), 10, 30)
	switch {
	case err != nil || left == 0:
		return bad("X-Time-Left-Ms must be a whole number of milliseconds above 0")
	case !validToken(s.ID):
		return bad("X-Correlation-Id must be 1 to 200 printable characters without space or comma")
	case f.Site.Types[typ].Keyed && !validToken(s.Key):
		return bad("this table type needs an Idempotency-Key without space or comma")
	}
	s.TimeLeft = float64(left)
	if s.Account = req.Header.Get("X-Account"); len(s.Account) > maxIDBytes {
		s.Account = s.Account[:maxIDBytes]
	}
	var w wireScan
	if err := json.Unmarshal(body, &w); err != nil {
		return bad("the body is not a scan in JSON")
	}
	if w.Text == nil {
		return bad("a scan has a text")
	}
	s.Text = *w.Text
	if len(w.Segments) == 0 || len(w.Segments) > f.Site.Shards {
		return bad("a scan has a part for 1 shard at least, and none twice")
	}
	seen, sum := make(map[int]bool, len(w.Segments)), 0.0
	for _, seg := range w.Segments {
		p := core.ScanPart{}
		if seg.Segment == nil || *seg.Segment < 0 || *seg.Segment >= f.Site.Shards || seen[*seg.Segment] {
			return bad("a segment is missing, out of range or there twice")
		}
		if seg.Boost == nil || *seg.Boost <= 0 || *seg.Boost > 1 {
			return bad("a boost is missing, or not above 0 and up to 1")
		}
		if seg.Work != nil {
			if p.Work = *seg.Work / 1000; p.Work < 0 || p.Work > 1e9 {
				return bad("a work is impossible")
			}
		}
		p.Shard, p.Weight = *seg.Segment, *seg.Boost
		seen[p.Shard], sum = true, sum+p.Weight
		s.Parts = append(s.Parts, p)
	}
	if math.Abs(sum-1) > boostSlack {
		return bad("the boosts do not sum to 1")
	}
	return s, 0, ""
}

// validToken reports whether s can be part of a frame's header line.
func validToken(s string) bool {
	invalid := func(r rune) bool { return r <= ' ' || r > '~' || r == ',' }
	return s != "" && len(s) <= maxIDBytes && !strings.ContainsFunc(s, invalid)
}
