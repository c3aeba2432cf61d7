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
type MachineKind struct {
	Name      string
	Cores     int     // parts that run at the same time, one per core
	Speed     float64 // of a core, relative to the one for which work is stated
	QueueSize int     // maximum number of queued parts, beyond those that run
}

// Behavior holds the parameters of the store model, the same for all stores of a fleet. Times are in ms.
type Behavior struct {
	CallWork         float64 // work of a call in addition to its parts
	CancelMode       string  // parts that a cancel request stops: "none", "queued" (only those that have not begun) or "all"
	RepeatWindow     float64 // time for which a keyed part that has run is not run again
	ReportInterval   float64 // time between refreshes of the load report
	ConnWork         float64 // work of accepting a connection
	MaxConns         int     // maximum number of connections at a store
	WarmUp           float64 // time from the start of a store until it has full capacity
	StartCapacity    float64 // share of the full capacity at the start; it grows linearly
	OverloadWindow   float64 // sliding window over which the overload of a store that warms up is measured
	OverloadMultiple float64 // such a store crashes if it is sent more than this multiple of its capacity in the window
	PauseInterval    float64 // time between the starts of two pauses; 0: no pauses
	PauseDuration    float64 // length of a pause
}

// Part is one dispatch of a part of a scan, as a store receives it. Times are in ms.
type Part struct {
	ID        string // of the part, the same for all its dispatches
	Ref       int64  // of the dispatch, unique
	Broker    int
	Shard     int
	Work      float64 // ms of a core at speed 1, with its share of the work of the call
	Deadline  float64 // time until which the broker waits for the answer
	Key       string  // idempotency key; empty: none
	Text      string
	Type      int
	arrivedAt float64
	abandoned bool // cancelled, or its connection has closed: nobody waits for the answer
}

// PartResult is how a dispatch ended at a store.
type PartResult uint8

const (
	Served    PartResult = iota + 1 // answered with a value
	Failed                          // answered with an error
	Rejected                        // rejected without being run: the queue is full
	NoAnswer                        // never answered
	ConnReset                       // the connection is reset
	Malformed                       // answered with a malformed message
)

// Completion is the end of a dispatch at a store.
type Completion struct {
	Part     *Part
	Result   PartResult
	Executed bool    // its work was done, at least in part
	At       float64 // time of the answer, in ms
	CoreTime float64 // core time in ms that is wasted if the answer is lost; 0 if it is already counted as wasted
}

// StoreFaults are the faults of a store that are in effect. Several can be in effect at once.
type StoreFaults struct {
	Crashed       bool    // the process has ended: connections are refused
	Unreachable   bool    // the machine is unreachable: packets get no response
	RefusesConns  bool    // new connections are refused
	NeverAnswers  bool    // connections and parts are accepted and never answered
	AnswersLate   bool    // answers are sent only after the broker has stopped waiting
	Slowdown      float64 // factor by which parts take longer; 0: none
	CPUTaken      float64 // share of the CPU that another program on the machine takes
	FailureRate   float64 // share of the parts that fail at once
	ResetRate     float64 // share of the parts on which the connection is reset
	MalformedRate float64 // share of the answers that are malformed
	LoadFactor    float64 // factor by which load reports are wrong; 0: they are right
	LoadFrozen    bool    // load reports are not refreshed
}

// Store is the model of one store. It has no clock: the caller passes the time, in ms, to each method.
type Store struct {
	Name        string
	Zone        int
	Cell        int
	MachineKind MachineKind
	Behavior    *Behavior
	Faults      StoreFaults
	StartedAt   float64 // time of its start; below longAgo/2: it has been warm since before the run
	Overloaded  bool    // it crashed from overload while it was warming up

	running        []*job
	queued         []*job
	executedKeys   *ExecutedKeys
	lastReport     Load // the last load report
	reportedAt     float64
	conns          map[int]bool // open connections by broker
	completedTime  float64      // core time in ms of the parts that ran to the end
	recentWork     []workSample // received within the overload window
	recentTotal    float64      // total work in recentWork
	CoreTimeUsed   float64      // core time used, in ms
	CoreTimeWasted float64      // core time in ms, out of the time used, whose result was lost, failed or no longer waited for
}

