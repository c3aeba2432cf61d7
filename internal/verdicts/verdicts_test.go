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

// Of two orders the one of the higher version holds, then the one of the later name, in whatever order they come; one that is over stays over.
func TestOrders(t *testing.T) {
	drain := func(version uint64, by string, left float64) Order {
		return Order{Store: "s", Do: Drain, By: by, Version: version, Left: left}
	}
	for name, all := range map[string][]Order{
		"the newer comes last":      {drain(3, "b", 500), {Store: "s", Do: Clear, By: "c", Version: 5, Left: 500}},
		"the newer comes first":     {{Store: "s", Do: Clear, By: "c", Version: 5, Left: 500}, drain(3, "b", 500)},
		"the later name, if alike":  {drain(5, "b", 500), {Store: "s", Do: Clear, By: "c", Version: 5, Left: 500}},
		"the earlier name is first": {{Store: "s", Do: Clear, By: "c", Version: 5, Left: 500}, drain(5, "b", 500)},
	} {
		c := newCore()
		for i, o := range all {
			c.Step(1100+float64(i), []Input{Received{"b", Message{Orders: []Order{o}}}})
		}
		got, holds := c.orders.of("s", 1110)
		require.True(t, holds, name)
		assert.Equal(t, Clear, got.Do, name)
		_, holds = c.orders.of("s", 1602)
		assert.False(t, holds, name)
	}
	c := newCore()
	c.Step(1100, []Input{Set{Store: "s", Do: Drain, For: 500, Reason: strings.Repeat("x", 300)}})
	o, _ := c.orders.of("s", 1100)
	assert.Len(t, o.Reason, reasonMost)
	c.Step(1200, []Input{Set{Store: "s", Do: Drain}})
	_, holds := c.orders.of("s", 1200)
	assert.False(t, holds, "taken back")
	c.Step(1210, []Input{Received{"b", Message{Orders: []Order{o}}}})
	_, holds = c.orders.of("s", 1210)
	assert.False(t, holds, "and it does not come back")
}

// What is impossible is counted and dropped; what is too much is not kept.
func TestBadWords(t *testing.T) {
	c := newCore()
	good := Word{Store: "s", Observer: "b", Kind: Fails, Bad: 3, Row: 3, Run: 1, Seq: 1}
	for i, change := range []func(*Word){func(w *Word) { w.Store = "" }, func(w *Word) { w.Observer = strings.Repeat("x", 200) }, func(w *Word) { w.Kind = 9 }, func(w *Word) { w.Kind = 0 },
		func(w *Word) { w.Age = math.NaN() }, func(w *Word) { w.Age = -1 }, func(w *Word) { w.Good = 9 }, func(w *Word) { w.Bad = -1 }, func(w *Word) { w.Row = 4 },
		func(w *Word) { w.Observer, w.Run = "a", 7 }} {
		w := good
		change(&w)
		c.Step(1100, []Input{Received{"b", Message{Words: []Word{w}}}})
		assert.Equal(t, i+1, c.Counts.Odd, "%d", i)
	}
	c.Step(1100, []Input{Received{"b", Message{Orders: []Order{{Store: "s", Do: "explode", Left: 1}, {Store: "", Do: Drain}, {Store: "s", Do: Drain, Left: math.Inf(1)}}}}})
	assert.Equal(t, 13, c.Counts.Odd)
	assert.Zero(t, c.Held())
	c.r.Most = 1
	second := good
	second.Observer = "c"
	c.Step(1200, []Input{Received{"b", Message{Words: []Word{good, second}}}})
	assert.Equal(t, [2]int{1, 1}, [2]int{c.Held(), c.Counts.Dropped})
	c.Step(1e6, nil)
	assert.Zero(t, c.Held(), "and it is forgotten")
}

// An order that lasts on a disk holds after a restart for what it had left, by the wall clock, and never for more; what is over stays over.
func TestOrdersLast(t *testing.T) {
	c := newCore()
	c.Step(1100, []Input{Set{Store: "s", Do: Drain, For: 60000, Reason: "disk"}, Set{Store: "t", Do: Rest, For: 60000}})
	records := c.Lasting(5e6)
	assert.Empty(t, c.Lasting(5e6), "once each")
	c.Step(2100, []Input{Set{Store: "t", Do: Rest}})
	records = append(records, c.Lasting(5e6+1000)...)
	require.Len(t, records, 3)
	for wall, left := range map[float64]float64{5e6 + 20000: 40000, 5e6 - 3600000: 60000, 5e6 + 3600000: 0} {
		again := New(Rules{Self: "a", Zone: "x", Run: 2}, half)
		again.Restore(append([]Stored{{Order{Store: "u", Do: "explode", Left: 9}, wall}}, records...), 700, wall)
		out := again.Step(701, []Input{Stores{[]Store{{Name: "s", Ready: true}, {Name: "t", Ready: true}, {Name: "u", Ready: true}}}})
		o, holds := again.orders.of("s", 701)
		assert.Equal(t, left > 0, holds)
		if holds {
			assert.InDelta(t, left, o.Left, 1)
			assert.Contains(t, out, Verdict{Store: "s", Kind: Well, Drain: true, Was: Well})
		}
		_, holds = again.orders.of("t", 701)
		assert.False(t, holds, "it was taken back")
		_, holds = again.orders.of("u", 701)
		assert.False(t, holds, "no such order")
		assert.Empty(t, again.Lasting(wall), "they last already")
	}
}

