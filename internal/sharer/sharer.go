// Package sharer runs one broker's part in shared duties: an actor that steps the core of package sharing, with the
// carrier's datagrams, the clock and the broker round it.
package sharer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"gullstair/internal/duties"
	"gullstair/internal/gossip"
	"gullstair/internal/lasting"
	"gullstair/internal/lease"
	"gullstair/internal/membership"
	"gullstair/internal/sharing"
	"gullstair/internal/tasks"
	"gullstair/internal/verdicts"
)

const (
	mailbox   = 512
	batchMost = 64
	// snapshotAfter is after how many votes all of them take the place of the log.
	snapshotAfter = 4096
	leaveMost     = 3 * time.Second
)

// Work is what the broker does for the actor. None of it may keep the actor waiting.
type Work struct {
	// Turn begins an item of a duty; Finished must be called when it ends.
	Turn func(duty, item string)
	// Heard brings what another member found, so many ms ago.
	Heard func(duty, item, by string, age float64, report []byte)
	// Begin begins an occurrence of a task; Ended must be called when nothing of it goes on any more, whatever ends it.
	Begin func(tasks.Begin)
	// Extend lets one go on for longer, Cancel ends it.
	Extend func(tasks.Extend)
	Cancel func(tasks.Cancel)
	// Votes is where votes last; it is used by a goroutine of its own. Nil: votes are not stored.
	Votes lasting.Sink[lease.Record]
	// Orders is where operators' orders on stores last; nil: they don't.
	Orders lasting.Sink[verdicts.Stored]
	// Verdict is what the fleet holds of a store, Note what another broker's module tells.
	Verdict func(verdicts.Verdict)
	Note    func([]byte)
	// Wall is the wall clock in ms.
	Wall func() float64
}

// Actor is one broker's part. It is safe for several goroutines.
type Actor struct {
	core    *sharing.Core
	carrier *gossip.Carrier
	now     func() float64
	work    Work
	log     zerolog.Logger

	mail     chan sharing.Input
	ask      chan chan State
	stop     chan struct{}
	poke     chan struct{}
	votes    *lasting.Queue[lease.Record]
	ordersOn *lasting.Queue[verdicts.Stored]
	given    uint64 // orders stored
	unkept   int    // votes stored since the last snapshot
	trusted  bool   // what is stored is all that counts, and that is stored too
	ended    sync.WaitGroup
	crowded  atomic.Int64

	mu     sync.Mutex
	orders map[uint64]chan tasks.Answer // that wait for an answer
	holds  map[uint64]chan<- any        // who is to hear of a lease that is held by hand
}

// State is what the control socket shows.
type State struct {
	Self     membership.Member `json:"self"`
	Health   int               `json:"health"` // 0: this member does well
	Now      float64           `json:"now"`
	Common   float64           `json:"common"` // the members' common time
	Members  []membership.Seen `json:"members"`
	Duties   []duties.Share    `json:"duties"`
	Leases   []lease.View      `json:"leases"`
	Counts   membership.Counts `json:"counts"`
	Done     duties.Counts     `json:"done"`
	Tasks    []tasks.View      `json:"tasks"`
	Fenced   lease.Counts      `json:"fenced"`
	Carrier  gossip.Counts     `json:"carrier"`
	Crowded  int64             `json:"crowded"`  // datagrams that the mailbox had no room for
	Verdicts []verdicts.Seen   `json:"verdicts"` // of stores that somebody holds something against, or that an operator has a word on
	Tenants  []verdicts.Tenant `json:"tenants"`  // that somebody holds back
	Judged   verdicts.Counts   `json:"judged"`
	Gone     bool              `json:"gone"` // it has left, and said so for long enough
}

