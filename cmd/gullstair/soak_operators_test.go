package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// replaceConfiguration sends a configuration to brokers until one gives a definite answer, for soakOrderTimeout at most.
func (s *soak) replaceConfiguration(base, version int) (status int) {
	for begun := time.Now(); time.Since(begun) < soakOrderTimeout; time.Sleep(20 * time.Millisecond) {
		status, _ = s.any().call(2*time.Second, http.MethodPost, "/v1/config/replace", strconv.Itoa(base), s.configuration(version))
		if status != 0 && status < http.StatusInternalServerError {
			return status
		}
	}
	s.fault("configuration %d got no definite answer", version)
	return 0
}

// operate changes the configuration, sometimes by two operators at once.
func (s *soak) operate() {
	base := s.acked
	if s.draw(4) > 0 {
		if status := s.replaceConfiguration(base, base+1); status != http.StatusOK {
			s.fault("configuration %d on %d got %d", base+1, base, status)
		}
		s.confirm(base + 1)
		return
	}
	first, second := make(chan int, 1), make(chan int, 1)
	go func() { first <- s.replaceConfiguration(base, base+1) }()
	go func() { second <- s.replaceConfiguration(base, base+2) }()
	a, b := <-first, <-second
	switch {
	case a == http.StatusOK && b == http.StatusPreconditionFailed:
		s.confirm(base + 1)
	case b == http.StatusOK && a == http.StatusPreconditionFailed:
		s.confirm(base + 2)
	default:
		s.fault("two changes of configuration %d got %d and %d", base, a, b)
	}
}

func (s *soak) confirm(version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acked = version
	s.counts["configurations"]++
}

// read checks that no broker returns an older configuration than the newest one acknowledged before the request.
func (s *soak) read() {
	s.mu.Lock()
	least := s.acked
	s.mu.Unlock()
	b := s.any()
	if status, text := b.read(); status == http.StatusOK {
		if got := versionIn(text); got < least {
			s.fault("%s returns configuration %d after %d was acknowledged", b.ip, got, least)
		}
		s.count("reads")
	}
}

func versionIn(text string) int {
	c := struct{ Version int }{}
	_ = json.Unmarshal([]byte(text), &c)
	return c.Version
}

// nameWeights names the next version of the weights.
func (s *soak) nameWeights() {
	s.mu.Lock()
	next := s.version + 1
	s.mu.Unlock()
	body := fmt.Sprintf(`{"model":"%s","version":%d}`, soakModel, next)
	for try := 0; try < 1000; try++ {
		if status, _ := s.any().call(2*time.Second, http.MethodPost, "/v1/version-put", "", body); status == http.StatusOK {
			s.mu.Lock()
			s.version, s.named[next] = next, time.Now()
			s.counts["versions"]++
			s.mu.Unlock()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.fault("version %d was not accepted", next)
}
