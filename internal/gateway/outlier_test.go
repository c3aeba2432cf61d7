package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/internal/configuration"
	"gullstair/internal/instances"
	"gullstair/internal/netio"
	"gullstair/internal/settings"
	"gullstair/internal/weights"
)

// serveAnswers accepts connections of one instance, answers each request with the same function, and returns its address and
// the number of its requests.
func serveAnswers(t *testing.T, answer func(c net.Conn, r *http.Request)) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	requests := &atomic.Int64{}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for reader := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					requests.Add(1)
					answer(c, r)
				}
			}()
		}
	}()
	return listener.Addr().String(), requests
}

// TestAnswersWithoutEndEjectTheirInstance: one of two instances sends whole events without end. Its streams begin at once and
// never fail by themselves, and between two waves of callers it has nothing to do.
func TestAnswersWithoutEndEjectTheirInstance(t *testing.T) {
	const waves, callers, deadline = 25, 8, 150 * time.Millisecond
	sound, _ := serveAnswers(t, func(c net.Conn, r *http.Request) { sendComplete(c, r, "sound") })
	faulty, calls := serveAnswers(t, func(c net.Conn, r *http.Request) {
		_, err := io.WriteString(c, responseHead(r, "faulty", "text/event-stream", -1))
		for piece := strings.Repeat(event(1), 1000); err == nil; {
			_, err = io.WriteString(c, piece)
		}
	})
	front := startGatewayOf(t, sound, faulty)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for wave := range waves {
		var asking sync.WaitGroup
		for n := range callers {
			asking.Go(func() {
				request, _ := http.NewRequest(http.MethodPost, front.URL+"/stream/x", strings.NewReader("body"))
				request.Host = "h"
				request.Header.Set("X-Request-Id", fmt.Sprint(wave, "-", n))
				request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
				if response, err := client.Do(request); err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					response.Body.Close()
				}
			})
		}
		asking.Wait()
	}
	t.Logf("the faulty instance got %d of %d calls", calls.Load(), waves*callers)
	assert.Less(t, calls.Load(), int64(waves*callers/10), "calls of the faulty instance")
}

// startGatewayOf starts a gateway with instances at these addresses.
func startGatewayOf(t *testing.T, addresses ...string) *httptest.Server {
	t.Helper()
	parsed, err := settings.Parse([]byte("node_name=n\nip=127.0.0.1\nzone=a\nlisten.front=127.0.0.1:1\nephemeral_ports=7000,7015\n" +
		"bounds.retry_budget_ratio=0.2\nbounds.retry_budget_slack=100"))
	require.NoError(t, err)
	config, err := configuration.Parse([]byte(exchangeConfiguration))
	require.NoError(t, err)
	logger := &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
	server := New(parsed, logger, netio.Host{}, 1, weights.New(6*time.Second), func(string) {})
	server.SetConfiguration(config)
	var all []instances.Instance
	for n, address := range addresses {
		all = append(all, instances.Instance{ID: fmt.Sprint("i", n+1), Service: "s", Address: address, Zone: "a", Slots: 8, State: instances.Ready})
	}
	server.SetInstances(all)
	front := httptest.NewServer(server)
	t.Cleanup(front.Close)
	return front
}
