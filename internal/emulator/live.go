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
	"gullstair/internal/fleettest"
	"gullstair/logic"
)

// loopback runs a world in real time on the loopback interface. The brokers are processes; stores, discovery and clients
// are emulated behind real sockets. One goroutine, the event loop, owns the world; the goroutines that read sockets post
// functions to it.
type loopback struct {
	w                *World
	ctx              context.Context
	program          []string // command line of a broker
	dir              string   // temporary directory for configuration and log files
	startedAt        time.Time
	pending          chan func() // functions for the event loop
	stores           []*storeServer
	brokers          []*brokerProcess
	lastRef          int64                  // last dispatch reference in use
	dispatchesByPart map[string][]*dispatch // dispatches in progress by part ID
	wg               sync.WaitGroup
	brokerNetwork    *fleettest.Switch   // forwards datagrams between brokers
	members          []*fleettest.Member // the brokers as endpoints of that switch
}

// storeServer is the TCP listener of a store and its open connections.
type storeServer struct {
	l        *loopback
	index    int // index of the store in World.Stores
	addr     string
	listener net.Listener // nil while the store is down
	mu       sync.Mutex   // guards listener and conns
	conns    map[net.Conn]struct{}
}

// brokerProcess is the process of a broker and the discovery agent on the same machine.
type brokerProcess struct {
	l             *loopback
	broker        *emulatedBroker
	addr          string
	agentListener net.Listener
	process       *fleettest.Process // nil while the broker is down
	logFile       *os.File
	mu            sync.Mutex // guards the agent's copy of the node list: the five fields below
	listVersion   int64      // version of the list
	changes       []listChange
	fullList      []core.Node
	listChanged   chan struct{} // closed and replaced on each change of the list or of silent
	silent        bool          // the agent does not answer requests
	idleConns     []*clientConn // connections of clients that can be reused
	usage         Usage
}

// Usage is the resource usage of all processes of one broker: total CPU time in seconds and the largest resident set
// size in MiB.
type Usage struct {
	CPUSeconds float64 `json:"cpu_seconds"`
	MaxRSSMB   float64 `json:"max_rss_mb"`
}

// listChange is one change of the node list.
type listChange struct {
	version int64
	node    core.Node
}

// clientConn is an HTTP connection from an emulated client to a broker.
type clientConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

const (
	// maxReportSkew is the time in ms by which the event that ends one dispatch may be seen after the event that starts
	// the next one: two goroutines read the two connections, and other load on the machine can delay either.
	maxReportSkew   = 25.0
	readyTimeout    = 10 * time.Second // for a broker to answer its health check after its start
	maxPendingFuncs = 4096             // functions queued for the event loop
	maxWatchWait    = 60 * time.Second // upper bound of the wait in a list request
)

// RunLoopback runs a world on loopback in real time for durationMs and for as long as open scans may take after that.
// program is the command line of a broker, such as gullstair serve --log error; the environment variable GW_CONFIG names
// its start file. All processes, sockets and goroutines are stopped before RunLoopback returns. If ctx ends early, the
// figures cover the time up to then. It returns an error if a socket or a broker cannot be started.
func (w *World) RunLoopback(ctx context.Context, durationMs float64, program ...string) (figures Figures, err error) {
	dir, err := os.MkdirTemp("", "rehearse")
	if err != nil {
		return figures, fmt.Errorf("rehearse: %w", err)
	}
	defer os.RemoveAll(dir)
	l := &loopback{w: w, program: program, dir: dir, pending: make(chan func(), maxPendingFuncs), dispatchesByPart: map[string][]*dispatch{}}
	var cancel context.CancelFunc
	l.ctx, cancel = context.WithCancel(ctx)
	w.loopback = l
	w.Checker.postpone = func(check func()) { w.after(maxReportSkew, check) }
	defer func() {
		cancel()
		l.close()
		for _, b := range l.brokers {
			figures.Brokers = append(figures.Brokers, b.usage)
		}
	}()
	for i := range w.Stores {
		if err := l.openStore(i); err != nil {
			return figures, err
		}
	}
	for _, broker := range w.brokers {
		b := &brokerProcess{l: l, broker: broker, listChanged: make(chan struct{}), fullList: slices.Clone(w.nodes), listVersion: 1}
		l.brokers = append(l.brokers, b)
		if err := b.startAgent(); err != nil {
			return figures, err
		}
		member := &fleettest.Member{Name: brokerName(broker.number), Index: broker.number}
		if member.UDP, err = fleettest.FreeAddr("udp"); err != nil {
			return figures, fmt.Errorf("rehearse: allocate a UDP address for a broker: %w", err)
		}
		l.members = append(l.members, member)
	}
	if l.brokerNetwork, err = fleettest.NewSwitch(l.members, w.seed); err != nil {
		return figures, err
	}
	defer l.brokerNetwork.Close()
	for _, b := range l.brokers {
		if err := b.startProcess(); err != nil {
			return figures, err
		}
	}
	for _, b := range l.brokers {
		if err := b.waitReady(); err != nil {
			return figures, err
		}
	}
	return l.run(durationMs)
}

