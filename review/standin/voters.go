package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// The case of voters: machines lose their disks one at a time, each long after the one before is whole again, while some of the
// acknowledgements to the operator are lost, so that it sends accepted changes again.

const (
	voterLosses  = 10
	wipeDown     = time.Second
	wipeSpacing  = 5 * time.Second // from the return of a machine to the loss of the next disk; catch_up_s is 4
	ordersAtOnce = 8               // orders that the operator may have in flight
	lostAcks     = 0.7             // share of the acknowledgements that are lost
	lostAcksFor  = 4 * time.Second // after the return of a machine
	firstPause   = 25 * time.Millisecond
	longestPause = 400 * time.Millisecond
)

// wipe kills a broker and starts it again with an empty disk.
func (b *broker) wipe() error {
	b.kill()
	b.w.note("%s loses its disk", b.name)
	if err := os.RemoveAll(filepath.Join(b.w.folder, b.name, "data")); err != nil {
		return err
	}
	time.Sleep(wipeDown)
	return b.start(false)
}

// noteVoters records the voters that each broker knows.
func (w *world) noteVoters(when string) {
	for _, b := range w.brokers {
		_, text, err := call(time.Second, http.MethodGet, b.ip, w.ports.control, "/v1/status", nil, "")
		status := struct {
			Standing string   `json:"standing"`
			Sequence uint64   `json:"register_sequence"`
			Voters   []string `json:"register_voters"`
		}{}
		_ = json.Unmarshal([]byte(text), &status)
		w.note("%s: %s is %s, sequence %d, voters %v, %v", when, b.name, status.Standing, status.Sequence, status.Voters, err)
	}
}

// confirm sends an accepted change again, to other brokers in turn, until its acknowledgement isn't lost or stop is closed.
func (w *world) confirm(base int, c configurationOf, stop chan struct{}) {
	header := http.Header{"Content-Type": {"application/json"}, "X-If-Base-Version": {fmt.Sprint(base)}}
	for pause, at := firstPause, rand.IntN(len(w.brokers)); ; at++ {
		b := w.brokers[at%len(w.brokers)]
		status, answer, err := call(time.Second, http.MethodPost, b.ip, w.ports.control, "/v1/config/replace", header, c.text())
		lost := rand.Float64() < lostAcks
		w.note("change %d sent again to %s: %d %s %v, lost on its way: %t", c.Version, b.name, status, strings.TrimSpace(answer), err, lost)
		if status >= 400 && status < 500 {
			w.breaking("CONFIG: the accepted change %d, sent again, got %d %s", c.Version, status, answer)
		}
		if status == http.StatusOK && !lost {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		pause = min(2*pause, longestPause)
	}
}

// resend confirms accepted changes, ordersAtOnce at a time, until stop is closed.
func (w *world) resend(accepted []configurationOf, stop chan struct{}) {
	var orders sync.WaitGroup
	for number := range ordersAtOnce {
		orders.Go(func() {
			for {
				w.confirm(accepted[number].Version-2, accepted[number], stop)
				select {
				case <-stop:
					return
				case <-time.After(2 * firstPause):
				}
			}
		})
	}
	orders.Wait()
}

func playVoters(w *world, trouble bool) error {
	w.addBrokers(4, 4)
	if err := w.startAll(); err != nil {
		return err
	}
	var accepted []configurationOf
	for number := range ordersAtOnce {
		c := configurationOf{Version: 2 + 2*number, Routes: []routeOf{{Name: "r-verslag", Prefix: fmt.Sprintf("/verslag/%d/", number), Service: "verslag"}}}
		if err := w.replace(c.Version-2, c); err != nil {
			return err
		}
		accepted = append(accepted, c)
	}
	time.Sleep(5 * time.Second)
	w.noteVoters("before")
	for loss := range voterLosses {
		b := w.brokers[loss%len(w.brokers)]
		if trouble {
			if err := b.wipe(); err != nil {
				return err
			}
		}
		returned, stop := time.Now(), make(chan struct{})
		time.AfterFunc(lostAcksFor, func() { close(stop) })
		w.resend(accepted, stop)
		time.Sleep(time.Until(returned.Add(wipeSpacing)))
		w.noteVoters("after " + b.name)
	}
	time.Sleep(4 * time.Second)
	newest := accepted[ordersAtOnce-1]
	return w.checkControl(newest, configurationOf{Version: newest.Version + 5, Routes: newest.Routes})
}
