package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gullstair/internal/fleettest"
)

// The soak of starts runs the machines of a deployment as processes beside the clients, instances and operators of the
// soak, which check their invariants, and disturbs starts: series of starts and ends with something taken, late, damaged
// or gone each time. No process may end by itself, exceed its memory, or fail to serve.

const (
	startSoakServes = 8 * time.Second // from a start, beside the others
	startSoakSeries = 4               // starts of one machine in a row
	startSoakEarly  = 30 * time.Millisecond
	startSoakSlow   = 5500 * time.Millisecond // a slow disk stays slow for up to this long
	startSoakFreeze = 4 * time.Second         // a frozen process stays frozen for up to this long
)

// TestStartSoak runs soaks of starts of dender-live and livrosul-gullstair with the seed and duration of the flags.
func TestStartSoak(t *testing.T) {
	for _, shape := range soakShapes(t) {
		t.Run(shape.name, func(t *testing.T) { playStarts(t, shape) })
	}
}

func playStarts(t *testing.T, shape fleetShape) {
	s := newSoakOf(t, *soakSeed, shape, shape.programs(t))
	if shape.atOnce {
		s.startInstances()
		s.startClients()
	}
	s.disturbFounding()
	if !shape.atOnce {
		s.startInstances()
	}
	if status := replaceAt(s, 0, 1); status != http.StatusOK {
		t.Fatalf("the first configuration got status %d", status)
	}
	s.acked = 1
	s.wait.Go(s.watchMachine)
	time.Sleep(3 * time.Second)
	if !shape.atOnce {
		s.startClients()
	}
	s.repeat(50*time.Millisecond, 700*time.Millisecond, s.operate)
	s.repeat(100*time.Millisecond, 200*time.Millisecond, s.checkProcesses)
	for range 2 {
		s.repeat(50*time.Millisecond, 400*time.Millisecond, s.disturbStarts)
	}
	if shape.slowSync > 0 {
		s.repeat(time.Second, 3*time.Second, s.slowDisk)
		s.repeat(time.Second, 3*time.Second, s.freeze)
	}
	time.Sleep(*soakFor / 2)
	s.killAll()
	time.Sleep(*soakFor / 2)
	s.settle()
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Logf("seed %d: %v", s.seed, s.counts)
	for _, f := range s.faults {
		t.Error(f)
	}
	if t.Failed() {
		s.keepLogs()
	}
}

func (s *soak) startClients() {
	for number := range *soakClients {
		s.wait.Go(func() { s.client(number) })
	}
}

// slowDisk slows a random disk down for a while.
func (s *soak) slowDisk() {
	b := s.brokers[s.draw(s.core)]
	s.count("slow disk")
	b.setSync(s.shape.slowSync)
	s.pause(s.between(0, startSoakSlow))
	b.setSync(s.shape.sync)
}

// freeze stops the process of one machine for a while.
func (s *soak) freeze() {
	b := s.take()
	if b == nil {
		return
	}
	defer s.giveBack(b)
	s.count("freeze")
	s.markDisturbed(b, time.Now().Add(time.Hour))
	b.process.Signal(syscall.SIGSTOP)
	s.pause(s.between(0, startSoakFreeze))
	b.process.Signal(syscall.SIGCONT)
	s.markDisturbed(b, time.Now())
}

// replaceAt sends the first configuration until it is taken.
func replaceAt(s *soak, base, version int) int {
	for begun := time.Now(); time.Since(begun) < controlTimeout; time.Sleep(50 * time.Millisecond) {
		if status := s.replaceConfiguration(base, version); status == http.StatusOK {
			return status
		}
	}
	return 0
}

// disturbFounding kills processes once while the register is founded: each at a moment of its own, or all at once.
func (s *soak) disturbFounding() {
	all := s.draw(2) == 0
	at := s.between(0, 1500*time.Millisecond)
	var disturbing sync.WaitGroup
	for _, b := range s.brokers {
		wait := at
		if !all {
			wait = s.between(0, 1500*time.Millisecond)
		}
		down := s.between(0, 700*time.Millisecond)
		disturbing.Go(func() {
			time.Sleep(wait)
			s.markDisturbed(b, time.Now().Add(time.Hour))
			b.process.Kill()
			time.Sleep(down)
			b.start()
			s.markDisturbed(b, time.Now())
		})
	}
	disturbing.Wait()
	s.count(fmt.Sprintf("founding, all at once %t", all))
}

// checkProcesses checks that processes that nobody disturbs run and keep to their memory.
func (s *soak) checkProcesses() {
	for _, b := range s.brokers {
		process := b.undisturbedProcess()
		if process == nil {
			continue
		}
		if !process.Running() {
			s.fault("%s ended by itself with %d: %s", b.ip, process.ExitCode(), b.lastLine())
		}
		used := peakMemoryMB(process.Pid())
		s.countMost("most MB", used)
		s.countMost("most threads", entriesOf(process.Pid(), "task"))
		s.countMost("most descriptors", entriesOf(process.Pid(), "fd"))
		if used > s.shape.memoryMB && !*soakDetector {
			s.fault("%s used %d MB", b.ip, used)
		}
	}
}

