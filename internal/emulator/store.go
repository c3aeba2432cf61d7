// Package emulator runs a fleet of brokers against emulated stores, networks, discovery, clients and faults. A run is in
// virtual time, or in real time on loopback with broker processes.
//
// The model of a store has no I/O and no clock: its caller passes in each part with the time of its arrival and gets back
// the results with their times. The brokers under test are the real ones, with their core and decision module. A checker
// verifies their behavior only by what stores and clients observe.
package emulator

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// MachineKind is a type of machine on which stores run.
type Kind struct {
	Name  string
	Cores int     // parts that run at the same time, one per core
	Speed float64 // of a core, relative to the one for which work is stated
	Queue int     // most parts in the queue, beyond those that run
}

// Behavior holds the parameters of the store model, the same for all stores of a fleet. Times are in ms.
type Nature struct {
	CallWork     float64 // work of a call in addition to its parts
	Cancel       string  // parts that a cancel request stops: "none", "queued" (only those that have not begun) or "all"
	Repeats      float64 // time for which a keyed part that has run is not run again
	Report       float64 // time between refreshes of the load report
	ConnWork     float64 // work of accepting a connection
	ConnMost     int     // most connections at a store
	Cold         float64 // time from the start of a store until it has full capacity
	ColdFrom     float64 // share of the full capacity at the start; it grows linearly
	Fall         float64 // sliding window over which the overload of a store that warms up is measured
	FallMultiple float64 // such a store crashes if it is sent more than this multiple of its capacity in the window
	PauseEvery   float64 // time between the starts of two pauses; 0: no pauses
	PauseFor     float64 // length of a pause
}

// Part is one dispatch of a part of a scan, as a store receives it. Times are in ms.
type Part struct {
	ID      string // of the part, the same for all its dispatches
	Ref     int64  // of the dispatch, unique
	Broker  int
	Shard   int
	Work    float64 // ms of a core at speed 1, with its share of the work of the call
	Until   float64 // time until which the broker waits for the answer
	Key     string  // idempotency key; empty: none
	Text    string
	Type    int
	arrived float64
	gone    bool // cancelled, or its connection has closed: nobody waits for the answer
}

// PartResult is how a dispatch ended at a store.
type Result uint8

const (
	Served   Result = iota + 1 // answered with a value
	Failed                     // answered with an error
	Rejected                   // rejected without being run: the queue is full
	Silent                     // never answered
	Reset                      // the connection is reset
	Spoilt                     // answered with a malformed message
)

// Completion is the end of a dispatch at a store.
type Done struct {
	Part *Part
	How  Result
	Ran  bool    // its work was done, at least in part
	At   float64 // time of the answer, in ms
	Cost float64 // core time in ms that is wasted if the answer is lost; 0 if it is already counted as wasted
}

// StoreFaults are the faults of a store that are in effect. Several can be in effect at once.
type Ails struct {
	Dead     bool    // the process has ended: connections are refused
	Vanished bool    // the machine is unreachable: packets get no response
	Refuses  bool    // new connections are refused
	Mute     bool    // connections and parts are accepted and never answered
	Late     bool    // answers are sent only after the broker has stopped waiting
	Slow     float64 // factor by which parts take longer; 0: none
	Taken    float64 // share of the CPU that another program on the machine takes
	Fails    float64 // share of the parts that fail at once
	Resets   float64 // share of the parts on which the connection is reset
	Spoils   float64 // share of the answers that are malformed
	Lies     float64 // factor by which load reports are wrong; 0: they are right
	Frozen   bool    // load reports are not refreshed
}

