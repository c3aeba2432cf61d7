package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Of the tests with one faulty server of four: the faulty one is told from the sound ones if it gets fewer calls than
// this share, where each would get a quarter.
const faultyCallShare = 0.1

// playOneFaulty plays one faulty server of four on routes with one attempt.
func playOneFaulty(t *testing.T, number int, form answerForm) {
	t.Helper()
	f := newFaultyFleet(t, number, 1, form)
	f.paths = []string{"unsafe", "stream"}
	f.play()
	all := int64(0)
	for n := range f.calls {
		all += f.calls[n].Load()
	}
	require.Greater(t, all, int64(*faultyCallers), "calls of all servers")
	require.Less(t, float64(f.calls[0].Load()), faultyCallShare*float64(all), "calls of the faulty server")
}

// TestServersOneOfFourHeaderLine: one server sends one header line that never ends.
func TestServersOneOfFourHeaderLine(t *testing.T) {
	playOneFaulty(t, 31, startsWith("X-Line: ", "x"))
}

// TestServersOneOfFourChunk: one server sends one chunk that never ends.
func TestServersOneOfFourChunk(t *testing.T) {
	playOneFaulty(t, 32, startsWith(chunkedBody+"7fffffffffffffff\r\n", "x"))
}

// TestServersOneOfFourChunksOfOneByte: one server sends chunks of one byte without end.
func TestServersOneOfFourChunksOfOneByte(t *testing.T) {
	playOneFaulty(t, 33, startsWith(chunkedBody, "1\r\nx\r\n"))
}

// TestServersOneOfFourEvents: one server sends whole events without end.
func TestServersOneOfFourEvents(t *testing.T) {
	playOneFaulty(t, 34, startsWith(chunkedBody, "d\r\ndata: hello\n\n\r\n"))
}

// TestServersOneOfFourSmallPieces: one server sends small pieces that complete no event.
func TestServersOneOfFourSmallPieces(t *testing.T) {
	playOneFaulty(t, 35, startsWith(chunkedBody, "9\r\ndata: 12\n\r\n"))
}

// playUseless plays one server of four whose answers are of no use: each caller is served by another one, and none waits until
// its deadline.
func playUseless(t *testing.T, number int, form answerForm) {
	t.Helper()
	f := newFaultyFleet(t, number, 1, form)
	f.paths = []string{"safe"}
	f.play()
	require.Less(t, time.Duration(f.longest.Load()), faultyDeadline, "the longest wait of a caller")
}

// TestServersOneOfFourMisdirects: one server answers 421 with a body without end.
func TestServersOneOfFourMisdirects(t *testing.T) { playUseless(t, 36, misdirectsEndlessly) }

// TestServersOneOfFourRefuses: one server refuses with a body without end.
func TestServersOneOfFourRefuses(t *testing.T) { playUseless(t, 37, refusesEndlessly) }

// TestServersOneOfFourAnswersAnother: one server answers another request with a body without end.
func TestServersOneOfFourAnswersAnother(t *testing.T) { playUseless(t, 38, answersAnotherEndlessly) }

// TestServersOneOfFourFails: one server answers 500 with a body that stops short of its end.
func TestServersOneOfFourFails(t *testing.T) {
	playUseless(t, 39, func(w io.Writer, r *http.Request, _ string) error {
		_, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", answerHead(r, "500 Internal Server Error"), failureBytes, strings.Repeat("x", failureBytes-1))
		return err
	})
}

const (
	largeBodyBytes  = 300 << 20
	largeBodyWithin = 9 * time.Second // the timeout of its route
	cookieCount     = 60
	cookieBytes     = 250
	failureLength   = 300_000
	largeEventBytes = 1000 << 10
	slowEvents      = 30
	slowEventPause  = 100 * time.Millisecond
)

// slowAnswer returns an answer whose body comes byte by byte.
func slowAnswer(status string) func(w io.Writer, r *http.Request) error {
	return func(w io.Writer, r *http.Request) error {
		_, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", answerHead(r, status), slowEvents)
		for n := 0; err == nil && n < slowEvents; n++ {
			time.Sleep(slowEventPause)
			_, err = io.WriteString(w, "x")
		}
		return err
	}
}

