package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gullstair/internal/emulator"
)

// shortScenario writes a scenario of a small fleet that lasts some seconds, with a fault.
func shortScenario(t *testing.T, fault string) string {
	text, err := os.ReadFile("../../scenarios/first-look.hcl")
	require.NoError(t, err)
	s := string(text)
	head, _, _ := strings.Cut(s, `fault "`)
	for old, is := range map[string]string{`"10s"`: `"3s"`, "timeout_ms   = 4000": "timeout_ms   = 1500", "timeout_ms       = 2000": "timeout_ms       = 1000",
		"timeout_ms   = 1500": "timeout_ms   = 1000"} {
		head = strings.ReplaceAll(head, old, is)
	}
	path := filepath.Join(t.TempDir(), "short.hcl")
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(head, "target_ms    = 1500", "target_ms    = 900", 1)+fault), 0o600))
	return path
}

// TestRehearseOnLoopback plays a scenario with real brokers on loopback: a store stops answering, a broker is killed
// and restarted, and no rule is broken.
func TestRehearseOnLoopback(t *testing.T) {
	t.Setenv("GULLSTAIR_TEST_CHILD", "1")
	path := shortScenario(t, `fault "mute" {
  at  = "500ms"
  for = "2s"
  share = 0.1
}
fault "broker_kill" {
  at  = "1s"
  for = "500ms"
  share = 0.5
}
`)
	report := filepath.Join(t.TempDir(), "report.json")
	var out bytes.Buffer
	require.NoError(t, run([]string{"rehearse", path, "--loopback", "--json", report}, &out), out.String())
	text, err := os.ReadFile(report)
	require.NoError(t, err)
	var f emulator.Figures
	require.NoError(t, json.Unmarshal(text, &f))
	assert.Empty(t, f.Violations)
	assert.Greater(t, f.Scans, 150)
	assert.Greater(t, f.Service, 0.5)
	assert.Contains(t, out.String(), "broker_kill begins")
}

// TestRehearseInterrupted checks that an interrupt ends a run with a report of the part that was played, and leaves no
// process.
func TestRehearseInterrupted(t *testing.T) {
	t.Setenv("GULLSTAIR_TEST_CHILD", "1")
	time.AfterFunc(1500*time.Millisecond, func() { syscall.Kill(os.Getpid(), syscall.SIGINT) })
	var out bytes.Buffer
	begun := time.Now()
	require.NoError(t, run([]string{"rehearse", "first-look", "--loopback"}, &out))
	assert.Less(t, time.Since(begun), 8*time.Second)
	assert.Contains(t, out.String(), "interrupted")
	_, err := syscall.Wait4(-1, nil, syscall.WNOHANG, nil)
	assert.ErrorIs(t, err, syscall.ECHILD, "no child is left")
}

func TestRehearseCommand(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, run([]string{"rehearse", "--list"}, &out))
	assert.Contains(t, out.String(), "third-dies")
	out.Reset()
	require.NoError(t, run([]string{"rehearse", shortScenario(t, ""), "--json", "-"}, &out))
	assert.Contains(t, out.String(), `"service"`)
	assert.ErrorContains(t, run([]string{"rehearse", "nowhere"}, &out), `no scenario "nowhere"`)
	assert.ErrorIs(t, run([]string{"rehearse", shortScenario(t, "expect \"service\" {\n  least = 1.1\n}\n")}, &out), errRehearsalFailed)
	assert.ErrorContains(t, run([]string{"rehearse", "calm", "--loopback", "--policy", "least"}, &out), "virtual time")
}
