package main

import (
	"net/http"
	"time"
)

// The case of the first start: all processes are killed once, soon after the very first start, and return within a second
// with their disks.

const (
	foundingKillAfter = 600 * time.Millisecond
	foundingDown      = 700 * time.Millisecond
	foundingPatience  = 60 * time.Second
	foundingTraffic   = 5 * time.Second
)

func playFounding(w *world, trouble bool) error {
	w.addBrokers(3, 3)
	if err := w.startAll(); err != nil {
		return err
	}
	if trouble {
		time.Sleep(foundingKillAfter)
		for _, b := range w.brokers {
			b.kill()
		}
		w.note("all processes are killed %v after their start", foundingKillAfter)
		time.Sleep(foundingDown)
		for _, b := range w.brokers {
			if err := b.start(false); err != nil {
				return err
			}
		}
	}
	first := configurationOf{Version: 3, Routes: []routeOf{{Name: "r-one", Prefix: "/one/", Service: "one"}}}
	begun := time.Now()
	status, answer := w.offer(foundingPatience, 0, first)
	w.note("the first configuration got %d %s after %v", status, answer, time.Since(begun).Round(time.Millisecond))
	if status != http.StatusOK {
		w.breaking("the first configuration got no answer in %v of calm time", foundingPatience)
	}
	return nil
}
