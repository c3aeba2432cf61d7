// Package discovery follows the list of nodes: an actor that keeps one watch open at the agent and hands on
// what it says. It decides nothing.
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

// Where lists are pushed, what the agent gets when discovery comes back counts as told at once, and a call that was open
// before is not answered then: so calls that fail follow each other closely, which costs nothing at an agent on the same
// machine. Elsewhere a change counts as told six seconds after discovery had it and could be reached; the times leave
// room for a watch that falls silent as it begins, a wait, and one more call that is answered.
const (
	watchFor   = 3 * time.Second        // how long the agent may hold a watch open
	connectFor = 250 * time.Millisecond // the agent is on this machine
	grace      = 500 * time.Millisecond // a watch is answered within it after its time
	atOnce     = 250 * time.Millisecond // an agent's answer that waits for nothing comes within it
	retryFirst = 100 * time.Millisecond // longest wait after a failed call
	// Where the list has to be asked for, discovery itself answers, and not at once: within this time, or it refuses.
	// There the waits double.
	askedWithin   = 2500 * time.Millisecond
	openAskedFor  = time.Second // how long it may hold the first call of a watch, which it may be late to begin
	retryAskedTop = 800 * time.Millisecond
	// openFor is how long the agent may hold the first call of a process: it tells what is there.
	openFor     = time.Millisecond
	answerMost  = 4 << 20
	mailboxSize = 16
)

// Listing is a list as discovery words it.
type Listing struct {
	Seq   int64       `json:"seq"`
	Whole bool        `json:"whole"`
	Hosts []wireEntry `json:"hosts"`
}

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

// Nodes puts a listing into the core's words. A line that can't be used is left out and told to odd; one
// whose state is not known counts as draining, which sends it nothing new.
func (l Listing) Nodes(odd func(host, why string)) (nodes []core.Node) {
	for _, h := range l.Hosts {
		n := core.Node{Host: h.Host, Addr: h.Dial, Zone: h.Site, Kind: h.Class, Cell: h.Block,
			Readiness: readiness[h.Health], Units: max(h.Share, 0), Born: h.BornMs}
		if n.Host == "" {
			odd(h.Host, "a line names no host")
			continue
		}
		if n.Readiness == 0 {
			odd(h.Host, "unknown health "+h.Health)
			n.Readiness = logic.Draining
		}
		if _, err := netip.ParseAddrPort(n.Addr); err != nil { // there is no DNS to ask for a name
			if n.Readiness != logic.Gone {
				odd(h.Host, "an address that cannot be dialled: "+h.Dial)
			}
			n.Addr = ""
		}
		nodes = append(nodes, n)
	}
	return nodes
}

// Watch is the list's actor: it alone makes calls and owns the connection. Its mailbox gets what a connection
// brought, and that the module asks for the list.
type Watch struct {
	addr string
	seq  int64 // of the list as told last
	tell func(core.List)
	log  zerolog.Logger
	mail chan any
	stop chan struct{}

	asked bool // the list has to be asked for, or else it is pushed to the agent
	begun bool
	conn  net.Conn
	used  bool // the connection has brought an answer before
	whole bool // the next call asks for the whole list
	open  bool // the next call goes on with a watch
	wait  time.Duration
	fails int // calls that failed in a row
	retry *time.Timer
	rand  *rand.Rand
	first chan struct{} // closed once the first call has ended
	heard bool          // it is closed
}

// Its mail.
type (
	wanted   struct{}
	moved    struct{ addr string }
	answered struct {
		conn net.Conn
		l    Listing
		last bool // the agent closes the connection
	}
	lost struct {
		conn net.Conn
		err  error
	}
)

var (
	errNothing = errors.New("discovery closed the connection")
	errPart    = errors.New("discovery answered a call for the whole list with changes")
	errRefused = errors.New("discovery refused the call")
	errTooLong = errors.New("too long")
)

// Options say how a list is followed.
type Options struct {
	Since int64  // the version of the list that is known
	OnAsk bool   // the list comes only when asked for: nothing happens before Ask
	Seed  uint64 // of the chance by which failed calls of many brokers spread
}