// Store is the model of one store. It has no clock: the caller passes the time, in ms, to each method.
type Store struct {
	Name   string
	Zone   int
	Cell   int
	Kind   Kind
	Nature *Nature
	Ails   Ails
	Born   float64 // time of its start; below longAgo/2: it has been warm since before the run
	Fell   bool    // it crashed from overload while it was warming up

	running []*job
	waiting []*job
	memory  *Memory
	report  Load // the last load report
	repAt   float64
	conns   map[int]bool // open connections by broker
	busy    float64      // core time in ms of the parts that ran to the end
	sent    []sentWork   // received within the overload window
	sum     float64      // total work in recentWork
	Worked  float64      // core time used, in ms
	Wasted  float64      // core time in ms, out of the time used, whose result was lost, failed or no longer waited for
}

// ExecutedKeys records the keyed parts that have run. All stores share it, so that a repeat is not run again at any store.
type Memory struct {
	ran   map[string]float64 // time of the last run by key
	order []ranKey           // all recorded runs, oldest first
}

// executedKey is one run of a keyed part.
type ranKey struct {
	key string
	at  float64
}

// NewExecutedKeys returns an empty record.
func NewMemory() *Memory { return &Memory{ran: map[string]float64{}} }

// workSample is the work of a received part with its arrival time.
type sentWork struct{ at, work float64 }

// job is a part that runs or is queued.
type job struct {
	p    *Part
	from float64 // time of its start; of its arrival while it is queued
	ends float64
	fate Result
	cost float64 // core time in ms
}

// Load is the load report of a store: the number of running and of queued parts, and the share of cores in use.
type Load struct{ Running, Waiting, Busy float64 }

const longAgo = -1e12 // start time of stores that run since before the emulation

// NewStore returns a store that starts at startedAt. With longAgo it has full capacity from the beginning.
func NewStore(name string, zone, cell int, kind Kind, params *Nature, executed *Memory, startedAt float64) *Store {
	return &Store{Name: name, Zone: zone, Cell: cell, Kind: kind, Nature: params, Born: startedAt, memory: executed,
		conns: map[int]bool{}, repAt: longAgo}
}

// Capacity returns the share of its full capacity that the store has at a time. It grows linearly over the warm-up.
func (s *Store) Capacity(now float64) float64 {
	age := now - s.Born
	if s.Born <= longAgo/2 || age >= s.Nature.Cold || s.Nature.Cold <= 0 {
		return 1
	}
	return s.Nature.ColdFrom + (1-s.Nature.ColdFrom)*max(0, age)/s.Nature.Cold
}

// Reachable reports whether the process runs and its machine can be reached.
func (s *Store) Up() bool { return !s.Ails.Dead && !s.Ails.Vanished && !s.Fell }

// Connect reports whether the store accepts a new connection of a broker, and records the connection if so.
func (s *Store) Connect(broker int) bool {
	if s.Ails.Refuses || len(s.conns) >= max(1, s.Nature.ConnMost) && !s.conns[broker] {
		return false
	}
	s.conns[broker] = true
	return true
}

// Disconnect ends the connection of a broker and marks the parts that came on it as abandoned. Those that run go on;
// queued ones are dropped when their turn comes, unless the cancel mode is "none".
func (s *Store) Disconnect(broker int) {
	delete(s.conns, broker)
	for _, jobs := range [][]*job{s.running, s.waiting} {
		for _, j := range jobs {
			j.p.gone = j.p.gone || j.p.Broker == broker
		}
	}
}

// Crash ends all running and queued parts and all connections. Running parts count as executed, since their effect may
// have happened.
func (s *Store) Crash() (aborted []Done) {
	for _, j := range s.running {
		s.Worked, s.Wasted = s.Worked+j.cost, s.Wasted+j.cost
		aborted = append(aborted, Done{Part: j.p, How: Reset, Ran: true})
	}
	for _, j := range s.waiting {
		aborted = append(aborted, Done{Part: j.p, How: Reset})
	}
	s.running, s.waiting, s.sent, s.sum = nil, nil, nil, 0
	clear(s.conns)
	return aborted
}

