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

// at says that all versions were named at a moment.
func at(moment time.Time) func(int64) time.Time { return func(int64) time.Time { return moment } }

// TestAllGetThere plays a roll-out in which some orders are refused, some are forgotten and one instance ends: all
// others get there, no more at a time than allowed.
func TestAllGetThere(t *testing.T) {
	all := fleetOf(12)
	p := New("m")
	start := time.Unix(0, 0)
	loading := map[string]time.Time{}
	orders := map[string]int{}
	now := start
	for len(Lagging(all, "m", 2)) > 0 {
		now = now.Add(50 * time.Millisecond)
		if now.Sub(start) > 20*time.Second {
			t.Fatalf("%d lag still", len(Lagging(all, "m", 2)))
		}
		order, look := p.Plan(now, at(start), all, 2)
		for _, i := range order {
			orders[i.ID]++
			switch {
			case i.ID == "i03" && orders[i.ID] == 1:
				p.Failed(i.ID, now)
			case i.ID == "i05" && orders[i.ID] == 1:
				p.Taken(i.ID, now) // and forgets it by a restart
			default:
				p.Taken(i.ID, now)
				loading[i.ID] = now
			}
		}
		if now.Sub(start) < hurryAfter && len(loading) > 2 {
			t.Fatalf("%d load at a time after %v", len(loading), now.Sub(start))
		}
		for _, i := range look {
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
		t.Errorf("it took %v", took)
	}
}

func TestMoreAtATimeAsTimeRunsOut(t *testing.T) {
	last := 0
	for _, elapsed := range []time.Duration{0, hurryAfter, hurryAfter + hurryEvery + 1, hurryAfter + 10*hurryEvery} {
		most := mostAtOnce(72, elapsed)
		if most < last {
			t.Errorf("after %v %d load at a time, before %d", elapsed, most, last)
		}
		last = most
	}
	if mostAtOnce(72, 0) != 12 || last != 72 || mostAtOnce(0, 0) != 1 {
		t.Errorf("at first %d, at last %d", mostAtOnce(72, 0), last)
	}
}

// TestNewerVersion goes on to a version that is named while the one before is on its way.
func TestNewerVersion(t *testing.T) {
	all := fleetOf(2)
	p := New("m")
	now := time.Unix(0, 0)
	if order, _ := p.Plan(now, at(now), all, 2); len(order) != 1 {
		t.Fatalf("ordered: %v", order)
	}
	if order, _ := p.Plan(now.Add(time.Millisecond), at(now), all, 3); len(order) != 1 || order[0].ID != "i00" {
		t.Errorf("ordered anew: %v", order)
	}
	done := Progress{ID: "i", Model: "m", Version: 2}.Record()
	loading := Progress{ID: "i", Model: "m", Version: 3, Loading: true}.Record()
	if !done.Version.Less(loading.Version) {
		t.Error("a newer load does not follow on the one before")
	}
}

// TestSilentInstanceMakesRoom has an instance crash with its order: the others load at once, not after its order is given up.
func TestSilentInstanceMakesRoom(t *testing.T) {
	all := fleetOf(4)
	p := New("m")
	start := time.Unix(0, 0)
	ordered := map[string]time.Duration{}
	for now := start; now.Before(start.Add(2400 * time.Millisecond)); now = now.Add(50 * time.Millisecond) {
		order, look := p.Plan(now, at(start), all, 2)
		for _, i := range order {
			if _, again := ordered[i.ID]; !again {
				ordered[i.ID] = now.Sub(start)
			}
			p.Taken(i.ID, now)
			all[indexOf(all, i.ID)].State = instances.Draining // as the fleet is told
		}
		for _, i := range look {
			if i.ID == "i00" {
				p.Silent(i.ID, now)
				continue
			}
			p.Done(i.ID)
			all[indexOf(all, i.ID)].Models = []instances.Model{{Name: "m", Version: 2}}
		}
	}
	if len(ordered) != 4 || ordered["i01"] > 1500*time.Millisecond {
		t.Errorf("ordered: %v", ordered)
	}
}

// TestOldestFirst has instances with three versions: those whose time runs out first go first, and a newer version gives
// them no more time.
func TestOldestFirst(t *testing.T) {
	all := fleetOf(12)
	for n := range all {
		all[n].Models = []instances.Model{{Name: "m", Version: int64(3 - n/4)}}
	}
	named := func(version int64) time.Time { return time.Unix(3*version, 0) } // when the first version above one was
	p := New("m")
	order, _ := p.Plan(time.Unix(9, 0), named, all, 4)
	for _, i := range order {
		if i.VersionOf("m") != 1 {
			t.Errorf("%s with version %d is ordered before the oldest", i.ID, i.VersionOf("m"))
		}
	}
	if len(order) != 4 {
		t.Errorf("%d load at a time, 6 s after the version that they lack", len(order))
	}
	if order, _ := New("m").Plan(time.Unix(9, 0), func(int64) time.Time { return time.Unix(9, 0) }, all, 4); len(order) != 2 {
		t.Errorf("%d load at a time at first", len(order))
	}
}