// run is the event loop. It executes timed events once their time has come and functions posted by sockets, one at a time.
func (l *loopback) run(durationMs float64) (Figures, error) {
	w := l.w
	l.startedAt = time.Now()
	w.trafficEnd = durationMs
	w.scheduleArrival()
	w.sweepPeriodically()
	stopAt := durationMs
	for _, t := range w.Fleet.Types {
		stopAt = max(stopAt, durationMs+t.Timeout+500)
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for w.err == nil {
		w.now = float64(time.Since(l.startedAt)) / 1e6
		if w.now >= stopAt || l.ctx.Err() != nil {
			break
		}
		if w.queue.len() > 0 && w.queue.heap[0].at <= w.now {
			w.Events++
			w.queue.pop().run()
			continue
		}
		wait := stopAt - w.now
		if w.queue.len() > 0 {
			wait = min(wait, w.queue.heap[0].at-w.now)
		}
		timer.Reset(time.Duration(wait * float64(time.Millisecond)))
		select {
		case fn := <-l.pending:
			w.now = float64(time.Since(l.startedAt)) / 1e6
			w.Events++
			fn()
		case <-timer.C:
		case <-l.ctx.Done():
		}
	}
	playedMs := w.now
	if l.ctx.Err() == nil {
		w.Checker.sweep(playedMs, true)
	}
	figures := w.collectFigures(playedMs)
	figures.WallSeconds = time.Since(l.startedAt).Seconds()
	return figures, w.err
}

// post queues a function for the event loop. It drops the function once the run has ended.
func (l *loopback) post(fn func()) {
	select {
	case l.pending <- fn:
	case <-l.ctx.Done():
	}
}

// close stops all brokers and sockets and waits for every goroutine of the run.
func (l *loopback) close() {
	for _, b := range l.brokers {
		b.agentListener.Close()
		b.killProcess()
		for _, c := range b.idleConns {
			c.conn.Close()
		}
	}
	for _, s := range l.stores {
		s.closeSockets()
	}
	done := make(chan struct{})
	go func() {
		l.wg.Wait()
		close(done)
	}()
	for {
		select {
		case <-l.pending: // drain the channel so that no goroutine blocks in post
		case <-done:
			return
		}
	}
}

// openStore listens on a free loopback port for the store with this index.
func (l *loopback) openStore(index int) error {
	server := &storeServer{l: l, index: index, conns: map[net.Conn]struct{}{}}
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
func (s *storeServer) listen(ln net.Listener) {
	s.mu.Lock()
	s.listener = ln
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
			s.l.wg.Go(func() { s.serveConn(conn) })
		}
	})
}

// closeSockets closes the listener and resets all connections, so that new connections are refused.
func (s *storeServer) closeSockets() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		s.listener.Close()
		s.listener = nil
	}
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
}

