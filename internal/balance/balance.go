// Package balance adapts the data plane to the decision module (package logic). It does no I/O and has no clock or
// goroutine: it turns requests, results of attempts, instance lists and configurations into events of the module, and
// the module's actions into commands. It assigns the numbers of requests and instances, keeps the timers and translates
// the settings into the module's terms. All decisions are the module's.
//
// A request becomes a scan with one part; each service is a cell, and the shard of a part is its service. The module
// places the part as it places any scan: on one instance that runs it and, for a prompt, with at most one source to
// fetch cached parts from.
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

// Instance is one instance of a service, as registered.
type Instance struct {
	ID            string
	Service       string
	Address       string
	Zone          string
	Slots         int
	State         logic.Readiness
	SlowStartLeft float64 // ms of slow start that remain
}

// Prompt describes the prompt of a request and which instances and stores cache how much of it. Instances and stores are
// named by their ids.
type Prompt struct {
	Tokens          float64            // length of the prompt
	SharedTokens    float64            // tokens of the parts that other requests may share
	CachedTokens    map[string]float64 // leading tokens of the prompt that are cached, by id
	PlacementOrder  []string           // ids of the instances, the preferred place of the shared parts first
	WeightsVersions map[string]int64   // version of the weights that the cached parts belong to, by id
	StoreZones      map[string]string  // zones of the stores, by id
	// The time in ms to fetch one token from a source in the zone of the running instance, and from another zone.
	FetchMsPerToken          float64
	CrossZoneFetchMsPerToken float64
}

// Request is a request of a client.
type Request struct {
	Route      *configuration.Route
	Service    string
	TimeLeft   float64 // ms until its deadline
	Permitted  []string
	Restricted bool // only the instances in Permitted may run it
	Prompt     *Prompt
}

// CommandKind is the kind of a Command.
type CommandKind int

const (
	Send          CommandKind = iota + 1 // send the request to Instance, which fetches cached parts from Source
	CancelAttempt                        // cancel the attempt with number Attempt
	Finish                               // the answer is complete
	Refuse                               // the request never ran: tell the client when to retry
	Fail                                 // give the request up; it may have run
)

// Command is a decision of the module about one request.
type Command struct {
	Kind        CommandKind
	Request     int64
	Attempt     int
	Instance    string
	Source      string  // id of the instance or store to fetch cached parts from; empty if none
	SaveToStore bool    // the instance saves the prompt's parts in the store
	Timeout     float64 // ms; timeout of the attempt
	Backlog     float64 // ms; estimated work outstanding at the instance before this request
	Work        float64 // ms; estimated work of this request
	RetryAfter  float64 // ms after which a refused client may retry
}

// Fleet describes the brokers and their deployment to the module.
type Fleet struct {
	Brokers       float64
	Zone          string
	BudgetWindow  float64 // ms
	BudgetRatio   float64
	BudgetSlack   float64 // attempts of this broker's share, beside the ratio
	PeerNotes     bool    // brokers notify each other of the work that they send to instances
	MaxRetryAfter float64 // ms; upper bound of the retry delay that a refused client gets
}

// Balancer drives the decision module of one broker. It is not safe for concurrent use.
type Balancer struct {
	module logic.Broker
	fleet  Fleet
	seed   uint64

	started    bool
	now        float64
	lastNumber int64
	partOf     map[int64]int64 // number of a request's part, by the request's number
	requestOf  map[int64]int64 // number of a request, by its part's number
	timers     timerHeap
	services   map[string]int
	zones      map[string]int
	routeTypes map[routeTypeKey]int
	terms      map[string]any
	numberByID map[string]int64 // numbers of instances and stores, by id
	idByNumber map[int64]string
	instances  []Instance
	notes      []Note // notes for the other brokers that Notes has not returned yet
}

// routeTypeKey identifies a type of routes: the module keeps one set of statistics for all routes with the same key.
type routeTypeKey struct {
	kind            configuration.Kind
	service         string
	timeout, target float64 // ms
	attempts        int
	repeatable      bool
	priority        int
}

// maxServices is the number of cells and shards that the module is set up with. Further services share their numbers.
const maxServices = 256

