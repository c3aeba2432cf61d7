package emulator

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"gullstair/internal/core"
	"gullstair/internal/rig"
	"gullstair/logic"
)

// live drives a world on loopback in real time: the brokers are processes, stores, discovery and clients stand on real
// sockets. One goroutine, the loop, owns the world; what sockets bring is posted to it.
type live struct {
	w       *World
	ctx     context.Context
	program []string
	dir     string
	begun   time.Time
	posted  chan func()
	stores  []*liveStore
	brokers []*liveBroker
	refs    int64
	byPart  map[string][]*flight
	wg      sync.WaitGroup
	between *rig.Switch // the brokers' datagrams
	members []*rig.Member
}

// liveStore is a store's sockets.
type liveStore struct {
	l     *live
	i     int
	addr  string
	ln    net.Listener
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// liveBroker is a broker's process, with the agent of discovery on its machine.
type liveBroker struct {
	l       *live
	s       *seat
	addr    string
	agent   net.Listener
	proc    *rig.Process
	log     *os.File
	mu      sync.Mutex // guards the list as its agent has it
	seq     int64
	changes []change
	whole   []core.Node
	news    chan struct{}
	silent  bool
	idle    []*clientConn
	usage   Usage
}

// Usage is what a broker's processes took.
type Usage struct {
	CPUSeconds float64 `json:"cpu_seconds"`
	MaxRSSMB   float64 `json:"max_rss_mb"`
}

type change struct {
	seq  int64
	node core.Node
}

type clientConn struct {
	conn net.Conn
	in   *bufio.Reader
}

const (
	// wordMost is how long, in ms, word of what is over may come after word of what follows: two connections are read by two
	// goroutines on a machine that has other work.
	wordMost    = 25.0
	readyWithin = 10 * time.Second
	postedMost  = 4096
	watchMost   = 60 * time.Second
)

// RunLive plays a world on loopback. Program is how a broker is started, such as gullstair serve --log error; its start
// file is named by GW_CONFIG. Everything that was started is ended before it returns, also when ctx ends; then the report is of
// what was played.
func (w *World) RunLive(ctx context.Context, forMs float64, program ...string) (f Figures, err error) {
	dir, err := os.MkdirTemp("", "rehearse")
	if err != nil {
		return f, fmt.Errorf("rehearse: %w", err)
	}
	defer os.RemoveAll(dir)
	l := &live{w: w, program: program, dir: dir, posted: make(chan func(), postedMost), byPart: map[string][]*flight{}}
	var cancel context.CancelFunc
	l.ctx, cancel = context.WithCancel(ctx)
	w.live = l
	w.Judge.later = func(do func()) { w.at(wordMost, do) }
	defer func() {
		cancel()
		l.close()
		for _, b := range l.brokers {
			f.Brokers = append(f.Brokers, b.usage)
		}
	}()
	for i := range w.Stores {
		if err := l.open(i); err != nil {
			return f, err
		}
	}
	for _, s := range w.seats {
		b := &liveBroker{l: l, s: s, news: make(chan struct{}), whole: slices.Clone(w.states), seq: 1}
		l.brokers = append(l.brokers, b)
		if err := b.openAgent(); err != nil {
			return f, err
		}
		m := &rig.Member{Name: brokerName(s.n), Index: s.n}
		if m.UDP, err = rig.FreeAddr("udp"); err != nil {
			return f, fmt.Errorf("rehearse: a broker's address for others: %w", err)
		}
		l.members = append(l.members, m)
	}
	if l.between, err = rig.NewSwitch(l.members, w.seed); err != nil {
		return f, err
	}
	defer l.between.Close()
	for _, b := range l.brokers {
		if err := b.start(); err != nil {
			return f, err
		}
	}
	for _, b := range l.brokers {
		if err := b.awaitReady(); err != nil {
			return f, err
		}
	}
	return l.run(forMs)
}

// run is the loop: what is due by the clock, and what sockets brought, one after the other.
func (l *live) run(forMs float64) (Figures, error) {
	w := l.w
	l.begun = time.Now()
	w.ending = forMs
	w.arrivals()
	w.sweep()
	over := forMs
	for _, t := range w.Fleet.Types {
		over = max(over, forMs+t.Timeout+500)
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for w.err == nil {
		w.now = float64(time.Since(l.begun)) / 1e6
		if w.now >= over || l.ctx.Err() != nil {
			break
		}
		if w.q.len() > 0 && w.q.heap[0].at <= w.now {
			w.Events++
			w.q.pop().do()
			continue
		}
		wait := over - w.now
		if w.q.len() > 0 {
			wait = min(wait, w.q.heap[0].at-w.now)
		}
		timer.Reset(time.Duration(wait * float64(time.Millisecond)))
		select {
		case do := <-l.posted:
			w.now = float64(time.Since(l.begun)) / 1e6
			w.Events++
			do()
		case <-timer.C:
		case <-l.ctx.Done():
		}
	}
	played := w.now
	if l.ctx.Err() == nil {
		w.Judge.sweep(played, true)
	}
	f := w.close(played)
	f.WallSeconds = time.Since(l.begun).Seconds()
	return f, w.err
}

// post hands something to the loop.
func (l *live) post(do func()) {
	select {
	case l.posted <- do:
	case <-l.ctx.Done():
	}
}

func (l *live) close() {
	for _, b := range l.brokers {
		b.agent.Close()
		b.kill()
		for _, c := range b.idle {
			c.conn.Close()
		}
	}
	for _, s := range l.stores {
		s.shut()
	}
	done := make(chan struct{})
	go func() {
		l.wg.Wait()
		close(done)
	}()
	for {
		select {
		case <-l.posted: // whoever still posts must not wait
		case <-done:
			return
		}
	}
}

// open gives a store its address.
func (l *live) open(i int) error {
	s := &liveStore{l: l, i: i, conns: map[net.Conn]struct{}{}}
	l.stores = append(l.stores, s)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("rehearse: a store's address: %w", err)
	}
	s.addr = ln.Addr().String()
	s.listen(ln)
	return nil
}

func (s *liveStore) listen(ln net.Listener) {
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	s.l.wg.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = struct{}{}
			s.mu.Unlock()
			s.l.wg.Go(func() { s.serve(conn) })
		}
	})
}

