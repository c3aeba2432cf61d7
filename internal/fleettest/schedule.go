package fleettest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Event is one fault of a schedule. It begins At after the start and lasts For.
type Event struct {
	At, For time.Duration
	Fault   string // one of Faults
	Member  int    // index of the member; for a split, a bit set of the members on one side
	Target  int    // for a cut, the index of the member that Member can no longer reach
}

// Faults lists the kinds of fault that a schedule may hold.
var Faults = []string{"kill", "stop", "cut", "mute", "deaf", "split", "loss", "flip", "replay", "wall"}

// Schedule is a list of faults ordered by time. String writes one line for each, which Parse reads back.
type Schedule []Event

// RandomSchedule returns a random schedule with the given number of faults within a span. Equal seeds give equal schedules.
func RandomSchedule(seed uint64, members, faults int, span time.Duration) Schedule {
	rnd := rand.New(rand.NewPCG(seed, 0x5ced))
	var s Schedule
	for range faults {
		e := Event{At: time.Duration(rnd.Int64N(int64(span))).Round(10 * time.Millisecond), Fault: Faults[rnd.IntN(len(Faults))],
			For: time.Duration(rnd.Int64N(int64(span) / 2)).Round(10 * time.Millisecond), Member: rnd.IntN(members), Target: rnd.IntN(members)}
		if e.Fault == "split" {
			e.Member = 1 + rnd.IntN(1<<members-2)
		}
		s = append(s, e)
	}
	slices.SortStableFunc(s, func(a, b Event) int { return int(a.At - b.At) })
	return s
}

func (s Schedule) String() string {
	var b strings.Builder
	for _, e := range s {
		fmt.Fprintf(&b, "%v %v %s %d %d\n", e.At, e.For, e.Fault, e.Member, e.Target)
	}
	return b.String()
}

// Parse reads a schedule in the format of String. An error names the line.
func Parse(text string) (s Schedule, err error) {
	for i, line := range strings.Split(strings.TrimSpace(text), "\n") {
		var e Event
		var at, span string
		if _, err := fmt.Sscan(line, &at, &span, &e.Fault, &e.Member, &e.Target); err != nil {
			return nil, fmt.Errorf("rig: line %d of the schedule: %w", i+1, err)
		}
		e.At, err = time.ParseDuration(at)
		if err == nil {
			e.For, err = time.ParseDuration(span)
		}
		if err == nil && !slices.Contains(Faults, e.Fault) {
			err = fmt.Errorf("unknown fault %q", e.Fault)
		}
		if err != nil {
			return nil, fmt.Errorf("rig: line %d of the schedule: %w", i+1, err)
		}
		s = append(s, e)
	}
	return s, nil
}

// Play applies a schedule to a running fleet and repairs all faults at its end.
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
		if err := f.applyToProcess(x.e, x.begin, active); err != nil {
			return err
		}
		f.applyToLinks(active)
	}
	f.Switch.Heal()
	for _, m := range f.Members {
		m.Signal(syscall.SIGCONT)
		if err := m.SkewClocks(1, 0); err != nil {
			return err
		}
	}
	return f.LaunchAll()
}

// applyToProcess begins or ends the effect of a fault on a process.
func (f *Fleet) applyToProcess(e *Event, begin bool, active map[*Event]bool) error {
	m := f.Members[min(e.Member, len(f.Members)-1)]
	overlapping := func(fault string) bool { // reports whether another fault of this kind is active at the member
		for o := range active {
			if o != e && o.Fault == fault && o.Member == e.Member {
				return true
			}
		}
		return false
	}
	switch {
	case e.Fault == "kill" && begin:
		m.Kill()
	case e.Fault == "kill" && !overlapping("kill") && !m.Running():
		return m.Launch()
	case e.Fault == "stop" && begin:
		m.Signal(syscall.SIGSTOP)
	case e.Fault == "stop" && !overlapping("stop"):
		m.Signal(syscall.SIGCONT)
	case e.Fault == "replay" && begin:
		f.Switch.Replay()
	case e.Fault == "wall" && begin:
		return m.SkewClocks(1, time.Hour)
	case e.Fault == "wall" && !overlapping("wall"):
		return m.SkewClocks(1, 0)
	}
	return nil
}

// applyToLinks sets every link according to the active faults.
func (f *Fleet) applyToLinks(active map[*Event]bool) {
	for i := range f.Members {
		for j := range f.Members {
			var l Link
			for e := range active {
				switch e.Fault {
				case "cut":
					l.Cut = l.Cut || i == e.Member && j == e.Target
				case "mute":
					l.Cut = l.Cut || i == e.Member
				case "deaf":
					l.Cut = l.Cut || j == e.Member
				case "split":
					l.Cut = l.Cut || e.Member>>i&1 != e.Member>>j&1
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

// Shrink searches for a smaller schedule that still fails: first it removes faults, then it shortens them. It makes at most the given number of tries, each of
// which plays one schedule.
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