// New returns a balancer that ignores all events until its first configuration.
func New(seed uint64, fleet Fleet) *Balancer {
	return &Balancer{fleet: fleet, seed: seed, partOf: map[int64]int64{}, requestOf: map[int64]int64{}, services: map[string]int{},
		zones: map[string]int{}, routeTypes: map[routeTypeKey]int{}, numberByID: map[string]int64{}, idByNumber: map[int64]string{}}
}

// SetFleet updates the number of brokers and the settings of the deployment.
func (b *Balancer) SetFleet(now float64, fleet Fleet) []Command {
	if fleet == b.fleet {
		return nil
	}
	b.fleet = fleet
	if !b.started {
		return nil
	}
	return b.updateTerms(now)
}

// SetConfiguration updates the services and routes.
func (b *Balancer) SetConfiguration(now float64, c *configuration.Configuration) []Command {
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		b.serviceNumber(name)
	}
	for _, route := range c.Routes {
		b.routeType(route)
	}
	if len(b.routeTypes) == 0 {
		return nil
	}
	if !b.started {
		b.started = true
		b.terms = b.newTerms()
		return append(b.step(now, logic.Event{Kind: logic.Started, Seed: b.seed, Settings: b.terms}), b.reportInstances(now)...)
	}
	return b.updateTerms(now)
}

func (b *Balancer) updateTerms(now float64) []Command {
	b.terms = b.newTerms()
	return b.step(now, logic.Event{Kind: logic.SettingsChanged, Settings: b.terms})
}

// SetInstances replaces the list of known instances.
func (b *Balancer) SetInstances(now float64, instances []Instance) []Command {
	b.instances = instances
	if !b.started {
		return nil
	}
	return b.reportInstances(now)
}

func (b *Balancer) reportInstances(now float64) []Command {
	entries := make([]logic.Entry, 0, len(b.instances))
	known := map[string]bool{}
	for _, i := range b.instances {
		service := b.serviceNumber(i.Service)
		known[i.ID] = true
		entries = append(entries, logic.Entry{Node: b.number(i.ID), Zone: b.zoneNumber(i.Zone), Kind: service, Cell: service,
			Readiness: i.State, Units: float64(max(1, i.Slots))})
	}
	return b.step(now, logic.Event{Kind: logic.ListArrived, List: logic.ListFull, Entries: entries})
}

