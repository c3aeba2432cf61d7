package rig

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// Still is what was known of a process's standing still up to a moment.
type Still struct {
	waited  map[string]time.Duration // by thread, for a processor: the kernel's figure
	stopped time.Duration            // by Signal
}

// Still tells how long the process has stood still up to now.
func (p *Process) Still() Still {
	p.mu.Lock()
	defer p.mu.Unlock()
	stopped := p.stopped
	if !p.stoppedAt.IsZero() {
		stopped += time.Since(p.stoppedAt)
	}
	return Still{waitedOf(p.Pid()), stopped}
}

// StoodStill is how long the process stood still since then: while Signal had stopped it, and while one of its threads waited for a
// processor. A program that runs Go code on one thread stands still with it.
func (p *Process) StoodStill(since Still) time.Duration {
	now := p.Still()
	return now.stopped - since.stopped + mostWaited(since.waited, now.waited)
}

// OwnStill tells how long this process has waited up to now.
func OwnStill() Still { return Still{waited: waitedOf(os.Getpid())} }

// OwnStoodStill is the most that one of this process's threads waited for a processor since then.
func OwnStoodStill(since Still) time.Duration {
	return mostWaited(since.waited, waitedOf(os.Getpid()))
}

// waitedOf is how long each of a process's threads has been ready to run without a processor. The kernel adds a wait once it is over.
func waitedOf(pid int) map[string]time.Duration {
	out := map[string]time.Duration{}
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, path := range paths {
		var ran, waited int64 // ns
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		if n, _ := fmt.Sscan(string(text), &ran, &waited); n == 2 {
			out[path] = time.Duration(waited)
		}
	}
	return out
}

func mostWaited(before, after map[string]time.Duration) (most time.Duration) {
	for thread, waited := range after {
		most = max(most, waited-before[thread])
	}
	return most
}

// note keeps how long a process is stopped.
func (p *Process) note(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case s == syscall.SIGSTOP && p.stoppedAt.IsZero():
		p.stoppedAt = time.Now()
	case s == syscall.SIGCONT && !p.stoppedAt.IsZero():
		p.stopped += time.Since(p.stoppedAt)
		p.stoppedAt = time.Time{}
	}
}
