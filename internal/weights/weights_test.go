package weights

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const bound = 6 * time.Second

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// TestEachVersionHasItsBound names a version every 3 s, which is shorter than the bound, and checks that each version's bound still
// runs from its own naming.
func TestEachVersionHasItsBound(t *testing.T) {
	l := New(bound)
	var named []Naming
	newest := int64(1)
	for _, c := range []struct {
		at     float64
		oldest int64
	}{{0, 1}, {3, 1}, {5, 1}, {5.1, 2}, {8, 2}, {8.1, 3}, {11.1, 4}, {14.1, 5}, {17, 5}, {17.1, 6}, {1000, 6}} {
		for newest < 6 && c.at >= float64(3*(newest-1)) {
			newest++
			named = append(named, Naming{Version: newest})
			if added := l.Learn(at(float64(3*(newest-2))), "m", newest, named[newest-2:]); !slices.Equal(added, []int64{newest}) {
				t.Errorf("Learn of version %d returned %v as new", newest, added)
			}
		}
		if got := l.MinVersion(at(c.at), "m"); got != c.oldest {
			t.Errorf("after %v s the oldest allowed version is %d, want %d", c.at, got, c.oldest)
		}
		if deadline := l.StartDeadline("m", 1); c.at < 5.1 && !deadline.Equal(at(5.6)) {
			t.Errorf("after %v s the start deadline on version 1 is %v, want 5.6s", c.at, deadline.Sub(start))
		}
	}
	if got := l.MinVersion(at(100), "another"); got != 1 {
		t.Errorf("a model without a named version: oldest allowed version is %d", got)
	}
	if deadline := l.StartDeadline("m", 6); !deadline.IsZero() {
		t.Errorf("the newest version has a start deadline of %v", deadline.Sub(start))
	}
}

// TestRestartDoesNotExtendGrace checks that a process that starts takes the ages from the register, and that a later report with lower
// ages does not give older weights more time.
func TestRestartDoesNotExtendGrace(t *testing.T) {
	l := New(bound)
	l.Learn(at(10), "m", 3, []Naming{{2, 7 * time.Second}, {3, 4 * time.Second}})
	if l.MinVersion(at(10), "m") != 2 || l.MinVersion(at(11.2), "m") != 3 {
		t.Errorf("oldest allowed version %d and then %d, want 2 and 3", l.MinVersion(at(10), "m"), l.MinVersion(at(11.2), "m"))
	}
	l.Learn(at(10), "m", 3, []Naming{{2, 0}, {3, 0}})
	if l.MinVersion(at(11.2), "m") != 3 {
		t.Error("the age of a version decreased")
	}
	fresh := New(bound)
	if fresh.Learn(at(0), "m", 4, nil); fresh.MinVersion(at(0), "m") != 4 {
		t.Error("a version without an age in the register must count as named long ago")
	}
}

// TestSettled checks that Settled asks for an update of the register once, when a grace period has passed.
func TestSettled(t *testing.T) {
	l := New(bound)
	named := []Naming{{Version: 2}}
	l.Learn(at(0), "m", 2, named)
	if !l.Settled(at(5), "m", named) || l.Settled(at(5.2), "m", named) {
		t.Error("the register must be settled before the grace period has passed and not after it")
	}
	named = Merge(named, l.Named(at(5.2), "m"), Grace(bound))
	if !l.Settled(at(60), "m", named) || !l.Settled(at(60), "m", nil) {
		t.Error("the register is not settled although it has recorded the end of the grace period")
	}
}

// TestMerge checks that the result does not depend on the order or number of merges.
func TestMerge(t *testing.T) {
	namings := rapid.Custom(func(t *rapid.T) []Naming {
		var out []Naming
		for version := int64(1); version <= 6; version++ {
			if rapid.Bool().Draw(t, "known") {
				out = append(out, Naming{version, time.Duration(rapid.IntRange(0, 9000).Draw(t, "age")) * time.Millisecond})
			}
		}
		return out
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := namings.Draw(t, "a"), namings.Draw(t, "b"), namings.Draw(t, "c")
		merge := func(x, y []Naming) []Naming { return Merge(x, y, Grace(bound)) }
		one, other := merge(merge(a, b), c), merge(c, merge(b, a))
		if !slices.Equal(one, other) || !slices.Equal(merge(one, one), one) || !slices.Equal(merge(one, a), one) {
			t.Fatalf("merges in another order differ: %v, %v", one, other)
		}
		for at, n := range one {
			if at > 0 && (n.Version <= one[at-1].Version || n.Age >= Grace(bound)) {
				t.Fatalf("the result has unsorted or superfluous versions: %v", one)
			}
		}
	})
}

// TestHistories runs random histories of a fleet: versions are named at any time, and brokers update the ages in the register,
// restart, and learn of versions late. No broker may end a grace period early. A broker that was running when a version was named
// must not send to older weights after the grace period, nor may one that started after the register recorded the end of that
// period.
func TestHistories(t *testing.T) {
	const model, brokers = "m", 4
	rapid.Check(t, func(t *rapid.T) {
		now := start
		var register, truth []Naming // in truth, Age is the time from start to the naming
		newest := int64(0)
		ledgers := make([]*Ledger, brokers)
		since := make([]time.Time, brokers) // start of each broker's process
		settled := map[int64]time.Time{}    // when the register recorded that a version's grace period had passed
		for i := range ledgers {
			ledgers[i], since[i] = New(bound), now
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, brokers-1).Draw(t, "broker")
			switch rapid.SampledFrom([]string{"name", "renew", "renew", "start", "learn"}).Draw(t, "what") {
			case "name":
				newest++
				register = append(slices.Clone(register), Naming{Version: newest})
				truth = append(truth, Naming{newest, now.Sub(start)})
				for i := range ledgers { // a naming is acknowledged once all reachable brokers know it
					ledgers[i].Learn(now, model, newest, register)
				}
			case "renew":
				if newest > 0 && ledgers[i].MinVersion(now, model) <= newest {
					register = Merge(register, ledgers[i].Named(now, model), Grace(bound))
				}
			case "start":
				ledgers[i], since[i] = New(bound), now
				if newest > 0 {
					ledgers[i].Learn(now, model, newest, register)
				}
			case "learn":
				if newest > 0 {
					ledgers[i].Learn(now, model, newest, register)
				}
			}
			for _, n := range register {
				if _, known := settled[n.Version]; !known && n.Age >= Grace(bound) {
					settled[n.Version] = now
				}
			}
			for i, l := range ledgers {
				oldest := l.MinVersion(now, model)
				for _, n := range truth {
					gracePassed := now.Sub(start.Add(n.Age)) >= Grace(bound)
					settledAt, isSettled := settled[n.Version]
					sawNaming := !since[i].After(start.Add(n.Age))
					if oldest == n.Version && n.Version > 1 && !gracePassed {
						t.Fatalf("broker %d ends the grace period of version %d early", i, n.Version)
					}
					if gracePassed && oldest < n.Version && (sawNaming || isSettled && since[i].After(settledAt)) {
						t.Fatalf("broker %d sends to version %d after the grace period of version %d", i, oldest, n.Version)
					}
				}
			}
		}
	})
}
