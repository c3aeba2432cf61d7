package main

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/internal/broker"
	"gullstair/internal/fleettest"
	"gullstair/internal/memberactor"
	"gullstair/internal/verdicts"
)

// limitFleet is a fleet with a limit, and clients that query each broker at a set rate. Checks use only the answers
// that the clients got.
type limitFleet struct {
	*fleettest.Fleet
	t       *testing.T
	client  *http.Client
	demand  []atomic.Int64 // scans a second, by broker
	started time.Time
	stop    chan struct{}
	clients sync.WaitGroup
	// stopAll stops the clients before the test ends.
	stopAll func()

	account func() string // returns the account of the next scan; nil: no account

	mu        sync.Mutex
	got       []answer
	throttled []answer // throttled answers
}

// rates are the rates of the members' clocks: up to 3% apart, within the configured drift.
var rates = []float64{0.985, 1, 1.015, 0.985, 1}

// answer is a scan that was admitted at some moment between sent and came, by the clients' clock.
type answer struct {
	broker     int
	sent, came time.Duration
	account    string
	retryAfter float64 // s, the Retry-After of a throttled one
}

const (
	limitRate  = 80.0
	limitBurst = 16.0
)

// startLimits starts five processes, which list this many members.
func startLimits(t *testing.T, members int, limit string, sharing ...string) *limitFleet {
	return startSomeLimits(t, members, 5, limit, sharing...)
}

// startSomeLimits starts the first processes of the members, which their documents list. Every other member stores its
// loans durably.
func startSomeLimits(t *testing.T, members, first int, limit string, sharing ...string) *limitFleet {
	tree := startTree(t)
	var hosts []any
	for i, s := range []*store{startStore(t), startStore(t)} {
		hosts = append(hosts, map[string]any{"host": fmt.Sprint("s-", i), "dial": s.ln.Addr().String(), "site": "west", "class": "std", "block": i,
			"health": "SERVING", "share": 1, "born_ms": 0})
	}
	tree["known"] = map[string]any{"seq": 41, "whole": true, "hosts": hosts}
	fleet, err := fleettest.New(fleettest.Config{Dir: t.TempDir(), Members: members, Program: []string{os.Args[0], "serve", "--log", "error"}, Env: []string{"GULLSTAIR_TEST_CHILD=1"},
		Start: tree, Seed: 1, Features: func(m *fleettest.Member) (string, string) {
			rest := limit
			if m.Index%2 == 0 {
				rest += fmt.Sprintf("limits {\n  dir = %q\n}\n", m.Path("lent"))
			}
			return fmt.Sprintf("  pace = 0.1\n  clock_drift = 0.02\n  key \"1\" {\n    secret = %q\n  }\n", strings.Repeat("5e", 32)) + strings.Join(sharing, ""), rest
		}})
	require.NoError(t, err)
	f := &limitFleet{Fleet: fleet, t: t, client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, demand: make([]atomic.Int64, members),
		started: time.Now(), stop: make(chan struct{})}
	f.stopAll = sync.OnceFunc(func() {
		close(f.stop)
		f.clients.Wait()
		f.Close()
		f.client.CloseIdleConnections()
	})
	t.Cleanup(f.stopAll)
	for i, m := range f.Members {
		require.NoError(t, m.SkewClocks(rates[i%len(rates)], 0))
		if members > first {
			m.ListedMembers = first
			require.NoError(t, m.Write())
		}
	}
	for _, m := range f.Members[:first] {
		require.NoError(t, m.Launch())
	}
	for i := range f.Members {
		f.clients.Go(func() { f.ask(i) })
	}
	return f
}

// ask sends scans to one broker at the set rate, without waiting for their answers.
func (f *limitFleet) ask(i int) {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	owed, last, n := 0.0, time.Now(), 0
	for {
		select {
		case <-f.stop:
			return
		case now := <-tick.C:
			owed += now.Sub(last).Seconds() * float64(f.demand[i].Load())
			last = now
		}
		for ; owed >= 1; owed-- {
			n++
			id := fmt.Sprint("q", i, "-", n)
			f.clients.Go(func() { f.scan(i, id) })
		}
	}
}

