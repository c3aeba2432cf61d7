// Package balance stands between the data plane and the decision module. It has no I/O, clock or goroutine: requests,
// ended sends, lists of instances and configurations go in, commands come out. It owns the numbers of requests and
// instances, the timers and the settings in the module's terms. What to do is the module's to say.
//
// A request becomes a scan of one part; the services are the cells, and a part's shard is its service. The module
// then covers it as it covers a scan: by one runner, and with a prompt by at most one source to fetch from.
package balance

import (
	"container/heap"
	"hash/fnv"
	"maps"
	"math"
	"slices"

	"gullstair/internal/configuration"
	"gullstair/logic"
)

// Instance is one instance of a service as the registry has it.
type Instance struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	State   logic.Readiness
	Cold    float64 // ms for which it is still slow from its start
}

// Prompt is what a request reads, and who keeps how much of it; instances and stores by their ids.
type Prompt struct {
	Tokens float64
	Shared float64
	Held   map[string]float64
	Home   []string
	Group  map[string]int64  // version of the weights that an instance or store keeps parts of
	Stores map[string]string // zones of the stores, by id
	// FetchTime is the ms that one token takes from a source in the runner's zone; AcrossTime from another zone.
	FetchTime  float64
	AcrossTime float64
}

// Request is what arrives from a client.
type Request struct {
	Route     *configuration.Route
	Service   string
	Budget    float64 // ms that are left for it
	Permitted []string
	Limited   bool // only Permitted may run it
	Prompt    *Prompt
}

// CommandKind says what is to be done with a request.
type CommandKind int

const (
	Send   CommandKind = iota + 1 // to Instance, fetching from Source
	Recall                        // stop waiting for the send with number Attempt
	Finish                        // its answer is whole
	Refuse                        // it never ran: tell the client when to come back
	Fail                          // give it up; it may have run
)

// Command is what the module wants done with one request.
type Command struct {
	Kind     CommandKind
	Request  int64
	Attempt  int
	Instance string
	Source   string  // id of the instance or store to fetch from; empty: none
	Save     bool    // a store is to keep what is read
	Timeout  float64 // ms; of a send
	Backlog  float64 // ms; work that is taken to be outstanding at the instance before this
	Work     float64 // ms; what this adds to it
	After    float64 // ms; when a refused client may come back
}

// Fleet is what the module is told about the brokers and their deployment.
type Fleet struct {
	Brokers      float64
	Zone         string
	BudgetWindow float64 // ms
	BudgetRatio  float64
	BudgetSlack  float64 // of this broker's share
	Notes        bool    // brokers tell each other of the work that they send
	RetryAfter   float64 // ms; the longest that a refused client is told to wait
}

// Balancer is one broker's. One goroutine at a time may call it.
type Balancer struct {
	module logic.Broker
	fleet  Fleet
	seed   uint64

	started   bool
	now       float64
	last      int64
	scans     map[int64]int64 // part of a request, by the request's number
	requests  map[int64]int64 // request, by its part's number
	timers    timerHeap
	services  map[string]int
	zones     map[string]int
	types     map[typeKey]int
	terms     map[string]any
	numbers   map[string]int64 // instances and stores, by id
	ids       map[int64]string
	instances []Instance
	notes     []Note // for the other brokers
}

// typeKey tells routes apart as far as the module's figures of them go.
type typeKey struct {
	kind            configuration.Kind
	service         string
	timeout, target float64 // ms
	attempts        int
	repeatable      bool
	priority        int
}

const mostServices = 256

// New makes a balancer that waits for its first configuration.
func New(seed uint64, fleet Fleet) *Balancer {
	return &Balancer{fleet: fleet, seed: seed, scans: map[int64]int64{}, requests: map[int64]int64{}, services: map[string]int{},
		zones: map[string]int{}, types: map[typeKey]int{}, numbers: map[string]int64{}, ids: map[int64]string{}}
}

// SetFleet tells how many brokers there are now.
func (b *Balancer) SetFleet(now float64, fleet Fleet) []Command {
	if fleet == b.fleet {
		return nil
	}
	b.fleet = fleet
	if !b.started {
		return nil
	}
	return b.restate(now)
}