// Receive accepts a part at a time. draw is a random number in [0, 1) that selects the fault of this part, if any. Receive
// returns the completions that need no work: errors, rejections, known repeats. overloaded reports that this part made the
// store crash; then the completions cover all parts at the store.
func (s *Store) Arrive(now float64, p *Part, draw float64) (completions []Done, overloaded bool) {
	p.arrived = now
	if s.overWork(now, p.Work) {
		s.Fell = true
		return append(s.Crash(), Done{Part: p, How: Reset}), true
	}
	faults := &s.Ails
	fate := Served
	switch {
	case faults.Mute:
		fate = Silent
	case draw < faults.Fails:
		return []Done{{Part: p, How: Failed, Ran: true, At: now + 0.2}}, false
	case draw < faults.Fails+faults.Resets:
		return []Done{{Part: p, How: Reset, Ran: true, At: now + 0.2}}, false
	case draw < faults.Fails+faults.Resets+faults.Spoils:
		fate = Spoilt
	}
	if ranAt, ran := s.memory.ran[p.Key]; p.Key != "" && ran && now-ranAt <= s.Nature.Repeats {
		return []Done{{Part: p, How: fate, At: now + 0.2}}, false // a known repeat is answered without being run
	}
	j := &job{p: p, from: now, fate: fate}
	switch {
	case len(s.running) < s.Kind.Cores:
		s.begin(now, j)
	case len(s.waiting) >= s.Kind.Queue:
		return []Done{{Part: p, How: Rejected, At: now}}, false
	default:
		s.waiting = append(s.waiting, j)
	}
	return nil, false
}

// overloads records the work of a part and reports whether the work received within the overload window is more than a
// store that is warming up can take, with a margin of 5% plus three parts of this size.
func (s *Store) overWork(now, work float64) bool {
	params := s.Nature
	if params.Fall <= 0 || s.Capacity(now) >= 1 {
		s.sent, s.sum = nil, 0
		return false
	}
	s.sent, s.sum = append(s.sent, sentWork{now, work}), s.sum+work
	for len(s.sent) > 0 && s.sent[0].at < now-params.Fall {
		s.sum -= s.sent[0].work
		s.sent = s.sent[1:]
	}
	maxWork := params.FallMultiple * s.Capacity(now) * float64(s.Kind.Cores) * s.Kind.Speed * params.Fall
	return s.sum > maxWork*1.05+3*work
}

// startJob starts a job on a free core.
func (s *Store) begin(now float64, j *job) {
	speed := s.Kind.Speed * s.Capacity(now) * (1 - min(s.Ails.Taken, 0.99))
	if s.Ails.Slow > 0 {
		speed /= s.Ails.Slow
	}
	j.cost = j.p.Work / speed
	j.from, j.ends = now, s.through(now, j.cost)
	s.running = append(s.running, j)
}

// completionTime returns the time at which work that starts now and takes duration ends, with the pauses in between.
func (s *Store) through(now, duration float64) float64 {
	interval, pause := s.Nature.PauseEvery, s.Nature.PauseFor
	if interval <= 0 || pause <= 0 || pause >= interval {
		return now + duration
	}
	// The offset is derived from the name, so that stores do not pause at the same time.
	offset := float64(xxhash.Sum64String(s.Name)%1000) / 1000 * interval
	for {
		phase := math.Mod(now+offset, interval)
		if phase < pause {
			now += pause - phase
			phase = pause
		}
		if untilPause := interval - phase; duration > untilPause {
			duration, now = duration-untilPause, now+untilPause
			continue
		}
		return now + duration
	}
}

// NextCompletion returns the time at which the next running part ends, or +Inf if none runs. Call Advance at that time.
func (s *Store) Due() float64 {
	earliest := math.Inf(1)
	for _, j := range s.running {
		earliest = min(earliest, j.ends)
	}
	return earliest
}