// Follow starts a watch; tell gets what the agent says, in its order, and may wait.
func Follow(addr string, o Options, tell func(core.List), log zerolog.Logger) *Watch {
	w := &Watch{addr: addr, seq: o.Since, asked: o.OnAsk, tell: tell, log: log, mail: make(chan any, mailboxSize),
		stop: make(chan struct{}), wait: retryFirst, retry: time.NewTimer(time.Hour), rand: rand.New(rand.NewPCG(o.Seed, 0)),
		first: make(chan struct{})}
	w.retry.Stop()
	if o.OnAsk {
		w.over() // what discovery holds is told when it has been asked for
	} else {
		w.Ask()
	}
	go w.run()
	return w
}

// First is closed once what the agent holds has been told, or could not be had: where lists are pushed, what it holds
// counts as told from a process's first moment, so nothing may go out by an older list before.
func (w *Watch) First() <-chan struct{} { return w.first }

func (w *Watch) over() {
	if !w.heard {
		w.heard = true
		close(w.first)
	}
}

// Ask begins the watch. One that has begun asks again by itself after a failure, and goes on until Stop: a
// further Ask adds no call, or a discovery that is down would get one more for each that failed.
func (w *Watch) Ask() {
	select {
	case w.mail <- wanted{}:
	default: // it has mail enough to be on its way
	}
}

// Move follows the list at another address from now on. What the old one still sends counts no more, or a list of
// its would undo a newer one; the new one is asked for the whole list at once, since its versions need not be the
// old one's, and no drain may go unheard in between.
func (w *Watch) Move(addr string) { w.post(moved{addr}) }

// Stop ends the watch.
func (w *Watch) Stop() { close(w.stop) }

func (w *Watch) run() {
	defer w.hangUp()
	for {
		select {
		case m := <-w.mail:
			switch v := m.(type) {
			case wanted:
				if !w.begun {
					w.begun = true
					w.call()
				}
			case moved:
				if v.addr == w.addr {
					continue
				}
				w.hangUp()
				w.retry.Stop()
				w.addr, w.whole, w.wait = v.addr, true, retryFirst
				if w.begun {
					w.call()
				}
			case answered:
				if v.conn == w.conn {
					w.answered(v)
				}
			case lost:
				if v.conn != w.conn {
					continue
				}
				w.lost(v.err)
			}
		case <-w.retry.C:
			w.call()
		case <-w.stop:
			return
		}
	}
}

func (w *Watch) post(m any) {
	select {
	case w.mail <- m:
	case <-w.stop:
	}
}

// lost takes up that the connection has ended. One that was closed between two calls, or while a watch was open on it,
// is replaced at once; what the watch had to tell may be lost with it, so the whole list is asked for.
func (w *Watch) lost(err error) {
	ended := w.used && errors.Is(err, errNothing)
	w.hangUp()
	if !ended {
		w.failed(err)
		return
	}
	w.whole = true
	w.call()
}

// answered hands on an answer. Where the connection goes on the next call leaves first: a watch goes on only if it
// comes at once.
func (w *Watch) answered(v answered) {
	if w.whole && !v.l.Whole {
		w.failed(errPart)
		return
	}
	l, had := v.l, w.seq
	w.used, w.wait, w.open, w.fails = true, retryFirst, !w.whole, 0
	w.whole = !l.Whole && l.Seq < had
	if !w.whole {
		w.seq = l.Seq
	}
	if v.last {
		w.hangUp()
		w.hand(l, had)
		w.call()
		return
	}
	w.call()
	w.hand(l, had)
}

// hand tells what an answer holds.
func (w *Watch) hand(l Listing, had int64) {
	if w.whole { // changes to a list that this is not: they say nothing
		w.log.Warn().Int64("seq", l.Seq).Int64("had", had).Msg("the list's version went backwards")
		return
	}
	defer w.over()
	kind := logic.ListChanges
	if l.Whole {
		kind = logic.ListWhole
	} else if len(l.Hosts) == 0 {
		return
	}
	w.tell(core.List{Kind: kind, Nodes: l.Nodes(func(host, why string) {
		w.log.Warn().Str("node", host).Msg(why)
	})})
}

