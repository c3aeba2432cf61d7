package logic

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// fleetPlay is a fleet of brokers that share nothing, before two warm nodes and one that has just started, all holders
// of the same shard.
type fleetPlay struct {
	t       *testing.T
	chance  *rand.Rand
	brokers []*rig
	scans   int64
	due     map[int][]fleetAnswer // by tick: answers that are due
	tick    int
	cold    []float64 // moments at which a part went to the node that has started
}

// fleetAnswer is an answer that is on its way to a broker.
type fleetAnswer struct {
	broker int
	event  Event
}

const (
	fleetTick  = 10.0 // ms
	fleetWork  = 100.0
	fleetStart = 50000.0
	coldNode   = 100
)

func newFleetPlay(t *testing.T, brokers int, seed uint64) *fleetPlay {
	f := &fleetPlay{t: t, chance: rand.New(rand.NewPCG(seed, 1)), due: map[int][]fleetAnswer{}}
	nodes := []Entry{{Node: coldNode + 1, Readiness: Ready, Units: 1}, {Node: coldNode + 2, Readiness: Ready, Units: 1}}
	for i := range brokers {
		r := &rig{now: fleetStart - 10000}
		r.step(0, Event{Kind: Started, Seed: seed + uint64(i), Terms: site(map[string]any{"brokers": float64(brokers), "ordinal": float64(i),
			"layout.cells": 1.0, "layout.shards": 2.0, "layout.reach": 1.0})}, Event{Kind: ListArrived, List: ListCached, Entries: nodes})
		f.brokers = append(f.brokers, r)
	}
	return f
}

// run plays some ms, in which broker i gets a scan in each tick with the chance that is its rate.
func (f *fleetPlay) run(ms float64, rate func(i int) float64) {
	for range int(ms / fleetTick) {
		f.tick++
		arrive := map[int][]Event{}
		for _, a := range f.due[f.tick] {
			arrive[a.broker] = append(arrive[a.broker], a.event)
		}
		delete(f.due, f.tick)
		for i, r := range f.brokers {
			events := arrive[i]
			if f.chance.Float64() < rate(i) {
				f.scans++
				events = append(events, scanOf(f.scans, 0, 6000, 0)...)
			}
			f.carryOut(i, r.step(fleetTick, events...))
		}
	}
}

// carryOut has nodes answer what a broker sent after what a part takes.
func (f *fleetPlay) carryOut(broker int, acts []Action) {
	for _, a := range acts {
		switch a.Kind {
		case Dispatch:
			if a.Node == coldNode {
				f.cold = append(f.cold, f.brokers[broker].now)
			}
			took := fleetWork + f.chance.Float64()*fleetWork
			at := f.tick + int(took/fleetTick)
			n := len(f.brokers[broker].b.parts[a.ID].tries) - 1
			f.due[at] = append(f.due[at], fleetAnswer{broker, Event{Kind: DispatchEnded, ID: a.ID, Dispatch: n,
				Outcome: Completed, Elapsed: took}})
		case SetTimer:
			at := f.tick + max(1, int(math.Ceil(a.After/fleetTick)))
			f.due[at] = append(f.due[at], fleetAnswer{broker, timer(a.Timer)})
		}
	}
}

// start names the node that has just started to all brokers.
func (f *fleetPlay) start() {
	for i, r := range f.brokers {
		f.carryOut(i, r.step(0, Event{Kind: ListArrived, List: ListChanges,
			Entries: []Entry{{Node: coldNode, Readiness: Ready, Units: 1, Born: r.now}}}))
	}
}

// worst compares what went to the node in each window with what it bears: N parts of mean work, and 2·sqrt(N)+2 more that
// count as chance. It returns the most over that, and how much of N was used over all.
func (f *fleetPlay) worst(began float64) (over, used float64) {
	const window, multiple, from, warm = 3000.0, 2.0, 0.2, 10000.0 // the settings of site
	bears := func(at float64) float64 {
		return multiple * (from + (1-from)*(at-began)/warm) * window / fleetWork
	}
	over = -1000
	for i, at := range f.cold {
		n, in := bears(at), 0.0
		for _, x := range f.cold[:i+1] {
			if x > at-window {
				in++
			}
		}
		over = max(over, in-n-2*math.Sqrt(n)-2)
	}
	return over, float64(len(f.cold)) / (bears(began+warm/2) * warm / window)
}

// What all brokers send to a node that has just started, each by what it knows alone, stays within what the node bears
// and chance, however many they are and however unevenly traffic falls on them.
func TestSlowStartOfTheFleet(t *testing.T) {
	rates := map[string]func(brokers int) func(int) float64{
		"even":  func(b int) func(int) float64 { return func(int) float64 { return 0.3 / float64(b) } },
		"ranks": func(b int) func(int) float64 { return func(i int) float64 { return 0.12 / float64(i+1) } },
		"one has most": func(b int) func(int) float64 {
			return func(i int) float64 {
				if i == 0 {
					return 0.25
				}
				return 0.05 / float64(b)
			}
		},
	}
	days := map[string]func(f *fleetPlay, rate func(int) float64){
		"a burst, a rest, and all at once": func(f *fleetPlay, rate func(int) float64) {
			f.run(2000, rate)
			f.run(2000, func(i int) float64 { return 3 * rate(i) })
			f.run(1000, func(int) float64 { return 0 })
			f.run(300, func(i int) float64 { return 20 * rate(i) })
			f.run(4700, rate)
		},
		"nobody asks for long, then everybody": func(f *fleetPlay, rate func(int) float64) {
			f.run(4000, func(int) float64 { return 0 })
			f.run(1000, func(int) float64 { return 0.2 })
			f.run(5000, rate)
		},
	}
	least := map[int]float64{3: 0.2, 8: 0.1, 30: 0.1, 100: 0.02} // of what the node bears, it gets so much all the same
	for _, brokers := range []int{3, 8, 30, 100} {
		for name, of := range rates {
			for seed := range uint64(10) {
				day := slices.Sorted(maps.Keys(days))[seed%2]
				label := fmt.Sprintf("%d brokers, %s, %s, seed %d", brokers, name, day, seed)
				f := newFleetPlay(t, brokers, seed)
				rate := of(brokers)
				f.run(10000, rate)
				f.start()
				began := f.brokers[0].now
				days[day](f, rate)
				over, used := f.worst(began)
				assert.LessOrEqual(t, over, 0.0, label)
				assert.Greater(t, used, least[brokers], label)
			}
		}
	}
}