// Arrive registers a request and returns its number.
func (b *Balancer) Arrive(now float64, r Request) (int64, []Command) {
	b.lastNumber += 2
	request, part := b.lastNumber-1, b.lastNumber
	b.partOf[request], b.requestOf[part] = part, request
	scan := logic.Event{Kind: logic.ScanArrived, ID: request, Scan: request, TableType: b.routeType(r.Route), Budget: r.TimeLeft}
	if r.Restricted {
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
	out := &logic.Prompt{Tokens: p.Tokens, Shared: p.SharedTokens, Held: make(map[int64]float64, len(p.CachedTokens)), FetchTime: p.FetchMsPerToken,
		AcrossTime: p.CrossZoneFetchMsPerToken, Zones: map[int64]int{}, Group: make(map[int64]int64, len(p.WeightsVersions))}
	for id, tokens := range p.CachedTokens {
		out.Held[b.number(id)] = tokens
	}
	for id, group := range p.WeightsVersions {
		out.Group[b.number(id)] = group
	}
	for _, id := range p.PlacementOrder {
		out.Home = append(out.Home, b.number(id))
	}
	for _, id := range slices.Sorted(maps.Keys(p.StoreZones)) {
		out.Stores = append(out.Stores, b.number(id))
		out.Zones[b.number(id)] = b.zoneNumber(p.StoreZones[id])
	}
	return out
}

// StreamBegan reports that the first event of a request's stream has arrived.
func (b *Balancer) StreamBegan(now float64, request int64, attempt int, elapsed float64) []Command {
	part, open := b.partOf[request]
	if !open {
		return nil
	}
	return b.step(now, logic.Event{Kind: logic.StreamBegan, ID: part, Dispatch: attempt, Elapsed: elapsed})
}

// AttemptEnded reports the outcome of an attempt.
func (b *Balancer) AttemptEnded(now float64, request int64, attempt int, outcome logic.Outcome, elapsed float64) []Command {
	part, known := b.partOf[request]
	if !known {
		return nil
	}
	return b.step(now, logic.Event{Kind: logic.DispatchEnded, ID: part, Dispatch: attempt, Outcome: outcome, Elapsed: elapsed})
}

// Eject reports that an instance fails, although none of its attempts has ended.
func (b *Balancer) Eject(now float64, instance string) []Command {
	return b.step(now, logic.Event{Kind: logic.VerdictReceived, Node: b.number(instance), Outcome: logic.Errored})
}

// ClientLeft reports that the client of a request has disconnected.
func (b *Balancer) ClientLeft(now float64, request int64) []Command {
	return b.step(now, logic.Event{Kind: logic.ClientLeft, ID: request})
}

// Forget drops a request whose last attempt has ended and that gets no further events.
func (b *Balancer) Forget(request int64) {
	delete(b.requestOf, b.partOf[request])
	delete(b.partOf, request)
}

// ReceiveNote processes a note received from another broker.
func (b *Balancer) ReceiveNote(now float64, note []byte) []Command {
	return b.step(now, logic.Event{Kind: logic.PeerNote, Note: note})
}

// Note is a message for other brokers about work that this one sent. A broadcast note goes to all of them, others to the usual
// number of peers.
type Note struct {
	Payload   []byte
	Broadcast bool
}

// Notes returns the pending notes for the other brokers and clears them.
func (b *Balancer) Notes() []Note {
	notes := b.notes
	b.notes = nil
	return notes
}

// NextTimer returns the time in ms of the earliest timer, at which Advance must be called; +Inf if no timer is set.
func (b *Balancer) NextTimer() float64 {
	if len(b.timers) == 0 {
		return math.Inf(1)
	}
	return b.timers[0].dueAt
}

// Advance fires the timers that have expired.
func (b *Balancer) Advance(now float64) []Command {
	var events []logic.Event
	for len(b.timers) > 0 && b.timers[0].dueAt <= now {
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
			commands = append(commands, Command{Kind: Send, Request: b.requestOf[a.ID], Instance: b.idByNumber[a.Node], Source: b.idByNumber[a.Source],
				SaveToStore: a.Save, Backlog: a.Load, Work: a.Work, Timeout: a.After})
		case logic.Recall:
			commands = append(commands, Command{Kind: CancelAttempt, Request: b.requestOf[a.ID], Attempt: a.Dispatch})
		case logic.Answer:
			commands = append(commands, Command{Kind: Finish, Request: a.ID})
		case logic.Throttle:
			commands = append(commands, Command{Kind: Refuse, Request: a.ID, RetryAfter: a.After})
		case logic.Abandon:
			commands = append(commands, Command{Kind: Fail, Request: a.ID})
		case logic.SendNote:
			b.notes = append(b.notes, Note{Payload: a.Note, Broadcast: a.ToAll})
		case logic.SetTimer:
			heap.Push(&b.timers, timer{dueAt: b.now + a.After, number: a.Timer})
		}
	}
	return commands
}

func (b *Balancer) serviceNumber(name string) int { return numberOf(b.services, name) % maxServices }
func (b *Balancer) zoneNumber(name string) int    { return numberOf(b.zones, name) }

func numberOf(numbers map[string]int, name string) int {
	n, known := numbers[name]
	if !known {
		n = len(numbers)
		numbers[name] = n
	}
	return n
}

// number returns the number of an instance or store. It is a hash of the id, so that all brokers use the same number in
// their notes.
func (b *Balancer) number(id string) int64 {
	n, known := b.numberByID[id]
	if !known {
		h := fnv.New64a()
		h.Write([]byte(id))
		n = int64(h.Sum64()>>1) | 1
		b.numberByID[id], b.idByNumber[n] = n, id
	}
	return n
}

func (b *Balancer) routeType(r *configuration.Route) int {
	key := routeTypeKey{kind: r.Kind, service: r.Splits[0].Service, timeout: milliseconds(r.Timeout), target: milliseconds(r.Target),
		attempts: r.MaxAttempts, repeatable: repeatable(r), priority: r.Priority}
	n, known := b.routeTypes[key]
	if !known {
		n = len(b.routeTypes)
		b.routeTypes[key] = n
	}
	return n
}

// repeatable reports whether requests of a route may run more than once.
func repeatable(r *configuration.Route) bool {
	return r.Kind == configuration.Safe || r.Kind == configuration.Streaming && r.Resumable
}
