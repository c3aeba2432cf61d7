// Package voters decides which of the machines with a disk vote on the register's value, and which follow as learners.
//
// All machines with a disk vote where they are odd in number, all but one where they are even: so more than half of them, cut off
// from the rest, hold a majority of the voters whichever they are. There are 2f+1 voters at least for f losses at once, where there
// are as many machines. The others are learners: they hold the newest value on their disk too, and take the seat of a voter that is
// lost, lost its disk or leaves. Beyond 2f+1 a seat is added only for machines that have kept up for long, two at a time, and none
// beside an open one, so a newcomer never makes the majority harder to reach. Seats are taken away, two at a time, when machines
// have been silent for so long that nobody expects them back.
//
// The package has no I/O, clock or goroutine.
package voters

import (
	"cmp"
	"slices"
	"time"

	"gullstair/internal/register"
)

// Tolerance is what may be lost at one time while the register still answers.
type Tolerance struct {
	Machines int
	Zones    int
	Regions  int
}

// lostShare is the part of the time after which a loss no longer counts that a silent voter is waited for: long enough
// for a process that is started again at once, short enough that its successor has the seat within that time.
const lostShare = 0.35

// LostAfter is how long a voter may be silent before its seat goes to a learner. catchUp is the time after which a
// newcomer is counted on.
func LostAfter(catchUp time.Duration) time.Duration {
	return time.Duration(lostShare * float64(catchUp))
}

const (
	settledTimes  = 3  // times the time after which a newcomer is counted on, it is given a seat of its own
	departedTimes = 15 // times that, a silent voter is not expected back
)

// SettledAfter is how long a machine must have kept up before a seat is added for it beyond those that the losses need: longer than
// a machine and its planned successor run side by side.
func SettledAfter(catchUp time.Duration) time.Duration { return settledTimes * catchUp }

// DepartedAfter is how long a voter must have been silent before its seat may be taken away.
func DepartedAfter(catchUp time.Duration) time.Duration { return departedTimes * catchUp }

// Seats is the least number of voters that bears the losses, where there are enough machines.
func (t Tolerance) Seats() int { return 2*max(t.Machines, t.Zones, t.Regions, 1) + 1 }

// Health is what is known of a machine's replica.
type Health int

const (
	Unknown  Health = iota // it was not asked yet
	Healthy                // it answers, and keeps up with the values that are chosen
	Lagging                // it answers, and lacks a value that others have had for a while
	Leaving                // it has said that it is about to end
	Silent                 // it has not answered for longer than is waited for a restart, or its disk takes nothing
	Replaced               // another disk answers at its address
)

// String names the health as the status page does.
func (h Health) String() string {
	return [...]string{"unknown", "healthy", "lagging", "leaving", "silent", "replaced"}[h]
}

// gives says whether a voter in this health hands its seat on.
func (h Health) gives() bool { return h >= Leaving }

// Machine is one machine with a disk.
type Machine struct {
	Replica register.Replica
	Zone    string
	Region  string
	Health  Health

	Settled  bool // it has kept up for SettledAfter
	Departed bool // it has been silent for DepartedAfter
}

// turnSlot is the time that one voter has for a change before another tries: longer than an attempt takes.
const turnSlot = time.Second

// Turn says whether it is this voter's turn to make a change that has been due for a time. The voters that are well take
// turns in the order of their addresses, again and again, so that their attempts do not outrun each other.
func Turn(present []Machine, self register.Replica, due time.Duration) bool {
	place, well := 0, 0
	for _, m := range present {
		if m.Replica == self {
			place = well
		}
		if m.Health == Healthy || m.Replica == self {
			well++
		}
	}
	return well > 0 && int(due/turnSlot)%well == place
}

// First chooses the first voters among the machines that have met.
func First(met []Machine) []register.Replica {
	return replicas(fill(nil, met, odd(len(met))))
}

// Plan returns the set of voters that should follow the present one; due is false where the present one stays. learners
// are the machines with a disk that do not vote.
func Plan(present, learners []Machine, t Tolerance) (next []register.Replica, due bool) {
	able := slices.DeleteFunc(slices.Clone(learners), func(m Machine) bool { return m.Health != Healthy })
	set := keep(present, able, size(present, able, t))
	if same(set, present) {
		set = balance(present, able, t)
	}
	if same(set, present) || !holds(set) {
		return nil, false
	}
	return replicas(set), true
}

