// Package discovery watches the list of nodes. An actor keeps one long-polling HTTP call open to the discovery agent
// and delivers the updates that it receives; it makes no decisions of its own.
package discovery

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"gullstair/internal/buffers"
	"gullstair/internal/core"
	"gullstair/logic"
)

// In push mode (lists are pushed to an agent on this machine) a list that the agent gets when discovery comes back must
// be known at once, and the agent does not answer a call that was already open. Failed calls are therefore retried
// quickly, which costs nothing at a local agent. In pull mode a change must be known six seconds after discovery had it
// and was reachable. The timeouts allow for a watch that goes silent at its start, one backoff, and one more call.
const (
	watchHold        = 3 * time.Second        // how long the agent may hold a watch without a change
	connectTimeout   = 250 * time.Millisecond // the agent is on this machine
	answerGrace      = 500 * time.Millisecond // extra time for the answer to a watch whose hold time is over
	immediateTimeout = 250 * time.Millisecond // timeout of an agent's answer to a call without a hold time
	initialBackoff   = 100 * time.Millisecond // maximum backoff after a failed call
	// In pull mode discovery itself answers and may be slow: it answers or refuses within this time. The backoff
	// doubles there.
	pullTimeout    = 2500 * time.Millisecond
	firstPullHold  = time.Second // hold time of the first call of a watch, which discovery may start late
	maxPullBackoff = 800 * time.Millisecond
	// firstCallHold is the hold time of a process's first call, which returns what the agent already has.
	firstCallHold  = time.Millisecond
	maxAnswerBytes = 4 << 20  // of a list
	maxHeadBytes   = 64 << 10 // of an answer, besides the list
	mailboxSize    = 16
)

// Listing is a list of nodes, or of changes to it, in discovery's JSON format.
type Listing struct {
	Seq   int64       `json:"seq"`
	Whole bool        `json:"whole"`
	Hosts []wireEntry `json:"hosts"`
}

// wireEntry is one node in discovery's JSON format.
type wireEntry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
}

var readiness = map[string]logic.Readiness{"SERVING": logic.Ready, "DRAINING": logic.Draining, "DELETED": logic.Gone}

// Nodes converts a listing to the core's types. It skips unusable entries and reports each through report. A node of
// unknown health counts as draining, so that it gets no new requests.
func (l Listing) Nodes(report func(host, why string)) (nodes []core.Node) {
	for _, h := range l.Hosts {
		n := core.Node{Host: h.Host, Addr: h.Dial, Zone: h.Site, Kind: h.Class, Cell: h.Block,
			Readiness: readiness[h.Health], Units: max(h.Share, 0), Born: h.BornMs}
		if n.Host == "" {
			report(h.Host, "a line names no host")
			continue
		}
		if n.Readiness == 0 {
			report(h.Host, "unknown health "+h.Health)
			n.Readiness = logic.Draining
		}
		if _, err := netip.ParseAddrPort(n.Addr); err != nil { // names are not resolved
			if n.Readiness != logic.Gone {
				report(h.Host, "an address that cannot be dialled: "+h.Dial)
			}
			n.Addr = ""
		}
		nodes = append(nodes, n)
	}
	return nodes
}

// Watch is the actor that follows the list. Only its goroutine makes calls and owns the connection. Its mailbox
// receives the answers of the connection's reader and the requests of Start and Move.
type Watch struct {
	addr    string
	seq     int64 // version of the list delivered last
	deliver func(core.List)
	log     zerolog.Logger
	mailbox chan any
	stop    chan struct{}

	pull           bool // pull mode: the list must be requested from discovery; otherwise it is pushed to the agent
	started        bool
	conn           net.Conn
	answeredBefore bool // the connection has delivered an answer
	requestWhole   bool // the next call requests the whole list
	resuming       bool // the next call continues a running watch
	backoff        time.Duration
	failures       int // consecutive failed calls
	retryTimer     *time.Timer
	rand           *rand.Rand
	first          chan struct{} // closed once the first call has ended
	firstClosed    bool          // first is closed
}

// The messages in a Watch's mailbox.
type (
	startMsg  struct{}
	moveMsg   struct{ addr string }
	answerMsg struct {
		conn    net.Conn
		listing Listing
		closing bool // the agent closes the connection
	}
	lostMsg struct {
		conn net.Conn
		err  error
	}
)

var (
	errClosed   = errors.New("discovery closed the connection without an answer")
	errNotWhole = errors.New("discovery answered a request for the whole list with changes")
	errRefused  = errors.New("discovery refused the call")
	errTooLong  = errors.New("answer too long")
)

