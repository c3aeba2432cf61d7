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
	"gullstair/internal/rig"
	"gullstair/internal/sharer"
	"gullstair/internal/verdicts"
)

// limitFleet is a fleet with a limit and clients who ask each broker so often in a second. What they got is all that is judged.
type limitFleet struct {
	*rig.Fleet
	t      *testing.T
	client *http.Client
	demand []atomic.Int64 // scans a second, by broker
	begun  time.Time
	stop   chan struct{}
	asking sync.WaitGroup
	// stopAll ends it before the test does.
	stopAll func()

	account func() string // whose the next scan is; nil: nobody's in particular

	mu   sync.Mutex
	got  []answer
	back []answer // throttled ones
}

// rates are the members' clocks': 3% apart, within the drift that they are told.
var rates = []float64{0.985, 1, 1.015, 0.985, 1}

// answer is a scan that was taken: at some moment between the two, by the clients' clock.
type answer struct {
	broker     int
	sent, came time.Duration
	account    string
	after      float64 // s, as a throttled one was told to come back
}

const (
	limitRate  = 80.0
	limitBurst = 16.0
)

// startLimits starts the first five of so many processes.
func startLimits(t *testing.T, members int, limit string, sharing ...string) *limitFleet {
	return startSomeLimits(t, members, 5, limit, sharing...)
}

// startSomeLimits starts the first ones of so many processes, which their documents list. What is lent lasts at every other one.
func startSomeLimits(t *testing.T, members, first int, limit string, sharing ...string) *limitFleet {
	tree := startTree(t)
	var hosts []any
	for i, s := range []*store{startStore(t), startStore(t)} {
		hosts = append(hosts, map[string]any{"host": fmt.Sprint("s-", i), "dial": s.ln.Addr().String(), "site": "west", "class": "std", "block": i,
			"health": "SERVING", "share": 1, "born_ms": 0})
	}
	tree["known"] = map[string]any{"seq": 41, "whole": true, "hosts": hosts}
	fleet, err := rig.New(rig.Plan{Dir: t.TempDir(), Members: members, Program: []string{os.Args[0], "serve", "--log", "error"}, Env: []string{"GULLSTAIR_TEST_CHILD=1"},
		Start: tree, Seed: 1, Features: func(m *rig.Member) (string, string) {
			rest := limit
			if m.N%2 == 0 {
				rest += fmt.Sprintf("limits {\n  dir = %q\n}\n", m.Path("lent"))
			}
			return fmt.Sprintf("  pace = 0.1\n  clock_drift = 0.02\n  key \"1\" {\n    secret = %q\n  }\n", strings.Repeat("5e", 32)) + strings.Join(sharing, ""), rest
		}})
	require.NoError(t, err)
	f := &limitFleet{Fleet: fleet, t: t, client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, demand: make([]atomic.Int64, members),
		begun: time.Now(), stop: make(chan struct{})}
	f.stopAll = sync.OnceFunc(func() {
		close(f.stop)
		f.asking.Wait()
		f.Close()
		f.client.CloseIdleConnections()
	})
	t.Cleanup(f.stopAll)
	for i, m := range f.Members {
		require.NoError(t, m.Bend(rates[i%len(rates)], 0))
		if members > first {
			m.Listed = first
			require.NoError(t, m.Write())
		}
	}
	for _, m := range f.Members[:first] {
		require.NoError(t, m.Launch())
	}
	for i := range f.Members {
		f.asking.Go(func() { f.ask(i) })
	}
	return f
}

// ask asks one broker at the pace that is set. Scans don't wait for one another.
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
			f.asking.Go(func() { f.scan(i, id) })
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
	a.sent = time.Since(f.begun)
	res, err := f.client.Do(req)
	if err != nil {
		return // its broker was killed, or stands still
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.came = time.Since(f.begun); res.StatusCode == http.StatusOK {
		f.got = append(f.got, a)
	} else if fmt.Sscan(res.Header.Get("Retry-After"), &a.after); a.after > 0 {
		f.back = append(f.back, a)
	}
}