// shut closes a store's sockets: connections are reset, new ones refused.
func (s *liveStore) shut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln != nil {
		s.ln.Close()
		s.ln = nil
	}
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
}

// reopen lets a store be reached again at its address.
func (s *liveStore) reopen() error {
	s.mu.Lock()
	open := s.ln != nil
	s.mu.Unlock()
	if open {
		return nil
	}
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("rehearse: a store's address again: %w", err)
	}
	s.listen(ln)
	return nil
}

// serve reads a connection's frames. What they mean is the loop's to say.
func (s *liveStore) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		s.l.post(func() { s.l.left(s.i, conn) })
	}()
	in := bufio.NewReader(conn)
	for first := true; ; first = false {
		letter, rest, err := readFrame(in)
		if err != nil {
			return
		}
		switch letter {
		case 'R':
			parts, err := readCall(rest)
			if err != nil {
				conn.Write(frameOf('N', err.Error()))
				return
			}
			s.l.post(func() { s.l.arrive(s.i, conn, parts, first) })
		case 'A':
			s.l.post(func() { s.l.cancel(s.i, conn, string(rest)) })
		case 'T', 'G':
			s.l.post(func() { s.l.probed(s.i, conn, letter) })
		default:
			conn.Write(frameOf('N', "no such letter"))
			return
		}
	}
}

// seatOf is the broker that a scan was given to.
func (l *live) seatOf(scan string) *seat {
	if s := l.w.Judge.scans[scan]; s != nil {
		return l.w.seats[s.broker]
	}
	return nil
}

