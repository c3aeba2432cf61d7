package broker

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/url"
	"os"
	"os/exec"
	"strconv"
	"time"

	"gullstair/internal/control"
	"gullstair/internal/durable"
	"gullstair/internal/guard"
	"gullstair/internal/lease"
	"gullstair/internal/memberactor"
	"gullstair/internal/memberstate"
	"gullstair/internal/tasks"
)

// run is an occurrence of a task that this broker runs.
type run struct {
	task   tasks.Begin
	guard  *guard.Process
	grace  time.Duration
	until  float64
	cancel string // reason of a cancellation that came before the guard was started
}

// GuardTimes returns how long before the end of a lease its command is asked to stop (grace) and how long before it is
// killed (lead), for a lease term.
func GuardTimes(term time.Duration) (grace, lead time.Duration) {
	lead = max(50*time.Millisecond, term/10)
	return lead + term*3/20, lead
}

// openLeases adds the tasks to the plan and opens the directory of votes.
func (b *Broker) openLeases(plan *memberstate.Plan, callbacks *memberactor.Callbacks) (*durable.Dir[lease.Record], error) {
	for _, t := range b.features.Tasks {
		plan.Tasks = append(plan.Tasks, tasks.Task{Name: t.Name, Every: ms64(t.Every), At: t.Schedule, Term: ms64(t.Term), Holders: t.Holders,
			CatchUp: t.RunMissedOnce, Timeout: ms64(t.Timeout), Prefer: t.Prefer})
	}
	l := b.features.Lease
	if l == nil {
		return nil, nil
	}
	plan.Longest, plan.LeasesMost = ms64(l.MaxTerm), l.MaxLeases
	if l.Dir == "" {
		return nil, nil
	}
	dir, found, err := durable.Open[lease.Record](l.Dir, durable.Votes)
	if err != nil {
		return nil, fmt.Errorf("features: lease: %w", err)
	}
	if found.Complete {
		b.log.Info().Str("dir", l.Dir).Int("votes", len(found.Records)).Msg("votes on leases are as they were stored")
	} else {
		b.log.Warn().Str("dir", l.Dir).Str("because", found.Why).Msg("votes on leases may be missing: nothing is granted for a term")
	}
	plan.Votes = &memberstate.Votes{Records: found.Records, Sound: found.Complete}
	callbacks.Votes = dir
	return dir, nil
}

func ms64(d time.Duration) float64 { return float64(d) / 1e6 }

// toGuardClock converts a time on the clock of leases to guard.Now. It reads guard.Now first: a pause between the two
// reads makes the result earlier, never later.
func (s *sharingState) toGuardClock(until float64) int64 {
	at := guard.BootTime()
	return at + int64((until-s.now())*1e6)
}

// begin starts an occurrence in a guard process of its own. The sharing actor calls it; it does not block.
func (s *sharingState) begin(t tasks.Begin) {
	r := &run{task: t, until: t.Until}
	s.mu.Lock()
	s.runs[runKey{t.Lease, t.Fence}] = r
	s.mu.Unlock()
	go func() {
		result := s.runGuarded(r)
		s.mu.Lock()
		delete(s.runs, runKey{t.Lease, t.Fence})
		s.mu.Unlock()
		s.b.log.Info().Str("task", t.Task).Int("slot", t.Slot).Uint64("fence", t.Fence).Int("code", result.Code).Str("why", result.Why).
			Msg("a task has ended")
		s.actor.Ended(tasks.Ended{Lease: t.Lease, Fence: t.Fence, Code: result.Code, Why: result.Why})
	}()
}

func (s *sharingState) runGuarded(r *run) guard.Result {
	t := r.task
	var argv []string
	var term time.Duration
	for _, x := range s.b.features.Tasks {
		if x.Name == t.Task {
			argv, term = x.Run, x.Term
		}
	}
	self, err := os.Executable()
	if err != nil {
		return guard.Result{Code: -1, Why: err.Error()}
	}
	spec := guard.Spec{Argv: argv, Timeout: time.Duration(t.Timeout * 1e6)}
	spec.Grace, spec.Lead = GuardTimes(term)
	s.mu.Lock()
	spec.Deadline = s.toGuardClock(r.until)
	s.mu.Unlock()
	args := []string{"guard", "--until", strconv.FormatInt(spec.Deadline, 10), "--grace", spec.Grace.String(), "--lead", spec.Lead.String(),
		"--timeout", spec.Timeout.String(), "--"}
	cmd := exec.Command(self, append(args, argv...)...)
	spec.Mark = runMark(t.Lease, t.Fence)
	cmd.Env = append(os.Environ(), Environment(t.Lease, t.Slot, t.Fence, t.Until)...)
	cmd.Env = append(cmd.Env, fmt.Sprintf("GULLSTAIR_DUE_MS=%.0f", t.Due))
	cmd.Stderr = os.Stderr
	g, err := guard.Start(cmd, spec)
	if err != nil {
		return guard.Result{Code: -1, Why: err.Error()}
	}
	s.b.log.Info().Str("task", t.Task).Int("slot", t.Slot).Uint64("fence", t.Fence).Int("guard", cmd.Process.Pid).Msg("a task begins")
	s.mu.Lock()
	r.guard, r.grace = g, spec.Grace
	if r.cancel != "" {
		g.Cancel(r.cancel, r.grace)
	} else {
		g.Extend(s.toGuardClock(r.until))
	}
	s.mu.Unlock()
	return g.Wait()
}

