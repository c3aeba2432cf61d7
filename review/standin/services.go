package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The case of services: hundreds of changes of the configuration, each of which moves two routes to services with new names.

const (
	serviceChanges   = 130
	serviceGap       = 330 * time.Millisecond // between two changes
	serviceAfter     = 8 * time.Second        // traffic after the last change
	servicePause     = 25 * time.Millisecond  // between two requests of a client
	serviceDeadline  = 3 * time.Second
	serviceClients   = 6
	serviceWork      = 5 * time.Millisecond
	stableServiceSum = 4
)

// serviceLog records which services each route was ever allowed to use, and what the servers ran.
type serviceLog struct {
	mu      sync.Mutex
	allowed map[string]map[string]bool // by path prefix
	sent    map[string]string          // path of each request, by id
	runs    int
}

// sendConfiguration makes a configuration the one in force; every route in it may use its service from now on.
func (l *serviceLog) sendConfiguration(w *world, base, version int, routes []routeOf) error {
	l.mu.Lock()
	for _, r := range routes {
		if l.allowed[r.Prefix] == nil {
			l.allowed[r.Prefix] = map[string]bool{}
		}
		l.allowed[r.Prefix][r.Service] = true
	}
	l.mu.Unlock()
	return w.replace(base, configurationOf{Version: version, Routes: routes})
}

// ran checks a run: some configuration must have allowed its service to run requests of that path.
func (l *serviceLog) ran(s *server, r *http.Request) {
	id, prefix := r.Header.Get("X-Request-Id"), "/"+strings.SplitN(r.URL.Path, "/", 3)[1]+"/"
	l.mu.Lock()
	l.runs++
	sent, allowed := l.sent[id], l.allowed[prefix][s.service]
	l.mu.Unlock()
	s.w.note("run     %s %s at %s of %s", id, r.URL.Path, s.id, s.service)
	switch {
	case sent != r.URL.Path:
		s.w.breaking("UNASKED: request %s runs with path %s; its client sent %q", id, r.URL.Path, sent)
	case !allowed:
		s.w.breaking("ROUTE: request %s to %s runs at %s of service %s, which no configuration ever allowed", id, r.URL.Path, s.id, s.service)
	}
}

// client sends requests, each on a connection of its own, until stop is closed.
func (l *serviceLog) client(w *world, number int, prefixes []string, stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(servicePause):
		}
		id, path := fmt.Sprintf("q%d-%d", number, n), prefixes[rand.IntN(len(prefixes))]+"item"
		b := w.brokers[(number+n)%len(w.brokers)]
		l.mu.Lock()
		l.sent[id] = path
		l.mu.Unlock()
		w.note("sent    %s %s to %s", id, path, b.name)
		status, answer, err := w.ask(b, id, path, "", serviceDeadline)
		w.note("answer  %s %d %q %v", id, status, strings.TrimSpace(answer), err)
	}
}

func playServices(w *world, trouble bool) error {
	w.addBrokers(3, 3)
	if err := w.startAll(); err != nil {
		return err
	}
	l := &serviceLog{allowed: map[string]map[string]bool{}, sent: map[string]string{}}
	var stable []routeOf
	for n := range stableServiceSum {
		name := fmt.Sprintf("scorebord-%d", n)
		stable = append(stable, routeOf{Name: "r-" + name, Prefix: "/" + name + "/", Service: name})
	}
	moving := func(release int) []routeOf {
		return []routeOf{{Name: "r-verslag", Prefix: "/verslag/", Service: fmt.Sprintf("verslag-%04d", release)},
			{Name: "r-label", Prefix: "/label/", Service: fmt.Sprintf("label-%04d", release)}}
	}
	version := 3
	if err := l.sendConfiguration(w, 0, version, append(moving(0), stable...)); err != nil {
		return err
	}
	for _, r := range stable {
		if _, err := w.startServer("i-"+r.Service, r.Service, serviceWork, l.ran); err != nil {
			return err
		}
	}
	servers, err := l.startServers(w, moving(0))
	if err != nil {
		return err
	}
	var prefixes []string
	for _, r := range append(moving(0), stable...) {
		prefixes = append(prefixes, r.Prefix)
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for number := range serviceClients {
		clients.Go(func() { l.client(w, number, prefixes, stop) })
	}
	for release := 1; trouble && release <= serviceChanges; release++ {
		begun := time.Now()
		next, err := l.startServers(w, moving(release))
		if err != nil {
			return err
		}
		if err := l.sendConfiguration(w, version, version+2, append(moving(release), stable...)); err != nil {
			return err
		}
		version += 2
		w.note("configuration %d moves the routes to %s and %s", version, moving(release)[0].Service, moving(release)[1].Service)
		for _, s := range servers {
			go s.leave()
		}
		servers = next
		time.Sleep(time.Until(begun.Add(serviceGap)))
	}
	time.Sleep(serviceAfter)
	close(stop)
	clients.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	w.note("%d requests were sent, %d runs, newest configuration %d", len(l.sent), l.runs, version)
	if l.runs == 0 {
		return fmt.Errorf("no request ran")
	}
	return nil
}

func (l *serviceLog) startServers(w *world, routes []routeOf) (all []*server, err error) {
	for _, r := range routes {
		s, err := w.startServer("i-"+r.Service, r.Service, serviceWork, l.ran)
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}
