package instances

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gullstair/internal/dissemination"
)

// TestDisplaced displaces an instance. Renewals that are still in flight do not bring it back; its next heartbeat does, at
// whichever broker it arrives, until the instance is displaced again.
func TestDisplaced(t *testing.T) {
	r := New()
	r.Heartbeat(instance("a", 5), start)
	displaced, changed := r.MarkDisplaced("a", start)
	if !changed || displaced.State != Displaced || len(r.Active()) != 0 || len(r.Known()) != 1 {
		t.Fatalf("displaced: %+v, changed %t, active %v", displaced, changed, r.Active())
	}
	if _, changed := r.MarkDisplaced("a", start); changed {
		t.Error("a repeated MarkDisplaced reports a change")
	}
	other := New()
	other.ApplyRecord(instance("a", 7), start) // a renewal that the first broker has not received
	if !other.ApplyRecord(displaced, start) || len(other.Active()) != 0 {
		t.Error("an earlier renewal takes precedence over the displaced record")
	}
	if r.ApplyRecord(instance("a", 9), start) || len(r.Active()) != 0 {
		t.Error("an earlier renewal from another broker brought it back")
	}
	if result := other.Heartbeat(instance("a", 7), start); !result.Stale || len(other.Active()) != 0 {
		t.Error("a heartbeat that was already known brought it back")
	}
	if result := other.Heartbeat(instance("a", 8), start); !result.Publish || len(other.Active()) != 1 {
		t.Error("its next heartbeat does not bring it back")
	}
	back, _ := other.Get("a")
	if !r.ApplyRecord(back, start) || len(r.Active()) != 1 {
		t.Error("the record of its return was not applied at another broker")
	}
	if r.ApplyRecord(displaced, start) {
		t.Error("an outdated record displaces it again")
	}
	again, changed := r.MarkDisplaced("a", start)
	if !changed || !back.Record().Version.Less(again.Record().Version) || !other.ApplyRecord(again, start) {
		t.Errorf("it cannot be displaced a second time: %+v, %t", again, changed)
	}
	gone, _ := r.MarkGone("a", start)
	if !other.ApplyRecord(gone, start) || other.ApplyRecord(again, start) {
		t.Error("the gone record does not take precedence over all others")
	}
}

// TestDisplacedIsForgotten checks that a displaced instance expires after the same time as one that is gone.
func TestDisplacedIsForgotten(t *testing.T) {
	r := New()
	r.Heartbeat(instance("a", 5), start)
	r.MarkDisplaced("a", start)
	if forgotten, _ := r.Expire(start.Add(forgetAfter)); len(forgotten) > 0 {
		t.Errorf("too early: %v", forgotten)
	}
	if forgotten, changed := r.Expire(start.Add(forgetAfter + time.Second)); len(forgotten) != 1 || changed {
		t.Errorf("forgotten: %v, changed %t", forgotten, changed)
	}
}

// TestDisplacedConverges mixes random heartbeats, displacements and exchanges of records between some of the brokers. After
// every instance has sent one more heartbeat and all records have been exchanged, all brokers list each instance as ready.
func TestDisplacedConverges(t *testing.T) {
	const brokers, instanceCount, steps = 5, 4, 400
	for seed := range uint64(300) {
		random, now := rand.New(rand.NewPCG(seed, 3)), start
		var registries [brokers]*Registry
		var stores [brokers]*dissemination.Store
		for i := range registries {
			registries[i], stores[i] = New(), dissemination.New()
		}
		exchange := func(from, to int) {
			for _, record := range stores[from].OfKind(RecordKind) {
				if stores[to].Put(record) {
					registries[to].ApplyRecord(record.Body.(Instance), now)
				}
			}
		}
		sequences := map[string]uint64{}
		sendHeartbeat := func(id string, at int) {
			sequences[id]++
			i := instance(id, sequences[id])
			i.Address = "10.0.0." + id + ":80"
			if registries[at].Heartbeat(i, now).Publish {
				stored, _ := registries[at].Get(id)
				stores[at].Put(stored.Record())
			}
		}
		for range steps {
			now = now.Add(time.Duration(random.IntN(2000)) * time.Millisecond)
			id, at := fmt.Sprint(random.IntN(instanceCount)), random.IntN(brokers)
			switch random.IntN(6) {
			case 0, 1:
				sendHeartbeat(id, at)
			case 2:
				if i, changed := registries[at].MarkDisplaced(id, now); changed {
					stores[at].Put(i.Record())
				}
			default:
				exchange(at, random.IntN(brokers))
			}
		}
		exchangeAll := func() {
			for range brokers {
				for from := range brokers {
					for to := range brokers {
						exchange(from, to)
					}
				}
			}
		}
		exchangeAll()
		for id := range sequences {
			now = now.Add(PublishInterval)
			sendHeartbeat(id, random.IntN(brokers))
		}
		exchangeAll()
		for id := range sequences {
			for at, r := range registries {
				if i, _ := r.Get(id); i.State != Ready || i.Epoch%2 == 0 && i.Epoch > 0 {
					t.Fatalf("seed %d: broker %d holds %+v", seed, at, i)
				}
			}
		}
	}
}
