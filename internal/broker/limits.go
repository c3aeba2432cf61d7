package broker

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"gullstair/internal/core"
	"gullstair/internal/durable"
	"gullstair/internal/features"
	"gullstair/internal/limitshare"
	"gullstair/internal/memberstate"
)

// limiter applies the fleet's limits to scans: the core's actor queries it, the sharing actor passes it the messages of
// the other brokers. A lock protects it, so that a scan never waits for a message.
type limiter struct {
	now         func() float64
	wakeSharing func() // wakes the sharing actor when something is due earlier
	notifyCore  func() // tells the core's actor that queued scans may be admitted
	limits      []features.Limit

	mu                 sync.Mutex
	pending            []limitshare.Input // operators' orders and disk events for the next Step
	core               *limitshare.Core
	due                float64                           // the due time that the sharing actor knows
	queue              *durable.Queue[limitshare.Record] // nil if loans are not stored
	dir                *durable.Dir[limitshare.Record]
	marksSinceSnapshot int // loan marks stored since the last snapshot
	scratch            []limitshare.Use
	reasons            []string // reasons for refused scans, by limit
}

const (
	maxLimitKeys      = 100000 // maximum number of keys kept over all limits
	maxShownKeys      = 20     // maximum number of keys of a limit shown to operators
	defaultRetryAfter = 30000.0
	keptKeyBytes      = 60 // bytes of a longer key that are kept before its hash
	maxKeyBytes       = 100
	lateEndMs         = 50.0 // the end of a scan may be processed this long after its deadline
	// snapshotEvery is the number of stored marks after which a snapshot replaces the log.
	snapshotEvery = 20000
)

// openLimits adds the fleet's limits to the plan and returns their limiter; nil if there are none.
func (b *Broker) openLimits(plan *memberstate.Plan, boot uint64, now func() float64) (*limiter, error) {
	if len(b.features.Limits) == 0 {
		return nil, nil
	}
	l := &limiter{now: now, wakeSharing: func() {}, notifyCore: func() { b.put(core.LimitsChanged{}) }, limits: b.features.Limits}
	rules := limitshare.Rules{Self: plan.Name, Boot: boot, Drift: plan.Drift, Most: maxLimitKeys, Loans: true, After: defaultRetryAfter}
	if after, is := b.startFile.Flat["limit.maxRetryAfter"].(float64); is && after > 0 {
		rules.After = after
	}
	for name := range plan.Roster {
		rules.Roster = append(rules.Roster, name)
	}
	var limits []limitshare.Limit
	for _, f := range l.limits {
		x := limitshare.Limit{Name: f.Name, Kind: limitshare.Rate, Size: f.Rate, Burst: f.Burst, Term: ms64(f.Term), Owners: f.Owners, Available: f.Available,
			Linger: ms64(f.Linger), Alone: f.PartitionShare}
		if f.Rate == 0 {
			x.Kind, x.Size = limitshare.Stock, f.OpenScans+f.WorkMS
		}
		limits = append(limits, x)
		l.reasons = append(l.reasons, fmt.Sprintf("the fleet's limit %s", f.Name))
	}
	l.core = limitshare.New(rules, limits, rand.New(rand.NewPCG(b.startFile.Seed, boot^0x11a17)).Float64)
	plan.Limits = l
	if b.features.LoansDir != "" {
		return l, l.openDir(b.features.LoansDir, b.log)
	}
	return l, nil
}

// openDir stores loans durably in a directory and restores those that it finds there.
func (l *limiter) openDir(path string, log zerolog.Logger) error {
	dir, found, err := durable.Open[limitshare.Record](path, durable.Loans)
	if err != nil {
		return fmt.Errorf("features: limits: %w", err)
	}
	if l.core.Restore(found.Records, found.Complete) {
		log.Info().Str("dir", path).Int("marks", len(found.Records)).Msg("loans of limits restored: the capacity that is not lent is used at once")
	} else {
		log.Warn().Str("dir", path).Str("because", cmp.Or(found.Why, "limits or members have changed")).Msg("what was lent of limits may be more than is known: this broker's home shares are not used for a term")
	}
	l.dir = dir
	l.queue = durable.NewQueue(dir, func(upto uint64) { l.enqueue(limitshare.Stored{Upto: upto}) }, func(err error) {
		log.Error().Err(err).Msg("what is lent of limits can't be stored: this broker lends nothing until it restarts")
		l.enqueue(limitshare.DiskLost{})
	})
	return nil
}

