// Package emulator is a fleet of stores, their network, discovery, clients and failures, with brokers in their midst, in
// virtual time. The model of a store has no I/O: a drive tells it what arrives and when, and it says what it answers.
// The brokers are the real ones, core and decision module; what they do is judged from the stores' and clients' side.
package emulator

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Kind is a kind of machine.
type Kind struct {
	Name  string
	Cores int
	Speed float64 // of a core, against the work as stated
	Queue int     // parts that may wait beyond those in work
}

// Nature is how stores of a fleet behave; times in ms.
type Nature struct {
	CallWork     float64 // of a call, beside its parts'
	Cancel       string  // what a cancel does: none, queued (waiting parts are dropped) or all
	Repeats      float64 // for so long a keyed part that has run is not run again
	Report       float64 // load reports are refreshed each so long
	ConnWork     float64 // of a new connection
	ConnMost     int     // connections that a store holds
	Cold         float64 // a store warms up for so long
	ColdFrom     float64 // from this share of its capacity
	Fall         float64 // sent more than FallMultiple times what it can do for so long while it is cold, it falls
	FallMultiple float64
	PauseEvery   float64 // it stands still each so long, 0: never,
	PauseFor     float64 // for so long
}

// Part is one dispatch of a part, as it reaches a store.
type Part struct {
	ID      string // the part's, the same for each of its dispatches
	Ref     int64  // the dispatch's own
	Broker  int
	Shard   int
	Work    float64 // ms of a core at speed 1, its share of the call's work in it
	Until   float64 // the broker waits so long
	Key     string
	Text    string
	Type    int
	arrived float64
	gone    bool // cancelled, or its connection has ended
}

// Result is how a part ended at a store.
type Result uint8

const (
	Served   Result = iota + 1
	Failed          // an error
	Rejected        // turned away unseen
	Silent          // no answer ever comes
	Reset           // its connection breaks
	Spoilt          // an answer that can't be read
)

// Done is the end of a part at a store.
type Done struct {
	Part *Part
	How  Result
	Ran  bool // its work was done, or begun
	At   float64
	Cost float64 // ms of core time
}

// Ails are what is wrong with a store at the moment; several may hold at once.
type Ails struct {
	Dead     bool    // the process is gone: connections are refused
	Vanished bool    // the machine is gone: nothing is heard of it
	Refuses  bool    // no new connection is taken
	Mute     bool    // it takes connections and parts and never answers
	Late     bool    // it answers only after its broker has stopped waiting
	Slow     float64 // times as slow; 0: as usual
	Taken    float64 // share of its cores that a neighbour has
	Fails    float64 // share of the parts that it fails at once
	Resets   float64 // share of the parts at which it breaks the connection
	Spoils   float64 // share of the answers that can't be read
	Lies     float64 // its load reports say so many times the truth; 0: the truth
	Frozen   bool    // its load reports are no longer refreshed
}

// Store is one store. It does not know what time it is: each call says.
type Store struct {
	Name   string
	Zone   int
	Cell   int
	Kind   Kind
	Nature *Nature
	Ails   Ails
	Born   float64 // when it started; far below 0: long ago
	Fell   bool    // it was pushed over

	running []*job
	waiting []*job
	memory  *Memory
	report  Load
	repAt   float64
	conns   map[int]bool
	busy    float64 // ms of core time spent, at the state of busyAt
	sent    []sentWork
	sum     float64
	Worked  float64 // ms of core time spent in all
	Wasted  float64 // of it, on what nobody waited for any more
}

// Memory is what stores know together of keyed parts that have run: a repeat is dropped wherever it comes.
type Memory struct {
	ran   map[string]float64
	order []ranKey
}

type ranKey struct {
	key string
	at  float64
}

// NewMemory is empty.
func NewMemory() *Memory { return &Memory{ran: map[string]float64{}} }

type sentWork struct{ at, work float64 }

type job struct {
	p    *Part
	from float64
	ends float64
	fate Result
	cost float64
}

// Load is what a store reports.
type Load struct{ Running, Waiting, Busy float64 }

const longAgo = -1e12

