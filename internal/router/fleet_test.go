package router

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// startedFleet returns a fleet that serves: configuration 1 is in force everywhere and the instances are known.
func startedFleet(t *testing.T, seed uint64, brokers, core int) (*simFleet, *http.Client) {
	w := newSimFleet(t, seed, brokers, core)
	for i := range 4 {
		w.startServer("llm", zones[i%len(zones)])
	}
	for i := range 2 {
		w.startServer("plain", zones[i])
	}
	operator := w.client("10.8.0.1")
	if status := w.replace(operator, 0, 1, configurationOf(1, "")); status != http.StatusOK {
		w.failf("the first configuration got %d", status)
	}
	time.Sleep(4 * time.Second)
	return w, operator
}

// traffic is the load of clients that send requests until stop is closed. It counts the answers by status.
type traffic struct {
	mu      sync.Mutex
	counts  map[int]int
	stop    chan struct{}
	clients sync.WaitGroup
}

func (w *simFleet) traffic(clients int) *traffic { return w.trafficAt(clients, w.machineAt) }

// trafficAt starts clients that send their request n to the machine at(n).
func (w *simFleet) trafficAt(clients int, at func(n int) *machine) *traffic {
	tr := &traffic{counts: map[int]int{}, stop: make(chan struct{})}
	for i := range clients {
		tr.clients.Add(1)
		client := w.client(fmt.Sprintf("10.7.0.%d", i+1))
		go func() {
			defer tr.clients.Done()
			for n := 0; ; n++ {
				select {
				case <-tr.stop:
					return
				case <-time.After(time.Duration(30+7*i) * time.Millisecond):
				}
				route := []string{"chat", "chat", "once", "post"}[(n+i)%4]
				tenant := []string{"open", "walled"}[(n/3+i)%2]
				a := w.sendRequest(client, at(n+i), route, tenant, (n*7+i)%10)
				tr.mu.Lock()
				tr.counts[a.status]++
				tr.mu.Unlock()
			}
		}()
	}
	return tr
}

func (tr *traffic) end() map[int]int {
	close(tr.stop)
	tr.clients.Wait()
	return tr.counts
}

func TestCalmDay(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w, operator := startedFleet(t, 1, 5, 3)
		tr := w.traffic(6)
		time.Sleep(5 * time.Second)
		if status := w.replace(operator, 1, 4, configurationOf(4, "")); status != http.StatusOK {
			w.failf("configuration 4 got %d", status)
		}
		for _, m := range w.machines { // without faults all brokers have the configuration once it is acknowledged
			if a := w.sendRequest(w.client("10.8.0.3"), m, "mark4", "open", 0); a.status != http.StatusOK {
				t.Errorf("%s: at the acknowledgement a route of the new configuration got %d", m.name, a.status)
			}
		}
		time.Sleep(3 * time.Second)
		counts := tr.end()
		if counts[200] < 250 || counts[200]*20 < 19*total(counts) {
			t.Errorf("answers by status: %v", counts)
		}
		client := w.client("10.8.0.2")
		for _, m := range w.machines {
			if a := w.sendRequest(client, m, "mark4", "open", 0); a.status != http.StatusOK {
				t.Errorf("%s: a route of the newest configuration got %d", m.name, a.status)
			}
			if a := w.sendRequest(client, m, "mark1", "open", 0); a.status != http.StatusNotFound {
				t.Errorf("%s: a route that was dropped got %d", m.name, a.status)
			}
		}
		w.shutdown()
	})
}

func total(counts map[int]int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}

// TestRollOut names new weights twice while requests run. All instances must reach the newest version with one load for each
// version, and no request may run on cache parts of another version.
func TestRollOut(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w, operator := startedFleet(t, 2, 5, 3)
		tr := w.traffic(6)
		for version := 2; version <= 3; version++ {
			w.nameWeights(operator, w.machines[4], version)
			time.Sleep(6 * time.Second)
		}
		counts := tr.end()
		if counts[200]*20 < 19*total(counts) {
			t.Errorf("answers by status: %v", counts)
		}
		for _, s := range w.servers {
			if s.service == "llm" && (s.version != 3 || s.loads != 2) {
				t.Errorf("%s runs version %d after %d loads", s.id, s.version, s.loads)
			}
		}
		w.shutdown()
	})
}

