// Package discovery follows the list of nodes: an actor that keeps one watch open at the agent and hands on
// what it says. It decides nothing.
package discovery

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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

const (
	watchFor   = 20 * time.Second       // how long the agent may hold a watch open
	grace      = 2 * time.Second        // after which an agent that says nothing is taken for dead
	retryFirst = 100 * time.Millisecond // wait after a failed call; doubled up to retryMost
	retryMost  = 1600 * time.Millisecond
	answerMost = 4 << 20
)

var errNothing = errors.New("discovery closed the connection")

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
		n := core.Node{Host: h.Host, Dial: h.Dial, Zone: h.Site, Kind: h.Class, Cell: h.Block,
			Readiness: readiness[h.Health], Units: max(h.Share, 0), Born: h.BornMs}
		if n.Host == "" {
			odd(h.Host, "a line names no host")
			continue
		}
		if n.Readiness == 0 {
			odd(h.Host, "unknown health "+h.Health)
			n.Readiness = logic.Draining
		}
		if _, err := netip.ParseAddrPort(n.Dial); err != nil { // there is no DNS to ask for a name
			if n.Readiness != logic.Gone {
				odd(h.Host, "an address that cannot be dialled: "+h.Dial)
			}
			n.Dial = ""
		}
		nodes = append(nodes, n)
	}
	return nodes
}

// Watch is the actor. It starts from Seq; Tell gets what the agent says, in its order, and may wait.
type Watch struct {
	Addr string
	Seq  int64
	Tell func(core.List)
	Log  zerolog.Logger

	conn  net.Conn
	in    *bufio.Reader
	used  bool // the connection has brought an answer before
	whole bool // the next call asks for the whole list
	stop  chan struct{}
}

// Run follows the list until stop closes.
func (w *Watch) Run(stop chan struct{}) {
	w.stop = stop
	defer w.hangUp()
	wait := retryFirst
	asked := false
	for {
		select {
		case <-stop:
			return
		default:
		}
		if !asked {
			if err := w.ask(); err != nil {
				wait = w.failed(err, wait)
				continue
			}
		}
		asked = false
		reused := w.used
		l, err := w.answer()
		if err != nil && reused && errors.Is(err, errNothing) {
			w.hangUp() // the agent closed it between two calls: the call goes out again at once
			continue
		}
		if err != nil {
			wait = w.failed(err, wait)
			continue
		}
		wait = retryFirst
		// The next call leaves first: a watch goes on only if it comes at once.
		back := !l.Whole && l.Seq < w.Seq
		if !back {
			w.Seq = l.Seq
		}
		w.whole = back
		if err := w.ask(); err == nil {
			asked = true
		} else {
			w.hangUp()
		}
		if back { // changes to a list that this is not: they say nothing
			w.Log.Warn().Int64("seq", l.Seq).Int64("had", w.Seq).Msg("the list's version went backwards")
		} else if l.Whole || len(l.Hosts) > 0 {
			kind := logic.ListChanges
			if l.Whole {
				kind = logic.ListWhole
			}
			w.Tell(core.List{Kind: kind, Nodes: l.Nodes(func(host, why string) {
				w.Log.Warn().Str("node", host).Msg(why)
			})})
		}
	}
}

func (w *Watch) failed(err error, wait time.Duration) time.Duration {
	w.hangUp()
	w.Log.Warn().Err(err).Msg("the list could not be followed")
	w.Tell(core.List{Kind: logic.ListFailed})
	select {
	case <-w.stop:
	case <-time.After(wait):
	}
	return min(2*wait, retryMost)
}

func (w *Watch) hangUp() {
	if w.conn != nil {
		w.conn.Close()
		w.conn, w.in, w.used = nil, nil, false
	}
}

// ask sends the next call of the watch.
func (w *Watch) ask() error {
	if w.conn == nil {
		conn, err := net.DialTimeout("tcp", w.Addr, grace)
		if err != nil {
			return fmt.Errorf("connecting to discovery: %w", err)
		}
		w.conn, w.in = conn, bufio.NewReaderSize(conn, 4<<10)
	}
	w.conn.SetDeadline(time.Now().Add(watchFor + grace))
	query := fmt.Sprintf("?since=%d&timeout_ms=%d", w.Seq, watchFor.Milliseconds())
	if w.whole {
		query = ""
	}
	_, err := fmt.Fprintf(w.conn, "GET /v1/servers%s HTTP/1.1\r\nHost: %s\r\n\r\n", query, w.Addr)
	if err != nil {
		return fmt.Errorf("asking discovery: %w", err)
	}
	return nil
}

func (w *Watch) answer() (l Listing, err error) {
	if _, err := w.in.Peek(1); errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		return l, errNothing
	}
	res, err := http.ReadResponse(w.in, nil)
	if err != nil {
		return l, fmt.Errorf("reading discovery's answer: %w", err)
	}
	body := io.LimitReader(res.Body, answerMost)
	buf := buffers.Get()
	defer buffers.Put(buf)
	text := buf[:0]
	for {
		if len(text) == cap(text) {
			text = append(text, 0)[:len(text)]
		}
		n, err := body.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		if errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return l, fmt.Errorf("reading discovery's answer: %w", err)
		}
	}
	if res.StatusCode != http.StatusOK {
		return l, fmt.Errorf("discovery answered %s", res.Status)
	}
	if err := json.Unmarshal(text, &l); err != nil {
		return l, fmt.Errorf("discovery's answer is no list: %w", err)
	}
	if w.used = true; res.Close {
		w.hangUp()
	}
	return l, nil
}
