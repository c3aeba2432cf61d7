package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Each test starts one broker as a process, a service whose servers send bytes without end in one form, behind 200 and 500
// in turn, a sound service, and callers on safe, unsafe, streaming and resumable routes, of which every third reads slowly.
// The broker must stay alive and within its limits, each caller must have its end in time, and the sound service must be
// served meanwhile.

const (
	endlessPiece = 32 << 10
	failureBytes = 256 << 10
)

// repeatEndlessly writes a text again and again until writing fails.
func repeatEndlessly(w io.Writer, text string) error {
	piece := []byte(strings.Repeat(text, max(1, endlessPiece/len(text))))
	for {
		if _, err := w.Write(piece); err != nil {
			return err
		}
	}
}

// playStreams starts a fleet whose callers use the streaming routes only.
func playStreams(t *testing.T, number int, form answerForm) {
	t.Helper()
	f := newFaultyFleet(t, number, faultyServers, form)
	f.paths = []string{"stream", "resumable"}
	f.play()
}

// startsWith returns a form that begins with a text after the status line and the headers of an answer, and repeats another.
func startsWith(begin, then string) answerForm {
	return func(w io.Writer, r *http.Request, status string) error {
		if _, err := io.WriteString(w, answerHead(r, status)+begin); err != nil {
			return err
		}
		return repeatEndlessly(w, then)
	}
}

// startsBare returns a form that begins with a text in place of the status line.
func startsBare(begin func(status string) string, then string) answerForm {
	return func(w io.Writer, _ *http.Request, status string) error {
		if _, err := io.WriteString(w, begin(status)); err != nil {
			return err
		}
		return repeatEndlessly(w, then)
	}
}

const chunkedBody = "Transfer-Encoding: chunked\r\n\r\n"

// TestServersEndlessHeaderLine: one header line that never ends.
func TestServersEndlessHeaderLine(t *testing.T) {
	newFaultyFleet(t, 1, faultyServers, startsWith("X-Line: ", "x")).play()
}

// TestServersEndlessStatusLine: one status line that never ends.
func TestServersEndlessStatusLine(t *testing.T) {
	newFaultyFleet(t, 2, faultyServers, startsBare(func(status string) string { return "HTTP/1.1 " + status }, "x")).play()
}

// TestServersEndlessInterimHeaderLine: one header line of a 103 that never ends.
func TestServersEndlessInterimHeaderLine(t *testing.T) {
	newFaultyFleet(t, 3, faultyServers, startsBare(func(string) string { return "HTTP/1.1 103 Early Hints\r\nLink: " }, "x")).play()
}

// TestServersEndlessFoldedLines: one header continued on folded lines without end.
func TestServersEndlessFoldedLines(t *testing.T) {
	newFaultyFleet(t, 4, faultyServers, startsWith("X-Line: x\r\n", " folded line\r\n")).play()
}

// TestServersEndlessHeaderLines: many header lines without end.
func TestServersEndlessHeaderLines(t *testing.T) {
	newFaultyFleet(t, 5, faultyServers, func(w io.Writer, r *http.Request, status string) error {
		if _, err := io.WriteString(w, answerHead(r, status)); err != nil {
			return err
		}
		for n := 0; ; n++ {
			if _, err := fmt.Fprintf(w, "%x:\r\n%x:\r\n%x:\r\n%x:\r\n", 4*n, 4*n+1, 4*n+2, 4*n+3); err != nil {
				return err
			}
		}
	}).play()
}

// TestServersSlowHeaderLine: a header line without end at 100 KB/s.
func TestServersSlowHeaderLine(t *testing.T) {
	newFaultyFleet(t, 6, faultyServers, func(w io.Writer, r *http.Request, status string) error {
		_, err := io.WriteString(w, answerHead(r, status)+"X-Line: ")
		for piece := strings.Repeat("x", 2<<10); err == nil; _, err = io.WriteString(w, piece) {
			time.Sleep(20 * time.Millisecond)
		}
		return err
	}).play()
}

// TestServersJunkChunkSize: junk where the size of a chunk is due.
func TestServersJunkChunkSize(t *testing.T) {
	newFaultyFleet(t, 7, faultyServers, startsWith(chunkedBody, "junk")).play()
}