// close closes the queue and the directory. Writes in progress were not announced to other brokers.
func (l *limiter) close() {
	if l.queue != nil {
		l.queue.Close()
		l.dir.Close()
	}
}

// scanUses returns what a scan takes from each limit. The result is valid until the next call.
func (l *limiter) scanUses(account, cell string, work float64) []limitshare.Use {
	l.scratch = l.scratch[:0]
	for i := range l.limits {
		f := &l.limits[i]
		if f.FurtherDispatches {
			continue // applies to further dispatches, not to scans
		}
		u := limitshare.Use{Limit: i, Cost: 1}
		switch f.For {
		case "tenant":
			u.Key = account
		case "cell":
			u.Key = cell
		}
		if f.WorkMS > 0 {
			u.Cost = work
		}
		if len(u.Key) > maxKeyBytes {
			h := fnv.New128a()
			h.Write([]byte(u.Key))
			u.Key = u.Key[:keptKeyBytes] + hex.EncodeToString(h.Sum(nil))
		}
		l.scratch = append(l.scratch, u)
	}
	return l.scratch
}

// Take implements core.Limiter.
func (l *limiter) Take(account, cell string, work, lasts float64) core.LimitDecision {
	return l.decide(l.core.Take, account, cell, work, lasts)
}

// Retry implements core.Limiter.
func (l *limiter) Retry(account, cell string, work, lasts float64) core.LimitDecision {
	return l.decide(l.core.Again, account, cell, work, lasts)
}

func (l *limiter) decide(take func(float64, []limitshare.Use, float64) limitshare.Verdict, account, cell string, work, lasts float64) core.LimitDecision {
	l.mu.Lock()
	v := take(l.now(), l.scanUses(account, cell, work), lasts+lateEndMs)
	dueEarlier := l.core.Due() < l.due
	if dueEarlier {
		l.due = l.core.Due()
	}
	l.mu.Unlock()
	if dueEarlier {
		l.wakeSharing()
	}
	if v.Taken {
		return core.LimitDecision{Admitted: true}
	}
	return core.LimitDecision{Why: l.reasons[v.Limit], RetryAfter: v.After, Wait: v.Wait}
}

// furtherLimit returns the index of the limit on further dispatches, or -1 if there is none.
func (l *limiter) furtherLimit() int {
	return slices.IndexFunc(l.limits, func(f features.Limit) bool { return f.FurtherDispatches })
}

// FleetBudget implements core.Limiter. It returns how many further dispatches this broker's share of the fleet's budget
// allows now; +Inf without a budget.
func (l *limiter) FleetBudget() float64 {
	i := l.furtherLimit()
	if i < 0 {
		return math.Inf(1)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Room(l.now(), limitshare.Use{Limit: i})
}

// TakeFurther implements core.Limiter.
func (l *limiter) TakeFurther() bool {
	i := l.furtherLimit()
	if i < 0 {
		return true
	}
	l.mu.Lock()
	v := l.core.Take(l.now(), []limitshare.Use{{Limit: i, Cost: 1}}, 0)
	dueEarlier := l.core.Due() < l.due
	if dueEarlier {
		l.due = l.core.Due()
	}
	l.mu.Unlock()
	if dueEarlier {
		l.wakeSharing()
	}
	return v.Taken
}

// Done implements core.Limiter.
func (l *limiter) Done(account, cell string, work float64) {
	l.mu.Lock()
	l.core.Done(l.now(), l.scanUses(account, cell, work))
	l.mu.Unlock()
}

// Step steps the limits. The sharing actor calls it.
func (l *limiter) Step(now float64, in []limitshare.Input) []limitshare.Send {
	l.mu.Lock()
	out := l.core.Step(now, append(l.pending, in...))
	l.pending = nil
	l.due = l.core.Due()
	capacityArrived := l.core.Came()
	stores := l.core.PendingStores()
	var all []limitshare.Record
	if l.marksSinceSnapshot += len(stores); l.marksSinceSnapshot >= snapshotEvery {
		l.marksSinceSnapshot, all = 0, l.core.Records()
	}
	l.mu.Unlock()
	if capacityArrived {
		l.notifyCore()
	}
	if l.queue != nil {
		for _, s := range stores {
			l.queue.Put(durable.Job[limitshare.Record]{Number: s.Number, Record: s.Record, Trust: s.Trust})
		}
		if all != nil {
			l.queue.Put(durable.Job[limitshare.Record]{All: all})
		}
	}
	return out
}

// Due returns when Step must be called next. The sharing actor calls it.
func (l *limiter) Due() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.due = l.core.Due(); len(l.pending) > 0 {
		return math.Inf(-1)
	}
	return l.due
}

