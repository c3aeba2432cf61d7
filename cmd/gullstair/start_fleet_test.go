package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newStartFleet returns brokers with these settings that have not been started; the first ones have a disk. Tests have
// different numbers.
func newStartFleet(t *testing.T, number, brokers, core int, extra ...string) []*controlProcess {
	ip := fmt.Sprintf("127.15.%d", number)
	var all []*controlProcess
	for member := 1; member <= brokers; member++ {
		c := &controlProcess{t: t, ip: fmt.Sprintf("%s.%d", ip, member), seeds: ip + ".1:18381," + ip + ".2:18381," + ip + ".3:18381", extra: extra,
			folder: t.TempDir(), disk: member <= core, bootstrap: true}
		t.Cleanup(func() { c.process.Kill() })
		all = append(all, c)
	}
	return all
}

// TestMachinesStartApart guards against a fleet that is never founded because its machines start seconds apart, in any
// order, or because one of them never comes.
func TestMachinesStartApart(t *testing.T) {
	const apart = 4 * time.Second
	for missing := range 4 { // 0 to 2 are seeds, 3 is the fourth disk
		t.Run(strconv.Itoa(missing), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(uint64(missing), 83))
			all := newStartFleet(t, missing, 6, 4)
			var started []*controlProcess
			for _, at := range rng.Perm(len(all)) {
				if at == missing {
					continue
				}
				time.Sleep(time.Duration(rng.Int64N(int64(apart))))
				all[at].start()
				started = append(started, all[at])
			}
			require.Equal(t, http.StatusOK, replace(t, started, 0, 1))
			for _, c := range started {
				awaitNewest(t, c, 1, startWithin)
			}
		})
	}
}

// TestStartsWithALargeState guards against processes that exceed their memory when all of them start at once with a large
// configuration, and each sends it to the others.
func TestStartsWithALargeState(t *testing.T) {
	const (
		memoryMB = 64
		routes   = 4000
		rounds   = 5
	)
	program := buildProgram(t)
	all := newStartFleet(t, 20, 6, 4, fmt.Sprintf("limits.memory_mb=%d", memoryMB))
	for _, c := range all {
		c.programs = []string{program}
		c.start()
	}
	require.Equal(t, http.StatusOK, replaceText(t, all, 0, largeConfiguration(1, routes)))
	for round := range rounds {
		for _, c := range all {
			c.process.Kill()
		}
		for _, c := range all {
			c.start()
		}
		require.Equal(t, http.StatusOK, replaceText(t, all, 1+round, largeConfiguration(2+round, routes)))
		for _, c := range all {
			require.Less(t, peakMemoryMB(c.process.Pid()), memoryMB, "%s in round %d", c.ip, round)
		}
	}
}

// largeConfiguration returns a valid configuration with this many routes.
func largeConfiguration(version, routes int) string {
	var text strings.Builder
	fmt.Fprintf(&text, `{"version":%d,"services":[{"name":"s"}],"routes":[`, version)
	for number := range routes {
		if number > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, `{"name":"route-%d-%d","host":"host-%d.example","path_prefix":"/v%d/p%d/","kind":"safe","timeout_ms":1000,"service":"s"}`, version, number, number, version, number)
	}
	text.WriteString("]}")
	return text.String()
}

// replaceText sends a configuration to one broker after the other until one gives a definite answer.
func replaceText(t *testing.T, brokers []*controlProcess, base int, text string) int {
	for begun := time.Now(); time.Since(begun) < 2*controlTimeout; time.Sleep(20 * time.Millisecond) {
		for _, c := range brokers {
			status, _ := c.call(5*time.Second, http.MethodPost, "/v1/config/replace", strconv.Itoa(base), text)
			if status != 0 && status < 500 {
				return status
			}
		}
	}
	t.Fatalf("a configuration of %d bytes on %d got no definite answer", len(text), base)
	return 0
}