// ExecutedKeys records the keyed parts that have run. All stores share it, so that a repeat is not run again at any store.
type ExecutedKeys struct {
	lastRun map[string]float64 // time of the last run by key
	byTime  []executedKey      // all recorded runs, oldest first
}

// executedKey is one run of a keyed part.
type executedKey struct {
	key string
	at  float64
}

// NewExecutedKeys returns an empty record.
func NewExecutedKeys() *ExecutedKeys { return &ExecutedKeys{lastRun: map[string]float64{}} }

// workSample is the work of a received part with its arrival time.
type workSample struct{ at, work float64 }

// job is a part that runs or is queued.
type job struct {
	p         *Part
	startedAt float64 // time of its start; of its arrival while it is queued
	endsAt    float64
	result    PartResult
	coreTime  float64 // core time in ms
}

// Load is the load report of a store: the number of running and of queued parts, and the share of cores in use.
type Load struct{ Running, Queued, Utilization float64 }

const longAgo = -1e12 // start time of stores that run since before the emulation

// NewStore returns a store that starts at startedAt. With longAgo it has full capacity from the beginning.
func NewStore(name string, zone, cell int, kind MachineKind, params *Behavior, executed *ExecutedKeys, startedAt float64) *Store {
	return &Store{Name: name, Zone: zone, Cell: cell, MachineKind: kind, Behavior: params, StartedAt: startedAt, executedKeys: executed,
		conns: map[int]bool{}, reportedAt: longAgo}
}

// Capacity returns the share of its full capacity that the store has at a time. It grows linearly over the warm-up.
func (s *Store) Capacity(now float64) float64 {
	age := now - s.StartedAt
	if s.StartedAt <= longAgo/2 || age >= s.Behavior.WarmUp || s.Behavior.WarmUp <= 0 {
		return 1
	}
	return s.Behavior.StartCapacity + (1-s.Behavior.StartCapacity)*max(0, age)/s.Behavior.WarmUp
}

// Reachable reports whether the process runs and its machine can be reached.
func (s *Store) Reachable() bool { return !s.Faults.Crashed && !s.Faults.Unreachable && !s.Overloaded }

// Connect reports whether the store accepts a new connection of a broker, and records the connection if so.
func (s *Store) Connect(broker int) bool {
	if s.Faults.RefusesConns || len(s.conns) >= max(1, s.Behavior.MaxConns) && !s.conns[broker] {
		return false
	}
	s.conns[broker] = true
	return true
}

// Disconnect ends the connection of a broker and marks the parts that arrived on it as abandoned. Those that run go on;
// queued ones are dropped when their turn comes, unless the cancel mode is "none".
func (s *Store) Disconnect(broker int) {
	delete(s.conns, broker)
	for _, jobs := range [][]*job{s.running, s.queued} {
		for _, j := range jobs {
			j.p.abandoned = j.p.abandoned || j.p.Broker == broker
		}
	}
}

// Crash ends all running and queued parts and all connections. Running parts count as executed, since their effect may
// have happened.
func (s *Store) Crash() (aborted []Completion) {
	for _, j := range s.running {
		s.CoreTimeUsed, s.CoreTimeWasted = s.CoreTimeUsed+j.coreTime, s.CoreTimeWasted+j.coreTime
		aborted = append(aborted, Completion{Part: j.p, Result: ConnReset, Executed: true})
	}
	for _, j := range s.queued {
		aborted = append(aborted, Completion{Part: j.p, Result: ConnReset})
	}
	s.running, s.queued, s.recentWork, s.recentTotal = nil, nil, nil, 0
	clear(s.conns)
	return aborted
}

