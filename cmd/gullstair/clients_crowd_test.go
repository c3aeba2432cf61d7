package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"gullstair/internal/fleettest"
)

const (
	crowdSpan      = 4 * time.Second       // how long a crowd presses before the ordinary request is sent beside it
	crowdPause     = 50 * time.Millisecond // pause of a client before it connects again
	crowdSlow      = 3 * time.Second       // time that the instance takes for a slow request
	crowdLarge     = 8 << 20               // bytes of a large answer
	usageInterval  = 20 * time.Millisecond
	ordinaryWithin = 30 * time.Second // only to end a test of a broker that never answers
	usageKillMB    = 1500             // a broker that uses more is killed, for the sake of the machine
)

// crowd is a process of the program and the clients that press on it.
type crowd struct {
	t        *testing.T
	process  *fleettest.Process
	ip       string
	memoryMB int64                        // its limits.memory_mb
	files    int                          // its limit of descriptors
	attempt  func() (bool, time.Duration) // sends an ordinary request; returns whether it is answered, or when to try again
	healthy  func() bool                  // reports whether the process still answers its operators
	stop     chan struct{}
	wait     sync.WaitGroup
	dials    atomic.Int64
}

// crowdBroker is a broker alone, with an instance.
type crowdBroker struct {
	*crowd
	broker *controlProcess
}

// newCrowd starts a broker alone, with the limits of these tests, and an instance that serves its routes.
func newCrowd(t *testing.T, number int) *crowdBroker {
	t.Helper()
	return newCrowdWith(t, number, crowdDescriptors)
}

// newCrowdWith does so with another limit of descriptors.
func newCrowdWith(t *testing.T, number, descriptors int) *crowdBroker {
	t.Helper()
	program := buildProgram(t)
	ip := fmt.Sprintf("127.8.%d.1", number)
	broker := &controlProcess{t: t, ip: ip, seeds: ip + ":18381", folder: t.TempDir(), disk: true, bootstrap: true, programs: []string{program},
		extra: []string{"fault_tolerance.machines=0", fmt.Sprintf("limits.memory_mb=%d", crowdMemoryMB), fmt.Sprintf("limits.max_fds=%d", descriptors)}}
	t.Cleanup(func() { broker.process.Kill() })
	broker.start()
	c := &crowdBroker{broker: broker, crowd: &crowd{t: t, process: broker.process, ip: ip, memoryMB: crowdMemoryMB, files: descriptors, stop: make(chan struct{})}}
	c.attempt = c.sendOrdinary
	c.healthy = func() bool {
		status, _ := broker.call(5*time.Second, http.MethodGet, "/v1/status", "", "")
		return status == http.StatusOK
	}
	c.startInstance()
	c.configure()
	c.ordinary()
	return c
}

// buildProgram builds the program. It is not this test binary: the race detector multiplies the memory of a process.
func buildProgram(t *testing.T) string {
	t.Helper()
	if testing.Short() {
		t.Skip("takes several seconds alone on the machine")
	}
	program := filepath.Join(t.TempDir(), "gullstair")
	text, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, "%s", text)
	return program
}

// startInstance starts an instance that registers with the broker until the test ends.
func (c *crowdBroker) startInstance() {
	listener, err := net.Listen("tcp4", "127.8.250.1:0")
	require.NoError(c.t, err)
	server := &http.Server{Handler: http.HandlerFunc(serveCrowdInstance)}
	go func() { _ = server.Serve(listener) }()
	over := make(chan struct{})
	var beating sync.WaitGroup
	beating.Go(func() {
		for sequence := 1; ; sequence++ {
			body := fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","slots":2000,"state":"ready","sequence":%d}`, listener.Addr(), sequence)
			c.broker.call(time.Second, http.MethodPost, "/v1/instances/i-1/heartbeat", "", body)
			select {
			case <-over:
				return
			case <-time.After(300 * time.Millisecond):
			}
		}
	})
	c.t.Cleanup(func() {
		close(over)
		beating.Wait()
		server.Close()
	})
}

// serveCrowdInstance answers with the length of the request's body, slowly on /slow/ and with a large body on /large/.
func serveCrowdInstance(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Server-Stamp", "stamp")
	switch {
	case strings.HasPrefix(r.URL.Path, "/slow/"):
		select {
		case <-r.Context().Done():
			return
		case <-time.After(crowdSlow):
		}
	case strings.HasPrefix(r.URL.Path, "/large/"):
		_, _ = w.Write(make([]byte, crowdLarge))
		return
	}
	fmt.Fprint(w, n)
}

