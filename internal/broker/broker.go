// Package broker assembles one broker of the aggregator: the actor that steps the core, with its mailbox and clock,
// the front for clients, the connections to the nodes, and the subscription to the node list. It does all I/O
// through these parts.
package broker

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"gullstair/internal/config"
	"gullstair/internal/control"
	"gullstair/internal/core"
	"gullstair/internal/discovery"
	"gullstair/internal/features"
	"gullstair/internal/front"
	"gullstair/internal/guard"
	"gullstair/internal/node"
	"gullstair/internal/shutdown"
)

const (
	mailboxSize         = 1024
	maxBatch            = 4096 // inputs of one step of the core
	tallyInterval       = 10 * time.Second
	readTimeout         = 2500 * time.Millisecond // clients must get an error or a close within 3 s, those with open connections within 2 s
	finalFlushTimeout   = 200 * time.Millisecond  // for writing the replies to scans that are still open at the end of the shutdown
	listenTimeout       = 15 * time.Second
	listenRetryInterval = 10 * time.Millisecond
	// readAheadShare is the fraction (1/n) of the memory that clients may fill with pipelined requests.
	readAheadShare = 16
	// frontMemoryShare is the fraction (1/n) of the memory that clients may fill with connections.
	frontMemoryShare = 2
	reservedFiles    = 24 // file descriptors for the listener, discovery, standard streams and the runtime
)

// Clocks are the clocks of a machine: Elapsed returns ns since a fixed point and includes time in suspend; Wall is the
// wall clock.
type Clocks struct {
	Elapsed func() int64
	Wall    func() time.Time
}

// MachineClocks returns the clocks of this machine.
func MachineClocks() Clocks { return Clocks{guard.BootTime, time.Now} }

// Clock is the clock of a broker: Unix milliseconds at its start plus the monotonic time since.
type Clock struct {
	base  float64
	begun time.Time
}

// NewClock returns a clock that starts now.
func NewClock() Clock {
	t := time.Now()
	return Clock{float64(t.UnixNano()) / 1e6, t}
}

// Now returns Unix milliseconds. It never goes backwards.
func (c Clock) Now() float64 { return c.base + float64(time.Since(c.begun))/1e6 }

// Broker is one running broker.
type Broker struct {
	startFile *config.StartConfig
	clock     Clock
	core      *core.Core
	turn      float64
	mailbox   chan core.Input
	frontDone chan struct{} // closed when the front accepts no more clients
	stopping  chan struct{} // closed when the broker is asked to stop
	stop      chan struct{} // closed to stop the actor
	actorDone sync.WaitGroup
	front     *front.Front
	fleet     *node.Fleet
	watch     *discovery.Watch
	ln        net.Listener
	log       zerolog.Logger
	fatal     chan error

	listed bool // set by the actor once the module has a list with nodes

	clocks   Clocks // for the state that brokers share; scans use clock
	features *features.Document
	sharing  *sharingState   // nil if nothing is shared
	control  *control.Server // nil without a control socket
}

// Start starts a broker: it listens, passes the start event and the cached list to the module, and subscribes to
// the list. Features are the optional features of the installation; nil means none.
func Start(t *config.StartConfig, f *features.Document, log zerolog.Logger) (*Broker, error) {
	return StartBy(MachineClocks(), nil, t, f, log)
}

// ErrAbandoned reports that a start was aborted before the broker accepted anything.
var ErrAbandoned = errors.New("stopped before the start")

