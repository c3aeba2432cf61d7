package voters

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gullstair/internal/register"
)

// parseMachine parses an address and disk, then optionally @zone, health, "settled" and "departed": "b7 @zb silent".
func parseMachine(text string) Machine {
	m := Machine{Region: "r", Zone: "z" + text[:1], Health: Healthy}
	fields := strings.Fields(text)
	m.Settled, m.Departed = slices.Contains(fields, "settled"), slices.Contains(fields, "departed")
	_, _ = fmt.Sscanf(fields[0], "%1s%d", &m.Replica.Address, &m.Replica.Disk)
	for _, f := range fields[1:] {
		if name, zone := strings.CutPrefix(f, "@"); zone {
			m.Zone = name
			continue
		}
		for h := Unknown; h <= Replaced; h++ {
			if h.String() == f {
				m.Health = h
			}
		}
	}
	return m
}

func parseMachines(text string) (out []Machine) {
	for text := range strings.SplitSeq(text, ",") {
		if text = strings.TrimSpace(text); text != "" {
			out = append(out, parseMachine(text))
		}
	}
	return out
}

func replicaNames(set []register.Replica) string {
	var out []string
	for _, r := range set {
		out = append(out, fmt.Sprint(r.Address, r.Disk))
	}
	return strings.Join(out, " ")
}

func TestPlan(t *testing.T) {
	one := Tolerance{Machines: 1}
	for name, c := range map[string]struct {
		voters, learners string
		tolerance        Tolerance
		want             string // empty: nothing changes
	}{
		"all are healthy":                       {"a1,b1,c1", "d1", one, ""},
		"a voter is lost":                       {"a1,b1,c1 silent", "d1", one, "a1 b1 d1"},
		"no learner: the voter stays":           {"a1,b1,c1 silent", "", one, ""},
		"a lagging learner gets no vote":        {"a1,b1,c1 silent", "d1 lagging", one, ""},
		"a new learner is no fourth voter":      {"a1,b1,c1 unknown", "d1", one, ""},
		"a new disk takes its machine's place":  {"a1,b1,c1 silent", "c2", one, "a1 b1 c2"},
		"a lost disk: the same machine first":   {"a1,b1,c1 replaced", "b7 @zb,c2", one, "a1 b1 c2"},
		"a lost disk: any learner if it lags":   {"a1,b1,c1 replaced", "c2 lagging,d1", one, "a1 b1 d1"},
		"a leaving voter is replaced":           {"a1,b1 leaving,c1", "d1", one, "a1 c1 d1"},
		"a leaving voter stays without learner": {"a1,b1 leaving,c1", "", one, ""},
		"two lost, one learner":                 {"a1,b1 silent,c1 silent", "d1", one, "a1 b1 d1"},
		"no change without a healthy majority":  {"a1,b1 lagging,c1 silent", "", one, ""},
		"four voters of an older version":       {"a1,b1,c1,d1", "", one, "a1 b1 c1"},
		"four voters, one lost":                 {"a1,b1 silent,c1,d1", "", one, "a1 c1 d1"},
		"one voter grows to three at once":      {"a1", "b1,c1", one, "a1 b1 c1"},
		"one voter does not grow to two":        {"a1", "b1", one, ""},
		"two losses of five":                    {"a1,b1 silent,c1,d1,e1 replaced", "f1,g1", Tolerance{Machines: 2}, "a1 c1 d1 f1 g1"},
		"the loss of a zone is tolerated":       {"a1 @x,b1 @x,c1 @y", "d1 @z", Tolerance{Machines: 1, Zones: 1}, "b1 c1 d1"},
		"the emptiest zone first":               {"a1 @x,b1 @y,c1 silent", "d1 @x,e1 @z", one, "a1 b1 e1"},
		"unknown voters are not replaced":       {"a1,b1 unknown,c1 unknown", "d1", one, ""},
		"two leaving voters go in one step":     {"a1,b1 leaving,c1 leaving", "d1,e1", one, "a1 d1 e1"},
		"two settled learners are added":        {"a1,b1,c1", "d1 settled,e1 settled", one, "a1 b1 c1 d1 e1"},
		"new learners are not added":            {"a1,b1,c1", "d1 settled,e1", one, ""},
		"one settled learner is not added":      {"a1,b1,c1", "d1 settled", one, ""},
		"none is added beside a lost voter":     {"a1,b1,c1 silent", "d1 settled,e1 settled", one, "a1 b1 d1"},
		"none is added beside a lost disk":      {"a1,b1,c1 replaced", "c2 settled,d1 settled", one, "a1 b1 c2"},
		"all of seven, four of them cut off":    {"a1,b1,c1,d1,e1 silent,f1 silent,g1 silent", "", Tolerance{Machines: 2}, ""},
		"one departed voter keeps its vote":     {"a1,b1,c1,d1,e1 silent departed", "", one, ""},
		"two departed voters are removed":       {"a1,b1,c1,d1 silent departed,e1 silent departed", "", one, "a1 b1 c1"},
		"the minimum of departed voters stays":  {"a1,b1 silent departed,c1 silent departed", "", one, ""},
		"a departed voter is replaced":          {"a1,b1,c1,d1,e1 silent departed", "f1", one, "a1 b1 c1 d1 f1"},
	} {
		t.Run(name, func(t *testing.T) {
			next, due := Plan(parseMachines(c.voters), parseMachines(c.learners), c.tolerance)
			if got := replicaNames(next); got != c.want || due != (c.want != "") {
				t.Errorf("%q %t, want %q", got, due, c.want)
			}
		})
	}
}

