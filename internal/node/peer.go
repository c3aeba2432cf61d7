package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"gullstair/internal/buffers"
	"gullstair/internal/core"
)

// Reach is what binds the connections to nodes.
type Reach struct {
	PerConn        int // parts at the same time on one connection
	MaxConns       int // connections to all nodes together
	ConnectTimeout time.Duration
	Idle           time.Duration // after which a node closes a connection
}

const (
	mailboxSize = 512
	pastMost    = 8
	sweepEvery  = time.Second
)

// Fleet holds the peers. Only the goroutine that carries out the core's outputs may call it.
type Fleet struct {
	reach Reach
	tell  func(core.Ended)
	now   func() float64
	log   zerolog.Logger
	conns atomic.Int64
	peers map[string]*peer
	share atomic.Int64 // connections that a peer may hold beyond its first
	Stats Stats
}

// Stats count what the peers saw.
type Stats struct{ Dials, DialsFailed, Broken, Unknown, Malformed atomic.Int64 }

// NewFleet makes an empty fleet; tell gets each end of a dispatch and may block.
func NewFleet(reach Reach, now func() float64, tell func(core.Ended), log zerolog.Logger) *Fleet {
	return &Fleet{reach: reach, tell: tell, now: now, log: log, peers: map[string]*peer{}}
}

// Conns is how many connections to nodes are open or being opened.
func (f *Fleet) Conns() int { return int(f.conns.Load()) }

// Move tells the peer of a node where it is to be reached, or that it is gone. It never waits: each call names
// its address too, so that a full mailbox loses nothing but haste.
func (f *Fleet) Move(m core.Move) {
	for host, p := range f.peers { // those of nodes that went
		if p.closed() {
			delete(f.peers, host)
		}
	}
	f.share.Store(int64(f.reach.MaxConns / (len(f.peers) + 1)))
	p := f.peers[m.Host]
	if p == nil && m.Gone {
		return
	}
	if p == nil {
		p = f.start(m.Host, m.Addr)
	}
	p.offer(m)
}

func (f *Fleet) start(host, addr string) *peer {
	p := &peer{f: f, host: host, addr: addr, mail: make(chan any, mailboxSize), ended: make(chan struct{}),
		out: map[int64]*link{}, log: f.log.With().Str("node", host).Logger()}
	f.peers[host] = p
	f.share.Store(int64(f.reach.MaxConns / (len(f.peers) + 1)))
	go p.run()
	return p
}

// Call hands a frame to its node's peer. It never waits: where the mailbox is full, false comes back and the
// parts count as not sent.
func (f *Fleet) Call(c core.Call) bool {
	return f.peerOf(c.Host, c.Addr).offer(c)
}

func (f *Fleet) peerOf(host, addr string) *peer {
	if p := f.peers[host]; p != nil && !p.closed() {
		return p
	}
	return f.start(host, addr)
}

// Probe hands a probe to its node's peer, as Call does a frame.
func (f *Fleet) Probe(v core.Probe) bool { return f.peerOf(v.Host, v.Addr).offer(v) }

// GiveUp tells the peer that nobody waits for a dispatch any more. It never waits; what a full mailbox drops
// the node finds out from the dispatch's own wait.
func (f *Fleet) GiveUp(g core.GiveUp) {
	if p := f.peers[g.Host]; p != nil {
		p.offer(g)
	}
}

// offer puts a message in the mailbox unless that is full or the peer has ended.
func (p *peer) offer(m any) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over {
		return false
	}
	select {
	case p.mail <- m:
		return true
	default:
		return false
	}
}

func (p *peer) closed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.over
}

// post is for the peer's own readers and dialers: it waits for room.
func (p *peer) post(m any) {
	select {
	case p.mail <- m:
	case <-p.ended:
	}
}

// leave ends the peer unless something has come in meanwhile.
func (p *peer) leave() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.over = len(p.mail) == 0
	return p.over
}

// peer is the actor of one node.
type peer struct {
	mu    sync.Mutex
	over  bool // under mu: no message is taken any more
	f     *Fleet
	host  string
	addr  string
	gone  bool
	mail  chan any
	ended chan struct{}
	links []*link
	out   map[int64]*link // by dispatch: the connection it is on or waits for
	log   zerolog.Logger
}

