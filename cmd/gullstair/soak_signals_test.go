package main

import (
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"
)

// reserve reserves a broker without a disturbance in progress; it returns nil if it finds none.
func (s *soak) reserve(mayBeCore bool) *soakBroker {
	for range 20 {
		number := s.draw(len(s.brokers))
		if number < s.core && !mayBeCore {
			continue
		}
		b := s.brokers[number]
		b.mu.Lock()
		free := !b.busy
		b.busy = true
		b.mu.Unlock()
		if free {
			return b
		}
	}
	return nil
}

// reserveCore reports whether a core machine may be lost now; if so it counts as lost until it is released and through its
// catch-up.
func (s *soak) reserveCore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.catchingUp) {
		return false
	}
	s.catchingUp = time.Now().Add(time.Hour)
	return true
}

func (s *soak) releaseCore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catchingUp = time.Now().Add(soakCatchUp)
}

// take reserves a broker for a disturbance, one with a disk only if its machine may be lost now. It returns nil if it finds
// none.
func (s *soak) take() *soakBroker {
	core := s.reserveCore()
	b := s.reserve(core)
	if core && (b == nil || !b.disk) {
		s.mu.Lock()
		s.catchingUp = time.Time{}
		s.mu.Unlock()
	}
	return b
}

// giveBack ends a disturbance of a broker.
func (s *soak) giveBack(b *soakBroker) {
	b.release()
	if b.disk {
		s.releaseCore()
	}
}

func (b *soakBroker) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy = false
}

// markDisturbed records that a broker is being killed or paused, and, at the end, until when it was.
func (s *soak) markDisturbed(b *soakBroker, until time.Time) {
	b.mu.Lock()
	b.disturbedUntil = until
	b.mu.Unlock()
	if b.disk {
		s.mu.Lock()
		s.coreDisturbedAt = time.Now()
		s.mu.Unlock()
	}
}

// disturb disturbs one broker without a disturbance in progress.
func (s *soak) disturb() {
	b := s.take()
	if b == nil {
		return
	}
	defer s.giveBack(b)
	what := []string{"term", "term", "kill", "stop", "hang up", "wipe"}[s.draw(6)]
	s.count(what)
	switch what {
	case "term":
		s.terminate(b)
	case "kill", "wipe":
		s.markDisturbed(b, time.Now().Add(time.Hour))
		b.process.Kill()
		s.pause(s.between(0, 2*time.Second))
		if what == "wipe" && b.disk {
			require.NoError(s.t, os.RemoveAll(filepath.Join(b.folder, "data")))
		}
		b.start()
		s.markDisturbed(b, time.Now())
	case "stop":
		s.markDisturbed(b, time.Now().Add(time.Hour))
		b.process.Signal(syscall.SIGSTOP)
		s.pause(s.between(10*time.Millisecond, 3*time.Second))
		b.process.Signal(syscall.SIGCONT)
		s.markDisturbed(b, time.Now())
	case "hang up":
		b.awaitSignals()
		for range 1 + s.draw(4) {
			b.process.Signal(syscall.SIGHUP)
			s.pause(s.between(0, 300*time.Millisecond))
		}
	}
}

// terminate shuts a broker down by plan, sends further signals meanwhile, and starts it again.
func (s *soak) terminate(b *soakBroker) {
	if b.disk {
		s.mu.Lock()
		s.coreDisturbedAt = time.Now()
		s.mu.Unlock()
	}
	b.awaitSignals()
	begun := time.Now()
	b.mu.Lock()
	b.terminatedAt = begun
	b.mu.Unlock()
	b.process.Signal(syscall.SIGTERM)
	for range s.draw(3) {
		s.pause(s.between(0, time.Second))
		b.process.Signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[s.draw(2)])
	}
	if s.draw(2) == 0 { // keeps sending signals while the process exits
		for b.process.Running() && time.Since(begun) < soakGrace+soakExit {
			b.process.Signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[s.draw(2)])
			time.Sleep(s.between(0, 20*time.Millisecond))
		}
	}
	select {
	case <-b.process.Ended():
		if code := b.process.ExitCode(); code != 0 {
			s.fault("%s ended with %d after SIGTERM", b.ip, code)
		}
	case <-time.After(time.Until(begun.Add(soakGrace + soakExit))):
		if s.stalledSince(begun) {
			<-b.process.Ended()
			break
		}
		s.fault("%s still runs %v after SIGTERM", b.ip, soakGrace+soakExit)
		b.process.Kill()
	}
	s.pause(s.between(0, time.Second))
	b.start()
	if s.draw(3) == 0 { // a SIGHUP right after the restart
		b.awaitSignals()
		s.pause(s.between(0, 30*time.Millisecond))
		b.process.Signal(syscall.SIGHUP)
	}
}

// killAll kills all brokers at once; their disks are kept.
func (s *soak) killAll() {
	for _, b := range s.brokers {
		b.mu.Lock()
		for b.busy {
			b.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			b.mu.Lock()
		}
		b.busy = true
		b.mu.Unlock()
	}
	for _, b := range s.brokers {
		s.markDisturbed(b, time.Now().Add(time.Hour))
	}
	for _, b := range s.brokers {
		b.process.Signal(syscall.SIGKILL)
	}
	for _, b := range s.brokers {
		<-b.process.Ended()
		b.start()
	}
	for _, b := range s.brokers {
		s.markDisturbed(b, time.Now())
		b.release()
	}
	s.count("all killed")
}