func (f *limitFleet) scan(i int, id string) {
	req, err := http.NewRequest("POST", "http://"+f.Members[i].Listen+"/board", strings.NewReader(`{"segments":[{"segment":0,"boost":1}],"text":"t"}`))
	if err != nil {
		return
	}
	req.Header.Set("X-Correlation-Id", id)
	req.Header.Set("X-Time-Left-Ms", "1000")
	a := answer{broker: i}
	if f.account != nil {
		a.account = f.account()
		req.Header.Set("X-Account", a.account)
	}
	a.sent = time.Since(f.started)
	res, err := f.client.Do(req)
	if err != nil {
		return // its broker was killed or is paused
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.came = time.Since(f.started); res.StatusCode == http.StatusOK {
		f.got = append(f.got, a)
	} else if fmt.Sscan(res.Header.Get("Retry-After"), &a.retryAfter); a.retryAfter > 0 {
		f.throttled = append(f.throttled, a)
	}
}

// measureRate lets time pass and returns how many scans a second were answered meanwhile, in total and by broker.
func (f *limitFleet) measureRate(span time.Duration) (all float64, by []float64) {
	from := time.Since(f.started)
	<-time.After(span)
	to := time.Since(f.started)
	f.mu.Lock()
	defer f.mu.Unlock()
	by = make([]float64, len(f.Members))
	for _, a := range f.got {
		if a.came >= from && a.came < to {
			by[a.broker] += 1 / (to - from).Seconds()
			all += 1 / (to - from).Seconds()
		}
	}
	return all, by
}

func (f *limitFleet) setDemand(perSecond ...int64) {
	for i, n := range perSecond {
		f.demand[i].Store(n)
	}
}

// awaitUse waits until at least this share of the limit is used.
func (f *limitFleet) awaitUse(what string, least float64, demand ...int64) {
	f.t.Helper()
	f.setDemand(demand...)
	require.NoError(f.t, fleettest.WaitUntil(20*time.Second, func() bool {
		all, _ := f.measureRate(500 * time.Millisecond)
		return all > least*limitRate
	}), what)
}

// checkExcess checks the limit over all windows at the end.
func (f *limitFleet) checkExcess() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	over := excess(f.got, limitRate, limitBurst)
	assert.LessOrEqual(f.t, over, 0.0, "scans beyond rate x window + burst, of %d", len(f.got))
	f.t.Logf("%d scans answered in %.0f s; largest excess over all windows %.1f", len(f.got), time.Since(f.started).Seconds(), over)
}

// excess returns how many scans more than rate x window + burst were answered in the worst window; a scan counts if it
// was sent and answered within the window.
func excess(got []answer, rate, burst float64) float64 {
	var all []fleettest.Span
	for _, a := range got {
		all = append(all, fleettest.Span{From: float64(a.sent) / 1e6, To: float64(a.came) / 1e6})
	}
	return fleettest.Excess(all, rate/1000, burst)
}

// TestLimitJudge checks that excess accepts as many scans as a token bucket grants, and finds one more.
func TestLimitJudge(t *testing.T) {
	var got []answer
	for i := range 40 {
		at := time.Duration(max(0, i-15)) * time.Second / 80
		got = append(got, answer{sent: at, came: at + time.Millisecond})
	}
	assert.LessOrEqual(t, excess(got, 80, 16), 0.0)
	assert.Greater(t, excess(append(got, answer{came: time.Millisecond}), 80, 16), 0.5)
}