// let lets time pass and returns how many scans a second were answered meanwhile, by broker.
func (f *limitFleet) let(span time.Duration) (all float64, by []float64) {
	from := time.Since(f.begun)
	<-time.After(span)
	to := time.Since(f.begun)
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

func (f *limitFleet) askAll(perSecond ...int64) {
	for i, n := range perSecond {
		f.demand[i].Store(n)
	}
}

// near waits until that share of the limit is used at least.
func (f *limitFleet) near(what string, least float64, demand ...int64) {
	f.t.Helper()
	f.askAll(demand...)
	require.NoError(f.t, rig.Until(20*time.Second, func() bool {
		all, _ := f.let(500 * time.Millisecond)
		return all > least*limitRate
	}), what)
}

// kept judges every window at the end.
func (f *limitFleet) kept() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	over := judge(f.got, limitRate, limitBurst)
	assert.LessOrEqual(f.t, over, 0.0, "scans beyond rate x window + burst, of %d", len(f.got))
	f.t.Logf("%d scans answered in %.0f s; largest excess over all windows %.1f", len(f.got), time.Since(f.begun).Seconds(), over)
}

// judge is how many scans more than rate x window + burst were answered in the worst window: what was sent and answered within it counts.
func judge(got []answer, rate, burst float64) float64 {
	var all []rig.Span
	for _, a := range got {
		all = append(all, rig.Span{From: float64(a.sent) / 1e6, To: float64(a.came) / 1e6})
	}
	return rig.Excess(all, rate/1000, burst)
}

// The judge finds what is over: as many scans as a bucket gives are not, one more is.
func TestLimitJudge(t *testing.T) {
	var got []answer
	for i := range 40 {
		at := time.Duration(max(0, i-15)) * time.Second / 80
		got = append(got, answer{sent: at, came: at + time.Millisecond})
	}
	assert.LessOrEqual(t, judge(got, 80, 16), 0.0)
	assert.Greater(t, judge(append(got, answer{came: time.Millisecond}), 80, 16), 0.5)
}

// A strict limit for five processes whose clocks run apart: demand that moves, splits with loans out, one-way links, loss, replays, brokers killed, stopped
// past their loans' ends and all restarted. Never a scan over; and what is free is used.
func TestLimitFaults(t *testing.T) {
	besideOthers(t)
	f := startLimits(t, 5, fleetLimit)
	near := f.near
	near("all of it at one broker", 0.85, 160)
	near("and moved", 0.85, 0, 160, 0, 0, 0)
	near("and moved on", 0.85, 5, 5, 5, 160, 5)

	// 3-2, with loans out both ways: each side goes on with its members' home shares.
	f.askAll(160, 5, 5, 160, 5)
	f.let(time.Second)
	f.Switch.Split([]int{0, 1, 2}, []int{3, 4})
	f.askAll(100, 100, 100, 100, 100)
	require.NoError(t, rig.Until(20*time.Second, func() bool {
		_, by := f.let(time.Second)
		return by[0]+by[1]+by[2] > 0.8*limitRate*3/5 && by[3]+by[4] > 0.8*limitRate*2/5
	}), "each side at its members' share")
	assert.Contains(t, command(t, f.Members[3], "limits"), "LIMIT")
	f.Switch.Split([]int{0, 1}, []int{2, 3}, []int{4})
	f.let(500 * time.Millisecond)
	f.Switch.Heal()
	near("healed", 0.85, 0, 0, 160, 0, 0)

	// An operator lowers it for a while: at once at all brokers, and back by itself.
	f.askAll(40, 40, 40, 40, 40)
	command(t, f.Members[1], "limits", "set", "all", "--size", "20", "--for", "4s")
	assert.Contains(t, refusal(t, f.Members[1], "limits", "set", "none", "--size", "20", "--for", "4s"), `no limit "none"`)
	f.let(500 * time.Millisecond)
	all, _ := f.let(2 * time.Second)
	assert.Less(t, all, 20+limitBurst/4/2+3)
	assert.Contains(t, command(t, f.Members[4], "limits"), "set by n1")
	near("and back by itself", 0.85, 40, 40, 40, 40, 40)

	// A wall clock an hour off cuts its broker off, since members refuse old datagrams; the limit rests on no wall clock.
	require.NoError(t, f.Members[2].Bend(rates[2], time.Hour))
	f.askAll(0, 100, 160, 0, 0)
	f.let(2 * time.Second)
	require.NoError(t, f.Members[2].Bend(rates[2], 0))
	near("its clock is right again", 0.85, 0, 0, 160, 0, 0)

	// One way between lender and borrower, loss, and what was sent before once more.
	f.Switch.Set(0, 2, func(l *rig.Link) { l.Cut = true })
	f.Switch.Set(2, 1, func(l *rig.Link) { l.Cut = true })
	f.let(time.Second)
	f.Switch.Heal()
	f.Switch.All(func(l *rig.Link) { l.Loss = 1.0 / 3 })
	f.let(time.Second)
	f.Switch.Replay()
	f.let(500 * time.Millisecond)
	f.Switch.Heal()
	near("after loss", 0.85, 0, 0, 160, 0, 0)

	// A borrower that stands still past its loans' ends takes nothing under them when it wakes, though its mailbox is full.
	f.Members[2].Signal(syscall.SIGSTOP)
	f.askAll(100, 100, 100, 100, 100)
	f.let(2500 * time.Millisecond)
	f.Members[2].Signal(syscall.SIGCONT)
	f.let(time.Second)

	// A lender is killed, then a borrower; all are restarted at once.
	near("one borrows", 0.7, 0, 0, 160, 0, 0)
	f.Members[0].Kill()
	f.let(300 * time.Millisecond)
	f.Members[2].Kill()
	f.askAll(100, 100, 100, 100, 100)
	f.let(300 * time.Millisecond)
	require.NoError(t, f.Members[0].Launch())
	require.NoError(t, f.Members[2].Launch())
	f.let(time.Second)
	for _, m := range f.Members {
		m.Kill()
	}
	require.NoError(t, f.LaunchAll())
	near("all are back", 0.7, 100, 100, 100, 100, 100)

	f.kept()
}

