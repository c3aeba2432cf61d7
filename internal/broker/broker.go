// Package broker puts one broker together: the core's actor with its mailbox and clock, the front, the peers
// of the nodes and the watch of the list.
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
	"gullstair/internal/ending"
	"gullstair/internal/features"
	"gullstair/internal/front"
	"gullstair/internal/guard"
	"gullstair/internal/node"
)

const (
	mailboxSize = 1024
	batchMost   = 4096
	tallyEvery  = 10 * time.Second
	readWithin  = 2500 * time.Millisecond // clients are owed an error or a close within 3 s; open connections, 2 s
	lastWords   = 200 * time.Millisecond  // for the answers to scans that outlast the end
	listenFor   = 15 * time.Second
	listenAgain = 10 * time.Millisecond
	// readAheadShare is which part of the memory clients may fill with requests behind one that is at work.
	readAheadShare = 16
	spareFiles     = 24 // descriptors for the listener, discovery, standard streams and the runtime
)

// Clocks are a machine's: ns since some moment, suspended or not, and the wall clock.
type Clocks struct {
	Elapsed func() int64
	Wall    func() time.Time
}

// MachineClocks are those of this machine.
func MachineClocks() Clocks { return Clocks{guard.Now, time.Now} }

// Clock is one clock for all of a broker: Unix milliseconds at its start and monotonic time since.
type Clock struct {
	base  float64
	begun time.Time
}

// NewClock starts a clock.
func NewClock() Clock {
	t := time.Now()
	return Clock{float64(t.UnixNano()) / 1e6, t}
}

// Now never steps back.
func (c Clock) Now() float64 { return c.base + float64(time.Since(c.begun))/1e6 }

// Broker is one running broker.
type Broker struct {
	told   *config.Told
	clock  Clock
	core   *core.Core
	turn   float64
	mail   chan core.Input
	served chan struct{} // closed when nobody comes in any more
	ending chan struct{} // closed: the broker was told to end
	stop   chan struct{} // closed: the actor ends
	ended  sync.WaitGroup
	front  *front.Front
	fleet  *node.Fleet
	watch  *discovery.Watch
	ln     net.Listener
	log    zerolog.Logger
	fatal  chan error

	listed bool // the actor's: the module has a list with nodes

	clocks   Clocks // of what brokers share; scans go by clock
	features *features.Document
	shared   *shared         // nil: nothing is shared
	control  *control.Server // nil: no socket
}

// Start brings a broker up: it listens, has told the module its start and its cached list, and follows
// the list. Features are what the installation has beyond the platform; nil is none.
func Start(t *config.Told, f *features.Document, log zerolog.Logger) (*Broker, error) {
	return StartBy(MachineClocks(), nil, t, f, log)
}

// ErrAbandoned says that a start was given up before anything was taken.
var ErrAbandoned = errors.New("told to end before the start")

// StartBy is Start with other clocks for what brokers share, and given up with ErrAbandoned once abandon is closed
// while the address is still another's.
func StartBy(clocks Clocks, abandon <-chan struct{}, t *config.Told, f *features.Document, log zerolog.Logger) (*Broker, error) {
	if f == nil {
		f = &features.Document{}
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(t.MemoryMB) << 20 * 3 / 4)
	ln, err := listen(t.Listen, listenFor, abandon)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	b := &Broker{told: t, clock: NewClock(), turn: t.Site.Turn, mail: make(chan core.Input, mailboxSize),
		stop: make(chan struct{}), served: make(chan struct{}), ending: make(chan struct{}), ln: ln, log: log, fatal: make(chan error, 1), features: f, clocks: clocks}
	nodeConns := t.Sockets / 4
	b.fleet = node.NewFleet(node.Reach{PerConn: t.Site.PerConn, MaxConns: nodeConns,
		ConnectTimeout: ms(t.Site.ConnectTimeout), Idle: ms(t.Site.ConnIdle)}, b.clock.Now,
		func(e core.Ended) { b.put(e) }, log)
	b.front = &front.Front{Site: t.Site, Now: b.clock.Now, Take: func(s *core.Scan) { b.put(s) },
		Left: func(s *core.Scan) { b.put(core.Left{Scan: s}) }, Most: t.Sockets - nodeConns - front.ClosingMost - spareFiles, Ample: t.Sockets / 6, // half of what clients hold for requests
		ReadAhead: t.MemoryMB << 20 / readAheadShare, ReadWithin: readWithin, Log: log}
	odd := func(host, why string) { log.Warn().Str("node", host).Msg(why) }
	known := t.Known.Nodes(odd)
	flat := maps.Clone(t.Flat)
	if s := f.Sharing; s != nil { // what the module is told of what brokers share
		flat["limit.peers"], flat["share.verdicts"] = s.Notes, s.Verdicts != nil
	}
	b.core = core.New(t.Site, flat, t.Seed, known)
	b.listed = len(known) > 0
	if err := b.startFeatures(); err != nil {
		ln.Close()
		return nil, err
	}
	b.watch = discovery.Follow(t.Discovery, discovery.Options{Since: t.Known.Seq, OnAsk: t.Site.AskList, Seed: t.Seed}, func(l core.List) { b.put(l) }, log)
	b.ended.Go(b.run)
	go func() {
		defer close(b.served)
		// Nobody is served by a list that the agent knows to be old; who comes meanwhile waits in the machine's queue.
		select {
		case <-b.watch.First():
		case <-b.ending:
		}
		if err := b.front.Serve(ln); err != nil {
			select {
			case b.fatal <- fmt.Errorf("accepting: %w", err):
			default:
			}
		}
	}()
	for _, why := range t.Off {
		log.Warn().Msg(why)
	}
	log.Info().Str("name", t.Name).Str("listen", ln.Addr().String()).Str("discovery", t.Discovery).
		Int("known", len(known)).Int64("seq", t.Known.Seq).Int("memory_mb", t.MemoryMB).Int("sockets", t.Sockets).
		Float64("cores", t.Cores).Int("open_cap", t.Site.OpenCap).Float64("turn_ms", t.Site.Turn).
		Interface("types", t.Site.Types).Msg("started")
	return b, nil
}

