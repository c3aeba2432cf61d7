package features

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const validDocument = `sharing {
  listen = "10.0.0.4:7946"
  members = {
    n1 = "10.0.0.4:7946"
    n2 = "10.0.0.5:7946"
  }
  clock_drift = 0.02
  key "3" {
    secret = "000102030405060708090a0b0c0d0e0f"
  }
  duty "probing" {
    period = "10s"
  }
}
control {
  socket = "/run/n1.sock"
}
cells {
  holders = 2
  pins = {
    desk = "b"
  }
  cell "a" {
    open_scans = 50
  }
  cell "b" {
    scans_per_s = 10
  }
}
lease {
  dir = "/var/votes"
}
task "compact" {
  at = "30 3 * * *"
  run = ["/usr/bin/compact", "--all"]
  term = "5s"
  prefer = ["n2"]
}
`

func TestParse(t *testing.T) {
	d, err := Parse([]byte(validDocument), "/etc/f.hcl", "n1")
	require.NoError(t, err)
	s := d.Sharing
	assert.Equal(t, "10.0.0.5:7946", s.Members["n2"])
	assert.Equal(t, [3]float64{1, 0.02, 1}, [3]float64{s.Weight, s.ClockDrift, s.Pace})
	assert.Equal(t, []Duty{{"probing", 10 * time.Second}}, s.Duties)
	assert.Equal(t, uint8(3), s.Keys[0].Number)
	assert.Equal(t, "/run/n1.sock", d.Control.Socket)
	empty, err := Parse(nil, "f.hcl", "n1")
	require.NoError(t, err)
	assert.Equal(t, &Document{}, empty, "all features are off")
	assert.Equal(t, []string{"sharing", "control", "lease", "task", "cells"}, d.RestartChanges(empty))
	assert.Equal(t, Cell{Name: "a", Weight: 1, OpenScans: 50}, d.Cells.Cells[0])
	assert.Equal(t, [2]any{2, 0.5}, [2]any{d.Cells.Holders, d.Cells.MinShare})
	other, err := Parse([]byte(strings.ReplaceAll(strings.Replace(validDocument, `"10s"`, `"20s"`, 1), "0a0b", "ffff")), "f.hcl", "n1")
	require.NoError(t, err)
	assert.Equal(t, []string{"sharing.Duties"}, d.RestartChanges(other), "keys take effect without a restart")
	assert.Equal(t, Lease{Dir: "/var/votes", MaxTerm: 30 * time.Second, MaxLeases: 1000}, *d.Lease)
	task := d.Tasks[0]
	assert.Equal(t, "2026-12-02 03:30:00 +0000 UTC", task.Schedule.Next(time.Date(2026, 12, 1, 3, 30, 0, 0, time.UTC)).UTC().String())
	assert.Equal(t, [3]any{1, false, 5 * time.Second}, [3]any{task.Holders, task.RunMissedOnce, task.Term})
	text, err := os.ReadFile("../../deploy/features.hcl")
	require.NoError(t, err)
	_, err = Parse(text, "features.hcl", "n1")
	assert.NoError(t, err, "the example document is valid")
}