// between are the scans that were sent and answered in a span, at some brokers.
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

// seenOrder is whose order on a limit a member was found to go by: at some moment between the question and the answer.
type seenOrder struct {
	member      int
	asked, came time.Duration
	by          string
}

// orders asks each member whose order holds; a member whose socket does not answer in time says nothing.
func (f *limitFleet) orders() (all []seenOrder) {
	for i, m := range f.Members {
		var s broker.LimitsSeen
		asked := time.Since(f.begun)
		if m.Ask("limits", &s) == nil && len(s.Limits) > 0 {
			all = append(all, seenOrder{member: i, asked: asked, came: time.Since(f.begun), by: s.Limits[0].Order})
		}
	}
	return all
}

// ordered says whether these members were all found to go by somebody's order.
func ordered(all []seenOrder, by string, members ...int) bool {
	for _, i := range members {
		if !slices.ContainsFunc(all, func(o seenOrder) bool { return o.member == i && o.by == by }) {
			return false
		}
	}
	return true
}

// Operators on two sides of a split: who hears of an order goes by it at once, the other side by what it knows; healed, one order holds for all, the later one, and it
// ends by itself also where it was not heard of when it was set. What may never be is judged at each moment; what is to come about has time on a machine with other work.
func TestLimitOrders(t *testing.T) {
	for name, disturb := range map[string]func(*rig.Fleet) (stop func()){
		"calm": func(*rig.Fleet) func() { return func() {} },
		"processes stand still by turns": func(f *rig.Fleet) func() {
			return standStillByTurns(f.Members, 50*time.Millisecond, 1200*time.Millisecond)
		},
		"one stands still for longer than asked": func(f *rig.Fleet) func() {
			return standStillByTurns(f.Members[2:3], 2500*time.Millisecond, 2500*time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			besideOthers(t)
			limitOrders(t, disturb)
		})
	}
}