// link is one connection. Until it is up, its frames wait in queue.
type link struct {
	conn    net.Conn
	addr    string
	up      bool
	ids     map[string]int64 // parts that are out, by id
	refs    map[int64]string
	queue   []core.Call
	probes  []int64 // that are out or, before the connection is up, wait; they are answered in their order
	wbuf    []byte
	frames  []written // what stands in wbuf
	lastUse time.Time
	// retired: nothing more goes out on it, and it is closed when nothing is out. A part was given up on it, whose
	// answer may never come and holds a place on the node's side until the node reads that it was; a node that finds
	// all places taken reads no more. Or more came than was asked for, and what comes next is anybody's guess.
	retired bool
	past    [pastMost]string // ids that were out last: a late answer or a second copy is no spoilt one
	pasts   int
}

// known says whether id was out on l a short while ago.
func (l *link) known(id string) bool { return slices.Contains(l.past[:], id) }

// written is one frame in a link's buffer: where it ends, and the dispatches in it.
type written struct {
	end  int
	refs []int64
}

var errUnasked = errors.New("an answer that was never asked for")

type dialed struct {
	l    *link
	conn net.Conn
	err  error
}

type arrived struct {
	l     *link
	probe bool
	a     answer
}

type broke struct {
	l   *link
	how core.End
	err error
}

func (p *peer) run() {
	defer close(p.ended)
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	for {
		select {
		case m := <-p.mail:
			p.handle(m)
			for range len(p.mail) { // what has gathered is written together
				p.handle(<-p.mail)
			}
			p.flush()
			p.sweep()
		case <-sweep.C:
			p.sweep()
		}
		if p.gone && len(p.links) == 0 && p.leave() {
			return
		}
	}
}

func (p *peer) handle(m any) {
	switch v := m.(type) {
	case core.Call:
		p.call(v)
	case core.Probe:
		p.probe(v)
	case core.GiveUp:
		p.giveUp(v.Ref)
	case core.Move:
		p.gone = v.Gone
		if v.Addr != "" {
			p.addr = v.Addr
		}
		p.sweep()
	case dialed:
		p.dialed(v)
	case arrived:
		p.arrived(v)
	case broke:
		p.drop(v.l, v.how, v.err)
	}
}

func (p *peer) end(ref int64, how core.End, a answer) {
	p.f.tell(core.Ended{Ref: ref, How: how, At: p.f.now(), Score: a.score, Value: a.value, Load: a.load})
}

// call puts a frame on a connection that has room for its parts, or on a new one.
func (p *peer) call(c core.Call) {
	if c.Addr != "" {
		p.addr = c.Addr
	}
	best := p.pick(func(l *link) bool {
		return len(l.refs)+len(c.Parts) <= max(p.f.reach.PerConn, len(c.Parts)) && !p.clash(l, c)
	})
	if best == nil {
		for i := range c.Parts {
			p.end(c.Parts[i].Ref, core.NoRoom, answer{})
		}
		return
	}
	for i := range c.Parts {
		best.ids[c.Parts[i].ID], best.refs[c.Parts[i].Ref] = c.Parts[i].Ref, c.Parts[i].ID
		p.out[c.Parts[i].Ref] = best
	}
	if best.up {
		p.write(best, c)
	} else {
		best.queue = append(best.queue, c)
	}
}

// pick finds the connection on which the least is out, and of idle ones the longest idle; nil: there is no room for
// another. What ends a connection takes all parts on it along, so a further one comes up for the next call as soon as
// none is idle. Nobody waits for it where one is up: a node may be slow to accept.
func (p *peer) pick(do func(*link) bool) (best *link) {
	rising := false
	for _, l := range p.links {
		if l.addr != p.addr || l.retired {
			continue
		}
		rising = rising || !l.up
		if do(l) && (best == nil || l.before(best)) {
			best = l
		}
	}
	if best == nil || best.up && len(best.refs) > 0 && !rising && int64(len(p.links)) < p.f.share.Load() {
		if l := p.open(); best == nil {
			best = l
		}
	}
	return best
}

// before says whether a call should rather go to l than to m.
func (l *link) before(m *link) bool {
	if l.up != m.up {
		return l.up
	}
	return len(l.refs) < len(m.refs) || len(l.refs) == len(m.refs) && l.lastUse.Before(m.lastUse)
}