// TestLimitFaults puts a strict limit on five processes with diverging clocks through moving demand, partitions with
// outstanding loans, one-way links, loss, replays, and brokers that are killed, paused past the end of their loans,
// and all restarted. The limit must never be exceeded, and free capacity must be used.
func TestLimitFaults(t *testing.T) {
	runParallel(t)
	f := startLimits(t, 5, fleetLimit)
	near := f.awaitUse
	near("all demand at one broker", 0.85, 160)
	near("demand moves", 0.85, 0, 160, 0, 0, 0)
	near("demand moves again", 0.85, 5, 5, 5, 160, 5)

	// A partition of 3 and 2 with outstanding loans both ways: each side continues with its members' home shares.
	f.setDemand(160, 5, 5, 160, 5)
	f.measureRate(time.Second)
	f.Switch.Split([]int{0, 1, 2}, []int{3, 4})
	f.setDemand(100, 100, 100, 100, 100)
	require.NoError(t, fleettest.WaitUntil(20*time.Second, func() bool {
		_, by := f.measureRate(time.Second)
		return by[0]+by[1]+by[2] > 0.8*limitRate*3/5 && by[3]+by[4] > 0.8*limitRate*2/5
	}), "each side at its members' share")
	assert.Contains(t, command(t, f.Members[3], "limits"), "LIMIT")
	f.Switch.Split([]int{0, 1}, []int{2, 3}, []int{4})
	f.measureRate(500 * time.Millisecond)
	f.Switch.Heal()
	near("healed", 0.85, 0, 0, 160, 0, 0)

	// An operator lowers the limit for a while: all brokers apply it at once, and it ends by itself.
	f.setDemand(40, 40, 40, 40, 40)
	command(t, f.Members[1], "limits", "set", "all", "--size", "20", "--for", "4s")
	assert.Contains(t, refusal(t, f.Members[1], "limits", "set", "none", "--size", "20", "--for", "4s"), `no limit "none"`)
	f.measureRate(500 * time.Millisecond)
	all, _ := f.measureRate(2 * time.Second)
	assert.Less(t, all, 20+limitBurst/4/2+3)
	assert.Contains(t, command(t, f.Members[4], "limits"), "set by n1")
	near("the order ends by itself", 0.85, 40, 40, 40, 40, 40)

	// A wall clock that is an hour off cuts its broker off, since members refuse old datagrams; the limit itself uses no
	// wall clock.
	require.NoError(t, f.Members[2].SkewClocks(rates[2], time.Hour))
	f.setDemand(0, 100, 160, 0, 0)
	f.measureRate(2 * time.Second)
	require.NoError(t, f.Members[2].SkewClocks(rates[2], 0))
	near("the clock is corrected", 0.85, 0, 0, 160, 0, 0)

	// A one-way link between lender and borrower, loss, and replayed datagrams.
	f.Switch.Set(0, 2, func(l *fleettest.Link) { l.Cut = true })
	f.Switch.Set(2, 1, func(l *fleettest.Link) { l.Cut = true })
	f.measureRate(time.Second)
	f.Switch.Heal()
	f.Switch.All(func(l *fleettest.Link) { l.Loss = 1.0 / 3 })
	f.measureRate(time.Second)
	f.Switch.Replay()
	f.measureRate(500 * time.Millisecond)
	f.Switch.Heal()
	near("after loss", 0.85, 0, 0, 160, 0, 0)

	// A borrower that is paused past the end of its loans uses none of them when it resumes, though its mailbox is full.
	f.Members[2].Signal(syscall.SIGSTOP)
	f.setDemand(100, 100, 100, 100, 100)
	f.measureRate(2500 * time.Millisecond)
	f.Members[2].Signal(syscall.SIGCONT)
	f.measureRate(time.Second)

	// A lender is killed, then a borrower; then all are restarted at once.
	near("one borrows", 0.7, 0, 0, 160, 0, 0)
	f.Members[0].Kill()
	f.measureRate(300 * time.Millisecond)
	f.Members[2].Kill()
	f.setDemand(100, 100, 100, 100, 100)
	f.measureRate(300 * time.Millisecond)
	require.NoError(t, f.Members[0].Launch())
	require.NoError(t, f.Members[2].Launch())
	f.measureRate(time.Second)
	for _, m := range f.Members {
		m.Kill()
	}
	require.NoError(t, f.LaunchAll())
	near("all are back", 0.7, 100, 100, 100, 100, 100)

	f.checkExcess()
}

// between returns the scans that were sent and answered within a span, at the given brokers.
func (f *limitFleet) between(from, to time.Duration, brokers ...int) (some []answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.got {
		if a.sent >= from && a.came < to && slices.Contains(brokers, a.broker) {
			some = append(some, a)
		}
	}
	return some
}

// observedOrder is the operator's order that a member applied at some moment between the request and the response.
type observedOrder struct {
	member      int
	asked, came time.Duration
	by          string
}