// listen waits for an address that is in use: after a planned restart the broker that had it may still be
// answering what it took. Where something else holds it the start fails so much later.
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
		case <-time.After(listenAgain):
		}
	}
}

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// put waits for room in the mailbox.
func (b *Broker) put(in core.Input) {
	select {
	case b.mail <- in:
	case <-b.stop:
	}
}

// run is the actor of the module and the core: it alone calls Step, at most once a turn of the settings.
func (b *Broker) run() {
	var batch []core.Input
	timer := time.NewTimer(0)
	defer timer.Stop()
	tally := time.NewTicker(tallyEvery)
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
			case in := <-b.mail:
				batch = append(batch, in)
			case <-timer.C:
			case <-tally.C:
				b.tally()
			case <-b.stop:
				return
			}
			if len(batch) < batchMost {
				continue
			}
		}
		for more := true; more && len(batch) < batchMost; {
			select {
			case in := <-b.mail:
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

// carryOut does what the core wants done. What could not be done at all goes into the next batch.
func (b *Broker) carryOut(out []core.Output, batch []core.Input) []core.Input {
	for _, o := range out {
		switch v := o.(type) {
		case core.Call:
			if !b.fleet.Call(v) {
				now := b.clock.Now()
				for _, p := range v.Parts {
					batch = append(batch, core.Ended{Ref: p.Ref, How: core.NoRoom, At: now})
				}
			}
		case core.Probe:
			if !b.fleet.Probe(v) {
				batch = append(batch, core.Ended{Ref: v.Ref, How: core.NoRoom, At: b.clock.Now()})
			}
		case core.GiveUp:
			b.fleet.GiveUp(v)
		case core.Reply:
			front.Reply(v)
		case core.Move:
			b.fleet.Move(v)
		case core.Probed:
			b.shared.probed(v)
		case core.Listed:
			b.shared.listed(v)
		case core.Tell:
			b.shared.tell(v.Note)
		case core.Judged:
			b.shared.judged(v)
		case core.HeldBack:
			b.shared.heldBack(v)
		case core.Watch:
			b.watch.Ask()
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

// Renew takes up a start file that has been read again: the list is followed at the address that it names. The
// rest of it waits for a restart.
func (b *Broker) Renew(t *config.Told) {
	b.log.Info().Str("discovery", t.Discovery).Strs("at_next_start", b.told.Differ(t)).Msg("start file read again")
	b.watch.Move(t.Discovery)
}

// Fatal brings the error that ends the broker.
func (b *Broker) Fatal() <-chan error { return b.fatal }

// Addr is where clients connect.
func (b *Broker) Addr() string { return b.ln.Addr().String() }

// Stop answers what was taken and ends, at the moments that ending lays out; patience bounds them. Below 0 it is what a
// planned restart leaves.
func (b *Broker) Stop(patience time.Duration) {
	b.log.Info().Msg("stopping")
	close(b.ending)
	leaving := b.stopFeatures()
	longest := 0.0
	for _, typ := range b.told.Site.Types {
		longest = max(longest, typ.Timeout)
	}
	done := b.front.Stop(ending.Begin(longest, float64(patience)/1e6))
	// Nobody comes in any more before it is looked whether nobody is left: who came in between the two was read, and never answered, since nothing decided any more.
	b.ln.Close()
	<-b.served
	if !done || !b.front.Flush(lastWords, lastWords/2) { // no scan goes without an answer, even a bad one
		b.put(core.Closing{})
		b.front.Flush(lastWords, 0)
	}
	b.watch.Stop()
	<-leaving
	close(b.stop)
	b.ended.Wait()
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
			ends.Int(core.End(e).String(), n)
		}
	}
	line := b.log.Info()
	if c.Differs != nil {
		line.Interface("watched", c.Differs)
	}
	line.Int("scans", c.Scans).Int("answered", c.Answered).Int("whole", c.Whole).Int("throttled", c.Throttled).
		Int("full", c.Full).Int("confined", c.Confined).Int("limited", c.Limited).Int("short", c.Short).Int("abandoned", c.Abandoned).Int("left", c.Left).Int("open", b.core.Open()).
		Int("dispatches", c.Dispatches).Int("late", c.Late).Dict("ends", ends).
		Int("clients", b.front.Conns()).Int64("requests", fr.Requests.Load()).Int64("malformed", fr.Malformed.Load()).
		Int64("crowded", fr.Crowded.Load()).Int64("accepts_failed", fr.Failed.Load()).
		Int("node_conns", b.fleet.Conns()).Int64("dials", fl.Dials.Load()).Int64("dials_failed", fl.DialsFailed.Load()).
		Int64("unasked", fl.Unknown.Load()).Int64("bad_frames", fl.Malformed.Load()).
		Uint64("heap_kb", mem.HeapAlloc>>10).Uint64("sys_kb", mem.Sys>>10).Msg("tally")
}