// reopen listens again on the previous address of the store. It does nothing if the store is listening.
func (s *storeServer) reopen() error {
	s.mu.Lock()
	open := s.listener != nil
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
func (s *storeServer) serveConn(conn net.Conn) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		s.l.post(func() { s.l.connClosed(s.index, conn) })
	}()
	in := bufio.NewReader(conn)
	for newConn := true; ; newConn = false {
		frameType, body, err := readFrame(in)
		if err != nil {
			return
		}
		switch frameType {
		case 'R':
			parts, err := parseCall(body)
			if err != nil {
				conn.Write(encodeFrame('N', err.Error()))
				return
			}
			s.l.post(func() { s.l.receiveParts(s.index, conn, parts, newConn) })
		case 'A':
			s.l.post(func() { s.l.cancelPart(s.index, conn, string(body)) })
		case 'T', 'G':
			s.l.post(func() { s.l.answerProbe(s.index, conn, frameType) })
		default:
			conn.Write(encodeFrame('N', "unknown frame type"))
			return
		}
	}
}

// brokerOf returns the broker to which a client sent the scan, or nil if the scan is unknown.
func (l *loopback) brokerOf(scanID string) *emulatedBroker {
	if record := l.w.Checker.scans[scanID]; record != nil {
		return l.w.brokers[record.broker]
	}
	return nil
}

// receiveParts handles a call frame: it gives each part to the store. newConn is true for the first frame of a connection;
// the call then also costs the work of a new connection.
func (l *loopback) receiveParts(index int, conn net.Conn, parts []wirePart, newConn bool) {
	w, target := l.w, l.w.Stores[index]
	if target.Faults.Unreachable || !target.Reachable() {
		return
	}
	if target.Faults.RefusesConns && newConn {
		l.stores[index].resetConn(conn)
		return
	}
	work := target.Behavior.CallWork
	if newConn {
		work += target.Behavior.ConnWork
	}
	for _, p := range parts {
		scan, second := parsePartID(p.id)
		owner := l.brokerOf(scan)
		if owner == nil {
			w.Checker.report(w.now, RuleShardNotHeld, nil, "part %s, which no client requested", p.id)
			continue
		}
		if _, lost := w.messageDelay(owner.zone, target.Zone); lost {
			continue
		}
		l.lastRef++
		disp := &dispatch{broker: owner.number, incarnation: owner.incarnation, store: index, scan: scan, second: second, conn: conn}
		disp.part = &Part{ID: p.id, Ref: l.lastRef, Broker: owner.number, Shard: p.shard, Deadline: w.now + p.timeLeft, Text: p.text}
		if p.key != "" {
			disp.part.Key = p.key + "/" + strconv.Itoa(p.shard)
		}
		disp.part.Work = w.partWork(owner, scan, p.shard, second) + work/float64(len(parts))
		w.dispatches[l.lastRef] = disp
		l.dispatchesByPart[p.id] = append(l.dispatchesByPart[p.id], disp)
		w.countDispatch(target)
		w.Checker.partSent(w.now, owner.number, index, target, scan, p.id, p.shard, second)
		w.Checker.dispatchArrived(w.now, scan, disp.part)
		completions, overloaded := target.Receive(w.now, disp.part, w.rnd.Float64())
		if overloaded {
			w.Checker.report(w.now, RuleColdOverload, nil, "%s crashed from overload %.1f s after its start", target.Name, (w.now-target.StartedAt)/1000)
			w.resetStore(target)
		}
		for _, c := range completions {
			if c.Executed && c.Result != NoAnswer {
				w.Checker.partExecuted(c.At, scan, p.shard, second)
			}
			w.sendResult(w.dispatches[c.Part.Ref], c)
		}
	}
	w.scheduleStore(target)
}

