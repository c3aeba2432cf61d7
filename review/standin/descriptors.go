package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// The case of descriptors: many clients keep connections; one machine without a disk is killed and returns, and its clients
// move to the other machines in the meantime, which reach their limit of descriptors. Later most clients leave.

const (
	descriptorBrokers  = 4
	descriptorDisks    = 3
	connectionsEach    = 3300 // connections of clients for each broker, all within limits.max_fds
	restPause          = 15 * time.Second
	reconnectPause     = time.Second
	killedFor          = 3500 * time.Millisecond
	stayAfterReturn    = 4 * time.Second
	calmAfter          = 10 * time.Second // contact_ms and catch_up_s, and more
	ackPatience        = 20 * time.Second // ack_timeout_ms is 4 s
	descriptorDeadline = 3 * time.Second
	ownDescriptors     = 16000 // of this process, for the clients' connections
)

// crowd is a number of clients, each of which keeps one connection.
type crowd struct {
	w                *world
	mu               sync.Mutex
	ready            []*broker
	open             atomic.Int64
	answered, failed atomic.Int64
	leave            chan struct{}
	left             sync.WaitGroup
	log              *serviceLog
}

// probe asks the brokers once a second whether they are ready, as the platform does. A broker that misses twice gets no new
// connections until it answers again; if fewer than half are in, all are used.
func (c *crowd) probe(stop chan struct{}) {
	missed := map[*broker]int{}
	for {
		var in []*broker
		for _, b := range c.w.brokers {
			status, _, err := call(900*time.Millisecond, http.MethodGet, b.ip, c.w.ports.readiness, "/v1/ready", nil, "")
			if missed[b]++; err == nil && status == http.StatusOK {
				missed[b] = 0
			}
			if missed[b] < 2 {
				in = append(in, b)
			}
		}
		if 2*len(in) < len(c.w.brokers) {
			in = c.w.brokers
		}
		c.mu.Lock()
		c.ready = in
		c.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// pick returns the broker that the platform passes a new connection to.
func (c *crowd) pick() *broker {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ready) == 0 {
		return nil
	}
	return c.ready[rand.IntN(len(c.ready))]
}

// client keeps one connection and sends a request on it now and then, until leave is closed.
func (c *crowd) client(number int) {
	defer c.left.Done()
	for try := 0; ; try++ {
		if b := c.pick(); b != nil {
			c.use(b, number, try)
		}
		select {
		case <-c.leave:
			return
		case <-time.After(reconnectPause + time.Duration(rand.Int64N(int64(reconnectPause)))):
		}
	}
}

// use opens a connection and sends requests on it until one fails or leave is closed.
func (c *crowd) use(b *broker, number, try int) {
	conn, err := net.DialTimeout("tcp4", net.JoinHostPort(b.ip, strconv.Itoa(c.w.ports.front)), time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	c.open.Add(1)
	defer c.open.Add(-1)
	reader := bufio.NewReaderSize(conn, 512)
	for n := 0; ; n++ {
		id := fmt.Sprintf("c%d-%d-%d", number, try, n)
		if !c.converse(conn, reader, id) {
			c.failed.Add(1)
			return
		}
		c.answered.Add(1)
		if !c.rest(conn, reader) {
			return
		}
	}
}

// rest waits between two requests. It returns false if the connection has ended, or the client leaves.
func (c *crowd) rest(conn net.Conn, reader *bufio.Reader) bool {
	_ = conn.SetReadDeadline(time.Now().Add(restPause + time.Duration(rand.Int64N(int64(restPause)))))
	stop := c.onLeave(func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })
	_, err := reader.Peek(1)
	stop()
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		return false
	}
	select {
	case <-c.leave:
		return false
	default:
		return true
	}
}

// onLeave calls f when the clients leave, unless the returned function is called before.
func (c *crowd) onLeave(f func()) (stop func()) {
	stopped := make(chan struct{})
	go func() {
		select {
		case <-c.leave:
			f()
		case <-stopped:
		}
	}()
	return func() { close(stopped) }
}

