package planted

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"text/tabwriter"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	all  = flag.Bool("planted", false, "plant every fault and run the proofs on it (takes minutes)")
	only = flag.String("fault", "", "plant only faults whose names have this prefix")
	by   = flag.String("by", "", "run only the proof with this name")
)

const root = "../.."

// The text that each fault replaces occurs exactly once, so that all faults can be planted for the table in docs/results.md.
func TestFaultsFit(t *testing.T) {
	names := map[string]bool{}
	for _, f := range Faults {
		_, err := Apply(root, t.TempDir(), f)
		assert.NoError(t, err)
		assert.False(t, names[f.Name], f.Name)
		assert.NotEqual(t, f.Old, f.New)
		names[f.Name] = true
	}
	assert.GreaterOrEqual(t, len(Faults), 15)
	_, err := Apply(root, t.TempDir(), Fault{Name: "none", File: leaseFile, Old: "no such text"})
	assert.ErrorContains(t, err, "occurs 0 times")
}

// With -planted: at least one proof detects each fault.
func TestPlanted(t *testing.T) {
	if !*all && *only == "" {
		t.Skip("only with -planted")
	}
	dir, err := os.Getwd()
	require.NoError(t, err)
	repository := strings.TrimSuffix(dir, "/internal/planted")
	var mu sync.Mutex
	found := map[string]Found{}
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, max(1, runtime.NumCPU()-2))
	for _, f := range Faults {
		if !strings.HasPrefix(f.Name, *only) {
			continue
		}
		for _, p := range Proofs {
			if *by != "" && p.Name != *by || !strings.HasPrefix(f.Name, p.FaultPrefix) || p.FaultPrefix == "" && strings.Contains(f.Name, ": ") {
				continue
			}
			wg.Go(func() {
				semaphore <- struct{}{}
				defer func() { <-semaphore }()
				r, err := Try(repository, f, p)
				assert.NoError(t, err)
				mu.Lock()
				found[f.Name+p.Name] = r
				mu.Unlock()
			})
		}
	}
	wg.Wait()
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for _, f := range Faults {
		if !strings.HasPrefix(f.Name, *only) {
			continue
		}
		line, detected := f.Name, false
		for _, p := range Proofs {
			r := found[f.Name+p.Name]
			if cell := "-"; r.Found {
				detected = true
				cell = fmt.Sprintf("%s (%.1f s)", r.After, r.Seconds)
				line += "\t" + cell
			} else {
				line += "\t" + cell
			}
		}
		fmt.Fprintln(w, line)
		assert.True(t, detected, "%s: no proof detects it", f.Name)
	}
	w.Flush()
}
