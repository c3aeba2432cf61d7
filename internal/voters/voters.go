// Package voters decides which of the machines with a disk vote on the register's value and which are learners.
//
// If the number of machines with a disk is odd, all of them vote; if it is even, all but one. Thus in a partition any
// group of more than half of the machines holds a majority of the voters. For f simultaneous losses there are at least
// 2f+1 voters, if there are as many machines. The other machines are learners: they also store the newest value, and
// replace a voter that is lost, lost its disk or leaves. Beyond 2f+1, voters are added only for machines that have been
// up to date for a long time, two at a time, and never while a lost voter awaits replacement, so a new machine never
// makes a majority harder to reach. Voters are removed, two at a time, after machines have been silent for so long that
// they are not expected back.
//
// The package does no I/O, reads no clock and starts no goroutine.
package voters

import (
	"cmp"
	"slices"
	"time"

	"gullstair/internal/register"
)

// Tolerance is the number of machines, zones and regions that may be lost at the same time while the register stays
// available.
type Tolerance struct {
	Machines int
	Zones    int
	Regions  int
}

// lostFraction is the fraction of the catch-up time for which a silent voter keeps its vote: long enough for a process
// that restarts at once, short enough that its successor becomes a voter within the catch-up time.
const lostFraction = 0.35

// LostAfter returns how long a voter may be silent before a learner replaces it. catchUp is the time after which a new
// replica is relied on.
func LostAfter(catchUp time.Duration) time.Duration {
	return time.Duration(lostFraction * float64(catchUp))
}

const (
	settledMultiple  = 3  // multiples of catchUp after which a learner becomes an additional voter
	departedMultiple = 15 // multiples of catchUp after which a silent voter is not expected back
)

// SettledAfter returns how long a machine must have been up to date before it becomes a voter beyond the minimum: longer
// than a machine and its planned successor run side by side.
func SettledAfter(catchUp time.Duration) time.Duration { return settledMultiple * catchUp }

// DepartedAfter returns how long a voter must have been silent before it may be removed without replacement.
func DepartedAfter(catchUp time.Duration) time.Duration { return departedMultiple * catchUp }

// MinVoters returns the least number of voters that tolerates the losses, provided there are enough machines.
func (t Tolerance) MinVoters() int { return 2*t.MaxLosses() + 1 }

// MaxLosses returns the number of machines that may be lost at one time, at least one.
func (t Tolerance) MaxLosses() int { return max(t.Machines, t.Zones, t.Regions, 1) }

// Health is the state of a machine's replica as a voter's probes show it.
type Health int

const (
	Unknown  Health = iota // the probes so far do not show its state
	Healthy                // it answers and is up to date
	Lagging                // it answers but lacks a value chosen more than allowedLag ago
	Leaving                // it has announced that it shuts down
	Silent                 // it has not answered for LostAfter, or its disk cannot be written
	Replaced               // a disk with another identity answers at its address
)

// String returns the name that the status page shows.
func (h Health) String() string {
	return [...]string{"unknown", "healthy", "lagging", "leaving", "silent", "replaced"}[h]
}

// yieldsSeat reports whether a voter in this state is to be replaced.
func (h Health) yieldsSeat() bool { return h >= Leaving }

// Machine is one machine with a disk.
type Machine struct {
	Replica register.Replica
	Zone    string
	Region  string
	Health  Health

	Settled  bool // it has been up to date for SettledAfter
	Departed bool // it has been silent for DepartedAfter
}

// turnLength is the time that one voter has for a change before the next one tries: longer than a round takes.
const turnLength = time.Second

// IsTurn reports whether it is this voter's turn to propose a change that has been due for the given time. The healthy
// voters take turns round robin in the order of their addresses, so that their ballots do not compete.
func IsTurn(present []Machine, self register.Replica, due time.Duration) bool {
	position, healthy := 0, 0
	for _, m := range present {
		if m.Replica == self {
			position = healthy
		}
		if m.Health == Healthy || m.Replica == self {
			healthy++
		}
	}
	return healthy > 0 && int(due/turnLength)%healthy == position
}

// Initial chooses the initial voters among the machines that have found each other.
func Initial(found []Machine) []register.Replica {
	return replicas(fillBySpread(nil, found, largestOdd(len(found))))
}

// Plan returns the next set of voters; due is false if the present set stays. learners are the machines with a disk that
// do not vote.
func Plan(present, learners []Machine, t Tolerance) (next []register.Replica, due bool) {
	candidates := slices.DeleteFunc(slices.Clone(learners), func(m Machine) bool { return m.Health != Healthy })
	set := selectVoters(present, candidates, targetSize(present, candidates, t))
	if sameReplicas(set, present) {
		set = rebalance(present, candidates, t)
	}
	if sameReplicas(set, present) || !hasHealthyMajority(set) {
		return nil, false
	}
	return replicas(set), true
}