func (l *live) arrive(i int, conn net.Conn, parts []wirePart, fresh bool) {
	w, st := l.w, l.w.Stores[i]
	if st.Ails.Vanished || !st.Up() {
		return
	}
	if st.Ails.Refuses && fresh {
		l.stores[i].drop(conn)
		return
	}
	work := st.Nature.CallWork
	if fresh {
		work += st.Nature.ConnWork
	}
	for _, p := range parts {
		scan, second := scanOf(p.id)
		s := l.seatOf(scan)
		if s == nil {
			w.Judge.breach(w.now, RuleHolder, nil, "part %s, which no client asked for", p.id)
			continue
		}
		if _, lost := w.way(s.zone, st.Zone); lost {
			continue
		}
		l.refs++
		fl := &flight{seat: s.n, boot: s.boot, store: i, scan: scan, second: second, conn: conn}
		fl.part = &Part{ID: p.id, Ref: l.refs, Broker: s.n, Shard: p.shard, Until: w.now + p.wait, Text: p.text}
		if p.key != "" {
			fl.part.Key = p.key + "/" + strconv.Itoa(p.shard)
		}
		fl.part.Work = w.workOf(s, scan, p.shard, second) + work/float64(len(parts))
		w.flights[l.refs] = fl
		l.byPart[p.id] = append(l.byPart[p.id], fl)
		w.moved(st)
		w.Judge.sent(w.now, s.n, i, st, scan, p.id, p.shard, second)
		w.Judge.arrived(w.now, scan, fl.part)
		done, fell := st.Arrive(w.now, fl.part, w.rnd.Float64())
		if fell {
			w.Judge.breach(w.now, RuleCold, nil, "%s fell, %.1f s after its start", st.Name, (w.now-st.Born)/1000)
			w.reset(st)
		}
		for _, d := range done {
			if d.Ran && d.How != Silent {
				w.Judge.ran(d.At, scan, p.shard, second)
			}
			w.finish(w.flights[d.Part.Ref], d)
		}
	}
	w.work(st)
}

// finish writes a part's end to its connection when it is due.
func (l *live) finish(fl *flight, d Done) {
	w, st := l.w, l.w.Stores[fl.store]
	s := w.seats[fl.seat]
	_, lost := w.way(st.Zone, s.zone)
	if m := w.net.oneSided[s.n]; m != nil && w.rnd.Float64() < m[fl.store] {
		lost = true
	}
	load := st.Reported(w.now)
	w.at(d.At-w.now, func() {
		if fl.ended {
			return
		}
		l.end(fl)
		if lost {
			st.Wasted += d.Cost
			return
		}
		id, report := fl.part.ID, load.String()
		var frame []byte
		switch d.How {
		case Served:
			w.Judge.came(fl.scan, fl.part.Shard, fl.second)
			frame = frameOf('Y', fmt.Sprintf("%s OK %.0f %s\n%s", id, Score(fl.part.Shard, fl.part.Text), report,
				Value(fl.part.Shard, fl.part.Text, fl.second)))
		case Failed:
			frame = frameOf('Y', id+" ERROR - "+report+"\n")
		case Rejected:
			frame = frameOf('Y', id+" REJECTED - "+report+"\n")
		case Spoilt:
			frame = frameOf('Y', "what is this\n")
		case Reset:
			l.stores[fl.store].drop(fl.conn)
			return
		}
		conn := fl.conn
		l.wg.Go(func() {
			conn.SetWriteDeadline(time.Now().Add(time.Second))
			conn.Write(frame)
		})
	})
}

// end takes a dispatch off the books.
func (l *live) end(fl *flight) {
	fl.ended = true
	delete(l.w.flights, fl.part.Ref)
	l.w.Judge.over(fl.part.Ref)
	id := fl.part.ID
	if l.byPart[id] = slices.DeleteFunc(l.byPart[id], func(o *flight) bool { return o == fl }); len(l.byPart[id]) == 0 {
		delete(l.byPart, id)
	}
}

func (l *live) cancel(i int, conn net.Conn, id string) {
	for _, fl := range slices.Clone(l.byPart[id]) {
		if fl.store == i && fl.conn == conn {
			l.end(fl)
			l.w.Stores[i].Cancel(l.w.now, fl.part.Ref)
		}
	}
}

// left says that a connection has ended: what was out on it is out no longer.
func (l *live) left(i int, conn net.Conn) {
	for _, fl := range l.w.flightsAt(i) {
		if fl.conn == conn {
			l.end(fl)
			l.w.Stores[i].Cancel(l.w.now, fl.part.Ref)
		}
	}
}

