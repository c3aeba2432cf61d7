package fleettest

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"gullstair/internal/fence"
	"gullstair/internal/guard"
)

// Work is what a Witness observed of all processes that worked under one fencing token of a lease.
type Work struct {
	Lease       string
	Fence       uint64
	First, Last int64 // guard.Now of the workers just before they reported
	Pids        []int
	Ended       bool // a worker reported a regular end
}

// Witness observes work from outside the fleet: every worker under a lease reports to it at its start, periodically, and at its end.
type Witness struct {
	Addr       string
	ln         net.Listener
	mu         sync.Mutex
	work       map[string]*Work
	goroutines sync.WaitGroup
	open       map[net.Conn]bool
}

// NewWitness opens a Witness on a loopback address.
func NewWitness() (*Witness, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("rig: %w", err)
	}
	w := &Witness{Addr: ln.Addr().String(), ln: ln, work: map[string]*Work{}, open: map[net.Conn]bool{}}
	w.goroutines.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.open[conn] = true
			w.mu.Unlock()
			w.goroutines.Go(func() {
				defer conn.Close()
				for lines := bufio.NewScanner(conn); lines.Scan(); {
					w.record(lines.Text())
				}
			})
		}
	})
	return w, nil
}

func (w *Witness) record(line string) {
	var word, lease string
	var fence uint64
	var pid int
	var at int64
	if n, _ := fmt.Sscan(line, &word, &lease, &fence, &pid, &at); n < 5 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	key := fmt.Sprint(lease, "#", fence)
	k := w.work[key]
	if k == nil {
		k = &Work{Lease: lease, Fence: fence, First: at, Last: at}
		w.work[key] = k
	}
	k.First, k.Last = min(k.First, at), max(k.Last, at)
	if !slices.Contains(k.Pids, pid) {
		k.Pids = append(k.Pids, pid)
	}
	k.Ended = k.Ended || word == "end"
}

// Observed returns all work so far, ordered by its start.
func (w *Witness) Observed() (all []Work) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.work {
		v := *k
		v.Pids = slices.Clone(k.Pids)
		all = append(all, v)
	}
	slices.SortFunc(all, func(a, b Work) int { return int(a.First - b.First) })
	return all
}

// Remaining returns the IDs of this work's processes that still run. It recognizes each by a single read of its environment, which holds the fencing token:
// the kernel reuses a process ID within minutes when tests start thousands of processes, and two separate checks (whether the process exists, then whether it
// is a zombie) took a process that was reaped in between for a running one.
func (k Work) Remaining() (pids []int) {
	mark := fmt.Sprintf("\x00GULLSTAIR_FENCE=%d\x00", k.Fence)
	for _, pid := range k.Pids {
		if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/environ", pid)); err == nil && strings.Contains("\x00"+string(text), mark) {
			pids = append(pids, pid)
		}
	}
	return pids
}

// Violations returns the broken rules: work under two fencing tokens of one lease at the same time, or a fencing token that decreased.
func (w *Witness) Violations() (faults []string) {
	last := map[string]Work{}
	for _, k := range w.Observed() {
		if o, before := last[k.Lease]; before {
			if k.First <= o.Last {
				faults = append(faults, fmt.Sprintf("%s: work under %d began %v before the last under %d", k.Lease, k.Fence, time.Duration(o.Last-k.First), o.Fence))
			}
			if k.Fence <= o.Fence {
				faults = append(faults, fmt.Sprintf("%s: work under %d began after that under %d", k.Lease, k.Fence, o.Fence))
			}
			k.Last = max(k.Last, o.Last)
		}
		last[k.Lease] = k
	}
	return faults
}

// Close closes the listener and all connections and waits for the goroutines.
func (w *Witness) Close() {
	w.ln.Close()
	w.mu.Lock()
	for c := range w.open {
		c.Close()
	}
	w.mu.Unlock()
	w.goroutines.Wait()
}

const reportInterval = 5 * time.Millisecond

// RunWorker is the main function of a worker process, which reports its work to a Witness until its time is up. A "stubborn" worker ignores signals and starts
// a child that leaves the session, closes its standard files and works ten times as long. With RIG_FENCE each report is sent only if that fence accepts the
// fencing token.
func RunWorker(args []string) int {
	if len(args) < 3 {
		return 2
	}
	addr, how := args[0], args[2]
	span, err := time.ParseDuration(args[1])
	if err != nil {
		return 2
	}
	if how == "stubborn" {
		signal.Ignore(syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT)
		child := exec.Command(os.Args[0], "witness", addr, (10 * span).String(), "orphan")
		child.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
		if child.Start() != nil {
			return 2
		}
	} else if how == "orphan" {
		signal.Ignore(syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT)
		for fd := range 3 {
			syscall.Close(fd)
		}
	}
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return 3
	}
	number, _ := strconv.ParseUint(os.Getenv("GULLSTAIR_FENCE"), 10, 64)
	report := func(word string) error {
		_, err := fmt.Fprintf(conn, "%s %s %d %d %d\n", word, os.Getenv("GULLSTAIR_LEASE"), number, os.Getpid(), guard.BootTime())
		return err
	}
	if path := os.Getenv("RIG_FENCE"); path != "" {
		unfenced := report
		report = func(word string) error { return fence.New(path).Accept(number, func() error { return unfenced(word) }) }
	}
	for begun := time.Now(); time.Since(begun) < span; time.Sleep(reportInterval) {
		if report("beat") != nil {
			return 3
		}
	}
	report("end")
	return 0
}
