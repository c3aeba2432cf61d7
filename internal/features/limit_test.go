package features

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestLimits(t *testing.T) {
	d, err := Parse([]byte(good+`limit "all" {
  for = "fleet"
  scans_per_s = 200
}
limit "each" {
  for = "tenant"
  open_scans = 40
  mode = "available"
  alone = 0.5
}
`), "/etc/f.hcl", "n1")
	require.NoError(t, err)
	assert.Equal(t, []Limit{{Name: "all", For: "fleet", Rate: 200, Burst: 100, Term: time.Second},
		{Name: "each", For: "tenant", Open: 40, Burst: 1, Available: true, Alone: 0.5, Term: time.Second, Linger: 10 * time.Second, Owners: 5}}, d.Limits)
	none, err := Parse([]byte(good), "/etc/f.hcl", "n1")
	require.NoError(t, err)
	assert.Equal(t, []string{"limit"}, none.Differ(d))
	other, err := Parse([]byte(good+"limit \"all\" {\n  for = \"fleet\"\n  scans_per_s = 90\n}\nlimit \"each\" {\n  for = \"tenant\"\n  open_scans = 4\n  mode = \"available\"\n  alone = 0.5\n}\n"), "/etc/f.hcl", "n1")
	require.NoError(t, err)
	assert.Empty(t, d.Differ(other), "sizes are taken up in service")
}

// Directories lie beside the document unless they say otherwise; each has its own.
func TestWhereThingsLast(t *testing.T) {
	limit := "limit \"a\" {\n  for = \"fleet\"\n  open_scans = 1\n}\n"
	verdicts := strings.Replace(good, "  duty \"probing\"", "  verdicts {\n    dir = \"orders\"\n  }\n  duty \"probing\"", 1)
	d, err := Parse([]byte(verdicts+limit+"limits {\n  dir = \"lent\"\n}\n"), "/etc/f.hcl", "n1")
	require.NoError(t, err)
	assert.Equal(t, "/etc/lent", d.Lent)
	assert.Equal(t, "/etc/orders", d.Sharing.Verdicts.Dir)
	other, err := Parse([]byte(good+limit), "/etc/f.hcl", "n1")
	require.NoError(t, err)
	assert.Equal(t, []string{"sharing.Verdicts", "limits"}, other.Differ(d), "both wait for a restart")
	for text, want := range map[string]string{
		"limits {\n  dir = \"lent\"\n}":               "there is no limit block: nothing is lent",
		limit + "limits {\n}":                         "dir",
		limit + "limits {\n  dir = \"\"\n}":           "limits.dir: a directory is needed",
		limit + "limits {\n  dir = \"/var/votes\"\n}": "votes on leases are stored there",
	} {
		_, err := Parse([]byte(good+text), "/etc/f.hcl", "n1")
		assert.ErrorContains(t, err, want, text)
		assert.ErrorContains(t, err, "f.hcl:", text)
	}
}

func TestBadLimits(t *testing.T) {
	for text, want := range map[string]string{
		"limit \"a\" {\n  for = \"all\"\n  scans_per_s = 1\n}":                                                         `"all" is neither fleet, cell nor tenant`,
		"limit \"a\" {\n  for = \"fleet\"\n}":                                                                          "one of scans_per_s, open_scans, work_ms and further_per_s is needed",
		"limit \"a\" {\n  for = \"fleet\"\n  scans_per_s = 1\n  open_scans = 1\n}":                                     "one of scans_per_s, open_scans, work_ms and further_per_s is needed",
		"limit \"a\" {\n  for = \"fleet\"\n  open_scans = 1\n  burst = 2\n}":                                           "goes with scans_per_s and further_per_s alone",
		"limit \"a\" {\n  for = \"fleet\"\n  scans_per_s = -1\n}":                                                      "scans_per_s",
		"limit \"a\" {\n  for = \"fleet\"\n  scans_per_s = 1\n  mode = \"loose\"\n}":                                   `"loose" is neither strict nor available`,
		"limit \"a\" {\n  for = \"fleet\"\n  scans_per_s = 1\n  alone = 0.5\n}":                                        "a strict limit is never passed",
		"limit \"a\" {\n  for = \"fleet\"\n  scans_per_s = 1\n  term = \"1ms\"\n}":                                     "term",
		"limit \"a\" {\n  for = \"tenant\"\n  further_per_s = 5\n}":                                                    "there is one such limit, for the fleet",
		"limit \"a b\" {\n  for = \"fleet\"\n  scans_per_s = 1\n}":                                                     "without spaces and slashes",
		"limit \"a\" {\n  for = \"fleet\"\n  open_scans = 1\n}\nlimit \"a\" {\n  for = \"fleet\"\n  open_scans = 1\n}": "twice",
	} {
		_, err := Parse([]byte(good+text), "/etc/f.hcl", "n1")
		assert.ErrorContains(t, err, want, text)
		assert.ErrorContains(t, err, "f.hcl:", text)
	}
	_, err := Parse([]byte("limit \"a\" {\n  for = \"fleet\"\n  open_scans = 1\n}"), "/etc/f.hcl", "n1")
	assert.ErrorContains(t, err, "it needs a sharing block with members")
}