func (l *limiter) enqueue(in ...limitshare.Input) {
	l.mu.Lock()
	l.pending = append(l.pending, in...)
	wake := l.wakeSharing
	l.mu.Unlock()
	wake()
}

// setWake sets the function that wakes the sharing actor. Disk events may arrive before it is set.
func (l *limiter) setWake(wake func()) {
	l.mu.Lock()
	l.wakeSharing = wake
	l.mu.Unlock()
}

// orderSize executes an operator's order to override the size of a limit for a time, or to clear the override.
func (l *limiter) orderSize(q url.Values) error {
	at := slices.IndexFunc(l.limits, func(f features.Limit) bool { return f.Name == q.Get("limit") })
	if at < 0 {
		return fmt.Errorf("this broker has no limit %q", q.Get("limit"))
	}
	f := l.limits[at]
	if q.Get("do") == "clear" {
		l.enqueue(limitshare.Set{Limit: f.Name})
		return nil
	}
	size, err := strconv.ParseFloat(q.Get("size"), 64)
	if err != nil || !(size > 0 && size <= 1e9) {
		return fmt.Errorf("size %q is not a number above 0 and up to 1e9", q.Get("size"))
	}
	burst := max(1, f.Burst*size/max(f.Rate, 1e-9))
	if f.Rate == 0 {
		burst = 1
	}
	if text := q.Get("burst"); text != "" {
		if burst, err = strconv.ParseFloat(text, 64); err != nil || !(burst >= 1 && burst <= 1e9) {
			return fmt.Errorf("burst %q is not a number from 1 to 1e9", text)
		}
	}
	span, err := time.ParseDuration(q.Get("for"))
	if err != nil || span < time.Second || span > 30*24*time.Hour {
		return fmt.Errorf("for %q is not a duration from 1s to 720h", q.Get("for"))
	}
	l.enqueue(limitshare.Set{Limit: f.Name, Size: size, Burst: burst, For: ms64(span)})
	return nil
}

// applyDocument applies the limit sizes of a features document that was read again.
func (l *limiter) applyDocument(limits []features.Limit) {
	for _, f := range limits {
		if slices.ContainsFunc(l.limits, func(o features.Limit) bool { return o.Name == f.Name && (o.Rate > 0) == (f.Rate > 0) }) {
			size := f.Rate
			if size == 0 {
				size = f.OpenScans + f.WorkMS
			}
			l.enqueue(limitshare.Document{Limit: f.Name, Size: size, Burst: f.Burst})
		}
	}
}

// LimitsView is the state of the fleet's limits for the control socket.
type LimitsView struct {
	Limits   []limitshare.Seen `json:"limits"` // the busiest keys of each limit
	Accounts int               `json:"accounts"`
	Counts   limitshare.Counts `json:"counts"`
}

func (l *limiter) view() LimitsView {
	l.mu.Lock()
	s := LimitsView{Limits: l.core.Seen(l.now()), Accounts: l.core.Accounts(), Counts: l.core.Counts}
	l.mu.Unlock()
	s.Limits = limitshare.TopByDemand(s.Limits, maxShownKeys) // outside the lock, so that scans do not wait for it
	return s
}
