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

// fleetTest is a fleet of brokers without shared state, with two warm nodes and one that has just started. All three hold the
// same shard.
type fleetTest struct {
	t              *testing.T
	rand           *rand.Rand
	brokers        []*testBroker
	scans          int64
	due            map[int][]fleetAnswer // answers by the tick at which they arrive
	tick           int
	coldDispatches []float64 // times of the dispatches to the cold node
}

// fleetAnswer is an event that a broker gets at a later tick.
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

func newFleetTest(t *testing.T, brokers int, seed uint64) *fleetTest {
	f := &fleetTest{t: t, rand: rand.New(rand.NewPCG(seed, 1)), due: map[int][]fleetAnswer{}}
	nodes := []Entry{{Node: coldNode + 1, Readiness: Ready, Units: 1}, {Node: coldNode + 2, Readiness: Ready, Units: 1}}
	for i := range brokers {
		r := &testBroker{now: fleetStart - 10000}
		r.step(0, Event{Kind: Started, Seed: seed + uint64(i), Settings: testSettings(map[string]any{"brokers": float64(brokers), "ordinal": float64(i),
			"layout.cells": 1.0, "layout.shards": 2.0, "layout.reach": 1.0})}, Event{Kind: ListArrived, List: ListCached, Entries: nodes})
		f.brokers = append(f.brokers, r)
	}
	return f
}

// run simulates some milliseconds. In each tick broker i gets a scan with probability rate(i).
func (f *fleetTest) run(ms float64, rate func(i int) float64) {
	for range int(ms / fleetTick) {
		f.tick++
		arrive := map[int][]Event{}
		for _, a := range f.due[f.tick] {
			arrive[a.broker] = append(arrive[a.broker], a.event)
		}
		delete(f.due, f.tick)
		for i, r := range f.brokers {
			events := arrive[i]
			if f.rand.Float64() < rate(i) {
				f.scans++
				events = append(events, scanEvents(f.scans, 0, 6000, 0)...)
			}
			f.handleActions(i, r.step(fleetTick, events...))
		}
	}
}

// handleActions schedules the answers to a broker's dispatches, and its timers.
func (f *fleetTest) handleActions(broker int, acts []Action) {
	for _, a := range acts {
		switch a.Kind {
		case Dispatch:
			if a.Node == coldNode {
				f.coldDispatches = append(f.coldDispatches, f.brokers[broker].now)
			}
			took := fleetWork + f.rand.Float64()*fleetWork
			at := f.tick + int(took/fleetTick)
			n := len(f.brokers[broker].b.parts[a.ID].tries) - 1
			f.due[at] = append(f.due[at], fleetAnswer{broker, Event{Kind: DispatchEnded, ID: a.ID, Dispatch: n,
				Outcome: Completed, Elapsed: took}})
		case SetTimer:
			at := f.tick + max(1, int(math.Ceil(a.After/fleetTick)))
			f.due[at] = append(f.due[at], fleetAnswer{broker, timerEvent(a.Timer)})
		}
	}
}

// announceColdNode adds the node that has just started to the lists of all brokers.
func (f *fleetTest) announceColdNode() {
	for i, r := range f.brokers {
		f.handleActions(i, r.step(0, Event{Kind: ListArrived, List: ListDelta,
			Entries: []Entry{{Node: coldNode, Readiness: Ready, Units: 1, Born: r.now}}}))
	}
}

// worstExcess compares the dispatches to the cold node in each window with its limit: N parts of mean work, and 2·sqrt(N)+2
// more for random variation. It returns the largest excess, and the share of N that was used over the whole time.
func (f *fleetTest) worstExcess(began float64) (over, used float64) {
	const window, multiple, from, warm = 3000.0, 2.0, 0.2, 10000.0 // as in testSettings
	limit := func(at float64) float64 {
		return multiple * (from + (1-from)*(at-began)/warm) * window / fleetWork
	}
	over = -1000
	for i, at := range f.coldDispatches {
		n, in := limit(at), 0.0
		for _, x := range f.coldDispatches[:i+1] {
			if x > at-window {
				in++
			}
		}
		over = max(over, in-n-2*math.Sqrt(n)-2)
	}
	return over, float64(len(f.coldDispatches)) / (limit(began+warm/2) * warm / window)
}

// Brokers that share no state together keep within the limit of a node that has just started, however many they are and
// however unevenly traffic is spread over them.
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
	patterns := map[string]func(f *fleetTest, rate func(int) float64){
		"a burst, a pause, and a larger burst": func(f *fleetTest, rate func(int) float64) {
			f.run(2000, rate)
			f.run(2000, func(i int) float64 { return 3 * rate(i) })
			f.run(1000, func(int) float64 { return 0 })
			f.run(300, func(i int) float64 { return 20 * rate(i) })
			f.run(4700, rate)
		},
		"no scans for long, then many at all brokers": func(f *fleetTest, rate func(int) float64) {
			f.run(4000, func(int) float64 { return 0 })
			f.run(1000, func(int) float64 { return 0.2 })
			f.run(5000, rate)
		},
	}
	least := map[int]float64{3: 0.2, 8: 0.1, 30: 0.1, 100: 0.02} // least share of the node's limit that is used, by number of brokers
	for _, brokers := range []int{3, 8, 30, 100} {
		for name, of := range rates {
			for seed := range uint64(10) {
				pattern := slices.Sorted(maps.Keys(patterns))[seed%2]
				label := fmt.Sprintf("%d brokers, %s, %s, seed %d", brokers, name, pattern, seed)
				f := newFleetTest(t, brokers, seed)
				rate := of(brokers)
				f.run(10000, rate)
				f.announceColdNode()
				began := f.brokers[0].now
				patterns[pattern](f, rate)
				over, used := f.worstExcess(began)
				assert.LessOrEqual(t, over, 0.0, label)
				assert.Greater(t, used, least[brokers], label)
			}
		}
	}
}
