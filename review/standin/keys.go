package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The case of keys: two tenants have one key each, and the operator takes both away.

const (
	keyRevokeGap   = time.Second             // as in the sites' entries: count = 2, gap_s = 1.0
	configConverge = 2000 * time.Millisecond // config_converge_ms
	keyTraffic     = 4 * time.Second         // before the first change
	keyAfter       = 10 * time.Second        // after the last one
	keyPause       = 60 * time.Millisecond
)

// keyOf is a key of a client: one that a tenant has, or one that no configuration ever holds.
type keyOf struct{ tenant, key string }

var clientKeys = []keyOf{{"club-a", "k-a-4zt81qmw0c"}, {"club-b", "k-b-9vd3xe72hn"}, {"", "k-never-held-by-any"}}

// keyLog records what each request carries, and since when its key is no longer in the configuration in force.
type keyLog struct {
	w       *world
	mu      sync.Mutex
	sent    map[string]keyedRequest
	dropped map[string]time.Time // acknowledgement of the version that took the key away
	runs    int
	refused int
}

type keyedRequest struct {
	keyOf
	at time.Time
}

// ran checks a run by its request's key.
func (l *keyLog) ran(s *server, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	l.mu.Lock()
	request, known := l.sent[id]
	dropped := l.dropped[request.key]
	l.runs++
	l.mu.Unlock()
	tenant := r.Header.Get("X-Tenant")
	s.w.note("run     %s at %s, X-Tenant %q", id, s.id, tenant)
	switch {
	case !known:
		s.w.breaking("UNASKED: no client sent %s", id)
	case request.tenant == "":
		s.w.breaking("ROUTE: %s runs under the key %s, which no configuration has ever held (X-Tenant %q)", id, request.key, tenant)
	case tenant != request.tenant && dropped.IsZero():
		s.w.breaking("UNASKED: %s has X-Tenant %q, its key belongs to %q", id, tenant, request.tenant)
	case !dropped.IsZero() && request.at.Sub(dropped) > configConverge:
		s.w.breaking("CONFIG: %s runs with the key of %s, sent %v after the acknowledgement of the version that took it away (X-Tenant %q)", id,
			request.tenant, request.at.Sub(dropped).Round(time.Millisecond), tenant)
	}
}

// client sends requests with one key until stop is closed.
func (l *keyLog) client(key keyOf, stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(keyPause):
		}
		id, b := fmt.Sprintf("q-%s-%d", strings.SplitN(key.key, "-", 3)[1], n), l.w.brokers[n%len(l.w.brokers)]
		l.mu.Lock()
		l.sent[id] = keyedRequest{key, time.Now()}
		l.mu.Unlock()
		l.w.note("sent    %s with key %s to %s", id, key.key, b.name)
		status, answer, err := l.w.ask(b, id, "/verslag/item", key.key, serviceDeadline)
		l.w.note("answer  %s %d %q %v", id, status, strings.TrimSpace(answer), err)
		if status == http.StatusUnauthorized {
			l.mu.Lock()
			l.refused++
			l.mu.Unlock()
		}
	}
}

// configure makes the operator replace the configuration by one with these keys. It records when the others were taken away.
func (l *keyLog) configure(base, version int, held []keyOf) error {
	c := configurationOf{Version: version, Routes: []routeOf{{Name: "r-verslag", Prefix: "/verslag/", Service: "verslag"}}}
	for _, k := range clientKeys[:2] {
		t := tenantOf{Name: k.tenant, Keys: []string{}}
		for _, h := range held {
			if h == k {
				t.Keys = append(t.Keys, k.key)
			}
		}
		c.Tenants = append(c.Tenants, t)
	}
	if err := l.w.replace(base, c); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range c.Tenants {
		for _, k := range clientKeys[:2] {
			if k.tenant == t.Name && len(t.Keys) == 0 && l.dropped[k.key].IsZero() {
				l.dropped[k.key] = time.Now()
				l.w.note("configuration %d, acknowledged, takes the key of %s away", version, k.tenant)
			}
		}
	}
	return nil
}

func playKeys(w *world, trouble bool) error {
	w.addBrokers(3, 3)
	if err := w.startAll(); err != nil {
		return err
	}
	l := &keyLog{w: w, sent: map[string]keyedRequest{}, dropped: map[string]time.Time{}}
	if err := l.configure(0, 3, clientKeys[:2]); err != nil {
		return err
	}
	for n := range 2 {
		if _, err := w.startServer(fmt.Sprintf("i-verslag-%d", n), "verslag", serviceWork, l.ran); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, key := range clientKeys {
		clients.Go(func() { l.client(key, stop) })
	}
	time.Sleep(keyTraffic)
	if trouble {
		if err := l.configure(3, 5, clientKeys[1:2]); err != nil {
			return err
		}
		time.Sleep(keyRevokeGap)
		if err := l.configure(5, 8, nil); err != nil {
			return err
		}
	}
	time.Sleep(keyAfter)
	close(stop)
	clients.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	w.note("%d requests were sent, %d ran, %d got 401", len(l.sent), l.runs, l.refused)
	if l.runs == 0 || l.refused == 0 {
		return fmt.Errorf("%d requests ran and %d got 401", l.runs, l.refused)
	}
	return nil
}
