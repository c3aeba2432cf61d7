package router

import (
	"flag"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

var repeatedOrderSeeds = flag.Int("repeatedorders.seeds", 1, "number of seeds of TestVotersAreReplacedBesideRepeatedOrders")

const (
	catchUpTime   = 4 * time.Second // bounds.catch_up_s
	diskLosses    = 6
	repeatedUntil = 4 * time.Second // after the return of a machine
	longestPause  = 50 * time.Millisecond
)

// TestVotersAreReplacedBesideRepeatedOrders guards against a change of the voters that stays incomplete for ever: machines
// lose their disks one at a time, while the operator sends accepted orders again, each of which confirms the register's value.
// Every lost voter must be replaced within the catch-up time, and the newest configuration must survive.
func TestVotersAreReplacedBesideRepeatedOrders(t *testing.T) {
	for seed := range *repeatedOrderSeeds {
		for _, core := range []int{3, 4} {
			t.Run(fmt.Sprintf("seed %d, %d with a disk", seed, core), func(t *testing.T) {
				inBubble(t, func(t *testing.T) {
					w, operator := startedFleet(t, uint64(700+seed), core+1, core)
					const newest = 4
					for version := int64(1); version < newest; version++ {
						w.mustConfigure(operator, version, version+1)
					}
					for loss := range diskLosses {
						m := w.machines[loss%core]
						w.kill(m, false)
						time.Sleep(time.Second)
						w.restart(m, true)
						returned := time.Now()
						w.repeatOrders(newest, repeatedUntil)
						time.Sleep(time.Until(returned.Add(catchUpTime)))
						w.expectVotersComplete(fmt.Sprintf("%v after loss %d", time.Since(returned), loss))
						time.Sleep(time.Second)
					}
					w.readEverywhere(configurationOf(newest, ""))
					w.mustConfigure(operator, newest, newest+1)
					w.shutdown()
				})
			})
		}
	}
}

// repeatOrders sends the accepted configurations up to a version again to random machines, all at once, for a duration.
func (w *simFleet) repeatOrders(newest int64, duration time.Duration) {
	var operators sync.WaitGroup
	begun := time.Now()
	for version := int64(1); version <= newest; version++ {
		operators.Go(func() {
			for time.Since(begun) < duration {
				m := w.anyMachine()
				status, _ := w.sendConfiguration(m, version-1, version, configurationOf(version, ""))
				if status >= 400 && status < 500 {
					w.failf("%s: the accepted order %d, sent again, got %d", m.name, version, status)
				}
				time.Sleep(w.randomDuration(longestPause))
			}
		})
	}
	operators.Wait()
}

func (w *simFleet) randomDuration(limit time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.rng.Int64N(int64(limit)))
}

// expectVotersComplete checks that every running broker knows a set of voters that is complete and whose disks all exist.
func (w *simFleet) expectVotersComplete(when string) {
	for _, m := range w.machines {
		known, _ := m.broker.node.Known()
		if known.Value.Reconfiguring() {
			w.failf("%s: %s knows an incomplete change of the voters, sequence %d", when, m.name, known.Value.Sequence)
		}
		for _, replica := range known.Value.Members.Last() {
			for _, other := range w.machines {
				if id, _, has := other.broker.node.Replica(); other.ip == replica.Address && (!has || id != replica) {
					w.failf("%s: %s knows a voter whose disk is lost: %s", when, m.name, other.name)
				}
			}
		}
	}
}

// TestLateConfirmationBeforeALossOfPower guards against a completed change of the voters that needs its former set again:
// a broker that was isolated during the change confirms the register's value as soon as it is back. Right after that, or
// later, another disk is lost while all machines lose power. The configuration must be readable with the remaining disks.
func TestLateConfirmationBeforeALossOfPower(t *testing.T) {
	for lost := range 3 {
		for _, pause := range []time.Duration{0, 2 * catchUpTime} {
			t.Run(fmt.Sprintf("disk %d is lost after %v", lost, pause), func(t *testing.T) {
				inBubble(t, func(t *testing.T) {
					w, operator := startedFleet(t, 710, 4, 3)
					late := w.machines[3]
					w.isolate(late, true)
					w.kill(w.machines[0], false)
					time.Sleep(time.Second)
					w.restart(w.machines[0], true)
					time.Sleep(catchUpTime)
					w.expectReplaced(w.machines[0])
					w.isolate(late, false)
					if status, _ := w.sendConfiguration(late, 0, 1, configurationOf(1, "")); status != http.StatusOK {
						w.failf("the accepted order, sent again, got %d", status)
					}
					time.Sleep(pause)
					for _, m := range w.machines {
						w.kill(m, true)
					}
					time.Sleep(time.Second)
					for at, m := range w.machines {
						w.restart(m, at == lost)
					}
					time.Sleep(catchUpTime)
					w.readEverywhere(configurationOf(1, ""))
					w.mustConfigure(operator, 1, 2)
					w.shutdown()
				})
			})
		}
	}
}

// TestReplacedAlthoughItHoldsTheValueUnderAnEarlierBallot guards against a new disk that never becomes a voter: it learns the
// newest value from a broker that knows it as first chosen, while the voters, restarted since, know it under the later ballot
// of a confirmation. After the catch-up time the next disk may be lost.
func TestReplacedAlthoughItHoldsTheValueUnderAnEarlierBallot(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w, operator := startedFleet(t, 720, 4, 3)
		voters, diskless := w.machines[:3], w.machines[3]
		if status, _ := w.sendConfiguration(voters[0], 0, 1, configurationOf(1, "")); status != http.StatusOK {
			w.failf("the accepted order, sent again, got %d", status)
		}
		w.isolate(diskless, true)
		for _, m := range voters {
			w.kill(m, true)
		}
		time.Sleep(time.Second)
		for _, m := range voters {
			w.restart(m, false)
		}
		time.Sleep(catchUpTime)
		w.kill(voters[0], true)
		w.isolate(diskless, false)
		w.partition(voters[:1], voters[1:], true)
		time.Sleep(time.Second)
		w.restart(voters[0], true)
		time.Sleep(catchUpTime)
		w.partition(voters[:1], voters[1:], false)
		time.Sleep(catchUpTime)
		w.expectReplaced(voters[0])
		w.kill(voters[1], true)
		time.Sleep(time.Second)
		w.restart(voters[1], true)
		time.Sleep(catchUpTime)
		w.readEverywhere(configurationOf(1, ""))
		w.mustConfigure(operator, 1, 2)
		w.shutdown()
	})
}

// expectReplaced checks that the machines with a disk know the new disk of one of them as a voter.
func (w *simFleet) expectReplaced(m *machine) {
	id, _, _ := m.broker.node.Replica()
	for _, other := range w.machines {
		if !other.core {
			continue
		}
		if known, _ := other.broker.node.Known(); known.Value.Reconfiguring() || !known.Value.Members.Has(id) {
			w.failf("%s does not know the new disk of %s as a voter", other.name, m.name)
		}
	}
}