// Receive accepts a part at a time. draw is a random number in [0, 1) that selects the fault of this part, if any. Receive
// returns the completions that need no work: errors, rejections, known repeats. overloaded reports that this part made the
// store crash; then the completions cover all parts at the store.
func (s *Store) Receive(now float64, p *Part, draw float64) (completions []Completion, overloaded bool) {
	p.arrivedAt = now
	if s.overloads(now, p.Work) {
		s.Overloaded = true
		return append(s.Crash(), Completion{Part: p, Result: ConnReset}), true
	}
	faults := &s.Faults
	result := Served
	switch {
	case faults.NeverAnswers:
		result = NoAnswer
	case draw < faults.FailureRate:
		return []Completion{{Part: p, Result: Failed, Executed: true, At: now + 0.2}}, false
	case draw < faults.FailureRate+faults.ResetRate:
		return []Completion{{Part: p, Result: ConnReset, Executed: true, At: now + 0.2}}, false
	case draw < faults.FailureRate+faults.ResetRate+faults.MalformedRate:
		result = Malformed
	}
	if ranAt, ran := s.executedKeys.lastRun[p.Key]; p.Key != "" && ran && now-ranAt <= s.Behavior.RepeatWindow {
		return []Completion{{Part: p, Result: result, At: now + 0.2}}, false // a known repeat is answered without being run
	}
	j := &job{p: p, startedAt: now, result: result}
	switch {
	case len(s.running) < s.MachineKind.Cores:
		s.startJob(now, j)
	case len(s.queued) >= s.MachineKind.QueueSize:
		return []Completion{{Part: p, Result: Rejected, At: now}}, false
	default:
		s.queued = append(s.queued, j)
	}
	return nil, false
}

// overloads records the work of a part and reports whether the work received within the overload window is more than a
// store that is warming up can take, with a margin of 5% plus three parts of this size.
func (s *Store) overloads(now, work float64) bool {
	params := s.Behavior
	if params.OverloadWindow <= 0 || s.Capacity(now) >= 1 {
		s.recentWork, s.recentTotal = nil, 0
		return false
	}
	s.recentWork, s.recentTotal = append(s.recentWork, workSample{now, work}), s.recentTotal+work
	for len(s.recentWork) > 0 && s.recentWork[0].at < now-params.OverloadWindow {
		s.recentTotal -= s.recentWork[0].work
		s.recentWork = s.recentWork[1:]
	}
	maxWork := params.OverloadMultiple * s.Capacity(now) * float64(s.MachineKind.Cores) * s.MachineKind.Speed * params.OverloadWindow
	return s.recentTotal > maxWork*1.05+3*work
}

// startJob starts a job on a free core.
func (s *Store) startJob(now float64, j *job) {
	speed := s.MachineKind.Speed * s.Capacity(now) * (1 - min(s.Faults.CPUTaken, 0.99))
	if s.Faults.Slowdown > 0 {
		speed /= s.Faults.Slowdown
	}
	j.coreTime = j.p.Work / speed
	j.startedAt, j.endsAt = now, s.completionTime(now, j.coreTime)
	s.running = append(s.running, j)
}

