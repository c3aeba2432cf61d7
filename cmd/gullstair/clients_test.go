package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Each test starts one broker as a process and a crowd of clients of one kind that do not behave. The crowd keeps its
// connections open and reconnects when they are closed. The broker must stay alive, its memory and the bytes that lie
// unread in its sockets must stay within limits.memory_mb, its descriptors within limits.max_fds, and it must answer an
// ordinary request while the crowd is still there. Nothing else is checked: no times, and no share of served requests.

const (
	crowdHeaderBytes = 16 << 10 // limits.max_header_bytes of the tests' configuration
	crowdBodyBytes   = 1 << 20  // limits.max_body_bytes of the tests' configuration
	crowdSize        = 200
	crowdMemoryMB    = 64
	crowdDescriptors = 300
	manyDescriptors  = 4100 // as on the machines that the program is made for
	shortBy          = 16   // bytes by which a request stops short of its end
)

// head returns the start of a request's head, up to its first free header line.
func head(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd\r\nX-Deadline-Ms: 20000\r\n"
}

func repeated(text string, size int) []byte {
	return bytes.Repeat([]byte(text), size/len(text))
}

// TestClientsHeadsOverTheLimit: whole heads far over max_header_bytes.
func TestClientsHeadsOverTheLimit(t *testing.T) {
	text := slicesOf([]byte(head("GET", "/quick/")+"X-Large: "), repeated("x", 900<<10), []byte("\r\n\r\n"))
	newCrowd(t, 1).play(crowdSize, sends(text))
}

// TestClientsHeadsWithoutEnd: heads that go on and stop without an empty line.
func TestClientsHeadsWithoutEnd(t *testing.T) {
	text := slicesOf([]byte(head("GET", "/quick/")), repeated("X-Line: 0123456789012345678901234567890123456789\r\n", 1000<<10))
	newCrowd(t, 2).play(crowdSize, sends(text))
}

// TestClientsManyHeaderLines: heads within max_header_bytes of as many header lines as possible, which stop short of
// their end.
func TestClientsManyHeaderLines(t *testing.T) {
	newCrowd(t, 3).play(crowdSize, sends(slicesOf([]byte(head("GET", "/quick/")), headerLines(15<<10))))
}

// TestClientsManyHeaderLinesOverTheLimit: the same with as many bytes as a head without end.
func TestClientsManyHeaderLinesOverTheLimit(t *testing.T) {
	newCrowd(t, 4).play(crowdSize, sends(slicesOf([]byte(head("GET", "/quick/")), headerLines(1000<<10))))
}

// headerLines returns lines with short names, no two alike.
func headerLines(size int) []byte {
	var b bytes.Buffer
	for n := 0; b.Len() < size; n++ {
		fmt.Fprintf(&b, "%x:\r\n", n)
	}
	return b.Bytes()
}

// TestClientsEmptyLines: empty lines without end before a request.
func TestClientsEmptyLines(t *testing.T) {
	newCrowd(t, 5).play(crowdSize, sends(repeated("\r\n", 4<<20)))
}

// TestClientsWholeBodies: bodies of legal size at once, to an instance that takes its time.
func TestClientsWholeBodies(t *testing.T) {
	text := slicesOf([]byte(head("POST", "/slow/")+fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes)), repeated("x", crowdBodyBytes))
	newCrowd(t, 6).play(crowdSize, sends(text))
}

// TestClientsBodiesShortOfTheirEnd: bodies of legal size, piece by piece, that stop short of their end.
func TestClientsBodiesShortOfTheirEnd(t *testing.T) {
	text := slicesOf([]byte(head("POST", "/quick/")+fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes)), repeated("x", crowdBodyBytes-shortBy))
	newCrowd(t, 7).play(crowdSize, sendsInPieces(text, 8<<10))
}

// TestClientsBodiesWithoutARoute: bodies for a path that no route serves, short of their end.
func TestClientsBodiesWithoutARoute(t *testing.T) {
	text := slicesOf([]byte(head("POST", "/nowhere/")+fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes)), repeated("x", crowdBodyBytes-shortBy))
	newCrowd(t, 8).play(2*crowdSize, sends(text))
}

// TestClientsLargeChunks: chunked bodies in chunks of 256 KiB, short of their end.
func TestClientsLargeChunks(t *testing.T) {
	newCrowd(t, 9).play(crowdSize, sends(chunked(256<<10)))
}

// TestClientsSmallChunks: chunked bodies in chunks of a few bytes, short of their end.
func TestClientsSmallChunks(t *testing.T) {
	newCrowd(t, 10).play(crowdSize, sends(chunked(16)))
}

// chunked returns a request with a body of legal size in chunks, without its last chunk.
func chunked(size int) []byte {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	return slicesOf([]byte(head("POST", "/quick/")+"Transfer-Encoding: chunked\r\n\r\n"), bytes.Repeat([]byte(chunk), crowdBodyBytes/size))
}

// TestClientsTrailersWithoutEnd: chunked bodies whose trailer goes on without end.
func TestClientsTrailersWithoutEnd(t *testing.T) {
	text := slicesOf([]byte(head("POST", "/quick/")+"Transfer-Encoding: chunked\r\nTrailer: X-Line\r\n\r\n1\r\nx\r\n0\r\n"),
		repeated("X-Line: 0123456789012345678901234567890123456789\r\n", 1000<<10))
	newCrowd(t, 11).play(crowdSize, sends(text))
}

