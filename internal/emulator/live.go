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

// loopback runs a world in real time on the loopback interface. The brokers are processes; stores, discovery and clients
// are emulated behind real sockets. One goroutine, the event loop, owns the world; the goroutines that read sockets post
// functions to it.
type live struct {
	w       *World
	ctx     context.Context
	program []string // command line of a broker
	dir     string   // temporary directory for configuration and log files
	begun   time.Time
	posted  chan func() // functions for the event loop
	stores  []*liveStore
	brokers []*liveBroker
	refs    int64                // last dispatch reference in use
	byPart  map[string][]*flight // dispatches in progress by part ID
	wg      sync.WaitGroup
	between *rig.Switch   // forwards datagrams between brokers
	members []*rig.Member // the brokers as endpoints of that switch
}

// storeServer is the TCP listener of a store and its open connections.
type liveStore struct {
	l     *live
	i     int // index of the store in World.Stores
	addr  string
	ln    net.Listener // nil while the store is down
	mu    sync.Mutex   // guards listener and conns
	conns map[net.Conn]struct{}
}

// brokerProcess is the process of a broker and the discovery agent on the same machine.
type liveBroker struct {
	l       *live
	s       *seat
	addr    string
	agent   net.Listener
	proc    *rig.Process // nil while the broker is down
	log     *os.File
	mu      sync.Mutex // guards the agent's copy of the node list: the five fields below
	seq     int64      // version of the list
	changes []change
	whole   []core.Node
	news    chan struct{} // closed and replaced on each change of the list or of silent
	silent  bool          // the agent does not answer requests
	idle    []*clientConn // connections of clients that can be reused
	usage   Usage
}

// Usage is the resource usage of all processes of one broker: total CPU time in seconds and the largest resident set
// size in MiB.
type Usage struct {
	CPUSeconds float64 `json:"cpu_seconds"`
	MaxRSSMB   float64 `json:"max_rss_mb"`
}

// listChange is one change of the node list.
type change struct {
	seq  int64
	node core.Node
}

// clientConn is an HTTP connection from an emulated client to a broker.
type clientConn struct {
	conn net.Conn
	in   *bufio.Reader
}

const (
	// maxReportSkew is the time in ms by which the event that ends one dispatch may be seen after the event that starts
	// the next one: two goroutines read the two connections, and other load on the machine can delay either.
	wordMost    = 25.0
	readyWithin = 10 * time.Second // for a broker to answer its health check after its start
	postedMost  = 4096             // functions queued for the event loop
	watchMost   = 60 * time.Second // upper bound of the wait in a list request
)

// RunLoopback runs a world on loopback in real time for durationMs and for as long as open scans may take after that.
// program is the command line of a broker, such as gullstair serve --log error; the environment variable GW_CONFIG names
// its start file. All processes, sockets and goroutines are stopped before RunLoopback returns. If ctx ends early, the
// figures cover the time up to then. It returns an error if a socket or a broker cannot be started.
func (w *World) RunLive(ctx context.Context, durationMs float64, program ...string) (figures Figures, err error) {
	dir, err := os.MkdirTemp("", "rehearse")
	if err != nil {
		return figures, fmt.Errorf("rehearse: %w", err)
	}
	defer os.RemoveAll(dir)
	l := &live{w: w, program: program, dir: dir, posted: make(chan func(), postedMost), byPart: map[string][]*flight{}}
	var cancel context.CancelFunc
	l.ctx, cancel = context.WithCancel(ctx)
	w.live = l
	w.Judge.later = func(check func()) { w.at(wordMost, check) }
	defer func() {
		cancel()
		l.close()
		for _, b := range l.brokers {
			figures.Brokers = append(figures.Brokers, b.usage)
		}
	}()
	for i := range w.Stores {
		if err := l.open(i); err != nil {
			return figures, err
		}
	}
	for _, s := range w.seats {
		b := &liveBroker{l: l, s: s, news: make(chan struct{}), whole: slices.Clone(w.states), seq: 1}
		l.brokers = append(l.brokers, b)
		if err := b.openAgent(); err != nil {
			return figures, err
		}
		member := &rig.Member{Name: brokerName(s.n), Index: s.n}
		if member.UDP, err = rig.FreeAddr("udp"); err != nil {
			return figures, fmt.Errorf("rehearse: allocate a UDP address for a broker: %w", err)
		}
		l.members = append(l.members, member)
	}
	if l.between, err = rig.NewSwitch(l.members, w.seed); err != nil {
		return figures, err
	}
	defer l.between.Close()
	for _, b := range l.brokers {
		if err := b.start(); err != nil {
			return figures, err
		}
	}
	for _, b := range l.brokers {
		if err := b.awaitReady(); err != nil {
			return figures, err
		}
	}
	return l.run(durationMs)
}