// scheduleAnswer writes the answer for a completed part to its connection at the time of completion, unless the network
// loses it. The load report is taken now, not at that time.
func (l *loopback) scheduleAnswer(disp *dispatch, c Completion) {
	w, store := l.w, l.w.Stores[disp.store]
	broker := w.brokers[disp.broker]
	_, lost := w.messageDelay(store.Zone, broker.zone)
	if lossByStore := w.netFaults.replyLoss[broker.number]; lossByStore != nil && w.rnd.Float64() < lossByStore[disp.store] {
		lost = true
	}
	report := store.LoadReport(w.now)
	w.after(c.At-w.now, func() {
		if disp.ended {
			return
		}
		l.endDispatch(disp)
		if lost {
			store.CoreTimeWasted += c.CoreTime
			return
		}
		partID, reportText := disp.part.ID, report.String()
		var frame []byte
		switch c.Result {
		case Served:
			w.Checker.valueReceived(disp.scan, disp.part.Shard, disp.second)
			frame = encodeFrame('Y', fmt.Sprintf("%s OK %.0f %s\n%s", partID, PartScore(disp.part.Shard, disp.part.Text), reportText,
				PartValue(disp.part.Shard, disp.part.Text, disp.second)))
		case Failed:
			frame = encodeFrame('Y', partID+" ERROR - "+reportText+"\n")
		case Rejected:
			frame = encodeFrame('Y', partID+" REJECTED - "+reportText+"\n")
		case Malformed:
			frame = encodeFrame('Y', "what is this\n")
		case ConnReset:
			l.stores[disp.store].resetConn(disp.conn)
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
func (l *loopback) endDispatch(disp *dispatch) {
	disp.ended = true
	delete(l.w.dispatches, disp.part.Ref)
	l.w.Checker.dispatchEnded(disp.part.Ref)
	partID := disp.part.ID
	if l.dispatchesByPart[partID] = slices.DeleteFunc(l.dispatchesByPart[partID], func(other *dispatch) bool { return other == disp }); len(l.dispatchesByPart[partID]) == 0 {
		delete(l.dispatchesByPart, partID)
	}
}

// cancelPart handles a cancel frame: it ends the dispatches of the part that arrived on this connection.
func (l *loopback) cancelPart(index int, conn net.Conn, partID string) {
	for _, disp := range slices.Clone(l.dispatchesByPart[partID]) {
		if disp.store == index && disp.conn == conn {
			l.endDispatch(disp)
			l.w.Stores[index].Cancel(l.w.now, disp.part.Ref)
		}
	}
}

// connClosed ends all dispatches that arrived on a connection which has closed.
func (l *loopback) connClosed(index int, conn net.Conn) {
	for _, disp := range l.w.dispatchesAtStore(index) {
		if disp.conn == conn {
			l.endDispatch(disp)
			l.w.Stores[index].Cancel(l.w.now, disp.part.Ref)
		}
	}
}

// answerProbe answers a load probe (frame T) with the load report and a health probe (frame G) with OK.
func (l *loopback) answerProbe(index int, conn net.Conn, frameType byte) {
	store := l.w.Stores[index]
	if store.Faults.NeverAnswers || store.Faults.Unreachable || !store.Reachable() {
		return
	}
	answer := "OK"
	if frameType == 'T' {
		l.w.stats.report.Probes++
		answer = store.LoadReport(l.w.now).String()
	}
	l.wg.Go(func() { conn.Write(encodeFrame(frameType, answer)) })
}

// resetConn resets a connection: a linger time of 0 makes the kernel send RST instead of FIN.
func (s *storeServer) resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// resetStore ends all dispatches at a store and closes its connections. If the store is down, its listener closes too.
func (l *loopback) resetStore(index int) {
	for _, disp := range l.w.dispatchesAtStore(index) {
		l.endDispatch(disp) // frames that its connections still deliver no longer count
	}
	if store := l.w.Stores[index]; store.Faults.Crashed || store.Overloaded {
		l.stores[index].closeSockets()
	} else {
		l.stores[index].mu.Lock()
		for c := range l.stores[index].conns {
			c.Close()
		}
		l.stores[index].mu.Unlock()
	}
}

// reopenStore lets a store accept connections again after it was down.
func (l *loopback) reopenStore(index int) {
	if err := l.stores[index].reopen(); err != nil && l.w.err == nil {
		l.w.err = err
	}
}

// addressOf returns the TCP address of the store with this host name.
func (l *loopback) addressOf(host string) string { return l.stores[l.w.storeByHost[host]].addr }

// publishChange applies the new state of a node to the list of a broker's discovery agent and wakes pending requests.
func (l *loopback) publishChange(broker *emulatedBroker, node core.Node) {
	b := l.brokers[broker.number]
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listVersion++
	b.changes = append(b.changes, listChange{b.listVersion, node})
	index := slices.IndexFunc(b.fullList, func(n core.Node) bool { return n.Host == node.Host })
	switch {
	case index >= 0 && node.Readiness == logic.Gone:
		b.fullList = slices.Delete(b.fullList, index, index+1)
	case index >= 0:
		b.fullList[index] = node
	case node.Readiness != logic.Gone:
		b.fullList = append(b.fullList, node)
	}
	close(b.listChanged)
	b.listChanged = make(chan struct{})
}

// setDiscoverySilent makes all discovery agents stop or resume answering.
func (l *loopback) setDiscoverySilent(silent bool) {
	for _, b := range l.brokers {
		b.mu.Lock()
		b.silent = silent
		close(b.listChanged)
		b.listChanged = make(chan struct{})
		b.mu.Unlock()
	}
}

// startAgent listens for list requests to the broker's discovery agent.
func (b *brokerProcess) startAgent() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("rehearse: listen for a discovery agent: %w", err)
	}
	b.agentListener = ln
	b.l.wg.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			b.l.wg.Go(func() {
				stop := context.AfterFunc(b.l.ctx, func() { conn.Close() })
				defer stop()
				serveConn(conn, b.answerListRequest)
			})
		}
	})
	return nil
}