// Whom one broker holds back all know: by whom, by which limit, how often, for as long as that is fresh. It weighs on no store, and words on stores go first.
func TestTenantsHeldBack(t *testing.T) {
	c := newCore()
	other := New(Rules{Self: "b", Zone: "y", Run: 1}, half)
	other.Step(1000, []Input{Stores{[]Store{{Name: "s", Ready: true}, {Name: "tenant/acme", Ready: true}}}, View{[]Member{{Name: "a"}}}})
	for i := range 50 {
		now := 1100 + float64(i*100)
		for _, o := range c.Step(now, []Input{HeldBack{"acme", "the fleet's limit each"}, HeldBack{"", "none"}, HeldBack{strings.Repeat("x", 300), "long"}}) {
			if s, is := o.(Send); is && s.To == "b" {
				other.Step(now, []Input{Received{"a", s.Message}, Received{"a", s.Message}})
			}
		}
	}
	assert.Equal(t, 5, c.Counts.Said, "once a second")
	other.Step(6100, []Input{HeldBack{"acme", "cell west"}, Saw{"s", Fails}})
	seen := other.Tenants()
	require.Len(t, seen, 1)
	assert.Equal(t, []string{"a", "b"}, seen[0].Observers)
	assert.Equal(t, []string{"the fleet's limit each", "cell west"}, seen[0].Why)
	assert.Equal(t, 11, seen[0].Scans)
	assert.Equal(t, "well", other.Seen()[0].Kind)
	assert.Equal(t, "s", other.Seen()[0].Store)
	var first []Word
	for now := 6110.0; len(first) == 0; now += 10 {
		for _, o := range other.Step(now, []Input{HeldBack{"acme", "cell west"}, Saw{"s", Fails}}) {
			if s, is := o.(Send); is {
				first = append(first, s.Message.Words...)
			}
		}
	}
	assert.Equal(t, "s", first[0].Store)
	for _, w := range []Word{{Store: "tenant/x", Observer: "a", Kind: Fails, Bad: 1}, {Store: "s", Observer: "a", Kind: Held, Times: 1}, {Store: "tenant/x", Observer: "a", Kind: Held},
		{Store: "tenant/x", Observer: "a", Kind: Held, Times: 1, Why: strings.Repeat("x", 100)}} {
		assert.False(t, w.sane(), "%v", w)
	}
	other.Step(6e6, nil)
	assert.Empty(t, other.Tenants())
	assert.Empty(t, other.tenants)
	assert.Zero(t, other.Held())
}

// One late outcome is chance and no word; two in a row are one observer's, and two observers' a verdict, which is over with the first outcomes in time.
func TestSlow(t *testing.T) {
	c := newCore()
	saw := func(at float64, kinds ...Kind) (last []Output) {
		for i, k := range kinds {
			last = c.Step(at+float64(i), []Input{Saw{"s", k}})
		}
		return last
	}
	word := func(seq uint64, kind Kind) Received {
		return Received{"b", Message{Run: 1, Words: []Word{{Store: "s", Observer: "b", Kind: kind, Good: 2, Run: 1, Seq: seq}}}}
	}
	saw(1100, Slow, Well, Slow, Well, Slow)
	assert.Zero(t, c.Counts.Said, "late now and then")
	saw(1200, Slow)
	assert.Equal(t, 1, c.Counts.Said)
	assert.Empty(t, c.states, "one observer")
	assert.Contains(t, c.Step(1300, []Input{word(1, Slow)}), Verdict{Store: "s", Kind: Slow, Was: Well})
	seen := c.Seen()
	require.Len(t, seen, 1)
	assert.Equal(t, "slow", seen[0].Kind)
	again := c.Step(1300+Repeat, nil)
	assert.Contains(t, again, Verdict{Store: "s", Kind: Slow, Age: Repeat, Was: Slow}, "it is told again while it holds")
	assert.Contains(t, saw(2300, Well), Verdict{Store: "s", Kind: Well, Was: Slow})
	saw(2400, Slow, Slow)
	assert.NotEmpty(t, c.states)
	saw(2500, Fails)
	assert.Empty(t, c.states, "one that sees it fail and one that sees it slow do not agree")
	// Late is late of each broker's own target times: a jam makes all slow to all, which rests nobody.
	for _, store := range []string{"s", "t", "u"} {
		for seq := range uint64(2) {
			c.Step(3000+float64(seq), []Input{Saw{store, Slow}, Received{"b", Message{Run: 1, Words: []Word{{Store: store, Observer: "b", Kind: Slow, Good: 2, Run: 1, Seq: 9 + seq}}}}})
		}
	}
	for _, x := range c.Seen() {
		assert.Equal(t, "slow", x.Kind, x.Store)
		assert.False(t, c.states[x.Store].Kind.bad())
	}
}