func TestFirst(t *testing.T) {
	for name, c := range map[string]struct{ met, want string }{
		"three of four":  {"a1,b1,c1,d1", "a1 b1 c1"},
		"over the zones": {"a1 @x,b1 @x,c1 @y,d1 @z", "a1 c1 d1"},
		"five of six":    {"a1 @x,b1 @x,c1 @y,d1 @y,e1 @z,f1 @z", "a1 b1 c1 d1 e1"},
		"two machines":   {"a1,b1", "a1"},
		"all of seven":   {"a1,b1,c1,d1,e1,f1,g1", "a1 b1 c1 d1 e1 f1 g1"},
	} {
		t.Run(name, func(t *testing.T) {
			if got := replicaNames(Initial(parseMachines(c.met))); got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}

// TestGreaterHalf checks that, once no change is due, any group of more than half of the machines with a disk holds a
// majority of the voters, and that the tolerated losses leave a majority.
func TestGreaterHalf(t *testing.T) {
	for total := 3; total <= 9; total++ {
		for machinesLost := 1; 2*machinesLost+1 <= total; machinesLost++ {
			for initial := 3; initial <= total; initial += 2 {
				present, learners := settledFleet(total, initial)
				for range total {
					next, due := Plan(present, learners, Tolerance{Machines: machinesLost})
					if !due {
						break
					}
					present, learners = partition(slices.Concat(present, learners), next)
				}
				if missing := withoutMajority(total, present); missing != 0 {
					t.Errorf("%d machines, %d losses, %d initial voters: ended with %d voters; the group %b has no majority", total, machinesLost, initial, len(present), missing)
				}
				if len(present)-machinesLost <= len(present)/2 {
					t.Errorf("%d machines: %d voters do not tolerate the loss of %d", total, len(present), machinesLost)
				}
			}
		}
	}
}

// settledFleet returns settled machines, of which the first ones vote.
func settledFleet(total, voters int) (present, learners []Machine) {
	for i := range total {
		m := parseMachine(string(rune('a'+i)) + "1 settled")
		if i < voters {
			present = append(present, m)
		} else {
			learners = append(learners, m)
		}
	}
	return present, learners
}

// partition splits all machines into the voters and the learners.
func partition(all []Machine, next []register.Replica) (present, learners []Machine) {
	for _, m := range all {
		if slices.Contains(next, m.Replica) {
			present = append(present, m)
		} else {
			learners = append(learners, m)
		}
	}
	return present, learners
}

// withoutMajority returns a group of more than half of the machines, as a bit set, that holds no majority of the voters;
// 0 if there is none.
func withoutMajority(total int, present []Machine) int {
	for group := range 1 << total {
		if 2*bits.OnesCount(uint(group)) <= total {
			continue
		}
		votes := count(present, func(m Machine) bool { return group&(1<<(m.Replica.Address[0]-'a')) != 0 })
		if 2*votes <= len(present) {
			return group
		}
	}
	return 0
}

// TestPlansHold draws random fleets and checks the invariants of every plan: the number of voters is odd and large
// enough, a majority of the new set stores the newest value, and voters are added only for settled machines and removed
// only for departed ones.
func TestPlansHold(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	plans, grown, shrunk := 0, 0, 0
	for range 40000 {
		tolerance := Tolerance{Machines: 1 + rng.IntN(2), Zones: rng.IntN(2)}
		voters, learners := randomFleet(rng)
		if len(voters) == 0 {
			continue
		}
		next, due := Plan(voters, learners, tolerance)
		if !due {
			continue
		}
		plans++
		healthy := count(slices.Concat(voters, learners), func(m Machine) bool { return slices.Contains(next, m.Replica) && m.Health == Healthy })
		staying := count(voters, func(m Machine) bool { return !m.Health.yieldsSeat() })
		settled := count(learners, func(m Machine) bool { return m.Settled })
		departed := count(voters, func(m Machine) bool { return m.Departed })
		switch {
		case len(next) > max(len(voters), tolerance.MinVoters()) && len(next) > staying+settled:
			t.Fatalf("%d voters after %d, of which %d stay; %d learners are settled", len(next), len(voters), staying, settled)
		case len(next) < len(voters)-1 && departed < len(voters)-len(next)-1:
			t.Fatalf("%d voters after %d, of which %d have departed", len(next), len(voters), departed)
		case len(next) < min(len(voters), tolerance.MinVoters()):
			t.Fatalf("%d voters after %d, but the losses need %d", len(next), len(voters), tolerance.MinVoters())
		case len(next)%2 == 0 && len(next) != len(voters):
			t.Fatalf("%d voters after %d", len(next), len(voters))
		case 2*healthy <= len(next):
			t.Fatalf("%v: only %d of %d store the newest value", next, healthy, len(next))
		case len(next) > len(voters):
			grown++
		case len(next) < len(voters):
			shrunk++
		}
	}
	if plans < 2000 || grown < 500 || shrunk < 200 {
		t.Fatalf("only %d plans were made, %d with more voters, %d with fewer", plans, grown, shrunk)
	}
}

// randomFleet draws three to nine machines in any health, of which most vote.
func randomFleet(rng *rand.Rand) (voters, learners []Machine) {
	for i := range 3 + rng.IntN(7) {
		m := Machine{Replica: register.Replica{Address: string(rune('a' + i)), Disk: 1}, Zone: string(rune('x' + rng.IntN(3))), Health: Health(rng.IntN(6))}
		if rng.IntN(2) == 0 {
			m.Health = Healthy
		}
		m.Settled = m.Health == Healthy && rng.IntN(2) == 0
		m.Departed = m.Health == Silent && rng.IntN(2) == 0
		if rng.IntN(4) > 0 {
			voters = append(voters, m)
		} else {
			learners = append(learners, m)
		}
	}
	return voters, learners
}
