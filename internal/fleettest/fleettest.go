// Package fleettest starts a fleet of processes of the program on loopback and injects faults: it kills, stops and restarts processes, degrades the network
// separately for each direction of each pair of members, cuts one broker's connections to stores, and skews clocks. It ends each process that it starts by
// its process ID.
package fleettest

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"gullstair/internal/control"
)

// Config describes a fleet.
type Config struct {
	Dir     string         // holds all files; the caller removes it
	Members int            // number of processes
	Program []string       // command line, such as gullstair serve --log error; --features and its file are appended
	Env     []string       // added to the caller's environment
	Start   map[string]any // the start file without name, listen and discovery
	// Features returns additions to a member's features document, which already sets the control socket and, in the sharing block, listen, advertise and
	// members: text inside the sharing block, and text after it.
	Features func(m *Member) (sharing, rest string)
	Log      *os.File // receives the logs of all processes; nil gives each one a file
	PipeLogs bool     // members write their logs to pipes, copied to the files here: a limit on a member's file sizes does not apply to its log
	Seed     uint64   // for the network faults
}

// Member is one process of the fleet and its files.
type Member struct {
	Name          string
	Index         int
	Listen        string // address for clients
	Discovery     string
	UDP           string // address where it receives datagrams of other members
	Advertise     string // address of the switch, to which the others send datagrams for it
	ListedMembers int    // number of members, from the first, that its document lists; 0 lists all
	fleet         *Fleet
	*Process
	log *os.File
}

// Fleet is a set of member processes with a Switch between them.
type Fleet struct {
	Config
	Members []*Member
	Switch  *Switch
	agent   net.Listener
}

// Allocated ports lie below the kernel's ephemeral range: a client's connection could otherwise take a member's port between a kill and a restart. A process
// allocates each port once, and processes start at different offsets.
const (
	firstPort = 20000
	portCount = 12000
)

var ports atomic.Int64

func init() { ports.Store(int64(os.Getpid()) * 61) }

// FreeAddr finds a free port on loopback, releases it and returns its address.
func FreeAddr(network string) (string, error) {
	var err error
	for range portCount {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+ports.Add(1)%portCount)
		var c io.Closer
		if network == "udp" {
			c, err = net.ListenPacket("udp", addr)
		} else {
			c, err = net.Listen("tcp", addr)
		}
		if err == nil {
			c.Close()
			return addr, nil
		}
	}
	return "", fmt.Errorf("rig: no free port: %w", err)
}