// observeOrders queries each member for the order that it applies; a member whose socket does not answer in time is
// left out.
func (f *limitFleet) observeOrders() (all []observedOrder) {
	for i, m := range f.Members {
		var s broker.LimitsView
		asked := time.Since(f.started)
		if m.Query("limits", &s) == nil && len(s.Limits) > 0 {
			all = append(all, observedOrder{member: i, asked: asked, came: time.Since(f.started), by: s.Limits[0].Order})
		}
	}
	return all
}

// allApply reports whether each of these members was found to apply the order that broker by gave (empty: no order).
func allApply(all []observedOrder, by string, members ...int) bool {
	for _, i := range members {
		if !slices.ContainsFunc(all, func(o observedOrder) bool { return o.member == i && o.by == by }) {
			return false
		}
	}
	return true
}

// TestLimitOrders gives orders on both sides of a partition: brokers that an order reaches apply it at once, the other
// side continues with what it knows. After the partition heals, the later order holds everywhere, and it ends by
// itself also where it did not arrive when it was given. Safety is checked at every moment; progress has generous
// timeouts for busy machines.
func TestLimitOrders(t *testing.T) {
	for name, disturb := range map[string]func(*fleettest.Fleet) (stop func()){
		"calm": func(*fleettest.Fleet) func() { return func() {} },
		"processes are paused in turn": func(f *fleettest.Fleet) func() {
			return pauseByTurns(f.Members, 50*time.Millisecond, 1200*time.Millisecond)
		},
		"one is paused for longer than the timeout": func(f *fleettest.Fleet) func() {
			return pauseByTurns(f.Members[2:3], 2500*time.Millisecond, 2500*time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runParallel(t)
			limitOrders(t, disturb)
		})
	}
}

func limitOrders(t *testing.T, disturb func(*fleettest.Fleet) (stop func())) {
	const (
		patience = 20 * time.Second
		lasts    = 9 * time.Second
		// By every clock, an order that lowers the limit may end late by the clock drift, and counts from its arrival.
		latest = lasts * 1060 / 1000
	)
	f := startLimits(t, 5, fleetLimit)
	f.awaitUse("calm", 0.85, 100, 100, 100, 100, 100)
	stop := disturb(f.Fleet)
	defer stop()
	set := func(i int, size string, span time.Duration) {
		command(t, f.Members[i], "limits", "set", "all", "--size", size, "--for", span.String())
	}
	f.Switch.Split([]int{0, 1, 2}, []int{3, 4})
	f.measureRate(1500 * time.Millisecond) // loans across the partition have expired
	set(0, "8", time.Minute)
	require.NoError(t, fleettest.WaitUntil(patience, func() bool { return allApply(f.observeOrders(), "n0", 0, 1, 2) }))
	from := time.Since(f.started)
	require.NoError(t, fleettest.WaitUntil(patience, func() bool {
		begun := time.Since(f.started)
		f.measureRate(2 * time.Second)
		high := f.between(begun, time.Since(f.started), 3, 4)
		return float64(len(high)) > 0.7*limitRate*2/5*(time.Since(f.started)-begun).Seconds()
	}), "the side without the order uses its members' share of the old size")
	low, high := f.between(from, time.Since(f.started), 0, 1, 2), f.between(from, time.Since(f.started), 3, 4)
	// The members' share of a tenth: home shares are whole tokens, so the whole burst of 1.6 may be on this side.
	assert.LessOrEqual(t, excess(low, limitRate/10*3/5, limitBurst/10+0.1), 0.0, "the side with the order exceeds its share")
	assert.LessOrEqual(t, excess(high, limitRate*2/5, limitBurst*2/5+1), 0.0, "the side without the order exceeds its members' share of the old size")
	begun := time.Since(f.started)
	set(4, "40", lasts)
	f.measureRate(time.Second)
	f.Switch.Heal()
	var found []observedOrder
	look := func() []observedOrder {
		all := f.observeOrders()
		found = append(found, all...)
		return all
	}
	require.NoError(t, fleettest.WaitUntil(lasts-2*time.Second, func() bool { return allApply(look(), "n4", 0, 1, 2, 3, 4) }), "the later order holds for all")
	from = time.Since(f.started)
	f.measureRate(1500 * time.Millisecond)
	assert.LessOrEqual(t, excess(f.between(from, time.Since(f.started), 0, 1, 2, 3, 4), limitRate/2, limitBurst/2+1), 0.0)
	require.NoError(t, fleettest.WaitUntil(patience, func() bool { return allApply(look(), "", 0, 1, 2, 3, 4) }), "the order ends by itself")
	receivedAt := map[int]time.Duration{}
	for _, o := range found {
		switch at, known := receivedAt[o.member]; {
		case o.by == "n4" && !known:
			receivedAt[o.member] = o.came
		case o.by == "n4":
			assert.Less(t, o.asked, at+latest, "n%d: the order ends at its time", o.member)
		case known:
			assert.Empty(t, o.by, "n%d: another order comes back", o.member)
			assert.Greater(t, o.came, begun+lasts, "n%d: the order does not end before its time", o.member)
		}
	}
	stop()
	f.awaitUse("over by itself", 0.85, 100, 100, 100, 100, 100)
	assert.True(t, allApply(f.observeOrders(), "", 0, 1, 2, 3, 4))
	f.checkExcess()
}