// Options configure a Watch.
type Options struct {
	Since    int64  // the version of the list that is already known
	OnDemand bool   // pull mode: no call is made before Start
	Seed     uint64 // seed of the backoff jitter, which spreads the retries of many brokers
}

// Follow starts a watch. It calls deliver with each update in order; deliver may block.
func Follow(addr string, o Options, deliver func(core.List), log zerolog.Logger) *Watch {
	w := &Watch{addr: addr, seq: o.Since, pull: o.OnDemand, deliver: deliver, log: log, mailbox: make(chan any, mailboxSize),
		stop: make(chan struct{}), backoff: initialBackoff, retryTimer: time.NewTimer(time.Hour), rand: rand.New(rand.NewPCG(o.Seed, 0)),
		first: make(chan struct{})}
	w.retryTimer.Stop()
	if o.OnDemand {
		w.finishFirst() // in pull mode no list arrives before Start
	} else {
		w.Start()
	}
	go w.run()
	return w
}

// First returns a channel that is closed once the agent's current list has been delivered or the first call has failed.
// In push mode the agent's list is binding from the start of the process, so nothing may be sent by an older list
// before.
func (w *Watch) First() <-chan struct{} { return w.first }

// finishFirst closes the channel of First.
func (w *Watch) finishFirst() {
	if !w.firstClosed {
		w.firstClosed = true
		close(w.first)
	}
}

// Start starts the watch. A started watch retries failed calls itself until Stop. A further Start adds no call;
// otherwise a discovery that is down would get an extra call for each failure.
func (w *Watch) Start() {
	select {
	case w.mailbox <- startMsg{}:
	default: // a full mailbox means that the watch is already active
	}
}

// Move switches the watch to another address. Late answers of the old address are ignored, because they could undo a
// newer list. The watch requests the whole list from the new address at once: its version numbers may be unrelated to
// the old ones, and no drain in between may be missed.
func (w *Watch) Move(addr string) { w.post(moveMsg{addr}) }

// Stop ends the watch.
func (w *Watch) Stop() { close(w.stop) }

func (w *Watch) run() {
	defer w.closeConn()
	for {
		select {
		case m := <-w.mailbox:
			switch v := m.(type) {
			case startMsg:
				if !w.started {
					w.started = true
					w.call()
				}
			case moveMsg:
				if v.addr == w.addr {
					continue
				}
				w.closeConn()
				w.retryTimer.Stop()
				w.addr, w.requestWhole, w.backoff = v.addr, true, initialBackoff
				if w.started {
					w.call()
				}
			case answerMsg:
				if v.conn == w.conn {
					w.handleAnswer(v)
				}
			case lostMsg:
				if v.conn != w.conn {
					continue
				}
				w.connectionLost(v.err)
			}
		case <-w.retryTimer.C:
			w.call()
		case <-w.stop:
			return
		}
	}
}

func (w *Watch) post(m any) {
	select {
	case w.mailbox <- m:
	case <-w.stop:
	}
}

// connectionLost handles the end of the connection. If it was closed between two calls or during a watch, the watch
// reconnects at once and requests the whole list, because a pending change may be lost.
func (w *Watch) connectionLost(err error) {
	closedByAgent := w.answeredBefore && errors.Is(err, errClosed)
	w.closeConn()
	if !closedByAgent {
		w.fail(err)
		return
	}
	w.requestWhole = true
	w.call()
}

// handleAnswer processes an answer. On a persistent connection it sends the next call before it delivers the answer: a
// watch continues only if the next call follows at once.
func (w *Watch) handleAnswer(v answerMsg) {
	if w.requestWhole && !v.listing.Whole {
		w.fail(errNotWhole)
		return
	}
	l, prevSeq := v.listing, w.seq
	w.answeredBefore, w.backoff, w.resuming, w.failures = true, initialBackoff, !w.requestWhole, 0
	w.requestWhole = !l.Whole && l.Seq < prevSeq
	if !w.requestWhole {
		w.seq = l.Seq
	}
	if v.closing {
		w.closeConn()
		w.deliverListing(l, prevSeq)
		w.call()
		return
	}
	w.call()
	w.deliverListing(l, prevSeq)
}

// deliverListing delivers the content of an answer.
func (w *Watch) deliverListing(l Listing, prevSeq int64) {
	if w.requestWhole { // the changes refer to another list and are useless
		w.log.Warn().Int64("seq", l.Seq).Int64("had", prevSeq).Msg("the list's version went backwards")
		return
	}
	defer w.finishFirst()
	kind := logic.ListDelta
	if l.Whole {
		kind = logic.ListFull
	} else if len(l.Hosts) == 0 {
		return
	}
	w.deliver(core.List{Kind: kind, Nodes: l.Nodes(func(host, why string) {
		w.log.Warn().Str("node", host).Msg(why)
	})})
}

