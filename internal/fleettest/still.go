package fleettest

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// StallSnapshot holds the total time that a process has spent stalled up to a moment.
type StallSnapshot struct {
	runQueueDelay map[string]time.Duration // by thread: run-queue delay as the kernel counts it
	stopped       time.Duration            // by SIGSTOP sent through Signal
}

// Stalls returns how long the process has been stalled up to now.
func (p *Process) Stalls() StallSnapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	stopped := p.stopped
	if !p.stoppedAt.IsZero() {
		stopped += time.Since(p.stoppedAt)
	}
	return StallSnapshot{runQueueDelays(p.Pid()), stopped}
}

// StalledSince returns how long the process was stalled since a snapshot: while Signal had stopped it, and while one of its threads waited for a
// processor. A program that runs Go code on one thread is stalled as long as that thread waits.
func (p *Process) StalledSince(since StallSnapshot) time.Duration {
	now := p.Stalls()
	return now.stopped - since.stopped + maxIncrease(since.runQueueDelay, now.runQueueDelay)
}

// OwnStalls returns how long the threads of this process have waited for a processor up to now.
func OwnStalls() StallSnapshot { return StallSnapshot{runQueueDelay: runQueueDelays(os.Getpid())} }

// OwnStalledSince returns the longest time that one thread of this process waited for a processor since a snapshot.
func OwnStalledSince(since StallSnapshot) time.Duration {
	return maxIncrease(since.runQueueDelay, runQueueDelays(os.Getpid()))
}

// runQueueDelays returns how long each thread of a process has been ready to run without a processor. The kernel adds a delay only once it is over.
func runQueueDelays(pid int) map[string]time.Duration {
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

func maxIncrease(before, after map[string]time.Duration) (most time.Duration) {
	for thread, waited := range after {
		most = max(most, waited-before[thread])
	}
	return most
}

// recordStop tracks how long signals keep the process stopped.
func (p *Process) recordStop(s syscall.Signal) {
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