// answerListRequest answers one request for the node list. It returns the full list if the request names no version or
// one that the agent no longer has; otherwise it waits up to timeout_ms for changes after that version and returns them.
// While discovery is silent, no answer is sent; status 0 closes the connection.
func (b *brokerProcess) answerListRequest(req *http.Request) (int, any) {
	query := req.URL.Query()
	since, err := strconv.ParseInt(query.Get("since"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("timeout_ms"))
	timeout := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
	defer timeout.Stop()
	for {
		b.mu.Lock()
		silent, listChanged := b.silent, b.listChanged
		if !silent && (query.Get("since") == "" || err != nil || since > b.listVersion || len(b.changes) > 0 && since < b.changes[0].version-1) {
			list := encodeNodeList(b.listVersion, true, b.fullList, b.l.addressOf)
			b.mu.Unlock()
			return http.StatusOK, list
		}
		if !silent && since < b.listVersion {
			var newer []core.Node
			for _, c := range b.changes {
				if c.version > since {
					newer = append(newer, c.node)
				}
			}
			list := encodeNodeList(b.listVersion, false, newer, b.l.addressOf)
			b.mu.Unlock()
			return http.StatusOK, list
		}
		version := b.listVersion
		b.mu.Unlock()
		select {
		case <-listChanged:
		case <-timeout.C:
			if silent {
				<-b.l.ctx.Done()
				return 0, nil
			}
			return http.StatusOK, encodeNodeList(version, false, nil, b.l.addressOf)
		case <-b.l.ctx.Done():
			return 0, nil
		}
	}
}

// startProcess starts the broker process. Its start file contains the node list as its discovery agent has it. The address
// and the log file stay the same across restarts.
func (b *brokerProcess) startProcess() error {
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
	list := encodeNodeList(b.listVersion, true, b.fullList, b.l.addressOf)
	b.mu.Unlock()
	config, err := json.Marshal(map[string]any{"name": brokerName(b.broker.number), "listen": b.addr, "discovery": b.agentListener.Addr().String(),
		"seed": fmt.Sprintf("%016x", w.seed*1000003+uint64(b.broker.number)*131+uint64(b.broker.incarnation)), "limits": map[string]any{"memory_mb": 192, "sockets": 1024},
		"known": list, "settings": nestSettings(w.Fleet.settings(b.broker.number, b.broker.zone))})
	if err != nil {
		return fmt.Errorf("rehearse: %w", err)
	}
	configPath := filepath.Join(b.l.dir, fmt.Sprintf("b%d.json", b.broker.number))
	if err := os.WriteFile(configPath, config, 0o600); err != nil {
		return fmt.Errorf("rehearse: %w", err)
	}
	if b.logFile == nil {
		if b.logFile, err = os.Create(filepath.Join(b.l.dir, fmt.Sprintf("b%d.log", b.broker.number))); err != nil {
			return fmt.Errorf("rehearse: %w", err)
		}
	}
	args := slices.Clone(b.l.program[1:])
	if w.ProbePeriod > 0 || w.Fleet.TenantCells.Count > 0 || len(w.Fleet.Limits) > 0 || w.Fleet.PeerNotes || w.Fleet.SharedVerdicts {
		featuresPath := filepath.Join(b.l.dir, fmt.Sprintf("b%d.hcl", b.broker.number))
		if err := os.WriteFile(featuresPath, []byte(b.featuresDocument()), 0o600); err != nil {
			return fmt.Errorf("rehearse: %w", err)
		}
		args = append(args, "--features", featuresPath)
	}
	if b.process, err = fleettest.Launch(append([]string{b.l.program[0]}, args...), []string{"GW_CONFIG=" + configPath}, b.logFile); err != nil {
		return fmt.Errorf("rehearse: %w", err)
	}
	return nil
}

// featuresDocument returns the features document (HCL) of the broker: cells, sharing between brokers and fleet limits.
func (b *brokerProcess) featuresDocument() (doc string) {
	if cells := b.l.w.Fleet.TenantCells; cells.Count > 0 {
		doc = fmt.Sprintf("cells {\n  holders = %d\n  least_share = %g\n", cells.Holders, cells.MinHolderShare)
		for i := range cells.Count {
			doc += fmt.Sprintf("  cell %q {\n", cellName(i))
			if cells.MaxOpenScans > 0 {
				doc += fmt.Sprintf("    open_scans = %d\n", cells.MaxOpenScans)
			}
			if cells.MaxScanRate > 0 {
				doc += fmt.Sprintf("    scans_per_s = %g\n    burst = %g\n", cells.MaxScanRate, max(1, cells.MaxScanRate/5))
			}
			doc += "  }\n"
		}
		doc += "}\n"
	}
	w := b.l.w
	if w.ProbePeriod == 0 && len(w.Fleet.Limits) == 0 && !w.Fleet.PeerNotes && !w.Fleet.SharedVerdicts {
		return doc
	}
	var members strings.Builder
	for _, m := range b.l.members {
		fmt.Fprintf(&members, "    %s = %q\n", m.Name, m.Advertise)
	}
	self := b.l.members[b.broker.number]
	doc += fmt.Sprintf("sharing {\n  listen = %q\n  advertise = %q\n  members = {\n%s  }\n  key \"1\" {\n    secret = %q\n  }\n", self.UDP, self.Advertise, members.String(),
		strings.Repeat("5e", 32))
	if w.Fleet.PeerNotes {
		doc += "  notes = true\n"
	}
	if w.Fleet.SharedVerdicts {
		doc += "  verdicts {\n  }\n"
	}
	if w.ProbePeriod > 0 {
		doc += fmt.Sprintf("  duty \"probing\" {\n    period = %q\n  }\n", w.ProbePeriod)
	}
	doc += "}\n"
	for _, limit := range w.Fleet.Limits {
		doc += limit.featuresBlock()
	}
	return doc
}

// setBrokerLinksCut blocks or unblocks datagrams from the first broker of each pair to the second.
func (l *loopback) setBrokerLinksCut(pairs [][2]int, cut bool) {
	for _, pair := range pairs {
		l.brokerNetwork.Set(pair[0], pair[1], func(direction *fleettest.Link) { direction.Cut = cut })
	}
}

// setBrokerLoss sets the share of datagrams lost between brokers.
func (l *loopback) setBrokerLoss(share float64) {
	l.brokerNetwork.All(func(direction *fleettest.Link) { direction.Loss = share })
}

// waitReady polls the health check of the broker until it succeeds. After readyTimeout it returns an error with the
// beginning of the broker's log.
func (b *brokerProcess) waitReady() error {
	for started := time.Now(); time.Since(started) < readyTimeout && b.l.ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
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
	logText, _ := os.ReadFile(b.logFile.Name())
	return fmt.Errorf("rehearse: broker %d was not ready within %v: %.500s", b.broker.number, readyTimeout, logText)
}

// killProcess kills the broker process, adds its resource usage and closes the idle client connections.
func (b *brokerProcess) killProcess() {
	if b.process != nil {
		rusage := b.process.Kill()
		b.usage.CPUSeconds += float64(rusage.Utime.Nano()+rusage.Stime.Nano()) / 1e9
		b.usage.MaxRSSMB = max(b.usage.MaxRSSMB, float64(rusage.Maxrss)/1024)
		b.process = nil
	}
	for _, c := range b.idleConns {
		c.conn.Close()
	}
	b.idleConns = nil
}

// killBroker kills the process of a broker.
func (l *loopback) killBroker(broker *emulatedBroker) { l.brokers[broker.number].killProcess() }

// restartBroker starts a killed broker again. Clients send to it once its health check succeeds.
func (l *loopback) restartBroker(broker *emulatedBroker) {
	b := l.brokers[broker.number]
	if err := b.startProcess(); err != nil {
		l.w.err = err
		return
	}
	l.wg.Go(func() {
		err := b.waitReady()
		l.post(func() {
			if err != nil && l.w.err == nil {
				l.w.err = err
			}
			broker.up, broker.knownDown = true, false
		})
	})
}

// setBrokerPaused stops the process of a broker with SIGSTOP or continues it with SIGCONT.
func (l *loopback) setBrokerPaused(broker *emulatedBroker, paused bool) {
	sig := syscall.SIGSTOP
	if !paused {
		sig = syscall.SIGCONT
	}
	if b := l.brokers[broker.number]; b.process != nil {
		b.process.Signal(sig)
	}
}

// sendRequest sends the HTTP request of a client to its broker and posts the answer to the event loop.
func (l *loopback) sendRequest(broker *emulatedBroker, attempt *attempt) {
	b, w := l.brokers[broker.number], l.w
	timeLeft := attempt.req.timeBudget - (w.now - attempt.req.startedAt)
	tenant := ""
	if w.Fleet.Traffic.Tenants > 0 {
		tenant = tenantName(attempt.req.tenant)
	}
	payload, err := encodeRequest(b.addr, attempt.scan, w.Fleet.Types[attempt.req.tableType].Name, tenant, timeLeft)
	if err != nil {
		w.err = err
		return
	}
	var c *clientConn
	if n := len(b.idleConns); n > 0 {
		c, b.idleConns = b.idleConns[n-1], b.idleConns[:n-1]
	}
	addr := b.addr
	l.wg.Go(func() {
		reply, c, err := roundTrip(addr, c, payload, time.Duration((timeLeft+3*timingTolerance)*1e6))
		l.post(func() {
			if c != nil {
				if broker.incarnation == attempt.incarnation && len(b.idleConns) < 200 {
					b.idleConns = append(b.idleConns, c)
				} else {
					c.conn.Close()
				}
			}
			if broker.openScans[attempt.scan.ID] != attempt {
				return // the request timed out or the broker was killed
			}
			if err != nil {
				if record := w.Checker.scans[attempt.scan.ID]; record != nil && !errors.Is(err, os.ErrDeadlineExceeded) && broker.up {
					w.Checker.report(w.now, RuleLostScan, record, "the connection ended without an answer: %v", err)
					record.released = true
				}
				delete(broker.openScans, attempt.scan.ID)
				w.retryOrSettle(attempt.req, logic.Abandon, 0)
				return
			}
			reply.Scan = attempt.scan
			w.deliverReply(broker, reply)
		})
	})
}

// roundTrip sends a request and reads the answer. If c is a reused connection that fails for another reason than the
// timeout, it retries once on a new connection, since the broker may have closed c while it was idle. It returns the
// connection if it can be reused, else nil.
func roundTrip(addr string, c *clientConn, payload []byte, timeout time.Duration) (reply core.Reply, _ *clientConn, err error) {
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
			reply, closing, err = readResponse(c.reader)
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
