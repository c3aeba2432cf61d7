package main

import (
	"bufio"
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gullstair/internal/fleettest"
)

var (
	faultyProgram = flag.String("servers.program", "", "the program of another release for the tests of faulty servers")
	faultyMemory  = flag.Int("servers.memory", crowdMemoryMB, "limits.memory_mb of the tests of faulty servers")
	faultyCallers = flag.Int("servers.callers", 120, "callers of the tests of faulty servers")
)

const (
	faultySpan       = 4 * time.Second // how long the callers call
	faultyDeadline   = 2 * time.Second // of a caller
	faultyEndSlack   = 2 * time.Second // a caller has its end this long after its deadline
	soundDeadline    = 2 * time.Second // of a request to the sound service
	soundInterval    = 250 * time.Millisecond
	soundShare       = 0.9 // of the requests to the sound service that must be served
	soundBody        = "sound answer"
	faultyServers    = 4
	soundServers     = 2
	slowReaderEvery  = 3 // every third caller reads slowly
	slowReaderBytes  = 1 << 10
	slowReaderPause  = 100 * time.Millisecond
	faultyGrace      = 8 * time.Second // of the broker
	faultyHeartbeats = 300 * time.Millisecond
)

// answerForm writes an answer of one form until the caller closes the connection.
type answerForm func(w io.Writer, r *http.Request, status string) error

// faultyFleet is one broker with a service of which some or all servers are faulty, and a sound service.
type faultyFleet struct {
	*crowd
	broker *controlProcess
	form   answerForm
	status func(call int64) string // of an answer of the faulty servers

	calls  [faultyServers]atomic.Int64 // of the servers of the faulty service
	faulty int                         // of these servers are faulty, the first ones
	paths  []string                    // of the routes to the faulty service, which the callers use in turn
	drains atomic.Int64                // the number of the server that announces that it drains; 0: none

	sent      atomic.Int64 // requests of callers
	served    atomic.Int64 // whole sound answers to callers
	endsLate  atomic.Int64 // callers without an end in time
	longest   atomic.Int64 // the longest time until a caller had its end, in ns
	soundSent atomic.Int64
	soundDone atomic.Int64
}

// alternating answers with success and failure in turn.
func alternating(call int64) string {
	if call%2 == 0 {
		return "200 OK"
	}
	return "500 Internal Server Error"
}

func newFaultyFleet(t *testing.T, number, faulty int, form answerForm) *faultyFleet {
	t.Helper()
	program := faultyProgramPath(t)
	ip := fmt.Sprintf("127.7.%d.1", number)
	broker := &controlProcess{t: t, ip: ip, seeds: ip + ":18381", folder: t.TempDir(), disk: true, bootstrap: true, programs: []string{program},
		extra: []string{"fault_tolerance.machines=0", "bounds.retry_budget_slack=200", fmt.Sprintf("bounds.grace_s=%d", faultyGrace/time.Second), fmt.Sprintf("limits.memory_mb=%d", *faultyMemory), fmt.Sprintf("limits.max_fds=%d", manyDescriptors)}}
	t.Cleanup(func() { broker.process.Kill() })
	broker.start()
	f := &faultyFleet{broker: broker, form: form, faulty: faulty, status: alternating, paths: []string{"safe", "unsafe", "stream", "resumable"},
		crowd: &crowd{t: t, process: broker.process, ip: ip, memoryMB: int64(*faultyMemory), files: manyDescriptors, stop: make(chan struct{})}}
	for n := range faultyServers {
		f.startServer(serverID(n), "f", func(c net.Conn) { f.serveFaultyService(c, n) })
	}
	for n := range soundServers {
		f.startServer(fmt.Sprintf("s-%d", n), "s", func(c net.Conn) { f.serveConnection(c, sendSound) })
	}
	f.configure()
	require.NoError(t, fleettest.WaitUntil(controlTimeout, func() bool { return f.askSound() }), "the sound service is not served")
	return f
}

// builtProgram is the program as it is deployed, built once for all tests of faulty servers.
var builtProgram struct {
	once   sync.Once
	folder string
}

// faultyProgramPath returns the program that the tests run.
func faultyProgramPath(t *testing.T) string {
	t.Helper()
	if *faultyProgram != "" {
		return *faultyProgram
	}
	builtProgram.once.Do(func() {
		built := buildProgram(t)
		folder, err := os.MkdirTemp("", "gullstair-servers")
		require.NoError(t, err)
		require.NoError(t, os.Rename(built, filepath.Join(folder, "gullstair")))
		builtProgram.folder = folder
	})
	if builtProgram.folder == "" {
		t.Skip("the program was not built")
	}
	return filepath.Join(builtProgram.folder, "gullstair")
}

