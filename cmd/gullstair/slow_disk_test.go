package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gullstair/internal/cluster"
	"gullstair/internal/journalfile"
)

// These disks are slower than the machine's: each sync takes as long as a file says, which a test may change while the
// process runs.

// slowDiskVariable names the variable with the path of the file.
const slowDiskVariable = "GULLSTAIR_TEST_SYNC"

type slowDisk struct {
	journalfile.Disk
	path string
}

type slowFile struct {
	journalfile.File
	disk *slowDisk
}

// slowDiskEnvironment returns the machine's environment with slow disks.
func slowDiskEnvironment(path string) cluster.Environment {
	environment := cluster.HostEnvironment()
	open := environment.OpenDisk
	environment.OpenDisk = func(folder string) (journalfile.Disk, error) {
		disk, err := open(folder)
		return &slowDisk{disk, path}, err
	}
	return environment
}

func (d *slowDisk) wait() {
	text, _ := os.ReadFile(d.path)
	takes, _ := time.ParseDuration(strings.TrimSpace(string(text)))
	time.Sleep(takes)
}

func (d *slowDisk) Create(name string) (journalfile.File, error) {
	file, err := d.Disk.Create(name)
	return &slowFile{file, d}, err
}

func (d *slowDisk) Reserve(name string, size int64, footer []byte) (journalfile.File, error) {
	file, err := d.Disk.Reserve(name, size, footer)
	return &slowFile{file, d}, err
}

func (d *slowDisk) Append(name string, size int64) (journalfile.File, error) {
	file, err := d.Disk.Append(name, size)
	return &slowFile{file, d}, err
}

func (d *slowDisk) Sync() error {
	d.wait()
	return d.Disk.Sync()
}

func (f *slowFile) Sync() error {
	f.disk.wait()
	return f.File.Sync()
}

// setSync makes each sync of the process's disk take this long from now on.
func (c *controlProcess) setSync(takes time.Duration) {
	path := filepath.Join(c.folder, "sync")
	require.NoError(c.t, os.WriteFile(path+".new", []byte(takes.String()), 0o600))
	require.NoError(c.t, os.Rename(path+".new", path))
	if c.variables == nil {
		c.variables = []string{slowDiskVariable + "=" + path}
	}
}

// buildSlowDiskProgram builds this test binary without the race detector: the program, on slow disks.
func buildSlowDiskProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "gullstair.test")
	text, err := exec.Command("go", "test", "-c", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, "%s", text)
	return program
}