// Environment returns the environment variables of a command under a lease: the lease, its slot, its fencing token, and
// the time, in Unix ms, until which it may run unless the lease is renewed.
func Environment(name string, slot int, fence uint64, untilMS float64) []string {
	return []string{"GULLSTAIR_LEASE=" + name, "GULLSTAIR_SLOT=" + strconv.Itoa(slot), "GULLSTAIR_FENCE=" + strconv.FormatUint(fence, 10),
		fmt.Sprintf("GULLSTAIR_UNTIL_MS=%.0f", untilMS), runMark(name, fence)}
}

// runMark returns an environment variable that is unique to a run. It includes the lease, since each lease counts its
// own fencing tokens.
func runMark(name string, fence uint64) string {
	return fmt.Sprintf("GULLSTAIR_RUN=%s#%d", name, fence)
}

// runKey identifies a run.
type runKey struct {
	lease string
	fence uint64
}

func (s *sharingState) extend(e tasks.Extend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runs[runKey{e.Lease, e.Fence}]; r != nil {
		r.until = max(r.until, e.Until)
		if r.guard != nil {
			go r.guard.Extend(s.toGuardClock(r.until))
		}
	}
}

func (s *sharingState) cancel(c tasks.Cancel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runs[runKey{c.Lease, c.Fence}]; r != nil {
		if r.cancel = c.Why; r.guard != nil {
			go r.guard.Cancel(c.Why, r.grace)
		}
	}
}

// addHandlers adds the orders and streams for leases to the control socket.
func (s *sharingState) addHandlers(c *control.Handlers) {
	if s.b.features.Lease == nil && len(s.b.features.Tasks) == 0 {
		return
	}
	if c.Orders == nil {
		c.Orders = map[string]func(url.Values) error{}
	}
	c.Orders["lease"] = func(q url.Values) error {
		a := s.actor.Order(q.Get("lease"), tasks.Action(q.Get("do")))
		if !a.Done {
			return errors.New(a.Why)
		}
		return nil
	}
	if s.b.features.Lease != nil {
		c.Streams = map[string]func(url.Values, io.ReadWriteCloser){"hold": s.hold}
	}
}

// HoldEvent is an event for a client that holds a lease over the control socket. Until is a time of guard.Now.
type HoldEvent struct {
	Lease   string  `json:"lease,omitempty"`
	Slot    int     `json:"slot,omitempty"`
	Fence   uint64  `json:"fence,omitempty"`
	Until   int64   `json:"until,omitempty"`
	UntilMS float64 `json:"until_ms,omitempty"` // Unix ms
	Revoked string  `json:"revoked,omitempty"`
}

// HoldDone is sent by the client when its command under the lease has ended.
type HoldDone struct {
	Done bool `json:"done"`
}

const holdEvents = 16

// hold serves one lease that a client holds over the control socket, until the client disconnects.
func (s *sharingState) hold(q url.Values, conn io.ReadWriteCloser) {
	out := json.NewEncoder(conn)
	holders, err := strconv.Atoi(q.Get("holders"))
	term, termErr := time.ParseDuration(q.Get("term"))
	if name := q.Get("name"); err != nil || termErr != nil || name == "" || len(name) > 80 || holders < 1 || holders > 100 || term > s.b.features.Lease.MaxTerm {
		out.Encode(HoldEvent{Revoked: fmt.Sprintf("a lease needs a name of 1 to 80 bytes, 1 to 100 holders and a term of at most %v", s.b.features.Lease.MaxTerm)})
		return
	}
	h := tasks.Hold{ID: rand.Uint64(), Name: q.Get("name"), Holders: holders, Term: ms64(term), By: q.Get("by")}
	events := make(chan any, holdEvents)
	s.actor.Hold(h, events)
	clientDone := make(chan bool, 1)
	go func() {
		var d HoldDone
		err := json.NewDecoder(conn).Decode(&d)
		clientDone <- err == nil && d.Done // otherwise the command may still run
	}()
	for {
		var event HoldEvent
		select {
		case done := <-clientDone:
			s.actor.Close(h.ID, done)
			return
		case <-s.done:
			return // the lease expires
		case e := <-events:
			switch v := e.(type) {
			case tasks.Granted:
				event = HoldEvent{Lease: v.Lease, Slot: v.Slot, Fence: v.Fence, Until: s.toGuardClock(v.Until), UntilMS: v.Until}
			case tasks.Extended:
				event = HoldEvent{Until: s.toGuardClock(v.Until), UntilMS: v.Until}
			case tasks.Revoked:
				event = HoldEvent{Revoked: v.Why}
			}
		}
		if out.Encode(event) != nil {
			s.actor.Close(h.ID, <-clientDone)
			return
		}
	}
}
