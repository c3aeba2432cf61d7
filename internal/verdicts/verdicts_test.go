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