// TestLimitTenants limits many tenants of a power-law distribution that changes, while a third of the messages is lost
// and clients ignore Retry-After. No tenant may ever exceed its limit, a throttled client gets an immediate answer
// with a time to retry, and an idle account is forgotten without a new burst for a tenant that returns.
func TestLimitTenants(t *testing.T) {
	acquireFleetSlots(t, 2)
	const rate, burst = 5.0, 5.0
	f := startLimits(t, 5, "limit \"each\" {\n  for = \"tenant\"\n  scans_per_s = 5\n  burst = 5\n}\n", "  verdicts {\n  }\n")
	rnd := rand.New(rand.NewPCG(1, 0x7e4a))
	var mu sync.Mutex
	shift := 0 // each shift replaces a tenth of the names
	f.account = func() string {
		mu.Lock()
		defer mu.Unlock()
		// By a power law: a few request much more than their limit.
		n := int(math.Pow(3000, rnd.Float64())) - 1
		return fmt.Sprint("t", n, "-", (shift+n%10)/10)
	}
	f.Switch.All(func(l *fleettest.Link) { l.Loss = 1.0 / 3 })
	for range 8 {
		f.setDemand(40, 40, 40, 40, 40)
		f.measureRate(time.Second)
		mu.Lock()
		shift++
		mu.Unlock()
	}
	// All brokers know which tenants are throttled, and by which limit.
	f.Switch.Heal()
	require.NoError(t, fleettest.WaitUntil(20*time.Second, func() bool {
		var s memberactor.State
		return f.Members[3].Query("sharing", &s) == nil && slices.ContainsFunc(s.Tenants, func(x verdicts.Tenant) bool {
			return len(x.Observers) >= 3 && slices.Equal(x.Why, []string{"the fleet's limit each"})
		})
	}))
	assert.Contains(t, command(t, f.Members[3], "verdict", "tenants"), "the fleet's limit each")
	f.setDemand(0, 0, 0, 0, 0)
	require.NoError(t, fleettest.WaitUntil(40*time.Second, func() bool {
		for _, m := range f.Members {
			var s broker.LimitsView
			if m.Query("limits", &s) != nil || s.Accounts > 0 {
				return false
			}
		}
		return true
	}), "idle tenants are forgotten")
	f.setDemand(40, 40, 40, 40, 40) // the tenants return
	f.measureRate(time.Second)
	f.setDemand(0, 0, 0, 0, 0)
	f.measureRate(1500 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	by := map[string][]answer{}
	for _, a := range f.got {
		by[a.account] = append(by[a.account], a)
	}
	busy := 0
	for account, some := range by {
		assert.LessOrEqual(t, excess(some, rate, burst), 0.0, account)
		if len(some) > 20 {
			busy++
		}
	}
	assert.Greater(t, len(by), 300)
	assert.Positive(t, busy)
	require.Greater(t, len(f.throttled), 100, "too few scans are throttled")
	// Immediately, not near the end of their deadline (1 s). On a busy machine all answers are late, also those of
	// admitted scans.
	taken, back := p90(f.got), p90(f.throttled)
	assert.LessOrEqual(t, back, max(500*time.Millisecond, 2*taken), "throttled clients got a late answer")
	t.Logf("%d tenants, %d scans taken, nine of ten within %v, %d throttled, nine of ten within %v", len(by), len(f.got), taken, len(f.throttled), back)
}

// p90 returns the 90th percentile of the latency of the answers.
func p90(all []answer) time.Duration {
	var took []time.Duration
	for _, a := range all {
		took = append(took, a.came-a.sent)
	}
	slices.Sort(took)
	return took[len(took)*9/10].Round(time.Millisecond)
}

// TestLimitRoster grows the roster from five to seven members and shrinks it to three under load, in the order that
// docs/limits.md gives; the limit must never be exceeded.
func TestLimitRoster(t *testing.T) {
	runParallel(t)
	f := startLimits(t, 7, fleetLimit)
	f.awaitUse("five", 0.85, 40, 40, 40, 40, 40)
	list := func(n int, members ...*fleettest.Member) {
		for _, m := range members {
			m.ListedMembers = n
			require.NoError(t, m.Write())
			m.Kill()
			require.NoError(t, m.Launch())
			f.measureRate(300 * time.Millisecond)
		}
	}
	list(7, f.Members[:5]...) // the remaining members first
	list(7, f.Members[5:]...)
	f.awaitUse("seven", 0.85, 30, 30, 30, 30, 30, 30, 30)
	for _, m := range f.Members[3:] { // the leaving members first
		m.Terminate(10 * time.Second)
	}
	list(3, f.Members[:3]...)
	f.awaitUse("three", 0.85, 60, 60, 60, 0, 0, 0, 0)
	f.checkExcess()
}

// TestLimitAvailable partitions a fleet with an available limit into three and two: a broker that is cut off keeps its
// borrowed share for the linger time; after that each side uses its members' share, or alone if that is more. The
// fleet's total stays within the documented formula.
func TestLimitAvailable(t *testing.T) {
	runParallel(t)
	const alone, linger = 0.6, 2.0
	f := startLimits(t, 5, "limit \"all\" {\n  for = \"fleet\"\n  scans_per_s = 80\n  burst = 16\n  mode = \"available\"\n  linger = \"2s\"\n  alone = 0.6\n}\n")
	f.awaitUse("all of it at one", 0.9, 160, 0, 0, 0, 0)
	f.Switch.Split([]int{0, 1, 2}, []int{3, 4})
	cut := time.Since(f.started)
	f.setDemand(100, 100, 100, 100, 100)
	side := func() (left, right float64) {
		_, by := f.measureRate(time.Second)
		return by[0] + by[1] + by[2], by[3] + by[4]
	}
	// The right side learns that three members are gone only when its members have declared them dead.
	require.NoError(t, fleettest.WaitUntil(30*time.Second, func() bool {
		left, right := side()
		return left > 0.9*0.6*limitRate && right > 0.9*alone*limitRate
	}), "the larger side its members' share, the smaller one alone")
	command(t, f.Members[3], "limits")
	f.measureRate(2 * time.Second)
	healed := time.Since(f.started)
	f.Switch.Heal()
	f.mu.Lock()
	var during []answer
	for _, a := range f.got {
		if a.sent >= cut && a.came < healed {
			during = append(during, a)
		}
	}
	f.mu.Unlock()
	// Two sides: (s-1) x alone more, the limit once more during linger, and a burst for each side.
	over := excess(during, limitRate*(1+alone), limitBurst*(1+alone)+limitRate*linger)
	assert.LessOrEqual(t, over, 0.0)
	assert.Positive(t, excess(during, limitRate, limitBurst), "the sides together exceed the plain limit, as the formula allows")
	t.Logf("%d scans in a split of %.0f s, %.0f below the formula", len(during), (healed - cut).Seconds(), -over)
	require.NoError(t, fleettest.WaitUntil(30*time.Second, func() bool {
		all, _ := f.measureRate(time.Second)
		return all < 1.05*limitRate && all > 0.85*limitRate
	}), "healed")
}