// failed takes up that a call came to nothing. What it had to tell may be lost, unless it was refused: then it had
// nothing, and the same call is good again.
func (w *Watch) failed(err error) {
	w.hangUp()
	w.whole = w.whole || !errors.Is(err, errRefused)
	w.open = false
	if w.fails++; w.fails&(w.fails-1) == 0 { // while discovery is down one call follows the other
		w.log.Warn().Err(err).Int("in_a_row", w.fails).Msg("the list could not be followed")
	}
	w.retry.Reset(w.wait/2 + time.Duration(w.rand.Int64N(int64(w.wait/2)+1)))
	if w.asked {
		w.wait = min(2*w.wait, retryAskedTop)
	}
	w.tell(core.List{Kind: logic.ListFailed})
	w.over()
}

func (w *Watch) hangUp() {
	if w.conn != nil {
		w.conn.Close()
		w.conn, w.used = nil, false
	}
}

// call sends the next call of the watch, on a new connection if need be.
func (w *Watch) call() {
	if w.conn == nil {
		conn, err := net.DialTimeout("tcp", w.addr, connectFor)
		if err != nil {
			w.failed(fmt.Errorf("connecting to discovery: %w: %w", errRefused, err))
			return
		}
		w.conn = conn
		go w.read(conn)
	}
	query, patience := w.query()
	w.conn.SetDeadline(time.Now().Add(patience))
	_, err := fmt.Fprintf(w.conn, "GET /v1/servers%s HTTP/1.1\r\nHost: %s\r\n\r\n", query, w.addr)
	if err != nil && !w.used { // else its reader tells how it ended
		w.failed(fmt.Errorf("asking discovery: %w", err))
	}
}

// query is what the next call asks for, and how long its answer may take. An agent that hangs, or whose answer stops
// coming, looks like a list in which nothing changes: short watches find out, and a call that is answered at once finds
// out soonest.
func (w *Watch) query() (string, time.Duration) {
	within, hold := atOnce, watchFor
	if w.asked {
		within = askedWithin
	}
	switch {
	case w.whole:
		return "", within
	case w.open:
		within = grace // the watch has begun
	case w.asked:
		hold = openAskedFor
	case !w.heard:
		hold = openFor
	default:
		within = grace
	}
	return fmt.Sprintf("?since=%d&timeout_ms=%d", w.seq, hold.Milliseconds()), hold + within
}

// read passes on what comes on one connection, until its end.
func (w *Watch) read(conn net.Conn) {
	in := bufio.NewReaderSize(conn, 4<<10)
	for {
		l, last, err := readAnswer(in)
		if err != nil {
			w.post(lost{conn, err})
			return
		}
		w.post(answered{conn, l, last})
		if last {
			return
		}
	}
}

func readAnswer(in *bufio.Reader) (l Listing, last bool, err error) {
	if _, err := in.Peek(1); errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		return l, true, errNothing
	}
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		return l, true, fmt.Errorf("reading discovery's answer: %w", err)
	}
	buf := buffers.Get()
	defer buffers.Put(buf)
	text := bytes.NewBuffer(buf[:0]) // a whole list may be larger than a buffer
	if n, err := text.ReadFrom(io.LimitReader(res.Body, answerMost)); err != nil || n == answerMost {
		return l, true, fmt.Errorf("reading discovery's answer, %d bytes so far: %w", n, cmp.Or(err, errTooLong))
	}
	if res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests {
		return l, true, fmt.Errorf("%w: %s", errRefused, res.Status)
	}
	if res.StatusCode != http.StatusOK {
		return l, true, fmt.Errorf("discovery answered %s", res.Status)
	}
	if err := json.Unmarshal(text.Bytes(), &l); err != nil {
		return l, true, fmt.Errorf("discovery's answer is no list: %w", err)
	}
	return l, res.Close, nil
}
