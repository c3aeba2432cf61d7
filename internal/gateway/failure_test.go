package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const failureBytes = 300_000

// respondsWithFailure returns the behavior of an instance that fails with a body of which it sends so many bytes.
func (s *script) respondsWithFailure(sent int, chunked bool) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		instance := r.Header.Get("instance")
		s.recordRun(instance)
		head := "HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: r\r\nX-Server-Stamp: " + instance + "\r\n"
		body := strings.Repeat("x", sent)
		if chunked {
			_, _ = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, sent, body)
			return true
		}
		_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, failureBytes, body)
		_, _ = c.Read(make([]byte, 1)) // until the broker closes the connection
		return false
	}
}

// TestLargeFailures: a failure arrives whole where no other attempt may follow. Where one may, it follows at once, however much
// of the failure is still to come.
func TestLargeFailures(t *testing.T) {
	for _, c := range []struct {
		route   string
		sent    int
		chunked bool
		status  int
		whole   bool
	}{
		{"unsafe", failureBytes, false, http.StatusInternalServerError, true},
		{"unsafe", failureBytes, true, http.StatusInternalServerError, true},
		{"unsafe", failureBytes - 1, false, http.StatusInternalServerError, false},
		{"unsafe", 10, false, http.StatusGatewayTimeout, true},
		{"safe", failureBytes, false, http.StatusOK, true},
		{"safe", failureBytes - 1, false, http.StatusOK, true},
		{"safe", 0, false, http.StatusOK, true},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			t.Parallel()
			s := &script{}
			s.first = s.respondsWithFailure(c.sent, c.chunked)
			request, _ := http.NewRequest(http.MethodPost, startGateway(t, s).URL+"/"+c.route+"/x", strings.NewReader("body"))
			request.Host = "h"
			request.Header.Set("X-Request-Id", "r")
			request.Header.Set("X-Deadline-Ms", "1500")
			begun := time.Now()
			response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
			require.NoError(t, err)
			defer response.Body.Close()
			n, err := io.Copy(io.Discard, response.Body)
			assert.Equal(t, c.status, response.StatusCode)
			assert.Equal(t, c.whole, err == nil)
			switch {
			case c.status == http.StatusOK:
				assert.Less(t, time.Since(begun), time.Second, "the other instance answers at once")
			case c.status == http.StatusInternalServerError && c.whole:
				assert.EqualValues(t, failureBytes, n)
			}
		})
	}
}