// targetSize returns the intended number of voters. candidates are the healthy learners.
func targetSize(present, candidates []Machine, t Tolerance) int {
	staying := count(present, func(m Machine) bool { return !m.Health.yieldsSeat() })
	settled := count(candidates, func(m Machine) bool { return m.Settled })
	departed := count(present, func(m Machine) bool { return m.Departed })
	needed := min(t.MinVoters(), staying+len(candidates))
	kept := largestOdd(len(present)) - departed/2*2
	if len(present) <= t.MinVoters() {
		kept = len(present)
	}
	return max(largestOdd(needed), largestOdd(staying+settled), min(kept, len(present)), min(len(present), t.MinVoters()))
}

func count(set []Machine, matches func(Machine) bool) (n int) {
	for _, m := range set {
		if matches(m) {
			n++
		}
	}
	return n
}

// largestOdd returns the largest odd number that is at most n.
func largestOdd(n int) int { return n - (n+1)%2 }

// selectVoters chooses the voters: first present ones that stay, then learners, then, if there are too few, present ones
// that should be replaced.
func selectVoters(present, candidates []Machine, size int) []Machine {
	var stay, replaceable []Machine
	for _, m := range present {
		if m.Health.yieldsSeat() {
			replaceable = append(replaceable, m)
		} else {
			stay = append(stay, m)
		}
	}
	slices.SortStableFunc(stay, func(a, b Machine) int { return cmp.Compare(preference(a), preference(b)) })
	if len(stay) > size {
		return fillBySpread(nil, stay, size)
	}
	set := fillBySpread(stay, sameAddressFirst(candidates, replaceable), size)
	slices.SortStableFunc(replaceable, func(a, b Machine) int { return cmp.Compare(a.Health, b.Health) })
	for _, m := range replaceable {
		if len(set) < size && !hasAddress(set, m.Replica.Address) {
			set = append(set, m)
		}
	}
	return set
}

// preference orders voters when some must be removed: those that hold the newest value are kept first.
func preference(m Machine) int {
	if m.Health == Healthy {
		return 0
	}
	return 1
}

// sameAddressFirst sorts learners at the address of a voter to be replaced to the front: they are restarts of the same
// machine.
func sameAddressFirst(candidates, replaceable []Machine) []Machine {
	out := slices.Clone(candidates)
	slices.SortStableFunc(out, func(a, b Machine) int {
		return cmp.Compare(addressRank(replaceable, a), addressRank(replaceable, b))
	})
	return out
}

func addressRank(replaceable []Machine, m Machine) int {
	if hasAddress(replaceable, m.Replica.Address) {
		return 0
	}
	return 1
}

func hasAddress(set []Machine, address string) bool {
	return slices.ContainsFunc(set, func(m Machine) bool { return m.Replica.Address == address })
}

// fillBySpread adds machines to a set until it has size members, each time the first machine whose region and zone have
// the fewest members in the set.
func fillBySpread(set, from []Machine, size int) []Machine {
	set, from = slices.Clone(set), slices.Clone(from)
	for len(set) < size && len(from) > 0 {
		at := 0
		for i := range from {
			if colocated(set, from[i]) < colocated(set, from[at]) {
				at = i
			}
		}
		set = append(set, from[at])
		from = slices.Delete(from, at, at+1)
	}
	return set
}

// colocated scores how many members of a set share a machine's region or zone; one shared region outweighs all shared
// zones.
func colocated(set []Machine, m Machine) (n int) {
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

// rebalance replaces one voter by a learner if only that makes the set tolerate the loss of zones or regions.
func rebalance(present, candidates []Machine, t Tolerance) []Machine {
	if tolerates(present, t) {
		return present
	}
	for at := range present {
		for _, m := range candidates {
			set := slices.Clone(present)
			set[at] = m
			if tolerates(set, t) {
				return set
			}
		}
	}
	return present
}

// tolerates reports whether a majority remains after the loss of the zones or regions with the most members.
func tolerates(set []Machine, t Tolerance) bool {
	zone := func(m Machine) string { return m.Zone }
	region := func(m Machine) string { return m.Region }
	return len(set)-membersInLargest(set, zone, t.Zones) > len(set)/2 && len(set)-membersInLargest(set, region, t.Regions) > len(set)/2
}

// membersInLargest counts the members in the n zones or regions with the most members.
func membersInLargest(set []Machine, place func(Machine) string, n int) (lost int) {
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

// hasHealthyMajority reports whether a majority of a set answers and stores the newest value.
func hasHealthyMajority(set []Machine) bool {
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

func sameReplicas(a, b []Machine) bool { return slices.Equal(replicas(a), replicas(b)) }
