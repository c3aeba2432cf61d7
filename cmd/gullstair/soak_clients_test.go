package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const soakSharedTokens = 500 // of a prompt: its first two parts

// requestStarted records a running request, and checks that it may run on the instance.
func (s *soak) requestStarted(id string, i *soakInstanceProcess, version int64, drained time.Time, takes time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, now := s.requests[id], time.Now()
	var faults []string
	if q == nil {
		s.faults = append(s.faults, "a request that no client sent runs: "+id)
		return
	}
	q.runs++
	q.until = now.Add(takes)
	if q.kind != "chat" && q.runs > 1 {
		faults = append(faults, "runs twice")
	}
	if q.neverRuns {
		faults = append(faults, "runs after the answer that it never will")
	}
	calm := q.broker.undisturbed(now)
	if !drained.IsZero() && now.Sub(drained) > soakDrain && calm {
		faults = append(faults, fmt.Sprintf("reaches %s %v after its drain was acknowledged", i.id, now.Sub(drained)))
	}
	for named, at := range s.named {
		if i.service == "llm" && named > version && now.Sub(at) > soakVersion && calm && s.coreDisturbedAt.Before(at) {
			faults = append(faults, fmt.Sprintf("begins on version %d, %v after version %d was acknowledged", version, now.Sub(at), named))
		}
	}
	for _, text := range faults {
		s.faults = append(s.faults, fmt.Sprintf("%s %s (%s at %s) %s", now.Format("05.000"), id, q.kind, q.broker.ip, text))
	}
}

// client sends requests to a ready broker on one connection until it is closed, and then on the next. Every second
// client is stubborn: it ignores requests to close and uses the connection until it is gone.
func (s *soak) client(number int) {
	var conn net.Conn
	var reader *bufio.Reader
	var broker *soakBroker
	for n := 0; s.pause(s.between(5*time.Millisecond, 60*time.Millisecond)); n++ {
		if conn == nil {
			if broker = s.ready(); broker == nil {
				continue
			}
			c, err := net.DialTimeout("tcp4", broker.ip+":18388", time.Second)
			if err != nil {
				continue
			}
			conn, reader = c, bufio.NewReader(c)
		}
		kind := []string{"chat", "once", "post"}[(n+number)%3]
		whole, closing := s.sendRequest(broker, conn, reader, kind)
		if stubborn := number%2 == 0; !whole || closing && !stubborn {
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.Close()
	}
}

// ready picks a random broker that reports ready.
func (s *soak) ready() *soakBroker {
	for range 5 {
		b := s.any()
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 500 * time.Millisecond}
		response, err := client.Get("http://" + b.ip + ":18384/v1/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return b
		}
	}
	return nil
}

// sendRequest sends one request and reads its answer. closing: the answer requests that the connection be closed.
func (s *soak) sendRequest(b *soakBroker, conn net.Conn, reader *bufio.Reader, kind string) (whole, closing bool) {
	s.mu.Lock()
	s.serial++
	id := fmt.Sprintf("q-%d", s.serial)
	q := &soakRequest{kind: kind, broker: b, sent: time.Now()}
	s.requests[id] = q
	s.mu.Unlock()
	request, _ := http.NewRequest(http.MethodPost, "http://h/"+kind+"/x", strings.NewReader(strings.Repeat("body", 1+s.draw(s.shape.bodyBytes/4))))
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.Itoa(int(soakAnswer/time.Millisecond)))
	if kind != "post" {
		request.Header.Set("X-Model", soakModel)
		own := 50 + s.draw(s.shape.tokens-soakSharedTokens-49)
		request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("head:300,s%d:200,own%s:%d", s.draw(10), id, own))
		request.Header.Set("X-Token-Count", fmt.Sprintf("%d,5", soakSharedTokens+own))
	}
	_ = conn.SetDeadline(time.Now().Add(soakAnswer + time.Second))
	closing = s.exchange(q, id, request, conn, reader)
	s.check(id, q)
	return q.complete, closing
}

// exchange writes a request, reads its answer and records what it was.
func (s *soak) exchange(q *soakRequest, id string, request *http.Request, conn net.Conn, reader *bufio.Reader) (closing bool) {
	defer func() { q.ended = time.Now() }()
	if request.Write(conn) != nil {
		return false
	}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return false
	}
	text, err := io.ReadAll(response.Body)
	s.mu.Lock()
	q.status, q.complete = response.StatusCode, err == nil
	q.neverRuns = response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	s.mu.Unlock()
	if response.StatusCode == http.StatusOK && err == nil {
		s.checkBody(id, q.kind, response, string(text))
	}
	return response.Close
}

// checkBody checks a successful answer.
func (s *soak) checkBody(id, kind string, response *http.Response, text string) {
	want := "done " + id
	if kind != "post" {
		want = ""
		for n := 1; n <= soakEvents; n++ {
			want += fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n)
		}
	}
	if text != want || response.Header.Get("X-Request-Id") != id || !strings.HasSuffix(response.Header.Get("X-Server-Stamp"), "."+id) {
		s.fault("%s (%s) got %q with stamp %q", id, kind, text, response.Header.Get("X-Server-Stamp"))
	}
}

// check verifies how a request ended. A broker that was neither killed nor paused answers every request it forwarded,
// unless the instance aborts, or the instance's run lasts until the broker's time to shut down is almost over.
func (s *soak) check(id string, q *soakRequest) {
	undisturbed := q.broker.undisturbed(q.sent)
	s.mu.Lock()
	defer s.mu.Unlock()
	what := strconv.Itoa(q.status)
	if !q.complete {
		what = "cut"
	}
	s.counts[what]++
	switch {
	case q.neverRuns && q.runs > 0:
		s.faults = append(s.faults, fmt.Sprintf("%s %s (%s) got %d although it had run", q.ended.Format("05.000"), id, q.kind, q.status))
	case !q.complete && q.runs > 0 && undisturbed && !q.aborted && !q.broker.late(q.sent, q.until):
		s.faults = append(s.faults, fmt.Sprintf("%s %s (%s at %s) was forwarded and cut after %v, at a broker that was neither killed nor paused",
			q.ended.Format("05.000"), id, q.kind, q.broker.ip, q.ended.Sub(q.sent)))
	}
}