func limitOrders(t *testing.T, disturb func(*rig.Fleet) (stop func())) {
	const (
		patience = 20 * time.Second
		lasts    = 9 * time.Second
		// An order that lets less in ends rather late by every clock, for as much as clocks may drift, and counts from when it is heard of.
		latest = lasts * 1060 / 1000
	)
	f := startLimits(t, 5, fleetLimit)
	f.near("calm", 0.85, 100, 100, 100, 100, 100)
	stop := disturb(f.Fleet)
	defer stop()
	set := func(i int, size string, span time.Duration) {
		command(t, f.Members[i], "limits", "set", "all", "--size", size, "--for", span.String())
	}
	f.Switch.Split([]int{0, 1, 2}, []int{3, 4})
	f.let(1500 * time.Millisecond) // loans that went across have run out
	set(0, "8", time.Minute)
	require.NoError(t, rig.Until(patience, func() bool { return ordered(f.orders(), "n0", 0, 1, 2) }))
	from := time.Since(f.begun)
	require.NoError(t, rig.Until(patience, func() bool {
		begun := time.Since(f.begun)
		f.let(2 * time.Second)
		high := f.between(begun, time.Since(f.begun), 3, 4)
		return float64(len(high)) > 0.7*limitRate*2/5*(time.Since(f.begun)-begun).Seconds()
	}), "who did not hear of it uses its members' share of the old size")
	low, high := f.between(from, time.Since(f.begun), 0, 1, 2), f.between(from, time.Since(f.begun), 3, 4)
	// Its members' share of a tenth: home shares are whole tokens, so that of the burst of 1.6 may be all here.
	assert.LessOrEqual(t, judge(low, limitRate/10*3/5, limitBurst/10+0.1), 0.0, "who heard of it")
	assert.LessOrEqual(t, judge(high, limitRate*2/5, limitBurst*2/5+1), 0.0, "who did not goes by its members' share of the old size")
	begun := time.Since(f.begun)
	set(4, "40", lasts)
	f.let(time.Second)
	f.Switch.Heal()
	var found []seenOrder
	look := func() []seenOrder {
		all := f.orders()
		found = append(found, all...)
		return all
	}
	require.NoError(t, rig.Until(lasts-2*time.Second, func() bool { return ordered(look(), "n4", 0, 1, 2, 3, 4) }), "the later one holds for all")
	from = time.Since(f.begun)
	f.let(1500 * time.Millisecond)
	assert.LessOrEqual(t, judge(f.between(from, time.Since(f.begun), 0, 1, 2, 3, 4), limitRate/2, limitBurst/2+1), 0.0)
	require.NoError(t, rig.Until(patience, func() bool { return ordered(look(), "", 0, 1, 2, 3, 4) }), "the order ends by itself")
	heard := map[int]time.Duration{}
	for _, o := range found {
		switch at, known := heard[o.member]; {
		case o.by == "n4" && !known:
			heard[o.member] = o.came
		case o.by == "n4":
			assert.Less(t, o.asked, at+latest, "n%d: the order ends at its time", o.member)
		case known:
			assert.Empty(t, o.by, "n%d: nobody else's order comes back", o.member)
			assert.Greater(t, o.came, begun+lasts, "n%d: the order does not end before its time", o.member)
		}
	}
	stop()
	f.near("over by itself", 0.85, 100, 100, 100, 100, 100)
	assert.True(t, ordered(f.orders(), "", 0, 1, 2, 3, 4))
	f.kept()
}