// soundAnswers are whole answers that a server may give, by the last part of the request's path.
var soundAnswers = map[string]func(w io.Writer, r *http.Request) error{
	"large": func(w io.Writer, r *http.Request) error {
		_, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", answerHead(r, "200 OK"), largeBodyBytes)
		piece := make([]byte, 1<<20)
		for sent := 0; err == nil && sent < largeBodyBytes; sent += len(piece) {
			_, err = w.Write(piece)
		}
		return err
	},
	"cookies": func(w io.Writer, r *http.Request) error {
		line := "Set-Cookie: c=" + strings.Repeat("x", cookieBytes) + "\r\n"
		_, err := io.WriteString(w, answerHead(r, "200 OK")+strings.Repeat(line, cookieCount)+"Content-Length: 2\r\n\r\nhi")
		return err
	},
	"failure": func(w io.Writer, r *http.Request) error {
		_, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", answerHead(r, "500 Internal Server Error"), failureLength, strings.Repeat("x", failureLength))
		return err
	},
	"chunkedfailure": func(w io.Writer, r *http.Request) error {
		_, err := fmt.Fprintf(w, "%s%s%x\r\n%s\r\n0\r\n\r\n", answerHead(r, "500 Internal Server Error"), chunkedBody, failureLength, strings.Repeat("x", failureLength))
		return err
	},
	"slowfailure": slowAnswer("500 Internal Server Error"),
	"slowbody":    slowAnswer("200 OK"),
	"event": func(w io.Writer, r *http.Request) error {
		event := "id: 1\ndata: " + strings.Repeat("x", largeEventBytes) + "\n\n"
		_, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", answerHead(r, "200 OK"), len(event), event)
		return err
	},
	"slowevents": func(w io.Writer, r *http.Request) error {
		_, err := io.WriteString(w, answerHead(r, "200 OK")+chunkedBody)
		for n := 1; err == nil && n <= slowEvents; n++ {
			time.Sleep(slowEventPause)
			event := fmt.Sprintf("id: %d\ndata: x\n\n", n)
			_, err = fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
		}
		if err == nil {
			_, err = io.WriteString(w, "0\r\n\r\n")
		}
		return err
	},
}

// TestServersSoundAnswersBesideAFaultyOne: large, slow and long answers arrive whole, alone and beside callers of a service
// whose servers send chunks of one byte without end.
func TestServersSoundAnswersBesideAFaultyOne(t *testing.T) {
	f := newFaultyFleet(t, 40, faultyServers, startsWith(chunkedBody, "1\r\nx\r\n"))
	t.Run("alone", f.checkSoundAnswers)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.play()
	}()
	time.Sleep(time.Second)
	t.Run("beside", f.checkSoundAnswers)
	<-done
}

func (f *faultyFleet) checkSoundAnswers(t *testing.T) {
	for _, c := range []struct {
		route, answer string
		status        int
		length        int64
	}{
		{"sound", "large", http.StatusOK, largeBodyBytes},
		{"sound", "cookies", http.StatusOK, 2},
		{"sound", "failure", http.StatusInternalServerError, failureLength},
		{"sound", "chunkedfailure", http.StatusInternalServerError, failureLength},
		{"sound", "slowfailure", http.StatusInternalServerError, slowEvents},
		{"sound", "slowbody", http.StatusOK, slowEvents},
		{"soundstream", "event", http.StatusOK, largeEventBytes + int64(len("id: 1\ndata: \n\n"))},
		{"soundstream", "slowevents", http.StatusOK, 9*int64(len("id: 1\ndata: x\n\n")) + 21*int64(len("id: 10\ndata: x\n\n"))},
	} {
		t.Run(c.answer, func(t *testing.T) {
			t.Parallel()
			f.checkSoundAnswer(t, c.route, c.answer, c.status, c.length)
		})
	}
}

func (f *faultyFleet) checkSoundAnswer(t *testing.T, route, answer string, status int, length int64) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: largeBodyWithin}
	request, err := http.NewRequest(http.MethodPost, "http://"+f.ip+":18388/"+route+"/"+answer, strings.NewReader("hello"))
	require.NoError(t, err)
	request.Host = "h"
	request.Header.Set("X-Request-Id", answer+fmt.Sprint(time.Now().UnixNano()))
	begun := time.Now()
	response, err := client.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	t.Logf("%d bytes in %.2f s", n, time.Since(begun).Seconds())
	require.NoError(t, err)
	require.Equal(t, status, response.StatusCode)
	require.Equal(t, length, n)
	if answer == "cookies" {
		require.Len(t, response.Header.Values("Set-Cookie"), cookieCount)
	}
}