// serverID returns the id of a server of the faulty service.
func serverID(number int) string { return fmt.Sprintf("f-%d", number) }

// startServer starts a server that sends heartbeats to the broker until the test ends.
func (f *faultyFleet) startServer(id, service string, serve func(net.Conn)) {
	listener, err := net.Listen("tcp4", "127.7.250.1:0")
	require.NoError(f.t, err)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	over := make(chan struct{})
	var beating sync.WaitGroup
	beating.Go(func() {
		for sequence := 1; ; sequence++ {
			state := "ready"
			if number := f.drains.Load(); number > 0 && id == serverID(int(number)) {
				state = "draining"
			}
			body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","slots":2000,"state":%q,"sequence":%d}`, service, listener.Addr(), state, sequence)
			f.broker.call(time.Second, http.MethodPost, "/v1/instances/"+id+"/heartbeat", "", body)
			select {
			case <-over:
				return
			case <-time.After(faultyHeartbeats):
			}
		}
	})
	f.t.Cleanup(func() {
		close(over)
		beating.Wait()
		listener.Close()
	})
}

// configure puts the first configuration in force.
func (f *faultyFleet) configure() {
	require.NoError(f.t, fleettest.WaitUntil(controlTimeout, func() bool { return f.replaceConfiguration(1) }), "the configuration is not taken")
}

// replaceConfiguration replaces the configuration by the next version and reports whether it was taken.
func (f *faultyFleet) replaceConfiguration(version int) bool {
	route := func(name, kind, service string, attempts int) string {
		return fmt.Sprintf(`{"name":%q,"host":"h","path_prefix":"/%s/","kind":%s,"timeout_ms":9000,"target_latency_ms":500,"service":%q,"max_attempts":%d}`,
			name, name, kind, service, attempts)
	}
	routes := []string{route("safe", `"safe"`, "f", 2), route("unsafe", `"unsafe"`, "f", 1), route("stream", `"streaming"`, "f", 1),
		route("resumable", `"streaming","resumable":true`, "f", 2), route("sound", `"safe"`, "s", 2),
		route("soundstream", `"streaming"`, "s", 1)}
	text := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"f","max_connections":2000},{"name":"s","max_connections":2000}],"limits":{"max_header_bytes":%d,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, strings.Join(routes, ","), crowdHeaderBytes, crowdBodyBytes)
	status, _ := f.broker.call(2*time.Second, http.MethodPost, "/v1/config/replace", fmt.Sprint(version-1), text)
	return status == http.StatusOK
}

// serveFaultyService serves a connection of one server of the faulty service.
func (f *faultyFleet) serveFaultyService(c net.Conn, server int) {
	f.serveConnection(c, func(w io.Writer, r *http.Request) error {
		call := f.calls[server].Add(1)
		if server >= f.faulty {
			return sendSound(w, r)
		}
		if err := f.form(w, r, f.status(call)); err != nil {
			return err
		}
		<-f.stop // the form ends in silence
		return net.ErrClosed
	})
}

// serveConnection answers the requests on a connection until answering fails.
func (f *faultyFleet) serveConnection(c net.Conn, answer func(io.Writer, *http.Request) error) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if strings.HasPrefix(r.URL.Path, "/v1/") { // polls of what a server caches
			_, err = io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		} else {
			err = answer(c, r)
		}
		if err != nil {
			return
		}
	}
}

// answerHead returns the head of an answer without the empty line at its end.
func answerHead(r *http.Request, status string) string {
	return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\nX-Server-Stamp: stamp\r\n"
}

// sendSound sends a whole answer: an event on the streaming routes.
func sendSound(w io.Writer, r *http.Request) error {
	if answer := soundAnswers[path.Base(r.URL.Path)]; answer != nil {
		return answer(w, r)
	}
	body := soundBody
	if strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/resumable/") {
		body = "id: 1\ndata: " + soundBody + "\n\n"
	}
	_, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", answerHead(r, "200 OK"), len(body), body)
	return err
}

// askSound asks the sound service once and reports whether it answered in time. A refusal is tried again.
func (f *faultyFleet) askSound() bool {
	for begun := time.Now(); time.Since(begun) < soundDeadline; time.Sleep(crowdPause) {
		if status, text, _ := f.ask("sound", soundDeadline-time.Since(begun)); status == http.StatusOK {
			return text == soundBody
		}
	}
	return false
}