// SetConfiguration tells the routes.
func (b *Balancer) SetConfiguration(now float64, c *configuration.Configuration) []Command {
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		b.serviceNumber(name)
	}
	for _, route := range c.Routes {
		b.typeOf(route)
	}
	if len(b.types) == 0 {
		return nil
	}
	if !b.started {
		b.started = true
		b.terms = b.newTerms()
		return append(b.step(now, logic.Event{Kind: logic.Started, Seed: b.seed, Terms: b.terms}), b.tellInstances(now)...)
	}
	return b.restate(now)
}

func (b *Balancer) restate(now float64) []Command {
	b.terms = b.newTerms()
	return b.step(now, logic.Event{Kind: logic.TermsChanged, Terms: b.terms})
}

// SetInstances tells all instances that are known.
func (b *Balancer) SetInstances(now float64, instances []Instance) []Command {
	b.instances = instances
	if !b.started {
		return nil
	}
	return b.tellInstances(now)
}

func (b *Balancer) tellInstances(now float64) []Command {
	entries := make([]logic.Entry, 0, len(b.instances))
	known := map[string]bool{}
	for _, i := range b.instances {
		service := b.serviceNumber(i.Service)
		known[i.ID] = true
		entries = append(entries, logic.Entry{Node: b.number(i.ID), Zone: b.zoneNumber(i.Zone), Kind: service, Cell: service,
			Readiness: i.State, Units: float64(max(1, i.Slots))})
	}
	return b.step(now, logic.Event{Kind: logic.ListArrived, List: logic.ListWhole, Entries: entries})
}

// Arrive takes a request and returns its number.
func (b *Balancer) Arrive(now float64, r Request) (int64, []Command) {
	b.last += 2
	request, part := b.last-1, b.last
	b.scans[request], b.requests[part] = part, request
	scan := logic.Event{Kind: logic.ScanArrived, ID: request, Scan: request, TableType: b.typeOf(r.Route), Budget: r.Budget}
	if r.Limited {
		scan.Permitted = map[int64]bool{}
		for _, id := range r.Permitted {
			scan.Permitted[b.number(id)] = true
		}
	}
	arrived := logic.Event{Kind: logic.PartArrived, ID: part, Scan: request, Shard: b.serviceNumber(r.Service), Amount: 1,
		Prompt: b.prompt(r.Prompt)}
	return request, b.step(now, scan, arrived)
}

func (b *Balancer) prompt(p *Prompt) *logic.Prompt {
	if p == nil {
		return nil
	}
	out := &logic.Prompt{Tokens: p.Tokens, Shared: p.Shared, Held: make(map[int64]float64, len(p.Held)), FetchTime: p.FetchTime,
		AcrossTime: p.AcrossTime, Zones: map[int64]int{}, Group: make(map[int64]int64, len(p.Group))}
	for id, tokens := range p.Held {
		out.Held[b.number(id)] = tokens
	}
	for id, group := range p.Group {
		out.Group[b.number(id)] = group
	}
	for _, id := range p.Home {
		out.Home = append(out.Home, b.number(id))
	}
	for _, id := range slices.Sorted(maps.Keys(p.Stores)) {
		out.Stores = append(out.Stores, b.number(id))
		out.Zones[b.number(id)] = b.zoneNumber(p.Stores[id])
	}
	return out
}

// Began tells that the first event of a request's stream has come.
func (b *Balancer) Began(now float64, request int64, attempt int, elapsed float64) []Command {
	part, open := b.scans[request]
	if !open {
		return nil
	}
	return b.step(now, logic.Event{Kind: logic.StreamBegan, ID: part, Dispatch: attempt, Elapsed: elapsed})
}

// Ended tells how a send ended.
func (b *Balancer) Ended(now float64, request int64, attempt int, outcome logic.Outcome, elapsed float64) []Command {
	part, known := b.scans[request]
	if !known {
		return nil
	}
	return b.step(now, logic.Event{Kind: logic.DispatchEnded, ID: part, Dispatch: attempt, Outcome: outcome, Elapsed: elapsed})
}

