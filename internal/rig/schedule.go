package rig

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Event is one fault of a schedule: from At on, for For.
type Event struct {
	At, For time.Duration
	Fault   string // one of Faults
	Who     int    // the member; of a split, the members on one side, a bit each
	Other   int    // of a cut: whom Who no longer reaches
}

// Faults that a schedule may have.
var Faults = []string{"kill", "stop", "cut", "mute", "deaf", "split", "loss", "flip", "replay", "wall"}

// Schedule is faults by time. It is printed a line each, and can be read again.
type Schedule []Event

// Draw draws a schedule: so many faults at so many members within a span.
func Draw(seed uint64, members, faults int, span time.Duration) Schedule {
	rnd := rand.New(rand.NewPCG(seed, 0x5ced))
	var s Schedule
	for range faults {
		e := Event{At: time.Duration(rnd.Int64N(int64(span))).Round(10 * time.Millisecond), Fault: Faults[rnd.IntN(len(Faults))],
			For: time.Duration(rnd.Int64N(int64(span) / 2)).Round(10 * time.Millisecond), Who: rnd.IntN(members), Other: rnd.IntN(members)}
		if e.Fault == "split" {
			e.Who = 1 + rnd.IntN(1<<members-2)
		}
		s = append(s, e)
	}
	slices.SortStableFunc(s, func(a, b Event) int { return int(a.At - b.At) })
	return s
}

func (s Schedule) String() string {
	var b strings.Builder
	for _, e := range s {
		fmt.Fprintf(&b, "%v %v %s %d %d\n", e.At, e.For, e.Fault, e.Who, e.Other)
	}
	return b.String()
}

// Parse reads a schedule; an error names its line.
func Parse(text string) (s Schedule, err error) {
	for i, line := range strings.Split(strings.TrimSpace(text), "\n") {
		var e Event
		var at, span string
		if _, err := fmt.Sscan(line, &at, &span, &e.Fault, &e.Who, &e.Other); err != nil {
			return nil, fmt.Errorf("rig: line %d of the schedule: %w", i+1, err)
		}
		e.At, err = time.ParseDuration(at)
		if err == nil {
			e.For, err = time.ParseDuration(span)
		}
		if err == nil && !slices.Contains(Faults, e.Fault) {
			err = fmt.Errorf("there is no fault %q", e.Fault)
		}
		if err != nil {
			return nil, fmt.Errorf("rig: line %d of the schedule: %w", i+1, err)
		}
		s = append(s, e)
	}
	return s, nil
}

// Play plays a schedule on a fleet that runs, and heals everything at its end.
func (f *Fleet) Play(s Schedule) error {
	type edge struct {
		at    time.Duration
		e     *Event
		begin bool
	}
	var edges []edge
	for i := range s {
		edges = append(edges, edge{s[i].At, &s[i], true}, edge{s[i].At + s[i].For, &s[i], false})
	}
	slices.SortStableFunc(edges, func(a, b edge) int { return int(a.at - b.at) })
	active := map[*Event]bool{}
	begun := time.Now()
	for _, x := range edges {
		time.Sleep(time.Until(begun.Add(x.at)))
		if active[x.e] = x.begin; !x.begin {
			delete(active, x.e)
		}
		if err := f.turn(x.e, x.begin, active); err != nil {
			return err
		}
		f.weather(active)
	}
	f.Switch.Heal()
	for _, m := range f.Members {
		m.Signal(syscall.SIGCONT)
		if err := m.Bend(1, 0); err != nil {
			return err
		}
	}
	return f.LaunchAll()
}

// turn begins or ends what a fault does to a process.
func (f *Fleet) turn(e *Event, begin bool, active map[*Event]bool) error {
	m := f.Members[min(e.Who, len(f.Members)-1)]
	held := func(fault string) bool { // another one of the kind goes on
		for o := range active {
			if o != e && o.Fault == fault && o.Who == e.Who {
				return true
			}
		}
		return false
	}
	switch {
	case e.Fault == "kill" && begin:
		m.Kill()
	case e.Fault == "kill" && !held("kill") && !m.Running():
		return m.Launch()
	case e.Fault == "stop" && begin:
		m.Signal(syscall.SIGSTOP)
	case e.Fault == "stop" && !held("stop"):
		m.Signal(syscall.SIGCONT)
	case e.Fault == "replay" && begin:
		f.Switch.Replay()
	case e.Fault == "wall" && begin:
		return m.Bend(1, time.Hour)
	case e.Fault == "wall" && !held("wall"):
		return m.Bend(1, 0)
	}
	return nil
}

// weather sets every link as the faults that go on have it.
func (f *Fleet) weather(active map[*Event]bool) {
	for i := range f.Members {
		for j := range f.Members {
			var l Link
			for e := range active {
				switch e.Fault {
				case "cut":
					l.Cut = l.Cut || i == e.Who && j == e.Other
				case "mute":
					l.Cut = l.Cut || i == e.Who
				case "deaf":
					l.Cut = l.Cut || j == e.Who
				case "split":
					l.Cut = l.Cut || e.Who>>i&1 != e.Who>>j&1
				case "loss":
					l.Loss, l.Duplicate, l.Jitter = 0.3, 0.3, 20
				case "flip":
					l.Flip = 0.05
				}
			}
			f.Switch.Set(i, j, func(o *Link) { *o = l })
		}
	}
}

// Shrink looks for a smaller schedule that fails too: with a fault left out, then with shorter ones. Each try plays one; at most so many are made.
func Shrink(s Schedule, tries int, fails func(Schedule) bool) Schedule {
	for again := true; again; {
		again = false
		for i := 0; i < len(s) && tries > 0 && len(s) > 1; tries-- {
			if less := slices.Delete(slices.Clone(s), i, i+1); fails(less) {
				s, again = less, true
			} else {
				i++
			}
		}
	}
	for i := 0; i < len(s) && tries > 0; tries-- {
		shorter := slices.Clone(s)
		shorter[i].For = (shorter[i].For / 2).Round(10 * time.Millisecond)
		if shorter[i].For < 100*time.Millisecond || !fails(shorter) {
			i++
		} else {
			s = shorter
		}
	}
	return s
}