// TestClientsAnswersNotRead: requests for large answers that the client does not read.
func TestClientsAnswersNotRead(t *testing.T) {
	newCrowd(t, 12).play(crowdSize, sends([]byte(head("GET", "/large/")+"\r\n")))
}

// TestClientsAnswersNotReadManyDescriptors: the same where memory and not descriptors is short.
func TestClientsAnswersNotReadManyDescriptors(t *testing.T) {
	newCrowdWith(t, 20, manyDescriptors).play(4*crowdSize, sends([]byte(head("GET", "/large/")+"\r\n")))
}

// TestClientsBytesAfterARequest: a request that takes its time, with more bytes behind it than one request may have.
func TestClientsBytesAfterARequest(t *testing.T) {
	newCrowd(t, 13).play(crowdSize, sends(slicesOf([]byte(head("GET", "/slow/")+"\r\n"), repeated("x", 4<<20))))
}

// TestClientsBytesAfterARequestManyDescriptors: the same where memory and not descriptors is short.
func TestClientsBytesAfterARequestManyDescriptors(t *testing.T) {
	newCrowdWith(t, 21, manyDescriptors).play(4*crowdSize, sends(slicesOf([]byte(head("GET", "/slow/")+"\r\n"), repeated("x", 4<<20))))
}

// TestClientsSilentConnections: connections on which nothing is sent.
func TestClientsSilentConnections(t *testing.T) {
	newCrowd(t, 14).play(4*crowdSize, sends(nil))
}

// TestClientsOrdersShortOfTheirEnd: configurations at the control address that stop short of their end.
func TestClientsOrdersShortOfTheirEnd(t *testing.T) {
	const size = 4 << 20
	text := slicesOf([]byte(head("POST", "/v1/config/replace")+fmt.Sprintf("Content-Length: %d\r\n\r\n", size)), repeated(" ", size-shortBy))
	newCrowd(t, 15).playAt("18381", crowdSize/2, sends(text))
}

// TestClientsHeartbeatsShortOfTheirEnd: heartbeats that stop short of their end.
func TestClientsHeartbeatsShortOfTheirEnd(t *testing.T) {
	const size = 250 << 10
	text := slicesOf([]byte(head("POST", "/v1/instances/i/heartbeat")+fmt.Sprintf("Content-Length: %d\r\n\r\n", size)), repeated(" ", size-shortBy))
	newCrowd(t, 16).playAt("18381", crowdSize, sends(text))
}

// TestClientsProbesWithBodies: readiness probes with a body that stops short of its end.
func TestClientsProbesWithBodies(t *testing.T) {
	const size = 200 << 10
	text := slicesOf([]byte(head("GET", "/v1/ready")+fmt.Sprintf("Content-Length: %d\r\n\r\n", size)), repeated(" ", size-shortBy))
	newCrowd(t, 17).playAt("18384", 2*crowdSize, sends(text))
}

// TestClientsPeerFrames: frames at the port of the brokers' own protocol that stop short of their end.
func TestClientsPeerFrames(t *testing.T) {
	const size = 4 << 20
	text := slicesOf([]byte{0, 0, 64, 0}, repeated("x", size-shortBy)) // the length is in little endian
	newCrowd(t, 18).playAt("17560", crowdSize/2, sends(text))
}

// TestClientsOfTheAggregator: at the front of "serve", bodies of legal size that stop short of their end.
func TestClientsOfTheAggregator(t *testing.T) {
	c := newAggregatorCrowd(t)
	text := slicesOf([]byte(fmt.Sprintf("POST /report HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 64<<10)), repeated("x", 64<<10-shortBy))
	c.playAt(c.port, 4*crowdSize, sends(text))
}

// TestClientsWithinTheLimits: without a crowd, a request with a head of max_header_bytes and a body of max_body_bytes is
// served, with a length and in chunks.
func TestClientsWithinTheLimits(t *testing.T) {
	c := newCrowd(t, 19)
	body := repeated("x", crowdBodyBytes)
	for _, length := range []int64{crowdBodyBytes, -1} {
		request, err := http.NewRequest(http.MethodPost, "http://"+c.ip+":18388/quick/", io.NopCloser(bytes.NewReader(body)))
		require.NoError(t, err)
		request.ContentLength = length
		request.Host = "h"
		request.Header.Set("X-Request-Id", "within")
		request.Header.Set("X-Large", strings.Repeat("x", crowdHeaderBytes-512)) // the rest is for the other lines
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, fmt.Sprint(crowdBodyBytes), string(text), "the instance answers with the length of the body")
	}
}

// sends returns a client that writes a text at once and then stays.
func sends(text []byte) func(net.Conn) error {
	return func(conn net.Conn) error {
		_, err := conn.Write(text)
		return err
	}
}

// sendsInPieces returns a client that writes a text in pieces with short pauses and then stays.
func sendsInPieces(text []byte, piece int) func(net.Conn) error {
	return func(conn net.Conn) error {
		for rest := text; len(rest) > 0; {
			n := min(piece, len(rest))
			if _, err := conn.Write(rest[:n]); err != nil {
				return err
			}
			rest = rest[n:]
			time.Sleep(time.Millisecond)
		}
		return nil
	}
}

func slicesOf(parts ...[]byte) []byte { return bytes.Join(parts, nil) }
