// Package rig starts a fleet of processes of the program on loopback and puts faults between them: processes are killed, stopped and started again, each
// direction of each pair of members has a network of its own, connections to stores can be cut for one broker, clocks run wrong. Everything that it
// starts is ended by its own id.
package rig

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

// Plan is of a fleet.
type Plan struct {
	Dir     string         // for all files; the caller removes it
	Members int            // processes
	Program []string       // how one is started, such as gullstair serve --log error; --features and its file follow
	Env     []string       // beside the caller's own
	Start   map[string]any // the start file but for name, listen and discovery
	// Features is a member's document beside its sharing's listen, advertise and members and its control socket: text for within the sharing block, and
	// text behind it.
	Features func(m *Member) (sharing, rest string)
	Log      *os.File // where the processes' logs go; nil: a file for each
	Seed     uint64   // for the networks between them
}

// Member is one process and its files.
type Member struct {
	Name      string
	N         int
	Listen    string // for clients
	Discovery string
	UDP       string // where it receives members' datagrams
	Advertise string // where the others send them: the switch
	Listed    int    // so many members, the first ones, are in its document; 0: all
	fleet     *Fleet
	*Process
	log *os.File
}

// Fleet is a fleet of processes.
type Fleet struct {
	Plan
	Members []*Member
	Switch  *Switch
	agent   net.Listener
}

// Ports that are handed out lie below those that the kernel gives to connections: a client's connection once could take a member's port between two of its
// processes. Each is handed out once by a process, and processes begin at different ones.
const (
	portsFrom = 20000
	portsMost = 12000
)

var ports atomic.Int64

func init() { ports.Store(int64(os.Getpid()) * 61) }

// Loopback finds a free port on loopback and lets it go again.
func Loopback(network string) (string, error) {
	var err error
	for range portsMost {
		addr := fmt.Sprintf("127.0.0.1:%d", portsFrom+ports.Add(1)%portsMost)
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
	return "", fmt.Errorf("rig: no port is free: %w", err)
}

// New lays a fleet out: addresses, the switch and every file. Nothing runs yet.
func New(p Plan) (*Fleet, error) {
	f := &Fleet{Plan: p}
	var err error
	if f.agent, err = net.Listen("tcp", "127.0.0.1:0"); err != nil { // discovery that never answers: members go by the list they know
		return nil, fmt.Errorf("rig: %w", err)
	}
	for i := range p.Members {
		m := &Member{Name: fmt.Sprint("n", i), N: i, fleet: f, Discovery: f.agent.Addr().String()}
		if m.Listen, err = Loopback("tcp"); err == nil {
			m.UDP, err = Loopback("udp")
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

// Path is of one of a member's files, by its ending.
func (m *Member) Path(ending string) string {
	return filepath.Join(m.fleet.Dir, m.Name+"."+ending)
}

// Socket is a member's control socket.
func (m *Member) Socket() string { return m.Path("sock") }

// Write writes a member's start file and features.
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
		if m.Listed > 0 && i >= m.Listed {
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
		return fmt.Errorf("rig: %s runs already", m.Name)
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
	m.Process, err = Launch(append(slices.Clone(m.fleet.Program), "--features", m.Path("hcl")),
		append(slices.Clone(m.fleet.Env), "GW_CONFIG="+m.Path("json"), "RIG_CLOCK="+m.Path("clock")), out)
	return err
}

// End ends it as operators do, and waits; one that does not end by itself is killed.
func (m *Member) End(within time.Duration) {
	m.Signal(syscall.SIGTERM)
	select {
	case <-m.Ended():
	case <-time.After(within):
		m.Kill()
	}
}

// Bend sets a member's clocks: the rate of the one that measures, and how far off the wall clock is. The rate counts from the next start on, the wall
// clock at once. The program's test binary reads this; the program itself does not.
func (m *Member) Bend(rate float64, wall time.Duration) error {
	path := m.Path("clock")
	if err := os.WriteFile(path+".new", fmt.Appendf(nil, "%g %d\n", rate, wall.Nanoseconds()), 0o600); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	return os.Rename(path+".new", path)
}

// Ask reads a page of a member's control socket.
func (m *Member) Ask(page string, v any) error { return control.Get(m.Socket(), page, v) }

// LaunchAll starts all that do not run.
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

// ErrWaited: what was waited for did not come.
var ErrWaited = errors.New("rig: it did not come in time")

// Until looks again and again until something holds.
func Until(within time.Duration, holds func() bool) error {
	for begun := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if holds() {
			return nil
		}
		if time.Since(begun) > within {
			return ErrWaited
		}
	}
}

// Close ends everything that the fleet has started.
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
