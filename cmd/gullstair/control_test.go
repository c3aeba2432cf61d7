package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gullstair/internal/fleettest"
	"gullstair/internal/settings"
)

// These tests run brokers as processes, each with a loopback address and a data folder of its own. They cover what a
// fleet in virtual time can't show: real sockets, files and signals.

// controlProcess is one broker's process.
type controlProcess struct {
	t         *testing.T
	ip        string
	seeds     string
	extra     []string // settings
	logged    int64    // bytes that earlier processes wrote
	folder    string
	disk      bool
	bootstrap bool
	process   *fleettest.Process
	programs  []string // programs to start in turn; if empty, this test binary
	starts    int
	variables []string // of the environment, NAME=VALUE
	output    *os.File // standard output and error; nil: the file "out" in the folder
}

const (
	controlSeeds   = "127.9.0.1:18381,127.9.0.2:18381,127.9.0.3:18381"
	controlTimeout = 20 * time.Second
)

func newControl(t *testing.T, number int, disk, bootstrap bool) *controlProcess {
	c := &controlProcess{t: t, ip: fmt.Sprintf("127.9.0.%d", number), seeds: controlSeeds, extra: []string{"bounds.grace_s=4"}, folder: t.TempDir(),
		disk: disk, bootstrap: bootstrap}
	t.Cleanup(func() { c.process.Kill() })
	c.start()
	return c
}

// start writes the settings and starts the process.
func (c *controlProcess) start() {
	c.writeSettings(c.settings())
	c.launch()
	c.bootstrap = false
}

// settings returns the text of the settings file.
func (c *controlProcess) settings() string {
	lines := []string{"node_name=" + c.ip, "ip=" + c.ip, "zone=z", "region=r", "listen.front=" + c.ip + ":18388", "listen.readiness=" + c.ip + ":18384",
		"listen.control=" + c.ip + ":18381", "ephemeral_ports=17560,17575", "seeds=" + c.seeds, "bootstrap=" + strconv.FormatBool(c.bootstrap),
		"fault_tolerance.machines=1"}
	lines = append(lines, c.extra...)
	if c.disk {
		lines = append(lines, "counts_for_quorum=true", "data_dir="+c.data())
	}
	return strings.Join(lines, "\n")
}

// data returns the folder of the process's disk.
func (c *controlProcess) data() string { return filepath.Join(c.folder, "data") }

// settingsPath returns the path of the settings file.
func (c *controlProcess) settingsPath() string { return filepath.Join(c.folder, "local.conf") }

func (c *controlProcess) writeSettings(text string) {
	if c.disk {
		require.NoError(c.t, os.MkdirAll(c.data(), 0o700))
	}
	require.NoError(c.t, os.WriteFile(c.settingsPath(), []byte(text), 0o600))
}

