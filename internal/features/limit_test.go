package features

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestLimits(t *testing.T) {
	d, err := Parse([]byte(validDocument+`limit "all" {
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
		{Name: "each", For: "tenant", OpenScans: 40, Burst: 1, Available: true, PartitionShare: 0.5, Term: time.Second, Linger: 10 * time.Second, Owners: 5}}, d.Limits)
	none, err := Parse([]byte(validDocument), "/etc/f.hcl", "n1")
	require.NoError(t, err)
	assert.Equal(t, []string{"limit"}, none.RestartChanges(d))
	other, err := Parse([]byte(validDocument+"limit \"all\" {\n  for = \"fleet\"\n  scans_per_s = 90\n}\nlimit \"each\" {\n  for = \"tenant\"\n  open_scans = 4\n  mode = \"available\"\n  alone = 0.5\n}\n"), "/etc/f.hcl", "n1")
	require.NoError(t, err)
	assert.Empty(t, d.RestartChanges(other), "sizes take effect without a restart")
}

// Relative directories are relative to the document, and each feature needs its own.
func TestDirectories(t *testing.T) {
	limit := "limit \"a\" {\n  for = \"fleet\"\n  open_scans = 1\n}\n"
	verdicts := strings.Replace(validDocument, "  duty \"probing\"", "  verdicts {\n    dir = \"orders\"\n  }\n  duty \"probing\"", 1)
	d, err := Parse([]byte(verdicts+limit+"limits {\n  dir = \"lent\"\n}\n"), "/etc/f.hcl", "n1")
	require.NoError(t, err)
	assert.Equal(t, "/etc/lent", d.LoansDir)
	assert.Equal(t, "/etc/orders", d.Sharing.Verdicts.Dir)
	other, err := Parse([]byte(validDocument+limit), "/etc/f.hcl", "n1")
	require.NoError(t, err)
	assert.Equal(t, []string{"sharing.Verdicts", "limits"}, other.RestartChanges(d), "both require a restart")
	for text, want := range map[string]string{
		"limits {\n  dir = \"lent\"\n}":               "no limit block: there are no loans to store",
		limit + "limits {\n}":                         "dir",
		limit + "limits {\n  dir = \"\"\n}":           "limits.dir: a directory is required",
		limit + "limits {\n  dir = \"/var/votes\"\n}": "this directory already stores the votes on leases",
	} {
		_, err := Parse([]byte(validDocument+text), "/etc/f.hcl", "n1")
		assert.ErrorContains(t, err, want, text)
		assert.ErrorContains(t, err, "f.hcl:", text)
	}
}

func TestBadLimits(t *testing.T) {
	for text, want := range map[string]string{
		"limit \"a\" {\n  for = \"all\"\n  scans_per_s = 1\n}":                                                         `"all" is neither fleet, cell nor tenant`,
		"limit \"a\" {\n  for = \"fleet\"\n}":                                                                          "exactly one of scans_per_s, open_scans, work_ms and further_per_s is required",
		"limit \"a\" {\n  for = \"fleet\"\n  scans_per_s = 1\n  open_scans = 1\n}":                                     "exactly one of scans_per_s, open_scans, work_ms and further_per_s is required",
		"limit \"a\" {\n  for = \"fleet\"\n  open_scans = 1\n  burst = 2\n}":                                           "is valid only with scans_per_s or further_per_s",
		"limit \"a\" {\n  for = \"fleet\"\n  scans_per_s = -1\n}":                                                      "scans_per_s",
		"limit \"a\" {\n  for = \"fleet\"\n  scans_per_s = 1\n  mode = \"loose\"\n}":                                   `"loose" is neither strict nor available`,
		"limit \"a\" {\n  for = \"fleet\"\n  scans_per_s = 1\n  alone = 0.5\n}":                                        "a strict limit is never exceeded",
		"limit \"a\" {\n  for = \"fleet\"\n  scans_per_s = 1\n  term = \"1ms\"\n}":                                     "term",
		"limit \"a\" {\n  for = \"tenant\"\n  further_per_s = 5\n}":                                                    `only one such limit is allowed, with for = "fleet"`,
		"limit \"a b\" {\n  for = \"fleet\"\n  scans_per_s = 1\n}":                                                     "without spaces and slashes",
		"limit \"a\" {\n  for = \"fleet\"\n  open_scans = 1\n}\nlimit \"a\" {\n  for = \"fleet\"\n  open_scans = 1\n}": "duplicate limit",
	} {
		_, err := Parse([]byte(validDocument+text), "/etc/f.hcl", "n1")
		assert.ErrorContains(t, err, want, text)
		assert.ErrorContains(t, err, "f.hcl:", text)
	}
	_, err := Parse([]byte("limit \"a\" {\n  for = \"fleet\"\n  open_scans = 1\n}"), "/etc/f.hcl", "n1")
	assert.ErrorContains(t, err, "requires a sharing block with members")
}