// probe asks for the node's load on any connection.
func (p *peer) probe(v core.Probe) {
	p.addr = v.Addr
	l := p.pick(func(*link) bool { return true })
	if l == nil {
		p.end(v.Ref, core.NoRoom, answer{})
		return
	}
	l.probes = append(l.probes, v.Ref)
	if l.up {
		l.addProbe()
	}
}

func (l *link) addProbe() {
	at := len(l.wbuf)
	l.wbuf = finish(begin(l.wbuf, probeLetter), at)
}

// clash says whether a part of c is out on l already: answers go by its id.
func (p *peer) clash(l *link, c core.Call) bool {
	for i := range c.Parts {
		if _, out := l.ids[c.Parts[i].ID]; out {
			return true
		}
	}
	return false
}

func (p *peer) open() *link {
	if p.f.conns.Add(1) > int64(p.f.reach.MaxConns) {
		p.f.conns.Add(-1)
		return nil
	}
	l := &link{addr: p.addr, ids: map[string]int64{}, refs: map[int64]string{}, lastUse: time.Now()}
	p.links = append(p.links, l)
	p.f.Stats.Dials.Add(1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), p.f.reach.ConnectTimeout)
		defer cancel()
		conn, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", l.addr)
		p.post(dialed{l, conn, err})
	}()
	return l
}

func (p *peer) dialed(d dialed) {
	if d.err != nil {
		p.f.Stats.DialsFailed.Add(1)
		how := core.DialRefused
		if ne, ok := errors.AsType[net.Error](d.err); ok && ne.Timeout() {
			how = core.DialTimedOut
		}
		p.drop(d.l, how, d.err)
		return
	}
	d.l.conn, d.l.up, d.l.lastUse = d.conn, true, time.Now()
	go p.read(d.l)
	queue := d.l.queue
	d.l.queue = nil
	for _, c := range queue {
		p.write(d.l, c)
	}
	for range d.l.probes {
		d.l.addProbe()
	}
}

// write adds a frame with those parts of c that are still wanted.
func (p *peer) write(l *link, c core.Call) {
	at := len(l.wbuf)
	b := begin(l.wbuf, callLetter)
	var refs []int64
	for i := range c.Parts {
		cp := &c.Parts[i]
		if _, wanted := l.refs[cp.Ref]; !wanted {
			continue
		} else if cp.NotAfter > 0 && p.f.now() > cp.NotAfter {
			p.forget(l, cp.Ref)
			p.end(cp.Ref, core.TooLate, answer{})
			continue
		}
		b = addCall(b, cp, p.f.now())
		refs = append(refs, cp.Ref)
	}
	if len(refs) == 0 {
		return
	}
	l.wbuf = finish(b, at)
	l.frames = append(l.frames, written{len(l.wbuf), refs})
}

// forget takes a dispatch off its connection and returns its part's id.
func (p *peer) forget(l *link, ref int64) string {
	id := l.refs[ref]
	l.past[l.pasts%pastMost] = id
	l.pasts++
	delete(p.out, ref)
	delete(l.refs, ref)
	delete(l.ids, id)
	return id
}

// giveUp forgets a dispatch and, if its frame was written, tells the node.
func (p *peer) giveUp(ref int64) {
	l := p.out[ref]
	if l == nil {
		return
	}
	id := p.forget(l, ref)
	if l.up {
		l.wbuf, l.retired = addGiveUp(l.wbuf, id), true
	}
}

func (p *peer) arrived(v arrived) {
	if v.probe {
		if len(v.l.probes) == 0 {
			p.f.Stats.Unknown.Add(1)
			return
		}
		p.end(v.l.probes[0], v.a.how, v.a)
		v.l.probes, v.l.lastUse = v.l.probes[1:], time.Now()
		return
	}
	ref, out := v.l.ids[v.a.id]
	if !out { // nobody waits for it
		p.f.Stats.Unknown.Add(1)
		if v.l.retired = true; !v.l.known(v.a.id) {
			p.drop(v.l, core.BadFrame, errUnasked) // one that waits has had its answer under this name
		}
		return
	}
	p.forget(v.l, ref)
	v.l.lastUse = time.Now()
	p.end(ref, v.a.how, v.a)
}

