package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/phuslu/log"

	"gullstair/internal/clientbudget"
	"gullstair/internal/configuration"
	"gullstair/internal/instances"
	"gullstair/internal/netio"
	"gullstair/internal/settings"
	"gullstair/internal/weights"
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

// TestAnswerThatIsNotRead checks that a request ends although its client does not read the answer and stays connected.
func TestAnswerThatIsNotRead(t *testing.T) {
	instance := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Stamp", "stamp")
		for {
			if _, err := w.Write(make([]byte, 1<<20)); err != nil {
				return
			}
		}
	}))
	defer instance.Close()
	parsed, err := settings.Parse([]byte("node_name=n\nip=127.0.0.1\nzone=a\nlisten.front=127.0.0.1:1\nephemeral_ports=7000,7015"))
	if err != nil {
		t.Fatal(err)
	}
	config, err := configuration.Parse([]byte(`{"version":1,"services":[{"name":"s"}],"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"safe","timeout_ms":300,"service":"s"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	logger := &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
	server := New(parsed, logger, netio.Host{}, 1, weights.New(6*time.Second), func(string) {})
	server.SetConfiguration(config)
	server.SetInstances([]instances.Instance{{ID: "i", Service: "s", Address: instance.Listener.Addr().String(), Zone: "a", Slots: 8, State: instances.Ready}})
	begun, ended := make(chan struct{}), make(chan struct{})
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		defer close(ended)
		server.ServeHTTP(w, r)
	}))
	client, err := net.Dial("tcp4", front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer front.Close()
	defer client.Close() // first: otherwise the front waits for the request
	if _, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-begun
	select {
	case <-ended:
	case <-time.After(30 * time.Second):
		t.Error("the request has not ended")
	}
}