// Start begins: from now on the carrier's port is served.
func Start(plan sharing.Plan, carrier *gossip.Carrier, now func() float64, work Work, log zerolog.Logger) *Actor {
	a := &Actor{core: sharing.New(plan), carrier: carrier, now: now, work: work, log: log,
		poke: make(chan struct{}, 1), mail: make(chan sharing.Input, mailbox), ask: make(chan chan State), stop: make(chan struct{}),
		orders: map[uint64]chan tasks.Answer{}, holds: map[uint64]chan<- any{}}
	if work.Votes != nil {
		a.votes = lasting.NewQueue(work.Votes, func(upto uint64) { a.put(lease.Stored{Upto: upto}) }, func(err error) {
			a.log.Error().Err(err).Msg("votes on leases can't be stored: this broker grants none any more, until it is started again")
			a.put(lease.DiskLost{})
		})
	}
	if work.Orders != nil {
		a.ordersOn = lasting.NewQueue(work.Orders, func(uint64) {}, func(err error) {
			a.log.Error().Err(err).Msg("operators' orders on stores can't be stored: after a restart this broker hears of them from others alone")
		})
	}
	a.ended.Go(func() {
		carrier.Run(func(addr string, e sharing.Envelope) {
			select {
			case a.mail <- sharing.Arrived{Addr: addr, Envelope: e}:
			default: // lost like any datagram
				a.crowded.Add(1)
			}
		})
	})
	a.ended.Go(a.run)
	return a
}

func (a *Actor) put(in sharing.Input) {
	select {
	case a.mail <- in:
	case <-a.stop:
	}
}

// Poke says that something is due earlier than it was. It never waits.
func (a *Actor) Poke() {
	select {
	case a.poke <- struct{}{}:
	default:
	}
}

// Offer gives the actor something that may be lost like a datagram: it never waits.
func (a *Actor) Offer(in sharing.Input) {
	select {
	case a.mail <- in:
	default:
		a.crowded.Add(1)
	}
}

// Give gives it something that may not be lost: it waits for room.
func (a *Actor) Give(in sharing.Input) { a.put(in) }

// Items names all items of a duty.
func (a *Actor) Items(duty string, items []string) {
	a.put(duties.Items{Duty: duty, Items: slices.Clone(items)})
}

// Finished tells how a Turn ended; a report of nil says nothing.
func (a *Actor) Finished(duty, item string, report []byte) {
	a.put(duties.Finished{Duty: duty, Item: item, Report: report})
}

// Ended tells that nothing of an occurrence goes on any more.
func (a *Actor) Ended(e tasks.Ended) { a.put(e) }

// Order has an operator's order carried out by whoever holds the lease, and waits for the answer.
func (a *Actor) Order(name string, do tasks.Do) tasks.Answer {
	o := tasks.Order{ID: rand.Uint64(), Lease: name, Do: do}
	reply := make(chan tasks.Answer, 1)
	a.mu.Lock()
	a.orders[o.ID] = reply
	a.mu.Unlock()
	a.put(o)
	select {
	case v := <-reply:
		return v
	case <-a.stop:
		return tasks.Answer{ID: o.ID, Why: "this broker has ended"}
	}
}

// Hold asks for a lease by hand. What becomes of it comes by the channel: tasks.Granted, tasks.Extended and tasks.Revoked. The channel has
// to have room for some: of what finds none an Extended is left out, and anything else ends the hold.
func (a *Actor) Hold(h tasks.Hold, events chan<- any) {
	a.mu.Lock()
	a.holds[h.ID] = events
	a.mu.Unlock()
	a.put(h)
}

// Close ends a hold; clean says that nothing goes on under it.
func (a *Actor) Close(id uint64, clean bool) {
	a.mu.Lock()
	delete(a.holds, id)
	a.mu.Unlock()
	a.put(tasks.Close{ID: id, Clean: clean})
}

func (a *Actor) tellHold(id uint64, event any) {
	a.mu.Lock()
	events := a.holds[id]
	a.mu.Unlock()
	select {
	case events <- event: // a nil channel takes nothing
	default:
	}
}