func (l *live) probed(i int, conn net.Conn, letter byte) {
	st := l.w.Stores[i]
	if st.Ails.Mute || st.Ails.Vanished || !st.Up() {
		return
	}
	answer := "OK"
	if letter == 'T' {
		l.w.tally.f.Probes++
		answer = st.Reported(l.w.now).String()
	}
	l.wg.Go(func() { conn.Write(frameOf(letter, answer)) })
}

// drop resets one connection.
func (s *liveStore) drop(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// reset follows a store's death, and revive its return.
func (l *live) reset(i int) {
	for _, fl := range l.w.flightsAt(i) {
		l.end(fl) // whatever its connections still say: from this moment on nothing is out here
	}
	if st := l.w.Stores[i]; st.Ails.Dead || st.Fell {
		l.stores[i].shut()
	} else {
		l.stores[i].mu.Lock()
		for c := range l.stores[i].conns {
			c.Close()
		}
		l.stores[i].mu.Unlock()
	}
}

func (l *live) revive(i int) {
	if err := l.stores[i].reopen(); err != nil && l.w.err == nil {
		l.w.err = err
	}
}

func (l *live) dial(host string) string { return l.stores[l.w.byHost[host]].addr }

// told has a change reach a broker's agent.
func (l *live) told(s *seat, e core.Node) {
	b := l.brokers[s.n]
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	b.changes = append(b.changes, change{b.seq, e})
	at := slices.IndexFunc(b.whole, func(n core.Node) bool { return n.Host == e.Host })
	switch {
	case at >= 0 && e.Readiness == logic.Gone:
		b.whole = slices.Delete(b.whole, at, at+1)
	case at >= 0:
		b.whole[at] = e
	case e.Readiness != logic.Gone:
		b.whole = append(b.whole, e)
	}
	close(b.news)
	b.news = make(chan struct{})
}

// hush makes discovery say nothing, or speak again.
func (l *live) hush(silent bool) {
	for _, b := range l.brokers {
		b.mu.Lock()
		b.silent = silent
		close(b.news)
		b.news = make(chan struct{})
		b.mu.Unlock()
	}
}

func (b *liveBroker) openAgent() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("rehearse: discovery's address: %w", err)
	}
	b.agent = ln
	b.l.wg.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			b.l.wg.Go(func() {
				stop := context.AfterFunc(b.l.ctx, func() { conn.Close() })
				defer stop()
				answerOnce(conn, b.discovery)
			})
		}
	})
	return nil
}