// completionTime returns the time at which work that starts now and takes duration ends, with the pauses in between.
func (s *Store) completionTime(now, duration float64) float64 {
	interval, pause := s.Behavior.PauseInterval, s.Behavior.PauseDuration
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
func (s *Store) NextCompletion() float64 {
	earliest := math.Inf(1)
	for _, j := range s.running {
		earliest = min(earliest, j.endsAt)
	}
	return earliest
}

// Advance completes the parts that end by now, in the order of their ends, and starts queued parts in their place.
func (s *Store) Advance(now float64) (completions []Completion) {
	for {
		first := -1
		for i, j := range s.running {
			if j.endsAt <= now && (first < 0 || j.endsAt < s.running[first].endsAt) {
				first = i
			}
		}
		if first < 0 {
			return completions
		}
		j := s.running[first]
		s.running = append(s.running[:first], s.running[first+1:]...)
		s.CoreTimeUsed += j.coreTime
		s.completedTime += j.coreTime
		c := Completion{Part: j.p, Result: j.result, Executed: true, At: j.endsAt, CoreTime: j.coreTime}
		if j.p.abandoned || j.endsAt > j.p.Deadline || j.result != Served {
			s.CoreTimeWasted, c.CoreTime = s.CoreTimeWasted+j.coreTime, 0
		}
		s.recordKey(j.p.Key, j.endsAt)
		if s.Faults.AnswersLate {
			c.At = max(c.At, j.p.Deadline+5)
		}
		completions = append(completions, c)
		s.startQueued(j.endsAt)
	}
}

// startQueued starts queued parts while cores are free. It drops those whose broker no longer waits, unless the cancel
// mode is "none".
func (s *Store) startQueued(now float64) {
	for len(s.queued) > 0 && len(s.running) < s.MachineKind.Cores {
		j := s.queued[0]
		s.queued[0] = nil
		s.queued = s.queued[1:]
		if j.p.abandoned && s.Behavior.CancelMode != "none" {
			continue
		}
		s.startJob(now, j)
	}
}

// recordKey records the run of a keyed part and deletes the keys whose repeat window has ended.
func (s *Store) recordKey(key string, now float64) {
	if key == "" {
		return
	}
	executed := s.executedKeys
	executed.lastRun[key] = now
	executed.byTime = append(executed.byTime, executedKey{key, now})
	for len(executed.byTime) > 0 && executed.byTime[0].at < now-s.Behavior.RepeatWindow {
		if executed.lastRun[executed.byTime[0].key] == executed.byTime[0].at {
			delete(executed.lastRun, executed.byTime[0].key)
		}
		executed.byTime = executed.byTime[1:]
	}
}

// Cancel handles the request to cancel a dispatch, according to the cancel mode. It reports whether this prevents the
// dispatch from running: it was queued and has been dropped.
func (s *Store) Cancel(now float64, ref int64) bool {
	for i, j := range s.queued {
		if j.p.Ref == ref {
			j.p.abandoned = true
			if s.Behavior.CancelMode != "none" {
				s.queued = append(s.queued[:i], s.queued[i+1:]...)
				return true
			}
			return false
		}
	}
	for i, j := range s.running {
		if j.p.Ref == ref {
			j.p.abandoned = true
			if s.Behavior.CancelMode == "all" {
				s.running = append(s.running[:i], s.running[i+1:]...)
				s.CoreTimeUsed += max(0, now-j.startedAt)
				s.CoreTimeWasted += max(0, now-j.startedAt)
				s.startQueued(now)
			}
			return false
		}
	}
	return false
}

// LoadReport returns the load report of the store at a time. It is refreshed at the report interval, and faults can freeze
// or falsify it.
func (s *Store) LoadReport(now float64) Load {
	if !s.Faults.LoadFrozen && now-s.reportedAt >= s.Behavior.ReportInterval {
		s.lastReport = Load{float64(len(s.running)), float64(len(s.queued)), float64(len(s.running)) / float64(s.MachineKind.Cores)}
		s.reportedAt = now
	}
	load := s.lastReport
	if s.Faults.LoadFactor > 0 {
		load.Running, load.Queued, load.Utilization = load.Running*s.Faults.LoadFactor, load.Queued*s.Faults.LoadFactor, min(1, load.Utilization*s.Faults.LoadFactor)
	}
	return load
}

// Outstanding returns the number of running and queued parts.
func (s *Store) Outstanding() int { return len(s.running) + len(s.queued) }

// PartValue returns the value with which any store answers a part. It depends only on shard, text and step, so that the
// checker detects a wrong answer or one that belongs to another part.
func PartValue(shard int, text string, secondStep bool) string {
	suffix := ""
	if secondStep {
		suffix = ".get"
	}
	return strconv.FormatUint(xxhash.Sum64String(strconv.Itoa(shard)+"/"+text+suffix), 16)
}

// PartScore returns the score of a shard for a text. It depends only on these two, like PartValue.
func PartScore(shard int, text string) float64 {
	return float64(xxhash.Sum64String(text+"?"+strconv.Itoa(shard)) >> 12)
}
