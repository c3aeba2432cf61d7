package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// The case of failures: servers fail requests with a long body.

const (
	failureBody     = 300000 // bytes
	failureRequests = 20
)

func playFailures(w *world, trouble bool) error {
	w.addBrokers(3, 3)
	if err := w.startAll(); err != nil {
		return err
	}
	if err := w.replace(0, configurationOf{Version: 3, Routes: []routeOf{{Name: "r-verslag", Prefix: "/verslag/", Service: "verslag"}}}); err != nil {
		return err
	}
	var fails atomic.Bool
	body := strings.Repeat("x", failureBody)
	for n := range 2 {
		s, err := w.startServer(fmt.Sprintf("i-verslag-%d", n), "verslag", serviceWork, func(*server, *http.Request) {})
		if err != nil {
			return err
		}
		s.failure = func() string {
			if fails.Load() {
				return body
			}
			return ""
		}
	}
	time.Sleep(time.Second)
	fails.Store(trouble)
	for n := range failureRequests {
		id, b := fmt.Sprint("q", n), w.brokers[n%len(w.brokers)]
		status, answer, err := w.ask(b, id, "/verslag/item", "", serviceDeadline)
		w.note("%s at %s: %d, %d bytes, %v", id, b.name, status, len(answer), err)
		if status == http.StatusInternalServerError && err == nil && answer != body {
			w.breaking("MIXED: %s gets %d of %d bytes of its server's failure, as a complete answer", id, len(answer), len(body))
		}
	}
	return nil
}