// Advance completes the parts that end by now, in the order of their ends, and starts queued parts in their place.
func (s *Store) Step(now float64) (completions []Done) {
	for {
		first := -1
		for i, j := range s.running {
			if j.ends <= now && (first < 0 || j.ends < s.running[first].ends) {
				first = i
			}
		}
		if first < 0 {
			return completions
		}
		j := s.running[first]
		s.running = append(s.running[:first], s.running[first+1:]...)
		s.Worked += j.cost
		s.busy += j.cost
		c := Done{Part: j.p, How: j.fate, Ran: true, At: j.ends, Cost: j.cost}
		if j.p.gone || j.ends > j.p.Until || j.fate != Served {
			s.Wasted, c.Cost = s.Wasted+j.cost, 0
		}
		s.keep(j.p.Key, j.ends)
		if s.Ails.Late {
			c.At = max(c.At, j.p.Until+5)
		}
		completions = append(completions, c)
		s.next(j.ends)
	}
}

// startQueued starts queued parts while cores are free. It drops those whose broker no longer waits, unless the cancel
// mode is "none".
func (s *Store) next(now float64) {
	for len(s.waiting) > 0 && len(s.running) < s.Kind.Cores {
		j := s.waiting[0]
		s.waiting[0] = nil
		s.waiting = s.waiting[1:]
		if j.p.gone && s.Nature.Cancel != "none" {
			continue
		}
		s.begin(now, j)
	}
}

// recordKey records the run of a keyed part and deletes the keys whose repeat window has ended.
func (s *Store) keep(key string, now float64) {
	if key == "" {
		return
	}
	executed := s.memory
	executed.ran[key] = now
	executed.order = append(executed.order, ranKey{key, now})
	for len(executed.order) > 0 && executed.order[0].at < now-s.Nature.Repeats {
		if executed.ran[executed.order[0].key] == executed.order[0].at {
			delete(executed.ran, executed.order[0].key)
		}
		executed.order = executed.order[1:]
	}
}

// Cancel handles the request to cancel a dispatch, according to the cancel mode. It reports whether this prevents the
// dispatch from running: it was queued and has been dropped.
func (s *Store) Cancel(now float64, ref int64) bool {
	for i, j := range s.waiting {
		if j.p.Ref == ref {
			j.p.gone = true
			if s.Nature.Cancel != "none" {
				s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
				return true
			}
			return false
		}
	}
	for i, j := range s.running {
		if j.p.Ref == ref {
			j.p.gone = true
			if s.Nature.Cancel == "all" {
				s.running = append(s.running[:i], s.running[i+1:]...)
				s.Worked += max(0, now-j.from)
				s.Wasted += max(0, now-j.from)
				s.next(now)
			}
			return false
		}
	}
	return false
}

// LoadReport returns the load report of the store at a time. It is refreshed at the report interval, and faults can freeze
// or falsify it.
func (s *Store) Reported(now float64) Load {
	if !s.Ails.Frozen && now-s.repAt >= s.Nature.Report {
		s.report = Load{float64(len(s.running)), float64(len(s.waiting)), float64(len(s.running)) / float64(s.Kind.Cores)}
		s.repAt = now
	}
	load := s.report
	if s.Ails.Lies > 0 {
		load.Running, load.Waiting, load.Busy = load.Running*s.Ails.Lies, load.Waiting*s.Ails.Lies, min(1, load.Busy*s.Ails.Lies)
	}
	return load
}

// Outstanding returns the number of running and queued parts.
func (s *Store) Out() int { return len(s.running) + len(s.waiting) }

// PartValue returns the value with which any store answers a part. It depends only on shard, text and step, so that the
// checker detects a wrong answer or one that belongs to another part.
func Value(shard int, text string, secondStep bool) string {
	suffix := ""
	if secondStep {
		suffix = ".get"
	}
	return strconv.FormatUint(xxhash.Sum64String(strconv.Itoa(shard)+"/"+text+suffix), 16)
}

// PartScore returns the score of a shard for a text. It depends only on these two, like PartValue.
func Score(shard int, text string) float64 {
	return float64(xxhash.Sum64String(text+"?"+strconv.Itoa(shard)) >> 12)
}