// TestServersZerosAsChunkSize: zeros without end where the size of a chunk is due.
func TestServersZerosAsChunkSize(t *testing.T) {
	newFaultyFleet(t, 8, faultyServers, startsWith(chunkedBody, "0")).play()
}

// TestServersEndlessChunkExtension: a chunk extension that never ends.
func TestServersEndlessChunkExtension(t *testing.T) {
	newFaultyFleet(t, 9, faultyServers, startsWith(chunkedBody+"5;", "x")).play()
}

// TestServersEndlessTrailer: a trailer line that never ends.
func TestServersEndlessTrailer(t *testing.T) {
	newFaultyFleet(t, 10, faultyServers, startsWith(chunkedBody+"2\r\nhi\r\n0\r\nX-Line: ", "x")).play()
}

// TestServersEndlessChunk: one chunk that never ends.
func TestServersEndlessChunk(t *testing.T) {
	newFaultyFleet(t, 11, faultyServers, startsWith(chunkedBody+"7fffffffffffffff\r\n", "x")).play()
}

// TestServersChunksOfOneByte: chunks of one byte without end.
func TestServersChunksOfOneByte(t *testing.T) {
	newFaultyFleet(t, 12, faultyServers, startsWith(chunkedBody, "1\r\nx\r\n")).play()
}

// TestServersHugeLength: a huge told length.
func TestServersHugeLength(t *testing.T) {
	newFaultyFleet(t, 13, faultyServers, startsWith("Content-Length: 9000000000000000000\r\n\r\n", "x")).play()
}

// TestServersNoLength: a body without a length that never ends.
func TestServersNoLength(t *testing.T) {
	newFaultyFleet(t, 14, faultyServers, startsWith("\r\n", "x")).play()
}

// TestServersSmallPiecesOfNoEvent: small pieces of a stream that complete no event.
func TestServersSmallPiecesOfNoEvent(t *testing.T) {
	playStreams(t, 15, startsWith(chunkedBody, "9\r\ndata: 12\n\r\n"))
}

// TestServersLargePiecesOfNoEvent: pieces of 20 KB that complete no event.
func TestServersLargePiecesOfNoEvent(t *testing.T) {
	piece := "data: " + strings.Repeat("x", 20000) + "\n"
	playStreams(t, 16, startsWith(chunkedBody, fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)))
}

// TestServersEndlessEvents: whole events without end.
func TestServersEndlessEvents(t *testing.T) {
	playStreams(t, 17, startsWith(chunkedBody, "d\r\ndata: hello\n\n\r\n"))
}

// TestServersAnswersShortOfTheirEnd: all but the last byte of an answer with a length, then silence.
func TestServersAnswersShortOfTheirEnd(t *testing.T) {
	newFaultyFleet(t, 18, faultyServers, func(w io.Writer, r *http.Request, status string) error {
		_, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", answerHead(r, status), failureBytes, strings.Repeat("x", failureBytes-1))
		return err
	}).play()
}

// TestServersEndlessInterimAnswers: 100 Continue without end.
func TestServersEndlessInterimAnswers(t *testing.T) {
	newFaultyFleet(t, 19, faultyServers, startsBare(func(string) string { return "" }, "HTTP/1.1 100 Continue\r\n\r\n")).play()
}

// TestServersMisdirectedWithoutEnd: 421 with a body without end.
func TestServersMisdirectedWithoutEnd(t *testing.T) {
	newFaultyFleet(t, 20, faultyServers, misdirectsEndlessly).play()
}

func misdirectsEndlessly(w io.Writer, r *http.Request, _ string) error {
	return startsWith("X-Instance-Id: other\r\n\r\n", "x")(w, r, "421 Misdirected Request")
}

// TestServersRefusalWithoutEnd: a refusal with a body without end.
func TestServersRefusalWithoutEnd(t *testing.T) {
	newFaultyFleet(t, 21, faultyServers, refusesEndlessly).play()
}

func refusesEndlessly(w io.Writer, r *http.Request, _ string) error {
	return startsWith("X-Not-Executed: 1\r\n\r\n", "x")(w, r, "503 Service Unavailable")
}

