package instances

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func instance(id string, sequence uint64) Instance {
	return Instance{ID: id, Service: "s", Address: "10.0.0.1:80", State: Ready, Slots: 4, Sequence: sequence,
		Models: []Model{{Name: "m", Version: 1}}}
}

func TestHeartbeats(t *testing.T) {
	r := New()
	if result := r.Heartbeat(instance("a", 5), start); !result.Publish || result.Stale {
		t.Fatalf("the first heartbeat: %+v", result)
	}
	if result := r.Heartbeat(instance("a", 4), start); result.Publish || !result.Stale {
		t.Errorf("a heartbeat out of order: %+v", result)
	}
	if r.Heartbeat(instance("a", 6), start.Add(time.Second)).Publish {
		t.Error("an unchanged instance is published again at once")
	}
	if !r.Heartbeat(instance("a", 7), start.Add(PublishInterval)).Publish {
		t.Error("an unchanged instance is not published again after PublishInterval")
	}
	draining := instance("a", 8)
	draining.State = Draining
	if !r.Heartbeat(draining, start.Add(PublishInterval)).Publish {
		t.Error("a drain is not published at once")
	}
	if r.ApplyRecord(instance("a", 7), start) {
		t.Error("a record older than a drain was applied")
	}
}

func TestGoneIsFinal(t *testing.T) {
	r := New()
	r.Heartbeat(instance("a", 5), start)
	i, changed := r.MarkGone("a", start)
	if !changed || i.Record().Version.Epoch == 0 {
		t.Fatalf("changed: %t, %+v", changed, i.Record())
	}
	if !r.Heartbeat(instance("a", 99), start).Stale || len(r.Active()) > 0 {
		t.Error("a heartbeat brought back an instance that is gone")
	}
	if r.ApplyRecord(instance("a", 100), start) || len(r.Active()) > 0 {
		t.Error("a record from another broker brought back an instance that is gone")
	}
	other := New()
	other.Heartbeat(instance("a", 50), start)
	i.State = Gone
	if !other.ApplyRecord(i, start) || len(other.Active()) > 0 {
		t.Error("a gone record from another broker was not applied")
	}
}

func TestAddressReuseDisplaces(t *testing.T) {
	r := New()
	r.Heartbeat(instance("old", 5), start)
	result := r.Heartbeat(instance("new", 1), start.Add(time.Second))
	if len(result.Displaced) != 1 || result.Displaced[0].ID != "old" || result.Displaced[0].State != Displaced {
		t.Errorf("displaced: %+v", result.Displaced)
	}
	if all := r.Active(); len(all) != 1 || all[0].ID != "new" {
		t.Errorf("known: %+v", all)
	}
	r = New()
	r.Heartbeat(instance("new", 1), start)
	r.ApplyRecord(instance("old", 5), start) // from a broker that does not know the new instance yet
	if all := r.Active(); !slices.ContainsFunc(all, func(i Instance) bool { return i.ID == "new" }) {
		t.Errorf("an outdated record displaced the new instance: %+v", all)
	}
}

func TestExpire(t *testing.T) {
	r := New()
	r.Heartbeat(instance("a", 5), start)
	r.Heartbeat(Instance{ID: "b", Service: "s", Address: "10.0.0.2:80", State: Ready, Sequence: 1}, start)
	r.MarkGone("b", start)
	if forgotten, changed := r.Expire(start.Add(staleAfter)); len(forgotten) > 0 || changed {
		t.Errorf("too early: %v", forgotten)
	}
	if forgotten, changed := r.Expire(start.Add(staleAfter + time.Second)); !slices.Equal(forgotten, []string{"a"}) || !changed {
		t.Errorf("not seen for staleAfter: %v %t", forgotten, changed)
	}
	if forgotten, _ := r.Expire(start.Add(forgetAfter + time.Second)); !slices.Equal(forgotten, []string{"b"}) {
		t.Errorf("gone for forgetAfter: %v", forgotten)
	}
	if result := r.Heartbeat(instance("a", 6), start.Add(time.Hour)); !result.Publish || result.Stale {
		t.Error("an expired instance does not come back with its next heartbeat")
	}
}

func TestVersions(t *testing.T) {
	r := New()
	r.Heartbeat(instance("a", 1), start)
	if !r.SetVersion("a", "m", 2) || r.SetVersion("a", "m", 2) || r.SetVersion("a", "other", 2) {
		t.Error("SetVersion does not report changes of known models only")
	}
	if i, _ := r.Get("a"); i.VersionOf("m") != 2 || i.VersionOf("other") != 0 {
		t.Errorf("versions: %+v", i.Models)
	}
}