// size is the number of voters that there should be. able are learners that keep up.
func size(present, able []Machine, t Tolerance) int {
	staying := count(present, func(m Machine) bool { return !m.Health.gives() })
	settled := count(able, func(m Machine) bool { return m.Settled })
	departed := count(present, func(m Machine) bool { return m.Departed })
	needed := min(t.Seats(), staying+len(able))
	kept := odd(len(present)) - departed/2*2
	if len(present) <= t.Seats() {
		kept = len(present)
	}
	return max(odd(needed), odd(staying+settled), min(kept, len(present)), min(len(present), t.Seats()))
}

func count(set []Machine, counts func(Machine) bool) (n int) {
	for _, m := range set {
		if counts(m) {
			n++
		}
	}
	return n
}

// odd is the largest odd number that is not above n.
func odd(n int) int { return n - (n+1)%2 }

// keep chooses voters: present ones that stay, then learners, then, for want of these, present ones that should go.
func keep(present, able []Machine, size int) []Machine {
	var stay, give []Machine
	for _, m := range present {
		if m.Health.gives() {
			give = append(give, m)
		} else {
			stay = append(stay, m)
		}
	}
	slices.SortStableFunc(stay, func(a, b Machine) int { return cmp.Compare(preference(a), preference(b)) })
	if len(stay) > size {
		return fill(nil, stay, size)
	}
	set := fill(stay, sameAddress(able, give), size)
	slices.SortStableFunc(give, func(a, b Machine) int { return cmp.Compare(a.Health, b.Health) })
	for _, m := range give {
		if len(set) < size && !hasAddress(set, m.Replica.Address) {
			set = append(set, m)
		}
	}
	return set
}

// preference orders voters of which some are to go: those that hold the newest value first.
func preference(m Machine) int {
	if m.Health == Healthy {
		return 0
	}
	return 1
}

// sameAddress puts the learners first that stand where a voter has lost its disk: they are restarts, not newcomers.
func sameAddress(able, give []Machine) []Machine {
	out := slices.Clone(able)
	slices.SortStableFunc(out, func(a, b Machine) int {
		return cmp.Compare(rank(give, a), rank(give, b))
	})
	return out
}

func rank(give []Machine, m Machine) int {
	if hasAddress(give, m.Replica.Address) {
		return 0
	}
	return 1
}

func hasAddress(set []Machine, address string) bool {
	return slices.ContainsFunc(set, func(m Machine) bool { return m.Replica.Address == address })
}

// fill adds machines to a set until it has size members, each time one from where the fewest are, the first in order
// among those.
func fill(set, from []Machine, size int) []Machine {
	set, from = slices.Clone(set), slices.Clone(from)
	for len(set) < size && len(from) > 0 {
		at := 0
		for i := range from {
			if crowd(set, from[i]) < crowd(set, from[at]) {
				at = i
			}
		}
		set = append(set, from[at])
		from = slices.Delete(from, at, at+1)
	}
	return set
}

// crowd counts the members of a set that would be lost with a machine's region or zone; the region weighs more.
func crowd(set []Machine, m Machine) (n int) {
	for _, other := range set {
		if other.Region == m.Region {
			n += len(set) + 1
		}
		if other.Zone == m.Zone {
			n++
		}
	}
	return n
}

// balance swaps one voter for a learner where the losses of zones or regions would not be borne and then are.
func balance(present, able []Machine, t Tolerance) []Machine {
	if bears(present, t) {
		return present
	}
	for at := range present {
		for _, m := range able {
			set := slices.Clone(present)
			set[at] = m
			if bears(set, t) {
				return set
			}
		}
	}
	return present
}

// bears says whether a majority stays when the largest zones or regions are lost.
func bears(set []Machine, t Tolerance) bool {
	zone := func(m Machine) string { return m.Zone }
	region := func(m Machine) string { return m.Region }
	return len(set)-largest(set, zone, t.Zones) > len(set)/2 && len(set)-largest(set, region, t.Regions) > len(set)/2
}

// largest counts the members in the n places that hold the most of them.
func largest(set []Machine, place func(Machine) string, n int) (lost int) {
	counts := map[string]int{}
	for _, m := range set {
		counts[place(m)]++
	}
	sizes := make([]int, 0, len(counts))
	for _, c := range counts {
		sizes = append(sizes, c)
	}
	slices.SortFunc(sizes, func(a, b int) int { return b - a })
	for _, c := range sizes[:min(n, len(sizes))] {
		lost += c
	}
	return lost
}

// holds says whether a majority of a set answers and has the newest value on its disk.
func holds(set []Machine) bool {
	return 2*count(set, func(m Machine) bool { return m.Health == Healthy }) > len(set)
}

func replicas(set []Machine) []register.Replica {
	var out []register.Replica
	for _, m := range set {
		out = append(out, m.Replica)
	}
	slices.SortFunc(out, register.Compare)
	return out
}

func same(a, b []Machine) bool { return slices.Equal(replicas(a), replicas(b)) }