// New allocates the addresses of a fleet, opens its switch and writes its files. It starts no process.
func New(p Config) (*Fleet, error) {
	f := &Fleet{Config: p}
	var err error
	if f.agent, err = net.Listen("tcp", "127.0.0.1:0"); err != nil { // discovery that never answers: members use the list in their document
		return nil, fmt.Errorf("rig: %w", err)
	}
	for i := range p.Members {
		m := &Member{Name: fmt.Sprint("n", i), Index: i, fleet: f, Discovery: f.agent.Addr().String()}
		if m.Listen, err = FreeAddr("tcp"); err == nil {
			m.UDP, err = FreeAddr("udp")
		}
		if err != nil {
			f.Close()
			return nil, fmt.Errorf("rig: %w", err)
		}
		f.Members = append(f.Members, m)
	}
	if f.Switch, err = NewSwitch(f.Members, p.Seed); err != nil {
		f.Close()
		return nil, err
	}
	for _, m := range f.Members {
		if err := m.Write(); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// Path returns the path of a member's file with this extension.
func (m *Member) Path(ending string) string {
	return filepath.Join(m.fleet.Dir, m.Name+"."+ending)
}

// Socket returns the path of a member's control socket.
func (m *Member) Socket() string { return m.Path("sock") }

// Write writes a member's start file and features document.
func (m *Member) Write() error {
	tree := map[string]any{}
	for k, v := range m.fleet.Start {
		tree[k] = v
	}
	tree["name"], tree["listen"], tree["discovery"] = m.Name, m.Listen, m.Discovery
	start, err := json.Marshal(tree)
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	if err := os.WriteFile(m.Path("json"), start, 0o600); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	var members strings.Builder
	for i, o := range m.fleet.Members {
		if m.ListedMembers > 0 && i >= m.ListedMembers {
			break
		}
		fmt.Fprintf(&members, "    %s = %q\n", o.Name, o.Advertise)
	}
	sharing, rest := m.fleet.Features(m)
	doc := fmt.Sprintf("sharing {\n  listen = %q\n  advertise = %q\n  members = {\n%s  }\n%s}\ncontrol {\n  socket = %q\n}\n%s", m.UDP, m.Advertise,
		members.String(), sharing, m.Socket(), rest)
	if err := os.WriteFile(m.Path("hcl"), []byte(doc), 0o600); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	return nil
}

// Launch starts a member's process.
func (m *Member) Launch() error {
	if m.Running() {
		return fmt.Errorf("rig: %s is already running", m.Name)
	}
	out := m.fleet.Log
	if out == nil {
		if m.log == nil {
			var err error
			if m.log, err = os.OpenFile(m.Path("log"), os.O_CREATE|os.O_TRUNC|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
				return fmt.Errorf("rig: %w", err)
			}
		}
		out = m.log
	}
	var err error
	if m.fleet.PipeLogs {
		if out, err = pipeTo(out); err != nil {
			return fmt.Errorf("rig: %w", err)
		}
		defer out.Close()
	}
	m.Process, err = Launch(append(slices.Clone(m.fleet.Program), "--features", m.Path("hcl")),
		append(slices.Clone(m.fleet.Env), "GW_CONFIG="+m.Path("json"), "RIG_CLOCK="+m.Path("clock")), out)
	return err
}

// pipeTo returns the writing end of a pipe whose data are copied to a file. It keeps reading after an error of the file, so that no writer blocks or is
// killed, until all writing ends are closed.
func pipeTo(file *os.File) (*os.File, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	go func() {
		defer r.Close()
		io.Copy(file, r)
		io.Copy(io.Discard, r)
	}()
	return w, nil
}

// Terminate sends SIGTERM as an operator does, waits for the exit, and kills the process after the timeout.
func (m *Member) Terminate(within time.Duration) {
	m.Signal(syscall.SIGTERM)
	select {
	case <-m.Ended():
	case <-time.After(within):
		m.Kill()
	}
}

// SkewClocks sets the rate of a member's monotonic clock and the offset of its wall clock. The rate takes effect at the next start, the offset at once. Only
// the program's test binary reads this file, not the program itself.
func (m *Member) SkewClocks(rate float64, wall time.Duration) error {
	path := m.Path("clock")
	if err := os.WriteFile(path+".new", fmt.Appendf(nil, "%g %d\n", rate, wall.Nanoseconds()), 0o600); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	return os.Rename(path+".new", path)
}

// Query reads a page from a member's control socket.
func (m *Member) Query(page string, v any) error { return control.Get(m.Socket(), page, v) }

// LaunchAll starts all members that are not running.
func (f *Fleet) LaunchAll() error {
	for _, m := range f.Members {
		if !m.Running() {
			if err := m.Launch(); err != nil {
				return err
			}
		}
	}
	return nil
}

// ErrTimeout is returned by WaitUntil when the condition did not hold in time.
var ErrTimeout = errors.New("rig: the condition did not hold in time")

// WaitUntil polls a condition until it holds or the timeout passes.
func WaitUntil(within time.Duration, holds func() bool) error {
	for begun := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if holds() {
			return nil
		}
		if time.Since(begun) > within {
			return ErrTimeout
		}
	}
}

// Close kills all processes of the fleet and closes the switch.
func (f *Fleet) Close() {
	for _, m := range f.Members {
		m.Kill()
		if m.log != nil {
			m.log.Close()
		}
	}
	if f.Switch != nil {
		f.Switch.Close()
	}
	f.agent.Close()
}