// TestDrain has an instance drain. After the acknowledgement no broker may send requests to it.
func TestDrain(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w, _ := startedFleet(t, 3, 5, 3)
		tr := w.traffic(6)
		time.Sleep(2 * time.Second)
		var leaving *modelServer
		for _, s := range w.servers {
			if s.service == "llm" && (leaving == nil || s.id < leaving.id) {
				leaving = s
			}
		}
		leaving.drain()
		time.Sleep(6 * time.Second)
		counts := tr.end()
		if leaving.ackedAt.IsZero() {
			t.Error("the drain was never acknowledged")
		}
		if counts[200]*20 < 19*total(counts) {
			t.Errorf("answers by status: %v", counts)
		}
		w.shutdown()
	})
}

// TestStreamsAreTakenUp has one instance cut each stream in the middle of an event. Resumable streams must continue at
// another instance; other streams must be aborted visibly to the client.
func TestStreamsAreTakenUp(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w, _ := startedFleet(t, 4, 5, 3)
		w.noKills = true
		for _, s := range w.servers {
			s.cutAfter = 3
			if s.service == "llm" {
				break
			}
		}
		client := w.client("10.8.0.2")
		complete, aborted := 0, 0
		for n := range 60 {
			if a := w.sendRequest(client, w.machines[n%5], "chat", "open", n); a.status == http.StatusOK && a.complete {
				complete++
			}
			if a := w.sendRequest(client, w.machines[n%5], "once", "open", n); a.status == http.StatusOK && !a.complete {
				aborted++
			}
		}
		if complete < 55 {
			t.Errorf("%d of 60 resumable streams were complete", complete)
		}
		t.Logf("%d resumable streams were complete, %d others were aborted", complete, aborted)
		w.shutdown()
	})
}

// TestFaults injects random faults from fixed seeds: brokers are killed, lose power or their disks, one at a time; core
// machines are partitioned, instances crash and are replaced, and configurations change meanwhile. The last acknowledged
// configuration must be read back at the end and be in force at every broker.
func TestFaults(t *testing.T) {
	seeds := 8
	if testing.Short() {
		seeds = 2
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inBubble(t, func(t *testing.T) { runFaults(t, uint64(seed)) })
		})
	}
}

func runFaults(t *testing.T, seed uint64) {
	w, operator := startedFleet(t, seed, 6, 3)
	tr := w.traffic(4)
	version, acknowledged := int64(1), int64(1)
	for step := range 10 {
		w.injectFault(step)
		version += int64(1 + w.rng.IntN(3))
		if status := w.replace(operator, acknowledged, version, configurationOf(version, "")); status != http.StatusOK {
			w.failf("configuration %d on %d got %d", version, acknowledged, status)
		}
		acknowledged = version
		if again := w.replace(operator, acknowledged-0, version, configurationOf(version, "")); again != http.StatusBadRequest {
			w.failf("configuration %d on itself got %d", version, again)
		}
		time.Sleep(3 * time.Second)
	}
	for _, m := range w.machines {
		w.kill(m, false)
	}
	time.Sleep(time.Second)
	for _, m := range w.machines {
		w.restart(m, false)
	}
	time.Sleep(4 * time.Second)
	if got, want := w.readBack(operator), configurationOf(acknowledged, ""); got != want {
		w.failf("read back after all brokers were killed: %.40q, acknowledged was %.40q", got, want)
	}
	client := w.client("10.8.0.2")
	for _, m := range w.machines {
		if a := w.sendRequest(client, m, fmt.Sprintf("mark%d", acknowledged), "open", 0); a.status != http.StatusOK {
			w.failf("%s: a route of configuration %d got %d", m.name, acknowledged, a.status)
		}
	}
	counts := tr.end()
	if counts[200]*2 < total(counts) {
		t.Errorf("answers by status: %v", counts)
	}
	w.shutdown()
}

