package rig

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

// Work is what a witness saw of the work under one fencing number: of all processes that did any.
type Work struct {
	Lease       string
	Fence       uint64
	First, Last int64 // by guard.Now, as the workers themselves read it just before they spoke
	Pids        []int
	Ended       bool // by itself
}

// Witness stands outside the fleet, and is told by whoever works under a lease that it does: at its begin, again and again, at its end.
type Witness struct {
	Addr string
	ln   net.Listener
	mu   sync.Mutex
	work map[string]*Work
	end  sync.WaitGroup
	open map[net.Conn]bool
}

// NewWitness opens one on loopback.
func NewWitness() (*Witness, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("rig: %w", err)
	}
	w := &Witness{Addr: ln.Addr().String(), ln: ln, work: map[string]*Work{}, open: map[net.Conn]bool{}}
	w.end.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.open[conn] = true
			w.mu.Unlock()
			w.end.Go(func() {
				defer conn.Close()
				for lines := bufio.NewScanner(conn); lines.Scan(); {
					w.hear(lines.Text())
				}
			})
		}
	})
	return w, nil
}

func (w *Witness) hear(line string) {
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

// Seen lists all work so far, in the order in which it began.
func (w *Witness) Seen() (all []Work) {
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

// Left lists the processes of this work that are still there. Each is told by one look at its environment, which has the fencing number: a number of a
// process alone is given to another one within minutes where tests start thousands, and asking first whether it is there and then whether it only waits
// to be collected took one that was collected in between for one that goes on.
func (k Work) Left() (pids []int) {
	mark := fmt.Sprintf("\x00GULLSTAIR_FENCE=%d\x00", k.Fence)
	for _, pid := range k.Pids {
		if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/environ", pid)); err == nil && strings.Contains("\x00"+string(text), mark) {
			pids = append(pids, pid)
		}
	}
	return pids
}

// Judge says what was broken: work under two fencing numbers of one lease at one time, or a number that fell.
func (w *Witness) Judge() (faults []string) {
	last := map[string]Work{}
	for _, k := range w.Seen() {
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

// Close ends it.
func (w *Witness) Close() {
	w.ln.Close()
	w.mu.Lock()
	for c := range w.open {
		c.Close()
	}
	w.mu.Unlock()
	w.end.Wait()
}

const beatEvery = 5 * time.Millisecond

// Act is a worker's process: it tells a witness of its work for as long as it lasts. A stubborn one does not end when it is told to, and has a child
// that leaves its session, closes what it was given and goes on for longer. With RIG_FENCE each word passes that fence first, and is said only if it does.
func Act(args []string) int {
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
	say := func(word string) error {
		_, err := fmt.Fprintf(conn, "%s %s %d %d %d\n", word, os.Getenv("GULLSTAIR_LEASE"), number, os.Getpid(), guard.Now())
		return err
	}
	if path := os.Getenv("RIG_FENCE"); path != "" {
		plain := say
		say = func(word string) error { return fence.At(path).Pass(number, func() error { return plain(word) }) }
	}
	for begun := time.Now(); time.Since(begun) < span; time.Sleep(beatEvery) {
		if say("beat") != nil {
			return 3
		}
	}
	say("end")
	return 0
}