// run is the event loop. It executes timed events once their time has come and functions posted by sockets, one at a time.
func (l *live) run(durationMs float64) (Figures, error) {
	w := l.w
	l.begun = time.Now()
	w.ending = durationMs
	w.arrivals()
	w.sweep()
	stopAt := durationMs
	for _, t := range w.Fleet.Types {
		stopAt = max(stopAt, durationMs+t.Timeout+500)
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for w.err == nil {
		w.now = float64(time.Since(l.begun)) / 1e6
		if w.now >= stopAt || l.ctx.Err() != nil {
			break
		}
		if w.q.len() > 0 && w.q.heap[0].at <= w.now {
			w.Events++
			w.q.pop().do()
			continue
		}
		wait := stopAt - w.now
		if w.q.len() > 0 {
			wait = min(wait, w.q.heap[0].at-w.now)
		}
		timer.Reset(time.Duration(wait * float64(time.Millisecond)))
		select {
		case fn := <-l.posted:
			w.now = float64(time.Since(l.begun)) / 1e6
			w.Events++
			fn()
		case <-timer.C:
		case <-l.ctx.Done():
		}
	}
	playedMs := w.now
	if l.ctx.Err() == nil {
		w.Judge.sweep(playedMs, true)
	}
	figures := w.close(playedMs)
	figures.WallSeconds = time.Since(l.begun).Seconds()
	return figures, w.err
}

// post queues a function for the event loop. It drops the function once the run has ended.
func (l *live) post(fn func()) {
	select {
	case l.posted <- fn:
	case <-l.ctx.Done():
	}
}

// close stops all brokers and sockets and waits for every goroutine of the run.
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
		case <-l.posted: // drain the channel so that no goroutine blocks in post
		case <-done:
			return
		}
	}
}

// openStore listens on a free loopback port for the store with this index.
func (l *live) open(i int) error {
	server := &liveStore{l: l, i: i, conns: map[net.Conn]struct{}{}}
	l.stores = append(l.stores, server)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("rehearse: listen for a store: %w", err)
	}
	server.addr = ln.Addr().String()
	server.listen(ln)
	return nil
}

// listen accepts connections on ln and serves each in its own goroutine.
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

// closeSockets closes the listener and resets all connections, so that new connections are refused.
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

// reopen listens again on the previous address of the store. It does nothing if the store is listening.
func (s *liveStore) reopen() error {
	s.mu.Lock()
	open := s.ln != nil
	s.mu.Unlock()
	if open {
		return nil
	}
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("rehearse: listen again for a store: %w", err)
	}
	s.listen(ln)
	return nil
}

// serveConn reads the frames of a connection and posts them to the event loop, which handles them.
func (s *liveStore) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		s.l.post(func() { s.l.left(s.i, conn) })
	}()
	in := bufio.NewReader(conn)
	for newConn := true; ; newConn = false {
		frameType, body, err := readFrame(in)
		if err != nil {
			return
		}
		switch frameType {
		case 'R':
			parts, err := readCall(body)
			if err != nil {
				conn.Write(frameOf('N', err.Error()))
				return
			}
			s.l.post(func() { s.l.arrive(s.i, conn, parts, newConn) })
		case 'A':
			s.l.post(func() { s.l.cancel(s.i, conn, string(body)) })
		case 'T', 'G':
			s.l.post(func() { s.l.probed(s.i, conn, frameType) })
		default:
			conn.Write(frameOf('N', "no such letter"))
			return
		}
	}
}

// brokerOf returns the broker to which a client sent the scan, or nil if the scan is unknown.
func (l *live) seatOf(scanID string) *seat {
	if record := l.w.Judge.scans[scanID]; record != nil {
		return l.w.seats[record.broker]
	}
	return nil
}