// ask sends a request on a new connection and reads the answer, until a moment after the deadline.
func (f *faultyFleet) ask(route string, deadline time.Duration) (status int, text string, err error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: deadline}
	request, err := http.NewRequest(http.MethodPost, "http://"+f.ip+":18388/"+route+"/", strings.NewReader("hello"))
	if err != nil {
		return 0, "", err
	}
	request.Host = "h"
	request.Header.Set("X-Request-Id", fmt.Sprint("sound", time.Now().UnixNano()))
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, crowdBodyBytes))
	return response.StatusCode, string(body), err
}

// play lets callers call the faulty service and asks the sound one meanwhile. It checks that the broker lives and stays
// within its limits, that each caller has its end in time, and that the sound service is served.
func (f *faultyFleet) play() {
	f.t.Helper()
	watch := watchUsage(f.process)
	var callers sync.WaitGroup
	for n := range *faultyCallers {
		callers.Go(func() {
			for begun := time.Now(); time.Since(begun) < faultySpan && f.process.Running(); time.Sleep(crowdPause) {
				f.callOnce(n)
			}
		})
	}
	var asking sync.WaitGroup
	for begun := time.Now(); time.Since(begun) < faultySpan && f.process.Running(); time.Sleep(soundInterval) {
		asking.Go(func() {
			f.soundSent.Add(1)
			if f.askSound() {
				f.soundDone.Add(1)
			}
		})
	}
	asking.Wait()
	callers.Wait()
	close(f.stop)
	after := f.process.Running() && fleettest.WaitUntil(ordinaryWithin, f.askSound) == nil
	most := watch.end()
	f.t.Logf("%d calls, %d served whole, longest %.1f s, %d without an end in time; sound service %d of %d; calls of the servers %s; at most %d MB in all (process %d MB, unread %d MB), %d descriptors",
		f.sent.Load(), f.served.Load(), time.Duration(f.longest.Load()).Seconds(), f.endsLate.Load(), f.soundDone.Load(), f.soundSent.Load(),
		f.serverCalls(), most.total>>20, most.resident>>20, most.unread>>20, most.descriptors)
	if f.t.Failed() || !f.process.Running() {
		text, _ := os.ReadFile(f.broker.folder + "/out")
		f.t.Logf("%s", text[max(0, len(text)-2000):])
	}
	require.True(f.t, f.process.Running(), "the process ended")
	require.LessOrEqual(f.t, most.total>>20, f.memoryMB, "MB of memory and unread bytes")
	require.LessOrEqual(f.t, most.descriptors, f.files, "descriptors")
	require.Zero(f.t, f.endsLate.Load(), "callers without an end in time")
	require.GreaterOrEqual(f.t, float64(f.soundDone.Load()), soundShare*float64(f.soundSent.Load()), "requests to the sound service that are served")
	require.True(f.t, after, "the sound service is served afterwards")
}

func (f *faultyFleet) serverCalls() string {
	var counts []string
	for n := range f.calls {
		counts = append(counts, fmt.Sprint(f.calls[n].Load()))
	}
	return strings.Join(counts, " ")
}

// callOnce sends one request to the faulty service and reads what comes until the connection ends.
func (f *faultyFleet) callOnce(caller int) {
	conn, err := net.DialTimeout("tcp4", f.ip+":18388", time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	slow := caller%slowReaderEvery == slowReaderEvery-1
	if slow {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	}
	begun := time.Now()
	f.sent.Add(1)
	route := f.paths[caller%len(f.paths)]
	_, _ = fmt.Fprintf(conn, "POST /%s/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: c%d-%d\r\nX-Deadline-Ms: %d\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello", route, caller,
		begun.UnixNano(), faultyDeadline.Milliseconds())
	limit := faultyDeadline + faultyEndSlack
	_ = conn.SetReadDeadline(begun.Add(limit))
	start, err := readUntilEnd(conn, slow)
	took := time.Since(begun)
	if slow {
		return // what lies in the buffers of its connection hides the end
	}
	for before := f.longest.Load(); int64(took) > before && !f.longest.CompareAndSwap(before, int64(took)); before = f.longest.Load() {
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		f.endsLate.Add(1)
	}
	if err == nil && bytes.HasPrefix(start, []byte("HTTP/1.1 200")) && bytes.Contains(start, []byte(soundBody)) {
		f.served.Add(1)
	}
}

// readUntilEnd reads until the connection ends and returns the first bytes.
func readUntilEnd(conn net.Conn, slow bool) (start []byte, err error) {
	buffer := make([]byte, 64<<10)
	if slow {
		buffer = buffer[:slowReaderBytes]
	}
	for {
		n, err := conn.Read(buffer)
		if len(start) < 1<<10 {
			start = append(start, buffer[:min(n, 1<<10)]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			return start, nil
		case err != nil:
			return start, err
		}
		if slow {
			time.Sleep(slowReaderPause)
		}
	}
}