func FuzzParseHeartbeat(f *testing.F) {
	f.Add([]byte(`{"service":"s","address":"10.0.0.1:80","state":"draining","slots":3,"sequence":9,"models":[{"name":"m","version":2}]}`))
	f.Add([]byte(`{"service":"s","address":"nowhere"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		i, err := ParseHeartbeat("id", body)
		if err == nil && (i.Service == "" || i.Address == "") {
			t.Fatalf("accepted without service or address: %q", body)
		}
	})
}

// TestConfirmedStates drains an instance and ends it. A state received from another broker is not confirmed, and each
// state needs a confirmation of its own. An unknown instance that leaves is kept as gone.
func TestConfirmedStates(t *testing.T) {
	r := New()
	draining := instance("a", 5)
	draining.State = Draining
	r.ApplyRecord(draining, start)
	if r.Confirmed("a") || r.DrainingOrGoneSince("a") != start {
		t.Errorf("received from another broker: confirmed %t since %v", r.Confirmed("a"), r.DrainingOrGoneSince("a"))
	}
	r.Confirm(draining)
	if !r.Confirmed("a") {
		t.Error("a drain is not confirmed after Confirm")
	}
	gone, changed := r.MarkGone("a", start.Add(time.Second))
	if !changed || gone.State != Gone || r.Confirmed("a") || r.DrainingOrGoneSince("a") != start {
		t.Errorf("gone: %+v %t, confirmed %t", gone, changed, r.Confirmed("a"))
	}
	r.Confirm(gone)
	if again, changed := r.MarkGone("a", start); changed || !r.Confirmed("a") || again.State != Gone {
		t.Error("a repeated MarkGone changes a confirmed gone state")
	}
	if unknown, changed := r.MarkGone("b", start); !changed || unknown.State != Gone || unknown.ID != "b" {
		t.Errorf("an unknown instance leaves: %+v %t", unknown, changed)
	}
	if known := r.Known(); len(known) != 2 || len(r.Active()) != 0 {
		t.Errorf("known: %+v", known)
	}
}

// TestChangesCounter applies random heartbeats, records and other events. The counter rises if and only if the
// instances change in something other than the times and sequences of heartbeats.
func TestChangesCounter(t *testing.T) {
	random, now := rand.New(rand.NewPCG(7, 1)), time.Unix(0, 0)
	r := New()
	sequence := uint64(0)
	randomInstance := func() Instance {
		sequence++
		number := random.IntN(12)
		return Instance{ID: fmt.Sprint("i-", number), Service: "llm", Address: fmt.Sprint("10.9.0.", number/2), Zone: []string{"a", "b"}[random.IntN(8)/7],
			State: []State{Ready, Draining}[random.IntN(8)/7], Models: []Model{{Name: "m", Version: 1}}, Sequence: sequence, Cold: time.Duration(random.IntN(3))}
	}
	snapshot := func() []Instance {
		all := r.Known()
		for at := range all {
			all[at].Sequence, all[at].Epoch, all[at].Cold = 0, 0, min(all[at].Cold, 1)
			all[at].Models = slices.Clone(all[at].Models)
		}
		return all
	}
	before, count, unchanged := snapshot(), r.Changes(), 0
	for step := range 20000 {
		now = now.Add(time.Duration(random.IntN(100)) * time.Millisecond)
		switch random.IntN(20) {
		case 6:
			r.MarkDisplaced(fmt.Sprint("i-", random.IntN(14)), now)
		case 0:
			r.MarkGone(fmt.Sprint("i-", random.IntN(14)), now)
		case 1:
			r.SetVersion(fmt.Sprint("i-", random.IntN(12)), "m", int64(1+random.IntN(2)))
		case 2:
			now = now.Add(time.Duration(random.IntN(int(staleAfter))))
			r.Expire(now)
		case 3, 4, 5:
			r.ApplyRecord(randomInstance(), now)
		default:
			r.Heartbeat(randomInstance(), now)
		}
		after := snapshot()
		differs := !reflect.DeepEqual(before, after)
		if counted := r.Changes() != count; counted != differs {
			t.Fatalf("step %d: counter changed: %t, instances changed: %t\n%v\n%v", step, counted, differs, before, after)
		}
		if !differs {
			unchanged++
		}
		before, count = after, r.Changes()
	}
	if unchanged < 2000 || unchanged > 18000 {
		t.Errorf("%d of 20000 steps changed nothing", unchanged)
	}
}
