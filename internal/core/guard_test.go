package core

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/internal/cells"
	"gullstair/internal/quota"
	"gullstair/internal/terms"
	"gullstair/logic"
)

// confinedCore has two sets of four stores and two cells with two holders of each; a cell may have three scans open.
func confinedCore(t *testing.T) (*Core, []Node) {
	flat := map[string]any{"turn": 5.0, "brokers": 1.0, "layout.cells": 2.0, "layout.reach": 1.0, "layout.shards": 2.0, "layout.batch": 4.0,
		"limit.dispatches": 3.0, "limit.cancelling": true, "limit.retryAfter": true, "limit.maxRetryAfter": 900.0, "limit.openCap": 100.0,
		"rules.cold": 1000.0, "rules.fall": 3000.0, "rules.fallMultiple": 2.0, "rules.startCapacity": 0.2, "tableType.count": 1.0,
		"tableType.0.name": "board", "tableType.0.target": 500.0, "tableType.0.timeout": 2000.0, "tableType.0.benefit": 1.0,
		"tableType.0.effect": "replayable", "layout.need.0": 1.0, "layout.floor.0": 1.0, "areas.count": 1.0, "areas.0": "z", "kinds.count": 1.0,
		"kinds.0": "std"}
	site, err := terms.Read(flat)
	require.NoError(t, err)
	var nodes []Node
	for i := range 8 {
		nodes = append(nodes, Node{Host: fmt.Sprint("s-", i), Addr: "127.0.0.1:1", Zone: "z", Kind: "std", Cell: i % 2, Readiness: logic.Ready, Units: 1})
	}
	c := New(site, flat, 1, nodes)
	plan := cells.Plan{Cells: []cells.Cell{{Name: "a"}, {Name: "b"}}, Holders: 2, Least: 0.6, Pins: map[string]string{"bad": "a", "good": "b"}}
	c.Confine(plan, map[string]quota.Limits{"a": {Open: 3}, "b": {Open: 3}}, 1000, 900, func() float64 { return 0 })
	c.Step(1000, nil)
	return c, nodes
}

func board(id, account string) *Scan {
	return &Scan{ID: id, Account: account, Text: "t", TimeLeft: 2000, At: 1000, Parts: []ScanPart{{0, 0.5, 10}, {1, 0.5, 10}}}
}

// A tenant that asks for more than its cell has is throttled at once, told when to return; the other cell's tenant is
// served, each by its own cell's stores alone; a client that goes gives its place back.
func TestConfined(t *testing.T) {
	c, _ := confinedCore(t)
	var in []Input
	for i := range 10 {
		in = append(in, board(fmt.Sprint("bad", i), "bad"))
	}
	in = append(in, board("good", "good"))
	throttled, hosts := 0, map[string]map[string]bool{"bad": {}, "good": {}}
	for _, o := range c.Step(1005, in) {
		switch v := o.(type) {
		case Reply:
			assert.Equal(t, logic.Throttle, v.Kind)
			assert.Equal(t, "bad", v.Scan.Account)
			assert.Positive(t, v.RetryAfter)
			throttled++
		case Call:
			who := "bad"
			if v.Parts[0].ID[:4] == "good" {
				who = "good"
			}
			hosts[who][v.Host] = true
		}
	}
	assert.Equal(t, 7, throttled)
	assert.Equal(t, 7, c.Counts.Confined)
	for who, cell := range map[string]string{"bad": "a", "good": "b"} {
		assert.NotEmpty(t, hosts[who], who)
		for h := range hosts[who] {
			assert.True(t, c.guard.moves.Map.Stores(cell)[h], "%s of cell %s on %s", who, cell, h)
		}
	}
	first := in[0].(*Scan)
	c.Step(1010, []Input{Left{first}, board("again", "bad")})
	assert.Equal(t, 7, c.Counts.Confined, "its place is free again")
	assert.Equal(t, 3, c.Cells()[0].Open)
	c.Step(4000, nil)
	c.Step(4005, nil)
	assert.Zero(t, c.Cells()[0].Open, "all have ended")
	assert.Zero(t, c.Cells()[1].Open)
}

// A cell whose stores go refuses, and the other cell does not notice; before any list there is no cell at all.
func TestLostCell(t *testing.T) {
	c, nodes := confinedCore(t)
	gone := c.guard.moves.Map.Holders("a", 0)[0]
	for i := range nodes {
		if nodes[i].Host == gone {
			nodes[i].Readiness = logic.Gone
		}
	}
	c.Step(1010, []Input{List{Kind: logic.ListWhole, Nodes: nodes}})
	var away []string
	for _, o := range c.Step(1015, []Input{board("x", "bad"), board("y", "good")}) {
		if r, is := o.(Reply); is {
			away = append(away, r.Scan.ID+" "+r.Why)
		}
	}
	want := []string{"x the cell has lost most of its stores"}
	if c.guard.moves.Map.Stores("b")[gone] {
		want = append(want, "y the cell has lost most of its stores")
	}
	assert.Equal(t, want, away)
	assert.True(t, c.Cells()[0].Lost)
	empty := New(c.site, nil, 1, nil)
	empty.Confine(cells.Plan{Cells: []cells.Cell{{Name: "a"}}}, map[string]quota.Limits{"a": {}}, 0, 0, func() float64 { return 0 })
	out := step(empty, 1000, board("x", "t"))
	require.Len(t, out, 1)
	assert.Contains(t, out[0].(Reply).Why, "no cell can be laid out")
}

