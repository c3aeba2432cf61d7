package verdicts

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func half() float64 { return 0.5 }

func newCore() *Core {
	c := New(Rules{Self: "a", Zone: "x", Run: 1}, half)
	c.Step(1000, []Input{Stores{[]Store{{Name: "s", Ready: true}, {Name: "t", Ready: true}, {Name: "u", Ready: true}}}, View{[]Member{{Name: "b"}, {Name: "c"}}}})
	return c
}

// Of two orders the one with the higher version wins, then the one with the greater name, in whatever sequence they arrive. An expired order stays expired.
func TestOrders(t *testing.T) {
	drain := func(version uint64, by string, left float64) Order {
		return Order{Store: "s", Do: Drain, By: by, Version: version, Left: left}
	}
	for name, all := range map[string][]Order{
		"newer order last":                 {drain(3, "b", 500), {Store: "s", Do: Clear, By: "c", Version: 5, Left: 500}},
		"newer order first":                {{Store: "s", Do: Clear, By: "c", Version: 5, Left: 500}, drain(3, "b", 500)},
		"same version, greater name last":  {drain(5, "b", 500), {Store: "s", Do: Clear, By: "c", Version: 5, Left: 500}},
		"same version, greater name first": {{Store: "s", Do: Clear, By: "c", Version: 5, Left: 500}, drain(5, "b", 500)},
	} {
		c := newCore()
		for i, o := range all {
			c.Step(1100+float64(i), []Input{Received{"b", Message{Orders: []Order{o}}}})
		}
		got, holds := c.orders.current("s", 1110)
		require.True(t, holds, name)
		assert.Equal(t, Clear, got.Do, name)
		_, holds = c.orders.current("s", 1602)
		assert.False(t, holds, name)
	}
	c := newCore()
	c.Step(1100, []Input{Set{Store: "s", Do: Drain, For: 500, Reason: strings.Repeat("x", 300)}})
	o, _ := c.orders.current("s", 1100)
	assert.Len(t, o.Reason, maxReasonLength)
	c.Step(1200, []Input{Set{Store: "s", Do: Drain}})
	_, holds := c.orders.current("s", 1200)
	assert.False(t, holds, "revoked")
	c.Step(1210, []Input{Received{"b", Message{Orders: []Order{o}}}})
	_, holds = c.orders.current("s", 1210)
	assert.False(t, holds, "an old message does not restore it")
}

// Invalid reports and orders are counted and dropped, and the number of reports is bounded.
func TestInvalidReports(t *testing.T) {
	c := newCore()
	good := Report{Store: "s", Observer: "b", Kind: Fails, Bad: 3, Row: 3, Run: 1, Seq: 1}
	for i, change := range []func(*Report){func(w *Report) { w.Store = "" }, func(w *Report) { w.Observer = strings.Repeat("x", 200) }, func(w *Report) { w.Kind = 9 }, func(w *Report) { w.Kind = 0 },
		func(w *Report) { w.Age = math.NaN() }, func(w *Report) { w.Age = -1 }, func(w *Report) { w.Good = 9 }, func(w *Report) { w.Bad = -1 }, func(w *Report) { w.Row = 4 },
		func(w *Report) { w.Observer, w.Run = "a", 7 }} {
		w := good
		change(&w)
		c.Step(1100, []Input{Received{"b", Message{Words: []Report{w}}}})
		assert.Equal(t, i+1, c.Counts.Odd, "%d", i)
	}
	c.Step(1100, []Input{Received{"b", Message{Orders: []Order{{Store: "s", Do: "explode", Left: 1}, {Store: "", Do: Drain}, {Store: "s", Do: Drain, Left: math.Inf(1)}}}}})
	assert.Equal(t, 13, c.Counts.Odd)
	assert.Zero(t, c.ReportCount())
	c.rules.Most = 1
	second := good
	second.Observer = "c"
	c.Step(1200, []Input{Received{"b", Message{Words: []Report{good, second}}}})
	assert.Equal(t, [2]int{1, 1}, [2]int{c.ReportCount(), c.Counts.Dropped})
	c.Step(1e6, nil)
	assert.Zero(t, c.ReportCount(), "old reports are removed")
}

// After a restart a stored order remains in force for its remaining time by the wall clock, never for longer. An expired order stays expired.
func TestStoredOrders(t *testing.T) {
	c := newCore()
	c.Step(1100, []Input{Set{Store: "s", Do: Drain, For: 60000, Reason: "disk"}, Set{Store: "t", Do: Rest, For: 60000}})
	records := c.UnstoredOrders(5e6)
	assert.Empty(t, c.UnstoredOrders(5e6), "each order is returned once")
	c.Step(2100, []Input{Set{Store: "t", Do: Rest}})
	records = append(records, c.UnstoredOrders(5e6+1000)...)
	require.Len(t, records, 3)
	for wall, left := range map[float64]float64{5e6 + 20000: 40000, 5e6 - 3600000: 60000, 5e6 + 3600000: 0} {
		restarted := New(Rules{Self: "a", Zone: "x", Run: 2}, half)
		restarted.Restore(append([]Stored{{Order{Store: "u", Do: "explode", Left: 9}, wall}}, records...), 700, wall)
		out := restarted.Step(701, []Input{Stores{[]Store{{Name: "s", Ready: true}, {Name: "t", Ready: true}, {Name: "u", Ready: true}}}})
		o, holds := restarted.orders.current("s", 701)
		assert.Equal(t, left > 0, holds)
		if holds {
			assert.InDelta(t, left, o.Left, 1)
			assert.Contains(t, out, Verdict{Store: "s", Kind: Well, Drain: true, Was: Well})
		}
		_, holds = restarted.orders.current("t", 701)
		assert.False(t, holds, "the order was revoked")
		_, holds = restarted.orders.current("u", 701)
		assert.False(t, holds, "an invalid record is ignored")
		assert.Empty(t, restarted.UnstoredOrders(wall), "restored orders are stored already")
	}
}

