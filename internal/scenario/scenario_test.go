package scenario

import (
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/internal/emulator"
	"gullstair/scenarios"
)

// Every embedded scenario is valid, and together they cover at least 19 kinds of faults.
func TestEmbeddedScenarios(t *testing.T) {
	entries, err := scenarios.Files.ReadDir(".")
	require.NoError(t, err)
	assert.GreaterOrEqual(t, len(entries), 12)
	kinds := map[string]bool{}
	for _, e := range entries {
		text, err := scenarios.Files.ReadFile(e.Name())
		require.NoError(t, err)
		s, err := Parse(text, e.Name())
		require.NoError(t, err)
		assert.NotEmpty(t, s.About, s.Name)
		for _, f := range s.Faults {
			kinds[f.Kind] = true
		}
	}
	assert.GreaterOrEqual(t, len(kinds), 19, "kinds of faults in the embedded scenarios: %v", kinds)
}

func TestFaults(t *testing.T) {
	text, err := scenarios.Files.ReadFile("calm.hcl")
	require.NoError(t, err)
	valid := strings.Replace(string(text), "30s", "45s", 1) + "fault \"die\" {\n  at  = \"10s\"\n  for = \"12s\"\n  share = 0.33\n}\n"
	_, err = Parse([]byte(valid), "x.hcl")
	require.NoError(t, err)
	line := func(of string) string {
		for i, l := range strings.Split(valid, "\n") {
			if strings.Contains(l, of) {
				return "x.hcl:" + strconv.Itoa(i+1) + ": "
			}
		}
		return "nowhere"
	}
	for _, c := range []struct{ old, changed, at, want string }{
		{`fault "die"`, `fault "earthquake"`, `fault "die"`, "fault earthquake: unknown kind of fault; the kinds are: abuse, "},
		{`at  = "10s"`, `at  = "1 s"`, `at  = "10s"`, `fault die.at: "1 s" is not a duration from 0s to 2h0m0s`},
		{`at  = "10s"`, `at  = "50s"`, `at  = "10s"`, "fault die.at: it begins after the end of the run"},
		{`at  = "10s"`, `at  = "-1s"`, `at  = "10s"`, `fault die.at: "-1s" is not a duration`},
		{`share = 0.33`, `share = 1`, `share = 0.33`, "fault die.share: no store is left"},
		{`share = 0.33`, `stores = ["s-0099"]`, `share = 0.33`, `fault die.stores: there is no store "s-0099"; they are s-0000 to s-0011`},
		{`share = 0.33`, `zone = "moon"`, `share = 0.33`, `fault die.zone: there is no zone "moon"`},
		{`share = 0.33`, `shere = 0.33`, `share = 0.33`, "Unsupported argument"},
		{`stores  = 12`, `stores  = 3`, `cells   = 4`, "fleet.cells: 4 cells and 3 stores"},
		{`stores  = 12`, `stores  = 0`, `stores  = 12`, "fleet.stores: 0 is not from 1 to 5000"},
		{`scans_per_s = 90`, `scans_per_s = -1`, `scans_per_s = 90`, "traffic.scans_per_s: -1 is not from 0.1 to 100000"},
		{`"keyed"`, `"maybe"`, `"keyed"`, `table_type fix.effect: "maybe" is not replayable, keyed or non-replayable`},
		{`parts        = 8`, `parts        = 80`, `parts        = 8`, "table_type report.parts: 80 parts, but there are 16 shards"},
		{`length = "45s"`, `length = "45"`, `length = "45s"`, `length: "45" is not a duration from 1s to 2h0m0s`},
	} {
		require.Contains(t, valid, c.old)
		_, err := Parse([]byte(strings.Replace(valid, c.old, c.changed, 1)), "x.hcl")
		if assert.Error(t, err, c.changed) {
			assert.True(t, strings.HasPrefix(err.Error(), line(c.at)), "%s: %v", c.changed, err)
			assert.Contains(t, err.Error(), c.want)
		}
	}
	for text, want := range map[string]string{"": "x.hcl:1: length: ", `length = "5s"`: "x.hcl:1: fleet: a fleet block is required",
		"length = ": "x.hcl:1: "} {
		_, err := Parse([]byte(text), "x.hcl")
		assert.ErrorContains(t, err, want)
	}
	_, err = Read("/nowhere")
	assert.ErrorContains(t, err, "scenario: ")
}

func TestExpectations(t *testing.T) {
	s := &Scenario{Expect: []Expectation{{Figure: "service", Least: 0.9, Most: -1}, {Figure: "p99_ms", Least: -1, Most: 100}}}
	assert.Empty(t, s.Check(emulator.Figures{Service: 0.95, P99: 50}))
	assert.Len(t, s.Check(emulator.Figures{Service: 0.85, P99: 150}), 2)
}

// A scenario inherits whole blocks from its base, but neither faults nor expectations.
func TestBase(t *testing.T) {
	s, err := Parse([]byte("base = \"calm\"\nlength = \"10s\"\nlimit \"all\" {\n  for = \"fleet\"\n  scans_per_s = 50\n}\nfault \"broker_loss\" {\n  at = \"1s\"\n  for = \"2s\"\n}\n"), "x.hcl")
	require.NoError(t, err)
	assert.Equal(t, 12, s.Fleet.Stores)
	assert.Equal(t, 10000.0, s.Length)
	assert.Len(t, s.Fleet.Types, 3)
	assert.Empty(t, s.Expect)
	assert.Equal(t, []emulator.FleetLimit{{Name: "all", Scope: "fleet", Rate: 50, Burst: 10, LoanTerm: 1000}}, s.Fleet.Limits)
	assert.Equal(t, 0.3, s.Faults[0].Size)
	for text, want := range map[string]string{
		"base = \"none\"\n":          `x.hcl:1: base: there is no scenario "none" in the same folder or in the program`,
		"base = \"greedy-tenant\"\n": "x.hcl:1: base: greedy-tenant has a base of its own, which a base may not have",
		"base = \"calm\"\nlimit \"all\" {\n  for = \"all\"\n  scans_per_s = 5\n}\n":                                      `x.hcl:3: limit all.for: "all" is not fleet, cell or tenant`,
		"base = \"calm\"\nlimit \"all\" {\n  for = \"fleet\"\n}\n":                                                       "x.hcl:2: limit all: exactly one of scans_per_s and open_scans is required",
		"base = \"calm\"\nlimit \"a\" {\n  for = \"fleet\"\n  open_scans = 0\n}\n":                                       "x.hcl:4: limit a.open_scans: 0 is not from 1 to 1000000",
		"base = \"calm\"\nfault \"broker_loss\" {\n  at = \"1s\"\n  for = \"2s\"\n  size = 2\n}\n":                       "x.hcl:5: fault broker_loss.size: 2 is not a share from 0 to 1",
		"about = \"no length\"\nfleet {\n  zones = [\"a\"]\n  cells = 1\n  shards = 1\n  stores = 1\n  brokers = 1\n}\n": `x.hcl:1: length: "" is not a duration from 1s to 2h0m0s`,
	} {
		_, err := Parse([]byte(text), "x.hcl")
		assert.EqualError(t, err, want)
	}
}