func TestFaults(t *testing.T) {
	for _, c := range []struct{ old, repl, want string }{
		{`clock_drift = 0.02`, `clock_drift = 3`, "f.hcl:7: sharing.clock_drift: 3 is not from 0 to 0.2"},
		{`clock_drift = 0.02`, `clok_drift = 0.02`, "f.hcl:7: Unsupported argument"},
		{`clock_drift = 0.02`, `clock_drift = "x"`, "f.hcl:7: "},
		{`listen = "10.0.0.4:7946"`, `listen = "broker1:7946"`, `f.hcl:2: sharing.listen: "broker1:7946" is not an address`},
		{`listen = "10.0.0.4:7946"`, ``, "f.hcl:1: Missing required argument"},
		{`listen = "10.0.0.4:7946"`, `listen = "10.0.0.9:7946"`, "f.hcl:3: sharing.members: this broker"},
		{`n1 = "10.0.0.4:7946"`, ``, `f.hcl:3: sharing.members: this broker, "n1", is not a member`},
		{`10.0.0.5:7946`, `10.0.0.4:7946`, "f.hcl:3: sharing.members: n1 and n2 have the same address"},
		{`key "3"`, `key "300"`, "f.hcl:8: sharing key 300: a key's label is its number"},
		{`000102030405060708090a0b0c0d0e0f`, `0001`, "f.hcl:9: sharing key 3.secret: must be 32 to 128 hex digits"},
		{`secret = "000102030405060708090a0b0c0d0e0f"`, `secret_file = "nowhere"`, "f.hcl:9: sharing key 3.secret_file: "},
		{`secret = "000102030405060708090a0b0c0d0e0f"`, ``, "f.hcl:8: sharing key 3: exactly one of secret and secret_file"},
		{`"10s"`, `"10 s"`, `f.hcl:12: sharing duty probing.period: "10 s" is not a duration from 100ms to 720h`},
		{`duty "probing"`, `duty "dancing"`, "f.hcl:11: sharing duty dancing: unknown duty"},
		{`control {`, `controls {`, "f.hcl:15: Unsupported block type"},
		{`"/run/n1.sock"`, `""`, "f.hcl:16: control.socket: must be a path"},
		{`holders = 2`, `holders = 0`, "f.hcl:19: cells.holders: 0 is not from 1 to 100"},
		{`desk = "b"`, `desk = "x"`, `f.hcl:20: cells.pins: tenant "desk" is pinned to the unknown cell "x"`},
		{`cell "b"`, `cell "a"`, "f.hcl:23: cells cell a: a cell needs a unique name"},
		{`open_scans = 50`, `open_scans = -1`, "f.hcl:24: cells cell a.open_scans: -1 is not from 1 to 1e+06"},
		{`period = "10s"`, `period = `, "f.hcl:12: "},
		{`listen = "10.0.0.4:7946"`, "listen = \"0.0.0.0:7946\"\n  advertise = \"10.0.0.9:7946\"", `f.hcl:4: sharing.members: this broker, "n1", advertises 10.0.0.9:7946`},
		{`dir = "/var/votes"`, `longest = "2h"`, `f.hcl:31: lease.longest: "2h" is not a duration from 500ms to 1h0m0s`},
		{`"30 3 * * *"`, `"30 3 * *"`, "f.hcl:34: task compact.at: expected exactly 5 fields"},
		{`at = "30 3 * * *"`, ``, "f.hcl:33: task compact: exactly one of every and at is required"},
		{`at = "30 3 * * *"`, `every = "1ms"`, `f.hcl:34: task compact.every: "1ms" is not a duration from 1s`},
		{`["/usr/bin/compact", "--all"]`, `[]`, "f.hcl:35: task compact.run: a command is required"},
		{`term = "5s"`, `on_missed = "twice"`, `f.hcl:36: task compact.on_missed: "twice" is neither skip nor once`},
		{`term = "5s"`, `holders = 0`, "f.hcl:36: task compact.holders: 0 is not from 1 to 100"},
		{`["n2"]`, `["n9"]`, `f.hcl:37: task compact.prefer: "n9" is not among the members`},
		{`task "compact"`, `task "com pact"`, "f.hcl:33: task com pact: a task needs a name"},
	} {
		require.Contains(t, validDocument, c.old)
		d, err := Parse([]byte(strings.Replace(validDocument, c.old, c.repl, 1)), "/etc/f.hcl", "n1")
		if assert.Error(t, err, c.repl) {
			assert.Contains(t, err.Error(), c.want)
		}
		_ = d
	}
	_, err := Parse([]byte("sharing {\n listen=\"1.2.3.4:5\"\n}\n"), "f.hcl", "n")
	assert.ErrorContains(t, err, "f.hcl:1: sharing: members or join is required")
	_, err = Parse([]byte("lease {\n}\n"), "f.hcl", "n")
	assert.ErrorContains(t, err, "f.hcl:1: lease: requires a sharing block with members")
	_, err = Read("/nowhere/f.hcl", "n")
	assert.ErrorContains(t, err, "features: ")
}