// StartBy is Start with the given clocks for the state that brokers share. It fails with ErrAbandoned if abandon is
// closed while the address is still in use by another process.
func StartBy(clocks Clocks, abandon <-chan struct{}, t *config.StartConfig, f *features.Document, log zerolog.Logger) (*Broker, error) {
	if f == nil {
		f = &features.Document{}
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(t.MemoryMB) << 20 * 3 / 4)
	ln, err := listen(t.Listen, listenTimeout, abandon)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	b := &Broker{startFile: t, clock: NewClock(), turn: t.Site.Turn, mailbox: make(chan core.Input, mailboxSize),
		stop: make(chan struct{}), frontDone: make(chan struct{}), stopping: make(chan struct{}), ln: ln, log: log, fatal: make(chan error, 1), features: f, clocks: clocks}
	nodeConns := t.Sockets / 4
	maxConns := min(t.Sockets-nodeConns-front.MaxClosingConns-reservedFiles, t.MemoryMB<<20/frontMemoryShare/front.ConnBytes)
	b.fleet = node.NewFleet(node.ConnLimits{PerConn: t.Site.PartsPerConn, MaxConns: nodeConns,
		ConnectTimeout: ms(t.Site.ConnectTimeout), IdleTimeout: ms(t.Site.ConnIdle)}, b.clock.Now,
		func(e core.Ended) { b.put(e) }, log)
	b.front = &front.Front{Site: t.Site, Now: b.clock.Now, OnScan: func(s *core.Scan) { b.put(s) },
		OnDisconnect: func(s *core.Scan) { b.put(core.ClientLeft{Scan: s}) }, MaxConns: maxConns, SoftMaxConns: min(t.Sockets/6, maxConns/2), // half of what clients may hold for requests
		ReadAhead: t.MemoryMB << 20 / readAheadShare, ReadWithin: readTimeout, Log: log}
	logInvalid := func(host, why string) { log.Warn().Str("node", host).Msg(why) }
	known := t.KnownList.Nodes(logInvalid)
	flat := maps.Clone(t.Flat)
	if s := f.Sharing; s != nil { // the module reads what brokers share from its settings
		flat["limit.peers"], flat["share.verdicts"] = s.Notes, s.Verdicts != nil
	}
	b.core = core.New(t.Site, flat, t.Seed, known)
	b.listed = len(known) > 0
	if err := b.startFeatures(); err != nil {
		ln.Close()
		return nil, err
	}
	b.watch = discovery.Follow(t.Discovery, discovery.Options{Since: t.KnownList.Seq, OnDemand: t.Site.SubscribeList, Seed: t.Seed}, func(l core.List) { b.put(l) }, log)
	b.actorDone.Go(b.run)
	go func() {
		defer close(b.frontDone)
		// The cached list may be outdated: no scan is served before the discovery agent's first answer. Until then clients
		// wait in the listen backlog.
		select {
		case <-b.watch.First():
		case <-b.stopping:
		}
		if err := b.front.Serve(ln); err != nil {
			select {
			case b.fatal <- fmt.Errorf("accepting: %w", err):
			default:
			}
		}
	}()
	for _, why := range t.DisabledSettings {
		log.Warn().Msg(why)
	}
	log.Info().Str("name", t.Name).Str("listen", ln.Addr().String()).Str("discovery", t.Discovery).
		Int("known", len(known)).Int64("seq", t.KnownList.Seq).Int("memory_mb", t.MemoryMB).Int("sockets", t.Sockets).
		Float64("cores", t.Cores).Int("open_cap", t.Site.OpenCap).Float64("turn_ms", t.Site.Turn).
		Interface("types", t.Site.Types).Msg("started")
	return b, nil
}

// listen retries while the address is in use: during a planned restart the previous broker may still answer the scans
// that it accepted. It fails after patience.
func listen(addr string, patience time.Duration, abandon <-chan struct{}) (net.Listener, error) {
	begun := time.Now()
	for {
		ln, err := net.Listen("tcp", addr)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(begun) > patience {
			return ln, err
		}
		select {
		case <-abandon:
			return nil, ErrAbandoned
		case <-time.After(listenRetryInterval):
		}
	}
}

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// put sends an input to the actor. It blocks while the mailbox is full.
func (b *Broker) put(in core.Input) {
	select {
	case b.mailbox <- in:
	case <-b.stop:
	}
}

// run is the actor that owns the core and its module. Only it calls Step, at most once per turn (a setting).
func (b *Broker) run() {
	var batch []core.Input
	timer := time.NewTimer(0)
	defer timer.Stop()
	tally := time.NewTicker(tallyInterval)
	defer tally.Stop()
	last := math.Inf(-1)
	ready := false
	for {
		at := b.core.Due()
		if len(batch) > 0 {
			at = last
		}
		at = max(at, last+b.turn)
		if now := b.clock.Now(); at > now || len(batch) == 0 && math.IsInf(at, 1) {
			timer.Reset(ms(min(at-now, 1e6)))
			select {
			case in := <-b.mailbox:
				batch = append(batch, in)
			case <-timer.C:
			case <-tally.C:
				b.tally()
			case <-b.stop:
				return
			}
			if len(batch) < maxBatch {
				continue
			}
		}
		for more := true; more && len(batch) < maxBatch; {
			select {
			case in := <-b.mailbox:
				batch = append(batch, in)
			default:
				more = false
			}
		}
		last = b.clock.Now()
		for _, in := range batch {
			if l, ok := in.(core.List); ok && len(l.Nodes) > 0 {
				b.listed = true
			}
		}
		out := b.core.Step(last, batch)
		clear(batch)
		batch = b.carryOut(out, batch[:0])
		if b.listed && !ready {
			ready = true
			b.front.Ready()
		}
	}
}

