package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gullstair/internal/fleettest"
)

// aggregatorCrowd is a broker of the aggregator alone.
type aggregatorCrowd struct {
	*crowd
	port string
}

// newAggregatorCrowd starts a broker with little memory and the default number of sockets.
func newAggregatorCrowd(t *testing.T) *aggregatorCrowd {
	t.Helper()
	program := buildProgram(t)
	const sockets = 1024
	start := startTree(t)
	start["limits"] = map[string]any{"memory_mb": crowdMemoryMB, "sockets": sockets}
	f, err := fleettest.New(fleettest.Config{Dir: t.TempDir(), Members: 1, Program: []string{program, "serve", "--log", "error"}, Start: start, Seed: 1,
		Features: func(*fleettest.Member) (string, string) {
			return fmt.Sprintf("  key \"1\" {\n    secret = %q\n  }\n", strings.Repeat("5e", 32)), ""
		}})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	require.NoError(t, f.LaunchAll())
	host, port, err := net.SplitHostPort(f.Members[0].Listen)
	require.NoError(t, err)
	c := &aggregatorCrowd{port: port, crowd: &crowd{t: t, process: f.Members[0].Process, ip: host, memoryMB: crowdMemoryMB, files: sockets, stop: make(chan struct{})}}
	c.attempt = c.sendOrdinary
	c.healthy = func() bool { return f.Members[0].Query("sharing", &struct{}{}) == nil }
	c.ordinary()
	return c
}

// sendOrdinary asks for the health of the broker, which has no stores: any answer counts.
func (c *aggregatorCrowd) sendOrdinary() (served bool, again time.Duration) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	response, err := client.Get("http://" + net.JoinHostPort(c.ip, c.port) + "/healthz")
	if err != nil {
		return false, 0
	}
	response.Body.Close()
	return true, 0
}
