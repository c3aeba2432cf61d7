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
	"gullstair/internal/features"
	"gullstair/internal/lasting"
	"gullstair/internal/shares"
	"gullstair/internal/sharing"
)

// limiter has scans taken within the fleet's limits: the module's actor asks it, the sharing actor brings it the others' messages. A lock is all that
// is between them, so that a scan never waits for a message.
type limiter struct {
	now    func() float64
	poke   func() // the sharing actor: something is due earlier
	moved  func() // the module's actor: scans that wait may be taken
	limits []features.Limit

	mu     sync.Mutex
	in     []shares.Input // operators' orders, for the sharing actor
	core   *shares.Core
	due    float64                       // as the sharing actor knows it
	queue  *lasting.Queue[shares.Record] // nil: what is lent does not last
	dir    *lasting.Dir[shares.Record]
	unkept int // marks stored since the last snapshot
	uses   []shares.Use
	names  []string // why a limit turns a scan away
}

const (
	limitKeys  = 100000 // keys of all limits that are kept
	seenMost   = 20     // of a limit that operators are shown
	limitAfter = 30000.0
	keyKept    = 60 // bytes of a longer key that are kept beside its hash
	keyWhole   = 100
	endsLateMs = 50.0 // a scan's last answer may come so long after its time is up
	// marksMost is after how many marks all of them take the place of the log.
	marksMost = 20000
)

// limits puts the fleet's limits into a plan; nil: there are none.
func (b *Broker) limits(plan *sharing.Plan, boot uint64, now func() float64) (*limiter, error) {
	if len(b.features.Limits) == 0 {
		return nil, nil
	}
	l := &limiter{now: now, poke: func() {}, moved: func() { b.put(core.LimitsMoved{}) }, limits: b.features.Limits}
	rules := shares.Rules{Self: plan.Name, Boot: boot, Drift: plan.Drift, Most: limitKeys, Loans: true, After: limitAfter}
	if after, is := b.told.Flat["limit.maxRetryAfter"].(float64); is && after > 0 {
		rules.After = after
	}
	for name := range plan.Roster {
		rules.Roster = append(rules.Roster, name)
	}
	var limits []shares.Limit
	for _, f := range l.limits {
		x := shares.Limit{Name: f.Name, Kind: shares.Rate, Size: f.Rate, Burst: f.Burst, Term: ms64(f.Term), Owners: f.Owners, Available: f.Available,
			Linger: ms64(f.Linger), Alone: f.Alone}
		if f.Rate == 0 {
			x.Kind, x.Size = shares.Stock, f.Open+f.Work
		}
		limits = append(limits, x)
		l.names = append(l.names, fmt.Sprintf("the fleet's limit %s", f.Name))
	}
	l.core = shares.New(rules, limits, rand.New(rand.NewPCG(b.told.Seed, boot^0x11a17)).Float64)
	plan.Limits = l
	if b.features.Lent != "" {
		return l, l.keep(b.features.Lent, b.log)
	}
	return l, nil
}

// keep has what is lent last in a directory.
func (l *limiter) keep(path string, log zerolog.Logger) error {
	dir, found, err := lasting.Open[shares.Record](path, lasting.Loans)
	if err != nil {
		return fmt.Errorf("features: limits: %w", err)
	}
	if l.core.Restore(found.Records, found.Sound) {
		log.Info().Str("dir", path).Int("marks", len(found.Records)).Msg("what was lent of limits is as it was stored: the rest is used at once")
	} else {
		log.Warn().Str("dir", path).Str("because", cmp.Or(found.Why, "limits or members were others")).Msg("what was lent of limits may be more than is known: home shares rest for a term")
	}
	l.dir = dir
	l.queue = lasting.NewQueue(dir, func(upto uint64) { l.order(shares.Stored{Upto: upto}) }, func(err error) {
		log.Error().Err(err).Msg("what is lent of limits can't be stored: this broker lends nothing any more, until it is started again")
		l.order(shares.DiskLost{})
	})
	return nil
}

// close ends it; what is under way to the disk was told to nobody.
func (l *limiter) close() {
	if l.queue != nil {
		l.queue.Close()
		l.dir.Close()
	}
}

// asked lists what a scan takes. It is good until the next call.
func (l *limiter) asked(account, cell string, work float64) []shares.Use {
	l.uses = l.uses[:0]
	for i := range l.limits {
		f := &l.limits[i]
		if f.Further {
			continue // no scan counts there
		}
		u := shares.Use{Limit: i, Cost: 1}
		switch f.For {
		case "tenant":
			u.Key = account
		case "cell":
			u.Key = cell
		}
		if f.Work > 0 {
			u.Cost = work
		}
		if len(u.Key) > keyWhole {
			h := fnv.New128a()
			h.Write([]byte(u.Key))
			u.Key = u.Key[:keyKept] + hex.EncodeToString(h.Sum(nil))
		}
		l.uses = append(l.uses, u)
	}
	return l.uses
}

// Take is the module's actor's call.
func (l *limiter) Take(account, cell string, work, lasts float64) core.Ruling {
	return l.rule(l.core.Take, account, cell, work, lasts)
}