func (c *crowd) converse(conn net.Conn, reader *bufio.Reader, id string) bool {
	const path = "/verslag/item"
	c.log.mu.Lock()
	c.log.sent[id] = path
	c.log.mu.Unlock()
	request, _ := http.NewRequest(http.MethodPost, "http://"+serviceHost+path, strings.NewReader("entry"))
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(descriptorDeadline.Milliseconds(), 10))
	_ = conn.SetDeadline(time.Now().Add(descriptorDeadline))
	if request.Write(conn) != nil {
		return false
	}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK && !response.Close
}

// descriptors returns the number of a broker's open descriptors.
func (b *broker) descriptors() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd == nil {
		return 0
	}
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", b.cmd.Process.Pid))
	return len(entries)
}

func (w *world) noteDescriptors(when string) {
	for _, b := range w.brokers {
		w.note("%s: %s has %d descriptors", when, b.name, b.descriptors())
	}
}

func playDescriptors(w *world, trouble bool) error {
	var own unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &own); err != nil || own.Max < ownDescriptors {
		return fmt.Errorf("this process may have %d descriptors and needs %d: %w", own.Max, ownDescriptors, err)
	}
	w.addBrokers(descriptorBrokers, descriptorDisks)
	w.limitDescriptors = true
	if err := w.startAll(); err != nil {
		return err
	}
	l := &serviceLog{allowed: map[string]map[string]bool{}, sent: map[string]string{}}
	routes := []routeOf{{Name: "r-verslag", Prefix: "/verslag/", Service: "verslag"}}
	if err := l.sendConfiguration(w, 0, 3, routes); err != nil {
		return err
	}
	quiet := func(*server, *http.Request) {}
	for n := range 4 {
		if _, err := w.startServer(fmt.Sprintf("i-verslag-%d", n), "verslag", serviceWork, quiet); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	c := &crowd{w: w, leave: make(chan struct{}), log: l}
	stop := make(chan struct{})
	defer close(stop)
	go c.probe(stop)
	time.Sleep(time.Second)
	for number := range connectionsEach * descriptorBrokers {
		c.left.Add(1)
		go c.client(number)
		if number%20 == 0 {
			time.Sleep(15 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	w.noteDescriptors("all clients are there")
	killed := w.brokers[descriptorBrokers-1]
	if trouble {
		killed.kill()
		w.note("%s, which has no disk, is killed", killed.name)
	}
	time.Sleep(killedFor)
	w.noteDescriptors("before the return")
	if trouble {
		if err := killed.start(false); err != nil {
			return err
		}
	}
	time.Sleep(stayAfterReturn)
	w.noteDescriptors("after the return")
	close(c.leave)
	c.left.Wait()
	w.note("the clients have left: %d requests answered, %d failed", c.answered.Load(), c.failed.Load())
	time.Sleep(calmAfter)
	w.noteDescriptors("calm")
	return w.checkControl(configurationOf{Version: 3, Routes: routes}, configurationOf{Version: 9, Routes: routes})
}

// checkControl sends a change in calm time and asks for the newest configuration at every broker.
func (w *world) checkControl(newest, next configurationOf) error {
	reads := 0
	for _, b := range w.brokers {
		status, answer, err := call(2*time.Second, http.MethodGet, b.ip, w.ports.control, "/v1/config/read", nil, "")
		w.note("%s answers a read with %d, %d bytes, %v", b.name, status, len(answer), err)
		if status == http.StatusOK {
			reads++
		}
		if status == http.StatusOK && answer != newest.text() {
			w.breaking("CONFIG: %s reads back another configuration than the acknowledged one", b.name)
		}
	}
	begun := time.Now()
	status, answer := w.offer(ackPatience, newest.Version, next)
	took := time.Since(begun).Round(time.Millisecond)
	w.note("configuration %d got %d %s after %v", next.Version, status, strings.TrimSpace(answer), took)
	if status != http.StatusOK || took > 4*time.Second {
		w.breaking("Gate, Acks: a valid configuration got status %d after %v, in calm time; ack_timeout_ms is 4000", status, took)
	}
	if reads == 0 {
		w.breaking("CONFIG: the acknowledged configuration %d does not come back from any broker", newest.Version)
	}
	return nil
}