// discovery answers one call for the list: whole, or what is newer once there is something.
func (b *liveBroker) discovery(req *http.Request) (int, any) {
	q := req.URL.Query()
	since, err := strconv.ParseInt(q.Get("since"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("timeout_ms"))
	over := time.NewTimer(min(time.Duration(wait)*time.Millisecond, watchMost))
	defer over.Stop()
	for {
		b.mu.Lock()
		silent, news := b.silent, b.news
		if !silent && (q.Get("since") == "" || err != nil || since > b.seq || len(b.changes) > 0 && since < b.changes[0].seq-1) {
			v := listing(b.seq, true, b.whole, b.l.dial)
			b.mu.Unlock()
			return http.StatusOK, v
		}
		if !silent && since < b.seq {
			var some []core.Node
			for _, c := range b.changes {
				if c.seq > since {
					some = append(some, c.node)
				}
			}
			v := listing(b.seq, false, some, b.l.dial)
			b.mu.Unlock()
			return http.StatusOK, v
		}
		seq := b.seq
		b.mu.Unlock()
		select {
		case <-news:
		case <-over.C:
			if silent {
				<-b.l.ctx.Done()
				return 0, nil
			}
			return http.StatusOK, listing(seq, false, nil, b.l.dial)
		case <-b.l.ctx.Done():
			return 0, nil
		}
	}
}

// start starts the broker's process, with the list that it had last.
func (b *liveBroker) start() error {
	w := b.l.w
	if b.addr == "" {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("rehearse: a broker's address: %w", err)
		}
		b.addr = ln.Addr().String()
		ln.Close()
	}
	b.mu.Lock()
	known := listing(b.seq, true, b.whole, b.l.dial)
	b.mu.Unlock()
	text, err := json.Marshal(map[string]any{"name": brokerName(b.s.n), "listen": b.addr, "discovery": b.agent.Addr().String(),
		"seed": fmt.Sprintf("%016x", w.seed*1000003+uint64(b.s.n)*131+uint64(b.s.boot)), "limits": map[string]any{"memory_mb": 192, "sockets": 1024},
		"known": known, "settings": tree(w.Fleet.settings(b.s.n, b.s.zone))})
	if err != nil {
		return fmt.Errorf("rehearse: %w", err)
	}
	path := filepath.Join(b.l.dir, fmt.Sprintf("b%d.json", b.s.n))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return fmt.Errorf("rehearse: %w", err)
	}
	if b.log == nil {
		if b.log, err = os.Create(filepath.Join(b.l.dir, fmt.Sprintf("b%d.log", b.s.n))); err != nil {
			return fmt.Errorf("rehearse: %w", err)
		}
	}
	args := slices.Clone(b.l.program[1:])
	if w.Share > 0 || w.Fleet.Confined.Count > 0 || len(w.Fleet.Limits) > 0 || w.Fleet.Notes || w.Fleet.Verdicts {
		doc := filepath.Join(b.l.dir, fmt.Sprintf("b%d.hcl", b.s.n))
		if err := os.WriteFile(doc, []byte(b.features()), 0o600); err != nil {
			return fmt.Errorf("rehearse: %w", err)
		}
		args = append(args, "--features", doc)
	}
	if b.proc, err = rig.Launch(append([]string{b.l.program[0]}, args...), []string{"GW_CONFIG=" + path}, b.log); err != nil {
		return fmt.Errorf("rehearse: %w", err)
	}
	return nil
}

// features is the brokers' document: shared probing, limits and cells.
func (b *liveBroker) features() (doc string) {
	if c := b.l.w.Fleet.Confined; c.Count > 0 {
		doc = fmt.Sprintf("cells {\n  holders = %d\n  least_share = %g\n", c.Holders, c.Least)
		for i := range c.Count {
			doc += fmt.Sprintf("  cell %q {\n", cellName(i))
			if c.Open > 0 {
				doc += fmt.Sprintf("    open_scans = %d\n", c.Open)
			}
			if c.Rate > 0 {
				doc += fmt.Sprintf("    scans_per_s = %g\n    burst = %g\n", c.Rate, max(1, c.Rate/5))
			}
			doc += "  }\n"
		}
		doc += "}\n"
	}
	w := b.l.w
	if w.Share == 0 && len(w.Fleet.Limits) == 0 && !w.Fleet.Notes && !w.Fleet.Verdicts {
		return doc
	}
	var members strings.Builder
	for _, m := range b.l.members {
		fmt.Fprintf(&members, "    %s = %q\n", m.Name, m.Advertise)
	}
	self := b.l.members[b.s.n]
	doc += fmt.Sprintf("sharing {\n  listen = %q\n  advertise = %q\n  members = {\n%s  }\n  key \"1\" {\n    secret = %q\n  }\n", self.UDP, self.Advertise, members.String(),
		strings.Repeat("5e", 32))
	if w.Fleet.Notes {
		doc += "  notes = true\n"
	}
	if w.Fleet.Verdicts {
		doc += "  verdicts {\n  }\n"
	}
	if w.Share > 0 {
		doc += fmt.Sprintf("  duty \"probing\" {\n    period = %q\n  }\n", w.Share)
	}
	doc += "}\n"
	for _, x := range w.Fleet.Limits {
		doc += x.document()
	}
	return doc
}

// cutBrokers stops what brokers send others, one way each, or lets it pass again.
func (l *live) cutBrokers(pairs [][2]int, cut bool) {
	for _, p := range pairs {
		l.between.Set(p[0], p[1], func(k *rig.Link) { k.Cut = cut })
	}
}