// few lets so many scans be open at once, for all cells and tenants together.
type few struct{ open, most, done int }

func (l *few) Take(account, cell string, work, lasts float64) Ruling {
	if l.open >= l.most {
		return Ruling{Why: "the fleet's limit few", After: 300}
	}
	l.open++
	return Ruling{Taken: true}
}

func (l *few) Again(account, cell string, work, lasts float64) Ruling {
	return l.Take(account, cell, work, lasts)
}

func (l *few) Left() float64 { return math.Inf(1) }
func (l *few) Further() bool { return true }

func (l *few) Done(account, cell string, work float64) { l.open, l.done = l.open-1, l.done+1 }

// A scan that the shared limits turn away is answered at once and its cell has its place back; one that they took is told of once, however it ends.
func TestLimited(t *testing.T) {
	c, _ := confinedCore(t)
	l := &few{most: 2}
	c.Limit(l)
	var in []Input
	for i := range 5 {
		in = append(in, board(fmt.Sprint("q", i), "bad"))
	}
	throttled := 0
	for _, o := range c.Step(1005, in) {
		if v, is := o.(Reply); is {
			assert.Equal(t, logic.Throttle, v.Kind)
			assert.Equal(t, "the fleet's limit few", v.Why)
			assert.Equal(t, 300.0, v.RetryAfter)
			throttled++
		}
	}
	assert.Equal(t, 3, throttled)
	assert.Equal(t, 3, c.Counts.Limited)
	assert.Equal(t, 2, c.Cells()[0].Open, "the cell holds no place for those turned away")
	c.Step(1010, []Input{Left{in[0].(*Scan)}})
	assert.Equal(t, few{1, 2, 1}, *l)
	c.Step(4000, nil)
	c.Step(4005, nil)
	assert.Equal(t, few{0, 2, 2}, *l)
}

// tight has a budget of further dispatches too.
type tight struct {
	few
	left  float64
	asked int
}

func (l *tight) Left() float64 { return l.left }
func (l *tight) Further() bool {
	if l.asked++; l.left < 1 {
		return false
	}
	l.left--
	return true
}

// A part that failed is sent again only within the fleet's budget; a scan that it keeps from an answer is given up at once, and that more was wanted is said.
func TestFurtherBudget(t *testing.T) {
	for left, want := range map[float64]int{0: 0, 1: 0, 2: 2} {
		c, _ := confinedCore(t)
		l := &tight{few: few{most: 9}, left: left}
		c.Limit(l)
		sent, answered := 0, 0
		play := func(now float64, in ...Input) (refs []int64) {
			for _, o := range c.Step(now, in) {
				switch v := o.(type) {
				case Call:
					for _, p := range v.Parts {
						sent++
						refs = append(refs, p.Ref)
					}
				case Reply:
					answered++
				}
			}
			return refs
		}
		refs := play(1010, board("x", "good"))
		first := len(refs)
		require.Positive(t, first)
		for now := 1020.0; now < 1200 && answered == 0; now += 5 {
			var in []Input
			for _, r := range refs {
				in = append(in, Ended{Ref: r, How: AnsweredError, At: now})
			}
			refs = play(now, in...)
		}
		assert.Equal(t, want, sent-first, "with %v left", left)
		assert.Positive(t, l.asked)
		if left < 2 {
			assert.Equal(t, 1, answered, "at once")
		}
		if left < 2 { // one alone would not save the scan: it is not spent
			assert.Positive(t, c.Counts.Short)
		}
	}
}

// late lets scans wait.
type late struct{ few }

func (l *late) Take(account, cell string, work, lasts float64) Ruling {
	v := l.few.Take(account, cell, work, lasts)
	v.Wait = 25
	return v
}

// A scan that may wait is taken when its tokens come, turned away at once when its wait is over, and gone with its client; it holds its cell's place meanwhile and no longer.
func TestWaitsForTokens(t *testing.T) {
	c, _ := confinedCore(t)
	l := &late{}
	c.Limit(l)
	play := func(now float64, in ...Input) (replies, calls int) {
		for _, o := range c.Step(now, in) {
			switch v := o.(type) {
			case Reply:
				replies++
				assert.Contains(t, []string{"the fleet's limit few", "stopping"}, v.Why)
			case Call:
				calls++
			}
		}
		return replies, calls
	}
	gone := board("z", "good")
	replies, calls := play(1010, board("x", "good"), board("y", "good"), gone)
	assert.Zero(t, replies+calls, "they wait")
	l.most = 1
	replies, calls = play(1015, LimitsMoved{}, Left{gone})
	assert.Zero(t, replies)
	assert.Positive(t, calls, "one is taken")
	replies, _ = play(1034)
	assert.Zero(t, replies)
	replies, _ = play(1036)
	assert.Equal(t, 1, replies, "the other is turned away, the third has gone")
	assert.Empty(t, c.waits)
	open := 0
	for _, v := range c.Cells() {
		open += v.Open
	}
	assert.Equal(t, 1, open, "cells hold the one that is open")
	c.Step(1040, []Input{board("w", "good")})
	replies, _ = play(1041, Closing{})
	assert.Equal(t, 2, replies, "none stays without an answer")
}
