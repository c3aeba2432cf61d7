package main

import (
	"fmt"
	"net/http"
	"time"
)

// The case of timeouts: a change of the configuration adds one route that may take very long.

const (
	longTimeout     = 1<<31 - 1 // ms, almost 25 days: the operator sets no limit
	timeoutRequests = 30
	timeoutPatience = 6 * time.Second // a client waits for twice the timeout of its route
)

func playTimeouts(w *world, trouble bool) error {
	w.addBrokers(3, 3)
	if err := w.startAll(); err != nil {
		return err
	}
	l := &serviceLog{allowed: map[string]map[string]bool{}, sent: map[string]string{}}
	routes := []routeOf{{Name: "r-verslag", Prefix: "/verslag/", Service: "verslag"}}
	if err := l.sendConfiguration(w, 0, 3, routes); err != nil {
		return err
	}
	for n := range 2 {
		if _, err := w.startServer(fmt.Sprintf("i-verslag-%d", n), "verslag", serviceWork, l.ran); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	if trouble {
		routes = append(routes, routeOf{Name: "r-archive", Prefix: "/archive/", Service: "verslag", Timeout: longTimeout})
		if err := l.sendConfiguration(w, 3, 5, routes); err != nil {
			return err
		}
		w.note("configuration 5, acknowledged, adds a route with a timeout_ms of %d", longTimeout)
	}
	time.Sleep(configConverge + time.Second)
	answers := make(chan bool)
	for n := range timeoutRequests {
		go func() {
			id, path, b := fmt.Sprint("q", n), "/verslag/item", w.brokers[n%len(w.brokers)]
			l.mu.Lock()
			l.sent[id] = path
			l.mu.Unlock()
			status, answer, err := w.ask(b, id, path, "", timeoutPatience)
			w.note("%s at %s: %d %q %v", id, b.name, status, answer, err)
			answers <- status == http.StatusOK
		}()
		time.Sleep(50 * time.Millisecond)
	}
	served := 0
	for range timeoutRequests {
		if <-answers {
			served++
		}
	}
	w.note("%d of %d requests were served", served, timeoutRequests)
	if 10*(timeoutRequests-served) > 6*timeoutRequests {
		w.breaking("Gate: %d of %d requests on the route that did not change failed, over 60%%", timeoutRequests-served, timeoutRequests)
	}
	return nil
}
