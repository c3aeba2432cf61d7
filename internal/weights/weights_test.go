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

// TestEachVersionHasItsBound names versions each 3 s, faster than the bound of any passes.
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
			if news := l.Learn(at(float64(3*(newest-2))), "m", newest, named[newest-2:]); !slices.Equal(news, []int64{newest}) {
				t.Errorf("news with version %d: %v", newest, news)
			}
		}
		if got := l.Oldest(at(c.at), "m"); got != c.oldest {
			t.Errorf("after %v s the oldest is %d, not %d", c.at, got, c.oldest)
		}
		if by := l.BeginBy("m", 1); c.at < 5.1 && !by.Equal(at(5.6)) {
			t.Errorf("after %v s work on version 1 must begin by %v", c.at, by.Sub(start))
		}
	}
	if got := l.Oldest(at(100), "another"); got != 1 {
		t.Errorf("of a model without a version: %d", got)
	}
	if by := l.BeginBy("m", 6); !by.IsZero() {
		t.Errorf("work on the newest must begin by %v", by.Sub(start))
	}
}

// TestAStartDoesNotAddTime has a process that starts learn what the register has; what is told later only makes it older.
func TestAStartDoesNotAddTime(t *testing.T) {
	l := New(bound)
	l.Learn(at(10), "m", 3, []Naming{{2, 7 * time.Second}, {3, 4 * time.Second}})
	if l.Oldest(at(10), "m") != 2 || l.Oldest(at(11.2), "m") != 3 {
		t.Errorf("oldest %d and then %d", l.Oldest(at(10), "m"), l.Oldest(at(11.2), "m"))
	}
	l.Learn(at(10), "m", 3, []Naming{{2, 0}, {3, 0}})
	if l.Oldest(at(11.2), "m") != 3 {
		t.Error("an age was taken back")
	}
	fresh := New(bound)
	if fresh.Learn(at(0), "m", 4, nil); fresh.Oldest(at(0), "m") != 4 {
		t.Error("a version that the register does not date was named long ago")
	}
}

// TestSettled checks when the register has to be told that the time of older weights is over.
func TestSettled(t *testing.T) {
	l := New(bound)
	named := []Naming{{Version: 2}}
	l.Learn(at(0), "m", 2, named)
	if !l.Settled(at(5), "m", named) || l.Settled(at(5.2), "m", named) {
		t.Error("before the time is over there is nothing to tell, and after it there is")
	}
	named = Merge(named, l.Named(at(5.2), "m"), Grace(bound))
	if !l.Settled(at(60), "m", named) || !l.Settled(at(60), "m", nil) {
		t.Error("it is told again and again")
	}
}

// TestMerge checks that it does not matter in which order or how often ages are joined.
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
			t.Fatalf("%v, %v", one, other)
		}
		for at, n := range one {
			if at > 0 && (n.Version <= one[at-1].Version || n.Age >= Grace(bound)) {
				t.Fatalf("kept: %v", one)
			}
		}
	})
}

// TestHistories draws histories of a fleet: versions are named at any moment, brokers renew what the register knows, start
// again, and learn late. No broker ever takes a version for older than it is; one that lived through a naming never sends to
// older weights after its grace; nor does one that started since, once the register was told that the grace is over.
func TestHistories(t *testing.T) {
	const model, brokers = "m", 4
	rapid.Check(t, func(t *rapid.T) {
		now := start
		var register, truth []Naming // truth: Age from start to the naming
		newest := int64(0)
		ledgers := make([]*Ledger, brokers)
		since := make([]time.Time, brokers) // of the process
		settled := map[int64]time.Time{}    // when the register was told that a version's grace is over
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
				for i := range ledgers { // a naming is acknowledged when those in touch know it
					ledgers[i].Learn(now, model, newest, register)
				}
			case "renew":
				if newest > 0 && ledgers[i].Oldest(now, model) <= newest {
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
				if _, told := settled[n.Version]; !told && n.Age >= Grace(bound) {
					settled[n.Version] = now
				}
			}
			for i, l := range ledgers {
				oldest := l.Oldest(now, model)
				for _, n := range truth {
					over := now.Sub(start.Add(n.Age)) >= Grace(bound)
					told, isTold := settled[n.Version]
					lived := !since[i].After(start.Add(n.Age))
					if oldest == n.Version && n.Version > 1 && !over {
						t.Fatalf("broker %d takes version %d for older than it is", i, n.Version)
					}
					if over && oldest < n.Version && (lived || isTold && since[i].After(told)) {
						t.Fatalf("broker %d sends to %d after the grace of %d", i, oldest, n.Version)
					}
				}
			}
		}
	})
}