// State asks the actor for what it sees; false: it has ended.
func (a *Actor) State() (State, bool) {
	reply := make(chan State, 1)
	select {
	case a.ask <- reply:
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
		var batch []sharing.Input
		select {
		case in := <-a.mail:
			batch = append(batch, in)
		case <-timer.C:
		case <-a.poke:
		case reply := <-a.ask:
			reply <- a.state()
			continue
		case <-a.stop:
			return
		}
		for more := true; more && len(batch) < batchMost; {
			select {
			case in := <-a.mail:
				batch = append(batch, in)
			default:
				more = false
			}
		}
		a.carryOut(a.core.Step(a.now(), a.work.Wall(), batch))
		if a.votes == nil {
			continue
		}
		if !a.trusted && a.now() >= a.core.Leases.SureAt() {
			a.trusted = true
			a.votes.Put(lasting.Order[lease.Record]{Trust: true})
		}
		if a.unkept >= snapshotAfter {
			a.unkept = 0
			a.votes.Put(lasting.Order[lease.Record]{All: a.core.Leases.Records()})
		}
	}
}

func (a *Actor) carryOut(out []sharing.Output) {
	for _, o := range out {
		switch v := o.(type) {
		case sharing.Post:
			a.carrier.Send(v.Addr, v.Envelope)
		case duties.Turn:
			a.work.Turn(v.Duty, v.Item)
		case duties.Heard:
			a.work.Heard(v.Duty, v.Item, v.By, v.Age, v.Report)
		case verdicts.Verdict:
			a.work.Verdict(v)
		case verdicts.Stored:
			if a.ordersOn == nil {
				break
			}
			a.given++
			if o := (lasting.Order[verdicts.Stored]{Number: a.given, Record: v}); a.given%snapshotAfter == 0 {
				a.ordersOn.Put(lasting.Order[verdicts.Stored]{All: a.core.Stores.Orders(a.work.Wall())})
			} else {
				a.ordersOn.Put(o)
			}
		case sharing.Note:
			a.work.Note(v.Data)
		case tasks.Begin:
			a.work.Begin(v)
		case tasks.Extend:
			a.work.Extend(v)
		case tasks.Cancel:
			a.work.Cancel(v)
		case tasks.Granted:
			a.tellHold(v.ID, v)
		case tasks.Extended:
			a.tellHold(v.ID, v)
		case tasks.Revoked:
			a.tellHold(v.ID, v)
		case tasks.Answer:
			a.mu.Lock()
			if reply := a.orders[v.ID]; reply != nil {
				reply <- v
				delete(a.orders, v.ID)
			}
			a.mu.Unlock()
		case lease.Store:
			a.votes.Put(lasting.Order[lease.Record]{Number: v.Number, Record: v.Record})
			a.unkept++
		case membership.Changed:
			a.log.Info().Str("member", v.Member.Name).Str("addr", v.Member.Addr).Stringer("is", v.Member.State).
				Stringer("was", v.Was).Str("by", v.Member.By).Msg("a member is seen differently")
		}
	}
}

func (a *Actor) state() State {
	s := State{Self: a.core.Members.Self(), Health: a.core.Members.Health(), Now: a.now(), Common: a.core.Duties.Common(a.now()),
		Members: a.core.Members.Members(), Duties: a.core.Duties.Shares(), Leases: a.core.Leases.Views(),
		Tasks:  a.core.Tasks.Views(a.core.Leases.Note),
		Counts: a.core.Members.Counts, Done: a.core.Duties.Counts, Fenced: a.core.Leases.Counts,
		Carrier: a.carrier.Counts(), Crowded: a.crowded.Load(), Gone: a.core.Members.Gone() && !a.core.Busy()}
	if a.core.Stores != nil {
		s.Verdicts, s.Tenants, s.Judged = a.core.Stores.Seen(), a.core.Stores.Tenants(), a.core.Stores.Counts
	}
	return s
}

// Stop leaves with a word to the others, and ends.
func (a *Actor) Stop() {
	a.put(sharing.Leave{})
	for begun := time.Now(); time.Since(begun) < leaveMost; time.Sleep(10 * time.Millisecond) {
		if s, running := a.State(); !running || s.Gone {
			break
		}
	}
	a.Kill()
}

// Kill ends without a word.
func (a *Actor) Kill() {
	close(a.stop)
	a.carrier.Close()
	if a.votes != nil {
		a.votes.Close()
	}
	if a.ordersOn != nil {
		a.ordersOn.Close()
	}
	a.ended.Wait()
}