func (c *crowdBroker) configure() {
	var routes []string
	for _, name := range []string{"quick", "slow", "large"} {
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":"h","path_prefix":"/%s/","kind":"safe","timeout_ms":9000,"service":"s"}`, name, name))
	}
	text := fmt.Sprintf(`{"version":1,"routes":[%s],"services":[{"name":"s","max_connections":2000}],"limits":{"max_header_bytes":%d,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		strings.Join(routes, ","), crowdHeaderBytes, crowdBodyBytes)
	require.NoError(c.t, fleettest.WaitUntil(controlTimeout, func() bool {
		status, _ := c.broker.call(2*time.Second, http.MethodPost, "/v1/config/replace", "0", text)
		return status == http.StatusOK
	}), "the configuration is not taken")
}

// ordinary sends small requests as the platform's clients do, each try on a new connection, until one is served.
func (c *crowd) ordinary() {
	c.t.Helper()
	for begun := time.Now(); time.Since(begun) < ordinaryWithin && c.process.Running(); {
		served, again := c.attempt()
		if served {
			return
		}
		time.Sleep(max(crowdPause, min(time.Second, again)))
	}
	c.t.Errorf("no answer to an ordinary request; the process lives: %t", c.process.Running())
}

// sendOrdinary sends one small request.
func (c *crowdBroker) sendOrdinary() (served bool, again time.Duration) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	request, err := http.NewRequest(http.MethodPost, "http://"+c.ip+":18388/quick/", strings.NewReader("hello"))
	require.NoError(c.t, err)
	request.Host = "h"
	request.Header.Set("X-Request-Id", fmt.Sprint("ordinary", time.Now().UnixNano()))
	response, err := client.Do(request)
	if err != nil {
		return false, 0
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	after, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode == http.StatusOK && err == nil && string(text) == "5", time.Duration(after * float64(time.Second))
}

// play lets clients press on the front address.
func (c *crowd) play(clients int, send func(net.Conn) error) { c.playAt("18388", clients, send) }

// playAt lets clients press on a port, checks what the process uses of the machine, and sends ordinary requests beside them.
func (c *crowd) playAt(port string, clients int, send func(net.Conn) error) {
	c.t.Helper()
	watch := watchUsage(c.process)
	for range clients {
		c.wait.Go(func() { c.client(net.JoinHostPort(c.ip, port), send) })
	}
	time.Sleep(crowdSpan)
	c.ordinary()
	healthy := fleettest.WaitUntil(ordinaryWithin, func() bool { return !c.process.Running() || c.healthy() })
	close(c.stop)
	c.wait.Wait()
	c.ordinary()
	most := watch.end()
	c.t.Logf("%d connections were opened; at most %d MB in all (process %d MB, unread %d MB), %d descriptors", c.dials.Load(),
		most.total>>20, most.resident>>20, most.unread>>20, most.descriptors)
	require.True(c.t, c.process.Running(), "the process ended")
	require.NoError(c.t, healthy, "the operators' address")
	require.LessOrEqual(c.t, most.total>>20, c.memoryMB, "MB of memory and unread bytes")
	require.LessOrEqual(c.t, most.descriptors, c.files, "descriptors")
}

// client connects, sends, and stays until the broker closes the connection; then it does so again.
func (c *crowd) client(address string, send func(net.Conn) error) {
	for {
		c.visit(address, send)
		select {
		case <-c.stop:
			return
		case <-time.After(crowdPause):
		}
	}
}

func (c *crowd) visit(address string, send func(net.Conn) error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return
	}
	c.dials.Add(1)
	left := make(chan struct{})
	defer close(left)
	go func() {
		select {
		case <-c.stop:
		case <-left:
		}
		conn.Close()
	}()
	tcp := conn.(*net.TCPConn)
	_ = tcp.SetReadBuffer(4 << 10)
	if send(conn) != nil {
		return
	}
	awaitClose(tcp, c.stop)
}

// awaitClose waits until the peer has closed the connection, without reading from it.
func awaitClose(conn *net.TCPConn, stop <-chan struct{}) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	for closed := false; !closed; {
		select {
		case <-stop:
			return
		case <-time.After(crowdPause):
		}
		if raw.Control(func(fd uintptr) { closed = tcpClosed(int(fd)) }) != nil {
			return
		}
	}
}

// tcpClosed reports whether the peer has closed or reset a connection.
func tcpClosed(fd int) bool {
	const established = 1 // TCP_ESTABLISHED
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err != nil || info.State != established
}

// usage is what a process uses of its machine.
type usage struct {
	total       int64 // resident and unread, in bytes
	resident    int64 // bytes in memory
	unread      int64 // bytes that have arrived at its sockets and are not read
	descriptors int
}

// usageWatch samples a process.
type usageWatch struct {
	process *fleettest.Process
	stop    chan struct{}
	done    chan struct{}
	most    usage
}

func watchUsage(p *fleettest.Process) *usageWatch {
	w := &usageWatch{process: p, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *usageWatch) run() {
	defer close(w.done)
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(usageInterval):
		}
		now := usageOf(w.process.Pid())
		if now.total > w.most.total {
			w.most.total, w.most.resident, w.most.unread = now.total, now.resident, now.unread
		}
		w.most.descriptors = max(w.most.descriptors, now.descriptors)
		if now.total>>20 > usageKillMB {
			w.process.Signal(syscall.SIGKILL)
		}
	}
}

func (w *usageWatch) end() usage {
	close(w.stop)
	<-w.done
	return w.most
}

func usageOf(pid int) usage {
	u := usage{resident: residentBytes(pid)}
	sockets := map[string]bool{}
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	for _, entry := range entries {
		u.descriptors++
		target, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", pid, entry.Name()))
		if inode, is := strings.CutPrefix(target, "socket:["); err == nil && is {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	u.unread = unreadBytes(sockets)
	u.total = u.resident + u.unread
	return u
}

// residentBytes returns the resident set of a process.
func residentBytes(pid int) int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// unreadBytes returns the bytes in the receive queues of TCP sockets with these inodes.
func unreadBytes(sockets map[string]bool) (sum int64) {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer file.Close()
	const queues, state, inode, listening = 4, 3, 9, "0A"
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) <= inode || !sockets[fields[inode]] || fields[state] == listening {
			continue
		}
		_, received, _ := strings.Cut(fields[queues], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		sum += n
	}
	return sum
}