// Again is the module's actor's call.
func (l *limiter) Again(account, cell string, work, lasts float64) core.Ruling {
	return l.rule(l.core.Again, account, cell, work, lasts)
}

func (l *limiter) rule(ask func(float64, []shares.Use, float64) shares.Verdict, account, cell string, work, lasts float64) core.Ruling {
	l.mu.Lock()
	v := ask(l.now(), l.asked(account, cell, work), lasts+endsLateMs)
	sooner := l.core.Due() < l.due
	if sooner {
		l.due = l.core.Due()
	}
	l.mu.Unlock()
	if sooner {
		l.poke()
	}
	if v.Taken {
		return core.Ruling{Taken: true}
	}
	return core.Ruling{Why: l.names[v.Limit], After: v.After, Wait: v.Wait}
}

// further is the number of the limit on further dispatches; below 0: there is none.
func (l *limiter) further() int {
	return slices.IndexFunc(l.limits, func(f features.Limit) bool { return f.Further })
}

// Left is the module's actor's call: how many further dispatches this broker's share of the fleet's budget has room for now; +Inf where there is none.
func (l *limiter) Left() float64 {
	i := l.further()
	if i < 0 {
		return math.Inf(1)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Room(l.now(), shares.Use{Limit: i})
}

// Further is the module's actor's call: one more is to be sent, or would be if there were room.
func (l *limiter) Further() bool {
	i := l.further()
	if i < 0 {
		return true
	}
	l.mu.Lock()
	v := l.core.Take(l.now(), []shares.Use{{Limit: i, Cost: 1}}, 0)
	sooner := l.core.Due() < l.due
	if sooner {
		l.due = l.core.Due()
	}
	l.mu.Unlock()
	if sooner {
		l.poke()
	}
	return v.Taken
}

// Done is the module's actor's call.
func (l *limiter) Done(account, cell string, work float64) {
	l.mu.Lock()
	l.core.Done(l.now(), l.asked(account, cell, work))
	l.mu.Unlock()
}

// Step is the sharing actor's call.
func (l *limiter) Step(now float64, in []shares.Input) []shares.Send {
	l.mu.Lock()
	out := l.core.Step(now, append(l.in, in...))
	l.in = nil
	l.due = l.core.Due()
	came := l.core.Came()
	stores := l.core.Stores()
	var all []shares.Record
	if l.unkept += len(stores); l.unkept >= marksMost {
		l.unkept, all = 0, l.core.Records()
	}
	l.mu.Unlock()
	if came {
		l.moved()
	}
	if l.queue != nil {
		for _, s := range stores {
			l.queue.Put(lasting.Order[shares.Record]{Number: s.Number, Record: s.Record, Trust: s.Trust})
		}
		if all != nil {
			l.queue.Put(lasting.Order[shares.Record]{All: all})
		}
	}
	return out
}

// Due is the sharing actor's call.
func (l *limiter) Due() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.due = l.core.Due(); len(l.in) > 0 {
		return math.Inf(-1)
	}
	return l.due
}

func (l *limiter) order(in ...shares.Input) {
	l.mu.Lock()
	l.in = append(l.in, in...)
	poke := l.poke
	l.mu.Unlock()
	poke()
}

// pokes names who is to be told that something is due earlier. The disk's word may come before.
func (l *limiter) pokes(poke func()) {
	l.mu.Lock()
	l.poke = poke
	l.mu.Unlock()
}

// set is an operator's order: another size of a limit for a while, or none any more.
func (l *limiter) set(q url.Values) error {
	at := slices.IndexFunc(l.limits, func(f features.Limit) bool { return f.Name == q.Get("limit") })
	if at < 0 {
		return fmt.Errorf("this broker has no limit %q", q.Get("limit"))
	}
	f := l.limits[at]
	if q.Get("do") == "clear" {
		l.order(shares.Set{Limit: f.Name})
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
		return fmt.Errorf("for %q is not a time from 1s to 720h", q.Get("for"))
	}
	l.order(shares.Set{Limit: f.Name, Size: size, Burst: burst, For: ms64(span)})
	return nil
}

// renew takes up the sizes of a document that was read again.
func (l *limiter) renew(limits []features.Limit) {
	for _, f := range limits {
		if slices.ContainsFunc(l.limits, func(o features.Limit) bool { return o.Name == f.Name && (o.Rate > 0) == (f.Rate > 0) }) {
			size := f.Rate
			if size == 0 {
				size = f.Open + f.Work
			}
			l.order(shares.Document{Limit: f.Name, Size: size, Burst: f.Burst})
		}
	}
}

// LimitsSeen is what the control socket shows of the fleet's limits.
type LimitsSeen struct {
	Limits   []shares.Seen `json:"limits"` // of each the busiest keys
	Accounts int           `json:"accounts"`
	Counts   shares.Counts `json:"counts"`
}

func (l *limiter) seen() LimitsSeen {
	l.mu.Lock()
	s := LimitsSeen{Limits: l.core.Seen(l.now()), Accounts: l.core.Accounts(), Counts: l.core.Counts}
	l.mu.Unlock()
	s.Limits = shares.Busiest(s.Limits, seenMost) // scans do not wait for that
	return s
}
