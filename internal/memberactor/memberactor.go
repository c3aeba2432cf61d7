// Package memberactor runs the state machine of package memberstate in an actor: one goroutine that feeds it datagrams, the clock and the broker's inputs, and
// carries out its outputs. It does network I/O through the carrier and stores records in the sinks of its Callbacks.
package memberactor

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"gullstair/internal/durable"
	"gullstair/internal/duties"
	"gullstair/internal/gossip"
	"gullstair/internal/lease"
	"gullstair/internal/membership"
	"gullstair/internal/memberstate"
	"gullstair/internal/tasks"
	"gullstair/internal/verdicts"
)

const (
	mailboxSize = 512
	maxBatch    = 64 // most inputs of one Step
	// snapshotAfter is the number of stored records after which a snapshot replaces the log.
	snapshotAfter = 4096
	// leaveTimeout bounds how long Stop waits until the member has left.
	leaveTimeout = 3 * time.Second
)

// Callbacks holds the callbacks into the broker. None of them may block the actor.
type Callbacks struct {
	// Turn starts an item of a duty; Finished must be called when it ends.
	Turn func(duty, item string)
	// Heard delivers another member's report, which is age ms old.
	Heard func(duty, item, by string, age float64, report []byte)
	// Begin starts an occurrence of a task; Ended must be called when it has stopped entirely, for whatever reason.
	Begin func(tasks.Begin)
	// Extend prolongs an occurrence, Cancel stops it.
	Extend func(tasks.Extend)
	Cancel func(tasks.Cancel)
	// Votes stores votes on leases; a separate goroutine uses it. Nil: votes are not stored.
	Votes durable.Sink[lease.Record]
	// Orders stores operators' orders on stores; nil: they are not stored.
	Orders durable.Sink[verdicts.Stored]
	// Verdict delivers a verdict on a store, Note a note of another broker's module.
	Verdict func(verdicts.Verdict)
	Note    func([]byte)
	// Wall returns the wall clock in ms.
	Wall func() float64
}

// Actor runs one broker's member. It is safe for concurrent use.
type Actor struct {
	core      *memberstate.Core
	carrier   *gossip.Carrier
	now       func() float64
	callbacks Callbacks
	log       zerolog.Logger

	mail               chan memberstate.Input
	stateRequests      chan chan State
	stop               chan struct{}
	wake               chan struct{}
	votes              *durable.Queue[lease.Record]
	storeOrders        *durable.Queue[verdicts.Stored]
	ordersStored       uint64 // number of orders stored
	votesSinceSnapshot int    // votes stored since the last snapshot
	trusted            bool   // the stored votes are complete, and this fact is stored too
	goroutines         sync.WaitGroup
	dropped            atomic.Int64

	mu     sync.Mutex
	orders map[uint64]chan tasks.Answer // orders that wait for an answer
	holds  map[uint64]chan<- any        // receivers of the events of manual leases
}

// State is the state shown on the control socket.
type State struct {
	Self     membership.Member         `json:"self"`
	Health   int                       `json:"health"` // 0: healthy
	Now      float64                   `json:"now"`
	Common   float64                   `json:"common"` // the members' common time
	Members  []membership.MemberStatus `json:"members"`
	Duties   []duties.DutyStatus       `json:"duties"`
	Leases   []lease.View              `json:"leases"`
	Counts   membership.Counts         `json:"counts"`
	Done     duties.Counts             `json:"done"`
	Tasks    []tasks.View              `json:"tasks"`
	Fenced   lease.Counts              `json:"fenced"`
	Carrier  gossip.Counts             `json:"carrier"`
	Crowded  int64                     `json:"crowded"`  // datagrams dropped because the mailbox was full
	Verdicts []verdicts.Seen           `json:"verdicts"` // of stores that some observer reports as not well, or that have an operator's order
	Tenants  []verdicts.Tenant         `json:"tenants"`  // tenants that some broker throttles
	Judged   verdicts.Counts           `json:"judged"`
	Gone     bool                      `json:"gone"` // the member has left, and has announced it for long enough
}

