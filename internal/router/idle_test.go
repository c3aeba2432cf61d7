package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gullstair/internal/memnet"
)

// TestIdleConnectionsAtTheirLimit guards against a request that is forwarded although its client connection was closed, so
// that it gets neither an answer nor a rejection. A client reuses a connection that is about to reach its idle timeout. The
// broker has read the request but not parsed it when another goroutine closes the connection as idle; the request then
// reaches an instance and is abandoned at once.
//
// The cause is that net/http considers a connection idle until a request has been parsed. Closing by that state, also by
// Shutdown or SetKeepAlivesEnabled, loses requests that have arrived. In the observed case 23 ms passed between the arrival
// of the request and its forwarding. The test delays parsing by 23 ms and sends a request each ms around the timeout.
func TestIdleConnectionsAtTheirLimit(t *testing.T) {
	for name, slow := range map[string]memnet.ProcessingDelay{"slow to parse": {BeforeProcessing: schedulingDelay}, "slow to read": {BeforeRead: schedulingDelay}} {
		t.Run("idle timeout, "+name, func(t *testing.T) {
			withIdleTimeout(t, idleTimeout, slow, func(w *simFleet, m *machine) {
				w.reuseAroundClose(m, func(begun time.Time) time.Time { return begun.Add(idleTimeout) })
			})
		})
		t.Run("shutdown, "+name, func(t *testing.T) { withIdleTimeout(t, time.Minute, slow, shutdownWhileIdle) })
	}
}

// shutdownWhileIdle shuts down a broker while a stream delays its end. Clients reuse their connections around the moment at
// which the broker closes idle ones.
func shutdownWhileIdle(w *simFleet, m *machine) {
	ends := time.Now().Add(2 * time.Second)
	for _, s := range w.models() {
		s.set(func(s *modelServer) { s.eventInterval = time.Second })
	}
	time.AfterFunc(time.Until(ends)-time.Second, func() { w.sendRequest(w.client("10.8.0.5"), m, "chat", "open", 1) })
	time.AfterFunc(time.Until(ends), m.cancel)
	w.reuseAroundClose(m, func(time.Time) time.Time { return ends.Add(unreadyDelay) })
}

const (
	idleTimeout     = 3 * time.Second
	reuseSpan       = 250 * time.Millisecond
	clientInterval  = 3 * time.Millisecond  // interval between the starts of clients
	schedulingDelay = 23 * time.Millisecond // scheduling delay of the broker's process
	inFlightTime    = 3 * time.Millisecond  // a request sent this shortly before the close may still be in flight
)

// withIdleTimeout runs a scenario on a fleet with an idle timeout and one broker with a processing delay.
func withIdleTimeout(t *testing.T, limit time.Duration, slow memnet.ProcessingDelay, scenario func(*simFleet, *machine)) {
	inBubble(t, func(t *testing.T) {
		w, operator := startedFleet(t, 92, 3, 3)
		body := strings.Replace(configurationOf(2, ""), `"version":2,`, fmt.Sprintf(`"version":2,"limits":{"idle_timeout_ms":%d},`, limit.Milliseconds()), 1)
		if status := w.replace(operator, 1, 2, body); status != http.StatusOK {
			w.failf("the configuration got %d", status)
		}
		time.Sleep(time.Second)
		m := w.machines[1]
		w.net.SetProcessingDelay(m.ip, slow)
		scenario(w, m)
		w.shutdown()
	})
}

// reuseAroundClose has clients reuse connections around the moment at which they are closed, each 1 ms later relative to it than
// the previous one.
func (w *simFleet) reuseAroundClose(m *machine, closed func(begun time.Time) time.Time) {
	var wait sync.WaitGroup
	for early := -reuseSpan; early < reuseSpan; early += time.Millisecond {
		wait.Go(func() { w.reuseConnection(m, early, closed) })
		time.Sleep(clientInterval)
	}
	wait.Wait()
}

// reuseConnection sends two requests on one connection. The second one must be answered if it is forwarded, or if it arrives
// before the connection is closed.
func (w *simFleet) reuseConnection(m *machine, early time.Duration, closed func(begun time.Time) time.Time) {
	conn, err := w.net.Host("10.8.0.4").Dial(w.t.Context(), m.ip+":"+frontPort, time.Second)
	if err != nil {
		w.failf("cannot connect: %v", err)
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if id, complete := w.answeredOn(conn, reader); !complete {
		w.failf("%s, the first request on its connection, got no answer", id)
	}
	idleSince := time.Now()
	time.Sleep(time.Until(closed(idleSince)) - early)
	sent := time.Now()
	id, complete := w.answeredOn(conn, reader)
	took, idleTime := time.Since(sent), sent.Sub(idleSince)
	time.Sleep(time.Second) // a forwarded request has arrived by then
	w.mu.Lock()
	forwarded := w.delivered[id]
	w.mu.Unlock()
	switch {
	case forwarded > 0 && !complete:
		w.failf("%s was sent after an idle time of %v, was forwarded and got no answer", id, idleTime)
	case !complete && took > inFlightTime && took < schedulingDelay && w.net.ProcessingDelay(m.ip).BeforeRead > 0:
		w.failf("%s was sent after an idle time of %v, was pending at the broker when its connection was closed, and got no answer", id, idleTime)
	}
}

// answeredOn sends a request on a connection and reports whether it got a complete answer.
func (w *simFleet) answeredOn(conn net.Conn, reader *bufio.Reader) (id string, complete bool) {
	id, status := w.postOn(conn, reader)
	return id, status != 0
}

// postOn sends a request on a connection in one write and reads the answer. Status 0 means that there was no complete one.
func (w *simFleet) postOn(conn net.Conn, reader *bufio.Reader) (id string, status int) {
	w.mu.Lock()
	w.serial++
	id = fmt.Sprintf("q-%06d", w.serial)
	w.sent[id], w.executeOnce[id] = true, true
	w.mu.Unlock()
	body := "body of " + id
	_, err := fmt.Fprintf(conn, "POST /post/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 8000\r\nAuthorization: Bearer key-open\r\nContent-Length: %d\r\n\r\n%s",
		id, len(body), body)
	if err != nil {
		return id, 0
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return id, 0
	}
	defer response.Body.Close()
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return id, 0
	}
	return id, response.StatusCode
}