// fail handles a failed call and schedules a retry. A change may have been lost with it, so the retry requests the
// whole list, unless the call was refused: a refused call carried no data and is repeated as it was.
func (w *Watch) fail(err error) {
	w.closeConn()
	w.requestWhole = w.requestWhole || !errors.Is(err, errRefused)
	w.resuming = false
	if w.failures++; w.failures&(w.failures-1) == 0 { // log at powers of two only, since calls repeat quickly while discovery is down
		w.log.Warn().Err(err).Int("in_a_row", w.failures).Msg("the list could not be followed")
	}
	w.retryTimer.Reset(w.backoff/2 + time.Duration(w.rand.Int64N(int64(w.backoff/2)+1)))
	if w.pull {
		w.backoff = min(2*w.backoff, maxPullBackoff)
	}
	w.deliver(core.List{Kind: logic.ListFailed})
	w.finishFirst()
}

// closeConn closes the connection, if there is one. Later messages of its reader are ignored.
func (w *Watch) closeConn() {
	if w.conn != nil {
		w.conn.Close()
		w.conn, w.answeredBefore = nil, false
	}
}

// call sends the next call of the watch. It connects first if there is no connection.
func (w *Watch) call() {
	if w.conn == nil {
		conn, err := net.DialTimeout("tcp", w.addr, connectTimeout)
		if err != nil {
			w.fail(fmt.Errorf("connecting to discovery: %w: %w", errRefused, err))
			return
		}
		w.conn = conn
		go w.read(conn)
	}
	query, timeout := w.query()
	w.conn.SetDeadline(time.Now().Add(timeout))
	_, err := fmt.Fprintf(w.conn, "GET /v1/servers%s HTTP/1.1\r\nHost: %s\r\n\r\n", query, w.addr)
	if err != nil && !w.answeredBefore { // on a used connection the reader reports the error
		w.fail(fmt.Errorf("sending a request to discovery: %w", err))
	}
}

// query returns the next call's query string and the timeout of its answer. A hanging agent is indistinguishable from a
// list without changes. Short watches detect it, and a call without a hold time detects it fastest.
func (w *Watch) query() (string, time.Duration) {
	answerTimeout, hold := immediateTimeout, watchHold
	if w.pull {
		answerTimeout = pullTimeout
	}
	switch {
	case w.requestWhole:
		return "", answerTimeout
	case w.resuming:
		answerTimeout = answerGrace // the watch is running
	case w.pull:
		hold = firstPullHold
	case !w.firstClosed:
		hold = firstCallHold
	default:
		answerTimeout = answerGrace
	}
	return fmt.Sprintf("?since=%d&timeout_ms=%d", w.seq, hold.Milliseconds()), hold + answerTimeout
}

// read posts the answers that arrive on a connection to the mailbox, until the connection ends.
func (w *Watch) read(conn net.Conn) {
	limited := &io.LimitedReader{R: conn}
	in := bufio.NewReaderSize(limited, 4<<10)
	for {
		limited.N = maxHeadBytes + maxAnswerBytes
		l, last, err := readAnswer(in)
		if err != nil {
			w.post(lostMsg{conn, err})
			return
		}
		w.post(answerMsg{conn, l, last})
		if last {
			return
		}
	}
}

// readAnswer reads one HTTP response. last reports that the agent closes the connection after it.
func readAnswer(in *bufio.Reader) (l Listing, last bool, err error) {
	if _, err := in.Peek(1); errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		return l, true, errClosed
	}
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		return l, true, fmt.Errorf("reading discovery's answer: %w", err)
	}
	buf := buffers.Get()
	defer buffers.Put(buf)
	text := bytes.NewBuffer(buf[:0]) // a whole list may be larger than a buffer
	if n, err := text.ReadFrom(io.LimitReader(res.Body, maxAnswerBytes)); err != nil || n == maxAnswerBytes {
		return l, true, fmt.Errorf("reading discovery's answer, %d bytes so far: %w", n, cmp.Or(err, errTooLong))
	}
	if res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests {
		return l, true, fmt.Errorf("%w: %s", errRefused, res.Status)
	}
	if res.StatusCode != http.StatusOK {
		return l, true, fmt.Errorf("discovery answered %s", res.Status)
	}
	if err := json.Unmarshal(text.Bytes(), &l); err != nil {
		return l, true, fmt.Errorf("discovery's answer is not a list: %w", err)
	}
	return l, res.Close, nil
}