// flush writes what has gathered. A frame that did not get out whole has not been sent.
func (p *peer) flush() {
	for i := len(p.links) - 1; i >= 0; i-- {
		l := p.links[i]
		if !l.up || len(l.wbuf) == 0 {
			continue
		}
		l.conn.SetWriteDeadline(time.Now().Add(p.f.reach.ConnectTimeout))
		n, err := l.conn.Write(l.wbuf)
		l.lastUse = time.Now()
		if err != nil {
			l.frames = slices.DeleteFunc(l.frames, func(w written) bool { return w.end <= n })
			p.drop(l, core.ReadBroke, err)
			continue
		}
		l.frames = l.frames[:0]
		if l.wbuf = l.wbuf[:0]; cap(l.wbuf) > buffers.Size {
			l.wbuf = nil
		}
	}
}

// drop ends a connection and all that is out on it.
func (p *peer) drop(l *link, how core.End, err error) {
	for i, x := range p.links {
		if x != l {
			continue
		}
		p.links = append(p.links[:i], p.links[i+1:]...)
		p.f.conns.Add(-1)
		if l.conn != nil {
			l.conn.Close()
		}
		if len(l.refs) > 0 {
			p.f.Stats.Broken.Add(1)
			p.log.Debug().Str("end", how.String()).Int("out", len(l.refs)).AnErr("cause", err).Msg("connection ended")
		}
		for _, w := range l.frames { // not written yet
			for _, ref := range w.refs {
				if _, out := l.refs[ref]; out {
					p.forget(l, ref)
					p.end(ref, core.WriteBroke, answer{})
				}
			}
		}
		for ref := range l.refs {
			delete(p.out, ref)
			p.end(ref, how, answer{})
		}
		for _, ref := range l.probes {
			p.end(ref, how, answer{})
		}
		l.refs, l.ids, l.probes, l.up = nil, nil, nil, false
		return
	}
}

// sweep closes connections that nothing is out on: before the node's idle time is up, with a margin so that
// no frame crosses its close, and at once where the node has moved or is gone.
func (p *peer) sweep() {
	idle := p.f.reach.Idle - max(p.f.reach.Idle/10, 2*sweepEvery)
	for i := len(p.links) - 1; i >= 0; i-- {
		l := p.links[i]
		if l.up && len(l.refs) == 0 && len(l.probes) == 0 && len(l.wbuf) == 0 &&
			(p.gone || l.retired || l.addr != p.addr || time.Since(l.lastUse) >= idle) {
			p.drop(l, core.TakenBack, nil)
		}
	}
}

// read passes on what comes from the node until the connection ends. It alone reads; it owns nothing else.
func (p *peer) read(l *link) {
	r := bufio.NewReaderSize(l.conn, 4<<10)
	for {
		// A frame that has begun comes at once; the rest of a spoilt one never does.
		l.conn.SetReadDeadline(time.Time{})
		_, err := r.Peek(1)
		l.conn.SetReadDeadline(time.Now().Add(p.f.reach.ConnectTimeout))
		buf := buffers.Get()
		var letter byte
		var rest []byte
		if err == nil {
			letter, rest, err = readFrame(r, buf)
		}
		var a answer
		if err == nil && letter == answerLetter {
			a, err = readAnswer(rest)
		}
		if err == nil && letter == probeLetter {
			a = readProbe(rest)
		}
		words := ""
		if err == nil && letter == refuseLetter {
			words = string(rest[:min(len(rest), 200)])
		}
		buffers.Put(buf)
		switch {
		case errors.Is(err, errFrame), errors.Is(err, os.ErrDeadlineExceeded):
			p.f.Stats.Malformed.Add(1)
			p.post(broke{l, core.BadFrame, err})
			return
		case errors.Is(err, io.EOF):
			p.post(broke{l, core.PeerClosed, err})
			return
		case err != nil:
			p.post(broke{l, core.ReadBroke, err})
			return
		case letter == answerLetter || letter == probeLetter:
			p.post(arrived{l, letter == probeLetter, a})
		case letter == refuseLetter:
			p.f.Stats.Malformed.Add(1)
			p.post(broke{l, core.NotUsable, fmt.Errorf("%w: %s", syscall.EPROTO, words)})
			return
		default: // nothing else was asked for
			p.f.Stats.Malformed.Add(1)
			p.post(broke{l, core.BadFrame, errFrame})
			return
		}
	}
}