func (l *live) loseBrokers(share float64) { l.between.All(func(k *rig.Link) { k.Loss = share }) }

func (b *liveBroker) awaitReady() error {
	for begun := time.Now(); time.Since(begun) < readyWithin && b.l.ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", b.addr, time.Second)
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprintf(conn, "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		conn.Close()
		if err == nil && res.StatusCode == http.StatusOK {
			return nil
		}
	}
	text, _ := os.ReadFile(b.log.Name())
	return fmt.Errorf("rehearse: broker %d was not ready within %v: %.500s", b.s.n, readyWithin, text)
}

func (b *liveBroker) kill() {
	if b.proc != nil {
		u := b.proc.Kill()
		b.usage.CPUSeconds += float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
		b.usage.MaxRSSMB = max(b.usage.MaxRSSMB, float64(u.Maxrss)/1024)
		b.proc = nil
	}
	for _, c := range b.idle {
		c.conn.Close()
	}
	b.idle = nil
}

func (l *live) kill(s *seat) { l.brokers[s.n].kill() }

// restart starts a killed broker again; clients come once it is ready.
func (l *live) restart(s *seat) {
	b := l.brokers[s.n]
	if err := b.start(); err != nil {
		l.w.err = err
		return
	}
	l.wg.Go(func() {
		err := b.awaitReady()
		l.post(func() {
			if err != nil && l.w.err == nil {
				l.w.err = err
			}
			s.up, s.noticed = true, false
		})
	})
}

func (l *live) pause(s *seat, on bool) {
	sig := syscall.SIGSTOP
	if !on {
		sig = syscall.SIGCONT
	}
	if b := l.brokers[s.n]; b.proc != nil {
		b.proc.Signal(sig)
	}
}

// send has a client ask its broker, and posts the answer.
func (l *live) send(s *seat, t *try) {
	b, w := l.brokers[s.n], l.w
	left := t.a.budget - (w.now - t.a.began)
	tenant := ""
	if w.Fleet.Traffic.Tenants > 0 {
		tenant = tenantName(t.a.tenant)
	}
	text, err := request(b.addr, t.sc, w.Fleet.Types[t.a.typ].Name, tenant, left)
	if err != nil {
		w.err = err
		return
	}
	var c *clientConn
	if n := len(b.idle); n > 0 {
		c, b.idle = b.idle[n-1], b.idle[:n-1]
	}
	addr := b.addr
	l.wg.Go(func() {
		r, c, err := exchange(addr, c, text, time.Duration((left+3*slack)*1e6))
		l.post(func() {
			if c != nil {
				if s.boot == t.boot && len(b.idle) < 200 {
					b.idle = append(b.idle, c)
				} else {
					c.conn.Close()
				}
			}
			if s.open[t.sc.ID] != t {
				return // its time was up, or its broker was killed
			}
			if err != nil {
				if j := w.Judge.scans[t.sc.ID]; j != nil && !errors.Is(err, os.ErrDeadlineExceeded) && s.up {
					w.Judge.breach(w.now, RuleLost, j, "the connection ended without an answer: %v", err)
					j.released = true
				}
				delete(s.open, t.sc.ID)
				w.again(t.a, logic.Abandon, 0)
				return
			}
			r.Scan = t.sc
			w.reply(s, r)
		})
	})
}

// exchange sends a request and reads its answer, once more on a new connection where an old one had been closed.
func exchange(addr string, c *clientConn, text []byte, within time.Duration) (r core.Reply, _ *clientConn, err error) {
	for old := c != nil; ; old = false {
		if c == nil {
			conn, err := net.DialTimeout("tcp", addr, within)
			if err != nil {
				return r, nil, err
			}
			c = &clientConn{conn, bufio.NewReader(conn)}
		}
		c.conn.SetDeadline(time.Now().Add(within))
		var last bool
		if _, err = c.conn.Write(text); err == nil {
			r, last, err = response(c.in)
		}
		if err == nil && !last {
			return r, c, nil
		}
		c.conn.Close()
		if err == nil || !old || errors.Is(err, os.ErrDeadlineExceeded) {
			return r, nil, err
		}
		c = nil
	}
}