// All brokers know which tenants one of them throttles, by which limit and how often, while the reports are fresh. They affect no store, and reports on stores are sent first.
func TestTenantsHeldBack(t *testing.T) {
	c := newCore()
	other := New(Rules{Self: "b", Zone: "y", Run: 1}, half)
	other.Step(1000, []Input{Stores{[]Store{{Name: "s", Ready: true}, {Name: "tenant/acme", Ready: true}}}, View{[]Member{{Name: "a"}}}})
	for i := range 50 {
		now := 1100 + float64(i*100)
		for _, o := range c.Step(now, []Input{TenantThrottled{"acme", "the fleet's limit each"}, TenantThrottled{"", "none"}, TenantThrottled{strings.Repeat("x", 300), "long"}}) {
			if s, is := o.(Send); is && s.To == "b" {
				other.Step(now, []Input{Received{"a", s.Message}, Received{"a", s.Message}})
			}
		}
	}
	assert.Equal(t, 5, c.Counts.Said, "one report a second")
	other.Step(6100, []Input{TenantThrottled{"acme", "cell west"}, Outcome{"s", Fails}})
	seen := other.Tenants()
	require.Len(t, seen, 1)
	assert.Equal(t, []string{"a", "b"}, seen[0].Observers)
	assert.Equal(t, []string{"the fleet's limit each", "cell west"}, seen[0].Why)
	assert.Equal(t, 11, seen[0].Scans)
	assert.Equal(t, "well", other.Seen()[0].Kind)
	assert.Equal(t, "s", other.Seen()[0].Store)
	var first []Report
	for now := 6110.0; len(first) == 0; now += 10 {
		for _, o := range other.Step(now, []Input{TenantThrottled{"acme", "cell west"}, Outcome{"s", Fails}}) {
			if s, is := o.(Send); is {
				first = append(first, s.Message.Words...)
			}
		}
	}
	assert.Equal(t, "s", first[0].Store)
	for _, w := range []Report{{Store: "tenant/x", Observer: "a", Kind: Fails, Bad: 1}, {Store: "s", Observer: "a", Kind: Throttled, Times: 1}, {Store: "tenant/x", Observer: "a", Kind: Throttled},
		{Store: "tenant/x", Observer: "a", Kind: Throttled, Times: 1, Why: strings.Repeat("x", 100)}} {
		assert.False(t, w.valid(), "%v", w)
	}
	other.Step(6e6, nil)
	assert.Empty(t, other.Tenants())
	assert.Empty(t, other.tenants)
	assert.Zero(t, other.ReportCount())
}

// A single slow outcome is not reported. Two in a row make a report, and reports of two observers make a verdict, which the next well outcome ends.
func TestSlow(t *testing.T) {
	c := newCore()
	observe := func(at float64, kinds ...Kind) (last []Output) {
		for i, k := range kinds {
			last = c.Step(at+float64(i), []Input{Outcome{"s", k}})
		}
		return last
	}
	report := func(seq uint64, kind Kind) Received {
		return Received{"b", Message{Run: 1, Words: []Report{{Store: "s", Observer: "b", Kind: kind, Good: 2, Run: 1, Seq: seq}}}}
	}
	observe(1100, Slow, Well, Slow, Well, Slow)
	assert.Zero(t, c.Counts.Said, "occasional slow outcomes are not reported")
	observe(1200, Slow)
	assert.Equal(t, 1, c.Counts.Said)
	assert.Empty(t, c.current, "one observer is not enough")
	assert.Contains(t, c.Step(1300, []Input{report(1, Slow)}), Verdict{Store: "s", Kind: Slow, Was: Well})
	seen := c.Seen()
	require.Len(t, seen, 1)
	assert.Equal(t, "slow", seen[0].Kind)
	again := c.Step(1300+Repeat, nil)
	assert.Contains(t, again, Verdict{Store: "s", Kind: Slow, Age: Repeat, Was: Slow}, "the verdict is repeated while it is in force")
	assert.Contains(t, observe(2300, Well), Verdict{Store: "s", Kind: Well, Was: Slow})
	observe(2400, Slow, Slow)
	assert.NotEmpty(t, c.current)
	observe(2500, Fails)
	assert.Empty(t, c.current, "one that sees it fail and one that sees it slow do not agree")
	// Slow is relative to each broker's own target times: under overload all stores are slow to all brokers, which excludes none.
	for _, store := range []string{"s", "t", "u"} {
		for seq := range uint64(2) {
			c.Step(3000+float64(seq), []Input{Outcome{store, Slow}, Received{"b", Message{Run: 1, Words: []Report{{Store: store, Observer: "b", Kind: Slow, Good: 2, Run: 1, Seq: 9 + seq}}}}})
		}
	}
	for _, x := range c.Seen() {
		assert.Equal(t, "slow", x.Kind, x.Store)
		assert.False(t, c.current[x.Store].Kind.bad())
	}
}
