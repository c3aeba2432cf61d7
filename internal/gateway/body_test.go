package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gullstair/internal/clientbudget"
	"gullstair/internal/configuration"
)

// TestBodyThatIsNotWhole checks the answers to requests whose bodies do not arrive whole: all promise that the request has
// not run, and one that breaks off is not taken for whole.
func TestBodyThatIsNotWhole(t *testing.T) {
	config, err := configuration.Parse([]byte(`{"version":1,"limits":{"max_body_bytes":1000}}`))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name       string
		body       io.Reader
		status     int
		retryAfter string
	}{
		{"no room", iotest.ErrReader(clientbudget.ErrNoRoom), http.StatusServiceUnavailable, "0.300"},
		{"too late", iotest.ErrReader(os.ErrDeadlineExceeded), http.StatusRequestTimeout, "0.000"},
		{"too large", strings.NewReader(strings.Repeat("x", 1001)), http.StatusRequestEntityTooLarge, ""},
		{"breaks off", iotest.ErrReader(io.ErrUnexpectedEOF), 0, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			recorder := httptest.NewRecorder()
			request := httptest.NewRequest(http.MethodPost, "/", io.MultiReader(strings.NewReader("start"), c.body))
			request.ContentLength = -1
			request.Header.Set("X-Request-Id", "r")
			call := newCall(&Server{}, recorder, request)
			call.config, call.deadline = config, time.Now().Add(time.Second)
			defer func() {
				if aborted := recover() == http.ErrAbortHandler; aborted != (c.status == 0) {
					t.Errorf("aborted: %t", aborted)
				}
			}()
			if call.readBody() {
				t.Error("the body counts as whole")
			}
			answer := recorder.Result()
			if answer.StatusCode != c.status || answer.Header.Get("Retry-After") != c.retryAfter || answer.Header.Get("X-Request-Id") != "r" {
				t.Errorf("answer %d, %v", answer.StatusCode, answer.Header)
			}
		})
	}
}

func TestBodyThatIsWhole(t *testing.T) {
	config, err := configuration.Parse([]byte(`{"version":1,"limits":{"max_body_bytes":1000}}`))
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Repeat("x", 1000)
	call := newCall(&Server{}, httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", strings.NewReader(want)))
	call.config, call.deadline = config, time.Now().Add(time.Second)
	if !call.readBody() {
		t.Fatal("a body of max_body_bytes is refused")
	}
	text := ""
	for _, chunk := range call.body {
		text += string(chunk)
	}
	if text != want {
		t.Errorf("%d bytes", len(text))
	}
}