// countMost keeps the largest value of something.
func (s *soak) countMost(what string, value int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what] = max(s.counts[what], value)
}

// entriesOf returns the number of a process's threads ("task") or descriptors ("fd"); 0 if it is gone.
func entriesOf(pid int, what string) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/%s", pid, what))
	return len(entries)
}

// undisturbedProcess returns a broker's process, or nil during a disturbance, which may replace it.
func (b *soakBroker) undisturbedProcess() *fleettest.Process {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.busy {
		return nil
	}
	return b.process
}

// peakMemoryMB returns the largest resident size that a process had, in MB; 0 if it is gone.
func peakMemoryMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, is := strings.CutPrefix(line, "VmHWM:"); is {
			kB, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kB >> 10
		}
	}
	return 0
}

// startTroubles are the ways in which a start is disturbed.
var startTroubles = []string{"calm", "taken", "late settings", "early hangup", "twice", "no reader", "slow reader", "early end", "damaged", "stopped"}

// disturbStarts ends the process of one machine and starts it several times in a row, each time in another way.
func (s *soak) disturbStarts() {
	b := s.take()
	if b == nil {
		return
	}
	defer s.giveBack(b)
	s.markDisturbed(b, time.Now().Add(time.Hour))
	for range 1 + s.draw(startSoakSeries) {
		what := startTroubles[s.draw(len(startTroubles))]
		s.count(what)
		s.startWith(b, what)
	}
	b.awaitServingIn(s)
	s.markDisturbed(b, time.Now())
}

// startWith ends a broker's process and starts the next one with one trouble.
func (s *soak) startWith(b *soakBroker, what string) {
	if what == "twice" {
		s.startTwice(b)
		return
	}
	b.process.Kill()
	s.closeLog(b)
	s.pause(s.between(0, 300*time.Millisecond))
	switch what {
	case "taken":
		held, err := holdTCP([]string{"18388", "18384", "18381", "17560"}[s.draw(4)])(b.ip)
		require.NoError(s.t, err)
		b.start()
		time.Sleep(s.between(0, time.Second))
		held.Close()
	case "late settings":
		b.writeSettings("node_name=")
		b.launch()
		time.Sleep(s.between(0, time.Second))
		b.writeSettings(b.settings())
	case "early hangup":
		b.start()
		b.awaitLoaded()
		for range 1 + s.draw(4) {
			time.Sleep(s.between(0, startSoakEarly))
			b.process.Signal(syscall.SIGHUP)
		}
	case "no reader", "slow reader":
		s.startWithPipe(b, what == "no reader")
	case "early end":
		b.start()
		b.awaitSignals()
		time.Sleep(s.between(0, 10*startSoakEarly))
		b.process.Signal(syscall.SIGTERM)
		if code := b.process.ExitCode(); code != 0 {
			s.fault("%s ended with %d after SIGTERM: %s", b.ip, code, b.lastLine())
		}
		b.start()
	case "damaged":
		s.damage(b)
		b.start()
	case "stopped":
		b.start()
		time.Sleep(s.between(0, startSoakEarly))
		b.process.Signal(syscall.SIGSTOP)
		time.Sleep(s.between(0, time.Second))
		b.process.Signal(syscall.SIGCONT)
	default:
		b.start()
	}
}

// startTwice starts the next process before the previous one has ended.
func (s *soak) startTwice(b *soakBroker) {
	previous := b.process
	b.start()
	time.Sleep(s.between(0, 500*time.Millisecond))
	previous.Kill()
}

// startWithPipe starts a broker whose log goes to a pipe that nobody reads, or whose reader goes away.
func (s *soak) startWithPipe(b *soakBroker, gone bool) {
	reader, writer, err := os.Pipe()
	require.NoError(s.t, err)
	b.output = writer
	b.start()
	b.output = nil
	writer.Close()
	if gone {
		time.Sleep(s.between(0, 5*startSoakEarly))
		reader.Close()
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.log = reader
}

// closeLog closes the pipe of an earlier process.
func (s *soak) closeLog(b *soakBroker) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.log != nil {
		b.log.Close()
		b.log = nil
	}
}

// damage spoils one file of a broker's disk.
func (s *soak) damage(b *soakBroker) {
	if !b.disk {
		return
	}
	paths, err := filepath.Glob(filepath.Join(b.data(), "*-*"))
	require.NoError(s.t, err)
	if len(paths) == 0 {
		return
	}
	b.spoil(filepath.Base(paths[s.draw(len(paths))]), damages[s.draw(len(damages))])
}

// awaitServingIn records a fault if the broker does not serve in time.
func (b *soakBroker) awaitServingIn(s *soak) {
	for begun := time.Now(); time.Since(begun) < startSoakServes || s.stalledSince(begun); time.Sleep(20 * time.Millisecond) {
		if status, _ := b.call(time.Second, http.MethodGet, "/v1/status", "", ""); status == http.StatusOK {
			return
		}
		if !b.process.Running() {
			s.fault("%s ended by itself with %d: %s", b.ip, b.process.ExitCode(), b.lastLine())
			b.start()
			return
		}
	}
	s.fault("%s does not serve %v after its start: %s", b.ip, startSoakServes, b.lastLine())
}