// Start starts the actor and serves the carrier's port.
func Start(plan memberstate.Plan, carrier *gossip.Carrier, now func() float64, callbacks Callbacks, log zerolog.Logger) *Actor {
	a := &Actor{core: memberstate.New(plan), carrier: carrier, now: now, callbacks: callbacks, log: log,
		wake: make(chan struct{}, 1), mail: make(chan memberstate.Input, mailboxSize), stateRequests: make(chan chan State), stop: make(chan struct{}),
		orders: map[uint64]chan tasks.Answer{}, holds: map[uint64]chan<- any{}}
	if callbacks.Votes != nil {
		a.votes = durable.NewQueue(callbacks.Votes, func(upto uint64) { a.send(lease.Stored{Upto: upto}) }, func(err error) {
			a.log.Error().Err(err).Msg("votes on leases can't be stored: this broker grants no leases until it restarts")
			a.send(lease.DiskLost{})
		})
	}
	if callbacks.Orders != nil {
		a.storeOrders = durable.NewQueue(callbacks.Orders, func(uint64) {}, func(err error) {
			a.log.Error().Err(err).Msg("operators' orders on stores can't be stored: after a restart this broker learns of them only from other brokers")
		})
	}
	a.goroutines.Go(func() {
		carrier.Run(func(addr string, e memberstate.Envelope) {
			select {
			case a.mail <- memberstate.Received{Addr: addr, Envelope: e}:
			default: // dropped, as any datagram may be
				a.dropped.Add(1)
			}
		})
	})
	a.goroutines.Go(a.run)
	return a
}

func (a *Actor) send(in memberstate.Input) {
	select {
	case a.mail <- in:
	case <-a.stop:
	}
}

// Wake makes the actor check again what is due. It never blocks.
func (a *Actor) Wake() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// TrySend passes an input to the actor, or drops it if the mailbox is full. It never blocks.
func (a *Actor) TrySend(in memberstate.Input) {
	select {
	case a.mail <- in:
	default:
		a.dropped.Add(1)
	}
}

// Send passes an input to the actor and blocks while the mailbox is full.
func (a *Actor) Send(in memberstate.Input) { a.send(in) }

// Items sets all items of a duty.
func (a *Actor) Items(duty string, items []string) {
	a.send(duties.Items{Duty: duty, Items: slices.Clone(items)})
}

// Finished reports the result of a Turn; a nil report means no result.
func (a *Actor) Finished(duty, item string, report []byte) {
	a.send(duties.Finished{Duty: duty, Item: item, Report: report})
}

// Ended reports that an occurrence has stopped entirely.
func (a *Actor) Ended(e tasks.Ended) { a.send(e) }

// Order sends an operator's order to the lease's holder and waits for the answer.
func (a *Actor) Order(name string, do tasks.Action) tasks.Answer {
	o := tasks.Order{ID: rand.Uint64(), Lease: name, Do: do}
	reply := make(chan tasks.Answer, 1)
	a.mu.Lock()
	a.orders[o.ID] = reply
	a.mu.Unlock()
	a.send(o)
	select {
	case v := <-reply:
		return v
	case <-a.stop:
		return tasks.Answer{ID: o.ID, Why: "this broker has ended"}
	}
}

// Hold requests a manual lease. The channel receives its events: tasks.Granted, tasks.Extended and tasks.Revoked. It has to be buffered, since
// sending does not block: an Extended that does not fit is skipped, and the loss of any other event ends the hold.
func (a *Actor) Hold(h tasks.Hold, events chan<- any) {
	a.mu.Lock()
	a.holds[h.ID] = events
	a.mu.Unlock()
	a.send(h)
}

// Close ends a hold; clean means that nothing runs under it any more.
func (a *Actor) Close(id uint64, clean bool) {
	a.mu.Lock()
	delete(a.holds, id)
	a.mu.Unlock()
	a.send(tasks.Close{ID: id, Clean: clean})
}

func (a *Actor) notifyHold(id uint64, event any) {
	a.mu.Lock()
	events := a.holds[id]
	a.mu.Unlock()
	select {
	case events <- event: // sending to a nil channel never proceeds
	default:
	}
}

// State returns the actor's state, or false if the actor has stopped.
func (a *Actor) State() (State, bool) {
	reply := make(chan State, 1)
	select {
	case a.stateRequests <- reply:
		return <-reply, true
	case <-a.stop:
		return State{}, false
	}
}