// TestServersOtherAnswerWithoutEnd: an answer to another request with a body without end.
func TestServersOtherAnswerWithoutEnd(t *testing.T) {
	newFaultyFleet(t, 22, faultyServers, answersAnotherEndlessly).play()
}

var answersAnotherEndlessly = startsBare(func(status string) string {
	return "HTTP/1.1 " + status + "\r\nX-Request-Id: another\r\n\r\n"
}, "x")

// turnsFaulty sends sound events, and then an event without end.
func turnsFaulty(w io.Writer, r *http.Request, _ string) error {
	return startsWith("\r\nid: 1\ndata: sound\n\nid: 2\ndata: sound\n\nid: 3\ndata: ", "x")(w, r, "200 OK")
}

// TestServersTurnFaultyWithinAStream: sound events, then one without end.
func TestServersTurnFaultyWithinAStream(t *testing.T) { playStreams(t, 23, turnsFaulty) }

// togetherForms are the forms that TestServersFormsTogether mixes.
var togetherForms = []answerForm{
	startsWith("X-Line: ", "x"),
	startsWith("X-Line: x\r\n", " folded line\r\n"),
	startsWith("", "x:\r\n"),
	startsBare(func(string) string { return "HTTP/1.1 103 Early Hints\r\nLink: " }, "x"),
	startsWith(chunkedBody, "junk"),
	startsWith(chunkedBody+"7fffffffffffffff\r\n", "x"),
	startsWith(chunkedBody, "1\r\nx\r\n"),
	startsWith("Content-Length: 9000000000000000000\r\n\r\n", "x"),
	startsWith("\r\n", "x"),
	startsWith(chunkedBody, "9\r\ndata: 12\n\r\n"),
	startsWith(chunkedBody, "d\r\ndata: hello\n\n\r\n"),
	answersAnotherEndlessly, misdirectsEndlessly, refusesEndlessly, turnsFaulty,
}

// TestServersFormsTogether: all forms at once, in an order drawn from a seed, while the operator changes the configuration
// and the servers announce in turn that they drain.
func TestServersFormsTogether(t *testing.T) {
	var mu sync.Mutex
	draw := rand.New(rand.NewPCG(87, 0))
	f := newFaultyFleet(t, 24, faultyServers, func(w io.Writer, r *http.Request, status string) error {
		mu.Lock()
		form := togetherForms[draw.IntN(len(togetherForms))]
		mu.Unlock()
		return form(w, r, status)
	})
	var operating sync.WaitGroup
	changes := 0
	operating.Go(func() {
		for version := 2; ; {
			if f.replaceConfiguration(version) {
				version++
				changes++
			}
			f.drains.Store(int64(version % faultyServers))
			select {
			case <-f.stop:
				return
			case <-time.After(faultyHeartbeats):
			}
		}
	})
	f.play()
	operating.Wait()
	require.Greater(t, changes, 2, "changes of the configuration that were taken")
}

// TestServersEndlessWhileTheBrokerEnds: a broker that is told to end does so within its grace period, beside callers of servers
// that send chunks of one byte without end.
func TestServersEndlessWhileTheBrokerEnds(t *testing.T) {
	f := newFaultyFleet(t, 25, faultyServers, startsWith(chunkedBody, "1\r\nx\r\n"))
	var callers sync.WaitGroup
	for n := range *faultyCallers {
		callers.Go(func() {
			for begun := time.Now(); time.Since(begun) < faultySpan && f.process.Running(); time.Sleep(crowdPause) {
				f.callOnce(n)
			}
		})
	}
	time.Sleep(faultySpan / 4)
	begun := time.Now()
	f.process.Signal(syscall.SIGTERM)
	select {
	case <-f.process.Ended():
	case <-time.After(faultyGrace + time.Second):
		t.Errorf("the broker still runs %v after SIGTERM", faultyGrace+time.Second)
	}
	t.Logf("ended after %.1f s", time.Since(begun).Seconds())
	close(f.stop)
	callers.Wait()
	require.Zero(t, f.process.ExitCode())
	require.Zero(t, f.endsLate.Load(), "callers without an end in time")
}