// Limits of many tenants by a power law, who change, while a third of the messages is lost and clients come back at once whatever they are told: no tenant is ever
// over, whoever is turned away hears so at once with a time to come back, and what is idle is forgotten without a burst for who returns.
func TestLimitTenants(t *testing.T) {
	takesRoom(t, 2)
	const rate, burst = 5.0, 5.0
	f := startLimits(t, 5, "limit \"each\" {\n  for = \"tenant\"\n  scans_per_s = 5\n  burst = 5\n}\n", "  verdicts {\n  }\n")
	rnd := rand.New(rand.NewPCG(1, 0x7e4a))
	var mu sync.Mutex
	shift := 0 // a tenth of the names is another one with each
	f.account = func() string {
		mu.Lock()
		defer mu.Unlock()
		// By a power law: a few ask much more than they may.
		n := int(math.Pow(3000, rnd.Float64())) - 1
		return fmt.Sprint("t", n, "-", (shift+n%10)/10)
	}
	f.Switch.All(func(l *rig.Link) { l.Loss = 1.0 / 3 })
	for range 8 {
		f.askAll(40, 40, 40, 40, 40)
		f.let(time.Second)
		mu.Lock()
		shift++
		mu.Unlock()
	}
	// Who is held back by some is known to all, and by which limit.
	f.Switch.Heal()
	require.NoError(t, rig.Until(20*time.Second, func() bool {
		var s sharer.State
		return f.Members[3].Ask("sharing", &s) == nil && slices.ContainsFunc(s.Tenants, func(x verdicts.Tenant) bool {
			return len(x.Observers) >= 3 && slices.Equal(x.Why, []string{"the fleet's limit each"})
		})
	}))
	assert.Contains(t, command(t, f.Members[3], "verdict", "tenants"), "the fleet's limit each")
	f.askAll(0, 0, 0, 0, 0)
	require.NoError(t, rig.Until(40*time.Second, func() bool {
		for _, m := range f.Members {
			var s broker.LimitsSeen
			if m.Ask("limits", &s) != nil || s.Accounts > 0 {
				return false
			}
		}
		return true
	}), "who asks nothing more is forgotten")
	f.askAll(40, 40, 40, 40, 40) // they return
	f.let(time.Second)
	f.askAll(0, 0, 0, 0, 0)
	f.let(1500 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	by := map[string][]answer{}
	for _, a := range f.got {
		by[a.account] = append(by[a.account], a)
	}
	busy := 0
	for account, some := range by {
		assert.LessOrEqual(t, judge(some, rate, burst), 0.0, account)
		if len(some) > 20 {
			busy++
		}
	}
	assert.Greater(t, len(by), 300)
	assert.Positive(t, busy)
	require.Greater(t, len(f.back), 100, "some are turned away")
	// At once, not near their time's end (1 s). On a machine with other work all answers are late, those that were taken and went to a store too.
	taken, back := slowest(f.got), slowest(f.back)
	assert.LessOrEqual(t, back, max(500*time.Millisecond, 2*taken), "turned away at once")
	t.Logf("%d tenants, %d scans taken, nine of ten within %v, %d turned away, nine of ten within %v", len(by), len(f.got), taken, len(f.back), back)
}

// slowest is what nine of ten answers took at most.
func slowest(all []answer) time.Duration {
	var took []time.Duration
	for _, a := range all {
		took = append(took, a.came-a.sent)
	}
	slices.Sort(took)
	return took[len(took)*9/10].Round(time.Millisecond)
}

// The roster grows from five to seven and shrinks to three under load, in the order that docs/limits.md gives: never a scan over.
func TestLimitRoster(t *testing.T) {
	besideOthers(t)
	f := startLimits(t, 7, fleetLimit)
	f.near("five", 0.85, 40, 40, 40, 40, 40)
	list := func(n int, members ...*rig.Member) {
		for _, m := range members {
			m.Listed = n
			require.NoError(t, m.Write())
			m.Kill()
			require.NoError(t, m.Launch())
			f.let(300 * time.Millisecond)
		}
	}
	list(7, f.Members[:5]...) // those who stay first
	list(7, f.Members[5:]...)
	f.near("seven", 0.85, 30, 30, 30, 30, 30, 30, 30)
	for _, m := range f.Members[3:] { // those who go first
		m.End(10 * time.Second)
	}
	list(3, f.Members[:3]...)
	f.near("three", 0.85, 60, 60, 60, 0, 0, 0, 0)
	f.kept()
}

// An available limit in a split of three and two: who is cut off goes on with what was borrowed for linger, then each side has its members' share, or alone
// if that is more. What the whole fleet takes stays within the stated formula.
func TestLimitAvailable(t *testing.T) {
	besideOthers(t)
	const alone, linger = 0.6, 2.0
	f := startLimits(t, 5, "limit \"all\" {\n  for = \"fleet\"\n  scans_per_s = 80\n  burst = 16\n  mode = \"available\"\n  linger = \"2s\"\n  alone = 0.6\n}\n")
	f.near("all of it at one", 0.9, 160, 0, 0, 0, 0)
	f.Switch.Split([]int{0, 1, 2}, []int{3, 4})
	cut := time.Since(f.begun)
	f.askAll(100, 100, 100, 100, 100)
	side := func() (left, right float64) {
		_, by := f.let(time.Second)
		return by[0] + by[1] + by[2], by[3] + by[4]
	}
	// The right side is told that three are gone only when its members have held them for dead.
	require.NoError(t, rig.Until(30*time.Second, func() bool {
		left, right := side()
		return left > 0.9*0.6*limitRate && right > 0.9*alone*limitRate
	}), "the larger side its members' share, the smaller one alone")
	command(t, f.Members[3], "limits")
	f.let(2 * time.Second)
	healed := time.Since(f.begun)
	f.Switch.Heal()
	f.mu.Lock()
	var during []answer
	for _, a := range f.got {
		if a.sent >= cut && a.came < healed {
			during = append(during, a)
		}
	}
	f.mu.Unlock()
	// Two sides: (s-1) x alone more, for linger the limit once more, and a burst for each side.
	over := judge(during, limitRate*(1+alone), limitBurst*(1+alone)+limitRate*linger)
	assert.LessOrEqual(t, over, 0.0)
	assert.Positive(t, judge(during, limitRate, limitBurst), "it is passed, as it may be")
	t.Logf("%d scans in a split of %.0f s, %.0f below the formula", len(during), (healed - cut).Seconds(), -over)
	require.NoError(t, rig.Until(30*time.Second, func() bool {
		all, _ := f.let(time.Second)
		return all < 1.05*limitRate && all > 0.85*limitRate
	}), "healed")
}