// receiveParts handles a call frame: it gives each part to the store. newConn is true for the first frame of a connection;
// the call then also costs the work of a new connection.
func (l *live) arrive(index int, conn net.Conn, parts []wirePart, newConn bool) {
	w, target := l.w, l.w.Stores[index]
	if target.Ails.Vanished || !target.Up() {
		return
	}
	if target.Ails.Refuses && newConn {
		l.stores[index].drop(conn)
		return
	}
	work := target.Nature.CallWork
	if newConn {
		work += target.Nature.ConnWork
	}
	for _, p := range parts {
		scan, second := scanOf(p.id)
		broker := l.seatOf(scan)
		if broker == nil {
			w.Judge.breach(w.now, RuleHolder, nil, "part %s, which no client asked for", p.id)
			continue
		}
		if _, lost := w.way(broker.zone, target.Zone); lost {
			continue
		}
		l.refs++
		disp := &flight{seat: broker.n, boot: broker.boot, store: index, scan: scan, second: second, conn: conn}
		disp.part = &Part{ID: p.id, Ref: l.refs, Broker: broker.n, Shard: p.shard, Until: w.now + p.wait, Text: p.text}
		if p.key != "" {
			disp.part.Key = p.key + "/" + strconv.Itoa(p.shard)
		}
		disp.part.Work = w.workOf(broker, scan, p.shard, second) + work/float64(len(parts))
		w.flights[l.refs] = disp
		l.byPart[p.id] = append(l.byPart[p.id], disp)
		w.moved(target)
		w.Judge.sent(w.now, broker.n, index, target, scan, p.id, p.shard, second)
		w.Judge.arrived(w.now, scan, disp.part)
		completions, overloaded := target.Arrive(w.now, disp.part, w.rnd.Float64())
		if overloaded {
			w.Judge.breach(w.now, RuleCold, nil, "%s fell, %.1f s after its start", target.Name, (w.now-target.Born)/1000)
			w.reset(target)
		}
		for _, c := range completions {
			if c.Ran && c.How != Silent {
				w.Judge.ran(c.At, scan, p.shard, second)
			}
			w.finish(w.flights[c.Part.Ref], c)
		}
	}
	w.work(target)
}

// scheduleAnswer writes the answer for a completed part to its connection at the time of completion, unless the network
// loses it. The load report is taken now, not at that time.
func (l *live) finish(disp *flight, c Done) {
	w, store := l.w, l.w.Stores[disp.store]
	broker := w.seats[disp.seat]
	_, lost := w.way(store.Zone, broker.zone)
	if lossByStore := w.net.oneSided[broker.n]; lossByStore != nil && w.rnd.Float64() < lossByStore[disp.store] {
		lost = true
	}
	report := store.Reported(w.now)
	w.at(c.At-w.now, func() {
		if disp.ended {
			return
		}
		l.end(disp)
		if lost {
			store.Wasted += c.Cost
			return
		}
		partID, reportText := disp.part.ID, report.String()
		var frame []byte
		switch c.How {
		case Served:
			w.Judge.came(disp.scan, disp.part.Shard, disp.second)
			frame = frameOf('Y', fmt.Sprintf("%s OK %.0f %s\n%s", partID, Score(disp.part.Shard, disp.part.Text), reportText,
				Value(disp.part.Shard, disp.part.Text, disp.second)))
		case Failed:
			frame = frameOf('Y', partID+" ERROR - "+reportText+"\n")
		case Rejected:
			frame = frameOf('Y', partID+" REJECTED - "+reportText+"\n")
		case Spoilt:
			frame = frameOf('Y', "what is this\n")
		case Reset:
			l.stores[disp.store].drop(disp.conn)
			return
		}
		conn := disp.conn
		l.wg.Go(func() {
			conn.SetWriteDeadline(time.Now().Add(time.Second))
			conn.Write(frame)
		})
	})
}

// endDispatch removes a dispatch from all indexes and reports its end to the checker.
func (l *live) end(disp *flight) {
	disp.ended = true
	delete(l.w.flights, disp.part.Ref)
	l.w.Judge.over(disp.part.Ref)
	partID := disp.part.ID
	if l.byPart[partID] = slices.DeleteFunc(l.byPart[partID], func(other *flight) bool { return other == disp }); len(l.byPart[partID]) == 0 {
		delete(l.byPart, partID)
	}
}

