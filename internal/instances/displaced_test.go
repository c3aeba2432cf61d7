package instances

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gullstair/internal/dissemination"
)

// TestDisplaced has another instance answer at an instance's address. Renewals that were under way do not bring it back; its
// next heartbeat does, wherever it is heard, until another one answers again.
func TestDisplaced(t *testing.T) {
	r := New()
	r.Heartbeat(instance("a", 5), start)
	displaced, news := r.Displace("a", start)
	if !news || displaced.State != Displaced || len(r.All()) != 0 || len(r.Known()) != 1 {
		t.Fatalf("displaced: %+v, news %t, used %v", displaced, news, r.All())
	}
	if _, news := r.Displace("a", start); news {
		t.Error("it is news again")
	}
	other := New()
	other.Take(instance("a", 7), start) // a renewal that the first broker has not heard of
	if !other.Take(displaced, start) || len(other.All()) != 0 {
		t.Error("a renewal from before holds over the word that it is displaced")
	}
	if r.Take(instance("a", 9), start) || len(r.All()) != 0 {
		t.Error("another broker's renewal from before brought it back")
	}
	if heard := other.Heartbeat(instance("a", 7), start); !heard.Late || len(other.All()) != 0 {
		t.Error("a heartbeat that had been heard of brought it back")
	}
	if heard := other.Heartbeat(instance("a", 8), start); !heard.Tell || len(other.All()) != 1 {
		t.Error("its next heartbeat does not bring it back")
	}
	back, _ := other.Get("a")
	if !r.Take(back, start) || len(r.All()) != 1 {
		t.Error("another broker does not take it back")
	}
	if r.Take(displaced, start) {
		t.Error("an old word displaces it again")
	}
	again, news := r.Displace("a", start)
	if !news || !back.Record().Version.Less(again.Record().Version) || !other.Take(again, start) {
		t.Errorf("it is not displaced again: %+v, %t", again, news)
	}
	gone, _ := r.Leave("a", start)
	if !other.Take(gone, start) || other.Take(again, start) {
		t.Error("its end does not come after all")
	}
}

// TestDisplacedIsForgotten: one that is displaced is forgotten as one that is gone.
func TestDisplacedIsForgotten(t *testing.T) {
	r := New()
	r.Heartbeat(instance("a", 5), start)
	r.Displace("a", start)
	if forgotten, _ := r.Expire(start.Add(forgetAfter)); len(forgotten) > 0 {
		t.Errorf("too early: %v", forgotten)
	}
	if forgotten, changed := r.Expire(start.Add(forgetAfter + time.Second)); len(forgotten) != 1 || changed {
		t.Errorf("forgotten: %v, changed %t", forgotten, changed)
	}
}

// TestDisplacedEverywhere draws heartbeats, answers of other instances, ends and exchanges between brokers that lose some. Once
// all has been exchanged all brokers agree on each instance, and one that told of itself last of all is used.
func TestDisplacedEverywhere(t *testing.T) {
	const brokers, known, steps = 5, 4, 400
	for seed := range uint64(300) {
		random, now := rand.New(rand.NewPCG(seed, 3)), start
		var registries [brokers]*Registry
		var stores [brokers]*dissemination.Store
		for i := range registries {
			registries[i], stores[i] = New(), dissemination.New()
		}
		exchange := func(from, to int) {
			for _, record := range stores[from].Of(RecordKind) {
				if stores[to].Put(record) {
					registries[to].Take(record.Body.(Instance), now)
				}
			}
		}
		sequences := map[string]uint64{}
		beat := func(id string, at int) {
			sequences[id]++
			i := instance(id, sequences[id])
			i.Address = "10.0.0." + id + ":80"
			if registries[at].Heartbeat(i, now).Tell {
				taken, _ := registries[at].Get(id)
				stores[at].Put(taken.Record())
			}
		}
		for range steps {
			now = now.Add(time.Duration(random.IntN(2000)) * time.Millisecond)
			id, at := fmt.Sprint(random.IntN(known)), random.IntN(brokers)
			switch random.IntN(6) {
			case 0, 1:
				beat(id, at)
			case 2:
				if i, news := registries[at].Displace(id, now); news {
					stores[at].Put(i.Record())
				}
			default:
				exchange(at, random.IntN(brokers))
			}
		}
		all := func() {
			for range brokers {
				for from := range brokers {
					for to := range brokers {
						exchange(from, to)
					}
				}
			}
		}
		all()
		for id := range sequences {
			now = now.Add(ReportEvery)
			beat(id, random.IntN(brokers))
		}
		all()
		for id := range sequences {
			for at, r := range registries {
				if i, _ := r.Get(id); i.State != Ready || i.Epoch%2 == 0 && i.Epoch > 0 {
					t.Fatalf("seed %d: broker %d holds %+v", seed, at, i)
				}
			}
		}
	}
}
