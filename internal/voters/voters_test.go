package voters

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gullstair/internal/register"
)

// machine reads "address/disk zone health".
func machine(text string) Machine {
	m := Machine{Region: "r", Zone: "z" + text[:1], Health: Healthy}
	fields := strings.Fields(text)
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

func machines(texts string) (out []Machine) {
	for text := range strings.SplitSeq(texts, ",") {
		if text = strings.TrimSpace(text); text != "" {
			out = append(out, machine(text))
		}
	}
	return out
}

func names(set []register.Replica) string {
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
		"all are well":                          {"a1,b1,c1", "d1", one, ""},
		"a voter is lost":                       {"a1,b1,c1 silent", "d1", one, "a1 b1 d1"},
		"no learner: the seat stays":            {"a1,b1,c1 silent", "", one, ""},
		"a learner that lags takes none":        {"a1,b1,c1 silent", "d1 lagging", one, ""},
		"a newcomer is no fourth voter":         {"a1,b1,c1 unknown", "d1", one, ""},
		"a newcomer takes its predecessor's":    {"a1,b1,c1 silent", "c2", one, "a1 b1 c2"},
		"a lost disk: the same machine first":   {"a1,b1,c1 replaced", "b7 @zb,c2", one, "a1 b1 c2"},
		"a lost disk: any learner if it lags":   {"a1,b1,c1 replaced", "c2 lagging,d1", one, "a1 b1 d1"},
		"one that leaves hands over":            {"a1,b1 leaving,c1", "d1", one, "a1 c1 d1"},
		"one that leaves keeps it for want":     {"a1,b1 leaving,c1", "", one, ""},
		"two lost, one learner":                 {"a1,b1 silent,c1 silent", "d1", one, "a1 b1 d1"},
		"no change where too few hold it":       {"a1,b1 lagging,c1 silent", "", one, ""},
		"four voters of an older version":       {"a1,b1,c1,d1", "", one, "a1 b1 c1"},
		"four voters, one lost":                 {"a1,b1 silent,c1,d1", "", one, "a1 c1 d1"},
		"one voter grows to three at once":      {"a1", "b1,c1", one, "a1 b1 c1"},
		"one voter does not grow to two":        {"a1", "b1", one, ""},
		"two losses of five":                    {"a1,b1 silent,c1,d1,e1 replaced", "f1,g1", Tolerance{Machines: 2}, "a1 c1 d1 f1 g1"},
		"a zone must be borne":                  {"a1 @x,b1 @x,c1 @y", "d1 @z", Tolerance{Machines: 1, Zones: 1}, "b1 c1 d1"},
		"the emptiest zone first":               {"a1 @x,b1 @y,c1 silent", "d1 @x,e1 @z", one, "a1 b1 e1"},
		"unknown ones are not thrown out":       {"a1,b1 unknown,c1 unknown", "d1", one, ""},
		"two that leave at once go by one step": {"a1,b1 leaving,c1 leaving", "d1,e1", one, "a1 d1 e1"},
	} {
		t.Run(name, func(t *testing.T) {
			next, due := Plan(machines(c.voters), machines(c.learners), c.tolerance)
			if got := names(next); got != c.want || due != (c.want != "") {
				t.Errorf("%q %t, want %q", got, due, c.want)
			}
		})
	}
}

func TestFirst(t *testing.T) {
	for name, c := range map[string]struct {
		met       string
		tolerance Tolerance
		want      string
	}{
		"three of four":   {"a1,b1,c1,d1", Tolerance{Machines: 1}, "a1 b1 c1"},
		"over the zones":  {"a1 @x,b1 @x,c1 @y,d1 @z", Tolerance{Machines: 1}, "a1 c1 d1"},
		"five of six":     {"a1 @x,b1 @x,c1 @y,d1 @y,e1 @z,f1 @z", Tolerance{Machines: 2}, "a1 b1 c1 d1 e1"},
		"two have met":    {"a1,b1", Tolerance{Machines: 1}, "a1"},
		"nothing is told": {"a1,b1,c1,d1,e1", Tolerance{}, "a1 b1 c1"},
	} {
		t.Run(name, func(t *testing.T) {
			if got := names(First(machines(c.met), c.tolerance)); got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}

// TestPlansHold draws fleets and checks what must hold of every plan: the number of seats, that it is odd, that a
// majority of the new set holds the newest value, that nobody well loses a seat to a learner but for the spread.
func TestPlansHold(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	plans := 0
	for range 20000 {
		tolerance := Tolerance{Machines: 1 + rng.IntN(2), Zones: rng.IntN(2)}
		var voters, learners []Machine
		for i := range 3 + rng.IntN(5) {
			m := Machine{Replica: register.Replica{Address: string(rune('a' + i)), Disk: 1}, Zone: string(rune('x' + rng.IntN(3))), Health: Health(rng.IntN(6))}
			if len(voters) < tolerance.Seats() && rng.IntN(4) > 0 {
				voters = append(voters, m)
			} else {
				learners = append(learners, m)
			}
		}
		if len(voters) == 0 {
			continue
		}
		next, due := Plan(voters, learners, tolerance)
		if !due {
			continue
		}
		plans++
		healthy := 0
		for _, m := range slices.Concat(voters, learners) {
			if slices.Contains(next, m.Replica) && m.Health == Healthy {
				healthy++
			}
		}
		switch {
		case len(next) > tolerance.Seats():
			t.Fatalf("%d voters", len(next))
		case len(next)%2 == 0 && len(next) != len(voters):
			t.Fatalf("%d voters after %d", len(next), len(voters))
		case 2*healthy <= len(next):
			t.Fatalf("%v: %d of %d hold the newest value", next, healthy, len(next))
		}
	}
	if plans < 1000 {
		t.Fatalf("only %d plans were made", plans)
	}
}