// cancelPart handles a cancel frame: it ends the dispatches of the part that came on this connection.
func (l *live) cancel(index int, conn net.Conn, partID string) {
	for _, disp := range slices.Clone(l.byPart[partID]) {
		if disp.store == index && disp.conn == conn {
			l.end(disp)
			l.w.Stores[index].Cancel(l.w.now, disp.part.Ref)
		}
	}
}

// connClosed ends all dispatches that came on a connection which has closed.
func (l *live) left(index int, conn net.Conn) {
	for _, disp := range l.w.flightsAt(index) {
		if disp.conn == conn {
			l.end(disp)
			l.w.Stores[index].Cancel(l.w.now, disp.part.Ref)
		}
	}
}

// answerProbe answers a load probe (frame T) with the load report and a health probe (frame G) with OK.
func (l *live) probed(index int, conn net.Conn, frameType byte) {
	store := l.w.Stores[index]
	if store.Ails.Mute || store.Ails.Vanished || !store.Up() {
		return
	}
	answer := "OK"
	if frameType == 'T' {
		l.w.tally.f.Probes++
		answer = store.Reported(l.w.now).String()
	}
	l.wg.Go(func() { conn.Write(frameOf(frameType, answer)) })
}

// resetConn resets a connection: a linger time of 0 makes the kernel send RST instead of FIN.
func (s *liveStore) drop(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// resetStore ends all dispatches at a store and closes its connections. If the store is down, its listener closes too.
func (l *live) reset(index int) {
	for _, disp := range l.w.flightsAt(index) {
		l.end(disp) // frames that its connections still deliver no longer count
	}
	if store := l.w.Stores[index]; store.Ails.Dead || store.Fell {
		l.stores[index].shut()
	} else {
		l.stores[index].mu.Lock()
		for c := range l.stores[index].conns {
			c.Close()
		}
		l.stores[index].mu.Unlock()
	}
}

// reopenStore lets a store accept connections again after it was down.
func (l *live) revive(index int) {
	if err := l.stores[index].reopen(); err != nil && l.w.err == nil {
		l.w.err = err
	}
}

// addressOf returns the TCP address of the store with this host name.
func (l *live) dial(host string) string { return l.stores[l.w.byHost[host]].addr }

// publishChange applies the new state of a node to the list of a broker's discovery agent and wakes pending requests.
func (l *live) told(broker *seat, node core.Node) {
	b := l.brokers[broker.n]
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	b.changes = append(b.changes, change{b.seq, node})
	index := slices.IndexFunc(b.whole, func(n core.Node) bool { return n.Host == node.Host })
	switch {
	case index >= 0 && node.Readiness == logic.Gone:
		b.whole = slices.Delete(b.whole, index, index+1)
	case index >= 0:
		b.whole[index] = node
	case node.Readiness != logic.Gone:
		b.whole = append(b.whole, node)
	}
	close(b.news)
	b.news = make(chan struct{})
}

// setDiscoverySilent makes all discovery agents stop or resume answering.
func (l *live) hush(silent bool) {
	for _, b := range l.brokers {
		b.mu.Lock()
		b.silent = silent
		close(b.news)
		b.news = make(chan struct{})
		b.mu.Unlock()
	}
}

// startAgent listens for list requests to the broker's discovery agent.
func (b *liveBroker) openAgent() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("rehearse: listen for a discovery agent: %w", err)
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

// answerListRequest answers one request for the node list. It returns the full list if the request names no version or
// one that the agent no longer has; otherwise it waits up to timeout_ms for changes after that version and returns them.
// While discovery is silent, no answer is sent; status 0 closes the connection.
func (b *liveBroker) discovery(req *http.Request) (int, any) {
	query := req.URL.Query()
	since, err := strconv.ParseInt(query.Get("since"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("timeout_ms"))
	timeout := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, watchMost))
	defer timeout.Stop()
	for {
		b.mu.Lock()
		silent, listChanged := b.silent, b.news
		if !silent && (query.Get("since") == "" || err != nil || since > b.seq || len(b.changes) > 0 && since < b.changes[0].seq-1) {
			list := listing(b.seq, true, b.whole, b.l.dial)
			b.mu.Unlock()
			return http.StatusOK, list
		}
		if !silent && since < b.seq {
			var newer []core.Node
			for _, c := range b.changes {
				if c.seq > since {
					newer = append(newer, c.node)
				}
			}
			list := listing(b.seq, false, newer, b.l.dial)
			b.mu.Unlock()
			return http.StatusOK, list
		}
		version := b.seq
		b.mu.Unlock()
		select {
		case <-listChanged:
		case <-timeout.C:
			if silent {
				<-b.l.ctx.Done()
				return 0, nil
			}
			return http.StatusOK, listing(version, false, nil, b.l.dial)
		case <-b.l.ctx.Done():
			return 0, nil
		}
	}
}

