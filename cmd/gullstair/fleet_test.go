package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validSettings = `node_name=n
ip=127.0.0.1
zone=z
listen.control=127.0.0.1:1
ephemeral_ports=7000,7001
`

func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestFleetCommands(t *testing.T) {
	t.Setenv("GULLSTAIR_SETTINGS", "")
	valid, invalid := write(t, "valid.conf", validSettings), write(t, "invalid.conf", "node_name=n\nip=x\n")
	for name, c := range map[string]struct {
		args []string
		out  string
		err  string
	}{
		"valid settings":          {[]string{"check-settings", "--settings", valid}, "the settings are valid", ""},
		"invalid settings":        {[]string{"check-settings", "-s", invalid}, "", "zone is missing"},
		"no settings":             {[]string{"check-settings"}, "", "GULLSTAIR_SETTINGS is not set"},
		"valid configuration":     {[]string{"check-config", write(t, "c.json", `{"version":3}`)}, "version 3 is valid: 0 routes, 0 services", ""},
		"invalid configuration":   {[]string{"check-config", write(t, "c.json", `{"version":0}`)}, "", "version 0 is not above 0"},
		"unknown file":            {[]string{"check-config", "nowhere.json"}, "", "nowhere.json"},
		"status of a closed port": {[]string{"status", "127.0.0.1:1"}, "", "query the broker"},
		"broker without settings": {[]string{"broker"}, "", "GULLSTAIR_SETTINGS is not set"},
	} {
		t.Run(name, func(t *testing.T) {
			if !isFleetCommand(c.args) {
				t.Fatal("not recognized as a command of the router fleet")
			}
			var out bytes.Buffer
			err := runFleet(c.args, &out)
			if c.err == "" && err != nil || c.err != "" && (err == nil || !strings.Contains(err.Error(), c.err)) {
				t.Errorf("error %v, want %q", err, c.err)
			}
			if !strings.Contains(out.String(), c.out) {
				t.Errorf("output %q, want %q", out.String(), c.out)
			}
		})
	}
	if isFleetCommand([]string{"check-config"}) || isFleetCommand([]string{"serve"}) || isFleetCommand(nil) {
		t.Error("a command of the aggregator is recognized as one of the router fleet")
	}
}