// injectFault injects one random fault and repairs it. It never affects more than one replica of the register at a time.
func (w *simFleet) injectFault(step int) {
	m := w.machines[w.rng.IntN(len(w.machines))]
	core := w.machines[w.rng.IntN(3)]
	switch w.rng.IntN(6) {
	case 0:
		w.kill(m, false)
		time.Sleep(500 * time.Millisecond)
		w.restart(m, false)
	case 1:
		w.kill(m, true)
		time.Sleep(3 * time.Second)
		w.restart(m, false)
	case 2: // a disk is lost
		w.kill(core, false)
		time.Sleep(time.Second)
		w.restart(core, true)
		time.Sleep(5 * time.Second) // the replica counts as lost until it has caught up
	case 3: // a replica is partitioned from the others
		for _, other := range w.machines[:3] {
			if other != core {
				w.net.Cut(core.ip, other.ip, true)
			}
		}
		time.Sleep(4 * time.Second)
		for _, other := range w.machines[:3] {
			w.net.Cut(core.ip, other.ip, false)
		}
	case 4: // an instance crashes, another starts
		for _, id := range sortedIDs(w.servers) {
			if s := w.servers[id]; s.service == "llm" && s.state == "ready" {
				s.stop()
				s.state = "gone"
				break
			}
		}
		w.startServer("llm", zones[step%3])
	case 5:
		core.disk.mu.Lock()
		core.disk.fail = true
		core.disk.mu.Unlock()
		time.Sleep(3 * time.Second)
		core.disk.mu.Lock()
		core.disk.fail = false
		core.disk.mu.Unlock()
	}
}

func sortedIDs(servers map[string]*modelServer) []string {
	var ids []string
	for n := range 10000 {
		if id := fmt.Sprintf("i-%04d", n); servers[id] != nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// TestDrainIsKnownBeforeItIsAcknowledged cuts the link between the broker that receives the draining heartbeat and one other
// broker. The drain must not be acknowledged before the other broker knows it, unless it stays unreachable for long.
func TestDrainIsKnownBeforeItIsAcknowledged(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w, _ := startedFleet(t, 5, 5, 3)
		receiver, unreachable := w.machines[3], w.machines[4]
		w.net.Cut(receiver.ip, unreachable.ip, true)
		server := w.servers[sortedIDs(w.servers)[0]]
		sendDraining := func() int {
			server.mu.Lock()
			server.sequence++
			body := fmt.Sprintf(`{"service":"llm","address":"%s:80","zone":"a","slots":8,"state":"draining","models":[{"name":"m","version":1}],"sequence":%d}`,
				server.ip, server.sequence)
			server.mu.Unlock()
			response, err := w.client("10.8.0.4").Post("http://"+receiver.ip+":"+controlPort+"/v1/instances/"+server.id+"/heartbeat", "application/json", strings.NewReader(body))
			if err != nil {
				return 0
			}
			response.Body.Close()
			return response.StatusCode
		}
		if status := sendDraining(); status == http.StatusOK {
			t.Error("acknowledged while one broker does not know about the drain")
		}
		w.net.Cut(receiver.ip, unreachable.ip, false)
		status := 0
		for range 20 {
			if status = sendDraining(); status == http.StatusOK {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		if status != http.StatusOK {
			t.Errorf("not acknowledged after the link healed: %d", status)
		}
		w.shutdown()
	})
}

// TestRetryBudgetOfTheFleet has every instance with a model reject all requests while clients use all brokers. Summed over
// the brokers, the retries must stay within the retry budget: the ratio plus the fixed part.
func TestRetryBudgetOfTheFleet(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w, _ := startedFleet(t, 6, 5, 3)
		for _, s := range w.servers {
			s.mu.Lock()
			s.rejectsAll = true
			s.mu.Unlock()
		}
		requests := 0
		client := w.client("10.7.0.1")
		for n := range 400 { // well within one window
			w.sendRequest(client, w.machines[n%5], "chat", "open", n)
			requests++
			time.Sleep(5 * time.Millisecond)
		}
		budget := 0.2*float64(requests) + 20
		if extra := w.arrivals - requests; float64(extra) > budget {
			t.Errorf("%d arrivals for %d requests", w.arrivals, requests)
		}
		t.Logf("%d arrivals for %d requests", w.arrivals, requests)
		w.shutdown()
	})
}