// startProcess starts the broker process. Its start file contains the node list as its discovery agent has it. The address
// and the log file stay the same over restarts.
func (b *liveBroker) start() error {
	w := b.l.w
	if b.addr == "" {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("rehearse: allocate a TCP address for a broker: %w", err)
		}
		b.addr = ln.Addr().String()
		ln.Close()
	}
	b.mu.Lock()
	list := listing(b.seq, true, b.whole, b.l.dial)
	b.mu.Unlock()
	config, err := json.Marshal(map[string]any{"name": brokerName(b.s.n), "listen": b.addr, "discovery": b.agent.Addr().String(),
		"seed": fmt.Sprintf("%016x", w.seed*1000003+uint64(b.s.n)*131+uint64(b.s.boot)), "limits": map[string]any{"memory_mb": 192, "sockets": 1024},
		"known": list, "settings": tree(w.Fleet.settings(b.s.n, b.s.zone))})
	if err != nil {
		return fmt.Errorf("rehearse: %w", err)
	}
	configPath := filepath.Join(b.l.dir, fmt.Sprintf("b%d.json", b.s.n))
	if err := os.WriteFile(configPath, config, 0o600); err != nil {
		return fmt.Errorf("rehearse: %w", err)
	}
	if b.log == nil {
		if b.log, err = os.Create(filepath.Join(b.l.dir, fmt.Sprintf("b%d.log", b.s.n))); err != nil {
			return fmt.Errorf("rehearse: %w", err)
		}
	}
	args := slices.Clone(b.l.program[1:])
	if w.Share > 0 || w.Fleet.Confined.Count > 0 || len(w.Fleet.Limits) > 0 || w.Fleet.Notes || w.Fleet.Verdicts {
		featuresPath := filepath.Join(b.l.dir, fmt.Sprintf("b%d.hcl", b.s.n))
		if err := os.WriteFile(featuresPath, []byte(b.features()), 0o600); err != nil {
			return fmt.Errorf("rehearse: %w", err)
		}
		args = append(args, "--features", featuresPath)
	}
	if b.proc, err = rig.Launch(append([]string{b.l.program[0]}, args...), []string{"GW_CONFIG=" + configPath}, b.log); err != nil {
		return fmt.Errorf("rehearse: %w", err)
	}
	return nil
}