func (a *Actor) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		wait := a.core.Due() - a.now()
		timer.Reset(time.Duration(min(max(wait, 0), 1000) * float64(time.Millisecond)))
		var batch []memberstate.Input
		select {
		case in := <-a.mail:
			batch = append(batch, in)
		case <-timer.C:
		case <-a.wake:
		case reply := <-a.stateRequests:
			reply <- a.state()
			continue
		case <-a.stop:
			return
		}
		for more := true; more && len(batch) < maxBatch; {
			select {
			case in := <-a.mail:
				batch = append(batch, in)
			default:
				more = false
			}
		}
		a.apply(a.core.Step(a.now(), a.callbacks.Wall(), batch))
		if a.votes == nil {
			continue
		}
		if !a.trusted && a.now() >= a.core.Leases.GraceEndsAt() {
			a.trusted = true
			a.votes.Put(durable.Job[lease.Record]{Trust: true})
		}
		if a.votesSinceSnapshot >= snapshotAfter {
			a.votesSinceSnapshot = 0
			a.votes.Put(durable.Job[lease.Record]{All: a.core.Leases.Records()})
		}
	}
}

func (a *Actor) apply(out []memberstate.Output) {
	for _, o := range out {
		switch v := o.(type) {
		case memberstate.Send:
			a.carrier.Send(v.Addr, v.Envelope)
		case duties.Turn:
			a.callbacks.Turn(v.Duty, v.Item)
		case duties.Reported:
			a.callbacks.Heard(v.Duty, v.Item, v.By, v.Age, v.Report)
		case verdicts.Verdict:
			a.callbacks.Verdict(v)
		case verdicts.Stored:
			if a.storeOrders == nil {
				break
			}
			a.ordersStored++
			if o := (durable.Job[verdicts.Stored]{Number: a.ordersStored, Record: v}); a.ordersStored%snapshotAfter == 0 {
				a.storeOrders.Put(durable.Job[verdicts.Stored]{All: a.core.Stores.Orders(a.callbacks.Wall())})
			} else {
				a.storeOrders.Put(o)
			}
		case memberstate.Note:
			a.callbacks.Note(v.Data)
		case tasks.Begin:
			a.callbacks.Begin(v)
		case tasks.Extend:
			a.callbacks.Extend(v)
		case tasks.Cancel:
			a.callbacks.Cancel(v)
		case tasks.Granted:
			a.notifyHold(v.ID, v)
		case tasks.Extended:
			a.notifyHold(v.ID, v)
		case tasks.Revoked:
			a.notifyHold(v.ID, v)
		case tasks.Answer:
			a.mu.Lock()
			if reply := a.orders[v.ID]; reply != nil {
				reply <- v
				delete(a.orders, v.ID)
			}
			a.mu.Unlock()
		case lease.Store:
			a.votes.Put(durable.Job[lease.Record]{Number: v.Number, Record: v.Record})
			a.votesSinceSnapshot++
		case membership.Changed:
			a.log.Info().Str("member", v.Member.Name).Str("addr", v.Member.Addr).Stringer("is", v.Member.State).
				Stringer("was", v.Was).Str("by", v.Member.By).Msg("member state changed")
		}
	}
}

func (a *Actor) state() State {
	s := State{Self: a.core.Members.Self(), Health: a.core.Members.Health(), Now: a.now(), Common: a.core.Duties.Common(a.now()),
		Members: a.core.Members.Members(), Duties: a.core.Duties.Statuses(), Leases: a.core.Leases.Views(),
		Tasks:  a.core.Tasks.Views(a.core.Leases.Note),
		Counts: a.core.Members.Counts, Done: a.core.Duties.Counts, Fenced: a.core.Leases.Counts,
		Carrier: a.carrier.Counts(), Crowded: a.dropped.Load(), Gone: a.core.Members.LeaveComplete() && !a.core.Busy()}
	if a.core.Stores != nil {
		s.Verdicts, s.Tenants, s.Judged = a.core.Stores.Seen(), a.core.Stores.Tenants(), a.core.Stores.Counts
	}
	return s
}

// Stop announces to the others that this member leaves, and stops the actor.
func (a *Actor) Stop() {
	a.send(memberstate.Leave{})
	for begun := time.Now(); time.Since(begun) < leaveTimeout; time.Sleep(10 * time.Millisecond) {
		if s, running := a.State(); !running || s.Gone {
			break
		}
	}
	a.Kill()
}

// Kill stops the actor without an announcement.
func (a *Actor) Kill() {
	close(a.stop)
	a.carrier.Close()
	if a.votes != nil {
		a.votes.Close()
	}
	if a.storeOrders != nil {
		a.storeOrders.Close()
	}
	a.goroutines.Wait()
}