// carryOut executes the outputs of the core. Calls and probes that could not be queued go into the next batch as ended.
func (b *Broker) carryOut(out []core.Output, batch []core.Input) []core.Input {
	for _, o := range out {
		switch v := o.(type) {
		case core.Call:
			if !b.fleet.Call(v) {
				now := b.clock.Now()
				for _, p := range v.Parts {
					batch = append(batch, core.Ended{Ref: p.Ref, Reason: core.QueueFull, At: now})
				}
			}
		case core.Probe:
			if !b.fleet.Probe(v) {
				batch = append(batch, core.Ended{Ref: v.Ref, Reason: core.QueueFull, At: b.clock.Now()})
			}
		case core.Cancel:
			b.fleet.Cancel(v)
		case core.Reply:
			front.Reply(v)
		case core.NodeChange:
			b.fleet.Move(v)
		case core.ProbeResult:
			b.sharing.offerProbeResult(v)
		case core.NodeList:
			b.sharing.offerNodeList(v)
		case core.SendNote:
			b.sharing.offerNote(v.Note)
		case core.OutcomeReport:
			b.sharing.offerOutcome(v)
		case core.ScanRefused:
			b.sharing.offerRefusal(v)
		case core.SubscribeList:
			b.watch.Start()
		case core.Log:
			if v.Fatal {
				select {
				case b.fatal <- fmt.Errorf("the module cannot go on: %s", v.Text):
				default:
				}
			}
			b.log.Info().Msg(v.Text)
		}
	}
	return batch
}

// ApplyStartFile applies a start file that was read again: the subscription moves to the discovery address that it names. All
// other changes take effect at the next start.
func (b *Broker) ApplyStartFile(t *config.StartConfig) {
	b.log.Info().Str("discovery", t.Discovery).Strs("at_next_start", b.startFile.RestartKeys(t)).Msg("start file read again")
	b.watch.Move(t.Discovery)
}

// Fatal returns a channel that receives the error that ends the broker.
func (b *Broker) Fatal() <-chan error { return b.fatal }

// Addr returns the address for clients.
func (b *Broker) Addr() string { return b.ln.Addr().String() }

// Stop answers the accepted scans and stops the broker, on the schedule of shutdown.Begin, within patience. A negative
// patience stands for the time that a planned restart leaves.
func (b *Broker) Stop(patience time.Duration) {
	b.log.Info().Msg("stopping")
	close(b.stopping)
	featuresStopped := b.stopFeatures()
	longest := 0.0
	for _, typ := range b.startFile.Site.Types {
		longest = max(longest, typ.Timeout)
	}
	answeredAll := b.front.Stop(shutdown.New(longest, float64(patience)/1e6))
	// The listener is closed before the check for open scans: a client accepted between the two would be read but never
	// answered, since the actor has stopped.
	b.ln.Close()
	<-b.frontDone
	if !answeredAll || !b.front.Flush(finalFlushTimeout, finalFlushTimeout/2) { // every scan gets a reply, if only an error
		b.put(core.Shutdown{})
		b.front.Flush(finalFlushTimeout, 0)
	}
	b.watch.Stop()
	<-featuresStopped
	close(b.stop)
	b.actorDone.Wait()
	b.tally()
	b.log.Info().Msg("stopped")
}

func (b *Broker) tally() {
	c, fr, fl := &b.core.Counts, &b.front.Stats, &b.fleet.Stats
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	ends := zerolog.Dict()
	for e, n := range c.Ends {
		if n > 0 {
			ends.Int(core.EndReason(e).String(), n)
		}
	}
	line := b.log.Info()
	if c.ShadowDiffs != nil {
		line.Interface("watched", c.ShadowDiffs)
	}
	line.Int("scans", c.Scans).Int("answered", c.Answered).Int("whole", c.Complete).Int("throttled", c.Throttled).
		Int("full", c.OverCapacity).Int("confined", c.CellThrottled).Int("limited", c.LimitThrottled).Int("short", c.BudgetDenied).Int("abandoned", c.Abandoned).Int("left", c.ClientsLeft).Int("open", b.core.Open()).
		Int("dispatches", c.Dispatches).Int("late", c.LateEnds).Dict("ends", ends).
		Int("clients", b.front.Conns()).Int64("requests", fr.Requests.Load()).Int64("malformed", fr.Malformed.Load()).
		Int64("crowded", fr.Rejected.Load()).Int64("accepts_failed", fr.AcceptsFailed.Load()).
		Int("node_conns", b.fleet.Conns()).Int64("dials", fl.Dials.Load()).Int64("dials_failed", fl.DialsFailed.Load()).
		Int64("unasked", fl.Unknown.Load()).Int64("bad_frames", fl.Malformed.Load()).
		Uint64("heap_kb", mem.HeapAlloc>>10).Uint64("sys_kb", mem.Sys>>10).Msg("tally")
}
