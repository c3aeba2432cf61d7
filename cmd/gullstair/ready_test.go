package main

import (
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/internal/fleettest"
)

// TestManyAreReadySoon starts many brokers at once on the same cores, with a discovery that never answers (so
// they serve by the list of the start file). Nine in ten must be ready within ten seconds.
func TestManyAreReadySoon(t *testing.T) {
	acquireFleetSlots(t, 1)
	const brokers, soon = 20, 10 * time.Second
	f, err := fleettest.New(fleettest.Config{Dir: t.TempDir(), Members: brokers, Program: []string{os.Args[0], "serve", "--log", "error"},
		Env: []string{"GULLSTAIR_TEST_CHILD=1"}, Start: startTree(t), Seed: 1, Features: func(*fleettest.Member) (string, string) {
			return "  key \"1\" {\n    secret = \"5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e5e\"\n  }\n", ""
		}})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, what := range []string{"first start", "after a kill of all"} {
		begun := time.Now()
		require.NoError(t, f.LaunchAll(), what)
		ready := map[string]time.Duration{}
		fleettest.WaitUntil(2*soon, func() bool {
			for _, m := range f.Members {
				if _, is := ready[m.Name]; is {
					continue
				}
				if res, err := client.Get("http://" + m.Listen + "/healthz"); err == nil {
					if res.Body.Close(); res.StatusCode == http.StatusOK {
						ready[m.Name] = time.Since(begun)
					}
				}
			}
			return len(ready) == brokers
		})
		within := 0
		for _, took := range ready {
			if took <= soon {
				within++
			}
		}
		assert.GreaterOrEqual(t, within, brokers*9/10, "%s: %v", what, ready)
		for _, m := range f.Members {
			m.Kill()
		}
	}
}