// featuresDocument returns the features document (HCL) of the broker: cells, sharing between brokers and fleet limits.
func (b *liveBroker) features() (doc string) {
	if cells := b.l.w.Fleet.Confined; cells.Count > 0 {
		doc = fmt.Sprintf("cells {\n  holders = %d\n  least_share = %g\n", cells.Holders, cells.Least)
		for i := range cells.Count {
			doc += fmt.Sprintf("  cell %q {\n", cellName(i))
			if cells.Open > 0 {
				doc += fmt.Sprintf("    open_scans = %d\n", cells.Open)
			}
			if cells.Rate > 0 {
				doc += fmt.Sprintf("    scans_per_s = %g\n    burst = %g\n", cells.Rate, max(1, cells.Rate/5))
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
	for _, limit := range w.Fleet.Limits {
		doc += limit.document()
	}
	return doc
}

// setBrokerLinksCut blocks or unblocks datagrams from the first broker of each pair to the second.
func (l *live) cutBrokers(pairs [][2]int, cut bool) {
	for _, pair := range pairs {
		l.between.Set(pair[0], pair[1], func(direction *rig.Link) { direction.Cut = cut })
	}
}

// setBrokerLoss sets the share of datagrams lost between brokers.
func (l *live) loseBrokers(share float64) {
	l.between.All(func(direction *rig.Link) { direction.Loss = share })
}

// waitReady polls the health check of the broker until it succeeds. After readyTimeout it returns an error with the
// beginning of the broker's log.
func (b *liveBroker) awaitReady() error {
	for started := time.Now(); time.Since(started) < readyWithin && b.l.ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", b.addr, time.Second)
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprintf(conn, "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		conn.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	logText, _ := os.ReadFile(b.log.Name())
	return fmt.Errorf("rehearse: broker %d was not ready within %v: %.500s", b.s.n, readyWithin, logText)
}

// killProcess kills the broker process, adds its resource usage and closes the idle client connections.
func (b *liveBroker) kill() {
	if b.proc != nil {
		rusage := b.proc.Kill()
		b.usage.CPUSeconds += float64(rusage.Utime.Nano()+rusage.Stime.Nano()) / 1e9
		b.usage.MaxRSSMB = max(b.usage.MaxRSSMB, float64(rusage.Maxrss)/1024)
		b.proc = nil
	}
	for _, c := range b.idle {
		c.conn.Close()
	}
	b.idle = nil
}

// killBroker kills the process of a broker.
func (l *live) kill(broker *seat) { l.brokers[broker.n].kill() }

// restartBroker starts a killed broker again. Clients send to it once its health check succeeds.
func (l *live) restart(broker *seat) {
	b := l.brokers[broker.n]
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
			broker.up, broker.noticed = true, false
		})
	})
}

// setBrokerPaused stops the process of a broker with SIGSTOP or continues it with SIGCONT.
func (l *live) pause(broker *seat, paused bool) {
	sig := syscall.SIGSTOP
	if !paused {
		sig = syscall.SIGCONT
	}
	if b := l.brokers[broker.n]; b.proc != nil {
		b.proc.Signal(sig)
	}
}

// sendRequest sends the HTTP request of a client to its broker and posts the answer to the event loop.
func (l *live) send(broker *seat, attempt *try) {
	b, w := l.brokers[broker.n], l.w
	timeLeft := attempt.a.budget - (w.now - attempt.a.began)
	tenant := ""
	if w.Fleet.Traffic.Tenants > 0 {
		tenant = tenantName(attempt.a.tenant)
	}
	payload, err := request(b.addr, attempt.sc, w.Fleet.Types[attempt.a.typ].Name, tenant, timeLeft)
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
		reply, c, err := exchange(addr, c, payload, time.Duration((timeLeft+3*slack)*1e6))
		l.post(func() {
			if c != nil {
				if broker.boot == attempt.boot && len(b.idle) < 200 {
					b.idle = append(b.idle, c)
				} else {
					c.conn.Close()
				}
			}
			if broker.open[attempt.sc.ID] != attempt {
				return // the request timed out or the broker was killed
			}
			if err != nil {
				if record := w.Judge.scans[attempt.sc.ID]; record != nil && !errors.Is(err, os.ErrDeadlineExceeded) && broker.up {
					w.Judge.breach(w.now, RuleLost, record, "the connection ended without an answer: %v", err)
					record.released = true
				}
				delete(broker.open, attempt.sc.ID)
				w.again(attempt.a, logic.Abandon, 0)
				return
			}
			reply.Scan = attempt.sc
			w.reply(broker, reply)
		})
	})
}

// roundTrip sends a request and reads the answer. If c is a reused connection that fails for another reason than the
// timeout, it retries once on a new connection, since the broker may have closed c while it was idle. It returns the
// connection if it can be reused, else nil.
func exchange(addr string, c *clientConn, payload []byte, timeout time.Duration) (reply core.Reply, _ *clientConn, err error) {
	for reused := c != nil; ; reused = false {
		if c == nil {
			conn, err := net.DialTimeout("tcp", addr, timeout)
			if err != nil {
				return reply, nil, err
			}
			c = &clientConn{conn, bufio.NewReader(conn)}
		}
		c.conn.SetDeadline(time.Now().Add(timeout))
		var closing bool
		if _, err = c.conn.Write(payload); err == nil {
			reply, closing, err = response(c.in)
		}
		if err == nil && !closing {
			return reply, c, nil
		}
		c.conn.Close()
		if err == nil || !reused || errors.Is(err, os.ErrDeadlineExceeded) {
			return reply, nil, err
		}
		c = nil
	}
}