// launch starts the process with the settings file as it is.
func (c *controlProcess) launch() {
	out := c.output
	if out == nil {
		file, err := os.OpenFile(filepath.Join(c.folder, "out"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		require.NoError(c.t, err)
		defer file.Close()
		c.logged, err = file.Seek(0, io.SeekEnd)
		require.NoError(c.t, err)
		out = file
	}
	program, err := os.Executable()
	require.NoError(c.t, err)
	if len(c.programs) > 0 {
		program = c.programs[c.starts%len(c.programs)]
	}
	c.starts++
	variables := append([]string{"GULLSTAIR_TEST_CHILD=1", settings.EnvironmentVariable + "=" + c.settingsPath()}, c.variables...)
	c.process, err = fleettest.Launch([]string{program, "broker"}, variables, out)
	require.NoError(c.t, err)
}

// awaitSignals waits until the process catches signals: before that the default action of each signal ends it.
func (c *controlProcess) awaitSignals() {
	for begun := time.Now(); time.Since(begun) < controlTimeout; time.Sleep(time.Millisecond) {
		text, err := os.ReadFile(filepath.Join(c.folder, "out"))
		if err == nil && bytes.Contains(text[min(c.logged, int64(len(text))):], []byte(`"broker starting"`)) {
			return
		}
	}
	c.t.Errorf("%s does not catch signals %v after its start", c.ip, controlTimeout)
}

// wipe kills the process and starts it again with an empty disk.
func (c *controlProcess) wipe() {
	c.process.Kill()
	require.NoError(c.t, os.RemoveAll(filepath.Join(c.folder, "data")))
	c.start()
}

func (c *controlProcess) call(timeout time.Duration, method, path, base, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.ip+":18381"+path, strings.NewReader(body))
	require.NoError(c.t, err)
	request.Header.Set("X-If-Base-Version", base)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

func (c *controlProcess) read() (int, string) {
	return c.call(2*time.Second, http.MethodGet, "/v1/config/read", "", "")
}

func configurationText(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h","path_prefix":"/v%d/","kind":"safe","timeout_ms":1000,"service":"s"}],"services":[{"name":"s"}]}`,
		version, version)
}

// replace sends a configuration to one broker after the other until one gives a definite answer.
func replace(t *testing.T, brokers []*controlProcess, base, version int) int {
	for begun := time.Now(); time.Since(begun) < controlTimeout; {
		for _, c := range brokers {
			status, _ := c.call(2*time.Second, http.MethodPost, "/v1/config/replace", strconv.Itoa(base), configurationText(version))
			if status != 0 && status < 500 {
				return status
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("configuration %d got no definite answer in %v", version, controlTimeout)
	return 0
}

// TestControlProcesses pauses a control process for twenty seconds, replaces another one by plan and wipes a third
// right after it, races two operators whose answers are lost, and restarts a member after hundreds of changes.
func TestControlProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("takes more than twenty seconds")
	}
	var brokers []*controlProcess
	for number := 1; number <= 4; number++ {
		brokers = append(brokers, newControl(t, number, number < 4, true))
	}
	version := 1
	require.Equal(t, http.StatusOK, replace(t, brokers, 0, version))

	stopped, others := brokers[1], []*controlProcess{brokers[0], brokers[2], brokers[3]}
	stopped.process.Signal(syscall.SIGSTOP)
	for begun := time.Now(); time.Since(begun) < 20*time.Second; version++ {
		require.Equal(t, http.StatusOK, replace(t, others, version, version+1))
		time.Sleep(200 * time.Millisecond)
	}
	stopped.process.Signal(syscall.SIGCONT)
	awaitNewest(t, stopped, version, 2*time.Second)

	successor := newControl(t, 5, true, false)
	time.Sleep(4 * time.Second) // the catch_up_s setting
	brokers[0].process.Signal(syscall.SIGTERM)
	<-brokers[0].process.Ended()
	brokers = []*controlProcess{successor, brokers[1], brokers[2], brokers[3]}
	require.Equal(t, http.StatusOK, replace(t, brokers, version, version+1))
	version++
	brokers[1].wipe()
	require.Equal(t, http.StatusOK, replace(t, brokers, version, version+1))
	version++
	time.Sleep(4 * time.Second)
	brokers[2].wipe()
	for _, c := range brokers {
		awaitNewest(t, c, version, 4*time.Second)
	}

	for race := range 20 {
		results := make(chan int, 2)
		for i, at := range []int{race, race + 1} {
			go func() {
				brokers[at%4].call(time.Duration(1+race%5)*time.Millisecond, http.MethodPost, "/v1/config/replace", strconv.Itoa(version), configurationText(version+1+i))
				results <- replace(t, brokers, version, version+1+i)
			}()
		}
		first, second := <-results, <-results
		require.ElementsMatch(t, []int{http.StatusOK, http.StatusPreconditionFailed}, []int{first, second}, "race %d", race)
		_, text := brokers[3].read()
		if text == configurationText(version+2) {
			version++
		}
		version++
		require.Equal(t, configurationText(version), text)
	}

	// The wiped member is killed as a voter: one that is killed while it is still a learner returns as one.
	awaitVoter(t, brokers[2], 4*time.Second)
	brokers[2].process.Kill()
	up := []*controlProcess{brokers[0], brokers[1], brokers[3]}
	for range 600 {
		require.Equal(t, http.StatusOK, replace(t, up, version, version+1))
		version++
	}
	brokers[2].start()
	awaitNewest(t, brokers[2], version, 3*time.Second)
	status, text := brokers[2].call(2*time.Second, http.MethodGet, "/v1/status", "", "")
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, text, votingStatus)
}

// votingStatus is the field of the status page that says that a broker's replica votes.
const votingStatus = `"standing":"voter"`

// awaitVoter waits until a broker's replica votes.
func awaitVoter(t *testing.T, c *controlProcess, within time.Duration) {
	t.Helper()
	var text string
	for begun := time.Now(); time.Since(begun) < within; time.Sleep(20 * time.Millisecond) {
		if _, text = c.call(2*time.Second, http.MethodGet, "/v1/status", "", ""); strings.Contains(text, votingStatus) {
			return
		}
	}
	t.Fatalf("%s is no voter within %v: %s", c.ip, within, text)
}

// awaitNewest reads from one broker until it returns the newest configuration and checks that it never returns an
// older one.
func awaitNewest(t *testing.T, c *controlProcess, version int, within time.Duration) {
	for begun := time.Now(); time.Since(begun) < within; {
		status, text := c.read()
		if status == http.StatusOK {
			require.Equal(t, configurationText(version), text)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%s does not return version %d within %v", c.ip, version, within)
}
