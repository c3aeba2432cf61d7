package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gullstair/internal/instances"
)

func fleetOf(n int) []instances.Instance {
	var all []instances.Instance
	for i := range n {
		all = append(all, instances.Instance{ID: fmt.Sprintf("i%02d", i), State: instances.Ready, Models: []instances.Model{{Name: "m", Version: 1}}})
	}
	return all
}

func indexOf(all []instances.Instance, id string) int {
	return slices.IndexFunc(all, func(i instances.Instance) bool { return i.ID == id })
}

// at returns a function that reports the same naming time for every version.
func at(moment time.Time) func(int64) time.Time { return func(int64) time.Time { return moment } }

// TestRolloutReachesAllInstances simulates a rollout in which one order is refused, one is lost by a restart and one instance goes
// away. All other instances must reach the new version, with no more concurrent loads than allowed.
func TestRolloutReachesAllInstances(t *testing.T) {
	all := fleetOf(12)
	p := New("m")
	start := time.Unix(0, 0)
	loading := map[string]time.Time{}
	orders := map[string]int{}
	now := start
	for len(Lagging(all, "m", 2)) > 0 {
		now = now.Add(50 * time.Millisecond)
		if now.Sub(start) > 20*time.Second {
			t.Fatalf("%d instances still run the old version after 20 s", len(Lagging(all, "m", 2)))
		}
		order, poll := p.Plan(now, at(start), all, 2)
		for _, i := range order {
			orders[i.ID]++
			switch {
			case i.ID == "i03" && orders[i.ID] == 1:
				p.Failed(i.ID, now)
			case i.ID == "i05" && orders[i.ID] == 1:
				p.Accepted(i.ID, now) // and loses it by a restart
			default:
				p.Accepted(i.ID, now)
				loading[i.ID] = now
			}
		}
		if now.Sub(start) < rampUpAfter && len(loading) > 2 {
			t.Fatalf("%d instances load at a time after %v", len(loading), now.Sub(start))
		}
		for _, i := range poll {
			since, loads := loading[i.ID]
			switch {
			case !loads:
				p.Failed(i.ID, now)
			case now.Sub(since) >= 300*time.Millisecond:
				delete(loading, i.ID)
				p.Done(i.ID)
				all[indexOf(all, i.ID)].Models = []instances.Model{{Name: "m", Version: 2}}
			}
		}
		if now.Sub(start) > time.Second && all[11].State == instances.Ready {
			all[11].State = instances.Gone
		}
	}
	if took := now.Sub(start); took > 5*time.Second {
		t.Errorf("the rollout took %v, want at most 5 s", took)
	}
}

func TestConcurrentLoadsIncreaseOverTime(t *testing.T) {
	last := 0
	for _, elapsed := range []time.Duration{0, rampUpAfter, rampUpAfter + rampUpInterval + 1, rampUpAfter + 10*rampUpInterval} {
		allowed := maxConcurrentLoads(72, elapsed)
		if allowed < last {
			t.Errorf("after %v %d instances may load at a time, fewer than %d before", elapsed, allowed, last)
		}
		last = allowed
	}
	if maxConcurrentLoads(72, 0) != 12 || last != 72 || maxConcurrentLoads(0, 0) != 1 {
		t.Errorf("%d instances may load at a time at first and %d at last", maxConcurrentLoads(72, 0), last)
	}
}

// TestNewerVersion checks that a version that is named during the rollout of the previous one replaces its pending orders, and that
// the newer record supersedes the older one.
func TestNewerVersion(t *testing.T) {
	all := fleetOf(2)
	p := New("m")
	now := time.Unix(0, 0)
	if order, _ := p.Plan(now, at(now), all, 2); len(order) != 1 {
		t.Fatalf("first orders: %v, want one", order)
	}
	if order, _ := p.Plan(now.Add(time.Millisecond), at(now), all, 3); len(order) != 1 || order[0].ID != "i00" {
		t.Errorf("orders of the newer version: %v, want i00", order)
	}
	done := Progress{ID: "i", Model: "m", Version: 2}.Record()
	loading := Progress{ID: "i", Model: "m", Version: 3, Loading: true}.Record()
	if !done.Version.Less(loading.Version) {
		t.Error("the record of a newer load does not supersede the previous one")
	}
}

// TestSilentInstanceDoesNotBlockOthers checks that after the crash of an instance that has an order the others load soon, not only after
// orderTimeout.
func TestSilentInstanceDoesNotBlockOthers(t *testing.T) {
	all := fleetOf(4)
	p := New("m")
	start := time.Unix(0, 0)
	ordered := map[string]time.Duration{}
	for now := start; now.Before(start.Add(2400 * time.Millisecond)); now = now.Add(50 * time.Millisecond) {
		order, poll := p.Plan(now, at(start), all, 2)
		for _, i := range order {
			if _, again := ordered[i.ID]; !again {
				ordered[i.ID] = now.Sub(start)
			}
			p.Accepted(i.ID, now)
			all[indexOf(all, i.ID)].State = instances.Draining // as the instance's record says while it loads
		}
		for _, i := range poll {
			if i.ID == "i00" {
				p.NoReply(i.ID, now)
				continue
			}
			p.Done(i.ID)
			all[indexOf(all, i.ID)].Models = []instances.Model{{Name: "m", Version: 2}}
		}
	}
	if len(ordered) != 4 || ordered["i01"] > 1500*time.Millisecond {
		t.Errorf("times of the first orders: %v", ordered)
	}
}

// TestOldestFirst checks with instances on three versions that those whose bound passes first are ordered first, and that a newer
// version gives them no more time.
func TestOldestFirst(t *testing.T) {
	all := fleetOf(12)
	for n := range all {
		all[n].Models = []instances.Model{{Name: "m", Version: int64(3 - n/4)}}
	}
	named := func(version int64) time.Time { return time.Unix(3*version, 0) } // naming time of the first version above this one
	p := New("m")
	order, _ := p.Plan(time.Unix(9, 0), named, all, 4)
	for _, i := range order {
		if i.VersionOf("m") != 1 {
			t.Errorf("%s with version %d is ordered before the oldest", i.ID, i.VersionOf("m"))
		}
	}
	if len(order) != 4 {
		t.Errorf("%d instances load at a time, 6 s after the naming of the version that they lack; want 4", len(order))
	}
	if order, _ := New("m").Plan(time.Unix(9, 0), func(int64) time.Time { return time.Unix(9, 0) }, all, 4); len(order) != 2 {
		t.Errorf("%d instances load at a time at first, want 2", len(order))
	}
}
