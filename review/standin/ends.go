package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The case of ends: a server deregisters, and all processes are killed right after the acknowledgement. They return within a
// second with their disks. The server serves on for some seconds, without heartbeats, and ends.

const (
	endsDown     = 700 * time.Millisecond
	endsContact  = 6000 * time.Millisecond // twice contact_ms, as RULES.md has it after a fault that took most of the core
	endsServesOn = 12 * time.Second        // drain_ms and, at times, many seconds
	endsBefore   = 4 * time.Second
	endsPause    = 40 * time.Millisecond
	endsClients  = 4
)

// endLog records when requests were sent and when the end was acknowledged.
type endLog struct {
	w        *world
	mu       sync.Mutex
	sent     map[string]time.Time
	ackedAt  time.Time // when a broker acknowledged the end of leaving
	calmFrom time.Time // from this time on all machines are in touch
	leaving  *server
	runs     int
}

// ran checks a run: none may reach a server later than drain_ms after the acknowledgement of its end, from a machine in touch.
func (l *endLog) ran(s *server, r *http.Request) {
	now, id := time.Now(), r.Header.Get("X-Request-Id")
	l.mu.Lock()
	sent, acked, calm := l.sent[id], l.ackedAt, l.calmFrom
	ended := s == l.leaving && !acked.IsZero()
	l.runs++
	l.mu.Unlock()
	s.w.note("run     %s at %s", id, s.id)
	if ended && now.Sub(acked) > drainTime && (calm.IsZero() || sent.After(calm)) {
		s.w.breaking("DRAIN: %s reaches %s %v after its end was acknowledged; its client sent it %v after the machines were in touch again", id, s.id,
			now.Sub(acked).Round(time.Millisecond), sent.Sub(calm).Round(time.Millisecond))
	}
}

func (l *endLog) client(number int, stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(endsPause):
		}
		id, b := fmt.Sprintf("q%d-%d", number, n), l.w.brokers[(number+n)%len(l.w.brokers)]
		l.mu.Lock()
		l.sent[id] = time.Now()
		l.mu.Unlock()
		l.w.note("sent    %s to %s", id, b.name)
		status, answer, err := l.w.ask(b, id, "/verslag/item", "", serviceDeadline)
		l.w.note("answer  %s %d %q %v", id, status, strings.TrimSpace(answer), err)
	}
}

func playEnds(w *world, trouble bool) error {
	w.addBrokers(3, 3)
	if err := w.startAll(); err != nil {
		return err
	}
	l := &endLog{w: w, sent: map[string]time.Time{}}
	if err := w.replace(0, configurationOf{Version: 3, Routes: []routeOf{{Name: "r-verslag", Prefix: "/verslag/", Service: "verslag"}}}); err != nil {
		return err
	}
	var servers []*server
	for n := range 3 {
		s, err := w.startServer(fmt.Sprintf("i-verslag-%d", n), "verslag", serviceWork, l.ran)
		if err != nil {
			return err
		}
		servers = append(servers, s)
	}
	l.leaving = servers[2]
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for number := range endsClients {
		clients.Go(func() { l.client(number, stop) })
	}
	time.Sleep(endsBefore)
	close(l.leaving.stopped) // no more heartbeats
	if !l.leaving.tell("deregister") {
		return fmt.Errorf("no broker acknowledged the end of %s", l.leaving.id)
	}
	l.mu.Lock()
	l.ackedAt = time.Now()
	l.mu.Unlock()
	w.note("the end of %s is acknowledged", l.leaving.id)
	if trouble {
		for _, b := range w.brokers {
			b.kill()
		}
		w.note("all processes are killed")
		time.Sleep(endsDown)
		for _, b := range w.brokers {
			if err := b.start(false); err != nil {
				return err
			}
		}
		l.mu.Lock()
		l.calmFrom = time.Now().Add(endsContact)
		l.mu.Unlock()
	}
	time.Sleep(endsServesOn)
	l.leaving.http.Close()
	w.note("%s ends", l.leaving.id)
	close(stop)
	clients.Wait()
	w.note("%d requests were sent, %d runs", len(l.sent), l.runs)
	if l.runs == 0 {
		return fmt.Errorf("no request ran")
	}
	return nil
}