// NewStore makes a store that has been up for long, or starts at born.
func NewStore(name string, zone, cell int, kind Kind, params *Nature, executed *Memory, startedAt float64) *Store {
	return &Store{Name: name, Zone: zone, Cell: cell, Kind: kind, Nature: params, Born: startedAt, memory: executed,
		conns: map[int]bool{}, repAt: longAgo}
}

// Capacity is the share of its full capacity that a store has at a moment.
func (s *Store) Capacity(now float64) float64 {
	age := now - s.Born
	if s.Born <= longAgo/2 || age >= s.Nature.Cold || s.Nature.Cold <= 0 {
		return 1
	}
	return s.Nature.ColdFrom + (1-s.Nature.ColdFrom)*max(0, age)/s.Nature.Cold
}

// Up says whether its process runs and is heard of.
func (s *Store) Up() bool { return !s.Ails.Dead && !s.Ails.Vanished && !s.Fell }

// Connect takes a broker's new connection, or doesn't.
func (s *Store) Connect(broker int) bool {
	if s.Ails.Refuses || len(s.conns) >= max(1, s.Nature.ConnMost) && !s.conns[broker] {
		return false
	}
	s.conns[broker] = true
	return true
}

// Disconnect ends a broker's connection: what it sent is nobody's any more.
func (s *Store) Disconnect(broker int) {
	delete(s.conns, broker)
	for _, jobs := range [][]*job{s.running, s.waiting} {
		for _, j := range jobs {
			j.p.gone = j.p.gone || j.p.Broker == broker
		}
	}
}

// Crash ends all that the store was doing, and its connections. What had begun may have run.
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

// Arrive takes a part at a moment; chance is a number from 0 to 1. Done comes back at once where it needs no work. Fell
// tells that this part has pushed the store over.
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
		return []Done{{Part: p, How: fate, At: now + 0.2}}, false // a repeat that is known: the answer it had
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

// overWork keeps what was sent within the fall's window, and says whether it is more than a cold store bears.
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
	bearable := params.FallMultiple * s.Capacity(now) * float64(s.Kind.Cores) * s.Kind.Speed * params.Fall
	return s.sum > bearable*1.05+3*work
}

// begin puts a part in work on a free core.
func (s *Store) begin(now float64, j *job) {
	speed := s.Kind.Speed * s.Capacity(now) * (1 - min(s.Ails.Taken, 0.99))
	if s.Ails.Slow > 0 {
		speed /= s.Ails.Slow
	}
	j.cost = j.p.Work / speed
	j.from, j.ends = now, s.through(now, j.cost)
	s.running = append(s.running, j)
}

// through is when something that takes so long is over, with the pauses in between.
func (s *Store) through(now, duration float64) float64 {
	interval, pause := s.Nature.PauseEvery, s.Nature.PauseFor
	if interval <= 0 || pause <= 0 || pause >= interval {
		return now + duration
	}
	// Each store pauses at moments of its own.
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

// Due is when Step is wanted next.
func (s *Store) Due() float64 {
	earliest := math.Inf(1)
	for _, j := range s.running {
		earliest = min(earliest, j.ends)
	}
	return earliest
}

// Step ends what is over by now and begins what waits.
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

// next puts the first that waits in work; what was cancelled while it waited is dropped where the site drops it.
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

// keep remembers a key that has run, and forgets those whose time is over.
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

// Cancel says that nobody waits for a dispatch any more. It returns whether that dispatch will not run for it.
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

// Reported is the load that the store tells at a moment: refreshed now and then, and not always the truth.
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

// Out is how many parts are at the store.
func (s *Store) Out() int { return len(s.running) + len(s.waiting) }

// Value is what any store answers for a part: it depends on shard, text and step alone, so a wrong or mixed-up answer is
// seen. Score likewise.
func Value(shard int, text string, secondStep bool) string {
	suffix := ""
	if secondStep {
		suffix = ".get"
	}
	return strconv.FormatUint(xxhash.Sum64String(strconv.Itoa(shard)+"/"+text+suffix), 16)
}

// Score ranks a shard for a text.
func Score(shard int, text string) float64 {
	return float64(xxhash.Sum64String(text+"?"+strconv.Itoa(shard)) >> 12)
}