// Left tells that a request's client has gone.
func (b *Balancer) Left(now float64, request int64) []Command {
	return b.step(now, logic.Event{Kind: logic.ClientLeft, ID: request})
}

// Forget drops a request whose last send has ended and that needs nothing more.
func (b *Balancer) Forget(request int64) {
	delete(b.requests, b.scans[request])
	delete(b.scans, request)
}

// Heard takes what another broker told.
func (b *Balancer) Heard(now float64, note []byte) []Command {
	return b.step(now, logic.Event{Kind: logic.PeerNote, Note: note})
}

// Note is what other brokers are to be told: all of them, or as many as usual.
type Note struct {
	Text []byte
	Wide bool
}

// Notes returns what the other brokers are to be told, once.
func (b *Balancer) Notes() []Note {
	notes := b.notes
	b.notes = nil
	return notes
}

// Due is the moment at which Advance is wanted; +Inf if there is none.
func (b *Balancer) Due() float64 {
	if len(b.timers) == 0 {
		return math.Inf(1)
	}
	return b.timers[0].at
}

// Advance fires the timers that are due.
func (b *Balancer) Advance(now float64) []Command {
	var events []logic.Event
	for len(b.timers) > 0 && b.timers[0].at <= now {
		fired := heap.Pop(&b.timers).(timer)
		events = append(events, logic.Event{Kind: logic.TimerDue, Timer: fired.number})
	}
	if len(events) == 0 {
		return nil
	}
	return b.step(now, events...)
}

func (b *Balancer) step(now float64, events ...logic.Event) []Command {
	if !b.started {
		return nil
	}
	b.now = max(b.now, now)
	var commands []Command
	for _, a := range b.module.Step(b.now, events) {
		switch a.Kind {
		case logic.Dispatch:
			commands = append(commands, Command{Kind: Send, Request: b.requests[a.ID], Instance: b.ids[a.Node], Source: b.ids[a.Source],
				Save: a.Save, Backlog: a.Load, Work: a.Work, Timeout: a.After})
		case logic.Recall:
			commands = append(commands, Command{Kind: Recall, Request: b.requests[a.ID], Attempt: a.Dispatch})
		case logic.Answer:
			commands = append(commands, Command{Kind: Finish, Request: a.ID})
		case logic.Throttle:
			commands = append(commands, Command{Kind: Refuse, Request: a.ID, After: a.After})
		case logic.Abandon:
			commands = append(commands, Command{Kind: Fail, Request: a.ID})
		case logic.Tell:
			b.notes = append(b.notes, Note{Text: a.Note, Wide: a.Wide})
		case logic.SetTimer:
			heap.Push(&b.timers, timer{at: b.now + a.After, number: a.Timer})
		}
	}
	return commands
}

func (b *Balancer) serviceNumber(name string) int { return numberOf(b.services, name) % mostServices }
func (b *Balancer) zoneNumber(name string) int    { return numberOf(b.zones, name) }

func numberOf(numbers map[string]int, name string) int {
	n, known := numbers[name]
	if !known {
		n = len(numbers)
		numbers[name] = n
	}
	return n
}

// number is an instance's number, made of its id: brokers tell each other of instances by it.
func (b *Balancer) number(id string) int64 {
	n, known := b.numbers[id]
	if !known {
		h := fnv.New64a()
		h.Write([]byte(id))
		n = int64(h.Sum64()>>1) | 1
		b.numbers[id], b.ids[n] = n, id
	}
	return n
}

func (b *Balancer) typeOf(r *configuration.Route) int {
	key := typeKey{kind: r.Kind, service: r.Splits[0].Service, timeout: milliseconds(r.Timeout), target: milliseconds(r.Target),
		attempts: r.MaxAttempts, repeatable: repeatable(r), priority: r.Priority}
	n, known := b.types[key]
	if !known {
		n = len(b.types)
		b.types[key] = n
	}
	return n
}

// repeatable says whether requests of a route may run more than once.
func repeatable(r *configuration.Route) bool {
	return r.Kind == configuration.Safe || r.Kind == configuration.Streaming && r.Resumable
}
